"""The doors of the sender side: accepting, and what is closed there to make room."""

from __future__ import annotations

import errno
import logging
import socket
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial

from ..connections.accept_throttle import AcceptThrottle
from ..connections.connection_table import CloseReason, ConnectionRecord, ConnectionState, ConnectionTable
from ..connections.descriptor_budget import DescriptorUse
from ..connections.headroom import ConnectionLimits
from ..connections.opening_rate import REVIEW_INTERVAL_MS
from ..connections.policy import ConnectionPolicy
from ..core.engine import Engine
from ..logs import log_event
from ..settings.config import NameIndexes
from . import accept_queue
from .downstream_connection import DownstreamConnection
from .event_loop import READ, EventLoop
from .resource_budget import ResourceBudget
from .tcp_stream import StreamFactory, TcpStream, address_family

logger = logging.getLogger(__name__)
ADDRESS_IN_USE_WAIT_S = 5.0  # seconds
ACCEPT_RETRY_MS = 50.0  # after an accept for which there was no descriptor
SWEEP_INTERVAL_MS = 250.0
# between looks for clients that left where nothing is read: a break counts from 100
CLOSED_PEER_CHECK_INTERVAL_MS = 40.0
CONNECTION_LOG_FIELDS = {
    "asking": "active",
    "fresh": "unused",
    "once": "used_once",
    "often": "reused",
    "half": "partial_requests",
}
"""The log fields of the kinds of connections that have another name there."""
MAX_ACCEPTED_OVER_LIMIT = 8  # accepted beyond the doors' part, only to see from where they come

ConnectionFactory = Callable[["Listener", socket.socket, StreamFactory], DownstreamConnection]


@dataclass(slots=True, eq=False)
class ListenSocket:
    """A listening socket, and what makes the streams of its connections, and the links that answer there."""

    name: str
    sock: socket.socket
    make_stream: StreamFactory
    make_connection: ConnectionFactory


@dataclass(frozen=True, slots=True)
class ListenerConfig:
    """What the operators set for all doors; the listener's part of it. Times are milliseconds."""

    limits: ConnectionLimits
    request_timeout_ms: float = 2_500.0  # for the head of a request, from its begin or that of the connection
    backlog: int = 1024  # connections that may wait in the kernel, at each door


class Listener:
    """Accepts the sender side's connections, at one door or more."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        engine: Engine,
        names: NameIndexes,
        address: tuple[str, int],
        config: ListenerConfig,
        max_descriptors: int,
        inherited_fd: int | None = None,
    ) -> None:
        self.loop, self.budget, self.engine, self.names = loop, budget, engine, names
        self.config = config
        self.connection_table = ConnectionTable(loop.now())
        self.policy = ConnectionPolicy(
            self.connection_table, budget, config.limits, max_descriptors, loop.now()
        )
        self.connections: dict[DownstreamConnection, None] = {}
        self._paused_connections: dict[
            DownstreamConnection, None
        ] = {}  # of them: nothing is read there for the time being
        self.own_addresses: set[tuple[str, int]] = set()  # addresses from which this router itself asks here
        self.open_request_ids: set[bytes] = set()
        self.is_shutting_down = False
        self.rejected_count = 0
        self.last_accepted_at = loop.now()
        self.listen_sockets: list[ListenSocket] = []
        self.shares_inherited_socket = inherited_fd is not None
        if inherited_fd is None:
            self.add_listen_socket("http", address)
        else:
            self._register_listen_socket(
                ListenSocket(
                    "http", _inherited_socket(inherited_fd, config.backlog), TcpStream, DownstreamConnection
                )
            )
        self.is_accepting = self.has_started = False
        self.is_open = True
        self._pressure_since: float | None = None
        self._closed_counts_before: dict[CloseReason, int] = {}
        self._futile_evictions = 0
        self._overflow_count = accept_queue.overflows()
        loop.call_after(SWEEP_INTERVAL_MS, self._check_timeouts)
        loop.call_after(REVIEW_INTERVAL_MS, self._evict_connections)

    @property
    def sock(self) -> socket.socket:
        """The first door's."""
        return self.listen_sockets[0].sock

    @property
    def request_timeout_ms(self) -> float:
        """How long a request may take to come, in milliseconds."""
        return self.config.request_timeout_ms

    def add_listen_socket(
        self,
        name: str,
        address: tuple[str, int],
        make_stream: StreamFactory = TcpStream,
        make_connection: ConnectionFactory = DownstreamConnection,
    ) -> ListenSocket:
        """Another address. What comes in there counts, waits and ends as all the others."""
        return self._register_listen_socket(
            ListenSocket(name, listen(address, self.config.backlog), make_stream, make_connection)
        )

    def _register_listen_socket(self, listen_socket: ListenSocket) -> ListenSocket:
        self.listen_sockets.append(listen_socket)
        return listen_socket

    def apply(self, config: ListenerConfig, max_descriptors: int) -> None:
        """Other settings, or another limit of descriptors, from now on."""
        if config.backlog != self.config.backlog and self.is_open:
            for door in self.listen_sockets:
                door.sock.listen(config.backlog)
        self.config = config
        self.policy.apply_limits(config.limits, max_descriptors)
        self.resume_after_free()

    def start(self) -> None:
        """Accept from now on."""
        if self.is_open and not self.is_accepting:
            self.is_accepting = self.has_started = True
            for door in self.listen_sockets:
                self.loop.register(door.sock, READ, partial(self._accept_batch, door))

    def is_serving(self) -> bool:
        """Whether clients are taken."""
        return self.has_started and not self.is_shutting_down

    def pause(self) -> None:
        """Leave new connections in the queue."""
        if self.is_accepting:
            self.is_accepting = False
            for door in self.listen_sockets:
                self.loop.unregister(door.sock)

    def resume_after_free(self) -> None:
        """A descriptor was freed."""
        if (
            self.has_started
            and not self.is_accepting
            and self.budget.used < self.budget.limit
            and not self._is_at_limit()
        ):
            self.start()

    # ---------------------------------------------------------------------------------------- accepting

    def _is_at_limit(self) -> bool:
        """Whether the doors hold their part of the descriptors."""
        return len(self.connections) >= self.budget.downstream_limit()

    def _can_accept(self) -> bool:
        """Whether one more may be accepted. Guards against crowds that take the next hops' descriptors, so
        that each attempt needs a new connection.
        """
        if self._is_at_limit() and (self.policy.has_address_over_quota() or not self.evict_one()):
            return False  # where an address holds too much it must first be seen who comes
        return self.budget.ensure_available(DescriptorUse.DOWNSTREAM)

    def _may_accept_over_limit(self) -> bool:
        """Whether one more may be accepted all the same: only then it shows from which address it comes."""
        beyond = len(self.connections) - self.budget.downstream_limit()
        return 0 <= beyond < MAX_ACCEPTED_OVER_LIMIT and self.budget.used < self.budget.limit

    def _accept_batch(self, listen_socket: ListenSocket, events: int) -> None:
        portion = AcceptThrottle(self.loop.now())
        while portion.try_accept(self.loop.now()) and self._accept_one(listen_socket):
            pass

    def _accept_one(self, listen_socket: ListenSocket) -> bool:
        """Whether one was accepted, so that there may be more."""
        if self._is_at_limit() and (accept_queue.queue_length(listen_socket.sock) or (1, 0))[0] == 0:
            return False  # guards against making room for nobody
        if not (self._can_accept() or self._may_accept_over_limit()):
            log_event(logger, logging.WARNING, "accept_paused", open_descriptors=self.budget.used)
            self._pause_accepting()
            return False
        try:
            sock, address = listen_socket.sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionError):
            return False
        except OSError as problem:
            # out of descriptors or memory: the same connection would wake the loop again at once
            log_event(
                logger, logging.WARNING, "accept_failed", text=problem, open_descriptors=self.budget.used
            )
            self.budget.reclaim_one()
            self._pause_accepting()
            return False
        self._admit(listen_socket, sock, "" if address[:2] in self.own_addresses else str(address[0]))
        return True

    def _pause_accepting(self) -> None:
        self.pause()
        # guards against a crowd that fills all places at once: those give way only once they have waited
        self.loop.call_after(ACCEPT_RETRY_MS, self.start)

    def _admit(self, listen_socket: ListenSocket, sock: socket.socket, peer: str) -> None:
        self.last_accepted_at = self.loop.now()
        link = listen_socket.make_connection(self, sock, listen_socket.make_stream)
        link.record = self.connection_table.add_connection(
            link, listen_socket.name, peer, self.last_accepted_at
        )
        self.connections[link] = None
        if len(self.connections) <= self.budget.downstream_limit():
            return
        if self.policy.should_reject_address(peer):
            link.close(CloseReason.ADDRESS_QUOTA)
        elif self.policy.has_address_over_quota():
            self.evict_one()

    # ------------------------------------------------------------------- connections without a request

    def record_request(self, connection: DownstreamConnection) -> None:
        """A request of a connection is taken up."""
        now = self.loop.now()
        self.connection_table.begin_request(connection.record, now)
        self.policy.record_request(connection.record, now)

    def forget(self, connection: DownstreamConnection, reason: CloseReason) -> None:
        """A connection closes."""
        self._paused_connections.pop(connection, None)
        if connection in self.connections:
            del self.connections[connection]
            self.connection_table.mark_closed(connection.record, reason, self.loop.now())
            self.policy.record_close(connection.record)

    def set_reading(self, connection: DownstreamConnection, enabled: bool) -> None:
        """Whether anything is read from a connection. While it is not, no selector tells that the client has
        left, and its request would be sent on for nobody.
        """
        if enabled:
            self._paused_connections.pop(connection, None)
        elif connection not in self._paused_connections:
            if not self._paused_connections:
                self.loop.call_after(CLOSED_PEER_CHECK_INTERVAL_MS, self._close_departed_clients)
            self._paused_connections[connection] = None

    def _close_departed_clients(self) -> None:
        for link in list(self._paused_connections):
            if link.stream.peer_has_closed():
                link.close_broken()
        if self._paused_connections:
            self.loop.call_after(CLOSED_PEER_CHECK_INTERVAL_MS, self._close_departed_clients)

    def _check_timeouts(self) -> None:
        self.loop.call_after(SWEEP_INTERVAL_MS, self._check_timeouts)
        now = self.loop.now()
        for link in list(self.connections):
            link.check_timeouts(now)

    def _evict_connections(self) -> None:
        """Close what has stood too long, or whose place is needed. By a timer: when all that clients may hold
        stands idle, nothing comes any more that could set it off.
        """
        self.loop.call_after(REVIEW_INTERVAL_MS, self._evict_connections)
        for conn, why in self.policy.review(self.loop.now()):
            self._close_idle(conn, why)
        for count, free in (
            (self.policy.excess_connections(), self.evict_one),
            (self.policy.excess_descriptors(), self.budget.reclaim_one),
        ):
            for _ in range(count):
                if not free():
                    break
        self._report_pressure()

    def evict_one(self, under_pressure: bool = True) -> bool:
        """Close a connection without an open request, the least useful one; False if there is none."""
        ways = self.policy.select_for_eviction(self.loop.now(), under_pressure)
        return any(self._close_idle(conn, why) for conn, why in ways)

    @staticmethod
    def _close_idle(record: ConnectionRecord, reason: CloseReason) -> bool:
        """Close a connection, unless something came on it that is unread: it is about to ask."""
        if record.state is ConnectionState.CLOSED:
            return False
        link = record.driver
        assert isinstance(link, DownstreamConnection)
        if record.state is not ConnectionState.LINGERING and not (
            link.has_no_work() if reason is CloseReason.STALLED_REQUEST else link.is_idle()
        ):
            return False
        link.close(reason)
        return True

    def close(self) -> None:
        """Accept no more. What the machine has accepted already is taken: guards against its reset. But what
        waits at a socket that another process holds too is that one's; only our copy is closed.
        """
        for door in self.listen_sockets[int(self.shares_inherited_socket) :]:
            while self.is_open and self._accept_one(door):
                pass
        self.pause()
        if self.is_open:
            self.is_open = False
            for door in self.listen_sockets:
                door.sock.close()

    # --------------------------------------------------------------------------------- what is reported

    def _report_pressure(self) -> None:
        """A line when a crowd begins, and one when it is over."""
        since = self.policy.pressure_since
        if since is not None and self._pressure_since is None:
            self._closed_counts_before = dict(self.connection_table.closed_by_reason)
            log_event(
                logger,
                logging.INFO,
                "connection_pressure_started",
                reason=self.policy.pressure_reason.name.lower(),
                **self._counts_by_kind(),
                **asdict(self.policy.pressure_snapshot(self.loop.now())),
            )
        elif since is None and self._pressure_since is not None:
            closed = {
                why: n - self._closed_counts_before.get(why, 0)
                for why, n in self.connection_table.closed_by_reason.items()
            }
            log_event(
                logger,
                logging.INFO,
                "connection_pressure_ended",
                duration_ms=self.loop.now() - self._pressure_since,
                **{f"closed_{why.name.lower()}": closed[why] for why in CloseReason if closed.get(why)},
            )
        self._pressure_since = since
        if self.policy.unclaimed_evictions > self._futile_evictions:
            self._futile_evictions = self.policy.unclaimed_evictions
            log_event(
                logger,
                logging.INFO,
                "evictions_unclaimed",
                count=self._futile_evictions,
                **self._counts_by_kind(),
            )

    def _counts_by_kind(self) -> dict[str, int]:
        """Return the open connections by kind, under their log field names."""
        counts = self.connection_table.counts_by_kind()
        return {CONNECTION_LOG_FIELDS.get(kind, kind): count for kind, count in counts.items()}

    def log_summary(self) -> None:
        """A line of counts by kind, and by who closed what and why."""
        closed = {
            f"closed_{why.name.lower()}": n for why, n in self.connection_table.closed_by_reason.items()
        }
        listeners = {f"listener_{name}": n for name, n in self.connection_table.open_by_listener.items()}
        uses = {f"descriptors_{use.name.lower()}": n for use, n in self.budget.used_by_purpose.items()}
        log_event(
            logger,
            logging.INFO,
            "connections",
            **self._counts_by_kind(),
            capacity=self.policy.capacity(),
            opened=self.connection_table.opened_total,
            requests=self.connection_table.request_total,
            addresses=len(self.connection_table.address_quota),
            **dict(sorted(closed.items())),
            **dict(sorted(listeners.items())),
            **uses,
        )
        self._log_queue_overflows()

    def _log_queue_overflows(self) -> None:
        """Say it if connections found the kernel's queue full: their clients wait a second or more."""
        overflows = accept_queue.overflows()
        before, self._overflow_count = self._overflow_count, overflows
        if not self.is_open or overflows is None or before is None or overflows <= before:
            return
        for door in self.listen_sockets:
            queued, most = accept_queue.queue_length(door.sock) or (0, 0)
            log_event(
                logger,
                logging.WARNING,
                "accept_queue_overflowed",
                listener=door.name,
                host_overflows=overflows - before,
                queue_length=queued,
                queue_limit=most,
            )


def listen(address: tuple[str, int], backlog: int) -> socket.socket:
    """A listening socket. The address may still be held by a predecessor that answers what it owes: guards
    against a restart that fails for that.
    """
    until = time.monotonic() + ADDRESS_IN_USE_WAIT_S
    while True:
        try:
            sock = socket.create_server(address, family=address_family(address), backlog=backlog)
            sock.setblocking(False)
            return sock
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or time.monotonic() >= until:
                raise
            time.sleep(0.05)


def _inherited_socket(descriptor: int, backlog: int) -> socket.socket:
    """A listening socket that the platform holds, and other processes too: nothing of it is changed but what
    they all want alike.
    """
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(f"descriptor {descriptor} is no listening socket")
    sock.setblocking(False)
    sock.listen(backlog)
    return sock
