"""Claims of drains (docs/drains.md), judged by what members were seen to do, not by what the ledger says."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ...fleet.disruption_budget import DisruptionBudget, Limit
from .history import AnyEvent, AvailabilityChanged, OperatorOrderAccepted, ReleaseDecided
from .invariants import Violation


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """Seconds. `failure_known_s`: within so long a member's failure is known to all; `halt_effective_s`: so
    long after a halt was taken nothing goes out any more.
    """

    budget: DisruptionBudget
    failure_known_s: float
    halt_effective_s: float


class OutageTracker:
    """Who is out at a moment, since when, and by whom."""

    def __init__(self, bounds: DrainBounds, first: Sequence[AvailabilityChanged]) -> None:
        self._bounds = bounds
        self.members = {event.process: event for event in first}
        self.out: dict[str, AvailabilityChanged] = {}
        self.limit_reached_count = 0  # how often a limit was reached
        self.evicted: set[str] = set()
        self.rolling_back = False  # a release is being taken back: the wider budget, and no halt of drains

    def _limit(self, kind: str) -> Limit:
        budget = self._bounds.budget
        if kind == "routers":
            return (
                budget.rollback_routers
                if self.rolling_back and budget.rollback_routers is not None
                else budget.routers
            )
        return budget.caches

    def apply_event(self, event: AvailabilityChanged) -> list[Violation]:
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
        if event.by != "program" or event.process in self.evicted:
            return []
        return (
            self._check_floor(event)
            if event.free
            else [*self._check_floor(event), *self._check_budget(event)]
        )

    def _counted_outages(self, event: AvailabilityChanged, zone: str) -> list[AvailabilityChanged]:
        """Who is out beside it: by the program, or by a fault that must be known."""
        return [
            one
            for one in self.out.values()
            if one.kind == event.kind
            and (not zone or one.zone == zone)
            and one.process not in self.evicted
            and self._is_counted(one, event.at)
        ]

    def _is_counted(self, outage: AvailabilityChanged, now: float) -> bool:
        # who was said to die goes over the budget, and others that had begun before go on
        return (outage.by == "program" and not outage.free) or now - outage.at > self._bounds.failure_known_s

    def _check_budget(self, event: AvailabilityChanged) -> list[Violation]:
        found, limit = [], self._limit(event.kind)
        for zone, most in (("", limit.most), (event.zone, limit.zone_most)):
            here = self._counted_outages(event, zone)
            # those that were taken out over the budget do not make the others wrong, but they count
            if len(here) > most:
                names = ", ".join(one.process for one in here)
                text = f"{len(here)} {event.kind} are out {zone or 'in all'}, {most} may be: {names}"
                found.append(Violation("budget", text, tuple(here)))
            self.limit_reached_count += len(here) == most
        return found

    def _check_floor(self, event: AvailabilityChanged) -> list[Violation]:
        """Written off or not: what serves, serves."""
        zone = [one for one in self.members.values() if (one.kind, one.zone) == (event.kind, event.zone)]
        gone = [self.out[one.process] for one in zone if one.process in self.out]
        here = [
            one for one in gone if one.by == "program" or event.at - one.at > self._bounds.failure_known_s
        ]
        left = len(zone) - len(here)
        if left >= self._limit(event.kind).stay:
            return []
        return [Violation("floor", f"{left} {event.kind} are left in {event.zone}", (event,))]


def check_invariants(events: Sequence[AnyEvent], bounds: DrainBounds) -> tuple[list[Violation], Counter[str]]:
    """Budget, floor and halt over a history. The first state of each member has to be in it."""
    firsts: dict[str, AvailabilityChanged] = {}
    for event in events:
        if isinstance(event, AvailabilityChanged):
            firsts.setdefault(event.process, event)
    out, broken = OutageTracker(bounds, list(firsts.values())), list[Violation]()
    halted: OperatorOrderAccepted | None = None
    counts: Counter[str] = Counter()
    for event in events:
        if isinstance(event, ReleaseDecided):
            out.rolling_back = out.rolling_back or event.back
        elif isinstance(event, OperatorOrderAccepted):
            counts[f"orders {event.what}"] += 1
            if event.what == "off":
                out.evicted.update(event.names)
            elif event.what == "on":
                out.evicted.difference_update(event.names)
            elif event.what in ("halt", "resume"):
                halted = event if event.what == "halt" else None
        elif isinstance(event, AvailabilityChanged):
            counts[f"members {'up' if event.up else 'out by ' + event.by}"] += 1
            was = out.out.get(event.process)
            gone = was is not None and was.by == "program"  # one that is out does not go out once more
            broken += out.apply_event(event)
            goes = not (event.up or gone or out.rolling_back or event.free) and event.by == "program"
            if goes and halted is not None and event.at - halted.at > bounds.halt_effective_s:
                text = f"{event.process} went out {event.at - halted.at:.2f} s after a halt"
                broken.append(Violation("halt", text, (halted, event)))
    counts["budget full"] += out.limit_reached_count
    return broken, counts
