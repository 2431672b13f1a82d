"""Claims of releases (docs/releases.md), judged by what members were seen to run and when the record said
what.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .history import AnyEvent, ReleaseDecided, VersionStarted
from .invariants import Violation


@dataclass(frozen=True, slots=True)
class ReleaseBounds:
    """Seconds. `permission_grace_s`: so long after the record last allowed it a member may still begin to run
    a version: its agent goes by a reading that may be so old, and the member has to be started.
    `max_members_by_bad_version`: versions that are worse, and by how many members at most each may ever be
    run; `members`: who is to run what at the end.
    """

    permission_grace_s: float
    max_members_by_bad_version: Mapping[str, int]
    members: Sequence[str]


def check_invariants(
    events: Sequence[AnyEvent], bounds: ReleaseBounds
) -> tuple[list[Violation], Counter[str]]:
    """Over a history: who began to run what nobody had allowed it, how far bad versions came, what all run at
    the end.
    """
    allowed: dict[tuple[str, str], float] = {}  # member and version: until when it may begin
    standing: dict[str, set[str]] = {}  # version: who may run it by the last word
    runs: dict[str, VersionStarted] = {}
    ever: dict[str, set[str]] = {}
    broken, counts = list[Violation](), Counter[str]()
    last: ReleaseDecided | None = None
    for event in events:
        if isinstance(event, ReleaseDecided):
            counts["decisions"] += 1
            counts["releases taken back"] += event.back and not (last is not None and last.back)
            for version, names in standing.items():
                for name in names:
                    allowed[name, version] = event.at + bounds.permission_grace_s
            if event.over:
                standing = {event.version: set(bounds.members)}
            else:
                held = {version: names for version, names in standing.items() if version != event.version}
                old = next(iter(held), "")
                # what it replaces may be run by anybody at any time: it is the way back
                standing = {event.version: set(event.may)} | ({old: set(bounds.members)} if old else {})
            last = event
        elif isinstance(event, VersionStarted):
            counts["versions begun"] += 1
            first = event.process not in runs
            runs[event.process] = event
            ever.setdefault(event.version, set()).add(event.process)
            may = event.process in standing.get(event.version, set())
            may = may or event.at <= allowed.get((event.process, event.version), -1.0)
            if not first and not may:
                text = f"{event.process} began to run {event.version}, which nobody had allowed it"
                broken.append(Violation("reach", text, tuple(e for e in (last, event) if e is not None)))
    for version, most in bounds.max_members_by_bad_version.items():
        reached = len(ever.get(version, ()))
        counts["bad versions begun"] += reached > 0
        counts[f"members that ran {version.partition('-')[0]}"] += reached
        if reached > most:
            text = f"{version} was run by {reached} members, {most} at most were to see that it is worse"
            broken.append(Violation("stopped", text))
    return broken + _check_final_versions(runs, last, bounds), counts


def _check_final_versions(
    runs: Mapping[str, VersionStarted], last: ReleaseDecided | None, bounds: ReleaseBounds
) -> list[Violation]:
    """All run one version, and the record says which; none that is worse."""
    if last is None:
        return []
    if not last.over:
        return [Violation("one version", f"release {last.number} is not over", (last,))]
    other = [one for name, one in runs.items() if name in bounds.members and one.version != last.version]
    found = []
    if other:
        text = f"{', '.join(one.process for one in other)}: not {last.version}, as the record says"
        found.append(Violation("one version", text, (last, *other)))
    if last.version in bounds.max_members_by_bad_version:
        found.append(Violation("taken back", f"all are to run {last.version}, which is worse", (last,)))
    return found
