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

from ...consensus.proposer import OperationOutcome
from ...coordination.quorum_client import tcp_connections
from ...leases import lease_record
from ...net.boot_clock import boottime_s
from ...net.event_loop import EventLoop
from ...net.resource_budget import ResourceBudget
from ..log_terms import line_has_event
from . import history, invariants
from .drill_file import Drill
from .fault_plan import QUORUM_CHANGING_FAULTS, Fault, FaultPlan
from .forwarder import Forwarder, LinkFaults
from .history import AnyEvent, FaultInjected
from .instrumented_client import InstrumentedQuorumClient
from .invariants import InvariantReport, Violation
from .processes import (
    FIRST_PORT,
    ManagedProcess,
    copy_storage,
    empty_storage,
    restore_storage,
    starter_command,
    unique_loopback_address,
)
from .stand_ins import drill_clock

START_TIMEOUT_S = 30.0  # seconds until all witnesses answer: a machine may be busy
RESTART_ANNOUNCE_S = 2.2  # seconds in which a start becomes known to the others: they meet each second
LOG_CONTEXT_S = 1.0  # seconds of logs around a broken claim
STAND_INS_MODULE = "rosepick.lab.drill.stand_ins"


class DrillRunError(Exception):
    """The drill could not be played; nothing is said of the program by it."""


@dataclass(slots=True)
class DrillRun:
    """What came of a drill."""

    verdict: InvariantReport
    events: list[AnyEvent]
    folder: Path
    seed: int
    figures: dict[str, float] = field(default_factory=dict)


class LeaseHarness:
    """One drill, in a folder of its own."""

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        self.drill, self.seed, self.folder = drill, seed, folder
        self.rng = random.Random(seed)
        self.loop = EventLoop()
        self.host = unique_loopback_address()
        self.budget = ResourceBudget(1 << 20)
        self.counts: Counter[str] = Counter()
        self.figures: dict[str, float] = {}
        self.events: list[AnyEvent] = []
        many = drill.processes
        self.witnesses = [f"w{n}" for n in range(1, many.witnesses + 2)]
        self.spare = self.witnesses[-1]  # runs, and is to come in for another
        self._joining_replica: str | None = None
        self._join_command_sent = False  # the last command was to bring it in
        self.workers = [f"c{n}" for n in range(many.workers)]
        self.runners = [f"r{n}" for n in range(many.runners)]
        self.tasks = [f"t{n}" for n in range(many.tasks)]
        self.processes: dict[str, ManagedProcess] = {}
        self.links: dict[tuple[str, str], Forwarder] = {}
        self.broken: list[Violation] = []
        self._deferred_checks: list[Callable[[], None]] = []  # to be looked at when all is over
        self._operator_command: subprocess.Popen[bytes] | None = None
        # a task, its holder's death, who, until when
        self._takeover: tuple[str, float, int, float] | None = None
        self._storage_fault_replica: str | None = None
        self._build_topology()

    # -- what there is

    def _build_topology(self) -> None:
        callers = [*self.workers, *self.runners, *self.witnesses]
        names = [(one, to) for one in callers for to in self.witnesses if one != to]
        ports = range(FIRST_PORT, FIRST_PORT + len(self.witnesses) + len(names) + 1)
        self.ports = dict(zip(self.witnesses, ports, strict=False))
        self.resource_port = ports[-1]
        for (one, to), port in zip(names, ports[len(self.witnesses) : -1], strict=True):
            rng = random.Random(self.rng.getrandbits(64))
            self.links[one, to] = Forwarder(self.loop, self.budget, self.host, port, self.ports[to], rng)
        for name in [*callers, "operator", "all"]:
            self._write_fleet_file(name)
        for name in self.witnesses:
            self._add_process(
                name, "rosepick", ["witness", "run", name, "--folder", f"{name}.d", "--fleet", f"{name}.toml"]
            )
        for name in self.workers:
            given = ["worker", name, f"{name}.toml", f"{name}.events", f"{self.host}:{self.resource_port}"]
            given += [",".join(self.tasks), str(self.seed)]
            self._add_process(name, STAND_INS_MODULE, given)
        for name in self.runners:
            hand = [
                sys.executable,
                "-m",
                STAND_INS_MODULE,
                "hand",
                name,
                f"{name}.events",
                f"{self.host}:{self.resource_port}",
            ]
            options = ["--fleet", f"{name}.toml", "--name", "r"]  # all of one name
            self._add_process(
                name, "rosepick", ["lease", "run", self.rng.choice(self.tasks), *options, "--", *hand]
            )
            self.processes[name].records_operations = True
        self._add_process(
            "resource",
            STAND_INS_MODULE,
            ["resource", "resource.events", f"{self.host}:{self.resource_port}", "resource.d"],
        )

    def _add_process(self, name: str, module: str, arguments: list[str]) -> None:
        off = self.drill.processes.rate
        rate = 1.0 + self.rng.choice((-off, off, self.rng.uniform(-off, off)))
        self.processes[name] = ManagedProcess(name, self.folder, rate, module, arguments)

    def _write_fleet_file(self, name: str) -> None:
        """Each process has a file of its own, in which the witnesses' addresses are those of its links."""
        leases = self.drill.leases
        ports = {to: self.ports[to] for to in self.witnesses if name != "operator" or to != self.spare}
        ports |= {to: link.port for (one, to), link in self.links.items() if one == name}
        lines = ["[witnesses]", *(f'{to} = "{self.host}:{port}"' for to, port in ports.items())]
        lines += ["[leases]", f"ttl = {leases.ttl}", f"drift = {leases.drift}", ""]
        (self.folder / f"{name}.toml").write_text("\n".join(lines), "utf-8")

    def _start_operator_command(self, *arguments: str) -> subprocess.Popen[bytes]:
        """A command as an operator gives it."""
        given = [*arguments, "--fleet", "operator.toml"]
        command, environment = starter_command(1.0, "rosepick", given, "operator")
        with (self.folder / "operator.log").open("ab") as log:
            return subprocess.Popen(
                command, stdout=log, stderr=log, cwd=self.folder, stdin=subprocess.DEVNULL, env=environment
            )

    def _run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        end = drill_clock() + timeout_s
        while not condition() and drill_clock() < end:
            self.loop.step(0.02)
        return condition()

    # -- playing

    def run(self) -> DrillRun:
        """The whole drill."""
        try:
            self._start_processes()
            begin = drill_clock()
            plan = self._draw_fault_plan()
            for number, fault in enumerate(plan.faults):
                self.loop.call_after(1000.0 * fault.at, partial(self._inject, number, fault))
            self._restart_ended_runners()
            self._replace_lost_replicas()
            self._run_until(lambda: False, plan.ends_at)
            self._stop_faults()
            calm = drill_clock()
            self._run_until(lambda: False, self.drill.faults.quiet + 2.0 * self.drill.leases.ttl)
            self._kill_lease_holder()
            self._read_all_registers()
        finally:
            self._stop_processes()
        events = history.read_events([*self.folder.glob("*.events")])
        events = sorted([*events, *self.events], key=lambda event: event.at)
        verdict = invariants.check_invariants(events)
        verdict.violations += self._check_final_state(events, calm)
        verdict.counts += self.counts
        for link in self.links.values():
            verdict.counts.update({f"messages {what}": count for what, count in link.counts.items()})
        verdict.violations += self._check_minimum_counts(verdict)
        self.figures["seconds"] = drill_clock() - begin
        return DrillRun(verdict, events, self.folder, self.seed, self.figures)

    def _draw_fault_plan(self) -> FaultPlan:
        faults, leases = self.drill.faults, self.drill.leases
        rng = random.Random(self.seed * 7 + 1)
        plan = FaultPlan.draw(
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

    def _bootstrap_quorum(self) -> None:
        """Witnesses run, and are a quorum."""
        for name in self.witnesses:
            self.processes[name].start()
        for name in self.witnesses:
            if not self._run_until(partial(self._has_logged, name, "replica_started"), START_TIMEOUT_S):
                raise DrillRunError(f"{name} did not start: see {self.processes[name].log_path}")
        found = self._start_operator_command("witness", "found")
        if not self._run_until(lambda: found.poll() is not None, START_TIMEOUT_S) or found.returncode:
            raise DrillRunError(f"the quorum was not founded: see {self.folder / 'operator.log'}")
        shutil.copy(self.folder / "all.toml", self.folder / "operator.toml")

    def _start_processes(self) -> None:
        self.processes["resource"].start()
        self._bootstrap_quorum()
        for name in [*self.workers, *self.runners]:
            self.processes[name].start()
        if not self._run_until(
            lambda: any(self._has_logged(name, "lease_held") for name in self.workers), START_TIMEOUT_S
        ):
            raise DrillRunError("nobody took a lease")

    def _has_logged(self, name: str, event: str, offset: int = 0) -> bool:
        """Whether a process has logged an event, behind so many bytes of its log."""
        path = self.processes[name].log_path
        if not path.exists():
            return False
        lines = path.read_bytes()[offset:].decode("utf-8", "replace").splitlines()
        return any(line_has_event(line, event) for line in lines)

    def _restart_ended_runners(self) -> None:
        """A command that has ended is started again after a while."""
        for name in self.runners:
            process = self.processes[name]
            if not process.running and not process.stopped:
                process.start()
        self.loop.call_after(500.0, self._restart_ended_runners)

    def _replace_lost_replicas(self) -> None:
        """The operator, who brings new storages into the quorum."""
        waiting = [name for name in self.witnesses if name != self.spare and self._has_new_storage(name)]
        if self._joining_replica is not None:
            waiting = [self._joining_replica]
            if (
                self._operator_command is not None
                and self._operator_command.poll() == 0
                and self._join_command_sent
            ):
                self._joining_replica, waiting, self._join_command_sent = None, [], False
        if waiting and not self._is_operator_busy():
            self._operator_command = self._start_operator_command("witness", "replace", waiting[0])
            self._join_command_sent = waiting[0] == self._joining_replica
            self.counts["operator replaced"] += 1
        self.loop.call_after(400.0, self._replace_lost_replicas)

    def _swap(self, number: int, fault: Fault) -> None:
        """A living witness is taken out of the quorum, and the spare one comes in."""
        out = fault.target[0]
        if out == self.spare:
            return
        command = self._operator_command = self._start_operator_command("witness", "remove", out)

        def then(left: int = 120) -> None:
            if command.poll() is None and left:
                self.loop.call_after(100.0, lambda: then(left - 1))
            elif command.returncode == 0:
                self.counts["swaps"] += 1
                self._joining_replica, self.spare = self.spare, out

        then()

    def _is_operator_busy(self) -> bool:
        return self._operator_command is not None and self._operator_command.poll() is None

    def _has_new_storage(self, name: str) -> bool:
        """Whether a witness runs with a storage that has never been in the quorum, by its log."""
        path = self.processes[name].log_path
        lines = path.read_text("utf-8", "replace").splitlines() if path.exists() else []
        for line in reversed(lines):
            if line_has_event(line, "replica_voting") or line_has_event(line, "replica_epoch_installed"):
                return False
            if line_has_event(line, "replica_storage_outdated"):
                return self.processes[name].running
            if line_has_event(line, "replica_started"):
                return " epoch=0 " in line and self.processes[name].running
        return False

    # -- faults

    def _record_fault(self, kind: str, target: str, detail: str = "") -> None:
        self.events.append(FaultInjected(target, drill_clock(), kind, detail))

    def _inject(self, number: int, fault: Fault) -> None:
        if self._storage_fault_replica is not None and not set(fault.target) <= {
            *self.workers,
            *self.runners,
            *self.tasks,
        }:
            self.counts["faults put off"] += 1
            return
        members = [name for name in self.witnesses if name != self.spare]
        if fault.kind in QUORUM_CHANGING_FAULTS and (
            self._is_operator_busy()
            or self._joining_replica is not None
            or any(map(self._has_new_storage, members))
        ):
            self.counts["faults put off"] += 1  # a majority of storages has to live
            return
        self.counts[f"fault {fault.kind}"] += 1
        self._record_fault(fault.kind, "-".join(fault.target), f"{fault.length:.2f} s")
        getattr(self, "_" + fault.kind.replace(" ", "_"))(number, fault)

    def _kill(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self.processes[name].kill()
            self.loop.call_after(1000.0 * fault.length, self.processes[name].start)

    _restart_all = _kill

    def _pause(self, number: int, fault: Fault) -> None:
        process = self.processes[fault.target[0]]
        process.pause()
        self.loop.call_after(1000.0 * fault.length, process.resume)

    def _force(self, number: int, fault: Fault) -> None:
        self._start_operator_command(
            "lease", "release", fault.target[0], "--force", "--why", "a fault of the drill"
        )

    def _empty(self, number: int, fault: Fault) -> None:
        name = fault.target[0]
        self.processes[name].kill()
        empty_storage(self.folder / f"{name}.d")
        self.loop.call_after(1000.0 * fault.length, self.processes[name].start)

    def _two_empty(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self._empty(number, replace(fault, target=(name,)))

    def _copied(self, number: int, fault: Fault) -> None:
        """A copy is put in the place of the file, which is another file then."""
        name = fault.target[0]
        folder, old = self.folder / f"{name}.d", self.folder / f"{name}.old"
        self.processes[name].kill()
        copy_storage(folder, old)
        restore_storage(old, folder, in_place=False)
        self.loop.call_after(1000.0 * fault.length, self.processes[name].start)
        self._expect_log_line(
            name, "replica_storage_copied", "a copied folder was taken for the witness's own"
        )

    def _older(self, number: int, fault: Fault) -> None:
        """An older copy is put back into the very file, after a start that the others have heard of."""
        name = fault.target[0]
        self._storage_fault_replica = name
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
        self._isolate_replicas(fault, others[:half], 1000.0 * RESTART_ANNOUNCE_S)

        def back() -> None:
            self.processes[name].kill()
            restore_storage(old, folder, in_place=True)
            self._isolate_replicas(fault, others[half:], 3000.0)
            self.processes[name].start()
            self._expect_log_line(
                name, "replica_storage_outdated", "an older copy of a folder was taken for the witness's own"
            )
            self.loop.call_after(4000.0, self._finish_storage_fault)

        self._run_once_true(
            partial(self._has_voted_since, name, self.processes[name].log_path.stat().st_size), back
        )

    def _isolate_replicas(self, fault: Fault, names: list[str], length: float) -> None:
        """Some witnesses cannot be reached by those who ask; they can by each other."""
        links = [link for (one, to), link in self.links.items() if to in names and one not in self.witnesses]
        self._apply_link_faults(0, replace(fault, length=length / 1000.0), links, there=True, back=True)

    def _has_voted_since(self, name: str, offset: int) -> bool:
        return self._has_logged(name, "replica_voting", offset)

    def _run_once_true(
        self, condition: Callable[[], bool], callback: Callable[[], None], attempts_left: int = 100
    ) -> None:
        """Once something is so, and a little later, so that all have heard of it."""
        if condition():
            self.loop.call_after(1000.0 * RESTART_ANNOUNCE_S, callback)
        elif attempts_left:
            self.loop.call_after(100.0, lambda: self._run_once_true(condition, callback, attempts_left - 1))
        else:
            self._finish_storage_fault()

    def _finish_storage_fault(self) -> None:
        self._storage_fault_replica = None

    def _expect_log_line(self, name: str, event: str, violation: str) -> None:
        """Something has to be in a log in time; a broken claim, if it is not."""
        since = self.processes[name].log_path.stat().st_size

        def look() -> None:
            if not self._has_logged(name, event, since):
                self.broken.append(Violation("storage", f"{name}: {violation}"))

        self._deferred_checks.append(look)

    def _full(self, number: int, fault: Fault) -> None:
        """Its files take nothing more: it has to end without another word."""
        name = fault.target[0]
        process = self.processes[name]
        if not process.running:
            return
        before = len(process.exit_statuses)
        process.simulate_full_disk()

        def look() -> None:
            if process.running:
                process.kill()  # nothing was written meanwhile: paused, or cut off
                self.counts["full disks unnoticed"] += 1
            elif process.exit_statuses[before:] and process.exit_statuses[-1] == 3:
                self.counts["full disks noticed"] += 1
            process.start()

        self.loop.call_after(1000.0 * max(fault.length, 0.5), look)

    def _links_between(self, first: str, second: str) -> Iterator[tuple[Forwarder, bool]]:
        """Links between two processes, and whether the first of them is the one that calls."""
        for ends, calls in (((first, second), True), ((second, first), False)):
            if ends in self.links:
                yield self.links[ends], calls

    def _links_of(self, name: str) -> Iterator[tuple[Forwarder, bool]]:
        for (one, to), link in self.links.items():
            if name in (one, to):
                yield link, one == name

    def _apply_link_faults(self, number: int, fault: Fault, links: list[Forwarder], **harm: object) -> None:
        for link in links:
            for name, value in harm.items():
                setattr(link.faults, name, value)

        def heal() -> None:
            for link in links:
                for name in harm:
                    setattr(link.faults, name, getattr(LinkFaults(), name))

        self.loop.call_after(1000.0 * fault.length, heal)

    def _cut(self, number: int, fault: Fault) -> None:
        self._apply_link_faults(
            number, fault, [link for link, _ in self._links_between(*fault.target)], there=True, back=True
        )

    def _cut_one_way(self, number: int, fault: Fault) -> None:
        to_first = self.rng.random() < 0.5
        for link, calls in self._links_between(*fault.target):
            self._apply_link_faults(number, fault, [link], **{"back" if calls is to_first else "there": True})

    def _part(self, number: int, fault: Fault) -> None:
        self._apply_link_faults(
            number, fault, [link for link, _ in self._links_of(fault.target[0])], there=True, back=True
        )

    def _split(self, number: int, fault: Fault) -> None:
        side = set(fault.target)
        links = [link for (one, to), link in self.links.items() if (one in side) != (to in side)]
        self._apply_link_faults(number, fault, links, there=True, back=True)

    _minority = _split

    def _deaf(self, number: int, fault: Fault) -> None:
        self._apply_link_faults(
            number, fault, [link for link, calls in self._links_of(fault.target[0]) if calls], back=True
        )

    def _refuse(self, number: int, fault: Fault) -> None:
        for link, _ in self._links_between(*fault.target):
            link.refuse()
            self.loop.call_after(1000.0 * fault.length, link.open)

    def _half_open(self, number: int, fault: Fault) -> None:
        for link, _ in self._links_between(*fault.target):
            link.freeze()

    def _slow(self, number: int, fault: Fault) -> None:
        links = [link for link, _ in self._links_between(*fault.target)]
        self._apply_link_faults(number, fault, links, delay=1000.0 * fault.amount)

    def _trickle(self, number: int, fault: Fault) -> None:
        self._apply_link_faults(
            number, fault, [link for link, _ in self._links_between(*fault.target)], trickle=fault.amount
        )

    def _double(self, number: int, fault: Fault) -> None:
        self._apply_link_faults(
            number, fault, [link for link, _ in self._links_of(fault.target[0])], double=fault.amount
        )

    def _disorder(self, number: int, fault: Fault) -> None:
        self._apply_link_faults(
            number, fault, [link for link, _ in self._links_of(fault.target[0])], disorder=fault.amount
        )

    def _lose(self, number: int, fault: Fault) -> None:
        self._apply_link_faults(
            number, fault, [link for link, _ in self._links_of(fault.target[0])], lose=fault.amount
        )

    def _heal_all(self) -> None:
        for link in self.links.values():
            link.faults = LinkFaults()
            link.open()

    # -- the end

    def _stop_faults(self) -> None:
        """No faults from here on."""
        self._heal_all()
        for name, process in self.processes.items():
            process.resume()
            if name not in self.runners:
                process.start()

    def _create_client(self) -> InstrumentedQuorumClient:
        loop = EventLoop(boottime_s)
        rng = random.Random(self.rng.getrandbits(64))
        endpoints = {name: (self.host, port) for name, port in self.ports.items()}
        return InstrumentedQuorumClient(
            "rig", self.events.append, drill_clock, loop, tcp_connections(loop, endpoints, b""), rng
        )

    def _read_lease_record(self, client: InstrumentedQuorumClient, task: str) -> lease_record.LeaseRecord:
        outcomes: list[OperationOutcome] = []
        client.execute(lease_record.register_key(task), None, outcomes.append, 4000.0)
        end = drill_clock() + 6.0
        while not outcomes and drill_clock() < end:
            client.loop.step(0.01)  # type: ignore[attr-defined]
            self.loop.step(0.0)
        return lease_record.decode_record(outcomes[0].register) if outcomes else lease_record.LeaseRecord()

    def _kill_lease_holder(self) -> None:
        """One holder dies for good: the others take its task up."""
        client = self._create_client()
        for task in self.tasks:
            now = self._read_lease_record(client, task)
            if now.is_held and now.owner_name in self.workers:
                self.processes[now.owner_name].kill()
                self._takeover = (
                    task,
                    drill_clock(),
                    now.owner_id,
                    1.1 * self.drill.leases.ttl + 1.0 + 0.15 * len(now.queue),
                )
                self._record_fault("kill", now.owner_name, "for good")
                break
        client.close()
        if self._takeover is not None:
            self._run_until(lambda: False, self._takeover[3] + 1.0)

    def _read_all_registers(self) -> None:
        """What is there at the end is read, and judged like any reading: nothing acknowledged is lost."""
        client = self._create_client()
        for task in self.tasks:
            self._read_lease_record(client, task)
        client.close()

    def _check_final_state(self, events: list[AnyEvent], faults_stopped_at: float) -> list[Violation]:
        ttl, broken = self.drill.leases.ttl, []
        for task in self.tasks:
            # who stood in line and is gone has its time too before the next one takes it
            within = 1.1 * ttl + 1.0 + 0.15 * len(self.processes) + self.drill.faults.quiet
            broken += invariants.check_takeover(events, task, faults_stopped_at, within)
        if self._takeover is not None:
            task, since, who, within = self._takeover
            broken += invariants.check_takeover(events, task, since, within, who)
            self.counts["takeovers"] += 1
        for look in self._deferred_checks:
            look()
        return broken + self.broken

    def _check_minimum_counts(self, verdict: InvariantReport) -> list[Violation]:
        return [
            Violation("shows nothing", f"{name}: {verdict.counts[name]}, at least {least} are wanted")
            for name, least in self.drill.least.items()
            if verdict.counts[name] < least
        ]

    def _stop_processes(self) -> None:
        for process in self.processes.values():
            process.resume()
            process.kill()
        if self._operator_command is not None:
            self._operator_command.kill()
            self._operator_command.wait()
        for link in self.links.values():
            link.close()
        self.loop.close()


def log_lines_around(played: DrillRun, moments: list[float]) -> list[str]:
    """Lines of each process's log around some moments of the drill's clock."""
    offset = time.time() - drill_clock()
    found = []
    for path in sorted(played.folder.glob("*.log")):
        for line in path.read_text("utf-8", "replace").splitlines():
            stamp = line.split(" ", 1)[0].removeprefix("time=")
            with contextlib.suppress(ValueError):
                at = time.mktime(time.strptime(stamp[:19], "%Y-%m-%dT%H:%M:%S")) - time.timezone
                at += float(stamp[19:23]) - offset
                if any(abs(at - one) <= LOG_CONTEXT_S for one in moments):
                    found.append(f"{at:10.4f} {path.stem:8} {line}")
    return sorted(found)


def run_drill(drill: Drill, seed: int, folder: Path) -> DrillRun:
    """One seed, in a folder that is emptied first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return LeaseHarness(drill, seed, folder).run()
