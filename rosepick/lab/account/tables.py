"""Formats an account as tables for a terminal."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from rich.box import SIMPLE_HEAD
from rich.table import Table
from rich.text import Text

from .day_report import DayReport
from .loss_account import AccountRow, LossAccount, LossCause, describe_outcome

MAIN_CAUSES_COLUMN = "main causes"


def format_tables(account: LossAccount) -> Iterator[Table]:
    """Yield tables of causes, classes, time slices, routers, charged events and the test bench's figures."""
    heading = (
        f"{account.request_count} requests at {account.routers} routers ({account.starts} starts): "
        f"{account.in_time_share:.1%} in time, {account.value_share:.1%} of the worth"
    )
    yield _format_table(heading, ("cause", "requests", "share", "worth", "waited"), _format_causes(account))
    for name, rows in (("class", account.classes), ("from", account.slices), ("routers", account.groups)):
        yield _format_table(
            "", (name, "asked", "in time", "worth", MAIN_CAUSES_COLUMN), map(_format_row, rows)
        )
    prices = [(name, f"{value:.3f}") for name, value in account.prices.items()]
    if prices:
        yield _format_table("", ("counted", "per request"), prices)
    if account.day_report is not None:
        yield _format_table("", ("test bench", "figure"), _format_day_report(account.day_report))


def _format_day_report(report: DayReport) -> list[tuple[str, ...]]:
    figures = {"G": report.score, "floor": report.floor, "top": report.top}
    figures |= {f"price: {name}": value for name, value in report.prices.items()}
    figures |= {f"served: {name}": value for name, value in report.classes.items()}
    return [(name, f"{value:.4f}") for name, value in figures.items() if value is not None]


def _format_table(title: str, columns: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> Table:
    table = Table(
        title=Text(title) if title else None, title_justify="left", box=SIMPLE_HEAD, show_edge=False
    )
    for index, name in enumerate(columns):
        is_text = index == 0 or name == MAIN_CAUSES_COLUMN
        table.add_column(name, justify="left" if is_text else "right", overflow="fold")
    for row in rows:
        table.add_row(*map(Text, row))
    return table


def _format_causes(account: LossAccount) -> Iterator[tuple[str, ...]]:
    lost_value = sum(cause.lost_value for cause in account.causes) or 1.0
    for cause in account.causes:
        yield _format_cause(cause, account.request_count, lost_value)


def _format_cause(cause: LossCause, request_count: int, lost_value: float) -> tuple[str, ...]:
    classes = ", ".join(f"{name} {count}" for name, count in cause.classes[:3])
    return (
        f"{cause.text} ({classes})",
        str(cause.count),
        f"{cause.count / request_count:.1%}",
        f"{cause.lost_value / lost_value:.0%} of the lost",
        f"{cause.mean_wait_ms:.0f} ms",
    )


def _format_row(row: AccountRow) -> tuple[str, ...]:
    causes = "; ".join(f"{describe_outcome(name)} {share:.1%}" for name, share in row.causes)
    return row.name, str(row.request_count), f"{row.in_time_share:.1%}", f"{row.value_share:.1%}", causes
