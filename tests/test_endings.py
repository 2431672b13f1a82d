"""What ends something at the wrong instant; docs/endings.md has the table. Each crossing is forced: a party
holds back, writes or closes at a named step, and nothing waits for luck.
"""

from __future__ import annotations

import errno
import json
import socket
import subprocess
import sys
from itertools import chain, repeat
from typing import Any
from unittest import mock

from rosepick.connections.connection_table import CloseReason
from rosepick.connections.descriptor_budget import RESERVED_FOR_CONNECTS, DescriptorUse
from rosepick.core.body_stream import BodyStream, BufferBudget
from rosepick.core.invariants import violation_counts
from rosepick.decisions import api, decide
from rosepick.decisions.discovery_calls import MAX_RETRY_DELAY_MS, PUSHED_RETRY_DELAY_MS, RETRY_DELAYS_MS
from rosepick.decisions.permissions import MAX_START_WAIT_MS, UNREACHABLE_START_WAIT_MS
from rosepick.net import endpoint_watch, listener
from rosepick.net.discovery_connection import CONNECT_TIMEOUT_MS
from rosepick.net.downstream_connection import DownstreamConnection
from rosepick.net.event_loop import WRITE
from rosepick.net.server import RouterServer
from rosepick.net.tcp_stream import TcpStream

from .driver import fleet, settings
from .scenario import SETTINGS, Scenario, target

STEP = 100.0  # milliseconds between the module's ticks
FIRST = "d expect GET /v1/endpoints?after=41&wait_ms=0"
POLL = "d expect GET /v1/endpoints?after=41&wait_ms=2500"


class Known(Scenario):
    """Only s1 and the origin are listed at first; s2 may join."""

    nodes = ("s1", "s2", "origin")

    def document(self) -> dict[str, Any]:
        document = super().document()
        document["known"]["targets"] = [target(name, self.port(name)) for name in ("s1", "origin")]
        return document

    def follow(self) -> None:
        """Let discovery be polled."""
        self.play(f"wait 700\n{FIRST}\nd tell 41\n{POLL}")

    def request(self, path: str, method: str = "GET", length: int = 0) -> bytes:
        self.sent += 1
        kind = "read" if method == "GET" else "set"
        return (
            f"{method} {path} HTTP/1.1\r\nReq-Id: own{self.sent}\r\nReq-Kind: {kind}\r\nReq-Owner: acme\r\n"
            f"Req-Deadline: 1.000\r\nContent-Length: {length}\r\n\r\n"
        ).encode()

    def freed(self) -> None:
        """Expect nothing left of a request: no attempt, no connecting connection, no count."""
        pool, module = self.server.pool, self.module()
        self.assertEqual((self.server.engine.pending_count, len(self.server.engine.requests)), (0, 0))
        self.assertEqual((len(pool.busy), module.origin.in_flight, module.shedder.in_flight), (0, 0, 0))
        self.assertEqual([s.in_flight for s in module.endpoints.states.values() if s.in_flight], [])
        self.assertEqual(module.pending, {})


class ClientLeaves(Known):
    WANTS = "send GET /api/k1\ns1 expect GET /api/k1\ns1 send 404 none"

    def test_while_connecting_to_a_cache_node(self) -> None:
        self.play("s1 hold\nc1 send GET /api/k1\nc1 close")
        self.freed()

    def test_while_connecting_to_the_origin(self) -> None:
        """A fetch that is out is left to be stored; one that is not written has nothing to be stored."""
        self.play("""
            origin hold
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 none
            all holds engine.pending_count 1
            c1 close
        """)
        self.freed()
        self.play("origin let\nwait 100\norigin expect nothing")

    def test_a_write_while_connecting(self) -> None:
        self.play("origin hold\nc1 send PUT /api/k1 value\nall holds engine.pending_count 1\nc1 close")
        self.freed()
        self.play("origin let\norigin expect nothing")

    def test_a_long_body_that_is_complete_while_connecting(self) -> None:
        body = "x" * 100_000
        self.play(
            f"origin hold\nc1 send PUT /api/k1 {body}\nall holds engine.pending_count 1\nc1 close\norigin let"
        )
        self.freed()
        self.play("origin expect nothing")

    def test_in_a_fetch_that_others_share(self) -> None:
        """It was written, so it continues: waiting and later requests share its response."""
        self.play(f"""
            c1 {self.WANTS}
            origin expect GET /api/k1
            c2 {self.WANTS}
            c1 close
            c3 {self.WANTS}
            origin expect nothing
            s1 expect nothing
            origin send 200 value
        """)
        for _ in range(2):
            self.play("s1 expect GET /api/k1\ns1 send 200 value")
        self.play("c2 expect 200 value\nc3 expect 200 value\norigin expect nothing")
        self.freed()

    def test_in_a_fetch_that_others_share_and_that_never_ran(self) -> None:
        """The others get their responses from one fetch, not from one each."""
        self.play(f"origin hold\nc1 {self.WANTS}\nc2 {self.WANTS}\nc3 {self.WANTS}\norigin let")
        self.play("""
            c1 close
            origin expect GET /api/k1
            origin expect nothing
            s1 expect nothing
            origin send 200 value
            s1 expect GET /api/k1
            s1 send 200 value
            c2 expect 200 value
            c3 expect 200 value
        """)
        self.freed()

    def test_in_a_fetch_that_others_share_and_that_hangs(self) -> None:
        """It is waited for until the deadline of the first request, and not beyond."""
        self.play("c1 send GET /api/k1 Req-Deadline=0.200\ns1 expect GET /api/k1\ns1 send 404 none")
        self.play(f"origin expect GET /api/k1\nc2 {self.WANTS}\nc1 close\nwait 190\norigin expect nothing")
        self.play("wait 20\ns1 expect GET /api/k1\ns1 send 404 none\nwait 150\norigin expect GET /api/k1")
        self.play("origin send 200 value\nc2 expect 200 value")

    def test_right_behind_its_request(self) -> None:
        """Both are there when the router looks: the request is not sent on first. A connection is up."""
        self.play("c2 send GET /api/k1\ns1 expect GET /api/k1\ns1 send 200 value\nc2 expect 200 value")
        wire = self.wire("c1")
        wire.sock.send(self.request("/api/k1"))
        wire.sock.close()
        self.wires["c1"].pop()
        self.play("wait 20\ns1 expect nothing")
        self.freed()

    def test_its_sending_is_over_right_behind_its_request(self) -> None:
        self.play("c2 send GET /api/k1\ns1 expect GET /api/k1\ns1 send 200 value\nc2 expect 200 value")
        wire = self.wire("c1")
        wire.sock.send(self.request("/api/k1"))
        self.play("c1 half-close\nc1 expect 499 Connection=close\ns1 expect nothing\nc1 expect closed")
        self.freed()

    def test_behind_requests_that_are_not_read(self) -> None:
        """Four are read ahead and the rest stays in the socket, so that no selector reports the end."""
        first, others = self.request("/api/k1"), [self.request(f"/api/k{n}") for n in range(2, 9)]
        self.put("c1", first)
        self.play("s1 expect GET /api/k1")
        for request in others:
            self.put("c1", request)
        self.play(
            f"all holds engine.pending_count 1\nc1 close\nwait {listener.CLOSED_PEER_CHECK_INTERVAL_MS + 10}"
        )
        self.freed()
        self.play("s1 expect closed\ns1 expect nothing")

    def test_behind_a_body_that_waits_for_room(self) -> None:
        """While connecting, nothing of the body is forwarded and nothing more of it is read."""
        self.play("origin hold")
        self.put("c1", self.request("/api/k1", method="PUT", length=3_000_000))
        self.put("c1", b"x" * 300_000)
        self.play(
            f"all holds engine.pending_count 1\nc1 close\nwait {listener.CLOSED_PEER_CHECK_INTERVAL_MS + 10}"
        )
        self.freed()


class EndpointDrains(Known):
    def test_while_connecting_to_it(self) -> None:
        """The request goes elsewhere at once, and no retry is spent on it."""
        self.follow()
        retries = self.module().retry_budget
        self.play("""
            s1 hold
            c1 send GET /api/k1
            all holds engine.pending_count 1
            d tell 42 s1=leaving s2=active
            s2 expect GET /api/k1
            s2 send 200 value
            c1 expect 200 value
        """)
        self.freed()
        self.assertEqual(self.module().retry_budget, retries)
        self.play("s1 let\nwait 100\ns1 expect nothing")

    def test_while_connecting_to_the_only_one(self) -> None:
        self.follow()
        self.play("s1 hold\nc1 send GET /api/k1\nd tell 42 s1=leaving\nc1 expect 503")
        self.freed()

    def test_while_connecting_to_the_origin(self) -> None:
        self.follow()
        self.play("origin hold\nc1 send PUT /api/k1 value\nd tell 42 origin=leaving\nc1 expect 503")
        self.freed()

    def test_what_is_written_is_waited_for(self) -> None:
        self.follow()
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            d tell 42 s1=leaving s2=active
            s1 send 200 value
            c1 expect 200 value
            s1 expect closed
            s2 expect nothing
        """)
        self.freed()

    def test_while_a_request_stands_behind_a_shared_fetch(self) -> None:
        """The copy is stored at a node that drains meanwhile: it is not read there."""
        self.follow()
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 none
            origin expect GET /api/k1
            c2 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 none
            origin expect nothing
            d tell 42 s1=leaving s2=active
            origin send 200 value
            c1 expect 200 value
            origin expect GET /api/k1
            s1 expect nothing
            origin send 200 value
            c2 expect 200 value
        """)
        self.freed()

    def test_while_a_request_waits_for_its_turn_at_the_origin(self) -> None:
        self.follow()
        self.module().origin.limit = 1.0
        self.play("""
            c1 send PUT /api/k1 value
            origin expect PUT /api/k1
            c2 send PUT /api/k2 value
            origin expect nothing
            d tell 42 origin=leaving
            origin send 200 value
            c1 expect 200 value
            c2 expect 503
            origin expect nothing
        """)
        self.freed()

    def test_before_a_repeat(self) -> None:
        """The first attempt broke while the list was received; the repeat follows the new list."""
        self.follow()
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            d tell 42 s1=leaving s2=active
            s1 raw HTTP/1.1 nonsense\\r\\n\\r\\n
            s2 expect GET /api/k1
            s2 send 200 value
            c1 expect 200 value
        """)
        self.freed()

    def test_a_drain_that_is_announced_while_all_others_are_silent(self) -> None:
        """When nobody seems alive all are tried, but none that is leaving."""
        self.follow()
        self.play("d tell 42 s1=leaving")
        module = self.module()
        module.pools.refresh()
        self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")


class TimeRunsOut(Known):
    """What ends between the choice and the first byte, while connecting."""

    def document(self) -> dict[str, Any]:
        document = super().document()
        classes = [{**one} for one in SETTINGS["request_classes"]]
        classes[1]["repeat_window"] = 350.0  # of which MAX_HOLD_UP_MS is left for a router that is held up
        document["settings"] = {**SETTINGS, "request_classes": classes}
        return document

    def late(self, after: float) -> None:
        """Repeat a write whose response is malformed, on a connection that takes this long."""
        self.play("c1 send PUT /api/k1 value\norigin expect PUT /api/k1\norigin hold")
        self.play("origin raw HTTP/1.1 nonsense\\r\\n\\r\\n\nall holds engine.pending_count 1")
        (connection,) = self.server.pool.busy.values()
        assert connection.is_connecting
        self.wait(after)
        with mock.patch.object(TcpStream, "finish_connect"), mock.patch.object(TcpStream, "write") as write:
            write.return_value = 0
            connection.on_ready(WRITE)
        self.written = any(call.args[0][:3] == b"PUT" for call in write.call_args_list)

    def test_a_repeat_within_its_window(self) -> None:
        self.late(190)
        self.assertTrue(self.written)

    def test_a_repeat_whose_window_ends_while_connecting(self) -> None:
        """An upstream may have forgotten the first by then, and would execute it twice."""
        self.late(210)
        self.assertFalse(self.written)
        self.play("c1 expect 503")
        self.freed()

    def test_the_time_left_counts_from_the_write(self) -> None:
        """Not from the begin of the connect."""
        self.play("s1 hold\nc1 send GET /api/k1 Req-Deadline=0.500\nwait 200")
        (connection,) = self.server.pool.busy.values()
        with mock.patch.object(TcpStream, "finish_connect"), mock.patch.object(TcpStream, "write") as write:
            write.side_effect = len
            connection.on_ready(WRITE)
        (request,) = (bytes(call.args[0]) for call in write.call_args_list)
        self.assertIn(b"Req-Deadline: 0.3", request)

    def test_a_client_that_has_left_unnoticed_before_the_first_byte(self) -> None:
        """The connect succeeds in the same turn of the loop in which the client's end could be read."""
        self.play("s1 hold\nc1 send GET /api/k1")
        (connection,) = self.server.pool.busy.values()
        self.wires["c1"][-1].sock.close()
        with mock.patch.object(TcpStream, "finish_connect"), mock.patch.object(TcpStream, "write") as write:
            connection.on_ready(WRITE)
        write.assert_not_called()
        self.assertEqual(self.server.engine.counts["write_denied_request_finished"], 1)

    def test_a_deadline_that_passes_while_connecting(self) -> None:
        self.play("s1 hold\nc1 send GET /api/k1 Req-Deadline=0.100\nwait 100\nc1 expect 504")
        self.freed()

    def test_a_deadline_of_nothing(self) -> None:
        self.play("c1 send GET /api/k1 Req-Deadline=0\nc1 expect 504\ns1 expect nothing")
        self.freed()


class Ends(Known):
    """SIGTERM, whatever requests are doing."""

    def ends(self, text: str) -> None:
        """Expect every accepted request answered, and the router ended."""
        self.play(f"{text}\nc1 expect 200 Connection=close value\nc1 expect closed\nwait 1000\nrouter ended")
        self.freed()

    def test_while_a_head_is_incomplete(self) -> None:
        head, rest = self.request("/api/k1")[:40], self.request("/api/k1")[40:]
        self.put("c1", head)
        self.play("router end")
        self.put("c1", rest.replace(b"own2", b"own1"))
        self.ends("s1 expect GET /api/k1\ns1 send 200 value")

    def test_while_connecting(self) -> None:
        self.play("s1 hold\nc1 send GET /api/k1\nrouter end\ns1 let")
        self.play("wait 250\nc1 expect 503 Connection=close\nc1 expect closed\nwait 1000\nrouter ended")
        self.freed()

    def test_while_it_is_written(self) -> None:
        self.ends("c1 send GET /api/k1\ns1 expect GET /api/k1\nrouter end\ns1 send 200 value")

    def test_while_fetching_from_the_origin(self) -> None:
        self.ends("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 none
            origin expect GET /api/k1
            router end
            origin send 200 value
        """)

    def test_while_it_stands_behind_a_shared_fetch(self) -> None:
        self.ends("""
            c2 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 none
            origin expect GET /api/k1
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 none
            router end
            origin send 200 value
            c2 expect 200 value
            c2 expect closed
            s1 expect GET /api/k1
            s1 send 200 value
        """)

    def test_while_its_response_is_streamed(self) -> None:
        half = "x" * 70_000
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.put("s1", f"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n{half}".encode())
        self.play("router end\nwait 100")
        self.put("s1", half.encode())
        self.play(f"c1 expect 200 {half}{half}\nwait 600\nc1 expect closed\nwait 500\nrouter ended")
        self.freed()

    def test_twice(self) -> None:
        self.ends("c1 send GET /api/k1\ns1 expect GET /api/k1\nrouter end\nrouter end\ns1 send 200 value")

    def test_beside_a_new_configuration(self) -> None:
        self.ends("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            router reload
            router end
            router reload
            s1 send 200 value
        """)

    def test_a_request_that_crosses_the_close_of_its_connection(self) -> None:
        """It is not read, and the connection is not reset, which could destroy the last response."""
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1\ns1 send 200 value\nrouter end\nwait 590")
        wire = self.wires["c1"][-1]
        with mock.patch.object(
            DownstreamConnection, "is_idle", lambda connection: connection.protocol.is_idle()
        ):
            self.now += 0.02
            wire.sock.send(self.request("/api/k2"))
            self.loop.step(0)  # its timer first: the look was just before the request
        wire.sock.settimeout(2.0)
        self.assertEqual(wire.sock.recv(1), b"")  # and no ConnectionResetError
        wire.sock.setblocking(False)
        self.play("wait 40\nc1 expect 200 value\nc1 expect closed\ns1 expect nothing")
        self.freed()


class ListFallsSilent(Known):
    """How long a list may be out of date, for each way in which a call can end. `oldest` is the sum; the rest
    up to `TOLD_BY` is the call's own.
    """

    def test_the_sum_of_its_terms(self) -> None:
        oldest = endpoint_watch.max_notification_delay_ms(RETRY_DELAYS_MS[0], RETRY_DELAYS_MS[-1])
        self.assertEqual(oldest, max(2500 + 1500 + 150, 3100 + 1800) + 1000)
        self.assertLess(oldest, endpoint_watch.MAX_NOTIFICATION_DELAY_MS)

    def until_asked(self, text: str) -> float:
        """Return the time until discovery has a poll, whose list announces a drain that applies at once."""
        since = self.now
        for _ in range(2_000):
            self.wait(5)
            if any(b"wait_ms=0" in w.seen or b"endpoints HTTP" in w.seen for w in self.wires["d"]):
                break
        self.play(text)
        took = (self.now - since) * 1000.0
        self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")
        self.assertLess(took, endpoint_watch.MAX_NOTIFICATION_DELAY_MS)
        return took

    def silent(self) -> None:
        """The poll that discovery has is never answered."""
        for wire in self.wires["d"]:
            wire.seen = b""

    AGAIN = f"{FIRST}\nd tell 42 s1=leaving"

    def test_from_its_first_poll(self) -> None:
        self.wait(700)
        self.silent()
        self.until_asked(self.AGAIN)

    def test_in_a_long_poll(self) -> None:
        self.follow()
        took = self.until_asked(self.AGAIN)
        self.assertGreater(took, 4000)

    def test_an_answer_that_comes_when_its_poll_is_overdue_counts(self) -> None:
        """Discovery has written it, so it counts as notified, though the next poll is under way."""
        self.play(FIRST)
        self.wait(endpoint_watch.FIRST_RESPONSE_TIMEOUT_MS + 50)
        self.play("d tell 42 s1=leaving\nc1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")
        self.play(f"wait {RETRY_DELAYS_MS[0]}")  # the next one had the old revision: its answer adds nothing
        self.assertEqual(self.server.endpoint_directory.revision, 42)

    def test_an_overdue_poll_that_fails_does_not_end_the_next_one(self) -> None:
        self.play(FIRST)
        self.wait(endpoint_watch.FIRST_RESPONSE_TIMEOUT_MS + 50)
        self.play('d send 200 {"rev":42,"all":false,"targets":[{"uid":7}]}')
        self.wait(RETRY_DELAYS_MS[0])
        self.play(FIRST)
        polls = self.server.endpoint_watch.poll_count
        self.wait(1_000)
        self.assertEqual(self.server.endpoint_watch.poll_count, polls)
        self.play("d tell 43 s1=leaving\nc1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")

    def test_amid_a_response(self) -> None:
        self.follow()
        self.play('d raw HTTP/1.1 200 OK\\r\\nContent-Length: 500\\r\\n\\r\\n{"rev":42,')
        self.until_asked(self.AGAIN)

    def test_as_the_connection_is_reset(self) -> None:
        self.follow()
        self.play("d close")
        self.assertLess(self.until_asked(self.AGAIN), 200)

    def test_answered_503(self) -> None:
        self.follow()
        self.play("d send 503 no")
        self.assertLess(self.until_asked(self.AGAIN), 200)

    def test_with_a_list_that_makes_no_sense(self) -> None:
        self.follow()
        self.play('d send 200 {"rev":42,"all":false,"targets":[{"uid":7}]}')
        self.assertLess(self.until_asked(self.AGAIN), 200)

    def test_as_connects_do_not_succeed(self) -> None:
        """Discovery is cut off for 8 s, after which a backoff is at its longest."""
        self.follow()
        self.play("d close\nd hold\nwait 8000\nd let")
        took = self.until_asked(self.AGAIN)
        self.assertLess(took, CONNECT_TIMEOUT_MS + MAX_RETRY_DELAY_MS + 10)

    def test_as_each_poll_is_refused_for_long(self) -> None:
        self.follow()
        for _ in range(8):
            self.play(f"d send 503 no\nwait 1900\n{FIRST}")
        self.play("d send 503 no")
        self.assertLess(self.until_asked(self.AGAIN), RETRY_DELAYS_MS[-1] + 10)

    def test_a_change_between_two_polls_is_in_the_next_response(self) -> None:
        self.follow()
        self.play("""
            d tell 41
            d expect GET /v1/endpoints?after=41&wait_ms=2500
            d tell 42 s1=leaving
            c1 send GET /api/k1
            c1 expect 503
        """)

    def test_announced_twice_and_indented(self) -> None:
        self.follow()
        rows = [target("s1", self.port("s1"), "leaving")]
        body = json.dumps({"rev": 42, "all": False, "targets": rows}, indent=4)
        self.play(f"d send 200 {body.replace(chr(10), ' ')}")
        self.play("d expect GET /v1/endpoints?after=42&wait_ms=2500\nd tell 42 s1=leaving")
        self.play("d expect GET /v1/endpoints?after=42&wait_ms=2500")
        self.play("c1 send GET /api/k1\nc1 expect 503\nall holds endpoint_directory.revision 42")

    def test_a_revision_that_goes_back(self) -> None:
        """Discovery was reset: its full list counts, and is followed from there."""
        self.follow()
        self.play("""
            d list 3 s2=active origin=active
            d expect GET /v1/endpoints?after=3&wait_ms=2500
            c1 send GET /api/k1
            s2 expect GET /api/k1
            s1 expect nothing
        """)

    def test_a_switch_whose_first_poll_fails_requests_the_full_list_again(self) -> None:
        """The revision held means something else at the new discovery."""
        self.follow()
        self.file["discovery"] = f"127.0.0.1:{self.port('d')}"
        self.server.endpoint_watch.switch_discovery(self.server.config.discovery)
        self.play("""
            d expect closed
            d expect GET /v1/endpoints HTTP/1.1
            d send 503 no Connection=close
            wait 600
            d expect GET /v1/endpoints HTTP/1.1
            d list 3 s2=active origin=active
            d expect GET /v1/endpoints?after=3&wait_ms=2500
            c1 send GET /api/k1
            s2 expect GET /api/k1
        """)


class DescriptorsFull(Known):
    """Idle clients hold all their descriptors, and more wait behind them, while discovery is down."""

    sockets = 128

    def test_back_to_the_list_and_to_clients(self) -> None:
        """The list is received once discovery is back, and a request is served by the upstream it names."""
        self.follow()
        self.play("d close\nd hold")
        for n in range(90):
            self.wire(f"h{n}")
        self.wait(400)
        budget = self.server.budget
        self.assertGreaterEqual(len(self.server.listener.connections), budget.downstream_limit())
        while budget.used < budget.limit:
            budget.acquire(DescriptorUse.UPSTREAM)  # and upstreams hold all the rest
        self.play("wait 3000\nd let")
        since = self.now
        for _ in range(2_000):
            if any(b"wait_ms=0" in wire.seen for wire in self.wires["d"]):
                break
            self.wait(5)
        took = (self.now - since) * 1000.0
        self.assertLess(took, MAX_RETRY_DELAY_MS + CONNECT_TIMEOUT_MS + 10)
        self.play(f"{FIRST}\nd tell 42 s1=leaving s2=active")
        self.play("c1 send GET /api/k1\ns2 expect GET /api/k1\ns2 send 200 value\nc1 expect 200 value")
        self.assertLess((self.now - since) * 1000.0 - took, 500)
        self.assertLessEqual(budget.used, budget.limit + RESERVED_FOR_CONNECTS)


class Starting(Known):
    """A process that has no list from discovery yet."""

    def started(self) -> bool:
        """Whether the router accepts clients; as `run` begins."""
        self.server._start_if_due()
        return self.server.listener.has_started

    def setUp(self) -> None:
        with mock.patch.object(RouterServer, "start_serving"):
            super().setUp()
        self.server._awaits_list = True

    def connects(self) -> bool:
        """Whether a connection to the router's address comes up."""
        with socket.socket() as sock:
            return sock.connect_ex(self.server.listener.sock.getsockname()) == 0


class Starts(Starting):
    """Discovery can be reached."""

    def test_it_refuses_connections_until_it_has_a_list(self) -> None:
        """The system would take them, and requests with them, for a router that may not serve yet."""
        self.wait(200)
        self.assertFalse(self.started())
        self.assertFalse(self.connects())
        self.play(f"{FIRST}\nd tell 42 s1=leaving")
        self.assertTrue(self.server.listener.has_started)
        self.assertTrue(self.connects())

    def test_an_address_where_another_process_listens_is_tried_again(self) -> None:
        """Both were bound before either listened, as when two processes of a router start at once."""
        address = self.server.listener.sock.getsockname()
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(address)
            other.listen()
            self.play(f"{FIRST}\nd tell 42 s1=leaving")
            self.assertFalse(self.started())
        self.assertTrue(self.started())
        self.assertTrue(self.connects())

    def test_a_discovery_that_responds_without_a_list_is_waited_for(self) -> None:
        self.play(f"{FIRST}\nd send 503 no")
        self.wait(MAX_START_WAIT_MS - 100)
        self.assertFalse(self.started())
        self.wait(100)
        self.assertTrue(self.started())


class StartsAlone(Starting):
    """Discovery cannot be reached."""

    def document(self) -> dict[str, Any]:
        return {**super().document(), "discovery": "127.0.0.1:1"}

    def test_it_does_not_wait_for_long(self) -> None:
        self.wait(UNREACHABLE_START_WAIT_MS - 100)
        self.assertFalse(self.started())
        self.wait(200)
        self.assertTrue(self.started())


class SystemCallsFail(Known):
    """What accept and connect say of one connection, or of this machine, is held against nobody else."""

    def test_an_aborted_connection_does_not_end_the_queue_at_the_end(self) -> None:
        (listen_socket,) = self.server.listener.listen_sockets
        address = listen_socket.sock.getsockname()
        clients = [socket.create_connection(address) for _ in range(3)]
        listen_socket.sock = mock.Mock(wraps=listen_socket.sock)
        aborted = [ConnectionAbortedError(errno.ECONNABORTED, ""), OSError(errno.EHOSTUNREACH, "")]
        listen_socket.sock.accept.side_effect = chain(aborted, repeat(mock.DEFAULT))
        self.server.listener.close()
        self.assertEqual(len(self.server.listener.connections), 3)
        for client in clients:
            client.close()

    def test_accepts_that_fail_at_the_end_reset_nobody(self) -> None:
        """Without a descriptor for 300 ms, just when the listening socket would be closed."""
        (listen_socket,) = self.server.listener.listen_sockets
        real = listen_socket.sock
        self.play("router end\nwait 550")
        listen_socket.sock = mock.Mock(wraps=real)
        listen_socket.sock.accept.side_effect = OSError(errno.ENFILE, "")
        client = socket.create_connection(real.getsockname())
        client.sendall(self.request("/api/k1"))
        self.wait(300)
        listen_socket.sock.accept.side_effect = None
        self.play("wait 100\ns1 expect GET /api/k1\ns1 send 200 value")
        client.settimeout(2.0)
        self.assertTrue(client.recv(4096).startswith(b"HTTP/1.1 200"))
        client.close()

    def test_an_aborted_connection_evicts_nobody(self) -> None:
        (listen_socket,) = self.server.listener.listen_sockets
        self.play("c1 send GET /ready\nc1 expect 200 ready")
        listen_socket.sock = mock.Mock(wraps=listen_socket.sock)
        listen_socket.sock.accept.side_effect = chain(
            [OSError(errno.ENETUNREACH, ""), OSError(errno.EPROTO, "")], repeat(mock.DEFAULT)
        )
        self.play("c2 send GET /ready\nc2 expect 200 ready\nc1 send GET /ready\nc1 expect 200 ready")

    def test_a_connect_that_fails_here_counts_against_no_endpoint(self) -> None:
        self.follow()
        failure = OSError(errno.EADDRNOTAVAIL, "")
        with mock.patch("rosepick.net.upstream_pool.dial", side_effect=failure):
            self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")
        states = self.module().endpoints.states.values()
        self.assertEqual([state.consecutive_failures for state in states], [0] * len(states))
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1\ns1 send 200 value\nc1 expect 200 value")
        self.freed()


class Violations(Known):
    """What a path does that it may not is counted where operators look, in every build."""

    def counted(self) -> int:
        """How many violations the telemetry has."""
        return int(json.loads(self.server.telemetry().line())["violations"])

    def test_a_close_that_takes_an_answer_away_is_counted(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        before = self.counted()
        (connection,) = self.server.listener.connections
        connection.close(CloseReason.CAPACITY)
        self.assertEqual(self.counted(), before + 1)
        self.assertIn("close_answer_owed", violation_counts)

    def test_other_closes_are_not(self) -> None:
        before = self.counted()
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1\nc1 close")  # its client has left
        self.play("c2 send GET /api/k2\ns1 expect GET /api/k2\ns1 send 200 value\nc2 expect 200 value")
        (connection,) = self.server.listener.connections
        connection.close(CloseReason.CAPACITY)  # it rests
        self.assertEqual(self.counted(), before)

    def test_in_a_release_build(self) -> None:
        """A send that the module may not make is not carried out, and is counted, not asserted."""
        done = subprocess.run(
            [sys.executable, "-O", "-m", "tests.release_build_violation"],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(json.loads(done.stdout), {"sent": 0, "telemetry": 1})
        self.assertIn("event=invariant_violated name=send_attempts_used", done.stderr)


class ListsArePushed(Known):
    """Lists are pushed to an agent, which still has to be polled: what it has counts as announced."""

    def document(self) -> dict[str, Any]:
        return {**super().document(), "settings": {**SETTINGS, "membership_mode": "automatic"}}

    def test_it_is_polled_at_once_and_again_soon(self) -> None:
        self.play(f"""
            wait {STEP}
            {FIRST}
            d tell 41
            {POLL}
            d close
            wait {PUSHED_RETRY_DELAY_MS}
            {FIRST}
            d send 503 no
            wait {PUSHED_RETRY_DELAY_MS}
            {FIRST}
            d tell 42 s1=leaving
            c1 send GET /api/k1
            c1 expect 503
        """)


def test_a_fetch_that_hangs_is_waited_for_until_its_own_deadline() -> None:
    """Also if the module is not notified of its end: on sockets that of the attempt does it."""
    classes = (api.RequestClass(objective_ms=300, deadline_ms=1000, worth=2),)
    router = decide.Router(settings(classes=classes, tenants=()), 1)
    router.handle(0.0, api.EndpointUpdate(api.UpdateScope.CACHED, tuple(fleet())))

    def misses(ref: int, time_left: float) -> list[api.Action]:
        (send,) = [a for a in router.handle(1.0, api.RequestArrived(ref, 0, time_left, key=7)) if _send(a)]
        assert isinstance(send, api.Send)
        return router.handle(2.0, api.AttemptEnded(ref, 0, send.endpoint_id, api.Result.MISS, False, 2, 1.0))

    assert any(map(_send, misses(1, 200.0)))  # the fetch
    assert not any(map(_send, misses(2, 1000.0)))
    assert not any(map(_send, router.handle(100.0, api.ClientDisconnected(1))))
    after = router.handle(201.0, api.TimerFired(decide.DEADLINE_TIMER | 1))
    assert [a.ref for a in after if isinstance(a, api.Send)] == [2]


def _send(action: api.Action) -> bool:
    return isinstance(action, api.Send)


def test_a_body_of_which_a_part_was_dropped_is_incomplete() -> None:
    body = BodyStream(BufferBudget(1_000_000), None)
    body.write(b"part")
    body.finish()
    body.close()
    assert not body.is_drained() and body.is_truncated()


def test_a_body_that_was_read_completely_stays_complete() -> None:
    body = BodyStream(BufferBudget(1_000_000), None)
    body.write(b"part")
    body.finish()
    assert body.read(100) == [b"part"]
    body.close()
    assert body.is_drained() and not body.is_truncated()
