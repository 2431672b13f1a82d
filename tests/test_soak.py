"""The soak test: its plans, the faults inside a process, and one seed with a few real processes."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Iterator
from unittest import mock

import pytest

from rosepick.lab.scale.load_process import LoadRecord, RouterClients
from rosepick.lab.scale.scale_plan import RouterSignals, ScalePlan
from rosepick.lab.soak import process_faults
from rosepick.lab.soak.process_faults import FaultInjector, FaultySocket, ProcessFaults
from rosepick.lab.soak.soak_plan import LENGTH_S, draw_plan
from rosepick.lab.soak.soak_run import play_soak


@pytest.fixture
def injector() -> Iterator[FaultInjector]:
    """Injector of faults into this process, at first without any; the test sets them."""
    injector = FaultInjector(ProcessFaults())
    with mock.patch.object(process_faults, "injector", injector):
        yield injector


def test_a_plan_is_the_same_for_a_seed_and_differs_between_seeds() -> None:
    assert draw_plan(7) == draw_plan(7)
    assert draw_plan(7) != draw_plan(8)
    for seed in range(1, 40):
        troubles = draw_plan(seed).experiment.troubles
        assert 6 <= len(troubles) <= 13
        assert all(fault.at + fault.last < LENGTH_S for fault in troubles)


def test_a_plan_without_faults_inside_its_processes() -> None:
    assert set(draw_plan(3, routers=4, with_process_faults=False).process_faults) == {ProcessFaults()}


def test_the_wall_clock_has_an_offset_and_steps(injector: FaultInjector) -> None:
    injector.faults = ProcessFaults(wall_offset_s=30.0, wall_step_at_s=1_000.0, wall_step_s=3_600.0)
    assert injector.wall_time() - time.time() == pytest.approx(30.0, abs=5.0)
    injector.faults = ProcessFaults(wall_offset_s=30.0, wall_step_at_s=0.0, wall_step_s=3_600.0)
    assert injector.wall_time() - time.time() == pytest.approx(3_630.0, abs=5.0)


def test_failing_calls_and_short_transfers_lose_no_data(injector: FaultInjector) -> None:
    """A failed accept leaves the connection to the next accept; short writes keep the order of bytes."""
    with FaultySocket() as listener, socket.socket() as client:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client.connect(listener.getsockname())
        injector.faults = ProcessFaults(failing_share=1.0)
        with pytest.raises(OSError) as accept_error:
            listener.accept()
        assert accept_error.value.errno in process_faults.ACCEPT_ERRNOS
        injector.faults = ProcessFaults(short_share=0.5)
        accepted, _ = listener.accept()
        with accepted:
            data, sent, received = bytes(range(256)) * 8, 0, b""
            while len(received) < len(data):
                if sent < len(data):
                    sent += _send(accepted, data[sent:])
                received += client.recv(4096)
            assert received == data


def _send(sock: socket.socket, data: bytes) -> int:
    """Send as much as the socket accepts; retry while it would block."""
    while True:
        try:
            return sock.send(data)
        except BlockingIOError:
            continue


def test_a_connection_that_broke_stays_broken(injector: FaultInjector) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, FaultySocket() as sock:
        sock.connect(server.getsockname())
        injector.faults = ProcessFaults(breaking_share=1.0)
        with pytest.raises(OSError) as first_error:
            sock.recv(1)
        assert first_error.value.errno in process_faults.BROKEN_ERRNOS
        injector.faults = ProcessFaults()
        with pytest.raises(OSError) as second_error:
            sock.recv(1)
        assert second_error.value.errno == errno.ECONNRESET


def test_one_seed_with_a_few_processes_violates_no_rule() -> None:
    result = play_soak(draw_plan(5, routers=4))
    assert result.violations == ()
    assert result.run.totals["served_share"] > 0.4


def test_clients_connect_again_once_their_router_is_killed_and_not_when_that_was_planned() -> None:
    plan = ScalePlan(nodes=2, deadline_s=0.3, signals=(RouterSignals(1.0, 0, ("SIGHUP", "SIGTERM")),))
    clients = RouterClients(plan, 0, 1, 0.0, LoadRecord())
    with mock.patch.object(clients, "now_s") as now_s:
        now_s.side_effect = (1.0, 1.4, 1.5, 2.0, 2.1, 2.5)
        seen = [clients._is_out_of_rotation() for _ in range(6)]
        assert seen == [False, False, True, True, True, True]  # the kill is planned at 2.05
        clients.killed_at_s.append(2.1)
        now_s.side_effect = (2.6,)
        assert not clients._is_out_of_rotation()
