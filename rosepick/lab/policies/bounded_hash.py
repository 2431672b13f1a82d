"""Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2016)."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence
from math import ceil

from ...decisions import api
from .base import BaselinePolicy, PolicyNode, PolicyRequest, hash64

POINTS_PER_NODE = 100  # virtual nodes of each cache node on the ring
LOAD_BOUND = 1.25  # a node may have this many times the mean of what this router has out, rounded up


class BoundedHash(BaselinePolicy):
    """The first cache node on the ring after the key's place that is under the bound. All routers have the
    same ring. Zone-blind: one ring for all zones.
    """

    def __init__(self, settings: api.RouterSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.ring: list[tuple[int, int]] = []  # place and server, by place
        self.nodes_on_ring: frozenset[int] = frozenset()
        self.version = 0

    def pick(self, now: float, job: PolicyRequest, candidates: Sequence[PolicyNode]) -> PolicyNode:
        """Walk the ring. The request itself counts, so one candidate at least is under the bound."""
        self._rebuild_ring()
        most = ceil(LOAD_BOUND * (1 + sum(node.in_flight for node in candidates)) / len(candidates))
        room = {node.server: node for node in candidates if node.in_flight < most}
        start = bisect(self.ring, (hash64(job.hash_key), 0))
        for step in range(start, start + len(self.ring)):
            node = room.get(self.ring[step % len(self.ring)][1])
            if node is not None:
                return node
        raise AssertionError("no candidate is on the ring")

    def _rebuild_ring(self) -> None:
        """Follow a change of the list; the points of nodes that stay are where they were."""
        if self.version == self.membership.version:
            return
        self.version = self.membership.version
        ready = frozenset(node.server for node in self.membership.caches)
        if ready == self.nodes_on_ring:
            return
        new = [
            (hash64(server, n), server)
            for server in sorted(ready - self.nodes_on_ring)
            for n in range(POINTS_PER_NODE)
        ]
        self.ring = sorted([point for point in self.ring if point[1] in ready] + new)
        self.nodes_on_ring = ready
