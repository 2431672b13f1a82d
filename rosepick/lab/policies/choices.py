"""Policies that look at nothing but the candidates and what this router has out there. All are zone-blind."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from .base import BaselinePolicy, PolicyNode, PolicyRequest


class RandomChoice(BaselinePolicy):
    """Any cache node, each as likely as the others. Zone-blind."""

    def pick(self, now: float, job: PolicyRequest, candidates: Sequence[PolicyNode]) -> PolicyNode:
        """One at random."""
        return self.rng.choice(candidates)


class RoundRobin(BaselinePolicy):
    """Each cache node in its turn, by number. Zone-blind."""

    last: int | None = None

    def pick(self, now: float, job: PolicyRequest, candidates: Sequence[PolicyNode]) -> PolicyNode:
        """The one after the last one. The first is drawn: guards against routers that go in step."""
        if self.last is None:
            node = self.rng.choice(candidates)
        else:
            after = bisect_right(candidates, self.last, key=lambda other: other.server)
            node = candidates[after % len(candidates)]
        self.last = node.server
        return node


class LeastOutstanding(BaselinePolicy):
    """The cache node where this router has the fewest attempts out. Zone-blind."""

    def pick(self, now: float, job: PolicyRequest, candidates: Sequence[PolicyNode]) -> PolicyNode:
        """One of the least. Drawn among equals: else a quiet router would know only its first node."""
        least = min(node.in_flight for node in candidates)
        return self.rng.choice([node for node in candidates if node.in_flight == least])


class TwoChoices(BaselinePolicy):
    """The better of two random cache nodes, by what this router has out there. Zone-blind."""

    def pick(self, now: float, job: PolicyRequest, candidates: Sequence[PolicyNode]) -> PolicyNode:
        """Draw two, take the one with fewer attempts out, the first if they are equal."""
        drawn = self.rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda node: node.in_flight)
