"""Changes of drain requests: an operator or a rollout wants members out, or in again.

A request stays until it is cancelled, or until its member returns because of a halt or a lost quorum
(`drain_permits.mark_rejoining`).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..consensus.proposer import ChangeRejectedError, RegisterChange
from .fleet_state import (
    MAX_TEXT_LENGTH,
    AuditEntry,
    DrainRequest,
    FleetMember,
    FleetState,
    MemberPhase,
    update_fleet_state,
    with_changes,
)


def _may_replace(member: FleetMember, request: DrainRequest) -> bool:
    """Return whether a drain request takes the place of a member's present one."""
    pending = member.drain_request
    if pending is None:
        return True
    urgency = request.immediate, request.ignores_minimum
    pending_urgency = pending.immediate, pending.ignores_minimum
    if urgency != pending_urgency:
        return urgency > pending_urgency
    if request.is_by_rollout:
        return False
    return pending.is_by_rollout or member.phase not in (MemberPhase.IN, MemberPhase.GIVEN)


def request_drain(
    names: Iterable[str],
    actor: str,
    reason: str,
    timestamp_s: float,
    immediate: bool = False,
    ignores_minimum: bool = False,
    uses_rollback_limit: bool = False,
) -> RegisterChange:
    """Request drains of members, in the given order.

    A pending request is replaced by a more urgent one, and by an operator's if it is a rollout's or the
    member has begun to leave: it may be about to return, which ends the request before. The change is
    rejected if a member is unknown or evicted, or if no request changes.
    """

    def update(state: FleetState) -> FleetState:
        members: dict[str, FleetMember] = {}
        number = state.last_request_number
        for name in names:
            member = state.members.get(name)
            if member is None or member.evicted:
                raise ChangeRejectedError
            request = DrainRequest(
                number + 1, actor, reason[:MAX_TEXT_LENGTH], immediate, ignores_minimum, uses_rollback_limit
            )
            if _may_replace(member, request):
                number += 1
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
    """Cancel drain requests, so that the members stay or return.

    With `requested_by` only requests of that actor are cancelled. The change is rejected if there is none.
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
