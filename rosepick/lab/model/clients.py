"""Simulated clients, which send each request when it is due, whatever the fleet's state, and may retry."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ...core.request_context import RequestContext
from ..experiment import Experiment
from ..experiment_config import RequestClassConfig
from ..measure import Measure, MeasuredRequest
from .client_behaviour import (
    CLIENT_OUTCOME_BY_TRY_OUTCOME,
    ClientOutcome,
    TryOutcome,
    final_outcome,
    retry_pause_ms,
)
from .kernel import Kernel
from .random_streams import UniformStream
from .request_payload import RequestPayload
from .router_settings import router_settings_for
from .rule_monitor import ClientTry
from .simulated_router import SimulatedRouter, payload_of
from .workload import ScheduledRequest

RECONNECT_DELAY_MS = 50.0  # delay until a client whose router is down connects again


@dataclass(slots=True)
class ClientRequest:
    """A client's request and the state of its tries."""

    request: ScheduledRequest
    request_class: RequestClassConfig
    tenant: str  # empty if the experiment has no tenants
    tries: int = 0  # started so far
    finished: bool = False
    router_request: RequestContext | None = None  # of the last try
    router: SimulatedRouter | None = None
    last_outcome: TryOutcome = TryOutcome.FAILED

    @property
    def deadline(self) -> float:
        """The time at which the client stops trying, in milliseconds."""
        return self.request.due_ms + 1000.0 * self.request_class.deadline


class Clients:
    """All clients of a run. Each client sends to one router only."""

    def __init__(
        self,
        kernel: Kernel,
        experiment: Experiment,
        seed: int,
        measure: Measure,
        find_router: Callable[[int], SimulatedRouter | None],
    ) -> None:
        """Create the clients of an experiment.

        `find_router` returns the router of an index, or None while that router is down.
        """
        self.kernel = kernel
        self.experiment = experiment
        self.measure = measure
        self.find_router = find_router
        self.router_classes = router_settings_for(experiment).classes
        self._pause_stream = UniformStream(seed, "pauses")

    def on_request_due(self, request: ScheduledRequest) -> None:
        """Send a request that is due."""
        request_class = self.experiment.classes[request.klass]
        tenants = self.experiment.tenants
        tenant = tenants[request.tenant].name if tenants else ""
        client_request = ClientRequest(request, request_class, tenant)
        self.measure.record_offered(
            MeasuredRequest(request.due_ms, request_class.name, tenant, request_class.worth)
        )
        if request.abandon_after_ms < math.inf:
            abandon_at = request.due_ms + request.abandon_after_ms
            self.kernel.call_at(abandon_at, lambda: self._abandon(client_request))
        self._send_try(client_request)

    def _send_try(self, client_request: ClientRequest) -> None:
        if client_request.finished:
            return
        now = self.kernel.time
        remaining_ms = client_request.deadline - now
        if remaining_ms <= 0:
            self._finish(client_request, CLIENT_OUTCOME_BY_TRY_OUTCOME[client_request.last_outcome])
            return
        request = client_request.request
        router = self.find_router(request.router)
        if router is None:
            self.kernel.call_after(RECONNECT_DELAY_MS, lambda: self._send_try(client_request))
            return
        client_request.tries += 1
        client_try = ClientTry(
            name=f"{request.number}.{client_request.tries}",
            request_class=self.router_classes[request.klass],
            deadline=now + remaining_ms,
        )
        payload = RequestPayload(
            request,
            client_try,
            lambda outcome, retry_after_ms: self._on_try_ended(client_request, outcome, retry_after_ms),
        )
        is_retry = client_request.tries > 1 and self.experiment.clients.marked
        client_request.router = router
        client_request.router_request = router.accept(payload, client_request.request_class.write, is_retry)

    def _on_try_ended(
        self, client_request: ClientRequest, outcome: TryOutcome, retry_after_ms: float
    ) -> None:
        if client_request.finished:
            return
        client_request.last_outcome = outcome
        final = final_outcome(
            self.experiment.clients,
            client_request.request_class,
            client_request.tries,
            outcome,
            self.kernel.time - client_request.request.due_ms,
        )
        if final is not None:
            self._finish(client_request, final)
            return
        # drawn even if unused, so that later draws do not depend on the clients' `manner`
        draw = self._pause_stream()
        pause_ms = retry_pause_ms(self.experiment.clients, retry_after_ms, self.kernel.time, draw)
        self.kernel.call_after(pause_ms, lambda: self._send_try(client_request))

    def on_router_killed(self, payload: RequestPayload) -> None:
        """End a try as failed, because its router was killed and the client's connection was lost."""
        payload.on_ended(TryOutcome.FAILED, 0.0)

    def _abandon(self, client_request: ClientRequest) -> None:
        """Disconnect a client that abandons its request before the deadline."""
        if client_request.finished:
            return
        context = client_request.router_request
        router = client_request.router
        if context is not None and router is not None and router.alive and not context.is_finished:
            payload_of(context).client_try.client_gone = True
            if context.ref:  # 0 if the router has not read the request: it never will
                router.engine.handle_disconnect(context)
        self._finish(client_request, ClientOutcome.LEFT)

    def _finish(self, client_request: ClientRequest, outcome: ClientOutcome) -> None:
        client_request.finished = True
        client_request.router_request = None
        request = client_request.request
        measured = MeasuredRequest(
            request.due_ms,
            client_request.request_class.name,
            client_request.tenant,
            client_request.request_class.worth,
        )
        self.measure.record_ended(measured, outcome.value, self.kernel.time - request.due_ms)
