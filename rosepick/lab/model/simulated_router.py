"""A simulated router: the real `Engine` and decisions, with ports that send attempts to simulated nodes.

Connecting, sending and ending an attempt are separate steps, as on sockets. A new connection takes a round
trip and work at the node. The request and its reply take a one-way latency each. Cancelling an attempt closes
its connection, which the node notices after a latency.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...core.engine import Engine
from ...core.ports import DecisionModule
from ...core.request_context import RequestContext, UpstreamAttempt
from ...decisions import api
from ...decisions.api import Result
from ..experiment_config import RoutersConfig
from .client_behaviour import TryOutcome
from .discovery import DiscoverySubscriber, SimulatedDiscovery
from .kernel import Kernel
from .network import SimulatedNetwork
from .nodes import CACHE_HIT, ORIGIN_KIND, ConnectOutcome, NodeRequest, SimulatedCacheNode, SimulatedNode
from .request_payload import RequestPayload
from .rule_monitor import ClientTry, RuleMonitor, SentAttempt
from .upstream_connections import IdleConnections, SimulatedConnection

CONNECT_TIMEOUT_MS = 250.0  # time after which opening a connection fails
IDLE_CHECK_INTERVAL_MS = 250.0  # interval between checks for idle connections to close
REJECTION_LATENCIES = 3.0  # one-way latencies from the accept of a connection without a slot to its rejection


def payload_of(request: RequestContext) -> RequestPayload:
    """Return the payload that the model attached to a request."""
    payload = request.payload
    assert isinstance(payload, RequestPayload)
    return payload


class SimulatedExchange:
    """The exchange of one attempt with a node: connection, request and reply."""

    __slots__ = ("attempt", "connection", "node", "node_request", "router", "sent_attempt")

    def __init__(self, router: SimulatedRouter, attempt: UpstreamAttempt, node: SimulatedNode) -> None:
        self.router = router
        self.attempt = attempt
        self.node = node
        self.connection: SimulatedConnection | None = None
        self.node_request: NodeRequest | None = None
        self.sent_attempt: SentAttempt | None = None

    def connect(self) -> None:
        """Open a connection; the request is sent once it is open."""
        router = self.router
        node = self.node
        now = router.kernel.time
        router.kernel.call_at(now + CONNECT_TIMEOUT_MS, self._on_connect_timeout)
        if router.can_reach(node):
            router.kernel.call_at(now + router.latency_to(node), self._on_connect)

    def _on_connect(self) -> None:
        if not self._is_active() or not self.router.can_reach(self.node):
            return
        router = self.router
        outcome = self.node.connect()
        latency = router.latency_to(self.node)
        if outcome is ConnectOutcome.ACCEPTED:
            router.idle_connections.keep_alive_controllers[self.node.kind].record_accepted()
            self.connection = SimulatedConnection(self.node, router.kernel.time)
            router.kernel.call_after(latency, self.send_request)
        elif outcome is ConnectOutcome.NO_SLOT:
            router.kernel.call_after(REJECTION_LATENCIES * latency, self._on_no_slot)
        else:
            router.kernel.call_after(latency, lambda: self._on_ended(Result.CONNECT_FAILED, 0))

    def _on_no_slot(self) -> None:
        if self._is_active():
            controller = self.router.idle_connections.keep_alive_controllers[self.node.kind]
            controller.record_rejected()
            self._on_ended(Result.CONNECTION_LIMIT, 0)

    def _on_connect_timeout(self) -> None:
        if self._is_active() and self.node_request is None:
            self._on_ended(Result.CONNECT_FAILED, 0)

    def _is_active(self) -> bool:
        return self.router.exchanges.get(self.attempt) is self

    def send_request(self) -> None:
        """Send the request on the open connection."""
        if not self._is_active():
            return
        router = self.router
        payload = payload_of(self.attempt.request)
        request = payload.request
        self.sent_attempt = router.record_send(payload.client_try, self.node)
        self.node_request = NodeRequest(
            payload.client_try.name,
            request.key,
            self.attempt.request.is_write,
            request.work_ms,
            request.origin_work_ms,
            request.size,
            self._on_reply,
        )
        if router.can_reach(self.node):
            router.kernel.call_after(router.latency_to(self.node), self._on_request_arrived)

    def _on_request_arrived(self) -> None:
        node_request = self.node_request
        assert node_request is not None
        if node_request.finished or not self.router.can_reach(self.node):
            return
        if not self._is_connection_good():
            self.router.kernel.call_after(
                self.router.latency_to(self.node), lambda: self._on_ended(Result.RESET, 0)
            )
            return
        self.node.on_request(node_request)

    def _is_connection_good(self) -> bool:
        connection = self.connection
        if connection is None or not connection.open:
            return False
        return connection.epoch == self.node.epoch and self.node.machine.up

    def _on_reply(self, result: Result, cache_status: int) -> None:
        router = self.router
        if not router.can_reach(self.node):
            return
        if router.network.draw_break():
            result = Result.RESET
        router.kernel.call_after(router.latency_to(self.node), lambda: self._on_ended(result, cache_status))

    def _on_ended(self, result: Result, cache_status: int) -> None:
        """Queue the result of an attempt, which has reached the router, for its processor."""
        if self._is_active():
            self.router.spend_cpu(
                self.router.config.attempt_us, lambda: self._process_result(result, cache_status)
            )

    def _process_result(self, result: Result, cache_status: int) -> None:
        if not self._is_active():
            return
        router = self.router
        del router.exchanges[self.attempt]
        if self.connection is not None:
            if result in (Result.RESET, Result.CONNECT_FAILED):
                self.connection.close()
            else:
                router.idle_connections.add(self.connection)
        self._record_outcome(result)
        if cache_status != 0:
            router.count_event("hits" if cache_status == CACHE_HIT else "misses")
        router.store_fetched_value(self.attempt, self.node, result)
        router.engine.finish_attempt(self.attempt, result, cache_status, response=self.node)

    def on_connection_reset(self) -> None:
        """End the attempt, because the node's process ended and its connections were reset."""
        router = self.router
        result = Result.RESET if self.node_request is not None else Result.CONNECT_FAILED
        if self.node_request is not None:
            self.node_request.finished = True
        if not router.can_reach(self.node):
            return
        router.kernel.call_after(router.latency_to(self.node), lambda: self._on_ended(result, 0))

    def cancel(self) -> None:
        """Close the attempt's connection, which the node notices after a latency."""
        self._record_outcome(Result.CANCELLED)
        node_request = self.node_request
        node = self.node
        router = self.router
        if node_request is not None:
            router.kernel.call_after(router.latency_to(node), lambda: node.on_cancelled(node_request))
        if self.connection is not None:
            self.connection.close()

    def _record_outcome(self, result: Result) -> None:
        if self.sent_attempt is not None:
            self.router.monitor.record_outcome(self.sent_attempt, result)


@dataclass(frozen=True, slots=True)
class RouterEnvironment:
    """The parts of a simulation that all routers share."""

    kernel: Kernel
    network: SimulatedNetwork
    nodes: dict[int, SimulatedNode]  # by node number
    discovery: SimulatedDiscovery
    monitor: RuleMonitor
    config: RoutersConfig
    count_event: Callable[[str], None]


class SimulatedRouter:
    """A router; it is the downstream port, upstream port and endpoint source of its engine."""

    def __init__(
        self,
        environment: RouterEnvironment,
        settings: api.RouterSettings,
        seed: int,
        decider: DecisionModule | None,
    ) -> None:
        """Start a router; it uses the real decisions if `decider` is None."""
        self.name = f"router-{settings.position}"
        self.zone = settings.zone
        self.kernel = environment.kernel
        self.network = environment.network
        self.nodes = environment.nodes
        self.monitor = environment.monitor
        self.discovery = environment.discovery
        self.config = environment.config
        self.count_event = environment.count_event
        self.alive = True
        self.exchanges: dict[UpstreamAttempt, SimulatedExchange] = {}
        self.idle_connections = IdleConnections(self.kernel, settings.routers)
        self._unread_requests: dict[RequestContext, RequestPayload] = {}  # accepted, but not processed yet
        self._busy_until = 0.0  # when the processor has done all work so far
        self.kernel.call_after(IDLE_CHECK_INTERVAL_MS, self._close_idle_connections)
        self.engine = Engine(settings, seed, self.kernel, decider)
        self.engine.upstream = self
        self.engine.endpoint_source = self
        self.subscription: DiscoverySubscriber = self.discovery.subscribe(self._on_members, self.zone)
        self.engine.update_endpoints(self.discovery.initial_members(self.subscription))

    def latency_to(self, node: SimulatedNode) -> float:
        """Draw the latency of one message to or from a node, in milliseconds."""
        return self.network.latency(self.zone, node.zone)

    def can_reach(self, node: SimulatedNode) -> bool:
        """Return whether messages to and from a node pass at present."""
        return not node.silent and self.network.is_connected(self.zone, node.zone)

    def _on_members(self, event: api.EndpointUpdate) -> None:
        if self.alive:
            self.engine.update_endpoints(event)

    def set_watching(self, enabled: bool) -> None:
        """Subscribe to discovery, or unsubscribe."""
        self.discovery.set_subscribed(self.subscription, enabled)

    # ------------------------------------------------------------------------------------------- upstream

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt, on an idle connection if there is one."""
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
        connection = self.idle_connections.take(node)
        if connection is None:
            exchange.connect()
        else:
            exchange.connection = connection
            exchange.send_request()

    def is_receiving(self, _attempt: UpstreamAttempt) -> bool:
        """Return False: responses of the model arrive whole."""
        return False

    def stream_response(self, _attempt: UpstreamAttempt) -> bool:
        """Return False: responses of the model arrive whole."""
        return False

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """Cancel an attempt, if it has not ended."""
        exchange = self.exchanges.pop(attempt, None)
        if exchange is not None:
            exchange.cancel()

    def spend_cpu(self, cost_us: float, callback: Callable[[], None]) -> None:
        """Queue `cost_us` microseconds of processor time, and call back when they are spent."""
        now = self.kernel.time
        if not cost_us:
            callback()
            return
        self._busy_until = max(self._busy_until, now) + cost_us / 1000.0 / self.config.cores
        self.kernel.call_at(self._busy_until, lambda: callback() if self.alive else None)

    def _close_idle_connections(self) -> None:
        if not self.alive:
            return
        self.kernel.call_after(IDLE_CHECK_INTERVAL_MS, self._close_idle_connections)
        self.idle_connections.close_expired()

    def record_send(self, client_try: ClientTry, node: SimulatedNode) -> SentAttempt:
        """Record that an attempt is sent to a node now."""
        attempt = SentAttempt(
            sent_at=self.kernel.time,
            node=node.number,
            node_name=node.uid,
            zone=node.zone,
            cell=node.cell,
            drain_known_since=self.subscription.drain_known_since.get(node.number),
        )
        self.monitor.record_send(client_try, attempt)
        return attempt

    def store_fetched_value(self, attempt: UpstreamAttempt, node: SimulatedNode, result: Result) -> None:
        """Store a value from the origin at the cache nodes that missed; record a node that missed."""
        payload = payload_of(attempt.request)
        if result is Result.MISS and isinstance(node, SimulatedCacheNode):
            payload.missed_at.append(node)
        elif result is Result.OK and node.kind == ORIGIN_KIND:
            for cache_node in payload.missed_at:
                if cache_node.machine.up:
                    cache_node.memory.put(payload.request.key, payload.request.size, self.kernel.time)

    def on_node_connections_lost(self, node: SimulatedNode) -> None:
        """End all attempts at a node whose process ended, and close the idle connections to it."""
        for exchange in [exchange for exchange in self.exchanges.values() if exchange.node is node]:
            exchange.on_connection_reset()
        if self.can_reach(node):
            for connection in self.idle_connections.of_node(node):
                self.kernel.call_after(self.latency_to(node), connection.close)

    # ----------------------------------------------------------------------------------------- downstream

    def accept(self, payload: RequestPayload, is_write: bool, is_retry: bool) -> RequestContext:
        """Accept a try of a client, and return its request context."""
        scheduled = payload.request
        request = RequestContext(
            class_index=scheduled.klass,
            deadline=payload.client_try.deadline,
            key=scheduled.key,
            tenant_index=scheduled.tenant,
            is_write=is_write,
            is_retry=is_retry,
            cost_hint=scheduled.cost_hint,
            payload=payload,
        )
        self._unread_requests[request] = payload
        self.spend_cpu(self.config.request_us, lambda: self._start_request(request))
        return request

    def _start_request(self, request: RequestContext) -> None:
        if not self._unread_requests.pop(request).client_try.client_gone:
            self.engine.accept(request, self)

    def send_response(self, request: RequestContext, _response: object) -> None:
        """Send an upstream's response to the client."""
        self._finish_request(request, TryOutcome.SERVED, 0.0)

    def start_response_stream(self, request: RequestContext, response: object) -> None:
        """Raise NotImplementedError: the model has no streamed responses."""
        raise NotImplementedError

    def send_refusal(self, request: RequestContext, retry_after_ms: float) -> None:
        """Send a refusal to the client, with Retry-After in milliseconds."""
        self._finish_request(request, TryOutcome.REFUSED, retry_after_ms)

    def send_failure(self, request: RequestContext, _timed_out: bool) -> None:
        """Report a failure to the client."""
        self._finish_request(request, TryOutcome.FAILED, 0.0)

    def send_internal_error(self, request: RequestContext) -> None:
        """Report an internal error of the router to the client."""
        self._finish_request(request, TryOutcome.FAILED, 0.0)

    def _finish_request(self, request: RequestContext, outcome: TryOutcome, retry_after_ms: float) -> None:
        payload = payload_of(request)
        if not self.alive:
            return
        refused = outcome is TryOutcome.REFUSED
        self.monitor.record_answer(payload.client_try, self.kernel.time, refused, self.name)
        payload.on_ended(outcome, retry_after_ms)

    # ---------------------------------------------------------------------------------------- shutdown

    def unfinished_payloads(self) -> list[RequestPayload]:
        """Return the payloads of all requests that the engine has not answered."""
        return [payload_of(request) for request in self.engine.requests.values() if not request.is_finished]

    def kill(self) -> list[RequestPayload]:
        """End the process. Return the payloads of the requests whose clients lose their connection."""
        self.alive = False
        lost = list(self._unread_requests.values())
        for payload in self.unfinished_payloads():
            payload.client_try.client_gone = True
            lost.append(payload)
        for attempt in list(self.exchanges):
            self.cancel_attempt(attempt)
        self.idle_connections.close_all()
        self.discovery.unsubscribe(self.subscription)
        return lost
