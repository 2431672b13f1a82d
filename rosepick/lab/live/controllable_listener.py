"""A listening socket that can refuse or fall silent, and keeps its port all the while."""

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
    """A port that stays ours until this socket is closed. Nobody listens there, so connections are refused;
    another socket with SO_REUSEADDR may listen there meanwhile.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


class ControllableListener:
    """Where a stand-in takes connections: open; shut, where they are refused; mute, where none comes up."""

    def __init__(self, loop: EventLoop, on_accepted: Callable[[socket.socket], None]) -> None:
        self.state: ListenerState = "shut"
        self._loop, self._on_accepted = loop, on_accepted
        self._port_reservation = reserve_port()
        self.port = int(self._port_reservation.getsockname()[1])
        self._sock: socket.socket | None = None
        self._plug_socket: socket.socket | None = None
        self._plug_addresses: set[tuple[str, int]] = set()

    def set_state(self, state: ListenerState) -> None:
        """Be so from now on; connections that came up stay."""
        if state == self.state:
            return
        before, self.state = self.state, state
        if self._plug_socket is not None:
            self._plug_socket.close()
            self._plug_socket = None
        if state == "shut":
            self._stop_listening(before)
            return
        if self._sock is None:
            self._sock = socket.create_server((HOST, self.port), backlog=BACKLOG)
            self._sock.setblocking(False)
        if state == "open":
            self._sock.listen(BACKLOG)
            self._loop.register(self._sock, READ, self._on_ready)
        else:
            self._fill_backlog(self._sock, before)

    def _stop_listening(self, before: ListenerState) -> None:
        if self._sock is not None:
            if before == "open":
                self._loop.unregister(self._sock)
            self._sock.close()
            self._sock = None
            self._plug_addresses.clear()  # another's connection may come from that address later

    def _fill_backlog(self, sock: socket.socket, before: ListenerState) -> None:
        """Fill the kernel's queue by a connection of our own: further ones get no answer from it, as from a
        machine that hangs.
        """
        if before == "open":
            self._accept_all(sock)
            self._loop.unregister(sock)
        sock.listen(0)
        self._plug_socket = dial((HOST, self.port))
        self._plug_addresses.add(self._plug_socket.getsockname())

    def _on_ready(self, mask: int) -> None:
        if self._sock is not None:
            self._accept_all(self._sock)

    def _accept_all(self, sock: socket.socket) -> None:
        state = self.state
        with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
            while self.state == state:  # what comes may change it
                came, peer = sock.accept()
                if peer in self._plug_addresses:
                    self._plug_addresses.discard(peer)
                    came.close()
                else:
                    self._on_accepted(came)

    def close(self) -> None:
        """It is needed no more, nor is its port."""
        self.set_state("shut")
        self._port_reservation.close()
