"""The steps of a rollout leader, as changes of the rollout state.

Each step contains the rollout as the leader last read it. The step is rejected if the rollout is paused or
has advanced since, or if the fencing token is too old. A leader that was paused therefore cannot change a
rollout.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ..consensus.proposer import ChangeRejectedError, RegisterChange
from .fleet_state import MAX_TEXT_LENGTH, HaltState
from .rollout_state import (
    Rollout,
    RolloutPhase,
    RolloutState,
    audit_entry,
    describe,
    require_open,
    rolled_back,
    update_rollout_state,
    with_changes,
)


class LeaderAction(StrEnum):
    """Decision of a rollout leader in a step."""

    NEXT_WAVE = "next"
    ROLL_BACK = "worse"
    PAUSE = "hold"
    ASK_OPERATOR = "ask"  # pause for an operator, as the canary analysis is inconclusive
    CLOSE = "close"
    LEAVE_BEHIND = "left"  # record members that cannot change to their artifact
    RECORD_PROGRESS = "note"  # record the observation time and the evidence


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """The rollout as its leader last read it, with the leader's fencing token and name."""

    rollout: Rollout
    token: int
    actor: str
    timestamp_s: float  # wall clock


@dataclass(frozen=True, slots=True)
class LeaderUpdate:
    """The changes of a leader's step; fields that are None stay unchanged.

    `evidence` belongs to the current wave, or with NEXT_WAVE is the initial state of the next wave's
    analysis.
    """

    action: LeaderAction
    reason: str = ""
    watched_ms: int | None = None
    left_behind: Mapping[str, str] | None = None  # added to the members that are already left behind
    evidence: tuple[float, ...] | None = None


def _require_unchanged(state: RolloutState, context: LeaderContext) -> Rollout:
    """Return the open rollout if it is still in the phase and wave that the leader has read.

    Raises:
        ChangeRejectedError: the rollout is paused or has advanced, or a newer leader has written.
    """
    rollout = require_open(state)
    seen = context.rollout
    has_advanced = (rollout.number, rollout.wave, rollout.phase) != (seen.number, seen.wave, seen.phase)
    if context.token < state.token or has_advanced or rollout.pause is not None:
        raise ChangeRejectedError
    return rollout


def apply_leader_update(context: LeaderContext, update: LeaderUpdate) -> RegisterChange:
    """Apply a leader's step to the rollout state.

    The change is rejected if the rollout is paused or has advanced since the leader read it, or if the
    fencing token is older than that of the last leader.
    """

    def change(state: RolloutState) -> RolloutState:
        rollout = _require_unchanged(state, context)
        left_behind = update.left_behind or {}
        rollout = msgspec.structs.replace(
            rollout,
            watched_ms=rollout.watched_ms if update.watched_ms is None else update.watched_ms,
            left_behind={**rollout.left_behind, **left_behind},
            evidence=rollout.evidence if update.evidence is None else update.evidence,
        )
        entries = [
            audit_entry(context.timestamp_s, context.actor, f"{name} is left behind: {text}")
            for name, text in left_behind.items()
        ]
        state = msgspec.structs.replace(state, token=context.token)
        return _apply_action(with_changes(state, rollout, *entries), rollout, context, update)

    return update_rollout_state(change)


def _apply_action(
    state: RolloutState, rollout: Rollout, context: LeaderContext, update: LeaderUpdate
) -> RolloutState:
    actor = context.actor
    reason = update.reason
    timestamp_s = context.timestamp_s
    if update.action is LeaderAction.ROLL_BACK:
        return rolled_back(state, rollout, actor, reason, timestamp_s)
    if update.action in (LeaderAction.PAUSE, LeaderAction.ASK_OPERATOR):
        pause = HaltState(actor, reason[:MAX_TEXT_LENGTH], timestamp_s)
        awaits_operator = update.action is LeaderAction.ASK_OPERATOR
        paused = msgspec.structs.replace(rollout, pause=pause, awaits_operator=awaits_operator)
        return with_changes(state, paused, audit_entry(timestamp_s, actor, f"held: {reason}"))
    if update.action is LeaderAction.CLOSE:
        return _close_rollout(state, rollout, actor, reason, timestamp_s)
    if update.action is LeaderAction.NEXT_WAVE:
        advanced = _next_wave(rollout)
        entry = audit_entry(timestamp_s, actor, f"{describe(advanced)}: {reason}")
        return with_changes(state, advanced, entry)
    return state


def _next_wave(rollout: Rollout) -> Rollout:
    """Return the rollout at its next wave, or in OBSERVE after the last wave forward."""
    rollout = msgspec.structs.replace(rollout, watched_ms=0, awaits_operator=False, operator_accepted=False)
    if rollout.phase == RolloutPhase.ROLLBACK:
        return msgspec.structs.replace(rollout, wave=rollout.wave - 1)
    if rollout.wave + 1 < len(rollout.waves):
        return msgspec.structs.replace(rollout, wave=rollout.wave + 1)
    return msgspec.structs.replace(rollout, phase=int(RolloutPhase.OBSERVE))


def _close_rollout(
    state: RolloutState, rollout: Rollout, actor: str, reason: str, timestamp_s: float
) -> RolloutState:
    """Close the rollout; the baseline is the new artifact, or after a rollback the old one."""
    baseline = rollout.old if rollout.phase == RolloutPhase.ROLLBACK else rollout.new
    text = f"release {rollout.number} closed, {baseline.name} runs: {reason}"
    entry = audit_entry(timestamp_s, actor, text)
    return with_changes(state, None, entry, baseline={**state.baseline, rollout.kind: baseline})
