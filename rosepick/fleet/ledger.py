"""The ledger of a group: who belongs to it, what each is, who is out by which permit, and the halt.

It is one agreed document in one register, changed by compare-and-set alone: a permit is given in the very
change that has counted who is out, so no two readers of old copies can both take the last one. A permit
ends when its member is seen back (`proven`) or is written off by name, never by time.

    IN --take--> GIVEN --begin--> LEAVING --gone--> OUT --coming--> BACK --proven--> IN
                   |withdraw: nothing had begun              ^ from LEAVING too
                   +--> IN

Names of members stand once, states are small numbers, and the whole is deflated (RFC 1951): a ledger of 1,000
members is some 20 KB.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum

import msgspec

from ..agreement.operation import Change, Declined
from .document import Document

START = "fleet/"  # of the names of registers
FORM = 1  # of the document; a newer one is read by nobody older
MOST_MEMBERS = 1_000
KEPT_LINES = 80  # of history
LONGEST_TEXT = 160  # characters of a reason
SMALL = 25  # thousandths: less is no news


class Kind(IntEnum):
    """What a member is."""

    ROUTER = 0
    CACHE = 1


class At(IntEnum):
    """Where a member stands, by its permit."""

    IN = 0
    GIVEN = 1  # a permit, and nothing has begun
    LEAVING = 2
    OUT = 3
    BACK = 4  # started again, and not proven yet


class Want(msgspec.Struct, frozen=True, array_like=True):
    """Somebody wants a member out; `number` gives the order."""

    number: int
    who: str
    why: str
    now: bool = False  # the host dies: at once, over the budget
    below: bool = False  # and even under what must stay
    wide: bool = False  # on the way back from a release: by the wider budget that is stated for it


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A router or a cache node. `weight`: its share of traffic or memory, beside others of its kind."""

    kind: int
    zone: str
    weight: int = 1000
    at: int = At.IN
    permit: int = 0  # the number of its present one
    lost: bool = False  # out unasked: dead, silent, cold, or it says that it serves and does not
    want: Want | None = None
    off: bool = False  # written off by name: neither in nor out, and counted nowhere
    met: bool = False  # it was in once: what never came up is no failure of the fleet

    @property
    def out(self) -> bool:
        """Whether it is missing to the fleet, for whatever reason: counted once."""
        return not self.off and (self.at != At.IN or self.lost)

    @property
    def urgent(self) -> bool:
        """Whether a halt does not keep it in: its host dies, or it goes back to what it ran before."""
        return self.want is not None and (self.want.now or self.want.wide)


class Halt(msgspec.Struct, frozen=True, array_like=True):
    """Nothing goes out until an operator resumes."""

    who: str
    why: str
    when: float  # seconds of the wall clock, for people


class Line(msgspec.Struct, frozen=True, array_like=True):
    """A line of history."""

    when: float
    who: str
    what: str


class Ledger(msgspec.Struct, frozen=True, array_like=True):
    """The document. `rules`: the digest of the budget that all go by; `room`: thousandths of it that the
    store can bear at present; `token`: of the warden that wrote last.
    """

    form: int = FORM
    rules: str = ""
    permits: int = 0  # given so far: the number of the last
    wants: int = 0
    token: int = 0
    room: int = 1000
    halt: Halt | None = None
    members: dict[str, Member] = {}
    history: tuple[Line, ...] = ()
    usual: int = 0  # thousandths of the reads that a cache node has; 0: not known
    sweep: int = 0  # how often a warden that knew of all has counted while somebody waited

    def of(self, kind: int) -> dict[str, Member]:
        """Members of a kind that are not written off."""
        return {name: one for name, one in self.members.items() if one.kind == kind and not one.off}

    def waiting(self) -> list[str]:
        """Who is wanted out and is not out yet, in order."""
        found = [
            (m.want.number, name)
            for name, m in self.members.items()
            if m.want and m.at == At.IN and not m.off
        ]
        return [name for _, name in sorted(found)]


_document = Document(Ledger, FORM, "ledger")
read, packed, change = _document.read, _document.packed, _document.change


def key(group: str) -> str:
    """The register of a group's ledger."""
    return f"{START}{group}/ledger"


def _with(ledger: Ledger, members: Mapping[str, Member], *lines: Line, **more: object) -> Ledger:
    history = (ledger.history + lines)[-KEPT_LINES:]
    return msgspec.structs.replace(ledger, members={**ledger.members, **members}, history=history, **more)


def _member(ledger: Ledger, name: str, permit: int, *at: At) -> Member:
    """A member that stands there under that permit; declined else. Guards against whoever goes on with an
    old one.
    """
    one = ledger.members.get(name)
    if one is None or one.permit != permit or one.at not in at or one.off:
        raise Declined
    return one


def _step(name: str, permit: int, when: float, to: At, *since: At) -> Change:
    def make(ledger: Ledger) -> Ledger:
        one = _member(ledger, name, permit, *since)
        said = Line(when, name, f"{to.name.lower()}, permit {permit}")
        return _with(ledger, {name: msgspec.structs.replace(one, at=int(to))}, said)

    return change(make)


# ---------------------------------------------------------------------------- who belongs to it


def join(name: str, kind: Kind, zone: str, weight: int, rules: str, when: float) -> Change:
    """A member comes in, or comes with another zone or weight. One that is out stays so."""

    def make(ledger: Ledger) -> Ledger:
        before = ledger.members.get(name)
        if (before is None and len(ledger.members) >= MOST_MEMBERS) or rules != (ledger.rules or rules):
            raise Declined
        new = before or Member(int(kind), zone, lost=True)  # until it is seen
        if new.off:
            raise Declined
        new = msgspec.structs.replace(new, kind=int(kind), zone=zone, weight=weight)
        if new == before:
            return ledger
        return _with(ledger, {name: new}, Line(when, name, "joined"), rules=rules)

    return change(make)


def write_off(name: str, who: str, why: str, when: float) -> Change:
    """A member is counted nowhere any more; its permit ends by that."""

    def make(ledger: Ledger) -> Ledger:
        one = ledger.members.get(name)
        if one is None:
            raise Declined
        off = Member(one.kind, one.zone, one.weight, permit=0, off=True)
        return _with(ledger, {name: off}, Line(when, who, f"wrote {name} off: {why}"[:LONGEST_TEXT]))

    return change(make)


def take_on(name: str, who: str, when: float) -> Change:
    """A member that was written off may join again, as one that has to prove itself."""

    def make(ledger: Ledger) -> Ledger:
        one = ledger.members.get(name)
        if one is None or not one.off:
            raise Declined
        back = msgspec.structs.replace(one, off=False, lost=True)
        return _with(ledger, {name: back}, Line(when, who, f"took {name} on again"))

    return change(make)


def set_rules(rules: str, who: str, when: float) -> Change:
    """All go by another budget from now on."""
    return change(lambda ledger: _with(ledger, {}, Line(when, who, f"rules {rules}"), rules=rules))


# ---------------------------------------------------------------------------- what is wanted


def want_out(
    names: Iterable[str],
    who: str,
    why: str,
    when: float,
    now: bool = False,
    below: bool = False,
    wide: bool = False,
) -> Change:
    """Some are to go out, in this order; one that is wanted out already stays where it stands."""

    def make(ledger: Ledger) -> Ledger:
        members, number = dict[str, Member](), ledger.wants
        for name in names:
            one = ledger.members.get(name)
            if one is None or one.off:
                raise Declined
            if one.want is None or (now, below) > (one.want.now, one.want.below):
                number += 1
                want = Want(number, who, why[:LONGEST_TEXT], now, below, wide)
                members[name] = msgspec.structs.replace(one, want=want)
        if not members:
            raise Declined
        text = f"wants {', '.join(members)} out{' NOW' if now else ''}: {why}"
        return _with(ledger, members, Line(when, who, text[:LONGEST_TEXT]), wants=number)

    return change(make)


def want_in(names: Iterable[str], who: str, when: float, only_of: str = "") -> Change:
    """Some are to come back, or not to go. `only_of`: unless somebody else has asked for it."""

    def make(ledger: Ledger) -> Ledger:
        found = {name: ledger.members[name] for name in names if name in ledger.members}
        members = {
            name: msgspec.structs.replace(one, want=None)
            for name, one in found.items()
            if one.want and only_of in ("", one.want.who)
        }
        if not members:
            raise Declined
        return _with(ledger, members, Line(when, who, f"wants {', '.join(members)} in"[:LONGEST_TEXT]))

    return change(make)


# ---------------------------------------------------------------------------- a permit's way


def take(name: str, allowed: Callable[[Ledger, str], bool], when: float) -> Change:
    """A permit, if the budget allows it at this very value of the ledger."""

    def make(ledger: Ledger) -> Ledger:
        one = _member(ledger, name, 0, At.IN)
        if one.want is None or not allowed(ledger, name):
            raise Declined
        number = ledger.permits + 1
        given = msgspec.structs.replace(one, at=int(At.GIVEN), permit=number)
        text = f"permit {number}{', over the budget' if one.want.now else ''}"
        return _with(ledger, {name: given}, Line(when, name, text), permits=number)

    return change(make)


def begin(name: str, permit: int, when: float) -> Change:
    """It goes: from here on the permit counts until its member is proven back. Not while there is a halt,
    and not if it is not wanted any more.
    """

    def make(ledger: Ledger) -> Ledger:
        one = _member(ledger, name, permit, At.GIVEN)
        if one.want is None or (ledger.halt is not None and not one.urgent):
            raise Declined
        said = Line(when, name, f"leaving, permit {permit}")
        return _with(ledger, {name: msgspec.structs.replace(one, at=int(At.LEAVING))}, said)

    return change(make)


def withdraw(name: str, permit: int, when: float) -> Change:
    """A permit under which nothing has begun ends."""

    def make(ledger: Ledger) -> Ledger:
        one = _member(ledger, name, permit, At.GIVEN)
        back = msgspec.structs.replace(one, at=int(At.IN), permit=0)
        return _with(ledger, {name: back}, Line(when, name, f"permit {permit} given back"))

    return change(make)


def gone(name: str, permit: int, when: float) -> Change:
    """It is out."""
    return _step(name, permit, when, At.OUT, At.LEAVING)


def coming(name: str, permit: int, when: float) -> Change:
    """It is being started again."""
    return _step(name, permit, when, At.BACK, At.LEAVING, At.OUT)


def proven(name: str, permit: int, when: float) -> Change:
    """It was seen to be back: the permit ends, and so does what was wanted."""

    def make(ledger: Ledger) -> Ledger:
        one = _member(ledger, name, permit, At.BACK)
        back = msgspec.structs.replace(one, at=int(At.IN), permit=0, want=None)
        return _with(ledger, {name: back}, Line(when, name, f"in, permit {permit} ended"))

    return change(make)


# ---------------------------------------------------------------------------- the halt, and who counts


def _halted(ledger: Ledger, who: str, why: str, when: float) -> Ledger:
    back = {
        name: msgspec.structs.replace(one, at=int(At.IN), permit=0)
        for name, one in ledger.members.items()
        if one.at == At.GIVEN and not one.urgent
    }
    said = Line(when, who, f"halt: {why}"[:LONGEST_TEXT])
    return _with(ledger, back, said, halt=Halt(who, why[:LONGEST_TEXT], when))


def halt(who: str, why: str, when: float) -> Change:
    """Nothing goes out any more; permits that have not begun are withdrawn. A halt that is there stays."""
    return change(lambda ledger: ledger if ledger.halt else _halted(ledger, who, why, when))


def resume(who: str, why: str, when: float) -> Change:
    """An operator lifts the halt."""

    def make(ledger: Ledger) -> Ledger:
        if ledger.halt is None:
            raise Declined
        return _with(ledger, {}, Line(when, who, f"resumed: {why}"[:LONGEST_TEXT]), halt=None)

    return change(make)


def counted(
    lost: Mapping[str, bool],
    room: int,
    usual: int,
    token: int,
    why: str,
    who: str,
    when: float,
    whole: bool = True,
) -> Change:
    """What the warden has found: who is out unasked, what the store can bear, and a reason to halt if there
    is one. A warden under an older token moves nothing.
    """

    def make(ledger: Ledger) -> Ledger:
        if token < ledger.token:
            raise Declined
        told = {
            name: (ledger.members[name], is_lost) for name, is_lost in lost.items() if name in ledger.members
        }
        members = {
            name: msgspec.structs.replace(one, lost=is_lost, met=one.met or not is_lost)
            for name, (one, is_lost) in told.items()
            if not one.off and (one.lost != is_lost or not (one.met or is_lost))
        }
        lines = [
            Line(when, who, f"{name} {'lost' if one.lost else 'found'}") for name, one in members.items()
        ]
        new = _with(ledger, members, *lines, room=room, usual=usual, token=token)
        if whole and new.waiting():
            new = msgspec.structs.replace(new, sweep=new.sweep + 1)
        if why and ledger.halt is None:
            return _halted(new, who, why, when)
        small = abs(room - ledger.room) < SMALL and abs(usual - ledger.usual) < SMALL
        same = small and not members and token == ledger.token and new.sweep == ledger.sweep
        return ledger if same else new

    return change(make)
