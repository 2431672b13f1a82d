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
from ..decisions.api import Member, Result, Scope, State

VERSION = 1
WORD_LIMIT = 384  # characters of a word as written: any id fits, and a line stays below PIPE_BUF
NONE = "-"
STATES = {State.READY: "active", State.DRAINING: "leaving", State.GONE: "left"}
_STATES = {word: state for state, word in STATES.items()}
_PLAIN = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~"
_CUT = re.compile("%[0-9A-F]?$")
Listing = tuple[tuple[Member, str], ...]


def word(data: bytes) -> str:
    """A word of a client's or of discovery's, with nothing in it that a line is parted by."""
    if data.translate(None, _PLAIN):
        text = quote_from_bytes(data[:WORD_LIMIT], safe="!$&'()*+,/:;=@")
    else:
        text = data.decode()
    if len(text) > WORD_LIMIT:
        text = _CUT.sub("", text[:WORD_LIMIT])
    return text if text not in ("", NONE) else "%2D" if text else NONE  # a lone dash stands for none


def plain(text: str) -> bytes:
    """The word as it came."""
    return b"" if text == NONE else unquote_to_bytes(text)


# ------------------------------------------------------------------------------------------- the records


class Header(NamedTuple):
    """`H`: a segment begins. `lines` were appended before it; the transport map follows."""

    segment: int
    lines: int
    seed: int
    offset: float  # Unix time less the loop's clock
    now: float
    version: int  # of the transport map
    members: Listing = ()

    def text(self) -> str:
        return (
            f"H {VERSION} {self.segment} {self.lines} {self.seed:x} {self.offset!r} {self.now!r} "
            f"{self.version} {len(self.members)}\n" + _entries(self.members)
        )


class Listed(NamedTuple):
    """`M`: a list of discovery's; its entries follow, one `m` each."""

    now: float
    scope: Scope
    version: int
    members: Listing = ()

    def text(self) -> str:
        head = f"M {self.now!r} {self.scope.value} {self.version} {len(self.members)}\n"
        return head + _entries(self.members)


class Arrival(NamedTuple):
    """`A`: a request is taken."""

    now: float
    ref: int
    req_id: str
    kind: str
    owner: str
    key: str
    wait: str  # Req-Deadline as the client wrote it
    deadline: float
    key_number: int
    write: bool
    retry: bool
    cost_hint: float | None

    def text(self) -> str:
        return arrival(*self)


class Sent(NamedTuple):
    """`S`: the module sends an attempt."""

    ref: int
    uid: str

    def text(self) -> str:
        return sent(*self)


class Ended(NamedTuple):
    """`O`: the outcome of an attempt."""

    now: float
    ref: int
    attempt: int
    result: Result
    note: int
    closed: bool
    spoilt: bool
    lag: float

    def text(self) -> str:
        return ended(*self)


class Gone(NamedTuple):
    """`G`: the client has left, or something else than the module has ended the request."""

    now: float
    ref: int

    def text(self) -> str:
        return gone(*self)


class Due(NamedTuple):
    """`T`: a timer of the module's."""

    now: float
    token: int

    def text(self) -> str:
        return due(*self)


class Final(NamedTuple):
    """`C`: the final answer, with the next hop that was chosen last."""

    unix: int
    req_id: str
    kind: str
    owner: str
    key: str
    uid: str
    status: int

    def text(self) -> str:
        return final(*self)


class Lost(NamedTuple):
    """`X`: a record that no segment could hold."""

    now: float

    def text(self) -> str:
        return f"X {self.now!r}\n"


Record = Header | Listed | Arrival | Sent | Ended | Gone | Due | Final | Lost


# ------------------------------------------------- writing them, without a record made: there are many


def arrival(
    now: float,
    ref: int,
    req_id: str,
    kind: str,
    owner: str,
    key: str,
    wait: str,
    deadline: float,
    key_number: int,
    write: bool,
    retry: bool,
    cost_hint: float | None,
) -> str:
    """An `A` line."""
    cost = NONE if cost_hint is None else repr(cost_hint)
    on = ("w" if write else "") + ("r" if retry else "") or NONE
    return f"A {now!r} {ref} {req_id} {kind} {owner} {key} {wait} {deadline!r} {key_number:x} {on} {cost}\n"


def sent(ref: int, uid: str) -> str:
    """An `S` line."""
    return f"S {ref} {uid}\n"


def ended(
    now: float, ref: int, attempt: int, result: Result, note: int, closed: bool, spoilt: bool, lag: float
) -> str:
    """An `O` line."""
    on = ("c" if closed else "") + ("s" if spoilt else "") or NONE
    return f"O {now!r} {ref} {attempt} {result.value} {note} {on} {lag!r}\n"


def gone(now: float, ref: int) -> str:
    """A `G` line."""
    return f"G {now!r} {ref}\n"


def due(now: float, token: int) -> str:
    """A `T` line."""
    return f"T {now!r} {token:x}\n"


def final(unix: int, req_id: str, kind: str, owner: str, key: str, uid: str, status: int) -> str:
    """A `C` line."""
    return f"C {unix} {req_id} {kind} {owner} {key} -> {uid} {status}\n"


def _entries(members: Listing) -> str:
    return "".join(
        f"m {uid} {m.server} {STATES[m.state]} {m.born!r} {m.zone} {m.cell} {m.kind} {m.weight!r}\n"
        for m, uid in members
    )


# ----------------------------------------------------------------------------------------- reading them


class BadLine(Exception):
    """A line that is no record."""

    def __init__(self, number: int, place: str = "") -> None:
        super().__init__(f"{place}line {number} is malformed")


@dataclass(slots=True)
class Lines:
    """The records of a capture, each with the number of its line; log lines between them are passed over."""

    data: bytes
    place: str = ""  # said before the number of a malformed line
    truncated: int = 0

    def __iter__(self) -> Iterator[tuple[int, Record]]:
        rows = self.data.split(b"\n")
        last = len(rows) if rows[-1] else len(rows) - 1  # the number of the last line
        self.truncated = 0
        group: _Group | None = None
        for number, row in enumerate(rows[:last], 1):
            if row.startswith((b"time=", b"rosepick: ")):
                continue
            if row.startswith(b"H ") and group is not None:  # the dump was overtaken within a list
                group = None
                self.truncated += 1
            try:
                if number == len(rows):
                    raise ValueError("the last line has no end")
                record, group = _take(row, group)
            except (ValueError, KeyError, IndexError):
                if number < last:
                    raise BadLine(number, self.place) from None
                self.truncated += 1
                return
            if record is not None:
                yield number, record
        self.truncated += group is not None


@dataclass(slots=True)
class _Group:
    """A record whose entries are being read."""

    head: Header | Listed
    count: int
    members: list[tuple[Member, str]]

    def whole(self) -> Record:
        members = tuple(self.members)
        if isinstance(self.head, Header):
            h = self.head
            return Header(h.segment, h.lines, h.seed, h.offset, h.now, h.version, members)
        return Listed(self.head.now, self.head.scope, self.head.version, members)


def _take(row: bytes, group: _Group | None) -> tuple[Record | None, _Group | None]:
    """One line; the record once it is whole, and what it is a part of otherwise."""
    kind, *words = row.decode("ascii").split(" ")
    if (kind == "m") != (group is not None):
        raise ValueError("an entry without its list, or a list without its entries")
    if group is not None:
        group.members.append(_member(words))
        return (group.whole(), None) if len(group.members) == group.count else (None, group)
    record, count = _READERS[kind](words)
    if count:
        assert isinstance(record, Header | Listed)
        return None, _Group(record, count, [])
    return record, None


def _member(words: list[str]) -> tuple[Member, str]:
    uid, server, state, born, zone, cell, kind, weight = words
    return Member(
        int(server), _STATES[state], float(born), int(zone), int(cell), int(kind), float(weight)
    ), uid


def _on(text: str, letters: str) -> list[bool]:
    if text != NONE and not set(text) <= set(letters):
        raise ValueError("unknown flags")
    return [letter in text for letter in letters]


def _header(words: list[str]) -> tuple[Record, int]:
    version, segment, lines, seed, offset, now, revision, count = words
    if int(version) != VERSION:
        raise ValueError("another version of the format")
    header = Header(int(segment), int(lines), int(seed, 16), float(offset), float(now), int(revision))
    return header, int(count)


def _listed(words: list[str]) -> tuple[Record, int]:
    now, scope, version, count = words
    return Listed(float(now), Scope(scope), int(version)), int(count)


def _arrival(words: list[str]) -> tuple[Record, int]:
    now, ref, req_id, kind, owner, key, wait, deadline, key_number, on, cost = words
    write, retry = _on(on, "wr")
    hint = None if cost == NONE else float(cost)
    return Arrival(
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


def _ended(words: list[str]) -> tuple[Record, int]:
    now, ref, attempt, result, note, on, lag = words
    closed, spoilt = _on(on, "cs")
    return Ended(float(now), int(ref), int(attempt), Result(result), int(note), closed, spoilt, float(lag)), 0


def _sent(words: list[str]) -> tuple[Record, int]:
    ref, uid = words
    return Sent(int(ref), uid), 0


def _gone(words: list[str]) -> tuple[Record, int]:
    now, ref = words
    return Gone(float(now), int(ref)), 0


def _due(words: list[str]) -> tuple[Record, int]:
    now, token = words
    return Due(float(now), int(token, 16)), 0


def _final(words: list[str]) -> tuple[Record, int]:
    unix, req_id, kind, owner, key, arrow, uid, status = words
    if arrow != "->":
        raise ValueError("no arrow")
    return Final(int(unix), req_id, kind, owner, key, uid, int(status)), 0


def _lost(words: list[str]) -> tuple[Record, int]:
    (now,) = words
    return Lost(float(now)), 0


_READERS = {
    "H": _header,
    "M": _listed,
    "A": _arrival,
    "S": _sent,
    "O": _ended,
    "G": _gone,
    "T": _due,
    "C": _final,
    "X": _lost,
}


def request(arrival: Arrival, klass: int, tenant: int) -> api.Request:
    """The event as the module was fed it."""
    return api.Request(
        arrival.ref,
        klass,
        max(0.0, arrival.deadline - arrival.now),
        arrival.key_number,
        tenant,
        arrival.write,
        arrival.retry,
        arrival.cost_hint,
    )
