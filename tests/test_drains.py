"""Drains without sockets: ledger, budget, agent, warden, claims; then the drills."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from rosepick.consensus.messages import Register
from rosepick.consensus.proposer import ChangeRejectedError, OperationOutcome, OutcomeKind, RegisterChange
from rosepick.coordination.agent_state_file import AgentStateFile
from rosepick.coordination.process_stats import process_start_time
from rosepick.fleet import failure_detector as counting
from rosepick.fleet import fleet_state as book
from rosepick.fleet.agent import Agent, AgentPolicy, MemberAction, MemberStatus
from rosepick.fleet.disruption_budget import (
    DisruptionBudget,
    Limit,
    blocking_reasons,
    may_take_permit,
    unplanned_halt_reason,
)
from rosepick.fleet.failure_detector import FailureDetector, HealthReport, StoreCapacityEstimator
from rosepick.fleet.fleet_state import DrainRequest, FleetMember, FleetState, MemberPhase
from rosepick.fleet.versioned_document import DocumentDecodeError
from rosepick.lab.drill import drain_invariants, drill_file, runner, simulated_drains
from rosepick.lab.drill.history import (
    AnyEvent,
    AvailabilityChanged,
    ClientRequestCompleted,
    DrainAnnounced,
    FaultInjected,
    NodeRequestReceived,
    OperatorOrderAccepted,
)
from rosepick.settings import fleet_file

ROOT = Path(__file__).parent.parent
TWO = Limit(most=2, zone_most=1, share=1.0, zone_share=1.0, stay=1)
BUDGET = DisruptionBudget(TWO, TWO)


class Shelf:
    """The ledger's register, as a quorum would keep it."""

    def __init__(self, *names: str) -> None:
        self.register = Register()
        for number, name in enumerate(names):
            self.make(
                book.join_member(name, book.MemberKind.ROUTER, "ew"[number % 2], 1000, BUDGET.digest(), 0.0)
            )
        self.make(
            book.apply_health_summary(dict.fromkeys(names, False), 1000, 0, 0, "", "w", 0.0)
        )  # all are up

    def make(self, change: RegisterChange | None) -> OperationOutcome:
        """Read or change it."""
        try:
            value = None if change is None else change(self.register)
        except ChangeRejectedError:
            value = None
        if value is None:
            return OperationOutcome(OutcomeKind.UNCHANGED, self.register)
        self.register = Register(self.register.version + 1, "m", value)
        return OperationOutcome(OutcomeKind.COMMITTED, self.register)

    def done(self, change: RegisterChange) -> bool:
        """Whether a change is made."""
        return self.make(change).kind is OutcomeKind.COMMITTED

    @property
    def ledger(self) -> FleetState:
        """What it says."""
        return book.decode_fleet_state(self.register)

    def out(self, *names: str, to: MemberPhase = MemberPhase.OUT) -> None:
        """Have members go out by permits, whatever the budget says."""
        for name in names:
            self.make(book.request_drain([name], "a", "x", 0.0))
            self.make(book.acquire_permit(name, lambda ledger, who: True, 0.0))
            permit = self.ledger.members[name].permit
            for at, step in (
                (MemberPhase.LEAVING, book.begin_drain),
                (MemberPhase.OUT, book.mark_out),
                (MemberPhase.BACK, book.mark_rejoining),
            ):
                if at <= to:
                    self.make(step(name, permit, 0.0))


def may(ledger: FleetState, name: str, budget: DisruptionBudget = BUDGET, minute: int = 600) -> bool:
    return not blocking_reasons(ledger, budget, name, minute)


def test_the_last_permit_is_given_once_however_old_the_copies_were() -> None:
    shelf = Shelf("a", "b", "c", "d", "e", "f")
    shelf.make(book.request_drain(["a", "b", "c", "d"], "crew", "patch", 0.0))
    old = shelf.register  # all have read this

    def takes(name: str) -> bool:
        assert may(book.decode_fleet_state(old), name)  # by the old copy each of them may
        return shelf.done(
            book.acquire_permit(name, lambda ledger, who: may_take_permit(BUDGET, 0, ledger, who), 0.0)
        )

    assert [takes(name) for name in "abcd"] == [True, True, False, False]
    assert shelf.ledger.last_permit_number == 2 and shelf.ledger.pending_drains() == ["c", "d"]


@pytest.mark.parametrize(
    ("setting", "name", "free"),
    [
        (lambda s: None, "a", True),
        (lambda s: s.out("c"), "a", False),  # of one zone
        (lambda s: s.out("b"), "a", True),
        (lambda s: s.out("b", "c"), "e", False),
        (lambda s: s.make(book.apply_health_summary({"c": True}, 1000, 0, 1, "", "w", 0.0)), "a", False),
        (
            lambda s: s.make(
                book.apply_health_summary({"a": True, "b": True, "d": True}, 1000, 0, 1, "", "w", 0.0)
            ),
            "a",
            False,
        ),
        (
            lambda s: s.make(book.apply_health_summary({"a": True}, 1000, 0, 1, "", "w", 0.0)),
            "a",
            True,
        ),  # it is missing already
        (
            lambda s: (s.make(book.apply_health_summary({}, 400, 0, 1, "", "w", 0.0)), s.out("b")),
            "a",
            False,
        ),  # room for one
        (lambda s: (s.out("c"), s.make(book.evict_member("c", "op", "gone", 0.0))), "a", True),
        (lambda s: s.make(book.halt_drains("op", "stop", 0.0)), "a", False),
    ],
)
def test_what_blocks_a_drain(setting: Callable[[Shelf], object], name: str, free: bool) -> None:
    shelf = Shelf("a", "b", "c", "d", "e", "f")
    setting(shelf)
    shelf.make(book.request_drain([name], "crew", "patch", 0.0))
    why = blocking_reasons(shelf.ledger, BUDGET, name, 600)
    assert (not why) is free, why
    assert may_take_permit(BUDGET, 600, shelf.ledger, name) is free


def test_limits_of_weight_hours_and_groups() -> None:
    shelf = Shelf("a", "b", "c", "d", "e", "f")
    shelf.make(book.join_member("b", book.MemberKind.ROUTER, "w", 4000, BUDGET.digest(), 0.0))
    shelf.out("b")
    wide = Limit(most=4, share=1.0, zone_most=4, zone_share=1.0)
    assert may(shelf.ledger, "a", DisruptionBudget(wide, wide))
    assert not may(shelf.ledger, "a", DisruptionBudget(Limit(4, 1.0, 0.5, 4, 1.0), wide))
    assert not may(shelf.ledger, "a", DisruptionBudget(wide, wide, anti_affinity_groups={"rack": ("a", "b")}))
    night = DisruptionBudget(wide, wide, closed_minutes=((22 * 60, 6 * 60),))
    assert [may(shelf.ledger, "a", night, minute) for minute in (0, 359, 360, 1319, 1320)] == [
        False,
        False,
        True,
        True,
        False,
    ]
    few = Limit(most=4, share=1.0, zone_most=4, zone_share=1.0, stay=3)
    assert "must stay" in blocking_reasons(shelf.ledger, DisruptionBudget(few, few), "a", 0)[0]


def test_a_dying_host_goes_over_the_budget_and_not_under_the_floor() -> None:
    shelf = Shelf("a", "b", "c", "d")
    shelf.out("c", "b")
    shelf.make(book.request_drain(["d"], "op", "smoke", 0.0, immediate=True))
    assert "must stay" in blocking_reasons(shelf.ledger, BUDGET, "d", 0)[0]  # b and d are all of the west
    shelf.make(book.request_drain(["d"], "op", "smoke", 0.0, immediate=True, ignores_minimum=True))
    assert may(shelf.ledger, "d")
    shelf.make(book.halt_drains("op", "stop", 0.0))
    assert may(shelf.ledger, "d")


def test_who_waited_longer_goes_first_but_not_who_cannot_go() -> None:
    shelf = Shelf("a", "b", "c", "d", "e", "f")
    shelf.out("b")
    shelf.make(book.request_drain(["d"], "one", "x", 0.0))  # cannot: b of its zone is out
    shelf.make(book.request_drain(["c"], "one", "x", 0.0))
    shelf.make(book.request_drain(["a"], "two", "x", 0.0))
    assert [may_take_permit(BUDGET, 0, shelf.ledger, name) for name in "dca"] == [False, True, False]
    shelf.make(
        book.apply_health_summary({"c": True}, 1000, 0, 1, "", "w", 0.0)
    )  # c is dead: it does not hold a up, its loss does
    assert not may_take_permit(BUDGET, 0, shelf.ledger, "a")


@pytest.mark.parametrize(
    ("before", "step", "made"),
    [
        (MemberPhase.GIVEN, lambda s, p: book.begin_drain("a", p, 0.0), True),
        (MemberPhase.GIVEN, lambda s, p: book.begin_drain("a", p + 1, 0.0), False),
        (MemberPhase.GIVEN, lambda s, p: book.mark_out("a", p, 0.0), False),
        (
            MemberPhase.GIVEN,
            lambda s, p: (s.make(book.halt_drains("op", "x", 0.0)), book.begin_drain("a", p, 0.0))[1],
            False,
        ),
        (
            MemberPhase.GIVEN,
            lambda s, p: (s.make(book.cancel_drain(["a"], "op", 0.0)), book.begin_drain("a", p, 0.0))[1],
            False,
        ),
        (MemberPhase.LEAVING, lambda s, p: book.withdraw_permit("a", p, 0.0), False),
        (MemberPhase.LEAVING, lambda s, p: book.mark_rejoining("a", p, 0.0), True),
        (MemberPhase.OUT, lambda s, p: book.mark_healthy("a", p, 0.0), False),  # it was not even started
        (MemberPhase.BACK, lambda s, p: book.mark_healthy("a", p, 0.0), True),
        (
            MemberPhase.BACK,
            lambda s, p: (s.make(book.evict_member("a", "op", "x", 0.0)), book.mark_healthy("a", p, 0.0))[1],
            False,
        ),
    ],
)
def test_steps_of_a_permit(
    before: MemberPhase, step: Callable[[Shelf, int], RegisterChange], made: bool
) -> None:
    shelf = Shelf("a", "b", "c", "d")
    shelf.out("a", to=before)
    permit = shelf.ledger.members["a"].permit
    assert permit and shelf.done(step(shelf, permit)) is made


def test_a_halt_stays_and_withdraws_only_what_has_not_begun() -> None:
    shelf = Shelf("a", "b", "c", "d")
    shelf.out("a", to=MemberPhase.GIVEN)
    shelf.out("b", to=MemberPhase.LEAVING)
    assert shelf.done(book.halt_drains("one", "first", 1.0)) and not shelf.done(
        book.halt_drains("two", "second", 2.0)
    )
    assert shelf.ledger.halt == book.HaltState("one", "first", 1.0)
    assert [shelf.ledger.members[n].phase for n in "ab"] == [MemberPhase.IN, MemberPhase.LEAVING]
    assert shelf.done(book.resume_drains("op", "fine", 3.0)) and shelf.ledger.halt is None


def test_a_warden_with_an_old_token_moves_nothing() -> None:
    shelf = Shelf("a", "b")
    assert shelf.done(book.apply_health_summary({"a": True}, 1000, 0, 7, "", "new", 0.0))
    assert not shelf.done(book.apply_health_summary({"a": False}, 0, 0, 6, "panic", "old", 0.0))
    assert shelf.ledger.members["a"].lost and shelf.ledger.halt is None


def test_a_ledger_of_a_thousand_is_small_and_damage_is_told() -> None:
    members = {f"cache-node-{n:04}": FleetMember(1, f"zone-{n % 6}", 900 + n % 300) for n in range(1_000)}
    value = book.encode_fleet_state(FleetState(budget_digest="abc", members=members))
    assert len(value) < 24_000 and book.decode_fleet_state(Register(1, "m", value)).members == members
    full = Shelf()
    full.register = Register(1, "m", value)
    assert not full.done(book.join_member("one-more", book.MemberKind.CACHE, "z", 1, "abc", 0.0))
    for bad in (b"\x01nonsense", b"\x02" + value[1:], b"\x01"):
        with pytest.raises(DocumentDecodeError):
            book.decode_fleet_state(Register(1, "m", bad))


def test_what_was_never_in_is_counted_and_is_no_failure() -> None:
    shelf = Shelf()
    for name in "abc":
        shelf.make(book.join_member(name, book.MemberKind.CACHE, "e", 1, BUDGET.digest(), 0.0))
    assert all(one.is_out for one in shelf.ledger.members.values()) and not unplanned_halt_reason(
        shelf.ledger, BUDGET
    )
    assert counting.detector_candidates(shelf.ledger) == ["a", "b", "c"]  # somebody has to find them
    shelf.make(book.apply_health_summary({"a": False, "b": True, "c": False}, 1000, 0, 1, "", "a", 0.0))
    assert [one.lost for one in shelf.ledger.members.values()] == [False, True, False]
    shelf.make(book.apply_health_summary({"a": True, "c": True}, 1000, 0, 1, "", "a", 0.0))
    assert "a, c" in unplanned_halt_reason(shelf.ledger, BUDGET)


def test_more_out_unasked_than_the_budget_is_a_halt() -> None:
    shelf = Shelf("a", "b", "c", "d", "e", "f")
    shelf.make(book.apply_health_summary({"a": True}, 1000, 0, 1, "", "w", 0.0))
    assert not unplanned_halt_reason(shelf.ledger, BUDGET)
    shelf.make(book.apply_health_summary({"c": True}, 1000, 0, 1, "", "w", 0.0))
    assert "a, c" in unplanned_halt_reason(shelf.ledger, BUDGET) and not unplanned_halt_reason(
        shelf.ledger, DisruptionBudget(TWO, TWO, unplanned_allowance=1)
    )


# ---------------------------------------------------------------------------- agent and warden


class Kept:
    """An agent's disk."""

    def __init__(self) -> None:
        self.at = (0, 0)

    def load(self) -> tuple[int, int]:
        return self.at

    def save(self, phase: int, permit: int) -> None:
        self.at = phase, permit


UP, DOWN = MemberStatus(True, True), MemberStatus()


class Rig:
    """One agent and the ledger."""

    def __init__(self, *others: str) -> None:
        self.shelf, self.kept, self.now, self.counts = Shelf("a", *others), Kept(), 0.0, True
        self.begin()

    def begin(self) -> None:
        """The agent starts."""
        self.agent = Agent(
            "a", book.MemberKind.ROUTER, "e", 1000, BUDGET, AgentPolicy(poll_interval_ms=100.0), self.kept
        )

    def turn(self, own: MemberStatus, times: int = 1, lost: bool = False) -> MemberAction:
        """Look at the member, ask the quorum; what is to be done at last."""
        for _ in range(times):
            self.now += 100.0
            if self.counts:
                self.shelf.make(book.apply_health_summary({}, 1000, 0, 1, "", "w", 0.0))
            what = self.agent.next_action(self.now, own)
            ask = self.agent.next_operation(self.now, own, 0.0)
            if ask is not None:
                self.agent.handle_outcome(
                    self.now,
                    ask,
                    OperationOutcome(OutcomeKind.FAILED) if lost else self.shelf.make(ask.change),
                )
        return what

    def stands(self) -> str:
        """Where the ledger has it."""
        return MemberPhase(self.shelf.ledger.members["a"].phase).name


def test_a_drain_from_permit_to_proof() -> None:
    rig = Rig("b", "c", "d")
    assert (
        rig.turn(UP, 4) is MemberAction.NONE and rig.turn(DOWN) is MemberAction.START
    )  # dead by itself: it is started
    rig.shelf.make(book.request_drain(["a"], "op", "patch", 0.0))
    rig.counts = False
    assert rig.turn(UP, 9) is MemberAction.NONE and rig.stands() == "IN"  # nobody counts: no permit
    rig.counts = True
    assert rig.turn(UP, 5) is MemberAction.STOP and rig.stands() == "LEAVING"
    assert rig.turn(DOWN, 4) is MemberAction.NONE and rig.stands() == "OUT"
    rig.shelf.make(book.cancel_drain(["a"], "op", 0.0))
    assert rig.turn(DOWN, 3) is MemberAction.START
    rig.turn(MemberStatus(True, False), 40)
    assert rig.stands() == "BACK"  # it runs, and does not serve
    rig.turn(UP, 5)
    assert rig.stands() == "BACK"  # not for long enough
    rig.turn(UP, 25)
    assert rig.stands() == "IN" and rig.kept.at == (0, 0)


@pytest.mark.parametrize("at", [MemberPhase.GIVEN, MemberPhase.LEAVING, MemberPhase.OUT, MemberPhase.BACK])
@pytest.mark.parametrize("wiped", [False, True])
def test_an_agent_that_dies_anywhere_ends_its_permit(at: MemberPhase, wiped: bool) -> None:
    rig = Rig("b", "c", "d")
    rig.shelf.out("a", to=at)
    rig.kept.at = (0, 0) if wiped else (int(at), rig.shelf.ledger.members["a"].permit)
    rig.begin()
    up = at in (MemberPhase.GIVEN, MemberPhase.LEAVING)
    for _ in range(6):
        up = {MemberAction.STOP: False, MemberAction.START: True}.get(rig.turn(UP if up else DOWN), up)
    rig.shelf.make(book.cancel_drain(["a"], "op", 0.0))
    for _ in range(60):
        up = {MemberAction.STOP: False, MemberAction.START: True}.get(rig.turn(UP if up else DOWN), up)
    assert rig.stands() == "IN" and not rig.shelf.ledger.members["a"].permit and rig.kept.at == (0, 0)


def test_without_the_quorum_nothing_begins_and_what_is_out_comes_back() -> None:
    rig = Rig("b", "c", "d")
    rig.turn(UP, 2)
    rig.shelf.make(book.request_drain(["a"], "op", "patch", 0.0))
    rig.turn(UP, 3)
    assert rig.stands() == "LEAVING"
    # the permit has begun, and then this process stood still: it does not go out by what it read before
    rig.now += 5_000.0
    assert rig.agent.next_action(rig.now, UP) is MemberAction.NONE
    rig = Rig("b", "c", "d")
    rig.shelf.out("a", to=MemberPhase.OUT)
    rig.kept.at = (int(MemberPhase.OUT), rig.shelf.ledger.members["a"].permit)
    rig.begin()
    rig.turn(DOWN, 4)
    assert rig.turn(DOWN, 30, lost=True) is MemberAction.NONE
    assert rig.turn(DOWN, 40, lost=True) is MemberAction.START
    assert rig.turn(UP, 80, lost=True) is MemberAction.NONE
    rig.turn(UP, 8)
    assert rig.shelf.ledger.halt is not None and "no quorum" in rig.shelf.ledger.halt.reason
    rig.turn(UP, 40)
    assert rig.stands() == "IN"


def test_a_cache_node_drains_until_nobody_sends_and_is_back_when_it_is_warm() -> None:
    agent = Agent("a", book.MemberKind.CACHE, "e", 1, BUDGET, AgentPolicy(poll_interval_ms=100.0), Kept())
    shelf = Shelf()
    for name in "abcd":
        shelf.make(
            book.join_member(
                name, book.MemberKind.CACHE, "ew"["abcd".index(name) % 2], 1, BUDGET.digest(), 0.0
            )
        )
    shelf.make(
        book.apply_health_summary(dict.fromkeys("abcd", False), 1000, 800, 1, "", "w", 0.0)
    )  # the others hit in 80% of their reads
    shelf.out("a", to=MemberPhase.LEAVING)
    now = 0.0

    def turn(own: MemberStatus, times: int = 3) -> MemberAction:
        nonlocal now
        for _ in range(times):
            now += 100.0
            what = agent.next_action(now, own)
            ask = agent.next_operation(now, own, 0.0)
            if ask is not None:
                agent.handle_outcome(now, ask, shelf.make(ask.change))
        return what

    agent._store.save(int(MemberPhase.LEAVING), 1)
    agent.phase, agent.permit = MemberPhase.LEAVING, 1
    assert turn(MemberStatus(True, True)) is MemberAction.DRAIN
    assert turn(MemberStatus(True, False, draining=True, idle=True)) is MemberAction.STOP
    turn(DOWN, 5)
    shelf.make(book.cancel_drain(["a"], "op", 0.0))
    assert turn(DOWN, 6) is MemberAction.START
    for own in (MemberStatus(True, True, warm=False), MemberStatus(True, True, hit_ratio=0.3)):
        turn(own, 60)
        assert MemberPhase(shelf.ledger.members["a"].phase) is MemberPhase.BACK
    turn(MemberStatus(True, True, hit_ratio=0.7), 60)
    assert MemberPhase(shelf.ledger.members["a"].phase) is MemberPhase.IN


def test_the_warden_counts_the_silent_and_the_worse_word() -> None:
    shelf = Shelf("a", "b", "c", "d")
    shelf.out("d")
    warden = FailureDetector(BUDGET, counting.FailureDetectorPolicy(report_timeout_ms=1_000.0), 0.0)
    warden.add_report("a", HealthReport(1, 1, True), 0.0)
    warden.add_report("b", HealthReport(1, 1, serving=False), 0.0)
    warden.add_report("c", HealthReport(1, 1, True), 0.0)
    assert warden.summarize(shelf.ledger, 100.0).lost == {"b": True}  # of the others nothing is known yet
    warden.add_report("a", HealthReport(1, 2, True), 900.0)
    warden.add_report("c", HealthReport(1, 1, True), 900.0)  # the same again
    found = warden.summarize(shelf.ledger, 1_500.0)
    assert found.lost == {"a": False, "b": True, "c": True, "d": True}
    assert not found.halt_reason and counting.detector_candidates(shelf.ledger) == ["a", "b", "c"]
    shelf.make(book.request_drain(["a"], "op", "x", 0.0))
    assert counting.detector_candidates(shelf.ledger) == ["b", "c", "a"]


def test_the_room_of_the_store_falls_at_once_and_grows_slowly() -> None:
    room = StoreCapacityEstimator(counting.FailureDetectorPolicy())

    def reports(refused: float, misses: float) -> list[tuple[int, HealthReport]]:
        caches = [(1, HealthReport(1, 1, True, hits=20.0, misses=misses / 10)) for _ in range(10)]
        return [(0, HealthReport(1, 1, True, served=100.0 - refused, refused=refused)), *caches]

    assert room.capacity_permille(reports(0.0, 100.0), 2) == 1000  # nothing is known of the store
    assert room.capacity_permille(reports(10.0, 100.0), 2) == 0 and room.sustained_misses_per_s == 90.0
    assert room.capacity_permille(reports(2.0, 80.0), 2) == 250
    grown = [room.capacity_permille(reports(0.0, 80.0), 2) for _ in range(30)]
    assert grown == sorted(grown) and grown[0] < 300 and grown[-1] > 900


# ---------------------------------------------------------------------------- files, claims, drills


def test_what_an_agent_keeps_is_found_again(tmp_path: Path) -> None:
    kept = AgentStateFile(tmp_path / "a")
    kept.save(3, 17)
    kept.put(pid=1)
    kept.close()
    again = AgentStateFile(tmp_path / "a")
    assert (
        again.load() == (3, 17)
        and again.get("pid") == 1
        and process_start_time(1)
        and not process_start_time(2**22 - 1)
    )
    again.close()


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("[drains]\nclosed = ['7-9']", "closed"),
        ("[drains]\nbeat = 3.0", "three beats"),
        ("[drains.routers]\nshare = 0.0", "share"),
        ("[drains.caches]\nmost_of = 1", "most_of"),
    ],
)
def test_faults_of_the_fleets_file_are_named(tmp_path: Path, text: str, fault: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(f'[witnesses]\nw = "127.0.0.1:1"\n{text}\n')
    with pytest.raises(fleet_file.FleetFileError, match=fault):
        fleet_file.load(path)
    assert fleet_file.load(ROOT / "deploy" / "fleet.toml")[0].drains.caches.stay == 2


def stood(
    name: str, at: float, up: bool, by: str = "program", zone: str = "e", free: bool = False
) -> AvailabilityChanged:
    return AvailabilityChanged(name, at, "routers", zone, up, by, free)


FIRST = [stood(name, 0.0, True, "", "ew"[n % 2]) for n, name in enumerate("abcdef")]


@pytest.mark.parametrize(
    ("events", "claim"),
    [
        ([stood("a", 1, False), stood("b", 2, False, zone="w")], ""),
        ([stood("a", 1, False), stood("c", 2, False)], "budget"),
        ([stood("a", 1, False), stood("a", 2, True, ""), stood("c", 3, False)], ""),
        ([stood("a", 1, False, "fault"), stood("c", 2, False)], ""),  # not known yet
        ([stood("a", 1, False, "fault"), stood("c", 9, False)], "budget"),
        ([stood("a", 1, False), stood("c", 2, False, free=True)], ""),
        ([stood("a", 1, False), stood("c", 2, False, free=True), stood("e", 3, False, free=True)], "floor"),
        ([OperatorOrderAccepted("o", 1, "halt"), stood("a", 2, False)], ""),  # it had begun
        ([OperatorOrderAccepted("o", 1, "halt"), stood("a", 9, False)], "halt"),
        (
            [
                OperatorOrderAccepted("o", 1, "halt"),
                OperatorOrderAccepted("o", 2, "resume"),
                stood("a", 9, False),
            ],
            "",
        ),
    ],
)
def test_the_judge_of_drains(events: list[AnyEvent], claim: str) -> None:
    broken, _ = drain_invariants.check_invariants(
        [*FIRST, *events], drain_invariants.DrainBounds(BUDGET, 5.0, 3.0)
    )
    assert {one.invariant for one in broken} == ({claim} if claim else set())


def test_the_judge_of_requests() -> None:
    from rosepick.lab.drill.drain_harness import check_requests

    events: list[AnyEvent] = [
        ClientRequestCompleted("client", 2, 1, "r1", 200),
        ClientRequestCompleted("client", 4, 3, "r1", 0),
        DrainAnnounced("n", 5),
        NodeRequestReceived("n", 5.5, "x", True),
    ]
    assert {one.invariant for one in check_requests(events, {})[0]} == {"requests"}
    assert not check_requests(events, {"r1": [3.5]})[0]  # killed by the drill
    assert {
        one.invariant
        for one in check_requests([*events[2:], NodeRequestReceived("n", 6.0, "y", True)], {})[0]
    } == {"sends"}


def test_the_judge_of_cold_starts() -> None:
    from rosepick.lab.drill.drain_harness import check_cold_starts

    def came(node: str, each: float) -> list[AnyEvent]:
        begin, length = (10.0, 4.0) if node == "a" else (8.0, 8.0)
        return [
            NodeRequestReceived(node, begin + n * each, f"{node}{n}", False)
            for n in range(int(length / each))
        ]

    warm = [*came("b", 0.1), *came("c", 0.1), FaultInjected("a", 10.0, "cold start")]
    assert not check_cold_starts([*warm, *came("a", 0.2)])[0]
    assert "second 1 of" in check_cold_starts([*warm, *came("a", 0.05)])[0][0].text
    assert not check_cold_starts([*warm[:-1], FaultInjected("a", 10.0, "first start"), *came("a", 0.05)])[0]
    out = [
        NodeRequestReceived("d", 2.0, "d0", False),
        NodeRequestReceived("e", 3.0, "e0", False),
    ]  # they were in once, and say nothing now
    assert not check_cold_starts([*out, *warm, *came("a", 0.12)])[0]


def test_simulated_drains_show_faults_and_full_budgets() -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "drains-simulated.toml")
    total = runner.DrillSummary()
    for seed in range(1, 7):
        total.add(runner.run_simulated(drill, seed))
    assert not total.broken
    assert total.counts["budget full"] > 10 and total.counts["members out by program"] > 30
    again = runner.run_simulated(drill, 3)
    assert again.counts == runner.run_simulated(drill, 3).counts


def test_a_permit_by_an_old_reading_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        "rosepick.fleet.disruption_budget._limit_violations", lambda ledger, budget, name, one: []
    )
    shape = runner._simulation_config(drill_file.load_drill(ROOT / "drills" / "drains-simulated.toml"))
    found = {
        one.invariant for seed in range(1, 4) for one in simulated_drains.run_drill(shape, seed).violations
    }
    assert "budget" in found


def test_wants_are_shown_as_json() -> None:
    shelf = Shelf("a")
    shelf.make(book.request_drain(["a"], "me", "because", 0.0))
    told = json.loads(msgspec.json.encode(msgspec.to_builtins(shelf.ledger)))
    assert isinstance(told, list) and shelf.ledger.members["a"].drain_request == DrainRequest(
        1, "me", "because"
    )


def test_a_short_drill_of_drains_on_real_processes(tmp_path: Path) -> None:
    result = runner.run_real(
        drill_file.load_drill(ROOT / "drills" / "drains-short.toml"), 2, tmp_path / "drill", keep_folder=False
    )
    assert not result.failure_reason and not result.violations, "\n".join(result.lines)
    assert result.counts["members out by program"] > 0 and result.counts["answers 200"] > 50


@pytest.mark.parametrize("words", ["drain x --why y", "fleet status", "lease list", "check --fleet FILE"])
def test_a_missing_extra_is_one_line(words: str, tmp_path: Path) -> None:
    (tmp_path / "msgspec.py").write_text("raise ModuleNotFoundError('none', name='msgspec')\n")
    fleet = str(ROOT / "deploy" / "fleet.toml")
    given = words.replace("FILE", fleet).split()
    environment = {**os.environ, "PYTHONPATH": f"{tmp_path}:{ROOT}", "ROSEPICK_FLEET": fleet}
    command = [sys.executable, "-m", "rosepick", *given]
    done = subprocess.run(command, capture_output=True, text=True, env=environment, timeout=60)
    assert done.returncode == 2 and "rosepick[fleet]" in done.stderr and "Traceback" not in done.stderr
