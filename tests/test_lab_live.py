"""Tests of live runs: the parts alone, each fault of sockets, and short runs with real routers."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosepick.decisions.api import Result, Status
from rosepick.http.response import MalformedResponseError, Response, ResponseReader
from rosepick.lab.experiment import Experiment, parse_experiment
from rosepick.lab.live.clients import LiveClients
from rosepick.lab.live.controllable_listener import ControllableListener
from rosepick.lab.live.helper_process import HelperProcess, HelperProcessError
from rosepick.lab.live.live_run import run_live
from rosepick.lab.live.live_simulation import LiveSimulation
from rosepick.lab.live.node_server import NodeServer
from rosepick.lab.live.origin_state import WriteDeduplicator
from rosepick.lab.live.request_reader import HttpRequest, RequestReader, encode_response
from rosepick.lab.live.request_schedule import schedule_requests
from rosepick.lab.live.router_config import RouterInstance, router_config_document
from rosepick.lab.live.rule_check import RunObservations, check_rules
from rosepick.lab.live.run_records import Lateness, NodeAttemptRecord, RouterDowntime, TryRecord
from rosepick.lab.measure import Measure
from rosepick.lab.model.router_settings import router_settings_for
from rosepick.lab.results import RunResult
from rosepick.net.event_loop import READ, EventLoop
from rosepick.net.resource_budget import ResourceBudget
from rosepick.net.tcp_stream import TcpStream
from rosepick.settings import config

BASE = """
name = "small"
length = 2.5
warm_up = 0.2
routers.count = 1
traffic.rate = 60
classes = [
    {name = "read", share = 3, work = "fixed", size = 300},
    {name = "set", write = true, effect = "dedup", repeat_window = 1.5, aim = 0.75},
]
fleet = [{count = 2}]
"""


ONE_NODE = {"fleet": [{"count": 1}]}


def experiment(extra: str = "", changes: dict[str, Any] | None = None) -> Experiment:
    """Return a small experiment."""
    return parse_experiment(BASE + extra, "test", changes)


# ----------------------------------------------------------------------------------------------------- parts

TWO_REQUESTS = (
    b"PUT /api/k1 HTTP/1.1\r\nReq-Id: 7.1\r\nIdempotency-Key: a\r\nContent-Length: 5\r\n\r\nhello"
    b"GET /api/k2 HTTP/1.1\r\nreq-id: 8.1\r\nConnection: close\r\n\r\n"
)


@given(st.lists(st.integers(0, len(TWO_REQUESTS)), max_size=6))
def test_requests_are_parsed_at_any_split(cuts: list[int]) -> None:
    reader, requests = RequestReader(), list[HttpRequest]()
    edges = [0, *sorted(cuts), len(TWO_REQUESTS)]
    for begin, end in zip(edges, edges[1:], strict=False):
        requests += reader.feed(TWO_REQUESTS[begin:end])
    assert [
        (one.method, one.target, one.header_text(b"req-id"), one.body, one.keep_alive) for one in requests
    ] == [
        (b"PUT", b"/api/k1", "7.1", b"hello", True),
        (b"GET", b"/api/k2", "8.1", b"", False),
    ]
    assert not reader.is_in_request


def test_router_config_has_the_settings_of_simulated_routers() -> None:
    two_zones = experiment('tenants = [{name = "acme", share = 3}, {name = "beta"}]\nzones = ["a", "b"]')
    router = RouterInstance("router-1", "127.0.0.1:1", "127.0.0.1:2", {"rev": 1, "all": True}, position=1)
    document = router_config_document(two_zones, router)
    read = config.read(json.loads(json.dumps(document)))
    assert read.settings == router_settings_for(two_zones, 1, 1)
    assert list(read.names.classes) == ["read", "set"] and list(read.names.tenants) == ["acme", "beta"]


def test_a_surge_adds_requests_to_the_schedule_drawn_in_advance() -> None:
    usual = schedule_requests(experiment(), 1)
    surged = schedule_requests(experiment('[[troubles]]\nkind = "surge"\nat = 1\nfor = 1\nby = 10'), 1)
    assert [one for one in usual if one.due_ms < 950] == [one for one in surged if one.due_ms < 950]
    count = sum(1000 <= one.due_ms < 2000 for one in surged)
    assert count > 5 * sum(1000 <= one.due_ms < 2000 for one in usual)


def test_void_reason_states_the_lateness_of_a_run() -> None:
    assert Lateness.from_samples([1.0] * 100).void_reason("it was") == ""
    assert "p99 30.0 ms" in Lateness.from_samples([30.0] * 100).void_reason("it was")
    assert "longest 300 ms" in Lateness.from_samples([1.0] * 200 + [300.0]).void_reason("it was")


# ------------------------------------------------------------------------------------------------ rule checks


def make_attempt(
    begin: float, end: float, result: Result = Result.MISS, drain_known_since: float | None = None
) -> NodeAttemptRecord:
    """Return an attempt of the request 5.1 that began and ended at these times."""
    return NodeAttemptRecord("5.1", 7, "node-1", 0, 0, begin, drain_known_since, end, result)


def make_try(
    outcome: str = "served", ended: float = 150.0, klass: int = 0, surplus: bool = False
) -> TryRecord:
    """Return the try 5.1, sent at 100 ms."""
    return TryRecord("5.1", 0, klass, 2600.0 if klass else 1300.0, 100.0, ended, outcome, surplus)


SET_CLASS = 1  # index of the class of writes that are deduplicated for 1.5 s
VIOLATIONS: dict[str, tuple[list[NodeAttemptRecord], TryRecord, str, str, float]] = {
    "never": ([], make_try("none", 2300.0), "answered", "no answer by 1000 ms", 2.3),
    "late": ([make_attempt(101, 1355)], make_try("served", 1360.0), "answered", "60 ms late", 1.36),
    "twice": ([], make_try("failed", surplus=True), "answered", "twice", 0.15),
    "broken off": ([], make_try("broke"), "answered", "connection ended 50.0 ms after", 0.15),
    "after the answer": (
        [make_attempt(101, 120), make_attempt(190, 200)],
        make_try(),
        "effect",
        "after the final answer",
        0.19,
    ),
    "at one time": (
        [make_attempt(101, 140), make_attempt(130, 140)],
        make_try(),
        "effect",
        "another attempt was out",
        0.13,
    ),
    "too many": (
        [make_attempt(101 + n, 101.5 + n) for n in range(6)],
        make_try(),
        "effect",
        "attempt 6 of 5",
        0.106,
    ),
    "window": (
        [make_attempt(101, 110, Result.ERROR), make_attempt(1700, 1710, Result.OK)],
        make_try("served", 1711, SET_CLASS),
        "effect",
        "1599 ms after",
        1.7,
    ),
    "drains": (
        [make_attempt(901, 910, drain_known_since=100.0)],
        make_try("served", 911),
        "drains",
        "801 ms after",
        0.901,
    ),
}


@pytest.mark.parametrize("name", VIOLATIONS)
def test_each_violation_is_recorded_with_rule_node_and_time(name: str) -> None:
    attempts, client_try, rule, text, at = VIOLATIONS[name]
    measure = Measure(experiment())
    check_rules(measure, RunObservations(attempts, [client_try]))
    assert [(broken.rule, broken.request) for broken in measure.violations] == [(rule, "5.1")]
    broken = measure.violations[0]
    assert broken.at == pytest.approx(at) and text in broken.text
    assert broken.node == ("router-0" if rule == "answered" else "node-1")


def test_permitted_attempts_and_tries_break_no_rule() -> None:
    measure = Measure(experiment())
    permitted = [make_attempt(101, 120), make_attempt(121, 149, Result.OK), make_attempt(140.0, 141.0)]
    permitted[-1].request_id = "6.1"
    tries = [make_try(), make_try("left"), make_try("crossed"), make_try("refused")]
    check_rules(measure, RunObservations(permitted, tries))
    check_rules(
        measure,
        RunObservations([make_attempt(849, 860, drain_known_since=100.0)], [make_try("served", 870.0)]),
    )
    killed_meanwhile = RouterDowntime(0, 140.0, 151.0)
    check_rules(measure, RunObservations([], [make_try("broke")], [killed_meanwhile]))
    assert measure.violations == []
    check_rules(measure, RunObservations([], [make_try("broke")], [RouterDowntime(1, 140.0, 151.0)]))
    assert len(measure.violations) == 1


@pytest.mark.parametrize(
    "falls_at", [0.0005, 0.0008]
)  # the connection, or the request on it, overloads the node
def test_overload_of_a_cold_node_is_recorded_as_a_violation(falls_at: float) -> None:
    fleet = [{"count": 1, "born": 0.0, "falls_at": falls_at}]
    with stand_in_bench(experiment("", {"fleet": fleet})) as bench:
        connection = bench.connection()
        connection.send_read()
        bench.run_until(lambda: connection.broken)
        (broken,) = bench.simulation.measure.violations
        assert (broken.rule, broken.node) == ("cold", "node-1")
        assert bench.refuses()


# ------------------------------------------------------------------------------------- faults of stand-ins


class RawConnection:
    """A plain connection to a stand-in."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        self.sock.setblocking(False)
        self.received, self.ended, self.broken, self.send_count = b"", False, False, 0

    def send_read(self, target: str = "/api/k1", headers: str = "Req-Id: x.{}\r\n") -> None:
        """Send a read."""
        self.send_count += 1
        self.sock.sendall(f"GET {target} HTTP/1.1\r\n{headers.format(self.send_count)}\r\n".encode())

    def receive(self) -> None:
        """Receive all bytes that have arrived."""
        with contextlib.suppress(BlockingIOError):
            try:
                while not self.ended:
                    data = self.sock.recv(65536)
                    self.received += data
                    self.ended = not data
            except ConnectionError:
                self.ended = self.broken = True

    def answer(self) -> Response | None:
        """Return the complete response, or None if more bytes are expected.

        Raises:
            MalformedResponseError: the received bytes are not a valid response.
        """
        return ResponseReader(1 << 20).feed(self.received) if self.received else None


class StandInBench:
    """Runs stand-ins in this process, and holds plain connections to them."""

    def __init__(self, experiment: Experiment) -> None:
        self.loop = EventLoop()
        self.simulation = LiveSimulation(self.loop, experiment, 1, Measure(experiment))
        self.connections: list[RawConnection] = []
        self.simulation.open()
        self.begin = self.loop.now()
        self.simulation.start_at(self.begin)
        self.run_for_ms(5)

    def node_server(self, uid: str = "node-1") -> NodeServer:
        """Return the server of a node."""
        return next(one for one in self.simulation.node_servers.values() if one.node.uid == uid)

    def connection(self, port: int | None = None) -> RawConnection:
        """Open a connection to a port; by default to node-1."""
        self.connections.append(RawConnection(port or self.node_server().listeners[0].port))
        return self.connections[-1]

    def refuses(self) -> bool:
        """Return whether node-1 refuses connections."""
        with contextlib.suppress(ConnectionRefusedError):
            self.connection()
            return False
        return True

    def step(self) -> None:
        self.loop.step(0.002)
        for connection in self.connections:
            connection.receive()

    def run_for_ms(self, duration_ms: float) -> None:
        end_at = self.loop.now() + duration_ms
        while self.loop.now() < end_at:
            self.step()

    def run_until(self, condition: Callable[[], bool], timeout_ms: float = 3_000.0) -> None:
        end_at = self.loop.now() + timeout_ms
        while not condition():
            assert self.loop.now() < end_at
            self.step()

    def wait_for_answer(self, connection: RawConnection) -> Response:
        """Wait for a complete response."""
        self.run_until(lambda: connection.answer() is not None)
        response = connection.answer()
        assert response is not None
        connection.received = b""
        return response


@contextlib.contextmanager
def stand_in_bench(experiment: Experiment) -> Iterator[StandInBench]:
    """Run stand-ins, close them at the end, and check that no callback failed."""
    bench = StandInBench(experiment)
    try:
        yield bench
    finally:
        bench.simulation.close()
        for connection in bench.connections:
            connection.sock.close()
    assert bench.loop.fault_count == 0


def experiment_with_fault(kind: str, extra: str = "") -> Experiment:
    """Return an experiment with one node and a fault that begins after 60 ms."""
    return experiment(f'[[troubles]]\nkind = "{kind}"\nat = 0.06\n{extra}', ONE_NODE)


def test_a_node_misses_until_the_origin_returns_the_value() -> None:
    with stand_in_bench(experiment("", ONE_NODE)) as bench:
        node, origin = bench.connection(), bench.connection(bench.node_server("origin").listeners[0].port)
        node.send_read()
        missed = bench.wait_for_answer(node)
        assert (missed.status, missed.headers[b"srv-cache"]) == (404, b"miss")
        origin.send_read()
        assert bench.wait_for_answer(origin).body == b"v" * 300
        node.send_read()
        hit = bench.wait_for_answer(node)
        assert (hit.status, hit.headers[b"srv-cache"], hit.body) == (200, b"hit", b"v" * 300)
        node.send_read(headers="")
        assert bench.wait_for_answer(node).status == 400


def test_idle_connections_are_closed() -> None:
    with stand_in_bench(experiment("", ONE_NODE)) as bench:
        connection = bench.connection()
        connection.send_read()
        bench.wait_for_answer(connection)
        bench.node_server().close_idle(bench.simulation.real_time_kernel.now() + 14_000.0)
        bench.run_for_ms(10)
        assert not connection.ended
        bench.node_server().close_idle(bench.simulation.real_time_kernel.now() + 15_000.0)
        bench.run_until(lambda: connection.ended)
        assert not connection.broken


def test_repeated_writes_are_deduplicated_within_window_and_group() -> None:
    with stand_in_bench(experiment("", {"zones": ["a", "b"]})) as bench:
        one, other = bench.node_server("node-1").node, bench.node_server("node-2").node
        klass = bench.simulation.experiment.classes[SET_CLASS].model_copy(update={"group": "zone"})
        deduplicator = WriteDeduplicator()
        assert not deduplicator.is_repeat("k", klass, one, 0.0)
        assert deduplicator.is_repeat("k", klass, one, 1_499.0)
        assert not deduplicator.is_repeat("k", klass, other, 100.0)  # of another zone
        assert not deduplicator.is_repeat("k", klass, one, 1_700.0)
        assert not deduplicator.is_repeat("", klass, one, 1_700.0)


def test_connections_beyond_the_limit_are_declined() -> None:
    with stand_in_bench(experiment("", {"fleet": [{"count": 1, "connections": 1}]})) as bench:
        one, other = bench.connection(), bench.connection()
        bench.run_for_ms(10)
        one.send_read()
        other.send_read()
        answers = {bench.wait_for_answer(connection).status: connection for connection in (one, other)}
        assert set(answers) == {404, 503}
        answers[503].sock.close()
        bench.run_until(lambda: len(bench.node_server().connections) == 1)
        another = bench.connection()  # the end of a declined connection frees no slot
        another.send_read()
        assert bench.wait_for_answer(another).status == 503


@pytest.mark.parametrize("kind", ["stop", "restart"])
def test_a_node_that_stops_resets_and_refuses_connections(kind: str) -> None:
    with stand_in_bench(experiment_with_fault(kind, "for = 0.2\ndown = 0.2")) as bench:
        connection = bench.connection()
        bench.run_until(lambda: connection.broken)
        assert bench.refuses()
        bench.run_until(lambda: bench.node_server().listeners[0].state == "open")
        again = bench.connection()
        again.send_read()
        assert bench.wait_for_answer(again).status == 404


def test_faults_of_one_kind_may_overlap() -> None:
    overlapping_faults = "".join(
        f'[[troubles]]\nkind = "{kind}"\nat = 0.02\nfor = {last}\nshare = {share}\nnodes = 1\n'
        for kind in ("refuse", "garbage")
        for last, share in ((0.1, 0.9), (0.4, 0.1))
    )
    with stand_in_bench(experiment(overlapping_faults, ONE_NODE)) as bench:
        node_server = bench.node_server()
        bench.run_until(lambda: node_server.refusal_count == 2)
        assert max(node_server.garbage_shares) == 0.9
        bench.run_until(lambda: node_server.refusal_count == 1)
        assert node_server.garbage_shares == [0.1] and bench.refuses()
        bench.run_until(lambda: node_server.refusal_count == 0)
        assert node_server.garbage_shares == []


def test_a_node_that_refuses_connections_keeps_the_established_ones() -> None:
    with stand_in_bench(experiment_with_fault("refuse", "for = 0.3")) as bench:
        connection = bench.connection()
        bench.run_until(bench.refuses)
        connection.send_read()
        assert bench.wait_for_answer(connection).status == 404
        bench.run_until(lambda: bench.node_server().listeners[0].state == "open")


def test_a_silent_node_neither_accepts_nor_answers() -> None:
    with stand_in_bench(experiment_with_fault("silent", "for = 0.4")) as bench:
        connection = bench.connection()
        bench.run_until(lambda: bench.node_server().listeners[0].state == "mute")
        connection.send_read()
        with pytest.raises(TimeoutError):
            socket.create_connection(("127.0.0.1", bench.node_server().listeners[0].port), timeout=0.1)
        bench.run_for_ms(30)
        assert not connection.received and not connection.ended
        bench.run_until(lambda: bench.node_server().listeners[0].state == "open")
        again = bench.connection()
        again.send_read()
        assert bench.wait_for_answer(again).status == 404


def test_hung_attempts_are_never_answered() -> None:
    with stand_in_bench(experiment_with_fault("hang", "share = 1.0")) as bench:
        connection = bench.connection()
        bench.run_for_ms(80)
        connection.send_read()
        bench.run_for_ms(200)
        assert not connection.received and not connection.ended
        assert bench.simulation.attempts[-1].result is Result.TIMEOUT


def test_resets_happen_before_within_and_after_responses() -> None:
    with stand_in_bench(experiment_with_fault("reset", "share = 0.6")) as bench:
        bench.run_for_ms(80)
        endings = set()
        for _ in range(100):
            connection = bench.connection()
            connection.send_read()
            bench.run_until(lambda connection=connection: connection.ended or connection.answer() is not None)  # type: ignore[misc]
            bench.run_for_ms(4)
            endings.add((_status(connection), connection.ended, connection.broken))
            if len(endings) == 5:
                break
        assert endings == {
            (0, True, True),
            (-1, True, True),
            (0, True, False),  # reset before and within the response; half-close
            (404, True, True),
            (404, False, False),  # reset after the response; no fault
        }


def _status(connection: RawConnection) -> int:
    """Return the status of a complete response; 0 if nothing arrived, -1 if incomplete or malformed."""
    try:
        response = connection.answer()
    except MalformedResponseError:
        return -1
    return response.status if response is not None else -1 if connection.received else 0


def test_the_fault_garbage_sends_malformed_responses() -> None:
    with stand_in_bench(experiment_with_fault("garbage", "share = 1.0")) as bench:
        bench.run_for_ms(80)
        for _ in range(8):
            connection = bench.connection()
            connection.send_read()
            bench.run_until(lambda connection=connection: connection.ended)  # type: ignore[misc]
            assert connection.received and _status(connection) == -1


def test_the_fault_drip_sends_a_response_byte_by_byte() -> None:
    with stand_in_bench(experiment_with_fault("drip", "share = 1.0")) as bench:
        bench.run_for_ms(80)
        connection = bench.connection()
        connection.send_read()
        sizes = set()

        def has_three_bytes() -> bool:
            sizes.add(len(connection.received))
            return len(connection.received) >= 3

        bench.run_until(has_three_bytes)
        assert sizes <= {0, 1, 2, 3} and not connection.ended
        connection.sock.close()
        bench.connections.remove(connection)
        bench.run_until(lambda: bench.simulation.attempts[-1].result is Result.CANCELLED)


def test_a_slow_node_responds_later() -> None:
    with stand_in_bench(experiment_with_fault("slow", "by = 1000.0")) as bench:
        bench.run_for_ms(80)
        connection, begin = bench.connection(), bench.loop.now()
        connection.send_read()
        bench.wait_for_answer(connection)
        assert bench.loop.now() - begin >= 150.0  # 0.2 ms of work


# -------------------------------------------------------------------------------------------------- discovery


def call(bench: StandInBench, connection: RawConnection, query: str) -> dict[str, Any]:
    """Call discovery, and return its answer."""
    connection.send_read(f"/v1/endpoints{query}")
    document: dict[str, Any] = json.loads(bench.wait_for_answer(connection).body)
    return document


def test_discovery_sends_changes_and_records_which_router_is_notified() -> None:
    shrinking = experiment('[[troubles]]\nkind = "shrink"\nat = 0.3\n', {"discovery.delay": 0.05})
    with stand_in_bench(shrinking) as bench:
        discovery_server = bench.simulation.discovery_server
        connection = bench.connection(discovery_server.listeners[0].port)
        full_list = call(bench, connection, "")
        assert full_list["all"] and [row["uid"] for row in full_list["targets"]] == [
            "origin",
            "node-1",
            "node-2",
        ]
        assert [row["model"] for row in full_list["targets"]] == ["origin", "std", "std"]
        no_changes = call(bench, connection, f"?after={full_list['rev']}&wait_ms=20")
        assert (no_changes["rev"], no_changes["all"], no_changes["targets"]) == (full_list["rev"], False, [])
        changes = call(bench, connection, f"?after={full_list['rev']}&wait_ms=2500")
        (row,) = changes["targets"]
        node = bench.node_server(row["uid"]).node
        assert (row["state"], changes["rev"], node.state) == (
            "leaving",
            full_list["rev"] + 1,
            Status.DRAINING,
        )
        assert discovery_server.drain_known_at(0, node.number) is not None
        call(bench, connection, f"?after={full_list['rev']}&wait_ms=0")
        assert discovery_server.drain_known_at(0, node.number) is not None
        discovery_server.record_poll(0, full_list["rev"])  # as by a restarted router with the old list
        assert discovery_server.drain_known_at(0, node.number) is None


def test_the_cached_list_lacks_recently_started_nodes() -> None:
    fleet = [{"count": 1}, {"count": 1, "born": -2.0}]
    with stand_in_bench(experiment("", {"fleet": fleet, "discovery.stale_by": 5.0})) as bench:
        discovery_server = bench.simulation.discovery_server
        cached_list = discovery_server.initial_document(0)
        assert [row["uid"] for row in cached_list["targets"]] == ["origin", "node-1"]
        changes = call(
            bench,
            bench.connection(discovery_server.listeners[0].port),
            f"?after={cached_list['rev']}&wait_ms=1000",
        )
        assert [row["uid"] for row in changes["targets"]] == ["node-2"]
        assert 0 <= time.time() - changes["targets"][0]["boot_ms"] / 1000.0 - 2.0 < 60.0


def test_discovery_refuses_connections_while_down() -> None:
    with stand_in_bench(experiment_with_fault("discovery_down", "for = 0.2")) as bench:
        port = bench.simulation.discovery_server.listeners[0].port
        connection = bench.connection(port)
        bench.run_until(lambda: connection.ended)
        with pytest.raises(ConnectionRefusedError):
            bench.connection(port)
        bench.run_until(lambda: bench.simulation.discovery_server.listeners[0].state == "open")
        assert call(bench, bench.connection(port), "")["all"]


# ---------------------------------------------------------------------------------------------------- clients


class ScriptedRouter:
    """Sends scripted responses to clients, and records their requests."""

    def __init__(self, loop: EventLoop, responses: list[bytes]) -> None:
        self.loop, self.responses = loop, responses
        self.requests_received: list[HttpRequest] = []
        self.request_times: list[float] = []
        self.streams: list[TcpStream] = []
        self.listener = ControllableListener(loop, self._accepted)
        self.listener.set_state("open")

    def _accepted(self, sock: socket.socket) -> None:
        reader = RequestReader()

        def on_ready(mask: int) -> None:
            data = stream.read()
            if not data:
                stream.close()
            for message in reader.feed(data or b""):
                self.requests_received.append(message)
                self.request_times.append(self.loop.now())
                if self.responses:
                    stream.send(self.responses.pop(0))

        stream = TcpStream(self.loop, ResourceBudget(100), sock, on_ready, READ)
        self.streams.append(stream)

    def close(self) -> None:
        """Close all sockets."""
        self.listener.close()
        for stream in self.streams:
            stream.close()


def run_clients(
    experiment: Experiment, responses: list[bytes], count: int
) -> tuple[ScriptedRouter, LiveClients]:
    """Start the first `count` requests at once, and run until they have ended."""
    loop = EventLoop()
    router = ScriptedRouter(loop, responses)
    ends = list[bool]()
    clients = LiveClients(loop, experiment, 1, [router.listener.port], lambda: ends.append(True))
    clients.started_at_ms = loop.now()
    for request in schedule_requests(experiment, 1)[:count]:
        clients.on_request_due(request)
    clients.finish_arrivals()
    end_at = loop.now() + 6_000.0
    while not ends:
        assert loop.now() < end_at
        loop.step(0.01)
    clients.close()
    router.close()
    assert loop.fault_count == 0
    return router, clients


READS: dict[str, Any] = {
    "classes": [{"name": "read", "deadline": 0.4, "aim": 0.3}],
    "traffic.arrivals": "regular",
}
REFUSED = encode_response(503, b"", ((b"Retry-After", b"0.050"),))


def test_a_client_retries_after_the_time_of_retry_after() -> None:
    router, clients = run_clients(experiment("", READS), [REFUSED, encode_response(200)], 1)
    assert [one.header_text(b"req-id") for one in router.requests_received] == ["0.1", "0.2"]
    assert router.request_times[1] - router.request_times[0] >= 50.0
    assert [one.outcome for one in clients.records.tries] == ["refused", "served"]
    assert [one.outcome for one in clients.records.request_ends] == ["in_time"]
    assert len(router.streams) == 1


def test_a_request_without_an_answer_is_recorded_as_failed() -> None:
    _, clients = run_clients(experiment("", READS), [], 1)
    assert [one.outcome for one in clients.records.tries] == ["none"]
    assert [one.outcome for one in clients.records.request_ends] == ["failed"]


def test_clients_disconnect_early_and_use_one_shot_connections() -> None:
    router, clients = run_clients(experiment("", {**READS, "clients.leave": 1.0}), [], 2)
    assert [one.outcome for one in clients.records.request_ends] == ["left", "left"]
    responses = [encode_response(200)] * 3
    router, clients = run_clients(experiment("", {**READS, "clients.one_shot": 1.0}), responses, 3)
    assert len(router.streams) == 3


def test_a_second_answer_is_recorded_as_surplus() -> None:
    _, clients = run_clients(experiment("", READS), [encode_response(200) * 2], 1)
    assert [one.surplus for one in clients.records.tries] == [True]


# ----------------------------------------------------------------------------------------------- whole runs


class ChildProcesses:
    """Records the child processes of a run, as its progress callback."""

    def __init__(self, on_progress: Callable[[], None] = lambda: None) -> None:
        self.pids: set[int] = set()
        self.on_progress = on_progress

    def __call__(self, share: float) -> None:
        children_file = Path(f"/proc/self/task/{os.getpid()}/children")
        self.pids |= set(map(int, children_file.read_text("ascii").split()))
        self.on_progress()

    def running(self) -> list[int]:
        """Return the recorded processes that still run."""
        return [pid for pid in self.pids if Path(f"/proc/{pid}").exists()]


def run_and_check(experiment: Experiment) -> RunResult:
    """Run an experiment, and check that it leaves no process running."""
    children = ChildProcesses()
    run, cost = run_live(experiment, 1, {}, children)
    assert len(children.pids) >= 2 + experiment.routers.count
    assert children.running() == []
    assert cost.requests == sum(window.offered for window in run.windows) > 0
    assert not run.void or any(character.isdigit() for character in run.void)
    assert (run.how, run.policy) == ("live", "rosepick")
    return run


def test_a_run_without_faults() -> None:
    run = run_and_check(experiment())
    assert run.totals["served_share"] >= 0.9
    assert run.broken == []
    assert run.totals["hit_share"] > 0 and run.totals["attempts_per_request"] >= 1
    assert {window.nodes_up for window in run.windows[:-1]} == {2}


def test_killed_routers_owe_nothing() -> None:
    faults = """
    [[troubles]]
    kind = "reload"
    at = 0.3
    [[troubles]]
    kind = "router_kill"
    at = 0.8
    for = 0.4
    """
    run = run_and_check(experiment(faults, {"length": 2.0, "routers.count": 2, "traffic.rate": 120}))
    assert run.broken == []
    assert [(span.kind, span.what) for span in run.troubles] == [
        ("reload", "all routers"),
        ("router_kill", "router-0"),
    ]
    # half of the requests were refused while router-0 was down
    assert sum(window.in_time for window in run.windows) < sum(window.offered for window in run.windows)


def test_an_unexpected_exit_of_a_router_breaks_a_rule(capfd: pytest.CaptureFixture[str]) -> None:
    def kill() -> None:
        for pid in children.pids:
            if not killed and b"serve" in Path(f"/proc/{pid}/cmdline").read_bytes():
                killed.append(pid)
                os.kill(pid, 9)

    killed = list[int]()
    children = ChildProcesses(kill)
    run, _ = run_live(experiment("", {**READS, "length": 0.6, "traffic.rate": 20}), 1, {}, children)
    assert [(one.node, one.text) for one in run.broken if not one.request] == [
        ("router-0", "ended unexpectedly with status -9")
    ]
    assert "event=serving" in capfd.readouterr().err
    assert children.running() == []


def test_a_run_that_is_interrupted_leaves_no_process_running() -> None:
    def interrupt() -> None:
        raise KeyboardInterrupt

    children = ChildProcesses(interrupt)
    begin = time.monotonic()
    with pytest.raises(KeyboardInterrupt):
        run_live(experiment("", {"length": 60.0}), 1, {}, children)
    assert children.pids and children.running() == []
    assert time.monotonic() - begin < 30.0


def test_the_error_of_a_failed_helper_contains_its_log(tmp_path: Path) -> None:
    helper = HelperProcess("stand_ins", tmp_path / "log", {})
    helper.process.kill()
    (tmp_path / "log").write_text("event=last_words\n")
    with pytest.raises(HelperProcessError, match="(?s)stand_ins.*last_words"):
        helper.receive(5.0)
    helper.stop()
