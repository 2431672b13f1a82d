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
PRIOR_ASKS = 1.0  # what is believed before anything was seen counts as so many asks ...
PRIOR_WAIT = 500.0  # ... each after so many milliseconds
FORGET_AFTER = 2_000.0  # milliseconds: the time constant


class Standing(Generic[T]):
    """The connections of one kind, the longest standing first."""

    __slots__ = ("_asks", "_at", "_since", "_stood")

    def __init__(self, now: float) -> None:
        self._since: OrderedDict[T, float] = OrderedDict()
        self._asks = 0.0  # decayed
        self._stood = 0.0  # milliseconds of all of them together, decayed, up to `_at`
        self._at = now

    def __len__(self) -> int:
        return len(self._since)

    def __iter__(self) -> Iterator[T]:
        return iter(self._since)

    def enter(self, conn: T, now: float) -> None:
        """One stands from now on."""
        self._stand(now)
        self._since[conn] = now

    def leave(self, conn: T, now: float, asks: bool) -> None:
        """One stands no more: it asks, or it is closed."""
        self._stand(now)
        del self._since[conn]
        self._asks += asks

    def wait(self, now: float) -> float:
        """How long one is expected to stand until it asks, in milliseconds."""
        self._stand(now)
        return (PRIOR_ASKS * PRIOR_WAIT + self._stood) / (PRIOR_ASKS + self._asks)

    def items(self) -> Iterable[tuple[T, float]]:
        """Each, and since when it stands."""
        return self._since.items()

    def forget(self, span: float) -> None:
        """So many milliseconds have passed: what was seen before counts less."""
        kept = max(0.0, 1.0 - span / FORGET_AFTER)
        self._asks *= kept
        self._stood *= kept

    def _stand(self, now: float) -> None:
        self._stood += len(self._since) * (now - self._at)
        self._at = now
