"""Fault-injection test of leases on simulated processes.

Acceptors, clients and their drivers are the production code; network, disks and clocks are simulated.
"""

from __future__ import annotations

import random
from functools import partial

from ...consensus import messages as m
from ...consensus.messages import Quorum, QuorumMember
from . import invariants
from .fault_plan import FaultName, FaultPlan, FaultSchedule, FaultTargets
from .invariants import InvariantReport, Violation
from .simulated_faults import SimulatedFaultInjector
from .simulated_lease_client import LeaseSimulation, SimulatedLeaseClient
from .simulated_replica import SimulatedReplica
from .simulation import SimulationConfig

CLIENTS_START_AT_S = 0.1
FIRST_FAULT_AT_S = 0.5  # start of the fault plan
OLDER_STORAGE_TIME_S = 6.0  # extra time for faults if the plan restores a replica's older storage
QUIET_TTLS = 2.0  # time without faults before the end, in multiples of the lease's time to live
QUIET_TIME_S = 3.0  # added to QUIET_TTLS
TAKEOVER_MARGIN_S = 3.0  # added to the longest lease to get the deadline of a takeover after the last fault
REPLACEMENT_INTERVAL_MS = 700.0  # between checks for replicas that lost their storage


class SimulatedCluster(LeaseSimulation):
    """The replicas, lease clients, operator and fault plan of a test."""

    def __init__(self, config: SimulationConfig, seed: int, faults: FaultPlan | None = None) -> None:
        """Create the processes of a test, none of which has started.

        Args:
            config: the numbers of processes and tasks, the durations and the kinds of faults.
            seed: the seed of all random choices; a test with the same arguments repeats exactly.
            faults: the faults to inject; None draws a plan from the seed.
        """
        super().__init__(config, seed)
        self.tasks = [f"t{number}" for number in range(config.tasks)]
        # the last replica is a spare that can replace another one
        self.replicas = {
            name: SimulatedReplica(self, self.network, name, self._draw_clock_rate())
            for name in (f"w{number}" for number in range(config.replicas + 1))
        }
        self.network.servers = self.replicas
        self.clients = {
            name: self._create_client(name, self._draw_clock_rate()) for name in self.client_names
        }
        self.operator = SimulatedLeaseClient(self, "operator", 1.0, [])
        self.fault_injector = SimulatedFaultInjector(self, self.replicas, self.clients, self.operator)
        self.plan = faults or self._draw_fault_plan()

    def _draw_clock_rate(self) -> float:
        """Draw a clock rate: the slowest, the fastest or one between them."""
        skew = self.config.max_clock_skew
        slowest = 1.0 - skew
        fastest = 1.0 + skew
        return self.rng.choice((slowest, fastest, self.rng.uniform(slowest, fastest)))

    def _create_client(self, name: str, clock_rate: float) -> SimulatedLeaseClient:
        return SimulatedLeaseClient(self, name, clock_rate, self.tasks)

    def _draw_fault_plan(self) -> FaultPlan:
        config = self.config
        rng = random.Random(self.seed * 7 + 1)
        targets = FaultTargets(list(self.replicas), list(self.clients), self.tasks)
        schedule = FaultSchedule(config.duration_s, config.fault_interval_s, config.lease_ttl_s)
        return FaultPlan.draw(rng, targets, schedule, config.fault_kinds)

    # -- the operator

    def _replace_lost_replicas(self) -> None:
        """Replace a member that lost its storage by the same replica with its new storage, periodically."""
        client = self.operator.client
        assert client is not None
        client.poll_status()
        if client.quorum is not None:
            for name, replica in client.replica_statuses.items():
                storage_id = replica.status.storage_id
                knows_quorum = replica.status.quorum is not None
                if knows_quorum or client.quorum.has_member(name, storage_id):
                    continue
                if any(member.name == name for member in client.quorum.members):
                    members = tuple(
                        QuorumMember(name, storage_id) if member.name == name else member
                        for member in client.quorum.members
                    )
                    client.reconfigure(members, lambda _quorum: None)
                    break
        self.operator.call_after(REPLACEMENT_INTERVAL_MS, self._replace_lost_replicas)

    def _bootstrap_quorum(self) -> None:
        """Start all replicas and install the first epoch, of which the last replica is not a member."""
        members = []
        for replica in self.replicas.values():
            replica.start()
            assert replica.disk is not None
            members.append(QuorumMember(replica.name, replica.disk.storage_id))
        members.pop()
        quorum = Quorum(self.draw_random_id(), 1, tuple(members))
        for replica in self.replicas.values():
            replica.handle_request(m.InstallEpochRequest(1, quorum, {}), lambda _reply: None)

    # -- running

    def run(self) -> InvariantReport:
        """Run the test and check its history."""
        self._bootstrap_quorum()
        self.schedule(CLIENTS_START_AT_S, None, self._start_clients)
        self._schedule_faults(FIRST_FAULT_AT_S)
        has_older_storage = any(fault.kind is FaultName.OLDER_STORAGE for fault in self.plan.faults)
        faults_stop_at = (
            FIRST_FAULT_AT_S + self.plan.ends_at + (OLDER_STORAGE_TIME_S if has_older_storage else 0.0)
        )
        self.schedule(faults_stop_at, None, self._stop_faults)
        self.run_until(faults_stop_at + QUIET_TTLS * self.config.lease_ttl_s + QUIET_TIME_S)
        self._record_open_operations()
        report = invariants.check_invariants(self.events)
        report.violations += self._check_final_state(faults_stop_at)
        self._count_injected_faults(report)
        return report

    def _schedule_faults(self, first_at: float) -> None:
        for number, fault in enumerate(self.plan.faults):
            self.schedule(first_at + fault.at, None, partial(self.fault_injector.inject, number, fault))

    def _record_open_operations(self) -> None:
        """Record unfinished operations, as other clients may have read their values."""
        for process in (self.operator, *self.clients.values()):
            process.record_open_operations()

    def _count_injected_faults(self, report: InvariantReport) -> None:
        for kind, count in self.fault_injector.counts.items():
            report.counts[f"fault {kind}"] += count

    def _start_clients(self) -> None:
        self.operator.start()
        self._replace_lost_replicas()
        for client in self.clients.values():
            client.start()

    def _stop_faults(self) -> None:
        """End all faults that are active."""
        self.fault_injector.stop()

    def _check_final_state(self, faults_stopped_at: float) -> list[Violation]:
        """Check that each task has a holder within a deadline after the last fault."""
        config = self.config
        deadline_s = (
            config.lease_ttl_s * (1.0 + config.drift) / (1.0 - config.max_clock_skew) + TAKEOVER_MARGIN_S
        )
        return [
            violation
            for task in self.tasks
            for violation in invariants.check_takeover(self.events, task, faults_stopped_at, deadline_s)
        ]


def run_drill(config: SimulationConfig, seed: int) -> InvariantReport:
    """Run the test with one seed."""
    return SimulatedCluster(config, seed).run()
