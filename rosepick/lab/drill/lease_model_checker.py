"""Explicit-state model checking of a lease with two clients, one register and discrete time steps.

The model assumes that the register is linearizable, which `model_checker` checks separately. These steps
occur in any order: a client starts an operation; the operation takes effect; its reply is delivered or lost;
a change whose reply was lost takes effect later or never; a client pauses, or restarts under the same name;
time advances. In each state, at most one client may act.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ...consensus.messages import Register
from ...consensus.proposer import ChangeRejectedError, OperationOutcome, OutcomeKind, RegisterChange
from ...leases.lease_client import LeaseClient, LeaseConfig
from .model_checker import MAX_STATES, ExplorationResult, explore_states

STEP_MS = 1_000.0
CLIENT_NAMES = ("a", "b")
UNCOMPARED_CLIENT_FIELDS = ("_jitter", "config")  # the same in all states


@dataclass(frozen=True, slots=True)
class ModelBounds:
    """The bounds of the explored states.

    Attributes:
        horizon: number of time steps.
        ttl: time to live of the lease, in time steps.
        lost_replies: maximum number of lost replies.
        restarts: maximum number of client restarts.
        releases: maximum number of releases of the lease.
    """

    horizon: int = 7
    ttl: int = 3
    lost_replies: int = 1
    restarts: int = 1
    releases: int = 1


DEFAULT_BOUNDS = ModelBounds()


class PendingOperation(NamedTuple):
    """An operation whose reply was not yet delivered; it is a read if `change` is None."""

    change: RegisterChange | None
    outcome: OperationOutcome | None  # None until the operation takes effect


class AbandonedChange(NamedTuple):
    """A change that may still take effect although its client no longer waits for it."""

    owner_id: int
    change: RegisterChange


class LeaseModel:
    """The state of two clients of a lease and of its register."""

    def __init__(self, bounds: ModelBounds) -> None:
        self.bounds = bounds
        self.now = 0  # in time steps
        self.register = Register()
        self.lost_replies_left = bounds.lost_replies
        self.restarts_left = bounds.restarts
        self.releases_left = bounds.releases
        self.last_owner_id = 0
        self.clients = [self._create_client(name) for name in CLIENT_NAMES]
        self.pending_operations: list[PendingOperation | None] = [None] * len(CLIENT_NAMES)  # by client
        self.abandoned_changes: list[AbandonedChange] = []

    def _create_client(self, name: str) -> LeaseClient:
        self.last_owner_id += 1
        config = LeaseConfig(self.bounds.ttl * STEP_MS, 0.0)
        return LeaseClient("t", name, self.last_owner_id, config, lambda: 0.5)

    @property
    def now_ms(self) -> float:
        """The time in milliseconds."""
        return self.now * STEP_MS

    def clone(self) -> LeaseModel:
        """Return an independent model in the same state."""
        clone = copy.copy(self)
        clone.clients = [copy.copy(client) for client in self.clients]
        clone.pending_operations = list(self.pending_operations)
        clone.abandoned_changes = list(self.abandoned_changes)
        return clone

    def state_key(self) -> tuple[object, ...]:
        """Return the state as a key."""
        clients = tuple(_client_key(client) for client in self.clients)
        # a client's state determines the kind of its change, and that of abandoned ones does not matter
        pending = tuple(
            None if operation is None else (operation.change is None, repr(operation.outcome))
            for operation in self.pending_operations
        )
        abandoned = tuple(abandoned.owner_id for abandoned in self.abandoned_changes)
        counts_left = (self.lost_replies_left, self.restarts_left, self.releases_left, self.last_owner_id)
        return (self.now, self.register, clients, pending, abandoned, counts_left)

    def successors(self) -> Iterator[LeaseModel]:
        """Yield each successor of this state."""
        if self.now < self.bounds.horizon:
            successor = self.clone()
            successor.now += 1
            yield successor
        for index in range(len(self.clients)):
            yield from self._client_successors(index)
        for index in range(len(self.abandoned_changes)):
            successor = self.clone()
            successor.apply_abandoned_change(index)
            yield successor

    def _client_successors(self, index: int) -> Iterator[LeaseModel]:
        pending = self.pending_operations[index]
        if pending is None:
            successor = self.clone()
            if successor.start_operation(index):
                yield successor
        else:
            yield from self._operation_successors(index, pending)
        if self.restarts_left:
            successor = self.clone()
            successor.restart_client(index)
            yield successor
        if self.releases_left and self.clients[index].token:
            successor = self.clone()
            successor.release_lease(index)
            yield successor

    def _operation_successors(self, index: int, pending: PendingOperation) -> Iterator[LeaseModel]:
        successor = self.clone()
        if pending.outcome is None:
            successor.apply_operation(index, pending)
        else:
            successor.deliver_outcome(index, pending.outcome)
        yield successor
        if self.lost_replies_left:
            successor = self.clone()
            successor.lose_reply(index)
            yield successor

    # -- steps

    def start_operation(self, index: int) -> bool:
        """Start the next operation of a client; return False if it has none."""
        operation = self.clients[index].next_operation(self.now_ms)
        if operation is None:
            return False
        self.pending_operations[index] = PendingOperation(operation.change, None)
        return True

    def apply_operation(self, index: int, pending: PendingOperation) -> None:
        """Apply the pending operation of a client to the register."""
        outcome = self._apply_change(pending.change)
        self.pending_operations[index] = PendingOperation(pending.change, outcome)

    def deliver_outcome(self, index: int, outcome: OperationOutcome) -> None:
        """Deliver the outcome of a client's pending operation."""
        self.pending_operations[index] = None
        self.clients[index].handle_outcome(self.now_ms, outcome)

    def lose_reply(self, index: int) -> None:
        """Lose the reply to a client's operation; the client stops waiting for it."""
        self.lost_replies_left -= 1
        self._abandon_operation(index)
        self.clients[index].handle_outcome(self.now_ms, OperationOutcome(OutcomeKind.UNKNOWN))

    def restart_client(self, index: int) -> None:
        """Replace a client by a new one with the same name."""
        self.restarts_left -= 1
        self._abandon_operation(index)
        self.clients[index] = self._create_client(CLIENT_NAMES[index])

    def release_lease(self, index: int) -> None:
        """Release the lease of a client."""
        self.releases_left -= 1
        self.clients[index].release()

    def apply_abandoned_change(self, index: int) -> None:
        """Apply a change whose client no longer waits for it."""
        self._apply_change(self.abandoned_changes.pop(index).change)

    def _apply_change(self, change: RegisterChange | None) -> OperationOutcome:
        if change is None:
            return OperationOutcome(OutcomeKind.UNCHANGED, self.register)
        try:
            value = change(self.register)
        except ChangeRejectedError:
            return OperationOutcome(OutcomeKind.UNCHANGED, self.register)
        self.register = Register(self.register.version + 1, "", value)
        return OperationOutcome(OutcomeKind.COMMITTED, self.register)

    def _abandon_operation(self, index: int) -> None:
        """Remove a client's pending operation; a change that has not taken effect may still do so."""
        pending = self.pending_operations[index]
        self.pending_operations[index] = None
        if pending is not None and pending.change is not None and pending.outcome is None:
            owner_id = self.clients[index].owner_id
            self.abandoned_changes.append(AbandonedChange(owner_id, pending.change))

    def find_violation(self) -> str:
        """Return a message if two clients may act in this state, or an empty string."""
        acting = [client for client in self.clients if client.may_act(self.now_ms)]
        if len(acting) > 1:
            return f"two clients may act at step {self.now}: tokens {acting[0].token} and {acting[1].token}"
        return ""


def _client_key(client: LeaseClient) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, repr(value)) for name, value in vars(client).items() if name not in UNCOMPARED_CLIENT_FIELDS
    )


def explore_leases(bounds: ModelBounds = DEFAULT_BOUNDS, max_states: int = MAX_STATES) -> ExplorationResult:
    """Explore the model of a lease with two clients."""
    return explore_states(LeaseModel(bounds), LeaseModel.successors, _count_lease_state, max_states)


def _count_lease_state(model: LeaseModel, result: ExplorationResult) -> None:
    result.completed_states += any(client.may_act(model.now_ms) for client in model.clients)
    result.terminal_states += model.now == model.bounds.horizon
