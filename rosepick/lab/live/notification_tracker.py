"""Determines when a router counts as notified of changes of the endpoint list.

Times are milliseconds of the run. A router counts as notified of a change as soon as discovery writes the
change to it, whether or not the answer arrives. A router also counts as notified of what it would have
received if it had called discovery in time:

- A restarted process counts as notified of all changes known to discovery `MAX_CALL_GAP_MS` after it starts
  to serve, until discovery writes the first list to it. The list in its configuration may be stale.
- A router whose last call was answered has `MAX_CALL_GAP_MS` for its next call.
- After calls that failed or were rejected, a router counts as notified `MAX_NOTIFICATION_DELAY_MS` after
  discovery received the change and was available.
"""

from __future__ import annotations

from dataclasses import dataclass

# twice the 200 ms within which the next call continues a watch, to allow for busy machines
MAX_CALL_GAP_MS = 400.0
# from the terms of the platform; the checker does not rely on the constant in the router's code
MAX_NOTIFICATION_DELAY_MS = 6_000.0


@dataclass(frozen=True, slots=True)
class _KnownDrain:
    """The notification of a router that a node drains."""

    since: float
    revision: int  # the revision of the list with which the router was notified


class NotificationTracker:
    """Tracks of which drained or removed nodes one router counts as notified."""

    def __init__(self) -> None:
        self._known_drains: dict[int, _KnownDrain] = {}
        self._open_calls = 0
        self._answered_at: float | None = (
            None  # the time of the last answer; None if a later call failed or is open
        )
        self._serving_since: float | None = None  # start of a restarted process that was sent no list yet
        self._is_running = True
        self._available_since: float | None = 0.0  # None: discovery is down

    def record_process_start(self, now: float) -> None:
        """Record that a new process of the router starts to serve clients."""
        if not self._is_running:
            self._is_running = True
            self._serving_since = now

    def record_process_end(self) -> None:
        """Record that the router's process has ended or is about to be replaced."""
        self._is_running = False
        self._answered_at = self._serving_since = None

    def record_call(self) -> None:
        """Record that a call arrived."""
        self._open_calls += 1
        self._answered_at = None

    def record_answer(self, now: float) -> None:
        """Record that an open call was answered with a list."""
        self._is_running = True  # a process may call and be answered before it serves
        self._serving_since = None
        self._open_calls -= 1
        if not self._open_calls:
            self._answered_at = now

    def record_call_failed(self) -> None:
        """Record that an open call was rejected or its connection ended."""
        self._open_calls -= 1

    def record_availability(self, now: float, available: bool) -> None:
        """Record that discovery went down or came back."""
        self._available_since = now if available else None
        self._answered_at = None

    def record_revision(self, revision: int) -> None:
        """Record the revision that the router states, and drop later notifications: it may have restarted."""
        for node in [node for node, known in self._known_drains.items() if known.revision > revision]:
            del self._known_drains[node]

    def record_drain(self, now: float, node: int, revision: int) -> None:
        """Record that the router was notified that a node drains or was removed."""
        self._known_drains.setdefault(node, _KnownDrain(now, revision))

    def record_ready(self, node: int) -> None:
        """Record that the router was notified that a node is ready."""
        self._known_drains.pop(node, None)

    def drain_known_at(self, now: float, node: int, drained_at: float | None, revision: int) -> float | None:
        """Return from when on the router counts as notified that a node drains; None if it does not.

        Args:
            now: the time at which the router sends an attempt to the node.
            node: the number of the node.
            drained_at: when discovery received that the node drains or was removed; None if it did not.
            revision: the current revision of discovery.
        """
        if drained_at is not None and self._available_since is not None and self._is_running:
            notified_at = self._notified_at(drained_at, self._available_since)
            if notified_at <= now:
                self.record_drain(notified_at, node, revision)
        known = self._known_drains.get(node)
        return None if known is None else known.since

    def _notified_at(self, drained_at: float, available_since: float) -> float:
        """Return from when on the router counts as notified of a drain without an answer that lists it."""
        notified_at = max(drained_at, available_since) + MAX_NOTIFICATION_DELAY_MS
        for since in (self._serving_since, self._answered_at):
            if since is not None:
                notified_at = min(notified_at, max(drained_at, max(since, available_since) + MAX_CALL_GAP_MS))
        return notified_at
