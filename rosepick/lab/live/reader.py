"""Requests of routers to a stand-in, read from bytes; answers as bytes."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from ...http.sender_side import REASONS

BODY_LIMIT = 1024 * 1024
HEAD_LIMIT = 64 * 1024
Extra = tuple[tuple[bytes, bytes], ...]


class BadRequest(Exception):
    """The bytes are no request that can be taken."""


@dataclass(frozen=True, slots=True)
class Message:
    """A whole request; names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    keep: bool  # whether the connection can carry another one

    def text(self, name: bytes) -> str:
        """A header's value; empty if it is not there."""
        return self.headers.get(name, b"").decode("latin-1")


class RequestReader:
    """Reads one request after another."""

    def __init__(self) -> None:
        self.begun = False  # a request has begun and is not whole
        self._parser = httptools.HttpRequestParser(self)
        self._found: list[Message] = []
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._head = 0

    def feed(self, data: bytes) -> list[Message]:
        """Take in bytes; the requests that they made whole. Raises BadRequest."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            raise BadRequest(str(problem) or type(problem).__name__) from None
        found, self._found = self._found, []
        return found

    # ------------------------------------------------------------------------------ the parser's calls

    def on_message_begin(self) -> None:
        self._target, self._headers, self._body, self._head = b"", {}, bytearray(), 0
        self.begun = True

    def on_url(self, part: bytes) -> None:
        self._target += part
        self._grow(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.setdefault(name.lower(), value)
        self._grow(len(name) + len(value))

    def _grow(self, size: int) -> None:
        self._head += size
        if self._head > HEAD_LIMIT:
            raise BadRequest("headers too long")

    def on_body(self, part: bytes) -> None:
        self._body += part
        if len(self._body) > BODY_LIMIT:
            raise BadRequest("body too long")

    def on_message_complete(self) -> None:
        self.begun = False
        self._found.append(
            Message(
                self._parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )


def answer(status: int, body: bytes = b"", extra: Extra = ()) -> bytes:
    """A whole answer."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status]), b"Content-Length: %d" % len(body)]
    lines += [name + b": " + value for name, value in extra]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
