"""The proposer of CASPaxos (Rystsov 2018): one read or one change of a register.

A change is a function of the register's present value. It returns the next value, or raises
`ChangeRejectedError`. Each value has a version, one above that of the value it was made from, and the id
of its change: there is one chain of versions. So a client that retries after a reply was lost can tell
whether its change was made: the register holds its change id; or that it never will be: another change
has taken that version. Where the chain has moved on further, the outcome is unknown.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from . import messages as m
from .messages import NO_BALLOT, Ballot, Quorum, Register

RegisterChange = Callable[[Register], bytes]
EMPTY_REGISTER = Register()


class OutgoingRequest(NamedTuple):
    """A request, and the name of the replica that it goes to."""

    replica: str
    request: m.QuorumRequest


OutgoingRequests = list[OutgoingRequest]


class BallotGenerator:
    """Generates the ballots of one client: none is used twice, whatever the operation."""

    def __init__(self, proposer_id: int) -> None:
        self.proposer_id = proposer_id
        self.last_round = 0

    def next_ballot(self) -> Ballot:
        """A ballot that this client has not used."""
        self.last_round += 1
        return Ballot(self.last_round, self.proposer_id)

    def observe(self, ballot: Ballot) -> None:
        """Take note of another client's ballot: the next one will be above it."""
        self.last_round = max(self.last_round, ballot.round)


class ChangeRejectedError(Exception):
    """A change does not apply to the present value; the register stays as it is."""


class OutcomeKind(Enum):
    """How an operation has ended."""

    COMMITTED = "done"  # the register holds the value of the change
    UNCHANGED = "read"  # the register was read, or the change was rejected
    UNKNOWN = "unknown"  # the change may have been made, and others after it
    FAILED = "failed"  # no majority was reached, and nothing has changed


@dataclass(frozen=True, slots=True)
class OperationOutcome:
    """How an operation has ended, with the register as it is then; `reason` says why one has failed."""

    kind: OutcomeKind
    register: Register = EMPTY_REGISTER
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RegisterCommand:
    """What a proposer has to do: change the register of a key, or read it if `change` is None."""

    key: str
    change: RegisterChange | None
    change_id: str


class ProposerPhase(Enum):
    """The replies that a proposer waits for."""

    READ = "look"
    PREPARE = "prepare"
    ACCEPT = "accept"


class Vote(NamedTuple):
    """What a replica has accepted, as it said in the present phase."""

    accepted_ballot: Ballot
    register: Register


class Proposer:
    """Runs a command on a quorum until `outcome` is set.

    The driver sends what `start` returns, passes replies to `handle_reply` and sends what that returns.
    It calls `retry` when replies are missing or another proposer has come first, and `give_up` when it
    waits no longer.
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
        self.is_preempted = False  # a majority is no longer possible in this round: back off, then `retry`
        self.wrong_epoch_reply: m.WrongEpochReply | None = None  # set if the quorum is another one by now
        self.refusal_reasons: set[str] = set()  # why replicas did not vote
        self._current_ballot = NO_BALLOT
        self._last_proposed: Register | None = None  # the value of the last accept requests for this change
        self._phase = ProposerPhase.READ if command.change is None else ProposerPhase.PREPARE
        self._request_id = 0  # of all requests of the present phase
        self._votes: dict[str, Vote] = {}  # of the present phase, by replica
        self._opponents: set[str] = set()  # replicas that do not vote for the present round
        self._accept_register = EMPTY_REGISTER

    # -- requests

    def start(self) -> OutgoingRequests:
        """The first requests."""
        if self._phase is ProposerPhase.READ:
            return self._send_reads()
        return self._send_prepares()

    def retry(self) -> OutgoingRequests:
        """The requests of a new round with a higher ballot."""
        return self._send_prepares()

    def switch_quorum(self, quorum: Quorum) -> OutgoingRequests:
        """Continue with a later quorum, to which all chosen values were carried over."""
        self.quorum = quorum
        self.wrong_epoch_reply = None
        return self._send_prepares()

    def give_up(self, reason: str = "") -> None:
        """Set the outcome, as no more replies will be waited for; an outcome that is set stays."""
        if self.outcome is None:
            kind = OutcomeKind.FAILED if self._last_proposed is None else OutcomeKind.UNKNOWN
            reasons = reason or ", ".join(sorted(self.refusal_reasons)) or "no majority answers"
            self.outcome = OperationOutcome(kind, reason=reasons)

    def _broadcast(self, make_request: Callable[[int], m.QuorumRequest]) -> OutgoingRequests:
        self._request_id = self._next_request_id()
        self._votes.clear()
        self._opponents.clear()
        self.is_preempted = False
        return [
            OutgoingRequest(member.name, make_request(self._request_id)) for member in self.quorum.members
        ]

    def _send_reads(self) -> OutgoingRequests:
        quorum = self.quorum
        return self._broadcast(
            lambda request_id: m.ReadRequest(request_id, quorum.fleet_id, quorum.epoch, self.key)
        )

    def _send_prepares(self) -> OutgoingRequests:
        quorum = self.quorum
        ballot = self._ballots.next_ballot()
        self._phase = ProposerPhase.PREPARE
        self._current_ballot = ballot
        return self._broadcast(
            lambda request_id: m.PrepareRequest(request_id, quorum.fleet_id, quorum.epoch, self.key, ballot)
        )

    def _send_accepts(self, register: Register) -> OutgoingRequests:
        quorum = self.quorum
        ballot = self._current_ballot
        self._phase = ProposerPhase.ACCEPT
        self._accept_register = register
        return self._broadcast(
            lambda request_id: m.AcceptRequest(
                request_id, quorum.fleet_id, quorum.epoch, self.key, ballot, register
            )
        )

    # -- replies

    def handle_reply(self, replica: str, reply: m.QuorumReply) -> OutgoingRequests:
        """Take a replica's reply, and return the requests that follow from it.

        Replies to earlier phases, and those that come after the outcome, change nothing.
        """
        if reply.request_id != self._request_id:
            return []
        if not self.quorum.has_member(replica, reply.storage_id):
            self.refusal_reasons.add(f"{replica} has another storage")
            return []
        if self.outcome is not None:
            return []
        match reply:
            case m.ReadReply() if self._phase is ProposerPhase.READ:
                self._votes[replica] = Vote(reply.accepted_ballot, reply.register)
                return self._finish_read()
            case m.PromiseReply() if self._phase is ProposerPhase.PREPARE:
                self._votes[replica] = Vote(reply.accepted_ballot, reply.register)
                return self._finish_prepare()
            case m.AcceptReply() if self._phase is ProposerPhase.ACCEPT:
                self._votes[replica] = Vote(NO_BALLOT, self._accept_register)
                self._finish_accept()
            case m.BallotConflictReply():
                self._ballots.observe(reply.promised_ballot)
                self._record_opponent(replica)
            case m.WrongEpochReply():
                self.wrong_epoch_reply = reply
            case m.UnavailableReply():
                self.refusal_reasons.add(f"{replica}: {reply.reason}")
                self._record_opponent(replica)
        return []

    def _record_opponent(self, replica: str) -> None:
        self._opponents.add(replica)
        self.is_preempted = len(self.quorum.members) - len(self._opponents) < self.quorum.majority

    def _finish_read(self) -> OutgoingRequests:
        """Finish if a majority has accepted one ballot, or start a round if all replies disagree.

        Such a value is chosen, and no later one was chosen before the read began: that would have a
        majority too, and one of its replicas would have reported it.
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
            return self._send_accepts(register)  # our own change, accepted by too few: finish it
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
        """The register after the change; raises `ChangeRejectedError` for a read too."""
        if self._change is None:
            raise ChangeRejectedError
        value = self._change(register)
        return Register(register.version + 1, self.change_id, value, register.change_id)

    def _leave_unchanged(self, register: Register, is_chosen: bool) -> OutgoingRequests:
        """Finish without a change, after having the present value chosen where that is in doubt.

        That is also done after any accept request of this change: otherwise another proposer could find
        that value later, and finish it.
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
