"""Scheduler of TLS handshakes."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator

from ..connections.accept_throttle import HandshakeThrottle
from .event_loop import EventLoop, ScheduledCall


class HandshakeScheduler:
    """Limits the share of CPU time for handshakes, because a burst of them would delay responses."""

    def __init__(
        self, loop: EventLoop, cpu_fraction: float, cpu_clock: Callable[[], float] = time.thread_time
    ) -> None:
        self.loop = loop
        self._cpu_clock = cpu_clock
        self.throttle = HandshakeThrottle(cpu_fraction, loop.now())
        self._timer: ScheduledCall | None = None

    def try_begin(self, resume: Callable[[], None]) -> bool:
        """Return whether a handshake may start now; otherwise `resume` is called once it may."""
        if self.throttle.may_proceed(self.loop.now()):
            return True
        self.throttle.enqueue(resume)
        self._schedule_next()
        return False

    @contextlib.contextmanager
    def measure_cpu(self) -> Iterator[None]:
        """Count the CPU time of the block as that of handshakes."""
        started_at = self._cpu_clock()
        try:
            yield
        finally:
            self.throttle.charge_cpu(1000.0 * (self._cpu_clock() - started_at))

    def _schedule_next(self) -> None:
        delay_ms = self.throttle.next_delay_ms()
        if delay_ms is not None and self._timer is None:
            self._timer = self.loop.call_after(delay_ms, self._resume_waiting)

    def _resume_waiting(self) -> None:
        self._timer = None
        while (resume := self.throttle.pop_ready(self.loop.now())) is not None:
            resume()
        self._schedule_next()
