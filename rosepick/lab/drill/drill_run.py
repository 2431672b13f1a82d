"""The result of a fault-injection test on real processes, and the log lines around a violation."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from .event_log import drill_clock
from .history import AnyEvent
from .invariants import InvariantReport

LOG_CONTEXT_S = 1.0  # log lines up to this long before and after an event are shown
SECONDS_TIMESTAMP_LENGTH = 19  # length of a timestamp in a log, up to and including its seconds
MILLISECONDS_TIMESTAMP_LENGTH = 23  # length with the point and the milliseconds that follow the seconds


class DrillRunError(Exception):
    """The test could not be run, so its result says nothing about the program."""


@dataclass(slots=True)
class DrillRun:
    """Holds the report and the history of a test on real processes, and the folder with its files."""

    report: InvariantReport
    events: list[AnyEvent]
    folder: Path
    seed: int
    measurements: dict[str, float] = field(default_factory=dict)


def log_lines_around(run: DrillRun, times: Sequence[float]) -> list[str]:
    """Return the lines of all logs around the given times of the test's clock (seconds), in order of time."""
    clock_offset_s = time.time() - drill_clock()
    return sorted(
        f"{at:10.4f} {path.stem:8} {line}"
        for path in sorted(run.folder.glob("*.log"))
        for at, line in _timed_lines(path, clock_offset_s)
        if any(abs(at - other) <= LOG_CONTEXT_S for other in times)
    )


def _timed_lines(path: Path, clock_offset_s: float) -> Iterator[tuple[float, str]]:
    """Yield the lines of a log with their times by the test's clock; lines without a time are skipped."""
    for line in path.read_text("utf-8", "replace").splitlines():
        stamp = line.split(" ", 1)[0].removeprefix("time=")
        with contextlib.suppress(ValueError):
            parsed = time.strptime(stamp[:SECONDS_TIMESTAMP_LENGTH], "%Y-%m-%dT%H:%M:%S")
            at = time.mktime(parsed) - time.timezone
            at += float(stamp[SECONDS_TIMESTAMP_LENGTH:MILLISECONDS_TIMESTAMP_LENGTH]) - clock_offset_s
            yield at, line
