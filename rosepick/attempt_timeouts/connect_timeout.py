"""The connect timeout: a multiple of the usual connect time, far below the platform's limit.

Most connects succeed within one or two round trips. One that does not is to a machine that does not respond,
and as the system retransmits the first packet only after a second, waiting longer gains nothing. An abandoned
connect shows only that it would have taken longer, so the timeout doubles with each, up to the platform's
limit. Otherwise every connect to an endpoint that became slower would be abandoned, and its new connect time
would never be measured.
"""

from __future__ import annotations

TIMEOUT_FACTOR = 8.0  # the timeout as a multiple of the slowest recent connect
MIN_CONNECT_TIMEOUT_MS = 60.0  # a busy event loop alone may take this long to notice a connect
SLOWEST_DECAY = 0.98  # factor on the slowest recent connect time at each further connect


class ConnectTimeout:
    """The connect timeout of one endpoint. Times are milliseconds.

    Args:
        max_timeout_ms: the platform's limit.
    """

    def __init__(self, max_timeout_ms: float) -> None:
        self.max_timeout_ms = max_timeout_ms
        self._slowest_recent_ms = 0.0  # 0 before any connect succeeded

    def record_connected(self, elapsed_ms: float) -> None:
        """Record a connect that succeeded after `elapsed_ms`."""
        self._slowest_recent_ms = max(elapsed_ms, SLOWEST_DECAY * self._slowest_recent_ms)

    def record_timeout(self) -> None:
        """Record a connect that was abandoned: the next timeout is twice as long."""
        self._slowest_recent_ms = 2.0 * self.timeout_ms() / TIMEOUT_FACTOR

    def timeout_ms(self) -> float:
        """Return the timeout, in ms, of a connect that starts now."""
        if not self._slowest_recent_ms:
            return self.max_timeout_ms
        return min(self.max_timeout_ms, max(MIN_CONNECT_TIMEOUT_MS, TIMEOUT_FACTOR * self._slowest_recent_ms))
