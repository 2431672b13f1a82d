"""Runs the fault-injection test of drains on real processes.

Routers and stand-ins of cache nodes run under agents while clients send requests. A thread probes from
outside which members serve.
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
from ...fleet import drain_requests, fleet_state
from ...fleet.disruption_budget import DisruptionBudget, Limit
from ...net.boot_clock import boottime_s
from ..experiment import parse_experiment
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
PROBE_INTERVAL_S = 0.1  # seconds between two probes of a member
FAULT_DETECTION_S = 0.5  # a member that goes down within this time after a kill is down by that fault
# until a draining node gets no new requests, after all routers were notified; 0.1 s is for the harness, which
# checks every 30 ms whether they were
MAX_DRAIN_PROPAGATION_S = 0.75 + 0.1
# a connection that is closed within this time was closed at once, without a read; a longer one timed out
UNREAD_CONNECTION_MAX_S = 0.5
FORCED_DRAIN_WINDOW_S = 20.0  # after an immediate drain request, during which the budget does not apply
REINSTATEMENT_DELAY_S = 6.0  # from a reinstatement until the history records it and the member has to be in
REJOIN_TIMEOUT_S = 35.0  # until all members are in, once faults and drains have ended
HEARTBEAT_INTERVAL_S, HEARTBEAT_TIMEOUT_S = 0.8, 4.0
# the routers' settings `warm_after` and `cold_from`: the length of a warm-up, and the share at its start
WARM_UP_S, COLD_START_SHARE = (
    4.0,
    0.12,
)
REQUESTS_PER_SECOND = 60.0  # of the client
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
    """Probes all members over their own listeners; records when each goes out of service or comes back."""

    def __init__(self, harness: DrainHarness) -> None:
        super().__init__(daemon=True)
        self.harness, self.stopped = harness, False
        self.serving: dict[str, bool] = {}
        self.events: list[AvailabilityChanged] = []

    def run(self) -> None:
        """Probe all members until `stopped` is set."""
        timer = threading.Event()
        while not self.stopped:
            for name in self.harness.members:
                self._probe_member(name)
            timer.wait(PROBE_INTERVAL_S / 2)

    def _probe_member(self, name: str) -> None:
        up = self.harness.is_serving(name)
        if up == self.serving.get(name):
            return
        is_first_probe = name not in self.serving
        self.serving[name] = up
        now = drill_clock()
        is_by_fault = (
            now - self.harness.last_kill_times.get(name, -1e9) < FAULT_DETECTION_S + PROBE_INTERVAL_S
        )
        cause = "" if up else "start" if is_first_probe else "fault" if is_by_fault else "program"
        kind, zone = self.harness.members[name]
        is_exempt_from_budget = now < self.harness.forced_drain_until.get(name, 0.0)
        member_kind = "routers" if kind == "router" else "caches"
        self.events.append(
            AvailabilityChanged(name, now, member_kind, zone, up, cause, is_exempt_from_budget)
        )


class DrainHarness(LeaseHarness):
    """Runs one test of drains; the members' agents are the `workers` that faults of the plan hit."""

    budget_limits = BUDGET
    requests_per_second = REQUESTS_PER_SECOND

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        self.members: dict[str, tuple[str, str]] = {}
        self.admin_addresses: dict[str, tuple[str, int]] = {}
        self.listen_addresses: dict[str, tuple[str, int]] = {}
        self.last_kill_times: dict[str, float] = {}
        self.kill_times_by_address: dict[str, list[float]] = {}  # by the address of a router
        self.forced_drain_until: dict[str, float] = {}  # by member: until when the budget does not apply
        super().__init__(drill, seed, folder)
        self.order_rng = random.Random(seed * 13 + 5)
        self.fault_handlers.register(FaultName.MEMBER_CRASH, self._crash_member)
        self.fault_handlers.register(FaultName.HOST_LOSS, self._lose_host)
        self.operator_client = self.create_client("crew", self.loop, random.Random(seed))
        self.availability_probe = AvailabilityProbe(self)
        self.issues_orders = False
        self._drain_announced_at: dict[str, float] = {}

    # -- processes

    def _build_topology(self) -> None:
        super()._build_topology()
        for name in (*self.workers, "resource"):
            del self.processes[name]
        router_count = self._router_count()
        port = FIRST_PORT + 1000
        for number, name in enumerate(self.workers):
            self.members[name] = "router" if number < router_count else "cache", ZONES[number % len(ZONES)]
            self.listen_addresses[name], self.admin_addresses[name] = (self.host, port), (self.host, port + 1)
            port += 2
        nodes = {
            n: NodeAddress(f"{self.host}:{self.listen_addresses[n][1]}", zone)
            for n, (kind, zone) in self.members.items()
            if kind == "cache"
        }
        routers = [n for n, (kind, _) in self.members.items() if kind == "router"]
        discovery_ports = {name: port + 1 + number for number, name in enumerate(routers)}
        self.discovery = DiscoveryStandIn(self.loop, self.host, port, nodes, discovery_ports)
        for number, name in enumerate(self.workers):
            self._add_agent(name, number, discovery_ports.get(name, 0))
        router_addresses = ",".join(f"{self.host}:{self.listen_addresses[n][1]}" for n in routers)
        self._add_process(
            "client",
            STAND_INS_MODULE,
            ["client", "client.events", router_addresses, str(self.requests_per_second), str(self.seed)],
        )

    def _router_count(self) -> int:
        """Return how many of the members are routers; the others are cache nodes."""
        return (len(self.workers) + 1) // 2

    def _member_command(self, kind: str, name: str) -> tuple[list[str], list[str]]:
        """Return the command that starts a member, and further options of its agent."""
        if kind == "router":
            return [sys.executable, "-m", "rosepick", "serve"], []
        ports = self.listen_addresses[name][1], self.admin_addresses[name][1], self.discovery.port
        addresses = [f"{self.host}:{port}" for port in ports]
        return [sys.executable, "-m", CACHE_NODE_MODULE, name, *addresses, f"{name}.came.events"], []

    def _add_agent(self, name: str, number: int, discovery_port: int) -> None:
        kind, zone = self.members[name]
        folder = self.folder / f"{name}.d"
        folder.mkdir()
        if kind == "router":
            self._write_router_file(name, number, discovery_port)
        command, extra_options = self._member_command(kind, name)
        admin_address = f"{self.host}:{self.admin_addresses[name][1]}"
        arguments = [
            "agent",
            "run",
            name,
            "--folder",
            f"{name}.d",
            "--zone",
            zone,
            "--door",
            admin_address,
            "--kind",
            kind,
            *extra_options,
        ]
        self._add_process(name, "rosepick", [*arguments, "--fleet", f"{name}.toml", "--", *command])
        self.processes[name].records_operations = True
        self.processes[name].extra_environment["GW_CONFIG"] = str(self.folder / f"{name}.json")
        with (self.folder / f"{name}.toml").open("a", encoding="utf-8") as file:
            file.write(self._drains_settings())

    def _drains_settings(self) -> str:
        limit = "most = 2\nzone_most = 1\nshare = 1.0\nzone_share = 1.0\nstay = 1\n"
        times = f"beat = {HEARTBEAT_INTERVAL_S}\nsilent = {HEARTBEAT_TIMEOUT_S}\nlonely = 5.0\nsteady = 1.0\n"
        settings = f'[drains]\ngroup = "{GROUP}"\nunasked = 1\n{times}'
        return f"{settings}[drains.routers]\n{limit}[drains.caches]\n{limit}"

    def _write_router_file(self, name: str, number: int, discovery_port: int) -> None:
        parsed_experiment = parse_experiment(EXPERIMENT, "drains")
        listen = f"{self.host}:{self.listen_addresses[name][1]}"
        empty_list = {"rev": 0, "all": True, "targets": []}
        router = router_config.RouterInstance(
            name, listen, f"{self.host}:{discovery_port}", empty_list, position=number
        )
        document = router_config.router_config_document(parsed_experiment, router)
        document["ops"] = f"{self.host}:{self.admin_addresses[name][1]}"
        (self.folder / f"{name}.json").write_text(json.dumps(document), "utf-8")

    def is_serving(self, name: str) -> bool:
        """Return whether a member serves, by a request to it; False if it does not answer in time."""
        kind, _ = self.members[name]
        address, request = (
            (self.listen_addresses[name], b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            if kind == "router"
            else (self.admin_addresses[name], b"telemetry\n")
        )
        with contextlib.suppress(OSError), socket.create_connection(address, 0.3) as sock:
            sock.settimeout(0.5)
            sock.sendall(request)
            response = sock.recv(4096)
            if kind == "router":
                return response.startswith(b"HTTP/1.1 200")
            return b'"draining":false' in response and b'"warm":true' in response
        return False

    # -- the run

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
            raise DrillRunError(f"{', '.join(down)} did not start to serve")
        self.processes["client"].start()
        self.run_for(2.0)

    def run(self) -> DrillRun:
        """Run the whole test.

        Raises:
            DrillRunError: the processes did not start.
        """
        try:
            self._start_processes()
            started_at = drill_clock()
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
            all_rejoined = self.run_until(self._are_all_members_in, REJOIN_TIMEOUT_S)
            self.run_for(1.0)
            final_state = self._read_fleet_state()
        finally:
            self.availability_probe.stopped = True
            self._stop_processes()
        return self._check_run(started_at, all_rejoined, final_state)

    def _check_run(
        self, started_at: float, all_rejoined: bool, final_state: fleet_state.FleetState | None
    ) -> DrillRun:
        events = self._read_history(self.availability_probe.events)
        report = invariants.check_invariants(events)
        bounds = drain_invariants.DrainBounds(
            self.budget_limits, HEARTBEAT_TIMEOUT_S + HEARTBEAT_INTERVAL_S + 6.5, 4.0 + 2.0 * PROBE_INTERVAL_S
        )
        router_by_address = {f"{host}:{port}": name for name, (host, port) in self.listen_addresses.items()}
        for violations, counts in (
            drain_invariants.check_invariants(events, bounds),
            check_requests(events, self.kill_times_by_address, router_by_address),
            check_cold_starts(events),
            self._check_additional_invariants(events),
        ):
            report.violations += violations
            report.counts += counts
        if not all_rejoined:
            report.violations.append(
                Violation(
                    "ends",
                    f"not all members are in {REJOIN_TIMEOUT_S:.0f} s after the last fault: "
                    f"{_describe_missing_members(final_state)}",
                )
            )
        self._finish_report(report)
        self.measurements["seconds"] = drill_clock() - started_at
        return DrillRun(report, events, self.folder, self.seed, self.measurements)

    def _check_additional_invariants(self, events: list[AnyEvent]) -> tuple[list[Violation], Counter[str]]:
        """Check the invariants that a subclass adds."""
        return [], Counter()

    # -- faults and orders

    def _crash_member(self, _number: int, fault: Fault) -> None:
        name = fault.target[0]
        with contextlib.suppress(OSError, ValueError, KeyError):
            agent_state = json.loads((self.folder / f"{name}.d" / "agent.json").read_text("utf-8"))
            self.last_kill_times[name] = drill_clock()
            self.kill_times_by_address.setdefault(
                f"{self.listen_addresses[name][0]}:{self.listen_addresses[name][1]}", []
            ).append(drill_clock())
            os.kill(int(agent_state["pid"]), signal.SIGKILL)

    def _lose_host(self, number: int, fault: Fault) -> None:
        """Kill a member and its agent; the agent first, so that it does not restart the member."""
        self._kill(number, fault)
        self._crash_member(number, fault)

    def _send_order(self, order: str, change: RegisterChange, names: tuple[str, ...] = ()) -> None:
        def on_outcome(outcome: OperationOutcome) -> None:
            if outcome.kind is OutcomeKind.COMMITTED or (
                outcome.kind is OutcomeKind.UNCHANGED and order == "halt"
            ):
                self.events.append(OperatorOrderAccepted("crew", drill_clock(), order, names))

        self.operator_client.execute(fleet_state.fleet_state_key(GROUP), change, on_outcome, 3_000.0)

    def _issue_next_order(self) -> None:
        if not self.issues_orders:
            return
        rng, now = self.order_rng, boottime_s()
        names = rng.sample(self.workers, rng.choice((1, 1, 2, 3, len(self.workers))))
        draw = rng.random()
        if draw < 0.55:
            self._send_order(
                "out", drain_requests.request_drain(names, rng.choice("ab"), "patch", now), tuple(names)
            )
        elif draw < 0.68:
            self._send_order("in", drain_requests.cancel_drain(names, rng.choice("ab"), now), tuple(names))
        elif draw < 0.71:
            self._send_order("halt", fleet_state.halt_drains("crew", "drill", now))
        elif draw < 0.73:
            self.forced_drain_until[names[0]] = drill_clock() + FORCED_DRAIN_WINDOW_S
            self._send_order(
                "now",
                drain_requests.request_drain(names[:1], "a", "it dies", now, immediate=True),
                tuple(names[:1]),
            )
        elif draw < 0.75:
            self._evict_member(names[0])
        else:
            self._resume_drains()
        self.loop.call_after(1000.0 * rng.uniform(0.3, 1.3), self._issue_next_order)

    def _evict_member(self, name: str) -> None:
        """Evict a member, and reinstate it four seconds later."""
        self.events.append(OperatorOrderAccepted("crew", drill_clock(), "off", (name,)))
        self._send_order("written off", fleet_state.evict_member(name, "a", "drill", boottime_s()), (name,))
        self.loop.call_after(4_000.0, lambda: self._reinstate_member(name))

    def _reinstate_member(self, name: str) -> None:
        """Reinstate a member; repeat the order until its outcome is known and it has not failed.

        The history contains the order `REINSTATEMENT_DELAY_S` later, so that the checks count the member only
        once all agents do.
        """

        def on_outcome(outcome: OperationOutcome) -> None:
            if outcome.kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN):
                self._reinstate_member(name)
            else:
                reinstated = OperatorOrderAccepted("crew", drill_clock(), "on", (name,))
                self.loop.call_after(1000.0 * REINSTATEMENT_DELAY_S, lambda: self.events.append(reinstated))

        self.operator_client.execute(
            fleet_state.fleet_state_key(GROUP),
            fleet_state.reinstate_member(name, "a", boottime_s()),
            on_outcome,
            3_000.0,
        )

    def _resume_drains(self) -> None:
        """Send the order to resume drains.

        The history has the order before it is sent, as drains may begin before its outcome is known, and
        again after an outcome that is committed or unknown.
        """
        self.events.append(OperatorOrderAccepted("crew", drill_clock(), "resume"))

        def on_outcome(outcome: OperationOutcome) -> None:
            # A resume with an unknown outcome may be committed after a later halt and end that halt.
            if outcome.kind in (
                OutcomeKind.COMMITTED,
                OutcomeKind.UNKNOWN,
            ):
                self.events.append(OperatorOrderAccepted("crew", drill_clock(), "resume"))

        self.operator_client.execute(
            fleet_state.fleet_state_key(GROUP),
            fleet_state.resume_drains("crew", "drill", boottime_s()),
            on_outcome,
            3_000.0,
        )

    def _record_drain_announcements(self) -> None:
        """Record a drain once all routers that serve were notified of it; schedule the next check."""
        routers = [
            name
            for name, (kind, _) in self.members.items()
            if kind == "router" and self.availability_probe.serving.get(name)
        ]
        for node, (kind, _) in self.members.items():
            node_state = self.discovery.node_states.get(node)
            if kind != "cache" or node_state is None or node_state.state != "leaving":
                self._drain_announced_at.pop(node, None)
                continue
            notifications = [self.discovery.notified.get((router, node)) for router in routers]
            if node not in self._drain_announced_at and all(
                notification is not None and notification.state == "leaving" for notification in notifications
            ):
                self._drain_announced_at[node] = drill_clock()
                self.events.append(DrainAnnounced(node, drill_clock()))
        self.loop.call_after(30.0, self._record_drain_announcements)

    # -- the end of the run

    def _stop_faults(self) -> None:
        self.link_faults.heal_all()
        for process in self.processes.values():
            process.resume()
            process.start()

    def _cancel_all_drains(self) -> None:
        self.operator_client.execute(
            fleet_state.fleet_state_key(GROUP),
            drain_requests.cancel_drain(self.workers, "crew", boottime_s()),
            lambda outcome: None,
            3_000.0,
        )

    def _read_fleet_state(self) -> fleet_state.FleetState | None:
        outcomes: list[OperationOutcome] = []
        self.operator_client.execute(fleet_state.fleet_state_key(GROUP), None, outcomes.append, 3_000.0)
        self.run_until(lambda: bool(outcomes), 4.0)
        return (
            fleet_state.decode_fleet_state(outcomes[0].register)
            if outcomes and outcomes[0].kind is OutcomeKind.UNCHANGED
            else None
        )

    def _are_all_members_in(self) -> bool:
        if not all(self.availability_probe.serving.values()):
            return False
        fleet = self._read_fleet_state()
        if fleet is None or any(member.phase or member.permit for member in fleet.members.values()):
            return False
        if any(member.drain_request for member in fleet.members.values()):
            self._cancel_all_drains()
            return False
        return len(fleet.members) == len(self.members)

    def _stop_processes(self) -> None:
        self.processes["client"].kill()  # before the routers, so that each request it sent is answered
        for name in self.members:
            with contextlib.suppress(OSError, ValueError):
                agent_state = json.loads((self.folder / f"{name}.d" / "agent.json").read_text("utf-8"))
                self.processes[name].kill()
                os.kill(int(agent_state["pid"]), signal.SIGKILL)
        self.discovery.close()
        self.operator_client.close()
        super()._stop_processes()


def _describe_missing_members(fleet: fleet_state.FleetState | None) -> str:
    if fleet is None:
        return "the fleet state cannot be read"
    missing = [
        f"{name} {fleet_state.MemberPhase(member.phase).name.lower()}"
        for name, member in fleet.members.items()
        if member.phase or member.drain_request or member.lost
    ]
    return ", ".join(missing) or "all are in according to the fleet state"


def check_requests(
    events: list[AnyEvent],
    kill_times: dict[str, list[float]],
    router_by_address: dict[str, str] | None = None,
) -> tuple[list[Violation], Counter[str]]:
    """Check that no request is lost and that draining cache nodes get no new requests.

    Requests in flight in a router that the test killed may be lost. A cache node gets no new request later
    than 750 ms after all running routers were notified that it drains. A new connection that a router closes
    unread while it shuts down as ordered counts as refused, as the operators' page says. If these are more
    than one request in 200, they count as lost.

    Args:
        events: the history, in order of time.
        kill_times: the times at which the test killed routers, by their addresses.
        router_by_address: the names of routers by their addresses.
    """
    counts: Counter[str] = Counter()
    violations, unread_violations = list[Violation](), list[Violation]()
    announced_at: dict[str, float] = {}
    ending: set[str] = set()
    for event in events:
        if isinstance(event, AvailabilityChanged):
            (ending.add if not event.up and event.by == "program" else ending.discard)(event.process)
            if event.up:
                announced_at.pop(event.process, None)
        elif isinstance(event, ClientRequestCompleted):
            counts[f"answers {event.status}"] += 1
            hit_by_kill = any(
                event.begin - 0.1 <= at <= event.at + 0.1 for at in kill_times.get(event.router, ())
            )
            if event.status == 0 and not hit_by_kill:
                text = f"a request to {event.router} got no response"
                closed_unread = (
                    event.at - event.begin < UNREAD_CONNECTION_MAX_S
                    and (router_by_address or {}).get(event.router) in ending
                )
                (unread_violations if closed_unread else violations).append(
                    Violation("requests", text, (event,))
                )
        elif isinstance(event, DrainAnnounced):
            announced_at[event.process] = event.at
        elif isinstance(event, NodeRequestReceived):
            counts["sends"] += 1
            since = announced_at.get(event.process)
            if event.draining and since is not None and event.at - since > MAX_DRAIN_PROPAGATION_S:
                delay = f"{event.at - since:.2f} s after all routers had been notified that it drains"
                text = f"{event.process} got a request {delay}"
                violations.append(Violation("sends", text, (event,)))
    counts["doors closed unheard"] = len(unread_violations)
    request_count = sum(count for name, count in counts.items() if name.startswith("answers"))
    return violations + (unread_violations if 200 * len(unread_violations) > request_count else []), counts


def check_cold_starts(events: list[AnyEvent]) -> tuple[list[Violation], Counter[str]]:
    """Check that a restarted cache node gets no more requests than its warm-up permits.

    In each second of its warm-up it gets at most N + 3 x the square root of N + 3 requests. N is the mean
    number of requests that warm nodes get, times the share that the warm-up permits in that second. The
    square root is widened by the uncertainty of that mean.
    """
    request_times: dict[str, list[float]] = {}
    starts: list[tuple[float, str]] = []
    for event in events:
        if isinstance(event, NodeRequestReceived):
            request_times.setdefault(event.process, []).append(event.at)
        elif isinstance(event, FaultInjected) and event.fault == "cold start":
            starts.append((event.at, event.process))
    violations = []
    for at, node in starts:
        cold_nodes = {other for other_at, other in starts if at - WARM_UP_S < other_at < at + WARM_UP_S}
        for second in range(int(WARM_UP_S)):
            count = _count_within_second(request_times.get(node, []), at + second)
            # a node without requests in this second or in one beside it is out, and does not count as warm
            warm_counts = [
                _count_within_second(times, at + second)
                for other, times in request_times.items()
                if other not in cold_nodes
                and all(_count_within_second(times, at + second + offset) for offset in (-1.0, 0.0, 1.0))
            ]
            share = COLD_START_SHARE + (1.0 - COLD_START_SHARE) * (second + 1) / WARM_UP_S
            allowed = share * sum(warm_counts) / max(1, len(warm_counts))
            # the mean of the warm nodes is a sample, too: its variance adds to that of the count
            standard_deviation = (allowed * (1.0 + share / max(1, len(warm_counts)))) ** 0.5
            if warm_counts and count > allowed + 3.0 * standard_deviation + 3.0:
                text = (
                    f"{node} got {count} requests, second {second + 1} of a start; it may get {allowed:.1f}"
                )
                violations.append(Violation("cold", text))
    return violations, Counter({"cold starts": len(starts)})


def _count_within_second(timestamps: list[float], start: float) -> int:
    return sum(start <= at < start + 1.0 for at in timestamps)


def run_drill(drill: Drill, seed: int, folder: Path) -> DrillRun:
    """Run the test with one seed, in a folder that is emptied first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return DrainHarness(drill, seed, folder).run()
