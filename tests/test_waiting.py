"""When to stop waiting: what is measured, against known distributions; when to stop, against the best by
search.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosepick.attempt_timeouts.adaptive_timeout import (
    MIN_OVERTAKING_RESPONSES,
    MIN_TIMEOUT_MS,
    REMEMBERED_RESPONSES,
    AdaptiveTimeout,
    AttemptWait,
)
from rosepick.attempt_timeouts.connect_timeout import MIN_CONNECT_TIMEOUT_MS as DIAL_LEAST
from rosepick.attempt_timeouts.connect_timeout import ConnectTimeout
from rosepick.attempt_timeouts.latency_histogram import BUCKET_COUNT, LatencyHistogram, bucket_index
from rosepick.attempt_timeouts.timeout_budget import MAX_TOKENS, TimeoutBudget
from rosepick.decisions import api
from rosepick.decisions.api import Result, UpdateScope
from rosepick.decisions.decide import CHECK_TIMER, Router

from .driver import fleet, settings

Draw = Callable[[random.Random], float]  # a multiple of what is expected; inf: for ever


def mixture(hung: float, spread: float = 0.6) -> Draw:
    """Most answers about as expected, and such a part that never comes."""

    def draw(rng: random.Random) -> float:
        return math.inf if rng.random() < hung else rng.lognormvariate(-(spread**2) / 2, spread)

    return draw


def share_after(draw: Draw, ratio: float) -> float:
    """The true part that has no answer after such a multiple."""
    rng = random.Random(5)
    return sum(draw(rng) > ratio for _ in range(20_000)) / 20_000


def measured(draw: Draw, stop: float, count: int = 3_000, every: float = 2.0) -> LatencyHistogram:
    """What is known after so many attempts that were waited for up to `stop`."""
    times, rng = LatencyHistogram(), random.Random(1)
    for n in range(count):
        ratio = draw(rng)
        if ratio <= stop:
            times.record_response(ratio, n * every)
        else:
            times.record_abandoned(stop, n * every)
    return times


@pytest.mark.parametrize("hung", [0.0, 0.05, 0.2])
@pytest.mark.parametrize("stop", [3.0, 8.0])
def test_the_estimate_meets_known_distributions_also_where_most_of_the_tail_is_censored(
    hung: float, stop: float
) -> None:
    draw = mixture(hung)
    times = measured(draw, stop)
    for ratio in (0.3, 0.6, 1.0, 1.5, 2.5):
        assert times.survival_at(ratio, 1e9) == pytest.approx(share_after(draw, ratio), abs=0.035)


def test_what_was_given_up_counts() -> None:
    """Leaving it out would make all answers quick."""
    with_them = measured(mixture(0.2), 1.5)
    without = LatencyHistogram()
    rng = random.Random(1)
    for n in range(3_000):
        ratio = mixture(0.2)(rng)
        if ratio <= 1.5:
            without.record_response(ratio, 2.0 * n)
    assert with_them.survival_at(1.4, 1e9) - without.survival_at(1.4, 1e9) > 0.2


def test_a_change_shows_within_seconds() -> None:
    times = measured(mixture(0.0), 8.0, count=480, every=12.5)
    before = times.response_probability(0.0, 2.0, 6_000.0)
    rng = random.Random(2)
    for n in range(400):  # 80 a second, and all take five times as long
        ratio = 5.0 * mixture(0.0)(rng)
        times.record_response(ratio, 6_000.0 + 12.5 * n)
    assert before > 0.9
    assert times.response_probability(0.0, 2.0, 11_000.0) < 0.6


@given(
    st.lists(st.tuples(st.floats(0, 1e6), st.booleans(), st.floats(0, 1e5)), max_size=60),
    st.floats(0, 100),
    st.floats(0, 100),
    st.floats(0, 100),
)
def test_chances_are_chances(seen: list[tuple[float, bool, float]], a: float, b: float, c: float) -> None:
    times, now = LatencyHistogram(), 0.0
    for ratio, answered, later in seen:
        now += later
        (times.record_response if answered else times.record_abandoned)(ratio, now)
    low, middle, high = sorted((a, b, c))
    assert (
        0.0
        <= times.response_probability(low, middle, now)
        <= times.response_probability(low, high, now)
        < 1.0
    )
    assert 0.0 < times.survival_at(high, now) <= times.survival_at(low, now) <= 1.0
    assert 0 <= bucket_index(a) < BUCKET_COUNT


def test_it_costs_the_same_however_much_was_seen() -> None:
    times = measured(mixture(0.1), 3.0, count=20_000, every=40_000.0)  # the weights were rescaled many times
    assert times.survival_at(0.01, 1e12) == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize(("hung", "cost"), [(0.0, 0.5), (0.05, 0.5), (0.2, 0.5), (0.2, 2.0)])
def test_the_best_stop_is_the_one_that_a_search_finds(hung: float, cost: float) -> None:
    draw = mixture(hung)
    times = measured(draw, 30.0, every=0.5)
    rng = random.Random(6)
    drawn = [draw(rng) for _ in range(20_000)]

    def mean(stop: float) -> float:
        """Of the time until an answer, with all attempts cut there."""
        good = [ratio for ratio in drawn if ratio <= stop]
        spent = sum(good) + (len(drawn) - len(good)) * stop
        return (spent + cost * len(drawn)) / len(good)

    least = min(mean(0.1 * n) for n in range(3, 200))
    assert mean(times.optimal_timeout(cost, 1e9)) <= 1.03 * least


# ------------------------------------------------------------------------------------------ when to stop


def play(
    draw: Callable[[random.Random, float], float],
    seconds: float = 30.0,
    rate: float = 80.0,
    expected: float = 70.0,
    left: float = 600.0,
    stops: bool = True,
) -> tuple[float, int, int]:
    """Requests of one router, each with up to five attempts, one at a time; the share that was answered in
    time, how many there were and how many restarts. `draw` gives a multiple of what is expected, at a
    time.
    """
    waiting, rng = AdaptiveTimeout(), random.Random(3)
    events: list[tuple[float, int, str, list[AttemptWait], float]] = []
    count = good = restarts = 0
    number = 0

    def push(when: float, what: str, waits: list[AttemptWait], born: float) -> None:
        nonlocal number
        number += 1
        heapq.heappush(events, (when, number, what, waits, born))

    def send(now: float, waits: list[AttemptWait], born: float) -> None:
        wait = waiting.start(now, False, expected)
        waits.append(wait)
        takes = expected * draw(rng, now)
        if takes < math.inf:
            push(now + takes, "answer", [*waits], born)
        push(waiting.next_check_at(wait, now), "look", waits, born)
        push(born + left, "over", waits, born)

    push(0.0, "come", [], 0.0)
    over: set[AttemptWait] = set()
    while events:
        now, _, what, waits, born = heapq.heappop(events)
        if what == "come":
            if now < 1_000.0 * seconds:
                push(now + rng.expovariate(rate / 1_000.0), "come", [], 0.0)
                count += 1
                waiting.budget.record_request()
                send(now, [], now)
            continue
        wait = waits[-1]
        if wait in over:
            continue
        if what == "answer" and not wait.is_abandoned:
            over.add(wait)
            waiting.finish(wait, now, True)
            good += now <= born + left
            waiting.record_success(waits)
        elif what == "over":
            over.add(wait)
            waiting.finish(wait, now, False)
        elif what == "look" and stops and len(waits) < 5:
            if waiting.may_abandon(wait, now, born + left - now) and waiting.try_abandon(
                wait, now, born + left - now, expected, 1e9
            ):
                restarts += 1
                over.add(wait)
                waiting.finish(wait, now, False)
                send(now, waits, born)
            else:
                push(waiting.next_check_at(wait, now), "look", waits, born)
    return good / count, count, restarts


def best_fixed(draw: Draw, left: float = 600.0, expected: float = 70.0) -> float:
    """The share that is answered in time with the best fixed time-out, found by search."""
    best = 0.0
    for stop in (100.0, 130.0, 160.0, 200.0, 250.0, 300.0, 400.0, 600.0):
        rng, good = random.Random(4), 0
        for _ in range(4_000):
            at = 0.0
            for _ in range(5):
                takes = expected * draw(rng)
                if takes <= min(stop, left - at):
                    good += 1
                    break
                at += stop
                if at >= left:
                    break
        best = max(best, good / 4_000)
    return best


@pytest.mark.parametrize("hung", [0.05, 0.2])
def test_it_comes_near_the_best_stop_that_a_search_finds(
    hung: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("rosepick.attempt_timeouts.adaptive_timeout.MOVED_READ_HIT_RATE", 1.0)
    draw = mixture(hung)
    share, _, _ = play(lambda rng, now: draw(rng))
    without, _, _ = play(lambda rng, now: draw(rng), stops=False)
    assert without == pytest.approx(1.0 - hung, abs=0.03)
    assert share >= best_fixed(draw) - 0.02


def test_where_nothing_hangs_there_are_next_to_no_restarts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rosepick.attempt_timeouts.adaptive_timeout.MOVED_READ_HIT_RATE", 1.0)
    share, count, restarts = play(lambda rng, now: mixture(0.0)(rng))
    assert restarts < 0.02 * count
    assert share > 0.99


def test_a_fleet_that_is_slow_at_once_is_not_answered_with_restarts(monkeypatch: pytest.MonkeyPatch) -> None:
    """By five times, from the tenth second on, while the expected time is believed as before."""
    monkeypatch.setattr("rosepick.attempt_timeouts.adaptive_timeout.MOVED_READ_HIT_RATE", 1.0)

    def slow(rng: random.Random, now: float) -> float:
        return mixture(0.0)(rng) * (5.0 if now > 10_000.0 else 1.0)

    without, _, _ = play(slow, stops=False)
    share, count, restarts = play(slow)
    assert restarts <= 0.12 * count
    assert share >= without - 0.02


def test_restarts_that_are_never_won_end() -> None:
    account = TimeoutBudget()
    made = 0
    for _ in range(1_000):
        account.record_request()
        if account.has_token():
            account.spend()
            made += 1
    assert made <= MAX_TOKENS + 0.1 * 1_000 + 1
    for _ in range(100):
        account.record_success()
    assert account.tokens == MAX_TOKENS


def test_nothing_is_stopped_before_others_that_came_later_were_answered() -> None:
    waiting = AdaptiveTimeout()
    before = [waiting.start(0.0, False, 50.0) for _ in range(5)]
    hung = waiting.start(1.0, False, 50.0)
    later = [waiting.start(2.0, False, 50.0) for _ in range(MIN_OVERTAKING_RESPONSES)]
    for wait in before:
        waiting.finish(wait, 60.0, True)
    assert waiting.count_overtaking(hung) == 0  # they came before it
    assert not waiting.may_abandon(hung, 900.0, 500.0)
    for wait in later:
        waiting.finish(wait, 70.0, True)
    assert waiting.count_overtaking(hung) == MIN_OVERTAKING_RESPONSES
    assert waiting.is_hung(hung, is_slow=False)
    assert not waiting.is_hung(
        hung, is_slow=True
    )  # then it may be load, and the origin's gate must hear of it
    waiting.moved_read_hit_rate = 1.0
    assert not waiting.may_abandon(hung, 1.0 + MIN_TIMEOUT_MS / 2, 500.0)
    assert waiting.may_abandon(hung, 900.0, 500.0)
    assert not waiting.try_abandon(hung, 70.0, 500.0, 50.0, 50.0)  # its time has not come
    assert waiting.try_abandon(hung, 900.0, 500.0, 50.0, 50.0)
    assert hung.is_abandoned and waiting.budget.tokens == MAX_TOKENS - 1.0


def test_another_attempt_must_be_worth_its_price() -> None:
    waiting = AdaptiveTimeout()
    hung = waiting.start(0.0, False, 50.0)
    for n in range(20):
        waiting.finish(waiting.start(10.0 * n, False, 50.0), 10.0 * n + 40.0, True)
    waiting.moved_read_hit_rate = 0.0  # all that moves misses
    assert not waiting.try_abandon(hung, 500.0, 100.0, 50.0, 400.0)  # no fetch would be in time
    assert not waiting.try_abandon(hung, 500.0, 0.0, 50.0, 1.0)  # nor anything else, with no time left
    assert waiting.try_abandon(hung, 500.0, 100.0, 50.0, 10.0)


def test_while_the_origin_is_short_only_what_looks_hung_by_all_signs_is_given_up() -> None:
    def hung(waiting: AdaptiveTimeout, older: int) -> AttemptWait:
        """With so many of the remembered answers to ones that were sent before it."""
        before = [waiting.start(0.0, False, 50.0) for _ in range(older)]
        wait = waiting.start(1.0, False, 50.0)
        for n in range(3 * REMEMBERED_RESPONSES):
            waiting.finish(waiting.start(2.0 + n, False, 50.0), 42.0 + n, True)
        for other in before:
            waiting.finish(other, 150.0, True)
        waiting.moved_read_hit_rate = 1.0
        return wait

    def stops(older: int, waited: float, short: bool) -> bool:
        waiting = AdaptiveTimeout()
        wait = hung(waiting, older)
        now = 1.0 + waited
        return waiting.may_abandon(wait, now, 500.0, short) and waiting.try_abandon(
            wait, now, 500.0, 50.0, 50.0
        )

    assert stops(older=0, waited=900.0, short=True)
    assert stops(older=0, waited=250.0, short=False)
    assert not stops(older=0, waited=250.0, short=True)  # not long enough
    assert stops(older=1, waited=900.0, short=False)
    assert not stops(older=1, waited=900.0, short=True)  # an older one was answered just now: a queue


def test_a_heavy_request_is_heavy_elsewhere_too() -> None:
    waiting = AdaptiveTimeout()
    waiting.moved_read_hit_rate = 1.0
    for n in range(200):
        waiting.finish(waiting.start(20.0 * n, False, 40.0, 1.0), 20.0 * n + 40.0, True)
    heavy = waiting.start(4_000.0, False, 40.0, 6.0)
    for n in range(REMEMBERED_RESPONSES):  # others pass it
        waiting.finish(waiting.start(4_001.0 + n, False, 40.0, 1.0), 4_041.0 + n, True)
    now = 4_000.0 + 6.0 * heavy.expected_ms
    assert waiting.may_abandon(heavy, now, 60.0)
    assert waiting.retry_probability(now, 60.0, 40.0, 40.0) > 0.9  # an ordinary one would be in time ...
    assert not waiting.try_abandon(heavy, now, 60.0, 40.0, 40.0)  # ... and this one nowhere


def test_where_nodes_fetch_for_themselves_their_answers_tell_of_it() -> None:
    waiting = AdaptiveTimeout()
    assert waiting.retry_probability(0.0, 500.0, 50.0, None) == waiting.new_attempt_probability(
        False, 50.0, 0.0, 500.0
    )


def test_no_read_is_given_up_with_nowhere_to_go() -> None:
    """One cache node, with others passing: it is waited for up to the end."""
    router = Router(
        settings(classes=(api.RequestClass(objective_ms=800, deadline_ms=1000, worth=2),), tenants=()), 1
    )
    router.handle(0.0, api.EndpointUpdate(UpdateScope.CACHED, tuple(fleet(1, origin=True))))
    cancelled, due, now = False, list[tuple[float, int, int]](), 0.0
    for ref in range(1, 200):
        now += 5.0
        while due and due[0][0] <= now:
            at, other, server = due.pop(0)
            router.handle(at, api.AttemptEnded(other, 0, server, Result.OK, True, 1, 20.0))
        for action in router.handle(now, api.RequestArrived(ref, 0, 1000.0, key=5)):
            if isinstance(action, api.Send) and ref != 20:
                due.append((now + 20.0, ref, action.endpoint_id))
        for at in (now, now + 2.0):
            actions = router.handle(at, api.TimerFired(CHECK_TIMER | 20))
            cancelled = cancelled or any(isinstance(action, api.Cancel) for action in actions)
    assert not cancelled


# -------------------------------------------------------------------------------------------- connections


def test_a_connection_has_some_times_what_is_usual_and_never_more_than_the_platform_says() -> None:
    dials = ConnectTimeout(250.0)
    assert dials.timeout_ms() == 250.0  # before any came up
    for _ in range(5):
        dials.record_connected(1.0)
    assert dials.timeout_ms() == DIAL_LEAST
    dials.record_connected(20.0)
    assert dials.timeout_ms() == 160.0
    dials.record_connected(100.0)
    assert dials.timeout_ms() == 250.0
    fast = ConnectTimeout(250.0)
    fast.record_connected(1.0)
    for longer in (120.0, 240.0, 250.0):  # a hop that became slower would else be cut each time
        fast.record_timeout()
        assert fast.timeout_ms() == longer
    for _ in range(300):
        dials.record_connected(1.0)
    assert dials.timeout_ms() == DIAL_LEAST  # a slow one is forgotten
