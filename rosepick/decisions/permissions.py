"""The one place that decides whether something may be sent, repeated, closed or started now.

Every path asks here right before it acts, with facts of that very moment: the decision module before it
chooses a send, the engine before it carries it out, a connection before the first byte of an attempt. What
was allowed earlier says nothing: the client may have left, the endpoint may drain and time passes in between.
Each function returns None, or the reason why not. Times are milliseconds of the router's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from .api import Effect, Group, RequestClass, Status

# A router may be held up for so long between reading its clock and writing. What has to end in time ends this
# much earlier.
MAX_HOLD_UP_MS = 150.0
REPEAT_WINDOW_MARGIN = 0.1  # of a repeat window at least, left for the network

# How long a request may have waited before it was read, as a share of the time that its client gives it, in a
# router that has not been idle for some time: it will not catch up by itself, and serving a request takes
# several steps more, each as late as the first.
MAX_READ_LATE_SHARE = 0.0625
BUSY_AFTER_MS = 100.0

# A process that starts waits for a list, as the one that it is configured with may be old: this long while
# discovery responds without giving one, ...
MAX_START_WAIT_MS = 5_000.0
# ... and this long while it cannot be reached, as nobody learns of a change then.
UNREACHABLE_START_WAIT_MS = 1_000.0


class Denial(Enum):
    """Why something may not happen now; the values are words of the log."""

    REQUEST_FINISHED = "request_finished"  # it has its final answer, or its client has left
    DEADLINE_PASSED = "deadline_passed"
    ATTEMPTS_USED = "attempts_used"
    ATTEMPT_IN_FLIGHT = "attempt_in_flight"
    ENDPOINT_NOT_READY = "endpoint_not_ready"  # it drains, has left or was never listed
    COLD_BUDGET_USED = "cold_budget_used"
    MAY_HAVE_RUN = "may_have_run"  # a repeat could take effect twice
    REPEAT_WINDOW_ENDED = "repeat_window_ended"
    ANSWER_OWED = "answer_owed"
    REQUEST_EXPECTED = "request_expected"
    BODY_CONSUMED = "body_consumed"
    PREDECESSOR_SERVES = "predecessor_serves"
    LIST_UNCONFIRMED = "list_unconfirmed"
    READ_LATE = "read_late"  # it has waited for too long before it was read


@dataclass(frozen=True, slots=True)
class RepeatFacts:
    """What matters for sending a request again of which an attempt may have run."""

    request_class: RequestClass
    first_unsafe_sent_at: float
    same_zone: bool  # as that attempt
    same_cell: bool


@dataclass(frozen=True, slots=True)
class SendFacts:
    """What matters for beginning an attempt.

    `repeat` is None if no earlier attempt may have run, or if whoever asks does not know.
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
    """What matters for writing the first byte of an attempt that was allowed before."""

    now: float
    is_finished: bool
    stop_at: float
    begin_by: float  # infinite if the attempt is no repeat
    endpoint_status: Status | None  # as discovery has notified it so far
    is_body_consumed: bool  # by an earlier attempt, so that it cannot be sent again


@dataclass(frozen=True, slots=True)
class AcceptFacts:
    """What matters for accepting a request that was read."""

    read_late_ms: float  # how long it may have waited before it was read
    time_left_ms: float  # to its deadline
    busy_ms: float  # since the router was idle last


@dataclass(frozen=True, slots=True)
class CloseFacts:
    """What matters for closing a client's connection."""

    at_own_will: bool  # not because the client has left, stopped, or has an answer that cannot be completed
    owes_answer: bool
    expects_request: bool  # so new, or so recently used, that a request may be on the way


@dataclass(frozen=True, slots=True)
class StartFacts:
    """What matters for accepting the first client."""

    waited_ms: float
    list_received: bool  # from discovery, since the start
    discovery_reachable: bool
    predecessor_serves: bool  # another process of this router that was there at the start
    state_settled: bool  # the predecessor's state was imported, or is not to be had
    shares_socket: bool  # with other processes: it takes connections whether or not this one serves


def check_send(facts: SendFacts) -> Denial | None:
    """Return why an attempt may not begin now; None if it may."""
    if facts.is_finished:
        return Denial.REQUEST_FINISHED
    if facts.now >= facts.deadline:
        return Denial.DEADLINE_PASSED
    if facts.attempts_made >= facts.max_attempts:
        return Denial.ATTEMPTS_USED
    if facts.endpoint_status is not Status.READY:
        return Denial.ENDPOINT_NOT_READY  # at once, not at the end of the grace
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
    """Return until when a request may be sent again; infinite if no attempt of it may have run."""
    if first_unsafe_sent_at is None or request_class.effect is Effect.RETRYABLE:
        return inf
    if request_class.effect is Effect.FRAGILE:
        return -inf
    window_ms = request_class.repeat_window_ms
    return first_unsafe_sent_at + window_ms - max(REPEAT_WINDOW_MARGIN * window_ms, MAX_HOLD_UP_MS)


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
    """Return why a request is refused before anything is done for it; None if it is accepted."""
    if facts.time_left_ms <= 0:
        return Denial.DEADLINE_PASSED
    time_given_ms = facts.read_late_ms + facts.time_left_ms
    is_late = facts.read_late_ms > MAX_READ_LATE_SHARE * time_given_ms
    return Denial.READ_LATE if is_late and facts.busy_ms > BUSY_AFTER_MS else None


def check_close(facts: CloseFacts) -> Denial | None:
    """Return why a client's connection may not be closed now; None if it may."""
    if not facts.at_own_will:
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
