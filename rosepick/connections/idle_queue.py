"""Connections that stand without a request, and how soon such a one asks.

The rate is a maximum likelihood estimate for waiting times that are still running (censored): asks over the
time that all of them stood, both forgotten with a time constant. A connection that never asks counts from its
first moment, and one that we close ourselves takes nothing away but the time it would have stood.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
PRIOR_REQUESTS = 1.0  # what is believed before anything was seen counts as so many asks ...
PRIOR_IDLE_MS = 500.0  # ... each after so many milliseconds
IDLE_DECAY_TIME_CONSTANT_MS = 2_000.0  # milliseconds: the time constant


class IdleQueue(Generic[T]):
    """The connections of one kind, the longest standing first."""

    __slots__ = ("_accrued_until", "_idle_ms", "_requests", "_since")

    def __init__(self, now: float) -> None:
        self._since: OrderedDict[T, float] = OrderedDict()
        self._requests = 0.0  # decayed
        self._idle_ms = 0.0  # milliseconds of all of them together, decayed, up to `_at`
        self._accrued_until = now

    def __len__(self) -> int:
        return len(self._since)

    def __iter__(self) -> Iterator[T]:
        return iter(self._since)

    def add(self, connection: T, now: float) -> None:
        """One stands from now on."""
        self._accrue_idle_time(now)
        self._since[connection] = now

    def remove(self, connection: T, now: float, for_request: bool) -> None:
        """One stands no more: it asks, or it is closed."""
        self._accrue_idle_time(now)
        del self._since[connection]
        self._requests += for_request

    def expected_idle_ms(self, now: float) -> float:
        """How long one is expected to stand until it asks, in milliseconds."""
        self._accrue_idle_time(now)
        return (PRIOR_REQUESTS * PRIOR_IDLE_MS + self._idle_ms) / (PRIOR_REQUESTS + self._requests)

    def items(self) -> Iterable[tuple[T, float]]:
        """Each, and since when it stands."""
        return self._since.items()

    def decay(self, elapsed_ms: float) -> None:
        """So many milliseconds have passed: what was seen before counts less."""
        kept = max(0.0, 1.0 - elapsed_ms / IDLE_DECAY_TIME_CONSTANT_MS)
        self._requests *= kept
        self._idle_ms *= kept

    def _accrue_idle_time(self, now: float) -> None:
        self._idle_ms += len(self._since) * (now - self._accrued_until)
        self._accrued_until = now
