"""Registers kept by witnesses: frames, votes, operations, epochs; all without sockets."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from rosepick.consensus import codec
from rosepick.consensus import messages as m
from rosepick.consensus.acceptor import Acceptor, AcceptorState
from rosepick.consensus.messages import Quorum, QuorumMember, Register, RegisterState
from rosepick.consensus.proposer import (
    BallotGenerator,
    ChangeRejectedError,
    OperationOutcome,
    OutcomeKind,
    Proposer,
    RegisterChange,
)
from rosepick.consensus.reconfiguration import (
    QuorumReconfiguration,
    ReconfigurationPhase,
    check_member_change,
)

NAMES = ("w1", "w2", "w3")
KEY = b"sixteen bytes or more"


def to(text: str) -> RegisterChange:
    """A change to some text."""
    return lambda register: text.encode()


class Table:
    """Witnesses round a table; whoever is `deaf` hears nothing, and answers of the `mute` get lost."""

    def __init__(self, names: tuple[str, ...] = NAMES) -> None:
        self.numbers = itertools.count(1)
        self.quorum = Quorum("fleet", 1, tuple(QuorumMember(name, f"disk-{name}") for name in names))
        self.witnesses = {
            name: Acceptor(name, AcceptorState(f"disk-{name}"), f"run-{name}") for name in names
        }
        for witness in self.witnesses.values():
            witness.handle(m.InstallEpochRequest(0, self.quorum, {}))
        self.deaf: set[str] = set()
        self.mute: set[str] = set()
        self.callers: dict[str, BallotGenerator] = {}

    def operation(
        self, change: RegisterChange | None, who: int = 1, mark: str = "a", key: str = "k"
    ) -> Proposer:
        rounds = self.callers.setdefault(str(who), BallotGenerator(who))
        return Proposer(self.quorum, key, change, rounds, mark, lambda: next(self.numbers))

    def deliver(
        self, machine: Proposer | QuorumReconfiguration, sends: list[tuple[str, m.QuorumRequest]]
    ) -> None:
        """Bring requests and answers until nobody has anything more to say."""
        while sends:
            name, request = sends.pop(0)
            if name in self.deaf or name not in self.witnesses:
                continue
            answer, _ = self.witnesses[name].handle(request)
            if name not in self.mute:
                sends += machine.handle_reply(name, answer)

    def run(self, change: RegisterChange | None, who: int = 1, mark: str = "a") -> OperationOutcome:
        """One operation, asked anew up to five times."""
        operation = self.operation(change, who, mark)
        self.deliver(operation, operation.start())
        for _ in range(5):
            if operation.outcome is None:
                self.deliver(operation, operation.retry())
        operation.give_up()
        assert operation.outcome is not None
        return operation.outcome


@pytest.mark.parametrize(
    ("spoil", "why"),
    [
        (lambda frame: b"xx" + frame[2:], "foreign"),
        (lambda frame: frame[:2] + bytes([9]) + frame[3:], "newer"),
        (lambda frame: frame[:4] + b"\xff\xff\xff\xff" + frame[8:], "oversized"),
        (lambda frame: frame[:-1] + bytes([frame[-1] ^ 1]), "damaged"),
        (lambda frame: codec.encode_frame(m.StatusRequest(1), b"another key of some length"), "damaged"),
        (lambda frame: codec.encode_frame(m.AcceptReply(1, "disk"), KEY), "malformed"),
    ],
)
def test_what_is_no_message_is_told_apart(spoil: Callable[[bytes], bytes], why: str) -> None:
    frame = spoil(codec.encode_frame(m.ReadRequest(7, "fleet", 1, "k"), KEY))
    with pytest.raises(codec.DecodeError, match=why):
        for whole in codec.FrameDecoder().feed(frame):
            codec.decode_request(whole, KEY)


def test_frames_come_in_any_pieces() -> None:
    messages = [m.ReadRequest(n, "fleet", 1, "k" * n) for n in range(5)]
    data = b"".join(codec.encode_frame(one, KEY) for one in messages)
    frames = codec.FrameDecoder()
    whole = [frame for n in range(len(data)) for frame in frames.feed(data[n : n + 1])]
    assert [
        codec.decode_request(frame, KEY) for frame in whole
    ] == messages and not frames.has_partial_frame()


def test_a_change_is_seen_by_the_next_reader_and_declined_ones_change_nothing() -> None:
    table = Table()
    assert table.run(None).register == Register()
    done = table.run(to("one"), mark="m1")
    assert (done.kind, done.register.version, done.register.value) == (OutcomeKind.COMMITTED, 1, b"one")

    def never(register: Register) -> bytes:
        raise ChangeRejectedError

    assert table.run(never, mark="m2").kind is OutcomeKind.UNCHANGED
    assert table.run(None).register.change_id == "m1"
    table.deaf = {"w1", "w2"}
    assert table.run(to("two"), mark="m3").kind is OutcomeKind.FAILED


def test_a_change_whose_answers_are_lost_is_made_once() -> None:
    table = Table()
    first = table.operation(to("one"), mark="m1")
    sends = first.start()
    table.deliver(first, sends)
    assert first.outcome is not None
    second = table.operation(to("two"), who=2, mark="m2")
    for name, request in second.start():
        answer, _ = table.witnesses[name].handle(request)
        accepts = second.handle_reply(name, answer)
        if accepts:
            break
    table.witnesses["w3"].handle(accepts[2][1])  # one has it, and its answer is lost
    table.deliver(second, second.retry())
    assert second.outcome is not None and second.outcome.register.version == 2
    assert table.run(None, who=3).register.change_id == "m2"


def test_a_half_made_change_of_another_is_finished_and_its_maker_is_told_the_truth() -> None:
    table = Table()
    lost = table.operation(to("lost"), who=5, mark="lost")
    accepts: list[tuple[str, m.QuorumRequest]] = []
    for name, request in lost.start():
        accepts = accepts or lost.handle_reply(name, table.witnesses[name].handle(request)[0])
    table.witnesses["w1"].handle(accepts[0][1])
    table.deaf = {"w3"}
    assert table.run(to("next"), who=6, mark="next").register.version == 2  # after the half made one
    assert table.run(to("more"), who=6, mark="more").register.version == 3
    for _ in range(2):  # the first time it learns of higher ballots
        table.deliver(lost, lost.retry())
    assert lost.outcome is not None and lost.outcome.kind is OutcomeKind.UNKNOWN


def test_a_ballot_for_two_values_is_refused() -> None:
    table = Table()
    witness = table.witnesses["w1"]
    accept = m.AcceptRequest(1, "fleet", 1, "k", (1, 1), Register(1, "a", b"x"))
    assert isinstance(witness.handle(accept)[0], m.AcceptReply)
    again = m.AcceptRequest(2, "fleet", 1, "k", (1, 1), Register(1, "b", b"y"))
    assert isinstance(witness.handle(again)[0], m.UnavailableReply)
    assert isinstance(witness.handle(accept)[0], m.AcceptReply)  # the same once more


def restarted(table: Table, name: str, saved: AcceptorState) -> Acceptor:
    """A witness that starts with what was saved."""
    table.witnesses[name] = Acceptor(name, saved, "another run")
    return table.witnesses[name]


def meet(table: Table, name: str, others: tuple[str, ...], patient: bool = False) -> Acceptor:
    """Tell the others of a start."""
    witness = table.witnesses[name]
    for other in others:
        greeting = witness.make_restart_check(1)
        assert greeting is not None
        answer, _ = table.witnesses[other].handle(greeting)
        assert isinstance(answer, m.RestartCheckReply)
        witness.handle_restart_check_reply(answer, patient)
    return witness


@pytest.mark.parametrize(
    ("starts", "others", "patient", "votes", "stranger"),
    [
        (5, ("w1",), False, True, False),  # enough for a majority with it
        (5, ("w1",), True, False, False),  # but the others have time yet
        (5, ("w1", "w2"), True, True, False),
        (5, (), False, False, False),
        (4, ("w1",), False, False, True),  # they have heard of the fourth start
        (2, ("w2", "w1"), False, False, True),
    ],
)
def test_a_start_is_told_before_it_votes(
    starts: int, others: tuple[str, ...], patient: bool, votes: bool, stranger: bool
) -> None:
    table = Table()
    for other in ("w1", "w2"):
        table.witnesses[other].handle(m.RestartCheckRequest(1, "fleet", "disk-w3", 4, "the fourth", 1))
    saved = AcceptorState("disk-w3", starts, table.quorum)
    witness = restarted(table, "w3", saved)
    assert isinstance(witness.handle(m.ReadRequest(1, "fleet", 1, "k"))[0], m.UnavailableReply)
    meet(table, "w3", others, patient)
    assert (witness.is_voting, witness.is_stale_copy) == (votes, stranger)


def test_the_next_quorum_has_all_that_was_chosen_and_the_old_one_decides_nothing() -> None:
    table = Table()
    table.run(to("kept"), mark="kept")
    old = table.quorum
    table.witnesses["w3"] = Acceptor("w3", AcceptorState("new disk"), "run")  # its folder was emptied
    members = (*old.members[:2], QuorumMember("w3", "new disk"))
    assert not check_member_change(old, members)
    succession = QuorumReconfiguration(old, members, BallotGenerator(9), "next", lambda: next(table.numbers))
    table.deliver(succession, succession.start())
    assert succession.phase is ReconfigurationPhase.DONE and succession.successor is not None
    stale = table.operation(to("late"), who=2, mark="late")
    table.deliver(stale, stale.start())
    assert (
        stale.outcome is None
        and stale.wrong_epoch_reply is not None
        and stale.wrong_epoch_reply.quorum is not None
    )
    table.deliver(stale, stale.switch_quorum(stale.wrong_epoch_reply.quorum))
    assert stale.outcome is not None and stale.outcome.register.version == 2
    table.quorum = succession.successor.quorum
    table.deaf = {"w1"}
    assert table.run(None).register.change_id == "late"  # by a majority with the new storage


def test_two_who_lead_over_come_to_one_quorum_and_a_lagging_witness_is_brought_along() -> None:
    table = Table(("w1", "w2", "w3", "w4", "w5"))
    old = table.quorum
    table.run(to("kept"), mark="kept")
    ways = []
    for number, gone in enumerate(("w4", "w5")):
        members = tuple(one for one in old.members if one.name != gone)
        ways.append(
            QuorumReconfiguration(
                old, members, BallotGenerator(20 + number), f"way {number}", lambda: next(table.numbers)
            )
        )
    table.deaf = {"w3"}
    for way in ways:
        table.deliver(way, way.start())
    found = [way.successor.quorum if way.successor is not None else way.later_quorum for way in ways]
    assert found[0] == found[1] and found[0] is not None
    table.deaf = set()
    assert table.witnesses["w3"].state.quorum == old
    meet(table, "w3", ("w1",))
    assert table.witnesses["w3"].state.quorum == found[0]
    assert table.witnesses["w3"].state.register_states["k"].register.change_id == "kept"


@pytest.mark.parametrize(
    ("members", "why"),
    [
        (
            (QuorumMember("w1", "disk-w1"), QuorumMember("w2", "other"), QuorumMember("w3", "another")),
            "one witness at a time",
        ),
        (
            (QuorumMember("w1", "disk-w1"), QuorumMember("w1", "disk-w2"), QuorumMember("w3", "disk-w3")),
            "twice",
        ),
        (
            (QuorumMember("w1", "disk-w1"), QuorumMember("w2", "disk-w1"), QuorumMember("w3", "disk-w3")),
            "twice",
        ),
        ((), "0 witnesses"),
    ],
)
def test_which_quorums_may_not_follow(members: tuple[QuorumMember, ...], why: str) -> None:
    assert why in check_member_change(Table().quorum, members)


def test_registers_and_values_are_bounded() -> None:
    witness = Table().witnesses["w1"]
    large = m.AcceptRequest(1, "fleet", 1, "k", (1, 1), Register(1, "a", bytes(m.MAX_VALUE_BYTES + 1)))
    assert isinstance(witness.handle(large)[0], m.UnavailableReply)
    witness.state.register_states = {str(n): RegisterState() for n in range(m.MAX_REGISTERS)}
    assert isinstance(witness.handle(m.PrepareRequest(1, "fleet", 1, "new", (1, 1)))[0], m.UnavailableReply)
    assert isinstance(witness.handle(m.PrepareRequest(1, "fleet", 1, "7", (1, 1)))[0], m.PromiseReply)
