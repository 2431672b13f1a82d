"""A client of the quorum whose operations are noted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...consensus.proposer import OperationOutcome, RegisterChange
from ...coordination.quorum_client import QuorumClient
from .history import AnyEvent, RegisterOperation


class InstrumentedQuorumClient(QuorumClient):
    """A client whose operations are noted; a change that has begun is `open_operations` until its end is.
    `records_operation_start`: write that down too, as a process that is killed cannot do it later.
    """

    records_operation_start = False

    def __init__(
        self, name: str, record_event: Callable[[AnyEvent], None], clock: Callable[[], float], *given: Any
    ) -> None:
        super().__init__(*given)
        self._name, self._record_event, self._clock = name, record_event, clock
        self.open_operations: dict[str, RegisterOperation] = {}

    def execute(
        self,
        key: str,
        change: RegisterChange | None,
        on_outcome: Callable[[OperationOutcome], None],
        timeout_ms: float,
    ) -> str:
        begin, mark = self._clock(), ""

        def noted(outcome: OperationOutcome) -> None:
            self.open_operations.pop(mark, None)
            register, kind = outcome.register, outcome.kind.value
            end = self._clock()
            value = register.version, register.change_id, register.parent_change_id
            self._record_event(RegisterOperation(self._name, end, begin, key, mark, kind, *value))
            on_outcome(outcome)

        mark = super().execute(key, change, noted, timeout_ms)
        self.open_operations[mark] = RegisterOperation(self._name, begin, begin, key, mark, "open")
        if change is not None and self.records_operation_start:
            self._record_event(self.open_operations[mark])
        return mark
