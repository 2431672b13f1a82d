"""All routing decisions; `rosepick/decisions/api.py` defines the events and the actions.

For a read, `PopularityFilter` decides whether the key is among the top k' of this router's LRU list (keep
pool) or not (overflow pool), `EndpointPools` maps the key's slot to an endpoint of that pool in the home
zone, and `Router` sends the request. In cache-aside mode a miss or a write goes to the origin once
`OriginAdmission` admits it. Every send passes through `Router._send` and every refusal through
`Router._finish`, which enforce the rules; docs/architecture.md lists the exceptions.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import chain, islice
from math import exp, inf

from ..attempt_timeouts.adaptive_timeout import AdaptiveTimeout, AttemptWait
from . import api
from .api import NEVER_RAN, Effect, EndReason, Group, Mode, Result, Status, UpdateScope
from .endpoint_pools import MIN_SAMPLES, EndpointPools
from .endpoint_state import EJECT_AFTER_FAILURES, EWMA_WEIGHT, PROBE_DELAY_MS, EndpointList, EndpointState
from .hashing import hash64, hash_to_unit
from .permissions import RepeatFacts, SendFacts, check_send, repeat_until
from .rendezvous import SLOT_COUNT
from .warm_traffic import WarmTraffic

# ------------------------------------------------------------------------------------------- constants
# Times are in milliseconds.

FILTER_CAPACITY = 20_000  # most keys tracked: far more than one router meets while an object stays cached
INITIAL_TOP_SIZE = 4_000  # initial k': every key read twice is kept until errors or latency reduce k'
MIN_TOP_SIZE = 8  # least k', so that the most popular keys always stay in the keep pool
TOP_CUT_FACTOR = 0.8  # k' is multiplied by this after a control round with too many bad attempts
TOP_GROWTH_FACTOR = 1.05  # k' is multiplied by this after any other round: it shrinks fast and grows slowly
MAX_BAD_SHARE = 0.12  # share of keep-pool attempts that may fail or be slow before k' is cut
CONTROL_INTERVAL_MS = 500.0  # time between control rounds; long enough for a few dozen responses

READ_SHARE_DECAY_READS = 500.0  # a key's share of this router's reads decays over this number of reads
READ_SHARE_PRIOR_READS = 30.0  # added to the reads counted, so that one early repeat does not make a key hot
HOLDER_GROUP_SIZE = 8  # holders of a hot key that are taken from the order of one slot
MAX_CANDIDATES = 4  # endpoints considered in one pool: more would scatter a key's copies

WAIT_BOUND_SHARE = 0.45  # of the objective: a holder expected to take longer passes the request to the next
MOVE_WAIT_FACTOR = 0.6  # a move must be expected to take less than this part, since it may cost a fetch

INITIAL_IN_FLIGHT_LIMIT = 64.0  # attempts in flight at all cache nodes; also the maximum: no limit until slow
MIN_IN_FLIGHT_PER_ENDPOINT = 8.0  # never limited below this in all routers together, nor below 1 in a router
IN_FLIGHT_CUT_FACTOR = 0.85  # factor on the in-flight limit at a slow response; good ones raise it again
MAX_LATE_LOSS_SHARE = 0.12  # part of the value of responses that may be lost to lateness
LATE_CUT_FACTOR = 0.85  # factor on the wait limit while more than that is lost
LATE_GROWTH_FACTOR = 1.1  # factor on the wait limit otherwise
MIN_WAIT_SHARE = 0.4  # of the objective: the wait limit is never lower

INITIAL_LATENCY_MS = 40.0  # assumed latency of an endpoint that has never responded
MAX_PROBE_DELAY_MS = 1_600.0  # longest delay between two probes of an ejected endpoint
OVERDUE_DEVIATIONS = 4.0  # a response is overdue this many mean deviations above the mean latency
MIN_OVERDUE_MS = 60.0  # no response is overdue sooner
PROBES_PER_REQUEST = 0.15  # probes for load reports that a request earns, where settings name report fields

RETRIES_PER_REQUEST = 0.2  # retries that a request earns: retries are at most a fifth of the traffic
# The last attempt is a fetch if at most this many precede it; after more of them too little time is left.
MAX_ATTEMPTS_BEFORE_FETCH = 2
MAX_RETRY_BUDGET = 12.0  # retries that a burst of failures may use

SLOW_RESPONSE_SHARE = 0.5  # of the objective: a cache response that takes longer is slow
VALUE_HEADROOM = 0.5  # requests of the highest value may exceed a limit by this share

INITIAL_READ_THROUGH_FETCHES = 24.0  # read-through: initial limit of fetches in flight
# Cache-aside: initial limit of fetches in flight, divided among all routers. It is no limit in practice until
# the origin fails or slows down; from then on it adapts.
INITIAL_CACHE_ASIDE_FETCHES = 96.0
MIN_INITIAL_CACHE_ASIDE_FETCHES = 2.0  # least initial limit of one router
MAX_FETCHES = 64.0  # the limit of fetches in flight grows no further
OVERLOAD_LATENCY_RATIO = 2.0  # the origin is overloaded above this multiple of its least smoothed latency
# Never overloaded below this share of the shortest objective; in cache-aside mode, always overloaded above
# this share of the longest one.
OVERLOAD_OBJECTIVE_SHARE = 0.5
SLOW_ORIGIN_RATIO = 1.7  # above this multiple of its least smoothed latency it is slow: overflow spreads
MIN_FETCH_SAMPLES = 10  # fetches before the origin's latency is used
BEST_LATENCY_GROWTH = 1.002  # the least latency grows by this factor with each fetch, as an origin may change
FETCH_CUT_FACTOR = 0.75  # factor on a fetch limit of 1 or more when the origin is overloaded
LOW_FETCH_CUT_FACTOR = 0.5  # factor on a fetch limit under 1, where a router has few fetches to learn from
# Least fetch limit in cache-aside mode. Under 1 a pause follows each fetch: one fetch in flight at each of
# hundreds of routers would overload the origin.
MIN_FETCH_LIMIT = 0.1
FETCH_GROWTH_FACTOR = 2.0  # factor on a fetch limit under 1 after a good fetch
MAX_FETCH_PAUSE_MS = 2_000.0  # longest pause after a fetch
CONNECT_PAUSE_MS = 200.0  # longest pause before another connect to an origin at its connection limit
MEAN_IN_FLIGHT_TIME_MS = 3_000.0  # time constant of the mean of fetches in flight
LATE_FETCH_SHARE = 0.6  # of the objective: a fetch in flight for longer cuts the limit, as a failed one does

COLD_REMOTE_FACTOR = 0.7  # factor on a cold endpoint's budget where no endpoint of its own zone is warm
# Sends in a window by all routers together to a cold endpoint. Up to twice as many routers may send 1 each.
MIN_COLD_SENDS = 4.0
LOG_INTERVAL_MS = 5_000.0  # at most one log line of a kind in this time
MAX_SHARE_EXCESS_FACTOR = 1.3  # a tenant is over its share above this multiple of its odds
TENANT_RATE_WINDOW_MS = 6_000.0  # time constant of tenants' rates; in less time there are too few requests

# Timer tokens: a kind in the high bits and the request's ref in the low bits.
CHECK_TIMER, DEADLINE_TIMER, TICK_TIMER = 1 << 60, 2 << 60, 3 << 60
DISCOVERY_TIMER = TICK_TIMER | 1  # the next call to discovery is due
TIMER_KIND_MASK = 3 << 60
SILENT_RESULTS = (Result.TIMEOUT, Result.CONNECT_FAILED)  # no liveness signal
NO_LOAD_SIGNAL = (Result.CONNECT_FAILED, Result.RESET, Result.CONNECTION_LIMIT, Result.NEVER_SENT)
ANSWERED_RESULTS = (Result.OK, Result.MISS, Result.ERROR, Result.INVALID)
NO_HEALTH_SIGNAL = (Result.NEVER_SENT, Result.CANCELLED, Result.RESET, Result.CONNECTION_LIMIT)


class PopularityFilter:
    """Tracks keys in an LRU list of two segments, the top k' and the tail, and adapts k' to the load."""

    def __init__(self) -> None:
        # oldest first; value: endpoint last sent to, decayed reads of the key, number of the last read
        self.top: OrderedDict[int, tuple[int, float, int]] = OrderedDict()
        self.tail: OrderedDict[int, tuple[int, float, int]] = OrderedDict()
        self.top_limit = INITIAL_TOP_SIZE
        self.capacity = FILTER_CAPACITY
        # reads in all; keep-pool attempts since the last control round
        self.reads = self.attempts = self.bad_attempts = 0

    def touch(self, key: int) -> tuple[bool, int, float]:
        """Make a key the most recent; return (was in the top k', endpoint last used, share of the reads)."""
        self.reads += 1
        entry = self.top.get(key)
        last_id, reads, read_number = entry or self.tail.pop(key, (0, 0.0, self.reads))
        reads *= exp((read_number - self.reads) / READ_SHARE_DECAY_READS)
        self.top[key] = last_id, reads + 1.0, self.reads
        self.top.move_to_end(key)
        if entry is None:
            self._rebalance()
        return (
            entry is not None,
            last_id,
            reads / (min(self.reads, READ_SHARE_DECAY_READS) + READ_SHARE_PRIOR_READS),
        )

    def _rebalance(self) -> None:
        """Move keys beyond the top k' to the tail, a few at each touch to bound the work."""
        for _ in range(4):
            if len(self.top) <= self.top_limit:
                break
            old, entry = self.top.popitem(last=False)
            self.tail[old] = entry
        for _ in range(4):
            if len(self.top) + len(self.tail) <= self.capacity or not self.tail:
                break
            self.tail.popitem(last=False)

    def set_capacity(self, capacity: int) -> None:
        """Set how many keys are tracked; if there are more, the next touches drop them."""
        self.capacity = min(FILTER_CAPACITY, capacity)
        self.top_limit = min(self.top_limit, self.capacity)

    def record_endpoint(self, key: int, endpoint_id: int) -> None:
        """Record where a key was sent, to distinguish an eviction from a first read."""
        if key in self.top:
            self.top[key] = (endpoint_id, *self.top[key][1:])

    def record_attempt(self, is_bad: bool) -> None:
        """Record one attempt of the keep pool."""
        self.attempts += 1
        self.bad_attempts += is_bad

    def adjust_limit(self) -> None:
        """Shrink k' while too many keep-pool attempts are bad, else grow it slowly."""
        if self.attempts < MIN_SAMPLES:
            return
        if self.bad_attempts > MAX_BAD_SHARE * self.attempts:
            # counts from the present length: cuts of a limit that was never reached would have no effect
            self.top_limit = max(MIN_TOP_SIZE, int(min(self.top_limit, len(self.top)) * TOP_CUT_FACTOR))
        else:
            self.top_limit = min(self.capacity, int(self.top_limit * TOP_GROWTH_FACTOR) + 1)
        self.attempts = self.bad_attempts = 0
        for _ in range(64):  # moves keys up to fill a larger k', a few at a time
            if len(self.top) >= self.top_limit or not self.tail:
                break
            key, entry = self.tail.popitem()
            self.top[key] = entry
            self.top.move_to_end(key, last=False)


class OriginAdmission:
    """Limits the fetches that this router has in flight at the origin, and queues requests for them."""

    def __init__(self, settings: api.RouterSettings) -> None:
        self.configure(settings)
        aside = settings.mode is Mode.ASIDE
        self.limit = (
            max(MIN_INITIAL_CACHE_ASIDE_FETCHES, INITIAL_CACHE_ASIDE_FETCHES / settings.routers)
            if aside
            else INITIAL_READ_THROUGH_FETCHES
        )
        # no pauses in read-through mode: latency includes the wait at the cache, which no pause shortens
        self.min_limit = MIN_FETCH_LIMIT if aside else 1.0
        self.in_flight = self.total = self.sequence = 0
        self.pause_end = self.last_cut_at = float("-inf")
        self.mean_in_flight = self.mean_in_flight_at = 0.0  # decayed mean of fetches in flight
        # The EWMA is compared with its own minimum: single latencies vary widely even on a healthy origin.
        self.best_latency_ms = self.latency_ewma = 0.0
        self.queue: list[tuple[float, int, int]] = []

    def configure(self, settings: api.RouterSettings) -> None:
        """Derive the latency bounds, in ms, from the objectives of the request classes."""
        objectives = [c.objective_ms for c in settings.classes]
        self.min_overload_ms = OVERLOAD_OBJECTIVE_SHARE * min(objectives)
        # Capped, as a router that starts during an overload takes that latency for the origin's best. Not
        # capped in read-through mode, where the latency includes waits at the cache.
        self.max_overload_ms = (
            OVERLOAD_OBJECTIVE_SHARE * max(objectives) if settings.mode is Mode.ASIDE else inf
        )

    def admits(self, now: float) -> bool:
        """Return whether one more fetch may be sent."""
        return self.in_flight < max(1, int(self.limit)) and now >= self.pause_end

    def add_in_flight(self, now: float, delta: int) -> None:
        """Count a fetch that begins (1) or ends (-1)."""
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * (
            1.0 - exp(min(0.0, self.mean_in_flight_at - now) / MEAN_IN_FLIGHT_TIME_MS)
        )
        self.mean_in_flight_at = now
        self.in_flight += delta

    def is_slow(self) -> bool:
        """Return whether fetches take clearly longer than at best, so that overflow should spread."""
        return self.total >= MIN_FETCH_SAMPLES and self.latency_ewma > max(
            SLOW_ORIGIN_RATIO * self.best_latency_ms, self.min_overload_ms
        )

    def enqueue(self, value: float, ref: int) -> None:
        """Queue a request: highest value first, then the latest, which has the most time left."""
        self.sequence += 1
        heapq.heappush(self.queue, (-value, -self.sequence, ref))

    def reduce_limit(self, now: float) -> None:
        """Cut the limit, at most once in the time of a fetch.

        A limit far above twice the fetches in flight is first lowered to about that, as cuts of a limit that
        was never reached would have no effect.
        """
        if now - self.last_cut_at > max(100.0, min(400.0, self.latency_ewma)):
            in_use = max(1.0, 2.0 * self.mean_in_flight + min(2.0, 2.0 * self.mean_in_flight))
            cut = FETCH_CUT_FACTOR if self.limit >= 1.0 else LOW_FETCH_CUT_FACTOR
            self.limit = max(self.min_limit, min(self.limit, in_use) * cut)
            self.last_cut_at = now

    def record_fetch(self, now: float, sample_ms: float, succeeded: bool) -> None:
        """Adapt the limit to one fetch: additive increase, multiplicative decrease."""
        self.latency_ewma += (sample_ms - self.latency_ewma) * EWMA_WEIGHT if self.latency_ewma else sample_ms
        self.total += 1
        if self.total >= MIN_FETCH_SAMPLES:
            self.best_latency_ms = (
                min(self.best_latency_ms * BEST_LATENCY_GROWTH, self.latency_ewma)
                if self.best_latency_ms
                else self.latency_ewma
            )
        # A quick fetch is no sign of overload, even while earlier timeouts keep the mean high.
        max_ms = max(
            self.min_overload_ms, min(self.max_overload_ms, OVERLOAD_LATENCY_RATIO * self.best_latency_ms)
        )
        if not succeeded or (self.total >= MIN_FETCH_SAMPLES and min(sample_ms, self.latency_ewma) > max_ms):
            self.reduce_limit(now)
        elif self.limit < 1.0:
            self.limit *= FETCH_GROWTH_FACTOR
        elif self.in_flight + 1 >= int(self.limit) * 0.7:  # int as in `admits`: 1.5 would not grow otherwise
            self.limit = min(MAX_FETCHES, self.limit + 2.0 / self.limit)
        if self.limit < 1.0:
            self.pause_end = now + min(MAX_FETCH_PAUSE_MS, self.latency_ewma * (1.0 / self.limit - 1.0))


class TenantShares:
    """Finds requests over their tenant's share, by its odds against the other traffic of this router."""

    def __init__(self, settings: api.RouterSettings) -> None:
        self.updated_at = 0.0
        self.rates: list[float] = []
        self.balances: list[float] = []
        self.configure(settings)

    def configure(self, settings: api.RouterSettings) -> None:
        """Apply the tenants' shares; the number of tenants never decreases."""
        self.tenants = settings.tenants
        self.rates += [0.0] * (len(self.tenants) - len(self.rates))
        self.balances += [0.0] * (len(self.tenants) - len(self.balances))

    def is_over_share(self, now: float, tenant: int) -> bool:
        """Count a request; return whether it exceeds its tenant's share."""
        if tenant >= len(self.tenants) or len(self.tenants) < 2:
            return False
        fade = exp((self.updated_at - now) / TENANT_RATE_WINDOW_MS)
        self.updated_at = now
        self.rates = [rate * fade for rate in self.rates]
        self.rates[tenant] += 1.0
        total = sum(self.rates)
        share = self.tenants[tenant].share
        if share <= 0 or share >= 1 or total < 20:
            return False
        allowed = MAX_SHARE_EXCESS_FACTOR * share / (1.0 - share) * (total - self.rates[tenant])
        self.balances[tenant] = min(3.0, self.balances[tenant] + min(1.0, allowed / self.rates[tenant]))
        if self.balances[tenant] < 1.0:
            return True
        self.balances[tenant] -= 1.0
        return False


class LoadShedder:
    """Limits expected waits and attempts in flight by the late and slow responses of cache nodes.

    It guards against an overloaded fleet that serves every request a little too late, without any value left.
    """

    def __init__(self) -> None:
        self.wait_share = 1.0  # longest expected wait, as a share of the objective
        self.responses, self.late_loss = 0, 0.0  # since the last adjustment of `wait_share`
        self.in_flight, self.limit = 0, INITIAL_IN_FLIGHT_LIMIT  # attempts at cache nodes
        self.min_limit, self.last_cut_at = 1.0, float("-inf")

    def is_overloaded(self, relative_value: float) -> bool:
        """Return whether this router has too much in flight for a request of this relative value (0 to 1)."""
        # Guards against a burst that overloads all endpoints before a router has seen late responses.
        return self.in_flight >= self.limit * (1.0 + VALUE_HEADROOM * relative_value)

    def adjust_limit(self, now: float, latency_ms: float, is_slow: bool) -> None:
        """Adapt the in-flight limit to one cache response: additive increase, multiplicative decrease."""
        if not is_slow:
            if self.in_flight + 1 >= self.limit * 0.5:
                self.limit = min(INITIAL_IN_FLIGHT_LIMIT, self.limit + 1.0 / self.limit)
        elif now - self.last_cut_at > max(100.0, min(400.0, latency_ms)):
            self.limit = max(
                self.min_limit, min(self.limit, 2.0 * self.in_flight + 2.0) * IN_FLIGHT_CUT_FACTOR
            )
            self.last_cut_at = now

    def record_loss(self, lost_value: float) -> None:
        """Record one response, and the part of its value (0 to 1) that was lost because it was late."""
        self.responses += 1
        self.late_loss += lost_value

    def adjust_wait_share(self) -> None:
        """Lower the wait limit if much value was lost to late responses, else raise it slowly."""
        if self.responses < MIN_SAMPLES:
            return
        if self.late_loss > MAX_LATE_LOSS_SHARE * self.responses:
            self.wait_share = max(MIN_WAIT_SHARE, self.wait_share * LATE_CUT_FACTOR)
        else:
            self.wait_share = min(1.0, self.wait_share * LATE_GROWTH_FACTOR)
        self.responses, self.late_loss = 0, 0.0


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request. Times are milliseconds."""

    server: EndpointState
    sent_at: float
    load_at_send: float  # requests that the endpoint held
    to_origin: bool
    counts_as_fetch: bool  # whether it counts against the limit of fetches in flight
    wait: AttemptWait
    in_flight: bool = True
    never_ran: bool = False  # whether its result proves that it had no effect


@dataclass(slots=True)
class PendingRequest:
    """A request from its arrival until its final answer and the end of its last attempt; times in ms."""

    ref: int
    event: api.RequestArrived
    request_class: api.RequestClass
    limits: api.RouterLimits  # as of its arrival, like `request_class`: later settings do not apply to it
    begun_at: float
    deadline: float
    slot: int
    in_keep_pool: bool
    last_endpoint_id: int  # endpoint to which its key was last sent; 0 for none
    holders: int  # number of endpoints that hold its key
    value: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    is_final: bool = False
    to_origin: bool = False
    is_queued: bool = False  # whether it waits for admission to the origin
    shares_fetch: bool = False  # whether it waits for, or has used, another request's fetch
    check_at: float = 0.0  # when to check its attempt next
    overdue_at: float = 0.0  # when its attempt is overdue
    missed_endpoint: EndpointState | None = None  # first endpoint that answered with a miss
    is_partial: bool = False  # whether its last byte has not arrived yet
    waiters: list[int] = field(default_factory=list)  # refs of the requests that share its fetch

    @property
    def objective_at(self) -> float:
        """Return the time (ms) from which the request no longer has its full value."""
        return min(self.deadline, self.begun_at + self.request_class.objective_ms)

    @property
    def repeatable(self) -> bool:
        """Return whether a retry may go to any endpoint, and a refusal is harmless though it may have run."""
        request_class = self.request_class
        return request_class.effect is Effect.RETRYABLE or (
            request_class.effect is Effect.DEDUP and request_class.group is Group.ALL
        )

    def in_flight_count(self) -> int:
        """Return the number of attempts in flight."""
        return sum(a.in_flight for a in self.attempts)

    def first_unsafe_attempt(self) -> AttemptRecord | None:
        """Return the first attempt that may have run, if any."""
        return next((a for a in self.attempts if not a.never_ran), None)


EndpointChoice = tuple[EndpointState | None, float]  # an endpoint and its expected latency in ms


class Router:
    """Decides for one router instance about all sends and refusals, and enforces the rules."""

    def __init__(self, settings: api.RouterSettings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.popularity = PopularityFilter()
        self.endpoints = EndpointList(settings, self.rng)
        self.pools = EndpointPools(settings, self.endpoints)
        self.origin = OriginAdmission(settings)
        self.warm_traffic = WarmTraffic(self._is_warm)
        self.ejected: dict[int, EndpointState] = {}  # by id
        self.tenants = TenantShares(settings)
        self.shedder = LoadShedder()
        self.pending: dict[int, PendingRequest] = {}
        self.fetch_leaders: dict[int, int] = {}
        self.retry_budget = MAX_RETRY_BUDGET
        self.probe_budget, self.probe_index = 0.0, 0
        # fleet-wide latency, in ms, for each request that an endpoint holds
        self.latency_per_request = INITIAL_LATENCY_MS
        # latency of cache responses, in ms, and its mean deviation
        self.mean_latency, self.deviation = 100.0, 50.0
        self._reconfigure(settings)
        self.has_started, self.now, self.last_control_at = False, 0.0, 0.0
        self.actions: list[api.Action] = []
        self.logged_at: dict[str, float] = {}
        # ticks since the last control round at which requests were queued for the origin or fetches slow
        self.origin_shortages = 0
        self.timeouts = AdaptiveTimeout()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event, at `now` in ms; return the actions to carry out, in order."""
        self.now = now
        self.actions = []
        if not self.has_started:
            self.has_started = True
            self.actions.append(api.SetTimer(TICK_TIMER, now + 50.0))
            self._call_discovery_if_due()  # at once: the list of the configuration may be out of date
        match event:
            case api.RequestArrived():
                self._accept_request(event)
            case api.AttemptEnded():
                self._handle_outcome(event)
            case api.RequestCompleted():
                self._complete_request(event)
            case api.TimerFired():
                self._handle_timer(event.token)
            case api.ClientDisconnected():
                if (request := self.pending.get(event.ref)) is not None:
                    self._close(request)
            case api.FirstByte():
                self._start_response(event)
            case _:
                self._handle_fleet_event(event)
        return self.actions

    def _handle_fleet_event(self, event: api.Event) -> None:
        """Handle an event that concerns no single request.

        Messages of peers are ignored: a router trusts only the outcomes of its own attempts.
        """
        match event:
            case api.EndpointUpdate(scope=UpdateScope.FAILED):
                due_at = self.endpoints.calls.record_failure(self.now)
                self.actions.append(api.SetTimer(DISCOVERY_TIMER, due_at))
            case api.EndpointUpdate():
                self._apply_update(event)
            case api.Reconfigured():
                self._reconfigure(event.settings)
            case api.ProbeResult():
                self._record_probe(event)

    def _apply_update(self, event: api.EndpointUpdate) -> None:
        changed = self.endpoints.apply(self.now, event)
        for server in changed:
            self.warm_traffic.update(server, self.now)
        self.pools.update(changed)  # at once: attempts that this list ends are retried by the new pools

    def _reconfigure(self, settings: api.RouterSettings) -> None:
        """Apply new settings; learned state stays, and pending requests keep their class."""
        self.settings = self.endpoints.settings = self.pools.settings = settings
        self.endpoints.calls.settings = settings
        self.origin.configure(settings)
        self.tenants.configure(settings)
        self.popularity.set_capacity(settings.max_tracked_keys)
        self.max_value = max(c.worth for c in settings.classes) or 1.0

    def _accept_request(self, event: api.RequestArrived) -> None:
        classes = self.settings.classes
        if event.ref in self.pending:
            return
        request_class = classes[event.class_index] if event.class_index < len(classes) else classes[0]
        aside_write = event.is_write and self.settings.mode is Mode.ASIDE
        in_keep_pool, last_endpoint_id, read_share = False, 0, 0.0
        if not event.key:
            in_keep_pool = hash_to_unit(event.ref) < self.pools.keep_share  # popularity is by key
        elif not aside_write:
            in_keep_pool, last_endpoint_id, read_share = self.popularity.touch(event.key)
            self.pools.record_read(in_keep_pool)
        is_over_share = self.tenants.is_over_share(self.now, event.tenant_index)
        request = PendingRequest(
            ref=event.ref,
            event=event,
            request_class=request_class,
            limits=self.settings.limits,
            begun_at=self.now,
            deadline=self.now + max(0.0, event.time_left_ms),
            is_partial=event.is_partial,
            slot=hash64(event.key or event.ref) % SLOT_COUNT,
            in_keep_pool=in_keep_pool,
            last_endpoint_id=last_endpoint_id,
            holders=self.pools.holder_count(read_share) if in_keep_pool else 1,
            value=request_class.worth * (self.settings.over_share_worth if is_over_share else 1.0),
        )
        self.pending[event.ref] = request
        self.actions.append(api.SetTimer(DEADLINE_TIMER | event.ref, request.deadline, event.ref))
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)
        self.timeouts.budget.record_request()
        self.probe_budget = min(40.0, self.probe_budget + PROBES_PER_REQUEST)
        if aside_write:
            self._fetch_from_origin(request)
        else:
            self._send_to_cache(request)

    def _complete_request(self, event: api.RequestCompleted) -> None:
        """Restart the times of a request and of its attempts, as its last byte has arrived."""
        request = self.pending.get(event.ref)
        if request is None or request.is_final or not request.is_partial:
            return
        request.is_partial, request.begun_at, request.deadline = (
            False,
            self.now,
            self.now + max(0.0, event.time_left_ms),
        )
        self.actions.append(api.SetTimer(DEADLINE_TIMER | request.ref, request.deadline, request.ref))
        for attempt in filter(lambda a: a.in_flight, request.attempts):
            attempt.sent_at = self.now
            attempt.wait = self.timeouts.start(self.now, attempt.to_origin, attempt.wait.expected_ms)
            self._schedule_overdue(request)

    def _send_to_cache(self, request: PendingRequest) -> None:
        """Send to the holder of the key's slot or to a quicker endpoint; queue for the origin, or refuse."""
        if not request.attempts and self.shedder.is_overloaded(request.value / self.max_value):
            self._finish(request, EndReason.OVERLOADED)
            return
        server, wait = self._choose_endpoint(request)
        if server is None:
            self._finish(request, EndReason.NO_ENDPOINT)
            return
        limit = (
            request.request_class.objective_ms
            * self.shedder.wait_share
            * (0.6 + 0.4 * request.value / self.max_value)
        )
        if wait > limit and not request.attempts:
            # no response in time is expected; low values and tenants over their share are refused first
            self._finish(request, EndReason.TOO_SLOW)
            return
        if self._may_fetch(request, server) and not (self.origin.admits(self.now) or request.is_partial):
            # applies to writes too: with their retries they alone can keep an overloaded origin down
            request.is_queued = True
            self.origin.enqueue(request.value, request.ref)
            return
        self._send(request, server)

    def _may_fetch(self, request: PendingRequest, server: EndpointState) -> bool:
        """Return whether the endpoint likely fetches from the origin (read-through): fetches are limited."""
        is_likely_miss = request.event.key != 0 and not self._is_cached(request, server)
        return self.settings.mode is Mode.THROUGH and (request.event.is_write or is_likely_miss)

    def _is_cached(self, request: PendingRequest, server: EndpointState) -> bool:
        """Return whether the key was sent to this endpoint before, or to another of its holders."""
        return request.last_endpoint_id == server.id or (
            request.holders > 1 and request.last_endpoint_id != 0
        )

    def _choose_endpoint(self, request: PendingRequest) -> EndpointChoice:
        """Return the cache node for a request's next attempt, or None, and its expected latency in ms."""
        bound = WAIT_BOUND_SHARE * request.request_class.objective_ms
        tried = {a.server.id for a in request.attempts}
        may_stay = request.in_keep_pool and self.pools.wide_share > 0 and request.holders == 1
        current = self.endpoints.states.get(request.last_endpoint_id) if may_stay else None
        if current is not None and current.id not in tried and self._is_usable(current, request.slot):
            # While capacity is short, a key stays where its copy is: a change of pool would cost a fetch.
            wait = self._expected_wait(request, current)
            if wait <= bound:
                self._record_shortage(request, False)
                return current, wait
        best, best_wait = self._search_pools(request, tried, bound)
        if best is None:
            # Most of the fleet is ejected, and this router's own network is the likelier cause: try all.
            for server in self.pools.fleet_table.order_for(request.slot):
                if server.status is Status.READY and server.id not in tried and self._has_cold_budget(server):
                    return server, server.expected_latency(self.now, self.latency_per_request)
        return best, best_wait

    def _search_pools(self, request: PendingRequest, tried: set[int], bound: float) -> EndpointChoice:
        """Return the first usable endpoint expected within `bound` ms, else the best, and its latency."""
        pools = self.pools
        home = self._home_candidates(request)
        first: EndpointState | None = None
        best: EndpointState | None = None
        best_wait = inf
        # The pool comes first, then the fleet's order if all its candidates are beyond the bound or unusable.
        for order in (home, None):
            considered = 0
            for server in order or pools.fleet_table.order_for(request.slot):
                if server.id in tried or not self._is_usable(server, request.slot):
                    continue
                wait = self._expected_wait(request, server)
                if first is None and order is home:
                    first = server
                    self._record_shortage(request, wait > bound)
                elif server is not first:
                    wait += self._fetch_penalty(request, server)
                if wait < best_wait * (MOVE_WAIT_FACTOR if best is not None else 1.0):
                    best, best_wait = server, wait
                considered += 1
                if considered >= MAX_CANDIDATES or wait <= bound:
                    break
            if best_wait <= bound:
                break
        return best, best_wait

    def _home_candidates(self, request: PendingRequest) -> Iterator[EndpointState]:
        """Yield the endpoints of a request's pool; for a hot key, the first holder depends on the request."""
        pools = self.pools
        if request.holders == 1:
            return pools.candidates(request.slot, request.in_keep_pool, pools.is_wide(request.slot))
        # by a hash of the request, so that all routers together load the holders evenly
        group, turn = divmod(hash64(request.ref) % request.holders, HOLDER_GROUP_SIZE)
        slot = hash64(group << 32 | request.slot) % SLOT_COUNT if group else request.slot
        home = pools.candidates(slot, request.in_keep_pool, fleet_wide=False)
        holders = list(islice(home, min(HOLDER_GROUP_SIZE, request.holders - group * HOLDER_GROUP_SIZE)))
        turn %= max(1, len(holders))
        return chain(holders[turn:], holders[:turn], home)

    def _record_shortage(self, request: PendingRequest, is_short: bool) -> None:
        """Record whether a read's first candidate is expected beyond the wait bound."""
        if not request.attempts:
            self.pools.reads += 1
            self.pools.short_reads += is_short
            if request.in_keep_pool:
                self.popularity.record_attempt(is_short)

    def _fetch_penalty(self, request: PendingRequest, server: EndpointState) -> float:
        """Return the latency (ms) of the fetch that a move likely costs while the origin is short, else 0."""
        is_short = self.origin_shortages > 0 and self.settings.mode is Mode.ASIDE
        return self.origin.latency_ewma if is_short and not self._is_cached(request, server) else 0.0

    def _expected_wait(self, request: PendingRequest, server: EndpointState) -> float:
        """Return an endpoint's expected latency (ms); at its concurrency limit, one beyond the objective."""
        wait = server.expected_latency(self.now, self.latency_per_request)
        if server.in_flight >= server.concurrency_limit * (
            1.0 + VALUE_HEADROOM * request.value / self.max_value
        ):
            wait = max(
                wait, request.request_class.objective_ms * (1.0 + server.in_flight / server.concurrency_limit)
            )
        return wait

    def _is_usable(self, server: EndpointState, slot: int) -> bool:
        """Return whether an endpoint is ready, not ejected and, if cold, has the slot and budget left."""
        if server.status is not Status.READY or server.ejected:
            return False
        if self.now >= server.warmup_end:
            return True
        holds_slot = hash_to_unit(server.id * 0x20003 + slot) < server.min_warm_share(self.now)
        return holds_slot and self._has_cold_budget(server)

    def _has_cold_budget(self, server: EndpointState) -> bool:
        """Return whether an endpoint is warm, or its sends are within the budget of a cold one (rule 4).

        The budget is a share of the sends to a warm endpoint of its zone, see `WarmTraffic`.
        """
        # The least capacity that the endpoint can have counts, so that in any window the sends of all routers
        # together stay within its capacity.
        if self.now >= server.warmup_end:
            return True
        span = self._cold_window_ms()
        self.warm_traffic.advance(self.now, span)
        total, near = self.warm_traffic.total, self.warm_traffic.zone(server.endpoint.zone)
        mean = total.weight / total.nodes if total.nodes else 0.0
        factor = (
            1.0 if near.nodes or mean <= 0 else COLD_REMOTE_FACTOR * min(1.0, server.endpoint.weight / mean)
        )
        # a zone that started as a whole has no warm endpoint: then all warm endpoints count
        warm = near if near.nodes else total
        sends = factor * warm.sends / warm.nodes if warm.nodes else 0.0
        # one send by each of hundreds of routers would overload it, so each router draws whether it may send
        routers = self.settings.routers
        draw = hash_to_unit(hash64(server.id) ^ hash64(self.settings.position << 32 | int(self.now / span)))
        floor = 1.0 if routers <= 2 * MIN_COLD_SENDS else MIN_COLD_SENDS / routers
        budget = floor + server.min_warm_share(self.now) * sends
        return server.window_sends < (budget if floor == 1.0 else int(budget + draw))

    def _cold_window_ms(self) -> float:
        """Return the window, in ms, over which sends to a cold endpoint count."""
        return max(1.0, self.settings.rules.fall)

    def _is_warm(self, server: EndpointState, now: float) -> bool:
        """Return whether an endpoint is a ready cache node, not ejected and past its warm-up."""
        usable = server.status is Status.READY and not server.ejected
        return usable and now >= server.warmup_end and server.endpoint.kind != self.settings.origin_kind

    def _fetch_from_origin(self, request: PendingRequest) -> None:
        """Fetch a miss or send a write (cache-aside); further reads of a key share a fetch in flight."""
        request.to_origin = True
        key = 0 if request.event.is_write else request.event.key  # writes share no fetch
        if key and not request.shares_fetch:
            leader = self.pending.get(self.fetch_leaders.get(key, -1))
            if leader is not None and leader is not request:
                leader.waiters.append(request.ref)
                request.shares_fetch = True
                return
        if not self.pools.origins:
            self._finish(request, EndReason.NO_ORIGIN)
            return
        if key:
            self.fetch_leaders[key] = request.ref
        if self.origin.admits(self.now) or request.is_partial:  # a partial request is not a load yet
            self._dispatch(request)
        else:
            request.is_queued = True
            self.origin.enqueue(request.value, request.ref)

    def _dispatch(self, request: PendingRequest) -> None:
        """Send an admitted request to the origin, or in read-through mode to a cache node that fetches."""
        server: EndpointState | None = None
        if not request.to_origin:
            server, _ = self._choose_endpoint(request)
        elif self.pools.origins:
            server = self.pools.origins[request.slot % len(self.pools.origins)]
        if server is None:
            self._finish(request, EndReason.NO_ENDPOINT)
        else:
            self._send(request, server)

    def _admit_queued(self) -> None:
        """Send queued requests while the origin admits them, and refuse those that would be late."""
        while self.origin.queue and (self.origin.admits(self.now) or self._is_late(self.origin.queue[0][2])):
            _, _, ref = heapq.heappop(self.origin.queue)
            request = self.pending.get(ref)
            if request is None or request.is_final or not request.is_queued:
                continue
            request.is_queued = False
            if self.now + self.origin.best_latency_ms > request.objective_at:
                self._finish(request, EndReason.QUEUE_TIMEOUT)
            else:
                self._dispatch(request)

    def _is_late(self, ref: int) -> bool:
        request = self.pending.get(ref)
        return (
            request is None
            or request.is_final
            or self.now + self.origin.best_latency_ms > request.objective_at
        )

    def _useful_until(self, request: PendingRequest) -> float:
        return request.deadline if request.request_class.late_share > 0 else request.objective_at

    def _may_send(self, request: PendingRequest, server: EndpointState) -> bool:
        """Return whether an attempt may begin now; every path to a send checks this."""
        facts = SendFacts(
            now=self.now,
            deadline=request.deadline,
            is_finished=request.is_final,
            attempts_made=len(request.attempts),
            max_attempts=request.limits.max_attempts,
            attempts_in_flight=request.in_flight_count(),
            allow_hedging=request.limits.allow_hedging,
            endpoint_status=server.status,
            has_cold_budget=self._has_cold_budget(server),
            repeat=self._repeat_facts(request, server),
        )
        return check_send(facts) is None

    def _repeat_facts(self, request: PendingRequest, server: EndpointState) -> RepeatFacts | None:
        first_unsafe = request.first_unsafe_attempt()
        if first_unsafe is None:
            return None
        here, there = server.endpoint, first_unsafe.server.endpoint
        return RepeatFacts(
            request.request_class, first_unsafe.sent_at, here.zone == there.zone, here.cell == there.cell
        )

    def _repeat_until(self, request: PendingRequest) -> float:
        """Return the time (ms) until which a request that may have run may be sent again."""
        first_unsafe = request.first_unsafe_attempt()
        return repeat_until(request.request_class, None if first_unsafe is None else first_unsafe.sent_at)

    def _send(self, request: PendingRequest, server: EndpointState) -> None:
        if not self._may_send(request, server):
            if not request.in_flight_count():
                self._finish(request, EndReason.NOT_PERMITTED)
            return
        at_origin = request.to_origin
        counts_as_fetch = not request.is_partial and (at_origin or self._may_fetch(request, server))
        mean = (
            self.origin.latency_ewma
            if at_origin
            else server.expected_latency(self.now, self.latency_per_request)
        )
        wait = self.timeouts.start(self.now, at_origin, mean or INITIAL_LATENCY_MS, request.event.cost_hint)
        begin_by = self._repeat_until(request)
        request.attempts.append(
            AttemptRecord(server, self.now, server.load(self.now), at_origin, counts_as_fetch, wait)
        )
        server.in_flight += 1
        self.origin.add_in_flight(self.now, int(counts_as_fetch))
        if not at_origin:
            self.shedder.in_flight += 1
            self.warm_traffic.record_send(self.now, server, self._cold_window_ms())
            if request.event.key and len(request.attempts) == 1:
                self.popularity.record_endpoint(request.event.key, server.id)
        self.actions.append(api.Send(request.ref, server.id, begin_by=begin_by))
        self._schedule_overdue(request)

    def _schedule_overdue(self, request: PendingRequest) -> None:
        fetch_ms = 3.0 * self.origin.latency_ewma if request.to_origin else 0.0
        wait = max(MIN_OVERDUE_MS, self.mean_latency + OVERDUE_DEVIATIONS * self.deviation, fetch_ms)
        self._schedule_check(
            request, self.now + min(wait, max(MIN_OVERDUE_MS, 0.6 * request.request_class.objective_ms))
        )

    def _schedule_check(self, request: PendingRequest, overdue_at: float) -> None:
        request.overdue_at = overdue_at
        request.check_at = min(
            request.overdue_at, self.timeouts.next_check_at(request.attempts[-1].wait, self.now)
        )
        if request.check_at < request.deadline:
            self.actions.append(api.SetTimer(CHECK_TIMER | request.ref, request.check_at, request.ref))

    def _finish(self, request: PendingRequest, reason: EndReason) -> None:
        """End a request unserved: refuse it if a retry is harmless, and fail it otherwise or if invalid."""
        if request.is_final:
            return
        first_unsafe = request.first_unsafe_attempt()
        if (
            (first_unsafe is None or request.repeatable)
            and self.now < request.deadline
            and reason is not EndReason.INVALID
        ):
            retry_after_ms = min(self.settings.limits.max_retry_after_ms, request.request_class.objective_ms)
            self.actions.append(api.Refuse(request.ref, retry_after_ms, reason))
        else:
            self.actions.append(api.Fail(request.ref, reason))
        self._close(request)

    def _close(self, request: PendingRequest, streamed: AttemptRecord | None = None) -> None:
        """Mark a request as answered and cancel its cache attempts; a fetch goes on, as others share it."""
        if request.is_final:
            return
        request.is_final, request.is_queued = True, False
        if self.settings.limits.allow_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.in_flight and not attempt.to_origin and attempt is not streamed:
                    self.actions.append(api.Cancel(request.ref, number))
        self._remove_if_done(request)

    def _end_fetch(self, request: PendingRequest) -> None:
        """Resume the requests that share its fetch, once it has ended, even if its own client has left."""
        if self.fetch_leaders.get(request.event.key) == request.ref:
            del self.fetch_leaders[request.event.key]
        waiters, request.waiters = request.waiters, []
        for waiter in filter(None, map(self.pending.get, waiters)):
            if not waiter.is_final:
                self._resume_waiter(waiter, request)

    def _resume_waiter(self, waiter: PendingRequest, leader: PendingRequest) -> None:
        """Continue after a shared fetch: read the stored copy, or fetch again if there is none."""
        # If the fetch never ran, as its client had left, the first waiter fetches and the others share that.
        fetches, stored = [a for a in leader.attempts[-1:] if a.to_origin], leader.missed_endpoint
        waiter.shares_fetch = not (fetches and fetches[0].never_ran)
        if waiter.shares_fetch and fetches and stored and self._is_usable(stored, waiter.slot):
            waiter.to_origin = False
            self._send(waiter, stored)
        else:
            self._fetch_from_origin(waiter)

    def _remove_if_done(self, request: PendingRequest) -> None:
        if request.is_final and not request.in_flight_count():
            self.pending.pop(request.ref, None)
            self._end_fetch(request)

    def _handle_outcome(self, event: api.AttemptEnded) -> None:
        request = self.pending.get(event.ref)
        if (
            request is None
            or event.attempt >= len(request.attempts)
            or not request.attempts[event.attempt].in_flight
        ):
            return
        attempt = request.attempts[event.attempt]
        attempt.in_flight = False
        attempt.never_ran = event.result in NEVER_RAN
        self.timeouts.finish(attempt.wait, self.now, event.malformed or event.result in ANSWERED_RESULTS)
        if (
            event.result is Result.OK
            and len(request.attempts) > 1
            and self.now <= self._useful_until(request)
        ):
            self.timeouts.record_success(each.wait for each in request.attempts)
        self._record_response(request, attempt, event)
        if event.closes_request or event.result is Result.TIMEOUT:
            self.shedder.record_loss(
                1.0 - request.request_class.late_share if self.now > request.objective_at else 0.0
            )
        if event.closes_request:
            self._close(request)
        if request.is_final:
            self._remove_if_done(request)
        else:
            self._continue_request(request, attempt, event)
        if attempt.counts_as_fetch:
            self._admit_queued()

    def _continue_request(
        self, request: PendingRequest, attempt: AttemptRecord, event: api.AttemptEnded
    ) -> None:
        """Fetch, finish or retry after an attempt that did not serve the request."""
        if event.result is Result.MISS and self.settings.mode is Mode.ASIDE:
            request.missed_endpoint = request.missed_endpoint or attempt.server
            if not request.in_flight_count():
                self._fetch_from_origin(request)
        elif event.body_consumed and not request.in_flight_count():
            self._finish(request, EndReason.BODY_CONSUMED)
        elif event.result is Result.INVALID:
            self._finish(request, EndReason.INVALID)  # every attempt would end the same way
        elif not request.in_flight_count():
            # a broken connection costs none of the budget, which is there to limit retries under load
            self._retry(request, is_free=event.result in NO_LOAD_SIGNAL or attempt.wait.is_abandoned)

    def _record_response(
        self, request: PendingRequest, attempt: AttemptRecord, event: api.AttemptEnded
    ) -> None:
        """Learn from one result: health and load of its endpoint, then the state of the origin or cache."""
        server, result = attempt.server, event.result
        server.in_flight -= 1
        self._record_load_report(server, event.load_report)
        # A malformed response is a liveness signal. A reset alone is no failure: if the process is gone,
        # connects fail.
        if result in SILENT_RESULTS:
            self._record_silence(server)
        elif event.malformed or result not in NO_HEALTH_SIGNAL:
            self._record_success(server)
        self.origin.add_in_flight(self.now, -int(attempt.counts_as_fetch))
        if attempt.to_origin:
            # How long a server takes for a long body says nothing about others.
            if not request.event.is_partial:
                self._learn_from_origin(attempt, event)
        else:
            self._learn_from_cache(request, attempt, event)

    def _learn_from_origin(self, attempt: AttemptRecord, event: api.AttemptEnded) -> None:
        result, now = event.result, self.now
        is_hung = result is Result.TIMEOUT and self.timeouts.is_hung(attempt.wait, self.origin.is_slow())
        if event.malformed or (result not in (*NO_HEALTH_SIGNAL, *NO_LOAD_SIGNAL) and not is_hung):
            succeeded = event.malformed or result in (Result.OK, Result.INVALID)
            self.origin.record_fetch(now, event.latency_ms, succeeded)
        elif result is Result.CONNECTION_LIMIT:  # more connects would use up what the origin accepts
            self.origin.reduce_limit(now)
            self.origin.pause_end = max(self.origin.pause_end, now + self.rng.random() * CONNECT_PAUSE_MS)

    def _learn_from_cache(
        self, request: PendingRequest, attempt: AttemptRecord, event: api.AttemptEnded
    ) -> None:
        server, result, now = attempt.server, event.result, self.now
        is_silent = result in SILENT_RESULTS
        self.shedder.in_flight -= 1
        missed = result is Result.MISS or event.cache_status in (2, 3)
        # Without a liveness signal since the send, a timeout says nothing about the origin's load.
        is_alive = server.last_response_at > attempt.sent_at
        failed = attempt.counts_as_fetch and (
            result is Result.ERROR or (result is Result.TIMEOUT and is_alive)
        )
        if self.settings.mode is Mode.THROUGH and (missed or failed):
            self.origin.record_fetch(now, event.latency_ms, result is Result.OK)
        if request.event.key and (is_silent or result in (Result.RESET, Result.ERROR)):
            self.popularity.record_endpoint(request.event.key, 0)
        if not missed and result in (Result.OK, Result.TIMEOUT, Result.BUSY):
            is_slow = (
                result is not Result.OK
                or event.latency_ms > SLOW_RESPONSE_SHARE * request.request_class.objective_ms
            )
            server.adjust_concurrency_limit(now, event.latency_ms, is_slow)
            # not in read-through mode, where fetches slow responses, nor without a liveness signal
            if self.settings.mode is Mode.ASIDE and (not is_slow or is_alive or result is not Result.TIMEOUT):
                self.shedder.adjust_limit(now, event.latency_ms, is_slow)
        if result is Result.OK and not missed:
            server.record_latency(now, event.latency_ms, attempt.load_at_send)
            self.latency_per_request += (
                event.latency_ms / (1.0 + attempt.load_at_send) - self.latency_per_request
            ) * 0.02
            self.deviation += (abs(event.latency_ms - self.mean_latency) - self.deviation) * 0.05
            self.mean_latency += (event.latency_ms - self.mean_latency) * 0.05
        elif result is Result.BUSY:
            server.record_latency(now, request.request_class.objective_ms, attempt.load_at_send)
        if request.in_keep_pool and result not in (*NO_HEALTH_SIGNAL, Result.INVALID):
            bad = (
                is_silent
                or result in (Result.ERROR, Result.BUSY)
                or event.latency_ms > request.request_class.objective_ms
            )
            # A keep-pool miss is bad only while the origin is short. While nodes are short, counting it would
            # cut k' to its minimum.
            is_short = self.pools.wide_share > 0 and self.origin_shortages > 0
            self.popularity.record_attempt(bad or (missed and is_short))

    def _record_load_report(self, server: EndpointState, load_report: tuple[float, ...]) -> None:
        fields = dict(zip(self.settings.report_fields, load_report, strict=False))
        active = fields.get("active")
        if active is None and "waiting" in fields:
            active = fields["waiting"] + min(server.in_flight, 1)  # running requests are not reported
        if active is not None and active == active:
            server.record_load_report(self.now, active)

    def _retry(self, request: PendingRequest, is_free: bool) -> None:
        """Start another attempt if the retry budget and the time left allow it."""
        if (self.retry_budget < 1.0 and not is_free) or self.now >= self._useful_until(request):
            self._finish(
                request, EndReason.BUDGET if self.now < self._useful_until(request) else EndReason.NO_TIME
            )
            return
        self.retry_budget -= not is_free
        is_last = (
            self.settings.mode is Mode.ASIDE
            and len(request.attempts) == request.limits.max_attempts - 1 <= MAX_ATTEMPTS_BEFORE_FETCH
        )
        if request.to_origin or is_last:  # a miss would leave no attempt for the fetch
            self._fetch_from_origin(request)
        else:
            self._send_to_cache(request)

    def _handle_timer(self, token: int) -> None:
        kind, request = token & TIMER_KIND_MASK, self.pending.get(token & ~TIMER_KIND_MASK)
        if token == DISCOVERY_TIMER:
            self._call_discovery_if_due()
        elif kind == TICK_TIMER:
            self._tick()
        elif request is not None and kind == DEADLINE_TIMER and self.now >= request.deadline:
            self._finish(request, EndReason.DEADLINE)
            self._end_fetch(request)  # what hangs there holds up no waiter longer
        elif (
            request is not None
            and kind == CHECK_TIMER
            and not request.is_final
            and self.now >= request.check_at
        ):
            self._expire_attempt(request)

    def _expire_attempt(self, request: PendingRequest) -> None:
        """Check the only attempt of a request after a while without a response."""
        # An endpoint that has responded to other requests since is slow, not silent: then waiting is cheaper.
        if request.in_flight_count() != 1:
            return
        number = next(n for n, a in enumerate(request.attempts) if a.in_flight)
        if request.is_partial:
            self._schedule_overdue(request)  # the client is still sending, so no response can be due
        elif self._try_abandon(request, number):
            self.actions.append(api.Cancel(request.ref, number))
        elif self.now < request.overdue_at:
            self._schedule_check(request, request.overdue_at)
        else:
            self._handle_overdue(request, number)

    def _is_movable(self, request: PendingRequest) -> bool:
        """Return whether another attempt may follow the present one; no body that came in parts is held."""
        has_attempt_left = len(request.attempts) < request.limits.max_attempts - 1
        return (
            has_attempt_left
            and request.repeatable
            and not request.event.is_partial
            and self.now <= self._repeat_until(request)
        )

    def _try_abandon(self, request: PendingRequest, number: int) -> bool:
        """Abandon an attempt if another one has the better chance in the time left; return whether it did."""
        attempt, now = request.attempts[number], self.now
        time_left = self._useful_until(request) - now
        is_short = self.origin_shortages > 0 or bool(self.origin.queue)
        may_move = request.limits.allow_cancel and self._is_movable(request)
        if not may_move or not self.timeouts.may_abandon(attempt.wait, now, time_left, is_short):
            return False
        other, cache_ms = (attempt.server, None) if attempt.to_origin else self._choose_endpoint(request)
        fetch_ms = (
            None if self.settings.mode is Mode.THROUGH else self.origin.latency_ewma or INITIAL_LATENCY_MS
        )
        return other is not None and self.timeouts.try_abandon(
            attempt.wait, now, time_left, cache_ms, fetch_ms
        )

    def _handle_overdue(self, request: PendingRequest, number: int) -> None:
        attempt, limits = request.attempts[number], request.limits
        server = attempt.server
        waited = self.now - attempt.sent_at
        # Neither one long fetch nor one that hangs may close the admission of a healthy origin.
        is_hung = attempt.to_origin and self.timeouts.is_hung(attempt.wait, self.origin.is_slow())
        is_responsive_fetch = (
            attempt.counts_as_fetch
            and not is_hung
            and (attempt.to_origin or server.last_response_at > attempt.sent_at)
        )
        if is_responsive_fetch and waited > max(
            LATE_FETCH_SHARE * request.request_class.objective_ms, 3.0 * self.origin.latency_ewma
        ):
            self.origin.reduce_limit(self.now)  # before the fetch fails
        if not attempt.to_origin:
            server.record_latency(self.now, waited, attempt.load_at_send)
            if waited > SLOW_RESPONSE_SHARE * request.request_class.objective_ms:
                server.adjust_concurrency_limit(self.now, waited, True)
        if attempt.to_origin or server.last_response_at > attempt.sent_at:
            self._schedule_overdue(request)
            return
        self._record_silence(server)
        self._probe(server)
        if not server.ejected:
            self._schedule_overdue(request)  # one long wait does not prove silence: no duplicate attempt yet
        elif not self._is_movable(request) or self.retry_budget < 1.0:
            self._schedule_check(request, inf)  # no further check: its endpoint is ejected already
        elif limits.allow_hedging:
            other, wait = self._choose_endpoint(request)
            if other is not None and wait < request.request_class.objective_ms:
                self.retry_budget -= 1.0
                self._send(request, other)
        elif limits.allow_cancel:
            self.actions.append(api.Cancel(request.ref, number))

    def _start_response(self, event: api.FirstByte) -> None:
        request = self.pending.get(event.ref)
        if request is not None and event.attempt < len(request.attempts):
            attempt = request.attempts[event.attempt]
            self._record_success(attempt.server)
            self._close(request, attempt)  # the stream is the final answer; its end is an outcome

    def _record_success(self, server: EndpointState) -> None:
        was_ejected = server.ejected
        server.record_success(self.now, self.settings.rules, self.endpoints.calls.is_subscribed)
        if was_ejected:
            self.ejected.pop(server.id, None)
            self.warm_traffic.update(server, self.now)

    def _record_silence(self, server: EndpointState) -> None:
        if server.record_silence(self.now):
            self.ejected[server.id] = server
            self.warm_traffic.update(server, self.now)
            self._log(
                "failing",
                f"endpoint {server.id} is ejected: no liveness signal; its slots go to other endpoints",
            )

    def _log(self, kind: str, text: str) -> None:
        """Log a line for operators, at most one of a kind in LOG_INTERVAL_MS."""
        if self.now >= self.logged_at.get(kind, float("-inf")) + LOG_INTERVAL_MS:
            self.logged_at[kind] = self.now
            self.actions.append(api.Log(text))

    def _log_overload(self) -> None:
        queue = self.origin.queue
        for kind, on, text in (
            (
                "wide",
                self.pools.wide_share >= 0.5,
                "home zone or origin is short of capacity: overflow slots are placed fleet-wide",
            ),
            (
                "late",
                self.shedder.wait_share < 0.7,
                "responses are late: requests are refused at shorter expected waits",
            ),
            ("origin", len(queue) > self.origin.limit, f"{len(queue)} requests are queued for the origin"),
            ("list", self.endpoints.calls.is_failing(), "discovery does not respond"),
        ):
            if on:
                self._log(kind, text)

    def _tick(self) -> None:
        self.actions.append(api.SetTimer(TICK_TIMER, self.now + 100.0))
        self.shedder.min_limit = max(1.0, MIN_IN_FLIGHT_PER_ENDPOINT * self.pools.endpoints_per_router)
        self._call_discovery_if_due()
        if self.now - self.last_control_at >= CONTROL_INTERVAL_MS:
            self.last_control_at = self.now
            self.popularity.adjust_limit()
            self.shedder.adjust_wait_share()
            self._log_overload()
            self.pools.adjust_wide_share(self.origin_shortages >= 3)
            self.origin_shortages = 0
        stale = dict.fromkeys(entry for entry in self.origin.queue if self._is_late(entry[2]))
        for request in filter(None, (self.pending.get(ref) for _, _, ref in stale)):
            if request.is_queued:
                # at once: a client that waits longer would retry all the same
                self._finish(request, EndReason.QUEUE_TIMEOUT)
        if stale:
            self.origin.queue = [entry for entry in self.origin.queue if entry not in stale]
            heapq.heapify(self.origin.queue)
        self._admit_queued()
        self.origin_shortages += bool(self.origin.queue) or self.origin.is_slow()
        self._send_probes()

    def _call_discovery_if_due(self) -> None:
        if self.endpoints.calls.begin_due_call(self.now):
            self.actions.append(api.Watch(True))

    def count_avoided(self) -> int:
        """Return how many listed endpoints get no requests, as they are ejected or drain."""
        listed = (s for s in self.endpoints.states.values() if s.status is not Status.REMOVED)
        return sum(s.ejected or s.status is Status.DRAINING for s in listed)

    def _probe(self, server: EndpointState) -> None:
        if self.settings.limits.allow_probes and not server.probing and server.status is Status.READY:
            server.probing = True
            self.actions.append(api.Probe(server.id))

    def _send_probes(self) -> None:
        """Probe ejected endpoints that are due and, within the probe budget, another one for its load."""
        for server in list(self.ejected.values()):
            if not server.ejected or self.endpoints.states.get(server.id) is not server:
                del self.ejected[server.id]
            elif server.status is Status.READY and self.now >= server.probe_at:
                self._probe_ejected(server)
        pool = self.pools.home_zone
        if self.probe_budget >= 1.0 and pool and self.settings.report_fields:
            self.probe_index += 1
            self.probe_budget -= 1.0
            self._probe(pool[self.probe_index % len(pool)])

    def _probe_ejected(self, server: EndpointState) -> None:
        server.probes += 1
        server.probe_at = self.now + min(MAX_PROBE_DELAY_MS, PROBE_DELAY_MS * 2.0**server.probes)
        if self.settings.limits.allow_probes:
            self._probe(server)
        else:
            # the next request serves as the probe: one failure ejects the endpoint again
            server.consecutive_failures = EJECT_AFTER_FAILURES - 1
            server.ejected = False
            del self.ejected[server.id]
            self.warm_traffic.update(server, self.now)

    def _record_probe(self, event: api.ProbeResult) -> None:
        server = self.endpoints.states.get(event.endpoint_id)
        if server is None:
            return
        server.probing = False
        if event.result is Result.OK:
            self._record_success(server)
            self._record_load_report(server, event.load_report)
        elif event.result in SILENT_RESULTS:
            self._record_silence(server)
