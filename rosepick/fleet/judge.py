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

CLIP = 2.0  # standard deviations: an interval counts for no more, so harm has to last for some of them ...
FAR_CLIP = 1.25  # ... and for more where zones are compared: one may feel for a while what the other does not
HARMS = (1.0, 2.0, 4.0, 8.0)  # times the least harm: the mixture
HARMS_TESTED = 1 + len(HARMS)  # and the one that is to be ruled out
KEPT = 40  # intervals before the change
UNSEEN = 0.05  # the chance that a harm which matters is ruled out, on one scale
FEW = 4  # intervals before a spread is believed as it is


class Verdict(Enum):
    """What the figures say."""

    FINE = "fine"
    WORSE = "worse"
    OPEN = "not enough yet"


@dataclass(frozen=True, slots=True)
class Figures:
    """Of one member and one interval. Counts; seconds of processor time; KiB; milliseconds."""

    served: float = 0.0
    lost: float = 0.0  # refused, failed, late
    cpu: float = 0.0
    memory: float = 0.0
    door: float = 0.0  # until its door answers
    missed: float = 0.0  # sends that ended as misses, for the origin to bear


def _lost(one: Figures) -> float | None:
    asked = one.served + one.lost
    # an arcsine root, whose spread hardly depends on the share (Anscombe 1948)
    return asin(sqrt((one.lost + 0.375) / (asked + 0.75))) if asked >= 5.0 else None


def _cpu(one: Figures) -> float | None:
    asked = one.served + one.lost
    return log(one.cpu / asked) if asked >= 5.0 and one.cpu > 0.0 else None


def _logarithm(value: float) -> float | None:
    return log(value) if value > 0.0 else None


@dataclass(frozen=True, slots=True)
class Scale:
    """How one figure is measured. `least`: the harm worth stopping for; `floor`: a spread is no smaller;
    `apart`: how far two members may be apart for good, in variances of an interval.
    """

    name: str
    least: float
    floor: float
    apart: float


SCALES = (
    Scale("requests lost", 0.1, 0.04, 0.25),  # on the arcsine's scale: from 0 to 1%, from 5 to 10%
    Scale("processor time a request", log(1.15), 0.04, 4.0),
    Scale("memory", log(1.25), 0.03, 16.0),
    Scale("time of the door", log(2.0), 0.25, 1.0),
)


def measured(one: Figures) -> tuple[float | None, ...]:
    """A member's interval on each scale; None where it says nothing."""
    return _lost(one), _cpu(one), _logarithm(one.memory), _logarithm(one.door)


@dataclass(slots=True)
class _Test:
    """One scale: the filter that predicts, and the evidence."""

    mean: float = 0.0
    variance: float = 1.0  # of the mean, in units of an interval's
    pulls: list[float] = field(
        default_factory=list
    )  # for each harm: what the filter has taken for usual of it
    worse: list[float] = field(default_factory=list)  # logarithms of likelihood ratios
    apart: float = 0.0  # of the differences before the change: zones that are compared feel what is theirs
    seen: int = 0

    def take(self, value: float, spread: float, harms: Sequence[float], clip: float) -> None:
        """One more difference. The first of the harms is the one that is to be ruled out, the others are the
        mixture.
        """
        scale = spread * sqrt(1.0 + self.variance)
        left = max(-clip, min(clip, (value - self.mean) / scale))
        gain = self.variance / (1.0 + self.variance)
        if not self.pulls:
            self.pulls, self.worse = [0.0] * len(harms), [0.0] * len(harms)
        for n, harm in enumerate(harms):
            meant = min(clip, (harm - self.pulls[n]) / scale)
            self.worse[n] += meant * left - meant * meant / 2.0
            self.pulls[n] += gain * (harm - self.pulls[n])
        self.mean += gain * (value - self.mean)
        self.variance -= gain * self.variance
        self.seen += 1

    def evidence(self) -> float:
        """The logarithm of the mixture's ratio."""
        mixture = self.worse[1:]
        if not mixture:
            return 0.0
        most = max(mixture)
        return most + log(sum(exp(one - most) for one in mixture) / len(mixture))

    def ruled_out(self) -> bool:
        """Whether the harm that would matter is not there: one in twenty at most is taken for so and is."""
        return bool(self.worse) and -self.worse[0] >= log(1.0 / UNSEEN)


@dataclass(frozen=True, slots=True)
class Opinion:
    """A verdict and its figures: by scale what changed, with an interval of 95%, and what speaks for harm (a
    ratio's logarithm).
    """

    verdict: Verdict
    why: str
    changes: Mapping[str, tuple[float, float, float]]


class Judge:
    """Of one wave. Figures come interval by interval; until `change` they are those from before."""

    def __init__(self, zones: Mapping[str, str], alarm: float = 0.01, relax: float = 1.0) -> None:
        """`zones` of all routers. `alarm`: the chance of a false one, over all scales of this wave.
        `relax`: so many times the least harm may stay unseen.
        """
        self._zones, self._alarm, self._relax = zones, alarm, relax
        self._before: list[dict[str, tuple[float | None, ...]]] = []
        self._new: frozenset[str] = frozenset()
        self._rest: frozenset[str] = frozenset()
        self._spreads: list[float] = []
        self._tests: list[_Test] = []
        self._raw: list[list[float]] = [[] for _ in SCALES]

    def take(self, figures: Mapping[str, Figures]) -> None:
        """One interval, of whoever was in service throughout it."""
        values = {name: measured(one) for name, one in figures.items()}
        if not self._new:
            self._before = [*self._before[1 - KEPT :], values]
            return
        for n, scale in enumerate(SCALES):
            found = self._difference(values, n)
            if found is not None:
                value, weight, far = found
                own = max(scale.floor, self._spreads[n]) * weight
                spread = max(own, self._tests[n].apart, scale.floor if far else 0.0)
                harms = [scale.least * self._relax, *(times * scale.least for times in HARMS)]
                self._tests[n].take(value, spread, harms, FAR_CLIP if far else CLIP)
                self._raw[n].append(value)

    def change(self, new: Iterable[str], rest: Iterable[str]) -> None:
        """These run the new version from now on, and those that they are set beside do not."""
        self._new, self._rest = frozenset(new), frozenset(rest)
        self._spreads = [self._spread(n) for n in range(len(SCALES))]
        self._tests = [self._begun(n) for n in range(len(SCALES))]

    def _begun(self, n: int) -> _Test:
        """What is usual for these members, from before; else as far apart as any two are."""
        found = [one for one in (self._difference(values, n) for values in self._before) if one is not None]
        if len(found) < FEW:
            return _Test(0.0, SCALES[n].apart)
        mean = _mean([value for value, _, _ in found])
        spread = sqrt(sum((value - mean) ** 2 for value, _, _ in found) / (len(found) - 1))
        return _Test(mean, 1.0 / len(found), apart=spread)

    def _difference(
        self, values: Mapping[str, tuple[float | None, ...]], n: int
    ) -> tuple[float, float, bool] | None:
        """New less old, zone by zone, weighted by the new ones; its spread in units of one member's; whether
        zones had to be compared.
        """
        sums: list[tuple[int, float, float]] = []
        far = False
        for zone in {self._zones.get(name, "") for name in self._new}:
            new = self._of(values, self._new, zone, n)
            near = self._of(values, self._rest, zone, n)
            old = near or self._of(values, self._rest, "", n)
            far = far or (bool(new) and not near)
            if new and old:
                apart = sum(new) / len(new) - sum(old) / len(old)
                sums.append((len(new), apart, 1.0 / len(new) + 1.0 / len(old)))
        many = sum(count for count, _, _ in sums)
        if not many:
            return None
        value = sum(count * apart for count, apart, _ in sums) / many
        return value, sqrt(sum((count / many) ** 2 * part for count, _, part in sums)), far

    def _of(
        self, values: Mapping[str, tuple[float | None, ...]], names: Iterable[str], zone: str, n: int
    ) -> list[float]:
        found = []
        for name in names:
            value = values[name][n] if name in values else None
            if value is not None and zone in ("", self._zones.get(name, "")):
                found.append(value)
        return found

    def kept(self) -> tuple[float, ...]:
        """All that a judge of the same wave needs to go on: what is usual, spreads, evidence."""
        found: list[float] = []
        for spread, test in zip(self._spreads, self._tests, strict=True):
            pulls, worse = test.pulls or [0.0] * HARMS_TESTED, test.worse or [0.0] * HARMS_TESTED
            found += [spread, test.mean, test.variance, test.apart, float(test.seen), *pulls, *worse]
        return tuple(round(one, 6) for one in found)

    def go_on(self, new: Iterable[str], rest: Iterable[str], kept: Sequence[float]) -> None:
        """Go on from what another one kept; as `change` does where nothing was."""
        self.change(new, rest)
        size = 5 + 2 * HARMS_TESTED
        if len(kept) != size * len(SCALES):
            return
        for n in range(len(SCALES)):
            spread, mean, variance, apart, seen, *rows = kept[n * size : (n + 1) * size]
            self._spreads[n] = spread
            pulls, worse = list(rows[:HARMS_TESTED]), list(rows[HARMS_TESTED:])
            self._tests[n] = _Test(mean, variance, pulls, worse, apart, int(seen))

    def _spread(self, n: int) -> float:
        """Of one member from interval to interval, less what all of its zone felt."""
        squares, free = 0.0, 0
        for zone in set(self._zones.values()):
            rows = [self._row(values, zone, n) for values in self._before]
            names = {name for row in rows for name in row}
            usual = {name: _mean([row[name] for row in rows if name in row]) for name in names}
            for row in rows:
                felt = _mean([row[name] - usual[name] for name in row])
                squares += sum((row[name] - usual[name] - felt) ** 2 for name in row)
                free += len(row)
            free -= len(names) + len(rows)
        return sqrt(squares / free) if free >= FEW else 2.0 * SCALES[n].floor

    def _row(self, values: Mapping[str, tuple[float | None, ...]], zone: str, n: int) -> dict[str, float]:
        row: dict[str, float] = {}
        for name, measures in values.items():
            value = measures[n]
            if value is not None and self._zones.get(name) == zone:
                row[name] = value
        return row if len(row) > 1 else {}

    def opinion(self) -> Opinion:
        """What the figures say so far."""
        changes, why = {}, ""
        bar = log(len(SCALES) / self._alarm)
        enough = bool(self._tests)
        for scale, test, raw in zip(SCALES, self._tests, self._raw, strict=False):
            evidence = test.evidence()
            changes[scale.name] = _change(raw, test, evidence)
            if evidence >= bar:
                why = why or f"{scale.name}: {_said(scale, raw)}, evidence {min(exp(evidence), 1e9):.0f} to 1"
            enough = enough and test.ruled_out()
        verdict = Verdict.WORSE if why else Verdict.FINE if enough else Verdict.OPEN
        return Opinion(verdict, why, changes)


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _said(scale: Scale, raw: Sequence[float]) -> str:
    late = _mean(raw[-5:])
    return f"{late:+.2f} on its scale" if scale.name == "requests lost" else f"{100 * (exp(late) - 1):+.0f}%"


def _change(raw: Sequence[float], test: _Test, evidence: float) -> tuple[float, float, float]:
    """The middle of what changed, half of its interval of 95%, and the evidence for harm."""
    middle = _mean(raw)
    spread = sqrt(sum((one - middle) ** 2 for one in raw) / max(1, len(raw) - 1)) if len(raw) > 1 else 0.0
    return middle, 1.96 * spread / sqrt(max(1, len(raw))), evidence
