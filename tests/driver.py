"""Drives a router with seeded random events and checks the four rules on every action.

It is not a model of a fleet: outcomes, including rare ones, are drawn at random, so that every path of the
decision module is run with every result.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

from rosepick.decisions import api
from rosepick.decisions.api import Effect, Group, Mode, Result, Status, UpdateScope
from rosepick.decisions.decide import COLD_REMOTE_FACTOR, Router

ORIGIN_KIND = 2
ORIGIN_ID = 9000
READ = api.RequestClass(objective_ms=300, deadline_ms=1000, worth=2)
WRITE = api.RequestClass(
    objective_ms=300, deadline_ms=1000, worth=5, effect=Effect.DEDUP, repeat_window_ms=900
)


def settings(**changes: object) -> api.RouterSettings:
    """Return settings with all effects, groups and a streaming class."""
    base = api.RouterSettings(
        classes=(
            api.RequestClass(objective_ms=300, deadline_ms=1000, worth=2),
            api.RequestClass(
                objective_ms=300, deadline_ms=1200, worth=5, effect=Effect.DEDUP, repeat_window_ms=700
            ),
            api.RequestClass(300, 1200, 5, effect=Effect.DEDUP, group=Group.ZONE, repeat_window_ms=700),
            api.RequestClass(300, 1200, 5, effect=Effect.DEDUP, group=Group.CELL, repeat_window_ms=700),
            api.RequestClass(objective_ms=300, deadline_ms=900, worth=9, effect=Effect.FRAGILE),
            api.RequestClass(objective_ms=300, deadline_ms=900, worth=1, late_share=0.3, streaming=True),
        ),
        tenants=(api.Tenant(0.5, 50), api.Tenant(0.5, 50)),
        rules=api.RoutingRules(cold_from=0.2, warm_within=8000, fall=2000),
        limits=api.RouterLimits(
            4, True, True, allow_probes=True, allow_peer_messages=True, max_retry_after_ms=500
        ),
        mode=Mode.ASIDE,
        origin_kind=ORIGIN_KIND,
        subscribe=True,
        report_fields=("waiting", "active"),
        routers=3,
        over_share_worth=0.05,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def fleet(count: int = 9, zones: int = 3, origin: bool = True) -> list[api.Endpoint]:
    """Return an endpoint list, with an origin as its last entry."""
    members = [api.Endpoint(100 + 7 * n, zone=n % zones, cell=n % 4, kind=n % 2) for n in range(count)]
    if origin:
        members.append(api.Endpoint(ORIGIN_ID, zone=0, cell=0, kind=ORIGIN_KIND))
    return members


def create_router(**changes: object) -> Router:
    """Return a router with classes `READ` and `WRITE` that has an endpoint list."""
    config = settings(classes=(READ, WRITE), tenants=(), **changes)
    router = Router(config, 1)
    endpoints = tuple(fleet(origin=config.mode is Mode.ASIDE))
    router.handle(0.0, api.EndpointUpdate(UpdateScope.CACHED, endpoints))
    return router


def sends(actions: list[api.Action]) -> list[api.Send]:
    """Return the sends among actions."""
    return [action for action in actions if isinstance(action, api.Send)]


@dataclass
class TrackedRequest:
    """The history of one request, which the checks need."""

    event: api.RequestArrived
    request_class: api.RequestClass
    deadline: float
    sends: list[tuple[float, int]] = field(default_factory=list)
    results: dict[int, Result] = field(default_factory=dict)
    closed: bool = False
    answers: int = 0


class RandomEventDriver:
    """Feeds random events to a router, and checks its actions."""

    def __init__(
        self, config: api.RouterSettings, endpoints: list[api.Endpoint], seed: int, keys: int = 40
    ) -> None:
        self.settings = config
        self.rng = random.Random(seed)
        self.router = Router(config, seed)
        self.now = 1000.0
        self.heap: list[tuple[float, int, api.Event]] = []
        self.count = 0
        self.members = {m.endpoint_id: m for m in endpoints}
        self.listed = {m.endpoint_id: m for m in endpoints}
        self.stopped: dict[int, float] = {}
        self.requests: dict[int, TrackedRequest] = {}
        self.keys = keys
        self.trace: list[tuple[float, api.Action]] = []
        self.sent: dict[int, list[float]] = {}
        self.outcome_mix = "mixed"

    def schedule(self, when: float, event: api.Event) -> None:
        """Schedule an event."""
        self.count += 1
        heapq.heappush(self.heap, (max(when, self.now), self.count, event))

    def feed(self, event: api.Event) -> None:
        """Feed one event to the router, and check the actions."""
        if isinstance(event, api.AttemptEnded):
            tracked = self.requests[event.ref]
            tracked.results[event.attempt] = event.result
            if event.result is Result.OK and not tracked.closed:
                tracked.answers += 1
                tracked.closed = True
                event = replace(event, closes_request=True)
            else:
                event = replace(event, closes_request=tracked.closed)
        elif isinstance(event, api.ClientDisconnected):
            tracked = self.requests[event.ref]
            if tracked.closed:
                return
            tracked.closed = True
            tracked.answers += 1
        elif isinstance(event, api.RequestArrived):
            request_class = self.settings.classes[event.class_index]
            self.requests[event.ref] = TrackedRequest(event, request_class, self.now + event.time_left_ms)
        for action in self.router.handle(self.now, event):
            self.trace.append((self.now, action))
            self.check(action)

    def check(self, action: api.Action) -> None:
        """Check the four rules on one action."""
        if isinstance(action, api.Send):
            self.check_send(action)
        elif isinstance(action, api.Refuse | api.Fail):
            tracked = self.requests[action.ref]
            assert not tracked.closed, "second final answer"
            assert self.now <= tracked.deadline + self.settings.rules.grace_to_answer, "answer too late"
            if isinstance(action, api.Refuse):
                risky = [n for n in range(len(tracked.sends)) if tracked.results.get(n) not in api.NEVER_RAN]
                if risky:
                    effect, group = tracked.request_class.effect, tracked.request_class.group
                    assert effect is Effect.RETRYABLE or (effect is Effect.DEDUP and group is Group.ALL)
            tracked.closed = True
            tracked.answers += 1
        elif isinstance(action, api.Cancel):
            assert self.settings.limits.allow_cancel
            assert action.attempt < len(
                self.requests[action.ref].sends
            ), "cancels an attempt that was never sent"
            if self.rng.random() < 0.9:
                attempt = action.attempt
                server = self.requests[action.ref].sends[attempt][1]
                self.schedule(self.now, api.AttemptEnded(action.ref, attempt, server, Result.CANCELLED))
        elif isinstance(action, api.SetTimer):
            self.schedule(action.due_at, api.TimerFired(action.token))
        elif isinstance(action, api.Probe):
            assert self.settings.limits.allow_probes
            assert action.endpoint_id in self.listed
            result = self.rng.choice([Result.OK, Result.OK, Result.TIMEOUT, Result.CONNECT_FAILED])
            report = tuple(self.rng.random() * 9 for _ in self.settings.report_fields)
            self.schedule(
                self.now + self.rng.random() * 200, api.ProbeResult(action.endpoint_id, result, 5.0, report)
            )
        elif isinstance(action, api.Watch):
            event = api.EndpointUpdate(UpdateScope.FULL, tuple(self.members.values()))
            if self.rng.random() < 0.4:
                event = api.EndpointUpdate(UpdateScope.FAILED)
            self.schedule(self.now + self.rng.random() * 1500, event)

    def check_send(self, action: api.Send) -> None:
        tracked = self.requests[action.ref]
        assert not tracked.closed, "sent after the final answer"
        assert action.endpoint_id in self.listed, "sent to an endpoint that was never listed"
        assert len(tracked.sends) < self.settings.limits.max_attempts
        stopped = self.stopped.get(action.endpoint_id)
        assert (
            stopped is None or self.now <= stopped + self.settings.rules.stop_sending_within
        ), "sent after the drain's grace period"
        in_flight = [n for n in range(len(tracked.sends)) if n not in tracked.results]
        assert len(in_flight) < (
            2 if self.settings.limits.allow_hedging else 1
        ), "too many attempts in flight"
        risky = [n for n in range(len(tracked.sends)) if tracked.results.get(n) not in api.NEVER_RAN]
        if risky and tracked.request_class.effect is Effect.FRAGILE:
            raise AssertionError("fragile request sent again")
        if risky and tracked.request_class.effect is Effect.DEDUP:
            first_sent_at, server = tracked.sends[risky[0]]
            assert (
                self.now < first_sent_at + tracked.request_class.repeat_window_ms
            ), "repeat outside the window"
            before, here = self.listed[server], self.listed[action.endpoint_id]
            if tracked.request_class.group is Group.ZONE:
                assert before.zone == here.zone
            elif tracked.request_class.group is Group.CELL:
                assert before.cell == here.cell
        attempt = len(tracked.sends)
        tracked.sends.append((self.now, action.endpoint_id))
        self.check_cold(action.endpoint_id)
        self.sent.setdefault(action.endpoint_id, []).append(self.now)
        self.schedule_outcome(action, attempt)

    def check_cold(self, server: int) -> None:
        """Check rule 4: a budget in every window, by the least capacity that a cold endpoint can have."""
        rules, member = self.settings.rules, self.listed[server]

        def warm(other: api.Endpoint) -> bool:
            return other.started_at <= 0 or self.now >= other.started_at + rules.warm_within

        def recent(number: int, since: float = 0.0) -> int:
            since = max(since, self.now - rules.fall)
            return sum(when > since for when in self.sent.get(number, [])[-500:])

        if warm(member) or member.kind == self.settings.origin_kind:  # the rule applies to cache nodes only
            return
        every = [m for m in self.listed.values() if m.kind != self.settings.origin_kind and warm(m)]
        near = [recent(m.endpoint_id) for m in every if m.zone == member.zone]
        # if no neighbour in the zone is usable, which the driver cannot know, all warm endpoints count
        beside = [*near, *(COLD_REMOTE_FACTOR * recent(m.endpoint_id) for m in every)]
        progress = min(1.0, (self.now - member.started_at) / rules.warm_within)
        least_share = rules.cold_from + (1.0 - rules.cold_from) * progress
        budget = 1 + least_share * max(beside, default=0)
        assert recent(server, member.started_at) <= budget, "cold endpoint over its budget"

    def schedule_outcome(self, action: api.Send, attempt: int) -> None:
        """Draw the outcome of an attempt."""
        roll, rng = self.rng.random(), self.rng
        tracked = self.requests[action.ref]
        success_probability = {"calm": 0.97, "mixed": 0.6, "storm": 0.1}[self.outcome_mix]
        latency_ms = rng.random() * 120
        if roll < success_probability:
            origin = self.listed[action.endpoint_id].kind == ORIGIN_KIND
            miss = self.settings.mode is Mode.ASIDE and not origin and rng.random() < 0.4
            result = Result.MISS if miss else Result.OK
        else:
            result = rng.choice([r for r in Result if r not in (Result.OK, Result.MISS, Result.NEVER_SENT)])
            if result is Result.TIMEOUT:
                latency_ms = tracked.deadline - self.now
        report = tuple(rng.random() * 9 for _ in self.settings.report_fields) if rng.random() < 0.5 else ()
        if tracked.request_class.streaming and result is Result.OK and rng.random() < 0.5:
            tracked.closed = True  # the response is being forwarded to the client
            tracked.answers += 1
            self.schedule(self.now, api.FirstByte(action.ref, attempt, action.endpoint_id, 1.0))
        event = api.AttemptEnded(
            action.ref, attempt, action.endpoint_id, result, False, rng.randint(0, 2), latency_ms, report
        )
        self.schedule(self.now + latency_ms, event)

    def run(self, requests: int = 300, rate: float = 12.0, churn: float = 0.05) -> None:
        """Feed requests, and change the endpoint list at random."""
        self.feed(api.EndpointUpdate(UpdateScope.CACHED, tuple(self.members.values())))
        rng = self.rng
        for ref in range(1, requests + 1):
            self.advance(self.now + rng.expovariate(1.0) * rate)
            class_index = rng.randrange(len(self.settings.classes))
            time_left_ms = self.settings.classes[class_index].deadline_ms * rng.uniform(0.3, 1.0)
            key = rng.randrange(self.keys) + 1 if self.keys else 0
            tenant = rng.randrange(max(1, len(self.settings.tenants)))
            self.feed(
                api.RequestArrived(ref, class_index, time_left_ms, key, tenant, is_write=rng.random() < 0.2)
            )
            if rng.random() < 0.02:
                self.feed(api.ClientDisconnected(ref))
            if rng.random() < churn:
                self.change_random_endpoint()
            if rng.random() < 0.02:
                self.outcome_mix = rng.choice(["calm", "mixed", "storm"])
            if rng.random() < 0.05:
                self.feed(api.TimerFired(rng.randrange(1 << 62)))
                self.feed(api.PeerMessage(rng.randrange(5), bytes(rng.randrange(256) for _ in range(9))))
        self.advance(self.now + 20_000)
        for tracked in self.requests.values():
            assert tracked.answers == 1, f"request {tracked.event.ref} has {tracked.answers} final answers"

    def advance(self, until: float) -> None:
        """Feed scheduled events up to a time."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, event = heapq.heappop(self.heap)
            if isinstance(event, api.AttemptEnded) and event.attempt in self.requests[event.ref].results:
                continue
            if isinstance(event, api.EndpointUpdate):
                self.record_update(event)
            self.feed(event)
        self.now = until

    def record_update(self, event: api.EndpointUpdate) -> None:
        """Record an endpoint list that the router has been sent."""
        if event.scope is UpdateScope.FAILED:
            return
        named = {m.endpoint_id for m in event.endpoints}
        for member in event.endpoints:
            self.listed[member.endpoint_id] = member
            if member.status is Status.READY:
                self.stopped.pop(member.endpoint_id, None)
            else:
                self.stopped.setdefault(member.endpoint_id, self.now)
        if event.scope is UpdateScope.FULL:
            for server in self.listed:
                if server not in named:
                    self.stopped.setdefault(server, self.now)

    def change_random_endpoint(self) -> None:
        """Change one entry of the list at random, and send the update."""
        server = self.rng.choice(sorted(self.members))
        member = self.members[server]
        state = self.rng.choice([Status.READY, Status.READY, Status.DRAINING, Status.REMOVED])
        started_at = self.now if state is Status.READY and self.rng.random() < 0.5 else member.started_at
        self.members[server] = replace(member, status=state, started_at=started_at)
        event = api.EndpointUpdate(UpdateScope.DELTA, (self.members[server],))
        self.record_update(event)
        self.feed(event)
        if state is Status.REMOVED:
            self.members[server] = replace(member, status=Status.READY, started_at=self.now)
