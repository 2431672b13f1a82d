"""The events that the processes of a fault-injection test record, and the clock that they share."""

from __future__ import annotations

import os
import time

from .history import AnyEvent, encode_line


def drill_clock() -> float:
    """Return the time in seconds by a clock that all processes of a machine share."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class EventLog:
    """A file that events are appended to; what was appended outlives the process."""

    def __init__(self, path: str) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def append(self, event: AnyEvent) -> None:
        """Append an event, in one write."""
        os.write(self._file, encode_line(event))
