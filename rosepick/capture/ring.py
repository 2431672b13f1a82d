"""A ring of fixed segments that hold lines; the oldest gives way. It knows no file and no line's meaning."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

HEADER_PART = 0.5  # of a segment: what its header may take at most


class Place(NamedTuple):
    """A place in all that was ever appended: the segment's number and the bytes before it there."""

    segment: int
    at: int


@dataclass(slots=True)
class Segment:
    """One segment; its bytes are made once and used again."""

    number: int
    data: bytearray
    fill: int = 0


class Ring:
    """Lines, the newest last. Each segment begins with a header, so that each can be read by itself."""

    def __init__(self, segments: int, size: int, header: Callable[[Ring, int], bytes]) -> None:
        """The header is asked for as a segment begins, and is told how many bytes it may take."""
        self.most, self.size, self.header = segments, size, header
        self.segments: deque[Segment] = deque()
        self.number = 0  # of the segments that have begun
        self.lines = 0  # appended since the start, headers not among them
        self.rolled: Callable[[], None] | None = None  # called before the oldest segment gives way

    def append(self, data: bytes, lines: int = 1) -> bool:
        """Take in whole lines that belong together; False, and nothing taken, if no segment can hold them."""
        last = self.segments[-1] if self.segments else None
        if last is None or last.fill + len(data) > self.size:
            if len(data) > (1.0 - HEADER_PART) * self.size:
                return False
            last = self._begin()
        last.data[last.fill : last.fill + len(data)] = data
        last.fill += len(data)
        self.lines += lines
        return True

    def _begin(self) -> Segment:
        if self.rolled is not None:
            self.rolled()
        full = len(self.segments) == self.most
        data = self.segments.popleft().data if full else bytearray(self.size)
        header = self.header(self, int(HEADER_PART * self.size))
        segment = Segment(self.number, data, len(header))
        data[: len(header)] = header
        self.number += 1
        self.segments.append(segment)
        return segment

    def begin(self) -> Place:
        """Where the oldest line that is held begins."""
        return Place(self.segments[0].number, 0) if self.segments else Place(self.number, 0)

    def end(self) -> Place:
        """Behind the newest line."""
        last = self.segments[-1] if self.segments else Segment(self.number, bytearray())
        return Place(last.number, last.fill)

    def read(self, place: Place, until: Place, most: int) -> tuple[memoryview, Place]:
        """Whole lines from a place on, at most so many bytes, and where the next ones begin. Nothing at
        `until` or behind it; what has given way meanwhile is passed over.
        """
        place = max(place, self.begin())
        for segment in self.segments:
            if segment.number < place.segment:
                continue
            at = place.at if segment.number == place.segment else 0
            end = until.at if segment.number == until.segment else segment.fill
            if segment.number > until.segment:
                break
            if at >= end:
                continue
            cut = min(end, at + most)
            if cut < end:
                cut = segment.data.rfind(b"\n", at, cut) + 1
            return memoryview(segment.data)[at:cut], Place(segment.number, cut)
        return memoryview(b""), until
