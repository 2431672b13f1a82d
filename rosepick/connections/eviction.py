"""Selection of the connections to close between requests: expired, for capacity, or for a descriptor."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from .connection_table import CloseReason, ConnectionRecord, ConnectionTable
from .headroom import ConnectionHeadroom
from .idle_queue import IdleQueue
from .limit_estimator import ClientActivity

# A connection that was used once counts as inactive if its expected idle time is longer than this.
UNLIKELY_REUSE_AFTER_MS = 1_000.0
MIN_IDLE_AGE_MS = 100.0  # minimum idle time before an eviction that is not urgent
MIN_REUSED_IDLE_AGE_MS = 2_000.0  # minimum idle time of a reused connection before an eviction on demand
NEW_CONNECTION_GRACE_MS = 200.0  # time for a new connection to send a request before an eviction on demand
MIN_LINGER_MS = 50.0  # minimum time of lingering before an eviction on demand
STALLED_REQUEST_MS = 600.0  # time without progress of a partial request before an eviction on demand
MAX_QUOTA_CANDIDATES = 64  # connections of each kind that are searched for addresses over quota
MAX_CLOSES_PER_REVIEW = 32  # upper bound of closes for capacity in one review


class EvictionCandidate(NamedTuple):
    """A connection that may be closed, and the reason for the close."""

    record: ConnectionRecord
    reason: CloseReason


class EvictionSelector:
    """Selects connections to close. Times are milliseconds.

    Args:
        connection_table: the open connections.
        headroom: the capacity for client connections.
    """

    def __init__(self, connection_table: ConnectionTable, headroom: ConnectionHeadroom) -> None:
        self.connection_table = connection_table
        self.headroom = headroom

    def select_expired(self, now: float) -> Iterator[EvictionCandidate]:
        """Yield the connections whose idle time exceeds its timeout."""
        idle = self.connection_table.idle
        limits = self.headroom.limits
        for queue, timeout_ms, reason in (
            (idle.unused, limits.silent_timeout_ms, CloseReason.NO_REQUEST),
            (idle.used_once, limits.idle_timeout_ms, CloseReason.IDLE_TIMEOUT),
            (idle.reused, limits.idle_timeout_ms, CloseReason.IDLE_TIMEOUT),
        ):
            for record in queue.idle_since(now - timeout_ms):
                yield EvictionCandidate(record, reason)

    def select_for_capacity(self, now: float) -> list[ConnectionRecord]:
        """Return the connections to close to free slots for clients, or to probe the clients' limit."""
        missing = self.headroom.target_free_slots(now) - self.headroom.free_slots()
        if missing > 0:
            return self._select_least_valuable(now, min(MAX_CLOSES_PER_REVIEW, missing))
        used_once = self.connection_table.idle.used_once
        inactive = (
            list(used_once.idle_since(now - MIN_IDLE_AGE_MS))
            if used_once.expected_idle_ms(now) > UNLIKELY_REUSE_AFTER_MS
            else []
        )
        opening_rate = self.headroom.opening_rate
        activity = ClientActivity(
            self.connection_table.client_held_count(),
            len(inactive),
            opening_rate.rate_at_last_opening,
            opening_rate.last_opened_at,
        )
        count = self.headroom.limit_estimator.start_probe(now, activity)
        # Close those that became idle last. Of connections that are reused periodically, the one that has
        # been idle longest is due next.
        return inactive[len(inactive) - count :]

    def _select_least_valuable(self, now: float, count: int) -> list[ConnectionRecord]:
        """Return the answered connections that are least likely to be reused soon, the longest idle first.

        Connections of an address over its quota come before all others.
        """
        idle = self.connection_table.idle
        queues = sorted((idle.used_once, idle.reused), key=lambda queue: -queue.expected_idle_ms(now))
        records = [record for queue in queues for record in queue.idle_since(now - MIN_IDLE_AGE_MS)]
        if self.headroom.has_address_over_quota():
            records.sort(key=lambda record: not self.headroom.exceeds_quota(record.peer))
        return records[:count]

    def select_on_demand(self, now: float, is_urgent: bool = True) -> Iterator[EvictionCandidate]:
        """Yield connections that may be closed to free a descriptor, the least valuable first.

        Args:
            now: the current time, milliseconds.
            is_urgent: whether to include connections that are likely to be reused soon.
        """
        yield from self._select_lingering(now)
        if self.headroom.has_address_over_quota():
            yield from self._select_over_quota()
        yield from self._select_idle(now)
        if is_urgent:
            yield from self._select_all_answered()

    def _select_lingering(self, now: float) -> Iterator[EvictionCandidate]:
        for record in self.connection_table.lingering:
            if now - record.state_since < MIN_LINGER_MS:
                break
            yield EvictionCandidate(record, CloseReason.DESCRIPTORS)

    def _select_over_quota(self) -> Iterator[EvictionCandidate]:
        for queue in self.connection_table.idle.all():
            for record in islice(queue, MAX_QUOTA_CANDIDATES):
                if self.headroom.exceeds_quota(record.peer):
                    yield EvictionCandidate(record, CloseReason.ADDRESS_QUOTA)

    def _select_idle(self, now: float) -> Iterator[EvictionCandidate]:
        """Yield idle connections, starting with the kind that has the longest expected idle time."""
        idle = self.connection_table.idle
        kinds: list[tuple[IdleQueue[ConnectionRecord], float]] = [
            (idle.unused, NEW_CONNECTION_GRACE_MS),
            (idle.used_once, MIN_IDLE_AGE_MS),
            (idle.reused, MIN_REUSED_IDLE_AGE_MS),
        ]
        kinds.sort(key=lambda kind: -kind[0].expected_idle_ms(now))
        for queue, min_age_ms in kinds:
            for record in queue.idle_since(now - min_age_ms):
                if record not in self.connection_table.partial_requests:
                    yield EvictionCandidate(record, CloseReason.DESCRIPTORS)
            if queue is idle.unused:
                yield from self._select_stalled_requests(now)

    def _select_stalled_requests(self, now: float) -> Iterator[EvictionCandidate]:
        """Yield connections with a partial request that makes no progress, the longest stalled first.

        Without this, clients that never complete a request would hold their slots for the whole request
        timeout. A client that writes slowly but steadily is not affected.
        """
        for record, last_received_at in self.connection_table.partial_requests.items():
            if now - last_received_at < STALLED_REQUEST_MS:
                return
            yield EvictionCandidate(record, CloseReason.STALLED_REQUEST)

    def _select_all_answered(self) -> Iterator[EvictionCandidate]:
        idle = self.connection_table.idle
        for queue in (idle.used_once, idle.reused, self.connection_table.lingering):
            for record in queue:
                yield EvictionCandidate(record, CloseReason.DESCRIPTORS)
