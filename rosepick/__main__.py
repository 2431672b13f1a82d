"""`python -m rosepick`: the command line."""

from .cli.app import app

if __name__ == "__main__":
    app()
