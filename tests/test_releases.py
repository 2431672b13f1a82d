"""Releases without sockets: record, waves, leader, judge, carrier, versions on a host; then the drills."""

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
    digest_of,
    fetch_artifact,
)
from rosepick.coordination.artifact_store import LocalArtifactStore, MemberProgram
from rosepick.fleet import fleet_state as book
from rosepick.fleet import rollout_state
from rosepick.fleet.canary_analysis import CanaryAnalysis, CanaryStatus, HealthMetrics
from rosepick.fleet.deployer import ArtifactStatus, Deployer, DeployPolicy, FailureCause
from rosepick.fleet.disruption_budget import DisruptionBudget, Limit, blocking_reasons
from rosepick.fleet.failure_detector import HealthReport
from rosepick.fleet.fleet_state import DrainRequest, FleetMember, FleetState, MemberKind, MemberPhase
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


class Shelf:
    """The record's register, as a quorum would keep it."""

    def __init__(self) -> None:
        self.register = Register()

    def make(self, change: RegisterChange) -> bool:
        """Whether a change is made."""
        try:
            self.register = Register(self.register.version + 1, "m", change(self.register))
        except ChangeRejectedError:
            return False
        return True

    @property
    def record(self) -> RolloutState:
        """What it says."""
        return rollout_state.decode_rollout_state(self.register)

    @property
    def now(self) -> rollout_state.Rollout:
        """The open release."""
        assert self.record.open_rollout is not None
        return self.record.open_rollout

    def start(self, *waves: list[str], kind: str = BUILD) -> bool:
        """Open one."""
        return self.make(
            rollout_state.start_rollout(kind, NEW, OLD, waves or (["a"], ["b", "c"]), "me", "x", 0.0)
        )

    def led(self, what: str, token: int = 1, seen: rollout_state.Rollout | None = None, **more: Any) -> bool:
        """A leader's step."""
        return self.make(
            rollout_state.advance_rollout(seen or self.now, token, "l", 0.0, what, "why", **more)
        )


def ledger(zones: int = 2, **more: FleetMember) -> FleetState:
    """Eight routers that are in."""
    members = {
        name: FleetMember(int(MemberKind.ROUTER), f"z{n % zones}", was_healthy=True)
        for n, name in enumerate(NAMES)
    }
    return FleetState(members={**members, **more, "cache": FleetMember(int(MemberKind.CACHE), "z0")})


# ---------------------------------------------------------------------------- the record


def test_a_release_goes_through_its_waves_and_who_was_off_comes_to_it() -> None:
    shelf = Shelf()
    assert shelf.start() and not shelf.start()  # two at a time there are not
    assert shelf.now.artifact_for("a") == OLD  # its leader learns what is usual first
    for may in ("a", "abc"):
        assert shelf.led("next")
        runs = {name: shelf.record.artifact_for(name, BUILD) for name in "abcd"}
        assert {name for name, thing in runs.items() if thing == NEW} == set(may)
    assert shelf.record.artifact_for("a", SETTINGS) is None
    assert (
        shelf.led("next") and shelf.now.phase == RolloutPhase.OBSERVE and shelf.now.artifact_for("d") == NEW
    )
    assert shelf.led("close") and shelf.record.open_rollout is None
    assert shelf.record.artifact_for("d", BUILD) == NEW  # a day later, too
    assert not shelf.start()  # it is what all run
    assert shelf.make(rollout_state.start_rollout(BUILD, OLD, NEW, [["a"]], "me", "x", 0.0))


def test_the_way_back_ends_with_the_old_one_and_can_be_turned() -> None:
    shelf = Shelf()
    shelf.start()
    shelf.led("next"), shelf.led("next")
    assert shelf.led("worse") and shelf.now.phase == RolloutPhase.ROLLBACK
    assert [shelf.now.artifact_for(name) for name in "abcd"] == [NEW, OLD, OLD, OLD]
    assert (
        shelf.make(rollout_state.roll_forward("me", "x", 0.0))
        and shelf.now.wave == 0
        and not shelf.now.evidence
    )
    assert shelf.make(rollout_state.roll_back("me", "x", 0.0)) and shelf.led("close")
    assert shelf.record.artifact_for("a", BUILD) == OLD and not shelf.make(
        rollout_state.roll_back("me", "x", 0.0)
    )


def test_a_leader_under_an_old_token_or_an_old_reading_moves_nothing() -> None:
    shelf = Shelf()
    shelf.start()
    seen = shelf.now
    assert shelf.led("next", token=5)
    assert not shelf.led("next", token=4)  # an older token
    assert not shelf.led("next", token=6, seen=seen)  # it was paused meanwhile
    assert shelf.make(rollout_state.pause_rollout("me", "x", 0.0)) and not shelf.led("next", token=6)
    assert shelf.make(rollout_state.resume_rollout("me", "x", 0.0)) and not shelf.now.operator_accepted
    assert shelf.led("ask", token=6) and shelf.now.awaits_operator
    assert shelf.make(rollout_state.resume_rollout("me", "x", 0.0)) and shelf.now.operator_accepted


def test_newer_and_broken_records_are_not_read() -> None:
    for value in (
        bytes([rollout_state.FORMAT_VERSION + 1]) + b"x",
        bytes([rollout_state.FORMAT_VERSION]) + b"torn",
    ):
        with pytest.raises(DocumentDecodeError):
            rollout_state.decode_rollout_state(Register(1, "m", value))
    full = ledger()
    waves = rollout_state.plan_waves(full, [1, "25%", "zone", "rest"])
    assert waves == [["r0"], ["r2", "r4"], ["r6"], ["r1", "r3", "r5", "r7"]]  # zones are not mixed
    assert rollout_state.plan_waves(full, ["rest"]) == [["r0", "r2", "r4", "r6"], ["r1", "r3", "r5", "r7"]]


def test_the_way_back_has_a_wider_budget_and_passes_a_halt() -> None:
    one, two = Limit(most=1, share=1.0, zone_share=1.0), Limit(most=2, share=1.0, zone_share=1.0)
    out = FleetMember(int(MemberKind.ROUTER), "z0", phase=int(MemberPhase.OUT), permit=1)
    for wide, budget, halt, may in (
        (True, DisruptionBudget(one, one, rollback_routers=two), None, True),
        (False, DisruptionBudget(one, one, rollback_routers=two), None, False),
        (True, DisruptionBudget(one, one), None, False),
        (True, DisruptionBudget(one, one, rollback_routers=two), book.HaltState("a", "b", 0.0), True),
    ):
        wants = FleetMember(
            int(MemberKind.ROUTER),
            "z1",
            drain_request=DrainRequest(1, "release 1", "x", uses_rollback_limit=wide),
        )
        told = FleetState(
            members={"r0": out, "r1": wants, "r2": FleetMember(0, "z0"), "r3": FleetMember(0, "z1")},
            halt=halt,
        )
        assert (not blocking_reasons(told, budget, "r1", 600)) is may


# ---------------------------------------------------------------------------- judge and leader


def figures(rng: random.Random, **bad: float) -> HealthMetrics:
    """Of a router in one interval."""
    asked = max(5.0, rng.gauss(50.0, 10.0))
    lost = asked * (0.004 * rng.random() + bad.get("lost", 0.0))
    cpu = asked * 0.002 * rng.uniform(0.85, 1.15) * bad.get("slow", 1.0)
    memory = 40_000.0 * rng.uniform(0.99, 1.01) * bad.get("big", 1.0)
    return HealthMetrics(asked - lost, lost, cpu, memory, rng.uniform(0.7, 1.3) * bad.get("door", 1.0))


@pytest.mark.parametrize(
    ("bad", "verdict", "what"),
    [
        ({}, CanaryStatus.NOT_WORSE, ""),
        ({"lost": 0.3}, CanaryStatus.WORSE, "requests lost"),
        ({"slow": 1.4}, CanaryStatus.WORSE, "processor time"),
        ({"big": 1.5}, CanaryStatus.WORSE, "memory"),
        ({"door": 5.0}, CanaryStatus.WORSE, "time of the door"),
    ],
)
@pytest.mark.parametrize("all_feel", [False, True])
def test_the_judge_tells_what_is_worse_from_what_all_feel(
    bad: dict[str, float], verdict: CanaryStatus, what: str, all_feel: bool
) -> None:
    for seed in range(6):
        rng = random.Random(seed)
        judge = CanaryAnalysis({name: f"z{n % 2}" for n, name in enumerate(NAMES)}, harm_factor=2.0)
        for _ in range(8):
            judge.add_interval({name: figures(rng) for name in NAMES})
        judge.begin_comparison(["r0"], NAMES[1:])
        for _ in range(80):
            worse = {name: bad if name == "r0" else {} for name in NAMES}
            origin = {"lost": 0.3} if all_feel else {}  # new and old alike
            judge.add_interval({name: figures(rng, **{**origin, **worse[name]}) for name in NAMES})
            if judge.verdict().status is not CanaryStatus.INCONCLUSIVE:
                break
        if all_feel and what == "requests lost":
            assert judge.verdict().status is not CanaryStatus.WORSE
        else:
            assert judge.verdict().status is verdict and what in judge.verdict().reason
        again = CanaryAnalysis({name: f"z{n % 2}" for n, name in enumerate(NAMES)}, harm_factor=2.0)
        again.resume(["r0"], NAMES[1:], judge.export_state())
        assert again.export_state() == judge.export_state()  # whoever leads next goes on from here


class Led:
    """A leader and eight routers that do at once what they are told, by beats of a second."""

    def __init__(self, plan: RolloutPolicy, **bad: float) -> None:
        self.shelf, self.leader, self.bad, self.plan = Shelf(), RolloutLeader(plan, 0.0), bad, plan
        self.rng, self.now, self.trouble = random.Random(1), 0.0, dict[str, str]()
        self.ledger = ledger()
        self.said: list[str] = []

    def beats(self, count: int, token: int = 1) -> None:
        """Let time go by."""
        for beat in range(count):
            self.now += 1_000.0
            for name in NAMES:
                goal = self.shelf.record.artifact_for(name, BUILD) or OLD
                build = OLD if name in self.trouble else goal
                one = figures(self.rng, **(self.bad if build == NEW else {}))
                report = HealthReport(
                    1,
                    int(self.now) + beat,
                    True,
                    True,
                    one.served,
                    0.0,
                    one.lost,
                    cpu=one.cpu_s,
                    memory=one.memory_kib,
                    door=one.admin_latency_ms,
                    build=build.digest,
                    deploy_error=self.trouble.get(name, ""),
                )
                self.leader.add_report(name, report)
            step = self.leader.step(self.shelf.record, self.ledger, self.now, 0.0, "l", token)
            if step is not None and self.shelf.make(step.change) and step.action != "note":
                self.said.append(step.action)


PLAN = RolloutPolicy(
    min_watch_ms=4_000.0,
    max_watch_ms=30_000.0,
    final_watch_ms=3_000.0,
    interval_ms=1_000.0,
    min_baseline_intervals=6,
    lost_timeout_ms=2_000.0,
)


def test_a_leader_takes_a_good_version_through_and_a_bad_one_back() -> None:
    for bad, steps, runs in (
        ({}, ["next"] * 4 + ["close"], NEW),
        ({"lost": 0.3}, ["next", "worse", "close"], OLD),
    ):
        led = Led(PLAN, **bad)
        led.shelf.start(["r0"], ["r2", "r4", "r6"], ["r1", "r3", "r5", "r7"])
        led.beats(120)
        assert led.said == steps and led.shelf.record.artifact_for("r0", BUILD) == runs


def test_another_leader_goes_on_with_the_evidence_of_the_one_before() -> None:
    led = Led(PLAN, lost=0.05)
    led.shelf.start(["r0"], NAMES[1:])
    led.beats(8)
    assert led.shelf.now.wave == 0 and led.shelf.now.evidence
    led.leader = RolloutLeader(PLAN, led.now)
    led.beats(20, token=2)
    assert "worse" in led.said and led.shelf.record.token == 2


def test_who_cannot_follow_is_left_behind_and_what_fails_on_one_is_worse() -> None:
    lost = FleetMember(int(MemberKind.ROUTER), "z0", lost=True, was_healthy=True)
    led = Led(replace(PLAN, asks_operator=False))
    led.ledger = ledger(r2=lost)
    led.trouble = {"r2": "", "r4": f"{BUILD} {NEW.digest} host no room"}
    led.shelf.start(["r0"], ["r2", "r4", "r6"])
    led.beats(60)
    assert led.said.count("left") == 2 and led.said[-1] == "close"
    assert led.shelf.record.artifact_for("r2", BUILD) == NEW  # it comes to it when it is back
    led = Led(PLAN)
    led.trouble = {"r0": f"{BUILD} {NEW.digest} version it ends"}
    led.shelf.start(["r0"], ["r2"])
    led.beats(12)
    assert led.said == ["next", "worse", "close"]
    led = Led(PLAN, lost=0.9)
    led.bad, led.plan = {}, PLAN
    led.shelf.start(["r0"], ["r2"])
    led.beats(8)
    led.trouble = {name: f"{BUILD} {NEW.digest} host gone" for name in NAMES}
    led.shelf.make(rollout_state.pause_rollout("me", "x", 0.0))
    led.beats(40)
    assert led.shelf.now.pause is not None and led.leader.waiting_for == "held by me: x"


# ---------------------------------------------------------------------------- an agent's part


class Disk:
    """What an agent keeps, and a host where everything is there at once."""

    def __init__(self) -> None:
        self.kept: dict[str, Any] = {}
        self.applied: list[str] = []
        self.found = ArtifactStatus(True)

    def get(self, name: str) -> object:
        """What was kept."""
        return self.kept.get(name)

    def put(self, **more: object) -> None:
        """Keep it."""
        self.kept |= json.loads(json.dumps(more))

    def prepare(self, kind: str, artifact: Artifact) -> ArtifactStatus:
        """How far it is."""
        return self.found

    def apply_settings(self, kind: str, digest: str) -> None:
        """Settings in force."""
        self.applied.append(digest)

    def remove_except(self, needed: Iterable[str]) -> None:
        """What nobody goes back to."""


def carrier(disk: Disk, shelf: Shelf, now: float = 0.0) -> Deployer:
    one = Deployer(
        "a",
        disk,
        disk,
        DeployPolicy(min_healthy_ms=1_000.0, probation_ms=5_000.0, max_exits=2),
        {BUILD: "0", SETTINGS: ""},
    )
    one.update_state(shelf.record, now)
    return one


def test_a_build_goes_over_while_it_is_out_and_comes_back_if_it_ends_by_itself() -> None:
    shelf, disk, wall = Shelf(), Disk(), ledger()
    shelf.start()
    shelf.led("next")
    one, mine = carrier(disk, shelf), FleetMember(int(MemberKind.ROUTER), "z0")
    assert one.next_change(0.0, MemberPhase.IN, mine, wall, 0.0) is not None
    one.advance(0.0, MemberPhase.IN, False, True)
    assert one.active_digests[BUILD] == "0"  # not without a permit
    one.advance(2_500.0, MemberPhase.OUT, False, False)
    assert one.active_digests[BUILD] == "0"  # nor by a reading that is old
    one.update_state(shelf.record, 2_500.0)
    one.advance(2_500.0, MemberPhase.OUT, False, False)
    assert one.active_digests[BUILD] == "1" and one.probation_kind == BUILD and one.is_under_analysis()
    again = carrier(disk, shelf, 2_500.0)  # its agent starts anew
    assert again.active_digests[BUILD] == "1" and again.probation_kind == BUILD
    for now in (2_600.0, 2_700.0):
        again.advance(now, MemberPhase.BACK, True, False)
    assert again.active_digests[BUILD] == "0" and not again.probation_kind
    assert again.describe_failure() == "build 1 version it ended by itself 2 times"
    assert carrier(disk, shelf).describe_failure() and not carrier(disk, shelf).has_pending_work(
        0.0
    )  # and is not tried again
    shelf.led("worse")
    assert not carrier(disk, shelf).describe_failure()


def test_on_the_way_back_nobody_returns_to_what_is_worse() -> None:
    shelf, disk = Shelf(), Disk()
    disk.put(runs={BUILD: "1"})
    shelf.start()
    shelf.led("next"), shelf.led("worse")
    one = carrier(disk, shelf)
    one.advance(0.0, MemberPhase.OUT, False, False)
    for now in range(9):
        one.advance(1_000.0 * now, MemberPhase.BACK, True, False)
    assert one.active_digests[BUILD] == "0" and not one.probation_kind


def test_settings_are_taken_in_place_and_given_up_if_the_router_does_not_serve() -> None:
    for serves, runs in ((True, "1"), (False, "")):
        shelf, disk = Shelf(), Disk()
        shelf.make(
            rollout_state.start_rollout(
                SETTINGS, NEW, Artifact("as installed", "", ""), [["a"]], "me", "x", 0.0
            )
        )
        shelf.led("next")
        one = carrier(disk, shelf)
        one.advance(0.0, MemberPhase.IN, False, True)
        assert disk.applied == ["1"] and one.probation_kind == SETTINGS
        for now in range(1, 8):
            one.advance(1_000.0 * now, MemberPhase.IN, False, serves)
        assert one.active_digests[SETTINGS] == runs and disk.applied[-1] == runs and not one.probation_kind


def test_what_a_host_cannot_get_is_said_and_tried_again() -> None:
    shelf, disk = Shelf(), Disk()
    shelf.start()
    shelf.led("next")
    disk.found = ArtifactStatus(False, FailureCause.HOST, "no room")
    one, mine = carrier(disk, shelf), FleetMember(int(MemberKind.ROUTER), "z0")
    assert one.next_change(
        0.0, MemberPhase.IN, mine, ledger(), 0.0
    ) is None and one.describe_failure().endswith("host no room")
    disk.found = ArtifactStatus(True)
    assert one.next_change(1.0, MemberPhase.IN, mine, ledger(), 0.0) is None
    assert one.next_change(5_001.0, MemberPhase.IN, mine, ledger(), 0.0) is not None


# ---------------------------------------------------------------------------- versions on a host


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
    ("run", "more", "why"),
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
def test_a_version_is_fetched_checked_and_tried(
    tmp_path: Path, run: str, more: dict[str, Any], why: str
) -> None:
    source = tmp_path / "source"
    source.mkdir()
    (source / "run.py").write_text(run)
    digest = digest_of(source)
    target = tmp_path / "place"
    try:
        given_source = tmp_path / more.pop("source", "source")
        fetch_artifact(given_source, more.pop("digest", digest), target, fetch_options(tmp_path, **more))
        assert not why and target.with_name("place.ready").exists() and digest_of(target) == digest
        assert json.loads((tmp_path / ".trial.json").read_text())["listen"] == "127.0.0.1:0"
    except FetchError as error:
        assert why and f"{error.status}: {error}".startswith(why)
        assert not target.with_name("place.ready").exists()


def test_digests_tell_builds_apart_and_settings_are_put_into_a_routers_own_file(tmp_path: Path) -> None:
    digests = set[str]()
    for name, text, mode in (("a", "x", 0o644), ("a", "y", 0o644), ("b", "x", 0o644), ("a", "x", 0o755)):
        folder = tmp_path / str(len(digests))
        folder.mkdir()
        (folder / name).write_text(text)
        (folder / name).chmod(mode)
        digests.add(digest_of(folder))
    assert len(digests) == 4
    settings = tmp_path / "s.json"
    settings.write_text('{"b": 2}')
    base = Path(fetch_options(tmp_path).config)
    assert json.loads(compose_config(base, settings))["settings"] == {"b": 2}
    assert json.loads(compose_config(base, None))["settings"] == {"a": 1}


def test_a_version_that_is_removed_is_fetched_again_and_others_are_forgotten(tmp_path: Path) -> None:
    source = versions.write_build(tmp_path / "new", "good", "new")
    seen = tmp_path / "seen"
    (source / "member.py").write_text("import time; time.sleep(60)")
    (source / "check.py").write_text(
        f"import os; open({str(seen)!r}, 'w').write(repr(sorted(os.environ.items())))"
    )
    artifact = Artifact("new", digest_of(source), str(source))
    check = [sys.executable, "{build}/check.py"]
    store = LocalArtifactStore(Disk(), tmp_path, MemberProgram(None, None, check, []))  # type: ignore[arg-type]

    def wait() -> ArtifactStatus:
        while not (status := store.prepare(BUILD, artifact)).is_ready and status.cause is FailureCause.NONE:
            pass
        return status

    assert wait().is_ready
    assert seen.read_text() == repr(
        sorted(os.environ.items())
    )  # nothing of this program is put before the version's
    store.remove_except([])
    assert not store.path_of(artifact.digest).exists() and wait().is_ready
    store.remove_except([])
    artifact = Artifact("new", artifact.digest, str(tmp_path / "gone"))
    assert wait().cause is FailureCause.HOST


# ---------------------------------------------------------------------------- the drills


def test_the_judge_of_releases_turns_down_wrong_histories() -> None:
    def decided(at: float, *may: str, back: bool = False, over: str = "") -> ReleaseDecided:
        return ReleaseDecided("record", at, at, 1, over or "bad-1", may, back, bool(over))

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
    for events, claims in table:
        ordered: list[AnyEvent] = [*begin, *events]
        ordered.sort(key=lambda event: event.at)
        assert {one.invariant for one in release_invariants.check_invariants(ordered, bounds)[0]} == claims


def test_simulated_releases_under_faults() -> None:
    whole = runner._simulation_config(drill_file.load_drill(ROOT / "drills" / "releases-simulated.toml"))
    logging.disable(logging.CRITICAL)
    try:
        verdicts = [simulated_releases.run_drill(replace(whole, duration_s=70.0), seed) for seed in (1, 2, 2)]
    finally:
        logging.disable(logging.NOTSET)
    assert not any(verdict.violations for verdict in verdicts)
    counts = sum((verdict.counts for verdict in verdicts), Counter())
    assert counts["releases taken back"] and counts["bad versions begun"] and counts["versions begun"] > 15
    assert verdicts[1].counts == verdicts[2].counts  # a seed is a history


def test_the_model_of_releases() -> None:
    way = release_benchmark.REGRESSIONS[0]
    run = release_benchmark.run_release(1, way, False, "judged", routers=40)
    assert run.found_worse and run.members_reached <= 2 and not run.completed
    assert release_benchmark.run_release(
        1, release_benchmark.Regression("no worse"), False, "clock", routers=40
    ).completed


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('waves = ["half"]', "waves"),
        ("probation = 5.0", "probation is less"),
        ("patience = 1.0", "patience is less"),
        ("sure = 1", "sure"),
        ('unsure = "never"', "unsure"),
    ],
)
def test_faults_of_the_releases_in_a_fleets_file_are_named(tmp_path: Path, text: str, fault: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(f'[witnesses]\nw1 = "127.0.0.1:1"\n[releases]\n{text}\n')
    with pytest.raises(fleet_file.FleetFileError, match=fault):
        fleet_file.load(path)
    told = fleet_file.load(ROOT / "deploy" / "fleet.toml")[0].releases
    assert rollout_policy_of(told) == RolloutPolicy()  # the file states the defaults
    other = told.model_copy(update={"unsure": "go", "auto_back": False, "pool": 2.0, "line": 0.3})
    assert rollout_policy_of(other) == RolloutPolicy(
        asks_operator=False, rolls_back_automatically=False, interval_ms=2_000.0, max_loss_share=0.3
    )


def test_the_command_says_what_is_wrong(tmp_path: Path) -> None:
    for given, said in (
        (["release", "start"], "name a build, or --settings"),
        (["release", "halt"], "release halt needs --why"),
        (["release", "start", "--settings", "x", "y"], "name a build, or --settings"),
    ):
        command = [sys.executable, "-m", "rosepick", *given]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
        assert done.returncode == 2 and said in done.stderr, done.stderr


def test_one_that_was_found_back_just_as_it_was_taken_back_goes_out_once_more() -> None:
    shelf, disk, wall = Shelf(), Disk(), ledger()
    shelf.start()
    one, mine = carrier(disk, shelf), FleetMember(int(MemberKind.ROUTER), "z0")
    one.advance(0.0, MemberPhase.IN, False, True, runs_wrong_build=True)
    assert one.next_change(0.0, MemberPhase.IN, mine, wall, 0.0) is not None and one.has_pending_work(0.0)
    wanted = FleetMember(int(MemberKind.ROUTER), "z0", drain_request=DrainRequest(1, "release 1", "x"))
    assert (
        one.next_change(0.0, MemberPhase.GIVEN, wanted, wall, 0.0) is None
    )  # and is not called in before it has gone
    assert one.next_change(0.0, MemberPhase.OUT, wanted, wall, 0.0) is not None


def test_a_short_drill_of_releases_on_real_processes(tmp_path: Path) -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "releases-short.toml")
    result = runner.run_real(drill, 2, tmp_path / "drill", keep_folder=False)
    assert not result.failure_reason and not result.violations, "\n".join(result.lines)
    assert result.counts["releases"] and result.counts["versions begun"] > 4
