"""Admin listener for operators, with descriptors and loop time that clients cannot exhaust."""

from __future__ import annotations

import logging
import socket
from collections import OrderedDict

from ..logs import log_event
from ..ops.line_protocol import AdminCommands, AdminProtocol
from .event_loop import READ, WRITE, EventLoop, ScheduledCall
from .listen_socket import listen
from .resource_budget import ResourceBudget
from .tcp_stream import TcpStream

logger = logging.getLogger(__name__)
MAX_CONNECTIONS = 12  # maximum number of open connections; another one closes the oldest
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 4  # its connections, the listening socket, the urgent selector
CONNECTION_TIMEOUT_MS = 5_000.0  # time for an operator to send a command and to read the reply
DESCRIPTOR_LIMIT = 1024  # limit of the listener's own budget; `MAX_CONNECTIONS` limits the connections
BACKLOG = 64  # length of the accept queue, in connections


class AdminConnection:
    """One connection of an operator."""

    def __init__(self, listener: AdminListener, sock: socket.socket) -> None:
        self.listener = listener
        self.protocol = AdminProtocol(listener.commands)
        self.timeout_timer: ScheduledCall = listener.loop.call_after(CONNECTION_TIMEOUT_MS, self.close)
        self.stream = TcpStream(listener.loop, listener.budget, sock, self._on_ready, urgent=True)

    def _on_ready(self, events: int) -> None:
        """Write and read as the socket allows; a socket error closes the connection."""
        try:
            if events & WRITE:
                self.stream.flush()
            if events & READ:
                self._read()
            self._update_events()
        except OSError:
            self.close()

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if self.protocol.is_done:
            if not data:
                self.close()
            return
        self.stream.send(self.protocol.feed(data) if data else self.protocol.feed_eof())

    def _update_events(self) -> None:
        if not self.stream.is_open:
            return
        if self.stream.has_unwritten():
            self.stream.set_events(WRITE)
        elif self.protocol.is_done:
            # Read until the operator closes: a close with unread data sends a reset, which can destroy the
            # reply.
            self.stream.shutdown_write()
            self.stream.set_events(READ)

    def close(self) -> None:
        """Close the connection, whether or not the command was answered."""
        self.timeout_timer.cancel()
        self.listener.connections.pop(self, None)
        self.stream.close()


class AdminListener:
    """Accepts the connections of operators."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], commands: AdminCommands) -> None:
        self.loop = loop
        self.commands = commands
        # Separate from the budget for clients, so that connection pressure does not block operators.
        self.budget = ResourceBudget(DESCRIPTOR_LIMIT)
        self.connections: OrderedDict[AdminConnection, None] = OrderedDict()
        self.connection_count = 0  # connections accepted since the start
        self.sock = listen(address, BACKLOG)
        loop.register(self.sock, READ, self._accept, urgent=True)
        host, port = self.sock.getsockname()[:2]
        log_event(logger, logging.INFO, "admin_serving", listen=f"{host}:{port}")

    def _accept(self, _events: int) -> None:
        for _ in range(MAX_CONNECTIONS):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            if len(self.connections) >= MAX_CONNECTIONS:
                next(iter(self.connections)).close()
            self.connection_count += 1
            self.connections[AdminConnection(self, sock)] = None

    def close(self) -> None:
        """Close the listening socket and all connections."""
        for connection in list(self.connections):
            connection.close()
        self.loop.unregister(self.sock, urgent=True)
        self.sock.close()
