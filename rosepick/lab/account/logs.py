"""What routers' logs say of their envelopes: a file a router, the `ends` and `counts` lines of its processes.

Figures in a line count from the start of its process, so that a line that is lost loses nothing but its place
in time. A process that starts anew begins at zero.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from ...logs import fields_of

STAMP = re.compile(r"(\d+(?:\.\d+)?) (?=time=)")  # a bench may put its own seconds in front of a line
_ANY = {"time", "level", "part", "event", "class", "owed", "sockets"}
TOLD = {"ends", "counts", "serving"}


class NoLogs(ValueError):
    """There is nothing to read; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class Told:
    """What one router told at one moment."""

    at: float  # seconds; by the bench's stamp, else since the first line of all routers
    router: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """What kind of line it is."""
        return self.fields["event"]


@dataclass(slots=True)
class Ended:
    """Envelopes of a class that ended at a router between two of its lines."""

    at: float  # of the later line, seconds
    router: str
    klass: str
    worth: float  # of one request
    counts: Counter[str] = field(default_factory=Counter)  # by end and cause
    waited: Counter[str] = field(default_factory=Counter)  # by the same, milliseconds in all


@dataclass(slots=True)
class Logs:
    """All that was read."""

    ended: list[Ended] = field(default_factory=list)
    counts: dict[str, Counter[str]] = field(default_factory=dict)  # by router: attempts, crossings, dials ...
    starts: Counter[str] = field(default_factory=Counter)  # processes, by router


def read(paths: Iterable[Path]) -> Logs:
    """The logs of a folder, or of some files. NoLogs if none of them holds a line of a router."""
    files = [file for path in paths for file in (sorted(path.glob("*.log")) if path.is_dir() else [path])]
    found, told = Logs(), []
    for file in files:
        try:
            told.append(list(_lines(file)))
        except OSError as problem:
            raise NoLogs(f"{file}: {problem.strerror or problem}") from None
    first = min((line.at for lines in told for line in lines[:1]), default=None)
    if first is None:
        raise NoLogs("no line of a router in " + (", ".join(map(str, files[:3])) or "an empty folder"))
    for lines in told:
        _follow(found, lines, 0.0 if first < 1e6 else first)
    return found


def _lines(file: Path) -> Iterator[Told]:
    """The lines that count, in order. What is none of ours, or was cut, is passed over."""
    for line in file.read_text("utf-8", "replace").splitlines():
        if " event=" not in line:
            continue
        stamp = STAMP.match(line)
        fields = fields_of(line)
        if fields.get("event") not in TOLD:
            continue
        try:
            at = float(stamp[1]) if stamp else datetime.fromisoformat(fields["time"]).timestamp()
        except (KeyError, ValueError):
            continue
        yield Told(at, file.stem, fields)


def _follow(found: Logs, lines: list[Told], first: float) -> None:
    """Take up one router's lines: differences within each of its processes."""
    before: dict[str, dict[str, float]] = {}
    for line in lines:
        if line.event == "serving":
            found.starts[line.router] += 1
            before.clear()
            continue
        name = line.fields.get("class", "") if line.event == "ends" else "counts"
        figures = _figures(line.fields)
        grown = {key: value - before.get(name, {}).get(key, 0.0) for key, value in figures.items()}
        before[name] = figures
        if line.event == "counts":
            found.counts.setdefault(line.router, Counter()).update({key: int(n) for key, n in grown.items()})
            continue
        one = Ended(line.at - first, line.router, name, figures.get("worth", 1.0))
        for key, value in grown.items():
            if key.endswith("_ms"):
                one.waited[key.removesuffix("_ms")] += value  # type: ignore[assignment]
            elif key != "worth" and value:
                one.counts[key] += int(value)
        found.ended.append(one)


def _figures(fields: dict[str, str]) -> dict[str, float]:
    """The fields of a line that are numbers, but for those that any line has."""
    found = {}
    for key, text in fields.items():
        if key in _ANY:
            continue
        try:
            found[key] = float(text)
        except ValueError:
            continue
    return found
