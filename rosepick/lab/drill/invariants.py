"""The written claims (docs/leases.md), judged from what processes were seen to do."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import combinations

from . import linearizability
from .history import AnyEvent, GuardedEffect, LeaseCheckPassed, LeaseStateChanged, RegisterOperation, kind_of


@dataclass(frozen=True, slots=True)
class Violation:
    """A claim that does not hold, and the shortest cut of the history that shows it."""

    invariant: str
    text: str
    events: tuple[AnyEvent, ...] = ()


@dataclass(slots=True)
class InvariantReport:
    """What was found, and how much there was to judge."""

    violations: list[Violation] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


def check_fencing_tokens(events: Sequence[AnyEvent]) -> list[Violation]:
    """Effects taken by a guarded resource never go back to a lower token, and are of the token's one
    holder.
    """
    broken = []
    last: dict[str, GuardedEffect] = {}
    owner: dict[tuple[str, int], AnyEvent] = {}
    for event in events:
        if (isinstance(event, LeaseStateChanged) and event.where == "holds") or isinstance(
            event, LeaseCheckPassed
        ):
            first = owner.setdefault((event.task, event.token), event)
            assert isinstance(first, LeaseStateChanged | LeaseCheckPassed)
            if first.who != event.who:
                text = f"token {event.token} of {event.task} has two holders"
                broken.append(Violation("tokens", text, (first, event)))
        if isinstance(event, GuardedEffect) and event.taken:
            before = last.get(event.task)
            if before is not None and event.token < before.token:
                text = f"{event.task}: token {event.token} taken after {before.token}"
                broken.append(Violation("tokens", text, (before, event)))
            last[event.task] = event
            holder = owner.get((event.task, event.token))
            if isinstance(holder, LeaseStateChanged | LeaseCheckPassed) and holder.who != event.who:
                text = f"{event.task}: an effect under token {event.token} by another than its holder"
                broken.append(Violation("tokens", text, (holder, event)))
    return broken


def check_mutual_exclusion(events: Iterable[AnyEvent]) -> list[Violation]:
    """No two are told that they may act at one time. Of each holder only that time counts in which it must
    have been so: from the end of its first question to the begin of its last one under a token.
    """
    spans: dict[tuple[str, int, int], tuple[LeaseCheckPassed, LeaseCheckPassed]] = {}
    asked = [event for event in events if isinstance(event, LeaseCheckPassed)]
    for event in asked:
        key = event.task, event.token, event.who
        first, last = spans.get(key, (event, event))
        spans[key] = (event if event.at < first.at else first, event if event.begin > last.begin else last)
    by_task: dict[str, list[tuple[LeaseCheckPassed, LeaseCheckPassed]]] = defaultdict(list)
    for (task, _, _), span in spans.items():
        by_task[task].append(span)
    broken = []
    for event in asked:
        for first, last in by_task[event.task]:
            # one answer amid the time of another holder, or two such times
            if first.who != event.who and first.at <= event.begin and event.at <= last.begin:
                broken.append(_overlap_violation(first, last, event))
                break
    for found in by_task.values():
        found.sort(key=lambda span: span[0].at)
        for one, other in combinations(found, 2):
            if one[0].who != other[0].who and other[0].at < min(one[1].begin, other[1].begin):
                broken.append(_overlap_violation(*one, other[0]))
    return broken


def _overlap_violation(first: LeaseCheckPassed, last: LeaseCheckPassed, other: LeaseCheckPassed) -> Violation:
    text = (
        f"{other.task}: {first.process} under token {first.token} and {other.process} under "
        f"{other.token} both may act, for {last.begin - other.at:.4f} s at least"
    )
    return Violation("overlap", text, (first, last, other))


def check_linearizability(events: Iterable[AnyEvent]) -> list[Violation]:
    """Operations on each register could have happened one after the other, and what failed has not
    happened.
    """
    operations = [event for event in events if isinstance(event, RegisterOperation)]
    ended = {one.mark for one in operations if one.kind != "open"}
    operations = [one for one in operations if one.kind != "open" or one.mark not in ended]
    broken = []
    for key, found in linearizability.group_by_key(operations).items():
        failed = {one.mark: one for one in found if one.kind == "failed"}
        seen = [one for one in found if one.seen in failed]
        if seen:
            text = f"{key}: a change that was said to have failed stands"
            broken.append(Violation("registers", text, (failed[seen[0].seen], seen[0])))
        if not linearizability.is_linearizable(found):
            cut = tuple(linearizability.minimal_counterexample(found))
            broken.append(
                Violation("registers", f"{key}: no order of {len(cut)} operations is possible", cut)
            )
    return broken


def check_takeover(
    events: Sequence[AnyEvent], task: str, since: float, deadline_s: float, excluded_owner: int | None = None
) -> list[Violation]:
    """After a moment somebody (not `excluded_owner`) may act on a task within so long."""
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
    took = "nobody" if first is None else f"{first.process} after {first.begin - since:.2f} s"
    return [Violation("taken up", f"{task}: {took}, {deadline_s:.2f} s are claimed, from {since:.2f} s on")]


def check_invariants(events: Sequence[AnyEvent]) -> InvariantReport:
    """All claims that need nothing but the events."""
    verdict = InvariantReport(
        check_fencing_tokens(events) + check_mutual_exclusion(events) + check_linearizability(events)
    )
    counts = verdict.counts
    for event in events:
        counts[kind_of(event)] += 1
        if isinstance(event, GuardedEffect):
            counts["effects taken" if event.taken else "effects refused"] += 1
        elif isinstance(event, RegisterOperation):
            counts[f"operations {event.kind}"] += 1
        elif isinstance(event, LeaseStateChanged):
            counts[f"leases {event.where}"] += 1
    return verdict
