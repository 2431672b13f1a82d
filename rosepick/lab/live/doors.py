"""A listening socket that can refuse or fall silent, and keeps its port all the while."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Literal

from ...net.loop import READ, Loop
from ...net.stream import dial

HOST = "127.0.0.1"
BACKLOG = 512
State = Literal["open", "shut", "mute"]


def hold() -> socket.socket:
    """A port that stays ours until this socket is closed. Nobody listens there, so connections are refused;
    another socket with SO_REUSEADDR may listen there meanwhile.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


class Door:
    """Where a stand-in takes connections: open; shut, where they are refused; mute, where none comes up."""

    def __init__(self, loop: Loop, accepted: Callable[[socket.socket], None]) -> None:
        self.state: State = "shut"
        self._loop, self._accepted = loop, accepted
        self._held = hold()
        self.port = int(self._held.getsockname()[1])
        self._sock: socket.socket | None = None
        self._plug: socket.socket | None = None
        self._plugs: set[tuple[str, int]] = set()

    def turn(self, state: State) -> None:
        """Be so from now on; connections that came up stay."""
        if state == self.state:
            return
        before, self.state = self.state, state
        if self._plug is not None:
            self._plug.close()
            self._plug = None
        if state == "shut":
            self._shut(before)
            return
        if self._sock is None:
            self._sock = socket.create_server((HOST, self.port), backlog=BACKLOG)
            self._sock.setblocking(False)
        if state == "open":
            self._sock.listen(BACKLOG)
            self._loop.watch(self._sock, READ, self._ready)
        else:
            self._mute(self._sock, before)

    def _shut(self, before: State) -> None:
        if self._sock is not None:
            if before == "open":
                self._loop.unwatch(self._sock)
            self._sock.close()
            self._sock = None
            self._plugs.clear()  # another's connection may come from that address later

    def _mute(self, sock: socket.socket, before: State) -> None:
        """Fill the kernel's queue by a connection of our own: further ones get no answer from it, as from a
        machine that hangs.
        """
        if before == "open":
            self._take(sock)
            self._loop.unwatch(sock)
        sock.listen(0)
        self._plug = dial((HOST, self.port))
        self._plugs.add(self._plug.getsockname())

    def _ready(self, mask: int) -> None:
        if self._sock is not None:
            self._take(self._sock)

    def _take(self, sock: socket.socket) -> None:
        state = self.state
        with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
            while self.state == state:  # what comes may change it
                came, peer = sock.accept()
                if peer in self._plugs:
                    self._plugs.discard(peer)
                    came.close()
                else:
                    self._accepted(came)

    def close(self) -> None:
        """It is needed no more, nor is its port."""
        self.turn("shut")
        self._held.close()
