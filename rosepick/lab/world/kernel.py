"""Simulated time: events in the order of their times, and of their making where times are the same.

A heap of our own and not simpy: routers ask for callbacks at a time, some before others of the same time, and
take many of them back (`engine.Clock`), as they do of the real loop. It costs the same (docs/lab.md).
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

Call = Callable[[], None]


class Handle:
    """An event that was set."""

    __slots__ = ("call",)

    def __init__(self, call: Call) -> None:
        self.call: Call | None = call

    def cancel(self) -> None:
        """It is not wanted any more."""
        self.call = None


class Kernel:
    """The clock of one world, in milliseconds. It is a `Clock` for engines."""

    def __init__(self) -> None:
        self.time = 0.0
        self.events = 0  # so many were called
        self._heap: list[tuple[float, int, int, Handle]] = []
        self._count = 0

    def now(self) -> float:
        """The present time."""
        return self.time

    def at(self, when: float, call: Call, first: bool = False) -> Handle:
        """Call at that time, or now if it has passed; `first`: before the others of the same time."""
        handle = Handle(call)
        self._count += 1
        heappush(self._heap, (when, 0 if first else 1, self._count, handle))
        return handle

    def after(self, delay: float, call: Call) -> Handle:
        """Call after so many milliseconds."""
        return self.at(self.time + delay, call)

    def run(self, until: float) -> None:
        """Call all that is due up to a time, which is then the present one."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            when, _, _, handle = heappop(heap)
            call = handle.call
            if call is not None:
                if when > self.time:
                    self.time = when
                self.events += 1
                call()
        self.time = max(self.time, until)
