"""The rollout leader observes the open rollout and decides on its next step.

It runs in the agent that holds the group's lease, beside the failure detector. The rollout state contains
everything that a leader needs, so another leader can resume the rollout; only the metrics since the last
recorded evidence are lost.

The leader is a state machine without I/O and clock; times are milliseconds of its own clock, unless their
name ends in `_s`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import sqrt
from typing import NamedTuple

from ..consensus.proposer import RegisterChange
from .canary_analysis import CanaryAnalysis, CanaryStatus, CanaryVerdict, HealthMetrics
from .deployer import DeployFailure, FailureCause
from .failure_detector import HealthReport
from .fleet_state import DrainRequest, FleetMember, FleetState, MemberKind, MemberPhase
from .leader_steps import LeaderAction, LeaderContext, LeaderUpdate, apply_leader_update
from .rollout_metrics import Interval, IntervalCollector, running_digest
from .rollout_state import Rollout, RolloutPhase, RolloutState, describe

MAX_STEP_INTERVAL_MS = 5_000.0  # limits the observation time that one interval between steps adds
RECORD_INTERVAL_MS = 2_000  # observation time between two records of the progress
MAX_HARM_FACTOR = 3.0
MAX_NAMES_LISTED = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutPolicy:
    """Durations and limits of rollouts; times in milliseconds.

    A wave is observed for at least `min_watch_ms`, and for at most `max_watch_ms` while its analysis is
    inconclusive; then the rollout pauses for an operator (`asks_operator`) or continues. After the last wave
    the whole fleet is observed for `final_watch_ms`. A member that is lost for `lost_timeout_ms` is left
    behind. The new artifact is rejected if it fails on more than `max_failed_share` of a wave. Time does not
    count as observed while both artifacts together lose more than `max_loss_share` of all requests.
    `interval_ms` is the length of an interval of the canary analysis.
    """

    min_watch_ms: float = 60_000.0
    max_watch_ms: float = 600_000.0
    final_watch_ms: float = 600_000.0
    lost_timeout_ms: float = 20_000.0
    max_failed_share: float = 0.05
    false_alarm_probability: float = 0.01
    max_loss_share: float = 0.1
    interval_ms: float = 5_000.0
    min_baseline_intervals: int = 12  # number of intervals a leader needs before it begins a wave
    asks_operator: bool = True
    rolls_back_automatically: bool = True


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """A step that the leader writes into the rollout state."""

    action: LeaderAction
    reason: str
    change: RegisterChange


class _WaveKey(NamedTuple):
    """Identifies the observation of a wave; another key starts a new observation."""

    number: int
    phase: int
    wave: int
    is_paused: bool


@dataclass(slots=True)
class _WaveProgress:
    """Progress of the wave under observation."""

    key: _WaveKey
    watched_ms: float
    recorded_ms: float  # part of `watched_ms` that is recorded in the rollout state
    analysis: CanaryAnalysis | None = None
    lost_since: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _WaveMembers:
    """Members that do not run their target artifact; `failed` and `left_behind` map to a reason."""

    failed: dict[str, str] = field(default_factory=dict)  # the artifact caused the failure
    left_behind: dict[str, str] = field(default_factory=dict)  # the host or the member caused it
    pending: list[str] = field(default_factory=list)


class RolloutLeader:
    """Leads rollouts while its process holds the lease."""

    def __init__(self, policy: RolloutPolicy, now: float) -> None:
        self.policy = policy
        self.verdict: CanaryVerdict | None = None
        self.waiting_for = ""  # describes why the last step made no decision
        self._collector = IntervalCollector(policy.interval_ms, now)
        self._last_step_at = now
        self._wave: _WaveProgress | None = None

    def add_report(self, name: str, report: HealthReport | None) -> None:
        """Add the current report of a member; None if it has none."""
        self._collector.add_report(name, report)

    def step(
        self,
        rollout_state: RolloutState,
        fleet_state: FleetState,
        now: float,
        wall_time_s: float,
        actor: str,
        token: int,
    ) -> RolloutStep | None:
        """Return the step that is due, if any. `token` is the fencing token of the leader's lease."""
        elapsed_ms = min(now - self._last_step_at, MAX_STEP_INTERVAL_MS)
        self._last_step_at = now
        interval = self._collector.close_interval(fleet_state, now)
        rollout = rollout_state.open_rollout
        if rollout is None:
            self._wave = None
            self.verdict = None
            self.waiting_for = ""
            return None
        wave = self._wave_progress(rollout)
        if rollout.pause is not None:
            self.waiting_for = f"held by {rollout.pause.actor}: {rollout.pause.reason}"
            return None
        members = self._classify_members(rollout, fleet_state, wave, now)
        context = LeaderContext(rollout, token, actor, wall_time_s)
        if rollout.phase == RolloutPhase.ROLLBACK:
            return self._rollback_step(context, members)
        failed = members.failed
        if failed and len(failed) > self.policy.max_failed_share * len(rollout.current_members()):
            reason = f"{', '.join(failed)}: {next(iter(failed.values()))}"
            return self._reject_artifact(context, reason, members.left_behind)
        if members.left_behind or failed:
            return _leave_behind(context, members.left_behind | failed)
        if members.pending:
            self._wait_for_members(rollout, members.pending)
            return None
        return self._observe(context, wave, fleet_state, interval, elapsed_ms)

    def _wave_progress(self, rollout: Rollout) -> _WaveProgress:
        key = _WaveKey(rollout.number, rollout.phase, rollout.wave, rollout.pause is not None)
        if self._wave is None or self._wave.key != key:
            self._wave = _WaveProgress(key, rollout.watched_ms, rollout.watched_ms)
            self.verdict = None
        return self._wave

    def _wait_for_members(self, rollout: Rollout, pending: list[str]) -> None:
        names = ", ".join(sorted(pending)[:MAX_NAMES_LISTED])
        self.waiting_for = f"{describe(rollout)}: {names} to come"

    # -- progress of members

    def _classify_members(
        self, rollout: Rollout, fleet_state: FleetState, wave: _WaveProgress, now: float
    ) -> _WaveMembers:
        """Return the members of the current wave, or of the waves to roll back, without their target."""
        result = _WaveMembers()
        for name in _awaited_members(rollout):
            if name in rollout.left_behind:
                continue
            member = fleet_state.members.get(name)
            failure = self._deploy_failure(name)
            is_failure_of_target = (failure.kind, failure.digest) == (
                rollout.kind,
                rollout.artifact_for(name).digest,
            )
            if member is None or member.evicted:
                result.left_behind[name] = "it is written off"
            elif is_failure_of_target and failure.cause == FailureCause.ARTIFACT.value:
                result.failed[name] = failure.reason
            elif is_failure_of_target:
                result.left_behind[name] = failure.reason
            elif self._runs_target(name, member, rollout):
                wave.lost_since.pop(name, None)
            elif self._is_lost_for_long(name, member, wave, now):
                result.left_behind[name] = "it is lost"
            else:
                result.pending.append(name)
        return result

    def _deploy_failure(self, name: str) -> DeployFailure:
        report = self._collector.latest_report(name)
        return DeployFailure.parse("" if report is None else report.deploy_error)

    def _runs_target(self, name: str, member: FleetMember, rollout: Rollout) -> bool:
        """Return whether a member runs its target, and is in unless an operator drains it."""
        report = self._collector.latest_report(name)
        if running_digest(report, rollout) != rollout.artifact_for(name).digest:
            return False
        is_in = member.phase == MemberPhase.IN and not member.lost
        return is_in or _is_drained_by_operator(member.drain_request)

    def _is_lost_for_long(self, name: str, member: FleetMember, wave: _WaveProgress, now: float) -> bool:
        if not member.lost:
            wave.lost_since.pop(name, None)
            return False
        return now - wave.lost_since.setdefault(name, now) > self.policy.lost_timeout_ms

    # -- steps

    def _rollback_step(self, context: LeaderContext, members: _WaveMembers) -> RolloutStep | None:
        if members.left_behind:
            return _leave_behind(context, members.left_behind)
        if members.pending:
            self._wait_for_members(context.rollout, members.pending)
            return None
        action = LeaderAction.NEXT_WAVE if context.rollout.wave > 0 else LeaderAction.CLOSE
        return _make_step(context, LeaderUpdate(action, "all that can are back"))

    def _reject_artifact(
        self, context: LeaderContext, reason: str, left_behind: Mapping[str, str]
    ) -> RolloutStep:
        """Return the step for an artifact that is worse: a rollback or a pause."""
        rolls_back = self.policy.rolls_back_automatically
        action = LeaderAction.ROLL_BACK if rolls_back else LeaderAction.PAUSE
        return _make_step(context, LeaderUpdate(action, reason, left_behind=left_behind))

    def _observe(
        self,
        context: LeaderContext,
        wave: _WaveProgress,
        fleet_state: FleetState,
        interval: Interval | None,
        elapsed_ms: float,
    ) -> RolloutStep | None:
        """Observe a wave whose members all run their target; return the step that is due, if any."""
        rollout = context.rollout
        if rollout.phase == RolloutPhase.FORWARD and rollout.wave < 0:
            return self._next_wave(context, fleet_state, "what is usual is known")
        if wave.analysis is None:
            wave.analysis = self._begin_analysis(rollout, rollout.wave, fleet_state, rollout.evidence)
        if interval is not None:
            wave.analysis.add_interval(_comparable_metrics(rollout, interval))
            self.verdict = wave.analysis.verdict()
            if self.verdict.status is CanaryStatus.WORSE:
                return self._reject_artifact(context, self.verdict.reason, {})
        if self._collector.is_loss_widespread(self.policy.max_loss_share):
            self.waiting_for = "requests are lost by new and old alike: no time to judge"
            return None
        wave.watched_ms += elapsed_ms
        step = self._conclude_watch(context, wave, fleet_state)
        if step is None and wave.watched_ms - wave.recorded_ms >= RECORD_INTERVAL_MS:
            wave.recorded_ms = wave.watched_ms
            evidence = wave.analysis.export_state() if rollout.phase == RolloutPhase.FORWARD else ()
            update = LeaderUpdate(
                LeaderAction.RECORD_PROGRESS, watched_ms=int(wave.watched_ms), evidence=evidence
            )
            return _make_step(context, update)
        return step

    def _next_wave(self, context: LeaderContext, fleet_state: FleetState, reason: str) -> RolloutStep | None:
        """Return the step to the next wave; None while its members have too few baseline intervals.

        The step records the baseline, so that a later leader can resume the analysis.
        """
        rollout = context.rollout
        next_wave = rollout.wave + 1
        evidence: tuple[float, ...] = ()
        if next_wave < len(rollout.waves):
            baseline = self._collector.baseline_intervals(rollout, next_wave)
            if len(baseline) < self.policy.min_baseline_intervals:
                self.waiting_for = "learning what is usual"
                return None
            evidence = self._begin_analysis(rollout, next_wave, fleet_state, ()).export_state()
        return _make_step(context, LeaderUpdate(LeaderAction.NEXT_WAVE, reason, evidence=evidence))

    def _begin_analysis(
        self, rollout: Rollout, wave: int, fleet_state: FleetState, evidence: tuple[float, ...]
    ) -> CanaryAnalysis:
        """Return the analysis of a wave, resumed from evidence if there is any.

        It compares the members of the wave with those of later waves, and those of the last wave with earlier
        ones.
        """
        routers = fleet_state.members_of(MemberKind.ROUTER)
        zones = {name: member.zone for name, member in routers.items()}
        false_alarm_probability = self.policy.false_alarm_probability / max(1, len(rollout.waves))
        if rollout.phase != RolloutPhase.FORWARD:
            return CanaryAnalysis(zones, false_alarm_probability)
        new = [name for name in rollout.waves[wave] if name in routers]
        all_new = {name for names in rollout.waves[: wave + 1] for name in names}
        later = [name for name in routers if name not in all_new]
        unchanged = later or [name for name in routers if name not in new]
        harm_factor = min(MAX_HARM_FACTOR, max(1.0, sqrt(len(unchanged) / max(1, len(new)))))
        analysis = CanaryAnalysis(zones, false_alarm_probability, harm_factor)
        if not evidence:
            for metrics_by_name in self._collector.baseline_intervals(rollout, wave):
                analysis.add_interval(metrics_by_name)
        analysis.resume(new, unchanged, evidence)
        return analysis

    def _conclude_watch(
        self, context: LeaderContext, wave: _WaveProgress, fleet_state: FleetState
    ) -> RolloutStep | None:
        """Return the step that ends the observation of a wave; None while it continues."""
        rollout = context.rollout
        policy = self.policy
        self.waiting_for = f"{describe(rollout)}: watched for {wave.watched_ms / 1000:.0f} s"
        if rollout.phase == RolloutPhase.OBSERVE:
            if wave.watched_ms < policy.final_watch_ms:
                return None
            return _make_step(context, LeaderUpdate(LeaderAction.CLOSE, "nothing came up"))
        if all(name in rollout.left_behind for name in rollout.current_members()):
            return _make_step(context, LeaderUpdate(LeaderAction.PAUSE, "nobody of this wave runs it"))
        is_not_worse = self.verdict is not None and self.verdict.status is CanaryStatus.NOT_WORSE
        is_accepted = is_not_worse or rollout.operator_accepted
        if is_accepted and wave.watched_ms >= policy.min_watch_ms:
            return self._next_wave(context, fleet_state, "no worse")
        if wave.watched_ms < max(policy.min_watch_ms, policy.max_watch_ms):
            return None
        if not policy.asks_operator:
            return self._next_wave(context, fleet_state, "nothing against it")
        reason = "not enough to tell"
        change = apply_leader_update(context, LeaderUpdate(LeaderAction.ASK_OPERATOR, reason))
        return RolloutStep(LeaderAction.PAUSE, reason, change)


def _make_step(context: LeaderContext, update: LeaderUpdate) -> RolloutStep:
    return RolloutStep(update.action, update.reason, apply_leader_update(context, update))


def _leave_behind(context: LeaderContext, left_behind: Mapping[str, str]) -> RolloutStep:
    return _make_step(context, LeaderUpdate(LeaderAction.LEAVE_BEHIND, left_behind=left_behind))


def _awaited_members(rollout: Rollout) -> tuple[str, ...]:
    """Return the members of the current wave, or in a rollback of all waves to roll back."""
    if rollout.phase == RolloutPhase.OBSERVE:
        return ()
    if rollout.phase == RolloutPhase.ROLLBACK:
        return tuple(name for names in rollout.waves[max(0, rollout.wave) :] for name in names)
    return rollout.current_members()


def _comparable_metrics(rollout: Rollout, interval: Interval) -> dict[str, HealthMetrics]:
    """Return the metrics of the wave's members on the new artifact, and of other members on the old one.

    A member that was left behind and changes its artifact later is excluded: it would be compared with its
    own metrics under the old artifact.
    """
    wave_members = rollout.current_members()
    is_last = rollout.wave + 1 == len(rollout.waves)
    return {
        name: metrics
        for name, (metrics, report) in interval.items()
        if (running_digest(report, rollout) == rollout.new.digest) is (name in wave_members or is_last)
    }


def _is_drained_by_operator(drain_request: DrainRequest | None) -> bool:
    """Return whether an operator, not a rollout, has requested the drain."""
    return drain_request is not None and not drain_request.is_by_rollout
