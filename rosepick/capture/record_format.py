"""The capture's lines: one a record, words parted by one blank, read back as exactly what was written.

Floats are written so that they read back the same, bit by bit. Times are milliseconds of the loop's clock,
but for the one in `C`, which is Unix time. Clients' and discovery's words are percent-encoded.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import quote_from_bytes, unquote_to_bytes

from ..decisions import api
from ..decisions.api import Endpoint, Result, Status, UpdateScope

FORMAT_VERSION = 1
MAX_WORD_CHARS = 384  # characters of a word as written: any id fits, and a line stays below PIPE_BUF
NONE = "-"
STATE_WORDS = {Status.READY: "active", Status.DRAINING: "leaving", Status.REMOVED: "left"}
_STATES_BY_WORD = {encode_word: state for state, encode_word in STATE_WORDS.items()}
_UNRESERVED = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~"
_TRUNCATED_ESCAPE = re.compile("%[0-9A-F]?$")
EndpointEntries = tuple[tuple[Endpoint, str], ...]


def encode_word(data: bytes) -> str:
    """A word of a client's or of discovery's, with nothing in it that a line is parted by."""
    if data.translate(None, _UNRESERVED):
        text = quote_from_bytes(data[:MAX_WORD_CHARS], safe="!$&'()*+,/:;=@")
    else:
        text = data.decode()
    if len(text) > MAX_WORD_CHARS:
        text = _TRUNCATED_ESCAPE.sub("", text[:MAX_WORD_CHARS])
    return text if text not in ("", NONE) else "%2D" if text else NONE  # a lone dash stands for none


def decode_word(text: str) -> bytes:
    """The word as it came."""
    return b"" if text == NONE else unquote_to_bytes(text)


# ------------------------------------------------------------------------------------------- the records


class SegmentHeader(NamedTuple):
    """`H`: a segment begins. `preceding_lines` were appended before it; the transport map follows."""

    segment: int
    preceding_lines: int
    seed: int
    unix_offset_ms: float  # Unix time less the loop's clock
    now: float
    version: int  # of the transport map
    members: EndpointEntries = ()

    def text(self) -> str:
        return (
            f"H {FORMAT_VERSION} {self.segment} {self.preceding_lines} {self.seed:x} "
            f"{self.unix_offset_ms!r} {self.now!r} {self.version} {len(self.members)}\n"
            + _format_entries(self.members)
        )


class EndpointListRecord(NamedTuple):
    """`M`: a list of discovery's; its entries follow, one `m` each."""

    now: float
    scope: UpdateScope
    version: int
    members: EndpointEntries = ()

    def text(self) -> str:
        head = f"M {self.now!r} {self.scope.value} {self.version} {len(self.members)}\n"
        return head + _format_entries(self.members)


class ArrivalRecord(NamedTuple):
    """`A`: a request is taken."""

    now: float
    ref: int
    req_id: str
    kind: str
    owner: str
    key: str
    deadline_header: str  # Req-Deadline as the client wrote it
    deadline: float
    key_number: int
    write: bool
    retry: bool
    cost_hint: float | None

    def text(self) -> str:
        return format_arrival(*self)


class AttemptSentRecord(NamedTuple):
    """`S`: the module sends an attempt."""

    ref: int
    uid: str

    def text(self) -> str:
        return format_attempt_sent(*self)


class AttemptOutcomeRecord(NamedTuple):
    """`O`: the outcome of an attempt."""

    now: float
    ref: int
    attempt: int
    result: Result
    cache_status: int
    closed: bool
    malformed: bool
    latency_ms: float

    def text(self) -> str:
        return format_attempt_outcome(*self)


class ClientGoneRecord(NamedTuple):
    """`G`: the client has left, or something else than the module has ended the request."""

    now: float
    ref: int

    def text(self) -> str:
        return format_client_gone(*self)


class TimerRecord(NamedTuple):
    """`T`: a timer of the module's."""

    now: float
    token: int

    def text(self) -> str:
        return format_timer(*self)


class FinalAnswerRecord(NamedTuple):
    """`C`: the final answer, with the next hop that was chosen last."""

    unix_ms: int
    req_id: str
    kind: str
    owner: str
    key: str
    uid: str
    status: int

    def text(self) -> str:
        return format_final_answer(*self)


class LostRecord(NamedTuple):
    """`X`: a record that no segment could hold."""

    now: float

    def text(self) -> str:
        return f"X {self.now!r}\n"


Record = (
    SegmentHeader
    | EndpointListRecord
    | ArrivalRecord
    | AttemptSentRecord
    | AttemptOutcomeRecord
    | ClientGoneRecord
    | TimerRecord
    | FinalAnswerRecord
    | LostRecord
)


# ------------------------------------------------- writing them, without a record made: there are many


def format_arrival(
    now: float,
    ref: int,
    req_id: str,
    kind: str,
    owner: str,
    key: str,
    deadline_header: str,
    deadline: float,
    key_number: int,
    write: bool,
    retry: bool,
    cost_hint: float | None,
) -> str:
    """An `A` line."""
    cost = NONE if cost_hint is None else repr(cost_hint)
    on = ("w" if write else "") + ("r" if retry else "") or NONE
    return (
        f"A {now!r} {ref} {req_id} {kind} {owner} {key} {deadline_header} {deadline!r} "
        f"{key_number:x} {on} {cost}\n"
    )


def format_attempt_sent(ref: int, uid: str) -> str:
    """An `S` line."""
    return f"S {ref} {uid}\n"


def format_attempt_outcome(
    now: float,
    ref: int,
    attempt: int,
    result: Result,
    cache_status: int,
    closed: bool,
    malformed: bool,
    latency_ms: float,
) -> str:
    """An `O` line."""
    on = ("c" if closed else "") + ("s" if malformed else "") or NONE
    return f"O {now!r} {ref} {attempt} {result.value} {cache_status} {on} {latency_ms!r}\n"


def format_client_gone(now: float, ref: int) -> str:
    """A `G` line."""
    return f"G {now!r} {ref}\n"


def format_timer(now: float, token: int) -> str:
    """A `T` line."""
    return f"T {now!r} {token:x}\n"


def format_final_answer(
    unix_ms: int, req_id: str, kind: str, owner: str, key: str, uid: str, status: int
) -> str:
    """A `C` line."""
    return f"C {unix_ms} {req_id} {kind} {owner} {key} -> {uid} {status}\n"


def _format_entries(members: EndpointEntries) -> str:
    return "".join(
        f"m {uid} {m.endpoint_id} {STATE_WORDS[m.status]} {m.started_at!r} "
        f"{m.zone} {m.cell} {m.kind} {m.weight!r}\n"
        for m, uid in members
    )


# ----------------------------------------------------------------------------------------- reading them


class MalformedLineError(Exception):
    """A line that is no record."""

    def __init__(self, line_number: int, source: str = "") -> None:
        super().__init__(f"{source}line {line_number} is malformed")


@dataclass(slots=True)
class RecordReader:
    """The records of a capture, each with the number of its line; log lines between them are passed over."""

    data: bytes
    source: str = ""  # said before the number of a malformed line
    truncated_count: int = 0

    def __iter__(self) -> Iterator[tuple[int, Record]]:
        rows = self.data.split(b"\n")
        last = len(rows) if rows[-1] else len(rows) - 1  # the number of the last line
        self.truncated_count = 0
        group: _PartialRecord | None = None
        for number, row in enumerate(rows[:last], 1):
            if row.startswith((b"time=", b"rosepick: ")):
                continue
            if row.startswith(b"H ") and group is not None:  # the dump was overtaken within a list
                group = None
                self.truncated_count += 1
            try:
                if number == len(rows):
                    raise ValueError("the last line has no end")
                record, group = _parse_line(row, group)
            except (ValueError, KeyError, IndexError):
                if number < last:
                    raise MalformedLineError(number, self.source) from None
                self.truncated_count += 1
                return
            if record is not None:
                yield number, record
        self.truncated_count += group is not None


@dataclass(slots=True)
class _PartialRecord:
    """A record whose entries are being read."""

    head: SegmentHeader | EndpointListRecord
    count: int
    members: list[tuple[Endpoint, str]]

    def complete(self) -> Record:
        members = tuple(self.members)
        if isinstance(self.head, SegmentHeader):
            h = self.head
            return SegmentHeader(
                h.segment, h.preceding_lines, h.seed, h.unix_offset_ms, h.now, h.version, members
            )
        return EndpointListRecord(self.head.now, self.head.scope, self.head.version, members)


def _parse_line(row: bytes, group: _PartialRecord | None) -> tuple[Record | None, _PartialRecord | None]:
    """One line; the record once it is whole, and what it is a part of otherwise."""
    kind, *words = row.decode("ascii").split(" ")
    if (kind == "m") != (group is not None):
        raise ValueError("an entry without its list, or a list without its entries")
    if group is not None:
        group.members.append(_parse_member(words))
        return (group.complete(), None) if len(group.members) == group.count else (None, group)
    record, count = _PARSERS[kind](words)
    if count:
        assert isinstance(record, SegmentHeader | EndpointListRecord)
        return None, _PartialRecord(record, count, [])
    return record, None


def _parse_member(words: list[str]) -> tuple[Endpoint, str]:
    uid, server, state, born, zone, cell, kind, weight = words
    return Endpoint(
        int(server), _STATES_BY_WORD[state], float(born), int(zone), int(cell), int(kind), float(weight)
    ), uid


def _parse_flags(text: str, allowed: str) -> list[bool]:
    if text != NONE and not set(text) <= set(allowed):
        raise ValueError("unknown flags")
    return [letter in text for letter in allowed]


def _parse_header(words: list[str]) -> tuple[Record, int]:
    version, segment, lines, seed, offset, now, revision, count = words
    if int(version) != FORMAT_VERSION:
        raise ValueError("another version of the format")
    header = SegmentHeader(int(segment), int(lines), int(seed, 16), float(offset), float(now), int(revision))
    return header, int(count)


def _parse_endpoint_list(words: list[str]) -> tuple[Record, int]:
    now, scope, version, count = words
    return EndpointListRecord(float(now), UpdateScope(scope), int(version)), int(count)


def _parse_arrival(words: list[str]) -> tuple[Record, int]:
    now, ref, req_id, kind, owner, key, wait, deadline, key_number, on, cost = words
    write, retry = _parse_flags(on, "wr")
    hint = None if cost == NONE else float(cost)
    return ArrivalRecord(
        float(now),
        int(ref),
        req_id,
        kind,
        owner,
        key,
        wait,
        float(deadline),
        int(key_number, 16),
        write,
        retry,
        hint,
    ), 0


def _parse_attempt_outcome(words: list[str]) -> tuple[Record, int]:
    now, ref, attempt, result, note, on, lag = words
    closed, spoilt = _parse_flags(on, "cs")
    return AttemptOutcomeRecord(
        float(now), int(ref), int(attempt), Result(result), int(note), closed, spoilt, float(lag)
    ), 0


def _parse_attempt_sent(words: list[str]) -> tuple[Record, int]:
    ref, uid = words
    return AttemptSentRecord(int(ref), uid), 0


def _parse_client_gone(words: list[str]) -> tuple[Record, int]:
    now, ref = words
    return ClientGoneRecord(float(now), int(ref)), 0


def _parse_timer(words: list[str]) -> tuple[Record, int]:
    now, token = words
    return TimerRecord(float(now), int(token, 16)), 0


def _parse_final_answer(words: list[str]) -> tuple[Record, int]:
    unix, req_id, kind, owner, key, arrow, uid, status = words
    if arrow != "->":
        raise ValueError("no arrow")
    return FinalAnswerRecord(int(unix), req_id, kind, owner, key, uid, int(status)), 0


def _parse_lost(words: list[str]) -> tuple[Record, int]:
    (now,) = words
    return LostRecord(float(now)), 0


_PARSERS = {
    "H": _parse_header,
    "M": _parse_endpoint_list,
    "A": _parse_arrival,
    "S": _parse_attempt_sent,
    "O": _parse_attempt_outcome,
    "G": _parse_client_gone,
    "T": _parse_timer,
    "C": _parse_final_answer,
    "X": _parse_lost,
}


def to_request_event(arrival: ArrivalRecord, class_index: int, tenant_index: int) -> api.RequestArrived:
    """The event as the module was fed it."""
    return api.RequestArrived(
        arrival.ref,
        class_index,
        max(0.0, arrival.deadline - arrival.now),
        arrival.key_number,
        tenant_index,
        arrival.write,
        arrival.retry,
        arrival.cost_hint,
    )
