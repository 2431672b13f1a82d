"""Proxies TCP on a link between two processes, splits the stream into messages and injects faults.

It can lose, duplicate, delay or reorder whole messages, send bytes slowly, refuse connections, silently drop
all messages of one or both directions, or leave connections half-open.
"""

from __future__ import annotations

import contextlib
import random
import socket
from collections import Counter, deque
from dataclasses import dataclass
from typing import NamedTuple

from ...consensus.codec import DecodeError, FrameDecoder
from ...net.event_loop import READ, WRITE, EventLoop
from ...net.resource_budget import ResourceBudget
from ...net.tcp_stream import TcpStream, dial

TRICKLE_INTERVAL_MS = 10.0  # between two writes on a link with a limited rate of bytes
UNLIMITED_BYTES = 1 << 30


@dataclass(slots=True)
class LinkFaults:
    """The faults of a link; each rate is the share of messages that the fault hits, from 0 to 1."""

    drops_requests: bool = False  # nothing reaches the server
    drops_replies: bool = False  # nothing reaches the client
    delay_ms: float = 0.0
    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    reordering_rate: float = 0.0
    max_reordering_delay_ms: float = 1000.0  # for reordered messages and duplicates
    bytes_per_second: float = 0.0  # 0 means no limit


class LinkEndpoints(NamedTuple):
    """The port that a forwarder listens on and the port that it connects to, both on one host."""

    host: str
    listen_port: int
    target_port: int


class ForwardedSocket:
    """Reads and writes messages on one socket of a forwarded connection."""

    def __init__(self, connection: ForwardedConnection, sock: socket.socket, connecting: bool) -> None:
        self.connection = connection
        self.connecting = connecting
        self.frames = FrameDecoder()
        self.outgoing: deque[bytes] = deque()
        self._is_send_scheduled = False
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
                self.stream.set_events(0)  # the peer must not learn that this side was closed
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
        """Queue a message, and send it after those queued before."""
        if not self.stream.is_open:
            return
        self.outgoing.append(frame)
        if not self._is_send_scheduled and not self.connecting:
            self._send_outgoing()

    def _send_outgoing(self) -> None:
        self._is_send_scheduled = False
        if not self.stream.is_open:
            return
        rate = self.connection.link.faults.bytes_per_second
        bytes_left = max(1, int(rate * TRICKLE_INTERVAL_MS / 1000.0)) if rate else UNLIMITED_BYTES
        try:
            while self.outgoing and bytes_left > 0:
                frame = self.outgoing.popleft()
                self.stream.send(frame[:bytes_left])
                if len(frame) > bytes_left:
                    self.outgoing.appendleft(frame[bytes_left:])
                bytes_left -= len(frame)
            self._update_interest()
        except OSError:
            self.connection.close()
            return
        if self.outgoing:
            self._is_send_scheduled = True
            self.connection.link.loop.call_after(TRICKLE_INTERVAL_MS, self._send_outgoing)


class ForwardedConnection:
    """Forwards messages between a socket to the client and a socket to the server."""

    def __init__(self, link: Forwarder, sock: socket.socket) -> None:
        self.link = link
        self.frozen = False  # left open, without forwarding anything
        self.client_side = ForwardedSocket(self, sock, connecting=False)
        self.server_side = ForwardedSocket(
            self, dial((link.endpoints.host, link.endpoints.target_port)), connecting=True
        )

    def forward(self, side: ForwardedSocket, frame: bytes) -> None:
        """Forward a message that one side received, subject to the faults of the link."""
        link = self.link
        faults = link.faults
        is_request = side is self.client_side
        other = self.server_side if is_request else self.client_side
        if self.frozen or (faults.drops_requests if is_request else faults.drops_replies):
            link.counts["cut"] += 1
            return
        if faults.loss_rate and link.rng.random() < faults.loss_rate:
            link.counts["lost"] += 1
            return
        delay_ms = faults.delay_ms
        if faults.reordering_rate and link.rng.random() < faults.reordering_rate:
            link.counts["out of order"] += 1
            delay_ms += link.rng.uniform(0.0, faults.max_reordering_delay_ms)
        self._send_after(other, frame, delay_ms)
        if faults.duplication_rate and link.rng.random() < faults.duplication_rate:
            link.counts["doubled"] += 1
            self._send_after(other, frame, delay_ms + link.rng.uniform(0.0, faults.max_reordering_delay_ms))

    def _send_after(self, other: ForwardedSocket, frame: bytes, delay_ms: float) -> None:
        if delay_ms:
            self.link.counts["delayed"] += 1
            self.link.loop.call_after(delay_ms, lambda: other.send(frame))
        else:
            other.send(frame)

    def close(self) -> None:
        """Close both sides, unless the connection is frozen."""
        if self.frozen:
            return
        for side in (self.client_side, self.server_side):
            side.stream.close()
        self.link.connections.pop(self, None)


class Forwarder:
    """Accepts the connections of one link; `counts` has the messages that each kind of fault has hit."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        endpoints: LinkEndpoints,
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.endpoints = endpoints
        self.rng = rng
        self.faults = LinkFaults()
        self.connections: dict[ForwardedConnection, None] = {}
        self.counts: Counter[str] = Counter()
        self._sock: socket.socket | None = None
        self.open()

    def open(self) -> None:
        """Listen for connections, at first and again after a call of `refuse`."""
        if self._sock is None:
            self._sock = socket.create_server((self.endpoints.host, self.endpoints.listen_port), backlog=64)
            self._sock.setblocking(False)
            self.loop.register(self._sock, READ, self._accept)

    def refuse(self) -> None:
        """Reset all connections, and refuse new ones until `open` is called."""
        if self._sock is not None:
            self.loop.unregister(self._sock)
            self._sock.close()
            self._sock = None
        for connection in list(self.connections):
            connection.client_side.stream.reset_on_close()
            connection.close()

    def freeze(self) -> None:
        """Leave all current connections open, and forward nothing on them."""
        for connection in self.connections:
            connection.frozen = True

    def _accept(self, _mask: int) -> None:
        assert self._sock is not None
        with contextlib.suppress(OSError):
            sock, _ = self._sock.accept()
            try:
                self.connections[ForwardedConnection(self, sock)] = None
            except OSError:
                sock.close()

    def close(self) -> None:
        """Close all sockets."""
        self.refuse()
        for connection in list(self.connections):
            connection.frozen = False
            connection.close()
