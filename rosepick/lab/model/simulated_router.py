"""One simulated router: the very `Engine` and decisions, behind ports that carry attempts through the world.

An attempt's connection, its bytes and its end are separate, as they are on sockets: a new connection takes a
round trip and the node's work, the request arrives a latency later, its answer takes another, and giving up
closes the connection, of which the node hears a latency later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...connections.keep_alive import KeepAliveController
from ...core.engine import Engine
from ...core.ports import DecisionModule
from ...core.request_context import RequestContext, UpstreamAttempt
from ...decisions import api
from ...decisions.api import Result
from ..experiment import RoutersConfig
from .discovery import DiscoverySubscriber, SimulatedDiscovery
from .kernel import Kernel
from .network import SimulatedNetwork
from .nodes import CACHE_HIT, CACHE_KIND, ORIGIN_KIND, ConnectOutcome, NodeRequest, SimulatedNode
from .rule_monitor import ClientTry, RuleMonitor, SentAttempt
from .workload import ScheduledRequest

CONNECT_TIMEOUT_MS = 250.0  # milliseconds until a connection that does not come up is given up
MAX_IDLE_MS = 10_000.0  # that a router keeps an idle connection at most
SWEEP_INTERVAL_MS = 250.0


@dataclass(slots=True)
class RequestPayload:
    """What an envelope carries through the engine."""

    request: ScheduledRequest
    client_try: ClientTry
    on_ended: Callable[[str, float], None]  # how the try ended, and the time to come back in milliseconds
    missed_at: list[SimulatedNode] = field(default_factory=list)  # where a read missed


class SimulatedConnection:
    """One connection of a router to a node."""

    __slots__ = ("epoch", "idle_since", "node", "open")

    def __init__(self, node: SimulatedNode, now: float) -> None:
        self.node, self.epoch, self.idle_since, self.open = node, node.epoch, now, True

    def close(self) -> None:
        """It is closed, on both sides."""
        if self.open:
            self.open = False
            if self.epoch == self.node.epoch:
                self.node.disconnect()


class SimulatedExchange:
    """One delivery attempt on its way."""

    __slots__ = ("attempt", "connection", "node", "node_request", "router", "sent")

    def __init__(self, router: SimulatedRouter, attempt: UpstreamAttempt, node: SimulatedNode) -> None:
        self.router, self.attempt, self.node = router, attempt, node
        self.connection: SimulatedConnection | None = None
        self.node_request: NodeRequest | None = None
        self.sent: SentAttempt | None = None

    def connect(self) -> None:
        """Open a connection; the attempt goes out once it is up."""
        port, node = self.router, self.node
        now = port.kernel.time
        port.kernel.call_at(now + CONNECT_TIMEOUT_MS, self._on_connect_timeout)
        if port.can_reach(node):
            port.kernel.call_at(now + port.latency_to(node), self._on_connect)

    def _on_connect(self) -> None:
        if not self._is_active() or not self.router.can_reach(self.node):
            return
        port = self.router
        place, back = self.node.connect(), port.latency_to(self.node)
        if place is ConnectOutcome.ACCEPTED:
            port.keep_alive_controllers[self.node.kind].record_accepted()
            self.connection = SimulatedConnection(self.node, port.kernel.time)
            port.kernel.call_after(back, self.send_request)
        elif place is ConnectOutcome.NO_SLOT:  # it says so to the request, a round trip later
            port.kernel.call_after(3.0 * back, self._on_no_slot)
        else:
            port.kernel.call_after(back, lambda: self._on_ended(Result.CONNECT_FAILED, 0))

    def _on_no_slot(self) -> None:
        if self._is_active():
            self.router.keep_alive_controllers[self.node.kind].record_rejected()
            self._on_ended(Result.CONNECTION_LIMIT, 0)

    def _on_connect_timeout(self) -> None:
        if self._is_active() and self.node_request is None:
            self._on_ended(Result.CONNECT_FAILED, 0)

    def _is_active(self) -> bool:
        return self.router.exchanges.get(self.attempt) is self

    def send_request(self) -> None:
        """The connection is up: the request goes out on it."""
        if not self._is_active():
            return
        port = self.router
        payload = self.attempt.request.payload
        assert isinstance(payload, RequestPayload)
        request = payload.request
        write = self.attempt.request.is_write
        self.sent = port.record_send(payload.client_try, self.node)
        self.node_request = NodeRequest(
            payload.client_try.name,
            request.key,
            write,
            request.work_ms,
            request.origin_work_ms,
            request.size,
            self._on_reply,
        )
        if port.can_reach(self.node):
            port.kernel.call_after(port.latency_to(self.node), self._on_request_arrived)

    def _on_request_arrived(self) -> None:
        asked = self.node_request
        assert asked is not None
        if asked.finished or not self.router.can_reach(self.node):
            return
        link = self.connection
        if link is None or not link.open or link.epoch != self.node.epoch or not self.node.machine.up:
            self.router.kernel.call_after(
                self.router.latency_to(self.node), lambda: self._on_ended(Result.RESET, 0)
            )
            return
        self.node.on_request(asked)

    def _on_reply(self, result: Result, note: int) -> None:
        port = self.router
        if not port.can_reach(self.node):
            return
        if port.network.draw_break():
            result = Result.RESET
        port.kernel.call_after(port.latency_to(self.node), lambda: self._on_ended(result, note))

    def _on_ended(self, result: Result, note: int) -> None:
        """The end of the attempt is at the router, which hears it when it has the time."""
        if self._is_active():
            self.router.spend_cpu(self.router.config.attempt_us, lambda: self._process_result(result, note))

    def _process_result(self, result: Result, note: int) -> None:
        if not self._is_active():
            return
        port = self.router
        del port.exchanges[self.attempt]
        if self.connection is not None:
            if result in (Result.RESET, Result.CONNECT_FAILED):
                self.connection.close()
            else:
                port.release_connection(self.connection)
        self._record_outcome(result)
        if note:
            port.count_event("hits" if note == CACHE_HIT else "misses")
        port.record_miss(self.attempt, self.node, result)
        port.engine.finish_attempt(self.attempt, result, note, response=self.node)

    def on_connection_reset(self) -> None:
        """The node's process has gone: its machine resets the connection."""
        port = self.router
        result = Result.RESET if self.node_request is not None else Result.CONNECT_FAILED
        if self.node_request is not None:
            self.node_request.finished = True
        if not port.can_reach(self.node):
            return
        port.kernel.call_after(port.latency_to(self.node), lambda: self._on_ended(result, 0))

    def cancel(self) -> None:
        """The router closes the attempt's connection; the node hears of it a latency later."""
        self._record_outcome(Result.CANCELLED)
        asked, node, port = self.node_request, self.node, self.router
        if asked is not None:
            port.kernel.call_after(port.latency_to(node), lambda: node.on_cancelled(asked))
        if self.connection is not None:
            self.connection.close()

    def _record_outcome(self, result: Result) -> None:
        if self.sent is not None:
            self.router.monitor.record_outcome(self.sent, result)


class SimulatedRouter:
    """One router of the world: sender side, next hops, map source and clock of its engine."""

    def __init__(
        self,
        name: str,
        zone: int,
        kernel: Kernel,
        network: SimulatedNetwork,
        nodes: dict[int, SimulatedNode],
        discovery: SimulatedDiscovery,
        monitor: RuleMonitor,
        settings: api.RouterSettings,
        seed: int,
        decider: DecisionModule | None,
        config: RoutersConfig,
    ) -> None:
        self.name, self.zone = name, zone
        self.kernel, self.network, self.nodes, self.monitor = kernel, network, nodes, monitor
        self.discovery = discovery
        self.alive = True
        self.exchanges: dict[UpstreamAttempt, SimulatedExchange] = {}
        self.count_event: Callable[[str], None] = lambda what: None
        self._idle: dict[int, list[SimulatedConnection]] = {}
        self.config = config
        self._unread_requests: dict[
            RequestContext, RequestPayload
        ] = {}  # it has not had the time to take them
        self._busy_until = 0.0  # when it is through with what it has to do
        self.keep_alive_controllers = {
            kind: KeepAliveController(MAX_IDLE_MS, settings.routers) for kind in (CACHE_KIND, ORIGIN_KIND)
        }
        kernel.call_after(SWEEP_INTERVAL_MS, self._close_idle_connections)
        self.engine = Engine(settings, seed, kernel, decider)
        self.engine.upstream = self
        self.engine.endpoint_source = self
        self.subscription: DiscoverySubscriber = discovery.subscribe(self._on_members, zone)
        self.engine.update_endpoints(discovery.initial_members(self.subscription))

    def latency_to(self, node: SimulatedNode) -> float:
        """Of one message to or from a node."""
        return self.network.latency(self.zone, node.zone)

    def can_reach(self, node: SimulatedNode) -> bool:
        """Whether messages to and from a node pass at present."""
        return not node.silent and self.network.is_connected(self.zone, node.zone)

    def _on_members(self, event: api.EndpointUpdate) -> None:
        if self.alive:
            self.engine.update_endpoints(event)

    def set_watching(self, enabled: bool) -> None:
        """The engine follows discovery, or no more."""
        self.discovery.set_subscribed(self.subscription, enabled)

    # ------------------------------------------------------------------------------------- the next hops

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Carry an attempt out."""
        if not self.alive:
            return
        node = self.nodes.get(attempt.endpoint_id)
        self.count_event("attempts")
        if node is None:
            self.engine.finish_attempt(attempt, Result.CONNECT_FAILED)
            return
        if node.kind == ORIGIN_KIND:
            self.count_event("origin_attempts")
        if node.zone != self.zone:
            self.count_event("crossings")
        exchange = SimulatedExchange(self, attempt, node)
        self.exchanges[attempt] = exchange
        link = self._take_idle_connection(node)
        if link is None:
            exchange.connect()
        else:
            exchange.connection = link
            exchange.send_request()

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """Stop an attempt."""
        exchange = self.exchanges.pop(attempt, None)
        if exchange is not None:
            exchange.cancel()

    def spend_cpu(self, cost_us: float, callback: Callable[[], None]) -> None:
        """Go on once so many microseconds of processor time are spent, behind what is in hand."""
        now = self.kernel.time
        if not cost_us:
            callback()
            return
        self._busy_until = max(self._busy_until, now) + cost_us / 1000.0 / self.config.cores
        self.kernel.call_at(self._busy_until, lambda: callback() if self.alive else None)

    def _close_idle_connections(self) -> None:
        """Close connections that were idle for as long as they are kept."""
        if not self.alive:
            return
        now = self.kernel.time
        self.kernel.call_after(SWEEP_INTERVAL_MS, self._close_idle_connections)
        for number, links in list(self._idle.items()):
            kept = self.keep_alive_controllers[self.nodes[number].kind].keep_alive_ms
            for link in links:
                if now - link.idle_since >= kept:
                    link.close()
            self._idle[number] = [link for link in links if link.open]

    def _take_idle_connection(self, node: SimulatedNode) -> SimulatedConnection | None:
        """The most recently used idle connection that is still good, as far as this side can know."""
        links, now = self._idle.get(node.number, []), self.kernel.time
        while links:
            link = links.pop()
            if link.open and now - link.idle_since < MAX_IDLE_MS:
                return link
            link.close()
        return None

    def release_connection(self, connection: SimulatedConnection) -> None:
        """A connection is free for the next attempt."""
        connection.idle_since = self.kernel.time
        self._idle.setdefault(connection.node.number, []).append(connection)

    def record_send(self, client_try: ClientTry, node: SimulatedNode) -> SentAttempt:
        """An attempt's first byte goes out."""
        told = self.subscription.drain_known_since.get(node.number)
        return self.monitor.record_send(
            client_try, self.kernel.time, node.number, node.uid, node.zone, node.cell, told
        )

    def record_miss(self, attempt: UpstreamAttempt, node: SimulatedNode, result: Result) -> None:
        """Keep in mind where a read missed: what the origin answers is stored there."""
        payload = attempt.request.payload
        assert isinstance(payload, RequestPayload)
        if result is Result.MISS:
            payload.missed_at.append(node)
        elif result is Result.OK and node.kind == ORIGIN_KIND:
            for where in payload.missed_at:
                store = getattr(where, "memory", None)
                if store is not None and where.machine.up:
                    store.put(payload.request.key, payload.request.size, self.kernel.time)

    def on_node_connections_lost(self, node: SimulatedNode) -> None:
        """A node's process has gone, and with it all connections to it."""
        for exchange in [one for one in self.exchanges.values() if one.node is node]:
            exchange.on_connection_reset()
        if self.can_reach(node):
            for link in self._idle.get(node.number, ()):
                self.kernel.call_after(self.latency_to(node), link.close)

    # -------------------------------------------------------------------------------------- the sender side

    def accept(
        self, request: ScheduledRequest, payload: RequestPayload, deadline: float, write: bool, retry: bool
    ) -> RequestContext:
        """A client's try comes."""
        envelope = RequestContext(
            class_index=request.klass,
            deadline=deadline,
            key=request.key,
            tenant_index=request.tenant,
            is_write=write,
            is_retry=retry,
            cost_hint=request.cost_hint,
            payload=payload,
        )
        self._unread_requests[envelope] = payload
        self.spend_cpu(self.config.request_us, lambda: self._start_request(envelope))
        return envelope

    def _start_request(self, request: RequestContext) -> None:
        if not self._unread_requests.pop(request).client_try.client_gone:
            self.engine.accept(request, self)

    def send_response(self, request: RequestContext, response: object) -> None:
        """A next hop's answer goes to the client."""
        self._finish_request(request, "served", 0.0)

    def start_response_stream(self, request: RequestContext, response: object) -> None:
        """Answers come whole here."""
        raise NotImplementedError

    def send_refusal(self, request: RequestContext, retry_after_ms: float) -> None:
        """The client is turned away."""
        self._finish_request(request, "refused", retry_after_ms)

    def send_failure(self, request: RequestContext, timed_out: bool) -> None:
        """The client is told of a failure."""
        self._finish_request(request, "failed", 0.0)

    def send_internal_error(self, request: RequestContext) -> None:
        """A fault of the program."""
        self._finish_request(request, "failed", 0.0)

    def _finish_request(self, request: RequestContext, outcome: str, retry_after_ms: float) -> None:
        payload = request.payload
        assert isinstance(payload, RequestPayload)
        if not self.alive:
            return
        self.monitor.record_answer(payload.client_try, self.kernel.time, outcome == "refused", self.name)
        payload.on_ended(outcome, retry_after_ms)

    # -------------------------------------------------------------------------------------------- its end

    def kill(self) -> list[RequestPayload]:
        """The process is gone, with all that it had in hand: its clients see their connections break."""
        self.alive = False
        held = list(self._unread_requests.values())
        for envelope in list(self.engine.requests.values()):
            if not envelope.is_finished and isinstance(envelope.payload, RequestPayload):
                envelope.payload.client_try.client_gone = True
                held.append(envelope.payload)
        for attempt in list(self.exchanges):
            self.cancel_attempt(attempt)
        for links in self._idle.values():
            for link in links:
                link.close()
        self._idle.clear()
        self.discovery.unsubscribe(self.subscription)
        return held
