"""Upstreams at their connection limit: rejected connections are retried, and idle ones kept for less time."""

from __future__ import annotations

import random
import unittest

from rosepick.connections.keep_alive import MIN_KEEP_ALIVE_MS, KeepAliveController
from rosepick.decisions.api import NEVER_RAN, Result
from tests.scenario import Scenario

REJECT_CONNECTION = "send 503 '' Srv-Declined=1 Connection=close"


class ConnectionLimitScenario(Scenario):
    """The origin has reached its connection limit."""

    def play_miss(self, origin_step: str) -> None:
        """Send a read that misses at its cache node and continues at the origin."""
        self.play(f"""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            s1 send 404 ''
            origin expect GET /api/k1
            origin {origin_step}
        """)

    def test_rejected_connection_is_retried_later_without_spending_a_retry(self) -> None:
        router = self.server.engine.router
        router.retries = 0.0  # type: ignore[attr-defined]
        self.play_miss(REJECT_CONNECTION)
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

    def test_full_queue_and_reused_connection_do_not_count_as_rejected_connection(self) -> None:
        self.play_miss("send 503 '' Srv-Declined=1")
        self.play(f"""
            origin expect GET /api/k1
            origin send 200 x
            c1 expect 200 x
            wait 10
            c1 send PUT /api/k2 v
            origin expect PUT /api/k2
            origin {REJECT_CONNECTION}
            wait 300
        """)  # the last response is not the first one of its connection, so the connection had been accepted
        counts = self.server.engine.counts
        self.assertEqual((counts["attempt_connection_limit"], counts["attempt_busy"]), (0, 2))

    def test_idle_connections_are_closed_as_soon_as_the_keep_alive_time_is_shorter(self) -> None:
        self.play_miss("send 200 x")
        self.play("c1 expect 200 x\nwait 1000\norigin expect nothing")
        controller = self.server.pool.keep_alive[True]
        for _ in range(20):
            controller.record_rejected()
        self.assertEqual(controller.keep_alive_ms, MIN_KEEP_ALIVE_MS)
        self.play("wait 700\norigin expect closed\ns1 expect nothing")


class KeepAliveControllerTest(unittest.TestCase):
    """Tests of the controller without a router."""

    def test_initial_time_depends_on_the_number_of_routers_and_bounds_hold(self) -> None:
        for router_count, initial_ms in (
            (3, 10_000.0),
            (16, 10_000.0),
            (200, 800.0),
            (100_000, MIN_KEEP_ALIVE_MS),
        ):
            with self.subTest(router_count=router_count):
                controller = KeepAliveController(10_000.0, router_count)
                self.assertAlmostEqual(controller.keep_alive_ms, initial_ms)
                for _ in range(300):
                    controller.record_accepted()
                self.assertEqual(controller.keep_alive_ms, 10_000.0)
                controller.set_max_keep_alive(2_000.0)
                self.assertEqual(controller.keep_alive_ms, 2_000.0)

    def test_many_routers_converge_within_the_slots_of_an_upstream(self) -> None:
        """Routers send occasional requests; most connections are accepted, and few slots stay unused."""
        rng = random.Random(7)
        router_count = 200
        slot_count = 64
        controllers = [KeepAliveController(10_000.0, router_count) for _ in range(router_count)]
        idle_until = [-1.0] * router_count  # for each router, when its connection closes
        connect_count = 0
        rejected_count = 0
        for step in range(120_000):
            now = step * 5.0
            router = rng.randrange(router_count)
            if idle_until[router] < now:
                held_count = sum(until >= now for until in idle_until)
                connect_count += now > 60_000
                if held_count >= slot_count:
                    controllers[router].record_rejected()
                    rejected_count += now > 60_000
                    continue
                controllers[router].record_accepted()
            idle_until[router] = now + controllers[router].keep_alive_ms
        rejected_share = rejected_count / connect_count
        self.assertTrue(0.02 < rejected_share < 0.12, rejected_share)
        self.assertGreater(sum(until >= now for until in idle_until), 0.6 * slot_count)
