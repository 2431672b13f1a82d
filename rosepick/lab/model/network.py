"""Latencies between zones, and what cuts them."""

from __future__ import annotations

from ..experiment import NetworkConfig as Shape
from .random_streams import UniformStream


class SimulatedNetwork:
    """Who reaches whom, and how soon. Zones are numbers."""

    def __init__(self, config: Shape, seed: int) -> None:
        self.config = config
        self._jitter_stream = UniformStream(seed, "network")
        self._break_stream = UniformStream(seed, "breaks")
        self._cut_counts: dict[frozenset[int], int] = {}

    def latency(self, source_zone: int, target_zone: int) -> float:
        """Milliseconds for one message, one way."""
        usual = self.config.within_ms if source_zone == target_zone else self.config.across_ms
        return usual * (1.0 + self.config.jitter * (2.0 * self._jitter_stream() - 1.0))

    def draw_break(self) -> bool:
        """Whether this attempt loses its connection after it was sent."""
        return self.config.breaks > 0 and self._break_stream() < self.config.breaks

    def set_cut(self, first_zone: int, second_zone: int, active: bool) -> None:
        """Nothing passes between two zones from now on, or everything again. Cuts may lie over one
        another.
        """
        pair = frozenset((first_zone, second_zone))
        left = self._cut_counts.get(pair, 0) + (1 if active else -1)
        if left > 0:
            self._cut_counts[pair] = left
        else:
            self._cut_counts.pop(pair, None)

    def is_connected(self, source_zone: int, target_zone: int) -> bool:
        """Whether messages pass."""
        return not self._cut_counts or frozenset((source_zone, target_zone)) not in self._cut_counts
