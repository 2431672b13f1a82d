"""When one router counts as notified of changes of the endpoint list. Times are milliseconds of the run.

What discovery writes to a router counts from then on. A router could also have asked: while it has had no
call at discovery for longer than `MAX_CALL_GAP_MS`, and discovery could be reached, it counts as notified of
everything that discovery had. A router process that has just started has as long for its first call.
"""

from __future__ import annotations

from dataclasses import dataclass

# twice the 200 ms within which the next call continues a watch, for machines that are busy
MAX_CALL_GAP_MS = 400.0


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
        self._without_call_since = 0.0  # while no call is open
        self._is_running = False  # from the first call or from when a process serves, to the process's end
        self._available_since: float | None = 0.0  # None: discovery is down

    def record_process_start(self, now: float) -> None:
        """Record that a process of the router begins to serve clients, without a call so far."""
        self._is_running = True
        if not self._open_calls:
            self._without_call_since = now

    def record_process_end(self) -> None:
        """Record that the router's process has ended, or is about to be replaced."""
        self._is_running = False

    def record_call(self) -> None:
        """Record that a call arrived."""
        self._is_running = True
        self._open_calls += 1

    def record_call_end(self, now: float) -> None:
        """Record that a call was answered or refused, or that its connection ended."""
        self._open_calls -= 1
        if not self._open_calls:
            self._without_call_since = now

    def record_availability(self, now: float, available: bool) -> None:
        """Record that discovery went down or came back."""
        self._available_since = now if available else None

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
        gap_end = self._gap_end()
        if drained_at is not None and gap_end is not None and now > gap_end:
            self.record_drain(max(drained_at, gap_end), node, revision)
        known = self._known_drains.get(node)
        return None if known is None else known.since

    def _gap_end(self) -> float | None:
        """Return when the router should have called again; None if nothing is due."""
        if self._open_calls or not self._is_running or self._available_since is None:
            return None
        return max(self._without_call_since, self._available_since) + MAX_CALL_GAP_MS
