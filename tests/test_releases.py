"""Releases: rollout state, leader, canary analysis, deployer and artifacts, then drills."""

from __future__ import annotations

import json
import logging
import os
import random
import subprocess
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from rosepick.cli.agent import rollout_policy_of
from rosepick.consensus.messages import Register
from rosepick.consensus.proposer import ChangeRejectedError, RegisterChange
from rosepick.coordination.artifact_fetch import (
    FetchError,
    FetchOptions,
    compose_config,
    compute_digest,
    fetch_artifact,
)
from rosepick.coordination.artifact_store import LocalArtifactStore, MemberProgram
from rosepick.fleet import leader_steps, rollout_state
from rosepick.fleet.canary_analysis import CanaryAnalysis, CanaryStatus, HealthMetrics
from rosepick.fleet.deployer import ArtifactStatus, Deployer, DeployPolicy, FailureCause
from rosepick.fleet.disruption_budget import DisruptionBudget, Limit, blocking_reasons
from rosepick.fleet.failure_detector import HealthReport
from rosepick.fleet.fleet_state import (
    DrainRequest,
    FleetMember,
    FleetState,
    HaltState,
    MemberKind,
    MemberPhase,
)
from rosepick.fleet.rollout_leader import RolloutLeader, RolloutPolicy
from rosepick.fleet.rollout_state import BUILD, SETTINGS, Artifact, RolloutPhase, RolloutState
from rosepick.fleet.versioned_document import DocumentDecodeError
from rosepick.lab.drill import (
    drill_file,
    release_benchmark,
    release_invariants,
    runner,
    simulated_releases,
    versions,
)
from rosepick.lab.drill.history import AnyEvent, ReleaseDecided, VersionStarted
from rosepick.settings import fleet_file

ROOT = Path(__file__).parent.parent
OLD, NEW = Artifact("old", "0", "/old"), Artifact("new", "1", "/new")
NAMES = [f"r{n}" for n in range(8)]


class RolloutRegister:
    """The register of a rollout state, in place of a quorum."""

    def __init__(self) -> None:
        self.content = Register()

    def apply(self, change: RegisterChange) -> bool:
        """Apply a change and return whether it was accepted."""
        try:
            self.content = Register(self.content.version + 1, "m", change(self.content))
        except ChangeRejectedError:
            return False
        return True

    @property
    def state(self) -> RolloutState:
        """The rollout state in the register."""
        return rollout_state.decode_rollout_state(self.content)

    @property
    def rollout(self) -> rollout_state.Rollout:
        """The open rollout."""
        assert self.state.open_rollout is not None
        return self.state.open_rollout

    def start(self, *waves: list[str], kind: str = BUILD) -> bool:
        """Start a rollout of the artifact NEW."""
        return self.apply(
            rollout_state.start_rollout(kind, NEW, OLD, waves or (["a"], ["b", "c"]), "me", "x", 0.0)
        )

    def lead(
        self, action: str, token: int = 1, seen: rollout_state.Rollout | None = None, **more: Any
    ) -> bool:
        """Apply a leader's step and return whether it was accepted."""
        context = leader_steps.LeaderContext(seen or self.rollout, token, "l", 0.0)
        update = leader_steps.LeaderUpdate(leader_steps.LeaderAction(action), "why", **more)
        return self.apply(leader_steps.apply_leader_update(context, update))


def fleet_of_routers(zones: int = 2, **more: FleetMember) -> FleetState:
    """Return a fleet of eight healthy routers, with members replaced by `more`."""
    members = {
        name: FleetMember(int(MemberKind.ROUTER), f"z{n % zones}", was_healthy=True)
        for n, name in enumerate(NAMES)
    }
    return FleetState(members={**members, **more, "cache": FleetMember(int(MemberKind.CACHE), "z0")})


# ---------------------------------------------------------------------------- the rollout state


def test_artifact_of_a_completed_rollout_becomes_the_baseline() -> None:
    register = RolloutRegister()
    assert register.start() and not register.start()  # one rollout at a time
    assert register.rollout.artifact_for("a") == OLD  # the leader measures the baseline first
    for allowed in ("a", "abc"):
        assert register.lead("next")
        targets = {name: register.state.artifact_for(name, BUILD) for name in "abcd"}
        assert {name for name, artifact in targets.items() if artifact == NEW} == set(allowed)
    assert register.state.artifact_for("a", SETTINGS) is None
    assert (
        register.lead("next")
        and register.rollout.phase == RolloutPhase.OBSERVE
        and register.rollout.artifact_for("d") == NEW
    )
    assert register.lead("close") and register.state.open_rollout is None
    assert register.state.artifact_for("d", BUILD) == NEW  # also after the rollout is closed
    assert not register.start()  # the artifact is already the baseline
    assert register.apply(rollout_state.start_rollout(BUILD, OLD, NEW, [["a"]], "me", "x", 0.0))


def test_rollback_ends_with_the_old_artifact_and_can_be_turned_forward() -> None:
    register = RolloutRegister()
    register.start()
    register.lead("next"), register.lead("next")
    assert register.lead("worse") and register.rollout.phase == RolloutPhase.ROLLBACK
    assert [register.rollout.artifact_for(name) for name in "abcd"] == [NEW, OLD, OLD, OLD]
    assert (
        register.apply(rollout_state.roll_forward("me", "x", 0.0))
        and register.rollout.wave == 0
        and not register.rollout.evidence
    )
    assert register.apply(rollout_state.roll_back("me", "x", 0.0)) and register.lead("close")
    assert register.state.artifact_for("a", BUILD) == OLD and not register.apply(
        rollout_state.roll_back("me", "x", 0.0)
    )


def test_leader_with_an_old_token_or_a_stale_rollout_changes_nothing() -> None:
    register = RolloutRegister()
    register.start()
    seen = register.rollout
    assert register.lead("next", token=5)
    assert not register.lead("next", token=4)  # an older token
    assert not register.lead("next", token=6, seen=seen)  # the rollout has advanced since
    assert register.apply(rollout_state.pause_rollout("me", "x", 0.0)) and not register.lead("next", token=6)
    assert (
        register.apply(rollout_state.resume_rollout("me", "x", 0.0))
        and not register.rollout.operator_accepted
    )
    assert register.lead("ask", token=6) and register.rollout.awaits_operator
    assert register.apply(rollout_state.resume_rollout("me", "x", 0.0)) and register.rollout.operator_accepted


def test_newer_and_damaged_states_are_refused() -> None:
    for value in (
        bytes([rollout_state.FORMAT_VERSION + 1]) + b"x",
        bytes([rollout_state.FORMAT_VERSION]) + b"torn",
    ):
        with pytest.raises(DocumentDecodeError):
            rollout_state.decode_rollout_state(Register(1, "m", value))


def test_waves_do_not_mix_zones() -> None:
    fleet = fleet_of_routers()
    waves = rollout_state.plan_waves(fleet, [1, "25%", "zone", "rest"])
    assert waves == [["r0"], ["r2", "r4"], ["r6"], ["r1", "r3", "r5", "r7"]]
    assert rollout_state.plan_waves(fleet, ["rest"]) == [["r0", "r2", "r4", "r6"], ["r1", "r3", "r5", "r7"]]


def test_rollback_has_its_own_limit_and_bypasses_a_halt() -> None:
    one_out, two_out = Limit(most=1, share=1.0, zone_share=1.0), Limit(most=2, share=1.0, zone_share=1.0)
    out = FleetMember(int(MemberKind.ROUTER), "z0", phase=int(MemberPhase.OUT), permit=1)
    for is_rollback, budget, halt, is_allowed in (
        (True, DisruptionBudget(one_out, one_out, rollback_routers=two_out), None, True),
        (False, DisruptionBudget(one_out, one_out, rollback_routers=two_out), None, False),
        (True, DisruptionBudget(one_out, one_out), None, False),
        (True, DisruptionBudget(one_out, one_out, rollback_routers=two_out), HaltState("a", "b", 0.0), True),
    ):
        leaving = FleetMember(
            int(MemberKind.ROUTER),
            "z1",
            drain_request=DrainRequest(1, "release 1", "x", uses_rollback_limit=is_rollback),
        )
        state = FleetState(
            members={"r0": out, "r1": leaving, "r2": FleetMember(0, "z0"), "r3": FleetMember(0, "z1")},
            halt=halt,
        )
        assert (not blocking_reasons(state, budget, "r1", 600)) is is_allowed


# ---------------------------------------------------------------------------- analysis and leader


def random_metrics(rng: random.Random, **harm: float) -> HealthMetrics:
    """Return random metrics of a router in one interval, with the given harm."""
    requests = max(5.0, rng.gauss(50.0, 10.0))
    lost = requests * (0.004 * rng.random() + harm.get("lost", 0.0))
    cpu = requests * 0.002 * rng.uniform(0.85, 1.15) * harm.get("slow", 1.0)
    memory = 40_000.0 * rng.uniform(0.99, 1.01) * harm.get("big", 1.0)
    return HealthMetrics(requests - lost, lost, cpu, memory, rng.uniform(0.7, 1.3) * harm.get("door", 1.0))


@pytest.mark.parametrize(
    ("harm", "status", "metric"),
    [
        ({}, CanaryStatus.NOT_WORSE, ""),
        ({"lost": 0.3}, CanaryStatus.WORSE, "requests lost"),
        ({"slow": 1.4}, CanaryStatus.WORSE, "processor time"),
        ({"big": 1.5}, CanaryStatus.WORSE, "memory"),
        ({"door": 5.0}, CanaryStatus.WORSE, "time of the door"),
    ],
)
@pytest.mark.parametrize("is_common", [False, True])
def test_analysis_distinguishes_a_worse_version_from_a_common_cause(
    harm: dict[str, float], status: CanaryStatus, metric: str, is_common: bool
) -> None:
    for seed in range(6):
        rng = random.Random(seed)
        analysis = CanaryAnalysis({name: f"z{n % 2}" for n, name in enumerate(NAMES)}, harm_factor=2.0)
        for _ in range(8):
            analysis.add_interval({name: random_metrics(rng) for name in NAMES})
        analysis.begin_comparison(["r0"], NAMES[1:])
        for _ in range(80):
            harm_by_name = {name: harm if name == "r0" else {} for name in NAMES}
            common = {"lost": 0.3} if is_common else {}  # affects both artifacts
            analysis.add_interval(
                {name: random_metrics(rng, **{**common, **harm_by_name[name]}) for name in NAMES}
            )
            if analysis.verdict().status is not CanaryStatus.INCONCLUSIVE:
                break
        if is_common and metric == "requests lost":
            assert analysis.verdict().status is not CanaryStatus.WORSE
        else:
            assert analysis.verdict().status is status and metric in analysis.verdict().reason
        resumed = CanaryAnalysis({name: f"z{n % 2}" for n, name in enumerate(NAMES)}, harm_factor=2.0)
        resumed.resume(["r0"], NAMES[1:], analysis.export_state())
        assert resumed.export_state() == analysis.export_state()  # the next leader resumes from this state


class LeaderHarness:
    """A leader and eight routers that change their artifacts immediately, in steps of a second."""

    def __init__(self, policy: RolloutPolicy, **harm: float) -> None:
        self.register = RolloutRegister()
        self.leader = RolloutLeader(policy, 0.0)
        self.harm = harm
        self.rng = random.Random(1)
        self.now = 0.0
        self.deploy_errors: dict[str, str] = {}
        self.fleet_state = fleet_of_routers()
        self.actions: list[str] = []

    def run_steps(self, count: int, token: int = 1) -> None:
        """Run a number of steps of one second."""
        for index in range(count):
            self.now += 1_000.0
            for name in NAMES:
                target = self.register.state.artifact_for(name, BUILD) or OLD
                build = OLD if name in self.deploy_errors else target
                metrics = random_metrics(self.rng, **(self.harm if build == NEW else {}))
                report = HealthReport(
                    1,
                    int(self.now) + index,
                    True,
                    True,
                    metrics.served,
                    0.0,
                    metrics.lost,
                    cpu=metrics.cpu_s,
                    memory=metrics.memory_kib,
                    door=metrics.admin_latency_ms,
                    build=build.digest,
                    deploy_error=self.deploy_errors.get(name, ""),
                )
                self.leader.add_report(name, report)
            step = self.leader.step(self.register.state, self.fleet_state, self.now, 0.0, "l", token)
            if step is not None and self.register.apply(step.change) and step.action != "note":
                self.actions.append(step.action)


POLICY = RolloutPolicy(
    min_watch_ms=4_000.0,
    max_watch_ms=30_000.0,
    final_watch_ms=3_000.0,
    interval_ms=1_000.0,
    min_baseline_intervals=6,
    lost_timeout_ms=2_000.0,
)


def test_leader_completes_a_good_version_and_rolls_a_bad_one_back() -> None:
    for harm, actions, baseline in (
        ({}, ["next"] * 4 + ["close"], NEW),
        ({"lost": 0.3}, ["next", "worse", "close"], OLD),
    ):
        harness = LeaderHarness(POLICY, **harm)
        harness.register.start(["r0"], ["r2", "r4", "r6"], ["r1", "r3", "r5", "r7"])
        harness.run_steps(120)
        assert harness.actions == actions and harness.register.state.artifact_for("r0", BUILD) == baseline


def test_next_leader_resumes_from_the_recorded_evidence() -> None:
    harness = LeaderHarness(POLICY, lost=0.05)
    harness.register.start(["r0"], NAMES[1:])
    harness.run_steps(8)
    assert harness.register.rollout.wave == 0 and harness.register.rollout.evidence
    harness.leader = RolloutLeader(POLICY, harness.now)
    harness.run_steps(20, token=2)
    assert "worse" in harness.actions and harness.register.state.token == 2


def test_unreachable_members_are_left_behind_and_failed_artifacts_rolled_back() -> None:
    lost = FleetMember(int(MemberKind.ROUTER), "z0", lost=True, was_healthy=True)
    harness = LeaderHarness(replace(POLICY, asks_operator=False))
    harness.fleet_state = fleet_of_routers(r2=lost)
    harness.deploy_errors = {"r2": "", "r4": f"{BUILD} {NEW.digest} host no room"}
    harness.register.start(["r0"], ["r2", "r4", "r6"])
    harness.run_steps(60)
    assert harness.actions.count("left") == 2 and harness.actions[-1] == "close"
    assert harness.register.state.artifact_for("r2", BUILD) == NEW  # the member changes after it returns
    harness = LeaderHarness(POLICY)
    harness.deploy_errors = {"r0": f"{BUILD} {NEW.digest} version it ends"}
    harness.register.start(["r0"], ["r2"])
    harness.run_steps(12)
    assert harness.actions == ["next", "worse", "close"]
    harness = LeaderHarness(POLICY, lost=0.9)
    harness.harm = {}
    harness.register.start(["r0"], ["r2"])
    harness.run_steps(8)
    harness.deploy_errors = {name: f"{BUILD} {NEW.digest} host gone" for name in NAMES}
    harness.register.apply(rollout_state.pause_rollout("me", "x", 0.0))
    harness.run_steps(40)
    assert harness.register.rollout.pause is not None and harness.leader.waiting_for == "held by me: x"


# ---------------------------------------------------------------------------- the deployer


class MemoryHost:
    """An agent's stored state, and a host whose artifacts are all in one state."""

    def __init__(self) -> None:
        self.stored: dict[str, Any] = {}
        self.applied: list[str] = []
        self.status = ArtifactStatus(True)

    def get(self, name: str) -> object:
        """Return a stored value."""
        return self.stored.get(name)

    def put(self, **more: object) -> None:
        """Store values."""
        self.stored |= json.loads(json.dumps(more))

    def prepare(self, kind: str, artifact: Artifact) -> ArtifactStatus:
        """Return the state of all artifacts."""
        return self.status

    def apply_settings(self, kind: str, digest: str) -> None:
        """Record the digest."""
        self.applied.append(digest)

    def remove_except(self, needed: Iterable[str]) -> None:
        """Remove nothing."""


def make_deployer(host: MemoryHost, register: RolloutRegister, now: float = 0.0) -> Deployer:
    deployer = Deployer(
        "a",
        host,
        host,
        DeployPolicy(min_healthy_ms=1_000.0, probation_ms=5_000.0, max_exits=2),
        {BUILD: "0", SETTINGS: ""},
    )
    deployer.update_state(register.state, now)
    return deployer


def test_build_is_changed_while_the_member_is_out_and_rolled_back_if_it_exits() -> None:
    register, host, fleet = RolloutRegister(), MemoryHost(), fleet_of_routers()
    register.start()
    register.lead("next")
    deployer, member = make_deployer(host, register), FleetMember(int(MemberKind.ROUTER), "z0")
    assert deployer.next_change(0.0, MemberPhase.IN, member, fleet, 0.0) is not None
    deployer.advance(0.0, MemberPhase.IN, False, True)
    assert deployer.active_digests[BUILD] == "0"  # not without a permit
    deployer.advance(2_500.0, MemberPhase.OUT, False, False)
    assert deployer.active_digests[BUILD] == "0"  # nor under a stale rollout state
    deployer.update_state(register.state, 2_500.0)
    deployer.advance(2_500.0, MemberPhase.OUT, False, False)
    assert (
        deployer.active_digests[BUILD] == "1"
        and deployer.probation_kind == BUILD
        and deployer.is_under_analysis()
    )
    restarted = make_deployer(host, register, 2_500.0)  # restart of the agent
    assert restarted.active_digests[BUILD] == "1" and restarted.probation_kind == BUILD
    for now in (2_600.0, 2_700.0):
        restarted.advance(now, MemberPhase.BACK, True, False)
    assert restarted.active_digests[BUILD] == "0" and not restarted.probation_kind
    assert restarted.describe_failure() == "build 1 version it ended by itself 2 times"
    assert make_deployer(host, register).describe_failure() and not make_deployer(
        host, register
    ).has_pending_work(0.0)  # a failed artifact is not retried
    register.lead("worse")
    assert not make_deployer(host, register).describe_failure()


def test_rollback_has_no_probation() -> None:
    register, host = RolloutRegister(), MemoryHost()
    host.put(runs={BUILD: "1"})
    register.start()
    register.lead("next"), register.lead("worse")
    deployer = make_deployer(host, register)
    deployer.advance(0.0, MemberPhase.OUT, False, False)
    for now in range(9):
        deployer.advance(1_000.0 * now, MemberPhase.BACK, True, False)
    assert deployer.active_digests[BUILD] == "0" and not deployer.probation_kind


def test_settings_are_changed_in_place_and_rolled_back_if_the_router_does_not_serve() -> None:
    for is_healthy, digest in ((True, "1"), (False, "")):
        register, host = RolloutRegister(), MemoryHost()
        register.apply(
            rollout_state.start_rollout(
                SETTINGS, NEW, Artifact("as installed", "", ""), [["a"]], "me", "x", 0.0
            )
        )
        register.lead("next")
        deployer = make_deployer(host, register)
        deployer.advance(0.0, MemberPhase.IN, False, True)
        assert host.applied == ["1"] and deployer.probation_kind == SETTINGS
        for now in range(1, 8):
            deployer.advance(1_000.0 * now, MemberPhase.IN, False, is_healthy)
        assert (
            deployer.active_digests[SETTINGS] == digest
            and host.applied[-1] == digest
            and not deployer.probation_kind
        )


def test_artifact_that_cannot_be_fetched_is_reported_and_retried() -> None:
    register, host = RolloutRegister(), MemoryHost()
    register.start()
    register.lead("next")
    host.status = ArtifactStatus(False, FailureCause.HOST, "no room")
    deployer, member = make_deployer(host, register), FleetMember(int(MemberKind.ROUTER), "z0")
    assert deployer.next_change(
        0.0, MemberPhase.IN, member, fleet_of_routers(), 0.0
    ) is None and deployer.describe_failure().endswith("host no room")
    host.status = ArtifactStatus(True)
    assert deployer.next_change(1.0, MemberPhase.IN, member, fleet_of_routers(), 0.0) is None
    assert deployer.next_change(5_001.0, MemberPhase.IN, member, fleet_of_routers(), 0.0) is not None


# ---------------------------------------------------------------------------- artifacts on a host


def fetch_options(tmp_path: Path, **changed: Any) -> FetchOptions:
    base = tmp_path / "own.json"
    base.write_text(json.dumps({"listen": "127.0.0.1:1", "ops": "127.0.0.1:2", "settings": {"a": 1}}))
    options: dict[str, Any] = {
        "kind": BUILD,
        "config": str(base),
        "check": [],
        "build": "",
        "command": [sys.executable, "{build}/run.py"],
        "settings": "",
        "scratch": str(tmp_path / "trial"),
    }
    return FetchOptions(**(options | changed))


@pytest.mark.parametrize(
    ("run", "more", "error_text"),
    [
        ("import time; time.sleep(60)", {}, ""),
        ("raise SystemExit(3)", {}, "5: a trial start ends with 3"),
        ("import time; time.sleep(60)", {"check": ["false"]}, "5: its check ends with 1: "),
        ("import time; time.sleep(60)", {"digest": "other"}, "4: "),
        ("import time; time.sleep(60)", {"source": "gone"}, "4: No such file or directory"),
        (
            "import time; time.sleep(60)",
            {"command": ["/no/such"]},
            "5: a trial start: No such file or directory",
        ),
    ],
)
def test_artifact_is_fetched_checked_and_tried(
    tmp_path: Path, run: str, more: dict[str, Any], error_text: str
) -> None:
    source = tmp_path / "source"
    source.mkdir()
    (source / "run.py").write_text(run)
    digest = compute_digest(source)
    target = tmp_path / "place"
    try:
        given_source = tmp_path / more.pop("source", "source")
        fetch_artifact(given_source, more.pop("digest", digest), target, fetch_options(tmp_path, **more))
        assert (
            not error_text and target.with_name("place.ready").exists() and compute_digest(target) == digest
        )
        assert json.loads((tmp_path / ".trial.json").read_text())["listen"] == "127.0.0.1:0"
    except FetchError as error:
        assert error_text and f"{error.status}: {error}".startswith(error_text)
        assert not target.with_name("place.ready").exists()


def test_digests_differ_by_build_and_settings_go_into_a_routers_own_file(tmp_path: Path) -> None:
    digests = set[str]()
    for name, text, mode in (("a", "x", 0o644), ("a", "y", 0o644), ("b", "x", 0o644), ("a", "x", 0o755)):
        folder = tmp_path / str(len(digests))
        folder.mkdir()
        (folder / name).write_text(text)
        (folder / name).chmod(mode)
        digests.add(compute_digest(folder))
    assert len(digests) == 4
    settings = tmp_path / "s.json"
    settings.write_text('{"b": 2}')
    base = Path(fetch_options(tmp_path).config)
    assert json.loads(compose_config(base, settings))["settings"] == {"b": 2}
    assert json.loads(compose_config(base, None))["settings"] == {"a": 1}


def test_removed_artifact_is_fetched_again(tmp_path: Path) -> None:
    source = versions.write_build(tmp_path / "new", "good", "new")
    seen = tmp_path / "seen"
    (source / "member.py").write_text("import time; time.sleep(60)")
    (source / "check.py").write_text(
        f"import os; open({str(seen)!r}, 'w').write(repr(sorted(os.environ.items())))"
    )
    artifact = Artifact("new", compute_digest(source), str(source))
    check = [sys.executable, "{build}/check.py"]
    store = LocalArtifactStore(MemoryHost(), tmp_path, MemberProgram(None, None, check, []))  # type: ignore[arg-type]

    def wait() -> ArtifactStatus:
        while not (status := store.prepare(BUILD, artifact)).is_ready and status.cause is FailureCause.NONE:
            pass
        return status

    assert wait().is_ready
    assert seen.read_text() == repr(
        sorted(os.environ.items())
    )  # this program adds nothing to the environment of the check
    store.remove_except([])
    assert not store.path_of(artifact.digest).exists() and wait().is_ready
    store.remove_except([])
    artifact = Artifact("new", artifact.digest, str(tmp_path / "gone"))
    assert wait().cause is FailureCause.HOST


# ---------------------------------------------------------------------------- the drills


def decided(at: float, *allowed: str, back: bool = False, over: str = "") -> ReleaseDecided:
    return ReleaseDecided("record", at, at, 1, over or "bad-1", allowed, back, bool(over))


def test_invariants_of_releases_reject_wrong_histories() -> None:
    begin: list[AnyEvent] = [VersionStarted(name, 0.0, "old") for name in "abc"]
    begin.append(ReleaseDecided("record", 0.5, 0.5, 0, "old", over=True))
    bounds = release_invariants.ReleaseBounds(2.0, {"bad-1": 1}, ["a", "b", "c"])
    back: list[AnyEvent] = [
        decided(5.0, back=True),
        VersionStarted("a", 8.0, "old"),
        decided(9.0, over="old"),
    ]
    table: list[tuple[list[AnyEvent], set[str]]] = [
        ([decided(1.0, "a"), VersionStarted("a", 2.0, "bad-1"), *back], set()),
        (
            [decided(1.0, "a"), VersionStarted("b", 2.0, "bad-1"), VersionStarted("b", 3.0, "old"), *back],
            {"reach"},
        ),
        ([decided(1.0, "a"), VersionStarted("a", 7.5, "bad-1"), *back], {"reach"}),
        (
            [
                decided(1.0, "a", "b"),
                VersionStarted("a", 2.0, "bad-1"),
                VersionStarted("b", 3.0, "bad-1"),
                VersionStarted("b", 4.0, "old"),
                *back,
            ],
            {"stopped"},
        ),
        ([decided(1.0, "a"), VersionStarted("a", 2.0, "bad-1"), decided(9.0, over="old")], {"one version"}),
        ([decided(1.0, "a"), VersionStarted("a", 2.0, "bad-1")], {"one version"}),
        (
            [decided(1.0, "a"), VersionStarted("a", 2.0, "bad-1"), decided(9.0, over="bad-1")],
            {"one version", "taken back"},
        ),
    ]
    for events, invariants in table:
        ordered: list[AnyEvent] = [*begin, *events]
        ordered.sort(key=lambda event: event.at)
        assert {
            one.invariant for one in release_invariants.check_invariants(ordered, bounds)[0]
        } == invariants


def test_simulated_releases_under_faults_violate_no_invariant() -> None:
    config = runner._simulation_config(drill_file.load_drill(ROOT / "drills" / "releases-simulated.toml"))
    logging.disable(logging.CRITICAL)
    try:
        results = [simulated_releases.run_drill(replace(config, duration_s=70.0), seed) for seed in (1, 2, 2)]
    finally:
        logging.disable(logging.NOTSET)
    assert not any(result.violations for result in results)
    counts = sum((result.counts for result in results), Counter())
    assert counts["releases taken back"] and counts["bad versions begun"] and counts["versions begun"] > 15
    assert results[1].counts == results[2].counts  # a seed gives one history


def test_benchmark_model_finds_a_regression_and_completes_an_equal_version() -> None:
    regression = release_benchmark.REGRESSIONS[0]
    run = release_benchmark.run_release(1, regression, False, "judged", routers=40)
    assert run.found_worse and run.members_reached <= 2 and not run.completed
    assert release_benchmark.run_release(
        1, release_benchmark.Regression("no worse"), False, "clock", routers=40
    ).completed


@pytest.mark.parametrize(
    ("text", "named_fault"),
    [
        ('waves = ["half"]', "waves"),
        ("probation = 5.0", "probation is less"),
        ("patience = 1.0", "patience is less"),
        ("sure = 1", "sure"),
        ('unsure = "never"', "unsure"),
    ],
)
def test_faults_of_releases_in_the_fleet_file_are_named(tmp_path: Path, text: str, named_fault: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(f'[witnesses]\nw1 = "127.0.0.1:1"\n[releases]\n{text}\n')
    with pytest.raises(fleet_file.FleetFileError, match=named_fault):
        fleet_file.load(path)
    defaults = fleet_file.load(ROOT / "deploy" / "fleet.toml")[0].releases
    assert rollout_policy_of(defaults) == RolloutPolicy()  # the file states the defaults
    other = defaults.model_copy(update={"unsure": "go", "auto_back": False, "pool": 2.0, "line": 0.3})
    assert rollout_policy_of(other) == RolloutPolicy(
        asks_operator=False, rolls_back_automatically=False, interval_ms=2_000.0, max_loss_share=0.3
    )


def test_command_reports_wrong_arguments(tmp_path: Path) -> None:
    for arguments, message in (
        (["release", "start"], "name a build, or --settings"),
        (["release", "halt"], "release halt needs --why"),
        (["release", "start", "--settings", "x", "y"], "name a build, or --settings"),
    ):
        command = [sys.executable, "-m", "rosepick", *arguments]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
        assert done.returncode == 2 and message in done.stderr, done.stderr


def test_member_that_was_healthy_at_its_rollback_drains_once_more() -> None:
    register, host, fleet = RolloutRegister(), MemoryHost(), fleet_of_routers()
    register.start()
    deployer, member = make_deployer(host, register), FleetMember(int(MemberKind.ROUTER), "z0")
    deployer.advance(0.0, MemberPhase.IN, False, True, runs_wrong_build=True)
    assert deployer.next_change(
        0.0, MemberPhase.IN, member, fleet, 0.0
    ) is not None and deployer.has_pending_work(0.0)
    leaving = FleetMember(int(MemberKind.ROUTER), "z0", drain_request=DrainRequest(1, "release 1", "x"))
    assert (
        deployer.next_change(0.0, MemberPhase.GIVEN, leaving, fleet, 0.0) is None
    )  # the drain is not cancelled before the member is out
    assert deployer.next_change(0.0, MemberPhase.OUT, leaving, fleet, 0.0) is not None


def test_short_drill_of_releases_on_real_processes(tmp_path: Path) -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "releases-short.toml")
    result = runner.run_real(drill, 2, tmp_path / "drill", keep_folder=False)
    assert not result.failure_reason and not result.violations, "\n".join(result.lines)
    assert result.counts["releases"] and result.counts["versions begun"] > 4
