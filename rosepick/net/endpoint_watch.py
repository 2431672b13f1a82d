"""Watch of the endpoint list: consecutive long polls of the discovery service on a persistent connection.

A long poll can stop receiving responses without an error. Discovery counts a change as notified
`MAX_NOTIFICATION_DELAY_MS` after it has the change and is reachable; `max_notification_delay_ms` computes the
sum of the delays that must stay below this bound.

Discovery counts a list as notified once it has written the list, even if the router no longer waits for it.
Therefore a poll whose response is overdue stays open, and the next poll uses another connection. A late list
is applied unless a newer one is in force (`core/list_order.py`), but it says nothing about the present poll:
the watch is established only by a response that arrives in time.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..core.list_order import ListOrder
from ..http.discovery import EndpointListReply, encode_list_request
from ..logs import log_event
from ..settings.reader import SettingsReader
from .discovery_connection import CONNECT_TIMEOUT_MS, DiscoveryConnection, Poll
from .event_loop import EventLoop
from .resource_budget import ResourceBudget

logger = logging.getLogger(__name__)
FIRST_POLL_WAIT_MS = 0.0  # a new watch first polls without waiting, for changes since the held revision
LONG_POLL_WAIT_MS = 2_500.0  # wait of a long poll; a lost response is detected only after it
RESPONSE_GRACE_MS = 1_500.0  # time for the response after the wait, on a connection that has responded before
# Time for the first response of a new watch. All routers may poll at once, and the service answers one after
# another for up to 3 s. The margin of 100 ms lets a response at the end of the 3 s arrive before the next
# poll.
FIRST_RESPONSE_TIMEOUT_MS = 3_100.0
# A change counts as notified after this time, even if all polls failed.
MAX_NOTIFICATION_DELAY_MS = 6_000.0


def max_notification_delay_ms(first_retry_ms: float, max_retry_ms: float) -> float:
    """Return the longest time, in milliseconds, from a change to the start of the poll that delivers it.

    The time starts once the service has the change and is reachable. The rest of `MAX_NOTIFICATION_DELAY_MS`
    remains for the poll itself.

    Args:
        first_retry_ms: the longest retry delay of the decision module after a single failure, milliseconds.
        max_retry_ms: the longest retry delay of the decision module after any failure, milliseconds.
    """
    # A poll loses its response right after its start.
    silent_poll = LONG_POLL_WAIT_MS + RESPONSE_GRACE_MS + first_retry_ms
    # The service becomes reachable right after a poll was sent that will get no response.
    unanswered_poll = FIRST_RESPONSE_TIMEOUT_MS + max_retry_ms
    return max(silent_poll, unanswered_poll) + CONNECT_TIMEOUT_MS


class EndpointWatch:
    """Polls the endpoint list while enabled; a failure ends the watch until it is enabled again.

    Args:
        loop: the event loop.
        budget: the descriptor budget.
        address: host and port of the service.
        revision: returns the revision of the list in force.
        on_list: called with each list that is to be applied, and whether its poll was overdue.
        on_unchanged: called after a timely response with a list that is not newer than the one in force.
        on_failure: called after a failure of the watch.
    """

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        address: tuple[str, int],
        revision: Callable[[], int],
        on_list: Callable[[SettingsReader, bool], None],
        on_unchanged: Callable[[], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.address = address
        self.revision = revision
        self.on_list = on_list
        self.on_unchanged = on_unchanged
        self.on_failure = on_failure
        self.is_active = False
        self.has_responded = False  # whether the service responded since the start or the latest switch
        self.poll_count = 0  # polls since the start; the number of the latest poll
        self._connection: DiscoveryConnection | None = None
        # connection of an overdue poll, which may still get a response
        self._overdue: DiscoveryConnection | None = None
        self._order = ListOrder()

    def set_watching(self, enabled: bool) -> None:
        """Start or stop the watch; enabling an active watch has no effect."""
        if enabled and not self.is_active:
            self.is_active = True
            self._poll(FIRST_POLL_WAIT_MS)
        elif not enabled:
            self._stop()

    def switch_discovery(self, address: tuple[str, int]) -> None:
        """Watch another discovery service, starting with its full list.

        The held revision has no meaning for the other service. The held list stays in force, and no failure
        is reported.
        """
        self._stop()
        self.address = address
        self.is_active = True
        self.has_responded = False
        self._order.begin_service()
        self._poll(FIRST_POLL_WAIT_MS)

    def is_reachable(self) -> bool:
        """Return whether the service has responded, or has accepted the connection of the current poll."""
        connection = self._connection
        return self.has_responded or (connection is not None and not connection.is_connecting)

    def _poll(self, wait_ms: float) -> None:
        """Poll for changes after the held revision, or for the full list after a switch."""
        host = f"{self.address[0]}:{self.address[1]}"
        call = self._order.next_call(self.revision())
        after_revision = call.after_revision
        self.poll_count += 1
        poll = Poll(
            self.poll_count,
            encode_list_request(host, after_revision, wait_ms),
            call,
            wait_ms + RESPONSE_GRACE_MS if wait_ms else FIRST_RESPONSE_TIMEOUT_MS,
            self.loop.now(),
        )
        log_event(
            logger,
            logging.INFO,
            "discovery_poll",
            poll=poll.number,
            after="all" if after_revision is None else after_revision,
            wait_ms=wait_ms,
            new_connection=self._connection is None,
        )
        if self._connection is None:
            self._connection = DiscoveryConnection(
                self.loop, self.budget, self.address, self._on_reply, self._on_overdue, self._on_failed
            )
        connection = self._connection
        try:
            connection.send(poll)
        except OSError as error:
            connection.close()
            self._on_failed(connection, str(error))

    def _on_reply(self, connection: DiscoveryConnection, reply: EndpointListReply) -> None:
        """Apply a received list, and start the next poll.

        Raises:
            ValueError: the list is malformed.
        """
        poll = connection.poll
        assert poll is not None
        self.has_responded = True
        is_overdue = connection is self._overdue
        revision = reply.document.integer("rev", 0)
        is_accepted = self._order.accepts(poll.call, revision, self.revision(), is_overdue)
        log_event(
            logger,
            logging.INFO,
            "discovery_answer",
            poll=poll.number,
            elapsed_ms=self.loop.now() - poll.begun_at,
            overdue=is_overdue,
            outdated=not is_accepted,
        )
        if is_accepted:
            self.on_list(reply.document, is_overdue)
            self._order.record_applied(poll.call, revision)
        elif not is_overdue:
            self.on_unchanged()
        if is_overdue:
            self._drop_overdue()
            return
        if not reply.reusable:
            self._connection = None
        if self.is_active:
            self._poll(LONG_POLL_WAIT_MS)

    def _on_overdue(self, connection: DiscoveryConnection) -> None:
        """Report a failure, but keep the connection open for a late response."""
        self._log_failure(connection, "silent")
        self._drop_overdue()
        self._connection, self._overdue = None, connection
        self._end()

    def _on_failed(self, connection: DiscoveryConnection, reason: str) -> None:
        if connection is not self._connection:
            self._overdue = None  # an overdue poll failed, but the next poll is in progress
            return
        self.has_responded = self.has_responded or reason.startswith("status")
        self._log_failure(connection, reason)
        self._connection = None
        self._end()

    def _log_failure(self, connection: DiscoveryConnection, reason: str) -> None:
        poll = connection.poll
        log_event(
            logger,
            logging.WARNING,
            "discovery_failed",
            reason=reason,
            poll=0 if poll is None else poll.number,
            elapsed_ms=0.0 if poll is None else self.loop.now() - poll.begun_at,
        )

    def _end(self) -> None:
        """End the watch after a failed poll."""
        self.is_active = False
        self.on_failure()

    def _drop_overdue(self) -> None:
        if self._overdue is not None:
            self._overdue.close()
            self._overdue = None

    def _stop(self) -> None:
        """End the watch and close its connections."""
        self.is_active = False
        self._drop_overdue()
        if self._connection is not None:
            self._connection.close()
            self._connection = None
