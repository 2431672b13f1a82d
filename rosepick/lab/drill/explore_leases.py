"""Small worlds of leases explored completely: two contenders, one register, time in whole steps.

The register is one that can be relied on (`explore.py` shows that it is). What may happen in any order: a
question is asked, takes effect, is answered; an answer is lost, and its change takes effect then, later or
never; a contender stands still for as long as it likes, or starts anew under its name; time goes on. In each
state at most one contender is told that it may act.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass

from ...agreement.messages import Register
from ...agreement.operation import Change, Declined, Kind, Outcome
from ...leases.contender import Contender, Terms
from .explore import Explored, walk

STEP = 1_000.0  # milliseconds


@dataclass(frozen=True, slots=True)
class Bounds:
    """How large the world is: steps of time, of the time to live, lost answers, starts anew, releases."""

    horizon: int = 7
    ttl: int = 3
    lost: int = 1
    restarts: int = 1
    releases: int = 1


class Leases:
    """Two contenders and a register."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.now = 0
        self.register = Register()
        self.lost, self.restarts, self.releases = bounds.lost, bounds.restarts, bounds.releases
        self.whos = 0
        self.contenders = [self._contender(name) for name in "ab"]
        # a question that is open: its change, and its outcome once it has taken effect
        self.open: list[tuple[Change | None, Outcome | None] | None] = [None, None]
        self.stray: list[tuple[int, Change]] = []  # changes whose askers have given up

    def _contender(self, name: str) -> Contender:
        self.whos += 1
        return Contender("t", name, self.whos, Terms(self.bounds.ttl * STEP, 0.0), lambda: 0.5)

    @property
    def _clock(self) -> float:
        return self.now * STEP

    def clone(self) -> Leases:
        """Another one in the same state."""
        other = copy.copy(self)
        other.contenders = [copy.copy(one) for one in self.contenders]
        other.open, other.stray = list(self.open), list(self.stray)
        return other

    def key(self) -> tuple[object, ...]:
        """The state."""
        contenders = tuple(
            tuple(
                (name, repr(value)) for name, value in vars(one).items() if name not in ("_jitter", "terms")
            )
            for one in self.contenders
        )
        # the kind of a change follows from what its asker asks for, or, of a stray one, from what it asked
        # for
        opened = tuple(None if one is None else (one[0] is None, repr(one[1])) for one in self.open)
        stray = tuple(who for who, _ in self.stray)
        left = self.lost, self.restarts, self.releases, self.whos
        return (self.now, self.register, contenders, opened, stray, left)

    def _take_effect(self, change: Change | None) -> Outcome:
        if change is None:
            return Outcome(Kind.READ, self.register)
        try:
            value = change(self.register)
        except Declined:
            return Outcome(Kind.READ, self.register)
        self.register = Register(self.register.version + 1, "", value)
        return Outcome(Kind.DONE, self.register)

    def steps(self) -> Iterator[Leases]:
        """Each state that may come next."""
        if self.now < self.bounds.horizon:
            other = self.clone()
            other.now += 1
            yield other
        for index in range(len(self.contenders)):
            yield from self._steps_of(index)
        for index in range(len(self.stray)):
            other = self.clone()
            other._take_effect(other.stray.pop(index)[1])
            yield other

    def _steps_of(self, index: int) -> Iterator[Leases]:
        opened = self.open[index]
        if opened is None:
            other = self.clone()
            ask = other.contenders[index].ask(self._clock)
            if ask is not None:
                other.open[index] = ask.change, None
                yield other
        else:
            yield from self._ends_of(index, *opened)
        if self.restarts:
            other = self.clone()
            other.restarts -= 1
            other._forget(index)
            other.contenders[index] = other._contender("ab"[index])
            yield other
        if self.releases and self.contenders[index].token:
            other = self.clone()
            other.releases -= 1
            other.contenders[index].release()
            yield other

    def _ends_of(self, index: int, change: Change | None, outcome: Outcome | None) -> Iterator[Leases]:
        other = self.clone()
        if outcome is None:
            other.open[index] = change, other._take_effect(change)
        else:
            other.open[index] = None
            other.contenders[index].answered(self._clock, outcome)
        yield other
        if self.lost:
            other = self.clone()
            other.lost -= 1
            other._forget(index)
            other.contenders[index].answered(self._clock, Outcome(Kind.UNKNOWN))
            yield other

    def _forget(self, index: int) -> None:
        """The answer does not come any more; the change may still take effect."""
        opened, self.open[index] = self.open[index], None
        if opened is not None and opened[0] is not None and opened[1] is None:
            self.stray.append((self.contenders[index].who, opened[0]))

    def wrong(self) -> str:
        """Why the claim does not hold in this state."""
        acting = [one for one in self.contenders if one.may_act(self._clock)]
        if len(acting) > 1:
            return f"two may act at step {self.now}, under tokens {acting[0].token} and {acting[1].token}"
        return ""


def explore(bounds: Bounds = Bounds(), most: int = 5_000_000) -> Explored:  # noqa: B008
    """Two contenders, in every order."""

    def look(world: Leases, found: Explored) -> None:
        found.done += any(one.may_act(world._clock) for one in world.contenders)
        found.ends += world.now == bounds.horizon

    return walk(Leases(bounds), Leases.steps, look, most)
