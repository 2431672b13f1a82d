"""Simulated time: events in the order of their times, and of their making where times are the same.

A heap of our own and not simpy: routers ask for callbacks at a time, some before others of the same time, and
take many of them back (`engine.Clock`), as they do of the real loop. It costs the same (docs/lab.md).
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

Callback = Callable[[], None]


class ScheduledEvent:
    """An event that was set."""

    __slots__ = ("call",)

    def __init__(self, call: Callback) -> None:
        self.call: Callback | None = call

    def cancel(self) -> None:
        """It is not wanted any more."""
        self.call = None


class Kernel:
    """The clock of one world, in milliseconds. It is a `Clock` for engines."""

    def __init__(self) -> None:
        self.time = 0.0
        self.events_run = 0  # so many were called
        self._heap: list[tuple[float, int, int, ScheduledEvent]] = []
        self._sequence_number = 0

    def now(self) -> float:
        """The present time."""
        return self.time

    def call_at(self, at_ms: float, callback: Callback, run_first: bool = False) -> ScheduledEvent:
        """Call at that time, or now if it has passed; `run_first`: before the others of the same time."""
        handle = ScheduledEvent(callback)
        self._sequence_number += 1
        heappush(self._heap, (at_ms, 0 if run_first else 1, self._sequence_number, handle))
        return handle

    def call_after(self, delay_ms: float, callback: Callback) -> ScheduledEvent:
        """Call after so many milliseconds."""
        return self.call_at(self.time + delay_ms, callback)

    def run(self, until: float) -> None:
        """Call all that is due up to a time, which is then the present one."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            when, _, _, handle = heappop(heap)
            call = handle.call
            if call is not None:
                if when > self.time:
                    self.time = when
                self.events_run += 1
                call()
        self.time = max(self.time, until)
