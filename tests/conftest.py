"""Properties are tried with the same examples each time, so that a run has the same verdict every time."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None, max_examples=150)
settings.load_profile("same")
