"""Describes versions of the router in fault-injection tests of releases, and rollouts of them as events."""

from __future__ import annotations

from collections import Counter

from ...fleet.rollout_state import BUILD, Artifact, RolloutPhase, RolloutState
from .history import ReleaseDecided
from .version_fault import VersionFault

INITIAL_VERSION = "old"
GOOD_VERSION = "good"
# by the kind of fault: how many waves may run a version before the fault is detected
WAVES_TO_DETECT: dict[str, int] = {
    VersionFault.EXITS_AT_START: 1,
    VersionFault.NEVER_SERVES: 1,
    VersionFault.EXITS_SOON: 1,
    VersionFault.FAILS_REQUESTS: 1,
    VersionFault.SLOW: 2,
    VersionFault.LEAKS_MEMORY: 2,
    VersionFault.FAILS_IN_WEST: 3,
}


def make_artifact(version: str) -> Artifact:
    """Return the artifact of a version, whose name serves as the digest, too."""
    return Artifact(version, version, f"/builds/{version}")


def parse_fault_kind(version: str) -> str:
    """Return the kind of a version's fault: a value of `VersionFault`, or another name if it has no fault."""
    return version.partition("-")[0]


def has_fault(version: str) -> bool:
    """Return whether a version has a fault, so that a rollout of it must be rolled back."""
    return parse_fault_kind(version) in WAVES_TO_DETECT


def max_members_exposed(fault_kind: str, router_count: int) -> int:
    """Return how many routers may run a version with a fault: the routers of the waves that may run it."""
    first_two_waves = router_count // 2
    return (1, first_two_waves, router_count)[WAVES_TO_DETECT[fault_kind] - 1]


def to_release_event(
    record: RolloutState, routers: list[str], now: float, read_started_at: float
) -> ReleaseDecided:
    """Return what the rollout's record permits, as an event; times in seconds of the test's clock."""
    rollout = record.open_rollout
    if rollout is None:
        baseline = record.baseline.get(BUILD)
        version = baseline.digest if baseline else INITIAL_VERSION
        return ReleaseDecided("record", now, read_started_at, record.last_number, version, over=True)
    version = rollout.new.digest
    permitted = tuple(name for name in routers if rollout.artifact_for(name).digest == version)
    rolls_back = rollout.phase == RolloutPhase.ROLLBACK
    return ReleaseDecided("record", now, read_started_at, rollout.number, version, permitted, rolls_back)


def count_decisions(before: RolloutState | None, after: RolloutState) -> Counter[str]:
    """Count the decisions of rollout leaders between two reads of the record, by the kind of version."""
    counts: Counter[str] = Counter()
    old_rollout = None if before is None else before.open_rollout
    new_rollout = after.open_rollout
    if old_rollout is None:
        return counts
    if new_rollout is not None and old_rollout.number == new_rollout.number:
        rollback_began = (
            old_rollout.phase != RolloutPhase.ROLLBACK and new_rollout.phase == RolloutPhase.ROLLBACK
        )
        last_entry = after.history[-1] if after.history else None
        if rollback_began and last_entry is not None and last_entry.actor != "operator":
            counts[f"judged worse: {parse_fault_kind(new_rollout.new.name)}"] += 1
        return counts
    is_deployed = after.baseline.get(BUILD) == old_rollout.new
    outcome = "brought through" if is_deployed else "closed as taken back"
    counts[f"{outcome}: {parse_fault_kind(old_rollout.new.name)}"] += 1
    return counts
