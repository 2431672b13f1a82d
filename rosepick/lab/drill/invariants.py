"""Checks safety and liveness properties of leases (docs/leases.md) on a recorded history."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import combinations
from typing import NamedTuple

from . import linearizability
from .history import (
    AnyEvent,
    GuardedEffect,
    LeaseCheckPassed,
    LeaseStateChanged,
    RegisterOperation,
    event_kind,
)


class LeaseInvariant(StrEnum):
    """Properties of leases; reports and tests/mutations.toml contain the values."""

    FENCING_TOKENS = "tokens"
    MUTUAL_EXCLUSION = "overlap"
    LINEARIZABILITY = "registers"
    TAKEOVER = "taken up"
    STORAGE = "storage"
    MINIMUM_COUNTS = "shows nothing"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant, its description, and the events of the history that show it."""

    invariant: str
    text: str
    events: tuple[AnyEvent, ...] = ()


@dataclass(slots=True)
class InvariantReport:
    """The violations found in a history, and the number of events by kind."""

    violations: list[Violation] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


LeaseEvidence = LeaseStateChanged | LeaseCheckPassed  # identifies the holder of a token


class _FencingChecker:
    """Checks event by event that each token has one holder and that tokens of effects never decrease."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self._last_effect_by_task: dict[str, GuardedEffect] = {}
        self._holder_by_token: dict[tuple[str, int], LeaseEvidence] = {}

    def add(self, event: AnyEvent) -> None:
        if isinstance(event, LeaseCheckPassed) or (
            isinstance(event, LeaseStateChanged) and event.where == "holds"
        ):
            self._add_holder(event)
        elif isinstance(event, GuardedEffect) and event.taken:
            self._add_effect(event)

    def _add_holder(self, event: LeaseEvidence) -> None:
        first = self._holder_by_token.setdefault((event.task, event.token), event)
        if first.who != event.who:
            self._report(f"token {event.token} of {event.task} has two holders", first, event)

    def _add_effect(self, effect: GuardedEffect) -> None:
        previous = self._last_effect_by_task.get(effect.task)
        if previous is not None and effect.token < previous.token:
            text = f"{effect.task}: token {effect.token} accepted after {previous.token}"
            self._report(text, previous, effect)
        self._last_effect_by_task[effect.task] = effect
        holder = self._holder_by_token.get((effect.task, effect.token))
        if holder is not None and holder.who != effect.who:
            text = (
                f"{effect.task}: an effect under token {effect.token} from a process that is not its holder"
            )
            self._report(text, holder, effect)

    def _report(self, text: str, *events: AnyEvent) -> None:
        self.violations.append(Violation(LeaseInvariant.FENCING_TOKENS.value, text, events))


def check_fencing_tokens(events: Iterable[AnyEvent]) -> list[Violation]:
    """Check that each token has one holder and that a guarded resource never accepts a lower token.

    Accepted effects must also come from the holder of their token.
    """
    checker = _FencingChecker()
    for event in events:
        checker.add(event)
    return checker.violations


class _HoldingPeriod(NamedTuple):
    """The time in which a holder was certainly allowed to act under a token.

    The period lasts from the end of the first passed check to the start of the last one.
    """

    first: LeaseCheckPassed
    last: LeaseCheckPassed


def _holding_periods(checks: Iterable[LeaseCheckPassed]) -> dict[str, list[_HoldingPeriod]]:
    """Return the holding periods of each task."""
    periods: dict[tuple[str, int, int], _HoldingPeriod] = {}
    for check in checks:
        key = check.task, check.token, check.who
        first, last = periods.get(key, (check, check))
        periods[key] = _HoldingPeriod(
            check if check.at < first.at else first, check if check.begin > last.begin else last
        )
    by_task: dict[str, list[_HoldingPeriod]] = defaultdict(list)
    for (task, _, _), period in periods.items():
        by_task[task].append(period)
    return by_task


def check_mutual_exclusion(events: Iterable[AnyEvent]) -> list[Violation]:
    """Check that no two holders of a task are allowed to act at the same time.

    A violation is a passed check within another holder's holding period, or two overlapping periods.
    """
    checks = [event for event in events if isinstance(event, LeaseCheckPassed)]
    by_task = _holding_periods(checks)
    violations = []
    for check in checks:
        for first, last in by_task[check.task]:
            if first.who != check.who and first.at <= check.begin and check.at <= last.begin:
                violations.append(_overlap_violation(first, last, check))
                break
    for periods in by_task.values():
        periods.sort(key=lambda period: period.first.at)
        violations += [
            _overlap_violation(earlier.first, earlier.last, later.first)
            for earlier, later in combinations(periods, 2)
            if earlier.first.who != later.first.who
            and later.first.at < min(earlier.last.begin, later.last.begin)
        ]
    return violations


def _overlap_violation(first: LeaseCheckPassed, last: LeaseCheckPassed, other: LeaseCheckPassed) -> Violation:
    text = (
        f"{other.task}: {first.process} under token {first.token} and {other.process} under "
        f"{other.token} may both act for at least {last.begin - other.at:.4f} s"
    )
    return Violation(LeaseInvariant.MUTUAL_EXCLUSION.value, text, (first, last, other))


def check_linearizability(events: Iterable[AnyEvent]) -> list[Violation]:
    """Check that the operations on each register are linearizable and that no failed change took effect."""
    recorded_operations = [event for event in events if isinstance(event, RegisterOperation)]
    completed_marks = {operation.mark for operation in recorded_operations if operation.kind != "open"}
    operations = [
        operation
        for operation in recorded_operations
        if operation.kind != "open" or operation.mark not in completed_marks
    ]
    violations = []
    for key, register_operations in linearizability.group_by_key(operations).items():
        failed = {
            operation.mark: operation for operation in register_operations if operation.kind == "failed"
        }
        observer = next((operation for operation in register_operations if operation.seen in failed), None)
        if observer is not None:
            text = f"{key}: a change reported as failed took effect"
            violations.append(
                Violation(LeaseInvariant.LINEARIZABILITY.value, text, (failed[observer.seen], observer))
            )
        if not linearizability.is_linearizable(register_operations):
            counterexample = tuple(linearizability.minimal_counterexample(register_operations))
            text = f"{key}: {len(counterexample)} operations are not linearizable"
            violations.append(Violation(LeaseInvariant.LINEARIZABILITY.value, text, counterexample))
    return violations


def check_takeover(
    events: Sequence[AnyEvent], task: str, since: float, deadline_s: float, excluded_owner: int | None = None
) -> list[Violation]:
    """Check that a client other than `excluded_owner` may act on a task within `deadline_s` of `since`.

    Args:
        events: the history, ordered by time.
        task: the task whose lease must be acquired.
        since: the start of the deadline, in seconds of the history.
        deadline_s: the maximum time until the first passed check, in seconds.
        excluded_owner: an owner id whose checks are ignored.
    """
    first = next(
        (
            event
            for event in events
            if isinstance(event, LeaseCheckPassed)
            and event.task == task
            and event.begin >= since
            and event.who != excluded_owner
        ),
        None,
    )
    if first is not None and first.begin - since <= deadline_s:
        return []
    first_holder = "no holder" if first is None else f"{first.process} after {first.begin - since:.2f} s"
    text = f"{task}: {first_holder} since {since:.2f} s, the deadline is {deadline_s:.2f} s"
    return [Violation(LeaseInvariant.TAKEOVER.value, text)]


def check_invariants(events: Sequence[AnyEvent]) -> InvariantReport:
    """Check all invariants that need only the history, and count its events."""
    report = InvariantReport(
        check_fencing_tokens(events) + check_mutual_exclusion(events) + check_linearizability(events)
    )
    counts = report.counts
    for event in events:
        counts[event_kind(event)] += 1
        if isinstance(event, GuardedEffect):
            counts["effects taken" if event.taken else "effects refused"] += 1
        elif isinstance(event, RegisterOperation):
            counts[f"operations {event.kind}"] += 1
        elif isinstance(event, LeaseStateChanged):
            counts[f"leases {event.where}"] += 1
    return report
