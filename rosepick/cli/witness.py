"""The commands of `rosepick witness`, for the replicas of the quorum. See docs/leases.md."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from .common import exit_with_error
from .quorum_session import (
    DEFAULT_FLEET_FILE,
    EXIT_NO_QUORUM,
    EXIT_REFUSED,
    OPERATION_TIMEOUT_MS,
    FleetFileOption,
    JsonOption,
    connect_quorum,
    load_fleet_or_exit,
    read_replica_states,
    require_fleet_extra,
    run_until,
)

if TYPE_CHECKING:
    from ..consensus import messages
    from ..coordination.quorum_client import QuorumClient

commands = typer.Typer(no_args_is_help=True, help="Witnesses: the replicas of a fleet's quorum.")
commands.callback()(require_fleet_extra)

MAX_RECONFIGURATION_TRIES = 4
RECONFIGURATION_TIMEOUT_MS = 4.0 * OPERATION_TIMEOUT_MS
REPLICA_START_TIMEOUT_MS = 10_000.0
FLEET_ID_BYTES = 8
EXIT_UNUSABLE_FOLDER = 3  # a replica whose disk fails also exits with this status
SILENT = "silent"  # printed state of a replica that does not respond
VOTES = "votes"  # printed state of a replica that votes
COLUMN_WIDTHS = (8, 26, 8, 8, 8, 10)

Members = tuple["messages.QuorumMember", ...]
MemberChange = Callable[[Members, dict[str, "messages.StatusReply"]], Members]


@commands.command("run")
def run_replica(
    name: Annotated[str, typer.Argument(help="Name of the witness in the fleet file.")],
    folder: Annotated[Path, typer.Option("--folder", help="Folder for its storage; not shared.")],
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Run one witness in the foreground until SIGTERM. Exits with 3 if its disk fails."""
    fleet_file, key = load_fleet_or_exit(fleet)
    if name not in fleet_file.witnesses:
        exit_with_error(f"{fleet} has no witness {name}", 2)
    from .. import logs
    from ..coordination.acceptor_server import AcceptorServer
    from ..coordination.acceptor_store import StoreError

    logs.configure_logging()
    try:
        server = AcceptorServer(name, fleet_file.endpoints(), key, folder)
    except (StoreError, OSError) as error:
        exit_with_error(error, EXIT_UNUSABLE_FOLDER)
    raise typer.Exit(server.run())


@commands.command("found")
def found_quorum(fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Found the quorum of the witnesses in the file; all have to be up and in no quorum yet."""
    from ..consensus import messages

    client, fleet_file = connect_quorum(fleet)
    replicas = read_replica_states(client, REPLICA_START_TIMEOUT_MS)  # the witnesses may still be starting
    missing = sorted(set(fleet_file.witnesses) - set(replicas))
    if missing:
        exit_with_error(f"no response from {', '.join(missing)}; all have to be up", EXIT_NO_QUORUM)
    members_already = [name for name, state in replicas.items() if state.quorum is not None]
    if members_already:
        exit_with_error(f"{', '.join(sorted(members_already))} is in a quorum already", EXIT_REFUSED)
    members = tuple(messages.QuorumMember(name, replicas[name].storage_id) for name in fleet_file.witnesses)
    quorum = messages.Quorum(secrets.token_hex(FLEET_ID_BYTES), 1, members)
    _check_new_quorum(quorum)
    _install_quorum(client, quorum)
    print(f"founded: fleet {quorum.fleet_id}, {len(members)} witnesses, {quorum.majority} decide")


def _check_new_quorum(quorum: messages.Quorum) -> None:
    from ..consensus import messages
    from ..consensus.reconfiguration import check_member_change

    reason = check_member_change(quorum, quorum.members)
    count = len(quorum.members)
    if not reason and count not in messages.QUORUM_SIZES:
        reason = f"{count} witnesses; a quorum has {', '.join(map(str, messages.QUORUM_SIZES))}"
    if reason:
        exit_with_error(reason, 2)


def _install_quorum(client: QuorumClient, quorum: messages.Quorum) -> None:
    from ..consensus import messages

    installed: set[str] = set()

    def handle_reply(name: str, reply: messages.QuorumReply) -> None:
        if isinstance(reply, messages.AcceptReply):
            installed.add(name)

    client.send_to_all(lambda request_id: messages.InstallEpochRequest(request_id, quorum, {}), handle_reply)
    if not run_until(client, lambda: len(installed) == len(quorum.members)):
        missing = {member.name for member in quorum.members} - installed
        exit_with_error(
            f"{', '.join(sorted(missing))} did not take part: empty all folders and try again", EXIT_NO_QUORUM
        )


@commands.command("status")
def replica_status(fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False) -> None:
    """Show the state of each witness and of the quorum. Exits with 69 if no majority votes."""
    client, fleet_file = connect_quorum(fleet)
    replicas = read_replica_states(client)
    quorums = [state.quorum for state in replicas.values() if state.quorum is not None]
    quorum = max(quorums, key=lambda quorum: quorum.epoch, default=None)
    rows = [_replica_row(name, replicas.get(name), quorum) for name in fleet_file.witnesses]
    votes = sum(row.state == VOTES for row in rows)
    majority = quorum.majority if quorum else 0
    if as_json:
        print(
            json.dumps({"witnesses": [row.as_json() for row in rows], "votes": votes, "majority": majority})
        )
    else:
        _print_rows(rows)
        if quorum is None:
            print("no quorum is founded")
        else:
            print(f"{votes} vote, {majority} decide, epoch {quorum.epoch}")
    raise typer.Exit(0 if quorum and votes >= majority else EXIT_NO_QUORUM)


@dataclass(frozen=True, slots=True)
class ReplicaRow:
    """The status of one replica; figures are empty if the replica does not respond."""

    name: str
    state: str
    starts: int | str = ""
    epoch: int | str = ""
    registers: int | str = ""
    up_s: int | str = ""

    def as_json(self) -> dict[str, int | str]:
        """Return the row as `--json` prints it."""
        return {
            "name": self.name,
            "is": self.state,
            "starts": self.starts,
            "epoch": self.epoch,
            "registers": self.registers,
            "up_s": self.up_s,
        }


def _print_rows(rows: list[ReplicaRow]) -> None:
    for row in rows:
        cells = zip(row.as_json().values(), COLUMN_WIDTHS, strict=True)
        print("  ".join(str(value).ljust(width) for value, width in cells))


def _replica_row(
    name: str, status: messages.StatusReply | None, quorum: messages.Quorum | None
) -> ReplicaRow:
    if status is None:
        return ReplicaRow(name, SILENT)
    return ReplicaRow(
        name,
        _replica_state(name, status, quorum),
        status.start_count,
        status.quorum.epoch if status.quorum else 0,
        status.register_count,
        round(status.uptime_s),
    )


def _replica_state(name: str, state: messages.StatusReply, quorum: messages.Quorum | None) -> str:
    if quorum is None or not quorum.has_member(name, state.storage_id):
        return "not of the quorum: new storage" if state.quorum is None else "not of the quorum"
    if state.quorum is None or state.quorum.epoch < quorum.epoch:
        return "lags"
    if state.is_sealed:
        return "sealed"
    return VOTES if state.is_voting else "meets the others"


def _change_members(fleet: Path, change: MemberChange) -> None:
    """Reconfigure the quorum to other members, by a decision of the current members."""
    from ..consensus.reconfiguration import check_member_change

    client, _ = connect_quorum(fleet)
    replicas = read_replica_states(client)
    quorum = client.quorum
    if quorum is None:
        exit_with_error("no response from a quorum", EXIT_NO_QUORUM)
    members = change(quorum.members, replicas)
    reason = check_member_change(quorum, members)
    if reason:
        exit_with_error(reason, EXIT_REFUSED)
    if not _reconfigure(client, members):
        exit_with_error("another change of the quorum was first: check with `witness status`", EXIT_REFUSED)
    successor = client.quorum
    assert successor is not None
    names = ", ".join(member.name for member in successor.members)
    print(f"epoch {successor.epoch}: {names}; {successor.majority} decide")


def _reconfigure(client: QuorumClient, members: Members) -> bool:
    """Return whether the quorum has these members after the reconfiguration.

    Another client may complete a reconfiguration to the old members meanwhile; then this one is retried.
    """
    from ..consensus.reconfiguration import QuorumReconfiguration

    previous = client.quorum
    for _ in range(MAX_RECONFIGURATION_TRIES):
        finished: list[QuorumReconfiguration] = []
        client.reconfigure(members, finished.append)
        if not run_until(client, partial(bool, finished), RECONFIGURATION_TIMEOUT_MS):
            exit_with_error("not finished: run the same command again to continue", EXIT_NO_QUORUM)
        quorum = client.quorum
        if quorum is not None and quorum.members == members:
            return True
        if previous is None or quorum is None or quorum.members != previous.members:
            break
    return False


@commands.command()
def replace(name: Annotated[str, typer.Argument()], fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Replace the storage of a witness in the quorum, or add a new witness."""
    from ..consensus import messages

    def change(members: Members, replicas: dict[str, messages.StatusReply]) -> Members:
        if name not in replicas:
            exit_with_error(f"{name} does not respond: start it first", EXIT_NO_QUORUM)
        new = messages.QuorumMember(name, replicas[name].storage_id)
        if new in members:
            exit_with_error(f"{name} is already in the quorum with this storage", EXIT_REFUSED)
        return (*(member for member in members if member.name != name), new)

    _change_members(fleet, change)


@commands.command()
def remove(name: Annotated[str, typer.Argument()], fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Remove a witness from the quorum."""

    def change(members: Members, _replicas: dict[str, messages.StatusReply]) -> Members:
        if all(member.name != name for member in members):
            exit_with_error(f"{name} is not in the quorum", EXIT_REFUSED)
        return tuple(member for member in members if member.name != name)

    _change_members(fleet, change)


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    app.add_typer(commands, name="witness")
