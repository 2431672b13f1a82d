"""Measurement of the turns of an event loop and of the longest callback in each.

Times are milliseconds.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from ..logs import log_event

logger = logging.getLogger(__name__)
LONG_TURN_MS = 50.0  # longer turns are logged
MAX_CALL_MS = 10.0  # bound for the duration of any callback; longer ones are counted and logged


def describe_callback(callback: Callable[..., object]) -> str:
    """Return the qualified name of a callback, for the log."""
    while isinstance(callback, partial):
        callback = callback.func
    return getattr(callback, "__qualname__", type(callback).__name__)


class LoopLoad:
    """Measures the turns of one event loop.

    Args:
        now: the current time.
    """

    __slots__ = (
        "_calls",
        "_longest",
        "_longest_ms",
        "_turn_began_at",
        "long_call_count",
        "longest_call_ms",
        "longest_turn_ms",
    )

    def __init__(self, now: float) -> None:
        self.longest_turn_ms = 0.0  # since the last `reset`
        self.longest_call_ms = 0.0  # since the last `reset`
        self.long_call_count = 0  # calls longer than `MAX_CALL_MS` since the start
        self._begin(now)

    def _begin(self, now: float) -> None:
        self._turn_began_at = now
        self._calls = 0
        self._longest: Callable[..., object] | None = None
        self._longest_ms = 0.0

    def record_call(self, callback: Callable[..., object], elapsed_ms: float) -> None:
        """Record that a callback ran for `elapsed_ms` milliseconds."""
        self._calls += 1
        if elapsed_ms > self._longest_ms:
            self._longest = callback
            self._longest_ms = elapsed_ms
        if elapsed_ms > MAX_CALL_MS:
            self.long_call_count += 1
            log_event(
                logger, logging.INFO, "long_call", call=describe_callback(callback), elapsed_ms=elapsed_ms
            )

    def end_turn(self, now: float, next_began_at: float) -> None:
        """Record the end of a turn.

        Args:
            now: the end of the turn, before the loop waits.
            next_began_at: the start of the next turn, after the wait.
        """
        turn_ms = now - self._turn_began_at
        self.longest_turn_ms = max(self.longest_turn_ms, turn_ms)
        self.longest_call_ms = max(self.longest_call_ms, self._longest_ms)
        if turn_ms > LONG_TURN_MS and self._longest is not None:
            log_event(
                logger,
                logging.WARNING,
                "event_loop_behind",
                turn_ms=turn_ms,
                calls=self._calls,
                longest_ms=self._longest_ms,
                longest=describe_callback(self._longest),
            )
        self._begin(next_began_at)

    def reset(self) -> None:
        """Reset the longest turn and call after they were reported."""
        self.longest_turn_ms = 0.0
        self.longest_call_ms = 0.0
