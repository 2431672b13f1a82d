"""Processes of a drill that are not the program's own: who works under leases, and what is acted on.

    python -m rosepick.lab.drill.stand_ins worker NAME FLEET EVENTS PLACE TASK,TASK SEED
    python -m rosepick.lab.drill.stand_ins hand NAME EVENTS PLACE          (as the command of `rosepick lease
    run`) python -m rosepick.lab.drill.stand_ins resource EVENTS PLACE FOLDER

They write down what they see, each event at once, by the clock that all processes of a machine share.
"""

from __future__ import annotations

import os
import random
import socket
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec

from ... import logs
from ...leases.contender import Terms, Where
from ...leases.guard import Guard
from ...net.boottime import boottime
from ...net.leasing import Keeper
from ...net.loop import READ, Loop
from ...net.quorum import over
from ...net.store import Tokens
from ...settings import fleet_file
from .history import Answered, AnyEvent, Effect, Moved, Yes, line
from .watched import Watched

WORK = 0.015  # seconds between two steps of work
LATE = 0.01  # of the steps come long after their question, as if the process had been paused in between
_step: msgspec.json.Decoder[tuple[str, str, int, int]] = msgspec.json.Decoder(tuple[str, str, int, int])


def _place(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def moment() -> float:
    """Seconds by the drill's one clock."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class Notes:
    """A file of events; each is there when `note` returns, whatever happens to the process."""

    def __init__(self, path: str) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def note(self, event: AnyEvent) -> None:
        """Write it down."""
        os.write(self._file, line(event))


class Deeds:
    """Steps of work on their way to the resource; one may get lost."""

    def __init__(self, name: str, place: str) -> None:
        self._name, self._to = name, _place(place)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def do(self, task: str, token: int, who: int) -> None:
        """One step."""
        try:
            self._socket.sendto(msgspec.json.encode((self._name, task, token, who)), self._to)
        except OSError:
            return  # the resource is down: nothing was done


class Worker:
    """Wants leases, works while it may, gives them back from time to time."""

    def __init__(self, name: str, fleet: str, events: str, place: str, tasks: list[str], seed: int) -> None:
        told, key = fleet_file.load(Path(fleet))
        self.name, self.tasks = name, tasks
        self.rng = random.Random(f"{seed} {name} {os.getpid()} {moment()}")
        self.loop = Loop(boottime)
        self.notes = Notes(events)
        self.deeds = Deeds(name, place)
        self.terms = Terms(told.leases.ttl * 1000.0, told.leases.drift)
        links = over(self.loop, told.endpoints(), key)
        self.client = Watched(name, self.notes.note, moment, self.loop, links, self.rng)
        self.client.note_begins = True
        self.keepers: dict[str, Keeper] = {}
        for task in tasks:
            self._contend(task)
            self._work(task)

    def _contend(self, task: str) -> None:
        self.keepers[task] = Keeper(self.client, task, self.name, self.terms, partial(self._told, task))

    def _told(self, task: str, what: str) -> None:
        keeper = self.keepers.get(task)
        if keeper is None or what == "doubt":
            return
        contender, ttl = keeper.contender, self.terms.ttl
        self.notes.note(Moved(self.name, moment(), task, contender.token, contender.who, what))
        if contender.where in (Where.LOST, Where.ENDED):
            self.loop.after(ttl * self.rng.uniform(0.1, 0.5), partial(self._contend, task))
        elif contender.where is Where.HOLDS:
            stay = ttl * self.rng.choice((0.6, 2.0, 20.0)) * self.rng.random()
            self.loop.after(stay, partial(self._leave, keeper))

    def _leave(self, keeper: Keeper) -> None:
        if keeper.contender.where is Where.HOLDS:
            keeper.release(f"c{self.rng.randrange(8)}" if self.rng.random() < 0.2 else "")

    def _work(self, task: str) -> None:
        keeper, begin = self.keepers[task], moment()
        contender = keeper.contender
        if keeper.may_act():
            self.notes.note(Yes(self.name, moment(), begin, task, contender.token, contender.who))
            step = partial(self.deeds.do, task, contender.token, contender.who)
            if self.rng.random() < LATE:
                self.loop.after(self.terms.ttl * self.rng.uniform(1.0, 2.5), step)
            else:
                step()
        self.loop.after(1000.0 * WORK * self.rng.uniform(0.5, 1.5), partial(self._work, task))


def hand(name: str, events: str, place: str) -> None:
    """A command under `rosepick lease run`: it knows the token, and trusts the one that started it to end
    it.
    """
    notes, deeds = Notes(events), Deeds(name, place)
    task, token, who = os.environ["ROSEPICK_TASK"], int(os.environ["ROSEPICK_TOKEN"]), os.getpid()
    rng = random.Random(who)
    until = moment() + rng.uniform(0.2, 8.0)
    while moment() < until:
        now = moment()
        notes.note(Yes(name, now, now, task, token, who))
        deeds.do(task, token, who)
        time.sleep(WORK)


def client(events: str, places: str, rate: str, seed: str) -> None:
    """Asks routers at random, each request on a connection of its own, so many a second; where nobody
    listens it asks another one.
    """
    import threading

    notes, ends = Notes(events), [_place(text) for text in places.split(",")]
    threads = 6

    def ask(number: int) -> None:
        rng = random.Random(f"{seed} {number}")
        for count in range(1_000_000):
            time.sleep(rng.expovariate(float(rate) / threads))
            for place in rng.sample(ends, len(ends)):
                name, key = f"{seed}-{number}-{count}", int(200 * rng.random() ** 2)
                status, begin = _asked(place, name, key)
                if begin:
                    notes.note(Answered("client", moment(), begin, f"{place[0]}:{place[1]}", status))
                    break

    for number in range(threads):
        threading.Thread(target=ask, args=(number,), daemon=True).start()
    while True:
        time.sleep(1.0)


def _asked(place: tuple[str, int], name: str, key: int) -> tuple[int, float]:
    """The status, and when the request was written; 0 if nobody listened."""
    text = f"GET /k/{key} HTTP/1.1\r\nHost: r\r\nReq-Id: {name}\r\nReq-Kind: read\r\nReq-Deadline: 1.2\r\n"
    try:
        sock = socket.create_connection(place, 1.0)
    except OSError:
        return 0, 0.0
    begin = moment()
    try:
        sock.sendall(f"{text}Req-Owner: drill\r\nConnection: close\r\n\r\n".encode())
        sock.settimeout(1.7)
        first = sock.recv(65536)
        return int(first[9:12]) if first.startswith(b"HTTP/1.1 ") else 0, begin
    except OSError:
        return 0, begin
    finally:
        sock.close()


def resource(events: str, place: str, folder: str) -> None:
    """What is acted on: it asks its guard before each step, and keeps the highest token on its disk."""
    notes, guard = Notes(events), Guard(Tokens(Path(folder)))
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(_place(place))
    loop = Loop()

    def come(mask: int) -> None:
        step: tuple[str, str, int, int] = _step.decode(sock.recv(4096))
        name, task, token, who = step
        taken = guard.takes(task, token)
        notes.note(Effect(name, moment(), task, token, who, taken))

    loop.watch(sock, READ, come)
    loop.run()


def main() -> None:
    """Start one."""
    logs.set_up()
    kind, *given = sys.argv[1:]
    if kind == "worker":
        name, fleet, events, place, tasks, seed = given
        Worker(name, fleet, events, place, tasks.split(","), int(seed)).loop.run()
    kinds: dict[str, Callable[[], None]] = {
        "hand": lambda: hand(given[0], given[1], given[2]),
        "client": lambda: client(given[0], given[1], given[2], given[3]),
        "resource": lambda: resource(given[0], given[1], given[2]),
    }
    if kind in kinds:
        kinds[kind]()


if __name__ == "__main__":
    main()
