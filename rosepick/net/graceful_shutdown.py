"""Graceful shutdown of a router: it accepts for a short while and serves what is pending."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..connections.connection_table import CloseReason, ConnectionState
from ..connections.eviction import NEW_CONNECTION_GRACE_MS
from ..core.engine import Engine
from .client_connection import ClientConnection
from .event_loop import EventLoop
from .listener import Listener

if TYPE_CHECKING:
    from .batch_listener import BatchListener  # loaded only where it is configured

MIN_ACCEPT_AFTER_SIGTERM_MS = 600.0  # new connections are accepted for at least this time ...
QUIET_BEFORE_CLOSE_MS = 150.0  # ... and until none arrived for this time ...
MAX_ACCEPT_AFTER_SIGTERM_MS = 1_000.0  # ... but for no longer than this
SHUTDOWN_GRACE_MS = 100.0  # after the longest deadline from there the process ends, whatever is pending
SHUTDOWN_POLL_INTERVAL_MS = 20.0


class GracefulShutdown:
    """Stops the loop once no request is pending, or the longest deadline has passed."""

    def __init__(
        self,
        loop: EventLoop,
        listener: Listener,
        engine: Engine,
        batch_listener: BatchListener | None,
        longest_deadline_ms: Callable[[], float],
    ) -> None:
        """Create the state of a shutdown that has not begun.

        Args:
            loop: is stopped at the end.
            listener: is closed once it may stop accepting.
            engine: whose pending requests are waited for.
            batch_listener: whose batches are waited for, if there is one.
            longest_deadline_ms: returns the longest deadline of any request class.
        """
        self._loop = loop
        self._listener = listener
        self._engine = engine
        self._batch_listener = batch_listener
        self._longest_deadline_ms = longest_deadline_ms
        self._started_at = 0.0

    def begin(self) -> None:
        """Begin the shutdown."""
        self._listener.is_shutting_down = True
        if self._listener.shares_inherited_socket:
            self._listener.close()  # connections that wait there belong to the new process
        self._started_at = self._loop.now()
        self._loop.call_after(MIN_ACCEPT_AFTER_SIGTERM_MS, self._continue)

    def _continue(self) -> None:
        now = self._loop.now()
        idle = [
            connection
            for connection in self._listener.connections
            if connection.close_denial(is_new=_is_new(connection, now)) is None
        ]
        for connection in idle:
            connection.close_gracefully(CloseReason.SHUTDOWN)
        longest_ms = self._longest_deadline_ms()
        if self._listener.is_open and self._may_stop_accepting(now, longest_ms):
            self._listener.close()
        is_overdue = now - self._started_at >= MAX_ACCEPT_AFTER_SIGTERM_MS + longest_ms + SHUTDOWN_GRACE_MS
        is_pending = self._listener.is_open or self._engine.pending_count or self._listener.connections
        if is_overdue or not is_pending:
            self._listener.close()
            self._loop.stop()
        else:
            self._loop.call_after(SHUTDOWN_POLL_INTERVAL_MS, self._continue)

    def _may_stop_accepting(self, now: float, longest_ms: float) -> bool:
        """Return whether to stop accepting.

        Not before batches have their items, which arrive as connections too; batches must be complete when
        any request must.
        """
        elapsed_ms = now - self._started_at
        if self._batch_listener is not None and self._batch_listener.is_active() and elapsed_ms < longest_ms:
            self._batch_listener.shorten_deadlines(self._started_at + longest_ms)
            return False
        if self._listener.has_waiting_connections() and elapsed_ms < longest_ms:
            return False  # accepts fail for a moment, as without a descriptor: a close would reset what waits
        return (
            now - self._listener.last_accepted_at >= QUIET_BEFORE_CLOSE_MS
            or elapsed_ms >= MAX_ACCEPT_AFTER_SIGTERM_MS
        )


def _is_new(connection: ClientConnection, now: float) -> bool:
    """Whether a connection is so new that its first request may be on the way.

    Guards against a request that is lost because its connection was closed while it was being sent.
    """
    return (
        connection.record.state is ConnectionState.NEW
        and now - connection.record.ready_at < NEW_CONNECTION_GRACE_MS
    )
