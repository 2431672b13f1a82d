"""The discovery watch: one long poll after another on a connection that is kept.

A watch may fall silent without a word, and what it misses then counts as told all the same, `TOLD_BY` after
discovery had it and could be reached. `oldest` is how long that may take here, as the sum of its terms.
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
FIRST_POLL_WAIT_MS = 0.0  # a new watch first asks what it has missed, without waiting
LONG_POLL_WAIT_MS = 2_500.0  # of a long poll: that a watch is silent is seen only after it
RESPONSE_GRACE_MS = 1_500.0  # beyond that wait, on a connection that answered before
# for the first answer of a new watch: all routers may ask anew, and calls take turns
FIRST_RESPONSE_TIMEOUT_MS = 3_000.0
# for the connection to come up: the system sends its first packet again after a second
CONNECT_TIMEOUT_MS = 1_000.0
MAX_NOTIFICATION_DELAY_MS = 6_000.0  # after which a change counts as told, whatever became of the calls


def max_notification_delay_ms(first_retry_ms: float, max_retry_ms: float, timer_step_ms: float) -> float:
    """The longest from a change that discovery has, and can be reached for, to the call that tells of it, in
    milliseconds. `first_retry_ms`, `max_retry_ms`: what the module lets pass before it calls again, after one
    failed call and at most; `timer_step_ms`: of its timer. The call itself has the rest.
    """
    silent = (
        LONG_POLL_WAIT_MS + RESPONSE_GRACE_MS + first_retry_ms
    )  # a long poll that fell silent as it was made
    back = (
        FIRST_RESPONSE_TIMEOUT_MS + max_retry_ms
    )  # discovery is back just after a call was made, which is never answered
    return max(silent, back) + timer_step_ms + CONNECT_TIMEOUT_MS


class EndpointWatch:
    """Follows the transport map once it is told to; a failure ends the watch."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        address: tuple[str, int],
        revision: Callable[[], int],
        on_list: Callable[[SettingsReader], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.loop, self.budget, self.address = loop, budget, address
        self.revision, self.on_list, self.on_failure = revision, on_list, on_failure
        self.is_active = False
        self._stream: TcpStream | None = None
        self._connecting = False
        self._unsent = b""
        self._response = EndpointListReader()
        self._timeout_timer: ScheduledCall | None = None
        self._response_timeout_ms = 0.0  # for the answer, once the call can be written
        self._needs_full_list = False  # the whole list is asked for until one has come

    def set_watching(self, enabled: bool) -> None:
        """Follow changes from now on, or no more. A watch that runs goes on as it is."""
        if enabled and not self.is_active:
            self.is_active = True
            self._poll(FIRST_POLL_WAIT_MS)
        elif not enabled:
            self._stop()

    def switch_discovery(self, address: tuple[str, int]) -> None:
        """Follow another discovery from now on. Its whole list is asked for: guards against a revision held
        that means something else there. The held list stands until then, and nothing has failed.
        """
        self._stop()
        self.address, self.is_active, self._needs_full_list = address, True, True
        self._poll(FIRST_POLL_WAIT_MS)

    def _poll(self, wait_ms: float) -> None:
        """The next call, from the revision held unless it is to be for the whole list."""
        host = f"{self.address[0]}:{self.address[1]}"
        self._unsent = encode_list_request(host, None if self._needs_full_list else self.revision(), wait_ms)
        self._response = EndpointListReader()
        self._response_timeout_ms = wait_ms + RESPONSE_GRACE_MS if wait_ms else FIRST_RESPONSE_TIMEOUT_MS
        try:
            if self._stream is None:
                self._dial()
            else:
                self._set_timeout(self._response_timeout_ms, "silent")
                self._write()
        except OSError as problem:
            self._fail(str(problem))

    def _set_timeout(self, timeout_ms: float, reason: str) -> None:
        """The call fails after so many milliseconds without its next step."""
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self._timeout_timer = self.loop.call_after(timeout_ms, lambda: self._fail(reason))

    def _dial(self) -> None:
        """Clients that hold all descriptors give one up for this: without a list there is no next hop."""
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
        except (OSError, DiscoveryError, ValueError) as problem:
            self._fail(str(problem))
        except Exception as problem:
            self.loop.fault_count += 1
            log_exception(logger, "discovery_fault", problem, count=self.loop.fault_count)
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
        told = self._response.feed(data) if data else self._response.feed_eof()
        if told is None:
            return
        listed, reusable = told
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()  # before the list is applied, which may take its time
        if not reusable or not data:
            self._close()
        self.on_list(listed)  # ValueError if it is malformed
        self._needs_full_list = False
        if self.is_active:
            self._poll(LONG_POLL_WAIT_MS)

    def _fail(self, reason: str) -> None:
        log_event(logger, logging.WARNING, "discovery_failed", reason=reason)
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
