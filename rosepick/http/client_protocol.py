"""Client side of HTTP/1.1: encodes the request of one attempt and parses its response."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NamedTuple

from ..core.body_stream import BodyStream
from ..decisions.api import Result
from .request_messages import ForwardedRequest
from .response import MalformedResponseError, Response, ResponseReader

MAX_BODY_BYTES = 36 * 1024 * 1024  # a response with a longer body counts as malformed
# Longer responses are streamed. If a buffered response breaks off, another attempt can still fetch it.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
UPLOAD_CHUNK_BYTES = 64 * 1024  # longest part of a streamed request body that is encoded at once
MAX_JOINED_BODY_BYTES = 4 * 1024  # a longer buffered body is written after the head, without a copy
_NOTHING = memoryview(b"")
_CACHE_STATUSES = {b"hit": 1, b"miss": 2, b"pending": 3}


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Holds the result of an attempt, and the response if one was received."""

    result: Result
    cache_status: int = 0
    response: Response | None = None
    reusable: bool = False
    malformed: bool = False  # the upstream sent a response that cannot be used


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """Holds the headers and body stream of a response that is forwarded while it is received."""

    headers: dict[bytes, bytes]
    body_stream: BodyStream


class ResponseHead(NamedTuple):
    """Holds the head of a response whose body is still being received."""

    headers: dict[bytes, bytes]
    body_length: int | None  # bytes; None if the head does not state it


class HttpExchange:
    """Encodes the request of one attempt and parses its response."""

    def __init__(self, request: ForwardedRequest, host: str, time_left_ms: float) -> None:
        self._request = request
        self._host = host
        self._body_stream = request.body_stream  # None after its last byte is encoded
        self._chunked = request.body_stream is not None and request.body_stream.content_length is None
        self._reader = ResponseReader(MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES)
        self.encode(time_left_ms)

    def encode(self, time_left_ms: float) -> None:
        """Encode the head with the time that remains until the deadline; nothing may be written yet."""
        head, body = _encode_head(self._request, self._host, time_left_ms), self._request.body
        is_joined = len(body) <= MAX_JOINED_BODY_BYTES
        self._unsent = memoryview(head + body if is_joined else head)
        self._unsent_body = _NOTHING if is_joined else memoryview(body)

    def close(self) -> None:
        """Drop all buffers; breaks the reference cycle with the parser of an incomplete response."""
        self._unsent = self._unsent_body = _NOTHING
        self._reader.close()

    def next_unsent(self) -> memoryview:
        """Return the next request bytes to write; encodes a further part of a streamed body if necessary."""
        if not self._unsent and self._unsent_body:
            self._unsent, self._unsent_body = self._unsent_body, _NOTHING
        if not self._unsent and self._body_stream is not None:
            self._encode_body(self._body_stream)
        return self._unsent

    def _encode_body(self, body_stream: BodyStream) -> None:
        parts = body_stream.read(UPLOAD_CHUNK_BYTES)
        if parts and self._chunked:
            parts = [b"%x\r\n" % sum(map(len, parts)), *parts, b"\r\n"]
        if body_stream.is_drained():
            self._body_stream = None
            parts += [b"0\r\n\r\n"] if self._chunked else []
        self._unsent = memoryview(b"".join(parts))

    def head_is_written(self) -> bool:
        """Return whether the head is written and a buffered body is to follow it at once."""
        return bool(not self._unsent and self._unsent_body)

    def is_sent(self) -> bool:
        """Return whether the request has been written completely."""
        return not (self._unsent or self._unsent_body) and self._body_stream is None

    def mark_written(self, count: int) -> None:
        """Record that `count` of the unsent bytes were written; the body is dropped with its last byte."""
        self._unsent = self._unsent[count:] or _NOTHING
        if self.is_sent():
            self._request = self._request.without_body()

    def feed(self, data: bytes) -> AttemptResult | None:
        """Parse received bytes; return the result once the response is complete or malformed."""
        try:
            response = self._reader.feed(data)
        except MalformedResponseError:
            return self.malformed_result()
        if self._reader.is_streaming and not self.is_sent():
            # The engine accepts a response stream only after the request has been written completely.
            return self.malformed_result()
        return None if response is None else self._make_result(response)

    def feed_eof(self) -> AttemptResult:
        """Return the result of an attempt whose upstream closed its side of the connection."""
        response = self._reader.feed_eof()
        return self.broken_result() if response is None else self._make_result(response)

    def broken_result(self) -> AttemptResult:
        """Return the result of an attempt whose connection broke.

        An upstream executes a request only after it received the last byte, so a request that was not
        written completely was never executed.
        """
        return AttemptResult(Result.RESET if self.is_sent() else Result.CONNECT_FAILED)

    def malformed_result(self) -> AttemptResult:
        """Return the result of an attempt whose response cannot be used."""
        return replace(self.broken_result(), malformed=self.is_sent())

    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes of an incomplete response."""
        return self._reader.buffered_bytes()

    def is_streaming(self) -> bool:
        """Return whether a response is being streamed; False until the request is written completely."""
        return self._reader.is_streaming and self.is_sent()

    def may_be_long(self) -> bool:
        """Return whether a response is arriving that may have to be streamed."""
        return self.is_sent() and self._reader.may_be_long()

    def start_streaming(self) -> None:
        """Stream the response that is arriving from now on; the caller has checked `may_be_long`."""
        self._reader.start_streaming()

    def response_head(self) -> ResponseHead:
        """Return the head of the response that is being received."""
        return ResponseHead(self._reader.headers(), self._reader.body_length())

    def cache_status(self) -> int:
        """Return the cache status of the response: 0 for none, 1 for hit, 2 for miss, 3 for pending."""
        return _CACHE_STATUSES.get(self._reader.headers().get(b"srv-cache", b"").strip().lower(), 0)

    def take_body(self) -> list[bytes]:
        """Return the parts of the body that were received since the last call."""
        return self._reader.take_body()

    def _make_result(self, response: Response) -> AttemptResult:
        cache_status = self.cache_status()
        result = _classify_response(response)
        if result is Result.ERROR and not self.is_sent():
            result = Result.CONNECT_FAILED  # an early response: the upstream never received the whole request
        return AttemptResult(result, cache_status, response, response.reusable and self.is_sent())


def _classify_response(response: Response) -> Result:
    if response.status == 200:
        return Result.OK
    if response.status == 404:
        return Result.MISS
    if response.status in (503, 504) and response.headers.get(b"srv-declined", b"").strip() == b"1":
        return Result.BUSY
    if response.status == 400:
        return Result.INVALID
    return Result.ERROR  # the request may have been executed


def _encode_head(request: ForwardedRequest, host: str, time_left_ms: float) -> bytes:
    lines = [
        request.method + b" " + request.target + b" HTTP/1.1",
        b"Host: " + host.encode(),
        b"Req-Id: " + request.req_id,
        # The deadline of a streamed request counts from its last body byte, so the header is forwarded as is.
        b"Req-Deadline: "
        + (request.deadline_header if request.body_stream else b"%.3f" % (max(0.0, time_left_ms) / 1000.0)),
    ]
    if request.idempotency_key is not None:
        lines.append(b"Idempotency-Key: " + request.idempotency_key)
    if request.content_type is not None:
        lines.append(b"Content-Type: " + request.content_type)
    if request.body_stream is not None and request.body_stream.content_length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif request.body_stream is not None and request.body_stream.content_length is not None:
        lines.append(b"Content-Length: %d" % request.body_stream.content_length)
    elif request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"
