"""Releases on the simulated net: the agents' very driver and machines, versions that are good or bad in one
way or another, an operator who starts, halts and takes back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import replace
from functools import partial

from ...consensus.proposer import OperationOutcome, OutcomeKind, RegisterChange
from ...fleet import fleet_state as book
from ...fleet import rollout_state
from ...fleet.agent import Agent, MemberStatus
from ...fleet.deployer import ArtifactStatus, Deployer, DeployPolicy, FailureCause
from ...fleet.disruption_budget import DisruptionBudget, Limit
from ...fleet.failure_detector import HealthReport
from ...fleet.rollout_leader import RolloutPolicy
from ...fleet.rollout_state import BUILD, Artifact, RolloutPhase, RolloutState
from . import release_invariants
from .history import ReleaseDecided, VersionStarted
from .invariants import InvariantReport
from .simulated_drains import GROUP, MemberObserver, SimulatedAgent, SimulatedDrainCluster, SimulatedMember
from .simulated_leases import SimulationConfig

WAVES_TO_DETECT = {  # in which way a version is worse, and how many waves may see it
    "dead": 1,  # it ends at its start
    "mute": 1,  # it never serves
    "short": 1,  # it serves, and ends soon after
    "fails": 1,  # it loses three requests in ten
    "slow": 2,  # half as much processor time again
    "leaks": 2,  # memory that grows
    "west": 3,  # it loses requests, in one zone only
}
GOOD_VERSION = "good"
ROUTER_LIMIT = Limit(most=3, zone_most=2, share=1.0, zone_share=1.0, stay=1)
ROLLBACK_LIMIT = Limit(most=4, zone_most=3, share=1.0, zone_share=1.0, stay=1)
BUDGET = DisruptionBudget(
    routers=ROUTER_LIMIT, caches=ROUTER_LIMIT, unplanned_allowance=2, rollback_routers=ROLLBACK_LIMIT
)
WAVES: list[int | str] = [1, "zone", "rest"]
ROLLOUT_PLAN = RolloutPolicy(
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
DEPLOYER_CONFIG = DeployPolicy(min_healthy_ms=2_400.0, probation_ms=9_000.0, retry_interval_ms=2_000.0)
POLL_INTERVAL_S = 0.25  # seconds between two looks at the record
PERMISSION_GRACE_S = (
    2.0 + 1.5 + 1.6 + 2.0
)  # a reading's age, an answer's way, a member's start, a slow clock and the look


def artifact_named(name: str) -> Artifact:
    """A version by its name, which is its digest too."""
    return Artifact(name, name, f"/builds/{name}")


def fault_kind_of(version: str) -> str:
    """In which way it is bad, or that it is good."""
    return version.partition("-")[0]


class SimulatedVersionedMember(SimulatedMember):
    """A member with a version. Only routers are released; the others never change theirs."""

    def __init__(self, cluster: SimulatedReleaseCluster, name: str, kind: book.MemberKind, zone: str) -> None:
        super().__init__(cluster, name, kind, zone)
        self.agent: SimulatedDeployingAgent | None = None
        self.version, self.exit_count = "old", 0

    def start(self) -> None:
        if self.running:
            return
        carrier = None if self.agent is None else self.agent.deployer
        version = self.version if carrier is None else carrier.active_digests[BUILD]
        if self.kind is book.MemberKind.ROUTER and (version != self.version or self.cluster.now < 1.0):
            self.cluster.record_event(VersionStarted(self.name, self.cluster.now, version))
        self.version = version
        super().start()
        life, rng = self.incarnation, self.cluster.rng
        bad = fault_kind_of(version)
        if bad == "dead" and self.running:
            self.cluster.schedule_in(rng.uniform(0.05, 0.3), partial(self._exit, life, "fault"))
        elif bad == "short":
            self.cluster.schedule_in(rng.uniform(1.2, 2.2), partial(self._exit, life, "fault"))

    def _serve(self, life: int) -> None:
        if fault_kind_of(self.version) != "mute":
            super()._serve(life)

    def _exit(self, life: int, cause: str) -> None:
        if life == self.incarnation and not self.ending:
            self.exit_count += 1
        super()._exit(life, cause)


class RouterObserver(MemberObserver):
    """The same with figures by version."""

    def __init__(self, member: SimulatedVersionedMember, deployer: Deployer) -> None:
        super().__init__(member)
        self._router, self._deployer = member, deployer

    def read_status(self) -> MemberStatus:
        one = self._router
        wrong = one.running and one.version != self._deployer.active_digests[BUILD]
        return replace(super().read_status(), runs_wrong_build=wrong, exit_count=one.exit_count)

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        one, rng = self._router, self._router.cluster.rng
        up, bad = self.read_status().serving, fault_kind_of(one.version)
        asked = max(0.0, rng.gauss(12.0, 3.0)) * up
        fails = bad == "fails" or (bad == "west" and one.zone == "west")
        lost = asked * (0.3 * rng.uniform(0.6, 1.4) if fails else rng.choice((0.0, 0.0, 0.0, 0.02)))
        cpu = asked * 0.002 * rng.uniform(0.85, 1.15) * (1.5 if bad == "slow" else 1.0)
        age = one.cluster.now - one.phase_started_at if bad == "leaks" else 0.0
        memory = 40_000.0 * rng.uniform(0.99, 1.01) * (1.0 + 0.25 * age)
        return HealthReport(
            run_id,
            sequence,
            up,
            True,
            asked - lost,
            0.0,
            lost,
            cpu=cpu,
            memory=memory,
            door=rng.lognormvariate(0.0, 0.3),
            exit_count=one.exit_count,
            build=one.version if one.running else self._deployer.active_digests[BUILD],
        )


class InMemoryArtifactStore:
    """A host's versions: there after a while, or not to be had."""

    def __init__(self, member: SimulatedVersionedMember) -> None:
        self._member = member
        self._requested_at: dict[str, float] = {}
        self._available: set[str] = set()

    def prepare(self, kind: str, artifact: Artifact) -> ArtifactStatus:
        """How far it is."""
        world = self._member.cluster
        since = self._requested_at.setdefault(artifact.digest, world.now)
        if artifact.digest in self._available:
            return ArtifactStatus(True)
        if world.now - since < 0.4:
            return ArtifactStatus()
        if world.rng.random() < 0.05:
            self._requested_at.pop(artifact.digest)
            return ArtifactStatus(False, FailureCause.HOST, "no room")
        self._available.add(artifact.digest)
        return ArtifactStatus(True)

    def apply_settings(self, kind: str, digest: str) -> None:
        """Settings are not released here."""

    def remove_except(self, needed: Iterable[str]) -> None:
        """Versions that nobody goes back to are gone from this host."""
        self._available &= set(needed)


class SimulatedDeployingAgent(SimulatedAgent):
    """An agent that takes part in releases."""

    deployer: Deployer | None = None

    def _create_member(
        self, cluster: SimulatedDrainCluster, name: str, kind: book.MemberKind, zone: str
    ) -> SimulatedMember:
        assert isinstance(cluster, SimulatedReleaseCluster)
        member = SimulatedVersionedMember(cluster, name, kind, zone)
        member.agent = self
        return member

    def _create_observer(self, machine: Agent) -> tuple[MemberObserver, RolloutPolicy | None]:
        member = self.member
        assert isinstance(member, SimulatedVersionedMember)
        if member.kind is not book.MemberKind.ROUTER:
            return MemberObserver(member), ROLLOUT_PLAN
        self.deployer = Deployer(
            self.name, self.disk, InMemoryArtifactStore(member), DEPLOYER_CONFIG, {BUILD: "old"}
        )
        machine.deployer = self.deployer
        return RouterObserver(member, self.deployer), ROLLOUT_PLAN


class SimulatedReleaseCluster(SimulatedDrainCluster):
    """Routers get new versions, one release after the other."""

    budget = BUDGET
    rejoin_deadline_s = 150.0

    def __init__(self, config: SimulationConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.versions = ["old"]
        self._last_record: RolloutState | None = None
        self.decisions: Counter[str] = Counter()

    def _create_client(self, name: str, rate: float) -> SimulatedAgent:
        return SimulatedDeployingAgent(self, name, rate)

    @property
    def routers(self) -> Mapping[str, SimulatedAgent]:
        """Whom releases are for."""
        return {name: one for name, one in self.agents.items() if one.member.kind is book.MemberKind.ROUTER}

    # -- the operator

    def _start_clients(self) -> None:
        super()._start_clients()
        self._poll_release_record()

    def _poll_release_record(self) -> None:
        """See what the record says, and write down what it allows."""
        client, begin = self.operator.client, self.now
        assert client is not None

        def done(outcome: OperationOutcome) -> None:
            if outcome.kind is OutcomeKind.UNCHANGED:
                self._on_release_record(rollout_state.decode_rollout_state(outcome.register), begin)
            self.operator.call_after(1000.0 * POLL_INTERVAL_S, self._poll_release_record)

        client.execute(rollout_state.rollout_state_key(GROUP), None, done, 1_000.0)

    def _on_release_record(self, record: RolloutState, read_started_at: float) -> None:
        if record == self._last_record:
            return
        self.decisions += count_decisions(self._last_record, record)
        self._last_record = record
        self.record_event(to_release_event(record, list(self.routers), self.now, read_started_at, "old"))

    def _send_release_change(self, change: RegisterChange) -> None:
        client = self.operator.client
        assert client is not None
        client.execute(rollout_state.rollout_state_key(GROUP), change, lambda outcome: None, 2_000.0)

    def _issue_random_order(self) -> None:
        """Now and then a word about the release, else one about drains."""
        if self.faults_stopped:
            return
        rng, record, now = self.orders, self._last_record, self.now
        draw = rng.random()
        if record is None or record.open_rollout is None:
            if draw < 0.7:
                self._start_release(record)
        elif draw < 0.015:
            self._send_release_change(rollout_state.roll_back("operator", "drill", now))
        elif draw < 0.03:
            self._send_release_change(rollout_state.roll_forward("operator", "drill", now))
        elif draw < 0.045:
            self._send_release_change(rollout_state.pause_rollout("operator", "drill", now))
        elif draw < 0.3 and record.open_rollout.pause is not None:
            # an operator who is asked knows what it is
            known = (
                record.open_rollout.awaits_operator
                and fault_kind_of(record.open_rollout.new.name) in WAVES_TO_DETECT
            )
            word = rollout_state.roll_back if known else rollout_state.resume_rollout
            self._send_release_change(word("operator", "drill", now))
        elif draw < 0.4:
            self._order_random_drain()
        self.operator.call_after(1000.0 * rng.uniform(1.0, 3.0), self._issue_random_order)

    def _order_random_drain(self) -> None:
        rng, now = self.orders, self.now
        names = rng.sample(list(self.agents), rng.choice((1, 2)))
        draw = rng.random()
        if draw < 0.4:
            self._send_order("out", book.request_drain(names, "crew", "patch", now), tuple(names))
            self.operator.call_after(
                6_000.0, partial(self._send_order, "in", book.cancel_drain(names, "crew", now), tuple(names))
            )
        elif draw < 0.55:
            self._send_order("halt", book.halt_drains("crew", "drill", now))
            self.operator.call_after(5_000.0, self._resume_drains)
        else:
            self._resume_drains()

    def _start_release(self, record: RolloutState | None) -> None:
        client = self.operator.client
        ledger = next((a.driver.agent.fleet_state for a in self.routers.values() if a.driver), None)
        if (
            client is None
            or ledger is None
            or len(ledger.members_of(book.MemberKind.ROUTER)) < len(self.routers)
        ):
            return
        old = (record and record.baseline.get(BUILD)) or artifact_named("old")
        bad = self.orders.choice([GOOD_VERSION, GOOD_VERSION, *WAVES_TO_DETECT])
        new = f"{bad}-{len(self.versions)}"
        self.versions.append(new)
        waves = rollout_state.plan_waves(ledger, WAVES)
        self._send_release_change(
            rollout_state.start_rollout(BUILD, artifact_named(new), old, waves, "operator", "drill", self.now)
        )

    # -- the end

    def _stop_faults(self) -> None:
        super()._stop_faults()
        self._finish_release()

    def _finish_release(self) -> None:
        """What is open at the end goes on to its end, forward or back; holds and halts are lifted."""
        record, now = self._last_record, self.now
        if record is None or record.open_rollout is not None:
            self._resume_drains()
            if (
                record is not None
                and record.open_rollout is not None
                and record.open_rollout.pause is not None
            ):
                back = (
                    record.open_rollout.phase == RolloutPhase.ROLLBACK
                    or fault_kind_of(record.open_rollout.new.name) in WAVES_TO_DETECT
                )
                word = rollout_state.roll_back if back else rollout_state.resume_rollout
                self._send_release_change(word("operator", "the end", now))
            self.operator.call_after(3_000.0, self._finish_release)

    def run(self) -> InvariantReport:
        verdict = super().run()
        bad = {
            version: max_members_exposed(fault_kind_of(version), len(self.routers))
            for version in self.versions
            if fault_kind_of(version) in WAVES_TO_DETECT
        }
        bounds = release_invariants.ReleaseBounds(
            PERMISSION_GRACE_S / (1.0 - self.config.max_clock_skew), bad, list(self.routers)
        )
        broken, counts = release_invariants.check_invariants(self.events, bounds)
        verdict.violations += broken
        verdict.counts += counts
        verdict.counts["releases"] += 0 if self._last_record is None else self._last_record.last_number
        verdict.counts += self.decisions
        return verdict


def max_members_exposed(fault_kind: str, routers: int) -> int:
    """By how many routers a bad version may ever be run: those of the waves that are to show it."""
    half = routers // 2
    return (1, half, routers)[WAVES_TO_DETECT[fault_kind] - 1]


def to_release_event(
    record: RolloutState, routers: list[str], now: float, read_started_at: float, first: str
) -> ReleaseDecided:
    """What the record says, as an event. `first`: what ran before any release."""
    one = record.open_rollout
    if one is None:
        base = record.baseline.get(BUILD)
        return ReleaseDecided(
            "record", now, read_started_at, record.last_number, base.digest if base else first, over=True
        )
    new = one.new.digest
    may = tuple(name for name in routers if one.artifact_for(name).digest == new)
    return ReleaseDecided(
        "record", now, read_started_at, one.number, new, may, one.phase == RolloutPhase.ROLLBACK
    )


def count_decisions(before: RolloutState | None, after: RolloutState) -> Counter[str]:
    """What leaders have decided between two looks at the record, by the kind of version."""
    found: Counter[str] = Counter()
    old, now = None if before is None else before.open_rollout, after.open_rollout
    if old is not None and now is not None and old.number == now.number:
        turned = old.phase != RolloutPhase.ROLLBACK and now.phase == RolloutPhase.ROLLBACK
        last = after.history[-1] if after.history else None
        if turned and last is not None and last.actor != "operator":
            found[f"judged worse: {fault_kind_of(now.new.name)}"] += 1
    if old is not None and (now is None or now.number != old.number):
        through = after.baseline.get(BUILD) == old.new
        found[
            f"{'brought through' if through else 'closed as taken back'}: {fault_kind_of(old.new.name)}"
        ] += 1
    return found


def run_drill(shape: SimulationConfig, seed: int) -> InvariantReport:
    """One seed."""
    return SimulatedReleaseCluster(shape, seed).run()
