"""Requests in progress, their attempts, and the interface to the protocol adapter they came from."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..decisions import api
from .clock import TimerHandle


class DownstreamPort(Protocol):
    """The source of a request. It gets exactly one of these calls, unless it has disconnected."""

    def send_response(self, request: RequestContext, response: object) -> None:
        """Forward an upstream's response unchanged."""

    def start_response_stream(self, request: RequestContext, response: object) -> None:
        """Begin to forward an upstream's response as it arrives.

        The port reports its end by `Engine.end_response_stream`, unless the client disconnects.
        """

    def send_refusal(self, request: RequestContext, retry_after_ms: float) -> None:
        """Refuse the request; a retry is harmless, best after `retry_after_ms` milliseconds."""

    def send_failure(self, request: RequestContext, timed_out: bool) -> None:
        """Fail the request, because its deadline passed or for another reason."""

    def send_internal_error(self, request: RequestContext) -> None:
        """Fail the request because of a fault of this program."""


def _assume_connected() -> bool:
    """Return False: this protocol adapter cannot check whether its client has left."""
    return False


@dataclass(slots=True, eq=False)
class RequestContext:
    """A request from its arrival until its final answer and the end of its last attempt.

    Times are milliseconds of the event loop's clock.
    """

    class_index: int
    deadline: float
    key: int = 0
    tenant_index: int = 0
    is_write: bool = False
    is_retry: bool = False
    cost_hint: float | None = None
    payload: object = None  # the request in the protocol adapter's form, for the upstream
    ref: int = 0  # number that the engine assigned to the request
    downstream: DownstreamPort | None = None
    is_finished: bool = False
    is_partial: bool = False  # whether its last byte is still missing; the deadline is then provisional
    stalled_attempts: int = 0  # attempts that were given up because their response made no progress
    response_started: bool = False  # whether the forwarding of a response has begun
    limits: api.RouterLimits = field(default_factory=api.RouterLimits)  # in force at its arrival
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    watchdog_timer: TimerHandle | None = None
    module_timers: dict[int, TimerHandle] = field(default_factory=dict)  # of the decision module, by number
    started_at: float = 0.0  # start of the request's time, from which its duration is measured
    read_late_ms: float = 0.0  # upper bound for its wait before the router read it
    busy_ms: float = 0.0  # time since the router was last idle, when it read the request
    client_id: str = ""  # the client's own id of the request, for the log
    # Checks the client's connection itself, because the loop may not have reported a disconnect yet.
    client_has_left: Callable[[], bool] = _assume_connected

    def awaits_response(self) -> bool:
        """Return whether the final answer to the request is due.

        Guards against a second answer while a response is being forwarded.
        """
        return not (self.is_finished or self.response_started)

    def may_have_run(self) -> bool:
        """Return whether an upstream may have executed one of its attempts, or may still do so."""
        return any(
            attempt.is_fully_written and attempt.result not in api.NEVER_RAN for attempt in self.attempts
        )

    def to_event(self, now: float) -> api.RequestArrived:
        """Return the decision module's event for the request's arrival at `now`."""
        return api.RequestArrived(
            self.ref,
            self.class_index,
            max(0.0, self.deadline - now),
            self.key,
            self.tenant_index,
            self.is_write,
            self.is_retry,
            self.cost_hint,
            self.is_partial,
        )


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """One attempt at one endpoint. Times are milliseconds of the event loop's clock."""

    request: RequestContext
    number: int  # index of the attempt among the attempts of the request
    endpoint_id: int
    sent_at: float
    stop_at: float  # time at which the attempt times out
    begin_by: float  # latest time for the write of its first byte
    is_in_flight: bool = True
    first_byte_at: float | None = None  # when a response that may be long began to arrive
    result: api.Result | None = None  # result of the attempt; None until it has ended
    is_fully_written: bool = False  # whether its last byte was written; no endpoint can execute it before
    timeout_timer: TimerHandle | None = None
