"""Decides when a router calls discovery. Times are milliseconds.

The endpoint list is known to be current only while a call is open: discovery answers the call as soon as the
list changes. A router that waits between two calls uses a list that may be out of date. So the first call is
made at once, and the next one soon after a failure. The delay grows while calls keep failing, because
rejecting calls is so expensive for an overloaded discovery service that it would answer none.
"""

from __future__ import annotations

import random
from math import inf

from . import api

# Longest delay from a failure to the next call, by the number of consecutive failures. Half of the delay is
# random, so that routers do not call in step. A watch that is resumed within 200 ms counts as continued.
RETRY_DELAYS_MS = (150.0, 450.0, 900.0, 1_800.0)
MAX_RETRY_DELAY_MS = RETRY_DELAYS_MS[-1]
# Where lists are pushed, a router is expected to know at once what its agent has.
PUSHED_RETRY_DELAY_MS = RETRY_DELAYS_MS[0]
FAILURES_BEFORE_LOG = 5  # consecutive failures before a log line tells operators


class DiscoveryCalls:
    """Tracks one router's calls to discovery, and whether its watch is established."""

    def __init__(self, settings: api.RouterSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.is_subscribed = not settings.subscribe
        self.failures_in_a_row = 0
        self._is_open = False  # whether a call has neither been answered nor failed
        self._next_call_at = -inf
        self._called_at = -inf

    def record_list(self) -> None:
        """Record that a list arrived from discovery in time, even if no call was made here."""
        self.is_subscribed, self._is_open, self.failures_in_a_row = True, False, 0

    def record_failure(self, now: float) -> float:
        """Record that a call or the watch failed; return when the next call is due."""
        self.is_subscribed, self._is_open = not self.settings.subscribe, False
        self.failures_in_a_row += 1
        self._next_call_at = now + self._max_retry_delay_ms() * (0.5 + 0.5 * self.rng.random())
        return self._next_call_at

    def _max_retry_delay_ms(self) -> float:
        if self.settings.pushed:
            return PUSHED_RETRY_DELAY_MS
        return RETRY_DELAYS_MS[min(self.failures_in_a_row, len(RETRY_DELAYS_MS)) - 1]

    def begin_due_call(self, now: float) -> bool:
        """Return whether to call now, and record the call."""
        is_lost = now > self._called_at + self.settings.rules.ask_every  # its answer was lost
        if self.is_subscribed or now < self._next_call_at or (self._is_open and not is_lost):
            return False
        self._is_open, self._called_at = True, now
        return True

    def is_failing(self) -> bool:
        """Return whether discovery has failed for several calls in a row."""
        return self.failures_in_a_row >= FAILURES_BEFORE_LOG
