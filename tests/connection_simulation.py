"""Simulation of a listener and its clients for tests of the connection policy."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from rosepick.connections.connection_table import (
    CloseReason,
    ConnectionRecord,
    ConnectionState,
    ConnectionTable,
)
from rosepick.connections.descriptor_budget import DescriptorBudget, DescriptorUse
from rosepick.connections.headroom import ConnectionLimits
from rosepick.connections.opening_rate import REVIEW_INTERVAL_MS
from rosepick.connections.policy import ConnectionPolicy

STEPS = ("open", "request", "respond", "linger", "close")
"""Steps of a connection in randomized tests."""


class ListenerSimulation:
    """Drives a connection table and a policy as the listener does, on a simulated clock in milliseconds.

    Args:
        descriptors: the maximum number of descriptors of the process.
        configured_limit: the configured limit of client connections; None if it is learned.
        client_limit: the maximum number of connections that the clients hold.
    """

    def __init__(
        self, descriptors: int = 384, configured_limit: int | None = None, client_limit: int = 128
    ) -> None:
        self.now = 0.0
        self.table = ConnectionTable(0.0)
        self.budget = DescriptorBudget(descriptors)
        limits = ConnectionLimits(client_connection_limit=configured_limit)
        self.policy = ConnectionPolicy(self.table, self.budget, limits, descriptors, 0.0)
        self.client_limit = client_limit
        self.open: list[ConnectionRecord] = []
        self.closed: Counter[CloseReason] = Counter()
        self.on_close: Callable[[ConnectionRecord], None] = lambda _: None
        self._next_review_at = REVIEW_INTERVAL_MS

    def held_count(self) -> int:
        """Return how many connections clients hold for requests."""
        return sum(record.state is not ConnectionState.NEW for record in self.open)

    def pass_time(self, elapsed_ms: float) -> None:
        """Advance the clock, and run the reviews that are due."""
        until = self.now + elapsed_ms
        while self._next_review_at <= until:
            self.now = self._next_review_at
            self._next_review_at += REVIEW_INTERVAL_MS
            for record, reason in self.policy.review(self.now):
                self.close(record, reason)
        self.now = until

    def connect(self, peer: str = "p") -> ConnectionRecord:
        """Open a connection of a client."""
        record = self.table.add_connection(None, "http", peer, self.now)
        self.open.append(record)
        self.budget.acquire(DescriptorUse.DOWNSTREAM)
        return record

    def begin_request(self, record: ConnectionRecord) -> None:
        """Begin a request on a connection."""
        record.mark_bytes_received(self.now)
        self.table.begin_request(record, self.now)
        self.policy.record_request(record, self.now)

    def respond(self, record: ConnectionRecord) -> bool:
        """Write the response; return False if the connection closes after it."""
        is_last = self.policy.should_close_after_response(record, self.now)
        self.table.record_response(record, 200)
        if is_last:
            self.table.mark_lingering(record, self.now)
            self.close(record, CloseReason.CLIENT_CLOSED)
        else:
            self.table.mark_idle(record, self.now)
        return not is_last

    def request_once(self, peer: str = "p", duration_ms: float = 20.0) -> ConnectionRecord | None:
        """Send one request on a new connection that stays open; None if the clients' limit is reached."""
        if self.held_count() >= self.client_limit:
            return None
        record = self.connect(peer)
        self.begin_request(record)
        self.pass_time(duration_ms)
        return record if self.respond(record) else None

    def close(self, record: ConnectionRecord, reason: CloseReason) -> None:
        """Close a connection."""
        self.table.mark_closed(record, reason, self.now)
        self.policy.record_close(record)
        self.open.remove(record)
        self.budget.release(DescriptorUse.DOWNSTREAM)
        assert record.close_reason is not None
        self.closed[record.close_reason] += 1
        self.on_close(record)


def send_one_shot_requests(
    simulation: ListenerSimulation,
    count: int,
    interval_ms: float,
    peer: Callable[[int], str] = lambda n: f"h{n}",
) -> int:
    """Send requests of 20 ms, each on a new connection that its client never closes.

    Returns the number of requests that found no free slot.
    """
    missed = 0
    in_progress: list[tuple[float, ConnectionRecord]] = []
    for n in range(count):
        for ends_at, record in in_progress[:]:
            if ends_at <= simulation.now:
                in_progress.remove((ends_at, record))
                simulation.respond(record)
        if simulation.held_count() >= simulation.client_limit:
            missed += 1
        else:
            record = simulation.connect(peer(n))
            simulation.begin_request(record)
            in_progress.append((simulation.now + 20.0, record))
        simulation.pass_time(interval_ms)
    for _, record in in_progress:
        simulation.respond(record)
    return missed
