"""Small worlds explored completely: every order in which messages come, and every one of them lost.

Two callers change one register, three witnesses keep it; the machines are the program's own. A message that
is on its way may come next, or never: so a state in which it has not come yet stands for its loss too.
Witnesses that differ in their names alone are folded into one state. In each state what has been chosen so
far has to be one chain.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from ...agreement import messages as m
from ...agreement.messages import NONE, Ballot, Member, Quorum
from ...agreement.operation import Kind, Operation, Rounds
from ...agreement.witness import Saved, Witness

Flight = tuple[int, int, bool, m.Message]  # caller, witness, to the witness, and what


@dataclass(slots=True)
class Explored:
    """What there was. `broken`: the first state that is no chain, as its messages in order."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    ends: int = 0  # states in which nothing is on its way any more
    done: int = 0  # ends in which both changes are made
    broken: list[str] = field(default_factory=list)


class World:
    """Two callers, some witnesses, and messages between them."""

    def __init__(self, witnesses: int, again: int) -> None:
        members = tuple(Member(str(n), f"disk {n}") for n in range(witnesses))
        quorum = Quorum("f", 1, members)
        self.witnesses = [Witness(str(n), Saved(f"disk {n}"), "run") for n in range(witnesses)]
        for witness in self.witnesses:
            witness.handle(m.Install(0, quorum, {}))
        self.numbers = [0]
        self.again = [again, again]  # how often each caller may ask anew
        self.chosen: frozenset[tuple[int, str, str]] = frozenset()  # version, mark, base
        self.taken: frozenset[tuple[int, Ballot]] = (
            frozenset()
        )  # which witness has ever taken something under which
        self.flying: list[Flight] = []
        self.callers: list[Operation] = []
        for who in (1, 2):
            mark = "ab"[who - 1]
            operation = Operation(quorum, "k", lambda register: b"", Rounds(who), mark, self._number)
            self.callers.append(operation)
            self._fly(who - 1, operation.begin())

    def _number(self) -> int:
        self.numbers[0] += 1
        return self.numbers[0]

    def _fly(self, caller: int, sends: list[tuple[str, m.Request]]) -> None:
        self.flying += [(caller, int(name), True, request) for name, request in sends]

    def clone(self) -> World:
        """Another one in the same state."""
        other = copy.copy(self)
        other.numbers, other.again = list(self.numbers), list(self.again)
        other.flying = list(self.flying)
        other.witnesses = []
        for witness in self.witnesses:
            twin = copy.copy(witness)
            twin.saved = copy.copy(witness.saved)
            twin.saved.slots = dict(witness.saved.slots)
            other.witnesses.append(twin)
        other.callers = []
        for operation in self.callers:
            one = copy.copy(operation)
            one._votes, one._against = dict(operation._votes), set(operation._against)
            one._rounds = copy.copy(operation._rounds)
            one._number = other._number
            other.callers.append(one)
        return other

    def key(self) -> tuple[object, ...]:
        """The state. Numbers of requests are told by which of a caller's phases they are for."""
        asked = [operation._asked for operation in self.callers]
        witnesses = []
        for number, witness in enumerate(self.witnesses):
            flying = sorted(
                (caller, there, type(message).__name__, message.number == asked[caller], _shown(message))
                for caller, to, there, message in self.flying
                if to == number
            )
            votes = [_vote(operation, str(number)) for operation in self.callers]
            slot = witness.saved.slots.get("k")
            taken = sorted(ballot for one, ballot in self.taken if one == number)
            witnesses.append((repr(slot), tuple(flying), tuple(votes), tuple(taken)))
        callers = tuple(
            (
                one._phase.value,
                one._ballot,
                one._rounds.last,
                repr(one._tried),
                repr(one._value),
                repr(one.outcome),
            )
            for one in self.callers
        )
        return (tuple(sorted(witnesses)), callers, tuple(self.again), self.chosen)

    def steps(self) -> Iterator[tuple[str, World]]:
        """Each state that may come next."""
        for index, (caller, to, there, message) in enumerate(self.flying):
            other = self.clone()
            del other.flying[index]
            if there:
                answer, _ = other.witnesses[to].handle(message)  # type: ignore[arg-type]
                other.flying.append((caller, to, False, answer))
                other._choose(to)
            else:
                other._fly(caller, other.callers[caller].heard(str(to), message))  # type: ignore[arg-type]
            yield f"{'ab'[caller]} {'to' if there else 'from'} {to}: {message}", other
        for caller, operation in enumerate(self.callers):
            if operation.outcome is None and self.again[caller]:
                other = self.clone()
                other.again[caller] -= 1
                other._fly(caller, other.callers[caller].again())
                yield f"{'ab'[caller]} asks again", other

    def _choose(self, number: int) -> None:
        """What a majority has taken under one ballot, at whatever times, is chosen."""
        slot = self.witnesses[number].saved.slots.get("k")
        if slot is None or slot.ballot == NONE:
            return
        self.taken |= {(number, slot.ballot)}
        if sum(ballot == slot.ballot for _, ballot in self.taken) > len(self.witnesses) // 2:
            register = slot.register
            self.chosen |= {(register.version, register.mark, register.base)}

    def wrong(self) -> str:
        """Why what was chosen is no chain, or a caller was told what is not so."""
        versions = {version: mark for version, mark, _ in self.chosen}
        if len(versions) < len(self.chosen):
            return "two values of one version are chosen"
        marks = [mark for _, mark, _ in self.chosen]
        if len(set(marks)) < len(marks):
            return "a change is made twice"
        for version, _, base in self.chosen:
            if version - 1 in versions and versions[version - 1] != base:
                return "a value is made of another than the one before it"
        for operation in self.callers:
            outcome = operation.outcome
            if outcome is not None and outcome.kind is Kind.DONE:
                register = outcome.register
                if (register.version, register.mark, register.base) not in self.chosen:
                    return "a change is said to be done that is not"
        return ""


def _shown(message: m.Message) -> str:
    return repr(
        [getattr(message, name) for name in message.__struct_fields__ if name not in ("number", "storage")]
    )


def _vote(operation: Operation, name: str) -> tuple[str, bool]:
    return repr(operation._votes.get(name)), name in operation._against


class Walked(Protocol):
    """A state of a small world."""

    def key(self) -> tuple[object, ...]:
        """Tells states apart."""

    def wrong(self) -> str:
        """Why a claim does not hold in it; empty if all do."""


W = TypeVar("W", bound=Walked)


def walk(
    first: W, steps: Callable[[W], Iterable[W]], look: Callable[[W, Explored], None], most: int
) -> Explored:
    """All states there are, depth by depth, up to the first that is wrong; `look` counts in each what is of
    interest.
    """
    found = Explored()
    seen = {hash(first.key())}
    layer = [first]
    while layer and found.states < most and not found.broken:
        following = []
        for world in layer:
            found.states += 1
            if wrong := world.wrong():
                found.broken.append(wrong)
                break
            look(world, found)
            for other in steps(world):
                found.steps += 1
                key = hash(other.key())
                if key not in seen:
                    seen.add(key)
                    following.append(other)
        layer = following
        found.depth += bool(layer)
    return found


def explore(witnesses: int = 3, again: int = 0, most: int = 5_000_000) -> Explored:
    """Two callers and their witnesses, in every order of messages."""

    def look(world: World, found: Explored) -> None:
        if not world.flying:
            found.ends += 1
            ends = [one.outcome for one in world.callers]
            found.done += all(end is not None and end.kind is Kind.DONE for end in ends)

    return walk(World(witnesses, again), lambda world: (other for _, other in world.steps()), look, most)
