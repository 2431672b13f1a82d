"""Runs the command line for `python -m rosepick`."""

from .cli.app import app

if __name__ == "__main__":
    app()
