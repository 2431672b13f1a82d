"""What is agreed about a task: who holds it, under which token, and who waits in line."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..agreement.messages import Register
from ..agreement.operation import Change, Declined

START = "lease/"  # of the names of registers
LONGEST_LINE = 256  # who comes later asks without a place


class Waiter(msgspec.Struct, frozen=True, array_like=True):
    """One in line. `who` is drawn at each start, 0 for whoever of that name comes."""

    who: int
    name: str

    def is_for(self, who: int, name: str) -> bool:
        """Whether a contender may take this place."""
        return self.name == name and self.who in (0, who)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A task. The token grows at each grant and never goes back; `beat` grows at each renewal."""

    token: int = 0
    held: bool = False
    who: int = 0
    name: str = ""
    beat: int = 0
    ttl: float = 0.0  # milliseconds
    line: tuple[Waiter, ...] = ()
    note: str = ""  # who took it away, and why

    def held_by(self, who: int, token: int) -> bool:
        """Whether this start of a holder has it under that token."""
        return self.held and self.who == who and self.token == token


def read(register: Register) -> Record:
    """The task that a register holds; a new one if it holds nothing."""
    return msgspec.msgpack.decode(register.value, type=Record) if register.value else Record()


def key(task: str) -> str:
    """The name of a task's register."""
    return START + task


def _change(make: Callable[[Record], Record]) -> Change:
    """A change of the record as a change of its register."""
    return lambda register: msgspec.msgpack.encode(make(read(register)))


def take(seen: Record, who: int, name: str, ttl: float) -> Change:
    """The lease goes to this one, if nothing has happened since the record was seen. Those that stood before
    it in line are dropped: they had their time.
    """

    def make(now: Record) -> Record:
        if (now.token, now.held, now.beat) != (seen.token, seen.held, seen.beat):
            raise Declined
        place = next((n for n, one in enumerate(now.line) if one.is_for(who, name)), -1)
        return Record(now.token + 1, True, who, name, 0, ttl, now.line[place + 1 :])

    return _change(make)


def renew(who: int, token: int, ttl: float) -> Change:
    """The holder goes on."""

    def make(now: Record) -> Record:
        if not now.held_by(who, token):
            raise Declined
        return msgspec.structs.replace(now, beat=now.beat + 1, ttl=ttl)

    return _change(make)


def give_back(who: int, token: int, successor: str = "") -> Change:
    """The holder has stopped and lets go; a successor named stands first in line."""

    def make(now: Record) -> Record:
        if not now.held_by(who, token):
            raise Declined
        line = tuple(one for one in now.line if one.name != successor)
        first = (Waiter(0, successor),) if successor else ()
        return msgspec.structs.replace(now, held=False, line=(first + line)[:LONGEST_LINE], note="")

    return _change(make)


def stand_in_line(who: int, name: str) -> Change:
    """A contender waits its turn."""

    def make(now: Record) -> Record:
        if any(one.is_for(who, name) for one in now.line) or len(now.line) >= LONGEST_LINE:
            raise Declined
        return msgspec.structs.replace(now, line=(*now.line, Waiter(who, name)))

    return _change(make)


def leave_line(who: int) -> Change:
    """A contender does not wait any more."""

    def make(now: Record) -> Record:
        line = tuple(one for one in now.line if one.who != who)
        if line == now.line:
            raise Declined
        return msgspec.structs.replace(now, line=line)

    return _change(make)


def force(by: str, why: str) -> Change:
    """Nobody's renewal counts any more: the token goes on. The holder may act until its time is over, so who
    comes next still waits for that: the task stays held, by nobody.
    """

    def make(now: Record) -> Record:
        if not now.held:
            raise Declined
        note = f"taken from {now.name} by {by}: {why}"[:400]
        return msgspec.structs.replace(now, token=now.token + 1, who=0, name="", beat=0, note=note)

    return _change(make)
