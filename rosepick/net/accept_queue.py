"""State of the kernel's accept queue, in which connections wait for accept(); Linux only."""

from __future__ import annotations

import contextlib
import socket
import struct
from itertools import pairwise
from pathlib import Path
from typing import NamedTuple

# struct tcp_info: eight bytes, then 32-bit counts. Of a listening socket the fifth (tcpi_unacked) is the
# length of its queue and the sixth (tcpi_sacked) the backlog; see tcp_get_info() in the kernel.
_TCP_INFO = struct.Struct("=8x4x4x4x4xII")
_NETSTAT = Path("/proc/net/netstat")


class QueueLength(NamedTuple):
    """The accept queue of one listening socket, in connections."""

    queued: int
    backlog: int


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

    The count is that of all listening sockets of this machine since its start.
    """
    with contextlib.suppress(OSError, ValueError):
        lines = [line.split() for line in path.read_text("ascii").splitlines()]
        for names, values in pairwise(lines):
            if names[0] == values[0] == "TcpExt:" and "ListenOverflows" in names:
                return int(values[names.index("ListenOverflows")])
    return None
