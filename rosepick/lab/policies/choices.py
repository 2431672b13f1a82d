"""Policies that use nothing but the candidates and this router's attempts in flight. All ignore zones."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from .base import BaselinePolicy
from .membership import PolicyNode
from .policy_request import PolicyRequest


class RandomChoice(BaselinePolicy):
    """Any cache node, all with the same probability."""

    def pick(self, _request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Draw a node."""
        return self.rng.choice(candidates)


class RoundRobin(BaselinePolicy):
    """Each cache node in its turn, by number."""

    last_endpoint_id: int | None = None

    def pick(self, _request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Return the node after the last one. The first is drawn, so that routers are not in step."""
        if self.last_endpoint_id is None:
            node = self.rng.choice(candidates)
        else:
            index = bisect_right(candidates, self.last_endpoint_id, key=lambda other: other.endpoint_id)
            node = candidates[index % len(candidates)]
        self.last_endpoint_id = node.endpoint_id
        return node


class LeastOutstanding(BaselinePolicy):
    """The cache node where this router has the fewest attempts in flight."""

    def pick(self, _request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Draw among the least loaded nodes, so that a router with little traffic uses them all."""
        least = min(node.in_flight for node in candidates)
        return self.rng.choice([node for node in candidates if node.in_flight == least])


class TwoChoices(BaselinePolicy):
    """The better of two random cache nodes (Mitzenmacher 2001), by this router's attempts in flight."""

    def pick(self, _request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Draw two nodes, and return the one with fewer attempts in flight, the first if they are equal."""
        drawn = self.rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda node: node.in_flight)
