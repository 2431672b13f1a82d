"""One connection to an upstream; it carries one attempt at a time."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from ..attempt_timeouts.connect_timeout import ConnectTimeout
from ..connections.descriptor_budget import DescriptorUse
from ..connections.keep_alive import KeepAliveController
from ..core.body_stream import BodyStream
from ..core.endpoint_directory import EndpointEntry
from ..core.engine import Engine
from ..core.request_context import UpstreamAttempt
from ..decisions.api import Result
from ..http.client_protocol import AttemptResult, HttpExchange, StreamedResponse
from ..http.request_messages import ForwardedRequest
from ..logs import log_event, log_exception
from .event_loop import READ, WRITE, EventLoop, ScheduledCall
from .resource_budget import ResourceBudget
from .tcp_stream import (
    LONG_BODY_BYTES,
    NO_PROGRESS_TIMEOUT_MS,
    READ_CHUNK_BYTES,
    OutboundConnection,
    TcpStream,
)

# Log lines and their rate limits count as those of the upstream pool.
logger = logging.getLogger(f"{__package__}.upstream_pool")
EXTRA_READS = 3  # maximum further reads of a streamed response per socket event
# Maximum part of an attempt's remaining time for which a response that may be long is held back.
MAX_HELD_FRACTION = 0.5
MAX_STALLED_ATTEMPTS = 1  # attempts of a request that a response without progress may end


class ConnectionPool(Protocol):
    """The interface of the pool towards its connections."""

    loop: EventLoop
    budget: ResourceBudget
    engine: Engine
    origin_kind: int
    stall_timeout_ms: float
    keep_alive: dict[bool, KeepAliveController]
    busy: dict[UpstreamAttempt, UpstreamConnection]
    streaming: dict[UpstreamConnection, None]

    def connect_timeout_for(self, address: tuple[str, int]) -> ConnectTimeout:
        """Return the adaptive connect timeout of an address."""

    def may_write(self, attempt: UpstreamAttempt, had_to_connect: bool) -> bool:
        """Return whether the first byte of an attempt may be written now."""

    def finish_attempt(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Report the result of an attempt to the engine."""

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next attempt."""

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle connections, if it is idle."""

    def record_early_close(self, connection: UpstreamConnection) -> None:
        """Record that an upstream closed an idle connection."""


class UpstreamConnection(OutboundConnection):
    """Connection to an upstream that sends requests and receives responses of attempts."""

    def __init__(self, pool: ConnectionPool, entry: EndpointEntry, sock: socket.socket) -> None:
        super().__init__()
        self.pool = pool
        self.dialed_at = pool.loop.now()
        self.endpoint_id = entry.endpoint_id
        self.host = f"{entry.address[0]}:{entry.address[1]}"
        self.address = entry.address
        self.keep_alive = pool.keep_alive[entry.kind == pool.origin_kind]
        self.has_had_response = False
        self.exchange: HttpExchange | None = None
        self.attempt: UpstreamAttempt | None = None
        self.idle_since = 0.0
        self.buffered_bytes = 0
        self.stalled_at: float | None = None  # when a partial response without progress counts as malformed
        self._stall_timer: ScheduledCall | None = None
        self._forward_timer: ScheduledCall | None = None  # begins to forward a response that may be long
        self.connect_timer: ScheduledCall | None = None
        self.retired = False  # its endpoint drains, left the endpoint list or restarted
        self.response_body: BodyStream | None = None  # body of the response that is being streamed
        self.last_progress_at = 0.0  # when data of that response was last received or read by its client
        self.stream = TcpStream(pool.loop, pool.budget, sock, self.on_ready, WRITE, DescriptorUse.UPSTREAM)

    def start(self, attempt: UpstreamAttempt, request: ForwardedRequest) -> None:
        """Begin an attempt; its request is written once the connection is established."""
        self.attempt = attempt
        self.exchange = HttpExchange(request, self.host, attempt.stop_at - self.pool.loop.now())
        if request.body_stream is not None:
            request.body_stream.on_readable = self._on_more_request_body
        if not self.is_connecting:
            self._run_guarded(self._write)

    def withdraw_attempt(self, result: Result) -> None:
        """End an attempt before any of its bytes was written."""
        attempt = self.attempt
        self.close()
        if attempt is not None:
            self.pool.finish_attempt(attempt, AttemptResult(result))

    def _on_more_request_body(self) -> None:
        """Continue to write a streamed request body."""
        if self.exchange is not None and not self.is_connecting:
            self._run_guarded(self._write)

    def _on_connected(self) -> None:
        now = self.pool.loop.now()
        attempt = self.attempt
        self.stream.finish_connect()
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        self.pool.connect_timeout_for(self.address).record_connected(now - self.dialed_at)
        if attempt is not None and not self.pool.may_write(attempt, had_to_connect=True):
            self.withdraw_attempt(Result.NEVER_SENT)
            return
        if attempt is not None and self.exchange is not None:
            # Encode again, because less time remains than at the start of the connect.
            self.exchange.encode(attempt.stop_at - now)
        super()._on_connected()

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as error:
            log_event(
                logger, logging.DEBUG, "upstream_connection_failed", endpoint=self.endpoint_id, text=error
            )
            self._finish(self.exchange.broken_result() if self.exchange is not None else None)
        except Exception as error:
            # Finish the attempt: otherwise the socket stays ready and raises the same exception in an endless
            # loop.
            self.pool.loop.fault_count += 1
            log_exception(
                logger, "upstream_fault", error, endpoint=self.endpoint_id, count=self.pool.loop.fault_count
            )
            self._finish(self.exchange.broken_result() if self.exchange is not None else None)

    def _write(self) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        if exchange.next_unsent():
            try:
                exchange.mark_written(self.stream.write(exchange.next_unsent()))
                if exchange.head_is_written():
                    exchange.mark_written(self.stream.write(exchange.next_unsent()))
                if exchange.is_sent() and self.attempt is not None:
                    self.pool.engine.mark_attempt_written(self.attempt)
            except OSError:
                self._read()  # the upstream may have sent an early response before it closed
                if self.exchange is exchange:
                    raise
                return
        self.stream.set_events(READ | WRITE if exchange.next_unsent() else READ)

    def _read(self, extra_reads: int = EXTRA_READS) -> None:
        body = self.response_body
        data = (
            self.stream.read()
            if body is None
            else self.stream.read(max(1, min(READ_CHUNK_BYTES, body.writable_bytes())))
        )
        if data is None:
            return
        if self.exchange is None:
            self.pool.record_early_close(self)
            self._finish(None)  # the upstream closed an idle connection or sent unsolicited data
            return
        exchange = self.exchange
        result = exchange.feed(data) if data else exchange.feed_eof()
        if exchange.is_streaming():
            self._stream_response(exchange, result, extra_reads)
            return
        if result is None:
            result = self._buffer_partial_response(exchange)
        if result is not None:
            self._finish(result)

    def _stream_response(
        self, exchange: HttpExchange, result: AttemptResult | None, extra_reads: int
    ) -> None:
        """Forward received data of a streamed response to the client."""
        self.last_progress_at = self.pool.loop.now()
        if self.response_body is None and not self._begin_streaming(exchange):
            return
        body = self.response_body
        assert body is not None
        for part in exchange.take_body():
            body.write(part)
        if self.response_body is not body:
            return  # the client disconnected during the write
        if result is not None:
            self._finish_streaming(result)
        elif body.pause_if_full():
            self.stream.set_events(0)  # wait until the client has read
        elif extra_reads:
            # Read data that arrived in the meantime, because an event for each part costs as much as the part
            # itself.
            self._read(extra_reads - 1)

    def _begin_streaming(self, exchange: HttpExchange) -> bool:
        """Pass the head of a response to the engine; return whether the response is still streamed."""
        attempt = self.attempt
        assert attempt is not None
        self._set_buffered_bytes(0)
        self._clear_response_timers()
        self.has_had_response = True
        if not self.pool.budget.body_buffers.has_free_stream():
            self._finish(exchange.malformed_result())
            return False
        headers, length = exchange.response_head()
        self.response_body = body = BodyStream(self.pool.budget.body_buffers, length)
        body.on_writable = self._resume_reading
        if length is None or length > LONG_BODY_BYTES:
            self.stream.limit_kernel_buffer(socket.SO_RCVBUF)
        self.pool.streaming[self] = None
        self.stream.set_bulk(True)
        if not self.pool.engine.begin_response_stream(
            attempt, exchange.cache_status(), StreamedResponse(headers, body)
        ):
            self._discard_response(attempt, body)
            return False
        return self.response_body is body

    def _discard_response(self, attempt: UpstreamAttempt, body: BodyStream) -> None:
        """Drop a response that no client awaits; otherwise its attempt would last until its timeout."""
        body.close()
        self.close()
        if attempt.is_in_flight:
            self.pool.finish_attempt(attempt, AttemptResult(Result.CANCELLED))

    def _resume_reading(self) -> None:
        """Continue to read a streamed response after its client has read."""
        if self.response_body is not None:
            self.last_progress_at = self.pool.loop.now()
            self.stream.set_events(READ)

    def _finish_streaming(self, result: AttemptResult) -> None:
        """End a streamed response, complete or truncated."""
        body, attempt, self.response_body = self.response_body, self.attempt, None
        assert body is not None
        assert attempt is not None
        self.attempt = None
        self._close_exchange()
        self.stream.set_bulk(False)
        self.pool.streaming.pop(self, None)
        self.pool.busy.pop(attempt, None)
        if result.reusable and not self.retired:
            self.stream.set_events(READ)
            self.pool.add_idle(self)
        else:
            self.close()
        if result.result is Result.OK:
            body.finish()
        else:
            log_event(
                logger,
                logging.WARNING,
                "response_truncated",
                endpoint=self.endpoint_id,
                received_bytes=body.received_bytes,
                content_length=body.content_length,
            )
            body.abort()

    def check_progress(self, now: float) -> None:
        """Abort a streamed response without progress for `NO_PROGRESS_TIMEOUT_MS`."""
        if (
            self.response_body is not None
            and self.response_body.writable_bytes()
            and now - self.last_progress_at >= NO_PROGRESS_TIMEOUT_MS
        ):
            self._finish_streaming(AttemptResult(Result.RESET))

    def _buffer_partial_response(self, exchange: HttpExchange) -> AttemptResult | None:
        """Count a partial response against the memory budget; return a failed result if it is exceeded.

        The budget bounds the memory for many large responses at the same time.
        """
        self._set_buffered_bytes(exchange.buffered_bytes())
        if self.pool.budget.buffered_bytes > self.pool.budget.max_buffered_bytes:
            return None if self.stream_partial_response() else exchange.malformed_result()
        if exchange.may_be_long():
            self._forward_later()
            return None
        if self.stalled_at is None:
            self._stall_timer = self.pool.loop.call_after(
                self.pool.stall_timeout_ms, lambda: self._check_stall(exchange)
            )
        self.stalled_at = self.pool.loop.now() + self.pool.stall_timeout_ms
        return None

    def _forward_later(self) -> None:
        """Hold a response that may be long for a moment, as another attempt can follow if it breaks off.

        Not for longer: its client waits for the first bytes, and to the decision module a response that is
        held looks like a slow endpoint.
        """
        self._clear_stall()
        if self._forward_timer is None and self.attempt is not None:
            now = self.pool.loop.now()
            held_ms = min(self.pool.stall_timeout_ms, MAX_HELD_FRACTION * (self.attempt.stop_at - now))
            self.attempt.first_byte_at = now
            self._forward_timer = self.pool.loop.call_at(now + held_ms, self._forward_held_response)

    def _forward_held_response(self) -> None:
        def forward() -> None:
            self.stream_partial_response()

        self._run_guarded(forward)

    def is_receiving(self) -> bool:
        """Return whether a response that may be long has arrived in part and is not forwarded yet."""
        return self.exchange is not None and self.response_body is None and self.exchange.may_be_long()

    def stream_partial_response(self) -> bool:
        """Forward a response from now on as it arrives, if it may be long; return False if there is none."""
        exchange = self.exchange
        if exchange is None or not self.is_receiving():
            return False
        exchange.start_streaming()
        self._stream_response(exchange, None, 0)
        return True

    def _check_stall(self, exchange: HttpExchange) -> None:
        """End an attempt whose partial short response makes no progress while the connection stays open.

        Otherwise the attempt would last until its deadline, although another attempt might still succeed in
        time. It happens once for a request: the next attempt may find that the response is just slow.
        """
        attempt = self.attempt
        if self.exchange is not exchange or self.stalled_at is None or attempt is None:
            return
        if attempt.request.stalled_attempts >= MAX_STALLED_ATTEMPTS:
            return
        now = self.pool.loop.now()
        if now < self.stalled_at:
            self._stall_timer = self.pool.loop.call_at(self.stalled_at, lambda: self._check_stall(exchange))
        else:
            attempt.request.stalled_attempts += 1
            self._finish(exchange.malformed_result())

    def _clear_stall(self) -> None:
        """Stop waiting for progress of a partial response; the timer holds the exchange with its buffers."""
        self.stalled_at = None
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _clear_response_timers(self) -> None:
        """Cancel all timers of a response that is being received."""
        self._clear_stall()
        if self._forward_timer is not None:
            self._forward_timer.cancel()
            self._forward_timer = None

    def _set_buffered_bytes(self, byte_count: int) -> None:
        """Set the number of buffered bytes of a response, also in the memory budget."""
        self.pool.budget.buffered_bytes += byte_count - self.buffered_bytes
        self.buffered_bytes = byte_count

    def _finish(self, result: AttemptResult | None) -> None:
        """End the attempt with `result`; None ends an idle connection."""
        if self.response_body is not None:
            self._finish_streaming(result or AttemptResult(Result.RESET))
            return
        attempt = self.attempt
        self.attempt = None
        self._close_exchange()
        if result is not None and result.response is not None:
            result = self._classify_first_response(result)
        self._set_buffered_bytes(0)
        self._clear_response_timers()
        if result is not None and result.reusable and not self.retired:
            self.stream.set_events(READ)
            self.pool.add_idle(self)
        else:
            self.close()
        if attempt is not None and result is not None:
            self.pool.finish_attempt(attempt, result)

    def _close_exchange(self) -> None:
        """Drop the exchange and its buffers."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.close()

    def _classify_first_response(self, result: AttemptResult) -> AttemptResult:
        """Distinguish a rejected connection from a rejected request.

        An upstream at its connection limit must not be mistaken for one with a full queue: its keys would be
        placed on other nodes, and retries would be spent on it.
        """
        is_first = not self.has_had_response
        self.has_had_response = True
        if is_first and result.result is Result.BUSY and not result.reusable:
            self.keep_alive.record_rejected()
            return replace(result, result=Result.CONNECTION_LIMIT)
        if is_first:
            self.keep_alive.record_accepted()
        return result

    def close(self) -> None:
        """Close the connection, and abandon its attempt."""
        self.attempt = None
        self._close_exchange()
        self.response_body = None
        self._clear_response_timers()
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        self._set_buffered_bytes(0)
        self.pool.streaming.pop(self, None)
        self.pool.remove_idle(self)
        self.stream.close()
