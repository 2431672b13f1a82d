"""Reads the `request_outcomes` and `counters` lines of routers' logs, one file for each router.

Figures in a line count from the start of its process, so that a lost line loses nothing but its place in
time. A process that starts again counts from zero.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from ..log_terms import parse_record

_STAMP_PATTERN = re.compile(
    r"(\d+(?:\.\d+)?) (?=time=)"
)  # a test bench may put its own seconds before a line
_COMMON_FIELDS = {"time", "level", "part", "event", "class", "pending_requests", "open_descriptors"}
OUTCOMES_EVENT = "request_outcomes"
COUNTERS_EVENT = "counters"
START_EVENT = "serving"
READ_EVENTS = {OUTCOMES_EVENT, COUNTERS_EVENT, START_EVENT}
EARLIEST_UNIX_TIME = 1e6  # seconds; smaller times are those of a test bench, which start at 0


class NoLogsError(ValueError):
    """There is no log to read; the message says which files were tried."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One line of a router's log."""

    at: float  # seconds; by the bench's stamp, else Unix time
    router: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The event of the line."""
        return self.fields["event"]


@dataclass(slots=True)
class EndedRequests:
    """Requests of a class that ended at a router between two lines of its log."""

    at: float  # of the later line, in seconds since the first line of all routers
    router: str
    request_class: str
    worth: float  # of one request
    counts: Counter[str] = field(default_factory=Counter)  # by outcome and cause
    waited_ms: dict[str, float] = field(default_factory=dict)  # in all, by outcome and cause


@dataclass(slots=True)
class RouterLogs:
    """All that was read from the logs of a day."""

    ended: list[EndedRequests] = field(default_factory=list)
    counts: dict[str, Counter[str]] = field(default_factory=dict)  # by router: attempts, connects ...
    starts: Counter[str] = field(default_factory=Counter)  # started processes, by router


def read_logs(paths: Iterable[Path]) -> RouterLogs:
    """Read the logs of some folders and files.

    Raises:
        NoLogsError: a file cannot be read, or no file has a line of a router.
    """
    files = [file for path in paths for file in (sorted(path.glob("*.log")) if path.is_dir() else [path])]
    logs = RouterLogs()
    records_by_file: list[list[LogRecord]] = []
    for file in files:
        try:
            records_by_file.append(list(_read_records(file)))
        except OSError as error:
            raise NoLogsError(f"{file}: {error.strerror or error}") from None
    first_at = min((records[0].at for records in records_by_file if records), default=None)
    if first_at is None:
        raise NoLogsError("no line of a router in " + (", ".join(map(str, files[:3])) or "an empty folder"))
    epoch = first_at if first_at >= EARLIEST_UNIX_TIME else 0.0
    for records in records_by_file:
        _add_router_records(logs, records, epoch)
    return logs


def _read_records(file: Path) -> Iterator[LogRecord]:
    """Yield the records of a file that count, in order. Foreign and truncated lines are skipped."""
    for line in file.read_text("utf-8", "replace").splitlines():
        if " event=" not in line:
            continue
        stamp = _STAMP_PATTERN.match(line)
        fields = parse_record(line)
        if fields.get("event") not in READ_EVENTS:
            continue
        try:
            at = float(stamp[1]) if stamp else datetime.fromisoformat(fields["time"]).timestamp()
        except (KeyError, ValueError):
            continue
        yield LogRecord(at, file.stem, fields)


def _add_router_records(logs: RouterLogs, records: list[LogRecord], epoch: float) -> None:
    """Add one router's records, as differences within each of its processes."""
    last_figures: dict[str, dict[str, float]] = {}  # by class, or by event if it has none
    for record in records:
        if record.event == START_EVENT:
            logs.starts[record.router] += 1
            last_figures.clear()
            continue
        is_outcomes = record.event == OUTCOMES_EVENT
        name = record.fields.get("class", "") if is_outcomes else COUNTERS_EVENT
        figures = _parse_figures(record.fields)
        before = last_figures.get(name, {})
        increases = {key: value - before.get(key, 0.0) for key, value in figures.items()}
        last_figures[name] = figures
        if is_outcomes:
            worth = figures.get("worth", 1.0)
            ended = EndedRequests(record.at - epoch, record.router, name, worth)
            _add_outcomes(ended, increases)
            logs.ended.append(ended)
        else:
            counts = logs.counts.setdefault(record.router, Counter())
            counts.update({key: int(value) for key, value in increases.items()})


def _add_outcomes(ended: EndedRequests, increases: dict[str, float]) -> None:
    for key, value in increases.items():
        if key.endswith("_ms"):
            outcome = key.removesuffix("_ms")
            ended.waited_ms[outcome] = ended.waited_ms.get(outcome, 0.0) + value
        elif key != "worth" and value:
            ended.counts[key] += int(value)


def _parse_figures(fields: dict[str, str]) -> dict[str, float]:
    """Return the numeric fields of a record, without those that every record has."""
    figures: dict[str, float] = {}
    for key, text in fields.items():
        if key in _COMMON_FIELDS:
            continue
        try:
            figures[key] = float(text)
        except ValueError:
            continue
    return figures
