"""Fault-injection test of drains on simulated processes.

Agents and their drivers are the production code; members are simulated, and operators issue random orders.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from ...consensus.proposer import OperationOutcome, OutcomeKind, RegisterChange
from ...coordination.agent_driver import AgentDriver
from ...coordination.agent_driver_config import AGENT_OPERATION_TIMEOUT_MS, AgentDriverConfig
from ...fleet import drain_requests, fleet_state
from ...fleet.agent import Agent, AgentPolicy
from ...fleet.disruption_budget import DisruptionBudget, Limit
from ...fleet.failure_detector import FailureDetectorPolicy
from ...fleet.fleet_state import MemberKind, MemberPhase
from ...fleet.rollout_leader import RolloutPolicy
from ...leases.fencing import FencingGuard
from ...leases.lease_client import LeaseConfig
from . import drain_invariants, invariants
from .fault_plan import Fault, FaultName
from .history import OperatorOrderAccepted
from .invariants import InvariantReport, Violation
from .simulated_lease_client import SimulatedLeaseClient
from .simulated_leases import CLIENTS_START_AT_S, SimulatedCluster
from .simulated_member import INITIAL_STARTS_UNTIL_S, InMemoryAgentState, MemberObserver, SimulatedMember
from .simulation import SimulationConfig

GROUP = "drill"
ZONES = ("east", "west")
MEMBER_LIMIT = Limit(most=2, zone_most=1, share=1.0, zone_share=1.0, stay=1)
BUDGET = DisruptionBudget(
    routers=MEMBER_LIMIT,
    caches=MEMBER_LIMIT,
    anti_affinity_groups={"rack": ("c0", "c5")},
    unplanned_allowance=1,
)
AGENT_POLICY = AgentPolicy(poll_interval_ms=400.0, partition_timeout_ms=5_000.0, min_serving_ms=600.0)
FAILURE_DETECTOR_POLICY = FailureDetectorPolicy(report_timeout_ms=5_000.0)
HEARTBEAT_INTERVAL_MS = 1_200.0
ORDER_INTERVAL_S = 1.3  # mean time between orders
REJOIN_TIMEOUT_S = 30.0  # from the last fault until all members are in service
OPERATION_TIMEOUT_MS = 3_000.0
FORCED_DRAIN_WINDOW_S = 20.0  # time after an immediate drain in which its member may exceed the budget
EVICTION_TIME_MS = 4_000.0  # until an evicted member is reinstated
REINSTATEMENT_DELAY_S = 6.0  # until all agents count a reinstated member again
FIRST_FAULT_AT_S = 1.5
FINAL_DRAIN_CANCELS_S = (0.0, 4.0, 8.0)  # repeated, as an earlier order may be accepted after the first
HALT_EFFECTIVE_S = 2.6  # divided by the rate of the slowest clock


class SimulatedAgent(SimulatedLeaseClient):
    """An agent and its member."""

    def __init__(self, cluster: SimulatedDrainCluster, name: str, clock_rate: float) -> None:
        super().__init__(cluster, name, clock_rate, [])
        number = int(name[1:])
        self.drain_cluster = cluster
        kind = MemberKind.ROUTER if number < (cluster.config.clients + 1) // 2 else MemberKind.CACHE
        self.member = self._create_member(cluster, name, kind, ZONES[number % len(ZONES)])
        self.disk = InMemoryAgentState()
        self.driver: AgentDriver | None = None

    def _create_member(
        self, cluster: SimulatedDrainCluster, name: str, kind: MemberKind, zone: str
    ) -> SimulatedMember:
        return SimulatedMember(cluster, name, kind, zone)

    def start(self) -> None:
        """Start the agent and, at the beginning of the test, its member."""
        super().start()
        if self.drain_cluster.now < INITIAL_STARTS_UNTIL_S:
            self.member.start()
        assert self.client is not None
        cluster = self.drain_cluster
        member = self.member
        agent = Agent(member.name, member.kind, member.zone, 1000, cluster.budget, AGENT_POLICY, self.disk)
        observer, rollout_policy = self._create_observer(agent)
        config = AgentDriverConfig(
            GROUP,
            LeaseConfig(cluster.config.lease_ttl_s * 1000.0, cluster.config.drift),
            FAILURE_DETECTOR_POLICY,
            HEARTBEAT_INTERVAL_MS,
            rollout_policy,
            lambda: cluster.now,
        )
        self.driver = AgentDriver(self.client, agent, observer, FencingGuard(self.disk.tokens), config)

    def _create_observer(self, _agent: Agent) -> tuple[MemberObserver, RolloutPolicy | None]:
        """Return the observer of the member, and the policy of rollouts that the agent leads, if any."""
        return MemberObserver(self.member), None


class SimulatedDrainCluster(SimulatedCluster):
    """A cluster with agents instead of lease clients, and an operator that issues random orders."""

    budget = BUDGET
    rejoin_timeout_s = REJOIN_TIMEOUT_S

    def __init__(self, config: SimulationConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.order_rng = random.Random(seed * 13 + 5)
        self.faults_stopped = False
        self.fault_injector.handlers.register(FaultName.MEMBER_CRASH, self._crash_member)
        self.fault_injector.handlers.register(FaultName.HOST_LOSS, self._lose_host)
        self.fault_injector.handlers.register(FaultName.WIPED_AGENT, self._wipe_agent)
        self.fault_injector.handlers.register(FaultName.AGENT_DISK, self._fill_disk)

    def _create_client(self, name: str, clock_rate: float) -> SimulatedLeaseClient:
        return SimulatedAgent(self, name, clock_rate)

    @property
    def agents(self) -> Mapping[str, SimulatedAgent]:
        """The agents by name."""
        return {name: client for name, client in self.clients.items() if isinstance(client, SimulatedAgent)}

    # -- faults

    def _crash_member(self, _number: int, fault: Fault) -> None:
        self.agents[fault.target[0]].member.crash()

    def _lose_host(self, number: int, fault: Fault) -> None:
        self.agents[fault.target[0]].member.crash()
        self.fault_injector.kill(number, fault)

    def _wipe_agent(self, number: int, fault: Fault) -> None:
        self.agents[fault.target[0]].disk = InMemoryAgentState()
        self.fault_injector.kill(number, fault)

    def _fill_disk(self, _number: int, fault: Fault) -> None:
        """Make writes to an agent's disk fail until the fault ends, also after a restart of the agent."""
        disk = self.agents[fault.target[0]].disk
        disk.active_write_faults += 1

        def end_fault() -> None:
            disk.active_write_faults -= 1

        self.schedule_in(fault.length, end_fault)

    # -- operator orders

    def _start_clients(self) -> None:
        super()._start_clients()
        self._issue_random_order()

    def _send_order(self, order: str, change: RegisterChange, names: tuple[str, ...] = ()) -> None:
        """Send an operator's order, and record it if the outcome shows that it was accepted."""
        client = self.operator.client
        assert client is not None

        def on_outcome(outcome: OperationOutcome) -> None:
            if outcome.kind is OutcomeKind.COMMITTED or (
                outcome.kind is OutcomeKind.UNCHANGED and order == "halt"
            ):
                self.record_event(OperatorOrderAccepted("operator", self.now, order, names))

        client.execute(fleet_state.fleet_state_key(GROUP), change, on_outcome, OPERATION_TIMEOUT_MS)

    def _issue_random_order(self) -> None:
        if self.faults_stopped:
            return
        rng = self.order_rng
        now = self.now
        names = rng.sample(list(self.agents), rng.choice((1, 1, 2, 3, len(self.agents) // 2)))
        draw = rng.random()
        if draw < 0.5:
            self._send_order(
                "out", drain_requests.request_drain(names, rng.choice("ab"), "patch", now), tuple(names)
            )
        elif draw < 0.8:
            self._send_order("in", drain_requests.cancel_drain(names, rng.choice("ab"), now), tuple(names))
        elif draw < 0.85:
            self._send_order("halt", fleet_state.halt_drains("operator", "drill", now))
        elif draw < 0.95:
            self._resume_drains()
        elif draw < 0.97:
            self._order_forced_drain(names[0])
        else:
            self._evict_member(names[0])
        self.operator.call_after(1000.0 * ORDER_INTERVAL_S * rng.uniform(0.3, 1.7), self._issue_random_order)

    def _resume_drains(self) -> None:
        """Resume drains; record the order before and after, as it may take effect at any time between."""
        self.record_event(OperatorOrderAccepted("operator", self.now, "resume"))
        client = self.operator.client
        assert client is not None

        def on_outcome(outcome: OperationOutcome) -> None:
            if outcome.kind in (OutcomeKind.COMMITTED, OutcomeKind.UNKNOWN):
                self.record_event(OperatorOrderAccepted("operator", self.now, "resume"))

        client.execute(
            fleet_state.fleet_state_key(GROUP),
            fleet_state.resume_drains("operator", "drill", self.now),
            on_outcome,
            OPERATION_TIMEOUT_MS,
        )

    def _order_forced_drain(self, name: str) -> None:
        member = self.agents[name].member
        member.exempt_from_budget = True
        self.schedule_in(FORCED_DRAIN_WINDOW_S, lambda: setattr(member, "exempt_from_budget", False))
        self._send_order(
            "now", drain_requests.request_drain([name], "a", "it dies", self.now, immediate=True), (name,)
        )

    def _evict_member(self, name: str) -> None:
        self.record_event(OperatorOrderAccepted("operator", self.now, "off", (name,)))
        self._send_order("written off", fleet_state.evict_member(name, "a", "drill", self.now), (name,))
        self.operator.call_after(EVICTION_TIME_MS, lambda: self._reinstate_member(name))

    def _reinstate_member(self, name: str) -> None:
        client = self.operator.client
        assert client is not None

        def on_outcome(outcome: OperationOutcome) -> None:
            if outcome.kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN):
                self._reinstate_member(name)
            else:
                self.schedule_in(
                    REINSTATEMENT_DELAY_S,
                    lambda: self.record_event(OperatorOrderAccepted("operator", self.now, "on", (name,))),
                )

        client.execute(
            fleet_state.fleet_state_key(GROUP),
            fleet_state.reinstate_member(name, "a", self.now),
            on_outcome,
            OPERATION_TIMEOUT_MS,
        )

    def _stop_faults(self) -> None:
        super()._stop_faults()
        self.faults_stopped = True
        for delay_s in FINAL_DRAIN_CANCELS_S:
            self.schedule_in(delay_s, self._cancel_all_drains)

    def _cancel_all_drains(self) -> None:
        """Cancel all drains, and retry until the order is accepted; a halt remains in force."""
        client = self.operator.client
        assert client is not None

        def on_outcome(outcome: OperationOutcome) -> None:
            if outcome.kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN):
                self._cancel_all_drains()

        client.execute(
            fleet_state.fleet_state_key(GROUP),
            drain_requests.cancel_drain(list(self.agents), "a", self.now),
            on_outcome,
            OPERATION_TIMEOUT_MS,
        )

    # -- running and final checks

    def run(self) -> InvariantReport:
        """Run the test and check its history."""
        self._bootstrap_quorum()
        self.schedule(CLIENTS_START_AT_S, None, self._start_clients)
        self._schedule_faults(FIRST_FAULT_AT_S)
        faults_stop_at = FIRST_FAULT_AT_S + self.plan.ends_at
        self.schedule(faults_stop_at, None, self._stop_faults)
        self.run_until(faults_stop_at + self.rejoin_timeout_s)
        self._record_open_operations()
        report = invariants.check_invariants(self.events)
        violations, counts = drain_invariants.check_invariants(self.events, self._bounds())
        report.violations += [*violations, *self._check_members_rejoined()]
        report.counts += counts
        self._count_injected_faults(report)
        return report

    def _bounds(self) -> drain_invariants.DrainBounds:
        """Return the budget, and the delays that hold for a process with the slowest clock."""
        slowest_clock = 1.0 - self.config.max_clock_skew
        failure_known_ms = (
            FAILURE_DETECTOR_POLICY.report_timeout_ms
            + HEARTBEAT_INTERVAL_MS
            + AGENT_OPERATION_TIMEOUT_MS
            + AGENT_POLICY.max_sweep_age_ms
            + AGENT_OPERATION_TIMEOUT_MS
        )
        failure_known_s = failure_known_ms / 1000.0 / slowest_clock
        return drain_invariants.DrainBounds(self.budget, failure_known_s, HALT_EFFECTIVE_S / slowest_clock)

    def _check_members_rejoined(self) -> list[Violation]:
        """Check that at the end no member holds a permit and every member serves."""
        violations = []
        for name, agent in self.agents.items():
            state = None if agent.driver is None else agent.driver.agent.fleet_state
            member = None if state is None else state.members.get(name)
            up = agent.member.is_serving
            if member is not None and member.phase == MemberPhase.IN and not member.permit and up:
                continue
            phase = "unknown"
            if member is not None:
                phase = f"{MemberPhase(member.phase).name.lower()}, permit {member.permit}"
            text = f"{name} is {phase}, {'up' if up else 'down'} at the end of the test"
            violations.append(Violation("ends", text))
        return violations


def run_drill(config: SimulationConfig, seed: int) -> InvariantReport:
    """Run the test with one seed."""
    return SimulatedDrainCluster(config, seed).run()
