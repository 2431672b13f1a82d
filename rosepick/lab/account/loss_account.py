"""The account of a day: what was requested, and what each cause took of its worth.

All counts are of requests as routers ended them. A client's retry is a request of its own, and what never
reached a router is in no log, so that shares differ a little from those that clients see.
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
SLICE_S = 5.0  # seconds in a row of the table of time slices
BUSY_TRAFFIC_FACTOR = 3.0  # times the mean traffic, from which on a router is busy
MAX_ROW_CAUSES = 3  # of a row
PRICED_COUNTERS = (
    "attempts",
    "cross_zone_attempts",
    "upstream_connects",
    "late_without_attempt",  # refused or failed after half of its time with nothing sent
    "attempt_miss",
    "attempt_ok",
)
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
    """Return an outcome and its cause in words."""
    return OUTCOME_TEXTS.get(name, name.replace("_", " "))


@dataclass(frozen=True, slots=True)
class LossCause:
    """What was lost to one cause."""

    name: str
    count: int
    worth: float  # of the lost requests
    mean_wait_ms: float  # until the requests ended
    classes: tuple[tuple[str, int], ...]  # and their numbers of lost requests, the largest first

    @property
    def text(self) -> str:
        """The cause in words."""
        return describe_outcome(self.name)


@dataclass(frozen=True, slots=True)
class AccountRow:
    """A class, a time slice or a group of routers."""

    name: str
    request_count: int
    in_time: float  # share
    worth: float  # share of the worth that was served in time
    causes: tuple[tuple[str, float], ...]  # the most frequent ones, and their shares of the requests


@dataclass(frozen=True, slots=True)
class LossAccount:
    """The account of a day."""

    routers: int
    starts: int
    request_count: int
    in_time: float
    worth: float
    causes: tuple[LossCause, ...]  # by lost worth, the largest first
    classes: tuple[AccountRow, ...]
    slices: tuple[AccountRow, ...]
    groups: tuple[AccountRow, ...]  # routers with several times the mean traffic, and the others
    prices: dict[str, float] = field(
        default_factory=dict
    )  # events that the platform charges for, per request
    day_report: DayReport | None = None


def build_account(logs: RouterLogs, day_report: DayReport | None = None) -> LossAccount:
    """Return the account of a day's logs, with the test bench's report of the day if there is one."""
    whole = _to_row("all", logs.ended)
    return LossAccount(
        routers=len(logs.starts) or len({ended.router for ended in logs.ended}),
        starts=sum(logs.starts.values()),
        request_count=whole.request_count,
        in_time=whole.in_time,
        worth=whole.worth,
        causes=_loss_causes(logs.ended),
        classes=tuple(
            _to_row(name, group) for name, group in _group_by(logs.ended, lambda ended: ended.request_class)
        ),
        slices=tuple(
            _to_row(f"{int(SLICE_S * index)} s", group)
            for index, group in _group_by(logs.ended, lambda ended: _slice_index(ended.at))
        ),
        groups=_rows_by_traffic(logs.ended),
        prices=_request_prices(logs, whole.request_count),
        day_report=day_report,
    )


def _slice_index(at: float) -> int:
    """Return the slice of a record, which is about the time before it."""
    return max(0, int((at - SLICE_S / 2) // SLICE_S))


def _group_by(
    ended_requests: Iterable[EndedRequests], key_of: Callable[[EndedRequests], KeyT]
) -> list[tuple[KeyT, list[EndedRequests]]]:
    groups: dict[KeyT, list[EndedRequests]] = {}
    for ended in ended_requests:
        groups.setdefault(key_of(ended), []).append(ended)
    return sorted(groups.items(), key=lambda group: group[0])


def _loss_causes(ended_requests: list[EndedRequests]) -> tuple[LossCause, ...]:
    counts: Counter[str] = Counter()
    worth: dict[str, float] = {}
    waited_ms: dict[str, float] = {}
    classes: dict[str, Counter[str]] = {}
    for ended in ended_requests:
        for name, count in ended.counts.items():
            counts[name] += count
            worth[name] = worth.get(name, 0.0) + count * ended.worth
            waited_ms[name] = waited_ms.get(name, 0.0) + ended.waited_ms.get(name, 0.0)
            classes.setdefault(name, Counter())[ended.request_class] += count
    causes = [
        LossCause(name, count, worth[name], waited_ms[name] / count, tuple(classes[name].most_common()))
        for name, count in counts.items()
        if name != IN_TIME_OUTCOME and count
    ]
    return tuple(sorted(causes, key=lambda cause: (-cause.worth, cause.name)))


def _to_row(name: str, ended_requests: Iterable[EndedRequests]) -> AccountRow:
    counts: Counter[str] = Counter()
    worth_asked = 0.0
    worth_in_time = 0.0
    for ended in ended_requests:
        counts.update(ended.counts)
        worth_asked += ended.worth * sum(ended.counts.values())
        worth_in_time += ended.worth * ended.counts[IN_TIME_OUTCOME]
    total = sum(counts.values())
    causes = [
        (cause, count / total) for cause, count in counts.most_common() if cause != IN_TIME_OUTCOME and count
    ]
    return AccountRow(
        name=name,
        request_count=total,
        in_time=counts[IN_TIME_OUTCOME] / total if total else 0.0,
        worth=worth_in_time / worth_asked if worth_asked else 0.0,
        causes=tuple(causes[:MAX_ROW_CAUSES]),
    )


def _rows_by_traffic(ended_requests: list[EndedRequests]) -> tuple[AccountRow, ...]:
    """Return a row of the busy routers, by `BUSY_TRAFFIC_FACTOR`, if there are any, and one of the others."""
    counts: Counter[str] = Counter()
    for ended in ended_requests:
        counts[ended.router] += sum(ended.counts.values())
    mean = sum(counts.values()) / len(counts) if counts else 0.0
    busy = {router for router, count in counts.items() if count >= BUSY_TRAFFIC_FACTOR * mean}
    others_name = f"{len(counts) - len(busy)} others"
    rows = [_to_row(others_name, [ended for ended in ended_requests if ended.router not in busy])]
    if busy:
        busy_name = f"{len(busy)} with {BUSY_TRAFFIC_FACTOR:g} times the mean or more"
        rows.insert(0, _to_row(busy_name, [ended for ended in ended_requests if ended.router in busy]))
    return tuple(rows)


def _request_prices(logs: RouterLogs, request_count: int) -> dict[str, float]:
    """Return, per request, the events that the platform charges for and what explains them."""
    total: Counter[str] = Counter()
    for counts in logs.counts.values():
        total.update(counts)
    return {name: total[name] / request_count for name in PRICED_COUNTERS if request_count and name in total}
