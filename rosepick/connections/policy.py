"""Which connections are worth their place, and which make room: the decisions over the account.

The question is always the same: will this connection ask again before the place that it takes is needed? When
it will be needed follows from the room that is left and from how fast clients open connections with a request
(the fill time); when it asks, from how long its kind stands until it asks (`Standing.wait`).

Times are milliseconds. `look` is to be called every `LOOK_EVERY`, whatever happens: when all that clients may
hold stands idle, nothing else happens any more.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from math import exp

from .connection_table import CloseReason, ConnectionRecord, ConnectionTable
from .descriptor_budget import DescriptorBudget
from .idle_queue import IdleQueue
from .limit_estimator import MIN_CONNECTION_LIMIT, ClientActivity, ConnectionLimitEstimator
from .reuse_history import AddressReuseHistory

REVIEW_INTERVAL_MS = 100.0
# a client that opens a connection and asks within so long opened it for that request
REQUEST_OPENING_WITHIN_MS = 100.0
QUICK_REUSE_MS = 50.0  # a connection that asks again so soon is kept, however little room there is
HEADROOM_LOOKAHEAD_MS = 250.0  # the room that is kept is what is opened within so long ...
MIN_FREE_SLOTS = 2  # ... and so many more
MAX_FREE_FRACTION = 0.25  # of the room, at most
# connections that asked once and are not expected to ask for so long stand still
UNLIKELY_REUSE_AFTER_MS = 1_000.0
MIN_IDLE_AGE_MS = 100.0  # nothing that stands a shorter time is closed between requests
NEW_CONNECTION_GRACE_MS = 200.0  # sooner than this after connecting nobody counts as silent
MIN_LINGER_MS = 50.0  # a connection that waits for the other side's close so long may go at need
# half a request that did not go on for so long may go at need, the longest unheard first
STALLED_REQUEST_MS = 600.0
MAX_QUOTA_CANDIDATES = 64  # connections of a kind, for one of an address that is over its share
# one in so many is kept although it is not expected to ask again, to see whether that is so ...
SAMPLE_EACH = 8
MAX_SAMPLED_FRACTION = 1 / 8  # ... and no more of the room than this
MAX_CLOSES_PER_REVIEW = 32  # closed between requests at one look, at most
MIN_EXCESS_CLOSES, EXCESS_CLOSE_FRACTION = (
    4,
    1 / 8,
)  # of the descriptors over a lowered limit, freed at one look
CLAIM_WINDOW_MS = 300.0  # after closing between requests: whether anybody needed the room
MAX_EVICTION_BACKOFF_MS = 8_000.0
MIN_EVICTION_BACKOFF_MS = 1_000.0
ADDRESS_WINDOW_MS = 10_000.0  # addresses that came count for once to twice as long, also if they hold none
PRESSURE_OVER_AFTER_MS = 5_000.0  # without a close for room a crowd is over
MAX_TIME_WITHOUT_CAPACITY_MS = MIN_IDLE_AGE_MS + CLAIM_WINDOW_MS + 2 * REVIEW_INTERVAL_MS  # see Policy
CLOSED_BY_ROUTER = (
    CloseReason.CAPACITY,
    CloseReason.NOT_WORTH_KEEPING,
    CloseReason.ADDRESS_QUOTA,
    CloseReason.DESCRIPTORS,
)  # closed by us, though it might have been used again
INSIGNIFICANT_OPENINGS = 4  # so many openings between two looks are no rate yet
RATE_SMOOTHING = 0.8  # of the rate of openings, from look to look


@dataclass(slots=True)
class ConnectionLimits:
    """What the operators set. Times are milliseconds."""

    client_connection_limit: int | None = None
    silent_timeout_ms: float = 2_200.0
    idle_timeout_ms: float = 8_000.0
    enforce_address_quota: bool = True  # whether an address may be kept to its share while room is short


@dataclass(frozen=True, slots=True)
class PressureSnapshot:
    """Why a crowd is on, as it is logged."""

    capacity: int
    capacity_learned: int  # 1 if where clients stop has shown it
    open_rate_per_s: float
    time_until_full_ms: float
    idle_used_once_ms: float
    idle_reused_ms: float


class ConnectionPolicy:
    """The decisions of one router on its sender side's connections.

    The bound: while a kept connection stands, clients are without room for at most ROOM_WITHIN; by
    VAIN_LONGEST more where room that was made before was taken by nobody, as with a front that keeps a fixed
    pool.
    """

    def __init__(
        self,
        connection_table: ConnectionTable,
        descriptors: DescriptorBudget,
        limits: ConnectionLimits,
        descriptor_limit: int,
        now: float,
    ) -> None:
        self.connection_table, self.descriptors, self.limits = connection_table, descriptors, limits
        self.descriptor_limit = descriptor_limit
        self.limit_estimator = ConnectionLimitEstimator(descriptor_limit, limits.client_connection_limit)
        self.reuse_history = AddressReuseHistory()
        self.pressure_since: float | None = None
        self.pressure_reason = CloseReason.CAPACITY  # for what room was made first
        self._last_eviction_at = now - PRESSURE_OVER_AFTER_MS  # when room was last made
        self._opening_rate = 0.0  # openings a second with a request, smoothed
        self._net_opening_rate = 0.0  # the same, less those in place of connections that we closed
        self._request_openings = 0  # openings with a request since the last look
        # connections that we closed since then, and that will be opened again for that
        self._expected_reopenings = 0.0
        self._reopen_probability = 0.0  # of those that asked once: so large a part of them
        self._rate_at_last_opening = 0.0  # at the last such opening
        self._last_request_opening_at = now
        self._reviewed_at = self._address_window_began_at = now
        self._sample_count = 0
        self._sample_candidates = 0
        # when room was made between requests that nobody took so far
        self._unclaimed_since: float | None = None
        self._eviction_backoff_ms = 0.0
        self._next_eviction_at = now
        self.unclaimed_evictions = 0  # how often room was made that nobody took

    def apply_limits(self, limits: ConnectionLimits, descriptor_limit: int) -> None:
        """Other settings, or another limit of descriptors."""
        if (limits.client_connection_limit, descriptor_limit) != (
            self.limits.client_connection_limit,
            self.descriptor_limit,
        ):
            self.limit_estimator.reconfigure(descriptor_limit, limits.client_connection_limit)
        self.limits, self.descriptor_limit = limits, descriptor_limit

    # -------------------------------------------------------------------------------------- what happens

    def record_request(self, record: ConnectionRecord, now: float) -> None:
        """A request of a connection was taken up; the account knows already."""
        if record.request_count == 1:
            if record.request_started_at - record.ready_at <= REQUEST_OPENING_WITHIN_MS and record.peer:
                self._record_request_opening(now)
            self.limit_estimator.record_held(self.connection_table.client_held_count())
        elif record.request_count == 2:
            self.reuse_history.record_use(record.peer, True)
        if record.is_reuse_sample:
            record.is_reuse_sample = False
            self._sample_count -= 1

    def _record_request_opening(self, now: float) -> None:
        """A client opened a connection as it had a request. If room was made for it, that was not in vain."""
        self._request_openings += 1
        # one alone is no rate, however short the time since the last look
        lately = (
            1000.0 * self._request_openings / max(REVIEW_INTERVAL_MS, now - self._reviewed_at)
            if self._request_openings >= MIN_CONNECTION_LIMIT
            else 0.0
        )
        self._rate_at_last_opening = max(lately, self._opening_rate)
        self._last_request_opening_at = now
        self.limit_estimator.record_opening(now, self.connection_table.client_held_count())
        self._unclaimed_since = None
        self._eviction_backoff_ms, self._next_eviction_at = 0.0, now

    def record_close(self, record: ConnectionRecord) -> None:
        """A connection was closed; the account knows already."""
        if record.is_reuse_sample:
            record.is_reuse_sample = False
            self._sample_count -= 1
        if record.request_count == 1 and record.close_reason is CloseReason.CLIENT_CLOSED:
            self.reuse_history.record_use(record.peer, False)
        # Only what counts as an opening can come again as one: guards against a flood that is turned away
        # unheard, which would make it seem that nobody else needs room.
        if record.close_reason in CLOSED_BY_ROUTER and record.request_count and record.peer:
            self._expected_reopenings += 1.0 if record.request_count > 1 else self._reopen_probability

    # -------------------------------------------------------------------------------------- the figures

    def opening_rate(self, now: float) -> float:
        """Connections that clients open for a request, in a second; not counting those that they open only as
        we closed one. Guards against closes that bring openings, which would bring closes.
        """
        lately = self._request_openings - self._expected_reopenings - INSIGNIFICANT_OPENINGS
        return max(
            0.0, self._net_opening_rate, 1000.0 * lately / max(REVIEW_INTERVAL_MS, now - self._reviewed_at)
        )

    def capacity(self) -> int:
        """What clients can hold for requests at one time, by their own limit and by ours."""
        return min(self.limit_estimator.limit, self.descriptors.downstream_limit())

    def free_slots(self) -> int:
        """How many more connections clients can open for requests. Silent ones and those that linger do not
        count: they give way at once when a place is needed.
        """
        return self.capacity() - self.connection_table.client_held_count()

    def time_until_full(self, now: float) -> float:
        """How long until the room is used up at the present rate of openings, nothing being closed."""
        rate = self.opening_rate(now)
        return 1000.0 * max(0, self.free_slots()) / rate if rate > 0 else float("inf")

    def pressure_snapshot(self, now: float) -> PressureSnapshot:
        """What the decisions go by at present."""
        standing = self.connection_table.idle
        return PressureSnapshot(
            self.capacity(),
            int(self.limit_estimator.is_learned),
            self.opening_rate(now),
            min(self.time_until_full(now), 1e9),
            standing["once"].expected_idle_ms(now),
            standing["often"].expected_idle_ms(now),
        )

    # ------------------------------------------------------------------------------------- the decisions

    def should_close_after_response(self, record: ConnectionRecord, now: float) -> bool:
        """Whether the answer that is due on a connection is to end it."""
        if self.descriptors.excess() or len(self.connection_table) > self.descriptors.downstream_limit():
            return self._mark_for_close(record, CloseReason.DESCRIPTORS, now)
        if self.is_short_of_slots(now) and self.has_address_over_quota():
            # the others do not pay for who holds too much
            return self._exceeds_quota(record.peer) and self._mark_for_close(
                record, CloseReason.ADDRESS_QUOTA, now
            )
        if not self._is_slot_needed_before_reuse(record, now):
            return False
        return not self._keep_as_sample(record) and self._mark_for_close(
            record, CloseReason.NOT_WORTH_KEEPING, now
        )

    def is_short_of_slots(self, now: float) -> bool:
        """Whether the room is short."""
        return self.free_slots() < self._target_free_slots(now)

    def _is_slot_needed_before_reuse(self, record: ConnectionRecord, now: float) -> bool:
        """Whether the place of a connection is needed before it is expected to ask again."""
        fill = self.time_until_full(now)
        if fill == float("inf"):
            return False
        if (
            record.request_count < 2
            and len(self.connection_table.address_quota) > 1
            and self.reuse_history.is_likely_to_reuse(record.peer)
        ):
            return False
        wait = self.connection_table.idle["once" if record.request_count < 2 else "often"].expected_idle_ms(
            now
        )
        return wait > max(QUICK_REUSE_MS, fill)

    def _keep_as_sample(self, record: ConnectionRecord) -> bool:
        """Whether a connection is kept all the same. Guards against a belief that proves itself: what is
        always closed never asks again.
        """
        self._sample_candidates += 1
        if (
            self._sample_candidates % SAMPLE_EACH
            or self._sample_count >= MAX_SAMPLED_FRACTION * self.capacity()
            or record.is_reuse_sample
        ):
            return False
        record.is_reuse_sample = True
        self._sample_count += 1
        return True

    def _exceeds_quota(self, peer: str) -> bool:
        holders = self.connection_table.address_quota
        # of those that are over the others' part only who holds most, or nearly, is to give way
        return holders.count_for(peer) > max(
            holders.quota_for(peer, self.capacity()), holders.max_count() // 2
        )

    def _mark_for_close(self, record: ConnectionRecord, reason: CloseReason, now: float) -> bool:
        """Note why a connection ends with its answer."""
        record.close_reason = reason
        self._record_pressure(reason, now)
        return True

    def _record_pressure(self, reason: CloseReason, now: float) -> None:
        """Room is made."""
        self._last_eviction_at = now
        if self.pressure_since is None:
            self.pressure_since, self.pressure_reason = now, reason

    def _target_free_slots(self, now: float) -> int:
        """The room that is kept."""
        wanted = MIN_FREE_SLOTS + int(self.opening_rate(now) * HEADROOM_LOOKAHEAD_MS / 1000.0)
        return min(wanted, max(1, int(MAX_FREE_FRACTION * self.capacity())))

    def excess_descriptors(self) -> int:
        """How many descriptors are to be freed at this moment as more are open than may be."""
        return _limit_batch(self.descriptors.excess())

    def excess_connections(self) -> int:
        """How many connections of the doors are to be closed at this moment as more are open than their
        part.
        """
        return _limit_batch(len(self.connection_table) - self.descriptors.downstream_limit())

    # -------------------------------------------------------------------------- closing between requests

    def review(self, now: float) -> list[tuple[ConnectionRecord, CloseReason]]:
        """What is to be closed at this moment: past its time, or for room. The driver closes those of them on
        which nothing has come that is unread.
        """
        self._update_estimates(now)
        found = dict(self._select_expired(now))
        if self._unclaimed_since is None and now >= self._next_eviction_at:
            chosen = self._select_for_capacity(now)
            if chosen:
                self._record_pressure(CloseReason.CAPACITY, now)
                self._unclaimed_since = now
            found |= {conn: CloseReason.CAPACITY for conn in chosen if conn not in found}
        if self.pressure_since is not None and now - self._last_eviction_at >= PRESSURE_OVER_AFTER_MS:
            self.pressure_since = None
        return list(found.items())

    def _update_estimates(self, now: float) -> None:
        span = now - self._reviewed_at
        if span <= 0:
            return
        self._net_opening_rate = (
            RATE_SMOOTHING * self._net_opening_rate
            + (1 - RATE_SMOOTHING) * 1000.0 * (self._request_openings - self._expected_reopenings) / span
        )
        self._opening_rate = (
            RATE_SMOOTHING * self._opening_rate
            + (1 - RATE_SMOOTHING) * 1000.0 * self._request_openings / span
        )
        self._request_openings, self._expected_reopenings = 0, 0.0
        self._reopen_probability = 1.0 - exp(
            -self.limits.idle_timeout_ms / self.connection_table.idle["once"].expected_idle_ms(now)
        )
        self._reviewed_at = now
        self.limit_estimator.advance_time(now)
        for standing in self.connection_table.idle.values():
            standing.expected_idle_ms(now)  # up to here
            standing.decay(span)
        if now - self._address_window_began_at >= ADDRESS_WINDOW_MS:
            self._address_window_began_at = now
            self.connection_table.address_quota.rotate_window()
        if self._unclaimed_since is not None and now - self._unclaimed_since >= CLAIM_WINDOW_MS:
            # Guards against a front that keeps a fixed pool and opens at once what is closed, with no request
            # for it: closing would become the storm.
            self.unclaimed_evictions += 1
            self._eviction_backoff_ms = min(
                MAX_EVICTION_BACKOFF_MS, max(MIN_EVICTION_BACKOFF_MS, 2 * self._eviction_backoff_ms)
            )
            self._next_eviction_at, self._unclaimed_since = now + self._eviction_backoff_ms, None

    def _select_expired(self, now: float) -> Iterator[tuple[ConnectionRecord, CloseReason]]:
        """Those that stand longer than they may."""
        for name, longest, why in (
            ("fresh", self.limits.silent_timeout_ms, CloseReason.NO_REQUEST),
            ("once", self.limits.idle_timeout_ms, CloseReason.IDLE_TIMEOUT),
            ("often", self.limits.idle_timeout_ms, CloseReason.IDLE_TIMEOUT),
        ):
            standing = self.connection_table.idle[name]
            yield from ((conn, why) for conn in _idle_since(standing, now - longest))

    def _select_for_capacity(self, now: float) -> list[ConnectionRecord]:
        """Connections that are to be closed between requests, so that clients can open others."""
        lacking = self._target_free_slots(now) - self.free_slots()
        if lacking > 0:
            return self._select_least_valuable(now, min(MAX_CLOSES_PER_REVIEW, lacking))
        once = self.connection_table.idle["once"]
        stood = (
            list(_idle_since(once, now - MIN_IDLE_AGE_MS))
            if once.expected_idle_ms(now) > UNLIKELY_REUSE_AFTER_MS
            else []
        )
        seen = ClientActivity(
            self.connection_table.client_held_count(),
            len(stood),
            self._rate_at_last_opening,
            self._last_request_opening_at,
        )
        count = self.limit_estimator.start_probe(now, seen)
        # the youngest ones: those that ask from time to time, the oldest next, are left out as far as can be
        return stood[len(stood) - count :]

    def _answered_queues(self) -> tuple[IdleQueue[ConnectionRecord], IdleQueue[ConnectionRecord]]:
        return self.connection_table.idle["once"], self.connection_table.idle["often"]

    def _select_least_valuable(self, now: float, count: int) -> list[ConnectionRecord]:
        """The kept connections that are least likely to ask again, the longest standing first; those of an
        address over its share before all others.
        """
        lines = sorted(self._answered_queues(), key=lambda line: -line.expected_idle_ms(now))
        stood = [conn for line in lines for conn in _idle_since(line, now - MIN_IDLE_AGE_MS)]
        if self.has_address_over_quota():
            stood.sort(key=lambda conn: not self._exceeds_quota(conn.peer))
        return stood[:count]

    def select_for_eviction(
        self, now: float, is_urgent: bool = True
    ) -> Iterator[tuple[ConnectionRecord, CloseReason]]:
        """Connections that may be closed for one that is needed more, the least useful first. With
        `is_urgent` unset only those that would hardly be missed.
        """
        standing = self.connection_table.idle
        for conn in self.connection_table.lingering:
            if now - conn.state_since < MIN_LINGER_MS:
                break
            yield conn, CloseReason.DESCRIPTORS
        if self.has_address_over_quota():
            for name in ("fresh", "once", "often"):
                for conn in islice(standing[name], MAX_QUOTA_CANDIDATES):
                    if self._exceeds_quota(conn.peer):
                        yield conn, CloseReason.ADDRESS_QUOTA
        idle = [("fresh", NEW_CONNECTION_GRACE_MS), ("once", MIN_IDLE_AGE_MS), ("often", 2_000.0)]
        idle.sort(key=lambda kind: -standing[kind[0]].expected_idle_ms(now))
        for name, age in idle:
            for conn in _idle_since(standing[name], now - age):
                if conn not in self.connection_table.partial_requests:
                    yield conn, CloseReason.DESCRIPTORS
            if name == "fresh":
                yield from self._select_stalled_requests(now)
        if is_urgent:
            for name in ("once", "often"):
                for conn in standing[name]:
                    yield conn, CloseReason.DESCRIPTORS
            for conn in self.connection_table.lingering:
                yield conn, CloseReason.DESCRIPTORS

    def _select_stalled_requests(self, now: float) -> Iterator[tuple[ConnectionRecord, CloseReason]]:
        """Half requests that do not go on. Guards against a crowd that never finishes and keeps its places
        for all the time that a request has; who writes slowly, but goes on, is heard again before.
        """
        for conn, heard in self.connection_table.partial_requests.items():
            if now - heard < STALLED_REQUEST_MS:
                return
            yield conn, CloseReason.STALLED_REQUEST

    def should_reject_address(self, peer: str) -> bool:
        """Whether a connection that comes while every place is taken is closed unheard: its address holds its
        share. Guards against a crowd from one address behind which all others wait.
        """
        return self.has_address_over_quota() and self._exceeds_quota(peer)

    def has_address_over_quota(self) -> bool:
        """Whether any address holds more than its share."""
        return (
            self.limits.enforce_address_quota
            and self.connection_table.address_quota.has_address_over_quota(self.capacity())
        )


def _limit_batch(excess: int) -> int:
    """How many of those that are too many go at one look, so that a lower limit is no storm of closes."""
    return min(max(0, excess), max(MIN_EXCESS_CLOSES, int(excess * EXCESS_CLOSE_FRACTION)))


def _idle_since(queue: IdleQueue[ConnectionRecord], before: float) -> Iterator[ConnectionRecord]:
    """Those that stand since then or longer, the longest first."""
    for conn, since in queue.items():
        if since > before:
            return
        yield conn
