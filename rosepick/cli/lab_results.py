"""Commands of the lab that read recorded results and logs: diff, report and account. See docs/lab.md."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from .common import exit_with_error, require_extra

if TYPE_CHECKING:
    from ..lab.results import RunCost, RunResult


def diff(
    files: Annotated[
        list[Path], typer.Argument(help="Results, as JSON lines; the first variant is the base.")
    ],
    by: Annotated[str, typer.Option(help="policy, revision, how, or the name of a setting.")] = "revision",
) -> None:
    """Compare stored results: revisions, simulated and live runs, or values of a setting."""
    with require_extra("lab"):
        print_comparisons(_read_runs(files)[0], by)


def print_comparisons(runs: list[RunResult], by: str) -> None:
    """Print a table for each experiment that compares the runs by `by`."""
    from ..lab import compare, console

    for comparison in compare.compare_runs(runs, by):
        console.print_comparison(compare.comparison_table(comparison))


def report(
    files: Annotated[list[Path], typer.Argument(help="Results, as JSON lines.")],
    out: Annotated[Path, typer.Option("--out", "-o", help="Output file.")] = Path("report.html"),
    title: str = "Experiments",
) -> None:
    """Write an HTML page with plots of results."""
    with require_extra("lab"):
        from ..lab.report import render

        runs, costs = _read_runs(files)
        out.write_text(render(runs, costs, title), "utf-8")
    print(f"{out}: {len(runs)} runs")


def account(
    logs: Annotated[list[Path], typer.Argument(help="Routers' logs, or a folder of them (*.log).")],
    printed: Annotated[
        Path | None, typer.Option("--printed", help="The bench's printed report of the day.")
    ] = None,
) -> None:
    """Show the lost value of a day by cause, request class, five-second interval and router.

    Also shows the events for which the test bench charges a cost, such as attempts, as numbers per request.
    """
    with require_extra("lab"):
        from ..lab import console
        from ..lab.account.day_report import parse_day_report
        from ..lab.account.log_reader import NoLogsError, read_logs
        from ..lab.account.loss_account import build_account
        from ..lab.account.tables import format_tables

        try:
            day_report = None if printed is None else parse_day_report(printed.read_text("utf-8", "replace"))
            loss_account = build_account(read_logs(logs), day_report)
        except OSError as error:
            exit_with_error(f"{printed}: {error.strerror or error}", 2)
        except NoLogsError as error:
            exit_with_error(error, 2)
        for table in format_tables(loss_account):
            console.print_comparison(table)


def _read_runs(files: list[Path]) -> tuple[list[RunResult], list[RunCost]]:
    """Return the results and costs in files; exit with status 2 if they are unreadable or empty."""
    from ..lab import results

    try:
        lines = [line for path in files for line in results.read_results(path)]
    except results.ResultsError as error:
        exit_with_error(error, 2)
    runs = [line for line in lines if isinstance(line, results.RunResult)]
    if not runs:
        exit_with_error("there is no run in these results", 2)
    return runs, [line for line in lines if isinstance(line, results.RunCost)]


def add(lab: typer.Typer) -> None:
    """Add the commands of this module to those of the lab."""
    for command in (diff, report, account):
        lab.command()(command)
