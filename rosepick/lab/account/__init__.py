"""Where a day's worth went, by what its routers logged and what the bench printed."""
