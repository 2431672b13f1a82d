"""Canary analysis: a sequential test over paired metrics decides whether a new artifact is worse.

In each interval the changed members are compared with unchanged members of the same zone. This cancels
effects on the whole zone, such as its load or an origin that is down. A member may always have been slower
than others, so the difference is compared with its baseline from before the change. Under the null hypothesis
"no worse" the recursive residuals (each difference less its prediction from all earlier ones: Brown, Durbin
and Evans 1975) are independent and normal with variance 1. The evidence is a likelihood ratio against a
mixture of harms. It is a martingale under the null hypothesis: by Ville's inequality it exceeds 1/a with a
probability of at most a, however often it is evaluated (Howard, Ramdas and others 2021; Johari and others
2017 describe the mixture for continuously monitored experiments). Residuals are clipped, so that a single
burst at a router with few requests cannot decide the test.

A state machine without I/O and clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import asin, exp, log, sqrt
from typing import NamedTuple

MAX_DEVIATION = 2.0  # residuals are clipped at this number of standard deviations
MAX_CROSS_ZONE_DEVIATION = 1.25  # tighter clip between zones, as an effect may hit only one of them
HARM_FACTORS = (1.0, 2.0, 4.0, 8.0)  # harms of the mixture, in multiples of a metric's `min_harm`
TESTED_HARM_COUNT = 1 + len(HARM_FACTORS)  # the harm to rule out, then those of the mixture
MAX_BASELINE_INTERVALS = 40  # number of intervals kept from before the change
MISSED_HARM_PROBABILITY = 0.05  # probability of wrongly ruling out a harm, per metric
MIN_SPREAD_INTERVALS = 4  # minimum number of intervals to estimate a standard deviation from
MIN_REQUESTS = 5.0  # minimum number of requests in an interval for a per-request metric
RECENT_INTERVALS = 5  # a verdict's reason states the mean change over this number of intervals
CONFIDENCE_95_DEVIATIONS = 1.96  # half-width of a 95% confidence interval in standard errors
EXPORTED_DIGITS = 6  # decimal places of the exported state
MAX_ODDS = 1e9  # upper bound of the odds in a verdict's reason
REQUESTS_LOST = "requests lost"


class CanaryStatus(Enum):
    """Result of the comparison so far."""

    NOT_WORSE = "fine"
    WORSE = "worse"
    INCONCLUSIVE = "not enough yet"


@dataclass(frozen=True, slots=True)
class HealthMetrics:
    """Metrics of one member in one interval; request figures are counts."""

    served: float = 0.0
    lost: float = 0.0  # refused, failed or late
    cpu_s: float = 0.0
    memory_kib: float = 0.0
    admin_latency_ms: float = 0.0  # response time of the admin listener
    missed: float = 0.0  # requests that missed the cache and went on to the origin


# a member's values in one interval, in the order of `METRICS`; None where there is too little data
Measures = tuple[float | None, ...]


def _loss_measure(metrics: HealthMetrics) -> float | None:
    requests = metrics.served + metrics.lost
    # the arcsine of the square root makes the variance nearly independent of the share (Anscombe 1948)
    return asin(sqrt((metrics.lost + 0.375) / (requests + 0.75))) if requests >= MIN_REQUESTS else None


def _cpu_measure(metrics: HealthMetrics) -> float | None:
    requests = metrics.served + metrics.lost
    return log(metrics.cpu_s / requests) if requests >= MIN_REQUESTS and metrics.cpu_s > 0.0 else None


def _logarithm(value: float) -> float | None:
    return log(value) if value > 0.0 else None


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric that artifacts are compared by, on its own scale.

    `min_harm` is the smallest difference that justifies a rollback. `min_spread` is a lower bound for the
    estimated standard deviation. `prior_variance` is the prior variance of a permanent difference between
    two members, in variances of one interval.
    """

    name: str
    min_harm: float
    min_spread: float
    prior_variance: float


METRICS = (
    Metric(REQUESTS_LOST, 0.1, 0.04, 0.25),  # arcsine scale: 0.1 is a rise from 0 to 1% or from 5 to 10%
    Metric("processor time a request", log(1.15), 0.04, 4.0),
    Metric("memory", log(1.25), 0.03, 16.0),
    Metric("time of the door", log(2.0), 0.25, 1.0),
)


def measure(metrics: HealthMetrics) -> Measures:
    """Return the values of a member's interval on the scales of `METRICS`."""
    return (
        _loss_measure(metrics),
        _cpu_measure(metrics),
        _logarithm(metrics.memory_kib),
        _logarithm(metrics.admin_latency_ms),
    )


@dataclass(slots=True)
class _SequentialTest:
    """Sequential test of one metric: a filter that predicts the difference, and the evidence for harm.

    Both lists have an entry for each tested harm: first the harm to rule out, then those of the mixture.
    """

    mean: float = 0.0
    variance: float = 1.0  # variance of `mean`, in variances of one interval
    absorbed_harms: list[float] = field(default_factory=list)  # part absorbed in `mean`, by harm
    log_likelihood_ratios: list[float] = field(default_factory=list)
    baseline_spread: float = 0.0  # standard deviation of the differences before the change
    count: int = 0

    def add(self, value: float, spread: float, harms: Sequence[float], max_deviation: float) -> None:
        """Add the difference of one interval; `spread` is its standard deviation."""
        scale = spread * sqrt(1.0 + self.variance)
        residual = max(-max_deviation, min(max_deviation, (value - self.mean) / scale))
        gain = self.variance / (1.0 + self.variance)
        if not self.absorbed_harms:
            self.absorbed_harms = [0.0] * len(harms)
            self.log_likelihood_ratios = [0.0] * len(harms)
        for index, harm in enumerate(harms):
            expected = min(max_deviation, (harm - self.absorbed_harms[index]) / scale)
            self.log_likelihood_ratios[index] += expected * residual - expected * expected / 2.0
            self.absorbed_harms[index] += gain * (harm - self.absorbed_harms[index])
        self.mean += gain * (value - self.mean)
        self.variance -= gain * self.variance
        self.count += 1

    def log_evidence(self) -> float:
        """Return the logarithm of the likelihood ratio of the mixture."""
        mixture = self.log_likelihood_ratios[1:]
        if not mixture:
            return 0.0
        largest = max(mixture)
        return largest + log(sum(exp(ratio - largest) for ratio in mixture) / len(mixture))

    def is_harm_ruled_out(self) -> bool:
        """Return whether the first tested harm is ruled out, at `MISSED_HARM_PROBABILITY`."""
        return bool(self.log_likelihood_ratios) and -self.log_likelihood_ratios[0] >= log(
            1.0 / MISSED_HARM_PROBABILITY
        )


class ChangeEstimate(NamedTuple):
    """Estimated change of a metric, on its scale."""

    mean: float
    half_width: float  # half-width of the 95% confidence interval
    log_evidence: float  # logarithm of the likelihood ratio for harm


@dataclass(frozen=True, slots=True)
class CanaryVerdict:
    """Result of the comparison, with the estimated change of each metric by name."""

    status: CanaryStatus
    reason: str  # empty unless the status is WORSE
    changes: Mapping[str, ChangeEstimate]


class _Difference(NamedTuple):
    """Difference between changed and unchanged members in one interval."""

    value: float
    spread_factor: float  # standard deviation of `value`, in standard deviations of one member
    is_cross_zone: bool  # members of different zones were compared


class _ZoneDifference(NamedTuple):
    """Difference between changed and unchanged members in one zone."""

    changed_count: int
    value: float
    variance_factor: float  # variance of `value`, in variances of one member


class CanaryAnalysis:
    """Analysis of one wave.

    Intervals that are added before `begin_comparison` form the baseline; later ones are compared with it.

    Args:
        zones: zone of each router, by router name.
        false_alarm_probability: probability of rejecting an equal artifact, over all metrics of this wave.
        harm_factor: multiple of a metric's `min_harm` that has to be ruled out.
    """

    def __init__(
        self, zones: Mapping[str, str], false_alarm_probability: float = 0.01, harm_factor: float = 1.0
    ) -> None:
        self._zones = zones
        self._false_alarm_probability = false_alarm_probability
        self._harm_factor = harm_factor
        self._baseline: list[dict[str, Measures]] = []
        self._changed: frozenset[str] = frozenset()
        self._unchanged: frozenset[str] = frozenset()
        self._spreads: list[float] = []  # by metric: standard deviation of one member between intervals
        self._tests: list[_SequentialTest] = []  # by metric
        self._differences: list[list[float]] = [[] for _ in METRICS]

    def add_interval(self, metrics: Mapping[str, HealthMetrics]) -> None:
        """Add the metrics of one interval, of the members that were in service throughout it."""
        measures = {name: measure(health_metrics) for name, health_metrics in metrics.items()}
        if not self._changed:
            self._baseline = [*self._baseline[1 - MAX_BASELINE_INTERVALS :], measures]
            return
        for index in range(len(METRICS)):
            difference = self._difference(measures, index)
            if difference is not None:
                self._add_difference(index, difference)

    def _add_difference(self, index: int, difference: _Difference) -> None:
        metric = METRICS[index]
        test = self._tests[index]
        value, spread_factor, is_cross_zone = difference
        own_spread = max(metric.min_spread, self._spreads[index]) * spread_factor
        min_spread = metric.min_spread if is_cross_zone else 0.0
        spread = max(own_spread, test.baseline_spread, min_spread)
        harms = [
            metric.min_harm * self._harm_factor,
            *(factor * metric.min_harm for factor in HARM_FACTORS),
        ]
        test.add(value, spread, harms, MAX_CROSS_ZONE_DEVIATION if is_cross_zone else MAX_DEVIATION)
        self._differences[index].append(value)

    def begin_comparison(self, changed: Iterable[str], unchanged: Iterable[str]) -> None:
        """End the baseline; from now on compare members on the new artifact with unchanged ones."""
        self._changed = frozenset(changed)
        self._unchanged = frozenset(unchanged)
        self._spreads = [self._spread(index) for index in range(len(METRICS))]
        self._tests = [self._new_test(index) for index in range(len(METRICS))]

    def _new_test(self, index: int) -> _SequentialTest:
        """Return a test that starts from the baseline, or from the prior if the baseline is too short."""
        differences = [self._difference(measures, index) for measures in self._baseline]
        values = [difference.value for difference in differences if difference is not None]
        if len(values) < MIN_SPREAD_INTERVALS:
            return _SequentialTest(0.0, METRICS[index].prior_variance)
        mean = _mean(values)
        spread = sqrt(sum((value - mean) ** 2 for value in values) / (len(values) - 1))
        return _SequentialTest(mean, 1.0 / len(values), baseline_spread=spread)

    def _difference(self, measures: Mapping[str, Measures], index: int) -> _Difference | None:
        """Return the difference over all zones, weighted by changed members; None without a pair."""
        differences: list[_ZoneDifference] = []
        is_cross_zone = False
        for zone in {self._zones.get(name, "") for name in self._changed}:
            new = self._measures_of(measures, self._changed, zone, index)
            same_zone = self._measures_of(measures, self._unchanged, zone, index)
            old = same_zone or self._measures_of(measures, self._unchanged, "", index)
            is_cross_zone = is_cross_zone or (bool(new) and not same_zone)
            if new and old:
                value = sum(new) / len(new) - sum(old) / len(old)
                differences.append(_ZoneDifference(len(new), value, 1.0 / len(new) + 1.0 / len(old)))
        total = sum(zone.changed_count for zone in differences)
        if not total:
            return None
        value = sum(zone.changed_count * zone.value for zone in differences) / total
        variance = sum((zone.changed_count / total) ** 2 * zone.variance_factor for zone in differences)
        return _Difference(value, sqrt(variance), is_cross_zone)

    def _measures_of(
        self, measures: Mapping[str, Measures], names: Iterable[str], zone: str, index: int
    ) -> list[float]:
        """Return one metric of the named members in a zone; in all zones if `zone` is empty."""
        values = []
        for name in names:
            value = measures[name][index] if name in measures else None
            if value is not None and zone in ("", self._zones.get(name, "")):
                values.append(value)
        return values

    def export_state(self) -> tuple[float, ...]:
        """Return the state from which `resume` continues the analysis of the same wave."""
        state: list[float] = []
        for spread, test in zip(self._spreads, self._tests, strict=True):
            state += [spread, test.mean, test.variance, test.baseline_spread, float(test.count)]
            state += test.absorbed_harms or [0.0] * TESTED_HARM_COUNT
            state += test.log_likelihood_ratios or [0.0] * TESTED_HARM_COUNT
        return tuple(round(value, EXPORTED_DIGITS) for value in state)

    def resume(self, changed: Iterable[str], unchanged: Iterable[str], state: Sequence[float]) -> None:
        """Continue from an exported state; start anew if its length does not match."""
        self.begin_comparison(changed, unchanged)
        size = 5 + 2 * TESTED_HARM_COUNT
        if len(state) != size * len(METRICS):
            return
        for index in range(len(METRICS)):
            spread, mean, variance, baseline_spread, count, *by_harm = state[
                index * size : (index + 1) * size
            ]
            absorbed_harms = list(by_harm[:TESTED_HARM_COUNT])
            ratios = list(by_harm[TESTED_HARM_COUNT:])
            self._spreads[index] = spread
            self._tests[index] = _SequentialTest(
                mean, variance, absorbed_harms, ratios, baseline_spread, int(count)
            )

    def _spread(self, index: int) -> float:
        """Return the standard deviation of one member between intervals, without zone-wide effects."""
        squares = 0.0
        degrees_of_freedom = 0
        for zone in set(self._zones.values()):
            rows = [self._zone_values(measures, zone, index) for measures in self._baseline]
            names = {name for row in rows for name in row}
            means = {name: _mean([row[name] for row in rows if name in row]) for name in names}
            for row in rows:
                zone_effect = _mean([row[name] - means[name] for name in row])
                squares += sum((row[name] - means[name] - zone_effect) ** 2 for name in row)
                degrees_of_freedom += len(row)
            degrees_of_freedom -= len(names) + len(rows)
        if degrees_of_freedom < MIN_SPREAD_INTERVALS:
            return 2.0 * METRICS[index].min_spread
        return sqrt(squares / degrees_of_freedom)

    def _zone_values(self, measures: Mapping[str, Measures], zone: str, index: int) -> dict[str, float]:
        """Return one metric of a zone's members by name; empty with fewer than two members."""
        row: dict[str, float] = {}
        for name, member_measures in measures.items():
            value = member_measures[index]
            if value is not None and self._zones.get(name) == zone:
                row[name] = value
        return row if len(row) > 1 else {}

    def verdict(self) -> CanaryVerdict:
        """Return the result of the comparison so far."""
        changes: dict[str, ChangeEstimate] = {}
        reason = ""
        evidence_threshold = log(len(METRICS) / self._false_alarm_probability)
        is_all_harm_ruled_out = bool(self._tests)
        for metric, test, differences in zip(METRICS, self._tests, self._differences, strict=False):
            evidence = test.log_evidence()
            changes[metric.name] = _estimate_change(differences, evidence)
            if evidence >= evidence_threshold:
                odds = f"evidence {min(exp(evidence), MAX_ODDS):.0f} to 1"
                reason = reason or f"{metric.name}: {_describe_change(metric, differences)}, {odds}"
            is_all_harm_ruled_out = is_all_harm_ruled_out and test.is_harm_ruled_out()
        if reason:
            return CanaryVerdict(CanaryStatus.WORSE, reason, changes)
        status = CanaryStatus.NOT_WORSE if is_all_harm_ruled_out else CanaryStatus.INCONCLUSIVE
        return CanaryVerdict(status, reason, changes)


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _describe_change(metric: Metric, differences: Sequence[float]) -> str:
    recent = _mean(differences[-RECENT_INTERVALS:])
    if metric.name == REQUESTS_LOST:
        return f"{recent:+.2f} on its scale"
    return f"{100 * (exp(recent) - 1):+.0f}%"


def _estimate_change(differences: Sequence[float], log_evidence: float) -> ChangeEstimate:
    mean = _mean(differences)
    count = len(differences)
    spread = (
        sqrt(sum((difference - mean) ** 2 for difference in differences) / max(1, count - 1))
        if count > 1
        else 0.0
    )
    return ChangeEstimate(mean, CONFIDENCE_95_DEVIATIONS * spread / sqrt(max(1, count)), log_evidence)
