"""A body that is forwarded from one connection to another through a bounded buffer; no I/O.

The writer reads no more from its socket than the stream has capacity for, and the reader takes no more than
its socket accepts. All streams of a router share one buffer budget in equal parts. Each stream has a minimum
part, so that no stream waits for another.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MIN_STREAM_BUFFER_BYTES = 16 * 1024
MAX_STREAM_BUFFER_BYTES = 256 * 1024


def _ignore() -> None:
    """Do nothing: the callback of a reader or writer that does not wait."""


class BufferBudget:
    """The number of bytes that all streams together may buffer.

    Args:
        total_bytes: the size of the budget.
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.stream_count = 0
        self.buffered_bytes = 0

    def has_free_stream(self) -> bool:
        """Return whether the budget has the minimum part of one more stream."""
        return (self.stream_count + 1) * MIN_STREAM_BUFFER_BYTES <= self.total_bytes

    def bytes_per_stream(self) -> int:
        """Return how many bytes one stream may buffer now."""
        return max(
            MIN_STREAM_BUFFER_BYTES,
            min(MAX_STREAM_BUFFER_BYTES, self.total_bytes // max(1, self.stream_count)),
        )


class BodyStream:
    """One body, of known or unknown length, between a writer and a reader.

    The reader sets `on_readable` and the writer sets `on_writable`.

    Args:
        budget: the budget that the buffered bytes count against.
        content_length: the length of the body in bytes, or None if unknown.
        notifies_reader: whether each change calls `on_readable` at once. Without it the writer calls
            `notify_reader`, so that the reader cannot close a parser within its own call.
    """

    def __init__(
        self, budget: BufferBudget, content_length: int | None, notifies_reader: bool = True
    ) -> None:
        self.content_length = content_length
        self._notifies_reader = notifies_reader
        self.is_complete = False
        self.is_aborted = False
        self.is_partly_read = False  # whether the buffer no longer holds all that arrived
        self.received_bytes = 0
        self.buffered_bytes = 0
        self.on_readable: Callable[[], None] = _ignore  # bytes arrived, or the body is complete or aborted
        self.on_writable: Callable[[], None] = _ignore  # the stream has buffer capacity again
        self._budget: BufferBudget | None = budget
        # Whether the writer waits. This is stored, because capacity may also grow when other streams end.
        self.is_paused = False
        self._chunks: deque[bytes] = deque()
        budget.stream_count += 1

    # ------------------------------------------------------------------------------ calls of the writer

    def writable_bytes(self) -> int:
        """Return how many bytes may be written now."""
        return 0 if self._budget is None else max(0, self._budget.bytes_per_stream() - self.buffered_bytes)

    def pause_if_full(self) -> bool:
        """Return whether the writer has to wait for `on_writable`."""
        self.is_paused = not self.writable_bytes()
        return self.is_paused

    def write(self, data: bytes) -> None:
        """Append bytes of the body; a closed stream ignores them."""
        if self._budget is None or not data:
            return
        self._chunks.append(data)
        self.received_bytes += len(data)
        self._adjust_buffered(len(data))
        if self._notifies_reader:
            self.on_readable()

    def notify_reader(self) -> None:
        """Call `on_readable`, for a stream that does not notify its reader."""
        self.on_readable()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self.on_writable = _ignore
        if self._notifies_reader:
            self.on_readable()

    def abort(self) -> None:
        """Mark the body as truncated: the rest will not arrive."""
        if not self.is_complete and not self.is_aborted:
            self.is_aborted = True
            self.on_writable = _ignore
            if self._notifies_reader:
                self.on_readable()

    # ------------------------------------------------------------------------------ calls of the reader

    def read(self, max_bytes: int) -> list[bytes]:
        """Remove and return the next chunks, `max_bytes` in all at most."""
        chunks: list[bytes] = []
        size = 0
        while self._chunks and size < max_bytes:
            chunk = self._chunks.popleft()
            if size + len(chunk) > max_bytes:
                self._chunks.appendleft(chunk[max_bytes - size :])
                chunk = chunk[: max_bytes - size]
            chunks.append(chunk)
            size += len(chunk)
        self._adjust_buffered(-size)
        self.is_partly_read = self.is_partly_read or size > 0
        if self.is_paused and self.writable_bytes() >= MIN_STREAM_BUFFER_BYTES // 2:
            self.is_paused = False
            self.on_writable()
        return chunks

    def is_drained(self) -> bool:
        """Return whether the body is complete and all of it was read."""
        return self.is_complete and not self.buffered_bytes

    def is_truncated(self) -> bool:
        """Return whether the body was aborted and all that had arrived was read."""
        return self.is_aborted and not self.buffered_bytes

    def close(self) -> None:
        """Drop the buffered bytes, as there is no reader any more.

        A complete body with unread bytes becomes an aborted one. This guards against sending an upstream a
        truncated body as a complete one.
        """
        if self.buffered_bytes:
            self.is_complete = False
            self.is_aborted = True
        if self._budget is not None:
            self._adjust_buffered(-self.buffered_bytes)
            self._budget.stream_count -= 1
            self._budget = None
        self._chunks.clear()
        self.on_readable = self.on_writable = _ignore  # avoids reference cycles with both sides

    def _adjust_buffered(self, change: int) -> None:
        self.buffered_bytes += change
        if self._budget is not None:
            self._budget.buffered_bytes += change
