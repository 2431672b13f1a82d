"""Serves the model's nodes, origin and discovery on sockets."""

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
from ..model.simulation import SAMPLE_INTERVAL_MS, Simulation
from .discovery_server import DiscoveryServer
from .live_faults import LIVE_FAULT_INJECTORS
from .node_server import NodeServer
from .origin_state import DEDUPLICATION_WORK_MS, OriginFetches, WriteDeduplicator
from .real_time_kernel import RealTimeKernel
from .request_reader import HttpRequest
from .request_schedule import find_request, schedule_requests
from .run_records import NodeAttemptRecord

LISTENER_UPDATE_INTERVAL_MS = 5.0
IDLE_CHECK_INTERVAL_MS = 500.0  # interval at which idle connections are closed
START_DELAY_MS = 1_000.0  # estimate of the time from set-up to the start of the run
DESCRIPTOR_LIMIT = 1_000_000  # effectively unlimited


class LiveSimulation(Simulation):
    """Runs the nodes, the origin and discovery of a run on one event loop, in real time."""

    def __init__(self, loop: EventLoop, experiment: Experiment, seed: int, measure: Measure) -> None:
        self.loop = loop
        self.budget = ResourceBudget(DESCRIPTOR_LIMIT)
        self.node_servers: dict[int, NodeServer] = {}
        self.attempts: list[NodeAttemptRecord] = []
        self.unix_start_ms = 1000.0 * time.time() + START_DELAY_MS
        self.scheduled_requests = schedule_requests(experiment, seed)
        self._origin_fetches = OriginFetches()
        self._write_deduplicator = WriteDeduplicator()
        super().__init__(experiment, seed, measure)
        self.real_time_kernel = RealTimeKernel(loop, self.kernel)
        self.discovery_server = DiscoveryServer(self, experiment.discovery, seed)
        listed = [node for node in self.nodes.values() if self._is_listed(node)]
        self.discovery_server.load_members([node.member(node.machine.started_at) for node in listed])
        self.discovery = self.discovery_server

    def _is_listed(self, node: SimulatedNode) -> bool:
        """Return whether the endpoint list has a node; in read-through mode it has no origin."""
        return node.kind != ORIGIN_KIND or self.experiment.mode == "aside"

    def start_at(self, at: float) -> None:
        """Start the run at time `at` of the event loop, in milliseconds."""
        self.unix_start_ms = 1000.0 * time.time() + at - self.loop.now()
        fault_schedule.schedule_faults(self, LIVE_FAULT_INJECTORS)
        self.kernel.call_after(SAMPLE_INTERVAL_MS, self._sample_load)
        self.real_time_kernel.start(at)

    def open(self) -> None:
        """Start to accept connections."""
        self._update_listeners()
        self._close_idle_connections()
        self.discovery_server.open()

    def close(self) -> None:
        """Close all sockets."""
        self.discovery_server.close()
        for server in self.node_servers.values():
            server.close()

    # ------------------------------------------------------------------------------ overrides of the model

    def _register_node(self, node: SimulatedNode) -> None:
        super()._register_node(node)
        self.node_servers[node.number] = NodeServer(self, node)

    def add_router(self, _index: int) -> SimulatedRouter:
        """Add nothing, as routers are separate processes."""
        return cast(SimulatedRouter, None)

    def kill_router(self, index: int, down_ms: float | None) -> None:
        """Do nothing, as the process that started the routers kills them."""

    def _on_connections_lost(self, node: SimulatedNode) -> None:
        self.node_servers[node.number].reset_all()

    def start_time_of(self, node: SimulatedNode) -> float:
        """Return when a node started, in milliseconds since the start of the run."""
        return node.machine.started_at

    def _update_listeners(self) -> None:
        self.loop.call_after(LISTENER_UPDATE_INTERVAL_MS, self._update_listeners)
        for server in list(self.node_servers.values()):
            server.update_listeners()

    def _close_idle_connections(self) -> None:
        self.loop.call_after(IDLE_CHECK_INTERVAL_MS, self._close_idle_connections)
        now = self.real_time_kernel.now()
        for server in self.node_servers.values():
            server.close_idle(now)

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after `delay_ms` milliseconds of the run."""
        self.kernel.call_after(delay_ms, callback)

    # ---------------------------------------------------------------------------------- attempts

    def record_attempt(
        self, node: SimulatedNode, zone: int, name: str, first_byte_at: float
    ) -> NodeAttemptRecord:
        """Record that a request from a router in `zone` has arrived completely at a node."""
        request = find_request(self.scheduled_requests, name)
        drain_known_since = None
        if request is not None:
            drain_known_since = self.discovery_server.drain_known_at(request.router, node.number)
        record = NodeAttemptRecord(
            request_id=name,
            node=node.number,
            node_name=node.uid,
            zone=node.zone,
            cell=node.cell,
            started_at=first_byte_at,
            drain_known_since=drain_known_since,
        )
        self.attempts.append(record)
        if request is not None:
            self._count_event("attempts")
            if node.kind == ORIGIN_KIND:
                self._count_event("origin_attempts")
            if zone != node.zone:
                self._count_event("crossings")
        return record

    def to_node_request(
        self, node: SimulatedNode, message: HttpRequest, name: str, reply: ReplyCallback
    ) -> NodeRequest:
        """Return the model's request for an HTTP request; an unscheduled one belongs to the first class."""
        request = find_request(self.scheduled_requests, name)
        write = message.method == b"PUT"
        if request is None:
            request_class = self.experiment.classes[0]
            key = hash_key(key_of_target(message.target))
            return NodeRequest(
                name,
                key,
                write,
                request_class.work_ms,
                request_class.origin_ms,
                request_class.size,
                reply,
            )
        node_request = NodeRequest(
            name, request.key, write, request.work_ms, request.origin_work_ms, request.size, reply
        )
        request_class = self.experiment.classes[request.klass]
        if write and self._write_deduplicator.is_repeat(
            message.header_text(b"idempotency-key"), request_class, node, self.real_time_kernel.now()
        ):
            node_request.work = DEDUPLICATION_WORK_MS
            node_request.origin_work = DEDUPLICATION_WORK_MS
        return node_request

    def on_node_reply(
        self, node: SimulatedNode, node_request: NodeRequest, result: Result, cache_status: int
    ) -> None:
        """Record a node's reply, and store values fetched from the origin at cache nodes."""
        if cache_status:
            self._count_event("hits" if cache_status == CACHE_HIT else "misses")
        if result is Result.MISS and isinstance(node, SimulatedCacheNode):
            self._origin_fetches.record_miss(node_request.request, node)
        elif result is Result.OK and node.kind == ORIGIN_KIND and not node_request.write:
            self._origin_fetches.store_answer(node_request, self.kernel.time)
