"""Shared functions of the drain and release commands: documents, status pages and history.

Dependencies of the extra `fleet` are imported only when one of its commands runs.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from .common import exit_with_error, require_extra
from .quorum_session import EXIT_NO_QUORUM, EXIT_REFUSED, connect_quorum, run_operation, run_until

if TYPE_CHECKING:
    from rich.console import RenderableType

    from ..consensus.messages import Register
    from ..consensus.proposer import OperationOutcome, RegisterChange
    from ..coordination.quorum_client import QuorumClient
    from ..fleet.disruption_budget import DisruptionBudget
    from ..fleet.fleet_state import AuditEntry, FleetState
    from ..fleet.rollout_state import RolloutState
    from ..settings.fleet_file import FleetFile

REFRESH_INTERVAL_MS = 500.0  # refresh interval of status pages and progress bars
Document = TypeVar("Document")


class DocumentSession(Generic[Document]):
    """Reads and changes one document of the quorum; every failure exits the command with an error.

    `status_command` is the command that shows the document; the error after an unknown outcome names it.
    """

    def __init__(
        self, client: QuorumClient, key: str, decode: Callable[[Register], Document], status_command: str
    ) -> None:
        self._client = client
        self._key = key
        self._decode_register = decode
        self._status_command = status_command

    def read(self) -> Document:
        """Return the current document."""
        return self._decode(run_operation(self._client, self._key))

    def change(self, change: RegisterChange, rejection_reason: Callable[[Document], str]) -> Document:
        """Change the document and return its new content.

        `rejection_reason` is called with the document if the change was rejected. It returns the reason, or
        an empty text if the rejection is no error.
        """
        from ..consensus.proposer import OutcomeKind

        outcome = run_operation(self._client, self._key, change)
        if outcome.kind is OutcomeKind.UNKNOWN:
            exit_with_error(f"the outcome is unknown: check with `{self._status_command}`", EXIT_NO_QUORUM)
        document = self._decode(outcome)
        reason = rejection_reason(document) if outcome.kind is OutcomeKind.UNCHANGED else ""
        if reason:
            exit_with_error(reason, EXIT_REFUSED)
        return document

    def _decode(self, outcome: OperationOutcome) -> Document:
        from ..fleet.versioned_document import DocumentDecodeError

        try:
            return self._decode_register(outcome.register)
        except DocumentDecodeError as error:
            exit_with_error(error, EXIT_REFUSED)


class FleetSession:
    """The fleet state and the rollout state of the group that the fleet file names."""

    def __init__(self, path: Path) -> None:
        self.client: QuorumClient
        self.fleet_file: FleetFile
        self.client, self.fleet_file = connect_quorum(path)
        with require_extra("fleet"):
            import rich  # noqa: F401 - tables and progress bars
        from ..fleet import fleet_state, rollout_state

        group = self.fleet_file.drains.group
        self.fleet_state: DocumentSession[FleetState] = DocumentSession(
            self.client,
            fleet_state.fleet_state_key(group),
            fleet_state.decode_fleet_state,
            "fleet status",
        )
        self.rollout_state: DocumentSession[RolloutState] = DocumentSession(
            self.client,
            rollout_state.rollout_state_key(group),
            rollout_state.decode_rollout_state,
            "release status",
        )

    def disruption_budget(self) -> DisruptionBudget:
        """Return the disruption budget of the fleet file."""
        return disruption_budget_of(self.fleet_file)


@dataclass(frozen=True, slots=True)
class StatusOptions:
    """Output options of a status command: JSON, or a page that `watch` refreshes."""

    as_json: bool
    watch: bool


def disruption_budget_of(fleet_file: FleetFile) -> DisruptionBudget:
    """Return the disruption budget from the settings in a fleet file."""
    from ..fleet.disruption_budget import DisruptionBudget, Limit

    drains = fleet_file.drains
    routers = Limit(**drains.routers.model_dump())
    caches = Limit(**drains.caches.model_dump())
    rollbacks = None if drains.back is None else Limit(**drains.back.model_dump())
    return DisruptionBudget(routers, caches, drains.closed_minutes(), drains.apart, drains.unasked, rollbacks)


def accept_unchanged(_document: object) -> str:
    """Return an empty rejection reason: an unchanged document is no error."""
    return ""


def current_minute() -> int:
    """Return the minute of the day (UTC)."""
    return int(time.time() // 60) % 1440


def show_document(
    session: FleetSession,
    document: DocumentSession[Any],
    make_page: Callable[[FleetSession], RenderableType],
    options: StatusOptions,
) -> None:
    """Print a document as JSON, or show the page that `make_page` renders."""
    if options.as_json:
        import msgspec

        print(msgspec.json.encode(msgspec.to_builtins(document.read())).decode())
        return
    show_page(session.client, lambda: make_page(session), options.watch)


def show_page(client: QuorumClient, make_page: Callable[[], RenderableType], watch: bool) -> None:
    """Print a page; with `watch`, refresh it until interrupted."""
    from rich.console import Console
    from rich.live import Live

    if not watch:
        Console().print(make_page())
        return
    with Live(make_page()) as live:
        while True:
            pause(client)
            live.update(make_page())


def pause(client: QuorumClient) -> None:
    """Run the client's event loop for the refresh interval."""
    run_until(client, lambda: False, REFRESH_INTERVAL_MS)


def print_history(entries: Iterable[AuditEntry], as_json: bool) -> None:
    """Print audit entries, one per line."""
    for entry in entries:
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry.timestamp_s))
        if as_json:
            print(json.dumps([timestamp, entry.actor, entry.message]))
        else:
            print(f"{timestamp}  {entry.actor}  {entry.message}")
