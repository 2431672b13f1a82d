"""Runs the processes of a fault-injection test that are not part of the program.

    python -m rosepick.lab.drill.stand_ins worker NAME FLEET EVENTS RESOURCE TASK,TASK SEED
    python -m rosepick.lab.drill.stand_ins hand NAME EVENTS RESOURCE
    python -m rosepick.lab.drill.stand_ins client EVENTS ROUTER,ROUTER RATE SEED
    python -m rosepick.lab.drill.stand_ins resource EVENTS RESOURCE FOLDER

A worker holds leases and acts on the resource; `hand` acts on it as a command under `rosepick lease run`; a
client sends requests to routers; the resource is guarded by fencing tokens. Addresses are HOST:PORT. Each
process appends its actions and observations to a file of events without delay.
"""

from __future__ import annotations

import os
import random
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import NamedTuple

import msgspec

from ... import logs
from ...coordination.acceptor_store import SqliteFencingTokenStore
from ...coordination.lease_holder import LeaseHolder
from ...coordination.quorum_client import tcp_connection_factory
from ...leases.fencing import FencingGuard
from ...leases.lease_client import LeaseConfig, LeaseState
from ...net.boot_clock import boottime_s
from ...net.event_loop import READ, EventLoop
from ...settings import fleet_file
from .event_log import EventLog, drill_clock
from .history import GuardedEffect, LeaseCheckPassed, LeaseStateChanged
from .instrumented_client import InstrumentedQuorumClient
from .request_client import RequestClient

WORK_INTERVAL_S = 0.015  # between two steps of work
# share of the steps that are sent long after the check of the lease, as if the process was paused
DELAYED_STEP_SHARE = 0.01
NAMED_RELEASE_SHARE = 0.2  # share of the releases that name the next holder
CLIENT_NAME_COUNT = 8  # names are drawn from c0 to c7
MIN_COMMAND_S = 0.2  # shortest run of a command under a lease
MAX_COMMAND_S = 8.0  # longest run of a command under a lease
MAX_DATAGRAM_BYTES = 4096
IN_DOUBT = "doubt"  # the only change reported by a lease holder that is not a state of the lease


class WorkStep(NamedTuple):
    """An action on the resource under a lease, sent as a datagram with a JSON array."""

    client: str
    task: str
    token: int
    owner_id: int


_step_decoder: msgspec.json.Decoder[WorkStep] = msgspec.json.Decoder(WorkStep)


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class ResourceClient:
    """Sends steps of work to the resource in datagrams, which may be lost."""

    def __init__(self, name: str, address: str) -> None:
        self._name = name
        self._address = _parse_address(address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def send_step(self, task: str, token: int, owner_id: int) -> None:
        """Send a step of work."""
        step = WorkStep(self._name, task, token, owner_id)
        try:
            self._socket.sendto(msgspec.json.encode(step), self._address)
        except OSError:
            return  # the resource is down, so the step has no effect


@dataclass(frozen=True, slots=True)
class WorkerOptions:
    """The arguments of a worker on the command line."""

    name: str
    fleet_file: str
    event_file: str
    resource_address: str
    tasks: list[str]
    seed: int


class LeaseWorker:
    """Acquires leases, works while it may act, and releases them from time to time."""

    def __init__(self, options: WorkerOptions) -> None:
        fleet, secret = fleet_file.load(Path(options.fleet_file))
        self.name = options.name
        self.tasks = options.tasks
        self.rng = random.Random(f"{options.seed} {options.name} {os.getpid()} {drill_clock()}")
        self.loop = EventLoop(boottime_s)
        self.event_log = EventLog(options.event_file)
        self.resource = ResourceClient(options.name, options.resource_address)
        self.lease_config = LeaseConfig(fleet.leases.ttl * 1000.0, fleet.leases.drift)
        connections = tcp_connection_factory(self.loop, fleet.endpoints(), secret)
        self.client = InstrumentedQuorumClient(
            self.name, self.event_log.append, drill_clock, self.loop, connections, self.rng
        )
        self.client.records_operation_start = True
        self.lease_holders: dict[str, LeaseHolder] = {}
        for task in self.tasks:
            self._request_lease(task)
            self._work_step(task)

    def _request_lease(self, task: str) -> None:
        self.lease_holders[task] = LeaseHolder(
            self.client, task, self.name, self.lease_config, partial(self._on_lease_change, task)
        )

    def _on_lease_change(self, task: str, change: str) -> None:
        holder = self.lease_holders.get(task)
        if holder is None or change == IN_DOUBT:
            return
        lease = holder.lease_client
        ttl_ms = self.lease_config.ttl_ms
        self.event_log.append(
            LeaseStateChanged(self.name, drill_clock(), task, lease.token, lease.owner_id, change)
        )
        if lease.state in (LeaseState.LOST, LeaseState.ENDED):
            self.loop.call_after(ttl_ms * self.rng.uniform(0.1, 0.5), partial(self._request_lease, task))
        elif lease.state is LeaseState.HELD:
            hold_ms = ttl_ms * self.rng.choice((0.6, 2.0, 20.0)) * self.rng.random()
            self.loop.call_after(hold_ms, partial(self._release_lease, holder))

    def _release_lease(self, holder: LeaseHolder) -> None:
        if holder.lease_client.state is not LeaseState.HELD:
            return
        is_named = self.rng.random() < NAMED_RELEASE_SHARE
        holder.release(f"c{self.rng.randrange(CLIENT_NAME_COUNT)}" if is_named else "")

    def _work_step(self, task: str) -> None:
        holder = self.lease_holders[task]
        check_started_at = drill_clock()
        lease = holder.lease_client
        if holder.may_act():
            self.event_log.append(
                LeaseCheckPassed(
                    self.name, drill_clock(), check_started_at, task, lease.token, lease.owner_id
                )
            )
            self._send_step(partial(self.resource.send_step, task, lease.token, lease.owner_id))
        interval_ms = 1000.0 * WORK_INTERVAL_S * self.rng.uniform(0.5, 1.5)
        self.loop.call_after(interval_ms, partial(self._work_step, task))

    def _send_step(self, send: Callable[[], None]) -> None:
        """Send a step at once or, rarely, after the lease has ended."""
        if self.rng.random() < DELAYED_STEP_SHARE:
            self.loop.call_after(self.lease_config.ttl_ms * self.rng.uniform(1.0, 2.5), send)
        else:
            send()


def run_leased_command(name: str, event_file: str, resource_address: str) -> None:
    """Act on the resource for some seconds, as a command under `rosepick lease run`.

    The environment has the task and the token of the lease. The command does not check the lease; its parent
    ends it when the lease is lost.
    """
    event_log = EventLog(event_file)
    resource = ResourceClient(name, resource_address)
    task = os.environ["ROSEPICK_TASK"]
    token = int(os.environ["ROSEPICK_TOKEN"])
    owner_id = os.getpid()
    rng = random.Random(owner_id)
    end_at = drill_clock() + rng.uniform(MIN_COMMAND_S, MAX_COMMAND_S)
    while drill_clock() < end_at:
        now = drill_clock()
        event_log.append(LeaseCheckPassed(name, now, now, task, token, owner_id))
        resource.send_step(task, token, owner_id)
        time.sleep(WORK_INTERVAL_S)


def run_request_client(event_file: str, router_addresses: str, rate: str, seed: str) -> None:
    """Send requests to routers, at `rate` requests a second, until the process is killed."""
    routers = [_parse_address(text) for text in router_addresses.split(",")]
    RequestClient(EventLog(event_file), routers, float(rate), seed).run()


def run_guarded_resource(event_file: str, address: str, folder: str) -> None:
    """Run the resource: a guard checks the fencing token of each step and stores the highest on disk."""
    event_log = EventLog(event_file)
    guard = FencingGuard(SqliteFencingTokenStore(Path(folder)))
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(_parse_address(address))
    loop = EventLoop()

    def handle_step(_mask: int) -> None:
        step = _step_decoder.decode(sock.recv(MAX_DATAGRAM_BYTES))
        accepted = guard.accepts(step.task, step.token)
        event_log.append(
            GuardedEffect(step.client, drill_clock(), step.task, step.token, step.owner_id, accepted)
        )

    loop.register(sock, READ, handle_step)
    loop.run()


def _run_worker(arguments: list[str]) -> None:
    name, fleet, event_file, resource_address, tasks, seed = arguments
    options = WorkerOptions(name, fleet, event_file, resource_address, tasks.split(","), int(seed))
    LeaseWorker(options).loop.run()


def main() -> None:
    """Run the process that the command line names; an unknown name does nothing."""
    logs.configure_logging()
    kind, *arguments = sys.argv[1:]
    if kind == "worker":
        _run_worker(arguments)
    elif kind == "hand":
        run_leased_command(*arguments[:3])
    elif kind == "client":
        run_request_client(*arguments[:4])
    elif kind == "resource":
        run_guarded_resource(*arguments[:3])


if __name__ == "__main__":
    main()
