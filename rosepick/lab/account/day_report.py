"""What the bench printed of a day, as far as an account needs it. Only what it prints for people is read."""

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
    """One day's report."""

    worth: float | None = None  # G: after prices, the worst seconds, classes and tenants
    floor: float | None = None
    top: float | None = None
    prices: dict[str, float] = field(default_factory=dict)
    classes: dict[str, float] = field(default_factory=dict)  # served shares, as clients saw them


def parse_day_report(text: str) -> DayReport:
    """The figures of the first day in a report; what is not there is left out."""
    worth, prices, top = _WORTH_LINE.search(text), _PRICES_LINE.search(text), _BOUNDS_LINE.search(text)
    return DayReport(
        worth=float(worth[1]) if worth else None,
        floor=float(top[1]) if top else None,
        top=float(top[2]) if top else None,
        prices={name: float(value) for name, value in _PRICE_ITEM.findall(prices[1])} if prices else {},
        classes={name: float(value) for name, value in _CLASS_LINE.findall(text)},
    )
