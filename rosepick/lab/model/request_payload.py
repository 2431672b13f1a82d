"""The payload that a simulated request carries through a router's engine."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .client_behaviour import TryOutcome
from .nodes import SimulatedCacheNode
from .rule_monitor import ClientTry
from .workload import ScheduledRequest


@dataclass(slots=True)
class RequestPayload:
    """The model's data about one `RequestContext`."""

    request: ScheduledRequest
    client_try: ClientTry
    on_ended: Callable[[TryOutcome, float], None]  # with the outcome, and Retry-After in milliseconds
    missed_at: list[SimulatedCacheNode] = field(default_factory=list)  # cache nodes that replied with a miss
