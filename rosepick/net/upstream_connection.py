"""One connection to an upstream: it carries one attempt at a time."""

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
from .event_loop import READ, WRITE, EventLoop
from .resource_budget import ResourceBudget
from .tcp_stream import (
    LONG_BODY_BYTES,
    NO_PROGRESS_TIMEOUT_MS,
    READ_CHUNK_BYTES,
    OutboundConnection,
    TcpStream,
)

# its lines belong to the upstream pool, also where log lines are rate limited
logger = logging.getLogger(f"{__package__}.upstream_pool")
EXTRA_READS = 3  # further reads of a streamed response on one event


class ConnectionPool(Protocol):
    """What an upstream connection needs of its pool."""

    loop: EventLoop
    budget: ResourceBudget
    engine: Engine
    origin_kind: int
    stall_timeout_ms: float
    keep_alive: dict[bool, KeepAliveController]
    busy: dict[UpstreamAttempt, UpstreamConnection]
    streaming: dict[UpstreamConnection, None]

    def connect_timeout_for(self, address: tuple[str, int]) -> ConnectTimeout:
        """Return the adaptive timeout of connects to an address."""

    def may_write(self, attempt: UpstreamAttempt, had_to_connect: bool) -> bool:
        """Return whether the first byte of an attempt may be written now."""

    def finish_attempt(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Report the result of an attempt to the engine."""

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next attempt."""

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Forget a connection, if it is idle."""

    def record_early_close(self, connection: UpstreamConnection) -> None:
        """Record that an upstream closed an idle connection."""


class UpstreamConnection(OutboundConnection):
    """One connection to an upstream."""

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
        self.stalled_at: float | None = None  # when a partial response counts as malformed
        self.retired = False  # its endpoint drains, left or restarted
        self.response_body: BodyStream | None = None  # of the response that is being streamed
        self.last_progress_at = 0.0  # when data of it was last received, or its client read
        self.stream = TcpStream(pool.loop, pool.budget, sock, self.on_ready, WRITE, DescriptorUse.UPSTREAM)

    def start(self, attempt: UpstreamAttempt, request: ForwardedRequest) -> None:
        """Begin an attempt; its request is written as soon as the connection is established."""
        self.attempt = attempt
        self._build_exchange(attempt, request)
        if request.body_stream is not None:
            request.body_stream.on_readable = self._on_more_request_body
        if not self.is_connecting:
            self._run_guarded(self._write)

    def withdraw_attempt(self, result: Result) -> None:
        """End an attempt of which nothing was written yet."""
        attempt = self.attempt
        self.close()
        if attempt is not None:
            self.pool.finish_attempt(attempt, AttemptResult(result))

    def _on_more_request_body(self) -> None:
        """Continue writing a streamed request body."""
        if self.exchange is not None and not self.is_connecting:
            self._run_guarded(self._write)

    def _build_exchange(self, attempt: UpstreamAttempt, request: ForwardedRequest) -> None:
        """Encode the request, which states the time left to its deadline."""
        self.exchange = HttpExchange(request, self.host, attempt.stop_at - self.pool.loop.now())

    def _on_connected(self) -> None:
        now = self.pool.loop.now()
        attempt = self.attempt
        self.stream.finish_connect()
        self.pool.connect_timeout_for(self.address).record_connected(now - self.dialed_at)
        if attempt is not None and not self.pool.may_write(attempt, had_to_connect=True):
            self.withdraw_attempt(Result.NEVER_SENT)
            return
        if attempt is not None and isinstance(attempt.request.payload, ForwardedRequest):
            # less time is left than when the connect began
            self._build_exchange(attempt, attempt.request.payload)
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
            # Guards against a socket that stays ready and raises the same again at once, without end.
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
                if exchange.is_sent() and self.attempt is not None:
                    self.pool.engine.mark_attempt_written(self.attempt)
            except OSError:
                self._read()  # an early response may have preceded the break
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
            self._finish(None)  # idle: closed by the upstream, or it sent unrequested data
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
        """Forward received data of a streamed response."""
        self.last_progress_at = self.pool.loop.now()
        if self.response_body is None and not self._begin_streaming(exchange):
            return
        body = self.response_body
        assert body is not None
        for part in exchange.take_body():
            body.write(part)
        if self.response_body is not body:
            return  # the client left while it was written to
        if result is not None:
            self._finish_streaming(result)
        elif body.pause_if_full():
            self.stream.set_events(0)  # the client has to read first
        elif extra_reads:
            # read what was received meanwhile: an event for each part would cost as much as the part
            self._read(extra_reads - 1)

    def _begin_streaming(self, exchange: HttpExchange) -> bool:
        """Hand a response that has begun to the engine; return whether it is still streamed."""
        attempt = self.attempt
        assert attempt is not None
        self._set_buffered_bytes(0)
        self.stalled_at = None
        self.has_had_response = True
        headers, length = exchange.response_head()
        self.response_body = body = BodyStream(self.pool.budget.body_buffers, length)
        body.on_writable = self._resume_reading
        if length is None or length > LONG_BODY_BYTES:
            self.stream.limit_kernel_buffer(socket.SO_RCVBUF)
        self.pool.streaming[self] = None
        if not self.pool.engine.begin_response_stream(
            attempt, exchange.cache_status(), StreamedResponse(headers, body)
        ):
            self.close()
            return False
        return self.response_body is body

    def _resume_reading(self) -> None:
        """Continue reading a streamed response, as its client has read."""
        if self.response_body is not None:
            self.last_progress_at = self.pool.loop.now()
            self.stream.set_events(READ)

    def _finish_streaming(self, result: AttemptResult) -> None:
        """End a streamed response, complete or not."""
        body, attempt, self.response_body = self.response_body, self.attempt, None
        assert body is not None
        assert attempt is not None
        self.attempt = None
        self.exchange = None
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
        """End a streamed response that makes no progress."""
        if (
            self.response_body is not None
            and self.response_body.writable_bytes()
            and now - self.last_progress_at >= NO_PROGRESS_TIMEOUT_MS
        ):
            self._finish_streaming(AttemptResult(Result.RESET))

    def _buffer_partial_response(self, exchange: HttpExchange) -> AttemptResult | None:
        """Account for a partial response; return a result if there is no memory for it, or None.

        Guards against many large responses at once.
        """
        self._set_buffered_bytes(exchange.buffered_bytes())
        if self.pool.budget.buffered_bytes > self.pool.budget.max_buffered_bytes:
            return exchange.malformed_result()
        if self.stalled_at is None:
            self.pool.loop.call_after(self.pool.stall_timeout_ms, lambda: self._check_stall(exchange))
        self.stalled_at = self.pool.loop.now() + self.pool.stall_timeout_ms
        return None

    def _check_stall(self, exchange: HttpExchange) -> None:
        """End an attempt whose partial response makes no progress while the connection stays open.

        Otherwise it would last until its deadline, while another attempt might still be in time.
        """
        if self.exchange is not exchange or self.stalled_at is None:
            return
        now = self.pool.loop.now()
        if now < self.stalled_at:
            self.pool.loop.call_at(self.stalled_at, lambda: self._check_stall(exchange))
        else:
            self._finish(exchange.malformed_result())

    def _set_buffered_bytes(self, byte_count: int) -> None:
        """Set how many bytes of a response are buffered."""
        self.pool.budget.buffered_bytes += byte_count - self.buffered_bytes
        self.buffered_bytes = byte_count

    def _finish(self, result: AttemptResult | None) -> None:
        """End the attempt with a result, or an idle connection with None."""
        if self.response_body is not None:
            self._finish_streaming(result or AttemptResult(Result.RESET))
            return
        attempt = self.attempt
        self.attempt = None
        self.exchange = None
        if result is not None and result.response is not None:
            result = self._classify_first_response(result)
        self._set_buffered_bytes(0)
        self.stalled_at = None
        if result is not None and result.reusable and not self.retired:
            self.stream.set_events(READ)
            self.pool.add_idle(self)
        else:
            self.close()
        if attempt is not None and result is not None:
            self.pool.finish_attempt(attempt, result)

    def _classify_first_response(self, result: AttemptResult) -> AttemptResult:
        """Tell a refused connection from a refused request.

        Guards against an upstream without a slot for another connection that is taken for one whose queue is
        full: its keys would be placed elsewhere, and retries be spent on it.
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
        """Close the connection, and give up the attempt on it."""
        self.attempt = None
        self.exchange = None
        self.response_body = None
        self._set_buffered_bytes(0)
        self.pool.streaming.pop(self, None)
        self.pool.remove_idle(self)
        self.stream.close()
