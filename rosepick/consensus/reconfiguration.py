"""One quorum follows another: sealed, chosen, installed.

Seal: a majority of the old witnesses takes part in nothing of the old epoch any more, so nothing new can be
chosen in it, and all that was is among what they keep. Choose: the next quorum and the very registers that
it begins with are one value, chosen by the sealed ones as any register is; whoever else tries comes to the
same. Install: each new witness begins with these. It is the stopping of a replicated machine by an agreed
last command (Lamport, Malkhi and Zhou 2010), with registers in place of a log.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from . import messages as m
from .acceptor import merge_register_states
from .messages import SUCCESSOR_KEY, Quorum, QuorumMember, Register, RegisterState
from .proposer import BallotGenerator, ChangeRejectedError, OutcomeKind, OutgoingRequests, Proposer


class SuccessorQuorum(msgspec.Struct, frozen=True, array_like=True):
    """What is chosen: who follows, and with what."""

    quorum: Quorum
    register_states: dict[str, RegisterState]


class ReconfigurationPhase(Enum):
    """How far it has come."""

    SEAL = "seal"
    CHOOSE = "choose"
    INSTALL = "install"
    DONE = "done"


def check_member_change(old_quorum: Quorum, members: tuple[QuorumMember, ...]) -> str:
    """Why these may not follow, if so: one witness goes or comes at a time, a replaced one being both."""
    names = [one.name for one in members]
    if len(set(names)) < len(names) or len({one.storage_id for one in members}) < len(members):
        return "a witness would vote twice"
    if not members or len(members) > max(m.QUORUM_SIZES):
        return f"{len(members)} witnesses; 1 to {max(m.QUORUM_SIZES)} make a quorum"
    if len(set(members) - set(old_quorum.members)) > 1 or len(set(old_quorum.members) - set(members)) > 1:
        return "one witness at a time"
    return ""


class QuorumReconfiguration:
    """Leads from a quorum to the next; `members` None: whoever was chosen already, else the same ones."""

    def __init__(
        self,
        old_quorum: Quorum,
        members: tuple[QuorumMember, ...] | None,
        ballots: BallotGenerator,
        change_id: str,
        next_request_id: Callable[[], int],
    ) -> None:
        self.old_quorum, self.new_quorum = (
            old_quorum,
            None if members is None else Quorum(old_quorum.fleet_id, old_quorum.epoch + 1, members),
        )
        self._ballots, self._change_id, self._next_request_id = ballots, change_id, next_request_id
        self.phase = ReconfigurationPhase.SEAL
        self.successor: SuccessorQuorum | None = None
        self.later_quorum: Quorum | None = None  # a quorum of a later epoch is there already
        self._request_id = 0
        self._sealed_states: dict[str, dict[str, RegisterState]] = {}
        self._proposer: Proposer | None = None
        self._installed_replicas: set[str] = set()

    @property
    def is_preempted(self) -> bool:
        """Whether another one chooses at the same time: wait a little, then `again`."""
        return self._proposer is not None and self._proposer.is_preempted

    def start(self) -> OutgoingRequests:
        """The first requests."""
        return self._send_seals()

    def retry(self) -> OutgoingRequests:
        """The answers were too few: ask once more."""
        if self.phase is ReconfigurationPhase.SEAL:
            return self._send_seals()
        if self.phase is ReconfigurationPhase.CHOOSE and self._proposer is not None:
            return self._proposer.retry()
        return self._send_installs() if self.phase is ReconfigurationPhase.INSTALL else []

    def _send_seals(self) -> OutgoingRequests:
        self._request_id, self._sealed_states = self._next_request_id(), {}
        return [
            (one.name, m.SealEpochRequest(self._request_id, self.old_quorum.fleet_id, self.old_quorum.epoch))
            for one in self.old_quorum.members
        ]

    def _send_installs(self) -> OutgoingRequests:
        assert self.successor is not None
        self._request_id = self._next_request_id()
        return [
            (
                one.name,
                m.InstallEpochRequest(
                    self._request_id, self.successor.quorum, self.successor.register_states
                ),
            )
            for one in self.successor.quorum.members
        ]

    def handle_reply(self, replica: str, reply: m.QuorumReply) -> OutgoingRequests:
        """What follows from one witness's answer."""
        if isinstance(reply, m.WrongEpochReply) and reply.quorum is not None:
            if (
                reply.quorum.epoch > self.old_quorum.epoch
                and reply.quorum.fleet_id == self.old_quorum.fleet_id
            ):
                self.later_quorum = reply.quorum
            return []
        if self.phase is ReconfigurationPhase.SEAL and isinstance(reply, m.SealEpochReply):
            return self._handle_seal_reply(replica, reply)
        if self.phase is ReconfigurationPhase.CHOOSE and self._proposer is not None:
            return self._finish_choice(self._proposer.handle_reply(replica, reply))
        if self.phase is ReconfigurationPhase.INSTALL and isinstance(reply, m.AcceptReply):
            self._handle_install_reply(replica, reply)
        return []

    def _handle_seal_reply(self, replica: str, reply: m.SealEpochReply) -> OutgoingRequests:
        if reply.request_id != self._request_id or not self.old_quorum.has_member(replica, reply.storage_id):
            return []
        self._sealed_states[replica] = reply.register_states
        if len(self._sealed_states) < self.old_quorum.majority:
            return []
        new = self.new_quorum or Quorum(
            self.old_quorum.fleet_id, self.old_quorum.epoch + 1, self.old_quorum.members
        )
        value = msgspec.msgpack.encode(
            SuccessorQuorum(new, merge_register_states(list(self._sealed_states.values())))
        )

        def first(register: Register) -> bytes:
            if register.version:
                raise ChangeRejectedError  # another has chosen: theirs it is
            return value

        self.phase = ReconfigurationPhase.CHOOSE
        self._proposer = Proposer(
            self.old_quorum, SUCCESSOR_KEY, first, self._ballots, self._change_id, self._next_request_id
        )
        return self._proposer.start()

    def _finish_choice(self, requests: OutgoingRequests) -> OutgoingRequests:
        outcome = self._proposer.outcome if self._proposer else None
        if outcome is None or outcome.kind not in (OutcomeKind.COMMITTED, OutcomeKind.UNCHANGED):
            return requests
        self.successor = msgspec.msgpack.decode(outcome.register.value, type=SuccessorQuorum)
        self.phase = ReconfigurationPhase.INSTALL
        return self._send_installs()

    def _handle_install_reply(self, replica: str, reply: m.AcceptReply) -> None:
        assert self.successor is not None
        if reply.request_id == self._request_id and self.successor.quorum.has_member(
            replica, reply.storage_id
        ):
            self._installed_replicas.add(replica)
            if len(self._installed_replicas) >= self.successor.quorum.majority:
                self.phase = ReconfigurationPhase.DONE
