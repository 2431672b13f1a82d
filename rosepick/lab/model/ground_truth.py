"""The actual state of the simulated fleet, which routers cannot observe, for the oracle policy."""

from __future__ import annotations

from math import inf

from .nodes import SimulatedCacheNode
from .simulation import Simulation

COLD_BUDGET_RESERVE = 2.0  # reads for which a cold node must have budget left to get another one


class FleetGroundTruth:
    """The actual state of all nodes of a simulation."""

    def __init__(self, simulation: Simulation, work_ms: float) -> None:
        """Read from a simulation.

        `work_ms` is the mean work of a read, in milliseconds on a core of speed 1.
        """
        self.simulation = simulation
        self.work_ms = work_ms

    def expected_latency_ms(self, endpoint_id: int, _key: int, now: float) -> float:
        """Return the expected milliseconds of a read's work at a node; inf if the node cannot do it."""
        node = self.simulation.nodes.get(endpoint_id)
        if node is None or node.silent or not node.machine.up:
            return inf
        return node.machine.expected_ms(self.work_ms, now)

    def holds_key(self, endpoint_id: int, key: int) -> bool:
        """Return whether a node's store holds a key."""
        node = self.simulation.nodes.get(endpoint_id)
        return isinstance(node, SimulatedCacheNode) and node.memory.holds(key, self.simulation.kernel.time)

    def accepts_cold_request(self, endpoint_id: int, now: float) -> bool:
        """Return whether a cold node has budget for one more read."""
        node = self.simulation.nodes.get(endpoint_id)
        if node is None:
            return False
        return node.machine.cold_budget_ms(now) > COLD_BUDGET_RESERVE * self.work_ms
