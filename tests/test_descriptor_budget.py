"""Tests of the descriptor budget, batches of accepts and the handshake throttle."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosepick.connections.accept_throttle import MAX_BURST_CPU_MS, AcceptThrottle, HandshakeThrottle
from rosepick.connections.connection_table import CloseReason
from rosepick.connections.descriptor_budget import (
    RESERVED_FOR_CONNECTS,
    RESERVED_FOR_FILES,
    RESERVED_FOR_PROGRAM,
    DescriptorBudget,
    DescriptorUse,
)

from .connection_simulation import ListenerSimulation

USES = st.sampled_from(list(DescriptorUse))


@given(st.lists(st.tuples(st.booleans(), USES), max_size=200), st.integers(60, 120), st.integers(50, 110))
def test_descriptors_stay_within_their_budget(
    steps: list[tuple[bool, DescriptorUse]], limit: int, later_limit: int
) -> None:
    budget = DescriptorBudget(limit)
    for n, (is_open, use) in enumerate(steps):
        if n == 100:
            budget.resize(later_limit)
        if is_open and budget.ensure_available(use):
            assert budget.used < budget.limit + (
                RESERVED_FOR_CONNECTS if use is DescriptorUse.UPSTREAM else 0
            )
            budget.acquire(use)
            assert (
                use is not DescriptorUse.DOWNSTREAM
                or budget.used_by_purpose[use] <= budget.downstream_limit()
            )
        elif not is_open and budget.used_by_purpose[use]:
            budget.release(use)
        assert budget.used == sum(budget.used_by_purpose.values())
        assert budget.excess() == max(0, budget.used - budget.limit)


def test_downstream_is_limited_to_its_fraction_and_to_a_lowered_limit() -> None:
    budget = DescriptorBudget(RESERVED_FOR_PROGRAM + RESERVED_FOR_FILES + RESERVED_FOR_CONNECTS + 40)
    budget.reclaimers = [lambda: True]
    for _ in range(20):
        assert budget.ensure_available(DescriptorUse.DOWNSTREAM)
        budget.acquire(DescriptorUse.DOWNSTREAM)
    assert not budget.ensure_available(DescriptorUse.DOWNSTREAM)
    budget.downstream_fraction = 0.9
    assert budget.ensure_available(DescriptorUse.DOWNSTREAM)
    budget.resize(RESERVED_FOR_PROGRAM + RESERVED_FOR_FILES + RESERVED_FOR_CONNECTS + 19)
    assert not budget.ensure_available(DescriptorUse.DOWNSTREAM)


def test_what_is_lent_leaves_the_descriptors_for_connects() -> None:
    budget = DescriptorBudget(RESERVED_FOR_PROGRAM + RESERVED_FOR_FILES + RESERVED_FOR_CONNECTS + 60)
    for _ in range(30):
        budget.acquire(DescriptorUse.DOWNSTREAM)
    for _ in range(5):
        budget.acquire(DescriptorUse.UPSTREAM)
    assert budget.lendable(100) == 30 - 5 - RESERVED_FOR_CONNECTS
    assert budget.lendable(3) == 3
    assert budget.lendable(-3) == 0
    budget.acquire(DescriptorUse.DOWNSTREAM)  # one that is lent does not change what is lent
    assert budget.lendable(100) == 30 - 5 - RESERVED_FOR_CONNECTS
    assert budget.ensure_available(DescriptorUse.DOWNSTREAM, lent=2)
    assert not budget.ensure_available(DescriptorUse.DOWNSTREAM, lent=1)


def test_connections_above_a_lowered_limit_close_after_their_responses() -> None:
    simulation = ListenerSimulation(descriptors=200)
    records = [simulation.connect(f"p{n}") for n in range(20)]
    for record in records:
        simulation.begin_request(record)
    simulation.budget.resize(60)
    assert not simulation.respond(records[0])
    assert records[0].close_reason is CloseReason.DESCRIPTORS


def test_reclaimers_are_tried_in_order() -> None:
    budget = DescriptorBudget(RESERVED_FOR_PROGRAM + RESERVED_FOR_FILES + RESERVED_FOR_CONNECTS + 8)
    for _ in range(8):
        budget.acquire(DescriptorUse.DOWNSTREAM)
    reclaimed: list[str] = []

    def make_reclaimer(name: str, count: int) -> Callable[[], bool]:
        remaining: Iterator[int] = iter(range(count))

        def reclaim() -> bool:
            if next(remaining, None) is None:
                return False
            reclaimed.append(name)
            budget.release(DescriptorUse.DOWNSTREAM)
            return True

        return reclaim

    budget.reclaimers = [make_reclaimer("first", 1), make_reclaimer("second", 1)]
    assert budget.ensure_available(DescriptorUse.BATCH)
    budget.acquire(DescriptorUse.BATCH)
    assert budget.ensure_available(DescriptorUse.BATCH)
    budget.acquire(DescriptorUse.BATCH)
    assert not budget.ensure_available(DescriptorUse.BATCH)
    assert budget.ensure_available(DescriptorUse.UPSTREAM)  # reserved for accepted requests
    assert reclaimed == ["first", "second"]


def test_lowered_limit_is_reached_in_batches() -> None:
    simulation = ListenerSimulation(descriptors=1024)
    for _ in range(400):
        simulation.budget.acquire(DescriptorUse.DOWNSTREAM)
    simulation.budget.resize(248)
    batches = []
    while simulation.budget.excess():
        batches.append(simulation.policy.excess_descriptors())
        for _ in range(batches[-1]):
            simulation.budget.release(DescriptorUse.DOWNSTREAM)
    assert max(batches) <= 200 / 8
    assert len(batches) < 30  # one per review, so less than three seconds


def test_accept_batch_is_limited_by_number_and_by_time() -> None:
    throttle = AcceptThrottle(0.0)
    assert sum(throttle.try_accept(0.0) for _ in range(100)) == 32
    throttle = AcceptThrottle(0.0)
    assert [throttle.try_accept(now) for now in (0.0, 1.0, 2.9, 3.0)] == [True, True, True, False]


def test_handshakes_run_in_order_within_their_fraction_of_the_cpu_time() -> None:
    throttle = HandshakeThrottle(0.25, 0.0)
    begun: list[tuple[float, int]] = []
    now = 0.0

    def begin(n: int) -> None:
        begun.append((now, n))
        throttle.charge_cpu(2.0)

    for n in range(200):
        if throttle.may_proceed(now):
            begin(n)
        else:
            throttle.enqueue(lambda n=n: begin(n))  # type: ignore[misc]
    begun_at_once = len(begun)
    assert begun_at_once == MAX_BURST_CPU_MS / 2.0
    while len(throttle):
        delay_ms = throttle.next_delay_ms()
        assert delay_ms is not None
        now += delay_ms
        while (resume := throttle.pop_ready(now)) is not None:
            resume()
    assert [n for _, n in begun] == list(range(200))
    cpu_ms = 2.0 * (200 - begun_at_once)
    assert now == pytest.approx(cpu_ms / 0.25, rel=0.05)
    assert throttle.next_delay_ms() is None
