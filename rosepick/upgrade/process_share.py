"""How one process stands beside others of the same router, and what follows from it.

Each process tells the others how many descriptors it holds. What one may hold is its even part, or what the
others leave, whichever is more: after SIGTERM the old process's connections move to the new one within a
second, so an even part alone would keep clients out while there is room.
"""

from __future__ import annotations

from collections.abc import Sequence

DESCRIPTOR_MARGIN = 24  # descriptors that others may have opened since they last told
MAX_MARGIN_FRACTION = 1 / 16  # of all, at the most


class ProcessShare:
    """What one process knows of the others."""

    def __init__(self, other_descriptor_counts: Sequence[int] = ()) -> None:
        """`other_descriptor_counts`: the descriptors that each other process holds."""
        self.other_descriptor_counts = tuple(other_descriptor_counts)
        self.started_during_upgrade = bool(
            other_descriptor_counts
        )  # it was started beside another one: an upgrade
        self.endpoint_list_received = False  # discovery told a list since the start
        # what the other process has learned is known here, or not to be had
        self.state_transfer_settled = False

    def update_others(self, other_descriptor_counts: Sequence[int]) -> bool:
        """Others as they are now; whether anything has changed."""
        changed = tuple(other_descriptor_counts) != self.other_descriptor_counts
        self.other_descriptor_counts = tuple(other_descriptor_counts)
        return changed

    def may_accept_clients(self) -> bool:
        """Whether to take clients. Beside another process only with a list from discovery, and what that one
        knows: guards against an old list in place of a router that serves. If it has died there is nobody to
        wait for.
        """
        return (
            not self.started_during_upgrade
            or not self.other_descriptor_counts
            or (self.endpoint_list_received and self.state_transfer_settled)
        )

    def descriptor_share(self, limit: int) -> int:
        """How many of all descriptors this process may hold."""
        if not self.other_descriptor_counts:
            return limit
        left = (
            limit
            - sum(self.other_descriptor_counts)
            - min(DESCRIPTOR_MARGIN, int(MAX_MARGIN_FRACTION * limit))
        )
        return max(limit // (1 + len(self.other_descriptor_counts)), left)

    def memory_share(self, amount: float) -> float:
        """How much of all memory this process may use."""
        return amount / (1 + len(self.other_descriptor_counts))
