"""How long to wait for a connection to come up: some times what is usual, long before the platform's limit.

Most connections come up within a round trip or two. One that does not has met a machine that says nothing,
and the system sends its first packet again only after a second: waiting on is waiting for nothing. One that
was given up says only that it would have taken longer: what is waited for doubles with each, up to the
platform's limit, or else a hop that became slower would be cut each time and nobody would ever know.
"""

from __future__ import annotations

TIMEOUT_FACTOR = 8.0  # what a slow one of those that came up took ...
# ... and never less than this, in milliseconds: a loop that is busy is late itself
MIN_CONNECT_TIMEOUT_MS = 60.0
SLOWEST_DECAY = 0.98  # what a slow one took, with each that came up after it


class ConnectTimeout:
    """The patience towards one next hop. Times are milliseconds."""

    def __init__(self, max_timeout_ms: float) -> None:
        self.max_timeout_ms = max_timeout_ms
        self._slowest_recent_ms = 0.0  # the longest of late; 0 before any came up

    def record_connected(self, elapsed_ms: float) -> None:
        """A connection came up."""
        self._slowest_recent_ms = max(elapsed_ms, SLOWEST_DECAY * self._slowest_recent_ms)

    def record_timeout(self) -> None:
        """One was given up."""
        self._slowest_recent_ms = 2.0 * self.timeout_ms() / TIMEOUT_FACTOR

    def timeout_ms(self) -> float:
        """How long to wait for one that is begun now."""
        if not self._slowest_recent_ms:
            return self.max_timeout_ms
        return min(self.max_timeout_ms, max(MIN_CONNECT_TIMEOUT_MS, TIMEOUT_FACTOR * self._slowest_recent_ms))
