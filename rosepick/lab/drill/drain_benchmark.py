"""What drains cost: messages and processor time of a witness with many members, standing still and amid a
drain, and the time from a permit that has ended to the next one.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterator

from ...coordination.agent_driver import AgentDriver
from ...coordination.agent_driver_config import AgentDriverConfig
from ...coordination.quorum_client import QuorumClient, tcp_connections
from ...fleet import failure_detector
from ...fleet import fleet_state as book
from ...fleet.agent import Agent, MemberAction, MemberStatus
from ...fleet.agent import AgentPolicy as AgentTerms
from ...fleet.disruption_budget import DisruptionBudget, Limit
from ...fleet.failure_detector import HealthReport
from ...leases.fencing import FencingGuard
from ...leases.lease_client import LeaseConfig
from .lease_benchmark import TrafficCounter, _cpu_seconds, _run_until, _running_quorum
from .processes import FIRST_PORT, unique_loopback_address
from .simulated_drains import InMemoryAgentState

CLIENT_COUNT = 10  # connections that all agents of the measurement share
MEMBER_LIMIT = Limit(most=5, share=1.0, zone_share=1.0)


class InstantMember:
    """A member that does at once what it is told."""

    def __init__(self) -> None:
        self.up = True

    def read_status(self) -> MemberStatus:
        """How it is."""
        return MemberStatus(self.up, self.up)

    def apply_action(self, action: MemberAction) -> None:
        """Start it or stop it."""
        if action in (MemberAction.START, MemberAction.STOP):
            self.up = action is MemberAction.START

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        """What is told of it."""
        return HealthReport(run_id, sequence, self.up)


def measure_drains(count: int, heartbeat_ms: float, seconds: float) -> Iterator[str]:
    """So many members with an agent each; milliseconds between their reports."""
    with _running_quorum(3) as (_, loop, processes):
        ends = {name: (unique_loopback_address(), FIRST_PORT + n) for n, name in enumerate(processes)}
        scales = [TrafficCounter() for _ in range(CLIENT_COUNT)]
        clients = [
            QuorumClient(loop, scale.counting(tcp_connections(loop, ends, b"")), random.Random(number))
            for number, scale in enumerate(scales)
        ]
        budget = DisruptionBudget(MEMBER_LIMIT, MEMBER_LIMIT)
        # all at once, as it is no measurement of a thousand that come in one second
        names = [f"m{number:04}" for number in range(count)]
        members = {name: book.FleetMember(0, f"z{number % 4}") for number, name in enumerate(names)}
        made = book.encode_fleet_state(book.FleetState(budget_digest=budget.digest(), members=members))
        begun: list[object] = []
        clients[0].execute(book.fleet_state_key("measured"), lambda register: made, begun.append, 10_000.0)
        _run_until(loop, lambda: bool(begun))
        config = AgentDriverConfig(
            "measured",
            LeaseConfig(10_000.0),
            failure_detector.FailureDetectorPolicy(report_timeout_ms=4.0 * heartbeat_ms),
            heartbeat_ms,
        )
        drivers = []
        for number in range(count):
            machine = Agent(
                f"m{number:04}",
                book.MemberKind.ROUTER,
                f"z{number % 4}",
                1000,
                budget,
                AgentTerms(min_serving_ms=100.0),
                InMemoryAgentState(),
            )
            guard = FencingGuard(InMemoryAgentState().tokens)
            client = clients[number % CLIENT_COUNT]
            drivers.append(AgentDriver(client, machine, InstantMember(), guard, config))
        first = drivers[0].agent

        lines = set[book.AuditEntry]()

        def all_in() -> bool:
            return first.fleet_state is not None and len(first.fleet_state.members) == count

        _run_until(loop, all_in, 180.0)
        for what in ("standing still", "amid a drain"):
            if what.startswith("amid"):
                order = book.request_drain(names[:40], "lab", "x", time.time())
                clients[0].execute(book.fleet_state_key("measured"), order, lambda o: None, 5e3)
            used = {name: _cpu_seconds(one) for name, one in processes.items()}
            asked, bytes_ = (
                sum(one.counters.operations for one in clients),
                sum(scale.bytes_per_replica() for scale in scales),
            )
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                loop.step(0.05)
                if what.startswith("amid") and first.fleet_state is not None:
                    lines.update(first.fleet_state.history)
                    out = [
                        n
                        for n, m in first.fleet_state.members.items()
                        if m.phase == book.MemberPhase.OUT and m.drain_request
                    ]
                    if out:
                        clients[1].execute(
                            book.fleet_state_key("measured"),
                            book.cancel_drain(out, "lab", time.time()),
                            lambda o: None,
                            5e3,
                        )
                        loop.step(0.2)
            spent = max(_cpu_seconds(one) - used[name] for name, one in processes.items()) / seconds
            rate = (sum(one.counters.operations for one in clients) - asked) / seconds
            sent = (sum(scale.bytes_per_replica() for scale in scales) - bytes_) / seconds / 1024.0
            load = f"{rate:.0f} operations/s, {100 * spent:.1f}% of a core, {sent:.0f} KiB/s a witness"
            yield f"{count} members, {what}: {load}"
        yield _format_permit_waits(lines)
        size = len(book.encode_fleet_state(first.fleet_state)) if first.fleet_state else 0
        yield f"{count} members: the ledger is {size / 1024:.1f} KiB"


def _format_permit_waits(lines: set[book.AuditEntry]) -> str:
    """How long after a permit's end the next one was taken, by the ledger's history."""
    waits, free = [], 0.0
    for line in sorted(lines, key=lambda line: line.timestamp_s):
        if "permit" in line.message and "ended" in line.message:
            free = line.timestamp_s
        elif line.message.startswith("permit ") and free:
            waits.append(line.timestamp_s - free)
            free = 0.0
    waits.sort()
    if not waits:
        return "no permit was waited for"
    return f"from a permit's end to the next: {len(waits)} times, median {waits[len(waits) // 2]:.2f} s"
