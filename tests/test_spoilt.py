"""Next hops whose answers are spoilt, or bring more than is theirs."""

from __future__ import annotations

from rosepick import api

from .scenario import Scenario

OK = r"HTTP/1.1 200 OK\r\n"
SPOILT = (
    r"\x00\x01\x02noise\r\n\r\n",
    OK + r"Content-Length: -1\r\nContent-Length: 4\r\n\r\nabcd",
    OK + r"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nabcd",
    OK + r"Content-Length: 3000000000\r\n\r\nabcd",
    OK + r"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n",
    OK + "X-Pad: " + "p" * 40_000,
    OK + r"Transfer-Encoding: chunked\r\n\r\n0\r\n" + r"X-Pad: pppppppppppppppppppp\r\n" * 2_000,
    r"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000,
)


class Spoilt(Scenario):
    def test_is_a_failed_attempt_that_may_have_run_on_a_connection_of_no_more_use(self) -> None:
        for n, answer in enumerate(SPOILT):
            self.play(f"""
                c{n} send GET /api/k1
                s1 expect GET /api/k1
                s1 raw {answer}
                c{n} expect 503
                s1 expect closed
            """)
        self.assertEqual(self.server.engine.counts["attempt_spoilt"], len(SPOILT))

    def test_says_nothing_against_a_healthy_next_hop_nor_the_origin(self) -> None:
        router = self.server.engine.router
        limit = router.origin.limit
        for n in range(4):
            self.play(f"""
                c{n} send GET /api/k1
                s1 expect GET /api/k1
                s1 raw {SPOILT[0]}
                c{n} expect 503
                c{n} send PUT /api/k1 value Idempotency-Key=i{n}
                origin expect PUT /api/k1
                origin raw {SPOILT[0]}
                origin expect PUT /api/k1
                origin send 200 done
                c{n} expect 200
                wait 200
            """)
        self.assertFalse(any(s.failing or s.out for s in router.membership.servers.values()))
        self.assertGreaterEqual(router.origin.limit, limit)

    def test_a_request_that_is_unfit_is_not_sent_again(self) -> None:
        self.play("""
            c1 send PUT /api/k1 value Idempotency-Key=i1
            origin expect PUT /api/k1
            origin send 400 ''
            c1 expect 502
            origin expect nothing
        """)
        self.assertEqual(self.server.engine.counts["attempts"], 1)
        self.assertIn(api.Result.UNFIT, api.NEVER_RAN)


class Good(Scenario):
    def serves(self, answer: str, then: str = "") -> None:
        self.play(f"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 raw {answer}
            c1 expect 200 abcd
            {then}
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 200 value
            c1 expect 200 value
        """)

    def test_interim_answers_in_front(self) -> None:
        early = r"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        self.serves(early + OK + r"Content-Length: 4\r\n\r\nabcd")

    def test_a_second_copy_or_noise_behind_ends_the_connection(self) -> None:
        good = OK + r"Content-Length: 4\r\n\r\nabcd"
        for surplus in (good, r"\x00noise"):
            self.serves(good + surplus, "s1 expect closed")

    def test_surplus_that_comes_once_the_connection_is_idle(self) -> None:
        self.serves(OK + r"Content-Length: 4\r\n\r\nabcd", r"s1 raw \x00noise" + "\ns1 expect closed")

    def test_a_load_report_that_cannot_be_read(self) -> None:
        self.serves(OK + r"Srv-Cache: \xff\xfe ??\r\nContent-Length: 4\r\n\r\nabcd")
