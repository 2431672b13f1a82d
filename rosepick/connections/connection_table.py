"""The account of all connections of the sender side: what each is doing, since when, and how it ended.

Whoever drives it reports each change at its time (milliseconds on any clock that only goes forward). Each
report costs the same however many connections there are, and what is held grows with the open ones only.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from enum import Enum
from math import inf

from .address_quota import AddressQuota
from .idle_queue import IdleQueue


class ConnectionState(Enum):
    """What a connection is doing."""

    NEW = "fresh"  # open, nothing asked yet
    ACTIVE = "asking"  # a request of it is in hand, or its answer is being written
    IDLE = "kept"  # answered, and may ask again
    LINGERING = "lingering"  # its last answer is written; the other side's close is awaited
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
"""Where a connection may go from each state. `Account` raises ValueError on any other move."""


class CloseReason(Enum):
    """Who ended a connection, and why."""

    CLIENT_CLOSED = "client"  # it ended its sending, or asked for the end of the connection
    CONNECTION_LOST = "broke"  # reset, or the machine of the other side went
    NOT_WORTH_KEEPING = "answered"  # with an answer: it was not worth its place
    CAPACITY = "room"  # between requests: the sender side's room was short
    DESCRIPTORS = "need"  # between requests: descriptors were needed elsewhere
    ADDRESS_QUOTA = "address"  # its address holds more than its share while room is short
    NO_REQUEST = "silent"  # asked nothing for `silent_timeout`
    IDLE_TIMEOUT = "idle"  # asked nothing more for `idle_timeout`
    STALLED_REQUEST = "half"  # amid a request that did not go on: its place was needed
    SLOW_CLIENT = "slow"  # a request that did not come whole, or an answer that was not read
    TRUNCATED_RESPONSE = "cut"  # amid an answer that its next hop did not give whole
    BAD_REQUEST = "rejected"  # after a request that cannot be taken
    INTERNAL_ERROR = "fault"  # an exception of this program
    SHUTDOWN = "ending"  # the router ends


class ConnectionRecord:
    """One connection in the account. `driver` is the driver's; the account never looks at it."""

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
        self.driver, self.listener_name, self.peer, self.opened_at = driver, listener_name, peer, opened_at
        self.ready_at = opened_at  # when it could be asked on: after the handshake, if there is one
        self.request_started_at = inf  # when the first bytes of a request came
        self.state, self.state_since = ConnectionState.NEW, opened_at
        self.request_count = 0  # requests that were taken up
        self.recent_statuses = ""  # the first digits of the last answers, the newest last
        self.close_reason: CloseReason | None = None  # the reason for its end, once that has been decided
        self.is_reuse_sample = False  # kept to see whether it asks again, although it is not expected to

    def mark_bytes_received(self, now: float) -> None:
        """Bytes have come on it."""
        if self.request_started_at == inf:
            self.request_started_at = now

    def idle_kind(self) -> str | None:
        """The kind of standing connection that it is, if it stands: `fresh`, `once` or `often`."""
        if self.state is ConnectionState.NEW:
            return "fresh"
        if self.state is ConnectionState.IDLE:
            return "once" if self.request_count == 1 else "often"
        return None


REMEMBERED_STATUS_COUNT = 4  # how many of the last answers are remembered


class ConnectionTable:
    """All connections that are open, by what they are doing."""

    def __init__(self, now: float) -> None:
        self.idle: dict[str, IdleQueue[ConnectionRecord]] = {
            name: IdleQueue(now) for name in ("fresh", "once", "often")
        }
        self.lingering: OrderedDict[ConnectionRecord, None] = OrderedDict()  # the longest lingering first
        self.partial_requests: OrderedDict[ConnectionRecord, float] = (
            OrderedDict()
        )  # half a request came; the longest unheard first
        self.active_count = 0
        self.opened_total = 0  # since the start
        self.request_total = 0
        self.open_by_listener: Counter[str] = Counter()
        self.address_quota = AddressQuota()
        self.closed_by_reason: Counter[CloseReason] = Counter()  # since the start

    def __len__(self) -> int:
        """How many are open."""
        return self.active_count + len(self.lingering) + sum(map(len, self.idle.values()))

    def client_held_count(self) -> int:
        """How many clients hold for requests: those that ask, and those that have been answered and are
        kept.
        """
        return self.active_count + len(self.idle["once"]) + len(self.idle["often"])

    # -------------------------------------------------------------------------------------- what happens

    def add_connection(self, driver: object, listener_name: str, peer: str, now: float) -> ConnectionRecord:
        """A connection was accepted. One of our own has no peer ("") and no part in the shares."""
        conn = ConnectionRecord(driver, listener_name, peer, now)
        self.opened_total += 1
        self.open_by_listener[listener_name] += 1
        if peer:
            self.address_quota.add(peer)
        self.idle["fresh"].add(conn, now)
        return conn

    def record_partial_request(self, record: ConnectionRecord, now: float) -> None:
        """More of a request came on it, and it is not whole."""
        if record.idle_kind() is not None:
            self.partial_requests[record] = now
            self.partial_requests.move_to_end(record)

    def begin_request(self, record: ConnectionRecord, now: float) -> None:
        """A request of it is taken up. One that was sent ahead follows an answer at once, and counts as
        well.
        """
        if record.state is not ConnectionState.ACTIVE:
            self._transition(record, ConnectionState.ACTIVE, now, for_request=True)
        record.request_count += 1
        self.request_total += 1

    def record_response(self, record: ConnectionRecord, status: int) -> None:
        """A request of it has its final answer."""
        record.recent_statuses = (record.recent_statuses + str(status // 100))[-REMEMBERED_STATUS_COUNT:]

    def mark_idle(self, record: ConnectionRecord, now: float) -> None:
        """All is answered and written; it may ask again."""
        self._transition(record, ConnectionState.IDLE, now)

    def mark_lingering(self, record: ConnectionRecord, now: float) -> None:
        """Its last answer is written; the other side has yet to close."""
        self._transition(record, ConnectionState.LINGERING, now)

    def mark_closed(self, record: ConnectionRecord, reason: CloseReason, now: float) -> None:
        """It is closed. A reason that was decided before counts more than the way it came about."""
        self._transition(record, ConnectionState.CLOSED, now)
        self.open_by_listener[record.listener_name] -= 1
        if not self.open_by_listener[record.listener_name]:
            del self.open_by_listener[record.listener_name]
        if record.peer:
            self.address_quota.remove(record.peer)
        record.driver = None  # it refers back: leave no cycle to collect
        record.close_reason = record.close_reason or reason
        self.closed_by_reason[record.close_reason] += 1

    def _transition(
        self, record: ConnectionRecord, state: ConnectionState, now: float, for_request: bool = False
    ) -> None:
        if state not in ALLOWED_TRANSITIONS[record.state]:
            raise ValueError(f"a connection that is {record.state.value} cannot become {state.value}")
        line = record.idle_kind()
        self.partial_requests.pop(record, None)
        if line is not None:
            self.idle[line].remove(record, now, for_request)
        elif record.state is ConnectionState.LINGERING:
            del self.lingering[record]
        else:
            self.active_count -= 1
        record.state, record.state_since = state, now
        if state is ConnectionState.ACTIVE:
            self.active_count += 1
        elif state is ConnectionState.LINGERING:
            self.lingering[record] = None
        elif (line := record.idle_kind()) is not None:
            self.idle[line].add(record, now)

    # ----------------------------------------------------------------------------------------- what is

    def __iter__(self) -> Iterator[ConnectionRecord]:
        """All that stand or linger; not those that ask."""
        for standing in self.idle.values():
            yield from standing
        yield from self.lingering

    def counts_by_kind(self) -> dict[str, int]:
        """How many there are of each kind."""
        stand = {name: len(standing) for name, standing in self.idle.items()}
        return {
            "asking": self.active_count,
            **stand,
            "half": len(self.partial_requests),
            "lingering": len(self.lingering),
        }
