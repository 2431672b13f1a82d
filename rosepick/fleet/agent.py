"""What one agent does for its member: a machine without I/O and clock.

It asks for permits, carries a drain out, brings its member back and ends the permit by proof. What it is
doing is kept on its disk before it is done, so that it goes on with it after its own death. Without the
quorum it begins nothing, and brings back what it has out. Times are milliseconds of its own clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..agreement.operation import Change, Kind, Outcome
from . import ledger as book
from .budget import Budget, allowed
from .carrier import Carrier
from .document import LedgerError
from .ledger import At, Ledger, Member

NEAR = 0.8  # of its neighbours' hit share: a cache node says that it is warm, and has to be seen to


EACH = 10.0  # milliseconds between two looks of all members together
FRESH = 2_000.0  # milliseconds: a member is taken out by a reading of the ledger that is no older


@dataclass(frozen=True, slots=True)
class Terms:
    """How an agent goes about it; milliseconds. `lonely`: without an answer of the quorum for so long it
    brings back what is out; `steady`: a member serves for so long before it counts as back; `quiet`: nobody
    has sent anything to a draining member for so long.
    """

    look: float = 500.0
    lonely: float = 6_000.0
    steady: float = 2_000.0
    quiet: float = 1_000.0
    counted: float = 3_000.0  # a permit is taken only if a warden has counted in the last so long


class Do(Enum):
    """What is to be done with the member now."""

    NOTHING = "nothing"
    START = "start"
    DRAIN = "drain"  # take nothing new
    KEEP = "keep"  # it drains no more
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Own:
    """How the member is, as its agent sees it: the worse of what it says and what is seen."""

    running: bool = False
    serving: bool = False
    draining: bool = False
    ending: bool = False  # it was told to end
    idle: bool = False  # nothing is in hand, and nothing has come for `Terms.quiet`
    warm: bool = True  # a cache node: it says so
    hit_share: float | None = None  # of a cache node's reads of late; None: too few
    bad: str = ""  # a figure breaks its stated line: why
    wrong: bool = False  # it runs another build than it is to run
    ends: int = 0  # how often it has ended by itself


class Kept(Protocol):
    """Where an agent keeps what it is doing."""

    def load(self) -> tuple[int, int]:
        """Where its member stands, and the permit; zeros if nothing is kept."""

    def save(self, at: int, permit: int) -> None:
        """It is on the disk when this returns. OSError if it cannot be."""


@dataclass(frozen=True, slots=True)
class Ask:
    """A reading of the ledger, or a change of it."""

    what: str
    change: Change | None


class Agent:
    """One question is open at a time: `ask`, then `answered`."""

    def __init__(
        self, name: str, kind: book.Kind, zone: str, weight: int, budget: Budget, terms: Terms, kept: Kept
    ) -> None:
        self.name, self.kind, self.zone, self.weight = name, kind, zone, weight
        self.budget, self.terms, self._kept = budget, terms, kept
        self.rules = budget.digest()
        at, self.permit = kept.load()
        self.at = At(at)
        self.ledger: Ledger | None = None
        self.unreadable = ""  # why the ledger cannot be read
        self._heard: float | None = None  # when the quorum last answered, or this agent began
        self._read_at = -FRESH - 1.0  # the ledger is as it was at some time since then
        self._asked: float | None = None  # a question is open since then
        self._next = 0.0
        self._serves_since: float | None = None
        self._sweep = (-1, 0.0)  # the last count that was seen, and when it was new
        self._alone = 0.0  # for how long there was no answer, until one came
        self.carrier: Carrier | None = None  # its part in releases, if it has one
        self._ends = 0

    # -- what is to be done with the member

    def lonely(self, now: float) -> bool:
        """Whether the quorum has not answered for long."""
        return self._heard is not None and now - self._heard > self.terms.lonely

    def deed(self, now: float, own: Own) -> Do:
        """What is to be done now. STOP and DRAIN are for the guard: under `permit`."""
        self._serves_since = (
            None if not own.serving else now if self._serves_since is None else self._serves_since
        )
        self._heard = now if self._heard is None else self._heard
        if self.carrier is not None:
            self.carrier.step(now, self.at, own.ends > self._ends, self.proven(now, own), own.wrong)
            self._ends = own.ends
        if self.at in (At.LEAVING, At.OUT) and self._comes_back(now) and not self._must_stop(own):
            self._stand(At.BACK, self.permit)
        if self.at == At.LEAVING:
            return self._leave(now, own)
        if self.at == At.OUT:
            return Do.STOP if own.running else Do.NOTHING  # somebody else has started it
        if not own.running:
            return Do.START
        if self.at == At.BACK and (own.wrong or own.ending):
            return Do.STOP
        return Do.KEEP if own.draining and self.kind == book.Kind.CACHE else Do.NOTHING

    def _leave(self, now: float, own: Own) -> Do:
        if not own.running:
            self._stand(At.OUT, self.permit)
            return Do.NOTHING
        if now - self._read_at > FRESH and not own.ending:
            return (
                Do.NOTHING
            )  # guards against going out by a reading from before a pause: there may be a halt by now
        if self.kind == book.Kind.CACHE and not own.idle:
            return Do.DRAIN
        return Do.STOP

    def _must_stop(self, own: Own) -> bool:
        """A member that was told to end does; there is no way back but through its end."""
        return own.running and own.ending

    def _comes_back(self, now: float) -> bool:
        """Whether what is out is to come back: not wanted out any more, a halt, or no quorum."""
        mine = self._mine()
        if self.lonely(now):
            return True
        if self.ledger is None:
            return False  # this agent has begun just now: what it has out stays so until it knows better
        halted = self.ledger.halt is not None
        return mine is None or mine.want is None or mine.permit != self.permit or (halted and not mine.urgent)

    def proven(self, now: float, own: Own) -> bool:
        """Whether the member is back beyond doubt."""
        since, steady = self._serves_since, self.terms.steady
        if self.carrier is not None and self.carrier.trial:
            steady = max(steady, self.carrier.terms.settle)
        if not own.warm or own.draining or own.wrong or since is None or now - since < steady:
            return False
        usual = 0.0 if self.ledger is None else self.ledger.usual / 1000.0
        return own.hit_share is None or own.hit_share >= NEAR * usual

    def _mine(self) -> Member | None:
        return None if self.ledger is None else self.ledger.members.get(self.name)

    def _stand(self, at: At, permit: int) -> None:
        """Kept before anything is done by it."""
        if (at, permit) != (self.at, self.permit):
            self._kept.save(int(at), permit)
            self.at, self.permit = at, permit

    # -- what the ledger is asked

    def wake(self) -> float:
        """When there is something to ask next."""
        return self._next

    def ask(self, now: float, own: Own, wall: float) -> Ask | None:
        """A question, if it is time for one and none is open. `wall`: seconds of the wall clock, for people
        and for hours in which nothing goes.
        """
        if self._asked is not None or now < self._next:
            return None
        self._asked = now
        if self.ledger is None or self.unreadable or self.lonely(now):
            return Ask("look", None)
        return self._question(now, own, wall, self.ledger)

    def _question(self, now: float, own: Own, wall: float, ledger: Ledger) -> Ask:
        mine = ledger.members.get(self.name)
        told = self.kind, self.zone, self.weight
        if mine is None or (not mine.off and (mine.kind, mine.zone, mine.weight) != told):
            return Ask("join", book.join(self.name, *told, self.rules, wall))
        if mine.off:
            return Ask("look", None)
        self._agree(mine)
        why = self._alarm(ledger, own)
        if why:
            self._alone = 0.0
            return Ask("halt", book.halt(self.name, why, wall))
        return self._next_step(now, own, wall, ledger, mine)

    def _agree(self, mine: Member) -> None:
        """Bring what is kept here and what is agreed together. Where the ledger has gone on without us,
        that counts.
        """
        if self.at == At.IN and mine.at != At.IN:
            # our disk knew nothing of it: what had begun comes back, as nobody can tell how far it was
            self._stand(At.GIVEN if mine.at == At.GIVEN else At.BACK, mine.permit)
        elif self.at != At.IN and mine.permit != self.permit:
            self._stand(At.IN, 0)  # ended, withdrawn or written off
        elif self.at == At.GIVEN and mine.at == At.LEAVING:
            self._stand(At.LEAVING, self.permit)  # the answer was lost

    def _alarm(self, ledger: Ledger, own: Own) -> str:
        """Why this agent halts all drains, if it does."""
        if ledger.halt is not None or all(one.at == At.IN for one in ledger.members.values()):
            self._alone = 0.0
            return ""
        if self._alone > self.terms.lonely:
            return f"no quorum for {self._alone / 1000.0:.0f} s amid a drain"
        judged = self.carrier is not None and self.carrier.judged()  # then it is for who leads the release
        return f"{self.name}: {own.bad}" if own.bad and not judged else ""

    def _next_step(self, now: float, own: Own, wall: float, ledger: Ledger, mine: Member) -> Ask:
        name, permit = self.name, self.permit
        if self.carrier is not None and mine.at == self.at:
            wish = self.carrier.wish(now, self.at, mine, ledger, wall)
            if wish is not None:
                return Ask("wish", wish)
        if self.at == At.IN and mine.want is not None:
            minute = int(wall // 60) % (24 * 60)
            fresh = mine.want.now or now - self._sweep[1] <= self.terms.counted
            if fresh and self._may(minute, ledger, name):
                return Ask("take", book.take(name, lambda read, who: self._may(minute, read, who), wall))
        elif self.at == At.GIVEN:
            unwanted = mine.want is None or (ledger.halt is not None and not mine.urgent)
            make = book.withdraw if unwanted else book.begin
            return Ask("withdraw" if unwanted else "begin", make(name, permit, wall))
        elif self.at == At.OUT and mine.at == At.LEAVING:
            return Ask("gone", book.gone(name, permit, wall))
        elif self.at == At.BACK and mine.at in (At.LEAVING, At.OUT):
            return Ask("coming", book.coming(name, permit, wall))
        elif self.at == At.BACK and mine.at == At.BACK and self.proven(now, own):
            return Ask("proven", book.proven(name, permit, wall))
        return Ask("look", None)

    def _may(self, minute: int, ledger: Ledger, name: str) -> bool:
        return ledger.rules == self.rules and allowed(self.budget, minute, ledger, name)

    def answered(self, now: float, ask: Ask, outcome: Outcome) -> None:
        """What came of a question."""
        asked_at, self._asked = self._asked, None
        self._next = now + self.pause()
        if outcome.kind is Kind.FAILED or not (outcome.register.version or outcome.kind is Kind.READ):
            return
        if self._heard is not None and self.lonely(now):
            self._alone = now - self._heard
        self._heard = now
        try:
            self.ledger, self.unreadable = book.read(outcome.register), ""
        except LedgerError as problem:
            self.unreadable = str(problem)
            return
        self._read_at = now if asked_at is None else asked_at
        if self.ledger.sweep != self._sweep[0]:
            # the first one that is seen may be of any time
            self._sweep = self.ledger.sweep, -self.terms.counted if self._sweep[0] < 0 else self._read_at
        self._moved(ask, outcome)
        if outcome.kind is Kind.DONE:
            self._next = now

    def alive(self, now: float) -> None:
        """The quorum has answered something else of this process."""
        if self._heard is not None and not self.lonely(now):
            self._heard = now

    def pause(self) -> float:
        """Until the next look: where nothing is wanted of this member, longer in a large fleet, so that all
        looks together stay few (100 a second).
        """
        mine = self._mine()
        busy = mine is None or self.at != At.IN or mine.want is not None
        many = 0 if self.ledger is None else len(self.ledger.members)
        return self.terms.look if busy else max(self.terms.look, EACH * many)

    def _moved(self, ask: Ask, outcome: Outcome) -> None:
        """A step that is made is kept here too."""
        mine = self._mine()
        if outcome.kind is not Kind.DONE or mine is None:
            return
        if ask.what == "take":
            self._stand(At.GIVEN, mine.permit)
        elif ask.what == "begin":
            self._stand(At.LEAVING, self.permit)
        elif ask.what in ("withdraw", "proven"):
            self._stand(At.IN, 0)
