"""Drains on the simulated net: the agents' very driver and machine, members that are modelled, two crews
that order what they like, and the faults of every drill.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial

from ...consensus.proposer import OperationOutcome, OutcomeKind, RegisterChange
from ...coordination.agent_driver import AgentDriver
from ...coordination.agent_driver_config import AGENT_OPERATION_TIMEOUT_MS, AgentDriverConfig
from ...fleet import failure_detector as counting
from ...fleet import fleet_state as book
from ...fleet.agent import Agent, MemberAction, MemberStatus
from ...fleet.agent import AgentPolicy as AgentTerms
from ...fleet.disruption_budget import DisruptionBudget, Limit
from ...fleet.failure_detector import HealthReport
from ...fleet.fleet_state import MemberPhase
from ...fleet.rollout_leader import RolloutPolicy
from ...leases.fencing import FencingGuard
from ...leases.lease_client import LeaseConfig
from . import drain_invariants, invariants
from .fault_plan import Fault
from .history import AvailabilityChanged, OperatorOrderAccepted
from .invariants import InvariantReport, Violation
from .simulated_leases import InMemoryTokenStore, SimulatedCluster, SimulatedLeaseClient, SimulationConfig

GROUP = "drill"
ZONES = ("east", "west")
MEMBER_LIMIT = Limit(most=2, zone_most=1, share=1.0, zone_share=1.0, stay=1)
BUDGET = DisruptionBudget(
    routers=MEMBER_LIMIT,
    caches=MEMBER_LIMIT,
    anti_affinity_groups={"rack": ("c0", "c5")},
    unplanned_allowance=1,
)
AGENT_CONFIG = AgentTerms(poll_interval_ms=400.0, partition_timeout_ms=5_000.0, min_serving_ms=600.0)
FAILURE_DETECTOR_CONFIG = counting.FailureDetectorPolicy(report_timeout_ms=5_000.0)
HEARTBEAT_INTERVAL_MS = 1_200.0
ORDER_INTERVAL_S = 1.3  # seconds between two orders
REJOIN_DEADLINE_S = 30.0  # seconds within which all that is wanted in is in, without faults
SHUTDOWN_TIME_S, START_TIME_S = (
    (0.2, 1.2),
    (0.2, 0.8),
)  # seconds until a member that was told to end has, and until it serves
WARM_UP_TIME_S = (0.5, 2.5)  # seconds until a cache node is warm
START_FAILURE_PROBABILITY = 0.15  # of the starts end at once


class SimulatedMember:
    """What an agent looks after. It lives on when its agent dies."""

    def __init__(self, cluster: SimulatedDrainCluster, name: str, kind: book.MemberKind, zone: str) -> None:
        self.cluster, self.name, self.kind, self.zone = cluster, name, kind, zone
        self.incarnation = 0
        self.running = self.serving = self.draining = self.ending = False
        self.warm = True
        self.phase_started_at = 0.0  # of its draining, or of its last start
        self._reported_up: bool | None = None
        self.free = False

    def record_availability(self, cause: str) -> None:
        """Note it if it has gone out of service or come back."""
        up = self.running and self.serving and not self.draining and not self.ending and self.warm
        if up != self._reported_up or (not up and cause == "program"):
            self._reported_up = up
            kind = "routers" if self.kind is book.MemberKind.ROUTER else "caches"
            self.cluster.record_event(
                AvailabilityChanged(self.name, self.cluster.now, kind, self.zone, up, cause, self.free)
            )

    def start(self) -> None:
        """Start it, if it does not run."""
        if self.running:
            return
        self.incarnation += 1
        self.running, self.serving, self.draining, self.ending = True, False, False, False
        self.warm = self.kind is book.MemberKind.ROUTER or self.cluster.now < 1.0
        life, rng = self.incarnation, self.cluster.rng
        if rng.random() < START_FAILURE_PROBABILITY and self.cluster.now > 1.0:
            self.cluster.schedule_in(rng.uniform(*START_TIME_S), partial(self._exit, life, "fault"))
            return
        self.cluster.schedule_in(
            0.0 if self.cluster.now < 1.0 else rng.uniform(*START_TIME_S), partial(self._serve, life)
        )
        self.cluster.schedule_in(
            rng.uniform(*WARM_UP_TIME_S) + START_TIME_S[1], partial(self._finish_warm_up, life)
        )

    def _serve(self, life: int) -> None:
        if life == self.incarnation:
            self.serving = True
            self.record_availability("")

    def _finish_warm_up(self, life: int) -> None:
        if life == self.incarnation:
            self.warm = True
            self.record_availability("")

    def stop(self) -> None:
        """SIGTERM."""
        if self.running and not self.ending:
            self.ending = True
            self.record_availability("program")
            self.cluster.schedule_in(
                self.cluster.rng.uniform(*SHUTDOWN_TIME_S), partial(self._exit, self.incarnation, "program")
            )

    def _exit(self, life: int, cause: str) -> None:
        if life == self.incarnation:
            self.running = self.serving = self.draining = self.ending = False
            self.incarnation += 1
            self.record_availability(cause)

    def crash(self) -> None:
        """A fault ends it."""
        if self.running:
            self._exit(self.incarnation, "fault")

    def set_draining(self, draining: bool) -> None:
        """Take nothing new, or take it again."""
        if self.running and self.draining is not draining:
            self.draining, self.phase_started_at = draining, self.cluster.now
            self.record_availability("program" if draining else "")


class MemberObserver:
    """A member as one start of its agent sees it: a little late, as over a door."""

    def __init__(self, member: SimulatedMember) -> None:
        self._member = member

    def read_status(self) -> MemberStatus:
        """How it is."""
        one = self._member
        idle = one.draining and one.cluster.now - one.phase_started_at > 1.0
        up = one.running and one.serving and not one.draining and not one.ending
        return MemberStatus(one.running, up, one.draining, one.ending, idle, one.warm)

    def apply_action(self, action: MemberAction) -> None:
        """Start it, have it drain or not, stop it."""
        if action is MemberAction.START:
            self._member.start()
        elif action is MemberAction.STOP:
            self._member.stop()
        elif action in (MemberAction.DRAIN, MemberAction.UNDRAIN):
            self._member.set_draining(action is MemberAction.DRAIN)

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        """What is told of it."""
        own = self.read_status()
        return HealthReport(run_id, sequence, own.serving, own.warm, served=10.0 * own.serving)


class InMemoryAgentState:
    """What an agent keeps, in all its starts."""

    def __init__(self) -> None:
        self.at = (0, 0)
        self.tokens = InMemoryTokenStore()
        self._extra: dict[str, object] = {}

    def load(self) -> tuple[int, int]:
        """Where its member stands, and the permit."""
        return self.at

    def save(self, phase: int, permit: int) -> None:
        """Keep it."""
        self.at = phase, permit

    def get(self, name: str) -> object:
        """What was kept under a name."""
        return self._extra.get(name)

    def put(self, **more: object) -> None:
        """Keep it."""
        self._extra |= more


class SimulatedAgent(SimulatedLeaseClient):
    """An agent and its member."""

    def __init__(self, cluster: SimulatedDrainCluster, name: str, rate: float) -> None:
        super().__init__(cluster, name, rate, [])
        number = int(name[1:])
        self.drain_cluster = cluster
        kind = book.MemberKind.ROUTER if number < (cluster.config.clients + 1) // 2 else book.MemberKind.CACHE
        self.member = self._create_member(cluster, name, kind, ZONES[number % len(ZONES)])
        self.disk = InMemoryAgentState()  # its member's agent's
        self.driver: AgentDriver | None = None

    def _create_member(
        self, cluster: SimulatedDrainCluster, name: str, kind: book.MemberKind, zone: str
    ) -> SimulatedMember:
        return SimulatedMember(cluster, name, kind, zone)

    def start(self) -> None:
        super().start()
        if self.cluster.now < 1.0:
            self.member.start()
        assert self.client is not None
        member, disk = self.member, self.disk
        machine = Agent(
            member.name, member.kind, member.zone, 1000, self.drain_cluster.budget, AGENT_CONFIG, disk
        )
        terms = LeaseConfig(self.cluster.config.lease_ttl_s * 1000.0, self.cluster.config.drift)
        guard = FencingGuard(disk.tokens)
        eyes, plan = self._create_observer(machine)
        wall = partial(getattr, self.cluster, "now")
        self.driver = AgentDriver(
            self.client,
            machine,
            eyes,
            guard,
            AgentDriverConfig(GROUP, terms, FAILURE_DETECTOR_CONFIG, HEARTBEAT_INTERVAL_MS, plan, wall),
        )

    def _create_observer(self, machine: Agent) -> tuple[MemberObserver, RolloutPolicy | None]:
        """How it sees its member, and how it would lead releases."""
        return MemberObserver(self.member), None


class SimulatedDrainCluster(SimulatedCluster):
    """Agents in the place of contenders, and an operator who orders."""

    budget = BUDGET
    rejoin_deadline_s = REJOIN_DEADLINE_S

    def __init__(self, config: SimulationConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.orders = random.Random(seed * 13 + 5)
        self.faults_stopped = False
        self.operations: Counter[str] = Counter()

    def _create_client(self, name: str, rate: float) -> SimulatedLeaseClient:
        return SimulatedAgent(self, name, rate)

    @property
    def agents(self) -> Mapping[str, SimulatedAgent]:
        """By name."""
        return {name: one for name, one in self.clients.items() if isinstance(one, SimulatedAgent)}

    def schedule_in(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call after so many seconds, whatever process lives."""
        self.schedule(self.now + delay_s, None, callback)

    # -- faults

    def _member(self, number: int, fault: Fault) -> None:
        self.agents[fault.target[0]].member.crash()

    def _host(self, number: int, fault: Fault) -> None:
        self.agents[fault.target[0]].member.crash()
        self._kill(number, fault)

    def _wiped(self, number: int, fault: Fault) -> None:
        self.agents[fault.target[0]].disk = InMemoryAgentState()
        self._kill(number, fault)

    # -- orders

    def _start_clients(self) -> None:
        super()._start_clients()
        self._issue_random_order()

    def _send_order(self, order: str, change: RegisterChange, names: tuple[str, ...] = ()) -> None:
        """An operator's order; what is not known to be taken is not noted."""
        client = self.operator.client
        assert client is not None

        def done(outcome: OperationOutcome) -> None:
            if outcome.kind is OutcomeKind.COMMITTED or (
                outcome.kind is OutcomeKind.UNCHANGED and order == "halt"
            ):
                self.record_event(OperatorOrderAccepted("operator", self.now, order, names))

        client.execute(book.fleet_state_key(GROUP), change, done, 3_000.0)

    def _issue_random_order(self) -> None:
        if self.faults_stopped:
            return
        rng, now = self.orders, self.now
        names = rng.sample(list(self.agents), rng.choice((1, 1, 2, 3, len(self.agents) // 2)))
        draw = rng.random()
        if draw < 0.5:
            self._send_order("out", book.request_drain(names, rng.choice("ab"), "patch", now), tuple(names))
        elif draw < 0.8:
            self._send_order("in", book.cancel_drain(names, rng.choice("ab"), now), tuple(names))
        elif draw < 0.85:
            self._send_order("halt", book.halt_drains("operator", "drill", now))
        elif draw < 0.95:
            self._resume_drains()
        elif draw < 0.97:
            self._order_forced_drain(names[0])
        else:
            self._evict_member(names[0])
        self.operator.call_after(1000.0 * ORDER_INTERVAL_S * rng.uniform(0.3, 1.7), self._issue_random_order)

    def _resume_drains(self) -> None:
        # from the asking on things may go out again
        self.record_event(OperatorOrderAccepted("operator", self.now, "resume"))
        client = self.operator.client
        assert client is not None

        def done(outcome: OperationOutcome) -> None:
            if outcome.kind in (
                OutcomeKind.COMMITTED,
                OutcomeKind.UNKNOWN,
            ):  # taken after a later halt, maybe
                self.record_event(OperatorOrderAccepted("operator", self.now, "resume"))

        client.execute(
            book.fleet_state_key(GROUP), book.resume_drains("operator", "drill", self.now), done, 3_000.0
        )

    def _order_forced_drain(self, name: str) -> None:
        member = self.agents[name].member
        member.free = True
        self.schedule_in(20.0, lambda: setattr(member, "free", False))
        self._send_order("now", book.request_drain([name], "a", "it dies", self.now, immediate=True), (name,))

    def _evict_member(self, name: str) -> None:
        self.record_event(OperatorOrderAccepted("operator", self.now, "off", (name,)))
        self._send_order("written off", book.evict_member(name, "a", "drill", self.now), (name,))
        self.operator.call_after(4_000.0, lambda: self._reinstate_member(name))

    def _reinstate_member(self, name: str) -> None:
        client = self.operator.client
        assert client is not None

        def done(outcome: OperationOutcome) -> None:
            if outcome.kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN):
                self._reinstate_member(name)
            else:
                self.schedule_in(
                    6.0, lambda: self.record_event(OperatorOrderAccepted("operator", self.now, "on", (name,)))
                )

        client.execute(book.fleet_state_key(GROUP), book.reinstate_member(name, "a", self.now), done, 3_000.0)

    def _stop_faults(self) -> None:
        super()._stop_faults()
        self.faults_stopped = True
        for seconds in (0.0, 4.0, 8.0):  # an order from before may be taken after the first of these
            self.schedule_in(seconds, self._cancel_all_drains)

    def _cancel_all_drains(self) -> None:
        """At the end all are wanted in, until that is taken; the halt stays, if there is one."""
        client = self.operator.client
        assert client is not None

        def done(outcome: OperationOutcome) -> None:
            if outcome.kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN):
                self._cancel_all_drains()

        client.execute(
            book.fleet_state_key(GROUP), book.cancel_drain(list(self.agents), "a", self.now), done, 3_000.0
        )

    # -- the end

    def run(self) -> InvariantReport:
        self._bootstrap_quorum()
        self.schedule(0.1, None, self._start_clients)
        for number, fault in enumerate(self.plan.faults):
            self.schedule(1.5 + fault.at, None, partial(self._inject, number, fault))
        calm = 1.5 + self.plan.ends_at
        self.schedule(calm, None, self._stop_faults)
        self._run_until(calm + self.rejoin_deadline_s)
        for process in (self.operator, *self.clients.values()):
            process.record_open_operations()
        verdict = invariants.check_invariants(self.events)
        known = (
            (
                FAILURE_DETECTOR_CONFIG.report_timeout_ms
                + HEARTBEAT_INTERVAL_MS
                + AGENT_OPERATION_TIMEOUT_MS
                + AGENT_CONFIG.max_sweep_age_ms
                + AGENT_OPERATION_TIMEOUT_MS
            )
            / 1000.0
            / (1.0 - self.config.max_clock_skew)
        )
        bounds = drain_invariants.DrainBounds(self.budget, known, 2.6 / (1.0 - self.config.max_clock_skew))
        broken, counts = drain_invariants.check_invariants(self.events, bounds)
        verdict.violations += [*broken, *self._check_members_rejoined()]
        verdict.counts += counts
        for kind, count in self.injected_counts.items():
            verdict.counts[f"fault {kind}"] += count
        return verdict

    def _check_members_rejoined(self) -> list[Violation]:
        """Every permit has ended, and every member is in service."""
        found = []
        for name, one in self.agents.items():
            member, driver = one.member, one.driver
            ledger = None if driver is None else driver.agent.fleet_state
            mine = None if ledger is None else ledger.members.get(name)
            up = member.running and member.serving and not member.draining and not member.ending
            if mine is None or mine.phase != MemberPhase.IN or mine.permit or not up:
                stood = (
                    "unknown"
                    if mine is None
                    else f"{MemberPhase(mine.phase).name.lower()}, permit {mine.permit}"
                )
                found.append(
                    Violation(
                        "ends", f"{name} is {stood}, {'up' if up else 'down'}, long after the last fault"
                    )
                )
        return found


def run_drill(shape: SimulationConfig, seed: int) -> InvariantReport:
    """One seed."""
    return SimulatedDrainCluster(shape, seed).run()
