"""Whether the operations on one register are linearizable, each taking effect between its begin and its end.

The search is that of Wing and Gong (1993) with the memoization of Lowe (2017): extend the order by any
operation that may come next, and never visit the same set of operations with the same value twice. Registers
are independent of each other, so each is checked alone. Version numbers make the search short, they do not
replace it: the order in time is what is checked.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from .history import RegisterOperation

MAX_OPERATIONS_TO_MINIMIZE = 2_000  # above it a counterexample keeps its reads, as leaving out is quadratic
ANY_CHANGE_ID = "any"


class _Value(NamedTuple):
    """What identifies a register's value."""

    version: int
    change_id: str


INITIAL_VALUE = _Value(0, "")


class _Step(NamedTuple):
    """An operation with the value that it needs and the one that it leaves.

    `before` is None if any value will do, `after` is None if it is the next version, whichever that is.
    """

    operation: RegisterOperation
    before: _Value | None
    after: _Value | None

    @property
    def is_complete(self) -> bool:
        """Whether its end is known, so that it has to be part of the order."""
        return self.operation.at < inf

    @property
    def is_read(self) -> bool:
        """Whether it leaves the value that it needs."""
        return self.after is not None and self.before == self.after

    def apply(self, value: _Value) -> _Value | None:
        """Return the value after this step, or None if it cannot be taken from `value`."""
        if self.after is None:
            return _Value(value.version + 1, self.operation.mark)
        fits = self.before == value or (
            self.before is not None
            and self.before.change_id == ANY_CHANGE_ID
            and self.before.version == value.version
        )
        return self.after if fits else None


@dataclass(slots=True, eq=False)
class _Entry:
    """The begin or the end of an operation, in a doubly linked list ordered by time."""

    step_index: int
    end: _Entry | None = None  # the end that belongs to this begin; None: this is an end
    previous: _Entry | None = None
    next: _Entry | None = None

    def insert_links(self) -> None:
        """Link the neighbours to this entry."""
        assert self.previous is not None
        self.previous.next = self
        if self.next is not None:
            self.next.previous = self

    def remove_links(self) -> None:
        """Link the neighbours to each other; this entry still knows them."""
        assert self.previous is not None
        self.previous.next = self.next
        if self.next is not None:
            self.next.previous = self.previous

    def unlink(self) -> None:
        """Take a begin and its end out of the list."""
        assert self.end is not None
        self.remove_links()
        self.end.remove_links()

    def relink(self) -> None:
        """Undo the last `unlink`."""
        assert self.end is not None
        self.end.insert_links()
        self.insert_links()


def _constrained_steps(operations: Sequence[RegisterOperation], include_unseen: bool) -> list[_Step]:
    """Return the steps that constrain the order.

    A change whose outcome is unknown took effect if its value was seen, or a value made from it. Any other
    one may have taken effect between two others (`include_unseen`) or not at all.
    """
    parent_of: dict[str, tuple[int, str | None]] = {}  # by change id: version, and parent if it is known
    for operation in operations:
        if operation.kind in ("done", "read") and operation.version:
            parent_of.setdefault(operation.base, (operation.version - 1, None))
            parent_of[operation.seen] = operation.version, operation.base
    steps: list[_Step] = []
    for operation in operations:
        value = _Value(operation.version, operation.seen)
        if operation.kind == "read":
            steps.append(_Step(operation, value, value))
        elif operation.kind == "done":
            steps.append(_Step(operation, _Value(operation.version - 1, operation.base), value))
        elif operation.kind in ("unknown", "open"):
            version, parent = parent_of.get(operation.mark, (0, None))
            endless = RegisterOperation(
                operation.process, inf, operation.begin, operation.key, operation.mark, "open"
            )
            if operation.mark in parent_of:
                before = _Value(version - 1, ANY_CHANGE_ID if parent is None else parent)
                steps.append(_Step(endless, before, _Value(version, operation.mark)))
            elif include_unseen:
                steps.append(_Step(endless, None, None))
    return steps


def _build_entry_list(steps: Sequence[_Step]) -> _Entry:
    """Return the head of the list of begins and ends by time; of equal times, begins come first."""
    timed_entries = []
    for index, step in enumerate(steps):
        end = _Entry(index)
        timed_entries.append(((step.operation.begin, 0), _Entry(index, end)))
        timed_entries.append(((step.operation.at, 1), end))
    head = _Entry(-1)
    last = head
    for _, entry in sorted(timed_entries, key=lambda timed: timed[0]):
        last.next = entry
        entry.previous = last
        last = entry
    return head


def is_linearizable(operations: Sequence[RegisterOperation]) -> bool:
    """Return whether there is a valid order for the operations of one register."""
    seen_only = _constrained_steps(operations, include_unseen=False)
    with_unseen = _constrained_steps(operations, include_unseen=True)
    return _Search(seen_only).run() or (len(with_unseen) > len(seen_only) and _Search(with_unseen).run())


class _Search:
    """A depth-first search for a valid order of steps."""

    def __init__(self, steps: Sequence[_Step]) -> None:
        self._steps = steps
        self._head = _build_entry_list(steps)
        self._missing = sum(step.is_complete for step in steps)
        self._value = INITIAL_VALUE
        self._taken = 0  # bit set of the steps that are in the order
        self._stack: list[tuple[_Entry, _Value]] = []
        self._visited: set[tuple[int, _Value]] = set()

    def run(self) -> bool:
        """Return whether a valid order exists."""
        entry = self._head.next
        while self._missing:
            assert entry is not None
            if entry.end is None:  # an operation that ended is not in the order yet
                last_tried = self._backtrack()
                if last_tried is None:
                    return False
                entry = last_tried.next
            elif self._take(entry):
                entry = self._head.next
            else:
                entry = entry.next
        return True

    def _take(self, entry: _Entry) -> bool:
        """Append a step to the order; return False if it does not fit, or leads where the search has been."""
        step = self._steps[entry.step_index]
        value = step.apply(self._value)
        taken = self._taken | 1 << entry.step_index
        if value is None or (taken, value) in self._visited:
            return False
        self._visited.add((taken, value))
        self._stack.append((entry, self._value))
        self._taken = taken
        self._value = value
        self._missing -= step.is_complete
        entry.unlink()
        return True

    def _backtrack(self) -> _Entry | None:
        """Remove the last step that could also come later, and return its entry; None if there is none.

        A read that fits is best taken at once: taking it later opens no other order, so it is removed too.
        """
        while self._stack:
            entry, self._value = self._stack.pop()
            step = self._steps[entry.step_index]
            self._taken &= ~(1 << entry.step_index)
            self._missing += step.is_complete
            entry.relink()
            if not step.is_read:
                return entry
        return None


def group_by_key(operations: Sequence[RegisterOperation]) -> dict[str, list[RegisterOperation]]:
    """Group operations by the key of their register."""
    groups: dict[str, list[RegisterOperation]] = defaultdict(list)
    for operation in operations:
        groups[operation.key].append(operation)
    return groups


def _truncate_at(operations: Sequence[RegisterOperation], time: float) -> list[RegisterOperation]:
    """Return what was known at a time: operations that had not ended by then are open."""
    return [
        operation
        if operation.at <= time
        else RegisterOperation(
            operation.process, operation.begin, operation.begin, operation.key, operation.mark, "open"
        )
        for operation in operations
        if operation.begin <= time
    ]


def minimal_counterexample(operations: Sequence[RegisterOperation]) -> list[RegisterOperation]:
    """Return a small part of a history that is not linearizable, which is not linearizable either.

    It ends at the first time at which no order was valid any more, and no single read of it can be left out.
    """
    end_times = sorted(operation.at for operation in operations)
    low = 0
    high = len(end_times) - 1
    while low < high:
        middle = (low + high) // 2
        if is_linearizable(_truncate_at(operations, end_times[middle])):
            low = middle + 1
        else:
            high = middle
    counterexample = _truncate_at(operations, end_times[high])
    for operation in list(counterexample):
        if operation.kind == "read" and len(counterexample) < MAX_OPERATIONS_TO_MINIMIZE:
            shorter = [other for other in counterexample if other is not operation]
            if not is_linearizable(shorter):
                counterexample = shorter
    return counterexample
