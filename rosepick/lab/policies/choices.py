"""Policies that depend only on the candidates and this router's attempts in flight, not on zones."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from .base import BaselinePolicy
from .membership import PolicyNode
from .policy_request import PolicyRequest


class RandomChoice(BaselinePolicy):
    """Chooses a random cache node, all with the same probability."""

    def pick(self, _request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Draw a node."""
        return self.rng.choice(candidates)


class RoundRobin(BaselinePolicy):
    """Chooses the cache nodes in turn, in the order of their numbers."""

    last_endpoint_id: int | None = None

    def pick(self, _request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Return the node after the last one; the first is random, so that routers are not synchronized."""
        if self.last_endpoint_id is None:
            node = self.rng.choice(candidates)
        else:
            index = bisect_right(candidates, self.last_endpoint_id, key=lambda other: other.endpoint_id)
            node = candidates[index % len(candidates)]
        self.last_endpoint_id = node.endpoint_id
        return node


class LeastOutstanding(BaselinePolicy):
    """Chooses the cache node with the fewest attempts of this router in flight."""

    def pick(self, _request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Draw one of the least loaded nodes, so that a router with little traffic uses all nodes."""
        least = min(node.in_flight for node in candidates)
        return self.rng.choice([node for node in candidates if node.in_flight == least])


class TwoChoices(BaselinePolicy):
    """Chooses the less loaded of two random cache nodes (Mitzenmacher 2001).

    The load is this router's attempts in flight.
    """

    def pick(self, _request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Draw two nodes, and return the one with fewer attempts in flight, the first if they are equal."""
        drawn = self.rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda node: node.in_flight)
