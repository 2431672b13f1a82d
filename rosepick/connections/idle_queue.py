"""Queue of idle connections of one kind, with an estimate of their idle time.

The request rate is a maximum likelihood estimate for censored waiting times: the number of requests divided
by the idle time of all connections, both decayed with a time constant. The idle time of a connection counts
from its start, even if no request ever arrives, and until the close if the router closes it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
PRIOR_REQUESTS = 1.0  # number of requests in the prior
PRIOR_IDLE_MS = 500.0  # idle time before each request of the prior
IDLE_DECAY_TIME_CONSTANT_MS = 2_000.0


class IdleQueue(Generic[T]):
    """The idle connections of one kind, the longest idle first. Times are milliseconds."""

    __slots__ = ("_accrued_until", "_idle_ms", "_requests", "_since")

    def __init__(self, now: float) -> None:
        self._since: OrderedDict[T, float] = OrderedDict()
        self._requests = 0.0  # decayed
        self._idle_ms = 0.0  # sum over all connections up to `_accrued_until`, decayed
        self._accrued_until = now

    def __len__(self) -> int:
        """Return how many connections are idle."""
        return len(self._since)

    def __iter__(self) -> Iterator[T]:
        """Iterate over the connections, the longest idle first."""
        return iter(self._since)

    def add(self, connection: T, now: float) -> None:
        """Add a connection that becomes idle at `now`."""
        self._accrue_idle_time(now)
        self._since[connection] = now

    def remove(self, connection: T, now: float, for_request: bool) -> None:
        """Remove a connection that sent a request (`for_request`) or is closed."""
        self._accrue_idle_time(now)
        del self._since[connection]
        self._requests += for_request

    def expected_idle_ms(self, now: float) -> float:
        """Return the expected time, in milliseconds, until the next request of a connection."""
        self._accrue_idle_time(now)
        return (PRIOR_REQUESTS * PRIOR_IDLE_MS + self._idle_ms) / (PRIOR_REQUESTS + self._requests)

    def idle_since(self, before: float) -> Iterator[T]:
        """Yield the connections that became idle at or before `before`, the longest idle first."""
        for connection, since in self._since.items():
            if since > before:
                return
            yield connection

    def decay(self, elapsed_ms: float) -> None:
        """Reduce the weight of earlier observations after `elapsed_ms` milliseconds."""
        remaining_weight = max(0.0, 1.0 - elapsed_ms / IDLE_DECAY_TIME_CONSTANT_MS)
        self._requests *= remaining_weight
        self._idle_ms *= remaining_weight

    def _accrue_idle_time(self, now: float) -> None:
        self._idle_ms += len(self._since) * (now - self._accrued_until)
        self._accrued_until = now
