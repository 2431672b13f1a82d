"""Reads `KNOWN-RED.txt`, the tests that fail because of a known fault; they are strict expected failures.

Each line is `test | cause | issue`, and the test is a node id without parameters. At most three lines are
allowed. A listed test that passes fails the run until its line is removed, and so does a line with an unknown
test.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownRedError(ValueError):
    """The file is malformed; the message names the line or the limit."""


@dataclass(frozen=True, slots=True)
class KnownRedTest:
    """A test that is expected to fail."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRedTest]:
    """Return the tests that the text of a file lists.

    Raises:
        KnownRedError: A line is malformed, or there are too many lines.
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
    """Return the tests that the file of the repository lists; none if the file does not exist."""
    return read_known_red(FILE.read_text("utf-8")) if FILE.exists() else []
