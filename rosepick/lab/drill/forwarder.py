"""A forwarder of our own on a link between two processes: it takes messages apart and can do harm to each.

Whole messages are lost, doubled, held back or put out of order; bytes go slowly; a connection is refused, cut
silently in one or both directions, or left open on one side.
"""

from __future__ import annotations

import contextlib
import random
import socket
from collections import Counter, deque
from dataclasses import dataclass

from ...consensus.codec import DecodeError, FrameDecoder
from ...net.event_loop import READ, WRITE, EventLoop
from ...net.resource_budget import ResourceBudget
from ...net.tcp_stream import TcpStream, dial

TRICKLE_INTERVAL_MS = 10.0  # milliseconds between two slices where bytes go slowly


@dataclass(slots=True)
class LinkFaults:
    """What is done to the messages of a link. Times in milliseconds, parts from 0 to 1."""

    there: bool = False  # nothing gets there
    back: bool = False  # nothing comes back
    refuse: bool = False
    delay: float = 0.0
    lose: float = 0.0
    double: float = 0.0
    disorder: float = 0.0
    late: float = 1000.0  # a message out of order is held back for up to so long
    trickle: float = 0.0  # bytes a second; 0: as fast as they go


class ForwardedSocket:
    """One socket of a connection through the forwarder."""

    def __init__(self, connection: ForwardedConnection, sock: socket.socket, connecting: bool) -> None:
        self.connection, self.connecting = connection, connecting
        self.frames = FrameDecoder()
        self.outgoing: deque[bytes] = deque()
        self._draining = False
        link = connection.link
        self.stream = TcpStream(link.loop, link.budget, sock, self._on_ready, WRITE if connecting else READ)

    def _on_ready(self, mask: int) -> None:
        try:
            if self.connecting:
                self.stream.finish_connect()
                self.connecting = False
                self._send_outgoing()
                return
            if mask & WRITE:
                self.stream.flush()
            if mask & READ:
                self._read()
            self._update_interest()
        except (OSError, DecodeError):
            if self.connection.frozen:
                self.stream.set_events(0)  # its end is not told to the other side
            else:
                self.connection.close()

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if not data:
            raise OSError("closed")
        for frame in self.frames.feed(data):
            self.connection.forward(self, frame)

    def _update_interest(self) -> None:
        if self.stream.is_open:
            self.stream.set_events(READ | (WRITE if self.stream.has_unwritten() else 0))

    def send(self, frame: bytes) -> None:
        """Send a message on from here."""
        if not self.stream.is_open:
            return
        self.outgoing.append(frame)
        if not self._draining and not self.connecting:
            self._send_outgoing()

    def _send_outgoing(self) -> None:
        self._draining = False
        if not self.stream.is_open:
            return
        rate = self.connection.link.faults.trickle
        left = max(1, int(rate * TRICKLE_INTERVAL_MS / 1000.0)) if rate else 1 << 30
        try:
            while self.outgoing and left > 0:
                frame = self.outgoing.popleft()
                self.stream.send(frame[:left])
                if len(frame) > left:
                    self.outgoing.appendleft(frame[left:])
                left -= len(frame)
            self._update_interest()
        except OSError:
            self.connection.close()
            return
        if self.outgoing:
            self._draining = True
            self.connection.link.loop.call_after(TRICKLE_INTERVAL_MS, self._send_outgoing)


class ForwardedConnection:
    """A connection through the forwarder."""

    def __init__(self, link: Forwarder, sock: socket.socket) -> None:
        self.link = link
        self.frozen = False  # left open, and nothing goes through any more
        self.client_side = ForwardedSocket(self, sock, connecting=False)
        self.server_side = ForwardedSocket(self, dial((link.host, link.target_port)), connecting=True)

    def forward(self, side: ForwardedSocket, frame: bytes) -> None:
        """A message has come from one side."""
        link, harm = self.link, self.link.faults
        there = side is self.client_side
        other = self.server_side if there else self.client_side
        if self.frozen or (harm.there if there else harm.back):
            link.counts["cut"] += 1
            return
        if harm.lose and link.rng.random() < harm.lose:
            link.counts["lost"] += 1
            return
        delay = harm.delay
        if harm.disorder and link.rng.random() < harm.disorder:
            link.counts["out of order"] += 1
            delay += link.rng.uniform(0.0, harm.late)
        self._send_after(other, frame, delay)
        if harm.double and link.rng.random() < harm.double:
            link.counts["doubled"] += 1
            self._send_after(other, frame, delay + link.rng.uniform(0.0, harm.late))

    def _send_after(self, other: ForwardedSocket, frame: bytes, delay: float) -> None:
        if delay:
            self.link.counts["delayed"] += 1
            self.link.loop.call_after(delay, lambda: other.send(frame))
        else:
            other.send(frame)

    def close(self) -> None:
        """One side has ended: so does the other, unless it is left open."""
        if self.frozen:
            return
        for side in (self.client_side, self.server_side):
            side.stream.close()
        self.link.connections.pop(self, None)


class Forwarder:
    """One link: a port to listen on, and a port to go on to."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        host: str,
        listen: int,
        target_port: int,
        rng: random.Random,
    ) -> None:
        self.loop, self.budget, self.host, self.port, self.target_port, self.rng = (
            loop,
            budget,
            host,
            listen,
            target_port,
            rng,
        )
        self.faults = LinkFaults()
        self.connections: dict[ForwardedConnection, None] = {}
        self.counts: Counter[str] = Counter()
        self._sock: socket.socket | None = None
        self.open()

    def open(self) -> None:
        """Take connections."""
        if self._sock is None:
            self._sock = socket.create_server((self.host, self.port), backlog=64)
            self._sock.setblocking(False)
            self.loop.register(self._sock, READ, self._accept)

    def refuse(self) -> None:
        """Connections are refused from now on, and those there are break."""
        if self._sock is not None:
            self.loop.unregister(self._sock)
            self._sock.close()
            self._sock = None
        for pipe in list(self.connections):
            pipe.client_side.stream.reset_on_close()
            pipe.close()

    def freeze(self) -> None:
        """Connections that there are stay open, and carry nothing."""
        for pipe in self.connections:
            pipe.frozen = True

    def _accept(self, mask: int) -> None:
        assert self._sock is not None
        with contextlib.suppress(OSError):
            sock, _ = self._sock.accept()
            try:
                self.connections[ForwardedConnection(self, sock)] = None
            except OSError:
                sock.close()

    def close(self) -> None:
        """Let go of every socket."""
        self.refuse()
        for pipe in list(self.connections):
            pipe.frozen = False
            pipe.close()
