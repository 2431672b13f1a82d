"""Runs the fault-injection test of leases on real processes of the program."""

from __future__ import annotations

import shutil
from collections.abc import Sequence
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random

from . import history, invariants
from .drill_file import Drill
from .drill_run import DrillRun, DrillRunError
from .event_log import drill_clock
from .fault_handlers import FaultHandlers
from .fault_plan import QUORUM_CHANGING_FAULTS, Fault, FaultName, FaultPlan, FaultSchedule, FaultTargets
from .history import AnyEvent, FaultInjected
from .invariants import InvariantReport, LeaseInvariant, Violation
from .link_fault_injector import LinkFaultInjector
from .process_cluster import ProcessCluster
from .quorum_operator import START_TIMEOUT_S, QuorumOperator
from .storage_fault_injector import StorageFaultInjector
from .takeover_check import TakeoverCheck

RUNNER_RESTART_INTERVAL_MS = 500.0
QUIET_TTLS = 2.0  # added to the quiet time after the last fault, in multiples of a lease's time to live


class LeaseHarness(ProcessCluster):
    """Runs one test: starts the processes, injects the faults of a plan and checks the history."""

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        super().__init__(drill, seed, folder)
        self.measurements: dict[str, float] = {}
        self.quorum_operator = QuorumOperator(self)
        self.link_faults = LinkFaultInjector(self)
        self.storage_faults = StorageFaultInjector(self, self.link_faults)
        self.fault_handlers = FaultHandlers(
            {
                FaultName.KILL: self._kill,
                FaultName.RESTART_ALL: self._kill,
                FaultName.PAUSE: self._pause,
                **self.quorum_operator.handlers(),
                **self.link_faults.handlers(),
                **self.storage_faults.handlers(),
            }
        )

    # -- the run

    def run(self) -> DrillRun:
        """Run the whole test.

        Raises:
            DrillRunError: the processes did not start.
        """
        takeover = TakeoverCheck(self)
        try:
            self._start_processes()
            started_at = drill_clock()
            plan = self._draw_fault_plan()
            self._schedule_faults(plan)
            self._restart_ended_runners()
            self.quorum_operator.replace_lost_replicas()
            self.run_for(plan.ends_at)
            self._stop_faults()
            faults_stopped_at = drill_clock()
            self.run_for(self.drill.faults.quiet + QUIET_TTLS * self.drill.leases.ttl)
            takeover.kill_lease_holder()
            takeover.read_all_registers()
        finally:
            self._stop_processes()
        events = self._read_history()
        report = invariants.check_invariants(events)
        report.violations += takeover.check(events, faults_stopped_at)
        report.violations += self.storage_faults.check_log_lines()
        self._finish_report(report)
        self.measurements["seconds"] = drill_clock() - started_at
        return DrillRun(report, events, self.folder, self.seed, self.measurements)

    def _read_history(self, other_events: Sequence[AnyEvent] = ()) -> list[AnyEvent]:
        """Merge the events of all processes, those of the harness and `other_events` in order of time."""
        recorded = history.read_events([*self.folder.glob("*.events")])
        return sorted([*recorded, *self.events, *other_events], key=lambda event: event.at)

    def _finish_report(self, report: InvariantReport) -> None:
        """Add the counts of the harness and of the links, and check the minimum counts of the drill file."""
        report.counts += self.counts
        for link in self.links.values():
            report.counts.update({f"messages {kind}": count for kind, count in link.counts.items()})
        report.violations += self._check_minimum_counts(report)

    def _draw_fault_plan(self) -> FaultPlan:
        """Draw the fault plan, without pauses of runners.

        A command under `lease run` continues while its runner, which would end it, is paused. Only the
        fencing guard protects the resource then.
        """
        settings = self.drill.faults
        plan = FaultPlan.draw(
            Random(self.seed * 7 + 1),
            FaultTargets(self.replicas, [*self.workers, *self.runners], self.tasks),
            FaultSchedule(settings.seconds, settings.each, self.drill.leases.ttl),
            settings.kinds,
        )
        faults = [
            fault
            for fault in plan.faults
            if not (fault.kind is FaultName.PAUSE and fault.target[0] in self.runners)
        ]
        return replace(plan, faults=faults)

    def _schedule_faults(self, plan: FaultPlan) -> None:
        for number, fault in enumerate(plan.faults):
            self.loop.call_after(1000.0 * fault.at, partial(self._inject, number, fault))

    def _start_processes(self) -> None:
        """Start all processes and wait for the first lease.

        Raises:
            DrillRunError: a replica did not start, the quorum was not founded or no worker acquired a
                lease in time.
        """
        self.processes["resource"].start()
        self.quorum_operator.bootstrap_quorum()
        for name in [*self.workers, *self.runners]:
            self.processes[name].start()
        if not self.run_until(self._has_lease_holder, START_TIMEOUT_S):
            raise DrillRunError("no worker acquired a lease")

    def _has_lease_holder(self) -> bool:
        return any(self.has_logged(name, "lease_held") for name in self.workers)

    def _restart_ended_runners(self) -> None:
        """Restart the runners whose command has ended, and schedule the next check."""
        for name in self.runners:
            process = self.processes[name]
            if not process.running and not process.stopped:
                process.start()
        self.loop.call_after(RUNNER_RESTART_INTERVAL_MS, self._restart_ended_runners)

    def _stop_faults(self) -> None:
        """End all faults and start all processes that do not run, except runners."""
        self.link_faults.heal_all()
        for name, process in self.processes.items():
            process.resume()
            if name not in self.runners:
                process.start()

    def _check_minimum_counts(self, report: InvariantReport) -> list[Violation]:
        return [
            Violation(
                LeaseInvariant.MINIMUM_COUNTS.value,
                f"{name}: {report.counts[name]}, at least {minimum} are required",
            )
            for name, minimum in self.drill.least.items()
            if report.counts[name] < minimum
        ]

    def _stop_processes(self) -> None:
        self.kill_processes()
        self.quorum_operator.stop()
        self.close()

    # -- faults

    def _inject(self, number: int, fault: Fault) -> None:
        """Inject a fault, or skip it while it could cost the quorum the majority of its storages."""
        if self._must_skip(fault):
            self.counts["faults put off"] += 1
            return
        self.counts[f"fault {fault.kind}"] += 1
        target = "-".join(fault.target)
        self.events.append(FaultInjected(target, drill_clock(), fault.kind.value, f"{fault.length:.2f} s"))
        self.fault_handlers.inject(number, fault)

    def _must_skip(self, fault: Fault) -> bool:
        clients_and_tasks = {*self.workers, *self.runners, *self.tasks}
        if self.storage_faults.restoring_replica is not None and not set(fault.target) <= clients_and_tasks:
            return True
        # a change of the quorum requires that a majority of its members keeps its storages
        return fault.kind in QUORUM_CHANGING_FAULTS and self.quorum_operator.is_changing_quorum()

    def _kill(self, _number: int, fault: Fault) -> None:
        for name in fault.target:
            process = self.processes[name]
            process.kill()
            self.loop.call_after(1000.0 * fault.length, process.start)

    def _pause(self, _number: int, fault: Fault) -> None:
        process = self.processes[fault.target[0]]
        process.pause()
        self.loop.call_after(1000.0 * fault.length, process.resume)


def run_drill(drill: Drill, seed: int, folder: Path) -> DrillRun:
    """Run the test with one seed, in a folder that is emptied first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return LeaseHarness(drill, seed, folder).run()
