"""Parses the grid of a sweep from terms such as `traffic.rate=100,200` and `seed=1..5`."""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain, product
from typing import Any

MAX_CELLS = 10_000

_RANGE = re.compile(r"(-?\d{1,15})\.\.(-?\d{1,15})")
_COMMA = re.compile(r',(?=(?:[^"]*"[^"]*")*[^"]*$)')  # not between double quotes
_NAME = re.compile(r"[^.\s]+(\.[^.\s]+)*")


class GridError(ValueError):
    """Terms do not form a grid; the message has one line for each error."""

    def __init__(self, errors: tuple[str, ...]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


@dataclass(frozen=True, slots=True)
class GridCell:
    """One run of a grid; a policy or seed of None is that of the experiment."""

    changes: dict[str, Any]
    policy: str | None = None
    seed: int | None = None

    def __str__(self) -> str:
        values = {**self.changes, "policy": self.policy, "seed": self.seed}
        return " ".join(f"{name}={value}" for name, value in values.items() if value is not None)


def parse_grid(terms: Iterable[str]) -> list[GridCell]:
    """Return the cells of terms such as `policy=rosepick,random`; the last term changes fastest.

    Raises:
        GridError: terms are invalid; the message names all of them.
    """
    axes: dict[str, list[Any]] = {}
    errors: list[str] = []
    for term in terms:
        try:
            name, values = _parse_term(term)
            if name in axes:
                raise ValueError(f"{name} comes twice")
            axes[name] = values
        except ValueError as error:
            errors.append(f"{term}: {error}")
    cell_count = math.prod(len(values) for values in axes.values())
    if cell_count > MAX_CELLS:
        errors.append(f"{cell_count} cells are more than {MAX_CELLS}")
    if errors:
        raise GridError(tuple(errors))
    return [_to_cell(dict(zip(axes, values, strict=True))) for values in product(*axes.values())]


def _parse_term(term: str) -> tuple[str, list[Any]]:
    """Return the name and values of a term.

    Raises:
        ValueError: the term is invalid.
    """
    name, sign, value_list = (part.strip() for part in term.partition("="))
    if not sign:
        raise ValueError("has no '='")
    if not _NAME.fullmatch(name):
        raise ValueError("has no dotted name before '='")
    texts = [text.strip() for text in _COMMA.split(value_list)]
    if not all(texts):
        raise ValueError("has an empty value")
    pieces = [_parse_value(text) for text in texts]
    # checked before ranges are expanded
    if sum(len(piece) for piece in pieces) > MAX_CELLS:
        raise ValueError(f"has more than {MAX_CELLS} values")
    values = list(chain.from_iterable(pieces))
    if name == "policy":
        values = [value if isinstance(value, str) else texts[n] for n, value in enumerate(values)]
    if name == "seed" and not all(type(value) is int and value >= 0 for value in values):
        raise ValueError("a seed is a whole number from 0 on")
    if len({(type(value), value) for value in values}) < len(values):
        raise ValueError("has a value twice")
    return name, values


def _parse_value(text: str) -> Sequence[Any]:
    """Parse a text as a range or as a single TOML value; if it is neither, it is its own value."""
    if match := _RANGE.fullmatch(text):
        first, last = (int(bound) for bound in match.groups())
        if last < first:
            raise ValueError(f"{text} holds nothing")
        return range(first, last + 1)
    try:
        document = tomllib.loads(f"value = [{text}]")
    except ValueError:
        return [text]
    values = document["value"]
    if len(document) == len(values) == 1 and isinstance(values[0], bool | int | float | str):
        return [values[0]]
    return [text]


def _to_cell(values: dict[str, Any]) -> GridCell:
    policy = values.pop("policy", None)
    seed = values.pop("seed", None)
    return GridCell(values, policy, seed)
