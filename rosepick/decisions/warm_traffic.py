"""Counts the sends to warm cache nodes by zone; the budget of a cold node follows from them (rule 4).

The counts are updated with each change, so that reading them costs the same in any fleet. Times are
milliseconds.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .endpoint_state import EndpointState


@dataclass(slots=True)
class ZoneTraffic:
    """The warm cache nodes of a zone or of the whole fleet, and the sends to them."""

    nodes: int = 0
    weight: float = 0.0
    sends: int = 0  # in the window

    def add(self, weight: float, sends: int, sign: int) -> None:
        """Add (`sign` 1) or remove (`sign` -1) a node with its sends."""
        self.nodes += sign
        self.weight += sign * weight
        self.sends += sign * sends


class WarmTraffic:
    """Counts sends to warm cache nodes in a sliding window of time.

    Args:
        is_warm: returns whether an endpoint is a warm cache node at a time in ms.
    """

    def __init__(self, is_warm: Callable[[EndpointState, float], bool]) -> None:
        self.total = ZoneTraffic()
        self._is_warm = is_warm
        self._zones: dict[int, ZoneTraffic] = {}
        self._sends: deque[tuple[float, EndpointState]] = deque()
        # the zone and weight with which each warm node is counted
        self._counted: dict[EndpointState, tuple[int, float]] = {}
        self._warmup_ends: list[tuple[float, int, EndpointState]] = []  # a heap; the number breaks ties
        self._update_count = 0

    def zone(self, number: int) -> ZoneTraffic:
        """Return the traffic of a zone."""
        return self._zones.setdefault(number, ZoneTraffic())

    def record_send(self, now: float, server: EndpointState, window_ms: float) -> None:
        """Record a send to a cache node."""
        self.advance(now, window_ms)
        self._sends.append((now, server))
        server.window_sends += 1
        self._count_sends(server, 1)

    def update(self, server: EndpointState, now: float) -> None:
        """Update the counts for an endpoint whose status, health, warm-up, zone or weight may have changed.

        Args:
            server: the endpoint.
            now: the present time, in ms.
        """
        endpoint = server.endpoint
        before = self._counted.get(server)
        after = (endpoint.zone, endpoint.weight) if self._is_warm(server, now) else None
        if server.warmup_end > now:
            self._update_count += 1
            heapq.heappush(self._warmup_ends, (server.warmup_end, self._update_count, server))
        if before == after:
            return
        for counted, sign in ((before, -1), (after, 1)):
            if counted is not None:
                self.zone(counted[0]).add(counted[1], server.window_sends, sign)
                self.total.add(counted[1], server.window_sends, sign)
        if after is None:
            del self._counted[server]
        else:
            self._counted[server] = after

    def advance(self, now: float, window_ms: float) -> None:
        """Drop sends that are older than the window, and count nodes that have become warm."""
        while self._sends and self._sends[0][0] <= now - window_ms:
            server = self._sends.popleft()[1]
            server.window_sends -= 1
            self._count_sends(server, -1)
        while self._warmup_ends and self._warmup_ends[0][0] <= now:
            self.update(heapq.heappop(self._warmup_ends)[2], now)

    def _count_sends(self, server: EndpointState, change: int) -> None:
        counted = self._counted.get(server)
        if counted is not None:
            self.zone(counted[0]).sends += change
            self.total.sends += change
