"""Load, latency, ejection, probes and warm-up of endpoints, the endpoint list, and overdue attempts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rosepick.decisions import api, decide, endpoint_state
from rosepick.decisions.api import Result, UpdateScope
from rosepick.decisions.decide import Router
from rosepick.decisions.discovery_calls import RETRY_DELAYS_MS

from .driver import ORIGIN_ID, READ, WRITE, create_router, fleet, sends, settings


def test_the_initial_limit_is_divided_among_the_routers() -> None:
    few, many = create_router(routers=2), create_router(routers=20)
    limits = [next(iter(r.endpoints.states.values())).concurrency_limit for r in (few, many)]
    assert limits[0] > limits[1] >= endpoint_state.MIN_START_CONCURRENCY


def test_one_load_report_does_not_scatter_keys() -> None:
    server = endpoint_state.EndpointState(api.Endpoint(1), 0.0)
    server.record_load_report(10.0, 20.0)
    assert server.load(10.0) < 8
    for n in range(20):
        server.record_load_report(20.0 + n, 20.0)
    assert server.load(40.0) > 15


def test_expected_latency_is_not_dominated_by_idle_responses() -> None:
    server = endpoint_state.EndpointState(api.Endpoint(1), 0.0)
    for n in range(200):
        busy = n % 2
        server.record_latency(float(n), 400.0 if busy else 100.0, 9.0 if busy else 0.0)
    server.in_flight = 9
    assert server.expected_latency(200.0, 40.0) == pytest.approx(450.0, rel=0.3)


def test_load_reports_alone_cause_no_refusals() -> None:
    server = endpoint_state.EndpointState(api.Endpoint(1), 0.0)
    for n in range(50):
        server.record_latency(float(n), 60.0, 0.0)
    for n in range(50):
        server.record_load_report(50.0 + n, 12.0)
    assert server.expected_latency(100.0, 60.0) < 100.0
    server.in_flight = 3
    assert server.expected_latency(100.0, 60.0) > 300.0


def test_a_slow_endpoint_does_not_count_as_silent() -> None:
    router = create_router()
    router.popularity.touch(5)
    server = sends(router.handle(10.0, api.RequestArrived(1, 0, 900.0, key=5)))[0].endpoint_id
    router.handle(100.0, api.ProbeResult(server, Result.OK, 5.0))
    request = router.pending[1]
    assert not sends(router.handle(request.check_at, api.TimerFired(decide.CHECK_TIMER | 1)))
    assert request.in_flight_count() == 1


def test_an_overdue_request_moves_only_once_its_endpoint_is_ejected() -> None:
    router = create_router()
    router.popularity.touch(5)
    first = sends(router.handle(10.0, api.RequestArrived(1, 0, 900.0, key=5)))[0].endpoint_id
    request = router.pending[1]
    assert not sends(
        router.handle(request.overdue_at, api.TimerFired(decide.CHECK_TIMER | 1))
    )  # one long wait proves nothing
    server = router.endpoints.states[first]
    while not server.ejected:
        server.record_silence(request.overdue_at)
    moved = sends(router.handle(request.overdue_at, api.TimerFired(decide.CHECK_TIMER | 1)))
    assert len(moved) == 1 and moved[0].endpoint_id != first


@pytest.mark.parametrize("write", [False, True])
def test_an_attempt_overtaken_by_many_later_ones_is_abandoned(write: bool) -> None:
    router, now = create_router(), 1000.0

    def serve(ref: int, event: api.RequestArrived) -> None:
        for action in sends(router.handle(now, event)):
            router.handle(now + 1.0, api.AttemptEnded(ref, 0, action.endpoint_id, Result.OK, True, 1, 5.0))

    hung = replace(api.RequestArrived(999, 0, 900.0, key=5), is_write=write)
    for ref in range(1, 60):  # the usual latency is learned first
        now += 5.0
        serve(ref, replace(hung, ref=ref))
    (first,) = sends(router.handle(now, hung))
    for ref in range(100, 104):
        now += 1.0
        serve(ref, replace(hung, ref=ref))
    cancels: list[api.Cancel] = []

    def check_attempt(ref: int) -> None:
        actions = router.handle(now, api.TimerFired(decide.CHECK_TIMER | ref))
        cancels.extend(action for action in actions if isinstance(action, api.Cancel))

    now += 90.0
    check_attempt(999)
    assert not cancels  # few overtook it: it may be a long one
    for ref in range(110, 117):
        now += 1.0
        serve(ref, replace(hung, ref=ref))
    now += 90.0
    check_attempt(999)
    assert [cancel.ref for cancel in cancels] == [999]
    router.handle(now, api.AttemptEnded(999, 0, first.endpoint_id, Result.CANCELLED))
    assert len(router.pending[999].attempts) == 2


def test_a_write_is_not_abandoned_where_it_could_not_be_retried() -> None:
    """No attempt may follow outside the repeat window, so the one in flight is kept."""
    for window, is_abandoned in ((900.0, True), (120.0, False)):
        config = settings(classes=(READ, replace(WRITE, repeat_window_ms=window)), tenants=())
        router, now = Router(config, 1), 1000.0
        router.handle(0.0, api.EndpointUpdate(UpdateScope.CACHED, tuple(fleet())))
        for ref in range(1, 60):
            now += 5.0
            for action in sends(router.handle(now, api.RequestArrived(ref, 1, 900.0, key=5, is_write=True))):
                router.handle(
                    now + 1.0, api.AttemptEnded(ref, 0, action.endpoint_id, Result.OK, True, 1, 5.0)
                )
        router.handle(now, api.RequestArrived(999, 1, 900.0, key=5, is_write=True))
        for ref in range(100, 112):
            now += 1.0
            for action in sends(router.handle(now, api.RequestArrived(ref, 1, 900.0, key=5, is_write=True))):
                router.handle(
                    now + 1.0, api.AttemptEnded(ref, 0, action.endpoint_id, Result.OK, True, 1, 5.0)
                )
        actions = router.handle(now + 130.0, api.TimerFired(decide.CHECK_TIMER | 999))
        assert (api.Cancel(999, 0) in actions) == is_abandoned


@pytest.mark.parametrize("is_subscribed", [False, True])
def test_a_silent_endpoint_is_ejected_and_probed(is_subscribed: bool) -> None:
    router = create_router()
    server = router.endpoints.states[100]
    for n in range(endpoint_state.EJECT_AFTER_FAILURES):
        router.now = 1000.0 + n
        router._record_silence(server)
    assert server.ejected
    actions = router.handle(2000.0, api.TimerFired(decide.TICK_TIMER))
    assert api.Probe(100) in actions
    router.endpoints.calls.is_subscribed = is_subscribed
    router.handle(5500.0, api.ProbeResult(100, Result.OK, 2.0))
    assert not server.ejected
    # without a subscription it may have restarted meanwhile: slots return slowly
    assert (server.min_warm_share(5500.0) == 1.0) == is_subscribed


def test_a_request_is_sent_although_all_endpoints_are_ejected() -> None:
    router = create_router()
    for server in router.endpoints.states.values():
        for _ in range(endpoint_state.EJECT_AFTER_FAILURES):
            server.record_silence(5.0)
    assert len(sends(router.handle(10.0, api.RequestArrived(1, 0, 900.0, key=5)))) == 1


def test_log_lines_of_a_kind_are_rate_limited() -> None:
    router = create_router()
    lines: list[api.Action] = []
    for n in range(40):
        for server in router.endpoints.states.values():
            server.ejected = False
            router.actions = []
            router.now = n * 100.0
            for _ in range(endpoint_state.EJECT_AFTER_FAILURES):
                router._record_silence(server)
            lines += [action for action in router.actions if isinstance(action, api.Log)]
    assert len(lines) == 1


def test_a_cold_endpoint_gets_its_budget_and_no_more() -> None:
    router = create_router()
    cold = api.Endpoint(777, started_at=1000.0)
    router.handle(1000.0, api.EndpointUpdate(UpdateScope.DELTA, (cold,)))
    sent, now = 0, 1000.0
    for ref in range(1, 400):
        now += 4.0
        for action in sends(router.handle(now, api.RequestArrived(ref, 0, 900.0, key=ref))):
            sent += action.endpoint_id == 777
            router.handle(now, api.AttemptEnded(action.ref, 0, action.endpoint_id, Result.OK, True, 1, 3.0))
    warm = max(s.window_sends for s in router.endpoints.states.values() if s.id != 777)
    assert sent <= 1 + warm * router.endpoints.states[777].min_warm_share(now) + 1


def test_many_routers_share_the_budget_of_a_cold_endpoint() -> None:
    sent_count = 0
    for position in range(200):
        router = create_router(routers=200, position=position)
        router.handle(1000.0, api.EndpointUpdate(UpdateScope.DELTA, (api.Endpoint(777, started_at=1000.0),)))
        server = router.endpoints.states[777]
        window_ms = router._cold_window_ms()
        router.warm_traffic.record_send(1000.0, router.endpoints.states[100], window_ms)  # little traffic
        for step in range(40):
            router.now = 1000.0 + 50.0 * step
            if router._has_cold_budget(server):
                router.warm_traffic.record_send(router.now, server, window_ms)
        sent_count += server.window_sends
    warm = 200 / 3  # sends of all routers to a warm neighbour
    # the time spans two windows, and routers draw anew in each
    assert 0.2 * warm <= sent_count <= 2 * (decide.MIN_COLD_SENDS + 0.4 * warm)


def test_budgets_in_a_wholly_cold_zone_follow_all_warm_endpoints() -> None:
    router = create_router(zone=0, cross_zone_cost=0.0)
    endpoints = [replace(m, started_at=1000.0 if m.zone == 1 else 0.0) for m in fleet()]
    router.handle(1000.0, api.EndpointUpdate(UpdateScope.FULL, tuple(endpoints)))
    cold = [s for s in router.endpoints.states.values() if s.endpoint.zone == 1]
    warm = [s for s in router.endpoints.states.values() if s.endpoint.zone != 1 and s.id != ORIGIN_ID]
    window_ms = router._cold_window_ms()
    for n in range(100):
        for server in warm:
            router.warm_traffic.record_send(1000.0 + n, server, window_ms)
    router.now = 1900.0
    part = decide.COLD_REMOTE_FACTOR * cold[0].min_warm_share(router.now)
    for server in cold:
        sent_count = 0
        while router._has_cold_budget(server):
            router.warm_traffic.record_send(router.now, server, window_ms)
            sent_count += 1
        assert 100 * part <= sent_count <= 100 * part + 2
    cold[0].endpoint = replace(cold[0].endpoint, weight=0.1)
    cold[0].window_sends = int(20 * part + 2)
    assert not router._has_cold_budget(cold[0])


def test_calls_to_discovery_that_fail_are_spread_further_each_time() -> None:
    """The first retry comes within 200 ms; each takes at least half its longest delay, at random."""
    delays_by_seed = []
    for seed in (1, 2):
        router = Router(replace(settings(), classes=(READ,)), seed)
        first = router.handle(0.0, api.EndpointUpdate(UpdateScope.CACHED, tuple(fleet())))
        assert api.Watch(True) in first  # at once, as the list of the configuration may be old
        now, delays = 0.0, []
        for _ in range(200):
            failed = router.handle(now, api.EndpointUpdate(UpdateScope.FAILED))
            (due_at,) = [a.due_at for a in failed if isinstance(a, api.SetTimer)]
            assert api.Watch(True) not in router.handle(due_at - 1.0, api.TimerFired(decide.DISCOVERY_TIMER))
            assert api.Watch(True) in router.handle(due_at, api.TimerFired(decide.DISCOVERY_TIMER))
            delays.append(due_at - now)
            now = due_at
        longest = [*RETRY_DELAYS_MS, *[RETRY_DELAYS_MS[-1]] * 200]
        assert all(0.5 * most <= delay <= most for delay, most in zip(delays, longest, strict=False))
        assert delays[0] < 200.0
        router.handle(now, api.EndpointUpdate(UpdateScope.DELTA))
        (again,) = [
            a.due_at
            for a in router.handle(now, api.EndpointUpdate(UpdateScope.FAILED))
            if isinstance(a, api.SetTimer)
        ]
        assert again - now < 200.0  # a response resets the count of failures
        delays_by_seed.append(delays)
    assert delays_by_seed[0] != delays_by_seed[1]


def test_a_lost_response_of_discovery_is_requested_again() -> None:
    router = Router(replace(settings(), classes=(READ,)), 1)
    first = router.handle(0.0, api.EndpointUpdate(UpdateScope.CACHED, tuple(fleet())))
    calls, now = first.count(api.Watch(True)), 0.0
    while now < 25_000:
        now += 100.0
        calls += sum(isinstance(a, api.Watch) for a in router.handle(now, api.TimerFired(decide.TICK_TIMER)))
    assert calls == 3


def test_state_of_removed_endpoints_is_dropped() -> None:
    router = create_router()
    for n in range(200):
        router.handle(10.0 * n, api.EndpointUpdate(UpdateScope.DELTA, (api.Endpoint(5000 + n),)))
        router.handle(
            10.0 * n + 5, api.EndpointUpdate(UpdateScope.DELTA, (api.Endpoint(5000 + n, api.Status.REMOVED),))
        )
    assert len(router.endpoints.states) <= len(fleet()) + 1
