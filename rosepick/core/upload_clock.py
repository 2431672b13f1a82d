"""The time that a streamed request has left while its body is still being received; no I/O and no clock."""

from __future__ import annotations

from collections import deque

# The most that a client can have written without that this router has read it: in its own send buffer, as far
# as the system lets that grow by itself, and in the receive buffer of the connection.
MAX_UNREAD_BYTES = 4_608 * 1024
MARK_INTERVAL_BYTES = 256 * 1024


class UploadClock:
    """Tells when the final answer to a streamed request is due although its last byte was not read yet.

    A request's time runs from its last byte. While the upstream accepts the body slowly, this router pauses
    reading, and the last byte may wait in the system's buffers. Therefore the time runs from the latest
    moment at which the body was certainly incomplete. Times are milliseconds.

    Args:
        content_length: the length of the body in bytes, or None if unknown.
        time_to_deadline_ms: the time that the client gives the request from its last byte on.
        now: the time at which the first bytes of the body were read.
    """

    __slots__ = (
        "_content_length",
        "_incomplete_at",
        "_is_drained",
        "_marks",
        "_received_bytes",
        "_time_to_deadline_ms",
    )

    def __init__(self, content_length: int | None, time_to_deadline_ms: float, now: float) -> None:
        self._content_length = content_length
        self._time_to_deadline_ms = time_to_deadline_ms
        self._incomplete_at = now
        self._received_bytes = 0
        self._is_drained = False  # nothing was left to read, and reading has not paused since
        # pairs of a number of received bytes and the time at which so many were read
        self._marks: deque[tuple[int, float]] = deque()

    def record_read(self, received_bytes: int, now: float, is_drained: bool) -> None:
        """Record that `received_bytes` of an incomplete body were read by now.

        `is_drained`: whether nothing was left to read, so that the client has not written the last byte.
        """
        self._is_drained = is_drained
        if is_drained:
            self._marks.clear()
            self._incomplete_at = now
        elif received_bytes > self._received_bytes:
            self._record_progress(received_bytes, now)
        self._received_bytes = received_bytes

    def _record_progress(self, received_bytes: int, now: float) -> None:
        if not self._marks or received_bytes - self._marks[-1][0] >= MARK_INTERVAL_BYTES:
            self._marks.append((received_bytes, now))
        end = received_bytes if self._content_length is None else self._content_length
        while self._marks and self._marks[0][0] <= end - MAX_UNREAD_BYTES:
            self._incomplete_at = max(self._incomplete_at, self._marks.popleft()[1])

    def record_pause(self) -> None:
        """Record that this router has paused reading, so that what is read next may have waited."""
        self._is_drained = False

    def due_at(self) -> float:
        """Return the time until which the request has to be answered while its body is incomplete."""
        return self._incomplete_at + self._time_to_deadline_ms

    def deadline(self, received_since: float) -> float:
        """Return the deadline of a body whose last byte was read now.

        Args:
            received_since: the earliest time at which it can have arrived if reading has not paused.
        """
        return (received_since if self._is_drained else self._incomplete_at) + self._time_to_deadline_ms
