"""The commands of `rosepick lease`. See docs/leases.md."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING, Annotated

import typer

from .common import exit_with_error
from .quorum_session import (
    DEFAULT_FLEET_FILE,
    EXIT_NO_QUORUM,
    EXIT_REFUSED,
    FleetFileOption,
    JsonOption,
    connect_quorum,
    current_actor,
    require_fleet_extra,
    run_operation,
    run_until,
)

if TYPE_CHECKING:
    from ..consensus import messages
    from ..coordination.quorum_client import QuorumClient
    from ..leases.lease_record import LeaseRecord

lease = typer.Typer(no_args_is_help=True, help="Leases: exclusive tasks of the whole fleet.")
lease.callback()(require_fleet_extra)


@lease.command("run")
def run_with_lease(
    task: Annotated[str, typer.Argument()],
    command: Annotated[list[str], typer.Argument(help="After --: the command and its arguments.")],
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    ttl: Annotated[float | None, typer.Option(min=0.5, max=3600, help="Duration in seconds.")] = None,
    wait: Annotated[
        float | None, typer.Option(min=0, help="Maximum wait in seconds; default: no limit.")
    ] = None,
    name: Annotated[str, typer.Option(help="Name of this holder, for display.")] = "",
    successor: Annotated[str, typer.Option(help="Preferred next holder.")] = "",
) -> None:
    """Hold a lease while a command runs; ROSEPICK_TOKEN contains the fencing token.

    Exits with the command's status; 75 if the lease was not free in time, 76 if the lease became uncertain
    and the command was stopped, 69 if no quorum responded in time.
    """
    client, fleet_file = connect_quorum(fleet)
    from .. import logs
    from ..coordination.lease_holder import LeaseHolder
    from ..coordination.leased_command import LeasedCommand
    from ..leases.fencing import MAX_TASK_LENGTH
    from ..leases.lease_client import LeaseConfig

    if not task or len(task) > MAX_TASK_LENGTH:
        exit_with_error(f"the task's name has 1 to {MAX_TASK_LENGTH} characters", 2)
    logs.configure_logging()
    config = LeaseConfig((ttl or fleet_file.leases.ttl) * 1000.0, fleet_file.leases.drift)
    holder = LeaseHolder(client, task, name or f"{os.uname().nodename}-{os.getpid()}", config)
    leased_command = LeasedCommand(holder, command, successor)
    raise typer.Exit(leased_command.run(None if wait is None else wait * 1000.0))


@lease.command("list")
def list_leases(fleet: FleetFileOption = DEFAULT_FLEET_FILE, as_json: JsonOption = False) -> None:
    """List the tasks with their holders."""
    from ..leases import lease_record

    client, _ = connect_quorum(fleet)
    run_operation(client, lease_record.register_key(""))  # exits here if no quorum responds
    _print_leases({task: _read_lease(client, task) for task in _list_tasks(client) if task}, as_json)


def _list_tasks(client: QuorumClient) -> list[str]:
    """Return the tasks of all leases that a majority of replicas reports."""
    from ..consensus import messages
    from ..leases import lease_record

    keys_by_replica: dict[str, set[str]] = {}

    def handle_reply(name: str, reply: messages.QuorumReply) -> None:
        if isinstance(reply, messages.ListKeysReply):
            keys_by_replica[name] = set(reply.keys)

    quorum = client.quorum
    assert quorum is not None
    client.send_to_all(
        lambda request_id: messages.ListKeysRequest(
            request_id, quorum.fleet_id, quorum.epoch, lease_record.KEY_PREFIX
        ),
        handle_reply,
    )
    run_until(client, lambda: len(keys_by_replica) >= quorum.majority)
    keys = set[str]().union(*keys_by_replica.values())
    return sorted(key.removeprefix(lease_record.KEY_PREFIX) for key in keys)


def _read_lease(client: QuorumClient, task: str) -> LeaseRecord:
    from ..leases import lease_record

    return lease_record.decode_record(run_operation(client, lease_record.register_key(task)).register)


@lease.command()
def show(
    task: Annotated[str, typer.Argument()],
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    as_json: JsonOption = False,
) -> None:
    """Show the holder of a task, its token and the queue."""
    client, _ = connect_quorum(fleet)
    _print_leases({task: _read_lease(client, task)}, as_json)


def _lease_as_json(record: LeaseRecord) -> dict[str, object]:
    """Return a lease as `--json` prints it; the keys are a public interface, independent of field names."""
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
    force: Annotated[bool, typer.Option("--force", help="Take the lease from its holder.")] = False,
    reason: Annotated[str, typer.Option("--why", help="The reason, recorded with the lease.")] = "",
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Revoke a lease: its renewals are rejected, and the next holder follows when it expires."""
    from ..consensus.proposer import OutcomeKind
    from ..leases import lease_record

    if not force or not reason:
        exit_with_error("to release a lease of another holder needs --force and --why", 2)
    client, _ = connect_quorum(fleet)
    change = lease_record.force_release(current_actor(), reason)
    outcome = run_operation(client, lease_record.register_key(task), change)
    if outcome.kind is OutcomeKind.UNKNOWN:
        exit_with_error("the outcome is unknown: check with `lease show`", EXIT_NO_QUORUM)
    if outcome.kind is OutcomeKind.UNCHANGED:
        exit_with_error(f"{task} has no holder", EXIT_REFUSED)
    record = lease_record.decode_record(outcome.register)
    print(f"{task}: {record.note}; token {record.token}", file=sys.stderr)


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    app.add_typer(lease, name="lease")
