"""What a request carries through a simulated router's engine."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .client_behaviour import TryOutcome
from .nodes import SimulatedCacheNode
from .rule_monitor import ClientTry
from .workload import ScheduledRequest


@dataclass(slots=True)
class RequestPayload:
    """The model's side of one `RequestContext`."""

    request: ScheduledRequest
    client_try: ClientTry
    on_ended: Callable[[TryOutcome, float], None]  # called with the outcome and Retry-After in milliseconds
    missed_at: list[SimulatedCacheNode] = field(default_factory=list)  # nodes where a read missed
