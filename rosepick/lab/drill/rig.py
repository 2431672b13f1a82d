"""A drill on real processes of the program, with a forwarder on every link to a witness, and its
judgement.
"""

from __future__ import annotations

import contextlib
import random
import shutil
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path

from ...agreement.operation import Outcome
from ...leases import record
from ...net.boottime import boottime
from ...net.budget import Budget
from ...net.loop import Loop
from ...net.quorum import over
from . import claims, history
from .claims import Broken, Verdict
from .files import Drill
from .forwarder import Forwarder, Harm
from .history import AnyEvent, Injected
from .plan import CHANGES, Fault, Plan
from .processes import FIRST_PORT, Process, copy_storage, empty_storage, own_host, put_back, started
from .stand_ins import moment
from .watched import Watched

START = 30.0  # seconds until all witnesses answer: a machine may be busy
HEARD = 2.2  # seconds in which a start becomes known to the others: they meet each second
AROUND = 1.0  # seconds of logs around a broken claim
STAND_INS = "rosepick.lab.drill.stand_ins"


class DrillFailed(Exception):
    """The drill could not be played; nothing is said of the program by it."""


@dataclass(slots=True)
class Played:
    """What came of a drill."""

    verdict: Verdict
    events: list[AnyEvent]
    folder: Path
    seed: int
    figures: dict[str, float] = field(default_factory=dict)


class Rig:
    """One drill, in a folder of its own."""

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        self.drill, self.seed, self.folder = drill, seed, folder
        self.rng = random.Random(seed)
        self.loop = Loop()
        self.host = own_host()
        self.budget = Budget(1 << 20)
        self.counts: Counter[str] = Counter()
        self.figures: dict[str, float] = {}
        self.events: list[AnyEvent] = []
        many = drill.processes
        self.witnesses = [f"w{n}" for n in range(1, many.witnesses + 2)]
        self.spare = self.witnesses[-1]  # runs, and is to come in for another
        self._comes_in: str | None = None
        self._came_in = False  # the last command was to bring it in
        self.workers = [f"c{n}" for n in range(many.workers)]
        self.runners = [f"r{n}" for n in range(many.runners)]
        self.tasks = [f"t{n}" for n in range(many.tasks)]
        self.processes: dict[str, Process] = {}
        self.links: dict[tuple[str, str], Forwarder] = {}
        self.broken: list[Broken] = []
        self._expected: list[Callable[[], None]] = []  # to be looked at when all is over
        self._operator: subprocess.Popen[bytes] | None = None
        self._takeover: tuple[str, float, int, float] | None = (
            None  # a task, its holder's death, who, until when
        )
        self._storage_busy: str | None = None
        self._lay_out()

    # -- what there is

    def _lay_out(self) -> None:
        callers = [*self.workers, *self.runners, *self.witnesses]
        names = [(one, to) for one in callers for to in self.witnesses if one != to]
        ports = range(FIRST_PORT, FIRST_PORT + len(self.witnesses) + len(names) + 1)
        self.ports = dict(zip(self.witnesses, ports, strict=False))
        self.resource_port = ports[-1]
        for (one, to), port in zip(names, ports[len(self.witnesses) : -1], strict=True):
            rng = random.Random(self.rng.getrandbits(64))
            self.links[one, to] = Forwarder(self.loop, self.budget, self.host, port, self.ports[to], rng)
        for name in [*callers, "operator", "all"]:
            self._write_fleet(name)
        for name in self.witnesses:
            self._add(
                name, "rosepick", ["witness", "run", name, "--folder", f"{name}.d", "--fleet", f"{name}.toml"]
            )
        for name in self.workers:
            given = ["worker", name, f"{name}.toml", f"{name}.events", f"{self.host}:{self.resource_port}"]
            given += [",".join(self.tasks), str(self.seed)]
            self._add(name, STAND_INS, given)
        for name in self.runners:
            hand = [
                sys.executable,
                "-m",
                STAND_INS,
                "hand",
                name,
                f"{name}.events",
                f"{self.host}:{self.resource_port}",
            ]
            options = ["--fleet", f"{name}.toml", "--name", "r"]  # all of one name
            self._add(name, "rosepick", ["lease", "run", self.rng.choice(self.tasks), *options, "--", *hand])
            self.processes[name].noted = True
        self._add(
            "resource",
            STAND_INS,
            ["resource", "resource.events", f"{self.host}:{self.resource_port}", "resource.d"],
        )

    def _add(self, name: str, module: str, arguments: list[str]) -> None:
        off = self.drill.processes.rate
        rate = 1.0 + self.rng.choice((-off, off, self.rng.uniform(-off, off)))
        self.processes[name] = Process(name, self.folder, rate, module, arguments)

    def _write_fleet(self, name: str) -> None:
        """Each process has a file of its own, in which the witnesses' addresses are those of its links."""
        leases = self.drill.leases
        ports = {to: self.ports[to] for to in self.witnesses if name != "operator" or to != self.spare}
        ports |= {to: link.port for (one, to), link in self.links.items() if one == name}
        lines = ["[witnesses]", *(f'{to} = "{self.host}:{port}"' for to, port in ports.items())]
        lines += ["[leases]", f"ttl = {leases.ttl}", f"drift = {leases.drift}", ""]
        (self.folder / f"{name}.toml").write_text("\n".join(lines), "utf-8")

    def _said(self, *arguments: str) -> subprocess.Popen[bytes]:
        """A command as an operator gives it."""
        given = [*arguments, "--fleet", "operator.toml"]
        command, environment = started(1.0, "rosepick", given, "operator")
        with (self.folder / "operator.log").open("ab") as log:
            return subprocess.Popen(
                command, stdout=log, stderr=log, cwd=self.folder, stdin=subprocess.DEVNULL, env=environment
            )

    def _until(self, found: Callable[[], bool], seconds: float) -> bool:
        end = moment() + seconds
        while not found() and moment() < end:
            self.loop.step(0.02)
        return found()

    # -- playing

    def play(self) -> Played:
        """The whole drill."""
        try:
            self._start()
            begin = moment()
            plan = self._plan()
            for number, fault in enumerate(plan.faults):
                self.loop.after(1000.0 * fault.at, partial(self._inject, number, fault))
            self._keep_up()
            self._look_after()
            self._until(lambda: False, plan.until)
            self._calm()
            calm = moment()
            self._until(lambda: False, self.drill.faults.quiet + 2.0 * self.drill.leases.ttl)
            self._kill_a_holder()
            self._read_all()
        finally:
            self._stop()
        events = history.read([*self.folder.glob("*.events")])
        events = sorted([*events, *self.events], key=lambda event: event.at)
        verdict = claims.judge(events)
        verdict.broken += self._ending(events, calm)
        verdict.counts += self.counts
        for link in self.links.values():
            verdict.counts.update({f"messages {what}": count for what, count in link.counts.items()})
        verdict.broken += self._too_little(verdict)
        self.figures["seconds"] = moment() - begin
        return Played(verdict, events, self.folder, self.seed, self.figures)

    def _plan(self) -> Plan:
        faults, leases = self.drill.faults, self.drill.leases
        rng = random.Random(self.seed * 7 + 1)
        plan = Plan.drawn(
            rng,
            self.witnesses,
            [*self.workers, *self.runners],
            self.tasks,
            faults.seconds,
            leases.ttl,
            faults.each,
            faults.kinds,
        )
        # a command under `lease run` goes on while the one that would end it stands still: only the guard is
        # there
        kept = [one for one in plan.faults if not (one.kind == "pause" and one.target[0] in self.runners)]
        return replace(plan, faults=kept)

    def _begin_quorum(self) -> None:
        """Witnesses run, and are a quorum."""
        for name in self.witnesses:
            self.processes[name].start()
        for name in self.witnesses:
            if not self._until(partial(self._logged, name, "event=witness_started"), START):
                raise DrillFailed(f"{name} did not start: see {self.processes[name].log}")
        found = self._said("witness", "found")
        if not self._until(lambda: found.poll() is not None, START) or found.returncode:
            raise DrillFailed(f"the quorum was not founded: see {self.folder / 'operator.log'}")
        shutil.copy(self.folder / "all.toml", self.folder / "operator.toml")

    def _start(self) -> None:
        self.processes["resource"].start()
        self._begin_quorum()
        for name in [*self.workers, *self.runners]:
            self.processes[name].start()
        if not self._until(lambda: any(self._logged(name, "lease_holds") for name in self.workers), START):
            raise DrillFailed("nobody took a lease")

    def _logged(self, name: str, text: str, since: int = 0) -> bool:
        path = self.processes[name].log
        return path.exists() and text.encode() in path.read_bytes()[since:]

    def _keep_up(self) -> None:
        """A command that has ended is started again after a while."""
        for name in self.runners:
            process = self.processes[name]
            if not process.up and not process.stopped:
                process.start()
        self.loop.after(500.0, self._keep_up)

    def _look_after(self) -> None:
        """The operator, who brings new storages into the quorum."""
        waiting = [name for name in self.witnesses if name != self.spare and self._is_new(name)]
        if self._comes_in is not None:
            waiting = [self._comes_in]
            if self._operator is not None and self._operator.poll() == 0 and self._came_in:
                self._comes_in, waiting, self._came_in = None, [], False
        if waiting and not self._operator_busy():
            self._operator = self._said("witness", "replace", waiting[0])
            self._came_in = waiting[0] == self._comes_in
            self.counts["operator replaced"] += 1
        self.loop.after(400.0, self._look_after)

    def _swap(self, number: int, fault: Fault) -> None:
        """A living witness is taken out of the quorum, and the spare one comes in."""
        out = fault.target[0]
        if out == self.spare:
            return
        command = self._operator = self._said("witness", "remove", out)

        def then(left: int = 120) -> None:
            if command.poll() is None and left:
                self.loop.after(100.0, lambda: then(left - 1))
            elif command.returncode == 0:
                self.counts["swaps"] += 1
                self._comes_in, self.spare = self.spare, out

        then()

    def _operator_busy(self) -> bool:
        return self._operator is not None and self._operator.poll() is None

    def _is_new(self, name: str) -> bool:
        """Whether a witness runs with a storage that has never been in the quorum, by its log."""
        path = self.processes[name].log
        lines = path.read_text("utf-8", "replace").splitlines() if path.exists() else []
        told = [line for line in lines if "event=witness_" in line]
        for line in reversed(told):
            if "event=witness_votes" in line or "event=witness_epoch" in line:
                return False
            if "event=witness_older" in line:
                return self.processes[name].up
            if "event=witness_started" in line:
                return " epoch=0 " in line and self.processes[name].up
        return False

    # -- faults

    def _note(self, kind: str, target: str, detail: str = "") -> None:
        self.events.append(Injected(target, moment(), kind, detail))

    def _inject(self, number: int, fault: Fault) -> None:
        if self._storage_busy is not None and not set(fault.target) <= {
            *self.workers,
            *self.runners,
            *self.tasks,
        }:
            self.counts["faults put off"] += 1
            return
        members = [name for name in self.witnesses if name != self.spare]
        if fault.kind in CHANGES and (
            self._operator_busy() or self._comes_in is not None or any(map(self._is_new, members))
        ):
            self.counts["faults put off"] += 1  # a majority of storages has to live
            return
        self.counts[f"fault {fault.kind}"] += 1
        self._note(fault.kind, "-".join(fault.target), f"{fault.length:.2f} s")
        getattr(self, "_" + fault.kind.replace(" ", "_"))(number, fault)

    def _kill(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self.processes[name].kill()
            self.loop.after(1000.0 * fault.length, self.processes[name].start)

    _restart_all = _kill

    def _pause(self, number: int, fault: Fault) -> None:
        process = self.processes[fault.target[0]]
        process.pause()
        self.loop.after(1000.0 * fault.length, process.resume)

    def _force(self, number: int, fault: Fault) -> None:
        self._said("lease", "release", fault.target[0], "--force", "--why", "a fault of the drill")

    def _empty(self, number: int, fault: Fault) -> None:
        name = fault.target[0]
        self.processes[name].kill()
        empty_storage(self.folder / f"{name}.d")
        self.loop.after(1000.0 * fault.length, self.processes[name].start)

    def _two_empty(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self._empty(number, replace(fault, target=(name,)))

    def _copied(self, number: int, fault: Fault) -> None:
        """A copy is put in the place of the file, which is another file then."""
        name = fault.target[0]
        folder, old = self.folder / f"{name}.d", self.folder / f"{name}.old"
        self.processes[name].kill()
        copy_storage(folder, old)
        put_back(old, folder, in_place=False)
        self.loop.after(1000.0 * fault.length, self.processes[name].start)
        self._expect(name, "event=witness_copied", "a copied folder was taken for the witness's own")

    def _older(self, number: int, fault: Fault) -> None:
        """An older copy is put back into the very file, after a start that the others have heard of."""
        name = fault.target[0]
        self._storage_busy = name
        self._heal_all()
        for other in self.witnesses:
            self.processes[other].resume()
            self.processes[other].start()
        folder, old = self.folder / f"{name}.d", self.folder / f"{name}.old"
        self.processes[name].kill()
        copy_storage(folder, old)
        self.processes[name].start()
        others = [other for other in self.witnesses if other not in (name, self.spare)]
        self.rng.shuffle(others)
        half = len(others) // 2
        # its vote is needed now, and what was chosen by it is known to few: these are out of reach afterwards
        self._unreachable(fault, others[:half], 1000.0 * HEARD)

        def back() -> None:
            self.processes[name].kill()
            put_back(old, folder, in_place=True)
            self._unreachable(fault, others[half:], 3000.0)
            self.processes[name].start()
            self._expect(
                name, "event=witness_older", "an older copy of a folder was taken for the witness's own"
            )
            self.loop.after(4000.0, self._storage_done)

        self._when(partial(self._logged_twice, name, self.processes[name].log.stat().st_size), back)

    def _unreachable(self, fault: Fault, names: list[str], length: float) -> None:
        """Some witnesses cannot be reached by those who ask; they can by each other."""
        links = [link for (one, to), link in self.links.items() if to in names and one not in self.witnesses]
        self._harm(0, replace(fault, length=length / 1000.0), links, there=True, back=True)

    def _logged_twice(self, name: str, since: int) -> bool:
        return self._logged(name, "event=witness_votes", since)

    def _when(self, found: Callable[[], bool], then: Callable[[], None], left: int = 100) -> None:
        """Once something is so, and a little later, so that all have heard of it."""
        if found():
            self.loop.after(1000.0 * HEARD, then)
        elif left:
            self.loop.after(100.0, lambda: self._when(found, then, left - 1))
        else:
            self._storage_done()

    def _storage_done(self) -> None:
        self._storage_busy = None

    def _expect(self, name: str, text: str, otherwise: str) -> None:
        """Something has to be in a log in time; a broken claim, if it is not."""
        since = self.processes[name].log.stat().st_size

        def look() -> None:
            if not self._logged(name, text, since):
                self.broken.append(Broken("storage", f"{name}: {otherwise}"))

        self._expected.append(look)

    def _full(self, number: int, fault: Fault) -> None:
        """Its files take nothing more: it has to end without another word."""
        name = fault.target[0]
        process = self.processes[name]
        if not process.up:
            return
        before = len(process.statuses)
        process.full_disk()

        def look() -> None:
            if process.up:
                process.kill()  # nothing was written meanwhile: paused, or cut off
                self.counts["full disks unnoticed"] += 1
            elif process.statuses[before:] and process.statuses[-1] == 3:
                self.counts["full disks noticed"] += 1
            process.start()

        self.loop.after(1000.0 * max(fault.length, 0.5), look)

    def _between(self, one: str, other: str) -> Iterator[tuple[Forwarder, bool]]:
        """Links between two processes, and whether the first of them is the one that calls."""
        for ends, calls in (((one, other), True), ((other, one), False)):
            if ends in self.links:
                yield self.links[ends], calls

    def _of(self, name: str) -> Iterator[tuple[Forwarder, bool]]:
        for (one, to), link in self.links.items():
            if name in (one, to):
                yield link, one == name

    def _harm(self, number: int, fault: Fault, links: list[Forwarder], **harm: object) -> None:
        for link in links:
            for name, value in harm.items():
                setattr(link.harm, name, value)

        def heal() -> None:
            for link in links:
                for name in harm:
                    setattr(link.harm, name, getattr(Harm(), name))

        self.loop.after(1000.0 * fault.length, heal)

    def _cut(self, number: int, fault: Fault) -> None:
        self._harm(number, fault, [link for link, _ in self._between(*fault.target)], there=True, back=True)

    def _cut_one_way(self, number: int, fault: Fault) -> None:
        to_first = self.rng.random() < 0.5
        for link, calls in self._between(*fault.target):
            self._harm(number, fault, [link], **{"back" if calls is to_first else "there": True})

    def _part(self, number: int, fault: Fault) -> None:
        self._harm(number, fault, [link for link, _ in self._of(fault.target[0])], there=True, back=True)

    def _split(self, number: int, fault: Fault) -> None:
        side = set(fault.target)
        links = [link for (one, to), link in self.links.items() if (one in side) != (to in side)]
        self._harm(number, fault, links, there=True, back=True)

    _minority = _split

    def _deaf(self, number: int, fault: Fault) -> None:
        self._harm(number, fault, [link for link, calls in self._of(fault.target[0]) if calls], back=True)

    def _refuse(self, number: int, fault: Fault) -> None:
        for link, _ in self._between(*fault.target):
            link.refuse()
            self.loop.after(1000.0 * fault.length, link.open)

    def _half_open(self, number: int, fault: Fault) -> None:
        for link, _ in self._between(*fault.target):
            link.freeze()

    def _slow(self, number: int, fault: Fault) -> None:
        links = [link for link, _ in self._between(*fault.target)]
        self._harm(number, fault, links, delay=1000.0 * fault.amount)

    def _trickle(self, number: int, fault: Fault) -> None:
        self._harm(number, fault, [link for link, _ in self._between(*fault.target)], trickle=fault.amount)

    def _double(self, number: int, fault: Fault) -> None:
        self._harm(number, fault, [link for link, _ in self._of(fault.target[0])], double=fault.amount)

    def _disorder(self, number: int, fault: Fault) -> None:
        self._harm(number, fault, [link for link, _ in self._of(fault.target[0])], disorder=fault.amount)

    def _lose(self, number: int, fault: Fault) -> None:
        self._harm(number, fault, [link for link, _ in self._of(fault.target[0])], lose=fault.amount)

    def _heal_all(self) -> None:
        for link in self.links.values():
            link.harm = Harm()
            link.open()

    # -- the end

    def _calm(self) -> None:
        """No faults from here on."""
        self._heal_all()
        for name, process in self.processes.items():
            process.resume()
            if name not in self.runners:
                process.start()

    def _client(self) -> Watched:
        loop = Loop(boottime)
        rng = random.Random(self.rng.getrandbits(64))
        endpoints = {name: (self.host, port) for name, port in self.ports.items()}
        return Watched("rig", self.events.append, moment, loop, over(loop, endpoints, b""), rng)

    def _asked(self, client: Watched, task: str) -> record.Record:
        outcomes: list[Outcome] = []
        client.run(record.key(task), None, outcomes.append, 4000.0)
        end = moment() + 6.0
        while not outcomes and moment() < end:
            client.loop.step(0.01)  # type: ignore[attr-defined]
            self.loop.step(0.0)
        return record.read(outcomes[0].register) if outcomes else record.Record()

    def _kill_a_holder(self) -> None:
        """One holder dies for good: the others take its task up."""
        client = self._client()
        for task in self.tasks:
            now = self._asked(client, task)
            if now.held and now.name in self.workers:
                self.processes[now.name].kill()
                self._takeover = (
                    task,
                    moment(),
                    now.who,
                    1.1 * self.drill.leases.ttl + 1.0 + 0.15 * len(now.line),
                )
                self._note("kill", now.name, "for good")
                break
        client.close()
        if self._takeover is not None:
            self._until(lambda: False, self._takeover[3] + 1.0)

    def _read_all(self) -> None:
        """What is there at the end is read, and judged like any reading: nothing acknowledged is lost."""
        client = self._client()
        for task in self.tasks:
            self._asked(client, task)
        client.close()

    def _ending(self, events: list[AnyEvent], calm: float) -> list[Broken]:
        ttl, broken = self.drill.leases.ttl, []
        for task in self.tasks:
            # who stood in line and is gone has its time too before the next one takes it
            within = 1.1 * ttl + 1.0 + 0.15 * len(self.processes) + self.drill.faults.quiet
            broken += claims.taken_up(events, task, calm, within)
        if self._takeover is not None:
            task, since, who, within = self._takeover
            broken += claims.taken_up(events, task, since, within, who)
            self.counts["takeovers"] += 1
        for look in self._expected:
            look()
        return broken + self.broken

    def _too_little(self, verdict: Verdict) -> list[Broken]:
        return [
            Broken("shows nothing", f"{name}: {verdict.counts[name]}, at least {least} are wanted")
            for name, least in self.drill.least.items()
            if verdict.counts[name] < least
        ]

    def _stop(self) -> None:
        for process in self.processes.values():
            process.resume()
            process.kill()
        if self._operator is not None:
            self._operator.kill()
            self._operator.wait()
        for link in self.links.values():
            link.close()
        self.loop.close()


def lines_around(played: Played, moments: list[float]) -> list[str]:
    """Lines of each process's log around some moments of the drill's clock."""
    offset = time.time() - moment()
    found = []
    for path in sorted(played.folder.glob("*.log")):
        for line in path.read_text("utf-8", "replace").splitlines():
            stamp = line.split(" ", 1)[0].removeprefix("time=")
            with contextlib.suppress(ValueError):
                at = time.mktime(time.strptime(stamp[:19], "%Y-%m-%dT%H:%M:%S")) - time.timezone
                at += float(stamp[19:23]) - offset
                if any(abs(at - one) <= AROUND for one in moments):
                    found.append(f"{at:10.4f} {path.stem:8} {line}")
    return sorted(found)


def play(drill: Drill, seed: int, folder: Path) -> Played:
    """One seed, in a folder that is emptied first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return Rig(drill, seed, folder).play()
