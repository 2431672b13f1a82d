"""Properties are tried with the same examples each time, so that a run has the same verdict every time."""

import tempfile

from hypothesis import configuration, settings

settings.register_profile("same", derandomize=True, deadline=None, database=None, max_examples=150)
settings.load_profile("same")

# Guards the checkout: what hypothesis keeps of the sources that it read names the paths of this machine.
_home = tempfile.TemporaryDirectory(prefix="rosepick-hypothesis-")
configuration.set_hypothesis_home_dir(_home.name)
