"""What is measured in a run, however it is played: requests by second, class and tenant, latencies, loads.

A request is a client's first try with its repeats: its time counts from when it was due, and it is served if
any of its tries was. Times are milliseconds here, seconds in the results.
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

MAX_LATENCY_MS = 600_000  # hundredths of a millisecond are counted up to ten minutes
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.99)
OUTCOMES = ("in_time", "late", "refused", "failed", "left")
SECOND_MS = 1_000.0  # of the windows


def _histogram() -> HdrHistogram:
    """Of hundredths of a millisecond, with two digits."""
    return HdrHistogram(1, MAX_LATENCY_MS * 100, 2)


@dataclass(slots=True)
class SecondCounts:
    """What is counted in one second."""

    counts: Counter[str] = field(default_factory=Counter)
    worth_offered: float = 0.0
    worth_in_time: float = 0.0
    served: list[float] = field(default_factory=list)
    origin_load: float = 0.0
    node_loads: tuple[float, ...] = ()
    cold_used: float = 0.0
    nodes_up: int = 0


class GroupMeasure:
    """What a class or a tenant got."""

    def __init__(self) -> None:
        self.offered = self.in_time = 0
        self.times = _histogram()

    def summarize(self) -> GroupSummary:
        """As a result."""
        return GroupSummary(
            self.offered, _share(self.in_time, self.offered), _at(self.times, 50.0), _at(self.times, 99.0)
        )


class Measure:
    """Collects what happens in one run."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.seconds = [SecondCounts() for _ in range(int(-(-experiment.length // 1)))]
        self.times = _histogram()
        self.classes = {one.name: GroupMeasure() for one in experiment.classes}
        self.tenants = {one.name: GroupMeasure() for one in experiment.tenants}
        self.violations: list[RuleViolation] = []
        self.spans: list[FaultSpan] = []
        self.cold_overloads = 0

    def second_at(self, now: float) -> SecondCounts:
        """The one that a time is in; the last one for what comes after the end."""
        return self.seconds[max(0, min(len(self.seconds) - 1, int(now // SECOND_MS)))]

    def count_event(self, now: float, event: str) -> None:
        """Count an attempt, a hit, a miss, a crossing and the like."""
        self.second_at(now).counts[event] += 1

    def record_offered(self, due: float, klass: str, tenant: str, worth: float) -> None:
        """A request was due."""
        second = self.second_at(due)
        second.counts["offered"] += 1
        second.worth_offered += worth
        if self._is_measured(due):
            self.classes[klass].offered += 1
            if tenant:
                self.tenants[tenant].offered += 1

    def record_ended(
        self, due: float, klass: str, tenant: str, worth: float, outcome: str, elapsed_ms: float
    ) -> None:
        """A request has its end, one of `ENDS`; `elapsed_ms` counts from when it was due."""
        second = self.second_at(due)
        second.counts[outcome] += 1
        if outcome == "in_time":
            second.worth_in_time += worth
        if outcome in ("in_time", "late"):
            second.served.append(elapsed_ms)
        if not self._is_measured(due):
            return
        groups = [self.classes[klass], *([self.tenants[tenant]] if tenant else [])]
        for group in groups:
            group.in_time += outcome == "in_time"
        if outcome in ("in_time", "late"):
            hundredths = max(1, min(MAX_LATENCY_MS * 100, int(elapsed_ms * 100)))
            self.times.record_value(hundredths)
            for group in groups:
                group.times.record_value(hundredths)

    def record_violation(self, rule: str, request: str, node: str, now: float, text: str) -> None:
        """A rule was broken."""
        self.violations.append(RuleViolation(rule, request, node, now / 1000.0, text))

    def _is_measured(self, due: float) -> bool:
        return self.experiment.warm_up * 1000.0 <= due < self.experiment.length * 1000.0

    # ---------------------------------------------------------------------------------------- its result

    def build_result(
        self, seed: int, mode: str, policy: str, changes: dict[str, object], void: str = ""
    ) -> RunResult:
        """The result of all that was collected."""
        given = self.experiment
        windows = [_window(n, second) for n, second in enumerate(self.seconds)]
        return RunResult(
            experiment=given.name,
            policy=policy,
            seed=seed,
            how=mode,
            changes=changes,
            revision=source_revision(),
            versions=library_versions(),
            length=given.length,
            warm_up=given.warm_up,
            void=void,
            totals=self.figures(given.warm_up, given.length),
            classes={name: group.summarize() for name, group in self.classes.items()},
            tenants={name: group.summarize() for name, group in self.tenants.items()},
            percentiles=[(q, _at(self.times, q)) for q in PERCENTILES],
            windows=windows,
            troubles=self.spans,
            must=[self._check_requirement(must) for must in given.must],
            broken=self.violations,
        )

    def figures(self, since: float, until: float) -> dict[str, float]:
        """All figures over a span, in seconds from the begin; a second counts from the first that begins in
        it to the last that does.
        """
        seconds = self.seconds[ceil(since) : ceil(until)]
        total: Counter[str] = Counter()
        for second in seconds:
            total.update(second.counts)
        times = sorted(took for second in seconds for took in second.served)
        offered, reads = total["offered"], total["hits"] + total["misses"]
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


def _window(at: int, second: SecondCounts) -> Window:
    counts, times = second.counts, sorted(second.served)
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
    held = list(values)
    return round(sum(held) / len(held), 4) if held else 0.0


def _quantile(ordered: list[float], q: float) -> float:
    """Of values in order; the next higher one that was measured."""
    return round(ordered[min(len(ordered) - 1, int(q * len(ordered)))], 2) if ordered else 0.0


def _at(times: HdrHistogram, percentile: float) -> float:
    return round(times.get_value_at_percentile(percentile) / 100.0, 2) if times.get_total_count() else 0.0
