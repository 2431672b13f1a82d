"""Injects faults into the storages of real replicas, and checks that the replicas detect them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from .fault_handlers import FaultHandler
from .fault_plan import Fault, FaultName
from .invariants import LeaseInvariant, Violation
from .link_fault_injector import LinkFaultInjector
from .process_cluster import ProcessCluster
from .processes import copy_storage, empty_storage, restore_storage

RESTART_ANNOUNCE_S = 2.2  # until the other replicas, which check each second, know of a start
OLDER_STORAGE_ISOLATION_S = 3.0  # how long replicas that saw later votes are unreachable
OLDER_STORAGE_TIME_MS = 4_000.0  # until other faults of replicas and links continue
VOTING_POLL_INTERVAL_MS = 100.0
MAX_VOTING_POLLS = 100
MIN_FULL_DISK_S = 0.5  # minimum time between filling a disk and checking for the exit
FULL_DISK_EXIT_STATUS = 3


class StorageFaultInjector:
    """Empties, copies, restores and fills the storages of replicas.

    `replica` is the name of the replica whose older storage is being restored, or None. Until the restore
    ends, no other faults of replicas and links may be injected.
    """

    def __init__(self, cluster: ProcessCluster, links: LinkFaultInjector) -> None:
        self.restoring_replica: str | None = None
        self._cluster = cluster
        self._links = links
        self._expected_log_lines: list[Callable[[], Violation | None]] = []

    def handlers(self) -> dict[FaultName, FaultHandler]:
        """Return the handlers of all storage faults."""
        return {
            FaultName.EMPTY_STORAGE: self._empty,
            FaultName.TWO_EMPTY_STORAGES: self._empty_two,
            FaultName.COPIED_STORAGE: self._replace_by_copy,
            FaultName.OLDER_STORAGE: self._restore_older,
            FaultName.FULL_DISK: self._fill_disk,
        }

    def check_log_lines(self) -> list[Violation]:
        """Return a violation for each fault that a replica did not log as required."""
        results = [check() for check in self._expected_log_lines]
        return [violation for violation in results if violation is not None]

    def _empty(self, _number: int, fault: Fault) -> None:
        name = fault.target[0]
        process = self._cluster.processes[name]
        process.kill()
        empty_storage(self._cluster.folder / f"{name}.d")
        self._cluster.loop.call_after(1000.0 * fault.length, process.start)

    def _empty_two(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self._empty(number, replace(fault, target=(name,)))

    def _replace_by_copy(self, _number: int, fault: Fault) -> None:
        """Replace the storage by a copy, which is a different file."""
        name = fault.target[0]
        process = self._cluster.processes[name]
        folder = self._cluster.folder / f"{name}.d"
        copy = self._cluster.folder / f"{name}.old"
        process.kill()
        copy_storage(folder, copy)
        restore_storage(copy, folder, in_place=False)
        self._cluster.loop.call_after(1000.0 * fault.length, process.start)
        self._expect_log_line(
            name, "replica_storage_copied", "a copied folder was accepted as the replica's own"
        )

    def _restore_older(self, _number: int, fault: Fault) -> None:
        """Restore an older copy into the same file, after a start that the other replicas know of.

        Half of the other replicas are isolated while it runs, so that its vote is needed. The other half,
        which knows the values chosen by that vote, is isolated after the restore.
        """
        cluster = self._cluster
        name = fault.target[0]
        process = cluster.processes[name]
        self.restoring_replica = name
        self._links.heal_all()
        for other in cluster.replicas:
            cluster.processes[other].resume()
            cluster.processes[other].start()
        folder = cluster.folder / f"{name}.d"
        copy = cluster.folder / f"{name}.old"
        process.kill()
        copy_storage(folder, copy)
        process.start()
        others = [other for other in cluster.replicas if other not in (name, cluster.spare_replica)]
        cluster.rng.shuffle(others)
        half = len(others) // 2
        self._links.isolate_replicas(others[:half], RESTART_ANNOUNCE_S)

        def restore_copy() -> None:
            process.kill()
            restore_storage(copy, folder, in_place=True)
            self._links.isolate_replicas(others[half:], OLDER_STORAGE_ISOLATION_S)
            process.start()
            self._expect_log_line(
                name,
                "replica_storage_outdated",
                "an older copy of a folder was accepted as the replica's own",
            )
            cluster.loop.call_after(OLDER_STORAGE_TIME_MS, self._finish_restore)

        log_offset = process.log_path.stat().st_size
        has_voted = partial(cluster.has_logged, name, "replica_voting", log_offset)
        self._run_once_announced(has_voted, restore_copy)

    def _run_once_announced(
        self, has_voted: Callable[[], bool], callback: Callable[[], None], polls_left: int = MAX_VOTING_POLLS
    ) -> None:
        """Call `callback` after a replica votes and all other replicas have learned of its start."""
        loop = self._cluster.loop
        if has_voted():
            loop.call_after(1000.0 * RESTART_ANNOUNCE_S, callback)
        elif polls_left:
            poll_again = partial(self._run_once_announced, has_voted, callback, polls_left - 1)
            loop.call_after(VOTING_POLL_INTERVAL_MS, poll_again)
        else:
            self._finish_restore()

    def _finish_restore(self) -> None:
        self.restoring_replica = None

    def _expect_log_line(self, name: str, event: str, violation: str) -> None:
        """Require that a process logs an event between now and the end of the test."""
        offset = self._cluster.processes[name].log_path.stat().st_size

        def check() -> Violation | None:
            if self._cluster.has_logged(name, event, offset):
                return None
            return Violation(LeaseInvariant.STORAGE.value, f"{name}: {violation}")

        self._expected_log_lines.append(check)

    def _fill_disk(self, _number: int, fault: Fault) -> None:
        """Make the file writes of a replica fail; it must exit without another reply."""
        process = self._cluster.processes[fault.target[0]]
        counts = self._cluster.counts
        if not process.running:
            return
        exits_before = len(process.exit_statuses)
        process.simulate_full_disk()

        def check_and_restart() -> None:
            if process.running:
                process.kill()  # it has written nothing since, as it was paused or cut off
                counts["full disks unnoticed"] += 1
            elif process.exit_statuses[exits_before:] and process.exit_statuses[-1] == FULL_DISK_EXIT_STATUS:
                counts["full disks noticed"] += 1
            process.start()

        self._cluster.loop.call_after(1000.0 * max(fault.length, MIN_FULL_DISK_S), check_and_restart)
