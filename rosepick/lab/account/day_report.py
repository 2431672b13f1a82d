"""Parses the figures that an account needs from the test bench's printed report of a day."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_SCORE_LINE = re.compile(r"^G (-?[\d.]+)", re.M)
_PRICES_LINE = re.compile(r"^prices: (.*)$", re.M)
_PRICE_ITEM = re.compile(r"(\w+) (-?[\d.]+)")
_CLASS_LINE = re.compile(r"^class (\S+)\s+served ([\d.]+)", re.M)
_BOUNDS_LINE = re.compile(r"floor (-?[\d.]+)\s+top (-?[\d.]+)")


@dataclass(frozen=True, slots=True)
class DayReport:
    """The figures of a day's report; None or empty if the report does not contain them."""

    score: float | None = None  # G, which includes prices and the worst seconds, classes and tenants
    floor: float | None = None
    top: float | None = None
    prices: dict[str, float] = field(default_factory=dict)
    classes: dict[str, float] = field(default_factory=dict)  # served shares as measured by clients


def parse_day_report(text: str) -> DayReport:
    """Return the figures of the first day in the text of a report."""
    score = _SCORE_LINE.search(text)
    prices = _PRICES_LINE.search(text)
    bounds = _BOUNDS_LINE.search(text)
    return DayReport(
        score=float(score[1]) if score else None,
        floor=float(bounds[1]) if bounds else None,
        top=float(bounds[2]) if bounds else None,
        prices={name: float(value) for name, value in _PRICE_ITEM.findall(prices[1])} if prices else {},
        classes={name: float(value) for name, value in _CLASS_LINE.findall(text)},
    )
