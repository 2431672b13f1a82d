"""A policy that is told what no router can know: the true state of every node, at this moment."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from .base import PolicyNode, PolicyRequest, hash64
from .choices import LeastOutstanding

SLOW_SHARE = 0.5  # of the aim: a node that takes longer is not taken while another does not
HOME_NODES = 3  # nodes that a key may come to live at, the quickest of which is taken


class GroundTruth(Protocol):
    """What is so in the world at this moment."""

    def expected_latency_ms(self, server: int, key: int, now: float) -> float:
        """The true time in ms that the work of a read would take there; inf if it cannot be done."""

    def holds_key(self, server: int, key: int) -> bool:
        """Whether that node has the key."""

    def accepts_cold_request(self, server: int, now: float) -> bool:
        """Whether the budget of a cold node allows it one more; true of any other."""


class Oracle(LeastOutstanding):
    """The quickest node that truly holds the key; where none does, or all are slow, the quickest of the key's
    homes.

    It sees what is, and not what comes; it refuses nobody early and gives no attempt up that will not be
    answered. So it is no upper bound, but shows what knowing the state is worth by itself.
    """

    ground_truth: GroundTruth | None = None  # none: as LeastOutstanding

    def pick(self, now: float, job: PolicyRequest, candidates: Sequence[PolicyNode]) -> PolicyNode:
        """Where a key is not held it is sent to a home of its own, so that it lives at few nodes: each copy
        more is a fetch more. Where no node may take it, all are looked at: someone has to answer.
        """
        truth, key = self.ground_truth, job.event.key
        if truth is None:
            return super().pick(now, job, candidates)
        usable = [node for node in candidates if truth.accepts_cold_request(node.server, now)] or list(
            candidates
        )
        times = {node.server: truth.expected_latency_ms(node.server, key, now) for node in usable}
        bound = SLOW_SHARE * job.klass.objective_ms
        quick = [node for node in usable if times[node.server] <= bound]
        holders = [node for node in quick if truth.holds_key(node.server, key)]
        homes = sorted(quick or usable, key=lambda node: hash64(job.hash_key, node.server))[:HOME_NODES]
        return min(holders or homes, key=lambda node: (times[node.server], hash64(job.hash_key, node.server)))
