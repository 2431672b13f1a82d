"""An engine that shows an observer what goes into the decision module and what comes out."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..decisions import api
from ..logs import log_exception
from .clock import Clock
from .engine import Engine
from .ports import EngineObserver
from .request_context import RequestContext
from .request_counters import RequestOutcome

logger = logging.getLogger("rosepick.core.engine")  # its log lines are the engine's


class ObservedEngine(Engine):
    """The engine, with an observer of all events, actions and outcomes.

    Args:
        settings: the router's settings.
        seed: the seed of the decision module's random draws.
        clock: the clock and its timers.
        observer: what is shown them.
    """

    def __init__(
        self, settings: api.RouterSettings, seed: int, clock: Clock, observer: EngineObserver
    ) -> None:
        super().__init__(settings, seed, clock)
        self.observer = observer

    def _handle(self, now: float, event: api.Event) -> list[api.Action]:
        try:
            return self.router.handle(now, event)
        finally:
            actions = self.router.actions
            if isinstance(event, api.RequestArrived):
                self._notify_observer(self.observer.on_request, now, self.requests[event.ref], actions)
            else:
                self._notify_observer(self.observer.on_event, now, event, actions)

    def _observe_outcome(self, request: RequestContext, outcome: RequestOutcome) -> None:
        self._notify_observer(self.observer.on_outcome, self.clock.now(), request, outcome)

    def _notify_observer(self, notify: Callable[..., None], *args: object) -> None:
        """Call the observer; a fault of it must not keep a request from its answer."""
        try:
            notify(*args)
        except Exception as error:
            self.counts["faults"] += 1
            log_exception(logger, "observer_fault", error, count=self.counts["faults"])
