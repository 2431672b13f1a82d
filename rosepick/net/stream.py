"""A watched TCP connection with a buffer for what could not be written yet."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import struct
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from ..connections.descriptors import Use
from .budget import Budget
from .loop import READ, WRITE, Loop, Ready

CHUNK = 128 * 1024
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
_ENDED = (7, 8)  # TCP_CLOSE and TCP_CLOSE_WAIT, as the kernel numbers the states of a connection
KERNEL = 128 * 1024
NO_PROGRESS = 10_000.0  # milliseconds without a byte: who gives or reads a body in parts has stopped
LONG = 1024 * 1024  # bytes of a body beyond which the kernel is not left to hold as much of it as it likes


def _closed(mask: int) -> None:
    """Nobody is called for a stream that is closed."""


class Stream:
    """One connected or connecting socket, without blocking."""

    __slots__ = (
        "_budget",
        "_loop",
        "_mask",
        "_pending",
        "_ready",
        "_urgent",
        "_use",
        "moved",
        "open",
        "sock",
    )

    def __init__(
        self,
        loop: Loop,
        budget: Budget,
        sock: socket.socket,
        ready: Ready,
        mask: int = READ,
        use: Use = Use.DOORS,
        urgent: bool = False,
    ) -> None:
        self.sock = sock
        self.open = True
        self.moved = loop.now()  # when something was last written
        self._urgent = urgent
        self._loop, self._budget, self._use, self._ready, self._mask = loop, budget, use, ready, mask
        self._pending: deque[memoryview] = deque()
        budget.take(use)
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # a peer that has left already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.watch(sock, mask, ready, urgent)

    def connected(self) -> None:
        """A dial has come to its end. OSError if it failed."""
        problem = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if problem:
            raise OSError(problem, os.strerror(problem))

    def up(self) -> bool:
        """Whether a dial has come up, also where the loop has not said so yet."""
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def want(self, mask: int) -> None:
        """What to wait for, if anything."""
        if not self.open or mask == self._mask:
            return
        if not self._mask:
            self._loop.watch(self.sock, mask, self._ready, self._urgent)
        elif not mask:
            self._loop.unwatch(self.sock, self._urgent)
        else:
            self._loop.rewatch(self.sock, mask, self._ready, self._urgent)
        self._mask = mask

    def read(self, most: int = CHUNK) -> bytes | None:
        """What has come, so much at the most; empty at the end; None if there is nothing. OSError if it
        broke.
        """
        try:
            return self.sock.recv(most)
        except (BlockingIOError, InterruptedError):
            return None

    def quiet(self) -> bool:
        """Whether the other side has neither ended nor sent anything that is unread."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def ended(self) -> bool:
        """Whether the other side has ended or broken the connection, and all that it sent has been read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def left(self) -> bool:
        """Whether the other side has ended or broken the connection, whatever of it is still unread."""
        option = getattr(socket, "TCP_INFO", None)
        if option is None:
            return False
        with contextlib.suppress(OSError):
            return self.sock.getsockopt(socket.IPPROTO_TCP, option, 1)[0] in _ENDED
        return True

    def partial(self) -> bool:
        """Whether a part of something has come that is of no use without the rest."""
        return False

    def established(self) -> bool:
        """Whether anything can be sent yet."""
        return True

    def write(self, data: bytes | memoryview) -> int:
        """How much was written at once. OSError if it broke."""
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    def send(self, *parts: bytes) -> None:
        """Write now what can be, keep the rest for `flush`. Nothing is copied: answers can be large."""
        for part in filter(None, parts):
            self._pending.append(memoryview(part))
            self._budget.held += len(part)
        self.flush()

    def flush(self) -> None:
        """Go on with what was kept."""
        if not self._pending:
            return
        try:
            count = self.sock.sendmsg(self._pending)
        except (BlockingIOError, InterruptedError):
            return
        self._budget.held -= count
        self.moved = self._loop.now()
        while self._pending and count >= len(self._pending[0]):
            count -= len(self._pending.popleft())
        if count:
            self._pending[0] = self._pending[0][count:]

    def unwritten(self) -> bool:
        """Whether something is kept."""
        return bool(self._pending)

    def keep_small(self, direction: int) -> None:
        """Have the kernel hold little in that direction (SO_SNDBUF or SO_RCVBUF): what waits there is seen
        neither as memory nor as the progress of a slow peer.
        """
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, direction, KERNEL)

    def abort(self) -> None:
        """Have the close be a reset."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def end_sending(self) -> None:
        """Tell the other side that nothing more comes."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close it, whatever is in flight."""
        if self.open:
            self.open = False
            if self._mask:
                self._loop.unwatch(self.sock, self._urgent)
            self.sock.close()
            self._budget.held -= sum(map(len, self._pending))
            self._pending.clear()
            self._ready = _closed  # guards against a cycle with its owner, which only a collection would free
            self._budget.give(self._use)


class Dialed(ABC):
    """One connection of our own making: it comes up, and is then written and read."""

    stream: Stream

    def __init__(self) -> None:
        self.dialing = True

    def ready(self, mask: int) -> None:
        """The socket is ready."""
        if self.dialing:
            self._guarded(self._connected)
            return
        if mask & WRITE:
            self._guarded(self._write)
        if mask & READ and self.stream.open:
            self._guarded(self._read)

    def _connected(self) -> None:
        self.stream.connected()
        self.dialing = False
        self._write()

    @abstractmethod
    def _guarded(self, step: Callable[[], None]) -> None:
        """Take a step, and cope with what it raises."""

    @abstractmethod
    def _write(self) -> None:
        """Write what is to be written, if anything."""

    @abstractmethod
    def _read(self) -> None:
        """Read what has come."""


StreamMaker = Callable[[Loop, Budget, socket.socket, Ready], Stream]


def family(endpoint: tuple[str, int]) -> socket.AddressFamily:
    """Which kind of address it is."""
    return socket.AF_INET6 if ":" in endpoint[0] else socket.AF_INET


def dial(endpoint: tuple[str, int], free: Callable[[], bool] = lambda: False) -> socket.socket:
    """A socket that is connecting; it can be written once it is up. OSError if it failed at once. `free`: has
    another descriptor closed, where there is none for this one; says whether there was any to close.
    """
    try:
        sock = socket.socket(family(endpoint), socket.SOCK_STREAM)
    except OSError as problem:
        if problem.errno not in OUT_OF_DESCRIPTORS or not free():
            raise
        sock = socket.socket(family(endpoint), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.connect(endpoint)
    except (BlockingIOError, InterruptedError):
        pass
    except OSError:
        sock.close()
        raise
    return sock
