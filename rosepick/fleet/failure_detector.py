"""The failure detector finds lost members, estimates the origin's capacity and decides on a halt of drains.

It runs in the agent that holds the group's lease and reads the health reports of all agents. A report states
the worse of the member's own report and its agent's observation. A member whose report no longer changes is
lost.

The detector is a state machine without I/O and clock; times are milliseconds of its own clock.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..consensus.messages import Register
from .disruption_budget import FULL_CAPACITY_PERMILLE, DisruptionBudget, unplanned_halt_reason
from .fleet_state import REGISTER_PREFIX, FleetMember, FleetState, MemberKind, MemberPhase

MAX_CANDIDATES = 3  # number of agents that compete for the lease
SUSTAINED_LOAD_FACTOR = 0.9  # multiplies the miss rate at which the origin was overloaded
SUSTAINED_LOAD_GROWTH = 1.01  # multiplies the sustained miss rate in each sweep with few refusals


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """An agent's report on its member; request figures and `cpu` are per second since the last report."""

    run_id: int  # random number that the agent draws when it starts
    sequence: int  # increases by one with each report
    serving: bool
    warm: bool = True
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    hits: float = 0.0
    misses: float = 0.0
    cpu: float = 0.0  # CPU seconds per second
    memory: float = 0.0  # KiB
    door: float = 0.0  # response time of the member's admin listener in milliseconds
    exit_count: int = 0  # exits of the member that its agent did not request
    build: str = ""  # digest of the running build
    settings: str = ""  # digest of the settings in use
    deploy_error: str = ""  # why the member does not run its target; empty if it does


_decoder: msgspec.msgpack.Decoder[HealthReport] = msgspec.msgpack.Decoder(HealthReport)


def health_report_key(group: str, name: str) -> str:
    """Return the key of the register that holds a member's report."""
    return f"{REGISTER_PREFIX}{group}/at/{name}"


def decode_health_report(register: Register) -> HealthReport | None:
    """Return the report in a register; None if it is empty or cannot be decoded."""
    try:
        return _decoder.decode(register.value) if register.value else None
    except msgspec.MsgspecError:
        return None


@dataclass(frozen=True, slots=True)
class FailureDetectorPolicy:
    """Thresholds of a failure detector.

    `report_timeout_ms`: time in milliseconds after which a member with an unchanged report is lost. The
    origin has spare capacity if the share of refused requests is below `low_refusal_share`, and is overloaded
    above `high_refusal_share`.
    """

    report_timeout_ms: float = 6_000.0
    low_refusal_share: float = 0.005
    high_refusal_share: float = 0.02


class OriginCapacityEstimator:
    """Estimates how many cache nodes may be out without overloading the origin.

    It compares the misses that one more absent cache node would cause with the miss rate that the origin
    sustains. This rate is unknown until the first overload. It is then 0.9 of the miss rate during the
    overload, and grows by a hundredth whenever few requests are refused (multiplicative decrease and slow
    increase: Chiu and Jain 1989).
    """

    def __init__(self, policy: FailureDetectorPolicy) -> None:
        self._policy = policy
        self.sustained_misses_per_s: float | None = None  # None until the first overload

    def capacity_permille(self, reports: list[tuple[int, HealthReport]], max_out: int) -> int:
        """Return the capacity in thousandths of the configured limit of `max_out` cache nodes.

        `reports` contains the kind and the last report of each member that is not lost.
        """
        routers = [report for kind, report in reports if kind == MemberKind.ROUTER]
        lost_per_s = sum(report.refused + report.failed for report in routers)
        refusal_share = lost_per_s / max(lost_per_s + sum(report.served for report in routers), 1e-9)
        caches = [report for kind, report in reports if kind == MemberKind.CACHE and report.serving]
        misses = sum(report.misses for report in caches)
        if refusal_share > self._policy.high_refusal_share:
            self.sustained_misses_per_s = min(
                SUSTAINED_LOAD_FACTOR * misses, self.sustained_misses_per_s or misses
            )
            return 0
        if self.sustained_misses_per_s is None or not caches:
            return FULL_CAPACITY_PERMILLE
        if refusal_share < self._policy.low_refusal_share:
            self.sustained_misses_per_s *= SUSTAINED_LOAD_GROWTH
        hits_per_node = sum(report.hits for report in caches) / len(caches)
        share = (self.sustained_misses_per_s - misses) / max(hits_per_node * max_out, 1e-9)
        return max(0, min(FULL_CAPACITY_PERMILLE, int(1000.0 * share)))


@dataclass(frozen=True, slots=True)
class HealthSummary:
    """The results of a sweep that the failure detector writes into the fleet state."""

    lost: dict[str, bool]  # whether a member is lost, for members whose state is known
    capacity_permille: int
    typical_hit_permille: int  # median hit ratio of warm cache nodes in thousandths
    is_complete: bool  # the state of every member is known
    halt_reason: str  # empty: no halt is needed


class FailureDetector:
    """Collects health reports while its process holds the lease."""

    def __init__(self, budget: DisruptionBudget, policy: FailureDetectorPolicy, now: float) -> None:
        self._budget = budget
        self._policy = policy
        self._started_at = now
        self._reports: dict[str, tuple[HealthReport, float]] = {}  # last report, and when it changed
        self._live_members: set[str] = set()  # members whose report has changed since this detector started
        self._capacity = OriginCapacityEstimator(policy)

    def add_report(self, name: str, report: HealthReport | None, now: float) -> None:
        """Add the current report of a member; None if it has none."""
        if report is None:
            return
        before = self._reports.get(name)
        if before and (before[0].run_id, before[0].sequence) == (report.run_id, report.sequence):
            return
        self._reports[name] = report, now
        if before is not None:
            self._live_members.add(name)

    def _is_lost(self, name: str, phase: int, now: float) -> bool | None:
        """Return whether a member is lost; None if that is not known yet.

        A new detector also reads the last reports of dead members, so it considers a member alive only after
        its report has changed.
        """
        known = self._reports.get(name)
        if known is None:
            return True if now - self._started_at > self._policy.report_timeout_ms else None
        report, changed_at = known
        if now - changed_at > self._policy.report_timeout_ms or (
            phase == MemberPhase.IN and not (report.serving and report.warm)
        ):
            return True
        return False if name in self._live_members else None

    def summarize(self, fleet_state: FleetState, now: float) -> HealthSummary:
        """Return the results of a sweep of all members."""
        counted = {name: member for name, member in fleet_state.members.items() if not member.evicted}
        verdicts = {name: self._is_lost(name, member.phase, now) for name, member in counted.items()}
        lost = {name: is_lost for name, is_lost in verdicts.items() if is_lost is not None}
        reports = [
            (member.kind, self._reports[name][0])
            for name, member in fleet_state.members.items()
            if name in self._reports and not lost.get(name)
        ]
        max_out = self._budget.caches.max_out_overall(len(fleet_state.members_of(MemberKind.CACHE)))
        return HealthSummary(
            lost=lost,
            capacity_permille=self._capacity.capacity_permille(reports, max_out),
            typical_hit_permille=_typical_hit_permille(reports),
            is_complete=None not in verdicts.values(),
            halt_reason=unplanned_halt_reason(_with_lost(fleet_state, lost), self._budget),
        )


def _with_lost(fleet_state: FleetState, lost: dict[str, bool]) -> FleetState:
    """Return the fleet state with the `lost` flags of its members updated."""

    def marked(name: str, member: FleetMember) -> FleetMember:
        return msgspec.structs.replace(member, lost=lost.get(name, member.lost))

    members = {name: marked(name, member) for name, member in fleet_state.members.items()}
    return msgspec.structs.replace(fleet_state, members=members)


def _typical_hit_permille(reports: list[tuple[int, HealthReport]]) -> int:
    """Return the median hit ratio of warm cache nodes in thousandths; 0 without any."""
    warm = [
        report
        for kind, report in reports
        if kind == MemberKind.CACHE and report.serving and report.warm and report.hits + report.misses > 0
    ]
    ratios = sorted(report.hits / (report.hits + report.misses) for report in warm)
    return int(1000.0 * ratios[len(ratios) // 2]) if ratios else 0


def detector_candidates(fleet_state: FleetState) -> list[str]:
    """Return the members whose agents compete for the lease.

    They are the first by name; lost members and members with a drain request come last. These are never
    excluded: an agent can detect failures while its member is out, and if all members are lost a detector has
    to find them again.
    """
    candidates = [
        (member.lost, member.drain_request is not None, name)
        for name, member in fleet_state.members.items()
        if not member.evicted
    ]
    return [name for _, _, name in sorted(candidates)[:MAX_CANDIDATES]]
