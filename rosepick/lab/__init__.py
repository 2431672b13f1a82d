"""A model of the fleet around a router, and experiments on it; no part of `serve`."""
