"""The limit on fetches at the origin, the queue for it, and shared fetches."""

from __future__ import annotations

import heapq

import pytest

from rosepick.decisions import api, decide
from rosepick.decisions.api import Mode, Result

from .driver import ORIGIN_ID, READ, create_router, sends, settings


def test_varying_fetch_latency_does_not_cut_the_limit() -> None:
    origin = decide.OriginAdmission(settings(classes=(READ,)))
    limit = origin.limit
    for n in range(200):
        origin.in_flight = 3
        origin.add_in_flight(n * 20.0, 0)
        origin.record_fetch(n * 20.0, 20.0 if n % 5 else 180.0, True)
    assert origin.limit >= limit * 0.9


def test_one_long_fetch_does_not_cut_the_limit_far() -> None:
    origin = decide.OriginAdmission(settings(classes=(READ,)))
    origin.in_flight = 8
    for n in range(200):
        origin.add_in_flight(n * 20.0, 0)
        origin.record_fetch(n * 20.0, 50.0, True)
    origin.add_in_flight(4000.0, -8)
    origin.reduce_limit(1000.0)
    assert origin.limit > 5


def test_a_router_with_few_fetches_pauses_while_the_origin_fails() -> None:
    """One fetch at each of hundreds of routers overloads an origin, so a limit under 1 causes pauses."""
    origin, now, sent = decide.OriginAdmission(settings(classes=(READ,), routers=300)), 0.0, 0
    for _ in range(2000):
        now += 50.0
        if origin.admits(now):
            sent += 1
            origin.add_in_flight(now, 1)
            origin.add_in_flight(now + 40.0, -1)
            origin.record_fetch(now + 40.0, 300.0, False)
    assert sent < 100
    for _ in range(120):  # six seconds: a mean raised by failures must not keep the limit low
        now += 50.0
        if origin.admits(now):
            origin.add_in_flight(now, 1)
            origin.add_in_flight(now + 40.0, -1)
            origin.record_fetch(now + 40.0, 20.0, True)
    assert origin.limit >= 1.0


def test_timeouts_of_a_silent_endpoint_do_not_cut_the_limit() -> None:
    for is_alive in (False, True):
        router = create_router(mode=Mode.THROUGH, origin_kind=-1)
        router.origin.limit = 6.0
        sent = sends(router.handle(1000.0, api.RequestArrived(1, 0, 900.0, key=5)))
        if is_alive:
            router.handle(1100.0, api.ProbeResult(sent[0].endpoint_id, Result.OK))
        router.handle(1900.0, api.AttemptEnded(1, 0, sent[0].endpoint_id, Result.TIMEOUT, latency_ms=900.0))
        assert (router.origin.limit < 6.0) == is_alive


def test_timed_out_fetches_cut_the_limit() -> None:
    """In read-through mode an overloaded origin causes only timeouts, so they must cut the limit."""
    router = create_router(mode=Mode.THROUGH, origin_kind=-1)
    for n in range(30):
        router.origin.record_fetch(10.0 + n, 100.0, True)
    before = router.origin.limit
    now = 2000.0
    for ref in range(1, 12):
        now += 500.0
        for action in sends(router.handle(now, api.RequestArrived(ref, 0, 300.0, key=ref))):
            router.handle(now + 200.0, api.ProbeResult(action.endpoint_id, Result.OK))
            router.handle(
                now + 300.0, api.AttemptEnded(ref, 0, action.endpoint_id, Result.TIMEOUT, latency_ms=300.0)
            )
    assert router.origin.limit < before / 2


@pytest.mark.parametrize("usual_latency_ms", [100.0, 450.0])
def test_hung_fetches_cut_the_limit_only_where_others_are_slow(usual_latency_ms: float) -> None:
    """In cache-aside mode every fourth fetch never ends, and the others take `usual_latency_ms`."""
    router = create_router()
    for n in range(30):
        router.origin.record_fetch(10.0 + n, 100.0, True)
    before, now = router.origin.limit, 1_000.0
    events: list[tuple[float, int, api.AttemptEnded]] = []
    for ref in range(1, 200):
        now += 40.0
        write = api.RequestArrived(ref, 1, 900.0, key=ref, is_write=True)
        while events and events[0][0] <= now:
            at, _, event = heapq.heappop(events)
            router.handle(at, event)
        for sent in sends(router.handle(now, write)):
            hangs = not ref % 4
            result, latency_ms = (Result.TIMEOUT, 900.0) if hangs else (Result.OK, usual_latency_ms)
            heapq.heappush(
                events,
                (
                    now + latency_ms,
                    ref,
                    api.AttemptEnded(ref, 0, sent.endpoint_id, result, latency_ms=latency_ms),
                ),
            )
    assert (router.origin.limit < before / 2) == (usual_latency_ms > 400.0)


def test_an_overload_at_the_start_does_not_count_as_the_best_latency() -> None:
    origin = decide.OriginAdmission(settings(classes=(READ,)))
    for n in range(60):
        origin.in_flight = 10
        origin.record_fetch(n * 50.0, READ.objective_ms * 0.8, True)
    assert origin.limit < decide.INITIAL_READ_THROUGH_FETCHES / 2


def test_writes_are_queued_for_a_failing_origin() -> None:
    router = create_router(mode=Mode.THROUGH, origin_kind=-1)
    router.origin.limit = 1.0
    first = router.handle(10.0, api.RequestArrived(1, 1, 900.0, key=5, is_write=True))
    second = router.handle(11.0, api.RequestArrived(2, 1, 900.0, key=6, is_write=True))
    assert len(sends(first)) == 1
    assert not sends(second)
    server = sends(first)[0].endpoint_id
    actions = router.handle(50.0, api.AttemptEnded(1, 0, server, Result.OK, True, 2, 40.0))
    assert [action.ref for action in sends(actions)] == [2]


def test_queued_requests_are_refused_once_their_objective_has_passed() -> None:
    router = create_router(mode=Mode.THROUGH, origin_kind=-1)
    router.origin.limit = 1.0
    router.handle(10.0, api.RequestArrived(1, 1, 900.0, key=5, is_write=True))
    router.handle(11.0, api.RequestArrived(2, 0, 900.0, key=6))
    router.handle(12.0, api.RequestArrived(3, 0, 900.0, key=7))
    done = router.handle(400.0, api.TimerFired(decide.TICK_TIMER))
    assert {action.ref for action in done if isinstance(action, api.Refuse)} == {2, 3}


def test_a_miss_is_fetched_from_the_origin() -> None:
    router = create_router()
    first = sends(router.handle(10.0, api.RequestArrived(1, 0, 900.0, key=5)))
    assert first[0].endpoint_id not in {
        server.id for server in router.pools.home_zone[: router.pools.keep_pool_size()]
    }
    second = sends(
        router.handle(20.0, api.AttemptEnded(1, 0, first[0].endpoint_id, Result.MISS, latency_ms=5.0))
    )
    assert second[0].endpoint_id == ORIGIN_ID


def test_reads_of_a_missing_key_share_a_fetch() -> None:
    router = create_router()
    router.popularity.touch(5)
    first = sends(router.handle(10.0, api.RequestArrived(1, 0, 900.0, key=5)))
    second = sends(router.handle(11.0, api.RequestArrived(2, 0, 900.0, key=5)))
    fetch = sends(
        router.handle(20.0, api.AttemptEnded(1, 0, first[0].endpoint_id, Result.MISS, latency_ms=5.0))
    )
    assert fetch[0].endpoint_id == ORIGIN_ID
    assert not sends(
        router.handle(21.0, api.AttemptEnded(2, 0, second[0].endpoint_id, Result.MISS, latency_ms=5.0))
    )
    after = sends(router.handle(60.0, api.AttemptEnded(1, 1, ORIGIN_ID, Result.OK, True, 0, 40.0)))
    assert [(action.ref, action.endpoint_id) for action in after] == [(2, first[0].endpoint_id)]


def test_the_limit_regrows_from_every_value() -> None:
    for tenths in range(10, 60):
        origin = decide.OriginAdmission(settings(mode=Mode.ASIDE))
        origin.limit = start = tenths / 10
        now = 0.0
        for _ in range(4):  # good fetches, as many at once as the limit admits
            now += 100.0
            in_flight = 0
            while origin.admits(now):
                origin.add_in_flight(now, 1)
                in_flight += 1
            for _ in range(in_flight):
                origin.add_in_flight(now, -1)
                origin.record_fetch(now, 20.0, True)
        assert origin.limit > start
