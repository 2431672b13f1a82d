"""Measures the cost of drains on real replicas with many members.

It measures the operations, bytes and processor time of a replica without and during a drain, and the time
from the end of a permit to the next permit.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterator

from ...coordination.agent_driver import AgentDriver
from ...coordination.agent_driver_config import AgentDriverConfig
from ...coordination.quorum_client import QuorumClient, tcp_connection_factory
from ...fleet import drain_requests, failure_detector, fleet_state
from ...fleet.agent import Agent, AgentPolicy, MemberAction, MemberStatus
from ...fleet.disruption_budget import DisruptionBudget, Limit
from ...fleet.failure_detector import HealthReport
from ...leases.fencing import FencingGuard
from ...leases.lease_client import LeaseConfig
from .lease_benchmark import TrafficCounter, _cpu_seconds, _run_until, _running_quorum
from .processes import FIRST_PORT, unique_loopback_address
from .simulated_member import InMemoryAgentState

CLIENT_COUNT = 10  # quorum clients that all agents share
MEMBER_LIMIT = Limit(most=5, share=1.0, zone_share=1.0)


class InstantMember:
    """Simulates a member that applies each action at once."""

    def __init__(self) -> None:
        self.up = True

    def read_status(self) -> MemberStatus:
        """Return the status: the member runs and serves, or neither."""
        return MemberStatus(self.up, self.up)

    def apply_action(self, action: MemberAction) -> None:
        """Start or stop the member; other actions have no effect."""
        if action in (MemberAction.START, MemberAction.STOP):
            self.up = action is MemberAction.START

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        """Return a health report of the member."""
        return HealthReport(run_id, sequence, self.up)


def measure_drains(count: int, heartbeat_ms: float, seconds: float) -> Iterator[str]:
    """Measure `count` members with an agent each and yield lines of results.

    Args:
        count: the number of members.
        heartbeat_ms: the interval between two reports of an agent.
        seconds: the length of each measurement.
    """
    with _running_quorum(3) as (_, loop, processes):
        endpoints = {name: (unique_loopback_address(), FIRST_PORT + n) for n, name in enumerate(processes)}
        traffic_counters = [TrafficCounter() for _ in range(CLIENT_COUNT)]
        clients = [
            QuorumClient(
                loop,
                traffic.wrap_connections(tcp_connection_factory(loop, endpoints, b"")),
                random.Random(number),
            )
            for number, traffic in enumerate(traffic_counters)
        ]
        budget = DisruptionBudget(MEMBER_LIMIT, MEMBER_LIMIT)
        # one change adds all members: the cost of a thousand that join within a second is not measured
        names = [f"m{number:04}" for number in range(count)]
        members = {name: fleet_state.FleetMember(0, f"z{number % 4}") for number, name in enumerate(names)}
        initial_state = fleet_state.encode_fleet_state(
            fleet_state.FleetState(budget_digest=budget.digest(), members=members)
        )
        outcomes: list[object] = []
        clients[0].execute(
            fleet_state.fleet_state_key("measured"), lambda register: initial_state, outcomes.append, 10_000.0
        )
        _run_until(loop, lambda: bool(outcomes))
        config = AgentDriverConfig(
            "measured",
            LeaseConfig(10_000.0),
            failure_detector.FailureDetectorPolicy(report_timeout_ms=4.0 * heartbeat_ms),
            heartbeat_ms,
        )
        drivers = []
        for number in range(count):
            agent = Agent(
                f"m{number:04}",
                fleet_state.MemberKind.ROUTER,
                f"z{number % 4}",
                1000,
                budget,
                AgentPolicy(min_serving_ms=100.0),
                InMemoryAgentState(),
            )
            guard = FencingGuard(InMemoryAgentState().tokens)
            client = clients[number % CLIENT_COUNT]
            drivers.append(AgentDriver(client, agent, InstantMember(), guard, config))
        first_agent = drivers[0].agent

        audit_entries = set[fleet_state.AuditEntry]()

        def has_all_members() -> bool:
            return first_agent.fleet_state is not None and len(first_agent.fleet_state.members) == count

        _run_until(loop, has_all_members, 180.0)
        for load in ("without drains", "during a drain"):
            if load.startswith("during"):
                drain_change = drain_requests.request_drain(names[:40], "lab", "x", time.time())
                clients[0].execute(fleet_state.fleet_state_key("measured"), drain_change, lambda o: None, 5e3)
            cpu_before = {name: _cpu_seconds(process) for name, process in processes.items()}
            operations_before, bytes_before = (
                sum(client.counters.operations for client in clients),
                sum(traffic.bytes_per_replica() for traffic in traffic_counters),
            )
            end_at = time.monotonic() + seconds
            while time.monotonic() < end_at:
                loop.step(0.05)
                if load.startswith("during") and first_agent.fleet_state is not None:
                    audit_entries.update(first_agent.fleet_state.history)
                    out_members = [
                        name
                        for name, member in first_agent.fleet_state.members.items()
                        if member.phase == fleet_state.MemberPhase.OUT and member.drain_request
                    ]
                    if out_members:
                        clients[1].execute(
                            fleet_state.fleet_state_key("measured"),
                            drain_requests.cancel_drain(out_members, "lab", time.time()),
                            lambda o: None,
                            5e3,
                        )
                        loop.step(0.2)
            cpu_share = (
                max(_cpu_seconds(process) - cpu_before[name] for name, process in processes.items()) / seconds
            )
            operations_per_s = (
                sum(client.counters.operations for client in clients) - operations_before
            ) / seconds
            kib_per_s = (
                (sum(traffic.bytes_per_replica() for traffic in traffic_counters) - bytes_before)
                / seconds
                / 1024.0
            )
            cost = (
                f"{operations_per_s:.0f} operations/s, {100 * cpu_share:.1f}% of a core, "
                f"{kib_per_s:.0f} KiB/s a witness"
            )
            yield f"{count} members, {load}: {cost}"
        yield _format_permit_waits(audit_entries)
        size = len(fleet_state.encode_fleet_state(first_agent.fleet_state)) if first_agent.fleet_state else 0
        yield f"{count} members: the fleet state is {size / 1024:.1f} KiB"


def _format_permit_waits(entries: set[fleet_state.AuditEntry]) -> str:
    """Format the times from the end of a permit to the next permit, by the history of the fleet state."""
    waits, ended_at = [], 0.0
    for entry in sorted(entries, key=lambda entry: entry.timestamp_s):
        if "permit" in entry.message and "ended" in entry.message:
            ended_at = entry.timestamp_s
        elif entry.message.startswith("permit ") and ended_at:
            waits.append(entry.timestamp_s - ended_at)
            ended_at = 0.0
    waits.sort()
    if not waits:
        return "no permit was taken after the end of another"
    return f"from a permit's end to the next: {len(waits)} times, median {waits[len(waits) // 2]:.2f} s"
