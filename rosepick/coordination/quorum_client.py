"""The client of the quorum: runs reads, changes and reconfigurations on the replicas.

It does the I/O and the retries for the proposers of `consensus`, which have neither sockets nor clocks. Times
are milliseconds of the loop's clock unless a name says otherwise.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from ..consensus import messages
from ..consensus.proposer import (
    BallotGenerator,
    OutgoingRequests,
    Proposer,
    RegisterChange,
    RegisterCommand,
)
from ..consensus.reconfiguration import QuorumReconfiguration, ReconfigurationPhase
from ..logs import log_event
from ..net.event_loop import EventLoop, ScheduledCall
from ..net.resource_budget import ResourceBudget
from .quorum_connection import QuorumConnection, ReplicaEndpoint, SocketAddress
from .running_operations import (
    MAX_RETRY_DELAY_MS,
    OutcomeCallback,
    RunningOperation,
    RunningReconfiguration,
)

logger = logging.getLogger(__name__)
# How long a client waits for the reconfiguration that sealed an epoch, before it completes it itself.
SEALED_EPOCH_GRACE_MS = 1_000.0
STATUS_POLL_INTERVAL_MS = 200.0  # minimum interval between two reads of the replicas' status
MAX_REPLY_CALLBACKS = 64  # above this limit, `send_to_all` drops the oldest callback
MAX_QUORUM_CONNECTION_DESCRIPTORS = 1024
QuorumReplyCallback = Callable[[str, messages.QuorumReply], None]


class TimerScheduler(Protocol):
    """Is the part of an event loop that the client uses; simulations have another implementation."""

    def now(self) -> float:
        """Return the time in milliseconds; it never goes backwards."""

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> ScheduledCall:
        """Call `callback` at `at_ms` or soon after."""

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> ScheduledCall:
        """Call `callback` after `delay_ms` milliseconds."""


class ReplicaConnection(Protocol):
    """Is a connection to one replica; requests and replies may be lost."""

    def send(self, request: messages.QuorumRequest) -> None:
        """Send a request."""

    def close(self) -> None:
        """Close the connection."""


def tcp_connection_factory(
    loop: EventLoop, endpoints: Mapping[str, SocketAddress], key: bytes
) -> Callable[[QuorumReplyCallback], Mapping[str, ReplicaConnection]]:
    """Return a factory of TCP connections to the replicas at `endpoints`, authenticated with `key`."""
    budget = ResourceBudget(MAX_QUORUM_CONNECTION_DESCRIPTORS)

    def connect(on_reply: QuorumReplyCallback) -> Mapping[str, ReplicaConnection]:
        return {
            name: QuorumConnection(loop, budget, ReplicaEndpoint(name, address, key), on_reply)
            for name, address in endpoints.items()
        }

    return connect


@dataclass(frozen=True, slots=True)
class SealedEpoch:
    """Holds an epoch that was found sealed, and the end of `SEALED_EPOCH_GRACE_MS` for it."""

    epoch: int
    grace_ends_at: float


@dataclass(slots=True)
class ReplicaStatus:
    """Holds the latest status that one replica reported, and when it was received."""

    status: messages.StatusReply
    received_at: float = 0.0


@dataclass(slots=True)
class QuorumClientCounters:
    """Counts operations and their outcomes for operators and benchmarks."""

    operations: int = 0
    conflicts: int = 0
    retries: int = 0
    outcomes_by_kind: dict[str, int] = field(default_factory=dict)


class QuorumClient:
    """Runs operations on a quorum of replicas.

    `rng` draws the client id, change ids and retry delays.
    """

    def __init__(
        self,
        loop: TimerScheduler,
        connect: Callable[[QuorumReplyCallback], Mapping[str, ReplicaConnection]],
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.rng = rng
        self.client_id = rng.getrandbits(62) | 1
        self._ballots = BallotGenerator(self.client_id)
        self.connections = connect(self._on_reply)
        self.quorum: messages.Quorum | None = None
        self.replica_statuses: dict[str, ReplicaStatus] = {}
        self.has_fleet_id_mismatch = False
        self.counters = QuorumClientCounters()
        self._last_request_id = rng.getrandbits(40) << 8
        # An ordered set: iteration in the order of start makes simulations reproducible.
        self._operations: dict[RunningOperation, None] = {}
        self._reconfiguration: RunningReconfiguration | None = None
        self._status_polled_at = -STATUS_POLL_INTERVAL_MS
        self._sealed_epoch: SealedEpoch | None = None
        self._reply_callbacks: dict[int, QuorumReplyCallback] = {}

    # -- for callers

    def execute(
        self, key: str, change: RegisterChange | None, on_outcome: OutcomeCallback, timeout_ms: float
    ) -> str:
        """Read a register (`change` is None) or change it, and return the change id.

        `on_outcome` is called once, at the latest after about `timeout_ms` milliseconds.
        """
        running = RunningOperation(self._new_proposer(key, change), on_outcome)
        self.counters.operations += 1
        self._operations[running] = None
        running.deadline_timer = self.loop.call_after(timeout_ms, lambda: self._expire_operation(running))
        change_id = running.proposer.change_id
        self._start_operation(running)
        return change_id

    def send_to_all(
        self, make_request: Callable[[int], messages.QuorumRequest], on_reply: QuorumReplyCallback
    ) -> None:
        """Send one request to each configured replica; `on_reply` is called for each reply.

        `make_request` gets the request id.
        """
        request_id = self.next_request_id()
        self._reply_callbacks[request_id] = on_reply
        while len(self._reply_callbacks) > MAX_REPLY_CALLBACKS:
            self._reply_callbacks.pop(next(iter(self._reply_callbacks)))
        for connection in self.connections.values():
            connection.send(make_request(request_id))

    def send_to_one(
        self,
        replica: str,
        make_request: Callable[[int], messages.QuorumRequest],
        on_reply: QuorumReplyCallback,
    ) -> None:
        """Send one request to one replica; `make_request` gets the request id."""
        request_id = self.next_request_id()
        self._reply_callbacks[request_id] = on_reply
        self.connections[replica].send(make_request(request_id))

    def reconfigure(
        self,
        members: tuple[messages.QuorumMember, ...] | None,
        on_finished: Callable[[QuorumReconfiguration], None],
    ) -> bool:
        """Start to replace the quorum by `members`; None completes the reconfiguration of another client.

        Returns False if a reconfiguration is running already, or if the current quorum is not known.
        """
        if self._reconfiguration is not None or self.quorum is None:
            return False
        reconfiguration = QuorumReconfiguration(
            self.quorum, members, self._ballots, self._new_change_id(), self.next_request_id
        )
        self._reconfiguration = RunningReconfiguration(reconfiguration, on_finished)
        self._send_requests(reconfiguration.start())
        self._schedule_reconfiguration_retry(self._reconfiguration)
        return True

    def poll_status(self) -> None:
        """Ask all replicas for their status, which includes the current quorum."""
        if self.loop.now() - self._status_polled_at >= STATUS_POLL_INTERVAL_MS:
            self._status_polled_at = self.loop.now()
            self.send_to_all(messages.StatusRequest, lambda _replica, _reply: None)

    def close(self) -> None:
        """Close all connections and drop all running operations without calling their callbacks."""
        for connection in self.connections.values():
            connection.close()
        for running in self._operations:
            running.cancel_timers()
        if self._reconfiguration is not None:
            self._reconfiguration.cancel_retry()

    def next_request_id(self) -> int:
        """Return a request id that is unique within this client."""
        self._last_request_id += 1
        return self._last_request_id

    def _new_change_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    def _new_proposer(self, key: str, change: RegisterChange | None) -> Proposer:
        quorum = self.quorum or messages.Quorum("", 0, ())
        command = RegisterCommand(key, change, self._new_change_id())
        return Proposer(quorum, command, self._ballots, self.next_request_id)

    # -- operations

    def _start_operation(self, running: RunningOperation) -> None:
        if self.quorum is None:
            self.poll_status()
            running.retry_timer = self.loop.call_after(
                STATUS_POLL_INTERVAL_MS, lambda: self._retry_operation(running)
            )
            return
        if running.is_started:
            requests = running.proposer.retry()
        else:
            if running.proposer.quorum.epoch != self.quorum.epoch:
                running.proposer.quorum = self.quorum
            requests = running.proposer.start()
        running.is_started = True
        self._send_requests(requests)
        self._schedule_retry(running, running.retry_delay_ms * (0.8 + 0.4 * self.rng.random()))
        running.retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2.0 * running.retry_delay_ms)

    def _schedule_retry(self, running: RunningOperation, delay_ms: float) -> None:
        running.cancel_retry()
        running.retry_timer = self.loop.call_after(delay_ms, lambda: self._retry_operation(running))

    def _retry_operation(self, running: RunningOperation) -> None:
        if running in self._operations and running.proposer.outcome is None:
            self.counters.retries += 1
            self._start_operation(running)

    def _expire_operation(self, running: RunningOperation) -> None:
        if running in self._operations:
            running.proposer.give_up(self._unavailability_reason())
            self._finish_operation(running)

    def _unavailability_reason(self) -> str:
        """Return why an operation has no outcome; empty if the quorum is known and did not reply in time."""
        if self.has_fleet_id_mismatch:
            return "the replicas belong to two fleets"
        if self.quorum is not None:
            return ""
        return "no quorum is founded" if self.replica_statuses else "no reply from any replica"

    def _finish_operation(self, running: RunningOperation) -> None:
        self._operations.pop(running, None)
        running.cancel_timers()
        outcome = running.proposer.outcome
        assert outcome is not None
        kind = outcome.kind.value
        self.counters.outcomes_by_kind[kind] = self.counters.outcomes_by_kind.get(kind, 0) + 1
        running.on_outcome(outcome)

    def _send_requests(self, requests: OutgoingRequests) -> None:
        for name, request in requests:
            if name in self.connections:
                self.connections[name].send(request)

    # -- replies

    def _on_reply(self, replica: str, reply: messages.QuorumReply) -> None:
        if isinstance(reply, messages.StatusReply):
            self.replica_statuses[replica] = ReplicaStatus(reply, self.loop.now())
            self._adopt_quorum(reply.quorum)
        on_reply = self._reply_callbacks.get(reply.request_id)
        if on_reply is not None:
            on_reply(replica, reply)
        for running in list(self._operations):
            if running in self._operations and running.is_started:
                self._deliver_reply(running, replica, reply)
        reconfiguration = self._reconfiguration
        if reconfiguration is not None:
            self._send_requests(reconfiguration.reconfiguration.handle_reply(replica, reply))
            self._advance_reconfiguration(reconfiguration)

    def _deliver_reply(self, running: RunningOperation, replica: str, reply: messages.QuorumReply) -> None:
        proposer = running.proposer
        was_preempted = proposer.is_preempted
        self._send_requests(proposer.handle_reply(replica, reply))
        if proposer.outcome is not None:
            self._finish_operation(running)
        elif proposer.wrong_epoch_reply is not None:
            wrong_epoch = proposer.wrong_epoch_reply
            proposer.wrong_epoch_reply = None
            self._handle_wrong_epoch(wrong_epoch)
        elif proposer.is_preempted and not was_preempted:
            self.counters.conflicts += 1
            self._schedule_retry(running, running.next_conflict_delay(self.rng))

    def _handle_wrong_epoch(self, reply: messages.WrongEpochReply) -> None:
        """Adopt the later quorum of a reply, or reconfigure if the current epoch stays sealed."""
        known = self.quorum
        self._adopt_quorum(reply.quorum)
        if self.quorum is not known or known is None or not reply.is_sealed or reply.quorum != known:
            return
        now = self.loop.now()
        if self._sealed_epoch is None or self._sealed_epoch.epoch != known.epoch:
            grace_ms = SEALED_EPOCH_GRACE_MS * (0.7 + 0.6 * self.rng.random())
            self._sealed_epoch = SealedEpoch(known.epoch, now + grace_ms)
        elif now >= self._sealed_epoch.grace_ends_at:
            self.reconfigure(None, lambda _reconfiguration: None)

    def _adopt_quorum(self, quorum: messages.Quorum | None) -> None:
        known = self.quorum
        if quorum is None:
            return
        if known is not None and quorum.fleet_id != known.fleet_id:
            if not self.has_fleet_id_mismatch:
                log_event(
                    logger,
                    logging.ERROR,
                    "fleet_id_mismatch",
                    fleet_id=known.fleet_id,
                    other_fleet_id=quorum.fleet_id,
                )
            self.has_fleet_id_mismatch = True
            return
        if known is None or quorum.epoch > known.epoch:
            self.quorum = quorum
            for running in self._operations:
                if running.is_started:
                    self._send_requests(running.proposer.switch_quorum(quorum))
                else:
                    self._schedule_retry(running, 0.0)

    # -- reconfigurations

    def _schedule_reconfiguration_retry(self, running: RunningReconfiguration) -> None:
        delay_ms = running.retry_delay_ms * (0.8 + 0.9 * self.rng.random())
        running.retry_timer = self.loop.call_after(delay_ms, lambda: self._retry_reconfiguration(running))
        running.retry_delay_ms = min(MAX_RETRY_DELAY_MS, 1.5 * running.retry_delay_ms)

    def _retry_reconfiguration(self, running: RunningReconfiguration) -> None:
        if running is self._reconfiguration:
            running.is_preempted = False
            self._send_requests(running.reconfiguration.retry())
            self._schedule_reconfiguration_retry(running)

    def _advance_reconfiguration(self, running: RunningReconfiguration) -> None:
        reconfiguration = running.reconfiguration
        if reconfiguration.later_quorum is not None or reconfiguration.phase is ReconfigurationPhase.DONE:
            self._reconfiguration = None
            running.cancel_retry()
            successor = reconfiguration.successor
            self._adopt_quorum(reconfiguration.later_quorum or (successor.quorum if successor else None))
            running.on_finished(reconfiguration)
        elif reconfiguration.is_preempted and not running.is_preempted:
            running.is_preempted = True
            self.counters.conflicts += 1
            running.cancel_retry()
            delay_ms = running.next_conflict_delay(self.rng)
            running.retry_timer = self.loop.call_after(delay_ms, lambda: self._retry_reconfiguration(running))
