#!/bin/sh
# Builds in the checkout what `run` and `sim` need: the virtual environment, and bytecode for `python -O`. The
# environment is built again when the pinned requirements or this file change. The user of a router may have no
# permission to write bytecode; without it, each router compiles the program at its start, which takes 0.5 s of
# processor time.
set -eu
cd "$(dirname "$0")/.."
if ! cat requirements.txt deploy/build.sh | cmp -s - .venv/made-of.txt; then
  python3 -m venv --clear .venv
  .venv/bin/pip -q install -r requirements.txt
  .venv/bin/pip -q uninstall -y setuptools  # setuptools imports a part of itself at each start of Python
  .venv/bin/python -m compileall -q -o 1 -x 'site-packages/(pip|rich|pygments|pydantic)' .venv/lib || true
  cat requirements.txt deploy/build.sh > .venv/made-of.txt
fi
# Bytecode is validated by hashes of the sources, so copies of the checkout need not keep modification times, and
# changed sources are still noticed.
.venv/bin/python -m compileall -q -f -o 1 --invalidation-mode checked-hash -x 'rosepick/lab' rosepick
