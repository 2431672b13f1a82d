"""Releases on the simulated net: the agents' very driver and machines, versions that are good or bad in one
way or another, an operator who starts, halts and takes back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import replace
from functools import partial

from ...agreement.operation import Change, Kind, Outcome
from ...fleet import ledger as book
from ...fleet import release
from ...fleet.agent import Agent, Own
from ...fleet.budget import Budget, Limit
from ...fleet.carrier import Blame, Carrier, Ready, Terms
from ...fleet.leader import Plan
from ...fleet.release import BUILD, Phase, Record, Thing
from ...fleet.warden import Report
from . import release_claims
from .claims import Verdict
from .history import Decided, Ran
from .sim_drains import GROUP, DrainWorld, Eyes, SimAgent, SimMember
from .simulated import Shape

BAD = {  # in which way a version is worse, and how many waves may see it
    "dead": 1,  # it ends at its start
    "mute": 1,  # it never serves
    "short": 1,  # it serves, and ends soon after
    "fails": 1,  # it loses three requests in ten
    "slow": 2,  # half as much processor time again
    "leaks": 2,  # memory that grows
    "west": 3,  # it loses requests, in one zone only
}
GOOD = "good"
MOST = Limit(most=3, zone_most=2, share=1.0, zone_share=1.0, stay=1)
BACK = Limit(most=4, zone_most=3, share=1.0, zone_share=1.0, stay=1)
BUDGET = Budget(routers=MOST, caches=MOST, unasked=2, back=BACK)
WAVES: list[int | str] = [1, "zone", "rest"]
PLAN = Plan(
    watch=4_000.0, patience=14_000.0, after=4_000.0, lost_for=8_000.0, failing=0.0, alarm=0.002, line=0.6,
    pool=1_200.0, before=6,
)  # fmt: skip
TERMS = Terms(settle=2_400.0, probation=9_000.0, again=2_000.0)
LOOK = 0.25  # seconds between two looks at the record
GOES = 2.0 + 1.5 + 1.6 + 2.0  # a reading's age, an answer's way, a member's start, a slow clock and the look


def thing(name: str) -> Thing:
    """A version by its name, which is its digest too."""
    return Thing(name, name, f"/builds/{name}")


def kind_of(version: str) -> str:
    """In which way it is bad, or that it is good."""
    return version.partition("-")[0]


class SimRouter(SimMember):
    """A member with a version. Only routers are released; the others never change theirs."""

    def __init__(self, world: ReleaseWorld, name: str, kind: book.Kind, zone: str) -> None:
        super().__init__(world, name, kind, zone)
        self.agent: SimCarrying | None = None
        self.version, self.ended = "old", 0

    def start(self) -> None:
        if self.running:
            return
        carrier = None if self.agent is None else self.agent.carrier
        version = self.version if carrier is None else carrier.runs[BUILD]
        if self.kind is book.Kind.ROUTER and (version != self.version or self.world.now < 1.0):
            self.world.note(Ran(self.name, self.world.now, version))
        self.version = version
        super().start()
        life, rng = self.life, self.world.rng
        bad = kind_of(version)
        if bad == "dead" and self.running:
            self.world.later(rng.uniform(0.05, 0.3), partial(self._end, life, "fault"))
        elif bad == "short":
            self.world.later(rng.uniform(1.2, 2.2), partial(self._end, life, "fault"))

    def _serve(self, life: int) -> None:
        if kind_of(self.version) != "mute":
            super()._serve(life)

    def _end(self, life: int, by: str) -> None:
        if life == self.life and not self.ending:
            self.ended += 1
        super()._end(life, by)


class Sight(Eyes):
    """The same with figures by version."""

    def __init__(self, member: SimRouter, carrier: Carrier) -> None:
        super().__init__(member)
        self._router, self._carrier = member, carrier

    def look(self) -> Own:
        one = self._router
        wrong = one.running and one.version != self._carrier.runs[BUILD]
        return replace(super().look(), wrong=wrong, ends=one.ended)

    def report(self, run: int, beat: int) -> Report:
        one, rng = self._router, self._router.world.rng
        up, bad = self.look().serving, kind_of(one.version)
        asked = max(0.0, rng.gauss(12.0, 3.0)) * up
        fails = bad == "fails" or (bad == "west" and one.zone == "west")
        lost = asked * (0.3 * rng.uniform(0.6, 1.4) if fails else rng.choice((0.0, 0.0, 0.0, 0.02)))
        cpu = asked * 0.002 * rng.uniform(0.85, 1.15) * (1.5 if bad == "slow" else 1.0)
        age = one.world.now - one.since if bad == "leaks" else 0.0
        memory = 40_000.0 * rng.uniform(0.99, 1.01) * (1.0 + 0.25 * age)
        return Report(
            run, beat, up, True, asked - lost, 0.0, lost, cpu=cpu, memory=memory,
            door=rng.lognormvariate(0.0, 0.3), ends=one.ended,
            build=one.version if one.running else self._carrier.runs[BUILD],
        )  # fmt: skip


class Store:
    """A host's versions: there after a while, or not to be had."""

    def __init__(self, member: SimRouter) -> None:
        self._member = member
        self._since: dict[str, float] = {}
        self._there: set[str] = set()

    def ready(self, kind: str, thing: Thing) -> Ready:
        """How far it is."""
        world = self._member.world
        since = self._since.setdefault(thing.digest, world.now)
        if thing.digest in self._there:
            return Ready(True)
        if world.now - since < 0.4:
            return Ready()
        if world.rng.random() < 0.05:
            self._since.pop(thing.digest)
            return Ready(False, Blame.HOST, "no room")
        self._there.add(thing.digest)
        return Ready(True)

    def apply(self, kind: str, digest: str) -> None:
        """Settings are not released here."""

    def forget(self, needed: Iterable[str]) -> None:
        """Versions that nobody goes back to are gone from this host."""
        self._there &= set(needed)


class SimCarrying(SimAgent):
    """An agent that takes part in releases."""

    carrier: Carrier | None = None

    def _member(self, world: DrainWorld, name: str, kind: book.Kind, zone: str) -> SimMember:
        assert isinstance(world, ReleaseWorld)
        member = SimRouter(world, name, kind, zone)
        member.agent = self
        return member

    def _equipped(self, machine: Agent) -> tuple[Eyes, Plan | None]:
        member = self.member
        assert isinstance(member, SimRouter)
        if member.kind is not book.Kind.ROUTER:
            return Eyes(member), PLAN
        self.carrier = Carrier(self.name, self.disk, Store(member), TERMS, {BUILD: "old"})
        machine.carrier = self.carrier
        return Sight(member, self.carrier), PLAN


class ReleaseWorld(DrainWorld):
    """Routers get new versions, one release after the other."""

    budget = BUDGET
    back_in = 150.0

    def __init__(self, shape: Shape, seed: int) -> None:
        super().__init__(shape, seed)
        self.versions = ["old"]
        self._seen: Record | None = None
        self.decisions: Counter[str] = Counter()

    def _contender(self, name: str, rate: float) -> SimAgent:
        return SimCarrying(self, name, rate)

    @property
    def routers(self) -> Mapping[str, SimAgent]:
        """Whom releases are for."""
        return {name: one for name, one in self.agents.items() if one.member.kind is book.Kind.ROUTER}

    # -- the operator

    def _begin(self) -> None:
        super()._begin()
        self._look()

    def _look(self) -> None:
        """See what the record says, and write down what it allows."""
        client, begin = self.operator.client, self.now
        assert client is not None

        def done(outcome: Outcome) -> None:
            if outcome.kind is Kind.READ:
                self._told(release.read(outcome.register), begin)
            self.operator.after(1000.0 * LOOK, self._look)

        client.run(release.key(GROUP), None, done, 1_000.0)

    def _told(self, record: Record, begin: float) -> None:
        if record == self._seen:
            return
        self.decisions += decisions(self._seen, record)
        self._seen = record
        self.note(decided(record, list(self.routers), self.now, begin, "old"))

    def _word(self, change: Change) -> None:
        client = self.operator.client
        assert client is not None
        client.run(release.key(GROUP), change, lambda outcome: None, 2_000.0)

    def _order(self) -> None:
        """Now and then a word about the release, else one about drains."""
        if self.calm:
            return
        rng, record, now = self.orders, self._seen, self.now
        draw = rng.random()
        if record is None or record.now is None:
            if draw < 0.7:
                self._start(record)
        elif draw < 0.015:
            self._word(release.back("operator", "drill", now))
        elif draw < 0.03:
            self._word(release.forward("operator", "drill", now))
        elif draw < 0.045:
            self._word(release.hold("operator", "drill", now))
        elif draw < 0.3 and record.now.held is not None:
            # an operator who is asked knows what it is
            known = record.now.asks and kind_of(record.now.new.name) in BAD
            word = release.back if known else release.go_on
            self._word(word("operator", "drill", now))
        elif draw < 0.4:
            self._orders_of_drains()
        self.operator.after(1000.0 * rng.uniform(1.0, 3.0), self._order)

    def _orders_of_drains(self) -> None:
        rng, now = self.orders, self.now
        names = rng.sample(list(self.agents), rng.choice((1, 2)))
        draw = rng.random()
        if draw < 0.4:
            self._say("out", book.want_out(names, "crew", "patch", now), tuple(names))
            self.operator.after(
                6_000.0, partial(self._say, "in", book.want_in(names, "crew", now), tuple(names))
            )
        elif draw < 0.55:
            self._say("halt", book.halt("crew", "drill", now))
            self.operator.after(5_000.0, self._note_resume)
        else:
            self._note_resume()

    def _start(self, record: Record | None) -> None:
        client = self.operator.client
        ledger = next((a.driver.machine.ledger for a in self.routers.values() if a.driver), None)
        if client is None or ledger is None or len(ledger.of(book.Kind.ROUTER)) < len(self.routers):
            return
        old = (record and record.base.get(BUILD)) or thing("old")
        bad = self.orders.choice([GOOD, GOOD, *BAD])
        new = f"{bad}-{len(self.versions)}"
        self.versions.append(new)
        waves = release.waves(ledger, WAVES)
        self._word(release.start(BUILD, thing(new), old, waves, "operator", "drill", self.now))

    # -- the end

    def _settle(self) -> None:
        super()._settle()
        self._finish()

    def _finish(self) -> None:
        """What is open at the end goes on to its end, forward or back; holds and halts are lifted."""
        record, now = self._seen, self.now
        if record is None or record.now is not None:
            self._note_resume()
            if record is not None and record.now is not None and record.now.held is not None:
                back = record.now.phase == Phase.BACK or kind_of(record.now.new.name) in BAD
                word = release.back if back else release.go_on
                self._word(word("operator", "the end", now))
            self.operator.after(3_000.0, self._finish)

    def play(self) -> Verdict:
        verdict = super().play()
        bad = {
            version: most_of(kind_of(version), len(self.routers))
            for version in self.versions
            if kind_of(version) in BAD
        }
        bounds = release_claims.Bounds(GOES / (1.0 - self.shape.rate), bad, list(self.routers))
        broken, counts = release_claims.judge(self.events, bounds)
        verdict.broken += broken
        verdict.counts += counts
        verdict.counts["releases"] += 0 if self._seen is None else self._seen.releases
        verdict.counts += self.decisions
        return verdict


def most_of(bad: str, routers: int) -> int:
    """By how many routers a bad version may ever be run: those of the waves that are to show it."""
    half = routers // 2
    return (1, half, routers)[BAD[bad] - 1]


def decided(record: Record, routers: list[str], now: float, begin: float, first: str) -> Decided:
    """What the record says, as an event. `first`: what ran before any release."""
    one = record.now
    if one is None:
        base = record.base.get(BUILD)
        return Decided("record", now, begin, record.releases, base.digest if base else first, over=True)
    new = one.new.digest
    may = tuple(name for name in routers if one.may_run(name).digest == new)
    return Decided("record", now, begin, one.number, new, may, one.phase == Phase.BACK)


def decisions(before: Record | None, after: Record) -> Counter[str]:
    """What leaders have decided between two looks at the record, by the kind of version."""
    found: Counter[str] = Counter()
    old, now = None if before is None else before.now, after.now
    if old is not None and now is not None and old.number == now.number:
        turned = old.phase != Phase.BACK and now.phase == Phase.BACK
        last = after.history[-1] if after.history else None
        if turned and last is not None and last.who != "operator":
            found[f"judged worse: {kind_of(now.new.name)}"] += 1
    if old is not None and (now is None or now.number != old.number):
        through = after.base.get(BUILD) == old.new
        found[f"{'brought through' if through else 'closed as taken back'}: {kind_of(old.new.name)}"] += 1
    return found


def drill(shape: Shape, seed: int) -> Verdict:
    """One seed."""
    return ReleaseWorld(shape, seed).play()
