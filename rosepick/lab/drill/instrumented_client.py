"""Defines a client of the quorum that records its operations in a history."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...consensus.proposer import OperationOutcome, RegisterChange
from ...coordination.quorum_client import QuorumClient
from .history import AnyEvent, RegisterOperation


class InstrumentedQuorumClient(QuorumClient):
    """Records each operation when it ends, with the time of the test's clock.

    `open_operations` has the operations that have not ended, by their change ids. With
    `records_operation_start`, changes are also recorded when they begin, since the process may be killed
    before they end.
    """

    records_operation_start = False

    def __init__(
        self,
        name: str,
        record_event: Callable[[AnyEvent], None],
        clock: Callable[[], float],
        *client_arguments: Any,
    ) -> None:
        super().__init__(*client_arguments)
        self._name = name
        self._record_event = record_event
        self._clock = clock
        self.open_operations: dict[str, RegisterOperation] = {}

    def execute(
        self,
        key: str,
        change: RegisterChange | None,
        on_outcome: Callable[[OperationOutcome], None],
        timeout_ms: float,
    ) -> str:
        """Begin an operation like `QuorumClient.execute`, and record it."""
        started_at = self._clock()
        change_id = ""

        def record_outcome(outcome: OperationOutcome) -> None:
            self.open_operations.pop(change_id, None)
            register = outcome.register
            self._record_event(
                RegisterOperation(
                    self._name,
                    self._clock(),
                    started_at,
                    key,
                    change_id,
                    outcome.kind.value,
                    register.version,
                    register.change_id,
                    register.parent_change_id,
                )
            )
            on_outcome(outcome)

        change_id = super().execute(key, change, record_outcome, timeout_ms)
        operation = RegisterOperation(self._name, started_at, started_at, key, change_id, "open")
        self.open_operations[change_id] = operation
        if change is not None and self.records_operation_start:
            self._record_event(operation)
        return change_id
