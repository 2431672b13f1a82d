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

from .experiment import Experiment, Must
from .results import Broken, Part, Run, Span, Verdict, Window, revision, versions

LONGEST = 600_000  # hundredths of a millisecond are counted up to ten minutes
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.99)
ENDS = ("in_time", "late", "refused", "failed", "left")
STEP = 1_000.0  # of the windows


def _histogram() -> HdrHistogram:
    """Of hundredths of a millisecond, with two digits."""
    return HdrHistogram(1, LONGEST * 100, 2)


@dataclass(slots=True)
class Second:
    """What is counted in one second."""

    counts: Counter[str] = field(default_factory=Counter)
    worth_offered: float = 0.0
    worth_in_time: float = 0.0
    served: list[float] = field(default_factory=list)
    origin_load: float = 0.0
    node_loads: tuple[float, ...] = ()
    cold_used: float = 0.0
    nodes_up: int = 0


class Group:
    """What a class or a tenant got."""

    def __init__(self) -> None:
        self.offered = self.in_time = 0
        self.times = _histogram()

    def part(self) -> Part:
        """As a result."""
        return Part(
            self.offered, _share(self.in_time, self.offered), _at(self.times, 50.0), _at(self.times, 99.0)
        )


class Measure:
    """Collects what happens in one run."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.seconds = [Second() for _ in range(int(-(-experiment.length // 1)))]
        self.times = _histogram()
        self.classes = {one.name: Group() for one in experiment.classes}
        self.tenants = {one.name: Group() for one in experiment.tenants}
        self.broken: list[Broken] = []
        self.spans: list[Span] = []
        self.fell = 0

    def second(self, now: float) -> Second:
        """The one that a time is in; the last one for what comes after the end."""
        return self.seconds[max(0, min(len(self.seconds) - 1, int(now // STEP)))]

    def count(self, now: float, what: str) -> None:
        """Count an attempt, a hit, a miss, a crossing and the like."""
        self.second(now).counts[what] += 1

    def offered(self, due: float, klass: str, tenant: str, worth: float) -> None:
        """A request was due."""
        second = self.second(due)
        second.counts["offered"] += 1
        second.worth_offered += worth
        if self._measured(due):
            self.classes[klass].offered += 1
            if tenant:
                self.tenants[tenant].offered += 1

    def ended(self, due: float, klass: str, tenant: str, worth: float, end: str, took: float) -> None:
        """A request has its end, one of `ENDS`; `took` counts from when it was due."""
        second = self.second(due)
        second.counts[end] += 1
        if end == "in_time":
            second.worth_in_time += worth
        if end in ("in_time", "late"):
            second.served.append(took)
        if not self._measured(due):
            return
        groups = [self.classes[klass], *([self.tenants[tenant]] if tenant else [])]
        for group in groups:
            group.in_time += end == "in_time"
        if end in ("in_time", "late"):
            hundredths = max(1, min(LONGEST * 100, int(took * 100)))
            self.times.record_value(hundredths)
            for group in groups:
                group.times.record_value(hundredths)

    def broke(self, rule: str, request: str, node: str, now: float, text: str) -> None:
        """A rule was broken."""
        self.broken.append(Broken(rule, request, node, now / 1000.0, text))

    def _measured(self, due: float) -> bool:
        return self.experiment.warm_up * 1000.0 <= due < self.experiment.length * 1000.0

    # ---------------------------------------------------------------------------------------- its result

    def run(self, seed: int, how: str, policy: str, changes: dict[str, object], void: str = "") -> Run:
        """The result of all that was collected."""
        given = self.experiment
        windows = [_window(n, second) for n, second in enumerate(self.seconds)]
        return Run(
            experiment=given.name,
            policy=policy,
            seed=seed,
            how=how,
            changes=changes,
            revision=revision(),
            versions=versions(),
            length=given.length,
            warm_up=given.warm_up,
            void=void,
            totals=self.figures(given.warm_up, given.length),
            classes={name: group.part() for name, group in self.classes.items()},
            tenants={name: group.part() for name, group in self.tenants.items()},
            percentiles=[(q, _at(self.times, q)) for q in PERCENTILES],
            windows=windows,
            troubles=self.spans,
            must=[self._verdict(must) for must in given.must],
            broken=self.broken,
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
            "fell": float(self.fell),
            "broken_rules": float(len(self.broken)),
        }

    def _verdict(self, must: Must) -> Verdict:
        since, until = self.experiment.span(must)
        value = self.figures(since, until)[must.what]
        held = (must.least is None or value >= must.least) and (must.most is None or value <= must.most)
        return Verdict(must.what, value, must.least, must.most, since, until, held)


def _window(at: int, second: Second) -> Window:
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
