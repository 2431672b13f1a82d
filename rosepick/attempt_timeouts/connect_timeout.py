"""How long to wait for a connect: a multiple of what is usual, long before the platform's limit.

Most connects succeed within a round trip or two. One that does not was sent to a machine that is silent, and
the system repeats its first packet only after a second, so waiting longer gains nothing. An abandoned connect
shows only that it would have taken longer: the timeout doubles with each, up to the platform's limit. Without
that, an endpoint that became slower would be cut off each time and its new pace would never be measured.
"""

from __future__ import annotations

TIMEOUT_FACTOR = 8.0  # the timeout as a multiple of the slowest recent connect
MIN_CONNECT_TIMEOUT_MS = 60.0  # a busy event loop is late itself
SLOWEST_DECAY = 0.98  # factor on the slowest recent connect with each further one


class ConnectTimeout:
    """The connect timeout of one endpoint. Times are milliseconds.

    Args:
        max_timeout_ms: the platform's limit.
    """

    def __init__(self, max_timeout_ms: float) -> None:
        self.max_timeout_ms = max_timeout_ms
        self._slowest_recent_ms = 0.0  # 0 before any connect succeeded

    def record_connected(self, elapsed_ms: float) -> None:
        """Learn from a connect that succeeded."""
        self._slowest_recent_ms = max(elapsed_ms, SLOWEST_DECAY * self._slowest_recent_ms)

    def record_timeout(self) -> None:
        """Learn from a connect that was abandoned: the next timeout is twice as long."""
        self._slowest_recent_ms = 2.0 * self.timeout_ms() / TIMEOUT_FACTOR

    def timeout_ms(self) -> float:
        """Return the timeout of a connect that starts now."""
        if not self._slowest_recent_ms:
            return self.max_timeout_ms
        return min(self.max_timeout_ms, max(MIN_CONNECT_TIMEOUT_MS, TIMEOUT_FACTOR * self._slowest_recent_ms))
