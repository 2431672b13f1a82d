"""A body on its way from one connection to another, through a buffer that is bounded. No I/O.

The giver reads no more from its socket than the flow has room for; the taker takes no more than its socket
writes. All flows of a router share one amount of bytes in even portions, and each has a least portion, so
that none ever waits for another one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MIN_STREAM_BUFFER_BYTES, MAX_STREAM_BUFFER_BYTES = 16 * 1024, 256 * 1024


def _do_nothing() -> None:
    """Nobody waits."""


class BufferBudget:
    """The bytes that all flows may hold together."""

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.stream_count = 0
        self.buffered_bytes = 0

    def bytes_per_stream(self) -> int:
        """What one flow may hold."""
        return max(
            MIN_STREAM_BUFFER_BYTES,
            min(MAX_STREAM_BUFFER_BYTES, self.total_bytes // max(1, self.stream_count)),
        )


class BodyStream:
    """One body, of a length that is told or not. `on_readable` and `on_writable` are set by the taker and the
    giver.
    """

    def __init__(
        self, budget: BufferBudget, content_length: int | None, notifies_reader: bool = True
    ) -> None:
        """`notifies_reader`: the taker is told at once; else the giver says when, by `tell`. Guards against a
        parser that is closed by what its own call brought about.
        """
        self.content_length = content_length
        self._notifies_reader = notifies_reader
        self.is_complete = self.is_aborted = False
        self.is_partly_read = False  # something has been taken: the body is not whole here any more
        self.received_bytes = 0
        self.buffered_bytes = 0
        self.on_readable: Callable[[], None] = _do_nothing  # bytes came, or the end, or the break
        self.on_writable: Callable[[], None] = _do_nothing  # there is room again
        self._budget: BufferBudget | None = budget
        self.is_paused = False  # the giver waits; not derived, as portions grow while other flows end
        self._chunks: deque[bytes] = deque()
        budget.stream_count += 1

    # ------------------------------------------------------------------------------------ the giver's

    def writable_bytes(self) -> int:
        """How many bytes may come now."""
        return 0 if self._budget is None else max(0, self._budget.bytes_per_stream() - self.buffered_bytes)

    def pause_if_full(self) -> bool:
        """Whether the giver is to wait until it is told of room."""
        self.is_paused = not self.writable_bytes()
        return self.is_paused

    def write(self, data: bytes) -> None:
        """Some of the body has come."""
        if self._budget is None or not data:
            return
        self._chunks.append(data)
        self.received_bytes += len(data)
        self._adjust_buffered(len(data))
        if self._notifies_reader:
            self.on_readable()

    def notify_reader(self) -> None:
        """Tell the taker of what has come."""
        self.on_readable()

    def finish(self) -> None:
        """The body is whole."""
        self.is_complete, self.on_writable = True, _do_nothing
        if self._notifies_reader:
            self.on_readable()

    def abort(self) -> None:
        """The rest will not come."""
        if not self.is_complete and not self.is_aborted:
            self.is_aborted, self.on_writable = True, _do_nothing
            if self._notifies_reader:
                self.on_readable()

    # ------------------------------------------------------------------------------------ the taker's

    def read(self, max_bytes: int) -> list[bytes]:
        """The next bytes, about so many at the most."""
        found: list[bytes] = []
        size = 0
        while self._chunks and size < max_bytes:
            part = self._chunks.popleft()
            if size + len(part) > max_bytes:
                self._chunks.appendleft(part[max_bytes - size :])
                part = part[: max_bytes - size]
            found.append(part)
            size += len(part)
        self._adjust_buffered(-size)
        self.is_partly_read = self.is_partly_read or size > 0
        if self.is_paused and self.writable_bytes() >= MIN_STREAM_BUFFER_BYTES // 2:
            self.is_paused = False
            self.on_writable()
        return found

    def is_drained(self) -> bool:
        """Whether all of it has been taken."""
        return self.is_complete and not self.buffered_bytes

    def is_truncated(self) -> bool:
        """Whether the rest will not come, and all that came has been taken."""
        return self.is_aborted and not self.buffered_bytes

    def close(self) -> None:
        """Nobody takes any more: what is held is let go. Guards against a body that came whole, of which a
        part is let go here, and that then passes for taken: a next hop would be given a shorter one.
        """
        if self.buffered_bytes:
            self.is_complete, self.is_aborted = False, True
        if self._budget is not None:
            self._adjust_buffered(-self.buffered_bytes)
            self._budget.stream_count -= 1
            self._budget = None
        self._chunks.clear()
        self.on_readable = self.on_writable = _do_nothing  # guards against cycles with both sides

    def _adjust_buffered(self, change: int) -> None:
        self.buffered_bytes += change
        if self._budget is not None:
            self._budget.buffered_bytes += change
