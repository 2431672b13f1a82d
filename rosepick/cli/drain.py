"""Commands of drains: drain and undrain. See docs/drains.md."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Annotated

import typer

from .common import exit_with_error
from .fleet_session import FleetSession, accept_unchanged, current_minute, pause
from .quorum_session import DEFAULT_FLEET_FILE, EXIT_REFUSED, FleetFileOption, ReasonOption, current_actor

if TYPE_CHECKING:
    from ..fleet.fleet_state import FleetState

MembersArgument = Annotated[list[str] | None, typer.Argument(help="Members by name.")]
ZoneOption = Annotated[str, typer.Option(help="All members of a zone.")]


def drain(
    members: MembersArgument = None,
    zone: ZoneOption = "",
    reason: ReasonOption = "",
    now: Annotated[bool, typer.Option("--now", help="A dying host: at once, over the budget.")] = False,
    below: Annotated[
        str, typer.Option("--even-below", help="Its name once more: even under what must stay.")
    ] = "",
    wait: Annotated[bool, typer.Option("--wait", help="Until all are out.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Have members go out, as soon as the budget allows it.

    They stay out until `undrain`, a halt, or no quorum.
    """
    session = FleetSession(fleet)
    from ..fleet import fleet_state

    names = _select_members(session.fleet_state.read(), members, zone)
    if not reason:
        exit_with_error("a drain needs --why", 2)
    if below and (not now or names != [below]):
        exit_with_error("--even-below goes with --now and one member, named twice", 2)
    change = fleet_state.request_drain(names, current_actor(), reason, time.time(), now, bool(below))
    state = session.fleet_state.change(change, accept_unchanged)
    _print_blocked(session, state, names)
    if wait:
        _show_progress(session, names)


def undrain(
    members: MembersArgument = None, zone: ZoneOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE
) -> None:
    """Have members come back, or not go."""
    session = FleetSession(fleet)
    from ..fleet import fleet_state

    names = _select_members(session.fleet_state.read(), members, zone)
    change = fleet_state.cancel_drain(names, current_actor(), time.time())
    session.fleet_state.change(change, accept_unchanged)
    print(f"wanted in: {', '.join(names)}")


def _select_members(state: FleetState, members: list[str] | None, zone: str) -> list[str]:
    """Return the named members, or all of a zone; end with an error if there are none."""
    names = list(members or ())
    if bool(names) == bool(zone):
        exit_with_error("name members, or a zone", 2)
    if zone:
        names = [name for name, member in state.members.items() if member.zone == zone and not member.evicted]
    unknown = [name for name in names if name not in state.members or state.members[name].evicted]
    if unknown or not names:
        exit_with_error(f"no such members: {', '.join(unknown) or zone}", EXIT_REFUSED)
    return names


def _print_blocked(session: FleetSession, state: FleetState, names: list[str]) -> None:
    """Say of each member whether it goes out now, or what it waits for."""
    minute = current_minute()
    if state.budget_digest != session.disruption_budget().digest():
        print("this file's budget is not the fleet's: `fleet rules` shows and sets it")
    for name in names:
        reasons = _waiting_reasons(session, state, name, minute)
        print(f"{name}: {'waits: ' + '; '.join(reasons) if reasons else 'goes'}")


def _waiting_reasons(session: FleetSession, state: FleetState, name: str, minute: int) -> list[str]:
    from ..fleet.disruption_budget import blocking_reasons, may_take_permit

    if state.members[name].phase:
        return []
    budget = session.disruption_budget()
    reasons = blocking_reasons(state, budget, name, minute)
    if not reasons and not may_take_permit(budget, minute, state, name):
        return ["others were asked for before"]
    return reasons


def _show_progress(session: FleetSession, names: list[str]) -> None:
    """Show a progress bar until all members are out, or no drain of them is wanted any more."""
    from rich.progress import Progress

    from ..fleet.fleet_state import MemberPhase

    with Progress() as progress:
        task = progress.add_task("out", total=len(names))
        while True:
            state = session.fleet_state.read()
            out = sum(state.members[name].phase == MemberPhase.OUT for name in names)
            halted = f" halted: {state.halt.reason}" if state.halt else ""
            progress.update(task, completed=out, description=f"{out} of {len(names)} out{halted}")
            if out == len(names) or all(state.members[name].drain_request is None for name in names):
                return
            pause(session.client)


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.command()(drain)
    app.command()(undrain)
