"""A model of the fleet around a router, and experiments with it; `serve` does not use this package."""
