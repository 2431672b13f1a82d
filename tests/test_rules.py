"""The four rules hold on seeded random event streams, also under settings that no fleet uses yet."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rosepick.decisions import api
from rosepick.decisions.api import Mode

from .driver import RandomEventDriver, fleet, settings

USUAL = settings()
ATTEMPTS_ONLY = api.RouterLimits(3)

CONFIGURATIONS: dict[str, tuple[api.RouterSettings, list[api.Endpoint], int]] = {
    "aside": (USUAL, fleet(), 40),
    "through": (settings(mode=Mode.THROUGH, origin_kind=-1), fleet(origin=False), 40),
    "no hedging": (settings(limits=replace(USUAL.limits, allow_hedging=False)), fleet(), 40),
    "no tenants": (settings(tenants=()), fleet(), 40),
    "no keys": (settings(), fleet(), 0),
    "one zone": (settings(), fleet(zones=1), 40),
    "one endpoint": (settings(), fleet(count=1), 40),
    "only the origin": (settings(), fleet(count=0), 40),
    "no origin listed": (settings(), fleet(origin=False), 40),
    "zone without endpoints": (settings(zone=17), fleet(), 40),
    "no probes, no peers, no cancel": (settings(limits=ATTEMPTS_ONLY, report_fields=()), fleet(), 40),
    "one attempt": (settings(limits=api.RouterLimits(1)), fleet(), 40),
    "automatic list": (settings(subscribe=False), fleet(), 40),
    "ordinary sizes": (settings(sized_weights=True), fleet(), 40),
    "zero value": (settings(classes=(api.RequestClass(100, 400, worth=0.0),)), fleet(), 40),
}


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("configuration", CONFIGURATIONS)
def test_rules_hold_on_random_streams(configuration: str, seed: int) -> None:
    config, endpoints, keys = CONFIGURATIONS[configuration]
    RandomEventDriver(config, endpoints, seed, keys).run()


@pytest.mark.parametrize("configuration", ["aside", "through"])
def test_rules_hold_under_overload(configuration: str) -> None:
    config, endpoints, keys = CONFIGURATIONS[configuration]
    RandomEventDriver(config, endpoints, 99, keys).run(requests=1500, rate=1.0, churn=0.01)


def test_same_events_same_actions() -> None:
    first, second = RandomEventDriver(USUAL, fleet(), 5), RandomEventDriver(USUAL, fleet(), 5)
    first.run()
    second.run()
    assert first.trace == second.trace


def test_other_instances_change_nothing() -> None:
    """Instances share no state: a router beside others makes the same decisions as one alone."""
    alone = RandomEventDriver(USUAL, fleet(), 5)
    alone.run()
    drivers = [RandomEventDriver(USUAL, fleet(), seed) for seed in (5, 6, 7)]
    for driver in drivers:
        driver.run()
    assert drivers[0].trace == alone.trace


@pytest.mark.parametrize("seed", range(4))
def test_no_state_is_held_once_all_requests_are_answered(seed: int) -> None:
    driver = RandomEventDriver(USUAL, fleet(), seed)
    driver.run()
    assert not driver.router.pending
    assert not driver.router.fetch_leaders
    assert all(server.in_flight == 0 for server in driver.router.endpoints.states.values())
    assert driver.router.origin.in_flight == 0
