"""Which connections are worth their slot, and which are closed: the decisions over the connection table.

The question is always the same: will this connection send another request before its slot is needed? When
the slot is needed follows from the free slots and from how fast clients open connections with a request
(`ConnectionHeadroom.time_until_full`); when the next request comes, from how long connections of its kind
stay idle (`IdleQueue.expected_idle_ms`).

Times are milliseconds. `ConnectionPolicy.review` is to be called every `REVIEW_INTERVAL_MS`, whatever
happens: when all connections that clients may hold are idle, nothing else happens any more.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import exp

from .connection_table import CloseReason, ConnectionRecord, ConnectionTable
from .descriptor_budget import DescriptorBudget
from .eviction import MIN_IDLE_AGE_MS, EvictionCandidate, EvictionSelector
from .headroom import ConnectionHeadroom, ConnectionLimits, PressureSnapshot
from .opening_rate import REVIEW_INTERVAL_MS
from .reuse_history import AddressReuseHistory

# a client that opens a connection and sends a request within this time opened it for that request
REQUEST_OPENING_WITHIN_MS = 100.0
QUICK_REUSE_MS = 50.0  # a connection that is expected to be reused so soon is kept in any case
# One in so many connections is kept although it is not expected to be reused, to see whether that is so ...
SAMPLE_EACH = 8
MAX_SAMPLED_FRACTION = 1 / 8  # ... but no more of the capacity than this
MIN_EXCESS_CLOSES = 4  # descriptors over a lowered limit that are freed at one review, at least ...
EXCESS_CLOSE_FRACTION = 1 / 8  # ... and as a fraction of the excess
CLAIM_WINDOW_MS = 300.0  # the time in which a client has to use a slot that was freed between requests
MIN_EVICTION_BACKOFF_MS = 1_000.0  # after slots were freed that no client used; doubled each time
MAX_EVICTION_BACKOFF_MS = 8_000.0
ADDRESS_WINDOW_MS = 10_000.0  # addresses without a connection count for one to two of these windows
PRESSURE_OVER_AFTER_MS = 5_000.0  # connection pressure is over after so long without a close for it
MAX_TIME_WITHOUT_CAPACITY_MS = MIN_IDLE_AGE_MS + CLAIM_WINDOW_MS + 2 * REVIEW_INTERVAL_MS
"""The longest time without a free slot while a connection is idle; see `ConnectionPolicy`."""

CLOSED_BY_ROUTER = (
    CloseReason.CAPACITY,
    CloseReason.NOT_WORTH_KEEPING,
    CloseReason.ADDRESS_QUOTA,
    CloseReason.DESCRIPTORS,
)
"""Closes of connections that their clients might have used again."""


class ConnectionPolicy:
    """The decisions of one router on its client connections.

    The bound: while a connection is idle, clients are without a free slot for `MAX_TIME_WITHOUT_CAPACITY_MS`
    at most; by `MAX_EVICTION_BACKOFF_MS` more where no client used the slots that were freed before, as with
    a client that keeps a pool of fixed size.

    Args:
        connection_table: the open connections.
        descriptors: the descriptors of this process.
        limits: the operators' settings.
        descriptor_limit: how many descriptors the process may hold.
        now: the present time.
    """

    def __init__(
        self,
        connection_table: ConnectionTable,
        descriptors: DescriptorBudget,
        limits: ConnectionLimits,
        descriptor_limit: int,
        now: float,
    ) -> None:
        self.connection_table = connection_table
        self.descriptors = descriptors
        self.headroom = ConnectionHeadroom(connection_table, descriptors, limits, descriptor_limit, now)
        self.eviction = EvictionSelector(connection_table, self.headroom)
        self.reuse_history = AddressReuseHistory()
        self.pressure_since: float | None = None
        self.pressure_reason = CloseReason.CAPACITY  # of the first close under the present pressure
        self.unclaimed_evictions = 0  # how often slots were freed that no client used
        self._last_eviction_at = now - PRESSURE_OVER_AFTER_MS
        self._address_window_began_at = now
        self._sample_count = 0
        self._sample_candidates = 0
        self._unclaimed_since: float | None = None  # when slots were freed that no client has used so far
        self._eviction_backoff_ms = 0.0
        self._next_eviction_at = now

    @property
    def limits(self) -> ConnectionLimits:
        """The operators' settings."""
        return self.headroom.limits

    def apply_limits(self, limits: ConnectionLimits, descriptor_limit: int) -> None:
        """Apply other settings, or another limit of descriptors."""
        self.headroom.apply_limits(limits, descriptor_limit)

    # -------------------------------------------------------------------------------------- what happens

    def record_request(self, record: ConnectionRecord, now: float) -> None:
        """Record that a request of a connection was begun; to be called after the table's report."""
        if record.request_count == 1:
            if record.request_started_at - record.ready_at <= REQUEST_OPENING_WITHIN_MS and record.peer:
                # the client opened it as it had a request, and used a slot that may have been freed for it
                self.headroom.opening_rate.record_opening(now)
                self.headroom.limit_estimator.record_opening(now, self.connection_table.client_held_count())
                self._unclaimed_since = None
                self._eviction_backoff_ms = 0.0
                self._next_eviction_at = now
            self.headroom.limit_estimator.record_held(self.connection_table.client_held_count())
        elif record.request_count == 2:
            self.reuse_history.record_use(record.peer, True)
        if record.is_reuse_sample:
            record.is_reuse_sample = False
            self._sample_count -= 1

    def record_close(self, record: ConnectionRecord) -> None:
        """Record that a connection was closed; to be called after the table's report."""
        if record.is_reuse_sample:
            record.is_reuse_sample = False
            self._sample_count -= 1
        if record.request_count == 1 and record.close_reason is CloseReason.CLIENT_CLOSED:
            self.reuse_history.record_use(record.peer, False)
        # Only what counts as an opening can be opened again. Guards against a flood of connections that are
        # rejected before any request, which would make it seem that nobody else needs slots.
        if record.close_reason in CLOSED_BY_ROUTER and record.request_count and record.peer:
            opening_rate = self.headroom.opening_rate
            opening_rate.expected_reopenings += (
                1.0 if record.request_count > 1 else opening_rate.reopen_probability
            )

    # ------------------------------------------------------------------------------------------- figures

    def capacity(self) -> int:
        """Return how many connections clients can hold for requests at one time."""
        return self.headroom.capacity()

    def free_slots(self) -> int:
        """Return how many more connections clients can open for requests."""
        return self.headroom.free_slots()

    def pressure_snapshot(self, now: float) -> PressureSnapshot:
        """Return the figures that decisions are based on at present."""
        return self.headroom.pressure_snapshot(now)

    def has_address_over_quota(self) -> bool:
        """Return whether any address holds more than its quota, and quotas are enforced."""
        return self.headroom.has_address_over_quota()

    def should_reject_address(self, peer: str) -> bool:
        """Return whether a connection that arrives while every slot is taken is closed at once.

        That is so if its address exceeds its quota. Guards against many connections from one address that
        keep all others waiting.
        """
        return self.headroom.has_address_over_quota() and self.headroom.exceeds_quota(peer)

    def excess_descriptors(self) -> int:
        """Return how many descriptors are to be freed now, as more are open than the limit."""
        return _limit_batch(self.descriptors.excess())

    def excess_connections(self) -> int:
        """Return how many client connections are to be closed now, as more are open than their limit."""
        return _limit_batch(len(self.connection_table) - self.descriptors.downstream_limit())

    # ---------------------------------------------------------------------------- closing with a response

    def should_close_after_response(self, record: ConnectionRecord, now: float) -> bool:
        """Return whether the response that is due on a connection is to end it, and note the reason."""
        if self.descriptors.excess() or len(self.connection_table) > self.descriptors.downstream_limit():
            return self._mark_for_close(record, CloseReason.DESCRIPTORS, now)
        if self.headroom.is_short_of_slots(now) and self.headroom.has_address_over_quota():
            # the others do not pay for an address that holds too many
            return self.headroom.exceeds_quota(record.peer) and self._mark_for_close(
                record, CloseReason.ADDRESS_QUOTA, now
            )
        if not self._is_slot_needed_before_reuse(record, now):
            return False
        return not self._keep_as_sample(record) and self._mark_for_close(
            record, CloseReason.NOT_WORTH_KEEPING, now
        )

    def _is_slot_needed_before_reuse(self, record: ConnectionRecord, now: float) -> bool:
        """Return whether the slot of a connection is needed before its next request is expected."""
        time_until_full = self.headroom.time_until_full(now)
        if time_until_full == float("inf"):
            return False
        is_reused = record.request_count >= 2
        if (
            not is_reused
            and len(self.connection_table.address_quota) > 1
            and self.reuse_history.is_likely_to_reuse(record.peer)
        ):
            return False
        idle = self.connection_table.idle
        queue = idle.reused if is_reused else idle.used_once
        return queue.expected_idle_ms(now) > max(QUICK_REUSE_MS, time_until_full)

    def _keep_as_sample(self, record: ConnectionRecord) -> bool:
        """Return whether a connection is kept all the same, as a sample.

        Guards against an assumption that confirms itself: what is always closed is never reused.
        """
        self._sample_candidates += 1
        if (
            self._sample_candidates % SAMPLE_EACH
            or self._sample_count >= MAX_SAMPLED_FRACTION * self.headroom.capacity()
            or record.is_reuse_sample
        ):
            return False
        record.is_reuse_sample = True
        self._sample_count += 1
        return True

    def _mark_for_close(self, record: ConnectionRecord, reason: CloseReason, now: float) -> bool:
        """Note why a connection is closed with its response."""
        record.close_reason = reason
        self._record_pressure(reason, now)
        return True

    def _record_pressure(self, reason: CloseReason, now: float) -> None:
        """Record that a slot is freed."""
        self._last_eviction_at = now
        if self.pressure_since is None:
            self.pressure_since = now
            self.pressure_reason = reason

    # -------------------------------------------------------------------------- closing between requests

    def review(self, now: float) -> list[EvictionCandidate]:
        """Return the connections to close now, because they expired or for capacity.

        The caller closes those of them on which no unread bytes have arrived.
        """
        self._update_estimates(now)
        reasons = dict(self.eviction.select_expired(now))
        if self._unclaimed_since is None and now >= self._next_eviction_at:
            selected = self.eviction.select_for_capacity(now)
            if selected:
                self._record_pressure(CloseReason.CAPACITY, now)
                self._unclaimed_since = now
            reasons |= {record: CloseReason.CAPACITY for record in selected if record not in reasons}
        if self.pressure_since is not None and now - self._last_eviction_at >= PRESSURE_OVER_AFTER_MS:
            self.pressure_since = None
        return [EvictionCandidate(record, reason) for record, reason in reasons.items()]

    def _update_estimates(self, now: float) -> None:
        """Advance the estimates to the present time."""
        elapsed_ms = self.headroom.opening_rate.update(now)
        if elapsed_ms <= 0:
            return
        idle = self.connection_table.idle
        self.headroom.opening_rate.reopen_probability = 1.0 - exp(
            -self.limits.idle_timeout_ms / idle.used_once.expected_idle_ms(now)
        )
        self.headroom.limit_estimator.advance_time(now)
        for queue in idle.all():
            queue.expected_idle_ms(now)  # accrues the idle time up to now
            queue.decay(elapsed_ms)
        if now - self._address_window_began_at >= ADDRESS_WINDOW_MS:
            self._address_window_began_at = now
            self.connection_table.address_quota.rotate_window()
        self._back_off_if_unclaimed(now)

    def _back_off_if_unclaimed(self, now: float) -> None:
        """Pause closing for capacity if no client used the slots that were freed.

        Guards against a client that keeps a pool of fixed size and opens at once what is closed, without a
        request: closing would become a storm of reconnects.
        """
        if self._unclaimed_since is None or now - self._unclaimed_since < CLAIM_WINDOW_MS:
            return
        self.unclaimed_evictions += 1
        self._eviction_backoff_ms = min(
            MAX_EVICTION_BACKOFF_MS, max(MIN_EVICTION_BACKOFF_MS, 2 * self._eviction_backoff_ms)
        )
        self._next_eviction_at = now + self._eviction_backoff_ms
        self._unclaimed_since = None

    def select_for_eviction(self, now: float, is_urgent: bool = True) -> Iterator[EvictionCandidate]:
        """Return connections that may be closed for one that is needed more, the least useful first.

        Unless `is_urgent`, only those that would hardly be missed.
        """
        return self.eviction.select_on_demand(now, is_urgent)


def _limit_batch(excess: int) -> int:
    """Return how many are closed at one review, so that a lowered limit causes no storm of closes."""
    return min(max(0, excess), max(MIN_EXCESS_CLOSES, int(excess * EXCESS_CLOSE_FRACTION)))
