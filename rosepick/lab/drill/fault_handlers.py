"""The registry of handlers that inject faults, one for each kind of fault."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .fault_plan import Fault, FaultName

FaultHandler = Callable[[int, Fault], None]  # called with the index of a fault in its plan, and the fault


class UnsupportedFaultError(Exception):
    """A fault plan contains a fault that this kind of test cannot inject."""

    def __init__(self, kind: FaultName) -> None:
        super().__init__(
            f"the fault {kind.value!r} cannot be injected in this test: remove it from `faults.kinds`"
        )
        self.kind = kind


class FaultHandlers:
    """The handlers of a test, by kind of fault."""

    def __init__(self, handlers: Mapping[FaultName, FaultHandler]) -> None:
        self._handlers = dict(handlers)

    @property
    def kinds(self) -> frozenset[FaultName]:
        """The kinds of faults that have a handler."""
        return frozenset(self._handlers)

    def register(self, kind: FaultName, handler: FaultHandler) -> None:
        """Add or replace the handler of a kind of fault."""
        self._handlers[kind] = handler

    def inject(self, number: int, fault: Fault) -> None:
        """Call the handler of a fault.

        Raises:
            UnsupportedFaultError: the fault's kind has no handler.
        """
        handler = self._handlers.get(fault.kind)
        if handler is None:
            raise UnsupportedFaultError(fault.kind)
        handler(number, fault)
