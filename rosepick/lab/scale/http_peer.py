"""A server of the stand-ins' protocol for a scale run, on asyncio."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from ..live.request_reader import HttpRequest, RequestReader, encode_response

HttpHandler = Callable[["HttpPeer", HttpRequest], None]


class HttpPeer(asyncio.Protocol):
    """One connection; calls its handler with each request."""

    def __init__(self, handler: HttpHandler) -> None:
        self._handler = handler
        self._reader = RequestReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, _error: Exception | None) -> None:
        """Forget the transport."""
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Hand complete requests on."""
        for request in self._reader.feed(data):
            self._handler(self, request)

    def respond(self, status: int, body: bytes = b"") -> None:
        """Send a response, if the peer is still there."""
        if self._transport is not None:
            self._transport.write(encode_response(status, body))


async def serve(handler: HttpHandler, backlog: int = 4096) -> int:
    """Listen on a free port of the loopback interface; return the port."""
    server = await asyncio.get_running_loop().create_server(
        lambda: HttpPeer(handler), "127.0.0.1", 0, backlog=backlog
    )
    return int(server.sockets[0].getsockname()[1])
