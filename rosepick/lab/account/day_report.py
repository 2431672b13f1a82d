"""Reads what the test bench printed about a day, as far as an account needs it."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_WORTH_LINE = re.compile(r"^G (-?[\d.]+)", re.M)
_PRICES_LINE = re.compile(r"^prices: (.*)$", re.M)
_PRICE_ITEM = re.compile(r"(\w+) (-?[\d.]+)")
_CLASS_LINE = re.compile(r"^class (\S+)\s+served ([\d.]+)", re.M)
_BOUNDS_LINE = re.compile(r"floor (-?[\d.]+)\s+top (-?[\d.]+)")


@dataclass(frozen=True, slots=True)
class DayReport:
    """The figures of one day's report; None or empty if the report does not have them."""

    worth: float | None = (
        None  # G, with the prices, the worst seconds, classes and tenants taken into account
    )
    floor: float | None = None
    top: float | None = None
    prices: dict[str, float] = field(default_factory=dict)
    classes: dict[str, float] = field(default_factory=dict)  # served shares, as clients saw them


def parse_day_report(text: str) -> DayReport:
    """Return the figures of the first day in a report."""
    worth = _WORTH_LINE.search(text)
    prices = _PRICES_LINE.search(text)
    bounds = _BOUNDS_LINE.search(text)
    return DayReport(
        worth=float(worth[1]) if worth else None,
        floor=float(bounds[1]) if bounds else None,
        top=float(bounds[2]) if bounds else None,
        prices={name: float(value) for name, value in _PRICE_ITEM.findall(prices[1])} if prices else {},
        classes={name: float(value) for name, value in _CLASS_LINE.findall(text)},
    )
