"""An account as tables for a terminal."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from rich.box import SIMPLE_HEAD
from rich.table import Table
from rich.text import Text

from .loss_account import AccountRow, LossAccount, LossCause, describe_outcome


def format_tables(account: LossAccount) -> Iterator[Table]:
    """All of an account: causes, classes, slices of time, routers, prices."""
    heading = (
        f"{account.asked} requests at {account.routers} routers ({account.starts} starts): "
        f"{account.in_time:.1%} in time, {account.worth:.1%} of the worth"
    )
    yield _format_table(heading, ("lost to", "requests", "share", "worth", "waited"), _format_causes(account))
    for name, rows in (("class", account.classes), ("from", account.slices), ("routers", account.groups)):
        yield _format_table("", (name, "asked", "in time", "worth", "lost most to"), map(_format_row, rows))
    prices = [(name, f"{value:.3f}") for name, value in account.prices.items()]
    if prices:
        yield _format_table("", ("counted", "a request"), prices)
    told = account.printed
    if told is not None:
        figures = {"G": told.worth, "floor": told.floor, "top": told.top}
        figures |= {f"price: {name}": value for name, value in told.prices.items()}
        figures |= {f"served: {name}": value for name, value in told.classes.items()}
        shown = [(name, f"{value:.4f}") for name, value in figures.items() if value is not None]
        yield _format_table("", ("the bench", "figure"), shown)


def _format_table(title: str, columns: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> Table:
    made = Table(title=Text(title) if title else None, title_justify="left", box=SIMPLE_HEAD, show_edge=False)
    for place, name in enumerate(columns):
        words = place == 0 or name == "lost most to"
        made.add_column(name, justify="left" if words else "right", overflow="fold")
    for row in rows:
        made.add_row(*map(Text, row))
    return made


def _format_causes(found: LossAccount) -> Iterator[tuple[str, ...]]:
    total = sum(cause.worth for cause in found.causes) or 1.0
    for cause in found.causes:
        yield _format_cause(cause, found.asked, total)


def _format_cause(cause: LossCause, asked: int, lost: float) -> tuple[str, ...]:
    classes = ", ".join(f"{name} {count}" for name, count in cause.classes[:3])
    return (
        f"{cause.text} ({classes})",
        str(cause.count),
        f"{cause.count / asked:.1%}",
        f"{cause.worth / lost:.0%} of the lost",
        f"{cause.waited:.0f} ms",
    )


def _format_row(row: AccountRow) -> tuple[str, ...]:
    causes = "; ".join(f"{describe_outcome(name)} {share:.1%}" for name, share in row.causes)
    return row.name, str(row.asked), f"{row.in_time:.1%}", f"{row.worth:.1%}", causes
