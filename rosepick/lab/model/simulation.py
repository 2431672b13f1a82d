"""A whole world: the fleet, its routers and clients, put together from an experiment; a truth that an oracle
may see.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ...core.ports import DecisionModule
from ...decisions import api
from ...decisions.api import Result, Status
from ..experiment import Experiment, NodeGroupConfig
from ..measure import Measure
from .clients import Clients
from .discovery import SimulatedDiscovery
from .kernel import Kernel
from .network import SimulatedNetwork
from .nodes import NodeRequest, SimulatedCacheNode, SimulatedNode, SimulatedOrigin
from .random_streams import UniformStream, create_generator
from .router_settings import router_settings_for
from .rule_monitor import RuleMonitor
from .simulated_router import SimulatedRouter
from .workload import ScheduledRequest, Workload

DRAIN_TIME_MS = 3_000.0  # milliseconds from telling that a node drains until its process ends
SAMPLE_INTERVAL_MS = 1_000.0

DeciderFactory = Callable[[api.RouterSettings, int, "Simulation"], DecisionModule | None]


class Simulation:
    """Everything that one run simulates."""

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        measure: Measure,
        decider_factory: DeciderFactory = lambda *_: None,
    ) -> None:
        self.experiment, self.seed, self.measure = experiment, seed, measure
        self.kernel = Kernel()
        self.network = SimulatedNetwork(experiment.network, seed)
        self.nodes: dict[int, SimulatedNode] = {}
        self.monitor = RuleMonitor(measure, experiment.max_attempts, 1000.0 * experiment.stop_sending_within)
        self.discovery = SimulatedDiscovery(
            self.kernel, experiment.discovery, seed, lambda zone: self.network.latency(zone, 0)
        )
        self.requests = Workload(experiment, seed)
        self._decider_factory = decider_factory
        self._fate_stream, self._speed_stream = UniformStream(seed, "fates"), UniformStream(seed, "speeds")
        self._fault_target_rng = create_generator(seed, "choices")
        self._node_count = 0
        self.origin = self._create_origin()
        for group in experiment.fleet:
            for n in range(group.count):
                self.add_node(group, n, 1000.0 * group.born, announce=False)
        # where nodes fetch by themselves, routers have no origin to speak to
        aside = experiment.mode == "aside"
        listed = [node for node in self.nodes.values() if aside or node is not self.origin]
        self.discovery.load_members([node.member(self.start_time_of(node)) for node in listed])
        self.routers: list[SimulatedRouter | None] = [
            self.add_router(n) for n in range(experiment.routers.count)
        ]
        self.clients = Clients(
            self.kernel, experiment, seed, measure, router_settings_for(experiment), self.routers.__getitem__
        )
        self._upcoming_requests = iter(self.requests)
        self._last_busy_ms: dict[int, float] = {}

    # ------------------------------------------------------------------------------------------ its parts

    def zone_number(self, name: str) -> int:
        """The number of a zone."""
        return self.experiment.zones.index(name) if name else 0

    def start_time_of(self, node: SimulatedNode) -> float:
        """When a node started, as its entry tells it: 0 for long ago."""
        if node.machine.started_at > 0 or node.machine.is_cold(self.kernel.time):
            return max(1e-3, node.machine.started_at)
        return 0.0

    def _create_origin(self) -> SimulatedOrigin:
        given = self.experiment.origin
        origin = SimulatedOrigin(self.kernel, given, self.zone_number(given.zone))
        origin.on_key_written = self._invalidate_key
        self._register_node(origin)
        return origin

    def _register_node(self, node: SimulatedNode) -> None:
        node.set_fate_stream(self._fate_stream)
        node.on_connections_lost = self._on_connections_lost
        self.nodes[node.number] = node

    def add_node(
        self, group: NodeGroupConfig, index: int, started_at: float, announce: bool = True
    ) -> SimulatedCacheNode:
        """Another cache node; unless at the begin, discovery will hear of it."""
        zones = len(self.experiment.zones)
        zone = self.zone_number(group.zone) if group.zone else index % zones
        speed = group.speed * (1.0 + group.speed_spread * (2.0 * self._speed_stream() - 1.0))
        through = self.experiment.mode == "through"
        self._node_count += 1
        node = SimulatedCacheNode(
            self.kernel,
            f"node-{self._node_count}",
            zone,
            group,
            speed,
            started_at,
            self._fetch_from_origin if through else None,
        )
        node.machine.on_overload = lambda: self._on_node_overloaded(node)
        self._register_node(node)
        if announce:
            self.discovery.report_change(node.member(self.start_time_of(node)))
        return node

    def add_router(self, index: int) -> SimulatedRouter:
        """A router starts; it knows nothing but the list as it had it last."""
        zone = index % len(self.experiment.zones)
        settings = router_settings_for(self.experiment, index, zone)
        seed = int(create_generator(self.seed, f"router {index} at {self.kernel.time}").integers(1, 2**62))
        router = SimulatedRouter(
            f"router-{index}",
            zone,
            self.kernel,
            self.network,
            self.nodes,
            self.discovery,
            self.monitor,
            settings,
            seed,
            self._decider_factory(settings, seed, self),
            self.experiment.routers,
        )
        router.count_event = self._count_event
        return router

    def _count_event(self, event: str) -> None:
        self.measure.count_event(self.kernel.time, event)

    # --------------------------------------------------------------------------------------- what happens

    def _fetch_from_origin(
        self, node: SimulatedCacheNode, node_request: NodeRequest, on_result: Callable[[bool], None]
    ) -> None:
        """In through mode a node asks the origin itself."""
        self._count_event("origin_attempts")
        there = self.network.latency(node.zone, self.origin.zone)

        def replied(result: Result, note: int) -> None:
            back = self.network.latency(node.zone, self.origin.zone)
            self.kernel.call_after(back, lambda: on_result(result is Result.OK))

        sent = NodeRequest(
            node_request.request,
            node_request.key,
            node_request.write,
            0.0,
            node_request.origin_work,
            node_request.size,
            replied,
        )
        if self.network.is_connected(node.zone, self.origin.zone) and not self.origin.silent:
            self.kernel.call_after(there, lambda: self.origin.on_request(sent))

    def _invalidate_key(self, key: int) -> None:
        """A write voids the kept copies of its key."""
        for node in self.nodes.values():
            if isinstance(node, SimulatedCacheNode):
                node.memory.invalidate(key)

    def _on_connections_lost(self, node: SimulatedNode) -> None:
        for router in self.routers:
            if router is not None:
                router.on_node_connections_lost(node)

    def _on_node_overloaded(self, node: SimulatedCacheNode) -> None:
        """A cold node was pushed over: it stays down, and its process is gone for discovery too."""
        self.monitor.record_cold_overload(node.uid, self.kernel.time)
        node.stop()
        node.state = Status.REMOVED
        self.discovery.report_change(node.member(self.start_time_of(node)))

    # ---------------------------------------------------------------------------------------- for troubles

    def cache_nodes(self, zone: str = "") -> list[SimulatedCacheNode]:
        """Those that serve, in the order of their making."""
        wanted = self.zone_number(zone) if zone else None
        return [
            node
            for node in self.nodes.values()
            if isinstance(node, SimulatedCacheNode)
            and node.state is Status.READY
            and wanted in (None, node.zone)
        ]

    def choose_nodes(
        self, candidates: list[SimulatedCacheNode], count: int | None, share: float | None
    ) -> list[SimulatedCacheNode]:
        """Some of several, drawn; one if nothing is stated."""
        wanted = count if count is not None else round(share * len(candidates)) if share is not None else 1
        places = self._fault_target_rng.permutation(len(candidates))[: max(0, min(wanted, len(candidates)))]
        return [candidates[place] for place in sorted(places.tolist())]

    def restart_node(self, node: SimulatedCacheNode, down_ms: float) -> None:
        """Its process ends, and starts again after so many milliseconds, cold and empty."""
        node.stop()

        def start() -> None:
            if node.state is not Status.READY or node.machine.up:
                return  # it drained meanwhile, or is up already
            node.start()
            self.discovery.report_change(node.member(self.start_time_of(node)))

        self.kernel.call_after(down_ms, start)

    def drain_node(self, node: SimulatedCacheNode) -> None:
        """A node wants nothing new, and is gone some seconds later."""
        node.state = Status.DRAINING
        self.discovery.report_change(node.member(self.start_time_of(node)))

        def gone() -> None:
            node.state = Status.REMOVED
            node.stop()
            self.discovery.report_change(node.member(self.start_time_of(node)))

        self.kernel.call_after(DRAIN_TIME_MS, gone)

    def kill_router(self, index: int, down_ms: float | None) -> None:
        """A router is killed; it starts again after so many milliseconds, or never."""
        router = self.routers[index]
        if router is None:
            return
        self.routers[index] = None
        for payload in router.kill():
            self.clients.on_router_killed(payload)
        if down_ms is not None:
            shape = self.experiment.routers
            down_ms += shape.start_ms / shape.cores
            self.kernel.call_after(down_ms, lambda: self.routers.__setitem__(index, self.add_router(index)))

    # ------------------------------------------------------------------------------------------- its course

    def start(self) -> None:
        """The first request is set, and the first sample."""
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
        """Note loads of the second that has passed."""
        now = self.kernel.time
        second = self.measure.second_at(now - 1.0)
        loads = []
        for node in self.nodes.values():
            server = node.machine
            server.update_busy()
            before = self._last_busy_ms.get(node.number, 0.0)
            self._last_busy_ms[node.number] = server.busy_ms
            load = (server.busy_ms - before) / (SAMPLE_INTERVAL_MS * server.config.cores)
            if node is self.origin:
                second.origin_load = load
            elif server.up:
                loads.append(load)
                if server.config.overload_multiple < inf and server.is_cold(now):
                    most = (
                        server.config.overload_multiple
                        * server.capacity(now)
                        * server.config.overload_window_ms
                    )
                    second.cold_used = max(second.cold_used, 1.0 - server.cold_budget_ms(now) / most)
        second.node_loads, second.nodes_up = tuple(loads), len(loads)
        if now < 1000.0 * self.experiment.length:
            self.kernel.call_after(SAMPLE_INTERVAL_MS, self._sample_load)

    def finish(self) -> None:
        """All deadlines have passed: whoever has no answer now never gets one."""
        for router in self.routers:
            if router is None:
                continue
            for envelope in router.engine.requests.values():
                if not envelope.is_finished:
                    self.monitor.check_finished(envelope.payload.tried, self.kernel.time, router.name)  # type: ignore[attr-defined]


class FleetGroundTruth:
    """The true state of the fleet, for an oracle."""

    def __init__(self, simulation: Simulation, work: float) -> None:
        self.simulation, self.work = simulation, work

    def expected_latency_ms(self, server: int, key: int, now: float) -> float:
        """How long the work of a read would take there, in milliseconds; inf if it cannot be done."""
        node = self.simulation.nodes.get(server)
        if node is None or node.silent or not node.machine.up:
            return inf
        return node.machine.expected_ms(self.work, now)

    def holds_key(self, server: int, key: int) -> bool:
        """Whether a node remembers a key."""
        node = self.simulation.nodes.get(server)
        return isinstance(node, SimulatedCacheNode) and node.memory.holds(key, self.simulation.kernel.time)

    def accepts_cold_request(self, server: int, now: float) -> bool:
        """Whether a cold node's budget allows one more."""
        node = self.simulation.nodes.get(server)
        return node is not None and node.machine.cold_budget_ms(now) > 2.0 * self.work
