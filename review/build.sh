#!/bin/sh
# Builds what the scripts of the cases start beside the router: the project's development environment, .venv-dev, which
# has the libraries of `witness` and `lease` and makes the certificate of case 3. The stand-ins for clients, cache nodes,
# discovery and the origin are in review/lib and need only Python. The router itself is built by deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
make env
