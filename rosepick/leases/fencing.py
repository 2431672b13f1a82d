"""Fencing: a resource refuses each step under a token lower than one that it has accepted.

A lease's expiry alone does not stop a process that was paused between its check of the lease and its action.
So the resource asks the guard before each step, and the guard stores the highest token in the place where
the resource stores its effects.
"""

from __future__ import annotations

from typing import Protocol

MAX_TASK_LENGTH = 150  # characters: with its prefix, the register's key stays below the limit for keys


class FencingTokenStore(Protocol):
    """Stores the highest accepted token of each task durably."""

    def highest_token(self, task: str) -> int:
        """Return the highest token accepted for a task; 0 if there was none."""

    def save_token(self, task: str, token: int) -> None:
        """Store a higher token durably before returning.

        Raises:
            OSError: The token cannot be stored.
        """


class FencingGuard:
    """Decides whether a step under a token is allowed; a store serves the guard of one process only."""

    def __init__(self, tokens: FencingTokenStore) -> None:
        self._tokens = tokens
        self.rejected_count = 0  # steps refused because of their token

    def accepts(self, task: str, token: int) -> bool:
        """Return whether a step is allowed; a token higher than all before is stored first.

        Raises:
            OSError: The token cannot be stored, so the step is not allowed.
        """
        highest = self._tokens.highest_token(task)
        if token < highest or token <= 0:
            self.rejected_count += 1
            return False
        if token > highest:
            self._tokens.save_token(task, token)
        return True
