#!/bin/sh
# Leaves in the folder of the checkout all that `run` and `sim` need: the environment from its pins, made anew when
# they or this file change, and bytecode for `python -O`. An ordinary user may not be able to write that at a start,
# and then each of many routers would compile the program for itself, 0.5 s of processor time.
set -eu
cd "$(dirname "$0")/.."
if ! cat requirements.txt deploy/build.sh | cmp -s - .venv/made-of.txt; then
  python3 -m venv --clear .venv
  .venv/bin/pip -q install -r requirements.txt
  .venv/bin/pip -q uninstall -y setuptools  # it has a part of itself imported at each start
  .venv/bin/python -m compileall -q -o 1 -x 'site-packages/(pip|rich|pygments|pydantic)' .venv/lib || true
  cat requirements.txt deploy/build.sh > .venv/made-of.txt
fi
# by the sources' hashes: copies of the folder need not keep their times, and a source that changes still counts
.venv/bin/python -m compileall -q -f -o 1 --invalidation-mode checked-hash -x 'rosepick/lab' rosepick
