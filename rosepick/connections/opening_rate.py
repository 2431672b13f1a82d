"""The rate at which clients open connections for requests."""

from __future__ import annotations

from .limit_estimator import MIN_CONNECTION_LIMIT

REVIEW_INTERVAL_MS = 100.0  # how often the rate is updated
INSIGNIFICANT_OPENINGS = 4  # openings since the last update that do not count towards the net rate
RATE_SMOOTHING = 0.8  # weight of the previous rate at an update
MS_PER_S = 1000.0


class OpeningRateEstimator:
    """Estimates how many connections are opened for requests per second. Times are milliseconds.

    The net rate excludes openings that replace connections closed by the router. Otherwise closes would cause
    openings, which would cause further closes.

    Args:
        now: the current time.
    """

    def __init__(self, now: float) -> None:
        self.rate_at_last_opening = 0.0  # gross rate per second
        self.last_opened_at = now
        # expected openings in place of connections that the router closed since the last update
        self.expected_reopenings = 0.0
        self.reopen_probability = 0.0  # for a connection closed after one request
        self._openings = 0  # since the last update
        self._gross_rate = 0.0  # smoothed
        self._net_rate = 0.0  # smoothed
        self._updated_at = now

    def record_opening(self, now: float) -> None:
        """Record that a client opened a connection because it had a request."""
        self._openings += 1
        # A few openings are not a rate, however short the time since the last update is.
        recent_rate = (
            MS_PER_S * self._openings / max(REVIEW_INTERVAL_MS, now - self._updated_at)
            if self._openings >= MIN_CONNECTION_LIMIT
            else 0.0
        )
        self.rate_at_last_opening = max(recent_rate, self._gross_rate)
        self.last_opened_at = now

    def net_rate(self, now: float) -> float:
        """Return the connections opened per second, without those that replace closed ones."""
        recent_openings = self._openings - self.expected_reopenings - INSIGNIFICANT_OPENINGS
        return max(
            0.0,
            self._net_rate,
            MS_PER_S * recent_openings / max(REVIEW_INTERVAL_MS, now - self._updated_at),
        )

    def update(self, now: float) -> float:
        """Add the openings since the last update to the rates; return the milliseconds since that update."""
        elapsed_ms = now - self._updated_at
        if elapsed_ms <= 0:
            return elapsed_ms
        net_openings = self._openings - self.expected_reopenings
        self._net_rate = (
            RATE_SMOOTHING * self._net_rate + (1 - RATE_SMOOTHING) * MS_PER_S * net_openings / elapsed_ms
        )
        self._gross_rate = (
            RATE_SMOOTHING * self._gross_rate + (1 - RATE_SMOOTHING) * MS_PER_S * self._openings / elapsed_ms
        )
        self._openings = 0
        self.expected_reopenings = 0.0
        self._updated_at = now
        return elapsed_ms
