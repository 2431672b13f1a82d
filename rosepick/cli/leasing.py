"""Commands of the agreement: witness, and lease with what is under it. See docs/leases.md.

Nothing of it is imported before one of its commands runs: it needs the extra `fleet`.
"""

from __future__ import annotations

import json
import os
import secrets
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .common import needs_the_extra, stop

if TYPE_CHECKING:
    from ..agreement import messages as m
    from ..agreement.operation import Outcome
    from ..net.quorum import QuorumClient
    from ..settings.fleet_file import Fleet

witness = typer.Typer(no_args_is_help=True, help="Witnesses: the processes that keep what a fleet agrees on.")
lease = typer.Typer(no_args_is_help=True, help="Leases: who does a task of the whole fleet.")

FleetPath = Annotated[Path, typer.Option("--fleet", envvar="ROSEPICK_FLEET", help="The fleet's file.")]
Json = Annotated[bool, typer.Option("--json", help="As JSON.")]
DEFAULT = Path("deploy/fleet.toml")
TRIES = 4  # at a change of the quorum
STARTING = 10_000.0  # milliseconds for witnesses to begin
PATIENCE = 3_000.0  # milliseconds for what an operator asks
NO_QUORUM, TAKEN, IN_DOUBT, REFUSED = 69, 75, 76, 77  # exit statuses, told apart from a command's own


@witness.callback()
@lease.callback()
def _extra() -> None:
    """Before any command of a group: what it imports is there, or that is said."""
    with needs_the_extra("fleet"):
        import msgspec  # noqa: F401
        import pydantic  # noqa: F401


def fleet_of(path: Path) -> tuple[Fleet, bytes]:
    """The fleet's file; each of its faults is a line, and the end."""
    with needs_the_extra("fleet"):
        from ..net.links import may_leave_the_machine
        from ..settings import fleet_file
    try:
        fleet, key = fleet_file.load(path)
    except fleet_file.FleetFileError as problem:
        stop("\nrosepick: ".join(problem.faults), 2)
    why = may_leave_the_machine(list(fleet.endpoints().values()), key)
    if why:
        stop(why, 2)
    return fleet, key


def client_of(path: Path) -> tuple[QuorumClient, Fleet]:
    """A client of the fleet's quorum on a loop of its own."""
    import random

    fleet, key = fleet_of(path)  # before all that needs the extra: says so if it is not there
    from ..net.boottime import boottime
    from ..net.loop import Loop
    from ..net.quorum import QuorumClient, over

    loop = Loop(boottime)
    rng = random.Random(secrets.randbits(128))
    return QuorumClient(loop, over(loop, fleet.endpoints(), key), rng), fleet


def until(client: QuorumClient, found: Callable[[], bool], patience: float = PATIENCE) -> bool:
    """Let the loop go on until something is so, or for so long; whether it is."""
    loop: Any = client.loop
    end = loop.now() + patience
    while not found() and loop.now() < end:
        loop.step(0.02)
    return found()


def asked(client: QuorumClient, key: str, change: Any = None) -> Outcome:
    """One operation; a quorum that does not answer is the end."""
    from ..agreement.operation import Kind

    outcomes: list[Outcome] = []
    client.run(key, change, outcomes.append, PATIENCE)
    until(client, lambda: bool(outcomes), 2.0 * PATIENCE)
    if not outcomes or outcomes[0].kind is Kind.FAILED:
        stop(f"no answer from a majority: {outcomes[0].why if outcomes else 'too late'}", NO_QUORUM)
    return outcomes[0]


def states(client: QuorumClient, patience: float = 1_500.0) -> dict[str, m.State]:
    """What each witness of the file says of itself."""

    def all_told() -> bool:
        client.learn()
        return len(client.told) == len(client.links)

    until(client, all_told, patience)
    return {name: told.state for name, told in client.told.items()}


# ---------------------------------------------------------------------------- witnesses


@witness.command("run")
def witness_run(
    name: Annotated[str, typer.Argument(help="Its name in the fleet's file.")],
    folder: Annotated[Path, typer.Option("--folder", help="What it keeps; its alone.")],
    fleet: FleetPath = DEFAULT,
) -> None:
    """Run one witness in the foreground until SIGTERM. Ends with 3 if its disk fails."""
    told, key = fleet_of(fleet)
    if name not in told.witnesses:
        stop(f"{fleet} has no witness {name}", 2)
    from .. import logs
    from ..net.store import StoreError
    from ..net.witness import WitnessServer

    logs.set_up()
    try:
        server = WitnessServer(name, told.endpoints(), key, folder)
    except (StoreError, OSError) as problem:
        stop(problem, 3)
    raise typer.Exit(server.run())


@witness.command()
def found(fleet: FleetPath = DEFAULT) -> None:
    """Make the witnesses of the file a quorum, once: all are up, and none has ever been in one."""
    from ..agreement import messages as m
    from ..agreement.succession import allowed

    client, told = client_of(fleet)
    known = states(client, STARTING)  # they may have been started in the same moment
    missing = sorted(set(told.witnesses) - set(known))
    if missing:
        stop(f"no answer from {', '.join(missing)}; all have to be up", NO_QUORUM)
    old = [name for name, state in known.items() if state.quorum is not None]
    if old:
        stop(f"{', '.join(sorted(old))} is in a quorum already", REFUSED)
    members = tuple(m.Member(name, known[name].storage) for name in told.witnesses)
    quorum = m.Quorum(secrets.token_hex(8), 1, members)
    why = allowed(quorum, members)
    if why or len(members) not in m.SIZES:
        stop(why or f"{len(members)} witnesses; a quorum has {', '.join(map(str, m.SIZES))}", 2)
    _install(client, quorum)
    print(f"founded: fleet {quorum.fleet}, {len(members)} witnesses, {quorum.majority} decide")


def _install(client: QuorumClient, quorum: m.Quorum) -> None:
    from ..agreement import messages as m

    done: set[str] = set()

    def heard(name: str, answer: m.Answer) -> None:
        if isinstance(answer, m.Accepted):
            done.add(name)

    client.ask_all(lambda number: m.Install(number, quorum, {}), heard)
    if not until(client, lambda: len(done) == len(quorum.members)):
        missing = {one.name for one in quorum.members} - done
        stop(f"{', '.join(sorted(missing))} did not take part: empty all folders and try again", NO_QUORUM)


@witness.command("status")
def witness_status(fleet: FleetPath = DEFAULT, as_json: Json = False) -> None:
    """Say who is up, who votes, who lags, and what quorum there is. Ends with 69 if no majority votes."""
    client, told = client_of(fleet)
    known = states(client)
    quorums = [state.quorum for state in known.values() if state.quorum is not None]
    quorum = max(quorums, key=lambda one: one.epoch, default=None)
    rows = [_row(name, known.get(name), quorum) for name in told.witnesses]
    votes = sum(row["is"] == "votes" for row in rows)
    need = quorum.majority if quorum else 0
    if as_json:
        print(json.dumps({"witnesses": rows, "votes": votes, "majority": need}))
    else:
        for row in rows:
            print(
                "  ".join(
                    str(value).ljust(width)
                    for value, width in zip(row.values(), (8, 26, 8, 8, 8, 10), strict=True)
                )
            )
        text = (
            "no quorum is founded" if quorum is None else f"{votes} vote, {need} decide, epoch {quorum.epoch}"
        )
        print(text)
    raise typer.Exit(0 if quorum and votes >= need else NO_QUORUM)


def _row(name: str, state: m.State | None, quorum: m.Quorum | None) -> dict[str, Any]:
    """One witness, as it is seen from here."""
    row: dict[str, Any] = {
        "name": name,
        "is": "silent",
        "starts": "",
        "epoch": "",
        "registers": "",
        "up_s": "",
    }
    if state is None:
        return row
    row |= {"starts": state.starts, "registers": state.registers, "up_s": round(state.up)}
    row["epoch"] = state.quorum.epoch if state.quorum else 0
    if quorum is None or not quorum.has(name, state.storage):
        row["is"] = "not of the quorum: new storage" if state.quorum is None else "not of the quorum"
    elif state.quorum is None or state.quorum.epoch < quorum.epoch:
        row["is"] = "lags"
    else:
        row["is"] = "sealed" if state.sealed else "votes" if state.votes else "meets the others"
    return row


def _members(
    fleet: Path, change: Callable[[tuple[m.Member, ...], dict[str, m.State]], tuple[m.Member, ...]]
) -> None:
    """Lead over to other members, agreed by the present ones."""
    from ..agreement.succession import allowed

    client, _ = client_of(fleet)
    known = states(client)
    old = client.quorum
    if old is None:
        stop("no quorum answers", NO_QUORUM)
    members = change(old.members, known)
    why = allowed(old, members)
    if why:
        stop(why, REFUSED)
    if not _led_over(client, members):
        stop("another change of the quorum came first: look with `witness status`", REFUSED)
    now = client.quorum
    assert now is not None
    print(f"epoch {now.epoch}: {', '.join(one.name for one in now.members)}; {now.majority} decide")


def _led_over(client: QuorumClient, members: tuple[m.Member, ...]) -> bool:
    """Whether these are the quorum in the end. A caller may have led over to the same ones as before
    meanwhile, if this took long; then it is tried again.
    """
    from ..agreement.succession import Succession

    old = client.quorum
    for _ in range(TRIES):
        ended: list[Succession] = []
        client.follow(members, ended.append)
        if not until(client, lambda ended=ended: bool(ended), 4.0 * PATIENCE):  # type: ignore[misc]
            stop("not finished: the same command goes on with it", NO_QUORUM)
        now = client.quorum
        if now is not None and now.members == members:
            return True
        if old is None or now is None or now.members != old.members:
            break
    return False


@witness.command()
def replace(name: Annotated[str, typer.Argument()], fleet: FleetPath = DEFAULT) -> None:
    """Take a witness's new storage into the quorum in place of its old one, or a new witness into it."""
    from ..agreement import messages as m

    def change(members: tuple[m.Member, ...], known: dict[str, m.State]) -> tuple[m.Member, ...]:
        if name not in known:
            stop(f"{name} does not answer: start it first", NO_QUORUM)
        new = m.Member(name, known[name].storage)
        if new in members:
            stop(f"{name} is in the quorum with that storage", REFUSED)
        return (*(one for one in members if one.name != name), new)

    _members(fleet, change)


@witness.command()
def remove(name: Annotated[str, typer.Argument()], fleet: FleetPath = DEFAULT) -> None:
    """Take a witness out of the quorum."""

    def change(members: tuple[m.Member, ...], known: dict[str, m.State]) -> tuple[m.Member, ...]:
        if all(one.name != name for one in members):
            stop(f"{name} is not in the quorum", REFUSED)
        return tuple(one for one in members if one.name != name)

    _members(fleet, change)


# ---------------------------------------------------------------------------- leases


@lease.command("run")
def lease_run(
    task: Annotated[str, typer.Argument()],
    command: Annotated[list[str], typer.Argument(help="After --: the command and its arguments.")],
    fleet: FleetPath = DEFAULT,
    ttl: Annotated[float | None, typer.Option(min=0.5, max=3600, help="Seconds.")] = None,
    wait: Annotated[
        float | None, typer.Option(min=0, help="Seconds to wait for the lease; else for ever.")
    ] = None,
    name: Annotated[str, typer.Option(help="Who this is, for others to read.")] = "",
    successor: Annotated[str, typer.Option(help="Who is to have it next.")] = "",
) -> None:
    """Hold a lease while a command runs; it finds the token in ROSEPICK_TOKEN.

    Ends with the command's status; 75 if others held the lease for too long, 76 if it came into doubt and the
    command was ended, 69 if no quorum answered in time.
    """
    client, told = client_of(fleet)
    from .. import logs
    from ..leases.contender import Terms
    from ..leases.guard import LONGEST_TASK
    from ..net.errand import Errand

    if not task or len(task) > LONGEST_TASK:
        stop(f"the task's name has 1 to {LONGEST_TASK} characters", 2)
    logs.set_up()
    terms = Terms((ttl or told.leases.ttl) * 1000.0, told.leases.drift)
    errand = Errand(client, task, name or f"{os.uname().nodename}-{os.getpid()}", terms, command, successor)
    raise typer.Exit(errand.run(None if wait is None else wait * 1000.0))


@lease.command("list")
def lease_list(fleet: FleetPath = DEFAULT, as_json: Json = False) -> None:
    """Name the tasks, with their holders."""
    from ..agreement import messages as m
    from ..leases import record

    client, _ = client_of(fleet)
    asked(client, record.key(""))  # the quorum answers, or that is said
    names: dict[str, set[str]] = {}

    def heard(name: str, answer: m.Answer) -> None:
        if isinstance(answer, m.Named):
            names[name] = set(answer.names)

    quorum = client.quorum
    assert quorum is not None
    client.ask_all(lambda number: m.Names(number, quorum.fleet, quorum.epoch, record.START), heard)
    until(client, lambda: len(names) >= quorum.majority)
    tasks = sorted(key.removeprefix(record.START) for key in set[str]().union(*names.values()))
    found = {task: record.read(asked(client, record.key(task)).register) for task in tasks if task}
    _show(found, as_json)


@lease.command()
def show(task: Annotated[str, typer.Argument()], fleet: FleetPath = DEFAULT, as_json: Json = False) -> None:
    """Say who holds a task, under which token, and who waits."""
    from ..leases import record

    client, _ = client_of(fleet)
    _show({task: record.read(asked(client, record.key(task)).register)}, as_json)


def _show(found: dict[str, Any], as_json: bool) -> None:
    import msgspec

    if as_json:
        print(
            json.dumps(
                {
                    task: msgspec.structs.asdict(one) | {"line": [w.name for w in one.line]}
                    for task, one in found.items()
                }
            )
        )
        return
    for task, one in found.items():
        holder = (one.name or "nobody, until its last holder's time is over") if one.held else "free"
        line = f", in line: {', '.join(waiter.name for waiter in one.line)}" if one.line else ""
        note = f" ({one.note})" if one.note else ""
        print(f"{task}: {holder}, token {one.token}, renewed {one.beat} times{line}{note}")


@lease.command()
def release(
    task: Annotated[str, typer.Argument()],
    force: Annotated[bool, typer.Option("--force", help="Take it from whoever holds it.")] = False,
    why: Annotated[str, typer.Option("--why", help="For the log and for who looks later.")] = "",
    fleet: FleetPath = DEFAULT,
) -> None:
    """Take a task from its holder: no renewal of it counts, and the next one comes when its time is over."""
    from ..agreement.operation import Kind
    from ..leases import record

    if not force or not why:
        stop("a lease is its holder's: taking it away needs --force and --why", 2)
    client, _ = client_of(fleet)
    by = f"{os.environ.get('USER', 'somebody')}@{os.uname().nodename}"
    outcome = asked(client, record.key(task), record.force(by, why))
    if outcome.kind is Kind.UNKNOWN:
        stop("the answer was lost: look with `lease show`", NO_QUORUM)
    if outcome.kind is Kind.READ:
        stop(f"nobody holds {task}", REFUSED)
    now = record.read(outcome.register)
    print(f"{task}: {now.note}; token {now.token}", file=sys.stderr)


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.add_typer(witness, name="witness")
    app.add_typer(lease, name="lease")
