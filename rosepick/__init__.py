"""Decisions of a client-side router for fleets of cache servers."""

__version__ = "0.1.0"
