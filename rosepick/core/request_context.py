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
    ref: int = 0  # the number that the engine gave the request
    downstream: DownstreamPort | None = None
    is_finished: bool = False
    is_partial: bool = False  # its last byte has not arrived; the deadline is provisional
    response_started: bool = False  # a response is being forwarded
    limits: api.RouterLimits = field(default_factory=api.RouterLimits)  # as of its arrival
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    watchdog_timer: TimerHandle | None = None
    started_at: float = 0.0  # when its time began to count
    read_late_ms: float = 0.0  # how long it may have waited before it was read
    busy_ms: float = 0.0  # for how long the router had not been idle when it was read
    client_id: str = ""  # the client's own id of the request, for the log
    # checks the connection itself, as a disconnect may not have been noticed
    client_has_left: Callable[[], bool] = _assume_connected

    def awaits_response(self) -> bool:
        """Return whether its final answer is due.

        Guards against a second answer while a response is being forwarded.
        """
        return not (self.is_finished or self.response_started)

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
    number: int  # its index among the attempts of the request
    endpoint_id: int
    sent_at: float
    stop_at: float  # when it times out
    begin_by: float  # its first byte must not be written later
    is_in_flight: bool = True
    result: api.Result | None = None  # once it has ended
    is_fully_written: bool = False  # its last byte was written: an endpoint cannot execute it before
    timeout_timer: TimerHandle | None = None
