"""All routers together stay within the budget of a cold node, whatever their number."""

from __future__ import annotations

import pytest

from .cold_fleet import FLEET_SIZES, ColdStartFleet


@pytest.mark.parametrize("routers", FLEET_SIZES)
def test_all_routers_together_do_not_overload_a_cold_node(routers: int) -> None:
    runs = [ColdStartFleet(routers, seed).run() for seed in (1, 2, 3)]
    assert max(run.count for run in runs) > 3  # the node gets requests at all
    assert not any(run.overloads_node for run in runs), runs


@pytest.mark.parametrize("routers", FLEET_SIZES)
def test_without_a_budget_the_node_is_overloaded(routers: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a simulation in which no router could overload the node."""
    monkeypatch.setattr("rosepick.decisions.decide.Router._has_cold_budget", lambda router, server: True)
    monkeypatch.setattr("rosepick.decisions.decide.EndpointState.min_warm_share", lambda server, now: 1.0)
    assert any(ColdStartFleet(routers, seed, load=0.9).run().overloads_node for seed in (1, 2, 3))
