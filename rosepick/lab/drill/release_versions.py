"""Versions of the router in fault-injection tests of releases, and how rollouts of them are recorded."""

from __future__ import annotations

from collections import Counter

from ...fleet.rollout_state import BUILD, Artifact, RolloutPhase, RolloutState
from .history import ReleaseDecided
from .version_fault import VersionFault

INITIAL_VERSION = "old"
GOOD_VERSION = "good"
WAVES_TO_DETECT: dict[str, int] = {  # how many waves may run a version with this fault
    VersionFault.EXITS_AT_START: 1,
    VersionFault.NEVER_SERVES: 1,
    VersionFault.EXITS_SOON: 1,
    VersionFault.FAILS_REQUESTS: 1,
    VersionFault.SLOW: 2,
    VersionFault.LEAKS_MEMORY: 2,
    VersionFault.FAILS_IN_WEST: 3,
}


def artifact_named(version: str) -> Artifact:
    """Return the artifact of a version; its name is its digest, too."""
    return Artifact(version, version, f"/builds/{version}")


def fault_kind_of(version: str) -> str:
    """Return the kind of a version's fault, the value of a `VersionFault`, or another name if it has none."""
    return version.partition("-")[0]


def has_fault(version: str) -> bool:
    """Return whether a rollout of the version is to be rolled back."""
    return fault_kind_of(version) in WAVES_TO_DETECT


def max_members_exposed(fault_kind: str, router_count: int) -> int:
    """Return how many routers may run a version with a fault: those of the waves that may run it."""
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
    """Count what rollout leaders have decided between two reads of the record, by the kind of version."""
    counts: Counter[str] = Counter()
    old = None if before is None else before.open_rollout
    new = after.open_rollout
    if old is None:
        return counts
    if new is not None and old.number == new.number:
        was_turned = old.phase != RolloutPhase.ROLLBACK and new.phase == RolloutPhase.ROLLBACK
        last = after.history[-1] if after.history else None
        if was_turned and last is not None and last.actor != "operator":
            counts[f"judged worse: {fault_kind_of(new.new.name)}"] += 1
        return counts
    is_deployed = after.baseline.get(BUILD) == old.new
    outcome = "brought through" if is_deployed else "closed as taken back"
    counts[f"{outcome}: {fault_kind_of(old.new.name)}"] += 1
    return counts
