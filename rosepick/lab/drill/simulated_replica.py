"""A simulated replica of the quorum, whose disk keeps its state across kills."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from functools import partial

from ...consensus import messages as m
from ...consensus.acceptor import Acceptor, AcceptorState, StateChanges
from ...coordination.acceptor_server import (
    INITIAL_RESTART_CHECK_INTERVAL_MS,
    RESTART_CHECK_GRACE_MS,
    RESTART_CHECK_INTERVAL_MS,
)
from .history import FaultInjected
from .simulated_network import SimulatedNetwork, SimulatedServer
from .simulation import Simulation

DISK_WRITE_TIME_S = (0.0003, 0.002)


class SimulatedReplica(SimulatedServer):
    """Runs an acceptor in the way of `coordination.acceptor_server`, on a simulated network and disk."""

    def __init__(
        self, simulation: Simulation, network: SimulatedNetwork, name: str, clock_rate: float
    ) -> None:
        super().__init__(simulation, name, clock_rate)
        self.disk: AcceptorState | None = None  # the state that the next start loads; None for an empty disk
        self.acceptor: Acceptor | None = None
        self._network = network
        self._last_request_number = 0
        self._started_at_ms = 0.0
        self._disk_busy_until = 0.0  # time at which all writes so far are stored

    def start(self) -> None:
        """Start with the state on the disk, or with an empty one."""
        super().start()
        disk = self.disk or AcceptorState(self.simulation.draw_random_id(), start_count=0)
        disk.start_count += 1
        self.disk = disk
        self.acceptor = Acceptor(self.name, deepcopy(disk), self.simulation.draw_random_id())
        self._started_at_ms = self.now()
        self._send_restart_check()
        self.call_after(RESTART_CHECK_GRACE_MS, self._end_grace_period)

    def _end_grace_period(self) -> None:
        assert self.acceptor is not None
        self.acceptor.update_voting(False)

    def _is_in_grace_period(self) -> bool:
        return self.now() - self._started_at_ms < RESTART_CHECK_GRACE_MS

    def _send_restart_check(self) -> None:
        assert self.acceptor is not None
        self._last_request_number += 1
        check = self.acceptor.make_restart_check(self._last_request_number)
        if check is not None:
            for other in self._network.servers.values():
                if other is not self:
                    self._network.send_request(self, other, check, self._on_restart_check_reply)
        voting = self.acceptor.is_voting
        interval_ms = RESTART_CHECK_INTERVAL_MS if voting else INITIAL_RESTART_CHECK_INTERVAL_MS
        self.call_after(interval_ms, self._send_restart_check)

    def _on_restart_check_reply(self, _name: str, reply: m.QuorumReply) -> None:
        assert self.acceptor is not None
        if not isinstance(reply, m.RestartCheckReply):
            return
        changes = self.acceptor.handle_restart_check_reply(reply, self._is_in_grace_period())
        if changes:
            self._persist(changes)
        if self.acceptor.is_stale_copy:
            self._discard_stale_copy()

    def _discard_stale_copy(self) -> None:
        self.simulation.record_event(FaultInjected(self.name, self.simulation.now, "found older"))
        self.kill()
        self.disk = None
        self.start()

    def handle_request(self, request: m.QuorumRequest, send_reply: Callable[[m.QuorumReply], None]) -> None:
        """Handle a request; replies are sent in order, each once the state it depends on is stored."""
        assert self.acceptor is not None
        reply, changes = self.acceptor.handle(request)
        simulation = self.simulation
        if changes:
            reply = deepcopy(reply) if isinstance(reply, m.SealEpochReply) else reply
            write_time_s = simulation.rng.uniform(*DISK_WRITE_TIME_S)
            self._disk_busy_until = max(self._disk_busy_until, simulation.now) + write_time_s
        stored_at = max(self._disk_busy_until, simulation.now)
        simulation.schedule(stored_at, self, partial(self._persist_and_reply, changes, reply, send_reply))

    def _persist_and_reply(
        self, changes: StateChanges, reply: m.QuorumReply, send_reply: Callable[[m.QuorumReply], None]
    ) -> None:
        if changes:
            self._persist(changes)
        send_reply(reply)

    def _persist(self, changes: StateChanges) -> None:
        assert self.disk is not None
        assert self.acceptor is not None
        state = self.acceptor.state
        if changes.epoch_installed:
            self.disk.quorum = state.quorum
            self.disk.register_states = dict(state.register_states)
        if changes.epoch_installed or changes.epoch_sealed:
            self.disk.is_sealed = state.is_sealed
        if not changes.epoch_installed:
            self.disk.register_states |= changes.register_states
        self.disk.known_starts |= changes.known_starts
