"""Logging of events as `key=value` lines, with a rate limit for each kind of event."""

from __future__ import annotations

import logging
import os
import re
import sys
import time
import traceback
from collections.abc import Callable
from typing import TextIO

from .log_output import LineHandler, LineWriter

MAX_LINES_PER_EVENT = 20  # for each module and event in a window; further lines are counted
RATE_LIMIT_WINDOW_S = 10.0
_line_writer: LineWriter | None = None  # of the log in use
UNLIMITED_EVENTS = frozenset({"client_verified"})  # the audit trail of verified clients is complete


def log_event(logger: logging.Logger, level: int, event: str, **fields: object) -> None:
    """Log an event with its fields; the event is not formatted if its level is disabled."""
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields})


def log_exception(logger: logging.Logger, event: str, exception: BaseException, **fields: object) -> None:
    """Log an exception with the source line that raised it."""
    frames = traceback.extract_tb(exception.__traceback__)
    place = f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}" if frames else "unknown"
    log_event(
        logger, logging.ERROR, event, error=type(exception).__name__, text=exception, place=place, **fields
    )


def _format_value(value: object) -> str:
    text = f"{value:.1f}" if isinstance(value, float) else str(value)
    if text and not any(char in text for char in ' ="\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'


_FIELD_PATTERN = re.compile(r'(\w+)=(?:"((?:\\.|[^"\\])*)"|(\S*))')
_UNESCAPED = {"n": "\n", "r": "\r", "t": "\t"}


def parse_log_fields(line: str) -> dict[str, str]:
    """Return the fields of a line that `KeyValueFormatter` formatted."""
    return {key: _unescape(quoted) or plain for key, quoted, plain in _FIELD_PATTERN.findall(line)}


def _unescape(quoted: str) -> str:
    return re.sub(r"\\(.)", lambda escape: _UNESCAPED.get(escape[1], escape[1]), quoted)


class KeyValueFormatter(logging.Formatter):
    """Formats a record as `time=… level=… pid=… monotonic_ms=… part=… event=…` and the event's own fields."""

    converter = time.gmtime

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, without a line end."""
        timestamp = self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}Z"
        pairs: dict[str, object] = {"time": timestamp, "level": record.levelname.lower()}
        pairs["pid"] = os.getpid()
        pairs["monotonic_ms"] = 1000.0 * time.monotonic()  # gives the order of lines of two processes
        pairs["part"] = record.name.removeprefix("rosepick.")
        pairs["event"] = record.getMessage()
        pairs.update(getattr(record, "fields", {}))
        return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


class LogRateLimiter(logging.Filter):
    """Limits the number of lines for each module and event in a time window.

    The first line of the next window has the number of suppressed lines, in the field `suppressed`. `clock`
    is a monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._windows: dict[tuple[str, str], tuple[float, int]] = {}  # start and count, by module and event

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is logged."""
        if record.msg in UNLIMITED_EVENTS:
            return True
        key = record.name, str(record.msg)
        now = self._clock()
        window_start, count = self._windows.get(key, (now, 0))
        if now - window_start >= RATE_LIMIT_WINDOW_S:
            if count > MAX_LINES_PER_EVENT:
                record.fields = {**getattr(record, "fields", {}), "suppressed": count - MAX_LINES_PER_EVENT}
            window_start = now
            count = 0
        self._windows[key] = window_start, count + 1
        return count < MAX_LINES_PER_EVENT


def configure_logging(stream: TextIO | None = None) -> None:
    """Write the log of the package to a stream, by default to standard error without blocking."""
    handler = _make_handler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(LogRateLimiter())
    root = logging.getLogger("rosepick")
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    root.propagate = False
    logging.raiseExceptions = False  # without this, each line to a closed pipe would print a traceback


def _make_handler(stream: TextIO) -> logging.Handler:
    """Return a handler for a stream, which does not block if the stream has a descriptor."""
    global _line_writer
    try:
        _line_writer = LineWriter(stream.fileno())
    except (OSError, ValueError):
        _line_writer = None
        return logging.StreamHandler(stream)
    return LineHandler(_line_writer, _make_gap_record)


def _make_gap_record(count: int) -> logging.LogRecord:
    """Return the record of the event that lines were dropped, as nobody read the log."""
    record = logging.LogRecord(__name__, logging.WARNING, __file__, 0, "log_lines_dropped", None, None)
    record.fields = {"count": count}
    return record


def dropped_line_count() -> int:
    """Return how many log lines were dropped since the start, because nobody read the log."""
    return 0 if _line_writer is None else _line_writer.dropped_count
