"""Checks the invariants of drains (docs/drains.md) on the observed availability of members.

The checks use only availability as observed from outside, never the stored fleet state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from ...fleet.disruption_budget import DisruptionBudget, Limit
from .history import AnyEvent, AvailabilityChanged, OperatorOrderAccepted, ReleaseDecided
from .invariants import Violation


class DrainInvariant(StrEnum):
    """Properties of drains; reports and tests/mutations.toml contain the values."""

    BUDGET = "budget"
    FLOOR = "floor"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """The disruption budget, and the delays that the invariants allow for, in seconds.

    All agents know of a member's failure within `failure_known_s`. No member goes out of service later than
    `halt_effective_s` after a halt was accepted.
    """

    budget: DisruptionBudget
    failure_known_s: float
    halt_effective_s: float


class OutageTracker:
    """Tracks which members are out of service and checks each new outage against the limits.

    `limit_reached_count` counts how often a limit was exactly reached. `rolling_back` means that a rollout is
    being rolled back: the budget is larger, and a halt of drains does not apply.
    """

    def __init__(self, bounds: DrainBounds, first_states: Sequence[AvailabilityChanged]) -> None:
        self._bounds = bounds
        self.members = {event.process: event for event in first_states}
        self.outages: dict[str, AvailabilityChanged] = {}
        self.limit_reached_count = 0
        self.evicted: set[str] = set()
        self.rolling_back = False

    def _limit(self, kind: str) -> Limit:
        budget = self._bounds.budget
        if kind != "routers":
            return budget.caches
        if self.rolling_back and budget.rollback_routers is not None:
            return budget.rollback_routers
        return budget.routers

    def is_out_by_program(self, name: str) -> bool:
        """Return whether a member is out of service for a cause other than a fault."""
        outage = self.outages.get(name)
        return outage is not None and outage.by == "program"

    def apply_event(self, event: AvailabilityChanged) -> list[Violation]:
        """Apply a change of a member's availability and return the violations it causes."""
        previous = self.outages.get(event.process)
        if event.up:
            self.outages.pop(event.process, None)
            return []
        if previous is not None:
            if previous.by == "fault" and event.by == "program":
                self.outages[event.process] = event
            return []
        self.outages[event.process] = event
        if event.by != "program" or event.process in self.evicted:
            return []
        violations = self._check_floor(event)
        if not event.free:
            violations += self._check_budget(event)
        return violations

    def _is_failure_known(self, outage: AvailabilityChanged, now: float) -> bool:
        return now - outage.at > self._bounds.failure_known_s

    def _counts_against_budget(self, outage: AvailabilityChanged, now: float) -> bool:
        """Return whether an outage counts against the budget at time `now`.

        Faults, and outages that are exempt from the budget, count only once all agents know of them: drains
        that were permitted before then continue.
        """
        return (outage.by == "program" and not outage.free) or self._is_failure_known(outage, now)

    def _counted_outages(self, event: AvailabilityChanged, zone: str) -> list[AvailabilityChanged]:
        """Return the counted outages of the event's member kind in `zone`, or in all zones if it is empty."""
        return [
            outage
            for outage in self.outages.values()
            if outage.kind == event.kind
            and (not zone or outage.zone == zone)
            and outage.process not in self.evicted
            and self._counts_against_budget(outage, event.at)
        ]

    def _check_budget(self, event: AvailabilityChanged) -> list[Violation]:
        violations = []
        limit = self._limit(event.kind)
        for zone, max_out in (("", limit.most), (event.zone, limit.zone_most)):
            outages = self._counted_outages(event, zone)
            if len(outages) > max_out:
                names = ", ".join(outage.process for outage in outages)
                text = f"{len(outages)} {event.kind} out in {zone or 'all zones'}, limit {max_out}: {names}"
                violations.append(Violation(DrainInvariant.BUDGET.value, text, tuple(outages)))
            self.limit_reached_count += len(outages) == max_out
        return violations

    def _check_floor(self, event: AvailabilityChanged) -> list[Violation]:
        """Check that enough members of a zone serve; evicted members that still serve are counted."""
        in_zone = [
            member.process
            for member in self.members.values()
            if (member.kind, member.zone) == (event.kind, event.zone)
        ]
        outages = [self.outages[name] for name in in_zone if name in self.outages]
        counted_outages = [
            outage for outage in outages if outage.by == "program" or self._is_failure_known(outage, event.at)
        ]
        serving_count = len(in_zone) - len(counted_outages)
        if serving_count >= self._limit(event.kind).stay:
            return []
        text = f"only {serving_count} {event.kind} serve in {event.zone}"
        return [Violation(DrainInvariant.FLOOR.value, text, (event,))]


class _DrainChecker:
    """Checks a history of drains event by event."""

    def __init__(self, bounds: DrainBounds, first_states: Sequence[AvailabilityChanged]) -> None:
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.tracker = OutageTracker(bounds, first_states)
        self._halt_effective_s = bounds.halt_effective_s
        self._halt: OperatorOrderAccepted | None = None

    def add(self, event: AnyEvent) -> None:
        if isinstance(event, ReleaseDecided):
            self.tracker.rolling_back = self.tracker.rolling_back or event.back
        elif isinstance(event, OperatorOrderAccepted):
            self._add_order(event)
        elif isinstance(event, AvailabilityChanged):
            self._add_availability(event)

    def _add_order(self, order: OperatorOrderAccepted) -> None:
        """Count an operator's order, and apply evictions ("off"), reinstatements ("on") and halts."""
        self.counts[f"orders {order.what}"] += 1
        match order.what:
            case "off":
                self.tracker.evicted.update(order.names)
            case "on":
                self.tracker.evicted.difference_update(order.names)
            case "halt":
                self._halt = order
            case "resume":
                self._halt = None

    def _add_availability(self, event: AvailabilityChanged) -> None:
        self.counts[f"members {'up' if event.up else 'out by ' + event.by}"] += 1
        was_out = self.tracker.is_out_by_program(event.process)
        self.violations += self.tracker.apply_event(event)
        is_bound_by_halt = not (event.up or was_out or self.tracker.rolling_back or event.free)
        if is_bound_by_halt and event.by == "program":
            self._check_halt(event)

    def _check_halt(self, event: AvailabilityChanged) -> None:
        halt = self._halt
        if halt is not None and event.at - halt.at > self._halt_effective_s:
            text = f"{event.process} went out of service {event.at - halt.at:.2f} s after a halt"
            self.violations.append(Violation(DrainInvariant.HALT.value, text, (halt, event)))


def check_invariants(events: Sequence[AnyEvent], bounds: DrainBounds) -> tuple[list[Violation], Counter[str]]:
    """Check budget, floor and halt over a history that contains the initial state of each member.

    Returns the violations and the counts of checked events.
    """
    first_states: dict[str, AvailabilityChanged] = {}
    for event in events:
        if isinstance(event, AvailabilityChanged):
            first_states.setdefault(event.process, event)
    checker = _DrainChecker(bounds, list(first_states.values()))
    for event in events:
        checker.add(event)
    checker.counts["budget full"] += checker.tracker.limit_reached_count
    return checker.violations, checker.counts
