"""The commands `drain` and `undrain`. See docs/drains.md."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Annotated

import typer

from .common import exit_with_error
from .fleet_session import FleetSession, accept_unchanged, current_minute, pause
from .quorum_session import DEFAULT_FLEET_FILE, EXIT_REFUSED, FleetFileOption, ReasonOption, current_actor

if TYPE_CHECKING:
    from ..fleet.fleet_state import FleetState

MembersArgument = Annotated[list[str] | None, typer.Argument(help="Names of members.")]
ZoneOption = Annotated[str, typer.Option(help="All members of a zone.")]


def drain(
    members: MembersArgument = None,
    zone: ZoneOption = "",
    reason: ReasonOption = "",
    at_once: Annotated[bool, typer.Option("--now", help="Failing host: at once, beyond the budget.")] = False,
    minimum_override: Annotated[
        str, typer.Option("--even-below", help="The member's name again: leave even if too few members stay.")
    ] = "",
    wait: Annotated[bool, typer.Option("--wait", help="Wait until all are out.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Drain members, as soon as the disruption budget allows it.

    They stay out until `undrain`, a halt, or a loss of the quorum.
    """
    session = FleetSession(fleet)
    from ..fleet import drain_requests

    names = _select_members(session.fleet_state.read(), members, zone)
    if not reason:
        exit_with_error("a drain needs --why", 2)
    if minimum_override and (not at_once or names != [minimum_override]):
        exit_with_error("--even-below goes with --now and one member, named twice", 2)
    change = drain_requests.request_drain(
        names, current_actor(), reason, time.time(), at_once, bool(minimum_override)
    )
    state = session.fleet_state.change(change, accept_unchanged)
    _print_blocked(session, state, names)
    if wait:
        _show_progress(session, names)


def undrain(
    members: MembersArgument = None, zone: ZoneOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE
) -> None:
    """Cancel drains: members return, or do not leave."""
    session = FleetSession(fleet)
    from ..fleet import drain_requests

    names = _select_members(session.fleet_state.read(), members, zone)
    change = drain_requests.cancel_drain(names, current_actor(), time.time())
    session.fleet_state.change(change, accept_unchanged)
    print(f"wanted in: {', '.join(names)}")


def _select_members(state: FleetState, members: list[str] | None, zone: str) -> list[str]:
    """Return the named members, or all of a zone; exit with an error if there are none."""
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
    """Print for each member whether it leaves now, or what blocks its drain."""
    minute = current_minute()
    if state.budget_digest != session.disruption_budget().digest():
        print("this file's budget is not the fleet's: `fleet rules` shows and sets it")
    for name in names:
        reasons = _waiting_reasons(session, state, name, minute)
        print(f"{name}: {'waits: ' + '; '.join(reasons) if reasons else 'goes'}")


def _waiting_reasons(session: FleetSession, state: FleetState, name: str, minute: int) -> list[str]:
    from ..fleet.disruption_budget import blocking_reasons, may_take_permit
    from ..fleet.fleet_state import MemberPhase

    phase = state.members[name].phase
    if phase == MemberPhase.BACK:
        return ["it is coming back"]
    if phase:
        return []
    budget = session.disruption_budget()
    reasons = blocking_reasons(state, budget, name, minute)
    if not reasons and not may_take_permit(budget, minute, state, name):
        return ["others were asked for before"]
    return reasons


def _show_progress(session: FleetSession, names: list[str]) -> None:
    """Show a progress bar until all members are out, or their drains are all cancelled."""
    from rich.progress import Progress

    from ..fleet.fleet_state import MemberPhase

    with Progress() as progress:
        task = progress.add_task("out", total=len(names))
        while True:
            state = session.fleet_state.read()
            members = [state.members[name] for name in names]
            out = sum(
                member.phase == MemberPhase.OUT and member.drain_request is not None for member in members
            )
            halted = f" halted: {state.halt.reason}" if state.halt else ""
            progress.update(task, completed=out, description=f"{out} of {len(names)} out{halted}")
            if out == len(names) or all(member.drain_request is None for member in members):
                return
            pause(session.client)


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    app.command()(drain)
    app.command()(undrain)
