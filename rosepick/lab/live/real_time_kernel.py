"""Runs the model's kernel in real time: before each callback it is advanced to the current time.

Model events see their due time, not the time at which the event loop runs them, so that the model's work
takes as long as in simulated time. A probe measures the lateness of the event loop.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ...net.event_loop import EventLoop, ScheduledCall
from ..model.kernel import Kernel
from .run_records import Lateness

PROBE_INTERVAL_MS = 10.0
# events run this much before they are due, as the selector rounds its timeout up to whole milliseconds
EARLY_CALL_MS = 0.5


class LatenessProbe:
    """Measures how late an event loop runs its timers."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._lateness_ms: list[float] = []

    def start(self, at: float) -> None:
        """Start to measure at time `at` of the event loop, in milliseconds."""
        self._loop.call_at(at, lambda: self._measure(at))

    def _measure(self, due: float) -> None:
        lateness_ms = max(0.0, self._loop.now() - due)
        self._lateness_ms.append(lateness_ms)
        next_due = due + lateness_ms + PROBE_INTERVAL_MS
        self._loop.call_at(next_due, lambda: self._measure(next_due))

    def lateness(self) -> Lateness:
        """Return the measured lateness."""
        return Lateness.from_samples(self._lateness_ms)


class RealTimeKernel:
    """Runs a kernel on the clock of an event loop."""

    def __init__(self, loop: EventLoop, kernel: Kernel) -> None:
        self.loop = loop
        self.kernel = kernel
        self.started_at_ms = inf  # on the clock of the event loop; no model event runs before
        self.lateness_probe = LatenessProbe(loop)
        self._timer: ScheduledCall | None = None
        self._scheduled_for = inf

    def start(self, at: float) -> None:
        """Start the run at time `at` of the event loop, in milliseconds."""
        self.started_at_ms = at
        self.lateness_probe.start(at)
        self._set_timer(at)

    def now(self) -> float:
        """Return the time since the start of the run in milliseconds; 0 before it."""
        return max(0.0, self.loop.now() - self.started_at_ms)

    def run_synced(self, callback: Callable[[], None]) -> None:
        """Advance the model to the current time, run `callback`, and schedule the model's next event."""
        self.kernel.run(self.now())
        try:
            callback()
        finally:
            self._schedule_next()

    def _on_timer(self) -> None:
        self._scheduled_for = inf
        self._timer = None
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
