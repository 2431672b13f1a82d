"""Checks whether the operations on one register are linearizable.

They are if they have a valid order in which each takes effect between its start and its end. The search is
that of Wing and Gong (1993) with the memoization of Lowe (2017): it extends the order by any operation that
may come next and never visits the same set of operations with the same value twice. Registers are
independent, so each is checked alone. Version numbers shorten the search but do not replace it: the check
concerns the order in time.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from .history import RegisterOperation

MAX_OPERATIONS_TO_MINIMIZE = 2_000  # larger counterexamples keep all reads: removal takes quadratic time
ANY_CHANGE_ID = "any"


class _Value(NamedTuple):
    """The version and the change id that identify a register's value."""

    version: int
    change_id: str


INITIAL_VALUE = _Value(0, "")


class _Step(NamedTuple):
    """An operation with the register's values before and after it.

    `before` is None if the operation fits any value. `after` is None if it is the version after the current
    one, whichever that is.
    """

    operation: RegisterOperation
    before: _Value | None
    after: _Value | None

    @property
    def is_complete(self) -> bool:
        """Whether the operation's end is known, so that the order must contain it."""
        return self.operation.at < inf

    @property
    def is_read(self) -> bool:
        """Whether the operation leaves the value unchanged."""
        return self.after is not None and self.before == self.after

    def apply(self, value: _Value) -> _Value | None:
        """Return the value after this step, or None if the step does not fit `value`."""
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
    """The start or the end of an operation, in a doubly linked list ordered by time."""

    step_index: int
    end: _Entry | None = None  # the matching end of a start; None for an end
    previous: _Entry | None = None
    next: _Entry | None = None

    def insert_links(self) -> None:
        """Insert this entry between its neighbours."""
        assert self.previous is not None
        self.previous.next = self
        if self.next is not None:
            self.next.previous = self

    def remove_links(self) -> None:
        """Link the neighbours to each other; this entry keeps its links to them."""
        assert self.previous is not None
        self.previous.next = self.next
        if self.next is not None:
            self.next.previous = self.previous

    def unlink(self) -> None:
        """Remove a start and its end from the list."""
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

    A change with an unknown outcome took effect if an operation saw its value or a value derived from it.
    Any other such change may have taken effect between two others (`include_unseen`) or not at all.
    """
    parent_of: dict[str, tuple[int, str | None]] = {}  # change id to version and, if known, parent
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
            unbounded_operation = RegisterOperation(
                operation.process, inf, operation.begin, operation.key, operation.mark, "open"
            )
            if operation.mark in parent_of:
                before = _Value(version - 1, ANY_CHANGE_ID if parent is None else parent)
                steps.append(_Step(unbounded_operation, before, _Value(version, operation.mark)))
            elif include_unseen:
                steps.append(_Step(unbounded_operation, None, None))
    return steps


def _build_entry_list(steps: Sequence[_Step]) -> _Entry:
    """Return the head of the list of starts and ends by time; at equal times, starts come first."""
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
    """Return whether the operations of one register have a valid order."""
    seen_only = _constrained_steps(operations, include_unseen=False)
    with_unseen = _constrained_steps(operations, include_unseen=True)
    return _Search(seen_only).run() or (len(with_unseen) > len(seen_only) and _Search(with_unseen).run())


class _Search:
    """A depth-first search for a valid order of steps."""

    def __init__(self, steps: Sequence[_Step]) -> None:
        self._steps = steps
        self._head = _build_entry_list(steps)
        self._remaining_count = sum(step.is_complete for step in steps)
        self._value = INITIAL_VALUE
        self._linearized = 0  # bit set of the steps in the order
        self._stack: list[tuple[_Entry, _Value]] = []
        self._visited: set[tuple[int, _Value]] = set()

    def run(self) -> bool:
        """Return whether a valid order exists."""
        entry = self._head.next
        while self._remaining_count:
            assert entry is not None
            if entry.end is None:  # this operation ended and is not in the order yet
                removed_entry = self._backtrack()
                if removed_entry is None:
                    return False
                entry = removed_entry.next
            elif self._linearize(entry):
                entry = self._head.next
            else:
                entry = entry.next
        return True

    def _linearize(self, entry: _Entry) -> bool:
        """Append a step to the order; return False if it does not fit or leads to a visited state."""
        step = self._steps[entry.step_index]
        value = step.apply(self._value)
        linearized = self._linearized | 1 << entry.step_index
        if value is None or (linearized, value) in self._visited:
            return False
        self._visited.add((linearized, value))
        self._stack.append((entry, self._value))
        self._linearized = linearized
        self._value = value
        self._remaining_count -= step.is_complete
        entry.unlink()
        return True

    def _backtrack(self) -> _Entry | None:
        """Remove steps up to the last one that is not a read, and return its entry; None if there is none.

        A read that fits never needs to come later, as a later position allows no additional order.
        """
        while self._stack:
            entry, self._value = self._stack.pop()
            step = self._steps[entry.step_index]
            self._linearized &= ~(1 << entry.step_index)
            self._remaining_count += step.is_complete
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
    """Return the history up to a time: operations that had not ended by then are open."""
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
    """Return a small part of a non-linearizable history that is not linearizable either.

    It ends at the earliest time at which no order is valid. Unless it is large, it needs each of its reads.
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
