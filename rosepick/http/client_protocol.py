"""The next hop's side: one delivery attempt on a connection, as bytes out and an outcome back."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..core.body_stream import BodyStream
from ..decisions.api import Result
from .response import MalformedResponseError, Response, ResponseReader
from .server_protocol import ForwardedRequest

MAX_BODY_BYTES = 36 * 1024 * 1024  # of an answer; what is longer is taken for spoilt
MAX_BUFFERED_RESPONSE_BYTES = (
    64 * 1024
)  # an answer up to this is held until it is whole, so that another attempt is possible
_CACHE_STATUSES = {b"hit": 1, b"miss": 2, b"pending": 3}


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How a delivery attempt ended."""

    result: Result
    cache_status: int = 0
    response: Response | None = None
    reusable: bool = False
    malformed: bool = False  # an answer came that is of no use


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """A long answer has begun and is passed on from here as it comes."""

    headers: dict[bytes, bytes]
    body_stream: BodyStream


UPLOAD_CHUNK_BYTES = 64 * 1024  # of a body that is coming which is taken at once


class HttpExchange:
    """One delivery attempt: its request's bytes, and what comes back."""

    def __init__(self, request: ForwardedRequest, host: str, time_left_ms: float) -> None:
        self._unsent = memoryview(_encode_request(request, host, time_left_ms))
        self._body_stream = (
            request.body_stream
        )  # of a body that is coming, until its last byte has been taken
        self._chunked = request.body_stream is not None and request.body_stream.content_length is None
        self._reader = ResponseReader(MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES)

    def next_unsent(self) -> memoryview:
        """What can be written now."""
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

    def is_sent(self) -> bool:
        """Whether the request has been written whole."""
        return not self._unsent and self._body_stream is None

    def mark_written(self, count: int) -> None:
        """So many of the unsent bytes were written."""
        self._unsent = self._unsent[count:]

    def feed(self, data: bytes) -> AttemptResult | None:
        """Take in bytes of the answer; a verdict once there is one."""
        try:
            answer = self._reader.feed(data)
        except MalformedResponseError:
            return self.malformed_result()
        if self._reader.is_streaming and not self.is_sent():
            return (
                self.malformed_result()
            )  # a long answer before the request's end: there is nobody yet to pass it to
        return None if answer is None else self._make_result(answer)

    def feed_eof(self) -> AttemptResult:
        """The next hop has ended its sending."""
        answer = self._reader.feed_eof()
        return self.broken_result() if answer is None else self._make_result(answer)

    def broken_result(self) -> AttemptResult:
        """The connection cannot go on. A next hop starts on a request when its last byte is there, so what
        was not written whole has never run.
        """
        return AttemptResult(Result.RESET if self.is_sent() else Result.CONNECT_FAILED)

    def malformed_result(self) -> AttemptResult:
        """An answer came that is of no use."""
        return replace(self.broken_result(), malformed=self.is_sent())

    def buffered_bytes(self) -> int:
        """Bytes of an answer that is not whole."""
        return self._reader.buffered_bytes()

    def is_streaming(self) -> bool:
        """Whether an answer has begun that is given in parts; not before the request is there whole."""
        return self._reader.is_streaming and self.is_sent()

    def response_head(self) -> tuple[dict[bytes, bytes], int | None]:
        """Headers and length of the answer that has begun."""
        return self._reader.headers(), self._reader.body_length()

    def cache_status(self) -> int:
        """What it says of the read."""
        return _CACHE_STATUSES.get(self._reader.headers().get(b"srv-cache", b"").strip().lower(), 0)

    def take_body(self) -> list[bytes]:
        """What has come of it."""
        return self._reader.take_body()

    def _make_result(self, response: Response) -> AttemptResult:
        note, result = self.cache_status(), _classify_response(response)
        if result is Result.ERROR and not self.is_sent():
            result = Result.CONNECT_FAILED  # an early answer: it never had the whole request
        return AttemptResult(result, note, response, response.reusable and self.is_sent())


def _classify_response(response: Response) -> Result:
    if response.status == 200:
        return Result.OK
    if response.status == 404:
        return Result.MISS
    if response.status in (503, 504) and response.headers.get(b"srv-declined", b"").strip() == b"1":
        return Result.BUSY
    if response.status == 400:
        return Result.INVALID
    return Result.ERROR  # it may have run


def _encode_request(request: ForwardedRequest, host: str, time_left_ms: float) -> bytes:
    lines = [
        request.method + b" " + request.target + b" HTTP/1.1",
        b"Host: " + host.encode(),
        b"Req-Id: " + request.req_id,
        # of a body that is coming, the time counts from its last byte
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
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body
