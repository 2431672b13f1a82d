"""A drill in one process: the same machines and the same drivers on a simulated net, disk and clock.

Each process has a clock of its own, which goes at its own rate; the drill's clock is the one that judges.
Everything is drawn from one seed, so a seed is a history.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Mapping
from copy import deepcopy
from dataclasses import dataclass, field
from functools import partial

from ...agreement import messages as m
from ...agreement.messages import Member, Quorum
from ...agreement.witness import Changes, Saved, Witness
from ...leases import record
from ...leases.contender import Terms, Where
from ...leases.guard import Guard
from ...net.leasing import Keeper
from ...net.loop import Timer
from ...net.witness import MEET_EVERY, MEET_SOON, PATIENCE
from . import claims
from .claims import Broken, Verdict
from .history import AnyEvent, Effect, Injected, Moved, Yes
from .plan import STORAGE, Fault, Plan
from .watched import Watched


@dataclass(frozen=True, slots=True)
class Shape:
    """A simulated drill. Times in seconds; `rate`: clocks go faster or slower by up to this part."""

    witnesses: int = 5
    contenders: int = 5
    tasks: int = 1
    seconds: float = 16.0
    ttl: float = 2.0
    drift: float = 0.1
    rate: float = 0.095
    each: float = 0.45  # between two faults
    work: float = 0.06  # between two steps of work
    delay: tuple[float, float] = (0.0004, 0.004)
    kinds: tuple[str, ...] = ()  # of faults; all, if none is named


class Tokens:
    """A guard's tokens in memory."""

    def __init__(self) -> None:
        self._kept: dict[str, int] = {}

    def highest(self, task: str) -> int:
        """The highest token taken."""
        return self._kept.get(task, 0)

    def keep(self, task: str, token: int) -> None:
        """Keep a higher one."""
        self._kept[task] = token


class Process:
    """What is simulated of a process: its life, its pauses, its clock."""

    def __init__(self, world: World, name: str, rate: float) -> None:
        self.world, self.name, self.rate = world, name, rate
        self.life = 0  # which start it is; what was for another is lost
        self.up = False
        self.paused_until = 0.0
        self._base = world.rng.uniform(0.0, 1e7)

    def now(self) -> float:
        """Milliseconds of its own clock."""
        return self._base + self.world.now * 1000.0 * self.rate

    def at(self, when: float, call: Callable[[], None]) -> Timer:
        """Call at a time of its own clock."""
        timer = Timer(call)
        moment = self.world.now + max(0.0, when - self.now()) / (1000.0 * self.rate)
        self.world.call(moment, self, partial(self._ring, timer))
        return timer

    def after(self, delay: float, call: Callable[[], None]) -> Timer:
        """Call after so many milliseconds of its own clock."""
        return self.at(self.now() + delay, call)

    @staticmethod
    def _ring(timer: Timer) -> None:
        if timer.call is not None:
            timer.call()

    def start(self) -> None:
        """Begin anew."""
        self.life += 1
        self.up, self.paused_until = True, 0.0

    def kill(self) -> None:
        """Stop at once."""
        self.life += 1
        self.up = False


class SimWitness(Process):
    """A witness with a disk: what it has kept when it is killed is all there is at its next start."""

    def __init__(self, world: World, name: str, rate: float) -> None:
        super().__init__(world, name, rate)
        self.disk: Saved | None = None
        self.machine: Witness | None = None
        self._numbers = 0
        self._began = 0.0
        self._written = 0.0  # when the disk will have what was last given to it

    def start(self) -> None:
        super().start()
        disk = self.disk or Saved(self.world.word(), starts=0)
        disk.starts += 1
        self.disk = disk
        self.machine = Witness(self.name, deepcopy(disk), self.world.word())
        self._began = self.now()
        self._meet()
        self.after(PATIENCE, partial(self._settle, False))

    def _settle(self, patient: bool) -> None:
        assert self.machine is not None
        self.machine.settle(patient)

    def _meet(self) -> None:
        assert self.machine is not None
        self._numbers += 1
        greeting = self.machine.greeting(self._numbers)
        if greeting is not None:
            for other in self.world.witnesses.values():
                if other is not self:
                    self.world.ask(self, other, greeting, self._met)
        self.after(MEET_EVERY if self.machine.votes else MEET_SOON, self._meet)

    def _met(self, name: str, answer: m.Answer) -> None:
        assert self.machine is not None
        if isinstance(answer, m.Remembered):
            changes = self.machine.remembered(answer, self.now() - self._began < PATIENCE)
            if changes:
                self._keep(changes)
            if self.machine.stranger:
                self.world.note(Injected(self.name, self.world.now, "found older"))
                self.kill()
                self.disk = None
                self.start()

    def take(self, request: m.Request, back: Callable[[m.Answer], None]) -> None:
        """A request has come: answer it when what it rests on is kept."""
        assert self.machine is not None
        answer, changes = self.machine.handle(request)
        if changes:
            answer = deepcopy(answer) if isinstance(answer, m.Sealed) else answer
            self._written = max(self._written, self.world.now) + self.world.rng.uniform(0.0003, 0.002)
        # as the driver does: in order, and an answer that rests on what is on its way to the disk waits for
        # it
        moment = max(self._written, self.world.now)
        self.world.call(moment, self, partial(self._kept, changes, answer, back))

    def _kept(self, changes: Changes, answer: m.Answer, back: Callable[[m.Answer], None]) -> None:
        if changes:
            self._keep(changes)
        back(answer)

    def _keep(self, changes: Changes) -> None:
        assert self.disk is not None and self.machine is not None
        now = self.machine.saved
        if changes.epoch:
            self.disk.quorum, self.disk.slots = now.quorum, dict(now.slots)
        if changes.epoch or changes.seal:
            self.disk.sealed = now.sealed
        if not changes.epoch:
            self.disk.slots |= changes.slots
        self.disk.met |= changes.met


class SimLink:
    """A way to a witness of the simulated net."""

    def __init__(self, process: Process, witness: SimWitness, heard: Callable[[str, m.Answer], None]) -> None:
        self._process, self._witness, self._heard = process, witness, heard

    def ask(self, request: m.Request) -> None:
        """Send it."""
        self._process.world.ask(self._process, self._witness, request, self._heard)

    def close(self) -> None:
        """Nothing is held."""


class SimContender(Process):
    """A process that wants leases, works while it may, and gives them back from time to time."""

    def __init__(self, world: World, name: str, rate: float, tasks: list[str]) -> None:
        super().__init__(world, name, rate)
        self.tasks = tasks
        self.client: Watched | None = None
        self.keepers: dict[str, Keeper] = {}

    def start(self) -> None:
        super().start()
        world = self.world

        def links(heard: Callable[[str, m.Answer], None]) -> Mapping[str, SimLink]:
            return {name: SimLink(self, witness, heard) for name, witness in world.witnesses.items()}

        rng = random.Random(world.rng.getrandbits(64))
        self.client = Watched(self.name, world.note, lambda: world.now, self, links, rng)
        for task in self.tasks:
            self._contend(task)
            self._work(task)

    def kill(self) -> None:
        super().kill()
        self.note_open()

    def note_open(self) -> None:
        """Changes that have begun and whose end this process will not see."""
        if self.client is not None:
            for operation in self.client.open.values():
                self.world.note(operation)
            self.client.open.clear()

    def _contend(self, task: str) -> None:
        world, shape = self.world, self.world.shape
        assert self.client is not None
        terms = Terms(shape.ttl * 1000.0, shape.drift)

        def told(what: str) -> None:
            keeper = self.keepers.get(task)
            if keeper is None or what == "doubt":
                return
            contender = keeper.contender
            world.note(Moved(self.name, world.now, task, contender.token, contender.who, what))
            if contender.where in (Where.LOST, Where.ENDED):
                self.after(1000.0 * world.rng.uniform(0.1, 0.5) * shape.ttl, partial(self._contend, task))
            elif contender.where is Where.HOLDS:
                stay = 1000.0 * world.rng.choice((0.6, 2.0, 20.0)) * shape.ttl * world.rng.random()
                self.after(stay, partial(self._leave, keeper))

        self.keepers[task] = Keeper(self.client, task, self.name, terms, told)

    def _leave(self, keeper: Keeper) -> None:
        if keeper.contender.where is Where.HOLDS:
            others = list(self.world.contenders)
            keeper.release(self.world.rng.choice(others) if self.world.rng.random() < 0.2 else "")

    def _work(self, task: str) -> None:
        world, keeper = self.world, self.keepers[task]
        contender = keeper.contender
        if keeper.may_act():
            world.note(Yes(self.name, world.now, world.now, task, contender.token, contender.who))
            # a step may be long between the question and the deed: then only the guard is there
            late = world.shape.ttl * world.rng.uniform(1.0, 2.5) if world.rng.random() < 0.01 else 0.0
            world.call(
                world.now + late + world.rng.uniform(0.0, 0.004),
                None,
                partial(world.deed, self.name, task, contender.token, contender.who),
            )
        self.after(1000.0 * world.shape.work * world.rng.uniform(0.5, 1.5), partial(self._work, task))


@dataclass(slots=True)
class Net:
    """Faults of the net that are in force, each with its number so that it can be taken out again."""

    cut: dict[int, frozenset[tuple[str, str]]] = field(
        default_factory=dict
    )  # from whom to whom nothing comes
    slow: dict[int, tuple[frozenset[str], float]] = field(default_factory=dict)
    lose: dict[int, tuple[str, float]] = field(default_factory=dict)
    double: dict[int, tuple[str, float]] = field(default_factory=dict)
    disorder: dict[int, tuple[str, float]] = field(default_factory=dict)


class World:
    """All processes, the net between them, and what happens next."""

    def __init__(self, shape: Shape, seed: int, faults: Plan | None = None) -> None:
        self.shape, self.seed = shape, seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[AnyEvent] = []
        self.net = Net()
        self.guard = Guard(Tokens())
        self.injected: dict[str, int] = {}
        self._heap: list[tuple[float, int, Process | None, int, Callable[[], None]]] = []
        self._count = 0
        self._quiet_until = 0.0  # no faults of witnesses and nets while an older copy is put back
        tasks = [f"t{n}" for n in range(shape.tasks)]
        self.tasks = tasks
        rates = [1.0 - shape.rate, 1.0 + shape.rate]

        def rate() -> float:
            return self.rng.choice((*rates, self.rng.uniform(*rates)))

        names = [f"w{n}" for n in range(shape.witnesses + 1)]  # the last one is to come in for another
        self.witnesses = {name: SimWitness(self, name, rate()) for name in names}
        self.contenders = {f"c{n}": self._contender(f"c{n}", rate()) for n in range(shape.contenders)}
        self.operator = SimContender(self, "operator", 1.0, [])
        plan_rng = random.Random(seed * 7 + 1)
        self.plan = faults or Plan.drawn(
            plan_rng,
            list(self.witnesses),
            list(self.contenders),
            tasks,
            shape.seconds,
            shape.ttl,
            shape.each,
            shape.kinds,
        )

    def _contender(self, name: str, rate: float) -> SimContender:
        return SimContender(self, name, rate, self.tasks)

    def word(self) -> str:
        """An identity."""
        return f"{self.rng.getrandbits(64):016x}"

    def note(self, event: AnyEvent) -> None:
        """Write down what happened."""
        self.events.append(event)

    def call(self, moment: float, process: Process | None, call: Callable[[], None]) -> None:
        """Call at a moment of the drill's clock, if that start of the process still lives."""
        self._count += 1
        life = process.life if process is not None else 0
        heapq.heappush(self._heap, (moment, self._count, process, life, call))

    def deed(self, name: str, task: str, token: int, who: int) -> None:
        """A step of work reaches what is acted on."""
        self.note(Effect(name, self.now, task, token, who, self.guard.takes(task, token)))

    # -- the net

    def ask(
        self, source: Process, witness: SimWitness, request: m.Request, heard: Callable[[str, m.Answer], None]
    ) -> None:
        """A request on its way, and its answer on its way back."""
        back_life = source.life

        def answered(answer: m.Answer) -> None:
            def come() -> None:
                if source.life == back_life and source.up:
                    heard(witness.name, answer)

            self._carry(witness.name, source.name, come, source)

        def come() -> None:
            if witness.up:
                witness.take(request, answered)

        self._carry(source.name, witness.name, come, witness)

    def _carry(self, source: str, target: str, come: Callable[[], None], process: Process) -> None:
        net, rng = self.net, self.rng
        ends = (source, target)
        delay = rng.uniform(*self.shape.delay)
        if net.cut and any(ends in cut for cut in net.cut.values()):
            return
        if net.lose and any(name in ends and rng.random() < part for name, part in net.lose.values()):
            return
        if net.slow:
            delay += sum(more for link, more in net.slow.values() if link == frozenset(ends))
        if net.disorder and any(name in ends and rng.random() < part for name, part in net.disorder.values()):
            delay += rng.uniform(0.0, 0.6 * self.shape.ttl)
        self.call(self.now + delay, process, come)
        if net.double and any(name in ends and rng.random() < part for name, part in net.double.values()):
            self.call(self.now + delay + rng.uniform(0.0, self.shape.ttl), process, come)

    # -- faults

    def _inject(self, number: int, fault: Fault) -> None:
        storage = fault.kind in ("older", "copied")
        if not storage and self.now < self._quiet_until and fault.target[0] not in self.contenders:
            return
        if fault.kind in STORAGE and not self._settled():
            return  # a majority of storages has to live
        self.injected[fault.kind] = self.injected.get(fault.kind, 0) + 1
        self.note(Injected("-".join(fault.target), self.now, fault.kind, f"{fault.length:.2f} s"))
        handler = getattr(self, "_" + fault.kind.replace(" ", "_"))
        handler(number, fault)

    def _settled(self) -> bool:
        """Whether all witnesses have the storages, and the epoch, of the newest quorum there is."""
        quorums = [one.disk.quorum for one in self.witnesses.values() if one.disk and one.disk.quorum]
        newest = max(quorums, key=lambda one: one.epoch)
        disks = [(one, self.witnesses[one.name].disk) for one in newest.members]
        return all(
            disk is not None and disk.quorum == newest and disk.storage == one.storage for one, disk in disks
        )

    def _heal(self, number: int, fault: Fault) -> None:
        for table in (self.net.cut, self.net.slow, self.net.lose, self.net.double, self.net.disorder):
            table.pop(number, None)

    def _later(self, length: float, call: Callable[[], None]) -> None:
        self.call(self.now + length, None, call)

    def _process(self, name: str) -> Process:
        return self.witnesses.get(name) or self.contenders[name]

    def _revive(self, process: Process) -> None:
        if not process.up:
            process.start()

    def _kill(self, number: int, fault: Fault) -> None:
        process = self._process(fault.target[0])
        process.kill()
        self._later(fault.length, partial(self._revive, process))

    def _restart_all(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self._kill(number, Fault(fault.at, "kill", (name,), fault.length))

    def _pause(self, number: int, fault: Fault) -> None:
        self._process(fault.target[0]).paused_until = self.now + fault.length

    def _empty(self, number: int, fault: Fault) -> None:
        witness = self.witnesses[fault.target[0]]
        witness.disk = None
        self._kill(number, fault)

    def _two_empty(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self._empty(number, Fault(fault.at, "empty", (name,), fault.length))

    _copied = _empty  # a copy is told by its inode, and begins as an empty one does

    def _full(self, number: int, fault: Fault) -> None:
        # a disk that takes nothing ends the process; it comes back with what was kept
        self._kill(number, fault)

    def _older(self, number: int, fault: Fault) -> None:
        """A copy of the disk is made, the witness starts and works, and the copy is put back in its place."""
        witness = self.witnesses[fault.target[0]]
        self.net = Net()
        self._quiet_until = self.now + 9.0
        for other in self.witnesses.values():
            other.paused_until = 0.0
            self._revive(other)
        copy = deepcopy(witness.disk)
        witness.kill()
        witness.start()
        others = [name for name in self.witnesses if name != witness.name]
        self.rng.shuffle(others)
        half = len(others) // 2
        # its vote is needed now, and what was chosen by it is known to few: these are out of reach afterwards
        self._unreachable(number, others[:half], 4.0)

        def put_back() -> None:
            witness.kill()
            witness.disk = copy
            self._unreachable(-number - 1, others[half:], 2.5)
            witness.start()

        self._later(4.0, put_back)

    def _unreachable(self, number: int, names: list[str], length: float) -> None:
        """Some witnesses cannot be reached by those who ask; they can by each other."""
        callers = (*self.contenders, self.operator.name)
        fault = Fault(self.now, "cut", tuple(names), length)
        self._cut_all(number, fault, {pair for c in callers for w in names for pair in ((c, w), (w, c))})

    def _swap(self, number: int, fault: Fault) -> None:
        client = self.operator.client
        assert client is not None
        quorum = client.quorum
        if quorum is None or not self._settled():
            return
        (spare,) = set(self.witnesses) - {one.name for one in quorum.members}
        disk = self.witnesses[spare].disk
        if disk is not None and fault.target[0] != spare:
            new = Member(spare, disk.storage)
            members = tuple(new if one.name == fault.target[0] else one for one in quorum.members)
            client.follow(members, lambda succession: None)

    def _cut(self, number: int, fault: Fault) -> None:
        one, other = fault.target
        self._cut_all(number, fault, {(one, other), (other, one)})

    def _cut_one_way(self, number: int, fault: Fault) -> None:
        one, other = fault.target if self.rng.random() < 0.5 else fault.target[::-1]
        self._cut_all(number, fault, {(one, other)})

    def _part(self, number: int, fault: Fault) -> None:
        name = fault.target[0]
        self._cut_all(number, fault, {p for w in self.witnesses for p in ((name, w), (w, name))})

    def _deaf(self, number: int, fault: Fault) -> None:
        self._cut_all(number, fault, {(w, fault.target[0]) for w in self.witnesses})

    def _split(self, number: int, fault: Fault) -> None:
        side, names = set(fault.target), {*self.witnesses, *self.contenders}
        pairs = {(one, other) for one in side for other in names - side}
        self._cut_all(number, fault, pairs | {(other, one) for one, other in pairs})

    _minority = _split

    def _cut_all(self, number: int, fault: Fault, pairs: set[tuple[str, str]]) -> None:
        self.net.cut[number] = frozenset(pairs)
        self._later(fault.length, partial(self._heal, number, fault))

    _refuse = _half_open = _cut

    def _slow(self, number: int, fault: Fault) -> None:
        self.net.slow[number] = frozenset(fault.target), fault.amount if fault.amount < 1.0 else 0.3
        self._later(fault.length, partial(self._heal, number, fault))

    _trickle = _slow

    def _lose(self, number: int, fault: Fault) -> None:
        self.net.lose[number] = fault.target[0], fault.amount
        self._later(fault.length, partial(self._heal, number, fault))

    def _double(self, number: int, fault: Fault) -> None:
        self.net.double[number] = fault.target[0], fault.amount
        self._later(fault.length, partial(self._heal, number, fault))

    def _disorder(self, number: int, fault: Fault) -> None:
        self.net.disorder[number] = fault.target[0], fault.amount
        self._later(fault.length, partial(self._heal, number, fault))

    def _force(self, number: int, fault: Fault) -> None:
        client = self.operator.client
        assert client is not None
        client.run(
            record.key(fault.target[0]), record.force("drill", "a fault"), lambda outcome: None, 1500.0
        )

    # -- the operator, who brings new storages into the quorum

    def _look_after(self) -> None:
        client = self.operator.client
        assert client is not None
        client.learn()
        quorum = client.quorum
        if quorum is not None:
            for name, told in client.told.items():
                state = told.state
                lost = state.quorum is None and not quorum.has(name, state.storage)
                if lost and any(one.name == name for one in quorum.members):
                    members = tuple(
                        Member(name, state.storage) if one.name == name else one for one in quorum.members
                    )
                    client.follow(members, lambda succession: None)
                    break
        self.operator.after(700.0, self._look_after)

    def _found(self) -> None:
        members = []
        for witness in self.witnesses.values():
            witness.start()
            assert witness.disk is not None
            members.append(Member(witness.name, witness.disk.storage))
        members.pop()
        quorum = Quorum(self.word(), 1, tuple(members))
        for witness in self.witnesses.values():
            witness.take(m.Install(1, quorum, {}), lambda answer: None)

    # -- playing

    def play(self) -> Verdict:
        """The whole drill, and what is to be said of it."""
        self._found()
        self.call(0.1, None, self._begin)
        for number, fault in enumerate(self.plan.faults):
            self.call(0.5 + fault.at, None, partial(self._inject, number, fault))
        calm = 0.5 + self.plan.until + (6.0 if any(one.kind == "older" for one in self.plan.faults) else 0.0)
        self.call(calm, None, self._settle)
        end = calm + 2.0 * self.shape.ttl + 3.0
        self._run(end)
        for process in (self.operator, *self.contenders.values()):
            process.note_open()  # guards against a value that was read and whose change nobody knows
        verdict = claims.judge(self.events)
        verdict.broken += self._ending(calm, end)
        for kind, count in self.injected.items():
            verdict.counts[f"fault {kind}"] += count
        return verdict

    def _begin(self) -> None:
        self.operator.start()
        self._look_after()
        for contender in self.contenders.values():
            contender.start()

    def _settle(self) -> None:
        """No faults from here on."""
        self.net = Net()
        for process in (*self.witnesses.values(), *self.contenders.values()):
            process.paused_until = 0.0
            self._revive(process)

    def _run(self, end: float) -> None:
        while self._heap and self._heap[0][0] <= end:
            moment, count, process, life, call = heapq.heappop(self._heap)
            self.now = moment
            if process is None:
                call()
            elif process.life == life:
                if process.paused_until > moment:
                    heapq.heappush(self._heap, (process.paused_until, count, process, life, call))
                else:
                    call()

    def _ending(self, calm: float, end: float) -> list[Broken]:
        """Each task has a holder soon after the last fault."""
        within = self.shape.ttl * (1.0 + self.shape.drift) / (1.0 - self.shape.rate) + 3.0
        return [broken for task in self.tasks for broken in claims.taken_up(self.events, task, calm, within)]


def drill(shape: Shape, seed: int) -> Verdict:
    """One seed."""
    return World(shape, seed).play()
