"""How one process stands beside others of the same router, and what follows from it.

Each process tells the others how many descriptors it holds. What one may hold is its even part, or what the
others leave, whichever is more: after SIGTERM the old process's connections move to the new one within a
second, so an even part alone would keep clients out while there is room.
"""

from __future__ import annotations

from collections.abc import Sequence

SLACK = 24  # descriptors that others may have opened since they last told
SLACK_PART = 1 / 16  # of all, at the most


class Standing:
    """What one process knows of the others."""

    def __init__(self, others: Sequence[int] = ()) -> None:
        """`others`: the descriptors that each other process holds."""
        self.others = tuple(others)
        self.beside = bool(others)  # it was started beside another one: an upgrade
        self.listed = False  # discovery told a list since the start
        self.heard = False  # what the other process has learned is known here, or not to be had

    def look(self, others: Sequence[int]) -> bool:
        """Others as they are now; whether anything has changed."""
        changed = tuple(others) != self.others
        self.others = tuple(others)
        return changed

    def takes_clients(self) -> bool:
        """Whether to take clients. Beside another process only with a list from discovery, and what that one
        knows: guards against an old list in place of a router that serves. If it has died there is nobody to
        wait for.
        """
        return not self.beside or not self.others or (self.listed and self.heard)

    def descriptors(self, limit: int) -> int:
        """How many of all descriptors this process may hold."""
        if not self.others:
            return limit
        left = limit - sum(self.others) - min(SLACK, int(SLACK_PART * limit))
        return max(limit // (1 + len(self.others)), left)

    def memory(self, amount: float) -> float:
        """How much of all memory this process may use."""
        return amount / (1 + len(self.others))
