"""Detection of a partition between an agent and the quorum.

The detector is a state machine without I/O and clock; times are milliseconds of the agent's own clock.
"""

from __future__ import annotations


class PartitionDetector:
    """Tracks the last response of the quorum and the length of the last partition."""

    def __init__(self, timeout_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._last_response_at: float | None = None  # initially the start of the agent
        self._last_partition_ms = 0.0

    def begin(self, now: float) -> None:
        """Start measuring the time without a response, unless it has been started already."""
        if self._last_response_at is None:
            self._last_response_at = now

    def is_partitioned(self, now: float) -> bool:
        """Return whether the quorum has not responded within the timeout."""
        return self._last_response_at is not None and now - self._last_response_at > self._timeout_ms

    def record_response(self, now: float) -> None:
        """Record a response of the quorum; it ends a partition."""
        if self._last_response_at is not None and self.is_partitioned(now):
            self._last_partition_ms = now - self._last_response_at
        self._last_response_at = now

    def record_other_response(self, now: float) -> None:
        """Record a response to another request of this process; it does not end a partition."""
        if self._last_response_at is not None and not self.is_partitioned(now):
            self._last_response_at = now

    def unreported_partition_ms(self) -> float:
        """Return the length of the last ended partition; 0 if there was none or it is cleared."""
        return self._last_partition_ms if self._last_partition_ms > self._timeout_ms else 0.0

    def clear_partition(self) -> None:
        """Forget the last partition, once it is reported or if no drain was affected."""
        self._last_partition_ms = 0.0
