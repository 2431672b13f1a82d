"""How long idle connections to upstreams are kept open, where an upstream holds a limited number of them.

Nobody reports how many connections an upstream holds, nor how many other routers have one there. It shows in
connections whose first request is rejected. Most connections that an upstream holds are idle, as many routers
with little traffic each keep connections that they hardly use again. So the keep-alive time falls with each
rejected connection and grows with each accepted one. Both are changes by a factor, so that it settles where a
certain share is rejected (one in 18), whatever the traffic: with a sum, a router with one request a second
would need minutes. All routers do the same and share without communication.

Multiplicative increase and decrease keep the shares that routers begin with (Chiu and Jain, 1989); they begin
with equal shares here, which is what is wanted.
"""

from __future__ import annotations

DECREASE_FACTOR = 0.6
INCREASE_FACTOR = 1.03
MIN_KEEP_ALIVE_MS = 100.0  # a retry, or the fetch behind a miss, may still find the connection open
# Up to so many routers begin with the longest time that upstreams allow, more of them with a part of it.
ROUTERS_WITH_FULL_KEEP_ALIVE = 16


class KeepAliveController:
    """The keep-alive time of one kind of upstream, milliseconds.

    Args:
        max_keep_alive_ms: the longest time that upstreams allow.
        router_count: how many routers there are in all.
    """

    def __init__(self, max_keep_alive_ms: float, router_count: int) -> None:
        self.max_keep_alive_ms = max(MIN_KEEP_ALIVE_MS, max_keep_alive_ms)
        initial_fraction = min(1.0, ROUTERS_WITH_FULL_KEEP_ALIVE / max(1, router_count))
        self.keep_alive_ms = max(MIN_KEEP_ALIVE_MS, self.max_keep_alive_ms * initial_fraction)

    def set_max_keep_alive(self, max_keep_alive_ms: float) -> None:
        """Change the longest time that upstreams allow."""
        self.max_keep_alive_ms = max(MIN_KEEP_ALIVE_MS, max_keep_alive_ms)
        self.keep_alive_ms = min(self.keep_alive_ms, self.max_keep_alive_ms)

    def record_accepted(self) -> None:
        """Record that the first request on a new connection was accepted."""
        self.keep_alive_ms = min(self.max_keep_alive_ms, self.keep_alive_ms * INCREASE_FACTOR)

    def record_rejected(self) -> None:
        """Record that the first request on a new connection was rejected for lack of a slot."""
        self.keep_alive_ms = max(MIN_KEEP_ALIVE_MS, self.keep_alive_ms * DECREASE_FACTOR)
