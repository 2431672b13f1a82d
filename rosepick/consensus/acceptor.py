"""The acceptor of one replica: runs CASPaxos (Rystsov 2018) for each register, and the epochs of its quorum.

`Acceptor.handle` returns a reply and the changes that must be durable before that reply is sent. The
acceptor does no I/O and reads no clock.

Two rules keep a replica from voting on lost or outdated state:

- The identity of its storage is part of the quorum. An emptied folder gets a new identity, so it does not
  vote.
- The replica announces its start count to the other replicas before it votes (the restart check). If its
  folder was rolled back to an older copy, the others know of a later start and it does not vote.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from . import messages
from .messages import NO_BALLOT, SUCCESSOR_KEY, Quorum, RefusalReason, RegisterState

# Limit of `AcceptorState.known_starts`: each replaced replica leaves the entry of its old storage behind.
MAX_KNOWN_STORAGES = 256


class StorageStart(NamedTuple):
    """Identifies the latest start that the replica with a given storage has announced."""

    start_count: int
    run_id: str


_NEVER_STARTED = StorageStart(0, "")


@dataclass(slots=True)
class AcceptorState:
    """Holds the durable state of an acceptor; `start_count` includes the current start."""

    storage_id: str
    start_count: int = 1
    quorum: Quorum | None = None
    is_sealed: bool = False
    register_states: dict[str, RegisterState] = field(default_factory=dict)
    known_starts: dict[str, StorageStart] = field(default_factory=dict)  # by storage id


@dataclass(slots=True)
class StateChanges:
    """Lists the state that must be stored before a reply is sent; it is false if there is none."""

    register_states: dict[str, RegisterState] = field(default_factory=dict)
    known_starts: dict[str, StorageStart] = field(default_factory=dict)
    epoch_installed: bool = False  # the quorum, the seal and all registers are replaced
    epoch_sealed: bool = False

    def __bool__(self) -> bool:
        return bool(self.register_states or self.known_starts or self.epoch_installed or self.epoch_sealed)


class AcceptorResult(NamedTuple):
    """Holds the reply to a request and the changes that must be stored before the reply is sent."""

    reply: messages.QuorumReply
    changes: StateChanges


class Acceptor:
    """Answers requests to one replica from its durable state; `run_id` is drawn at random at each start."""

    def __init__(self, name: str, state: AcceptorState, run_id: str) -> None:
        self.name = name
        self.state = state
        self.run_id = run_id
        self.is_stale_copy = False  # the storage was rolled back: another replica knows of a later start
        self._acknowledged_by: set[str] = set()  # storages that know of this start, and of no later one
        self.is_voting = self._has_enough_acknowledgements()

    # -- restart check

    def _other_members(self) -> list[messages.QuorumMember]:
        if self.state.quorum is None:
            return []
        return [member for member in self.state.quorum.members if member.storage_id != self.state.storage_id]

    def _has_enough_acknowledgements(self, wait_for_all: bool = False) -> bool:
        """Return whether enough other members know of this start: all, or a majority with this replica."""
        if self.state.quorum is None or self.is_stale_copy:
            return False
        others = self._other_members()
        acknowledged = self._acknowledged_by & {member.storage_id for member in others}
        required = len(others) if wait_for_all else self.state.quorum.majority - 1
        return len(acknowledged) >= required

    def make_restart_check(self, request_id: int) -> messages.RestartCheckRequest | None:
        """Return the announcement of this start to all other members; None before the first epoch."""
        quorum = self.state.quorum
        if quorum is None:
            return None
        return messages.RestartCheckRequest(
            request_id,
            quorum.fleet_id,
            self.state.storage_id,
            self.state.start_count,
            self.run_id,
            quorum.epoch,
        )

    def handle_restart_check_reply(
        self, reply: messages.RestartCheckReply, wait_for_all: bool
    ) -> StateChanges:
        """Record another replica's reply to the announcement of this start.

        Args:
            reply: The reply.
            wait_for_all: Whether to vote only once all other members have replied; otherwise, the replies
                of a majority (with this replica) are enough.

        Returns:
            The changes to store before this replica votes, if the reply contained a later epoch.
        """
        changes = StateChanges()
        if reply.start_count > self.state.start_count or (
            reply.start_count == self.state.start_count and reply.run_id not in ("", self.run_id)
        ):
            self.is_stale_copy = True
            self.is_voting = False
            return changes
        self._acknowledged_by.add(reply.storage_id)
        self.update_voting(wait_for_all)
        if self.is_voting and reply.quorum is not None:
            self._install_epoch(reply.quorum, reply.register_states, changes)
        return changes

    def update_voting(self, wait_for_all: bool) -> None:
        """Start voting if enough other members know of this start; a voting replica continues to vote."""
        self.is_voting = self.is_voting or self._has_enough_acknowledgements(wait_for_all)

    def _handle_restart_check(
        self, request: messages.RestartCheckRequest, changes: StateChanges
    ) -> messages.QuorumReply:
        known = self.state.known_starts.get(request.storage_id, _NEVER_STARTED)
        quorum = self.state.quorum
        missed_quorum: Quorum | None = None
        missed_states: dict[str, RegisterState] = {}
        if quorum is not None and quorum.fleet_id == request.fleet_id:
            self._record_start(request, known, changes)
            # A sealed replica does this too: otherwise the sender might never reach the next epoch.
            if self.is_voting and request.epoch < quorum.epoch and quorum.has_storage(request.storage_id):
                # This is safe: it is as if the messages of this epoch had reached the sender only now.
                missed_quorum = quorum
                missed_states = dict(self.state.register_states)
        return messages.RestartCheckReply(
            request.request_id,
            self.state.storage_id,
            known.start_count,
            known.run_id,
            missed_quorum,
            missed_states,
        )

    def _record_start(
        self, request: messages.RestartCheckRequest, known: StorageStart, changes: StateChanges
    ) -> None:
        """Record an announced start that is later than the known one; a new storage only up to the limit."""
        is_known_storage = known.start_count > 0
        if not is_known_storage and len(self.state.known_starts) >= MAX_KNOWN_STORAGES:
            return
        if request.start_count > known.start_count:
            start = StorageStart(request.start_count, request.run_id)
            self.state.known_starts[request.storage_id] = start
            changes.known_starts[request.storage_id] = start

    # -- requests

    def handle(self, request: messages.QuorumRequest, uptime_s: float = 0.0) -> AcceptorResult:
        """Handle a request; the returned changes must be stored before the reply is sent."""
        changes = StateChanges()
        match request:
            case messages.StatusRequest():
                return AcceptorResult(self._status_reply(request.request_id, uptime_s), changes)
            case messages.RestartCheckRequest():
                return AcceptorResult(self._handle_restart_check(request, changes), changes)
            case messages.InstallEpochRequest():
                return AcceptorResult(self._handle_install(request, changes), changes)
        refusal = self._refusal_reply(request)
        if refusal is not None:
            return AcceptorResult(refusal, changes)
        return AcceptorResult(self._handle_epoch_request(request, changes), changes)

    def _refuse(self, request: messages.QuorumMessage, reason: RefusalReason) -> messages.UnavailableReply:
        return messages.UnavailableReply(request.request_id, self.state.storage_id, reason.value)

    def _wrong_epoch_reply(self, request: messages.QuorumMessage) -> messages.WrongEpochReply:
        return messages.WrongEpochReply(
            request.request_id, self.state.storage_id, self.state.quorum, self.state.is_sealed
        )

    def _refusal_reply(self, request: messages.EpochRequest) -> messages.QuorumReply | None:
        """Return the reply that refuses a request; None if this replica may vote on the request."""
        quorum = self.state.quorum
        if quorum is not None and request.fleet_id != quorum.fleet_id:
            return self._refuse(request, RefusalReason.OTHER_FLEET)
        if not self.is_voting:
            return self._refuse(request, self._not_voting_reason())
        if quorum is None or request.epoch != quorum.epoch:
            return self._wrong_epoch_reply(request)
        is_for_successor = (
            isinstance(request, messages.PrepareRequest | messages.AcceptRequest | messages.ReadRequest)
            and request.key == SUCCESSOR_KEY
        )
        if is_for_successor != self.state.is_sealed and not isinstance(request, messages.SealEpochRequest):
            return self._wrong_epoch_reply(request)
        return None

    def _not_voting_reason(self) -> RefusalReason:
        if self.is_stale_copy:
            return RefusalReason.STALE_COPY
        if self.state.quorum is None:
            return RefusalReason.NO_QUORUM
        return RefusalReason.RESTART_NOT_CHECKED

    def _handle_epoch_request(
        self, request: messages.EpochRequest, changes: StateChanges
    ) -> messages.QuorumReply:
        match request:
            case messages.PrepareRequest():
                return self._prepare(request, changes)
            case messages.AcceptRequest():
                return self._accept(request, changes)
            case messages.ReadRequest():
                register_state = self._register_state(request.key)
                return messages.ReadReply(
                    request.request_id,
                    self.state.storage_id,
                    register_state.accepted_ballot,
                    register_state.register,
                )
            case messages.ListKeysRequest():
                return self._list_keys(request)
            case messages.SealEpochRequest():
                return self._seal(request, changes)
        return self._refuse(request, RefusalReason.UNKNOWN_REQUEST)

    # -- registers

    def _register_state(self, key: str) -> RegisterState:
        return self.state.register_states.get(key, RegisterState())

    def _store_register(self, key: str, register_state: RegisterState, changes: StateChanges) -> None:
        self.state.register_states[key] = register_state
        changes.register_states[key] = register_state

    def _prepare(self, request: messages.PrepareRequest, changes: StateChanges) -> messages.QuorumReply:
        current = self._register_state(request.key)
        if request.ballot < current.promised_ballot:
            return messages.BallotConflictReply(
                request.request_id, self.state.storage_id, current.promised_ballot
            )
        is_new = request.key not in self.state.register_states
        if is_new and len(self.state.register_states) >= messages.MAX_REGISTERS:
            return self._refuse(request, RefusalReason.TOO_MANY_REGISTERS)
        if request.ballot > current.promised_ballot:
            promised = RegisterState(request.ballot, current.accepted_ballot, current.register)
            self._store_register(request.key, promised, changes)
        return messages.PromiseReply(
            request.request_id, self.state.storage_id, current.accepted_ballot, current.register
        )

    def _accept(self, request: messages.AcceptRequest, changes: StateChanges) -> messages.QuorumReply:
        current = self._register_state(request.key)
        if request.ballot < current.promised_ballot:
            return messages.BallotConflictReply(
                request.request_id, self.state.storage_id, current.promised_ballot
            )
        # the successor's value contains all registers, so it is limited only by the size of a frame
        is_too_large = len(request.register.value) > messages.MAX_VALUE_BYTES and request.key != SUCCESSOR_KEY
        if len(request.key) > messages.MAX_KEY_LENGTH or is_too_large:
            return self._refuse(request, RefusalReason.TOO_LARGE)
        if request.ballot == current.accepted_ballot and request.register != current.register:
            # A proposer has used one ballot for two values. The ballot must not choose the second one.
            return self._refuse(request, RefusalReason.BALLOT_REUSED)
        if request.ballot > current.accepted_ballot:
            accepted = RegisterState(request.ballot, request.ballot, request.register)
            self._store_register(request.key, accepted, changes)
        return messages.AcceptReply(request.request_id, self.state.storage_id)

    def _list_keys(self, request: messages.ListKeysRequest) -> messages.ListKeysReply:
        keys = tuple(
            key
            for key in self.state.register_states
            if key.startswith(request.key_prefix) and key != SUCCESSOR_KEY
        )
        return messages.ListKeysReply(request.request_id, self.state.storage_id, keys)

    # -- epochs

    def _seal(self, request: messages.SealEpochRequest, changes: StateChanges) -> messages.SealEpochReply:
        changes.epoch_sealed = not self.state.is_sealed
        self.state.is_sealed = True
        sealed_states = _without_successor(self.state.register_states)
        return messages.SealEpochReply(request.request_id, self.state.storage_id, sealed_states)

    def _handle_install(
        self, request: messages.InstallEpochRequest, changes: StateChanges
    ) -> messages.QuorumReply:
        current = self.state.quorum
        if current is not None and not self.is_voting:
            return self._refuse(request, RefusalReason.RESTART_NOT_CHECKED)
        if current is not None and request.quorum.fleet_id != current.fleet_id:
            return self._refuse(request, RefusalReason.OTHER_FLEET)
        if not request.quorum.has_member(self.name, self.state.storage_id):
            return self._refuse(request, RefusalReason.NOT_A_MEMBER)
        if current is not None and request.quorum.epoch < current.epoch:
            return self._wrong_epoch_reply(request)
        if current is None:
            self.is_voting = True  # no quorum has counted a vote of this storage yet
        self._install_epoch(request.quorum, request.register_states, changes)
        return messages.AcceptReply(request.request_id, self.state.storage_id)

    def _install_epoch(
        self, quorum: Quorum, register_states: dict[str, RegisterState], changes: StateChanges
    ) -> None:
        """Replace the quorum and the registers by those of an epoch, if it is later than the current one."""
        current = self.state.quorum
        if current is None or quorum.epoch > current.epoch:
            self.state.quorum = quorum
            self.state.is_sealed = False
            self.state.register_states = _without_successor(register_states)
            changes.epoch_installed = True

    # -- status

    def _status_reply(self, request_id: int, uptime_s: float) -> messages.StatusReply:
        return messages.StatusReply(
            request_id,
            self.state.storage_id,
            self.name,
            self.state.start_count,
            self.is_voting,
            self.state.is_sealed,
            self.state.quorum,
            len(self.state.register_states),
            uptime_s,
        )


def _without_successor(register_states: dict[str, RegisterState]) -> dict[str, RegisterState]:
    return {key: state for key, state in register_states.items() if key != SUCCESSOR_KEY}


def merge_register_states(sealed_states: list[dict[str, RegisterState]]) -> dict[str, RegisterState]:
    """Merge the states of a sealed majority: for each register, take the value with the highest ballot.

    Any value that was chosen in the epoch is among them. Promises end with the epoch, so each register starts
    with the ballot under which its value was accepted.
    """
    merged: dict[str, RegisterState] = {}
    for register_states in sealed_states:
        for key, state in register_states.items():
            if state.accepted_ballot == NO_BALLOT:
                continue
            if state.accepted_ballot > merged.get(key, RegisterState()).accepted_ballot:
                merged[key] = RegisterState(state.accepted_ballot, state.accepted_ballot, state.register)
    return merged
