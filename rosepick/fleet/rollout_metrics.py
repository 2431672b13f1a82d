"""Aggregation of routers' health reports by interval, for a rollout leader.

Times are milliseconds of the leader's own clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .canary_analysis import MAX_BASELINE_INTERVALS, HealthMetrics
from .failure_detector import HealthReport
from .fleet_state import FleetState, MemberKind, MemberPhase
from .rollout_state import BUILD, Rollout


class MemberInterval(NamedTuple):
    """The metrics of a member over one interval, and its last report in the interval."""

    metrics: HealthMetrics
    report: HealthReport


Interval = Mapping[str, MemberInterval]


class IntervalCollector:
    """Aggregates health reports and keeps the metrics of the last `MAX_BASELINE_INTERVALS` intervals."""

    def __init__(self, interval_ms: float, now: float) -> None:
        self._interval_ms = interval_ms
        self._latest_reports: dict[str, HealthReport] = {}
        self._interval_reports: dict[str, list[HealthReport]] = {}
        self._interval_started_at = now
        self._intervals: list[Interval] = []

    def add_report(self, name: str, report: HealthReport | None) -> None:
        """Add the current report of a member; None if it has none."""
        if report is None:
            return
        before = self._latest_reports.get(name)
        if before is not None and (before.run_id, before.sequence) == (report.run_id, report.sequence):
            return
        self._latest_reports[name] = report
        self._interval_reports.setdefault(name, []).append(report)

    def latest_report(self, name: str) -> HealthReport | None:
        """Return the last report of a member; None if there is none."""
        return self._latest_reports.get(name)

    def close_interval(self, fleet_state: FleetState, now: float) -> Interval | None:
        """Return the metrics of the current interval if it has ended; None otherwise.

        They cover the routers that were in service and ran one build and settings throughout the interval.
        """
        elapsed_ms = now - self._interval_started_at
        if elapsed_ms < self._interval_ms:
            return None
        reports_by_name = self._interval_reports
        self._interval_reports = {}
        self._interval_started_at = now
        interval: dict[str, MemberInterval] = {}
        for name, member in fleet_state.members_of(MemberKind.ROUTER).items():
            reports = reports_by_name.get(name, [])
            is_in_service = member.phase == MemberPhase.IN and not member.lost
            if is_in_service and _has_one_version(reports) and all(report.serving for report in reports):
                metrics = _mean_metrics(reports, elapsed_ms / 1000.0)
                interval[name] = MemberInterval(metrics, reports[-1])
        self._intervals = [*self._intervals[1 - MAX_BASELINE_INTERVALS :], interval]
        return interval

    def baseline_intervals(self, rollout: Rollout, wave: int) -> list[dict[str, HealthMetrics]]:
        """Return the metrics of the kept intervals from before a wave.

        They contain the members of the wave while they ran the old artifact, and the members to compare with.
        Intervals with less than half of the wave's members are omitted.
        """
        wave_members = rollout.waves[wave]
        is_last = wave + 1 == len(rollout.waves)
        intervals = [
            {
                name: metrics
                for name, (metrics, report) in interval.items()
                if (is_last and name not in wave_members)
                or running_digest(report, rollout) != rollout.new.digest
            }
            for interval in self._intervals
        ]
        return [
            metrics_by_name
            for metrics_by_name in intervals
            if 2 * sum(name in metrics_by_name for name in wave_members) >= len(wave_members)
        ]

    def is_loss_widespread(self, max_loss_share: float) -> bool:
        """Return whether routers on both artifacts together lost more than a share of their requests."""
        last = self._intervals[-1] if self._intervals else {}
        lost = sum(metrics.lost for metrics, _ in last.values())
        served = sum(metrics.served for metrics, _ in last.values())
        return lost > max_loss_share * max(1.0, lost + served)


def running_digest(report: HealthReport | None, rollout: Rollout) -> str:
    """Return the digest of a member's artifact of the rollout's kind; empty without a report."""
    if report is None:
        return ""
    return report.build if rollout.kind == BUILD else report.settings


def _has_one_version(reports: list[HealthReport]) -> bool:
    return len({(report.build, report.settings) for report in reports}) == 1


def _mean_metrics(reports: list[HealthReport], seconds: float) -> HealthMetrics:
    """Return the mean of reports, with rates converted to counts over an interval of `seconds`."""
    count = len(reports)
    latencies_ms = [report.door for report in reports if report.door > 0.0]
    return HealthMetrics(
        served=seconds * sum(report.served for report in reports) / count,
        lost=seconds * sum(report.refused + report.failed for report in reports) / count,
        cpu_s=seconds * sum(report.cpu for report in reports) / count,
        memory_kib=sum(report.memory for report in reports) / count,
        admin_latency_ms=sum(latencies_ms) / len(latencies_ms) if latencies_ms else 0.0,
    )
