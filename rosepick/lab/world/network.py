"""Latencies between zones, and what cuts them."""

from __future__ import annotations

from ..experiment import Network as Shape
from .draws import Uniform


class Network:
    """Who reaches whom, and how soon. Zones are numbers."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape = shape
        self._draw = Uniform(seed, "network")
        self._break = Uniform(seed, "breaks")
        self._cuts: dict[frozenset[int], int] = {}

    def latency(self, here: int, there: int) -> float:
        """Milliseconds for one message, one way."""
        usual = self.shape.within_ms if here == there else self.shape.across_ms
        return usual * (1.0 + self.shape.jitter * (2.0 * self._draw() - 1.0))

    def breaks(self) -> bool:
        """Whether this attempt loses its connection after it was sent."""
        return self.shape.breaks > 0 and self._break() < self.shape.breaks

    def cut(self, here: int, there: int, on: bool) -> None:
        """Nothing passes between two zones from now on, or everything again. Cuts may lie over one
        another.
        """
        pair = frozenset((here, there))
        left = self._cuts.get(pair, 0) + (1 if on else -1)
        if left > 0:
            self._cuts[pair] = left
        else:
            self._cuts.pop(pair, None)

    def passes(self, here: int, there: int) -> bool:
        """Whether messages pass."""
        return not self._cuts or frozenset((here, there)) not in self._cuts
