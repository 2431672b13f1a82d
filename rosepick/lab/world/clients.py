"""Clients: each asks when its request is due, whatever else goes on, and comes back in its own manner."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ...core.engine import Envelope
from ...decisions import api
from ..experiment import Experiment
from ..measure import Measure
from .draws import Uniform
from .kernel import Kernel
from .manners import end_of, pause
from .ports import Payload, Router
from .requests import Request
from .rules import Try

RECONNECT = 50.0  # milliseconds until a client whose router is down tries again


@dataclass(slots=True)
class Wish:
    """A client's request with all its tries."""

    request: Request
    tries: int = 0
    over: bool = False
    envelope: Envelope | None = None
    router: Router | None = None
    last: str = "failed"


class Clients:
    """All clients of a run. Each has a router of its own and asks no other."""

    def __init__(
        self,
        kernel: Kernel,
        experiment: Experiment,
        seed: int,
        measure: Measure,
        settings: api.Settings,
        router: Callable[[int], Router | None],
    ) -> None:
        self.kernel, self.experiment, self.measure, self.settings = kernel, experiment, measure, settings
        self.router = router
        self._pauses = Uniform(seed, "pauses")
        self._names = [one.name for one in experiment.classes]
        self._tenants = [one.name for one in experiment.tenants]

    def come(self, request: Request) -> None:
        """A request is due."""
        one = self.experiment.classes[request.klass]
        self.measure.offered(request.due, one.name, self._tenant(request), one.worth)
        wish = Wish(request)
        if request.leaves < math.inf:
            self.kernel.at(request.due + request.leaves, lambda: self._leave(wish))
        self._try(wish)

    def _tenant(self, request: Request) -> str:
        return self._tenants[request.tenant] if self._tenants else ""

    def _try(self, wish: Wish) -> None:
        if wish.over:
            return
        request, now = wish.request, self.kernel.time
        one = self.experiment.classes[request.klass]
        left = request.due + 1000.0 * one.deadline - now
        if left <= 0:
            self._end(wish, wish.last)
            return
        router = self.router(request.router)
        if router is None:  # nobody listens there
            self.kernel.after(RECONNECT, lambda: self._try(wish))
            return
        wish.tries += 1
        tried = Try(f"{request.number}.{wish.tries}", self.settings.classes[request.klass], now + left)
        payload = Payload(request, tried, lambda how, wait: self._ended(wish, how, wait))
        again = wish.tries > 1 and self.experiment.clients.marked
        wish.router = router
        wish.envelope = router.accept(request, payload, now + left, one.write, again)

    def _ended(self, wish: Wish, how: str, wait: float) -> None:
        """A try has its final answer."""
        if wish.over:
            return
        request = wish.request
        one = self.experiment.classes[request.klass]
        wish.last = how
        took = self.kernel.time - request.due
        end = end_of(self.experiment.clients, one, wish.tries, how, took)
        if end is not None:
            self._end(wish, end)
            return
        # drawn each time, whatever the manner: what follows is then the same for all of them
        wait = pause(self.experiment.clients, wait, self.kernel.time, self._pauses())
        self.kernel.after(wait, lambda: self._try(wish))

    def lost(self, payload: Payload) -> None:
        """The router of a try was killed: its client sees the connection break."""
        payload.ended("failed", 0.0)

    def _leave(self, wish: Wish) -> None:
        """The client leaves before its time is up."""
        if wish.over:
            return
        envelope, router = wish.envelope, wish.router
        if envelope is not None and router is not None and router.alive and not envelope.over:
            assert isinstance(envelope.payload, Payload)
            envelope.payload.tried.gone = True
            if envelope.ref:  # else the router has not taken it yet, and never will
                router.engine.sender_gone(envelope)
        self._end(wish, "left")

    def _end(self, wish: Wish, how: str) -> None:
        wish.over = True
        wish.envelope = None
        request = wish.request
        one = self.experiment.classes[request.klass]
        self.measure.ended(
            request.due, one.name, self._tenant(request), one.worth, how, self.kernel.time - request.due
        )
