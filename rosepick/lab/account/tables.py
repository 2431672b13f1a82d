"""An account as tables for a terminal."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from rich.box import SIMPLE_HEAD
from rich.table import Table
from rich.text import Text

from .account import Account, Cause, Row, text_of


def tables(found: Account) -> Iterator[Table]:
    """All of an account: causes, classes, slices of time, routers, prices."""
    heading = (
        f"{found.asked} requests at {found.routers} routers ({found.starts} starts): "
        f"{found.in_time:.1%} in time, {found.worth:.1%} of the worth"
    )
    yield _table(heading, ("lost to", "requests", "share", "worth", "waited"), _causes(found))
    for name, rows in (("class", found.classes), ("from", found.slices), ("routers", found.groups)):
        yield _table("", (name, "asked", "in time", "worth", "lost most to"), map(_row, rows))
    prices = [(name, f"{value:.3f}") for name, value in found.prices.items()]
    if prices:
        yield _table("", ("counted", "a request"), prices)
    told = found.printed
    if told is not None:
        figures = {"G": told.worth, "floor": told.floor, "top": told.top}
        figures |= {f"price: {name}": value for name, value in told.prices.items()}
        figures |= {f"served: {name}": value for name, value in told.classes.items()}
        shown = [(name, f"{value:.4f}") for name, value in figures.items() if value is not None]
        yield _table("", ("the bench", "figure"), shown)


def _table(title: str, columns: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> Table:
    made = Table(title=Text(title) if title else None, title_justify="left", box=SIMPLE_HEAD, show_edge=False)
    for place, name in enumerate(columns):
        words = place == 0 or name == "lost most to"
        made.add_column(name, justify="left" if words else "right", overflow="fold")
    for row in rows:
        made.add_row(*map(Text, row))
    return made


def _causes(found: Account) -> Iterator[tuple[str, ...]]:
    total = sum(cause.worth for cause in found.causes) or 1.0
    for cause in found.causes:
        yield _cause(cause, found.asked, total)


def _cause(cause: Cause, asked: int, lost: float) -> tuple[str, ...]:
    classes = ", ".join(f"{name} {count}" for name, count in cause.classes[:3])
    return (
        f"{cause.text} ({classes})",
        str(cause.count),
        f"{cause.count / asked:.1%}",
        f"{cause.worth / lost:.0%} of the lost",
        f"{cause.waited:.0f} ms",
    )


def _row(row: Row) -> tuple[str, ...]:
    causes = "; ".join(f"{text_of(name)} {share:.1%}" for name, share in row.causes)
    return row.name, str(row.asked), f"{row.in_time:.1%}", f"{row.worth:.1%}", causes
