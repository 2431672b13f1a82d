"""The sender side: requests read from bytes into envelopes, final answers written as bytes."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import httptools

from ..core.body_stream import BodyStream, BufferBudget
from ..core.endpoint_directory import hash_key
from ..core.request_context import RequestContext
from ..settings.config import NameIndexes

MAX_BODY_BYTES = 36 * 1024 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a body up to this is handed over whole, a longer one as it comes
BODY_TIMEOUT_MS = 600_000.0  # milliseconds that a body may take to come
MAX_HEAD_BYTES = 16 * 1024
MAX_PIPELINED_REQUESTS = 4  # messages read ahead of the one that is being answered
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    499: b"Client Closed Request",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

# Of these a second one would be read one way here and another way elsewhere.
_SINGLE_VALUE_HEADERS = frozenset(
    {
        b"req-id",
        b"req-kind",
        b"req-owner",
        b"req-deadline",
        b"req-cost",
        b"req-retry",
        b"idempotency-key",
        b"content-length",
        b"transfer-encoding",
        b"host",
        b"expect",
    }
)
_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")  # not all that float() takes: 1_0, nan, 1e300


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """What of a request is passed on to a next hop unchanged."""

    method: bytes
    target: bytes
    body: bytes
    req_id: bytes
    idempotency_key: bytes | None
    content_type: bytes | None
    deadline_header: bytes = b""  # Req-Deadline as it came: not passed on, but kept for the record
    body_stream: BodyStream | None = None  # in place of the body: it is still coming


def discard_body(request: RequestContext) -> None:
    """What has come of its body is of no use."""
    assert isinstance(request.payload, ForwardedRequest)
    if request.payload.body_stream is not None:
        request.payload.body_stream.close()


def client_fields(payload: object) -> tuple[bytes, bytes, bytes]:
    """What the sender side wrote that an envelope does not hold: id, key and deadline."""
    assert isinstance(payload, ForwardedRequest)
    return payload.req_id, key_of_target(payload.target), payload.deadline_header


def key_of_target(target: bytes) -> bytes:
    """The key that a request's target names: the last part of its path."""
    return target.partition(b"?")[0].rpartition(b"/")[2]


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """An envelope has come in whole."""

    request: RequestContext


@dataclass(frozen=True, slots=True)
class ReadinessProbe:
    """The question whether the router serves."""


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """A request that cannot be taken, with the status that says so."""

    status: int
    reason: str
    class_index: int | None = None  # where it stated a class that is known


class ProtocolMessage:
    """What a machine of another front has read."""


ParsedMessage = RequestReceived | ReadinessProbe | RequestRejected | ProtocolMessage
ExtraHeaders = tuple[tuple[bytes, bytes], ...]  # further headers of an answer


class BadRequestError(Exception):
    """A request cannot be taken."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ServerProtocol:
    """One connection of the sender side: one request is answered at a time, in order."""

    def __init__(self, get_names: Callable[[], NameIndexes], body_budget: BufferBudget | None = None) -> None:
        """`get_names`: those in force, asked when a request is handed over. `body_budget`: for bodies that
        are handed over as they come; without it none is longer than WHOLE.
        """
        self._get_names, self._body_budget = get_names, body_budget
        self.body_stream: BodyStream | None = None  # of the body that is coming
        # a body that was coming came wrong: the answer to its request
        self.body_rejection: RequestRejected | None = None
        self.body_bytes = 0  # bytes of the present body
        self._streaming_request: RequestContext | None = None
        self._completed_requests: list[tuple[RequestContext, float]] = []
        self._unframed_bytes = 0  # bytes since a head or a message ended, or something of a body came
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._inbox: deque[tuple[ParsedMessage, bool]] = deque()
        self._version = "1.1"  # of the request read last
        self._keep_alive = True  # after the request that is being answered
        # the body that is coming is of the request that is being answered
        self._streams_current_request = False
        # the answer that comes in parts, and the connection after it
        self._chunked = self._closes_after_response = False
        self._now = 0.0
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._head_bytes = 0  # bytes of the head as parsed
        self._in_head = False
        self.has_partial_request = False  # a request has begun and is not whole
        self.response_pending = False  # a request waits for its answer
        self.is_done = False  # nothing more will be read or answered
        self.wants_continue = False

    def feed(self, data: bytes, now: float) -> None:
        """Take in bytes that came at that time; deadlines count from there."""
        if self._parser is None:
            return
        self._now = now
        self._unframed_bytes += len(data)
        try:
            self._parser.feed_data(data)
            # the parser holds back what is not whole: guards against a header or a trailer that never ends
            if self.has_partial_request and self._unframed_bytes > MAX_HEAD_BYTES:
                raise BadRequestError(431, "headers too long")
        except httptools.HttpParserCallbackError as problem:
            cause = problem.__context__
            if isinstance(cause, BadRequestError):
                self._reject(cause)
            else:
                self._reject(BadRequestError(400, "malformed request"))
        except httptools.HttpParserUpgrade:
            # The request itself is whole and in the inbox. Guards against a second answer to it; what follows
            # would be of another protocol.
            self._parser = None
            self._inbox.append((self._inbox.pop()[0], False))
        except httptools.HttpParserError:
            self._reject(BadRequestError(400, "malformed request"))
        except BadRequestError as problem:
            self._reject(problem)

    def _reject(self, problem: BadRequestError) -> None:
        """Refuse what came; where it ends is not known, so nothing after it is read."""
        self._parser = None
        self.has_partial_request = False
        flow, self.body_stream, self._streaming_request = self.body_stream, None, None
        if flow is not None:
            flow.abort()
            if self._streams_current_request:  # the answer is due to that request
                self.body_rejection = self._make_rejection(problem)
                return
            self._inbox.pop()
            flow.close()
        self._inbox.append((self._make_rejection(problem), False))

    def _make_rejection(self, problem: BadRequestError) -> RequestRejected:
        """The refusal, with the class that the request states: it is the request's final answer."""
        name = self._headers.get(b"req-kind", b"").decode("latin-1")
        return RequestRejected(problem.status, str(problem), self._get_names().classes.get(name))

    def next_message(self) -> ParsedMessage | None:
        """The next request to answer, unless one is being answered."""
        if self.response_pending or self.is_done or not self._inbox:
            return None
        received, self._keep_alive = self._inbox.popleft()
        self.response_pending = True
        self._streams_current_request = self.body_stream is not None and not self._inbox
        return received

    def take_completed(self) -> list[tuple[RequestContext, float]]:
        """Envelopes that were coming and are whole now, with their deadlines."""
        found, self._completed_requests = self._completed_requests, []
        return found

    def has_pipelined(self) -> bool:
        """Whether more came before the request in hand was answered."""
        return bool(self._inbox)

    def pipeline_is_full(self) -> bool:
        """Whether enough was read ahead."""
        return len(self._inbox) >= MAX_PIPELINED_REQUESTS

    def is_idle(self) -> bool:
        """Between requests."""
        return not (self.response_pending or self.has_partial_request or self._inbox)

    def reject_timeout(self) -> None:
        """The rest of a request did not come."""
        self._reject(BadRequestError(408, "the request did not come whole"))

    def close(self) -> None:
        """The connection is closed. The parser refers back to this machine: leave no cycle to collect."""
        self._parser, self.is_done = None, True
        self._discard_pending()

    def _discard_pending(self) -> None:
        """Nothing more is read, and nothing of what was sent ahead is taken up."""
        for received, _ in self._inbox:
            if isinstance(received, RequestReceived):
                discard_body(received.request)
        self._inbox.clear()
        if self.body_stream is not None:
            self.body_stream.abort()
            self.body_stream.close()
        self.body_stream = self._streaming_request = None

    def encode_response_head(
        self, status: int, body: bytes, extra_headers: ExtraHeaders, closing: bool, last: bool = False
    ) -> bytes:
        """The head of the answer to the request in hand; its body follows. `done` is set if the connection
        ends with it, as it does with the `last` one, whatever came behind.
        """
        self._finish_response(closing, last)
        return self._encode_head(
            status, self.is_done, ((b"Content-Length", b"%d" % len(body)), *extra_headers)
        )

    def begin_streamed_response(
        self, length: int | None, extra_headers: ExtraHeaders, closing: bool
    ) -> bytes:
        """The head of an answer whose body comes in parts."""
        self._chunked = length is None and self._version != "1.0"
        if length is None and not self._chunked:
            self._keep_alive = False  # without chunks, the connection's end is the answer's
        self._closes_after_response = not self._keep_alive or (
            closing and not self._inbox and not self.has_partial_request
        )
        framing: ExtraHeaders = ((b"Transfer-Encoding", b"chunked"),) if self._chunked else ()
        if length is not None:
            framing = ((b"Content-Length", b"%d" % length),)
        return self._encode_head(200, self._closes_after_response, framing + extra_headers)

    def encode_chunk(self, *parts: bytes) -> tuple[bytes, ...]:
        """Some of its body."""
        size = sum(map(len, parts))
        return (b"%x\r\n" % size, *parts, b"\r\n") if self._chunked and size else parts

    def finish_streamed_response(self, closing: bool = False) -> bytes:
        """Its end; the connection's too, if the head said so."""
        self._finish_response(closing or self._closes_after_response, self._closes_after_response)
        return b"0\r\n\r\n" if self._chunked else b""

    def ends_with_connection(self) -> bool:
        """Whether only the connection's end tells where the answer in hand ends."""
        return not self._chunked and not self._keep_alive and self._version == "1.0"

    def _finish_response(self, closing: bool, last: bool = False) -> None:
        """The request in hand has its answer."""
        self.response_pending = False
        last = last or (
            self._streams_current_request and self.body_stream is not None
        )  # the rest of its body is not read
        # what was sent ahead has been taken: it is answered before the connection may close
        self.is_done = (
            last or not self._keep_alive or (closing and not self._inbox and not self.has_partial_request)
        )
        if self.is_done:
            self._parser = None
            self._discard_pending()

    @staticmethod
    def _encode_head(status: int, closes: bool, extra_headers: ExtraHeaders) -> bytes:
        lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status])]
        lines += [name + b": " + value for name, value in extra_headers]
        if closes:
            lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # ------------------------------------------------------------------------------ the parser's calls

    def on_message_begin(self) -> None:
        self._target, self._headers, self._body = b"", {}, bytearray()
        self._head_bytes = self.body_bytes = 0
        self._streams_current_request = False
        self.has_partial_request = self._in_head = True

    def on_url(self, part: bytes) -> None:
        self._target += part
        self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head_bytes(len(name) + len(value) + 4)
        if not self._in_head:
            return  # a trailer: it may not say what the head did not
        low, value = name.lower(), value.strip(b" \t")  # the parser leaves blanks behind a value
        # guards against a request that is one thing here and another at a next hop or a proxy before us
        if self._headers.setdefault(low, value) is not value and low in _SINGLE_VALUE_HEADERS:
            raise BadRequestError(400, "a header that may come once came again")

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too long")

    def on_headers_complete(self) -> None:
        self._in_head, self._unframed_bytes = False, 0
        length = self._headers.get(b"content-length", b"0").strip()
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            raise BadRequestError(413, "body too long")
        if self._headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise BadRequestError(400, "a coding of the body that is not known here")
        expect = self._headers.get(b"expect", b"100-continue").lower()
        if expect != b"100-continue":
            raise BadRequestError(417, "an expectation that is not known here")
        self.wants_continue = b"expect" in self._headers

    def is_in_head(self) -> bool:
        """Whether what has begun to come is still in its head."""
        return self._in_head

    def on_body(self, part: bytes) -> None:
        if self.is_done:
            return
        self.body_bytes += len(part)
        self._unframed_bytes = 0
        self.wants_continue = False  # it did not wait
        if self.body_bytes > (MAX_BODY_BYTES if self._body_budget is not None else MAX_BUFFERED_BODY_BYTES):
            raise BadRequestError(413, "body too long")
        if self.body_stream is not None:
            self.body_stream.write(part)
            return
        self._body += part
        if len(self._body) > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming_body()

    def _start_streaming_body(self) -> None:
        """A body is too long to be held: its request goes on before it is whole."""
        assert self._parser is not None and self._body_budget is not None
        length = self._headers.get(b"content-length", b"").strip()
        self.body_stream = BodyStream(
            self._body_budget, int(length) if length.isdigit() else None, notifies_reader=False
        )
        self.body_stream.write(bytes(self._body))
        self._body = bytearray()
        self._version = self._parser.get_http_version()
        try:
            delivered = self._parse_request(self._parser.get_method())
        except BadRequestError:
            self.body_stream.close()
            self.body_stream = None
            raise
        if not isinstance(delivered, RequestReceived):
            raise BadRequestError(413, "body too long")
        self._streaming_request = delivered.request
        self._inbox.append((delivered, self._parser.should_keep_alive()))

    def on_message_complete(self) -> None:
        assert self._parser is not None
        self.has_partial_request = self.wants_continue = False
        self._unframed_bytes = 0
        if self.body_stream is not None and self._streaming_request is not None:
            self._completed_requests.append(
                (self._streaming_request, self._now + _time_to_deadline_ms(self._headers))
            )
            flow, self.body_stream, self._streaming_request = self.body_stream, None, None
            flow.finish()
            return
        method = self._parser.get_method()
        self._version = self._parser.get_http_version()
        try:
            received = self._parse_request(method)
        except BadRequestError as problem:
            received = self._make_rejection(problem)
        self._inbox.append((received, self._parser.should_keep_alive()))

    # --------------------------------------------------------------------------------- what they say

    def _parse_request(self, method: bytes) -> ParsedMessage:
        self._target = to_origin_form(self._target)
        path = self._target.partition(b"?")[0]
        if path in (b"/ready", b"/health"):
            return ReadinessProbe()
        if method not in (b"GET", b"PUT"):
            raise BadRequestError(405, "only GET and PUT are known here")
        headers, names = self._headers, self._get_names()
        cost = headers.get(b"req-cost")
        return RequestReceived(
            RequestContext(
                class_index=index_header(headers, b"req-kind", names.classes),
                tenant_index=index_header(headers, b"req-owner", names.tenants) if names.tenants else 0,
                deadline=self._now
                + (BODY_TIMEOUT_MS if self.body_stream is not None else _time_to_deadline_ms(headers)),
                is_partial=self.body_stream is not None,
                key=hash_key(key_of_target(path)),
                is_write=method == b"PUT",
                is_retry=headers.get(b"req-retry") == b"1",
                cost_hint=None if cost is None else 0.001 * number_header(headers, b"req-cost"),
                payload=ForwardedRequest(
                    method,
                    self._target,
                    bytes(self._body),
                    _request_id(headers),
                    headers.get(b"idempotency-key"),
                    headers.get(b"content-type"),
                    headers[b"req-deadline"],
                    self.body_stream,
                ),
            )
        )


def to_origin_form(target: bytes) -> bytes:
    """A request's target without scheme and authority, which every server must take."""
    if target[:7].lower() != b"http://":
        return target
    authority, slash, rest = target[7:].partition(b"/")
    return slash + rest if slash else b"/" + authority[len(authority.partition(b"?")[0]) :]


def _time_to_deadline_ms(headers: dict[bytes, bytes]) -> float:
    return 1000.0 * number_header(headers, b"req-deadline")


def text_header(headers: dict[bytes, bytes], name: bytes) -> bytes:
    """A header that must be there."""
    value = headers.get(name)
    if not value:
        raise BadRequestError(400, f"{name.decode()} is missing")
    return value


def _request_id(headers: dict[bytes, bytes]) -> bytes:
    value = text_header(headers, b"req-id")
    if not _REQUEST_ID.fullmatch(value):
        raise BadRequestError(400, "req-id is no plain text of at most 128 characters")
    return value


def index_header(headers: dict[bytes, bytes], name: bytes, indexes: Mapping[str, int]) -> int:
    """The place of the name that a header states."""
    place = indexes.get(text_header(headers, name).decode("latin-1"))
    if place is None:
        raise BadRequestError(400, f"{name.decode()} is not known here")
    return place


def number_header(headers: dict[bytes, bytes], name: bytes) -> float:
    """The number that a header states."""
    value = text_header(headers, name)
    if not _DECIMAL.fullmatch(value):
        raise BadRequestError(400, f"{name.decode()} is not a plain number of 0 or more")
    return float(value)
