"""Connections of one kind without a request, and how long one is expected to stay idle.

The rate of requests is a maximum likelihood estimate for waiting times that are still running (censored):
requests over the idle time of all connections, both decayed with a time constant. A connection that never
sends a request counts from its first moment, and one that the router closes counts for as long as it was
idle.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
PRIOR_REQUESTS = 1.0  # the prior: so many requests were observed ...
PRIOR_IDLE_MS = 500.0  # ... each after so long
IDLE_DECAY_TIME_CONSTANT_MS = 2_000.0


class IdleQueue(Generic[T]):
    """The idle connections of one kind, the longest idle first. Times are milliseconds."""

    __slots__ = ("_accrued_until", "_idle_ms", "_requests", "_since")

    def __init__(self, now: float) -> None:
        self._since: OrderedDict[T, float] = OrderedDict()
        self._requests = 0.0  # decayed
        self._idle_ms = 0.0  # of all connections together, decayed, up to `_accrued_until`
        self._accrued_until = now

    def __len__(self) -> int:
        """Return how many connections are idle."""
        return len(self._since)

    def __iter__(self) -> Iterator[T]:
        """Iterate over the connections, the longest idle first."""
        return iter(self._since)

    def add(self, connection: T, now: float) -> None:
        """Add a connection that is idle from now on."""
        self._accrue_idle_time(now)
        self._since[connection] = now

    def remove(self, connection: T, now: float, for_request: bool) -> None:
        """Remove a connection that sent a request (`for_request`) or is closed."""
        self._accrue_idle_time(now)
        del self._since[connection]
        self._requests += for_request

    def expected_idle_ms(self, now: float) -> float:
        """Return how long a connection is expected to stay idle until its next request."""
        self._accrue_idle_time(now)
        return (PRIOR_REQUESTS * PRIOR_IDLE_MS + self._idle_ms) / (PRIOR_REQUESTS + self._requests)

    def idle_since(self, before: float) -> Iterator[T]:
        """Yield the connections that are idle since `before` or longer, the longest idle first."""
        for connection, since in self._since.items():
            if since > before:
                return
            yield connection

    def decay(self, elapsed_ms: float) -> None:
        """Reduce the weight of earlier observations by the time that has passed."""
        remaining_weight = max(0.0, 1.0 - elapsed_ms / IDLE_DECAY_TIME_CONSTANT_MS)
        self._requests *= remaining_weight
        self._idle_ms *= remaining_weight

    def _accrue_idle_time(self, now: float) -> None:
        self._idle_ms += len(self._since) * (now - self._accrued_until)
        self._accrued_until = now
