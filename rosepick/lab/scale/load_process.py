"""The clients of a scale run: an open loop of requests to each router.

Reads `{"plan", "ports", "begin_s"}` as a line, plays all requests, and writes a `LoadRecord`. A client waits
for its deadline and `LATE_ANSWER_S`, then leaves; so an answer that it never got is a lost one.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import time
from dataclasses import asdict, dataclass, field

from ..live.helper_process import raise_descriptor_limit
from .fleet_process import watch_lateness
from .scale_plan import KILL_AFTER_DEADLINE_S, ScalePlan, plan_from_document

LATE_ANSWER_S = 0.5  # after its deadline an answer earns nothing, but the request is not lost
IDLE_CLIENT_PAUSE_S = 0.5
FRONT_DELAY_S = 0.4  # from SIGTERM until no new connection comes; those that are open are used on
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True)
class RequestRecord:
    """One request. Times are seconds since the run's begin."""

    request_id: str
    router: int
    sent_s: float
    ended_s: float = 0.0
    is_resent: bool = False  # as its connection had been closed between requests
    outcome: str = "lost"  # served, late, refused, failed, unreachable, broken or lost


@dataclass(slots=True)
class LoadRecord:
    """What the clients saw."""

    requests: list[RequestRecord] = field(default_factory=list)
    max_send_late_s: float = 0.0
    late_periods: list[tuple[float, float]] = field(default_factory=list)  # in which this process stood still


class RouterClients:
    """The clients of one router, with their connections."""

    def __init__(self, plan: ScalePlan, index: int, port: int, begin_s: float, record: LoadRecord) -> None:
        self.plan = plan
        self.index = index
        self.port = port
        self.begin_s = begin_s
        self.record = record
        self._idle: list[Streams] = []
        self._rng = random.Random(plan.seed * 1000 + index)

    def now_s(self) -> float:
        """Return the time of the run."""
        return time.monotonic() - self.begin_s

    async def play(self) -> None:
        """Send all requests when they are due, and wait for their ends."""
        tasks: list[asyncio.Task[None]] = []
        due_s = 0.0
        while due_s < self.plan.length_s:
            await asyncio.sleep(max(0.0, due_s - self.now_s()))
            self.record.max_send_late_s = max(self.record.max_send_late_s, self.now_s() - due_s)
            tasks.append(asyncio.get_running_loop().create_task(self._request(len(tasks))))
            due_s += self._rng.expovariate(self.plan.rate)
        await asyncio.gather(*tasks)

    async def hold_idle_connection(self) -> None:
        """Keep a connection open that sends nothing; open it again some time after its end."""
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                await reader.read()
                writer.close()
            await asyncio.sleep(IDLE_CLIENT_PAUSE_S)

    async def _request(self, number: int) -> None:
        key = int(self.plan.keys * self._rng.random() ** 3)  # the first keys are popular
        request = RequestRecord(f"{self.index:04x}{number:012x}", self.index, self.now_s())
        self.record.requests.append(request)
        was_idle = bool(self._idle)
        await self._try(request, f"k{key}", self._idle.pop() if was_idle else None)
        if request.outcome == "broken" and was_idle:
            # the router closed it between requests, before it read this one: that is sent once more
            request.is_resent = True
            await self._try(request, f"k{key}", None)

    def _is_warned(self) -> bool:
        """Return whether the front has taken the router out, as it gets or got SIGTERM and is not back."""
        waits_s = self.plan.deadline_s + KILL_AFTER_DEADLINE_S
        return any(
            sigterm_s + FRONT_DELAY_S <= self.now_s() <= sigterm_s + waits_s
            for sigterm_s in self.plan.sigterm_times(self.index)
        )

    async def _try(self, request: RequestRecord, key: str, streams: Streams | None) -> None:
        """Send a request on a connection that is idle, or on a new one, and record its end."""
        if streams is None and self._is_warned():
            request.outcome = "unreachable"
            return
        try:
            if streams is None:
                streams = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            request.outcome = "unreachable"
            return
        if not request.is_resent:
            request.sent_s = self.now_s()
        waits_s = self.plan.deadline_s + LATE_ANSWER_S - (self.now_s() - request.sent_s)
        try:
            async with asyncio.timeout(waits_s):
                request.outcome = await self._exchange(streams, request, key)
        except TimeoutError:
            request.outcome = "lost"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            request.outcome = "broken"
        request.ended_s = self.now_s()
        if request.outcome in ("lost", "broken"):
            streams[1].transport.abort()

    async def _exchange(self, streams: Streams, request: RequestRecord, key: str) -> str:
        reader, writer = streams
        writer.write(
            f"GET /api/{key} HTTP/1.1\r\nHost: router\r\nReq-Id: {request.request_id}\r\nReq-Kind: read\r\n"
            f"Req-Owner: all\r\nReq-Deadline: {self.plan.deadline_s:.3f}\r\n\r\n".encode()
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0])
        await reader.readexactly(length)
        if "connection: close" in head:
            writer.close()
        else:
            self._idle.append(streams)
        status = int(head.split(" ")[1])
        if status == 200:
            return "served" if self.now_s() - request.sent_s <= self.plan.deadline_s else "late"
        return "refused" if status in (429, 503) else "failed"


async def run(plan: ScalePlan, ports: list[int], begin_s: float) -> LoadRecord:
    """Play all requests to all routers."""
    record = LoadRecord()
    await asyncio.sleep(max(0.0, begin_s - time.monotonic()))
    heartbeat = asyncio.get_running_loop().create_task(watch_lateness(begin_s, record.late_periods))
    clients = [RouterClients(plan, index, port, begin_s, record) for index, port in enumerate(ports)]
    loop = asyncio.get_running_loop()
    crowd = [
        loop.create_task(each.hold_idle_connection()) for each in clients for _ in range(plan.idle_clients)
    ]
    await asyncio.gather(*(each.play() for each in clients))
    for task in (heartbeat, *crowd):
        task.cancel()
    await asyncio.gather(heartbeat, *crowd, return_exceptions=True)
    return record


def main() -> None:
    """Read what to play, play it and write the record."""
    raise_descriptor_limit()
    message = json.loads(sys.stdin.readline())
    plan = plan_from_document(message["plan"])
    print(json.dumps(asdict(asyncio.run(run(plan, message["ports"], message["begin_s"])))), flush=True)


if __name__ == "__main__":
    main()
