"""A policy that knows what no router can know: the true present state of every node."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from .base import hash64
from .choices import LeastOutstanding
from .membership import PolicyNode
from .policy_request import PolicyRequest

SLOW_SHARE = 0.5  # of the objective: a node that takes longer is slow, and used only if all are
HOME_NODES = 3  # nodes that may come to hold a key


class GroundTruth(Protocol):
    """The true present state of all nodes. Times are milliseconds."""

    def expected_latency_ms(self, endpoint_id: int, key: int, now: float, /) -> float:
        """Return how long the work of a read would take at a node; inf if the node cannot do it."""

    def holds_key(self, endpoint_id: int, key: int, /) -> bool:
        """Return whether a node holds a key."""

    def accepts_cold_request(self, endpoint_id: int, now: float, /) -> bool:
        """Return whether the budget of a cold node allows one more request; True for any other node."""


class Oracle(LeastOutstanding):
    """The quickest node that holds the key; if none does, or all are slow, the quickest of the key's homes.

    It knows the present and not the future, refuses nothing early and gives no attempt up. So it is no upper
    bound, but shows what knowing the state is worth by itself.
    """

    ground_truth: GroundTruth | None = None  # without it the policy is LeastOutstanding

    def pick(self, request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Return the quickest holder, or the quickest home.

        A key has few homes, as each further copy costs a fetch. If no cold node has budget left, all
        candidates are considered.
        """
        truth = self.ground_truth
        key = request.event.key
        now = self.now
        if truth is None:
            return super().pick(request, candidates)
        usable = [node for node in candidates if truth.accepts_cold_request(node.endpoint_id, now)] or list(
            candidates
        )
        latencies = {
            node.endpoint_id: truth.expected_latency_ms(node.endpoint_id, key, now) for node in usable
        }
        max_latency_ms = SLOW_SHARE * request.request_class.objective_ms
        quick_nodes = [node for node in usable if latencies[node.endpoint_id] <= max_latency_ms]
        holders = [node for node in quick_nodes if truth.holds_key(node.endpoint_id, key)]
        homes = sorted(quick_nodes or usable, key=lambda node: hash64(request.hash_key, node.endpoint_id))[
            :HOME_NODES
        ]
        return min(
            holders or homes,
            key=lambda node: (latencies[node.endpoint_id], hash64(request.hash_key, node.endpoint_id)),
        )
