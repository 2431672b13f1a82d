"""Logging: one line an event, key=value, and a bar against storms of one kind of line."""

from __future__ import annotations

import logging
import re
import sys
import time
import traceback
from collections.abc import Callable
from typing import TextIO

MAX_LINES_PER_EVENT = 20  # lines of one kind that pass in ...
RATE_LIMIT_WINDOW_S = 10.0  # ... this many seconds; the rest are counted
UNLIMITED_EVENTS = frozenset({"client_verified"})  # lines that are proof of who came: each of them passes


def log_event(logger: logging.Logger, level: int, event: str, **fields: object) -> None:
    """Log an event with its fields."""
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields})


def log_exception(logger: logging.Logger, event: str, exception: BaseException, **fields: object) -> None:
    """Log an exception with the place that raised it."""
    frames = traceback.extract_tb(exception.__traceback__)
    place = f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}" if frames else "unknown"
    log_event(
        logger, logging.ERROR, event, error=type(exception).__name__, text=exception, place=place, **fields
    )


def _format_value(value: object) -> str:
    text = f"{value:.1f}" if isinstance(value, float) else str(value)
    if text and not any(sign in text for sign in ' ="\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'


_FIELD_PATTERN = re.compile(r'(\w+)=(?:"((?:\\.|[^"\\])*)"|(\S*))')
_ESCAPES = {"n": "\n", "r": "\r", "t": "\t"}


def parse_log_fields(line: str) -> dict[str, str]:
    """The fields of a line as `KeyValueFormatter` writes it."""

    def sign(found: re.Match[str]) -> str:
        return _ESCAPES.get(found[1], found[1])

    return {
        key: re.sub(r"\\(.)", sign, quoted) or plain for key, quoted, plain in _FIELD_PATTERN.findall(line)
    }


class KeyValueFormatter(logging.Formatter):
    """time=... level=... part=... event=... and the event's own fields."""

    converter = time.gmtime

    def format(self, record: logging.LogRecord) -> str:
        when = self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}Z"
        pairs: dict[str, object] = {"time": when, "level": record.levelname.lower()}
        pairs["part"] = record.name.removeprefix("rosepick.")
        pairs["event"] = record.getMessage()
        pairs.update(getattr(record, "fields", {}))
        return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


class LogRateLimiter(logging.Filter):
    """Lets a few lines of a kind through in a span; the first of the next tells how many were held back."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        self.windows: dict[tuple[str, str], tuple[float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if record.msg in UNLIMITED_EVENTS:
            return True
        key = record.name, str(record.msg)
        now = self.clock()
        since, count = self.windows.get(key, (now, 0))
        if now - since >= RATE_LIMIT_WINDOW_S:
            if count > MAX_LINES_PER_EVENT:
                record.fields = {**getattr(record, "fields", {}), "suppressed": count - MAX_LINES_PER_EVENT}
            since, count = now, 0
        self.windows[key] = since, count + 1
        return count < MAX_LINES_PER_EVENT


def configure_logging(stream: TextIO | None = None) -> None:
    """Send the package's log to a stream, standard error unless told otherwise."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(LogRateLimiter())
    root = logging.getLogger("rosepick")
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    root.propagate = False
    logging.raiseExceptions = False  # a closed log pipe must not print a traceback for each line
