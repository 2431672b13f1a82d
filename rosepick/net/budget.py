"""The budget of one router: its descriptors, and the bytes of answers that it holds."""

from __future__ import annotations

from ..connections.descriptors import Descriptors
from ..core.flow import Room

FLOWS_PART = 1 / 16  # of the memory that the router is given: for bodies on their way; as much is in writing
ANSWERS_PART = 0.25  # of the memory that the router is given: for answers that are read or not yet written


class Budget(Descriptors):
    """Counts descriptors by part, and the bytes of answers that are held."""

    def __init__(self, limit: int, memory_mb: float = 192.0, doors_part: float = 0.5) -> None:
        super().__init__(limit, doors_part)
        self.held = 0
        self.flows = Room(0)
        self.remember(memory_mb)

    def remember(self, memory_mb: float) -> None:
        """So much memory is the router's from now on."""
        self.most_held = int(ANSWERS_PART * memory_mb * 1024 * 1024)
        self.flows.total = int(FLOWS_PART * memory_mb * 1024 * 1024)
