"""A rolling restart of all cache nodes, as for a patch of their hosts: each drains, stops and starts cold.

The fault's `manner` is the order:

alone    each node at a random time of its own
one      one node at a time; the next one drains once the node before is up again
fixed    a fixed number at a time; the next one drains once a node is up again
agreed   by the fleet's disruption budget (`rosepick.fleet`): a node counts as out until it is warm, nodes
         that are out are spread over zones, and nodes drain only while the stores have capacity
"""

from __future__ import annotations

import random
from functools import partial

from ...decisions.api import Status
from ...fleet import disruption_budget as budgets
from ...fleet import failure_detector
from ...fleet.fleet_state import DrainRequest, FleetMember, FleetState, MemberKind, MemberPhase
from ..experiment_config import FaultConfig
from ..results import FaultSpan
from .nodes import SimulatedCacheNode
from .simulation import Simulation

DRAIN_TIME_MS = 1_500.0  # time from the start of a node's drain to the end of its process
POLL_INTERVAL_MS = 500.0  # interval between checks whether another node may drain
HEALTH_REPORT_AGE_MS = 1_000.0  # age of the second that health reports describe
WARM_CAPACITY_SHARE = 0.9  # share of its capacity from which a node counts as warm


class PatchCampaign:
    """A patch campaign over all cache nodes that are ready when it starts."""

    def __init__(self, simulation: Simulation, fault: FaultConfig) -> None:
        self.simulation = simulation
        self.fault = fault
        self.nodes = {node.uid: node for node in simulation.cache_nodes()}
        self.pending = list(self.nodes)
        random.Random(f"{simulation.seed} patch").shuffle(self.pending)
        self.phases: dict[str, MemberPhase] = {}
        self.done: set[str] = set()
        self.max_out = 0
        self._started_at = simulation.kernel.time
        self._capacity_estimator = failure_detector.OriginCapacityEstimator(
            failure_detector.FailureDetectorPolicy()
        )
        zone_share = min(1.0, 2.0 * fault.share)
        limit = budgets.Limit(share=fault.share, zone_share=zone_share, stay=1)
        self._budget = budgets.DisruptionBudget(caches=limit)
        if fault.manner == "alone":
            rng = random.Random(f"{simulation.seed} alone")
            for uid in self.pending:
                delay_ms = 1000.0 * fault.last * rng.random()
                simulation.kernel.call_after(delay_ms, partial(self._start_drain, uid))
        self._advance()

    def _advance(self) -> None:
        """Complete nodes that are back, start further drains, and schedule the next poll."""
        self._complete_warm_nodes()
        if self.fault.manner != "alone":
            while self.pending and self._may_start(self.pending[0]):
                self._start_drain(self.pending.pop(0))
        if len(self.done) == len(self.nodes):
            self._record_end()
            return
        self.simulation.kernel.call_after(POLL_INTERVAL_MS, self._advance)

    def _record_end(self) -> None:
        text = f"{len(self.done)} done, at most {self.max_out} out at once"
        now = self.simulation.kernel.time
        span = FaultSpan("patched", self._started_at / 1000.0, now / 1000.0, text)
        self.simulation.measure.fault_spans.append(span)

    def _may_start(self, uid: str) -> bool:
        if self.fault.manner == "agreed":
            return not budgets.blocking_reasons(self._fleet_state(uid), self._budget, uid, 0)
        out_count = sum(phase is not MemberPhase.BACK for phase in self.phases.values())
        return out_count < (1 if self.fault.manner == "one" else self.fault.most)

    def _fleet_state(self, uid: str) -> FleetState:
        """Return the fleet state with a drain request of one node."""
        members: dict[str, FleetMember] = {}
        for name, node in self.nodes.items():
            is_lost = name not in self.phases and not self._is_warm(node)
            drain_request = DrainRequest(1, "lab", "patch") if name == uid else None
            members[name] = FleetMember(
                int(MemberKind.CACHE),
                str(node.zone),
                phase=int(self.phases.get(name, 0)),
                lost=is_lost,
                drain_request=drain_request,
            )
        max_out = self._budget.caches.max_out_overall(len(members))
        capacity_permille = self._capacity_estimator.capacity_permille(self._health_reports(), max_out)
        return FleetState(members=members, capacity_permille=capacity_permille)

    def _health_reports(self) -> list[tuple[int, failure_detector.HealthReport]]:
        """Return the health reports that agents would send about the second before.

        One report stands for all routers, and one for each cache node that is up.
        """
        reported_at = self.simulation.kernel.time - HEALTH_REPORT_AGE_MS
        counts = self.simulation.measure.second_at(reported_at).counts
        up_count = sum(node.machine.up for node in self.nodes.values())
        router = failure_detector.HealthReport(
            1, 1, True, True, float(counts["in_time"]), float(counts["refused"]), float(counts["failed"])
        )
        cache = failure_detector.HealthReport(
            1,
            1,
            True,
            True,
            hits=counts["hits"] / max(1, up_count),
            misses=counts["misses"] / max(1, up_count),
        )
        return [(MemberKind.ROUTER, router), *[(MemberKind.CACHE, cache)] * up_count]

    def _is_warm(self, node: SimulatedCacheNode) -> bool:
        return (
            node.machine.up
            and node.machine.capacity_share(self.simulation.kernel.time) >= WARM_CAPACITY_SHARE
        )

    def _start_drain(self, uid: str) -> None:
        node = self.nodes[uid]
        self.phases[uid] = MemberPhase.LEAVING
        node.state = Status.DRAINING
        self._report_member(node)
        self.simulation.kernel.call_after(DRAIN_TIME_MS, partial(self._stop_node, uid))
        out_count = sum(
            other.state is not Status.READY or not self._is_warm(other) for other in self.nodes.values()
        )
        self.max_out = max(self.max_out, out_count)

    def _stop_node(self, uid: str) -> None:
        self.phases[uid] = MemberPhase.OUT
        self.nodes[uid].stop()
        self.simulation.kernel.call_after(1000.0 * self.fault.down, partial(self._start_node, uid))

    def _start_node(self, uid: str) -> None:
        node = self.nodes[uid]
        self.phases[uid] = MemberPhase.BACK
        node.state = Status.READY
        if not node.machine.up:
            node.start()
        self._report_member(node)

    def _report_member(self, node: SimulatedCacheNode) -> None:
        self.simulation.discovery.report_change(node.member(self.simulation.start_time_of(node)))

    def _complete_warm_nodes(self) -> None:
        """Complete the nodes that are back and, if `manner` is `agreed`, warm."""
        must_be_warm = self.fault.manner == "agreed"
        for uid, phase in list(self.phases.items()):
            if phase is not MemberPhase.BACK:
                continue
            if not must_be_warm or self._is_warm(self.nodes[uid]):
                del self.phases[uid]
                self.done.add(uid)
