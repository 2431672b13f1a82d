"""Driver of operations: sends what they ask, tells them what is heard, and has them ask again."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from ..consensus import messages as m
from ..consensus.proposer import BallotGenerator, OperationOutcome, OutgoingRequests, Proposer, RegisterChange
from ..consensus.reconfiguration import QuorumReconfiguration, ReconfigurationPhase
from ..logs import log_event
from ..net.event_loop import EventLoop, ScheduledCall
from ..net.resource_budget import ResourceBudget
from .quorum_connection import QuorumConnection, SocketAddress

logger = logging.getLogger(__name__)
INITIAL_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS = (
    150.0,
    1_500.0,
)  # milliseconds until an operation asks again: doubled each time, up to
# milliseconds, doubled each time: until a beaten operation asks again, by chance up to three times it
INITIAL_CONFLICT_BACKOFF_MS = 8.0
# who waits much longer than others finds their ballots above its own each time
MAX_CONFLICT_BACKOFF_MS = 250.0
# milliseconds for whoever has sealed an epoch to lead over to the next: after that each caller tries itself
SEALED_EPOCH_GRACE_MS = 1_000.0
STATUS_POLL_INTERVAL_MS = 200.0  # between two questions who the quorum is
OutcomeCallback = Callable[[OperationOutcome], None]
QuorumReplyCallback = Callable[[str, m.QuorumReply], None]


class TimerScheduler(Protocol):
    """What is used of the loop; the lab has another one."""

    def now(self) -> float:
        """Milliseconds, forward only."""

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> ScheduledCall:
        """Call at that time or soon after."""

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> ScheduledCall:
        """Call after so many milliseconds."""


class ReplicaConnection(Protocol):
    """A way to one witness; requests and answers may get lost."""

    def send(self, request: m.QuorumRequest) -> None:
        """Send it."""

    def close(self) -> None:
        """Let go of it."""


def tcp_connections(
    loop: EventLoop, endpoints: Mapping[str, SocketAddress], key: bytes
) -> Callable[[QuorumReplyCallback], Mapping[str, ReplicaConnection]]:
    """Ways over TCP to the witnesses of a file."""
    budget = ResourceBudget(1024)
    return lambda heard: {
        name: QuorumConnection(loop, budget, name, endpoint, key, heard)
        for name, endpoint in endpoints.items()
    }


@dataclass(slots=True, eq=False)
class RunningOperation:
    """An operation under way."""

    proposer: Proposer
    on_outcome: OutcomeCallback
    retry_delay_ms: float = INITIAL_RETRY_DELAY_MS
    conflict_backoff_ms: float = INITIAL_CONFLICT_BACKOFF_MS
    retry_timer: ScheduledCall | None = None
    deadline_timer: ScheduledCall | None = None
    is_started: bool = False


@dataclass(slots=True, eq=False)
class RunningReconfiguration:
    """A succession under way."""

    reconfiguration: QuorumReconfiguration
    on_finished: Callable[[QuorumReconfiguration], None]
    retry_timer: ScheduledCall | None = None
    retry_delay_ms: float = INITIAL_RETRY_DELAY_MS
    conflict_backoff_ms: float = INITIAL_CONFLICT_BACKOFF_MS
    is_preempted: bool = False


@dataclass(slots=True)
class ReplicaStatus:
    """What one witness said of itself last."""

    status: m.StatusReply
    received_at: float = 0.0


@dataclass(slots=True)
class QuorumClientCounters:
    """What an operator or a measurement asks for."""

    operations: int = 0
    conflicts: int = 0
    retries: int = 0
    outcomes_by_kind: dict[str, int] = field(default_factory=dict)


class QuorumClient:
    """Asks the witnesses of a quorum. `rng` for the marks of operations and for back-off."""

    def __init__(
        self,
        loop: TimerScheduler,
        connect: Callable[[QuorumReplyCallback], Mapping[str, ReplicaConnection]],
        rng: random.Random,
    ) -> None:
        self.loop, self.rng = loop, rng
        self.client_id = rng.getrandbits(62) | 1
        self._ballots = BallotGenerator(self.client_id)
        self.connections = connect(self._on_reply)
        self.quorum: m.Quorum | None = None
        self.replica_statuses: dict[str, ReplicaStatus] = {}
        self.found_two_fleets = False
        self.counters = QuorumClientCounters()
        self._last_request_id = rng.getrandbits(40) << 8
        self._operations: dict[
            RunningOperation, None
        ] = {}  # in the order of their begin: the same at each run
        self._reconfiguration: RunningReconfiguration | None = None
        self._status_polled_at = -STATUS_POLL_INTERVAL_MS
        # an epoch that was found sealed, and until when to leave it so
        self._sealed_epoch: tuple[int, float] | None = None
        self._reply_callbacks: dict[int, Callable[[str, m.QuorumReply], None]] = {}

    # -- for callers

    def execute(
        self, key: str, change: RegisterChange | None, on_outcome: OutcomeCallback, timeout_ms: float
    ) -> str:
        """Read a register, or change it; `on_outcome` is called once, within `timeout_ms` milliseconds or so.
        The mark of the change is given back.
        """
        running = RunningOperation(self._new_proposer(key, change), on_outcome)
        self.counters.operations += 1
        self._operations[running] = None
        running.deadline_timer = self.loop.call_after(timeout_ms, lambda: self._expire_operation(running))
        mark = running.proposer.change_id
        self._start_operation(running)
        return mark

    def send_to_all(
        self, make_request: Callable[[int], m.QuorumRequest], on_reply: Callable[[str, m.QuorumReply], None]
    ) -> None:
        """One request to each witness of the file; each answer is told."""
        number = self.next_request_id()
        self._reply_callbacks[number] = on_reply
        while len(self._reply_callbacks) > 64:
            self._reply_callbacks.pop(next(iter(self._reply_callbacks)))
        for link in self.connections.values():
            link.send(make_request(number))

    def send_to_one(
        self,
        replica: str,
        make_request: Callable[[int], m.QuorumRequest],
        on_reply: Callable[[str, m.QuorumReply], None],
    ) -> None:
        """One request to one witness."""
        number = self.next_request_id()
        self._reply_callbacks[number] = on_reply
        self.connections[replica].send(make_request(number))

    def reconfigure(
        self, members: tuple[m.QuorumMember, ...] | None, on_finished: Callable[[QuorumReconfiguration], None]
    ) -> bool:
        """Lead over to another quorum; False if one is under way already or the present one is not known."""
        if self._reconfiguration is not None or self.quorum is None:
            return False
        succession = QuorumReconfiguration(
            self.quorum, members, self._ballots, self._new_change_id(), self.next_request_id
        )
        self._reconfiguration = RunningReconfiguration(succession, on_finished)
        self._send_requests(succession.start())
        self._schedule_reconfiguration_retry(self._reconfiguration)
        return True

    def poll_status(self) -> None:
        """Ask the witnesses who the quorum is."""
        if self.loop.now() - self._status_polled_at >= STATUS_POLL_INTERVAL_MS:
            self._status_polled_at = self.loop.now()
            self.send_to_all(m.StatusRequest, lambda name, answer: None)

    def close(self) -> None:
        """Let go of every connection; what runs is not finished."""
        for link in self.connections.values():
            link.close()
        for running in self._operations:
            for timer in (running.retry_timer, running.deadline_timer):
                if timer is not None:
                    timer.cancel()
        if self._reconfiguration is not None and self._reconfiguration.retry_timer is not None:
            self._reconfiguration.retry_timer.cancel()

    def next_request_id(self) -> int:
        """A number for a request: no other one of this process has it."""
        self._last_request_id += 1
        return self._last_request_id

    def _new_change_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    def _new_proposer(self, key: str, change: RegisterChange | None) -> Proposer:
        quorum = self.quorum or m.Quorum("", 0, ())
        return Proposer(quorum, key, change, self._ballots, self._new_change_id(), self.next_request_id)

    # -- operations

    def _start_operation(self, running: RunningOperation) -> None:
        if self.quorum is None:
            self.poll_status()
            running.retry_timer = self.loop.call_after(
                STATUS_POLL_INTERVAL_MS, lambda: self._retry_operation(running)
            )
            return
        if running.is_started:
            sends = running.proposer.retry()
        elif running.proposer.quorum.epoch != self.quorum.epoch:
            running.proposer.quorum = self.quorum
            sends = running.proposer.start()
        else:
            sends = running.proposer.start()
        running.is_started = True
        self._send_requests(sends)
        self._schedule_retry(running, running.retry_delay_ms * (0.8 + 0.4 * self.rng.random()))
        running.retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2.0 * running.retry_delay_ms)

    def _schedule_retry(self, running: RunningOperation, delay_ms: float) -> None:
        if running.retry_timer is not None:
            running.retry_timer.cancel()
        running.retry_timer = self.loop.call_after(delay_ms, lambda: self._retry_operation(running))

    def _retry_operation(self, running: RunningOperation) -> None:
        if running in self._operations and running.proposer.outcome is None:
            self.counters.retries += 1
            self._start_operation(running)

    def _expire_operation(self, running: RunningOperation) -> None:
        if running in self._operations:
            why = "the witnesses are of two fleets" if self.found_two_fleets else ""
            if self.quorum is None and not why:
                why = "no quorum is founded" if self.replica_statuses else "no witness answers"
            running.proposer.give_up(why)
            self._finish_operation(running)

    def _finish_operation(self, running: RunningOperation) -> None:
        self._operations.pop(running, None)
        for timer in (running.retry_timer, running.deadline_timer):
            if timer is not None:
                timer.cancel()
        outcome = running.proposer.outcome
        assert outcome is not None
        kind = outcome.kind.value
        self.counters.outcomes_by_kind[kind] = self.counters.outcomes_by_kind.get(kind, 0) + 1
        running.on_outcome(outcome)

    def _send_requests(self, requests: OutgoingRequests) -> None:
        for name, request in requests:
            if name in self.connections:
                self.connections[name].send(request)

    # -- answers

    def _on_reply(self, replica: str, reply: m.QuorumReply) -> None:
        if isinstance(reply, m.StatusReply):
            self.replica_statuses[replica] = ReplicaStatus(reply, self.loop.now())
            self._adopt_quorum(reply.quorum)
        heard = self._reply_callbacks.get(reply.request_id)
        if heard is not None:
            heard(replica, reply)
        for running in list(self._operations):
            if running in self._operations and running.is_started:
                self._deliver_reply(running, replica, reply)
        following = self._reconfiguration
        if following is not None:
            self._send_requests(following.reconfiguration.handle_reply(replica, reply))
            self._advance_reconfiguration(following)

    def _deliver_reply(self, running: RunningOperation, replica: str, reply: m.QuorumReply) -> None:
        operation = running.proposer
        was_beaten = operation.is_preempted
        self._send_requests(operation.handle_reply(replica, reply))
        if operation.outcome is not None:
            self._finish_operation(running)
        elif operation.wrong_epoch_reply is not None:
            elsewhere, operation.wrong_epoch_reply = operation.wrong_epoch_reply, None
            self._handle_wrong_epoch(elsewhere)
        elif operation.is_preempted and not was_beaten:
            self.counters.conflicts += 1
            self._schedule_retry(running, running.conflict_backoff_ms * (0.5 + 2.5 * self.rng.random()))
            running.conflict_backoff_ms = min(MAX_CONFLICT_BACKOFF_MS, 2.0 * running.conflict_backoff_ms)

    def _handle_wrong_epoch(self, reply: m.WrongEpochReply) -> None:
        """The quorum is not what was thought: a later one, or one that is sealed and has not been
        followed.
        """
        known = self.quorum
        self._adopt_quorum(reply.quorum)
        if self.quorum is not known or known is None or not reply.is_sealed or reply.quorum != known:
            return
        now = self.loop.now()
        if self._sealed_epoch is None or self._sealed_epoch[0] != known.epoch:
            self._sealed_epoch = known.epoch, now + SEALED_EPOCH_GRACE_MS * (0.7 + 0.6 * self.rng.random())
        elif now >= self._sealed_epoch[1]:
            self.reconfigure(None, lambda succession: None)

    def _adopt_quorum(self, quorum: m.Quorum | None) -> None:
        known = self.quorum
        if quorum is None:
            return
        if known is not None and quorum.fleet_id != known.fleet_id:
            if not self.found_two_fleets:
                log_event(
                    logger,
                    logging.ERROR,
                    "fleet_id_mismatch",
                    fleet_id=known.fleet_id,
                    other_fleet_id=quorum.fleet_id,
                )
            self.found_two_fleets = True
            return
        if known is None or quorum.epoch > known.epoch:
            self.quorum = quorum
            for running in self._operations:
                if running.is_started:
                    self._send_requests(running.proposer.switch_quorum(quorum))
                else:
                    self._schedule_retry(running, 0.0)

    # -- successions

    def _schedule_reconfiguration_retry(self, running: RunningReconfiguration) -> None:
        pause = running.retry_delay_ms * (0.8 + 0.9 * self.rng.random())
        running.retry_timer = self.loop.call_after(pause, lambda: self._retry_reconfiguration(running))
        running.retry_delay_ms = min(MAX_RETRY_DELAY_MS, 1.5 * running.retry_delay_ms)

    def _retry_reconfiguration(self, running: RunningReconfiguration) -> None:
        if running is self._reconfiguration:
            running.is_preempted = False
            self._send_requests(running.reconfiguration.retry())
            self._schedule_reconfiguration_retry(running)

    def _advance_reconfiguration(self, running: RunningReconfiguration) -> None:
        succession = running.reconfiguration
        if succession.later_quorum is not None or succession.phase is ReconfigurationPhase.DONE:
            self._reconfiguration = None
            if running.retry_timer is not None:
                running.retry_timer.cancel()
            self._adopt_quorum(
                succession.later_quorum or (succession.successor.quorum if succession.successor else None)
            )
            running.on_finished(succession)
        elif succession.is_preempted and not running.is_preempted:
            running.is_preempted = True
            self.counters.conflicts += 1
            if running.retry_timer is not None:
                running.retry_timer.cancel()
            pause = running.conflict_backoff_ms * (0.5 + 2.5 * self.rng.random())
            running.conflict_backoff_ms = min(MAX_CONFLICT_BACKOFF_MS, 2.0 * running.conflict_backoff_ms)
            running.retry_timer = self.loop.call_after(pause, lambda: self._retry_reconfiguration(running))
