"""When one router counts as notified of changes of the endpoint list. Times are milliseconds of the run.

What discovery writes to a router counts from then on, whether or not it arrives. Besides, a router counts as
notified of what it would have been told, had it asked:

- A process that has been started counts as notified of everything that discovery has, `MAX_CALL_GAP_MS` after
  it begins to serve, until discovery has written its first list to it. Its configured list may be old.
- A router whose last call was answered has as long for the next one.
- After calls that failed or were turned away, a change counts `MAX_NOTIFICATION_DELAY_MS` after discovery had
  it and could be reached.
"""

from __future__ import annotations

from dataclasses import dataclass

# twice the 200 ms within which the next call continues a watch, for machines that are busy
MAX_CALL_GAP_MS = 400.0
MAX_NOTIFICATION_DELAY_MS = 6_000.0  # of the platform's terms; the judge does not take the router's constant


@dataclass(frozen=True, slots=True)
class _KnownDrain:
    """That a router knows that a node drains."""

    since: float
    revision: int  # by which the router was notified


class NotificationLedger:
    """What one router knows, or counts as knowing, of the nodes that drain or are gone."""

    def __init__(self) -> None:
        self._known_drains: dict[int, _KnownDrain] = {}
        self._open_calls = 0
        self._answered_at: float | None = None  # the last call; None if it failed or is open
        self._serving_since: float | None = None  # of a restarted process that was written no list so far
        self._is_running = True
        self._available_since: float | None = 0.0  # None: discovery is down

    def record_process_start(self, now: float) -> None:
        """Record that a further process of the router begins to serve clients."""
        if not self._is_running:
            self._is_running = True
            self._serving_since = now

    def record_process_end(self) -> None:
        """Record that the router's process has ended, or is about to be replaced."""
        self._is_running = False
        self._answered_at = self._serving_since = None

    def record_call(self) -> None:
        """Record that a call arrived."""
        self._open_calls += 1
        self._answered_at = None

    def record_list_written(self, now: float) -> None:
        """Record that an open call was answered with a list."""
        self._is_running = True  # a process may call, and be answered, before it serves
        self._serving_since = None
        self._open_calls -= 1
        if not self._open_calls:
            self._answered_at = now

    def record_call_failed(self) -> None:
        """Record that an open call was turned away, or that its connection ended."""
        self._open_calls -= 1

    def record_availability(self, now: float, available: bool) -> None:
        """Record that discovery went down or came back."""
        self._available_since = now if available else None
        self._answered_at = None

    def record_revision(self, revision: int) -> None:
        """Record that the router has a revision, and forget later notifications: it may have restarted."""
        for node in [node for node, known in self._known_drains.items() if known.revision > revision]:
            del self._known_drains[node]

    def record_drain(self, now: float, node: int, revision: int) -> None:
        """Record that the router was notified that a node drains or is gone."""
        self._known_drains.setdefault(node, _KnownDrain(now, revision))

    def record_ready(self, node: int) -> None:
        """Record that the router was notified that a node is ready."""
        self._known_drains.pop(node, None)

    def drain_known_at(self, now: float, node: int, drained_at: float | None, revision: int) -> float | None:
        """Return since when the router counts as knowing that a node drains; None if it does not.

        Args:
            now: the time of an attempt that the router sends to the node.
            node: the node.
            drained_at: since when discovery has that it drains or is gone; None if it does not.
            revision: discovery's present revision.
        """
        if drained_at is not None and self._available_since is not None and self._is_running:
            told_at = self._told_at(drained_at, self._available_since)
            if told_at <= now:
                self.record_drain(told_at, node, revision)
        known = self._known_drains.get(node)
        return None if known is None else known.since

    def _told_at(self, drained_at: float, available_since: float) -> float:
        """Return when the router counts as told of a drain, had it asked."""
        told_at = max(drained_at, available_since) + MAX_NOTIFICATION_DELAY_MS
        for since in (self._serving_since, self._answered_at):
            if since is not None:
                told_at = min(told_at, max(drained_at, max(since, available_since) + MAX_CALL_GAP_MS))
        return told_at
