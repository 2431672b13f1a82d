"""Explicit-state model checking of one register that two proposers change and several acceptors store.

The proposers and acceptors are the production code. The model checker explores every order in which messages
can be delivered. A message in flight may be delivered next or never, so a state in which it is undelivered
also covers its loss. States that differ only in the names of acceptors are explored once. In each state, the
versions chosen so far must form one chain.
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
    """Counts of an exploration, and the violation of the first state that breaks an invariant."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    terminal_states: int = 0  # no message is in flight; for leases: at the last time step
    completed_states: int = 0  # terminal, with both changes committed; for leases: with a holder
    violations: list[str] = field(default_factory=list)


class ModelState(Protocol):
    """The interface of a model's states."""

    def state_key(self) -> tuple[object, ...]:
        """Return a key that distinguishes this state from others."""

    def find_violation(self) -> str:
        """Return a description of the invariant that this state violates, or an empty string."""


StateT = TypeVar("StateT", bound=ModelState)


def explore_states(
    initial_state: StateT,
    successors: Callable[[StateT], Iterable[StateT]],
    count_state: Callable[[StateT, ExplorationResult], None],
    max_states: int,
) -> ExplorationResult:
    """Explore the reachable states breadth first, up to the first violation of an invariant.

    Args:
        initial_state: the state from which the exploration starts.
        successors: returns the successors of a state.
        count_state: updates the result's counts of terminal and completed states for a state.
        max_states: the exploration ends after the depth at which this number of states is reached.
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
    """A message that was sent and not yet delivered."""

    proposer: int  # index of the proposer that sent the request
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
        """Return a copy that takes its request ids from `next_request_id`."""
        clone = copy.copy(self)
        clone.detach(next_request_id)
        return clone

    def detach(self, next_request_id: Callable[[], int]) -> None:
        """Copy all mutable state that this proposer shares with its original."""
        self._votes = dict(self._votes)
        self._refusing_replicas = set(self._refusing_replicas)
        self._ballots = copy.copy(self._ballots)
        self._next_request_id = next_request_id

    def awaits(self, message: m.QuorumMessage) -> bool:
        """Return whether a message belongs to the current phase."""
        return message.request_id == self._request_id

    def vote_key(self, acceptor: str) -> tuple[str, bool]:
        """Return the proposer's knowledge of an acceptor as a key."""
        return repr(self._votes.get(acceptor)), acceptor in self._refusing_replicas

    def state_key(self) -> tuple[object, ...]:
        """Return the proposer's state without its votes as a key."""
        return (
            self._phase.value,
            self._current_ballot,
            self._ballots.last_round,
            repr(self._last_proposed),
            repr(self._accept_register),
            repr(self.outcome),
        )


class RegisterModel:
    """The state of two proposers, several acceptors and the messages between them."""

    def __init__(self, acceptors: int, retries: int) -> None:
        members = tuple(QuorumMember(str(index), f"disk {index}") for index in range(acceptors))
        quorum = Quorum("f", 1, members)
        self.acceptors = [
            Acceptor(str(index), AcceptorState(f"disk {index}"), "run") for index in range(acceptors)
        ]
        for acceptor in self.acceptors:
            acceptor.handle(m.InstallEpochRequest(0, quorum, {}))
        self._last_request_id = 0
        self.retries_left = [retries] * len(CHANGE_IDS)  # indexed by proposer
        self.chosen: frozenset[ChosenVersion] = frozenset()
        self.accepted: frozenset[tuple[int, Ballot]] = frozenset()  # (acceptor index, ballot) pairs
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
        """Replace the proposers by copies that take their request ids from this model."""
        self.proposers = [proposer.clone(self._next_request_id) for proposer in self.proposers]

    def state_key(self) -> tuple[object, ...]:
        """Return the state as a key; of request ids, it has only whether they belong to the current phase."""
        acceptors = sorted(self._acceptor_key(index) for index in range(len(self.acceptors)))
        proposers = tuple(proposer.state_key() for proposer in self.proposers)
        return (tuple(acceptors), proposers, tuple(self.retries_left), self.chosen)

    def _acceptor_key(self, index: int) -> tuple[object, ...]:
        """Return the state of an acceptor, its messages and its votes as a key, without its name."""
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
        """Yield each successor of this state."""
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
        """Deliver the message at an index of `in_flight`."""
        proposer, acceptor, is_request, message = self.in_flight.pop(index)
        if is_request:
            reply, _ = self.acceptors[acceptor].handle(message)  # type: ignore[arg-type]
            self.in_flight.append(InFlightMessage(proposer, acceptor, False, reply))
            self._record_chosen(acceptor)
        else:
            requests = self.proposers[proposer].handle_reply(str(acceptor), message)  # type: ignore[arg-type]
            self._send_requests(proposer, requests)

    def retry(self, index: int) -> None:
        """Start a new round of a proposer."""
        self.retries_left[index] -= 1
        self._send_requests(index, self.proposers[index].retry())

    def _record_chosen(self, index: int) -> None:
        """Record a value as chosen once a majority accepted it under one ballot, even at different times."""
        state = self.acceptors[index].state.register_states.get(REGISTER_KEY)
        if state is None or state.accepted_ballot == NO_BALLOT:
            return
        self.accepted |= {(index, state.accepted_ballot)}
        votes = sum(ballot == state.accepted_ballot for _, ballot in self.accepted)
        if votes > len(self.acceptors) // 2:
            self.chosen |= {_chosen_version(state.register)}

    def find_violation(self) -> str:
        """Return why the chosen versions form no chain or which outcome is wrong, or an empty string."""
        change_ids = {chosen.version: chosen.change_id for chosen in self.chosen}
        if len(change_ids) < len(self.chosen):
            return "two values of one version are chosen"
        if len(set(change_ids.values())) < len(self.chosen):
            return "a change is chosen twice"
        for chosen in self.chosen:
            if change_ids.get(chosen.version - 1, chosen.parent_change_id) != chosen.parent_change_id:
                return "a value is not derived from the version before it"
        for proposer in self.proposers:
            outcome = proposer.outcome
            if outcome is None or outcome.kind is not OutcomeKind.COMMITTED:
                continue
            if _chosen_version(outcome.register) not in self.chosen:
                return "a change that was not chosen is reported as committed"
        return ""

    def is_completed(self) -> bool:
        """Return whether each proposer knows that its change was committed."""
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
    """Explore the model of a register; each proposer may retry up to `retries` times."""
    model = RegisterModel(acceptors, retries)
    return explore_states(model, RegisterModel.successors, _count_register_state, max_states)


def _count_register_state(model: RegisterModel, result: ExplorationResult) -> None:
    if not model.in_flight:
        result.terminal_states += 1
        result.completed_states += model.is_completed()
