"""Reads the `request_outcomes` and `counters` lines of routers' logs, one file for each router.

The figures in a line count from the start of the router process, so that a lost line makes the account less
precise in time but not incomplete. A restarted process counts from zero.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from ..log_terms import parse_record

# a test bench may prefix each line with its own time in seconds
_STAMP_PATTERN = re.compile(r"(\d+(?:\.\d+)?) (?=time=)")
_COMMON_FIELDS = {"time", "level", "part", "event", "class", "pending_requests", "open_descriptors"}
OUTCOMES_EVENT = "request_outcomes"
COUNTERS_EVENT = "counters"
START_EVENT = "serving"
READ_EVENTS = {OUTCOMES_EVENT, COUNTERS_EVENT, START_EVENT}
EARLIEST_UNIX_TIME = 1e6  # seconds; smaller times come from a test bench, whose clock starts at 0


class NoLogsError(ValueError):
    """No log can be read; the message names the files that were tried."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A line of a router's log."""

    at: float  # seconds of the test bench if the line has its prefix, else Unix time
    router: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The event name of the line."""
        return self.fields["event"]


@dataclass(slots=True)
class EndedRequests:
    """The requests of a class that ended at a router between two lines of its log."""

    at: float  # time of the later line, in seconds since the first line of all routers
    router: str
    request_class: str
    request_value: float  # value of one request
    counts: Counter[str] = field(default_factory=Counter)  # requests by outcome and cause
    waited_ms: dict[str, float] = field(
        default_factory=dict
    )  # total time until the end, by outcome and cause


@dataclass(slots=True)
class RouterLogs:
    """The records read from the logs of a day."""

    ended: list[EndedRequests] = field(default_factory=list)
    counts: dict[str, Counter[str]] = field(
        default_factory=dict
    )  # counters of attempts, connects and so on, by router
    starts: Counter[str] = field(default_factory=Counter)  # number of started processes by router


def read_logs(paths: Iterable[Path]) -> RouterLogs:
    """Read log files, and all `*.log` files of folders.

    Raises:
        NoLogsError: a file cannot be read, or no file contains a line of a router.
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
        raise NoLogsError(
            "no log line of a router in " + (", ".join(map(str, files[:3])) or "an empty folder")
        )
    start_at = first_at if first_at >= EARLIEST_UNIX_TIME else 0.0
    for records in records_by_file:
        _add_router_records(logs, records, start_at)
    return logs


def _read_records(file: Path) -> Iterator[LogRecord]:
    """Yield the records of `READ_EVENTS` in a file, in order; skip other and truncated lines."""
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


def _add_router_records(logs: RouterLogs, records: list[LogRecord], start_at: float) -> None:
    """Add the records of a router, as increases between two lines of the same process."""
    last_figures: dict[str, dict[str, float]] = {}  # by class, or by event for counters
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
            request_value = figures.get("worth", 1.0)
            ended = EndedRequests(record.at - start_at, record.router, name, request_value)
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
    """Return the numeric fields of a record, without the common fields of all records."""
    figures: dict[str, float] = {}
    for key, text in fields.items():
        if key in _COMMON_FIELDS:
            continue
        try:
            figures[key] = float(text)
        except ValueError:
            continue
    return figures
