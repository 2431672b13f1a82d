"""Renders the results of runs as a self-contained HTML page."""

from .page import render

__all__ = ["render"]
