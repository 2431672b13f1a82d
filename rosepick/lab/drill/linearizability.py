"""Whether operations on one register could have happened one after the other, each between its begin and its
end.

The search of Wing and Gong (1993) with the memory of Lowe (2017): go on with whatever operation may come
next, and never come twice to the same set of operations with the same value. Registers are independent of
each other, so each is searched alone. Versions make the search short, they do not replace it: it is the
order in time that is judged.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from .history import RegisterOperation

Value = tuple[int, str]  # version and mark
ANY = "any"


@dataclass(slots=True, eq=False)
class _Entry:
    """The begin or the end of an operation, in a list of these by time."""

    operation: int
    end: _Entry | None = None  # of the begin's operation; None: this is an end
    previous: _Entry | None = None
    next: _Entry | None = None


def _constrained_operations(
    operations: Sequence[RegisterOperation], include_unseen: bool
) -> list[tuple[RegisterOperation, Value | None, Value | None]]:
    """Operations that say something, from which value (None: any) they go and to which (None: the next
    version). A change whose end nobody knows has been made if anybody saw its value, or a value that was
    made of it; else it may have been made, between two others (`include_unseen`), or not at all.
    """
    seen: dict[str, tuple[int, str | None]] = {}
    for one in operations:
        if one.kind in ("done", "read") and one.version:
            seen.setdefault(one.base, (one.version - 1, None))
            seen[one.seen] = one.version, one.base
    found: list[tuple[RegisterOperation, Value | None, Value | None]] = []
    for one in operations:
        value = one.version, one.seen
        if one.kind == "read":
            found.append((one, value, value))
        elif one.kind == "done":
            found.append((one, (one.version - 1, one.base), value))
        elif one.kind in ("unknown", "open"):
            version, base = seen.get(one.mark, (0, None))
            endless = RegisterOperation(one.process, inf, one.begin, one.key, one.mark, "open")
            if one.mark in seen:
                found.append((endless, (version - 1, ANY if base is None else base), (version, one.mark)))
            elif include_unseen:
                found.append((endless, None, None))
    return found


def _build_entry_list(operations: Sequence[RegisterOperation]) -> _Entry:
    moments = []
    for number, one in enumerate(operations):
        end = _Entry(number)
        moments += [((one.begin, 0), _Entry(number, end)), ((one.at, 1), end)]
    head = last = _Entry(-1)
    for _, entry in sorted(moments, key=lambda moment: moment[0]):
        last.next, entry.previous, last = entry, last, entry
    return head


def _unlink(entry: _Entry) -> None:
    for one in (entry, entry.end):
        assert one is not None and one.previous is not None
        one.previous.next = one.next
        if one.next is not None:
            one.next.previous = one.previous


def _relink(entry: _Entry) -> None:
    for one in (entry.end, entry):
        assert one is not None and one.previous is not None
        one.previous.next = one
        if one.next is not None:
            one.next.previous = one


def is_linearizable(operations: Sequence[RegisterOperation]) -> bool:
    """Whether there is such an order for the operations of one register."""
    known, more = (
        _constrained_operations(operations, include_unseen=False),
        _constrained_operations(operations, include_unseen=True),
    )
    return _search(known) or (len(more) > len(known) and _search(more))


def _apply(needs: Value | None, gives: Value | None, value: Value, mark: str) -> Value | None:
    """The value after a step from this one, if it can be taken."""
    if gives is None:
        return value[0] + 1, mark
    fits = needs == value or (needs is not None and needs[1] == ANY and needs[0] == value[0])
    return gives if fits else None


def _search(known: Sequence[tuple[RegisterOperation, Value | None, Value | None]]) -> bool:
    head = _build_entry_list([one for one, _, _ in known])
    left = sum(one.at < inf for one, _, _ in known)
    value: Value = (0, "")
    taken = 0
    stack: list[tuple[_Entry, Value]] = []
    been: set[tuple[int, Value | None]] = set()
    entry = head.next
    while left:
        assert entry is not None
        if entry.end is None:  # its operation cannot have happened yet: another way
            while True:
                if not stack:
                    return False
                entry, value = stack.pop()
                taken &= ~(1 << entry.operation)
                one, needs, gives = known[entry.operation]
                left += one.at < inf
                _relink(entry)
                if gives is None or needs != gives:
                    break  # a reading that fits is best taken at once: later is no other way
            entry = entry.next
            continue
        one, needs, gives = known[entry.operation]
        then = _apply(needs, gives, value, one.mark)
        now = (taken | 1 << entry.operation, then)
        if then is None or now in been:
            entry = entry.next
            continue
        been.add(now)
        stack.append((entry, value))
        taken, value = now[0], then
        left -= one.at < inf
        _unlink(entry)
        entry = head.next
    return True


def group_by_key(operations: Sequence[RegisterOperation]) -> dict[str, list[RegisterOperation]]:
    """Operations by register."""
    found: dict[str, list[RegisterOperation]] = defaultdict(list)
    for one in operations:
        found[one.key].append(one)
    return found


def _truncate_at(operations: Sequence[RegisterOperation], at: float) -> list[RegisterOperation]:
    """What was known at a moment: what had not ended then is open."""
    return [
        one
        if one.at <= at
        else RegisterOperation(one.process, one.begin, one.begin, one.key, one.mark, "open")
        for one in operations
        if one.begin <= at
    ]


def minimal_counterexample(operations: Sequence[RegisterOperation]) -> list[RegisterOperation]:
    """Of operations that are not possible, a few that are not either: no reading of these can be left out."""
    moments = sorted(one.at for one in operations)
    low, high = 0, len(moments) - 1
    while low < high:  # the first moment at which it was not possible any more
        middle = (low + high) // 2
        low, high = (
            (low, middle)
            if not is_linearizable(_truncate_at(operations, moments[middle]))
            else (middle + 1, high)
        )
    kept = _truncate_at(operations, moments[high])
    for one in list(kept):
        if one.kind == "read" and len(kept) < 2000:
            less = [other for other in kept if other is not one]
            if not is_linearizable(less):
                kept = less
    return kept
