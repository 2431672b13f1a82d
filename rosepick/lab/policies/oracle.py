"""A policy that uses the actual present state of every node, which real routers cannot observe."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from .base import hash64
from .choices import LeastOutstanding
from .membership import PolicyNode
from .policy_request import PolicyRequest

SLOW_SHARE = 0.5  # share of the objective beyond which a node is slow; used only if all nodes are slow
PREFERRED_NODES = 3  # preferred nodes of each key, by rendezvous order


class GroundTruth(Protocol):
    """The actual present state of all nodes. Times are milliseconds."""

    def expected_latency_ms(self, endpoint_id: int, key: int, now: float, /) -> float:
        """Return the expected time of a read's work at a node; inf if the node cannot do it."""

    def holds_key(self, endpoint_id: int, key: int, /) -> bool:
        """Return whether a node holds a key."""

    def accepts_cold_request(self, endpoint_id: int, now: float, /) -> bool:
        """Return whether the budget of a cold node allows one more request; True for any other node."""


class Oracle(LeastOutstanding):
    """Chooses the fastest node that holds the key, or the fastest of the key's preferred nodes.

    A preferred node is chosen if no node holds the key or all holders are slow. The policy has the present
    state and no predictions, refuses no request early and cancels no attempt. It is therefore no upper bound,
    but measures the benefit of exact state alone.
    """

    ground_truth: GroundTruth | None = None  # None: the policy is LeastOutstanding

    def pick(self, request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Return the fastest holder, or the fastest preferred node.

        A key has few preferred nodes, because each further copy costs a fetch. If no candidate accepts a
        request by its cold budget, all candidates are considered.
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
        fast_nodes = [node for node in usable if latencies[node.endpoint_id] <= max_latency_ms]
        holders = [node for node in fast_nodes if truth.holds_key(node.endpoint_id, key)]
        preferred_nodes = sorted(
            fast_nodes or usable, key=lambda node: hash64(request.hash_key, node.endpoint_id)
        )[:PREFERRED_NODES]
        return min(
            holders or preferred_nodes,
            key=lambda node: (latencies[node.endpoint_id], hash64(request.hash_key, node.endpoint_id)),
        )
