"""One quorum follows another: sealed, chosen, installed.

Seal: a majority of the old witnesses takes part in nothing of the old epoch any more, so nothing new can be
chosen in it, and all that was is among what they keep. Choose: the next quorum and the very registers that
it begins with are one value, chosen by the sealed ones as any register is; whoever else tries comes to the
same. Install: each new witness begins with these. It is the stopping of a replicated machine by an agreed
last command (Lamport, Malkhi and Zhou 2010), with registers in place of a log.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from . import messages as m
from .messages import SUCCESSOR, Member, Quorum, Register, Slot
from .operation import Declined, Kind, Operation, Rounds, Sends
from .witness import merged


class Next(msgspec.Struct, frozen=True, array_like=True):
    """What is chosen: who follows, and with what."""

    quorum: Quorum
    slots: dict[str, Slot]


class Step(Enum):
    """How far it has come."""

    SEAL = "seal"
    CHOOSE = "choose"
    INSTALL = "install"
    DONE = "done"


def allowed(old: Quorum, members: tuple[Member, ...]) -> str:
    """Why these may not follow, if so: one witness goes or comes at a time, a replaced one being both."""
    names = [one.name for one in members]
    if len(set(names)) < len(names) or len({one.storage for one in members}) < len(members):
        return "a witness would vote twice"
    if not members or len(members) > max(m.SIZES):
        return f"{len(members)} witnesses; 1 to {max(m.SIZES)} make a quorum"
    if len(set(members) - set(old.members)) > 1 or len(set(old.members) - set(members)) > 1:
        return "one witness at a time"
    return ""


class Succession:
    """Leads from a quorum to the next; `members` None: whoever was chosen already, else the same ones."""

    def __init__(
        self,
        old: Quorum,
        members: tuple[Member, ...] | None,
        rounds: Rounds,
        mark: str,
        number: Callable[[], int],
    ) -> None:
        self.old, self.new = old, None if members is None else Quorum(old.fleet, old.epoch + 1, members)
        self._rounds, self._mark, self._number = rounds, mark, number
        self.step = Step.SEAL
        self.next: Next | None = None
        self.later: Quorum | None = None  # a quorum of a later epoch is there already
        self._asked = 0
        self._kept: dict[str, dict[str, Slot]] = {}
        self._choice: Operation | None = None
        self._installed: set[str] = set()

    @property
    def beaten(self) -> bool:
        """Whether another one chooses at the same time: wait a little, then `again`."""
        return self._choice is not None and self._choice.beaten

    def begin(self) -> Sends:
        """The first requests."""
        return self._seal()

    def again(self) -> Sends:
        """The answers were too few: ask once more."""
        if self.step is Step.SEAL:
            return self._seal()
        if self.step is Step.CHOOSE and self._choice is not None:
            return self._choice.again()
        return self._install() if self.step is Step.INSTALL else []

    def _seal(self) -> Sends:
        self._asked, self._kept = self._number(), {}
        return [(one.name, m.Seal(self._asked, self.old.fleet, self.old.epoch)) for one in self.old.members]

    def _install(self) -> Sends:
        assert self.next is not None
        self._asked = self._number()
        return [
            (one.name, m.Install(self._asked, self.next.quorum, self.next.slots))
            for one in self.next.quorum.members
        ]

    def heard(self, name: str, answer: m.Answer) -> Sends:
        """What follows from one witness's answer."""
        if isinstance(answer, m.Elsewhere) and answer.quorum is not None:
            if answer.quorum.epoch > self.old.epoch and answer.quorum.fleet == self.old.fleet:
                self.later = answer.quorum
            return []
        if self.step is Step.SEAL and isinstance(answer, m.Sealed):
            return self._sealed(name, answer)
        if self.step is Step.CHOOSE and self._choice is not None:
            return self._chosen(self._choice.heard(name, answer))
        if self.step is Step.INSTALL and isinstance(answer, m.Accepted):
            self._begun(name, answer)
        return []

    def _sealed(self, name: str, answer: m.Sealed) -> Sends:
        if answer.number != self._asked or not self.old.has(name, answer.storage):
            return []
        self._kept[name] = answer.slots
        if len(self._kept) < self.old.majority:
            return []
        new = self.new or Quorum(self.old.fleet, self.old.epoch + 1, self.old.members)
        value = msgspec.msgpack.encode(Next(new, merged(list(self._kept.values()))))

        def first(register: Register) -> bytes:
            if register.version:
                raise Declined  # another has chosen: theirs it is
            return value

        self.step = Step.CHOOSE
        self._choice = Operation(self.old, SUCCESSOR, first, self._rounds, self._mark, self._number)
        return self._choice.begin()

    def _chosen(self, sends: Sends) -> Sends:
        outcome = self._choice.outcome if self._choice else None
        if outcome is None or outcome.kind not in (Kind.DONE, Kind.READ):
            return sends
        self.next = msgspec.msgpack.decode(outcome.register.value, type=Next)
        self.step = Step.INSTALL
        return self._install()

    def _begun(self, name: str, answer: m.Accepted) -> None:
        assert self.next is not None
        if answer.number == self._asked and self.next.quorum.has(name, answer.storage):
            self._installed.add(name)
            if len(self._installed) >= self.next.quorum.majority:
                self.step = Step.DONE
