"""What happened in a drill, by the drill's one clock (seconds), and what each process was seen to do."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec


class Event(msgspec.Struct, frozen=True, tag_field="event"):
    """All of them have a process and a moment."""

    process: str
    at: float


class RegisterOperation(Event, frozen=True, tag="operation"):
    """A reading or change of a register: from `begin` to `at`. `mark` is its own, `seen` that of the value
    that it ended with, `version` that value's, and `base` the mark of the value before it.
    """

    begin: float
    key: str
    mark: str
    kind: str  # as in agreement.operation.Kind; "open": it never ended
    version: int = 0
    seen: str = ""
    base: str = ""


class LeaseCheckPassed(Event, frozen=True, tag="yes"):
    """A holder was told that it may act: asked at `begin`, told by `at`."""

    begin: float
    task: str
    token: int
    who: int


class GuardedEffect(Event, frozen=True, tag="effect"):
    """A guarded resource took a step, or refused it."""

    task: str
    token: int
    who: int
    taken: bool


class LeaseStateChanged(Event, frozen=True, tag="moved"):
    """A contender has come to hold, lose or end a lease."""

    task: str
    token: int
    who: int
    where: str


class AvailabilityChanged(Event, frozen=True, tag="stood"):
    """A member has gone out of service or come back, as seen from outside. `by`: "program", or "fault" of
    the drill. `free`: the budget does not bind it, as its host was said to die.
    """

    kind: str  # "routers" or "caches"
    zone: str
    up: bool
    by: str = ""
    free: bool = False


class OperatorOrderAccepted(Event, frozen=True, tag="ordered"):
    """An operator's word was taken: halt, resume, out, in, off, on."""

    what: str
    names: tuple[str, ...] = ()


class NodeRequestReceived(Event, frozen=True, tag="came"):
    """A cache node got a request; `draining`: it had said that it takes nothing new."""

    request: str
    draining: bool


class ClientRequestCompleted(Event, frozen=True, tag="answered"):
    """A client's request, from its last byte written at `begin`. `status` 0: its connection ended without
    an answer, or its time and half a second more were over.
    """

    begin: float
    router: str
    status: int


class DrainAnnounced(Event, frozen=True, tag="told"):
    """All routers that run have been told that a node (`process`) wants nothing new."""


class VersionStarted(Event, frozen=True, tag="ran"):
    """A member has begun to run a version, as seen from outside."""

    version: str


class ReleaseDecided(Event, frozen=True, tag="decided"):
    """The record of releases said something new: from `begin` (it said so by `at`) these may run `version`.
    `back`: it is being taken back. `over`: no release is open, and all are to run `version`.
    """

    begin: float
    number: int
    version: str
    may: tuple[str, ...] = ()
    back: bool = False
    over: bool = False


class FaultInjected(Event, frozen=True, tag="fault"):
    """A fault was put in, or taken out again."""

    fault: str
    detail: str = ""


AnyEvent = (
    RegisterOperation
    | LeaseCheckPassed
    | GuardedEffect
    | LeaseStateChanged
    | AvailabilityChanged
    | OperatorOrderAccepted
    | NodeRequestReceived
    | ClientRequestCompleted
    | DrainAnnounced
    | VersionStarted
    | ReleaseDecided
    | FaultInjected
)
_decoder: msgspec.json.Decoder[AnyEvent] = msgspec.json.Decoder(AnyEvent)
_encoder = msgspec.json.Encoder()


def encode_line(event: AnyEvent) -> bytes:
    """An event as a line."""
    return _encoder.encode(event) + b"\n"


def read_events(paths: Iterable[Path]) -> list[AnyEvent]:
    """Events of some files in order. A last line that was cut off by a kill is left out."""
    found: list[AnyEvent] = []
    for path in paths:
        for text in path.read_bytes().splitlines(keepends=True):
            if text.endswith(b"\n"):
                found.append(_decoder.decode(text))
    return sorted(found, key=lambda event: event.at)


def kind_of(event: AnyEvent) -> str:
    """The kind under which an event is printed and counted: its tag, but "injected" for a fault."""
    tag = str(event.__struct_config__.tag)
    return "injected" if tag == "fault" else tag


def format_event(event: AnyEvent) -> str:
    """An event for people."""
    fields = msgspec.structs.asdict(event)
    fields.pop("process"), fields.pop("at")
    kind = kind_of(event)
    return f"{event.at:10.4f} {event.process:8} {kind:9} " + " ".join(f"{k}={v}" for k, v in fields.items())
