"""Graceful shutdown: the router accepts connections for a short time and finishes pending requests.

A request that is pending, a body that is still received and a response that is still forwarded end by their
own timeouts, so the shutdown has no common deadline for them: a long body may need much longer than the
deadline of its request.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..connections.connection_table import CloseReason, ConnectionState
from ..connections.eviction import NEW_CONNECTION_GRACE_MS
from ..core.engine import Engine
from ..logs import log_event
from .client_connection import ClientConnection
from .event_loop import EventLoop
from .listener import Listener

if TYPE_CHECKING:
    from .batch_listener import BatchListener  # imported only if it is configured

logger = logging.getLogger(__name__)
MIN_ACCEPT_AFTER_SIGTERM_MS = 600.0  # minimum time during which new connections are accepted
# Time without a new connection after which the listener closes before the maximum.
QUIET_BEFORE_CLOSE_MS = 150.0
MAX_ACCEPT_AFTER_SIGTERM_MS = 1_000.0  # maximum time during which new connections are accepted
SHUTDOWN_GRACE_MS = 100.0  # time from the last possible deadline until the shutdown is overdue
# SIGKILL may follow SIGTERM after the longest deadline, or `MAX_AWAITED_DEADLINE_MS`, and this time.
KILL_AFTER_DEADLINE_MS = 700.0
MAX_AWAITED_DEADLINE_MS = 3_000.0
TIME_FOR_LAST_ANSWERS_MS = 100.0  # all requests are answered this long before that
# Longest time of one body in transit once the shutdown is overdue. Guards against peers that go on for ever.
LONGEST_BODY_BYTES = 32 * 1024 * 1024
SLOWEST_BYTES_PER_MS = 64
MAX_TRANSFER_MS = LONGEST_BODY_BYTES / SLOWEST_BYTES_PER_MS
SHUTDOWN_POLL_INTERVAL_MS = 20.0  # interval of the checks whether requests are pending


class GracefulShutdown:
    """Stops the loop once no request is pending and no body is in transit."""

    def __init__(
        self,
        loop: EventLoop,
        listener: Listener,
        engine: Engine,
        batch_listener: BatchListener | None,
        longest_deadline_ms: Callable[[], float],
    ) -> None:
        """Create the state of a shutdown that has not started.

        Args:
            loop: the event loop, which is stopped at the end.
            listener: the listener, which is closed once it may stop accepting.
            engine: the engine; the shutdown waits for its pending requests.
            batch_listener: the batch listener, if any; the shutdown waits for its batches.
            longest_deadline_ms: returns the longest deadline of any request class, milliseconds.
        """
        self._loop = loop
        self._listener = listener
        self._engine = engine
        self._batch_listener = batch_listener
        self._longest_deadline_ms = longest_deadline_ms
        self._started_at = 0.0

    def begin(self) -> None:
        """Start the shutdown; the loop stops once it is complete.

        Connections are accepted for at least `MIN_ACCEPT_AFTER_SIGTERM_MS`. A listening socket that was
        inherited is closed at once.
        """
        self._listener.is_shutting_down = True
        if self._listener.shares_inherited_socket:
            self._listener.close()  # the new process accepts the connections in its queue
        self._started_at = self._loop.now()
        self._loop.call_after(MIN_ACCEPT_AFTER_SIGTERM_MS, self._continue)

    def elapsed_ms(self) -> float:
        """Return the time since the start of the shutdown, in milliseconds."""
        return self._loop.now() - self._started_at

    def _continue(self) -> None:
        now = self._loop.now()
        longest_ms = self._longest_deadline_ms()
        self._close_idle_connections(now)
        if self._listener.is_open and self._may_stop_accepting(now, longest_ms):
            self._listener.close()
        overdue_ms = self.elapsed_ms() - MAX_ACCEPT_AFTER_SIGTERM_MS - longest_ms - SHUTDOWN_GRACE_MS
        self._fail_late_requests(now, longest_ms)
        if not self._is_pending() or overdue_ms >= MAX_TRANSFER_MS:
            self._listener.close()
            self._loop.stop()
            return
        if overdue_ms >= 0 and not self._listener.is_shutdown_overdue:
            self._begin_overdue()
        self._loop.call_after(SHUTDOWN_POLL_INTERVAL_MS, self._continue)

    def _fail_late_requests(self, now: float, longest_ms: float) -> None:
        """Fail the requests whose answers would come after the earliest SIGKILL.

        They began after SIGTERM, or state a longer time than any class allows. A write that is complete only
        later has as much time as any request.
        """
        kill_at = self._started_at + min(longest_ms, MAX_AWAITED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS
        last_answers_at = kill_at - TIME_FOR_LAST_ANSWERS_MS
        if now >= last_answers_at:
            self._engine.fail_requests_begun_by(max(last_answers_at, now - longest_ms))

    def _close_idle_connections(self, now: float) -> None:
        idle = [
            connection
            for connection in self._listener.connections
            if connection.close_denial(is_new=_is_new(connection, now)) is None
        ]
        for connection in idle:
            connection.close_gracefully(CloseReason.SHUTDOWN)

    def _is_pending(self) -> bool:
        """Return whether connections may still arrive, requests are pending or connections are open."""
        return bool(self._listener.is_open or self._engine.pending_count or self._listener.connections)

    def _begin_overdue(self) -> None:
        """Make each response the last of its connection from now on, and log what the shutdown waits for."""
        self._listener.is_shutdown_overdue = True
        connections = self._listener.connections
        log_event(
            logger,
            logging.INFO,
            "shutdown_overdue",
            pending_requests=self._engine.pending_count,
            connections=len(connections),
            responses_in_transit=sum(each.response_body is not None for each in connections),
            uploads_in_transit=sum(each.protocol.receives_current_body() for each in connections),
        )

    def _may_stop_accepting(self, now: float, longest_ms: float) -> bool:
        """Return whether the listener may stop accepting.

        It must accept while batches are in progress, because their items arrive as connections. Batches are
        limited to the longest deadline, like all requests.
        """
        elapsed_ms = self.elapsed_ms()
        if self._batch_listener is not None and self._batch_listener.is_active() and elapsed_ms < longest_ms:
            self._batch_listener.shorten_deadlines(self._started_at + longest_ms)
            return False
        if self._listener.has_waiting_connections() and elapsed_ms < longest_ms:
            return False  # accepts fail temporarily: a close would reset the waiting connections
        return (
            now - self._listener.last_accepted_at >= QUIET_BEFORE_CLOSE_MS
            or elapsed_ms >= MAX_ACCEPT_AFTER_SIGTERM_MS
        )


def _is_new(connection: ClientConnection, now: float) -> bool:
    """Return whether the first request of a new connection may be in transit.

    Closing the connection while its client sends a request would lose that request.
    """
    return (
        connection.record.state is ConnectionState.NEW
        and now - connection.record.ready_at < NEW_CONNECTION_GRACE_MS
    )
