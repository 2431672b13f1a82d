"""The ledger of a group: who belongs to it, what each is, who is out by which permit, and the halt.

It is one agreed document in one register, changed by compare-and-set alone: a permit is given in the very
change that has counted who is out, so no two readers of old copies can both take the last one. A permit
ends when its member is seen back (`proven`) or is written off by name, never by time.

    IN --take--> GIVEN --begin--> LEAVING --gone--> OUT --coming--> BACK --proven--> IN
                   |withdraw: nothing had begun              ^ from LEAVING too
                   +--> IN

Names of members stand once, states are small numbers, and the whole is deflated (RFC 1951): a ledger of 1,000
members is some 20 KB.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum

import msgspec

from ..consensus.proposer import ChangeRejectedError, RegisterChange
from .versioned_document import VersionedDocument

REGISTER_PREFIX = "fleet/"  # of the names of registers
FORMAT_VERSION = 1  # of the document; a newer one is read by nobody older
MAX_MEMBERS = 1_000
MAX_HISTORY_ENTRIES = 80  # of history
MAX_TEXT_LENGTH = 160  # characters of a reason
MIN_REPORTED_CHANGE_PERMILLE = 25  # thousandths: less is no news


class MemberKind(IntEnum):
    """What a member is."""

    ROUTER = 0
    CACHE = 1


class MemberPhase(IntEnum):
    """Where a member stands, by its permit."""

    IN = 0
    GIVEN = 1  # a permit, and nothing has begun
    LEAVING = 2
    OUT = 3
    BACK = 4  # started again, and not proven yet


class DrainRequest(msgspec.Struct, frozen=True, array_like=True):
    """Somebody wants a member out; `number` gives the order."""

    number: int
    actor: str
    reason: str
    immediate: bool = False  # the host dies: at once, over the budget
    ignores_minimum: bool = False  # and even under what must stay
    # on the way back from a release: by the wider budget that is stated for it
    uses_rollback_limit: bool = False


class FleetMember(msgspec.Struct, frozen=True, array_like=True):
    """A router or a cache node. `weight`: its share of traffic or memory, beside others of its kind."""

    kind: int
    zone: str
    weight: int = 1000
    phase: int = MemberPhase.IN
    permit: int = 0  # the number of its present one
    lost: bool = False  # out unasked: dead, silent, cold, or it says that it serves and does not
    drain_request: DrainRequest | None = None
    evicted: bool = False  # written off by name: neither in nor out, and counted nowhere
    was_healthy: bool = False  # it was in once: what never came up is no failure of the fleet

    @property
    def is_out(self) -> bool:
        """Whether it is missing to the fleet, for whatever reason: counted once."""
        return not self.evicted and (self.phase != MemberPhase.IN or self.lost)

    @property
    def bypasses_halt(self) -> bool:
        """Whether a halt does not keep it in: its host dies, or it goes back to what it ran before."""
        return self.drain_request is not None and (
            self.drain_request.immediate or self.drain_request.uses_rollback_limit
        )


class HaltState(msgspec.Struct, frozen=True, array_like=True):
    """Nothing goes out until an operator resumes."""

    actor: str
    reason: str
    timestamp_s: float  # seconds of the wall clock, for people


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """A line of history."""

    timestamp_s: float
    actor: str
    message: str


class FleetState(msgspec.Struct, frozen=True, array_like=True):
    """The document. `budget_digest`: the digest of the budget that all go by; `capacity_permille`:
    thousandths of it that the store can bear at present; `token`: of the warden that wrote last.
    """

    format_version: int = FORMAT_VERSION
    budget_digest: str = ""
    last_permit_number: int = 0  # given so far: the number of the last
    last_request_number: int = 0
    token: int = 0
    capacity_permille: int = 1000
    halt: HaltState | None = None
    members: dict[str, FleetMember] = {}
    history: tuple[AuditEntry, ...] = ()
    typical_hit_permille: int = 0  # thousandths of the reads that a cache node has; 0: not known
    sweep_count: int = 0  # how often a warden that knew of all has counted while somebody waited

    def members_of(self, kind: int) -> dict[str, FleetMember]:
        """Members of a kind that are not written off."""
        return {name: one for name, one in self.members.items() if one.kind == kind and not one.evicted}

    def pending_drains(self) -> list[str]:
        """Who is wanted out and is not out yet, in order."""
        found = [
            (m.drain_request.number, name)
            for name, m in self.members.items()
            if m.drain_request and m.phase == MemberPhase.IN and not m.evicted
        ]
        return [name for _, name in sorted(found)]


_document = VersionedDocument(FleetState, FORMAT_VERSION, "ledger")
decode_fleet_state, encode_fleet_state, update_fleet_state = (
    _document.decode,
    _document.encode,
    _document.register_change,
)


def fleet_state_key(group: str) -> str:
    """The register of a group's ledger."""
    return f"{REGISTER_PREFIX}{group}/ledger"


def _with_changes(
    state: FleetState, members: Mapping[str, FleetMember], *entries: AuditEntry, **changes: object
) -> FleetState:
    history = (state.history + entries)[-MAX_HISTORY_ENTRIES:]
    return msgspec.structs.replace(state, members={**state.members, **members}, history=history, **changes)


def _require_member(state: FleetState, name: str, permit: int, *phases: MemberPhase) -> FleetMember:
    """A member that stands there under that permit; declined else. Guards against whoever goes on with an
    old one.
    """
    one = state.members.get(name)
    if one is None or one.permit != permit or one.phase not in phases or one.evicted:
        raise ChangeRejectedError
    return one


def _move_member(
    name: str, permit: int, timestamp_s: float, target: MemberPhase, *sources: MemberPhase
) -> RegisterChange:
    def make(ledger: FleetState) -> FleetState:
        one = _require_member(ledger, name, permit, *sources)
        said = AuditEntry(timestamp_s, name, f"{target.name.lower()}, permit {permit}")
        return _with_changes(ledger, {name: msgspec.structs.replace(one, phase=int(target))}, said)

    return update_fleet_state(make)


# ---------------------------------------------------------------------------- who belongs to it


def join_member(
    name: str, kind: MemberKind, zone: str, weight: int, budget_digest: str, timestamp_s: float
) -> RegisterChange:
    """A member comes in, or comes with another zone or weight. One that is out stays so."""

    def make(ledger: FleetState) -> FleetState:
        before = ledger.members.get(name)
        if (before is None and len(ledger.members) >= MAX_MEMBERS) or budget_digest != (
            ledger.budget_digest or budget_digest
        ):
            raise ChangeRejectedError
        new = before or FleetMember(int(kind), zone, lost=True)  # until it is seen
        if new.evicted:
            raise ChangeRejectedError
        new = msgspec.structs.replace(new, kind=int(kind), zone=zone, weight=weight)
        if new == before:
            return ledger
        return _with_changes(
            ledger, {name: new}, AuditEntry(timestamp_s, name, "joined"), budget_digest=budget_digest
        )

    return update_fleet_state(make)


def evict_member(name: str, actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """A member is counted nowhere any more; its permit ends by that."""

    def make(ledger: FleetState) -> FleetState:
        one = ledger.members.get(name)
        if one is None:
            raise ChangeRejectedError
        off = FleetMember(one.kind, one.zone, one.weight, permit=0, evicted=True)
        return _with_changes(
            ledger,
            {name: off},
            AuditEntry(timestamp_s, actor, f"wrote {name} off: {reason}"[:MAX_TEXT_LENGTH]),
        )

    return update_fleet_state(make)


def reinstate_member(name: str, actor: str, timestamp_s: float) -> RegisterChange:
    """A member that was written off may join again, as one that has to prove itself."""

    def make(ledger: FleetState) -> FleetState:
        one = ledger.members.get(name)
        if one is None or not one.evicted:
            raise ChangeRejectedError
        back = msgspec.structs.replace(one, evicted=False, lost=True)
        return _with_changes(ledger, {name: back}, AuditEntry(timestamp_s, actor, f"took {name} on again"))

    return update_fleet_state(make)


def set_budget_digest(budget_digest: str, actor: str, timestamp_s: float) -> RegisterChange:
    """All go by another budget from now on."""
    return update_fleet_state(
        lambda ledger: _with_changes(
            ledger, {}, AuditEntry(timestamp_s, actor, f"rules {budget_digest}"), budget_digest=budget_digest
        )
    )


# ---------------------------------------------------------------------------- what is wanted


def request_drain(
    names: Iterable[str],
    actor: str,
    reason: str,
    timestamp_s: float,
    immediate: bool = False,
    ignores_minimum: bool = False,
    uses_rollback_limit: bool = False,
) -> RegisterChange:
    """Some are to go out, in this order; one that is wanted out already stays where it stands."""

    def make(ledger: FleetState) -> FleetState:
        members, number = dict[str, FleetMember](), ledger.last_request_number
        for name in names:
            one = ledger.members.get(name)
            if one is None or one.evicted:
                raise ChangeRejectedError
            if one.drain_request is None or (immediate, ignores_minimum) > (
                one.drain_request.immediate,
                one.drain_request.ignores_minimum,
            ):
                number += 1
                want = DrainRequest(
                    number, actor, reason[:MAX_TEXT_LENGTH], immediate, ignores_minimum, uses_rollback_limit
                )
                members[name] = msgspec.structs.replace(one, drain_request=want)
        if not members:
            raise ChangeRejectedError
        text = f"wants {', '.join(members)} out{' NOW' if immediate else ''}: {reason}"
        return _with_changes(
            ledger,
            members,
            AuditEntry(timestamp_s, actor, text[:MAX_TEXT_LENGTH]),
            last_request_number=number,
        )

    return update_fleet_state(make)


def cancel_drain(
    names: Iterable[str], actor: str, timestamp_s: float, requested_by: str = ""
) -> RegisterChange:
    """Some are to come back, or not to go. `requested_by`: unless somebody else has asked for it."""

    def make(ledger: FleetState) -> FleetState:
        found = {name: ledger.members[name] for name in names if name in ledger.members}
        members = {
            name: msgspec.structs.replace(one, drain_request=None)
            for name, one in found.items()
            if one.drain_request and requested_by in ("", one.drain_request.actor)
        }
        if not members:
            raise ChangeRejectedError
        return _with_changes(
            ledger,
            members,
            AuditEntry(timestamp_s, actor, f"wants {', '.join(members)} in"[:MAX_TEXT_LENGTH]),
        )

    return update_fleet_state(make)


# ---------------------------------------------------------------------------- a permit's way


def acquire_permit(
    name: str, is_allowed: Callable[[FleetState, str], bool], timestamp_s: float
) -> RegisterChange:
    """A permit, if the budget allows it at this very value of the ledger."""

    def make(ledger: FleetState) -> FleetState:
        one = _require_member(ledger, name, 0, MemberPhase.IN)
        if one.drain_request is None or not is_allowed(ledger, name):
            raise ChangeRejectedError
        number = ledger.last_permit_number + 1
        given = msgspec.structs.replace(one, phase=int(MemberPhase.GIVEN), permit=number)
        text = f"permit {number}{', over the budget' if one.drain_request.immediate else ''}"
        return _with_changes(
            ledger, {name: given}, AuditEntry(timestamp_s, name, text), last_permit_number=number
        )

    return update_fleet_state(make)


def begin_drain(name: str, permit: int, timestamp_s: float) -> RegisterChange:
    """It goes: from here on the permit counts until its member is proven back. Not while there is a halt,
    and not if it is not wanted any more.
    """

    def make(ledger: FleetState) -> FleetState:
        one = _require_member(ledger, name, permit, MemberPhase.GIVEN)
        if one.drain_request is None or (ledger.halt is not None and not one.bypasses_halt):
            raise ChangeRejectedError
        said = AuditEntry(timestamp_s, name, f"leaving, permit {permit}")
        return _with_changes(
            ledger, {name: msgspec.structs.replace(one, phase=int(MemberPhase.LEAVING))}, said
        )

    return update_fleet_state(make)


def withdraw_permit(name: str, permit: int, timestamp_s: float) -> RegisterChange:
    """A permit under which nothing has begun ends."""

    def make(ledger: FleetState) -> FleetState:
        one = _require_member(ledger, name, permit, MemberPhase.GIVEN)
        back = msgspec.structs.replace(one, phase=int(MemberPhase.IN), permit=0)
        return _with_changes(
            ledger, {name: back}, AuditEntry(timestamp_s, name, f"permit {permit} given back")
        )

    return update_fleet_state(make)


def mark_out(name: str, permit: int, timestamp_s: float) -> RegisterChange:
    """It is out."""
    return _move_member(name, permit, timestamp_s, MemberPhase.OUT, MemberPhase.LEAVING)


def mark_rejoining(name: str, permit: int, timestamp_s: float) -> RegisterChange:
    """It is being started again."""
    return _move_member(name, permit, timestamp_s, MemberPhase.BACK, MemberPhase.LEAVING, MemberPhase.OUT)


def mark_healthy(name: str, permit: int, timestamp_s: float) -> RegisterChange:
    """It was seen to be back: the permit ends, and so does what was wanted."""

    def make(ledger: FleetState) -> FleetState:
        one = _require_member(ledger, name, permit, MemberPhase.BACK)
        back = msgspec.structs.replace(one, phase=int(MemberPhase.IN), permit=0, drain_request=None)
        return _with_changes(
            ledger, {name: back}, AuditEntry(timestamp_s, name, f"in, permit {permit} ended")
        )

    return update_fleet_state(make)


# ---------------------------------------------------------------------------- the halt, and who counts


def _apply_halt(state: FleetState, actor: str, reason: str, timestamp_s: float) -> FleetState:
    back = {
        name: msgspec.structs.replace(one, phase=int(MemberPhase.IN), permit=0)
        for name, one in state.members.items()
        if one.phase == MemberPhase.GIVEN and not one.bypasses_halt
    }
    said = AuditEntry(timestamp_s, actor, f"halt: {reason}"[:MAX_TEXT_LENGTH])
    return _with_changes(state, back, said, halt=HaltState(actor, reason[:MAX_TEXT_LENGTH], timestamp_s))


def halt_drains(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """Nothing goes out any more; permits that have not begun are withdrawn. A halt that is there stays."""
    return update_fleet_state(
        lambda ledger: ledger if ledger.halt else _apply_halt(ledger, actor, reason, timestamp_s)
    )


def resume_drains(actor: str, reason: str, timestamp_s: float) -> RegisterChange:
    """An operator lifts the halt."""

    def make(ledger: FleetState) -> FleetState:
        if ledger.halt is None:
            raise ChangeRejectedError
        return _with_changes(
            ledger, {}, AuditEntry(timestamp_s, actor, f"resumed: {reason}"[:MAX_TEXT_LENGTH]), halt=None
        )

    return update_fleet_state(make)


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
    """What the warden has found: who is out unasked, what the store can bear, and a reason to halt if there
    is one. A warden under an older token moves nothing.
    """

    def make(ledger: FleetState) -> FleetState:
        if token < ledger.token:
            raise ChangeRejectedError
        told = {
            name: (ledger.members[name], is_lost) for name, is_lost in lost.items() if name in ledger.members
        }
        members = {
            name: msgspec.structs.replace(one, lost=is_lost, was_healthy=one.was_healthy or not is_lost)
            for name, (one, is_lost) in told.items()
            if not one.evicted and (one.lost != is_lost or not (one.was_healthy or is_lost))
        }
        lines = [
            AuditEntry(timestamp_s, actor, f"{name} {'lost' if one.lost else 'found'}")
            for name, one in members.items()
        ]
        new = _with_changes(
            ledger,
            members,
            *lines,
            capacity_permille=capacity_permille,
            typical_hit_permille=typical_hit_permille,
            token=token,
        )
        if is_complete and new.pending_drains():
            new = msgspec.structs.replace(new, sweep_count=new.sweep_count + 1)
        if halt_reason and ledger.halt is None:
            return _apply_halt(new, actor, halt_reason, timestamp_s)
        small = (
            abs(capacity_permille - ledger.capacity_permille) < MIN_REPORTED_CHANGE_PERMILLE
            and abs(typical_hit_permille - ledger.typical_hit_permille) < MIN_REPORTED_CHANGE_PERMILLE
        )
        same = small and not members and token == ledger.token and new.sweep_count == ledger.sweep_count
        return ledger if same else new

    return update_fleet_state(make)
