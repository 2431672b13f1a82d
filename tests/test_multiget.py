"""Batches of reads: parsing, order and identity of the items, limits, memory, and the end of a batch."""

from __future__ import annotations

import contextlib
import json
import os
import re
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from rosepick.cli import check
from rosepick.http.batch_protocol import (
    BatchRequest,
    BatchResponseError,
    BatchServerProtocol,
    encode_entry,
    encode_trailer,
    parse_entries,
)
from rosepick.http.request_messages import RequestRejected
from rosepick.net.batch_connection import BatchDownstreamConnection
from rosepick.net.batch_scheduler import BatchItemScheduler
from rosepick.settings import operator_file
from rosepick.settings.config import NameIndexes
from rosepick.settings.operator_file import OperatorOptions

from .scenario import SETTINGS, Scenario, ScenarioConnection, target

ROOT = Path(__file__).parent.parent
MIB = 1024 * 1024
NAMES = NameIndexes({"read": 0}, {"acme": 0}, {}, {})
HEAD = b"Req-Kind: read\r\nReq-Owner: acme\r\nReq-Deadline: 1.0\r\n"


def unchunked(data: bytes) -> bytes | None:
    """Return the body of a chunked response, or None while it is incomplete."""
    head, _, rest = data.partition(b"\r\n\r\n")
    if b"Transfer-Encoding: chunked" not in head:
        raise AssertionError(data[:500])
    body = b""
    while (offset := rest.find(b"\r\n")) >= 0:
        size = int(rest[:offset], 16)
        if len(rest) < offset + 2 + size + 2:
            return None
        if not size:
            return body
        body, rest = body + rest[offset + 2 : offset + 2 + size], rest[offset + 2 + size + 2 :]
    return None


class BatchParsingTest(unittest.TestCase):
    def read(self, body: bytes, head: bytes = HEAD, first: bytes = b"POST /mget HTTP/1.1") -> object:
        protocol = BatchServerProtocol(lambda: NAMES, lambda: 3)
        protocol.feed(b"%b\r\n%bContent-Length: %d\r\n\r\n%b" % (first, head, len(body), body), 500.0)
        return protocol.next_message()

    def test_a_batch_is_parsed(self) -> None:
        batch = BatchRequest((b"m-1", b"a%20b", b"c"), b"read", b"acme", 1500.0)
        self.assertEqual(self.read(b"m-1\na%20b\r\n\nc"), batch)

    def test_malformed_bodies_are_rejected_with_the_line(self) -> None:
        for body, reason in (
            (b"", "no keys"),
            (b"\n\r\n", "no keys"),
            (b"a\nb\na\n", "line 3 repeats the key of line 1"),
            (b"a\nb\nc\nd", "more than 3 keys"),
            (b"a\nb/c", "line 2 is no key"),
            *(
                (key, "line 1 is no key")
                for key in (b"a b", b"a?b", b"a%2", b"..", b"a\rb", b"\xc3\xa9", b"k" * 2049)
            ),
        ):
            self.assertEqual(self.read(body), RequestRejected(400, reason), body)

    def test_invalid_headers_and_paths_are_rejected(self) -> None:
        for head, status in (
            (HEAD.replace(b"Req-Kind: read\r\n", b""), 400),
            (HEAD.replace(b"read", b"other"), 400),
            (HEAD.replace(b"Req-Owner: acme\r\n", b""), 400),
            (HEAD.replace(b"1.0", b"soon"), 400),
            (HEAD.replace(b"Req-Deadline: 1.0\r\n", b""), 400),
            (HEAD + b"Req-Kind: read\r\n", 400),
        ):
            read = self.read(b"a", head)
            assert isinstance(read, RequestRejected)
            self.assertEqual(read.status, status, head)
        for first, status in ((b"POST /api/k HTTP/1.1", 404), (b"PUT /mget HTTP/1.1", 405)):
            read = self.read(b"a", HEAD, first)
            assert isinstance(read, RequestRejected)
            self.assertEqual(read.status, status)

    def test_a_body_that_is_too_long_is_rejected(self) -> None:
        read = self.read(b"k" * 70_000)
        assert isinstance(read, RequestRejected)
        self.assertEqual(read.status, 413)

    def test_entries_round_trip_and_truncated_responses_are_incomplete(self) -> None:
        entries = [
            (b"a", b"1", 200, b"x\ny"),
            (b"partial:", b"2", 504, b""),
            (b"c", b"3", 200, b"partial: 1"),
        ]
        data = b"".join(b"".join(encode_entry(*entry)) for entry in entries) + encode_trailer(1, 3)
        self.assertTrue(data.startswith(b"a 1 200 3\nx\ny\npartial: 2 504 0\n\nc 3 200 10\n"))
        self.assertEqual(list(parse_entries(data)), entries)
        for cut in range(len(data)):
            with self.subTest(cut), contextlib.suppress(BatchResponseError):
                self.assertLess(len(list(parse_entries(data[:cut]))), 2)  # some complete entries, but not all


class Batches(Scenario):
    """Runs a router with a batch listener for the clients b...; `serve` sends the responses of upstreams."""

    nodes = ("s1", "s2", "origin")
    conf = ""

    def setUp(self) -> None:
        super().setUp()
        self.requests: list[tuple[str, str, str]] = []  # node, key, id
        self.sizes: dict[str, int] = {}

    def operators(self) -> OperatorOptions:
        return OperatorOptions(
            operator_file.read(f"multiget_listen 0\n{self.conf}\n".encode(), "rosepick.conf")
        )

    @property
    def scheduler(self) -> BatchItemScheduler:
        assert self.server.batch_listener is not None
        return self.server.batch_listener.scheduler

    def wire(self, actor: str) -> ScenarioConnection:
        if not self.wires.get(actor) and actor.startswith("b"):
            assert self.server.batch_listener is not None
            self.wires[actor] = [
                ScenarioConnection(
                    socket.create_connection(self.server.batch_listener.listen_socket.sock.getsockname())
                )
            ]
            self.wires[actor][0].seen = bytearray()  # responses can be large
        return super().wire(actor)

    def batch(self, actor: str, keys: list[str], wait: str = "3.000") -> None:
        """Send a batch; `wait` is the Req-Deadline in seconds."""
        body = "\n".join(keys)
        self.put(
            actor,
            (
                f"POST /mget HTTP/1.1\r\nReq-Kind: read\r\nReq-Owner: acme\r\nReq-Deadline: {wait}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode(),
        )

    def serve(self) -> None:
        """Answer the requests that each upstream received."""
        self.step()
        for name in self.nodes:
            for wire in self.wires[name]:
                while (message := wire.message()) is not None:
                    match = re.match(r"GET /api/(\S+) .*Req-Id: (\S+)\r\n", message, re.S)
                    assert match is not None, message
                    self.requests.append((name, match[1], match[2]))
                    body = "v" * self.sizes.get(match[1], 5)
                    data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
                    while data:
                        try:
                            data = data[wire.sock.send(data) :]
                        except BlockingIOError:
                            self.loop.step(0)

    def read_entries(self, actor: str, serving: bool = True) -> list[tuple[str, str, int, int]]:
        """Return the key, id, status and body length of each entry of the response to a batch."""
        for _ in range(3000):
            if serving:
                self.serve()
            else:
                self.step()
            wire = self.wires[actor][-1]
            if wire.seen.endswith(b"0\r\n\r\n") and (body := unchunked(wire.seen)) is not None:
                wire.seen = bytearray()
                self.body = body
                return [(k.decode(), i.decode(), s, len(b)) for k, i, s, b in parse_entries(body)]
        self.fail(f"no complete response, but {self.wires[actor][-1].seen[:500]!r}")

    def assert_nothing_left(self) -> None:
        self.assertEqual(
            (self.server.budget.buffered_bytes, self.scheduler.batches, self.scheduler.idle), (0, {}, [])
        )
        self.assertEqual(self.server.listener.open_request_ids, set())


class BatchServingTest(Batches):
    def test_items_are_served_in_order_each_by_a_get_with_its_own_id(self) -> None:
        keys = [f"m-{n:06d}" for n in range(40)]
        self.batch("b1", keys)
        entries = self.read_entries("b1")
        self.assertEqual([key for key, *_ in entries], keys)
        self.assertEqual({status for _, _, status, _ in entries}, {200})
        self.assertEqual(len({req_id for _, req_id, *_ in entries}), 40)
        self.assertEqual({(key, req_id) for _, key, req_id in self.requests}, {row[:2] for row in entries})
        self.assertNotIn(b"partial", self.body)
        self.assertEqual(self.server.engine.counts["requests"], 40)
        self.assert_nothing_left()

    def test_a_stopped_node_causes_no_repeated_request_id(self) -> None:
        self.batch("b1", ["first"])
        self.read_entries("b1")
        ((stopped, _, first),) = self.requests
        self.play(f"{stopped} refuse\n{stopped} close")
        keys = [f"m-{n}" for n in range(30)]
        self.batch("b1", keys)
        entries = self.read_entries("b1")
        failed = [row for row in entries if row[2] != 200]
        self.assertEqual([key for key, *_ in entries], keys)
        self.assertLess(len(failed), 30)
        self.assertGreater(self.server.engine.counts["attempt_connect_failed"], 0)
        self.assertEqual(self.server.engine.counts["attempt_invalid"], 0)
        written = {first, *(req_id for _, req_id, *_ in entries)}
        self.assertTrue({req_id for _, _, req_id in self.requests} <= written)
        last = f"partial: {len(failed)} of 30 not served\n".encode() if failed else b"\n"
        self.assertTrue(self.body.endswith(last))
        self.assert_nothing_left()

    def test_connections_are_reused_within_a_batch_and_closed_after_it(self) -> None:
        self.batch("b1", [f"k{n}" for n in range(60)])
        max_connections = 0
        for _ in range(400):
            self.serve()
            max_connections = max(max_connections, len(self.server.listener.connections))
        self.assertLessEqual(max_connections, 1 + 8)
        self.assertEqual(len(self.server.listener.connections), 1)

    def test_batches_on_one_connection_are_answered_in_order(self) -> None:
        self.batch("b1", ["a", "b"])
        self.batch("b1", ["c"])
        for _ in range(50):
            self.serve()
        first, second = self.wires["b1"][0].seen.split(b"HTTP/1.1 200 OK")[1:]
        self.assertIn(b"b ", unchunked(first) or b"")
        self.assertTrue((unchunked(second) or b"").startswith(b"c "))

    def test_a_response_that_announces_a_close_is_the_last(self) -> None:
        """When the policy asks for a close, a response closes its connection unless a batch is pipelined."""
        with mock.patch.object(self.server.listener.policy, "should_close_after_response", return_value=True):
            with mock.patch.object(self, "put") as put:
                self.batch("b1", ["k1"])
                self.batch("b1", ["k2"])
            self.put(
                "b1", b"".join(call.args[1] for call in put.call_args_list)
            )  # both batches arrive together
            seen = b""
            for _ in range(200):
                self.serve()
                seen = bytes(self.wires["b1"][-1].seen)
                if seen.count(b"0\r\n\r\n") == 2:
                    break
        first, _, second = seen.partition(b"0\r\n\r\n")
        self.assertEqual([b"Connection: close" in response for response in (first, second)], [False, True])
        self.assertEqual([key for _, key, _ in self.requests], ["k1", "k2"])

    def test_items_do_not_count_for_address_quotas(self) -> None:
        """Guards against address quotas that reject the router's own items."""
        with mock.patch.object(self.server.listener.policy, "should_reject_address", side_effect=bool):
            with mock.patch.object(self.server.budget, "downstream_limit", return_value=1):
                self.batch("b1", ["k1", "k2", "k3"])
                self.assertEqual([status for _, _, status, _ in self.read_entries("b1")], [200] * 3)
            # only the client of the batch counts
            self.assertEqual(len(self.server.listener.connection_table.address_quota), 1)
        self.play("b1 close")
        self.assertEqual(self.server.listener.own_addresses, set())

    def test_http_1_0_gets_its_response_without_chunks(self) -> None:
        self.put("b1", b"POST /mget HTTP/1.0\r\n" + HEAD + b"Content-Length: 1\r\n\r\nk")
        for _ in range(20):
            self.serve()
        self.play("wait 10")
        wire = self.wires["b1"][0]
        self.assertTrue(wire.ended)
        head, _, body = wire.seen.partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        self.assertEqual([row[:1] + row[2:] for row in parse_entries(body)], [(b"k", 200, b"vvvvv")])

    def test_a_malformed_batch_is_rejected_before_any_item(self) -> None:
        self.batch("b1", ["a", "a"])
        self.play("b1 expect 400 line 2 repeats the key of line 1")
        self.batch("b1", [f"k{n}" for n in range(65)])
        self.play("b1 expect 400 more than 64 keys")
        self.play("b1 send GET /mget\nb1 expect 405\nb1 send GET /api/k1\nb1 expect 404")
        self.assertEqual(self.server.engine.counts["requests"], 0)

    def test_a_changed_limit_of_keys_applies_after_sighup(self) -> None:
        changed = operator_file.read(b"multiget_listen 0\nmultiget_max_keys 1", "rosepick.conf")
        self.server.operator_settings.reload = lambda: changed
        with self.assertLogs("rosepick", "INFO") as logs:
            self.play("router reload")
        fields_by_event = {line.getMessage(): vars(line)["fields"] for line in logs.records}
        expected = {"changed": "multiget_max_keys", "needs_restart": "nothing"}
        self.assertEqual(fields_by_event["operator_file_reloaded"], expected)
        self.batch("b1", ["k1", "k2"])
        self.play("b1 expect 400 more than 1 keys")

    def test_ordinary_clients_are_served_beside_a_batch(self) -> None:
        self.batch("b1", [f"k{n}" for n in range(64)])
        self.play("c1 send GET /api/mine")
        self.read_entries("b1")
        self.play("c1 expect 200")


class BatchLimitsTest(Batches):
    sockets = 256

    def test_items_in_flight_are_limited_and_shared_by_batches(self) -> None:
        self.scheduler.expected_response_bytes = 100.0
        for n in range(3):
            self.batch(f"b{n}", [f"k{n}{m}" for m in range(64)])
        for _ in range(5):
            self.step()
        self.assertEqual(self.scheduler.max_in_flight(), 8)
        out = [batch.in_flight for batch in self.scheduler.batches]
        self.assertLessEqual(sum(out), 8)
        self.assertEqual(out, [6, 2, 0])
        self.serve()
        self.serve()
        self.assertGreater(min(batch.in_flight for batch in self.scheduler.batches), 0)
        for n in range(3):
            self.assertEqual(len(self.read_entries(f"b{n}")), 64)
        self.assert_nothing_left()

    def test_more_batches_than_the_capacity_are_refused(self) -> None:
        for n in range(13):
            self.batch(f"b{n}", [f"k{n}"])
        self.batch("b99", ["k"])
        self.play("b99 expect 503 Retry-After")
        self.read_entries("b5")

    def test_an_item_without_a_descriptor_gets_502(self) -> None:
        with mock.patch.object(self.server.budget, "ensure_available", return_value=False):
            self.wire("b1").sock.send(b"")
            accepting = mock.patch.object(self.server.listener, "_can_accept", return_value=True)
            with accepting:
                self.batch("b1", ["k1"])
                self.assertEqual([row[2] for row in self.read_entries("b1")], [502])


class BatchMemoryTest(Batches):
    def document(self) -> dict[str, object]:
        return {**super().document(), "limits": {"memory_mb": 32, "sockets": 1024}}

    def setUp(self) -> None:
        super().setUp()
        self.keys = [f"k{n}" for n in range(64)]
        self.sizes = dict.fromkeys(self.keys, MIB)
        self.peak_buffered_bytes = 0

    def step(self) -> None:
        super().step()
        self.peak_buffered_bytes = max(self.peak_buffered_bytes, self.server.budget.buffered_bytes)

    def test_64_responses_of_1_mib_fit_32_mb(self) -> None:
        self.batch("b1", self.keys)
        entries = self.read_entries("b1")
        self.assertEqual([row[2:] for row in entries], [(200, MIB)] * 64)
        self.assertLess(self.peak_buffered_bytes, self.server.budget.max_buffered_bytes)
        self.assert_nothing_left()

    def test_responses_fit_the_memory_if_the_client_does_not_read(self) -> None:
        self.batch("b1", self.keys)
        with mock.patch.object(self.wire("b1"), "pull"):
            for _ in range(300):
                self.serve()
            self.assertLess(len(self.requests), 20)
            self.assertLess(self.peak_buffered_bytes, self.server.budget.max_buffered_bytes)
            self.assertGreater(self.server.budget.buffered_bytes, 0)
            self.sizes = {}
            self.batch("b2", ["x1", "x2"])
            self.play("wait 2500")  # the client that does not read is closed
            self.assertEqual([row[2] for row in self.read_entries("b2")], [200, 200])
        self.assertEqual(self.server.budget.buffered_bytes, 0)
        self.assert_nothing_left()

    def test_a_client_that_reads_too_slowly_is_closed(self) -> None:
        self.batch("b1", self.keys)
        (batch,) = self.scheduler.batches
        assert isinstance(batch, BatchDownstreamConnection)
        batch.deadline -= 12_500.0
        batch.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        with mock.patch.object(self.wire("b1"), "pull"):
            for _ in range(5):
                self.serve()
            self.assertGreater(self.server.budget.buffered_bytes, 0)
            self.play("wait 600")
        self.assertFalse(
            any(
                isinstance(connection, BatchDownstreamConnection)
                for connection in self.server.listener.connections
            )
        )
        self.assert_nothing_left()


class BatchEndTest(Batches):
    def test_items_past_the_deadline_get_504_and_the_response_is_complete(self) -> None:
        self.batch("b1", ["k1", "k2", "k3"], "0.300")
        self.play("wait 400")
        entries = self.read_entries("b1", serving=False)
        self.assertEqual([row[2] for row in entries], [504, 504, 504])
        self.assertTrue(self.body.endswith(b"partial: 3 of 3 not served\n"))
        self.assert_nothing_left()

    def test_an_item_without_a_response_at_the_deadline_gets_504(self) -> None:
        with mock.patch.object(self.server.engine, "accept"):
            self.batch("b1", ["k1"], "0.300")
            self.play("wait 400")
        self.assertEqual([row[2:] for row in self.read_entries("b1", serving=False)], [(504, 0)])
        self.assert_nothing_left()

    def test_a_batch_past_its_deadline_sends_no_requests(self) -> None:
        self.batch("b1", [f"k{n}" for n in range(64)], "0")
        self.assertEqual({row[2] for row in self.read_entries("b1")}, {504})
        self.assertEqual(self.server.engine.counts["requests"], 0)

    def test_each_item_states_the_time_to_the_deadline(self) -> None:
        self.batch("b1", ["k1"], "0.800")
        self.step()
        seen = b"".join(wire.seen for name in self.nodes for wire in self.wires[name])
        self.assertIn(b"Req-Deadline: 0.800", seen)

    def test_a_client_that_disconnects_cancels_its_items(self) -> None:
        self.batch("b1", [f"k{n}" for n in range(64)])
        self.step()
        accepted = self.server.engine.counts["requests"]
        self.assertGreater(accepted, 0)
        self.play("b1 close\nwait 20")
        self.assertEqual(self.server.engine.totals()["client_gone"], accepted)
        self.assertEqual(self.server.engine.counts["requests"], accepted)
        self.assert_nothing_left()

    def test_the_status_of_a_refused_item_is_forwarded(self) -> None:
        self.play("s1 refuse\ns2 refuse\norigin refuse")
        self.batch("b1", ["k1"])
        self.assertEqual([row[2] for row in self.read_entries("b1")], [503])
        self.assertIn(b"refused\n", self.body)

    def test_an_item_is_resent_once_if_its_reused_connection_closes_unread(self) -> None:
        self.batch("b1", ["k1"])
        for _ in range(3):
            self.step()
        (idle_connection,) = [
            connection
            for connection in self.server.listener.connections
            if not isinstance(connection, BatchDownstreamConnection)
        ]
        batch = next(iter(self.scheduler.batches))
        assert isinstance(batch, BatchDownstreamConnection)
        item = batch.unwritten_items[0]
        assert item.connection is not None
        item.connection.has_had_response = True  # simulates a connection that carried an item before
        idle_connection.close()
        self.serve()
        entries = self.read_entries("b1")
        self.assertEqual([row[2] for row in entries], [200])
        self.assertTrue(item.was_resent)

    def test_an_item_on_a_new_connection_that_breaks_gets_502(self) -> None:
        self.batch("b1", ["k1"])
        for _ in range(3):
            self.step()
        (new_connection,) = [
            connection
            for connection in self.server.listener.connections
            if not isinstance(connection, BatchDownstreamConnection)
        ]
        new_connection.close()
        self.assertEqual([row[2] for row in self.read_entries("b1", serving=False)], [502])

    def test_sigterm_lets_batches_in_progress_complete(self) -> None:
        keys = [f"k{n}" for n in range(64)]
        self.batch("b1", keys, "2.000")
        self.play("router end\nwait 1300\nrouter going")
        entries = self.read_entries("b1")
        self.assertEqual([row[0] for row in entries], keys)
        self.assertIn(200, {row[2] for row in entries})
        self.play("wait 1200\nrouter ended")

    def test_sigterm_bounds_the_deadline_of_a_batch(self) -> None:
        self.batch("b1", [f"k{n}" for n in range(64)], "3600")
        self.play("router end\nwait 2600")
        self.assertIn(504, {row[2] for row in self.read_entries("b1", serving=False)})
        self.play("wait 1100\nrouter ended")

    def test_an_exception_ends_the_batch_visibly_for_its_client(self) -> None:
        self.batch("b1", ["k1", "k2"])
        with (
            mock.patch.object(BatchDownstreamConnection, "_write_item", side_effect=KeyError("x")),
            self.assertLogs("rosepick", "ERROR"),
        ):
            for _ in range(20):
                self.serve()
        self.assertTrue(self.wires["b1"][0].ended)
        self.assertIsNone(unchunked(self.wires["b1"][0].seen))
        self.assert_nothing_left()


class BatchSettingsTest(unittest.TestCase):
    def test_equal_ports_of_both_listeners_are_an_error(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            conf, config_file = Path(name) / "rosepick.conf", Path(name) / "config.json"
            conf.write_text("multiget_listen 5000\nmultiget_max_keys 0\n")
            config_file.write_text('{"listen": "127.0.0.1:5000"}')
            faults, _ = check.check_settings(conf, {"GW_CONFIG": str(config_file)})
        self.assertEqual(
            faults[:2],
            [
                'rosepick.conf line 2: multiget_max_keys "0" is not a whole number from 1 to 1024',
                "rosepick.conf line 1: multiget_listen 5000 is the port of GW_CONFIG listen already",
            ],
        )


class Node(socketserver.ThreadingTCPServer):
    """Runs a cache node on the loopback interface that answers a repeated request id with 400."""

    allow_reuse_address = daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), NodeHandler)
        self.statuses: list[int] = []
        self.ids: set[bytes] = set()


class NodeHandler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        assert isinstance(self.server, Node)
        while line := self.rfile.readline():
            headers = dict(
                row.strip().split(b": ", 1) for row in iter(self.rfile.readline, b"\r\n") if row.strip()
            )
            req_id = headers.get(b"Req-Id", b"")
            good = line.startswith(b"GET /api/") and req_id and req_id not in self.server.ids
            self.server.ids.add(req_id)
            self.server.statuses.append(200 if good else 400)
            self.wfile.write(b"HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\nvalue" % (200 if good else 400))


class BatchCommandTest(unittest.TestCase):
    """Runs the router and `rosepick mget` as processes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.node = Node()
        self.addCleanup(self.node.server_close)
        threading.Thread(target=self.node.serve_forever, daemon=True).start()
        self.addCleanup(self.node.shutdown)

    def start(self, *stopped: str) -> int:
        """Start a router with one running cache node and `stopped` ones; return the port for batches."""
        ports = []
        for _ in stopped:
            with socket.create_server(("127.0.0.1", 0)) as unused:
                ports.append(unused.getsockname()[1])
        nodes = [("s1", self.node.server_address[1]), *zip(stopped, ports, strict=True)]
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "1f",
                    "limits": {"memory_mb": 192},
                    "discovery": "127.0.0.1:1",
                    "settings": SETTINGS,
                    "known": {"rev": 41, "all": True, "targets": [target(*node) for node in nodes]},
                }
            )
        )
        (self.folder / "rosepick.conf").write_text("multiget_listen 0\n")
        process = subprocess.Popen(
            self.words("serve", "-f", str(self.folder / "rosepick.conf")),
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
            env=self.environment(),
        )
        assert process.stderr is not None
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait, 30)
        self.addCleanup(process.terminate)
        port = 0
        for line in process.stderr:
            if match := re.search(r"event=batch_serving listen=127.0.0.1:(\d+)", line):
                port = int(match[1])
            if "event=serving" in line:
                return port
        self.fail("it does not serve")

    def words(self, *words: str) -> list[str]:
        return [sys.executable, "-m", "rosepick", *words]

    def environment(self) -> dict[str, str]:
        return {**os.environ, "GW_CONFIG": str(self.folder / "config.json")}

    def mget(self, *words: str, given: str = "") -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            self.words("mget", *words),
            cwd=ROOT,
            text=True,
            input=given,
            capture_output=True,
            timeout=60,
            env=self.environment(),
        )

    def test_mget_reads_keys_from_arguments_and_from_standard_input(self) -> None:
        address = f"127.0.0.1:{self.start()}"
        for words, given in ((("m-1", "m-2"), ""), ((), "m-1\nm-2\n")):
            ended = self.mget("--to", address, *words, given=given)
            self.assertEqual((ended.returncode, ended.stderr), (0, ""))
            self.assertRegex(
                ended.stdout, r"\Am-1 [0-9a-f]{16} 200 5\nvalue\nm-2 [0-9a-f]{16} 200 5\nvalue\n\Z"
            )
        ended = self.mget("--to", address, "m-1", "m-1")
        self.assertEqual((ended.returncode, ended.stdout), (2, ""))
        self.assertEqual(ended.stderr, "rosepick: status 400: line 2 repeats the key of line 1\n")
        ended = self.mget("--to", "127.0.0.1:1", "m-1")
        self.assertEqual((ended.returncode, ended.stdout), (2, ""))

    def test_mget_with_stopped_nodes_reports_each_item(self) -> None:
        address = f"127.0.0.1:{self.start('s2', 'origin')}"
        keys = [f"m-{n:04d}" for n in range(40)]
        ended = self.mget("--to", address, "--deadline", "2", *keys)
        entries = list(parse_entries(ended.stdout.encode()))
        self.assertEqual([row[0].decode() for row in entries], keys)
        failed = sum(row[2] != 200 for row in entries)
        self.assertEqual(ended.returncode, 1 if failed else 0)
        self.assertLess(failed, 40)
        self.assertEqual(set(self.node.statuses), {200})
        self.assertTrue(self.node.ids <= {row[1] for row in entries})
