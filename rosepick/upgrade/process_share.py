"""The share of one process in the limits while other processes of the same router run beside it.

Each process publishes how many descriptors it holds. One may hold an equal part, or what the others leave,
whichever is more: after SIGTERM the old process's connections move to the new one within a second, so an
equal part alone would turn clients away while there is capacity.
"""

from __future__ import annotations

from collections.abc import Sequence

DESCRIPTOR_MARGIN = 24  # descriptors that other processes may have opened since they last published
MAX_MARGIN_FRACTION = 1 / 16  # of the limit


class ProcessShare:
    """What one process knows of the others, and its share of the limits.

    Args:
        other_descriptor_counts: how many descriptors each other process holds.
    """

    def __init__(self, other_descriptor_counts: Sequence[int] = ()) -> None:
        self.other_descriptor_counts = tuple(other_descriptor_counts)
        self.started_during_upgrade = bool(other_descriptor_counts)
        self.state_transfer_settled = False  # the other process's state was imported, or is not to be had

    def update_others(self, other_descriptor_counts: Sequence[int]) -> bool:
        """Record the present counts of the others, and return whether they have changed."""
        has_changed = tuple(other_descriptor_counts) != self.other_descriptor_counts
        self.other_descriptor_counts = tuple(other_descriptor_counts)
        return has_changed

    def has_predecessor(self) -> bool:
        """Return whether this process started beside another one that has not ended.

        Guards against serving in place of a router that works, before this one can.
        """
        return self.started_during_upgrade and bool(self.other_descriptor_counts)

    def descriptor_share(self, limit: int) -> int:
        """Return how many of `limit` descriptors this process may hold."""
        if not self.other_descriptor_counts:
            return limit
        margin = min(DESCRIPTOR_MARGIN, int(MAX_MARGIN_FRACTION * limit))
        remaining = limit - sum(self.other_descriptor_counts) - margin
        return max(limit // (1 + len(self.other_descriptor_counts)), remaining)

    def memory_share(self, amount: float) -> float:
        """Return how much of an amount of memory this process may use, in the same unit."""
        return amount / (1 + len(self.other_descriptor_counts))
