"""Connection pressure on loopback: new clients find capacity, whatever the other clients do."""

from __future__ import annotations

import gc
import socket
import tempfile
import weakref
from pathlib import Path
from typing import Any
from unittest import mock

from rosepick.connections.connection_table import CloseReason
from rosepick.core.invariants import violation_counts
from rosepick.net import accept_queue
from rosepick.settings import operator_file
from rosepick.settings.operator_file import OperatorOptions

from .scenario import Scenario, ScenarioConnection

READY = "GET /ready"


class PressureScenario(Scenario):
    """A router with 80 descriptors for connections; client connections may use 40."""

    sockets = 128

    def operators(self) -> OperatorOptions:
        return OperatorOptions(operator_file.read(b"clients_hold 40", "rosepick.conf"))

    def request_from_new_client(self, client: str, request: str = READY, source: str = "127.0.0.1") -> None:
        """Send a request on the first connection of a new client, from a source address."""
        sock = socket.create_connection(self.server.listener.sock.getsockname(), source_address=(source, 0))
        self.wires[client] = [ScenarioConnection(sock)]
        self.play(f"{client} send {request}")

    def is_answered(self, client: str) -> bool:
        """Return whether a client has its response; after a close by the router, its socket is closed."""
        wire = self.wires[client][0]
        message = wire.message()
        if (message is not None and "Connection: close" in message) or wire.ended:
            wire.sock.close()
            self.wires[client].remove(wire)
        return message is not None

    def leave_requests_pending(self) -> None:
        """Leave all further requests unanswered."""
        for name in ("accept", "handle_disconnect"):
            patch = mock.patch.object(self.server.engine, name)
            patch.start()
            self.addCleanup(patch.stop)

    def connection_count(self) -> int:
        """Return how many connections the clients named h... hold."""
        self.step()
        for name, wires in self.wires.items():
            for wire in wires[:]:
                if name.startswith("h") and wire.ended:
                    wire.sock.close()
                    wires.remove(wire)
        return sum(len(wires) for name, wires in self.wires.items() if name.startswith("h"))

    def fill(self, count: int, every: float = 10.0) -> int:
        """Connect clients that each send one request and stay connected; return how many were answered."""
        answered_count = 0
        for n in range(count):
            if self.connection_count() < 40:
                self.request_from_new_client(f"h{n}")
                answered_count += self.is_answered(f"h{n}")
            self.play(f"wait {every}")
        return answered_count

    def fields(self, logs: Any, event: str) -> dict[str, Any]:
        """Return the fields of the last log line of an event."""
        matching = [vars(record)["fields"] for record in logs.records if record.getMessage() == event]
        self.assertTrue(matching, event)
        return dict(matching[-1])


class IdleClientsScenario(PressureScenario):
    def test_idle_clients_after_one_request_are_evicted(self) -> None:
        with self.assertLogs("rosepick", "INFO") as logs:
            self.assertEqual(self.fill(200), 200)
            began = self.fields(logs, "connection_pressure_started")
            self.assertEqual((began["capacity"], began["reason"]), (40, "not_worth_keeping"))
            self.play("wait 6000")
            self.assertGreater(
                self.fields(logs, "connection_pressure_ended")["closed_not_worth_keeping"], 100
            )
            self.server.listener.log_summary()
            fields = self.fields(logs, "connections")
        self.assertEqual(fields["requests"], 200)
        self.assertEqual(
            fields["opened"],
            sum(fields[name] for name in fields if name.startswith("closed_"))
            + sum(fields[kind] for kind in ("unused", "active", "used_once", "reused", "lingering")),
        )

    def test_slots_are_freed_while_exactly_the_limit_of_connections_is_idle(self) -> None:
        """No further events occur, so a timer must evict connections."""
        with mock.patch.object(
            self.server.listener.policy, "should_close_after_response", return_value=False
        ):
            self.assertEqual(self.fill(40, every=1.0), 40)
        self.assertEqual(self.connection_count(), 40)
        self.play("wait 700")
        self.assertLess(self.connection_count(), 40)
        self.request_from_new_client("n1")
        self.assertTrue(self.is_answered("n1"))

    def test_connection_with_unread_bytes_is_not_evicted_and_is_answered(self) -> None:
        """An eviction must not close a connection with a request that was already received."""
        with mock.patch.object(
            self.server.listener.policy, "should_close_after_response", return_value=False
        ):
            self.fill(40, every=1.0)
        self.now += 0.15  # the connections have reached the minimum age, and no review ran since
        for wires in self.wires.values():
            for wire in wires:
                wire.sock.send(b"GET /ready HTTP/1.1\r\nReq-Id: x\r\n\r\n")
        self.server.listener._evict_connections()
        self.assertEqual(self.server.listener.connection_table.closed_by_reason[CloseReason.CAPACITY], 0)
        self.step()
        self.assertEqual(sum(self.is_answered(name) for name in self.wires if name.startswith("h")), 40)

    def test_request_sent_during_a_close_is_answered_once_on_a_new_connection(self) -> None:
        self.play("""
            c1 send GET /ready
            c1 expect 200
        """)
        (connection,) = self.server.listener.connections
        connection.close(CloseReason.CAPACITY)
        with self.assertRaises(AssertionError):
            self.play("c1 send GET /api/k1 Req-Id=77\nc1 expect 200")
        self.wires["c1"].clear()
        self.play("""
            c1 send GET /api/k1 Req-Id=77
            s1 expect GET /api/k1 Req-Id: 77
            s1 send 200 value
            c1 expect 200 value
            s1 expect nothing
        """)
        self.assertEqual(self.server.engine.counts["attempts"], 1)

    def test_large_last_response_reaches_a_slow_reader_completely(self) -> None:
        self.fill(100)
        size = 1024 * 1024
        wire = ScenarioConnection(socket.socket())
        wire.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        wire.sock.setblocking(True)
        wire.sock.connect(self.server.listener.sock.getsockname())
        wire.sock.setblocking(False)
        self.wires["c1"] = [wire]
        with mock.patch.object(wire, "pull"):  # the client does not read yet
            self.play("c1 send GET /api/big Req-Deadline=4.000\ns1 expect GET /api/big")
            connection = list(self.server.listener.connections)[-1]
            connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            with mock.patch.object(
                self.server.listener.policy, "should_close_after_response", return_value=True
            ):
                self.play("s1 send 200 " + "x" * size)
                self.play("wait 300")
        self.assertGreater(self.server.budget.buffered_bytes, 0)
        for _ in range(2_000):
            self.step()
            if wire.ended:
                break
        head, _, body = wire.seen.partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        self.assertEqual(len(body), size)


class SilentClientsScenario(PressureScenario):
    def test_silent_clients_do_not_block_one_that_reconnects_for_each_request(self) -> None:
        for n in range(150):
            self.wire(f"x{n}")
            self.play("wait 10")
            if n % 3 == 0:
                self.request_from_new_client(f"c{n}")
                self.play("wait 20" if self.wires[f"c{n}"] else "")
                for _ in range(40):
                    if self.is_answered(f"c{n}"):
                        break
                    self.play("wait 10")
                else:
                    self.fail(f"c{n} has no response")
                for wire in self.wires[f"c{n}"]:
                    wire.sock.close()
                self.wires[f"c{n}"].clear()

    def test_evictions_back_off_for_a_pool_that_reopens_at_once(self) -> None:
        with mock.patch.object(
            self.server.listener.policy, "should_close_after_response", return_value=False
        ):
            self.assertEqual(self.fill(40, every=1.0), 40)
        opened = self.server.listener.connection_table.opened_total
        with self.assertLogs("rosepick", "INFO") as logs:
            for _ in range(30):
                while self.connection_count() < 40:
                    self.wire(f"h-{self.server.listener.connection_table.opened_total}")
                    self.step()
                self.play("wait 100")
            self.fields(logs, "evictions_unclaimed")
        self.assertLess(self.server.listener.connection_table.opened_total - opened, 40)


class AddressQuotaScenario(PressureScenario):
    sockets = 48 + 152

    def operators(self) -> OperatorOptions:
        return OperatorOptions(operator_file.read(b"clients_hold 38\ndoors_part 25", "rosepick.conf"))

    def setUp(self) -> None:
        super().setUp()
        self.leave_requests_pending()

    def test_many_clients_from_one_address_do_not_use_the_capacity_of_others(self) -> None:
        """Pending requests use all slots, so no connection can be evicted."""
        for n in range(38):
            self.request_from_new_client(f"h{n}", f"GET /api/k{n} Req-Deadline=9.000", "127.0.0.2")
        self.assertEqual(len(self.server.listener.connections), 38)
        self.request_from_new_client("c1", READY, "127.0.0.3")
        self.play("wait 60\nc1 expect 200")
        self.request_from_new_client("h99", READY, "127.0.0.2")
        self.play("wait 60\nh99 expect closed")
        self.assertEqual(self.server.listener.connection_table.closed_by_reason[CloseReason.ADDRESS_QUOTA], 1)

    def test_single_address_may_use_the_whole_capacity(self) -> None:
        for n in range(60):
            self.request_from_new_client(f"h{n}", f"GET /api/k{n} Req-Deadline=9.000")
        self.play("wait 200")
        self.assertIn(len(self.server.listener.connections), range(38, 38 + 9))
        self.assertEqual(self.server.listener.connection_table.closed_by_reason, {})


class AddressOverQuotaScenario(PressureScenario):
    def test_address_over_quota_does_not_evict_idle_connections_of_others(self) -> None:
        self.request_from_new_client("c1", READY, "127.0.0.3")
        self.play("c1 expect 200")
        self.leave_requests_pending()
        with mock.patch.object(self.server.listener, "_is_at_limit", return_value=False):
            for n in range(39):
                self.request_from_new_client(f"h{n}", f"GET /api/k{n} Req-Deadline=9.000", "127.0.0.2")
        for n in range(50, 56):
            self.request_from_new_client(f"h{n}", READY, "127.0.0.2")
            self.play("wait 60")
        self.assertGreaterEqual(
            self.server.listener.connection_table.closed_by_reason[CloseReason.ADDRESS_QUOTA], 5
        )
        self.assertEqual(self.server.listener.connection_table.closed_by_reason[CloseReason.DESCRIPTORS], 0)


class DescriptorLimitScenario(PressureScenario):
    sockets = 400

    def operators(self) -> OperatorOptions:
        return OperatorOptions(operator_file.read(b"", "rosepick.conf"))

    def test_lowered_and_raised_descriptor_limit_under_load(self) -> None:
        with mock.patch.object(
            self.server.listener.policy, "should_close_after_response", return_value=False
        ):
            for n in range(100):
                self.request_from_new_client(f"h{n}")
                self.is_answered(f"h{n}")
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.file["limits"]["sockets"] = 100
        self.play("router reload")
        self.assertGreater(len(self.server.listener.connections), 90)  # closes happen gradually
        self.play("wait 200\ns1 send 200 value\nc1 expect 200 value")  # the pending request is answered
        self.play("wait 3000")
        self.assertEqual(self.server.budget.excess(), 0)
        self.leave_requests_pending()
        for n in range(60):
            self.request_from_new_client(f"n{n}", f"GET /api/n{n} Req-Deadline=20.000")
        self.assertFalse(self.server.listener.is_accepting)
        count_before = len(self.server.listener.connections)
        self.file["limits"]["sockets"] = 400
        self.play("router reload")
        self.step()
        self.assertGreater(len(self.server.listener.connections), count_before)  # without a delay

    def test_smaller_descriptor_share_for_clients_applies_soon(self) -> None:
        with mock.patch.object(
            self.server.listener.policy, "should_close_after_response", return_value=False
        ):
            for n in range(150):
                self.request_from_new_client(f"h{n}")
                self.is_answered(f"h{n}")
        self.server.operator_settings.reload = lambda: operator_file.read(b"doors_part 10", "rosepick.conf")
        self.play("router reload")
        self.assertGreater(len(self.server.listener.connections), 140)
        self.request_from_new_client("c1")
        self.play("wait 2000\nc1 expect 200")
        self.assertLessEqual(len(self.server.listener.connections), 36)

    def test_descriptors_over_a_lowered_limit_are_reclaimed(self) -> None:
        with (
            mock.patch.object(self.server.listener.policy, "excess_descriptors", return_value=3),
            mock.patch.object(self.server.budget, "reclaim_one", side_effect=[True, True, False]) as freed,
        ):
            self.server.listener._evict_connections()
        self.assertEqual(freed.call_count, 3)

    def test_connection_settings_apply_on_sighup(self) -> None:
        lines = b"idle_timeout 1\nsilent_timeout 0.5\naccept_queue 7\nclients_hold 30"
        file = operator_file.read(lines, "rosepick.conf")
        self.server.operator_settings.reload = lambda: file
        self.play("c1 send GET /ready\nc1 expect 200\nrouter reload")
        self.wire("c2")
        self.step()
        self.play("wait 700\nc2 expect closed\nwait 600\nc1 expect closed")
        self.assertEqual(self.server.listener.policy.capacity(), 30)
        self.assertEqual(accept_queue.queue_length(self.server.listener.sock), (0, 7))


class SlowClientScenario(PressureScenario):
    def operators(self) -> OperatorOptions:
        return OperatorOptions(operator_file.read(b"silent_timeout 60", "rosepick.conf"))

    def test_slow_first_request_on_a_connection_opened_early_is_answered(self) -> None:
        self.wire("c1")
        self.step()
        self.play(r"""
            wait 10000
            c1 raw GET /ready HTTP/1.1\r\n
            wait 1500
            c1 raw \r\n
            c1 expect 200
        """)

    def test_half_closed_connection_does_not_wake_the_loop_continuously(self) -> None:
        wire = ScenarioConnection(socket.socket())
        wire.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        wire.sock.setblocking(True)
        wire.sock.connect(self.server.listener.sock.getsockname())
        wire.sock.setblocking(False)
        self.wires["c1"] = [wire]
        with mock.patch.object(wire, "pull"):
            self.play("c1 send GET /api/big Req-Deadline=4.000\ns1 expect GET /api/big")
            (connection,) = self.server.listener.connections
            connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            self.play("s1 send 200 " + "x" * 1024 * 1024)
            while not connection.stream.has_unwritten():
                self.loop.step(0)
            self.play("c1 half-close")
            with mock.patch.object(connection, "_on_end_of_input") as ended:
                for _ in range(20):
                    self.loop.step(0)
        self.assertEqual(ended.call_count, 0)
        for _ in range(2_000):
            self.step()
            if wire.ended:
                break
        self.assertEqual(len(wire.seen.partition(b"\r\n\r\n")[2]), 1024 * 1024)
        self.assertEqual(len(self.server.listener.connections), 0)

    def test_close_reasons(self) -> None:
        self.play(r"""
            c1 raw GET /re
            wait 2600
            c1 expect 408
            c2 send GET /api/k1
            c2 half-close
            c2 expect 499
            wait 600
        """)
        self.assertEqual(
            self.server.listener.connection_table.closed_by_reason,
            {CloseReason.SLOW_CLIENT: 1, CloseReason.CLIENT_CLOSED: 1},
        )


class PartialRequestScenario(PressureScenario):
    """Many clients start requests and never complete them; one is slow but makes progress."""

    def test_stalled_requests_are_evicted_while_slots_are_short_longest_stalled_first(self) -> None:
        partial_requests = [f"c{n} raw GET /re; wait 5; " for n in range(100, 139)]
        slow, continues = r"c1 raw GET /ready HTTP/1.1\r\n; ", r"wait 100; c1 raw X: y\r\n; "
        full, completes = "".join(partial_requests) + slow, r"c1 raw \r\n; "
        counts = "listener.connection_table.closed_by_reason Counter"
        self.each(
            {
                "a complete request is served": f"{full}{continues * 8}c2 send GET /ready; wait 50; "
                f"c2 expect 200; {completes}c1 expect 200; c100 expect closed; "
                f"all holds {counts}({{<CloseReason.STALLED_REQUEST: 'half'>: 1}})",
                "SIGTERM ends in time": f"{full}{continues * 4}router end; {continues * 14}{completes}"
                "c1 expect 503 Connection=close ending; c1 close; wait 1800; router ended",
                "no eviction with free slots": f"{''.join(partial_requests[:10])}wait 1500; "
                "c2 send GET /ready; c2 expect 200; "
                f"all holds {counts}(); wait 1500; "
                "all holds listener.connection_table.partial_requests OrderedDict()",
            }
        )

    def hold_slow_heads(self, count: int) -> list[str]:
        """Open connections that send a head slowly; return their clients."""
        clients = [f"c{number}" for number in range(100, 100 + count)]
        for client in clients:
            self.play(rf"{client} raw GET /api/k1 HTTP/1.1\r\nReq-Kind: read\r\nReq-Id: {client}\r\n")
        return clients

    def continue_heads(self, clients: list[str]) -> None:
        """Send a further field of each head, 100 ms later."""
        self.play("wait 100")
        for client in clients:
            self.play(rf"{client} raw X: y\r\n")

    def test_clients_that_send_heads_slowly_hold_all_slots_beside_others(self) -> None:
        clients = self.hold_slow_heads(55)
        for number in range(6):
            self.continue_heads(clients)
            self.steps(f"c{number} send GET /ready; wait 10; c{number} expect 200; c{number} close")
        closed = self.server.listener.connection_table.closed_by_reason
        self.assertEqual(closed[CloseReason.STALLED_REQUEST], 0)

    def test_slow_heads_on_lent_descriptors_that_complete_at_once_are_all_answered(self) -> None:
        clients = self.hold_slow_heads(60)
        for _ in range(3):
            self.continue_heads(clients)
        accepted = [client for client in clients if not self.wire(client).ended]
        for client in accepted:
            self.play(rf"{client} raw Req-Owner: acme\r\nReq-Deadline: 0.5\r\n\r\n")
        self.play("wait 600")
        self.play("wait 100")
        self.assertEqual([client for client in accepted if not self.is_answered(client)], [])
        self.assertLess(self.server.budget.used, self.sockets)
        self.assertEqual(sum(violation_counts.values()), self.violated_before)

    def test_uploads_that_have_stopped_are_evicted_while_slots_are_short(self) -> None:
        """Guards against long writes left half way, which hold all slots."""
        head = r"PUT /api/k1 HTTP/1.1\r\nReq-Kind: set\r\nReq-Owner: acme\r\nReq-Deadline: 1\r\nReq-Id: "
        uploads = [
            rf"c{n} raw {head}u{n}\r\nContent-Length: 200000\r\n\r\n{'x' * 100_000}; "
            for n in range(100, 140)
        ]
        goes_on = f"wait 100; c100 raw {'y' * 4_000}; "
        self.steps(f"{''.join(uploads)}{goes_on * 7}c2 send GET /ready; wait 50; c2 expect 200")
        closed = self.server.listener.connection_table.closed_by_reason
        self.assertEqual(closed[CloseReason.STALLED_REQUEST], 1)
        self.assertFalse(self.wire("c100").ended)
        self.assertEqual(sum(violation_counts.values()), self.violated_before)

    def setUp(self) -> None:
        super().setUp()
        self.violated_before = sum(violation_counts.values())


class AcceptScenario(PressureScenario):
    def test_burst_is_accepted_in_batches_with_timers_in_between(self) -> None:
        self.server.listener.pause()
        waiting = [socket.create_connection(self.server.listener.sock.getsockname()) for _ in range(39)]
        self.assertEqual(accept_queue.queue_length(self.server.listener.sock), (39, 1024))
        seen: list[int] = []
        for n in range(5):
            self.loop.call_at(
                self.now * 1000.0 + n, lambda: seen.append(len(self.server.listener.connections))
            )
        tick = iter(range(100_000))

        def clock() -> float:  # each read of the clock advances it by 0.1 ms
            return self.now + next(tick) / 10_000

        with mock.patch.object(self.loop, "_clock", clock):
            self.server.listener.start()
            while len(self.server.listener.connections) < 39:
                self.loop.step(0)
        self.assertGreater(len([count for count in seen if 0 < count < 39]), 0)
        self.now += 1.0
        for sock in waiting:
            sock.close()

    def test_accept_queue_overflows_are_counted_and_logged_once(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "netstat"
            for text, count in (
                ("TcpExt: A ListenOverflows B\nTcpExt: 1 17 3\nIpExt: C\nIpExt: 4\n", 17),
                ("TcpExt: A B\nTcpExt: 1 3\n", None),
                ("TcpExt: ListenOverflows\nTcpExt: x\n", None),
                ("", None),
            ):
                path.write_text(text)
                self.assertEqual(accept_queue.overflows(path), count)
            self.assertIsNone(accept_queue.overflows(Path(folder) / "none"))
        with mock.patch.object(accept_queue, "overflows", side_effect=[1, 3, 3]):
            self.server.listener._report._overflow_count = 1
            with self.assertLogs("rosepick", "INFO") as logs:
                self.server.listener.log_summary()
                self.server.listener.log_summary()
                self.server.listener.log_summary()
        fields = [vars(r)["fields"] for r in logs.records if r.getMessage() == "accept_queue_overflowed"]
        reported = [(line["host_overflows"], line["listener"], line["queue_limit"]) for line in fields]
        self.assertEqual(reported, [(2, "http", 1024)])

    def test_closed_connection_leaves_no_reference_cycle(self) -> None:
        """A reference cycle would keep closed connections in memory until a full collection.

        With a new connection for each request, these would account for most of the memory growth.
        """
        self.play("c1 send GET /ready\nc1 expect 200")
        (connection,) = self.server.listener.connections
        watched: list[weakref.ref[Any]] = [weakref.ref(connection), weakref.ref(connection.protocol)]
        gc.disable()
        try:
            connection.close(CloseReason.CAPACITY)
            del connection
            self.play("wait 10")
            self.assertEqual([ref() for ref in watched], [None, None])
        finally:
            gc.enable()


def test_connections_package_imports_no_io_and_no_clock() -> None:
    folder = Path(operator_file.__file__).parent / "connections"
    for path in folder.glob("*.py"):
        text = path.read_text()
        for word in ("import time", "import socket", "import logging", "import random", "..net", "..logs"):
            assert word not in text, path.name
