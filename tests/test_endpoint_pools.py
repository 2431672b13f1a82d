"""Popularity of keys, keep and overflow pools, and the rendezvous order of their endpoints."""

from __future__ import annotations

import random
import tracemalloc
from dataclasses import replace

import pytest

from rosepick.decisions import api, decide, endpoint_state
from rosepick.decisions.api import Mode, Result, UpdateScope
from rosepick.decisions.decide import Router

from .driver import ORIGIN_ID, READ, WRITE, create_router, fleet, sends, settings


def test_a_hot_key_has_more_holders_in_a_larger_fleet() -> None:
    used: dict[int, set[int]] = {}
    for size in (30, 300):
        router = create_router()
        router.handle(1.0, api.EndpointUpdate(UpdateScope.FULL, tuple(fleet(size))))
        used[size] = set()
        for ref in range(1, 1000):
            key = 7 if ref % 10 == 0 else 1000 + ref % 60
            for sent in sends(router.handle(5.0 * ref, api.RequestArrived(ref, 0, 900.0, key=key))):
                router.handle(
                    5.0 * ref + 1, api.AttemptEnded(ref, 0, sent.endpoint_id, Result.OK, True, 1, 5.0)
                )
                if key == 7 and ref > 500:
                    used[size].add(sent.endpoint_id)
    assert 2 <= len(used[30]) < len(used[300])


def test_the_top_limit_shrinks_under_bad_attempts_and_grows_otherwise() -> None:
    popularity = decide.PopularityFilter()
    for key in range(1, 100):
        popularity.touch(key)
    for _ in range(50):
        popularity.record_attempt(False)
    popularity.adjust_limit()
    assert popularity.top_limit > decide.INITIAL_TOP_SIZE
    for _ in range(50):
        popularity.record_attempt(True)
    popularity.adjust_limit()
    assert popularity.top_limit < 100


def test_rank_is_read_before_the_touch() -> None:
    popularity = decide.PopularityFilter()
    popularity.top_limit = 2
    assert popularity.touch(1)[0] is False
    assert popularity.touch(1)[0] is True
    for key in (2, 3):
        popularity.touch(key)
    assert popularity.touch(1)[0] is False  # it had dropped below the top two


def test_orders_of_thousands_of_slots_take_little_memory() -> None:
    table = decide.RendezvousTable(False)
    table.update([endpoint_state.EndpointState(api.Endpoint(n), 0.0) for n in range(1, 17)])
    tracemalloc.start()
    for slot in range(500):
        table.order_for(slot)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held < 600 * 500


def test_home_zone_first_and_never_the_origin() -> None:
    router = create_router()
    router.handle(1.0, api.TimerFired(decide.TICK_TIMER))
    assert {server.endpoint.zone for server in router.pools.home_zone} == {0}
    assert ORIGIN_ID not in {server.id for server in router.pools.candidates(5, True, True)}
    lone = create_router(zone=17)
    lone.handle(1.0, api.TimerFired(decide.TICK_TIMER))
    assert len(lone.pools.home_zone) == 9


def test_churn_moves_few_keys() -> None:
    router = create_router(zone=17)
    router.handle(1.0, api.TimerFired(decide.TICK_TIMER))
    router.pools.keep_share = 0.7
    before = {slot: next(router.pools.candidates(slot, True, False)).id for slot in range(300)}
    gone = router.pools.home_zone[0].id
    router.handle(2.0, api.EndpointUpdate(UpdateScope.DELTA, (api.Endpoint(gone, api.Status.REMOVED),)))
    router.handle(3.0, api.TimerFired(decide.TICK_TIMER))
    after = {slot: next(router.pools.candidates(slot, True, False)).id for slot in range(300)}
    moved = sum(before[slot] != after[slot] and before[slot] != gone for slot in before)
    assert moved < 0.35 * len(before)


def test_requests_without_keys_use_the_whole_zone() -> None:
    router = create_router()
    used = set()
    for ref in range(1, 40):
        server = sends(router.handle(1.0, api.RequestArrived(ref, 0, 900.0)))[0].endpoint_id
        router.handle(2.0, api.AttemptEnded(ref, 0, server, Result.OK, True, 1, 5.0))
        used.add(server)
    assert used == {server.id for server in router.pools.home_zone}


def test_promotions_wait_while_the_origin_is_short() -> None:
    """The second visit of a key stays at its holder in overflow while overflow is wide."""
    for short in (True, False):
        router = create_router(mode=Mode.THROUGH, origin_kind=-1)
        first = sends(router.handle(10.0, api.RequestArrived(1, 0, 900.0, key=5)))[0].endpoint_id
        router.handle(20.0, api.AttemptEnded(1, 0, first, Result.OK, True, 2, 10.0))
        router.pools.wide_share = 0.001 if short else 0.0
        again = sends(router.handle(30.0, api.RequestArrived(2, 0, 900.0, key=5)))[0].endpoint_id
        assert (again == first) is short


@pytest.mark.parametrize(("waits", "bad_attempts"), [(0, 0), (1, 1)])
def test_keep_pool_misses_are_bad_only_while_the_origin_is_short(waits: int, bad_attempts: int) -> None:
    router = create_router()
    router.pools.wide_share = 0.2
    router.origin_waits = waits
    router.popularity.touch(5)
    server = sends(router.handle(10.0, api.RequestArrived(1, 0, 900.0, key=5)))[0].endpoint_id
    before = router.popularity.bad_attempts
    router.handle(20.0, api.AttemptEnded(1, 0, server, Result.MISS, latency_ms=5.0))
    assert router.popularity.bad_attempts - before == bad_attempts


@pytest.mark.parametrize(("waits", "moves"), [(0, True), (1, False)])
def test_reads_stay_with_an_overloaded_holder_while_the_origin_is_short(waits: int, moves: bool) -> None:
    router = create_router()
    router.pools.refresh()
    holder = next(router.pools.candidates(decide.hash64(5) % decide.SLOT_COUNT, False, False))
    holder.latency_ewma = decide.WAIT_BOUND_SHARE * READ.objective_ms * 1.2
    router.origin.latency_ewma = 200.0
    router.origin_waits = waits
    sent = sends(router.handle(10.0, api.RequestArrived(1, 0, 900.0, key=5)))
    assert (sent[0].endpoint_id != holder.id) == moves


def test_a_router_spreads_its_requests_evenly_over_its_zone() -> None:
    """A router that sees few requests knows few popular keys: a fixed overflow pool would be overloaded."""
    for repeats in (0.3, 0.8):
        router = create_router(zone=17)
        rng, used, key = random.Random(3), {server.endpoint_id: 0 for server in fleet(origin=False)}, 1000
        for ref in range(1, 1500):
            key += 1
            number = rng.randrange(60) if rng.random() < repeats else key
            for sent in sends(router.handle(float(ref), api.RequestArrived(ref, 0, 900.0, key=number + 1))):
                used[sent.endpoint_id] += 1
                router.handle(ref + 0.5, api.AttemptEnded(ref, 0, sent.endpoint_id, Result.OK, True, 1, 5.0))
        border = router.pools.keep_pool_size()
        keep = sum(used[server.id] for server in router.pools.home_zone[:border]) / border
        rest = sum(used[server.id] for server in router.pools.home_zone[border:]) / (len(used) - border)
        assert 0.6 < keep / rest < 1.6


def test_tables_follow_churn_without_a_rebuild() -> None:
    router = create_router(zone=17)
    router.pools.refresh()
    table, rng = router.pools.fleet_table, random.Random(5)
    for slot in range(50):
        table.order_for(slot)
    endpoints = {endpoint.endpoint_id: endpoint for endpoint in fleet(origin=False)}
    for n in range(300):
        number = rng.choice([*endpoints, 5000 + n])
        endpoint = endpoints.get(number, api.Endpoint(number, zone=n % 3))
        state = rng.choice([api.Status.READY, api.Status.READY, api.Status.REMOVED])
        endpoints[number] = replace(endpoint, status=state)
        router.handle(10.0 + n, api.EndpointUpdate(UpdateScope.DELTA, (endpoints[number],)))
        router.pools.refresh()
        rebuilt = decide.RendezvousTable(False)
        rebuilt.update([server for server, _ in table.entries.values()])
        ready = [s for s in table.order_for(n % 50) if s.status is api.Status.READY]
        listed = router.endpoints.states
        found = [server.id for server in dict.fromkeys(ready) if listed.get(server.id) is server]
        assert found == [server.id for server in rebuilt.order_for(n % 50)]
        assert len(table.order_for(n % 50)) <= 2 * len(table.entries) + 2


def test_work_for_a_request_does_not_grow_with_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counts hashes of (server, slot), the only work over all servers, once slots are known."""
    work = []
    for size in (30, 300):
        config = settings(classes=(READ, WRITE), tenants=(), zone=0)
        router = Router(config, 1)
        router.handle(0.0, api.EndpointUpdate(UpdateScope.CACHED, tuple(fleet(size))))
        count = 0

        def counted(value: int, mix: object = decide.hash64) -> int:
            nonlocal count
            count += 1
            return int(mix(value))  # type: ignore[operator]

        for ref in range(1, 400):
            if ref == 200:
                monkeypatch.setattr(decide, "hash64", counted)
            for sent in sends(router.handle(float(ref), api.RequestArrived(ref, 0, 900.0, key=ref % 20 + 1))):
                router.handle(ref + 0.5, api.AttemptEnded(ref, 0, sent.endpoint_id, Result.OK, True, 1, 5.0))
        monkeypatch.undo()
        work.append(count)
    assert work[1] <= work[0] * 1.5
