"""The client of one task's lease: a state machine that waits for the lease, holds it and renews it.

    WAITING   Another client holds the lease, or other clients are ahead of this one in the queue.
    HELD      This client holds the lease; `may_act` is true until a safety margin before the lease's end.
    LOST      This client no longer holds the lease; `may_act` stays false.
    ENDED     The lease was released, or this client stopped waiting for it.

Times are milliseconds of this process's own clock, which continues while the machine sleeps. Clocks of
different processes are never compared. The holder counts from before it sent its request, as if its clock had
the slowest allowed rate. A waiting client counts from the moment when it last saw the record change, as if
its clock had the fastest allowed rate. So the holder stops before the other client starts, whatever the two
clocks show. This is the rule for leases of Gray and Cheriton (1989); drift is a bound on the rates of clocks.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..consensus.proposer import OperationOutcome, OutcomeKind, RegisterChange
from . import lease_record
from .lease_record import LeaseRecord

# The constants `..._SHARE` are shares of the lease's time to live.
RENEW_INTERVAL_SHARE = 1 / 3  # interval between renewals
# Interval between reads of a lease that another client holds, limited by the two intervals below.
POLL_INTERVAL_SHARE = 1 / 14
RETRY_DELAY_SHARE = 1 / 12  # mean delay before a failed renewal is retried
SAFETY_MARGIN_SHARE = 0.05  # `may_act` becomes false this long before the lease's end
DOUBT_THRESHOLD_SHARE = 0.4  # a lease with less time left is in doubt, because renewals have failed

MIN_POLL_INTERVAL_MS = 30.0
MAX_POLL_INTERVAL_MS = 400.0
QUEUE_TURN_MS = (
    150.0  # how long only one client of the queue may acquire a free lease before the next one may
)
FIRST_IN_QUEUE_POLL_INTERVAL_MS = (
    100.0  # shorter than a turn, so that the first client does not miss its turn
)

# Polls are spread over 0.7 to 1.3 times the interval.
MIN_POLL_JITTER = 0.7
POLL_JITTER_RANGE = 0.6
MIN_RETRY_JITTER = 0.5  # retries are spread over 0.5 to 1.5 times the delay


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Holds the settings of a lease.

    `ttl_ms` is the time to live in milliseconds. `max_clock_drift` is the largest relative error of the rate
    of any clock in the fleet. `joins_queue` says whether a waiting client joins the queue.
    """

    ttl_ms: float = 10_000.0
    max_clock_drift: float = 0.025
    joins_queue: bool = True

    @property
    def holder_timeout_ms(self) -> float:
        """Return how many milliseconds a lease lasts by the holder's own clock."""
        return self.ttl_ms * (1.0 - self.max_clock_drift)

    def takeover_timeout_ms(self, ttl_ms: float) -> float:
        """Return how many milliseconds another client waits by its own clock until a lease has ended."""
        return ttl_ms * (1.0 + self.max_clock_drift)


class LeaseState(Enum):
    """Names the states of a lease client, which the module's docstring describes."""

    WAITING = "waits"
    HELD = "holds"
    LOST = "lost"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class LeaseOperation:
    """Describes an operation for the driver to run on the quorum: a change, or a read if `change` is None."""

    key: str
    change: RegisterChange | None


class _OperationKind(Enum):
    """Names the purpose of a pending operation."""

    READ = "read"
    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"
    JOIN_QUEUE = "join queue"
    LEAVE_QUEUE = "leave queue"


class _PlannedOperation(NamedTuple):
    kind: _OperationKind
    change: RegisterChange | None


class LeaseClient:
    """Acquires, renews and releases one task's lease.

    The driver calls `next_operation`, runs the operation that it returns and passes the outcome to
    `handle_outcome`; one operation is pending at a time. `owner_id` is drawn at random at each start of the
    process, and `jitter` returns random numbers from 0 to 1.
    """

    def __init__(
        self, task: str, name: str, owner_id: int, config: LeaseConfig, jitter: Callable[[], float]
    ) -> None:
        self.task = task
        self.name = name
        self.owner_id = owner_id
        self.config = config
        self._jitter = jitter
        self.state = LeaseState.WAITING
        self.token = 0  # fencing token of the lease that is or was held
        self.renewal_count = 0
        self.known_record: LeaseRecord | None = None  # the record when it was last read
        self._expires_at = 0.0  # end of the lease
        self._record_changed_at = 0.0  # when this client last saw that the record had changed
        self._operation_started_at: float | None = None  # None if no operation is pending
        self._operation_kind: _OperationKind | None = None
        self._next_operation_at = 0.0
        self._release_requested = False
        self._successor = ""

    # -- for the holder of the lease

    def may_act(self, now: float) -> bool:
        """Return whether a step of work is allowed now; the caller checks this before each step."""
        if self.state is not LeaseState.HELD or self._release_requested:
            return False
        return now < self._acting_ends_at()

    def remaining_ms(self, now: float) -> float:
        """Return the milliseconds until this client must stop acting, if no further renewal succeeds.

        This also holds after a forced release, because the next holder waits until that time is over.
        """
        return max(0.0, self._acting_ends_at() - now)

    def _acting_ends_at(self) -> float:
        return self._expires_at - SAFETY_MARGIN_SHARE * self.config.ttl_ms

    def is_in_doubt(self, now: float) -> bool:
        """Return whether the lease is held, and too little of it is left because renewals have failed."""
        remaining = self._expires_at - now
        return self.state is LeaseState.HELD and remaining < DOUBT_THRESHOLD_SHARE * self.config.ttl_ms

    def release(self, successor: str = "") -> None:
        """Release the lease, or stop waiting for it; `may_act` is false from now on.

        The caller has stopped its work before. The client named `successor` becomes the first in the queue.
        """
        self._release_requested = True
        self._successor = successor
        self._next_operation_at = 0.0
        if self.state in (LeaseState.LOST, LeaseState.ENDED):
            self.state = LeaseState.ENDED

    # -- for the driver

    def next_wakeup(self, now: float) -> float:
        """Return when to call `next_operation` again, if no outcome arrives before."""
        if self.state is LeaseState.HELD:
            return min(self._next_operation_at, max(now, self._expires_at))
        return self._next_operation_at

    def next_operation(self, now: float) -> LeaseOperation | None:
        """Return the next operation, if one is due and none is pending."""
        self._check_expiry(now)
        if self._operation_started_at is not None or now < self._next_operation_at:
            return None
        if self.state in (LeaseState.LOST, LeaseState.ENDED):
            return None
        operation = self._plan_operation(now)
        if operation is None:
            self._operation_kind = None
            self.state = LeaseState.ENDED
            return None
        self._operation_kind = operation.kind
        self._operation_started_at = now
        return LeaseOperation(lease_record.register_key(self.task), operation.change)

    def _check_expiry(self, now: float) -> None:
        if self.state is LeaseState.HELD and now >= self._expires_at:
            self._end_holding()

    def _end_holding(self) -> None:
        self.state = LeaseState.ENDED if self._release_requested else LeaseState.LOST

    def _plan_operation(self, now: float) -> _PlannedOperation | None:
        """Choose the next operation; None if this client has nothing left to do."""
        if self.state is LeaseState.HELD:
            return self._plan_as_owner(self.token)
        if self.known_record is not None and self._owns_record():
            # The reply to the grant was lost, so its time is unknown: a renewal has to succeed first.
            return self._plan_as_owner(self.known_record.token)
        if self._release_requested:
            return self._plan_leaving()
        return self._plan_waiting(now)

    def _plan_as_owner(self, token: int) -> _PlannedOperation:
        if self._release_requested:
            change = lease_record.release(self.owner_id, token, self._successor)
            return _PlannedOperation(_OperationKind.RELEASE, change)
        change = lease_record.renew(self.owner_id, token, self.config.ttl_ms)
        return _PlannedOperation(_OperationKind.RENEW, change)

    def _plan_leaving(self) -> _PlannedOperation | None:
        queue = self.known_record.queue if self.known_record is not None else ()
        if any(waiter.owner_id == self.owner_id for waiter in queue):
            return _PlannedOperation(_OperationKind.LEAVE_QUEUE, lease_record.leave_queue(self.owner_id))
        return None

    def _plan_waiting(self, now: float) -> _PlannedOperation:
        if self.known_record is None:
            return _PlannedOperation(_OperationKind.READ, None)
        if self._may_acquire(now):
            change = lease_record.acquire(self.known_record, self.owner_id, self.name, self.config.ttl_ms)
            return _PlannedOperation(_OperationKind.ACQUIRE, change)
        if self._wants_to_join(self.known_record):
            change = lease_record.join_queue(self.owner_id, self.name)
            return _PlannedOperation(_OperationKind.JOIN_QUEUE, change)
        return _PlannedOperation(_OperationKind.READ, None)

    def _owns_record(self) -> bool:
        """Return whether this client owns the record; if its state is not HELD, a reply was lost."""
        record = self.known_record
        return record is not None and record.is_held and record.owner_id == self.owner_id

    def _wants_to_join(self, record: LeaseRecord) -> bool:
        return (
            self._queue_position() is None
            and self.config.joins_queue
            and len(record.queue) < lease_record.MAX_QUEUE_LENGTH
        )

    def _queue_position(self) -> int | None:
        if self.known_record is None:
            return None
        return self.known_record.queue_position(self.owner_id, self.name)

    def _free_at(self) -> float:
        """Return when this client may acquire the lease: it has ended, and earlier turns are over."""
        assert self.known_record is not None
        record = self.known_record
        position = self._queue_position()
        turns_before = len(record.queue) if position is None else position
        takeover_timeout_ms = self.config.takeover_timeout_ms(record.ttl_ms) if record.is_held else 0.0
        return self._record_changed_at + takeover_timeout_ms + turns_before * QUEUE_TURN_MS

    def _may_acquire(self, now: float) -> bool:
        return now >= self._free_at()

    # -- outcomes

    def handle_outcome(self, now: float, outcome: OperationOutcome) -> None:
        """Handle the outcome of the pending operation."""
        started_at = self._operation_started_at
        self._operation_started_at = None
        if started_at is None:
            return
        self._check_expiry(now)
        if outcome.kind in (OutcomeKind.COMMITTED, OutcomeKind.UNCHANGED) or outcome.register.version:
            self._update_record(now, lease_record.decode_record(outcome.register))
        if self.state is LeaseState.HELD:
            self._handle_outcome_while_held(now, started_at, outcome)
        elif self.state is LeaseState.WAITING:
            self._handle_outcome_while_waiting(now, started_at, outcome)

    def _update_record(self, now: float, latest: LeaseRecord) -> None:
        if self.known_record is None or latest.has_changed_since(self.known_record):
            self._record_changed_at = now
        self.known_record = latest

    def _extend_lease(self, now: float, started_at: float) -> None:
        """Hold the lease for another time to live, counted from the start of the operation.

        Other clients count from a moment after that start.
        """
        self._expires_at = started_at + self.config.holder_timeout_ms
        if self._release_requested:
            self._next_operation_at = now
        else:
            self._next_operation_at = started_at + RENEW_INTERVAL_SHARE * self.config.ttl_ms

    def _handle_outcome_while_held(self, now: float, started_at: float, outcome: OperationOutcome) -> None:
        is_committed = outcome.kind is OutcomeKind.COMMITTED
        if is_committed and self._operation_kind is _OperationKind.RELEASE:
            self.state = LeaseState.ENDED
        elif is_committed:
            self.renewal_count += 1
            self._extend_lease(now, started_at)
        elif (
            self.known_record is not None
            and outcome.register.version
            and not self.known_record.is_held_by(self.owner_id, self.token)
        ):
            self._end_holding()
        else:
            retry_delay_ms = RETRY_DELAY_SHARE * self.config.ttl_ms * (MIN_RETRY_JITTER + self._jitter())
            self._next_operation_at = now + retry_delay_ms

    def _handle_outcome_while_waiting(self, now: float, started_at: float, outcome: OperationOutcome) -> None:
        is_committed = outcome.kind is OutcomeKind.COMMITTED
        if is_committed and self._operation_kind in (_OperationKind.ACQUIRE, _OperationKind.RENEW):
            assert self.known_record is not None
            self.state = LeaseState.HELD
            self.token = self.known_record.token
            if self._operation_kind is _OperationKind.RENEW:
                self.renewal_count += 1
            self._extend_lease(now, started_at)
        elif self._release_requested:
            self._handle_release_outcome(now, outcome)
        elif self._owns_record() and outcome.kind is not OutcomeKind.FAILED:
            self._next_operation_at = now
        else:
            self._next_operation_at = self._next_poll_at(now, outcome)

    def _handle_release_outcome(self, now: float, outcome: OperationOutcome) -> None:
        is_final = self._operation_kind in (_OperationKind.LEAVE_QUEUE, _OperationKind.RELEASE)
        if is_final and outcome.kind in (OutcomeKind.COMMITTED, OutcomeKind.UNCHANGED):
            self.state = LeaseState.ENDED
        self._next_operation_at = now

    def _next_poll_at(self, now: float, outcome: OperationOutcome) -> float:
        """Return when the next operation is due: after a jittered poll interval, or when the lease ends."""
        is_first = self._queue_position() == 0
        max_interval_ms = FIRST_IN_QUEUE_POLL_INTERVAL_MS if is_first else MAX_POLL_INTERVAL_MS
        ttl_interval_ms = max(MIN_POLL_INTERVAL_MS, POLL_INTERVAL_SHARE * self.config.ttl_ms)
        jitter = MIN_POLL_JITTER + POLL_JITTER_RANGE * self._jitter()
        poll_interval_ms = min(max_interval_ms, ttl_interval_ms) * jitter
        if self.known_record is None or outcome.kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN):
            return now + poll_interval_ms
        if self._wants_to_join(self.known_record):
            return now + MIN_POLL_INTERVAL_MS * self._jitter()
        free_at = self._free_at()
        if free_at <= now:
            return now
        return max(now, min(now + poll_interval_ms, free_at))
