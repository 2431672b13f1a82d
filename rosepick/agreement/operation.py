"""One reading or one change of a register, as its caller sees it: a proposer of CASPaxos.

A change is a function of the register's present value. It gives the next value, or raises `Declined`. Each
value has a version, one more than that which it was made of, and the mark of its change: there is one chain
of versions. So a caller that asks again, after an answer was lost, sees whether its change has been made:
its own mark stands there; or that it never will be: another mark stands at that version. Where the chain has
gone further on it cannot be told.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from . import messages as m
from .messages import NONE, Ballot, Quorum, Register

Change = Callable[[Register], bytes]
Sends = list[tuple[str, m.Request]]  # to the witness of that name


class Rounds:
    """The rounds of one caller's ballots: none is used twice, whatever operation it is for."""

    def __init__(self, who: int) -> None:
        self.who = who
        self.last = 0

    def next(self) -> Ballot:
        """A ballot that this caller has not used."""
        self.last += 1
        return self.last, self.who

    def heard(self, ballot: Ballot) -> None:
        """Another one's ballot: the next is above it."""
        self.last = max(self.last, ballot[0])


class Declined(Exception):
    """A change that is not made of this value; the register stays as it is."""


class Kind(Enum):
    """How an operation has ended."""

    DONE = "done"  # the register holds what the change made
    READ = "read"  # it was read, or the change was declined
    UNKNOWN = "unknown"  # the change may have been made, and others after it
    FAILED = "failed"  # nobody could be asked, and nothing has changed


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an operation has ended, and the register as it is then."""

    kind: Kind
    register: Register = Register()
    why: str = ""


class Phase(Enum):
    """What the operation waits for."""

    LOOK = "look"
    PREPARE = "prepare"
    ACCEPT = "accept"


class Operation:
    """Asks the witnesses of a quorum; `heard` takes their answers, and `again` is called when these are too
    few.
    """

    def __init__(
        self,
        quorum: Quorum,
        key: str,
        change: Change | None,
        rounds: Rounds,
        mark: str,
        number: Callable[[], int],
    ) -> None:
        self.quorum, self.key, self.mark = quorum, key, mark
        self._change, self._rounds, self._number = change, rounds, number
        self.outcome: Outcome | None = None
        self.beaten = False  # another ballot came before: wait a little, then `again`
        self.elsewhere: m.Elsewhere | None = None  # the quorum is another one by now
        self.refused: set[str] = set()  # why witnesses did not answer
        self._ballot = NONE
        self._tried: Register | None = None  # what was last sent to be accepted
        self._phase = Phase.LOOK if change is None else Phase.PREPARE
        self._asked = 0  # the number of this phase's requests
        self._votes: dict[str, tuple[Ballot, Register]] = {}
        self._against: set[str] = set()
        self._value = Register()

    # -- asking

    def begin(self) -> Sends:
        """The first requests."""
        return self._look() if self._phase is Phase.LOOK else self._prepare()

    def again(self) -> Sends:
        """The answers were too few, or another ballot came first: ask with a higher one."""
        return self._prepare()

    def move(self, quorum: Quorum) -> Sends:
        """The same with another quorum, into which all that was chosen has gone over."""
        self.quorum, self.elsewhere = quorum, None
        return self._prepare()

    def give_up(self, why: str = "") -> None:
        """No more answers will come."""
        if self.outcome is None:
            kind = Kind.FAILED if self._tried is None else Kind.UNKNOWN
            self.outcome = Outcome(kind, why=why or ", ".join(sorted(self.refused)) or "no majority answers")

    def _all(self, make: Callable[[int], m.Request]) -> Sends:
        self._asked = self._number()
        self._votes.clear()
        self._against.clear()
        self.beaten = False
        return [(one.name, make(self._asked)) for one in self.quorum.members]

    def _look(self) -> Sends:
        fleet, epoch = self.quorum.fleet, self.quorum.epoch
        return self._all(lambda number: m.Look(number, fleet, epoch, self.key))

    def _prepare(self) -> Sends:
        self._phase, self._ballot = Phase.PREPARE, self._rounds.next()
        fleet, epoch, ballot = self.quorum.fleet, self.quorum.epoch, self._ballot
        return self._all(lambda number: m.Prepare(number, fleet, epoch, self.key, ballot))

    def _accept(self, value: Register) -> Sends:
        self._phase, self._value = Phase.ACCEPT, value
        fleet, epoch, ballot = self.quorum.fleet, self.quorum.epoch, self._ballot
        return self._all(lambda number: m.Accept(number, fleet, epoch, self.key, ballot, value))

    # -- hearing

    def heard(self, name: str, answer: m.Answer) -> Sends:
        """What follows from one witness's answer."""
        if (
            self.outcome is not None
            or answer.number != self._asked
            or not self.quorum.has(name, answer.storage)
        ):
            if answer.number == self._asked:
                self.refused.add(f"{name} has another storage")
            return []
        match answer:
            case m.Seen() if self._phase is Phase.LOOK:
                self._votes[name] = answer.ballot, answer.register
                return self._looked()
            case m.Promised() if self._phase is Phase.PREPARE:
                self._votes[name] = answer.ballot, answer.register
                return self._promised()
            case m.Accepted() if self._phase is Phase.ACCEPT:
                self._votes[name] = NONE, self._value
                self._accepted()
            case m.Beaten():
                self._rounds.heard(answer.ballot)
                self._opposed(name)
            case m.Elsewhere():
                self.elsewhere = answer
            case m.NotNow():
                self.refused.add(f"{name}: {answer.why}")
                self._opposed(name)
        return []

    def _opposed(self, name: str) -> None:
        self._against.add(name)
        self.beaten = len(self.quorum.members) - len(self._against) < self.quorum.majority

    def _looked(self) -> Sends:
        """What a majority has accepted under one ballot is chosen, and nothing later was before this began:
        that would have a majority too, and one of these had told of it.
        """
        seen = [ballot for ballot, _ in self._votes.values()]
        for ballot, register in self._votes.values():
            if seen.count(ballot) >= self.quorum.majority:
                self.outcome = Outcome(Kind.READ, register)
                return []
        return self._prepare() if len(seen) == len(self.quorum.members) else []

    def _promised(self) -> Sends:
        if len(self._votes) < self.quorum.majority:
            return []
        last, register = max(self._votes.values(), key=lambda vote: vote[0])
        settled = all(ballot == last for ballot, _ in self._votes.values())
        if register.mark == self.mark:
            return self._accept(register)  # our own change, half made: finish it
        if self._tried is not None and register.version > self._tried.version:
            self.outcome = Outcome(Kind.UNKNOWN, register)
            return []
        try:
            if self._change is None:
                raise Declined
            value = Register(register.version + 1, self.mark, self._change(register), register.mark)
        except Declined:
            return self._left(register, settled)
        self._tried = value
        return self._accept(value)

    def _left(self, register: Register, settled: bool) -> Sends:
        """The register stays as it is; but what is not known to be chosen is made so first, and so is all
        after an accept of ours: guards against its being found and finished later by another.
        """
        if settled and self._tried is None:
            self.outcome = Outcome(Kind.READ, register)
            return []
        return self._accept(register)

    def _accepted(self) -> None:
        if len(self._votes) < self.quorum.majority:
            return
        made = self._value.mark == self.mark
        self.outcome = Outcome(Kind.DONE if made else Kind.READ, self._value)
