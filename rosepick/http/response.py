"""One answer of an HTTP/1.1 server, read from bytes."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_HEAD_BYTES = 32 * 1024  # of the head, of interim answers with it, and of what frames the body


class MalformedResponseError(Exception):
    """The bytes are no whole, acceptable answer."""


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer."""

    status: int
    headers: dict[bytes, bytes]  # names in lower case; of several, the first
    body: bytes
    reusable: bool  # whether the connection can carry another request


class ResponseReader:
    """Reads one answer; interim ones are passed over.

    With `whole`, a 200 whose body is longer than that is given in parts: `is_streaming` is set, `take_body`
    gives what has come, and the answer at its end has no body.
    """

    def __init__(self, max_body_bytes: int, max_buffered_bytes: int | None = None) -> None:
        self._max_body_bytes, self._max_buffered_bytes = max_body_bytes, max_buffered_bytes
        self.is_streaming = False
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._parts: list[bytes] = []  # joined once, at the end: answers can be large
        self._body_bytes = 0
        self._unframed_bytes = 0  # bytes since the last that were of the body
        self._headers_done = False
        self._has_surplus = False
        self._is_complete = False
        self._keep_alive = False

    def feed(self, data: bytes) -> Response | None:
        """Take in bytes; the answer once it is whole. Raises BadAnswer."""
        if self._parser is None:
            raise MalformedResponseError("bytes after the answer")
        before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            if not self._is_complete:
                raise MalformedResponseError(str(problem) or type(problem).__name__) from None
            self._has_surplus = True
        if self._is_complete:
            return self._make_response(self._keep_alive)
        # guards against heads, interim answers and trailers without end, which would fill the memory
        self._unframed_bytes = self._unframed_bytes + len(data) if self._body_bytes == before else 0
        if self._unframed_bytes > MAX_HEAD_BYTES:
            raise MalformedResponseError("headers too long")
        return None

    def buffered_bytes(self) -> int:
        """Bytes of the body that are held here."""
        return 0 if self.is_streaming or not self._parts else self._body_bytes

    def take_body(self) -> list[bytes]:
        """What has come of a body that is given in parts."""
        parts, self._parts = self._parts, []
        return parts

    def headers(self) -> dict[bytes, bytes]:
        """Of the answer that has begun."""
        return self._headers

    def body_length(self) -> int | None:
        """Of its body, where that is told."""
        told = self._headers.get(b"content-length", b"").strip()
        return int(told) if told.isdigit() else None

    def feed_eof(self) -> Response | None:
        """The other side has ended; the answer if its body was to reach up to here."""
        framed = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        return (
            self._make_response(False)
            if self._headers_done and not self._is_complete and not framed
            else None
        )

    def _make_response(self, keep_alive: bool) -> Response:
        parser, self._parser = self._parser, None  # it refers back to this reader: leave no cycle to collect
        assert parser is not None
        reusable = keep_alive and not self._has_surplus
        if self.is_streaming:
            return Response(parser.get_status_code(), self._headers, b"", reusable)
        body = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        return Response(parser.get_status_code(), self._headers, body, reusable)

    # ------------------------------------------------------------------------------ the parser's calls

    def on_message_begin(self) -> None:
        self._has_surplus = self._is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        # not trailers: they say nothing that counts here, and may be without end
        if not self._is_complete and not self._headers_done:
            self._headers.setdefault(name.lower(), value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        if self._is_complete:
            return
        self._headers_done = True
        length = self._headers.get(b"content-length", b"0").strip()
        if length.isdigit() and int(length) > self._max_body_bytes:
            raise MalformedResponseError("body too long")  # known at once: nothing of it need be read
        coding = self._headers.get(b"transfer-encoding", b"chunked").strip().lower()
        if coding != b"chunked":
            # guards against a body that is passed on as what it is not
            raise MalformedResponseError("a coding of the body that is not known")

    def on_body(self, data: bytes) -> None:
        if self._is_complete:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise MalformedResponseError("body too long")
        if self._max_buffered_bytes is None or self._parser is None:
            self._parts.append(data)
        elif self._parser.get_status_code() == 200:  # of others only the status counts
            self._parts.append(data)
            self.is_streaming = (
                self.is_streaming or max(self._body_bytes, self.body_length() or 0) > self._max_buffered_bytes
            )

    def on_message_complete(self) -> None:
        if self._parser is not None and 100 <= self._parser.get_status_code() < 200:
            self._headers.clear()
            self._headers_done = False
            return
        # Asked here and not later: the parser forgets the answer once it is through with it, and then says
        # no. Guards against a connection for each attempt.
        self._keep_alive = self._parser is not None and self._parser.should_keep_alive()
        self._is_complete = True
