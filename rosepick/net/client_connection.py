"""Lifetime of one client connection: its events, its timeouts and its close."""

from __future__ import annotations

import logging
import socket
from abc import ABC, abstractmethod
from typing import Protocol

from ..connections.connection_table import CloseReason, ConnectionRecord, ConnectionState, ConnectionTable
from ..connections.policy import ConnectionPolicy
from ..core.body_stream import BodyStream
from ..core.engine import Engine
from ..core.invariants import record_violation
from ..decisions.permissions import CloseFacts, Denial, check_close
from ..http.server_protocol import ServerProtocol
from ..logs import log_event
from ..settings.config import NameIndexes
from .event_loop import READ, WRITE, EventLoop, ScheduledCall
from .listener_config import ListenerConfig
from .resource_budget import ResourceBudget
from .tcp_stream import NO_PROGRESS_TIMEOUT_MS, StreamFactory

logger = logging.getLogger(__name__)
# other closes follow from what the client or an upstream did
CLOSES_AT_OWN_WILL = frozenset(
    {
        CloseReason.NOT_WORTH_KEEPING,
        CloseReason.CAPACITY,
        CloseReason.DESCRIPTORS,
        CloseReason.ADDRESS_QUOTA,
        CloseReason.NO_REQUEST,
        CloseReason.IDLE_TIMEOUT,
        CloseReason.STALLED_REQUEST,
        CloseReason.INTERNAL_ERROR,
        CloseReason.SHUTDOWN,
    }
)
LINGER_MS = 500.0  # to read on after a response that precedes the request's end: a reset could overtake it
LATE_FIRST_REQUEST_MS = 500.0  # for the rest of a first request that began late
BODY_STALL_TIMEOUT_MS = 1_000.0  # without a byte of a body, once the time for its head has passed
MIN_BODY_BYTES_PER_MS = 32.0  # average rate of a body from then on: half of what a slow client sends
UNREAD_RESPONSE_TIMEOUT_MS = 3_000.0  # without progress of a buffered response that nobody waits for any more


class ConnectionHost(Protocol):
    """What a client connection needs of the listener that accepted it."""

    loop: EventLoop
    budget: ResourceBudget
    engine: Engine
    names: NameIndexes
    config: ListenerConfig
    connection_table: ConnectionTable
    policy: ConnectionPolicy
    open_request_ids: set[bytes]
    is_shutting_down: bool
    rejected_count: int

    @property
    def request_timeout_ms(self) -> float:
        """How long receiving a request head may take, in milliseconds."""

    def is_serving(self) -> bool:
        """Whether new clients are accepted."""

    def record_request(self, connection: ClientConnection) -> None:
        """Record that a connection has begun to serve a request."""

    def forget(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Remove a connection that closes, for the given reason."""

    def set_reading(self, connection: ClientConnection, enabled: bool) -> None:
        """Set whether a connection is read."""


class ClientConnection(ABC):
    """One client connection, without the requests that it carries."""

    record: ConnectionRecord  # its entry in the connection table

    def __init__(self, listener: ConnectionHost, sock: socket.socket, make_stream: StreamFactory) -> None:
        self.listener = listener
        self.protocol = self.make_protocol()
        self.stalled_since: float | None = None
        self.response_awaited_until = listener.loop.now() + listener.request_timeout_ms
        self._linger_timer: ScheduledCall | None = None
        self.response_body: BodyStream | None = None  # of the response that is being streamed
        self.last_received_at = 0.0
        self.received_since = 0.0  # before which the data received last cannot have arrived
        self.accepted_since = listener.loop.now()  # before which its client cannot have connected
        self.has_read = False
        self._peer_closed = False  # the client has ended its side of the connection
        self.stream = make_stream(listener.loop, listener.budget, sock, self.on_ready)

    def make_protocol(self) -> ServerProtocol:
        """Create the parser of this connection's requests."""
        listener = self.listener
        return ServerProtocol(lambda: listener.names, listener.budget.body_buffers)

    @abstractmethod
    def _read(self) -> None:
        """Read and process received data."""

    @abstractmethod
    def _write_body(self) -> None:
        """Write received data of a streamed response."""

    @abstractmethod
    def _start_next_request(self) -> None:
        """Serve the next request, if none is in hand."""

    @abstractmethod
    def _reject_broken_body(self) -> None:
        """End the request in hand if its streamed body was rejected."""

    @abstractmethod
    def abandon_request(self) -> None:
        """Give up the request in hand and the response that is being streamed."""

    def request_in_hand(self) -> str:
        """Return the client's id of the request in hand, for the log; empty if there is none."""
        return ""

    @abstractmethod
    def _handle_fault(self, error: Exception) -> None:
        """Answer 500 after an exception, and close the connection; the process continues."""

    def on_ready(self, events: int) -> None:
        """Handle events of the socket."""
        try:
            if events & WRITE:
                self.stream.flush()
                self._write_body()
            if events & READ:
                self._read()
            self._update_state()
        except OSError:
            self.close_broken()
        except Exception as error:
            self._handle_fault(error)

    # ---------------------------------------------------------------------------------- connection state

    def _update_state(self) -> None:
        """Set the events to wait for; begin the close once everything is answered and written."""
        if not self.stream.is_open:
            return
        unwritten = self.stream.has_unwritten()
        is_waiting = unwritten or self.protocol.has_partial_request or self.stream.has_partial_record()
        record = self.record
        now = self.listener.loop.now()
        started_at = self._request_started_at(now)
        self.stalled_since = (self.stalled_since or started_at) if is_waiting else None
        if not unwritten and self._linger_timer is None:
            if self.protocol.is_done:
                self.listener.connection_table.mark_lingering(record, now)
                self.stream.shutdown_write()
                self._linger_timer = self.listener.loop.call_after(LINGER_MS, self.close)
            elif record.state is ConnectionState.ACTIVE and self.protocol.is_idle():
                self.listener.connection_table.mark_idle(record, now)
        if self._peer_closed and not unwritten and self._linger_timer is None and self.response_body is None:
            self.close()  # every response was written
            return
        # Guards against clients that fill the memory with pipelined requests: these stay in the socket. One
        # that has ended its side of the connection stays readable for ever, without data.
        body = self.protocol.body_stream
        is_full = (
            self.protocol.pipeline_is_full()
            or self._peer_closed
            or (body is not None and body.pause_if_full())
        )
        reads = self._linger_timer is not None or not is_full
        self.listener.set_reading(self, reads or self._peer_closed)
        self.stream.set_events((READ if reads else 0) | (WRITE if unwritten else 0))

    def _request_started_at(self, now: float) -> float:
        """Return the time from which receiving the request counts; data that trickles in does not reset it.

        The first request counts from the begin of the connection, as a client that sends nothing may not stay
        much longer either, but has `LATE_FIRST_REQUEST_MS` in any case.
        """
        config = self.listener.config
        if (
            self.record.state is not ConnectionState.NEW
            or config.limits.silent_timeout_ms > 2 * config.request_timeout_ms
        ):
            return now
        return max(self.record.opened_at, now - config.request_timeout_ms + LATE_FIRST_REQUEST_MS)

    def _client_stopped_reading(self, now: float) -> bool:
        """Whether the response is not being read: guards against memory held for nobody."""
        idle_ms = now - self.stream.last_write_at
        return idle_ms >= NO_PROGRESS_TIMEOUT_MS or (
            self.response_body is None
            and now >= self.response_awaited_until
            and idle_ms >= UNREAD_RESPONSE_TIMEOUT_MS
        )

    def _client_stopped_sending(self, now: float, since: float) -> bool:
        """Whether a request is not being received: its head in time, its body at the minimum rate."""
        protocol = self.protocol
        overdue_ms = now - since - self.listener.request_timeout_ms
        if overdue_ms < 0 or (protocol.response_pending and protocol.body_stream is None):
            return False
        if protocol.body_stream is not None and protocol.body_stream.is_paused:
            self.stalled_since = now - self.listener.request_timeout_ms  # it is this side that does not read
            return False
        return (
            protocol.is_in_head()
            or now - self.last_received_at >= BODY_STALL_TIMEOUT_MS
            or protocol.body_bytes < MIN_BODY_BYTES_PER_MS * overdue_ms
        )

    def check_timeouts(self, now: float) -> None:
        """Close the connection if a partial request or an unread response holds it for too long."""
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

    def close_denial(self, may_drop_partial: bool = False, is_new: bool = False) -> Denial | None:
        """Return why the router may not close the connection at its own will; None if it may.

        Args:
            may_drop_partial: a request that has begun to arrive is no reason to keep it, as it has stalled.
            is_new: its first request may be on the way.
        """
        has_work = not (self.stream.has_nothing_to_read() if may_drop_partial else self.is_idle())
        return check_close(
            CloseFacts(
                at_own_will=True,
                owes_answer=self.protocol.response_pending or self.stream.has_unwritten(),
                expects_request=has_work or is_new,
            )
        )

    def is_idle(self) -> bool:
        """Whether the connection is between requests, with nothing unwritten or unread."""
        stream = self.stream
        return (
            self.protocol.is_idle()
            and not (stream.has_unwritten() or stream.has_partial_record())
            and stream.has_nothing_to_read()
        )

    def close_gracefully(self, reason: CloseReason) -> None:
        """Close an idle connection after reading, and dropping, what the client still sends.

        A request that crosses the close is not answered; its client repeats it elsewhere. Guards against a
        close with unread data: that is a reset, which can destroy the last response.
        """
        self.record.close_reason = reason
        self.protocol.close()
        self._update_state()

    def close(self, reason: CloseReason = CloseReason.CLIENT_CLOSED) -> None:
        """Close the connection; the client notices an incomplete response."""
        self._check_close(reason)
        self.abandon_request()
        if self._linger_timer is not None:
            self._linger_timer.cancel()  # guards against closed connections that a timer keeps in memory
        self.protocol.close()
        self.listener.forget(self, reason)  # first: closing the stream may accept another connection at once
        self.stream.close()

    def _check_close(self, reason: CloseReason) -> None:
        """Log a close that takes a client's answer away; count it if it is at the router's own will."""
        owes_answer = self.protocol.response_pending or self.stream.has_unwritten()
        if owes_answer:
            log_event(
                logger,
                logging.INFO,
                "connection_closed_unanswered",
                reason=(self.record.close_reason or reason).value,
                client_id=self.request_in_hand(),
                unwritten=self.stream.has_unwritten(),
                open_ms=self.listener.loop.now() - self.record.opened_at,
            )
        facts = CloseFacts(reason in CLOSES_AT_OWN_WILL, owes_answer, expects_request=False)
        denial = check_close(facts)
        if denial is not None:
            record_violation(f"close_{denial.value}", reason=reason.value)

    def close_broken(self) -> None:
        """Close a connection that broke."""
        self.abandon_request()
        self.close(CloseReason.CONNECTION_LOST)
