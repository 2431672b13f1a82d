"""Commands of drains: agent, drain, undrain, and fleet with what is under it. See docs/drains.md.

Nothing of it is imported before one of its commands runs: it needs the extra `fleet`.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .common import needs_the_extra, stop
from .leasing import DEFAULT, NO_QUORUM, REFUSED, FleetPath, Json, asked, client_of, until

if TYPE_CHECKING:
    from ..agreement.operation import Change
    from ..fleet.budget import Budget
    from ..fleet.ledger import Ledger, Line
    from ..net.quorum import QuorumClient
    from ..settings.fleet_file import Fleet

agent = typer.Typer(no_args_is_help=True, help="Agents: one a machine, beside its router or cache node.")
fleet = typer.Typer(no_args_is_help=True, help="Who of the fleet is in, out, lost; the halt; history.")

Members = Annotated[list[str] | None, typer.Argument(help="Members by name.")]
Zone = Annotated[str, typer.Option(help="All members of a zone.")]
Why = Annotated[str, typer.Option("--why", help="For the history and for whoever looks later.")]
LOOK = 0.5  # seconds between two looks of --wait and --watch


def _who() -> str:
    return f"{os.environ.get('USER', 'somebody')}@{os.uname().nodename}"


class Group:
    """The ledger of the file's group, as these commands use it."""

    def __init__(self, path: Path) -> None:
        self.client: QuorumClient
        self.told: Fleet
        self.client, self.told = client_of(path)
        with needs_the_extra("fleet"):
            import rich  # noqa: F401 - tables and bars
        from ..fleet import ledger

        self._key = ledger.key(self.told.drains.group)
        self._read = ledger.read

    def budget(self) -> Budget:
        """What the file says."""
        return budget_of(self.told)

    def read(self) -> Ledger:
        """The ledger as it is."""
        return self._of(asked(self.client, self._key))

    def _of(self, outcome: Any) -> Ledger:
        from ..fleet.document import LedgerError

        try:
            return self._read(outcome.register)
        except LedgerError as problem:
            stop(problem, REFUSED)

    def change(self, make: Change, declined: Callable[[Ledger], str]) -> Ledger:
        """Change it; `declined` says why it was not, empty if it was so already."""
        from ..agreement.operation import Kind

        outcome = asked(self.client, self._key, make)
        if outcome.kind is Kind.UNKNOWN:
            stop("the answer was lost: look with `fleet status`", NO_QUORUM)
        ledger = self._of(outcome)
        why = declined(ledger) if outcome.kind is Kind.READ else ""
        if why:
            stop(why, REFUSED)
        return ledger


def budget_of(told: Fleet) -> Budget:
    """The budget that a fleet's file states."""
    from ..fleet.budget import Budget, Limit

    drains = told.drains
    routers, caches = (Limit(**one.model_dump()) for one in (drains.routers, drains.caches))
    back = None if drains.back is None else Limit(**drains.back.model_dump())
    return Budget(routers, caches, drains.minutes(), drains.apart, drains.unasked, back)


@agent.command("run")
def agent_run(
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
    fleet: FleetPath = DEFAULT,
) -> None:
    """Look after one router or cache node in the foreground until SIGTERM. The member outlives its agent.

    With --build or --config it takes part in releases (docs/releases.md).
    """
    import signal

    if kind not in ("router", "cache"):
        stop(f"--kind {kind}: router or cache", 2)
    host, _, port = door.rpartition(":")
    if not host or not port.isdecimal():
        stop(f"--door {door} is not host:port", 2)
    client, told = client_of(fleet)
    from .. import logs
    from ..fleet import ledger, warden
    from ..fleet.agent import Agent, Terms
    from ..leases.contender import Terms as LeaseTerms
    from ..leases.guard import Guard
    from ..net.agent import AgentDriver
    from ..net.kept import Keep
    from ..net.loop import Loop
    from ..net.store import StoreError
    from ..net.tended import TendedProcess
    from .releasing import carrier_of, plan_of

    logs.set_up()
    try:
        kept = Keep(folder)
    except (StoreError, OSError) as problem:
        stop(problem, 3)
    drains, loop = told.drains, client.loop
    assert isinstance(loop, Loop)
    a_kind = ledger.Kind.ROUTER if kind == "router" else ledger.Kind.CACHE
    try:
        versions, carrier = carrier_of(name, kept, folder, told.releases, (build, config, check, command))
    except OSError as problem:
        stop(problem, 3)
    tended = TendedProcess(
        loop, a_kind, (host, int(port)), command, kept, folder / "member.log", drains.halt_above, versions
    )
    terms = Terms(lonely=1000.0 * drains.lonely, steady=1000.0 * drains.steady)
    machine = Agent(name, a_kind, zone, weight, budget_of(told), terms, kept)
    machine.carrier = carrier
    if carrier is not None:
        tended.goes_by(lambda: carrier.runs)
    lease = LeaseTerms(told.leases.ttl * 1000.0, told.leases.drift)
    counting = warden.Terms(silent=1000.0 * drains.silent)
    driver = AgentDriver(
        client,
        drains.group,
        machine,
        tended,
        Guard(kept.tokens),
        (lease, counting),
        time.time,
        1000.0 * drains.beat,
        plan_of(told.releases),
    )

    def end() -> None:
        driver.release()
        loop.after(300.0, loop.stop)

    loop.on_signals({signal.SIGTERM: end, signal.SIGINT: end})
    loop.run()
    kept.close()


# ---------------------------------------------------------------------------- out and in


def _chosen(ledger: Ledger, members: list[str] | None, zone: str) -> list[str]:
    names = list(members or ())
    if bool(names) == bool(zone):
        stop("name members, or a zone", 2)
    if zone:
        names = [name for name, one in ledger.members.items() if one.zone == zone and not one.off]
    unknown = [name for name in names if name not in ledger.members or ledger.members[name].off]
    if unknown or not names:
        stop(f"no such members: {', '.join(unknown) or zone}", REFUSED)
    return names


def drain(
    members: Members = None,
    zone: Zone = "",
    why: Why = "",
    now: Annotated[bool, typer.Option("--now", help="A dying host: at once, over the budget.")] = False,
    below: Annotated[
        str, typer.Option("--even-below", help="Its name once more: even under what must stay.")
    ] = "",
    wait: Annotated[bool, typer.Option("--wait", help="Until all are out.")] = False,
    fleet: FleetPath = DEFAULT,
) -> None:
    """Have members go out, as soon as the budget allows it. They stay out until `undrain`, a halt, or no
    quorum.
    """
    group = Group(fleet)
    from ..fleet import ledger

    names = _chosen(group.read(), members, zone)
    if not why:
        stop("a drain needs --why", 2)
    if below and (not now or names != [below]):
        stop("--even-below goes with --now and one member, named twice", 2)
    change = ledger.want_out(names, _who(), why, time.time(), now, bool(below))
    told = group.change(change, lambda read: "")
    _say_blocked(group, told, names)
    if wait:
        _progress(group, names)


def _say_blocked(group: Group, told: Ledger, names: list[str]) -> None:
    from ..fleet.budget import allowed, blocked

    minute = int(time.time() // 60) % 1440
    if told.rules != group.budget().digest():
        print("this file's budget is not the fleet's: `fleet rules` shows and sets it")
    for name in names:
        why = blocked(told, group.budget(), name, minute) if not told.members[name].at else []
        if not (why or told.members[name].at or allowed(group.budget(), minute, told, name)):
            why = ["others were asked for before"]
        print(f"{name}: {'waits: ' + '; '.join(why) if why else 'goes'}")


def _progress(group: Group, names: list[str]) -> None:
    """A bar until all are out."""
    from rich.progress import Progress

    from ..fleet.ledger import At

    with Progress() as bar:
        task = bar.add_task("out", total=len(names))
        while True:
            told = group.read()
            out = sum(told.members[name].at == At.OUT for name in names)
            halted = f" halted: {told.halt.why}" if told.halt else ""
            bar.update(task, completed=out, description=f"{out} of {len(names)} out{halted}")
            if out == len(names) or all(told.members[name].want is None for name in names):
                return
            until(group.client, lambda: False, 1000.0 * LOOK)


def undrain(members: Members = None, zone: Zone = "", fleet: FleetPath = DEFAULT) -> None:
    """Have members come back, or not go."""
    group = Group(fleet)
    from ..fleet import ledger

    names = _chosen(group.read(), members, zone)
    group.change(ledger.want_in(names, _who(), time.time()), lambda read: "")
    print(f"wanted in: {', '.join(names)}")


# ---------------------------------------------------------------------------- the fleet


@fleet.command()
def status(
    fleet: FleetPath = DEFAULT,
    as_json: Json = False,
    watch: Annotated[bool, typer.Option("--watch", help="Again and again.")] = False,
) -> None:
    """Say by zone who is in, out, lost, what budget is left, and who waits for whom."""
    group = Group(fleet)
    if as_json:
        import msgspec

        print(msgspec.json.encode(msgspec.to_builtins(group.read())).decode())
        return
    show(group.client, lambda: _page(group), watch)


def show(client: QuorumClient, page: Callable[[], Any], watch: bool) -> None:
    """Print a page, or keep it up to date until interrupted."""
    from rich.console import Console
    from rich.live import Live

    if not watch:
        Console().print(page())
        return
    with Live(page()) as live:
        while True:
            until(client, lambda: False, 1000.0 * LOOK)
            live.update(page())


def say_history(lines: Iterable[Line], as_json: bool) -> None:
    """Print lines of history."""
    for line in lines:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(line.when))
        print(json.dumps([when, line.who, line.what]) if as_json else f"{when}  {line.who}  {line.what}")


def _page(group: Group) -> Any:
    from rich.console import Group as Rows
    from rich.table import Table

    from ..fleet.budget import KINDS, blocked
    from ..fleet.ledger import At

    ledger, budget, minute = group.read(), group.budget(), int(time.time() // 60) % 1440
    table = Table("zone", "kind", "in", "going", "out", "coming", "lost", "may be out")
    for kind, called in KINDS.items():
        all_of = ledger.of(kind)
        for zone in sorted({one.zone for one in all_of.values()}):
            here = [one for one in all_of.values() if one.zone == zone]
            count = [
                sum(one.at in at and not (one.at == At.IN and one.lost) for one in here) for at in _COLUMNS
            ]
            limit = budget.of(kind)
            most = min(limit.most_here(len(here), ledger.room), limit.most_of(len(all_of)))
            table.add_row(zone, called, *map(str, count), str(sum(one.lost for one in here)), str(most))
    lines: list[Any] = [table]
    if ledger.halt is not None:
        lines.append(f"HALTED by {ledger.halt.who}: {ledger.halt.why}")
    lines += [
        f"{name} waits: {'; '.join(blocked(ledger, budget, name, minute))}" for name in ledger.waiting()
    ]
    off = [name for name, one in ledger.members.items() if one.off]
    if off:
        lines.append(f"written off: {', '.join(off)}")
    if ledger.room < 1000:
        lines.append(f"the store has room for {ledger.room / 10:.0f}% of the budget")
    return Rows(*lines)


_COLUMNS = ((0,), (1, 2), (3,), (4,))  # of `At`


@fleet.command()
def halt(why: Why = "", fleet: FleetPath = DEFAULT) -> None:
    """Nothing goes out any more, and what is out by permit comes back, until `resume`."""
    if not why:
        stop("a halt needs --why", 2)
    group = Group(fleet)
    from ..fleet import ledger

    told = group.change(ledger.halt(_who(), why, time.time()), lambda read: "")
    assert told.halt is not None
    print(f"halted by {told.halt.who}: {told.halt.why}")


@fleet.command()
def resume(why: Why = "", fleet: FleetPath = DEFAULT) -> None:
    """Lift the halt."""
    if not why:
        stop("to resume needs --why", 2)
    group = Group(fleet)
    from ..fleet import ledger

    group.change(ledger.resume(_who(), why, time.time()), lambda read: "there is no halt")
    print("resumed")


@fleet.command("write-off")
def write_off(
    member: Annotated[str, typer.Argument()],
    why: Why = "",
    back: Annotated[bool, typer.Option("--back", help="Take it on again instead.")] = False,
    fleet: FleetPath = DEFAULT,
) -> None:
    """Count a member nowhere any more: its permit ends, and its loss eats no budget."""
    if not (why or back):
        stop("to write off needs --why", 2)
    group = Group(fleet)
    from ..fleet import ledger

    make = (
        ledger.take_on(member, _who(), time.time())
        if back
        else ledger.write_off(member, _who(), why, time.time())
    )
    group.change(make, lambda read: f"{member} is not {'written off' if back else 'a member'}")
    print(f"{member}: {'taken on again' if back else 'written off'}")


@fleet.command()
def history(fleet: FleetPath = DEFAULT, as_json: Json = False) -> None:
    """What happened last, with who and why."""
    say_history(Group(fleet).read().history, as_json)


@fleet.command()
def rules(
    set_them: Annotated[bool, typer.Option("--set", help="Have the fleet go by this file's budget.")] = False,
    fleet: FleetPath = DEFAULT,
) -> None:
    """Say whether this file's budget is the fleet's, or make it so. Agents with another one take no
    permits.
    """
    group = Group(fleet)
    from ..fleet import ledger

    ours = group.budget().digest()
    told = (
        group.change(ledger.set_rules(ours, _who(), time.time()), lambda read: "")
        if set_them
        else group.read()
    )
    print(f"the fleet's: {told.rules or 'none'}, this file's: {ours}")
    raise typer.Exit(0 if told.rules == ours else REFUSED)


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.add_typer(agent, name="agent")
    app.command()(drain)
    app.command()(undrain)
    app.add_typer(fleet, name="fleet")
