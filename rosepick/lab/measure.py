"""Measures a simulated or live run: requests by second, class and tenant, latencies, and loads.

A request is a client's first try with its retries. Its latency is measured from its due time, and it is
served if any of its tries is served. Times are milliseconds here and seconds in the results.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

from hdrh.histogram import HdrHistogram

from .experiment import Experiment
from .experiment_config import RequirementConfig
from .results import (
    FaultSpan,
    GroupSummary,
    RequirementResult,
    RuleViolation,
    RunResult,
    Window,
    library_versions,
    source_revision,
)

MAX_LATENCY_MS = 600_000  # largest latency of a histogram: ten minutes
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.99)
OUTCOMES = ("in_time", "late", "refused", "failed", "left")
SECOND_MS = 1_000.0


def _create_histogram() -> HdrHistogram:
    """Return a histogram of hundredths of a millisecond, with two significant digits."""
    return HdrHistogram(1, MAX_LATENCY_MS * 100, 2)


@dataclass(frozen=True, slots=True)
class MeasuredRequest:
    """The properties of a client's request that are measured."""

    due_ms: float
    class_name: str
    tenant: str  # empty if the experiment has no tenants
    worth: float


@dataclass(slots=True)
class SecondCounts:
    """Counts and loads of one second of a run."""

    counts: Counter[str] = field(default_factory=Counter)
    worth_offered: float = 0.0
    worth_in_time: float = 0.0
    served_times_ms: list[float] = field(default_factory=list)
    origin_load: float = 0.0
    node_loads: tuple[float, ...] = ()
    cold_used: float = 0.0
    nodes_up: int = 0


class GroupMeasure:
    """Measurements of a request class or a tenant."""

    def __init__(self) -> None:
        self.offered = 0
        self.in_time = 0
        self.times = _create_histogram()

    def summarize(self) -> GroupSummary:
        """Return the summary for the run's result."""
        return GroupSummary(
            self.offered,
            _share(self.in_time, self.offered),
            _percentile_ms(self.times, 50.0),
            _percentile_ms(self.times, 99.0),
        )


class Measure:
    """Collects the measurements of one run."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.seconds = [SecondCounts() for _ in range(int(-(-experiment.length // 1)))]
        self.times = _create_histogram()
        self.classes = {config.name: GroupMeasure() for config in experiment.classes}
        self.tenants = {config.name: GroupMeasure() for config in experiment.tenants}
        self.violations: list[RuleViolation] = []
        self.fault_spans: list[FaultSpan] = []
        self.cold_overloads = 0

    def second_at(self, now: float) -> SecondCounts:
        """Return the counts of the second of a time; times after the end are in the last second."""
        return self.seconds[max(0, min(len(self.seconds) - 1, int(now // SECOND_MS)))]

    def count_event(self, now: float, event: str) -> None:
        """Count an event, such as an attempt, a hit, a miss or a zone crossing."""
        self.second_at(now).counts[event] += 1

    def record_offered(self, request: MeasuredRequest) -> None:
        """Record a request that was due."""
        second = self.second_at(request.due_ms)
        second.counts["offered"] += 1
        second.worth_offered += request.worth
        if self._is_measured(request):
            for group in self._groups_of(request):
                group.offered += 1

    def record_ended(self, request: MeasuredRequest, outcome: str, elapsed_ms: float) -> None:
        """Record the end of a request.

        `outcome` is one of `OUTCOMES`; `elapsed_ms` is the time since the request was due.
        """
        second = self.second_at(request.due_ms)
        second.counts[outcome] += 1
        if outcome == "in_time":
            second.worth_in_time += request.worth
        if outcome in ("in_time", "late"):
            second.served_times_ms.append(elapsed_ms)
        if not self._is_measured(request):
            return
        groups = self._groups_of(request)
        for group in groups:
            group.in_time += outcome == "in_time"
        if outcome in ("in_time", "late"):
            histogram_value = max(1, min(MAX_LATENCY_MS * 100, int(elapsed_ms * 100)))
            self.times.record_value(histogram_value)
            for group in groups:
                group.times.record_value(histogram_value)

    def record_violation(self, rule: str, request: str, node: str, now: float, text: str) -> None:
        """Record a broken rule; `request` and `node` are empty if unknown."""
        self.violations.append(RuleViolation(rule, request, node, now / 1000.0, text))

    def _is_measured(self, request: MeasuredRequest) -> bool:
        return self.experiment.warm_up * 1000.0 <= request.due_ms < self.experiment.length * 1000.0

    def _groups_of(self, request: MeasuredRequest) -> list[GroupMeasure]:
        groups = [self.classes[request.class_name]]
        if request.tenant:
            groups.append(self.tenants[request.tenant])
        return groups

    def build_result(
        self, seed: int, mode: str, policy: str, changes: dict[str, object], void: str = ""
    ) -> RunResult:
        """Return the result of the run.

        `mode` is `sim` or `live`; `void` is the reason why the run is invalid, empty if it is valid.
        """
        experiment = self.experiment
        windows = [_build_window(n, second) for n, second in enumerate(self.seconds)]
        return RunResult(
            experiment=experiment.name,
            policy=policy,
            seed=seed,
            how=mode,
            changes=changes,
            revision=source_revision(),
            versions=library_versions(),
            length=experiment.length,
            warm_up=experiment.warm_up,
            void=void,
            totals=self.figures(experiment.warm_up, experiment.length),
            classes={name: group.summarize() for name, group in self.classes.items()},
            tenants={name: group.summarize() for name, group in self.tenants.items()},
            percentiles=[(percentile, _percentile_ms(self.times, percentile)) for percentile in PERCENTILES],
            windows=windows,
            troubles=self.fault_spans,
            must=[self._check_requirement(requirement) for requirement in experiment.must],
            broken=self.violations,
        )

    def figures(self, since: float, until: float) -> dict[str, float]:
        """Return all figures over a span, which is in seconds from the start of the run.

        The whole seconds that begin within the span count.
        """
        seconds = self.seconds[ceil(since) : ceil(until)]
        total: Counter[str] = Counter()
        for second in seconds:
            total.update(second.counts)
        times = sorted(time_ms for second in seconds for time_ms in second.served_times_ms)
        offered = total["offered"]
        reads = total["hits"] + total["misses"]
        loads = [load for second in seconds for load in second.node_loads]
        return {
            "offered": float(offered),
            "served_share": _share(total["in_time"], offered),
            "late_share": _share(total["late"], offered),
            "refused_share": _share(total["refused"], offered),
            "failed_share": _share(total["failed"], offered),
            "worth_share": _share(
                sum(second.worth_in_time for second in seconds),
                sum(second.worth_offered for second in seconds),
            ),
            "p50_ms": _quantile(times, 0.5),
            "p99_ms": _quantile(times, 0.99),
            "p999_ms": _quantile(times, 0.999),
            "attempts_per_request": _share(total["attempts"], offered),
            "origin_share": _share(total["origin_attempts"], offered),
            "hit_share": _share(total["hits"], reads),
            "crossings": _share(total["crossings"], offered),
            "origin_load": _mean([second.origin_load for second in seconds]),
            "node_load": _mean(loads),
            "fell": float(self.cold_overloads),
            "broken_rules": float(len(self.violations)),
        }

    def _check_requirement(self, requirement: RequirementConfig) -> RequirementResult:
        since, until = self.experiment.requirement_span(requirement)
        value = self.figures(since, until)[requirement.what]
        held = (requirement.least is None or value >= requirement.least) and (
            requirement.most is None or value <= requirement.most
        )
        return RequirementResult(
            requirement.what, value, requirement.least, requirement.most, since, until, held
        )


def _build_window(at: int, second: SecondCounts) -> Window:
    counts = second.counts
    times = sorted(second.served_times_ms)
    return Window(
        at=at,
        offered=counts["offered"],
        in_time=counts["in_time"],
        late=counts["late"],
        refused=counts["refused"],
        failed=counts["failed"],
        left=counts["left"],
        worth_offered=round(second.worth_offered, 6),
        worth_in_time=round(second.worth_in_time, 6),
        p50_ms=_quantile(times, 0.5),
        p99_ms=_quantile(times, 0.99),
        attempts=counts["attempts"],
        hits=counts["hits"],
        misses=counts["misses"],
        origin_attempts=counts["origin_attempts"],
        crossings=counts["crossings"],
        origin_load=round(second.origin_load, 4),
        node_load_mean=_mean(second.node_loads),
        node_load_most=round(max(second.node_loads, default=0.0), 4),
        cold_used=round(second.cold_used, 4),
        nodes_up=second.nodes_up,
    )


def _share(part: float, whole: float) -> float:
    return round(part / whole, 6) if whole else 0.0


def _mean(values: Iterable[float]) -> float:
    items = list(values)
    return round(sum(items) / len(items), 4) if items else 0.0


def _quantile(sorted_values: list[float], q: float) -> float:
    """Return the measured value at a quantile, or the next larger one."""
    if not sorted_values:
        return 0.0
    return round(sorted_values[min(len(sorted_values) - 1, int(q * len(sorted_values)))], 2)


def _percentile_ms(times: HdrHistogram, percentile: float) -> float:
    if not times.get_total_count():
        return 0.0
    hundredths: int = times.get_value_at_percentile(percentile)
    return round(hundredths / 100.0, 2)
