"""Runs compared in pairs: the same experiment and the same seed, played with one thing changed."""

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
# Student's t of 97.5 % for 1 to 30 degrees of freedom, and from a number of them on
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
STUDENT_QUANTILES_LARGE = ((120, 1.980), (60, 2.000), (40, 2.021), (30, 2.042))
COLOURS = {"better": "green", "worse": "bold red", "same": "", "unknown": "yellow"}


@dataclass(frozen=True, slots=True)
class FigureDifference:
    """Of a figure, to the first arm, over pairs. None is what is not known."""

    mean: float | None
    error: float | None  # standard error of the mean
    interval: tuple[float, float] | None  # 95 %
    word: str  # better, worse, same (the interval includes 0) or unknown


@dataclass(frozen=True, slots=True)
class FigureComparison:
    """One figure of all arms."""

    name: str
    more_is_better: bool
    pairs: int  # seeds at which every arm has it; all that stands here is over these
    means: dict[str, float | None]  # by arm
    differences: dict[str, FigureDifference]  # by arm, without the first


@dataclass(frozen=True, slots=True)
class Comparison:
    """Arms that differ in one thing."""

    of: str  # experiment, and what else was set
    by: str
    arms: tuple[str, ...]
    seeds: tuple[int, ...]
    figures: tuple[FigureComparison, ...]
    left_out: tuple[str, ...]  # a line for each run that counts for nothing here, with why

    def as_dict(self) -> dict[str, Any]:
        """In plain values, for JSON."""
        return asdict(self)


def compare_runs(runs: Iterable[RunResult], by: str = "policy") -> list[Comparison]:
    """Arms by `policy`, `revision`, `how` or the dotted name of a setting; one comparison for each set of
    runs that are alike in all else but the seed. The first arm is that of the first run.

    The interval is by Student's t, not by bootstrap: a sweep has a handful of seeds, and resampling three or
    five differences gives intervals that are far too narrow, while t allows for so few. It also needs no
    generator, so the figures follow from the runs alone. Beyond 30 degrees of freedom the table's next lower
    row is taken, which errs towards wide.
    """
    alike: dict[str, list[RunResult]] = {}
    for run in runs:
        alike.setdefault(_comparison_title(run, by), []).append(run)
    return [_compare_arms(title, by, group) for title, group in alike.items()]


def _comparison_title(run: RunResult, by: str) -> str:
    """All that a run's partners have too, but the seed."""
    fixed = {"policy": run.policy, "how": run.how, "revision": run.revision, **run.changes}
    return " ".join([run.experiment, *(f"{name}={value}" for name, value in fixed.items() if name != by)])


def _arm_of(run: RunResult, by: str) -> str:
    if by in ("policy", "how", "revision"):
        return str(getattr(run, by))
    return f"{by}={run.changes[by]}" if by in run.changes else f"{by} as in the file"


def _compare_arms(title: str, by: str, runs: Sequence[RunResult]) -> Comparison:
    arms: dict[str, dict[int, RunResult]] = {_arm_of(run, by): {} for run in runs}
    left_out: list[str] = []
    for run in runs:
        arm = _arm_of(run, by)
        if run.void:
            left_out.append(f"{arm}, seed {run.seed}: void: {run.void}")
        elif run.seed in arms[arm]:
            left_out.append(f"{arm}, seed {run.seed}: comes twice")
        else:
            arms[arm][run.seed] = run
    left_out += [f"{arm}: no run that counts" for arm, held in arms.items() if not held]
    counted = {arm: held for arm, held in arms.items() if held}
    seeds = sorted(set.intersection(*map(set, counted.values()))) if counted else []
    for arm, held in counted.items():
        left_out += [f"{arm}, seed {seed}: has no partner" for seed in sorted(set(held) - set(seeds))]
    paired = {arm: [held[seed] for seed in seeds] for arm, held in counted.items()}
    figures = tuple(_compare_figure(name, paired) for name in MORE_IS_BETTER)
    return Comparison(title, by, tuple(paired), tuple(seeds), figures, tuple(left_out))


def _compare_figure(name: str, paired: dict[str, list[RunResult]]) -> FigureComparison:
    rows = zip(*([_figure_value(run, name) for run in runs] for runs in paired.values()), strict=True)
    whole = [row for row in rows if None not in row]
    columns = dict(zip(paired, zip(*whole, strict=True), strict=True)) if whole else {}
    first, *others = paired or [""]
    more = MORE_IS_BETTER[name]
    return FigureComparison(
        name,
        more,
        len(whole),
        {arm: fmean(columns[arm]) if columns else None for arm in paired},
        {arm: _paired_difference(columns.get(first, ()), columns.get(arm, ()), more) for arm in others},
    )


def _figure_value(run: RunResult, name: str) -> float | None:
    # a latency of 0 where nothing was served would be the best of all
    if name == "p99_ms" and not run.totals.get("served_share", 0) + run.totals.get("late_share", 0):
        return None
    return run.totals.get(name)


def _paired_difference(
    first: Sequence[float], other: Sequence[float], more_is_better: bool
) -> FigureDifference:
    steps = [there - here for here, there in zip(first, other, strict=True)]
    if not steps:
        return FigureDifference(None, None, None, "unknown")
    mean = fmean(steps)
    if len(steps) == 1:
        return FigureDifference(mean, None, None, "unknown")
    error = stdev(steps) / math.sqrt(len(steps))
    reach = _student_quantile(len(steps) - 1) * error
    low, high = mean - reach, mean + reach
    word = "same" if low <= 0 <= high else "better" if (mean > 0) == more_is_better else "worse"
    return FigureDifference(mean, error, (low, high), word)


def _student_quantile(freedom: int) -> float:
    """For 95 % on both sides together."""
    if freedom <= len(STUDENT_QUANTILES):
        return STUDENT_QUANTILES[freedom - 1]
    return next(t for least, t in STUDENT_QUANTILES_LARGE if freedom >= least)


# ------------------------------------------------------------------------------------------------ as a table


def comparison_table(comparison: Comparison) -> Table:
    """For a terminal, with what is left out below it."""
    notes = [f"paired over {len(comparison.seeds)} seeds; 95 % interval by Student's t"]
    notes += [
        f"{figure.name}: over {figure.pairs} pairs only"
        for figure in comparison.figures
        if figure.pairs < len(comparison.seeds)
    ]
    notes += [f"left out: {line}" for line in comparison.left_out]
    # names are no markup
    title, caption = Text(comparison.of), Text("\n".join(notes))
    made = Table(
        title=title,
        title_justify="left",
        caption=caption,
        caption_justify="left",
        box=SIMPLE_HEAD,
        show_edge=False,
        pad_edge=False,
        padding=(0, 1, 0, 0),
    )
    made.add_column(Text(comparison.by), overflow="fold")
    for head in ("mean", "diff.", "± s.e.", "95 % interval"):
        made.add_column(head, justify="right", no_wrap=True)
    made.add_column("is", no_wrap=True)
    for figure in comparison.figures:
        made.add_row(Text(figure.name, style="bold"))
        for arm in comparison.arms:
            made.add_row(*_format_cells(figure, arm))
    return made


def _format_cells(figure: FigureComparison, arm: str) -> list[Text]:
    """A row: of the first arm its mean only."""
    row = [Text(f"  {arm}"), Text(_format_number(figure.means[arm], ".4g"))]
    held = figure.differences.get(arm)
    if held is None:
        return row
    low, high = held.interval or (None, None)
    interval = "unknown" if low is None else f"{_format_number(low)} to {_format_number(high)}"
    row += [Text(_format_number(held.mean)), Text(_format_number(held.error, ".2g")), Text(interval)]
    return [*row, Text(held.word, style=COLOURS[held.word])]


def _format_number(value: float | None, how: str = "+.3g") -> str:
    return "unknown" if value is None else f"{value:{how}}"
