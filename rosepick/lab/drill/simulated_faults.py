"""Injects the faults of a plan into simulated processes and their network."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from copy import deepcopy
from dataclasses import replace
from functools import partial

from ...consensus.messages import QuorumMember
from ...leases import lease_record
from .fault_handlers import FaultHandler, FaultHandlers
from .fault_plan import STORAGE_FAULTS, Fault, FaultName
from .history import FaultInjected
from .simulated_lease_client import LeaseSimulation, SimulatedLeaseClient
from .simulated_network import NetworkFaults
from .simulated_replica import SimulatedReplica
from .simulation import SimulatedProcess

# Time without other faults of replicas and links, from the copy of a storage that is restored later.
OLDER_STORAGE_EXCLUSION_S = 9.0
OLDER_STORAGE_WORK_S = 4.0  # how long the replica runs before its older storage is restored
OLDER_STORAGE_ISOLATION_S = 2.5  # how long replicas with its votes are unreachable to clients afterwards
# A fault's `amount` below this is a delay of the link in seconds; any other is its rate in bytes per second.
MAX_LINK_DELAY_S = 1.0
TRICKLE_DELAY_S = 0.3  # delay that models a link of few bytes per second
FORCE_RELEASE_TIMEOUT_MS = 1_500.0


class SimulatedFaultInjector:
    """Injects faults through the handler of each kind. The constructor sets the handlers for tests of leases.

    `counts` has the number of injected faults by kind.
    """

    def __init__(
        self,
        simulation: LeaseSimulation,
        replicas: Mapping[str, SimulatedReplica],
        clients: Mapping[str, SimulatedLeaseClient],
        operator: SimulatedLeaseClient,
    ) -> None:
        self.counts: dict[str, int] = {}
        self._simulation = simulation
        self._network = simulation.network
        self._replicas = replicas
        self._clients = clients
        self._operator = operator
        self._faults_suspended_until = 0.0
        self.handlers = FaultHandlers({**self._process_handlers(), **self._link_handlers()})

    def _process_handlers(self) -> dict[FaultName, FaultHandler]:
        return {
            FaultName.KILL: self.kill,
            FaultName.PAUSE: self._pause,
            FaultName.EMPTY_STORAGE: self._empty_storage,
            FaultName.TWO_EMPTY_STORAGES: self._empty_storages,
            FaultName.OLDER_STORAGE: self._restore_older_storage,
            # a replica recognizes a copy by its inode and then starts with an empty storage
            FaultName.COPIED_STORAGE: self._empty_storage,
            # a replica exits when its disk is full and restarts with its stored state
            FaultName.FULL_DISK: self.kill,
            FaultName.RESTART_ALL: self._restart_all,
            FaultName.FORCE_RELEASE: self._force_release,
            FaultName.SWAP_REPLICA: self._swap_replica,
        }

    def _link_handlers(self) -> dict[FaultName, FaultHandler]:
        return {
            FaultName.CUT: self._cut,
            FaultName.CUT_ONE_WAY: self._cut_one_way,
            FaultName.ISOLATE: self._isolate,
            FaultName.SPLIT: self._split,
            FaultName.MINORITY: self._split,
            FaultName.DEAF: self._deafen,
            FaultName.REFUSE: self._cut,
            FaultName.HALF_OPEN: self._cut,
            FaultName.SLOW: self._slow_down,
            FaultName.TRICKLE: self._slow_down,
            FaultName.DUPLICATE: self._duplicate,
            FaultName.REORDER: self._reorder,
            FaultName.LOSE: self._lose,
        }

    def inject(self, number: int, fault: Fault) -> None:
        """Inject a fault, unless faults are suspended or a majority of intact storages is not certain."""
        simulation = self._simulation
        replaces_file = fault.kind in (FaultName.OLDER_STORAGE, FaultName.COPIED_STORAGE)
        faults_suspended = simulation.now < self._faults_suspended_until
        if faults_suspended and not replaces_file and fault.target[0] not in self._clients:
            return
        if fault.kind in STORAGE_FAULTS and not self._is_quorum_settled():
            return  # a majority of the storages must stay intact
        self.counts[fault.kind.value] = self.counts.get(fault.kind.value, 0) + 1
        target = "-".join(fault.target)
        simulation.record_event(
            FaultInjected(target, simulation.now, fault.kind.value, f"{fault.length:.2f} s")
        )
        self.handlers.inject(number, fault)

    def stop(self) -> None:
        """End all faults and start all processes that are down."""
        self._network.faults = NetworkFaults()
        for process in (*self._replicas.values(), *self._clients.values()):
            process.paused_until = 0.0
            process.start_if_down()

    def _is_quorum_settled(self) -> bool:
        """Return whether each member of the newest quorum stores it and has the storage id recorded in it."""
        quorums = [
            replica.disk.quorum for replica in self._replicas.values() if replica.disk and replica.disk.quorum
        ]
        newest = max(quorums, key=lambda quorum: quorum.epoch)
        disks = [(member, self._replicas[member.name].disk) for member in newest.members]
        return all(
            disk is not None and disk.quorum == newest and disk.storage_id == member.storage_id
            for member, disk in disks
        )

    # -- processes

    def _find_process(self, name: str) -> SimulatedProcess:
        return self._replicas.get(name) or self._clients[name]

    def kill(self, _number: int, fault: Fault) -> None:
        """Kill a process and restart it when the fault ends."""
        process = self._find_process(fault.target[0])
        process.kill()
        self._simulation.schedule_in(fault.length, process.start_if_down)

    def _restart_all(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self.kill(number, replace(fault, target=(name,)))

    def _pause(self, _number: int, fault: Fault) -> None:
        self._find_process(fault.target[0]).paused_until = self._simulation.now + fault.length

    # -- storage

    def _empty_storage(self, number: int, fault: Fault) -> None:
        self._replicas[fault.target[0]].disk = None
        self.kill(number, fault)

    def _empty_storages(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self._empty_storage(number, replace(fault, target=(name,)))

    def _restore_older_storage(self, number: int, fault: Fault) -> None:
        """Copy the storage of a replica, let the replica run for a while, and restore the copy.

        Half of the other replicas are isolated while it runs, so that its vote is needed. The other half,
        which knows the values chosen by that vote, is isolated after the restore.
        """
        replica = self._replicas[fault.target[0]]
        self._network.faults = NetworkFaults()
        self._faults_suspended_until = self._simulation.now + OLDER_STORAGE_EXCLUSION_S
        for other in self._replicas.values():
            other.paused_until = 0.0
            other.start_if_down()
        copy = deepcopy(replica.disk)
        replica.kill()
        replica.start()
        others = [name for name in self._replicas if name != replica.name]
        self._simulation.rng.shuffle(others)
        half = len(others) // 2
        self._isolate_replicas(number, others[:half], OLDER_STORAGE_WORK_S)

        def restore_copy() -> None:
            replica.kill()
            replica.disk = copy
            self._isolate_replicas(-number - 1, others[half:], OLDER_STORAGE_ISOLATION_S)
            replica.start()

        self._simulation.schedule_in(OLDER_STORAGE_WORK_S, restore_copy)

    # -- links

    def _isolate_replicas(self, number: int, names: list[str], length_s: float) -> None:
        """Cut the named replicas off from all clients; replicas still reach each other."""
        callers = (*self._clients, self._operator.name)
        pairs = [(caller, name) for caller in callers for name in names]
        self._cut_both_ways(number, pairs, length_s)

    def _cut_both_ways(self, number: int, pairs: Iterable[tuple[str, str]], length_s: float) -> None:
        directions = {ends for one, other in pairs for ends in ((one, other), (other, one))}
        self._cut_pairs(number, directions, length_s)

    def _cut_pairs(self, number: int, pairs: Iterable[tuple[str, str]], length_s: float) -> None:
        self._network.faults.cut(number, pairs)
        self._schedule_end(number, length_s)

    def _schedule_end(self, number: int, length_s: float) -> None:
        self._simulation.schedule_in(length_s, partial(self._end_network_fault, number))

    def _end_network_fault(self, number: int) -> None:
        self._network.faults.remove(number)

    def _cut(self, number: int, fault: Fault) -> None:
        one, other = fault.target
        self._cut_both_ways(number, [(one, other)], fault.length)

    def _cut_one_way(self, number: int, fault: Fault) -> None:
        one, other = fault.target if self._simulation.rng.random() < 0.5 else fault.target[::-1]
        self._cut_pairs(number, [(one, other)], fault.length)

    def _isolate(self, number: int, fault: Fault) -> None:
        name = fault.target[0]
        self._cut_both_ways(number, [(name, replica) for replica in self._replicas], fault.length)

    def _deafen(self, number: int, fault: Fault) -> None:
        name = fault.target[0]
        self._cut_pairs(number, [(replica, name) for replica in self._replicas], fault.length)

    def _split(self, number: int, fault: Fault) -> None:
        side = set(fault.target)
        rest = {*self._replicas, *self._clients} - side
        self._cut_both_ways(number, [(one, other) for one in side for other in rest], fault.length)

    def _slow_down(self, number: int, fault: Fault) -> None:
        delay_s = fault.amount if fault.amount < MAX_LINK_DELAY_S else TRICKLE_DELAY_S
        self._network.faults.delay(number, fault.target, delay_s)
        self._schedule_end(number, fault.length)

    def _lose(self, number: int, fault: Fault) -> None:
        self._network.faults.lose(number, fault.target[0], fault.amount)
        self._schedule_end(number, fault.length)

    def _duplicate(self, number: int, fault: Fault) -> None:
        self._network.faults.duplicate(number, fault.target[0], fault.amount)
        self._schedule_end(number, fault.length)

    def _reorder(self, number: int, fault: Fault) -> None:
        self._network.faults.reorder(number, fault.target[0], fault.amount)
        self._schedule_end(number, fault.length)

    # -- operator actions

    def _swap_replica(self, _number: int, fault: Fault) -> None:
        client = self._operator.client
        assert client is not None
        quorum = client.quorum
        if quorum is None or not self._is_quorum_settled():
            return
        (spare,) = set(self._replicas) - {member.name for member in quorum.members}
        disk = self._replicas[spare].disk
        if disk is not None and fault.target[0] != spare:
            joining = QuorumMember(spare, disk.storage_id)
            members = tuple(
                joining if member.name == fault.target[0] else member for member in quorum.members
            )
            client.reconfigure(members, lambda _quorum: None)

    def _force_release(self, _number: int, fault: Fault) -> None:
        client = self._operator.client
        assert client is not None
        client.execute(
            lease_record.register_key(fault.target[0]),
            lease_record.force_release("drill", "a fault"),
            lambda _outcome: None,
            FORCE_RELEASE_TIMEOUT_MS,
        )
