"""Table of all client connections: the state of each, since when, and the reason for its close.

The caller reports each change with its time, in milliseconds on any monotonic clock. Each report takes
constant time, and memory grows with the number of open connections only.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from enum import Enum
from math import inf

from .address_quota import AddressQuota
from .idle_queue import IdleQueue

REMEMBERED_STATUS_COUNT = 4  # recent responses whose status is kept for each connection


class ConnectionState(Enum):
    """State of a connection."""

    NEW = "fresh"  # open, no request yet
    ACTIVE = "asking"  # a request is in progress, or its response is being written
    IDLE = "kept"  # all requests are answered, and another one may follow
    LINGERING = "lingering"  # the last response is written, and the peer has yet to close
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
"""Allowed next states of each state. `ConnectionTable` raises ValueError on any other transition."""


class CloseReason(Enum):
    """Why a connection was closed."""

    CLIENT_CLOSED = "client"  # the client closed it or requested the close
    CONNECTION_LOST = "broke"  # reset, or the peer's machine is unreachable
    NOT_WORTH_KEEPING = "answered"  # after a response: its slot is needed before its expected reuse
    CAPACITY = "room"  # between requests: clients needed slots
    DESCRIPTORS = "need"  # descriptors were needed for other purposes
    ADDRESS_QUOTA = "address"  # its address exceeded its quota while capacity was short
    NO_REQUEST = "silent"  # no request within `silent_timeout`
    IDLE_TIMEOUT = "idle"  # no further request within `idle_timeout`
    STALLED_REQUEST = "half"  # during a request without progress: its slot was needed
    SLOW_CLIENT = "slow"  # the client did not complete a request or read a response in time
    TRUNCATED_RESPONSE = "cut"  # during a response that the upstream did not complete
    BAD_REQUEST = "rejected"  # after a request that the router rejected
    INTERNAL_ERROR = "fault"  # an exception in the router
    SHUTDOWN = "ending"  # the router shut down


class ConnectionRecord:
    """State of one connection. Times are milliseconds.

    Args:
        owner: the object that drives the connection; opaque to the table.
        listener_name: the name of the listener that accepted it.
        peer: the client's address, or "" for a connection of the router to itself.
        opened_at: when it was accepted.
    """

    __slots__ = (
        "close_reason",
        "is_reuse_sample",
        "listener_name",
        "opened_at",
        "owner",
        "peer",
        "ready_at",
        "recent_statuses",
        "request_count",
        "request_started_at",
        "state",
        "state_since",
    )

    def __init__(self, owner: object, listener_name: str, peer: str, opened_at: float) -> None:
        self.owner = owner
        self.listener_name = listener_name
        self.peer = peer
        self.opened_at = opened_at
        self.ready_at = opened_at  # when it could carry a request: after the TLS handshake, if any
        self.request_started_at = inf  # when the first bytes of the first request arrived
        self.state = ConnectionState.NEW
        self.state_since = opened_at
        self.request_count = 0  # requests started so far
        self.recent_statuses = ""  # first digits of the status codes of recent responses, the latest last
        self.close_reason: CloseReason | None = None  # set once the close is decided
        self.is_reuse_sample = False  # kept open to test whether it is reused, against expectation

    def mark_bytes_received(self, now: float) -> None:
        """Record that bytes arrived."""
        if self.request_started_at == inf:
            self.request_started_at = now


class IdleQueues:
    """Connections without a request in progress, by kind."""

    __slots__ = ("reused", "unused", "used_once")

    def __init__(self, now: float) -> None:
        self.unused: IdleQueue[ConnectionRecord] = IdleQueue(now)  # no request yet
        self.used_once: IdleQueue[ConnectionRecord] = IdleQueue(now)
        self.reused: IdleQueue[ConnectionRecord] = IdleQueue(now)  # two or more requests

    def all(self) -> tuple[IdleQueue[ConnectionRecord], ...]:
        """Return the queues of all kinds."""
        return self.unused, self.used_once, self.reused

    def queue_of(self, record: ConnectionRecord) -> IdleQueue[ConnectionRecord] | None:
        """Return the queue for a connection's kind, or None if the connection is not idle."""
        if record.state is ConnectionState.NEW:
            return self.unused
        if record.state is ConnectionState.IDLE:
            return self.used_once if record.request_count == 1 else self.reused
        return None


class ConnectionTable:
    """All open connections, by state.

    Args:
        now: the current time, milliseconds.
    """

    def __init__(self, now: float) -> None:
        self.idle = IdleQueues(now)
        self.lingering: OrderedDict[ConnectionRecord, None] = OrderedDict()  # the longest lingering first
        # connections with a partial request, and when bytes last arrived on them; the earliest first
        self.partial_requests: OrderedDict[ConnectionRecord, float] = OrderedDict()
        self.partial_heads: set[ConnectionRecord] = set()  # those of them whose head is partial
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
        """Return how many connections clients hold for requests: active and answered ones."""
        return self.active_count + len(self.idle.used_once) + len(self.idle.reused)

    def counts_by_kind(self) -> dict[str, int]:
        """Return the number of connections of each kind; the keys are log fields."""
        return {
            "active": self.active_count,
            "unused": len(self.idle.unused),
            "used_once": len(self.idle.used_once),
            "reused": len(self.idle.reused),
            "partial_requests": len(self.partial_requests),
            "lingering": len(self.lingering),
        }

    # ---------------------------------------------------------------------------------------- transitions

    def add_connection(self, owner: object, listener_name: str, peer: str, now: float) -> ConnectionRecord:
        """Add an accepted connection; an empty `peer` counts against no quota."""
        record = ConnectionRecord(owner, listener_name, peer, now)
        self.opened_total += 1
        self.open_by_listener[listener_name] += 1
        if peer:
            self.address_quota.add(peer)
        self.idle.unused.add(record, now)
        return record

    def record_partial_request(self, record: ConnectionRecord, now: float, in_head: bool = False) -> None:
        """Record that bytes of a partial request arrived; `in_head` tells whether its head is partial."""
        if self.idle.queue_of(record) is None:
            return
        self.partial_requests[record] = now
        self.partial_requests.move_to_end(record)
        if in_head:
            self.partial_heads.add(record)
        else:
            self.partial_heads.discard(record)

    def record_partial_upload(self, record: ConnectionRecord, now: float) -> None:
        """Record that bytes of a streamed body arrived, whose request is served already."""
        self.partial_requests[record] = now
        self.partial_requests.move_to_end(record)

    def complete_upload(self, record: ConnectionRecord) -> None:
        """Record that a streamed body is complete: from now on its client awaits the answer."""
        self.partial_requests.pop(record, None)

    def begin_request(self, record: ConnectionRecord, now: float) -> None:
        """Record the start of a request.

        A pipelined request, which starts on an active connection, counts too.
        """
        if record.state is not ConnectionState.ACTIVE:
            self._transition(record, ConnectionState.ACTIVE, now, for_request=True)
        record.request_count += 1
        self.request_total += 1

    def record_response(self, record: ConnectionRecord, status: int) -> None:
        """Record the status code of a request's final answer."""
        record.recent_statuses = (record.recent_statuses + str(status // 100))[-REMEMBERED_STATUS_COUNT:]

    def mark_idle(self, record: ConnectionRecord, now: float) -> None:
        """Record that all requests are answered and all responses are written."""
        self._transition(record, ConnectionState.IDLE, now)

    def mark_lingering(self, record: ConnectionRecord, now: float) -> None:
        """Record that the last response is written and the peer has yet to close."""
        self._transition(record, ConnectionState.LINGERING, now)

    def mark_closed(self, record: ConnectionRecord, reason: CloseReason, now: float) -> None:
        """Record the close of a connection. A `close_reason` set before takes precedence over `reason`."""
        self._transition(record, ConnectionState.CLOSED, now)
        self.open_by_listener[record.listener_name] -= 1
        if not self.open_by_listener[record.listener_name]:
            del self.open_by_listener[record.listener_name]
        if record.peer:
            self.address_quota.remove(record.peer)
        record.owner = None  # breaks the reference cycle with the owner
        record.close_reason = record.close_reason or reason
        self.closed_by_reason[record.close_reason] += 1

    def _transition(
        self, record: ConnectionRecord, state: ConnectionState, now: float, for_request: bool = False
    ) -> None:
        """Move a connection to another state.

        Raises:
            ValueError: the transition is not allowed.
        """
        if state not in ALLOWED_TRANSITIONS[record.state]:
            raise ValueError(f"a connection that is {record.state.value} cannot become {state.value}")
        queue = self.idle.queue_of(record)
        self.partial_requests.pop(record, None)
        self.partial_heads.discard(record)
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
