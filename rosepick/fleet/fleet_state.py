"""The fleet state of a group: its members, drain requests, permits, losses and the halt.

The fleet state is one replicated document in one register and changes by compare-and-set only. A permit is
granted by the change that counts the members that are out, so two agents with stale copies cannot both take
the last one. A permit ends when its member was seen to be healthy again or is evicted, never by time.

    IN --acquire--> GIVEN --begin--> LEAVING --mark_out--> OUT --mark_rejoining--> BACK --mark_healthy--> IN
                      |                 |                                            ^
                      |                 +--mark_rejoining----------------------------+
                      +--withdraw (nothing had begun)--> IN

The document is MessagePack with positional fields, deflated (RFC 1951): a state of 1,000 members takes about
20 KB. The changes of a permit are in `drain_permits`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

import msgspec

from ..consensus.proposer import ChangeRejectedError, RegisterChange
from .versioned_document import VersionedDocument

REGISTER_PREFIX = "fleet/"  # of the register names of the fleet state, the rollout state and the reports
FORMAT_VERSION = 1  # of the document; programs refuse a newer one
MAX_MEMBERS = 1_000
MAX_HISTORY_ENTRIES = 80
MAX_TEXT_LENGTH = 160  # characters of a reason or a history entry
MIN_REPORTED_CHANGE_PERMILLE = 25  # smaller changes of health figures are not written


class MemberKind(IntEnum):
    """The kind of a member."""

    ROUTER = 0
    CACHE = 1


class MemberPhase(IntEnum):
    """The phase of a member in a drain, by its permit."""

    IN = 0
    GIVEN = 1  # the permit is granted and nothing has begun
    LEAVING = 2
    OUT = 3
    BACK = 4  # started again and not yet known to be healthy


class MemberProfile(NamedTuple):
    """What an agent says of its member when it joins; `weight` as in `FleetMember`."""

    kind: MemberKind
    zone: str
    weight: int


class DrainRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to take a member out; requests are served in the order of `number`."""

    number: int
    actor: str
    reason: str
    immediate: bool = False  # the host is dying: the member leaves at once, beyond the budget
    ignores_minimum: bool = False  # the member leaves even if too few stay in its zone
    uses_rollback_limit: bool = False  # a rollback: the budget's limit for rollbacks applies


class FleetMember(msgspec.Struct, frozen=True, array_like=True):
    """A router or a cache node.

    `weight` is its share of traffic (router) or memory (cache node), relative to others of its kind.
    """

    kind: int
    zone: str
    weight: int = 1000
    phase: int = MemberPhase.IN
    permit: int = 0  # number of the permit that it holds; 0: none
    lost: bool = False  # out without a permit: dead, silent, cold, or running without serving
    drain_request: DrainRequest | None = None
    evicted: bool = False  # removed by an operator: neither in nor out, and not counted
    was_healthy: bool = False  # it was in at least once: a member that never came up has not failed

    @property
    def is_out(self) -> bool:
        """Whether the fleet has to do without the member, for whatever reason."""
        return not self.evicted and (self.phase != MemberPhase.IN or self.lost)

    @property
    def bypasses_halt(self) -> bool:
        """Whether the member may leave during a halt: its host is dying, or it is rolled back."""
        return self.drain_request is not None and (
            self.drain_request.immediate or self.drain_request.uses_rollback_limit
        )


class HaltState(msgspec.Struct, frozen=True, array_like=True):
    """A halt: no member leaves until an operator resumes."""

    actor: str
    reason: str
    timestamp_s: float  # wall clock, for display only


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the history."""

    timestamp_s: float
    actor: str
    message: str


class FleetState(msgspec.Struct, frozen=True, array_like=True):
    """The document that the group agrees on.

    `budget_digest` identifies the disruption budget that all agents have to use. `capacity_permille` is the
    part of the stated limits that the origin can bear now, in thousandths. `token` is the fencing token of
    the failure detector that wrote last.
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
    typical_hit_permille: int = 0  # hits in thousandths of a cache node's reads; 0: unknown
    sweep_count: int = 0  # complete counts of all members by a failure detector while a drain was pending

    def members_of(self, kind: int) -> dict[str, FleetMember]:
        """Return the members of a kind that are not evicted."""
        return {
            name: member
            for name, member in self.members.items()
            if member.kind == kind and not member.evicted
        }

    def pending_drains(self) -> list[str]:
        """Return the names of members that are to leave and are still in, in the order of their requests."""
        pending = [
            (member.drain_request.number, name)
            for name, member in self.members.items()
            if member.drain_request and member.phase == MemberPhase.IN and not member.evicted
        ]
        return [name for _, name in sorted(pending)]


_document = VersionedDocument(FleetState, FORMAT_VERSION, "ledger")  # the label is part of error messages
decode_fleet_state = _document.decode
encode_fleet_state = _document.encode
update_fleet_state = _document.register_change


def fleet_state_key(group: str) -> str:
    """Return the name of the register that holds a group's fleet state."""
    return f"{REGISTER_PREFIX}{group}/ledger"


def with_changes(
    state: FleetState, members: Mapping[str, FleetMember], *entries: AuditEntry, **changes: object
) -> FleetState:
    """Return the state with some members replaced, entries added to its history and fields changed."""
    history = (state.history + entries)[-MAX_HISTORY_ENTRIES:]
    return msgspec.structs.replace(state, members={**state.members, **members}, history=history, **changes)


# ---------------------------------------------------------------------------- membership


def join_member(name: str, profile: MemberProfile, budget_digest: str, timestamp_s: float) -> RegisterChange:
    """Add a member, or change its profile; its phase stays as it is.

    A new member counts as lost until it was seen. Rejected if the fleet is full, the member is evicted, or
    the fleet uses another budget.
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
    """Stop counting a member; this ends its permit. Rejected if there is no such member."""

    def update(state: FleetState) -> FleetState:
        member = state.members.get(name)
        if member is None:
            raise ChangeRejectedError
        evicted = FleetMember(member.kind, member.zone, member.weight, permit=0, evicted=True)
        entry = AuditEntry(timestamp_s, actor, f"wrote {name} off: {reason}"[:MAX_TEXT_LENGTH])
        return with_changes(state, {name: evicted}, entry)

    return update_fleet_state(update)


def reinstate_member(name: str, actor: str, timestamp_s: float) -> RegisterChange:
    """Count an evicted member again, as lost until it was seen. Rejected if it is not evicted."""

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
    """Have all agents use another disruption budget."""
    entry = AuditEntry(timestamp_s, actor, f"rules {budget_digest}")
    return update_fleet_state(lambda state: with_changes(state, {}, entry, budget_digest=budget_digest))


# ---------------------------------------------------------------------------- drain requests


def request_drain(
    names: Iterable[str],
    actor: str,
    reason: str,
    timestamp_s: float,
    immediate: bool = False,
    ignores_minimum: bool = False,
    uses_rollback_limit: bool = False,
) -> RegisterChange:
    """Request that members leave, in this order.

    A pending request is replaced only by a more urgent one. Rejected if a member is unknown or evicted, or
    if nothing changes.
    """

    def update(state: FleetState) -> FleetState:
        members: dict[str, FleetMember] = {}
        number = state.last_request_number
        for name in names:
            member = state.members.get(name)
            if member is None or member.evicted:
                raise ChangeRejectedError
            pending = member.drain_request
            if pending is None or (immediate, ignores_minimum) > (pending.immediate, pending.ignores_minimum):
                number += 1
                request = DrainRequest(
                    number, actor, reason[:MAX_TEXT_LENGTH], immediate, ignores_minimum, uses_rollback_limit
                )
                members[name] = msgspec.structs.replace(member, drain_request=request)
        if not members:
            raise ChangeRejectedError
        text = f"wants {', '.join(members)} out{' NOW' if immediate else ''}: {reason}"
        entry = AuditEntry(timestamp_s, actor, text[:MAX_TEXT_LENGTH])
        return with_changes(state, members, entry, last_request_number=number)

    return update_fleet_state(update)


def cancel_drain(
    names: Iterable[str], actor: str, timestamp_s: float, requested_by: str = ""
) -> RegisterChange:
    """Withdraw drain requests, so that the members stay or come back.

    With `requested_by` only requests of that actor are withdrawn. Rejected if there is none.
    """

    def update(state: FleetState) -> FleetState:
        known = {name: state.members[name] for name in names if name in state.members}
        members = {
            name: msgspec.structs.replace(member, drain_request=None)
            for name, member in known.items()
            if member.drain_request and requested_by in ("", member.drain_request.actor)
        }
        if not members:
            raise ChangeRejectedError
        entry = AuditEntry(timestamp_s, actor, f"wants {', '.join(members)} in"[:MAX_TEXT_LENGTH])
        return with_changes(state, members, entry)

    return update_fleet_state(update)


# ---------------------------------------------------------------------------- halt and health


def _apply_halt(state: FleetState, actor: str, reason: str, timestamp_s: float) -> FleetState:
    """Return the halted state: permits under which nothing has begun are withdrawn."""
    withdrawn = {
        name: msgspec.structs.replace(member, phase=int(MemberPhase.IN), permit=0)
        for name, member in state.members.items()
        if member.phase == MemberPhase.GIVEN and not member.bypasses_halt
    }
    entry = AuditEntry(timestamp_s, actor, f"halt: {reason}"[:MAX_TEXT_LENGTH])
    halt = HaltState(actor, reason[:MAX_TEXT_LENGTH], timestamp_s)
    return with_changes(state, withdrawn, entry, halt=halt)


def halt_drains(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Halt all drains and withdraw permits that have not begun; an earlier halt stays as it is."""
    return update_fleet_state(
        lambda state: state if state.halt else _apply_halt(state, actor, reason, timestamp_s)
    )


def resume_drains(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Lift the halt on behalf of an operator. Rejected if there is none."""

    def update(state: FleetState) -> FleetState:
        if state.halt is None:
            raise ChangeRejectedError
        entry = AuditEntry(timestamp_s, actor, f"resumed: {reason}"[:MAX_TEXT_LENGTH])
        return with_changes(state, {}, entry, halt=None)

    return update_fleet_state(update)


def _changed_health(state: FleetState, lost: Mapping[str, bool]) -> dict[str, FleetMember]:
    """Return the members that were lost, found again, or seen healthy for the first time."""
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


def _is_worth_writing(before: FleetState, after: FleetState) -> bool:
    """Return whether health figures have changed by more than noise, or another detector writes."""
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
    """Record a failure detector's summary: lost members, the origin's capacity, and a halt if needed.

    Rejected under a fencing token older than that of the last summary.
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
        return summarized if members or _is_worth_writing(state, summarized) else state

    return update_fleet_state(update)
