"""The history of a fault-injection test: typed events, and their encoding in files of JSON lines.

Times are seconds of the test's clock, the same for all processes. Files contain the tags and field names of
the classes, but not the class names.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec


class Event(msgspec.Struct, frozen=True, tag_field="event"):
    """An event of the history, with the process that it concerns and its time."""

    process: str
    at: float


class RegisterOperation(Event, frozen=True, tag="operation"):
    """A read or change of a register, from `begin` to `at`.

    `mark` is the change id of the operation itself. `seen`, `version` and `base` are the change id, the
    version and the parent change id of the value that the operation returned.
    """

    begin: float
    key: str
    mark: str
    kind: str  # a value of `consensus.proposer.OutcomeKind`, or "open" while no outcome is known
    version: int = 0
    seen: str = ""
    base: str = ""


class LeaseCheckPassed(Event, frozen=True, tag="yes"):
    """A lease holder checked that it may act; the check started at `begin` and had passed by `at`."""

    begin: float
    task: str
    token: int
    who: int


class GuardedEffect(Event, frozen=True, tag="effect"):
    """A resource behind a fencing guard accepted (`taken`) or rejected an effect."""

    task: str
    token: int
    who: int
    taken: bool


class LeaseStateChanged(Event, frozen=True, tag="moved"):
    """A lease client acquired, lost or ended a lease; `where` is its new state."""

    task: str
    token: int
    who: int
    where: str


class AvailabilityChanged(Event, frozen=True, tag="stood"):
    """A member went out of service or came back, as observed from outside.

    `by` is the cause: "program", or "fault" for an injected fault. `free` means that the disruption budget
    does not apply, since an operator requested an immediate drain of the member.
    """

    kind: str  # "routers" or "caches"
    zone: str
    up: bool
    by: str = ""
    free: bool = False


class OperatorOrderAccepted(Event, frozen=True, tag="ordered"):
    """An operator's order was accepted.

    `what` is halt, resume, out, in, now (an immediate drain), off (an eviction) or on (a reinstatement).
    """

    what: str
    names: tuple[str, ...] = ()


class NodeRequestReceived(Event, frozen=True, tag="came"):
    """A cache node received a request; `draining` is true if it had announced a drain before."""

    request: str
    draining: bool


class ClientRequestCompleted(Event, frozen=True, tag="answered"):
    """A client's request ended; `begin` is the time at which its last byte was written.

    `status` is 0 if the connection closed without a response, or if no response arrived within half a second
    after the deadline.
    """

    begin: float
    router: str
    status: int


class DrainAnnounced(Event, frozen=True, tag="told"):
    """All running routers have been notified that a node (`process`) is draining."""


class VersionStarted(Event, frozen=True, tag="ran"):
    """A member started to run a version, as observed from outside."""

    version: str


class ReleaseDecided(Event, frozen=True, tag="decided"):
    """The rollout record changed: members in `may` are allowed to run `version`.

    The read that returned the change lasted from `begin` to `at`. `back` means that the rollout is being
    rolled back. `over` means that no rollout is open and all members should run `version`.
    """

    begin: float
    number: int
    version: str
    may: tuple[str, ...] = ()
    back: bool = False
    over: bool = False


class FaultInjected(Event, frozen=True, tag="fault"):
    """A fault was injected or removed."""

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
    """Encode an event as one line of JSON."""
    return _encoder.encode(event) + b"\n"


def read_events(paths: Iterable[Path]) -> list[AnyEvent]:
    """Read the events of all files and return them ordered by time.

    A last line without a newline is skipped: its process was killed while writing it.
    """
    events: list[AnyEvent] = []
    for path in paths:
        lines = path.read_bytes().splitlines(keepends=True)
        events.extend(_decoder.decode(line) for line in lines if line.endswith(b"\n"))
    return sorted(events, key=lambda event: event.at)


def event_kind(event: AnyEvent) -> str:
    """Return the kind under which an event is printed and counted: its tag, or "injected" for a fault."""
    tag = str(event.__struct_config__.tag)
    return "injected" if tag == "fault" else tag


def format_event(event: AnyEvent) -> str:
    """Format an event as a line of text."""
    fields = msgspec.structs.asdict(event)
    fields.pop("process")
    fields.pop("at")
    details = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"{event.at:10.4f} {event.process:8} {event_kind(event):9} {details}"
