"""Simulated cache nodes and the origin, each with a machine, connections and faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ...core.endpoint_directory import hash_uid
from ...decisions.api import Endpoint, Result, Status
from ..experiment_config import NodeGroupConfig, OriginConfig
from .cache_store import CacheStore
from .kernel import Kernel
from .machine import Machine, MachineConfig, WorkItem
from .random_streams import UniformStream

CACHE_HIT = 1  # cache status of a reply to a read; 0 means none
CACHE_MISS = 2  # cache status of a reply to a read
CACHE_KIND = 0  # endpoint kind of cache nodes
ORIGIN_KIND = 1  # endpoint kind of the origin
ORIGIN_STARTED_AT = -1e12  # milliseconds; long before any run
RESET_DELAY_MS = 1.0  # delay until a node resets the connection of an attempt that a fault affects

ReplyCallback = Callable[[Result, int], None]  # called with the result and the cache status
FetchResultCallback = Callable[[bool], None]  # called with whether a fetch from the origin succeeded
OriginFetch = Callable[["SimulatedCacheNode", "NodeRequest", FetchResultCallback], None]


class ConnectOutcome(Enum):
    """The outcome of opening a connection."""

    ACCEPTED = "accepted"
    NO_SLOT = "no slot"  # the node is at its limit, and rejects the first request
    REFUSED = "refused"


@dataclass(slots=True)
class NodeRequest:
    """An attempt as a node receives it. Work is in milliseconds on a core of speed 1."""

    request: str
    key: int
    write: bool
    work: float  # at a cache node
    origin_work: float  # at the origin
    size: int  # bytes
    reply: ReplyCallback
    work_item: WorkItem | None = None
    finished: bool = False


@dataclass(frozen=True, slots=True)
class NodePlacement:
    """The id, zone, speed and start time of a node."""

    uid: str
    zone: int
    speed: float  # of each core
    started_at: float  # milliseconds


class SimulatedNode:
    """The common part of all nodes: connections, work, and faults that prevent replies."""

    def __init__(
        self, kernel: Kernel, placement: NodePlacement, config: MachineConfig, max_connections: int
    ) -> None:
        self.kernel = kernel
        self.uid = placement.uid
        self.zone = placement.zone
        self.number = hash_uid(placement.uid)
        self.machine = Machine(kernel, config, placement.started_at)
        self.state = Status.READY
        self.silence_count = 0  # active silence faults; connections of a silent node neither open nor break
        self.hang_shares: list[float] = []  # share of unanswered attempts, by active fault
        self.reset_shares: list[float] = []  # share of attempts that lose their connection, by active fault
        self.slow_factors: list[float] = []  # factor, by active fault
        self.connections = 0
        self.max_connections = max_connections
        self.handshake_ms = 0.0
        self.epoch = 0  # number of stops; connections of an earlier epoch are closed
        self.kind = CACHE_KIND
        self.cell = 0
        self.on_connections_lost: Callable[[SimulatedNode], None] = _ignore_node
        self._fault_stream: UniformStream

    def member(self, started_at: float) -> Endpoint:
        """Return the node's entry in the endpoint list; `started_at` is milliseconds."""
        return Endpoint(self.number, self.state, started_at, self.zone, self.cell, self.kind)

    @property
    def silent(self) -> bool:
        """Whether the node sends no messages because of a fault."""
        return self.silence_count > 0

    @property
    def hang_share(self) -> float:
        """The share of attempts that are never answered."""
        return max(self.hang_shares, default=0.0)

    @property
    def reset_share(self) -> float:
        """The share of attempts that lose their connection."""
        return max(self.reset_shares, default=0.0)

    def set_slowdown(self, factor: float, active: bool) -> None:
        """Add or remove a slowdown fault; the largest factor of all active faults applies."""
        if active:
            self.slow_factors.append(factor)
        else:
            self.slow_factors.remove(factor)
        self.machine.set_slowdown(max(self.slow_factors, default=1.0))

    def set_fault_stream(self, stream: UniformStream) -> None:
        """Set the random stream that decides which attempts a fault affects."""
        self._fault_stream = stream

    def connect(self) -> ConnectOutcome:
        """Open a connection; a connection beyond the limit is rejected at its first request."""
        if not self.machine.up:
            return ConnectOutcome.REFUSED
        if self.handshake_ms:
            self.machine.submit(self.handshake_ms, _ignore_completion)
            if not self.machine.up:
                return ConnectOutcome.REFUSED  # this work crashed the machine
        if self.connections >= self.max_connections:
            return ConnectOutcome.NO_SLOT
        self.connections += 1
        return ConnectOutcome.ACCEPTED

    def disconnect(self) -> None:
        """Handle the close of a connection."""
        self.connections = max(0, self.connections - 1)

    def on_request(self, request: NodeRequest) -> None:
        """Handle an attempt whose last byte has arrived."""
        hang_share = self.hang_share
        reset_share = self.reset_share
        draw = self._fault_stream() if hang_share or reset_share else 1.0
        if draw < hang_share:
            return
        if draw < hang_share + reset_share:
            self.kernel.call_after(RESET_DELAY_MS, lambda: self._send_reply(request, Result.RESET, 0))
            return
        if self.state is not Status.READY and not self.machine.up:
            self._send_reply(request, Result.RESET, 0)
            return
        self.handle_request(request)

    def handle_request(self, request: NodeRequest) -> None:
        """Submit the work of an attempt, and reply to it."""
        raise NotImplementedError

    def submit_work(self, request: NodeRequest, work: float, done: Callable[[], None]) -> None:
        """Submit work for an attempt; the attempt is rejected if the machine rejects the work.

        `done` is called when the work completes; `work` is in milliseconds on a core of speed 1.
        """
        item = self.machine.submit(work, done)
        if item is None:
            self._send_reply(request, Result.BUSY if self.machine.up else Result.RESET, 0)
        else:
            request.work_item = item

    def _send_reply(self, request: NodeRequest, result: Result, cache_status: int) -> None:
        if not request.finished:
            request.finished = True
            request.reply(result, cache_status)

    def on_cancelled(self, request: NodeRequest) -> None:
        """Cancel an attempt whose connection the router closed."""
        request.finished = True
        if request.work_item is not None:
            self.machine.cancel(request.work_item)

    def stop(self) -> None:
        """End the process: connections are reset, and new ones are refused."""
        self.machine.stop()
        self.connections = 0
        self.epoch += 1
        self.on_connections_lost(self)

    def start(self) -> None:
        """Start the process, cold and empty."""
        self.machine.start()


def _ignore_node(_node: SimulatedNode) -> None:
    """Ignore the loss of a node's connections."""


def _ignore_key(_key: int) -> None:
    """Ignore the write of a key."""


def _ignore_completion() -> None:
    """Ignore the completion of a handshake."""


class SimulatedOrigin(SimulatedNode):
    """The origin, which holds every value."""

    def __init__(self, kernel: Kernel, config: OriginConfig, zone: int) -> None:
        machine_config = MachineConfig(
            cores=config.cores,
            speed=config.speed,
            slots=config.slots,
            queue=config.queue,
            contention=config.crowding,
            stops_cancelled_work=config.cancels,
            full_queue_limit_ms=1000.0 * config.falls_when,
        )
        placement = NodePlacement("origin", zone, config.speed, ORIGIN_STARTED_AT)
        super().__init__(kernel, placement, machine_config, config.connections)
        self.handshake_ms = config.handshake_ms
        self.kind = ORIGIN_KIND
        self.recovery_ms = 1000.0 * config.down_for
        self.on_key_written: Callable[[int], None] = _ignore_key
        self.machine.on_overload = self._on_overload

    def _on_overload(self) -> None:
        self.connections = 0
        self.epoch += 1
        self.on_connections_lost(self)
        epoch = self.epoch

        def recover() -> None:
            if self.epoch == epoch:  # otherwise a fault has stopped the origin, and starts it again
                self.start()

        self.kernel.call_after(self.recovery_ms, recover)

    def handle_request(self, request: NodeRequest) -> None:
        """Read or write a value, which always succeeds."""

        def done() -> None:
            if request.write:
                self.on_key_written(request.key)
            self._send_reply(request, Result.OK, 0)

        self.submit_work(request, request.origin_work, done)


class SimulatedCacheNode(SimulatedNode):
    """A cache node. It replies with a miss or, in read-through mode, fetches the value from the origin."""

    def __init__(
        self, kernel: Kernel, placement: NodePlacement, group: NodeGroupConfig, fetch: OriginFetch | None
    ) -> None:
        """Create a node of a group; `fetch` is None in cache-aside mode."""
        machine_config = MachineConfig(
            cores=group.cores,
            speed=placement.speed,
            slots=group.slots,
            queue=group.queue,
            contention=group.crowding,
            cold_capacity_share=group.cold_from,
            warm_up_ms=1000.0 * group.warm_after,
            warm_by_work=group.warm_by == "work",
            overload_multiple=group.falls_at,
            overload_window_ms=1000.0 * group.falls_within,
            stops_cancelled_work=group.cancels,
        )
        super().__init__(kernel, placement, machine_config, group.connections)
        self.handshake_ms = group.handshake_ms
        self.miss_work_ms = group.miss_ms
        self.group = group
        self.memory = CacheStore(group.memory, group.eviction, 1000.0 * group.keep)
        self._fetch = fetch

    def handle_request(self, request: NodeRequest) -> None:
        """Reply from the store, fetch the value from the origin, or reply with a miss."""
        if request.write:
            # in read-through mode a write goes to the origin; in cache-aside mode nodes get no writes
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

        def on_fetched(succeeded: bool) -> None:
            is_same_process = self.epoch == epoch
            if succeeded and not request.write and is_same_process:
                self.memory.put(request.key, request.size, self.kernel.time)
            self._send_reply(request, Result.OK if succeeded else Result.ERROR, CACHE_MISS)

        self.submit_work(request, self.miss_work_ms, lambda: fetch(self, request, on_fetched))

    def stop(self) -> None:
        """End the process, with the loss of its store."""
        super().stop()
        self.memory.clear()
