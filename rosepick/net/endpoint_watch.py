"""Watch of the discovery service: one long poll after another on a persistent connection.

A watch can fall silent without an error. A change counts as notified `MAX_NOTIFICATION_DELAY_MS` after the
service had it and was reachable; `max_notification_delay_ms` is the sum of the terms of that bound.
"""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable

from ..connections.descriptor_budget import DescriptorUse
from ..http.discovery import DiscoveryError, EndpointListReader, encode_list_request
from ..logs import log_event, log_exception
from ..settings.reader import SettingsReader
from .event_loop import READ, WRITE, EventLoop, ScheduledCall
from .resource_budget import ResourceBudget
from .tcp_stream import TcpStream, dial

logger = logging.getLogger(__name__)
FIRST_POLL_WAIT_MS = 0.0  # a new watch first polls, without waiting, for what it has missed
LONG_POLL_WAIT_MS = 2_500.0  # a watch that fell silent is noticed only after it
RESPONSE_GRACE_MS = 1_500.0  # beyond that wait, on a connection that has responded before
# for the first response of a new watch: all routers may poll anew, and the service answers in turn
FIRST_RESPONSE_TIMEOUT_MS = 3_000.0
CONNECT_TIMEOUT_MS = 1_000.0  # the kernel retransmits a SYN after a second
MAX_NOTIFICATION_DELAY_MS = 6_000.0  # after which a change counts as notified, whatever became of the polls


def max_notification_delay_ms(first_retry_ms: float, max_retry_ms: float, timer_step_ms: float) -> float:
    """Return the longest time, in milliseconds, from a change to the poll that delivers it.

    The time counts from when the service has the change and is reachable. The poll itself has the rest of
    `MAX_NOTIFICATION_DELAY_MS`.

    Args:
        first_retry_ms: delay of the decision module before it polls again after one failure.
        max_retry_ms: the longest such delay.
        timer_step_ms: interval of the decision module's timer.
    """
    silent_poll = LONG_POLL_WAIT_MS + RESPONSE_GRACE_MS + first_retry_ms  # it fell silent right at its begin
    # the service is back just after a poll was sent that is never answered
    unanswered_poll = FIRST_RESPONSE_TIMEOUT_MS + max_retry_ms
    return max(silent_poll, unanswered_poll) + timer_step_ms + CONNECT_TIMEOUT_MS


class EndpointWatch:
    """Follows the endpoint list while watching; a failure ends the watch."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        address: tuple[str, int],
        revision: Callable[[], int],
        on_list: Callable[[SettingsReader], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.address = address
        self.revision = revision
        self.on_list = on_list
        self.on_failure = on_failure
        self.is_active = False
        self._stream: TcpStream | None = None
        self._connecting = False
        self._unsent = b""
        self._response = EndpointListReader()
        self._timeout_timer: ScheduledCall | None = None
        self._response_timeout_ms = 0.0  # once the poll can be written
        self._needs_full_list = False  # after a switch, until a list was received
        self.poll_count = 0  # polls begun since the start; the number of the latest one
        self._poll_begun_at = 0.0

    def set_watching(self, enabled: bool) -> None:
        """Start or stop the watch; one that is active continues as it is."""
        if enabled and not self.is_active:
            self.is_active = True
            self._poll(FIRST_POLL_WAIT_MS)
        elif not enabled:
            self._stop()

    def switch_discovery(self, address: tuple[str, int]) -> None:
        """Follow another discovery service, beginning with its full list.

        Guards against the revision held, which means something else there. The held list stays in force, and
        no failure is reported.
        """
        self._stop()
        self.address = address
        self.is_active = True
        self._needs_full_list = True
        self._poll(FIRST_POLL_WAIT_MS)

    def _poll(self, wait_ms: float) -> None:
        """Poll for lists newer than the revision held, or for the full list if that is needed."""
        host = f"{self.address[0]}:{self.address[1]}"
        after_revision = None if self._needs_full_list else self.revision()
        self._unsent = encode_list_request(host, after_revision, wait_ms)
        self._response = EndpointListReader()
        self._response_timeout_ms = wait_ms + RESPONSE_GRACE_MS if wait_ms else FIRST_RESPONSE_TIMEOUT_MS
        self._log_poll(after_revision, wait_ms)
        try:
            if self._stream is None:
                self._dial()
            else:
                self._set_timeout(self._response_timeout_ms, "silent")
                self._write()
        except OSError as error:
            self._fail(str(error))

    def _log_poll(self, after_revision: int | None, wait_ms: float) -> None:
        self.poll_count += 1
        self._poll_begun_at = self.loop.now()
        log_event(
            logger,
            logging.INFO,
            "discovery_poll",
            poll=self.poll_count,
            after="all" if after_revision is None else after_revision,
            wait_ms=wait_ms,
            new_connection=self._stream is None,
        )

    def _elapsed_ms(self) -> float:
        """Return the time since the latest poll began, in milliseconds."""
        return self.loop.now() - self._poll_begun_at

    def _set_timeout(self, timeout_ms: float, reason: str) -> None:
        """Fail the poll if its next step takes longer than `timeout_ms`."""
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self._timeout_timer = self.loop.call_after(timeout_ms, lambda: self._fail(reason))

    def _dial(self) -> None:
        """Connect; a client's descriptor is reclaimed if needed, as there is no upstream without a list."""
        if not self.budget.ensure_available(DescriptorUse.DISCOVERY):
            raise OSError(errno.EMFILE, "no descriptor for discovery")
        self._set_timeout(CONNECT_TIMEOUT_MS, "no connection")
        self._connecting = True
        sock = dial(self.address, self.budget.reclaim_one)
        self._stream = TcpStream(self.loop, self.budget, sock, self._on_ready, WRITE, DescriptorUse.DISCOVERY)

    def _on_ready(self, events: int) -> None:
        stream = self._stream
        if stream is None:
            return
        try:
            if self._connecting:
                stream.finish_connect()
                self._connecting = False
                self._set_timeout(self._response_timeout_ms, "silent")
                stream.set_events(READ)
                self._write()
            elif events & READ:
                self._read(stream)
            else:
                self._write()
        except (OSError, DiscoveryError, ValueError) as error:
            self._fail(str(error))
        except Exception as error:
            self.loop.fault_count += 1
            log_exception(logger, "discovery_fault", error, count=self.loop.fault_count)
            self._fail("fault")

    def _write(self) -> None:
        assert self._stream is not None
        if self._unsent:
            self._unsent = self._unsent[self._stream.write(self._unsent) :]
            self._stream.set_events(READ | WRITE if self._unsent else READ)

    def _read(self, stream: TcpStream) -> None:
        data = stream.read()
        if data is None:
            return
        reply = self._response.feed(data) if data else self._response.feed_eof()
        if reply is None:
            return
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()  # before the list is applied, which may take long
        if not reply.reusable or not data:
            self._close()
        log_event(
            logger, logging.INFO, "discovery_answer", poll=self.poll_count, elapsed_ms=self._elapsed_ms()
        )
        self.on_list(reply.document)  # ValueError if it is malformed
        self._needs_full_list = False
        if self.is_active:
            self._poll(LONG_POLL_WAIT_MS)

    def _fail(self, reason: str) -> None:
        log_event(
            logger,
            logging.WARNING,
            "discovery_failed",
            reason=reason,
            poll=self.poll_count,
            elapsed_ms=self._elapsed_ms(),
        )
        self._stop()
        self.on_failure()

    def _stop(self) -> None:
        self.is_active = False
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self._close()

    def _close(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()
