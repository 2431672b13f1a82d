"""One process that wants a task's lease, holds it, or waits for it: a machine without clock and I/O.

    WAITS     another holds it, or others stand before this one
    HOLDS     the lease is this one's; `may_act` says yes until a good time before its end
    LOST      it was this one's and is no more; `may_act` never says yes again under that token
    ENDED     given back, or not wanted any more

Times are milliseconds of this process's own clock, one that goes on while the machine sleeps. No two clocks
are compared: the holder counts from before it asked, and takes its clock for the slowest there may be; who
waits counts from when it saw the record change last, and takes its own for the fastest. So the holder's time
is over before the other's, whatever the two clocks show (Gray and Cheriton 1989 give the rule for leases;
drift as a bound on the rate).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ..consensus.proposer import OperationOutcome, OutcomeKind, RegisterChange
from . import lease_record
from .lease_record import LeaseRecord

RENEW_INTERVAL_SHARE = 1 / 3  # of the time to live, between renewals
POLL_INTERVAL_SHARE = 1 / 14  # likewise, between two looks at a lease that another one holds ...
MIN_POLL_INTERVAL_MS, MAX_POLL_INTERVAL_MS = 30.0, 400.0  # ... but within these, in milliseconds
RETRY_DELAY_SHARE = 1 / 12  # likewise, until a renewal that has failed is tried again
# milliseconds that each one in line has for itself before the next may take a free lease ...
QUEUE_TURN_MS = 150.0
FIRST_IN_QUEUE_POLL_INTERVAL_MS = 100.0  # ... in which the first in line looks at least once
SAFETY_MARGIN_SHARE = 0.05  # of the time to live: `may_act` says no so long before the end
DOUBT_THRESHOLD_SHARE = 0.4  # of the time to live: less than this is left, so no renewal has come through


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """How a lease is held. `max_clock_drift`: by which part of it a clock's rate may be off, for all clocks
    there are.
    """

    ttl_ms: float = 10_000.0
    max_clock_drift: float = 0.025
    joins_queue: bool = True

    @property
    def holder_timeout_ms(self) -> float:
        """What a holder's own clock may show until it may not act any more."""
        return self.ttl_ms * (1.0 - self.max_clock_drift)

    def takeover_timeout_ms(self, ttl_ms: float) -> float:
        """What another one's clock must show until the holder's time is over."""
        return ttl_ms * (1.0 + self.max_clock_drift)


class LeaseState(Enum):
    """What a contender is."""

    WAITING = "waits"
    HELD = "holds"
    LOST = "lost"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class LeaseOperation:
    """A register is to be read, or changed."""

    key: str
    change: RegisterChange | None


class LeaseClient:
    """Asks for one task's lease. One question is open at a time: `next_operation`, then `handle_outcome`."""

    def __init__(
        self, task: str, name: str, owner_id: int, config: LeaseConfig, jitter: Callable[[], float]
    ) -> None:
        self.task, self.name, self.owner_id, self.config = task, name, owner_id, config
        self._jitter = jitter  # from 0 to 1, drawn by the driver
        self.state = LeaseState.WAITING
        self.token = 0  # of the lease that is or was held
        self.renewal_count = 0  # how often
        self.known_record: LeaseRecord | None = None
        self._expires_at = 0.0  # the lease's end, on this clock
        self._record_changed_at = 0.0  # when the record was last seen to change
        self._operation_started_at: float | None = None  # a question is open since then
        self._operation_kind: str = ""
        self._next_operation_at = 0.0  # when to ask again
        self._release_requested = False
        self._successor = ""

    # -- what the work asks

    def may_act(self, now: float) -> bool:
        """Whether a step of work may be taken now. To be asked before each."""
        return (
            self.state is LeaseState.HELD
            and not self._release_requested
            and now < self._expires_at - SAFETY_MARGIN_SHARE * self.config.ttl_ms
        )

    def remaining_ms(self, now: float) -> float:
        """Milliseconds until nobody may act under this lease any more, should no renewal come through; also
        after it was taken away, as who comes next waits for that.
        """
        return max(0.0, self._expires_at - SAFETY_MARGIN_SHARE * self.config.ttl_ms - now)

    def is_in_doubt(self, now: float) -> bool:
        """Whether the lease is held and has not been renewed for long."""
        return (
            self.state is LeaseState.HELD
            and self._expires_at - now < DOUBT_THRESHOLD_SHARE * self.config.ttl_ms
        )

    def release(self, successor: str = "") -> None:
        """The work has stopped, or is not to be begun. From now on `may_act` says no."""
        self._release_requested, self._successor, self._next_operation_at = True, successor, 0.0
        if self.state in (LeaseState.LOST, LeaseState.ENDED):
            self.state = LeaseState.ENDED

    # -- what the driver asks

    def next_wakeup(self, now: float) -> float:
        """When `ask` has something next, should nothing be answered before."""
        if self.state is LeaseState.HELD:
            return min(self._next_operation_at, max(now, self._expires_at))
        return self._next_operation_at

    def next_operation(self, now: float) -> LeaseOperation | None:
        """A question, if it is time for one and none is open."""
        self._check_expiry(now)
        if (
            self._operation_started_at is not None
            or now < self._next_operation_at
            or self.state in (LeaseState.LOST, LeaseState.ENDED)
        ):
            return None
        self._operation_kind, change = self._choose_operation(now)
        if self._operation_kind == "end":
            self.state = LeaseState.ENDED
            return None
        self._operation_started_at = now
        return LeaseOperation(lease_record.register_key(self.task), change)

    def _check_expiry(self, now: float) -> None:
        if self.state is LeaseState.HELD and now >= self._expires_at:
            self.state = LeaseState.ENDED if self._release_requested else LeaseState.LOST

    def _choose_operation(self, now: float) -> tuple[str, RegisterChange | None]:
        if self.state is LeaseState.HELD:
            if self._release_requested:
                return "give back", lease_record.release(self.owner_id, self.token, self._successor)
            return "renew", lease_record.renew(self.owner_id, self.token, self.config.ttl_ms)
        if self.known_record is not None and self._owns_record():
            # of when it was granted nothing is known: it is held from a renewal on, and not before
            if self._release_requested:
                return "give back", lease_record.release(
                    self.owner_id, self.known_record.token, self._successor
                )
            return "renew", lease_record.renew(self.owner_id, self.known_record.token, self.config.ttl_ms)
        if self._release_requested:
            in_line = self.known_record is not None and any(
                one.owner_id == self.owner_id for one in self.known_record.line
            )
            return ("leave", lease_record.leave_queue(self.owner_id)) if in_line else ("end", None)
        if self.known_record is None:
            return "look", None
        if self._may_acquire(now):
            return "take", lease_record.acquire(
                self.known_record, self.owner_id, self.name, self.config.ttl_ms
            )
        if (
            self._queue_position() is None
            and self.config.joins_queue
            and len(self.known_record.line) < lease_record.MAX_QUEUE_LENGTH
        ):
            return "line", lease_record.join_queue(self.owner_id, self.name)
        return "look", None

    def _owns_record(self) -> bool:
        """An answer was lost, and the lease is this one's."""
        return (
            self.known_record is not None
            and self.known_record.held
            and self.known_record.who == self.owner_id
        )

    def _queue_position(self) -> int | None:
        line = self.known_record.line if self.known_record is not None else ()
        return next((n for n, one in enumerate(line) if one.matches(self.owner_id, self.name)), None)

    def _free_at(self) -> float:
        """From when on, on this clock, nobody can hold it; each one before this one in line has its time
        then.
        """
        assert self.known_record is not None
        place = self._queue_position()
        before = len(self.known_record.line) if place is None else place
        gone = self.config.takeover_timeout_ms(self.known_record.ttl) if self.known_record.held else 0.0
        return self._record_changed_at + gone + before * QUEUE_TURN_MS

    def _may_acquire(self, now: float) -> bool:
        return now >= self._free_at()

    # -- what comes of a question

    def handle_outcome(self, now: float, outcome: OperationOutcome) -> None:
        """The question's outcome."""
        asked_at, self._operation_started_at = self._operation_started_at, None
        if asked_at is None:
            return
        self._check_expiry(now)
        if outcome.kind in (OutcomeKind.COMMITTED, OutcomeKind.UNCHANGED) or outcome.register.version:
            self._update_record(now, lease_record.decode_record(outcome.register))
        if self.state is LeaseState.HELD:
            self._handle_outcome_while_held(now, asked_at, outcome)
        elif self.state is LeaseState.WAITING:
            self._handle_outcome_while_waiting(now, asked_at, outcome)

    def _update_record(self, now: float, latest: LeaseRecord) -> None:
        before = self.known_record
        if before is None or (before.token, before.held, before.beat, before.who) != (
            latest.token,
            latest.held,
            latest.beat,
            latest.who,
        ):
            self._record_changed_at = now
        self.known_record = latest

    def _handle_outcome_while_held(self, now: float, started_at: float, outcome: OperationOutcome) -> None:
        ttl = self.config.ttl_ms
        if outcome.kind is OutcomeKind.COMMITTED and self._operation_kind == "give back":
            self.state = LeaseState.ENDED
        elif outcome.kind is OutcomeKind.COMMITTED:
            self.renewal_count += 1
            # from before it was asked: others may count from then on
            self._expires_at = started_at + self.config.holder_timeout_ms
            self._next_operation_at = (
                now if self._release_requested else started_at + RENEW_INTERVAL_SHARE * ttl
            )
        elif (
            self.known_record is not None
            and outcome.register.version
            and not self.known_record.is_held_by(self.owner_id, self.token)
        ):
            self.state = LeaseState.ENDED if self._release_requested else LeaseState.LOST
        else:
            self._next_operation_at = now + RETRY_DELAY_SHARE * ttl * (0.5 + self._jitter())

    def _handle_outcome_while_waiting(self, now: float, started_at: float, outcome: OperationOutcome) -> None:
        if outcome.kind is OutcomeKind.COMMITTED and self._operation_kind in ("take", "renew"):
            assert self.known_record is not None
            self.state, self.token = LeaseState.HELD, self.known_record.token
            self.renewal_count += self._operation_kind == "renew"
            self._expires_at = started_at + self.config.holder_timeout_ms
            self._next_operation_at = (
                now if self._release_requested else started_at + RENEW_INTERVAL_SHARE * self.config.ttl_ms
            )
        elif self._release_requested:
            self._handle_release_outcome(now, outcome)
        elif self._owns_record() and outcome.kind is not OutcomeKind.FAILED:
            self._next_operation_at = now
        else:
            self._next_operation_at = self._next_poll_at(now, outcome)

    def _handle_release_outcome(self, now: float, outcome: OperationOutcome) -> None:
        if self._operation_kind in ("leave", "give back") and outcome.kind in (
            OutcomeKind.COMMITTED,
            OutcomeKind.UNCHANGED,
        ):
            self.state = LeaseState.ENDED
        self._next_operation_at = now

    def _next_poll_at(self, now: float, outcome: OperationOutcome) -> float:
        """When to look next: soon where it is to be free, else seldom; never all at one time."""
        most = FIRST_IN_QUEUE_POLL_INTERVAL_MS if self._queue_position() == 0 else MAX_POLL_INTERVAL_MS
        usual = min(most, max(MIN_POLL_INTERVAL_MS, POLL_INTERVAL_SHARE * self.config.ttl_ms)) * (
            0.7 + 0.6 * self._jitter()
        )
        if self.known_record is None or outcome.kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN):
            return now + usual
        free_at = self._free_at()
        if (
            self._queue_position() is None
            and self.config.joins_queue
            and len(self.known_record.line) < lease_record.MAX_QUEUE_LENGTH
        ):
            return now + MIN_POLL_INTERVAL_MS * self._jitter()
        return max(now, min(now + usual, free_at)) if free_at > now else now
