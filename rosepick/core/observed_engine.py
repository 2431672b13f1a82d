"""An engine that passes the decision module's events and actions to an observer."""

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

logger = logging.getLogger("rosepick.core.engine")  # log lines keep the engine's logger name


class ObservedEngine(Engine):
    """The engine, with an observer of all events, actions and outcomes.

    Args:
        settings: the router's settings.
        seed: the seed of the decision module's random draws.
        clock: the clock and its timers.
        observer: the observer that is called with them.
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
        """Call the observer; its faults must not keep a request from its answer."""
        try:
            notify(*args)
        except Exception as error:
            self.counts["faults"] += 1
            log_exception(logger, "observer_fault", error, count=self.counts["faults"])
