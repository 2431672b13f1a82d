"""The status, health, load and warm-up of each endpoint, from one router's own observations.

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
# time constant of the recovery that is assumed of a slow endpoint without new responses
LATENCY_RECOVERY_MS = 3_000.0
REPORT_WEIGHT = 0.25  # weight of a new load report
REPORT_DECAY_MS = 3_000.0  # time constant of the decay of a load report
MAX_REPORT_FACTOR = 1.3  # load reports alone raise the expected latency to this multiple of recent responses
EJECT_AFTER_FAILURES = 3  # consecutive failures with no liveness signal before an endpoint is ejected
PROBE_DELAY_MS = 400.0  # delay of the first probe of an ejected endpoint; it doubles with each probe
MAX_DEPARTED = 4_096  # endpoints that have left whose start times are kept, to recognize them on their return
# An endpoint that was silent for longer may have restarted, unless a subscription reports that: it warms up.
ASSUME_RESTART_AFTER_MS = 3_000.0
START_CONCURRENCY = 9.0  # initial concurrency limit of one endpoint, divided among all routers
MIN_START_CONCURRENCY = 1.5  # least initial limit of one router; more could fill all queues before a response
MIN_CONCURRENCY = 1.0
CONCURRENCY_CUT_FACTOR = 0.7  # factor on the limit after a slow response; good responses raise it


class EndpointState:
    """Health, load and warm-up of one endpoint, from this router's own observations."""

    def __init__(self, endpoint: api.Endpoint, now: float, limit: float = START_CONCURRENCY) -> None:
        self.id = endpoint.endpoint_id
        self.endpoint = endpoint
        self.status = endpoint.status
        self.warmup_start = self.warmup_end = float("-inf")
        self.cold_capacity = 1.0
        # the order by which the home zone is divided into pools
        self.order_key = hash64(endpoint.endpoint_id), endpoint.endpoint_id
        self.in_flight = 0
        self.other_load = 0.0  # requests of other routers, smoothed over load reports
        # latency in ms, and requests held at the time of sending; 0 if it has never responded
        self.latency_ewma = self.load_ewma = 0.0
        self.concurrency_limit = limit
        self.other_load_at = self.latency_at = self.last_cut_at = self.ejected_at = self.probe_at = now
        self.last_response_at = float("-inf")
        self.consecutive_failures = self.probes = 0
        self.ejected = self.probing = False
        self.window_sends = 0  # in the window of `WarmTraffic`

    def load(self, now: float) -> float:
        """Return how many requests it holds: this router's, and those of others by decaying load reports."""
        if self.other_load:
            return self.in_flight + self.other_load * exp((self.other_load_at - now) / REPORT_DECAY_MS)
        return float(self.in_flight)

    def record_load_report(self, now: float, in_flight: float) -> None:
        """Smooth a load report; it is out of date on arrival, so only load that lasts counts."""
        reported = max(0.0, in_flight - self.in_flight)
        previous = self.other_load * exp((self.other_load_at - now) / REPORT_DECAY_MS)
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
        """Adapt the concurrency limit: all routers back off from a queue that none of them sees alone."""
        if not is_slow:
            if self.in_flight + 1 >= self.concurrency_limit * 0.5:
                self.concurrency_limit += 1.0 / self.concurrency_limit
        elif now - self.last_cut_at > max(100.0, latency_ms):
            self.concurrency_limit = max(MIN_CONCURRENCY, self.concurrency_limit * CONCURRENCY_CUT_FACTOR)
            self.last_cut_at = now

    def expected_latency(self, now: float, latency_per_request: float) -> float:
        """Return the expected latency, in ms, of an attempt sent now.

        Args:
            now: the current time.
            latency_per_request: the fleet-wide latency for each request that an endpoint holds. It stands in
                for an endpoint that has never responded, and is the value to which a slow endpoint recovers.
        """
        # a ratio of two means, as a mean of ratios would be dominated by responses at low load
        per_request_ms = (
            self.latency_ewma / (1.0 + self.load_ewma) if self.latency_ewma else latency_per_request
        )
        if per_request_ms > latency_per_request:
            per_request_ms = latency_per_request + (per_request_ms - latency_per_request) * exp(
                (self.latency_at - now) / LATENCY_RECOVERY_MS
            )
        expected_ms = per_request_ms * (1.0 + self.load(now))
        if not self.in_flight and self.latency_ewma:
            # without this bound, reports of other routers' load alone could cause refusals while it is idle
            expected_ms = min(expected_ms, MAX_REPORT_FACTOR * per_request_ms * (1.0 + self.load_ewma))
        return expected_ms / self.min_warm_share(now)

    def min_warm_share(self, now: float) -> float:
        """Return the least share (0 to 1) of its capacity that the endpoint has now, by the warm-up rules."""
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
        """Record a liveness signal: an ejected endpoint returns, with a warm-up if it may have restarted."""
        self.last_response_at, self.consecutive_failures = now, 0
        if self.ejected:
            self.ejected = False
            self.latency_ewma = 0.0
            # A subscription reports restarts, so endpoints behind a network partition do not all return cold.
            if (
                not is_subscribed
                and now - self.ejected_at > ASSUME_RESTART_AFTER_MS
                and self.warmup_end < now
            ):
                self.start_warmup(now, rules)


class EndpointList:
    """The endpoint list from discovery, and the calls that keep it fresh."""

    def __init__(self, settings: api.RouterSettings, rng: random.Random) -> None:
        self.settings = settings
        self.calls = DiscoveryCalls(settings, rng)
        self.states: dict[int, EndpointState] = {}
        self._listed_at: float | None = None  # when the latest list came from discovery
        self._previous_list_at: float | None = None  # when the list before it came
        self._removed: dict[int, EndpointState] = {}  # still known, as they have attempts in flight
        self._departed: dict[int, float] = {}  # starts of endpoints that have left, oldest first

    def apply(self, now: float, update: api.EndpointUpdate) -> list[EndpointState]:
        """Apply a list or changes of it, from discovery or configuration; return the changed endpoints."""
        # A late list says nothing about the present call, or whether there is one.
        if update.scope is not UpdateScope.CACHED and not update.is_late:
            self.calls.record_list()
        if not update.is_continued:
            self._previous_list_at = self._listed_at
        if update.scope is not UpdateScope.CACHED:
            self._listed_at = now
        rows = [entry for entry in update.endpoints if not self._is_unchanged(entry)]
        changed = [self._apply_endpoint(now, entry) for entry in rows]
        if update.scope is not UpdateScope.DELTA:
            listed_ids = {entry.endpoint_id for entry in update.endpoints}
            unlisted = [server for server in self.states.values() if server.id not in listed_ids]
            for server in unlisted:
                server.status = Status.REMOVED
            changed += unlisted
        self._forget_removed(changed)
        return changed

    def _is_unchanged(self, endpoint: api.Endpoint) -> bool:
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
        # not only a greater time: the machine's clock may have been set back between two starts
        if endpoint.started_at and endpoint.started_at != previous.started_at:
            # a restart: it is cold from then on, and the old process's latency does not apply
            started_at = self._start_warmup_if_cold(now, server, previous.started_at)
            server.latency_ewma = 0.0
            if server.ejected and started_at > server.ejected_at - self.settings.rules.ask_every:
                server.probe_at = now
        return server

    def _start_warmup_if_cold(self, now: float, server: EndpointState, listed_start: float | None) -> float:
        """Begin the warm-up of an endpoint that is new in the list or has restarted; return when it started.

        The age of an endpoint comes from the wall clocks of two machines, and both may be wrong. It may
        lengthen a warm-up, but not shorten one below what this router has seen: an endpoint that the previous
        list did not have, or had with another start, has started since that list or shortly before. For the
        first list the clocks are the only source.

        Args:
            now: the time, in ms.
            server: the endpoint.
            listed_start: its start as last listed; None if it was never listed.
        """
        listed = server.endpoint.started_at
        started_at = min(listed, now)
        if self._previous_list_at is not None and listed_start != listed:
            started_at = max(started_at, min(self._previous_list_at, now))
        if listed and now - started_at < self.settings.rules.warm_within:
            server.start_warmup(started_at, self.settings.rules)
        return started_at
