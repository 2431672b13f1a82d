"""Implements a listener that can refuse connections or leave them pending without giving up its port."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Literal

from ...net.event_loop import READ, EventLoop
from ...net.tcp_stream import dial

HOST = "127.0.0.1"
BACKLOG = 512
ListenerState = Literal["open", "shut", "mute"]


def reserve_port() -> socket.socket:
    """Return a socket that reserves a port until the socket is closed.

    Connections to the port are refused, unless another socket with SO_REUSEADDR listens there.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


class ControllableListener:
    """Accepts connections (open), refuses them (shut) or leaves them pending (mute)."""

    def __init__(self, loop: EventLoop, on_accepted: Callable[[socket.socket], None]) -> None:
        self.state: ListenerState = "shut"
        self._loop = loop
        self._on_accepted = on_accepted
        self._port_reservation = reserve_port()
        self.port = int(self._port_reservation.getsockname()[1])
        self._sock: socket.socket | None = None
        self._plug_socket: socket.socket | None = None
        self._plug_addresses: set[tuple[str, int]] = set()

    def set_state(self, state: ListenerState) -> None:
        """Change the state; established connections are not affected."""
        if state == self.state:
            return
        previous = self.state
        self.state = state
        if self._plug_socket is not None:
            self._plug_socket.close()
            self._plug_socket = None
        if state == "shut":
            self._stop_listening(previous)
            return
        if self._sock is None:
            self._sock = socket.create_server((HOST, self.port), backlog=BACKLOG)
            self._sock.setblocking(False)
        if state == "open":
            self._sock.listen(BACKLOG)
            self._loop.register(self._sock, READ, self._on_ready)
        else:
            self._fill_backlog(self._sock, previous)

    def _stop_listening(self, previous: ListenerState) -> None:
        if self._sock is not None:
            if previous == "open":
                self._loop.unregister(self._sock)
            self._sock.close()
            self._sock = None
            self._plug_addresses.clear()  # a later connection may have the same address

    def _fill_backlog(self, sock: socket.socket, previous: ListenerState) -> None:
        """Fill the backlog with one connection, so that further ones stay pending as with a hung machine."""
        if previous == "open":
            self._accept_all(sock)
            self._loop.unregister(sock)
        sock.listen(0)
        self._plug_socket = dial((HOST, self.port))
        self._plug_addresses.add(self._plug_socket.getsockname())

    def _on_ready(self, _mask: int) -> None:
        if self._sock is not None:
            self._accept_all(self._sock)

    def _accept_all(self, sock: socket.socket) -> None:
        state = self.state
        with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
            while self.state == state:  # handling an accepted connection may change the state
                accepted, peer = sock.accept()
                if peer in self._plug_addresses:
                    self._plug_addresses.discard(peer)
                    accepted.close()
                else:
                    self._on_accepted(accepted)

    def close(self) -> None:
        """Stop listening and release the port."""
        self.set_state("shut")
        self._port_reservation.close()
