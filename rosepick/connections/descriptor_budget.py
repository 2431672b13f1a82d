"""Budget of file descriptors, by use.

    limit                     all descriptors of the process
      program, files          reserved: listeners, selector, wake-up pair, log; files that are open briefly
      connects                reserved: connections to upstreams for requests that were already accepted
      the rest                shared by downstream, upstreams, discovery and batches
        downstream            limited to its fraction of the rest, and what of it is lent (`lendable`)

If no descriptor is left, the `reclaimers` of `DescriptorBudget` are tried in order; each closes a connection
of low value.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class DescriptorUse(Enum):
    """Purpose of a descriptor."""

    DOWNSTREAM = "doors"
    UPSTREAM = "next_hops"
    DISCOVERY = "discovery"
    BATCH = "batches"


RESERVED_FOR_PROGRAM = 16  # listeners, selector, wake-up pair, standard streams
RESERVED_FOR_FILES = 16  # certificates, captures, configuration: open briefly
RESERVED_FOR_CONNECTS = 16  # connects for accepted requests while all other descriptors are in use
MIN_DESCRIPTORS = 8
MAX_LENT = 64  # upper bound of the descriptors that are lent, as each connection takes memory too

Reclaimer = Callable[[], bool]
"""Closes one descriptor, and returns whether it closed one."""


def _ignore() -> None:
    """Ignore the release of a descriptor."""


class DescriptorBudget:
    """Counts descriptors by use.

    Args:
        limit: the maximum number of descriptors of the process.
        downstream_fraction: the fraction of the unreserved descriptors that client connections may hold.
    """

    def __init__(self, limit: int, downstream_fraction: float = 0.5) -> None:
        self.used = 0
        self.used_by_purpose = dict.fromkeys(DescriptorUse, 0)
        self.downstream_fraction = downstream_fraction
        self.reclaimers: list[Reclaimer] = []  # in the order of use
        self.on_release: Callable[[], None] = _ignore
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """Change the maximum number of descriptors. This closes nothing; see `excess`."""
        self.limit = max(
            MIN_DESCRIPTORS, limit - RESERVED_FOR_PROGRAM - RESERVED_FOR_FILES - RESERVED_FOR_CONNECTS
        )

    def acquire(self, use: DescriptorUse) -> None:
        """Count an opened descriptor."""
        self.used += 1
        self.used_by_purpose[use] += 1

    def release(self, use: DescriptorUse) -> None:
        """Stop counting a closed descriptor."""
        self.used -= 1
        self.used_by_purpose[use] -= 1
        self.on_release()

    def excess(self) -> int:
        """Return how many open descriptors exceed the limit, for example after it was lowered."""
        return max(0, self.used - self.limit)

    def downstream_limit(self) -> int:
        """Return how many descriptors client connections may hold."""
        return max(1, int(self.downstream_fraction * self.limit))

    def lendable(self, wanted: int) -> int:
        """Return how many of `wanted` further client connections may use descriptors that others leave."""
        used_by_others = self.used - self.used_by_purpose[DescriptorUse.DOWNSTREAM]
        unused = self.limit - self.downstream_limit() - used_by_others - RESERVED_FOR_CONNECTS
        return max(0, min(wanted, unused, MAX_LENT))

    def ensure_available(self, use: DescriptorUse, lent: int = 0) -> bool:
        """Return whether one more descriptor may be opened; reclaim another one if necessary.

        Args:
            use: its purpose.
            lent: how many more client connections may be open than the downstream limit.
        """
        if use is DescriptorUse.DOWNSTREAM and (
            self.used_by_purpose[use] >= self.downstream_limit() + lent or self.excess()
        ):
            return False  # accept no client while more descriptors are open than a lowered limit
        limit = self.limit + (RESERVED_FOR_CONNECTS if use is DescriptorUse.UPSTREAM else 0)
        return self.used < limit or self.reclaim_one()

    def reclaim_one(self) -> bool:
        """Close one descriptor of low value, and return whether one was closed."""
        return any(reclaim() for reclaim in self.reclaimers)
