"""A minimal HTTP/1.1 server for the stand-ins of a scale run: requests without a body, on asyncio."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

END_OF_HEAD = b"\r\n\r\n"
HttpHandler = Callable[["HttpPeer", str, dict[str, str]], None]


class HttpPeer(asyncio.Protocol):
    """One connection; calls its handler with the target and the headers of each request."""

    def __init__(self, handler: HttpHandler) -> None:
        self._handler = handler
        self._received = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast("asyncio.Transport", transport)

    def connection_lost(self, _error: Exception | None) -> None:
        """Forget the transport."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Parse complete request heads."""
        self._received += data
        while END_OF_HEAD in self._received:
            head, _, self._received = self._received.partition(END_OF_HEAD)
            lines = head.decode("latin-1").split("\r\n")
            headers = {
                name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])
            }
            self._handler(self, lines[0].split(" ")[1], headers)

    def respond(self, status: str, body: bytes, extra: str = "") -> None:
        """Send a response, if the peer is still there."""
        if self.transport is not None:
            head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
            self.transport.write(head.encode() + body)


async def serve(handler: HttpHandler, backlog: int = 4096) -> int:
    """Listen on a free port of the loopback interface; return the port."""
    server = await asyncio.get_running_loop().create_server(
        lambda: HttpPeer(handler), "127.0.0.1", 0, backlog=backlog
    )
    return int(server.sockets[0].getsockname()[1])
