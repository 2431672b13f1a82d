"""Changes of a drain permit, from the grant until the member is healthy again.

Each change names its permit. It is rejected if the member holds another permit or is in another phase, so
that an agent which was paused cannot continue under an old permit.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..consensus.proposer import ChangeRejectedError, RegisterChange
from .fleet_state import AuditEntry, FleetMember, FleetState, MemberPhase, update_fleet_state, with_changes

NO_PERMIT = 0
NO_REQUEST = 0  # no drain request has this number


def _require_member(state: FleetState, name: str, permit: int, *phases: MemberPhase) -> FleetMember:
    """Return a member that holds this permit and is in one of these phases.

    Raises:
        ChangeRejectedError: the member holds another permit, is in another phase, is unknown or evicted.
    """
    member = state.members.get(name)
    if member is None or member.permit != permit or member.phase not in phases or member.evicted:
        raise ChangeRejectedError
    return member


def acquire_permit(
    name: str, is_allowed: Callable[[FleetState, str], bool], timestamp_s: float
) -> RegisterChange:
    """Grant a permit if `is_allowed` accepts the fleet state that the change replaces.

    The change is rejected without a drain request, and if the member already holds a permit.
    """

    def update(state: FleetState) -> FleetState:
        member = _require_member(state, name, NO_PERMIT, MemberPhase.IN)
        if member.drain_request is None or not is_allowed(state, name):
            raise ChangeRejectedError
        number = state.last_permit_number + 1
        granted = msgspec.structs.replace(member, phase=int(MemberPhase.GIVEN), permit=number)
        text = f"permit {number}{', over the budget' if member.drain_request.immediate else ''}"
        entry = AuditEntry(timestamp_s, name, text)
        return with_changes(state, {name: granted}, entry, last_permit_number=number)

    return update_fleet_state(update)


def begin_drain(name: str, permit: int, timestamp_s: float) -> RegisterChange:
    """Begin a drain; afterwards the permit ends only when its member is healthy again or evicted.

    The change is rejected during a halt, and if the drain request was cancelled.
    """

    def update(state: FleetState) -> FleetState:
        member = _require_member(state, name, permit, MemberPhase.GIVEN)
        if member.drain_request is None or (state.halt is not None and not member.bypasses_halt):
            raise ChangeRejectedError
        entry = AuditEntry(timestamp_s, name, f"leaving, permit {permit}")
        leaving = msgspec.structs.replace(member, phase=int(MemberPhase.LEAVING))
        return with_changes(state, {name: leaving}, entry)

    return update_fleet_state(update)


def withdraw_permit(name: str, permit: int, timestamp_s: float) -> RegisterChange:
    """End a permit under which no drain has begun."""

    def update(state: FleetState) -> FleetState:
        member = _require_member(state, name, permit, MemberPhase.GIVEN)
        withdrawn = msgspec.structs.replace(member, phase=int(MemberPhase.IN), permit=NO_PERMIT)
        entry = AuditEntry(timestamp_s, name, f"permit {permit} given back")
        return with_changes(state, {name: withdrawn}, entry)

    return update_fleet_state(update)


def mark_out(name: str, permit: int, timestamp_s: float) -> RegisterChange:
    """Record that a leaving member is out."""

    def update(state: FleetState) -> FleetState:
        member = _require_member(state, name, permit, MemberPhase.LEAVING)
        entry = AuditEntry(timestamp_s, name, f"out, permit {permit}")
        out = msgspec.structs.replace(member, phase=int(MemberPhase.OUT))
        return with_changes(state, {name: out}, entry)

    return update_fleet_state(update)


def mark_rejoining(
    name: str, permit: int, timestamp_s: float, ended_request: int = NO_REQUEST
) -> RegisterChange:
    """Record that a member which was leaving or out is rejoining.

    Args:
        name: the member.
        permit: its permit.
        timestamp_s: the wall clock, for the history.
        ended_request: the number of the drain request that ends with the return. A request that came later
            stays.
    """

    def update(state: FleetState) -> FleetState:
        member = _require_member(state, name, permit, MemberPhase.LEAVING, MemberPhase.OUT)
        request = member.drain_request
        if request is not None and request.number == ended_request:
            request = None
        entry = AuditEntry(timestamp_s, name, f"back, permit {permit}")
        rejoining = msgspec.structs.replace(member, phase=int(MemberPhase.BACK), drain_request=request)
        return with_changes(state, {name: rejoining}, entry)

    return update_fleet_state(update)


def mark_healthy(name: str, permit: int, timestamp_s: float) -> RegisterChange:
    """Record that a member is healthy again, and end its permit; a drain request stays."""

    def update(state: FleetState) -> FleetState:
        member = _require_member(state, name, permit, MemberPhase.BACK)
        healthy = msgspec.structs.replace(member, phase=int(MemberPhase.IN), permit=NO_PERMIT)
        entry = AuditEntry(timestamp_s, name, f"in, permit {permit} ended")
        return with_changes(state, {name: healthy}, entry)

    return update_fleet_state(update)
