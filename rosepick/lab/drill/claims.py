"""The written claims (docs/leases.md), judged from what processes were seen to do."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import combinations

from . import linear
from .history import AnyEvent, Effect, Moved, Operation, Yes, kind_of


@dataclass(frozen=True, slots=True)
class Broken:
    """A claim that does not hold, and the shortest cut of the history that shows it."""

    claim: str
    text: str
    events: tuple[AnyEvent, ...] = ()


@dataclass(slots=True)
class Verdict:
    """What was found, and how much there was to judge."""

    broken: list[Broken] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


def tokens(events: Sequence[AnyEvent]) -> list[Broken]:
    """Effects taken by a guarded resource never go back to a lower token, and are of the token's one
    holder.
    """
    broken = []
    last: dict[str, Effect] = {}
    owner: dict[tuple[str, int], AnyEvent] = {}
    for event in events:
        if (isinstance(event, Moved) and event.where == "holds") or isinstance(event, Yes):
            first = owner.setdefault((event.task, event.token), event)
            assert isinstance(first, Moved | Yes)
            if first.who != event.who:
                text = f"token {event.token} of {event.task} has two holders"
                broken.append(Broken("tokens", text, (first, event)))
        if isinstance(event, Effect) and event.taken:
            before = last.get(event.task)
            if before is not None and event.token < before.token:
                text = f"{event.task}: token {event.token} taken after {before.token}"
                broken.append(Broken("tokens", text, (before, event)))
            last[event.task] = event
            holder = owner.get((event.task, event.token))
            if isinstance(holder, Moved | Yes) and holder.who != event.who:
                text = f"{event.task}: an effect under token {event.token} by another than its holder"
                broken.append(Broken("tokens", text, (holder, event)))
    return broken


def overlaps(events: Iterable[AnyEvent]) -> list[Broken]:
    """No two are told that they may act at one time. Of each holder only that time counts in which it must
    have been so: from the end of its first question to the begin of its last one under a token.
    """
    spans: dict[tuple[str, int, int], tuple[Yes, Yes]] = {}
    asked = [event for event in events if isinstance(event, Yes)]
    for event in asked:
        key = event.task, event.token, event.who
        first, last = spans.get(key, (event, event))
        spans[key] = (event if event.at < first.at else first, event if event.begin > last.begin else last)
    by_task: dict[str, list[tuple[Yes, Yes]]] = defaultdict(list)
    for (task, _, _), span in spans.items():
        by_task[task].append(span)
    broken = []
    for event in asked:
        for first, last in by_task[event.task]:
            # one answer amid the time of another holder, or two such times
            if first.who != event.who and first.at <= event.begin and event.at <= last.begin:
                broken.append(_both(first, last, event))
                break
    for found in by_task.values():
        found.sort(key=lambda span: span[0].at)
        for one, other in combinations(found, 2):
            if one[0].who != other[0].who and other[0].at < min(one[1].begin, other[1].begin):
                broken.append(_both(*one, other[0]))
    return broken


def _both(first: Yes, last: Yes, other: Yes) -> Broken:
    text = (
        f"{other.task}: {first.process} under token {first.token} and {other.process} under "
        f"{other.token} both may act, for {last.begin - other.at:.4f} s at least"
    )
    return Broken("overlap", text, (first, last, other))


def registers(events: Iterable[AnyEvent]) -> list[Broken]:
    """Operations on each register could have happened one after the other, and what failed has not
    happened.
    """
    operations = [event for event in events if isinstance(event, Operation)]
    ended = {one.mark for one in operations if one.kind != "open"}
    operations = [one for one in operations if one.kind != "open" or one.mark not in ended]
    broken = []
    for key, found in linear.by_key(operations).items():
        failed = {one.mark: one for one in found if one.kind == "failed"}
        seen = [one for one in found if one.seen in failed]
        if seen:
            text = f"{key}: a change that was said to have failed stands"
            broken.append(Broken("registers", text, (failed[seen[0].seen], seen[0])))
        if not linear.possible(found):
            cut = tuple(linear.shortest(found))
            broken.append(Broken("registers", f"{key}: no order of {len(cut)} operations is possible", cut))
    return broken


def taken_up(
    events: Sequence[AnyEvent], task: str, since: float, within: float, who: int | None = None
) -> list[Broken]:
    """After a moment somebody (not `who`) may act on a task within so long."""
    first = next(
        (
            event
            for event in events
            if isinstance(event, Yes) and event.task == task and event.begin >= since and event.who != who
        ),
        None,
    )
    if first is not None and first.begin - since <= within:
        return []
    took = "nobody" if first is None else f"{first.process} after {first.begin - since:.2f} s"
    return [Broken("taken up", f"{task}: {took}, {within:.2f} s are claimed, from {since:.2f} s on")]


def judge(events: Sequence[AnyEvent]) -> Verdict:
    """All claims that need nothing but the events."""
    verdict = Verdict(tokens(events) + overlaps(events) + registers(events))
    counts = verdict.counts
    for event in events:
        counts[kind_of(event)] += 1
        if isinstance(event, Effect):
            counts["effects taken" if event.taken else "effects refused"] += 1
        elif isinstance(event, Operation):
            counts[f"operations {event.kind}"] += 1
        elif isinstance(event, Moved):
            counts[f"leases {event.where}"] += 1
    return verdict
