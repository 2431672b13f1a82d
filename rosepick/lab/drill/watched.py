"""A client of the quorum whose operations are noted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...agreement.operation import Change, Outcome
from ...net.quorum import QuorumClient
from .history import AnyEvent, Operation


class Watched(QuorumClient):
    """A client whose operations are noted; a change that has begun is `open` until its end is.
    `note_begins`: write that down too, as a process that is killed cannot do it later.
    """

    note_begins = False

    def __init__(
        self, name: str, note: Callable[[AnyEvent], None], moment: Callable[[], float], *given: Any
    ) -> None:
        super().__init__(*given)
        self._name, self._note, self._moment = name, note, moment
        self.open: dict[str, Operation] = {}

    def run(self, key: str, change: Change | None, done: Callable[[Outcome], None], timeout: float) -> str:
        begin, mark = self._moment(), ""

        def noted(outcome: Outcome) -> None:
            self.open.pop(mark, None)
            register, kind = outcome.register, outcome.kind.value
            end = self._moment()
            value = register.version, register.mark, register.base
            self._note(Operation(self._name, end, begin, key, mark, kind, *value))
            done(outcome)

        mark = super().run(key, change, noted, timeout)
        self.open[mark] = Operation(self._name, begin, begin, key, mark, "open")
        if change is not None and self.note_begins:
            self._note(self.open[mark])
        return mark
