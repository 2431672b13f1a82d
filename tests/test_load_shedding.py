"""Early refusals: late responses, requests in flight, and tenants over their share."""

from __future__ import annotations

import random

from rosepick.decisions import api, decide

from .driver import create_router, sends, settings


def test_late_responses_lower_the_wait_limit() -> None:
    shedder = decide.LoadShedder()
    for _ in range(50):
        shedder.record_loss(1.0)
    shedder.adjust_wait_share()
    assert shedder.wait_share < 1.0
    for _ in range(40):
        for _ in range(50):
            shedder.record_loss(0.0)
        shedder.adjust_wait_share()
    assert shedder.wait_share == 1.0


def test_slow_responses_lower_the_in_flight_limit() -> None:
    """Guards against a burst that overloads every endpoint before a router sees many late responses."""
    shedder, now = decide.LoadShedder(), 0.0
    shedder.in_flight = 6
    for _ in range(20):
        now += 300.0
        shedder.adjust_limit(now, 280.0, True)
    assert shedder.is_overloaded(1.0)
    shedder.in_flight = 1
    for _ in range(60):
        now += 20.0
        shedder.adjust_limit(now, 20.0, False)
    assert not shedder.is_overloaded(0.0)
    router = create_router()
    router.shedder.limit = 1.0
    assert sends(router.handle(10.0, api.RequestArrived(1, 0, 900.0, key=5)))
    assert sends(
        router.handle(11.0, api.RequestArrived(2, 0, 900.0, key=6))
    )  # its value lets it exceed the limit
    refused = router.handle(12.0, api.RequestArrived(3, 0, 900.0, key=7))
    assert any(isinstance(action, api.Refuse) for action in refused)


def test_a_small_tenant_is_not_over_its_share_by_chance() -> None:
    tenants = decide.TenantShares(settings(tenants=(api.Tenant(0.9, 0), api.Tenant(0.1, 0))))
    over, now = 0, 0.0
    rng = random.Random(7)
    for _ in range(3000):
        now += rng.expovariate(1 / 50.0)
        tenant = int(rng.random() < 0.1)
        over += tenants.is_over_share(now, tenant) and tenant
    assert over < 10  # of about 300; over 2 s it would be 18
