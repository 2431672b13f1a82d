"""Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2016)."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence
from math import ceil

from ...decisions import api
from .base import Job, Node, Plain, hashed

POINTS = 100  # virtual nodes of each cache node on the ring
BOUND = 1.25  # a node may have this many times the mean of what this router has out, rounded up


class HashBounded(Plain):
    """The first cache node on the ring after the key's place that is under the bound. All routers have the
    same ring. Zone-blind: one ring for all zones.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.ring: list[tuple[int, int]] = []  # place and server, by place
        self.on_ring: frozenset[int] = frozenset()
        self.version = 0

    def pick(self, now: float, job: Job, candidates: Sequence[Node]) -> Node:
        """Walk the ring. The request itself counts, so one candidate at least is under the bound."""
        self._refresh()
        most = ceil(BOUND * (1 + sum(node.out for node in candidates)) / len(candidates))
        room = {node.server: node for node in candidates if node.out < most}
        start = bisect(self.ring, (hashed(job.place), 0))
        for step in range(start, start + len(self.ring)):
            node = room.get(self.ring[step % len(self.ring)][1])
            if node is not None:
                return node
        raise AssertionError("no candidate is on the ring")

    def _refresh(self) -> None:
        """Follow a change of the list; the points of nodes that stay are where they were."""
        if self.version == self.membership.version:
            return
        self.version = self.membership.version
        ready = frozenset(node.server for node in self.membership.caches)
        if ready == self.on_ring:
            return
        new = [(hashed(server, n), server) for server in sorted(ready - self.on_ring) for n in range(POINTS)]
        self.ring = sorted([point for point in self.ring if point[1] in ready] + new)
        self.on_ring = ready
