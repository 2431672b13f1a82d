"""HTTP server of the stand-ins of a scale run, on asyncio."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from ..live.request_reader import HttpRequest, RequestReader, encode_response

HttpHandler = Callable[["HttpConnection", HttpRequest], None]


class HttpConnection(asyncio.Protocol):
    """One connection of a client; calls the handler with each complete request."""

    def __init__(self, handler: HttpHandler) -> None:
        self._handler = handler
        self._reader = RequestReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, which responses are written to."""
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, _error: Exception | None) -> None:
        """Drop the transport; later responses are discarded."""
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Call the handler with each request that is complete."""
        for request in self._reader.feed(data):
            self._handler(self, request)

    def respond(self, status: int, body: bytes = b"") -> None:
        """Send a response, if the connection is still open."""
        if self._transport is not None:
            self._transport.write(encode_response(status, body))


async def serve(handler: HttpHandler, backlog: int = 4096) -> int:
    """Listen on a free port of the loopback interface and return the port."""
    server = await asyncio.get_running_loop().create_server(
        lambda: HttpConnection(handler), "127.0.0.1", 0, backlog=backlog
    )
    return int(server.sockets[0].getsockname()[1])
