"""Commands of drains: agent, drain, undrain, and fleet with what is under it. See docs/drains.md.

Nothing of it is imported before one of its commands runs: it needs the extra `fleet`.
"""

from __future__ import annotations

import json
import os
import shlex
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .common import exit_with_error, require_extra
from .lease import (
    DEFAULT_FLEET_FILE,
    EXIT_NO_QUORUM,
    EXIT_REFUSED,
    FleetFileOption,
    JsonOption,
    connect_quorum,
    run_operation,
    run_until,
)

if TYPE_CHECKING:
    from ..consensus.proposer import RegisterChange
    from ..coordination.quorum_client import QuorumClient
    from ..fleet.disruption_budget import DisruptionBudget
    from ..fleet.fleet_state import AuditEntry, FleetState
    from ..settings.fleet_file import FleetFile

agent = typer.Typer(no_args_is_help=True, help="Agents: one a machine, beside its router or cache node.")
fleet = typer.Typer(no_args_is_help=True, help="Who of the fleet is in, out, lost; the halt; history.")

MembersArgument = Annotated[list[str] | None, typer.Argument(help="Members by name.")]
ZoneOption = Annotated[str, typer.Option(help="All members of a zone.")]
ReasonOption = Annotated[str, typer.Option("--why", help="For the history and for whoever looks later.")]
POLL_INTERVAL_S = 0.5  # seconds between two looks of --wait and --watch


def current_actor() -> str:
    return f"{os.environ.get('USER', 'somebody')}@{os.uname().nodename}"


class FleetSession:
    """The ledger of the file's group, as these commands use it."""

    def __init__(self, path: Path) -> None:
        self.client: QuorumClient
        self.fleet_file: FleetFile
        self.client, self.fleet_file = connect_quorum(path)
        with require_extra("fleet"):
            import rich  # noqa: F401 - tables and bars
        from ..fleet import fleet_state

        self._key = fleet_state.fleet_state_key(self.fleet_file.drains.group)
        self._read_register = fleet_state.decode_fleet_state

    def disruption_budget(self) -> DisruptionBudget:
        """What the file says."""
        return disruption_budget_of(self.fleet_file)

    def read_state(self) -> FleetState:
        """The ledger as it is."""
        return self._decode(run_operation(self.client, self._key))

    def _decode(self, outcome: Any) -> FleetState:
        from ..fleet.versioned_document import DocumentDecodeError

        try:
            return self._read_register(outcome.register)
        except DocumentDecodeError as problem:
            exit_with_error(problem, EXIT_REFUSED)

    def change(self, make: RegisterChange, rejection_reason: Callable[[FleetState], str]) -> FleetState:
        """Change it; `rejection_reason` says why it was not, empty if it was so already."""
        from ..consensus.proposer import OutcomeKind

        outcome = run_operation(self.client, self._key, make)
        if outcome.kind is OutcomeKind.UNKNOWN:
            exit_with_error("the answer was lost: look with `fleet status`", EXIT_NO_QUORUM)
        ledger = self._decode(outcome)
        why = rejection_reason(ledger) if outcome.kind is OutcomeKind.UNCHANGED else ""
        if why:
            exit_with_error(why, EXIT_REFUSED)
        return ledger


def disruption_budget_of(fleet_file: FleetFile) -> DisruptionBudget:
    """The budget that a fleet's file states."""
    from ..fleet.disruption_budget import DisruptionBudget, Limit

    drains = fleet_file.drains
    routers, caches = (Limit(**one.model_dump()) for one in (drains.routers, drains.caches))
    back = None if drains.back is None else Limit(**drains.back.model_dump())
    return DisruptionBudget(routers, caches, drains.closed_minutes(), drains.apart, drains.unasked, back)


@agent.command("run")
def run_agent(
    name: Annotated[str, typer.Argument(help="The member's name.")],
    command: Annotated[list[str], typer.Argument(help="After --: what starts the member.")],
    folder: Annotated[Path, typer.Option(help="What the agent keeps; its alone.")],
    zone: Annotated[str, typer.Option(help="The member's zone.")],
    door: Annotated[str, typer.Option(help="host:port of the member's operators' door.")],
    kind: Annotated[str, typer.Option(help="router or cache.")] = "router",
    weight: Annotated[
        int, typer.Option(min=1, max=1_000_000, help="Its share beside others of its kind.")
    ] = 1000,
    build: Annotated[
        Path | None, typer.Option(help="The build that stands here; {build} in COMMAND is its place.")
    ] = None,
    config: Annotated[
        Path | None, typer.Option(help="The member's GW_CONFIG; releases change its settings.")
    ] = None,
    check: Annotated[str, typer.Option(help="A command that checks a version; {build} is its place.")] = "",
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Look after one router or cache node in the foreground until SIGTERM. The member outlives its agent.

    With --build or --config it takes part in releases (docs/releases.md).
    """
    import signal

    if kind not in ("router", "cache"):
        exit_with_error(f"--kind {kind}: router or cache", 2)
    host, _, port = door.rpartition(":")
    if not host or not port.isdecimal():
        exit_with_error(f"--door {door} is not host:port", 2)
    client, told = connect_quorum(fleet)
    from .. import logs
    from ..coordination.acceptor_store import StoreError
    from ..coordination.agent_driver import AgentDriver
    from ..coordination.agent_driver_config import AgentDriverConfig
    from ..coordination.agent_state_file import AgentStateFile
    from ..coordination.artifact_store import MemberProgram
    from ..coordination.supervised_process import MemberProcessConfig, SupervisedProcess
    from ..fleet import failure_detector, fleet_state
    from ..fleet.agent import Agent, AgentPolicy
    from ..leases.fencing import FencingGuard
    from ..leases.lease_client import LeaseConfig as LeaseTerms
    from ..net.event_loop import EventLoop
    from .release import make_deployer, rollout_plan_of

    logs.configure_logging()
    try:
        kept = AgentStateFile(folder)
    except (StoreError, OSError) as problem:
        exit_with_error(problem, 3)
    drains, loop = told.drains, client.loop
    assert isinstance(loop, EventLoop)
    a_kind = fleet_state.MemberKind.ROUTER if kind == "router" else fleet_state.MemberKind.CACHE
    takes_part = build is not None or config is not None
    try:
        program = MemberProgram(build, config, shlex.split(check), command) if takes_part else None
        versions, carrier = make_deployer(name, kept, folder, told.releases, program)
    except OSError as problem:
        exit_with_error(problem, 3)
    tended = SupervisedProcess(
        loop,
        MemberProcessConfig(a_kind, (host, int(port)), command, folder / "member.log", drains.halt_above),
        kept,
        versions,
    )
    terms = AgentPolicy(partition_timeout_ms=1000.0 * drains.lonely, min_serving_ms=1000.0 * drains.steady)
    machine = Agent(name, a_kind, zone, weight, disruption_budget_of(told), terms, kept)
    machine.deployer = carrier
    if carrier is not None:
        tended.set_active_digests(lambda: carrier.active_digests)
    lease = LeaseTerms(told.leases.ttl * 1000.0, told.leases.drift)
    counting = failure_detector.FailureDetectorPolicy(report_timeout_ms=1000.0 * drains.silent)
    driver = AgentDriver(
        client,
        machine,
        tended,
        FencingGuard(kept.tokens),
        AgentDriverConfig(
            drains.group, lease, counting, 1000.0 * drains.beat, rollout_plan_of(told.releases)
        ),
    )

    def end() -> None:
        driver.release_lease()
        loop.call_after(300.0, loop.stop)

    loop.add_signal_handlers({signal.SIGTERM: end, signal.SIGINT: end})
    loop.run()
    kept.close()


# ---------------------------------------------------------------------------- out and in


def _select_members(ledger: FleetState, members: list[str] | None, zone: str) -> list[str]:
    names = list(members or ())
    if bool(names) == bool(zone):
        exit_with_error("name members, or a zone", 2)
    if zone:
        names = [name for name, one in ledger.members.items() if one.zone == zone and not one.evicted]
    unknown = [name for name in names if name not in ledger.members or ledger.members[name].evicted]
    if unknown or not names:
        exit_with_error(f"no such members: {', '.join(unknown) or zone}", EXIT_REFUSED)
    return names


def drain(
    members: MembersArgument = None,
    zone: ZoneOption = "",
    why: ReasonOption = "",
    now: Annotated[bool, typer.Option("--now", help="A dying host: at once, over the budget.")] = False,
    below: Annotated[
        str, typer.Option("--even-below", help="Its name once more: even under what must stay.")
    ] = "",
    wait: Annotated[bool, typer.Option("--wait", help="Until all are out.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Have members go out, as soon as the budget allows it. They stay out until `undrain`, a halt, or no
    quorum.
    """
    group = FleetSession(fleet)
    from ..fleet import fleet_state

    names = _select_members(group.read_state(), members, zone)
    if not why:
        exit_with_error("a drain needs --why", 2)
    if below and (not now or names != [below]):
        exit_with_error("--even-below goes with --now and one member, named twice", 2)
    change = fleet_state.request_drain(names, current_actor(), why, time.time(), now, bool(below))
    told = group.change(change, lambda read: "")
    _print_blocked(group, told, names)
    if wait:
        _show_progress(group, names)


def _print_blocked(group: FleetSession, state: FleetState, names: list[str]) -> None:
    from ..fleet.disruption_budget import blocking_reasons, may_take_permit

    minute = int(time.time() // 60) % 1440
    if state.budget_digest != group.disruption_budget().digest():
        print("this file's budget is not the fleet's: `fleet rules` shows and sets it")
    for name in names:
        why = (
            blocking_reasons(state, group.disruption_budget(), name, minute)
            if not state.members[name].phase
            else []
        )
        if not (
            why
            or state.members[name].phase
            or may_take_permit(group.disruption_budget(), minute, state, name)
        ):
            why = ["others were asked for before"]
        print(f"{name}: {'waits: ' + '; '.join(why) if why else 'goes'}")


def _show_progress(group: FleetSession, names: list[str]) -> None:
    """A bar until all are out."""
    from rich.progress import Progress

    from ..fleet.fleet_state import MemberPhase

    with Progress() as bar:
        task = bar.add_task("out", total=len(names))
        while True:
            told = group.read_state()
            out = sum(told.members[name].phase == MemberPhase.OUT for name in names)
            halted = f" halted: {told.halt.reason}" if told.halt else ""
            bar.update(task, completed=out, description=f"{out} of {len(names)} out{halted}")
            if out == len(names) or all(told.members[name].drain_request is None for name in names):
                return
            run_until(group.client, lambda: False, 1000.0 * POLL_INTERVAL_S)


def undrain(
    members: MembersArgument = None, zone: ZoneOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE
) -> None:
    """Have members come back, or not go."""
    group = FleetSession(fleet)
    from ..fleet import fleet_state

    names = _select_members(group.read_state(), members, zone)
    group.change(fleet_state.cancel_drain(names, current_actor(), time.time()), lambda read: "")
    print(f"wanted in: {', '.join(names)}")


# ---------------------------------------------------------------------------- the fleet


@fleet.command()
def status(
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    as_json: JsonOption = False,
    watch: Annotated[bool, typer.Option("--watch", help="Again and again.")] = False,
) -> None:
    """Say by zone who is in, out, lost, what budget is left, and who waits for whom."""
    group = FleetSession(fleet)
    if as_json:
        import msgspec

        print(msgspec.json.encode(msgspec.to_builtins(group.read_state())).decode())
        return
    show_page(group.client, lambda: _status_page(group), watch)


def show_page(client: QuorumClient, make_page: Callable[[], Any], watch: bool) -> None:
    """Print a page, or keep it up to date until interrupted."""
    from rich.console import Console
    from rich.live import Live

    if not watch:
        Console().print(make_page())
        return
    with Live(make_page()) as live:
        while True:
            run_until(client, lambda: False, 1000.0 * POLL_INTERVAL_S)
            live.update(make_page())


def print_history(lines: Iterable[AuditEntry], as_json: bool) -> None:
    """Print lines of history."""
    for line in lines:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(line.timestamp_s))
        print(
            json.dumps([when, line.actor, line.message])
            if as_json
            else f"{when}  {line.actor}  {line.message}"
        )


def _status_page(group: FleetSession) -> Any:
    from rich.console import Group as Rows
    from rich.table import Table

    from ..fleet.disruption_budget import KIND_LABELS, blocking_reasons
    from ..fleet.fleet_state import MemberPhase

    ledger, budget, minute = group.read_state(), group.disruption_budget(), int(time.time() // 60) % 1440
    table = Table("zone", "kind", "in", "going", "out", "coming", "lost", "may be out")
    for kind, called in KIND_LABELS.items():
        all_of = ledger.members_of(kind)
        for zone in sorted({one.zone for one in all_of.values()}):
            here = [one for one in all_of.values() if one.zone == zone]
            count = [
                sum(one.phase in at and not (one.phase == MemberPhase.IN and one.lost) for one in here)
                for at in _COLUMN_PHASES
            ]
            limit = budget.limit_for(kind)
            most = min(
                limit.max_out_in_zone(len(here), ledger.capacity_permille), limit.max_out_overall(len(all_of))
            )
            table.add_row(zone, called, *map(str, count), str(sum(one.lost for one in here)), str(most))
    lines: list[Any] = [table]
    if ledger.halt is not None:
        lines.append(f"HALTED by {ledger.halt.actor}: {ledger.halt.reason}")
    lines += [
        f"{name} waits: {'; '.join(blocking_reasons(ledger, budget, name, minute))}"
        for name in ledger.pending_drains()
    ]
    off = [name for name, one in ledger.members.items() if one.evicted]
    if off:
        lines.append(f"written off: {', '.join(off)}")
    if ledger.capacity_permille < 1000:
        lines.append(f"the store has room for {ledger.capacity_permille / 10:.0f}% of the budget")
    return Rows(*lines)


_COLUMN_PHASES = ((0,), (1, 2), (3,), (4,))  # of `At`


@fleet.command()
def halt(why: ReasonOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Nothing goes out any more, and what is out by permit comes back, until `resume`."""
    if not why:
        exit_with_error("a halt needs --why", 2)
    group = FleetSession(fleet)
    from ..fleet import fleet_state

    told = group.change(fleet_state.halt_drains(current_actor(), why, time.time()), lambda read: "")
    assert told.halt is not None
    print(f"halted by {told.halt.actor}: {told.halt.reason}")


@fleet.command()
def resume(why: ReasonOption = "", fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Lift the halt."""
    if not why:
        exit_with_error("to resume needs --why", 2)
    group = FleetSession(fleet)
    from ..fleet import fleet_state

    group.change(
        fleet_state.resume_drains(current_actor(), why, time.time()), lambda read: "there is no halt"
    )
    print("resumed")


@fleet.command("write-off")
def evict_member(
    member: Annotated[str, typer.Argument()],
    why: ReasonOption = "",
    back: Annotated[bool, typer.Option("--back", help="Take it on again instead.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Count a member nowhere any more: its permit ends, and its loss eats no budget."""
    if not (why or back):
        exit_with_error("to write off needs --why", 2)
    group = FleetSession(fleet)
    from ..fleet import fleet_state

    make = (
        fleet_state.reinstate_member(member, current_actor(), time.time())
        if back
        else fleet_state.evict_member(member, current_actor(), why, time.time())
    )
    group.change(make, lambda read: f"{member} is not {'written off' if back else 'a member'}")
    print(f"{member}: {'taken on again' if back else 'written off'}")


@fleet.command()
def history(fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False) -> None:
    """What happened last, with who and why."""
    print_history(FleetSession(fleet).read_state().history, as_json)


@fleet.command()
def rules(
    set_them: Annotated[bool, typer.Option("--set", help="Have the fleet go by this file's budget.")] = False,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Say whether this file's budget is the fleet's, or make it so. Agents with another one take no
    permits.
    """
    group = FleetSession(fleet)
    from ..fleet import fleet_state

    ours = group.disruption_budget().digest()
    told = (
        group.change(fleet_state.set_budget_digest(ours, current_actor(), time.time()), lambda read: "")
        if set_them
        else group.read_state()
    )
    print(f"the fleet's: {told.budget_digest or 'none'}, this file's: {ours}")
    raise typer.Exit(0 if told.budget_digest == ours else EXIT_REFUSED)


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.add_typer(agent, name="agent")
    app.command()(drain)
    app.command()(undrain)
    app.add_typer(fleet, name="fleet")
