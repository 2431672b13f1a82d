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
from pathlib import Path

from ...consensus.proposer import OperationOutcome, OutcomeKind, RegisterChange
from ...fleet import fleet_state as book
from ...fleet.disruption_budget import DisruptionBudget, Limit
from ...net.boot_clock import boottime_s
from ..experiment import parse_experiment as read_experiment
from ..live import router_config
from . import drain_invariants, invariants
from .discovery_stand_in import DiscoveryStandIn, NodeAddress
from .drill_file import Drill
from .drill_run import DrillRun, DrillRunError
from .event_log import drill_clock
from .fault_plan import Fault, FaultName
from .harness import LeaseHarness
from .history import (
    AnyEvent,
    AvailabilityChanged,
    ClientRequestCompleted,
    DrainAnnounced,
    FaultInjected,
    NodeRequestReceived,
    OperatorOrderAccepted,
)
from .invariants import Violation
from .process_cluster import STAND_INS_MODULE
from .processes import FIRST_PORT
from .quorum_operator import START_TIMEOUT_S

ZONES = ("east", "west")
MEMBER_LIMIT = Limit(most=2, zone_most=1, share=1.0, zone_share=1.0, stay=1)
BUDGET = DisruptionBudget(routers=MEMBER_LIMIT, caches=MEMBER_LIMIT, unplanned_allowance=1)
GROUP = "drill"
PROBE_INTERVAL_S = 0.1  # seconds between two looks at a member
FAULT_DETECTION_S = 0.5  # a fault shows within so long
MAX_DRAIN_PROPAGATION_S = 0.75 + 0.1  # after all have been told; the second part for this rig's own look
UNREAD_CONNECTION_MAX_S = 0.5  # seconds: a connection that is closed at once, and not one that waits in vain
FORCED_DRAIN_WINDOW_S = 20.0  # seconds in which one that is said to die may go over the budget
REINSTATEMENT_DELAY_S = 6.0  # seconds in which one that is taken on again is known to be in
REJOIN_DEADLINE_S = 35.0  # within so long, without faults, all is back
HEARTBEAT_INTERVAL_S, HEARTBEAT_TIMEOUT_S = 0.8, 4.0
WARM_UP_S, COLD_START_SHARE = (
    4.0,
    0.12,
)  # seconds, as the routers' settings have it; the part of its capacity at a start
REQUESTS_PER_SECOND = 60.0  # requests a second of the client
CACHE_NODE_MODULE = "rosepick.lab.drill.cache_node"
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


class AvailabilityProbe(threading.Thread):
    """Looks at all members from outside, over their own doors, and writes down who goes and who comes."""

    def __init__(self, harness: DrainHarness) -> None:
        super().__init__(daemon=True)
        self.harness, self.stopped = harness, False
        self.serving: dict[str, bool] = {}
        self.events: list[AvailabilityChanged] = []

    def run(self) -> None:
        """Look, until it is over."""
        pause = threading.Event()
        while not self.stopped:
            for name in self.harness.members:
                self._probe_member(name)
            pause.wait(PROBE_INTERVAL_S / 2)

    def _probe_member(self, name: str) -> None:
        up = self.harness.is_serving(name)
        if up == self.serving.get(name):
            return
        first = name not in self.serving
        self.serving[name] = up
        now = drill_clock()
        fault = now - self.harness.last_kill_times.get(name, -1e9) < FAULT_DETECTION_S + PROBE_INTERVAL_S
        by = "" if up else "start" if first else "fault" if fault else "program"
        kind, zone = self.harness.members[name]
        free = now < self.harness.forced_drain_until.get(name, 0.0)
        called = "routers" if kind == "router" else "caches"
        self.events.append(AvailabilityChanged(name, now, called, zone, up, by, free))


class DrainHarness(LeaseHarness):
    """One drill of drains. Agents are the `workers` of the plan's faults."""

    budget_limits = BUDGET
    requests_per_second = REQUESTS_PER_SECOND

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        self.members: dict[str, tuple[str, str]] = {}
        self.admin_addresses: dict[str, tuple[str, int]] = {}
        self.listen_addresses: dict[str, tuple[str, int]] = {}
        self.last_kill_times: dict[str, float] = {}
        self.kill_times_by_address: dict[str, list[float]] = {}  # by a router's address
        self.forced_drain_until: dict[str, float] = {}  # members that go out over the budget, until when
        super().__init__(drill, seed, folder)
        self.orders = random.Random(seed * 13 + 5)
        self.fault_handlers.register(FaultName.MEMBER_CRASH, self._crash_member)
        self.fault_handlers.register(FaultName.HOST_LOSS, self._lose_host)
        self.operator_client = self.create_client("crew", self.loop, random.Random(seed))
        self.availability_probe = AvailabilityProbe(self)
        self.issues_orders = False
        self._drain_announced_at: dict[str, float] = {}

    # -- what there is

    def _build_topology(self) -> None:
        super()._build_topology()
        for name in (*self.workers, "resource"):
            del self.processes[name]
        half = self._router_count()
        port = FIRST_PORT + 1000
        for number, name in enumerate(self.workers):
            self.members[name] = "router" if number < half else "cache", ZONES[number % len(ZONES)]
            self.listen_addresses[name], self.admin_addresses[name] = (self.host, port), (self.host, port + 1)
            port += 2
        nodes = {
            n: NodeAddress(f"{self.host}:{self.listen_addresses[n][1]}", zone)
            for n, (kind, zone) in self.members.items()
            if kind == "cache"
        }
        routers = [n for n, (kind, _) in self.members.items() if kind == "router"]
        watches = {name: port + 1 + number for number, name in enumerate(routers)}
        self.discovery = DiscoveryStandIn(self.loop, self.host, port, nodes, watches)
        for number, name in enumerate(self.workers):
            self._add_agent(name, number, watches.get(name, 0))
        places = ",".join(f"{self.host}:{self.listen_addresses[n][1]}" for n in routers)
        self._add_process(
            "client",
            STAND_INS_MODULE,
            ["client", "client.events", places, str(self.requests_per_second), str(self.seed)],
        )

    def _router_count(self) -> int:
        """How many of the members are routers."""
        return (len(self.workers) + 1) // 2

    def _member_command(self, kind: str, name: str) -> tuple[list[str], list[str]]:
        """What starts a member, and what else its agent is given."""
        if kind == "router":
            return [sys.executable, "-m", "rosepick", "serve"], []
        places = self.listen_addresses[name][1], self.admin_addresses[name][1], self.discovery.port
        ends = [f"{self.host}:{port}" for port in places]
        return [sys.executable, "-m", CACHE_NODE_MODULE, name, *ends, f"{name}.came.events"], []

    def _add_agent(self, name: str, number: int, watch: int) -> None:
        kind, zone = self.members[name]
        folder = self.folder / f"{name}.d"
        folder.mkdir()
        if kind == "router":
            self._write_router_file(name, number, watch)
        command, more = self._member_command(kind, name)
        door = f"{self.host}:{self.admin_addresses[name][1]}"
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
        self._add_process(name, "rosepick", [*given, "--fleet", f"{name}.toml", "--", *command])
        self.processes[name].records_operations = True
        self.processes[name].extra_environment["GW_CONFIG"] = str(self.folder / f"{name}.json")
        with (self.folder / f"{name}.toml").open("a", encoding="utf-8") as file:
            file.write(self._drains_settings())

    def _drains_settings(self) -> str:
        limit = "most = 2\nzone_most = 1\nshare = 1.0\nzone_share = 1.0\nstay = 1\n"
        times = f"beat = {HEARTBEAT_INTERVAL_S}\nsilent = {HEARTBEAT_TIMEOUT_S}\nlonely = 5.0\nsteady = 1.0\n"
        head = f'[drains]\ngroup = "{GROUP}"\nunasked = 1\n{times}'
        return f"{head}[drains.routers]\n{limit}[drains.caches]\n{limit}"

    def _write_router_file(self, name: str, number: int, watch: int) -> None:
        experiment = read_experiment(EXPERIMENT, "drains")
        listen = f"{self.host}:{self.listen_addresses[name][1]}"
        known = {"rev": 0, "all": True, "targets": []}
        router = router_config.RouterInstance(name, listen, f"{self.host}:{watch}", known, position=number)
        document = router_config.router_config_document(experiment, router)
        document["ops"] = f"{self.host}:{self.admin_addresses[name][1]}"
        (self.folder / f"{name}.json").write_text(json.dumps(document), "utf-8")

    def is_serving(self, name: str) -> bool:
        """Whether a member serves, by asking it."""
        kind, _ = self.members[name]
        end, line = (
            (self.listen_addresses[name], b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            if kind == "router"
            else (self.admin_addresses[name], b"telemetry\n")
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

    def _start_processes(self) -> None:
        self.quorum_operator.bootstrap_quorum()
        for name in self.workers:
            self.processes[name].start()
        self.availability_probe.start()
        if not self.run_until(
            lambda: len(self.availability_probe.serving) == len(self.members)
            and all(self.availability_probe.serving.values()),
            2.0 * START_TIMEOUT_S,
        ):
            down = [name for name in self.members if not self.availability_probe.serving.get(name)]
            raise DrillRunError(f"{', '.join(down)} did not come up")
        self.processes["client"].start()
        self.run_for(2.0)

    def run(self) -> DrillRun:
        """The whole drill."""
        try:
            self._start_processes()
            begin = drill_clock()
            plan = self._draw_fault_plan()
            self._schedule_faults(plan)
            self.issues_orders = True
            self._issue_next_order()
            self._record_drain_announcements()
            self.run_for(plan.ends_at)
            self.issues_orders = False
            self._stop_faults()
            self.run_for(4.0)
            self._cancel_all_drains()
            back = self.run_until(self._are_all_members_in, REJOIN_DEADLINE_S)
            self.run_for(1.0)
            last = self._read_fleet_state()
        finally:
            self.availability_probe.stopped = True
            self._stop_processes()
        return self._judge_run(begin, back, last)

    def _judge_run(
        self, started_at: float, all_rejoined: bool, final_state: book.FleetState | None
    ) -> DrillRun:
        events = self._read_history(self.availability_probe.events)
        verdict = invariants.check_invariants(events)
        bounds = drain_invariants.DrainBounds(
            self.budget_limits, HEARTBEAT_TIMEOUT_S + HEARTBEAT_INTERVAL_S + 6.5, 4.0 + 2.0 * PROBE_INTERVAL_S
        )
        at_door = {f"{host}:{port}": name for name, (host, port) in self.listen_addresses.items()}
        for broken, counts in (
            drain_invariants.check_invariants(events, bounds),
            check_requests(events, self.kill_times_by_address, at_door),
            check_cold_starts(events),
            self._check_additional_invariants(events),
        ):
            verdict.violations += broken
            verdict.counts += counts
        if not all_rejoined:
            verdict.violations.append(
                Violation(
                    "ends",
                    f"not all is back {REJOIN_DEADLINE_S:.0f} s after the last fault: "
                    f"{_describe_missing_members(final_state)}",
                )
            )
        self._finish_report(verdict)
        self.figures["seconds"] = drill_clock() - started_at
        return DrillRun(verdict, events, self.folder, self.seed, self.figures)

    def _check_additional_invariants(self, events: list[AnyEvent]) -> tuple[list[Violation], Counter[str]]:
        """Claims of what else is played."""
        return [], Counter()

    # -- faults and orders

    def _crash_member(self, _number: int, fault: Fault) -> None:
        name = fault.target[0]
        with contextlib.suppress(OSError, ValueError, KeyError):
            told = json.loads((self.folder / f"{name}.d" / "agent.json").read_text("utf-8"))
            self.last_kill_times[name] = drill_clock()
            self.kill_times_by_address.setdefault(
                f"{self.listen_addresses[name][0]}:{self.listen_addresses[name][1]}", []
            ).append(drill_clock())
            os.kill(int(told["pid"]), signal.SIGKILL)

    def _lose_host(self, number: int, fault: Fault) -> None:
        """Its agent is killed first, so that nobody starts it."""
        self._kill(number, fault)
        self._crash_member(number, fault)

    def _send_order(self, order: str, change: RegisterChange, names: tuple[str, ...] = ()) -> None:
        def done(outcome: OperationOutcome) -> None:
            if outcome.kind is OutcomeKind.COMMITTED or (
                outcome.kind is OutcomeKind.UNCHANGED and order == "halt"
            ):
                self.events.append(OperatorOrderAccepted("crew", drill_clock(), order, names))

        self.operator_client.execute(book.fleet_state_key(GROUP), change, done, 3_000.0)

    def _issue_next_order(self) -> None:
        if not self.issues_orders:
            return
        rng, now = self.orders, boottime_s()
        names = rng.sample(self.workers, rng.choice((1, 1, 2, 3, len(self.workers))))
        draw = rng.random()
        if draw < 0.55:
            self._send_order("out", book.request_drain(names, rng.choice("ab"), "patch", now), tuple(names))
        elif draw < 0.68:
            self._send_order("in", book.cancel_drain(names, rng.choice("ab"), now), tuple(names))
        elif draw < 0.71:
            self._send_order("halt", book.halt_drains("crew", "drill", now))
        elif draw < 0.73:
            self.forced_drain_until[names[0]] = drill_clock() + FORCED_DRAIN_WINDOW_S
            self._send_order(
                "now", book.request_drain(names[:1], "a", "it dies", now, immediate=True), tuple(names[:1])
            )
        elif draw < 0.75:
            self._evict_member(names[0])
        else:
            self._resume_drains()
        self.loop.call_after(1000.0 * rng.uniform(0.3, 1.3), self._issue_next_order)

    def _evict_member(self, name: str) -> None:
        """It is written off, and taken on again a while later."""
        self.events.append(OperatorOrderAccepted("crew", drill_clock(), "off", (name,)))
        self._send_order("written off", book.evict_member(name, "a", "drill", boottime_s()), (name,))
        self.loop.call_after(4_000.0, lambda: self._reinstate_member(name))

    def _reinstate_member(self, name: str) -> None:
        def done(outcome: OperationOutcome) -> None:
            if outcome.kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN):
                self._reinstate_member(name)
            else:
                back = OperatorOrderAccepted("crew", drill_clock(), "on", (name,))
                self.loop.call_after(1000.0 * REINSTATEMENT_DELAY_S, lambda: self.events.append(back))

        self.operator_client.execute(
            book.fleet_state_key(GROUP), book.reinstate_member(name, "a", boottime_s()), done, 3_000.0
        )

    def _resume_drains(self) -> None:
        self.events.append(OperatorOrderAccepted("crew", drill_clock(), "resume"))

        def done(outcome: OperationOutcome) -> None:
            if outcome.kind in (
                OutcomeKind.COMMITTED,
                OutcomeKind.UNKNOWN,
            ):  # it may be taken after a later halt
                self.events.append(OperatorOrderAccepted("crew", drill_clock(), "resume"))

        self.operator_client.execute(
            book.fleet_state_key(GROUP), book.resume_drains("crew", "drill", boottime_s()), done, 3_000.0
        )

    def _record_drain_announcements(self) -> None:
        """When the last router that runs was told that a node drains."""
        routers = [
            name
            for name, (kind, _) in self.members.items()
            if kind == "router" and self.availability_probe.serving.get(name)
        ]
        for node, (kind, _) in self.members.items():
            row = self.discovery.node_states.get(node)
            if kind != "cache" or row is None or row.state != "leaving":
                self._drain_announced_at.pop(node, None)
                continue
            told = [self.discovery.notified.get((router, node)) for router in routers]
            if node not in self._drain_announced_at and all(
                one is not None and one.state == "leaving" for one in told
            ):
                self._drain_announced_at[node] = drill_clock()
                self.events.append(DrainAnnounced(node, drill_clock()))
        self.loop.call_after(30.0, self._record_drain_announcements)

    # -- the end

    def _stop_faults(self) -> None:
        self.link_faults.heal_all()
        for process in self.processes.values():
            process.resume()
            process.start()

    def _cancel_all_drains(self) -> None:
        self.operator_client.execute(
            book.fleet_state_key(GROUP),
            book.cancel_drain(self.workers, "crew", boottime_s()),
            lambda outcome: None,
            3_000.0,
        )

    def _read_fleet_state(self) -> book.FleetState | None:
        found: list[OperationOutcome] = []
        self.operator_client.execute(book.fleet_state_key(GROUP), None, found.append, 3_000.0)
        self.run_until(lambda: bool(found), 4.0)
        return (
            book.decode_fleet_state(found[0].register)
            if found and found[0].kind is OutcomeKind.UNCHANGED
            else None
        )

    def _are_all_members_in(self) -> bool:
        if not all(self.availability_probe.serving.values()):
            return False
        ledger = self._read_fleet_state()
        if ledger is None or any(one.phase or one.permit for one in ledger.members.values()):
            return False
        if any(one.drain_request for one in ledger.members.values()):
            self._cancel_all_drains()
            return False
        return len(ledger.members) == len(self.members)

    def _stop_processes(self) -> None:
        self.processes["client"].kill()  # before its routers: what it asks for is to be answered
        for name in self.members:
            with contextlib.suppress(OSError, ValueError):
                told = json.loads((self.folder / f"{name}.d" / "agent.json").read_text("utf-8"))
                self.processes[name].kill()
                os.kill(int(told["pid"]), signal.SIGKILL)
        self.discovery.close()
        self.operator_client.close()
        super()._stop_processes()


def _describe_missing_members(ledger: book.FleetState | None) -> str:
    if ledger is None:
        return "the ledger cannot be read"
    found = [
        f"{n} {book.MemberPhase(m.phase).name.lower()}"
        for n, m in ledger.members.items()
        if m.phase or m.drain_request or m.lost
    ]
    return ", ".join(found) or "all are in by the ledger"


def check_requests(
    events: list[AnyEvent],
    kill_times: dict[str, list[float]],
    router_by_address: dict[str, str] | None = None,
) -> tuple[list[Violation], Counter[str]]:
    """No request is lost, but those in hand of a router that the drill killed; and a cache node gets nothing
    new later than 750 ms after all routers that run were told that it drains.

    `router_by_address`: routers by their addresses. A new connection that meets the very end of a router
    which was told to end, and is closed unheard, counts as refused, as on the operators' page; beyond one
    request in 200 it is lost.
    """
    counts: Counter[str] = Counter()
    broken, shut = list[Violation](), list[Violation]()
    told: dict[str, float] = {}
    ending: set[str] = set()
    for event in events:
        if isinstance(event, AvailabilityChanged):
            (ending.add if not event.up and event.by == "program" else ending.discard)(event.process)
            if event.up:
                told.pop(event.process, None)
        elif isinstance(event, ClientRequestCompleted):
            counts[f"answers {event.status}"] += 1
            struck = any(event.begin - 0.1 <= at <= event.at + 0.1 for at in kill_times.get(event.router, ()))
            if event.status == 0 and not struck:
                text = f"a request to {event.router} was never answered"
                unheard = (
                    event.at - event.begin < UNREAD_CONNECTION_MAX_S
                    and (router_by_address or {}).get(event.router) in ending
                )
                (shut if unheard else broken).append(Violation("requests", text, (event,)))
        elif isinstance(event, DrainAnnounced):
            told[event.process] = event.at
        elif isinstance(event, NodeRequestReceived):
            counts["sends"] += 1
            since = told.get(event.process)
            if event.draining and since is not None and event.at - since > MAX_DRAIN_PROPAGATION_S:
                late = f"{event.at - since:.2f} s after all had been told that it drains"
                text = f"{event.process} got a request {late}"
                broken.append(Violation("sends", text, (event,)))
    counts["doors closed unheard"] = len(shut)
    asked = sum(count for name, count in counts.items() if name.startswith("answers"))
    return broken + (shut if 200 * len(shut) > asked else []), counts


def check_cold_starts(events: list[AnyEvent]) -> tuple[list[Violation], Counter[str]]:
    """A cache node that starts again gets, in each second, no more than N + 3 x root of N + 3 requests, N
    being the part of its warm neighbours' mean that it may have then, as well as that is known.
    """
    came: dict[str, list[float]] = {}
    starts: list[tuple[float, str]] = []
    for event in events:
        if isinstance(event, NodeRequestReceived):
            came.setdefault(event.process, []).append(event.at)
        elif isinstance(event, FaultInjected) and event.fault == "cold start":
            starts.append((event.at, event.process))
    broken = []
    for at, node in starts:
        cold = {other for when, other in starts if at - WARM_UP_S < when < at + WARM_UP_S}
        for second in range(int(WARM_UP_S)):
            got = _count_within_second(came.get(node, []), at + second)
            # one that is out itself gets nothing, and says nothing of what a warm one gets
            others = [
                _count_within_second(times, at + second)
                for other, times in came.items()
                if other not in cold
                and all(_count_within_second(times, at + second + off) for off in (-1.0, 0.0, 1.0))
            ]
            part = COLD_START_SHARE + (1.0 - COLD_START_SHARE) * (second + 1) / WARM_UP_S
            allowed = part * sum(others) / max(1, len(others))
            # what neighbours got is counted too, and known no better than their number allows
            spread = (allowed * (1.0 + part / max(1, len(others)))) ** 0.5
            if others and got > allowed + 3.0 * spread + 3.0:
                text = f"{node} got {got} requests, second {second + 1} of a start; its part is {allowed:.1f}"
                broken.append(Violation("cold", text))
    return broken, Counter({"cold starts": len(starts)})


def _count_within_second(timestamps: list[float], start: float) -> int:
    return sum(start <= at < start + 1.0 for at in timestamps)


def run_drill(drill: Drill, seed: int, folder: Path) -> DrillRun:
    """One seed, in a folder that is emptied first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return DrainHarness(drill, seed, folder).run()
