"""A fleet of routers and one node that starts cold: what all of them send it, against what it bears.

    python -m tests.cold_fleet 1..200

The decisions play by themselves, each router with a module of its own that shares nothing. A window counts
all that reaches the node in it, whatever it was sent for: repeats, what was in flight, what came from
routers that started just now and know nothing. The node's budget N is what the rules allow it at the
window's begin; the excess over N is given in units of the root of N. Beyond 2 (and 2 requests) it falls.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import deque
from dataclasses import dataclass
from math import exp, sqrt

from rosepick.decisions import api
from rosepick.decisions.decide import CHECK, TICK, Router

FLEETS = (3, 20, 30, 200)
NODES = 10
ORIGIN = 9000
PACE = 28.0  # requests a second of one warm node, of mean work
RULES = api.Rules(cold_from=0.12, warm_within=12_000.0, fall=3_000.0, tip_multiple=3.0)
STARTED, LENGTH, TOLD_WITHIN = 6_000.0, 16_000.0, 1_000.0  # milliseconds


@dataclass(frozen=True, slots=True)
class Worst:
    """The fullest window of a run."""

    count: int
    budget: float

    @property
    def excess(self) -> float:
        """Over the budget, in units of its root."""
        return (self.count - self.budget) / sqrt(self.budget)

    @property
    def falls(self) -> bool:
        """Whether the node would have fallen."""
        return self.count > self.budget + 2.0 * sqrt(self.budget) + 2.0


class Fleet:
    """One run."""

    def __init__(self, routers: int, seed: int, load: float = 0.6) -> None:
        self.rng = random.Random(seed)
        self.count, self.load = routers, load
        self.sizes = [1.0, *(self.rng.uniform(0.7, 1.4) for _ in range(NODES - 1))]
        self.cold = 100
        self.routers = [self._router(n) for n in range(routers)]
        traffic = [exp(self.rng.gauss(0.0, 0.8)) for _ in range(routers)]
        self.traffic = [part / sum(traffic) for part in traffic]
        self.heap: list[tuple[float, int, int, api.Event | None]] = []
        self.order = self.ref = 0
        self.attempts: dict[tuple[int, int], int] = {}
        self.sent: deque[float] = deque()
        self.worst = Worst(0, self._budget(STARTED))

    def _router(self, place: int) -> Router:
        settings = api.Settings(
            classes=(api.RequestClass(aim=600, deadline=1200, worth=3, effect=api.Effect.RETRYABLE),),
            rules=RULES,
            limits=api.Limits(5, False, True),
            mode=api.Mode.ASIDE,
            origin_kind=1,
            subscribe=True,
            sized_weights=True,
            routers=self.count,
            position=place,
        )
        return Router(settings, self.rng.getrandbits(32))

    def _list(self, born: float) -> tuple[api.Member, ...]:
        nodes = [api.Member(100 + n, weight=size) for n, size in enumerate(self.sizes)]
        if born:
            nodes[0] = api.Member(self.cold, born=born, weight=self.sizes[0])
        return (*nodes, api.Member(ORIGIN, kind=1))

    def _budget(self, at: float) -> float:
        share = RULES.cold_from + (1.0 - RULES.cold_from) * max(0.0, at - STARTED) / RULES.warm_within
        return RULES.tip_multiple * min(1.0, share) * PACE * RULES.fall / 1000.0

    def at(self, when: float, place: int, event: api.Event | None) -> None:
        """Plan an event of a router; None: its next request."""
        self.order += 1
        heapq.heappush(self.heap, (when, self.order, place, event))

    def _next_request(self, place: int, now: float) -> None:
        rate = self.load * PACE * sum(self.sizes) * self.traffic[place] / 1000.0
        self.at(now + self.rng.expovariate(rate), place, None)

    def play(self) -> Worst:
        """The fullest window."""
        for place in range(self.count):
            self.at(0.0, place, api.Members(api.Scope.CACHED, self._list(0.0)))
            self.at(STARTED + self.rng.uniform(0, TOLD_WITHIN), place, self._told())
            self._next_request(place, 1.0)
        restarted = self.rng.sample(range(self.count), max(1, self.count // 5))
        restarts = sorted((STARTED + self.rng.uniform(0, 4_000.0), place) for place in restarted)
        while self.heap:
            now, _, place, event = heapq.heappop(self.heap)
            if now > LENGTH:
                break
            while restarts and restarts[0][0] <= now:
                self._restart(restarts.pop(0)[1], now)
            if event is None:
                self._next_request(place, now)
                event = self._request()
            self._feed(place, now, event)
        return self.worst

    def _told(self) -> api.Members:
        return api.Members(api.Scope.FULL, self._list(STARTED), 1)

    def _restart(self, place: int, now: float) -> None:
        """It begins from nothing, with the list of the moment."""
        self.routers[place] = self._router(place)
        self.heap = [entry for entry in self.heap if entry[2] != place or entry[3] is None]
        heapq.heapify(self.heap)
        self._feed(place, now, self._told())

    def _request(self) -> api.Request:
        self.ref += 1
        return api.Request(self.ref, 0, 1200.0, key=1 + int(2_000 * self.rng.random() ** 3))

    def _feed(self, place: int, now: float, event: api.Event) -> None:
        for action in self.routers[place].handle(now, event):
            if isinstance(action, api.SetTimer):
                if action.token == TICK or action.token & CHECK:
                    self.at(action.at, place, api.Timer(action.token))
            elif isinstance(action, api.Send):
                self._send(place, now, action)

    def _send(self, place: int, now: float, action: api.Send) -> None:
        number = self.attempts.get((place, action.ref), 0)
        self.attempts[place, action.ref] = number + 1
        lag = self.rng.expovariate(1.0 / 60.0) + 20.0
        result = api.Result.OK
        if action.server == self.cold and now >= STARTED:
            self._count(now)
            lag *= 2.0
        if action.server != ORIGIN and self.rng.random() < 0.05:
            result = api.Result.RESET  # a repeat
        outcome = api.Outcome(
            action.ref,
            number,
            action.server,
            result,
            result is api.Result.OK,
            1,
            lag,
        )
        self.at(now + lag, place, outcome)

    def _count(self, now: float) -> None:
        self.sent.append(now)
        while self.sent[0] <= now - RULES.fall:
            self.sent.popleft()
        found = Worst(len(self.sent), self._budget(now - RULES.fall))
        self.worst = max(self.worst, found, key=lambda one: one.excess)


def main(seeds: str) -> None:
    """Print the worst of many runs, by size of the fleet."""
    first, _, last = seeds.partition("..")
    for routers in FLEETS:
        runs = [Fleet(routers, seed).play() for seed in range(int(first), int(last or first) + 1)]
        worst = max(runs, key=lambda one: one.excess)
        print(
            f"routers={routers} runs={len(runs)} worst_excess={worst.excess:.2f} count={worst.count}"
            f" budget={worst.budget:.1f} fell={sum(one.falls for one in runs)}",
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1])
