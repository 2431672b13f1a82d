"""The budget of descriptors and of bytes in answers: idle connections go first, then accepting pauses."""

from __future__ import annotations

from collections.abc import Callable

RESERVE = 48  # for the program itself, the listener, discovery, and dials while accepting pauses


ANSWERS_PART = 0.25  # of the memory that the router is given: for answers that are read or not yet written


class Budget:
    """Counts the sockets in use, and the bytes of answers that are held."""

    def __init__(self, limit: int, memory_mb: float = 192.0) -> None:
        self.used = 0
        self.held = 0
        self.most_held = int(ANSWERS_PART * memory_mb * 1024 * 1024)
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
