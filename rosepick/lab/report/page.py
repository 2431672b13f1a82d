"""The page: what must be known first, then figures, verdicts, plots and broken rules; long lists bounded."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from importlib import resources
from statistics import fmean
from typing import Any

from jinja2 import Environment, StrictUndefined, Template
from markupsafe import Markup

from ..results import RequirementResult, RuleViolation, RunCost, RunResult
from .plots import MAX_FAULTS_MARKED, PANELS, Plots, RunTimeline, Style

MAX_GROUPS = 12  # of runs that are drawn together
MAX_RUNS_PER_GROUP = 8  # runs that are drawn together
MAX_LINES = 40  # in a plot of percentiles
MAX_ROWS = 200  # of a table
MAX_VIOLATIONS = 50
MAX_NAMED = 20  # in the head

FIGURE_COLUMNS = (
    ("served_share", "served %", "share"),
    ("worth_share", "worth %", "share"),
    ("late_share", "late %", "share"),
    ("refused_share", "refused %", "share"),
    ("failed_share", "failed %", "share"),
    ("p50_ms", "p50 ms", "ms"),
    ("p99_ms", "p99 ms", "ms"),
    ("p999_ms", "p99.9 ms", "ms"),
    ("attempts_per_request", "attempts", "number"),
    ("origin_share", "origin", "number"),
    ("crossings", "cross", "number"),
    ("fell", "fell", "number"),
    ("broken_rules", "broken", "number"),
)


@dataclass(frozen=True, slots=True)
class RunEntry:
    """A run as the page speaks of it."""

    run: RunResult
    case: str  # experiment and settings
    label: str  # policy, and what tells it from others
    name: str  # all of it on one line; without the case where there is only one
    style: Style
    cost: RunCost | None


def render(runs: list[RunResult], costs: list[RunCost], title: str) -> str:
    """One HTML page that needs nothing else; the same input gives the same bytes. The costs are told run by
    run if there are as many of them as runs, else together.
    """
    entries = _build_entries(runs, costs)
    worst_first = sorted(entries, key=lambda entry: entry.run.good())
    verdicts = [(entry, verdict) for entry in entries if not entry.run.void for verdict in entry.run.must]
    verdicts.sort(key=lambda pair: pair[1].held)
    broken = [(entry, rule) for entry in entries for rule in entry.run.broken]
    plots = Plots()
    groups, undrawn = _plot_groups(entries, plots)
    return _load_template().render(
        title=title,
        head=_head_rows(runs),
        alarm=_alarm_text(entries, verdicts, broken),
        figures=FIGURE_COLUMNS,
        cases=_unique_in_order(entry.case for entry in entries),
        means=_mean_rows(entries),
        rows=_limit_entries(worst_first, entries, MAX_ROWS),
        costs=_cost_rows(costs),
        count=len(entries),
        verdicts=verdicts[:MAX_ROWS],
        verdict_count=len(verdicts),
        broken=broken[:MAX_VIOLATIONS],
        broken_count=len(broken),
        percentiles=_plot_percentiles(entries, plots),
        groups=groups,
        undrawn=undrawn,
        styles={entry.label: entry.style for entry in entries},
    )


def _load_template() -> Template:
    page = Environment(autoescape=True, undefined=StrictUndefined, trim_blocks=True, lstrip_blocks=True)
    page.filters.update(share=_format_share, ms=_format_ms, number=_format_number, figure=_format_figure)
    return page.from_string(resources.files(__package__).joinpath("page.html.j2").read_text("utf-8"))


# ---------------------------------------------------------------------------------------- what runs there are


def _build_entries(runs: Sequence[RunResult], costs: Sequence[RunCost]) -> list[RunEntry]:
    """Runs with labels that tell those apart that else would have the same name."""
    revisions = len({run.revision for run in runs}) > 1
    hows = len({run.how for run in runs}) > 1
    cases = [_case_of(run) for run in runs]
    seen: Counter[tuple[str, str, int]] = Counter()
    styles: dict[str, Style] = {}
    entries = []
    for number, (run, case) in enumerate(zip(runs, cases, strict=True)):
        label = run.policy + f" {run.how}" * hows + f" at {run.revision}" * revisions
        seen[case, label, run.seed] += 1
        again = seen[case, label, run.seed]
        label += f" ({again})" if again > 1 else ""
        style = styles.setdefault(label, Style.for_index(len(styles)))
        cost = costs[number] if len(costs) == len(runs) else None
        name = f"{case}, " * (len(set(cases)) > 1) + f"{label}, seed {run.seed}"
        entries.append(RunEntry(run, case, label, name, style, cost))
    return entries


def _case_of(run: RunResult) -> str:
    """Experiment and settings."""
    return " ".join([run.experiment, *(f"{name}={value}" for name, value in run.changes.items())])


def _unique_in_order(values: Iterable[Any]) -> list[Any]:
    return list(dict.fromkeys(values))


def _limit_entries(
    worst_first: Sequence[RunEntry], entries: Sequence[RunEntry], max_entries: int
) -> list[RunEntry]:
    """As many as may be shown, in order; those that are not good before others."""
    kept = {id(entry) for entry in worst_first[:max_entries]}
    return [entry for entry in entries if id(entry) in kept]


def _head_rows(runs: Sequence[RunResult]) -> list[tuple[str, str, bool]]:
    """What is told of all runs: a name, a text, and whether it is a warning."""
    revisions = _unique_in_order(run.revision for run in runs)
    versions = _unique_in_order(" ".join(map(" ".join, run.versions.items())) for run in runs)
    told = [
        ("experiments", _format_list(run.experiment for run in runs), False),
        ("policies", _format_list(run.policy for run in runs), False),
        ("seeds", _format_list(sorted({run.seed for run in runs})), False),
        ("played", _format_list(run.how for run in runs), False),
        ("revision", _format_list(name or "not known" for name in revisions), len(revisions) > 1),
        ("versions", "; ".join(versions), len(versions) > 1),
    ]
    if any(name.endswith("+") for name in revisions):
        told.append(("sources", "were changed after the revision that ends with +", True))
    return told


def _format_list(values: Iterable[Any]) -> str:
    """On one line, bounded."""
    texts = [str(value) for value in _unique_in_order(values)]
    more = len(texts) - MAX_NAMED
    return ", ".join(texts[:MAX_NAMED]) + (f" and {more} more" if more > 0 else "")


def _alarm_text(
    entries: Sequence[RunEntry],
    verdicts: Sequence[tuple[RunEntry, RequirementResult]],
    broken: Sequence[tuple[RunEntry, RuleViolation]],
) -> dict[str, Any]:
    """What comes first and loudly."""
    void = [entry for entry in entries if entry.run.void]
    rules = Counter(f"{rule.rule}: {entry.name}" for entry, rule in broken)
    return {
        "void": void[:MAX_NAMED],
        "void_more": max(0, len(void) - MAX_NAMED),
        "broken": rules.most_common(MAX_NAMED),
        "broken_more": max(0, len(rules) - MAX_NAMED),
        "broken_count": len(broken),
        "void_count": len(void),
        "not_held": sum(not verdict.held for _, verdict in verdicts),
    }


def _mean_rows(entries: Sequence[RunEntry]) -> list[tuple[str, str, int, dict[str, float]]]:
    """Of the runs that count, where there are several of a kind: case, label, how many, means by figure."""
    kinds: dict[tuple[str, str], list[RunResult]] = {}
    for entry in entries:
        if not entry.run.void:
            kinds.setdefault((entry.case, entry.label), []).append(entry.run)
    if all(len(runs) < 2 for runs in kinds.values()):
        return []
    names = [name for name, *_ in FIGURE_COLUMNS]
    return [
        (*kind, len(runs), {name: fmean(run.totals.get(name, 0.0) for run in runs) for name in names})
        for kind, runs in list(kinds.items())[:MAX_ROWS]
    ]


def _cost_rows(costs: Sequence[RunCost]) -> str:
    if not costs:
        return ""
    cpu, requests = sum(cost.cpu_s for cost in costs), sum(cost.requests for cost in costs)
    most = max(cost.memory_mb for cost in costs)
    return f"{requests:,} requests in {cpu:,.1f} s of CPU time; at most {most:,.0f} MB of memory."


# ---------------------------------------------------------------------------------------------- what is drawn


def _plot_percentiles(entries: Sequence[RunEntry], plots: Plots) -> list[dict[str, Any]]:
    """A plot a case, of all its runs that count."""
    made = []
    for case in _unique_in_order(entry.case for entry in entries)[:MAX_GROUPS]:
        counted = [entry for entry in entries if entry.case == case and not entry.run.void]
        drawn = counted[:MAX_LINES]
        svg = plots.percentiles([(entry.style, entry.run.percentiles) for entry in drawn])
        if svg:
            made.append(
                {
                    "case": case,
                    "svg": Markup(svg),
                    "labels": _unique_in_order(entry.label for entry in drawn),
                    "more": len(counted) - len(drawn),
                }
            )
    return made


def _plot_groups(entries: Sequence[RunEntry], plots: Plots) -> tuple[list[dict[str, Any]], int]:
    """Runs of the same experiment, settings and seed, drawn together; and how many such groups are not drawn.
    Those with a run that is not good go before others, all in order.
    """
    kinds: dict[tuple[str, int], list[RunEntry]] = {}
    for entry in entries:
        kinds.setdefault((entry.case, entry.run.seed), []).append(entry)
    worst = sorted(kinds, key=lambda kind: all(entry.run.good() for entry in kinds[kind]))[:MAX_GROUPS]
    made = [
        _plot_group(kinds[kind][:MAX_RUNS_PER_GROUP], len(kinds[kind]), plots)
        for kind in kinds
        if kind in worst
    ]
    return made, len(kinds) - len(made)


def _plot_group(entries: Sequence[RunEntry], count: int, plots: Plots) -> dict[str, Any]:
    """What the template needs of one group."""
    runs = [entry.run for entry in entries]
    # they are the same for all, except where a run was cut short
    troubles = _unique_in_order(trouble for run in runs for trouble in run.troubles)
    time = RunTimeline(max(run.length for run in runs), max(run.warm_up for run in runs), troubles)
    lines = [(entry.style, entry.run.windows) for entry in entries]
    made = [(panel, plots.over_time(panel, lines, time)) for panel in PANELS]
    figures = [(panel.title, Markup(svg), panel.wide) for panel, svg in made if svg]
    most = max((window.offered for run in runs for window in run.windows), default=0)
    for entry in entries:
        if svg := plots.outcomes(entry.run.windows, time, float(most)):
            figures.append((f"How requests ended, a second: {entry.label}", Markup(svg), False))
    return {
        "case": entries[0].case,
        "seed": runs[0].seed,
        "entries": entries,
        "more": count - len(entries),
        "figures": figures,
        "empty": [panel.title for panel, svg in made if not svg],
        "troubles": troubles[:MAX_FAULTS_MARKED],
        "troubles_more": max(0, len(troubles) - MAX_FAULTS_MARKED),
    }


# ---------------------------------------------------------------------------------------------- how it is put


def _format_figure(values: dict[str, float], name: str, kind: str) -> str:
    """One of `FIGURES`."""
    if name not in values:
        return "–"
    return {"share": _format_share, "ms": _format_ms, "number": _format_number}[kind](values[name])


def _format_share(value: float) -> str:
    return f"{100 * value:.2f}"


def _format_ms(value: float) -> str:
    return f"{value:,.1f}"


def _format_number(value: float) -> str:
    return f"{value:,.4g}"
