"""Drains: fleet state, budget, agent, failure detector and invariants without sockets, then drills."""

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
from rosepick.fleet import drain_permits, drain_requests, failure_detector, fleet_state
from rosepick.fleet.agent import Agent, AgentPolicy, MemberAction, MemberStatus
from rosepick.fleet.disruption_budget import (
    DisruptionBudget,
    Limit,
    blocking_reasons,
    may_take_permit,
    unplanned_halt_reason,
)
from rosepick.fleet.failure_detector import FailureDetector, HealthReport, OriginCapacityEstimator
from rosepick.fleet.fleet_state import DrainRequest, FleetMember, FleetState, MemberPhase, MemberProfile
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
TWO_AT_A_TIME = Limit(most=2, zone_most=1, share=1.0, zone_share=1.0, stay=1)
BUDGET = DisruptionBudget(TWO_AT_A_TIME, TWO_AT_A_TIME)


class FleetRegister:
    """The register of a fleet state, in place of a quorum."""

    def __init__(self, *names: str) -> None:
        self.content = Register()
        for number, name in enumerate(names):
            self.apply(
                fleet_state.join_member(
                    name,
                    MemberProfile(fleet_state.MemberKind.ROUTER, "ew"[number % 2], 1000),
                    BUDGET.digest(),
                    0.0,
                )
            )
        self.apply(
            fleet_state.apply_health_summary(dict.fromkeys(names, False), 1000, 0, 0, "", "w", 0.0)
        )  # all are healthy

    def apply(self, change: RegisterChange | None) -> OperationOutcome:
        """Read or change the register and return the outcome that a client of the quorum gets."""
        try:
            value = None if change is None else change(self.content)
        except ChangeRejectedError:
            value = None
        if value is None:
            return OperationOutcome(OutcomeKind.UNCHANGED, self.content)
        self.content = Register(self.content.version + 1, "m", value)
        return OperationOutcome(OutcomeKind.COMMITTED, self.content)

    def commits(self, change: RegisterChange) -> bool:
        """Apply a change and return whether it is committed."""
        return self.apply(change).kind is OutcomeKind.COMMITTED

    @property
    def state(self) -> FleetState:
        """The fleet state in the register."""
        return fleet_state.decode_fleet_state(self.content)

    def take_out(self, *names: str, to: MemberPhase = MemberPhase.OUT) -> None:
        """Drain members up to a phase under permits that ignore the budget."""
        for name in names:
            self.apply(drain_requests.request_drain([name], "a", "x", 0.0))
            self.apply(drain_permits.acquire_permit(name, lambda state, name: True, 0.0))
            permit = self.state.members[name].permit
            for phase, step in (
                (MemberPhase.LEAVING, drain_permits.begin_drain),
                (MemberPhase.OUT, drain_permits.mark_out),
                (MemberPhase.BACK, drain_permits.mark_rejoining),
            ):
                if phase <= to:
                    self.apply(step(name, permit, 0.0))


def may_leave(state: FleetState, name: str, budget: DisruptionBudget = BUDGET, minute: int = 600) -> bool:
    return not blocking_reasons(state, budget, name, minute)


def test_last_permit_is_granted_once_to_agents_with_stale_copies() -> None:
    register = FleetRegister("a", "b", "c", "d", "e", "f")
    register.apply(drain_requests.request_drain(["a", "b", "c", "d"], "crew", "patch", 0.0))
    old = register.content  # the state that all agents have read

    def takes_permit(name: str) -> bool:
        assert may_leave(fleet_state.decode_fleet_state(old), name)  # the stale copy allows each of them
        return register.commits(
            drain_permits.acquire_permit(
                name, lambda state, name: may_take_permit(BUDGET, 0, state, name), 0.0
            )
        )

    assert [takes_permit(name) for name in "abcd"] == [True, True, False, False]
    assert register.state.last_permit_number == 2 and register.state.pending_drains() == ["c", "d"]


@pytest.mark.parametrize(
    ("prepare", "name", "is_free"),
    [
        (lambda r: None, "a", True),
        (lambda r: r.take_out("c"), "a", False),  # of the same zone
        (lambda r: r.take_out("b"), "a", True),
        (lambda r: r.take_out("b", "c"), "e", False),
        (
            lambda r: r.apply(fleet_state.apply_health_summary({"c": True}, 1000, 0, 1, "", "w", 0.0)),
            "a",
            False,
        ),
        (
            lambda r: r.apply(
                fleet_state.apply_health_summary({"a": True, "b": True, "d": True}, 1000, 0, 1, "", "w", 0.0)
            ),
            "a",
            False,
        ),
        (
            lambda r: r.apply(fleet_state.apply_health_summary({"a": True}, 1000, 0, 1, "", "w", 0.0)),
            "a",
            True,
        ),  # it is lost already
        (
            lambda r: (
                r.apply(fleet_state.apply_health_summary({}, 400, 0, 1, "", "w", 0.0)),
                r.take_out("b"),
            ),
            "a",
            False,
        ),  # capacity for one
        (lambda r: (r.take_out("c"), r.apply(fleet_state.evict_member("c", "op", "gone", 0.0))), "a", True),
        (lambda r: r.apply(fleet_state.halt_drains("op", "stop", 0.0)), "a", False),
    ],
)
def test_drain_is_blocked_by_limits_and_halts(
    prepare: Callable[[FleetRegister], object], name: str, is_free: bool
) -> None:
    register = FleetRegister("a", "b", "c", "d", "e", "f")
    prepare(register)
    register.apply(drain_requests.request_drain([name], "crew", "patch", 0.0))
    reasons = blocking_reasons(register.state, BUDGET, name, 600)
    assert (not reasons) is is_free, reasons
    assert may_take_permit(BUDGET, 600, register.state, name) is is_free


def test_limits_by_weight_hours_and_groups() -> None:
    register = FleetRegister("a", "b", "c", "d", "e", "f")
    register.apply(
        fleet_state.join_member(
            "b", MemberProfile(fleet_state.MemberKind.ROUTER, "w", 4000), BUDGET.digest(), 0.0
        )
    )
    register.take_out("b")
    wide = Limit(most=4, share=1.0, zone_most=4, zone_share=1.0)
    assert may_leave(register.state, "a", DisruptionBudget(wide, wide))
    assert not may_leave(register.state, "a", DisruptionBudget(Limit(4, 1.0, 0.5, 4, 1.0), wide))
    assert not may_leave(
        register.state, "a", DisruptionBudget(wide, wide, anti_affinity_groups={"rack": ("a", "b")})
    )
    night = DisruptionBudget(wide, wide, closed_minutes=((22 * 60, 6 * 60),))
    assert [may_leave(register.state, "a", night, minute) for minute in (0, 359, 360, 1319, 1320)] == [
        False,
        False,
        True,
        True,
        False,
    ]
    few = Limit(most=4, share=1.0, zone_most=4, zone_share=1.0, stay=3)
    assert "must stay" in blocking_reasons(register.state, DisruptionBudget(few, few), "a", 0)[0]


def test_immediate_drain_exceeds_the_budget_but_keeps_the_minimum() -> None:
    register = FleetRegister("a", "b", "c", "d")
    register.take_out("c", "b")
    register.apply(drain_requests.request_drain(["d"], "op", "smoke", 0.0, immediate=True))
    assert (
        "must stay" in blocking_reasons(register.state, BUDGET, "d", 0)[0]
    )  # b and d are all members of the zone w
    register.apply(
        drain_requests.request_drain(["d"], "op", "smoke", 0.0, immediate=True, ignores_minimum=True)
    )
    assert may_leave(register.state, "d")
    register.apply(fleet_state.halt_drains("op", "stop", 0.0))
    assert may_leave(register.state, "d")


def test_earlier_requests_go_first_unless_they_are_blocked() -> None:
    register = FleetRegister("a", "b", "c", "d", "e", "f")
    register.take_out("b")
    register.apply(drain_requests.request_drain(["d"], "one", "x", 0.0))  # blocked: b of its zone is out
    register.apply(drain_requests.request_drain(["c"], "one", "x", 0.0))
    register.apply(drain_requests.request_drain(["a"], "two", "x", 0.0))
    assert [may_take_permit(BUDGET, 0, register.state, name) for name in "dca"] == [False, True, False]
    register.apply(
        fleet_state.apply_health_summary({"c": True}, 1000, 0, 1, "", "w", 0.0)
    )  # c is lost: not its request but its loss blocks a
    assert not may_take_permit(BUDGET, 0, register.state, "a")


@pytest.mark.parametrize(
    ("phase", "step", "is_made"),
    [
        (MemberPhase.GIVEN, lambda r, p: drain_permits.begin_drain("a", p, 0.0), True),
        (MemberPhase.GIVEN, lambda r, p: drain_permits.begin_drain("a", p + 1, 0.0), False),
        (MemberPhase.GIVEN, lambda r, p: drain_permits.mark_out("a", p, 0.0), False),
        (
            MemberPhase.GIVEN,
            lambda r, p: (
                r.apply(fleet_state.halt_drains("op", "x", 0.0)),
                drain_permits.begin_drain("a", p, 0.0),
            )[1],
            False,
        ),
        (
            MemberPhase.GIVEN,
            lambda r, p: (
                r.apply(drain_requests.cancel_drain(["a"], "op", 0.0)),
                drain_permits.begin_drain("a", p, 0.0),
            )[1],
            False,
        ),
        (MemberPhase.LEAVING, lambda r, p: drain_permits.withdraw_permit("a", p, 0.0), False),
        (MemberPhase.LEAVING, lambda r, p: drain_permits.mark_rejoining("a", p, 0.0), True),
        (
            MemberPhase.OUT,
            lambda r, p: drain_permits.mark_healthy("a", p, 0.0),
            False,
        ),  # the member has not been started
        (MemberPhase.BACK, lambda r, p: drain_permits.mark_healthy("a", p, 0.0), True),
        (
            MemberPhase.BACK,
            lambda r, p: (
                r.apply(fleet_state.evict_member("a", "op", "x", 0.0)),
                drain_permits.mark_healthy("a", p, 0.0),
            )[1],
            False,
        ),
    ],
)
def test_permit_steps_are_rejected_in_another_phase_or_under_another_permit(
    phase: MemberPhase, step: Callable[[FleetRegister, int], RegisterChange], is_made: bool
) -> None:
    register = FleetRegister("a", "b", "c", "d")
    register.take_out("a", to=phase)
    permit = register.state.members["a"].permit
    assert permit and register.commits(step(register, permit)) is is_made


def test_halt_is_kept_and_withdraws_only_permits_of_drains_not_begun() -> None:
    register = FleetRegister("a", "b", "c", "d")
    register.take_out("a", to=MemberPhase.GIVEN)
    register.take_out("b", to=MemberPhase.LEAVING)
    assert register.commits(fleet_state.halt_drains("one", "first", 1.0)) and not register.commits(
        fleet_state.halt_drains("two", "second", 2.0)
    )
    assert register.state.halt == fleet_state.HaltState("one", "first", 1.0)
    assert [register.state.members[n].phase for n in "ab"] == [MemberPhase.IN, MemberPhase.LEAVING]
    assert register.commits(fleet_state.resume_drains("op", "fine", 3.0)) and register.state.halt is None


def test_detector_with_an_old_token_changes_nothing() -> None:
    register = FleetRegister("a", "b")
    assert register.commits(fleet_state.apply_health_summary({"a": True}, 1000, 0, 7, "", "new", 0.0))
    assert not register.commits(fleet_state.apply_health_summary({"a": False}, 0, 0, 6, "panic", "old", 0.0))
    assert register.state.members["a"].lost and register.state.halt is None


def test_state_of_a_thousand_members_is_small_and_damage_is_reported() -> None:
    members = {f"cache-node-{n:04}": FleetMember(1, f"zone-{n % 6}", 900 + n % 300) for n in range(1_000)}
    value = fleet_state.encode_fleet_state(FleetState(budget_digest="abc", members=members))
    assert len(value) < 24_000 and fleet_state.decode_fleet_state(Register(1, "m", value)).members == members
    full = FleetRegister()
    full.content = Register(1, "m", value)
    assert not full.commits(
        fleet_state.join_member("one-more", MemberProfile(fleet_state.MemberKind.CACHE, "z", 1), "abc", 0.0)
    )
    for bad in (b"\x01nonsense", b"\x02" + value[1:], b"\x01"):
        with pytest.raises(DocumentDecodeError):
            fleet_state.decode_fleet_state(Register(1, "m", bad))


def test_member_that_was_never_healthy_counts_as_out_and_not_as_failed() -> None:
    register = FleetRegister()
    for name in "abc":
        register.apply(
            fleet_state.join_member(
                name, MemberProfile(fleet_state.MemberKind.CACHE, "e", 1), BUDGET.digest(), 0.0
            )
        )
    assert all(one.is_out for one in register.state.members.values()) and not unplanned_halt_reason(
        register.state, BUDGET
    )
    assert failure_detector.detector_candidates(register.state) == [
        "a",
        "b",
        "c",
    ]  # some agent has to detect failures
    register.apply(
        fleet_state.apply_health_summary({"a": False, "b": True, "c": False}, 1000, 0, 1, "", "a", 0.0)
    )
    assert [one.lost for one in register.state.members.values()] == [False, True, False]
    register.apply(fleet_state.apply_health_summary({"a": True, "c": True}, 1000, 0, 1, "", "a", 0.0))
    assert "a, c" in unplanned_halt_reason(register.state, BUDGET)


def test_more_lost_members_than_the_budget_are_a_reason_to_halt() -> None:
    register = FleetRegister("a", "b", "c", "d", "e", "f")
    register.apply(fleet_state.apply_health_summary({"a": True}, 1000, 0, 1, "", "w", 0.0))
    assert not unplanned_halt_reason(register.state, BUDGET)
    register.apply(fleet_state.apply_health_summary({"c": True}, 1000, 0, 1, "", "w", 0.0))
    assert "a, c" in unplanned_halt_reason(register.state, BUDGET) and not unplanned_halt_reason(
        register.state, DisruptionBudget(TWO_AT_A_TIME, TWO_AT_A_TIME, unplanned_allowance=1)
    )


# ---------------------------------------------------------------------------- agent and failure detector


class MemoryStateStore:
    """Phase and permit of a member, in place of an agent's disk."""

    def __init__(self) -> None:
        self.saved = (0, 0)

    def load(self) -> tuple[int, int]:
        return self.saved

    def save(self, phase: int, permit: int) -> None:
        self.saved = phase, permit


UP, DOWN = MemberStatus(True, True), MemberStatus()


class AgentHarness:
    """One agent and the register of its fleet."""

    def __init__(self, *others: str) -> None:
        self.register = FleetRegister("a", *others)
        self.store = MemoryStateStore()
        self.now = 0.0
        self.detects_failures = True
        self.start_agent()

    def start_agent(self) -> None:
        """Start the agent from its saved state, as after a restart."""
        self.agent = Agent(
            "a",
            fleet_state.MemberKind.ROUTER,
            "e",
            1000,
            BUDGET,
            AgentPolicy(poll_interval_ms=100.0),
            self.store,
        )

    def run_steps(self, status: MemberStatus, times: int = 1, lost: bool = False) -> MemberAction:
        """Run the agent and its operations for a number of steps; return its last action."""
        for _ in range(times):
            self.now += 100.0
            if self.detects_failures:
                self.register.apply(fleet_state.apply_health_summary({}, 1000, 0, 1, "", "w", 0.0))
            action = self.agent.next_action(self.now, status)
            operation = self.agent.next_operation(self.now, status, 0.0)
            if operation is not None:
                self.agent.handle_outcome(
                    self.now,
                    operation,
                    OperationOutcome(OutcomeKind.FAILED) if lost else self.register.apply(operation.change),
                )
        return action

    def phase_name(self) -> str:
        """Return the phase of the member in the fleet state."""
        return MemberPhase(self.register.state.members["a"].phase).name


def test_drain_from_permit_to_healthy() -> None:
    harness = AgentHarness("b", "c", "d")
    assert (
        harness.run_steps(UP, 4) is MemberAction.NONE and harness.run_steps(DOWN) is MemberAction.START
    )  # the agent starts a member that has exited
    harness.register.apply(drain_requests.request_drain(["a"], "op", "patch", 0.0))
    harness.detects_failures = False
    assert (
        harness.run_steps(UP, 9) is MemberAction.NONE and harness.phase_name() == "IN"
    )  # without a failure detector there is no permit
    harness.detects_failures = True
    assert harness.run_steps(UP, 5) is MemberAction.STOP and harness.phase_name() == "LEAVING"
    assert harness.run_steps(DOWN, 4) is MemberAction.NONE and harness.phase_name() == "OUT"
    harness.register.apply(drain_requests.cancel_drain(["a"], "op", 0.0))
    assert harness.run_steps(DOWN, 3) is MemberAction.START
    harness.run_steps(MemberStatus(True, False), 40)
    assert harness.phase_name() == "BACK"  # the member runs but does not serve
    harness.run_steps(UP, 5)
    assert harness.phase_name() == "BACK"  # the member has not served for the minimum time
    harness.run_steps(UP, 25)
    assert harness.phase_name() == "IN" and harness.store.saved == (0, 0)


@pytest.mark.parametrize("phase", [MemberPhase.GIVEN, MemberPhase.LEAVING, MemberPhase.OUT, MemberPhase.BACK])
@pytest.mark.parametrize("is_wiped", [False, True])
def test_agent_restarted_in_any_phase_ends_its_permit(phase: MemberPhase, is_wiped: bool) -> None:
    harness = AgentHarness("b", "c", "d")
    harness.register.take_out("a", to=phase)
    harness.store.saved = (0, 0) if is_wiped else (int(phase), harness.register.state.members["a"].permit)
    harness.start_agent()
    is_up = phase in (MemberPhase.GIVEN, MemberPhase.LEAVING)
    for _ in range(6):
        action = harness.run_steps(UP if is_up else DOWN)
        is_up = {MemberAction.STOP: False, MemberAction.START: True}.get(action, is_up)
    harness.register.apply(drain_requests.cancel_drain(["a"], "op", 0.0))
    for _ in range(60):
        action = harness.run_steps(UP if is_up else DOWN)
        is_up = {MemberAction.STOP: False, MemberAction.START: True}.get(action, is_up)
    assert (
        harness.phase_name() == "IN"
        and not harness.register.state.members["a"].permit
        and harness.store.saved == (0, 0)
    )


def test_without_the_quorum_nothing_begins_and_the_member_returns() -> None:
    harness = AgentHarness("b", "c", "d")
    harness.run_steps(UP, 2)
    harness.register.apply(drain_requests.request_drain(["a"], "op", "patch", 0.0))
    harness.run_steps(UP, 3)
    assert harness.phase_name() == "LEAVING"
    # after a pause of this process the agent does not act on the state from before the pause
    harness.now += 5_000.0
    assert harness.agent.next_action(harness.now, UP) is MemberAction.NONE
    harness = AgentHarness("b", "c", "d")
    harness.register.take_out("a", to=MemberPhase.OUT)
    harness.store.saved = (int(MemberPhase.OUT), harness.register.state.members["a"].permit)
    harness.start_agent()
    harness.run_steps(DOWN, 4)
    assert harness.run_steps(DOWN, 30, lost=True) is MemberAction.NONE
    assert harness.run_steps(DOWN, 40, lost=True) is MemberAction.START
    assert harness.run_steps(UP, 80, lost=True) is MemberAction.NONE
    harness.run_steps(UP, 8)
    assert harness.register.state.halt is not None and "no quorum" in harness.register.state.halt.reason
    harness.run_steps(UP, 40)
    assert harness.phase_name() == "IN"


def register_of_caches() -> FleetRegister:
    """Return the register of four healthy cache nodes with a typical hit ratio of 80%."""
    register = FleetRegister()
    for name in "abcd":
        register.apply(
            fleet_state.join_member(
                name,
                MemberProfile(fleet_state.MemberKind.CACHE, "ew"["abcd".index(name) % 2], 1),
                BUDGET.digest(),
                0.0,
            )
        )
    register.apply(fleet_state.apply_health_summary(dict.fromkeys("abcd", False), 1000, 800, 1, "", "w", 0.0))
    return register


def test_cache_node_drains_until_idle_and_is_healthy_when_warm() -> None:
    agent = Agent(
        "a",
        fleet_state.MemberKind.CACHE,
        "e",
        1,
        BUDGET,
        AgentPolicy(poll_interval_ms=100.0),
        MemoryStateStore(),
    )
    register = register_of_caches()
    register.take_out("a", to=MemberPhase.LEAVING)
    now = 0.0

    def run_steps(status: MemberStatus, times: int = 3) -> MemberAction:
        nonlocal now
        for _ in range(times):
            now += 100.0
            action = agent.next_action(now, status)
            operation = agent.next_operation(now, status, 0.0)
            if operation is not None:
                agent.handle_outcome(now, operation, register.apply(operation.change))
        return action

    agent._store.save(int(MemberPhase.LEAVING), 1)
    agent.phase, agent.permit = MemberPhase.LEAVING, 1
    assert run_steps(MemberStatus(True, True)) is MemberAction.DRAIN
    assert run_steps(MemberStatus(True, False, draining=True, idle=True)) is MemberAction.DRAIN
    assert run_steps(MemberStatus(True, False, draining=True, idle=True), 8) is MemberAction.STOP
    run_steps(DOWN, 5)
    register.apply(drain_requests.cancel_drain(["a"], "op", 0.0))
    assert run_steps(DOWN, 6) is MemberAction.START
    for status in (MemberStatus(True, True, warm=False), MemberStatus(True, True, hit_ratio=0.3)):
        run_steps(status, 60)
        assert MemberPhase(register.state.members["a"].phase) is MemberPhase.BACK
    run_steps(MemberStatus(True, True, hit_ratio=0.7), 60)
    assert MemberPhase(register.state.members["a"].phase) is MemberPhase.IN


def test_detector_counts_silent_members_and_those_that_do_not_serve() -> None:
    register = FleetRegister("a", "b", "c", "d")
    register.take_out("d")
    detector = FailureDetector(BUDGET, failure_detector.FailureDetectorPolicy(report_timeout_ms=1_000.0), 0.0)
    detector.add_report("a", HealthReport(1, 1, True), 0.0)
    detector.add_report("b", HealthReport(1, 1, serving=False), 0.0)
    detector.add_report("c", HealthReport(1, 1, True), 0.0)
    assert detector.summarize(register.state, 100.0).lost == {
        "b": True
    }  # the state of the others is still unknown
    detector.add_report("a", HealthReport(1, 2, True), 900.0)
    detector.add_report("c", HealthReport(1, 1, True), 900.0)  # the same report again
    summary = detector.summarize(register.state, 1_500.0)
    assert summary.lost == {"a": False, "b": True, "c": True, "d": True}
    assert not summary.halt_reason and failure_detector.detector_candidates(register.state) == ["a", "b", "c"]
    register.apply(drain_requests.request_drain(["a"], "op", "x", 0.0))
    assert failure_detector.detector_candidates(register.state) == ["b", "c", "a"]


def test_capacity_falls_at_once_and_grows_slowly() -> None:
    estimator = OriginCapacityEstimator(failure_detector.FailureDetectorPolicy())

    def reports(refused: float, misses: float) -> list[tuple[int, HealthReport]]:
        caches = [(1, HealthReport(1, 1, True, hits=20.0, misses=misses / 10)) for _ in range(10)]
        return [(0, HealthReport(1, 1, True, served=100.0 - refused, refused=refused)), *caches]

    assert (
        estimator.capacity_permille(reports(0.0, 100.0), 2) == 1000
    )  # the capacity of the origin is unknown
    assert (
        estimator.capacity_permille(reports(10.0, 100.0), 2) == 0 and estimator.sustained_misses_per_s == 90.0
    )
    assert estimator.capacity_permille(reports(2.0, 80.0), 2) == 250
    grown = [estimator.capacity_permille(reports(0.0, 80.0), 2) for _ in range(30)]
    assert grown == sorted(grown) and grown[0] < 300 and grown[-1] > 900


# ---------------------------------------------------------------------------- files, invariants, drills


def test_agent_state_file_is_read_back(tmp_path: Path) -> None:
    store = AgentStateFile(tmp_path / "a")
    store.save(3, 17)
    store.put(pid=1)
    store.close()
    reopened = AgentStateFile(tmp_path / "a")
    assert (
        reopened.load() == (3, 17)
        and reopened.get("pid") == 1
        and process_start_time(1)
        and not process_start_time(2**22 - 1)
    )
    reopened.close()


@pytest.mark.parametrize(
    ("text", "named_fault"),
    [
        ("[drains]\nclosed = ['7-9']", "closed"),
        ("[drains]\nbeat = 3.0", "three beats"),
        ("[drains.routers]\nshare = 0.0", "share"),
        ("[drains.caches]\nmost_of = 1", "most_of"),
    ],
)
def test_faults_in_the_fleet_file_are_named(tmp_path: Path, text: str, named_fault: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(f'[witnesses]\nw = "127.0.0.1:1"\n{text}\n')
    with pytest.raises(fleet_file.FleetFileError, match=named_fault):
        fleet_file.load(path)
    assert fleet_file.load(ROOT / "deploy" / "fleet.toml")[0].drains.caches.stay == 2


def availability(
    name: str, at: float, up: bool, by: str = "program", zone: str = "e", free: bool = False
) -> AvailabilityChanged:
    return AvailabilityChanged(name, at, "routers", zone, up, by, free)


ALL_UP = [availability(name, 0.0, True, "", "ew"[n % 2]) for n, name in enumerate("abcdef")]


@pytest.mark.parametrize(
    ("events", "invariant"),
    [
        ([availability("a", 1, False), availability("b", 2, False, zone="w")], ""),
        ([availability("a", 1, False), availability("c", 2, False)], "budget"),
        ([availability("a", 1, False), availability("a", 2, True, ""), availability("c", 3, False)], ""),
        ([availability("a", 1, False, "fault"), availability("c", 2, False)], ""),  # not known yet
        ([availability("a", 1, False, "fault"), availability("c", 9, False)], "budget"),
        ([availability("a", 1, False), availability("c", 2, False, free=True)], ""),
        (
            [
                availability("a", 1, False),
                availability("c", 2, False, free=True),
                availability("e", 3, False, free=True),
            ],
            "floor",
        ),
        (
            [OperatorOrderAccepted("o", 1, "halt"), availability("a", 2, False)],
            "",
        ),  # the drain had begun before
        ([OperatorOrderAccepted("o", 1, "halt"), availability("a", 9, False)], "halt"),
        (
            [
                OperatorOrderAccepted("o", 1, "halt"),
                OperatorOrderAccepted("o", 2, "resume"),
                availability("a", 9, False),
            ],
            "",
        ),
    ],
)
def test_drain_invariants_detect_violations(events: list[AnyEvent], invariant: str) -> None:
    violations, _ = drain_invariants.check_invariants(
        [*ALL_UP, *events], drain_invariants.DrainBounds(BUDGET, 5.0, 3.0)
    )
    assert {one.invariant for one in violations} == ({invariant} if invariant else set())


def test_request_invariants_detect_lost_and_late_requests() -> None:
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


def test_cold_start_invariant_detects_overload() -> None:
    from rosepick.lab.drill.drain_harness import check_cold_starts

    def requests_of(node: str, interval_s: float) -> list[AnyEvent]:
        begin, length = (10.0, 4.0) if node == "a" else (8.0, 8.0)
        return [
            NodeRequestReceived(node, begin + n * interval_s, f"{node}{n}", False)
            for n in range(int(length / interval_s))
        ]

    warm = [*requests_of("b", 0.1), *requests_of("c", 0.1), FaultInjected("a", 10.0, "cold start")]
    assert not check_cold_starts([*warm, *requests_of("a", 0.2)])[0]
    assert "second 1 of" in check_cold_starts([*warm, *requests_of("a", 0.05)])[0][0].text
    assert not check_cold_starts(
        [*warm[:-1], FaultInjected("a", 10.0, "first start"), *requests_of("a", 0.05)]
    )[0]
    silent = [
        NodeRequestReceived("d", 2.0, "d0", False),
        NodeRequestReceived("e", 3.0, "e0", False),
    ]  # they served before and are silent now
    assert not check_cold_starts([*silent, *warm, *requests_of("a", 0.12)])[0]


def test_simulated_drains_show_faults_and_full_budgets() -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "drains-simulated.toml")
    total = runner.DrillSummary()
    for seed in range(1, 7):
        total.add(runner.run_simulated(drill, seed))
    assert not total.seeds_with_violations
    assert total.counts["budget full"] > 10 and total.counts["members out by program"] > 30
    again = runner.run_simulated(drill, 3)
    assert again.counts == runner.run_simulated(drill, 3).counts


def test_missing_limits_are_found_by_the_drill(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        "rosepick.fleet.disruption_budget._limit_violations", lambda state, budget, name, candidate: []
    )
    config = runner._simulation_config(drill_file.load_drill(ROOT / "drills" / "drains-simulated.toml"))
    violated = {
        one.invariant for seed in range(1, 4) for one in simulated_drains.run_drill(config, seed).violations
    }
    assert "budget" in violated


def test_drain_requests_are_shown_as_json() -> None:
    register = FleetRegister("a")
    register.apply(drain_requests.request_drain(["a"], "me", "because", 0.0))
    shown = json.loads(msgspec.json.encode(msgspec.to_builtins(register.state)))
    assert isinstance(shown, list) and register.state.members["a"].drain_request == DrainRequest(
        1, "me", "because"
    )


def test_short_drill_of_drains_on_real_processes(tmp_path: Path) -> None:
    result = runner.run_real(
        drill_file.load_drill(ROOT / "drills" / "drains-short.toml"), 2, tmp_path / "drill", keep_folder=False
    )
    assert not result.failure_reason and not result.violations, "\n".join(result.lines)
    assert result.counts["members out by program"] > 0 and result.counts["answers 200"] > 50


@pytest.mark.parametrize("arguments", ["drain x --why y", "fleet status", "lease list", "check --fleet FILE"])
def test_missing_extra_is_reported_in_one_line(arguments: str, tmp_path: Path) -> None:
    (tmp_path / "msgspec.py").write_text("raise ModuleNotFoundError('none', name='msgspec')\n")
    fleet = str(ROOT / "deploy" / "fleet.toml")
    given = arguments.replace("FILE", fleet).split()
    environment = {**os.environ, "PYTHONPATH": f"{tmp_path}:{ROOT}", "ROSEPICK_FLEET": fleet}
    command = [sys.executable, "-m", "rosepick", *given]
    done = subprocess.run(command, capture_output=True, text=True, env=environment, timeout=60)
    assert done.returncode == 2 and "rosepick[fleet]" in done.stderr and "Traceback" not in done.stderr


@pytest.mark.parametrize("seed", [1, 2])
def test_drains_complete_after_agents_temporarily_could_not_write(seed: int) -> None:
    plan = drill_file.load_drill(Path(__file__).parent.parent / "drills" / "agent-disks-simulated.toml")
    report = simulated_drains.run_drill(runner._simulation_config(plan), seed)
    assert report.violations == []
    assert report.counts["fault agent disk"] > 3
