"""The interface of the event loop's clock and timers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class TimerHandle(Protocol):
    """A handle of a timer that was set."""

    def cancel(self) -> None:
        """Cancel the timer; no effect on one that has fired."""


class Clock(Protocol):
    """A monotonic clock with timers."""

    def now(self) -> float:
        """Return the time in milliseconds; it never goes backwards."""

    def call_at(self, at_ms: float, callback: Callable[[], None], run_first: bool = False) -> TimerHandle:
        """Call `callback` at `at_ms` or soon after; with `run_first` before other timers of that time."""
