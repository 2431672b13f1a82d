"""Tests replicated registers without sockets: frames, votes, operations and reconfiguration."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from rosepick.consensus import codec
from rosepick.consensus import messages as m
from rosepick.consensus.acceptor import Acceptor, AcceptorState
from rosepick.consensus.messages import Ballot, Quorum, QuorumMember, Register, RegisterState
from rosepick.consensus.proposer import (
    BallotGenerator,
    ChangeRejectedError,
    OperationOutcome,
    OutcomeKind,
    OutgoingRequests,
    Proposer,
    RegisterChange,
    RegisterCommand,
)
from rosepick.consensus.reconfiguration import (
    QuorumReconfiguration,
    ReconfigurationPhase,
    check_member_change,
)

NAMES = ("w1", "w2", "w3")
KEY = b"sixteen bytes or more"


def write(text: str) -> RegisterChange:
    """Return a change that writes a text."""
    return lambda register: text.encode()


class LocalQuorum:
    """Runs acceptors and proposers in this process; messages of chosen replicas are lost."""

    def __init__(self, names: tuple[str, ...] = NAMES) -> None:
        self.request_ids = itertools.count(1)
        self.quorum = Quorum("fleet", 1, tuple(QuorumMember(name, f"disk-{name}") for name in names))
        self.acceptors = {
            name: Acceptor(name, AcceptorState(f"disk-{name}"), f"run-{name}") for name in names
        }
        for acceptor in self.acceptors.values():
            acceptor.handle(m.InstallEpochRequest(0, self.quorum, {}))
        self.losing_requests: set[str] = set()
        self.losing_replies: set[str] = set()
        self.ballot_generators: dict[int, BallotGenerator] = {}

    def proposer(
        self, change: RegisterChange | None, proposer_id: int = 1, change_id: str = "a", key: str = "k"
    ) -> Proposer:
        ballots = self.ballot_generators.setdefault(proposer_id, BallotGenerator(proposer_id))
        command = RegisterCommand(key, change, change_id)
        return Proposer(self.quorum, command, ballots, lambda: next(self.request_ids))

    def deliver(self, sender: Proposer | QuorumReconfiguration, requests: OutgoingRequests) -> None:
        """Deliver requests and their replies until the sender has no more requests."""
        while requests:
            replica, request = requests.pop(0)
            if replica in self.losing_requests or replica not in self.acceptors:
                continue
            reply = self.acceptors[replica].handle(request).reply
            if replica not in self.losing_replies:
                requests += sender.handle_reply(replica, reply)

    def run(
        self, change: RegisterChange | None, proposer_id: int = 1, change_id: str = "a"
    ) -> OperationOutcome:
        """Run one operation with at most five retries."""
        proposer = self.proposer(change, proposer_id, change_id)
        self.deliver(proposer, proposer.start())
        for _ in range(5):
            if proposer.outcome is None:
                self.deliver(proposer, proposer.retry())
        proposer.give_up()
        assert proposer.outcome is not None
        return proposer.outcome


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (lambda frame: b"xx" + frame[2:], "foreign"),
        (lambda frame: frame[:2] + bytes([9]) + frame[3:], "newer"),
        (lambda frame: frame[:4] + b"\xff\xff\xff\xff" + frame[8:], "oversized"),
        (lambda frame: frame[:-1] + bytes([frame[-1] ^ 1]), "damaged"),
        (lambda frame: codec.encode_frame(m.StatusRequest(1), b"another key of some length"), "damaged"),
        (lambda frame: codec.encode_frame(m.AcceptReply(1, "disk"), KEY), "malformed"),
    ],
)
def test_an_invalid_frame_is_rejected_with_its_reason(corrupt: Callable[[bytes], bytes], reason: str) -> None:
    frame = corrupt(codec.encode_frame(m.ReadRequest(7, "fleet", 1, "k"), KEY))
    with pytest.raises(codec.DecodeError, match=f"^{reason} frame: ") as caught:
        for complete_frame in codec.FrameDecoder().feed(frame):
            codec.decode_request(complete_frame, KEY)
    assert caught.value.reason == reason


def test_frames_are_decoded_from_pieces_of_any_size() -> None:
    messages = [m.ReadRequest(n, "fleet", 1, "k" * n) for n in range(5)]
    data = b"".join(codec.encode_frame(message, KEY) for message in messages)
    decoder = codec.FrameDecoder()
    frames = [frame for n in range(len(data)) for frame in decoder.feed(data[n : n + 1])]
    assert [
        codec.decode_request(frame, KEY) for frame in frames
    ] == messages and not decoder.has_partial_frame()


def test_a_read_returns_the_latest_change_and_a_rejected_change_has_no_effect() -> None:
    quorum = LocalQuorum()
    assert quorum.run(None).register == Register()
    outcome = quorum.run(write("one"), change_id="m1")
    assert (outcome.kind, outcome.register.version, outcome.register.value) == (
        OutcomeKind.COMMITTED,
        1,
        b"one",
    )

    def reject(register: Register) -> bytes:
        raise ChangeRejectedError

    assert quorum.run(reject, change_id="m2").kind is OutcomeKind.UNCHANGED
    assert quorum.run(None).register.change_id == "m1"
    quorum.losing_requests = {"w1", "w2"}
    assert quorum.run(write("two"), change_id="m3").kind is OutcomeKind.FAILED


def test_a_change_whose_replies_are_lost_is_made_once() -> None:
    quorum = LocalQuorum()
    first = quorum.proposer(write("one"), change_id="m1")
    requests = first.start()
    quorum.deliver(first, requests)
    assert first.outcome is not None
    second = quorum.proposer(write("two"), proposer_id=2, change_id="m2")
    for replica, request in second.start():
        accepts = second.handle_reply(replica, quorum.acceptors[replica].handle(request).reply)
        if accepts:
            break
    quorum.acceptors["w3"].handle(accepts[2].request)  # one replica accepts, and its reply is lost
    quorum.deliver(second, second.retry())
    assert second.outcome is not None and second.outcome.register.version == 2
    assert quorum.run(None, proposer_id=3).register.change_id == "m2"


def test_an_unfinished_change_is_completed_by_the_next_proposer_and_its_own_outcome_is_unknown() -> None:
    quorum = LocalQuorum()
    interrupted = quorum.proposer(write("lost"), proposer_id=5, change_id="lost")
    accepts: OutgoingRequests = []
    for replica, request in interrupted.start():
        reply = quorum.acceptors[replica].handle(request).reply
        accepts = accepts or interrupted.handle_reply(replica, reply)
    quorum.acceptors["w1"].handle(accepts[0].request)
    quorum.losing_requests = {"w3"}
    # version 1 is the unfinished change
    assert quorum.run(write("next"), proposer_id=6, change_id="next").register.version == 2
    assert quorum.run(write("more"), proposer_id=6, change_id="more").register.version == 3
    for _ in range(2):  # the first retry finds higher ballots
        quorum.deliver(interrupted, interrupted.retry())
    assert interrupted.outcome is not None and interrupted.outcome.kind is OutcomeKind.UNKNOWN


def test_a_ballot_cannot_be_used_for_two_values() -> None:
    acceptor = LocalQuorum().acceptors["w1"]
    accept = m.AcceptRequest(1, "fleet", 1, "k", Ballot(1, 1), Register(1, "a", b"x"))
    assert isinstance(acceptor.handle(accept).reply, m.AcceptReply)
    other_value = m.AcceptRequest(2, "fleet", 1, "k", Ballot(1, 1), Register(1, "b", b"y"))
    assert isinstance(acceptor.handle(other_value).reply, m.UnavailableReply)
    assert isinstance(acceptor.handle(accept).reply, m.AcceptReply)  # the same value again is accepted


def restart(quorum: LocalQuorum, name: str, state: AcceptorState) -> Acceptor:
    """Start an acceptor from a stored state, with a new run id."""
    quorum.acceptors[name] = Acceptor(name, state, "another run")
    return quorum.acceptors[name]


def run_restart_check(
    quorum: LocalQuorum, name: str, others: tuple[str, ...], wait_for_all: bool = False
) -> Acceptor:
    """Announce an acceptor's start to others, and pass it their replies."""
    acceptor = quorum.acceptors[name]
    for other in others:
        request = acceptor.make_restart_check(1)
        assert request is not None
        reply = quorum.acceptors[other].handle(request).reply
        assert isinstance(reply, m.RestartCheckReply)
        acceptor.handle_restart_check_reply(reply, wait_for_all)
    return acceptor


@pytest.mark.parametrize(
    ("start_count", "others", "wait_for_all", "is_voting", "is_stale_copy"),
    [
        (5, ("w1",), False, True, False),  # a majority with the replica itself
        (5, ("w1",), True, False, False),  # the grace period has not ended: all others have to reply
        (5, ("w1", "w2"), True, True, False),
        (5, (), False, False, False),
        (4, ("w1",), False, False, True),  # the others know of another fourth start
        (2, ("w2", "w1"), False, False, True),
    ],
)
def test_a_replica_votes_only_after_enough_others_know_of_its_start(
    start_count: int, others: tuple[str, ...], wait_for_all: bool, is_voting: bool, is_stale_copy: bool
) -> None:
    quorum = LocalQuorum()
    for other in ("w1", "w2"):
        quorum.acceptors[other].handle(m.RestartCheckRequest(1, "fleet", "disk-w3", 4, "the fourth", 1))
    acceptor = restart(quorum, "w3", AcceptorState("disk-w3", start_count, quorum.quorum))
    assert isinstance(acceptor.handle(m.ReadRequest(1, "fleet", 1, "k")).reply, m.UnavailableReply)
    run_restart_check(quorum, "w3", others, wait_for_all)
    assert (acceptor.is_voting, acceptor.is_stale_copy) == (is_voting, is_stale_copy)


def test_the_next_quorum_has_all_chosen_values_and_the_old_quorum_chooses_no_more() -> None:
    quorum = LocalQuorum()
    quorum.run(write("first"), change_id="first")
    old_quorum = quorum.quorum
    quorum.acceptors["w3"] = Acceptor("w3", AcceptorState("new disk"), "run")  # the folder of w3 was emptied
    members = (*old_quorum.members[:2], QuorumMember("w3", "new disk"))
    assert not check_member_change(old_quorum, members)
    reconfiguration = QuorumReconfiguration(
        old_quorum, members, BallotGenerator(9), "next", lambda: next(quorum.request_ids)
    )
    quorum.deliver(reconfiguration, reconfiguration.start())
    assert reconfiguration.phase is ReconfigurationPhase.DONE and reconfiguration.successor is not None
    late = quorum.proposer(write("late"), proposer_id=2, change_id="late")
    quorum.deliver(late, late.start())
    assert (
        late.outcome is None
        and late.wrong_epoch_reply is not None
        and late.wrong_epoch_reply.quorum is not None
    )
    quorum.deliver(late, late.switch_quorum(late.wrong_epoch_reply.quorum))
    assert late.outcome is not None and late.outcome.register.version == 2
    quorum.quorum = reconfiguration.successor.quorum
    quorum.losing_requests = {"w1"}
    assert quorum.run(None).register.change_id == "late"  # read from a majority that includes the new storage


def test_concurrent_reconfigurations_agree_on_one_quorum_and_a_lagging_replica_catches_up() -> None:
    quorum = LocalQuorum(("w1", "w2", "w3", "w4", "w5"))
    old_quorum = quorum.quorum
    quorum.run(write("first"), change_id="first")
    reconfigurations = []
    for number, removed in enumerate(("w4", "w5")):
        members = tuple(member for member in old_quorum.members if member.name != removed)
        ballots = BallotGenerator(20 + number)
        reconfigurations.append(
            QuorumReconfiguration(
                old_quorum, members, ballots, f"change {number}", lambda: next(quorum.request_ids)
            )
        )
    quorum.losing_requests = {"w3"}
    for reconfiguration in reconfigurations:
        quorum.deliver(reconfiguration, reconfiguration.start())
    results = [
        reconfiguration.successor.quorum if reconfiguration.successor else reconfiguration.later_quorum
        for reconfiguration in reconfigurations
    ]
    assert results[0] == results[1] and results[0] is not None
    quorum.losing_requests = set()
    lagging = quorum.acceptors["w3"]
    assert lagging.state.quorum == old_quorum
    run_restart_check(quorum, "w3", ("w1",))
    assert lagging.state.quorum == results[0]
    assert lagging.state.register_states["k"].register.change_id == "first"


@pytest.mark.parametrize(
    ("members", "reason"),
    [
        (
            (QuorumMember("w1", "disk-w1"), QuorumMember("w2", "other"), QuorumMember("w3", "another")),
            "only one replica may join or leave at a time",
        ),
        (
            (QuorumMember("w1", "disk-w1"), QuorumMember("w1", "disk-w2"), QuorumMember("w3", "disk-w3")),
            "twice",
        ),
        (
            (QuorumMember("w1", "disk-w1"), QuorumMember("w2", "disk-w1"), QuorumMember("w3", "disk-w3")),
            "twice",
        ),
        ((), "0 replicas"),
    ],
)
def test_a_member_change_that_is_not_allowed_is_refused_with_its_reason(
    members: tuple[QuorumMember, ...], reason: str
) -> None:
    assert reason in check_member_change(LocalQuorum().quorum, members)


def test_the_number_of_registers_and_the_size_of_values_are_limited() -> None:
    acceptor = LocalQuorum().acceptors["w1"]
    large = Register(1, "a", bytes(m.MAX_VALUE_BYTES + 1))
    accept = m.AcceptRequest(1, "fleet", 1, "k", Ballot(1, 1), large)
    assert isinstance(acceptor.handle(accept).reply, m.UnavailableReply)
    acceptor.state.register_states = {str(n): RegisterState() for n in range(m.MAX_REGISTERS)}
    new_key = m.PrepareRequest(1, "fleet", 1, "new", Ballot(1, 1))
    assert isinstance(acceptor.handle(new_key).reply, m.UnavailableReply)
    known_key = m.PrepareRequest(1, "fleet", 1, "7", Ballot(1, 1))
    assert isinstance(acceptor.handle(known_key).reply, m.PromiseReply)
