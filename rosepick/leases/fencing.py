"""Fencing: a resource refuses every step under a token lower than one that it has accepted.

Time alone cannot stop a process that was paused between its check of the lease and its action. So the
resource asks the guard before each step, and the guard stores the highest token where the resource stores
its effects.
"""

from __future__ import annotations

from typing import Protocol

MAX_TASK_LENGTH = 150  # characters, so that the register's key is short enough


class FencingTokenStore(Protocol):
    """Durable storage of the highest accepted token of each task."""

    def highest_token(self, task: str) -> int:
        """The highest token accepted for a task, 0 if there was none."""

    def save_token(self, task: str, token: int) -> None:
        """Store a higher token durably before returning.

        Raises:
            OSError: The token could not be stored.
        """


class FencingGuard:
    """Decides whether a step under a token may be taken. A store serves the guard of one process only."""

    def __init__(self, tokens: FencingTokenStore) -> None:
        self._tokens = tokens
        self.rejected_count = 0  # steps refused for their token

    def accepts(self, task: str, token: int) -> bool:
        """Whether a step may be taken; a token higher than all before is stored first.

        Raises:
            OSError: The token could not be stored; the step may not be taken.
        """
        highest = self._tokens.highest_token(task)
        if token < highest or token <= 0:
            self.rejected_count += 1
            return False
        if token > highest:
            self._tokens.save_token(task, token)
        return True
