"""Who leads a release: reads what members report, looks at the figures, and writes the next step down. A
machine without I/O and clock. The record is all that it needs: another one goes on where this one stopped,
and only the evidence of the present wave is gathered anew.

It is the group's warden, under the same lease. Times are milliseconds of its own clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import sqrt

from ..consensus.proposer import RegisterChange
from . import rollout_state as book
from .canary_analysis import (
    MAX_BASELINE_INTERVALS,
    CanaryAnalysis,
    CanaryStatus,
    CanaryVerdict,
    HealthMetrics,
)
from .failure_detector import HealthReport
from .fleet_state import DrainRequest, FleetState, MemberKind, MemberPhase
from .rollout_state import BUILD, ROLLOUT_ACTOR_PREFIX, Rollout, RolloutPhase, RolloutState

MAX_STEP_INTERVAL_MS = 5_000.0  # more than that since the last look was no looking
NOTE_INTERVAL_MS = 2_000  # milliseconds of watching, until they are written down
MAX_HARM_FACTOR = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutPolicy:
    """How a release goes about it; milliseconds. `min_watch_ms`: a wave is looked at for so long at least,
    and until its figures say enough, `max_watch_ms` at most; then `asks_operator` an operator or go on.
    `final_watch_ms`: the last look. `lost_timeout_ms`: who is lost for so long is left behind.
    `max_failed_share`: this part of a wave may fail to come up before the version is worse. `max_loss_share`:
    so much of all requests lost, by new and old alike, is no time to judge. `interval_ms`: an interval.
    """

    min_watch_ms: float = 60_000.0
    max_watch_ms: float = 600_000.0
    final_watch_ms: float = 600_000.0
    lost_timeout_ms: float = 20_000.0
    max_failed_share: float = 0.05
    false_alarm_probability: float = 0.01
    max_loss_share: float = 0.1
    interval_ms: float = 5_000.0
    min_baseline_intervals: int = 12  # intervals that a leader has to have seen before a wave begins
    asks_operator: bool = True
    rolls_back_automatically: bool = True


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """What is to be written down."""

    action: str
    reason: str
    change: RegisterChange


@dataclass(slots=True)
class _WaveProgress:
    """The wave that is being looked at."""

    key: tuple[int, int, int, bool]  # release, phase, wave, held
    watched_ms: float
    noted_ms: float
    analysis: CanaryAnalysis | None = None
    lost_since: dict[str, float] | None = None


class RolloutLeader:
    """Leads, as long as its process holds the lease."""

    def __init__(self, policy: RolloutPolicy, now: float) -> None:
        self.policy = policy
        self._last_step_at = now
        self._latest_reports: dict[str, HealthReport] = {}
        self._interval_reports: dict[str, list[HealthReport]] = {}
        self._interval_started_at = now
        self._intervals: list[dict[str, tuple[HealthMetrics, HealthReport]]] = []
        self._wave: _WaveProgress | None = None
        self.verdict: CanaryVerdict | None = None
        self.waiting_for = ""

    # -- figures

    def add_report(self, name: str, report: HealthReport | None) -> None:
        """A member's report, as it is now."""
        if report is None:
            return
        before = self._latest_reports.get(name)
        if before is not None and (before.run_id, before.sequence) == (report.run_id, report.sequence):
            return
        self._latest_reports[name] = report
        self._interval_reports.setdefault(name, []).append(report)

    def _close_interval(
        self, fleet_state: FleetState, now: float
    ) -> dict[str, tuple[HealthMetrics, HealthReport]] | None:
        """An interval's figures, if one is over: of routers that were in service throughout it and ran one
        version; each with its last report.
        """
        seconds = (now - self._interval_started_at) / 1000.0
        if now - self._interval_started_at < self.policy.interval_ms:
            return None
        sums, self._interval_reports, self._interval_started_at = self._interval_reports, {}, now
        found = {}
        for name, one in fleet_state.members_of(MemberKind.ROUTER).items():
            told = sums.get(name, [])
            same = len({(report.build, report.settings) for report in told}) == 1
            if (
                same
                and one.phase == MemberPhase.IN
                and not one.lost
                and all(report.serving for report in told)
            ):
                found[name] = _mean_metrics(told, seconds), told[-1]
        return found

    # -- a step

    def step(
        self,
        rollout_state: RolloutState,
        fleet_state: FleetState,
        now: float,
        wall_time_s: float,
        actor: str,
        token: int,
    ) -> RolloutStep | None:
        """What is to be done now, if anything."""
        passed = min(now - self._last_step_at, MAX_STEP_INTERVAL_MS)
        self._last_step_at = now
        interval = self._close_interval(fleet_state, now)
        if interval is not None:
            self._intervals = [*self._intervals[1 - MAX_BASELINE_INTERVALS :], interval]
        release = rollout_state.open_rollout
        if release is None:
            self._wave, self.verdict, self.waiting_for = None, None, ""
            return None
        wave = self._wave_progress(release)
        if release.pause is not None:
            self.waiting_for = f"held by {release.pause.actor}: {release.pause.reason}"
            return None
        failed, left, pending = self._classify_members(release, fleet_state, wave, now)
        given = (release, token, actor, wall_time_s)
        if release.phase == RolloutPhase.ROLLBACK:
            return self._step_back(given, left, pending)
        if failed and len(failed) > self.policy.max_failed_share * len(release.current_members()):
            return self._reject(given, f"{', '.join(failed)}: {next(iter(failed.values()))}", left)
        if left or failed:
            return RolloutStep("left", "", book.advance_rollout(*given, left_behind=left | failed))
        if pending:
            self.waiting_for = f"{book.describe(release)}: {', '.join(sorted(pending)[:4])} to come"
            return None
        return self._observe(given, wave, fleet_state, interval, passed)

    def _wave_progress(self, rollout: Rollout) -> _WaveProgress:
        at = rollout.number, rollout.phase, rollout.wave, rollout.pause is not None
        if self._wave is None or self._wave.key != at:
            self._wave = _WaveProgress(at, rollout.watched_ms, rollout.watched_ms)
            self.verdict = None
        return self._wave

    def _running_digest_of(self, name: str, rollout: Rollout) -> str:
        return _running_digest(self._latest_reports.get(name), rollout)

    def _classify_members(
        self, rollout: Rollout, fleet_state: FleetState, wave: _WaveProgress, now: float
    ) -> tuple[dict[str, str], dict[str, str], list[str]]:
        """Of the present wave, or of all that have to be back: whom the version fails, who cannot follow,
        and who is still to come.
        """
        failed, left, pending = dict[str, str](), dict[str, str](), list[str]()
        names = rollout.current_members() if rollout.phase != RolloutPhase.OBSERVE else ()
        if rollout.phase == RolloutPhase.ROLLBACK:
            names = tuple(name for wave_names in rollout.waves[max(0, rollout.wave) :] for name in wave_names)
        since = wave.lost_since = {} if wave.lost_since is None else wave.lost_since
        for name in names:
            if name in rollout.left_behind:
                continue
            one, goal = fleet_state.members.get(name), rollout.artifact_for(name)
            kind, digest, blame, why = (self._deploy_error(name) + "   ").split(" ", 3)
            if one is None or one.evicted:
                left[name] = "it is written off"
            elif (kind, digest) == (rollout.kind, goal.digest):
                (failed if blame == "version" else left)[name] = why.strip()
            elif self._running_digest_of(name, rollout) == goal.digest and (
                (one.phase == MemberPhase.IN and not one.lost) or _is_drained_by_operator(one.drain_request)
            ):
                since.pop(name, None)
            elif one.lost and now - since.setdefault(name, now) > self.policy.lost_timeout_ms:
                left[name] = "it is lost"
            else:
                if not one.lost:
                    since.pop(name, None)
                pending.append(name)
        return failed, left, pending

    def _deploy_error(self, name: str) -> str:
        report = self._latest_reports.get(name)
        return "" if report is None else report.deploy_error

    def _step_back(
        self, context: tuple[Rollout, int, str, float], left_behind: Mapping[str, str], pending: list[str]
    ) -> RolloutStep | None:
        release = context[0]
        if left_behind:
            return RolloutStep("left", "", book.advance_rollout(*context, left_behind=left_behind))
        if pending:
            self.waiting_for = f"{book.describe(release)}: {', '.join(sorted(pending)[:4])} to come"
            return None
        what = "next" if release.wave > 0 else "close"
        why = "all that can are back"
        return RolloutStep(what, why, book.advance_rollout(*context, action=what, reason=why))

    def _reject(
        self, context: tuple[Rollout, int, str, float], reason: str, left_behind: Mapping[str, str]
    ) -> RolloutStep:
        what = "worse" if self.policy.rolls_back_automatically else "hold"
        return RolloutStep(
            what, reason, book.advance_rollout(*context, action=what, reason=reason, left_behind=left_behind)
        )

    def _observe(
        self,
        context: tuple[Rollout, int, str, float],
        wave: _WaveProgress,
        fleet_state: FleetState,
        interval: dict[str, tuple[HealthMetrics, HealthReport]] | None,
        elapsed_ms: float,
    ) -> RolloutStep | None:
        """All that can have come: look at the figures, and go on when they say enough."""
        release = context[0]
        if release.phase == RolloutPhase.FORWARD and release.wave < 0:
            return self._next_wave(context, fleet_state, "what is usual is known")
        if wave.analysis is None:
            wave.analysis = self._begin_analysis(release, release.wave, fleet_state, release.evidence)
        if interval is not None:
            wave.analysis.add_interval(self._comparable_metrics(release, interval))
            self.verdict = wave.analysis.verdict()
            if self.verdict.status is CanaryStatus.WORSE:
                return self._reject(context, self.verdict.reason, {})
        if self._is_loss_general():
            self.waiting_for = "requests are lost by new and old alike: no time to judge"
            return None
        wave.watched_ms += elapsed_ms
        step = self._conclude_watch(context, wave, fleet_state)
        if step is None and wave.watched_ms - wave.noted_ms >= NOTE_INTERVAL_MS:
            wave.noted_ms = wave.watched_ms
            kept = wave.analysis.export_state() if release.phase == RolloutPhase.FORWARD else ()
            step = RolloutStep(
                "note", "", book.advance_rollout(*context, watched_ms=int(wave.watched_ms), evidence=kept)
            )
        return step

    def _comparable_metrics(
        self, rollout: Rollout, interval: dict[str, tuple[HealthMetrics, HealthReport]]
    ) -> dict[str, HealthMetrics]:
        """Figures of the wave's members that run the new version, and of others. Guards against one that was
        left behind, comes late, and is then on the side that it is to be compared with.
        """
        here, last = rollout.current_members(), rollout.wave + 1 == len(rollout.waves)
        return {
            name: one
            for name, (one, report) in interval.items()
            if (_running_digest(report, rollout) == rollout.new.digest) is (name in here or last)
        }

    def _baseline_intervals(self, rollout: Rollout, wave: int) -> list[dict[str, HealthMetrics]]:
        """Intervals from before a wave: of its members while they ran the old version, and of those that they
        are set beside.
        """
        here, last = rollout.waves[wave], wave + 1 == len(rollout.waves)
        found = []
        for interval in self._intervals:
            found.append(
                {
                    name: one
                    for name, (one, report) in interval.items()
                    if (last and name not in here) or _running_digest(report, rollout) != rollout.new.digest
                }
            )
        # where few of them are seen nothing is learned
        return [one for one in found if 2 * sum(name in one for name in here) >= len(here)]

    def _next_wave(
        self, context: tuple[Rollout, int, str, float], fleet_state: FleetState, reason: str
    ) -> RolloutStep | None:
        """The next wave, with what is usual of its members before they change: whoever leads then has it."""
        release, evidence = context[0], tuple[float, ...]()
        if release.wave + 1 < len(release.waves):
            if len(self._baseline_intervals(release, release.wave + 1)) < self.policy.min_baseline_intervals:
                self.waiting_for = "learning what is usual"
                return None
            evidence = self._begin_analysis(release, release.wave + 1, fleet_state, ()).export_state()
        return RolloutStep(
            "next", reason, book.advance_rollout(*context, action="next", reason=reason, evidence=evidence)
        )

    def _begin_analysis(
        self, rollout: Rollout, wave: int, fleet_state: FleetState, evidence: tuple[float, ...]
    ) -> CanaryAnalysis:
        """Of a wave: its members beside those that come later; the last one beside the earlier ones."""
        routers = fleet_state.members_of(MemberKind.ROUTER)
        zones = {name: one.zone for name, one in routers.items()}
        alarm = self.policy.false_alarm_probability / max(1, len(rollout.waves))
        if rollout.phase != RolloutPhase.FORWARD:
            return CanaryAnalysis(zones, alarm)
        new = [name for name in rollout.waves[wave] if name in routers]
        all_new = {name for names in rollout.waves[: wave + 1] for name in names}
        rest = [name for name in routers if name not in all_new] or [n for n in routers if n not in new]
        relax = min(MAX_HARM_FACTOR, max(1.0, sqrt(len(rest) / max(1, len(new)))))
        judge = CanaryAnalysis(zones, alarm, relax)
        if not evidence:
            for figures in self._baseline_intervals(rollout, wave):
                judge.add_interval(figures)
        judge.resume(new, rest, evidence)
        return judge

    def _is_loss_general(self) -> bool:
        """Whether routers of either version lose more than the stated line."""
        last = self._intervals[-1] if self._intervals else {}
        lost = sum(one.lost for one, _ in last.values())
        served = sum(one.served for one, _ in last.values())
        return lost > self.policy.max_loss_share * max(1.0, lost + served)

    def _conclude_watch(
        self, context: tuple[Rollout, int, str, float], wave: _WaveProgress, fleet_state: FleetState
    ) -> RolloutStep | None:
        release, plan = context[0], self.policy
        verdict = None if self.verdict is None else self.verdict.status
        self.waiting_for = f"{book.describe(release)}: watched for {wave.watched_ms / 1000:.0f} s"
        if release.phase == RolloutPhase.OBSERVE:
            if wave.watched_ms < plan.final_watch_ms:
                return None
            return RolloutStep(
                "close",
                "nothing came up",
                book.advance_rollout(*context, action="close", reason="nothing came up"),
            )
        if not [name for name in release.current_members() if name not in release.left_behind]:
            why = "nobody of this wave runs it"
            return RolloutStep("hold", why, book.advance_rollout(*context, action="hold", reason=why))
        if (
            verdict is CanaryStatus.NOT_WORSE or release.operator_accepted
        ) and wave.watched_ms >= plan.min_watch_ms:
            return self._next_wave(context, fleet_state, "no worse")
        if wave.watched_ms < max(plan.min_watch_ms, plan.max_watch_ms):
            return None
        if not plan.asks_operator:
            return self._next_wave(context, fleet_state, "nothing against it")
        why = "not enough to tell"
        return RolloutStep("hold", why, book.advance_rollout(*context, action="ask", reason=why))


def _running_digest(report: HealthReport | None, rollout: Rollout) -> str:
    if report is None:
        return ""
    return report.build if rollout.kind == BUILD else report.settings


def _is_drained_by_operator(drain_request: DrainRequest | None) -> bool:
    """Whether somebody else than a release wants it out."""
    return drain_request is not None and not drain_request.actor.startswith(ROLLOUT_ACTOR_PREFIX)


def _mean_metrics(reports: list[HealthReport], seconds: float) -> HealthMetrics:
    """The mean of some reports, as counts over an interval."""
    many = len(reports)
    doors = [one.door for one in reports if one.door > 0.0]
    return HealthMetrics(
        seconds * sum(one.served for one in reports) / many,
        seconds * sum(one.refused + one.failed for one in reports) / many,
        seconds * sum(one.cpu for one in reports) / many,
        sum(one.memory for one in reports) / many,
        sum(doors) / len(doors) if doors else 0.0,
    )
