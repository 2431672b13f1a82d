"""Non-blocking TCP connection on the event loop, with a buffer for unwritten data."""

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
# Errors of socket() or connect() with a temporary cause on this machine; they say nothing about the peer.
LOCAL_FAILURE_ERRNOS = frozenset(
    {
        *OUT_OF_DESCRIPTORS_ERRNOS,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
    }
)
_CLOSED_TCP_STATES = (7, 8)  # TCP_CLOSE and TCP_CLOSE_WAIT in the kernel
KERNEL_BUFFER_BYTES = 128 * 1024  # size of a limited kernel buffer
NO_PROGRESS_TIMEOUT_MS = 10_000.0  # maximum time in which a peer sends or reads no byte of a streamed body
LONG_BODY_BYTES = 1024 * 1024  # the kernel's buffers are limited for longer bodies


def _ignore_ready(_events: int) -> None:
    """Ignore socket events of a closed stream."""


class TcpStream:
    """One connected or connecting socket."""

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
        self.last_write_at = loop.now()  # milliseconds, on the loop's clock
        self._urgent = urgent
        self._loop = loop
        self._budget = budget
        self._use = use
        self._on_ready = on_ready
        self._events = events
        self._pending: deque[memoryview] = deque()
        budget.acquire(use)
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # the peer may already have closed
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.register(sock, events, on_ready, urgent)

    def finish_connect(self) -> None:
        """Check the result of a non-blocking connect.

        Raises:
            OSError: the connect failed.
        """
        error_number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise OSError(error_number, os.strerror(error_number))

    def is_connected(self) -> bool:
        """Return whether the connect has succeeded, even before the loop reports it."""
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def set_events(self, events: int) -> None:
        """Set the events to wait for; 0 for none."""
        if not self.is_open or events == self._events:
            return
        if not self._events:
            self._loop.register(self.sock, events, self._on_ready, self._urgent)
        elif not events:
            self._loop.unregister(self.sock, self._urgent)
        else:
            self._loop.modify(self.sock, events, self._on_ready, self._urgent)
        self._events = events

    def set_bulk(self, is_bulk: bool) -> None:
        """Set whether the loop serves the socket within the time for bulk only."""
        if self.is_open:
            self._loop.set_bulk(self.sock, is_bulk)

    def read(self, max_bytes: int = READ_CHUNK_BYTES) -> bytes | None:
        """Return received data; empty at the end of input, None if no data is available.

        Raises:
            OSError: the connection broke.
        """
        try:
            return self.sock.recv(max_bytes)
        except (BlockingIOError, InterruptedError):
            return None

    def may_have_more(self, received_bytes: int, max_bytes: int) -> bool:
        """Return whether more data may be left after `read(max_bytes)` returned so many bytes."""
        return received_bytes >= max_bytes

    def has_nothing_to_read(self) -> bool:
        """Return whether there is neither unread data nor an end of input or error."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def is_at_end(self) -> bool:
        """Return whether the peer has closed or reset the connection and all its data was read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed or reset the connection, even with unread data."""
        option = getattr(socket, "TCP_INFO", None)
        if option is None:
            return False
        with contextlib.suppress(OSError):
            return self.sock.getsockopt(socket.IPPROTO_TCP, option, 1)[0] in _CLOSED_TCP_STATES
        return True

    def has_partial_record(self) -> bool:
        """Return whether an incomplete TLS record was received; never over plain TCP."""
        return False

    def is_established(self) -> bool:
        """Return whether the TLS handshake is complete; always over plain TCP."""
        return True

    def write(self, data: bytes | memoryview) -> int:
        """Write without buffering; return the number of written bytes.

        Raises:
            OSError: the connection broke.
        """
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    def send(self, *parts: bytes) -> None:
        """Write as much as possible now, and buffer the rest without copying it."""
        for part in filter(None, parts):
            self._pending.append(memoryview(part))
            self._budget.buffered_bytes += len(part)
        self.flush()

    def flush(self) -> None:
        """Write buffered data."""
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
        """Return whether data is buffered."""
        return bool(self._pending)

    def limit_kernel_buffer(self, buffer_option: int) -> None:
        """Limit the kernel's buffer in one direction (SO_SNDBUF or SO_RCVBUF).

        Data in the kernel's buffers is not part of the memory budget and hides how slowly a peer reads or
        sends.
        """
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, buffer_option, KERNEL_BUFFER_BYTES)

    def reset_on_close(self) -> None:
        """Make `close` reset the connection."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def shutdown_write(self) -> None:
        """Close the sending direction of the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the socket and discard unwritten data."""
        if self.is_open:
            self.is_open = False
            if self._events:
                self._loop.unregister(self.sock, self._urgent)
            self._loop.forget(self.sock)
            self.sock.close()
            self._budget.buffered_bytes -= sum(map(len, self._pending))
            self._pending.clear()
            # Break the reference cycle with the owner.
            self._on_ready = _ignore_ready
            self._budget.release(self._use)


class OutboundConnection(ABC):
    """A connection that this process opens; it connects, and then writes and reads."""

    stream: TcpStream

    def __init__(self) -> None:
        self.is_connecting = True

    def on_ready(self, events: int) -> None:
        """Handle socket events."""
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
        """Run a step, and handle its exceptions."""

    @abstractmethod
    def _write(self) -> None:
        """Write pending data, if any."""

    @abstractmethod
    def _read(self) -> None:
        """Read and process received data."""


StreamFactory = Callable[[EventLoop, ResourceBudget, socket.socket, ReadyCallback], TcpStream]


def address_family(address: tuple[str, int]) -> socket.AddressFamily:
    """Return the address family of a host and port."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def dial(address: tuple[str, int], free_descriptor: Callable[[], bool] = lambda: False) -> socket.socket:
    """Start a non-blocking connect; the returned socket becomes writable once it is connected.

    Args:
        address: IP address and port.
        free_descriptor: called if no descriptor is left; closes one, and returns whether it closed one.

    Raises:
        OSError: the connect failed at once.
    """
    try:
        sock = socket.socket(address_family(address), socket.SOCK_STREAM)
    except OSError as error:
        if error.errno not in OUT_OF_DESCRIPTORS_ERRNOS or not free_descriptor():
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
