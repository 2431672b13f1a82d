"""The endpoint list of a baseline policy, and its subscription to discovery."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from ...decisions import api
from ...decisions.api import Mode, Status, UpdateScope
from .timers import DISCOVERY_TIMER

# Delay after the first failed subscription; it doubles with each further failure. Each delay is multiplied by
# a random factor from 0.5 to 1.5.
MIN_DISCOVERY_RETRY_MS = 700.0
MAX_DISCOVERY_RETRY_MS = 6_000.0  # longest delay, before the random factor


@dataclass(slots=True, eq=False)
class PolicyNode:
    """An endpoint of the list, with the number of this router's attempts in flight at it."""

    member: api.Endpoint
    in_flight: int = 0
    listed: bool = True

    @property
    def endpoint_id(self) -> int:
        """The endpoint's number."""
        return self.member.endpoint_id

    @property
    def ready(self) -> bool:
        """Whether attempts may be sent to the node."""
        return self.listed and self.member.status is Status.READY


class Membership:
    """The endpoint list, and the subscription that updates it. Times are milliseconds."""

    def __init__(self, settings: api.RouterSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.nodes: dict[int, PolicyNode] = {}
        self.caches: Sequence[PolicyNode] = ()  # ready cache nodes, by number
        self.origins: Sequence[PolicyNode] = ()  # ready origins, by number
        self.version = 0  # number of changes of the list
        self.is_subscribed = not settings.subscribe
        self.next_subscribe_at = -inf
        self.retry_delay_ms = MIN_DISCOVERY_RETRY_MS

    def apply(self, now: float, event: api.EndpointUpdate) -> list[api.Action]:
        """Apply an update from discovery, and return the resulting actions."""
        if event.scope is UpdateScope.FAILED:
            return self._on_failure(now)
        if event.scope is not UpdateScope.CACHED:
            self.is_subscribed = True
            self.retry_delay_ms = MIN_DISCOVERY_RETRY_MS
        if event.scope is not UpdateScope.DELTA:
            for node in self.nodes.values():
                node.listed = False
        for member in event.endpoints:
            node = self.nodes.setdefault(member.endpoint_id, PolicyNode(member))
            node.member = member
            node.listed = True
        self._rebuild_lists()
        return []

    def subscribe(self, now: float) -> list[api.Action]:
        """Subscribe, unless already subscribed or too early; a timer repeats it if there is no answer."""
        if self.is_subscribed or now < self.next_subscribe_at:
            return []
        self.next_subscribe_at = now + self.settings.rules.ask_every
        return [api.Watch(True), api.SetTimer(DISCOVERY_TIMER, self.next_subscribe_at)]

    def is_origin(self, node: PolicyNode) -> bool:
        """Return whether a node is an origin; routers have origins in cache-aside mode only."""
        return self.settings.mode is Mode.ASIDE and node.member.kind == self.settings.origin_kind

    def _on_failure(self, now: float) -> list[api.Action]:
        """Keep the list and schedule the next subscription, with exponential backoff and jitter."""
        if not self.settings.subscribe:
            return []
        self.is_subscribed = False
        self.next_subscribe_at = now + self.retry_delay_ms * (0.5 + self.rng.random())
        self.retry_delay_ms = min(MAX_DISCOVERY_RETRY_MS, 2.0 * self.retry_delay_ms)
        return [api.SetTimer(DISCOVERY_TIMER, self.next_subscribe_at)]

    def _rebuild_lists(self) -> None:
        # a removed node is kept while it has attempts in flight: the count is needed if it returns
        self.nodes = {
            number: node
            for number, node in sorted(self.nodes.items())
            if node.in_flight or (node.listed and node.member.status is not Status.REMOVED)
        }
        ready = [node for node in self.nodes.values() if node.ready]
        self.caches = tuple(node for node in ready if not self.is_origin(node))
        self.origins = tuple(node for node in ready if self.is_origin(node))
        self.version += 1
