"""Registers kept by witnesses: frames, votes, operations, epochs; all without sockets."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from rosepick.agreement import codec
from rosepick.agreement import messages as m
from rosepick.agreement.messages import Member, Quorum, Register, Slot
from rosepick.agreement.operation import Change, Declined, Kind, Operation, Outcome, Rounds
from rosepick.agreement.succession import Step, Succession, allowed
from rosepick.agreement.witness import Saved, Witness

NAMES = ("w1", "w2", "w3")
KEY = b"sixteen bytes or more"


def to(text: str) -> Change:
    """A change to some text."""
    return lambda register: text.encode()


class Table:
    """Witnesses round a table; whoever is `deaf` hears nothing, and answers of the `mute` get lost."""

    def __init__(self, names: tuple[str, ...] = NAMES) -> None:
        self.numbers = itertools.count(1)
        self.quorum = Quorum("fleet", 1, tuple(Member(name, f"disk-{name}") for name in names))
        self.witnesses = {name: Witness(name, Saved(f"disk-{name}"), f"run-{name}") for name in names}
        for witness in self.witnesses.values():
            witness.handle(m.Install(0, self.quorum, {}))
        self.deaf: set[str] = set()
        self.mute: set[str] = set()
        self.callers: dict[str, Rounds] = {}

    def operation(self, change: Change | None, who: int = 1, mark: str = "a", key: str = "k") -> Operation:
        rounds = self.callers.setdefault(str(who), Rounds(who))
        return Operation(self.quorum, key, change, rounds, mark, lambda: next(self.numbers))

    def deliver(self, machine: Operation | Succession, sends: list[tuple[str, m.Request]]) -> None:
        """Bring requests and answers until nobody has anything more to say."""
        while sends:
            name, request = sends.pop(0)
            if name in self.deaf or name not in self.witnesses:
                continue
            answer, _ = self.witnesses[name].handle(request)
            if name not in self.mute:
                sends += machine.heard(name, answer)

    def run(self, change: Change | None, who: int = 1, mark: str = "a") -> Outcome:
        """One operation, asked anew up to five times."""
        operation = self.operation(change, who, mark)
        self.deliver(operation, operation.begin())
        for _ in range(5):
            if operation.outcome is None:
                self.deliver(operation, operation.again())
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
        (lambda frame: codec.framed(m.Status(1), b"another key of some length"), "damaged"),
        (lambda frame: codec.framed(m.Accepted(1, "disk"), KEY), "malformed"),
    ],
)
def test_what_is_no_message_is_told_apart(spoil: Callable[[bytes], bytes], why: str) -> None:
    frame = spoil(codec.framed(m.Look(7, "fleet", 1, "k"), KEY))
    with pytest.raises(codec.Unreadable, match=why):
        for whole in codec.Frames().feed(frame):
            codec.request(whole, KEY)


def test_frames_come_in_any_pieces() -> None:
    messages = [m.Look(n, "fleet", 1, "k" * n) for n in range(5)]
    data = b"".join(codec.framed(one, KEY) for one in messages)
    frames = codec.Frames()
    whole = [frame for n in range(len(data)) for frame in frames.feed(data[n : n + 1])]
    assert [codec.request(frame, KEY) for frame in whole] == messages and not frames.partial()


def test_a_change_is_seen_by_the_next_reader_and_declined_ones_change_nothing() -> None:
    table = Table()
    assert table.run(None).register == Register()
    done = table.run(to("one"), mark="m1")
    assert (done.kind, done.register.version, done.register.value) == (Kind.DONE, 1, b"one")

    def never(register: Register) -> bytes:
        raise Declined

    assert table.run(never, mark="m2").kind is Kind.READ
    assert table.run(None).register.mark == "m1"
    table.deaf = {"w1", "w2"}
    assert table.run(to("two"), mark="m3").kind is Kind.FAILED


def test_a_change_whose_answers_are_lost_is_made_once() -> None:
    table = Table()
    first = table.operation(to("one"), mark="m1")
    sends = first.begin()
    table.deliver(first, sends)
    assert first.outcome is not None
    second = table.operation(to("two"), who=2, mark="m2")
    for name, request in second.begin():
        answer, _ = table.witnesses[name].handle(request)
        accepts = second.heard(name, answer)
        if accepts:
            break
    table.witnesses["w3"].handle(accepts[2][1])  # one has it, and its answer is lost
    table.deliver(second, second.again())
    assert second.outcome is not None and second.outcome.register.version == 2
    assert table.run(None, who=3).register.mark == "m2"


def test_a_half_made_change_of_another_is_finished_and_its_maker_is_told_the_truth() -> None:
    table = Table()
    lost = table.operation(to("lost"), who=5, mark="lost")
    accepts: list[tuple[str, m.Request]] = []
    for name, request in lost.begin():
        accepts = accepts or lost.heard(name, table.witnesses[name].handle(request)[0])
    table.witnesses["w1"].handle(accepts[0][1])
    table.deaf = {"w3"}
    assert table.run(to("next"), who=6, mark="next").register.version == 2  # after the half made one
    assert table.run(to("more"), who=6, mark="more").register.version == 3
    for _ in range(2):  # the first time it learns of higher ballots
        table.deliver(lost, lost.again())
    assert lost.outcome is not None and lost.outcome.kind is Kind.UNKNOWN


def test_a_ballot_for_two_values_is_refused() -> None:
    table = Table()
    witness = table.witnesses["w1"]
    accept = m.Accept(1, "fleet", 1, "k", (1, 1), Register(1, "a", b"x"))
    assert isinstance(witness.handle(accept)[0], m.Accepted)
    again = m.Accept(2, "fleet", 1, "k", (1, 1), Register(1, "b", b"y"))
    assert isinstance(witness.handle(again)[0], m.NotNow)
    assert isinstance(witness.handle(accept)[0], m.Accepted)  # the same once more


def restarted(table: Table, name: str, saved: Saved) -> Witness:
    """A witness that starts with what was saved."""
    table.witnesses[name] = Witness(name, saved, "another run")
    return table.witnesses[name]


def meet(table: Table, name: str, others: tuple[str, ...], patient: bool = False) -> Witness:
    """Tell the others of a start."""
    witness = table.witnesses[name]
    for other in others:
        greeting = witness.greeting(1)
        assert greeting is not None
        answer, _ = table.witnesses[other].handle(greeting)
        assert isinstance(answer, m.Remembered)
        witness.remembered(answer, patient)
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
        table.witnesses[other].handle(m.Met(1, "fleet", "disk-w3", 4, "the fourth", 1))
    saved = Saved("disk-w3", starts, table.quorum)
    witness = restarted(table, "w3", saved)
    assert isinstance(witness.handle(m.Look(1, "fleet", 1, "k"))[0], m.NotNow)
    meet(table, "w3", others, patient)
    assert (witness.votes, witness.stranger) == (votes, stranger)


def test_the_next_quorum_has_all_that_was_chosen_and_the_old_one_decides_nothing() -> None:
    table = Table()
    table.run(to("kept"), mark="kept")
    old = table.quorum
    table.witnesses["w3"] = Witness("w3", Saved("new disk"), "run")  # its folder was emptied
    members = (*old.members[:2], Member("w3", "new disk"))
    assert not allowed(old, members)
    succession = Succession(old, members, Rounds(9), "next", lambda: next(table.numbers))
    table.deliver(succession, succession.begin())
    assert succession.step is Step.DONE and succession.next is not None
    stale = table.operation(to("late"), who=2, mark="late")
    table.deliver(stale, stale.begin())
    assert stale.outcome is None and stale.elsewhere is not None and stale.elsewhere.quorum is not None
    table.deliver(stale, stale.move(stale.elsewhere.quorum))
    assert stale.outcome is not None and stale.outcome.register.version == 2
    table.quorum = succession.next.quorum
    table.deaf = {"w1"}
    assert table.run(None).register.mark == "late"  # by a majority with the new storage


def test_two_who_lead_over_come_to_one_quorum_and_a_lagging_witness_is_brought_along() -> None:
    table = Table(("w1", "w2", "w3", "w4", "w5"))
    old = table.quorum
    table.run(to("kept"), mark="kept")
    ways = []
    for number, gone in enumerate(("w4", "w5")):
        members = tuple(one for one in old.members if one.name != gone)
        ways.append(
            Succession(old, members, Rounds(20 + number), f"way {number}", lambda: next(table.numbers))
        )
    table.deaf = {"w3"}
    for way in ways:
        table.deliver(way, way.begin())
    found = [way.next.quorum if way.next is not None else way.later for way in ways]
    assert found[0] == found[1] and found[0] is not None
    table.deaf = set()
    assert table.witnesses["w3"].saved.quorum == old
    meet(table, "w3", ("w1",))
    assert table.witnesses["w3"].saved.quorum == found[0]
    assert table.witnesses["w3"].saved.slots["k"].register.mark == "kept"


@pytest.mark.parametrize(
    ("members", "why"),
    [
        ((Member("w1", "disk-w1"), Member("w2", "other"), Member("w3", "another")), "one witness at a time"),
        ((Member("w1", "disk-w1"), Member("w1", "disk-w2"), Member("w3", "disk-w3")), "twice"),
        ((Member("w1", "disk-w1"), Member("w2", "disk-w1"), Member("w3", "disk-w3")), "twice"),
        ((), "0 witnesses"),
    ],
)
def test_which_quorums_may_not_follow(members: tuple[Member, ...], why: str) -> None:
    assert why in allowed(Table().quorum, members)


def test_registers_and_values_are_bounded() -> None:
    witness = Table().witnesses["w1"]
    large = m.Accept(1, "fleet", 1, "k", (1, 1), Register(1, "a", bytes(m.LARGEST_VALUE + 1)))
    assert isinstance(witness.handle(large)[0], m.NotNow)
    witness.saved.slots = {str(n): Slot() for n in range(m.MOST_REGISTERS)}
    assert isinstance(witness.handle(m.Prepare(1, "fleet", 1, "new", (1, 1)))[0], m.NotNow)
    assert isinstance(witness.handle(m.Prepare(1, "fleet", 1, "7", (1, 1)))[0], m.Promised)
