"""A drill in one process: the same machines and the same drivers on a simulated net, disk and clock.

Each process has a clock of its own, which goes at its own rate; the drill's clock is the one that judges.
Everything is drawn from one seed, so a seed is a history.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Mapping
from copy import deepcopy
from dataclasses import dataclass, field
from functools import partial

from ...consensus import messages as m
from ...consensus.acceptor import Acceptor, AcceptorState, StateChanges
from ...consensus.messages import Quorum, QuorumMember
from ...coordination.acceptor_server import (
    INITIAL_RESTART_CHECK_INTERVAL_MS,
    RESTART_CHECK_GRACE_MS,
    RESTART_CHECK_INTERVAL_MS,
)
from ...coordination.lease_holder import LeaseHolder
from ...leases import lease_record
from ...leases.fencing import FencingGuard
from ...leases.lease_client import LeaseConfig, LeaseState
from ...net.event_loop import ScheduledCall
from . import invariants
from .fault_plan import STORAGE_FAULTS, Fault, FaultPlan
from .history import AnyEvent, FaultInjected, GuardedEffect, LeaseCheckPassed, LeaseStateChanged
from .instrumented_client import InstrumentedQuorumClient
from .invariants import InvariantReport, Violation


@dataclass(frozen=True, slots=True)
class SimulationConfig:
    """A simulated drill. Times in seconds; `max_clock_skew`: clocks go faster or slower by up to this."""

    replicas: int = 5
    clients: int = 5
    tasks: int = 1
    duration_s: float = 16.0
    lease_ttl_s: float = 2.0
    drift: float = 0.1
    max_clock_skew: float = 0.095
    fault_interval_s: float = 0.45  # between two faults
    work_interval_s: float = 0.06  # between two steps of work
    network_delay_s: tuple[float, float] = (0.0004, 0.004)
    fault_kinds: tuple[str, ...] = ()  # of faults; all, if none is named


class InMemoryTokenStore:
    """A guard's tokens in memory."""

    def __init__(self) -> None:
        self._highest_by_task: dict[str, int] = {}

    def highest_token(self, task: str) -> int:
        """The highest token taken."""
        return self._highest_by_task.get(task, 0)

    def save_token(self, task: str, token: int) -> None:
        """Keep a higher one."""
        self._highest_by_task[task] = token


class SimulatedProcess:
    """What is simulated of a process: its life, its pauses, its clock."""

    def __init__(self, cluster: SimulatedCluster, name: str, rate: float) -> None:
        self.cluster, self.name, self.rate = cluster, name, rate
        self.incarnation = 0  # which start it is; what was for another is lost
        self.running = False
        self.paused_until = 0.0
        self._base = cluster.rng.uniform(0.0, 1e7)

    def now(self) -> float:
        """Milliseconds of its own clock."""
        return self._base + self.cluster.now * 1000.0 * self.rate

    def call_at(self, when: float, callback: Callable[[], None]) -> ScheduledCall:
        """Call at a time of its own clock."""
        timer = ScheduledCall(callback)
        moment = self.cluster.now + max(0.0, when - self.now()) / (1000.0 * self.rate)
        self.cluster.schedule(moment, self, partial(self._fire_timer, timer))
        return timer

    def call_after(self, delay: float, call: Callable[[], None]) -> ScheduledCall:
        """Call after so many milliseconds of its own clock."""
        return self.call_at(self.now() + delay, call)

    @staticmethod
    def _fire_timer(timer: ScheduledCall) -> None:
        if timer.callback is not None:
            timer.callback()

    def start(self) -> None:
        """Begin anew."""
        self.incarnation += 1
        self.running, self.paused_until = True, 0.0

    def kill(self) -> None:
        """Stop at once."""
        self.incarnation += 1
        self.running = False


class SimulatedReplica(SimulatedProcess):
    """A witness with a disk: what it has kept when it is killed is all there is at its next start."""

    def __init__(self, cluster: SimulatedCluster, name: str, rate: float) -> None:
        super().__init__(cluster, name, rate)
        self.disk: AcceptorState | None = None
        self.acceptor: Acceptor | None = None
        self._last_request_number = 0
        self._started_at_ms = 0.0
        self._disk_busy_until = 0.0  # when the disk will have what was last given to it

    def start(self) -> None:
        super().start()
        disk = self.disk or AcceptorState(self.cluster.draw_identity(), start_count=0)
        disk.start_count += 1
        self.disk = disk
        self.acceptor = Acceptor(self.name, deepcopy(disk), self.cluster.draw_identity())
        self._started_at_ms = self.now()
        self._send_restart_check()
        self.call_after(RESTART_CHECK_GRACE_MS, partial(self._leave_start_phase, False))

    def _leave_start_phase(self, patient: bool) -> None:
        assert self.acceptor is not None
        self.acceptor.update_voting(patient)

    def _send_restart_check(self) -> None:
        assert self.acceptor is not None
        self._last_request_number += 1
        greeting = self.acceptor.make_restart_check(self._last_request_number)
        if greeting is not None:
            for other in self.cluster.replicas.values():
                if other is not self:
                    self.cluster.send_request(self, other, greeting, self._on_restart_check_reply)
        self.call_after(
            RESTART_CHECK_INTERVAL_MS if self.acceptor.is_voting else INITIAL_RESTART_CHECK_INTERVAL_MS,
            self._send_restart_check,
        )

    def _on_restart_check_reply(self, name: str, answer: m.QuorumReply) -> None:
        assert self.acceptor is not None
        if isinstance(answer, m.RestartCheckReply):
            changes = self.acceptor.handle_restart_check_reply(
                answer, self.now() - self._started_at_ms < RESTART_CHECK_GRACE_MS
            )
            if changes:
                self._persist(changes)
            if self.acceptor.is_stale_copy:
                self.cluster.record_event(FaultInjected(self.name, self.cluster.now, "found older"))
                self.kill()
                self.disk = None
                self.start()

    def handle_request(self, request: m.QuorumRequest, reply: Callable[[m.QuorumReply], None]) -> None:
        """A request has come: answer it when what it rests on is kept."""
        assert self.acceptor is not None
        answer, changes = self.acceptor.handle(request)
        if changes:
            answer = deepcopy(answer) if isinstance(answer, m.SealEpochReply) else answer
            self._disk_busy_until = max(self._disk_busy_until, self.cluster.now) + self.cluster.rng.uniform(
                0.0003, 0.002
            )
        # as the driver does: in order, and an answer that rests on what is on its way to the disk waits for
        # it
        moment = max(self._disk_busy_until, self.cluster.now)
        self.cluster.schedule(moment, self, partial(self._persist_and_reply, changes, answer, reply))

    def _persist_and_reply(
        self, changes: StateChanges, answer: m.QuorumReply, reply: Callable[[m.QuorumReply], None]
    ) -> None:
        if changes:
            self._persist(changes)
        reply(answer)

    def _persist(self, changes: StateChanges) -> None:
        assert self.disk is not None and self.acceptor is not None
        now = self.acceptor.state
        if changes.epoch_installed:
            self.disk.quorum, self.disk.register_states = now.quorum, dict(now.register_states)
        if changes.epoch_installed or changes.epoch_sealed:
            self.disk.is_sealed = now.is_sealed
        if not changes.epoch_installed:
            self.disk.register_states |= changes.register_states
        self.disk.known_starts |= changes.known_starts


class SimulatedQuorumConnection:
    """A way to a witness of the simulated net."""

    def __init__(
        self,
        process: SimulatedProcess,
        witness: SimulatedReplica,
        on_reply: Callable[[str, m.QuorumReply], None],
    ) -> None:
        self._process, self._witness, self._on_reply = process, witness, on_reply

    def send(self, request: m.QuorumRequest) -> None:
        """Send it."""
        self._process.cluster.send_request(self._process, self._witness, request, self._on_reply)

    def close(self) -> None:
        """Nothing is held."""


class SimulatedLeaseClient(SimulatedProcess):
    """A process that wants leases, works while it may, and gives them back from time to time."""

    def __init__(self, cluster: SimulatedCluster, name: str, rate: float, tasks: list[str]) -> None:
        super().__init__(cluster, name, rate)
        self.tasks = tasks
        self.client: InstrumentedQuorumClient | None = None
        self.lease_holders: dict[str, LeaseHolder] = {}

    def start(self) -> None:
        super().start()
        world = self.cluster

        def links(heard: Callable[[str, m.QuorumReply], None]) -> Mapping[str, SimulatedQuorumConnection]:
            return {
                name: SimulatedQuorumConnection(self, witness, heard)
                for name, witness in world.replicas.items()
            }

        rng = random.Random(world.rng.getrandbits(64))
        self.client = InstrumentedQuorumClient(
            self.name, world.record_event, lambda: world.now, self, links, rng
        )
        for task in self.tasks:
            self._request_lease(task)
            self._work_step(task)

    def kill(self) -> None:
        super().kill()
        self.record_open_operations()

    def record_open_operations(self) -> None:
        """Changes that have begun and whose end this process will not see."""
        if self.client is not None:
            for operation in self.client.open_operations.values():
                self.cluster.record_event(operation)
            self.client.open_operations.clear()

    def _request_lease(self, task: str) -> None:
        world, shape = self.cluster, self.cluster.config
        assert self.client is not None
        terms = LeaseConfig(shape.lease_ttl_s * 1000.0, shape.drift)

        def told(what: str) -> None:
            keeper = self.lease_holders.get(task)
            if keeper is None or what == "doubt":
                return
            contender = keeper.lease_client
            world.record_event(
                LeaseStateChanged(self.name, world.now, task, contender.token, contender.owner_id, what)
            )
            if contender.state in (LeaseState.LOST, LeaseState.ENDED):
                self.call_after(
                    1000.0 * world.rng.uniform(0.1, 0.5) * shape.lease_ttl_s,
                    partial(self._request_lease, task),
                )
            elif contender.state is LeaseState.HELD:
                stay = 1000.0 * world.rng.choice((0.6, 2.0, 20.0)) * shape.lease_ttl_s * world.rng.random()
                self.call_after(stay, partial(self._release_lease, keeper))

        self.lease_holders[task] = LeaseHolder(self.client, task, self.name, terms, told)

    def _release_lease(self, keeper: LeaseHolder) -> None:
        if keeper.lease_client.state is LeaseState.HELD:
            others = list(self.cluster.clients)
            keeper.release(self.cluster.rng.choice(others) if self.cluster.rng.random() < 0.2 else "")

    def _work_step(self, task: str) -> None:
        world, keeper = self.cluster, self.lease_holders[task]
        contender = keeper.lease_client
        if keeper.may_act():
            world.record_event(
                LeaseCheckPassed(self.name, world.now, world.now, task, contender.token, contender.owner_id)
            )
            # a step may be long between the question and the deed: then only the guard is there
            late = (
                world.config.lease_ttl_s * world.rng.uniform(1.0, 2.5) if world.rng.random() < 0.01 else 0.0
            )
            world.schedule(
                world.now + late + world.rng.uniform(0.0, 0.004),
                None,
                partial(world.apply_effect, self.name, task, contender.token, contender.owner_id),
            )
        self.call_after(
            1000.0 * world.config.work_interval_s * world.rng.uniform(0.5, 1.5),
            partial(self._work_step, task),
        )


@dataclass(slots=True)
class NetworkFaults:
    """Faults of the net that are in force, each with its number so that it can be taken out again."""

    cut: dict[int, frozenset[tuple[str, str]]] = field(
        default_factory=dict
    )  # from whom to whom nothing comes
    slow: dict[int, tuple[frozenset[str], float]] = field(default_factory=dict)
    lose: dict[int, tuple[str, float]] = field(default_factory=dict)
    double: dict[int, tuple[str, float]] = field(default_factory=dict)
    disorder: dict[int, tuple[str, float]] = field(default_factory=dict)


class SimulatedCluster:
    """All processes, the net between them, and what happens next."""

    def __init__(self, config: SimulationConfig, seed: int, faults: FaultPlan | None = None) -> None:
        self.config, self.seed = config, seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[AnyEvent] = []
        self.network_faults = NetworkFaults()
        self.guard = FencingGuard(InMemoryTokenStore())
        self.injected_counts: dict[str, int] = {}
        self._event_queue: list[tuple[float, int, SimulatedProcess | None, int, Callable[[], None]]] = []
        self._sequence_number = 0
        self._no_faults_until = 0.0  # no faults of witnesses and nets while an older copy is put back
        tasks = [f"t{n}" for n in range(config.tasks)]
        self.tasks = tasks
        rates = [1.0 - config.max_clock_skew, 1.0 + config.max_clock_skew]

        def rate() -> float:
            return self.rng.choice((*rates, self.rng.uniform(*rates)))

        names = [f"w{n}" for n in range(config.replicas + 1)]  # the last one is to come in for another
        self.replicas = {name: SimulatedReplica(self, name, rate()) for name in names}
        self.clients = {f"c{n}": self._create_client(f"c{n}", rate()) for n in range(config.clients)}
        self.operator = SimulatedLeaseClient(self, "operator", 1.0, [])
        plan_rng = random.Random(seed * 7 + 1)
        self.plan = faults or FaultPlan.draw(
            plan_rng,
            list(self.replicas),
            list(self.clients),
            tasks,
            config.duration_s,
            config.lease_ttl_s,
            config.fault_interval_s,
            config.fault_kinds,
        )

    def _create_client(self, name: str, rate: float) -> SimulatedLeaseClient:
        return SimulatedLeaseClient(self, name, rate, self.tasks)

    def draw_identity(self) -> str:
        """An identity."""
        return f"{self.rng.getrandbits(64):016x}"

    def record_event(self, event: AnyEvent) -> None:
        """Write down what happened."""
        self.events.append(event)

    def schedule(self, at: float, process: SimulatedProcess | None, callback: Callable[[], None]) -> None:
        """Call at a moment of the drill's clock, if that start of the process still lives."""
        self._sequence_number += 1
        life = process.incarnation if process is not None else 0
        heapq.heappush(self._event_queue, (at, self._sequence_number, process, life, callback))

    def apply_effect(self, name: str, task: str, token: int, owner: int) -> None:
        """A step of work reaches what is acted on."""
        self.record_event(GuardedEffect(name, self.now, task, token, owner, self.guard.accepts(task, token)))

    # -- the net

    def send_request(
        self,
        source: SimulatedProcess,
        witness: SimulatedReplica,
        request: m.QuorumRequest,
        on_reply: Callable[[str, m.QuorumReply], None],
    ) -> None:
        """A request on its way, and its answer on its way back."""
        back_life = source.incarnation

        def answered(answer: m.QuorumReply) -> None:
            def come() -> None:
                if source.incarnation == back_life and source.running:
                    on_reply(witness.name, answer)

            self._deliver(witness.name, source.name, come, source)

        def come() -> None:
            if witness.running:
                witness.handle_request(request, answered)

        self._deliver(source.name, witness.name, come, witness)

    def _deliver(
        self, source: str, target: str, on_arrival: Callable[[], None], process: SimulatedProcess
    ) -> None:
        net, rng = self.network_faults, self.rng
        ends = (source, target)
        delay = rng.uniform(*self.config.network_delay_s)
        if net.cut and any(ends in cut for cut in net.cut.values()):
            return
        if net.lose and any(name in ends and rng.random() < part for name, part in net.lose.values()):
            return
        if net.slow:
            delay += sum(more for link, more in net.slow.values() if link == frozenset(ends))
        if net.disorder and any(name in ends and rng.random() < part for name, part in net.disorder.values()):
            delay += rng.uniform(0.0, 0.6 * self.config.lease_ttl_s)
        self.schedule(self.now + delay, process, on_arrival)
        if net.double and any(name in ends and rng.random() < part for name, part in net.double.values()):
            self.schedule(self.now + delay + rng.uniform(0.0, self.config.lease_ttl_s), process, on_arrival)

    # -- faults

    def _inject(self, number: int, fault: Fault) -> None:
        storage = fault.kind in ("older", "copied")
        if not storage and self.now < self._no_faults_until and fault.target[0] not in self.clients:
            return
        if fault.kind in STORAGE_FAULTS and not self._is_quorum_settled():
            return  # a majority of storages has to live
        self.injected_counts[fault.kind] = self.injected_counts.get(fault.kind, 0) + 1
        self.record_event(
            FaultInjected("-".join(fault.target), self.now, fault.kind, f"{fault.length:.2f} s")
        )
        handler = getattr(self, "_" + fault.kind.replace(" ", "_"))
        handler(number, fault)

    def _is_quorum_settled(self) -> bool:
        """Whether all witnesses have the storages, and the epoch, of the newest quorum there is."""
        quorums = [one.disk.quorum for one in self.replicas.values() if one.disk and one.disk.quorum]
        newest = max(quorums, key=lambda one: one.epoch)
        disks = [(one, self.replicas[one.name].disk) for one in newest.members]
        return all(
            disk is not None and disk.quorum == newest and disk.storage_id == one.storage_id
            for one, disk in disks
        )

    def _remove_network_fault(self, number: int, fault: Fault) -> None:
        for table in (
            self.network_faults.cut,
            self.network_faults.slow,
            self.network_faults.lose,
            self.network_faults.double,
            self.network_faults.disorder,
        ):
            table.pop(number, None)

    def _schedule_in(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.schedule(self.now + delay_s, None, callback)

    def _find_process(self, name: str) -> SimulatedProcess:
        return self.replicas.get(name) or self.clients[name]

    def _restart_if_down(self, process: SimulatedProcess) -> None:
        if not process.running:
            process.start()

    def _kill(self, number: int, fault: Fault) -> None:
        process = self._find_process(fault.target[0])
        process.kill()
        self._schedule_in(fault.length, partial(self._restart_if_down, process))

    def _restart_all(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self._kill(number, Fault(fault.at, "kill", (name,), fault.length))

    def _pause(self, number: int, fault: Fault) -> None:
        self._find_process(fault.target[0]).paused_until = self.now + fault.length

    def _empty(self, number: int, fault: Fault) -> None:
        witness = self.replicas[fault.target[0]]
        witness.disk = None
        self._kill(number, fault)

    def _two_empty(self, number: int, fault: Fault) -> None:
        for name in fault.target:
            self._empty(number, Fault(fault.at, "empty", (name,), fault.length))

    _copied = _empty  # a copy is told by its inode, and begins as an empty one does

    def _full(self, number: int, fault: Fault) -> None:
        # a disk that takes nothing ends the process; it comes back with what was kept
        self._kill(number, fault)

    def _older(self, number: int, fault: Fault) -> None:
        """A copy of the disk is made, the witness starts and works, and the copy is put back in its place."""
        witness = self.replicas[fault.target[0]]
        self.network_faults = NetworkFaults()
        self._no_faults_until = self.now + 9.0
        for other in self.replicas.values():
            other.paused_until = 0.0
            self._restart_if_down(other)
        copy = deepcopy(witness.disk)
        witness.kill()
        witness.start()
        others = [name for name in self.replicas if name != witness.name]
        self.rng.shuffle(others)
        half = len(others) // 2
        # its vote is needed now, and what was chosen by it is known to few: these are out of reach afterwards
        self._isolate_replicas(number, others[:half], 4.0)

        def put_back() -> None:
            witness.kill()
            witness.disk = copy
            self._isolate_replicas(-number - 1, others[half:], 2.5)
            witness.start()

        self._schedule_in(4.0, put_back)

    def _isolate_replicas(self, number: int, names: list[str], length: float) -> None:
        """Some witnesses cannot be reached by those who ask; they can by each other."""
        callers = (*self.clients, self.operator.name)
        fault = Fault(self.now, "cut", tuple(names), length)
        self._cut_pairs(number, fault, {pair for c in callers for w in names for pair in ((c, w), (w, c))})

    def _swap(self, number: int, fault: Fault) -> None:
        client = self.operator.client
        assert client is not None
        quorum = client.quorum
        if quorum is None or not self._is_quorum_settled():
            return
        (spare,) = set(self.replicas) - {one.name for one in quorum.members}
        disk = self.replicas[spare].disk
        if disk is not None and fault.target[0] != spare:
            new = QuorumMember(spare, disk.storage_id)
            members = tuple(new if one.name == fault.target[0] else one for one in quorum.members)
            client.reconfigure(members, lambda succession: None)

    def _cut(self, number: int, fault: Fault) -> None:
        one, other = fault.target
        self._cut_pairs(number, fault, {(one, other), (other, one)})

    def _cut_one_way(self, number: int, fault: Fault) -> None:
        one, other = fault.target if self.rng.random() < 0.5 else fault.target[::-1]
        self._cut_pairs(number, fault, {(one, other)})

    def _part(self, number: int, fault: Fault) -> None:
        name = fault.target[0]
        self._cut_pairs(number, fault, {p for w in self.replicas for p in ((name, w), (w, name))})

    def _deaf(self, number: int, fault: Fault) -> None:
        self._cut_pairs(number, fault, {(w, fault.target[0]) for w in self.replicas})

    def _split(self, number: int, fault: Fault) -> None:
        side, names = set(fault.target), {*self.replicas, *self.clients}
        pairs = {(one, other) for one in side for other in names - side}
        self._cut_pairs(number, fault, pairs | {(other, one) for one, other in pairs})

    _minority = _split

    def _cut_pairs(self, number: int, fault: Fault, pairs: set[tuple[str, str]]) -> None:
        self.network_faults.cut[number] = frozenset(pairs)
        self._schedule_in(fault.length, partial(self._remove_network_fault, number, fault))

    _refuse = _half_open = _cut

    def _slow(self, number: int, fault: Fault) -> None:
        self.network_faults.slow[number] = (
            frozenset(fault.target),
            fault.amount if fault.amount < 1.0 else 0.3,
        )
        self._schedule_in(fault.length, partial(self._remove_network_fault, number, fault))

    _trickle = _slow

    def _lose(self, number: int, fault: Fault) -> None:
        self.network_faults.lose[number] = fault.target[0], fault.amount
        self._schedule_in(fault.length, partial(self._remove_network_fault, number, fault))

    def _double(self, number: int, fault: Fault) -> None:
        self.network_faults.double[number] = fault.target[0], fault.amount
        self._schedule_in(fault.length, partial(self._remove_network_fault, number, fault))

    def _disorder(self, number: int, fault: Fault) -> None:
        self.network_faults.disorder[number] = fault.target[0], fault.amount
        self._schedule_in(fault.length, partial(self._remove_network_fault, number, fault))

    def _force(self, number: int, fault: Fault) -> None:
        client = self.operator.client
        assert client is not None
        client.execute(
            lease_record.register_key(fault.target[0]),
            lease_record.force_release("drill", "a fault"),
            lambda outcome: None,
            1500.0,
        )

    # -- the operator, who brings new storages into the quorum

    def _replace_lost_replicas(self) -> None:
        client = self.operator.client
        assert client is not None
        client.poll_status()
        quorum = client.quorum
        if quorum is not None:
            for name, told in client.replica_statuses.items():
                state = told.status
                lost = state.quorum is None and not quorum.has_member(name, state.storage_id)
                if lost and any(one.name == name for one in quorum.members):
                    members = tuple(
                        QuorumMember(name, state.storage_id) if one.name == name else one
                        for one in quorum.members
                    )
                    client.reconfigure(members, lambda succession: None)
                    break
        self.operator.call_after(700.0, self._replace_lost_replicas)

    def _bootstrap_quorum(self) -> None:
        members = []
        for witness in self.replicas.values():
            witness.start()
            assert witness.disk is not None
            members.append(QuorumMember(witness.name, witness.disk.storage_id))
        members.pop()
        quorum = Quorum(self.draw_identity(), 1, tuple(members))
        for witness in self.replicas.values():
            witness.handle_request(m.InstallEpochRequest(1, quorum, {}), lambda answer: None)

    # -- playing

    def run(self) -> InvariantReport:
        """The whole drill, and what is to be said of it."""
        self._bootstrap_quorum()
        self.schedule(0.1, None, self._start_clients)
        for number, fault in enumerate(self.plan.faults):
            self.schedule(0.5 + fault.at, None, partial(self._inject, number, fault))
        calm = (
            0.5 + self.plan.ends_at + (6.0 if any(one.kind == "older" for one in self.plan.faults) else 0.0)
        )
        self.schedule(calm, None, self._stop_faults)
        end = calm + 2.0 * self.config.lease_ttl_s + 3.0
        self._run_until(end)
        for process in (self.operator, *self.clients.values()):
            # guards against a value that was read and whose change nobody knows
            process.record_open_operations()
        verdict = invariants.check_invariants(self.events)
        verdict.violations += self._check_final_state(calm, end)
        for kind, count in self.injected_counts.items():
            verdict.counts[f"fault {kind}"] += count
        return verdict

    def _start_clients(self) -> None:
        self.operator.start()
        self._replace_lost_replicas()
        for contender in self.clients.values():
            contender.start()

    def _stop_faults(self) -> None:
        """No faults from here on."""
        self.network_faults = NetworkFaults()
        for process in (*self.replicas.values(), *self.clients.values()):
            process.paused_until = 0.0
            self._restart_if_down(process)

    def _run_until(self, until: float) -> None:
        while self._event_queue and self._event_queue[0][0] <= until:
            moment, count, process, life, call = heapq.heappop(self._event_queue)
            self.now = moment
            if process is None:
                call()
            elif process.incarnation == life:
                if process.paused_until > moment:
                    heapq.heappush(self._event_queue, (process.paused_until, count, process, life, call))
                else:
                    call()

    def _check_final_state(self, faults_stopped_at: float, ended_at: float) -> list[Violation]:
        """Each task has a holder soon after the last fault."""
        within = (
            self.config.lease_ttl_s * (1.0 + self.config.drift) / (1.0 - self.config.max_clock_skew) + 3.0
        )
        return [
            broken
            for task in self.tasks
            for broken in invariants.check_takeover(self.events, task, faults_stopped_at, within)
        ]


def run_drill(shape: SimulationConfig, seed: int) -> InvariantReport:
    """One seed."""
    return SimulatedCluster(shape, seed).run()
