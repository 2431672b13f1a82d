"""Settings of all tests: deterministic examples of hypothesis, and the tests that are known to fail."""

import tempfile

import pytest
from _pytest.terminal import TerminalReporter
from hypothesis import configuration, settings

from .known_red import load_known_red

settings.register_profile("same", derandomize=True, deadline=None, database=None, max_examples=150)
settings.load_profile("same")

# A temporary folder, because hypothesis stores data about sources with the paths of the machine.
_home = tempfile.TemporaryDirectory(prefix="rosepick-hypothesis-")
configuration.set_hypothesis_home_dir(_home.name)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of KNOWN-RED.txt as strict expected failures."""
    for entry in load_known_red():
        mark = pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=True)
        for item in items:
            if item.nodeid.partition("[")[0] == entry.test:
                item.add_marker(mark)


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Print the tests that are known to fail."""
    for entry in load_known_red():
        terminalreporter.write_line(f"KNOWN RED: {entry.test}: {entry.cause} ({entry.issue})")
