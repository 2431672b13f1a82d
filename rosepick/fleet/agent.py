"""The agent of one member, as a state machine without I/O and clock.

An agent acquires a drain permit, drains and stops its member, starts it again, and ends the permit once the
member is healthy. It saves each phase to its disk before it acts on it, so that a restarted agent resumes the
drain. While the quorum is unreachable an agent begins no drain and starts a member that is out.

Times are milliseconds of the agent's own clock, unless their name ends in `_s`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..consensus.proposer import OperationOutcome, OutcomeKind
from . import drain_permits, fleet_state
from .deployer import Deployer
from .disruption_budget import MINUTES_PER_DAY, DisruptionBudget, may_take_permit
from .fleet_operation import FleetOperation, OperationKind
from .fleet_state import FleetMember, FleetState, MemberKind, MemberPhase, MemberProfile
from .partition_detector import PartitionDetector
from .versioned_document import DocumentDecodeError

MIN_RELATIVE_HIT_RATIO = 0.8  # a cache node is warm from this fraction of the typical hit ratio
POLL_INTERVAL_PER_MEMBER_MS = 10.0  # limits the reads of all agents together to 100 per second
# A cache node drains for at least this time: routers are told within 750 ms, and requests are in transit.
MIN_DRAIN_MS = 1_000.0
MAX_STATE_AGE_MS = 2_000.0  # an agent does not drain or stop its member by an older fleet state


@dataclass(frozen=True, slots=True)
class AgentPolicy:
    """Intervals and timeouts of an agent, in milliseconds.

    `partition_timeout_ms`: time without a response of the quorum after which a member that is out is started
    again. `min_serving_ms`: time for which a member has to serve before it counts as healthy.
    `max_sweep_age_ms`: maximum age of the failure detector's last complete sweep of all members at which a
    permit may be acquired.
    """

    poll_interval_ms: float = 500.0
    partition_timeout_ms: float = 6_000.0
    min_serving_ms: float = 2_000.0
    max_sweep_age_ms: float = 3_000.0


class MemberAction(Enum):
    """What the agent has to do with its member now."""

    NONE = "nothing"
    START = "start"
    DRAIN = "drain"  # the member accepts no new requests
    UNDRAIN = "keep"  # the member accepts requests again
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The state of the member: the worse of its own report and the agent's observation."""

    running: bool = False
    serving: bool = False
    draining: bool = False
    stopping: bool = False  # the agent has requested a stop
    idle: bool = False  # no request is in flight and none has arrived recently
    warm: bool = True  # as a cache node reports; always True for routers
    hit_ratio: float | None = None  # recent hit ratio of a cache node; None after too few reads
    limit_violation: str = ""  # describes a metric above its configured limit; empty if there is none
    runs_wrong_build: bool = False  # the running build is not the intended one
    exit_count: int = 0  # exits that the agent did not request


class MemberStateStore(Protocol):
    """Durable storage for the phase and the permit of a member."""

    def load(self) -> tuple[int, int]:
        """Return the saved phase and permit number; (0, 0) if none were saved."""

    def save(self, phase: int, permit: int) -> None:
        """Save the phase and the permit number; they are on the disk when this returns.

        Raises:
            OSError: the values cannot be written.
        """


class Agent:
    """State machine of one agent.

    `next_action` returns what to do with the member. `next_operation` returns the next operation for the
    quorum, one at a time, and `handle_outcome` processes its result.
    """

    def __init__(
        self,
        name: str,
        kind: MemberKind,
        zone: str,
        weight: int,
        budget: DisruptionBudget,
        policy: AgentPolicy,
        store: MemberStateStore,
    ) -> None:
        self.name = name
        self.kind = kind
        self.zone = zone
        self.weight = weight
        self.budget = budget
        self.budget_digest = budget.digest()
        self.policy = policy
        self._store = store
        saved_phase, self.permit = store.load()
        self.phase = MemberPhase(saved_phase)
        self.fleet_state: FleetState | None = None
        self.decode_error = ""  # why the fleet state cannot be decoded; empty if it can
        self.deployer: Deployer | None = None  # None if the member takes no part in rollouts
        self._exit_count = 0
        self._serving_since: float | None = None
        self._draining_since: float | None = None
        self._ended_request = drain_permits.NO_REQUEST  # drain request that ended with the last return
        self._partitions = PartitionDetector(policy.partition_timeout_ms)
        self._state_read_at = -MAX_STATE_AGE_MS - 1.0  # the fleet state was read at this time or later
        self._operation_started_at: float | None = None  # None: no operation is open
        self._next_operation_at = 0.0
        self._last_sweep_count = -1
        self._last_sweep_at = 0.0  # when this count was first read

    # -- actions on the member

    def is_partitioned(self, now: float) -> bool:
        """Return whether the quorum has not answered for too long."""
        return self._partitions.is_partitioned(now)

    def next_action(self, now: float, status: MemberStatus) -> MemberAction:
        """Return what to do with the member now; STOP and DRAIN need the fencing guard's consent."""
        self._record_status(now, status)
        self._partitions.begin(now)
        self._advance_deployer(now, status)
        is_leaving_or_out = self.phase in (MemberPhase.LEAVING, MemberPhase.OUT)
        if is_leaving_or_out and self._should_return(now) and not self._must_stop(status):
            self._return_member()
        if self.phase == MemberPhase.LEAVING:
            return self._drain_action(now, status)
        if self.phase == MemberPhase.OUT:  # a running member was started by something other than the agent
            return MemberAction.STOP if status.running else MemberAction.NONE
        if not status.running:
            return MemberAction.START
        if self.phase == MemberPhase.BACK and (status.runs_wrong_build or status.stopping):
            return MemberAction.STOP
        if status.draining and self.kind == MemberKind.CACHE:
            return MemberAction.UNDRAIN
        return MemberAction.NONE

    def _record_status(self, now: float, status: MemberStatus) -> None:
        """Record since when the member serves, and since when it drains."""
        if not status.serving:
            self._serving_since = None
        elif self._serving_since is None:
            self._serving_since = now
        if not status.draining:
            self._draining_since = None
        elif self._draining_since is None:
            self._draining_since = now

    def _advance_deployer(self, now: float, status: MemberStatus) -> None:
        if self.deployer is None:
            return
        has_exited = status.exit_count > self._exit_count
        is_healthy = self.is_healthy(now, status)
        self.deployer.advance(now, self.phase, has_exited, is_healthy, status.runs_wrong_build)
        self._exit_count = status.exit_count

    def _drain_action(self, now: float, status: MemberStatus) -> MemberAction:
        if not status.running:
            self._save_phase(MemberPhase.OUT, self.permit)
            return MemberAction.NONE
        # a resumed process must not act on a state from before its pause: drains may be halted by now
        if now - self._state_read_at > MAX_STATE_AGE_MS and not status.stopping:
            return MemberAction.NONE
        if self.kind == MemberKind.CACHE and not self._has_drained(now, status):
            return MemberAction.DRAIN
        return MemberAction.STOP

    def _has_drained(self, now: float, status: MemberStatus) -> bool:
        """Return whether a cache node is idle although routers had time to learn that it drains.

        A node that few requests reach is idle before it drains, too.
        """
        if self._draining_since is None or not status.idle:
            return False
        return now - self._draining_since >= MIN_DRAIN_MS

    def _return_member(self) -> None:
        """Let the member return; its present drain request ends with that, a later one does not."""
        member = self._own_member()
        request = None if member is None else member.drain_request
        self._save_phase(MemberPhase.BACK, self.permit)
        self._ended_request = drain_permits.NO_REQUEST if request is None else request.number

    def _must_stop(self, status: MemberStatus) -> bool:
        """Return whether the member is still stopping; it cannot be started again before it has stopped."""
        return status.running and status.stopping

    def _should_return(self, now: float) -> bool:
        """Return whether a leaving member returns: its request is cancelled, a halt, or a partition."""
        if self.is_partitioned(now):
            return True
        if self.fleet_state is None:
            return False  # no fleet state was read yet: a member that is out stays out
        halted = self.fleet_state.halt is not None
        member = self._own_member()
        return (
            member is None
            or member.drain_request is None
            or member.permit != self.permit
            or (halted and not member.bypasses_halt)
        )

    def is_healthy(self, now: float, status: MemberStatus) -> bool:
        """Return whether the member has served for the minimum time, runs the right build and is warm."""
        serving_since = self._serving_since
        min_serving_ms = self.policy.min_serving_ms
        if self.deployer is not None and self.deployer.probation_kind:
            min_serving_ms = max(min_serving_ms, self.deployer.policy.min_healthy_ms)
        if (
            not status.warm
            or status.draining
            or status.runs_wrong_build
            or serving_since is None
            or now - serving_since < min_serving_ms
        ):
            return False
        typical = 0.0 if self.fleet_state is None else self.fleet_state.typical_hit_permille / 1000.0
        return status.hit_ratio is None or status.hit_ratio >= MIN_RELATIVE_HIT_RATIO * typical

    def _own_member(self) -> FleetMember | None:
        return None if self.fleet_state is None else self.fleet_state.members.get(self.name)

    def _save_phase(self, phase: MemberPhase, permit: int) -> None:
        """Save a new phase before the agent acts on it."""
        if (phase, permit) != (self.phase, self.permit):
            self._store.save(int(phase), permit)
            self.phase = phase
            self.permit = permit

    # -- operations for the quorum

    def next_wakeup(self) -> float:
        """Return the time at which the next operation is due."""
        return self._next_operation_at

    def next_operation(self, now: float, status: MemberStatus, wall_time_s: float) -> FleetOperation | None:
        """Return the next operation on the fleet state; None while one is open or none is due.

        `wall_time_s` is the wall clock in seconds; the history and the budget's closed hours use it.

        Raises:
            OSError: a phase cannot be saved; the operation stays due.
        """
        if self._operation_started_at is not None or now < self._next_operation_at:
            return None
        if self.fleet_state is None or self.decode_error or self.is_partitioned(now):
            operation = FleetOperation(OperationKind.READ, None)
        else:
            operation = self._choose_operation(now, status, wall_time_s, self.fleet_state)
        self._operation_started_at = now  # set last: if a phase cannot be saved, no operation is open
        return operation

    def _choose_operation(
        self, now: float, status: MemberStatus, wall_time_s: float, state: FleetState
    ) -> FleetOperation:
        member = state.members.get(self.name)
        profile = MemberProfile(self.kind, self.zone, self.weight)
        if member is None or (not member.evicted and (member.kind, member.zone, member.weight) != profile):
            change = fleet_state.join_member(self.name, profile, self.budget_digest, wall_time_s)
            return FleetOperation(OperationKind.JOIN, change)
        if member.evicted:
            return FleetOperation(OperationKind.READ, None)
        self._reconcile(member)
        reason = self._halt_reason(state, status)
        if reason:
            self._partitions.clear_partition()
            return FleetOperation(OperationKind.HALT, fleet_state.halt_drains(self.name, reason, wall_time_s))
        operation = self._deploy_operation(now, wall_time_s, state, member)
        if operation is None:
            operation = self._permit_operation(now, status, wall_time_s, state, member)
        return operation or FleetOperation(OperationKind.READ, None)

    def _reconcile(self, member: FleetMember) -> None:
        """Adopt the phase in the fleet state where it differs from the saved one."""
        if self.phase == MemberPhase.IN and member.phase != MemberPhase.IN:
            # the disk was lost and with it the progress of the drain, so the member returns
            phase = MemberPhase.GIVEN if member.phase == MemberPhase.GIVEN else MemberPhase.BACK
            self._save_phase(phase, member.permit)
        elif self.phase != MemberPhase.IN and member.permit != self.permit:
            self._save_phase(MemberPhase.IN, 0)  # the permit ended or was withdrawn, or an eviction
        elif self.phase == MemberPhase.GIVEN and member.phase == MemberPhase.LEAVING:
            self._save_phase(MemberPhase.LEAVING, self.permit)  # the response to `begin_drain` was lost

    def _halt_reason(self, state: FleetState, status: MemberStatus) -> str:
        """Return why this agent has to halt all drains; empty if no halt is needed."""
        no_drain = all(member.phase == MemberPhase.IN for member in state.members.values())
        if state.halt is not None or no_drain:
            self._partitions.clear_partition()
            return ""
        partition_ms = self._partitions.unreported_partition_ms()
        if partition_ms:
            return f"no quorum for {partition_ms / 1000.0:.0f} s amid a drain"
        # the rollout leader evaluates the metrics of an artifact under analysis
        is_analyzed = self.deployer is not None and self.deployer.is_under_analysis()
        return f"{self.name}: {status.limit_violation}" if status.limit_violation and not is_analyzed else ""

    def _deploy_operation(
        self, now: float, wall_time_s: float, state: FleetState, member: FleetMember
    ) -> FleetOperation | None:
        """Return the operation that is due for a rollout, if any."""
        if self.deployer is None or member.phase != self.phase:
            return None
        change = self.deployer.next_change(now, self.phase, member, state, wall_time_s)
        return None if change is None else FleetOperation(OperationKind.DEPLOY, change)

    def _permit_operation(
        self, now: float, status: MemberStatus, wall_time_s: float, state: FleetState, member: FleetMember
    ) -> FleetOperation | None:
        """Return the operation for the next step of this member's permit, if one is due."""
        if self.phase == MemberPhase.IN:
            return self._acquire_operation(now, wall_time_s, state, member)
        if self.phase == MemberPhase.GIVEN:
            return self._begin_or_withdraw_operation(wall_time_s, state, member)
        if self.phase == MemberPhase.OUT and member.phase == MemberPhase.LEAVING:
            change = drain_permits.mark_out(self.name, self.permit, wall_time_s)
            return FleetOperation(OperationKind.MARK_OUT, change)
        if self.phase != MemberPhase.BACK:
            return None
        if member.phase in (MemberPhase.LEAVING, MemberPhase.OUT):
            change = drain_permits.mark_rejoining(self.name, self.permit, wall_time_s, self._ended_request)
            return FleetOperation(OperationKind.MARK_REJOINING, change)
        if member.phase == MemberPhase.BACK and self.is_healthy(now, status):
            change = drain_permits.mark_healthy(self.name, self.permit, wall_time_s)
            return FleetOperation(OperationKind.MARK_HEALTHY, change)
        return None

    def _acquire_operation(
        self, now: float, wall_time_s: float, state: FleetState, member: FleetMember
    ) -> FleetOperation | None:
        if member.drain_request is None:
            return None
        minute = int(wall_time_s // 60) % MINUTES_PER_DAY
        has_recent_sweep = now - self._last_sweep_at <= self.policy.max_sweep_age_ms
        may_count = member.drain_request.immediate or has_recent_sweep
        if not (may_count and self._may_leave(minute, state, self.name)):
            return None
        change = drain_permits.acquire_permit(
            self.name, lambda current, name: self._may_leave(minute, current, name), wall_time_s
        )
        return FleetOperation(OperationKind.ACQUIRE_PERMIT, change)

    def _begin_or_withdraw_operation(
        self, wall_time_s: float, state: FleetState, member: FleetMember
    ) -> FleetOperation:
        is_halted = state.halt is not None and not member.bypasses_halt
        is_cancelled = member.drain_request is None or is_halted
        if is_cancelled:
            change = drain_permits.withdraw_permit(self.name, self.permit, wall_time_s)
            return FleetOperation(OperationKind.WITHDRAW_PERMIT, change)
        change = drain_permits.begin_drain(self.name, self.permit, wall_time_s)
        return FleetOperation(OperationKind.BEGIN_DRAIN, change)

    def _may_leave(self, minute: int, state: FleetState, name: str) -> bool:
        return state.budget_digest == self.budget_digest and may_take_permit(self.budget, minute, state, name)

    def handle_outcome(self, now: float, operation: FleetOperation, outcome: OperationOutcome) -> None:
        """Process the outcome of the open operation."""
        started_at = self._operation_started_at
        self._operation_started_at = None
        self._next_operation_at = now + self.poll_interval_ms()
        if outcome.kind is OutcomeKind.FAILED or not (
            outcome.register.version or outcome.kind is OutcomeKind.UNCHANGED
        ):
            return
        self._partitions.record_response(now)
        try:
            self.fleet_state = fleet_state.decode_fleet_state(outcome.register)
        except DocumentDecodeError as error:
            self.decode_error = str(error)
            return
        self.decode_error = ""
        self._state_read_at = now if started_at is None else started_at
        self._record_sweep(self.fleet_state.sweep_count)
        self._apply_outcome(operation, outcome)
        if outcome.kind is OutcomeKind.COMMITTED:
            self._next_operation_at = now

    def _record_sweep(self, sweep_count: int) -> None:
        if sweep_count == self._last_sweep_count:
            return
        # the sweep behind the first count that this agent reads may be of any age
        is_first = self._last_sweep_count < 0
        self._last_sweep_at = -self.policy.max_sweep_age_ms if is_first else self._state_read_at
        self._last_sweep_count = sweep_count

    def record_quorum_response(self, now: float) -> None:
        """Record a response of the quorum to another request of this process."""
        self._partitions.record_other_response(now)

    def poll_interval_ms(self) -> float:
        """Return the interval between reads of the fleet state in milliseconds.

        While this member has no drain in progress the interval grows with the number of members, which
        bounds the read rate of all agents together.
        """
        member = self._own_member()
        reads_frequently = member is None or self.phase != MemberPhase.IN or member.drain_request is not None
        if reads_frequently:
            return self.policy.poll_interval_ms
        member_count = 0 if self.fleet_state is None else len(self.fleet_state.members)
        return max(self.policy.poll_interval_ms, POLL_INTERVAL_PER_MEMBER_MS * member_count)

    def _apply_outcome(self, operation: FleetOperation, outcome: OperationOutcome) -> None:
        """Save the phase that follows from a committed operation."""
        member = self._own_member()
        if outcome.kind is not OutcomeKind.COMMITTED or member is None:
            return
        if operation.action is OperationKind.ACQUIRE_PERMIT:
            self._save_phase(MemberPhase.GIVEN, member.permit)
        elif operation.action is OperationKind.BEGIN_DRAIN:
            self._save_phase(MemberPhase.LEAVING, self.permit)
        elif operation.action in (OperationKind.WITHDRAW_PERMIT, OperationKind.MARK_HEALTHY):
            self._save_phase(MemberPhase.IN, 0)
