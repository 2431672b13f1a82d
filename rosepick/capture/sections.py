"""Divides the records of a capture into sections without gaps."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .record_format import EndpointListRecord, Record, SegmentHeader
from .record_reader import MalformedLineError


@dataclass(slots=True)
class CaptureSection:
    """Holds consecutive records without gaps, and the numbers of their lines."""

    header: SegmentHeader
    records: list[tuple[int, Record]] = field(default_factory=list)
    line_count: int = 0

    def is_continued_by(self, header: SegmentHeader) -> bool:
        """Return whether the segment with this header continues the section without a gap."""
        expected_lines = self.header.preceding_lines + self.line_count
        return (
            header.seed == self.header.seed
            and header.unix_offset_ms == self.header.unix_offset_ms
            and header.preceding_lines == expected_lines
        )

    def append(self, line_number: int, record: Record) -> None:
        """Add the next record."""
        self.records.append((line_number, record))
        self.line_count += 1 + len(record.members) if isinstance(record, EndpointListRecord) else 1


def split_sections(records: Iterable[tuple[int, Record]]) -> list[CaptureSection]:
    """Return the sections of a capture; a new section begins after missing records and after a restart.

    Raises:
        MalformedLineError: A record precedes the first header.
    """
    sections: list[CaptureSection] = []
    for line_number, record in records:
        if isinstance(record, SegmentHeader):
            if not sections or not sections[-1].is_continued_by(record):
                sections.append(CaptureSection(record))
        elif not sections:
            raise MalformedLineError(line_number)
        else:
            sections[-1].append(line_number, record)
    return sections
