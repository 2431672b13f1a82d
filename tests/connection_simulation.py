"""A simulation of a listener and its clients, for tests of the connection policy."""

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
"""What can happen to a connection in random runs."""


class ListenerSimulation:
    """A connection table and a policy on a clock, driven as the listener does it. Times are milliseconds.

    Args:
        descriptors: how many descriptors the process may hold.
        configured_limit: the operators' limit of what clients may hold.
        client_limit: how many connections the clients hold at most.
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
        """Let time pass, with the reviews that are due in it."""
        until = self.now + elapsed_ms
        while self._next_review_at <= until:
            self.now = self._next_review_at
            self._next_review_at += REVIEW_INTERVAL_MS
            for record, reason in self.policy.review(self.now):
                self.close(record, reason)
        self.now = until

    def connect(self, peer: str = "p") -> ConnectionRecord:
        """A client opens a connection."""
        record = self.table.add_connection(None, "http", peer, self.now)
        self.open.append(record)
        self.budget.acquire(DescriptorUse.DOWNSTREAM)
        return record

    def begin_request(self, record: ConnectionRecord) -> None:
        """A request arrives on a connection."""
        record.mark_bytes_received(self.now)
        self.table.begin_request(record, self.now)
        self.policy.record_request(record, self.now)

    def respond(self, record: ConnectionRecord) -> bool:
        """Write the response; return False if it ends the connection, upon which its client closes."""
        is_last = self.policy.should_close_after_response(record, self.now)
        self.table.record_response(record, 200)
        if is_last:
            self.table.mark_lingering(record, self.now)
            self.close(record, CloseReason.CLIENT_CLOSED)
        else:
            self.table.mark_idle(record, self.now)
        return not is_last

    def request_once(self, peer: str = "p", duration_ms: float = 20.0) -> ConnectionRecord | None:
        """A client sends one request on a new connection, if it may open one, and then holds it."""
        if self.held_count() >= self.client_limit:
            return None
        record = self.connect(peer)
        self.begin_request(record)
        self.pass_time(duration_ms)
        return record if self.respond(record) else None

    def close(self, record: ConnectionRecord, reason: CloseReason) -> None:
        """A connection is closed."""
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
    """Send requests of 20 ms, each on a connection of its own that its client would hold for ever.

    Returns how many of them found no free slot.
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
