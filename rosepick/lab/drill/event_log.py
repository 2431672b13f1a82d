"""The log of events that a process of a fault-injection test writes, and the clock of all processes."""

from __future__ import annotations

import os
import time

from .history import AnyEvent, encode_line


def drill_clock() -> float:
    """Return the time in seconds of a monotonic clock that all processes of a machine share."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class EventLog:
    """A file to which events are appended; appended events survive a kill of the process."""

    def __init__(self, path: str) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def append(self, event: AnyEvent) -> None:
        """Append an event in one write."""
        os.write(self._file, encode_line(event))
