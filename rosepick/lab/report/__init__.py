"""One page about runs, to be opened in a browser and passed on as a single file."""

from .page import render

__all__ = ["render"]
