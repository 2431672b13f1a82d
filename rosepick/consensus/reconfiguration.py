"""Reconfiguration: replaces a quorum by the quorum of the next epoch, in three phases.

    SEAL      A majority of the old replicas stops voting in the old epoch. No new value can be chosen in it,
              and every value that was chosen is among those that this majority has stored.
    CHOOSE    The new quorum and its initial registers are one value. The sealed replicas choose it like the
              value of any register, so concurrent reconfigurations agree on one successor.
    INSTALL   Each new replica starts with these registers.

This is the technique of stopping a replicated state machine by an agreed last command (Lamport, Malkhi and
Zhou 2010), with registers in place of a log.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from . import messages
from .acceptor import merge_register_states
from .messages import SUCCESSOR_KEY, Quorum, QuorumMember, Register, RegisterState
from .proposer import (
    BallotGenerator,
    ChangeRejectedError,
    OutcomeKind,
    OutgoingRequest,
    OutgoingRequests,
    Proposer,
    RegisterCommand,
)


class SuccessorQuorum(msgspec.Struct, frozen=True, array_like=True):
    """Holds the value that is chosen: the next quorum and its initial registers."""

    quorum: Quorum
    register_states: dict[str, RegisterState]


class ReconfigurationPhase(Enum):
    """Says which replies a reconfiguration waits for."""

    SEAL = "seal"
    CHOOSE = "choose"
    INSTALL = "install"
    DONE = "done"


def check_member_change(old_quorum: Quorum, members: tuple[QuorumMember, ...]) -> str:
    """Check whether a quorum may be replaced by one with these members.

    At most one replica may join and at most one may leave; a replica with a new storage does both.

    Returns:
        The reason for the operator why the change is not allowed; empty if it is allowed.
    """
    names = {member.name for member in members}
    storages = {member.storage_id for member in members}
    if len(names) < len(members) or len(storages) < len(members):
        return "a replica would vote twice"
    if not members or len(members) > max(messages.QUORUM_SIZES):
        return f"{len(members)} replicas; a quorum has 1 to {max(messages.QUORUM_SIZES)}"
    joining = set(members) - set(old_quorum.members)
    leaving = set(old_quorum.members) - set(members)
    if len(joining) > 1 or len(leaving) > 1:
        return "only one replica may join or leave at a time"
    return ""


class QuorumReconfiguration:
    """Replaces a quorum by the next one; driven like a `Proposer` until `phase` is DONE.

    With `members` None it completes a reconfiguration that another client may have begun: it installs the
    successor that was chosen already, or else a new epoch with the same members.
    """

    def __init__(
        self,
        old_quorum: Quorum,
        members: tuple[QuorumMember, ...] | None,
        ballots: BallotGenerator,
        change_id: str,
        next_request_id: Callable[[], int],
    ) -> None:
        self.old_quorum = old_quorum
        self.new_quorum = None if members is None else old_quorum.next_epoch(members)
        self._ballots = ballots
        self._change_id = change_id
        self._next_request_id = next_request_id
        self.phase = ReconfigurationPhase.SEAL
        self.successor: SuccessorQuorum | None = None  # set once it is chosen
        self.later_quorum: Quorum | None = None  # set if a replica has already installed a later epoch
        self._request_id = 0  # id of all requests of the current phase
        self._sealed_states: dict[str, dict[str, RegisterState]] = {}  # by replica
        self._proposer: Proposer | None = None  # set in the phase CHOOSE and later
        self._installed_replicas: set[str] = set()

    @property
    def is_preempted(self) -> bool:
        """Return whether another client has a higher ballot: the driver backs off, then calls `retry`."""
        return self._proposer is not None and self._proposer.is_preempted

    # -- requests

    def start(self) -> OutgoingRequests:
        """Return the first requests."""
        return self._seal_requests()

    def retry(self) -> OutgoingRequests:
        """Return the requests of the current phase again, when replies are missing."""
        match self.phase:
            case ReconfigurationPhase.SEAL:
                return self._seal_requests()
            case ReconfigurationPhase.CHOOSE if self._proposer is not None:
                return self._proposer.retry()
            case ReconfigurationPhase.INSTALL:
                return self._install_requests()
        return []

    def _seal_requests(self) -> OutgoingRequests:
        """Return requests to all old replicas to seal the old epoch, and discard earlier replies to them."""
        quorum = self.old_quorum
        self._request_id = self._next_request_id()
        self._sealed_states = {}
        request = messages.SealEpochRequest(self._request_id, quorum.fleet_id, quorum.epoch)
        return [OutgoingRequest(member.name, request) for member in quorum.members]

    def _install_requests(self) -> OutgoingRequests:
        """Return requests to all new replicas to install the new epoch and its initial registers."""
        assert self.successor is not None
        quorum = self.successor.quorum
        self._request_id = self._next_request_id()
        request = messages.InstallEpochRequest(self._request_id, quorum, self.successor.register_states)
        return [OutgoingRequest(member.name, request) for member in quorum.members]

    # -- replies

    def handle_reply(self, replica: str, reply: messages.QuorumReply) -> OutgoingRequests:
        """Handle a replica's reply and return the next requests."""
        if isinstance(reply, messages.WrongEpochReply) and reply.quorum is not None:
            self._observe_quorum(reply.quorum)
            return []
        if self.phase is ReconfigurationPhase.SEAL and isinstance(reply, messages.SealEpochReply):
            return self._handle_seal_reply(replica, reply)
        if self.phase is ReconfigurationPhase.CHOOSE and self._proposer is not None:
            requests = self._proposer.handle_reply(replica, reply)
            return self._finish_choice(self._proposer, requests)
        if self.phase is ReconfigurationPhase.INSTALL and isinstance(reply, messages.AcceptReply):
            self._handle_install_reply(replica, reply)
        return []

    def _observe_quorum(self, quorum: Quorum) -> None:
        if quorum.epoch > self.old_quorum.epoch and quorum.fleet_id == self.old_quorum.fleet_id:
            self.later_quorum = quorum

    def _handle_seal_reply(self, replica: str, reply: messages.SealEpochReply) -> OutgoingRequests:
        if reply.request_id != self._request_id or not self.old_quorum.has_member(replica, reply.storage_id):
            return []
        self._sealed_states[replica] = reply.register_states
        if len(self._sealed_states) < self.old_quorum.majority:
            return []
        self.phase = ReconfigurationPhase.CHOOSE
        self._proposer = self._successor_proposer()
        return self._proposer.start()

    def _successor_proposer(self) -> Proposer:
        """Return the proposer of the successor, which starts with the registers of a sealed majority."""
        quorum = self.new_quorum or self.old_quorum.next_epoch(self.old_quorum.members)
        register_states = merge_register_states(list(self._sealed_states.values()))
        value = msgspec.msgpack.encode(SuccessorQuorum(quorum, register_states))

        def choose_first(register: Register) -> bytes:
            if register.version:
                raise ChangeRejectedError  # another client's successor was chosen: install that one
            return value

        command = RegisterCommand(SUCCESSOR_KEY, choose_first, self._change_id)
        return Proposer(self.old_quorum, command, self._ballots, self._next_request_id)

    def _finish_choice(self, proposer: Proposer, requests: OutgoingRequests) -> OutgoingRequests:
        """Enter the phase INSTALL if the successor is chosen; else return the proposer's next requests."""
        outcome = proposer.outcome
        if outcome is None or outcome.kind not in (OutcomeKind.COMMITTED, OutcomeKind.UNCHANGED):
            return requests
        self.successor = msgspec.msgpack.decode(outcome.register.value, type=SuccessorQuorum)
        self.phase = ReconfigurationPhase.INSTALL
        return self._install_requests()

    def _handle_install_reply(self, replica: str, reply: messages.AcceptReply) -> None:
        assert self.successor is not None
        quorum = self.successor.quorum
        if reply.request_id == self._request_id and quorum.has_member(replica, reply.storage_id):
            self._installed_replicas.add(replica)
            if len(self._installed_replicas) >= quorum.majority:
                self.phase = ReconfigurationPhase.DONE
