"""Drains on real processes: routers and stand-ins of cache nodes, each with its agent, clients that ask all
the while, and a look from outside at who serves.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import threading
from collections import Counter
from functools import partial
from pathlib import Path

from ...agreement.operation import Change, Kind, Outcome
from ...fleet import ledger as book
from ...fleet.budget import Budget, Limit
from ...net.boottime import boottime
from ...net.loop import Loop
from ...net.quorum import over
from ..experiment import read as read_experiment
from ..live import configuration
from . import claims, drain_claims, history
from .claims import Broken
from .discovery import Discovery
from .files import Drill
from .history import Answered, AnyEvent, Came, Injected, Ordered, Stood, Told
from .plan import Fault
from .processes import FIRST_PORT
from .rig import STAND_INS, START, DrillFailed, Played, Rig
from .stand_ins import moment
from .watched import Watched

ZONES = ("east", "west")
ROUTERS = Limit(most=2, zone_most=1, share=1.0, zone_share=1.0, stay=1)
BUDGET = Budget(routers=ROUTERS, caches=ROUTERS, unasked=1)
GROUP = "drill"
LOOK = 0.1  # seconds between two looks at a member
SEEN = 0.5  # a fault shows within so long
LATE = 0.75 + 0.1  # after all have been told; the second part for this rig's own look
UNHEARD = 0.5  # seconds: a connection that is closed at once, and not one that waits in vain
DYING = 20.0  # seconds in which one that is said to die may go over the budget
KNOWN = 6.0  # seconds in which one that is taken on again is known to be in
BACK_IN = 35.0  # within so long, without faults, all is back
BEAT, SILENT = 0.8, 4.0
WARM_IN, COLD_FROM = (
    4.0,
    0.12,
)  # seconds, as the routers' settings have it; the part of its capacity at a start
RATE = 60.0  # requests a second of the client
CACHE = "rosepick.lab.drill.cache_node"
EXPERIMENT = """
name = "drains"
mode = "through"
zones = ["east", "west"]
[[fleet]]
warm_after = 4
cold_from = 0.12
[[classes]]
name = "read"
[[tenants]]
name = "drill"
"""


class Eye(threading.Thread):
    """Looks at all members from outside, over their own doors, and writes down who goes and who comes."""

    def __init__(self, rig: DrainRig) -> None:
        super().__init__(daemon=True)
        self.rig, self.over = rig, False
        self.up: dict[str, bool] = {}
        self.events: list[Stood] = []

    def run(self) -> None:
        """Look, until it is over."""
        pause = threading.Event()
        while not self.over:
            for name in self.rig.members:
                self._look(name)
            pause.wait(LOOK / 2)

    def _look(self, name: str) -> None:
        up = self.rig.serves(name)
        if up == self.up.get(name):
            return
        first = name not in self.up
        self.up[name] = up
        now = moment()
        fault = now - self.rig.killed.get(name, -1e9) < SEEN + LOOK
        by = "" if up else "start" if first else "fault" if fault else "program"
        kind, zone = self.rig.members[name]
        free = now < self.rig.dying.get(name, 0.0)
        called = "routers" if kind == "router" else "caches"
        self.events.append(Stood(name, now, called, zone, up, by, free))


class DrainRig(Rig):
    """One drill of drains. Agents are the `workers` of the plan's faults."""

    may_be_out = BUDGET
    rate = RATE

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        self.members: dict[str, tuple[str, str]] = {}
        self.doors: dict[str, tuple[str, int]] = {}
        self.listens: dict[str, tuple[str, int]] = {}
        self.killed: dict[str, float] = {}
        self.killed_at: dict[str, list[float]] = {}  # by a router's address
        self.dying: dict[str, float] = {}  # members that go out over the budget, until when
        super().__init__(drill, seed, folder)
        self.orders = random.Random(seed * 13 + 5)
        self.crew = self._client_on(self.loop)
        self.eye = Eye(self)
        self.ordering = False
        self._last_told: dict[str, float] = {}

    # -- what there is

    def _lay_out(self) -> None:
        super()._lay_out()
        for name in (*self.workers, "resource"):
            del self.processes[name]
        half = self._routers()
        port = FIRST_PORT + 1000
        for number, name in enumerate(self.workers):
            self.members[name] = "router" if number < half else "cache", ZONES[number % len(ZONES)]
            self.listens[name], self.doors[name] = (self.host, port), (self.host, port + 1)
            port += 2
        nodes = {
            n: (f"{self.host}:{self.listens[n][1]}", zone)
            for n, (kind, zone) in self.members.items()
            if kind == "cache"
        }
        routers = [n for n, (kind, _) in self.members.items() if kind == "router"]
        watches = {name: port + 1 + number for number, name in enumerate(routers)}
        self.discovery = Discovery(self.loop, self.host, port, nodes, watches)
        for number, name in enumerate(self.workers):
            self._agent(name, number, watches.get(name, 0))
        places = ",".join(f"{self.host}:{self.listens[n][1]}" for n in routers)
        self._add("client", STAND_INS, ["client", "client.events", places, str(self.rate), str(self.seed)])

    def _routers(self) -> int:
        """How many of the members are routers."""
        return (len(self.workers) + 1) // 2

    def _command(self, kind: str, name: str) -> tuple[list[str], list[str]]:
        """What starts a member, and what else its agent is given."""
        if kind == "router":
            return [sys.executable, "-m", "rosepick", "serve"], []
        places = self.listens[name][1], self.doors[name][1], self.discovery.port
        ends = [f"{self.host}:{port}" for port in places]
        return [sys.executable, "-m", CACHE, name, *ends, f"{name}.came.events"], []

    def _agent(self, name: str, number: int, watch: int) -> None:
        kind, zone = self.members[name]
        folder = self.folder / f"{name}.d"
        folder.mkdir()
        if kind == "router":
            self._router_file(name, number, watch)
        command, more = self._command(kind, name)
        door = f"{self.host}:{self.doors[name][1]}"
        given = [
            "agent",
            "run",
            name,
            "--folder",
            f"{name}.d",
            "--zone",
            zone,
            "--door",
            door,
            "--kind",
            kind,
            *more,
        ]
        self._add(name, "rosepick", [*given, "--fleet", f"{name}.toml", "--", *command])
        self.processes[name].noted = True
        self.processes[name].more["GW_CONFIG"] = str(self.folder / f"{name}.json")
        with (self.folder / f"{name}.toml").open("a", encoding="utf-8") as file:
            file.write(self._drains())

    def _drains(self) -> str:
        limit = "most = 2\nzone_most = 1\nshare = 1.0\nzone_share = 1.0\nstay = 1\n"
        times = f"beat = {BEAT}\nsilent = {SILENT}\nlonely = 5.0\nsteady = 1.0\n"
        head = f'[drains]\ngroup = "{GROUP}"\nunasked = 1\n{times}'
        return f"{head}[drains.routers]\n{limit}[drains.caches]\n{limit}"

    def _router_file(self, name: str, number: int, watch: int) -> None:
        experiment = read_experiment(EXPERIMENT, "drains")
        listen = f"{self.host}:{self.listens[name][1]}"
        known = {"rev": 0, "all": True, "targets": []}
        told = configuration.document(
            experiment, name, listen, f"{self.host}:{watch}", known, position=number
        )
        told["ops"] = f"{self.host}:{self.doors[name][1]}"
        (self.folder / f"{name}.json").write_text(json.dumps(told), "utf-8")

    def serves(self, name: str) -> bool:
        """Whether a member serves, by asking it."""
        kind, _ = self.members[name]
        end, line = (
            (self.listens[name], b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            if kind == "router"
            else (self.doors[name], b"telemetry\n")
        )
        with contextlib.suppress(OSError), socket.create_connection(end, 0.3) as sock:
            sock.settimeout(0.5)
            sock.sendall(line)
            first = sock.recv(4096)
            if kind == "router":
                return first.startswith(b"HTTP/1.1 200")
            return b'"draining":false' in first and b'"warm":true' in first
        return False

    # -- playing

    def _start(self) -> None:
        self._begin_quorum()
        for name in self.workers:
            self.processes[name].start()
        self.eye.start()
        if not self._until(
            lambda: len(self.eye.up) == len(self.members) and all(self.eye.up.values()), 2.0 * START
        ):
            down = [name for name in self.members if not self.eye.up.get(name)]
            raise DrillFailed(f"{', '.join(down)} did not come up")
        self.processes["client"].start()
        self._until(lambda: False, 2.0)

    def play(self) -> Played:
        """The whole drill."""
        try:
            self._start()
            begin = moment()
            plan = self._plan()
            for number, fault in enumerate(plan.faults):
                self.loop.after(1000.0 * fault.at, partial(self._inject, number, fault))
            self.ordering = True
            self._order()
            self._note_told()
            self._until(lambda: False, plan.until)
            self.ordering = False
            self._calm()
            self._until(lambda: False, 4.0)
            self._all_in()
            back = self._until(self._all_are_in, BACK_IN)
            self._until(lambda: False, 1.0)
            last = self._ledger()
        finally:
            self.eye.over = True
            self._stop()
        return self._judged(begin, back, last)

    def _judged(self, begin: float, back: bool, last: book.Ledger | None) -> Played:
        events: list[AnyEvent] = history.read([*self.folder.glob("*.events")])
        events = sorted([*events, *self.events, *self.eye.events], key=lambda event: event.at)
        verdict = claims.judge(events)
        bounds = drain_claims.Bounds(self.may_be_out, SILENT + BEAT + 6.5, 4.0 + 2.0 * LOOK)
        at_door = {f"{host}:{port}": name for name, (host, port) in self.listens.items()}
        for broken, counts in (
            drain_claims.judge(events, bounds),
            requests(events, self.killed_at, at_door),
            cold_starts(events),
            self._more_claims(events),
        ):
            verdict.broken += broken
            verdict.counts += counts
        verdict.counts += self.counts
        for link in self.links.values():
            verdict.counts.update({f"messages {what}": count for what, count in link.counts.items()})
        if not back:
            verdict.broken.append(
                Broken("ends", f"not all is back {BACK_IN:.0f} s after the last fault: {_left(last)}")
            )
        verdict.broken += self._too_little(verdict)
        self.figures["seconds"] = moment() - begin
        return Played(verdict, events, self.folder, self.seed, self.figures)

    def _more_claims(self, events: list[AnyEvent]) -> tuple[list[Broken], Counter[str]]:
        """Claims of what else is played."""
        return [], Counter()

    # -- faults and orders

    def _member(self, number: int, fault: Fault) -> None:
        name = fault.target[0]
        with contextlib.suppress(OSError, ValueError, KeyError):
            told = json.loads((self.folder / f"{name}.d" / "agent.json").read_text("utf-8"))
            self.killed[name] = moment()
            self.killed_at.setdefault(f"{self.listens[name][0]}:{self.listens[name][1]}", []).append(moment())
            os.kill(int(told["pid"]), signal.SIGKILL)

    def _host(self, number: int, fault: Fault) -> None:
        """Its agent is killed first, so that nobody starts it."""
        self._kill(number, fault)
        self._member(number, fault)

    def _client_on(self, loop: Loop) -> Watched:
        endpoints = {name: (self.host, port) for name, port in self.ports.items()}
        return Watched(
            "crew", self.events.append, moment, loop, over(loop, endpoints, b""), random.Random(self.seed)
        )

    def _say(self, what: str, change: Change, names: tuple[str, ...] = ()) -> None:
        def done(outcome: Outcome) -> None:
            if outcome.kind is Kind.DONE or (outcome.kind is Kind.READ and what == "halt"):
                self.events.append(Ordered("crew", moment(), what, names))

        self.crew.run(book.key(GROUP), change, done, 3_000.0)

    def _order(self) -> None:
        if not self.ordering:
            return
        rng, now = self.orders, boottime()
        names = rng.sample(self.workers, rng.choice((1, 1, 2, 3, len(self.workers))))
        draw = rng.random()
        if draw < 0.55:
            self._say("out", book.want_out(names, rng.choice("ab"), "patch", now), tuple(names))
        elif draw < 0.68:
            self._say("in", book.want_in(names, rng.choice("ab"), now), tuple(names))
        elif draw < 0.71:
            self._say("halt", book.halt("crew", "drill", now))
        elif draw < 0.73:
            self.dying[names[0]] = moment() + DYING
            self._say("now", book.want_out(names[:1], "a", "it dies", now, now=True), tuple(names[:1]))
        elif draw < 0.75:
            self._off(names[0])
        else:
            self._lift_halt()
        self.loop.after(1000.0 * rng.uniform(0.3, 1.3), self._order)

    def _off(self, name: str) -> None:
        """It is written off, and taken on again a while later."""
        self.events.append(Ordered("crew", moment(), "off", (name,)))
        self._say("written off", book.write_off(name, "a", "drill", boottime()), (name,))
        self.loop.after(4_000.0, lambda: self._on(name))

    def _on(self, name: str) -> None:
        def done(outcome: Outcome) -> None:
            if outcome.kind in (Kind.FAILED, Kind.UNKNOWN):
                self._on(name)
            else:
                back = Ordered("crew", moment(), "on", (name,))
                self.loop.after(1000.0 * KNOWN, lambda: self.events.append(back))

        self.crew.run(book.key(GROUP), book.take_on(name, "a", boottime()), done, 3_000.0)

    def _lift_halt(self) -> None:
        self.events.append(Ordered("crew", moment(), "resume"))

        def done(outcome: Outcome) -> None:
            if outcome.kind in (Kind.DONE, Kind.UNKNOWN):  # it may be taken after a later halt
                self.events.append(Ordered("crew", moment(), "resume"))

        self.crew.run(book.key(GROUP), book.resume("crew", "drill", boottime()), done, 3_000.0)

    def _note_told(self) -> None:
        """When the last router that runs was told that a node drains."""
        routers = [
            name for name, (kind, _) in self.members.items() if kind == "router" and self.eye.up.get(name)
        ]
        for node, (kind, _) in self.members.items():
            row = self.discovery.rows.get(node)
            if kind != "cache" or row is None or row[1] != "leaving":
                self._last_told.pop(node, None)
                continue
            told = [self.discovery.told.get((router, node)) for router in routers]
            if node not in self._last_told and all(one is not None and one[1] == "leaving" for one in told):
                self._last_told[node] = moment()
                self.events.append(Told(node, moment()))
        self.loop.after(30.0, self._note_told)

    # -- the end

    def _calm(self) -> None:
        self._heal_all()
        for process in self.processes.values():
            process.resume()
            process.start()

    def _all_in(self) -> None:
        self.crew.run(
            book.key(GROUP), book.want_in(self.workers, "crew", boottime()), lambda outcome: None, 3_000.0
        )

    def _ledger(self) -> book.Ledger | None:
        found: list[Outcome] = []
        self.crew.run(book.key(GROUP), None, found.append, 3_000.0)
        self._until(lambda: bool(found), 4.0)
        return book.read(found[0].register) if found and found[0].kind is Kind.READ else None

    def _all_are_in(self) -> bool:
        if not all(self.eye.up.values()):
            return False
        ledger = self._ledger()
        if ledger is None or any(one.at or one.permit for one in ledger.members.values()):
            return False
        if any(one.want for one in ledger.members.values()):
            self._all_in()
            return False
        return len(ledger.members) == len(self.members)

    def _stop(self) -> None:
        self.processes["client"].kill()  # before its routers: what it asks for is to be answered
        for name in self.members:
            with contextlib.suppress(OSError, ValueError):
                told = json.loads((self.folder / f"{name}.d" / "agent.json").read_text("utf-8"))
                self.processes[name].kill()
                os.kill(int(told["pid"]), signal.SIGKILL)
        self.discovery.close()
        self.crew.close()
        super()._stop()


def _left(ledger: book.Ledger | None) -> str:
    if ledger is None:
        return "the ledger cannot be read"
    found = [
        f"{n} {book.At(m.at).name.lower()}" for n, m in ledger.members.items() if m.at or m.want or m.lost
    ]
    return ", ".join(found) or "all are in by the ledger"


def requests(
    events: list[AnyEvent], killed: dict[str, list[float]], at_door: dict[str, str] | None = None
) -> tuple[list[Broken], Counter[str]]:
    """No request is lost, but those in hand of a router that the drill killed; and a cache node gets
    nothing new later than 750 ms after all routers that run were told that it drains.

    `at_door`: routers by their addresses. A new connection that meets the very end of a router which was told
    to end, and is closed unheard, counts as refused, as on the operators' page; beyond one request in 200 it
    is lost.
    """
    counts: Counter[str] = Counter()
    broken, shut = list[Broken](), list[Broken]()
    told: dict[str, float] = {}
    ending: set[str] = set()
    for event in events:
        if isinstance(event, Stood):
            (ending.add if not event.up and event.by == "program" else ending.discard)(event.process)
            if event.up:
                told.pop(event.process, None)
        elif isinstance(event, Answered):
            counts[f"answers {event.status}"] += 1
            struck = any(event.begin - 0.1 <= at <= event.at + 0.1 for at in killed.get(event.router, ()))
            if event.status == 0 and not struck:
                text = f"a request to {event.router} was never answered"
                unheard = event.at - event.begin < UNHEARD and (at_door or {}).get(event.router) in ending
                (shut if unheard else broken).append(Broken("requests", text, (event,)))
        elif isinstance(event, Told):
            told[event.process] = event.at
        elif isinstance(event, Came):
            counts["sends"] += 1
            since = told.get(event.process)
            if event.draining and since is not None and event.at - since > LATE:
                late = f"{event.at - since:.2f} s after all had been told that it drains"
                text = f"{event.process} got a request {late}"
                broken.append(Broken("sends", text, (event,)))
    counts["doors closed unheard"] = len(shut)
    asked = sum(count for name, count in counts.items() if name.startswith("answers"))
    return broken + (shut if 200 * len(shut) > asked else []), counts


def cold_starts(events: list[AnyEvent]) -> tuple[list[Broken], Counter[str]]:
    """A cache node that starts again gets, in each second, no more than N + 3 x root of N + 3 requests, N
    being the part of its warm neighbours' mean that it may have then, as well as that is known.
    """
    came: dict[str, list[float]] = {}
    starts: list[tuple[float, str]] = []
    for event in events:
        if isinstance(event, Came):
            came.setdefault(event.process, []).append(event.at)
        elif isinstance(event, Injected) and event.fault == "cold start":
            starts.append((event.at, event.process))
    broken = []
    for at, node in starts:
        cold = {other for when, other in starts if at - WARM_IN < when < at + WARM_IN}
        for second in range(int(WARM_IN)):
            got = _between(came.get(node, []), at + second)
            # one that is out itself gets nothing, and says nothing of what a warm one gets
            others = [
                _between(times, at + second)
                for other, times in came.items()
                if other not in cold and all(_between(times, at + second + off) for off in (-1.0, 0.0, 1.0))
            ]
            part = COLD_FROM + (1.0 - COLD_FROM) * (second + 1) / WARM_IN
            allowed = part * sum(others) / max(1, len(others))
            # what neighbours got is counted too, and known no better than their number allows
            spread = (allowed * (1.0 + part / max(1, len(others)))) ** 0.5
            if others and got > allowed + 3.0 * spread + 3.0:
                text = f"{node} got {got} requests, second {second + 1} of a start; its part is {allowed:.1f}"
                broken.append(Broken("cold", text))
    return broken, Counter({"cold starts": len(starts)})


def _between(times: list[float], since: float) -> int:
    return sum(since <= at < since + 1.0 for at in times)


def play(drill: Drill, seed: int, folder: Path) -> Played:
    """One seed, in a folder that is emptied first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return DrainRig(drill, seed, folder).play()
