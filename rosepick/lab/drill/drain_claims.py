"""Claims of drains (docs/drains.md), judged by what members were seen to do, not by what the ledger says."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ...fleet.budget import Budget, Limit
from .claims import Broken
from .history import AnyEvent, Decided, Ordered, Stood


@dataclass(frozen=True, slots=True)
class Bounds:
    """Seconds. `known`: within so long a member's failure is known to all; `stops`: so long after a halt
    was taken nothing goes out any more.
    """

    budget: Budget
    known: float
    stops: float


class Out:
    """Who is out at a moment, since when, and by whom."""

    def __init__(self, bounds: Bounds, first: Sequence[Stood]) -> None:
        self._bounds = bounds
        self.members = {event.process: event for event in first}
        self.out: dict[str, Stood] = {}
        self.full = 0  # how often a limit was reached
        self.off: set[str] = set()
        self.back = False  # a release is being taken back: the wider budget, and no halt of drains

    def _limit(self, kind: str) -> Limit:
        budget = self._bounds.budget
        if kind == "routers":
            return budget.back if self.back and budget.back is not None else budget.routers
        return budget.caches

    def stood(self, event: Stood) -> list[Broken]:
        """A member went or came: what is broken by that."""
        before = self.out.get(event.process)
        if event.up:
            self.out.pop(event.process, None)
            return []
        if before is not None:
            if before.by == "fault" and event.by == "program":
                self.out[event.process] = event
            return []
        self.out[event.process] = event
        if event.by != "program" or event.process in self.off:
            return []
        return self._floor(event) if event.free else [*self._floor(event), *self._over(event)]

    def _here(self, event: Stood, zone: str) -> list[Stood]:
        """Who is out beside it: by the program, or by a fault that must be known."""
        return [
            one
            for one in self.out.values()
            if one.kind == event.kind
            and (not zone or one.zone == zone)
            and one.process not in self.off
            and self._counts(one, event.at)
        ]

    def _counts(self, one: Stood, now: float) -> bool:
        # who was said to die goes over the budget, and others that had begun before go on
        return (one.by == "program" and not one.free) or now - one.at > self._bounds.known

    def _over(self, event: Stood) -> list[Broken]:
        found, limit = [], self._limit(event.kind)
        for zone, most in (("", limit.most), (event.zone, limit.zone_most)):
            here = self._here(event, zone)
            # those that were taken out over the budget do not make the others wrong, but they count
            if len(here) > most:
                names = ", ".join(one.process for one in here)
                text = f"{len(here)} {event.kind} are out {zone or 'in all'}, {most} may be: {names}"
                found.append(Broken("budget", text, tuple(here)))
            self.full += len(here) == most
        return found

    def _floor(self, event: Stood) -> list[Broken]:
        """Written off or not: what serves, serves."""
        zone = [one for one in self.members.values() if (one.kind, one.zone) == (event.kind, event.zone)]
        gone = [self.out[one.process] for one in zone if one.process in self.out]
        here = [one for one in gone if one.by == "program" or event.at - one.at > self._bounds.known]
        left = len(zone) - len(here)
        if left >= self._limit(event.kind).stay:
            return []
        return [Broken("floor", f"{left} {event.kind} are left in {event.zone}", (event,))]


def judge(events: Sequence[AnyEvent], bounds: Bounds) -> tuple[list[Broken], Counter[str]]:
    """Budget, floor and halt over a history. The first state of each member has to be in it."""
    firsts: dict[str, Stood] = {}
    for event in events:
        if isinstance(event, Stood):
            firsts.setdefault(event.process, event)
    out, broken = Out(bounds, list(firsts.values())), list[Broken]()
    halted: Ordered | None = None
    counts: Counter[str] = Counter()
    for event in events:
        if isinstance(event, Decided):
            out.back = out.back or event.back
        elif isinstance(event, Ordered):
            counts[f"orders {event.what}"] += 1
            if event.what == "off":
                out.off.update(event.names)
            elif event.what == "on":
                out.off.difference_update(event.names)
            elif event.what in ("halt", "resume"):
                halted = event if event.what == "halt" else None
        elif isinstance(event, Stood):
            counts[f"members {'up' if event.up else 'out by ' + event.by}"] += 1
            was = out.out.get(event.process)
            gone = was is not None and was.by == "program"  # one that is out does not go out once more
            broken += out.stood(event)
            goes = not (event.up or gone or out.back or event.free) and event.by == "program"
            if goes and halted is not None and event.at - halted.at > bounds.stops:
                text = f"{event.process} went out {event.at - halted.at:.2f} s after a halt"
                broken.append(Broken("halt", text, (halted, event)))
    counts["budget full"] += out.full
    return broken, counts
