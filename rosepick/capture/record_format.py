"""The records of a capture, and how they are written: one line each, of words separated by a blank.

A line reads back as exactly what was written: floats have all their digits. Times are milliseconds of the
event loop's clock, except the one in `C`, which is Unix time. Words of clients and of discovery are
percent-encoded.
"""

from __future__ import annotations

import re
from typing import NamedTuple
from urllib.parse import quote_from_bytes, unquote_to_bytes

from ..decisions import api
from ..decisions.api import Endpoint, Result, Status, UpdateScope

FORMAT_VERSION = 1
MAX_WORD_CHARS = 384  # of a word as written: any id fits, and a line stays below PIPE_BUF
NONE = "-"
STATUS_WORDS = {Status.READY: "active", Status.DRAINING: "leaving", Status.REMOVED: "left"}
STATUS_BY_WORD = {word: status for status, word in STATUS_WORDS.items()}
_UNRESERVED = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~"
_TRUNCATED_ESCAPE = re.compile("%[0-9A-F]?$")

EndpointEntries = tuple[tuple[Endpoint, str], ...]
"""Endpoints, each with its uid as a word."""


def encode_word(data: bytes) -> str:
    """Return a word of a client or of discovery, cut at MAX_WORD_CHARS and without blanks or ends of line."""
    if data.translate(None, _UNRESERVED):
        text = quote_from_bytes(data[:MAX_WORD_CHARS], safe="!$&'()*+,/:;=@")
    else:
        text = data.decode()
    if len(text) > MAX_WORD_CHARS:
        text = _TRUNCATED_ESCAPE.sub("", text[:MAX_WORD_CHARS])
    if not text:
        return NONE
    return "%2D" if text == NONE else text


def decode_word(text: str) -> bytes:
    """Return the bytes of a word."""
    return b"" if text == NONE else unquote_to_bytes(text)


class SegmentHeader(NamedTuple):
    """`H`: a segment begins, after `preceding_lines` in all segments before it; the endpoint list follows."""

    segment: int
    preceding_lines: int
    seed: int
    unix_offset_ms: float  # Unix time less the loop's clock
    now: float
    version: int  # of the endpoint list
    members: EndpointEntries = ()

    def text(self) -> str:
        """Return the lines of the record."""
        return self.first_line(len(self.members)) + "".join(format_entry(*member) for member in self.members)

    def first_line(self, member_count: int) -> str:
        """Return the first line of the record; one line for each member follows it."""
        return (
            f"H {FORMAT_VERSION} {self.segment} {self.preceding_lines} {self.seed:x} "
            f"{self.unix_offset_ms!r} {self.now!r} {self.version} {member_count}\n"
        )


class EndpointListRecord(NamedTuple):
    """`M`: an update of the endpoint list; its entries follow, one `m` each."""

    now: float
    scope: UpdateScope
    version: int
    members: EndpointEntries = ()

    def text(self) -> str:
        """Return the lines of the record."""
        return self.first_line(len(self.members)) + "".join(format_entry(*member) for member in self.members)

    def first_line(self, member_count: int) -> str:
        """Return the first line of the record; one line for each member follows it."""
        return f"M {self.now!r} {self.scope.value} {self.version} {member_count}\n"


class ArrivalRecord(NamedTuple):
    """`A`: a request was accepted."""

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
        """Return the line of the record."""
        cost = NONE if self.cost_hint is None else repr(self.cost_hint)
        flags = ("w" if self.write else "") + ("r" if self.retry else "") or NONE
        return (
            f"A {self.now!r} {self.ref} {self.req_id} {self.kind} {self.owner} {self.key} "
            f"{self.deadline_header} {self.deadline!r} {self.key_number:x} {flags} {cost}\n"
        )


class AttemptSentRecord(NamedTuple):
    """`S`: the module sends an attempt."""

    ref: int
    uid: str

    def text(self) -> str:
        """Return the line of the record."""
        return f"S {self.ref} {self.uid}\n"


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
        """Return the line of the record."""
        flags = ("c" if self.closed else "") + ("s" if self.malformed else "") or NONE
        return (
            f"O {self.now!r} {self.ref} {self.attempt} {self.result.value} {self.cache_status} "
            f"{flags} {self.latency_ms!r}\n"
        )


class ClientGoneRecord(NamedTuple):
    """`G`: the client has left, or something other than the module has ended the request."""

    now: float
    ref: int

    def text(self) -> str:
        """Return the line of the record."""
        return f"G {self.now!r} {self.ref}\n"


class TimerRecord(NamedTuple):
    """`T`: a timer of the module fired."""

    now: float
    token: int

    def text(self) -> str:
        """Return the line of the record."""
        return f"T {self.now!r} {self.token:x}\n"


class FinalAnswerRecord(NamedTuple):
    """`C`: the final answer, with the uid of the endpoint that was chosen last."""

    unix_ms: int
    req_id: str
    kind: str
    owner: str
    key: str
    uid: str
    status: int

    def text(self) -> str:
        """Return the line of the record."""
        return (
            f"C {self.unix_ms} {self.req_id} {self.kind} {self.owner} {self.key} -> "
            f"{self.uid} {self.status}\n"
        )


class LostRecord(NamedTuple):
    """`X`: a record that was too long for any segment."""

    now: float

    def text(self) -> str:
        """Return the line of the record."""
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


def format_entry(endpoint: api.Endpoint, uid: str) -> str:
    """Return the line of an endpoint, with its uid as a word."""
    return (
        f"m {uid} {endpoint.endpoint_id} {STATUS_WORDS[endpoint.status]} {endpoint.started_at!r} "
        f"{endpoint.zone} {endpoint.cell} {endpoint.kind} {endpoint.weight!r}\n"
    )


def to_request_event(arrival: ArrivalRecord, class_index: int, tenant_index: int) -> api.RequestArrived:
    """Return the event that the module was fed for a request."""
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
