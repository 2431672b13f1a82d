"""Detection of a partition between an agent and the quorum.

A state machine without I/O and clock; times are milliseconds of the agent's own clock.
"""

from __future__ import annotations


class PartitionDetector:
    """Knows since when the quorum has not answered, and how long the last partition was."""

    def __init__(self, timeout_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._last_response_at: float | None = None  # first when the agent began
        self._last_partition_ms = 0.0

    def begin(self, now: float) -> None:
        """Count the time without an answer from now on, unless it is counted already."""
        if self._last_response_at is None:
            self._last_response_at = now

    def is_partitioned(self, now: float) -> bool:
        """Return whether the quorum has not answered for longer than the timeout."""
        return self._last_response_at is not None and now - self._last_response_at > self._timeout_ms

    def record_response(self, now: float) -> None:
        """Note an answer of the quorum; it ends a partition."""
        if self._last_response_at is not None and self.is_partitioned(now):
            self._last_partition_ms = now - self._last_response_at
        self._last_response_at = now

    def record_other_response(self, now: float) -> None:
        """Note an answer to another request of this process; it does not end a partition."""
        if self._last_response_at is not None and not self.is_partitioned(now):
            self._last_response_at = now

    def unreported_partition_ms(self) -> float:
        """Return the length of the last partition that has ended; 0 if it was reported or there was none."""
        return self._last_partition_ms if self._last_partition_ms > self._timeout_ms else 0.0

    def clear_partition(self) -> None:
        """Forget the last partition: it is reported, or harmed no drain."""
        self._last_partition_ms = 0.0
