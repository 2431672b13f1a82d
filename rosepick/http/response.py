"""Parser of HTTP/1.1 responses."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_HEAD_BYTES = 32 * 1024  # limits the head with interim responses, and the framing between body data
# All other headers are dropped at once: each field that is kept costs far more memory than its bytes.
_KEPT_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"content-type",
        b"retry-after",
        b"srv-cache",
        b"srv-declined",
        b"transfer-encoding",
    }
)


class MalformedResponseError(Exception):
    """Signals that the received bytes are not a valid response."""


@dataclass(frozen=True, slots=True)
class Response:
    """Holds a complete response."""

    status: int
    headers: dict[bytes, bytes]  # those of `_KEPT_HEADERS`, in lower case; the first value of a repeated one
    body: bytes
    reusable: bool  # the connection can carry another request


class ResponseReader:
    """Parses one response; interim responses (1xx) are skipped.

    If `max_buffered_bytes` is set, a 200 response with a longer body is streamed: `is_streaming` becomes
    True, `take_body` returns the received parts, and the final `Response` has an empty body.
    """

    def __init__(self, max_body_bytes: int, max_buffered_bytes: int | None = None) -> None:
        self._max_body_bytes = max_body_bytes
        self._max_buffered_bytes = max_buffered_bytes
        self.is_streaming = False
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._parts: list[bytes] = []  # joined once at the end, as bodies can be large
        self._body_bytes = 0
        self._unframed_bytes = 0  # bytes received since the last body data
        self._headers_done = False
        self._has_surplus = False
        self._is_complete = False
        self._keep_alive = False

    def feed(self, data: bytes) -> Response | None:
        """Parse received bytes; return the response once it is complete.

        Raises:
            MalformedResponseError: the bytes are not a valid response, or follow a complete one.
        """
        if self._parser is None:
            raise MalformedResponseError("bytes after the response")
        before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._is_complete:
                raise MalformedResponseError(str(error) or type(error).__name__) from None
            self._has_surplus = True
        if self._is_complete:
            return self._make_response(self._keep_alive)
        # Guards against endless heads, interim responses and trailers, which would exhaust the memory.
        self._unframed_bytes = self._unframed_bytes + len(data) if self._body_bytes == before else 0
        if self._unframed_bytes > MAX_HEAD_BYTES:
            raise MalformedResponseError("headers too long")
        return None

    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes of a response that is not streamed, with its partial head."""
        if self.is_streaming:
            return 0
        return self._unframed_bytes + (self._body_bytes if self._parts else 0)

    def may_be_long(self) -> bool:
        """Return whether a 200 response is arriving whose body may exceed `max_buffered_bytes`."""
        if self._max_buffered_bytes is None or self._parser is None or not self._headers_done:
            return False
        length = self.body_length()
        is_short = length is not None and length <= self._max_buffered_bytes
        return self._parser.get_status_code() == 200 and not (is_short or self._is_complete)

    def start_streaming(self) -> None:
        """Stream the body from now on, whatever its length; the caller has checked `may_be_long`."""
        self.is_streaming = True

    def take_body(self) -> list[bytes]:
        """Return the parts of a streamed body that were received since the last call."""
        parts, self._parts = self._parts, []
        return parts

    def headers(self) -> dict[bytes, bytes]:
        """Return the received headers of `_KEPT_HEADERS`, by names in lower case."""
        return self._headers

    def body_length(self) -> int | None:
        """Return the length of the body in bytes, or None if the head does not state it."""
        length = self._headers.get(b"content-length", b"").strip()
        return int(length) if length.isdigit() else None

    def feed_eof(self) -> Response | None:
        """Return the response if the end of the connection marks the end of its body, else None."""
        framed = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        return (
            self._make_response(False)
            if self._headers_done and not self._is_complete and not framed
            else None
        )

    def _make_response(self, keep_alive: bool) -> Response:
        parser, self._parser = self._parser, None  # breaks the reference cycle with the parser
        assert parser is not None
        reusable = keep_alive and not self._has_surplus
        if self.is_streaming:
            return Response(parser.get_status_code(), self._headers, b"", reusable)
        body = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        return Response(parser.get_status_code(), self._headers, body, reusable)

    def close(self) -> None:
        """Drop what was received; breaks the reference cycle with the parser of an incomplete response."""
        self._parser = None
        self._parts = []

    # ----------------------------------------------------------------------------------- parser callbacks

    def on_message_begin(self) -> None:
        """Parser callback: a response begins."""
        self._has_surplus = self._is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header, or a trailer. Trailers are ignored, as they may be endless."""
        name = name.lower()
        if name in _KEPT_HEADERS and not self._is_complete and not self._headers_done:
            self._headers.setdefault(name, value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        if self._is_complete:
            return
        self._headers_done = True
        length = self._headers.get(b"content-length", b"0").strip()
        if length.isdigit() and int(length) > self._max_body_bytes:
            raise MalformedResponseError("body too long")  # rejects the body before any of it is read
        coding = self._headers.get(b"transfer-encoding", b"chunked").strip().lower()
        if coding != b"chunked":
            # Guards against forwarding an encoded body without its encoding.
            raise MalformedResponseError("unknown transfer coding")

    def on_body(self, data: bytes) -> None:
        """Parser callback: a part of the body."""
        if self._is_complete:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise MalformedResponseError("body too long")
        if self._max_buffered_bytes is None or self._parser is None:
            self._parts.append(data)
        elif self._parser.get_status_code() == 200:  # bodies of other statuses are not used
            self._parts.append(data)
            self.is_streaming = (
                self.is_streaming or max(self._body_bytes, self.body_length() or 0) > self._max_buffered_bytes
            )

    def on_message_complete(self) -> None:
        """Parser callback: the response or an interim response is complete."""
        if self._parser is not None and 100 <= self._parser.get_status_code() < 200:
            self._headers.clear()
            self._headers_done = False
            return
        # The parser returns False after this callback. Reading the flag here guards against a new connection
        # for each attempt.
        self._keep_alive = self._parser is not None and self._parser.should_keep_alive()
        self._is_complete = True
