"""Who counts: the holder of the group's lease looks at what every agent reports, and writes down who is out
unasked, what the store can bear, and whether there has to be a halt. A machine without I/O and clock.

What a member says of itself and what its agent sees are both in its report; the worse one counts. A report
that does not change any more is a silent member. Times are milliseconds of the warden's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..consensus.messages import Register
from .disruption_budget import DisruptionBudget, unplanned_halt_reason
from .fleet_state import REGISTER_PREFIX, FleetState, MemberKind, MemberPhase

MAX_CANDIDATES = 3  # members whose agents stand ready to count


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """What an agent tells of its member. Figures are of the time since the last report, per second."""

    run_id: int  # drawn at the agent's start
    sequence: int  # one more each time
    serving: bool  # it serves, as it says and as it was seen to
    warm: bool = True
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    hits: float = 0.0
    misses: float = 0.0
    cpu: float = 0.0  # seconds a second
    memory: float = 0.0  # KiB
    door: float = 0.0  # milliseconds until its door answers
    exit_count: int = 0  # how often it has ended by itself
    build: str = ""  # digests of what it runs
    settings: str = ""
    deploy_error: str = ""  # why it does not run what it is to run


_decoder: msgspec.msgpack.Decoder[HealthReport] = msgspec.msgpack.Decoder(HealthReport)


def health_report_key(group: str, name: str) -> str:
    """The register of a member's report."""
    return f"{REGISTER_PREFIX}{group}/at/{name}"


def decode_health_report(register: Register) -> HealthReport | None:
    """A report; None if there is none, or none that this program can read."""
    try:
        return _decoder.decode(register.value) if register.value else None
    except msgspec.MsgspecError:
        return None


@dataclass(frozen=True, slots=True)
class FailureDetectorPolicy:
    """`report_timeout_ms`: milliseconds without a new report after which a member counts as out;
    `low_refusal_share`, `high_refusal_share`: parts of the requests refused, below which the store has room
    and above which it is short.
    """

    report_timeout_ms: float = 6_000.0
    low_refusal_share: float = 0.005
    high_refusal_share: float = 0.02


class StoreCapacityEstimator:
    """What the store can bear: the misses that one more cache node out would bring, against what the store
    was seen to take. It is not known before the store was short once; then it is 0.9 of what came then, and
    grows by a hundredth each time that all is calm (additive in its logarithm: Chiu and Jain 1989 have the
    case for falling fast and growing slowly).
    """

    def __init__(self, policy: FailureDetectorPolicy) -> None:
        self._policy = policy
        self.sustained_misses_per_s: float | None = None  # misses a second

    def capacity_permille(self, reports: list[tuple[int, HealthReport]], max_out: int) -> int:
        """Thousandths of the stated limit of `max_out` cache nodes."""
        routers = [one for kind, one in reports if kind == MemberKind.ROUTER]
        lost = sum(one.refused + one.failed for one in routers)
        refused = lost / max(lost + sum(one.served for one in routers), 1e-9)
        caches = [one for kind, one in reports if kind == MemberKind.CACHE and one.serving]
        misses = sum(one.misses for one in caches)
        if refused > self._policy.high_refusal_share:
            self.sustained_misses_per_s = min(0.9 * misses, self.sustained_misses_per_s or misses)
            return 0
        if self.sustained_misses_per_s is None or not caches:
            return 1000
        if refused < self._policy.low_refusal_share:
            self.sustained_misses_per_s *= 1.01
        each = sum(one.hits for one in caches) / len(caches)
        bears = (self.sustained_misses_per_s - misses) / max(each * max_out, 1e-9)
        return max(0, min(1000, int(1000.0 * bears)))


@dataclass(frozen=True, slots=True)
class HealthSummary:
    """What is to be written down."""

    lost: dict[str, bool]
    capacity_permille: int
    typical_hit_permille: int  # thousandths of the reads that a cache node has
    is_complete: bool  # of every member it is known what it is: heard of, or waited for long enough
    halt_reason: str  # for a halt; empty if there is no reason


class FailureDetector:
    """Counts, as long as its process holds the lease."""

    def __init__(self, budget: DisruptionBudget, policy: FailureDetectorPolicy, now: float) -> None:
        self._budget, self._policy = budget, policy
        self._started_at = now
        self._reports: dict[str, tuple[HealthReport, float]] = {}  # and when it last changed
        self._live_members: set[str] = set()  # whose report has changed since this warden began
        self._capacity = StoreCapacityEstimator(policy)

    def add_report(self, name: str, report: HealthReport | None, now: float) -> None:
        """A member's report, as it is now."""
        before = self._reports.get(name)
        if report is None or (
            before and (before[0].run_id, before[0].sequence) == (report.run_id, report.sequence)
        ):
            return
        self._reports[name] = report, now
        if before is not None:
            self._live_members.add(name)

    def _is_lost(self, name: str, phase: int, now: float) -> bool | None:
        """Whether it is out unasked; None if that is not known yet. Guards against a new warden that finds
        the dead again as it reads their last reports.
        """
        seen = self._reports.get(name)
        if seen is None:
            return True if now - self._started_at > self._policy.report_timeout_ms else None
        report, when = seen
        if now - when > self._policy.report_timeout_ms or (
            phase == MemberPhase.IN and not (report.serving and report.warm)
        ):
            return True
        return False if name in self._live_members else None

    def summarize(self, fleet_state: FleetState, now: float) -> HealthSummary:
        """What there is to write down."""
        told = {
            name: self._is_lost(name, one.phase, now)
            for name, one in fleet_state.members.items()
            if not one.evicted
        }
        lost = {name: is_lost for name, is_lost in told.items() if is_lost is not None}
        reports = [
            (one.kind, self._reports[name][0])
            for name, one in fleet_state.members.items()
            if name in self._reports and not lost.get(name)
        ]
        stated = self._budget.caches.max_out_overall(len(fleet_state.members_of(MemberKind.CACHE)))
        marked = {
            name: msgspec.structs.replace(one, lost=lost.get(name, one.lost))
            for name, one in fleet_state.members.items()
        }
        why = unplanned_halt_reason(msgspec.structs.replace(fleet_state, members=marked), self._budget)
        return HealthSummary(
            lost,
            self._capacity.capacity_permille(reports, stated),
            _typical_hit_permille(reports),
            None not in told.values(),
            why,
        )


def _typical_hit_permille(reports: list[tuple[int, HealthReport]]) -> int:
    """The middle one of the hit shares of warm cache nodes."""
    warm = [
        one
        for kind, one in reports
        if kind == MemberKind.CACHE and one.serving and one.warm and one.hits + one.misses > 0
    ]
    shares = sorted(one.hits / (one.hits + one.misses) for one in warm)
    return int(1000.0 * shares[len(shares) // 2]) if shares else 0


def detector_candidates(fleet_state: FleetState) -> list[str]:
    """Whose agents stand ready: the first by name; those that are lost, or wanted out, last. An agent
    counts on while its member is out, and never is there none that may: else all that were lost would stay
    so.
    """
    found = [
        (one.lost, one.drain_request is not None, name)
        for name, one in fleet_state.members.items()
        if not one.evicted
    ]
    return [name for _, _, name in sorted(found)[:MAX_CANDIDATES]]
