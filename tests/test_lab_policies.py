"""Tests of the baseline policies: rules under random events, choices, and repeatable decisions."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from hashlib import blake2b
from math import ceil, inf
from pathlib import Path

import pytest

from rosepick.decisions import api
from rosepick.decisions.api import Effect, Group, Mode, Result, UpdateScope
from rosepick.decisions.decide import Router
from rosepick.lab.policies import POLICIES, BaselinePolicy, Oracle, create_decider

from .driver import ORIGIN_KIND, RandomEventDriver, fleet, settings

DEFAULT_SETTINGS = settings()
LIMITS_WITHOUT_CANCEL = api.RouterLimits(3, max_retry_after_ms=500)
SETUPS: dict[str, tuple[api.RouterSettings, list[api.Endpoint], int]] = {
    "aside": (DEFAULT_SETTINGS, fleet(), 40),
    "through": (settings(mode=Mode.THROUGH, origin_kind=-1), fleet(origin=False), 40),
    "stop times": (settings(limits=LIMITS_WITHOUT_CANCEL), fleet(), 0),
    "one attempt": (settings(limits=api.RouterLimits(1)), fleet(), 40),
    "one endpoint": (settings(), fleet(count=1), 40),
    "nothing but the origin": (settings(), fleet(count=0), 40),
    "no origin listed": (settings(), fleet(origin=False), 40),
    "automatic list": (settings(subscribe=False), fleet(), 40),
}


class BaselineDriver(RandomEventDriver):
    """Checks a baseline policy under random events; attempts end at their stop times, as in the engine."""

    def __init__(self, name: str, setup: str, seed: int) -> None:
        super().__init__(*SETUPS[setup][:2], seed, SETUPS[setup][2])
        # baseline policies have one attempt in flight; the driver checks that by these limits
        self.settings = replace(self.settings, limits=replace(self.settings.limits, allow_hedging=False))
        self.policy = POLICIES[name](self.settings, seed)
        self.router = self.policy  # type: ignore[assignment]
        if isinstance(self.policy, Oracle):
            self.policy.ground_truth = FakeGroundTruth({})

    def check_cold(self, endpoint: int) -> None:
        """Check nothing: baseline policies ignore warm-up, so they exceed cold budgets."""

    def schedule_outcome(self, action: api.Send, attempt: int) -> None:
        super().schedule_outcome(action, attempt)
        if action.stop_at:
            self.schedule(
                action.stop_at, api.AttemptEnded(action.ref, attempt, action.endpoint_id, Result.TIMEOUT)
            )


class FakeGroundTruth:
    """A ground truth with given latencies by endpoint, and endpoints that hold every key."""

    def __init__(self, latencies: Mapping[int, float], held_by: Sequence[int] = (), cold: int = 0) -> None:
        self.latencies = latencies
        self.held_by = held_by
        self.cold = cold

    def expected_latency_ms(self, endpoint: int, key: int, now: float) -> float:
        return self.latencies.get(endpoint, float(endpoint * key % 7))

    def holds_key(self, endpoint: int, key: int) -> bool:
        return endpoint in self.held_by

    def accepts_cold_request(self, endpoint: int, now: float) -> bool:
        return endpoint != self.cold


@pytest.mark.parametrize("setup", SETUPS)
@pytest.mark.parametrize("name", POLICIES)
def test_rules_hold_for_random_events(name: str, setup: str) -> None:
    """Every request gets one final answer, which `run` checks, and leaves no state behind."""
    for seed in range(4):
        driver = BaselineDriver(name, setup, seed)
        driver.run(requests=200)
        assert not driver.policy.requests
        assert all(node.in_flight == 0 for node in driver.policy.membership.nodes.values())


def test_random_events_cause_every_kind_of_action() -> None:
    driver = BaselineDriver("random", "aside", 1)
    driver.run()
    kinds = {type(action) for _, action in driver.trace}
    assert kinds == {api.Send, api.Refuse, api.Fail, api.Cancel, api.SetTimer, api.Watch}
    stops = BaselineDriver("random", "stop times", 1)
    stops.run()
    assert any(isinstance(action, api.Send) and action.stop_at for _, action in stops.trace)


def digest() -> str:
    """Return a hash of the decisions of all policies for one sequence of events."""
    decisions = blake2b()
    for name in POLICIES:
        driver = BaselineDriver(name, "aside", 5)
        driver.run(requests=100)
        decisions.update(repr(driver.trace).encode())
    return decisions.hexdigest()


def test_decisions_do_not_depend_on_the_hash_seed() -> None:
    code = "from tests.test_lab_policies import digest; print(digest())"
    root = Path(__file__).parent.parent
    for seed in ("1", "2"):
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=root,
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        assert done.stdout.strip() == digest()


# ------------------------------------------------------------------------------------------ common behaviour

READ = api.RequestClass(objective_ms=600, deadline_ms=1200)
WINDOW: dict[str, object] = {"effect": Effect.DEDUP, "repeat_window_ms": 100.0}
ONE_CLASS = api.RouterSettings(
    classes=(READ,),
    mode=Mode.ASIDE,
    origin_kind=ORIGIN_KIND,
    limits=api.RouterLimits(5, allow_cancel=True, max_retry_after_ms=400),
)


def create_policy(
    name: str, nodes: int, given: api.RouterSettings = ONE_CLASS, origin: bool = True
) -> BaselinePolicy:
    """Return a policy whose list has the cache nodes 1 to `nodes` and, if `origin`, the origin 9000."""
    policy = POLICIES[name](given, 3)
    members = [api.Endpoint(number, zone=number % 2, cell=number % 3) for number in range(1, nodes + 1)]
    if origin:
        members.append(api.Endpoint(9000, kind=ORIGIN_KIND))
    policy.handle(0.0, api.EndpointUpdate(UpdateScope.FULL, tuple(members)))
    return policy


def sent_to(actions: Sequence[api.Action]) -> int | None:
    """Return the endpoint of the only Send among the actions, or None."""
    endpoints = [action.endpoint_id for action in actions if isinstance(action, api.Send)]
    assert len(endpoints) < 2
    return endpoints[0] if endpoints else None


def send_request(
    policy: BaselinePolicy, ref: int, key: int = 7, now: float = 1.0, write: bool = False
) -> int | None:
    return sent_to(policy.handle(now, api.RequestArrived(ref, 0, 1200.0, key, is_write=write)))


def end_attempt(
    policy: BaselinePolicy, result: Result, endpoint: int, attempt: int = 0, now: float = 5.0
) -> list[api.Action]:
    """End an attempt of request 1."""
    closed = result is Result.OK
    return policy.handle(now, api.AttemptEnded(1, attempt, endpoint, result, closed))


@pytest.mark.parametrize("name", POLICIES)
def test_writes_and_misses_at_the_origin_need_no_retry_budget(name: str) -> None:
    policy = create_policy(name, 4)
    assert send_request(policy, 2, write=True) == 9000
    first = send_request(policy, 1)
    assert first in range(1, 5)
    policy.retry_credit = 0.0
    assert sent_to(end_attempt(policy, Result.MISS, first or 0)) == 9000
    assert end_attempt(policy, Result.MISS, 9000, 1) == [api.Refuse(1, 400)], "no retry left in the budget"


@pytest.mark.parametrize("name", POLICIES)
def test_read_is_tried_at_every_node_before_a_repeat(name: str) -> None:
    policy = create_policy(name, 3)
    tried = [send_request(policy, 1)]
    for attempt in range(4):
        tried.append(sent_to(end_attempt(policy, Result.RESET, tried[-1] or 0, attempt)))
    assert sorted(tried[:3], key=str) == [1, 2, 3] and tried[3:] == [9000, 9000]
    assert end_attempt(policy, Result.RESET, 9000, 4) == [api.Refuse(1, 400)], "attempts are used up"
    assert not policy.requests


@pytest.mark.parametrize(
    ("changes", "result", "now", "expected"),
    [
        ({"effect": Effect.FRAGILE}, Result.RESET, 5.0, api.Fail),
        ({"effect": Effect.FRAGILE}, Result.BUSY, 5.0, api.Send),
        (WINDOW, Result.RESET, 80.0, api.Send),
        (WINDOW, Result.RESET, 101.0, api.Refuse),
        ({**WINDOW, "group": Group.ZONE}, Result.RESET, 101.0, api.Fail),
        ({}, Result.INVALID, 5.0, api.Fail),
        ({}, Result.TIMEOUT, 1201.0, api.Fail),
        ({}, Result.TIMEOUT, 1200.9999999, api.Fail),
        ({}, Result.ERROR, 1199.0, api.Send),
    ],
)
def test_action_after_an_outcome(
    changes: dict[str, object], result: Result, now: float, expected: type[api.Action]
) -> None:
    request_class = replace(READ, **changes)  # type: ignore[arg-type]
    policy = create_policy("random", 3, replace(ONE_CLASS, classes=(request_class,)))
    action = end_attempt(policy, result, send_request(policy, 1) or 0, now=now)[0]
    assert isinstance(action, expected)


def test_repeats_stay_in_their_group() -> None:
    request_class = replace(READ, effect=Effect.DEDUP, repeat_window_ms=1000.0, group=Group.CELL)
    for seed in range(20):
        policy = POLICIES["random"](replace(ONE_CLASS, classes=(request_class,)), seed)
        members = [api.Endpoint(number, cell=number % 3) for number in range(1, 7)]
        policy.handle(0.0, api.EndpointUpdate(UpdateScope.FULL, tuple(members)))
        first = send_request(policy, 1) or 0
        second = sent_to(end_attempt(policy, Result.RESET, first)) or 0
        assert second != first and second % 3 == first % 3


def test_attempt_is_cancelled_at_its_timeout() -> None:
    policy = create_policy("random", 3)
    timers = [
        a for a in policy.handle(1.0, api.RequestArrived(1, 0, 1200.0, 7)) if isinstance(a, api.SetTimer)
    ]
    check = min(timers, key=lambda timer: timer.due_at)
    assert check.due_at == 301.0, "half of the objective"
    first = policy.requests[1].attempts[0].node.endpoint_id
    assert policy.handle(300.0, api.TimerFired(check.token)) == []
    assert policy.handle(301.0, api.TimerFired(check.token)) == [api.Cancel(1, 0)]
    assert policy.handle(301.0, api.TimerFired(check.token)) == []
    assert sent_to(end_attempt(policy, Result.CANCELLED, first, now=301.0)) not in (None, first)
    policy.retry_credit = 0.0
    assert (
        policy.handle(700.0, api.TimerFired(check.token)) == []
    ), "an attempt is not cancelled without retry budget"
    send_request(policy, 2, write=True)
    assert policy.requests[2].attempt_timeout_at == inf, "there is no timeout if no untried node is left"


@pytest.mark.parametrize(
    ("attempts", "retries", "changes", "stop_at"),
    [
        (3, 1.0, {}, 301.0),
        (1, 1.0, {}, 0.0),
        (3, 0.0, {}, 0.0),
        (3, 1.0, {"streaming": True}, 0.0),
        (3, 1.0, {"effect": Effect.FRAGILE}, 0.0),
        (3, 1.0, WINDOW, 0.0),
        (3, 1.0, {**WINDOW, "repeat_window_ms": 400.0}, 301.0),
    ],
)
def test_stop_time_only_where_another_attempt_may_follow(
    attempts: int, retries: float, changes: dict[str, object], stop_at: float
) -> None:
    request_class = replace(READ, **changes)  # type: ignore[arg-type]
    policy = create_policy(
        "random", 3, replace(ONE_CLASS, classes=(request_class,), limits=api.RouterLimits(attempts))
    )
    policy.retry_credit = retries - 0.2  # the request itself adds 0.2
    actions = policy.handle(1.0, api.RequestArrived(1, 0, 1200.0, 7))
    assert [action.stop_at for action in actions if isinstance(action, api.Send)] == [stop_at]


def test_cancel_after_a_request_is_closed() -> None:
    policy = create_policy("random", 3)
    for ref, write in ((1, False), (2, True), (3, False)):
        send_request(policy, ref, write=write)
    assert policy.handle(2.0, api.ClientDisconnected(1)) == [api.Cancel(1, 0)]
    assert policy.handle(2.0, api.ClientDisconnected(2)) == [], "an attempt at the origin continues"
    assert policy.handle(2.0, api.FirstByte(3, 0, 1)) == [], "a streamed response is not cancelled"


def test_retry_budget_is_a_burst_and_a_fifth_of_requests() -> None:
    policy = create_policy("random", 3)
    for ref in range(160):
        endpoint = send_request(policy, ref) or 0
        if ref >= 100:
            policy.handle(1.0, api.AttemptEnded(ref, 0, endpoint, Result.BUSY))
    # a burst of 12, and a fifth of 59 requests
    assert sum(len(job.attempts) > 1 for job in policy.requests.values()) == 23


def test_which_members_are_origins() -> None:
    assert send_request(create_policy("random", 0), 1) is None, "a read goes to a cache node first"
    assert (
        send_request(create_policy("random", 0, replace(ONE_CLASS, mode=Mode.THROUGH)), 1) == 9000
    ), "an origin is an ordinary node in read-through mode"
    policy = create_policy("random", 0)
    policy.handle(1.0, api.EndpointUpdate(UpdateScope.DELTA, (api.Endpoint(9001, kind=ORIGIN_KIND),)))
    first = send_request(policy, 1, write=True) or 0
    assert sent_to(end_attempt(policy, Result.RESET, first)) == 18001 - first


def test_draining_and_removed_nodes_get_no_attempts() -> None:
    for state in (api.Status.DRAINING, api.Status.REMOVED):
        policy = create_policy("random", 2)
        policy.handle(1.0, api.EndpointUpdate(UpdateScope.DELTA, (api.Endpoint(1, state),)))
        assert {send_request(policy, ref) for ref in range(9)} == {2}
        policy.handle(1.0, api.EndpointUpdate(UpdateScope.DELTA, (api.Endpoint(2, state),)))
        policy.handle(1.0, api.EndpointUpdate(UpdateScope.DELTA, (api.Endpoint(2),)))
        assert policy.membership.nodes[2].in_flight == 9, "attempts in flight still count"
    policy.handle(2.0, api.EndpointUpdate(UpdateScope.CACHED, (api.Endpoint(5),)))
    assert {send_request(policy, ref) for ref in range(10, 19)} == {5}


def test_subscription_is_retried_with_growing_delays() -> None:
    policy = POLICIES["random"](replace(ONE_CLASS, subscribe=True), 1)
    assert policy.handle(0.0, api.EndpointUpdate(UpdateScope.CACHED))[0] == api.Watch(True)
    waits, now, again = [], 0.0, api.TimerFired(0)
    for _ in range(6):
        timer = policy.handle(now, api.EndpointUpdate(UpdateScope.FAILED))[0]
        assert isinstance(timer, api.SetTimer)
        waits.append(timer.due_at - now)
        now, again = timer.due_at, api.TimerFired(timer.token)
        assert policy.handle(now - 1.0, again) == []
        assert policy.handle(now, again)[0] == api.Watch(True)
    assert waits[0] < 1100.0 < 3000.0 <= waits[-1] <= 9000.0
    lost = now + 10_000.0
    assert policy.handle(lost, again)[0] == api.Watch(True), "there was no answer"
    policy.handle(lost, api.EndpointUpdate(UpdateScope.DELTA))
    assert policy.handle(lost + 20_000.0, again) == []
    policy.handle(lost + 20_000.0, api.EndpointUpdate(UpdateScope.FAILED))
    assert policy.handle(lost + 22_000.0, again)[0] == api.Watch(True)


# -------------------------------------------------------------------------------------------------- choices


def outstanding(policy: BaselinePolicy) -> list[int]:
    return [node.in_flight for node in policy.membership.caches]


def spreads_evenly(policy: BaselinePolicy) -> None:
    """Check round robin: each node gets the same number of requests."""
    assert set(Counter(send_request(policy, ref) for ref in range(60)).values()) == {6}


def chooses_least_loaded(policy: BaselinePolicy) -> None:
    for ref in range(200):
        lowest = min(outstanding(policy))
        endpoint = send_request(policy, ref)
        assert policy.membership.nodes[endpoint or 0].in_flight == lowest + 1
    assert max(outstanding(policy)) == 20


def chooses_better_of_two(policy: BaselinePolicy) -> None:
    """Check two choices: the most loaded node is never chosen, less loaded nodes more often."""
    for number, node in policy.membership.nodes.items():
        node.in_flight = number
    taken: Counter[int] = Counter()
    for ref in range(300):
        endpoint = send_request(policy, ref) or 0
        taken[endpoint] += 1
        policy.membership.nodes[endpoint].in_flight -= 1
    assert 10 not in taken and taken[1] > taken[5] > taken[9] > 0


def chooses_anywhere(policy: BaselinePolicy) -> None:
    """Check random choice: all nodes are chosen about equally often."""
    counts = Counter(send_request(policy, ref) for ref in range(1000))
    assert len(counts) == 10 and max(counts.values()) < 140


def keeps_load_bound(policy: BaselinePolicy) -> None:
    """Check bounded hashing: no node exceeds the load bound, even with one hot key."""
    for ref in range(200):
        send_request(policy, ref)
        assert max(outstanding(policy)) <= ceil(1.25 * (ref + 1) / 10)


@pytest.mark.parametrize(
    ("name", "check"),
    [
        ("random", chooses_anywhere),
        ("round-robin", spreads_evenly),
        ("least-outstanding", chooses_least_loaded),
        ("oracle", chooses_least_loaded),
        ("two-choices", chooses_better_of_two),
        ("hash-bounded", keeps_load_bound),
    ],
)
def test_policy_chooses_by_its_rule(name: str, check: Callable[[BaselinePolicy], None]) -> None:
    check(create_policy(name, 10))


def test_only_keys_of_a_removed_node_move() -> None:
    def places(policy: BaselinePolicy) -> list[int | None]:
        found = []
        for key in range(1, 301):
            found.append(send_request(policy, key, key))
            policy.handle(1.0, api.AttemptEnded(key, 0, found[-1] or 0, Result.OK, True))
        return found

    before, moved = places(create_policy("hash-bounded", 20)), 0
    for left in range(1, 21):
        policy = create_policy("hash-bounded", 20)
        places(policy)
        policy.handle(2.0, api.EndpointUpdate(UpdateScope.DELTA, (api.Endpoint(left, api.Status.REMOVED),)))
        after = places(policy)
        assert all(new == old or old == left for old, new in zip(before, after, strict=True))
        moved += sum(new != old for old, new in zip(before, after, strict=True))
    assert moved <= 0.05 * 20 * len(before)


@pytest.mark.parametrize(
    ("truth", "expected"),
    [
        (FakeGroundTruth({1: 9, 2: 5, 3: 7}, held_by=[1]), 1),  # the holder, although another node is faster
        (FakeGroundTruth({1: 9, 2: 5, 3: 7}), 2),  # no holder: the fastest preferred node
        (FakeGroundTruth({1: 400, 2: 5, 3: 7}, held_by=[1]), 2),  # the holder is too slow
        (FakeGroundTruth({1: 9, 2: 5, 3: 7}, held_by=[2], cold=2), 3),  # the cold budget of node 2 is used up
        (FakeGroundTruth({1: inf, 2: inf, 3: 50}), 3),
    ],
)
def test_oracle_uses_ground_truth(truth: FakeGroundTruth, expected: int) -> None:
    policy = create_policy("oracle", 3)
    assert isinstance(policy, Oracle)
    policy.ground_truth = truth
    assert send_request(policy, 1) == expected


def test_oracle_breaks_ties_by_key() -> None:
    policy = create_policy("oracle", 3)
    assert isinstance(policy, Oracle)
    policy.ground_truth = FakeGroundTruth(dict.fromkeys((1, 2, 3), 4.0))
    once = [send_request(policy, key, key) for key in range(1, 50)]
    assert set(once) == {1, 2, 3} and once == [send_request(policy, 100 + key, key) for key in range(1, 50)]


def test_deciders_by_name() -> None:
    assert isinstance(create_decider("rosepick", DEFAULT_SETTINGS, 1), Router)
    assert type(create_decider("hash-bounded", DEFAULT_SETTINGS, 1)) is POLICIES["hash-bounded"]
    with pytest.raises(ValueError, match="^policy 'best' is not known; known are rosepick, random, [^\n]*$"):
        create_decider("best", DEFAULT_SETTINGS, 1)
