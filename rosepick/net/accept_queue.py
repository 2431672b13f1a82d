"""What the kernel tells of the queue in which connections wait until they are accepted; Linux only."""

from __future__ import annotations

import contextlib
import socket
import struct
from pathlib import Path

# struct tcp_info: eight bytes, then 32-bit counts. Of a listening socket the fifth is how many wait
# (tcpi_unacked) and the sixth how many may (tcpi_sacked); see tcp_get_info() in the kernel.
_TCP_INFO = struct.Struct("=8x4x4x4x4xII")
_NETSTAT = Path("/proc/net/netstat")


def queue_length(sock: socket.socket) -> tuple[int, int] | None:
    """How many connections wait at a listening socket, and how many may; None where the system does not
    tell.
    """
    option = getattr(socket, "TCP_INFO", None)
    if option is None:
        return None
    with contextlib.suppress(OSError, struct.error):
        queued, most = _TCP_INFO.unpack(sock.getsockopt(socket.IPPROTO_TCP, option, _TCP_INFO.size))
        return queued, most
    return None


def overflows(path: Path = _NETSTAT) -> int | None:
    """How often a connection found a full queue, at all listening sockets of this machine since its start;
    None where the system does not tell.
    """
    with contextlib.suppress(OSError, ValueError):
        lines = [line.split() for line in path.read_text("ascii").splitlines()]
        for names, values in zip(lines, lines[1:], strict=False):
            if names[0] == values[0] == "TcpExt:" and "ListenOverflows" in names:
                return int(values[names.index("ListenOverflows")])
    return None
