"""An account of a day: what was asked, and what each cause took of its worth.

All counts are of envelopes, as routers ended them. A client's repeat is an envelope of its own, and what
never reached a router is in nobody's log, so shares differ a little from those that clients see.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from .logs import Ended, Logs
from .printed import Printed

K = TypeVar("K", str, int)
IN_TIME = "served"
SLICE = 5.0  # seconds of a row
BUSY = 3.0  # times the mean traffic of a router: those are looked at apart
TEXTS = {
    "served_late": "served after its aim",
    "refused_crowded": "refused at once: this router has too much in hand",
    "refused_slow": "refused at once: expected to be too late",
    "refused_nobody": "refused: no cache node can take it",
    "refused_queue": "refused: waited at the origin's gate until too late",
    "refused_no_origin": "refused: no origin in the list",
    "refused_budget": "refused after an attempt: no retry left",
    "refused_no_time": "refused after an attempt: no time for another",
    "refused_rules": "refused after an attempt: may not be sent again",
    "refused_deadline": "refused at its deadline",
    "failed_budget": "failed after an attempt: no retry left",
    "failed_no_time": "failed after an attempt: no time for another",
    "failed_rules": "failed after an attempt: may not be sent again",
    "late_deadline": "failed: its deadline passed",
    "late_no_time": "failed at its deadline: an attempt took all of its time",
    "late_queue": "failed at its deadline: waited at the origin's gate",
    "late_rules": "failed at its deadline: may not be sent again",
    "gone": "its client left first",
}


def text_of(name: str) -> str:
    """An end and its cause in words."""
    return TEXTS.get(name, name.replace("_", " "))


@dataclass(frozen=True, slots=True)
class Cause:
    """What one cause took."""

    name: str
    count: int
    worth: float  # of the requests that it took
    waited: float  # mean milliseconds until their end
    classes: tuple[tuple[str, int], ...]  # the most hit first

    @property
    def text(self) -> str:
        """In words."""
        return text_of(self.name)


@dataclass(frozen=True, slots=True)
class Row:
    """A part of the day, or of the routers."""

    name: str
    asked: int
    in_time: float  # share
    worth: float  # share of the worth that came in time
    causes: tuple[tuple[str, float], ...]  # the dearest ones, and their share of the requests


@dataclass(frozen=True, slots=True)
class Account:
    """All of a day."""

    routers: int
    starts: int
    asked: int
    in_time: float
    worth: float
    causes: tuple[Cause, ...]  # dearest first
    classes: tuple[Row, ...]
    slices: tuple[Row, ...]
    groups: tuple[Row, ...]  # routers with several times the mean traffic, and the others
    prices: dict[str, float] = field(default_factory=dict)  # each as a count for each request asked
    printed: Printed | None = None


def account(logs: Logs, printed: Printed | None = None) -> Account:
    """What came of a day."""
    whole = _row("all", logs.ended)
    return Account(
        routers=len(logs.starts) or len({one.router for one in logs.ended}),
        starts=sum(logs.starts.values()),
        asked=whole.asked,
        in_time=whole.in_time,
        worth=whole.worth,
        causes=_causes(logs.ended),
        classes=tuple(_row(name, group) for name, group in _grouped(logs.ended, lambda one: one.klass)),
        slices=tuple(
            _row(f"{int(SLICE * place)} s", group)
            for place, group in _grouped(logs.ended, lambda one: _slice(one.at))
        ),
        groups=_by_traffic(logs.ended),
        prices=_prices(logs, whole.asked),
        printed=printed,
    )


def _slice(at: float) -> int:
    """Of a line: what it tells is of the time before it."""
    return max(0, int((at - SLICE / 2) // SLICE))


def _grouped(ended: Iterable[Ended], by: Callable[[Ended], K]) -> list[tuple[K, list[Ended]]]:
    groups: dict[K, list[Ended]] = {}
    for one in ended:
        groups.setdefault(by(one), []).append(one)
    return sorted(groups.items(), key=lambda group: group[0])


def _causes(ended: list[Ended]) -> tuple[Cause, ...]:
    counts: Counter[str] = Counter()
    worth: Counter[str] = Counter()
    waited: Counter[str] = Counter()
    classes: dict[str, Counter[str]] = {}
    for one in ended:
        for name, count in one.counts.items():
            counts[name] += count
            worth[name] += count * one.worth  # type: ignore[assignment]
            waited[name] += one.waited[name]
            classes.setdefault(name, Counter())[one.klass] += count
    found = [
        Cause(name, count, worth[name], waited[name] / count, tuple(classes[name].most_common()))
        for name, count in counts.items()
        if name != IN_TIME and count
    ]
    return tuple(sorted(found, key=lambda cause: (-cause.worth, cause.name)))


def _row(name: str, ended: Iterable[Ended]) -> Row:
    counts: Counter[str] = Counter()
    asked = got = 0.0
    for one in ended:
        counts.update(one.counts)
        asked += one.worth * sum(one.counts.values())
        got += one.worth * one.counts[IN_TIME]
    total = sum(counts.values())
    lost = [(cause, count / total) for cause, count in counts.most_common() if cause != IN_TIME and count]
    return Row(
        name, total, counts[IN_TIME] / total if total else 0.0, got / asked if asked else 0.0, tuple(lost[:3])
    )


def _by_traffic(ended: list[Ended]) -> tuple[Row, ...]:
    """Routers with at least `BUSY` times the mean traffic, and the others."""
    asked: Counter[str] = Counter()
    for one in ended:
        asked[one.router] += sum(one.counts.values())
    mean = sum(asked.values()) / len(asked) if asked else 0.0
    busy = {router for router, count in asked.items() if count >= BUSY * mean}
    found = [_row(f"{len(asked) - len(busy)} others", [one for one in ended if one.router not in busy])]
    if busy:
        name = f"{len(busy)} with {BUSY:g} times the mean or more"
        found.insert(0, _row(name, [one for one in ended if one.router in busy]))
    return tuple(found)


def _prices(logs: Logs, asked: int) -> dict[str, float]:
    """What the platform prices, a request: attempts, crossings of zones, connections opened, and requests
    that were refused or failed after half of their time with nothing sent.
    """
    total: Counter[str] = Counter()
    for counts in logs.counts.values():
        total.update(counts)
    names = ("attempts", "crossings", "dials", "late_unsent", "attempt_miss", "attempt_ok")
    return {name: total[name] / asked for name in names if asked and name in total}
