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
from ...decisions.api import NEVER_RAN, Effect, Group, Mode, Result, Scope, State

RETRY_CREDIT = 0.2  # retries earned by a request ...
RETRY_MOST = 12.0  # ... and so many are kept for a burst
PATIENCE = 0.5  # an attempt has this part of the time left, or of the aim if that is less
WINDOW_USED = 0.9  # of a repeat window: the rest is for the way
ASK_FIRST, ASK_LAST = 700.0, 6_000.0  # spacing of calls to a discovery that fails, doubled up
LAST_MOMENT = 0.001  # this near its deadline a request is late: guards against one that was rounded up

CHECK, DEADLINE, ASK = 1 << 60, 2 << 60, 3 << 60  # kinds of timer; the low bits are the request
KINDS = 3 << 60


def hashed(*numbers: int) -> int:
    """A fixed 64-bit hash: the same in every process, unlike hash()."""
    return int.from_bytes(blake2b(repr(numbers).encode(), digest_size=8).digest(), "big")


@dataclass(slots=True, eq=False)
class Node:
    """One member of the list, and the delivery attempts that this router has out there."""

    member: api.Member
    out: int = 0
    listed: bool = True

    @property
    def server(self) -> int:
        """Its number."""
        return self.member.server

    @property
    def ready(self) -> bool:
        """Whether anything may be sent there."""
        return self.listed and self.member.state is State.READY


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request."""

    node: Node
    sent: float
    origin: bool
    out: bool = True
    harmless: bool = False  # proved never to have run


@dataclass(slots=True, eq=False)
class Job:
    """A request from its arrival until its final answer and the end of its last delivery attempt."""

    event: api.Request
    klass: api.RequestClass
    deadline: float
    at_origin: bool  # what goes out next goes to the origin
    attempts: list[Attempt] = field(default_factory=list)
    check_at: float = inf  # when the attempt that is out has had its time
    final: bool = False

    @property
    def ref(self) -> int:
        """Its number."""
        return self.event.ref

    @property
    def place(self) -> int:
        """What its place is hashed from: its key, or its number if it has none."""
        return self.event.key or self.event.ref

    @property
    def anywhere(self) -> bool:
        """Whether a second execution is harmless wherever it happens, so that a refusal is always true."""
        klass = self.klass
        return klass.effect is Effect.RETRYABLE or (klass.effect is Effect.DEDUP and klass.group is Group.ALL)

    @property
    def out(self) -> bool:
        """Whether an attempt is out; there is never more than one, the last."""
        return bool(self.attempts) and self.attempts[-1].out

    @property
    def risk(self) -> Attempt | None:
        """The first attempt that may have run, if any."""
        return next((attempt for attempt in self.attempts if not attempt.harmless), None)

    def may_repeat(self, when: float) -> bool:
        """Whether the class allows another attempt at that time."""
        risk, klass = self.risk, self.klass
        if risk is None or klass.effect is Effect.RETRYABLE:
            return True
        return klass.effect is Effect.DEDUP and when < risk.sent + WINDOW_USED * klass.repeat_window

    def grouped(self, nodes: Sequence[Node]) -> Sequence[Node]:
        """Those of the nodes that would drop a repeat: the group of the first attempt that may have run."""
        risk, klass = self.risk, self.klass
        if risk is None or klass.effect is not Effect.DEDUP or klass.group is Group.ALL:
            return nodes
        first = risk.node.member
        if klass.group is Group.ZONE:
            return [node for node in nodes if node.member.zone == first.zone]
        return [node for node in nodes if node.member.cell == first.cell]

    def untried(self, nodes: Sequence[Node]) -> Sequence[Node]:
        """Those of the nodes where it was not sent yet."""
        if not self.attempts:
            return nodes
        tried = {attempt.node.server for attempt in self.attempts}
        return [node for node in nodes if node.server not in tried]


class Membership:
    """The server list as told, and the calls that keep it fresh."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.nodes: dict[int, Node] = {}
        self.caches: Sequence[Node] = ()  # the ready ones, by number
        self.origins: Sequence[Node] = ()
        self.version = 0  # grows with every change
        self.following = not settings.subscribe
        self.ask_at = -inf
        self.wait = ASK_FIRST

    def take(self, now: float, event: api.Members) -> list[api.Action]:
        """Apply an event of discovery."""
        if event.scope is Scope.FAILED:
            return self._failed(now)
        if event.scope is not Scope.CACHED:
            self.following, self.wait = True, ASK_FIRST
        if event.scope is not Scope.DELTA:
            for node in self.nodes.values():
                node.listed = False
        for member in event.members:
            node = self.nodes.setdefault(member.server, Node(member))
            node.member, node.listed = member, True
        self._sort()
        return []

    def ask(self, now: float) -> list[api.Action]:
        """Subscribe, unless the list is followed or it is too early; again if no answer ever comes."""
        if self.following or now < self.ask_at:
            return []
        self.ask_at = now + self.settings.rules.ask_every
        return [api.Watch(True), api.SetTimer(ASK, self.ask_at)]

    def is_origin(self, node: Node) -> bool:
        """Whether it is what holds every value; only aside mode has one that routers speak to."""
        return self.settings.mode is Mode.ASIDE and node.member.kind == self.settings.origin_kind

    def _failed(self, now: float) -> list[api.Action]:
        """The list held stands; ask again, later each time, so that a list in trouble is not stormed."""
        if not self.settings.subscribe:
            return []
        self.following = False
        self.ask_at = now + self.wait * (0.5 + self.rng.random())
        self.wait = min(ASK_LAST, 2.0 * self.wait)
        return [api.SetTimer(ASK, self.ask_at)]

    def _sort(self) -> None:
        # a node that left is kept while attempts are out there, as their count would be lost if it came back
        self.nodes = {
            number: node
            for number, node in sorted(self.nodes.items())
            if node.out or (node.listed and node.member.state is not State.GONE)
        }
        ready = [node for node in self.nodes.values() if node.ready]
        self.caches = tuple(node for node in ready if not self.is_origin(node))
        self.origins = tuple(node for node in ready if self.is_origin(node))
        self.version += 1


class Plain:
    """One router instance with a plain policy: a subclass says which cache node a request goes to."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.membership = Membership(settings, self.rng)
        self.jobs: dict[int, Job] = {}
        self.retries = RETRY_MOST
        self.started = False
        self.now = 0.0
        self.actions: list[api.Action] = []

    def pick(self, now: float, job: Job, candidates: Sequence[Node]) -> Node:
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
            self.actions += self.membership.ask(now)
        match event:
            case api.Request():
                self._request(event)
            case api.Outcome():
                self._outcome(event)
            case api.Timer():
                self._timer(event.token)
            case api.Members():
                self.actions += self.membership.take(now, event)
            case api.FirstByte():
                self._end(event.ref, stream=True)
            case api.ClientGone():
                self._end(event.ref)
        return self.actions

    def origins_for(self, job: Job) -> Sequence[Node]:
        """The origins where a request may go now, those not tried before if there are such. None in through
        mode.
        """
        allowed = job.grouped(self.membership.origins)
        return job.untried(allowed) or allowed

    # ------------------------------------------------------------------------------------ what happens

    def _request(self, event: api.Request) -> None:
        if event.ref in self.jobs:
            return
        classes = self.settings.classes
        klass = classes[event.klass] if event.klass < len(classes) else classes[0]
        aside_write = event.write and self.settings.mode is Mode.ASIDE
        job = self.jobs[event.ref] = Job(event, klass, self.now + max(0.0, event.time_left), aside_write)
        self.retries = min(RETRY_MOST, self.retries + RETRY_CREDIT)
        self.actions.append(api.SetTimer(DEADLINE | job.ref, job.deadline))
        self._go(job)

    def _outcome(self, event: api.Outcome) -> None:
        job = self.jobs.get(event.ref)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt = job.attempts[event.attempt]
        attempt.out = False
        attempt.harmless = event.result in NEVER_RAN
        attempt.node.out -= 1
        if job.final or event.closed:
            self._close(job)
        elif event.result is Result.MISS and self.settings.mode is Mode.ASIDE and not attempt.origin:
            job.at_origin = True
            self._go(job)  # no retry: it is the ordinary way of a key that the node lacks
        elif event.result is Result.UNFIT:
            self._answer(job, api.Fail(job.ref))  # it would be turned away anywhere
        else:
            self._go(job, price=1.0)

    def _timer(self, token: int) -> None:
        kind, job = token & KINDS, self.jobs.get(token & ~KINDS)
        if kind == ASK:
            self.actions += self.membership.ask(self.now)
        elif job is None or job.final:
            return
        elif kind == DEADLINE and self._late(job):
            self._give_up(job)
        elif kind == CHECK and self.now >= job.check_at and self.retries >= 1.0:
            job.check_at = inf  # its outcome leads on; guards against calling it off twice
            self.actions.append(api.Cancel(job.ref, len(job.attempts) - 1))

    def _end(self, ref: int, stream: bool = False) -> None:
        """Nothing more is owed: the client has left, or a stream to it has begun, which goes on."""
        job = self.jobs.get(ref)
        if job is not None:
            self._close(job, stream)

    # ---------------------------------------------------------------------------------- a request's way

    def _late(self, job: Job) -> bool:
        return self.now >= job.deadline - LAST_MOMENT

    def _go(self, job: Job, price: float = 0.0) -> None:
        """The next attempt if the rules, and the retry budget at this price, allow one; else the answer."""
        node = self._next(job) if self.retries >= price and self._may_send(job) else None
        if node is None:
            self._give_up(job)
        else:
            self.retries -= price
            self._send(job, node)

    def _may_send(self, job: Job) -> bool:
        """The rules, for every path, but for those about the next hop, which `_next` keeps."""
        if job.final or job.out or self._late(job):
            return False
        return len(job.attempts) < self.settings.limits.max_attempts and job.may_repeat(self.now)

    def _next(self, job: Job) -> Node | None:
        """Where the next attempt goes, if it may go anywhere."""
        if not job.at_origin:
            allowed = job.grouped(self.membership.caches)
            fresh = job.untried(allowed)
            # an origin may only stand in when a read was tried at every cache node
            if fresh or not job.attempts or not job.untried(self.origins_for(job)):
                candidates = fresh or allowed
                return self.pick(self.now, job, candidates) if candidates else None
        origins = self.origins_for(job)
        return origins[hashed(job.place) % len(origins)] if origins else None

    def _send(self, job: Job, node: Node) -> None:
        job.at_origin = self.membership.is_origin(node)
        job.attempts.append(Attempt(node, self.now, job.at_origin))
        node.out += 1
        job.check_at = self._patience(job)
        if job.check_at == inf:
            self.actions.append(api.Send(job.ref, node.server))
        elif self.settings.limits.cancelling:
            self.actions += (api.Send(job.ref, node.server), api.SetTimer(CHECK | job.ref, job.check_at))
        else:
            self.actions.append(api.Send(job.ref, node.server, job.check_at))

    def _patience(self, job: Job) -> float:
        """Until when to wait for the attempt just sent: for ever if nothing better could follow it."""
        limits = self.settings.limits
        until = self.now + PATIENCE * min(job.deadline - self.now, job.klass.aim)
        # A stop time cannot be taken back: none for a stream, which it would cut off, or with no retry left.
        firm = not limits.cancelling and (job.klass.streaming or self.retries < 1.0)
        if firm or len(job.attempts) >= limits.max_attempts or not job.may_repeat(until):
            return inf
        return until if self._elsewhere(job) else inf

    def _elsewhere(self, job: Job) -> bool:
        """Whether there is a server left to try. Guards against fetches that a slow origin is asked for again
        and again: each one called off is lost to the cache, and may cost the origin its work all the same.
        """
        members = self.membership
        places = (members.origins,) if job.at_origin else (members.caches, members.origins)
        return any(job.untried(job.grouped(nodes)) for nodes in places)

    # ----------------------------------------------------------------------------------- final answers

    def _give_up(self, job: Job) -> None:
        """The final answer of a request that is not served: refused where that is true, else failed."""
        if (job.risk is None or job.anywhere) and not self._late(job):
            self._answer(job, api.Refuse(job.ref, min(self.settings.limits.max_retry_after, job.klass.aim)))
        else:
            self._answer(job, api.Fail(job.ref))

    def _answer(self, job: Job, answer: api.Refuse | api.Fail) -> None:
        self.actions.append(answer)
        self._close(job)

    def _close(self, job: Job, stream: bool = False) -> None:
        """Nothing more is owed: call off what is out, and forget the request once nothing is."""
        # not at the origin: as with the real router, a fetch that is under way may still be of use to others
        off = not job.final and job.out and not job.attempts[-1].origin and not stream
        job.final = True
        if off and self.settings.limits.cancelling:
            self.actions.append(api.Cancel(job.ref, len(job.attempts) - 1))
        if not job.out:
            self.jobs.pop(job.ref, None)
