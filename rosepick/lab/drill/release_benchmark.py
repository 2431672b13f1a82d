"""What releases cost and what they find: the leader and the record as they are, on a model of 200 routers.

Routers differ for good (hosts, traffic), zones feel bursts together, load goes up and down, a young process
is smaller than an old one: what is the same for the new version and the old one must not raise an alarm.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from math import exp, sin

from ...consensus.messages import Register
from ...consensus.proposer import ChangeRejectedError, RegisterChange
from ...fleet import rollout_state
from ...fleet.failure_detector import HealthReport
from ...fleet.fleet_state import FleetMember, FleetState, MemberKind, MemberPhase
from ...fleet.leader_steps import LeaderAction, LeaderContext, LeaderUpdate, apply_leader_update
from ...fleet.rollout_leader import RolloutLeader, RolloutPolicy
from ...fleet.rollout_state import BUILD, Artifact, RolloutPhase, RolloutState

ZONES = 4
HEARTBEAT_INTERVAL_S = 1.5  # seconds
MEMBER_CHANGE_S = 15.0  # a member's way out and back, with its probation
OPERATOR_NOTICE_S = 600.0  # seconds until people notice by themselves, where nobody looks
FIXED_WAVE_S = 60.0  # of fixed waves
MAX_RELEASE_S = 3_600.0
OLD_ARTIFACT, NEW_ARTIFACT = Artifact("old", "0", "/old"), Artifact("new", "1", "/new")


@dataclass(frozen=True, slots=True)
class Regression:
    """In which way the new version is worse: its part of requests lost, processor time, memory a minute."""

    name: str
    lost_share: float = 0.0
    cpu_factor: float = 1.0
    memory_growth_per_min: float = 0.0
    zone: int = -1  # in one zone only
    fails_to_start: bool = False


REGRESSIONS = (
    Regression("loses 30%", lost_share=0.3),
    Regression("loses 5%", lost_share=0.05),
    Regression("loses 1%", lost_share=0.01),
    Regression("30% slower", cpu_factor=1.3),
    Regression("15% slower", cpu_factor=1.15),
    Regression("leaks 5% a minute", memory_growth_per_min=0.05),
    Regression("loses 30% in one zone", lost_share=0.3, zone=ZONES - 1),
    Regression("does not start", fails_to_start=True),
)


@dataclass(slots=True)
class ReleaseRun:
    """One release: how it ended, requests that met a worse version, seconds until it was stopped, until all
    were back or through, and the most members that ran it.
    """

    completed: bool = False
    found_worse: bool = False
    hold_count: int = 0
    harmed_requests: float = 0.0
    stopped_after_s: float | None = None
    finished_after_s: float = 0.0
    members_reached: int = 0


class ReleaseModel:
    """200 routers and a release; time goes by beats."""

    def __init__(self, seed: int, regression: Regression, busy: bool, routers: int, policy: str) -> None:
        self.rng = random.Random(f"{seed} {regression.name} {busy}")
        self.regression, self.busy, self.policy = regression, busy, policy
        self.names = [f"r{n:03}" for n in range(routers)]
        self.zone = {name: n % ZONES for n, name in enumerate(self.names)}
        self.rate = {name: self.rng.lognormvariate(2.0, 0.6) * (3.0 if busy else 1.0) for name in self.names}
        self.host = {name: self.rng.gauss(0.0, 0.15) for name in self.names}
        self.version = dict.fromkeys(self.names, OLD_ARTIFACT.digest)
        self.started_at = dict.fromkeys(self.names, -1e9)
        self.moving_until: dict[str, float] = {}  # until when it is out
        self.failed: set[str] = set()
        self.time, self.beat = 0.0, 0
        self.bursts = [0.0] * ZONES
        self.register = Register()
        self.run = ReleaseRun()

    @property
    def record(self) -> RolloutState:
        """As it is."""
        return rollout_state.decode_rollout_state(self.register)

    def apply_change(self, change: RegisterChange) -> None:
        """Change the record."""
        try:
            self.register = Register(self.register.version + 1, "m", change(self.register))
        except ChangeRejectedError:
            return

    def fleet_state(self) -> FleetState:
        """Who is in."""
        members = {
            name: FleetMember(
                int(MemberKind.ROUTER),
                f"z{self.zone[name]}",
                phase=int(MemberPhase.OUT if name in self.moving_until else MemberPhase.IN),
            )
            for name in self.names
        }
        return FleetState(members=members)

    def _runs_regression(self, name: str) -> bool:
        here = self.regression.zone in (-1, self.zone[name])
        return self.version[name] == NEW_ARTIFACT.digest and here

    def health_report(self, name: str) -> HealthReport:
        """What its agent tells."""
        rng, up = self.rng, name not in self.moving_until
        load = 1.0 + 0.3 * sin(self.time / 200.0 + self.zone[name])
        asked = max(0.0, rng.gauss(1.0, 0.35)) * self.rate[name] * load * up
        bad = self._runs_regression(name)
        part = 0.002 + self.bursts[self.zone[name]] + (self.regression.lost_share if bad else 0.0)
        lost = min(asked, asked * part * rng.lognormvariate(-0.3, 0.8))
        cpu = (
            asked
            * 0.002
            * exp(self.host[name] + rng.gauss(0.0, 0.1))
            * (self.regression.cpu_factor if bad else 1.0)
        )
        age = self.time - self.started_at[name]
        memory = 30_000.0 * (1.0 - 0.2 * exp(-age / 60.0)) * exp(rng.gauss(0.0, 0.01))
        memory *= 1.0 + (self.regression.memory_growth_per_min * age / 60.0 if bad else 0.0)
        if bad and (
            self.regression.lost_share
            or self.regression.cpu_factor > 1.0
            or self.regression.memory_growth_per_min
        ):
            self.run.harmed_requests += HEARTBEAT_INTERVAL_S * (
                asked * self.regression.lost_share if self.regression.lost_share else asked
            )
        door = rng.lognormvariate(0.0, 0.4)
        trouble = f"{BUILD} {NEW_ARTIFACT.digest} version it ends" if name in self.failed else ""
        return HealthReport(
            1,
            self.beat,
            up,
            True,
            asked - lost,
            0.0,
            lost,
            cpu=cpu,
            memory=memory,
            door=door,
            build=self.version[name],
            deploy_error=trouble,
        )

    def _move_members(self, max_moving: int) -> None:
        """Members go over, so many at a time."""
        for name, until in list(self.moving_until.items()):
            if self.time >= until:
                del self.moving_until[name]
        record = self.record
        for name in self.names:
            goal = record.artifact_for(name, BUILD)
            held = record.open_rollout is not None and record.open_rollout.pause is not None
            if goal is None or goal.digest == self.version[name] or name in self.moving_until or held:
                continue
            if name in self.failed or len(self.moving_until) >= max_moving:
                continue
            self.moving_until[name] = self.time + MEMBER_CHANGE_S
            if self.regression.fails_to_start and goal == NEW_ARTIFACT:
                self.failed.add(name)
            else:
                self.version[name], self.started_at[name] = goal.digest, self.time + MEMBER_CHANGE_S
        reached = sum(version == NEW_ARTIFACT.digest for version in self.version.values())
        self.run.members_reached = max(self.run.members_reached, reached)

    def advance(self) -> None:
        """A beat goes by."""
        self.time += HEARTBEAT_INTERVAL_S
        self.beat += 1
        for zone in range(ZONES):
            begins = self.rng.random() < (0.02 if self.busy else 0.005)
            self.bursts[zone] = 0.1 * self.rng.random() if begins else 0.7 * self.bursts[zone]


def run_release(seed: int, regression: Regression, busy: bool, policy: str, routers: int = 200) -> ReleaseRun:
    """One release. `policy`: "judged" (this), "clock" (the same waves, a minute each, nobody looks), "at
    once".
    """
    model, plan = ReleaseModel(seed, regression, busy, routers, policy), RolloutPolicy()
    leader = RolloutLeader(plan, 0.0)
    waves = rollout_state.plan_waves(model.fleet_state(), [1, "2%", "10%", "zone", "rest"])
    waves = [model.names] if policy == "at once" else waves
    for _ in range(40):  # it has led for a while
        model.advance()
        for name in model.names:
            leader.add_report(name, model.health_report(name))
        leader.step(RolloutState(), model.fleet_state(), 1000.0 * model.time, model.time, "l", 1)
    begin, wave_at = model.time, model.time
    model.apply_change(
        rollout_state.start_rollout(BUILD, NEW_ARTIFACT, OLD_ARTIFACT, waves, "o", "x", model.time)
    )
    while model.time - begin < MAX_RELEASE_S and model.record.open_rollout is not None:
        model.advance()
        ledger = model.fleet_state()
        for name in model.names:
            leader.add_report(name, model.health_report(name))
        now = model.record.open_rollout
        assert now is not None
        if policy == "judged":
            step = leader.step(model.record, ledger, 1000.0 * model.time, model.time, "l", 1)
            if step is not None:
                model.apply_change(step.change)
                model.run.hold_count += step.action == "hold"
                _record_detection(model, step.action, begin)
            elif now.pause is not None:
                model.apply_change(rollout_state.resume_rollout("o", "seen", model.time))
        elif model.time - wave_at >= FIXED_WAVE_S or now.wave < 0:
            wave_at = model.time
            model.apply_change(
                apply_leader_update(
                    LeaderContext(now, 1, "l", model.time),
                    LeaderUpdate(LeaderAction(_fixed_wave_step(model, now, begin)), "the clock"),
                )
            )
        model._move_members(routers if policy == "at once" else routers // 10)
    model.run.finished_after_s = model.time - begin
    model.run.completed = model.record.baseline.get(BUILD) == NEW_ARTIFACT
    return model.run


def _fixed_wave_step(model: ReleaseModel, now: rollout_state.Rollout, started_at: float) -> str:
    """What somebody does who only looks after a while."""
    bad = model.regression.name != "no worse" and model.time - started_at >= OPERATOR_NOTICE_S
    if bad and now.phase != RolloutPhase.ROLLBACK:
        _record_detection(model, "worse", started_at)
        return "worse"
    if now.phase == RolloutPhase.OBSERVE or (now.phase == RolloutPhase.ROLLBACK and now.wave <= 0):
        late = model.time - started_at >= OPERATOR_NOTICE_S or model.regression.name == "no worse"
        return "close" if late else "note"
    return "next"


def _record_detection(model: ReleaseModel, step: str, started_at: float) -> None:
    if step == "worse":
        model.run.found_worse = True
        model.run.stopped_after_s = model.time - started_at


def _format_runs(name: str, runs: list[ReleaseRun]) -> str:
    stopped = sorted(run.stopped_after_s for run in runs if run.stopped_after_s is not None)
    middle = f"{stopped[len(stopped) // 2]:.0f} s" if stopped else "-"
    harmed = sorted(run.harmed_requests for run in runs)[len(runs) // 2]
    over = sorted(run.finished_after_s for run in runs)[len(runs) // 2]
    reached = max(run.members_reached for run in runs)
    return (
        f"{name:34} worse {sum(run.found_worse for run in runs):3} of {len(runs)}, stopped after {middle}, "
        f"over after {over:.0f} s, harmed {harmed:.0f} requests, run by {reached} at most, "
        f"asked {sum(run.hold_count for run in runs)}"
    )


def _run_task(task: tuple[int, Regression, bool, str]) -> ReleaseRun:
    return run_release(*task)


def run_benchmark(identical: int, each: int, workers: int) -> Iterator[str]:
    """False alarms in so many identical releases at quiet and at busy load, and each kind of worse
    version.
    """
    with ProcessPoolExecutor(workers) as pool:
        for busy in (False, True):
            way, load = Regression("no worse"), "busy" if busy else "quiet"
            runs = list(pool.map(_run_task, [(seed, way, busy, "judged") for seed in range(identical)]))
            yield _format_runs(f"no worse, {load}", runs)
        for way in REGRESSIONS:
            for policy in ("judged", "clock", "at once"):
                runs = list(pool.map(_run_task, [(seed, way, False, policy) for seed in range(each)]))
                yield _format_runs(f"{way.name}, {policy}", runs)
        for slow in (1.05, 1.08, 1.11):
            runs = list(
                pool.map(
                    _run_task,
                    [(s, Regression(f"{slow}", cpu_factor=slow), False, "judged") for s in range(each)],
                )
            )
            found = Counter(run.found_worse for run in runs)
            yield f"{100 * (slow - 1):.0f}% slower: found in {found[True]} of {each}"
