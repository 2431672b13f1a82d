"""Requests and responses on one client connection."""

from __future__ import annotations

import logging
import socket

from ..connections.connection_table import CloseReason
from ..core.body_stream import BodyStream
from ..core.request_context import RequestContext
from ..core.upload_clock import UploadClock
from ..http.client_protocol import StreamedResponse
from ..http.request_messages import (
    ForwardedRequest,
    ParsedMessage,
    ReadinessProbe,
    RequestReceived,
    RequestRejected,
    RequestShed,
    discard_body,
)
from ..http.response import Response
from ..http.response_encoding import ExtraHeaders
from ..logs import log_event, log_exception
from .client_connection import ClientConnection, ConnectionHost
from .event_loop import ScheduledCall
from .tcp_stream import LONG_BODY_BYTES, READ_CHUNK_BYTES, StreamFactory

logger = logging.getLogger(__name__)
CLOSE_REASON_BY_STATUS = {408: CloseReason.SLOW_CLIENT, 499: CloseReason.CLIENT_CLOSED}
# Maximum read outside of a body. Guards against a client whose many requests hold up all others.
HEAD_READ_BYTES = 4 * 1024
MIN_READ_BYTES = 4 * 1024  # smallest read while little memory is left for the requests in it
READS_PER_FREE_MEMORY = 32  # reads that together may bring as many bytes of requests as are free
WRITE_CHUNK_BYTES = 256 * 1024  # maximum part of a streamed body that is written at once
MAX_UNCHECKED_WAIT_MS = 40.0  # a request that has waited longer begins only if its client has not left
RESPONSE_GRACE_MS = 500.0  # time after the deadline until the client no longer waits for the response


class DownstreamConnection(ClientConnection):
    """Client connection with its requests; implements the port through which the engine answers them."""

    def __init__(self, listener: ConnectionHost, sock: socket.socket, make_stream: StreamFactory) -> None:
        self.request: RequestContext | None = None
        self.request_body: BodyStream | None = None  # streamed body of the current request
        self._limits_unread = False  # the system holds few unread responses of this connection
        self._upload_timer: ScheduledCall | None = None  # fails the current request while it is partial
        super().__init__(listener, sock, make_stream)

    def _read(self) -> None:
        max_bytes = self._max_read_bytes()
        data = self._read_data(max_bytes)
        now = self.listener.loop.now()
        if data is None or self._linger_timer is not None:
            if data == b"":
                self.close()
            return
        if not data:
            self._on_end_of_input()
            return
        self.record.mark_bytes_received(now)
        if self.protocol.upload_clock is not None and self._reading_since > self.last_received_at:
            self.protocol.upload_clock.record_pause()
        self.last_received_at = now
        self.received_since = self._received_since()
        self.protocol.feed(data, self.received_since)
        self._limit_unread_responses()
        if self.protocol.body_stream is not None:
            self._record_upload(self.protocol.body_stream, now)
        if self.stream.is_at_end() or (
            self.stream.may_have_more(len(data), max_bytes) and self.stream.peer_has_closed()
        ):
            # Handle this before a request is started, so that none is forwarded for a disconnected client.
            self._on_end_of_input()
        self._start_next_request()
        self._record_partial(now)
        for request, deadline in self.protocol.take_completed():
            self._complete_request(request, deadline)
        if self.request_body is not None:
            self.request_body.notify_reader()
        self._reject_broken_body()

    def _limit_unread_responses(self) -> None:
        """Limit the responses that wait in the system for a client that has sent several requests at once.

        Otherwise the router would serve dozens of requests whose responses nobody reads.
        """
        if self.protocol.has_pipelined() and not self._limits_unread:
            self._limits_unread = True
            self.stream.limit_kernel_buffer(socket.SO_SNDBUF)

    def _record_partial(self, now: float) -> None:
        """Record that bytes of an incomplete request arrived, as its client may stop and hold a slot."""
        table = self.listener.connection_table
        if self.protocol.receives_current_body():
            table.record_partial_upload(self.record, now)
        elif self.protocol.has_partial_request and not self.protocol.response_pending:
            table.record_partial_request(self.record, now, self.protocol.receives_head())

    def _read_data(self, max_bytes: int) -> bytes | None:
        """Return received data as `TcpStream.read` does, and record when the connection became ready."""
        was_established = self.stream.is_established()
        data = self.stream.read(max_bytes)
        if not was_established and self.stream.is_established():
            self.record.ready_at = self.listener.loop.now()
        return data

    def _record_upload(self, body: BodyStream, now: float) -> None:
        """Record the progress of a streamed body after a read."""
        if body.on_writable != self._update_state:
            body.on_writable = self._update_state
            self.stream.limit_kernel_buffer(socket.SO_RCVBUF)
        if self.protocol.upload_clock is not None:
            self.protocol.upload_clock.record_read(
                body.received_bytes, now, self.stream.has_nothing_to_read()
            )

    def _watch_upload(self, request: RequestContext, clock: UploadClock) -> None:
        """Fail a partial request once its last byte may have been written too long ago."""
        body = self.protocol.body_stream
        if request is not self.request or not request.is_partial or body is None:
            return
        self._record_upload(body, self.listener.loop.now())
        if self.listener.loop.now() >= clock.due_at():
            self.listener.engine.expire_upload(request)
        else:
            self._upload_timer = self.listener.loop.call_at(
                clock.due_at(), lambda: self._watch_upload(request, clock)
            )

    def _max_read_bytes(self) -> int:
        """Return how many bytes to read at once.

        A streamed body is read no faster than it is forwarded, and less of a buffered one is read while the
        memory for requests is nearly used up.
        """
        body = self.protocol.body_stream
        if body is not None:
            return max(1, min(READ_CHUNK_BYTES, body.writable_bytes()))
        if self.protocol.is_in_head() or not self.protocol.has_partial_request:
            return HEAD_READ_BYTES
        free_bytes = self.listener.budget.requests.free_bytes(is_pipelined=True)
        return int(max(MIN_READ_BYTES, min(READ_CHUNK_BYTES, free_bytes / READS_PER_FREE_MEMORY)))

    def _received_since(self) -> float:
        """Return a lower bound for the arrival time of the data that was just read."""
        since = self.listener.loop.events_since
        if not self.has_read:  # the data may have arrived while the connection was in the accept queue
            self.has_read = True
            since = min(since, self.accepted_since)
        return since

    def _complete_request(self, request: RequestContext, deadline: float) -> None:
        """Record that a request body is complete, and set the request's deadline."""
        if request is self.request:
            self.listener.connection_table.complete_upload(self.record)
            self.response_awaited_until = deadline + RESPONSE_GRACE_MS
            self.listener.engine.complete_upload(request, deadline)
        elif not request.ref:  # pipelined: it waits for the response to an earlier request
            request.is_partial = False
            request.deadline = deadline

    def _reject_broken_body(self) -> None:
        """Reject the current request if its streamed body is invalid."""
        rejection, self.protocol.body_rejection = self.protocol.body_rejection, None
        if rejection is not None and self.protocol.response_pending:
            self.abandon_request()
            self._reject(rejection.status, rejection.reason, rejection.class_index, last=True)

    def _send_continue(self) -> None:
        """Send 100 Continue if a body is awaited and no earlier response is pending."""
        protocol = self.protocol
        is_awaited = protocol.wants_continue and not (protocol.response_pending or protocol.has_pipelined())
        if is_awaited and self.stream.is_open:
            protocol.wants_continue = False
            self.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start_next_request(self) -> None:
        """Serve the next request, if none is in progress.

        At most `MAX_REQUESTS_PER_TURN` are begun in a turn of the loop; the others wait for the next turn.
        """
        # A client that does not read its responses gets no further ones, which would fill the memory.
        while (
            self.requests_left_in_turn > 0
            and not self.stream.has_unwritten()
            and (message := self.protocol.next_message()) is not None
        ):
            self.requests_left_in_turn -= 1
            self.listener.record_request(self)
            self.response_awaited_until = self.listener.loop.now() + self.listener.request_timeout_ms
            self._handle(message)
        self._send_continue()

    def _handle(self, message: ParsedMessage) -> None:
        match message:
            case RequestReceived(request):
                self._accept_request(request)
            case ReadinessProbe():
                is_ready = self.listener.is_serving()
                self._send_response(200 if is_ready else 503, b"ready\n" if is_ready else b"ending\n")
            case RequestRejected(status, reason, class_index):
                self._reject(status, reason, class_index)
            case RequestShed():
                self._shed(message)

    def _accept_request(self, request: RequestContext) -> None:
        """Pass a request to the engine.

        Rejects a request whose id another open request has, because upstreams would treat the two as one
        request, or whose id was sent before and may not run twice.
        """
        payload = _forwarded_request(request)
        has_waited = self.listener.loop.now() - self.last_received_at >= MAX_UNCHECKED_WAIT_MS
        if self._peer_closed or (has_waited and self._client_has_left()):
            discard_body(request)
            self._send_response(499, b"", last=True)
            return
        if not self._claim_id(request):
            discard_body(request)
            self._reject(409, "req-id is open already", request.class_index)
            return
        self.request = request
        self.request_body = payload.body_stream
        self.response_awaited_until = request.deadline + RESPONSE_GRACE_MS
        request.client_has_left = self._client_has_left
        request.read_late_ms = max(0.0, self.last_received_at - self.received_since)
        request.busy_ms = max(0.0, self.last_received_at - self.listener.loop.idle_at)
        self.listener.engine.accept(request, self)
        if self.protocol.upload_clock is not None:
            self._watch_upload(request, self.protocol.upload_clock)

    def _claim_id(self, request: RequestContext) -> bool:
        """Enter the id of a request; return False if an open one has it, or one that may run only once."""
        req_id = _forwarded_request(request).req_id
        if req_id in self.listener.open_request_ids:
            return False
        if self.listener.engine.runs_only_once(request) and not self.listener.request_ids.claim(
            req_id, self.listener.loop.now()
        ):
            return False
        self.listener.open_request_ids.add(req_id)
        return True

    def _release_id(self, request: RequestContext) -> None:
        """Remove the id of a request that has ended; an id that may have run is kept."""
        req_id = _forwarded_request(request).req_id
        self.listener.open_request_ids.discard(req_id)
        if self.listener.engine.runs_only_once(request) and not request.may_have_run():
            self.listener.request_ids.release(req_id)

    def _client_has_left(self) -> bool:
        """Return whether the client has closed the connection, even before the loop reports it."""
        return self._peer_closed or self.stream.is_at_end() or self.stream.peer_has_closed()

    def _shed(self, request: RequestShed) -> None:
        """Refuse a request for which no memory is left, or fail it after its deadline."""
        is_refused = self.listener.loop.now() < request.deadline
        class_index = request.class_index or 0
        budget = self.listener.budget.requests
        log_event(
            logger,
            logging.WARNING,
            "request_shed_for_memory",
            held_bytes=budget.held_bytes,
            total_bytes=budget.total_bytes,
        )
        if request.class_index is not None:
            self.listener.engine.record_shed_for_memory(class_index, is_refused)
        if is_refused:
            retry_after = _retry_after_header(self.listener.engine.retry_after_ms(class_index))
            self._send_response(503, b"refused\n", retry_after)
        else:
            self._send_response(504, b"failed\n")

    def _reject(self, status: int, reason: str, class_index: int | None = None, last: bool = False) -> None:
        """Send the response to a request that cannot be accepted.

        The connection closes if more requests are pipelined, as each of hundreds of them could cost a
        response.
        """
        self.listener.rejected_count += 1
        if class_index is not None:
            self.listener.engine.record_rejected_request(class_index)
        log_event(logger, logging.WARNING, "request_rejected", status=status, reason=reason)
        self._send_response(status, reason.encode() + b"\n", last=last or self.protocol.has_pipelined())

    def _on_end_of_input(self) -> None:
        """Handle the end of input: the client has closed at least its side of the connection.

        A streamed response continues, because the client may still read it.
        """
        self._peer_closed = True
        if self.response_body is not None:
            return  # if the client closed both directions, the next write fails
        self.abandon_request()
        if self.protocol.response_pending:
            self._send_response(499, b"", last=True)
        if not (self.stream.has_unwritten() or self.protocol.has_pipelined()):
            self.close()

    def current_client_id(self) -> str:
        """Return the client's id of the current request, for the log; empty if there is none."""
        return "" if self.request is None else self.request.client_id

    def abandon_request(self) -> None:
        """Abandon the current request and the response that is being streamed."""
        request = self._release_request()
        if request is not None:
            self.listener.engine.handle_disconnect(request)
        if self.response_body is not None:
            self.response_body.close()
            self.response_body = None

    def _release_request(self) -> RequestContext | None:
        """Clear the current request, drop its body and return it; None if there is none."""
        request, self.request = self.request, None
        if self._upload_timer is not None:
            self._upload_timer.cancel()
            self._upload_timer = None
        if request is not None:
            self._release_id(request)
            request.payload = _forwarded_request(request).without_body()
        if self.request_body is not None:
            self.request_body.close()
            self.request_body = None
        return request

    # ------------------------------------------------------------------------------ final responses

    # The engine passes the request to each of these methods; it is always the current request.

    def send_response(self, _request: RequestContext, response: object) -> None:
        """Send a complete response."""
        assert isinstance(response, Response)
        self._send_final_response(200, response.body, _content_type_header(response.headers))

    def start_response_stream(self, request: RequestContext, response: object) -> None:
        """Send the head of a response, and stream its body as it arrives."""
        assert isinstance(response, StreamedResponse)
        request.payload = _forwarded_request(request).without_body()  # no further attempt is made
        self.response_body = response.body_stream
        length = response.body_stream.content_length
        if length is None or length > LONG_BODY_BYTES:
            self.stream.limit_kernel_buffer(socket.SO_SNDBUF)
        try:
            self.stream.send(
                self.protocol.begin_streamed_response(
                    length,
                    _content_type_header(response.headers),
                    self.closes_after_response(),
                )
            )
            self.response_body.on_readable = self._on_more_body
        except OSError:
            self.close_broken()

    def _on_more_body(self) -> None:
        """Continue a streamed response after more data, its end or its truncation."""
        try:
            self._write_body()
            self._update_state()
        except OSError:
            self.close_broken()

    def _write_body(self) -> None:
        """Write data of a streamed response; at most one chunk of it is buffered in the stream."""
        while self.response_body is not None and self.stream.is_open and not self.stream.has_unwritten():
            parts = self.response_body.read(WRITE_CHUNK_BYTES)
            if parts:
                self.stream.send(*self.protocol.encode_chunk(*parts))
            elif self.response_body.is_drained():
                self._finish_streamed_response()
            elif self.response_body.is_truncated():
                self._abort_streamed_response()
            else:
                break

    def _finish_streamed_response(self) -> None:
        """Finish a complete streamed response, and start the next request."""
        body, request = self.response_body, self._release_request()
        assert body is not None
        assert request is not None
        self.response_body = None
        body.close()
        self.stream.send(self.protocol.finish_streamed_response())
        self.listener.engine.end_response_stream(request, True)
        self.record_response(200)
        self._start_next_request()

    def _abort_streamed_response(self) -> None:
        """End a truncated response by closing the connection, so that the client detects it."""
        request = self._release_request()
        assert request is not None
        self.listener.engine.end_response_stream(request, False)
        if self.protocol.ends_with_connection():
            self.stream.reset_on_close()
        self.close(CloseReason.TRUNCATED_RESPONSE)

    def send_refusal(self, _request: RequestContext, retry_after_ms: float) -> None:
        """Send a 503 response; without a Retry-After header if `retry_after_ms` is 0."""
        self._send_final_response(503, b"refused\n", _retry_after_header(retry_after_ms))

    def send_failure(self, _request: RequestContext, timed_out: bool) -> None:
        """Send a 504 response after the deadline, or a 502 response if all attempts failed."""
        self._send_final_response(504 if timed_out else 502, b"failed\n")

    def send_internal_error(self, _request: RequestContext) -> None:
        """Send a 500 response."""
        self._send_final_response(500, b"fault\n")

    def _send_final_response(self, status: int, body: bytes, extra_headers: ExtraHeaders = ()) -> None:
        self._release_request()
        try:
            self._send_response(status, body, extra_headers)
            self._start_next_request()
            self._update_state()
        except OSError:
            self.close_broken()

    def _send_response(
        self, status: int, body: bytes, extra_headers: ExtraHeaders = (), last: bool = False
    ) -> None:
        if self.stream.is_open:
            last = last or self.listener.is_shutdown_overdue
            closing = last or self.closes_after_response()
            self.stream.send(
                self.protocol.encode_response_head(status, body, extra_headers, closing, last), body
            )
            self.record_response(status)
            if self.stream.has_unwritten():
                self.listener.reclaim_response_memory()

    def closes_after_response(self) -> bool:
        """Return whether the connection closes after the pending response.

        It does if the router shuts down, or if the slot is needed before the expected next request.
        """
        return self.listener.is_shutting_down or self.listener.policy.should_close_after_response(
            self.record, self.listener.loop.now()
        )

    def record_response(self, status: int) -> None:
        """Record the response to the current request, and set `close_reason` if it is the last one."""
        self.listener.connection_table.record_response(self.record, status)
        if not self.protocol.is_done:
            self.record.close_reason = None  # the connection stays open for pipelined requests
        elif self.listener.is_shutting_down:
            self.record.close_reason = CloseReason.SHUTDOWN
        elif self.record.close_reason is None:
            self.record.close_reason = CLOSE_REASON_BY_STATUS.get(
                status, CloseReason.BAD_REQUEST if 400 <= status < 500 else CloseReason.CLIENT_CLOSED
            )

    def _handle_fault(self, error: Exception) -> None:
        """Send a 500 response after an exception, if one is due, and close the connection."""
        self.listener.loop.fault_count += 1
        log_exception(logger, "downstream_fault", error, count=self.listener.loop.fault_count)
        try:
            # A streamed response that has started can only be truncated.
            is_due = self.protocol.response_pending and self.response_body is None
            self.protocol.response_pending = False
            self.abandon_request()
            if is_due:
                self._send_response(500, b"fault\n")
        except Exception:  # sending the response failed too
            pass
        self.close(CloseReason.INTERNAL_ERROR)


def _retry_after_header(retry_after_ms: float) -> ExtraHeaders:
    """Return the header that says when a client may retry; none if `retry_after_ms` is 0."""
    return ((b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0)),) if retry_after_ms > 0 else ()


def _content_type_header(headers: dict[bytes, bytes]) -> ExtraHeaders:
    """Return the headers of an upstream response that are forwarded to the client."""
    content_type = headers.get(b"content-type")
    return () if content_type is None else ((b"Content-Type", content_type),)


def _forwarded_request(request: RequestContext) -> ForwardedRequest:
    assert isinstance(request.payload, ForwardedRequest)
    return request.payload
