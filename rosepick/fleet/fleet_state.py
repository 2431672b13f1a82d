"""The fleet state of a group: its members, drain requests, permits, lost members and the halt.

The fleet state is one replicated document in one register and changes by compare-and-set only. The change
that grants a permit also checks the disruption budget, so two agents with stale copies cannot both take the
last permit. A permit ends when its member is healthy again or is evicted; it never expires.

    IN --acquire--> GIVEN --begin--> LEAVING --mark_out--> OUT --mark_rejoining--> BACK --mark_healthy--> IN
                      |                 |                                            ^
                      |                 +--mark_rejoining----------------------------+
                      +--withdraw (before the drain begins)--> IN

The document is MessagePack with positional fields, compressed by raw deflate (RFC 1951). The state of 1,000
members takes about 20 KB. `drain_requests` and `drain_permits` have the changes of requests and permits.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

import msgspec

from ..consensus.proposer import ChangeRejectedError, RegisterChange
from .versioned_document import VersionedDocument

REGISTER_PREFIX = "fleet/"  # prefix of the register keys of all documents and reports of a fleet
FORMAT_VERSION = 1  # newest document format that this program reads
ROLLOUT_ACTOR_PREFIX = "release "  # prefix of the actor in drain requests on behalf of a rollout
MAX_MEMBERS = 1_000
MAX_HISTORY_ENTRIES = 80
MAX_TEXT_LENGTH = 160  # maximum length of a reason or a history message in characters
MIN_REPORTED_CHANGE_PERMILLE = 25  # smaller changes of health figures are not written to the document


class MemberKind(IntEnum):
    """The kind of a member."""

    ROUTER = 0
    CACHE = 1


class MemberPhase(IntEnum):
    """The phase of a member in a drain, by its permit."""

    IN = 0
    GIVEN = 1  # the permit is granted, the drain has not begun
    LEAVING = 2
    OUT = 3
    BACK = 4  # rejoining: started again and not yet healthy


class MemberProfile(NamedTuple):
    """Properties of a member that its agent states on joining; `weight` as in `FleetMember`."""

    kind: MemberKind
    zone: str
    weight: int


class DrainRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to drain a member; requests are served in the order of `number`."""

    number: int
    actor: str
    reason: str
    immediate: bool = False  # the host is failing: the member leaves at once and may exceed the budget
    ignores_minimum: bool = False  # the member may leave although too few members stay in its zone
    uses_rollback_limit: bool = False  # the budget's limit for rollbacks applies

    @property
    def is_by_rollout(self) -> bool:
        """Whether a rollout, not an operator, has requested the drain."""
        return self.actor.startswith(ROLLOUT_ACTOR_PREFIX)


class FleetMember(msgspec.Struct, frozen=True, array_like=True):
    """A router or a cache node.

    `weight` is its share of the traffic (router) or the memory (cache node), relative to members of its kind.
    """

    kind: int
    zone: str
    weight: int = 1000
    phase: int = MemberPhase.IN
    permit: int = 0  # number of the permit that the member holds; 0 for none
    lost: bool = False  # out without a permit: dead, silent, not serving, or cold
    drain_request: DrainRequest | None = None
    evicted: bool = False  # removed by an operator: the budget does not count it
    was_healthy: bool = False  # at least once; a member that was never healthy does not count as failed

    @property
    def is_out(self) -> bool:
        """Whether the member is unavailable to the fleet, for any reason."""
        return not self.evicted and (self.phase != MemberPhase.IN or self.lost)

    @property
    def bypasses_halt(self) -> bool:
        """Whether the member may leave during a halt: its host is failing, or it is rolled back."""
        return self.drain_request is not None and (
            self.drain_request.immediate or self.drain_request.uses_rollback_limit
        )


class HaltState(msgspec.Struct, frozen=True, array_like=True):
    """A halt of drains or a pause of a rollout, until an operator resumes."""

    actor: str
    reason: str
    timestamp_s: float  # wall clock; for display only


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the history."""

    timestamp_s: float
    actor: str
    message: str


class FleetState(msgspec.Struct, frozen=True, array_like=True):
    """The replicated document of the fleet state.

    `budget_digest` identifies the disruption budget that all agents have to use. `capacity_permille` is the
    share of the configured limits that the origin can sustain now, in thousandths. `token` is the fencing
    token of the failure detector that wrote last.
    """

    format_version: int = FORMAT_VERSION
    budget_digest: str = ""
    last_permit_number: int = 0
    last_request_number: int = 0
    token: int = 0
    capacity_permille: int = 1000
    halt: HaltState | None = None
    members: dict[str, FleetMember] = {}
    history: tuple[AuditEntry, ...] = ()
    typical_hit_permille: int = 0  # median hit ratio of warm cache nodes in thousandths; 0 if unknown
    sweep_count: int = 0  # complete sweeps by failure detectors while a drain was pending

    def members_of(self, kind: int) -> dict[str, FleetMember]:
        """Return the members of a kind by name, without evicted ones."""
        return {
            name: member
            for name, member in self.members.items()
            if member.kind == kind and not member.evicted
        }

    def pending_drains(self) -> list[str]:
        """Return the members with a drain request that are still in, in the order of their requests."""
        pending = [
            (member.drain_request.number, name)
            for name, member in self.members.items()
            if member.drain_request and member.phase == MemberPhase.IN and not member.evicted
        ]
        return [name for _, name in sorted(pending)]


_document = VersionedDocument(FleetState, FORMAT_VERSION, "ledger")  # error messages contain the label
decode_fleet_state = _document.decode
encode_fleet_state = _document.encode
update_fleet_state = _document.register_change


def fleet_state_key(group: str) -> str:
    """Return the key of the register that holds a group's fleet state."""
    return f"{REGISTER_PREFIX}{group}/ledger"


def with_changes(
    state: FleetState, members: Mapping[str, FleetMember], *entries: AuditEntry, **changes: object
) -> FleetState:
    """Return the state with members replaced, entries appended to the history and fields changed."""
    history = (state.history + entries)[-MAX_HISTORY_ENTRIES:]
    return msgspec.structs.replace(state, members={**state.members, **members}, history=history, **changes)


# ---------------------------------------------------------------------------- membership


def join_member(name: str, profile: MemberProfile, budget_digest: str, timestamp_s: float) -> RegisterChange:
    """Add a member or change its profile; its phase does not change.

    A new member counts as lost until a failure detector finds it healthy. The change is rejected if the fleet
    is full, the member is evicted, or the fleet uses another budget.
    """

    def update(state: FleetState) -> FleetState:
        before = state.members.get(name)
        if (before is None and len(state.members) >= MAX_MEMBERS) or budget_digest != (
            state.budget_digest or budget_digest
        ):
            raise ChangeRejectedError
        kind = int(profile.kind)
        member = before or FleetMember(kind, profile.zone, lost=True)
        if member.evicted:
            raise ChangeRejectedError
        member = msgspec.structs.replace(member, kind=kind, zone=profile.zone, weight=profile.weight)
        if member == before:
            return state
        entry = AuditEntry(timestamp_s, name, "joined")
        return with_changes(state, {name: member}, entry, budget_digest=budget_digest)

    return update_fleet_state(update)


def evict_member(name: str, actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Evict a member and end its permit; the change is rejected if the member is unknown."""

    def update(state: FleetState) -> FleetState:
        member = state.members.get(name)
        if member is None:
            raise ChangeRejectedError
        evicted = FleetMember(member.kind, member.zone, member.weight, permit=0, evicted=True)
        entry = AuditEntry(timestamp_s, actor, f"wrote {name} off: {reason}"[:MAX_TEXT_LENGTH])
        return with_changes(state, {name: evicted}, entry)

    return update_fleet_state(update)


def reinstate_member(name: str, actor: str, timestamp_s: float) -> RegisterChange:
    """Undo the eviction of a member, which then counts as lost; rejected if it is not evicted."""

    def update(state: FleetState) -> FleetState:
        member = state.members.get(name)
        if member is None or not member.evicted:
            raise ChangeRejectedError
        reinstated = msgspec.structs.replace(member, evicted=False, lost=True)
        return with_changes(
            state, {name: reinstated}, AuditEntry(timestamp_s, actor, f"took {name} on again")
        )

    return update_fleet_state(update)


def set_budget_digest(budget_digest: str, actor: str, timestamp_s: float) -> RegisterChange:
    """Set the disruption budget that all agents have to use."""
    entry = AuditEntry(timestamp_s, actor, f"rules {budget_digest}")
    return update_fleet_state(lambda state: with_changes(state, {}, entry, budget_digest=budget_digest))


# ---------------------------------------------------------------------------- halt and health


def _apply_halt(state: FleetState, actor: str, reason: str, timestamp_s: float) -> FleetState:
    """Return the state with a halt, without the permits of drains that have not begun."""
    withdrawn = {
        name: msgspec.structs.replace(member, phase=int(MemberPhase.IN), permit=0)
        for name, member in state.members.items()
        if member.phase == MemberPhase.GIVEN and not member.bypasses_halt
    }
    entry = AuditEntry(timestamp_s, actor, f"halt: {reason}"[:MAX_TEXT_LENGTH])
    halt = HaltState(actor, reason[:MAX_TEXT_LENGTH], timestamp_s)
    return with_changes(state, withdrawn, entry, halt=halt)


def halt_drains(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Halt all drains and withdraw the permits of those not begun; an earlier halt is kept."""
    return update_fleet_state(
        lambda state: state if state.halt else _apply_halt(state, actor, reason, timestamp_s)
    )


def resume_drains(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """End the halt on behalf of an operator; the change is rejected if there is none."""

    def update(state: FleetState) -> FleetState:
        if state.halt is None:
            raise ChangeRejectedError
        entry = AuditEntry(timestamp_s, actor, f"resumed: {reason}"[:MAX_TEXT_LENGTH])
        return with_changes(state, {}, entry, halt=None)

    return update_fleet_state(update)


def _changed_health(state: FleetState, lost: Mapping[str, bool]) -> dict[str, FleetMember]:
    """Return the members that are newly lost, found again, or healthy for the first time."""
    changed: dict[str, FleetMember] = {}
    for name, is_lost in lost.items():
        member = state.members.get(name)
        if member is None or member.evicted:
            continue
        if member.lost != is_lost or not (member.was_healthy or is_lost):
            changed[name] = msgspec.structs.replace(
                member, lost=is_lost, was_healthy=member.was_healthy or not is_lost
            )
    return changed


def _is_significant_change(before: FleetState, after: FleetState) -> bool:
    """Return whether figures changed by more than noise, or the detector or the sweep changed."""
    capacity_change = abs(after.capacity_permille - before.capacity_permille)
    hit_change = abs(after.typical_hit_permille - before.typical_hit_permille)
    return (
        max(capacity_change, hit_change) >= MIN_REPORTED_CHANGE_PERMILLE
        or after.token != before.token
        or after.sweep_count != before.sweep_count
    )


def apply_health_summary(
    lost: Mapping[str, bool],
    capacity_permille: int,
    typical_hit_permille: int,
    token: int,
    halt_reason: str,
    actor: str,
    timestamp_s: float,
    is_complete: bool = True,
) -> RegisterChange:
    """Record the summary of a failure detector: lost members, the origin's capacity, and a halt if needed.

    The change is rejected under a fencing token that is older than that of the last summary.
    """

    def update(state: FleetState) -> FleetState:
        if token < state.token:
            raise ChangeRejectedError
        members = _changed_health(state, lost)
        entries = [
            AuditEntry(timestamp_s, actor, f"{name} {'lost' if member.lost else 'found'}")
            for name, member in members.items()
        ]
        summarized = with_changes(
            state,
            members,
            *entries,
            capacity_permille=capacity_permille,
            typical_hit_permille=typical_hit_permille,
            token=token,
        )
        if is_complete and summarized.pending_drains():
            summarized = msgspec.structs.replace(summarized, sweep_count=summarized.sweep_count + 1)
        if halt_reason and state.halt is None:
            return _apply_halt(summarized, actor, halt_reason, timestamp_s)
        return summarized if members or _is_significant_change(state, summarized) else state

    return update_fleet_state(update)
