"""Listener for clients: accepts connections, and evicts some of them to free capacity."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..connections.accept_throttle import AcceptThrottle
from ..connections.connection_table import CloseReason, ConnectionRecord, ConnectionState, ConnectionTable
from ..connections.descriptor_budget import DescriptorUse
from ..connections.opening_rate import REVIEW_INTERVAL_MS
from ..connections.policy import ConnectionPolicy
from ..core.engine import Engine
from ..core.request_ids import TABLE_BYTES, RequestIdTable
from ..logs import log_event
from ..settings.config import NameIndexes
from .accept_queue import AcceptQueueAge, queue_length
from .client_connection import ClientConnection, ConnectionHost
from .connection_report import ConnectionReport
from .downstream_connection import DownstreamConnection
from .event_loop import READ, EventLoop
from .late_refusal import MIN_LATE_MS, Lateness, refuse_if_late
from .listen_socket import bind, inherit_listen_socket
from .listener_config import ListenerConfig
from .resource_budget import ResourceBudget
from .tcp_stream import StreamFactory, TcpStream

logger = logging.getLogger(__name__)
ACCEPT_RETRY_MS = 50.0  # pause of accepting after a failed accept or while no descriptor is free
SWEEP_INTERVAL_MS = 250.0  # interval of the timeout checks
# Interval of the checks whether clients of paused connections have closed; 100 ms are allowed for the
# detection.
CLOSED_PEER_CHECK_INTERVAL_MS = 40.0
STALLED_READER_MS = 250.0  # time without a read after which a client may be closed for its unread responses
# Errors of accept(2) that concern a single pending connection; later ones can still be accepted.
PER_CONNECTION_ERRNOS = frozenset(
    {
        errno.EINTR,
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,
    }
)
MAX_ACCEPTS_AT_CLOSE = 4_096  # upper bound of accepts at the close, in case each of them fails
MAX_ACCEPTED_OVER_LIMIT = 8  # connections accepted beyond the limit to learn their addresses

ConnectionFactory = Callable[[ConnectionHost, socket.socket, StreamFactory], ClientConnection]


@dataclass(slots=True, eq=False)
class ListenSocket:
    """A listening socket with the factories for its connections."""

    name: str
    sock: socket.socket
    make_stream: StreamFactory
    make_connection: ConnectionFactory
    queue_age: AcceptQueueAge

    def accepts_plain_http(self) -> bool:
        """Return whether clients of this socket send ordinary HTTP requests without TLS."""
        return self.make_stream is TcpStream and self.make_connection is DownstreamConnection


class Listener:
    """Accepts client connections on one or more listening sockets."""

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
        request_ids: RequestIdTable | None = None,
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.engine = engine
        self.names = names
        self.config = config
        self.connection_table = ConnectionTable(loop.now())
        self.policy = ConnectionPolicy(
            self.connection_table, budget, config.limits, max_descriptors, loop.now()
        )
        self.connections: dict[ClientConnection, None] = {}
        self._paused_connections: dict[ClientConnection, None] = {}  # connections whose reading is paused
        # local addresses of connections of this router to itself
        self.own_addresses: set[tuple[str, int]] = set()
        self.open_request_ids: set[bytes] = set()
        self.request_ids = request_ids or RequestIdTable(bytearray(TABLE_BYTES))
        self.is_shutting_down = False
        self.is_shutdown_overdue = False
        self.rejected_count = 0
        self.last_accepted_at = loop.now()
        self.listen_sockets: list[ListenSocket] = []
        self.shares_inherited_socket = inherited_fd is not None
        if inherited_fd is None:
            self.add_listen_socket("http", address)
        else:
            sock = inherit_listen_socket(inherited_fd, config.backlog)
            self._register_listen_socket(
                ListenSocket("http", sock, TcpStream, DownstreamConnection, AcceptQueueAge(self.loop.now()))
            )
        self.is_accepting = False
        self.has_started = False
        self.is_open = True
        self._report = ConnectionReport(self.connection_table, self.policy, budget)
        loop.call_after(SWEEP_INTERVAL_MS, self._check_timeouts)
        loop.call_after(REVIEW_INTERVAL_MS, self._evict_connections)

    @property
    def sock(self) -> socket.socket:
        """The first listening socket, which serves HTTP."""
        return self.listen_sockets[0].sock

    @property
    def request_timeout_ms(self) -> float:
        """How long receiving a request head may take, in milliseconds."""
        return self.config.request_timeout_ms

    def add_listen_socket(
        self,
        name: str,
        address: tuple[str, int],
        make_stream: StreamFactory = TcpStream,
        make_connection: ConnectionFactory = DownstreamConnection,
    ) -> ListenSocket:
        """Add a socket that listens at another address once the listener starts."""
        return self._register_listen_socket(
            ListenSocket(name, bind(address), make_stream, make_connection, AcceptQueueAge(self.loop.now()))
        )

    def _register_listen_socket(self, listen_socket: ListenSocket) -> ListenSocket:
        self.listen_sockets.append(listen_socket)
        return listen_socket

    def apply(self, config: ListenerConfig, max_descriptors: int) -> None:
        """Apply a changed configuration and descriptor limit."""
        if config.backlog != self.config.backlog and self.is_open and self.has_started:
            for listen_socket in self.listen_sockets:
                listen_socket.sock.listen(config.backlog)
        self.config = config
        self.policy.apply_limits(config.limits, max_descriptors)
        self.resume_after_free()

    def start(self) -> None:
        """Start or resume accepting.

        The first call makes the sockets listen. Before it, connections are refused: otherwise the kernel
        would queue connections and their requests for a router that may not serve yet.

        Raises:
            OSError: another process listens at one of the addresses.
        """
        if self.is_open and not self.is_accepting:
            if not self.has_started:
                for listen_socket in self._own_sockets():
                    listen_socket.sock.listen(self.config.backlog)
            self.is_accepting = True
            self.has_started = True
            for listen_socket in self.listen_sockets:
                self.loop.register(listen_socket.sock, READ, partial(self._accept_batch, listen_socket))
                self.loop.repeat(listen_socket.sock)

    def is_serving(self) -> bool:
        """Return whether new clients are accepted."""
        return self.has_started and not self.is_shutting_down

    def pause(self) -> None:
        """Stop accepting; new connections wait in the accept queue."""
        if self.is_accepting:
            self.is_accepting = False
            for listen_socket in self.listen_sockets:
                self.loop.unregister(listen_socket.sock)

    def resume_after_free(self) -> None:
        """Resume accepting after a descriptor was freed, if the limits permit it."""
        if (
            self.has_started
            and not self.is_accepting
            and self.budget.used < self.budget.limit
            and len(self.connections) < self.policy.open_limit()
        ):
            self.start()

    # ---------------------------------------------------------------------------------------- accepting

    def _is_at_limit(self) -> bool:
        """Return whether client connections use their whole share of the descriptors."""
        return len(self.connections) >= self.budget.downstream_limit()

    def _can_accept(self) -> bool:
        """Return whether one more connection may be accepted; evict another one if necessary.

        The downstream limit keeps descriptors for upstream connections. Without it, connection pressure would
        close idle upstream connections, and each attempt would need a new one.
        """
        if self._is_at_limit():
            if self.policy.has_address_over_quota():
                return False  # only the address of the new connection, which is not known yet, can decide
            if not self.evict_one() and len(self.connections) >= self.policy.open_limit():
                return False
        return self.budget.ensure_available(DescriptorUse.DOWNSTREAM, self.policy.lent_slots())

    def _may_accept_over_limit(self) -> bool:
        """Return whether a connection may be accepted beyond the limit to learn its address."""
        excess = len(self.connections) - self.policy.open_limit()
        return 0 <= excess < MAX_ACCEPTED_OVER_LIMIT and self.budget.used < self.budget.limit

    def _accept_batch(self, listen_socket: ListenSocket, _events: int) -> None:
        throttle = AcceptThrottle(self.loop.now())
        listen_socket.queue_age.begin_batch(
            self.loop.now(), self.loop.events_since, queue_length(listen_socket.sock)
        )
        while throttle.try_accept(self.loop.now()) and self._accept_one(listen_socket):
            pass

    def _accept_one(self, listen_socket: ListenSocket) -> bool:
        """Accept one connection; return False if the queue is empty or accepting has paused."""
        asked_at = self.loop.now()
        if self._is_at_limit():
            queue = queue_length(listen_socket.sock)
            if queue is not None and queue.queued == 0:
                listen_socket.queue_age.record_empty(asked_at)
                return False  # do not evict a connection if no other one waits
        if not (self._can_accept() or self._may_accept_over_limit()):
            log_event(logger, logging.WARNING, "accept_paused", open_descriptors=self.budget.used)
            self._pause_accepting()
            return False
        try:
            sock, address = listen_socket.sock.accept()
        except BlockingIOError:
            listen_socket.queue_age.record_empty(asked_at)
            return False
        except OSError as error:
            if error.errno in PER_CONNECTION_ERRNOS:
                return True
            # Out of descriptors or memory: pause, because the socket stays ready and would wake the loop at
            # once.
            log_event(logger, logging.WARNING, "accept_failed", text=error, open_descriptors=self.budget.used)
            self.budget.reclaim_one()
            self._pause_accepting()
            return False
        peer = "" if address[:2] in self.own_addresses else str(address[0])
        accepted_since = listen_socket.queue_age.record_accept()
        if not self._refuse_if_late(listen_socket, sock, accepted_since):
            self._add_connection(listen_socket, sock, peer, accepted_since)
        return True

    def _refuse_if_late(
        self, listen_socket: ListenSocket, sock: socket.socket, accepted_since: float
    ) -> bool:
        """Refuse a request that waited too long in the accept queue; return whether it was refused."""
        late_ms = self.loop.now() - accepted_since
        if late_ms < MIN_LATE_MS or not listen_socket.accepts_plain_http():
            return False
        lateness = Lateness(late_ms, self.loop.now() - self.loop.idle_at)
        request = refuse_if_late(sock, lateness, self.names.classes, self.engine.retry_after_ms)
        if request is None:
            return False
        self.last_accepted_at = self.loop.now()
        self.engine.record_shed(request.class_index, late_ms, late_ms < request.deadline_ms)
        return True

    def reclaim_response_memory(self) -> None:
        """Close the clients that read nothing for longest, while unread responses exceed their memory."""
        stalled_since = self.loop.now() - STALLED_READER_MS
        while self.budget.buffered_bytes > self.budget.max_buffered_bytes:
            unread = (each for each in self.connections if each.stream.has_unwritten())
            slowest = min(unread, key=lambda each: each.stream.last_write_at, default=None)
            if slowest is None or slowest.stream.last_write_at > stalled_since:
                return
            slowest.close_slow()

    def _pause_accepting(self) -> None:
        self.pause()
        # A timer resumes accepting even if no descriptor is released. After a burst that fills all slots at
        # once, connections can be evicted only once they have reached a minimum age.
        self.loop.call_after(ACCEPT_RETRY_MS, self.start)

    def _add_connection(
        self, listen_socket: ListenSocket, sock: socket.socket, peer: str, accepted_since: float
    ) -> None:
        self.last_accepted_at = self.loop.now()
        connection = listen_socket.make_connection(self, sock, listen_socket.make_stream)
        connection.accepted_since = accepted_since
        connection.record = self.connection_table.add_connection(
            connection, listen_socket.name, peer, self.last_accepted_at
        )
        self.connections[connection] = None
        if len(self.connections) <= self.policy.open_limit():
            return
        if self.policy.should_reject_address(peer):
            connection.close(CloseReason.ADDRESS_QUOTA)
        elif self.policy.has_address_over_quota():
            self.evict_one()

    # ------------------------------------------------------------------- connections without a request

    def record_request(self, connection: ClientConnection) -> None:
        """Record that a connection has begun to serve a request."""
        now = self.loop.now()
        self.connection_table.begin_request(connection.record, now)
        self.policy.record_request(connection.record, now)

    def remove_connection(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Remove a connection that is being closed for `reason`."""
        self._paused_connections.pop(connection, None)
        if connection in self.connections:
            del self.connections[connection]
            self.connection_table.mark_closed(connection.record, reason, self.loop.now())
            self.policy.record_close(connection.record)

    def set_reading(self, connection: ClientConnection, enabled: bool) -> None:
        """Set whether the loop waits for data on a connection.

        While reading is paused, the selector does not report that the client has closed, and pipelined
        requests would be forwarded without a client. Therefore a timer checks paused connections.
        """
        if enabled:
            self._paused_connections.pop(connection, None)
        elif connection not in self._paused_connections:
            if not self._paused_connections:
                self.loop.call_after(CLOSED_PEER_CHECK_INTERVAL_MS, self._close_departed_clients)
            self._paused_connections[connection] = None

    def _close_departed_clients(self) -> None:
        for connection in list(self._paused_connections):
            if connection.stream.peer_has_closed():
                connection.close_broken()
        if self._paused_connections:
            self.loop.call_after(CLOSED_PEER_CHECK_INTERVAL_MS, self._close_departed_clients)

    def _check_timeouts(self) -> None:
        self.loop.call_after(SWEEP_INTERVAL_MS, self._check_timeouts)
        now = self.loop.now()
        for connection in list(self.connections):
            connection.check_timeouts(now)

    def _evict_connections(self) -> None:
        """Close connections that are idle for too long or whose slots are needed.

        This runs on a timer, because no event triggers it while all connections that clients may hold are
        idle.
        """
        self.loop.call_after(REVIEW_INTERVAL_MS, self._evict_connections)
        for record, reason in self.policy.review(self.loop.now()):
            self._close_idle(record, reason)
        for count, close_one in (
            (self.policy.excess_connections(), self.evict_one),
            (self.policy.excess_descriptors(), self.budget.reclaim_one),
        ):
            for _ in range(count):
                if not close_one():
                    break
        self._report.log_pressure(self.loop.now())

    def evict_one(self, under_pressure: bool = True) -> bool:
        """Close the least valuable connection without a request; return False if there is none."""
        candidates = self.policy.select_for_eviction(self.loop.now(), under_pressure)
        return any(self._close_idle(record, reason) for record, reason in candidates)

    @staticmethod
    def _close_idle(record: ConnectionRecord, reason: CloseReason) -> bool:
        """Close a connection unless unread data indicates a new request; return whether it was closed."""
        if record.state is ConnectionState.CLOSED:
            return False
        connection = record.owner
        assert isinstance(connection, ClientConnection)
        is_lingering = record.state is ConnectionState.LINGERING
        if not is_lingering and connection.close_denial(reason is CloseReason.STALLED_REQUEST) is not None:
            return False
        if reason is CloseReason.STALLED_REQUEST:
            connection.close_stalled()
        else:
            connection.close(reason)
        return True

    def close(self) -> None:
        """Stop listening.

        Connections in the accept queue are accepted first, because the close would reset them. An inherited
        socket is shared with other processes, which accept its queue; only this process's descriptor is
        closed.
        """
        for listen_socket in self._own_sockets() if self.has_started else ():
            for _ in range(MAX_ACCEPTS_AT_CLOSE):
                if not (self.is_open and self._accept_one(listen_socket)):
                    break
        self.pause()
        if self.is_open:
            self.is_open = False
            for listen_socket in self.listen_sockets:
                listen_socket.sock.close()

    def has_waiting_connections(self) -> bool:
        """Return whether connections wait in the accept queue of a socket that only this process has.

        Closing the socket would reset these connections and lose requests that their clients have already
        sent.
        """
        queues = [queue_length(entry.sock) for entry in self._own_sockets()]
        return (
            self.is_open and self.has_started and any(queue is not None and queue.queued for queue in queues)
        )

    def _own_sockets(self) -> list[ListenSocket]:
        return self.listen_sockets[int(self.shares_inherited_socket) :]

    def log_summary(self) -> None:
        """Log the connection counts and the overflows of the accept queues."""
        self._report.log_summary()
        sockets = self.listen_sockets if self.is_open else ()
        self._report.log_queue_overflows([(entry.name, entry.sock) for entry in sockets])
