"""All client connections: what each is doing, since when, and how it ended.

The caller reports each change at its time (milliseconds on any monotonic clock). Each report takes the same
time however many connections there are, and memory grows with the open ones only.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from enum import Enum
from math import inf

from .address_quota import AddressQuota
from .idle_queue import IdleQueue

REMEMBERED_STATUS_COUNT = 4  # recent responses of which the status is remembered


class ConnectionState(Enum):
    """What a connection is doing."""

    NEW = "fresh"  # open, without a request so far
    ACTIVE = "asking"  # a request is in progress, or its response is being written
    IDLE = "kept"  # all requests are answered, and it may send another one
    LINGERING = "lingering"  # its last response is written; the peer's close is awaited
    CLOSED = "closed"


ALLOWED_TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.NEW: frozenset(
        {ConnectionState.ACTIVE, ConnectionState.LINGERING, ConnectionState.CLOSED}
    ),
    ConnectionState.ACTIVE: frozenset(
        {ConnectionState.IDLE, ConnectionState.LINGERING, ConnectionState.CLOSED}
    ),
    ConnectionState.IDLE: frozenset(
        {ConnectionState.ACTIVE, ConnectionState.LINGERING, ConnectionState.CLOSED}
    ),
    ConnectionState.LINGERING: frozenset({ConnectionState.CLOSED}),
    ConnectionState.CLOSED: frozenset(),
}
"""The states that may follow each state. `ConnectionTable` raises ValueError on any other transition."""


class CloseReason(Enum):
    """Why a connection was closed."""

    CLIENT_CLOSED = "client"  # the client closed it, or asked for its close
    CONNECTION_LOST = "broke"  # reset, or the peer's machine is unreachable
    NOT_WORTH_KEEPING = "answered"  # with a response: its slot is needed before it is expected to be reused
    CAPACITY = "room"  # between requests: capacity for clients was short
    DESCRIPTORS = "need"  # between requests: descriptors were needed for something else
    ADDRESS_QUOTA = "address"  # its address holds more than its quota while capacity is short
    NO_REQUEST = "silent"  # no request within `silent_timeout`
    IDLE_TIMEOUT = "idle"  # no further request within `idle_timeout`
    STALLED_REQUEST = "half"  # amid a request that made no progress: its slot was needed
    SLOW_CLIENT = "slow"  # a request that was not completed in time, or a response that was not read
    TRUNCATED_RESPONSE = "cut"  # amid a response that its upstream did not complete
    BAD_REQUEST = "rejected"  # after a request that cannot be accepted
    INTERNAL_ERROR = "fault"  # an exception of this program
    SHUTDOWN = "ending"  # the router shuts down


class ConnectionRecord:
    """One connection. Times are milliseconds.

    Args:
        driver: the connection's owner; the table never looks at it.
        listener_name: the name of the listener that accepted it.
        peer: the client's address, or "" for one of the router's own connections.
        opened_at: when it was accepted.
    """

    __slots__ = (
        "close_reason",
        "driver",
        "is_reuse_sample",
        "listener_name",
        "opened_at",
        "peer",
        "ready_at",
        "recent_statuses",
        "request_count",
        "request_started_at",
        "state",
        "state_since",
    )

    def __init__(self, driver: object, listener_name: str, peer: str, opened_at: float) -> None:
        self.driver = driver
        self.listener_name = listener_name
        self.peer = peer
        self.opened_at = opened_at
        self.ready_at = opened_at  # when it could carry a request: after the handshake, if there is one
        self.request_started_at = inf  # when the first bytes of a request arrived
        self.state = ConnectionState.NEW
        self.state_since = opened_at
        self.request_count = 0  # requests that were begun
        self.recent_statuses = ""  # the first digits of the last responses' status codes, the newest last
        self.close_reason: CloseReason | None = None  # once the close has been decided
        self.is_reuse_sample = False  # kept open to see whether it is reused, although that is not expected

    def mark_bytes_received(self, now: float) -> None:
        """Record that bytes have arrived."""
        if self.request_started_at == inf:
            self.request_started_at = now


class IdleQueues:
    """The connections without a request, by kind."""

    __slots__ = ("reused", "unused", "used_once")

    def __init__(self, now: float) -> None:
        self.unused: IdleQueue[ConnectionRecord] = IdleQueue(now)  # no request so far
        self.used_once: IdleQueue[ConnectionRecord] = IdleQueue(now)
        self.reused: IdleQueue[ConnectionRecord] = IdleQueue(now)  # more than one request so far

    def all(self) -> tuple[IdleQueue[ConnectionRecord], ...]:
        """Return the queues of all kinds."""
        return self.unused, self.used_once, self.reused

    def queue_of(self, record: ConnectionRecord) -> IdleQueue[ConnectionRecord] | None:
        """Return the queue of a connection's kind, or None if it is not idle."""
        if record.state is ConnectionState.NEW:
            return self.unused
        if record.state is ConnectionState.IDLE:
            return self.used_once if record.request_count == 1 else self.reused
        return None


class ConnectionTable:
    """All open connections, by what they are doing.

    Args:
        now: the present time, milliseconds.
    """

    def __init__(self, now: float) -> None:
        self.idle = IdleQueues(now)
        self.lingering: OrderedDict[ConnectionRecord, None] = OrderedDict()  # the longest lingering first
        # connections with an incomplete request and when bytes of it last arrived, the earliest first
        self.partial_requests: OrderedDict[ConnectionRecord, float] = OrderedDict()
        self.active_count = 0
        self.opened_total = 0  # since the start
        self.request_total = 0  # since the start
        self.open_by_listener: Counter[str] = Counter()
        self.address_quota = AddressQuota()
        self.closed_by_reason: Counter[CloseReason] = Counter()  # since the start

    def __len__(self) -> int:
        """Return how many connections are open."""
        idle = self.idle
        idle_count = len(idle.unused) + len(idle.used_once) + len(idle.reused)
        return self.active_count + len(self.lingering) + idle_count

    def __iter__(self) -> Iterator[ConnectionRecord]:
        """Iterate over all connections that are idle or lingering."""
        for queue in self.idle.all():
            yield from queue
        yield from self.lingering

    def client_held_count(self) -> int:
        """Return how many connections clients hold for requests: the active and the answered ones."""
        return self.active_count + len(self.idle.used_once) + len(self.idle.reused)

    def counts_by_kind(self) -> dict[str, int]:
        """Return how many connections there are of each kind, under the names of log fields."""
        return {
            "active": self.active_count,
            "unused": len(self.idle.unused),
            "used_once": len(self.idle.used_once),
            "reused": len(self.idle.reused),
            "partial_requests": len(self.partial_requests),
            "lingering": len(self.lingering),
        }

    # ---------------------------------------------------------------------------------------- transitions

    def add_connection(self, driver: object, listener_name: str, peer: str, now: float) -> ConnectionRecord:
        """Add a connection that was accepted; one without a peer ("") counts against no quota."""
        record = ConnectionRecord(driver, listener_name, peer, now)
        self.opened_total += 1
        self.open_by_listener[listener_name] += 1
        if peer:
            self.address_quota.add(peer)
        self.idle.unused.add(record, now)
        return record

    def record_partial_request(self, record: ConnectionRecord, now: float) -> None:
        """Record that more of an incomplete request has arrived."""
        if self.idle.queue_of(record) is not None:
            self.partial_requests[record] = now
            self.partial_requests.move_to_end(record)

    def begin_request(self, record: ConnectionRecord, now: float) -> None:
        """Record that a request is begun.

        A pipelined request follows a response at once, and counts as well.
        """
        if record.state is not ConnectionState.ACTIVE:
            self._transition(record, ConnectionState.ACTIVE, now, for_request=True)
        record.request_count += 1
        self.request_total += 1

    def record_response(self, record: ConnectionRecord, status: int) -> None:
        """Record the status code of a request's final answer."""
        record.recent_statuses = (record.recent_statuses + str(status // 100))[-REMEMBERED_STATUS_COUNT:]

    def mark_idle(self, record: ConnectionRecord, now: float) -> None:
        """Record that all requests are answered and the responses written."""
        self._transition(record, ConnectionState.IDLE, now)

    def mark_lingering(self, record: ConnectionRecord, now: float) -> None:
        """Record that the last response is written and the peer has yet to close."""
        self._transition(record, ConnectionState.LINGERING, now)

    def mark_closed(self, record: ConnectionRecord, reason: CloseReason, now: float) -> None:
        """Record the close of a connection. A reason that was decided before takes precedence."""
        self._transition(record, ConnectionState.CLOSED, now)
        self.open_by_listener[record.listener_name] -= 1
        if not self.open_by_listener[record.listener_name]:
            del self.open_by_listener[record.listener_name]
        if record.peer:
            self.address_quota.remove(record.peer)
        record.driver = None  # it refers back: leave no reference cycle
        record.close_reason = record.close_reason or reason
        self.closed_by_reason[record.close_reason] += 1

    def _transition(
        self, record: ConnectionRecord, state: ConnectionState, now: float, for_request: bool = False
    ) -> None:
        """Move a connection to another state.

        Raises:
            ValueError: the state may not follow its present one.
        """
        if state not in ALLOWED_TRANSITIONS[record.state]:
            raise ValueError(f"a connection that is {record.state.value} cannot become {state.value}")
        queue = self.idle.queue_of(record)
        self.partial_requests.pop(record, None)
        if queue is not None:
            queue.remove(record, now, for_request)
        elif record.state is ConnectionState.LINGERING:
            del self.lingering[record]
        else:
            self.active_count -= 1
        record.state = state
        record.state_since = now
        if state is ConnectionState.ACTIVE:
            self.active_count += 1
        elif state is ConnectionState.LINGERING:
            self.lingering[record] = None
        elif (queue := self.idle.queue_of(record)) is not None:
            queue.add(record, now)
