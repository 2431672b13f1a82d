"""What every plain policy shares: the server list, delivery attempts, repeats, and one final answer each.

A plain policy speaks the interface of `rosepick.decisions.api`, as the real `Router` does, and keeps the same
rules, so that both can be compared; only how a cache node is picked is its own. It learns nothing, refuses
nothing early, and is blind to zones, sizes and warm-up (it does not keep the budget of cold nodes). Times are
milliseconds. No I/O and no clock.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

from ...decisions import api
from ...decisions.api import NEVER_RAN, Effect, Group, Mode, Result, Status, UpdateScope

RETRY_CREDIT_PER_REQUEST = 0.2  # retries earned by a request ...
MAX_RETRY_CREDIT = 12.0  # ... and so many are kept for a burst
ATTEMPT_TIMEOUT_SHARE = 0.5  # an attempt has this part of the time left, or of the aim if that is less
REPEAT_WINDOW_SHARE = 0.9  # of a repeat window: the rest is for the way
MIN_DISCOVERY_RETRY_MS, MAX_DISCOVERY_RETRY_MS = (
    700.0,
    6_000.0,
)  # spacing of calls to a discovery that fails, doubled up
DEADLINE_MARGIN_MS = 0.001  # this near its deadline a request is late: guards against one that was rounded up

ATTEMPT_TIMER, DEADLINE_TIMER, DISCOVERY_TIMER = (
    1 << 60,
    2 << 60,
    3 << 60,
)  # kinds of timer; the low bits are the request
TIMER_KIND_MASK = 3 << 60


def hash64(*numbers: int) -> int:
    """A fixed 64-bit hash: the same in every process, unlike hash()."""
    return int.from_bytes(blake2b(repr(numbers).encode(), digest_size=8).digest(), "big")


@dataclass(slots=True, eq=False)
class PolicyNode:
    """One member of the list, and the delivery attempts that this router has out there."""

    member: api.Endpoint
    in_flight: int = 0
    listed: bool = True

    @property
    def server(self) -> int:
        """Its number."""
        return self.member.endpoint_id

    @property
    def ready(self) -> bool:
        """Whether anything may be sent there."""
        return self.listed and self.member.status is Status.READY


@dataclass(slots=True, eq=False)
class PolicyAttempt:
    """One sending of a request."""

    node: PolicyNode
    sent_at: float
    to_origin: bool
    in_flight: bool = True
    never_ran: bool = False  # proved never to have run


@dataclass(slots=True, eq=False)
class PolicyRequest:
    """A request from its arrival until its final answer and the end of its last delivery attempt."""

    event: api.RequestArrived
    klass: api.RequestClass
    deadline: float
    at_origin: bool  # what goes out next goes to the origin
    attempts: list[PolicyAttempt] = field(default_factory=list)
    check_at: float = inf  # when the attempt that is out has had its time
    answered: bool = False

    @property
    def ref(self) -> int:
        """Its number."""
        return self.event.ref

    @property
    def hash_key(self) -> int:
        """What its place is hashed from: its key, or its number if it has none."""
        return self.event.key or self.event.ref

    @property
    def may_repeat_anywhere(self) -> bool:
        """Whether a second execution is harmless wherever it happens, so that a refusal is always true."""
        klass = self.klass
        return klass.effect is Effect.RETRYABLE or (klass.effect is Effect.DEDUP and klass.group is Group.ALL)

    @property
    def in_flight(self) -> bool:
        """Whether an attempt is out; there is never more than one, the last."""
        return bool(self.attempts) and self.attempts[-1].in_flight

    @property
    def first_possible_execution(self) -> PolicyAttempt | None:
        """The first attempt that may have run, if any."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)

    def may_repeat(self, when: float) -> bool:
        """Whether the class allows another attempt at that time."""
        risk, klass = self.first_possible_execution, self.klass
        if risk is None or klass.effect is Effect.RETRYABLE:
            return True
        return (
            klass.effect is Effect.DEDUP
            and when < risk.sent_at + REPEAT_WINDOW_SHARE * klass.repeat_window_ms
        )

    def nodes_in_repeat_group(self, nodes: Sequence[PolicyNode]) -> Sequence[PolicyNode]:
        """Those of the nodes that would drop a repeat: the group of the first attempt that may have run."""
        risk, klass = self.first_possible_execution, self.klass
        if risk is None or klass.effect is not Effect.DEDUP or klass.group is Group.ALL:
            return nodes
        first = risk.node.member
        if klass.group is Group.ZONE:
            return [node for node in nodes if node.member.zone == first.zone]
        return [node for node in nodes if node.member.cell == first.cell]

    def untried_nodes(self, nodes: Sequence[PolicyNode]) -> Sequence[PolicyNode]:
        """Those of the nodes where it was not sent yet."""
        if not self.attempts:
            return nodes
        tried = {attempt.node.server for attempt in self.attempts}
        return [node for node in nodes if node.server not in tried]


class Membership:
    """The server list as told, and the calls that keep it fresh."""

    def __init__(self, settings: api.RouterSettings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.nodes: dict[int, PolicyNode] = {}
        self.caches: Sequence[PolicyNode] = ()  # the ready ones, by number
        self.origins: Sequence[PolicyNode] = ()
        self.version = 0  # grows with every change
        self.following = not settings.subscribe
        self.next_subscribe_at = -inf
        self.retry_delay_ms = MIN_DISCOVERY_RETRY_MS

    def apply(self, now: float, event: api.EndpointUpdate) -> list[api.Action]:
        """Apply an event of discovery."""
        if event.scope is UpdateScope.FAILED:
            return self._on_failure(now)
        if event.scope is not UpdateScope.CACHED:
            self.following, self.retry_delay_ms = True, MIN_DISCOVERY_RETRY_MS
        if event.scope is not UpdateScope.DELTA:
            for node in self.nodes.values():
                node.listed = False
        for member in event.endpoints:
            node = self.nodes.setdefault(member.endpoint_id, PolicyNode(member))
            node.member, node.listed = member, True
        self._rebuild_lists()
        return []

    def subscribe(self, now: float) -> list[api.Action]:
        """Subscribe, unless the list is followed or it is too early; again if no answer ever comes."""
        if self.following or now < self.next_subscribe_at:
            return []
        self.next_subscribe_at = now + self.settings.rules.ask_every
        return [api.Watch(True), api.SetTimer(DISCOVERY_TIMER, self.next_subscribe_at)]

    def is_origin(self, node: PolicyNode) -> bool:
        """Whether it is what holds every value; only aside mode has one that routers speak to."""
        return self.settings.mode is Mode.ASIDE and node.member.kind == self.settings.origin_kind

    def _on_failure(self, now: float) -> list[api.Action]:
        """The list held stands; ask again, later each time, so that a list in trouble is not stormed."""
        if not self.settings.subscribe:
            return []
        self.following = False
        self.next_subscribe_at = now + self.retry_delay_ms * (0.5 + self.rng.random())
        self.retry_delay_ms = min(MAX_DISCOVERY_RETRY_MS, 2.0 * self.retry_delay_ms)
        return [api.SetTimer(DISCOVERY_TIMER, self.next_subscribe_at)]

    def _rebuild_lists(self) -> None:
        # a node that left is kept while attempts are out there, as their count would be lost if it came back
        self.nodes = {
            number: node
            for number, node in sorted(self.nodes.items())
            if node.in_flight or (node.listed and node.member.status is not Status.REMOVED)
        }
        ready = [node for node in self.nodes.values() if node.ready]
        self.caches = tuple(node for node in ready if not self.is_origin(node))
        self.origins = tuple(node for node in ready if self.is_origin(node))
        self.version += 1


class BaselinePolicy:
    """One router instance with a plain policy: a subclass says which cache node a request goes to."""

    def __init__(self, settings: api.RouterSettings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.membership = Membership(settings, self.rng)
        self.requests: dict[int, PolicyRequest] = {}
        self.retry_credit = MAX_RETRY_CREDIT
        self.started = False
        self.now = 0.0
        self.actions: list[api.Action] = []

    def pick(self, now: float, job: PolicyRequest, candidates: Sequence[PolicyNode]) -> PolicyNode:
        """The node for the next attempt of a request. The candidates, at least one, are ready and in the
        order of their numbers; none was tried before if there are such.
        """
        raise NotImplementedError

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event; the actions are to be carried out in their order."""
        self.now = now
        self.actions = []
        if not self.started:
            self.started = True
            self.actions += self.membership.subscribe(now)
        match event:
            case api.RequestArrived():
                self._on_request(event)
            case api.AttemptEnded():
                self._on_outcome(event)
            case api.TimerFired():
                self._on_timer(event.token)
            case api.EndpointUpdate():
                self.actions += self.membership.apply(now, event)
            case api.FirstByte():
                self._on_client_done(event.ref, stream=True)
            case api.ClientDisconnected():
                self._on_client_done(event.ref)
        return self.actions

    def origins_for(self, job: PolicyRequest) -> Sequence[PolicyNode]:
        """The origins where a request may go now, those not tried before if there are such. None in through
        mode.
        """
        allowed = job.nodes_in_repeat_group(self.membership.origins)
        return job.untried_nodes(allowed) or allowed

    # ------------------------------------------------------------------------------------ what happens

    def _on_request(self, event: api.RequestArrived) -> None:
        if event.ref in self.requests:
            return
        classes = self.settings.classes
        klass = classes[event.class_index] if event.class_index < len(classes) else classes[0]
        aside_write = event.is_write and self.settings.mode is Mode.ASIDE
        job = self.requests[event.ref] = PolicyRequest(
            event, klass, self.now + max(0.0, event.time_left_ms), aside_write
        )
        self.retry_credit = min(MAX_RETRY_CREDIT, self.retry_credit + RETRY_CREDIT_PER_REQUEST)
        self.actions.append(api.SetTimer(DEADLINE_TIMER | job.ref, job.deadline))
        self._start_attempt(job)

    def _on_outcome(self, event: api.AttemptEnded) -> None:
        job = self.requests.get(event.ref)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].in_flight:
            return
        attempt = job.attempts[event.attempt]
        attempt.in_flight = False
        attempt.never_ran = event.result in NEVER_RAN
        attempt.node.in_flight -= 1
        if job.answered or event.closes_request:
            self._close(job)
        elif event.result is Result.MISS and self.settings.mode is Mode.ASIDE and not attempt.to_origin:
            job.at_origin = True
            self._start_attempt(job)  # no retry: it is the ordinary way of a key that the node lacks
        elif event.result is Result.INVALID:
            self._answer(job, api.Fail(job.ref))  # it would be turned away anywhere
        else:
            self._start_attempt(job, price=1.0)

    def _on_timer(self, token: int) -> None:
        kind, job = token & TIMER_KIND_MASK, self.requests.get(token & ~TIMER_KIND_MASK)
        if kind == DISCOVERY_TIMER:
            self.actions += self.membership.subscribe(self.now)
        elif job is None or job.answered:
            return
        elif kind == DEADLINE_TIMER and self._is_late(job):
            self._give_up(job)
        elif kind == ATTEMPT_TIMER and self.now >= job.check_at and self.retry_credit >= 1.0:
            job.check_at = inf  # its outcome leads on; guards against calling it off twice
            self.actions.append(api.Cancel(job.ref, len(job.attempts) - 1))

    def _on_client_done(self, ref: int, stream: bool = False) -> None:
        """Nothing more is owed: the client has left, or a stream to it has begun, which goes on."""
        job = self.requests.get(ref)
        if job is not None:
            self._close(job, stream)

    # ---------------------------------------------------------------------------------- a request's way

    def _is_late(self, job: PolicyRequest) -> bool:
        return self.now >= job.deadline - DEADLINE_MARGIN_MS

    def _start_attempt(self, job: PolicyRequest, price: float = 0.0) -> None:
        """The next attempt if the rules, and the retry budget at this price, allow one; else the answer."""
        node = self._choose_node(job) if self.retry_credit >= price and self._may_send(job) else None
        if node is None:
            self._give_up(job)
        else:
            self.retry_credit -= price
            self._send(job, node)

    def _may_send(self, job: PolicyRequest) -> bool:
        """The rules, for every path, but for those about the next hop, which `_next` keeps."""
        if job.answered or job.in_flight or self._is_late(job):
            return False
        return len(job.attempts) < self.settings.limits.max_attempts and job.may_repeat(self.now)

    def _choose_node(self, job: PolicyRequest) -> PolicyNode | None:
        """Where the next attempt goes, if it may go anywhere."""
        if not job.at_origin:
            allowed = job.nodes_in_repeat_group(self.membership.caches)
            fresh = job.untried_nodes(allowed)
            # an origin may only stand in when a read was tried at every cache node
            if fresh or not job.attempts or not job.untried_nodes(self.origins_for(job)):
                candidates = fresh or allowed
                return self.pick(self.now, job, candidates) if candidates else None
        origins = self.origins_for(job)
        return origins[hash64(job.hash_key) % len(origins)] if origins else None

    def _send(self, job: PolicyRequest, node: PolicyNode) -> None:
        job.at_origin = self.membership.is_origin(node)
        job.attempts.append(PolicyAttempt(node, self.now, job.at_origin))
        node.in_flight += 1
        job.check_at = self._attempt_timeout_ms(job)
        if job.check_at == inf:
            self.actions.append(api.Send(job.ref, node.server))
        elif self.settings.limits.allow_cancel:
            self.actions += (
                api.Send(job.ref, node.server),
                api.SetTimer(ATTEMPT_TIMER | job.ref, job.check_at),
            )
        else:
            self.actions.append(api.Send(job.ref, node.server, job.check_at))

    def _attempt_timeout_ms(self, job: PolicyRequest) -> float:
        """Until when to wait for the attempt just sent: for ever if nothing better could follow it."""
        limits = self.settings.limits
        until = self.now + ATTEMPT_TIMEOUT_SHARE * min(job.deadline - self.now, job.klass.objective_ms)
        # A stop time cannot be taken back: none for a stream, which it would cut off, or with no retry left.
        firm = not limits.allow_cancel and (job.klass.streaming or self.retry_credit < 1.0)
        if firm or len(job.attempts) >= limits.max_attempts or not job.may_repeat(until):
            return inf
        return until if self._retry_elsewhere(job) else inf

    def _retry_elsewhere(self, job: PolicyRequest) -> bool:
        """Whether there is a server left to try. Guards against fetches that a slow origin is asked for again
        and again: each one called off is lost to the cache, and may cost the origin its work all the same.
        """
        members = self.membership
        places = (members.origins,) if job.at_origin else (members.caches, members.origins)
        return any(job.untried_nodes(job.nodes_in_repeat_group(nodes)) for nodes in places)

    # ----------------------------------------------------------------------------------- final answers

    def _give_up(self, job: PolicyRequest) -> None:
        """The final answer of a request that is not served: refused where that is true, else failed."""
        if (job.first_possible_execution is None or job.may_repeat_anywhere) and not self._is_late(job):
            self._answer(
                job, api.Refuse(job.ref, min(self.settings.limits.max_retry_after_ms, job.klass.objective_ms))
            )
        else:
            self._answer(job, api.Fail(job.ref))

    def _answer(self, job: PolicyRequest, answer: api.Refuse | api.Fail) -> None:
        self.actions.append(answer)
        self._close(job)

    def _close(self, job: PolicyRequest, stream: bool = False) -> None:
        """Nothing more is owed: call off what is out, and forget the request once nothing is."""
        # not at the origin: as with the real router, a fetch that is under way may still be of use to others
        off = not job.answered and job.in_flight and not job.attempts[-1].to_origin and not stream
        job.answered = True
        if off and self.settings.limits.allow_cancel:
            self.actions.append(api.Cancel(job.ref, len(job.attempts) - 1))
        if not job.in_flight:
            self.requests.pop(job.ref, None)
