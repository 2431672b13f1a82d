"""The commands of `rosepick fleet`. See docs/drains.md."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Annotated

import typer

from .common import exit_with_error
from .fleet_session import (
    FleetSession,
    StatusOptions,
    accept_unchanged,
    current_minute,
    print_history,
    show_document,
)
from .quorum_session import (
    DEFAULT_FLEET_FILE,
    EXIT_REFUSED,
    FleetFileOption,
    JsonOption,
    ReasonOption,
    WatchOption,
    current_actor,
)

if TYPE_CHECKING:
    from rich.console import RenderableType
    from rich.table import Table

    from ..fleet.disruption_budget import DisruptionBudget
    from ..fleet.fleet_state import FleetMember, FleetState

fleet = typer.Typer(no_args_is_help=True, help="State of the fleet: members, halt, budget, history.")

FULL_CAPACITY_PERMILLE = 1000  # the origin's capacity does not reduce the disruption budget


@fleet.command()
def status(
    fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False, watch: WatchOption = False
) -> None:
    """Show by zone how many members are in, out and lost, the budget, and what blocks drains."""
    session = FleetSession(fleet)
    show_document(session, session.fleet_state, _status_page, StatusOptions(as_json, watch))


def _status_page(session: FleetSession) -> RenderableType:
    from rich.console import Group

    from ..fleet.disruption_budget import blocking_reasons

    state = session.fleet_state.read()
    budget = session.disruption_budget()
    minute = current_minute()
    lines: list[RenderableType] = [_phase_table(state, budget)]
    if state.halt is not None:
        lines.append(f"HALTED by {state.halt.actor}: {state.halt.reason}")
    lines += [
        f"{name} waits: {'; '.join(blocking_reasons(state, budget, name, minute))}"
        for name in state.pending_drains()
    ]
    evicted = [name for name, member in state.members.items() if member.evicted]
    if evicted:
        lines.append(f"written off: {', '.join(evicted)}")
    if state.capacity_permille < FULL_CAPACITY_PERMILLE:
        lines.append(f"the capacity of the origin allows {state.capacity_permille / 10:.0f}% of the budget")
    return Group(*lines)


def _phase_table(state: FleetState, budget: DisruptionBudget) -> Table:
    """Return a table by kind and zone: the members in each phase, and how many may be out at a time.

    The last column is the lower of the zone's limit, reduced by the origin's capacity, and the fleet's limit.
    """
    from rich.table import Table

    from ..fleet.disruption_budget import KIND_LABELS

    table = Table("zone", "kind", "in", "going", "out", "coming", "lost", "may be out")
    for kind, label in KIND_LABELS.items():
        of_kind = state.members_of(kind)
        limit = budget.limit_for(kind)
        for zone in sorted({member.zone for member in of_kind.values()}):
            in_zone = [member for member in of_kind.values() if member.zone == zone]
            max_out = min(
                limit.max_out_in_zone(len(in_zone), state.capacity_permille),
                limit.max_out_overall(len(of_kind)),
            )
            lost = sum(member.lost for member in in_zone)
            table.add_row(zone, label, *map(str, _count_phases(in_zone)), str(lost), str(max_out))
    return table


def _count_phases(members: list[FleetMember]) -> list[int]:
    """Return how many members are in, leaving, out and rejoining; a lost member is not in."""
    from ..fleet.fleet_state import MemberPhase

    columns = (
        (MemberPhase.IN,),
        (MemberPhase.GIVEN, MemberPhase.LEAVING),
        (MemberPhase.OUT,),
        (MemberPhase.BACK,),
    )
    return [
        sum(
            member.phase in phases and not (member.phase == MemberPhase.IN and member.lost)
            for member in members
        )
        for phases in columns
    ]


@fleet.command()
def halt(reason: ReasonOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Halt all drains until `resume`; members that are out under a permit return."""
    if not reason:
        exit_with_error("a halt needs --why", 2)
    session = FleetSession(fleet)
    from ..fleet import fleet_state

    change = fleet_state.halt_drains(current_actor(), reason, time.time())
    state = session.fleet_state.change(change, accept_unchanged)
    assert state.halt is not None
    print(f"halted by {state.halt.actor}: {state.halt.reason}")


@fleet.command()
def resume(reason: ReasonOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """End the halt."""
    if not reason:
        exit_with_error("to resume needs --why", 2)
    session = FleetSession(fleet)
    from ..fleet import fleet_state

    change = fleet_state.resume_drains(current_actor(), reason, time.time())
    session.fleet_state.change(change, lambda _state: "there is no halt")
    print("resumed")


@fleet.command("write-off")
def evict_member(
    member: Annotated[str, typer.Argument()],
    reason: ReasonOption = "",
    reinstates: Annotated[bool, typer.Option("--back", help="Undo the eviction instead.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Evict a member: its permit ends, and the budget no longer counts it."""
    if not (reason or reinstates):
        exit_with_error("to write off needs --why", 2)
    session = FleetSession(fleet)
    from ..fleet import fleet_state

    if reinstates:
        change = fleet_state.reinstate_member(member, current_actor(), time.time())
        rejection = f"{member} is not written off"
    else:
        change = fleet_state.evict_member(member, current_actor(), reason, time.time())
        rejection = f"{member} is not a member"
    session.fleet_state.change(change, lambda _state: rejection)
    print(f"{member}: {'taken on again' if reinstates else 'written off'}")


@fleet.command()
def history(fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False) -> None:
    """Show the latest changes with their actors and reasons."""
    print_history(FleetSession(fleet).fleet_state.read().history, as_json)


@fleet.command()
def rules(
    sets_budget: Annotated[bool, typer.Option("--set", help="Use the budget of this file.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Compare the budget of this file with the fleet's, or set it.

    Agents with another budget acquire no permits.
    """
    session = FleetSession(fleet)
    from ..fleet import fleet_state

    file_digest = session.disruption_budget().digest()
    if sets_budget:
        change = fleet_state.set_budget_digest(file_digest, current_actor(), time.time())
        state = session.fleet_state.change(change, accept_unchanged)
    else:
        state = session.fleet_state.read()
    print(f"the fleet's: {state.budget_digest or 'none'}, this file's: {file_digest}")
    raise typer.Exit(0 if state.budget_digest == file_digest else EXIT_REFUSED)


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    app.add_typer(fleet, name="fleet")
