"""State of the kernel's accept queue, which holds connections until accept(); Linux only."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections import deque
from itertools import pairwise
from pathlib import Path
from typing import NamedTuple

# struct tcp_info: eight bytes, then 32-bit counts. For a listening socket the fifth count (tcpi_unacked) is
# the queue length, and the sixth (tcpi_sacked) is the backlog; see tcp_get_info() in the kernel.
_TCP_INFO = struct.Struct("=8x4x4x4x4xII")
_NETSTAT = Path("/proc/net/netstat")


class QueueLength(NamedTuple):
    """Length and limit of one accept queue, in connections."""

    queued: int
    backlog: int


class AcceptQueueAge:
    """Computes an upper bound for how long accepted connections waited in an accept queue.

    The queue is first in, first out: a connection that is accepted after all connections that were queued at
    some time arrived after that time. Times are milliseconds.

    Args:
        now: the current time.
    """

    __slots__ = ("_accepted_total", "_is_empty", "_marks", "_since")

    def __init__(self, now: float) -> None:
        self._since = now  # time after which the next accepted connection arrived
        self._is_empty = True
        self._accepted_total = 0
        # Pairs of a time and the number of connections that had arrived until then, in order of time.
        self._marks: deque[tuple[float, int]] = deque()

    def begin_batch(self, now: float, ready_since: float, length: QueueLength | None) -> None:
        """Record the start of a batch of accepts.

        Args:
            now: the current time.
            ready_since: a time at which the queue was empty, provided that the previous batch emptied it.
            length: the current queue length; None if the system does not provide it.
        """
        if self._is_empty:
            self._since = max(self._since, ready_since)
        self._is_empty = False
        if length is None:
            return
        arrived_total = self._accepted_total + length.queued
        if self._marks and self._marks[-1][1] == arrived_total:
            self._marks.pop()
        self._marks.append((now, arrived_total))

    def record_accept(self) -> float:
        """Record an accept; return a lower bound for the time at which its client connected."""
        self._accepted_total += 1
        while self._marks and self._marks[0][1] < self._accepted_total:
            self._since = self._marks.popleft()[0]
        return self._since

    def record_empty(self, now: float) -> None:
        """Record that the queue was empty at `now`, so that all further connections arrive after it."""
        self._is_empty = True
        self._since = max(self._since, now)
        self._marks.clear()


def queue_length(sock: socket.socket) -> QueueLength | None:
    """Return the accept queue of a listening socket; None where the system does not provide it."""
    option = getattr(socket, "TCP_INFO", None)
    if option is None:
        return None
    with contextlib.suppress(OSError, struct.error):
        return QueueLength(*_TCP_INFO.unpack(sock.getsockopt(socket.IPPROTO_TCP, option, _TCP_INFO.size)))
    return None


def overflows(path: Path = _NETSTAT) -> int | None:
    """Return how many connections found a full accept queue; None where the system does not provide it.

    The count covers all listening sockets of this machine since its start.
    """
    with contextlib.suppress(OSError, ValueError):
        lines = [line.split() for line in path.read_text("ascii").splitlines()]
        for names, values in pairwise(lines):
            if names[0] == values[0] == "TcpExt:" and "ListenOverflows" in names:
                return int(values[names.index("ListenOverflows")])
    return None
