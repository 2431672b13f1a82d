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

from .common import exit_with_error, require_extra

if TYPE_CHECKING:
    from ..consensus import messages as m
    from ..consensus.proposer import OperationOutcome
    from ..coordination.quorum_client import QuorumClient
    from ..leases.lease_record import LeaseRecord
    from ..settings.fleet_file import FleetFile

witness = typer.Typer(no_args_is_help=True, help="Witnesses: the processes that keep what a fleet agrees on.")
lease = typer.Typer(no_args_is_help=True, help="Leases: who does a task of the whole fleet.")

FleetFileOption = Annotated[Path, typer.Option("--fleet", envvar="ROSEPICK_FLEET", help="The fleet's file.")]
JsonOption = Annotated[bool, typer.Option("--json", help="As JSON.")]
DEFAULT_FLEET_FILE = Path("deploy/fleet.toml")
MAX_RECONFIGURATION_TRIES = 4  # at a change of the quorum
REPLICA_START_TIMEOUT_MS = 10_000.0  # milliseconds for witnesses to begin
OPERATION_TIMEOUT_MS = 3_000.0  # milliseconds for what an operator asks
EXIT_NO_QUORUM, EXIT_LEASE_HELD, EXIT_LEASE_IN_DOUBT, EXIT_REFUSED = (
    69,
    75,
    76,
    77,
)  # exit statuses, told apart from a command's own


@witness.callback()
@lease.callback()
def _require_fleet_extra() -> None:
    """Before any command of a group: what it imports is there, or that is said."""
    with require_extra("fleet"):
        import msgspec  # noqa: F401
        import pydantic  # noqa: F401


def load_fleet_or_exit(path: Path) -> tuple[FleetFile, bytes]:
    """The fleet's file; each of its faults is a line, and the end."""
    with require_extra("fleet"):
        from ..coordination.quorum_connection import check_key_present
        from ..settings import fleet_file
    try:
        fleet, key = fleet_file.load(path)
    except fleet_file.FleetFileError as problem:
        exit_with_error("\nrosepick: ".join(problem.faults), 2)
    why = check_key_present(list(fleet.endpoints().values()), key)
    if why:
        exit_with_error(why, 2)
    return fleet, key


def connect_quorum(path: Path) -> tuple[QuorumClient, FleetFile]:
    """A client of the fleet's quorum on a loop of its own."""
    import random

    fleet, key = load_fleet_or_exit(path)  # before all that needs the extra: says so if it is not there
    from ..coordination.quorum_client import QuorumClient, tcp_connections
    from ..net.boot_clock import boottime_s
    from ..net.event_loop import EventLoop

    loop = EventLoop(boottime_s)
    rng = random.Random(secrets.randbits(128))
    return QuorumClient(loop, tcp_connections(loop, fleet.endpoints(), key), rng), fleet


def run_until(
    client: QuorumClient, condition: Callable[[], bool], timeout_ms: float = OPERATION_TIMEOUT_MS
) -> bool:
    """Let the loop go on until something is so, or for so long; whether it is."""
    loop: Any = client.loop
    end = loop.now() + timeout_ms
    while not condition() and loop.now() < end:
        loop.step(0.02)
    return condition()


def run_operation(client: QuorumClient, key: str, change: Any = None) -> OperationOutcome:
    """One operation; a quorum that does not answer is the end."""
    from ..consensus.proposer import OutcomeKind

    outcomes: list[OperationOutcome] = []
    client.execute(key, change, outcomes.append, OPERATION_TIMEOUT_MS)
    run_until(client, lambda: bool(outcomes), 2.0 * OPERATION_TIMEOUT_MS)
    if not outcomes or outcomes[0].kind is OutcomeKind.FAILED:
        exit_with_error(
            f"no answer from a majority: {outcomes[0].reason if outcomes else 'too late'}", EXIT_NO_QUORUM
        )
    return outcomes[0]


def read_replica_states(client: QuorumClient, timeout_ms: float = 1_500.0) -> dict[str, m.StatusReply]:
    """What each witness of the file says of itself."""

    def all_told() -> bool:
        client.poll_status()
        return len(client.replica_statuses) == len(client.connections)

    run_until(client, all_told, timeout_ms)
    return {name: told.status for name, told in client.replica_statuses.items()}


# ---------------------------------------------------------------------------- witnesses


@witness.command("run")
def run_replica(
    name: Annotated[str, typer.Argument(help="Its name in the fleet's file.")],
    folder: Annotated[Path, typer.Option("--folder", help="What it keeps; its alone.")],
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Run one witness in the foreground until SIGTERM. Ends with 3 if its disk fails."""
    told, key = load_fleet_or_exit(fleet)
    if name not in told.witnesses:
        exit_with_error(f"{fleet} has no witness {name}", 2)
    from .. import logs
    from ..coordination.acceptor_server import AcceptorServer
    from ..coordination.acceptor_store import StoreError

    logs.configure_logging()
    try:
        server = AcceptorServer(name, told.endpoints(), key, folder)
    except (StoreError, OSError) as problem:
        exit_with_error(problem, 3)
    raise typer.Exit(server.run())


@witness.command()
def found(fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Make the witnesses of the file a quorum, once: all are up, and none has ever been in one."""
    from ..consensus import messages as m
    from ..consensus.reconfiguration import check_member_change

    client, told = connect_quorum(fleet)
    known = read_replica_states(
        client, REPLICA_START_TIMEOUT_MS
    )  # they may have been started in the same moment
    missing = sorted(set(told.witnesses) - set(known))
    if missing:
        exit_with_error(f"no answer from {', '.join(missing)}; all have to be up", EXIT_NO_QUORUM)
    old = [name for name, state in known.items() if state.quorum is not None]
    if old:
        exit_with_error(f"{', '.join(sorted(old))} is in a quorum already", EXIT_REFUSED)
    members = tuple(m.QuorumMember(name, known[name].storage_id) for name in told.witnesses)
    quorum = m.Quorum(secrets.token_hex(8), 1, members)
    why = check_member_change(quorum, members)
    if why or len(members) not in m.QUORUM_SIZES:
        exit_with_error(
            why or f"{len(members)} witnesses; a quorum has {', '.join(map(str, m.QUORUM_SIZES))}", 2
        )
    _install_quorum(client, quorum)
    print(f"founded: fleet {quorum.fleet_id}, {len(members)} witnesses, {quorum.majority} decide")


def _install_quorum(client: QuorumClient, quorum: m.Quorum) -> None:
    from ..consensus import messages as m

    done: set[str] = set()

    def heard(name: str, answer: m.QuorumReply) -> None:
        if isinstance(answer, m.AcceptReply):
            done.add(name)

    client.send_to_all(lambda number: m.InstallEpochRequest(number, quorum, {}), heard)
    if not run_until(client, lambda: len(done) == len(quorum.members)):
        missing = {one.name for one in quorum.members} - done
        exit_with_error(
            f"{', '.join(sorted(missing))} did not take part: empty all folders and try again", EXIT_NO_QUORUM
        )


@witness.command("status")
def replica_status(fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False) -> None:
    """Say who is up, who votes, who lags, and what quorum there is. Ends with 69 if no majority votes."""
    client, told = connect_quorum(fleet)
    known = read_replica_states(client)
    quorums = [state.quorum for state in known.values() if state.quorum is not None]
    quorum = max(quorums, key=lambda one: one.epoch, default=None)
    rows = [_replica_row(name, known.get(name), quorum) for name in told.witnesses]
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
    raise typer.Exit(0 if quorum and votes >= need else EXIT_NO_QUORUM)


def _replica_row(name: str, state: m.StatusReply | None, quorum: m.Quorum | None) -> dict[str, Any]:
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
    row |= {"starts": state.start_count, "registers": state.register_count, "up_s": round(state.uptime_s)}
    row["epoch"] = state.quorum.epoch if state.quorum else 0
    if quorum is None or not quorum.has_member(name, state.storage_id):
        row["is"] = "not of the quorum: new storage" if state.quorum is None else "not of the quorum"
    elif state.quorum is None or state.quorum.epoch < quorum.epoch:
        row["is"] = "lags"
    else:
        row["is"] = "sealed" if state.is_sealed else "votes" if state.is_voting else "meets the others"
    return row


def _change_members(
    fleet: Path,
    change: Callable[[tuple[m.QuorumMember, ...], dict[str, m.StatusReply]], tuple[m.QuorumMember, ...]],
) -> None:
    """Lead over to other members, agreed by the present ones."""
    from ..consensus.reconfiguration import check_member_change

    client, _ = connect_quorum(fleet)
    known = read_replica_states(client)
    old = client.quorum
    if old is None:
        exit_with_error("no quorum answers", EXIT_NO_QUORUM)
    members = change(old.members, known)
    why = check_member_change(old, members)
    if why:
        exit_with_error(why, EXIT_REFUSED)
    if not _reconfigure(client, members):
        exit_with_error("another change of the quorum came first: look with `witness status`", EXIT_REFUSED)
    now = client.quorum
    assert now is not None
    print(f"epoch {now.epoch}: {', '.join(one.name for one in now.members)}; {now.majority} decide")


def _reconfigure(client: QuorumClient, members: tuple[m.QuorumMember, ...]) -> bool:
    """Whether these are the quorum in the end. A caller may have led over to the same ones as before
    meanwhile, if this took long; then it is tried again.
    """
    from ..consensus.reconfiguration import QuorumReconfiguration

    old = client.quorum
    for _ in range(MAX_RECONFIGURATION_TRIES):
        ended: list[QuorumReconfiguration] = []
        client.reconfigure(members, ended.append)
        if not run_until(client, lambda ended=ended: bool(ended), 4.0 * OPERATION_TIMEOUT_MS):  # type: ignore[misc]
            exit_with_error("not finished: the same command goes on with it", EXIT_NO_QUORUM)
        now = client.quorum
        if now is not None and now.members == members:
            return True
        if old is None or now is None or now.members != old.members:
            break
    return False


@witness.command()
def replace(name: Annotated[str, typer.Argument()], fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Take a witness's new storage into the quorum in place of its old one, or a new witness into it."""
    from ..consensus import messages as m

    def change(
        members: tuple[m.QuorumMember, ...], known: dict[str, m.StatusReply]
    ) -> tuple[m.QuorumMember, ...]:
        if name not in known:
            exit_with_error(f"{name} does not answer: start it first", EXIT_NO_QUORUM)
        new = m.QuorumMember(name, known[name].storage_id)
        if new in members:
            exit_with_error(f"{name} is in the quorum with that storage", EXIT_REFUSED)
        return (*(one for one in members if one.name != name), new)

    _change_members(fleet, change)


@witness.command()
def remove(name: Annotated[str, typer.Argument()], fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Take a witness out of the quorum."""

    def change(
        members: tuple[m.QuorumMember, ...], known: dict[str, m.StatusReply]
    ) -> tuple[m.QuorumMember, ...]:
        if all(one.name != name for one in members):
            exit_with_error(f"{name} is not in the quorum", EXIT_REFUSED)
        return tuple(one for one in members if one.name != name)

    _change_members(fleet, change)


# ---------------------------------------------------------------------------- leases


@lease.command("run")
def run_with_lease(
    task: Annotated[str, typer.Argument()],
    command: Annotated[list[str], typer.Argument(help="After --: the command and its arguments.")],
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
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
    client, told = connect_quorum(fleet)
    from .. import logs
    from ..coordination.leased_command import LeasedCommand
    from ..leases.fencing import MAX_TASK_LENGTH
    from ..leases.lease_client import LeaseConfig

    if not task or len(task) > MAX_TASK_LENGTH:
        exit_with_error(f"the task's name has 1 to {MAX_TASK_LENGTH} characters", 2)
    logs.configure_logging()
    terms = LeaseConfig((ttl or told.leases.ttl) * 1000.0, told.leases.drift)
    errand = LeasedCommand(
        client, task, name or f"{os.uname().nodename}-{os.getpid()}", terms, command, successor
    )
    raise typer.Exit(errand.run(None if wait is None else wait * 1000.0))


@lease.command("list")
def list_leases(fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False) -> None:
    """Name the tasks, with their holders."""
    from ..consensus import messages as m
    from ..leases import lease_record

    client, _ = connect_quorum(fleet)
    run_operation(client, lease_record.register_key(""))  # the quorum answers, or that is said
    names: dict[str, set[str]] = {}

    def heard(name: str, answer: m.QuorumReply) -> None:
        if isinstance(answer, m.ListKeysReply):
            names[name] = set(answer.keys)

    quorum = client.quorum
    assert quorum is not None
    client.send_to_all(
        lambda number: m.ListKeysRequest(number, quorum.fleet_id, quorum.epoch, lease_record.KEY_PREFIX),
        heard,
    )
    run_until(client, lambda: len(names) >= quorum.majority)
    tasks = sorted(key.removeprefix(lease_record.KEY_PREFIX) for key in set[str]().union(*names.values()))
    found = {
        task: lease_record.decode_record(run_operation(client, lease_record.register_key(task)).register)
        for task in tasks
        if task
    }
    _print_leases(found, as_json)


@lease.command()
def show(
    task: Annotated[str, typer.Argument()],
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    as_json: JsonOption = False,
) -> None:
    """Say who holds a task, under which token, and who waits."""
    from ..leases import lease_record

    client, _ = connect_quorum(fleet)
    _print_leases(
        {task: lease_record.decode_record(run_operation(client, lease_record.register_key(task)).register)},
        as_json,
    )


def _lease_as_json(record: LeaseRecord) -> dict[str, object]:
    """The document of `--json`; its keys are an interface, whatever the fields are called."""
    return {
        "token": record.token,
        "held": record.is_held,
        "who": record.owner_id,
        "name": record.owner_name,
        "beat": record.renewal_count,
        "ttl": record.ttl_ms,
        "line": [waiter.name for waiter in record.queue],
        "note": record.note,
    }


def _print_leases(leases: dict[str, LeaseRecord], as_json: bool) -> None:
    if as_json:
        print(json.dumps({task: _lease_as_json(record) for task, record in leases.items()}))
        return
    for task, record in leases.items():
        holder = "free"
        if record.is_held:
            holder = record.owner_name or "nobody, until its last holder's time is over"
        names = ", ".join(waiter.name for waiter in record.queue)
        queue = f", in line: {names}" if record.queue else ""
        note = f" ({record.note})" if record.note else ""
        print(f"{task}: {holder}, token {record.token}, renewed {record.renewal_count} times{queue}{note}")


@lease.command()
def release(
    task: Annotated[str, typer.Argument()],
    force: Annotated[bool, typer.Option("--force", help="Take it from whoever holds it.")] = False,
    why: Annotated[str, typer.Option("--why", help="For the log and for who looks later.")] = "",
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Take a task from its holder: no renewal of it counts, and the next one comes when its time is over."""
    from ..consensus.proposer import OutcomeKind
    from ..leases import lease_record

    if not force or not why:
        exit_with_error("a lease is its holder's: taking it away needs --force and --why", 2)
    client, _ = connect_quorum(fleet)
    by = f"{os.environ.get('USER', 'somebody')}@{os.uname().nodename}"
    outcome = run_operation(client, lease_record.register_key(task), lease_record.force_release(by, why))
    if outcome.kind is OutcomeKind.UNKNOWN:
        exit_with_error("the answer was lost: look with `lease show`", EXIT_NO_QUORUM)
    if outcome.kind is OutcomeKind.UNCHANGED:
        exit_with_error(f"nobody holds {task}", EXIT_REFUSED)
    now = lease_record.decode_record(outcome.register)
    print(f"{task}: {now.note}; token {now.token}", file=sys.stderr)


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.add_typer(witness, name="witness")
    app.add_typer(lease, name="lease")
