"""The record of a group's releases: what every router is to run, who has come to it, and the decisions.

It is one agreed document in a register beside the ledger, changed by compare-and-set alone. It holds all
that a leader needs, so any other goes on where one has stopped; a leader under an older token moves
nothing. A release takes nobody out: each member goes under a permit of the drains, asked for by its own
agent.

    FORWARD --all waves--> WATCH --in time--> closed: the new one is the base
       |   worse, or an operator's word |
       +----------> BACK <--------------+  --all are back--> closed: the old one stays the base
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import IntEnum
from math import ceil

import msgspec

from ..consensus.proposer import ChangeRejectedError, RegisterChange
from .fleet_state import MAX_TEXT_LENGTH, REGISTER_PREFIX, AuditEntry, FleetState, HaltState, MemberKind
from .versioned_document import VersionedDocument

FORMAT_VERSION = 1
MAX_HISTORY_ENTRIES = 60
ROLLOUT_ACTOR_PREFIX = "release "  # of who asks for a member on behalf of a release
BUILD, SETTINGS = "build", "settings"


class RolloutPhase(IntEnum):
    """Where an open release stands."""

    FORWARD = 0
    OBSERVE = 1  # all run the new one, which is looked at for a while yet
    ROLLBACK = 2


class Artifact(msgspec.Struct, frozen=True, array_like=True):
    """A build's folder or a file of settings: its name, its digest, and where each host finds it."""

    name: str
    digest: str
    source: str


class Rollout(msgspec.Struct, frozen=True, array_like=True):
    """An open release. `waves`: members by wave; those up to `wave` may run the new one, on the way back
    those from `wave` on are to run the old one. `watched_ms`: milliseconds that this wave was looked at.
    `left_behind`: who cannot follow, and why; they block nobody.
    """

    number: int
    kind: str
    new: Artifact
    old: Artifact
    waves: tuple[tuple[str, ...], ...]
    phase: int = RolloutPhase.FORWARD
    wave: int = 0
    watched_ms: int = 0
    pause: HaltState | None = None  # nobody begins anything before an operator goes on
    left_behind: dict[str, str] = {}
    evidence: tuple[float, ...] = ()
    awaits_operator: bool = False  # it is held as the figures do not say enough
    operator_accepted: bool = False  # an operator has this wave go on without them

    def artifact_for(self, name: str) -> Artifact:
        """What a member is to run."""
        place = next((n for n, names in enumerate(self.waves) if name in names), None)
        if self.phase == RolloutPhase.OBSERVE:
            return self.new
        if self.phase == RolloutPhase.ROLLBACK:
            return self.old if place is None or place >= self.wave else self.new
        return self.new if place is not None and place <= self.wave else self.old

    def current_members(self) -> tuple[str, ...]:
        """The members of the present wave."""
        return self.waves[self.wave] if 0 <= self.wave < len(self.waves) else ()


class RolloutState(msgspec.Struct, frozen=True, array_like=True):
    """The document. `baseline`: what members run when nothing is open, by kind; a host that was off meanwhile
    comes to it. `token`: of the leader that wrote last.
    """

    format_version: int = FORMAT_VERSION
    last_number: int = 0  # so far: the number of the last
    token: int = 0
    baseline: dict[str, Artifact] = {}
    open_rollout: Rollout | None = None
    history: tuple[AuditEntry, ...] = ()

    def artifact_for(self, name: str, kind: str) -> Artifact | None:
        """What a member is to run; None: whatever it does."""
        if self.open_rollout is not None and self.open_rollout.kind == kind:
            return self.open_rollout.artifact_for(name)
        return self.baseline.get(kind)

    @property
    def drain_actor(self) -> str:
        """Who asks for a member on behalf of a release."""
        return f"{ROLLOUT_ACTOR_PREFIX}{self.last_number}"


_document = VersionedDocument(RolloutState, FORMAT_VERSION, "record of releases")
decode_rollout_state, encode_rollout_state, update_rollout_state = (
    _document.decode,
    _document.encode,
    _document.register_change,
)


def rollout_state_key(group: str) -> str:
    """The register of a group's releases."""
    return f"{REGISTER_PREFIX}{group}/releases"


def _with_changes(
    state: RolloutState, open_rollout: Rollout | None, *entries: AuditEntry, **changes: object
) -> RolloutState:
    history = (state.history + entries)[-MAX_HISTORY_ENTRIES:]
    return msgspec.structs.replace(state, open_rollout=open_rollout, history=history, **changes)


def _audit_entry(timestamp_s: float, actor: str, message: str) -> AuditEntry:
    return AuditEntry(timestamp_s, actor, message[:MAX_TEXT_LENGTH])


# ---------------------------------------------------------------------------- an operator's word


def start_rollout(
    kind: str,
    new: Artifact,
    old: Artifact,
    waves: Sequence[Sequence[str]],
    actor: str,
    reason: str,
    timestamp_s: float,
) -> RegisterChange:
    """Open a release. Declined while another one is open, and if the old one is not what the fleet runs."""

    def make(record: RolloutState) -> RolloutState:
        base = record.baseline.get(kind, old)
        if record.open_rollout is not None or base.digest != old.digest or new.digest == old.digest:
            raise ChangeRejectedError
        number = record.last_number + 1
        plan = tuple(tuple(names) for names in waves if names)
        release = Rollout(number, kind, new, base, plan, wave=-1)
        said = _audit_entry(
            timestamp_s, actor, f"release {number}: {kind} {new.name} for {base.name}: {reason}"
        )
        return _with_changes(
            record, release, said, last_number=number, baseline={**record.baseline, kind: base}
        )

    return update_rollout_state(make)


def _require_open(state: RolloutState) -> Rollout:
    if state.open_rollout is None:
        raise ChangeRejectedError
    return state.open_rollout


def pause_rollout(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Nobody begins anything, until an operator goes on or goes back."""

    def make(record: RolloutState) -> RolloutState:
        now = _require_open(record)
        if now.pause is not None:
            return record
        held = HaltState(actor, reason[:MAX_TEXT_LENGTH], timestamp_s)
        return _with_changes(
            record,
            msgspec.structs.replace(now, pause=held),
            _audit_entry(timestamp_s, actor, f"held: {reason}"),
        )

    return update_rollout_state(make)


def resume_rollout(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """An operator has it go on. Its wave is looked at anew, and whoever was left behind is waited for
    again.
    """

    def make(record: RolloutState) -> RolloutState:
        now = _require_open(record)
        if now.pause is None:
            raise ChangeRejectedError
        on = msgspec.structs.replace(
            now,
            pause=None,
            watched_ms=0,
            left_behind={},
            awaits_operator=False,
            operator_accepted=now.awaits_operator,
        )
        return _with_changes(record, on, _audit_entry(timestamp_s, actor, f"goes on: {reason}"))

    return update_rollout_state(make)


def _rolled_back(
    state: RolloutState, rollout: Rollout, actor: str, reason: str, timestamp_s: float
) -> RolloutState:
    last = len(rollout.waves) - 1 if rollout.phase == RolloutPhase.OBSERVE else rollout.wave
    to = msgspec.structs.replace(
        rollout,
        phase=int(RolloutPhase.ROLLBACK),
        wave=last,
        watched_ms=0,
        pause=None,
        left_behind={},
        evidence=(),
        awaits_operator=False,
        operator_accepted=False,
    )
    return _with_changes(state, to, _audit_entry(timestamp_s, actor, f"goes back: {reason}"))


def roll_back(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """An operator has it taken back; one that is held too."""

    def make(record: RolloutState) -> RolloutState:
        now = _require_open(record)
        if now.phase == RolloutPhase.ROLLBACK and now.pause is None:
            return record
        return _rolled_back(record, now, actor, reason, timestamp_s)

    return update_rollout_state(make)


def roll_forward(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """An operator has one that goes back go forward again: from the last wave that all of still run it. Who
    has not come back yet of the others does, so that there is something to compare with.
    """

    def make(record: RolloutState) -> RolloutState:
        now = _require_open(record)
        if now.phase != RolloutPhase.ROLLBACK:
            raise ChangeRejectedError
        wave = max(-1, min(now.wave, len(now.waves)) - 1)
        to = msgspec.structs.replace(
            now,
            phase=int(RolloutPhase.FORWARD),
            wave=wave,
            watched_ms=0,
            pause=None,
            left_behind={},
            evidence=(),
            awaits_operator=False,
            operator_accepted=True,
        )
        return _with_changes(record, to, _audit_entry(timestamp_s, actor, f"forward again: {reason}"))

    return update_rollout_state(make)


# ---------------------------------------------------------------------------- a leader's


def _require_unmoved(state: RolloutState, token: int, number: int, wave: int, phase: int) -> Rollout:
    """The release as the leader saw it, if the leader still may move it. Guards against one that was
    paused.
    """
    now = _require_open(state)
    if token < state.token or (now.number, now.wave, now.phase) != (number, wave, phase):
        raise ChangeRejectedError
    return now


def advance_rollout(
    seen: Rollout,
    token: int,
    actor: str,
    timestamp_s: float,
    action: str = "",
    reason: str = "",
    watched_ms: int | None = None,
    left_behind: Mapping[str, str] | None = None,
    evidence: tuple[float, ...] | None = None,
) -> RegisterChange:
    """A leader's step. `action`: "next" wave, "worse", "hold", "ask", "close", or nothing but what it has
    watched and whom it leaves behind. `evidence`: of the present wave, or with "next" what the next one
    begins with.
    """

    def make(record: RolloutState) -> RolloutState:
        now = _require_unmoved(record, token, seen.number, seen.wave, seen.phase)
        now = msgspec.structs.replace(
            now,
            watched_ms=now.watched_ms if watched_ms is None else watched_ms,
            left_behind={**now.left_behind, **(left_behind or {})},
            evidence=now.evidence if evidence is None else evidence,
        )
        if now.pause is not None:
            raise ChangeRejectedError
        record = msgspec.structs.replace(record, token=token)
        lines = [
            _audit_entry(timestamp_s, actor, f"{name} is left behind: {text}")
            for name, text in (left_behind or {}).items()
        ]
        if action == "worse":
            return _rolled_back(_with_changes(record, now, *lines), now, actor, reason, timestamp_s)
        if action in ("hold", "ask"):
            why_held = HaltState(actor, reason[:MAX_TEXT_LENGTH], timestamp_s)
            held = msgspec.structs.replace(now, pause=why_held, awaits_operator=action == "ask")
            return _with_changes(record, held, *lines, _audit_entry(timestamp_s, actor, f"held: {reason}"))
        if action == "close":
            return _close_rollout(_with_changes(record, now, *lines), now, actor, reason, timestamp_s)
        if action == "next":
            return _with_changes(
                record,
                _next_wave(now),
                *lines,
                _audit_entry(timestamp_s, actor, f"{_describe(_next_wave(now))}: {reason}"),
            )
        return _with_changes(record, now, *lines)

    return update_rollout_state(make)


def _next_wave(rollout: Rollout) -> Rollout:
    """The next wave; after the last one forward, the watch."""
    rollout = msgspec.structs.replace(rollout, watched_ms=0, awaits_operator=False, operator_accepted=False)
    if rollout.phase == RolloutPhase.ROLLBACK:
        return msgspec.structs.replace(rollout, wave=rollout.wave - 1)
    if rollout.wave + 1 < len(rollout.waves):
        return msgspec.structs.replace(rollout, wave=rollout.wave + 1)
    return msgspec.structs.replace(rollout, phase=int(RolloutPhase.OBSERVE))


def _close_rollout(
    state: RolloutState, rollout: Rollout, actor: str, reason: str, timestamp_s: float
) -> RolloutState:
    """All run one version: the new one, or the old one again."""
    runs = rollout.old if rollout.phase == RolloutPhase.ROLLBACK else rollout.new
    said = _audit_entry(timestamp_s, actor, f"release {rollout.number} closed, {runs.name} runs: {reason}")
    return _with_changes(state, None, said, baseline={**state.baseline, rollout.kind: runs})


def _describe(rollout: Rollout) -> str:
    if rollout.phase == RolloutPhase.OBSERVE:
        return "all run it"
    direction = " back" if rollout.phase == RolloutPhase.ROLLBACK else ""
    return f"wave {rollout.wave + 1} of {len(rollout.waves)}{direction}"


def describe(rollout: Rollout) -> str:
    """Where a release stands, in words."""
    return _describe(rollout)


# ---------------------------------------------------------------------------- its waves


def plan_waves(fleet_state: FleetState, steps: Sequence[int | str]) -> list[list[str]]:
    """Routers by wave. A step of `steps` is a number, a part of all ("2%"), "zone": what is left of the zone
    that was begun, or "rest": each zone that is left, one after the other. The zone with fewest routers is
    first, and zones are not mixed before it is done. Steps that find nobody are left out.
    """
    routers = fleet_state.members_of(MemberKind.ROUTER)
    zones: dict[str, list[str]] = {}
    for name in sorted(routers):
        zones.setdefault(routers[name].zone, []).append(name)
    order = sorted(zones, key=lambda zone: (len(zones[zone]), zone))
    found: list[list[str]] = []
    here = zones[order[0]] if order else []
    for step in steps:
        if step == "rest":
            break
        many = len(here) if step == "zone" else _wave_size(step, len(routers))
        found.append(here[:many])
        here = here[many:]
    found += [here, *(zones[zone] for zone in order[1:])]
    return [names for names in found if names]


def _wave_size(step: int | str, total: int) -> int:
    if isinstance(step, int):
        return step
    return max(1, ceil(float(step.rstrip("%")) / 100.0 * total))
