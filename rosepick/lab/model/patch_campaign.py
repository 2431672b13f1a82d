"""Every cache node's host is patched once: it drains, ends, and starts again cold. Who goes when is a
matter of manner:

alone    each crew by itself, at a random time
one      the next when the one before is up again
fixed    so many at a time, each next one when one is up again
agreed   by permits (`rosepick.fleet`): out until warm, in zones, and as the store has room
"""

from __future__ import annotations

import random
from functools import partial

from ...decisions.api import Status
from ...fleet import disruption_budget as budgets
from ...fleet import failure_detector
from ...fleet.fleet_state import DrainRequest, FleetMember, FleetState, MemberKind, MemberPhase
from ..experiment import FaultConfig
from ..results import FaultSpan
from .nodes import SimulatedCacheNode
from .simulation import Simulation

DRAIN_TIME_MS = 1_500.0  # milliseconds that a node drains
POLL_INTERVAL_MS = 500.0
WARM_CAPACITY_SHARE = 0.9  # of its capacity


class PatchCampaign:
    """One campaign over all cache nodes."""

    def __init__(self, simulation: Simulation, fault: FaultConfig) -> None:
        self.simulation, self.fault = simulation, fault
        self.nodes = {node.uid: node for node in simulation.cache_nodes()}
        self.pending = list(self.nodes)
        random.Random(f"{simulation.seed} patch").shuffle(self.pending)
        self.phases: dict[str, MemberPhase] = {}
        self.done: set[str] = set()
        self.max_out = 0
        self._started_at = simulation.kernel.time
        self._capacity_estimator = failure_detector.StoreCapacityEstimator(
            failure_detector.FailureDetectorPolicy()
        )
        share = fault.share
        limit = budgets.Limit(share=share, zone_share=min(1.0, 2.0 * share), stay=1)
        self._budget = budgets.DisruptionBudget(caches=limit)
        if fault.manner == "alone":
            draw = random.Random(f"{simulation.seed} alone")
            for uid in self.pending:
                simulation.kernel.call_after(
                    1000.0 * fault.last * draw.random(), partial(self._start_drain, uid)
                )
        self._advance()

    def _advance(self) -> None:
        """Go on, twice a second."""
        self._complete_warm_nodes()
        if self.fault.manner != "alone":
            while self.pending and self._may_start(self.pending[0]):
                self._start_drain(self.pending.pop(0))
        if len(self.done) == len(self.nodes):
            text = f"{len(self.done)} done, at most {self.max_out} out at once"
            now = self.simulation.kernel.time
            self.simulation.measure.spans.append(
                FaultSpan("patched", self._started_at / 1000.0, now / 1000.0, text)
            )
            return
        self.simulation.kernel.call_after(POLL_INTERVAL_MS, self._advance)

    def _may_start(self, uid: str) -> bool:
        if self.fault.manner == "agreed":
            return not budgets.blocking_reasons(self._fleet_state(uid), self._budget, uid, 0)
        out = sum(at is not MemberPhase.BACK for at in self.phases.values())
        return out < (1 if self.fault.manner == "one" else self.fault.most)

    def _fleet_state(self, uid: str) -> FleetState:
        """What the fleet's ledger would say: who is out, also by itself, and the store's room."""
        members = {}
        for name, node in self.nodes.items():
            lost = name not in self.phases and not self._is_warm(node)
            want = DrainRequest(1, "lab", "patch") if name == uid else None
            members[name] = FleetMember(
                int(MemberKind.CACHE),
                str(node.zone),
                phase=int(self.phases.get(name, 0)),
                lost=lost,
                drain_request=want,
            )
        return FleetState(
            members=members,
            capacity_permille=self._capacity_estimator.capacity_permille(
                self._health_reports(), self._budget.caches.max_out_overall(len(members))
            ),
        )

    def _health_reports(self) -> list[tuple[int, failure_detector.HealthReport]]:
        """What agents would report of the second before."""
        counts = self.simulation.measure.second_at(self.simulation.kernel.time - 1_000.0).counts
        up = [node for node in self.nodes.values() if node.machine.up]
        ends = [float(counts[name]) for name in ("in_time", "refused", "failed")]
        each = {name: counts[name] / max(1, len(up)) for name in ("hits", "misses")}
        router = failure_detector.HealthReport(1, 1, True, True, ends[0], ends[1], ends[2])
        cache = failure_detector.HealthReport(1, 1, True, True, hits=each["hits"], misses=each["misses"])
        return [(MemberKind.ROUTER, router), *((MemberKind.CACHE, cache) for _ in up)]

    def _is_warm(self, node: SimulatedCacheNode) -> bool:
        return node.machine.up and node.machine.warmth(self.simulation.kernel.time) >= WARM_CAPACITY_SHARE

    def _start_drain(self, uid: str) -> None:
        node = self.nodes[uid]
        self.phases[uid] = MemberPhase.LEAVING
        node.state = Status.DRAINING
        self._report_member(node)
        self.simulation.kernel.call_after(DRAIN_TIME_MS, partial(self._stop_node, uid))
        missing = [
            one for one in self.nodes.values() if one.state is not Status.READY or not self._is_warm(one)
        ]
        self.max_out = max(self.max_out, len(missing))

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
        """Those that are proven: warm; in the other manners whoever is up is done."""
        for uid, at in list(self.phases.items()):
            if at is MemberPhase.BACK and (self.fault.manner != "agreed" or self._is_warm(self.nodes[uid])):
                del self.phases[uid]
                self.done.add(uid)
