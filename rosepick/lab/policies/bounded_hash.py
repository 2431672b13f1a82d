"""Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2016)."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence
from math import ceil

from ...decisions import api
from .base import BaselinePolicy, hash64
from .membership import PolicyNode
from .policy_request import PolicyRequest

POINTS_PER_NODE = 100  # virtual nodes of each cache node on the ring
LOAD_BOUND = 1.25  # most attempts in flight at a node, as a multiple of the mean over nodes, rounded up


class BoundedHash(BaselinePolicy):
    """Chooses the first cache node below the load bound, from the key's point on the ring on.

    All routers have the same ring, which holds the nodes of all zones. The load is this router's attempts in
    flight.
    """

    def __init__(self, settings: api.RouterSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.ring: list[tuple[int, int]] = []  # point and endpoint number, sorted
        self.nodes_on_ring: frozenset[int] = frozenset()
        self.version = 0

    def pick(self, request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Search the ring. The request counts as load, so at least one candidate is below the bound."""
        self._rebuild_ring()
        max_in_flight = ceil(LOAD_BOUND * (1 + sum(node.in_flight for node in candidates)) / len(candidates))
        usable = {node.endpoint_id: node for node in candidates if node.in_flight < max_in_flight}
        start = bisect(self.ring, (hash64(request.hash_key), 0))
        for step in range(start, start + len(self.ring)):
            node = usable.get(self.ring[step % len(self.ring)][1])
            if node is not None:
                return node
        raise AssertionError("no candidate is on the ring")

    def _rebuild_ring(self) -> None:
        """Update the ring after a change of the endpoint list; nodes that remain keep their points."""
        if self.version == self.membership.version:
            return
        self.version = self.membership.version
        ready = frozenset(node.endpoint_id for node in self.membership.caches)
        if ready == self.nodes_on_ring:
            return
        new_points = [
            (hash64(endpoint_id, index), endpoint_id)
            for endpoint_id in sorted(ready - self.nodes_on_ring)
            for index in range(POINTS_PER_NODE)
        ]
        self.ring = sorted([point for point in self.ring if point[1] in ready] + new_points)
        self.nodes_on_ring = ready
