"""Tests that fail for a known fault: `KNOWN-RED.txt`, whose tests are strict expected failures.

Each line is `test | cause | issue`; the test is a node id without parameters. Three lines at most. A listed
test that passes again fails the run until its line is gone, and so does a line that names no test.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownRedError(ValueError):
    """The file breaks its form; the message says where."""


@dataclass(frozen=True, slots=True)
class KnownRedTest:
    """A test that is expected to fail."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRedTest]:
    """Return the tests that a file's text lists.

    Raises:
        KnownRedError: a line has another form, or there are too many.
    """
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if not line.strip() or line.startswith("#"):
            continue
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"{FILE.name} line {number} is not `test | cause | issue`")
        entries.append(KnownRedTest(*parts))
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(f"{FILE.name} lists {len(entries)} tests; at most {MAX_ENTRIES} are allowed")
    return entries


def load_known_red() -> list[KnownRedTest]:
    """Return the tests that the repository's file lists; none if there is no file."""
    return read_known_red(FILE.read_text("utf-8")) if FILE.exists() else []
