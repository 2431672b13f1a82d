"""Abandoning attempts is about as good as the best timeout found by search; and connect timeouts."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable

import pytest

from rosepick.attempt_timeouts.adaptive_timeout import (
    MIN_OVERTAKING_RESPONSES,
    MIN_TIMEOUT_MS,
    REMEMBERED_RESPONSES,
    AdaptiveTimeout,
    AttemptWait,
)
from rosepick.attempt_timeouts.connect_timeout import MIN_CONNECT_TIMEOUT_MS, ConnectTimeout
from rosepick.attempt_timeouts.timeout_budget import MAX_TOKENS, TimeoutBudget
from rosepick.decisions import api
from rosepick.decisions.api import Result, UpdateScope
from rosepick.decisions.decide import CHECK_TIMER, Router

from .driver import fleet, settings
from .latency_mixture import DrawRatio, draw_from_mixture


class AttemptSimulation:
    """Requests of one router, each with up to five attempts, one at a time. Times are milliseconds.

    `draw` gives the latency of an attempt sent at a time, as a multiple of `expected_ms`.
    """

    MAX_ATTEMPTS = 5

    def __init__(
        self,
        draw: Callable[[random.Random, float], float],
        duration_s: float = 30.0,
        requests_per_s: float = 80.0,
        expected_ms: float = 70.0,
        deadline_ms: float = 600.0,
        may_abandon: bool = True,
    ) -> None:
        self.draw = draw
        self.duration_s = duration_s
        self.requests_per_s = requests_per_s
        self.expected_ms = expected_ms
        self.deadline_ms = deadline_ms
        self.may_abandon = may_abandon
        self.timeouts = AdaptiveTimeout()
        self.rng = random.Random(3)
        self.events: list[tuple[float, int, str, list[AttemptWait], float]] = []
        self.event_count = 0
        self.ended: set[AttemptWait] = set()
        self.request_count = 0
        self.answered_in_time = 0
        self.abandoned_count = 0

    def run(self) -> tuple[float, int, int]:
        """Return the share answered in time, the number of requests and that of abandoned attempts."""
        self.push(0.0, "arrival", [], 0.0)
        while self.events:
            now, _, kind, waits, arrived_at = heapq.heappop(self.events)
            if kind == "arrival":
                self.handle_arrival(now)
            elif waits[-1] not in self.ended:
                self.handle_attempt_event(now, kind, waits, arrived_at)
        return self.answered_in_time / self.request_count, self.request_count, self.abandoned_count

    def push(self, at: float, kind: str, waits: list[AttemptWait], arrived_at: float) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (at, self.event_count, kind, waits, arrived_at))

    def send(self, now: float, waits: list[AttemptWait], arrived_at: float) -> None:
        wait = self.timeouts.start(now, False, self.expected_ms)
        waits.append(wait)
        latency_ms = self.expected_ms * self.draw(self.rng, now)
        if latency_ms < math.inf:
            self.push(now + latency_ms, "answer", [*waits], arrived_at)
        self.push(self.timeouts.next_check_at(wait, now), "check", waits, arrived_at)
        self.push(arrived_at + self.deadline_ms, "deadline", waits, arrived_at)

    def handle_arrival(self, now: float) -> None:
        if now < 1_000.0 * self.duration_s:
            self.push(now + self.rng.expovariate(self.requests_per_s / 1_000.0), "arrival", [], 0.0)
            self.request_count += 1
            self.timeouts.budget.record_request()
            self.send(now, [], now)

    def handle_attempt_event(
        self, now: float, kind: str, waits: list[AttemptWait], arrived_at: float
    ) -> None:
        wait = waits[-1]
        if kind == "answer" and not wait.is_abandoned:
            self.ended.add(wait)
            self.timeouts.finish(wait, now, True)
            self.answered_in_time += now <= arrived_at + self.deadline_ms
            self.timeouts.record_success(waits)
        elif kind == "deadline":
            self.ended.add(wait)
            self.timeouts.finish(wait, now, False)
        elif kind == "check" and self.may_abandon and len(waits) < self.MAX_ATTEMPTS:
            self.check(now, waits, arrived_at)

    def check(self, now: float, waits: list[AttemptWait], arrived_at: float) -> None:
        wait = waits[-1]
        time_left = arrived_at + self.deadline_ms - now
        if self.timeouts.may_abandon(wait, now, time_left) and self.timeouts.try_abandon(
            wait, now, time_left, self.expected_ms, 1e9
        ):
            self.abandoned_count += 1
            self.ended.add(wait)
            self.timeouts.finish(wait, now, False)
            self.send(now, waits, arrived_at)
        else:
            self.push(self.timeouts.next_check_at(wait, now), "check", waits, arrived_at)


def best_fixed_timeout_share(draw: DrawRatio, deadline_ms: float = 600.0, expected_ms: float = 70.0) -> float:
    """Return the share that is answered in time with the best fixed timeout, found by search."""
    best = 0.0
    for timeout_ms in (100.0, 130.0, 160.0, 200.0, 250.0, 300.0, 400.0, 600.0):
        rng = random.Random(4)
        answered = 0
        for _ in range(4_000):
            elapsed_ms = 0.0
            for _ in range(5):
                latency_ms = expected_ms * draw(rng)
                if latency_ms <= min(timeout_ms, deadline_ms - elapsed_ms):
                    answered += 1
                    break
                elapsed_ms += timeout_ms
                if elapsed_ms >= deadline_ms:
                    break
        best = max(best, answered / 4_000)
    return best


@pytest.mark.parametrize("hung_fraction", [0.05, 0.2])
def test_decisions_are_about_as_good_as_the_best_fixed_timeout(
    hung_fraction: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("rosepick.attempt_timeouts.adaptive_timeout.MOVED_READ_HIT_RATE", 1.0)
    draw = draw_from_mixture(hung_fraction)
    share, _, _ = AttemptSimulation(lambda rng, _: draw(rng)).run()
    share_without, _, _ = AttemptSimulation(lambda rng, _: draw(rng), may_abandon=False).run()
    assert share_without == pytest.approx(1.0 - hung_fraction, abs=0.03)
    assert share >= best_fixed_timeout_share(draw) - 0.02


def test_few_attempts_are_abandoned_where_none_hangs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rosepick.attempt_timeouts.adaptive_timeout.MOVED_READ_HIT_RATE", 1.0)
    share, count, abandoned = AttemptSimulation(lambda rng, _: draw_from_mixture(0.0)(rng)).run()
    assert abandoned < 0.02 * count
    assert share > 0.99


def test_attempts_are_not_abandoned_where_the_whole_fleet_is_slow(monkeypatch: pytest.MonkeyPatch) -> None:
    """Responses take five times as long from the tenth second on; the expected latency stays unchanged."""
    monkeypatch.setattr("rosepick.attempt_timeouts.adaptive_timeout.MOVED_READ_HIT_RATE", 1.0)

    def slow(rng: random.Random, now: float) -> float:
        return draw_from_mixture(0.0)(rng) * (5.0 if now > 10_000.0 else 1.0)

    share_without, _, _ = AttemptSimulation(slow, may_abandon=False).run()
    share, count, abandoned = AttemptSimulation(slow).run()
    assert abandoned <= 0.12 * count
    assert share >= share_without - 0.02


def test_budget_runs_out_where_no_abandoned_attempt_pays_off() -> None:
    budget = TimeoutBudget()
    abandoned = 0
    for _ in range(1_000):
        budget.record_request()
        if budget.has_token():
            budget.spend()
            abandoned += 1
    assert abandoned <= MAX_TOKENS + 0.1 * 1_000 + 1
    for _ in range(100):
        budget.record_success()
    assert budget.tokens == MAX_TOKENS


def test_no_attempt_is_abandoned_before_later_ones_were_answered() -> None:
    timeouts = AdaptiveTimeout()
    earlier = [timeouts.start(0.0, False, 50.0) for _ in range(5)]
    hung = timeouts.start(1.0, False, 50.0)
    later = [timeouts.start(2.0, False, 50.0) for _ in range(MIN_OVERTAKING_RESPONSES)]
    for wait in earlier:
        timeouts.finish(wait, 60.0, True)
    assert timeouts.count_overtaking(hung) == 0  # they were sent before it
    assert not timeouts.may_abandon(hung, 900.0, 500.0)
    for wait in later:
        timeouts.finish(wait, 70.0, True)
    assert timeouts.count_overtaking(hung) == MIN_OVERTAKING_RESPONSES
    assert timeouts.is_hung(hung, is_slow=False)
    # with slow answers it may be load, and the origin's admission must learn of it
    assert not timeouts.is_hung(hung, is_slow=True)
    timeouts.moved_read_hit_rate = 1.0
    assert not timeouts.may_abandon(hung, 1.0 + MIN_TIMEOUT_MS / 2, 500.0)
    assert timeouts.may_abandon(hung, 900.0, 500.0)
    assert not timeouts.try_abandon(hung, 70.0, 500.0, 50.0, 50.0)  # not after so short a wait
    assert timeouts.try_abandon(hung, 900.0, 500.0, 50.0, 50.0)
    assert hung.is_abandoned and timeouts.budget.tokens == MAX_TOKENS - 1.0


def test_another_attempt_must_have_a_better_chance() -> None:
    timeouts = AdaptiveTimeout()
    hung = timeouts.start(0.0, False, 50.0)
    for n in range(20):
        timeouts.finish(timeouts.start(10.0 * n, False, 50.0), 10.0 * n + 40.0, True)
    timeouts.moved_read_hit_rate = 0.0  # all reads that move miss
    assert not timeouts.try_abandon(hung, 500.0, 100.0, 50.0, 400.0)  # no fetch would be in time
    assert not timeouts.try_abandon(hung, 500.0, 0.0, 50.0, 1.0)  # nor any other attempt, with no time left
    assert timeouts.try_abandon(hung, 500.0, 100.0, 50.0, 10.0)


def test_only_a_surely_hung_attempt_is_abandoned_while_the_origin_is_short() -> None:
    def start_hung_attempt(timeouts: AdaptiveTimeout, older: int) -> AttemptWait:
        """Start an attempt; `older` of the remembered responses are to attempts that were sent before it."""
        earlier = [timeouts.start(0.0, False, 50.0) for _ in range(older)]
        hung = timeouts.start(1.0, False, 50.0)
        for n in range(3 * REMEMBERED_RESPONSES):
            timeouts.finish(timeouts.start(2.0 + n, False, 50.0), 42.0 + n, True)
        for other in earlier:
            timeouts.finish(other, 150.0, True)
        timeouts.moved_read_hit_rate = 1.0
        return hung

    def is_abandoned(older: int, waited_ms: float, is_origin_short: bool) -> bool:
        timeouts = AdaptiveTimeout()
        hung = start_hung_attempt(timeouts, older)
        now = 1.0 + waited_ms
        return timeouts.may_abandon(hung, now, 500.0, is_origin_short) and timeouts.try_abandon(
            hung, now, 500.0, 50.0, 50.0
        )

    assert is_abandoned(older=0, waited_ms=900.0, is_origin_short=True)
    assert is_abandoned(older=0, waited_ms=250.0, is_origin_short=False)
    assert not is_abandoned(older=0, waited_ms=250.0, is_origin_short=True)  # not long enough
    assert is_abandoned(older=1, waited_ms=900.0, is_origin_short=False)
    # an older one was answered just now, so attempts are queued
    assert not is_abandoned(older=1, waited_ms=900.0, is_origin_short=True)


def test_an_expensive_request_is_expensive_at_another_node_too() -> None:
    timeouts = AdaptiveTimeout()
    timeouts.moved_read_hit_rate = 1.0
    for n in range(200):
        timeouts.finish(timeouts.start(20.0 * n, False, 40.0, 1.0), 20.0 * n + 40.0, True)
    heavy = timeouts.start(4_000.0, False, 40.0, 6.0)
    for n in range(REMEMBERED_RESPONSES):  # others overtake it
        timeouts.finish(timeouts.start(4_001.0 + n, False, 40.0, 1.0), 4_041.0 + n, True)
    now = 4_000.0 + 6.0 * heavy.expected_ms
    assert timeouts.may_abandon(heavy, now, 60.0)
    assert timeouts.retry_probability(now, 60.0, 40.0, 40.0) > 0.9  # an ordinary request would be in time
    assert not timeouts.try_abandon(heavy, now, 60.0, 40.0, 40.0)  # this one would be late at every node


def test_cache_latency_includes_the_fetch_where_nodes_fetch_for_themselves() -> None:
    timeouts = AdaptiveTimeout()
    assert timeouts.retry_probability(0.0, 500.0, 50.0, None) == timeouts.new_attempt_probability(
        False, 50.0, 0.0, 500.0
    )


def test_no_read_is_abandoned_without_another_node() -> None:
    """With one cache node, an attempt that later ones overtake is kept up to its deadline."""
    router = Router(
        settings(classes=(api.RequestClass(objective_ms=800, deadline_ms=1000, worth=2),), tenants=()), 1
    )
    router.handle(0.0, api.EndpointUpdate(UpdateScope.CACHED, tuple(fleet(1, origin=True))))
    cancelled = False
    responses: list[tuple[float, int, int]] = []
    now = 0.0
    for ref in range(1, 200):
        now += 5.0
        while responses and responses[0][0] <= now:
            at, other_ref, endpoint_id = responses.pop(0)
            router.handle(at, api.AttemptEnded(other_ref, 0, endpoint_id, Result.OK, True, 1, 20.0))
        responses.extend(
            (now + 20.0, ref, action.endpoint_id)
            for action in router.handle(now, api.RequestArrived(ref, 0, 1000.0, key=5))
            if isinstance(action, api.Send) and ref != 20
        )
        for at in (now, now + 2.0):
            actions = router.handle(at, api.TimerFired(CHECK_TIMER | 20))
            cancelled = cancelled or any(isinstance(action, api.Cancel) for action in actions)
    assert not cancelled


def test_connect_timeout_is_a_multiple_of_the_usual_and_at_most_the_platforms_limit() -> None:
    connect_timeout = ConnectTimeout(250.0)
    assert connect_timeout.timeout_ms() == 250.0  # before any connect succeeded
    for _ in range(5):
        connect_timeout.record_connected(1.0)
    assert connect_timeout.timeout_ms() == MIN_CONNECT_TIMEOUT_MS
    connect_timeout.record_connected(20.0)
    assert connect_timeout.timeout_ms() == 160.0
    connect_timeout.record_connected(100.0)
    assert connect_timeout.timeout_ms() == 250.0
    fast_connect_timeout = ConnectTimeout(250.0)
    fast_connect_timeout.record_connected(1.0)
    for longer_ms in (120.0, 240.0, 250.0):  # otherwise each connect to a slower endpoint would be abandoned
        fast_connect_timeout.record_timeout()
        assert fast_connect_timeout.timeout_ms() == longer_ms
    for _ in range(300):
        connect_timeout.record_connected(1.0)
    assert connect_timeout.timeout_ms() == MIN_CONNECT_TIMEOUT_MS  # a slow one is forgotten
