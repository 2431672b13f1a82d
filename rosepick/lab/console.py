"""What the lab's commands show: progress on a terminal, a run in a few lines, tables."""

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

from .results import RunCost, RunResult

_WIDTH = 120  # columns where nobody looks at a terminal
_CONSOLE = Console(highlight=False, width=None if sys.stdout.isatty() else _WIDTH)
_MAX_SHOWN = 5  # broken rules that are named


def _create_progress_bar() -> Progress:
    """On standard error, and only on a terminal."""
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
    """Show the part that is done, 0 to 1."""
    with _create_progress_bar() as bar:
        task = bar.add_task(name, total=1.0)
        yield lambda done: bar.update(task, completed=done)


def print_run(run: RunResult, cost: RunCost) -> None:
    """A run in a few lines."""
    total = run.totals
    table = Table(title=f"{run.experiment}: {run.policy}, seed {run.seed}, {run.how}", title_justify="left")
    for name in (
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
    ):
        table.add_column(name, justify="right")
    table.add_row(
        f"{total['offered']:.0f}",
        *(
            f"{total[name]:.2%}"
            for name in (
                "served_share",
                "late_share",
                "refused_share",
                "failed_share",
            )
        ),
        f"{total['p50_ms']:.1f} ms",
        f"{total['p99_ms']:.1f} ms",
        f"{total['attempts_per_request']:.2f}",
        f"{total['hit_share']:.1%}",
        f"{total['origin_load']:.1%}",
    )
    _CONSOLE.print(table)
    for verdict in run.must:
        bounds = [f"at least {verdict.least:g}"] if verdict.least is not None else []
        bounds += [f"at most {verdict.most:g}"] if verdict.most is not None else []
        word = "held" if verdict.held else "DID NOT HOLD"
        print(
            f"  {word}: {verdict.what} {verdict.value:g}, {' and '.join(bounds)}, "
            f"from {verdict.since:g} to {verdict.until:g} s"
        )
    for broken in run.broken[:_MAX_SHOWN]:
        where = f" at {broken.node}" if broken.node else ""
        who = f", request {broken.request}" if broken.request else ""
        print(f"  BROKEN RULE {broken.rule}: {broken.text}{who}{where}, {broken.at:.3f} s")
    if len(run.broken) > _MAX_SHOWN:
        print(f"  ... and {len(run.broken) - _MAX_SHOWN} more")
    if run.void:
        print(f"  VOID: {run.void}")
    print(f"  {cost.requests} requests, {cost.cpu_s:.1f} s of CPU, {cost.memory_mb:.0f} MB")


def print_comparison(comparison: RenderableType) -> None:
    """Show a table."""
    _CONSOLE.print(comparison)
