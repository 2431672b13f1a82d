"""Clients' connections to a router: kept and used again, more opened while all are busy, up to a limit."""

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

logger = logging.getLogger(__name__)
MAX_CONNECTIONS = 128  # connections that the clients of one router may hold
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class ConnectionWaiter(Protocol):
    """What wants a connection: one try of a request."""

    one_shot: bool  # on a connection of its own, which is then held and not used

    def on_connected(self, link: ClientConnection) -> None:
        """The connection is there: send."""

    def on_refused(self) -> None:
        """Nobody listens."""

    def on_written(self) -> None:
        """The last byte was written."""

    def on_answer(self, answer: Response, surplus: bool) -> None:
        """A whole answer came; `surplus`: and more than that."""

    def on_broken(self) -> None:
        """The connection ended without a whole answer."""

    def may_resend(self) -> bool:
        """A kept connection ended with nothing of an answer. Whether the try is to be sent once more."""

    def needs_connection(self) -> bool:
        """Whether it still wants a connection."""


class ClientConnection(OutboundConnection):
    """One connection to a router."""

    def __init__(self, pool: ClientConnectionPool, waiter: ConnectionWaiter) -> None:
        super().__init__()
        self.pool = pool
        self.waiter: ConnectionWaiter | None = waiter
        self._reader: ResponseReader | None = None
        self._unwritten = self._answer_started = False  # the request, and anything of its answer
        self.reused = False  # by a request before the present one
        self.stream = TcpStream(pool.loop, pool.budget, dial(("127.0.0.1", pool.port)), self.on_ready, WRITE)

    def send(self, data: bytes) -> None:
        """Send the request of who has this connection. OSError if it broke."""
        self._reader, self._unwritten, self._answer_started = ResponseReader(MAX_ANSWER_BYTES), True, False
        self.stream.send(data)
        self._write()

    def assign(self, waiter: ConnectionWaiter) -> None:
        """Another request comes on it."""
        self.waiter = waiter
        self._run_guarded(lambda: waiter.on_connected(self))

    def _on_connected(self) -> None:
        try:
            self.stream.finish_connect()
        except OSError:
            asking, self.waiter = self.waiter, None
            self.close()
            if asking is not None:
                asking.on_refused()
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
        except Exception as problem:
            self.pool.loop.fault_count += 1
            log_exception(logger, "client_fault", problem)
            self._on_broken()

    def _write(self) -> None:
        self.stream.flush()
        unwritten = self.stream.has_unwritten()
        if self._unwritten and not unwritten and self.waiter is not None:
            self._unwritten = False
            self.waiter.on_written()
        self.stream.set_events(READ | (WRITE if unwritten else 0))

    def _read(self) -> None:
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
        asking, self.waiter, self._reader, self.reused = self.waiter, None, None, True
        assert asking is not None
        closes = answer.headers.get(b"connection", b"").lower() == b"close"
        surplus = not answer.reusable and not closes
        if not answer.reusable:
            self.close()
        elif not asking.one_shot:  # else it is held, until the router closes it
            self.pool.release(self)
        asking.on_answer(answer, surplus)

    def _on_broken(self) -> None:
        asking, self.waiter = self.waiter, None
        self.close()
        if asking is None:
            return
        if self.reused and not self._answer_started and asking.may_resend():
            self.pool.acquire_new(asking)
        else:
            asking.on_broken()

    def quiet(self) -> bool:
        """Whether it is still good, as far as this side can know."""
        return self.stream.is_open and self.stream.has_nothing_to_read()

    def close(self) -> None:
        """Close it; who has it is not told."""
        self.waiter = None
        if self.stream.is_open:
            self.stream.close()
            self.pool.on_closed(self)


class ClientConnectionPool:
    """All connections of clients to one router."""

    def __init__(
        self, loop: EventLoop, budget: ResourceBudget, port: int, on_unsolicited: Callable[[], None]
    ) -> None:
        self.loop, self.budget, self.port = loop, budget, port
        self.wait_count = 0  # so many found all connections in use
        self.on_unsolicited = on_unsolicited  # bytes came that nobody asked for
        self._connections: dict[ClientConnection, None] = {}
        self._idle: list[ClientConnection] = []  # the most recently used last
        self._waiting: deque[ConnectionWaiter] = deque()

    def acquire(self, waiter: ConnectionWaiter) -> None:
        """Have a connection for a try: a kept one, a new one, or the next that is free."""
        while self._idle and not waiter.one_shot:
            link = self._idle.pop()
            if link.quiet():
                link.assign(waiter)
                return
            link.close()
        if len(self._connections) < MAX_CONNECTIONS:
            self._open_connection(waiter)
        else:
            self.wait_count += 1
            self._waiting.append(waiter)

    def acquire_new(self, waiter: ConnectionWaiter) -> None:
        """Have a new connection for a try, whatever is kept."""
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
        """A connection is free: whoever waits has it next."""
        while self._waiting:
            asking = self._waiting.popleft()
            if asking.needs_connection():
                connection.assign(asking)
                return
        self._idle.append(connection)

    def on_closed(self, connection: ClientConnection) -> None:
        """A connection is gone: there is room for another."""
        self._connections.pop(connection, None)
        with contextlib.suppress(ValueError):
            self._idle.remove(connection)
        while self._waiting and len(self._connections) < MAX_CONNECTIONS:
            asking = self._waiting.popleft()
            if asking.needs_connection():
                self._open_connection(asking)

    def close(self) -> None:
        """Close all."""
        self._waiting.clear()
        for link in list(self._connections):
            link.close()
