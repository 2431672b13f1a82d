"""Every decision of a router. Read `rosepick/decisions/api.py` first: all that comes in and goes out.

The ordinary path of a read: `Filter` tells whether its key stands within the top k' of this router's LRU list
(then the keep pool serves it, else the overflow pool), `Pools` turns the key into a slot and the slot into a
server of that pool in the home zone, and `Router` sends. Where the cache servers do not fetch for themselves
(aside mode), a miss and every write go on to the origin through `Origin`. The rest is what happens when
something is slow, cold, silent, gone or crowded. Each departure says when it acts; docs/design.md lists them.

The four rules are kept in one place: all sends pass `Router._send`, all final answers `Router._finish`.
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

from ..waiting.waiting import Wait, Waiting
from . import api
from .api import NEVER_RAN, Effect, Group, Mode, Result, Scope, State, Why

# ------------------------------------------------------------------------------------------- constants
# Times are milliseconds. Each is a choice about behaviour in general, none a measurement of one fleet.

LIST_SIZE = 20_000  # key names held: far more than one router meets while an object stays cached
TOP_START = 4_000  # k' at the start: open enough that a key met twice is kept, until trouble says otherwise
TOP_FLOOR = 8  # k' never falls under this, so that the hottest keys keep their place
TOP_SHRINK = 0.8  # k' after a round with too much trouble ...
TOP_CREEP = 1.05  # ... and after a calm one: down fast, up slowly
TROUBLE_TARGET = 0.12  # share of keep-pool attempts that may end badly or slowly
LOOP_EVERY = 500.0  # how often the loops look; long enough for a few dozen answers
LOOP_SAMPLES = 40  # fewer answers than this say nothing: a router may see few a second

SLOTS = 4_096  # many slots a server, so that a pool's slots part evenly
KEEP_START = 0.3  # keep pool's part of the home zone's servers, before this router's own mix is known ...
KEEP_PRIOR = 8.0  # ... which counts as much as so many reads ...
KEEP_MEMORY = 1_000.0  # ... and is learned over so many
HOT = 0.25  # of a home server's even part of the reads: a key with more takes more holders of its slot
HEAT_MEMORY = 500.0  # reads over which a key's share of this router's reads is learned ...
HEAT_PRIOR = 30.0  # ... and how many it takes before a repeat says much
REACH = 4  # candidates looked at in a pool: more would scatter a key's copies

BOUND = 0.45  # of the aim: a holder expected to take longer gives the request to the next in order
GAIN = 0.6  # a move must promise at least this much less waiting, since it may cost a fetch
WIDEN = 1.0  # growth of the wide share in a round with a shortage ...
NARROW = 0.015  # ... and its decay in a calm one: moving keys back costs fetches
SHORT_SHARE = 0.3  # share of reads in want of capacity that counts as a shortage

HELD_START = 64.0  # requests in hand at all cache servers together: no bar until answers come slowly ...
HELD_EACH = 8.0  # in hand a server that all routers together may always have; each has its part, 1 at least
HELD_CUT = 0.85  # ... then cut by this a slow answer, regrown by good ones
LATE_TARGET = 0.12  # share of their worth that answers may lose by being late before refusals come earlier
LATE_CUT = 0.85
LATE_REGROW = 1.1
LATE_FLOOR = 0.4  # of the aim: never ask for more room than this

SMOOTH = 0.15  # weight of a new latency sample
FORGET = 3_000.0  # a slow server that gets nothing is believed to recover over this time
FIRST_GUESS = 40.0  # latency of a server never heard of
REPORT_SMOOTH = 0.25  # weight of a new load report
REPORT_FADE = 3_000.0  # a report says less and less over this time
REPORT_TRUST = 1.3  # times the latency of recent answers: as far as reports alone raise what is expected
STRIKES = 3  # signs of silence in a row, with no sign of life, before a server counts as failing
TRIAL_FIRST = 400.0  # first trial of a failing server, doubled up to ...
TRIAL_LAST = 1_600.0  # ... this
RESTART_AFTER = 3_000.0  # silent for longer while no list is followed: it may have restarted, so it warms up
PATIENCE = 4.0  # deviations above the mean before an answer is overdue
PATIENCE_LOW = 60.0  # never look sooner
PROBE_CREDIT = 0.15  # probes a request, where there are load reports

RETRY_CREDIT = 0.2  # retries earned by a request: a storm stays a fifth of the traffic
FEW = 2  # attempts after which the last one is worth a fetch; after more, time is short too
RETRY_MOST = 12.0  # and a burst of failures has this many
WINDOW_MARGIN = 0.1  # of a repeat window, left for the way

ROOM_START = 9.0  # requests in hand at one server that all routers together start with: each has its part,
ROOM_FIRST = 1.5  # at least this; guards against many routers that fill every queue before the first answer
ROOM_LEAST = 1.0
ROOM_CUT = 0.7  # cut when an answer took longer than ROOM_AIM of its aim, regrown by good answers
ROOM_AIM = 0.5
ROOM_DEAR = 0.5  # the dearest requests may go this part beyond

GATE_OPEN = 24.0  # through mode: fetches out at the start
GATE_START = 96.0  # aside mode: fetches out that all routers together start with; each has its part, at least
GATE_FIRST = 2.0  # this: no bar until the origin shows trouble, then the limit learns
GATE_MOST = 64.0
GATE_SLOW = 2.0  # times the least smoothed latency: the origin is crowded ...
GATE_AIM = 0.5  # ... never at less than this part of the shortest aim, always at more than it of the longest
GATE_STRAIN = 1.7  # times the least smoothed latency: the origin is strained, overflow should spread
GATE_SAMPLES = 10  # fetches before its times say anything
GATE_DRIFT = 1.002  # the least time is forgotten by this much a fetch, as an origin may change
GATE_CUT = 0.75
GATE_CUT_LOW = 0.5  # under 1, where a router has few fetches to learn from
GATE_LEAST = 0.1  # aside mode. Under 1: one fetch, then a pause; one at each of hundreds of routers is a jam
GATE_GROW = 2.0  # growth of a limit under 1 by a good fetch
GATE_LONGEST = 2_000.0  # no pause is longer
PLACE_AFTER = 200.0  # at most, before another connection to an origin that has no place for one
GATE_BUSY = 3_000.0  # the mean of fetches out is taken over about this time
GATE_LATE = 0.6  # of the aim: a fetch out for longer says the same as a failed one

ASK_FIRST = 450.0  # backoff of calls to discovery at most, doubled up to ...
ASK_LAST = 1_800.0  # ... this: a list that can be had again may not be old for long
ASK_SPREAD = 600.0  # of all routers' first calls
ASK_PUSHED = 150.0  # where lists are pushed: what the agent has counts as told at once
COLD_SHARE = 1.0  # of a warm neighbour's sends, times the least capacity told: a cold server's budget
COLD_FAR = 0.7  # of that, where no neighbour in its own zone is warm
COLD_FLOOR = 4.0  # sends in a window by which all may try any cold server; 1 each of up to twice as many
LOG_EVERY = 5_000.0  # at most one log line of a kind in this time
OVER_ODDS = 1.3  # a tenant this far over its share of the traffic is over its share ...
SHARE_OVER = 6_000.0  # ... in about this time: a few seconds at one router hold too few requests to tell

MASK = (1 << 64) - 1
CHECK, DEADLINE, TICK = 1 << 60, 2 << 60, 3 << 60  # kinds of timer; the low bits are the request
KIND_BITS = 3 << 60
SILENT = (Result.TIMEOUT, Result.CONNECT_FAILED)  # no sign of life
BROKEN = (Result.CONNECT_FAILED, Result.RESET, Result.NO_PLACE, Result.MOOT)  # says nothing of the load
ANSWERS = (Result.OK, Result.MISS, Result.ERROR, Result.UNFIT)
UNTOLD = (Result.MOOT, Result.CANCELLED, Result.RESET, Result.NO_PLACE)  # say nothing of a server


def mix(value: int) -> int:
    """A fixed 64-bit hash: the same in every process, unlike hash()."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def unit(value: int) -> float:
    """A hash as a number from 0 to 1."""
    return mix(value) / (MASK + 1)


# --------------------------------------------------------------------------------------------- the filter


class Filter:
    """The LRU list of key names in two segments, top k' and tail, and the loop that moves k'."""

    def __init__(self) -> None:
        # oldest first; value: server last sent to, reads of the key (fading), read number of the last one
        self.top: OrderedDict[int, tuple[int, float, int]] = OrderedDict()
        self.tail: OrderedDict[int, tuple[int, float, int]] = OrderedDict()
        self.limit = TOP_START
        self.reads = self.asked = self.trouble = 0  # answers of the keep pool since the last look; bad ones

    def touch(self, key: int) -> tuple[bool, int, float]:
        """Read a key's rank, then make it the youngest: (within top k', server it last went to, its share of
        this router's reads)."""
        self.reads += 1
        found = self.top.get(key)
        keep = found is not None
        last, heat, at = found or self.tail.pop(key, (0, 0.0, self.reads))
        heat *= exp((at - self.reads) / HEAT_MEMORY)
        self.top[key] = last, heat + 1.0, self.reads
        if keep:
            self.top.move_to_end(key)
        else:
            self._settle()
        return keep, last, heat / (min(self.reads, HEAT_MEMORY) + HEAT_PRIOR)

    def _settle(self) -> None:
        """Move the border; a few steps a touch keep the work bounded."""
        for _ in range(4):
            if len(self.top) <= self.limit:
                break
            old, entry = self.top.popitem(last=False)
            self.tail[old] = entry
        if len(self.top) + len(self.tail) > LIST_SIZE and self.tail:
            self.tail.popitem(last=False)

    def went_to(self, key: int, server: int) -> None:
        """Remember where a key was sent, to tell an eviction from a first visit."""
        if key in self.top:
            self.top[key] = (server, *self.top[key][1:])

    def record(self, bad: bool) -> None:
        """One answer of the keep pool."""
        self.asked += 1
        self.trouble += bad

    def loop(self) -> None:
        """Shrink k' while the keep pool's trouble exceeds the target, else let it creep up."""
        if self.asked < LOOP_SAMPLES:
            return
        if self.trouble > TROUBLE_TARGET * self.asked:
            # from where the list stands: an unfilled top segment would hide the first cuts
            self.limit = max(TOP_FLOOR, int(min(self.limit, len(self.top)) * TOP_SHRINK))
        else:
            self.limit = min(LIST_SIZE, int(self.limit * TOP_CREEP) + 1)
        self.asked = self.trouble = 0
        for _ in range(64):  # the border follows k' upward a little at a time
            if len(self.top) >= self.limit or not self.tail:
                break
            key, entry = self.tail.popitem()
            self.top[key] = entry
            self.top.move_to_end(key, last=False)


# -------------------------------------------------------------------- one server as this router sees it


class Server:
    """Health, load and warm-up of one member, from this router's own observations."""

    def __init__(self, member: api.Member, now: float, room: float = ROOM_START) -> None:
        self.id = member.server
        self.member = member
        self.state = member.state
        self.warm_from = self.warm_until = float("-inf")
        self.cold_from = 1.0
        self.rank = -1  # among the home zone's servers by hashed id; not one of them: -1
        self.out = 0
        self.others = 0.0  # requests of other routers, from the last report
        self.lag = self.lag_load = 0.0  # smoothed latency (0 = never heard), and the load it was met under
        self.room = room
        self.others_at = self.lag_at = self.cut_at = self.failing_since = self.trial_at = now
        self.life_at = float("-inf")
        self.strikes = self.trials = 0
        self.failing = self.probing = False
        self.sends: deque[float] = deque()

    def load(self, now: float) -> float:
        """Requests it holds, ours counted and others' from a fading report."""
        if self.others:
            return self.out + self.others * exp((self.others_at - now) / REPORT_FADE)
        return float(self.out)

    def report(self, now: float, held: float) -> None:
        """Take in a load report. It is old when it comes: only what lasts over several of them counts."""
        seen = max(0.0, held - self.out)
        before = self.others * exp((self.others_at - now) / REPORT_FADE)
        self.others = before + (seen - before) * REPORT_SMOOTH
        self.others_at = now

    def sample(self, now: float, lag: float, load: float) -> None:
        """Learn from one answer."""
        if not self.lag:
            self.lag, self.lag_load = lag, load
        self.lag += (lag - self.lag) * SMOOTH
        self.lag_load += (load - self.lag_load) * SMOOTH
        self.lag_at = now

    def crowded(self, now: float, lag: float, slow: bool) -> None:
        """Adapt how much is kept in hand here: all routers cut back from queues that none sees by itself."""
        if not slow:
            if self.out + 1 >= self.room * 0.5:
                self.room += 1.0 / self.room
        elif now - self.cut_at > max(100.0, lag):
            self.room = max(ROOM_LEAST, self.room * ROOM_CUT)
            self.cut_at = now

    def expect(self, now: float, usual: float) -> float:
        """How long an answer sent now is expected to take."""
        # the ratio of two means: a mean of ratios would be ruled by answers met under little load
        pace = self.lag / (1.0 + self.lag_load) if self.lag else usual
        if pace > usual:
            pace = usual + (pace - usual) * exp((self.lag_at - now) / FORGET)
        wait = pace * (1.0 + self.load(now))
        if not self.out and self.lag:
            # guards against routers that, by reports of others' load alone, refuse while servers idle
            wait = min(wait, REPORT_TRUST * pace * (1.0 + self.lag_load))
        return wait / self.least(now)

    def least(self, now: float) -> float:
        """The least share of its capacity that it can have, by the warm-up told in the rules."""
        if now >= self.warm_until:
            return 1.0
        done = max(0.0, (now - self.warm_from) / max(1e-9, self.warm_until - self.warm_from))
        return max(0.05, self.cold_from + (1.0 - self.cold_from) * done)

    def warm_up(self, since: float, rules: api.Rules) -> None:
        """It counts as started at `since`."""
        self.warm_from = since
        self.warm_until = since + rules.warm_within
        self.cold_from = rules.cold_from

    def strike(self, now: float) -> bool:
        """A sign of silence; enough of them in a row and slots move off it. True when that begins."""
        self.strikes += 1
        begins = self.strikes >= STRIKES and not self.failing
        if begins:
            self.failing = True
            self.failing_since = now
            self.trials = 0
            self.trial_at = now + TRIAL_FIRST
        return begins

    def back(self, now: float, rules: api.Rules, followed: bool) -> None:
        """Any sign of life. After a trial slots grow in again, slowly if it may have restarted unheard of: a
        list that is followed tells. Guards against a healed link after which all far ones count as cold."""
        self.life_at, self.strikes = now, 0
        if self.failing:
            self.failing = False
            self.lag = 0.0
            if not followed and now - self.failing_since > RESTART_AFTER and self.warm_until < now:
                self.warm_up(now, rules)

    def sent_within(self, now: float, span: float) -> int:
        """Sends in the last `span`."""
        while self.sends and self.sends[0] <= now - span:
            self.sends.popleft()
        return len(self.sends)


# --------------------------------------------------------------------------------------------- membership


class Membership:
    """The server list as told, and the calls that keep it fresh."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.servers: dict[int, Server] = {}
        self.version = 0  # grows with every change, so that tables know they are stale
        self.following, self.asked = not settings.subscribe, False
        self.ask_at, self.wait = float("-inf"), ASK_FIRST

    def take(self, now: float, event: api.Members) -> None:
        """Apply an event of discovery."""
        if event.scope is Scope.FAILED:
            self.following, self.asked = not self.settings.subscribe, False
            last = ASK_PUSHED if self.settings.pushed else ASK_LAST
            self.ask_at = now + min(last, self.wait) * (0.5 + 0.5 * self.rng.random())
            self.wait = min(ASK_LAST, self.wait * 2.0)
            return
        if event.scope is not Scope.CACHED:  # also from a watch that began unasked, at a new address
            self.following, self.asked, self.wait = True, False, ASK_FIRST
        for member in event.members:
            self._one(now, member)
        named = {member.server for member in event.members}
        for server in self.servers.values():
            if event.scope is not Scope.DELTA and server.id not in named:
                server.state = State.GONE
        self.version += 1
        self.servers = {n: s for n, s in self.servers.items() if s.state is not State.GONE or s.out}

    def _one(self, now: float, member: api.Member) -> None:
        server = self.servers.get(member.server)
        if server is None:
            room = max(ROOM_FIRST, ROOM_START / self.settings.routers)
            server = self.servers[member.server] = Server(member, now, room)
            if member.born > 0 and now - member.born < self.settings.rules.warm_within:
                server.warm_up(member.born, self.settings.rules)
            return
        if member.born > server.member.born:
            # a restart: cold from then on, and what was learned of the old process is void
            server.warm_up(member.born, self.settings.rules)
            server.lag = 0.0
            if server.failing and member.born > server.failing_since - self.settings.rules.ask_every:
                server.trial_at = now
        server.member = member
        server.state = member.state

    def call_due(self, now: float) -> bool:
        """Whether to subscribe now; repeats are spaced so that a list in trouble is not stormed."""
        lost = now > self.ask_at + self.settings.rules.ask_every  # an answer that never came
        if self.following or now < self.ask_at or (self.asked and not lost):
            return False
        self.asked, self.ask_at = True, now
        return True


# ---------------------------------------------------------------------------------------- pools and slots


class Table:
    """The servers of one set in rendezvous order by ids, and by sizes where all routers are told them alike,
    for each slot asked for. A new one is put in its place; one that left stays, unusable, until many have."""

    def __init__(self, sized: bool) -> None:
        self.sized = sized
        self.members: dict[int, tuple[Server, float]] = {}
        self.orders: dict[int, tuple[array[float], list[Server]]] = {}  # few bytes each: there are thousands
        self.left = 0

    def follow(self, servers: list[Server]) -> None:
        """Take over a changed set."""
        before, self.members = self.members, {s.id: (s, s.member.weight) for s in servers}
        new = [s for s in servers if s.id not in before or before[s.id][0] is not s]
        self.left += len(before) + len(new) - len(servers)
        resized = self.sized and any(before.get(n, told)[1] != told[1] for n, told in self.members.items())
        if resized or 2 * self.left > len(servers):
            self.orders.clear()
            self.left = 0
        for server in new:
            for slot, (distances, order) in self.orders.items():
                at = bisect(distances, distance := self._distance(server, slot))
                distances.insert(at, distance)
                order.insert(at, server)

    def order(self, slot: int) -> list[Server]:
        """All servers for a slot, its holder first."""
        found = self.orders.get(slot)
        if found is None:
            held = sorted((self._distance(s, slot), n, s) for n, (s, _) in self.members.items())
            found = self.orders[slot] = array("d", [entry[0] for entry in held]), [entry[2] for entry in held]
        return found[1]

    def _distance(self, server: Server, slot: int) -> float:
        size = max(1e-3, server.member.weight) if self.sized else 1.0
        return -log(max(1e-12, unit(server.id * 0x10001 + slot))) / size


class Pools:
    """Keep and overflow pools of the home zone, the slot tables, and how far overflow reaches beyond."""

    def __init__(self, settings: api.Settings, membership: Membership) -> None:
        self.settings = settings
        self.membership = membership
        self.version = -1
        self.home: list[Server] = []
        self.part = 1.0  # cache servers for each router
        self.origins: list[Server] = []
        self.near = Table(settings.sized_weights)
        self.fleet = Table(settings.sized_weights)
        self.share, self.seen = KEEP_START, KEEP_PRIOR  # of this router's reads that are of top-k' keys
        self.wide_share = 0.0
        self.reads = self.short = 0

    def refresh(self) -> None:
        """Follow a change of the list."""
        if self.version == self.membership.version:
            return
        self.version = self.membership.version
        kind = self.settings.origin_kind if self.settings.mode is Mode.ASIDE else -1
        ready = [s for s in self.membership.servers.values() if s.state is State.READY]
        caches = sorted((s for s in ready if s.member.kind != kind), key=lambda s: (mix(s.id), s.id))
        self.origins = sorted((s for s in ready if s.member.kind == kind), key=lambda s: s.id)
        for server in self.home:
            server.rank = -1
        self.home = [s for s in caches if s.member.zone == self.settings.zone] or caches
        for rank, server in enumerate(self.home):
            server.rank = rank
        self.part = len(caches) / self.settings.routers
        self.near.follow(self.home)
        self.fleet.follow(caches)

    def count(self, keep: bool) -> None:
        """One read. The keep pool's share of the servers follows its share of this router's reads: else many
        routers, that each see too little to know a popular key, crowd the overflow pool."""
        self.seen = min(KEEP_MEMORY, self.seen + 1.0)
        self.share += (keep - self.share) / self.seen

    def border(self) -> int:
        """How many of the home servers are the keep pool; neither pool is empty if there are two."""
        size = len(self.home)
        return size if size < 2 else min(size - 1, max(1, round(size * self.share)))

    def holders(self, share: float) -> int:
        """How many servers of its slot's order hold a key with this share: a hot one is too much for one."""
        return 1 + int(share * len(self.home) / HOT)

    def order(self, slot: int, keep: bool, wide: bool) -> Iterator[Server]:
        """The servers of a slot in its pool, or in the whole fleet, in rendezvous order."""
        if wide:
            yield from self.fleet.order(slot)
            return
        border = self.border()
        for server in self.near.order(slot):
            if server.rank >= 0 and ((server.rank < border) is keep or border == len(self.home)):
                yield server

    def is_wide(self, slot: int) -> bool:
        """Whether an overflow slot is held by the whole fleet at present."""
        return self.wide_share > 0 and unit(slot ^ 0x5EED) < self.wide_share

    def loop(self, origin_short: bool) -> None:
        """Bounded spill: overflow reaches beyond the home zone while that, or the origin, is short."""
        if origin_short:
            self.wide_share = min(1.0, self.wide_share + WIDEN)
        if self.reads < LOOP_SAMPLES:
            return
        if self.short > SHORT_SHARE * self.reads:
            self.wide_share = min(1.0, self.wide_share + WIDEN)
        elif not origin_short:
            self.wide_share = max(0.0, self.wide_share - NARROW)
        self.reads = self.short = 0


# --------------------------------------------------------------------------------------- origin admission


class Origin:
    """How many fetches this router has out at the origin, and who waits for one (aside mode)."""

    def __init__(self, settings: api.Settings) -> None:
        self.follow(settings)
        aside = settings.mode is Mode.ASIDE
        self.limit = max(GATE_FIRST, GATE_START / settings.routers) if aside else GATE_OPEN
        # no pauses in through mode: a fetch's time holds the wait at the cache; no pause shortens that
        self.floor = GATE_LEAST if aside else 1.0
        self.out = self.seen = self.count = 0
        self.pause_until = self.cut_at = float("-inf")
        self.busy = self.busy_at = 0.0  # fetches out, on the average
        # the smoothed time is compared with its own least: single ones spread widely on a healthy origin
        self.best = self.lag = 0.0
        self.queue: list[tuple[float, int, int]] = []

    def follow(self, settings: api.Settings) -> None:
        """Aims as they are now. `most` guards against a router restarted into a jam, which takes that for its
        best. In through mode the time of a fetch holds the wait at the cache, so it says less."""
        aims = [c.aim for c in settings.classes]
        self.fine = GATE_AIM * min(aims)
        self.most = GATE_AIM * max(aims) if settings.mode is Mode.ASIDE else inf

    def free(self, now: float) -> bool:
        """Whether one more fetch may go out."""
        return self.out < max(1, int(self.limit)) and now >= self.pause_until

    def take(self, now: float, change: int) -> None:
        """A fetch goes out or ends."""
        self.busy += (self.out - self.busy) * (1.0 - exp(min(0.0, self.busy_at - now) / GATE_BUSY))
        self.busy_at = now
        self.out += change

    def slow(self) -> bool:
        """Whether it takes clearly longer than it did at its best."""
        return self.seen >= GATE_SAMPLES and self.lag > max(GATE_STRAIN * self.best, self.fine)

    def push(self, value: float, ref: int) -> None:
        """Wait for a place; the dearest first, then the latest, who can still be in time."""
        self.count += 1
        heapq.heappush(self.queue, (-value, -self.count, ref))

    def cut(self, now: float) -> None:
        """Cut from what is in use, not from a limit that may never have been reached; not at each answer."""
        if now - self.cut_at > max(100.0, min(400.0, self.lag)):
            in_use = max(1.0, 2.0 * self.busy + min(2.0, 2.0 * self.busy))
            cut = GATE_CUT if self.limit >= 1.0 else GATE_CUT_LOW
            self.limit = max(self.floor, min(self.limit, in_use) * cut)
            self.cut_at = now

    def done(self, now: float, lag: float, ok: bool) -> None:
        """Learn from one fetch: additive increase, multiplicative decrease."""
        self.lag += (lag - self.lag) * SMOOTH if self.lag else lag
        self.seen += 1
        if self.seen >= GATE_SAMPLES:
            self.best = min(self.best * GATE_DRIFT, self.lag) if self.best else self.lag
        # A quick one is no sign of crowding: guards against a mean, raised by time-outs, that shuts it.
        bar = max(self.fine, min(self.most, GATE_SLOW * self.best))
        if not ok or (self.seen >= GATE_SAMPLES and min(lag, self.lag) > bar):
            self.cut(now)
        elif self.limit < 1.0:
            self.limit *= GATE_GROW
        elif self.out + 1 >= int(self.limit) * 0.7:  # int as in `free`: else 1.5 never regrows
            self.limit = min(GATE_MOST, self.limit + 2.0 / self.limit)
        if self.limit < 1.0:
            self.pause_until = now + min(GATE_LONGEST, self.lag * (1.0 / self.limit - 1.0))


# ------------------------------------------------------------------------------------------------ tenants


class Tenants:
    """Which requests are beyond their tenant's share: odds against the others' traffic at this router."""

    def __init__(self, settings: api.Settings) -> None:
        self.at = 0.0
        self.rate: list[float] = []
        self.credit: list[float] = []
        self.follow(settings)

    def follow(self, settings: api.Settings) -> None:
        """Shares as they are now; tenants are never fewer."""
        self.tenants = settings.tenants
        self.rate += [0.0] * (len(self.tenants) - len(self.rate))
        self.credit += [0.0] * (len(self.tenants) - len(self.credit))

    def over(self, now: float, tenant: int) -> bool:
        """Count a request; true if it is beyond its tenant's share."""
        if tenant >= len(self.tenants) or len(self.tenants) < 2:
            return False
        fade = exp((self.at - now) / SHARE_OVER)
        self.at = now
        self.rate = [rate * fade for rate in self.rate]
        self.rate[tenant] += 1.0
        total = sum(self.rate)
        share = self.tenants[tenant].share
        if share <= 0 or share >= 1 or total < 20:
            return False
        allowed = OVER_ODDS * share / (1.0 - share) * (total - self.rate[tenant])
        self.credit[tenant] = min(3.0, self.credit[tenant] + min(1.0, allowed / self.rate[tenant]))
        if self.credit[tenant] < 1.0:
            return True
        self.credit[tenant] -= 1.0
        return False


# ----------------------------------------------------------------------------------------------- pressure


class Pressure:
    """How early to refuse: the part of the aim that an expected time may take, learned from answers that were
    late. Guards against a crowded fleet that serves everybody a little too late, which serves nobody."""

    def __init__(self) -> None:
        self.part, self.served, self.late = 1.0, 0, 0.0
        self.held, self.limit = 0, HELD_START  # attempts out at cache servers, and how many may be
        self.floor, self.cut_at = 1.0, float("-inf")

    def full(self, dear: float) -> bool:
        """Whether a request of this worth (0 to 1) is too much beside what this router has in hand. Guards
        against a burst that crowds every server before a router with few answers has seen them come late."""
        return self.held >= self.limit * (1.0 + ROOM_DEAR * dear)

    def crowded(self, now: float, lag: float, slow: bool) -> None:
        """One answer of a cache server: additive increase, multiplicative decrease."""
        if not slow:
            if self.held + 1 >= self.limit * 0.5:
                self.limit = min(HELD_START, self.limit + 1.0 / self.limit)
        elif now - self.cut_at > max(100.0, min(400.0, lag)):
            self.limit = max(self.floor, min(self.limit, 2.0 * self.held + 2.0) * HELD_CUT)
            self.cut_at = now

    def record(self, lost: float) -> None:
        """One answer, and the part of its worth that was lost because it came late."""
        self.served += 1
        self.late += lost

    def loop(self) -> None:
        """Ask for more room while many are late, give it back slowly."""
        if self.served < LOOP_SAMPLES:
            return
        if self.late > LATE_TARGET * self.served:
            self.part = max(LATE_FLOOR, self.part * LATE_CUT)
        else:
            self.part = min(1.0, self.part * LATE_REGROW)
        self.served, self.late = 0, 0.0


# ------------------------------------------------------------------------------------- requests in hand


@dataclass(slots=True)
class Attempt:
    """One send of a request."""

    server: Server
    sent: float
    load: float
    origin: bool
    gated: bool
    wait: Wait
    out: bool = True
    harmless: bool = False  # proved never to have run


@dataclass(slots=True)
class Job:
    """A request from its arrival until its final answer and the end of its last attempt."""

    ref: int
    event: api.Request
    klass: api.RequestClass
    limits: api.Limits  # as it was taken with, like its class
    born: float
    deadline: float
    slot: int
    keep: bool
    last: int
    spread: int  # holders of its key
    value: float
    attempts: list[Attempt] = field(default_factory=list)
    final: bool = False
    at_origin: bool = False
    queued: bool = False
    shared: bool = False
    check_at: float = 0.0  # for a look at its attempt, which is overdue from ...
    overdue_at: float = 0.0  # ... this time on
    missed: Server | None = None
    coming: bool = False
    waiters: list[int] = field(default_factory=list)

    @property
    def aim_at(self) -> float:
        """When the full worth is lost."""
        return min(self.deadline, self.born + self.klass.aim)

    @property
    def anywhere(self) -> bool:
        """Whether a repeat may go to any server and a refusal is true although it may have run."""
        klass = self.klass
        return klass.effect is Effect.RETRYABLE or (klass.effect is Effect.DEDUP and klass.group is Group.ALL)

    def outstanding(self) -> int:  # attempts that are out
        return sum(a.out for a in self.attempts)

    def first_risk(self) -> Attempt | None:  # that may have run
        return next((a for a in self.attempts if not a.harmless), None)

    def tried(self) -> set[int]:  # servers it went to
        return {a.server.id for a in self.attempts}


# ------------------------------------------------------------------------------------------------- router


class Router:
    """One router instance: the only place that dispatches, and where the rules are enforced."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng, self.filter = random.Random(seed), Filter()
        self.membership = Membership(settings, self.rng)
        self.pools = Pools(settings, self.membership)
        self.origin = Origin(settings)
        self.tenants = Tenants(settings)
        self.pressure = Pressure()
        self.jobs: dict[int, Job] = {}
        self.fetching: dict[int, int] = {}
        self.retries = RETRY_MOST
        self.probe_credit, self.probe_turn = 0.0, 0
        self.usual = FIRST_GUESS  # latency for each request in hand, fleet-wide
        self.mean, self.spread = 100.0, 50.0  # latency of cache answers
        self._reconfigure(settings)
        self.started, self.now, self.loop_at = False, 0.0, 0.0
        self.actions: list[api.Action] = []
        self.logged: dict[str, float] = {}
        self.origin_waits, self.waiting = 0, Waiting()  # looks at which someone waited for the origin

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event. Peers' messages are not among them: each router trusts its own outcomes."""
        self.now = now
        self.actions = []
        if not self.started:
            self.started = True
            self.membership.ask_at = now + self.rng.random() * (0.0 if self.settings.pushed else ASK_SPREAD)
            self.actions.append(api.SetTimer(TICK, now + 50.0))
        match event:
            case api.Request():
                self._request(event)
            case api.Outcome():
                self._outcome(event)
            case api.Whole():
                self._whole(event)
            case api.Timer():
                self._timer(event.token)
            case api.Members():
                self.membership.take(now, event)
                self.pools.refresh()  # at once: an attempt that ends with this list is repeated by it
            case api.Reconfigured():
                self._reconfigure(event.settings)
            case api.ProbeResult():
                self._probed(event)
            case api.ClientGone():
                if (job := self.jobs.get(event.ref)) is not None:
                    self._close(job)
            case api.FirstByte():
                self._first_byte(event)
        return self.actions

    def _reconfigure(self, settings: api.Settings) -> None:
        """Other settings from now on; what was learned, and the requests in hand with their class, stay."""
        self.settings = self.membership.settings = self.pools.settings = settings
        self.origin.follow(settings)
        self.tenants.follow(settings)
        self.top_value = max(c.worth for c in settings.classes) or 1.0

    def _request(self, event: api.Request) -> None:
        classes = self.settings.classes
        if event.ref in self.jobs:
            return
        klass = classes[event.klass] if event.klass < len(classes) else classes[0]
        aside_write = event.write and self.settings.mode is Mode.ASIDE
        if not event.key:
            keep, last, heat = unit(event.ref) < self.pools.share, 0, 0.0  # no rank to go by: the zone alike
        else:
            keep, last, heat = (False, 0, 0.0) if aside_write else self.filter.touch(event.key)
            if not aside_write:
                self.pools.count(keep)
        over = self.tenants.over(self.now, event.tenant)
        job = Job(
            ref=event.ref,
            event=event,
            klass=klass,
            limits=self.settings.limits,
            born=self.now,
            deadline=self.now + max(0.0, event.time_left),
            coming=event.coming,
            slot=mix(event.key or event.ref) % SLOTS,
            keep=keep,
            last=last,
            spread=self.pools.holders(heat) if keep else 1,
            value=klass.worth * (self.settings.over_share_worth if over else 1.0),
        )
        self.jobs[event.ref] = job
        self.actions.append(api.SetTimer(DEADLINE | event.ref, job.deadline))
        self.retries = min(RETRY_MOST, self.retries + RETRY_CREDIT)
        self.waiting.account.request()
        self.probe_credit = min(40.0, self.probe_credit + PROBE_CREDIT)
        if aside_write:
            self._to_origin(job)
        else:
            self._to_cache(job)

    def _whole(self, event: api.Whole) -> None:
        """A request that was coming is whole: its time, and that of its attempt, counts from here."""
        job = self.jobs.get(event.ref)
        if job is None or job.final or not job.coming:
            return
        job.coming, job.born, job.deadline = False, self.now, self.now + max(0.0, event.time_left)
        self.actions.append(api.SetTimer(DEADLINE | job.ref, job.deadline))
        for attempt in filter(lambda a: a.out, job.attempts):
            attempt.sent, attempt.gated = self.now, attempt.origin or self._may_fetch(job, attempt.server)
            self.origin.take(self.now, int(attempt.gated))
            attempt.wait = self.waiting.begin(self.now, attempt.origin, attempt.wait.expected)
            self._arm(job)

    def _to_cache(self, job: Job) -> None:
        """Send to the holder of the key's slot, or to the next in order that can do it in time."""
        if not job.attempts and self.pressure.full(job.value / self.top_value):
            self._finish(job, Why.CROWDED)
            return
        server, wait = self._pick(job)
        if server is None:
            self._finish(job, Why.NOBODY)
            return
        limit = job.klass.aim * self.pressure.part * (0.6 + 0.4 * job.value / self.top_value)
        if wait > limit and not job.attempts:
            # pressure: an answer in time is not to be had; the cheapest and the over-share feel it first
            self._finish(job, Why.SLOW)
            return
        if self._may_fetch(job, server) and not (self.origin.free(self.now) or job.coming):
            # writes too: let past, they and their repeats alone can keep a failing origin down
            job.queued = True
            self.origin.push(job.value, job.ref)
            return
        self._send(job, server)

    def _may_fetch(self, job: Job, server: Server) -> bool:
        """Through mode: whether the origin is likely asked; its failing fetches must not hold up all else."""
        lacking = job.event.key != 0 and not self._held(job, server)
        return self.settings.mode is Mode.THROUGH and (job.event.write or lacking)

    def _held(self, job: Job, server: Server) -> bool:
        """Whether the key went well to this server before, or to another of its holders."""
        return job.last == server.id or (job.spread > 1 and job.last != 0)

    def _pick(self, job: Job) -> tuple[Server | None, float]:
        pools = self.pools
        bound = BOUND * job.klass.aim
        tried = job.tried()
        stays = job.keep and pools.wide_share > 0 and job.spread == 1
        stay = self.membership.servers.get(job.last) if stays else None
        if stay is not None and stay.id not in tried and self._may_use(stay, job.slot):
            # While short, a key that hits where it is does not change its pool: that would cost a fetch more.
            wait = self._wait(job, stay)
            if wait <= bound:
                self._count(job, False)
                return stay, wait
        home = pools.order(job.slot, job.keep, job.spread == 1 and pools.is_wide(job.slot))
        if job.spread > 1:  # holders in turn, by the request: all routers together load them evenly
            holders = list(islice(home, job.spread))
            turn = mix(job.ref) % max(1, len(holders))
            home = chain(holders[turn:], holders[:turn], home)
        first: Server | None = None
        best: Server | None = None
        best_wait = float("inf")
        # The pool first; if all its candidates are past the bound or unusable, the fleet's order.
        for order in (home, None):
            looked = 0
            for server in order or pools.order(job.slot, job.keep, True):
                if server.id in tried or not self._may_use(server, job.slot):
                    continue
                wait = self._wait(job, server)
                if first is None and order is home:
                    first = server
                    self._count(job, wait > bound)
                elif server is not first:
                    wait += self._fetch_price(job, server)
                if wait < best_wait * (GAIN if best is not None else 1.0):
                    best, best_wait = server, wait
                looked += 1
                if looked >= REACH or wait <= bound:
                    break
            if best_wait <= bound:
                return best, best_wait
        if best is None:
            # most of the fleet silent at once is more likely our own link: all are tried
            for server in pools.order(job.slot, job.keep, True):
                if server.state is State.READY and server.id not in tried and self._cold_room(server):
                    return server, server.expect(self.now, self.usual)
        return best, best_wait

    def _count(self, job: Job, short: bool) -> None:
        """What a read found first: whether its holder can do it within the bound."""
        if not job.attempts:
            self.pools.reads += 1
            self.pools.short += short
            if job.keep:
                self.filter.record(short)

    def _fetch_price(self, job: Job, server: Server) -> float:
        """Aside mode, while the origin is short: a move away from where the key was last served likely costs
        a fetch. Guards against a crowded fleet that shuns its holders and so crowds the origin."""
        dear = self.origin_waits > 0 and self.settings.mode is Mode.ASIDE and not self._held(job, server)
        return self.origin.lag if dear else 0.0

    def _wait(self, job: Job, server: Server) -> float:
        """Expected time of an answer; past the aim where no room is left."""
        wait = server.expect(self.now, self.usual)
        if server.out >= server.room * (1.0 + ROOM_DEAR * job.value / self.top_value):
            wait = max(wait, job.klass.aim * (1.0 + server.out / server.room))
        return wait

    def _may_use(self, server: Server, slot: int) -> bool:
        """Ready, not failing, and, while cold, a holder of this slot with room in its budget."""
        if server.state is not State.READY or server.failing:
            return False
        if self.now >= server.warm_until:
            return True
        return unit(server.id * 0x20003 + slot) < server.least(self.now) and self._cold_room(server)

    def _cold_room(self, server: Server) -> bool:
        """Rule 4: over any window a cold server gets at most its least told capacity's part of what this
        router sends to a warm neighbour, which is within that neighbour's capacity for all together."""
        if self.now >= server.warm_until:
            return True
        span = max(1.0, self.settings.rules.fall)
        warm = [s for s in self.membership.servers.values() if self._is_warm(s)]
        near = [s for s in warm if s.member.zone == server.member.zone]
        size = sum(s.member.weight for s in warm) / len(warm) if warm else 0.0
        part = 1.0 if near or size <= 0 else COLD_FAR * min(1.0, server.member.weight / size)
        warm = near or warm  # a zone that started as a whole idles: then all warm ones are the measure
        usual = part * sum(s.sent_within(self.now, span) for s in warm) / len(warm) if warm else 0.0
        many = self.settings.routers  # hundreds of them would push it over by one send each: they draw
        turn = unit(mix(server.id) ^ mix(self.settings.position << 32 | int(self.now / span)))
        floor = 1.0 if many <= 2 * COLD_FLOOR else COLD_FLOOR / many
        budget = floor + COLD_SHARE * server.least(self.now) * usual
        return server.sent_within(self.now, span) < (budget if floor == 1.0 else int(budget + turn))

    def _is_warm(self, server: Server) -> bool:
        """Whether it is a cache server that is ready, answers and is past its warm-up."""
        usable = server.state is State.READY and not server.failing
        return usable and self.now >= server.warm_until and server.member.kind != self.settings.origin_kind

    def _to_origin(self, job: Job) -> None:
        """Aside mode: a miss or a write. Repeats of a key that is being fetched wait for that fetch."""
        job.at_origin = True
        key = job.event.key
        if not job.event.write and key and not job.shared:
            leader = self.jobs.get(self.fetching.get(key, -1))
            if leader is not None and leader is not job:
                leader.waiters.append(job.ref)
                job.shared = True
                return
        if not self.pools.origins:
            self._finish(job, Why.NO_ORIGIN)
            return
        if not job.event.write and key:
            self.fetching[key] = job.ref
        if self.origin.free(self.now) or job.coming:  # what is coming is no load yet
            self._release(job)
        else:
            job.queued = True
            self.origin.push(job.value, job.ref)

    def _release(self, job: Job) -> None:
        """Its turn at the origin: aside mode asks there, through mode asks a cache server that will."""
        server: Server | None = None
        if not job.at_origin:
            server, _ = self._pick(job)
        elif self.pools.origins:
            server = self.pools.origins[job.slot % len(self.pools.origins)]
        if server is None:
            self._finish(job, Why.NOBODY)
        else:
            self._send(job, server)

    def _drain_queue(self) -> None:
        """Give free places at the origin to those who wait; who cannot be in time any more is turned away."""
        while self.origin.queue and (self.origin.free(self.now) or self._stale(self.origin.queue[0][2])):
            _, _, ref = heapq.heappop(self.origin.queue)
            job = self.jobs.get(ref)
            if job is None or job.final or not job.queued:
                continue
            job.queued = False
            if self.now + self.origin.best > job.aim_at:
                self._finish(job, Why.QUEUE)
            else:
                self._release(job)

    def _stale(self, ref: int) -> bool:
        job = self.jobs.get(ref)
        return job is None or job.final or self.now + self.origin.best > job.aim_at

    def _useful_until(self, job: Job) -> float:
        return job.deadline if job.klass.late_share > 0 else job.aim_at

    # ------------------------------------------------------------------- sending and answering: the rules

    def _may_send(self, job: Job, server: Server) -> bool:
        """The rules, for every path: one final answer, no second effect, orderly drain, attempts, copies."""
        limits, klass = job.limits, job.klass
        if job.final or self.now >= job.deadline or len(job.attempts) >= limits.max_attempts:
            return False
        if server.state is not State.READY:
            return False  # rule 3: at once, not at the end of the grace
        if not self._cold_room(server):
            return False  # rule 4, whatever path led here
        out = job.outstanding()
        if out and (not limits.second_copies or out > 1):
            return False
        risk = job.first_risk()
        if risk is None:
            return True
        here, there = server.member, risk.server.member
        near = {Group.ZONE: here.zone == there.zone, Group.CELL: here.cell == there.cell}
        in_window = self.now <= self._repeat_until(job)
        return in_window and (klass.effect is Effect.RETRYABLE or near.get(klass.group, True))

    def _repeat_until(self, job: Job) -> float:
        """The last moment at which what may have run may be sent again."""
        klass, risk = job.klass, job.first_risk()
        if risk is None or klass.effect is Effect.RETRYABLE:
            return inf
        window = klass.repeat_window * (1.0 - WINDOW_MARGIN)
        return risk.sent + window if klass.effect is Effect.DEDUP else -inf

    def _send(self, job: Job, server: Server) -> None:
        if not self._may_send(job, server):
            if not job.outstanding():
                self._finish(job, Why.RULES)
            return
        at_origin = job.at_origin
        gated = not job.coming and (at_origin or self._may_fetch(job, server))
        expected = (self.origin.lag if at_origin else server.expect(self.now, self.usual)) or FIRST_GUESS
        wait = self.waiting.begin(self.now, at_origin, expected, job.event.cost_hint)
        begin_by = self._repeat_until(job)
        job.attempts.append(Attempt(server, self.now, server.load(self.now), at_origin, gated, wait))
        server.out += 1
        self.origin.take(self.now, int(gated))
        if not at_origin:
            self.pressure.held += 1
            server.sends.append(self.now)
            server.sent_within(self.now, max(1.0, self.settings.rules.fall))
            if job.event.key and len(job.attempts) == 1:
                self.filter.went_to(job.event.key, server.id)
        self.actions.append(api.Send(job.ref, server.id, begin_by=begin_by))
        self._arm(job)

    def _arm(self, job: Job) -> None:
        fetch = 3.0 * self.origin.lag if job.at_origin else 0.0
        wait = max(PATIENCE_LOW, self.mean + PATIENCE * self.spread, fetch)
        self._look_later(job, self.now + min(wait, max(PATIENCE_LOW, 0.6 * job.klass.aim)))

    def _look_later(self, job: Job, overdue_at: float) -> None:
        job.overdue_at = overdue_at
        job.check_at = min(job.overdue_at, self.waiting.next_look(job.attempts[-1].wait, self.now))
        if job.check_at < job.deadline:
            self.actions.append(api.SetTimer(CHECK | job.ref, job.check_at))

    def _finish(self, job: Job, why: Why) -> None:
        """The final answer of a request that is not served: refused where that is true, else failed. One that
        is unfit fails: guards against a client that is told to ask for the same again."""
        if job.final:
            return
        risk = job.first_risk()
        if (risk is None or job.anywhere) and self.now < job.deadline and why is not Why.UNFIT:
            away = min(self.settings.limits.max_retry_after, job.klass.aim)
            self.actions.append(api.Refuse(job.ref, away, why))
        else:
            self.actions.append(api.Fail(job.ref, why))
        self._close(job)

    def _close(self, job: Job, stream: Attempt | None = None) -> None:
        """Nothing more is owed: free what the request holds. A fetch that is out goes on, and is shared."""
        if job.final:
            return
        job.final, job.queued = True, False
        if self.settings.limits.cancelling:
            for number, attempt in enumerate(job.attempts):
                if attempt.out and not attempt.origin and attempt is not stream:
                    self.actions.append(api.Cancel(job.ref, number))
        self._forget(job)

    def _fetch_over(self, job: Job) -> None:
        """Those who wait for its fetch go on; not before, though its own client may have left."""
        if self.fetching.get(job.event.key) == job.ref:
            del self.fetching[job.event.key]
        waiters, job.waiters = job.waiters, []
        for waiter in filter(None, map(self.jobs.get, waiters)):
            if not waiter.final:
                self._after_fetch(waiter, job)

    def _after_fetch(self, waiter: Job, leader: Job) -> None:
        """A shared fetch is over: read the stored copy, or fetch for oneself if it failed. If it never ran,
        as its own client left before, the first who waits makes it, and the others go on waiting."""
        asked, stored = [a for a in leader.attempts[-1:] if a.origin], leader.missed
        waiter.shared = not (asked and asked[0].harmless)
        if waiter.shared and asked and stored and self._may_use(stored, waiter.slot):
            waiter.at_origin = False
            self._send(waiter, stored)
        else:
            self._to_origin(waiter)

    def _forget(self, job: Job) -> None:
        if job.final and not job.outstanding():
            self.jobs.pop(job.ref, None)
            self._fetch_over(job)

    # ------------------------------------------------------------------------------------ what comes back

    def _outcome(self, event: api.Outcome) -> None:
        job = self.jobs.get(event.ref)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt = job.attempts[event.attempt]
        attempt.out = False
        attempt.harmless = event.result in NEVER_RAN
        self.waiting.end(attempt.wait, self.now, event.spoilt or event.result in ANSWERS)
        if event.result is Result.OK and len(job.attempts) > 1 and self.now <= self._useful_until(job):
            self.waiting.won(each.wait for each in job.attempts)
        self._learn(job, attempt, event)
        if event.closed or event.result is Result.TIMEOUT:
            self.pressure.record(1.0 - job.klass.late_share if self.now > job.aim_at else 0.0)
        if event.closed:
            self._close(job)
        if job.final:
            self._forget(job)
        elif event.result is Result.MISS and self.settings.mode is Mode.ASIDE:
            if job.missed is None:
                job.missed = attempt.server
            if not job.outstanding():
                self._to_origin(job)
        elif event.spent and not job.outstanding():
            self._finish(job, Why.SPENT)
        elif event.result is Result.UNFIT:
            self._finish(job, Why.UNFIT)  # not five attempts, each of which would end the same way
        elif not job.outstanding():
            # a broken connection costs no budget, which is against storms of load
            self._again(job, free=event.result in BROKEN or attempt.wait.stopped)
        if attempt.gated:
            self._drain_queue()

    def _learn(self, job: Job, attempt: Attempt, event: api.Outcome) -> None:
        """What one result says of its server, the origin, the pools and the filter."""
        server, result, now = attempt.server, event.result, self.now
        server.out -= 1
        self._report(server, event.report)
        # A spoilt answer is a sign of life; a reset alone is none of death: then dials are refused.
        silent = result in SILENT
        if silent:
            self._strike(server)
        elif event.spoilt or result not in UNTOLD:
            self._alive(server)
        self.origin.take(self.now, -int(attempt.gated))
        if attempt.origin:
            hung = result is Result.TIMEOUT and self.waiting.hangs(attempt.wait, self.origin.slow())
            if event.spoilt or (result not in (*UNTOLD, *BROKEN) and not hung):
                self.origin.done(now, event.lag, event.spoilt or result in (Result.OK, Result.UNFIT))
            elif result is Result.NO_PLACE:  # a storm of dials would take the places that there are
                self.origin.cut(now)
                self.origin.pause_until = max(self.origin.pause_until, now + self.rng.random() * PLACE_AFTER)
            return
        self.pressure.held -= 1
        missed = result is Result.MISS or event.note in (2, 3)
        # time-outs of a server that gave no sign of life since are its own, and no jam of the origin
        lively = server.life_at > attempt.sent
        failed = attempt.gated and (result is Result.ERROR or (result is Result.TIMEOUT and lively))
        if self.settings.mode is Mode.THROUGH and (missed or failed):
            self.origin.done(now, event.lag, result is Result.OK)
        if job.event.key and (silent or result in (Result.RESET, Result.ERROR)):
            self.filter.went_to(job.event.key, 0)
        if not missed and result in (Result.OK, Result.TIMEOUT, Result.FULL):
            slow = result is not Result.OK or event.lag > ROOM_AIM * job.klass.aim
            server.crowded(now, event.lag, slow)
            # not in through mode, where answers are slow behind fetches, nor without a sign of life
            if self.settings.mode is Mode.ASIDE and (not slow or lively or result is not Result.TIMEOUT):
                self.pressure.crowded(now, event.lag, slow)
        if result is Result.OK and not missed:
            server.sample(now, event.lag, attempt.load)
            self.usual += (event.lag / (1.0 + attempt.load) - self.usual) * 0.02
            self.spread += (abs(event.lag - self.mean) - self.spread) * 0.05
            self.mean += (event.lag - self.mean) * 0.05
        elif result is Result.FULL:
            server.sample(now, job.klass.aim, attempt.load)
        if job.keep and result not in (*UNTOLD, Result.UNFIT):
            bad = silent or result in (Result.ERROR, Result.FULL) or event.lag > job.klass.aim
            # A miss in keep is trouble while the origin is short; not while cores are: k' would fall to 0.
            dear = self.pools.wide_share > 0 and self.origin_waits > 0
            self.filter.record(bad or (missed and dear))

    def _report(self, server: Server, report: tuple[float, ...]) -> None:
        fields = dict(zip(self.settings.report_fields, report, strict=False))
        held = fields.get("active")
        if held is None and "waiting" in fields:
            held = fields["waiting"] + min(server.out, 1)  # what runs is not told
        if held is not None and held == held:
            server.report(self.now, held)

    def _again(self, job: Job, free: bool) -> None:
        """Another attempt, if the retry budget and the time left allow it."""
        if (self.retries < 1.0 and not free) or self.now >= self._useful_until(job):
            self._finish(job, Why.BUDGET if self.now < self._useful_until(job) else Why.NO_TIME)
            return
        self.retries -= not free
        last = self.settings.mode is Mode.ASIDE and len(job.attempts) == job.limits.max_attempts - 1 <= FEW
        if job.at_origin or last:  # after a miss there would be no attempt left for the fetch
            self._to_origin(job)
        else:
            self._to_cache(job)

    def _timer(self, token: int) -> None:
        kind, job = token & KIND_BITS, self.jobs.get(token & ~KIND_BITS)
        if kind == TICK:
            self._tick()
        elif job is not None and kind == DEADLINE and self.now >= job.deadline:
            self._finish(job, Why.DEADLINE)
            self._fetch_over(job)  # what hangs there is not waited for
        elif job is not None and kind == CHECK and not job.final and self.now >= job.check_at:
            self._overdue(job)

    def _overdue(self, job: Job) -> None:
        """No answer for a while: the request moves on where another attempt has the better chance, or its
        server may be silent. One that answered others meanwhile is slow, and waiting is cheaper."""
        if job.outstanding() != 1:
            return
        number, attempt = next((n, a) for n, a in enumerate(job.attempts) if a.out)
        server, limits = attempt.server, job.limits
        if job.coming:
            return self._arm(job)  # the sender side is not through: nobody can have answered
        movable = job.anywhere and len(job.attempts) < limits.max_attempts - 1 and not job.event.coming
        movable = movable and self.now <= self._repeat_until(job)  # above: what came in parts is not held
        waited = self.now - attempt.sent
        left, short = self._useful_until(job) - self.now, self.origin_waits > 0 or bool(self.origin.queue)
        if movable and limits.cancelling and self.waiting.ripe(attempt.wait, self.now, left, short):
            other, cache = (attempt.server, None) if attempt.origin else self._pick(job)
            fetch = None if self.settings.mode is Mode.THROUGH else self.origin.lag or FIRST_GUESS
            if other is not None and self.waiting.stop(attempt.wait, self.now, left, cache, fetch):
                self.actions.append(api.Cancel(job.ref, number))
                return
        if self.now < job.overdue_at:
            self._look_later(job, job.overdue_at)
            return
        # not for a single long fetch: one outlier must not shut a healthy origin, nor must those that hang
        hung = attempt.origin and self.waiting.hangs(attempt.wait, self.origin.slow())
        sign = attempt.gated and not hung and (attempt.origin or server.life_at > attempt.sent)
        if sign and waited > max(GATE_LATE * job.klass.aim, 3.0 * self.origin.lag):
            self.origin.cut(self.now)  # no need to wait for the failure
        if attempt.origin:
            self._arm(job)
            return
        server.sample(self.now, waited, attempt.load)
        if waited > ROOM_AIM * job.klass.aim:
            server.crowded(self.now, waited, True)
        if server.life_at > attempt.sent:
            self._arm(job)
            return
        self._strike(server)
        self._probe(server)
        if not server.failing:
            self._arm(job)  # guards against storms of copies: one long wait is no proof of silence
        elif not movable or self.retries < 1.0:
            self._look_later(job, inf)  # what it says of its server is told
        elif limits.second_copies:
            other, wait = self._pick(job)
            if other is not None and wait < job.klass.aim:
                self.retries -= 1.0
                self._send(job, other)
        elif limits.cancelling:
            self.actions.append(api.Cancel(job.ref, number))

    def _first_byte(self, event: api.FirstByte) -> None:
        job = self.jobs.get(event.ref)
        if job is not None and event.attempt < len(job.attempts):
            attempt = job.attempts[event.attempt]
            self._alive(attempt.server)
            self._close(job, attempt)  # the stream is the answer; its own end comes as an outcome

    # ------------------------------------------------------------------------------------- housekeeping

    def _alive(self, server: Server) -> None:
        server.back(self.now, self.settings.rules, self.membership.following)

    def _strike(self, server: Server) -> None:
        if server.strike(self.now):
            self._log("failing", f"server {server.id} gives no sign of life; its slots move on")

    def _log(self, kind: str, text: str) -> None:
        """A line for staff, one of a kind in LOG_EVERY: a storm must not flood the log."""
        if self.now >= self.logged.get(kind, float("-inf")) + LOG_EVERY:
            self.logged[kind] = self.now
            self.actions.append(api.Log(text))

    def _log_pressure(self) -> None:
        queue, list_ = self.origin.queue, self.membership
        for kind, on, text in (
            ("wide", self.pools.wide_share >= 0.5, "home zone or origin short: overflow reaches all zones"),
            ("late", self.pressure.part < 0.7, "answers are late: refusing earlier"),
            ("origin", len(queue) > self.origin.limit, f"{len(queue)} requests wait for the origin"),
            ("list", not list_.asked and list_.wait >= ASK_LAST, "the server list does not answer"),
        ):
            if on:
                self._log(kind, text)

    def _tick(self) -> None:
        self.actions.append(api.SetTimer(TICK, self.now + 100.0))
        self.pressure.floor = max(1.0, HELD_EACH * self.pools.part)
        if self.membership.call_due(self.now):
            self.actions.append(api.Watch(True))
        if self.now - self.loop_at >= LOOP_EVERY:
            self.loop_at = self.now
            self.filter.loop()
            self.pressure.loop()
            self._log_pressure()
            self.pools.loop(self.origin_waits >= 3)
            self.origin_waits = 0
        stale = dict.fromkeys(entry for entry in self.origin.queue if self._stale(entry[2]))
        for job in filter(None, (self.jobs.get(ref) for _, _, ref in stale)):
            if job.queued:
                self._finish(job, Why.QUEUE)  # told at once: a client that is left waiting comes back too
        if stale:
            self.origin.queue = [entry for entry in self.origin.queue if entry not in stale]
            heapq.heapify(self.origin.queue)
        self._drain_queue()
        self.origin_waits += bool(self.origin.queue) or self.origin.slow()
        self._probes()

    def avoided(self) -> int:
        """How many servers of the list get nothing at present."""
        listed = (s for s in self.membership.servers.values() if s.state is not State.GONE)
        return sum(s.failing or s.state is State.DRAINING for s in listed)

    def _probe(self, server: Server) -> None:
        if self.settings.limits.probes and not server.probing and server.state is State.READY:
            server.probing = True
            self.actions.append(api.Probe(server.id))

    def _probes(self) -> None:
        """Trials of failing servers, and sparing looks at the others for their load."""
        servers = [s for s in self.membership.servers.values() if s.state is State.READY]
        for server in servers:
            if server.failing and self.now >= server.trial_at:
                server.trials += 1
                server.trial_at = self.now + min(TRIAL_LAST, TRIAL_FIRST * 2.0**server.trials)
                if self.settings.limits.probes:
                    self._probe(server)
                else:
                    server.strikes = STRIKES - 1  # one request is the trial
                    server.failing = False
        pool = self.pools.home
        if self.probe_credit >= 1.0 and pool and self.settings.report_fields:
            self.probe_turn += 1
            self.probe_credit -= 1.0
            self._probe(pool[self.probe_turn % len(pool)])

    def _probed(self, event: api.ProbeResult) -> None:
        server = self.membership.servers.get(event.server)
        if server is None:
            return
        server.probing = False
        if event.result is Result.OK:
            self._alive(server)
            self._report(server, event.report)
        elif event.result in SILENT:
            self._strike(server)
