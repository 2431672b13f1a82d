"""The record of a group's releases: what every router is to run, who has come to it, and the decisions.

It is one agreed document in a register beside the ledger, changed by compare-and-set alone. It holds all
that a leader needs, so any other goes on where one has stopped; a leader under an older token moves
nothing. A release takes nobody out: each member goes under a permit of the drains, asked for by its own
agent.

    FORWARD --all waves--> WATCH --in time--> closed: the new one is the base
       |   worse, or an operator's word |
       +----------> BACK <--------------+  --all are back--> closed: the old one stays the base
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import IntEnum
from math import ceil

import msgspec

from ..agreement.operation import Change, Declined
from .document import Document
from .ledger import LONGEST_TEXT, START, Halt, Kind, Ledger, Line

FORM = 1
KEPT_LINES = 60
WORD = "release "  # of who asks for a member on behalf of a release
BUILD, SETTINGS = "build", "settings"


class Phase(IntEnum):
    """Where an open release stands."""

    FORWARD = 0
    WATCH = 1  # all run the new one, which is looked at for a while yet
    BACK = 2


class Thing(msgspec.Struct, frozen=True, array_like=True):
    """A build's folder or a file of settings: its name, its digest, and where each host finds it."""

    name: str
    digest: str
    source: str


class Release(msgspec.Struct, frozen=True, array_like=True):
    """An open release. `waves`: members by wave; those up to `wave` may run the new one, on the way back
    those from `wave` on are to run the old one. `watched`: milliseconds that this wave was looked at.
    `left`: who cannot follow, and why; they block nobody.
    """

    number: int
    kind: str
    new: Thing
    old: Thing
    waves: tuple[tuple[str, ...], ...]
    phase: int = Phase.FORWARD
    wave: int = 0
    watched: int = 0
    held: Halt | None = None  # nobody begins anything before an operator goes on
    left: dict[str, str] = {}
    evidence: tuple[float, ...] = ()
    asks: bool = False  # it is held as the figures do not say enough
    taken_on: bool = False  # an operator has this wave go on without them

    def may_run(self, name: str) -> Thing:
        """What a member is to run."""
        place = next((n for n, names in enumerate(self.waves) if name in names), None)
        if self.phase == Phase.WATCH:
            return self.new
        if self.phase == Phase.BACK:
            return self.old if place is None or place >= self.wave else self.new
        return self.new if place is not None and place <= self.wave else self.old

    def here(self) -> tuple[str, ...]:
        """The members of the present wave."""
        return self.waves[self.wave] if 0 <= self.wave < len(self.waves) else ()


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The document. `base`: what members run when nothing is open, by kind; a host that was off meanwhile
    comes to it. `token`: of the leader that wrote last.
    """

    form: int = FORM
    releases: int = 0  # so far: the number of the last
    token: int = 0
    base: dict[str, Thing] = {}
    now: Release | None = None
    history: tuple[Line, ...] = ()

    def goal(self, name: str, kind: str) -> Thing | None:
        """What a member is to run; None: whatever it does."""
        if self.now is not None and self.now.kind == kind:
            return self.now.may_run(name)
        return self.base.get(kind)

    @property
    def word(self) -> str:
        """Who asks for a member on behalf of a release."""
        return f"{WORD}{self.releases}"


_document = Document(Record, FORM, "record of releases")
read, packed, change = _document.read, _document.packed, _document.change


def key(group: str) -> str:
    """The register of a group's releases."""
    return f"{START}{group}/releases"


def _with(record: Record, now: Release | None, *lines: Line, **more: object) -> Record:
    history = (record.history + lines)[-KEPT_LINES:]
    return msgspec.structs.replace(record, now=now, history=history, **more)


def _line(when: float, who: str, what: str) -> Line:
    return Line(when, who, what[:LONGEST_TEXT])


# ---------------------------------------------------------------------------- an operator's word


def start(
    kind: str, new: Thing, old: Thing, waves: Sequence[Sequence[str]], who: str, why: str, when: float
) -> Change:
    """Open a release. Declined while another one is open, and if the old one is not what the fleet runs."""

    def make(record: Record) -> Record:
        base = record.base.get(kind, old)
        if record.now is not None or base.digest != old.digest or new.digest == old.digest:
            raise Declined
        number = record.releases + 1
        plan = tuple(tuple(names) for names in waves if names)
        release = Release(number, kind, new, base, plan, wave=-1)
        said = _line(when, who, f"release {number}: {kind} {new.name} for {base.name}: {why}")
        return _with(record, release, said, releases=number, base={**record.base, kind: base})

    return change(make)


def _open(record: Record) -> Release:
    if record.now is None:
        raise Declined
    return record.now


def hold(who: str, why: str, when: float) -> Change:
    """Nobody begins anything, until an operator goes on or goes back."""

    def make(record: Record) -> Record:
        now = _open(record)
        if now.held is not None:
            return record
        held = Halt(who, why[:LONGEST_TEXT], when)
        return _with(record, msgspec.structs.replace(now, held=held), _line(when, who, f"held: {why}"))

    return change(make)


def go_on(who: str, why: str, when: float) -> Change:
    """An operator has it go on. Its wave is looked at anew, and whoever was left behind is waited for
    again.
    """

    def make(record: Record) -> Record:
        now = _open(record)
        if now.held is None:
            raise Declined
        on = msgspec.structs.replace(now, held=None, watched=0, left={}, asks=False, taken_on=now.asks)
        return _with(record, on, _line(when, who, f"goes on: {why}"))

    return change(make)


def _back(record: Record, now: Release, who: str, why: str, when: float) -> Record:
    last = len(now.waves) - 1 if now.phase == Phase.WATCH else now.wave
    to = msgspec.structs.replace(
        now, phase=int(Phase.BACK), wave=last, watched=0, held=None, left={}, evidence=(),
        asks=False, taken_on=False,
    )  # fmt: skip
    return _with(record, to, _line(when, who, f"goes back: {why}"))


def back(who: str, why: str, when: float) -> Change:
    """An operator has it taken back; one that is held too."""

    def make(record: Record) -> Record:
        now = _open(record)
        if now.phase == Phase.BACK and now.held is None:
            return record
        return _back(record, now, who, why, when)

    return change(make)


def forward(who: str, why: str, when: float) -> Change:
    """An operator has one that goes back go forward again: from the last wave that all of still run it. Who
    has not come back yet of the others does, so that there is something to compare with.
    """

    def make(record: Record) -> Record:
        now = _open(record)
        if now.phase != Phase.BACK:
            raise Declined
        wave = max(-1, min(now.wave, len(now.waves)) - 1)
        to = msgspec.structs.replace(
            now, phase=int(Phase.FORWARD), wave=wave, watched=0, held=None, left={}, evidence=(),
            asks=False, taken_on=True,
        )  # fmt: skip
        return _with(record, to, _line(when, who, f"forward again: {why}"))

    return change(make)


# ---------------------------------------------------------------------------- a leader's


def _led(record: Record, token: int, number: int, wave: int, phase: int) -> Release:
    """The release as the leader saw it, if the leader still may move it. Guards against one that was
    paused.
    """
    now = _open(record)
    if token < record.token or (now.number, now.wave, now.phase) != (number, wave, phase):
        raise Declined
    return now


def led(
    seen: Release,
    token: int,
    who: str,
    when: float,
    what: str = "",
    why: str = "",
    watched: int | None = None,
    left: Mapping[str, str] | None = None,
    evidence: tuple[float, ...] | None = None,
) -> Change:
    """A leader's step. `what`: "next" wave, "worse", "hold", "ask", "close", or nothing but what it has
    watched and whom it leaves behind. `evidence`: of the present wave, or with "next" what the next one
    begins with.
    """

    def make(record: Record) -> Record:
        now = _led(record, token, seen.number, seen.wave, seen.phase)
        now = msgspec.structs.replace(
            now,
            watched=now.watched if watched is None else watched,
            left={**now.left, **(left or {})},
            evidence=now.evidence if evidence is None else evidence,
        )
        if now.held is not None:
            raise Declined
        record = msgspec.structs.replace(record, token=token)
        lines = [_line(when, who, f"{name} is left behind: {text}") for name, text in (left or {}).items()]
        if what == "worse":
            return _back(_with(record, now, *lines), now, who, why, when)
        if what in ("hold", "ask"):
            why_held = Halt(who, why[:LONGEST_TEXT], when)
            held = msgspec.structs.replace(now, held=why_held, asks=what == "ask")
            return _with(record, held, *lines, _line(when, who, f"held: {why}"))
        if what == "close":
            return _closed(_with(record, now, *lines), now, who, why, when)
        if what == "next":
            return _with(record, _further(now), *lines, _line(when, who, f"{_named(_further(now))}: {why}"))
        return _with(record, now, *lines)

    return change(make)


def _further(now: Release) -> Release:
    """The next wave; after the last one forward, the watch."""
    now = msgspec.structs.replace(now, watched=0, asks=False, taken_on=False)
    if now.phase == Phase.BACK:
        return msgspec.structs.replace(now, wave=now.wave - 1)
    if now.wave + 1 < len(now.waves):
        return msgspec.structs.replace(now, wave=now.wave + 1)
    return msgspec.structs.replace(now, phase=int(Phase.WATCH))


def _closed(record: Record, now: Release, who: str, why: str, when: float) -> Record:
    """All run one version: the new one, or the old one again."""
    runs = now.old if now.phase == Phase.BACK else now.new
    said = _line(when, who, f"release {now.number} closed, {runs.name} runs: {why}")
    return _with(record, None, said, base={**record.base, now.kind: runs})


def _named(now: Release) -> str:
    if now.phase == Phase.WATCH:
        return "all run it"
    return f"wave {now.wave + 1} of {len(now.waves)}{' back' if now.phase == Phase.BACK else ''}"


def named(now: Release) -> str:
    """Where a release stands, in words."""
    return _named(now)


# ---------------------------------------------------------------------------- its waves


def waves(ledger: Ledger, plan: Sequence[int | str]) -> list[list[str]]:
    """Routers by wave. A step of `plan` is a number, a part of all ("2%"), "zone": what is left of the zone
    that was begun, or "rest": each zone that is left, one after the other. The zone with fewest routers is
    first, and zones are not mixed before it is done. Steps that find nobody are left out.
    """
    routers = ledger.of(Kind.ROUTER)
    zones: dict[str, list[str]] = {}
    for name in sorted(routers):
        zones.setdefault(routers[name].zone, []).append(name)
    order = sorted(zones, key=lambda zone: (len(zones[zone]), zone))
    found: list[list[str]] = []
    here = zones[order[0]] if order else []
    for step in plan:
        if step == "rest":
            break
        many = len(here) if step == "zone" else _many(step, len(routers))
        found.append(here[:many])
        here = here[many:]
    found += [here, *(zones[zone] for zone in order[1:])]
    return [names for names in found if names]


def _many(step: int | str, all_of: int) -> int:
    if isinstance(step, int):
        return step
    return max(1, ceil(float(step.rstrip("%")) / 100.0 * all_of))
