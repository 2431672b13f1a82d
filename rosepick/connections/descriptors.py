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


class Use(Enum):
    """What a descriptor is used for."""

    DOORS = "doors"
    NEXT_HOPS = "next_hops"
    DISCOVERY = "discovery"
    BATCHES = "batches"


PROGRAM = 16  # listeners, selector, wake-up pair, standard streams
FILES = 16  # certificates, captures, configuration: open for a moment
DIALS = 16  # what was taken must get its answer, also while all the rest is in use
LEAST = 8

Giver = Callable[[], bool]


class Descriptors:
    """Counts descriptors by use."""

    def __init__(self, limit: int, doors_part: float = 0.5) -> None:
        self.used = 0
        self.uses = dict.fromkeys(Use, 0)
        self.doors_part = doors_part
        self.givers: list[Giver] = []  # each closes one, and says whether there was any
        self.freed: Callable[[], None] = lambda: None
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """So many descriptors may be held from now on. Nothing is closed by this: see `over`."""
        self.limit = max(LEAST, limit - PROGRAM - FILES - DIALS)

    def take(self, use: Use) -> None:
        """One was opened."""
        self.used += 1
        self.uses[use] += 1

    def give(self, use: Use) -> None:
        """One was closed."""
        self.used -= 1
        self.uses[use] -= 1
        self.freed()

    def over(self) -> int:
        """How many too many are open, as after a limit was lowered."""
        return max(0, self.used - self.limit)

    def doors(self) -> int:
        """How many the doors may hold."""
        return max(1, int(self.doors_part * self.limit))

    def room(self, use: Use) -> bool:
        """Whether one more may be opened; another gives way for it if need be."""
        if use is Use.DOORS and (self.uses[use] >= self.doors() or self.over()):
            return False  # over a limit that was lowered: it is reached by and by, and nothing new comes in
        limit = self.limit + (DIALS if use is Use.NEXT_HOPS else 0)
        return self.used < limit or self.free_one()

    def free_one(self) -> bool:
        """Have one closed that is of little use; False if there is none."""
        return any(give() for give in self.givers)
