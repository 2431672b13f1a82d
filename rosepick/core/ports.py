"""The interfaces that the engine decides by, sends through, learns endpoints from and is observed by."""

from __future__ import annotations

from typing import Protocol

from ..decisions import api
from .request_context import RequestContext, UpstreamAttempt
from .request_counters import RequestOutcome


class DecisionModule(Protocol):
    """What decides: the module, or another policy with the same interface."""

    actions: list[api.Action]  # of the current call, also if it raised an exception

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Return the actions that an event calls for; `now` is in milliseconds."""


class UpstreamPort(Protocol):
    """What carries attempts out. It reports the end of each one once, by `Engine.finish_attempt`."""

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt."""

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """Stop an attempt, without a report of its end."""


class EndpointSource(Protocol):
    """Where the endpoint list comes from."""

    def set_watching(self, enabled: bool) -> None:
        """Follow changes of the list from now on, or no longer."""


class EngineObserver(Protocol):
    """Receives all that the module is fed and decides, in order. It changes nothing."""

    def on_request(self, now: float, request: RequestContext, actions: list[api.Action]) -> None:
        """Record that the module was fed a request and returned these actions."""

    def on_event(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """Record that the module was fed another event and returned these actions."""

    def on_outcome(self, now: float, request: RequestContext, outcome: RequestOutcome) -> None:
        """Record the outcome of a request."""
