"""Reads the `request_outcomes` and `counters` lines of routers' logs, one file for each router.

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

from ..log_terms import parse_record

STAMP_PATTERN = re.compile(r"(\d+(?:\.\d+)?) (?=time=)")  # a bench may put its own seconds in front of a line
_COMMON_FIELDS = {"time", "level", "part", "event", "class", "pending_requests", "open_descriptors"}
READ_EVENTS = {"request_outcomes", "counters", "serving"}


class NoLogsError(ValueError):
    """There is nothing to read; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """What one router told at one moment."""

    at: float  # seconds; by the bench's stamp, else since the first line of all routers
    router: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """What kind of line it is."""
        return self.fields["event"]


@dataclass(slots=True)
class EndedRequests:
    """Envelopes of a class that ended at a router between two of its lines."""

    at: float  # of the later line, seconds
    router: str
    klass: str
    worth: float  # of one request
    counts: Counter[str] = field(default_factory=Counter)  # by end and cause
    waited: Counter[str] = field(default_factory=Counter)  # by the same, milliseconds in all


@dataclass(slots=True)
class RouterLogs:
    """All that was read."""

    ended: list[EndedRequests] = field(default_factory=list)
    counts: dict[str, Counter[str]] = field(default_factory=dict)  # by router: attempts, crossings, dials ...
    starts: Counter[str] = field(default_factory=Counter)  # processes, by router


def read_logs(paths: Iterable[Path]) -> RouterLogs:
    """The logs of a folder, or of some files. NoLogs if none of them holds a line of a router."""
    files = [file for path in paths for file in (sorted(path.glob("*.log")) if path.is_dir() else [path])]
    found, told = RouterLogs(), []
    for file in files:
        try:
            told.append(list(_read_records(file)))
        except OSError as problem:
            raise NoLogsError(f"{file}: {problem.strerror or problem}") from None
    first = min((line.at for lines in told for line in lines[:1]), default=None)
    if first is None:
        raise NoLogsError("no line of a router in " + (", ".join(map(str, files[:3])) or "an empty folder"))
    for lines in told:
        _read_process_log(found, lines, 0.0 if first < 1e6 else first)
    return found


def _read_records(file: Path) -> Iterator[LogRecord]:
    """The lines that count, in order. What is none of ours, or was cut, is passed over."""
    for line in file.read_text("utf-8", "replace").splitlines():
        if " event=" not in line:
            continue
        stamp = STAMP_PATTERN.match(line)
        fields = parse_record(line)
        if fields.get("event") not in READ_EVENTS:
            continue
        try:
            at = float(stamp[1]) if stamp else datetime.fromisoformat(fields["time"]).timestamp()
        except (KeyError, ValueError):
            continue
        yield LogRecord(at, file.stem, fields)


def _read_process_log(logs: RouterLogs, lines: list[LogRecord], first: float) -> None:
    """Take up one router's lines: differences within each of its processes."""
    before: dict[str, dict[str, float]] = {}
    for line in lines:
        if line.event == "serving":
            logs.starts[line.router] += 1
            before.clear()
            continue
        name = line.fields.get("class", "") if line.event == "request_outcomes" else "counters"
        figures = _parse_counts(line.fields)
        grown = {key: value - before.get(name, {}).get(key, 0.0) for key, value in figures.items()}
        before[name] = figures
        if line.event == "counters":
            logs.counts.setdefault(line.router, Counter()).update({key: int(n) for key, n in grown.items()})
            continue
        one = EndedRequests(line.at - first, line.router, name, figures.get("worth", 1.0))
        for key, value in grown.items():
            if key.endswith("_ms"):
                one.waited[key.removesuffix("_ms")] += value  # type: ignore[assignment]
            elif key != "worth" and value:
                one.counts[key] += int(value)
        logs.ended.append(one)


def _parse_counts(fields: dict[str, str]) -> dict[str, float]:
    """The fields of a line that are numbers, but for those that any line has."""
    found = {}
    for key, text in fields.items():
        if key in _COMMON_FIELDS:
            continue
        try:
            found[key] = float(text)
        except ValueError:
            continue
    return found
