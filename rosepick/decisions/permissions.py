"""The permissions: the only place that decides whether a send, repeat, close or start may happen now.

Every path checks here right before it acts, with the facts of that moment: the decision module before it
chooses a send, the engine before it carries out the send, and a connection before the first byte of an
attempt. An earlier permission does not count: in between, the client may have left, the endpoint may have
begun to drain and time has passed. Each function returns None if the action is permitted, and otherwise the
denial. Times are milliseconds of the router's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from .api import Effect, Group, RequestClass, Status

# The longest expected delay between reading the clock and writing. Whatever must end in time ends this much
# earlier.
MAX_WRITE_DELAY_MS = 150.0
REPEAT_WINDOW_MARGIN = 0.1  # least share of a repeat window that is left for the network

# The longest time that a request may have waited before it was read, as a share of the time that its client
# gives it. It applies to a busy router, which does not catch up by itself: serving the request takes several
# further steps, each as late as the first.
MAX_READ_LATE_SHARE = 0.0625
BUSY_AFTER_MS = 100.0  # a router that has not been idle for longer is busy

# A process that starts waits for a list, as the configured one may be out of date. This is the longest wait
# while discovery responds without a list.
MAX_START_WAIT_MS = 5_000.0
# The longest wait while discovery cannot be reached: then no router learns of a change.
UNREACHABLE_START_WAIT_MS = 1_000.0


class Denial(Enum):
    """The reason that an action is not permitted now; the values are written to the log."""

    REQUEST_FINISHED = "request_finished"  # it has its final answer, or its client has left
    DEADLINE_PASSED = "deadline_passed"
    ATTEMPTS_USED = "attempts_used"
    ATTEMPT_IN_FLIGHT = "attempt_in_flight"
    ENDPOINT_NOT_READY = "endpoint_not_ready"  # it is draining, has left or was never listed
    COLD_BUDGET_USED = "cold_budget_used"
    MAY_HAVE_RUN = "may_have_run"  # a repeat could take effect twice
    REPEAT_WINDOW_ENDED = "repeat_window_ended"
    ANSWER_OWED = "answer_owed"
    REQUEST_EXPECTED = "request_expected"
    BODY_CONSUMED = "body_consumed"
    PREDECESSOR_SERVES = "predecessor_serves"
    LIST_UNCONFIRMED = "list_unconfirmed"
    READ_LATE = "read_late"  # the request had waited too long before it was read


@dataclass(frozen=True, slots=True)
class RepeatFacts:
    """The facts for repeating a request of which an attempt may have run."""

    request_class: RequestClass
    first_unsafe_sent_at: float
    same_zone: bool  # as the first attempt that may have run
    same_cell: bool


@dataclass(frozen=True, slots=True)
class SendFacts:
    """The facts for beginning an attempt.

    `repeat` is None if no earlier attempt may have run, or if the caller does not know.
    """

    now: float
    deadline: float
    is_finished: bool
    attempts_made: int
    max_attempts: int
    attempts_in_flight: int
    allow_hedging: bool
    endpoint_status: Status | None = Status.READY
    has_cold_budget: bool = True
    repeat: RepeatFacts | None = None


@dataclass(frozen=True, slots=True)
class WriteFacts:
    """The facts for writing the first byte of an attempt that was permitted before."""

    now: float
    is_finished: bool
    stop_at: float
    begin_by: float  # infinite if the attempt is no repeat
    endpoint_status: Status | None  # as last notified by discovery
    is_body_consumed: bool  # by an earlier attempt, so that it cannot be sent again


@dataclass(frozen=True, slots=True)
class AcceptFacts:
    """The facts for accepting a request that was read."""

    read_late_ms: float  # how long it may have waited before it was read
    time_left_ms: float  # to its deadline
    busy_ms: float  # time since the router was last idle


@dataclass(frozen=True, slots=True)
class CloseFacts:
    """The facts for closing a client's connection."""

    is_router_initiated: bool  # false if the client left or stalled, or its answer cannot be completed
    owes_answer: bool
    expects_request: bool  # new or recently used, so that a request may be on its way


@dataclass(frozen=True, slots=True)
class StartFacts:
    """The facts for accepting the first client."""

    waited_ms: float
    list_received: bool  # from discovery, since the start
    discovery_reachable: bool
    predecessor_serves: bool  # another process of this router, running at the start, still serves
    state_settled: bool  # the predecessor's state was imported or is not available
    shares_socket: bool  # with other processes: the socket takes connections whether or not this one serves


def check_send(facts: SendFacts) -> Denial | None:
    """Return why an attempt may not begin now; None if it may."""
    if facts.is_finished:
        return Denial.REQUEST_FINISHED
    if facts.now >= facts.deadline:
        return Denial.DEADLINE_PASSED
    if facts.attempts_made >= facts.max_attempts:
        return Denial.ATTEMPTS_USED
    if facts.endpoint_status is not Status.READY:
        return Denial.ENDPOINT_NOT_READY  # at once, without waiting for the end of the drain's grace period
    if not facts.has_cold_budget:
        return Denial.COLD_BUDGET_USED
    if facts.attempts_in_flight > (1 if facts.allow_hedging else 0):
        return Denial.ATTEMPT_IN_FLIGHT
    return None if facts.repeat is None else check_repeat(facts.now, facts.repeat)


def check_repeat(now: float, facts: RepeatFacts) -> Denial | None:
    """Return why a request that may have run may not be sent again; None if it may."""
    effect, group = facts.request_class.effect, facts.request_class.group
    if effect is Effect.RETRYABLE:
        return None
    is_same_group = {Group.ZONE: facts.same_zone, Group.CELL: facts.same_cell}.get(group, True)
    if effect is Effect.FRAGILE or not is_same_group:
        return Denial.MAY_HAVE_RUN
    if now > repeat_until(facts.request_class, facts.first_unsafe_sent_at):
        return Denial.REPEAT_WINDOW_ENDED
    return None


def repeat_until(request_class: RequestClass, first_unsafe_sent_at: float | None) -> float:
    """Return the time until which a request may be sent again; infinite if no attempt may have run."""
    if first_unsafe_sent_at is None or request_class.effect is Effect.RETRYABLE:
        return inf
    if request_class.effect is Effect.FRAGILE:
        return -inf
    window_ms = request_class.repeat_window_ms
    return first_unsafe_sent_at + window_ms - max(REPEAT_WINDOW_MARGIN * window_ms, MAX_WRITE_DELAY_MS)


def check_write(facts: WriteFacts) -> Denial | None:
    """Return why the first byte of an attempt may not be written now; None if it may."""
    if facts.is_finished:
        return Denial.REQUEST_FINISHED
    if facts.now >= facts.stop_at:
        return Denial.DEADLINE_PASSED
    if facts.endpoint_status is not Status.READY:
        return Denial.ENDPOINT_NOT_READY
    if facts.now > facts.begin_by:
        return Denial.REPEAT_WINDOW_ENDED
    return Denial.BODY_CONSUMED if facts.is_body_consumed else None


def check_accept(facts: AcceptFacts) -> Denial | None:
    """Return why a request is refused before any work is done for it; None if it is accepted."""
    if facts.time_left_ms <= 0:
        return Denial.DEADLINE_PASSED
    time_given_ms = facts.read_late_ms + facts.time_left_ms
    is_late = facts.read_late_ms > MAX_READ_LATE_SHARE * time_given_ms
    return Denial.READ_LATE if is_late and facts.busy_ms > BUSY_AFTER_MS else None


def check_close(facts: CloseFacts) -> Denial | None:
    """Return why a client's connection may not be closed now; None if it may."""
    if not facts.is_router_initiated:
        return None
    if facts.owes_answer:
        return Denial.ANSWER_OWED
    return Denial.REQUEST_EXPECTED if facts.expects_request else None


def check_start(facts: StartFacts) -> Denial | None:
    """Return why a process may not accept its first client yet; None if it may."""
    if facts.predecessor_serves:
        is_ready = facts.list_received and facts.state_settled
        return None if is_ready else Denial.PREDECESSOR_SERVES
    if facts.list_received or facts.shares_socket:
        return None
    max_wait_ms = MAX_START_WAIT_MS if facts.discovery_reachable else UNREACHABLE_START_WAIT_MS
    return Denial.LIST_UNCONFIRMED if facts.waited_ms < max_wait_ms else None
