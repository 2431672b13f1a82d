"""Tests of the connection table, idle time estimates, reuse history and address quotas."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosepick.connections.address_quota import AddressQuota
from rosepick.connections.connection_table import (
    ALLOWED_TRANSITIONS,
    CloseReason,
    ConnectionRecord,
    ConnectionState,
    ConnectionTable,
)
from rosepick.connections.idle_queue import IdleQueue
from rosepick.connections.reuse_history import MAX_REMEMBERED_ADDRESSES, AddressReuseHistory

from .connection_simulation import STEPS


def kind_of(record: ConnectionRecord) -> str:
    """Return the kind under which `ConnectionTable.counts_by_kind` counts an open connection."""
    if record.state is ConnectionState.NEW:
        return "unused"
    if record.state is ConnectionState.IDLE:
        return "used_once" if record.request_count == 1 else "reused"
    return "lingering" if record.state is ConnectionState.LINGERING else "active"


def test_disallowed_transitions_raise() -> None:
    def make_record_in(state: ConnectionState) -> tuple[ConnectionTable, ConnectionRecord]:
        table = ConnectionTable(0.0)
        record = table.add_connection(None, "http", "p", 0.0)
        if state is not ConnectionState.NEW:
            table.begin_request(record, 1.0)
        if state is ConnectionState.IDLE:
            table.mark_idle(record, 2.0)
        if state is ConnectionState.LINGERING:
            table.mark_lingering(record, 2.0)
        if state is ConnectionState.CLOSED:
            table.mark_closed(record, CloseReason.CLIENT_CLOSED, 2.0)
        return table, record

    transitions: dict[ConnectionState, Callable[[ConnectionTable, ConnectionRecord], None]] = {
        ConnectionState.ACTIVE: lambda table, record: table.begin_request(record, 3.0),
        ConnectionState.IDLE: lambda table, record: table.mark_idle(record, 3.0),
        ConnectionState.LINGERING: lambda table, record: table.mark_lingering(record, 3.0),
        ConnectionState.CLOSED: lambda table, record: table.mark_closed(
            record, CloseReason.CLIENT_CLOSED, 3.0
        ),
    }
    for state in ConnectionState:
        for next_state, transition in transitions.items():
            table, record = make_record_in(state)
            if next_state in ALLOWED_TRANSITIONS[state] or state is next_state is ConnectionState.ACTIVE:
                transition(table, record)
                assert record.state is next_state
            else:
                with pytest.raises(ValueError, match="cannot become"):
                    transition(table, record)


@given(st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 30), st.integers(0, 3)), max_size=120))
def test_counts_match_the_open_connections_after_any_steps(steps: list[tuple[str, int, int]]) -> None:
    table = ConnectionTable(0.0)
    states: dict[ConnectionRecord, ConnectionState] = {}
    for now, (step, which, peer) in enumerate(steps):
        if step == "open":
            states[table.add_connection(None, f"listener{peer % 2}", f"p{peer}", now)] = ConnectionState.NEW
        elif states:
            record = list(states)[which % len(states)]
            _apply_step(table, record, step, float(now))
            if record.state is ConnectionState.CLOSED:
                del states[record]
            else:
                states[record] = record.state
        assert len(table) == len(states)
        counts = Counter(kind_of(record) for record in states)
        assert {kind: n for kind, n in table.counts_by_kind().items() if n} == counts
        assert table.client_held_count() == sum(
            state in (ConnectionState.ACTIVE, ConnectionState.IDLE) for state in states.values()
        )
        peers = Counter(record.peer for record in states)
        listeners = Counter(record.listener_name for record in states)
        assert {peer: table.address_quota.count_for(peer) for peer in peers} == peers
        assert (len(table.address_quota), table.open_by_listener) == (len(peers), listeners)
        assert table.address_quota.max_count() == max(peers.values(), default=0)


def _apply_step(table: ConnectionTable, record: ConnectionRecord, step: str, now: float) -> None:
    """Apply a step if the state of the connection allows it."""
    if step == "request" and record.state in (
        ConnectionState.NEW,
        ConnectionState.IDLE,
        ConnectionState.ACTIVE,
    ):
        table.begin_request(record, now)
    elif step == "respond" and record.state is ConnectionState.ACTIVE:
        table.record_response(record, 200)
        table.mark_idle(record, now)
    elif step == "linger" and record.state is ConnectionState.ACTIVE:
        table.mark_lingering(record, now)
    elif step == "close":
        table.mark_closed(record, CloseReason.CLIENT_CLOSED, now)


def test_record_keeps_recent_statuses_and_the_close_reason_set_first() -> None:
    table = ConnectionTable(0.0)
    record = table.add_connection(None, "http", "p", 0.0)
    for now, status in enumerate((200, 503, 504, 200, 400)):
        table.begin_request(record, now)
        table.record_response(record, status)
        table.mark_idle(record, now)
    assert (record.request_count, record.recent_statuses) == (5, "5524")
    record.close_reason = CloseReason.NOT_WORTH_KEEPING
    table.mark_closed(record, CloseReason.CLIENT_CLOSED, 9.0)
    assert table.closed_by_reason == {CloseReason.NOT_WORTH_KEEPING: 1}


def test_expected_idle_time_is_estimated_without_any_request() -> None:
    queue: IdleQueue[int] = IdleQueue(0.0)
    assert queue.expected_idle_ms(0.0) == 500.0  # the prior
    for n in range(50):
        queue.add(n, 0.0)
    assert queue.expected_idle_ms(100.0) == 5500.0  # fifty connections were idle for 100 ms without a request
    for n in range(50):
        queue.remove(n, 100.0, True)
    assert queue.expected_idle_ms(200.0) == pytest.approx(108, abs=1)


def test_closes_do_not_distort_the_expected_idle_time() -> None:
    expected = []
    for closes_half in (False, True):
        queue: IdleQueue[int] = IdleQueue(0.0)
        for n in range(200):  # each sends a request after 80 ms unless it is closed before
            queue.add(n, 100.0 * n)
            is_closed = closes_half and n % 2 == 0
            queue.remove(n, 100.0 * n + (40.0 if is_closed else 80.0), not is_closed)
        expected.append(queue.expected_idle_ms(20_000.0))
    assert expected[0] == pytest.approx(80, rel=0.05)
    assert expected[1] == pytest.approx(
        120, rel=0.05
    )  # the idle time of closed connections counts, although they sent no request


def test_weight_of_old_observations_decays() -> None:
    queue: IdleQueue[int] = IdleQueue(0.0)
    queue.add(1, 0.0)
    queue.remove(1, 60_000.0, True)
    for _ in range(200):
        queue.decay(100.0)
    assert queue.expected_idle_ms(60_000.0) == pytest.approx(500, rel=0.01)


def test_reuse_is_likely_after_two_reuses_and_unlikely_after_two_closes() -> None:
    history = AddressReuseHistory()
    for was_reused, is_likely in ((True, False), (True, True), (True, True), (False, True), (False, False)):
        history.record_use("p", was_reused)
        assert history.is_likely_to_reuse("p") == is_likely
    for n in range(2 * MAX_REMEMBERED_ADDRESSES):
        history.record_use(f"q{n}", True)
    assert len(history) == MAX_REMEMBERED_ADDRESSES


@given(st.lists(st.integers(0, 5), max_size=60), st.integers(8, 200))
def test_quota_has_a_minimum_and_a_single_address_may_use_all(peers: list[int], capacity: int) -> None:
    quota = AddressQuota()
    for peer in peers:
        quota.add(str(peer))
    for peer in set(peers):
        address_quota = quota.quota_for(str(peer), capacity)
        assert address_quota >= min(capacity, 4)
        if len(quota) == 1:
            assert address_quota >= max(capacity, len(peers))
