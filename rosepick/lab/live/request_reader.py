"""Parses requests from routers and encodes responses to them."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from ...http.response_encoding import REASON_PHRASES

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
ResponseHeaders = tuple[tuple[bytes, bytes], ...]


class MalformedRequestError(Exception):
    """The received bytes are not a valid request."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # whether another request may follow on the connection

    def header_text(self, name: bytes) -> str:
        """Return the value of a header; empty if the request does not have it."""
        return self.headers.get(name, b"").decode("latin-1")


class RequestReader:
    """Parses the requests of one connection. The `on_` methods are callbacks of the parser."""

    def __init__(self) -> None:
        self.is_in_request = False  # whether a request has begun and is not complete
        self._parser = httptools.HttpRequestParser(self)
        self._complete: list[HttpRequest] = []
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._header_bytes = 0

    def feed(self, data: bytes) -> list[HttpRequest]:
        """Parse received bytes, and return the requests that they complete.

        Raises:
            MalformedRequestError: the bytes are not a valid request.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedRequestError(str(error) or type(error).__name__) from None
        complete = self._complete
        self._complete = []
        return complete

    # ------------------------------------------------------------------------------ callbacks of the parser

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._target = b""
        self._headers = {}
        self._body = bytearray()
        self._header_bytes = 0
        self.is_in_request = True

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        self._target += part
        self._count_header_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the first one of a name takes precedence."""
        self._headers.setdefault(name.lower(), value)
        self._count_header_bytes(len(name) + len(value))

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            raise MalformedRequestError("headers too long")

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        self._body += part
        if len(self._body) > MAX_BODY_BYTES:
            raise MalformedRequestError("body too long")

    def on_message_complete(self) -> None:
        """Add the complete request to the result of `feed`."""
        self.is_in_request = False
        self._complete.append(
            HttpRequest(
                self._parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )


def encode_response(status: int, body: bytes = b"", extra_headers: ResponseHeaders = ()) -> bytes:
    """Return the bytes of a complete response."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status]), b"Content-Length: %d" % len(body)]
    lines += [name + b": " + value for name, value in extra_headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
