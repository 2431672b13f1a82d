"""Connections to next hops that hold only so many: told from a full queue, kept shorter, asked again."""

from __future__ import annotations

import random
import unittest

from rosepick.connections.keep_alive import MIN_KEEP_ALIVE_MS, KeepAliveController
from rosepick.decisions.api import NEVER_RAN, Result
from tests.scenario import Scenario

NO_PLACE = "send 503 '' Srv-Declined=1 Connection=close"


class NoPlace(Scenario):
    """The origin has no place for a connection."""

    def miss(self, then: str) -> None:
        self.play(f"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 ''
            origin expect GET /api/k1
            origin {then}
        """)

    def test_waits_for_its_turn_and_asks_again_without_spending_a_retry(self) -> None:
        router = self.server.engine.router
        router.retries = 0.0  # type: ignore[attr-defined]
        self.miss(NO_PLACE)
        self.play("""
            origin expect nothing
            wait 350
            origin expect GET /api/k1
            origin send 200 x
            c1 expect 200 x
        """)
        self.assertEqual(self.server.engine.counts["attempt_connection_limit"], 1)
        self.assertIn(Result.CONNECTION_LIMIT, NEVER_RAN)
        self.assertLess(router.origin.limit, 2.0)  # type: ignore[attr-defined]

    def test_a_full_queue_and_a_connection_in_use_are_no_lack_of_places(self) -> None:
        self.miss("send 503 '' Srv-Declined=1")
        self.play(f"""
            origin expect GET /api/k1
            origin send 200 x
            c1 expect 200 x
            c1 send PUT /api/k2 v
            origin expect PUT /api/k2
            origin {NO_PLACE}
            wait 300
        """)  # the last is not the first answer of its connection: that had its place
        counts = self.server.engine.counts
        self.assertEqual((counts["attempt_connection_limit"], counts["attempt_busy"]), (0, 2))

    def test_idle_connections_go_as_soon_as_they_are_not_kept_any_longer(self) -> None:
        self.miss("send 200 x")
        self.play("c1 expect 200 x\nwait 1000\norigin expect nothing")
        of_origin = self.server.pool.keep_alive[True]
        for _ in range(20):
            of_origin.record_rejected()
        self.assertEqual(of_origin.keep_alive_ms, MIN_KEEP_ALIVE_MS)
        self.play("wait 700\norigin expect closed\ns1 expect nothing")


class Times(unittest.TestCase):
    """The time by itself."""

    def test_begins_by_the_number_of_routers_and_keeps_its_bounds(self) -> None:
        for routers, begin in ((3, 10_000.0), (16, 10_000.0), (200, 800.0), (100_000, MIN_KEEP_ALIVE_MS)):
            with self.subTest(routers=routers):
                one = KeepAliveController(10_000.0, routers)
                self.assertAlmostEqual(one.keep_alive_ms, begin)
                for _ in range(300):
                    one.record_accepted()
                self.assertEqual(one.keep_alive_ms, 10_000.0)
                one.set_max_keep_alive(2_000.0)
                self.assertEqual(one.keep_alive_ms, 2_000.0)

    def test_many_routers_come_to_rest_within_what_is_there(self) -> None:
        """Places at one next hop, routers that ask now and then: most are let in, few places are empty."""
        draw = random.Random(7)
        routers, places = 200, 64
        kept = [KeepAliveController(10_000.0, routers) for _ in range(routers)]
        idle = [-1.0] * routers  # until when a router's connection is kept
        asked = away = 0
        for step in range(120_000):
            now, who = step * 5.0, draw.randrange(routers)
            if idle[who] < now:
                held = sum(until >= now for until in idle)
                asked += now > 60_000
                if held >= places:
                    kept[who].record_rejected()
                    away += now > 60_000
                    continue
                kept[who].record_accepted()
            idle[who] = now + kept[who].keep_alive_ms
        self.assertTrue(0.02 < away / asked < 0.12, away / asked)
        self.assertGreater(sum(until >= now for until in idle), 0.6 * places)
