"""Small worlds of leases explored completely: two contenders, one register, time in whole steps.

The register is one that can be relied on (`explore.py` shows that it is). What may happen in any order: a
question is asked, takes effect, is answered; an answer is lost, and its change takes effect then, later or
never; a contender stands still for as long as it likes, or starts anew under its name; time goes on. In each
state at most one contender is told that it may act.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass

from ...consensus.messages import Register
from ...consensus.proposer import ChangeRejectedError, OperationOutcome, OutcomeKind, RegisterChange
from ...leases.lease_client import LeaseClient, LeaseConfig
from .model_checker import ExplorationResult, explore_states

STEP_MS = 1_000.0  # milliseconds


@dataclass(frozen=True, slots=True)
class ModelBounds:
    """How large the world is: steps of time, of the time to live, lost answers, starts anew, releases."""

    horizon: int = 7
    ttl: int = 3
    lost_replies: int = 1
    restarts: int = 1
    releases: int = 1


class LeaseModel:
    """Two contenders and a register."""

    def __init__(self, bounds: ModelBounds) -> None:
        self.bounds = bounds
        self.now = 0
        self.register = Register()
        self.lost_replies_left, self.restarts_left, self.releases_left = (
            bounds.lost_replies,
            bounds.restarts,
            bounds.releases,
        )
        self.last_owner_id = 0
        self.clients = [self._create_client(name) for name in "ab"]
        # a question that is open: its change, and its outcome once it has taken effect
        self.pending_operations: list[tuple[RegisterChange | None, OperationOutcome | None] | None] = [
            None,
            None,
        ]
        self.abandoned_changes: list[tuple[int, RegisterChange]] = []  # changes whose askers have given up

    def _create_client(self, name: str) -> LeaseClient:
        self.last_owner_id += 1
        return LeaseClient(
            "t", name, self.last_owner_id, LeaseConfig(self.bounds.ttl * STEP_MS, 0.0), lambda: 0.5
        )

    @property
    def _now_ms(self) -> float:
        return self.now * STEP_MS

    def clone(self) -> LeaseModel:
        """Another one in the same state."""
        other = copy.copy(self)
        other.clients = [copy.copy(one) for one in self.clients]
        other.pending_operations, other.abandoned_changes = (
            list(self.pending_operations),
            list(self.abandoned_changes),
        )
        return other

    def state_key(self) -> tuple[object, ...]:
        """The state."""
        contenders = tuple(
            tuple(
                (name, repr(value)) for name, value in vars(one).items() if name not in ("_jitter", "config")
            )
            for one in self.clients
        )
        # the kind of a change follows from what its asker asks for, or, of a stray one, from what it asked
        # for
        opened = tuple(
            None if one is None else (one[0] is None, repr(one[1])) for one in self.pending_operations
        )
        stray = tuple(who for who, _ in self.abandoned_changes)
        left = self.lost_replies_left, self.restarts_left, self.releases_left, self.last_owner_id
        return (self.now, self.register, contenders, opened, stray, left)

    def _take_effect(self, change: RegisterChange | None) -> OperationOutcome:
        if change is None:
            return OperationOutcome(OutcomeKind.UNCHANGED, self.register)
        try:
            value = change(self.register)
        except ChangeRejectedError:
            return OperationOutcome(OutcomeKind.UNCHANGED, self.register)
        self.register = Register(self.register.version + 1, "", value)
        return OperationOutcome(OutcomeKind.COMMITTED, self.register)

    def successors(self) -> Iterator[LeaseModel]:
        """Each state that may come next."""
        if self.now < self.bounds.horizon:
            other = self.clone()
            other.now += 1
            yield other
        for index in range(len(self.clients)):
            yield from self._client_successors(index)
        for index in range(len(self.abandoned_changes)):
            other = self.clone()
            other._take_effect(other.abandoned_changes.pop(index)[1])
            yield other

    def _client_successors(self, index: int) -> Iterator[LeaseModel]:
        opened = self.pending_operations[index]
        if opened is None:
            other = self.clone()
            ask = other.clients[index].next_operation(self._now_ms)
            if ask is not None:
                other.pending_operations[index] = ask.change, None
                yield other
        else:
            yield from self._reply_successors(index, *opened)
        if self.restarts_left:
            other = self.clone()
            other.restarts_left -= 1
            other._abandon_operation(index)
            other.clients[index] = other._create_client("ab"[index])
            yield other
        if self.releases_left and self.clients[index].token:
            other = self.clone()
            other.releases_left -= 1
            other.clients[index].release()
            yield other

    def _reply_successors(
        self, index: int, change: RegisterChange | None, outcome: OperationOutcome | None
    ) -> Iterator[LeaseModel]:
        other = self.clone()
        if outcome is None:
            other.pending_operations[index] = change, other._take_effect(change)
        else:
            other.pending_operations[index] = None
            other.clients[index].handle_outcome(self._now_ms, outcome)
        yield other
        if self.lost_replies_left:
            other = self.clone()
            other.lost_replies_left -= 1
            other._abandon_operation(index)
            other.clients[index].handle_outcome(self._now_ms, OperationOutcome(OutcomeKind.UNKNOWN))
            yield other

    def _abandon_operation(self, index: int) -> None:
        """The answer does not come any more; the change may still take effect."""
        opened, self.pending_operations[index] = self.pending_operations[index], None
        if opened is not None and opened[0] is not None and opened[1] is None:
            self.abandoned_changes.append((self.clients[index].owner_id, opened[0]))

    def find_violation(self) -> str:
        """Why the claim does not hold in this state."""
        acting = [one for one in self.clients if one.may_act(self._now_ms)]
        if len(acting) > 1:
            return f"two may act at step {self.now}, under tokens {acting[0].token} and {acting[1].token}"
        return ""


def explore_leases(bounds: ModelBounds = ModelBounds(), max_states: int = 5_000_000) -> ExplorationResult:  # noqa: B008
    """Two contenders, in every order."""

    def look(world: LeaseModel, found: ExplorationResult) -> None:
        found.completed_states += any(one.may_act(world._now_ms) for one in world.clients)
        found.terminal_states += world.now == bounds.horizon

    return explore_states(LeaseModel(bounds), LeaseModel.successors, look, max_states)
