"""Invariants of releases (docs/releases.md), checked on the versions that members were seen to run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from .history import AnyEvent, ReleaseDecided, VersionStarted
from .invariants import Violation


class ReleaseInvariant(StrEnum):
    """Names of the properties of releases, as reports and mutations.toml have them."""

    PERMISSION = "reach"  # a member runs only what the rollout record allows it
    EXPOSURE = "stopped"  # a bad version reaches few members
    CONVERGENCE = "one version"  # at the end all run what the record says
    ROLLBACK = "taken back"  # no bad version is left at the end


@dataclass(frozen=True, slots=True)
class ReleaseBounds:
    """What the invariants allow for.

    A member may begin to run a version until `permission_grace_s` seconds after the record last allowed it:
    its agent acts on a read that may be so old, and the member has to start. `max_members_by_bad_version` has
    the versions that are worse, and how many members may ever run each; `members` are all that are released
    to.
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
        self._allowed_until: dict[tuple[str, str], float] = {}  # by member and version
        self._allowed_members: dict[str, set[str]] = {}  # by version, as the last decision has it
        self._running: dict[str, VersionStarted] = {}  # by member
        self._members_by_version: dict[str, set[str]] = {}  # which ever ran it
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
        """Return who may run each version; all may run the replaced one, for a rollback."""
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
            text = f"{start.process} began to run {start.version}, which nobody had allowed it"
            events = (start,) if self._last_decision is None else (self._last_decision, start)
            self.violations.append(Violation(ReleaseInvariant.PERMISSION.value, text, events))

    def _is_allowed(self, start: VersionStarted) -> bool:
        if start.process in self._allowed_members.get(start.version, set()):
            return True
        return start.at <= self._allowed_until.get((start.process, start.version), -1.0)

    def finish(self) -> None:
        """Check what holds for the whole history and for its end."""
        for version, most in self._bounds.max_members_by_bad_version.items():
            reached = len(self._members_by_version.get(version, ()))
            self.counts["bad versions begun"] += reached > 0
            self.counts[f"members that ran {version.partition('-')[0]}"] += reached
            if reached > most:
                text = f"{version} was run by {reached} members, {most} at most were to see that it is worse"
                self.violations.append(Violation(ReleaseInvariant.EXPOSURE.value, text))
        if self._last_decision is not None:
            self._check_final_versions(self._last_decision)

    def _check_final_versions(self, last: ReleaseDecided) -> None:
        """Check that all members run the version that the record says, and that it is no bad one."""
        if not last.over:
            text = f"release {last.number} is not over"
            self.violations.append(Violation(ReleaseInvariant.CONVERGENCE.value, text, (last,)))
            return
        others = [
            start
            for name, start in self._running.items()
            if name in self._bounds.members and start.version != last.version
        ]
        if others:
            names = ", ".join(start.process for start in others)
            text = f"{names}: not {last.version}, as the record says"
            self.violations.append(Violation(ReleaseInvariant.CONVERGENCE.value, text, (last, *others)))
        if last.version in self._bounds.max_members_by_bad_version:
            text = f"all are to run {last.version}, which is worse"
            self.violations.append(Violation(ReleaseInvariant.ROLLBACK.value, text, (last,)))


def check_invariants(
    events: Sequence[AnyEvent], bounds: ReleaseBounds
) -> tuple[list[Violation], Counter[str]]:
    """Check a history for versions that were not allowed, that spread too far or that stay at the end.

    Returns the violations and counts of what was checked.
    """
    checker = _ReleaseChecker(bounds)
    for event in events:
        checker.add(event)
    checker.finish()
    return checker.violations, checker.counts
