"""Measures the cost of releases and which regressions they detect, on a model of 200 routers.

The rollout leader and the rollout state are those of the program. Routers differ permanently by host and
traffic, bursts of lost requests hit whole zones, load varies over time, and a new process uses less memory
than an old one. Differences that affect the new and the old version alike must not raise an alarm.
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
HEARTBEAT_INTERVAL_S = 1.5
MEMBER_CHANGE_S = 15.0  # for a member to go out and come back, its probation included
OPERATOR_NOTICE_S = 600.0  # until operators notice a regression without canary analysis
FIXED_WAVE_S = 60.0  # length of a wave where waves advance by the clock
MAX_RELEASE_S = 3_600.0
OLD_ARTIFACT, NEW_ARTIFACT = Artifact("old", "0", "/old"), Artifact("new", "1", "/new")


@dataclass(frozen=True, slots=True)
class Regression:
    """How the new version is worse than the old one.

    `lost_share` is the share of requests that it loses, `cpu_factor` multiplies its processor time, and
    `memory_growth_per_min` is the fraction by which its memory grows each minute.
    """

    name: str
    lost_share: float = 0.0
    cpu_factor: float = 1.0
    memory_growth_per_min: float = 0.0
    zone: int = -1  # the only zone with the regression; -1 for all zones
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
    """The result of one release; times are seconds since its start.

    `harmed_requests` are those that a regression affected. `finished_after_s` is the time until all members
    ran the new version or were rolled back. `members_reached` is the highest number of members that ran the
    new version at once.
    """

    completed: bool = False
    found_worse: bool = False
    hold_count: int = 0
    harmed_requests: float = 0.0
    stopped_after_s: float | None = None
    finished_after_s: float = 0.0
    members_reached: int = 0


class ReleaseModel:
    """Simulates routers during a release, in steps of one heartbeat."""

    def __init__(self, seed: int, regression: Regression, busy: bool, routers: int, policy: str) -> None:
        self.rng = random.Random(f"{seed} {regression.name} {busy}")
        self.regression, self.busy, self.policy = regression, busy, policy
        self.names = [f"r{n:03}" for n in range(routers)]
        self.zone = {name: n % ZONES for n, name in enumerate(self.names)}
        self.request_rate = {
            name: self.rng.lognormvariate(2.0, 0.6) * (3.0 if busy else 1.0) for name in self.names
        }
        self.host_log_cost = {name: self.rng.gauss(0.0, 0.15) for name in self.names}
        self.version = dict.fromkeys(self.names, OLD_ARTIFACT.digest)
        self.started_at = dict.fromkeys(self.names, -1e9)
        self.moving_until: dict[str, float] = {}  # by member that is out: the time when it comes back
        self.failed: set[str] = set()
        self.time, self.heartbeat_count = 0.0, 0
        self.bursts = [0.0] * ZONES
        self.register = Register()
        self.run = ReleaseRun()

    @property
    def record(self) -> RolloutState:
        """The rollout state in the register."""
        return rollout_state.decode_rollout_state(self.register)

    def apply_change(self, change: RegisterChange) -> None:
        """Apply a change to the register; a rejected change has no effect."""
        try:
            self.register = Register(self.register.version + 1, "m", change(self.register))
        except ChangeRejectedError:
            return

    def fleet_state(self) -> FleetState:
        """Return the fleet state, in which members that change their version are out."""
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
        affects_zone = self.regression.zone in (-1, self.zone[name])
        return self.version[name] == NEW_ARTIFACT.digest and affects_zone

    def health_report(self, name: str) -> HealthReport:
        """Draw the health report of a member for this heartbeat."""
        rng, up = self.rng, name not in self.moving_until
        load = 1.0 + 0.3 * sin(self.time / 200.0 + self.zone[name])
        request_count = max(0.0, rng.gauss(1.0, 0.35)) * self.request_rate[name] * load * up
        has_regression = self._runs_regression(name)
        loss_rate = (
            0.002 + self.bursts[self.zone[name]] + (self.regression.lost_share if has_regression else 0.0)
        )
        lost_requests = min(request_count, request_count * loss_rate * rng.lognormvariate(-0.3, 0.8))
        cpu = (
            request_count
            * 0.002
            * exp(self.host_log_cost[name] + rng.gauss(0.0, 0.1))
            * (self.regression.cpu_factor if has_regression else 1.0)
        )
        age = self.time - self.started_at[name]
        memory = 30_000.0 * (1.0 - 0.2 * exp(-age / 60.0)) * exp(rng.gauss(0.0, 0.01))
        memory *= 1.0 + (self.regression.memory_growth_per_min * age / 60.0 if has_regression else 0.0)
        if has_regression and (
            self.regression.lost_share
            or self.regression.cpu_factor > 1.0
            or self.regression.memory_growth_per_min
        ):
            self.run.harmed_requests += HEARTBEAT_INTERVAL_S * (
                request_count * self.regression.lost_share if self.regression.lost_share else request_count
            )
        listener_latency_ms = rng.lognormvariate(0.0, 0.4)
        deploy_error = f"{BUILD} {NEW_ARTIFACT.digest} version it ends" if name in self.failed else ""
        return HealthReport(
            1,
            self.heartbeat_count,
            up,
            True,
            request_count - lost_requests,
            0.0,
            lost_requests,
            cpu=cpu,
            memory=memory,
            door=listener_latency_ms,
            build=self.version[name],
            deploy_error=deploy_error,
        )

    def _move_members(self, max_moving: int) -> None:
        """Let members change to their target version, at most `max_moving` at a time."""
        for name, until in list(self.moving_until.items()):
            if self.time >= until:
                del self.moving_until[name]
        record = self.record
        for name in self.names:
            target = record.artifact_for(name, BUILD)
            is_on_hold = record.open_rollout is not None and record.open_rollout.pause is not None
            if (
                target is None
                or target.digest == self.version[name]
                or name in self.moving_until
                or is_on_hold
            ):
                continue
            if name in self.failed or len(self.moving_until) >= max_moving:
                continue
            self.moving_until[name] = self.time + MEMBER_CHANGE_S
            if self.regression.fails_to_start and target == NEW_ARTIFACT:
                self.failed.add(name)
            else:
                self.version[name], self.started_at[name] = target.digest, self.time + MEMBER_CHANGE_S
        reached = sum(version == NEW_ARTIFACT.digest for version in self.version.values())
        self.run.members_reached = max(self.run.members_reached, reached)

    def advance(self) -> None:
        """Advance the time by one heartbeat, and draw the bursts of each zone."""
        self.time += HEARTBEAT_INTERVAL_S
        self.heartbeat_count += 1
        for zone in range(ZONES):
            burst_begins = self.rng.random() < (0.02 if self.busy else 0.005)
            self.bursts[zone] = 0.1 * self.rng.random() if burst_begins else 0.7 * self.bursts[zone]


def run_release(seed: int, regression: Regression, busy: bool, policy: str, routers: int = 200) -> ReleaseRun:
    """Simulate one release.

    Args:
        seed: the seed of the random numbers, together with the regression and the load.
        regression: how the new version is worse.
        busy: whether load is three times as high and bursts begin four times as often.
        policy: "judged" for the canary analysis of the program, "clock" for the same waves, one minute each
            and without analysis, or "at once" for a single wave.
        routers: the number of routers.
    """
    model, rollout_policy = ReleaseModel(seed, regression, busy, routers, policy), RolloutPolicy()
    leader = RolloutLeader(rollout_policy, 0.0)
    waves = rollout_state.plan_waves(model.fleet_state(), [1, "2%", "10%", "zone", "rest"])
    waves = [model.names] if policy == "at once" else waves
    for _ in range(40):  # the leader has reports from before the release
        model.advance()
        for name in model.names:
            leader.add_report(name, model.health_report(name))
        leader.step(RolloutState(), model.fleet_state(), 1000.0 * model.time, model.time, "l", 1)
    started_at, wave_started_at = model.time, model.time
    model.apply_change(
        rollout_state.start_rollout(BUILD, NEW_ARTIFACT, OLD_ARTIFACT, waves, "o", "x", model.time)
    )
    while model.time - started_at < MAX_RELEASE_S and model.record.open_rollout is not None:
        model.advance()
        fleet_state = model.fleet_state()
        for name in model.names:
            leader.add_report(name, model.health_report(name))
        rollout = model.record.open_rollout
        assert rollout is not None
        if policy == "judged":
            step = leader.step(model.record, fleet_state, 1000.0 * model.time, model.time, "l", 1)
            if step is not None:
                model.apply_change(step.change)
                model.run.hold_count += step.action == "hold"
                _record_detection(model, step.action, started_at)
            elif rollout.pause is not None:
                model.apply_change(rollout_state.resume_rollout("o", "seen", model.time))
        elif model.time - wave_started_at >= FIXED_WAVE_S or rollout.wave < 0:
            wave_started_at = model.time
            model.apply_change(
                apply_leader_update(
                    LeaderContext(rollout, 1, "l", model.time),
                    LeaderUpdate(LeaderAction(_fixed_wave_step(model, rollout, started_at)), "the clock"),
                )
            )
        model._move_members(routers if policy == "at once" else routers // 10)
    model.run.finished_after_s = model.time - started_at
    model.run.completed = model.record.baseline.get(BUILD) == NEW_ARTIFACT
    return model.run


def _fixed_wave_step(model: ReleaseModel, rollout: rollout_state.Rollout, started_at: float) -> str:
    """Return the step of an operator who notices a regression only after `OPERATOR_NOTICE_S`."""
    has_noticed = model.regression.name != "no worse" and model.time - started_at >= OPERATOR_NOTICE_S
    if has_noticed and rollout.phase != RolloutPhase.ROLLBACK:
        _record_detection(model, "worse", started_at)
        return "worse"
    if rollout.phase == RolloutPhase.OBSERVE or (
        rollout.phase == RolloutPhase.ROLLBACK and rollout.wave <= 0
    ):
        may_close = model.time - started_at >= OPERATOR_NOTICE_S or model.regression.name == "no worse"
        return "close" if may_close else "note"
    return "next"


def _record_detection(model: ReleaseModel, step: str, started_at: float) -> None:
    if step == "worse":
        model.run.found_worse = True
        model.run.stopped_after_s = model.time - started_at


def _format_runs(name: str, runs: list[ReleaseRun]) -> str:
    stop_times = sorted(run.stopped_after_s for run in runs if run.stopped_after_s is not None)
    median_stop = f"{stop_times[len(stop_times) // 2]:.0f} s" if stop_times else "-"
    median_harmed = sorted(run.harmed_requests for run in runs)[len(runs) // 2]
    median_finish = sorted(run.finished_after_s for run in runs)[len(runs) // 2]
    max_reached = max(run.members_reached for run in runs)
    return (
        f"{name:34} worse {sum(run.found_worse for run in runs):3} of {len(runs)}, "
        f"stopped after {median_stop}, finished after {median_finish:.0f} s, "
        f"harmed {median_harmed:.0f} requests, run by {max_reached} at most, "
        f"held {sum(run.hold_count for run in runs)}"
    )


def _run_task(task: tuple[int, Regression, bool, str]) -> ReleaseRun:
    return run_release(*task)


def run_release_benchmark(identical: int, each: int, workers: int) -> Iterator[str]:
    """Measure false alarms and the detection of regressions, and yield lines of results.

    Args:
        identical: the number of releases without a regression, at quiet and at busy load each.
        each: the number of releases with each regression and policy.
        workers: the number of worker processes.
    """
    with ProcessPoolExecutor(workers) as pool:
        for busy in (False, True):
            regression, load = Regression("no worse"), "busy" if busy else "quiet"
            runs = list(
                pool.map(_run_task, [(seed, regression, busy, "judged") for seed in range(identical)])
            )
            yield _format_runs(f"no worse, {load}", runs)
        for regression in REGRESSIONS:
            for policy in ("judged", "clock", "at once"):
                runs = list(pool.map(_run_task, [(seed, regression, False, policy) for seed in range(each)]))
                yield _format_runs(f"{regression.name}, {policy}", runs)
        for cpu_factor in (1.05, 1.08, 1.11):
            runs = list(
                pool.map(
                    _run_task,
                    [
                        (s, Regression(f"{cpu_factor}", cpu_factor=cpu_factor), False, "judged")
                        for s in range(each)
                    ],
                )
            )
            found = Counter(run.found_worse for run in runs)
            yield f"{100 * (cpu_factor - 1):.0f}% slower: found in {found[True]} of {each}"
