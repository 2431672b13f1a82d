"""One witness as a machine: an acceptor of CASPaxos (Rystsov 2018) for each name, and the epochs of its
quorum.

`handle` gives an answer and what has to be on the disk before that answer is said. The machine itself keeps
no file and knows no clock.

What keeps a storage from voting twice as one: its identity is in the quorum, so an emptied folder (a new
identity) does not vote at all; and it has to tell others its count of starts before it votes, who know of a
later one if the folder is an older copy.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from . import messages as m
from .messages import NO_BALLOT, SUCCESSOR_KEY, Quorum, RegisterState

MAX_KNOWN_STORAGES = 256  # storages whose starts are remembered: each replaced witness leaves one


@dataclass(slots=True)
class AcceptorState:
    """What a witness keeps; `start_count` counts the present one."""

    storage_id: str
    start_count: int = 1
    quorum: Quorum | None = None
    is_sealed: bool = False
    register_states: dict[str, RegisterState] = field(default_factory=dict)
    known_starts: dict[str, tuple[int, str]] = field(
        default_factory=dict
    )  # storage: highest count of starts, and its run


@dataclass(slots=True)
class StateChanges:
    """What has to be on the disk before the answer is said."""

    register_states: dict[str, RegisterState] = field(default_factory=dict)
    known_starts: dict[str, tuple[int, str]] = field(default_factory=dict)
    epoch_installed: bool = False  # quorum, seal and all slots anew
    epoch_sealed: bool = False

    def __bool__(self) -> bool:
        return bool(self.register_states or self.known_starts or self.epoch_installed or self.epoch_sealed)


class Acceptor:
    """Answers requests from what it keeps."""

    def __init__(self, name: str, state: AcceptorState, run_id: str) -> None:
        self.name, self.state, self.run_id = name, state, run_id
        self.is_stale_copy = False  # others know of later starts of this storage: it is an older copy
        self._acknowledged_by: set[str] = set()  # storages that have heard of this start before any later one
        self.is_voting = self._has_enough_acknowledgements()

    # -- meeting the others

    def _other_members(self) -> list[m.QuorumMember]:
        quorum = self.state.quorum
        return (
            []
            if quorum is None
            else [one for one in quorum.members if one.storage_id != self.state.storage_id]
        )

    def _has_enough_acknowledgements(self, wait_for_all: bool = False) -> bool:
        """Whether this start is known to so many others that they make a majority with this witness."""
        if self.state.quorum is None or self.is_stale_copy:
            return False
        known = {one.storage_id for one in self._other_members()} & self._acknowledged_by
        return len(known) >= (len(self._other_members()) if wait_for_all else self.state.quorum.majority - 1)

    def make_restart_check(self, request_id: int) -> m.RestartCheckRequest | None:
        """What the others are to be told, at the start and from time to time."""
        quorum = self.state.quorum
        if quorum is None:
            return None
        return m.RestartCheckRequest(
            request_id,
            quorum.fleet_id,
            self.state.storage_id,
            self.state.start_count,
            self.run_id,
            quorum.epoch,
        )

    def handle_restart_check_reply(self, reply: m.RestartCheckReply, wait_for_all: bool) -> StateChanges:
        """Another one's answer to the greeting. `wait_for_all`: wait for all of them still, not for enough of
        them.
        """
        changes = StateChanges()
        if reply.start_count > self.state.start_count or (
            reply.start_count == self.state.start_count and reply.run_id not in ("", self.run_id)
        ):
            self.is_stale_copy, self.is_voting = True, False
            return changes
        self._acknowledged_by.add(reply.storage_id)
        self.update_voting(wait_for_all)
        if self.is_voting and reply.quorum is not None:
            self._install_epoch(reply.quorum, reply.register_states, changes)
        return changes

    def update_voting(self, wait_for_all: bool) -> None:
        """Vote from now on, if enough others know of this start."""
        self.is_voting = self.is_voting or self._has_enough_acknowledgements(wait_for_all)

    def _handle_restart_check(self, request: m.RestartCheckRequest, changes: StateChanges) -> m.QuorumReply:
        starts, run = self.state.known_starts.get(request.storage_id, (0, ""))
        ours, missed, slots = self.state.quorum, None, dict[str, RegisterState]()
        ours_too = ours is not None and ours.fleet_id == request.fleet_id
        if (
            request.start_count > starts
            and ours_too
            and (starts or len(self.state.known_starts) < MAX_KNOWN_STORAGES)
        ):
            changes.known_starts[request.storage_id] = self.state.known_starts[request.storage_id] = (
                request.start_count,
                request.run_id,
            )
        if (
            self.is_voting and ours is not None and ours_too
        ):  # also a sealed one: else the next epoch might never come
            member = any(one.storage_id == request.storage_id for one in ours.members)
            if member and request.epoch < ours.epoch:
                # as if the messages of this epoch had only now come through to the one that asks
                missed, slots = ours, dict(self.state.register_states)
        return m.RestartCheckReply(request.request_id, self.state.storage_id, starts, run, missed, slots)

    # -- requests

    def handle(self, request: m.QuorumRequest, uptime_s: float = 0.0) -> tuple[m.QuorumReply, StateChanges]:
        """The answer, and what has to be on the disk before it is said."""
        changes = StateChanges()
        match request:
            case m.StatusRequest():
                return self._status_reply(request.request_id, uptime_s), changes
            case m.RestartCheckRequest():
                return self._handle_restart_check(request, changes), changes
            case m.InstallEpochRequest():
                return self._handle_install(request, changes), changes
        refused = self._refusal(request)
        return refused or self._handle_epoch_request(request, changes), changes

    def _refusal(self, request: m.EpochRequest) -> m.QuorumReply | None:
        ours = self.state.quorum
        if ours is not None and request.fleet_id != ours.fleet_id:
            return m.UnavailableReply(request.request_id, self.state.storage_id, "another fleet")
        if not self.is_voting:
            why = "an older copy" if self.is_stale_copy else "no quorum" if ours is None else "not met"
            return m.UnavailableReply(request.request_id, self.state.storage_id, why)
        if ours is None or request.epoch != ours.epoch:
            return m.WrongEpochReply(request.request_id, self.state.storage_id, ours, self.state.is_sealed)
        successor = (
            isinstance(request, m.PrepareRequest | m.AcceptRequest | m.ReadRequest)
            and request.key == SUCCESSOR_KEY
        )
        if successor != self.state.is_sealed and not isinstance(request, m.SealEpochRequest):
            return m.WrongEpochReply(request.request_id, self.state.storage_id, ours, self.state.is_sealed)
        return None

    def _handle_epoch_request(self, request: m.EpochRequest, changes: StateChanges) -> m.QuorumReply:
        number, storage = request.request_id, self.state.storage_id
        match request:
            case m.PrepareRequest():
                return self._prepare(request, changes)
            case m.AcceptRequest():
                return self._accept(request, changes)
            case m.ReadRequest():
                slot = self.state.register_states.get(request.key, RegisterState())
                return m.ReadReply(number, storage, slot.accepted_ballot, slot.register)
            case m.ListKeysRequest():
                names = tuple(
                    key
                    for key in self.state.register_states
                    if key.startswith(request.key_prefix) and key != SUCCESSOR_KEY
                )
                return m.ListKeysReply(number, storage, names)
            case m.SealEpochRequest():
                changes.epoch_sealed = not self.state.is_sealed
                self.state.is_sealed = True
                slots = {
                    key: slot for key, slot in self.state.register_states.items() if key != SUCCESSOR_KEY
                }
                return m.SealEpochReply(number, storage, slots)
        return m.UnavailableReply(number, storage, "not known")

    def _prepare(self, request: m.PrepareRequest, changes: StateChanges) -> m.QuorumReply:
        slot = self.state.register_states.get(request.key, RegisterState())
        if request.ballot < slot.promised_ballot:
            return m.BallotConflictReply(request.request_id, self.state.storage_id, slot.promised_ballot)
        if (
            request.key not in self.state.register_states
            and len(self.state.register_states) >= m.MAX_REGISTERS
        ):
            return m.UnavailableReply(request.request_id, self.state.storage_id, "too many registers")
        if request.ballot > slot.promised_ballot:
            self._store_register(
                request.key, RegisterState(request.ballot, slot.accepted_ballot, slot.register), changes
            )
        return m.PromiseReply(request.request_id, self.state.storage_id, slot.accepted_ballot, slot.register)

    def _accept(self, request: m.AcceptRequest, changes: StateChanges) -> m.QuorumReply:
        slot = self.state.register_states.get(request.key, RegisterState())
        if request.ballot < slot.promised_ballot:
            return m.BallotConflictReply(request.request_id, self.state.storage_id, slot.promised_ballot)
        # the choice of a quorum holds all registers, so it is bounded by the frame alone
        if len(request.key) > m.MAX_KEY_LENGTH or (
            len(request.register.value) > m.MAX_VALUE_BYTES and request.key != SUCCESSOR_KEY
        ):
            return m.UnavailableReply(request.request_id, self.state.storage_id, "too large")
        if request.ballot == slot.accepted_ballot and request.register != slot.register:
            # guards against a caller that uses a ballot for two values: neither is to be chosen by it
            return m.UnavailableReply(request.request_id, self.state.storage_id, "ballot used twice")
        if request.ballot > slot.accepted_ballot:
            self._store_register(
                request.key, RegisterState(request.ballot, request.ballot, request.register), changes
            )
        return m.AcceptReply(request.request_id, self.state.storage_id)

    def _store_register(self, key: str, register_state: RegisterState, changes: StateChanges) -> None:
        self.state.register_states[key] = changes.register_states[key] = register_state

    # -- epochs

    def _handle_install(self, request: m.InstallEpochRequest, changes: StateChanges) -> m.QuorumReply:
        ours, storage = self.state.quorum, self.state.storage_id
        if ours is not None and (request.quorum.fleet_id != ours.fleet_id or not self.is_voting):
            return m.UnavailableReply(
                request.request_id, storage, "another fleet" if self.is_voting else "not met"
            )
        if not request.quorum.has_member(self.name, storage):
            return m.UnavailableReply(request.request_id, storage, "not a member")
        if ours is not None and request.quorum.epoch < ours.epoch:
            return m.WrongEpochReply(request.request_id, storage, ours, self.state.is_sealed)
        if ours is None:
            self.is_voting = True  # nobody has counted on this storage yet
        self._install_epoch(request.quorum, request.register_states, changes)
        return m.AcceptReply(request.request_id, storage)

    def _install_epoch(
        self, quorum: Quorum, register_states: dict[str, RegisterState], changes: StateChanges
    ) -> None:
        ours = self.state.quorum
        if ours is None or quorum.epoch > ours.epoch:
            self.state.quorum, self.state.is_sealed = quorum, False
            carried_over = {key: slot for key, slot in register_states.items() if key != SUCCESSOR_KEY}
            self.state.register_states = carried_over
            changes.epoch_installed = True

    def _status_reply(self, request_id: int, uptime_s: float) -> m.StatusReply:
        saved = self.state
        return m.StatusReply(
            request_id,
            saved.storage_id,
            self.name,
            saved.start_count,
            self.is_voting,
            saved.is_sealed,
            saved.quorum,
            len(saved.register_states),
            uptime_s,
        )


def merge_register_states(sealed_states: list[dict[str, RegisterState]]) -> dict[str, RegisterState]:
    """Of what a majority keeps, the last that may have been chosen of each name; promises end with the
    epoch.
    """
    last: dict[str, RegisterState] = {}
    for slots in sealed_states:
        for key, slot in slots.items():
            if (
                slot.accepted_ballot != NO_BALLOT
                and slot.accepted_ballot > last.get(key, RegisterState()).accepted_ballot
            ):
                last[key] = RegisterState(slot.accepted_ballot, slot.accepted_ballot, slot.register)
    return last
