"""Drives one agent: runs its operations on the quorum, controls its member and reports the member's health.

It does the I/O for `fleet.agent.Agent`, which has neither sockets nor clocks.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Protocol

import msgspec

from ..consensus.messages import Register
from ..consensus.proposer import OperationOutcome, OutcomeKind
from ..fleet import failure_detector, fleet_state, rollout_state
from ..fleet.agent import Agent, MemberAction, MemberStatus
from ..fleet.deployer import Deployer
from ..fleet.failure_detector import HealthReport
from ..fleet.fleet_operation import FleetOperation
from ..fleet.versioned_document import DocumentDecodeError
from ..leases.fencing import FencingGuard
from ..logs import log_event
from .agent_driver_config import AGENT_OPERATION_TIMEOUT_MS, AgentDriverConfig
from .detector_driver import DetectorDriver
from .quorum_client import QuorumClient

logger = logging.getLogger(__name__)
TICK_MS = 100.0  # interval between two checks of the member
# Minimum interval before a report that is sent early, because the state of the member has changed.
CHANGE_REPORT_INTERVAL_MS = 2 * TICK_MS
IDLE_ROLLOUT_POLL_MS = 2_000.0  # between two reads of the rollout state without pending work


class SupervisedMember(Protocol):
    """Is the member that an agent manages."""

    def read_status(self) -> MemberStatus:
        """Return the member's current status."""

    def apply_action(self, action: MemberAction) -> None:
        """Start, drain, undrain or stop the member; called at each tick until the status shows the effect."""

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        """Return a health report with the metrics since the last report."""


@dataclass(frozen=True, slots=True)
class ReportedState:
    """Holds the part of a member's status whose changes are reported early."""

    serving: bool = False
    warm: bool = False


class AgentDriver:
    """Drives one agent on the event loop of its quorum client, starting when it is constructed."""

    def __init__(
        self,
        client: QuorumClient,
        agent: Agent,
        member: SupervisedMember,
        guard: FencingGuard,
        config: AgentDriverConfig,
    ) -> None:
        self.client = client
        self.loop = client.loop
        self.agent = agent
        self.group = config.group
        self._config = config
        self._member = member
        self._guard = guard
        self._status = MemberStatus()
        self._run_id = client.client_id
        self._report_sequence = 0
        self._last_reported = ReportedState()
        self._reported_at = -config.report_interval_ms
        self._is_reporting = False
        self._detector_driver = DetectorDriver(client, agent, config)
        self._next_rollout_read_at = 0.0
        self._is_reading_rollouts = False
        self._logged_phase = agent.phase
        self._logged_permit = agent.permit
        self._refusal_count = 0
        self._was_partitioned = False
        self._tick()

    def _tick(self) -> None:
        self.loop.call_after(TICK_MS, self._tick)  # first: a failure below must not prevent the next tick
        try:
            self._run_tick()
        except OSError as error:
            self._log_storage_failure(error)

    def _log_storage_failure(self, error: OSError) -> None:
        """Log that the agent's disk failed a write; the step that depends on the write is retried."""
        log_event(logger, logging.ERROR, "agent_storage_failed", member=self.agent.name, text=error)

    def _run_tick(self) -> None:
        now = self.loop.now()
        self._status = self._member.read_status()
        action = self.agent.next_action(now, self._status)
        if action in (MemberAction.STOP, MemberAction.DRAIN) and not self._guard_accepts():
            action = MemberAction.NONE
        self._member.apply_action(action)
        self._send_operation(now)
        self._read_rollouts(now)
        self._send_report(now)
        self._detector_driver.update_lease()
        self._log_transitions(now)

    def _guard_accepts(self) -> bool:
        """Return whether the guard accepts the agent's permit, because it has seen no newer one."""
        accepted = self._guard.accepts(self.agent.name, self.agent.permit)
        if not accepted and not self._refusal_count:
            log_event(
                logger, logging.ERROR, "permit_refused", member=self.agent.name, permit=self.agent.permit
            )
        self._refusal_count += not accepted
        return accepted

    def _send_operation(self, now: float) -> None:
        operation = self.agent.next_operation(now, self._status, self._config.wall_clock())
        if operation is not None:
            self.client.execute(
                fleet_state.fleet_state_key(self.group),
                operation.change,
                lambda outcome: self._handle_outcome(operation, outcome),
                AGENT_OPERATION_TIMEOUT_MS,
            )

    def _handle_outcome(self, operation: FleetOperation, outcome: OperationOutcome) -> None:
        try:
            self.agent.handle_outcome(self.loop.now(), operation, outcome)
        except OSError as error:
            self._log_storage_failure(error)
        if operation.action == "halt" and outcome.kind is OutcomeKind.COMMITTED:
            log_event(logger, logging.ERROR, "drains_halted", member=self.agent.name)
        self._log_transitions(self.loop.now())

    def _log_transitions(self, now: float) -> None:
        """Log a new phase or permit, and the loss and the recovery of the quorum."""
        agent = self.agent
        if (agent.phase, agent.permit) != (self._logged_phase, self._logged_permit):
            self._logged_phase = agent.phase
            self._logged_permit = agent.permit
            log_event(
                logger,
                logging.INFO,
                "member_phase_changed",
                member=agent.name,
                phase=agent.phase.name.lower(),
                permit=agent.permit,
            )
        is_partitioned = agent.is_partitioned(now)
        if is_partitioned != self._was_partitioned:
            self._was_partitioned = is_partitioned
            log_event(
                logger,
                logging.WARNING,
                "quorum_lost" if is_partitioned else "quorum_recovered",
                member=agent.name,
            )

    # -- reports

    def _send_report(self, now: float) -> None:
        """Report the member's health at each interval, and early if its reported state has changed."""
        state = ReportedState(self._status.serving, self._status.warm)
        elapsed_ms = now - self._reported_at
        is_due = elapsed_ms >= self._config.report_interval_ms or (
            state != self._last_reported and elapsed_ms >= CHANGE_REPORT_INTERVAL_MS
        )
        if not is_due or self._is_reporting:
            return
        self._is_reporting = True
        self._reported_at = now
        self._last_reported = state
        self._report_sequence += 1
        report = self._member.make_report(self._run_id, self._report_sequence)
        if self.agent.deployer is not None:
            report = msgspec.structs.replace(report, deploy_error=self.agent.deployer.describe_failure())
        value = msgspec.msgpack.encode(report)

        def replace_report(_register: Register) -> bytes:
            return value

        self.client.execute(
            failure_detector.health_report_key(self.group, self.agent.name),
            replace_report,
            lambda outcome: self._handle_report_outcome(state, outcome),
            AGENT_OPERATION_TIMEOUT_MS,
        )

    def _handle_report_outcome(self, state: ReportedState, outcome: OperationOutcome) -> None:
        self._is_reporting = False
        if outcome.kind is OutcomeKind.COMMITTED:
            self.agent.record_quorum_response(self.loop.now())
        else:
            # The opposite of the reported state makes the next report due early.
            self._last_reported = ReportedState(not state.serving, state.warm)

    # -- rollouts

    def _read_rollouts(self, now: float) -> None:
        """Read the rollout state if it is due, which is more often while the deployer has pending work."""
        deployer = self.agent.deployer
        if deployer is None or self._is_reading_rollouts or now < self._next_rollout_read_at:
            return
        self._is_reading_rollouts = True
        self.client.execute(
            rollout_state.rollout_state_key(self.group),
            None,
            lambda outcome: self._handle_rollout_state(deployer, now, outcome),
            AGENT_OPERATION_TIMEOUT_MS,
        )

    def _handle_rollout_state(self, deployer: Deployer, read_at: float, outcome: OperationOutcome) -> None:
        self._is_reading_rollouts = False
        if outcome.kind is OutcomeKind.UNCHANGED:
            try:
                deployer.update_state(rollout_state.decode_rollout_state(outcome.register), read_at)
            except DocumentDecodeError as error:
                log_event(logger, logging.ERROR, "rollout_state_decode_failed", text=error)
        if deployer.has_pending_work(read_at) or self.agent.phase != fleet_state.MemberPhase.IN:
            interval_ms = self.agent.policy.poll_interval_ms
        else:
            interval_ms = max(IDLE_ROLLOUT_POLL_MS, self.agent.poll_interval_ms())
        self._next_rollout_read_at = self.loop.now() + interval_ms

    def release_lease(self) -> None:
        """Release the failure detector's lease, because this agent ends; the member continues to run."""
        self._detector_driver.release_lease()
