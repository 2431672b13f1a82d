"""Commands of releases: `rosepick release` and what is under it. See docs/releases.md.

Nothing of it is imported before one of its commands runs: it needs the extra `fleet`.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .common import exit_with_error
from .fleet import FleetSession, ReasonOption, current_actor, print_history, show_page
from .lease import (
    DEFAULT_FLEET_FILE,
    EXIT_NO_QUORUM,
    EXIT_REFUSED,
    FleetFileOption,
    JsonOption,
    run_operation,
)

if TYPE_CHECKING:
    from ..consensus.proposer import RegisterChange
    from ..coordination.agent_state_file import AgentStateFile
    from ..coordination.artifact_store import LocalArtifactStore, MemberProgram
    from ..fleet.deployer import Deployer
    from ..fleet.fleet_state import FleetState
    from ..fleet.rollout_leader import RolloutPolicy
    from ..fleet.rollout_state import Artifact, RolloutState
    from ..settings.fleet_file import ReleaseSettings

release = typer.Typer(
    no_args_is_help=True, help="A new version or new settings for all routers, wave by wave."
)


def rollout_plan_of(release_settings: ReleaseSettings) -> RolloutPolicy:
    """How the file says that releases are led."""
    from ..fleet.rollout_leader import RolloutPolicy

    return RolloutPolicy(
        min_watch_ms=1000.0 * release_settings.watch,
        max_watch_ms=1000.0 * release_settings.patience,
        final_watch_ms=1000.0 * release_settings.after,
        lost_timeout_ms=1000.0 * release_settings.lost_for,
        interval_ms=1000.0 * release_settings.pool,
        max_failed_share=release_settings.failing,
        false_alarm_probability=release_settings.alarm,
        max_loss_share=release_settings.line,
        asks_operator=release_settings.unsure == "ask",
        rolls_back_automatically=release_settings.auto_back,
    )


def make_deployer(
    name: str,
    state_file: AgentStateFile,
    folder: Path,
    release_settings: ReleaseSettings,
    program: MemberProgram | None,
) -> tuple[LocalArtifactStore, Deployer] | tuple[None, None]:
    """Return a member's artifact store and deployer; None for both if it takes no part in releases.

    Raises:
        OSError: the build or a folder cannot be read or made.
    """
    from ..coordination.artifact_store import LocalArtifactStore
    from ..fleet.deployer import Deployer, DeployPolicy
    from ..fleet.rollout_state import BUILD, SETTINGS

    if program is None:
        return None, None
    artifacts = LocalArtifactStore(state_file, folder, program)
    digests = {BUILD: artifacts.installed.digest} if program.build is not None else {}
    digests |= {SETTINGS: ""} if program.config is not None else {}
    policy = DeployPolicy(1000.0 * release_settings.settle, 1000.0 * release_settings.probation)
    return artifacts, Deployer(name, state_file, artifacts, policy, digests)


class ReleaseSession(FleetSession):
    """The group's record of releases, as these commands use it."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        from ..fleet import rollout_state as book

        self._record_key, self._read_record = (
            book.rollout_state_key(self.fleet_file.drains.group),
            book.decode_rollout_state,
        )

    def record(self) -> RolloutState:
        """The record as it is."""
        return self._decode_record(run_operation(self.client, self._record_key))

    def _decode_record(self, outcome: Any) -> RolloutState:
        from ..fleet.versioned_document import DocumentDecodeError

        try:
            return self._read_record(outcome.register)
        except DocumentDecodeError as problem:
            exit_with_error(problem, EXIT_REFUSED)

    def change_record(
        self, make: RegisterChange, rejection_reason: Callable[[RolloutState], str]
    ) -> RolloutState:
        """Change it; `rejection_reason` says why it was not, empty if it was so already."""
        from ..consensus.proposer import OutcomeKind

        outcome = run_operation(self.client, self._record_key, make)
        if outcome.kind is OutcomeKind.UNKNOWN:
            exit_with_error("the answer was lost: look with `release status`", EXIT_NO_QUORUM)
        record = self._decode_record(outcome)
        why = rejection_reason(record) if outcome.kind is OutcomeKind.UNCHANGED else ""
        if why:
            exit_with_error(why, EXIT_REFUSED)
        return record


def _read_artifact(path: Path, name: str) -> Artifact:
    from ..coordination.artifact_fetch import digest_of
    from ..fleet.rollout_state import Artifact

    try:
        return Artifact(name or path.name, digest_of(path), str(path.absolute()))
    except OSError as problem:
        exit_with_error(f"{path}: {problem.strerror}", 2)


def _format_waves(waves: list[list[str]]) -> list[str]:
    return [
        f"wave {number}: {len(names)}: {', '.join(names[:6])}{' ...' if len(names) > 6 else ''}"
        for number, names in enumerate(waves, 1)
    ]


def _current_artifact(record: RolloutState, kind: str, old: Path | None) -> Artifact:
    from ..fleet.rollout_state import SETTINGS, Artifact

    if old is not None:
        return _read_artifact(old, "")
    if kind in record.baseline:
        return record.baseline[kind]
    if kind == SETTINGS:
        return Artifact("as installed", "", "")
    exit_with_error("the first release of a build needs --from: the build that all run now", 2)


@release.command()
def start(
    build: Annotated[
        Path | None, typer.Argument(help="The new build's folder, as each host finds it.")
    ] = None,
    settings: Annotated[
        Path | None, typer.Option(help="New settings (GW_CONFIG's `settings`) in place of a build.")
    ] = None,
    old: Annotated[Path | None, typer.Option("--from", help="The build that all run now.")] = None,
    name: Annotated[str, typer.Option(help="What people call it; else the last part of its path.")] = "",
    why: ReasonOption = "",
    plan: Annotated[bool, typer.Option("--plan", "--dry-run", help="Say the waves, and do nothing.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Bring a new version to all routers, wave by wave; back by itself if it is worse."""
    if (build is None) == (settings is None):
        exit_with_error("name a build, or --settings", 2)
    group = ReleaseSession(fleet)
    from ..fleet import rollout_state as book

    kind = book.BUILD if build is not None else book.SETTINGS
    path = build or settings
    assert path is not None
    record, ledger = group.record(), group.read_state()
    new, before = _read_artifact(path, name), _current_artifact(record, kind, old)
    if settings is not None:
        _require_json(settings)
    waves = book.plan_waves(ledger, group.fleet_file.releases.waves)
    if not waves:
        exit_with_error("no routers belong to the group", EXIT_REFUSED)
    for line in [
        f"{kind} {new.name} ({new.digest}) for {before.name} ({before.digest or '-'})"
    ] + _format_waves(waves):
        print(line)
    if plan:
        return
    if not why:
        exit_with_error("a release needs --why", 2)
    _print_warnings(ledger)
    change = book.start_rollout(kind, new, before, waves, current_actor(), why, time.time())
    told = group.change_record(change, lambda read: _start_rejection(read, kind, new, before))
    print(f"release {told.last_number} has begun")


def _require_json(path: Path) -> None:
    try:
        json.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as problem:
        exit_with_error(f"{path}: {problem}", 2)


def _print_warnings(ledger: FleetState) -> None:
    """What will keep it, said before."""
    out = [name for name, one in ledger.members_of(0).items() if one.is_out]
    if out:
        print(f"out at present, and to follow when they are back: {', '.join(out)}")
    if ledger.halt is not None:
        print(f"drains are halted by {ledger.halt.actor}: nobody goes before `fleet resume`")


def _start_rejection(record: RolloutState, kind: str, new: Artifact, previous: Artifact) -> str:
    if record.open_rollout is not None:
        rollout = record.open_rollout
        return f"release {rollout.number} ({rollout.new.name}) is open: two at a time there are not"
    base = record.baseline.get(kind, previous)
    if new.digest == base.digest:
        return f"{new.name} is what all run already"
    return f"the fleet runs {base.name} ({base.digest}), not {previous.name} ({previous.digest})"


@release.command()
def status(
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    as_json: JsonOption = False,
    watch: Annotated[bool, typer.Option("--watch", help="Again and again.")] = False,
) -> None:
    """Say where the release stands, who runs what, and what it waits for."""
    group = ReleaseSession(fleet)
    if as_json:
        import msgspec

        print(msgspec.json.encode(msgspec.to_builtins(group.record())).decode())
        return
    show_page(group.client, lambda: _status_page(group), watch)


def _status_page(group: ReleaseSession) -> Any:
    from rich.console import Group as Rows
    from rich.table import Table

    from ..fleet import rollout_state as book

    record = group.record()
    now = record.open_rollout
    if now is None:
        runs = [f"{kind}: {thing.name} ({thing.digest or '-'})" for kind, thing in record.baseline.items()]
        return Rows("no release is open", *runs)
    reports = _read_reports(group, [name for names in now.waves for name in names])
    table = Table(
        "wave", "routers", "run the new one", "lost a request in", "cpu ms a request", "left behind"
    )
    for number, names in enumerate(now.waves):
        here = [reports[name] for name in names if name in reports]
        digest = [one.build if now.kind == book.BUILD else one.settings for one in here]
        asked, lost = sum(one.served for one in here), sum(one.refused + one.failed for one in here)
        cpu = sum(one.cpu for one in here)
        mark = " <" if number == now.wave and now.phase != book.RolloutPhase.OBSERVE else ""
        table.add_row(
            f"{number + 1}{mark}",
            str(len(names)),
            str(digest.count(now.new.digest)),
            f"{(asked + lost) / lost:.0f}" if lost else "-",
            f"{1000 * cpu / asked:.2f}" if asked else "-",
            ", ".join(name for name in names if name in now.left_behind),
        )
    lines = [f"release {now.number}: {now.kind} {now.new.name} for {now.old.name}; {book.describe(now)}"]
    lines.append(f"watched for {now.watched_ms / 1000:.0f} s")
    if now.pause is not None:
        lines.append(f"HELD by {now.pause.actor}: {now.pause.reason}")
    lines += [f"{name}: {why}" for name, why in now.left_behind.items()]
    return Rows(table, *lines)


def _read_reports(group: ReleaseSession, names: list[str]) -> dict[str, Any]:
    from ..fleet import failure_detector

    found: dict[str, Any] = {}
    for name in names:
        report = failure_detector.decode_health_report(
            run_operation(
                group.client, failure_detector.health_report_key(group.fleet_file.drains.group, name)
            ).register
        )
        if report is not None:
            found[name] = report
    return found


def _no_release_reason(record: RolloutState) -> str:
    return "no release is open" if record.open_rollout is None else ""


@release.command()
def halt(why: ReasonOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Nobody begins anything, forward or back, until `resume` or `rollback`."""
    _change_release("halt", why, fleet, "halted")


@release.command()
def resume(why: ReasonOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Have a release that is held go on; its wave is looked at anew."""
    _change_release("resume", why, fleet, "goes on")


@release.command()
def rollback(
    why: ReasonOption = "",
    forward: Annotated[
        bool, typer.Option("--forward", help="Have one that goes back go forward again.")
    ] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Take the open release back; one that is held too."""
    _change_release(
        "forward" if forward else "rollback", why, fleet, "goes forward" if forward else "goes back"
    )


def _change_release(action: str, why: str, fleet: Path, message: str) -> None:
    if not why:
        exit_with_error(f"release {action} needs --why", 2)
    group = ReleaseSession(fleet)
    from ..fleet import rollout_state as book

    make = {
        "halt": book.pause_rollout,
        "resume": book.resume_rollout,
        "rollback": book.roll_back,
        "forward": book.roll_forward,
    }[action]
    reason = {
        "halt": _no_release_reason,
        "resume": lambda read: _no_release_reason(read) or "it is not held",
    }.get(action, _no_release_reason)
    if action == "forward":
        reason = lambda read: _no_release_reason(read) or "it does not go back"  # noqa: E731
    told = group.change_record(make(current_actor(), why, time.time()), reason)
    print(f"release {told.last_number}: {message}")


@release.command()
def history(fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False) -> None:
    """What happened last, with who and why."""
    print_history(ReleaseSession(fleet).record().history, as_json)


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.add_typer(release, name="release")
