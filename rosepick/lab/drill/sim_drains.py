"""Drains on the simulated net: the agents' very driver and machine, members that are modelled, two crews
that order what they like, and the faults of every drill.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial

from ...agreement.operation import Change, Kind, Outcome
from ...fleet import ledger as book
from ...fleet import warden as counting
from ...fleet.agent import Agent, Do, Own
from ...fleet.agent import Terms as AgentTerms
from ...fleet.budget import Budget, Limit
from ...fleet.leader import Plan
from ...fleet.ledger import At
from ...fleet.warden import Report
from ...leases.contender import Terms
from ...leases.guard import Guard
from ...net.agent import PATIENCE, AgentDriver
from . import claims, drain_claims
from .claims import Broken, Verdict
from .history import Ordered, Stood
from .plan import Fault
from .simulated import Shape, SimContender, Tokens, World

GROUP = "drill"
ZONES = ("east", "west")
LIMIT = Limit(most=2, zone_most=1, share=1.0, zone_share=1.0, stay=1)
BUDGET = Budget(routers=LIMIT, caches=LIMIT, apart={"rack": ("c0", "c5")}, unasked=1)
AGENT = AgentTerms(look=400.0, lonely=5_000.0, steady=600.0)
COUNTING = counting.Terms(silent=5_000.0)
BEAT = 1_200.0
ORDERS_EACH = 1.3  # seconds between two orders
BACK_IN = 30.0  # seconds within which all that is wanted in is in, without faults
DOWN, START = (0.2, 1.2), (0.2, 0.8)  # seconds until a member that was told to end has, and until it serves
WARM = (0.5, 2.5)  # seconds until a cache node is warm
FAILS = 0.15  # of the starts end at once


class SimMember:
    """What an agent looks after. It lives on when its agent dies."""

    def __init__(self, world: DrainWorld, name: str, kind: book.Kind, zone: str) -> None:
        self.world, self.name, self.kind, self.zone = world, name, kind, zone
        self.life = 0
        self.running = self.serving = self.draining = self.ending = False
        self.warm = True
        self.since = 0.0  # of its draining, or of its last start
        self._told_up: bool | None = None
        self.free = False

    def stands(self, by: str) -> None:
        """Note it if it has gone out of service or come back."""
        up = self.running and self.serving and not self.draining and not self.ending and self.warm
        if up != self._told_up or (not up and by == "program"):
            self._told_up = up
            kind = "routers" if self.kind is book.Kind.ROUTER else "caches"
            self.world.note(Stood(self.name, self.world.now, kind, self.zone, up, by, self.free))

    def start(self) -> None:
        """Start it, if it does not run."""
        if self.running:
            return
        self.life += 1
        self.running, self.serving, self.draining, self.ending = True, False, False, False
        self.warm = self.kind is book.Kind.ROUTER or self.world.now < 1.0
        life, rng = self.life, self.world.rng
        if rng.random() < FAILS and self.world.now > 1.0:
            self.world.later(rng.uniform(*START), partial(self._end, life, "fault"))
            return
        self.world.later(0.0 if self.world.now < 1.0 else rng.uniform(*START), partial(self._serve, life))
        self.world.later(rng.uniform(*WARM) + START[1], partial(self._warmed, life))

    def _serve(self, life: int) -> None:
        if life == self.life:
            self.serving = True
            self.stands("")

    def _warmed(self, life: int) -> None:
        if life == self.life:
            self.warm = True
            self.stands("")

    def stop(self) -> None:
        """SIGTERM."""
        if self.running and not self.ending:
            self.ending = True
            self.stands("program")
            self.world.later(self.world.rng.uniform(*DOWN), partial(self._end, self.life, "program"))

    def _end(self, life: int, by: str) -> None:
        if life == self.life:
            self.running = self.serving = self.draining = self.ending = False
            self.life += 1
            self.stands(by)

    def dies(self) -> None:
        """A fault ends it."""
        if self.running:
            self._end(self.life, "fault")

    def drain(self, on: bool) -> None:
        """Take nothing new, or take it again."""
        if self.running and self.draining is not on:
            self.draining, self.since = on, self.world.now
            self.stands("program" if on else "")


class Eyes:
    """A member as one start of its agent sees it: a little late, as over a door."""

    def __init__(self, member: SimMember) -> None:
        self._member = member

    def look(self) -> Own:
        """How it is."""
        one = self._member
        idle = one.draining and one.world.now - one.since > 1.0
        up = one.running and one.serving and not one.draining and not one.ending
        return Own(one.running, up, one.draining, one.ending, idle, one.warm)

    def do(self, what: Do) -> None:
        """Start it, have it drain or not, stop it."""
        if what is Do.START:
            self._member.start()
        elif what is Do.STOP:
            self._member.stop()
        elif what in (Do.DRAIN, Do.KEEP):
            self._member.drain(what is Do.DRAIN)

    def report(self, run: int, beat: int) -> Report:
        """What is told of it."""
        own = self.look()
        return Report(run, beat, own.serving, own.warm, served=10.0 * own.serving)


class Disk:
    """What an agent keeps, in all its starts."""

    def __init__(self) -> None:
        self.at = (0, 0)
        self.tokens = Tokens()
        self._more: dict[str, object] = {}

    def load(self) -> tuple[int, int]:
        """Where its member stands, and the permit."""
        return self.at

    def save(self, at: int, permit: int) -> None:
        """Keep it."""
        self.at = at, permit

    def get(self, name: str) -> object:
        """What was kept under a name."""
        return self._more.get(name)

    def put(self, **more: object) -> None:
        """Keep it."""
        self._more |= more


class SimAgent(SimContender):
    """An agent and its member."""

    def __init__(self, world: DrainWorld, name: str, rate: float) -> None:
        super().__init__(world, name, rate, [])
        number = int(name[1:])
        self.drains = world
        kind = book.Kind.ROUTER if number < (world.shape.contenders + 1) // 2 else book.Kind.CACHE
        self.member = self._member(world, name, kind, ZONES[number % len(ZONES)])
        self.disk = Disk()  # its member's agent's
        self.driver: AgentDriver | None = None

    def _member(self, world: DrainWorld, name: str, kind: book.Kind, zone: str) -> SimMember:
        return SimMember(world, name, kind, zone)

    def start(self) -> None:
        super().start()
        if self.world.now < 1.0:
            self.member.start()
        assert self.client is not None
        member, disk = self.member, self.disk
        machine = Agent(member.name, member.kind, member.zone, 1000, self.drains.budget, AGENT, disk)
        terms = Terms(self.world.shape.ttl * 1000.0, self.world.shape.drift)
        guard = Guard(disk.tokens)
        eyes, plan = self._equipped(machine)
        wall = partial(getattr, self.world, "now")
        self.driver = AgentDriver(
            self.client, GROUP, machine, eyes, guard, (terms, COUNTING), wall, BEAT, plan
        )

    def _equipped(self, machine: Agent) -> tuple[Eyes, Plan | None]:
        """How it sees its member, and how it would lead releases."""
        return Eyes(self.member), None


class DrainWorld(World):
    """Agents in the place of contenders, and an operator who orders."""

    budget = BUDGET
    back_in = BACK_IN

    def __init__(self, shape: Shape, seed: int) -> None:
        super().__init__(shape, seed)
        self.orders = random.Random(seed * 13 + 5)
        self.calm = False
        self.operations: Counter[str] = Counter()

    def _contender(self, name: str, rate: float) -> SimContender:
        return SimAgent(self, name, rate)

    @property
    def agents(self) -> Mapping[str, SimAgent]:
        """By name."""
        return {name: one for name, one in self.contenders.items() if isinstance(one, SimAgent)}

    def later(self, length: float, call: Callable[[], None]) -> None:
        """Call after so many seconds, whatever process lives."""
        self.call(self.now + length, None, call)

    # -- faults

    def _member(self, number: int, fault: Fault) -> None:
        self.agents[fault.target[0]].member.dies()

    def _host(self, number: int, fault: Fault) -> None:
        self.agents[fault.target[0]].member.dies()
        self._kill(number, fault)

    def _wiped(self, number: int, fault: Fault) -> None:
        self.agents[fault.target[0]].disk = Disk()
        self._kill(number, fault)

    # -- orders

    def _begin(self) -> None:
        super()._begin()
        self._order()

    def _say(self, what: str, change: Change, names: tuple[str, ...] = ()) -> None:
        """An operator's order; what is not known to be taken is not noted."""
        client = self.operator.client
        assert client is not None

        def done(outcome: Outcome) -> None:
            if outcome.kind is Kind.DONE or (outcome.kind is Kind.READ and what == "halt"):
                self.note(Ordered("operator", self.now, what, names))

        client.run(book.key(GROUP), change, done, 3_000.0)

    def _order(self) -> None:
        if self.calm:
            return
        rng, now = self.orders, self.now
        names = rng.sample(list(self.agents), rng.choice((1, 1, 2, 3, len(self.agents) // 2)))
        draw = rng.random()
        if draw < 0.5:
            self._say("out", book.want_out(names, rng.choice("ab"), "patch", now), tuple(names))
        elif draw < 0.8:
            self._say("in", book.want_in(names, rng.choice("ab"), now), tuple(names))
        elif draw < 0.85:
            self._say("halt", book.halt("operator", "drill", now))
        elif draw < 0.95:
            self._note_resume()
        elif draw < 0.97:
            self._dying(names[0])
        else:
            self._off(names[0])
        self.operator.after(1000.0 * ORDERS_EACH * rng.uniform(0.3, 1.7), self._order)

    def _note_resume(self) -> None:
        # from the asking on things may go out again
        self.note(Ordered("operator", self.now, "resume"))
        client = self.operator.client
        assert client is not None

        def done(outcome: Outcome) -> None:
            if outcome.kind in (Kind.DONE, Kind.UNKNOWN):  # taken after a later halt, maybe
                self.note(Ordered("operator", self.now, "resume"))

        client.run(book.key(GROUP), book.resume("operator", "drill", self.now), done, 3_000.0)

    def _dying(self, name: str) -> None:
        member = self.agents[name].member
        member.free = True
        self.later(20.0, lambda: setattr(member, "free", False))
        self._say("now", book.want_out([name], "a", "it dies", self.now, now=True), (name,))

    def _off(self, name: str) -> None:
        self.note(Ordered("operator", self.now, "off", (name,)))
        self._say("written off", book.write_off(name, "a", "drill", self.now), (name,))
        self.operator.after(4_000.0, lambda: self._on(name))

    def _on(self, name: str) -> None:
        client = self.operator.client
        assert client is not None

        def done(outcome: Outcome) -> None:
            if outcome.kind in (Kind.FAILED, Kind.UNKNOWN):
                self._on(name)
            else:
                self.later(6.0, lambda: self.note(Ordered("operator", self.now, "on", (name,))))

        client.run(book.key(GROUP), book.take_on(name, "a", self.now), done, 3_000.0)

    def _settle(self) -> None:
        super()._settle()
        self.calm = True
        for seconds in (0.0, 4.0, 8.0):  # an order from before may be taken after the first of these
            self.later(seconds, self._all_in)

    def _all_in(self) -> None:
        """At the end all are wanted in, until that is taken; the halt stays, if there is one."""
        client = self.operator.client
        assert client is not None

        def done(outcome: Outcome) -> None:
            if outcome.kind in (Kind.FAILED, Kind.UNKNOWN):
                self._all_in()

        client.run(book.key(GROUP), book.want_in(list(self.agents), "a", self.now), done, 3_000.0)

    # -- the end

    def play(self) -> Verdict:
        self._found()
        self.call(0.1, None, self._begin)
        for number, fault in enumerate(self.plan.faults):
            self.call(1.5 + fault.at, None, partial(self._inject, number, fault))
        calm = 1.5 + self.plan.until
        self.call(calm, None, self._settle)
        self._run(calm + self.back_in)
        for process in (self.operator, *self.contenders.values()):
            process.note_open()
        verdict = claims.judge(self.events)
        known = (
            (COUNTING.silent + BEAT + PATIENCE + AGENT.counted + PATIENCE) / 1000.0 / (1.0 - self.shape.rate)
        )
        bounds = drain_claims.Bounds(self.budget, known, 2.6 / (1.0 - self.shape.rate))
        broken, counts = drain_claims.judge(self.events, bounds)
        verdict.broken += [*broken, *self._ended()]
        verdict.counts += counts
        for kind, count in self.injected.items():
            verdict.counts[f"fault {kind}"] += count
        return verdict

    def _ended(self) -> list[Broken]:
        """Every permit has ended, and every member is in service."""
        found = []
        for name, one in self.agents.items():
            member, driver = one.member, one.driver
            ledger = None if driver is None else driver.machine.ledger
            mine = None if ledger is None else ledger.members.get(name)
            up = member.running and member.serving and not member.draining and not member.ending
            if mine is None or mine.at != At.IN or mine.permit or not up:
                stood = "unknown" if mine is None else f"{At(mine.at).name.lower()}, permit {mine.permit}"
                found.append(
                    Broken("ends", f"{name} is {stood}, {'up' if up else 'down'}, long after the last fault")
                )
        return found


def drill(shape: Shape, seed: int) -> Verdict:
    """One seed."""
    return DrainWorld(shape, seed).play()
