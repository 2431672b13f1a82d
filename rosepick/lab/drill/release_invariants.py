"""Checks the invariants of releases (docs/releases.md) on the versions that members were observed to run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from .history import AnyEvent, ReleaseDecided, VersionStarted
from .invariants import Violation


class ReleaseInvariant(StrEnum):
    """Properties of releases; reports and tests/mutations.toml contain the values."""

    PERMISSION = "reach"  # members run only versions that the rollout record allows them
    EXPOSURE = "stopped"  # only a limited number of members ever run a bad version
    CONVERGENCE = "one version"  # at the end all members run the version in the rollout record
    ROLLBACK = "taken back"  # at the end no member is assigned a bad version


@dataclass(frozen=True, slots=True)
class ReleaseBounds:
    """The limits against which a history is checked.

    Attributes:
        permission_grace_s: seconds after the record last allowed a version in which a member may still start
            it. They cover the age of the read on which its agent acts, and the member's start.
        max_members_by_bad_version: for each bad version, how many members may ever run it.
        members: all members that take part in releases.
    """

    permission_grace_s: float
    max_members_by_bad_version: Mapping[str, int]
    members: Sequence[str]


class _ReleaseChecker:
    """Checks a history of releases event by event."""

    def __init__(self, bounds: ReleaseBounds) -> None:
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self._bounds = bounds
        self._allowed_until: dict[tuple[str, str], float] = {}  # keyed by member and version
        self._allowed_members: dict[str, set[str]] = {}  # keyed by version, as of the last decision
        self._running: dict[str, VersionStarted] = {}  # keyed by member
        self._members_by_version: dict[str, set[str]] = {}  # all members that ever ran a version
        self._last_decision: ReleaseDecided | None = None

    def add(self, event: AnyEvent) -> None:
        if isinstance(event, ReleaseDecided):
            self._add_decision(event)
        elif isinstance(event, VersionStarted):
            self._add_start(event)

    def _add_decision(self, decision: ReleaseDecided) -> None:
        was_rolling_back = self._last_decision is not None and self._last_decision.back
        self.counts["decisions"] += 1
        self.counts["releases taken back"] += decision.back and not was_rolling_back
        for version, names in self._allowed_members.items():
            for name in names:
                self._allowed_until[name, version] = decision.at + self._bounds.permission_grace_s
        self._allowed_members = self._members_allowed_by(decision)
        self._last_decision = decision

    def _members_allowed_by(self, decision: ReleaseDecided) -> dict[str, set[str]]:
        """Return the members allowed to run each version; all may run the replaced one, for a rollback."""
        members = set(self._bounds.members)
        if decision.over:
            return {decision.version: members}
        allowed = {decision.version: set(decision.may)}
        replaced = next((version for version in self._allowed_members if version != decision.version), "")
        return allowed | ({replaced: members} if replaced else {})

    def _add_start(self, start: VersionStarted) -> None:
        self.counts["versions begun"] += 1
        is_first = start.process not in self._running
        self._running[start.process] = start
        self._members_by_version.setdefault(start.version, set()).add(start.process)
        if not is_first and not self._is_allowed(start):
            text = f"{start.process} started {start.version} without permission"
            events = (start,) if self._last_decision is None else (self._last_decision, start)
            self.violations.append(Violation(ReleaseInvariant.PERMISSION.value, text, events))

    def _is_allowed(self, start: VersionStarted) -> bool:
        if start.process in self._allowed_members.get(start.version, set()):
            return True
        return start.at <= self._allowed_until.get((start.process, start.version), -1.0)

    def finish(self) -> None:
        """Check the invariants that concern the whole history or its end, after all events were added."""
        for version, max_members in self._bounds.max_members_by_bad_version.items():
            member_count = len(self._members_by_version.get(version, ()))
            self.counts["bad versions begun"] += member_count > 0
            # Drills name a bad version by its kind, a dash and a number; the count is by kind.
            self.counts[f"members that ran {version.partition('-')[0]}"] += member_count
            if member_count > max_members:
                text = f"{member_count} members ran the bad version {version}, the limit is {max_members}"
                self.violations.append(Violation(ReleaseInvariant.EXPOSURE.value, text))
        if self._last_decision is not None:
            self._check_final_versions(self._last_decision)

    def _check_final_versions(self, decision: ReleaseDecided) -> None:
        """Check that the last release is closed and that all members run its version, not a bad one."""
        if not decision.over:
            text = f"release {decision.number} is still open at the end"
            self.violations.append(Violation(ReleaseInvariant.CONVERGENCE.value, text, (decision,)))
            return
        mismatched_starts = [
            start
            for name, start in self._running.items()
            if name in self._bounds.members and start.version != decision.version
        ]
        if mismatched_starts:
            names = ", ".join(start.process for start in mismatched_starts)
            text = f"{names} do not run {decision.version}, the version in the rollout record"
            self.violations.append(
                Violation(ReleaseInvariant.CONVERGENCE.value, text, (decision, *mismatched_starts))
            )
        if decision.version in self._bounds.max_members_by_bad_version:
            text = f"all members are assigned the bad version {decision.version}"
            self.violations.append(Violation(ReleaseInvariant.ROLLBACK.value, text, (decision,)))


def check_invariants(
    events: Sequence[AnyEvent], bounds: ReleaseBounds
) -> tuple[list[Violation], Counter[str]]:
    """Check a history for forbidden starts, bad versions on too many members and wrong versions at the end.

    Returns the violations and the counts of checked events.
    """
    checker = _ReleaseChecker(bounds)
    for event in events:
        checker.add(event)
    checker.finish()
    return checker.violations, checker.counts
