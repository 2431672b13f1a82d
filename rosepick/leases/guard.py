"""The guard of what is acted on: it takes no step under a token lower than one that it has seen.

Time alone cannot stop a process that was paused between its question and its deed. Whatever is acted on asks
here first, and keeps the answer where the deed is kept.
"""

from __future__ import annotations

from typing import Protocol

LONGEST_TASK = 150  # characters, so that the register's name is short enough


class Kept(Protocol):
    """Where the highest tokens are kept, durably."""

    def highest(self, task: str) -> int:
        """The highest token taken for a task, 0 if none was."""

    def keep(self, task: str, token: int) -> None:
        """Keep a higher one; it is on the disk when this returns. OSError if it cannot be."""


class Guard:
    """Says whether a step under a token may be taken. Not for several processes on one store."""

    def __init__(self, kept: Kept) -> None:
        self._kept = kept
        self.refused = 0  # steps under a lower token

    def takes(self, task: str, token: int) -> bool:
        """Whether the step may be taken. OSError if the token cannot be kept: then it may not."""
        highest = self._kept.highest(task)
        if token < highest or token <= 0:
            self.refused += 1
            return False
        if token > highest:
            self._kept.keep(task, token)
        return True
