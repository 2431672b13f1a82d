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

from rosepick.decisions import api
from rosepick.decisions.api import Result, Scope
from rosepick.decisions.decide import CHECK, Router
from rosepick.waiting.account import MOST, Account
from rosepick.waiting.dials import LEAST as DIAL_LEAST
from rosepick.waiting.dials import Dials
from rosepick.waiting.times import COUNT, Times, bucket
from rosepick.waiting.waiting import LATEST, LEAST, PASSED, Wait, Waiting

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


def measured(draw: Draw, stop: float, count: int = 3_000, every: float = 2.0) -> Times:
    """What is known after so many attempts that were waited for up to `stop`."""
    times, rng = Times(), random.Random(1)
    for n in range(count):
        ratio = draw(rng)
        if ratio <= stop:
            times.answered(ratio, n * every)
        else:
            times.given_up(stop, n * every)
    return times


@pytest.mark.parametrize("hung", [0.0, 0.05, 0.2])
@pytest.mark.parametrize("stop", [3.0, 8.0])
def test_the_estimate_meets_known_distributions_also_where_most_of_the_tail_is_censored(
    hung: float, stop: float
) -> None:
    draw = mixture(hung)
    times = measured(draw, stop)
    for ratio in (0.3, 0.6, 1.0, 1.5, 2.5):
        assert times.waits(ratio, 1e9) == pytest.approx(share_after(draw, ratio), abs=0.035)


def test_what_was_given_up_counts() -> None:
    """Leaving it out would make all answers quick."""
    with_them = measured(mixture(0.2), 1.5)
    without = Times()
    rng = random.Random(1)
    for n in range(3_000):
        ratio = mixture(0.2)(rng)
        if ratio <= 1.5:
            without.answered(ratio, 2.0 * n)
    assert with_them.waits(1.4, 1e9) - without.waits(1.4, 1e9) > 0.2


def test_a_change_shows_within_seconds() -> None:
    times = measured(mixture(0.0), 8.0, count=480, every=12.5)
    before = times.chance(0.0, 2.0, 6_000.0)
    rng = random.Random(2)
    for n in range(400):  # 80 a second, and all take five times as long
        ratio = 5.0 * mixture(0.0)(rng)
        times.answered(ratio, 6_000.0 + 12.5 * n)
    assert before > 0.9
    assert times.chance(0.0, 2.0, 11_000.0) < 0.6


@given(
    st.lists(st.tuples(st.floats(0, 1e6), st.booleans(), st.floats(0, 1e5)), max_size=60),
    st.floats(0, 100),
    st.floats(0, 100),
    st.floats(0, 100),
)
def test_chances_are_chances(seen: list[tuple[float, bool, float]], a: float, b: float, c: float) -> None:
    times, now = Times(), 0.0
    for ratio, answered, later in seen:
        now += later
        (times.answered if answered else times.given_up)(ratio, now)
    low, middle, high = sorted((a, b, c))
    assert 0.0 <= times.chance(low, middle, now) <= times.chance(low, high, now) < 1.0
    assert 0.0 < times.waits(high, now) <= times.waits(low, now) <= 1.0
    assert 0 <= bucket(a) < COUNT


def test_it_costs_the_same_however_much_was_seen() -> None:
    times = measured(mixture(0.1), 3.0, count=20_000, every=40_000.0)  # the weights were rescaled many times
    assert times.waits(0.01, 1e12) == pytest.approx(1.0, abs=0.05)


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
    assert mean(times.best_stop(cost, 1e9)) <= 1.03 * least


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
    waiting, rng = Waiting(), random.Random(3)
    events: list[tuple[float, int, str, list[Wait], float]] = []
    count = good = restarts = 0
    number = 0

    def push(when: float, what: str, waits: list[Wait], born: float) -> None:
        nonlocal number
        number += 1
        heapq.heappush(events, (when, number, what, waits, born))

    def send(now: float, waits: list[Wait], born: float) -> None:
        wait = waiting.begin(now, False, expected)
        waits.append(wait)
        takes = expected * draw(rng, now)
        if takes < math.inf:
            push(now + takes, "answer", [*waits], born)
        push(waiting.next_look(wait, now), "look", waits, born)
        push(born + left, "over", waits, born)

    push(0.0, "come", [], 0.0)
    over: set[Wait] = set()
    while events:
        now, _, what, waits, born = heapq.heappop(events)
        if what == "come":
            if now < 1_000.0 * seconds:
                push(now + rng.expovariate(rate / 1_000.0), "come", [], 0.0)
                count += 1
                waiting.account.request()
                send(now, [], now)
            continue
        wait = waits[-1]
        if wait in over:
            continue
        if what == "answer" and not wait.stopped:
            over.add(wait)
            waiting.end(wait, now, True)
            good += now <= born + left
            waiting.won(waits)
        elif what == "over":
            over.add(wait)
            waiting.end(wait, now, False)
        elif what == "look" and stops and len(waits) < 5:
            if waiting.ripe(wait, now, born + left - now) and waiting.stop(
                wait, now, born + left - now, expected, 1e9
            ):
                restarts += 1
                over.add(wait)
                waiting.end(wait, now, False)
                send(now, waits, born)
            else:
                push(waiting.next_look(wait, now), "look", waits, born)
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
    monkeypatch.setattr("rosepick.waiting.waiting.MOVED_HITS", 1.0)
    draw = mixture(hung)
    share, _, _ = play(lambda rng, now: draw(rng))
    without, _, _ = play(lambda rng, now: draw(rng), stops=False)
    assert without == pytest.approx(1.0 - hung, abs=0.03)
    assert share >= best_fixed(draw) - 0.02


def test_where_nothing_hangs_there_are_next_to_no_restarts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rosepick.waiting.waiting.MOVED_HITS", 1.0)
    share, count, restarts = play(lambda rng, now: mixture(0.0)(rng))
    assert restarts < 0.02 * count
    assert share > 0.99


def test_a_fleet_that_is_slow_at_once_is_not_answered_with_restarts(monkeypatch: pytest.MonkeyPatch) -> None:
    """By five times, from the tenth second on, while the expected time is believed as before."""
    monkeypatch.setattr("rosepick.waiting.waiting.MOVED_HITS", 1.0)

    def slow(rng: random.Random, now: float) -> float:
        return mixture(0.0)(rng) * (5.0 if now > 10_000.0 else 1.0)

    without, _, _ = play(slow, stops=False)
    share, count, restarts = play(slow)
    assert restarts <= 0.12 * count
    assert share >= without - 0.02


def test_restarts_that_are_never_won_end() -> None:
    account = Account()
    made = 0
    for _ in range(1_000):
        account.request()
        if account.may():
            account.took()
            made += 1
    assert made <= MOST + 0.1 * 1_000 + 1
    for _ in range(100):
        account.won()
    assert account.left == MOST


def test_nothing_is_stopped_before_others_that_came_later_were_answered() -> None:
    waiting = Waiting()
    before = [waiting.begin(0.0, False, 50.0) for _ in range(5)]
    hung = waiting.begin(1.0, False, 50.0)
    later = [waiting.begin(2.0, False, 50.0) for _ in range(PASSED)]
    for wait in before:
        waiting.end(wait, 60.0, True)
    assert waiting.passed(hung) == 0  # they came before it
    assert not waiting.ripe(hung, 900.0, 500.0)
    for wait in later:
        waiting.end(wait, 70.0, True)
    assert waiting.passed(hung) == PASSED
    assert waiting.hangs(hung, slow=False)
    assert not waiting.hangs(hung, slow=True)  # then it may be load, and the origin's gate must hear of it
    waiting.moved_hits = 1.0
    assert not waiting.ripe(hung, 1.0 + LEAST / 2, 500.0)
    assert waiting.ripe(hung, 900.0, 500.0)
    assert not waiting.stop(hung, 70.0, 500.0, 50.0, 50.0)  # its time has not come
    assert waiting.stop(hung, 900.0, 500.0, 50.0, 50.0)
    assert hung.stopped and waiting.account.left == MOST - 1.0


def test_another_attempt_must_be_worth_its_price() -> None:
    waiting = Waiting()
    hung = waiting.begin(0.0, False, 50.0)
    for n in range(20):
        waiting.end(waiting.begin(10.0 * n, False, 50.0), 10.0 * n + 40.0, True)
    waiting.moved_hits = 0.0  # all that moves misses
    assert not waiting.stop(hung, 500.0, 100.0, 50.0, 400.0)  # no fetch would be in time
    assert not waiting.stop(hung, 500.0, 0.0, 50.0, 1.0)  # nor anything else, with no time left
    assert waiting.stop(hung, 500.0, 100.0, 50.0, 10.0)


def test_while_the_origin_is_short_only_what_looks_hung_by_all_signs_is_given_up() -> None:
    def hung(waiting: Waiting, older: int) -> Wait:
        """With so many of the remembered answers to ones that were sent before it."""
        before = [waiting.begin(0.0, False, 50.0) for _ in range(older)]
        wait = waiting.begin(1.0, False, 50.0)
        for n in range(3 * LATEST):
            waiting.end(waiting.begin(2.0 + n, False, 50.0), 42.0 + n, True)
        for other in before:
            waiting.end(other, 150.0, True)
        waiting.moved_hits = 1.0
        return wait

    def stops(older: int, waited: float, short: bool) -> bool:
        waiting = Waiting()
        wait = hung(waiting, older)
        now = 1.0 + waited
        return waiting.ripe(wait, now, 500.0, short) and waiting.stop(wait, now, 500.0, 50.0, 50.0)

    assert stops(older=0, waited=900.0, short=True)
    assert stops(older=0, waited=250.0, short=False)
    assert not stops(older=0, waited=250.0, short=True)  # not long enough
    assert stops(older=1, waited=900.0, short=False)
    assert not stops(older=1, waited=900.0, short=True)  # an older one was answered just now: a queue


def test_a_heavy_request_is_heavy_elsewhere_too() -> None:
    waiting = Waiting()
    waiting.moved_hits = 1.0
    for n in range(200):
        waiting.end(waiting.begin(20.0 * n, False, 40.0, 1.0), 20.0 * n + 40.0, True)
    heavy = waiting.begin(4_000.0, False, 40.0, 6.0)
    for n in range(LATEST):  # others pass it
        waiting.end(waiting.begin(4_001.0 + n, False, 40.0, 1.0), 4_041.0 + n, True)
    now = 4_000.0 + 6.0 * heavy.expected
    assert waiting.ripe(heavy, now, 60.0)
    assert waiting.elsewhere(now, 60.0, 40.0, 40.0) > 0.9  # an ordinary one would be in time ...
    assert not waiting.stop(heavy, now, 60.0, 40.0, 40.0)  # ... and this one nowhere


def test_where_nodes_fetch_for_themselves_their_answers_tell_of_it() -> None:
    waiting = Waiting()
    assert waiting.elsewhere(0.0, 500.0, 50.0, None) == waiting.fresh(False, 50.0, 0.0, 500.0)


def test_no_read_is_given_up_with_nowhere_to_go() -> None:
    """One cache node, with others passing: it is waited for up to the end."""
    router = Router(settings(classes=(api.RequestClass(aim=800, deadline=1000, worth=2),), tenants=()), 1)
    router.handle(0.0, api.Members(Scope.CACHED, tuple(fleet(1, origin=True))))
    cancelled, due, now = False, list[tuple[float, int, int]](), 0.0
    for ref in range(1, 200):
        now += 5.0
        while due and due[0][0] <= now:
            at, other, server = due.pop(0)
            router.handle(at, api.Outcome(other, 0, server, Result.OK, True, 1, 20.0))
        for action in router.handle(now, api.Request(ref, 0, 1000.0, key=5)):
            if isinstance(action, api.Send) and ref != 20:
                due.append((now + 20.0, ref, action.server))
        for at in (now, now + 2.0):
            actions = router.handle(at, api.Timer(CHECK | 20))
            cancelled = cancelled or any(isinstance(action, api.Cancel) for action in actions)
    assert not cancelled


# -------------------------------------------------------------------------------------------- connections


def test_a_connection_has_some_times_what_is_usual_and_never_more_than_the_platform_says() -> None:
    dials = Dials(250.0)
    assert dials.patience() == 250.0  # before any came up
    for _ in range(5):
        dials.up(1.0)
    assert dials.patience() == DIAL_LEAST
    dials.up(20.0)
    assert dials.patience() == 160.0
    dials.up(100.0)
    assert dials.patience() == 250.0
    fast = Dials(250.0)
    fast.up(1.0)
    for longer in (120.0, 240.0, 250.0):  # a hop that became slower would else be cut each time
        fast.cut()
        assert fast.patience() == longer
    for _ in range(300):
        dials.up(1.0)
    assert dials.patience() == DIAL_LEAST  # a slow one is forgotten
