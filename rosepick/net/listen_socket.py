"""Listening sockets, opened by this process or inherited from the platform."""

from __future__ import annotations

import errno
import socket
import time

from .tcp_stream import address_family

ADDRESS_IN_USE_TIMEOUT_S = 5.0  # how long `bind` retries while the address is in use
ADDRESS_IN_USE_RETRY_S = 0.05  # pause between two attempts to bind


def listen(address: tuple[str, int], backlog: int) -> socket.socket:
    """Open a non-blocking listening socket, as `bind` does.

    Raises:
        OSError: the address cannot be used, or was in use for `ADDRESS_IN_USE_TIMEOUT_S`.
    """
    sock = bind(address)
    sock.listen(backlog)
    return sock


def bind(address: tuple[str, int]) -> socket.socket:
    """Bind a non-blocking socket to an address; the kernel refuses connections until it listens.

    The bind is retried while the address is in use, so that a restart succeeds although the predecessor still
    serves its last requests.

    Raises:
        OSError: the address cannot be used, or was in use for `ADDRESS_IN_USE_TIMEOUT_S`.
    """
    retry_until = time.monotonic() + ADDRESS_IN_USE_TIMEOUT_S
    while True:
        sock = socket.socket(address_family(address), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
        except OSError as error:
            sock.close()
            if error.errno != errno.EADDRINUSE or time.monotonic() >= retry_until:
                raise
        else:
            sock.setblocking(False)
            return sock
        time.sleep(ADDRESS_IN_USE_RETRY_S)


def inherit_listen_socket(descriptor: int, backlog: int) -> socket.socket:
    """Return a listening socket that the process shares with the platform and other processes.

    Only properties that all processes set to the same value are changed.

    Raises:
        OSError: the descriptor is not a listening socket.
    """
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(f"descriptor {descriptor} is no listening socket")
    sock.setblocking(False)
    sock.listen(backlog)
    return sock
