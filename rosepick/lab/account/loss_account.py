"""Builds the account of a day: the requests, and the value that was lost to each cause.

Counts are of requests that ended at routers. A client's retry is a separate request, and a request that never
reached a router is in no log, so that shares differ slightly from those that clients measure.
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
SLICE_S = 5.0  # length of a time slice in seconds
BUSY_TRAFFIC_FACTOR = 3.0  # a router is busy if its traffic is at least this multiple of the mean
MAX_ROW_CAUSES = 3  # number of causes listed in a row
PRICED_COUNTERS = (
    "attempts",
    "cross_zone_attempts",
    "upstream_connects",
    "late_without_attempt",  # refused or failed after half of its time without an attempt
    "attempt_miss",
    "attempt_ok",
)
OUTCOME_TEXTS = {
    "served_late": "served after its objective",
    "refused_overloaded": "refused at once: the router is overloaded",
    "refused_too_slow": "refused at once: expected to be too late",
    "refused_no_endpoint": "refused: no cache node accepts it",
    "refused_queue_timeout": "refused: waited for admission to the origin until too late",
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
    "deadline_exceeded_queue_timeout": "failed at its deadline: waited for admission to the origin",
    "deadline_exceeded_not_permitted": "failed at its deadline: may not be sent again",
    "client_gone": "the client disconnected first",
}


def describe_outcome(name: str) -> str:
    """Return a description of an outcome and its cause."""
    return OUTCOME_TEXTS.get(name, name.replace("_", " "))


@dataclass(frozen=True, slots=True)
class LossCause:
    """The requests that were lost to one cause."""

    name: str
    count: int
    lost_value: float  # value of the lost requests
    mean_wait_ms: float  # mean time until the end of a request
    classes: tuple[tuple[str, int], ...]  # classes with their numbers of lost requests, the largest first

    @property
    def text(self) -> str:
        """The description of the cause."""
        return describe_outcome(self.name)


@dataclass(frozen=True, slots=True)
class AccountRow:
    """A row of the account: a class, a time slice or a group of routers."""

    name: str
    request_count: int
    in_time_share: float  # share of the requests that were served in time
    value_share: float  # share of the value that was served in time
    causes: tuple[tuple[str, float], ...]  # the most frequent causes, and their shares of the requests


@dataclass(frozen=True, slots=True)
class LossAccount:
    """The account of a day."""

    routers: int
    starts: int
    request_count: int
    in_time_share: float
    value_share: float
    causes: tuple[LossCause, ...]  # ordered by lost value, the largest first
    classes: tuple[AccountRow, ...]
    slices: tuple[AccountRow, ...]
    groups: tuple[AccountRow, ...]  # busy routers, and the others
    prices: dict[str, float] = field(default_factory=dict)  # charged events per request
    day_report: DayReport | None = None


def build_account(logs: RouterLogs, day_report: DayReport | None = None) -> LossAccount:
    """Return the account of a day from its logs and, if given, the test bench's report of the day."""
    total_row = _to_row("all", logs.ended)
    return LossAccount(
        routers=len(logs.starts) or len({ended.router for ended in logs.ended}),
        starts=sum(logs.starts.values()),
        request_count=total_row.request_count,
        in_time_share=total_row.in_time_share,
        value_share=total_row.value_share,
        causes=_loss_causes(logs.ended),
        classes=tuple(
            _to_row(name, group) for name, group in _group_by(logs.ended, lambda ended: ended.request_class)
        ),
        slices=tuple(
            _to_row(f"{int(SLICE_S * index)} s", group)
            for index, group in _group_by(logs.ended, lambda ended: _slice_index(ended.at))
        ),
        groups=_rows_by_traffic(logs.ended),
        prices=_request_prices(logs, total_row.request_count),
        day_report=day_report,
    )


def _slice_index(at: float) -> int:
    """Return the time slice of a record at `at` seconds; the record describes the time before it."""
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
    lost_value: dict[str, float] = {}
    waited_ms: dict[str, float] = {}
    classes: dict[str, Counter[str]] = {}
    for ended in ended_requests:
        for name, count in ended.counts.items():
            counts[name] += count
            lost_value[name] = lost_value.get(name, 0.0) + count * ended.request_value
            waited_ms[name] = waited_ms.get(name, 0.0) + ended.waited_ms.get(name, 0.0)
            classes.setdefault(name, Counter())[ended.request_class] += count
    causes = [
        LossCause(name, count, lost_value[name], waited_ms[name] / count, tuple(classes[name].most_common()))
        for name, count in counts.items()
        if name != IN_TIME_OUTCOME and count
    ]
    return tuple(sorted(causes, key=lambda cause: (-cause.lost_value, cause.name)))


def _to_row(name: str, ended_requests: Iterable[EndedRequests]) -> AccountRow:
    counts: Counter[str] = Counter()
    total_value = 0.0
    value_in_time = 0.0
    for ended in ended_requests:
        counts.update(ended.counts)
        total_value += ended.request_value * sum(ended.counts.values())
        value_in_time += ended.request_value * ended.counts[IN_TIME_OUTCOME]
    total = sum(counts.values())
    causes = [
        (cause, count / total) for cause, count in counts.most_common() if cause != IN_TIME_OUTCOME and count
    ]
    return AccountRow(
        name=name,
        request_count=total,
        in_time_share=counts[IN_TIME_OUTCOME] / total if total else 0.0,
        value_share=value_in_time / total_value if total_value else 0.0,
        causes=tuple(causes[:MAX_ROW_CAUSES]),
    )


def _rows_by_traffic(ended_requests: list[EndedRequests]) -> tuple[AccountRow, ...]:
    """Return a row for the busy routers (see `BUSY_TRAFFIC_FACTOR`), if any, and one for the others."""
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
    """Return, per request, the events that the platform charges for and the events that explain them."""
    total: Counter[str] = Counter()
    for counts in logs.counts.values():
        total.update(counts)
    return {name: total[name] / request_count for name in PRICED_COUNTERS if request_count and name in total}
