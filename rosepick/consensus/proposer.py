"""One reading or one change of a register, as its caller sees it: a proposer of CASPaxos.

A change is a function of the register's present value. It gives the next value, or raises `Declined`. Each
value has a version, one more than that which it was made of, and the mark of its change: there is one chain
of versions. So a caller that asks again, after an answer was lost, sees whether its change has been made:
its own mark stands there; or that it never will be: another mark stands at that version. Where the chain has
gone further on it cannot be told.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from . import messages as m
from .messages import NO_BALLOT, Ballot, Quorum, Register

RegisterChange = Callable[[Register], bytes]
OutgoingRequests = list[tuple[str, m.QuorumRequest]]  # to the witness of that name


class BallotGenerator:
    """The rounds of one caller's ballots: none is used twice, whatever operation it is for."""

    def __init__(self, proposer_id: int) -> None:
        self.proposer_id = proposer_id
        self.last_round = 0

    def next_ballot(self) -> Ballot:
        """A ballot that this caller has not used."""
        self.last_round += 1
        return self.last_round, self.proposer_id

    def observe(self, ballot: Ballot) -> None:
        """Another one's ballot: the next is above it."""
        self.last_round = max(self.last_round, ballot[0])


class ChangeRejectedError(Exception):
    """A change that is not made of this value; the register stays as it is."""


class OutcomeKind(Enum):
    """How an operation has ended."""

    COMMITTED = "done"  # the register holds what the change made
    UNCHANGED = "read"  # it was read, or the change was declined
    UNKNOWN = "unknown"  # the change may have been made, and others after it
    FAILED = "failed"  # nobody could be asked, and nothing has changed


@dataclass(frozen=True, slots=True)
class OperationOutcome:
    """How an operation has ended, and the register as it is then."""

    kind: OutcomeKind
    register: Register = Register()
    reason: str = ""


class ProposerPhase(Enum):
    """What the operation waits for."""

    READ = "look"
    PREPARE = "prepare"
    ACCEPT = "accept"


class Proposer:
    """Asks the witnesses of a quorum; `handle_reply` takes their answers, and `retry` is called when these
    are too few.
    """

    def __init__(
        self,
        quorum: Quorum,
        key: str,
        change: RegisterChange | None,
        ballots: BallotGenerator,
        change_id: str,
        next_request_id: Callable[[], int],
    ) -> None:
        self.quorum, self.key, self.change_id = quorum, key, change_id
        self._change, self._ballots, self._next_request_id = change, ballots, next_request_id
        self.outcome: OperationOutcome | None = None
        self.is_preempted = False  # another ballot came before: wait a little, then `again`
        self.wrong_epoch_reply: m.WrongEpochReply | None = None  # the quorum is another one by now
        self.refusal_reasons: set[str] = set()  # why witnesses did not answer
        self._current_ballot = NO_BALLOT
        self._last_proposed: Register | None = None  # what was last sent to be accepted
        self._phase = ProposerPhase.READ if change is None else ProposerPhase.PREPARE
        self._request_id = 0  # the number of this phase's requests
        self._votes: dict[str, tuple[Ballot, Register]] = {}
        self._opponents: set[str] = set()
        self._accept_register = Register()

    # -- asking

    def start(self) -> OutgoingRequests:
        """The first requests."""
        return self._send_reads() if self._phase is ProposerPhase.READ else self._send_prepares()

    def retry(self) -> OutgoingRequests:
        """The answers were too few, or another ballot came first: ask with a higher one."""
        return self._send_prepares()

    def switch_quorum(self, quorum: Quorum) -> OutgoingRequests:
        """The same with another quorum, into which all that was chosen has gone over."""
        self.quorum, self.wrong_epoch_reply = quorum, None
        return self._send_prepares()

    def give_up(self, reason: str = "") -> None:
        """No more answers will come."""
        if self.outcome is None:
            kind = OutcomeKind.FAILED if self._last_proposed is None else OutcomeKind.UNKNOWN
            self.outcome = OperationOutcome(
                kind, reason=reason or ", ".join(sorted(self.refusal_reasons)) or "no majority answers"
            )

    def _broadcast(self, make_request: Callable[[int], m.QuorumRequest]) -> OutgoingRequests:
        self._request_id = self._next_request_id()
        self._votes.clear()
        self._opponents.clear()
        self.is_preempted = False
        return [(one.name, make_request(self._request_id)) for one in self.quorum.members]

    def _send_reads(self) -> OutgoingRequests:
        fleet, epoch = self.quorum.fleet_id, self.quorum.epoch
        return self._broadcast(lambda number: m.ReadRequest(number, fleet, epoch, self.key))

    def _send_prepares(self) -> OutgoingRequests:
        self._phase, self._current_ballot = ProposerPhase.PREPARE, self._ballots.next_ballot()
        fleet, epoch, ballot = self.quorum.fleet_id, self.quorum.epoch, self._current_ballot
        return self._broadcast(lambda number: m.PrepareRequest(number, fleet, epoch, self.key, ballot))

    def _send_accepts(self, register: Register) -> OutgoingRequests:
        self._phase, self._accept_register = ProposerPhase.ACCEPT, register
        fleet, epoch, ballot = self.quorum.fleet_id, self.quorum.epoch, self._current_ballot
        return self._broadcast(
            lambda number: m.AcceptRequest(number, fleet, epoch, self.key, ballot, register)
        )

    # -- hearing

    def handle_reply(self, replica: str, reply: m.QuorumReply) -> OutgoingRequests:
        """What follows from one witness's answer."""
        if (
            self.outcome is not None
            or reply.request_id != self._request_id
            or not self.quorum.has_member(replica, reply.storage_id)
        ):
            if reply.request_id == self._request_id:
                self.refusal_reasons.add(f"{replica} has another storage")
            return []
        match reply:
            case m.ReadReply() if self._phase is ProposerPhase.READ:
                self._votes[replica] = reply.accepted_ballot, reply.register
                return self._finish_read()
            case m.PromiseReply() if self._phase is ProposerPhase.PREPARE:
                self._votes[replica] = reply.accepted_ballot, reply.register
                return self._finish_prepare()
            case m.AcceptReply() if self._phase is ProposerPhase.ACCEPT:
                self._votes[replica] = NO_BALLOT, self._accept_register
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
        """What a majority has accepted under one ballot is chosen, and nothing later was before this began:
        that would have a majority too, and one of these had told of it.
        """
        seen = [ballot for ballot, _ in self._votes.values()]
        for ballot, register in self._votes.values():
            if seen.count(ballot) >= self.quorum.majority:
                self.outcome = OperationOutcome(OutcomeKind.UNCHANGED, register)
                return []
        return self._send_prepares() if len(seen) == len(self.quorum.members) else []

    def _finish_prepare(self) -> OutgoingRequests:
        if len(self._votes) < self.quorum.majority:
            return []
        last, register = max(self._votes.values(), key=lambda vote: vote[0])
        settled = all(ballot == last for ballot, _ in self._votes.values())
        if register.change_id == self.change_id:
            return self._send_accepts(register)  # our own change, half made: finish it
        if self._last_proposed is not None and register.version > self._last_proposed.version:
            self.outcome = OperationOutcome(OutcomeKind.UNKNOWN, register)
            return []
        try:
            if self._change is None:
                raise ChangeRejectedError
            value = Register(register.version + 1, self.change_id, self._change(register), register.change_id)
        except ChangeRejectedError:
            return self._leave_unchanged(register, settled)
        self._last_proposed = value
        return self._send_accepts(value)

    def _leave_unchanged(self, register: Register, is_chosen: bool) -> OutgoingRequests:
        """The register stays as it is; but what is not known to be chosen is made so first, and so is all
        after an accept of ours: guards against its being found and finished later by another.
        """
        if is_chosen and self._last_proposed is None:
            self.outcome = OperationOutcome(OutcomeKind.UNCHANGED, register)
            return []
        return self._send_accepts(register)

    def _finish_accept(self) -> None:
        if len(self._votes) < self.quorum.majority:
            return
        made = self._accept_register.change_id == self.change_id
        self.outcome = OperationOutcome(
            OutcomeKind.COMMITTED if made else OutcomeKind.UNCHANGED, self._accept_register
        )
