"""The commands of `rosepick release`. See docs/releases.md.

The code calls a release a rollout. Dependencies of the extra `fleet` are imported only when a command runs.
"""

from __future__ import annotations

import json
import time
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from .common import exit_with_error
from .fleet_session import FleetSession, StatusOptions, print_history, show_document
from .quorum_session import (
    DEFAULT_FLEET_FILE,
    EXIT_REFUSED,
    FleetFileOption,
    JsonOption,
    ReasonOption,
    WatchOption,
    current_actor,
    run_operation,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rich.console import RenderableType
    from rich.table import Table

    from ..consensus.proposer import RegisterChange
    from ..fleet.failure_detector import HealthReport
    from ..fleet.fleet_state import FleetState
    from ..fleet.rollout_state import Artifact, Rollout, RolloutState

release = typer.Typer(
    no_args_is_help=True, help="Rollouts of a new build or new settings to all routers, in waves."
)

BuildArgument = Annotated[Path | None, typer.Argument(help="Folder of the new build on each host.")]
SettingsOption = Annotated[
    Path | None, typer.Option(help="File of new settings (GW_CONFIG's `settings`), instead of a build.")
]
MAX_NAMES_SHOWN = 6  # per wave


class ReleaseAction(Enum):
    """Actions of an operator on the open release; errors name a command by the value."""

    HALT = "halt"
    RESUME = "resume"
    ROLLBACK = "rollback"
    FORWARD = "forward"


ACTION_RESULTS = {
    ReleaseAction.HALT: "halted",
    ReleaseAction.RESUME: "goes on",
    ReleaseAction.ROLLBACK: "goes back",
    ReleaseAction.FORWARD: "goes forward",
}


# ---------------------------------------------------------------------------- start


@release.command()
def start(
    build: BuildArgument = None,
    settings: SettingsOption = None,
    old: Annotated[Path | None, typer.Option("--from", help="The build that all routers run now.")] = None,
    name: Annotated[str, typer.Option(help="Display name; default: the file name.")] = "",
    reason: ReasonOption = "",
    plan: Annotated[bool, typer.Option("--plan", "--dry-run", help="Only print the waves.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Roll out a new build or settings to all routers in waves; roll back if it is worse."""
    if (build is None) == (settings is None):
        exit_with_error("name a build, or --settings", 2)
    session = FleetSession(fleet)
    from ..fleet import rollout_state

    kind = rollout_state.BUILD if build is not None else rollout_state.SETTINGS
    path = build or settings
    assert path is not None
    rollouts = session.rollout_state.read()
    state = session.fleet_state.read()
    new = _read_artifact(path, name)
    previous = _current_artifact(rollouts, kind, old)
    if settings is not None:
        _require_json(settings)
    waves = rollout_state.plan_waves(state, session.fleet_file.releases.waves)
    if not waves:
        exit_with_error("no routers belong to the group", EXIT_REFUSED)
    _print_plan(kind, new, previous, waves)
    if plan:
        return
    if not reason:
        exit_with_error("a release needs --why", 2)
    _print_warnings(state)
    change = rollout_state.start_rollout(kind, new, previous, waves, current_actor(), reason, time.time())
    rollouts = session.rollout_state.change(
        change, lambda latest: _start_rejection(latest, kind, new, previous)
    )
    print(f"release {rollouts.last_number} has begun")


def _read_artifact(path: Path, name: str) -> Artifact:
    from ..coordination.artifact_fetch import compute_digest
    from ..fleet.rollout_state import Artifact

    try:
        return Artifact(name or path.name, compute_digest(path), str(path.absolute()))
    except OSError as error:
        exit_with_error(f"{path}: {error.strerror}", 2)


def _current_artifact(rollouts: RolloutState, kind: str, old: Path | None) -> Artifact:
    """Return the artifact that all routers run now, from `--from` or from the last release."""
    from ..fleet.rollout_state import SETTINGS, Artifact

    if old is not None:
        return _read_artifact(old, "")
    if kind in rollouts.baseline:
        return rollouts.baseline[kind]
    if kind != SETTINGS:
        exit_with_error("the first release of a build needs --from: the build that all run now", 2)
    return Artifact("as installed", "", "")


def _require_json(path: Path) -> None:
    try:
        json.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as error:
        exit_with_error(f"{path}: {error}", 2)


def _print_plan(kind: str, new: Artifact, previous: Artifact, waves: list[list[str]]) -> None:
    print(f"{kind} {new.name} ({new.digest}) for {previous.name} ({previous.digest or '-'})")
    for number, names in enumerate(waves, 1):
        more = " ..." if len(names) > MAX_NAMES_SHOWN else ""
        print(f"wave {number}: {len(names)}: {', '.join(names[:MAX_NAMES_SHOWN])}{more}")


def _print_warnings(state: FleetState) -> None:
    """Print warnings about members and halts that delay the release."""
    from ..fleet.fleet_state import MemberKind

    out = [name for name, member in state.members_of(MemberKind.ROUTER).items() if member.is_out]
    if out:
        print(f"out at present, and to follow when they are back: {', '.join(out)}")
    if state.halt is not None:
        print(f"drains are halted by {state.halt.actor}: no router leaves before `fleet resume`")


def _start_rejection(rollouts: RolloutState, kind: str, new: Artifact, previous: Artifact) -> str:
    if rollouts.open_rollout is not None:
        rollout = rollouts.open_rollout
        return f"release {rollout.number} ({rollout.new.name}) is still open; only one release can be open"
    baseline = rollouts.baseline.get(kind, previous)
    if new.digest == baseline.digest:
        return f"all routers already run {new.name}"
    return f"the fleet runs {baseline.name} ({baseline.digest}), not {previous.name} ({previous.digest})"


# ---------------------------------------------------------------------------- status and history


@release.command()
def status(
    fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False, watch: WatchOption = False
) -> None:
    """Show the progress of the release, and what the routers of each wave run."""
    session = FleetSession(fleet)
    show_document(session, session.rollout_state, _status_page, StatusOptions(as_json, watch))


def _status_page(session: FleetSession) -> RenderableType:
    from rich.console import Group

    from ..fleet import rollout_state

    rollouts = session.rollout_state.read()
    rollout = rollouts.open_rollout
    if rollout is None:
        baseline = [
            f"{kind}: {artifact.name} ({artifact.digest or '-'})"
            for kind, artifact in rollouts.baseline.items()
        ]
        return Group("no release is open", *baseline)
    reports = _read_reports(session, [name for names in rollout.waves for name in names])
    lines = [
        f"release {rollout.number}: {rollout.kind} {rollout.new.name} for {rollout.old.name}; "
        f"{rollout_state.describe(rollout)}",
        f"watched for {rollout.watched_ms / 1000:.0f} s",
    ]
    if rollout.pause is not None:
        lines.append(f"HELD by {rollout.pause.actor}: {rollout.pause.reason}")
    lines += [f"{name}: {reason}" for name, reason in rollout.left_behind.items()]
    return Group(_wave_table(rollout, reports), *lines)


def _wave_table(rollout: Rollout, reports: Mapping[str, HealthReport]) -> Table:
    from rich.table import Table

    from ..fleet.rollout_state import RolloutPhase

    table = Table(
        "wave", "routers", "run the new one", "lost a request in", "cpu ms a request", "left behind"
    )
    for number, names in enumerate(rollout.waves):
        is_current = number == rollout.wave and rollout.phase != RolloutPhase.OBSERVE
        wave_reports = [reports[name] for name in names if name in reports]
        table.add_row(
            f"{number + 1}{' <' if is_current else ''}",
            str(len(names)),
            *_wave_figures(rollout, wave_reports),
            ", ".join(name for name in names if name in rollout.left_behind),
        )
    return table


def _wave_figures(rollout: Rollout, reports: list[HealthReport]) -> list[str]:
    """Return the figures of a wave: routers on the new artifact, requests per lost one, CPU time."""
    from ..fleet.rollout_state import BUILD

    digests = [report.build if rollout.kind == BUILD else report.settings for report in reports]
    served = sum(report.served for report in reports)
    lost = sum(report.refused + report.failed for report in reports)
    cpu = sum(report.cpu for report in reports)
    return [
        str(digests.count(rollout.new.digest)),
        f"{(served + lost) / lost:.0f}" if lost else "-",
        f"{1000 * cpu / served:.2f}" if served else "-",
    ]


def _read_reports(session: FleetSession, names: list[str]) -> dict[str, HealthReport]:
    """Return the last health reports of members, by name."""
    from ..fleet.failure_detector import decode_health_report, health_report_key

    group = session.fleet_file.drains.group
    reports: dict[str, HealthReport] = {}
    for name in names:
        outcome = run_operation(session.client, health_report_key(group, name))
        report = decode_health_report(outcome.register)
        if report is not None:
            reports[name] = report
    return reports


@release.command()
def history(fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False) -> None:
    """Show the latest changes with their actors and reasons."""
    print_history(FleetSession(fleet).rollout_state.read().history, as_json)


# ---------------------------------------------------------------------------- actions of operators


@release.command()
def halt(reason: ReasonOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Pause the release, forward or back, until `resume` or `rollback`."""
    _act_on_release(ReleaseAction.HALT, reason, fleet)


@release.command()
def resume(reason: ReasonOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Resume a paused release; the observation of its wave starts anew."""
    _act_on_release(ReleaseAction.RESUME, reason, fleet)


@release.command()
def rollback(
    reason: ReasonOption = "",
    forward: Annotated[bool, typer.Option("--forward", help="Reverse a rollback.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Roll back the open release, even if it is paused."""
    _act_on_release(ReleaseAction.FORWARD if forward else ReleaseAction.ROLLBACK, reason, fleet)


def _act_on_release(action: ReleaseAction, reason: str, fleet: Path) -> None:
    if not reason:
        exit_with_error(f"release {action.value} needs --why", 2)
    session = FleetSession(fleet)
    rollouts = session.rollout_state.change(
        _action_change(action, reason), lambda latest: _action_rejection(action, latest)
    )
    print(f"release {rollouts.last_number}: {ACTION_RESULTS[action]}")


def _action_change(action: ReleaseAction, reason: str) -> RegisterChange:
    from ..fleet import rollout_state

    make_change = {
        ReleaseAction.HALT: rollout_state.pause_rollout,
        ReleaseAction.RESUME: rollout_state.resume_rollout,
        ReleaseAction.ROLLBACK: rollout_state.roll_back,
        ReleaseAction.FORWARD: rollout_state.roll_forward,
    }[action]
    return make_change(current_actor(), reason, time.time())


def _action_rejection(action: ReleaseAction, rollouts: RolloutState) -> str:
    """Return why an action was rejected; empty if that is no error."""
    if rollouts.open_rollout is None:
        return "no release is open"
    if action is ReleaseAction.RESUME:
        return "the release is not paused"
    if action is ReleaseAction.FORWARD:
        return "the release is not being rolled back"
    return ""


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    app.add_typer(release, name="release")
