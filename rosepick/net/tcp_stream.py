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

from ..connections.descriptor_budget import DescriptorUse
from .event_loop import READ, WRITE, EventLoop, ReadyCallback
from .resource_budget import ResourceBudget

READ_CHUNK_BYTES = 128 * 1024
OUT_OF_DESCRIPTORS_ERRNOS = (errno.EMFILE, errno.ENFILE)
_CLOSED_TCP_STATES = (7, 8)  # TCP_CLOSE and TCP_CLOSE_WAIT, as the kernel numbers the states of a connection
KERNEL_BUFFER_BYTES = 128 * 1024
# milliseconds without a byte: who gives or reads a body in parts has stopped
NO_PROGRESS_TIMEOUT_MS = 10_000.0
LONG_BODY_BYTES = (
    1024 * 1024
)  # bytes of a body beyond which the kernel is not left to hold as much of it as it likes


def _ignore_ready(events: int) -> None:
    """Nobody is called for a stream that is closed."""


class TcpStream:
    """One connected or connecting socket, without blocking."""

    __slots__ = (
        "_budget",
        "_events",
        "_loop",
        "_on_ready",
        "_pending",
        "_urgent",
        "_use",
        "is_open",
        "last_write_at",
        "sock",
    )

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        sock: socket.socket,
        on_ready: ReadyCallback,
        events: int = READ,
        use: DescriptorUse = DescriptorUse.DOWNSTREAM,
        urgent: bool = False,
    ) -> None:
        self.sock = sock
        self.is_open = True
        self.last_write_at = loop.now()  # when something was last written
        self._urgent = urgent
        self._loop, self._budget, self._use, self._on_ready, self._events = (
            loop,
            budget,
            use,
            on_ready,
            events,
        )
        self._pending: deque[memoryview] = deque()
        budget.acquire(use)
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # a peer that has left already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.register(sock, events, on_ready, urgent)

    def finish_connect(self) -> None:
        """A dial has come to its end. OSError if it failed."""
        problem = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if problem:
            raise OSError(problem, os.strerror(problem))

    def is_connected(self) -> bool:
        """Whether a dial has come up, also where the loop has not said so yet."""
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def set_events(self, events: int) -> None:
        """What to wait for, if anything."""
        if not self.is_open or events == self._events:
            return
        if not self._events:
            self._loop.register(self.sock, events, self._on_ready, self._urgent)
        elif not events:
            self._loop.unregister(self.sock, self._urgent)
        else:
            self._loop.modify(self.sock, events, self._on_ready, self._urgent)
        self._events = events

    def read(self, max_bytes: int = READ_CHUNK_BYTES) -> bytes | None:
        """What has come, so much at the most; empty at the end; None if there is nothing. OSError if it
        broke.
        """
        try:
            return self.sock.recv(max_bytes)
        except (BlockingIOError, InterruptedError):
            return None

    def has_nothing_to_read(self) -> bool:
        """Whether the other side has neither ended nor sent anything that is unread."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def is_at_end(self) -> bool:
        """Whether the other side has ended or broken the connection, and all that it sent has been read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def peer_has_closed(self) -> bool:
        """Whether the other side has ended or broken the connection, whatever of it is still unread."""
        option = getattr(socket, "TCP_INFO", None)
        if option is None:
            return False
        with contextlib.suppress(OSError):
            return self.sock.getsockopt(socket.IPPROTO_TCP, option, 1)[0] in _CLOSED_TCP_STATES
        return True

    def has_partial_record(self) -> bool:
        """Whether a part of something has come that is of no use without the rest."""
        return False

    def is_established(self) -> bool:
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
            self._budget.buffered_bytes += len(part)
        self.flush()

    def flush(self) -> None:
        """Go on with what was kept."""
        if not self._pending:
            return
        try:
            count = self.sock.sendmsg(self._pending)
        except (BlockingIOError, InterruptedError):
            return
        self._budget.buffered_bytes -= count
        self.last_write_at = self._loop.now()
        while self._pending and count >= len(self._pending[0]):
            count -= len(self._pending.popleft())
        if count:
            self._pending[0] = self._pending[0][count:]

    def has_unwritten(self) -> bool:
        """Whether something is kept."""
        return bool(self._pending)

    def limit_kernel_buffer(self, buffer_option: int) -> None:
        """Have the kernel hold little in that direction (SO_SNDBUF or SO_RCVBUF): what waits there is seen
        neither as memory nor as the progress of a slow peer.
        """
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, buffer_option, KERNEL_BUFFER_BYTES)

    def reset_on_close(self) -> None:
        """Have the close be a reset."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def shutdown_write(self) -> None:
        """Tell the other side that nothing more comes."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close it, whatever is in flight."""
        if self.is_open:
            self.is_open = False
            if self._events:
                self._loop.unregister(self.sock, self._urgent)
            self.sock.close()
            self._budget.buffered_bytes -= sum(map(len, self._pending))
            self._pending.clear()
            # guards against a cycle with its owner, which only a collection would free
            self._on_ready = _ignore_ready
            self._budget.release(self._use)


class OutboundConnection(ABC):
    """One connection of our own making: it comes up, and is then written and read."""

    stream: TcpStream

    def __init__(self) -> None:
        self.is_connecting = True

    def on_ready(self, events: int) -> None:
        """The socket is ready."""
        if self.is_connecting:
            self._run_guarded(self._on_connected)
            return
        if events & WRITE:
            self._run_guarded(self._write)
        if events & READ and self.stream.is_open:
            self._run_guarded(self._read)

    def _on_connected(self) -> None:
        self.stream.finish_connect()
        self.is_connecting = False
        self._write()

    @abstractmethod
    def _run_guarded(self, step: Callable[[], None]) -> None:
        """Take a step, and cope with what it raises."""

    @abstractmethod
    def _write(self) -> None:
        """Write what is to be written, if anything."""

    @abstractmethod
    def _read(self) -> None:
        """Read what has come."""


StreamFactory = Callable[[EventLoop, ResourceBudget, socket.socket, ReadyCallback], TcpStream]


def address_family(address: tuple[str, int]) -> socket.AddressFamily:
    """Which kind of address it is."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def dial(address: tuple[str, int], free_descriptor: Callable[[], bool] = lambda: False) -> socket.socket:
    """A socket that is connecting; it can be written once it is up. OSError if it failed at once.
    `free_descriptor`: has another descriptor closed, where there is none for this one; says whether there was
    any to close.
    """
    try:
        sock = socket.socket(address_family(address), socket.SOCK_STREAM)
    except OSError as problem:
        if problem.errno not in OUT_OF_DESCRIPTORS_ERRNOS or not free_descriptor():
            raise
        sock = socket.socket(address_family(address), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.connect(address)
    except (BlockingIOError, InterruptedError):
        pass
    except OSError:
        sock.close()
        raise
    return sock
