"""File descriptors as one budget with named parts.

    limit                     what the process may hold
      program, files          reserved: listeners, selector, wake-up, log; files that are open for a moment
      connects                reserved: connections to upstreams for requests that were accepted already
      the rest                downstream, upstreams, discovery and batches, each as it needs, and
        downstream            at most its fraction of it

If one part lacks a descriptor, the `reclaimers` of `DescriptorBudget` close something of little use, in
order.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class DescriptorUse(Enum):
    """What a descriptor is used for."""

    DOWNSTREAM = "doors"
    UPSTREAM = "next_hops"
    DISCOVERY = "discovery"
    BATCH = "batches"


RESERVED_FOR_PROGRAM = 16  # listeners, selector, wake-up pair, standard streams
RESERVED_FOR_FILES = 16  # certificates, captures, configuration: open for a moment
RESERVED_FOR_CONNECTS = 16  # accepted requests must get their answer, also while all the rest is in use
MIN_DESCRIPTORS = 8

Reclaimer = Callable[[], bool]
"""Closes one descriptor, and returns whether there was one to close."""


def _ignore() -> None:
    """Do nothing when a descriptor is released."""


class DescriptorBudget:
    """Counts descriptors by use.

    Args:
        limit: how many descriptors the process may hold.
        downstream_fraction: the fraction of the unreserved ones that client connections may hold.
    """

    def __init__(self, limit: int, downstream_fraction: float = 0.5) -> None:
        self.used = 0
        self.used_by_purpose = dict.fromkeys(DescriptorUse, 0)
        self.downstream_fraction = downstream_fraction
        self.reclaimers: list[Reclaimer] = []  # in the order in which they are tried
        self.on_release: Callable[[], None] = _ignore
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """Change how many descriptors the process may hold. Nothing is closed by this: see `excess`."""
        self.limit = max(
            MIN_DESCRIPTORS, limit - RESERVED_FOR_PROGRAM - RESERVED_FOR_FILES - RESERVED_FOR_CONNECTS
        )

    def acquire(self, use: DescriptorUse) -> None:
        """Count a descriptor that was opened."""
        self.used += 1
        self.used_by_purpose[use] += 1

    def release(self, use: DescriptorUse) -> None:
        """Subtract a descriptor that was closed."""
        self.used -= 1
        self.used_by_purpose[use] -= 1
        self.on_release()

    def excess(self) -> int:
        """Return how many descriptors are open beyond the limit, as after it was lowered."""
        return max(0, self.used - self.limit)

    def downstream_limit(self) -> int:
        """Return how many descriptors client connections may hold."""
        return max(1, int(self.downstream_fraction * self.limit))

    def ensure_available(self, use: DescriptorUse) -> bool:
        """Return whether one more descriptor may be opened, after reclaiming another one if need be."""
        if use is DescriptorUse.DOWNSTREAM and (
            self.used_by_purpose[use] >= self.downstream_limit() or self.excess()
        ):
            return False  # above a lowered limit no client is accepted, until the limit is reached
        limit = self.limit + (RESERVED_FOR_CONNECTS if use is DescriptorUse.UPSTREAM else 0)
        return self.used < limit or self.reclaim_one()

    def reclaim_one(self) -> bool:
        """Close a descriptor that is of little use, and return whether there was one."""
        return any(reclaim() for reclaim in self.reclaimers)
