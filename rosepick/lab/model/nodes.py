"""Cache nodes and the origin: a machine each, with what it remembers, who is connected, and how it
misbehaves.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ...core.endpoint_directory import hash_uid
from ...decisions.api import Endpoint, Result, Status
from ..experiment import NodeGroupConfig, OriginConfig
from .cache_store import CacheStore
from .kernel import Kernel
from .machine import Machine, MachineConfig, WorkItem
from .random_streams import UniformStream

CACHE_HIT, CACHE_MISS = 1, 2  # what an answer says of a read
ReplyCallback = Callable[[Result, int], None]
CACHE_KIND, ORIGIN_KIND = 0, 1  # kinds of machines


class ConnectOutcome(Enum):
    """What becomes of a new connection."""

    ACCEPTED = "held"
    NO_SLOT = "none"  # there is no place for it
    REFUSED = "down"  # it is refused


@dataclass(slots=True)
class NodeRequest:
    """One delivery attempt as a machine sees it."""

    request: str
    key: int
    write: bool
    work: float  # milliseconds at a cache node, on a core of speed 1
    origin_work: float
    size: int
    reply: ReplyCallback
    job: WorkItem | None = None
    finished: bool = False


class SimulatedNode:
    """What is common to all: it can be reached or not, it has work, it may leave attempts without an
    answer.
    """

    def __init__(
        self,
        kernel: Kernel,
        uid: str,
        zone: int,
        shape: MachineConfig,
        started_at: float,
        max_connections: int,
    ) -> None:
        self.kernel, self.uid, self.zone = kernel, uid, zone
        self.number = hash_uid(uid)
        self.machine = Machine(kernel, shape, started_at)
        self.state = Status.READY
        self.silences = 0  # troubles that keep it from saying anything; connections neither come up nor break
        self.hang_shares: list[float] = []  # of its attempts, by each trouble that is on: never answered ...
        self.reset_shares: list[float] = []  # ... or lose their connection
        self.slow_factors: list[float] = []  # it is so many times as slow, by each trouble that is on
        self.connections = 0
        self.max_connections = max_connections
        self.handshake_ms = 0.0
        self.epoch = 0  # counts its starts: connections of an earlier one are gone
        self.kind, self.cell = CACHE_KIND, 0
        self.on_connections_lost: Callable[[SimulatedNode], None] = (
            lambda node: None
        )  # all connections to it broke
        self._fate_stream: UniformStream

    def member(self, started_at: float) -> Endpoint:
        """Its entry in the list; `started_at` on the clock of the routers."""
        return Endpoint(self.number, self.state, started_at, self.zone, self.cell, self.kind)

    @property
    def silent(self) -> bool:
        """Whether it says nothing."""
        return self.silences > 0

    @property
    def hang_share(self) -> float:
        """The part of its attempts that is never answered."""
        return max(self.hang_shares, default=0.0)

    @property
    def reset_share(self) -> float:
        """The part of its attempts that loses its connection."""
        return max(self.reset_shares, default=0.0)

    def set_slowdown(self, factor: float, active: bool) -> None:
        """It is so many times as slow by one more trouble, or by one less; the worst one counts."""
        (self.slow_factors.append if active else self.slow_factors.remove)(factor)
        self.machine.set_slowdown(max(self.slow_factors, default=1.0))

    def set_fate_stream(self, stream: UniformStream) -> None:
        """Where it draws which attempts meet a fault."""
        self._fate_stream = stream

    def connect(self) -> ConnectOutcome:
        """A connection comes. Beyond as many as it holds, it says so to the first request and closes."""
        if not self.machine.up:
            return ConnectOutcome.REFUSED
        if self.handshake_ms:
            self.machine.submit(self.handshake_ms, _ignore_completion)
            if not self.machine.up:
                return ConnectOutcome.REFUSED  # the work of it was too much
        if self.connections >= self.max_connections:
            return ConnectOutcome.NO_SLOT
        self.connections += 1
        return ConnectOutcome.ACCEPTED

    def disconnect(self) -> None:
        """A connection is closed."""
        self.connections = max(0, self.connections - 1)

    def on_request(self, request: NodeRequest) -> None:
        """The last byte of an attempt is here."""
        hangs, resets = self.hang_share, self.reset_share
        fate = self._fate_stream() if hangs or resets else 1.0
        if fate < hangs:
            return  # it is never answered
        if fate < hangs + resets:
            self.kernel.call_after(1.0, lambda: self._send_reply(request, Result.RESET, 0))
            return
        if self.state is not Status.READY and not self.machine.up:
            self._send_reply(request, Result.RESET, 0)
            return
        self.handle_request(request)

    def handle_request(self, request: NodeRequest) -> None:
        """Work on an attempt."""
        raise NotImplementedError

    def submit_work(self, request: NodeRequest, work: float, done: Callable[[], None]) -> None:
        """Have work done for an attempt, or turn it away."""
        job = self.machine.submit(work, done)
        if job is None:
            self._send_reply(request, Result.BUSY if self.machine.up else Result.RESET, 0)
        else:
            request.job = job

    def _send_reply(self, request: NodeRequest, result: Result, note: int) -> None:
        if not request.finished:
            request.finished = True
            request.reply(result, note)

    def on_cancelled(self, request: NodeRequest) -> None:
        """The router has closed the attempt's connection."""
        request.finished = True
        if request.job is not None:
            self.machine.cancel(request.job)

    def stop(self) -> None:
        """The process ends: connections are reset, new ones refused."""
        self.machine.stop()
        self.connections = 0
        self.epoch += 1
        self.on_connections_lost(self)

    def start(self) -> None:
        """It starts anew, cold and empty."""
        self.machine.start()


def _ignore_completion() -> None:
    """Nobody waits for the end of a handshake's work."""


class SimulatedOrigin(SimulatedNode):
    """What holds every value."""

    def __init__(self, kernel: Kernel, shape: OriginConfig, zone: int) -> None:
        made = MachineConfig(
            cores=shape.cores,
            speed=shape.speed,
            slots=shape.slots,
            queue=shape.queue,
            contention=shape.crowding,
            stops_cancelled_work=shape.cancels,
            overrun_after_ms=1000.0 * shape.falls_when,
        )
        super().__init__(kernel, "origin", zone, made, -1e12, shape.connections)
        self.handshake_ms = shape.handshake_ms
        self.kind = ORIGIN_KIND
        self.down_for = 1000.0 * shape.down_for
        self.on_key_written: Callable[[int], None] = lambda key: None  # a key has another value
        self.machine.on_overload = self._on_overload

    def _on_overload(self) -> None:
        self.connections = 0
        self.epoch += 1
        self.on_connections_lost(self)
        epoch = self.epoch

        def back() -> None:
            if self.epoch == epoch:  # else it was stopped meanwhile, and comes back when that ends
                self.start()

        self.kernel.call_after(self.down_for, back)

    def handle_request(self, request: NodeRequest) -> None:
        def done() -> None:
            if request.write:
                self.on_key_written(request.key)
            self._send_reply(request, Result.OK, 0)

        self.submit_work(request, request.origin_work, done)


class SimulatedCacheNode(SimulatedNode):
    """A cache node: it answers what it remembers, and a miss else; or fetches by itself, in through mode."""

    def __init__(
        self,
        kernel: Kernel,
        uid: str,
        zone: int,
        shape: NodeGroupConfig,
        speed: float,
        started_at: float,
        fetch: Callable[[SimulatedCacheNode, NodeRequest, Callable[[bool], None]], None] | None,
    ) -> None:
        made = MachineConfig(
            cores=shape.cores,
            speed=speed,
            slots=shape.slots,
            queue=shape.queue,
            contention=shape.crowding,
            cold_capacity_share=shape.cold_from,
            warm_up_ms=1000.0 * shape.warm_after,
            warm_by_work=shape.warm_by == "work",
            overload_multiple=shape.falls_at,
            overload_window_ms=1000.0 * shape.falls_within,
            stops_cancelled_work=shape.cancels,
        )
        super().__init__(kernel, uid, zone, made, started_at, shape.connections)
        self.handshake_ms, self.miss_work_ms = shape.handshake_ms, shape.miss_ms
        self.group = shape
        self.memory = CacheStore(shape.memory, shape.eviction, 1000.0 * shape.keep)
        self._fetch = fetch

    def handle_request(self, request: NodeRequest) -> None:
        if request.write:
            # in through mode writes pass to the origin; in aside mode none comes here
            self._fetch_and_reply(request)
        elif self.memory.get(request.key, self.kernel.time):
            self.submit_work(request, request.work, lambda: self._send_reply(request, Result.OK, CACHE_HIT))
        elif self._fetch is None:
            self.submit_work(
                request, self.miss_work_ms, lambda: self._send_reply(request, Result.MISS, CACHE_MISS)
            )
        else:
            self._fetch_and_reply(request)

    def _fetch_and_reply(self, request: NodeRequest) -> None:
        fetch = self._fetch
        if fetch is None:
            self._send_reply(request, Result.ERROR, 0)
            return

        epoch = self.epoch

        def fetched(good: bool) -> None:
            if good and not request.write and self.epoch == epoch:  # not in the memory of a later process
                self.memory.put(request.key, request.size, self.kernel.time)
            self._send_reply(request, Result.OK if good else Result.ERROR, CACHE_MISS)

        self.submit_work(request, self.miss_work_ms, lambda: fetch(self, request, fetched))

    def stop(self) -> None:
        super().stop()
        self.memory.clear()
