"""Parses the records of a capture."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..decisions.api import Endpoint, Result, UpdateScope
from .record_format import (
    FORMAT_VERSION,
    NONE,
    STATUS_BY_WORD,
    ArrivalRecord,
    AttemptOutcomeRecord,
    AttemptSentRecord,
    ClientGoneRecord,
    EndpointListRecord,
    FinalAnswerRecord,
    LostRecord,
    Record,
    SegmentHeader,
    TimerRecord,
)

_LOG_LINE_PREFIXES = (b"time=", b"rosepick: ")


class MalformedLineError(Exception):
    """Signals a line that is not a record; the message has the source and the number of the line."""

    def __init__(self, line_number: int, source: str = "") -> None:
        super().__init__(f"{source}line {line_number} is malformed")


@dataclass(slots=True)
class RecordReader:
    """Iterates over the records of a capture and the numbers of their lines; skips log lines.

    `truncated_count` counts a truncated last line, and endpoint lists that lack entries because the segment
    was evicted during the dump. Any other line that is not a record raises MalformedLineError.
    """

    data: bytes
    source: str = ""  # prefix of the messages about malformed lines
    truncated_count: int = 0

    def __iter__(self) -> Iterator[tuple[int, Record]]:
        lines = self.data.split(b"\n")
        last_number = len(lines) if lines[-1] else len(lines) - 1
        self.truncated_count = 0
        parser = _LineParser()
        for number, line in enumerate(lines[:last_number], 1):
            if line.startswith(_LOG_LINE_PREFIXES):
                continue
            if line.startswith(b"H ") and parser.has_partial_record():
                parser = _LineParser()
                self.truncated_count += 1
            try:
                if number == len(lines):
                    raise ValueError("the last line has no end")
                record = parser.parse(line)
            except (ValueError, KeyError, IndexError):
                if number < last_number:
                    raise MalformedLineError(number, self.source) from None
                self.truncated_count += 1
                return
            if record is not None:
                yield number, record
        self.truncated_count += parser.has_partial_record()


@dataclass(slots=True)
class _LineParser:
    """Parses the lines of a capture, and collects the entries of a list until it is complete."""

    _partial_record: SegmentHeader | EndpointListRecord | None = None
    _missing_entries: int = 0
    _entries: list[tuple[Endpoint, str]] = field(default_factory=list)

    def has_partial_record(self) -> bool:
        """Return whether entries of a list are missing."""
        return self._partial_record is not None

    def parse(self, line: bytes) -> Record | None:
        """Return the record that a line completes, or None for a part of a list.

        Raises:
            ValueError, KeyError, IndexError: the line is malformed.
        """
        letter, *words = line.decode("ascii").split(" ")
        if (letter == "m") != self.has_partial_record():
            raise ValueError("an entry without its list, or a list without its entries")
        if self._partial_record is not None:
            self._entries.append(_parse_entry(words))
            self._missing_entries -= 1
            return None if self._missing_entries else self._complete(self._partial_record)
        if letter not in _LIST_PARSERS:
            return _PARSERS[letter](words)
        *head_words, entry_count = words
        record = _LIST_PARSERS[letter](head_words)
        if not int(entry_count):
            return record
        self._partial_record = record
        self._missing_entries = int(entry_count)
        return None

    def _complete(self, record: SegmentHeader | EndpointListRecord) -> Record:
        members = tuple(self._entries)
        self._partial_record = None
        self._entries = []
        return record._replace(members=members)


def _parse_entry(words: list[str]) -> tuple[Endpoint, str]:
    uid, endpoint_id, status, started_at, zone, cell, kind, weight = words
    endpoint = Endpoint(
        int(endpoint_id),
        STATUS_BY_WORD[status],
        float(started_at),
        int(zone),
        int(cell),
        int(kind),
        float(weight),
    )
    return endpoint, uid


def _parse_flags(text: str, allowed: str) -> list[bool]:
    if text != NONE and not set(text) <= set(allowed):
        raise ValueError("unknown flags")
    return [letter in text for letter in allowed]


def _parse_header(words: list[str]) -> SegmentHeader:
    format_version, segment, lines, seed, offset, now, list_version = words
    if int(format_version) != FORMAT_VERSION:
        raise ValueError("another version of the format")
    return SegmentHeader(
        int(segment), int(lines), int(seed, 16), float(offset), float(now), int(list_version)
    )


def _parse_endpoint_list(words: list[str]) -> EndpointListRecord:
    now, scope, version = words
    return EndpointListRecord(float(now), UpdateScope(scope), int(version))


def _parse_arrival(words: list[str]) -> Record:
    now, ref, req_id, kind, owner, key, deadline_header, deadline, key_number, flags, cost = words
    write, retry = _parse_flags(flags, "wr")
    return ArrivalRecord(
        now=float(now),
        ref=int(ref),
        req_id=req_id,
        kind=kind,
        owner=owner,
        key=key,
        deadline_header=deadline_header,
        deadline=float(deadline),
        key_number=int(key_number, 16),
        write=write,
        retry=retry,
        cost_hint=None if cost == NONE else float(cost),
    )


def _parse_attempt_outcome(words: list[str]) -> Record:
    now, ref, attempt, result, cache_status, flags, latency = words
    closed, malformed = _parse_flags(flags, "cs")
    return AttemptOutcomeRecord(
        now=float(now),
        ref=int(ref),
        attempt=int(attempt),
        result=Result(result),
        cache_status=int(cache_status),
        closed=closed,
        malformed=malformed,
        latency_ms=float(latency),
    )


def _parse_attempt_sent(words: list[str]) -> Record:
    ref, uid = words
    return AttemptSentRecord(int(ref), uid)


def _parse_client_gone(words: list[str]) -> Record:
    now, ref = words
    return ClientGoneRecord(float(now), int(ref))


def _parse_timer(words: list[str]) -> Record:
    now, token = words
    return TimerRecord(float(now), int(token, 16))


def _parse_final_answer(words: list[str]) -> Record:
    unix_ms, req_id, kind, owner, key, arrow, uid, status = words
    if arrow != "->":
        raise ValueError("no arrow")
    return FinalAnswerRecord(int(unix_ms), req_id, kind, owner, key, uid, int(status))


def _parse_lost(words: list[str]) -> Record:
    (now,) = words
    return LostRecord(float(now))


_LIST_PARSERS: dict[str, Callable[[list[str]], SegmentHeader | EndpointListRecord]] = {
    "H": _parse_header,
    "M": _parse_endpoint_list,
}
"""Parsers of records with a list of entries; the last word of these records is the number of entries."""
_PARSERS: dict[str, Callable[[list[str]], Record]] = {
    "A": _parse_arrival,
    "S": _parse_attempt_sent,
    "O": _parse_attempt_outcome,
    "G": _parse_client_gone,
    "T": _parse_timer,
    "C": _parse_final_answer,
    "X": _parse_lost,
}
