"""Simulates a fleet of routers and one cold node: the sends of all routers against the node's budget.

    python -m tests.cold_fleet 1..200

Only the decision modules run; each router has one of its own, and they share nothing. A window counts every
request that reaches the node in it: retries, requests that were in flight, and those of routers that have
just started and have learned nothing. The node's budget N is what the rules allow at the begin of the
window. The excess over N is given in units of the root of N. The node fails beyond an excess of 2, plus 2
requests.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import deque
from dataclasses import dataclass
from math import exp, sqrt

from rosepick.decisions import api
from rosepick.decisions.decide import CHECK_TIMER, TICK_TIMER, Router

FLEET_SIZES = (3, 20, 30, 200)
NODE_COUNT = 10
ORIGIN_NUMBER = 9000
NODE_REQUESTS_PER_S = 28.0  # requests a second of one warm node, of mean work
RULES = api.RoutingRules(cold_from=0.12, warm_within=12_000.0, fall=3_000.0, tip_multiple=3.0)
COLD_START_MS, RUN_LENGTH_MS, DISCOVERY_DELAY_MS = 6_000.0, 16_000.0, 1_000.0  # milliseconds


@dataclass(frozen=True, slots=True)
class FullestWindow:
    """The window of a run with the greatest excess over the budget."""

    count: int
    budget: float

    @property
    def excess(self) -> float:
        """Return the requests over the budget, in units of its root."""
        return (self.count - self.budget) / sqrt(self.budget)

    @property
    def overloads_node(self) -> bool:
        """Return whether the node would have failed."""
        return self.count > self.budget + 2.0 * sqrt(self.budget) + 2.0


class ColdStartFleet:
    """One simulated run with a number of routers, a seed and a load as a share of the capacity."""

    def __init__(self, routers: int, seed: int, load: float = 0.6) -> None:
        self.rng = random.Random(seed)
        self.count, self.load = routers, load
        self.sizes = [1.0, *(self.rng.uniform(0.7, 1.4) for _ in range(NODE_COUNT - 1))]
        self.cold_number = 100
        self.routers = [self._router(n) for n in range(routers)]
        traffic = [exp(self.rng.gauss(0.0, 0.8)) for _ in range(routers)]
        self.traffic = [part / sum(traffic) for part in traffic]
        self.heap: list[tuple[float, int, int, api.Event | None]] = []
        self.order = self.ref = 0
        self.attempts: dict[tuple[int, int], int] = {}
        self.sent: deque[float] = deque()
        self.worst = FullestWindow(0, self._budget(COLD_START_MS))

    def _router(self, router_index: int) -> Router:
        settings = api.RouterSettings(
            classes=(
                api.RequestClass(objective_ms=600, deadline_ms=1200, worth=3, effect=api.Effect.RETRYABLE),
            ),
            rules=RULES,
            limits=api.RouterLimits(5, False, True),
            mode=api.Mode.ASIDE,
            origin_kind=1,
            subscribe=True,
            sized_weights=True,
            routers=self.count,
            position=router_index,
        )
        return Router(settings, self.rng.getrandbits(32))

    def _members(self, cold_started_at: float) -> tuple[api.Endpoint, ...]:
        nodes = [api.Endpoint(100 + n, weight=size) for n, size in enumerate(self.sizes)]
        if cold_started_at:
            nodes[0] = api.Endpoint(self.cold_number, started_at=cold_started_at, weight=self.sizes[0])
        return (*nodes, api.Endpoint(ORIGIN_NUMBER, kind=1))

    def _budget(self, at: float) -> float:
        share = RULES.cold_from + (1.0 - RULES.cold_from) * max(0.0, at - COLD_START_MS) / RULES.warm_within
        return RULES.tip_multiple * min(1.0, share) * NODE_REQUESTS_PER_S * RULES.fall / 1000.0

    def schedule(self, when: float, router_index: int, event: api.Event | None) -> None:
        """Schedule an event of a router; None stands for its next request."""
        self.order += 1
        heapq.heappush(self.heap, (when, self.order, router_index, event))

    def _next_request(self, router_index: int, now: float) -> None:
        rate = self.load * NODE_REQUESTS_PER_S * sum(self.sizes) * self.traffic[router_index] / 1000.0
        self.schedule(now + self.rng.expovariate(rate), router_index, None)

    def run(self) -> FullestWindow:
        """Run the simulation; return the window with the greatest excess."""
        for router_index in range(self.count):
            self.schedule(0.0, router_index, api.EndpointUpdate(api.UpdateScope.CACHED, self._members(0.0)))
            self.schedule(
                COLD_START_MS + self.rng.uniform(0, DISCOVERY_DELAY_MS),
                router_index,
                self._full_member_list(),
            )
            self._next_request(router_index, 1.0)
        restarted = self.rng.sample(range(self.count), max(1, self.count // 5))
        restarts = sorted(
            (COLD_START_MS + self.rng.uniform(0, 4_000.0), router_index) for router_index in restarted
        )
        while self.heap:
            now, _, router_index, event = heapq.heappop(self.heap)
            if now > RUN_LENGTH_MS:
                break
            while restarts and restarts[0][0] <= now:
                self._restart(restarts.pop(0)[1], now)
            if event is None:
                self._next_request(router_index, now)
                event = self._request()
            self._feed(router_index, now, event)
        return self.worst

    def _full_member_list(self) -> api.EndpointUpdate:
        return api.EndpointUpdate(api.UpdateScope.FULL, self._members(COLD_START_MS), 1)

    def _restart(self, router_index: int, now: float) -> None:
        """Replace a router by a new one that knows only the present list."""
        self.routers[router_index] = self._router(router_index)
        self.heap = [entry for entry in self.heap if entry[2] != router_index or entry[3] is None]
        heapq.heapify(self.heap)
        self._feed(router_index, now, self._full_member_list())

    def _request(self) -> api.RequestArrived:
        self.ref += 1
        return api.RequestArrived(self.ref, 0, 1200.0, key=1 + int(2_000 * self.rng.random() ** 3))

    def _feed(self, router_index: int, now: float, event: api.Event) -> None:
        for action in self.routers[router_index].handle(now, event):
            if isinstance(action, api.SetTimer):
                if action.token == TICK_TIMER or action.token & CHECK_TIMER:
                    self.schedule(action.due_at, router_index, api.TimerFired(action.token))
            elif isinstance(action, api.Send):
                self._send(router_index, now, action)

    def _send(self, router_index: int, now: float, action: api.Send) -> None:
        number = self.attempts.get((router_index, action.ref), 0)
        self.attempts[router_index, action.ref] = number + 1
        latency_ms = self.rng.expovariate(1.0 / 60.0) + 20.0
        result = api.Result.OK
        if action.endpoint_id == self.cold_number and now >= COLD_START_MS:
            self._count(now)
            latency_ms *= 2.0
        if action.endpoint_id != ORIGIN_NUMBER and self.rng.random() < 0.05:
            result = api.Result.RESET  # leads to a retry
        outcome = api.AttemptEnded(
            action.ref,
            number,
            action.endpoint_id,
            result,
            result is api.Result.OK,
            1,
            latency_ms,
        )
        self.schedule(now + latency_ms, router_index, outcome)

    def _count(self, now: float) -> None:
        self.sent.append(now)
        while self.sent[0] <= now - RULES.fall:
            self.sent.popleft()
        found = FullestWindow(len(self.sent), self._budget(now - RULES.fall))
        self.worst = max(self.worst, found, key=lambda window: window.excess)


def main(seeds: str) -> None:
    """Print the worst of many runs for each fleet size."""
    first, _, last = seeds.partition("..")
    for routers in FLEET_SIZES:
        runs = [ColdStartFleet(routers, seed).run() for seed in range(int(first), int(last or first) + 1)]
        worst = max(runs, key=lambda window: window.excess)
        print(
            f"routers={routers} runs={len(runs)} worst_excess={worst.excess:.2f} count={worst.count}"
            f" budget={worst.budget:.1f} fell={sum(run.overloads_node for run in runs)}",
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1])
