"""The live runner: its parts by themselves, each fault of sockets once, and short runs with real routers."""

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


def experiment(more: str = "", changes: dict[str, Any] | None = None) -> Experiment:
    """A small experiment."""
    return parse_experiment(BASE + more, "test", changes)


# ------------------------------------------------------------------------------------------------- its parts

TWO = (
    b"PUT /api/k1 HTTP/1.1\r\nReq-Id: 7.1\r\nIdempotency-Key: a\r\nContent-Length: 5\r\n\r\nhello"
    b"GET /api/k2 HTTP/1.1\r\nreq-id: 8.1\r\nConnection: close\r\n\r\n"
)


@given(st.lists(st.integers(0, len(TWO)), max_size=6))
def test_requests_are_read_at_any_split(cuts: list[int]) -> None:
    reader, found = RequestReader(), list[HttpRequest]()
    edges = [0, *sorted(cuts), len(TWO)]
    for begin, end in zip(edges, edges[1:], strict=False):
        found += reader.feed(TWO[begin:end])
    assert [
        (one.method, one.target, one.header_text(b"req-id"), one.body, one.keep_alive) for one in found
    ] == [
        (b"PUT", b"/api/k1", "7.1", b"hello", True),
        (b"GET", b"/api/k2", "8.1", b"", False),
    ]
    assert not reader.is_in_request


def test_routers_are_told_what_simulated_ones_are() -> None:
    given = experiment('tenants = [{name = "acme", share = 3}, {name = "beta"}]\nzones = ["a", "b"]')
    router = RouterInstance("router-1", "127.0.0.1:1", "127.0.0.1:2", {"rev": 1, "all": True}, position=1)
    document = router_config_document(given, router)
    found = config.read(json.loads(json.dumps(document)))
    assert found.settings == router_settings_for(given, 1, 1)
    assert list(found.names.classes) == ["read", "set"] and list(found.names.tenants) == ["acme", "beta"]


def test_traffic_troubles_count_in_requests_drawn_ahead() -> None:
    usual = schedule_requests(experiment(), 1)
    surged = schedule_requests(experiment('[[troubles]]\nkind = "surge"\nat = 1\nfor = 1\nby = 10'), 1)
    assert [one for one in usual if one.due_ms < 950] == [one for one in surged if one.due_ms < 950]
    count = sum(1000 <= one.due_ms < 2000 for one in surged)
    assert count > 5 * sum(1000 <= one.due_ms < 2000 for one in usual)


def test_a_late_run_says_by_how_much() -> None:
    assert Lateness.from_samples([1.0] * 100).void_reason("it was") == ""
    assert "p99 30.0 ms" in Lateness.from_samples([30.0] * 100).void_reason("it was")
    assert "longest 300 ms" in Lateness.from_samples([1.0] * 200 + [300.0]).void_reason("it was")


# -------------------------------------------------------------------------------------------------- the rules


def sent(
    begin: float, end: float, result: Result = Result.MISS, drain_known_since: float | None = None
) -> NodeAttemptRecord:
    """An attempt of the request 5.1."""
    return NodeAttemptRecord("5.1", 7, "node-1", 0, 0, begin, drain_known_since, end, result)


def tried(outcome: str = "served", ended: float = 150.0, klass: int = 0, again: bool = False) -> TryRecord:
    """The try 5.1, sent at 100."""
    return TryRecord("5.1", 0, klass, 2600.0 if klass else 1300.0, 100.0, ended, outcome, again)


SET = 1  # place of a class that is dropped for 1.5 s
BREACHES: dict[str, tuple[list[NodeAttemptRecord], TryRecord, str, str, float]] = {
    "never": ([], tried("none", 2300.0), "answered", "no answer by 1000 ms", 2.3),
    "late": ([sent(101, 1355)], tried("served", 1360.0), "answered", "60 ms late", 1.36),
    "twice": ([], tried("failed", again=True), "answered", "twice", 0.15),
    "broken off": ([], tried("broke"), "answered", "connection ended 50.0 ms after", 0.15),
    "after the answer": ([sent(101, 120), sent(190, 200)], tried(), "effect", "after the final answer", 0.19),
    "at one time": ([sent(101, 140), sent(130, 140)], tried(), "effect", "another attempt was out", 0.13),
    "too many": ([sent(101 + n, 101.5 + n) for n in range(6)], tried(), "effect", "attempt 6 of 5", 0.106),
    "window": (
        [sent(101, 110, Result.ERROR), sent(1700, 1710, Result.OK)],
        tried("served", 1711, SET),
        "effect",
        "1599 ms after",
        1.7,
    ),
    "drains": (
        [sent(901, 910, drain_known_since=100.0)],
        tried("served", 911),
        "drains",
        "801 ms after",
        0.901,
    ),
}


@pytest.mark.parametrize("name", BREACHES)
def test_each_breach_is_named(name: str) -> None:
    attempts, one, rule, text, at = BREACHES[name]
    measure = Measure(experiment())
    check_rules(measure, RunObservations(attempts, [one]))
    assert [(broken.rule, broken.request) for broken in measure.violations] == [(rule, "5.1")]
    broken = measure.violations[0]
    assert broken.at == pytest.approx(at) and text in broken.text
    assert broken.node == ("router-0" if rule == "answered" else "node-1")


def test_what_is_right_breaks_nothing() -> None:
    measure = Measure(experiment())
    right = [sent(101, 120), sent(121, 149, Result.OK), sent(140.0, 141.0)]
    right[-1].request_id = "6.1"
    tries = [tried(), tried("left"), tried("crossed"), tried("refused")]
    check_rules(measure, RunObservations(right, tries))
    check_rules(measure, RunObservations([sent(849, 860, drain_known_since=100.0)], [tried("served", 870.0)]))
    held_at_its_death = RouterDowntime(0, 140.0, 151.0)
    check_rules(measure, RunObservations([], [tried("broke")], [held_at_its_death]))
    assert measure.violations == []
    check_rules(measure, RunObservations([], [tried("broke")], [RouterDowntime(1, 140.0, 151.0)]))
    assert len(measure.violations) == 1


@pytest.mark.parametrize("falls_at", [0.0005, 0.0008])  # by the connection, or by the request on it
def test_a_cold_node_that_is_pushed_over_is_named(falls_at: float) -> None:
    fleet = [{"count": 1, "born": 0.0, "falls_at": falls_at}]
    with stand_in_bench(experiment("", {"fleet": fleet})) as bench:
        connection = bench.connection()
        connection.ask()
        bench.until(lambda: connection.broken)
        (broken,) = bench.simulation.measure.violations
        assert (broken.rule, broken.node) == ("cold", "node-1")
        assert bench.refuses()


# ------------------------------------------------------------------------------------------- stand-ins'
# faults


class RawConnection:
    """A plain client's connection."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        self.sock.setblocking(False)
        self.seen, self.ended, self.broken, self.asked = b"", False, False, 0

    def ask(self, target: str = "/api/k1", headers: str = "Req-Id: x.{}\r\n") -> None:
        """Send a read."""
        self.asked += 1
        self.sock.sendall(f"GET {target} HTTP/1.1\r\n{headers.format(self.asked)}\r\n".encode())

    def pull(self) -> None:
        """Take in what has come."""
        with contextlib.suppress(BlockingIOError):
            try:
                while not self.ended:
                    data = self.sock.recv(65536)
                    self.seen += data
                    self.ended = not data
            except ConnectionError:
                self.ended = self.broken = True

    def answer(self) -> Response | None:
        """The whole answer, if it is one. Raises BadAnswer."""
        return ResponseReader(1 << 20).feed(self.seen) if self.seen else None


class StandInBench:
    """Stand-ins in this process, and plain clients."""

    def __init__(self, given: Experiment) -> None:
        self.loop = EventLoop()
        self.simulation = LiveSimulation(self.loop, given, 1, Measure(given))
        self.connections: list[RawConnection] = []
        self.simulation.open()
        self.begin = self.loop.now()
        self.simulation.start_at(self.begin)
        self.for_ms(5)

    def node_server(self, kind: str = "node-1") -> NodeServer:
        """One of the stand-ins."""
        return next(one for one in self.simulation.node_servers.values() if one.node.uid == kind)

    def connection(self, port: int | None = None) -> RawConnection:
        """A connection to a node, or elsewhere."""
        self.connections.append(RawConnection(port or self.node_server().listeners[0].port))
        return self.connections[-1]

    def refuses(self) -> bool:
        """Whether a node refuses connections."""
        with contextlib.suppress(ConnectionRefusedError):
            self.connection()
            return False
        return True

    def step(self) -> None:
        self.loop.step(0.002)
        for connection in self.connections:
            connection.pull()

    def for_ms(self, span: float) -> None:
        until = self.loop.now() + span
        while self.loop.now() < until:
            self.step()

    def until(self, holds: Callable[[], bool], within: float = 3_000.0) -> None:
        until = self.loop.now() + within
        while not holds():
            assert self.loop.now() < until
            self.step()

    def wait_for_answer(self, connection: RawConnection) -> Response:
        """Wait for a whole answer."""
        self.until(lambda: connection.answer() is not None)
        found = connection.answer()
        assert found is not None
        connection.seen = b""
        return found


@contextlib.contextmanager
def stand_in_bench(given: Experiment) -> Iterator[StandInBench]:
    """Stand-ins that are closed at the end."""
    made = StandInBench(given)
    try:
        yield made
    finally:
        made.simulation.close()
        for connection in made.connections:
            connection.sock.close()
    assert made.loop.fault_count == 0


def experiment_with_fault(kind: str, more: str = "") -> Experiment:
    """One that begins after 60 ms."""
    return experiment(f'[[troubles]]\nkind = "{kind}"\nat = 0.06\n{more}', ONE_NODE)


def test_a_node_misses_until_the_origin_has_answered() -> None:
    with stand_in_bench(experiment("", ONE_NODE)) as bench:
        node, origin = bench.connection(), bench.connection(bench.node_server("origin").listeners[0].port)
        node.ask()
        missed = bench.wait_for_answer(node)
        assert (missed.status, missed.headers[b"srv-cache"]) == (404, b"miss")
        origin.ask()
        assert bench.wait_for_answer(origin).body == b"v" * 300
        node.ask()
        hit = bench.wait_for_answer(node)
        assert (hit.status, hit.headers[b"srv-cache"], hit.body) == (200, b"hit", b"v" * 300)
        node.ask(headers="")
        assert bench.wait_for_answer(node).status == 400


def test_idle_connections_are_closed() -> None:
    with stand_in_bench(experiment("", ONE_NODE)) as bench:
        connection = bench.connection()
        connection.ask()
        bench.wait_for_answer(connection)
        bench.node_server().close_idle(bench.simulation.real_time_kernel.now() + 14_000.0)
        bench.for_ms(10)
        assert not connection.ended
        bench.node_server().close_idle(bench.simulation.real_time_kernel.now() + 15_000.0)
        bench.until(lambda: connection.ended)
        assert not connection.broken


def test_repeats_of_a_keyed_write_are_dropped_within_window_and_group() -> None:
    with stand_in_bench(experiment("", {"zones": ["a", "b"]})) as bench:
        one, other = bench.node_server("node-1").node, bench.node_server("node-2").node
        klass = bench.simulation.experiment.classes[SET].model_copy(update={"group": "zone"})
        repeats = WriteDeduplicator()
        assert not repeats.is_repeat("k", klass, one, 0.0)
        assert repeats.is_repeat("k", klass, one, 1_499.0)
        assert not repeats.is_repeat("k", klass, other, 100.0)  # of another zone
        assert not repeats.is_repeat("k", klass, one, 1_700.0)
        assert not repeats.is_repeat("", klass, one, 1_700.0)


def test_too_many_connections_are_declined() -> None:
    with stand_in_bench(experiment("", {"fleet": [{"count": 1, "connections": 1}]})) as bench:
        one, other = bench.connection(), bench.connection()
        bench.for_ms(10)
        one.ask()
        other.ask()
        answers = {bench.wait_for_answer(connection).status: connection for connection in (one, other)}
        assert set(answers) == {404, 503}
        answers[503].sock.close()
        bench.until(lambda: len(bench.node_server().connections) == 1)
        another = bench.connection()  # one that was declined frees no place as it ends
        another.ask()
        assert bench.wait_for_answer(another).status == 503


@pytest.mark.parametrize("kind", ["stop", "restart"])
def test_a_process_that_ends_resets_and_refuses(kind: str) -> None:
    with stand_in_bench(experiment_with_fault(kind, "for = 0.2\ndown = 0.2")) as bench:
        connection = bench.connection()
        bench.until(lambda: connection.broken)
        assert bench.refuses()
        bench.until(lambda: bench.node_server().listeners[0].state == "open")
        again = bench.connection()
        again.ask()
        assert bench.wait_for_answer(again).status == 404


def test_troubles_of_one_kind_may_overlap() -> None:
    two = "".join(
        f'[[troubles]]\nkind = "{kind}"\nat = 0.02\nfor = {last}\nshare = {share}\nnodes = 1\n'
        for kind in ("refuse", "garbage")
        for last, share in ((0.1, 0.9), (0.4, 0.1))
    )
    with stand_in_bench(experiment(two, ONE_NODE)) as bench:
        node_server = bench.node_server()
        bench.until(lambda: node_server.refusal_count == 2)
        assert max(node_server.garbage_shares) == 0.9
        bench.until(lambda: node_server.refusal_count == 1)
        assert node_server.garbage_shares == [0.1] and bench.refuses()
        bench.until(lambda: node_server.refusal_count == 0)
        assert node_server.garbage_shares == []


def test_a_refusing_node_keeps_its_connections() -> None:
    with stand_in_bench(experiment_with_fault("refuse", "for = 0.3")) as bench:
        connection = bench.connection()
        bench.until(bench.refuses)
        connection.ask()
        assert bench.wait_for_answer(connection).status == 404
        bench.until(lambda: bench.node_server().listeners[0].state == "open")


def test_a_silent_node_neither_accepts_nor_answers() -> None:
    with stand_in_bench(experiment_with_fault("silent", "for = 0.4")) as bench:
        connection = bench.connection()
        bench.until(lambda: bench.node_server().listeners[0].state == "mute")
        connection.ask()
        with pytest.raises(TimeoutError):
            socket.create_connection(("127.0.0.1", bench.node_server().listeners[0].port), timeout=0.1)
        bench.for_ms(30)
        assert not connection.seen and not connection.ended
        bench.until(lambda: bench.node_server().listeners[0].state == "open")
        again = bench.connection()
        again.ask()
        assert bench.wait_for_answer(again).status == 404


def test_hung_attempts_are_never_answered() -> None:
    with stand_in_bench(experiment_with_fault("hang", "share = 1.0")) as bench:
        connection = bench.connection()
        bench.for_ms(80)
        connection.ask()
        bench.for_ms(200)
        assert not connection.seen and not connection.ended
        assert bench.simulation.attempts[-1].result is Result.TIMEOUT


def test_resets_come_before_within_and_after_answers() -> None:
    with stand_in_bench(experiment_with_fault("reset", "share = 0.6")) as bench:
        bench.for_ms(80)
        seen = set()
        for _ in range(100):
            connection = bench.connection()
            connection.ask()
            bench.until(lambda connection=connection: connection.ended or connection.answer() is not None)  # type: ignore[misc]
            bench.for_ms(4)
            seen.add((_status(connection), connection.ended, connection.broken))
            if len(seen) == 5:
                break
        assert seen == {
            (0, True, True),
            (-1, True, True),
            (0, True, False),  # before and within the answer; half a close
            (404, True, True),
            (404, False, False),  # after the answer; and one that goes well
        }


def _status(connection: RawConnection) -> int:
    """Of a whole answer; 0 if nothing came, -1 if a part did, or no answer."""
    try:
        found = connection.answer()
    except MalformedResponseError:
        return -1
    return found.status if found is not None else -1 if connection.seen else 0


def test_garbage_is_no_answer() -> None:
    with stand_in_bench(experiment_with_fault("garbage", "share = 1.0")) as bench:
        bench.for_ms(80)
        for _ in range(8):
            connection = bench.connection()
            connection.ask()
            bench.until(lambda connection=connection: connection.ended)  # type: ignore[misc]
            assert connection.seen and _status(connection) == -1


def test_a_dripping_answer_comes_byte_by_byte() -> None:
    with stand_in_bench(experiment_with_fault("drip", "share = 1.0")) as bench:
        bench.for_ms(80)
        connection = bench.connection()
        connection.ask()
        sizes = set()

        def three() -> bool:
            sizes.add(len(connection.seen))
            return len(connection.seen) >= 3

        bench.until(three)
        assert sizes <= {0, 1, 2, 3} and not connection.ended
        connection.sock.close()
        bench.connections.remove(connection)
        bench.until(lambda: bench.simulation.attempts[-1].result is Result.CANCELLED)


def test_a_slow_node_takes_longer() -> None:
    with stand_in_bench(experiment_with_fault("slow", "by = 1000.0")) as bench:
        bench.for_ms(80)
        connection, begin = bench.connection(), bench.loop.now()
        connection.ask()
        bench.wait_for_answer(connection)
        assert bench.loop.now() - begin >= 150.0  # 0.2 ms of work


# -------------------------------------------------------------------------------------------------- discovery


def call(bench: StandInBench, connection: RawConnection, query: str) -> dict[str, Any]:
    """Ask discovery, and wait for its answer."""
    connection.ask(f"/v1/endpoints{query}")
    found: dict[str, Any] = json.loads(bench.wait_for_answer(connection).body)
    return found


def test_discovery_tells_changes_and_knows_whom() -> None:
    given = experiment('[[troubles]]\nkind = "shrink"\nat = 0.3\n', {"discovery.delay": 0.05})
    with stand_in_bench(given) as bench:
        listing = bench.simulation.discovery_server
        connection = bench.connection(listing.listeners[0].port)
        whole = call(bench, connection, "")
        assert whole["all"] and [row["uid"] for row in whole["targets"]] == ["origin", "node-1", "node-2"]
        assert [row["model"] for row in whole["targets"]] == ["origin", "std", "std"]
        nothing = call(bench, connection, f"?after={whole['rev']}&wait_ms=20")
        assert (nothing["rev"], nothing["all"], nothing["targets"]) == (whole["rev"], False, [])
        news = call(bench, connection, f"?after={whole['rev']}&wait_ms=2500")
        (row,) = news["targets"]
        node = bench.node_server(row["uid"]).node
        assert (row["state"], news["rev"], node.state) == ("leaving", whole["rev"] + 1, Status.DRAINING)
        assert listing.drain_known_at(0, node.number) is not None
        call(bench, connection, f"?after={whole['rev']}&wait_ms=0")
        assert listing.drain_known_at(0, node.number) is not None
        listing.record_poll(0, whole["rev"])  # as by a router that started anew, with the old list
        assert listing.drain_known_at(0, node.number) is None


def test_a_stale_list_lacks_what_is_young() -> None:
    fleet = [{"count": 1}, {"count": 1, "born": -2.0}]
    with stand_in_bench(experiment("", {"fleet": fleet, "discovery.stale_by": 5.0})) as bench:
        listing = bench.simulation.discovery_server
        held = listing.initial_document(0)
        assert [row["uid"] for row in held["targets"]] == ["origin", "node-1"]
        news = call(bench, bench.connection(listing.listeners[0].port), f"?after={held['rev']}&wait_ms=1000")
        assert [row["uid"] for row in news["targets"]] == ["node-2"]
        assert 0 <= time.time() - news["targets"][0]["boot_ms"] / 1000.0 - 2.0 < 60.0


def test_discovery_goes_down() -> None:
    with stand_in_bench(experiment_with_fault("discovery_down", "for = 0.2")) as bench:
        port = bench.simulation.discovery_server.listeners[0].port
        connection = bench.connection(port)
        bench.until(lambda: connection.ended)
        with pytest.raises(ConnectionRefusedError):
            bench.connection(port)
        bench.until(lambda: bench.simulation.discovery_server.listeners[0].state == "open")
        assert call(bench, bench.connection(port), "")["all"]


# ---------------------------------------------------------------------------------------------------- clients


class Router:
    """A router that says what a test wants."""

    def __init__(self, loop: EventLoop, says: list[bytes]) -> None:
        self.loop, self.says = loop, says
        self.heard: list[HttpRequest] = []
        self.when: list[float] = []
        self.streams: list[TcpStream] = []
        self.door = ControllableListener(loop, self._accepted)
        self.door.set_state("open")

    def _accepted(self, sock: socket.socket) -> None:
        reader = RequestReader()

        def ready(mask: int) -> None:
            data = stream.read()
            if not data:
                stream.close()
            for message in reader.feed(data or b""):
                self.heard.append(message)
                self.when.append(self.loop.now())
                if self.says:
                    stream.send(self.says.pop(0))

        stream = TcpStream(self.loop, ResourceBudget(100), sock, ready, READ)
        self.streams.append(stream)

    def close(self) -> None:
        """Close its sockets."""
        self.door.close()
        for stream in self.streams:
            stream.close()


def clients_of(given: Experiment, says: list[bytes], count: int) -> tuple[Router, LiveClients]:
    """Let so many requests come at once, and play until they have their ends."""
    loop = EventLoop()
    router = Router(loop, says)
    ends = list[bool]()
    clients = LiveClients(loop, given, 1, [router.door.port], lambda: ends.append(True))
    clients.started_at_ms = loop.now()
    for request in schedule_requests(given, 1)[:count]:
        clients.on_request_due(request)
    clients.finish_arrivals()
    until = loop.now() + 6_000.0
    while not ends:
        assert loop.now() < until
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


def test_a_client_comes_back_when_it_was_told_to() -> None:
    router, clients = clients_of(experiment("", READS), [REFUSED, encode_response(200)], 1)
    assert [one.header_text(b"req-id") for one in router.heard] == ["0.1", "0.2"]
    assert router.when[1] - router.when[0] >= 50.0
    assert [one.outcome for one in clients.records.tries] == ["refused", "served"]
    assert [one.outcome for one in clients.records.request_ends] == ["in_time"]
    assert len(router.streams) == 1


def test_a_client_without_an_answer_says_so() -> None:
    _, clients = clients_of(experiment("", READS), [], 1)
    assert [one.outcome for one in clients.records.tries] == ["none"]
    assert [one.outcome for one in clients.records.request_ends] == ["failed"]


def test_clients_leave_and_hold_connections() -> None:
    router, clients = clients_of(experiment("", {**READS, "clients.leave": 1.0}), [], 2)
    assert [one.outcome for one in clients.records.request_ends] == ["left", "left"]
    says = [encode_response(200)] * 3
    router, clients = clients_of(experiment("", {**READS, "clients.one_shot": 1.0}), says, 3)
    assert len(router.streams) == 3


def test_an_answer_too_many_is_noticed() -> None:
    _, clients = clients_of(experiment("", READS), [encode_response(200) * 2], 1)
    assert [one.surplus for one in clients.records.tries] == [True]


# --------------------------------------------------------------------------------------------------- whole
# runs


class Children:
    """Notes which processes a run has."""

    def __init__(self, then: Callable[[], None] = lambda: None) -> None:
        self.pids: set[int] = set()
        self.then = then

    def __call__(self, part: float) -> None:
        me = Path(f"/proc/self/task/{os.getpid()}/children")
        self.pids |= set(map(int, me.read_text("ascii").split()))
        self.then()

    def left(self) -> list[int]:
        """Those that still run."""
        return [pid for pid in self.pids if Path(f"/proc/{pid}").exists()]


def played(given: Experiment) -> RunResult:
    """Play it; nothing may be left running."""
    children = Children()
    run, cost = run_live(given, 1, {}, children)
    assert len(children.pids) >= 2 + given.routers.count
    assert children.left() == []
    assert cost.requests == sum(window.offered for window in run.windows) > 0
    assert not run.void or any(sign.isdigit() for sign in run.void)
    assert (run.how, run.policy) == ("live", "rosepick")
    return run


def test_a_calm_run() -> None:
    run = played(experiment())
    assert run.totals["served_share"] >= 0.9
    assert run.broken == []
    assert run.totals["hit_share"] > 0 and run.totals["attempts_per_request"] >= 1
    assert {window.nodes_up for window in run.windows[:-1]} == {2}


def test_killed_routers_owe_nothing() -> None:
    more = """
    [[troubles]]
    kind = "reload"
    at = 0.3
    [[troubles]]
    kind = "router_kill"
    at = 0.8
    for = 0.4
    """
    run = played(experiment(more, {"length": 2.0, "routers.count": 2, "traffic.rate": 120}))
    assert run.broken == []
    assert [(span.kind, span.what) for span in run.troubles] == [
        ("reload", "all routers"),
        ("router_kill", "router-0"),
    ]
    # half of the requests found nobody while it was down
    assert sum(window.in_time for window in run.windows) < sum(window.offered for window in run.windows)


def test_a_router_that_dies_unasked_breaks_a_rule(capfd: pytest.CaptureFixture[str]) -> None:
    def kill() -> None:
        for pid in children.pids:
            if not killed and b"serve" in Path(f"/proc/{pid}/cmdline").read_bytes():
                killed.append(pid)
                os.kill(pid, 9)

    killed = list[int]()
    children = Children(kill)
    run, _ = run_live(experiment("", {**READS, "length": 0.6, "traffic.rate": 20}), 1, {}, children)
    assert [(one.node, one.text) for one in run.broken if not one.request] == [
        ("router-0", "ended unexpectedly with status -9")
    ]
    assert "event=serving" in capfd.readouterr().err
    assert children.left() == []


def test_nothing_is_left_of_a_run_that_is_stopped() -> None:
    def stop() -> None:
        raise KeyboardInterrupt

    children = Children(stop)
    begin = time.monotonic()
    with pytest.raises(KeyboardInterrupt):
        run_live(experiment("", {"length": 60.0}), 1, {}, children)
    assert children.pids and children.left() == []
    assert time.monotonic() - begin < 30.0


def test_a_helper_that_fails_shows_its_log(tmp_path: Path) -> None:
    helper = HelperProcess("stand_ins", tmp_path / "log", {})
    helper.process.kill()
    (tmp_path / "log").write_text("event=last_words\n")
    with pytest.raises(HelperProcessError, match="(?s)stand_ins.*last_words"):
        helper.receive(5.0)
    helper.stop()
