"""What one agent does for its member: a machine without I/O and clock.

It asks for permits, carries a drain out, brings its member back and ends the permit by proof. What it is
doing is kept on its disk before it is done, so that it goes on with it after its own death. Without the
quorum it begins nothing, and brings back what it has out. Times are milliseconds of its own clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..consensus.proposer import OperationOutcome, OutcomeKind, RegisterChange
from . import fleet_state as book
from .deployer import Deployer
from .disruption_budget import DisruptionBudget, may_take_permit
from .fleet_state import FleetMember, FleetState, MemberPhase
from .versioned_document import DocumentDecodeError

# of its neighbours' hit share: a cache node says that it is warm, and has to be seen to
MIN_RELATIVE_HIT_RATIO = 0.8


POLL_INTERVAL_PER_MEMBER_MS = 10.0  # milliseconds between two looks of all members together
MAX_STATE_AGE_MS = 2_000.0  # milliseconds: a member is taken out by a reading of the ledger that is no older


@dataclass(frozen=True, slots=True)
class AgentPolicy:
    """How an agent goes about it; milliseconds. `partition_timeout_ms`: without an answer of the quorum for
    so long it brings back what is out; `min_serving_ms`: a member serves for so long before it counts as
    back; `idle_after_ms`: nobody has sent anything to a draining member for so long.
    """

    poll_interval_ms: float = 500.0
    partition_timeout_ms: float = 6_000.0
    min_serving_ms: float = 2_000.0
    idle_after_ms: float = 1_000.0
    max_sweep_age_ms: float = 3_000.0  # a permit is taken only if a warden has counted in the last so long


class MemberAction(Enum):
    """What is to be done with the member now."""

    NONE = "nothing"
    START = "start"
    DRAIN = "drain"  # take nothing new
    UNDRAIN = "keep"  # it drains no more
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """How the member is, as its agent sees it: the worse of what it says and what is seen."""

    running: bool = False
    serving: bool = False
    draining: bool = False
    stopping: bool = False  # it was told to end
    idle: bool = False  # nothing is in hand, and nothing has come for `Terms.quiet`
    warm: bool = True  # a cache node: it says so
    hit_ratio: float | None = None  # of a cache node's reads of late; None: too few
    limit_violation: str = ""  # a figure breaks its stated line: why
    runs_wrong_build: bool = False  # it runs another build than it is to run
    exit_count: int = 0  # how often it has ended by itself


class MemberStateStore(Protocol):
    """Where an agent keeps what it is doing."""

    def load(self) -> tuple[int, int]:
        """Where its member stands, and the permit; zeros if nothing is kept."""

    def save(self, phase: int, permit: int) -> None:
        """It is on the disk when this returns. OSError if it cannot be."""


@dataclass(frozen=True, slots=True)
class FleetOperation:
    """A reading of the ledger, or a change of it."""

    action: str
    change: RegisterChange | None


class Agent:
    """One question is open at a time: `next_operation`, then `handle_outcome`."""

    def __init__(
        self,
        name: str,
        kind: book.MemberKind,
        zone: str,
        weight: int,
        budget: DisruptionBudget,
        policy: AgentPolicy,
        store: MemberStateStore,
    ) -> None:
        self.name, self.kind, self.zone, self.weight = name, kind, zone, weight
        self.budget, self.policy, self._store = budget, policy, store
        self.budget_digest = budget.digest()
        at, self.permit = store.load()
        self.phase = MemberPhase(at)
        self.fleet_state: FleetState | None = None
        self.decode_error = ""  # why the ledger cannot be read
        self._last_response_at: float | None = None  # when the quorum last answered, or this agent began
        self._state_read_at = -MAX_STATE_AGE_MS - 1.0  # the ledger is as it was at some time since then
        self._operation_started_at: float | None = None  # a question is open since then
        self._next_operation_at = 0.0
        self._serving_since: float | None = None
        self._last_sweep = (-1, 0.0)  # the last count that was seen, and when it was new
        self._partition_ms = 0.0  # for how long there was no answer, until one came
        self.deployer: Deployer | None = None  # its part in releases, if it has one
        self._exit_count = 0

    # -- what is to be done with the member

    def is_partitioned(self, now: float) -> bool:
        """Whether the quorum has not answered for long."""
        return (
            self._last_response_at is not None
            and now - self._last_response_at > self.policy.partition_timeout_ms
        )

    def next_action(self, now: float, status: MemberStatus) -> MemberAction:
        """What is to be done now. STOP and DRAIN are for the guard: under `permit`."""
        self._serving_since = (
            None if not status.serving else now if self._serving_since is None else self._serving_since
        )
        self._last_response_at = now if self._last_response_at is None else self._last_response_at
        if self.deployer is not None:
            self.deployer.advance(
                now,
                self.phase,
                status.exit_count > self._exit_count,
                self.is_healthy(now, status),
                status.runs_wrong_build,
            )
            self._exit_count = status.exit_count
        if (
            self.phase in (MemberPhase.LEAVING, MemberPhase.OUT)
            and self._should_return(now)
            and not self._must_stop(status)
        ):
            self._save_phase(MemberPhase.BACK, self.permit)
        if self.phase == MemberPhase.LEAVING:
            return self._drain_action(now, status)
        if self.phase == MemberPhase.OUT:
            return MemberAction.STOP if status.running else MemberAction.NONE  # somebody else has started it
        if not status.running:
            return MemberAction.START
        if self.phase == MemberPhase.BACK and (status.runs_wrong_build or status.stopping):
            return MemberAction.STOP
        return (
            MemberAction.UNDRAIN
            if status.draining and self.kind == book.MemberKind.CACHE
            else MemberAction.NONE
        )

    def _drain_action(self, now: float, status: MemberStatus) -> MemberAction:
        if not status.running:
            self._save_phase(MemberPhase.OUT, self.permit)
            return MemberAction.NONE
        if now - self._state_read_at > MAX_STATE_AGE_MS and not status.stopping:
            return (
                MemberAction.NONE
            )  # guards against going out by a reading from before a pause: there may be a halt by now
        if self.kind == book.MemberKind.CACHE and not status.idle:
            return MemberAction.DRAIN
        return MemberAction.STOP

    def _must_stop(self, status: MemberStatus) -> bool:
        """A member that was told to end does; there is no way back but through its end."""
        return status.running and status.stopping

    def _should_return(self, now: float) -> bool:
        """Whether what is out is to come back: not wanted out any more, a halt, or no quorum."""
        mine = self._own_member()
        if self.is_partitioned(now):
            return True
        if self.fleet_state is None:
            return False  # this agent has begun just now: what it has out stays so until it knows better
        halted = self.fleet_state.halt is not None
        return (
            mine is None
            or mine.drain_request is None
            or mine.permit != self.permit
            or (halted and not mine.bypasses_halt)
        )

    def is_healthy(self, now: float, status: MemberStatus) -> bool:
        """Whether the member is back beyond doubt."""
        since, steady = self._serving_since, self.policy.min_serving_ms
        if self.deployer is not None and self.deployer.probation_kind:
            steady = max(steady, self.deployer.policy.min_healthy_ms)
        if (
            not status.warm
            or status.draining
            or status.runs_wrong_build
            or since is None
            or now - since < steady
        ):
            return False
        usual = 0.0 if self.fleet_state is None else self.fleet_state.typical_hit_permille / 1000.0
        return status.hit_ratio is None or status.hit_ratio >= MIN_RELATIVE_HIT_RATIO * usual

    def _own_member(self) -> FleetMember | None:
        return None if self.fleet_state is None else self.fleet_state.members.get(self.name)

    def _save_phase(self, phase: MemberPhase, permit: int) -> None:
        """Kept before anything is done by it."""
        if (phase, permit) != (self.phase, self.permit):
            self._store.save(int(phase), permit)
            self.phase, self.permit = phase, permit

    # -- what the ledger is asked

    def next_wakeup(self) -> float:
        """When there is something to ask next."""
        return self._next_operation_at

    def next_operation(self, now: float, status: MemberStatus, wall_time_s: float) -> FleetOperation | None:
        """A question, if it is time for one and none is open. `wall_time_s`: seconds of the wall clock, for
        people and for hours in which nothing goes.
        """
        if self._operation_started_at is not None or now < self._next_operation_at:
            return None
        self._operation_started_at = now
        if self.fleet_state is None or self.decode_error or self.is_partitioned(now):
            return FleetOperation("look", None)
        return self._choose_operation(now, status, wall_time_s, self.fleet_state)

    def _choose_operation(
        self, now: float, status: MemberStatus, wall_time_s: float, fleet_state: FleetState
    ) -> FleetOperation:
        mine = fleet_state.members.get(self.name)
        told = self.kind, self.zone, self.weight
        if mine is None or (not mine.evicted and (mine.kind, mine.zone, mine.weight) != told):
            return FleetOperation("join", book.join_member(self.name, *told, self.budget_digest, wall_time_s))
        if mine.evicted:
            return FleetOperation("look", None)
        self._reconcile(mine)
        why = self._halt_reason(fleet_state, status)
        if why:
            self._partition_ms = 0.0
            return FleetOperation("halt", book.halt_drains(self.name, why, wall_time_s))
        return self._next_change(now, status, wall_time_s, fleet_state, mine)

    def _reconcile(self, own_member: FleetMember) -> None:
        """Bring what is kept here and what is agreed together. Where the ledger has gone on without us,
        that counts.
        """
        if self.phase == MemberPhase.IN and own_member.phase != MemberPhase.IN:
            # our disk knew nothing of it: what had begun comes back, as nobody can tell how far it was
            self._save_phase(
                MemberPhase.GIVEN if own_member.phase == MemberPhase.GIVEN else MemberPhase.BACK,
                own_member.permit,
            )
        elif self.phase != MemberPhase.IN and own_member.permit != self.permit:
            self._save_phase(MemberPhase.IN, 0)  # ended, withdrawn or written off
        elif self.phase == MemberPhase.GIVEN and own_member.phase == MemberPhase.LEAVING:
            self._save_phase(MemberPhase.LEAVING, self.permit)  # the answer was lost

    def _halt_reason(self, fleet_state: FleetState, status: MemberStatus) -> str:
        """Why this agent halts all drains, if it does."""
        if fleet_state.halt is not None or all(
            one.phase == MemberPhase.IN for one in fleet_state.members.values()
        ):
            self._partition_ms = 0.0
            return ""
        if self._partition_ms > self.policy.partition_timeout_ms:
            return f"no quorum for {self._partition_ms / 1000.0:.0f} s amid a drain"
        judged = (
            self.deployer is not None and self.deployer.is_under_analysis()
        )  # then it is for who leads the release
        return f"{self.name}: {status.limit_violation}" if status.limit_violation and not judged else ""

    def _next_change(
        self,
        now: float,
        status: MemberStatus,
        wall_time_s: float,
        fleet_state: FleetState,
        own_member: FleetMember,
    ) -> FleetOperation:
        name, permit = self.name, self.permit
        if self.deployer is not None and own_member.phase == self.phase:
            wish = self.deployer.next_change(now, self.phase, own_member, fleet_state, wall_time_s)
            if wish is not None:
                return FleetOperation("wish", wish)
        if self.phase == MemberPhase.IN and own_member.drain_request is not None:
            minute = int(wall_time_s // 60) % (24 * 60)
            is_swept = now - self._last_sweep[1] <= self.policy.max_sweep_age_ms
            fresh = own_member.drain_request.immediate or is_swept
            if fresh and self._may_leave(minute, fleet_state, name):
                return FleetOperation(
                    "take",
                    book.acquire_permit(
                        name, lambda read, who: self._may_leave(minute, read, who), wall_time_s
                    ),
                )
        elif self.phase == MemberPhase.GIVEN:
            is_halted = fleet_state.halt is not None and not own_member.bypasses_halt
            unwanted = own_member.drain_request is None or is_halted
            make = book.withdraw_permit if unwanted else book.begin_drain
            return FleetOperation("withdraw" if unwanted else "begin", make(name, permit, wall_time_s))
        elif self.phase == MemberPhase.OUT and own_member.phase == MemberPhase.LEAVING:
            return FleetOperation("gone", book.mark_out(name, permit, wall_time_s))
        elif self.phase == MemberPhase.BACK and own_member.phase in (MemberPhase.LEAVING, MemberPhase.OUT):
            return FleetOperation("coming", book.mark_rejoining(name, permit, wall_time_s))
        elif (
            self.phase == MemberPhase.BACK
            and own_member.phase == MemberPhase.BACK
            and self.is_healthy(now, status)
        ):
            return FleetOperation("proven", book.mark_healthy(name, permit, wall_time_s))
        return FleetOperation("look", None)

    def _may_leave(self, minute: int, fleet_state: FleetState, name: str) -> bool:
        return fleet_state.budget_digest == self.budget_digest and may_take_permit(
            self.budget, minute, fleet_state, name
        )

    def handle_outcome(self, now: float, operation: FleetOperation, outcome: OperationOutcome) -> None:
        """What came of a question."""
        asked_at, self._operation_started_at = self._operation_started_at, None
        self._next_operation_at = now + self.poll_interval_ms()
        if outcome.kind is OutcomeKind.FAILED or not (
            outcome.register.version or outcome.kind is OutcomeKind.UNCHANGED
        ):
            return
        if self._last_response_at is not None and self.is_partitioned(now):
            self._partition_ms = now - self._last_response_at
        self._last_response_at = now
        try:
            self.fleet_state, self.decode_error = book.decode_fleet_state(outcome.register), ""
        except DocumentDecodeError as problem:
            self.decode_error = str(problem)
            return
        self._state_read_at = now if asked_at is None else asked_at
        if self.fleet_state.sweep_count != self._last_sweep[0]:
            # the first one that is seen may be of any time
            self._last_sweep = (
                self.fleet_state.sweep_count,
                -self.policy.max_sweep_age_ms if self._last_sweep[0] < 0 else self._state_read_at,
            )
        self._apply_outcome(operation, outcome)
        if outcome.kind is OutcomeKind.COMMITTED:
            self._next_operation_at = now

    def record_quorum_response(self, now: float) -> None:
        """The quorum has answered something else of this process."""
        if self._last_response_at is not None and not self.is_partitioned(now):
            self._last_response_at = now

    def poll_interval_ms(self) -> float:
        """Until the next look: where nothing is wanted of this member, longer in a large fleet, so that all
        looks together stay few (100 a second).
        """
        mine = self._own_member()
        busy = mine is None or self.phase != MemberPhase.IN or mine.drain_request is not None
        many = 0 if self.fleet_state is None else len(self.fleet_state.members)
        return (
            self.policy.poll_interval_ms
            if busy
            else max(self.policy.poll_interval_ms, POLL_INTERVAL_PER_MEMBER_MS * many)
        )

    def _apply_outcome(self, operation: FleetOperation, outcome: OperationOutcome) -> None:
        """A step that is made is kept here too."""
        mine = self._own_member()
        if outcome.kind is not OutcomeKind.COMMITTED or mine is None:
            return
        if operation.action == "take":
            self._save_phase(MemberPhase.GIVEN, mine.permit)
        elif operation.action == "begin":
            self._save_phase(MemberPhase.LEAVING, self.permit)
        elif operation.action in ("withdraw", "proven"):
            self._save_phase(MemberPhase.IN, 0)
