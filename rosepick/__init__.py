"""A client-side router for fleets of cache nodes."""

__version__ = "0.3.0"
