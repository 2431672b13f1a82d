"""Simulated time that keeps pace with the real one: the model's own kernel, run up to now whenever the loop
has something for it.

What is due is called with the time at which it was due, not at which the loop came to it, so that the model's
work takes as long as in simulated time. How late the loop was is measured.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop
from math import inf

from ...net.loop import Loop, Timer
from ..world.kernel import Kernel
from .records import Lateness

BEAT = 10.0  # milliseconds
AHEAD = 0.5  # what is due so soon is called already: the selector waits for whole milliseconds, rounded up


class Pulse:
    """Measures how late a loop comes to its timers."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._late: list[float] = []

    def start(self, at: float) -> None:
        """Measure from that time of the loop on."""
        self._loop.at(at, lambda: self._beat(at))

    def _beat(self, due: float) -> None:
        late = max(0.0, self._loop.now() - due)
        self._late.append(late)
        following = due + late + BEAT
        self._loop.at(following, lambda: self._beat(following))

    def lateness(self) -> Lateness:
        """What was measured."""
        return Lateness.of(self._late)


class Pace:
    """A kernel on the clock of a loop."""

    def __init__(self, loop: Loop, kernel: Kernel) -> None:
        self.loop, self.kernel = loop, kernel
        self.begin_at = inf  # on the loop's clock; before it the kernel stands still
        self.pulse = Pulse(loop)
        self._timer: Timer | None = None
        self._set_for = inf

    def begin(self, at: float) -> None:
        """The run begins at that time of the loop."""
        self.begin_at = at
        self.pulse.start(at)
        self._loop_at(at)

    def now(self) -> float:
        """Milliseconds from the run's begin."""
        return max(0.0, self.loop.now() - self.begin_at)

    def does(self, call: Callable[[], None]) -> None:
        """Bring the model up to now, do something, and come back when the model has something to do."""
        self.kernel.run(self.now())
        try:
            call()
        finally:
            self._set()

    def _go_on(self) -> None:
        self._set_for, self._timer = inf, None
        self.kernel.run(self.now() + AHEAD)
        self._set()

    def _set(self) -> None:
        heap = self.kernel._heap
        while heap and heap[0][3].call is None:
            heappop(heap)
        due = self.begin_at + heap[0][0] - AHEAD if heap else inf
        if due < self._set_for:
            self._loop_at(due)

    def _loop_at(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._set_for = due
        self._timer = self.loop.at(due, self._go_on)
