"""Descriptors as one budget with named parts.

    limit                     what the process may hold
      program, files          set aside: listeners, selector, wake-up, log; files that are open for a moment
      dials                   set aside: connections to next hops for requests that were taken already
      the rest                doors, next hops, discovery and batches, each as it needs, and
        doors                 at most their part of it

What one part lacks, another gives where it can: `Descriptors.givers` close something of little use, in order.
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
RESERVED_FOR_CONNECTS = 16  # what was taken must get its answer, also while all the rest is in use
MIN_DESCRIPTORS = 8

Reclaimer = Callable[[], bool]


class DescriptorBudget:
    """Counts descriptors by use."""

    def __init__(self, limit: int, downstream_fraction: float = 0.5) -> None:
        self.used = 0
        self.used_by_purpose = dict.fromkeys(DescriptorUse, 0)
        self.downstream_fraction = downstream_fraction
        self.reclaimers: list[Reclaimer] = []  # each closes one, and says whether there was any
        self.on_release: Callable[[], None] = lambda: None
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """So many descriptors may be held from now on. Nothing is closed by this: see `over`."""
        self.limit = max(
            MIN_DESCRIPTORS, limit - RESERVED_FOR_PROGRAM - RESERVED_FOR_FILES - RESERVED_FOR_CONNECTS
        )

    def acquire(self, use: DescriptorUse) -> None:
        """One was opened."""
        self.used += 1
        self.used_by_purpose[use] += 1

    def release(self, use: DescriptorUse) -> None:
        """One was closed."""
        self.used -= 1
        self.used_by_purpose[use] -= 1
        self.on_release()

    def excess(self) -> int:
        """How many too many are open, as after a limit was lowered."""
        return max(0, self.used - self.limit)

    def downstream_limit(self) -> int:
        """How many the doors may hold."""
        return max(1, int(self.downstream_fraction * self.limit))

    def ensure_available(self, use: DescriptorUse) -> bool:
        """Whether one more may be opened; another gives way for it if need be."""
        if use is DescriptorUse.DOWNSTREAM and (
            self.used_by_purpose[use] >= self.downstream_limit() or self.excess()
        ):
            return False  # over a limit that was lowered: it is reached by and by, and nothing new comes in
        limit = self.limit + (RESERVED_FOR_CONNECTS if use is DescriptorUse.UPSTREAM else 0)
        return self.used < limit or self.reclaim_one()

    def reclaim_one(self) -> bool:
        """Have one closed that is of little use; False if there is none."""
        return any(give() for give in self.reclaimers)
