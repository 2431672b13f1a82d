"""When a router calls discovery. Times are milliseconds.

The endpoint list is current only while a call is open: discovery answers it as soon as something changes. A
router that waits between two calls goes on by a list of which it does not know whether it still holds. So the
first call is made at once, and so is nearly the next one after a failure. Calls that go on failing are spread
further, as turning them away costs a crowded service so much that it would answer nobody.
"""

from __future__ import annotations

import random
from math import inf

from . import api

# From a failure to the next call at most, by how many calls have failed in a row; half of it is drawn, so
# that routers do not call in step. Within 200 ms a watch counts as continued.
RETRY_DELAYS_MS = (150.0, 450.0, 900.0, 1_800.0)
MAX_RETRY_DELAY_MS = RETRY_DELAYS_MS[-1]
PUSHED_RETRY_DELAY_MS = RETRY_DELAYS_MS[
    0
]  # where lists are pushed, what the agent has counts as known at once
FAILURES_BEFORE_LOG = 5  # in a row, before operators are told


class DiscoveryCalls:
    """The calls to discovery of one router, and whether it watches."""

    def __init__(self, settings: api.RouterSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.is_subscribed = not settings.subscribe
        self.failures_in_a_row = 0
        self._is_open = False  # a call was made that has neither been answered nor failed
        self._next_call_at = -inf
        self._called_at = -inf

    def record_list(self) -> None:
        """Record that a list arrived from discovery, also from a watch that was not begun here."""
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
        is_lost = now > self._called_at + self.settings.rules.ask_every  # an answer that never came
        if self.is_subscribed or now < self._next_call_at or (self._is_open and not is_lost):
            return False
        self._is_open, self._called_at = True, now
        return True

    def is_failing(self) -> bool:
        """Return whether discovery has failed for several calls in a row."""
        return self.failures_in_a_row >= FAILURES_BEFORE_LOG
