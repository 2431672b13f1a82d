"""The proposer of CASPaxos (Rystsov 2018): runs one read or one change of a register.

A change is a function of the register's current value. It returns the next value, or raises
`ChangeRejectedError`. Each value has the id of its change and a version, which is one above the version of
the value that it was computed from, so the versions are a linear history. A client that retries after a lost
reply uses this to find the outcome of its change. If the register holds its change id, the change was made.
If another change has the same version, the change was not made and never will be. If the register has a later
version, the outcome is unknown.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from . import messages
from .messages import NO_BALLOT, Ballot, Quorum, Register

RegisterChange = Callable[[Register], bytes]
EMPTY_REGISTER = Register()


class OutgoingRequest(NamedTuple):
    """Holds a request and the name of the replica that it is sent to."""

    replica: str
    request: messages.QuorumRequest


OutgoingRequests = list[OutgoingRequest]


class BallotGenerator:
    """Generates the ballots of one client; no two of its operations use the same ballot."""

    def __init__(self, proposer_id: int) -> None:
        self.proposer_id = proposer_id
        self.last_round = 0

    def next_ballot(self) -> Ballot:
        """Return a ballot that this client has not used."""
        self.last_round += 1
        return Ballot(self.last_round, self.proposer_id)

    def observe(self, ballot: Ballot) -> None:
        """Record another client's ballot, so that the next ballot is above it."""
        self.last_round = max(self.last_round, ballot.round)


class ChangeRejectedError(Exception):
    """Raised if a change does not apply to the current value; the register is not changed."""


class OutcomeKind(Enum):
    """Says how an operation has ended."""

    COMMITTED = "done"  # the change was made
    UNCHANGED = "read"  # the register was read, or the change was rejected
    UNKNOWN = "unknown"  # the change may have been made, and later changes after it
    FAILED = "failed"  # no majority was reached, and nothing was changed


@dataclass(frozen=True, slots=True)
class OperationOutcome:
    """Holds the outcome of an operation and the register after it; `reason` explains a failure."""

    kind: OutcomeKind
    register: Register = EMPTY_REGISTER
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RegisterCommand:
    """Describes an operation: a change of the register at `key`, or a read if `change` is None."""

    key: str
    change: RegisterChange | None
    change_id: str


class ProposerPhase(Enum):
    """Says which replies a proposer waits for."""

    READ = "look"
    PREPARE = "prepare"
    ACCEPT = "accept"


class Vote(NamedTuple):
    """Holds the value that a replica reported as accepted in the current phase, and its ballot."""

    accepted_ballot: Ballot
    register: Register


class Proposer:
    """Runs a command on a quorum until `outcome` is set.

    The driver sends the requests that `start` returns, passes each reply to `handle_reply` and sends the
    requests that it returns. It calls `retry` when replies are missing or another proposer has a higher
    ballot, and `give_up` when it stops waiting.
    """

    def __init__(
        self,
        quorum: Quorum,
        command: RegisterCommand,
        ballots: BallotGenerator,
        next_request_id: Callable[[], int],
    ) -> None:
        self.quorum = quorum
        self.key = command.key
        self.change_id = command.change_id
        self._change = command.change
        self._ballots = ballots
        self._next_request_id = next_request_id
        self.outcome: OperationOutcome | None = None
        self.is_preempted = False  # no majority is possible in this round: the driver backs off, then retries
        self.wrong_epoch_reply: messages.WrongEpochReply | None = None  # set if a replica has another quorum
        self.refusal_reasons: set[str] = set()  # why replicas did not vote
        self._current_ballot = NO_BALLOT
        self._last_proposed: Register | None = None  # the value of the latest accept requests for this change
        self._phase = ProposerPhase.READ if command.change is None else ProposerPhase.PREPARE
        self._request_id = 0  # id of all requests of the current phase
        self._votes: dict[str, Vote] = {}  # votes of the current phase, by replica
        self._refusing_replicas: set[str] = set()  # replicas that refuse the current round
        self._accept_register = EMPTY_REGISTER

    # -- requests

    def start(self) -> OutgoingRequests:
        """Return the first requests."""
        if self._phase is ProposerPhase.READ:
            return self._send_reads()
        return self._send_prepares()

    def retry(self) -> OutgoingRequests:
        """Return the requests of a new round with a higher ballot."""
        return self._send_prepares()

    def switch_quorum(self, quorum: Quorum) -> OutgoingRequests:
        """Continue with a later quorum, which has all values chosen earlier; return the requests."""
        self.quorum = quorum
        self.wrong_epoch_reply = None
        return self._send_prepares()

    def give_up(self, reason: str = "") -> None:
        """Stop waiting for replies and set the outcome, unless it is already set."""
        if self.outcome is None:
            kind = OutcomeKind.FAILED if self._last_proposed is None else OutcomeKind.UNKNOWN
            reasons = reason or ", ".join(sorted(self.refusal_reasons)) or "no reply from a majority"
            self.outcome = OperationOutcome(kind, reason=reasons)

    def _broadcast(self, make_request: Callable[[int], messages.QuorumRequest]) -> OutgoingRequests:
        self._request_id = self._next_request_id()
        self._votes.clear()
        self._refusing_replicas.clear()
        self.is_preempted = False
        return [
            OutgoingRequest(member.name, make_request(self._request_id)) for member in self.quorum.members
        ]

    def _send_reads(self) -> OutgoingRequests:
        quorum = self.quorum
        return self._broadcast(
            lambda request_id: messages.ReadRequest(request_id, quorum.fleet_id, quorum.epoch, self.key)
        )

    def _send_prepares(self) -> OutgoingRequests:
        quorum = self.quorum
        ballot = self._ballots.next_ballot()
        self._phase = ProposerPhase.PREPARE
        self._current_ballot = ballot
        return self._broadcast(
            lambda request_id: messages.PrepareRequest(
                request_id, quorum.fleet_id, quorum.epoch, self.key, ballot
            )
        )

    def _send_accepts(self, register: Register) -> OutgoingRequests:
        quorum = self.quorum
        ballot = self._current_ballot
        self._phase = ProposerPhase.ACCEPT
        self._accept_register = register
        return self._broadcast(
            lambda request_id: messages.AcceptRequest(
                request_id, quorum.fleet_id, quorum.epoch, self.key, ballot, register
            )
        )

    # -- replies

    def handle_reply(self, replica: str, reply: messages.QuorumReply) -> OutgoingRequests:
        """Handle a replica's reply and return the next requests.

        Replies to earlier phases and replies that arrive after the outcome have no effect.
        """
        if reply.request_id != self._request_id:
            return []
        if not self.quorum.has_member(replica, reply.storage_id):
            self.refusal_reasons.add(f"{replica} replied from an unexpected storage")
            return []
        if self.outcome is not None:
            return []
        match reply:
            case messages.ReadReply() if self._phase is ProposerPhase.READ:
                self._votes[replica] = Vote(reply.accepted_ballot, reply.register)
                return self._finish_read()
            case messages.PromiseReply() if self._phase is ProposerPhase.PREPARE:
                self._votes[replica] = Vote(reply.accepted_ballot, reply.register)
                return self._finish_prepare()
            case messages.AcceptReply() if self._phase is ProposerPhase.ACCEPT:
                self._votes[replica] = Vote(NO_BALLOT, self._accept_register)
                self._finish_accept()
            case messages.BallotConflictReply():
                self._ballots.observe(reply.promised_ballot)
                self._record_refusal(replica)
            case messages.WrongEpochReply():
                self.wrong_epoch_reply = reply
            case messages.UnavailableReply():
                self.refusal_reasons.add(f"{replica}: {reply.reason}")
                self._record_refusal(replica)
        return []

    def _record_refusal(self, replica: str) -> None:
        self._refusing_replicas.add(replica)
        self.is_preempted = len(self.quorum.members) - len(self._refusing_replicas) < self.quorum.majority

    def _finish_read(self) -> OutgoingRequests:
        """Finish if a majority has accepted one ballot; start a round if all have replied and none has.

        A value that a majority has accepted is chosen. No later value was chosen before the read began: a
        majority would have accepted it, and at least one of those replicas would have reported it.
        """
        ballots = [vote.accepted_ballot for vote in self._votes.values()]
        for vote in self._votes.values():
            if ballots.count(vote.accepted_ballot) >= self.quorum.majority:
                self.outcome = OperationOutcome(OutcomeKind.UNCHANGED, vote.register)
                return []
        if len(ballots) < len(self.quorum.members):
            return []
        return self._send_prepares()

    def _finish_prepare(self) -> OutgoingRequests:
        """Propose the next value once a majority has promised."""
        if len(self._votes) < self.quorum.majority:
            return []
        latest = max(self._votes.values(), key=lambda vote: vote.accepted_ballot)
        register = latest.register
        if register.change_id == self.change_id:
            return self._send_accepts(register)  # too few replicas have accepted this change: complete it
        if self._last_proposed is not None and register.version > self._last_proposed.version:
            self.outcome = OperationOutcome(OutcomeKind.UNKNOWN, register)
            return []
        try:
            next_register = self._next_register(register)
        except ChangeRejectedError:
            is_chosen = all(vote.accepted_ballot == latest.accepted_ballot for vote in self._votes.values())
            return self._leave_unchanged(register, is_chosen)
        self._last_proposed = next_register
        return self._send_accepts(next_register)

    def _next_register(self, register: Register) -> Register:
        """Return the register after the change.

        Raises:
            ChangeRejectedError: The change does not apply, or the operation is a read.
        """
        if self._change is None:
            raise ChangeRejectedError
        value = self._change(register)
        return Register(register.version + 1, self.change_id, value, register.change_id)

    def _leave_unchanged(self, register: Register, is_chosen: bool) -> OutgoingRequests:
        """Finish without a change; propose the current value again if it may not be chosen yet.

        The current value is also proposed again after any accept request for this change. Otherwise another
        proposer could find the value of that request later, and complete the change.
        """
        if is_chosen and self._last_proposed is None:
            self.outcome = OperationOutcome(OutcomeKind.UNCHANGED, register)
            return []
        return self._send_accepts(register)

    def _finish_accept(self) -> None:
        """Finish once a majority has accepted."""
        if len(self._votes) < self.quorum.majority:
            return
        is_own_change = self._accept_register.change_id == self.change_id
        kind = OutcomeKind.COMMITTED if is_own_change else OutcomeKind.UNCHANGED
        self.outcome = OperationOutcome(kind, self._accept_register)
