"""Real routers with thousands of nodes, or with little CPU time: each request gets its final answer."""

from __future__ import annotations

import pytest

from rosepick.lab.scale.scale_plan import NodeReplacement, RouterKill, ScalePlan
from rosepick.lab.scale.scale_run import ScaleResult, play_scale


def assert_nothing_lost(result: ScaleResult) -> None:
    """Check that no request was lost or sent after its end, and that the run had more than 500 requests."""
    assert result.lost == [], "\n".join([result.line(), *result.lost_lines()])
    assert result.sent_after_end == 0, result.line()
    assert not result.events["invariant_violated"]
    assert sum(result.outcomes.values()) > 500


@pytest.mark.parametrize("seed", [1, 2])
def test_requests_are_lost_while_thousands_of_nodes_are_replaced_and_a_router_restarts(seed: int) -> None:
    plan = ScalePlan(
        nodes=3_200,
        rate=250.0,
        seed=seed,
        replacements=(NodeReplacement(at_s=1.0, steps=4, nodes_per_step=500, away_s=2.5),),
        kills=(RouterKill(at_s=1.0, down_s=1.5, routers=1),),
    )
    assert_nothing_lost(play_scale(plan))


@pytest.mark.parametrize("deadline_s", [0.4, 1.2])
def test_requests_are_lost_by_a_router_with_less_cpu_time_than_it_needs(deadline_s: float) -> None:
    plan = ScalePlan(nodes=200, rate=300.0, length_s=6.0, deadline_s=deadline_s, cpu_share=0.1)
    assert_nothing_lost(play_scale(plan))


def test_requests_are_lost_with_short_deadlines_in_a_calm_fleet_of_thousands() -> None:
    assert_nothing_lost(
        play_scale(ScalePlan(nodes=3_200, routers=2, rate=250.0, length_s=6.0, deadline_s=0.4))
    )
