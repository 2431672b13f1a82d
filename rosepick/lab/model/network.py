"""Simulates message latencies between zones, lost connections and network partitions."""

from __future__ import annotations

from ..experiment_config import NetworkConfig
from .random_streams import UniformStream


class SimulatedNetwork:
    """The network between zones, which are given by their numbers."""

    def __init__(self, config: NetworkConfig, seed: int) -> None:
        self.config = config
        self._jitter_stream = UniformStream(seed, "network")
        self._break_stream = UniformStream(seed, "breaks")
        self._cut_counts: dict[frozenset[int], int] = {}

    def latency(self, source_zone: int, target_zone: int) -> float:
        """Draw the one-way latency of a message, in milliseconds."""
        base_ms = self.config.within_ms if source_zone == target_zone else self.config.across_ms
        return base_ms * (1.0 + self.config.jitter * (2.0 * self._jitter_stream() - 1.0))

    def draw_break(self) -> bool:
        """Draw whether an attempt that was sent loses its connection."""
        return self.config.breaks > 0 and self._break_stream() < self.config.breaks

    def set_cut(self, first_zone: int, second_zone: int, active: bool) -> None:
        """Add or remove a partition between two zones; overlapping partitions are counted."""
        pair = frozenset((first_zone, second_zone))
        count = self._cut_counts.get(pair, 0) + (1 if active else -1)
        if count > 0:
            self._cut_counts[pair] = count
        else:
            self._cut_counts.pop(pair, None)

    def is_connected(self, source_zone: int, target_zone: int) -> bool:
        """Return whether messages pass between two zones."""
        return not self._cut_counts or frozenset((source_zone, target_zone)) not in self._cut_counts
