"""How long connections to next hops are kept idle, where next hops hold only a limited number of them.

Nobody says how many a next hop holds, nor how many other routers have one there. It shows: a connection that
is opened and whose first request is turned away found no place. What takes the places is mostly idle, as many
routers that see little traffic each keep connections that they hardly use again. So the time for which idle
ones are kept falls with each that is turned away, and grows with each that is let in. Both do so by a part of
the time, so that it rests where a certain share is turned away (one in 18), whatever the traffic: by a sum, a
router with one request a second would need minutes. All routers do the same and share without a word.

Multiplicative increase and decrease keep the shares that routers begin with (Chiu and Jain, 1989); they begin
alike here, which is what is wanted.
"""

from __future__ import annotations

DECREASE_FACTOR = 0.6
INCREASE_FACTOR = 1.03
MIN_KEEP_ALIVE_MS = 100.0  # milliseconds; a retry or the fetch behind a miss may still find it open
# up to so many begin with all of the time that next hops allow, more with a part of it
ROUTERS_WITH_FULL_KEEP_ALIVE = 16


class KeepAliveController:
    """The time for one kind of next hop."""

    def __init__(self, max_keep_alive_ms: float, router_count: int) -> None:
        """`max_keep_alive_ms`: milliseconds, the most that next hops allow. `router_count`: how many there
        are in all.
        """
        self.max_keep_alive_ms = max(MIN_KEEP_ALIVE_MS, max_keep_alive_ms)
        self.keep_alive_ms = max(
            MIN_KEEP_ALIVE_MS,
            self.max_keep_alive_ms * min(1.0, ROUTERS_WITH_FULL_KEEP_ALIVE / max(1, router_count)),
        )

    def set_max_keep_alive(self, max_keep_alive_ms: float) -> None:
        """Another bound."""
        self.max_keep_alive_ms = max(MIN_KEEP_ALIVE_MS, max_keep_alive_ms)
        self.keep_alive_ms = min(self.keep_alive_ms, self.max_keep_alive_ms)

    def record_accepted(self) -> None:
        """A new connection was let in."""
        self.keep_alive_ms = min(self.max_keep_alive_ms, self.keep_alive_ms * INCREASE_FACTOR)

    def record_rejected(self) -> None:
        """A new connection found no place."""
        self.keep_alive_ms = max(MIN_KEEP_ALIVE_MS, self.keep_alive_ms * DECREASE_FACTOR)
