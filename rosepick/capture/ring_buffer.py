"""A ring of fixed segments that hold lines; the oldest gives way. It knows no file and no line's meaning."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

MAX_HEADER_FRACTION = 0.5  # of a segment: what its header may take at most


class Position(NamedTuple):
    """A place in all that was ever appended: the segment's number and the bytes before it there."""

    segment: int
    offset: int


@dataclass(slots=True)
class Segment:
    """One segment; its bytes are made once and used again."""

    number: int
    data: bytearray
    length: int = 0


class LineRing:
    """Lines, the newest last. Each segment begins with a header, so that each can be read by itself."""

    def __init__(
        self, max_segments: int, segment_bytes: int, make_header: Callable[[LineRing, int], bytes]
    ) -> None:
        """The header is asked for as a segment begins, and is told how many bytes it may take."""
        self.max_segments, self.segment_bytes, self.make_header = max_segments, segment_bytes, make_header
        self.segments: deque[Segment] = deque()
        self.next_segment = 0  # of the segments that have begun
        self.line_count = 0  # appended since the start, headers not among them
        self.before_eviction: Callable[[], None] | None = None  # called before the oldest segment gives way

    def append(self, data: bytes, line_count: int = 1) -> bool:
        """Take in whole lines that belong together; False, and nothing taken, if no segment can hold them."""
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
        full = len(self.segments) == self.max_segments
        data = self.segments.popleft().data if full else bytearray(self.segment_bytes)
        header = self.make_header(self, int(MAX_HEADER_FRACTION * self.segment_bytes))
        segment = Segment(self.next_segment, data, len(header))
        data[: len(header)] = header
        self.next_segment += 1
        self.segments.append(segment)
        return segment

    def start_position(self) -> Position:
        """Where the oldest line that is held begins."""
        return Position(self.segments[0].number, 0) if self.segments else Position(self.next_segment, 0)

    def end_position(self) -> Position:
        """Behind the newest line."""
        last = self.segments[-1] if self.segments else Segment(self.next_segment, bytearray())
        return Position(last.number, last.length)

    def read(self, position: Position, limit: Position, max_bytes: int) -> tuple[memoryview, Position]:
        """Whole lines from a place on, at most so many bytes, and where the next ones begin. Nothing at
        `limit` or behind it; what has given way meanwhile is passed over.
        """
        position = max(position, self.start_position())
        for segment in self.segments:
            if segment.number < position.segment:
                continue
            at = position.offset if segment.number == position.segment else 0
            end = limit.offset if segment.number == limit.segment else segment.length
            if segment.number > limit.segment:
                break
            if at >= end:
                continue
            cut = min(end, at + max_bytes)
            if cut < end:
                cut = segment.data.rfind(b"\n", at, cut) + 1
            return memoryview(segment.data)[at:cut], Position(segment.number, cut)
        return memoryview(b""), limit
