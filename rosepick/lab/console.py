"""Prints the output of the lab's commands: progress, summaries of runs, and tables."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rich.console import Console, RenderableType
from rich.progress import (
    BarColumn,
    Progress,
    TaskProgressColumn,
    TextColumn,
    TimeElapsedColumn,
    TimeRemainingColumn,
)
from rich.table import Table

from .results import RequirementResult, RuleViolation, RunCost, RunResult

_FILE_WIDTH = 120  # columns, if the output is not a terminal
_CONSOLE = Console(highlight=False, width=None if sys.stdout.isatty() else _FILE_WIDTH)
_MAX_SHOWN_VIOLATIONS = 5  # broken rules that are listed for a run
_TOTALS_COLUMNS = (
    "requests",
    "in time",
    "late",
    "refused",
    "failed",
    "p50",
    "p99",
    "attempts",
    "hits",
    "origin load",
)


def _create_progress_bar() -> Progress:
    """Return a progress bar on standard error, which is shown only on a terminal."""
    console = Console(stderr=True)
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TaskProgressColumn(),
        TimeElapsedColumn(),
        TimeRemainingColumn(),
    )
    return Progress(*columns, console=console, disable=not console.is_terminal, transient=True)


@contextmanager
def progress_bar(name: str) -> Iterator[Callable[[float], None]]:
    """Show a progress bar; yield a function that sets the completed share, 0 to 1."""
    with _create_progress_bar() as bar:
        task = bar.add_task(name, total=1.0)
        yield lambda progress: bar.update(task, completed=progress)


def print_run(run: RunResult, cost: RunCost) -> None:
    """Print the totals, requirements, broken rules and cost of a run."""
    _CONSOLE.print(_totals_table(run))
    for requirement in run.must:
        print(_format_requirement(requirement))
    for violation in run.broken[:_MAX_SHOWN_VIOLATIONS]:
        print(_format_violation(violation))
    if len(run.broken) > _MAX_SHOWN_VIOLATIONS:
        print(f"  ... and {len(run.broken) - _MAX_SHOWN_VIOLATIONS} more")
    if run.void:
        print(f"  VOID: {run.void}")
    print(f"  {cost.requests} requests, {cost.cpu_s:.1f} s of CPU, {cost.memory_mb:.0f} MB")


def _totals_table(run: RunResult) -> Table:
    total = run.totals
    table = Table(title=f"{run.experiment}: {run.policy}, seed {run.seed}, {run.how}", title_justify="left")
    for name in _TOTALS_COLUMNS:
        table.add_column(name, justify="right")
    table.add_row(
        f"{total['offered']:.0f}",
        f"{total['served_share']:.2%}",
        f"{total['late_share']:.2%}",
        f"{total['refused_share']:.2%}",
        f"{total['failed_share']:.2%}",
        f"{total['p50_ms']:.1f} ms",
        f"{total['p99_ms']:.1f} ms",
        f"{total['attempts_per_request']:.2f}",
        f"{total['hit_share']:.1%}",
        f"{total['origin_load']:.1%}",
    )
    return table


def _format_requirement(requirement: RequirementResult) -> str:
    bounds: list[str] = []
    if requirement.least is not None:
        bounds.append(f"at least {requirement.least:g}")
    if requirement.most is not None:
        bounds.append(f"at most {requirement.most:g}")
    outcome = "held" if requirement.held else "DID NOT HOLD"
    return (
        f"  {outcome}: {requirement.what} {requirement.value:g}, {' and '.join(bounds)}, "
        f"from {requirement.since:g} to {requirement.until:g} s"
    )


def _format_violation(violation: RuleViolation) -> str:
    request = f", request {violation.request}" if violation.request else ""
    node = f" at {violation.node}" if violation.node else ""
    return f"  BROKEN RULE {violation.rule}: {violation.text}{request}{node}, {violation.at:.3f} s"


def print_comparison(comparison: RenderableType) -> None:
    """Print a table."""
    _CONSOLE.print(comparison)
