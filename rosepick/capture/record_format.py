"""Defines and formats the records of a capture: lines of words that are separated by one space.

Parsing a line returns exactly the values that were written, as floats have all their digits. Times are in
milliseconds of the event loop's clock, except the Unix time in `C`. Words that clients or the discovery
service chose are percent-encoded.
"""

from __future__ import annotations

import re
from typing import NamedTuple
from urllib.parse import quote_from_bytes, unquote_to_bytes

from ..decisions import api
from ..decisions.api import Endpoint, Result, Status, UpdateScope

FORMAT_VERSION = 1
MAX_WORD_CHARS = 384  # of an encoded word; any id fits, and a line stays shorter than PIPE_BUF
NONE = "-"
STATUS_WORDS = {Status.READY: "active", Status.DRAINING: "leaving", Status.REMOVED: "left"}
STATUS_BY_WORD = {word: status for status, word in STATUS_WORDS.items()}
_UNRESERVED = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~"
_TRUNCATED_ESCAPE = re.compile("%[0-9A-F]?$")

EndpointEntries = tuple[tuple[Endpoint, str], ...]
"""Pairs of an endpoint and its uid, which is encoded as a word."""


def encode_word(data: bytes) -> str:
    """Return bytes as a word without spaces and line ends, truncated to MAX_WORD_CHARS characters."""
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
    """Return the bytes that a word encodes."""
    return b"" if text == NONE else unquote_to_bytes(text)


class SegmentHeader(NamedTuple):
    """Starts a segment (`H`); `preceding_lines` counts the lines of all segments before it.

    The endpoint list follows, one `m` line per endpoint.
    """

    segment: int
    preceding_lines: int
    seed: int
    unix_offset_ms: float  # Unix time minus the time of the loop's clock
    now: float
    version: int  # version of the endpoint list
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
    """Records an update of the endpoint list (`M`); one `m` line per endpoint follows."""

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
    """Records a request that was accepted (`A`)."""

    now: float
    ref: int
    req_id: str
    kind: str
    owner: str
    key: str
    deadline_header: str  # Req-Deadline as the client sent it
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
    """Records an attempt that the decision module sends (`S`)."""

    ref: int
    uid: str

    def text(self) -> str:
        """Return the line of the record."""
        return f"S {self.ref} {self.uid}\n"


class AttemptOutcomeRecord(NamedTuple):
    """Records the outcome of an attempt (`O`)."""

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
    """Records that the client disconnected, or that the engine ended the request by itself (`G`)."""

    now: float
    ref: int

    def text(self) -> str:
        """Return the line of the record."""
        return f"G {self.now!r} {self.ref}\n"


class TimerRecord(NamedTuple):
    """Records that a timer of the decision module fired (`T`)."""

    now: float
    token: int

    def text(self) -> str:
        """Return the line of the record."""
        return f"T {self.now!r} {self.token:x}\n"


class FinalAnswerRecord(NamedTuple):
    """Records the final answer, with the uid of the endpoint of the last attempt (`C`)."""

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
    """Marks the place of records that were too long for a segment (`X`)."""

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
    """Return the `m` line of an endpoint; `uid` is encoded as a word."""
    return (
        f"m {uid} {endpoint.endpoint_id} {STATUS_WORDS[endpoint.status]} {endpoint.started_at!r} "
        f"{endpoint.zone} {endpoint.cell} {endpoint.kind} {endpoint.weight!r}\n"
    )


def to_request_event(arrival: ArrivalRecord, class_index: int, tenant_index: int) -> api.RequestArrived:
    """Return the event that the decision module received for a request."""
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
