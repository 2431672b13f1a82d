"""What a router knows of each endpoint: its status, health, load and warm-up, from its own observations.

Times are milliseconds.
"""

from __future__ import annotations

import random
from math import exp

from . import api
from .api import Status, UpdateScope
from .discovery_calls import DiscoveryCalls
from .hashing import hash64

EWMA_WEIGHT = 0.15  # weight of a new latency sample
LATENCY_MEMORY_MS = 3_000.0  # a slow endpoint that gets nothing is assumed to recover over this time
REPORT_WEIGHT = 0.25  # weight of a new load report
REPORT_MEMORY_MS = 3_000.0  # a load report fades over this time
MAX_REPORT_FACTOR = 1.3  # times the latency of recent responses: load reports alone raise it no further
EJECT_AFTER_FAILURES = 3  # consecutive failures with no liveness signal before an endpoint is ejected
PROBE_DELAY_MS = 400.0  # first probe of an ejected endpoint, doubled up to ...
MAX_DEPARTED = 4_096  # endpoints that have left and whose starts are kept, to know them when they return
RESTART_AFTER_MS = 3_000.0  # silent for longer with no subscription: it may have restarted, so it warms up
START_CONCURRENCY = 9.0  # initial in-flight limit of one endpoint, divided among all routers ...
MIN_START_CONCURRENCY = 1.5  # ... at least this each; many routers could fill every queue before a response
MIN_CONCURRENCY = 1.0
CONCURRENCY_CUT_FACTOR = 0.7  # after a response slower than SLOW_SHARE of its objective; good ones raise it


class EndpointState:
    """Health, load and warm-up of one endpoint, from this router's own observations."""

    def __init__(self, endpoint: api.Endpoint, now: float, limit: float = START_CONCURRENCY) -> None:
        self.id = endpoint.endpoint_id
        self.endpoint = endpoint
        self.status = endpoint.status
        self.warmup_start = self.warmup_end = float("-inf")
        self.cold_capacity = 1.0
        self.order_key = hash64(endpoint.endpoint_id), endpoint.endpoint_id  # by which pools are divided
        self.in_flight = 0
        self.other_load = 0.0  # requests of other routers, from the last report
        self.latency_ewma = self.load_ewma = 0.0  # 0: never responded; and the load at that time
        self.concurrency_limit = limit
        self.other_load_at = self.latency_at = self.last_cut_at = self.ejected_at = self.probe_at = now
        self.last_response_at = float("-inf")
        self.consecutive_failures = self.probes = 0
        self.ejected = self.probing = False
        self.window_sends = 0  # in the window of `WarmTraffic`

    def load(self, now: float) -> float:
        """Return the requests it holds: this router's, and others' from a fading report."""
        if self.other_load:
            return self.in_flight + self.other_load * exp((self.other_load_at - now) / REPORT_MEMORY_MS)
        return float(self.in_flight)

    def record_load_report(self, now: float, in_flight: float) -> None:
        """Smooth a load report, which is old when it comes: only what lasts over several counts."""
        reported = max(0.0, in_flight - self.in_flight)
        previous = self.other_load * exp((self.other_load_at - now) / REPORT_MEMORY_MS)
        self.other_load = previous + (reported - previous) * REPORT_WEIGHT
        self.other_load_at = now

    def record_latency(self, now: float, sample_ms: float, load: float) -> None:
        """Update the latency and load EWMAs by one response."""
        if not self.latency_ewma:
            self.latency_ewma, self.load_ewma = sample_ms, load
        self.latency_ewma += (sample_ms - self.latency_ewma) * EWMA_WEIGHT
        self.load_ewma += (load - self.load_ewma) * EWMA_WEIGHT
        self.latency_at = now

    def adjust_concurrency_limit(self, now: float, latency_ms: float, is_slow: bool) -> None:
        """Adapt the in-flight limit: all routers back off from queues that none sees by itself."""
        if not is_slow:
            if self.in_flight + 1 >= self.concurrency_limit * 0.5:
                self.concurrency_limit += 1.0 / self.concurrency_limit
        elif now - self.last_cut_at > max(100.0, latency_ms):
            self.concurrency_limit = max(MIN_CONCURRENCY, self.concurrency_limit * CONCURRENCY_CUT_FACTOR)
            self.last_cut_at = now

    def expected_latency(self, now: float, service_time: float) -> float:
        """Return the expected latency, in ms, of an attempt sent now."""
        # a ratio of two means: a mean of ratios would be dominated by responses under little load
        own_ms = self.latency_ewma / (1.0 + self.load_ewma) if self.latency_ewma else service_time
        if own_ms > service_time:
            own_ms = service_time + (own_ms - service_time) * exp((self.latency_at - now) / LATENCY_MEMORY_MS)
        expected_ms = own_ms * (1.0 + self.load(now))
        if not self.in_flight and self.latency_ewma:
            # otherwise routers may refuse by reports of others' load alone, while endpoints idle
            expected_ms = min(expected_ms, MAX_REPORT_FACTOR * own_ms * (1.0 + self.load_ewma))
        return expected_ms / self.min_warm_share(now)

    def min_warm_share(self, now: float) -> float:
        """Return the least share of its capacity that it has now, by the rules' warm-up."""
        if now >= self.warmup_end:
            return 1.0
        progress = max(0.0, (now - self.warmup_start) / max(1e-9, self.warmup_end - self.warmup_start))
        return max(0.05, self.cold_capacity + (1.0 - self.cold_capacity) * progress)

    def start_warmup(self, started_at: float, rules: api.RoutingRules) -> None:
        """Begin a warm-up as of `started_at` (ms)."""
        self.warmup_start = started_at
        self.warmup_end = started_at + rules.warm_within
        self.cold_capacity = rules.cold_from

    def record_silence(self, now: float) -> bool:
        """Count a consecutive failure; return whether it ejects the endpoint."""
        self.consecutive_failures += 1
        is_ejecting = self.consecutive_failures >= EJECT_AFTER_FAILURES and not self.ejected
        if is_ejecting:
            self.ejected = True
            self.ejected_at = now
            self.probes = 0
            self.probe_at = now + PROBE_DELAY_MS
        return is_ejecting

    def record_success(self, now: float, rules: api.RoutingRules, is_subscribed: bool) -> None:
        """Record a liveness signal: an ejected endpoint gets slots again, slowly if it may have restarted."""
        self.last_response_at, self.consecutive_failures = now, 0
        if self.ejected:
            self.ejected = False
            self.latency_ewma = 0.0
            # A subscription reports restarts: after a broken link is back, not all remote endpoints are cold.
            if not is_subscribed and now - self.ejected_at > RESTART_AFTER_MS and self.warmup_end < now:
                self.start_warmup(now, rules)


class EndpointList:
    """The endpoint list from discovery, and the calls that keep it fresh."""

    def __init__(self, settings: api.RouterSettings, rng: random.Random) -> None:
        self.settings = settings
        self.calls = DiscoveryCalls(settings, rng)
        self.states: dict[int, EndpointState] = {}
        self._listed_at: float | None = None  # when the latest list came from discovery ...
        self._previous_list_at: float | None = None  # ... and the one before
        self._removed: dict[int, EndpointState] = {}  # still known, as they have attempts in flight
        self._departed: dict[int, float] = {}  # starts of endpoints that have left, oldest first

    def apply(self, now: float, update: api.EndpointUpdate) -> list[EndpointState]:
        """Apply a list or changes of it, from discovery or the configuration; return what it touches."""
        if update.scope is not UpdateScope.CACHED:
            self.calls.record_list()
        if not update.is_continued:
            self._previous_list_at = self._listed_at
        if update.scope is not UpdateScope.CACHED:
            self._listed_at = now
        rows = [entry for entry in update.endpoints if not self._is_as_it_was(entry)]
        changed = [self._apply_endpoint(now, entry) for entry in rows]
        if update.scope is not UpdateScope.DELTA:
            listed_ids = {entry.endpoint_id for entry in update.endpoints}
            unlisted = [server for server in self.states.values() if server.id not in listed_ids]
            for server in unlisted:
                server.status = Status.REMOVED
            changed += unlisted
        self._forget_removed(changed)
        return changed

    def _is_as_it_was(self, endpoint: api.Endpoint) -> bool:
        server = self.states.get(endpoint.endpoint_id)
        return server is not None and server.endpoint is endpoint and server.status is endpoint.status

    def _forget_removed(self, changed: list[EndpointState]) -> None:
        """Forget removed endpoints without attempts in flight, and remember their starts."""
        for server in changed:
            if server.status is Status.REMOVED:
                self._departed[server.id] = server.endpoint.started_at
                self._removed[server.id] = server
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        for server in list(self._removed.values()):
            if server.status is not Status.REMOVED:
                del self._removed[server.id]
            elif not server.in_flight:
                del self._removed[server.id]
                del self.states[server.id]

    def _apply_endpoint(self, now: float, endpoint: api.Endpoint) -> EndpointState:
        server = self.states.get(endpoint.endpoint_id)
        if server is None:
            limit = max(MIN_START_CONCURRENCY, START_CONCURRENCY / self.settings.routers)
            server = self.states[endpoint.endpoint_id] = EndpointState(endpoint, now, limit)
            self._start_warmup_if_cold(now, server, self._departed.pop(endpoint.endpoint_id, None))
            return server
        previous, server.endpoint, server.status = server.endpoint, endpoint, endpoint.status
        # a clock may have been stepped back between two starts, so that the later start has the earlier time
        if endpoint.started_at and endpoint.started_at != previous.started_at:
            # a restart: cold from then on; the old process's latency says nothing
            started_at = self._start_warmup_if_cold(now, server, previous.started_at)
            server.latency_ewma = 0.0
            if server.ejected and started_at > server.ejected_at - self.settings.rules.ask_every:
                server.probe_at = now
        return server

    def _start_warmup_if_cold(self, now: float, server: EndpointState, listed_start: float | None) -> float:
        """Begin the warm-up of an endpoint that is new in the list or has restarted; return when it started.

        Its age by the wall clocks of two machines, which may both be wrong, may lengthen a warm-up, but it
        does not shorten one below what this router has seen: what the previous list did not have, or had with
        another start, has started since, or soon before. Only of the first list nothing else is known.

        Args:
            now: the time, in ms.
            server: the endpoint.
            listed_start: its start as it was listed before; None if it never was.
        """
        listed = server.endpoint.started_at
        started_at = min(listed, now)
        if self._previous_list_at is not None and listed_start != listed:
            started_at = max(started_at, min(self._previous_list_at, now))
        if listed and now - started_at < self.settings.rules.warm_within:
            server.start_warmup(started_at, self.settings.rules)
        return started_at
