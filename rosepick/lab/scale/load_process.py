"""The clients of a scale run: an open loop of requests to each router.

The process reads `{"plan", "ports", "begin_s"}` as one line, plays all requests and writes a `LoadRecord`.
Each further line, `{"killed_router"}`, tells that the SIGKILL that follows its SIGTERM has been sent. A
client waits until `LATE_ANSWER_S` after its deadline and then leaves; a request without an answer by then is
lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import sys
import time
from dataclasses import asdict, dataclass, field

from ..live.helper_process import raise_descriptor_limit
from .crowd import crowd_size, hold_crowd_connection
from .fleet_process import watch_lateness
from .scale_plan import ScalePlan, plan_from_document

# How long clients wait after the deadline. A late answer has no value, but the request is not lost.
LATE_ANSWER_S = 0.5
IDLE_CLIENT_PAUSE_S = 0.5
# Time from SIGTERM until the load balancer opens no new connections. Open connections stay in use.
LOAD_BALANCER_DELAY_S = 0.4
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True)
class RequestRecord:
    """How one request ended. Times are in seconds since the begin of the run."""

    request_id: str
    router: int
    sent_s: float
    ended_s: float = 0.0
    is_resent: bool = False  # because the router had closed the connection between two requests
    outcome: str = "lost"  # served, late, refused, failed, unreachable, broken or lost


@dataclass(slots=True)
class LoadRecord:
    """What the clients recorded. Times are in seconds."""

    requests: list[RequestRecord] = field(default_factory=list)
    max_send_late_s: float = 0.0
    late_periods: list[tuple[float, float]] = field(default_factory=list)  # in which this process did not run


class RouterClients:
    """The clients of one router, with a pool of their connections."""

    def __init__(self, plan: ScalePlan, index: int, port: int, begin_s: float, record: LoadRecord) -> None:
        self.plan = plan
        self.index = index
        self.port = port
        self.begin_s = begin_s
        self.record = record
        self.killed_at_s: list[float] = []  # when the kills that follow a SIGTERM were reported
        self._idle: list[Streams] = []
        self._rng = random.Random(plan.seed * 1000 + index)

    def now_s(self) -> float:
        """Return the seconds since the begin of the run."""
        return time.monotonic() - self.begin_s

    async def play(self) -> None:
        """Send each request when it is due, and wait until all have ended."""
        tasks: list[asyncio.Task[None]] = []
        due_s = 0.0
        while due_s < self.plan.length_s:
            await asyncio.sleep(max(0.0, due_s - self.now_s()))
            self.record.max_send_late_s = max(self.record.max_send_late_s, self.now_s() - due_s)
            tasks.append(asyncio.get_running_loop().create_task(self._play_request(len(tasks))))
            due_s += self._rng.expovariate(self.plan.rate)
        await asyncio.gather(*tasks)

    async def hold_idle_connection(self) -> None:
        """Keep a connection open that sends nothing; reopen it `IDLE_CLIENT_PAUSE_S` after it ends."""
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                await reader.read()
                writer.close()
            await asyncio.sleep(IDLE_CLIENT_PAUSE_S)

    async def _play_request(self, number: int) -> None:
        key = int(self.plan.keys * self._rng.random() ** 3)  # low numbers are popular keys
        request = RequestRecord(f"{self.index:04x}{number:012x}", self.index, self.now_s())
        self.record.requests.append(request)
        was_idle = bool(self._idle)
        await self._send_request(request, f"k{key}", self._idle.pop() if was_idle else None)
        if request.outcome == "broken" and was_idle:
            # The router closed the idle connection before it read this request, so it may be sent again.
            request.is_resent = True
            await self._send_request(request, f"k{key}", None)

    def _is_out_of_rotation(self) -> bool:
        """Return whether the load balancer sends the router no new connections because of a SIGTERM.

        It does again once the process has been killed, which may be later than planned.
        """
        return any(
            sigterm_s + LOAD_BALANCER_DELAY_S <= self.now_s()
            and not any(killed_s >= sigterm_s for killed_s in self.killed_at_s)
            for sigterm_s in self.plan.sigterm_times(self.index)
        )

    async def _send_request(self, request: RequestRecord, key: str, streams: Streams | None) -> None:
        """Send a request on an idle connection, or on a new one if `streams` is None; record its outcome."""
        if streams is None and self._is_out_of_rotation():
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
        timeout_s = self.plan.deadline_s + LATE_ANSWER_S - (self.now_s() - request.sent_s)
        try:
            async with asyncio.timeout(timeout_s):
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
    """Play the requests of all routers and return the record."""
    record = LoadRecord()
    await asyncio.sleep(max(0.0, begin_s - time.monotonic()))
    heartbeat = asyncio.get_running_loop().create_task(watch_lateness(begin_s, record.late_periods))
    clients = [RouterClients(plan, index, port, begin_s, record) for index, port in enumerate(ports)]
    loop = asyncio.get_running_loop()
    loop.add_reader(sys.stdin, _receive_kills, clients)
    other_clients = [
        loop.create_task(each.hold_idle_connection()) for each in clients for _ in range(plan.idle_clients)
    ]
    if plan.crowd:
        count = crowd_size(plan.crowd, plan.crowd_clients)
        other_clients += [
            loop.create_task(hold_crowd_connection(plan.crowd, port)) for port in ports for _ in range(count)
        ]
    await asyncio.gather(*(each.play() for each in clients))
    loop.remove_reader(sys.stdin)
    for task in (heartbeat, *other_clients):
        task.cancel()
    await asyncio.gather(heartbeat, *other_clients, return_exceptions=True)
    return record


def _receive_kills(clients: list[RouterClients]) -> None:
    """Read the lines that report kills, with the indexes of their routers; each line is written at once."""
    lines = os.read(sys.stdin.fileno(), 65_536).splitlines()
    if not lines:
        asyncio.get_running_loop().remove_reader(sys.stdin)  # the rig has ended
    for line in lines:
        killed = clients[json.loads(line)["killed_router"]]
        killed.killed_at_s.append(killed.now_s())


def main() -> None:
    """Read the plan and the ports from standard input, play the load and write the record."""
    raise_descriptor_limit()
    message = json.loads(sys.stdin.readline())
    plan = plan_from_document(message["plan"])
    print(json.dumps(asdict(asyncio.run(run(plan, message["ports"], message["begin_s"])))), flush=True)


if __name__ == "__main__":
    main()
