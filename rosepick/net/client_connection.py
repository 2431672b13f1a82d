"""One client connection: its socket events, timeouts and close."""

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
from ..core.request_ids import RequestIdTable
from ..decisions.permissions import CloseFacts, Denial, check_close
from ..http.server_protocol import ServerProtocol
from ..logs import log_event
from ..settings.config import NameIndexes
from .event_loop import READ, WRITE, EventLoop, ScheduledCall
from .listener_config import ListenerConfig
from .resource_budget import ResourceBudget
from .tcp_stream import NO_PROGRESS_TIMEOUT_MS, StreamFactory

logger = logging.getLogger(__name__)
# Closes that the router decides itself; all others are caused by the client or an upstream.
ROUTER_INITIATED_CLOSES = frozenset(
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
# Time to keep reading after the last response: with unread data, a close sends a reset, which can destroy it.
LINGER_MS = 500.0
LATE_FIRST_REQUEST_MS = 500.0  # minimum time for the rest of a first request whose first bytes arrive late
BODY_STALL_TIMEOUT_MS = 1_000.0  # maximum time without a body byte, once the head's timeout has passed
# Minimum average rate of a request body, once the head's timeout has passed: half the rate of a slow client.
MIN_BODY_BYTES_PER_MS = 32.0
# Maximum number of requests of one connection that begin in a turn of the loop. Guards against a client that
# sends hundreds of requests at once and so delays all others.
MAX_REQUESTS_PER_TURN = 1
UNREAD_RESPONSE_TIMEOUT_MS = 3_000.0  # maximum time without write progress after the response was due


class ConnectionHost(Protocol):
    """The interface of a listener towards its client connections."""

    loop: EventLoop
    budget: ResourceBudget
    engine: Engine
    names: NameIndexes
    config: ListenerConfig
    connection_table: ConnectionTable
    policy: ConnectionPolicy
    open_request_ids: set[bytes]
    request_ids: RequestIdTable
    is_shutting_down: bool
    is_shutdown_overdue: bool  # each response is the last of its connection, even before pipelined requests
    rejected_count: int

    @property
    def request_timeout_ms(self) -> float:
        """How long receiving a request head may take, in milliseconds."""

    def is_serving(self) -> bool:
        """Return whether new clients are accepted."""

    def record_request(self, connection: ClientConnection) -> None:
        """Record that a connection has begun to serve a request."""

    def reclaim_response_memory(self) -> None:
        """Close clients that do not read, if unread responses exceed their part of the memory."""

    def remove_connection(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Remove a connection that is being closed for `reason`."""

    def set_reading(self, connection: ClientConnection, enabled: bool) -> None:
        """Set whether the loop waits for data on a connection."""


class ClientConnection(ABC):
    """Handles the events and timeouts of one client connection; subclasses handle its requests."""

    record: ConnectionRecord  # entry in the connection table

    def __init__(self, listener: ConnectionHost, sock: socket.socket, make_stream: StreamFactory) -> None:
        self.listener = listener
        self.protocol = self.make_protocol()
        self.stalled_since: float | None = None  # start of the timeout of a partial request
        self._timed_request = 0  # count of requests begun when that timeout started
        self.response_awaited_until = listener.loop.now() + listener.request_timeout_ms
        self._linger_timer: ScheduledCall | None = None
        self.response_body: BodyStream | None = None  # body of the response that is being streamed
        self.last_received_at = 0.0
        self.received_since = 0.0  # earliest possible arrival of the latest data
        self.requests_left_in_turn = MAX_REQUESTS_PER_TURN
        self._continues_next_turn = False  # pipelined requests begin in the next turn
        self.accepted_since = listener.loop.now()  # earliest possible connect of the client
        self.has_read = False
        self._is_reading = True  # the router waits for data
        self._reading_since = self.accepted_since  # when it began to
        self._peer_closed = False  # the client has ended its side of the connection
        self.stream = make_stream(listener.loop, listener.budget, sock, self.on_ready)
        self._is_bulk = False
        self._set_bulk(True)  # until it has had a response

    def make_protocol(self) -> ServerProtocol:
        """Create the protocol parser of this connection."""
        listener = self.listener
        budget = listener.budget
        return ServerProtocol(lambda: listener.names, budget.body_buffers, budget.requests)

    @abstractmethod
    def _read(self) -> None:
        """Read and process received data."""

    @abstractmethod
    def _write_body(self) -> None:
        """Write data of a streamed response that was received from the upstream."""

    @abstractmethod
    def _start_next_request(self) -> None:
        """Serve the next request, if none is in progress."""

    @abstractmethod
    def _reject_broken_body(self) -> None:
        """Reject the current request if its streamed body is invalid."""

    @abstractmethod
    def abandon_request(self) -> None:
        """Abandon the current request and the response that is being streamed."""

    def current_client_id(self) -> str:
        """Return the client's id of the current request, for the log; empty if there is none."""
        return ""

    @abstractmethod
    def _handle_fault(self, error: Exception) -> None:
        """Send a 500 response after an exception, if one is due, and close the connection."""

    def on_ready(self, events: int) -> None:
        """Handle events of the socket."""
        self.requests_left_in_turn = MAX_REQUESTS_PER_TURN
        try:
            if events & WRITE:
                self.stream.flush()
                self._write_body()
            if events & READ:
                self._read()
            if self.protocol.has_pipelined():
                self._start_next_request()  # it may have waited until the last response was written
            self._update_state()
        except OSError:
            self.close_broken()
        except Exception as error:
            self._handle_fault(error)

    # ---------------------------------------------------------------------------------- connection state

    def _update_state(self) -> None:
        """Set the socket events to wait for; start the close once all responses are written."""
        if not self.stream.is_open:
            return
        unwritten = self.stream.has_unwritten()
        is_waiting = unwritten or self.protocol.has_partial_request or self.stream.has_partial_record()
        record = self.record
        now = self.listener.loop.now()
        self._update_stalled_since(is_waiting, now)
        if not unwritten and self._linger_timer is None:
            if self.protocol.is_done:
                self.listener.connection_table.mark_lingering(record, now)
                self.stream.shutdown_write()
                self._linger_timer = self.listener.loop.call_after(LINGER_MS, self.close)
            elif record.state is ConnectionState.ACTIVE and self.protocol.is_idle():
                self.listener.connection_table.mark_idle(record, now)
        has_next_request = self.protocol.has_pipelined() and not self.protocol.response_pending
        if (
            self._peer_closed
            and not (unwritten or has_next_request)
            and self._linger_timer is None
            and self.response_body is None
        ):
            self.close()  # every response was written
            return
        # Do not read while the pipeline is full: pipelined requests stay in the socket and do not fill the
        # memory. Do not wait for data after the client's end of input: the socket stays readable without
        # data.
        body = self.protocol.body_stream
        is_full = (
            self.protocol.pipeline_is_full()
            or self._peer_closed
            or (body is not None and body.pause_if_full())
        )
        reads = self._linger_timer is not None or not is_full
        if reads and not self._is_reading:
            self._reading_since = now
        self._is_reading = reads
        self.listener.set_reading(self, reads or self._peer_closed)
        self.stream.set_events((READ if reads else 0) | (WRITE if unwritten else 0))
        self._set_bulk(self._has_bulk_work())
        if has_next_request and not unwritten and not self._continues_next_turn:
            self._continues_next_turn = True
            self.listener.loop.call_next_turn(self._continue_requests)

    def _has_bulk_work(self) -> bool:
        """Return whether the client is new, has sent several requests, or sends or gets a long body."""
        return (
            self.record.request_count == 0
            or self.protocol.has_pipelined()
            or self.protocol.body_stream is not None
            or self.response_body is not None
        )

    def _set_bulk(self, is_bulk: bool) -> None:
        """Set whether other clients are served first; they are if this one has sent requests at once."""
        if is_bulk != self._is_bulk:
            self._is_bulk = is_bulk
            self.stream.set_bulk(is_bulk)

    def _continue_requests(self) -> None:
        """Begin further pipelined requests in a new turn of the loop."""
        self._continues_next_turn = False
        if self.stream.is_open:
            self.on_ready(0)

    def _update_stalled_since(self, is_waiting: bool, now: float) -> None:
        """Start the timeout of a partial request; each pipelined request has one of its own."""
        if not is_waiting:
            self.stalled_since = None
        elif self.stalled_since is None or self._timed_request != self.protocol.begun_count:
            self.stalled_since = self._request_started_at(now)
            self._timed_request = self.protocol.begun_count

    def _request_started_at(self, now: float) -> float:
        """Return the time at which the request timeout starts; later data does not restart it.

        For the first request it starts when the connection is accepted, because a client that sends nothing
        may not stay much longer either. The rest of a first request has at least `LATE_FIRST_REQUEST_MS`.
        """
        config = self.listener.config
        if (
            self.record.state is not ConnectionState.NEW
            or config.limits.silent_timeout_ms > 2 * config.request_timeout_ms
        ):
            return now
        return max(self.record.opened_at, now - config.request_timeout_ms + LATE_FIRST_REQUEST_MS)

    def _client_stopped_reading(self, now: float) -> bool:
        """Return whether the client does not read its response, which would occupy memory indefinitely."""
        idle_ms = now - self.stream.last_write_at
        return idle_ms >= NO_PROGRESS_TIMEOUT_MS or (
            self.response_body is None
            and now >= self.response_awaited_until
            and idle_ms >= UNREAD_RESPONSE_TIMEOUT_MS
        )

    def _client_stopped_sending(self, now: float, since: float) -> bool:
        """Return whether the client sends its request head too late or its body below the minimum rate."""
        protocol = self.protocol
        # While the router did not read, it cannot know whether the client sent.
        received_at = max(self.last_received_at, self._reading_since)
        overdue_ms = now - max(since, self._reading_since) - self.listener.request_timeout_ms
        if overdue_ms < 0 or (protocol.response_pending and protocol.body_stream is None):
            return False
        if protocol.body_stream is not None and protocol.body_stream.is_paused:
            self.stalled_since = now - self.listener.request_timeout_ms  # this router has paused reading
            return False
        return (
            protocol.is_in_head()
            or now - received_at >= BODY_STALL_TIMEOUT_MS
            or protocol.body_bytes < MIN_BODY_BYTES_PER_MS * overdue_ms
        )

    def check_timeouts(self, now: float) -> None:
        """Close the connection if a partial request or an unread response exceeds its timeout."""
        if self.stalled_since is None:
            return
        if self.stream.has_unwritten():
            if self._client_stopped_reading(now):
                self.close_slow()
        elif self._client_stopped_sending(now, self.stalled_since):
            if not self.stream.is_established():
                self.close_slow()
                return
            self.protocol.reject_timeout()
            self._start_next_request()
            self._reject_broken_body()
            self._update_state()

    def close_slow(self) -> None:
        """Close the connection because its client reads or sends too slowly."""
        self.abandon_request()
        self.close(CloseReason.SLOW_CLIENT)

    def close_stalled(self) -> None:
        """Close the connection, whose client has stopped within a request; its slot is needed."""
        if self.protocol.receives_current_body():
            self.abandon_request()
            self.protocol.response_pending = False
        self.close(CloseReason.STALLED_REQUEST)

    def close_denial(self, may_drop_partial: bool = False, is_new: bool = False) -> Denial | None:
        """Return why the router may not close the connection on its own initiative; None if it may.

        Args:
            may_drop_partial: whether a partial request, which has stalled, may be dropped.
            is_new: whether its first request may be in transit.
        """
        has_work = not (self.stream.has_nothing_to_read() if may_drop_partial else self.is_idle())
        # No answer is due before the last byte of a request.
        awaits_answer = self.protocol.response_pending and not (
            may_drop_partial and self.protocol.receives_current_body()
        )
        return check_close(
            CloseFacts(
                is_router_initiated=True,
                owes_answer=awaits_answer or self.stream.has_unwritten(),
                expects_request=has_work or is_new,
            )
        )

    def is_idle(self) -> bool:
        """Return whether the connection is between requests, without unwritten or unread data."""
        stream = self.stream
        return (
            self.protocol.is_idle()
            and not (stream.has_unwritten() or stream.has_partial_record())
            and stream.has_nothing_to_read()
        )

    def close_gracefully(self, reason: CloseReason) -> None:
        """Close an idle connection after reading and dropping any data that still arrives.

        A request that arrives during the close is not answered; its client repeats it on another connection.
        A close with unread data would send a reset, which can destroy the last response.
        """
        self.record.close_reason = reason
        self.protocol.close()
        self._update_state()

    def close(self, reason: CloseReason = CloseReason.CLIENT_CLOSED) -> None:
        """Close the connection; the client can detect an incomplete response."""
        self._check_close(reason)
        self.abandon_request()
        if self._linger_timer is not None:
            self._linger_timer.cancel()  # otherwise the timer keeps the closed connection in memory
        self.protocol.close()
        # Remove the connection before its stream is closed: the close releases a descriptor, and the
        # listener may accept a connection at once.
        self.listener.remove_connection(self, reason)
        self.stream.close()

    def _check_close(self, reason: CloseReason) -> None:
        """Log a close before a due response; record a violation if the router decided it itself."""
        owes_answer = self.protocol.response_pending or self.stream.has_unwritten()
        if owes_answer:
            log_event(
                logger,
                logging.INFO,
                "connection_closed_unanswered",
                reason=(self.record.close_reason or reason).value,
                client_id=self.current_client_id(),
                unwritten=self.stream.has_unwritten(),
                open_ms=self.listener.loop.now() - self.record.opened_at,
            )
        facts = CloseFacts(reason in ROUTER_INITIATED_CLOSES, owes_answer, expects_request=False)
        denial = check_close(facts)
        if denial is not None:
            record_violation(f"close_{denial.value}", reason=reason.value)

    def close_broken(self) -> None:
        """Close the connection after a network error."""
        self.abandon_request()
        self.close(CloseReason.CONNECTION_LOST)
