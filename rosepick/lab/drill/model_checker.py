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

from ...consensus import messages as m
from ...consensus.acceptor import Acceptor, AcceptorState
from ...consensus.messages import NO_BALLOT, Ballot, Quorum, QuorumMember
from ...consensus.proposer import BallotGenerator, OutcomeKind, OutgoingRequests, Proposer, RegisterCommand

InFlightMessage = tuple[int, int, bool, m.QuorumMessage]  # caller, witness, to the witness, and what


@dataclass(slots=True)
class ExplorationResult:
    """What there was. `violations`: the first state that is no chain, as its messages in order."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    terminal_states: int = 0  # states in which nothing is on its way any more
    completed_states: int = 0  # ends in which both changes are made
    violations: list[str] = field(default_factory=list)


class RegisterModel:
    """Two callers, some witnesses, and messages between them."""

    def __init__(self, acceptors: int, retries: int) -> None:
        members = tuple(QuorumMember(str(n), f"disk {n}") for n in range(acceptors))
        quorum = Quorum("f", 1, members)
        self.acceptors = [Acceptor(str(n), AcceptorState(f"disk {n}"), "run") for n in range(acceptors)]
        for witness in self.acceptors:
            witness.handle(m.InstallEpochRequest(0, quorum, {}))
        self.numbers = [0]
        self.retries_left = [retries, retries]  # how often each caller may ask anew
        self.chosen: frozenset[tuple[int, str, str]] = frozenset()  # version, mark, base
        self.accepted: frozenset[tuple[int, Ballot]] = (
            frozenset()
        )  # which witness has ever taken something under which
        self.in_flight: list[InFlightMessage] = []
        self.proposers: list[Proposer] = []
        for who in (1, 2):
            mark = "ab"[who - 1]
            operation = Proposer(
                quorum,
                RegisterCommand("k", lambda register: b"", mark),
                BallotGenerator(who),
                self._next_request_number,
            )
            self.proposers.append(operation)
            self._send(who - 1, operation.start())

    def _next_request_number(self) -> int:
        self.numbers[0] += 1
        return self.numbers[0]

    def _send(self, caller: int, sends: OutgoingRequests) -> None:
        self.in_flight += [(caller, int(name), True, request) for name, request in sends]

    def clone(self) -> RegisterModel:
        """Another one in the same state."""
        other = copy.copy(self)
        other.numbers, other.retries_left = list(self.numbers), list(self.retries_left)
        other.in_flight = list(self.in_flight)
        other.acceptors = []
        for witness in self.acceptors:
            twin = copy.copy(witness)
            twin.state = copy.copy(witness.state)
            twin.state.register_states = dict(witness.state.register_states)
            other.acceptors.append(twin)
        other.proposers = []
        for operation in self.proposers:
            one = copy.copy(operation)
            one._votes, one._opponents = dict(operation._votes), set(operation._opponents)
            one._ballots = copy.copy(operation._ballots)
            one._next_request_id = other._next_request_number
            other.proposers.append(one)
        return other

    def state_key(self) -> tuple[object, ...]:
        """The state. Numbers of requests are told by which of a caller's phases they are for."""
        asked = [operation._request_id for operation in self.proposers]
        witnesses = []
        for number, witness in enumerate(self.acceptors):
            flying = sorted(
                (
                    caller,
                    there,
                    type(message).__name__,
                    message.request_id == asked[caller],
                    _message_key(message),
                )
                for caller, to, there, message in self.in_flight
                if to == number
            )
            votes = [_vote_key(operation, str(number)) for operation in self.proposers]
            slot = witness.state.register_states.get("k")
            taken = sorted(ballot for one, ballot in self.accepted if one == number)
            witnesses.append((repr(slot), tuple(flying), tuple(votes), tuple(taken)))
        callers = tuple(
            (
                one._phase.value,
                one._current_ballot,
                one._ballots.last_round,
                repr(one._last_proposed),
                repr(one._accept_register),
                repr(one.outcome),
            )
            for one in self.proposers
        )
        return (tuple(sorted(witnesses)), callers, tuple(self.retries_left), self.chosen)

    def successors(self) -> Iterator[tuple[str, RegisterModel]]:
        """Each state that may come next."""
        for index, (caller, to, there, message) in enumerate(self.in_flight):
            other = self.clone()
            del other.in_flight[index]
            if there:
                answer, _ = other.acceptors[to].handle(message)  # type: ignore[arg-type]
                other.in_flight.append((caller, to, False, answer))
                other._record_chosen(to)
            else:
                other._send(caller, other.proposers[caller].handle_reply(str(to), message))  # type: ignore[arg-type]
            yield f"{'ab'[caller]} {'to' if there else 'from'} {to}: {message}", other
        for caller, operation in enumerate(self.proposers):
            if operation.outcome is None and self.retries_left[caller]:
                other = self.clone()
                other.retries_left[caller] -= 1
                other._send(caller, other.proposers[caller].retry())
                yield f"{'ab'[caller]} asks again", other

    def _record_chosen(self, number: int) -> None:
        """What a majority has taken under one ballot, at whatever times, is chosen."""
        slot = self.acceptors[number].state.register_states.get("k")
        if slot is None or slot.accepted_ballot == NO_BALLOT:
            return
        self.accepted |= {(number, slot.accepted_ballot)}
        if sum(ballot == slot.accepted_ballot for _, ballot in self.accepted) > len(self.acceptors) // 2:
            register = slot.register
            self.chosen |= {(register.version, register.change_id, register.parent_change_id)}

    def find_violation(self) -> str:
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
        for operation in self.proposers:
            outcome = operation.outcome
            if outcome is not None and outcome.kind is OutcomeKind.COMMITTED:
                register = outcome.register
                if (register.version, register.change_id, register.parent_change_id) not in self.chosen:
                    return "a change is said to be done that is not"
        return ""


def _message_key(message: m.QuorumMessage) -> str:
    return repr(
        [
            getattr(message, name)
            for name in message.__struct_fields__
            if name not in ("request_id", "storage_id")
        ]
    )


def _vote_key(operation: Proposer, name: str) -> tuple[str, bool]:
    return repr(operation._votes.get(name)), name in operation._opponents


class ModelState(Protocol):
    """A state of a small world."""

    def state_key(self) -> tuple[object, ...]:
        """Tells states apart."""

    def find_violation(self) -> str:
        """Why a claim does not hold in it; empty if all do."""


StateT = TypeVar("StateT", bound=ModelState)


def explore_states(
    first: StateT,
    successors: Callable[[StateT], Iterable[StateT]],
    observe: Callable[[StateT, ExplorationResult], None],
    max_states: int,
) -> ExplorationResult:
    """All states there are, depth by depth, up to the first that is wrong; `observe` counts in each what is
    of interest.
    """
    found = ExplorationResult()
    seen = {hash(first.state_key())}
    layer = [first]
    while layer and found.states < max_states and not found.violations:
        following = []
        for world in layer:
            found.states += 1
            if wrong := world.find_violation():
                found.violations.append(wrong)
                break
            observe(world, found)
            for other in successors(world):
                found.steps += 1
                key = hash(other.state_key())
                if key not in seen:
                    seen.add(key)
                    following.append(other)
        layer = following
        found.depth += bool(layer)
    return found


def explore_register(acceptors: int = 3, retries: int = 0, max_states: int = 5_000_000) -> ExplorationResult:
    """Two callers and their witnesses, in every order of messages."""

    def look(world: RegisterModel, found: ExplorationResult) -> None:
        if not world.in_flight:
            found.terminal_states += 1
            ends = [one.outcome for one in world.proposers]
            found.completed_states += all(
                end is not None and end.kind is OutcomeKind.COMMITTED for end in ends
            )

    return explore_states(
        RegisterModel(acceptors, retries),
        lambda world: (other for _, other in world.successors()),
        look,
        max_states,
    )
