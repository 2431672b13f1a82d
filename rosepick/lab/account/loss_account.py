"""An account of a day: what was asked, and what each cause took of its worth.

All counts are of envelopes, as routers ended them. A client's repeat is an envelope of its own, and what
never reached a router is in nobody's log, so shares differ a little from those that clients see.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from .day_report import DayReport
from .log_reader import EndedRequests, RouterLogs

KeyT = TypeVar("KeyT", str, int)
IN_TIME_OUTCOME = "served"
SLICE_S = 5.0  # seconds of a row
BUSY_TRAFFIC_FACTOR = 3.0  # times the mean traffic of a router: those are looked at apart
OUTCOME_TEXTS = {
    "served_late": "served after its aim",
    "refused_overloaded": "refused at once: this router has too much in hand",
    "refused_too_slow": "refused at once: expected to be too late",
    "refused_no_endpoint": "refused: no cache node can take it",
    "refused_queue_timeout": "refused: waited at the origin's gate until too late",
    "refused_no_origin": "refused: no origin in the list",
    "refused_budget": "refused after an attempt: no retry left",
    "refused_no_time": "refused after an attempt: no time for another",
    "refused_not_permitted": "refused after an attempt: may not be sent again",
    "refused_deadline": "refused at its deadline",
    "failed_budget": "failed after an attempt: no retry left",
    "failed_no_time": "failed after an attempt: no time for another",
    "failed_not_permitted": "failed after an attempt: may not be sent again",
    "deadline_exceeded_deadline": "failed: its deadline passed",
    "deadline_exceeded_no_time": "failed at its deadline: an attempt took all of its time",
    "deadline_exceeded_queue_timeout": "failed at its deadline: waited at the origin's gate",
    "deadline_exceeded_not_permitted": "failed at its deadline: may not be sent again",
    "client_gone": "its client left first",
}


def describe_outcome(name: str) -> str:
    """An end and its cause in words."""
    return OUTCOME_TEXTS.get(name, name.replace("_", " "))


@dataclass(frozen=True, slots=True)
class LossCause:
    """What one cause took."""

    name: str
    count: int
    worth: float  # of the requests that it took
    waited: float  # mean milliseconds until their end
    classes: tuple[tuple[str, int], ...]  # the most hit first

    @property
    def text(self) -> str:
        """In words."""
        return describe_outcome(self.name)


@dataclass(frozen=True, slots=True)
class AccountRow:
    """A part of the day, or of the routers."""

    name: str
    asked: int
    in_time: float  # share
    worth: float  # share of the worth that came in time
    causes: tuple[tuple[str, float], ...]  # the dearest ones, and their share of the requests


@dataclass(frozen=True, slots=True)
class LossAccount:
    """All of a day."""

    routers: int
    starts: int
    asked: int
    in_time: float
    worth: float
    causes: tuple[LossCause, ...]  # dearest first
    classes: tuple[AccountRow, ...]
    slices: tuple[AccountRow, ...]
    groups: tuple[AccountRow, ...]  # routers with several times the mean traffic, and the others
    prices: dict[str, float] = field(default_factory=dict)  # each as a count for each request asked
    printed: DayReport | None = None


def build_account(logs: RouterLogs, printed: DayReport | None = None) -> LossAccount:
    """What came of a day."""
    whole = _to_row("all", logs.ended)
    return LossAccount(
        routers=len(logs.starts) or len({one.router for one in logs.ended}),
        starts=sum(logs.starts.values()),
        asked=whole.asked,
        in_time=whole.in_time,
        worth=whole.worth,
        causes=_loss_causes(logs.ended),
        classes=tuple(
            _to_row(name, group) for name, group in _group_ended(logs.ended, lambda one: one.klass)
        ),
        slices=tuple(
            _to_row(f"{int(SLICE_S * place)} s", group)
            for place, group in _group_ended(logs.ended, lambda one: _slice_of(one.at))
        ),
        groups=_rows_by_traffic(logs.ended),
        prices=_request_prices(logs, whole.asked),
        printed=printed,
    )


def _slice_of(at: float) -> int:
    """Of a line: what it tells is of the time before it."""
    return max(0, int((at - SLICE_S / 2) // SLICE_S))


def _group_ended(
    ended: Iterable[EndedRequests], by: Callable[[EndedRequests], KeyT]
) -> list[tuple[KeyT, list[EndedRequests]]]:
    groups: dict[KeyT, list[EndedRequests]] = {}
    for one in ended:
        groups.setdefault(by(one), []).append(one)
    return sorted(groups.items(), key=lambda group: group[0])


def _loss_causes(ended: list[EndedRequests]) -> tuple[LossCause, ...]:
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
        LossCause(name, count, worth[name], waited[name] / count, tuple(classes[name].most_common()))
        for name, count in counts.items()
        if name != IN_TIME_OUTCOME and count
    ]
    return tuple(sorted(found, key=lambda cause: (-cause.worth, cause.name)))


def _to_row(name: str, ended: Iterable[EndedRequests]) -> AccountRow:
    counts: Counter[str] = Counter()
    asked = got = 0.0
    for one in ended:
        counts.update(one.counts)
        asked += one.worth * sum(one.counts.values())
        got += one.worth * one.counts[IN_TIME_OUTCOME]
    total = sum(counts.values())
    lost = [
        (cause, count / total) for cause, count in counts.most_common() if cause != IN_TIME_OUTCOME and count
    ]
    return AccountRow(
        name,
        total,
        counts[IN_TIME_OUTCOME] / total if total else 0.0,
        got / asked if asked else 0.0,
        tuple(lost[:3]),
    )


def _rows_by_traffic(ended: list[EndedRequests]) -> tuple[AccountRow, ...]:
    """Routers with at least `BUSY` times the mean traffic, and the others."""
    asked: Counter[str] = Counter()
    for one in ended:
        asked[one.router] += sum(one.counts.values())
    mean = sum(asked.values()) / len(asked) if asked else 0.0
    busy = {router for router, count in asked.items() if count >= BUSY_TRAFFIC_FACTOR * mean}
    found = [_to_row(f"{len(asked) - len(busy)} others", [one for one in ended if one.router not in busy])]
    if busy:
        name = f"{len(busy)} with {BUSY_TRAFFIC_FACTOR:g} times the mean or more"
        found.insert(0, _to_row(name, [one for one in ended if one.router in busy]))
    return tuple(found)


def _request_prices(logs: RouterLogs, asked: int) -> dict[str, float]:
    """What the platform prices, a request: attempts, crossings of zones, connections opened, and requests
    that were refused or failed after half of their time with nothing sent.
    """
    total: Counter[str] = Counter()
    for counts in logs.counts.values():
        total.update(counts)
    names = (
        "attempts",
        "cross_zone_attempts",
        "upstream_connects",
        "late_without_attempt",
        "attempt_miss",
        "attempt_ok",
    )
    return {name: total[name] / asked for name in names if asked and name in total}
