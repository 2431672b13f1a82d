"""The simulation of an experiment: the fleet, its routers and its clients."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ...core.ports import DecisionModule
from ...decisions import api
from ...decisions.api import Result, Status
from ..experiment import Experiment
from ..experiment_config import NodeGroupConfig
from ..measure import Measure
from .clients import Clients
from .discovery import SimulatedDiscovery
from .kernel import Kernel
from .machine import Machine
from .network import SimulatedNetwork
from .nodes import (
    FetchResultCallback,
    NodePlacement,
    NodeRequest,
    SimulatedCacheNode,
    SimulatedNode,
    SimulatedOrigin,
)
from .random_streams import UniformStream, create_generator
from .router_settings import router_settings_for
from .rule_monitor import RuleMonitor
from .simulated_router import RouterEnvironment, SimulatedRouter
from .workload import ScheduledRequest, Workload

DRAIN_TIME_MS = 3_000.0  # time from the start of a node's drain to the end of its process
SAMPLE_INTERVAL_MS = 1_000.0  # interval between samples of the loads
MIN_COLD_STARTED_AT = 1e-3  # milliseconds; a start time of 0 in the endpoint list means a warm node

DeciderFactory = Callable[[api.RouterSettings, int, "Simulation"], DecisionModule | None]


class Simulation:
    """All simulated parts of one run."""

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        measure: Measure,
        decider_factory: DeciderFactory = lambda *_: None,
    ) -> None:
        """Build a run from a seed; `decider_factory` may return None for the real decisions."""
        self.experiment = experiment
        self.seed = seed
        self.measure = measure
        self.kernel = Kernel()
        self.network = SimulatedNetwork(experiment.network, seed)
        self.nodes: dict[int, SimulatedNode] = {}
        self.monitor = RuleMonitor(measure, experiment.max_attempts, 1000.0 * experiment.stop_sending_within)
        self.discovery = SimulatedDiscovery(
            self.kernel, experiment.discovery, seed, lambda zone: self.network.latency(zone, 0)
        )
        self.workload = Workload(experiment, seed)
        self._decider_factory = decider_factory
        self._fault_stream = UniformStream(seed, "fates")
        self._speed_stream = UniformStream(seed, "speeds")
        self._fault_target_rng = create_generator(seed, "choices")
        self._node_count = 0
        self.origin = self._create_origin()
        self._create_fleet()
        self._router_environment = RouterEnvironment(
            self.kernel,
            self.network,
            self.nodes,
            self.discovery,
            self.monitor,
            experiment.routers,
            self._count_event,
        )
        router_count = experiment.routers.count
        self.routers: list[SimulatedRouter | None] = [self.add_router(index) for index in range(router_count)]
        self.clients = Clients(self.kernel, experiment, seed, measure, self.routers.__getitem__)
        self._upcoming_requests = iter(self.workload)
        self._last_busy_ms: dict[int, float] = {}

    # ------------------------------------------------------------------------------------------ parts

    def zone_number(self, name: str) -> int:
        """Return the number of a zone; 0 if the name is empty."""
        return self.experiment.zones.index(name) if name else 0

    def start_time_of(self, node: SimulatedNode) -> float:
        """Return a node's start time for the endpoint list, in milliseconds; 0 if it started warm."""
        if node.machine.started_at > 0 or node.machine.is_cold(self.kernel.time):
            return max(MIN_COLD_STARTED_AT, node.machine.started_at)
        return 0.0

    def _create_origin(self) -> SimulatedOrigin:
        config = self.experiment.origin
        origin = SimulatedOrigin(self.kernel, config, self.zone_number(config.zone))
        origin.on_key_written = self._invalidate_key
        self._register_node(origin)
        return origin

    def _create_fleet(self) -> None:
        for group in self.experiment.fleet:
            for index in range(group.count):
                self.add_node(group, index, 1000.0 * group.born, announce=False)
        # in read-through mode nodes fetch from the origin, which is not in the endpoint list
        is_aside = self.experiment.mode == "aside"
        listed = [node for node in self.nodes.values() if is_aside or node is not self.origin]
        self.discovery.load_members([node.member(self.start_time_of(node)) for node in listed])

    def _register_node(self, node: SimulatedNode) -> None:
        node.set_fault_stream(self._fault_stream)
        node.on_connections_lost = self._on_connections_lost
        self.nodes[node.number] = node

    def add_node(
        self, group: NodeGroupConfig, index: int, started_at: float, announce: bool = True
    ) -> SimulatedCacheNode:
        """Add a cache node, and report it to discovery if `announce` is set."""
        zone_count = len(self.experiment.zones)
        zone = self.zone_number(group.zone) if group.zone else index % zone_count
        speed = group.speed * (1.0 + group.speed_spread * (2.0 * self._speed_stream() - 1.0))
        fetch = self._fetch_from_origin if self.experiment.mode == "through" else None
        self._node_count += 1
        placement = NodePlacement(f"node-{self._node_count}", zone, speed, started_at)
        node = SimulatedCacheNode(self.kernel, placement, group, fetch)
        node.machine.on_overload = lambda: self._on_node_overloaded(node)
        self._register_node(node)
        if announce:
            self.discovery.report_change(node.member(self.start_time_of(node)))
        return node

    def add_router(self, index: int) -> SimulatedRouter:
        """Start a router, whose only state is its cached endpoint list."""
        zone = index % len(self.experiment.zones)
        settings = router_settings_for(self.experiment, index, zone)
        seed = int(create_generator(self.seed, f"router {index} at {self.kernel.time}").integers(1, 2**62))
        decider = self._decider_factory(settings, seed, self)
        return SimulatedRouter(self._router_environment, settings, seed, decider)

    def _count_event(self, event: str) -> None:
        self.measure.count_event(self.kernel.time, event)

    # --------------------------------------------------------------------------------------- events

    def _fetch_from_origin(
        self, node: SimulatedCacheNode, node_request: NodeRequest, on_result: FetchResultCallback
    ) -> None:
        """Fetch a value or forward a write for a node, in read-through mode."""
        self._count_event("origin_attempts")
        request_latency = self.network.latency(node.zone, self.origin.zone)

        def on_reply(result: Result, _cache_status: int) -> None:
            reply_latency = self.network.latency(node.zone, self.origin.zone)
            self.kernel.call_after(reply_latency, lambda: on_result(result is Result.OK))

        origin_request = NodeRequest(
            request=node_request.request,
            key=node_request.key,
            write=node_request.write,
            work=0.0,
            origin_work=node_request.origin_work,
            size=node_request.size,
            reply=on_reply,
        )
        if self.network.is_connected(node.zone, self.origin.zone) and not self.origin.silent:
            self.kernel.call_after(request_latency, lambda: self.origin.on_request(origin_request))

    def _invalidate_key(self, key: int) -> None:
        """Remove a written key from all cache nodes."""
        for node in self.nodes.values():
            if isinstance(node, SimulatedCacheNode):
                node.memory.invalidate(key)

    def _on_connections_lost(self, node: SimulatedNode) -> None:
        for router in self.routers:
            if router is not None:
                router.on_node_connections_lost(node)

    def _on_node_overloaded(self, node: SimulatedCacheNode) -> None:
        """Stop a cold node that crashed by overload for good, and remove it from the endpoint list."""
        self.monitor.record_cold_overload(node.uid, self.kernel.time)
        node.stop()
        node.state = Status.REMOVED
        self.discovery.report_change(node.member(self.start_time_of(node)))

    # ---------------------------------------------------------------------------------------- faults

    def cache_nodes(self, zone: str = "") -> list[SimulatedCacheNode]:
        """Return the cache nodes that are ready, in all zones or in one, in the order of their creation."""
        zone_number = self.zone_number(zone) if zone else None
        return [
            node
            for node in self.nodes.values()
            if isinstance(node, SimulatedCacheNode)
            and node.state is Status.READY
            and zone_number in (None, node.zone)
        ]

    def choose_nodes(
        self, candidates: list[SimulatedCacheNode], count: int | None, share: float | None
    ) -> list[SimulatedCacheNode]:
        """Draw candidates, by count or by share; one candidate if neither is given."""
        if count is None:
            count = 1 if share is None else round(share * len(candidates))
        count = max(0, min(count, len(candidates)))
        indexes = self._fault_target_rng.permutation(len(candidates))[:count]
        return [candidates[index] for index in sorted(indexes.tolist())]

    def restart_node(self, node: SimulatedCacheNode, down_ms: float) -> None:
        """Stop a node's process, and start it again after `down_ms` milliseconds, cold and empty."""
        node.stop()

        def start() -> None:
            if node.state is not Status.READY or node.machine.up:
                return  # the node drains, or another fault has started it
            node.start()
            self.discovery.report_change(node.member(self.start_time_of(node)))

        self.kernel.call_after(down_ms, start)

    def drain_node(self, node: SimulatedCacheNode) -> None:
        """Drain a node, and end its process after `DRAIN_TIME_MS`."""
        node.state = Status.DRAINING
        self.discovery.report_change(node.member(self.start_time_of(node)))

        def end() -> None:
            node.state = Status.REMOVED
            node.stop()
            self.discovery.report_change(node.member(self.start_time_of(node)))

        self.kernel.call_after(DRAIN_TIME_MS, end)

    def kill_router(self, index: int, down_ms: float | None) -> None:
        """Kill a router, and start it again after `down_ms` milliseconds, or never if that is None."""
        router = self.routers[index]
        if router is None:
            return
        self.routers[index] = None
        for payload in router.kill():
            self.clients.on_router_killed(payload)
        if down_ms is not None:
            config = self.experiment.routers
            down_ms += config.start_ms / config.cores
            self.kernel.call_after(down_ms, lambda: self.routers.__setitem__(index, self.add_router(index)))

    # ------------------------------------------------------------------------------------------- the run

    def start(self) -> None:
        """Schedule the first request and the first sample."""
        self._schedule_next_request()
        self.kernel.call_after(SAMPLE_INTERVAL_MS, self._sample_load)

    def _schedule_next_request(self) -> None:
        request = next(self._upcoming_requests, None)
        if request is not None:
            self.kernel.call_at(request.due_ms, lambda: self._on_request_due(request))

    def _on_request_due(self, request: ScheduledRequest) -> None:
        self._schedule_next_request()
        self.clients.on_request_due(request)

    def _sample_load(self) -> None:
        """Record the loads of the past second."""
        now = self.kernel.time
        second = self.measure.second_at(now - 1.0)
        node_loads: list[float] = []
        for node in self.nodes.values():
            machine = node.machine
            load = self._load_since_last_sample(node)
            if node is self.origin:
                second.origin_load = load
            elif machine.up:
                node_loads.append(load)
                second.cold_used = max(second.cold_used, _used_cold_budget(machine, now))
        second.node_loads = tuple(node_loads)
        second.nodes_up = len(node_loads)
        if now < 1000.0 * self.experiment.length:
            self.kernel.call_after(SAMPLE_INTERVAL_MS, self._sample_load)

    def _load_since_last_sample(self, node: SimulatedNode) -> float:
        machine = node.machine
        machine.update_busy()
        busy_before_ms = self._last_busy_ms.get(node.number, 0.0)
        self._last_busy_ms[node.number] = machine.busy_ms
        return (machine.busy_ms - busy_before_ms) / (SAMPLE_INTERVAL_MS * machine.config.cores)

    def finish(self) -> None:
        """Check, after all deadlines, that every request was answered."""
        for router in self.routers:
            if router is None:
                continue
            for payload in router.unfinished_payloads():
                self.monitor.check_finished(payload.client_try, self.kernel.time, router.name)


def _used_cold_budget(machine: Machine, now: float) -> float:
    """Return the used share of a cold machine's budget; 0 if the machine is warm or has no budget."""
    config = machine.config
    if config.overload_multiple == inf or not machine.is_cold(now):
        return 0.0
    budget_ms = config.overload_multiple * machine.capacity(now) * config.overload_window_ms
    return 1.0 - machine.cold_budget_ms(now) / budget_ms
