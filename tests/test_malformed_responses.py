"""Endpoints whose responses are malformed, cut short, large, or followed by surplus bytes."""

from __future__ import annotations

import errno
import socket
from unittest import mock

from rosepick.decisions import api
from rosepick.net import upstream_pool

from .scenario import Scenario

OK = r"HTTP/1.1 200 OK\r\n"
MALFORMED_RESPONSES = (
    r"\x00\x01\x02noise\r\n\r\n",
    OK + r"Content-Length: -1\r\nContent-Length: 4\r\n\r\nabcd",
    OK + r"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nabcd",
    OK + r"Content-Length: 3000000000\r\n\r\nabcd",
    OK + r"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n",
    OK + "X-Pad: " + "p" * 40_000,
    OK + r"Transfer-Encoding: chunked\r\n\r\n0\r\n" + r"X-Pad: pppppppppppppppppppp\r\n" * 2_000,
    r"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000,
)


class MalformedResponses(Scenario):
    def test_fail_an_attempt_that_may_have_run_and_close_its_connection(self) -> None:
        for n, response in enumerate(MALFORMED_RESPONSES):
            self.play(f"""
                c{n} send GET /api/k1
                s1 expect GET /api/k1
                s1 raw {response}
                c{n} expect 503
                s1 expect closed
            """)
        self.assertEqual(self.server.engine.counts["attempt_malformed"], len(MALFORMED_RESPONSES))

    def test_count_neither_against_an_endpoint_nor_the_origin(self) -> None:
        router = self.module()
        limit = router.origin.limit
        for n in range(4):
            self.play(f"""
                c{n} send GET /api/k1
                s1 expect GET /api/k1
                s1 raw {MALFORMED_RESPONSES[0]}
                c{n} expect 503
                c{n} send PUT /api/k1 value Idempotency-Key=i{n}
                origin expect PUT /api/k1
                origin raw {MALFORMED_RESPONSES[0]}
                origin expect PUT /api/k1
                origin send 200 done
                c{n} expect 200
                wait 200
            """)
        self.assertFalse(any(s.ejected or s.in_flight for s in router.endpoints.states.values()))
        self.assertGreaterEqual(router.origin.limit, limit)

    def test_an_invalid_request_is_not_retried(self) -> None:
        self.play("""
            c1 send PUT /api/k1 value Idempotency-Key=i1
            origin expect PUT /api/k1
            origin send 400 ''
            c1 expect 502
            origin expect nothing
        """)
        self.assertEqual(self.server.engine.counts["attempts"], 1)
        self.assertIn(api.Result.INVALID, api.NEVER_RAN)


class ValidResponses(Scenario):
    def check_served(self, response: str, then: str = "") -> None:
        self.play(f"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 raw {response}
            c1 expect 200 abcd
            {then}
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 value
            c1 expect 200 value
        """)

    def test_interim_responses_before(self) -> None:
        early = r"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        self.check_served(early + OK + r"Content-Length: 4\r\n\r\nabcd")

    def test_surplus_bytes_after_a_response_close_the_connection(self) -> None:
        good = OK + r"Content-Length: 4\r\n\r\nabcd"
        for surplus in (good, r"\x00noise"):
            self.check_served(good + surplus, "s1 expect closed")

    def test_surplus_bytes_on_an_idle_connection(self) -> None:
        self.check_served(OK + r"Content-Length: 4\r\n\r\nabcd", r"s1 raw \x00noise" + "\ns1 expect closed")

    def test_a_malformed_load_report(self) -> None:
        self.check_served(OK + r"Srv-Cache: \xff\xfe ??\r\nContent-Length: 4\r\n\r\nabcd")


class BrokenConnections(Scenario):
    def test_resets_count_neither_as_overload_nor_as_silence(self) -> None:
        router = self.module()
        limit = router.origin.limit
        for n in range(40):
            self.play(f"""
                c1 send PUT /api/k{n} value Idempotency-Key=i{n}
                origin expect PUT /api/k{n}
                origin close
                origin expect PUT /api/k{n}
                origin send 200 done
                c1 expect 200
                wait 150
            """)
        self.assertGreaterEqual(router.origin.limit, limit)
        self.assertFalse(any(s.ejected for s in router.endpoints.states.values()))

    def test_connections_are_not_reused_while_endpoints_close_them_after_a_response(self) -> None:
        read = """
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 value
            c1 expect 200 value
        """
        self.play(read + "wait 10\ns1 close" + read + read)
        self.assertEqual(len(self.wires["s1"]), 2)
        self.play("wait 15" + read)
        self.assertEqual(len(self.wires["s1"]), 2)
        self.play("wait 61000\nc1 expect closed\ns1 expect closed\ns1 expect closed" + read + "wait 6" + read)
        self.assertEqual(len(self.wires["s1"]), 1)


class SecondResponses(Scenario):
    """An upstream sends a response twice, the second time some milliseconds after the first."""

    FIRST = """
        c1 send GET /api/k1
        s1 expect GET /api/k1
        s1 send 200 first
        c1 expect 200 first
    """

    def test_a_second_response_is_not_served_to_the_next_request(self) -> None:
        """It crossed the next request on the connection, whose client got another client's value."""
        for late_ms in range(5):
            with self.subTest(late_ms=late_ms):
                self.tearDown()
                self.setUp()
                self.play(self.FIRST)
                before = self.wires["s1"][-1]
                self.wait(late_ms)
                self.play("c2 send GET /api/k2\ns1 expect GET /api/k2")
                self.assertIsNot(self.wires["s1"][-1], before)
                before.sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
                self.play("s1 expect closed\ns1 send 200 other\nc2 expect 200 other")

    def test_a_connection_is_used_at_once_if_no_other_one_can_be_opened(self) -> None:
        self.play(self.FIRST)
        with mock.patch.object(upstream_pool, "dial", side_effect=OSError(errno.EMFILE, "no descriptor")):
            self.play("c2 send GET /api/k2\ns1 expect GET /api/k2\ns1 send 200 other\nc2 expect 200 other")
        self.assertEqual(len(self.wires["s1"]), 1)


class StalledResponses(Scenario):
    def test_a_response_that_stalls_ends_its_attempt_in_time_for_another(self) -> None:
        self.play(rf"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 raw {OK}Content-Length: 9\r\n\r\nval
            wait 100
            s1 raw ue
            wait 100
            c1 expect nothing
            wait 40
            c1 expect 503
            s1 expect closed
        """)
        self.assertEqual(self.server.engine.counts["attempt_malformed"], 1)


class LargeResponses(Scenario):
    def test_large_responses_are_passed_on(self) -> None:
        self.play(f"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 {"x" * 400_000}
            c1 expect 200 {"x" * 400_000}
        """)
        self.assertEqual(self.server.budget.buffered_bytes, 0)

    def test_their_memory_is_bounded(self) -> None:
        self.server.budget.max_buffered_bytes = 20_000
        self.play(rf"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 raw {OK}Content-Length: 60000\r\n\r\n{"x" * 50_000}
            c1 expect 503
            s1 expect closed
        """)
        self.assertEqual(self.server.budget.buffered_bytes, 0)

    def test_the_memory_of_incomplete_heads_is_bounded(self) -> None:
        """Guards against endpoints that each send a long part of a head and no more."""
        self.server.budget.max_buffered_bytes = 10_000
        self.play(rf"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 raw {OK}X: {"x" * 15_000}
            c1 expect 503
            s1 expect closed
        """)
        self.assertEqual(self.server.budget.buffered_bytes, 0)

    def test_a_response_that_the_client_does_not_read_ends_after_its_deadline(self) -> None:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(self.server.listener.sock.getsockname())
            head = "Req-Id: 7\r\nReq-Kind: read\r\nReq-Owner: beta\r\nReq-Deadline: 1\r\n"
            self.step()
            (link,) = self.server.listener.connections
            link.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock.sendall(f"GET /api/k1 HTTP/1.1\r\n{head}\r\n".encode())
            self.play(f"""
                s1 expect GET /api/k1
                s1 send 200 {"x" * 1_000_000}
                wait 9000
            """)
            self.assertGreater(self.server.budget.buffered_bytes, 0)
            self.play("wait 2000")
            self.assertEqual(
                (self.server.budget.buffered_bytes, len(self.server.listener.connections)), (0, 0)
            )
