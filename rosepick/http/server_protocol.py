"""Server side of HTTP/1.1: parses the requests of a client and encodes their responses."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import inf
from typing import NamedTuple

import httptools

from ..core.body_stream import BodyStream, BufferBudget
from ..core.request_budget import RequestBudget, RequestReservation
from ..core.request_context import RequestContext
from ..core.upload_clock import UploadClock
from ..settings.config import NameIndexes
from .received_request import LONG_HEAD_BYTES, MAX_HEAD_BYTES, ReceivedRequest
from .request_headers import time_to_deadline_ms, to_origin_form
from .request_messages import (
    BadRequestError,
    ParsedMessage,
    ReadinessProbe,
    RequestReceived,
    RequestRejected,
    RequestShed,
    discard_body,
)
from .response_encoding import ExtraHeaders, encode_head

MAX_BODY_BYTES = 36 * 1024 * 1024  # maximum length of a request body
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a longer body is streamed
MAX_PIPELINED_REQUESTS = 4  # limit of the requests that wait behind the current request

_READINESS_PATHS = (b"/ready", b"/health")


class CompletedUpload(NamedTuple):
    """Holds a request whose streamed body has been received completely."""

    request: RequestContext
    deadline: float  # milliseconds, on the clock of `ServerProtocol.feed`


class QueuedMessage(NamedTuple):
    """Holds a message that waits for the responses to earlier ones."""

    message: ParsedMessage
    keep_alive: bool  # whether the connection persists after it
    reservation: RequestReservation


class ServerProtocol:
    """Parses the requests of one client connection, which are answered one at a time and in order."""

    def __init__(
        self,
        get_names: Callable[[], NameIndexes],
        body_budget: BufferBudget | None = None,
        request_budget: RequestBudget | None = None,
    ) -> None:
        """Create the state of a new connection.

        Args:
            get_names: returns the current names of classes and tenants; called for each request.
            body_budget: buffer memory of streamed bodies; without it, bodies are limited to
                `MAX_BUFFERED_BODY_BYTES`.
            request_budget: memory of requests; without it, their number and size are not limited.
        """
        self._get_names = get_names
        self._body_budget = body_budget
        self.body_stream: BodyStream | None = None  # stream of the body that is being received
        self.upload_clock: UploadClock | None = None  # of that body
        self.body_rejection: RequestRejected | None = None  # response for a malformed streamed body
        self.body_bytes = 0  # received bytes of the current body
        self._streaming_request: RequestContext | None = None
        self._completed_requests: list[CompletedUpload] = []
        self._unframed_bytes = 0  # bytes received since the last end of a head or message, or part of a body
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._inbox: deque[QueuedMessage] = deque()
        self._request_budget = request_budget or RequestBudget(inf)
        self._received = ReceivedRequest(self._request_budget)
        self._current_reservation = self._received.reservation  # of the request that is due a response
        self._version = "1.1"  # HTTP version of the last request that was parsed
        self._keep_alive = True  # whether the connection persists after the current request
        self._streams_current_request = False  # `body_stream` belongs to the current request
        self._chunked = False  # the streamed response uses chunked encoding
        self._closes_after_response = False
        self._now = 0.0
        self._in_head = False
        self.begun_count = 0  # requests of which at least a part was received
        self.has_partial_request = False  # a request is received in part
        self.response_pending = False  # the current request has no response yet
        self.is_done = False  # no more requests are read or answered
        self.wants_continue = False

    def feed(self, data: bytes, now: float) -> None:
        """Parse received bytes; deadlines count from `now`, in milliseconds."""
        if self._parser is None:
            return
        self._now = now
        self._unframed_bytes += len(data)
        try:
            self._parser.feed_data(data)
            # The parser buffers incomplete fields. The limit guards against endless headers or trailers.
            if self.has_partial_request and self._unframed_bytes > MAX_HEAD_BYTES:
                raise BadRequestError(431, "headers too long")
            if self._in_head and self._unframed_bytes > LONG_HEAD_BYTES:
                self._received.reserve_long_head()
        except httptools.HttpParserCallbackError as error:
            self._reject(_bad_request(error))
        except httptools.HttpParserUpgrade:
            # The request that asks for an upgrade is complete and in the inbox, and is answered without one.
            # Bytes after it belong to another protocol and are not read.
            self._parser = None
            self._inbox.append(self._inbox.pop()._replace(keep_alive=False))
        except httptools.HttpParserError:
            self._reject(BadRequestError(400, "malformed request"))
        except BadRequestError as error:
            self._reject(error)

    def _reject(self, error: BadRequestError) -> None:
        """Reject the request being received; its end is unknown, so no bytes after it are read."""
        rejection = self._make_rejection(error)
        self._parser = None
        self.has_partial_request = False
        self._drop_received()
        body, self.body_stream = self.body_stream, None
        self._streaming_request = None
        if body is not None:
            body.abort()
            if self._streams_current_request:  # the current request gets the rejection
                self.body_rejection = rejection
                return
            self._inbox.pop().reservation.release()
            body.close()
        self._inbox.append(QueuedMessage(rejection, False, self._received.reservation))

    def _drop_received(self) -> None:
        """Drop the request being received, and what is reserved for it."""
        self._received.reservation.release()
        self._received = ReceivedRequest(self._request_budget)

    def _make_rejection(self, error: BadRequestError) -> RequestRejected:
        """Return the rejection; it counts for the request class that the headers name."""
        name = self._received.headers.get(b"req-kind", b"").decode("latin-1")
        return RequestRejected(error.status, str(error), self._get_names().classes.get(name))

    def next_message(self) -> ParsedMessage | None:
        """Return the next message, or None while a response is pending or there is no message."""
        if self.response_pending or self.is_done or not self._inbox:
            return None
        message, self._keep_alive, self._current_reservation = self._inbox.popleft()
        self.response_pending = True
        self._streams_current_request = self.body_stream is not None and not self._inbox
        return message

    def take_completed(self) -> list[CompletedUpload]:
        """Return the streamed uploads that became complete since the last call."""
        completed, self._completed_requests = self._completed_requests, []
        return completed

    def has_pipelined(self) -> bool:
        """Return whether further messages wait behind the current request."""
        return bool(self._inbox)

    def receives_head(self) -> bool:
        """Return whether the head of a request is incomplete."""
        return self.has_partial_request and self._in_head

    def receives_current_body(self) -> bool:
        """Return whether the streamed body of the current request is incomplete."""
        return self._streams_current_request and self.body_stream is not None

    def pipeline_is_full(self) -> bool:
        """Return whether `MAX_PIPELINED_REQUESTS` messages wait."""
        return len(self._inbox) >= MAX_PIPELINED_REQUESTS

    def is_idle(self) -> bool:
        """Return whether the connection is between requests."""
        return not (self.response_pending or self.has_partial_request or self._inbox)

    def reject_timeout(self) -> None:
        """Reject the request that is being received, because it exceeded its time limit."""
        self._reject(BadRequestError(408, "the request did not come whole"))

    def close(self) -> None:
        """Discard all requests and buffers after the connection was closed."""
        self._parser = None  # breaks the reference cycle with the parser
        self._drop_received()
        self._current_reservation.release()
        self.is_done = True
        self._discard_pending()

    def _discard_pending(self) -> None:
        """Discard the requests that are pipelined or being received."""
        for queued in self._inbox:
            queued.reservation.release()
            if isinstance(queued.message, RequestReceived):
                discard_body(queued.message.request)
        self._inbox.clear()
        if self.body_stream is not None:
            self.body_stream.abort()
            self.body_stream.close()
        self.body_stream = None
        self._streaming_request = None

    def encode_response_head(
        self, status: int, body: bytes, extra_headers: ExtraHeaders, closing: bool, last: bool = False
    ) -> bytes:
        """Return the head of the response to the current request; the caller writes the body after it.

        Sets `is_done` if the connection closes after this response. With `closing`, it closes unless
        pipelined requests wait; with `last`, it always closes.
        """
        self._finish_response(closing, last)
        return encode_head(status, self.is_done, ((b"Content-Length", b"%d" % len(body)), *extra_headers))

    def begin_streamed_response(
        self, length: int | None, extra_headers: ExtraHeaders, closing: bool
    ) -> bytes:
        """Return the head of a streamed 200 response; it has chunked encoding if `length` is None."""
        self._chunked = length is None and self._version != "1.0"
        if length is None and not self._chunked:
            self._keep_alive = False  # HTTP/1.0: the end of the connection marks the end of the body
        self._closes_after_response = not self._keep_alive or (
            closing and not self._inbox and not self.has_partial_request
        )
        framing: ExtraHeaders = ((b"Transfer-Encoding", b"chunked"),) if self._chunked else ()
        if length is not None:
            framing = ((b"Content-Length", b"%d" % length),)
        return encode_head(200, self._closes_after_response, framing + extra_headers)

    def encode_chunk(self, *parts: bytes) -> tuple[bytes, ...]:
        """Return parts of a streamed body, with the framing of a chunk if the response is chunked."""
        size = sum(map(len, parts))
        return (b"%x\r\n" % size, *parts, b"\r\n") if self._chunked and size else parts

    def finish_streamed_response(self, closing: bool = False) -> bytes:
        """Return the end of a streamed body; sets `is_done` if the head announced a close."""
        self._finish_response(closing or self._closes_after_response, self._closes_after_response)
        return b"0\r\n\r\n" if self._chunked else b""

    def ends_with_connection(self) -> bool:
        """Return whether the end of the connection marks the end of the streamed response."""
        return not self._chunked and not self._keep_alive and self._version == "1.0"

    def _finish_response(self, closing: bool, last: bool = False) -> None:
        """Record that the current request is answered, and whether the connection persists."""
        self.response_pending = False
        self._current_reservation.release()
        # The rest of an incomplete streamed request body is not read.
        last = last or self.receives_current_body()
        # Pipelined requests were accepted, so they are answered before the connection closes.
        self.is_done = (
            last or not self._keep_alive or (closing and not self._inbox and not self.has_partial_request)
        )
        if self.is_done:
            self._parser = None
            self._drop_received()
            self._discard_pending()

    # ----------------------------------------------------------------------------------- parser callbacks

    def on_message_begin(self) -> None:
        """Parser callback: a request begins."""
        self.begun_count += 1
        self.body_bytes = 0
        self._streams_current_request = False
        self.has_partial_request = True
        self._in_head = True
        self._received.begin(is_pipelined=self.response_pending or bool(self._inbox))

    def on_url(self, part: bytes) -> None:
        """Parser callback: a part of the request target."""
        self._received.add_target(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header of the head, or a trailer."""
        self._received.count_head_bytes(len(name) + len(value) + 4)
        if self._in_head:  # ignores trailers
            self._received.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the headers that frame the body (parser callback).

        Raises:
            BadRequestError: the body is too long, or its coding or the expectation is not supported.
        """
        self._in_head = False
        self._unframed_bytes = 0
        self._received.end_head()
        headers = self._received.headers
        if (self._received.body_length() or 0) > MAX_BODY_BYTES:
            raise BadRequestError(413, "body too long")
        if headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise BadRequestError(400, "a coding of the body that is not known here")
        expect = headers.get(b"expect", b"100-continue").lower()
        if expect != b"100-continue":
            raise BadRequestError(417, "an expectation that is not known here")
        self.wants_continue = b"expect" in headers

    def is_in_head(self) -> bool:
        """Return whether the head of the request being received is incomplete."""
        return self._in_head

    def on_body(self, part: bytes) -> None:
        """Buffer or stream a part of the body (parser callback).

        Raises:
            BadRequestError: the body is longer than the limit.
        """
        if self.is_done:
            return
        self.body_bytes += len(part)
        self._unframed_bytes = 0
        self.wants_continue = False  # the client sends without waiting for 100 Continue
        if self.body_bytes > (MAX_BODY_BYTES if self._body_budget is not None else MAX_BUFFERED_BODY_BYTES):
            raise BadRequestError(413, "body too long")
        if self.body_stream is not None:
            self.body_stream.write(part)
            return
        self._received.add_body(part)
        if len(self._received.body) > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming_body()

    def _start_streaming_body(self) -> None:
        """Queue the request before its body is complete, because the body is too long to be buffered.

        What is reserved for it covers the part of the body that is encoded for the upstream.
        """
        assert self._parser is not None
        assert self._body_budget is not None
        if not self._body_budget.has_free_stream():
            self._received.shed()
            return
        self.body_stream = BodyStream(self._body_budget, self._received.body_length(), notifies_reader=False)
        self.body_stream.write(self._received.take_body())
        self._version = self._parser.get_http_version()
        try:
            message = self._parse_request(self._parser.get_method())
        except BadRequestError:
            self.body_stream.close()
            self.body_stream = None
            raise
        if not isinstance(message, RequestReceived):
            raise BadRequestError(413, "body too long")
        self._streaming_request = message.request
        self.upload_clock = UploadClock(
            self._received.body_length(), time_to_deadline_ms(self._received.headers), self._now
        )
        self._queue(message)

    def on_message_complete(self) -> None:
        """Queue the complete request, or end its streamed body (parser callback)."""
        assert self._parser is not None
        self.has_partial_request = False
        self.wants_continue = False
        self._unframed_bytes = 0
        if self.body_stream is not None and self._streaming_request is not None:
            body = self.body_stream
            assert self.upload_clock is not None
            deadline = self.upload_clock.deadline(self._now)
            self._completed_requests.append(CompletedUpload(self._streaming_request, deadline))
            self.body_stream = None
            self.upload_clock = None
            self._streaming_request = None
            self._received = ReceivedRequest(self._request_budget)
            body.finish()
            return
        method = self._parser.get_method()
        self._version = self._parser.get_http_version()
        try:
            message = self._parse_shed(method) if self._received.is_shed else self._parse_request(method)
        except BadRequestError as error:
            message = self._make_rejection(error)
        self._queue(message)
        self._received = ReceivedRequest(self._request_budget)  # an idle connection holds no request

    def _queue(self, message: ParsedMessage) -> None:
        """Queue a message with what is reserved for it."""
        assert self._parser is not None
        keep_alive = self._parser.should_keep_alive()
        self._inbox.append(QueuedMessage(message, keep_alive, self._received.reservation))

    # ------------------------------------------------------------------------------------ request parsing

    def _parse_shed(self, method: bytes) -> ParsedMessage:
        """Return the message of a request for which no memory is left; its head is checked like any other."""
        message = self._parse_request(method)
        if not isinstance(message, RequestReceived):
            return message
        return RequestShed(message.request.class_index, message.request.deadline)

    def _parse_request(self, method: bytes) -> ParsedMessage:
        received = self._received
        received.target = to_origin_form(received.target)
        path = received.target.partition(b"?")[0]
        if path in _READINESS_PATHS:
            return ReadinessProbe()
        if method not in (b"GET", b"PUT"):
            raise BadRequestError(405, "only GET and PUT are known here")
        return RequestReceived(
            received.to_context(method, path, self._now, self._get_names(), self.body_stream)
        )


def _bad_request(error: httptools.HttpParserCallbackError) -> BadRequestError:
    """Return the reason for which a parser callback rejected a request.

    The exception of the callback itself is not kept: it refers to the frames of its callers, and through them
    to the connection and to the received data.
    """
    cause = error.__context__
    if isinstance(cause, BadRequestError):
        return BadRequestError(cause.status, str(cause))
    return BadRequestError(400, "malformed request")
