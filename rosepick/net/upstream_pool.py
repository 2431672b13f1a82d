"""The next-hop pool: connections to next hops, one delivery attempt at a time on each."""

from __future__ import annotations

import logging
import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace

from ..attempt_timeouts.connect_timeout import ConnectTimeout
from ..connections.descriptor_budget import DescriptorUse
from ..connections.keep_alive import KeepAliveController
from ..core.body_stream import BodyStream
from ..core.endpoint_directory import EndpointDirectory, EndpointEntry
from ..core.engine import Engine
from ..core.request_context import UpstreamAttempt
from ..decisions.api import Result, Status
from ..http.client_protocol import AttemptResult, HttpExchange, StreamedResponse
from ..http.server_protocol import ForwardedRequest
from ..logs import log_event, log_exception
from ..settings.config import Config
from .event_loop import READ, WRITE, EventLoop
from .resource_budget import ResourceBudget
from .tcp_stream import (
    LONG_BODY_BYTES,
    NO_PROGRESS_TIMEOUT_MS,
    OUT_OF_DESCRIPTORS_ERRNOS,
    READ_CHUNK_BYTES,
    OutboundConnection,
    TcpStream,
    dial,
)

logger = logging.getLogger(__name__)
IDLE_TIMEOUT_FRACTION = 0.7  # of the time after which a next hop may close an idle connection: then ours goes
# milliseconds between looks at idle connections; more often where they are kept shortly,
SWEEP_INTERVAL_MS = 500.0
MIN_SWEEP_INTERVAL_MS = 50.0  # but no more often than this
# of the shortest aim: an answer that has begun and then stops for so long is spoilt
STALL_FRACTION_OF_TARGET = 0.2
# an idle connection that its next hop closes sooner than this was never meant to be kept
EARLY_CLOSE_MS = 100.0
EARLY_CLOSE_CAUTION_MS = 60_000.0  # after such a close
EXTRA_READS = 3  # reads in one go, beside the first, of an answer that is passed on
MAX_TRACKED_ENDPOINTS = 4_096  # endpoints of whose dials something is kept


def _body_was_consumed(payload: object) -> bool:
    """Whether a body that came in parts has been begun to be sent: it cannot be sent again."""
    assert isinstance(payload, ForwardedRequest)
    return payload.body_stream is not None and payload.body_stream.is_partly_read


class UpstreamConnection(OutboundConnection):
    """One connection to a next hop."""

    def __init__(self, pool: UpstreamPool, entry: EndpointEntry, sock: socket.socket) -> None:
        super().__init__()
        self.pool = pool
        self.dialed_at = pool.loop.now()
        self.endpoint_id = entry.endpoint_id
        self.host = f"{entry.address[0]}:{entry.address[1]}"
        self.address = entry.address
        self.keep_alive = pool.keep_alive[entry.kind == pool.origin_kind]
        self.has_had_response = False  # it has had an answer
        self.exchange: HttpExchange | None = None
        self.attempt: UpstreamAttempt | None = None
        self.idle_since = 0.0
        self.buffered_bytes = 0
        self.stalled_at: float | None = None
        self.retired = False
        self.response_body: BodyStream | None = None  # an answer is being passed on
        self.last_progress_at = 0.0  # when something of it last came
        self.stream = TcpStream(pool.loop, pool.budget, sock, self.on_ready, WRITE, DescriptorUse.UPSTREAM)

    def start(self, attempt: UpstreamAttempt, request: ForwardedRequest) -> None:
        """Carry an attempt; its bytes go out as soon as the connection is up."""
        self.attempt = attempt
        self._build_exchange(attempt, request)
        if request.body_stream is not None:
            request.body_stream.on_readable = self._on_more_request_body
        if not self.is_connecting:
            self._run_guarded(self._write)

    def withdraw_attempt(self, result: Result) -> None:
        """End an attempt of which nothing is written yet."""
        attempt = self.attempt
        self.close()
        if attempt is not None:
            self.pool.finish_attempt(attempt, AttemptResult(result))

    def _on_more_request_body(self) -> None:
        """More of the request's body is there."""
        if self.exchange is not None and not self.is_connecting:
            self._run_guarded(self._write)

    def _build_exchange(self, attempt: UpstreamAttempt, request: ForwardedRequest) -> None:
        """Put the request in words; it tells the time that is left."""
        self.exchange = HttpExchange(request, self.host, attempt.stop_at - self.pool.loop.now())

    def _on_connected(self) -> None:
        now, attempt = self.pool.loop.now(), self.attempt
        self.stream.finish_connect()
        self.pool.connect_timeout_for(self.address).record_connected(now - self.dialed_at)
        if attempt is not None and now > attempt.begin_by:
            self.withdraw_attempt(Result.NEVER_SENT)  # a repeat whose window ended meanwhile
            return
        if attempt is not None and isinstance(attempt.request.payload, ForwardedRequest):
            # less time is left than when the dial began
            self._build_exchange(attempt, attempt.request.payload)
        super()._on_connected()

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as problem:
            log_event(
                logger, logging.DEBUG, "upstream_connection_failed", endpoint=self.endpoint_id, text=problem
            )
            self._finish(self.exchange.broken_result() if self.exchange is not None else None)
        except Exception as problem:
            # Guards against a socket that stays ready and raises the same again at once, without end.
            self.pool.loop.fault_count += 1
            log_exception(
                logger, "upstream_fault", problem, endpoint=self.endpoint_id, count=self.pool.loop.fault_count
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
                self._read()  # an early answer may have come before the connection broke
                if self.exchange is exchange:
                    raise
                return
        self.stream.set_events(READ | WRITE if exchange.next_unsent() else READ)

    def _read(self, extra_reads: int = EXTRA_READS) -> None:
        flow = self.response_body
        data = (
            self.stream.read()
            if flow is None
            else self.stream.read(max(1, min(READ_CHUNK_BYTES, flow.writable_bytes())))
        )
        if data is None:
            return
        if self.exchange is None:
            self.pool.record_early_close(self)
            self._finish(None)  # an idle one was closed, or says what nobody asked
            return
        exchange = self.exchange
        verdict = exchange.feed(data) if data else exchange.feed_eof()
        if exchange.is_streaming():
            self._stream_response(exchange, verdict, extra_reads)
            return
        if verdict is None:
            verdict = self._buffer_partial_response(exchange)
        if verdict is not None:
            self._finish(verdict)

    def _stream_response(
        self, exchange: HttpExchange, verdict: AttemptResult | None, extra_reads: int
    ) -> None:
        """More has come of an answer that is passed on as it comes."""
        self.last_progress_at = self.pool.loop.now()
        if self.response_body is None and not self._begin_streaming(exchange):
            return
        flow = self.response_body
        assert flow is not None
        for part in exchange.take_body():
            flow.write(part)
        if self.response_body is not flow:
            return  # the sender side left as it was written to
        if verdict is not None:
            self._finish_streaming(verdict)
        elif flow.pause_if_full():
            self.stream.set_events(0)  # its sender side has to read first
        elif extra_reads:
            self._read(
                extra_reads - 1
            )  # what has come already: a wait for each part would cost as much as the part

    def _begin_streaming(self, exchange: HttpExchange) -> bool:
        """Whether the answer that has begun is wanted."""
        attempt = self.attempt
        assert attempt is not None
        self._set_buffered_bytes(0)
        self.stalled_at, self.has_had_response = None, True
        headers, length = exchange.response_head()
        self.response_body = flow = BodyStream(self.pool.budget.body_buffers, length)
        flow.on_writable = self._resume_reading
        if length is None or length > LONG_BODY_BYTES:
            self.stream.limit_kernel_buffer(socket.SO_RCVBUF)
        self.pool.streaming[self] = None
        if not self.pool.engine.begin_response_stream(
            attempt, exchange.cache_status(), StreamedResponse(headers, flow)
        ):
            self.close()
            return False
        return self.response_body is flow

    def _resume_reading(self) -> None:
        """The sender side has read."""
        if self.response_body is not None:
            self.last_progress_at = self.pool.loop.now()
            self.stream.set_events(READ)

    def _finish_streaming(self, verdict: AttemptResult) -> None:
        """An answer that was passed on is at its end, whole or not."""
        flow, attempt, self.response_body = self.response_body, self.attempt, None
        assert flow is not None and attempt is not None
        self.attempt = self.exchange = None
        self.pool.streaming.pop(self, None)
        self.pool.busy.pop(attempt, None)
        if verdict.reusable and not self.retired:
            self.stream.set_events(READ)
            self.pool.add_idle(self)
        else:
            self.close()
        if verdict.result is Result.OK:
            flow.finish()
        else:
            log_event(
                logger,
                logging.WARNING,
                "response_truncated",
                endpoint=self.endpoint_id,
                received_bytes=flow.received_bytes,
                content_length=flow.content_length,
            )
            flow.abort()

    def check_progress(self, now: float) -> None:
        """Guards against a next hop that stops amid an answer which is being passed on."""
        if (
            self.response_body is not None
            and self.response_body.writable_bytes()
            and now - self.last_progress_at >= NO_PROGRESS_TIMEOUT_MS
        ):
            self._finish_streaming(AttemptResult(Result.RESET))

    def _buffer_partial_response(self, exchange: HttpExchange) -> AttemptResult | None:
        """More is to come of an answer, if there is memory for it: guards against many large ones at once."""
        self._set_buffered_bytes(exchange.buffered_bytes())
        if self.pool.budget.buffered_bytes > self.pool.budget.max_buffered_bytes:
            return exchange.malformed_result()
        if self.stalled_at is None:
            self.pool.loop.call_after(self.pool.stall_timeout_ms, lambda: self._check_stall(exchange))
        self.stalled_at = self.pool.loop.now() + self.pool.stall_timeout_ms
        return None

    def _check_stall(self, exchange: HttpExchange) -> None:
        """Guards against answers that stop short on a connection that stays open: the attempt would last to
        its deadline, while another might still be in time.
        """
        if self.exchange is not exchange or self.stalled_at is None:
            return
        now = self.pool.loop.now()
        if now < self.stalled_at:
            self.pool.loop.call_at(self.stalled_at, lambda: self._check_stall(exchange))
        else:
            self._finish(exchange.malformed_result())

    def _set_buffered_bytes(self, byte_count: int) -> None:
        """So many bytes of an answer are held now."""
        self.pool.budget.buffered_bytes += byte_count - self.buffered_bytes
        self.buffered_bytes = byte_count

    def _finish(self, verdict: AttemptResult | None) -> None:
        """The attempt has ended, or an idle connection has."""
        if self.response_body is not None:
            self._finish_streaming(verdict or AttemptResult(Result.RESET))
            return
        attempt, self.attempt, self.exchange = self.attempt, None, None
        if verdict is not None and verdict.response is not None:
            verdict = self._classify_first_response(verdict)
        self._set_buffered_bytes(0)
        self.stalled_at = None
        if verdict is not None and verdict.reusable and not self.retired:
            self.stream.set_events(READ)
            self.pool.add_idle(self)
        else:
            self.close()
        if attempt is not None and verdict is not None:
            self.pool.finish_attempt(attempt, verdict)

    def _classify_first_response(self, verdict: AttemptResult) -> AttemptResult:
        """An answer has come. Guards against a next hop that has no place for another connection and is taken
        for one whose queue is full: its keys would move away, and retries be spent on it.
        """
        first, self.has_had_response = not self.has_had_response, True
        if first and verdict.result is Result.BUSY and not verdict.reusable:
            self.keep_alive.record_rejected()
            return replace(verdict, result=Result.CONNECTION_LIMIT)
        if first:
            self.keep_alive.record_accepted()
        return verdict

    def close(self) -> None:
        """Close it; an attempt on it is given up."""
        self.attempt = self.exchange = self.response_body = None
        self._set_buffered_bytes(0)
        self.pool.streaming.pop(self, None)
        self.pool.remove_idle(self)
        self.stream.close()


class UpstreamPool:
    """All connections to next hops."""

    def __init__(
        self, loop: EventLoop, budget: ResourceBudget, endpoint_directory: EndpointDirectory, config: Config
    ) -> None:
        self.loop, self.budget, self.endpoint_directory = loop, budget, endpoint_directory
        self.origin_kind = config.settings.origin_kind
        # the origin is another kind of machine, with limits of its own
        self.keep_alive = {
            of_origin: KeepAliveController(
                config.idle_timeout_ms * IDLE_TIMEOUT_FRACTION, config.settings.routers
            )
            for of_origin in (False, True)
        }
        self.apply(config)
        self.connect_timeouts: OrderedDict[tuple[str, int], ConnectTimeout] = (
            OrderedDict()
        )  # the most recently dialed last
        self.engine: Engine
        self.busy: dict[UpstreamAttempt, UpstreamConnection] = {}
        self.streaming: dict[
            UpstreamConnection, None
        ] = {}  # of the busy ones: an answer is passed on as it comes
        self.idle: dict[int, list[UpstreamConnection]] = {}  # the most recently used last
        self.idle_by_age: OrderedDict[UpstreamConnection, None] = OrderedDict()  # the longest idle first
        self.min_rest_ms = 0.0  # milliseconds that a connection rests before it is used again ...
        self.early_close_caution_until = 0.0  # ... up to this time
        self.zone = config.settings.zone
        loop.call_after(SWEEP_INTERVAL_MS, self._close_expired_idle)

    def apply(self, config: Config) -> None:
        """Other settings from now on."""
        self.connect_timeout_ms = config.connect_timeout_ms
        for keeping in self.keep_alive.values():
            keeping.set_max_keep_alive(config.idle_timeout_ms * IDLE_TIMEOUT_FRACTION)
        self.stall_timeout_ms = STALL_FRACTION_OF_TARGET * min(
            klass.objective_ms for klass in config.settings.classes
        )

    # ---------------------------------------------------------------------------- the engine's calls

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Start a delivery attempt on the most recently used idle connection, or on a new one."""
        letter = attempt.request.payload
        assert isinstance(letter, ForwardedRequest)
        if _body_was_consumed(letter):
            self.finish_attempt(attempt, AttemptResult(Result.NEVER_SENT))
            return
        hop = self.endpoint_directory.endpoints.get(attempt.endpoint_id)
        if hop is not None and hop.zone != self.zone:
            self.engine.counts["cross_zone_attempts"] += 1
        if hop is not None and hop.status is not Status.READY:
            self.finish_attempt(attempt, AttemptResult(Result.NEVER_SENT))  # chosen before the drain was told
            return
        link = self._take_idle(attempt.endpoint_id)
        if link is None and hop is not None:
            self.engine.counts["upstream_connects"] += 1
            link = self._dial(hop)
        if link is None:
            self.finish_attempt(attempt, AttemptResult(Result.CONNECT_FAILED))
            return
        self.busy[attempt] = link
        link.start(attempt, letter)

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """Close the attempt's connection: an answer still to come would be taken for the next request's."""
        link = self.busy.pop(attempt, None)
        if link is not None:
            link.close()

    def retire_endpoints(self, endpoint_ids: tuple[int, ...]) -> None:
        """Close what is idle to next hops that drain, left or restarted; what is busy closes after its
        attempt. One of which nothing is written yet does not begin any more, and its request goes elsewhere:
        guards against dials that come up after the drain was told. The module has to know of it already.
        """
        for server in endpoint_ids:
            for link in list(self.idle.get(server, ())):
                link.close()
        gone = set(endpoint_ids)
        for link in list(self.busy.values()):
            link.retired = link.retired or link.endpoint_id in gone
            if link.retired and link.is_connecting and link.attempt is not None:
                link.withdraw_attempt(Result.NEVER_SENT)

    def close(self) -> None:
        """Close all connections."""
        for link in [*self.busy.values(), *self.idle_by_age]:
            link.close()
        self.busy.clear()

    # ------------------------------------------------------------------------------ the links' calls

    def finish_attempt(self, attempt: UpstreamAttempt, verdict: AttemptResult) -> None:
        """An attempt has its outcome."""
        self.busy.pop(attempt, None)
        self.engine.finish_attempt(
            attempt,
            verdict.result,
            verdict.cache_status,
            verdict.response,
            verdict.malformed,
            _body_was_consumed(attempt.request.payload),
        )

    def add_idle(self, connection: UpstreamConnection) -> None:
        """A connection is free for the next attempt."""
        connection.idle_since = self.loop.now()
        self.idle.setdefault(connection.endpoint_id, []).append(connection)
        self.idle_by_age[connection] = None

    def record_early_close(self, connection: UpstreamConnection) -> None:
        """A next hop ended an idle connection. Guards against requests written to connections that close
        right after an answer, which end as resets: while that happens, connections rest before use.
        """
        rested = self.loop.now() - connection.idle_since
        if rested < EARLY_CLOSE_MS:
            self.min_rest_ms = max(self.min_rest_ms, 1.2 * rested)
            self.early_close_caution_until = self.loop.now() + EARLY_CLOSE_CAUTION_MS

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """A connection is idle no more."""
        if connection in self.idle_by_age:
            del self.idle_by_age[connection]
            links = self.idle[connection.endpoint_id]
            links.remove(connection)
            if not links:  # guards against an entry for each next hop that ever was
                del self.idle[connection.endpoint_id]

    # ---------------------------------------------------------------------------------- connections

    def _take_idle(self, endpoint_id: int) -> UpstreamConnection | None:
        now = self.loop.now()
        if now > self.early_close_caution_until:
            self.min_rest_ms = 0.0
        for link in self.idle.get(endpoint_id, [])[::-1]:
            if now - link.idle_since < self.min_rest_ms:
                continue
            if link.stream.has_nothing_to_read():  # as far as this side can know it is still good
                self.remove_idle(link)
                return link
            self.record_early_close(link)
            link.close()
        return None

    def _dial(self, entry: EndpointEntry) -> UpstreamConnection | None:
        if not self.budget.ensure_available(DescriptorUse.UPSTREAM):
            log_event(
                logger,
                logging.WARNING,
                "connect_without_descriptor",
                endpoint=entry.endpoint_id,
                open_descriptors=self.budget.used,
            )
            return None
        try:
            sock = dial(entry.address, self.close_oldest_idle)
        except OSError as problem:
            if problem.errno in OUT_OF_DESCRIPTORS_ERRNOS:
                log_event(
                    logger,
                    logging.WARNING,
                    "connect_without_descriptor",
                    endpoint=entry.endpoint_id,
                    open_descriptors=self.budget.used,
                )
            return None
        link = UpstreamConnection(self, entry, sock)
        self.loop.call_after(
            self.connect_timeout_for(entry.address).timeout_ms(), lambda: self._expire_connect(link)
        )
        return link

    def connect_timeout_for(self, address: tuple[str, int]) -> ConnectTimeout:
        """What is known of dials there; of those dialed longest ago nothing is kept."""
        found = self.connect_timeouts.get(address)
        if found is None:
            found = self.connect_timeouts[address] = ConnectTimeout(self.connect_timeout_ms)
            if len(self.connect_timeouts) > MAX_TRACKED_ENDPOINTS:
                self.connect_timeouts.popitem(last=False)
        self.connect_timeouts.move_to_end(address)
        return found

    def _expire_connect(self, connection: UpstreamConnection) -> None:
        attempt = connection.attempt
        if not connection.is_connecting or not connection.stream.is_open or attempt is None:
            return
        if (
            connection.stream.is_connected()
        ):  # guards against a loop that was busy: timers run before sockets are looked at
            connection.on_ready(WRITE)
        else:
            self.connect_timeout_for(connection.address).record_timeout()
            connection.withdraw_attempt(Result.CONNECT_FAILED)

    def close_oldest_idle(self) -> bool:
        """Close the connection that was idle the longest; False if there is none."""
        for link in self.idle_by_age:
            link.close()
            return True
        return False

    def _close_expired_idle(self) -> None:
        """Close what was idle for long, well before the next hop does: a request written to a connection that
        the other side has closed is a reset.
        """
        shortest = min(keeping.keep_alive_ms for keeping in self.keep_alive.values())
        self.loop.call_after(
            max(MIN_SWEEP_INTERVAL_MS, min(SWEEP_INTERVAL_MS, 0.25 * shortest)), self._close_expired_idle
        )
        for passing in list(self.streaming):
            passing.check_progress(self.loop.now())
        now = self.loop.now()
        for link in list(self.idle_by_age):
            if now - link.idle_since < shortest:
                break
            if now - link.idle_since >= link.keep_alive.keep_alive_ms:
                link.close()
