"""Clients' connections to a router: kept and used again, more opened while all are busy, up to a limit."""

from __future__ import annotations

import contextlib
import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

from ...http.response import Answer, AnswerReader, BadAnswer
from ...logs import fault
from ...net.budget import Budget
from ...net.loop import READ, WRITE, Loop
from ...net.stream import Dialed, Stream, dial

log = logging.getLogger(__name__)
MOST = 128  # connections that the clients of one router may hold
ANSWER_LIMIT = 4 * 1024 * 1024


class Asking(Protocol):
    """What wants a connection: one try of a request."""

    one_shot: bool  # on a connection of its own, which is then held and not used

    def go(self, link: ClientLink) -> None:
        """The connection is there: send."""

    def refused(self) -> None:
        """Nobody listens."""

    def written(self) -> None:
        """The last byte was written."""

    def answered(self, answer: Answer, surplus: bool) -> None:
        """A whole answer came; `surplus`: and more than that."""

    def broke(self) -> None:
        """The connection ended without a whole answer."""

    def crossed(self) -> bool:
        """A kept connection ended with nothing of an answer. Whether the try is to be sent once more."""

    def wanted(self) -> bool:
        """Whether it still wants a connection."""


class ClientLink(Dialed):
    """One connection to a router."""

    def __init__(self, pool: Pool, asking: Asking) -> None:
        super().__init__()
        self.pool = pool
        self.asking: Asking | None = asking
        self._reader: AnswerReader | None = None
        self._unwritten = self._came = False  # the request, and anything of its answer
        self.used = False  # by a request before the present one
        self.stream = Stream(pool.loop, pool.budget, dial(("127.0.0.1", pool.port)), self.ready, WRITE)

    def send(self, data: bytes) -> None:
        """Send the request of who has this connection. OSError if it broke."""
        self._reader, self._unwritten, self._came = AnswerReader(ANSWER_LIMIT), True, False
        self.stream.send(data)
        self._write()

    def take(self, asking: Asking) -> None:
        """Another request comes on it."""
        self.asking = asking
        self._guarded(lambda: asking.go(self))

    def _connected(self) -> None:
        try:
            self.stream.connected()
        except OSError:
            asking, self.asking = self.asking, None
            self.close()
            if asking is not None:
                asking.refused()
            return
        self.dialing = False
        self.stream.want(READ)
        if self.asking is None or not self.asking.wanted():
            self.asking = None
            self.pool.free(self)
        else:
            self.asking.go(self)

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError:
            self._broke()
        except Exception as problem:
            self.pool.loop.faults += 1
            fault(log, "client_fault", problem)
            self._broke()

    def _write(self) -> None:
        self.stream.flush()
        unwritten = self.stream.unwritten()
        if self._unwritten and not unwritten and self.asking is not None:
            self._unwritten = False
            self.asking.written()
        self.stream.want(READ | (WRITE if unwritten else 0))

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if self._reader is None or self.asking is None:
            if data:
                self.pool.unasked()
            self._broke()
            return
        self._came = self._came or bool(data)
        try:
            answer = self._reader.feed(data) if data else self._reader.ended()
        except BadAnswer:
            self._broke()
            return
        if answer is not None:
            self._whole(answer)
        elif not data:
            self._broke()

    def _whole(self, answer: Answer) -> None:
        asking, self.asking, self._reader, self.used = self.asking, None, None, True
        assert asking is not None
        closes = answer.headers.get(b"connection", b"").lower() == b"close"
        surplus = not answer.reusable and not closes
        if not answer.reusable:
            self.close()
        elif not asking.one_shot:  # else it is held, until the router closes it
            self.pool.free(self)
        asking.answered(answer, surplus)

    def _broke(self) -> None:
        asking, self.asking = self.asking, None
        self.close()
        if asking is None:
            return
        if self.used and not self._came and asking.crossed():
            self.pool.ask_anew(asking)
        else:
            asking.broke()

    def quiet(self) -> bool:
        """Whether it is still good, as far as this side can know."""
        return self.stream.open and self.stream.quiet()

    def close(self) -> None:
        """Close it; who has it is not told."""
        self.asking = None
        if self.stream.open:
            self.stream.close()
            self.pool.closed(self)


class Pool:
    """All connections of clients to one router."""

    def __init__(self, loop: Loop, budget: Budget, port: int, unasked: Callable[[], None]) -> None:
        self.loop, self.budget, self.port = loop, budget, port
        self.waited = 0  # so many found all connections in use
        self.unasked = unasked  # bytes came that nobody asked for
        self._links: dict[ClientLink, None] = {}
        self._idle: list[ClientLink] = []  # the most recently used last
        self._waiting: deque[Asking] = deque()

    def ask(self, asking: Asking) -> None:
        """Have a connection for a try: a kept one, a new one, or the next that is free."""
        while self._idle and not asking.one_shot:
            link = self._idle.pop()
            if link.quiet():
                link.take(asking)
                return
            link.close()
        if len(self._links) < MOST:
            self._open(asking)
        else:
            self.waited += 1
            self._waiting.append(asking)

    def ask_anew(self, asking: Asking) -> None:
        """Have a new connection for a try, whatever is kept."""
        if len(self._links) < MOST:
            self._open(asking)
        else:
            self._waiting.append(asking)

    def _open(self, asking: Asking) -> None:
        try:
            self._links[ClientLink(self, asking)] = None
        except OSError:
            asking.refused()

    def free(self, link: ClientLink) -> None:
        """A connection is free: whoever waits has it next."""
        while self._waiting:
            asking = self._waiting.popleft()
            if asking.wanted():
                link.take(asking)
                return
        self._idle.append(link)

    def closed(self, link: ClientLink) -> None:
        """A connection is gone: there is room for another."""
        self._links.pop(link, None)
        with contextlib.suppress(ValueError):
            self._idle.remove(link)
        while self._waiting and len(self._links) < MOST:
            asking = self._waiting.popleft()
            if asking.wanted():
                self._open(asking)

    def close(self) -> None:
        """Close all."""
        self._waiting.clear()
        for link in list(self._links):
            link.close()
