"""Runs the command line for `python -m rosepick`."""

import sys

from .cli.router_process import parse_serve_arguments, run_router

if __name__ == "__main__":
    serve_arguments = parse_serve_arguments(sys.argv[1:])
    if serve_arguments is not None:
        sys.exit(run_router(serve_arguments))
    from .cli.app import app

    app()
