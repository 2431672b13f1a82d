"""The rollout state of a group: the target artifacts of routers, the open rollout, and the history.

The rollout state is one replicated document in a register beside the fleet state and changes by
compare-and-set only. It contains everything that a rollout leader needs, so another leader can resume a
rollout; a step under an older fencing token is rejected. A rollout drains no member itself: each member
leaves under a drain permit that its own agent requests.

    FORWARD --all waves--> OBSERVE --observation ends--> closed: the new artifact is the baseline
       |   worse, or an operator   |
       +--------> ROLLBACK <-------+  --all waves--> closed: the old artifact stays the baseline

`leader_steps` has the steps of a leader.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from math import ceil

import msgspec

from ..consensus.proposer import ChangeRejectedError, RegisterChange
from .fleet_state import (
    MAX_TEXT_LENGTH,
    REGISTER_PREFIX,
    ROLLOUT_ACTOR_PREFIX,
    AuditEntry,
    FleetState,
    HaltState,
    MemberKind,
)
from .versioned_document import VersionedDocument

FORMAT_VERSION = 1  # newest document format that this program reads
MAX_HISTORY_ENTRIES = 60
BUILD = "build"  # artifact kind: a folder with the program
SETTINGS = "settings"  # artifact kind: a file with settings
STEP_ZONE = "zone"  # step of a rollout plan: the remaining routers of the first zone
STEP_REST = "rest"  # step of a rollout plan: all other zones, one wave each
BEFORE_FIRST_WAVE = -1  # the leader is still measuring the baseline


class RolloutPhase(IntEnum):
    """The phase of an open rollout."""

    FORWARD = 0
    OBSERVE = 1  # all waves run the new artifact and are still observed
    ROLLBACK = 2


class Artifact(msgspec.Struct, frozen=True, array_like=True):
    """A build (a folder) or settings (a file)."""

    name: str
    digest: str
    source: str  # path of the artifact on each host


class Rollout(msgspec.Struct, frozen=True, array_like=True):
    """An open rollout.

    `waves` contains the names of the members by wave. Members of the waves up to `wave` may run the new
    artifact; in a rollback those of the waves from `wave` on have to run the old one. `left_behind` maps the
    members that cannot change to their artifact to the reason; the rollout does not wait for them.
    """

    number: int
    kind: str
    new: Artifact
    old: Artifact
    waves: tuple[tuple[str, ...], ...]
    phase: int = RolloutPhase.FORWARD
    wave: int = 0
    watched_ms: int = 0  # observation time of the current wave in milliseconds
    pause: HaltState | None = None  # no step is taken until an operator resumes
    left_behind: dict[str, str] = {}
    evidence: tuple[float, ...] = ()  # exported state of the current wave's canary analysis
    awaits_operator: bool = False  # paused because the canary analysis is inconclusive
    operator_accepted: bool = False  # an operator has accepted this wave's inconclusive analysis

    def artifact_for(self, name: str) -> Artifact:
        """Return the artifact that a member has to run."""
        wave = next((index for index, names in enumerate(self.waves) if name in names), None)
        if self.phase == RolloutPhase.OBSERVE:
            return self.new
        if self.phase == RolloutPhase.ROLLBACK:
            return self.old if wave is None or wave >= self.wave else self.new
        return self.new if wave is not None and wave <= self.wave else self.old

    def current_members(self) -> tuple[str, ...]:
        """Return the members of the current wave; empty before the first one."""
        return self.waves[self.wave] if 0 <= self.wave < len(self.waves) else ()


class RolloutState(msgspec.Struct, frozen=True, array_like=True):
    """The replicated document of the rollout state.

    `baseline` maps a kind to the artifact that members run while no rollout is open; a host that was down
    during a rollout changes to it later. `token` is the fencing token of the leader that wrote last.
    """

    format_version: int = FORMAT_VERSION
    last_number: int = 0
    token: int = 0
    baseline: dict[str, Artifact] = {}
    open_rollout: Rollout | None = None
    history: tuple[AuditEntry, ...] = ()

    def artifact_for(self, name: str, kind: str) -> Artifact | None:
        """Return the artifact of a kind that a member has to run; None to keep its current one."""
        if self.open_rollout is not None and self.open_rollout.kind == kind:
            return self.open_rollout.artifact_for(name)
        return self.baseline.get(kind)

    @property
    def drain_actor(self) -> str:
        """The actor of drain requests on behalf of the last rollout."""
        return f"{ROLLOUT_ACTOR_PREFIX}{self.last_number}"


_document = VersionedDocument(RolloutState, FORMAT_VERSION, "record of releases")  # label for error messages
decode_rollout_state = _document.decode
encode_rollout_state = _document.encode
update_rollout_state = _document.register_change


def rollout_state_key(group: str) -> str:
    """Return the key of the register that holds a group's rollout state."""
    return f"{REGISTER_PREFIX}{group}/releases"


def with_changes(
    state: RolloutState, open_rollout: Rollout | None, *entries: AuditEntry, **changes: object
) -> RolloutState:
    """Return the state with its open rollout replaced, entries appended and fields changed."""
    history = (state.history + entries)[-MAX_HISTORY_ENTRIES:]
    return msgspec.structs.replace(state, open_rollout=open_rollout, history=history, **changes)


def audit_entry(timestamp_s: float, actor: str, message: str) -> AuditEntry:
    """Return a history entry with its message cut to `MAX_TEXT_LENGTH` characters."""
    return AuditEntry(timestamp_s, actor, message[:MAX_TEXT_LENGTH])


# ---------------------------------------------------------------------------- operator commands


def start_rollout(
    kind: str,
    new: Artifact,
    old: Artifact,
    waves: Sequence[Sequence[str]],
    actor: str,
    reason: str,
    timestamp_s: float,
) -> RegisterChange:
    """Open a rollout.

    The change is rejected while another rollout is open, if the baseline is not `old`, and if both artifacts
    have the same digest.
    """

    def update(state: RolloutState) -> RolloutState:
        baseline = state.baseline.get(kind, old)
        if state.open_rollout is not None or baseline.digest != old.digest or new.digest == old.digest:
            raise ChangeRejectedError
        number = state.last_number + 1
        members_by_wave = tuple(tuple(names) for names in waves if names)
        rollout = Rollout(number, kind, new, baseline, members_by_wave, wave=BEFORE_FIRST_WAVE)
        text = f"release {number}: {kind} {new.name} for {baseline.name}: {reason}"
        return with_changes(
            state,
            rollout,
            audit_entry(timestamp_s, actor, text),
            last_number=number,
            baseline={**state.baseline, kind: baseline},
        )

    return update_rollout_state(update)


def require_open(state: RolloutState) -> Rollout:
    """Return the open rollout.

    Raises:
        ChangeRejectedError: no rollout is open.
    """
    if state.open_rollout is None:
        raise ChangeRejectedError
    return state.open_rollout


def pause_rollout(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Pause the open rollout until an operator resumes it or rolls it back."""

    def update(state: RolloutState) -> RolloutState:
        rollout = require_open(state)
        if rollout.pause is not None:
            return state
        pause = HaltState(actor, reason[:MAX_TEXT_LENGTH], timestamp_s)
        entry = audit_entry(timestamp_s, actor, f"held: {reason}")
        return with_changes(state, msgspec.structs.replace(rollout, pause=pause), entry)

    return update_rollout_state(update)


def resume_rollout(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Resume a paused rollout.

    The observation of the current wave starts anew, and the rollout waits for left-behind members again.
    """

    def update(state: RolloutState) -> RolloutState:
        rollout = require_open(state)
        if rollout.pause is None:
            raise ChangeRejectedError
        resumed = msgspec.structs.replace(
            rollout,
            pause=None,
            watched_ms=0,
            left_behind={},
            awaits_operator=False,
            operator_accepted=rollout.awaits_operator,
        )
        return with_changes(state, resumed, audit_entry(timestamp_s, actor, f"goes on: {reason}"))

    return update_rollout_state(update)


def _in_phase(rollout: Rollout, phase: RolloutPhase, wave: int, operator_accepted: bool) -> Rollout:
    """Return the rollout in another phase, without any observation."""
    return msgspec.structs.replace(
        rollout,
        phase=int(phase),
        wave=wave,
        watched_ms=0,
        pause=None,
        left_behind={},
        evidence=(),
        awaits_operator=False,
        operator_accepted=operator_accepted,
    )


def rolled_back(
    state: RolloutState, rollout: Rollout, actor: str, reason: str, timestamp_s: float
) -> RolloutState:
    """Return the state with its open rollout in ROLLBACK, from the wave that it has reached."""
    wave = len(rollout.waves) - 1 if rollout.phase == RolloutPhase.OBSERVE else rollout.wave
    redirected = _in_phase(rollout, RolloutPhase.ROLLBACK, wave, operator_accepted=False)
    return with_changes(state, redirected, audit_entry(timestamp_s, actor, f"goes back: {reason}"))


def roll_back(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Roll back the open rollout on behalf of an operator, even if it is paused.

    A rollback that is in progress stays as it is, except that a pause of it ends. The change is rejected if
    no rollout is open.
    """

    def update(state: RolloutState) -> RolloutState:
        rollout = require_open(state)
        if rollout.phase == RolloutPhase.ROLLBACK and rollout.pause is None:
            return state
        return rolled_back(state, rollout, actor, reason, timestamp_s)

    return update_rollout_state(update)


def roll_forward(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Reverse a rollback on behalf of an operator.

    The rollout continues from the last wave whose members all still run the new artifact. Members of later
    waves return to the old one first, so that the canary analysis has members to compare with.
    """

    def update(state: RolloutState) -> RolloutState:
        rollout = require_open(state)
        if rollout.phase != RolloutPhase.ROLLBACK:
            raise ChangeRejectedError
        wave = max(BEFORE_FIRST_WAVE, min(rollout.wave, len(rollout.waves)) - 1)
        redirected = _in_phase(rollout, RolloutPhase.FORWARD, wave, operator_accepted=True)
        return with_changes(state, redirected, audit_entry(timestamp_s, actor, f"forward again: {reason}"))

    return update_rollout_state(update)


def describe(rollout: Rollout) -> str:
    """Return a description of the phase and the wave of a rollout."""
    if rollout.phase == RolloutPhase.OBSERVE:
        return "all run it"
    direction = " back" if rollout.phase == RolloutPhase.ROLLBACK else ""
    return f"wave {rollout.wave + 1} of {len(rollout.waves)}{direction}"


# ---------------------------------------------------------------------------- rollout plan


def plan_waves(fleet_state: FleetState, steps: Sequence[int | str]) -> list[list[str]]:
    """Return the routers by wave.

    A step is a number of routers, a share of all routers ("2%"), "zone" (the remaining routers of the first
    zone) or "rest" (all other zones, one wave each). The zone with the fewest routers comes first, and no
    wave contains routers of two zones. Empty waves are omitted.
    """
    routers = fleet_state.members_of(MemberKind.ROUTER)
    zones: dict[str, list[str]] = {}
    for name in sorted(routers):
        zones.setdefault(routers[name].zone, []).append(name)
    zone_order = sorted(zones, key=lambda zone: (len(zones[zone]), zone))
    waves: list[list[str]] = []
    remaining = zones[zone_order[0]] if zone_order else []
    for step in steps:
        if step == STEP_REST:
            break
        size = len(remaining) if step == STEP_ZONE else _wave_size(step, len(routers))
        waves.append(remaining[:size])
        remaining = remaining[size:]
    waves.append(remaining)
    waves += [zones[zone] for zone in zone_order[1:]]
    return [names for names in waves if names]


def _wave_size(step: int | str, total: int) -> int:
    if isinstance(step, int):
        return step
    return max(1, ceil(float(step.rstrip("%")) / 100.0 * total))
