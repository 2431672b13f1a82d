"""Tests of loop load and of the bounds for how long received data and connections have waited."""

from __future__ import annotations

import logging
import socket
from collections import Counter
from functools import partial
from itertools import chain

import pytest

from rosepick.net.accept_queue import AcceptQueueAge, QueueLength
from rosepick.net.event_loop import READ, EventLoop


class FakeClock:
    """A simulated clock in seconds."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def test_data_received_during_a_long_callback_has_a_lower_bound_before_it() -> None:
    clock = FakeClock()
    loop = EventLoop(clock)
    seen: list[float] = []
    (busy, busy_peer), (late, late_peer) = socket.socketpair(), socket.socketpair()

    def block_loop(_events: int) -> None:
        busy.recv(1)
        late_peer.send(b"x")
        clock.now_s += 0.7

    def read_late(_events: int) -> None:
        late.recv(1)
        seen.append(loop.now() - loop.events_since)

    loop.register(busy, READ, block_loop)
    loop.register(late, READ, read_late)
    busy_peer.send(b"x")
    loop.step(0.0)
    loop.step(0.0)
    assert seen == [pytest.approx(700.0)]
    for sock in (busy, busy_peer, late, late_peer):
        sock.close()
    loop.close()


def test_long_turn_is_logged_with_its_longest_call(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = FakeClock()
    loop = EventLoop(clock)

    def slow_call() -> None:
        clock.now_s += 0.2

    loop.call_at(loop.now(), slow_call)
    monkeypatch.setattr(logging.getLogger("rosepick"), "propagate", True)
    with caplog.at_level(logging.WARNING, "rosepick.net.loop_load"):
        loop.step(0.0)
    fields = [vars(each)["fields"] for each in caplog.records if each.getMessage() == "event_loop_behind"]
    assert [(entry["turn_ms"], entry["calls"]) for entry in fields] == [(pytest.approx(200.0), 1)]
    assert fields[0]["longest"].endswith("slow_call")
    assert loop.load.longest_call_ms == pytest.approx(200.0)
    loop.close()


def test_connections_behind_counted_ones_arrived_after_the_count() -> None:
    age = AcceptQueueAge(0.0)
    age.begin_batch(1_000.0, 990.0, QueueLength(2, 128))
    assert [age.record_accept(), age.record_accept()] == [990.0, 990.0]
    # The batch ended before the queue was empty. At 1,500 three connections were queued; they arrived after
    # 1,000.
    age.begin_batch(1_500.0, 1_400.0, QueueLength(3, 128))
    assert [age.record_accept() for _ in range(3)] == [1_000.0] * 3
    age.begin_batch(1_800.0, 1_700.0, QueueLength(1, 128))
    assert age.record_accept() == 1_500.0
    age.record_empty(1_801.0)
    age.begin_batch(5_000.0, 4_990.0, None)
    assert age.record_accept() == 4_990.0


def test_connections_accepted_later_in_a_turn_arrived_after_the_queue_was_empty_in_it() -> None:
    age = AcceptQueueAge(0.0)
    age.begin_batch(1_000.0, 400.0, QueueLength(1, 128))
    assert age.record_accept() == 400.0
    age.record_empty(1_001.0)
    age.begin_batch(1_050.0, 400.0, QueueLength(1, 128))
    assert age.record_accept() == 1_001.0


def test_bulk_sockets_get_as_much_of_a_long_turn_as_all_others() -> None:
    clock = FakeClock()
    loop = EventLoop(clock)
    seen: Counter[str] = Counter()
    pairs = [socket.socketpair() for _ in range(20)]

    def take(name: str, _events: int) -> None:
        seen[name] += 1
        clock.now_s += 0.01

    for number, (watched, peer) in enumerate(pairs):
        is_bulk = number % 2 == 1
        loop.register(watched, READ, partial(take, "bulk" if is_bulk else "other"))
        loop.set_bulk(watched, is_bulk)
        peer.send(b"x")
    loop.step(0.0)
    assert seen == {"other": 10, "bulk": 10}
    for sock in chain.from_iterable(pairs):
        sock.close()
    loop.close()
