"""Computes the share of one process in the limits while other processes of the same router run.

Each process publishes how many descriptors it holds. A process may hold an equal share of the limit or the
descriptors that the others leave, whichever is more. After SIGTERM, the connections of the old process move
to the new one within a second, so an equal share alone would reject clients although there is capacity.
"""

from __future__ import annotations

from collections.abc import Sequence

DESCRIPTOR_MARGIN = 24  # other processes may have opened this many since they published their counts
MAX_MARGIN_FRACTION = 1 / 16  # fraction of the limit


class ProcessShare:
    """Holds what one process knows of the others, and computes its share of the limits.

    Args:
        other_descriptor_counts: number of descriptors that each other process holds.
    """

    def __init__(self, other_descriptor_counts: Sequence[int] = ()) -> None:
        self.other_descriptor_counts = tuple(other_descriptor_counts)
        self.started_during_upgrade = bool(other_descriptor_counts)
        self.state_transfer_settled = False  # the state was imported or is not available

    def update_others(self, other_descriptor_counts: Sequence[int]) -> bool:
        """Update the descriptor counts of the other processes, and return whether they have changed."""
        has_changed = tuple(other_descriptor_counts) != self.other_descriptor_counts
        self.other_descriptor_counts = tuple(other_descriptor_counts)
        return has_changed

    def has_predecessor(self) -> bool:
        """Return whether this process was started during an upgrade and the other process has not ended.

        Guards against replacing a process that serves before this one is ready to serve.
        """
        return self.started_during_upgrade and bool(self.other_descriptor_counts)

    def descriptor_share(self, limit: int) -> int:
        """Return the number of descriptors that this process may hold, out of `limit`."""
        if not self.other_descriptor_counts:
            return limit
        margin = min(DESCRIPTOR_MARGIN, int(MAX_MARGIN_FRACTION * limit))
        remaining = limit - sum(self.other_descriptor_counts) - margin
        return max(limit // (1 + len(self.other_descriptor_counts)), remaining)

    def memory_share(self, amount: float) -> float:
        """Return the share of `amount` of memory that this process may use, in the unit of `amount`."""
        return amount / (1 + len(self.other_descriptor_counts))
