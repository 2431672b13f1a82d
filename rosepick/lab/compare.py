"""Compares runs in pairs: the same experiment and seed, with one setting changed."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from statistics import fmean, stdev
from typing import Any

from rich.box import SIMPLE_HEAD
from rich.table import Table
from rich.text import Text

from .results import RunResult

MORE_IS_BETTER = {
    "served_share": True,
    "worth_share": True,
    "p99_ms": False,
    "origin_share": False,
    "attempts_per_request": False,
    "crossings": False,
    "broken_rules": False,
    "fell": False,
}
# 97.5 % quantiles of Student's t, for 1 to 30 degrees of freedom
STUDENT_QUANTILES = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
    2.080,
    2.074,
    2.069,
    2.064,
    2.060,
    2.056,
    2.052,
    2.048,
    2.045,
    2.042,
)
# 97.5 % quantiles beyond 30 degrees of freedom, each with the least degrees of freedom it is used for
STUDENT_QUANTILES_LARGE = ((120, 1.980), (60, 2.000), (40, 2.021), (30, 2.042))
COLOURS = {"better": "green", "worse": "bold red", "same": "", "unknown": "yellow"}


@dataclass(frozen=True, slots=True)
class FigureDifference:
    """The difference of a figure to the first arm, over pairs; unknown values are None."""

    mean: float | None
    error: float | None  # standard error of the mean
    interval: tuple[float, float] | None  # 95 %
    word: str  # better, worse, same (the interval includes 0) or unknown


@dataclass(frozen=True, slots=True)
class FigureComparison:
    """The comparison of one figure over all arms."""

    name: str
    more_is_better: bool
    pairs: int  # seeds for which every arm has the figure; all values are over these seeds
    means: dict[str, float | None]  # by arm
    differences: dict[str, FigureDifference]  # by arm, except the first


@dataclass(frozen=True, slots=True)
class Comparison:
    """A comparison of arms, which differ in one setting."""

    of: str  # the experiment and the settings that all arms share
    by: str
    arms: tuple[str, ...]
    seeds: tuple[int, ...]
    figures: tuple[FigureComparison, ...]
    left_out: tuple[str, ...]  # for each run that is not counted, a line with the reason

    def as_dict(self) -> dict[str, Any]:
        """Return plain values, for JSON."""
        return asdict(self)


def compare_runs(runs: Iterable[RunResult], by: str = "policy") -> list[Comparison]:
    """Return a comparison for each set of runs that differ only in `by` and the seed.

    `by` is `policy`, `revision`, `how` or the dotted name of a setting. The arm of the first run is the first
    arm.

    Intervals use Student's t and not the bootstrap, because a sweep has few seeds: resampling three or five
    differences gives intervals that are far too narrow, whereas t allows for small samples. It also needs no
    random numbers, so the figures depend on the runs alone. Beyond 30 degrees of freedom the next lower row
    of the table is used, which gives a slightly wider interval.
    """
    groups: dict[str, list[RunResult]] = {}
    for run in runs:
        groups.setdefault(_comparison_title(run, by), []).append(run)
    return [_compare_arms(title, by, group) for title, group in groups.items()]


def _comparison_title(run: RunResult, by: str) -> str:
    """Return the experiment and settings that all runs of a comparison share, except the seed."""
    shared = {"policy": run.policy, "how": run.how, "revision": run.revision, **run.changes}
    return " ".join([run.experiment, *(f"{name}={value}" for name, value in shared.items() if name != by)])


def _arm_name(run: RunResult, by: str) -> str:
    if by in ("policy", "how", "revision"):
        return str(getattr(run, by))
    return f"{by}={run.changes[by]}" if by in run.changes else f"{by} as in the file"


def _compare_arms(title: str, by: str, runs: Sequence[RunResult]) -> Comparison:
    arms, left_out = _group_by_arm(runs, by)
    seeds = sorted(set.intersection(*map(set, arms.values()))) if arms else []
    for arm, by_seed in arms.items():
        left_out += [f"{arm}, seed {seed}: has no partner" for seed in sorted(set(by_seed) - set(seeds))]
    paired = {arm: [by_seed[seed] for seed in seeds] for arm, by_seed in arms.items()}
    figures = tuple(_compare_figure(name, paired) for name in MORE_IS_BETTER)
    return Comparison(title, by, tuple(paired), tuple(seeds), figures, tuple(left_out))


def _group_by_arm(runs: Sequence[RunResult], by: str) -> tuple[dict[str, dict[int, RunResult]], list[str]]:
    """Return the counted runs by arm and seed, and a line for each run that is left out."""
    arms: dict[str, dict[int, RunResult]] = {_arm_name(run, by): {} for run in runs}
    left_out: list[str] = []
    for run in runs:
        arm = _arm_name(run, by)
        if run.void:
            left_out.append(f"{arm}, seed {run.seed}: void: {run.void}")
        elif run.seed in arms[arm]:
            left_out.append(f"{arm}, seed {run.seed}: comes twice")
        else:
            arms[arm][run.seed] = run
    left_out += [f"{arm}: no run that counts" for arm, by_seed in arms.items() if not by_seed]
    return {arm: by_seed for arm, by_seed in arms.items() if by_seed}, left_out


def _compare_figure(name: str, paired: dict[str, list[RunResult]]) -> FigureComparison:
    rows = zip(*([_figure_value(run, name) for run in runs] for runs in paired.values()), strict=True)
    complete = [row for row in rows if None not in row]
    columns = dict(zip(paired, zip(*complete, strict=True), strict=True)) if complete else {}
    first, *others = paired or [""]
    more_is_better = MORE_IS_BETTER[name]
    return FigureComparison(
        name,
        more_is_better,
        len(complete),
        {arm: fmean(columns[arm]) if columns else None for arm in paired},
        {
            arm: _paired_difference(columns.get(first, ()), columns.get(arm, ()), more_is_better)
            for arm in others
        },
    )


def _figure_value(run: RunResult, name: str) -> float | None:
    # without served requests the latency is 0, which would rank best
    if name == "p99_ms" and not run.totals.get("served_share", 0) + run.totals.get("late_share", 0):
        return None
    return run.totals.get(name)


def _paired_difference(
    first: Sequence[float], other: Sequence[float], more_is_better: bool
) -> FigureDifference:
    differences = [value - baseline for baseline, value in zip(first, other, strict=True)]
    if not differences:
        return FigureDifference(None, None, None, "unknown")
    mean = fmean(differences)
    if len(differences) == 1:
        return FigureDifference(mean, None, None, "unknown")
    error = stdev(differences) / math.sqrt(len(differences))
    half_width = _student_quantile(len(differences) - 1) * error
    low = mean - half_width
    high = mean + half_width
    word = "same" if low <= 0 <= high else "better" if (mean > 0) == more_is_better else "worse"
    return FigureDifference(mean, error, (low, high), word)


def _student_quantile(degrees_of_freedom: int) -> float:
    """Return the quantile for a two-sided 95 % interval."""
    if degrees_of_freedom <= len(STUDENT_QUANTILES):
        return STUDENT_QUANTILES[degrees_of_freedom - 1]
    return next(quantile for least, quantile in STUDENT_QUANTILES_LARGE if degrees_of_freedom >= least)


# ------------------------------------------------------------------------------------------------------ table


def comparison_table(comparison: Comparison) -> Table:
    """Return a table for a terminal; runs that are not counted are listed below it."""
    notes = [f"paired over {len(comparison.seeds)} seeds; 95 % interval by Student's t"]
    notes += [
        f"{figure.name}: over {figure.pairs} pairs only"
        for figure in comparison.figures
        if figure.pairs < len(comparison.seeds)
    ]
    notes += [f"left out: {line}" for line in comparison.left_out]
    # Text prevents that names are parsed as markup
    table = Table(
        title=Text(comparison.of),
        title_justify="left",
        caption=Text("\n".join(notes)),
        caption_justify="left",
        box=SIMPLE_HEAD,
        show_edge=False,
        pad_edge=False,
        padding=(0, 1, 0, 0),
    )
    table.add_column(Text(comparison.by), overflow="fold")
    for head in ("mean", "diff.", "± s.e.", "95 % interval"):
        table.add_column(head, justify="right", no_wrap=True)
    table.add_column("is", no_wrap=True)
    for figure in comparison.figures:
        table.add_row(Text(figure.name, style="bold"))
        for arm in comparison.arms:
            table.add_row(*_format_cells(figure, arm))
    return table


def _format_cells(figure: FigureComparison, arm: str) -> list[Text]:
    """Return the cells of an arm's row; the row of the first arm has only the mean."""
    row = [Text(f"  {arm}"), Text(_format_number(figure.means[arm], ".4g"))]
    difference = figure.differences.get(arm)
    if difference is None:
        return row
    low, high = difference.interval or (None, None)
    interval = "unknown" if low is None else f"{_format_number(low)} to {_format_number(high)}"
    row += [
        Text(_format_number(difference.mean)),
        Text(_format_number(difference.error, ".2g")),
        Text(interval),
    ]
    return [*row, Text(difference.word, style=COLOURS[difference.word])]


def _format_number(value: float | None, format_spec: str = "+.3g") -> str:
    return "unknown" if value is None else f"{value:{format_spec}}"
