"""Orders of drains, cancellations, halts, rollouts and returns: no accepted drain is lost."""

from __future__ import annotations

from itertools import product

import pytest

from rosepick.fleet import drain_requests, fleet_state
from rosepick.fleet.agent import Agent, AgentPolicy, MemberAction, MemberStatus
from rosepick.fleet.fleet_state import MemberKind, MemberPhase

from .test_drains import BUDGET, DOWN, UP, AgentHarness, MemoryStateStore, register_of_caches

ROLLOUT = "release 7"
STEPS_UNTIL_BACK = 60  # more than a member needs to return and to be healthy


class OrderHarness(AgentHarness):
    """One agent with a member that obeys it, and an operator."""

    def __init__(self) -> None:
        super().__init__("b", "c", "d")
        self.is_up = True
        self.wanted_out = False  # the operator's last accepted order

    def play(self, steps: int) -> None:
        """Run the agent and its member for a number of steps."""
        for _ in range(steps):
            action = self.run_steps(UP if self.is_up else DOWN)
            self.is_up = {MemberAction.STOP: False, MemberAction.START: True}.get(action, self.is_up)

    def order(self, name: str) -> None:
        """Carry out an order of the operator, or of a rollout."""
        match name:
            case "drain":
                self.wanted_out |= self.register.commits(
                    drain_requests.request_drain(["a"], "op", "patch", 0.0)
                )
            case "undrain":
                self.register.apply(drain_requests.cancel_drain(["a"], "op", 0.0))
                self.wanted_out = False
            case "halt":
                phase = self.register.state.members["a"].phase
                self.wanted_out &= phase not in (MemberPhase.LEAVING, MemberPhase.OUT)
                self.register.apply(fleet_state.halt_drains("op", "x", 0.0))
            case "resume":
                self.register.apply(fleet_state.resume_drains("op", "x", 0.0))
            case "release":
                self.register.apply(drain_requests.request_drain(["a"], ROLLOUT, "to run b", 0.0))
            case "released":  # as the deployer does once its build is installed
                self.register.apply(drain_requests.cancel_drain(["a"], ROLLOUT, 0.0, requested_by=ROLLOUT))

    def finish(self) -> None:
        """End halts and rollouts, and wait until nothing changes any more."""
        self.order("resume")
        self.order("released")
        self.play(STEPS_UNTIL_BACK)
        self.order("released")
        self.play(2 * STEPS_UNTIL_BACK)


def test_a_drain_that_is_requested_while_its_member_comes_back_is_lost() -> None:
    harness = OrderHarness()
    harness.order("drain")
    harness.play(10)
    assert harness.phase_name() == "OUT"
    harness.order("undrain")
    harness.play(5)
    assert harness.phase_name() == "BACK"
    harness.order("drain")
    harness.play(STEPS_UNTIL_BACK)
    assert harness.phase_name() == "OUT"


def test_a_drain_that_is_requested_while_a_halt_brings_its_member_back_is_lost() -> None:
    harness = OrderHarness()
    harness.order("drain")
    harness.play(10)
    harness.order("halt")
    harness.play(1)
    harness.order("drain")
    harness.play(STEPS_UNTIL_BACK)
    assert harness.phase_name() == "IN"
    harness.order("resume")
    harness.play(STEPS_UNTIL_BACK)
    assert harness.phase_name() == "OUT"


def test_a_drain_of_a_member_that_a_rollout_restarts_is_lost() -> None:
    harness = OrderHarness()
    harness.order("release")
    harness.play(10)
    assert harness.phase_name() == "OUT"
    harness.order("drain")
    assert harness.wanted_out
    harness.finish()
    assert harness.phase_name() == "OUT"
    harness.order("undrain")
    harness.play(STEPS_UNTIL_BACK)
    assert harness.phase_name() == "IN"


@pytest.mark.parametrize("first", ["drain", "undrain", "halt", "resume", "release", "released"])
def test_every_order_of_three_orders_leaves_the_member_where_the_operator_wants_it(first: str) -> None:
    orders = ("drain", "undrain", "halt", "resume", "release", "released")
    for rest in product(orders, repeat=2):
        for pause in (1, 4, 12):
            harness = OrderHarness()
            for name in (first, *rest):
                harness.order(name)
                harness.play(pause)
            harness.finish()
            wanted = "OUT" if harness.wanted_out else "IN"
            assert harness.phase_name() == wanted, (first, *rest, pause, harness.register.state.history)


def test_a_cache_node_that_is_idle_already_is_told_to_drain_before_it_is_stopped() -> None:
    agent = Agent("a", MemberKind.CACHE, "e", 1, BUDGET, AgentPolicy(100.0), MemoryStateStore())
    register = register_of_caches()
    register.take_out("a", to=MemberPhase.LEAVING)
    agent.phase, agent.permit = MemberPhase.LEAVING, 1
    idle = MemberStatus(True, True, idle=True)
    drained = MemberStatus(True, False, draining=True, idle=True)
    actions = []
    for step in range(25):
        now = 100.0 * step
        actions.append(agent.next_action(now, idle if step < 5 else drained))
        operation = agent.next_operation(now, idle, 0.0)
        if operation is not None:
            agent.handle_outcome(now, operation, register.apply(operation.change))
    stopped_at = actions.index(MemberAction.STOP)
    assert MemberAction.DRAIN in actions[:5]
    assert stopped_at == 15  # a second after it began to drain
