"""Explicit-state model checking of one register: two proposers change it, some acceptors hold it.

The proposers and acceptors are those of the program. Every order in which messages can be delivered is
explored. A message that is in flight may be delivered next or never, so a state in which it has not been
delivered stands for its loss, too. States that differ only in the names of acceptors are explored once. In
each state, the versions that have been chosen so far have to form one chain.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol, TypeVar

from ...consensus import messages as m
from ...consensus.acceptor import Acceptor, AcceptorState
from ...consensus.messages import NO_BALLOT, Ballot, Quorum, QuorumMember, Register
from ...consensus.proposer import BallotGenerator, OutcomeKind, OutgoingRequests, Proposer, RegisterCommand

MAX_STATES = 5_000_000
REGISTER_KEY = "k"
CHANGE_IDS = ("a", "b")  # one for each proposer


@dataclass(slots=True)
class ExplorationResult:
    """Counts of an exploration, and what is wrong with the first state that violates an invariant."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    terminal_states: int = 0  # states with nothing in flight or, of leases, at the last point in time
    completed_states: int = 0  # terminal states with both changes made or, of leases, states with a holder
    violations: list[str] = field(default_factory=list)


class ModelState(Protocol):
    """A state of a model."""

    def state_key(self) -> tuple[object, ...]:
        """Return a key that tells this state from others."""

    def find_violation(self) -> str:
        """Return why an invariant does not hold in this state, or an empty string."""


StateT = TypeVar("StateT", bound=ModelState)


def explore_states(
    initial_state: StateT,
    successors: Callable[[StateT], Iterable[StateT]],
    count_state: Callable[[StateT, ExplorationResult], None],
    max_states: int,
) -> ExplorationResult:
    """Explore the reachable states breadth first, up to the first that violates an invariant.

    Args:
        initial_state: where the exploration starts.
        successors: returns the states that can follow a state.
        count_state: updates the result's counts of special states for a state.
        max_states: ends the exploration at the first depth by which so many states were explored.
    """
    result = ExplorationResult()
    seen = {hash(initial_state.state_key())}
    layer = [initial_state]
    while layer and result.states < max_states and not result.violations:
        next_layer = []
        for state in layer:
            result.states += 1
            if violation := state.find_violation():
                result.violations.append(violation)
                break
            count_state(state, result)
            for successor in successors(state):
                result.steps += 1
                key = hash(successor.state_key())
                if key not in seen:
                    seen.add(key)
                    next_layer.append(successor)
        layer = next_layer
        result.depth += bool(layer)
    return result


class InFlightMessage(NamedTuple):
    """A message that was sent and not delivered yet."""

    proposer: int  # index of the proposer that sent or awaits it
    acceptor: int
    is_request: bool
    message: m.QuorumMessage


class ChosenVersion(NamedTuple):
    """A value of the register that a majority has accepted under one ballot."""

    version: int
    change_id: str
    parent_change_id: str


class ModelProposer(Proposer):
    """A proposer whose state can be copied and compared."""

    def clone(self, next_request_id: Callable[[], int]) -> ModelProposer:
        """Return a copy that takes the ids of its requests from another function."""
        clone = copy.copy(self)
        clone.detach(next_request_id)
        return clone

    def detach(self, next_request_id: Callable[[], int]) -> None:
        """Replace all state that is shared with the proposer that this one was copied from."""
        self._votes = dict(self._votes)
        self._opponents = set(self._opponents)
        self._ballots = copy.copy(self._ballots)
        self._next_request_id = next_request_id

    def awaits(self, message: m.QuorumMessage) -> bool:
        """Return whether the message belongs to the present phase."""
        return message.request_id == self._request_id

    def vote_key(self, acceptor: str) -> tuple[str, bool]:
        """Return what the proposer knows of an acceptor."""
        return repr(self._votes.get(acceptor)), acceptor in self._opponents

    def state_key(self) -> tuple[object, ...]:
        """Return what the proposer knows, apart from the votes."""
        return (
            self._phase.value,
            self._current_ballot,
            self._ballots.last_round,
            repr(self._last_proposed),
            repr(self._accept_register),
            repr(self.outcome),
        )


class RegisterModel:
    """Two proposers, some acceptors, and the messages between them."""

    def __init__(self, acceptors: int, retries: int) -> None:
        members = tuple(QuorumMember(str(index), f"disk {index}") for index in range(acceptors))
        quorum = Quorum("f", 1, members)
        self.acceptors = [
            Acceptor(str(index), AcceptorState(f"disk {index}"), "run") for index in range(acceptors)
        ]
        for acceptor in self.acceptors:
            acceptor.handle(m.InstallEpochRequest(0, quorum, {}))
        self._last_request_id = 0
        self.retries_left = [retries] * len(CHANGE_IDS)  # by proposer
        self.chosen: frozenset[ChosenVersion] = frozenset()
        self.accepted: frozenset[tuple[int, Ballot]] = frozenset()  # acceptors and what they ever accepted
        self.in_flight: list[InFlightMessage] = []
        self.proposers: list[ModelProposer] = []
        for index, change_id in enumerate(CHANGE_IDS):
            command = RegisterCommand(REGISTER_KEY, _write_empty_value, change_id)
            proposer = ModelProposer(quorum, command, BallotGenerator(index + 1), self._next_request_id)
            self.proposers.append(proposer)
            self._send_requests(index, proposer.start())

    def _next_request_id(self) -> int:
        self._last_request_id += 1
        return self._last_request_id

    def _send_requests(self, proposer: int, requests: OutgoingRequests) -> None:
        self.in_flight += [
            InFlightMessage(proposer, int(replica), True, request) for replica, request in requests
        ]

    def clone(self) -> RegisterModel:
        """Return an independent model in the same state."""
        clone = copy.copy(self)
        clone.retries_left = list(self.retries_left)
        clone.in_flight = list(self.in_flight)
        clone.acceptors = [_clone_acceptor(acceptor) for acceptor in self.acceptors]
        clone.detach_proposers()
        return clone

    def detach_proposers(self) -> None:
        """Replace the proposers by copies that take the ids of their requests from this model."""
        self.proposers = [proposer.clone(self._next_request_id) for proposer in self.proposers]

    def state_key(self) -> tuple[object, ...]:
        """Return the state as a key; request ids count only as being of the present phase or not."""
        acceptors = sorted(self._acceptor_key(index) for index in range(len(self.acceptors)))
        proposers = tuple(proposer.state_key() for proposer in self.proposers)
        return (tuple(acceptors), proposers, tuple(self.retries_left), self.chosen)

    def _acceptor_key(self, index: int) -> tuple[object, ...]:
        """Return the state of an acceptor, of its messages and of its votes, without its name."""
        messages = sorted(
            (
                in_flight.proposer,
                in_flight.is_request,
                type(in_flight.message).__name__,
                self.proposers[in_flight.proposer].awaits(in_flight.message),
                _message_key(in_flight.message),
            )
            for in_flight in self.in_flight
            if in_flight.acceptor == index
        )
        votes = tuple(proposer.vote_key(str(index)) for proposer in self.proposers)
        register_state = self.acceptors[index].state.register_states.get(REGISTER_KEY)
        ballots = tuple(sorted(ballot for acceptor, ballot in self.accepted if acceptor == index))
        return (repr(register_state), tuple(messages), votes, ballots)

    def successors(self) -> Iterator[RegisterModel]:
        """Return each state that can follow this one."""
        for index in range(len(self.in_flight)):
            successor = self.clone()
            successor.deliver(index)
            yield successor
        for index, proposer in enumerate(self.proposers):
            if proposer.outcome is None and self.retries_left[index]:
                successor = self.clone()
                successor.retry(index)
                yield successor

    def deliver(self, index: int) -> None:
        """Deliver a message that is in flight."""
        proposer, acceptor, is_request, message = self.in_flight.pop(index)
        if is_request:
            reply, _ = self.acceptors[acceptor].handle(message)  # type: ignore[arg-type]
            self.in_flight.append(InFlightMessage(proposer, acceptor, False, reply))
            self._record_chosen(acceptor)
        else:
            requests = self.proposers[proposer].handle_reply(str(acceptor), message)  # type: ignore[arg-type]
            self._send_requests(proposer, requests)

    def retry(self, index: int) -> None:
        """Let a proposer start a new round."""
        self.retries_left[index] -= 1
        self._send_requests(index, self.proposers[index].retry())

    def _record_chosen(self, index: int) -> None:
        """Record a value as chosen if a majority has accepted it under one ballot, at whatever times."""
        state = self.acceptors[index].state.register_states.get(REGISTER_KEY)
        if state is None or state.accepted_ballot == NO_BALLOT:
            return
        self.accepted |= {(index, state.accepted_ballot)}
        votes = sum(ballot == state.accepted_ballot for _, ballot in self.accepted)
        if votes > len(self.acceptors) // 2:
            self.chosen |= {_chosen_version(state.register)}

    def find_violation(self) -> str:
        """Return why the chosen versions form no chain, or which outcome is wrong; empty if all holds."""
        change_ids = {chosen.version: chosen.change_id for chosen in self.chosen}
        if len(change_ids) < len(self.chosen):
            return "two values of one version are chosen"
        if len(set(change_ids.values())) < len(self.chosen):
            return "a change is made twice"
        for chosen in self.chosen:
            if change_ids.get(chosen.version - 1, chosen.parent_change_id) != chosen.parent_change_id:
                return "a value is made of another than the one before it"
        for proposer in self.proposers:
            outcome = proposer.outcome
            if outcome is None or outcome.kind is not OutcomeKind.COMMITTED:
                continue
            if _chosen_version(outcome.register) not in self.chosen:
                return "a change is said to be done that is not"
        return ""

    def is_completed(self) -> bool:
        """Return whether each proposer knows that its change was made."""
        return all(
            proposer.outcome is not None and proposer.outcome.kind is OutcomeKind.COMMITTED
            for proposer in self.proposers
        )


def _write_empty_value(_register: Register) -> bytes:
    return b""


def _clone_acceptor(acceptor: Acceptor) -> Acceptor:
    clone = copy.copy(acceptor)
    clone.state = copy.copy(acceptor.state)
    clone.state.register_states = dict(acceptor.state.register_states)
    return clone


def _chosen_version(register: Register) -> ChosenVersion:
    return ChosenVersion(register.version, register.change_id, register.parent_change_id)


def _message_key(message: m.QuorumMessage) -> str:
    names = [name for name in message.__struct_fields__ if name not in ("request_id", "storage_id")]
    return repr([getattr(message, name) for name in names])


def explore_register(acceptors: int = 3, retries: int = 0, max_states: int = MAX_STATES) -> ExplorationResult:
    """Explore two proposers and their acceptors; each proposer may retry so many times."""
    model = RegisterModel(acceptors, retries)
    return explore_states(model, RegisterModel.successors, _count_register_state, max_states)


def _count_register_state(model: RegisterModel, result: ExplorationResult) -> None:
    if not model.in_flight:
        result.terminal_states += 1
        result.completed_states += model.is_completed()
