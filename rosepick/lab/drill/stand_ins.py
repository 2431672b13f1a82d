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
from ...coordination.acceptor_store import SqliteFencingTokenStore
from ...coordination.lease_holder import LeaseHolder
from ...coordination.quorum_client import tcp_connections
from ...leases.fencing import FencingGuard
from ...leases.lease_client import LeaseConfig, LeaseState
from ...net.boot_clock import boottime_s
from ...net.event_loop import READ, EventLoop
from ...settings import fleet_file
from .history import (
    AnyEvent,
    ClientRequestCompleted,
    GuardedEffect,
    LeaseCheckPassed,
    LeaseStateChanged,
    encode_line,
)
from .instrumented_client import InstrumentedQuorumClient

WORK_INTERVAL_S = 0.015  # seconds between two steps of work
# of the steps come long after their question, as if the process had been paused in between
DELAYED_STEP_SHARE = 0.01
_step_decoder: msgspec.json.Decoder[tuple[str, str, int, int]] = msgspec.json.Decoder(
    tuple[str, str, int, int]
)


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def drill_clock() -> float:
    """Seconds by the drill's one clock."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class EventLog:
    """A file of events; each is there when `append` returns, whatever happens to the process."""

    def __init__(self, path: str) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def append(self, event: AnyEvent) -> None:
        """Write it down."""
        os.write(self._file, encode_line(event))


class ResourceClient:
    """Steps of work on their way to the resource; one may get lost."""

    def __init__(self, name: str, address: str) -> None:
        self._name, self._address = name, _parse_address(address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def send_step(self, task: str, token: int, owner: int) -> None:
        """One step."""
        try:
            self._socket.sendto(msgspec.json.encode((self._name, task, token, owner)), self._address)
        except OSError:
            return  # the resource is down: nothing was done


class LeaseWorker:
    """Wants leases, works while it may, gives them back from time to time."""

    def __init__(
        self, name: str, fleet: str, events_path: str, resource_address: str, tasks: list[str], seed: int
    ) -> None:
        told, key = fleet_file.load(Path(fleet))
        self.name, self.tasks = name, tasks
        self.rng = random.Random(f"{seed} {name} {os.getpid()} {drill_clock()}")
        self.loop = EventLoop(boottime_s)
        self.event_log = EventLog(events_path)
        self.resource = ResourceClient(name, resource_address)
        self.lease_timeouts = LeaseConfig(told.leases.ttl * 1000.0, told.leases.drift)
        links = tcp_connections(self.loop, told.endpoints(), key)
        self.client = InstrumentedQuorumClient(
            name, self.event_log.append, drill_clock, self.loop, links, self.rng
        )
        self.client.records_operation_start = True
        self.lease_holders: dict[str, LeaseHolder] = {}
        for task in tasks:
            self._request_lease(task)
            self._work_step(task)

    def _request_lease(self, task: str) -> None:
        self.lease_holders[task] = LeaseHolder(
            self.client, task, self.name, self.lease_timeouts, partial(self._on_lease_change, task)
        )

    def _on_lease_change(self, task: str, change: str) -> None:
        keeper = self.lease_holders.get(task)
        if keeper is None or change == "doubt":
            return
        contender, ttl = keeper.lease_client, self.lease_timeouts.ttl_ms
        self.event_log.append(
            LeaseStateChanged(self.name, drill_clock(), task, contender.token, contender.owner_id, change)
        )
        if contender.state in (LeaseState.LOST, LeaseState.ENDED):
            self.loop.call_after(ttl * self.rng.uniform(0.1, 0.5), partial(self._request_lease, task))
        elif contender.state is LeaseState.HELD:
            stay = ttl * self.rng.choice((0.6, 2.0, 20.0)) * self.rng.random()
            self.loop.call_after(stay, partial(self._release_lease, keeper))

    def _release_lease(self, keeper: LeaseHolder) -> None:
        if keeper.lease_client.state is LeaseState.HELD:
            keeper.release(f"c{self.rng.randrange(8)}" if self.rng.random() < 0.2 else "")

    def _work_step(self, task: str) -> None:
        keeper, begin = self.lease_holders[task], drill_clock()
        contender = keeper.lease_client
        if keeper.may_act():
            self.event_log.append(
                LeaseCheckPassed(self.name, drill_clock(), begin, task, contender.token, contender.owner_id)
            )
            step = partial(self.resource.send_step, task, contender.token, contender.owner_id)
            if self.rng.random() < DELAYED_STEP_SHARE:
                self.loop.call_after(self.lease_timeouts.ttl_ms * self.rng.uniform(1.0, 2.5), step)
            else:
                step()
        self.loop.call_after(
            1000.0 * WORK_INTERVAL_S * self.rng.uniform(0.5, 1.5), partial(self._work_step, task)
        )


def run_leased_command(name: str, events: str, resource_address: str) -> None:
    """A command under `rosepick lease run`: it knows the token, and trusts the one that started it to end
    it.
    """
    notes, deeds = EventLog(events), ResourceClient(name, resource_address)
    task, token, who = os.environ["ROSEPICK_TASK"], int(os.environ["ROSEPICK_TOKEN"]), os.getpid()
    rng = random.Random(who)
    until = drill_clock() + rng.uniform(0.2, 8.0)
    while drill_clock() < until:
        now = drill_clock()
        notes.append(LeaseCheckPassed(name, now, now, task, token, who))
        deeds.send_step(task, token, who)
        time.sleep(WORK_INTERVAL_S)


def run_request_client(events: str, router_addresses: str, rate: str, seed: str) -> None:
    """Asks routers at random, each request on a connection of its own, so many a second; where nobody
    listens it asks another one.
    """
    import threading

    notes, ends = EventLog(events), [_parse_address(text) for text in router_addresses.split(",")]
    threads = 6

    def ask(number: int) -> None:
        rng = random.Random(f"{seed} {number}")
        for count in range(1_000_000):
            time.sleep(rng.expovariate(float(rate) / threads))
            for place in rng.sample(ends, len(ends)):
                name, key = f"{seed}-{number}-{count}", int(200 * rng.random() ** 2)
                status, begin = _send_request(place, name, key)
                if begin:
                    notes.append(
                        ClientRequestCompleted(
                            "client", drill_clock(), begin, f"{place[0]}:{place[1]}", status
                        )
                    )
                    break

    for number in range(threads):
        threading.Thread(target=ask, args=(number,), daemon=True).start()
    while True:
        time.sleep(1.0)


def _send_request(address: tuple[str, int], request_id: str, key: int) -> tuple[int, float]:
    """The status, and when the request was written; 0 if nobody listened."""
    text = (
        f"GET /k/{key} HTTP/1.1\r\nHost: r\r\nReq-Id: {request_id}\r\nReq-Kind: read\r\nReq-Deadline: 1.2\r\n"
    )
    try:
        sock = socket.create_connection(address, 1.0)
    except OSError:
        return 0, 0.0
    begin = drill_clock()
    try:
        sock.sendall(f"{text}Req-Owner: drill\r\nConnection: close\r\n\r\n".encode())
        sock.settimeout(1.7)
        first = sock.recv(65536)
        return int(first[9:12]) if first.startswith(b"HTTP/1.1 ") else 0, begin
    except OSError:
        return 0, begin
    finally:
        sock.close()


def run_guarded_resource(events: str, address: str, folder: str) -> None:
    """What is acted on: it asks its guard before each step, and keeps the highest token on its disk."""
    notes, guard = EventLog(events), FencingGuard(SqliteFencingTokenStore(Path(folder)))
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(_parse_address(address))
    loop = EventLoop()

    def come(mask: int) -> None:
        step: tuple[str, str, int, int] = _step_decoder.decode(sock.recv(4096))
        name, task, token, who = step
        taken = guard.accepts(task, token)
        notes.append(GuardedEffect(name, drill_clock(), task, token, who, taken))

    loop.register(sock, READ, come)
    loop.run()


def main() -> None:
    """Start one."""
    logs.configure_logging()
    kind, *given = sys.argv[1:]
    if kind == "worker":
        name, fleet, events, place, tasks, seed = given
        LeaseWorker(name, fleet, events, place, tasks.split(","), int(seed)).loop.run()
    kinds: dict[str, Callable[[], None]] = {
        "hand": lambda: run_leased_command(given[0], given[1], given[2]),
        "client": lambda: run_request_client(given[0], given[1], given[2], given[3]),
        "resource": lambda: run_guarded_resource(given[0], given[1], given[2]),
    }
    if kind in kinds:
        kinds[kind]()


if __name__ == "__main__":
    main()
