#!/bin/sh
# Builds what the scripts under review/6 to review/10 start beside the router, which deploy/build.sh builds: the commands
# of the fleet (review/8), from the pinned requirements. The stand-ins in review/lib2 need only the standard library.
set -eu
cd "$(dirname "$0")/.."
make env
