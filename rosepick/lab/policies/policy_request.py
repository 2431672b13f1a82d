"""Requests of a baseline policy, and where and when each may be sent again."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

from ...decisions import api
from ...decisions.api import Effect, Group
from .membership import PolicyNode

REPEAT_WINDOW_SHARE = 0.9  # of a repeat window that is used: the rest is for the latency


@dataclass(slots=True, eq=False)
class PolicyAttempt:
    """One attempt of a request."""

    node: PolicyNode
    sent_at: float
    to_origin: bool
    in_flight: bool = True
    never_ran: bool = False  # it is certain that the request was not executed


@dataclass(slots=True, eq=False)
class PolicyRequest:
    """A request from its arrival until its final answer and the end of its last attempt."""

    event: api.RequestArrived
    request_class: api.RequestClass
    deadline: float
    at_origin: bool  # the next attempt goes to an origin
    attempts: list[PolicyAttempt] = field(default_factory=list)
    check_at: float = inf  # when the attempt in flight has had its time, in milliseconds
    answered: bool = False

    @property
    def ref(self) -> int:
        """The request's number."""
        return self.event.ref

    @property
    def hash_key(self) -> int:
        """What the request is placed by: its key, or its number if it has none."""
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
        """Return the nodes that detect a repeat: the group of the first attempt that may have run."""
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
        """Return the nodes to which the request was not sent yet."""
        if not self.attempts:
            return nodes
        tried = {attempt.node.endpoint_id for attempt in self.attempts}
        return [node for node in nodes if node.endpoint_id not in tried]
