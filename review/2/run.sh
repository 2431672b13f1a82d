#!/bin/sh
# Exits with 1 if the router went over its memory and was killed, 0 if not, 2 if the case could not run.
# TROUBLE=0: the usual clients only.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 .venv/bin/python review/2/case.py
