"""The last part of a test of leases: a holder is killed and not restarted, and all registers are read."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ...consensus.proposer import OperationOutcome
from ...leases import lease_record
from ...net.boot_clock import boottime_s
from ...net.event_loop import EventLoop
from . import invariants
from .event_log import drill_clock
from .history import AnyEvent, FaultInjected
from .instrumented_client import InstrumentedQuorumClient
from .invariants import Violation
from .process_cluster import ProcessCluster

READ_OPERATION_TIMEOUT_MS = 4_000.0  # of the quorum client
READ_TIMEOUT_S = 6.0  # until an outcome arrives, the client's timeout included
READ_STEP_S = 0.01
TAKEOVER_TTLS = 1.1  # until the lease of a killed holder is free, in multiples of its time to live
TAKEOVER_MARGIN_S = 1.0
QUEUED_CLIENT_TIME_S = 0.15  # for each client in the queue, which may have ended
WAIT_AFTER_DEADLINE_S = 1.0


@dataclass(frozen=True, slots=True)
class _ExpectedTakeover:
    """A task whose holder was killed at `since`, and the time within which another one has to act."""

    task: str
    since: float
    killed_owner: int
    deadline_s: float


class TakeoverCheck:
    """Kills a lease holder, reads all registers, and checks that each task has a holder in time."""

    def __init__(self, cluster: ProcessCluster) -> None:
        self._cluster = cluster
        self._expected: _ExpectedTakeover | None = None

    def kill_lease_holder(self) -> None:
        """Kill one lease holder without a restart, and wait until another should have taken over."""
        cluster = self._cluster
        client = self._create_client()
        for task in cluster.tasks:
            record = self._read_lease_record(client, task)
            if record.is_held and record.owner_name in cluster.workers:
                cluster.processes[record.owner_name].kill()
                deadline_s = self._deadline_s(len(record.queue))
                self._expected = _ExpectedTakeover(task, drill_clock(), record.owner_id, deadline_s)
                cluster.events.append(FaultInjected(record.owner_name, drill_clock(), "kill", "for good"))
                break
        client.close()
        if self._expected is not None:
            cluster.run_for(self._expected.deadline_s + WAIT_AFTER_DEADLINE_S)

    def read_all_registers(self) -> None:
        """Read each register, so that the history shows if an acknowledged change was lost."""
        client = self._create_client()
        for task in self._cluster.tasks:
            self._read_lease_record(client, task)
        client.close()

    def check(self, events: Sequence[AnyEvent], faults_stopped_at: float) -> list[Violation]:
        """Check that each task had a holder after the faults, and the killed holder a successor."""
        cluster = self._cluster
        deadline_s = self._deadline_s(len(cluster.processes)) + cluster.drill.faults.quiet
        violations: list[Violation] = []
        for task in cluster.tasks:
            violations += invariants.check_takeover(events, task, faults_stopped_at, deadline_s)
        expected = self._expected
        if expected is not None:
            violations += invariants.check_takeover(
                events, expected.task, expected.since, expected.deadline_s, expected.killed_owner
            )
            cluster.counts["takeovers"] += 1
        return violations

    def _deadline_s(self, queued_clients: int) -> float:
        ttl_s = self._cluster.drill.leases.ttl
        return TAKEOVER_TTLS * ttl_s + TAKEOVER_MARGIN_S + QUEUED_CLIENT_TIME_S * queued_clients

    def _create_client(self) -> InstrumentedQuorumClient:
        loop = EventLoop(boottime_s)
        rng = random.Random(self._cluster.rng.getrandbits(64))
        return self._cluster.create_client("rig", loop, rng)

    def _read_lease_record(self, client: InstrumentedQuorumClient, task: str) -> lease_record.LeaseRecord:
        """Read the record of a lease; return an empty one if the quorum does not answer in time."""
        outcomes: list[OperationOutcome] = []
        client.execute(lease_record.register_key(task), None, outcomes.append, READ_OPERATION_TIMEOUT_MS)
        deadline = drill_clock() + READ_TIMEOUT_S
        while not outcomes and drill_clock() < deadline:
            client.loop.step(READ_STEP_S)  # type: ignore[attr-defined]
            self._cluster.loop.step(0.0)
        return lease_record.decode_record(outcomes[0].register) if outcomes else lease_record.LeaseRecord()
