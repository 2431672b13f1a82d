"""Every routing decision. `rosepick/decisions/api.py` defines the events that come in and the actions.

A read: `PopularityFilter` says whether its key is among the top k' of this router's LRU list (keep pool) or
not (overflow pool), `EndpointPools` maps it to a slot and to an endpoint of that pool in the home zone, and
`Router` sends. In aside mode a miss or a write goes on to the origin (`OriginAdmission`). All sends pass
`Router._send`, all answers `Router._finish`, which keep the rules; docs/architecture.md has the exceptions.
"""

from __future__ import annotations

import heapq
import random
from array import array
from bisect import bisect
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import chain, islice
from math import exp, inf, log

from ..attempt_timeouts.adaptive_timeout import AdaptiveTimeout, AttemptWait
from . import api
from .api import NEVER_RAN, Effect, EndReason, Group, Mode, Result, Status, UpdateScope

# ------------------------------------------------------------------------------------------- constants
# Times are milliseconds. Each is a choice about behaviour in general, none a measurement of one fleet.

FILTER_CAPACITY = 20_000  # key names held: far more than one router meets while an object stays cached
INITIAL_TOP_SIZE = 4_000  # k' at the start: a key met twice is kept until errors or latency say otherwise
MIN_TOP_SIZE = 8  # k' never falls under this, so that the hottest keys keep their place
TOP_CUT_FACTOR = 0.8  # k' after a round with too much trouble ...
TOP_GROWTH_FACTOR = 1.05  # ... and after a calm one: down fast, up slowly
MAX_BAD_SHARE = 0.12  # share of keep-pool attempts that may end badly or slowly
CONTROL_INTERVAL_MS = 500.0  # how often the loops look; long enough for a few dozen answers
MIN_SAMPLES = 40  # fewer answers than this say nothing: a router may see few a second

SLOT_COUNT = 4_096  # many slots a server, so that a pool's slots part evenly
INITIAL_KEEP_SHARE = 0.3  # keep pool's share of the home zone's servers before this router's mix is known ...
KEEP_PRIOR_READS = 8.0  # ... which counts as much as so many reads ...
KEEP_MEMORY_READS = 1_000.0  # ... and is learned over so many
HOT_KEY_SHARE = 0.25  # of a home server's even share of the reads: a key with more gets more replicas
HEAT_MEMORY_READS = 500.0  # reads over which a key's share of this router's reads is learned ...
HEAT_PRIOR_READS = 30.0  # ... and how many it takes before a repeat says much
MAX_CANDIDATES = 4  # candidates looked at in a pool: more would scatter a key's copies

WAIT_BOUND_SHARE = 0.45  # of the aim: a holder expected to take longer gives the request to the next in order
MOVE_WAIT_FACTOR = 0.6  # a move must promise at least this much less waiting, since it may cost a fetch
WIDE_SHARE_GROWTH = 1.0  # growth of the wide share in a round with a shortage ...
WIDE_SHARE_DECAY = 0.015  # ... and its decay in a calm one: moving keys back costs fetches
SHORTAGE_SHARE = 0.3  # share of reads in want of capacity that counts as a shortage

INITIAL_IN_FLIGHT = 64.0  # requests in flight at all cache servers: no limit until responses become slow ...
MIN_IN_FLIGHT_EACH = 8.0  # in flight per server that all routers together may always have, 1 each at least
IN_FLIGHT_CUT = 0.85  # ... then cut by this a slow answer, regrown by good ones
MAX_LATE_LOSS = 0.12  # share of their worth that answers may lose by being late before refusals come earlier
LATE_CUT_FACTOR = 0.85
LATE_GROWTH_FACTOR = 1.1
MIN_WAIT_SHARE = 0.4  # of the aim: never ask for more room than this

EWMA_WEIGHT = 0.15  # weight of a new latency sample
LATENCY_MEMORY_MS = 3_000.0  # a slow server that gets nothing is believed to recover over this time
FIRST_GUESS_MS = 40.0  # latency of a server never heard of
REPORT_WEIGHT = 0.25  # weight of a new load report
REPORT_MEMORY_MS = 3_000.0  # a report says less and less over this time
MAX_REPORT_FACTOR = 1.3  # times the latency of recent answers: as far as reports alone raise what is expected
EJECT_AFTER_FAILURES = 3  # signs of silence in a row, with no sign of life, before a server counts as failing
PROBE_DELAY_MS = 400.0  # first trial of a failing server, doubled up to ...
MAX_PROBE_DELAY_MS = 1_600.0  # ... this
RESTART_AFTER_MS = 3_000.0  # silent for longer with no endpoint list: it may have restarted, so it warms up
OVERDUE_DEVIATIONS = 4.0  # deviations above the mean before an answer is overdue
MIN_OVERDUE_MS = 60.0  # never look sooner
PROBES_PER_REQUEST = 0.15  # probes a request, where there are load reports

RETRIES_PER_REQUEST = 0.2  # retries earned by a request: a storm stays a fifth of the traffic
FEW = 2  # attempts after which the last one is worth a fetch; after more, time is short too
MAX_RETRY_BUDGET = 12.0  # and a burst of failures has this many
DEDUP_WINDOW_MARGIN = 0.1  # of a repeat window, left for the way

START_CONCURRENCY = 9.0  # initial in-flight limit of one server, divided among all routers ...
MIN_START_CONCURRENCY = 1.5  # ... at least this each; many routers could fill every queue before a response
MIN_CONCURRENCY = 1.0
CONCURRENCY_CUT_FACTOR = 0.7  # after a response slower than SLOW_SHARE of its aim; good ones raise it again
SLOW_SHARE = 0.5
WORTH_HEADROOM = 0.5  # the dearest requests may go this part beyond

THROUGH_FETCHES = 24.0  # through mode: fetches out at the start
ASIDE_FETCHES = 96.0  # aside mode: initial fetches in flight, divided among all routers, each at least
MIN_ASIDE_FETCHES = 2.0  # this: no bar until the origin shows trouble, then the limit learns
MAX_FETCHES = 64.0
OVERLOAD_RATIO = 2.0  # times the least smoothed latency: the origin is crowded ...
OVERLOAD_SHARE = 0.5  # ... never below this share of the shortest aim, always above that of the longest
STRAIN_RATIO = 1.7  # times the least smoothed latency: the origin is strained, overflow should spread
FETCH_SAMPLES = 10  # fetches before its times say anything
BEST_DRIFT = 1.002  # the least time is forgotten by this much a fetch, as an origin may change
FETCH_CUT_FACTOR = 0.75
LOW_FETCH_CUT_FACTOR = 0.5  # under 1, where a router has few fetches to learn from
MIN_FETCHES = 0.1  # aside mode. Under 1: one fetch, then a pause; one at each of hundreds of routers is a jam
FETCH_GROWTH_FACTOR = 2.0  # growth of a limit under 1 by a good fetch
MAX_FETCH_PAUSE_MS = 2_000.0  # no pause is longer
CONNECT_PAUSE_MS = 200.0  # at most, before another connection to an origin that has no place for one
BUSY_MEMORY_MS = 3_000.0  # the mean of fetches out is taken over about this time
LATE_FETCH_SHARE = 0.6  # of the aim: a fetch out for longer says the same as a failed one

FIRST_BACKOFF_MS = 450.0  # backoff of calls to discovery at most, doubled up to ...
MAX_BACKOFF_MS = 1_800.0  # ... this: a list that can be had again may not be old for long
JITTER_MS = 600.0  # of all routers' first calls
PUSHED_BACKOFF_MS = 150.0  # where lists are pushed: what the agent has counts as told at once
COLD_SEND_SHARE = 1.0  # of a warm neighbour's sends, times the least capacity told: a cold server's budget
COLD_REMOTE_FACTOR = 0.7  # of that, where no neighbour in its own zone is warm
MIN_COLD_SENDS = 4.0  # sends in a window by which all may try any cold server; 1 each of up to twice as many
LOG_INTERVAL_MS = 5_000.0  # at most one log line of a kind in this time
OVER_SHARE_ODDS = 1.3  # a tenant this far over its share of the traffic is over its share ...
TENANT_RATE_WINDOW_MS = 6_000.0  # ... in about this time: a few seconds hold too few requests to tell

MASK_64 = (1 << 64) - 1
CHECK_TIMER, DEADLINE_TIMER, TICK_TIMER = 1 << 60, 2 << 60, 3 << 60  # low bits: the request
TIMER_KIND_MASK = 3 << 60
SILENT_RESULTS = (Result.TIMEOUT, Result.CONNECT_FAILED)  # no sign of life
NO_LOAD_SIGNAL = (Result.CONNECT_FAILED, Result.RESET, Result.CONNECTION_LIMIT, Result.NEVER_SENT)
ANSWERED_RESULTS = (Result.OK, Result.MISS, Result.ERROR, Result.INVALID)
NO_HEALTH_SIGNAL = (Result.NEVER_SENT, Result.CANCELLED, Result.RESET, Result.CONNECTION_LIMIT)


def hash64(value: int) -> int:
    """A fixed 64-bit hash: the same in every process, unlike hash()."""
    value = (value + 0x9E3779B97F4A7C15) & MASK_64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)


def hash_to_unit(value: int) -> float:
    """A hash as a number from 0 to 1."""
    return hash64(value) / (MASK_64 + 1)


# --------------------------------------------------------------------------------------------- the filter


class PopularityFilter:
    """The LRU list of key names in two segments, top k' and tail, and the loop that moves k'."""

    def __init__(self) -> None:
        # oldest first; value: server last sent to, reads of the key (fading), read number of the last one
        self.top: OrderedDict[int, tuple[int, float, int]] = OrderedDict()
        self.tail: OrderedDict[int, tuple[int, float, int]] = OrderedDict()
        self.top_limit = INITIAL_TOP_SIZE
        self.reads = self.attempts = self.bad_attempts = 0  # keep-pool responses since the last check

    def touch(self, key: int) -> tuple[bool, int, float]:
        """Make a key the youngest; (whether it was within top k', endpoint last used, share of the reads)."""
        self.reads += 1
        found = self.top.get(key)
        keep = found is not None
        last, heat, at = found or self.tail.pop(key, (0, 0.0, self.reads))
        heat *= exp((at - self.reads) / HEAT_MEMORY_READS)
        self.top[key] = last, heat + 1.0, self.reads
        if keep:
            self.top.move_to_end(key)
        else:
            self._rebalance()
        return keep, last, heat / (min(self.reads, HEAT_MEMORY_READS) + HEAT_PRIOR_READS)

    def _rebalance(self) -> None:
        """Move the border; a few steps a touch keep the work bounded."""
        for _ in range(4):
            if len(self.top) <= self.top_limit:
                break
            old, entry = self.top.popitem(last=False)
            self.tail[old] = entry
        if len(self.top) + len(self.tail) > FILTER_CAPACITY and self.tail:
            self.tail.popitem(last=False)

    def record_endpoint(self, key: int, endpoint_id: int) -> None:
        """Remember where a key was sent, to tell an eviction from a first visit."""
        if key in self.top:
            self.top[key] = (endpoint_id, *self.top[key][1:])

    def record_attempt(self, is_bad: bool) -> None:
        """One answer of the keep pool."""
        self.attempts += 1
        self.bad_attempts += is_bad

    def adjust_limit(self) -> None:
        """Shrink k' while the keep pool's trouble exceeds the target, else let it creep up."""
        if self.attempts < MIN_SAMPLES:
            return
        if self.bad_attempts > MAX_BAD_SHARE * self.attempts:
            # from where the list stands: an unfilled top segment would hide the first cuts
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


# -------------------------------------------------------------------- one server as this router sees it


class EndpointState:
    """Health, load and warm-up of one member, from this router's own observations."""

    def __init__(self, endpoint: api.Endpoint, now: float, limit: float = START_CONCURRENCY) -> None:
        self.id = endpoint.endpoint_id
        self.endpoint = endpoint
        self.status = endpoint.status
        self.warmup_start = self.warmup_end = float("-inf")
        self.cold_capacity = 1.0
        self.rank = -1  # among the home zone's servers by hashed id; not one of them: -1
        self.in_flight = 0
        self.other_load = 0.0  # requests of other routers, from the last report
        self.latency_ewma = self.load_ewma = 0.0  # 0: never answered; and the load at that time
        self.concurrency_limit = limit
        self.other_load_at = self.latency_at = self.last_cut_at = self.ejected_at = self.probe_at = now
        self.last_response_at = float("-inf")
        self.consecutive_failures = self.probes = 0
        self.ejected = self.probing = False
        self.send_times: deque[float] = deque()

    def load(self, now: float) -> float:
        """Requests it holds, ours counted and others' from a fading report."""
        if self.other_load:
            return self.in_flight + self.other_load * exp((self.other_load_at - now) / REPORT_MEMORY_MS)
        return float(self.in_flight)

    def record_load_report(self, now: float, in_flight: float) -> None:
        """Take in a load report. It is old when it comes: only what lasts over several of them counts."""
        seen = max(0.0, in_flight - self.in_flight)
        before = self.other_load * exp((self.other_load_at - now) / REPORT_MEMORY_MS)
        self.other_load = before + (seen - before) * REPORT_WEIGHT
        self.other_load_at = now

    def record_latency(self, now: float, sample_ms: float, load: float) -> None:
        """Learn from one answer."""
        if not self.latency_ewma:
            self.latency_ewma, self.load_ewma = sample_ms, load
        self.latency_ewma += (sample_ms - self.latency_ewma) * EWMA_WEIGHT
        self.load_ewma += (load - self.load_ewma) * EWMA_WEIGHT
        self.latency_at = now

    def adjust_concurrency_limit(self, now: float, latency_ms: float, is_slow: bool) -> None:
        """Adapt how much is kept in hand here: all routers cut back from queues that none sees by itself."""
        if not is_slow:
            if self.in_flight + 1 >= self.concurrency_limit * 0.5:
                self.concurrency_limit += 1.0 / self.concurrency_limit
        elif now - self.last_cut_at > max(100.0, latency_ms):
            self.concurrency_limit = max(MIN_CONCURRENCY, self.concurrency_limit * CONCURRENCY_CUT_FACTOR)
            self.last_cut_at = now

    def expected_latency(self, now: float, service_time: float) -> float:
        """How long an answer sent now is expected to take."""
        # the ratio of two means: a mean of ratios would be ruled by answers met under little load
        pace = self.latency_ewma / (1.0 + self.load_ewma) if self.latency_ewma else service_time
        if pace > service_time:
            pace = service_time + (pace - service_time) * exp((self.latency_at - now) / LATENCY_MEMORY_MS)
        wait = pace * (1.0 + self.load(now))
        if not self.in_flight and self.latency_ewma:
            # guards against routers that, by reports of others' load alone, refuse while servers idle
            wait = min(wait, MAX_REPORT_FACTOR * pace * (1.0 + self.load_ewma))
        return wait / self.min_warm_share(now)

    def min_warm_share(self, now: float) -> float:
        """The least share of its capacity that it can have, by the warm-up told in the rules."""
        if now >= self.warmup_end:
            return 1.0
        done = max(0.0, (now - self.warmup_start) / max(1e-9, self.warmup_end - self.warmup_start))
        return max(0.05, self.cold_capacity + (1.0 - self.cold_capacity) * done)

    def start_warmup(self, started_at: float, rules: api.RoutingRules) -> None:
        """It counts as started at `started_at`."""
        self.warmup_start = started_at
        self.warmup_end = started_at + rules.warm_within
        self.cold_capacity = rules.cold_from

    def record_silence(self, now: float) -> bool:
        """A sign of silence; enough of them in a row and slots move off it. True when that begins."""
        self.consecutive_failures += 1
        begins = self.consecutive_failures >= EJECT_AFTER_FAILURES and not self.ejected
        if begins:
            self.ejected = True
            self.ejected_at = now
            self.probes = 0
            self.probe_at = now + PROBE_DELAY_MS
        return begins

    def record_success(self, now: float, rules: api.RoutingRules, list_followed: bool) -> None:
        """Any sign of life. After a trial slots grow in again, slowly if it may have restarted unheard of: a
        list that is followed tells. Guards against a healed link after which all far ones count as cold."""
        self.last_response_at, self.consecutive_failures = now, 0
        if self.ejected:
            self.ejected = False
            self.latency_ewma = 0.0
            if not list_followed and now - self.ejected_at > RESTART_AFTER_MS and self.warmup_end < now:
                self.start_warmup(now, rules)

    def count_sends(self, now: float, window_ms: float) -> int:
        """Sends in the last `window_ms`."""
        while self.send_times and self.send_times[0] <= now - window_ms:
            self.send_times.popleft()
        return len(self.send_times)


# --------------------------------------------------------------------------------------------- membership


class EndpointList:
    """The server list as told, and the calls that keep it fresh."""

    def __init__(self, settings: api.RouterSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.states: dict[int, EndpointState] = {}
        self.version = 0  # grows with every change, so that tables know they are stale
        self.is_subscribed, self.called = not settings.subscribe, False
        self.call_at, self.wait_ms = float("-inf"), FIRST_BACKOFF_MS

    def apply(self, now: float, update: api.EndpointUpdate) -> None:
        """Apply an event of discovery."""
        if update.scope is UpdateScope.FAILED:
            self.is_subscribed, self.called = not self.settings.subscribe, False
            last = PUSHED_BACKOFF_MS if self.settings.pushed else MAX_BACKOFF_MS
            self.call_at = now + min(last, self.wait_ms) * (0.5 + 0.5 * self.rng.random())
            self.wait_ms = min(MAX_BACKOFF_MS, self.wait_ms * 2.0)
            return
        if update.scope is not UpdateScope.CACHED:  # also from a watch that began unasked, at a new address
            self.is_subscribed, self.called, self.wait_ms = True, False, FIRST_BACKOFF_MS
        for member in update.endpoints:
            self._apply_endpoint(now, member)
        named = {member.endpoint_id for member in update.endpoints}
        for server in self.states.values():
            if update.scope is not UpdateScope.DELTA and server.id not in named:
                server.status = Status.REMOVED
        self.version += 1
        self.states = {n: s for n, s in self.states.items() if s.status is not Status.REMOVED or s.in_flight}

    def _apply_endpoint(self, now: float, endpoint: api.Endpoint) -> None:
        server = self.states.get(endpoint.endpoint_id)
        if server is None:
            room = max(MIN_START_CONCURRENCY, START_CONCURRENCY / self.settings.routers)
            server = self.states[endpoint.endpoint_id] = EndpointState(endpoint, now, room)
            if endpoint.started_at > 0 and now - endpoint.started_at < self.settings.rules.warm_within:
                server.start_warmup(endpoint.started_at, self.settings.rules)
            return
        if endpoint.started_at > server.endpoint.started_at:
            # a restart: cold from then on, and what was learned of the old process is void
            server.start_warmup(endpoint.started_at, self.settings.rules)
            server.latency_ewma = 0.0
            if server.ejected and endpoint.started_at > server.ejected_at - self.settings.rules.ask_every:
                server.probe_at = now
        server.endpoint = endpoint
        server.status = endpoint.status

    def begin_due_call(self, now: float) -> bool:
        """Whether to subscribe now; repeats are spaced so that a list in trouble is not stormed."""
        lost = now > self.call_at + self.settings.rules.ask_every  # an answer that never came
        if self.is_subscribed or now < self.call_at or (self.called and not lost):
            return False
        self.called, self.call_at = True, now
        return True


# ---------------------------------------------------------------------------------------- pools and slots


class RendezvousTable:
    """The servers of one set in rendezvous order by ids, and by sizes where all routers are told them alike,
    for each slot asked for. A new one is put in its place; one that left stays, unusable, until many have."""

    def __init__(self, weighted: bool) -> None:
        self.weighted = weighted
        self.entries: dict[int, tuple[EndpointState, float]] = {}
        self.orders: dict[int, tuple[array[float], list[EndpointState]]] = {}  # thousands: kept small
        self.departed = 0

    def update(self, servers: list[EndpointState]) -> None:
        """Take over a changed set."""
        before, self.entries = self.entries, {s.id: (s, s.endpoint.weight) for s in servers}
        new = [s for s in servers if s.id not in before or before[s.id][0] is not s]
        self.departed += len(before) + len(new) - len(servers)
        resized = self.weighted and any(before.get(n, told)[1] != told[1] for n, told in self.entries.items())
        if resized or 2 * self.departed > len(servers):
            self.orders.clear()
            self.departed = 0
        for server in new:
            for slot, (distances, order) in self.orders.items():
                at = bisect(distances, distance := self._distance(server, slot))
                distances.insert(at, distance)
                order.insert(at, server)

    def order_for(self, slot: int) -> list[EndpointState]:
        """All servers for a slot, its holder first."""
        found = self.orders.get(slot)
        if found is None:
            held = sorted((self._distance(s, slot), n, s) for n, (s, _) in self.entries.items())
            found = self.orders[slot] = array("d", [entry[0] for entry in held]), [entry[2] for entry in held]
        return found[1]

    def _distance(self, server: EndpointState, slot: int) -> float:
        size = max(1e-3, server.endpoint.weight) if self.weighted else 1.0
        return -log(max(1e-12, hash_to_unit(server.id * 0x10001 + slot))) / size


class EndpointPools:
    """Keep and overflow pools of the home zone, the slot tables, and how far overflow reaches beyond."""

    def __init__(self, settings: api.RouterSettings, endpoints: EndpointList) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.list_version = -1
        self.home_zone: list[EndpointState] = []
        self.endpoints_each = 1.0  # cache servers for each router
        self.origins: list[EndpointState] = []
        self.home_table = RendezvousTable(settings.sized_weights)
        self.fleet_table = RendezvousTable(settings.sized_weights)
        self.keep_share, self.keep_reads = INITIAL_KEEP_SHARE, KEEP_PRIOR_READS  # reads of top-k' keys
        self.wide_share = 0.0
        self.reads = self.short_reads = 0

    def refresh(self) -> None:
        """Follow a change of the list."""
        if self.list_version == self.endpoints.version:
            return
        self.list_version = self.endpoints.version
        kind = self.settings.origin_kind if self.settings.mode is Mode.ASIDE else -1
        ready = [s for s in self.endpoints.states.values() if s.status is Status.READY]
        caches = sorted((s for s in ready if s.endpoint.kind != kind), key=lambda s: (hash64(s.id), s.id))
        self.origins = sorted((s for s in ready if s.endpoint.kind == kind), key=lambda s: s.id)
        for server in self.home_zone:
            server.rank = -1
        self.home_zone = [s for s in caches if s.endpoint.zone == self.settings.zone] or caches
        for rank, server in enumerate(self.home_zone):
            server.rank = rank
        self.endpoints_each = len(caches) / self.settings.routers
        self.home_table.update(self.home_zone)
        self.fleet_table.update(caches)

    def record_read(self, in_keep_pool: bool) -> None:
        """One read. The keep pool's share of the servers follows its share of this router's reads: else many
        routers, that each see too little to know a popular key, crowd the overflow pool."""
        self.keep_reads = min(KEEP_MEMORY_READS, self.keep_reads + 1.0)
        self.keep_share += (in_keep_pool - self.keep_share) / self.keep_reads

    def keep_pool_size(self) -> int:
        """How many of the home servers are the keep pool; neither pool is empty if there are two."""
        size = len(self.home_zone)
        return size if size < 2 else min(size - 1, max(1, round(size * self.keep_share)))

    def holder_count(self, read_share: float) -> int:
        """How many servers of its slot's order hold a key with this share: a hot one is too much for one."""
        return 1 + int(read_share * len(self.home_zone) / HOT_KEY_SHARE)

    def candidates(self, slot: int, in_keep_pool: bool, fleet_wide: bool) -> Iterator[EndpointState]:
        """The servers of a slot in its pool, or in the whole fleet, in rendezvous order."""
        if fleet_wide:
            yield from self.fleet_table.order_for(slot)
            return
        border = self.keep_pool_size()
        for server in self.home_table.order_for(slot):
            if server.rank >= 0 and ((server.rank < border) is in_keep_pool or border == len(self.home_zone)):
                yield server

    def is_wide(self, slot: int) -> bool:
        """Whether an overflow slot is held by the whole fleet at present."""
        return self.wide_share > 0 and hash_to_unit(slot ^ 0x5EED) < self.wide_share

    def adjust_wide_share(self, origin_overloaded: bool) -> None:
        """Bounded spill: overflow reaches beyond the home zone while that, or the origin, is short."""
        if origin_overloaded:
            self.wide_share = min(1.0, self.wide_share + WIDE_SHARE_GROWTH)
        if self.reads < MIN_SAMPLES:
            return
        if self.short_reads > SHORTAGE_SHARE * self.reads:
            self.wide_share = min(1.0, self.wide_share + WIDE_SHARE_GROWTH)
        elif not origin_overloaded:
            self.wide_share = max(0.0, self.wide_share - WIDE_SHARE_DECAY)
        self.reads = self.short_reads = 0


# --------------------------------------------------------------------------------------- origin admission


class OriginAdmission:
    """How many fetches this router has out at the origin, and who waits for one (aside mode)."""

    def __init__(self, settings: api.RouterSettings) -> None:
        self.configure(settings)
        aside = settings.mode is Mode.ASIDE
        self.limit = max(MIN_ASIDE_FETCHES, ASIDE_FETCHES / settings.routers) if aside else THROUGH_FETCHES
        # no pauses in through mode: a fetch's time holds the wait at the cache; no pause shortens that
        self.min_limit = MIN_FETCHES if aside else 1.0
        self.in_flight = self.total = self.sequence = 0
        self.pause_end = self.last_cut_at = float("-inf")
        self.busy = self.busy_at = 0.0  # fetches out, on the average
        # the smoothed time is compared with its own least: single ones spread widely on a healthy origin
        self.best = self.latency_ewma = 0.0
        self.queue: list[tuple[float, int, int]] = []

    def configure(self, settings: api.RouterSettings) -> None:
        """Aims as they are now. `most` guards against a router restarted into a jam, which takes that for its
        best. In through mode the time of a fetch holds the wait at the cache, so it says less."""
        aims = [c.objective_ms for c in settings.classes]
        self.slow_ms = OVERLOAD_SHARE * min(aims)
        self.max_slow_ms = OVERLOAD_SHARE * max(aims) if settings.mode is Mode.ASIDE else inf

    def admits(self, now: float) -> bool:
        """Whether one more fetch may go out."""
        return self.in_flight < max(1, int(self.limit)) and now >= self.pause_end

    def add_in_flight(self, now: float, delta: int) -> None:
        """A fetch goes out or ends."""
        self.busy += (self.in_flight - self.busy) * (1.0 - exp(min(0.0, self.busy_at - now) / BUSY_MEMORY_MS))
        self.busy_at = now
        self.in_flight += delta

    def is_strained(self) -> bool:
        """Whether it takes clearly longer than it did at its best."""
        return self.total >= FETCH_SAMPLES and self.latency_ewma > max(STRAIN_RATIO * self.best, self.slow_ms)

    def enqueue(self, worth: float, ref: int) -> None:
        """Wait for a place; the dearest first, then the latest, who can still be in time."""
        self.sequence += 1
        heapq.heappush(self.queue, (-worth, -self.sequence, ref))

    def reduce_limit(self, now: float) -> None:
        """Cut from what is in use, not from a limit that may never have been reached; not at each answer."""
        if now - self.last_cut_at > max(100.0, min(400.0, self.latency_ewma)):
            in_use = max(1.0, 2.0 * self.busy + min(2.0, 2.0 * self.busy))
            cut = FETCH_CUT_FACTOR if self.limit >= 1.0 else LOW_FETCH_CUT_FACTOR
            self.limit = max(self.min_limit, min(self.limit, in_use) * cut)
            self.last_cut_at = now

    def record_fetch(self, now: float, sample_ms: float, succeeded: bool) -> None:
        """Learn from one fetch: additive increase, multiplicative decrease."""
        self.latency_ewma += (sample_ms - self.latency_ewma) * EWMA_WEIGHT if self.latency_ewma else sample_ms
        self.total += 1
        if self.total >= FETCH_SAMPLES:
            self.best = min(self.best * BEST_DRIFT, self.latency_ewma) if self.best else self.latency_ewma
        # A quick one is no sign of crowding: guards against a mean, raised by time-outs, that shuts it.
        bar = max(self.slow_ms, min(self.max_slow_ms, OVERLOAD_RATIO * self.best))
        if not succeeded or (self.total >= FETCH_SAMPLES and min(sample_ms, self.latency_ewma) > bar):
            self.reduce_limit(now)
        elif self.limit < 1.0:
            self.limit *= FETCH_GROWTH_FACTOR
        elif self.in_flight + 1 >= int(self.limit) * 0.7:  # int as in `free`: else 1.5 never regrows
            self.limit = min(MAX_FETCHES, self.limit + 2.0 / self.limit)
        if self.limit < 1.0:
            self.pause_end = now + min(MAX_FETCH_PAUSE_MS, self.latency_ewma * (1.0 / self.limit - 1.0))


# ------------------------------------------------------------------------------------------------ tenants


class TenantShares:
    """Which requests are beyond their tenant's share: odds against the others' traffic at this router."""

    def __init__(self, settings: api.RouterSettings) -> None:
        self.updated_at = 0.0
        self.rates: list[float] = []
        self.balances: list[float] = []
        self.configure(settings)

    def configure(self, settings: api.RouterSettings) -> None:
        """Shares as they are now; tenants are never fewer."""
        self.tenants = settings.tenants
        self.rates += [0.0] * (len(self.tenants) - len(self.rates))
        self.balances += [0.0] * (len(self.tenants) - len(self.balances))

    def is_over_share(self, now: float, tenant: int) -> bool:
        """Count a request; true if it is beyond its tenant's share."""
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


# ----------------------------------------------------------------------------------------------- pressure


class LoadShedder:
    """How early to refuse: the part of the aim that an expected time may take, learned from answers that were
    late. Guards against a crowded fleet that serves everybody a little too late, which serves nobody."""

    def __init__(self) -> None:
        self.wait_share, self.responses, self.late_loss = 1.0, 0, 0.0
        self.in_flight, self.limit = 0, INITIAL_IN_FLIGHT  # attempts at cache servers
        self.min_limit, self.last_cut_at = 1.0, float("-inf")

    def is_overloaded(self, relative_worth: float) -> bool:
        """Whether a request of this worth (0 to 1) is too much beside what this router has in hand. Guards
        against a burst that crowds every server before a router with few answers has seen them come late."""
        return self.in_flight >= self.limit * (1.0 + WORTH_HEADROOM * relative_worth)

    def adjust_limit(self, now: float, latency_ms: float, is_slow: bool) -> None:
        """One answer of a cache server: additive increase, multiplicative decrease."""
        if not is_slow:
            if self.in_flight + 1 >= self.limit * 0.5:
                self.limit = min(INITIAL_IN_FLIGHT, self.limit + 1.0 / self.limit)
        elif now - self.last_cut_at > max(100.0, min(400.0, latency_ms)):
            self.limit = max(self.min_limit, min(self.limit, 2.0 * self.in_flight + 2.0) * IN_FLIGHT_CUT)
            self.last_cut_at = now

    def record_loss(self, lost_worth: float) -> None:
        """One answer, and the part of its worth that was lost because it came late."""
        self.responses += 1
        self.late_loss += lost_worth

    def adjust_wait_share(self) -> None:
        """Ask for more room while many are late, give it back slowly."""
        if self.responses < MIN_SAMPLES:
            return
        if self.late_loss > MAX_LATE_LOSS * self.responses:
            self.wait_share = max(MIN_WAIT_SHARE, self.wait_share * LATE_CUT_FACTOR)
        else:
            self.wait_share = min(1.0, self.wait_share * LATE_GROWTH_FACTOR)
        self.responses, self.late_loss = 0, 0.0


# ------------------------------------------------------------------------------------- requests in hand


@dataclass(slots=True)
class AttemptRecord:
    """One send of a request."""

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
    limits: api.RouterLimits  # as it was taken with, like its class
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
    check_at: float = 0.0  # for a look at its attempt, which is overdue from ...
    overdue_at: float = 0.0  # ... this time on
    missed_endpoint: EndpointState | None = None
    is_partial: bool = False
    waiters: list[int] = field(default_factory=list)

    @property
    def objective_at(self) -> float:
        """When the full worth is lost."""
        return min(self.deadline, self.begun_at + self.klass.objective_ms)

    @property
    def repeatable(self) -> bool:
        """Whether a repeat may go to any server and a refusal is true although it may have run."""
        klass = self.klass
        return klass.effect is Effect.RETRYABLE or (klass.effect is Effect.DEDUP and klass.group is Group.ALL)

    def in_flight_count(self) -> int:  # attempts that are out
        return sum(a.in_flight for a in self.attempts)

    def first_unsafe_attempt(self) -> AttemptRecord | None:  # that may have run
        return next((a for a in self.attempts if not a.never_ran), None)

    def tried_ids(self) -> set[int]:  # servers it went to
        return {a.server.id for a in self.attempts}


# ------------------------------------------------------------------------------------------------- router


class Router:
    """One router instance: the only place that dispatches, and where the rules are enforced."""

    def __init__(self, settings: api.RouterSettings, seed: int) -> None:
        self.settings = settings
        self.rng, self.popularity = random.Random(seed), PopularityFilter()
        self.endpoints = EndpointList(settings, self.rng)
        self.pools = EndpointPools(settings, self.endpoints)
        self.origin = OriginAdmission(settings)
        self.tenants = TenantShares(settings)
        self.shedder = LoadShedder()
        self.pending: dict[int, PendingRequest] = {}
        self.fetch_leaders: dict[int, int] = {}
        self.retry_budget = MAX_RETRY_BUDGET
        self.probe_budget, self.probe_index = 0.0, 0
        self.service_time = FIRST_GUESS_MS  # latency for each request in hand, fleet-wide
        self.mean_latency, self.deviation = 100.0, 50.0  # latency of cache answers
        self._reconfigure(settings)
        self.has_started, self.now, self.last_control_at = False, 0.0, 0.0
        self.actions: list[api.Action] = []
        self.logged_at: dict[str, float] = {}
        self.origin_waits = 0  # checks at which a request waited for the origin
        self.timeouts = AdaptiveTimeout()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event. Peers' messages are not among them: each router trusts its own outcomes."""
        self.now = now
        self.actions = []
        if not self.has_started:
            self.has_started = True
            self.endpoints.call_at = now + self.rng.random() * (0.0 if self.settings.pushed else JITTER_MS)
            self.actions.append(api.SetTimer(TICK_TIMER, now + 50.0))
        match event:
            case api.RequestArrived():
                self._accept_request(event)
            case api.AttemptEnded():
                self._handle_outcome(event)
            case api.RequestCompleted():
                self._complete_request(event)
            case api.TimerFired():
                self._handle_timer(event.token)
            case api.EndpointUpdate():
                self.endpoints.apply(now, event)
                self.pools.refresh()  # at once: an attempt that ends with this list is repeated by it
            case api.Reconfigured():
                self._reconfigure(event.settings)
            case api.ProbeResult():
                self._record_probe(event)
            case api.ClientDisconnected():
                if (job := self.pending.get(event.ref)) is not None:
                    self._close(job)
            case api.FirstByte():
                self._start_response(event)
        return self.actions

    def _reconfigure(self, settings: api.RouterSettings) -> None:
        """Other settings from now on; what was learned, and the requests in hand with their class, stay."""
        self.settings = self.endpoints.settings = self.pools.settings = settings
        self.origin.configure(settings)
        self.tenants.configure(settings)
        self.max_worth = max(c.worth for c in settings.classes) or 1.0

    def _accept_request(self, event: api.RequestArrived) -> None:
        classes = self.settings.classes
        if event.ref in self.pending:
            return
        klass = classes[event.class_index] if event.class_index < len(classes) else classes[0]
        aside_write = event.is_write and self.settings.mode is Mode.ASIDE
        if not event.key:
            keep, last, heat = hash_to_unit(event.ref) < self.pools.keep_share, 0, 0.0  # no rank
        else:
            keep, last, heat = (False, 0, 0.0) if aside_write else self.popularity.touch(event.key)
            if not aside_write:
                self.pools.record_read(keep)
        over = self.tenants.is_over_share(self.now, event.tenant_index)
        job = PendingRequest(
            ref=event.ref,
            event=event,
            klass=klass,
            limits=self.settings.limits,
            begun_at=self.now,
            deadline=self.now + max(0.0, event.time_left_ms),
            is_partial=event.is_partial,
            slot=hash64(event.key or event.ref) % SLOT_COUNT,
            in_keep_pool=keep,
            last_endpoint_id=last,
            holders=self.pools.holder_count(heat) if keep else 1,
            worth=klass.worth * (self.settings.over_share_worth if over else 1.0),
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
        """A request that was coming is whole: its time, and that of its attempt, counts from here."""
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
        """Send to the holder of the key's slot, or to the next in order that can do it in time."""
        if not job.attempts and self.shedder.is_overloaded(job.worth / self.max_worth):
            self._finish(job, EndReason.OVERLOADED)
            return
        server, wait = self._choose_endpoint(job)
        if server is None:
            self._finish(job, EndReason.NO_ENDPOINT)
            return
        limit = job.klass.objective_ms * self.shedder.wait_share * (0.6 + 0.4 * job.worth / self.max_worth)
        if wait > limit and not job.attempts:
            # pressure: an answer in time is not to be had; the cheapest and the over-share feel it first
            self._finish(job, EndReason.TOO_SLOW)
            return
        if self._may_fetch(job, server) and not (self.origin.admits(self.now) or job.is_partial):
            # writes too: let past, they and their repeats alone can keep a failing origin down
            job.is_queued = True
            self.origin.enqueue(job.worth, job.ref)
            return
        self._send(job, server)

    def _may_fetch(self, job: PendingRequest, server: EndpointState) -> bool:
        """Through mode: whether the origin is likely asked; its failing fetches must not hold up all else."""
        lacking = job.event.key != 0 and not self._is_cached(job, server)
        return self.settings.mode is Mode.THROUGH and (job.event.is_write or lacking)

    def _is_cached(self, job: PendingRequest, server: EndpointState) -> bool:
        """Whether the key went well to this server before, or to another of its holders."""
        return job.last_endpoint_id == server.id or (job.holders > 1 and job.last_endpoint_id != 0)

    def _choose_endpoint(self, job: PendingRequest) -> tuple[EndpointState | None, float]:
        pools = self.pools
        bound = WAIT_BOUND_SHARE * job.klass.objective_ms
        tried = job.tried_ids()
        stays = job.in_keep_pool and pools.wide_share > 0 and job.holders == 1
        stay = self.endpoints.states.get(job.last_endpoint_id) if stays else None
        if stay is not None and stay.id not in tried and self._is_usable(stay, job.slot):
            # While short, a key that hits where it is does not change its pool: that would cost a fetch more.
            wait = self._expected_wait(job, stay)
            if wait <= bound:
                self._record_shortage(job, False)
                return stay, wait
        home = pools.candidates(job.slot, job.in_keep_pool, job.holders == 1 and pools.is_wide(job.slot))
        if job.holders > 1:  # holders in turn, by the request: all routers together load them evenly
            holders = list(islice(home, job.holders))
            turn = hash64(job.ref) % max(1, len(holders))
            home = chain(holders[turn:], holders[:turn], home)
        first: EndpointState | None = None
        best: EndpointState | None = None
        best_wait = float("inf")
        # The pool first; if all its candidates are past the bound or unusable, the fleet's order.
        for order in (home, None):
            looked = 0
            for server in order or pools.candidates(job.slot, job.in_keep_pool, True):
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
                looked += 1
                if looked >= MAX_CANDIDATES or wait <= bound:
                    break
            if best_wait <= bound:
                return best, best_wait
        if best is None:
            # most of the fleet silent at once is more likely our own link: all are tried
            for server in pools.candidates(job.slot, job.in_keep_pool, True):
                if server.status is Status.READY and server.id not in tried and self._has_cold_budget(server):
                    return server, server.expected_latency(self.now, self.service_time)
        return best, best_wait

    def _record_shortage(self, job: PendingRequest, is_short: bool) -> None:
        """What a read found first: whether its holder can do it within the bound."""
        if not job.attempts:
            self.pools.reads += 1
            self.pools.short_reads += is_short
            if job.in_keep_pool:
                self.popularity.record_attempt(is_short)

    def _fetch_penalty(self, job: PendingRequest, server: EndpointState) -> float:
        """Aside mode, origin short: a move likely costs a fetch, and may overload the origin too."""
        dear = self.origin_waits > 0 and self.settings.mode is Mode.ASIDE and not self._is_cached(job, server)
        return self.origin.latency_ewma if dear else 0.0

    def _expected_wait(self, job: PendingRequest, server: EndpointState) -> float:
        """Expected time of an answer; past the aim where no room is left."""
        wait = server.expected_latency(self.now, self.service_time)
        if server.in_flight >= server.concurrency_limit * (1.0 + WORTH_HEADROOM * job.worth / self.max_worth):
            wait = max(wait, job.klass.objective_ms * (1.0 + server.in_flight / server.concurrency_limit))
        return wait

    def _is_usable(self, server: EndpointState, slot: int) -> bool:
        """Ready, not failing, and, while cold, a holder of this slot with room in its budget."""
        if server.status is not Status.READY or server.ejected:
            return False
        if self.now >= server.warmup_end:
            return True
        holds_slot = hash_to_unit(server.id * 0x20003 + slot) < server.min_warm_share(self.now)
        return holds_slot and self._has_cold_budget(server)

    def _has_cold_budget(self, server: EndpointState) -> bool:
        """Rule 4: over any window a cold server gets at most its least told capacity's part of what this
        router sends to a warm neighbour, which is within that neighbour's capacity for all together."""
        if self.now >= server.warmup_end:
            return True
        span = max(1.0, self.settings.rules.fall)
        warm = [s for s in self.endpoints.states.values() if self._is_warm(s)]
        near = [s for s in warm if s.endpoint.zone == server.endpoint.zone]
        size = sum(s.endpoint.weight for s in warm) / len(warm) if warm else 0.0
        part = 1.0 if near or size <= 0 else COLD_REMOTE_FACTOR * min(1.0, server.endpoint.weight / size)
        warm = near or warm  # a zone that started as a whole idles: then all warm ones are the measure
        usual = part * sum(s.count_sends(self.now, span) for s in warm) / len(warm) if warm else 0.0
        many = self.settings.routers  # hundreds of them would push it over by one send each: they draw
        turn = hash_to_unit(hash64(server.id) ^ hash64(self.settings.position << 32 | int(self.now / span)))
        floor = 1.0 if many <= 2 * MIN_COLD_SENDS else MIN_COLD_SENDS / many
        budget = floor + COLD_SEND_SHARE * server.min_warm_share(self.now) * usual
        return server.count_sends(self.now, span) < (budget if floor == 1.0 else int(budget + turn))

    def _is_warm(self, server: EndpointState) -> bool:
        """Whether it is a cache server that is ready, answers and is past its warm-up."""
        usable = server.status is Status.READY and not server.ejected
        return usable and self.now >= server.warmup_end and server.endpoint.kind != self.settings.origin_kind

    def _fetch_from_origin(self, job: PendingRequest) -> None:
        """Aside mode: a miss or a write. Repeats of a key that is being fetched wait for that fetch."""
        job.to_origin = True
        key = job.event.key
        if not job.event.is_write and key and not job.shares_fetch:
            leader = self.pending.get(self.fetch_leaders.get(key, -1))
            if leader is not None and leader is not job:
                leader.waiters.append(job.ref)
                job.shares_fetch = True
                return
        if not self.pools.origins:
            self._finish(job, EndReason.NO_ORIGIN)
            return
        if not job.event.is_write and key:
            self.fetch_leaders[key] = job.ref
        if self.origin.admits(self.now) or job.is_partial:  # what is coming is no load yet
            self._dispatch(job)
        else:
            job.is_queued = True
            self.origin.enqueue(job.worth, job.ref)

    def _dispatch(self, job: PendingRequest) -> None:
        """Its turn at the origin: aside mode asks there, through mode asks a cache server that will."""
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
        """Give free places at the origin to those who wait; who cannot be in time any more is turned away."""
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

    # ------------------------------------------------------------------- sending and answering: the rules

    def _may_send(self, job: PendingRequest, server: EndpointState) -> bool:
        """The rules, for every path: one final answer, no second effect, orderly drain, attempts, copies."""
        limits, klass = job.limits, job.klass
        if job.is_final or self.now >= job.deadline or len(job.attempts) >= limits.max_attempts:
            return False
        if server.status is not Status.READY:
            return False  # rule 3: at once, not at the end of the grace
        if not self._has_cold_budget(server):
            return False  # rule 4, whatever path led here
        out = job.in_flight_count()
        if out and (not limits.allow_hedging or out > 1):
            return False
        risk = job.first_unsafe_attempt()
        if risk is None:
            return True
        here, there = server.endpoint, risk.server.endpoint
        near = {Group.ZONE: here.zone == there.zone, Group.CELL: here.cell == there.cell}
        in_window = self.now <= self._repeat_until(job)
        return in_window and (klass.effect is Effect.RETRYABLE or near.get(klass.group, True))

    def _repeat_until(self, job: PendingRequest) -> float:
        """The last moment at which what may have run may be sent again."""
        klass, risk = job.klass, job.first_unsafe_attempt()
        if risk is None or klass.effect is Effect.RETRYABLE:
            return inf
        window = klass.repeat_window_ms * (1.0 - DEDUP_WINDOW_MARGIN)
        return risk.sent + window if klass.effect is Effect.DEDUP else -inf

    def _send(self, job: PendingRequest, server: EndpointState) -> None:
        if not self._may_send(job, server):
            if not job.in_flight_count():
                self._finish(job, EndReason.NOT_PERMITTED)
            return
        at_origin = job.to_origin
        gated = not job.is_partial and (at_origin or self._may_fetch(job, server))
        usual = (
            self.origin.latency_ewma if at_origin else server.expected_latency(self.now, self.service_time)
        )
        wait = self.timeouts.start(self.now, at_origin, usual or FIRST_GUESS_MS, job.event.cost_hint)
        begin_by = self._repeat_until(job)
        job.attempts.append(AttemptRecord(server, self.now, server.load(self.now), at_origin, gated, wait))
        server.in_flight += 1
        self.origin.add_in_flight(self.now, int(gated))
        if not at_origin:
            self.shedder.in_flight += 1
            server.send_times.append(self.now)
            server.count_sends(self.now, max(1.0, self.settings.rules.fall))
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
        """Answer a request that is not served: refuse it where that is true, else, or if invalid, fail it."""
        if job.is_final:
            return
        risk = job.first_unsafe_attempt()
        if (risk is None or job.repeatable) and self.now < job.deadline and reason is not EndReason.INVALID:
            away = min(self.settings.limits.max_retry_after_ms, job.klass.objective_ms)
            self.actions.append(api.Refuse(job.ref, away, reason))
        else:
            self.actions.append(api.Fail(job.ref, reason))
        self._close(job)

    def _close(self, job: PendingRequest, streamed: AttemptRecord | None = None) -> None:
        """Nothing more is owed: free what the request holds. A fetch that is out goes on, and is shared."""
        if job.is_final:
            return
        job.is_final, job.is_queued = True, False
        if self.settings.limits.allow_cancel:
            for number, attempt in enumerate(job.attempts):
                if attempt.in_flight and not attempt.to_origin and attempt is not streamed:
                    self.actions.append(api.Cancel(job.ref, number))
        self._remove_if_done(job)

    def _end_fetch(self, job: PendingRequest) -> None:
        """Those who wait for its fetch go on; not before, though its own client may have left."""
        if self.fetch_leaders.get(job.event.key) == job.ref:
            del self.fetch_leaders[job.event.key]
        waiters, job.waiters = job.waiters, []
        for waiter in filter(None, map(self.pending.get, waiters)):
            if not waiter.is_final:
                self._resume_waiter(waiter, job)

    def _resume_waiter(self, waiter: PendingRequest, leader: PendingRequest) -> None:
        """A shared fetch is over: read the stored copy, or fetch for oneself if it failed. If it never ran,
        as its own client left before, the first who waits makes it, and the others go on waiting."""
        asked, stored = [a for a in leader.attempts[-1:] if a.to_origin], leader.missed_endpoint
        waiter.shares_fetch = not (asked and asked[0].never_ran)
        if waiter.shares_fetch and asked and stored and self._is_usable(stored, waiter.slot):
            waiter.to_origin = False
            self._send(waiter, stored)
        else:
            self._fetch_from_origin(waiter)

    def _remove_if_done(self, job: PendingRequest) -> None:
        if job.is_final and not job.in_flight_count():
            self.pending.pop(job.ref, None)
            self._end_fetch(job)

    # ------------------------------------------------------------------------------------ what comes back

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
        elif event.result is Result.MISS and self.settings.mode is Mode.ASIDE:
            if job.missed_endpoint is None:
                job.missed_endpoint = attempt.server
            if not job.in_flight_count():
                self._fetch_from_origin(job)
        elif event.body_consumed and not job.in_flight_count():
            self._finish(job, EndReason.BODY_CONSUMED)
        elif event.result is Result.INVALID:
            self._finish(job, EndReason.INVALID)  # not five attempts, each of which would end the same way
        elif not job.in_flight_count():
            # a broken connection costs no budget, which is against storms of load
            self._retry(job, is_free=event.result in NO_LOAD_SIGNAL or attempt.wait.is_abandoned)
        if attempt.gated:
            self._admit_queued()

    def _record_response(self, job: PendingRequest, attempt: AttemptRecord, event: api.AttemptEnded) -> None:
        """What one result says of its server, the origin, the pools and the filter."""
        server, result, now = attempt.server, event.result, self.now
        server.in_flight -= 1
        self._record_load_report(server, event.load_report)
        # A spoilt answer is a sign of life; a reset alone is none of death: then dials are refused.
        silent = result in SILENT_RESULTS
        if silent:
            self._record_silence(server)
        elif event.malformed or result not in NO_HEALTH_SIGNAL:
            self._record_success(server)
        self.origin.add_in_flight(self.now, -int(attempt.gated))
        if attempt.to_origin:
            hung = result is Result.TIMEOUT and self.timeouts.is_hung(attempt.wait, self.origin.is_strained())
            if event.malformed or (result not in (*NO_HEALTH_SIGNAL, *NO_LOAD_SIGNAL) and not hung):
                succeeded = event.malformed or result in (Result.OK, Result.INVALID)
                self.origin.record_fetch(now, event.latency_ms, succeeded)
            elif result is Result.CONNECTION_LIMIT:  # a storm of dials would take the places that there are
                self.origin.reduce_limit(now)
                self.origin.pause_end = max(self.origin.pause_end, now + self.rng.random() * CONNECT_PAUSE_MS)
            return
        self.shedder.in_flight -= 1
        missed = result is Result.MISS or event.cache_status in (2, 3)
        # time-outs of a server that gave no sign of life since are its own, and no jam of the origin
        lively = server.last_response_at > attempt.sent
        failed = attempt.gated and (result is Result.ERROR or (result is Result.TIMEOUT and lively))
        if self.settings.mode is Mode.THROUGH and (missed or failed):
            self.origin.record_fetch(now, event.latency_ms, result is Result.OK)
        if job.event.key and (silent or result in (Result.RESET, Result.ERROR)):
            self.popularity.record_endpoint(job.event.key, 0)
        if not missed and result in (Result.OK, Result.TIMEOUT, Result.BUSY):
            slow = result is not Result.OK or event.latency_ms > SLOW_SHARE * job.klass.objective_ms
            server.adjust_concurrency_limit(now, event.latency_ms, slow)
            # not in through mode, where answers are slow behind fetches, nor without a sign of life
            if self.settings.mode is Mode.ASIDE and (not slow or lively or result is not Result.TIMEOUT):
                self.shedder.adjust_limit(now, event.latency_ms, slow)
        if result is Result.OK and not missed:
            server.record_latency(now, event.latency_ms, attempt.load_at_send)
            self.service_time += (event.latency_ms / (1.0 + attempt.load_at_send) - self.service_time) * 0.02
            self.deviation += (abs(event.latency_ms - self.mean_latency) - self.deviation) * 0.05
            self.mean_latency += (event.latency_ms - self.mean_latency) * 0.05
        elif result is Result.BUSY:
            server.record_latency(now, job.klass.objective_ms, attempt.load_at_send)
        if job.in_keep_pool and result not in (*NO_HEALTH_SIGNAL, Result.INVALID):
            bad = silent or result in (Result.ERROR, Result.BUSY) or event.latency_ms > job.klass.objective_ms
            # A miss in keep is trouble while the origin is short; not while cores are: k' would fall to 0.
            dear = self.pools.wide_share > 0 and self.origin_waits > 0
            self.popularity.record_attempt(bad or (missed and dear))

    def _record_load_report(self, server: EndpointState, load_report: tuple[float, ...]) -> None:
        fields = dict(zip(self.settings.report_fields, load_report, strict=False))
        held = fields.get("active")
        if held is None and "waiting" in fields:
            held = fields["waiting"] + min(server.in_flight, 1)  # what runs is not told
        if held is not None and held == held:
            server.record_load_report(self.now, held)

    def _retry(self, job: PendingRequest, is_free: bool) -> None:
        """Another attempt, if the retry budget and the time left allow it."""
        if (self.retry_budget < 1.0 and not is_free) or self.now >= self._useful_until(job):
            self._finish(job, EndReason.BUDGET if self.now < self._useful_until(job) else EndReason.NO_TIME)
            return
        self.retry_budget -= not is_free
        last = self.settings.mode is Mode.ASIDE and len(job.attempts) == job.limits.max_attempts - 1 <= FEW
        if job.to_origin or last:  # after a miss there would be no attempt left for the fetch
            self._fetch_from_origin(job)
        else:
            self._send_to_cache(job)

    def _handle_timer(self, token: int) -> None:
        kind, job = token & TIMER_KIND_MASK, self.pending.get(token & ~TIMER_KIND_MASK)
        if kind == TICK_TIMER:
            self._tick()
        elif job is not None and kind == DEADLINE_TIMER and self.now >= job.deadline:
            self._finish(job, EndReason.DEADLINE)
            self._end_fetch(job)  # what hangs there is not waited for
        elif job is not None and kind == CHECK_TIMER and not job.is_final and self.now >= job.check_at:
            self._expire_attempt(job)

    def _expire_attempt(self, job: PendingRequest) -> None:
        """No answer for a while: the request moves on where another attempt has the better chance, or its
        server may be silent. One that answered others meanwhile is slow, and waiting is cheaper."""
        if job.in_flight_count() != 1:
            return
        number, attempt = next((n, a) for n, a in enumerate(job.attempts) if a.in_flight)
        server, limits = attempt.server, job.limits
        if job.is_partial:
            return self._schedule_overdue(job)  # the sender side is not through: nobody can have answered
        movable = job.repeatable and len(job.attempts) < limits.max_attempts - 1 and not job.event.is_partial
        movable = movable and self.now <= self._repeat_until(job)  # above: what came in parts is not held
        waited = self.now - attempt.sent
        left, short = self._useful_until(job) - self.now, self.origin_waits > 0 or bool(self.origin.queue)
        if movable and limits.allow_cancel and self.timeouts.may_abandon(attempt.wait, self.now, left, short):
            other, cache = (attempt.server, None) if attempt.to_origin else self._choose_endpoint(job)
            fetch = None if self.settings.mode is Mode.THROUGH else self.origin.latency_ewma or FIRST_GUESS_MS
            if other is not None and self.timeouts.try_abandon(attempt.wait, self.now, left, cache, fetch):
                self.actions.append(api.Cancel(job.ref, number))
                return
        if self.now < job.overdue_at:
            self._schedule_check(job, job.overdue_at)
            return
        # not for a single long fetch: one outlier must not shut a healthy origin, nor must those that hang
        hung = attempt.to_origin and self.timeouts.is_hung(attempt.wait, self.origin.is_strained())
        sign = attempt.gated and not hung and (attempt.to_origin or server.last_response_at > attempt.sent)
        if sign and waited > max(LATE_FETCH_SHARE * job.klass.objective_ms, 3.0 * self.origin.latency_ewma):
            self.origin.reduce_limit(self.now)  # no need to wait for the failure
        if attempt.to_origin:
            self._schedule_overdue(job)
            return
        server.record_latency(self.now, waited, attempt.load_at_send)
        if waited > SLOW_SHARE * job.klass.objective_ms:
            server.adjust_concurrency_limit(self.now, waited, True)
        if server.last_response_at > attempt.sent:
            self._schedule_overdue(job)
            return
        self._record_silence(server)
        self._probe(server)
        if not server.ejected:
            self._schedule_overdue(job)  # one long wait is no proof of silence: avoid a storm of copies
        elif not movable or self.retry_budget < 1.0:
            self._schedule_check(job, inf)  # what it says of its server is told
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
            self._close(job, attempt)  # the stream is the answer; its own end comes as an outcome

    # ------------------------------------------------------------------------------------- housekeeping

    def _record_success(self, server: EndpointState) -> None:
        server.record_success(self.now, self.settings.rules, self.endpoints.is_subscribed)

    def _record_silence(self, server: EndpointState) -> None:
        if server.record_silence(self.now):
            self._log("failing", f"server {server.id} gives no sign of life; its slots move on")

    def _log(self, kind: str, text: str) -> None:
        """A line for staff, one of a kind in LOG_EVERY: a storm must not flood the log."""
        if self.now >= self.logged_at.get(kind, float("-inf")) + LOG_INTERVAL_MS:
            self.logged_at[kind] = self.now
            self.actions.append(api.Log(text))

    def _log_overload(self) -> None:
        queue, list_ = self.origin.queue, self.endpoints
        for kind, on, text in (
            ("wide", self.pools.wide_share >= 0.5, "home zone or origin short: overflow reaches all zones"),
            ("late", self.shedder.wait_share < 0.7, "answers are late: refusing earlier"),
            ("origin", len(queue) > self.origin.limit, f"{len(queue)} requests wait for the origin"),
            ("list", not list_.called and list_.wait_ms >= MAX_BACKOFF_MS, "the server list does not answer"),
        ):
            if on:
                self._log(kind, text)

    def _tick(self) -> None:
        self.actions.append(api.SetTimer(TICK_TIMER, self.now + 100.0))
        self.shedder.min_limit = max(1.0, MIN_IN_FLIGHT_EACH * self.pools.endpoints_each)
        if self.endpoints.begin_due_call(self.now):
            self.actions.append(api.Watch(True))
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

    def count_avoided(self) -> int:
        """How many servers of the list get nothing at present."""
        listed = (s for s in self.endpoints.states.values() if s.status is not Status.REMOVED)
        return sum(s.ejected or s.status is Status.DRAINING for s in listed)

    def _probe(self, server: EndpointState) -> None:
        if self.settings.limits.allow_probes and not server.probing and server.status is Status.READY:
            server.probing = True
            self.actions.append(api.Probe(server.id))

    def _send_probes(self) -> None:
        """Trials of failing servers, and sparing looks at the others for their load."""
        servers = [s for s in self.endpoints.states.values() if s.status is Status.READY]
        for server in servers:
            if server.ejected and self.now >= server.probe_at:
                server.probes += 1
                server.probe_at = self.now + min(MAX_PROBE_DELAY_MS, PROBE_DELAY_MS * 2.0**server.probes)
                if self.settings.limits.allow_probes:
                    self._probe(server)
                else:
                    server.consecutive_failures = EJECT_AFTER_FAILURES - 1  # one request is the trial
                    server.ejected = False
        pool = self.pools.home_zone
        if self.probe_budget >= 1.0 and pool and self.settings.report_fields:
            self.probe_index += 1
            self.probe_budget -= 1.0
            self._probe(pool[self.probe_index % len(pool)])

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
