"""The stand-ins of a scale run: cache nodes, origin and discovery service in one process.

The process reads the plan as the first line of its input and writes its ports. Each further line is
`{"begin_s", "unix_ms"}`, the begin of the run by the monotonic clock (seconds) and as Unix time
(milliseconds). The process writes a `FleetRecord` when its input ends.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from dataclasses import asdict, dataclass, field
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

from ..live.helper_process import raise_descriptor_limit
from ..live.request_reader import HttpRequest
from .http_server import HttpConnection, serve
from .scale_plan import NODE_LISTENERS, EndpointTimeline, ScalePlan, plan_from_document

HEARTBEAT_S = 0.01
MIN_PAUSE_S = 0.03  # shorter pauses of the loop are not recorded
ORIGIN_SERVICE_S = 0.02
VALUE = b"v" * 200


@dataclass(slots=True)
class FleetRecord:
    """What the stand-ins recorded. Times are in seconds since the begin of the run."""

    attempts: list[tuple[str, float]] = field(default_factory=list)  # Req-Id and arrival time
    list_answers: int = 0


async def watch_lateness(begin_s: float, late_periods: list[tuple[float, float]]) -> None:
    """Record the periods in which the loop of this process did not run, in seconds of the run."""
    while True:
        began_at = time.monotonic()
        await asyncio.sleep(HEARTBEAT_S)
        now = time.monotonic()
        if now - began_at - HEARTBEAT_S > MIN_PAUSE_S:
            late_periods.append((began_at - begin_s, now - begin_s))


class Fleet:
    """Serves all stand-ins of one run."""

    def __init__(self, plan: ScalePlan) -> None:
        self.plan = plan
        self.record = FleetRecord()
        self.begin_s = float("inf")
        self.timeline: EndpointTimeline | None = None
        self._rng = random.Random(plan.seed)
        self._tasks: set[asyncio.Task[None]] = set()

    def now_s(self) -> float:
        """Return the seconds since the begin of the run; negative before it."""
        return time.monotonic() - self.begin_s

    def _record_attempt(self, request: HttpRequest) -> None:
        self.record.attempts.append((request.header_text(b"req-id"), self.now_s()))

    def answer_at_node(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Answer as a cache node; a hash of the request target decides between hit and miss."""
        self._record_attempt(request)
        if self._rng.random() < self.plan.hang_share:
            return
        is_hit = crc32(request.target) % 1000 < 1000 * self.plan.hit_share
        response = (200, VALUE) if is_hit else (404, b"")
        asyncio.get_running_loop().call_later(self.plan.service_s, connection.respond, *response)

    def answer_at_origin(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Answer as the origin, which has the value of every key."""
        self._record_attempt(request)
        asyncio.get_running_loop().call_later(ORIGIN_SERVICE_S, connection.respond, 200, VALUE)

    def answer_discovery(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Answer as the discovery service, in a task because a long poll may have to wait."""
        task = asyncio.get_running_loop().create_task(self._answer_poll(connection, request.target.decode()))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_poll(self, connection: HttpConnection, target: str) -> None:
        query = parse_qs(urlsplit(target).query)
        timeline = self.timeline
        if timeline is None:
            connection.respond(503)
            return
        poll_ends_at = self.now_s() + float(query.get("wait_ms", ["0"])[0]) / 1000.0
        after_revision = int(query["after"][0]) if "after" in query else None
        while (
            after_revision is not None
            and timeline.revision_at(self.now_s()) <= after_revision
            and self.now_s() < poll_ends_at
        ):
            await asyncio.sleep(HEARTBEAT_S)
        revision = timeline.revision_at(self.now_s())
        is_delta = after_revision is not None and timeline.FIRST_REVISION <= after_revision <= revision
        document = (
            timeline.delta_document(after_revision or 0, revision)
            if is_delta
            else timeline.full_document(revision)
        )
        self.record.list_answers += 1
        connection.respond(200, json.dumps(document).encode())


async def run(plan: ScalePlan) -> None:
    """Serve until the input ends, then write the record."""
    fleet = Fleet(plan)
    node_ports = [await serve(fleet.answer_at_node) for _ in range(NODE_LISTENERS)]
    origin_port = await serve(fleet.answer_at_origin)
    discovery_port = await serve(fleet.answer_discovery)
    print(json.dumps({"nodes": node_ports, "origin": origin_port, "discovery": discovery_port}), flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        begin = json.loads(line)
        fleet.timeline = EndpointTimeline(plan, node_ports, origin_port, begin["unix_ms"])
        fleet.begin_s = begin["begin_s"]
    print(json.dumps(asdict(fleet.record)), flush=True)


def main() -> None:
    """Read the plan from standard input and serve."""
    raise_descriptor_limit()
    asyncio.run(run(plan_from_document(json.loads(sys.stdin.readline()))))


if __name__ == "__main__":
    main()
