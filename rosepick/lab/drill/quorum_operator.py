"""Acts as the operator of a test on real processes: founds the quorum and replaces members by commands."""

from __future__ import annotations

import shutil
import subprocess
from functools import partial

from ..log_terms import line_has_event
from .drill_run import DrillRunError
from .fault_handlers import FaultHandler
from .fault_plan import Fault, FaultName
from .process_cluster import ProcessCluster

START_TIMEOUT_S = 30.0  # until a replica has started or a command has ended, on a busy machine
REPLACEMENT_INTERVAL_MS = 400.0  # between two checks for replicas that have lost their storage
COMMAND_POLL_INTERVAL_MS = 100.0  # between two checks whether a command has ended
MAX_COMMAND_POLLS = 120


class QuorumOperator:
    """Runs commands that change the quorum, one at a time, and forced releases of leases."""

    def __init__(self, cluster: ProcessCluster) -> None:
        self._cluster = cluster
        self._command: subprocess.Popen[bytes] | None = None
        self._joining_replica: str | None = None  # the spare one, once another replica was removed
        self._is_joining_command = False  # whether the last command adds the joining replica

    def handlers(self) -> dict[FaultName, FaultHandler]:
        """Return the handlers of all faults that consist of an operator's command."""
        return {
            FaultName.SWAP_REPLICA: self._swap_replica,
            FaultName.FORCE_RELEASE: self._force_release,
        }

    def bootstrap_quorum(self) -> None:
        """Start all replicas and found the quorum.

        Raises:
            DrillRunError: a replica did not start, or the quorum was not founded.
        """
        cluster = self._cluster
        for name in cluster.replicas:
            cluster.processes[name].start()
        for name in cluster.replicas:
            has_started = partial(cluster.has_logged, name, "replica_started")
            if not cluster.run_until(has_started, START_TIMEOUT_S):
                raise DrillRunError(f"{name} did not start: see {cluster.processes[name].log_path}")
        command = cluster.start_operator_command("witness", "found")
        if not cluster.run_until(lambda: command.poll() is not None, START_TIMEOUT_S) or command.returncode:
            raise DrillRunError(f"the quorum was not founded: see {cluster.folder / 'operator.log'}")
        shutil.copy(cluster.folder / "all.toml", cluster.folder / "operator.toml")

    def is_changing_quorum(self) -> bool:
        """Return whether a command runs, a replica has yet to join or a member has lost its storage."""
        members = [name for name in self._cluster.replicas if name != self._cluster.spare_replica]
        return (
            self._is_busy() or self._joining_replica is not None or any(map(self._has_new_storage, members))
        )

    def replace_lost_replicas(self) -> None:
        """Replace members that have new storages, one at a time, and schedule the next check."""
        cluster = self._cluster
        waiting = [
            name for name in cluster.replicas if name != cluster.spare_replica and self._has_new_storage(name)
        ]
        if self._joining_replica is not None:
            waiting = [self._joining_replica]
            if self._command is not None and self._command.poll() == 0 and self._is_joining_command:
                self._joining_replica = None
                self._is_joining_command = False
                waiting = []
        if waiting and not self._is_busy():
            self._command = cluster.start_operator_command("witness", "replace", waiting[0])
            self._is_joining_command = waiting[0] == self._joining_replica
            cluster.counts["operator replaced"] += 1
        cluster.loop.call_after(REPLACEMENT_INTERVAL_MS, self.replace_lost_replicas)

    def stop(self) -> None:
        """Kill the command that runs, if there is one."""
        if self._command is not None:
            self._command.kill()
            self._command.wait()

    def _is_busy(self) -> bool:
        return self._command is not None and self._command.poll() is None

    def _has_new_storage(self, name: str) -> bool:
        """Return whether a replica runs with a new or an outdated storage, by its log."""
        process = self._cluster.processes[name]
        path = process.log_path
        lines = path.read_text("utf-8", "replace").splitlines() if path.exists() else []
        for line in reversed(lines):
            if line_has_event(line, "replica_voting") or line_has_event(line, "replica_epoch_installed"):
                return False
            if line_has_event(line, "replica_storage_outdated"):
                return process.running
            if line_has_event(line, "replica_started"):
                return " epoch=0 " in line and process.running
        return False

    def _swap_replica(self, _number: int, fault: Fault) -> None:
        """Remove a running replica from the quorum, and let the spare one join instead."""
        cluster = self._cluster
        removed = fault.target[0]
        if removed == cluster.spare_replica:
            return
        command = cluster.start_operator_command("witness", "remove", removed)
        self._command = command

        def await_removal(polls_left: int = MAX_COMMAND_POLLS) -> None:
            if command.poll() is None and polls_left:
                cluster.loop.call_after(COMMAND_POLL_INTERVAL_MS, lambda: await_removal(polls_left - 1))
            elif command.returncode == 0:
                cluster.counts["swaps"] += 1
                self._joining_replica = cluster.spare_replica
                cluster.spare_replica = removed

        await_removal()

    def _force_release(self, _number: int, fault: Fault) -> None:
        options = ["--force", "--why", "a fault of the drill"]
        self._cluster.start_operator_command("lease", "release", fault.target[0], *options)
