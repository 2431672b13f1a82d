"""The driver of one connection of the sender side."""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING

from ..connections.connection_table import CloseReason, ConnectionRecord, ConnectionState
from ..core.body_stream import BodyStream
from ..core.request_context import RequestContext
from ..http.client_protocol import StreamedResponse
from ..http.response import Response
from ..http.server_protocol import (
    ExtraHeaders,
    ForwardedRequest,
    ParsedMessage,
    ReadinessProbe,
    RequestReceived,
    RequestRejected,
    ServerProtocol,
    discard_body,
)
from ..logs import log_event, log_exception
from .event_loop import READ, WRITE, ScheduledCall
from .tcp_stream import LONG_BODY_BYTES, NO_PROGRESS_TIMEOUT_MS, READ_CHUNK_BYTES, StreamFactory

if TYPE_CHECKING:
    from .listener import Listener

logger = logging.getLogger(__name__)
LINGER_MS = 500.0  # to read on after an answer that came before the request's end, lest a reset overtakes it
CLOSE_REASON_BY_STATUS = {
    408: CloseReason.SLOW_CLIENT,
    499: CloseReason.CLIENT_CLOSED,
}  # how a connection ends with such an answer
LATE_FIRST_REQUEST_MS = 500.0  # for the rest of a first request that began late
BODY_STALL_TIMEOUT_MS = 1_000.0  # milliseconds without a byte of a body, once its head's time is over
# bytes a millisecond of a body, on the average from there: half of what a slow client sends
MIN_BODY_BYTES_PER_MS = 32.0
WRITE_CHUNK_BYTES = 256 * 1024  # of a body in parts that is written at once
UNREAD_RESPONSE_TIMEOUT_MS = 3_000.0  # the same for a short answer, once nobody waits for it
RESPONSE_GRACE_MS = 500.0  # after its deadline nobody waits for an answer any more


class DownstreamConnection:
    """One connection of the sender side; the port through which its envelopes are answered."""

    record: ConnectionRecord  # its entry in the account

    def __init__(self, listener: Listener, sock: socket.socket, make_stream: StreamFactory) -> None:
        self.listener = listener
        self.protocol = self.make_protocol()
        self.request: RequestContext | None = None
        self.stalled_since: float | None = None
        self.response_awaited_until = (
            listener.loop.now() + listener.request_timeout_ms
        )  # until when the answer in hand is
        self._linger_timer: ScheduledCall | None = None
        self.response_body: BodyStream | None = None  # of the answer that is passed on
        self.request_body: BodyStream | None = None  # of the body of the request in hand
        self.last_received_at = 0.0  # when something last came
        self._peer_closed = False  # the other side has ended its sending
        self.stream = make_stream(listener.loop, listener.budget, sock, self.on_ready)

    def make_protocol(self) -> ServerProtocol:
        """What reads its requests."""
        listener = self.listener
        return ServerProtocol(lambda: listener.names, listener.budget.body_buffers)

    def on_ready(self, events: int) -> None:
        """The socket is ready."""
        try:
            if events & WRITE:
                self.stream.flush()
                self._write_body()
            if events & READ:
                self._read()
            self._update_state()
        except OSError:
            self.close_broken()
        except Exception as problem:
            self._handle_fault(problem)

    def _read(self) -> None:
        was_up = self.stream.is_established()
        body = self.protocol.body_stream
        data = (
            self.stream.read()
            if body is None
            else self.stream.read(max(1, min(READ_CHUNK_BYTES, body.writable_bytes())))
        )
        now = self.listener.loop.now()
        if not was_up and self.stream.is_established():
            self.record.ready_at = now
        if data is None or self._linger_timer is not None:
            if data == b"":
                self.close()
            return
        if not data:
            self._on_end_of_input()
            return
        self.record.mark_bytes_received(now)
        self.last_received_at = now
        self.protocol.feed(data, now)
        if self.protocol.body_stream is not None:
            self.protocol.body_stream.on_writable = self._update_state
        if self.stream.is_at_end():
            # first: guards against a request that is sent on for a client that has left
            self._on_end_of_input()
        self._start_next_request()
        if self.protocol.has_partial_request and not self.protocol.response_pending:
            self.listener.connection_table.record_partial_request(self.record, now)
        for envelope, deadline in self.protocol.take_completed():
            self._complete_request(envelope, deadline)
        if self.request_body is not None:
            self.request_body.notify_reader()
        self._reject_broken_body()

    def _complete_request(self, request: RequestContext, deadline: float) -> None:
        """The last byte of an envelope that was coming is there."""
        if request is self.request:
            self.response_awaited_until = deadline + RESPONSE_GRACE_MS
            self.listener.engine.complete_upload(request, deadline)
        elif not request.ref:  # it waits for the answer to an earlier one
            request.is_partial, request.deadline = False, deadline

    def _reject_broken_body(self) -> None:
        """A body that was passed on as it came cannot go on: its request ends."""
        broken, self.protocol.body_rejection = self.protocol.body_rejection, None
        if broken is not None and self.protocol.response_pending:
            self.abandon_request()
            self._reject(broken.status, broken.reason, broken.class_index, last=True)

    def _send_continue(self) -> None:
        """Say that a body may come, unless an earlier request is to be answered first."""
        if self.protocol.wants_continue and not self.protocol.response_pending and self.stream.is_open:
            self.protocol.wants_continue = False
            self.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start_next_request(self) -> None:
        """Take up the next request, if none is being answered."""
        while (received := self.protocol.next_message()) is not None:
            self.listener.record_request(self)
            self.response_awaited_until = self.listener.loop.now() + self.listener.request_timeout_ms
            self._handle(received)
        self._send_continue()

    def _handle(self, received: ParsedMessage) -> None:
        match received:
            case RequestReceived(envelope):
                self._accept_request(envelope)
            case ReadinessProbe():
                up = self.listener.is_serving()
                self._send_response(200 if up else 503, b"ready\n" if up else b"ending\n")
            case RequestRejected(status, reason, klass):
                self._reject(status, reason, klass)

    def _accept_request(self, request: RequestContext) -> None:
        """Hand an envelope over. Guards against an id that another client's open request has: next hops would
        take the two for one.
        """
        open_ids, req_id = self.listener.open_request_ids, _request_id(request)
        if self._peer_closed:
            discard_body(request)
            self._send_response(499, b"", last=True)
            return
        if req_id in open_ids:
            discard_body(request)
            self._reject(409, "req-id is open already", request.class_index)
            return
        open_ids.add(req_id)
        self.request = request
        assert isinstance(request.payload, ForwardedRequest)
        self.request_body = request.payload.body_stream
        self.response_awaited_until = request.deadline + RESPONSE_GRACE_MS
        self.listener.engine.accept(request, self)

    def _reject(self, status: int, reason: str, class_index: int | None = None, last: bool = False) -> None:
        """A request that cannot be taken. One that came with others close behind ends the connection: guards
        against hundreds of them sent ahead, each of which would cost an answer.
        """
        self.listener.rejected_count += 1
        if class_index is not None:
            self.listener.engine.record_rejected_request(class_index)
        log_event(logger, logging.WARNING, "request_rejected", status=status, reason=reason)
        self._send_response(status, reason.encode() + b"\n", last=last or self.protocol.has_pipelined())

    def _on_end_of_input(self) -> None:
        """The sender side has ended its sending: it has gone. Should it have closed only that half, it still
        gets a whole answer.
        """
        self._peer_closed = True
        if self.response_body is not None:
            return  # if it has gone altogether, what is written next breaks
        self.abandon_request()
        if self.protocol.response_pending:
            self._send_response(499, b"", last=True)
        if not (self.stream.has_unwritten() or self.protocol.has_pipelined()):
            self.close()

    def abandon_request(self) -> None:
        """Nothing more is owed here."""
        envelope = self._release_request()
        if envelope is not None:
            self.listener.engine.handle_disconnect(envelope)
        if self.response_body is not None:
            self.response_body.close()
            self.response_body = None

    def _release_request(self) -> RequestContext | None:
        """The envelope in hand, which is in hand no more."""
        envelope, self.request = self.request, None
        if envelope is not None:
            self.listener.open_request_ids.discard(_request_id(envelope))
        if self.request_body is not None:
            self.request_body.close()
            self.request_body = None
        return envelope

    def close_broken(self) -> None:
        """The connection broke."""
        self.abandon_request()
        self.close(CloseReason.CONNECTION_LOST)

    # ------------------------------------------------------------------------------ the final answers

    def send_response(self, request: RequestContext, response: object) -> None:
        assert isinstance(response, Response)
        self._send_final_response(200, response.body, _content_type_header(response.headers))

    def start_response_stream(self, request: RequestContext, response: object) -> None:
        assert isinstance(response, StreamedResponse)
        self.response_body = response.body_stream
        if (
            response.body_stream.content_length is None
            or response.body_stream.content_length > LONG_BODY_BYTES
        ):
            self.stream.limit_kernel_buffer(socket.SO_SNDBUF)
        try:
            self.stream.send(
                self.protocol.begin_streamed_response(
                    response.body_stream.content_length,
                    _content_type_header(response.headers),
                    self.closes_after_response(),
                )
            )
            self.response_body.on_readable = self._on_more_body
        except OSError:
            self.close_broken()

    def _on_more_body(self) -> None:
        """More of the answer that is passed on has come, its end, or its break."""
        try:
            self._write_body()
            self._update_state()
        except OSError:
            self.close_broken()

    def _write_body(self) -> None:
        """Write what has come as far as the socket takes it: no more of it is held here than one piece."""
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
        """The answer is whole."""
        flow, envelope = self.response_body, self._release_request()
        assert flow is not None and envelope is not None
        self.response_body = None
        flow.close()
        self.stream.send(self.protocol.finish_streamed_response())
        self.listener.engine.end_response_stream(envelope, True)
        self.record_response(200)
        self._start_next_request()

    def _abort_streamed_response(self) -> None:
        """The answer will not be whole, and the sender side must see that."""
        envelope = self._release_request()
        assert envelope is not None
        self.listener.engine.end_response_stream(envelope, False)
        if self.protocol.ends_with_connection():
            self.stream.reset_on_close()
        self.close(CloseReason.TRUNCATED_RESPONSE)

    def send_refusal(self, request: RequestContext, retry_after_ms: float) -> None:
        wait = ((b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0)),) if retry_after_ms > 0 else ()
        self._send_final_response(503, b"refused\n", wait)

    def send_failure(self, request: RequestContext, timed_out: bool) -> None:
        self._send_final_response(504 if timed_out else 502, b"failed\n")

    def send_internal_error(self, request: RequestContext) -> None:
        self._send_final_response(500, b"fault\n")

    def _send_final_response(self, status: int, body: bytes, extra: ExtraHeaders = ()) -> None:
        self._release_request()
        try:
            self._send_response(status, body, extra)
            self._start_next_request()
            self._update_state()
        except OSError:
            self.close_broken()

    def _send_response(self, status: int, body: bytes, extra: ExtraHeaders = (), last: bool = False) -> None:
        if self.stream.is_open:
            ends = last or self.closes_after_response()
            self.stream.send(self.protocol.encode_response_head(status, body, extra, ends, last), body)
            self.record_response(status)

    def closes_after_response(self) -> bool:
        """Whether the connection is to end with the answer that is due: the router ends, or its place is
        needed before it is expected to ask again.
        """
        return self.listener.is_shutting_down or self.listener.policy.should_close_after_response(
            self.record, self.listener.loop.now()
        )

    def record_response(self, status: int) -> None:
        """The request in hand has its answer, with that status."""
        self.listener.connection_table.record_response(self.record, status)
        if not self.protocol.is_done:
            self.record.close_reason = None  # a request that was sent ahead is answered first
        elif self.listener.is_shutting_down:
            self.record.close_reason = CloseReason.SHUTDOWN
        elif self.record.close_reason is None:
            self.record.close_reason = CLOSE_REASON_BY_STATUS.get(
                status, CloseReason.BAD_REQUEST if 400 <= status < 500 else CloseReason.CLIENT_CLOSED
            )

    # -------------------------------------------------------------------------------------- its state

    def _update_state(self) -> None:
        """What to wait for next; the end, once all is answered and written."""
        if not self.stream.is_open:
            return
        unwritten = self.stream.has_unwritten()
        waiting = unwritten or self.protocol.has_partial_request or self.stream.has_partial_record()
        conn, now = self.record, self.listener.loop.now()
        begun = self._request_started_at(now)
        self.stalled_since = (self.stalled_since or begun) if waiting else None
        if not unwritten and self._linger_timer is None:
            if self.protocol.is_done:
                self.listener.connection_table.mark_lingering(conn, now)
                self.stream.shutdown_write()
                self._linger_timer = self.listener.loop.call_after(LINGER_MS, self.close)
            elif conn.state is ConnectionState.ACTIVE and self.protocol.is_idle():
                self.listener.connection_table.mark_idle(conn, now)
        if self._peer_closed and not unwritten and self._linger_timer is None and self.response_body is None:
            self.close()  # all that it was owed is on its way
            return
        # Guards against a sender that fills the memory with requests sent ahead: they stay in its socket. One
        # that has ended its sending stays readable for ever, and says no more.
        body = self.protocol.body_stream
        full = (
            self.protocol.pipeline_is_full()
            or self._peer_closed
            or (body is not None and body.pause_if_full())
        )
        reads = self._linger_timer is not None or not full
        self.listener.set_reading(self, reads or self._peer_closed)
        self.stream.set_events((READ if reads else 0) | (WRITE if unwritten else 0))

    def _request_started_at(self, now: float) -> float:
        """Since when the request counts that has begun; bytes that trickle in never set it back. The first
        one counts from the connection's begin, as who says nothing may not stay much longer either, but it
        has half a second in any case.
        """
        settings = self.listener.config
        if (
            self.record.state is not ConnectionState.NEW
            or settings.limits.silent_timeout_ms > 2 * settings.request_timeout_ms
        ):
            return now
        return max(self.record.opened_at, now - settings.request_timeout_ms + LATE_FIRST_REQUEST_MS)

    def _handle_fault(self, problem: Exception) -> None:
        """An exception over one request: it is answered 500, the process goes on."""
        self.listener.loop.fault_count += 1
        log_exception(logger, "downstream_fault", problem, count=self.listener.loop.fault_count)
        try:
            # amid an answer that is passed on the sender side can only be shown that it is not whole
            owing, self.protocol.response_pending = (
                self.protocol.response_pending and self.response_body is None,
                False,
            )
            self.abandon_request()
            if owing:
                self._send_response(500, b"fault\n")
        except Exception:  # it could not even be told
            pass
        self.close(CloseReason.INTERNAL_ERROR)

    def _client_stopped_reading(self, now: float) -> bool:
        """Whether an answer is not read: guards against memory held for nobody. A slow reader is none."""
        still = now - self.stream.last_write_at
        return still >= NO_PROGRESS_TIMEOUT_MS or (
            self.response_body is None
            and now >= self.response_awaited_until
            and still >= UNREAD_RESPONSE_TIMEOUT_MS
        )

    def _client_stopped_sending(self, now: float, since: float) -> bool:
        """Whether what has begun to come does not go on: a head has its time, a body has to make progress."""
        machine, over = self.protocol, now - since - self.listener.request_timeout_ms
        if over < 0 or (machine.response_pending and machine.body_stream is None):
            return False
        if machine.body_stream is not None and machine.body_stream.is_paused:
            self.stalled_since = now - self.listener.request_timeout_ms  # it is us who do not read
            return False
        return (
            machine.is_in_head()
            or now - self.last_received_at >= BODY_STALL_TIMEOUT_MS
            or machine.body_bytes < MIN_BODY_BYTES_PER_MS * over
        )

    def check_timeouts(self, now: float) -> None:
        """Guards against connections held for ever by half a request or an answer that is not read."""
        if self.stalled_since is None:
            return
        if self.stream.has_unwritten():
            if self._client_stopped_reading(now):
                self._close_slow()
        elif self._client_stopped_sending(now, self.stalled_since):
            if not self.stream.is_established():
                self._close_slow()
                return
            self.protocol.reject_timeout()
            self._start_next_request()
            self._reject_broken_body()
            self._update_state()

    def _close_slow(self) -> None:
        self.abandon_request()
        self.close(CloseReason.SLOW_CLIENT)

    def has_no_work(self) -> bool:
        """Nothing is in hand or to be written, and nothing came unread: at most half a request is here."""
        return (
            not (self.protocol.response_pending or self.stream.has_unwritten())
            and self.stream.has_nothing_to_read()
        )

    def is_idle(self) -> bool:
        """Between requests, with nothing to write and nothing that came unread."""
        stream = self.stream
        return (
            self.protocol.is_idle()
            and not (stream.has_unwritten() or stream.has_partial_record())
            and stream.has_nothing_to_read()
        )

    def close_gracefully(self, reason: CloseReason) -> None:
        """Between requests: nothing more is answered here. What crosses this is read and dropped, and its
        client asks once more elsewhere. Guards against a close over unread bytes: that is a reset, which can
        take the last answer with it.
        """
        self.record.close_reason = reason
        self.protocol.close()
        self._update_state()

    def close(self, reason: CloseReason = CloseReason.CLIENT_CLOSED) -> None:
        """Close it; the sender side can tell an answer that is not whole."""
        self.abandon_request()
        if self._linger_timer is not None:
            self._linger_timer.cancel()  # guards against closed connections that a timer holds in memory
        self.protocol.close()
        self.listener.forget(self, reason)  # first: what is freed then may be taken at once
        self.stream.close()


def _content_type_header(headers: dict[bytes, bytes]) -> ExtraHeaders:
    """What of a next hop's headers is passed on."""
    kind = headers.get(b"content-type")
    return () if kind is None else ((b"Content-Type", kind),)


def _request_id(request: RequestContext) -> bytes:
    assert isinstance(request.payload, ForwardedRequest)
    return request.payload.req_id
