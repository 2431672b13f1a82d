"""Simulated fault-injection tests of releases.

Drivers and state machines of the agents are the production code. Versions are good or have a fault of some
kind; an operator starts, pauses, resumes and rolls back rollouts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import replace
from functools import partial

from ...consensus.proposer import OperationOutcome, OutcomeKind, RegisterChange
from ...fleet import drain_requests, fleet_state, rollout_state
from ...fleet.agent import Agent, MemberStatus
from ...fleet.deployer import ArtifactStatus, Deployer, DeployPolicy, FailureCause
from ...fleet.disruption_budget import DisruptionBudget, Limit
from ...fleet.failure_detector import HealthReport
from ...fleet.fleet_state import MemberKind
from ...fleet.rollout_leader import RolloutPolicy
from ...fleet.rollout_state import BUILD, Artifact, RolloutPhase, RolloutState
from . import release_invariants
from .history import VersionStarted
from .invariants import InvariantReport
from .release_versions import (
    GOOD_VERSION,
    INITIAL_VERSION,
    WAVES_TO_DETECT,
    count_decisions,
    has_fault,
    make_artifact,
    max_members_exposed,
    parse_fault_kind,
    to_release_event,
)
from .simulated_drains import GROUP, SimulatedAgent, SimulatedDrainCluster
from .simulated_member import MemberObserver, SimulatedMember
from .simulation import SimulationConfig
from .version_fault import VersionFault

ROUTER_LIMIT = Limit(most=3, zone_most=2, share=1.0, zone_share=1.0, stay=1)
ROLLBACK_LIMIT = Limit(most=4, zone_most=3, share=1.0, zone_share=1.0, stay=1)
BUDGET = DisruptionBudget(
    routers=ROUTER_LIMIT, caches=ROUTER_LIMIT, unplanned_allowance=2, rollback_routers=ROLLBACK_LIMIT
)
WAVES: list[int | str] = [1, "zone", "rest"]
ROLLOUT_POLICY = RolloutPolicy(
    min_watch_ms=4_000.0,
    max_watch_ms=14_000.0,
    final_watch_ms=4_000.0,
    lost_timeout_ms=8_000.0,
    max_failed_share=0.0,
    false_alarm_probability=0.002,
    max_loss_share=0.6,
    interval_ms=1_200.0,
    min_baseline_intervals=6,
)
DEPLOY_POLICY = DeployPolicy(min_healthy_ms=2_400.0, probation_ms=9_000.0, retry_interval_ms=2_000.0)
POLL_INTERVAL_S = 0.25  # between two reads of the rollout record
# How long after the record stops permitting a version a member may still start it: the age of the agent's
# last read, the time of a reply, the member's start, and a slow clock plus the time between two reads here.
PERMISSION_GRACE_S = 2.0 + 1.5 + 1.6 + 2.0
READ_TIMEOUT_MS = 1_000.0
CHANGE_TIMEOUT_MS = 2_000.0
INITIAL_STARTS_END_S = 1.0
PREPARE_TIME_S = 0.4  # until an artifact is available on a host
PREPARE_FAILURE_PROBABILITY = 0.05
# Figures that routers report; the kind of a version's fault changes some of them.
MEAN_REQUESTS_PER_REPORT = 12.0
CPU_S_PER_REQUEST = 0.002
SLOW_CPU_FACTOR = 1.5
FAILED_REQUEST_SHARE = 0.3
MEMORY_KIB = 40_000.0
MEMORY_GROWTH_PER_S = 0.25


class SimulatedVersionedMember(SimulatedMember):
    """A member that runs a version; rollouts change only the versions of routers."""

    def __init__(self, cluster: SimulatedReleaseCluster, name: str, kind: MemberKind, zone: str) -> None:
        super().__init__(cluster, name, kind, zone)
        self.agent: SimulatedDeployingAgent | None = None
        self.version = INITIAL_VERSION
        self.exit_count = 0

    def start(self) -> None:
        """Start the active version, which may exit soon if it has a fault."""
        if self.running:
            return
        deployer = None if self.agent is None else self.agent.deployer
        version = self.version if deployer is None else deployer.active_digests[BUILD]
        is_new = version != self.version or self.simulation.now < INITIAL_STARTS_END_S
        if self.kind is MemberKind.ROUTER and is_new:
            self.simulation.record_event(VersionStarted(self.name, self.simulation.now, version))
        self.version = version
        super().start()
        self._schedule_exit_of_bad_version()

    def _schedule_exit_of_bad_version(self) -> None:
        rng = self.simulation.rng
        fault_kind = parse_fault_kind(self.version)
        exit_now = partial(self._exit, self.incarnation, "fault")
        if fault_kind == VersionFault.EXITS_AT_START and self.running:
            self.simulation.schedule_in(rng.uniform(0.05, 0.3), exit_now)
        elif fault_kind == VersionFault.EXITS_SOON:
            self.simulation.schedule_in(rng.uniform(1.2, 2.2), exit_now)

    def _serve(self, incarnation: int) -> None:
        if parse_fault_kind(self.version) != VersionFault.NEVER_SERVES:
            super()._serve(incarnation)

    def _exit(self, incarnation: int, cause: str) -> None:
        if incarnation == self.incarnation and not self.ending:
            self.exit_count += 1
        super()._exit(incarnation, cause)


class RouterObserver(MemberObserver):
    """Observes a router; its reports depend on the running version."""

    def __init__(self, member: SimulatedVersionedMember, deployer: Deployer) -> None:
        super().__init__(member)
        self._router = member
        self._deployer = deployer

    def read_status(self) -> MemberStatus:
        """Return the status of the router, with the check of its build and the number of its exits."""
        router = self._router
        runs_wrong_build = router.running and router.version != self._deployer.active_digests[BUILD]
        return replace(super().read_status(), runs_wrong_build=runs_wrong_build, exit_count=router.exit_count)

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        """Return a health report with random figures that reflect the fault of the version."""
        router = self._router
        rng = router.simulation.rng
        serving = self.read_status().serving
        fault_kind = parse_fault_kind(router.version)
        requests = max(0.0, rng.gauss(MEAN_REQUESTS_PER_REPORT, 3.0)) * serving
        failed_requests = requests * self._draw_failed_share(fault_kind)
        cpu_factor = SLOW_CPU_FACTOR if fault_kind == VersionFault.SLOW else 1.0
        cpu_s = requests * CPU_S_PER_REQUEST * rng.uniform(0.85, 1.15) * cpu_factor
        leak_s = (
            router.simulation.now - router.draining_changed_at
            if fault_kind == VersionFault.LEAKS_MEMORY
            else 0.0
        )
        memory_kib = MEMORY_KIB * rng.uniform(0.99, 1.01) * (1.0 + MEMORY_GROWTH_PER_S * leak_s)
        return HealthReport(
            run_id,
            sequence,
            serving,
            True,
            requests - failed_requests,
            0.0,
            failed_requests,
            cpu=cpu_s,
            memory=memory_kib,
            door=rng.lognormvariate(0.0, 0.3),
            exit_count=router.exit_count,
            build=router.version if router.running else self._deployer.active_digests[BUILD],
        )

    def _draw_failed_share(self, fault_kind: str) -> float:
        rng = self._router.simulation.rng
        if fault_kind == VersionFault.FAILS_REQUESTS or (
            fault_kind == VersionFault.FAILS_IN_WEST and self._router.zone == "west"
        ):
            return FAILED_REQUEST_SHARE * rng.uniform(0.6, 1.4)
        return rng.choice((0.0, 0.0, 0.0, 0.02))


class InMemoryArtifactStore:
    """The artifacts of a host: each becomes available after a delay, and some fetches fail."""

    def __init__(self, member: SimulatedVersionedMember) -> None:
        self._member = member
        self._requested_at: dict[str, float] = {}
        self._available: set[str] = set()

    def prepare(self, _kind: str, artifact: Artifact) -> ArtifactStatus:
        """Start to fetch an artifact, or return the status of the fetch."""
        simulation = self._member.simulation
        requested_at = self._requested_at.setdefault(artifact.digest, simulation.now)
        if artifact.digest in self._available:
            return ArtifactStatus(True)
        if simulation.now - requested_at < PREPARE_TIME_S:
            return ArtifactStatus()
        if simulation.rng.random() < PREPARE_FAILURE_PROBABILITY:
            self._requested_at.pop(artifact.digest)
            return ArtifactStatus(False, FailureCause.HOST, "no room")
        self._available.add(artifact.digest)
        return ArtifactStatus(True)

    def apply_settings(self, kind: str, digest: str) -> None:
        """Do nothing, as this test has no rollouts of settings."""

    def remove_except(self, needed: Iterable[str]) -> None:
        """Remove all artifacts except those with the digests in `needed`."""
        self._available &= set(needed)


class SimulatedDeployingAgent(SimulatedAgent):
    """An agent that takes part in rollouts; `deployer` is set if its member is a router."""

    deployer: Deployer | None = None

    def _create_member(
        self, cluster: SimulatedDrainCluster, name: str, kind: MemberKind, zone: str
    ) -> SimulatedMember:
        assert isinstance(cluster, SimulatedReleaseCluster)
        member = SimulatedVersionedMember(cluster, name, kind, zone)
        member.agent = self
        return member

    def _create_observer(self, agent: Agent) -> tuple[MemberObserver, RolloutPolicy | None]:
        member = self.member
        assert isinstance(member, SimulatedVersionedMember)
        if member.kind is not MemberKind.ROUTER:
            return MemberObserver(member), ROLLOUT_POLICY
        self.deployer = Deployer(
            self.name, self.disk, InMemoryArtifactStore(member), DEPLOY_POLICY, {BUILD: INITIAL_VERSION}
        )
        agent.deployer = self.deployer
        return RouterObserver(member, self.deployer), ROLLOUT_POLICY


class SimulatedReleaseCluster(SimulatedDrainCluster):
    """A cluster whose routers get new versions in successive rollouts."""

    budget = BUDGET
    rejoin_timeout_s = 150.0

    def __init__(self, config: SimulationConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.versions = [INITIAL_VERSION]
        self._last_record: RolloutState | None = None
        self.decisions: Counter[str] = Counter()

    def _create_client(self, name: str, clock_rate: float) -> SimulatedAgent:
        return SimulatedDeployingAgent(self, name, clock_rate)

    @property
    def routers(self) -> Mapping[str, SimulatedAgent]:
        """The agents of all routers, by name."""
        return {name: agent for name, agent in self.agents.items() if agent.member.kind is MemberKind.ROUTER}

    # -- the operator

    def _start_clients(self) -> None:
        super()._start_clients()
        self._poll_rollout_record()

    def _poll_rollout_record(self) -> None:
        """Read the rollout record periodically, and add an event to the history for each change."""
        client = self.operator.client
        read_started_at = self.now
        assert client is not None

        def handle_outcome(outcome: OperationOutcome) -> None:
            if outcome.kind is OutcomeKind.UNCHANGED:
                self._on_rollout_record(rollout_state.decode_rollout_state(outcome.register), read_started_at)
            self.operator.call_after(1000.0 * POLL_INTERVAL_S, self._poll_rollout_record)

        client.execute(rollout_state.rollout_state_key(GROUP), None, handle_outcome, READ_TIMEOUT_MS)

    def _on_rollout_record(self, record: RolloutState, read_started_at: float) -> None:
        if record == self._last_record:
            return
        self.decisions += count_decisions(self._last_record, record)
        self._last_record = record
        self.record_event(to_release_event(record, list(self.routers), self.now, read_started_at))

    def _send_rollout_change(self, change: RegisterChange) -> None:
        client = self.operator.client
        assert client is not None
        client.execute(
            rollout_state.rollout_state_key(GROUP), change, lambda _outcome: None, CHANGE_TIMEOUT_MS
        )

    def _issue_random_order(self) -> None:
        """Issue a random order that concerns the rollout or drains."""
        if self.faults_stopped:
            return
        rng = self.order_rng
        record = self._last_record
        now = self.now
        draw = rng.random()
        if record is None or record.open_rollout is None:
            if draw < 0.7:
                self._start_rollout(record)
        elif draw < 0.015:
            self._send_rollout_change(rollout_state.roll_back("operator", "drill", now))
        elif draw < 0.03:
            self._send_rollout_change(rollout_state.roll_forward("operator", "drill", now))
        elif draw < 0.045:
            self._send_rollout_change(rollout_state.pause_rollout("operator", "drill", now))
        elif draw < 0.3 and record.open_rollout.pause is not None:
            # when the rollout awaits an operator, the decision is the right one for the version
            rolls_back = record.open_rollout.awaits_operator and has_fault(record.open_rollout.new.name)
            self._end_pause(rolls_back, "drill")
        elif draw < 0.4:
            self._order_random_drain()
        self.operator.call_after(1000.0 * rng.uniform(1.0, 3.0), self._issue_random_order)

    def _end_pause(self, rolls_back: bool, reason: str) -> None:
        change = rollout_state.roll_back if rolls_back else rollout_state.resume_rollout
        self._send_rollout_change(change("operator", reason, self.now))

    def _order_random_drain(self) -> None:
        rng = self.order_rng
        now = self.now
        names = rng.sample(list(self.agents), rng.choice((1, 2)))
        draw = rng.random()
        if draw < 0.4:
            self._send_order("out", drain_requests.request_drain(names, "crew", "patch", now), tuple(names))
            self.operator.call_after(
                6_000.0,
                partial(
                    self._send_order, "in", drain_requests.cancel_drain(names, "crew", now), tuple(names)
                ),
            )
        elif draw < 0.55:
            self._send_order("halt", fleet_state.halt_drains("crew", "drill", now))
            self.operator.call_after(5_000.0, self._resume_drains)
        else:
            self._resume_drains()

    def _start_rollout(self, record: RolloutState | None) -> None:
        """Start a rollout of a new version if all routers are members of the fleet."""
        drivers = (agent.driver for agent in self.routers.values())
        state = next((driver.agent.fleet_state for driver in drivers if driver), None)
        if self.operator.client is None or state is None:
            return
        if len(state.members_of(MemberKind.ROUTER)) < len(self.routers):
            return
        old_artifact = (record and record.baseline.get(BUILD)) or make_artifact(INITIAL_VERSION)
        fault_kind = self.order_rng.choice([GOOD_VERSION, GOOD_VERSION, *WAVES_TO_DETECT])
        version = f"{fault_kind}-{len(self.versions)}"
        self.versions.append(version)
        new_artifact = make_artifact(version)
        waves = rollout_state.plan_waves(state, WAVES)
        self._send_rollout_change(
            rollout_state.start_rollout(
                BUILD, new_artifact, old_artifact, waves, "operator", "drill", self.now
            )
        )

    # -- running and final checks

    def _stop_faults(self) -> None:
        super()._stop_faults()
        self._finish_rollout()

    def _finish_rollout(self) -> None:
        """Complete or roll back an open rollout: end pauses and halts periodically until none is open."""
        record = self._last_record
        rollout = None if record is None else record.open_rollout
        if record is not None and rollout is None:
            return
        self._resume_drains()
        if rollout is not None and rollout.pause is not None:
            rolls_back = rollout.phase == RolloutPhase.ROLLBACK or has_fault(rollout.new.name)
            self._end_pause(rolls_back, "the end")
        self.operator.call_after(3_000.0, self._finish_rollout)

    def run(self) -> InvariantReport:
        """Run the test and check its history, also for the invariants of releases."""
        report = super().run()
        routers = list(self.routers)
        max_members = {
            version: max_members_exposed(parse_fault_kind(version), len(routers))
            for version in self.versions
            if has_fault(version)
        }
        grace_s = PERMISSION_GRACE_S / (1.0 - self.config.max_clock_skew)
        bounds = release_invariants.ReleaseBounds(grace_s, max_members, routers)
        violations, counts = release_invariants.check_invariants(self.events, bounds)
        report.violations += violations
        report.counts += counts
        report.counts["releases"] += 0 if self._last_record is None else self._last_record.last_number
        report.counts += self.decisions
        return report


def run_drill(config: SimulationConfig, seed: int) -> InvariantReport:
    """Run the test with one seed."""
    return SimulatedReleaseCluster(config, seed).run()
