"""One process that wants a task's lease, holds it, or waits for it: a machine without clock and I/O.

    WAITS     another holds it, or others stand before this one
    HOLDS     the lease is this one's; `may_act` says yes until a good time before its end
    LOST      it was this one's and is no more; `may_act` never says yes again under that token
    ENDED     given back, or not wanted any more

Times are milliseconds of this process's own clock, one that goes on while the machine sleeps. No two clocks
are compared: the holder counts from before it asked, and takes its clock for the slowest there may be; who
waits counts from when it saw the record change last, and takes its own for the fastest. So the holder's time
is over before the other's, whatever the two clocks show (Gray and Cheriton 1989 give the rule for leases;
drift as a bound on the rate).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ..agreement.operation import Change, Kind, Outcome
from . import record
from .record import Record

RENEW = 1 / 3  # of the time to live, between renewals
LOOK = 1 / 14  # likewise, between two looks at a lease that another one holds ...
OFTEN, SELDOM = 30.0, 400.0  # ... but within these, in milliseconds
RETRY = 1 / 12  # likewise, until a renewal that has failed is tried again
PLACE = 150.0  # milliseconds that each one in line has for itself before the next may take a free lease ...
FIRST = 100.0  # ... in which the first in line looks at least once
SPARE = 0.05  # of the time to live: `may_act` says no so long before the end
DOUBT = 0.4  # of the time to live: less than this is left, so no renewal has come through


@dataclass(frozen=True, slots=True)
class Terms:
    """How a lease is held. `drift`: by which part of it a clock's rate may be off, for all clocks there
    are.
    """

    ttl: float = 10_000.0
    drift: float = 0.025
    wait: bool = True

    @property
    def held_for(self) -> float:
        """What a holder's own clock may show until it may not act any more."""
        return self.ttl * (1.0 - self.drift)

    def gone_after(self, ttl: float) -> float:
        """What another one's clock must show until the holder's time is over."""
        return ttl * (1.0 + self.drift)


class Where(Enum):
    """What a contender is."""

    WAITS = "waits"
    HOLDS = "holds"
    LOST = "lost"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Ask:
    """A register is to be read, or changed."""

    key: str
    change: Change | None


class Contender:
    """Asks for one task's lease. One question is open at a time: `ask`, then `answered`."""

    def __init__(self, task: str, name: str, who: int, terms: Terms, jitter: Callable[[], float]) -> None:
        self.task, self.name, self.who, self.terms = task, name, who, terms
        self._jitter = jitter  # from 0 to 1, drawn by the driver
        self.where = Where.WAITS
        self.token = 0  # of the lease that is or was held
        self.renewed = 0  # how often
        self.seen: Record | None = None
        self._until = 0.0  # the lease's end, on this clock
        self._seen_at = 0.0  # when the record was last seen to change
        self._asked_at: float | None = None  # a question is open since then
        self._asks_for: str = ""
        self._next = 0.0  # when to ask again
        self._give_back = False
        self._successor = ""

    # -- what the work asks

    def may_act(self, now: float) -> bool:
        """Whether a step of work may be taken now. To be asked before each."""
        return (
            self.where is Where.HOLDS and not self._give_back and now < self._until - SPARE * self.terms.ttl
        )

    def left(self, now: float) -> float:
        """Milliseconds until nobody may act under this lease any more, should no renewal come through; also
        after it was taken away, as who comes next waits for that.
        """
        return max(0.0, self._until - SPARE * self.terms.ttl - now)

    def in_doubt(self, now: float) -> bool:
        """Whether the lease is held and has not been renewed for long."""
        return self.where is Where.HOLDS and self._until - now < DOUBT * self.terms.ttl

    def release(self, successor: str = "") -> None:
        """The work has stopped, or is not to be begun. From now on `may_act` says no."""
        self._give_back, self._successor, self._next = True, successor, 0.0
        if self.where in (Where.LOST, Where.ENDED):
            self.where = Where.ENDED

    # -- what the driver asks

    def wake(self, now: float) -> float:
        """When `ask` has something next, should nothing be answered before."""
        if self.where is Where.HOLDS:
            return min(self._next, max(now, self._until))
        return self._next

    def ask(self, now: float) -> Ask | None:
        """A question, if it is time for one and none is open."""
        self._expire(now)
        if self._asked_at is not None or now < self._next or self.where in (Where.LOST, Where.ENDED):
            return None
        self._asks_for, change = self._question(now)
        if self._asks_for == "end":
            self.where = Where.ENDED
            return None
        self._asked_at = now
        return Ask(record.key(self.task), change)

    def _expire(self, now: float) -> None:
        if self.where is Where.HOLDS and now >= self._until:
            self.where = Where.ENDED if self._give_back else Where.LOST

    def _question(self, now: float) -> tuple[str, Change | None]:
        if self.where is Where.HOLDS:
            if self._give_back:
                return "give back", record.give_back(self.who, self.token, self._successor)
            return "renew", record.renew(self.who, self.token, self.terms.ttl)
        if self.seen is not None and self._found():
            # of when it was granted nothing is known: it is held from a renewal on, and not before
            if self._give_back:
                return "give back", record.give_back(self.who, self.seen.token, self._successor)
            return "renew", record.renew(self.who, self.seen.token, self.terms.ttl)
        if self._give_back:
            in_line = self.seen is not None and any(one.who == self.who for one in self.seen.line)
            return ("leave", record.leave_line(self.who)) if in_line else ("end", None)
        if self.seen is None:
            return "look", None
        if self._may_take(now):
            return "take", record.take(self.seen, self.who, self.name, self.terms.ttl)
        if self._place() is None and self.terms.wait and len(self.seen.line) < record.LONGEST_LINE:
            return "line", record.stand_in_line(self.who, self.name)
        return "look", None

    def _found(self) -> bool:
        """An answer was lost, and the lease is this one's."""
        return self.seen is not None and self.seen.held and self.seen.who == self.who

    def _place(self) -> int | None:
        line = self.seen.line if self.seen is not None else ()
        return next((n for n, one in enumerate(line) if one.is_for(self.who, self.name)), None)

    def _free_at(self) -> float:
        """From when on, on this clock, nobody can hold it; each one before this one in line has its time
        then.
        """
        assert self.seen is not None
        place = self._place()
        before = len(self.seen.line) if place is None else place
        gone = self.terms.gone_after(self.seen.ttl) if self.seen.held else 0.0
        return self._seen_at + gone + before * PLACE

    def _may_take(self, now: float) -> bool:
        return now >= self._free_at()

    # -- what comes of a question

    def answered(self, now: float, outcome: Outcome) -> None:
        """The question's outcome."""
        asked_at, self._asked_at = self._asked_at, None
        if asked_at is None:
            return
        self._expire(now)
        if outcome.kind in (Kind.DONE, Kind.READ) or outcome.register.version:
            self._see(now, record.read(outcome.register))
        if self.where is Where.HOLDS:
            self._held(now, asked_at, outcome)
        elif self.where is Where.WAITS:
            self._waited(now, asked_at, outcome)

    def _see(self, now: float, seen: Record) -> None:
        before = self.seen
        if before is None or (before.token, before.held, before.beat, before.who) != (
            seen.token,
            seen.held,
            seen.beat,
            seen.who,
        ):
            self._seen_at = now
        self.seen = seen

    def _held(self, now: float, asked_at: float, outcome: Outcome) -> None:
        ttl = self.terms.ttl
        if outcome.kind is Kind.DONE and self._asks_for == "give back":
            self.where = Where.ENDED
        elif outcome.kind is Kind.DONE:
            self.renewed += 1
            # from before it was asked: others may count from then on
            self._until = asked_at + self.terms.held_for
            self._next = now if self._give_back else asked_at + RENEW * ttl
        elif (
            self.seen is not None and outcome.register.version and not self.seen.held_by(self.who, self.token)
        ):
            self.where = Where.ENDED if self._give_back else Where.LOST
        else:
            self._next = now + RETRY * ttl * (0.5 + self._jitter())

    def _waited(self, now: float, asked_at: float, outcome: Outcome) -> None:
        if outcome.kind is Kind.DONE and self._asks_for in ("take", "renew"):
            assert self.seen is not None
            self.where, self.token = Where.HOLDS, self.seen.token
            self.renewed += self._asks_for == "renew"
            self._until = asked_at + self.terms.held_for
            self._next = now if self._give_back else asked_at + RENEW * self.terms.ttl
        elif self._give_back:
            self._after_give_back(now, outcome)
        elif self._found() and outcome.kind is not Kind.FAILED:
            self._next = now
        else:
            self._next = self._look_again(now, outcome)

    def _after_give_back(self, now: float, outcome: Outcome) -> None:
        if self._asks_for in ("leave", "give back") and outcome.kind in (Kind.DONE, Kind.READ):
            self.where = Where.ENDED
        self._next = now

    def _look_again(self, now: float, outcome: Outcome) -> float:
        """When to look next: soon where it is to be free, else seldom; never all at one time."""
        most = FIRST if self._place() == 0 else SELDOM
        usual = min(most, max(OFTEN, LOOK * self.terms.ttl)) * (0.7 + 0.6 * self._jitter())
        if self.seen is None or outcome.kind in (Kind.FAILED, Kind.UNKNOWN):
            return now + usual
        free_at = self._free_at()
        if self._place() is None and self.terms.wait and len(self.seen.line) < record.LONGEST_LINE:
            return now + OFTEN * self._jitter()
        return max(now, min(now + usual, free_at)) if free_at > now else now
