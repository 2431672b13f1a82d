"""The interfaces of the engine's decision module, upstream, endpoint source and observer."""

from __future__ import annotations

from typing import Protocol

from ..decisions import api
from .request_context import RequestContext, UpstreamAttempt
from .request_counters import RequestOutcome


class DecisionModule(Protocol):
    """Makes the decisions: `Router`, or another policy with the same interface."""

    actions: list[api.Action]  # actions decided in the current `handle` call, also if it raised an exception

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Return the actions that an event calls for; `now` is in milliseconds."""


class UpstreamPort(Protocol):
    """Executes attempts. It reports the end of each attempt once, through `Engine.finish_attempt`."""

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt."""

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """Cancel an attempt, without a report of its end."""

    def is_receiving(self, attempt: UpstreamAttempt) -> bool:
        """Return whether a response that may be a long one has arrived in part."""

    def stream_response(self, attempt: UpstreamAttempt) -> bool:
        """Begin to forward a response that has arrived in part, if it may be a long one.

        Returns:
            Whether the attempt goes on as a stream or has ended by itself; False leaves it unchanged.
        """


class EndpointSource(Protocol):
    """Supplies the endpoint list."""

    def set_watching(self, enabled: bool) -> None:
        """Start or stop following changes of the list."""


class EngineObserver(Protocol):
    """Receives all events and decisions of the module in order, without changing them."""

    def on_request(self, now: float, request: RequestContext, actions: list[api.Action]) -> None:
        """Record that the module was given a request and returned these actions."""

    def on_event(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """Record that the module was given another event and returned these actions."""

    def on_outcome(self, now: float, request: RequestContext, outcome: RequestOutcome) -> None:
        """Record the outcome of a request."""
