"""The budget of file descriptors: idle connections go first, then accepting pauses."""

from __future__ import annotations

from collections.abc import Callable

RESERVE = 48  # for the program itself, the listener, discovery, and dials while accepting pauses


class Budget:
    """Counts the sockets in use."""

    def __init__(self, limit: int) -> None:
        self.used = 0
        self.resize(limit)
        self.shed: Callable[[], bool] = lambda: False  # closes one idle connection, if there is any
        self.freed: Callable[[], None] = lambda: None

    def resize(self, limit: int) -> None:
        """So many descriptors may be held from now on."""
        self.limit = max(8, limit - RESERVE)

    def room(self, spare: int = 0) -> bool:
        """Whether one more may be opened, `spare` beyond the usual; sheds an idle one if need be."""
        while self.used >= self.limit + spare:
            if not self.shed():
                return False
        return True

    def take(self) -> None:
        """One was opened."""
        self.used += 1

    def give(self) -> None:
        """One was closed."""
        self.used -= 1
        self.freed()
