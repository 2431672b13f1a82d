"""Renders runs as one HTML page that needs no other file."""

from .page import render

__all__ = ["render"]
