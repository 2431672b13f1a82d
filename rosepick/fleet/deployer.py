"""What an agent does for a release: a machine without I/O and clock, beside that of the drains.

It has the new version made ready on its host before anything is taken down, goes out by a permit like
anybody, has the new one started, and goes back to what ran before if that does not prove itself: at once,
by itself, without asking anyone. What it is doing is on its disk first. Settings go without a permit: they
are taken in place.

Times are milliseconds of the agent's own clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..consensus.proposer import RegisterChange
from . import fleet_state as book
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

MAX_ROLLOUT_STATE_AGE_MS = 2_000.0  # a member goes over by a reading of the record that is no older
ARTIFACT_KINDS = (BUILD, SETTINGS)


class FailureCause(Enum):
    """Why a version is not run here."""

    NONE = ""
    ARTIFACT = "version"  # it is not what it should be, does not start, or does not prove itself
    HOST = "host"  # it could not be brought here: no room, no source


@dataclass(frozen=True, slots=True)
class DeployPolicy:
    """`min_healthy_ms`: the new one has to serve for so long before its permit ends; `probation_ms`: it has
    so long for that; `max_exits`: so often it may end by itself meanwhile; `retry_interval_ms`: until a host
    tries again what it could not get.
    """

    min_healthy_ms: float = 10_000.0
    probation_ms: float = 30_000.0
    max_exits: int = 3
    retry_interval_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class ArtifactStatus:
    """How far a version is on this host."""

    is_ready: bool = False
    cause: FailureCause = FailureCause.NONE
    reason: str = ""


class StateStore(Protocol):
    """Where an agent keeps what it is doing."""

    def get(self, name: str) -> object:
        """What was kept under a name."""

    def put(self, **more: object) -> None:
        """It is on the disk when this returns. OSError if it cannot be."""


class ArtifactStore(Protocol):
    """The host's store of versions."""

    def prepare(self, kind: str, artifact: Artifact) -> ArtifactStatus:
        """How far it is; whatever is missing is begun."""

    def apply_settings(self, kind: str, digest: str) -> None:
        """Have the member run these settings from now on."""

    def remove_except(self, needed: Iterable[str]) -> None:
        """Remove versions that nobody goes back to: a release is closed."""


class Deployer:
    """One member's part in releases. `active_digests`: digests of what it runs, by kind; what is on the disk
    counts.
    """

    def __init__(
        self,
        name: str,
        store: StateStore,
        artifacts: ArtifactStore,
        policy: DeployPolicy,
        active_digests: dict[str, str],
    ) -> None:
        self.name, self._store, self._artifacts, self.policy = name, store, artifacts, policy
        told = store.get("runs")
        self.active_digests: dict[str, str] = dict(told) if isinstance(told, dict) else dict(active_digests)
        told = store.get("before")
        self.previous_digests: dict[str, str] = dict(told) if isinstance(told, dict) else {}
        self.probation_kind = str(store.get("trial") or "")  # the kind that is on probation
        self.rollout_state: RolloutState | None = None
        self._state_read_at = -MAX_ROLLOUT_STATE_AGE_MS - 1.0
        self.runs_wrong_build = False
        self._probation_since: float | None = None
        self._exit_count = 0
        self._failures: dict[
            str, tuple[str, int, ArtifactStatus, float]
        ] = {}  # by kind: digest, release, why, when
        told = store.get("refused")  # what was no good here is not tried again by the agent's next start
        if isinstance(told, dict):
            self._failures = {
                kind: (digest, number, ArtifactStatus(False, FailureCause.ARTIFACT, why), 0.0)
                for kind, (digest, number, why) in told.items()
            }

    # -- what is to be run

    def update_state(self, rollout_state: RolloutState, asked_at: float) -> None:
        """The record, as it was at some time since then."""
        closed = (
            self.rollout_state is not None
            and self.rollout_state.open_rollout is not None
            and rollout_state.open_rollout is None
        )
        if closed and not self.runs_wrong_build:
            self._artifacts.remove_except(
                [*self.active_digests.values(), *(thing.digest for thing in rollout_state.baseline.values())]
            )
        self.rollout_state, self._state_read_at = rollout_state, asked_at

    def _target(self, kind: str) -> Artifact | None:
        return None if self.rollout_state is None else self.rollout_state.artifact_for(self.name, kind)

    def _pending_artifact(self, kind: str, now: float) -> Artifact | None:
        """What this member is to run and does not; None while it may not or cannot."""
        goal, record = self._target(kind), self.rollout_state
        if goal is None or record is None or goal.digest == self.active_digests.get(kind, goal.digest):
            return None
        held = record.open_rollout is not None and record.open_rollout.pause is not None
        digest, number, found, when = self._failures.get(kind, ("", 0, ArtifactStatus(), 0.0))
        refused = (digest, number) == (goal.digest, record.last_number) and (
            found.cause is FailureCause.ARTIFACT or now - when < self.policy.retry_interval_ms
        )
        return None if held or refused or self.probation_kind else goal

    def _is_prepared(self, kind: str, artifact: Artifact, now: float) -> bool:
        ready = self._artifacts.prepare(kind, artifact)
        if ready.cause is not FailureCause.NONE:
            self._record_failure(kind, artifact.digest, ready, now)
        return ready.is_ready

    def _record_failure(self, kind: str, digest: str, status: ArtifactStatus, now: float) -> None:
        number = 0 if self.rollout_state is None else self.rollout_state.last_number
        self._failures[kind] = digest, number, status, now
        if status.cause is FailureCause.ARTIFACT:
            told = {
                kind: (digest, number, found.reason)
                for kind, (digest, number, found, _) in self._failures.items()
                if found.cause is FailureCause.ARTIFACT
            }
            self._store.put(refused=told)

    def describe_failure(self) -> str:
        """Why this member does not run what it is to run, for its report: `kind digest blame why`."""
        for kind in ARTIFACT_KINDS:
            goal, record = self._target(kind), self.rollout_state
            digest, number, found, _ = self._failures.get(kind, ("", 0, ArtifactStatus(), 0.0))
            current = record is not None and record.last_number == number
            if (
                goal is not None
                and current
                and goal.digest == digest
                and digest != self.active_digests.get(kind)
            ):
                return f"{kind} {digest} {found.cause.value} {found.reason}"
        return ""

    def is_under_analysis(self) -> bool:
        """Whether its figures are a release's to judge: it runs the new one of one that is open."""
        open_one = None if self.rollout_state is None else self.rollout_state.open_rollout
        return open_one is not None and self.active_digests.get(open_one.kind) == open_one.new.digest

    def has_pending_work(self, now: float) -> bool:
        """Whether the record is to be read often: something is to be done by it."""
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
        fleet_state: FleetState,
        wall_time_s: float,
    ) -> RegisterChange | None:
        """What the ledger is asked for: out if a build is due and is ready here, in if it is not."""
        by_release = own_member.drain_request is not None and own_member.drain_request.actor.startswith(
            ROLLOUT_ACTOR_PREFIX
        )
        due = self._pending_artifact(BUILD, now)
        needs = due is not None or (self.runs_wrong_build and phase in (MemberPhase.IN, MemberPhase.GIVEN))
        prepared = due is None or self._is_prepared(BUILD, due, now)
        if phase == MemberPhase.IN and own_member.drain_request is None and needs and prepared:
            assert self.rollout_state is not None
            open_one = self.rollout_state.open_rollout
            wide = open_one is not None and open_one.phase == RolloutPhase.ROLLBACK
            why = f"to run {due.name}" if due is not None else "to run what it is to"
            if fleet_state.halt is not None and not wide:
                return None
            return book.request_drain(
                [self.name], self.rollout_state.drain_actor, why, wall_time_s, uses_rollback_limit=wide
            )
        fresh = now - self._state_read_at <= MAX_ROLLOUT_STATE_AGE_MS
        if (
            by_release
            and not needs
            and fresh
            and phase in (MemberPhase.IN, MemberPhase.GIVEN, MemberPhase.OUT)
        ):
            assert own_member.drain_request is not None
            return book.cancel_drain(
                [self.name], self.name, wall_time_s, requested_by=own_member.drain_request.actor
            )
        return None

    def advance(
        self,
        now: float,
        phase: MemberPhase,
        has_exited: bool,
        is_healthy: bool,
        runs_wrong_build: bool = False,
    ) -> None:
        """What is to be done between two looks. `has_exited`: the member has ended by itself since the last
        one; `is_healthy`: it is back beyond doubt; `runs_wrong_build`: it runs another build than it is to,
        as it was found to be back just when it was taken back. A build is changed while the member is out;
        settings while it serves.
        """
        self.runs_wrong_build = runs_wrong_build
        if self.probation_kind:
            self._check_probation(now, phase, has_exited, is_healthy)
            return
        due, fresh = self._pending_artifact(BUILD, now), now - self._state_read_at <= MAX_ROLLOUT_STATE_AGE_MS
        if phase == MemberPhase.OUT and due is not None and fresh and self._is_prepared(BUILD, due, now):
            self._activate(BUILD, due.digest, now)
        due = self._pending_artifact(SETTINGS, now)
        if (
            phase == MemberPhase.IN
            and is_healthy
            and due is not None
            and fresh
            and self._is_prepared(SETTINGS, due, now)
        ):
            self._activate(SETTINGS, due.digest, now)
            self._artifacts.apply_settings(SETTINGS, due.digest)

    def _activate(self, kind: str, digest: str, now: float) -> None:
        """Kept before it is run. On the way back there is no probation: what is left behind is worse, and
        nobody goes over to it again.
        """
        open_one = self._open_rollout(kind)
        trial = "" if open_one is not None and open_one.phase == RolloutPhase.ROLLBACK else kind
        before = self.active_digests.get(kind, "")
        if (
            open_one is not None
            and open_one.old.digest != before
            and self._is_prepared(kind, open_one.old, now)
        ):
            before = open_one.old.digest  # guards against going back to what an earlier release has left here
        self._store.put(
            runs={**self.active_digests, kind: digest},
            before={**self.previous_digests, kind: before},
            trial=trial,
        )
        self.active_digests[kind], self.previous_digests[kind], self.probation_kind = digest, before, trial
        self._probation_since, self._exit_count = None, 0

    def _open_rollout(self, kind: str) -> Rollout | None:
        now = None if self.rollout_state is None else self.rollout_state.open_rollout
        return now if now is not None and now.kind == kind else None

    def _check_probation(self, now: float, phase: MemberPhase, has_exited: bool, is_healthy: bool) -> None:
        """Probation: from when it is to run on."""
        if phase in (MemberPhase.LEAVING, MemberPhase.OUT):
            return
        if self._probation_since is None:
            self._probation_since = now
        self._exit_count += has_exited
        goal = self._target(self.probation_kind)
        if (
            goal is not None
            and goal.digest == self.previous_digests.get(self.probation_kind)
            and now - self._state_read_at <= MAX_ROLLOUT_STATE_AGE_MS
        ):
            self._roll_back(now, "")  # it is taken back: no fault of it was found here
            return
        long = now - self._probation_since > self.policy.probation_ms
        if self._exit_count >= self.policy.max_exits:
            self._roll_back(now, f"it ended by itself {self._exit_count} times")
        elif is_healthy and (
            self.probation_kind == BUILD or now - self._probation_since > self.policy.min_healthy_ms
        ):
            self._store.put(trial="")
            self.probation_kind = ""
        elif long and not is_healthy:
            self._roll_back(now, f"it does not serve after {self.policy.probation_ms / 1000:.0f} s")

    def _roll_back(self, now: float, reason: str) -> None:
        """Back to what ran before, at once."""
        kind = self.probation_kind
        failed, old = self.active_digests[kind], self.previous_digests.get(kind, "")
        # what the whole fleet runs is tried again later
        blame = FailureCause.HOST if self._open_rollout(kind) is None else FailureCause.ARTIFACT
        if reason:
            self._record_failure(kind, failed, ArtifactStatus(False, blame, reason), now)
        self._store.put(runs={**self.active_digests, kind: old}, trial="")
        self.active_digests[kind], self.probation_kind = old, ""
        if kind == SETTINGS:
            self._artifacts.apply_settings(SETTINGS, old)
