"""Renders the page: alarms, figures, requirements, plots and broken rules. Long lists are truncated."""

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

MAX_GROUPS = 12  # plotted groups of runs
MAX_RUNS_PER_GROUP = 8  # plotted runs of a group
MAX_LINES = 40  # lines in a plot of percentiles
MAX_ROWS = 200  # rows of a table
MAX_VIOLATIONS = 50
MAX_NAMED = 20  # names in a list at the top of the page
UNKNOWN_FIGURE = "\N{EN DASH}"

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
    """A run with its labels and style on the page."""

    run: RunResult
    case: str  # experiment and changed settings
    label: str  # policy, with what distinguishes the run from others of the policy
    name: str  # label and seed, with the case in front if there are several
    style: Style
    cost: RunCost | None


def render(runs: list[RunResult], costs: list[RunCost], title: str) -> str:
    """Return a self-contained HTML page; the same input gives the same bytes.

    Costs are shown for each run if there is one for each run, else only their sums.
    """
    entries = _build_entries(runs, costs)
    worst_first = sorted(entries, key=lambda entry: entry.run.has_passed())
    verdicts = [(entry, verdict) for entry in entries if not entry.run.void for verdict in entry.run.must]
    verdicts.sort(key=lambda pair: pair[1].held)
    broken = [(entry, violation) for entry in entries for violation in entry.run.broken]
    plots = Plots()
    groups, undrawn_count = _plot_groups(entries, plots)
    return _load_template().render(
        title=title,
        head=_head_rows(runs),
        alarm=_alarm_values(entries, verdicts, broken),
        figures=FIGURE_COLUMNS,
        cases=_unique_in_order(entry.case for entry in entries),
        means=_mean_rows(entries),
        rows=_limit_entries(worst_first, entries, MAX_ROWS),
        costs=_format_costs(costs),
        count=len(entries),
        verdicts=verdicts[:MAX_ROWS],
        verdict_count=len(verdicts),
        broken=broken[:MAX_VIOLATIONS],
        broken_count=len(broken),
        percentiles=_plot_percentiles(entries, plots),
        groups=groups,
        undrawn=undrawn_count,
        styles={entry.label: entry.style for entry in entries},
    )


def _load_template() -> Template:
    environment = Environment(
        autoescape=True, undefined=StrictUndefined, trim_blocks=True, lstrip_blocks=True
    )
    environment.filters.update(
        share=_format_share, ms=_format_ms, number=_format_number, figure=_format_figure
    )
    template = resources.files(__package__).joinpath("page.html.j2").read_text("utf-8")
    return environment.from_string(template)


# ---------------------------------------------------------------------------------------- runs


def _build_entries(runs: Sequence[RunResult], costs: Sequence[RunCost]) -> list[RunEntry]:
    """Return the runs with labels that distinguish runs of the same policy."""
    shows_revision = len({run.revision for run in runs}) > 1
    shows_mode = len({run.how for run in runs}) > 1
    cases = [_case_of(run) for run in runs]
    has_several_cases = len(set(cases)) > 1
    seen: Counter[tuple[str, str, int]] = Counter()
    styles: dict[str, Style] = {}
    entries: list[RunEntry] = []
    for index, (run, case) in enumerate(zip(runs, cases, strict=True)):
        label = run.policy
        if shows_mode:
            label += f" {run.how}"
        if shows_revision:
            label += f" at {run.revision}"
        seen[case, label, run.seed] += 1
        occurrence = seen[case, label, run.seed]
        if occurrence > 1:
            label += f" ({occurrence})"
        style = styles.setdefault(label, Style.for_index(len(styles)))
        cost = costs[index] if len(costs) == len(runs) else None
        name = f"{label}, seed {run.seed}"
        if has_several_cases:
            name = f"{case}, {name}"
        entries.append(RunEntry(run, case, label, name, style, cost))
    return entries


def _case_of(run: RunResult) -> str:
    """Return the experiment and the changed settings of a run."""
    return " ".join([run.experiment, *(f"{name}={value}" for name, value in run.changes.items())])


def _unique_in_order(values: Iterable[Any]) -> list[Any]:
    return list(dict.fromkeys(values))


def _limit_entries(
    worst_first: Sequence[RunEntry], entries: Sequence[RunEntry], max_entries: int
) -> list[RunEntry]:
    """Return at most `max_entries` entries in their order; the first ones of `worst_first` are preferred."""
    shown = {id(entry) for entry in worst_first[:max_entries]}
    return [entry for entry in entries if id(entry) in shown]


def _head_rows(runs: Sequence[RunResult]) -> list[tuple[str, str, bool]]:
    """Return rows that describe all runs: a name, a text, and whether the text is a warning."""
    revisions = _unique_in_order(run.revision for run in runs)
    versions = _unique_in_order(" ".join(map(" ".join, run.versions.items())) for run in runs)
    rows = [
        ("experiments", _format_list(run.experiment for run in runs), False),
        ("policies", _format_list(run.policy for run in runs), False),
        ("seeds", _format_list(sorted({run.seed for run in runs})), False),
        ("played", _format_list(run.how for run in runs), False),
        ("revision", _format_list(name or "not known" for name in revisions), len(revisions) > 1),
        ("versions", "; ".join(versions), len(versions) > 1),
    ]
    if any(name.endswith("+") for name in revisions):
        rows.append(("sources", "modified since the revision that ends with +", True))
    return rows


def _format_list(values: Iterable[Any]) -> str:
    """Return the distinct values on one line, at most `MAX_NAMED` of them."""
    texts = [str(value) for value in _unique_in_order(values)]
    hidden = len(texts) - MAX_NAMED
    return ", ".join(texts[:MAX_NAMED]) + (f" and {hidden} more" if hidden > 0 else "")


def _alarm_values(
    entries: Sequence[RunEntry],
    verdicts: Sequence[tuple[RunEntry, RequirementResult]],
    broken: Sequence[tuple[RunEntry, RuleViolation]],
) -> dict[str, Any]:
    """Return the template values for the alarm: void runs, broken rules and missed requirements."""
    void = [entry for entry in entries if entry.run.void]
    rules = Counter(f"{violation.rule}: {entry.name}" for entry, violation in broken)
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
    """Return case, label, count and mean figures of the valid runs; empty if no two share case and label."""
    runs_by_kind: dict[tuple[str, str], list[RunResult]] = {}
    for entry in entries:
        if not entry.run.void:
            runs_by_kind.setdefault((entry.case, entry.label), []).append(entry.run)
    if all(len(runs) < 2 for runs in runs_by_kind.values()):
        return []
    names = [name for name, *_ in FIGURE_COLUMNS]
    return [
        (*kind, len(runs), {name: fmean(run.totals.get(name, 0.0) for run in runs) for name in names})
        for kind, runs in list(runs_by_kind.items())[:MAX_ROWS]
    ]


def _format_costs(costs: Sequence[RunCost]) -> str:
    if not costs:
        return ""
    cpu_s = sum(cost.cpu_s for cost in costs)
    requests = sum(cost.requests for cost in costs)
    max_memory_mb = max(cost.memory_mb for cost in costs)
    return f"{requests:,} requests in {cpu_s:,.1f} s of CPU time; at most {max_memory_mb:,.0f} MB of memory."


# ---------------------------------------------------------------------------------------------- plots


def _plot_percentiles(entries: Sequence[RunEntry], plots: Plots) -> list[dict[str, Any]]:
    """Return the template values of a plot of percentiles for each case."""
    plotted: list[dict[str, Any]] = []
    for case in _unique_in_order(entry.case for entry in entries)[:MAX_GROUPS]:
        counted = [entry for entry in entries if entry.case == case and not entry.run.void]
        shown = counted[:MAX_LINES]
        svg = plots.percentiles([(entry.style, entry.run.percentiles) for entry in shown])
        if svg:
            plotted.append(
                {
                    "case": case,
                    "svg": Markup(svg),
                    "labels": _unique_in_order(entry.label for entry in shown),
                    "more": len(counted) - len(shown),
                }
            )
    return plotted


def _plot_groups(entries: Sequence[RunEntry], plots: Plots) -> tuple[list[dict[str, Any]], int]:
    """Plot runs of the same experiment, settings and seed together.

    Returns:
        The template values of each plotted group, in order, and the number of groups that are not plotted.
        Groups with a run that is not good are preferred.
    """
    entries_by_kind: dict[tuple[str, int], list[RunEntry]] = {}
    for entry in entries:
        entries_by_kind.setdefault((entry.case, entry.run.seed), []).append(entry)
    worst_first = sorted(
        entries_by_kind, key=lambda kind: all(entry.run.has_passed() for entry in entries_by_kind[kind])
    )
    shown_kinds = worst_first[:MAX_GROUPS]
    groups = [
        _plot_group(group[:MAX_RUNS_PER_GROUP], len(group), plots)
        for kind, group in entries_by_kind.items()
        if kind in shown_kinds
    ]
    return groups, len(entries_by_kind) - len(groups)


def _plot_group(entries: Sequence[RunEntry], count: int, plots: Plots) -> dict[str, Any]:
    """Return the template values of a group; `count` includes the runs that are not plotted."""
    runs = [entry.run for entry in entries]
    # all runs have the same faults, except for a run that ended early
    faults = _unique_in_order(fault for run in runs for fault in run.troubles)
    timeline = RunTimeline(max(run.length for run in runs), max(run.warm_up for run in runs), faults)
    lines = [(entry.style, entry.run.windows) for entry in entries]
    panels = [(panel, plots.over_time(panel, lines, timeline)) for panel in PANELS]
    figures = [(panel.title, Markup(svg), panel.wide) for panel, svg in panels if svg]
    max_offered = max((window.offered for run in runs for window in run.windows), default=0)
    outcome_plots = [
        (entry, plots.outcomes(entry.run.windows, timeline, float(max_offered))) for entry in entries
    ]
    figures += [
        (f"Outcomes of requests per second: {entry.label}", Markup(svg), False)
        for entry, svg in outcome_plots
        if svg
    ]
    return {
        "case": entries[0].case,
        "seed": runs[0].seed,
        "entries": entries,
        "more": count - len(entries),
        "figures": figures,
        "empty": [panel.title for panel, svg in panels if not svg],
        "troubles": faults[:MAX_FAULTS_MARKED],
        "troubles_more": max(0, len(faults) - MAX_FAULTS_MARKED),
    }


# ---------------------------------------------------------------------------------------------- formats


def _format_figure(values: dict[str, float], name: str, kind: str) -> str:
    """Return the formatted figure `name`; `kind` is that of `FIGURE_COLUMNS`: share, ms or number."""
    if name not in values:
        return UNKNOWN_FIGURE
    return {"share": _format_share, "ms": _format_ms, "number": _format_number}[kind](values[name])


def _format_share(value: float) -> str:
    return f"{100 * value:.2f}"


def _format_ms(value: float) -> str:
    return f"{value:,.1f}"


def _format_number(value: float) -> str:
    return f"{value:,.4g}"
