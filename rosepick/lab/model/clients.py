"""Clients: each asks when its request is due, whatever else goes on, and comes back in its own manner."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ...core.request_context import RequestContext
from ...decisions import api
from ..experiment import Experiment
from ..measure import Measure
from .client_behaviour import final_outcome, retry_pause_ms
from .kernel import Kernel
from .random_streams import UniformStream
from .rule_monitor import ClientTry
from .simulated_router import RequestPayload, SimulatedRouter
from .workload import ScheduledRequest

RECONNECT_DELAY_MS = 50.0  # milliseconds until a client whose router is down tries again


@dataclass(slots=True)
class ClientRequest:
    """A client's request with all its tries."""

    request: ScheduledRequest
    attempts_made: int = 0
    finished: bool = False
    router_request: RequestContext | None = None
    router: SimulatedRouter | None = None
    last_outcome: str = "failed"


class Clients:
    """All clients of a run. Each has a router of its own and asks no other."""

    def __init__(
        self,
        kernel: Kernel,
        experiment: Experiment,
        seed: int,
        measure: Measure,
        settings: api.RouterSettings,
        find_router: Callable[[int], SimulatedRouter | None],
    ) -> None:
        self.kernel, self.experiment, self.measure, self.settings = kernel, experiment, measure, settings
        self.find_router = find_router
        self._pause_stream = UniformStream(seed, "pauses")
        self._names = [one.name for one in experiment.classes]
        self._tenants = [one.name for one in experiment.tenants]

    def on_request_due(self, request: ScheduledRequest) -> None:
        """A request is due."""
        one = self.experiment.classes[request.klass]
        self.measure.record_offered(request.due_ms, one.name, self._tenant_name(request), one.worth)
        wish = ClientRequest(request)
        if request.abandon_after_ms < math.inf:
            self.kernel.call_at(request.due_ms + request.abandon_after_ms, lambda: self._abandon(wish))
        self._send_try(wish)

    def _tenant_name(self, request: ScheduledRequest) -> str:
        return self._tenants[request.tenant] if self._tenants else ""

    def _send_try(self, client_request: ClientRequest) -> None:
        if client_request.finished:
            return
        request, now = client_request.request, self.kernel.time
        one = self.experiment.classes[request.klass]
        left = request.due_ms + 1000.0 * one.deadline - now
        if left <= 0:
            self._finish(client_request, client_request.last_outcome)
            return
        router = self.find_router(request.router)
        if router is None:  # nobody listens there
            self.kernel.call_after(RECONNECT_DELAY_MS, lambda: self._send_try(client_request))
            return
        client_request.attempts_made += 1
        tried = ClientTry(
            f"{request.number}.{client_request.attempts_made}",
            self.settings.classes[request.klass],
            now + left,
        )
        payload = RequestPayload(
            request, tried, lambda how, wait: self._on_try_ended(client_request, how, wait)
        )
        again = client_request.attempts_made > 1 and self.experiment.clients.marked
        client_request.router = router
        client_request.router_request = router.accept(request, payload, now + left, one.write, again)

    def _on_try_ended(self, client_request: ClientRequest, outcome: str, retry_after_ms: float) -> None:
        """A try has its final answer."""
        if client_request.finished:
            return
        request = client_request.request
        one = self.experiment.classes[request.klass]
        client_request.last_outcome = outcome
        took = self.kernel.time - request.due_ms
        end = final_outcome(self.experiment.clients, one, client_request.attempts_made, outcome, took)
        if end is not None:
            self._finish(client_request, end)
            return
        # drawn each time, whatever the manner: what follows is then the same for all of them
        retry_after_ms = retry_pause_ms(
            self.experiment.clients, retry_after_ms, self.kernel.time, self._pause_stream()
        )
        self.kernel.call_after(retry_after_ms, lambda: self._send_try(client_request))

    def on_router_killed(self, payload: RequestPayload) -> None:
        """The router of a try was killed: its client sees the connection break."""
        payload.on_ended("failed", 0.0)

    def _abandon(self, client_request: ClientRequest) -> None:
        """The client leaves before its time is up."""
        if client_request.finished:
            return
        envelope, router = client_request.router_request, client_request.router
        if envelope is not None and router is not None and router.alive and not envelope.is_finished:
            assert isinstance(envelope.payload, RequestPayload)
            envelope.payload.client_try.client_gone = True
            if envelope.ref:  # else the router has not taken it yet, and never will
                router.engine.handle_disconnect(envelope)
        self._finish(client_request, "left")

    def _finish(self, client_request: ClientRequest, outcome: str) -> None:
        client_request.finished = True
        client_request.router_request = None
        request = client_request.request
        one = self.experiment.classes[request.klass]
        self.measure.record_ended(
            request.due_ms,
            one.name,
            self._tenant_name(request),
            one.worth,
            outcome,
            self.kernel.time - request.due_ms,
        )
