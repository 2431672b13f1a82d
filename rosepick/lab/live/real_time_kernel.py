"""The model's kernel in real time: it is run up to now whenever the event loop has something for it.

Events see the time at which they were due, not at which the loop ran them, so that the model's work takes as
long as in simulated time. The lateness of the loop is measured.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ...net.event_loop import EventLoop, ScheduledCall
from ..model.kernel import Kernel
from .run_records import Lateness

PROBE_INTERVAL_MS = 10.0
EARLY_CALL_MS = 0.5  # events run so much early, as the selector waits for whole milliseconds, rounded up


class LatenessProbe:
    """Measures how late an event loop runs its timers."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._lateness_ms: list[float] = []

    def start(self, at: float) -> None:
        """Measure from a time of the loop on."""
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
        self.started_at_ms = inf  # on the loop's clock; the kernel stands still before
        self.lateness_probe = LatenessProbe(loop)
        self._timer: ScheduledCall | None = None
        self._scheduled_for = inf

    def start(self, at: float) -> None:
        """Begin the run at a time of the loop."""
        self.started_at_ms = at
        self.lateness_probe.start(at)
        self._set_timer(at)

    def now(self) -> float:
        """Return the time since the run's begin, in milliseconds."""
        return max(0.0, self.loop.now() - self.started_at_ms)

    def run_synced(self, callback: Callable[[], None]) -> None:
        """Bring the model up to now, call back, and schedule the model's next event."""
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
