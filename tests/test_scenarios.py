"""Scenarios with clients, upstreams and discovery on loopback, and how the router responds."""

from __future__ import annotations

import errno
import socket
import time
from itertools import chain, repeat
from unittest import mock

from rosepick.decisions.api import Result
from rosepick.http.client_protocol import HttpExchange
from rosepick.http.request_messages import ForwardedRequest

from .scenario import Scenario


class Reads(Scenario):
    def test_hit(self) -> None:
        self.play("""
            c1 send GET /api/k1?a=%20b Req-Id=77
            s1 expect GET /api/k1?a=%20b Req-Id: 77 Req-Deadline: 1.000
            s1 send 200 value Srv-Cache=hit Content-Type=text/plain
            c1 expect 200 value Content-Type=text/plain
        """)

    def test_miss_goes_to_the_origin(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 ''
            origin expect GET /api/k1
            origin send 200 value
            c1 expect 200 value
        """)

    def test_connections_are_reused_on_both_sides(self) -> None:
        read = """
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 value
            c1 expect 200 value
        """
        self.play(read + "wait 6" + read)
        self.assertEqual([len(self.wires[name]) for name in ("c1", "s1")], [1, 1])

    def test_chunked_response_in_pieces(self) -> None:
        self.play(r"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 raw HTTP/1.1 200 OK\r\nTransfer-En
            s1 raw coding: chunked\r\n\r\n2\r\nva\r\n3\r
            s1 raw \nlue\r\n0\r\n\r
            c1 expect nothing
            s1 raw \n
            c1 expect 200 Content-Length=5 value
        """)

    def test_response_that_ends_with_its_connection(self) -> None:
        self.play(r"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 raw HTTP/1.1 200 OK\r\n\r\nval
            s1 raw ue
            s1 close
            c1 expect 200 value
        """)

    def test_request_in_pieces(self) -> None:
        self.play(r"""
            c1 raw GET /api/k1 HTTP/1.1\r\nReq-Id: 7\r\nReq-Ki
            c1 raw nd: read\r\nReq-Owner: beta\r\nReq-Deadline: 0.5\r\n\r
            s1 expect nothing
            c1 raw \n
            s1 expect GET /api/k1 Req-Deadline: 0.500
        """)

    def test_two_pipelined_requests_are_answered_in_order(self) -> None:
        one = r"GET /api/k1 HTTP/1.1\r\nReq-Id: 7\r\nReq-Kind: read\r\nReq-Owner: beta\r\n"
        one += r"Req-Deadline: 1\r\n\r\n"
        self.play(rf"""
            c1 raw {one}{one.replace("k1", "k2")}
            s1 expect GET /api/k1
            s1 expect nothing
            s1 send 200 first
            c1 expect 200 first
            s1 expect GET /api/k2
            s1 send 200 second
            c1 expect 200 second
        """)


class Writes(Scenario):
    def test_forwarded_unchanged(self) -> None:
        self.play("""
            c1 send PUT /api/k1 some value Idempotency-Key=i-1
            origin expect PUT /api/k1 Idempotency-Key: i-1 some value
            origin send 200 done
            c1 expect 200 done
        """)

    def test_large_value_with_a_slow_reader(self) -> None:
        value = "x" * 60_000
        self.play(f"""
            c1 send PUT /api/k1 {value}
            origin expect PUT /api/k1 {value}
            origin send 200 {value}
            c1 expect 200 {value}
        """)


class Outcomes(Scenario):
    def test_refused_connection(self) -> None:
        self.play("""
            s1 refuse
            c1 send GET /api/k1
            c1 expect 503 Retry-After
        """)
        self.assertEqual(self.server.engine.counts["attempt_connect_failed"], 1)

    def assert_outcome(self, response: str, outcome: str) -> None:
        self.play(f"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 {response}
            c1 expect 503 Retry-After
        """)
        self.assertEqual(self.server.engine.counts[f"attempt_{outcome}"], 1)

    def test_declined(self) -> None:
        self.assert_outcome("send 503 '' Srv-Declined=1", "busy")

    def test_not_declined(self) -> None:
        self.assert_outcome("send 503 ''", "error")

    def test_malformed_response(self) -> None:
        self.assert_outcome(r"raw HELO\r\n\r\n", "malformed")

    def test_connection_that_breaks(self) -> None:
        self.assert_outcome("close", "reset")

    def test_early_response_to_a_request_not_yet_written(self) -> None:
        exchange = HttpExchange(
            ForwardedRequest(b"PUT", b"/api/k1", b"v", b"7", None, None), "origin", 1000.0
        )
        result = exchange.feed(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
        assert result is not None
        self.assertEqual((result.result, result.reusable), (Result.CONNECT_FAILED, False))

    def test_read_that_times_out_fails_at_the_deadline(self) -> None:
        """Guards against a refusal, which a decision a few microseconds before the deadline would be."""

        def advancing_clock() -> float:
            self.now += 1e-6
            return self.now

        self.loop._clock = advancing_clock
        self.play("""
            c1 send GET /api/k1 Req-Deadline=0.055
            s1 expect GET /api/k1
            c1 expect nothing
        """)
        attempt = next(iter(self.server.pool.busy))
        pending = self.module().pending[attempt.request.ref]
        self.assertEqual(pending.deadline, attempt.stop_at)
        self.play("""
            wait 60
            c1 expect 504
        """)

    def test_silent_upstream_fails_at_the_deadline_and_its_connection_closes(self) -> None:
        self.play("""
            c1 send PUT /api/k1 v Req-Deadline=0.300
            origin expect PUT /api/k1
            wait 295
            c1 expect nothing
            wait 10
            c1 expect 504
            origin expect closed
        """)
        self.assertEqual(self.server.engine.counts["attempt_timeout"], 1)

    def test_idle_connection_that_was_closed_is_not_used(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 value
            c1 expect 200 value
            s1 close
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 again
            c1 expect 200 again
        """)

    def test_idle_connections_close_before_the_upstream_closes_them(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 value
            c1 expect 200 value
            wait 12000
            s1 expect closed
        """)


class ClientSide(Scenario):
    def test_malformed_requests_are_refused(self) -> None:
        for text, status in (
            ("c1 send GET /api/k1 Req-Id=", 400),
            ("c1 send GET /api/k1 Req-Kind=none", 400),
            ("c1 send GET /api/k1 Req-Owner=none", 400),
            ("c1 send GET /api/k1 Req-Deadline=soon", 400),
            ("c1 send GET /api/k1 Req-Deadline=nan", 400),
            ("c1 send GET /api/k1 Req-Deadline=1_0", 400),
            ("c1 send GET /api/k1 Req-Deadline=1e300", 400),
            ("c1 send GET /api/k1 Req-Cost=-1", 400),
            ("c1 send DELETE /api/k1", 405),
            (r"c1 raw PUT /api/k1 HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413),
            ("c2 send GET /api/k1 Much=" + "x" * 20_000, 431),
            (r"c3 raw GET nonsense\r\n\r\n", 400),
        ):
            self.play(f"{text}\n{text[:2]} expect {status}")
        self.assertEqual(self.server.engine.counts["requests"], 0)

    def test_header_that_never_ends_is_refused(self) -> None:
        self.play(rf"""
            c1 raw GET /api/k1 HTTP/1.1\r\nMuch: {"x" * 9_000}
            c1 raw {"x" * 9_000}
            c1 expect 431 Connection=close
        """)

    def test_client_that_leaves(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            c1 close
            s1 expect closed
        """)
        self.assertEqual(self.server.engine.totals()["client_gone"], 1)
        self.assertEqual(self.server.engine.pending_count, 0)

    def test_client_that_half_closes_still_gets_a_complete_response(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            c1 half-close
            c1 expect 499
            c1 expect closed
        """)

    def test_connection_close_header_is_respected(self) -> None:
        self.play("""
            c1 send GET /ready Connection=close
            c1 expect 200 Connection=close ready
            c1 expect closed
        """)

    def test_a_partial_request_times_out(self) -> None:
        self.play(r"""
            c1 raw GET /api/k1 HTTP/1.1\r\nReq-
            wait 12000
            c1 expect 408
            c1 expect closed
        """)

    def test_upgrade_is_ignored_and_answered_once(self) -> None:
        self.play(r"""
            c1 raw GET /ready HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n
            c1 expect 200 Connection=close ready
            c1 expect closed
            c1 expect nothing
        """)

    def test_many_pipelined_requests_are_not_all_read_ahead(self) -> None:
        request = r"GET /ready HTTP/1.1\r\n\r\n"
        self.play(f"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            c1 raw {request * 3}
            c1 raw {request * 3}
            c1 raw {request * 3}
            c1 expect nothing
        """)
        (connection,) = self.server.listener.connections
        self.assertLess(len(connection.protocol._inbox), 9)
        self.play("s1 send 200 value\nc1 expect 200 value" + "\nc1 expect 200 ready" * 9)

    def test_continue_is_sent_before_a_body(self) -> None:
        self.play(r"""
            c1 raw PUT /api/k1 HTTP/1.1\r\nReq-Id: 7\r\nReq-Kind: set\r\nReq-Owner: beta\r\nReq-Deadline: 1
            c1 raw \r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n
            c1 expect 100
            c1 raw ab
            origin expect PUT /api/k1 ab
        """)


class Faults(Scenario):
    def test_fault_in_the_decision_module_fails_the_request(self) -> None:
        self.make_raise(self.server.engine.router, "_accept_request")
        self.play("""
            c1 send GET /api/k1
            c1 expect 500
        """)
        self.assertEqual((self.server.engine.counts["faults"], self.server.engine.pending_count), (1, 0))

    def test_fault_at_the_start_of_an_attempt_fails_the_request(self) -> None:
        self.make_raise(self.server.pool, "_take_idle")
        self.play("""
            c1 send GET /api/k1
            c1 expect 503
        """)
        self.assertEqual(self.server.engine.counts["faults"], 1)

    def test_fault_while_reading_a_response_ends_the_attempt_and_not_the_loop(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
        """)
        (connection,) = self.server.pool.busy.values()
        self.make_raise(connection, "_read")
        self.play("""
            s1 send 200 value
            c1 expect 503
            s1 expect closed
        """)
        self.assertEqual(self.loop.fault_count, 1)

    def test_request_that_the_module_never_finishes_fails_after_the_deadline(self) -> None:
        """The engine fails it 10 ms after the deadline, which is half of `grace_to_answer`."""
        patch = mock.patch.object(self.server.engine.router, "_finish")
        patch.start()
        self.addCleanup(patch.stop)
        self.play("""
            c1 send GET /api/k1 Req-Deadline=0.200
            s1 expect GET /api/k1
            wait 205
            c1 expect nothing
            wait 15
            c1 expect 504
        """)

    def make_raise(self, part: object, method: str) -> None:
        patch = mock.patch.object(part, method, side_effect=KeyError("broken on purpose"))
        patch.start()
        self.addCleanup(patch.stop)


class Discovery(Scenario):
    def test_polls_continue_from_the_held_revision_on_one_connection(self) -> None:
        self.play("""
            wait 800
            d expect GET /v1/endpoints?after=41&wait_ms=0
            d tell 42 s1=leaving
            d expect GET /v1/endpoints?after=42&wait_ms=2500
            d tell 43
            d expect GET /v1/endpoints?after=43&wait_ms=2500
        """)
        self.assertEqual(len(self.wires["d"]), 1)

    def test_idle_connections_to_a_draining_upstream_close_at_once(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 value
            c1 expect 200 value
            wait 800
            d expect GET /v1/endpoints
            d tell 42 s1=leaving
            s1 expect closed
        """)

    def assert_polled_again_after(self, failure: str) -> None:
        self.play(f"""
            wait 700
            d expect GET /v1/endpoints?after=41&wait_ms=0
            {failure}
            wait 1100
            d expect GET /v1/endpoints?after=41&wait_ms=0
        """)

    def test_declined(self) -> None:
        self.assert_polled_again_after("d send 503 busy")

    def test_malformed_json(self) -> None:
        self.assert_polled_again_after("d send 200 {")

    def test_response_that_is_not_an_endpoint_list(self) -> None:
        self.assert_polled_again_after("d send 200 []")

    def test_response_that_is_not_http(self) -> None:
        self.assert_polled_again_after(r"d raw \x00\x00")

    def test_connection_that_breaks(self) -> None:
        self.assert_polled_again_after("d close")

    def test_silence(self) -> None:
        self.assert_polled_again_after("wait 4500")


class Shutdown(Scenario):
    def test_pending_requests_are_answered_and_connections_still_accepted(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            router end
            c2 send GET /api/k2
            s1 expect GET /api/k2
            s1 send 200 two
            c2 expect 200 Connection=close two
            wait 700
            router going
            c1 close
            s1 expect closed
            wait 30
            router ended
        """)

    def test_pipelined_requests_are_answered_before_the_connection_closes(self) -> None:
        request = r"GET /ready HTTP/1.1\r\n\r\n"
        self.play(f"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            c1 raw {request}
            router end
            s1 send 200 value
            c1 expect 200 value
            c1 expect 503 Connection=close
            c1 expect closed
        """)

    def test_a_new_connection_is_served_before_idle_ones_close(self) -> None:
        """The request of the new connection may be on the way, and a close would lose it."""
        self.play("router end\nwait 590")
        self.wire("c1")
        self.play("""
            wait 50
            c1 send GET /ready
            c1 expect 503 Connection=close
        """)
        self.wire("c2")
        self.play("wait 300\nc2 expect closed\nwait 600\nrouter ended")

    def test_connections_in_the_queue_are_still_answered(self) -> None:
        self.play("""
            router end
            wait 590
            c1 send GET /api/k1
            s1 expect GET /api/k1
            wait 20
            c2 raw GET /ready HTTP/1.1\\r\\n
            wait 10
            c2 raw \\r\\n
            c2 expect 503 Connection=close
            s1 send 200 value
            c1 expect 200 Connection=close value
            wait 600
            router ended
        """)

    def test_stalled_client_does_not_delay_the_shutdown_indefinitely(self) -> None:
        self.play("""
            c1 send PUT /api/k1 value Req-Deadline=9.000
            origin expect PUT /api/k1
            router end
            wait 3400
            router going
            wait 240
            router ended
        """)


class NoDescriptors(Scenario):
    no_descriptors = OSError(errno.EMFILE, "Too many open files")

    def test_accepting_continues_after_a_pause(self) -> None:
        (listen_socket,) = self.server.listener.listen_sockets
        listen_socket.sock = mock.Mock(wraps=listen_socket.sock)
        listen_socket.sock.accept.side_effect = chain([self.no_descriptors], repeat(mock.DEFAULT))
        self.play("""
            c1 send GET /ready
            c1 expect nothing
            wait 60
            c1 expect 200 ready
        """)

    def test_connect_without_a_descriptor_fails(self) -> None:
        endpoint = next(iter(self.server.endpoint_directory.endpoints.values()))
        with (
            mock.patch("rosepick.net.tcp_stream.socket.socket", side_effect=self.no_descriptors),
            self.assertRaises(OSError) as raised,
        ):
            self.server.pool._dial(endpoint)
        self.assertEqual(raised.exception.errno, errno.EMFILE)
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
        """)

    def test_a_connect_that_succeeded_while_the_loop_was_busy_is_used(self) -> None:
        pool = self.server.pool
        endpoint = next(iter(self.server.endpoint_directory.endpoints.values()))
        connection = pool._dial(endpoint)
        assert connection is not None
        connection.attempt = mock.Mock(begin_by=float("inf"))
        for _ in range(200):
            if connection.stream.is_connected():
                break
            time.sleep(0.005)
        with (
            mock.patch.object(pool, "finish_attempt") as ended,
            mock.patch.object(pool, "may_write", return_value=True),  # the attempt is a mock
        ):
            pool._expire_connect(connection)  # the timer runs before the loop checks the sockets
        ended.assert_not_called()
        self.assertTrue(connection.stream.is_open and not connection.is_connecting)
        connection.attempt = None
        connection.close()

    def test_idle_connection_is_evicted_for_a_connect(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 ''
            origin expect GET /api/k1
        """)
        endpoints = {endpoint.uid: endpoint for endpoint in self.server.endpoint_directory.endpoints.values()}
        sock = socket.socket()
        with mock.patch("rosepick.net.tcp_stream.socket.socket", side_effect=[self.no_descriptors, sock]):
            connection = self.server.pool._dial(endpoints["origin"])
        assert connection is not None
        self.assertIs(connection.stream.sock, sock)
        connection.close()
        self.play("s1 expect closed")


class FewSockets(Scenario):
    sockets = 48 + 9

    def test_idle_connections_are_evicted_and_accepting_pauses(self) -> None:
        for n in range(14):
            self.play(f"c{n} send GET /ready\nc{n} expect 200 ready")
        self.play("""
            c20 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 value
            c20 expect 200 value
        """)
        self.assertLessEqual(self.server.budget.used, 9)
