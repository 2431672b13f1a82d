"""Runs the simulator host: the command `sim` in deploy/balancer.toml."""

import sys

from .host import serve

raise SystemExit(serve(sys.stdin.buffer, sys.stdout.buffer))
