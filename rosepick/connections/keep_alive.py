"""Adaptive keep-alive time of idle connections to upstreams, which accept a limited number of connections.

Upstreams do not report their connection limit or how many connections other routers have. An upstream at its
limit rejects the first request of a new connection. Most of its connections are idle, because many routers
with little traffic keep connections that they rarely reuse. Therefore the keep-alive time decreases with each
rejected connection and increases with each accepted one. Both changes are multiplicative, so that at any
traffic the keep-alive time settles where one connection in 18 is rejected. With additive changes, a router
with one request per second would need minutes to settle. All routers follow the same rule, so they share the
limit without communication.

Multiplicative increase and decrease preserve the initial shares of the routers (Chiu and Jain, 1989). The
routers start with equal shares.
"""

from __future__ import annotations

DECREASE_FACTOR = 0.6
INCREASE_FACTOR = 1.03
MIN_KEEP_ALIVE_MS = 100.0  # long enough for a retry, or a fetch after a miss, to reuse the connection
# Up to this many routers start with the maximum keep-alive time; more routers start with a fraction of it.
ROUTERS_WITH_FULL_KEEP_ALIVE = 16


class KeepAliveController:
    """Controls the keep-alive time of one kind of upstream, in milliseconds.

    Args:
        max_keep_alive_ms: the maximum keep-alive time.
        router_count: the total number of routers.
    """

    def __init__(self, max_keep_alive_ms: float, router_count: int) -> None:
        self.max_keep_alive_ms = max(MIN_KEEP_ALIVE_MS, max_keep_alive_ms)
        initial_fraction = min(1.0, ROUTERS_WITH_FULL_KEEP_ALIVE / max(1, router_count))
        self.keep_alive_ms = max(MIN_KEEP_ALIVE_MS, self.max_keep_alive_ms * initial_fraction)

    def set_max_keep_alive(self, max_keep_alive_ms: float) -> None:
        """Change the maximum keep-alive time."""
        self.max_keep_alive_ms = max(MIN_KEEP_ALIVE_MS, max_keep_alive_ms)
        self.keep_alive_ms = min(self.keep_alive_ms, self.max_keep_alive_ms)

    def record_accepted(self) -> None:
        """Record that the first request on a new connection was accepted."""
        self.keep_alive_ms = min(self.max_keep_alive_ms, self.keep_alive_ms * INCREASE_FACTOR)

    def record_rejected(self) -> None:
        """Record that the first request on a new connection was rejected at the connection limit."""
        self.keep_alive_ms = max(MIN_KEEP_ALIVE_MS, self.keep_alive_ms * DECREASE_FACTOR)
