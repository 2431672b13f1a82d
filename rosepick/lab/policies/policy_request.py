"""Requests of a baseline policy, and the rules for where and when each may be repeated."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

from ...decisions import api
from ...decisions.api import Effect, Group
from .membership import PolicyNode

REPEAT_WINDOW_SHARE = 0.9  # usable share of a repeat window; the rest is a margin for latency


@dataclass(slots=True, eq=False)
class PolicyAttempt:
    """An attempt of a request."""

    node: PolicyNode
    sent_at: float
    to_origin: bool
    in_flight: bool = True
    never_ran: bool = False  # the node certainly did not execute the request


@dataclass(slots=True, eq=False)
class PolicyRequest:
    """A request, kept from its arrival to its final answer and the end of its last attempt."""

    event: api.RequestArrived
    request_class: api.RequestClass
    deadline: float
    at_origin: bool  # the next attempt goes to an origin
    attempts: list[PolicyAttempt] = field(default_factory=list)
    attempt_timeout_at: float = inf  # timeout of the attempt in flight, as a time in milliseconds
    answered: bool = False

    @property
    def ref(self) -> int:
        """The request's number."""
        return self.event.ref

    @property
    def hash_key(self) -> int:
        """The number by which the request is placed: its key, or its own number if it has no key."""
        return self.event.key or self.event.ref

    @property
    def may_repeat_anywhere(self) -> bool:
        """Whether a second execution is harmless on any endpoint, so that the request may be refused."""
        request_class = self.request_class
        return request_class.effect is Effect.RETRYABLE or (
            request_class.effect is Effect.DEDUP and request_class.group is Group.ALL
        )

    @property
    def in_flight(self) -> bool:
        """Whether an attempt is in flight. Only the last one can be."""
        return bool(self.attempts) and self.attempts[-1].in_flight

    @property
    def first_possible_execution(self) -> PolicyAttempt | None:
        """The first attempt that may have been executed, if any."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)

    def may_repeat(self, at_ms: float) -> bool:
        """Return whether the request class allows another attempt at a time in milliseconds."""
        first_attempt = self.first_possible_execution
        request_class = self.request_class
        if first_attempt is None or request_class.effect is Effect.RETRYABLE:
            return True
        return (
            request_class.effect is Effect.DEDUP
            and at_ms < first_attempt.sent_at + REPEAT_WINDOW_SHARE * request_class.repeat_window_ms
        )

    def nodes_in_repeat_group(self, nodes: Sequence[PolicyNode]) -> Sequence[PolicyNode]:
        """Return the nodes that detect a repeated request.

        These are the nodes in the group of the first attempt that may have been executed.
        """
        first_attempt = self.first_possible_execution
        request_class = self.request_class
        if (
            first_attempt is None
            or request_class.effect is not Effect.DEDUP
            or request_class.group is Group.ALL
        ):
            return nodes
        first = first_attempt.node.member
        if request_class.group is Group.ZONE:
            return [node for node in nodes if node.member.zone == first.zone]
        return [node for node in nodes if node.member.cell == first.cell]

    def untried_nodes(self, nodes: Sequence[PolicyNode]) -> Sequence[PolicyNode]:
        """Return the nodes to which the request was not sent."""
        if not self.attempts:
            return nodes
        tried = {attempt.node.endpoint_id for attempt in self.attempts}
        return [node for node in nodes if node.endpoint_id not in tried]
