"""Clients that send malformed requests, too much, or nothing at all."""

from __future__ import annotations

from .scenario import Scenario

HEAD = r"Req-Id: 7\r\nReq-Kind: read\r\nReq-Owner: beta\r\nReq-Deadline: 1\r\n"
ONE = rf"GET /api/k1 HTTP/1.1\r\n{HEAD}\r\n"


class Framing(Scenario):
    def rejects(self, head: str, body: str = "") -> None:
        self.play(rf"""
            c1 raw PUT /api/k1 HTTP/1.1\r\n{HEAD}{head}\r\n\r\n{body}
            c1 expect 400 Connection=close
            wait 600
            c1 expect closed
            s1 expect nothing
            origin expect nothing
        """)
        self.assertEqual(self.server.engine.counts["requests"], 0)

    def test_lengths_that_hide_another_request(self) -> None:
        hidden = rf"0\r\n\r\n{ONE}"
        self.rejects(r"Content-Length: 120\r\nTransfer-Encoding: chunked", hidden)
        self.rejects(r"Transfer-Encoding: chunked\r\nContent-Length: 120", hidden)

    def test_lengths_that_are_no_one_number(self) -> None:
        for length in ("-1", "+4", "ten", "4, 4", r"4\r\nContent-Length: 5", "9" * 30):
            self.rejects(f"Content-Length: {length}", "abcd")

    def test_headers_that_come_twice(self) -> None:
        for repeated in ("req-id: 8", "Req-Kind: read", "Req-Owner: acme", "Req-Deadline: 2"):
            self.rejects(repeated)

    def test_identity_that_is_no_plain_text(self) -> None:
        self.play(f"c1 send GET /api/k1 Req-Id={'x' * 129}\nc1 expect 400")
        self.play("c2 send GET /api/k1 Req-Id=a\tb\nc2 expect 400")


class Identity(Scenario):
    def test_of_an_open_request_is_an_error_and_the_first_goes_on(self) -> None:
        self.play("""
            c1 send GET /api/k1 Req-Id=77
            s1 expect GET /api/k1
            c2 send GET /api/k1 Req-Id=77
            c2 expect 409
            s1 expect nothing
            s1 send 200 value
            c1 expect 200 value
        """)

    def test_is_free_again_after_the_response_or_a_close(self) -> None:
        read = """
            c1 send GET /api/k1 Req-Id=77
            s1 expect GET /api/k1
        """
        self.play(read + "s1 send 200 value\nc1 expect 200" + read + "c1 close\ns1 expect closed")
        self.assertEqual(self.server.listener.open_request_ids, set())


class Time(Scenario):
    def test_a_trickle_is_due_an_error_within_three_seconds_of_connecting(self) -> None:
        self.play(r"""
            c1 raw GET /api/k1 HTTP/1.1\r\n
            wait 1000
            c1 raw Req-
            wait 900
            c1 raw Id:
            wait 900
            c1 expect 408 Connection=close
        """)

    def test_half_a_request_after_some_silence_counts_from_connecting(self) -> None:
        self.connect("c1")
        self.play(r"""
            wait 1500
            c1 raw GET /api/k1 HTTP/1.1\r\n
            wait 1300
            c1 expect 408
        """)

    def test_a_silent_connection_closes_in_time(self) -> None:
        self.connect("c1")
        self.play("wait 2900\nc1 expect closed")

    def test_one_between_requests_may_stay_a_while_but_not_for_ever(self) -> None:
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

    def connect(self, who: str) -> None:
        self.wire(who)
        self.step()


class ConnectionPressure(Scenario):
    sockets = 128  # 80 for connections, 40 of them clients'

    def test_silent_clients_leave_upstreams_and_ordinary_clients_their_connections(self) -> None:
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

    def test_accepting_resumes_soon_after_a_burst_took_all_slots_at_once(self) -> None:
        for n in range(100, 160):
            self.wire(f"c{n}")
        self.play("wait 5")
        self.play("c1 send GET /ready\nc1 expect nothing\nwait 300\nc1 expect 200 ready")

    def test_hundreds_of_pipelined_bad_requests_cost_one_response(self) -> None:
        self.play("c1 raw " + ONE.replace("read", "none") * 100)
        self.play("c1 expect 400 Connection=close\nwait 600\nc1 expect closed")
        self.assertEqual(self.server.listener.rejected_count, 1)
