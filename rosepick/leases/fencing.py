"""The guard of what is acted on: it takes no step under a token lower than one that it has seen.

Time alone cannot stop a process that was paused between its question and its deed. Whatever is acted on asks
here first, and keeps the answer where the deed is kept.
"""

from __future__ import annotations

from typing import Protocol

MAX_TASK_LENGTH = 150  # characters, so that the register's name is short enough


class FencingTokenStore(Protocol):
    """Where the highest tokens are kept, durably."""

    def highest_token(self, task: str) -> int:
        """The highest token taken for a task, 0 if none was."""

    def save_token(self, task: str, token: int) -> None:
        """Keep a higher one; it is on the disk when this returns. OSError if it cannot be."""


class FencingGuard:
    """Says whether a step under a token may be taken. Not for several processes on one store."""

    def __init__(self, tokens: FencingTokenStore) -> None:
        self._tokens = tokens
        self.rejected_count = 0  # steps under a lower token

    def accepts(self, task: str, token: int) -> bool:
        """Whether the step may be taken. OSError if the token cannot be kept: then it may not."""
        highest = self._tokens.highest_token(task)
        if token < highest or token <= 0:
            self.rejected_count += 1
            return False
        if token > highest:
            self._tokens.save_token(task, token)
        return True
