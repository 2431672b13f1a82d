"""Memory of requests, responses and connections that have ended.

The router collects cyclic garbage rarely, so what has ended may not stay in a reference cycle.
"""

from __future__ import annotations

import gc

from rosepick.net.event_loop import MIN_CANCELLED_TIMERS

from .scenario import Scenario

BODY = "x" * 60_000
LONG_BODY = "y" * 100_000
PUT = r"PUT /api/k1 HTTP/1.1\r\nReq-Id: 7\r\nReq-Kind: set\r\nReq-Owner: acme\r\nReq-Deadline: 1\r\n"
COUNTED = rf"{PUT}Content-Length: 300000\r\n\r\n"
CHUNKED = rf"{PUT}Transfer-Encoding: chunked\r\n\r\n"
PATHS = {
    "served": "c1 send GET /api/k1; s1 expect GET; s1 send 200 v Srv-Cache=hit; c1 expect 200",
    "written": f"c1 send PUT /api/k1 {BODY}; origin expect PUT; origin send 200 ok; c1 expect 200",
    "retried": "c1 send GET /api/k1; s1 expect GET; s1 send 404 x Srv-Cache=miss; origin expect GET; "
    "origin send 200 v; c1 expect 200",
    "declined": f"c1 send PUT /api/k1 {BODY}; origin expect PUT; origin send 503 x Srv-Declined=1; wait 3000",
    "not answered in time": "c1 send GET /api/k1; s1 expect GET; wait 1250; s1 send 200 v; c1 expect 503",
    "malformed response": "c1 send GET /api/k1; s1 expect GET; s1 raw HTTP/1.1 2xx\\r\\n\\r\\n; wait 1300; "
    "c1 expect 503",
    "reset": "c1 send GET /api/k1; s1 expect GET; s1 close; wait 1300; c1 expect 503",
    "client left": f"c1 send PUT /api/k1 {BODY}; origin expect PUT; c1 close; wait 3000",
    "client left a pipeline": "c1 send GET /api/k1; c1 send GET /api/k2; s1 expect GET; c1 close; wait 50",
    "id in use": "c1 send GET /api/k1 Req-Id=a; s1 expect GET; c2 send GET /api/k1 Req-Id=a; c2 expect 409; "
    "s1 send 200 v; c1 expect 200",
    "rejected": "c1 send GET /api/k1 Req-Id=; c1 expect 400",
    "rejected in the head": r"c1 raw GET /api/k1 HTTP/1.1\r\nReq-Id: 7\r\nReq-Id: 8\r\n\r\n; c1 expect 400",
    "too long a body": rf"c1 raw {PUT}Content-Length: 99999999999\r\n\r\n; c1 expect 413",
    "incomplete head": "c1 raw GET /ap; wait 3000; c1 expect 408",
    "incomplete body": f"c1 raw {COUNTED}{BODY}; wait 10; c1 close; wait 50",
    "streamed response": f"c1 send GET /api/k1; s1 expect GET; s1 send 200 {LONG_BODY}; c1 expect 200",
    "streamed response left": "c1 send GET /api/k1; s1 expect GET; "
    f"s1 raw HTTP/1.1 200 OK\\r\\nContent-Length: 3000000\\r\\n\\r\\n{LONG_BODY}; c1 close; wait 11000",
    "streamed response too late": "c1 send PUT /api/k1 v; origin expect PUT; c1 close; wait 20; "
    f"origin send 200 {LONG_BODY}; wait 100",
    "streamed request": f"c1 send PUT /api/k1 {3 * LONG_BODY}; origin expect PUT; origin send 200 ok; "
    "c1 expect 200",
    "streamed request left": f"c1 raw {COUNTED}{LONG_BODY}; wait 20; c1 close; wait 50",
    "malformed chunk": rf"c1 raw {CHUNKED}186a0\r\n{LONG_BODY}\r\nzz\r\n; c1 expect 400",
}


class MemoryReleaseTest(Scenario):
    def cyclic_garbage(self, steps: str) -> set[str]:
        """Return the types of the router's objects that a scenario leaves behind in reference cycles."""
        gc.collect()
        gc.disable()
        try:
            self.steps(steps)
            for wire in self.wires.pop("c1", []):
                wire.sock.close()
            self.wait(600)  # the time for which a closing connection lingers
            gc.set_debug(gc.DEBUG_SAVEALL)
            gc.collect()
            return {
                type(each).__name__
                for each in gc.garbage
                if type(each).__module__.startswith(("rosepick", "httptools"))
            }
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.enable()

    def test_requests_that_have_ended_leave_no_reference_cycle(self) -> None:
        """Guards against bodies of answered requests that stay in memory until a garbage collection."""
        for name, steps in PATHS.items():
            with self.subTest(name):
                self.tearDown()
                self.setUp()
                self.assertEqual(self.cyclic_garbage(steps), set())
                self.assertEqual(len(self.server.engine.requests), 0)
                self.assertEqual(self.server.budget.body_buffers.stream_count, 0)

    def test_buffers_of_the_last_request_are_dropped(self) -> None:
        """Guards against idle connections that each hold the body of their last write."""
        self.steps(PATHS["written"])
        (connection,) = self.server.listener.connections
        received = connection.protocol._received
        self.assertEqual((received.target, received.headers, received.body), (b"", {}, bytearray()))
        self.assertTrue(connection.protocol.is_idle())

    def test_timers_of_a_request_do_not_outlive_it(self) -> None:
        """Guards against requests with long deadlines, which leave timers in memory for hours."""
        self.steps("c1 send GET /api/k1 Req-Deadline=9.000; s1 expect GET; s1 send 200 v; c1 expect 200")
        before = len(self.loop._heap)
        for _ in range(MIN_CANCELLED_TIMERS):
            self.steps(
                "c1 send GET /api/k1 Req-Deadline=90000.000; s1 expect GET; s1 send 200 v; c1 expect 200"
            )
        self.assertLess(len(self.loop._heap) - before, MIN_CANCELLED_TIMERS)
        self.steps(f"c1 raw {COUNTED}{3 * LONG_BODY}; origin expect PUT; origin send 200 ok; c1 expect 200")
        due_later = [entry for entry in self.loop._heap if entry[0] > self.loop.now() + 60_000.0]
        self.assertEqual([entry for entry in due_later if entry[3].callback is not None], [])
