"""Driver of an agent: asks the quorum what its machine wants to know, does with the member what it says,
reports, and counts for the group while it holds that lease.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

import msgspec

from ..consensus.proposer import OperationOutcome, OutcomeKind
from ..fleet import failure_detector as counting
from ..fleet import fleet_state as book
from ..fleet import rollout_state
from ..fleet.agent import Agent, FleetOperation, MemberAction, MemberStatus
from ..fleet.failure_detector import FailureDetector, HealthReport
from ..fleet.rollout_leader import RolloutLeader, RolloutPolicy
from ..fleet.versioned_document import DocumentDecodeError
from ..leases.fencing import FencingGuard
from ..leases.lease_client import LeaseConfig as LeaseTerms
from ..leases.lease_client import LeaseState
from ..logs import log_event
from .lease_holder import LeaseHolder
from .quorum_client import QuorumClient

logger = logging.getLogger(__name__)
TICK_MS = 100.0  # milliseconds between two looks at the member
AGENT_OPERATION_TIMEOUT_MS = 1_500.0  # for a question
MAX_CONCURRENT_READS = 32  # reports that a warden reads at one time
DETECTOR_LEASE_PREFIX = "drains/"  # of the leases of those who count
# milliseconds between two readings of the releases, where there is nothing to do by them
IDLE_ROLLOUT_POLL_MS = 2_000.0


class SupervisedMember(Protocol):
    """The member that an agent looks after."""

    def read_status(self) -> MemberStatus:
        """How it is."""

    def apply_action(self, action: MemberAction) -> None:
        """Start it, have it drain or not, stop it; again and again until it is so."""

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        """What is told of it, figures since the last one."""


class AgentDriver:
    """One agent. `wall`: seconds of the wall clock."""

    def __init__(
        self,
        client: QuorumClient,
        group: str,
        agent: Agent,
        member: SupervisedMember,
        guard: FencingGuard,
        policies: tuple[LeaseTerms, counting.FailureDetectorPolicy],
        wall_clock: Callable[[], float],
        report_interval_ms: float = 1_500.0,
        rollout_policy: RolloutPolicy | None = None,
    ) -> None:
        """`rollout_policy`: how releases are led, should this agent come to lead them."""
        self.client, self.loop, self.group = client, client.loop, group
        self.agent, self._member, self._guard, self._wall_clock = agent, member, guard, wall_clock
        self._lease_config, self._detector_policy, self._report_interval_ms = *policies, report_interval_ms
        self._status = MemberStatus()
        self._run_id, self._report_sequence, self._last_reported = client.client_id, 0, (False, False)
        self._reported_at = -report_interval_ms
        self._is_reporting = False
        self._lease_holder: LeaseHolder | None = None
        self._detector: FailureDetector | None = None
        self._rollout_policy = rollout_policy
        self._leader: RolloutLeader | None = None
        self._next_rollout_read_at, self._is_reading_rollouts = 0.0, False
        self._logged_state = (agent.phase, agent.permit)
        self._refusal_count = 0
        self._was_partitioned = False
        self._tick()

    def _tick(self) -> None:
        now = self.loop.now()
        self._status = self._member.read_status()
        what = self.agent.next_action(now, self._status)
        if what in (MemberAction.STOP, MemberAction.DRAIN) and not self._guard_accepts():
            what = MemberAction.NONE
        self._member.apply_action(what)
        self._send_operation(now)
        self._read_rollouts(now)
        self._send_report(now)
        self._update_detector_lease(now)
        self._log_transitions(now)
        self.loop.call_after(TICK_MS, self._tick)

    def _guard_accepts(self) -> bool:
        """Whether the guard of the member takes the step: not under an older permit than it has seen."""
        taken = self._guard.accepts(self.agent.name, self.agent.permit)
        if not taken and not self._refusal_count:
            log_event(
                logger, logging.ERROR, "permit_refused", member=self.agent.name, permit=self.agent.permit
            )
        self._refusal_count += not taken
        return taken

    def _send_operation(self, now: float) -> None:
        ask = self.agent.next_operation(now, self._status, self._wall_clock())
        if ask is not None:
            self.client.execute(
                book.fleet_state_key(self.group),
                ask.change,
                lambda outcome: self._handle_outcome(ask, outcome),
                AGENT_OPERATION_TIMEOUT_MS,
            )

    def _handle_outcome(self, operation: FleetOperation, outcome: OperationOutcome) -> None:
        self.agent.handle_outcome(self.loop.now(), operation, outcome)
        if operation.action == "halt" and outcome.kind is OutcomeKind.COMMITTED:
            log_event(logger, logging.ERROR, "drains_halted", member=self.agent.name)
        self._log_transitions(self.loop.now())

    def _log_transitions(self, now: float) -> None:
        """Lines of the log."""
        machine = self.agent
        stands = (machine.phase, machine.permit)
        if stands != self._logged_state:
            self._logged_state = stands
            log_event(
                logger,
                logging.INFO,
                "member_phase_changed",
                member=machine.name,
                phase=machine.phase.name.lower(),
                permit=machine.permit,
            )
        lonely = machine.is_partitioned(now)
        if lonely != self._was_partitioned:
            self._was_partitioned = lonely
            log_event(
                logger, logging.WARNING, "quorum_lost" if lonely else "quorum_recovered", member=machine.name
            )

    # -- reports

    def _send_report(self, now: float) -> None:
        """From time to time, and at once if the member has come up or gone down."""
        state = (self._status.serving, self._status.warm)
        due = now - self._reported_at >= self._report_interval_ms or (
            state != self._last_reported and now - self._reported_at >= 2 * TICK_MS
        )
        if not due or self._is_reporting:
            return
        self._is_reporting, self._reported_at, self._last_reported = True, now, state
        self._report_sequence += 1
        report = self._member.make_report(self._run_id, self._report_sequence)
        if self.agent.deployer is not None:
            report = msgspec.structs.replace(report, deploy_error=self.agent.deployer.describe_failure())
        value = msgspec.msgpack.encode(report)
        place = counting.health_report_key(self.group, self.agent.name)

        def done(outcome: OperationOutcome) -> None:
            self._is_reporting = False
            if outcome.kind is not OutcomeKind.COMMITTED:
                self._last_reported = (not state[0], state[1])  # tell it once more, soon
            else:
                self.agent.record_quorum_response(self.loop.now())

        self.client.execute(place, lambda register: value, done, AGENT_OPERATION_TIMEOUT_MS)

    # -- releases

    def _read_rollouts(self, now: float) -> None:
        """Look at the record of releases: often while there is something to do by it."""
        carrier = self.agent.deployer
        if carrier is None or self._is_reading_rollouts or now < self._next_rollout_read_at:
            return
        self._is_reading_rollouts = True

        def done(outcome: OperationOutcome) -> None:
            self._is_reading_rollouts = False
            if outcome.kind is OutcomeKind.UNCHANGED:
                try:
                    carrier.update_state(rollout_state.decode_rollout_state(outcome.register), now)
                except DocumentDecodeError as problem:
                    log_event(logger, logging.ERROR, "rollout_state_decode_failed", text=problem)
            often = carrier.has_pending_work(now) or self.agent.phase != book.MemberPhase.IN
            pause = (
                self.agent.policy.poll_interval_ms
                if often
                else max(IDLE_ROLLOUT_POLL_MS, self.agent.poll_interval_ms())
            )
            self._next_rollout_read_at = self.loop.now() + pause

        self.client.execute(
            rollout_state.rollout_state_key(self.group), None, done, AGENT_OPERATION_TIMEOUT_MS
        )

    def _advance_rollout(self) -> None:
        """The next step of a release, if there is one and this agent still may write it."""

        def read(outcome: OperationOutcome) -> None:
            keeper, ledger, leader = self._lease_holder, self.agent.fleet_state, self._leader
            if (
                outcome.kind is not OutcomeKind.UNCHANGED
                or keeper is None
                or ledger is None
                or leader is None
            ):
                return
            try:
                record = rollout_state.decode_rollout_state(outcome.register)
            except DocumentDecodeError:
                return
            token, name = keeper.lease_client.token, self.agent.name
            step = leader.step(record, ledger, self.loop.now(), self._wall_clock(), name, token)
            if step is None or not keeper.may_act():
                return
            if step.action not in ("note", "left"):
                level = logging.ERROR if step.action in ("worse", "hold") else logging.INFO
                number = record.last_number
                log_event(
                    logger,
                    level,
                    "rollout_step",
                    release=number,
                    action=step.action,
                    reason=step.reason,
                    token=token,
                )
            self.client.execute(
                rollout_state.rollout_state_key(self.group),
                step.change,
                lambda outcome: None,
                AGENT_OPERATION_TIMEOUT_MS,
            )

        self.client.execute(
            rollout_state.rollout_state_key(self.group), None, read, AGENT_OPERATION_TIMEOUT_MS
        )

    # -- counting for the group

    def _update_detector_lease(self, now: float) -> None:
        """Stand in line for the lease of who counts, if this member is among the few that are to."""
        ledger, keeper, name = self.agent.fleet_state, self._lease_holder, self.agent.name
        mine = None if ledger is None else ledger.members.get(name)
        if keeper is None:
            if ledger is not None and name in counting.detector_candidates(ledger):
                self._lease_holder = LeaseHolder(
                    self.client,
                    DETECTOR_LEASE_PREFIX + self.group,
                    name,
                    self._lease_config,
                    self._handle_lease_event,
                )
        elif keeper.lease_client.state in (LeaseState.LOST, LeaseState.ENDED):
            self._lease_holder = self._detector = self._leader = None
        elif mine is not None and mine.evicted:
            keeper.release()

    def _handle_lease_event(self, event: str) -> None:
        if event == LeaseState.HELD.value and self._lease_holder is not None:
            self._detector = FailureDetector(self.agent.budget, self._detector_policy, self.loop.now())
            if self._rollout_policy is not None:
                self._leader = RolloutLeader(self._rollout_policy, self.loop.now())
            log_event(
                logger,
                logging.INFO,
                "failure_detector_elected",
                member=self.agent.name,
                token=self._lease_holder.lease_client.token,
            )
            self._read_reports(self._detector)

    def _read_reports(self, detector: FailureDetector) -> None:
        """Read all reports, so many at a time, and write down what follows."""
        ledger = self.agent.fleet_state
        if detector is not self._detector or ledger is None:
            return
        names = deque(name for name, one in ledger.members.items() if not one.evicted)
        left = len(names)

        def more() -> None:
            if names and detector is self._detector:
                name = names.popleft()
                self.client.execute(
                    counting.health_report_key(self.group, name),
                    None,
                    lambda outcome: heard(name, outcome),
                    AGENT_OPERATION_TIMEOUT_MS,
                )

        def heard(name: str, outcome: OperationOutcome) -> None:
            nonlocal left
            left -= 1
            if outcome.kind is OutcomeKind.UNCHANGED:
                report = counting.decode_health_report(outcome.register)
                detector.add_report(name, report, self.loop.now())
                if self._leader is not None:
                    self._leader.add_report(name, report)
            more()
            if not left:
                self._publish_summary(detector)

        for _ in range(MAX_CONCURRENT_READS):
            more()

    def _publish_summary(self, detector: FailureDetector) -> None:
        """Write the verdict down, if this agent still may: under its token, which no older one passes."""
        self.loop.call_after(self._report_interval_ms, lambda: self._read_reports(detector))
        keeper, ledger = self._lease_holder, self.agent.fleet_state
        if detector is not self._detector or keeper is None or ledger is None or not keeper.may_act():
            return
        if self._leader is not None:
            self._advance_rollout()
        found = detector.summarize(ledger, self.loop.now())
        token = keeper.lease_client.token
        name, wall = self.agent.name, self._wall_clock()
        change = book.apply_health_summary(
            found.lost,
            found.capacity_permille,
            found.typical_hit_permille,
            token,
            found.halt_reason,
            name,
            wall,
            found.is_complete,
        )
        self.client.execute(
            book.fleet_state_key(self.group),
            change,
            lambda outcome: self._handle_publish_outcome(found.halt_reason, outcome),
            AGENT_OPERATION_TIMEOUT_MS,
        )

    def _handle_publish_outcome(self, halt_reason: str, outcome: OperationOutcome) -> None:
        if outcome.kind is OutcomeKind.COMMITTED and halt_reason:
            log_event(logger, logging.ERROR, "drains_halted", member=self.agent.name, reason=halt_reason)

    def release_lease(self) -> None:
        """The agent ends: another one counts from now on. The member goes on as it is."""
        if self._lease_holder is not None:
            self._lease_holder.release()
