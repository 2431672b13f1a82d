"""Tests of the connection policy: which client connections are closed, and when."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosepick.connections.connection_table import CloseReason, ConnectionRecord, ConnectionState
from rosepick.connections.policy import MAX_EVICTION_BACKOFF_MS, MAX_TIME_WITHOUT_CAPACITY_MS

from .connection_simulation import STEPS, ListenerSimulation, send_one_shot_requests


def test_one_shot_clients_find_free_slots_from_the_first_second() -> None:
    """Clients hold their connections for ever from the start, before any limit is learned."""
    for client_limit, configured_limit in ((128, None), (85, 85)):
        descriptors = 384 if configured_limit is None else 256
        simulation = ListenerSimulation(descriptors, configured_limit, client_limit)
        assert send_one_shot_requests(simulation, 2_000, 4.0) == 0
        assert simulation.closed[CloseReason.NOT_WORTH_KEEPING] > 1_500


@pytest.mark.parametrize("client_limit", [10, 12, 25, 40, 80])
def test_limit_of_clients_below_the_default_is_learned(client_limit: int) -> None:
    simulation = ListenerSimulation(client_limit=client_limit)
    missed = 0
    least_capacity = 128
    for _ in range(50):
        missed += send_one_shot_requests(simulation, 100, 4.0)
        least_capacity = min(least_capacity, simulation.policy.capacity())
    assert least_capacity <= 1.1 * client_limit or not missed
    assert missed < 0.08 * 5_000


def test_connections_of_reusing_clients_are_kept_beside_one_shot_clients() -> None:
    """Twenty clients that send requests continuously rarely need a new connection."""
    simulation = ListenerSimulation()
    records = [simulation.connect(f"u{n}") for n in range(20)]
    reopened = 0
    for turn in range(1_000):
        n = turn % 20
        if records[n] not in simulation.open:
            records[n] = simulation.connect(f"u{n}")
            reopened += 1
        simulation.begin_request(records[n])
        simulation.pass_time(3.0)
        simulation.respond(records[n])
        if turn > 100:
            simulation.request_once(f"h{turn}", duration_ms=3.0)
    assert reopened < 40
    assert simulation.closed[CloseReason.NOT_WORTH_KEEPING] > 700


def test_connection_of_a_reusing_address_is_kept_after_its_first_response() -> None:
    simulation = ListenerSimulation()
    for _ in range(2):
        record = simulation.connect("good")
        for _ in range(3):
            simulation.begin_request(record)
            simulation.respond(record)
    send_one_shot_requests(simulation, 500, 4.0)
    for peer, is_kept in (("good", True), ("new", False)):
        closed_count = 0
        for _ in range(8):  # one in eight connections is kept as a sample
            record = simulation.connect(peer)
            simulation.begin_request(record)
            closed_count += not simulation.respond(record)
            if record in simulation.open:
                simulation.close(record, CloseReason.CONNECTION_LOST)
        assert (closed_count == 0) == is_kept


def test_samples_reveal_that_connections_are_reused_again() -> None:
    """After clients that never reuse connections, others reuse theirs if the router keeps them open."""
    simulation = ListenerSimulation()
    send_one_shot_requests(simulation, 1_000, 3.0)
    for open_record in simulation.open[:]:
        simulation.close(open_record, CloseReason.CLIENT_CLOSED)
    records: dict[int, ConnectionRecord] = {}
    opened: list[int] = []
    for turn in range(4_000):
        record = records.get(turn % 20)
        if record is None or record not in simulation.open:
            record = simulation.connect(f"u{turn}")
            records[turn % 20] = record
            opened.append(turn)
        simulation.begin_request(record)
        simulation.pass_time(3.0)
        simulation.respond(record)
    assert len(opened) < 1_000
    assert not [turn for turn in opened if turn > 2_000]


def send_periodic_requests(
    simulation: ListenerSimulation, client_count: int, interval_ms: float, duration_ms: float
) -> tuple[int, int]:
    """Send a request of each client every `interval_ms` for `duration_ms`, with staggered starts.

    All clients have the same address, and each keeps one connection while the router leaves it open.

    Returns the number of requests in the last quarter of the time, and how many of these needed a new
    connection.
    """
    records: dict[int, ConnectionRecord] = {}
    request_count = 0
    opened_count = 0
    schedule = [(interval_ms * n / client_count, n) for n in range(client_count)]
    while schedule:
        at, n = schedule.pop(0)
        if at > duration_ms:
            continue
        simulation.pass_time(max(0.0, at - simulation.now))
        is_counted = at > 0.75 * duration_ms
        request_count += is_counted
        record = records.get(n)
        if record is None or record not in simulation.open:
            opened_count += is_counted
            record = records[n] = simulation.connect("front")
        simulation.begin_request(record)
        simulation.respond(record)
        schedule.append((at + interval_ms, n))
    return request_count, opened_count


@pytest.mark.parametrize(
    ("configured_limit", "client_count", "interval_ms"),
    [(None, 20, 3_000.0), (None, 60, 300.0), (None, 100, 3_000.0), (None, 140, 300.0), (128, 128, 300.0)],
)
def test_connections_of_periodic_clients_are_kept(
    configured_limit: int | None, client_count: int, interval_ms: float
) -> None:
    """No limit is exceeded, so evictions must neither start without need nor cause further evictions."""
    simulation = ListenerSimulation(configured_limit=configured_limit)
    request_count, opened_count = send_periodic_requests(simulation, client_count, interval_ms, 40_000.0)
    assert request_count > 60
    assert opened_count <= 0.1 * request_count


def test_handshake_does_not_count_as_delay_of_the_client() -> None:
    """With TLS, the first bytes of a request arrive late if the handshake has to wait."""
    simulation = ListenerSimulation()
    for n in range(300):
        record = simulation.connect(f"h{n}")
        record.ready_at = simulation.now + 500.0
        record.request_started_at = simulation.now + 510.0
        simulation.table.begin_request(record, simulation.now)
        simulation.policy.record_request(record, simulation.now)
        simulation.respond(record)
        simulation.pass_time(4.0)
    assert simulation.closed[CloseReason.NOT_WORTH_KEEPING] > 200


def test_expired_connection_is_not_closed_twice() -> None:
    simulation = ListenerSimulation(configured_limit=40)
    for n in range(38):
        record = simulation.connect(f"p{n}")
        simulation.begin_request(record)
        simulation.table.mark_idle(record, simulation.now)
    simulation.policy._next_eviction_at = 7_900.0  # no eviction so far
    simulation.pass_time(7_950.0)
    for _ in range(2):
        record = simulation.connect("q")
        simulation.begin_request(record)
        simulation.table.mark_idle(record, simulation.now)
    simulation.pass_time(100.0)  # the simulation raises on a second close
    assert simulation.closed[CloseReason.IDLE_TIMEOUT] == 38


def test_address_within_its_quota_is_not_closed_because_another_exceeds_its_own() -> None:
    simulation = ListenerSimulation(configured_limit=100, client_limit=100)
    for peer, count in (("big", 66), ("small", 15), *((f"p{n}", 1) for n in range(8))):
        for _ in range(count):
            simulation.begin_request(simulation.connect(peer))
    small = next(record for record in simulation.open if record.peer == "small")
    simulation.policy.should_close_after_response(small, simulation.now)
    assert small.close_reason is not CloseReason.ADDRESS_QUOTA


def test_slots_are_freed_while_all_connections_are_idle() -> None:
    simulation = ListenerSimulation(configured_limit=128)
    records = [simulation.connect(f"p{n}") for n in range(128)]
    for record in records:
        simulation.begin_request(record)
        record.close_reason = None
    for record in records:
        simulation.table.mark_idle(record, simulation.now)  # the client is a proxy that reads responses ahead
    assert simulation.policy.free_slots() == 0
    simulation.pass_time(MAX_TIME_WITHOUT_CAPACITY_MS)
    assert simulation.policy.free_slots() > 0
    assert simulation.closed[CloseReason.CAPACITY] >= 2


def test_evictions_back_off_for_a_pool_that_reopens_connections_at_once() -> None:
    simulation = ListenerSimulation(configured_limit=100, client_limit=100)

    def reopen(record: ConnectionRecord) -> None:
        reopened = simulation.connect(record.peer)
        # Its first request arrives a second later, so the connection was not opened for a request.
        reopened.request_started_at = reopened.opened_at + 1_000.0
        simulation.table.begin_request(reopened, simulation.now)
        simulation.table.mark_idle(reopened, simulation.now)

    for n in range(100):
        record = simulation.connect(f"p{n % 3}")
        simulation.begin_request(record)
        simulation.table.mark_idle(record, simulation.now)
    simulation.on_close = reopen
    simulation.policy.limits.idle_timeout_ms = 1e9
    simulation.pass_time(30_000.0)
    closed_before = simulation.closed[CloseReason.CAPACITY]
    simulation.pass_time(60_000.0)
    assert simulation.policy.unclaimed_evictions >= 4
    # at most two of 100 connections in eight seconds
    closed_later = simulation.closed[CloseReason.CAPACITY] - closed_before
    assert closed_later <= 2 * 60_000 / MAX_EVICTION_BACKOFF_MS + 2
    assert closed_before < 50


def test_unclaimed_slots_do_not_delay_the_next_clients() -> None:
    simulation = ListenerSimulation(configured_limit=40, client_limit=40)

    def fill() -> None:
        while simulation.held_count() < 40:
            record = simulation.connect()
            simulation.begin_request(record)
            simulation.table.mark_idle(record, simulation.now)

    for _ in range(4):  # no client uses the slots for some time, so the backoff grows
        fill()
        simulation.policy._eviction_backoff_ms = 4_000.0
        simulation.pass_time(MAX_TIME_WITHOUT_CAPACITY_MS)
        assert simulation.policy.free_slots() > 0
        simulation.pass_time(400.0)


@given(
    st.lists(
        st.tuples(st.sampled_from((*STEPS, "wait", "request_once")), st.integers(0, 200), st.integers(0, 2)),
        min_size=30,
        max_size=150,
    ),
    st.integers(8, 24),
)
def test_slot_becomes_free_in_bounded_time_while_a_connection_is_idle(
    steps: list[tuple[str, int, int]], client_limit: int
) -> None:
    """After any sequence of events, a slot becomes free within `MAX_TIME_WITHOUT_CAPACITY_MS`."""
    simulation = ListenerSimulation(configured_limit=client_limit, client_limit=client_limit)
    for step, which, peer in steps:
        _simulate_step(simulation, step, which, f"p{peer}")
        assert simulation.table.client_held_count() == simulation.held_count() <= client_limit
    while simulation.held_count() < client_limit:  # the clients take all slots and hold them
        record = simulation.connect("last")
        simulation.begin_request(record)
        simulation.table.mark_idle(record, simulation.now)
    for record in simulation.open[::2]:  # half of them become active and stay active
        if record.state is ConnectionState.IDLE:
            simulation.begin_request(record)
    if simulation.held_count() == simulation.table.active_count:
        return  # no connection is idle
    simulation.pass_time(MAX_TIME_WITHOUT_CAPACITY_MS)
    assert simulation.policy.free_slots() > 0


def _simulate_step(simulation: ListenerSimulation, step: str, which: int, peer: str) -> None:
    if step == "wait":
        simulation.pass_time(5.0 * which)
    elif step == "open":
        if (
            len(simulation.open) < simulation.budget.downstream_limit()
            and simulation.held_count() < simulation.client_limit
        ):
            simulation.connect(peer)
    elif step == "request_once":
        simulation.request_once(peer)
    elif simulation.open:
        record = simulation.open[which % len(simulation.open)]
        if step == "request" and (
            record.state is ConnectionState.IDLE or simulation.held_count() < simulation.client_limit
        ):
            if record.state is not ConnectionState.ACTIVE:
                simulation.begin_request(record)
        elif step == "respond" and record.state is ConnectionState.ACTIVE:
            simulation.respond(record)
        elif step == "close":
            simulation.close(record, CloseReason.CLIENT_CLOSED)


def test_eviction_order_is_lingering_then_idle_and_excludes_new_connections() -> None:
    simulation = ListenerSimulation()
    reused, silent, lingering, used_once, *others = (simulation.connect(peer) for peer in "abcdefgh")
    for record in (reused, reused, used_once, *others):
        simulation.begin_request(record)
        simulation.table.mark_idle(record, simulation.now)
    simulation.begin_request(lingering)
    simulation.table.mark_lingering(lingering, simulation.now)
    simulation.pass_time(3_000.0)
    new = simulation.connect("i")
    order = [record for record, _ in simulation.policy.select_for_eviction(simulation.now)]
    assert order[0] is lingering
    assert new not in order
    assert order.index(used_once) < order.index(reused)
    assert silent not in simulation.open  # closed by a review after 2.2 s
    not_urgent = [
        record for record, _ in simulation.policy.select_for_eviction(simulation.now, is_urgent=False)
    ]
    assert reused in not_urgent  # it has been idle for three seconds, longer than the minimum of two
    simulation.begin_request(reused)
    simulation.table.mark_idle(reused, simulation.now)
    assert reused not in [
        record for record, _ in simulation.policy.select_for_eviction(simulation.now, is_urgent=False)
    ]


def test_address_over_its_quota_is_evicted_and_rejected() -> None:
    simulation = ListenerSimulation(descriptors=128)  # 40 slots for client connections
    for _ in range(36):
        simulation.request_once("greedy", duration_ms=0.0)
    greedy = [simulation.connect("greedy") for _ in range(39 - len(simulation.open))]
    for record in greedy:
        simulation.begin_request(record)
    other = simulation.connect("other")
    simulation.begin_request(other)
    assert simulation.policy.should_reject_address("greedy")
    assert not simulation.policy.should_reject_address("other")
    assert simulation.policy.should_close_after_response(greedy[0], simulation.now)
    assert greedy[0].close_reason is CloseReason.ADDRESS_QUOTA
    simulation.policy.should_close_after_response(other, simulation.now)
    assert other.close_reason is not CloseReason.ADDRESS_QUOTA
    simulation.policy.limits.enforce_address_quota = False
    assert not simulation.policy.should_reject_address("greedy")
