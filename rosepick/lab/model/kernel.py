"""The event queue of simulated time.

Events run in the order of their times, and events of the same time in the order in which they were scheduled.
The model does not use simpy, because routers schedule and cancel many callbacks at absolute times, some of
which run before others of the same time, as on the real event loop (`docs/lab.md` compares the costs).
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

Callback = Callable[[], None]


class ScheduledEvent:
    """A scheduled callback, which can be cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callback) -> None:
        self.call: Callback | None = call

    def cancel(self) -> None:
        """Prevent the call of the callback."""
        self.call = None


class Kernel:
    """The clock and event queue of one simulation, in milliseconds. Engines use it as their clock."""

    def __init__(self) -> None:
        self.time = 0.0
        self.events_run = 0
        self._heap: list[tuple[float, int, int, ScheduledEvent]] = []
        self._sequence_number = 0

    def now(self) -> float:
        """Return the simulated time."""
        return self.time

    def call_at(self, at_ms: float, callback: Callback, run_first: bool = False) -> ScheduledEvent:
        """Schedule a callback at a time in milliseconds, or as soon as possible if the time has passed.

        With `run_first` the callback runs before the other events of the same time.
        """
        event = ScheduledEvent(callback)
        self._sequence_number += 1
        heappush(self._heap, (at_ms, 0 if run_first else 1, self._sequence_number, event))
        return event

    def call_after(self, delay_ms: float, callback: Callback) -> ScheduledEvent:
        """Schedule a callback after a delay in milliseconds."""
        return self.call_at(self.time + delay_ms, callback)

    def next_event_at(self) -> float | None:
        """Return the time of the next event that was not cancelled, or None if there is none."""
        heap = self._heap
        while heap and heap[0][3].call is None:
            heappop(heap)
        return heap[0][0] if heap else None

    def run(self, until: float) -> None:
        """Run all events up to a time, and advance the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            at_ms, _, _, event = heappop(heap)
            call = event.call
            if call is not None:
                if at_ms > self.time:
                    self.time = at_ms
                self.events_run += 1
                call()
        self.time = max(self.time, until)
