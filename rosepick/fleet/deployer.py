"""One member's part in rollouts, as a state machine without I/O and clock beside that of its agent.

A new build is prepared on the host while the member serves. The member then leaves under a drain permit like
any other, is started with the new build, and goes back to the one before if that does not become healthy: at
once and without asking anyone. Each step is on the disk before it is taken. Settings are changed in place,
without a permit.

Times are milliseconds of the agent's own clock, unless their name ends in `_s`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

from ..consensus.proposer import RegisterChange
from . import fleet_state
from .fleet_state import FleetMember, FleetState, MemberPhase
from .rollout_state import (
    BUILD,
    ROLLOUT_ACTOR_PREFIX,
    SETTINGS,
    Artifact,
    Rollout,
    RolloutPhase,
    RolloutState,
)

MAX_ROLLOUT_STATE_AGE_MS = 2_000.0  # a member changes its version only by a rollout state that is no older
ARTIFACT_KINDS = (BUILD, SETTINGS)


class FailureCause(Enum):
    """Why an artifact is not in use on this host."""

    NONE = ""
    ARTIFACT = "version"  # it is damaged, does not start, or does not become healthy
    HOST = "host"  # it could not be fetched: no space, no source


@dataclass(frozen=True, slots=True)
class DeployPolicy:
    """Durations and limits of a deployment; times in milliseconds.

    `min_healthy_ms`: a new build serves for so long before its permit ends. `probation_ms`: it has so long to
    become healthy. `max_exits`: after so many exits by itself in that time it is rolled back.
    `retry_interval_ms`: how long a host waits until it tries to fetch an artifact again.
    """

    min_healthy_ms: float = 10_000.0
    probation_ms: float = 30_000.0
    max_exits: int = 3
    retry_interval_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class ArtifactStatus:
    """How far an artifact is prepared on this host."""

    is_ready: bool = False
    cause: FailureCause = FailureCause.NONE
    reason: str = ""


class DeployFailure(NamedTuple):
    """Why a member does not run an artifact, as its health report says it in one line of text."""

    kind: str
    digest: str
    cause: str  # value of a `FailureCause`
    reason: str

    def format(self) -> str:
        """Return the text of a health report."""
        return f"{self.kind} {self.digest} {self.cause} {self.reason}"

    @classmethod
    def parse(cls, text: str) -> DeployFailure:
        """Return the failure in a health report; all fields are empty if there is none."""
        kind, digest, cause, reason = (text + "   ").split(" ", 3)
        return cls(kind, digest, cause, reason.strip())


class StateStore(Protocol):
    """Durable storage of what an agent is doing, by name."""

    def get(self, name: str) -> object:
        """Return what was stored under a name; None if nothing was."""

    def put(self, **more: object) -> None:
        """Store values under their names.

        Raises:
            OSError: they could not be written; on return they are on the disk.
        """


class ArtifactStore(Protocol):
    """The artifacts on this host."""

    def prepare(self, kind: str, artifact: Artifact) -> ArtifactStatus:
        """Return how far an artifact is; begin whatever is missing."""

    def apply_settings(self, kind: str, digest: str) -> None:
        """Have the member use these settings from now on."""

    def remove_except(self, needed: Iterable[str]) -> None:
        """Remove the artifacts whose digests are not needed any more."""


@dataclass(frozen=True, slots=True)
class _FailedDeployment:
    """The last failure with an artifact of one kind."""

    digest: str
    rollout_number: int
    status: ArtifactStatus
    failed_at: float


class Deployer:
    """One member's part in rollouts.

    `active_digests` are the digests of what the member runs, by kind; those that are stored take precedence
    over those that are given.
    """

    def __init__(
        self,
        name: str,
        store: StateStore,
        artifacts: ArtifactStore,
        policy: DeployPolicy,
        active_digests: dict[str, str],
    ) -> None:
        self.name = name
        self.policy = policy
        self._store = store
        self._artifacts = artifacts
        stored = store.get("runs")
        self.active_digests: dict[str, str] = dict(stored if isinstance(stored, dict) else active_digests)
        stored = store.get("before")
        self.previous_digests: dict[str, str] = dict(stored) if isinstance(stored, dict) else {}
        self.probation_kind = str(store.get("trial") or "")  # the kind of artifact that is on probation
        self.rollout_state: RolloutState | None = None
        self.runs_wrong_build = False
        self._state_read_at = -MAX_ROLLOUT_STATE_AGE_MS - 1.0
        self._probation_since: float | None = None
        self._exit_count = 0
        self._failures = _load_failures(store)  # by kind; not tried again after a restart of the agent

    # -- what is to be run

    def update_state(self, rollout_state: RolloutState, asked_at: float) -> None:
        """Take the rollout state, as it was at some time since `asked_at`."""
        is_closed = (
            self.rollout_state is not None
            and self.rollout_state.open_rollout is not None
            and rollout_state.open_rollout is None
        )
        if is_closed and not self.runs_wrong_build:
            baseline = (artifact.digest for artifact in rollout_state.baseline.values())
            self._artifacts.remove_except([*self.active_digests.values(), *baseline])
        self.rollout_state = rollout_state
        self._state_read_at = asked_at

    def _is_state_fresh(self, now: float) -> bool:
        return now - self._state_read_at <= MAX_ROLLOUT_STATE_AGE_MS

    def _target(self, kind: str) -> Artifact | None:
        return None if self.rollout_state is None else self.rollout_state.artifact_for(self.name, kind)

    def _pending_artifact(self, kind: str, now: float) -> Artifact | None:
        """Return what this member is to run and does not; None while it may not or cannot."""
        target = self._target(kind)
        state = self.rollout_state
        if target is None or state is None:
            return None
        if target.digest == self.active_digests.get(kind, target.digest) or self.probation_kind:
            return None
        is_paused = state.open_rollout is not None and state.open_rollout.pause is not None
        if is_paused or self._has_failed(kind, target, state.last_number, now):
            return None
        return target

    def _has_failed(self, kind: str, target: Artifact, rollout_number: int, now: float) -> bool:
        """Return whether an artifact has failed here in this rollout and is not due to be tried again."""
        failure = self._failures.get(kind)
        if failure is None or (failure.digest, failure.rollout_number) != (target.digest, rollout_number):
            return False
        is_artifact_at_fault = failure.status.cause is FailureCause.ARTIFACT
        return is_artifact_at_fault or now - failure.failed_at < self.policy.retry_interval_ms

    def _is_prepared(self, kind: str, artifact: Artifact, now: float) -> bool:
        status = self._artifacts.prepare(kind, artifact)
        if status.cause is not FailureCause.NONE:
            self._record_failure(kind, artifact.digest, status, now)
        return status.is_ready

    def _record_failure(self, kind: str, digest: str, status: ArtifactStatus, now: float) -> None:
        number = 0 if self.rollout_state is None else self.rollout_state.last_number
        self._failures[kind] = _FailedDeployment(digest, number, status, now)
        if status.cause is FailureCause.ARTIFACT:
            stored = {
                kind: (failure.digest, failure.rollout_number, failure.status.reason)
                for kind, failure in self._failures.items()
                if failure.status.cause is FailureCause.ARTIFACT
            }
            self._store.put(refused=stored)

    def describe_failure(self) -> str:
        """Return why this member does not run what it is to run, for its health report; empty if it does."""
        for kind in ARTIFACT_KINDS:
            failure = self._failures.get(kind)
            target = self._target(kind)
            if failure is None or target is None or self.rollout_state is None:
                continue
            is_current = self.rollout_state.last_number == failure.rollout_number
            is_target = target.digest == failure.digest != self.active_digests.get(kind)
            if is_current and is_target:
                status = failure.status
                return DeployFailure(kind, failure.digest, status.cause.value, status.reason).format()
        return ""

    def is_under_analysis(self) -> bool:
        """Return whether the member runs the new artifact of an open rollout, whose leader judges it."""
        rollout = None if self.rollout_state is None else self.rollout_state.open_rollout
        return rollout is not None and self.active_digests.get(rollout.kind) == rollout.new.digest

    def has_pending_work(self, now: float) -> bool:
        """Return whether the rollout state is to be read often, as something has to be done by it."""
        return (
            bool(self.probation_kind)
            or self.runs_wrong_build
            or any(self._pending_artifact(kind, now) is not None for kind in ARTIFACT_KINDS)
        )

    # -- steps

    def next_change(
        self,
        now: float,
        phase: MemberPhase,
        own_member: FleetMember,
        state: FleetState,
        wall_time_s: float,
    ) -> RegisterChange | None:
        """Return the change of the fleet state that is due, if any.

        A drain is requested if a build is due and prepared here, and cancelled if none is due any more.
        """
        due = self._pending_artifact(BUILD, now)
        needs = due is not None or (self.runs_wrong_build and phase in (MemberPhase.IN, MemberPhase.GIVEN))
        is_prepared = due is None or self._is_prepared(BUILD, due, now)
        request = own_member.drain_request
        if phase == MemberPhase.IN and request is None and needs and is_prepared:
            return self._request_drain(due, state, wall_time_s)
        fresh = self._is_state_fresh(now)
        if (
            request is not None
            and request.actor.startswith(ROLLOUT_ACTOR_PREFIX)
            and not needs
            and fresh
            and phase in (MemberPhase.IN, MemberPhase.GIVEN, MemberPhase.OUT)
        ):
            return fleet_state.cancel_drain([self.name], self.name, wall_time_s, requested_by=request.actor)
        return None

    def _request_drain(
        self, due: Artifact | None, state: FleetState, wall_time_s: float
    ) -> RegisterChange | None:
        """Return the request to leave for a build; None during a halt, unless it is a rollback."""
        assert self.rollout_state is not None
        rollout = self.rollout_state.open_rollout
        is_rollback = rollout is not None and rollout.phase == RolloutPhase.ROLLBACK
        if state.halt is not None and not is_rollback:
            return None
        reason = f"to run {due.name}" if due is not None else "to run what it is to"
        return fleet_state.request_drain(
            [self.name], self.rollout_state.drain_actor, reason, wall_time_s, uses_rollback_limit=is_rollback
        )

    def advance(
        self,
        now: float,
        phase: MemberPhase,
        has_exited: bool,
        is_healthy: bool,
        runs_wrong_build: bool = False,
    ) -> None:
        """Take the steps that are due: probation, a build while the member is out, settings while it is in.

        `has_exited`: the member has exited by itself since the last call. `runs_wrong_build`: it runs another
        build than it is meant to, as it was healthy again at the very moment of its rollback.
        """
        self.runs_wrong_build = runs_wrong_build
        if self.probation_kind:
            self._check_probation(now, phase, has_exited, is_healthy)
            return
        due = self._pending_artifact(BUILD, now)
        fresh = self._is_state_fresh(now)
        if phase == MemberPhase.OUT and due is not None and fresh and self._is_prepared(BUILD, due, now):
            self._activate(BUILD, due.digest, now)
        due = self._pending_artifact(SETTINGS, now)
        may_change = phase == MemberPhase.IN and is_healthy and fresh
        if may_change and due is not None and self._is_prepared(SETTINGS, due, now):
            self._activate(SETTINGS, due.digest, now)
            self._artifacts.apply_settings(SETTINGS, due.digest)

    def _activate(self, kind: str, digest: str, now: float) -> None:
        """Store what is to be run from now on.

        There is no probation in a rollback: what the member would go back to is the worse artifact.
        """
        open_one = self._open_rollout(kind)
        trial = "" if open_one is not None and open_one.phase == RolloutPhase.ROLLBACK else kind
        before = self.active_digests.get(kind, "")
        if (
            open_one is not None
            and open_one.old.digest != before
            and self._is_prepared(kind, open_one.old, now)
        ):
            before = open_one.old.digest  # not what an earlier rollout may have left here
        self._store.put(
            runs={**self.active_digests, kind: digest},
            before={**self.previous_digests, kind: before},
            trial=trial,
        )
        self.active_digests[kind] = digest
        self.previous_digests[kind] = before
        self.probation_kind = trial
        self._probation_since = None
        self._exit_count = 0

    def _open_rollout(self, kind: str) -> Rollout | None:
        rollout = None if self.rollout_state is None else self.rollout_state.open_rollout
        return rollout if rollout is not None and rollout.kind == kind else None

    def _check_probation(self, now: float, phase: MemberPhase, has_exited: bool, is_healthy: bool) -> None:
        """End the probation, or roll back; probation begins when the member is to run again."""
        if phase in (MemberPhase.LEAVING, MemberPhase.OUT):
            return
        if self._probation_since is None:
            self._probation_since = now
        self._exit_count += has_exited
        target = self._target(self.probation_kind)
        previous_digest = self.previous_digests.get(self.probation_kind)
        if target is not None and target.digest == previous_digest and self._is_state_fresh(now):
            self._roll_back(now, "")  # the rollout goes back; the artifact has not failed here
            return
        elapsed_ms = now - self._probation_since
        needs_no_more_time = self.probation_kind == BUILD or elapsed_ms > self.policy.min_healthy_ms
        if self._exit_count >= self.policy.max_exits:
            self._roll_back(now, f"it ended by itself {self._exit_count} times")
        elif is_healthy and needs_no_more_time:
            self._store.put(trial="")
            self.probation_kind = ""
        elif elapsed_ms > self.policy.probation_ms and not is_healthy:
            self._roll_back(now, f"it does not serve after {self.policy.probation_ms / 1000:.0f} s")

    def _roll_back(self, now: float, reason: str) -> None:
        """Go back to the artifact before; with a reason, record that this one has failed."""
        kind = self.probation_kind
        failed_digest = self.active_digests[kind]
        previous_digest = self.previous_digests.get(kind, "")
        # outside a rollout it is the baseline of the whole fleet, which is tried again later
        cause = FailureCause.HOST if self._open_rollout(kind) is None else FailureCause.ARTIFACT
        if reason:
            self._record_failure(kind, failed_digest, ArtifactStatus(False, cause, reason), now)
        self._store.put(runs={**self.active_digests, kind: previous_digest}, trial="")
        self.active_digests[kind] = previous_digest
        self.probation_kind = ""
        if kind == SETTINGS:
            self._artifacts.apply_settings(SETTINGS, previous_digest)


def _load_failures(store: StateStore) -> dict[str, _FailedDeployment]:
    """Return the artifacts that were stored as failed on this host, by kind."""
    stored = store.get("refused")
    if not isinstance(stored, dict):
        return {}
    return {
        kind: _FailedDeployment(digest, number, ArtifactStatus(False, FailureCause.ARTIFACT, reason), 0.0)
        for kind, (digest, number, reason) in stored.items()
    }
