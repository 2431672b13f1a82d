"""The deployer changes the artifacts of one member in rollouts: a state machine without I/O and clock.

It runs beside the member's agent. It prepares a new build on the host while the member serves. The member
then leaves under a drain permit as in any other drain, and starts with the new build. If the member does not
become healthy, the deployer restores the previous build immediately, without a decision of the rollout
leader. Each step is saved to the disk before it is taken. Settings are changed in place, without a permit.

Times are milliseconds of the agent's own clock, unless their name ends in `_s`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

from ..consensus.proposer import RegisterChange
from . import drain_requests
from .fleet_state import FleetMember, FleetState, MemberPhase
from .rollout_state import (
    BUILD,
    SETTINGS,
    Artifact,
    Rollout,
    RolloutPhase,
    RolloutState,
)

MAX_ROLLOUT_STATE_AGE_MS = 2_000.0  # a member changes no artifact by an older rollout state
ARTIFACT_KINDS = (BUILD, SETTINGS)


class FailureCause(Enum):
    """What prevents an artifact from running on this host."""

    NONE = ""
    ARTIFACT = "version"  # the artifact is damaged, does not start, or does not become healthy
    HOST = "host"  # the host cannot fetch it: the disk is full or the source is missing


@dataclass(frozen=True, slots=True)
class DeployPolicy:
    """Durations and limits of a deployment; times in milliseconds.

    `min_healthy_ms`: time for which a new build has to serve before its permit ends. `probation_ms`: time
    within which a new artifact has to become healthy. `max_exits`: number of unrequested exits during the
    probation that cause a rollback. `retry_interval_ms`: time between attempts to fetch an artifact.
    """

    min_healthy_ms: float = 10_000.0
    probation_ms: float = 30_000.0
    max_exits: int = 3
    retry_interval_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class ArtifactStatus:
    """Progress of preparing an artifact on this host."""

    is_ready: bool = False
    cause: FailureCause = FailureCause.NONE
    reason: str = ""


class DeployFailure(NamedTuple):
    """Reason why a member does not run an artifact; a health report holds it as one line of text."""

    kind: str
    digest: str
    cause: str  # value of a `FailureCause`
    reason: str

    def format(self) -> str:
        """Return the failure as one line for a health report."""
        return f"{self.kind} {self.digest} {self.cause} {self.reason}"

    @classmethod
    def parse(cls, text: str) -> DeployFailure:
        """Return the failure in the text of a health report; all fields are empty if there is none."""
        kind, digest, cause, reason = (text + "   ").split(" ", 3)
        return cls(kind, digest, cause, reason.strip())


class StateStore(Protocol):
    """Durable key-value storage of an agent."""

    def get(self, name: str) -> object:
        """Return the value stored under a name; None if there is none."""

    def put(self, **more: object) -> None:
        """Store values under their names; they are on the disk when this returns.

        Raises:
            OSError: the values cannot be written.
        """


class ArtifactStore(Protocol):
    """The artifacts on this host."""

    def prepare(self, kind: str, artifact: Artifact) -> ArtifactStatus:
        """Start preparing an artifact if needed, and return its progress."""

    def apply_settings(self, kind: str, digest: str) -> None:
        """Apply settings to the running member."""

    def remove_except(self, needed: Iterable[str]) -> None:
        """Remove the artifacts whose digests are not in `needed`."""


@dataclass(frozen=True, slots=True)
class _FailedDeployment:
    """The last failed deployment of one kind of artifact."""

    digest: str
    rollout_number: int
    status: ArtifactStatus
    failed_at: float


class Deployer:
    """State machine that changes the artifacts of one member.

    `active_digests` holds the digest of the member's artifact of each kind. Stored digests take precedence
    over the parameter.
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
        self.probation_kind = str(store.get("trial") or "")  # kind on probation, or empty
        self.rollout_state: RolloutState | None = None
        self.runs_wrong_build = False
        self._state_read_at = -MAX_ROLLOUT_STATE_AGE_MS - 1.0
        self._probation_since: float | None = None
        self._exit_count = 0
        self._failures = _load_failures(store)  # by kind; outlive a restart of the agent

    # -- the artifacts to run

    def update_state(self, rollout_state: RolloutState, asked_at: float) -> None:
        """Store the rollout state, which was read at `asked_at` or later."""
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
        """Return the artifact that this member has to change to; None if there is none or it must wait."""
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
        """Return whether an artifact failed here in this rollout and no retry is due."""
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
        """Return why this member does not run its target, for the health report; empty if it does."""
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
        """Return whether the member runs the new artifact of the open rollout, under canary analysis."""
        rollout = None if self.rollout_state is None else self.rollout_state.open_rollout
        return rollout is not None and self.active_digests.get(rollout.kind) == rollout.new.digest

    def has_pending_work(self, now: float) -> bool:
        """Return whether work is pending that needs frequent reads of the rollout state."""
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

        The change requests a drain if a new build is prepared, or cancels the request if none is needed.
        """
        due = self._pending_artifact(BUILD, now)
        needs_drain = due is not None or (
            self.runs_wrong_build and phase in (MemberPhase.IN, MemberPhase.GIVEN)
        )
        is_prepared = due is None or self._is_prepared(BUILD, due, now)
        request = own_member.drain_request
        if phase == MemberPhase.IN and request is None and needs_drain and is_prepared:
            return self._request_drain(due, state, wall_time_s)
        is_fresh = self._is_state_fresh(now)
        if (
            request is not None
            and request.is_by_rollout
            and not needs_drain
            and is_fresh
            and phase in (MemberPhase.IN, MemberPhase.GIVEN, MemberPhase.OUT)
        ):
            return drain_requests.cancel_drain(
                [self.name], self.name, wall_time_s, requested_by=request.actor
            )
        return None

    def _request_drain(
        self, due: Artifact | None, state: FleetState, wall_time_s: float
    ) -> RegisterChange | None:
        """Return the drain request for a new build; None during a halt, except in a rollback."""
        assert self.rollout_state is not None
        rollout = self.rollout_state.open_rollout
        is_rollback = rollout is not None and rollout.phase == RolloutPhase.ROLLBACK
        if state.halt is not None and not is_rollback:
            return None
        reason = f"to run {due.name}" if due is not None else "to run what it is to"
        return drain_requests.request_drain(
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
        """Check the probation, or change the build of a member that is out or the settings of one that is in.

        `has_exited`: the member has exited without a request since the last call. `runs_wrong_build`: the
        running build is not the intended one. This happens if the permit ends while the build is rolled back.
        """
        self.runs_wrong_build = runs_wrong_build
        if self.probation_kind:
            self._check_probation(now, phase, has_exited, is_healthy)
            return
        due = self._pending_artifact(BUILD, now)
        is_fresh = self._is_state_fresh(now)
        if phase == MemberPhase.OUT and due is not None and is_fresh and self._is_prepared(BUILD, due, now):
            self._activate(BUILD, due.digest, now)
        due = self._pending_artifact(SETTINGS, now)
        may_change = phase == MemberPhase.IN and is_healthy and is_fresh
        if may_change and due is not None and self._is_prepared(SETTINGS, due, now):
            self._activate(SETTINGS, due.digest, now)
            self._artifacts.apply_settings(SETTINGS, due.digest)

    def _activate(self, kind: str, digest: str, now: float) -> None:
        """Store the artifact to run from now on.

        There is no probation in a rollback, as the previous artifact is the one that is being rolled back.
        """
        rollout = self._open_rollout(kind)
        probation_kind = "" if rollout is not None and rollout.phase == RolloutPhase.ROLLBACK else kind
        previous_digest = self.active_digests.get(kind, "")
        if (
            rollout is not None
            and rollout.old.digest != previous_digest
            and self._is_prepared(kind, rollout.old, now)
        ):
            previous_digest = rollout.old.digest  # not one that an earlier rollout left on this host
        self._store.put(
            runs={**self.active_digests, kind: digest},
            before={**self.previous_digests, kind: previous_digest},
            trial=probation_kind,
        )
        self.active_digests[kind] = digest
        self.previous_digests[kind] = previous_digest
        self.probation_kind = probation_kind
        self._probation_since = None
        self._exit_count = 0

    def _open_rollout(self, kind: str) -> Rollout | None:
        rollout = None if self.rollout_state is None else self.rollout_state.open_rollout
        return rollout if rollout is not None and rollout.kind == kind else None

    def _check_probation(self, now: float, phase: MemberPhase, has_exited: bool, is_healthy: bool) -> None:
        """End the probation or roll back; the probation starts when the member may run again."""
        if phase in (MemberPhase.LEAVING, MemberPhase.OUT):
            return
        if self._probation_since is None:
            self._probation_since = now
        self._exit_count += has_exited
        target = self._target(self.probation_kind)
        previous_digest = self.previous_digests.get(self.probation_kind)
        if target is not None and target.digest == previous_digest and self._is_state_fresh(now):
            self._roll_back(now, "")  # the rollout is rolled back; the artifact did not fail on this host
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
        """Restore the previous artifact; with a reason, record that the current one failed."""
        kind = self.probation_kind
        failed_digest = self.active_digests[kind]
        previous_digest = self.previous_digests.get(kind, "")
        # outside a rollout the artifact is the fleet's baseline, which has to be retried
        cause = FailureCause.HOST if self._open_rollout(kind) is None else FailureCause.ARTIFACT
        if reason:
            self._record_failure(kind, failed_digest, ArtifactStatus(False, cause, reason), now)
        self._store.put(runs={**self.active_digests, kind: previous_digest}, trial="")
        self.active_digests[kind] = previous_digest
        self.probation_kind = ""
        if kind == SETTINGS:
            self._artifacts.apply_settings(SETTINGS, previous_digest)


def _load_failures(store: StateStore) -> dict[str, _FailedDeployment]:
    """Return the stored failures of artifacts on this host, by kind."""
    stored = store.get("refused")
    if not isinstance(stored, dict):
        return {}
    return {
        kind: _FailedDeployment(digest, number, ArtifactStatus(False, FailureCause.ARTIFACT, reason), 0.0)
        for kind, (digest, number, reason) in stored.items()
    }
