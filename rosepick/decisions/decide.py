"""All routing decisions; `rosepick/decisions/api.py` defines the events that come in and the actions.

A read: `PopularityFilter` says whether its key is among the top k' of this router's LRU list (keep pool) or
not (overflow pool), `EndpointPools` maps it to a slot and to an endpoint of that pool in the home zone, and
`Router` sends. In aside mode a miss or a write goes on to the origin (`OriginAdmission`). All sends pass
`Router._send`, all refusals `Router._finish`, which keep the rules; docs/architecture.md has the exceptions.
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

FILTER_CAPACITY = 20_000  # key names held: far more than one router meets while an object stays cached
INITIAL_TOP_SIZE = 4_000  # k' at the start: a key met twice is kept until errors or latency say otherwise
MIN_TOP_SIZE = 8  # k' never falls below this, so that the most popular keys stay in the keep pool
TOP_CUT_FACTOR = 0.8  # k' after a round with too many bad attempts ...
TOP_GROWTH_FACTOR = 1.05  # ... and after a calm one: down fast, up slowly
MAX_BAD_SHARE = 0.12  # share of keep-pool attempts that may end badly or slowly
CONTROL_INTERVAL_MS = 500.0  # how often control loops run; long enough for a few dozen responses

HEAT_MEMORY_READS = 500.0  # reads over which a key's share of this router's reads is learned ...
HEAT_PRIOR_READS = 30.0  # ... and how many it takes before a repeat says much
HOLDER_GROUP = 8  # holders of a hot key that follow each other in the order of one slot
MAX_CANDIDATES = 4  # candidates considered in a pool: more would scatter a key's copies

WAIT_BOUND_SHARE = 0.45  # of the objective: a holder expected to take longer passes the request to the next
MOVE_WAIT_FACTOR = 0.6  # a move must promise at least this much less waiting, since it may cost a fetch

INITIAL_IN_FLIGHT = 64.0  # attempts in flight at all cache nodes: no limit until responses become slow ...
MIN_IN_FLIGHT_EACH = 8.0  # in flight per endpoint that all routers together may always have, 1 each at least
IN_FLIGHT_CUT = 0.85  # ... then cut by this factor at a slow response, regrown by good ones
MAX_LATE_LOSS = 0.12  # share of their worth that late responses may lose before refusals come earlier
LATE_CUT_FACTOR = 0.85
LATE_GROWTH_FACTOR = 1.1
MIN_WAIT_SHARE = 0.4  # of the objective: the wait limit is never lower

FIRST_GUESS_MS = 40.0  # latency of an endpoint that never responded
MAX_PROBE_DELAY_MS = 1_600.0  # ... this
OVERDUE_DEVIATIONS = 4.0  # deviations above the mean before a response is overdue
MIN_OVERDUE_MS = 60.0  # never check sooner
PROBES_PER_REQUEST = 0.15  # probes earned by a request, where there are load reports

RETRIES_PER_REQUEST = 0.2  # retries earned by a request: at most a fifth of the traffic
FEW = 2  # attempts after which the last one is worth a fetch; after more, time is short too
MAX_RETRY_BUDGET = 12.0  # and a burst of failures has this many

SLOW_SHARE = 0.5
WORTH_HEADROOM = 0.5  # requests of the highest worth may exceed a limit by this share

THROUGH_FETCHES = 24.0  # through mode: initial limit of fetches in flight
ASIDE_FETCHES = 96.0  # aside mode: initial fetches in flight, divided among all routers, each at least
MIN_ASIDE_FETCHES = 2.0  # this: no limit until the origin fails or slows down, then it adapts
MAX_FETCHES = 64.0
OVERLOAD_RATIO = 2.0  # times the least smoothed latency: the origin is overloaded ...
OVERLOAD_SHARE = 0.5  # ... never below this share of the shortest objective, always above that of the longest
STRAIN_RATIO = 1.7  # times the least smoothed latency: the origin is strained, overflow should spread
FETCH_SAMPLES = 10  # fetches before its latency says anything
BEST_DRIFT = 1.002  # the least latency grows by this factor a fetch, as an origin may change
FETCH_CUT_FACTOR = 0.75
LOW_FETCH_CUT_FACTOR = 0.5  # under 1, where a router has few fetches to learn from
MIN_FETCHES = 0.1  # aside mode. Under 1: a fetch, then a pause; 1 at each of hundreds of routers overloads
FETCH_GROWTH_FACTOR = 2.0  # growth of a limit under 1 by a good fetch
MAX_FETCH_PAUSE_MS = 2_000.0  # no pause is longer
CONNECT_PAUSE_MS = 200.0  # at most, before another connection to an origin at its connection limit
BUSY_MEMORY_MS = 3_000.0  # the mean of fetches in flight is taken over about this time
LATE_FETCH_SHARE = 0.6  # of the objective: a fetch in flight for longer says the same as a failed one

COLD_REMOTE_FACTOR = 0.7  # of a cold endpoint's budget, where no neighbour in its own zone is warm
MIN_COLD_SENDS = 4.0  # sends in a window by all routers to a cold endpoint; 1 each of up to twice as many
LOG_INTERVAL_MS = 5_000.0  # at most one log line of a kind in this time
OVER_SHARE_ODDS = 1.3  # a tenant this far over its share of the traffic counts as over it ...
TENANT_RATE_WINDOW_MS = 6_000.0  # ... in about this time: a few seconds hold too few requests to tell

CHECK_TIMER, DEADLINE_TIMER, TICK_TIMER = 1 << 60, 2 << 60, 3 << 60  # low bits: the request
CALL_TIMER = TICK_TIMER | 1  # the next call to discovery is due
TIMER_KIND_MASK = 3 << 60
SILENT_RESULTS = (Result.TIMEOUT, Result.CONNECT_FAILED)  # no liveness signal
NO_LOAD_SIGNAL = (Result.CONNECT_FAILED, Result.RESET, Result.CONNECTION_LIMIT, Result.NEVER_SENT)
ANSWERED_RESULTS = (Result.OK, Result.MISS, Result.ERROR, Result.INVALID)
NO_HEALTH_SIGNAL = (Result.NEVER_SENT, Result.CANCELLED, Result.RESET, Result.CONNECTION_LIMIT)


class PopularityFilter:
    """The LRU list of key names in two segments, top k' and tail, and the loop that moves k'."""

    def __init__(self) -> None:
        # oldest first; value: endpoint last sent to, reads of the key (fading), number of the last read
        self.top: OrderedDict[int, tuple[int, float, int]] = OrderedDict()
        self.tail: OrderedDict[int, tuple[int, float, int]] = OrderedDict()
        self.top_limit = INITIAL_TOP_SIZE
        self.reads = self.attempts = self.bad_attempts = 0  # keep-pool responses since the last check

    def touch(self, key: int) -> tuple[bool, int, float]:
        """Make a key the youngest; return (was in the top k', endpoint last used, share of the reads)."""
        self.reads += 1
        entry = self.top.get(key)
        last_id, reads, read_number = entry or self.tail.pop(key, (0, 0.0, self.reads))
        reads *= exp((read_number - self.reads) / HEAT_MEMORY_READS)
        self.top[key] = last_id, reads + 1.0, self.reads
        self.top.move_to_end(key)
        if entry is None:
            self._rebalance()
        return entry is not None, last_id, reads / (min(self.reads, HEAT_MEMORY_READS) + HEAT_PRIOR_READS)

    def _rebalance(self) -> None:
        """Move keys over the border k'; a few steps a touch keep the work bounded."""
        for _ in range(4):
            if len(self.top) <= self.top_limit:
                break
            old, entry = self.top.popitem(last=False)
            self.tail[old] = entry
        if len(self.top) + len(self.tail) > FILTER_CAPACITY and self.tail:
            self.tail.popitem(last=False)

    def record_endpoint(self, key: int, endpoint_id: int) -> None:
        """Record where a key was sent, to distinguish an eviction from a first read."""
        if key in self.top:
            self.top[key] = (endpoint_id, *self.top[key][1:])

    def record_attempt(self, is_bad: bool) -> None:
        """Record one response of the keep pool."""
        self.attempts += 1
        self.bad_attempts += is_bad

    def adjust_limit(self) -> None:
        """Shrink k' while too many keep-pool attempts are bad, else grow it slowly."""
        if self.attempts < MIN_SAMPLES:
            return
        if self.bad_attempts > MAX_BAD_SHARE * self.attempts:
            # from the present length: an unfilled top segment would hide the first cuts
            self.top_limit = max(MIN_TOP_SIZE, int(min(self.top_limit, len(self.top)) * TOP_CUT_FACTOR))
        else:
            self.top_limit = min(FILTER_CAPACITY, int(self.top_limit * TOP_GROWTH_FACTOR) + 1)
        self.attempts = self.bad_attempts = 0
        for _ in range(64):  # the border follows k' upward a little at a time
            if len(self.top) >= self.top_limit or not self.tail:
                break
            key, entry = self.tail.popitem()
            self.top[key] = entry
            self.top.move_to_end(key, last=False)


class OriginAdmission:
    """How many fetches this router may have in flight at the origin, and the queue for them."""

    def __init__(self, settings: api.RouterSettings) -> None:
        self.configure(settings)
        aside = settings.mode is Mode.ASIDE
        self.limit = max(MIN_ASIDE_FETCHES, ASIDE_FETCHES / settings.routers) if aside else THROUGH_FETCHES
        # no pauses in through mode: latency includes the wait at the cache, which no pause shortens
        self.min_limit = MIN_FETCHES if aside else 1.0
        self.in_flight = self.total = self.sequence = 0
        self.pause_end = self.last_cut_at = float("-inf")
        self.busy = self.busy_at = 0.0  # mean of fetches in flight
        # the EWMA is compared with its own least: single latencies spread widely on a healthy origin
        self.best = self.latency_ewma = 0.0
        self.queue: list[tuple[float, int, int]] = []

    def configure(self, settings: api.RouterSettings) -> None:
        """Derive the latency bounds, in ms, from the objectives of the request classes."""
        objectives = [c.objective_ms for c in settings.classes]
        self.slow_ms = OVERLOAD_SHARE * min(objectives)
        # Capped, as a router restarted in an overload takes that for its best; through mode adds cache waits.
        self.max_slow_ms = OVERLOAD_SHARE * max(objectives) if settings.mode is Mode.ASIDE else inf

    def admits(self, now: float) -> bool:
        """Return whether one more fetch may be sent."""
        return self.in_flight < max(1, int(self.limit)) and now >= self.pause_end

    def add_in_flight(self, now: float, delta: int) -> None:
        """Count a fetch that begins (1) or ends (-1)."""
        self.busy += (self.in_flight - self.busy) * (1.0 - exp(min(0.0, self.busy_at - now) / BUSY_MEMORY_MS))
        self.busy_at = now
        self.in_flight += delta

    def is_strained(self) -> bool:
        """Return whether fetches take clearly longer than they did at best."""
        return self.total >= FETCH_SAMPLES and self.latency_ewma > max(STRAIN_RATIO * self.best, self.slow_ms)

    def enqueue(self, worth: float, ref: int) -> None:
        """Queue a request: highest worth first, then the latest, which can still be in time."""
        self.sequence += 1
        heapq.heappush(self.queue, (-worth, -self.sequence, ref))

    def reduce_limit(self, now: float) -> None:
        """Cut the limit from what is in use, as it may never have been reached; not at each response."""
        if now - self.last_cut_at > max(100.0, min(400.0, self.latency_ewma)):
            in_use = max(1.0, 2.0 * self.busy + min(2.0, 2.0 * self.busy))
            cut = FETCH_CUT_FACTOR if self.limit >= 1.0 else LOW_FETCH_CUT_FACTOR
            self.limit = max(self.min_limit, min(self.limit, in_use) * cut)
            self.last_cut_at = now

    def record_fetch(self, now: float, sample_ms: float, succeeded: bool) -> None:
        """Adapt to one fetch: additive increase, multiplicative decrease."""
        self.latency_ewma += (sample_ms - self.latency_ewma) * EWMA_WEIGHT if self.latency_ewma else sample_ms
        self.total += 1
        if self.total >= FETCH_SAMPLES:
            self.best = min(self.best * BEST_DRIFT, self.latency_ewma) if self.best else self.latency_ewma
        # A quick fetch is no sign of overload, though timeouts may have raised the mean.
        max_ms = max(self.slow_ms, min(self.max_slow_ms, OVERLOAD_RATIO * self.best))
        if not succeeded or (self.total >= FETCH_SAMPLES and min(sample_ms, self.latency_ewma) > max_ms):
            self.reduce_limit(now)
        elif self.limit < 1.0:
            self.limit *= FETCH_GROWTH_FACTOR
        elif self.in_flight + 1 >= int(self.limit) * 0.7:  # int as in `admits`: else 1.5 never regrows
            self.limit = min(MAX_FETCHES, self.limit + 2.0 / self.limit)
        if self.limit < 1.0:
            self.pause_end = now + min(MAX_FETCH_PAUSE_MS, self.latency_ewma * (1.0 / self.limit - 1.0))


class TenantShares:
    """Which requests exceed their tenant's share, by odds against the others' traffic at this router."""

    def __init__(self, settings: api.RouterSettings) -> None:
        self.updated_at = 0.0
        self.rates: list[float] = []
        self.balances: list[float] = []
        self.configure(settings)

    def configure(self, settings: api.RouterSettings) -> None:
        """Apply the tenants' shares; tenants are never fewer than before."""
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
        allowed = OVER_SHARE_ODDS * share / (1.0 - share) * (total - self.rates[tenant])
        self.balances[tenant] = min(3.0, self.balances[tenant] + min(1.0, allowed / self.rates[tenant]))
        if self.balances[tenant] < 1.0:
            return True
        self.balances[tenant] -= 1.0
        return False


class LoadShedder:
    """Learns from late responses which share of the objective an expected wait may take."""

    # Otherwise an overloaded fleet serves every request a little too late, which is worth nothing.
    def __init__(self) -> None:
        self.wait_share = 1.0
        self.responses, self.late_loss = 0, 0.0  # since the last adjustment
        self.in_flight, self.limit = 0, INITIAL_IN_FLIGHT  # attempts at cache nodes
        self.min_limit, self.last_cut_at = 1.0, float("-inf")

    def is_overloaded(self, relative_worth: float) -> bool:
        """Whether a request of this worth (0 to 1) is too much beside what this router has in flight."""
        # For a burst that overloads every endpoint before a router with few responses sees them come late.
        return self.in_flight >= self.limit * (1.0 + WORTH_HEADROOM * relative_worth)

    def adjust_limit(self, now: float, latency_ms: float, is_slow: bool) -> None:
        """Adapt to one cache response: additive increase, multiplicative decrease."""
        if not is_slow:
            if self.in_flight + 1 >= self.limit * 0.5:
                self.limit = min(INITIAL_IN_FLIGHT, self.limit + 1.0 / self.limit)
        elif now - self.last_cut_at > max(100.0, min(400.0, latency_ms)):
            self.limit = max(self.min_limit, min(self.limit, 2.0 * self.in_flight + 2.0) * IN_FLIGHT_CUT)
            self.last_cut_at = now

    def record_loss(self, lost_worth: float) -> None:
        """Record one response, and the part of its worth that was lost because it was late."""
        self.responses += 1
        self.late_loss += lost_worth

    def adjust_wait_share(self) -> None:
        """Lower the wait limit while many responses are late, raise it slowly."""
        if self.responses < MIN_SAMPLES:
            return
        if self.late_loss > MAX_LATE_LOSS * self.responses:
            self.wait_share = max(MIN_WAIT_SHARE, self.wait_share * LATE_CUT_FACTOR)
        else:
            self.wait_share = min(1.0, self.wait_share * LATE_GROWTH_FACTOR)
        self.responses, self.late_loss = 0, 0.0


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request."""

    server: EndpointState
    sent: float
    load_at_send: float
    to_origin: bool
    gated: bool
    wait: AttemptWait
    in_flight: bool = True
    never_ran: bool = False  # proved never to have run


@dataclass(slots=True)
class PendingRequest:
    """A request from its arrival until its final answer and the end of its last attempt."""

    ref: int
    event: api.RequestArrived
    klass: api.RequestClass
    limits: api.RouterLimits  # as it was accepted with, like its class
    begun_at: float
    deadline: float
    slot: int
    in_keep_pool: bool
    last_endpoint_id: int
    holders: int  # holders of its key
    worth: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    is_final: bool = False
    to_origin: bool = False
    is_queued: bool = False
    shares_fetch: bool = False
    check_at: float = 0.0  # when to check its attempt, which is overdue from ...
    overdue_at: float = 0.0  # ... this time on
    missed_endpoint: EndpointState | None = None
    is_partial: bool = False
    waiters: list[int] = field(default_factory=list)

    @property
    def objective_at(self) -> float:
        """When its full worth is lost (ms)."""
        return min(self.deadline, self.begun_at + self.klass.objective_ms)

    @property
    def repeatable(self) -> bool:
        """Whether a retry may go to any endpoint, and a refusal is correct although it may have run."""
        klass = self.klass
        return klass.effect is Effect.RETRYABLE or (klass.effect is Effect.DEDUP and klass.group is Group.ALL)

    def in_flight_count(self) -> int:
        """Return the number of attempts in flight."""
        return sum(a.in_flight for a in self.attempts)

    def first_unsafe_attempt(self) -> AttemptRecord | None:
        """Return the first attempt that may have run, if any."""
        return next((a for a in self.attempts if not a.never_ran), None)


EndpointChoice = tuple[EndpointState | None, float]  # with its expected latency in ms


class Router:
    """One router instance, which makes all sends and enforces the rules."""

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
        self.service_time = FIRST_GUESS_MS  # latency for each request that an endpoint holds, fleet-wide
        self.mean_latency, self.deviation = 100.0, 50.0  # latency of cache responses
        self._reconfigure(settings)
        self.has_started, self.now, self.last_control_at = False, 0.0, 0.0
        self.actions: list[api.Action] = []
        self.logged_at: dict[str, float] = {}
        self.origin_waits = 0  # checks at which a request waited for the origin
        self.timeouts = AdaptiveTimeout()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event, at `now` in ms; return the actions to carry out, in order."""
        self.now = now
        self.actions = []
        if not self.has_started:
            self.has_started = True
            self.actions.append(api.SetTimer(TICK_TIMER, now + 50.0))
            self._call_discovery_if_due()  # at once: what is known now may be old
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
                if (job := self.pending.get(event.ref)) is not None:
                    self._close(job)
            case api.FirstByte():
                self._start_response(event)
            case _:
                self._handle_fleet_event(event)
        return self.actions

    def _handle_fleet_event(self, event: api.Event) -> None:
        """Handle an event of no request. Peers' messages are ignored: a router trusts its own outcomes."""
        match event:
            case api.EndpointUpdate(scope=UpdateScope.FAILED):
                due_at = self.endpoints.calls.record_failure(self.now)
                self.actions.append(api.SetTimer(CALL_TIMER, due_at))
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
        self.pools.update(changed)  # at once: an attempt that ends with this list is repeated by it

    def _reconfigure(self, settings: api.RouterSettings) -> None:
        """Apply new settings; learned state, and pending requests with their class, stay."""
        self.settings = self.endpoints.settings = self.pools.settings = settings
        self.endpoints.calls.settings = settings
        self.origin.configure(settings)
        self.tenants.configure(settings)
        self.max_worth = max(c.worth for c in settings.classes) or 1.0

    def _accept_request(self, event: api.RequestArrived) -> None:
        classes = self.settings.classes
        if event.ref in self.pending:
            return
        klass = classes[event.class_index] if event.class_index < len(classes) else classes[0]
        aside_write = event.is_write and self.settings.mode is Mode.ASIDE
        in_keep_pool, last_endpoint_id, read_share = False, 0, 0.0
        if not event.key:
            in_keep_pool = hash_to_unit(event.ref) < self.pools.keep_share  # no rank
        elif not aside_write:
            in_keep_pool, last_endpoint_id, read_share = self.popularity.touch(event.key)
            self.pools.record_read(in_keep_pool)
        is_over_share = self.tenants.is_over_share(self.now, event.tenant_index)
        job = PendingRequest(
            ref=event.ref,
            event=event,
            klass=klass,
            limits=self.settings.limits,
            begun_at=self.now,
            deadline=self.now + max(0.0, event.time_left_ms),
            is_partial=event.is_partial,
            slot=hash64(event.key or event.ref) % SLOT_COUNT,
            in_keep_pool=in_keep_pool,
            last_endpoint_id=last_endpoint_id,
            holders=self.pools.holder_count(read_share) if in_keep_pool else 1,
            worth=klass.worth * (self.settings.over_share_worth if is_over_share else 1.0),
        )
        self.pending[event.ref] = job
        self.actions.append(api.SetTimer(DEADLINE_TIMER | event.ref, job.deadline))
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)
        self.timeouts.budget.record_request()
        self.probe_budget = min(40.0, self.probe_budget + PROBES_PER_REQUEST)
        if aside_write:
            self._fetch_from_origin(job)
        else:
            self._send_to_cache(job)

    def _complete_request(self, event: api.RequestCompleted) -> None:
        """Start the time of a request, and of its attempt, as its last byte has come."""
        job = self.pending.get(event.ref)
        if job is None or job.is_final or not job.is_partial:
            return
        job.is_partial, job.begun_at, job.deadline = False, self.now, self.now + max(0.0, event.time_left_ms)
        self.actions.append(api.SetTimer(DEADLINE_TIMER | job.ref, job.deadline))
        for attempt in filter(lambda a: a.in_flight, job.attempts):
            attempt.sent, attempt.gated = self.now, attempt.to_origin or self._may_fetch(job, attempt.server)
            self.origin.add_in_flight(self.now, int(attempt.gated))
            attempt.wait = self.timeouts.start(self.now, attempt.to_origin, attempt.wait.expected_ms)
            self._schedule_overdue(job)

    def _send_to_cache(self, job: PendingRequest) -> None:
        """Send to the holder of the key's slot, or to the next in order that is quick enough."""
        if not job.attempts and self.shedder.is_overloaded(job.worth / self.max_worth):
            self._finish(job, EndReason.OVERLOADED)
            return
        server, wait = self._choose_endpoint(job)
        if server is None:
            self._finish(job, EndReason.NO_ENDPOINT)
            return
        limit = job.klass.objective_ms * self.shedder.wait_share * (0.6 + 0.4 * job.worth / self.max_worth)
        if wait > limit and not job.attempts:
            # no response in time is expected; low worth and tenants over their share are refused first
            self._finish(job, EndReason.TOO_SLOW)
            return
        if self._may_fetch(job, server) and not (self.origin.admits(self.now) or job.is_partial):
            # writes too: they and their retries alone can keep a failing origin down
            job.is_queued = True
            self.origin.enqueue(job.worth, job.ref)
            return
        self._send(job, server)

    def _may_fetch(self, job: PendingRequest, server: EndpointState) -> bool:
        """Whether the endpoint likely fetches from the origin (through mode), which has its own limit."""
        lacking = job.event.key != 0 and not self._is_cached(job, server)
        return self.settings.mode is Mode.THROUGH and (job.event.is_write or lacking)

    def _is_cached(self, job: PendingRequest, server: EndpointState) -> bool:
        """Whether the key was sent to this endpoint before, or to another of its holders."""
        return job.last_endpoint_id == server.id or (job.holders > 1 and job.last_endpoint_id != 0)

    def _choose_endpoint(self, job: PendingRequest) -> EndpointChoice:
        """Choose the cache node for a request's next attempt, if any; with its expected latency in ms."""
        bound = WAIT_BOUND_SHARE * job.klass.objective_ms
        tried = {a.server.id for a in job.attempts}
        may_stay = job.in_keep_pool and self.pools.wide_share > 0 and job.holders == 1
        current = self.endpoints.states.get(job.last_endpoint_id) if may_stay else None
        if current is not None and current.id not in tried and self._is_usable(current, job.slot):
            # While short, a key that hits where it is does not change its pool: that would cost a fetch.
            wait = self._expected_wait(job, current)
            if wait <= bound:
                self._record_shortage(job, False)
                return current, wait
        best, best_wait = self._search_pools(job, tried, bound)
        if best is None:
            # most of the fleet silent at once is more likely our own network: all are tried
            for server in self.pools.fleet_table.order_for(job.slot):
                if server.status is Status.READY and server.id not in tried and self._has_cold_budget(server):
                    return server, server.expected_latency(self.now, self.service_time)
        return best, best_wait

    def _search_pools(self, job: PendingRequest, tried: set[int], bound: float) -> EndpointChoice:
        """Return the first usable endpoint expected within `bound` ms, else the best; with that latency."""
        pools = self.pools
        home = self._home_candidates(job)
        first: EndpointState | None = None
        best: EndpointState | None = None
        best_wait = inf
        # The pool first; if all its candidates are past the bound or unusable, the fleet's order.
        for order in (home, None):
            considered = 0
            for server in order or pools.fleet_table.order_for(job.slot):
                if server.id in tried or not self._is_usable(server, job.slot):
                    continue
                wait = self._expected_wait(job, server)
                if first is None and order is home:
                    first = server
                    self._record_shortage(job, wait > bound)
                elif server is not first:
                    wait += self._fetch_penalty(job, server)
                if wait < best_wait * (MOVE_WAIT_FACTOR if best is not None else 1.0):
                    best, best_wait = server, wait
                considered += 1
                if considered >= MAX_CANDIDATES or wait <= bound:
                    break
            if best_wait <= bound:
                break
        return best, best_wait

    def _home_candidates(self, job: PendingRequest) -> Iterator[EndpointState]:
        """Yield the endpoints of a request's pool; the holders of a hot key in turn, by the request."""
        pools = self.pools
        if job.holders == 1:
            return pools.candidates(job.slot, job.in_keep_pool, pools.is_wide(job.slot))
        # all routers together load the holders evenly
        group, turn = divmod(hash64(job.ref) % job.holders, HOLDER_GROUP)
        slot = hash64(group << 32 | job.slot) % SLOT_COUNT if group else job.slot
        home = pools.candidates(slot, job.in_keep_pool, fleet_wide=False)
        holders = list(islice(home, min(HOLDER_GROUP, job.holders - group * HOLDER_GROUP)))
        turn %= max(1, len(holders))
        return chain(holders[turn:], holders[:turn], home)

    def _record_shortage(self, job: PendingRequest, is_short: bool) -> None:
        """Record whether a read's first candidate is expected beyond the wait bound."""
        if not job.attempts:
            self.pools.reads += 1
            self.pools.short_reads += is_short
            if job.in_keep_pool:
                self.popularity.record_attempt(is_short)

    def _fetch_penalty(self, job: PendingRequest, server: EndpointState) -> float:
        """Return the cost (ms) of a move while the origin is short: it likely takes a fetch (aside mode)."""
        is_short = self.origin_waits > 0 and self.settings.mode is Mode.ASIDE
        return self.origin.latency_ewma if is_short and not self._is_cached(job, server) else 0.0

    def _expected_wait(self, job: PendingRequest, server: EndpointState) -> float:
        """Return the expected latency (ms); beyond the objective where the limit is reached."""
        wait = server.expected_latency(self.now, self.service_time)
        if server.in_flight >= server.concurrency_limit * (1.0 + WORTH_HEADROOM * job.worth / self.max_worth):
            wait = max(wait, job.klass.objective_ms * (1.0 + server.in_flight / server.concurrency_limit))
        return wait

    def _is_usable(self, server: EndpointState, slot: int) -> bool:
        """Whether it is ready, not ejected and, while cold, a holder of this slot with budget left."""
        if server.status is not Status.READY or server.ejected:
            return False
        if self.now >= server.warmup_end:
            return True
        holds_slot = hash_to_unit(server.id * 0x20003 + slot) < server.min_warm_share(self.now)
        return holds_slot and self._has_cold_budget(server)

    def _has_cold_budget(self, server: EndpointState) -> bool:
        """Whether a cold endpoint may get one more request, by its share of a warm neighbour's (rule 4)."""
        # The share is its least capacity's: over any window all routers together stay within its capacity.
        if self.now >= server.warmup_end:
            return True
        span = self._cold_window_ms()
        self.warm_traffic.advance(self.now, span)
        total, near = self.warm_traffic.total, self.warm_traffic.zone(server.endpoint.zone)
        mean = total.weight / total.nodes if total.nodes else 0.0
        part = (
            1.0 if near.nodes or mean <= 0 else COLD_REMOTE_FACTOR * min(1.0, server.endpoint.weight / mean)
        )
        warm = near if near.nodes else total  # none is warm in a zone that started as a whole: then all count
        sends = part * warm.sends / warm.nodes if warm.nodes else 0.0
        routers = self.settings.routers  # hundreds of them would push it over by one send each: they draw
        draw = hash_to_unit(hash64(server.id) ^ hash64(self.settings.position << 32 | int(self.now / span)))
        floor = 1.0 if routers <= 2 * MIN_COLD_SENDS else MIN_COLD_SENDS / routers
        budget = floor + server.min_warm_share(self.now) * sends
        return server.window_sends < (budget if floor == 1.0 else int(budget + draw))

    def _cold_window_ms(self) -> float:
        """Return the window, in ms, over which sends to a cold endpoint count."""
        return max(1.0, self.settings.rules.fall)

    def _is_warm(self, server: EndpointState, now: float) -> bool:
        """Whether it is a ready cache node, not ejected and past its warm-up."""
        usable = server.status is Status.READY and not server.ejected
        return usable and now >= server.warmup_end and server.endpoint.kind != self.settings.origin_kind

    def _fetch_from_origin(self, job: PendingRequest) -> None:
        """Fetch a miss or send a write (aside mode); further reads of a key share a fetch in flight."""
        job.to_origin = True
        key = 0 if job.event.is_write else job.event.key  # writes share no fetch
        if key and not job.shares_fetch:
            leader = self.pending.get(self.fetch_leaders.get(key, -1))
            if leader is not None and leader is not job:
                leader.waiters.append(job.ref)
                job.shares_fetch = True
                return
        if not self.pools.origins:
            self._finish(job, EndReason.NO_ORIGIN)
            return
        if key:
            self.fetch_leaders[key] = job.ref
        if self.origin.admits(self.now) or job.is_partial:  # a partial request is no load yet
            self._dispatch(job)
        else:
            job.is_queued = True
            self.origin.enqueue(job.worth, job.ref)

    def _dispatch(self, job: PendingRequest) -> None:
        """Send an admitted request: to the origin, or in through mode to a cache node that fetches."""
        server: EndpointState | None = None
        if not job.to_origin:
            server, _ = self._choose_endpoint(job)
        elif self.pools.origins:
            server = self.pools.origins[job.slot % len(self.pools.origins)]
        if server is None:
            self._finish(job, EndReason.NO_ENDPOINT)
        else:
            self._send(job, server)

    def _admit_queued(self) -> None:
        """Send queued requests while the origin admits them; refuse those that would be late."""
        while self.origin.queue and (self.origin.admits(self.now) or self._is_late(self.origin.queue[0][2])):
            _, _, ref = heapq.heappop(self.origin.queue)
            job = self.pending.get(ref)
            if job is None or job.is_final or not job.is_queued:
                continue
            job.is_queued = False
            if self.now + self.origin.best > job.objective_at:
                self._finish(job, EndReason.QUEUE_TIMEOUT)
            else:
                self._dispatch(job)

    def _is_late(self, ref: int) -> bool:
        job = self.pending.get(ref)
        return job is None or job.is_final or self.now + self.origin.best > job.objective_at

    def _useful_until(self, job: PendingRequest) -> float:
        return job.deadline if job.klass.late_share > 0 else job.objective_at

    def _may_send(self, job: PendingRequest, server: EndpointState) -> bool:
        """Whether an attempt may begin now, whatever path led here."""
        facts = SendFacts(
            now=self.now,
            deadline=job.deadline,
            is_finished=job.is_final,
            attempts_made=len(job.attempts),
            max_attempts=job.limits.max_attempts,
            attempts_in_flight=job.in_flight_count(),
            allow_hedging=job.limits.allow_hedging,
            endpoint_status=server.status,
            has_cold_budget=self._has_cold_budget(server),
            repeat=self._repeat_facts(job, server),
        )
        return check_send(facts) is None

    def _repeat_facts(self, job: PendingRequest, server: EndpointState) -> RepeatFacts | None:
        unsafe = job.first_unsafe_attempt()
        if unsafe is None:
            return None
        here, there = server.endpoint, unsafe.server.endpoint
        return RepeatFacts(job.klass, unsafe.sent, here.zone == there.zone, here.cell == there.cell)

    def _repeat_until(self, job: PendingRequest) -> float:
        """Return until when (ms) a request that may have run may be sent again."""
        unsafe = job.first_unsafe_attempt()
        return repeat_until(job.klass, None if unsafe is None else unsafe.sent)

    def _send(self, job: PendingRequest, server: EndpointState) -> None:
        if not self._may_send(job, server):
            if not job.in_flight_count():
                self._finish(job, EndReason.NOT_PERMITTED)
            return
        at_origin = job.to_origin
        gated = not job.is_partial and (at_origin or self._may_fetch(job, server))
        mean = self.origin.latency_ewma if at_origin else server.expected_latency(self.now, self.service_time)
        wait = self.timeouts.start(self.now, at_origin, mean or FIRST_GUESS_MS, job.event.cost_hint)
        begin_by = self._repeat_until(job)
        job.attempts.append(AttemptRecord(server, self.now, server.load(self.now), at_origin, gated, wait))
        server.in_flight += 1
        self.origin.add_in_flight(self.now, int(gated))
        if not at_origin:
            self.shedder.in_flight += 1
            self.warm_traffic.record_send(self.now, server, self._cold_window_ms())
            if job.event.key and len(job.attempts) == 1:
                self.popularity.record_endpoint(job.event.key, server.id)
        self.actions.append(api.Send(job.ref, server.id, begin_by=begin_by))
        self._schedule_overdue(job)

    def _schedule_overdue(self, job: PendingRequest) -> None:
        fetch = 3.0 * self.origin.latency_ewma if job.to_origin else 0.0
        wait = max(MIN_OVERDUE_MS, self.mean_latency + OVERDUE_DEVIATIONS * self.deviation, fetch)
        self._schedule_check(job, self.now + min(wait, max(MIN_OVERDUE_MS, 0.6 * job.klass.objective_ms)))

    def _schedule_check(self, job: PendingRequest, overdue_at: float) -> None:
        job.overdue_at = overdue_at
        job.check_at = min(job.overdue_at, self.timeouts.next_check_at(job.attempts[-1].wait, self.now))
        if job.check_at < job.deadline:
            self.actions.append(api.SetTimer(CHECK_TIMER | job.ref, job.check_at))

    def _finish(self, job: PendingRequest, reason: EndReason) -> None:
        """End a request unserved: refuse it where retrying is harmless, else, or if invalid, fail it."""
        if job.is_final:
            return
        unsafe = job.first_unsafe_attempt()
        if (unsafe is None or job.repeatable) and self.now < job.deadline and reason is not EndReason.INVALID:
            retry_after_ms = min(self.settings.limits.max_retry_after_ms, job.klass.objective_ms)
            self.actions.append(api.Refuse(job.ref, retry_after_ms, reason))
        else:
            self.actions.append(api.Fail(job.ref, reason))
        self._close(job)

    def _close(self, job: PendingRequest, streamed: AttemptRecord | None = None) -> None:
        """Release what an answered request holds. A fetch in flight goes on, and is shared."""
        if job.is_final:
            return
        job.is_final, job.is_queued = True, False
        if self.settings.limits.allow_cancel:
            for number, attempt in enumerate(job.attempts):
                if attempt.in_flight and not attempt.to_origin and attempt is not streamed:
                    self.actions.append(api.Cancel(job.ref, number))
        self._remove_if_done(job)

    def _end_fetch(self, job: PendingRequest) -> None:
        """Resume the requests that share its fetch; not before, though its own client may have left."""
        if self.fetch_leaders.get(job.event.key) == job.ref:
            del self.fetch_leaders[job.event.key]
        waiters, job.waiters = job.waiters, []
        for waiter in filter(None, map(self.pending.get, waiters)):
            if not waiter.is_final:
                self._resume_waiter(waiter, job)

    def _resume_waiter(self, waiter: PendingRequest, leader: PendingRequest) -> None:
        """Continue after a shared fetch: read the stored copy, or fetch again if the fetch failed."""
        # If it never ran, as its own client left before, the first waiter fetches, and the others wait on.
        fetches, stored = [a for a in leader.attempts[-1:] if a.to_origin], leader.missed_endpoint
        waiter.shares_fetch = not (fetches and fetches[0].never_ran)
        if waiter.shares_fetch and fetches and stored and self._is_usable(stored, waiter.slot):
            waiter.to_origin = False
            self._send(waiter, stored)
        else:
            self._fetch_from_origin(waiter)

    def _remove_if_done(self, job: PendingRequest) -> None:
        if job.is_final and not job.in_flight_count():
            self.pending.pop(job.ref, None)
            self._end_fetch(job)

    def _handle_outcome(self, event: api.AttemptEnded) -> None:
        job = self.pending.get(event.ref)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].in_flight:
            return
        attempt = job.attempts[event.attempt]
        attempt.in_flight = False
        attempt.never_ran = event.result in NEVER_RAN
        self.timeouts.finish(attempt.wait, self.now, event.malformed or event.result in ANSWERED_RESULTS)
        if event.result is Result.OK and len(job.attempts) > 1 and self.now <= self._useful_until(job):
            self.timeouts.record_success(each.wait for each in job.attempts)
        self._record_response(job, attempt, event)
        if event.closes_request or event.result is Result.TIMEOUT:
            self.shedder.record_loss(1.0 - job.klass.late_share if self.now > job.objective_at else 0.0)
        if event.closes_request:
            self._close(job)
        if job.is_final:
            self._remove_if_done(job)
        else:
            self._continue_request(job, attempt, event)
        if attempt.gated:
            self._admit_queued()

    def _continue_request(self, job: PendingRequest, attempt: AttemptRecord, event: api.AttemptEnded) -> None:
        """Fetch, finish or retry after an attempt that did not serve the request."""
        if event.result is Result.MISS and self.settings.mode is Mode.ASIDE:
            job.missed_endpoint = job.missed_endpoint or attempt.server
            if not job.in_flight_count():
                self._fetch_from_origin(job)
        elif event.body_consumed and not job.in_flight_count():
            self._finish(job, EndReason.BODY_CONSUMED)
        elif event.result is Result.INVALID:
            self._finish(job, EndReason.INVALID)  # every attempt would end the same way
        elif not job.in_flight_count():
            # a broken connection costs no budget, which limits retries under load
            self._retry(job, is_free=event.result in NO_LOAD_SIGNAL or attempt.wait.is_abandoned)

    def _record_response(self, job: PendingRequest, attempt: AttemptRecord, event: api.AttemptEnded) -> None:
        """Learn from one result: health and load of its endpoint, then what it says of origin or cache."""
        server, result = attempt.server, event.result
        server.in_flight -= 1
        self._record_load_report(server, event.load_report)
        # A malformed response is a liveness signal; a reset alone is no failure: then connects are refused.
        if result in SILENT_RESULTS:
            self._record_silence(server)
        elif event.malformed or result not in NO_HEALTH_SIGNAL:
            self._record_success(server)
        self.origin.add_in_flight(self.now, -int(attempt.gated))
        if attempt.to_origin:
            self._learn_from_origin(attempt, event)
        else:
            self._learn_from_cache(job, attempt, event)

    def _learn_from_origin(self, attempt: AttemptRecord, event: api.AttemptEnded) -> None:
        result, now = event.result, self.now
        is_hung = result is Result.TIMEOUT and self.timeouts.is_hung(attempt.wait, self.origin.is_strained())
        if event.malformed or (result not in (*NO_HEALTH_SIGNAL, *NO_LOAD_SIGNAL) and not is_hung):
            succeeded = event.malformed or result in (Result.OK, Result.INVALID)
            self.origin.record_fetch(now, event.latency_ms, succeeded)
        elif result is Result.CONNECTION_LIMIT:  # more connects would take all the slots there are
            self.origin.reduce_limit(now)
            self.origin.pause_end = max(self.origin.pause_end, now + self.rng.random() * CONNECT_PAUSE_MS)

    def _learn_from_cache(self, job: PendingRequest, attempt: AttemptRecord, event: api.AttemptEnded) -> None:
        server, result, now = attempt.server, event.result, self.now
        silent = result in SILENT_RESULTS
        self.shedder.in_flight -= 1
        missed = result is Result.MISS or event.cache_status in (2, 3)
        # timeouts of an endpoint with no liveness signal since are its own, not the origin's overload
        is_alive = server.last_response_at > attempt.sent
        failed = attempt.gated and (result is Result.ERROR or (result is Result.TIMEOUT and is_alive))
        if self.settings.mode is Mode.THROUGH and (missed or failed):
            self.origin.record_fetch(now, event.latency_ms, result is Result.OK)
        if job.event.key and (silent or result in (Result.RESET, Result.ERROR)):
            self.popularity.record_endpoint(job.event.key, 0)
        if not missed and result in (Result.OK, Result.TIMEOUT, Result.BUSY):
            is_slow = result is not Result.OK or event.latency_ms > SLOW_SHARE * job.klass.objective_ms
            server.adjust_concurrency_limit(now, event.latency_ms, is_slow)
            # not in through mode, where fetches slow responses, nor without a liveness signal
            if self.settings.mode is Mode.ASIDE and (not is_slow or is_alive or result is not Result.TIMEOUT):
                self.shedder.adjust_limit(now, event.latency_ms, is_slow)
        if result is Result.OK and not missed:
            server.record_latency(now, event.latency_ms, attempt.load_at_send)
            self.service_time += (event.latency_ms / (1.0 + attempt.load_at_send) - self.service_time) * 0.02
            self.deviation += (abs(event.latency_ms - self.mean_latency) - self.deviation) * 0.05
            self.mean_latency += (event.latency_ms - self.mean_latency) * 0.05
        elif result is Result.BUSY:
            server.record_latency(now, job.klass.objective_ms, attempt.load_at_send)
        if job.in_keep_pool and result not in (*NO_HEALTH_SIGNAL, Result.INVALID):
            bad = silent or result in (Result.ERROR, Result.BUSY) or event.latency_ms > job.klass.objective_ms
            # A keep-pool miss is bad while the origin is short, not while nodes are: k' would fall to 0.
            is_short = self.pools.wide_share > 0 and self.origin_waits > 0
            self.popularity.record_attempt(bad or (missed and is_short))

    def _record_load_report(self, server: EndpointState, load_report: tuple[float, ...]) -> None:
        fields = dict(zip(self.settings.report_fields, load_report, strict=False))
        active = fields.get("active")
        if active is None and "waiting" in fields:
            active = fields["waiting"] + min(server.in_flight, 1)  # what runs is not reported
        if active is not None and active == active:
            server.record_load_report(self.now, active)

    def _retry(self, job: PendingRequest, is_free: bool) -> None:
        """Start another attempt if the retry budget and the time left allow it."""
        if (self.retry_budget < 1.0 and not is_free) or self.now >= self._useful_until(job):
            self._finish(job, EndReason.BUDGET if self.now < self._useful_until(job) else EndReason.NO_TIME)
            return
        self.retry_budget -= not is_free
        is_last = self.settings.mode is Mode.ASIDE and len(job.attempts) == job.limits.max_attempts - 1 <= FEW
        if job.to_origin or is_last:  # after a miss no attempt would be left for the fetch
            self._fetch_from_origin(job)
        else:
            self._send_to_cache(job)

    def _handle_timer(self, token: int) -> None:
        kind, job = token & TIMER_KIND_MASK, self.pending.get(token & ~TIMER_KIND_MASK)
        if token == CALL_TIMER:
            self._call_discovery_if_due()
        elif kind == TICK_TIMER:
            self._tick()
        elif job is not None and kind == DEADLINE_TIMER and self.now >= job.deadline:
            self._finish(job, EndReason.DEADLINE)
            self._end_fetch(job)  # what hangs there is not waited for
        elif job is not None and kind == CHECK_TIMER and not job.is_final and self.now >= job.check_at:
            self._expire_attempt(job)

    def _expire_attempt(self, job: PendingRequest) -> None:
        """Check the only attempt of a request after a while without a response."""
        # An endpoint that responded to others meanwhile is slow, not silent: then waiting is cheaper.
        if job.in_flight_count() != 1:
            return
        number = next(n for n, a in enumerate(job.attempts) if a.in_flight)
        if job.is_partial:
            self._schedule_overdue(job)  # the client is still sending: nobody can have responded
        elif self._try_abandon(job, number):
            self.actions.append(api.Cancel(job.ref, number))
        elif self.now < job.overdue_at:
            self._schedule_check(job, job.overdue_at)
        else:
            self._handle_overdue(job, number)

    def _is_movable(self, job: PendingRequest) -> bool:
        """Whether another attempt may begin after the present one; what came in parts is not held."""
        spare = len(job.attempts) < job.limits.max_attempts - 1
        return spare and job.repeatable and not job.event.is_partial and self.now <= self._repeat_until(job)

    def _try_abandon(self, job: PendingRequest, number: int) -> bool:
        """Whether to abandon an attempt for one elsewhere, by the times that both are expected to take."""
        attempt, now = job.attempts[number], self.now
        left = self._useful_until(job) - now
        is_short = self.origin_waits > 0 or bool(self.origin.queue)
        movable = job.limits.allow_cancel and self._is_movable(job)
        if not movable or not self.timeouts.may_abandon(attempt.wait, now, left, is_short):
            return False
        other, cache = (attempt.server, None) if attempt.to_origin else self._choose_endpoint(job)
        fetch = None if self.settings.mode is Mode.THROUGH else self.origin.latency_ewma or FIRST_GUESS_MS
        return other is not None and self.timeouts.try_abandon(attempt.wait, now, left, cache, fetch)

    def _handle_overdue(self, job: PendingRequest, number: int) -> None:
        attempt, limits = job.attempts[number], job.limits
        server = attempt.server
        waited = self.now - attempt.sent
        # not for a single long fetch: one outlier must not shut a healthy origin, nor must those that hang
        hung = attempt.to_origin and self.timeouts.is_hung(attempt.wait, self.origin.is_strained())
        fetch = attempt.gated and not hung and (attempt.to_origin or server.last_response_at > attempt.sent)
        if fetch and waited > max(LATE_FETCH_SHARE * job.klass.objective_ms, 3.0 * self.origin.latency_ewma):
            self.origin.reduce_limit(self.now)  # no need to wait for the failure
        if not attempt.to_origin:
            server.record_latency(self.now, waited, attempt.load_at_send)
            if waited > SLOW_SHARE * job.klass.objective_ms:
                server.adjust_concurrency_limit(self.now, waited, True)
        if attempt.to_origin or server.last_response_at > attempt.sent:
            self._schedule_overdue(job)
            return
        self._record_silence(server)
        self._probe(server)
        if not server.ejected:
            self._schedule_overdue(job)  # one long wait is no proof of silence: avoid many copies
        elif not self._is_movable(job) or self.retry_budget < 1.0:
            self._schedule_check(job, inf)  # its endpoint is ejected already
        elif limits.allow_hedging:
            other, wait = self._choose_endpoint(job)
            if other is not None and wait < job.klass.objective_ms:
                self.retry_budget -= 1.0
                self._send(job, other)
        elif limits.allow_cancel:
            self.actions.append(api.Cancel(job.ref, number))

    def _start_response(self, event: api.FirstByte) -> None:
        job = self.pending.get(event.ref)
        if job is not None and event.attempt < len(job.attempts):
            attempt = job.attempts[event.attempt]
            self._record_success(attempt.server)
            self._close(job, attempt)  # the stream is the final answer; its end comes as an outcome

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
            self._log("failing", f"server {server.id} gives no sign of life; its slots move on")

    def _log(self, kind: str, text: str) -> None:
        """Log a line for operators, at most one of a kind in LOG_INTERVAL_MS."""
        if self.now >= self.logged_at.get(kind, float("-inf")) + LOG_INTERVAL_MS:
            self.logged_at[kind] = self.now
            self.actions.append(api.Log(text))

    def _log_overload(self) -> None:
        queue = self.origin.queue
        for kind, on, text in (
            ("wide", self.pools.wide_share >= 0.5, "home zone or origin short: overflow reaches all zones"),
            ("late", self.shedder.wait_share < 0.7, "answers are late: refusing earlier"),
            ("origin", len(queue) > self.origin.limit, f"{len(queue)} requests wait for the origin"),
            ("list", self.endpoints.calls.is_failing(), "the server list does not answer"),
        ):
            if on:
                self._log(kind, text)

    def _tick(self) -> None:
        self.actions.append(api.SetTimer(TICK_TIMER, self.now + 100.0))
        self.shedder.min_limit = max(1.0, MIN_IN_FLIGHT_EACH * self.pools.endpoints_each)
        self._call_discovery_if_due()
        if self.now - self.last_control_at >= CONTROL_INTERVAL_MS:
            self.last_control_at = self.now
            self.popularity.adjust_limit()
            self.shedder.adjust_wait_share()
            self._log_overload()
            self.pools.adjust_wide_share(self.origin_waits >= 3)
            self.origin_waits = 0
        stale = dict.fromkeys(entry for entry in self.origin.queue if self._is_late(entry[2]))
        for job in filter(None, (self.pending.get(ref) for _, _, ref in stale)):
            if job.is_queued:
                self._finish(job, EndReason.QUEUE_TIMEOUT)  # at once: a waiting client would retry too
        if stale:
            self.origin.queue = [entry for entry in self.origin.queue if entry not in stale]
            heapq.heapify(self.origin.queue)
        self._admit_queued()
        self.origin_waits += bool(self.origin.queue) or self.origin.is_strained()
        self._send_probes()

    def _call_discovery_if_due(self) -> None:
        if self.endpoints.calls.begin_due_call(self.now):
            self.actions.append(api.Watch(True))

    def count_avoided(self) -> int:
        """Return how many listed endpoints get no requests at present."""
        listed = (s for s in self.endpoints.states.values() if s.status is not Status.REMOVED)
        return sum(s.ejected or s.status is Status.DRAINING for s in listed)

    def _probe(self, server: EndpointState) -> None:
        if self.settings.limits.allow_probes and not server.probing and server.status is Status.READY:
            server.probing = True
            self.actions.append(api.Probe(server.id))

    def _send_probes(self) -> None:
        """Probe ejected endpoints, and now and then another for its load."""
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
            server.consecutive_failures = EJECT_AFTER_FAILURES - 1  # one request is the probe
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
