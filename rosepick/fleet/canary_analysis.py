"""Is the new version worse? A test that may be looked at at any time, over figures pooled by wave.

Of each interval the members that changed are set beside those of the same zone that did not, so what all of
a zone feel at once (its load, an origin that is down) is in neither. A member is slower than others for
good, maybe: so the difference is compared with what it was before the change. Under "no worse" what is left
over, each time predicted from all before it (recursive residuals: Brown, Durbin and Evans 1975), is
independent and normal with variance 1. Evidence is a likelihood ratio against a mixture of harms, a
martingale under "no worse", so by Ville's inequality it passes 1/a with a chance of at most a, however
often it is looked at (Howard, Ramdas and others 2021; Johari and others 2017 for the mixture in experiments
that are watched). Single intervals are clipped: guards against one burst in a router with few requests.

A machine without I/O and clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import asin, exp, log, sqrt

# standard deviations: an interval counts for no more, so harm has to last for some of them ...
MAX_DEVIATION = 2.0
# ... and for more where zones are compared: one may feel for a while what the other does not
MAX_CROSS_ZONE_DEVIATION = 1.25
HARM_FACTORS = (1.0, 2.0, 4.0, 8.0)  # times the least harm: the mixture
TESTED_HARM_COUNT = 1 + len(HARM_FACTORS)  # and the one that is to be ruled out
MAX_BASELINE_INTERVALS = 40  # intervals before the change
MISSED_HARM_PROBABILITY = 0.05  # the chance that a harm which matters is ruled out, on one scale
MIN_SPREAD_INTERVALS = 4  # intervals before a spread is believed as it is


class CanaryStatus(Enum):
    """What the figures say."""

    NOT_WORSE = "fine"
    WORSE = "worse"
    INCONCLUSIVE = "not enough yet"


@dataclass(frozen=True, slots=True)
class HealthMetrics:
    """Of one member and one interval. Counts; seconds of processor time; KiB; milliseconds."""

    served: float = 0.0
    lost: float = 0.0  # refused, failed, late
    cpu_s: float = 0.0
    memory_kib: float = 0.0
    admin_latency_ms: float = 0.0  # until its door answers
    missed: float = 0.0  # sends that ended as misses, for the origin to bear


def _loss_measure(metrics: HealthMetrics) -> float | None:
    asked = metrics.served + metrics.lost
    # an arcsine root, whose spread hardly depends on the share (Anscombe 1948)
    return asin(sqrt((metrics.lost + 0.375) / (asked + 0.75))) if asked >= 5.0 else None


def _cpu_measure(metrics: HealthMetrics) -> float | None:
    asked = metrics.served + metrics.lost
    return log(metrics.cpu_s / asked) if asked >= 5.0 and metrics.cpu_s > 0.0 else None


def _logarithm(value: float) -> float | None:
    return log(value) if value > 0.0 else None


@dataclass(frozen=True, slots=True)
class Metric:
    """How one figure is measured. `min_harm`: the harm worth stopping for; `min_spread`: a spread is no
    smaller; `prior_variance`: how far two members may be apart for good, in variances of an interval.
    """

    name: str
    min_harm: float
    min_spread: float
    prior_variance: float


METRICS = (
    Metric("requests lost", 0.1, 0.04, 0.25),  # on the arcsine's scale: from 0 to 1%, from 5 to 10%
    Metric("processor time a request", log(1.15), 0.04, 4.0),
    Metric("memory", log(1.25), 0.03, 16.0),
    Metric("time of the door", log(2.0), 0.25, 1.0),
)


def measure(metrics: HealthMetrics) -> tuple[float | None, ...]:
    """A member's interval on each scale; None where it says nothing."""
    return (
        _loss_measure(metrics),
        _cpu_measure(metrics),
        _logarithm(metrics.memory_kib),
        _logarithm(metrics.admin_latency_ms),
    )


@dataclass(slots=True)
class _SequentialTest:
    """One scale: the filter that predicts, and the evidence."""

    mean: float = 0.0
    variance: float = 1.0  # of the mean, in units of an interval's
    absorbed_harms: list[float] = field(
        default_factory=list
    )  # for each harm: what the filter has taken for usual of it
    log_likelihood_ratios: list[float] = field(default_factory=list)  # logarithms of likelihood ratios
    # of the differences before the change: zones that are compared feel what is theirs
    baseline_spread: float = 0.0
    count: int = 0

    def add(self, value: float, spread: float, harms: Sequence[float], max_deviation: float) -> None:
        """One more difference. The first of the harms is the one that is to be ruled out, the others are the
        mixture.
        """
        scale = spread * sqrt(1.0 + self.variance)
        left = max(-max_deviation, min(max_deviation, (value - self.mean) / scale))
        gain = self.variance / (1.0 + self.variance)
        if not self.absorbed_harms:
            self.absorbed_harms, self.log_likelihood_ratios = [0.0] * len(harms), [0.0] * len(harms)
        for n, harm in enumerate(harms):
            meant = min(max_deviation, (harm - self.absorbed_harms[n]) / scale)
            self.log_likelihood_ratios[n] += meant * left - meant * meant / 2.0
            self.absorbed_harms[n] += gain * (harm - self.absorbed_harms[n])
        self.mean += gain * (value - self.mean)
        self.variance -= gain * self.variance
        self.count += 1

    def log_evidence(self) -> float:
        """The logarithm of the mixture's ratio."""
        mixture = self.log_likelihood_ratios[1:]
        if not mixture:
            return 0.0
        most = max(mixture)
        return most + log(sum(exp(one - most) for one in mixture) / len(mixture))

    def is_harm_ruled_out(self) -> bool:
        """Whether the harm that would matter is not there: one in twenty at most is taken for so and is."""
        return bool(self.log_likelihood_ratios) and -self.log_likelihood_ratios[0] >= log(
            1.0 / MISSED_HARM_PROBABILITY
        )


@dataclass(frozen=True, slots=True)
class CanaryVerdict:
    """A verdict and its figures: by scale what changed, with an interval of 95%, and what speaks for harm (a
    ratio's logarithm).
    """

    status: CanaryStatus
    reason: str
    changes: Mapping[str, tuple[float, float, float]]


class CanaryAnalysis:
    """Of one wave. Figures come interval by interval; until `begin_comparison` they are those from before."""

    def __init__(
        self, zones: Mapping[str, str], false_alarm_probability: float = 0.01, harm_factor: float = 1.0
    ) -> None:
        """`zones` of all routers. `false_alarm_probability`: the chance of a false one, over all scales of
        this wave. `harm_factor`: so many times the least harm may stay unseen.
        """
        self._zones, self._false_alarm_probability, self._harm_factor = (
            zones,
            false_alarm_probability,
            harm_factor,
        )
        self._baseline: list[dict[str, tuple[float | None, ...]]] = []
        self._changed: frozenset[str] = frozenset()
        self._unchanged: frozenset[str] = frozenset()
        self._spreads: list[float] = []
        self._tests: list[_SequentialTest] = []
        self._differences: list[list[float]] = [[] for _ in METRICS]

    def add_interval(self, metrics: Mapping[str, HealthMetrics]) -> None:
        """One interval, of whoever was in service throughout it."""
        values = {name: measure(one) for name, one in metrics.items()}
        if not self._changed:
            self._baseline = [*self._baseline[1 - MAX_BASELINE_INTERVALS :], values]
            return
        for n, scale in enumerate(METRICS):
            found = self._difference(values, n)
            if found is not None:
                value, weight, far = found
                own = max(scale.min_spread, self._spreads[n]) * weight
                spread = max(own, self._tests[n].baseline_spread, scale.min_spread if far else 0.0)
                harms = [
                    scale.min_harm * self._harm_factor,
                    *(times * scale.min_harm for times in HARM_FACTORS),
                ]
                self._tests[n].add(value, spread, harms, MAX_CROSS_ZONE_DEVIATION if far else MAX_DEVIATION)
                self._differences[n].append(value)

    def begin_comparison(self, changed: Iterable[str], unchanged: Iterable[str]) -> None:
        """These run the new version from now on, and those that they are set beside do not."""
        self._changed, self._unchanged = frozenset(changed), frozenset(unchanged)
        self._spreads = [self._spread(n) for n in range(len(METRICS))]
        self._tests = [self._new_test(n) for n in range(len(METRICS))]

    def _new_test(self, n: int) -> _SequentialTest:
        """What is usual for these members, from before; else as far apart as any two are."""
        found = [one for one in (self._difference(values, n) for values in self._baseline) if one is not None]
        if len(found) < MIN_SPREAD_INTERVALS:
            return _SequentialTest(0.0, METRICS[n].prior_variance)
        mean = _mean([value for value, _, _ in found])
        spread = sqrt(sum((value - mean) ** 2 for value, _, _ in found) / (len(found) - 1))
        return _SequentialTest(mean, 1.0 / len(found), baseline_spread=spread)

    def _difference(
        self, values: Mapping[str, tuple[float | None, ...]], n: int
    ) -> tuple[float, float, bool] | None:
        """New less old, zone by zone, weighted by the new ones; its spread in units of one member's; whether
        zones had to be compared.
        """
        sums: list[tuple[int, float, float]] = []
        far = False
        for zone in {self._zones.get(name, "") for name in self._changed}:
            new = self._measures_of(values, self._changed, zone, n)
            near = self._measures_of(values, self._unchanged, zone, n)
            old = near or self._measures_of(values, self._unchanged, "", n)
            far = far or (bool(new) and not near)
            if new and old:
                apart = sum(new) / len(new) - sum(old) / len(old)
                sums.append((len(new), apart, 1.0 / len(new) + 1.0 / len(old)))
        many = sum(count for count, _, _ in sums)
        if not many:
            return None
        value = sum(count * apart for count, apart, _ in sums) / many
        return value, sqrt(sum((count / many) ** 2 * part for count, _, part in sums)), far

    def _measures_of(
        self, values: Mapping[str, tuple[float | None, ...]], names: Iterable[str], zone: str, n: int
    ) -> list[float]:
        found = []
        for name in names:
            value = values[name][n] if name in values else None
            if value is not None and zone in ("", self._zones.get(name, "")):
                found.append(value)
        return found

    def export_state(self) -> tuple[float, ...]:
        """All that a judge of the same wave needs to go on: what is usual, spreads, evidence."""
        found: list[float] = []
        for spread, test in zip(self._spreads, self._tests, strict=True):
            pulls, worse = (
                test.absorbed_harms or [0.0] * TESTED_HARM_COUNT,
                test.log_likelihood_ratios or [0.0] * TESTED_HARM_COUNT,
            )
            found += [
                spread,
                test.mean,
                test.variance,
                test.baseline_spread,
                float(test.count),
                *pulls,
                *worse,
            ]
        return tuple(round(one, 6) for one in found)

    def resume(self, changed: Iterable[str], unchanged: Iterable[str], state: Sequence[float]) -> None:
        """Go on from what another one kept; as `change` does where nothing was."""
        self.begin_comparison(changed, unchanged)
        size = 5 + 2 * TESTED_HARM_COUNT
        if len(state) != size * len(METRICS):
            return
        for n in range(len(METRICS)):
            spread, mean, variance, apart, seen, *rows = state[n * size : (n + 1) * size]
            self._spreads[n] = spread
            pulls, worse = list(rows[:TESTED_HARM_COUNT]), list(rows[TESTED_HARM_COUNT:])
            self._tests[n] = _SequentialTest(mean, variance, pulls, worse, apart, int(seen))

    def _spread(self, n: int) -> float:
        """Of one member from interval to interval, less what all of its zone felt."""
        squares, free = 0.0, 0
        for zone in set(self._zones.values()):
            rows = [self._row(values, zone, n) for values in self._baseline]
            names = {name for row in rows for name in row}
            usual = {name: _mean([row[name] for row in rows if name in row]) for name in names}
            for row in rows:
                felt = _mean([row[name] - usual[name] for name in row])
                squares += sum((row[name] - usual[name] - felt) ** 2 for name in row)
                free += len(row)
            free -= len(names) + len(rows)
        return sqrt(squares / free) if free >= MIN_SPREAD_INTERVALS else 2.0 * METRICS[n].min_spread

    def _row(self, values: Mapping[str, tuple[float | None, ...]], zone: str, n: int) -> dict[str, float]:
        row: dict[str, float] = {}
        for name, measures in values.items():
            value = measures[n]
            if value is not None and self._zones.get(name) == zone:
                row[name] = value
        return row if len(row) > 1 else {}

    def verdict(self) -> CanaryVerdict:
        """What the figures say so far."""
        changes, why = {}, ""
        bar = log(len(METRICS) / self._false_alarm_probability)
        enough = bool(self._tests)
        for scale, test, raw in zip(METRICS, self._tests, self._differences, strict=False):
            evidence = test.log_evidence()
            changes[scale.name] = _estimate_change(raw, test, evidence)
            if evidence >= bar:
                odds = f"evidence {min(exp(evidence), 1e9):.0f} to 1"
                why = why or f"{scale.name}: {_describe_change(scale, raw)}, {odds}"
            enough = enough and test.is_harm_ruled_out()
        verdict = (
            CanaryStatus.WORSE if why else CanaryStatus.NOT_WORSE if enough else CanaryStatus.INCONCLUSIVE
        )
        return CanaryVerdict(verdict, why, changes)


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _describe_change(metric: Metric, differences: Sequence[float]) -> str:
    late = _mean(differences[-5:])
    return f"{late:+.2f} on its scale" if metric.name == "requests lost" else f"{100 * (exp(late) - 1):+.0f}%"


def _estimate_change(
    differences: Sequence[float], test: _SequentialTest, evidence: float
) -> tuple[float, float, float]:
    """The middle of what changed, half of its interval of 95%, and the evidence for harm."""
    middle = _mean(differences)
    spread = (
        sqrt(sum((one - middle) ** 2 for one in differences) / max(1, len(differences) - 1))
        if len(differences) > 1
        else 0.0
    )
    return middle, 1.96 * spread / sqrt(max(1, len(differences))), evidence
