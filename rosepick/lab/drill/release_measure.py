"""What releases cost and what they find: the leader and the record as they are, on a model of 200 routers.

Routers differ for good (hosts, traffic), zones feel bursts together, load goes up and down, a young process
is smaller than an old one: what is the same for the new version and the old one must not raise an alarm.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from math import exp, sin

from ...agreement.messages import Register
from ...agreement.operation import Change, Declined
from ...fleet import release
from ...fleet.leader import Leader, Plan
from ...fleet.ledger import At, Kind, Ledger, Member
from ...fleet.release import BUILD, Phase, Record, Thing
from ...fleet.warden import Report

ZONES = 4
BEAT = 1.5  # seconds
CHANGE = 15.0  # a member's way out and back, with its probation
SEEN_AFTER = 600.0  # seconds until people notice by themselves, where nobody looks
CLOCK = 60.0  # of fixed waves
LONGEST = 3_600.0
OLD, NEW = Thing("old", "0", "/old"), Thing("new", "1", "/new")


@dataclass(frozen=True, slots=True)
class Way:
    """In which way the new version is worse: its part of requests lost, processor time, memory a minute."""

    name: str
    lost: float = 0.0
    slow: float = 1.0
    leak: float = 0.0
    zone: int = -1  # in one zone only
    dead: bool = False


WAYS = (
    Way("loses 30%", lost=0.3),
    Way("loses 5%", lost=0.05),
    Way("loses 1%", lost=0.01),
    Way("30% slower", slow=1.3),
    Way("15% slower", slow=1.15),
    Way("leaks 5% a minute", leak=0.05),
    Way("loses 30% in one zone", lost=0.3, zone=ZONES - 1),
    Way("does not start", dead=True),
)


@dataclass(slots=True)
class Run:
    """One release: how it ended, requests that met a worse version, seconds until it was stopped, until all
    were back or through, and the most members that ran it.
    """

    through: bool = False
    worse: bool = False
    held: int = 0
    harmed: float = 0.0
    stopped: float | None = None
    over: float = 0.0
    reached: int = 0


class Model:
    """200 routers and a release; time goes by beats."""

    def __init__(self, seed: int, way: Way, busy: bool, routers: int, policy: str) -> None:
        self.rng = random.Random(f"{seed} {way.name} {busy}")
        self.way, self.busy, self.policy = way, busy, policy
        self.names = [f"r{n:03}" for n in range(routers)]
        self.zone = {name: n % ZONES for n, name in enumerate(self.names)}
        self.rate = {name: self.rng.lognormvariate(2.0, 0.6) * (3.0 if busy else 1.0) for name in self.names}
        self.host = {name: self.rng.gauss(0.0, 0.15) for name in self.names}
        self.version = dict.fromkeys(self.names, OLD.digest)
        self.since = dict.fromkeys(self.names, -1e9)
        self.moving: dict[str, float] = {}  # until when it is out
        self.failed: set[str] = set()
        self.time, self.beat = 0.0, 0
        self.bursts = [0.0] * ZONES
        self.register = Register()
        self.run = Run()

    @property
    def record(self) -> Record:
        """As it is."""
        return release.read(self.register)

    def make(self, change: Change) -> None:
        """Change the record."""
        try:
            self.register = Register(self.register.version + 1, "m", change(self.register))
        except Declined:
            return

    def ledger(self) -> Ledger:
        """Who is in."""
        members = {
            name: Member(
                int(Kind.ROUTER), f"z{self.zone[name]}", at=int(At.OUT if name in self.moving else At.IN)
            )
            for name in self.names
        }
        return Ledger(members=members)

    def _bad(self, name: str) -> bool:
        here = self.way.zone in (-1, self.zone[name])
        return self.version[name] == NEW.digest and here

    def report(self, name: str) -> Report:
        """What its agent tells."""
        rng, up = self.rng, name not in self.moving
        load = 1.0 + 0.3 * sin(self.time / 200.0 + self.zone[name])
        asked = max(0.0, rng.gauss(1.0, 0.35)) * self.rate[name] * load * up
        bad = self._bad(name)
        part = 0.002 + self.bursts[self.zone[name]] + (self.way.lost if bad else 0.0)
        lost = min(asked, asked * part * rng.lognormvariate(-0.3, 0.8))
        cpu = asked * 0.002 * exp(self.host[name] + rng.gauss(0.0, 0.1)) * (self.way.slow if bad else 1.0)
        age = self.time - self.since[name]
        memory = 30_000.0 * (1.0 - 0.2 * exp(-age / 60.0)) * exp(rng.gauss(0.0, 0.01))
        memory *= 1.0 + (self.way.leak * age / 60.0 if bad else 0.0)
        if bad and (self.way.lost or self.way.slow > 1.0 or self.way.leak):
            self.run.harmed += BEAT * (asked * self.way.lost if self.way.lost else asked)
        door = rng.lognormvariate(0.0, 0.4)
        trouble = f"{BUILD} {NEW.digest} version it ends" if name in self.failed else ""
        return Report(
            1, self.beat, up, True, asked - lost, 0.0, lost, cpu=cpu, memory=memory, door=door,
            build=self.version[name], trouble=trouble,
        )  # fmt: skip

    def _move(self, most: int) -> None:
        """Members go over, so many at a time."""
        for name, until in list(self.moving.items()):
            if self.time >= until:
                del self.moving[name]
        record = self.record
        for name in self.names:
            goal = record.goal(name, BUILD)
            held = record.now is not None and record.now.held is not None
            if goal is None or goal.digest == self.version[name] or name in self.moving or held:
                continue
            if name in self.failed or len(self.moving) >= most:
                continue
            self.moving[name] = self.time + CHANGE
            if self.way.dead and goal == NEW:
                self.failed.add(name)
            else:
                self.version[name], self.since[name] = goal.digest, self.time + CHANGE
        reached = sum(version == NEW.digest for version in self.version.values())
        self.run.reached = max(self.run.reached, reached)

    def tick(self) -> None:
        """A beat goes by."""
        self.time += BEAT
        self.beat += 1
        for zone in range(ZONES):
            begins = self.rng.random() < (0.02 if self.busy else 0.005)
            self.bursts[zone] = 0.1 * self.rng.random() if begins else 0.7 * self.bursts[zone]


def play(seed: int, way: Way, busy: bool, policy: str, routers: int = 200) -> Run:
    """One release. `policy`: "judged" (this), "clock" (the same waves, a minute each, nobody looks), "at
    once".
    """
    model, plan = Model(seed, way, busy, routers, policy), Plan()
    leader = Leader(plan, 0.0)
    waves = release.waves(model.ledger(), [1, "2%", "10%", "zone", "rest"])
    waves = [model.names] if policy == "at once" else waves
    for _ in range(40):  # it has led for a while
        model.tick()
        for name in model.names:
            leader.told(name, model.report(name))
        leader.step(Record(), model.ledger(), 1000.0 * model.time, model.time, "l", 1)
    begin, wave_at = model.time, model.time
    model.make(release.start(BUILD, NEW, OLD, waves, "o", "x", model.time))
    while model.time - begin < LONGEST and model.record.now is not None:
        model.tick()
        ledger = model.ledger()
        for name in model.names:
            leader.told(name, model.report(name))
        now = model.record.now
        assert now is not None
        if policy == "judged":
            step = leader.step(model.record, ledger, 1000.0 * model.time, model.time, "l", 1)
            if step is not None:
                model.make(step.change)
                model.run.held += step.what == "hold"
                _note(model, step.what, begin)
            elif now.held is not None:
                model.make(release.go_on("o", "seen", model.time))
        elif model.time - wave_at >= CLOCK or now.wave < 0:
            wave_at = model.time
            model.make(release.led(now, 1, "l", model.time, _by_the_clock(model, now, begin), "the clock"))
        model._move(routers if policy == "at once" else routers // 10)
    model.run.over = model.time - begin
    model.run.through = model.record.base.get(BUILD) == NEW
    return model.run


def _by_the_clock(model: Model, now: release.Release, begin: float) -> str:
    """What somebody does who only looks after a while."""
    bad = model.way.name != "no worse" and model.time - begin >= SEEN_AFTER
    if bad and now.phase != Phase.BACK:
        _note(model, "worse", begin)
        return "worse"
    if now.phase == Phase.WATCH or (now.phase == Phase.BACK and now.wave <= 0):
        late = model.time - begin >= SEEN_AFTER or model.way.name == "no worse"
        return "close" if late else ""
    return "next"


def _note(model: Model, what: str, begin: float) -> None:
    if what == "worse":
        model.run.worse = True
        model.run.stopped = model.time - begin


def _said(name: str, runs: list[Run]) -> str:
    stopped = sorted(run.stopped for run in runs if run.stopped is not None)
    middle = f"{stopped[len(stopped) // 2]:.0f} s" if stopped else "-"
    harmed = sorted(run.harmed for run in runs)[len(runs) // 2]
    over = sorted(run.over for run in runs)[len(runs) // 2]
    reached = max(run.reached for run in runs)
    return (
        f"{name:34} worse {sum(run.worse for run in runs):3} of {len(runs)}, stopped after {middle}, "
        f"over after {over:.0f} s, harmed {harmed:.0f} requests, run by {reached} at most, "
        f"asked {sum(run.held for run in runs)}"
    )


def _play(task: tuple[int, Way, bool, str]) -> Run:
    return play(*task)


def figures(identical: int, each: int, workers: int) -> Iterator[str]:
    """False alarms in so many identical releases at quiet and at busy load, and each kind of worse
    version.
    """
    with ProcessPoolExecutor(workers) as pool:
        for busy in (False, True):
            way, load = Way("no worse"), "busy" if busy else "quiet"
            runs = list(pool.map(_play, [(seed, way, busy, "judged") for seed in range(identical)]))
            yield _said(f"no worse, {load}", runs)
        for way in WAYS:
            for policy in ("judged", "clock", "at once"):
                runs = list(pool.map(_play, [(seed, way, False, policy) for seed in range(each)]))
                yield _said(f"{way.name}, {policy}", runs)
        for slow in (1.05, 1.08, 1.11):
            runs = list(
                pool.map(_play, [(s, Way(f"{slow}", slow=slow), False, "judged") for s in range(each)])
            )
            found = Counter(run.worse for run in runs)
            yield f"{100 * (slow - 1):.0f}% slower: found in {found[True]} of {each}"
