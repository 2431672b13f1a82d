"""Something ends at the wrong moment: a client, an endpoint, a deadline, a process, the endpoint list.

docs/endings.md has the table. Each race is forced: a party blocks, writes or closes at a named step.
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

TICK_MS = 100.0  # between the ticks of the decision module
FIRST = "d expect GET /v1/endpoints?after=41&wait_ms=0"
POLL = "d expect GET /v1/endpoints?after=41&wait_ms=2500"


class EndingScenario(Scenario):
    """Base of the scenarios: only s1 and the origin are listed at first; s2 may join."""

    nodes = ("s1", "s2", "origin")

    def document(self) -> dict[str, Any]:
        document = super().document()
        document["known"]["targets"] = [target(name, self.port(name)) for name in ("s1", "origin")]
        return document

    def start_long_poll(self) -> None:
        """Wait until the router long-polls discovery."""
        self.play(f"wait 700\n{FIRST}\nd tell 41\n{POLL}")

    def request(self, path: str, method: str = "GET", length: int = 0) -> bytes:
        self.sent += 1
        kind = "read" if method == "GET" else "set"
        return (
            f"{method} {path} HTTP/1.1\r\nReq-Id: own{self.sent}\r\nReq-Kind: {kind}\r\nReq-Owner: acme\r\n"
            f"Req-Deadline: 1.000\r\nContent-Length: {length}\r\n\r\n"
        ).encode()

    def assert_nothing_left(self) -> None:
        """Check that nothing is left of a request: no attempt, no busy connection, nothing in flight."""
        pool, module = self.server.pool, self.module()
        self.assertEqual((self.server.engine.pending_count, len(self.server.engine.requests)), (0, 0))
        self.assertEqual((len(pool.busy), module.origin.in_flight, module.shedder.in_flight), (0, 0, 0))
        self.assertEqual([s.in_flight for s in module.endpoints.states.values() if s.in_flight], [])
        self.assertEqual(module.pending, {})


class ClientLeaves(EndingScenario):
    WANTS = "send GET /api/k1\ns1 expect GET /api/k1\ns1 send 404 none"

    def test_while_connecting_to_a_cache_node(self) -> None:
        self.play("s1 hold\nc1 send GET /api/k1\nc1 close")
        self.assert_nothing_left()

    def test_while_connecting_to_the_origin(self) -> None:
        """Guards against a fetch that is sent after its only client has left.

        A fetch that was sent continues, because its response is stored. This one was never written.
        """
        self.play("""
            origin hold
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 none
            all holds engine.pending_count 1
            c1 close
        """)
        self.assert_nothing_left()
        self.play("origin let\nwait 100\norigin expect nothing")

    def test_a_write_while_connecting(self) -> None:
        self.play("origin hold\nc1 send PUT /api/k1 value\nall holds engine.pending_count 1\nc1 close")
        self.assert_nothing_left()
        self.play("origin let\norigin expect nothing")

    def test_a_long_body_that_is_complete_while_connecting(self) -> None:
        body = "x" * 100_000
        self.play(
            f"origin hold\nc1 send PUT /api/k1 {body}\nall holds engine.pending_count 1\nc1 close\norigin let"
        )
        self.assert_nothing_left()
        self.play("origin expect nothing")

    def test_in_a_fetch_that_others_share(self) -> None:
        """The fetch was written, so it continues; waiting and later requests share its response."""
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
        self.assert_nothing_left()

    def test_in_a_fetch_that_others_share_and_that_never_ran(self) -> None:
        """The waiting requests share one new fetch instead of sending one each."""
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
        self.assert_nothing_left()

    def test_in_a_fetch_that_others_share_and_that_hangs(self) -> None:
        """The waiting requests wait until the deadline of the first request, and no longer."""
        self.play("c1 send GET /api/k1 Req-Deadline=0.200\ns1 expect GET /api/k1\ns1 send 404 none")
        self.play(f"origin expect GET /api/k1\nc2 {self.WANTS}\nc1 close\nwait 190\norigin expect nothing")
        self.play("wait 20\ns1 expect GET /api/k1\ns1 send 404 none\nwait 150\norigin expect GET /api/k1")
        self.play("origin send 200 value\nc2 expect 200 value")

    def test_right_behind_its_request(self) -> None:
        """Guards against a request that is forwarded although its client has already closed.

        Request and close arrive together, and a connection to the node is open.
        """
        self.play("c2 send GET /api/k1\ns1 expect GET /api/k1\ns1 send 200 value\nc2 expect 200 value")
        wire = self.wire("c1")
        wire.sock.send(self.request("/api/k1"))
        wire.sock.close()
        self.wires["c1"].pop()
        self.play("wait 20\ns1 expect nothing")
        self.assert_nothing_left()

    def test_half_close_right_behind_its_request(self) -> None:
        self.play("c2 send GET /api/k1\ns1 expect GET /api/k1\ns1 send 200 value\nc2 expect 200 value")
        wire = self.wire("c1")
        wire.sock.send(self.request("/api/k1"))
        self.play("c1 half-close\nc1 expect 499 Connection=close\ns1 expect nothing\nc1 expect closed")
        self.assert_nothing_left()

    def test_behind_requests_that_are_not_read(self) -> None:
        """Four requests are read ahead; the others stay in the socket, so no selector reports the close."""
        first, others = self.request("/api/k1"), [self.request(f"/api/k{n}") for n in range(2, 9)]
        self.put("c1", first)
        self.play("s1 expect GET /api/k1")
        for request in others:
            self.put("c1", request)
        self.play(
            f"all holds engine.pending_count 1\nc1 close\nwait {listener.CLOSED_PEER_CHECK_INTERVAL_MS + 10}"
        )
        self.assert_nothing_left()
        self.play("s1 expect closed\ns1 expect nothing")

    def test_behind_a_body_that_waits_for_buffer_space(self) -> None:
        """The close is detected during the connect, when no body bytes are forwarded and no more are read."""
        self.play("origin hold")
        self.put("c1", self.request("/api/k1", method="PUT", length=3_000_000))
        self.put("c1", b"x" * 300_000)
        self.play(
            f"all holds engine.pending_count 1\nc1 close\nwait {listener.CLOSED_PEER_CHECK_INTERVAL_MS + 10}"
        )
        self.assert_nothing_left()


class EndpointDrains(EndingScenario):
    def test_while_connecting_to_it(self) -> None:
        """The request goes to another node at once, and costs no retry budget."""
        self.start_long_poll()
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
        self.assert_nothing_left()
        self.assertEqual(self.module().retry_budget, retries)
        self.play("s1 let\nwait 100\ns1 expect nothing")

    def test_while_connecting_to_the_only_one(self) -> None:
        self.start_long_poll()
        self.play("s1 hold\nc1 send GET /api/k1\nd tell 42 s1=leaving\nc1 expect 503")
        self.assert_nothing_left()

    def test_while_connecting_to_the_origin(self) -> None:
        self.start_long_poll()
        self.play("origin hold\nc1 send PUT /api/k1 value\nd tell 42 origin=leaving\nc1 expect 503")
        self.assert_nothing_left()

    def test_a_written_attempt_is_completed(self) -> None:
        self.start_long_poll()
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            d tell 42 s1=leaving s2=active
            s1 send 200 value
            c1 expect 200 value
            s1 expect closed
            s2 expect nothing
        """)
        self.assert_nothing_left()

    def test_while_a_request_waits_for_a_shared_fetch(self) -> None:
        """The copy is stored at a node that has begun to drain, so it is not read there."""
        self.start_long_poll()
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
        self.assert_nothing_left()

    def test_while_a_request_waits_for_its_turn_at_the_origin(self) -> None:
        self.start_long_poll()
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
        self.assert_nothing_left()

    def test_before_a_retry(self) -> None:
        """The first attempt fails when the list has just been received; the retry follows the new list."""
        self.start_long_poll()
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            d tell 42 s1=leaving s2=active
            s1 raw HTTP/1.1 nonsense\\r\\n\\r\\n
            s2 expect GET /api/k1
            s2 send 200 value
            c1 expect 200 value
        """)
        self.assert_nothing_left()

    def test_a_drain_that_is_announced_while_all_others_are_silent(self) -> None:
        """When no endpoint seems healthy, all are tried except draining ones."""
        self.start_long_poll()
        self.play("d tell 42 s1=leaving")
        module = self.module()
        module.pools.refresh()
        self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")


class TimeRunsOut(EndingScenario):
    """A window, a deadline or a client ends between the decision to send and the first byte."""

    def document(self) -> dict[str, Any]:
        document = super().document()
        classes = [{**one} for one in SETTINGS["request_classes"]]
        classes[1]["repeat_window"] = 350.0  # MAX_WRITE_DELAY_MS of it is reserved for a pause of the router
        document["settings"] = {**SETTINGS, "request_classes": classes}
        return document

    def retry_after_connect(self, connect_ms: float) -> None:
        """Retry a write after a malformed response, with a connect that takes `connect_ms`."""
        self.play("c1 send PUT /api/k1 value\norigin expect PUT /api/k1\norigin hold")
        self.play("origin raw HTTP/1.1 nonsense\\r\\n\\r\\n\nall holds engine.pending_count 1")
        (connection,) = self.server.pool.busy.values()
        assert connection.is_connecting
        self.wait(connect_ms)
        with mock.patch.object(TcpStream, "finish_connect"), mock.patch.object(TcpStream, "write") as write:
            write.return_value = 0
            connection.on_ready(WRITE)
        self.written = any(call.args[0][:3] == b"PUT" for call in write.call_args_list)

    def test_a_retry_within_its_repeat_window(self) -> None:
        self.retry_after_connect(190)
        self.assertTrue(self.written)

    def test_a_retry_whose_repeat_window_ends_while_connecting(self) -> None:
        """The upstream may have forgotten the first attempt by then, and would execute the write twice."""
        self.retry_after_connect(210)
        self.assertFalse(self.written)
        self.play("c1 expect 503")
        self.assert_nothing_left()

    def test_the_remaining_time_counts_from_the_write(self) -> None:
        """The remaining time does not count from the begin of the connect."""
        self.play("s1 hold\nc1 send GET /api/k1 Req-Deadline=0.500\nwait 200")
        (connection,) = self.server.pool.busy.values()
        with mock.patch.object(TcpStream, "finish_connect"), mock.patch.object(TcpStream, "write") as write:
            write.side_effect = len
            connection.on_ready(WRITE)
        (request,) = (bytes(call.args[0]) for call in write.call_args_list)
        self.assertIn(b"Req-Deadline: 0.3", request)

    def test_a_client_that_has_left_unnoticed_before_the_first_byte(self) -> None:
        """The connect succeeds in the same iteration of the loop in which the close could be read."""
        self.play("s1 hold\nc1 send GET /api/k1")
        (connection,) = self.server.pool.busy.values()
        self.wires["c1"][-1].sock.close()
        with mock.patch.object(TcpStream, "finish_connect"), mock.patch.object(TcpStream, "write") as write:
            connection.on_ready(WRITE)
        write.assert_not_called()
        self.assertEqual(self.server.engine.counts["write_denied_request_finished"], 1)

    def test_a_deadline_that_passes_while_connecting(self) -> None:
        self.play("s1 hold\nc1 send GET /api/k1 Req-Deadline=0.100\nwait 100\nc1 expect 504")
        self.assert_nothing_left()

    def test_a_deadline_of_zero(self) -> None:
        self.play("c1 send GET /api/k1 Req-Deadline=0\nc1 expect 504\ns1 expect nothing")
        self.assert_nothing_left()


class Shutdown(EndingScenario):
    """SIGTERM arrives while requests are in different states."""

    def assert_shutdown(self, text: str) -> None:
        """Run a scenario; expect c1 answered, its connection closed, and the router ended."""
        self.play(f"{text}\nc1 expect 200 Connection=close value\nc1 expect closed\nwait 1000\nrouter ended")
        self.assert_nothing_left()

    def test_while_a_head_is_incomplete(self) -> None:
        head, rest = self.request("/api/k1")[:40], self.request("/api/k1")[40:]
        self.put("c1", head)
        self.play("router end")
        self.put("c1", rest.replace(b"own2", b"own1"))
        self.assert_shutdown("s1 expect GET /api/k1\ns1 send 200 value")

    def test_while_connecting(self) -> None:
        self.play("s1 hold\nc1 send GET /api/k1\nrouter end\ns1 let")
        self.play("wait 250\nc1 expect 503 Connection=close\nc1 expect closed\nwait 1000\nrouter ended")
        self.assert_nothing_left()

    def test_while_an_attempt_is_written(self) -> None:
        self.assert_shutdown("c1 send GET /api/k1\ns1 expect GET /api/k1\nrouter end\ns1 send 200 value")

    def test_while_fetching_from_the_origin(self) -> None:
        self.assert_shutdown("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 none
            origin expect GET /api/k1
            router end
            origin send 200 value
        """)

    def test_while_it_waits_for_a_shared_fetch(self) -> None:
        self.assert_shutdown("""
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
        self.assert_nothing_left()

    def test_twice(self) -> None:
        self.assert_shutdown(
            "c1 send GET /api/k1\ns1 expect GET /api/k1\nrouter end\nrouter end\ns1 send 200 value"
        )

    def test_beside_a_new_configuration(self) -> None:
        self.assert_shutdown("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            router reload
            router end
            router reload
            s1 send 200 value
        """)

    def test_a_request_that_crosses_the_close_of_its_connection(self) -> None:
        """The request is not read, and the connection is not reset, which could lose the last response."""
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1\ns1 send 200 value\nrouter end\nwait 590")
        wire = self.wires["c1"][-1]
        with mock.patch.object(
            DownstreamConnection, "is_idle", lambda connection: connection.protocol.is_idle()
        ):
            self.now += 0.02
            wire.sock.send(self.request("/api/k2"))
            self.loop.step(0)  # the timer first, so the check comes just before the request
        wire.sock.settimeout(2.0)
        self.assertEqual(wire.sock.recv(1), b"")  # and no ConnectionResetError
        wire.sock.setblocking(False)
        self.play("wait 40\nc1 expect 200 value\nc1 expect closed\ns1 expect nothing")
        self.assert_nothing_left()


class PollEnds(EndingScenario):
    """How long the endpoint list may be out of date, for each way in which a poll can end.

    The sum of the terms stays below `MAX_NOTIFICATION_DELAY_MS`; the rest is left for the poll itself.
    """

    def test_the_maximum_delay_is_the_sum_of_its_terms(self) -> None:
        oldest = endpoint_watch.max_notification_delay_ms(RETRY_DELAYS_MS[0], RETRY_DELAYS_MS[-1])
        self.assertEqual(oldest, max(2500 + 1500 + 150, 3100 + 1800) + 1000)
        self.assertLess(oldest, endpoint_watch.MAX_NOTIFICATION_DELAY_MS)

    def answer_next_poll(self, text: str) -> float:
        """Answer the next poll with a drain and check that it applies at once.

        Returns the time until that poll, in milliseconds.
        """
        since = self.now
        for _ in range(2_000):
            self.wait(5)
            if any(b"wait_ms=0" in w.seen or b"endpoints HTTP" in w.seen for w in self.wires["d"]):
                break
        self.play(text)
        elapsed_ms = (self.now - since) * 1000.0
        self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")
        self.assertLess(elapsed_ms, endpoint_watch.MAX_NOTIFICATION_DELAY_MS)
        return elapsed_ms

    def ignore_poll(self) -> None:
        """Drop the poll that discovery has received, so it is never answered."""
        for wire in self.wires["d"]:
            wire.seen = b""

    POLL_AND_DRAIN = f"{FIRST}\nd tell 42 s1=leaving"

    def test_first_poll_is_never_answered(self) -> None:
        self.wait(700)
        self.ignore_poll()
        self.answer_next_poll(self.POLL_AND_DRAIN)

    def test_long_poll_is_never_answered(self) -> None:
        self.start_long_poll()
        elapsed_ms = self.answer_next_poll(self.POLL_AND_DRAIN)
        self.assertGreater(elapsed_ms, 4000)

    def test_an_answer_that_comes_when_its_poll_is_overdue_counts(self) -> None:
        """Discovery has written the response, so it counts, although the next poll has begun."""
        self.play(FIRST)
        self.wait(endpoint_watch.FIRST_RESPONSE_TIMEOUT_MS + 50)
        self.play("d tell 42 s1=leaving\nc1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")
        # The next poll had the old revision, so its response changes nothing.
        self.play(f"wait {RETRY_DELAYS_MS[0]}")
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

    def test_response_stops_in_the_middle(self) -> None:
        self.start_long_poll()
        self.play('d raw HTTP/1.1 200 OK\\r\\nContent-Length: 500\\r\\n\\r\\n{"rev":42,')
        self.answer_next_poll(self.POLL_AND_DRAIN)

    def test_connection_is_reset(self) -> None:
        self.start_long_poll()
        self.play("d close")
        self.assertLess(self.answer_next_poll(self.POLL_AND_DRAIN), 200)

    def test_answered_503(self) -> None:
        self.start_long_poll()
        self.play("d send 503 no")
        self.assertLess(self.answer_next_poll(self.POLL_AND_DRAIN), 200)

    def test_list_is_malformed(self) -> None:
        self.start_long_poll()
        self.play('d send 200 {"rev":42,"all":false,"targets":[{"uid":7}]}')
        self.assertLess(self.answer_next_poll(self.POLL_AND_DRAIN), 200)

    def test_connects_do_not_succeed(self) -> None:
        """Discovery is unreachable for 8 s, after which the backoff has its maximum."""
        self.start_long_poll()
        self.play("d close\nd hold\nwait 8000\nd let")
        elapsed_ms = self.answer_next_poll(self.POLL_AND_DRAIN)
        self.assertLess(elapsed_ms, CONNECT_TIMEOUT_MS + MAX_RETRY_DELAY_MS + 10)

    def test_each_poll_is_refused_for_a_long_time(self) -> None:
        self.start_long_poll()
        for _ in range(8):
            self.play(f"d send 503 no\nwait 1900\n{FIRST}")
        self.play("d send 503 no")
        self.assertLess(self.answer_next_poll(self.POLL_AND_DRAIN), RETRY_DELAYS_MS[-1] + 10)

    def test_a_change_between_two_polls_is_in_the_next_response(self) -> None:
        self.start_long_poll()
        self.play("""
            d tell 41
            d expect GET /v1/endpoints?after=41&wait_ms=2500
            d tell 42 s1=leaving
            c1 send GET /api/k1
            c1 expect 503
        """)

    def test_the_same_drain_twice_and_indented(self) -> None:
        self.start_long_poll()
        rows = [target("s1", self.port("s1"), "leaving")]
        body = json.dumps({"rev": 42, "all": False, "targets": rows}, indent=4)
        self.play(f"d send 200 {body.replace(chr(10), ' ')}")
        self.play("d expect GET /v1/endpoints?after=42&wait_ms=2500\nd tell 42 s1=leaving")
        self.play("d expect GET /v1/endpoints?after=42&wait_ms=2500")
        self.play("c1 send GET /api/k1\nc1 expect 503\nall holds endpoint_directory.revision 42")

    def test_a_revision_that_goes_back(self) -> None:
        """Discovery was reset: its full list applies, and polls continue from its revision."""
        self.start_long_poll()
        self.play("""
            d list 3 s2=active origin=active
            d expect GET /v1/endpoints?after=3&wait_ms=2500
            c1 send GET /api/k1
            s2 expect GET /api/k1
            s1 expect nothing
        """)

    def test_a_switch_whose_first_poll_fails_requests_the_full_list_again(self) -> None:
        """The revision that the router holds has another meaning at the new discovery service."""
        self.start_long_poll()
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


class DescriptorsFull(EndingScenario):
    """Idle clients use all descriptors of clients, and more wait in the queue, while discovery is down."""

    sockets = 128

    def test_the_router_recovers_the_list_and_serves_clients(self) -> None:
        """When discovery is back, the list is received, and an upstream in it serves a request."""
        self.start_long_poll()
        self.play("d close\nd hold")
        for n in range(90):
            self.wire(f"h{n}")
        self.wait(400)
        budget = self.server.budget
        self.assertGreaterEqual(len(self.server.listener.connections), budget.downstream_limit())
        while budget.used < budget.limit:
            budget.acquire(DescriptorUse.UPSTREAM)  # upstreams use all other descriptors
        self.play("wait 3000\nd let")
        since = self.now
        for _ in range(2_000):
            if any(b"wait_ms=0" in wire.seen for wire in self.wires["d"]):
                break
            self.wait(5)
        elapsed_ms = (self.now - since) * 1000.0
        self.assertLess(elapsed_ms, MAX_RETRY_DELAY_MS + CONNECT_TIMEOUT_MS + 10)
        self.play(f"{FIRST}\nd tell 42 s1=leaving s2=active")
        self.play("c1 send GET /api/k1\ns2 expect GET /api/k1\ns2 send 200 value\nc1 expect 200 value")
        self.assertLess((self.now - since) * 1000.0 - elapsed_ms, 500)
        self.assertLessEqual(budget.used, budget.limit + RESERVED_FOR_CONNECTS)


class StartupScenario(EndingScenario):
    """Base of the scenarios of a process that has received no list from discovery yet."""

    def has_started_accepting(self) -> bool:
        """Start to accept clients if that is due, as `run` does; return whether it has started."""
        self.server._start_if_due()
        return self.server.listener.has_started

    def setUp(self) -> None:
        with mock.patch.object(RouterServer, "start_serving"):
            super().setUp()
        self.server._awaits_list = True

    def can_connect(self) -> bool:
        """Return whether a connect to the router's address succeeds."""
        with socket.socket() as sock:
            return sock.connect_ex(self.server.listener.sock.getsockname()) == 0


class Startup(StartupScenario):
    """A process starts while discovery can be reached."""

    def test_it_refuses_connections_until_it_has_a_list(self) -> None:
        """Guards against connections and requests that the kernel accepts before the router may serve."""
        self.wait(200)
        self.assertFalse(self.has_started_accepting())
        self.assertFalse(self.can_connect())
        self.play(f"{FIRST}\nd tell 42 s1=leaving")
        self.assertTrue(self.server.listener.has_started)
        self.assertTrue(self.can_connect())

    def test_an_address_where_another_process_listens_is_tried_again(self) -> None:
        """Both sockets were bound before either listened, as when two processes start at once."""
        address = self.server.listener.sock.getsockname()
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(address)
            other.listen()
            self.play(f"{FIRST}\nd tell 42 s1=leaving")
            self.assertFalse(self.has_started_accepting())
        self.assertTrue(self.has_started_accepting())
        self.assertTrue(self.can_connect())

    def test_a_discovery_that_responds_without_a_list_is_waited_for(self) -> None:
        self.play(f"{FIRST}\nd send 503 no")
        self.wait(MAX_START_WAIT_MS - 100)
        self.assertFalse(self.has_started_accepting())
        self.wait(100)
        self.assertTrue(self.has_started_accepting())


class StartupWithoutDiscovery(StartupScenario):
    """A process starts while discovery cannot be reached."""

    def document(self) -> dict[str, Any]:
        return {**super().document(), "discovery": "127.0.0.1:1"}

    def test_it_starts_after_a_short_wait(self) -> None:
        self.wait(UNREACHABLE_START_WAIT_MS - 100)
        self.assertFalse(self.has_started_accepting())
        self.wait(200)
        self.assertTrue(self.has_started_accepting())


class SystemCallsFail(EndingScenario):
    """Errors of accept and connect for one connection or this machine do not affect other parties."""

    def test_an_aborted_connection_does_not_end_the_accepts_at_shutdown(self) -> None:
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

    def test_accepts_that_fail_at_shutdown_reset_no_client(self) -> None:
        """No descriptor is available for 300 ms, just when the listening socket would be closed."""
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

    def test_an_aborted_connection_evicts_no_client(self) -> None:
        (listen_socket,) = self.server.listener.listen_sockets
        self.play("c1 send GET /ready\nc1 expect 200 ready")
        listen_socket.sock = mock.Mock(wraps=listen_socket.sock)
        listen_socket.sock.accept.side_effect = chain(
            [OSError(errno.ENETUNREACH, ""), OSError(errno.EPROTO, "")], repeat(mock.DEFAULT)
        )
        self.play("c2 send GET /ready\nc2 expect 200 ready\nc1 send GET /ready\nc1 expect 200 ready")

    def test_a_connect_that_fails_locally_counts_against_no_endpoint(self) -> None:
        self.start_long_poll()
        failure = OSError(errno.EADDRNOTAVAIL, "")
        with mock.patch("rosepick.net.upstream_pool.dial", side_effect=failure):
            self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing")
        states = self.module().endpoints.states.values()
        self.assertEqual([state.consecutive_failures for state in states], [0] * len(states))
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1\ns1 send 200 value\nc1 expect 200 value")
        self.assert_nothing_left()


class Violations(EndingScenario):
    """A violated invariant is counted in the telemetry, in every build."""

    def violation_count(self) -> int:
        """Return the number of violations in the telemetry."""
        return int(json.loads(self.server.telemetry().line())["violations"])

    def test_a_close_before_the_answer_is_counted(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        before = self.violation_count()
        (connection,) = self.server.listener.connections
        connection.close(CloseReason.CAPACITY)
        self.assertEqual(self.violation_count(), before + 1)
        self.assertIn("close_answer_owed", violation_counts)

    def test_other_closes_are_not_counted(self) -> None:
        before = self.violation_count()
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1\nc1 close")  # the client has left
        self.play("c2 send GET /api/k2\ns1 expect GET /api/k2\ns1 send 200 value\nc2 expect 200 value")
        (connection,) = self.server.listener.connections
        connection.close(CloseReason.CAPACITY)  # the connection is idle
        self.assertEqual(self.violation_count(), before)

    def test_in_a_release_build(self) -> None:
        """A send that the decision module may not make is not executed; it is counted, not asserted."""
        done = subprocess.run(
            [sys.executable, "-O", "-m", "tests.release_build_violation"],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(json.loads(done.stdout), {"sent": 0, "telemetry": 1})
        self.assertIn("event=invariant_violated name=send_attempts_used", done.stderr)


class PushedLists(EndingScenario):
    """Discovery pushes lists to an agent, which the router has to poll."""

    def document(self) -> dict[str, Any]:
        return {**super().document(), "settings": {**SETTINGS, "membership_mode": "automatic"}}

    def test_the_agent_is_polled_at_once_and_again_after_a_failure(self) -> None:
        self.play(f"""
            wait {TICK_MS}
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


def test_waiters_of_a_fetch_that_hangs_wait_until_its_deadline() -> None:
    """The waiting request continues even if the module is not notified of the attempt's end."""
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


def test_a_body_with_dropped_bytes_is_incomplete() -> None:
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
