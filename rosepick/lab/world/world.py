"""A whole world: the fleet, its routers and clients, put together from an experiment; a truth that an oracle
may see.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ...core.engine import Decider
from ...decisions import api
from ...decisions.api import Result, State
from ..experiment import Experiment, Nodes
from ..measure import Measure
from .clients import Clients
from .discovery import Discovery
from .draws import Uniform, generator
from .fleet import Asked, CacheNode, Node, OriginNode
from .kernel import Kernel
from .network import Network
from .ports import Router
from .requests import Request, Requests
from .rules import Monitor
from .settings import settings_of

DRAINS_FOR = 3_000.0  # milliseconds from telling that a node drains until its process ends
SAMPLE_EVERY = 1_000.0

MakeDecider = Callable[[api.Settings, int, "World"], Decider | None]


class World:
    """Everything that one run simulates."""

    def __init__(
        self, experiment: Experiment, seed: int, measure: Measure, decider: MakeDecider = lambda *_: None
    ) -> None:
        self.experiment, self.seed, self.measure = experiment, seed, measure
        self.kernel = Kernel()
        self.network = Network(experiment.network, seed)
        self.nodes: dict[int, Node] = {}
        self.monitor = Monitor(measure, experiment.max_attempts, 1000.0 * experiment.stop_sending_within)
        self.discovery = Discovery(
            self.kernel, experiment.discovery, seed, lambda zone: self.network.latency(zone, 0)
        )
        self.requests = Requests(experiment, seed)
        self._make_decider = decider
        self._fates, self._speeds = Uniform(seed, "fates"), Uniform(seed, "speeds")
        self._choices = generator(seed, "choices")
        self._made = 0
        self.origin = self._make_origin()
        for group in experiment.fleet:
            for n in range(group.count):
                self.add_node(group, n, 1000.0 * group.born, told=False)
        # where nodes fetch by themselves, routers have no origin to speak to
        aside = experiment.mode == "aside"
        listed = [node for node in self.nodes.values() if aside or node is not self.origin]
        self.discovery.begin([node.member(self.born(node)) for node in listed])
        self.routers: list[Router | None] = [self.add_router(n) for n in range(experiment.routers.count)]
        self.clients = Clients(
            self.kernel, experiment, seed, measure, settings_of(experiment), self.routers.__getitem__
        )
        self._coming = iter(self.requests)
        self._busy: dict[int, float] = {}

    # ------------------------------------------------------------------------------------------ its parts

    def zone(self, name: str) -> int:
        """The number of a zone."""
        return self.experiment.zones.index(name) if name else 0

    def born(self, node: Node) -> float:
        """When a node started, as its entry tells it: 0 for long ago."""
        if node.server.born > 0 or node.server.cold(self.kernel.time):
            return max(1e-3, node.server.born)
        return 0.0

    def _make_origin(self) -> OriginNode:
        given = self.experiment.origin
        origin = OriginNode(self.kernel, given, self.zone(given.zone))
        origin.written = self._void
        self._settle(origin)
        return origin

    def _settle(self, node: Node) -> None:
        node.fates(self._fates)
        node.lost = self._lost
        self.nodes[node.number] = node

    def add_node(self, group: Nodes, place: int, born: float, told: bool = True) -> CacheNode:
        """Another cache node; unless at the begin, discovery will hear of it."""
        zones = len(self.experiment.zones)
        zone = self.zone(group.zone) if group.zone else place % zones
        speed = group.speed * (1.0 + group.speed_spread * (2.0 * self._speeds() - 1.0))
        through = self.experiment.mode == "through"
        self._made += 1
        node = CacheNode(
            self.kernel, f"node-{self._made}", zone, group, speed, born, self._fetch if through else None
        )
        node.server.fell = lambda: self._fell(node)
        self._settle(node)
        if told:
            self.discovery.changed(node.member(self.born(node)))
        return node

    def add_router(self, place: int) -> Router:
        """A router starts; it knows nothing but the list as it had it last."""
        zone = place % len(self.experiment.zones)
        settings = settings_of(self.experiment, place, zone)
        seed = int(generator(self.seed, f"router {place} at {self.kernel.time}").integers(1, 2**62))
        router = Router(
            f"router-{place}",
            zone,
            self.kernel,
            self.network,
            self.nodes,
            self.discovery,
            self.monitor,
            settings,
            seed,
            self._make_decider(settings, seed, self),
            self.experiment.routers,
        )
        router.count = self._count
        return router

    def _count(self, what: str) -> None:
        self.measure.count(self.kernel.time, what)

    # --------------------------------------------------------------------------------------- what happens

    def _fetch(self, node: CacheNode, asked: Asked, then: Callable[[bool], None]) -> None:
        """In through mode a node asks the origin itself."""
        self._count("origin_attempts")
        there = self.network.latency(node.zone, self.origin.zone)

        def replied(result: Result, note: int) -> None:
            back = self.network.latency(node.zone, self.origin.zone)
            self.kernel.after(back, lambda: then(result is Result.OK))

        sent = Asked(asked.request, asked.key, asked.write, 0.0, asked.origin_work, asked.size, replied)
        if self.network.passes(node.zone, self.origin.zone) and not self.origin.silent:
            self.kernel.after(there, lambda: self.origin.arrive(sent))

    def _void(self, key: int) -> None:
        """A write voids the kept copies of its key."""
        for node in self.nodes.values():
            if isinstance(node, CacheNode):
                node.memory.void(key)

    def _lost(self, node: Node) -> None:
        for router in self.routers:
            if router is not None:
                router.lost(node)

    def _fell(self, node: CacheNode) -> None:
        """A cold node was pushed over: it stays down, and its process is gone for discovery too."""
        self.monitor.fell(node.uid, self.kernel.time)
        node.stop()
        node.state = State.GONE
        self.discovery.changed(node.member(self.born(node)))

    # ---------------------------------------------------------------------------------------- for troubles

    def cache_nodes(self, zone: str = "") -> list[CacheNode]:
        """Those that serve, in the order of their making."""
        wanted = self.zone(zone) if zone else None
        return [
            node
            for node in self.nodes.values()
            if isinstance(node, CacheNode) and node.state is State.READY and wanted in (None, node.zone)
        ]

    def choose(self, among: list[CacheNode], count: int | None, part: float | None) -> list[CacheNode]:
        """Some of several, drawn; one if nothing is stated."""
        wanted = count if count is not None else round(part * len(among)) if part is not None else 1
        places = self._choices.permutation(len(among))[: max(0, min(wanted, len(among)))]
        return [among[place] for place in sorted(places.tolist())]

    def restart(self, node: CacheNode, down: float) -> None:
        """Its process ends, and starts again after so many milliseconds, cold and empty."""
        node.stop()

        def start() -> None:
            if node.state is not State.READY or node.server.up:
                return  # it drained meanwhile, or is up already
            node.start()
            self.discovery.changed(node.member(self.born(node)))

        self.kernel.after(down, start)

    def drain(self, node: CacheNode) -> None:
        """A node wants nothing new, and is gone some seconds later."""
        node.state = State.DRAINING
        self.discovery.changed(node.member(self.born(node)))

        def gone() -> None:
            node.state = State.GONE
            node.stop()
            self.discovery.changed(node.member(self.born(node)))

        self.kernel.after(DRAINS_FOR, gone)

    def kill_router(self, place: int, down: float | None) -> None:
        """A router is killed; it starts again after so many milliseconds, or never."""
        router = self.routers[place]
        if router is None:
            return
        self.routers[place] = None
        for payload in router.kill():
            self.clients.lost(payload)
        if down is not None:
            shape = self.experiment.routers
            down += shape.start_ms / shape.cores
            self.kernel.after(down, lambda: self.routers.__setitem__(place, self.add_router(place)))

    # ------------------------------------------------------------------------------------------- its course

    def start(self) -> None:
        """The first request is set, and the first sample."""
        self._next_request()
        self.kernel.after(SAMPLE_EVERY, self._sample)

    def _next_request(self) -> None:
        request = next(self._coming, None)
        if request is not None:
            self.kernel.at(request.due, lambda: self._come(request))

    def _come(self, request: Request) -> None:
        self._next_request()
        self.clients.come(request)

    def _sample(self) -> None:
        """Note loads of the second that has passed."""
        now = self.kernel.time
        second = self.measure.second(now - 1.0)
        loads = []
        for node in self.nodes.values():
            server = node.server
            server.settle()
            before = self._busy.get(node.number, 0.0)
            self._busy[node.number] = server.busy
            load = (server.busy - before) / (SAMPLE_EVERY * server.shape.cores)
            if node is self.origin:
                second.origin_load = load
            elif server.up:
                loads.append(load)
                if server.shape.falls_at < inf and server.cold(now):
                    most = server.shape.falls_at * server.capacity(now) * server.shape.falls_within
                    second.cold_used = max(second.cold_used, 1.0 - server.budget(now) / most)
        second.node_loads, second.nodes_up = tuple(loads), len(loads)
        if now < 1000.0 * self.experiment.length:
            self.kernel.after(SAMPLE_EVERY, self._sample)

    def finish(self) -> None:
        """All deadlines have passed: whoever has no answer now never gets one."""
        for router in self.routers:
            if router is None:
                continue
            for envelope in router.engine.envelopes.values():
                if not envelope.over:
                    self.monitor.over(envelope.payload.tried, self.kernel.time, router.name)  # type: ignore[attr-defined]


class Truth:
    """The true state of the fleet, for an oracle."""

    def __init__(self, world: World, work: float) -> None:
        self.world, self.work = world, work

    def expected(self, server: int, key: int, now: float) -> float:
        """How long the work of a read would take there, in milliseconds; inf if it cannot be done."""
        node = self.world.nodes.get(server)
        if node is None or node.silent or not node.server.up:
            return inf
        return node.server.expected(self.work, now)

    def holds(self, server: int, key: int) -> bool:
        """Whether a node remembers a key."""
        node = self.world.nodes.get(server)
        return isinstance(node, CacheNode) and node.memory.holds(key, self.world.kernel.time)

    def may_take(self, server: int, now: float) -> bool:
        """Whether a cold node's budget allows one more."""
        node = self.world.nodes.get(server)
        return node is not None and node.server.budget(now) > 2.0 * self.work
