"""Drives a fleet's failure detector and rollout leader in the agent that holds their lease."""

from __future__ import annotations

import logging
from collections import deque

from ..consensus.proposer import OperationOutcome, OutcomeKind
from ..fleet import fleet_state, rollout_state
from ..fleet.agent import Agent
from ..fleet.failure_detector import (
    FailureDetector,
    decode_health_report,
    detector_candidates,
    health_report_key,
)
from ..fleet.rollout_leader import RolloutLeader, RolloutStep
from ..fleet.versioned_document import DocumentDecodeError
from ..leases.lease_client import LeaseState
from ..logs import log_event
from .agent_driver_config import AGENT_OPERATION_TIMEOUT_MS, AgentDriverConfig
from .lease_holder import FINAL_STATES, LeaseHolder
from .quorum_client import QuorumClient

# All events of an agent are logged under one name.
logger = logging.getLogger("rosepick.coordination.agent_driver")
MAX_CONCURRENT_READS = 32  # health reports read at a time
DETECTOR_LEASE_PREFIX = "drains/"  # the task of the lease is this prefix and the group's name
UNLOGGED_STEPS = ("note", "left")  # actions of rollout steps that only record progress
FAILED_STEPS = ("worse", "hold")  # actions of rollout steps that are logged as errors


class DetectorDriver:
    """Waits for the detector's lease; while it is held, publishes health summaries and advances rollouts."""

    def __init__(self, client: QuorumClient, agent: Agent, config: AgentDriverConfig) -> None:
        self._client = client
        self._loop = client.loop
        self._agent = agent
        self._config = config
        self._lease_holder: LeaseHolder | None = None
        self._detector: FailureDetector | None = None
        self._leader: RolloutLeader | None = None

    # -- the lease

    def update_lease(self) -> None:
        """Wait for the lease if this member is a candidate, and release it when the member is evicted."""
        state = self._agent.fleet_state
        holder = self._lease_holder
        name = self._agent.name
        own_member = None if state is None else state.members.get(name)
        if holder is None:
            if state is not None and name in detector_candidates(state):
                self._lease_holder = LeaseHolder(
                    self._client,
                    DETECTOR_LEASE_PREFIX + self._config.group,
                    name,
                    self._config.lease,
                    self._handle_lease_event,
                )
        elif holder.lease_client.state in FINAL_STATES:
            self._lease_holder = None
            self._detector = None
            self._leader = None
        elif own_member is not None and own_member.evicted:
            holder.release()

    def _handle_lease_event(self, event: str) -> None:
        """Create the failure detector and the rollout leader, and read reports, once the lease is held.

        Args:
            event: value of the lease's new `LeaseState`, or "doubt"; the others are ignored.
        """
        if event != LeaseState.HELD.value or self._lease_holder is None:
            return
        self._detector = FailureDetector(self._agent.budget, self._config.detector, self._loop.now())
        if self._config.rollout is not None:
            self._leader = RolloutLeader(self._config.rollout, self._loop.now())
        token = self._lease_holder.lease_client.token
        log_event(logger, logging.INFO, "failure_detector_elected", member=self._agent.name, token=token)
        self._read_reports(self._detector)

    def release_lease(self) -> None:
        """Release the lease, so that another agent takes over."""
        if self._lease_holder is not None:
            self._lease_holder.release()

    # -- health

    def _read_reports(self, detector: FailureDetector) -> None:
        """Read the reports of all members, `MAX_CONCURRENT_READS` at a time, and publish the summary."""
        state = self._agent.fleet_state
        if detector is not self._detector or state is None:
            return
        unread = deque(name for name, member in state.members.items() if not member.evicted)
        pending = len(unread)

        def read_next() -> None:
            if unread and detector is self._detector:
                name = unread.popleft()
                self._client.execute(
                    health_report_key(self._config.group, name),
                    None,
                    lambda outcome: handle_report(name, outcome),
                    AGENT_OPERATION_TIMEOUT_MS,
                )

        def handle_report(name: str, outcome: OperationOutcome) -> None:
            nonlocal pending
            pending -= 1
            if outcome.kind is OutcomeKind.UNCHANGED:
                self._add_report(detector, name, outcome)
            read_next()
            if not pending:
                self._publish_summary(detector)

        for _ in range(MAX_CONCURRENT_READS):
            read_next()

    def _add_report(self, detector: FailureDetector, name: str, outcome: OperationOutcome) -> None:
        report = decode_health_report(outcome.register)
        detector.add_report(name, report, self._loop.now())
        if self._leader is not None:
            self._leader.add_report(name, report)

    def _publish_summary(self, detector: FailureDetector) -> None:
        """Write the summary with the lease's token if the lease is valid; lower tokens are rejected."""
        self._loop.call_after(self._config.report_interval_ms, lambda: self._read_reports(detector))
        holder = self._lease_holder
        state = self._agent.fleet_state
        if detector is not self._detector or holder is None or state is None or not holder.may_act():
            return
        if self._leader is not None:
            self._read_rollout_state()
        summary = detector.summarize(state, self._loop.now())
        change = fleet_state.apply_health_summary(
            summary.lost,
            summary.capacity_permille,
            summary.typical_hit_permille,
            holder.lease_client.token,
            summary.halt_reason,
            self._agent.name,
            self._config.wall_clock(),
            summary.is_complete,
        )
        self._client.execute(
            fleet_state.fleet_state_key(self._config.group),
            change,
            lambda outcome: self._handle_publish_outcome(summary.halt_reason, outcome),
            AGENT_OPERATION_TIMEOUT_MS,
        )

    def _handle_publish_outcome(self, halt_reason: str, outcome: OperationOutcome) -> None:
        if outcome.kind is OutcomeKind.COMMITTED and halt_reason:
            log_event(logger, logging.ERROR, "drains_halted", member=self._agent.name, reason=halt_reason)

    # -- rollouts

    def _read_rollout_state(self) -> None:
        self._client.execute(
            rollout_state.rollout_state_key(self._config.group),
            None,
            self._advance_rollout,
            AGENT_OPERATION_TIMEOUT_MS,
        )

    def _advance_rollout(self, outcome: OperationOutcome) -> None:
        """Take the next step of the rollout, if there is one and the lease is still valid."""
        holder = self._lease_holder
        state = self._agent.fleet_state
        leader = self._leader
        if outcome.kind is not OutcomeKind.UNCHANGED or holder is None or state is None or leader is None:
            return
        try:
            rollouts = rollout_state.decode_rollout_state(outcome.register)
        except DocumentDecodeError:
            return
        token = holder.lease_client.token
        step = leader.step(
            rollouts, state, self._loop.now(), self._config.wall_clock(), self._agent.name, token
        )
        if step is None or not holder.may_act():
            return
        _log_step(step, rollouts.last_number, token)
        self._client.execute(
            rollout_state.rollout_state_key(self._config.group),
            step.change,
            lambda _outcome: None,
            AGENT_OPERATION_TIMEOUT_MS,
        )


def _log_step(step: RolloutStep, rollout_number: int, token: int) -> None:
    if step.action in UNLOGGED_STEPS:
        return
    log_event(
        logger,
        logging.ERROR if step.action in FAILED_STEPS else logging.INFO,
        "rollout_step",
        release=rollout_number,
        action=step.action,
        reason=step.reason,
        token=token,
    )
