"""Simulated time that keeps pace with the real one: the model's own kernel, run up to now whenever the loop
has something for it.

What is due is called with the time at which it was due, not at which the loop came to it, so that the model's
work takes as long as in simulated time. How late the loop was is measured.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ...net.event_loop import EventLoop, ScheduledCall
from ..model.kernel import Kernel
from .run_records import Lateness

PROBE_INTERVAL_MS = 10.0  # milliseconds
# what is due so soon is called already: the selector waits for whole milliseconds, rounded up
EARLY_CALL_MS = 0.5


class LatenessProbe:
    """Measures how late a loop comes to its timers."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._lateness_ms: list[float] = []

    def start(self, at: float) -> None:
        """Measure from that time of the loop on."""
        self._loop.call_at(at, lambda: self._measure(at))

    def _measure(self, due: float) -> None:
        late = max(0.0, self._loop.now() - due)
        self._lateness_ms.append(late)
        following = due + late + PROBE_INTERVAL_MS
        self._loop.call_at(following, lambda: self._measure(following))

    def lateness(self) -> Lateness:
        """What was measured."""
        return Lateness.from_samples(self._lateness_ms)


class RealTimeKernel:
    """A kernel on the clock of a loop."""

    def __init__(self, loop: EventLoop, kernel: Kernel) -> None:
        self.loop, self.kernel = loop, kernel
        self.started_at_ms = inf  # on the loop's clock; before it the kernel stands still
        self.lateness_probe = LatenessProbe(loop)
        self._timer: ScheduledCall | None = None
        self._scheduled_for = inf

    def start(self, at: float) -> None:
        """The run begins at that time of the loop."""
        self.started_at_ms = at
        self.lateness_probe.start(at)
        self._set_timer(at)

    def now(self) -> float:
        """Milliseconds from the run's begin."""
        return max(0.0, self.loop.now() - self.started_at_ms)

    def run_synced(self, callback: Callable[[], None]) -> None:
        """Bring the model up to now, do something, and come back when the model has something to do."""
        self.kernel.run(self.now())
        try:
            callback()
        finally:
            self._schedule_next()

    def _on_timer(self) -> None:
        self._scheduled_for, self._timer = inf, None
        self.kernel.run(self.now() + EARLY_CALL_MS)
        self._schedule_next()

    def _schedule_next(self) -> None:
        next_event_at = self.kernel.next_event_at()
        due = inf if next_event_at is None else self.started_at_ms + next_event_at - EARLY_CALL_MS
        if due < self._scheduled_for:
            self._set_timer(due)

    def _set_timer(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._scheduled_for = due
        self._timer = self.loop.call_at(due, self._on_timer)
