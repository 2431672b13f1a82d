"""Clients that send malformed requests, too many requests or no request."""

from __future__ import annotations

from .scenario import Scenario

HEAD = r"Req-Id: 7\r\nReq-Kind: read\r\nReq-Owner: beta\r\nReq-Deadline: 1\r\n"
REQUEST = rf"GET /api/k1 HTTP/1.1\r\n{HEAD}\r\n"


class FramingScenario(Scenario):
    def assert_rejected(self, head: str, body: str = "") -> None:
        self.play(rf"""
            c1 raw PUT /api/k1 HTTP/1.1\r\n{HEAD}{head}\r\n\r\n{body}
            c1 expect 400 Connection=close
            wait 600
            c1 expect closed
            s1 expect nothing
            origin expect nothing
        """)
        self.assertEqual(self.server.engine.counts["requests"], 0)

    def test_conflicting_lengths_do_not_smuggle_a_request(self) -> None:
        hidden = rf"0\r\n\r\n{REQUEST}"
        self.assert_rejected(r"Content-Length: 120\r\nTransfer-Encoding: chunked", hidden)
        self.assert_rejected(r"Transfer-Encoding: chunked\r\nContent-Length: 120", hidden)

    def test_invalid_content_length_is_rejected(self) -> None:
        for length in ("-1", "+4", "ten", "4, 4", r"4\r\nContent-Length: 5", "9" * 30):
            self.assert_rejected(f"Content-Length: {length}", "abcd")

    def test_duplicate_headers_are_rejected(self) -> None:
        for repeated in ("req-id: 8", "Req-Kind: read", "Req-Owner: acme", "Req-Deadline: 2"):
            self.assert_rejected(repeated)

    def test_invalid_request_id_is_rejected(self) -> None:
        self.play(f"c1 send GET /api/k1 Req-Id={'x' * 129}\nc1 expect 400")
        self.play("c2 send GET /api/k1 Req-Id=a\tb\nc2 expect 400")


class RequestIdScenario(Scenario):
    def test_id_of_an_open_request_is_rejected_and_the_first_request_continues(self) -> None:
        self.play("""
            c1 send GET /api/k1 Req-Id=77
            s1 expect GET /api/k1
            c2 send GET /api/k1 Req-Id=77
            c2 expect 409
            s1 expect nothing
            s1 send 200 value
            c1 expect 200 value
        """)

    def test_id_is_released_after_the_response_or_a_disconnect(self) -> None:
        read = """
            c1 send GET /api/k1 Req-Id=77
            s1 expect GET /api/k1
        """
        self.play(read + "s1 send 200 value\nc1 expect 200" + read + "c1 close\ns1 expect closed")
        self.assertEqual(self.server.listener.open_request_ids, set())


class TimeoutScenario(Scenario):
    def test_slow_request_head_gets_408_within_three_seconds_of_connecting(self) -> None:
        self.play(r"""
            c1 raw GET /api/k1 HTTP/1.1\r\n
            wait 1000
            c1 raw Req-
            wait 900
            c1 raw Id:
            wait 900
            c1 expect 408 Connection=close
        """)

    def test_timeout_of_a_partial_request_counts_from_connecting(self) -> None:
        self.connect("c1")
        self.play(r"""
            wait 1500
            c1 raw GET /api/k1 HTTP/1.1\r\n
            wait 1300
            c1 expect 408
        """)

    def test_each_pipelined_request_has_its_own_timeout(self) -> None:
        """Guards against a 408 for a client that always has a part of its next request under way."""
        self.play(r"c1 raw GET /ready HTTP/1.1\r\n\r\nGET /re")
        for _ in range(8):
            self.play(r"""
                c1 expect 200
                wait 600
                c1 raw ady HTTP/1.1\r\n\r\nGET /re
            """)

    def test_time_in_which_the_router_does_not_read_does_not_count(self) -> None:
        """Guards against a 408 for a request whose rest waits behind others that fill the pipeline."""
        probes = 4 * r"GET /ready HTTP/1.1\r\n\r\n"
        self.play(rf"""
            c1 send PUT /api/k1 Req-Deadline=9.000 v
            origin expect PUT
            c1 raw {probes}GET /ready HTTP/1.1\r\nContent-Length: 40000\r\n\r\n{10_000 * "x"}
            wait 3500
            origin send 200 stored
        """)
        self.play(5 * "c1 expect 200\n")
        self.play(rf"""
            wait 600
            c1 raw {30_000 * "x"}
            c1 expect 200
        """)

    def test_connection_without_a_request_is_closed_in_time(self) -> None:
        self.connect("c1")
        self.play("wait 2900\nc1 expect closed")

    def test_idle_connection_is_closed_after_its_timeout_only(self) -> None:
        """The idle timeout is 8 s by default, and each request restarts it."""
        self.play("""
            c1 send GET /ready
            c1 expect 200
            wait 5000
            c1 send GET /ready
            c1 expect 200
            wait 9000
            c1 expect closed
        """)
        listener = self.server.listener
        self.assertFalse(listener.connections or len(listener.connection_table))

    def connect(self, client: str) -> None:
        self.wire(client)
        self.step()


class ConnectionPressureScenario(Scenario):
    sockets = 128  # 80 for connections, of which clients may hold 40

    def test_silent_clients_do_not_evict_connections_of_upstreams_and_other_clients(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 value
            c1 expect 200
        """)
        for n in range(100, 190):
            self.wire(f"c{n}")
            self.play("wait 10")
        self.assertLessEqual(len(self.server.listener.connections), 40)
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
        """)
        self.assertEqual([len(self.wires[name]) for name in ("c1", "s1")], [1, 1])

    def test_accepting_resumes_soon_after_a_burst_fills_all_slots(self) -> None:
        for n in range(100, 160):
            self.wire(f"c{n}")
        self.play("wait 5")
        self.play("c1 send GET /ready\nc1 expect nothing\nwait 300\nc1 expect 200 ready")

    def test_pipelined_invalid_requests_get_one_response(self) -> None:
        self.play("c1 raw " + REQUEST.replace("read", "none") * 100)
        self.play("c1 expect 400 Connection=close\nwait 600\nc1 expect closed")
        self.assertEqual(self.server.listener.rejected_count, 1)
