"""Shared functions of the fleet commands: options, the fleet file, and operations on the quorum.

Dependencies of the extra `fleet` are imported only when one of its commands runs.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .common import exit_with_error, require_extra

if TYPE_CHECKING:
    from ..consensus import messages
    from ..consensus.proposer import OperationOutcome, RegisterChange
    from ..coordination.quorum_client import QuorumClient
    from ..settings.fleet_file import FleetFile

FleetFileOption = Annotated[Path, typer.Option("--fleet", envvar="ROSEPICK_FLEET", help="The fleet file.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
ReasonOption = Annotated[str, typer.Option("--why", help="The reason, recorded in the history.")]
WatchOption = Annotated[bool, typer.Option("--watch", help="Refresh until interrupted.")]
DEFAULT_FLEET_FILE = Path("deploy/fleet.toml")

OPERATION_TIMEOUT_MS = 3_000.0
STATUS_TIMEOUT_MS = 1_500.0  # for reading the status of all replicas
LOOP_STEP_S = 0.02
CLIENT_ID_BITS = 128
# exit statuses that a command under a lease is unlikely to use
EXIT_NO_QUORUM = 69
EXIT_REFUSED = 77


def require_fleet_extra() -> None:
    """Exit with an error if a library of the extra `fleet` is missing; runs before each command."""
    with require_extra("fleet"):
        import msgspec  # noqa: F401 - only whether it is there
        import pydantic  # noqa: F401 - only whether it is there


def current_actor() -> str:
    """Return the user of this command as user@host, for the history."""
    return f"{os.environ.get('USER', 'somebody')}@{os.uname().nodename}"


def load_fleet_or_exit(path: Path) -> tuple[FleetFile, bytes]:
    """Return the fleet file and its key; if it has faults, exit with a line for each."""
    with require_extra("fleet"):
        from ..coordination.quorum_connection import check_key_present
        from ..settings import fleet_file
    try:
        fleet, key = fleet_file.load(path)
    except fleet_file.FleetFileError as error:
        exit_with_error("\nrosepick: ".join(error.faults), 2)
    reason = check_key_present(list(fleet.endpoints().values()), key)
    if reason:
        exit_with_error(reason, 2)
    return fleet, key


def connect_quorum(path: Path) -> tuple[QuorumClient, FleetFile]:
    """Return a client of the fleet's quorum, on its own event loop, and the fleet file."""
    import random

    fleet, key = load_fleet_or_exit(path)  # first, as it reports a missing extra that the imports below need
    from ..coordination.quorum_client import QuorumClient, tcp_connection_factory
    from ..net.boot_clock import boottime_s
    from ..net.event_loop import EventLoop

    loop = EventLoop(boottime_s)
    rng = random.Random(secrets.randbits(CLIENT_ID_BITS))
    return QuorumClient(loop, tcp_connection_factory(loop, fleet.endpoints(), key), rng), fleet


def run_until(
    client: QuorumClient, condition: Callable[[], bool], timeout_ms: float = OPERATION_TIMEOUT_MS
) -> bool:
    """Run the client's event loop until a condition holds, or for `timeout_ms`; return whether it holds."""
    loop: Any = client.loop
    deadline = loop.now() + timeout_ms
    while not condition() and loop.now() < deadline:
        loop.step(LOOP_STEP_S)
    return condition()


def run_operation(client: QuorumClient, key: str, change: RegisterChange | None = None) -> OperationOutcome:
    """Read or change a register and return the outcome; exit with an error without a majority."""
    from ..consensus.proposer import OutcomeKind

    outcomes: list[OperationOutcome] = []
    client.execute(key, change, outcomes.append, OPERATION_TIMEOUT_MS)
    run_until(client, lambda: bool(outcomes), 2.0 * OPERATION_TIMEOUT_MS)
    if not outcomes or outcomes[0].kind is OutcomeKind.FAILED:
        reason = outcomes[0].reason if outcomes else "timeout"
        exit_with_error(f"no response from a majority: {reason}", EXIT_NO_QUORUM)
    return outcomes[0]


def read_replica_states(
    client: QuorumClient, timeout_ms: float = STATUS_TIMEOUT_MS
) -> dict[str, messages.StatusReply]:
    """Return the status of each replica that replies in time, by its name."""

    def all_replied() -> bool:
        client.poll_status()
        return len(client.replica_statuses) == len(client.connections)

    run_until(client, all_replied, timeout_ms)
    return {name: replica.status for name, replica in client.replica_statuses.items()}
