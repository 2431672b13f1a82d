"""Ring buffer of lines, in segments of fixed size."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

MAX_HEADER_FRACTION = 0.5  # largest part of a segment that its header may occupy


class Position(NamedTuple):
    """Holds a position: the number of a segment, and an offset in it in bytes."""

    segment: int
    offset: int


@dataclass(slots=True)
class Segment:
    """Holds one segment; its memory is allocated once and reused."""

    number: int
    data: bytearray
    length: int = 0


class LineRing:
    """Buffers lines in order; a new segment evicts the oldest one.

    Each segment begins with a header, so that it can be parsed without the segments before it.
    """

    def __init__(
        self, max_segments: int, segment_bytes: int, make_header: Callable[[LineRing, int], bytes]
    ) -> None:
        """Create an empty ring.

        Args:
            max_segments: number of segments that are kept.
            segment_bytes: size of each segment.
            make_header: returns the header of a new segment; the second argument limits its bytes.
        """
        self.max_segments = max_segments
        self.segment_bytes = segment_bytes
        self._make_header = make_header
        self.segments: deque[Segment] = deque()
        self.next_segment = 0  # number of the next segment; equals the count of segments that were begun
        self.line_count = 0  # lines appended since the start, without headers
        self.before_eviction: Callable[[], None] | None = None  # called before a new segment begins

    def append(self, data: bytes, line_count: int = 1) -> bool:
        """Append complete lines to one segment.

        Returns False and appends nothing if the lines are too long for a segment.
        """
        last = self.segments[-1] if self.segments else None
        if last is None or last.length + len(data) > self.segment_bytes:
            if len(data) > (1.0 - MAX_HEADER_FRACTION) * self.segment_bytes:
                return False
            last = self._begin_segment()
        last.data[last.length : last.length + len(data)] = data
        last.length += len(data)
        self.line_count += line_count
        return True

    def _begin_segment(self) -> Segment:
        if self.before_eviction is not None:
            self.before_eviction()
        is_full = len(self.segments) == self.max_segments
        data = self.segments.popleft().data if is_full else bytearray(self.segment_bytes)
        header = self._make_header(self, int(MAX_HEADER_FRACTION * self.segment_bytes))
        segment = Segment(self.next_segment, data, len(header))
        data[: len(header)] = header
        self.next_segment += 1
        self.segments.append(segment)
        return segment

    def start_position(self) -> Position:
        """Return the position of the oldest line."""
        return Position(self.segments[0].number, 0) if self.segments else Position(self.next_segment, 0)

    def end_position(self) -> Position:
        """Return the position after the newest line."""
        last = self.segments[-1] if self.segments else Segment(self.next_segment, bytearray())
        return Position(last.number, last.length)

    def read(self, position: Position, limit: Position, max_bytes: int) -> tuple[memoryview, Position]:
        """Return complete lines from `position` on, and the position after them.

        The lines have at most `max_bytes` bytes and end before `limit`. Evicted lines are skipped.
        """
        position = max(position, self.start_position())
        for segment in self.segments:
            if segment.number < position.segment:
                continue
            start = position.offset if segment.number == position.segment else 0
            end = limit.offset if segment.number == limit.segment else segment.length
            if segment.number > limit.segment:
                break
            if start >= end:
                continue
            cut = min(end, start + max_bytes)
            if cut < end:
                cut = segment.data.rfind(b"\n", start, cut) + 1
            return memoryview(segment.data)[start:cut], Position(segment.number, cut)
        return memoryview(b""), limit
