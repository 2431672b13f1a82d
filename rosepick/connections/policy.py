"""Policy that decides which client connections are kept open and which are closed.

A connection is kept if its next request is expected before its slot is needed.
`ConnectionHeadroom.time_until_full` estimates when the slot is needed, from the free slots and from the rate
at which clients open connections for requests. `IdleQueue.expected_idle_ms` estimates when the next request
arrives, from how long connections of the same kind stay idle.

Times are milliseconds. The caller must call `ConnectionPolicy.review` every `REVIEW_INTERVAL_MS` from a
timer: if all connections that clients may hold are idle, no other event triggers a decision.
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

# A client that sends a request within this time after opening a connection opened it for that request.
REQUEST_OPENING_WITHIN_MS = 100.0
QUICK_REUSE_MS = 50.0  # a connection with a shorter expected idle time is not closed for its slot
# One in this many connections that are not expected to be reused is kept, to test that expectation.
CANDIDATES_PER_SAMPLE = 8
MAX_SAMPLED_FRACTION = 1 / 8  # maximum number of samples, as a fraction of the capacity
MAX_PARTIAL_HEADS_FRACTION = 1 / 4  # part of the slots for connections whose request has a partial head
MIN_EXCESS_CLOSES = 4  # minimum closes per review while more connections are open than a lowered limit
EXCESS_CLOSE_FRACTION = 1 / 8  # closes per review, as a fraction of the excess over a lowered limit
CLAIM_WINDOW_MS = 300.0  # an evicted slot that no client uses within this time counts as unclaimed
MIN_EVICTION_BACKOFF_MS = 1_000.0  # pause of evictions after unclaimed slots; doubles each time
MAX_EVICTION_BACKOFF_MS = 8_000.0  # longest pause of evictions after unclaimed slots
ADDRESS_WINDOW_MS = 10_000.0  # an address without a connection is remembered for one to two windows
PRESSURE_OVER_AFTER_MS = 5_000.0  # connection pressure ends after this time without a close because of it
MAX_TIME_WITHOUT_CAPACITY_MS = MIN_IDLE_AGE_MS + CLAIM_WINDOW_MS + 2 * REVIEW_INTERVAL_MS
"""Longest time without a free slot while a connection is idle; see `ConnectionPolicy`."""

CLOSED_BY_ROUTER = (
    CloseReason.CAPACITY,
    CloseReason.NOT_WORTH_KEEPING,
    CloseReason.ADDRESS_QUOTA,
    CloseReason.DESCRIPTORS,
)
"""Reasons of closes by the router after which the client may open a connection again."""


class ConnectionPolicy:
    """Decides which client connections of one router are closed.

    While a connection is idle, clients lack a free slot for at most `MAX_TIME_WITHOUT_CAPACITY_MS`. The bound
    is `MAX_EVICTION_BACKOFF_MS` longer if no client used the slots that were freed before, for example with a
    client that keeps a connection pool of fixed size.

    Args:
        connection_table: the open connections.
        descriptors: the descriptor budget of this process.
        limits: the connection settings of the operator file.
        descriptor_limit: the maximum number of descriptors of the process.
        now: the current time, milliseconds.
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
        self.pressure_reason = CloseReason.CAPACITY  # reason of the first close under pressure
        self.unclaimed_evictions = 0  # count of evictions whose slots no client used
        self._last_eviction_at = now - PRESSURE_OVER_AFTER_MS
        self._address_window_began_at = now
        self._sample_count = 0
        self._sample_candidates = 0
        self._unclaimed_since: float | None = None  # time of an eviction whose slots are still unused
        self._eviction_backoff_ms = 0.0
        self._next_eviction_at = now

    @property
    def limits(self) -> ConnectionLimits:
        """The connection settings of the operator file."""
        return self.headroom.limits

    def apply_limits(self, limits: ConnectionLimits, descriptor_limit: int) -> None:
        """Apply changed connection settings or a changed descriptor limit."""
        self.headroom.apply_limits(limits, descriptor_limit)

    # -------------------------------------------------------------------------------------------- events

    def record_request(self, record: ConnectionRecord, now: float) -> None:
        """Record the start of a request; call `ConnectionTable.begin_request` first."""
        if record.request_count == 1:
            if record.request_started_at - record.ready_at <= REQUEST_OPENING_WITHIN_MS and record.peer:
                # The client opened the connection for this request and may have used an evicted slot.
                self.headroom.opening_rate.record_opening(now)
                self.headroom.limit_estimator.record_opening(now, self.connection_table.client_held_count())
                self._unclaimed_since = None
                self._eviction_backoff_ms = 0.0
                self._next_eviction_at = now
            self.headroom.limit_estimator.record_held_count(self.connection_table.client_held_count())
        elif record.request_count == 2:
            self.reuse_history.record_use(record.peer, True)
        if record.is_reuse_sample:
            record.is_reuse_sample = False
            self._sample_count -= 1

    def record_close(self, record: ConnectionRecord) -> None:
        """Record the close of a connection; call `ConnectionTable.mark_closed` first."""
        if record.is_reuse_sample:
            record.is_reuse_sample = False
            self._sample_count -= 1
        if record.request_count == 1 and record.close_reason is CloseReason.CLIENT_CLOSED:
            self.reuse_history.record_use(record.peer, False)
        # Only connections with a request count as openings, so only these count as expected reopenings.
        # Otherwise a flood of connections that are rejected before any request would push the net opening
        # rate to zero.
        if record.close_reason in CLOSED_BY_ROUTER and record.request_count and record.peer:
            opening_rate = self.headroom.opening_rate
            opening_rate.expected_reopenings += (
                1.0 if record.request_count > 1 else opening_rate.reopen_probability
            )

    # ------------------------------------------------------------------------------------------- metrics

    def capacity(self) -> int:
        """Return the maximum number of connections that clients can hold for requests."""
        return self.headroom.capacity()

    def lent_slots(self) -> int:
        """Return how many connections may be open beyond the downstream limit.

        Clients that send a head slowly need no connection to an upstream yet. Those of them that would use
        more than their part of the slots use descriptors that upstreams leave.
        """
        max_heads = int(MAX_PARTIAL_HEADS_FRACTION * self.descriptors.downstream_limit())
        return self.descriptors.lendable(len(self.connection_table.partial_heads) - max_heads)

    def open_limit(self) -> int:
        """Return how many client connections may be open."""
        return self.descriptors.downstream_limit() + self.lent_slots()

    def free_slots(self) -> int:
        """Return how many more connections clients can open for requests."""
        return self.headroom.free_slots()

    def pressure_snapshot(self, now: float) -> PressureSnapshot:
        """Return the values that the current decisions are based on."""
        return self.headroom.pressure_snapshot(now)

    def has_address_over_quota(self) -> bool:
        """Return whether quotas are enforced and an address exceeds its quota."""
        return self.headroom.has_address_over_quota()

    def should_reject_address(self, peer: str) -> bool:
        """Return whether a connection from `peer` is closed at once while no slot is free.

        It is if the address exceeds its quota. Otherwise many connections from one address would keep the
        clients at all other addresses waiting.
        """
        return self.headroom.has_address_over_quota() and self.headroom.exceeds_quota(peer)

    def excess_descriptors(self) -> int:
        """Return how many descriptors to free in this review because more are open than the limit."""
        return _limit_batch(self.descriptors.excess())

    def excess_connections(self) -> int:
        """Return how many client connections to close in this review because they exceed their limit."""
        return _limit_batch(len(self.connection_table) - self.open_limit())

    # ---------------------------------------------------------------------------- closing with a response

    def should_close_after_response(self, record: ConnectionRecord, now: float) -> bool:
        """Return whether to close a connection after its pending response; if so, set `close_reason`."""
        if self.descriptors.excess() or len(self.connection_table) > self.open_limit():
            return self._mark_for_close(record, CloseReason.DESCRIPTORS, now)
        if self.headroom.is_short_of_slots(now) and self.headroom.has_address_over_quota():
            # Connections of addresses within their quota stay open.
            return self.headroom.exceeds_quota(record.peer) and self._mark_for_close(
                record, CloseReason.ADDRESS_QUOTA, now
            )
        if not self._is_slot_needed_before_reuse(record, now):
            return False
        return not self._keep_as_sample(record) and self._mark_for_close(
            record, CloseReason.NOT_WORTH_KEEPING, now
        )

    def _is_slot_needed_before_reuse(self, record: ConnectionRecord, now: float) -> bool:
        """Return whether other clients need the slot before the expected next request of its connection."""
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
        """Return whether a connection that should be closed is kept as a sample.

        Without samples the expectation would confirm itself: a connection that is always closed is never
        reused.
        """
        self._sample_candidates += 1
        if (
            self._sample_candidates % CANDIDATES_PER_SAMPLE
            or self._sample_count >= MAX_SAMPLED_FRACTION * self.headroom.capacity()
            or record.is_reuse_sample
        ):
            return False
        record.is_reuse_sample = True
        self._sample_count += 1
        return True

    def _mark_for_close(self, record: ConnectionRecord, reason: CloseReason, now: float) -> bool:
        """Set why a connection is closed after its response; return True."""
        record.close_reason = reason
        self._record_pressure(reason, now)
        return True

    def _record_pressure(self, reason: CloseReason, now: float) -> None:
        """Record that a slot is freed under connection pressure."""
        self._last_eviction_at = now
        if self.pressure_since is None:
            self.pressure_since = now
            self.pressure_reason = reason

    # -------------------------------------------------------------------------- closing between requests

    def review(self, now: float) -> list[EvictionCandidate]:
        """Return the connections to close now because they expired or because capacity is needed.

        The caller closes those of them that have no unread received bytes.
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
        """Advance all estimates to `now`."""
        elapsed_ms = self.headroom.opening_rate.update(now)
        if elapsed_ms <= 0:
            return
        idle = self.connection_table.idle
        self.headroom.opening_rate.reopen_probability = 1.0 - exp(
            -self.limits.idle_timeout_ms / idle.used_once.expected_idle_ms(now)
        )
        self.headroom.limit_estimator.advance_time(now)
        for queue in idle.all():
            queue.expected_idle_ms(now)  # called to accrue idle time up to `now`
            queue.decay(elapsed_ms)
        if now - self._address_window_began_at >= ADDRESS_WINDOW_MS:
            self._address_window_began_at = now
            self.connection_table.address_quota.rotate_window()
        self._back_off_if_unclaimed(now)

    def _back_off_if_unclaimed(self, now: float) -> None:
        """Pause evictions for capacity if no client used the slots that were freed.

        Without the pause, a client that keeps a connection pool of fixed size and reconnects at once without
        a request would cause an endless series of evictions and reconnects.
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
        """Return connections that may be closed to free a descriptor, the least valuable first.

        Args:
            now: the current time, milliseconds.
            is_urgent: whether to include connections that are likely to be reused soon.
        """
        return self.eviction.select_on_demand(now, is_urgent)


def _limit_batch(excess: int) -> int:
    """Return how many to close in one review, so that a lowered limit does not close all at once."""
    return min(max(0, excess), max(MIN_EXCESS_CLOSES, int(excess * EXCESS_CLOSE_FRACTION)))
