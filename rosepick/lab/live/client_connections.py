"""Pools the connections of clients to a router: reuses idle ones and opens new ones up to a limit."""

from __future__ import annotations

import contextlib
import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

from ...http.response import MalformedResponseError, Response, ResponseReader
from ...logs import log_exception
from ...net.event_loop import READ, WRITE, EventLoop
from ...net.resource_budget import ResourceBudget
from ...net.tcp_stream import OutboundConnection, TcpStream, dial
from .controllable_listener import HOST

logger = logging.getLogger(__name__)
MAX_CONNECTIONS = 128  # from all clients to one router
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class ConnectionWaiter(Protocol):
    """One try to send a client's request. It waits for a connection or uses one."""

    one_shot: bool  # whether the connection is not reused and stays open until the router closes it

    def on_connected(self, connection: ClientConnection) -> None:
        """Send the request on an open connection."""

    def on_refused(self) -> None:
        """Handle a refused connection."""

    def on_written(self) -> None:
        """Handle the write of the last byte of the request."""

    def on_answer(self, answer: Response, surplus: bool) -> None:
        """Handle a complete answer; `surplus` is whether unexpected bytes followed it."""

    def on_broken(self) -> None:
        """Handle the end of the connection before the answer was complete."""

    def may_resend(self) -> bool:
        """Return whether to send the try again if a reused connection ended without a byte of an answer."""

    def needs_connection(self) -> bool:
        """Return whether the try still waits for a connection."""


class ClientConnection(OutboundConnection):
    """A connection of a client to a router."""

    def __init__(self, pool: ClientConnectionPool, waiter: ConnectionWaiter) -> None:
        super().__init__()
        self.pool = pool
        self.waiter: ConnectionWaiter | None = waiter
        self._reader: ResponseReader | None = None
        self._is_writing = False  # whether part of the request is still to be written
        self._answer_started = False
        self.reused = False  # whether an earlier request used the connection
        self.stream = TcpStream(pool.loop, pool.budget, dial((HOST, pool.port)), self.on_ready, WRITE)

    def send(self, data: bytes) -> None:
        """Send a request.

        Raises:
            OSError: the connection broke.
        """
        self._reader = ResponseReader(MAX_ANSWER_BYTES)
        self._is_writing = True
        self._answer_started = False
        self.stream.send(data)
        self._write()

    def assign(self, waiter: ConnectionWaiter) -> None:
        """Use the connection for another try."""
        self.waiter = waiter
        self._run_guarded(lambda: waiter.on_connected(self))

    def _on_connected(self) -> None:
        try:
            self.stream.finish_connect()
        except OSError:
            waiter = self.waiter
            self.waiter = None
            self.close()
            if waiter is not None:
                waiter.on_refused()
            return
        self.is_connecting = False
        self.stream.set_events(READ)
        if self.waiter is None or not self.waiter.needs_connection():
            self.waiter = None
            self.pool.release(self)
        else:
            self.waiter.on_connected(self)

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError:
            self._on_broken()
        except Exception as error:
            self.pool.loop.fault_count += 1
            log_exception(logger, "client_fault", error)
            self._on_broken()

    def _write(self) -> None:
        self.stream.flush()
        unwritten = self.stream.has_unwritten()
        if self._is_writing and not unwritten and self.waiter is not None:
            self._is_writing = False
            self.waiter.on_written()
        self.stream.set_events(READ | (WRITE if unwritten else 0))

    def _read(self) -> None:
        """Read the answer; any data or end of input without a request in progress breaks the connection."""
        data = self.stream.read()
        if data is None:
            return
        if self._reader is None or self.waiter is None:
            if data:
                self.pool.on_unsolicited()
            self._on_broken()
            return
        self._answer_started = self._answer_started or bool(data)
        try:
            answer = self._reader.feed(data) if data else self._reader.feed_eof()
        except MalformedResponseError:
            self._on_broken()
            return
        if answer is not None:
            self._on_answer(answer)
        elif not data:
            self._on_broken()

    def _on_answer(self, answer: Response) -> None:
        waiter = self.waiter
        self.waiter = None
        self._reader = None
        self.reused = True
        assert waiter is not None
        closes = answer.headers.get(b"connection", b"").lower() == b"close"
        surplus = not answer.reusable and not closes
        if not answer.reusable:
            self.close()
        elif not waiter.one_shot:  # a one-shot connection stays open until the router closes it
            self.pool.release(self)
        waiter.on_answer(answer, surplus)

    def _on_broken(self) -> None:
        waiter = self.waiter
        self.waiter = None
        self.close()
        if waiter is None:
            return
        if self.reused and not self._answer_started and waiter.may_resend():
            self.pool.acquire_new(waiter)
        else:
            waiter.on_broken()

    def is_usable(self) -> bool:
        """Return whether the connection is open and nothing, not even its end, has arrived on it."""
        return self.stream.is_open and self.stream.has_nothing_to_read()

    def close(self) -> None:
        """Close the connection without notifying its try."""
        self.waiter = None
        if self.stream.is_open:
            self.stream.close()
            self.pool.on_closed(self)


class ClientConnectionPool:
    """Holds the connections of all clients to one router."""

    def __init__(
        self, loop: EventLoop, budget: ResourceBudget, port: int, on_unsolicited: Callable[[], None]
    ) -> None:
        """Create a pool that calls `on_unsolicited` when bytes arrive on a connection without a request."""
        self.loop = loop
        self.budget = budget
        self.port = port
        self.wait_count = 0  # number of tries that found all connections in use
        self.on_unsolicited = on_unsolicited
        self._connections: dict[ClientConnection, None] = {}
        self._idle: list[ClientConnection] = []  # ordered by last use, the most recent one last
        self._waiting: deque[ConnectionWaiter] = deque()

    def acquire(self, waiter: ConnectionWaiter) -> None:
        """Assign a connection to a try: an idle one, a new one, or the next one that is released."""
        while self._idle and not waiter.one_shot:
            connection = self._idle.pop()
            if connection.is_usable():
                connection.assign(waiter)
                return
            connection.close()
        if len(self._connections) < MAX_CONNECTIONS:
            self._open_connection(waiter)
        else:
            self.wait_count += 1
            self._waiting.append(waiter)

    def acquire_new(self, waiter: ConnectionWaiter) -> None:
        """Assign a new connection to a try, even if there are idle ones."""
        if len(self._connections) < MAX_CONNECTIONS:
            self._open_connection(waiter)
        else:
            self._waiting.append(waiter)

    def _open_connection(self, waiter: ConnectionWaiter) -> None:
        try:
            self._connections[ClientConnection(self, waiter)] = None
        except OSError:
            waiter.on_refused()

    def release(self, connection: ClientConnection) -> None:
        """Assign a released connection to the next waiting try, or keep it idle."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if waiter.needs_connection():
                connection.assign(waiter)
                return
        self._idle.append(connection)

    def on_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection, and open new ones for waiting tries."""
        self._connections.pop(connection, None)
        with contextlib.suppress(ValueError):
            self._idle.remove(connection)
        while self._waiting and len(self._connections) < MAX_CONNECTIONS:
            waiter = self._waiting.popleft()
            if waiter.needs_connection():
                self._open_connection(waiter)

    def close(self) -> None:
        """Close all connections."""
        self._waiting.clear()
        for connection in list(self._connections):
            connection.close()
