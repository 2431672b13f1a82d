"""The model's world with sockets in the place of its routers and clients."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import cast

from ...core.endpoint_directory import hash_key
from ...decisions.api import Result
from ...http.request_messages import key_of_target
from ...net.event_loop import EventLoop
from ...net.resource_budget import ResourceBudget
from ..experiment import Experiment
from ..measure import Measure
from ..model import fault_schedule
from ..model.nodes import (
    CACHE_HIT,
    ORIGIN_KIND,
    NodeRequest,
    ReplyCallback,
    SimulatedCacheNode,
    SimulatedNode,
)
from ..model.simulated_router import SimulatedRouter
from ..model.simulation import Simulation
from .discovery_server import DiscoveryServer
from .live_faults import LIVE_FAULT_INJECTORS
from .node_server import NodeServer
from .origin_state import DEDUPLICATION_WORK_MS, OriginFetches, WriteDeduplicator
from .real_time_kernel import RealTimeKernel
from .request_reader import HttpRequest
from .request_schedule import find_request, schedule_requests
from .run_records import NodeAttemptRecord

LISTENER_UPDATE_INTERVAL_MS = 5.0  # milliseconds: doors follow their nodes
SWEEP_INTERVAL_MS = 500.0
START_DELAY_MS = 1_000.0  # about so long after this world is made the run begins


class LiveSimulation(Simulation):
    """Nodes, origin and discovery of one run, on one loop. Its kernel keeps pace with real time."""

    def __init__(self, loop: EventLoop, experiment: Experiment, seed: int, measure: Measure) -> None:
        self.loop = loop
        self.budget = ResourceBudget(1_000_000)
        self.node_servers: dict[int, NodeServer] = {}
        self.attempts: list[NodeAttemptRecord] = []
        self.unix_start_ms = 1000.0 * time.time() + START_DELAY_MS
        self.scheduled_requests = schedule_requests(experiment, seed)
        self._origin_fetches, self._write_deduplicator = OriginFetches(), WriteDeduplicator()
        super().__init__(experiment, seed, measure)
        self.real_time_kernel = RealTimeKernel(loop, self.kernel)
        self.discovery_server = DiscoveryServer(self, experiment.discovery, seed)
        listed = [node for node in self.nodes.values() if self._is_listed(node)]
        self.discovery_server.load_members([node.member(node.machine.started_at) for node in listed])
        self.discovery = self.discovery_server

    def _is_listed(self, node: SimulatedNode) -> bool:
        """In through mode nobody but nodes speaks to the origin."""
        return node.kind != ORIGIN_KIND or self.experiment.mode == "aside"

    def start_at(self, at: float) -> None:
        """The run begins at that time of the loop."""
        self.unix_start_ms = 1000.0 * time.time() + at - self.loop.now()
        fault_schedule.schedule_faults(self, LIVE_FAULT_INJECTORS)
        self.kernel.call_after(1_000.0, self._sample_load)
        self.real_time_kernel.start(at)

    def open(self) -> None:
        """Take connections from now on."""
        self._update_listeners()
        self._close_idle_connections()
        self.discovery_server.open()

    def close(self) -> None:
        """Let go of every socket."""
        self.discovery_server.close()
        for stand in self.node_servers.values():
            stand.close()

    # ------------------------------------------------------------------------------ in the model's place

    def _register_node(self, node: SimulatedNode) -> None:
        super()._register_node(node)
        self.node_servers[node.number] = NodeServer(self, node)

    def add_router(self, index: int) -> SimulatedRouter:
        """Routers are processes of their own."""
        return cast(SimulatedRouter, None)

    def kill_router(self, index: int, down_ms: float | None) -> None:
        """Who started the routers does that."""

    def _on_connections_lost(self, node: SimulatedNode) -> None:
        self.node_servers[node.number].reset_all()

    def start_time_of(self, node: SimulatedNode) -> float:
        """When a node started, in milliseconds from the run's begin."""
        return node.machine.started_at

    def _update_listeners(self) -> None:
        self.loop.call_after(LISTENER_UPDATE_INTERVAL_MS, self._update_listeners)
        for stand in list(self.node_servers.values()):
            stand.update_listeners()

    def _close_idle_connections(self) -> None:
        self.loop.call_after(SWEEP_INTERVAL_MS, self._close_idle_connections)
        now = self.real_time_kernel.now()
        for stand in self.node_servers.values():
            stand.close_idle(now)

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call after so many milliseconds of the run."""
        self.kernel.call_after(delay_ms, callback)

    # ---------------------------------------------------------------------------------- delivery attempts

    def record_attempt(
        self, node: SimulatedNode, zone: int, name: str, first_byte_at: float
    ) -> NodeAttemptRecord:
        """A request of a router in that zone has come whole to a node; its first byte came at that time."""
        request = find_request(self.scheduled_requests, name)
        told = None if request is None else self.discovery_server.drain_known_at(request.router, node.number)
        found = NodeAttemptRecord(name, node.number, node.uid, node.zone, node.cell, first_byte_at, told)
        self.attempts.append(found)
        if request is not None:
            self._count_event("attempts")
            if node.kind == ORIGIN_KIND:
                self._count_event("origin_attempts")
            if zone != node.zone:
                self._count_event("crossings")
        return found

    def to_node_request(
        self, node: SimulatedNode, message: HttpRequest, name: str, reply: ReplyCallback
    ) -> NodeRequest:
        """What a request means to the model."""
        request, write = find_request(self.scheduled_requests, name), message.method == b"PUT"
        if request is None:
            one = self.experiment.classes[0]
            key = hash_key(key_of_target(message.target))
            return NodeRequest(name, key, write, one.work_ms, one.origin_ms, one.size, reply)
        found = NodeRequest(
            name, request.key, write, request.work_ms, request.origin_work_ms, request.size, reply
        )
        klass = self.experiment.classes[request.klass]
        if write and self._write_deduplicator.is_repeat(
            message.header_text(b"idempotency-key"), klass, node, self.real_time_kernel.now()
        ):
            found.work = found.origin_work = DEDUPLICATION_WORK_MS
        return found

    def on_node_reply(
        self, node: SimulatedNode, node_request: NodeRequest, result: Result, note: int
    ) -> None:
        """A node answered, as the model has it."""
        if note:
            self._count_event("hits" if note == CACHE_HIT else "misses")
        if result is Result.MISS and isinstance(node, SimulatedCacheNode):
            self._origin_fetches.record_miss(node_request.request, node)
        elif result is Result.OK and node.kind == ORIGIN_KIND and not node_request.write:
            self._origin_fetches.store_answer(node_request, self.kernel.time)
