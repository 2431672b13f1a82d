"""The disruption budget: how many members may be out, and which member may leave next.

It limits the members that are out by count, share and weight, in the whole fleet and in each zone. It also
sets a minimum of members that stay in each zone, closed hours without drains, and anti-affinity groups whose
members are never out together. A limit covers members that are out for any reason: failed members count first
and can use up the whole budget. Reduced capacity of the origin lowers the limits of count and share of both
kinds down to a minimum and never raises them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from math import floor
from typing import NamedTuple

from msgspec.structs import replace

from .fleet_state import FleetMember, FleetState, MemberKind, MemberPhase

MINUTES_PER_DAY = 24 * 60
FULL_CAPACITY_PERMILLE = 1000
MAX_NAMES_LISTED = 4
DIGEST_BYTES = 6
SHARE_TOLERANCE = 1e-9  # keeps floor() from losing one to a floating-point error
KIND_LABELS = {MemberKind.ROUTER: "routers", MemberKind.CACHE: "cache nodes"}


@dataclass(frozen=True, slots=True)
class Limit:
    """Limits for members of one kind; shares and weights are from 0 to 1.

    The names and the order of the fields are part of the budget's digest, and so of the stored fleet state.
    """

    most: int = 1_000
    share: float = 1.0
    weight: float = 1.0
    zone_most: int = 1_000
    zone_share: float = 1.0
    zone_weight: float = 1.0
    stay: int = 1  # minimum number of members that stay in each zone
    least: int = 1  # reduced capacity of the origin lowers no limit below this many members

    def max_out_in_zone(self, member_count: int, capacity_permille: int) -> int:
        """Return how many of a zone's members may be out at a capacity of the origin in thousandths."""
        return _max_out(self.zone_most, self.zone_share, capacity_permille, self.least, member_count)

    def max_out_overall(self, member_count: int) -> int:
        """Return how many members of the whole fleet may be out at full capacity of the origin."""
        return _max_out(self.most, self.share, FULL_CAPACITY_PERMILLE, self.least, member_count)


DEFAULT_LIMIT = Limit(share=0.1, zone_share=0.2)


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """The limits for all kinds of members, closed hours and anti-affinity groups.

    `closed_minutes`: intervals of minutes of the day (UTC), as begin and end, in which no member leaves; an
    interval may cross midnight. `anti_affinity_groups`: member names by group; at most one member of a group
    is out.
    """

    routers: Limit = DEFAULT_LIMIT
    caches: Limit = DEFAULT_LIMIT
    closed_minutes: tuple[tuple[int, int], ...] = ()
    anti_affinity_groups: Mapping[str, Sequence[str]] = field(default_factory=dict)
    unplanned_allowance: int = 0  # members that may be lost beyond a limit before drains are halted
    rollback_routers: Limit | None = None  # limit for routers in a rollback; None: `routers` applies

    def limit_for(self, kind: int, uses_rollback_limit: bool = False) -> Limit:
        """Return the limit for a kind of member, in a rollback or in any other drain."""
        if uses_rollback_limit and kind == MemberKind.ROUTER and self.rollback_routers is not None:
            return self.rollback_routers
        return self.routers if kind == MemberKind.ROUTER else self.caches

    def digest(self) -> str:
        """Return a digest by which agents verify that they use the same budget."""
        groups = sorted((group, sorted(names)) for group, names in self.anti_affinity_groups.items())
        text = repr((self.routers, self.caches, self.closed_minutes, groups, self.unplanned_allowance))
        if self.rollback_routers is not None:
            text += repr(self.rollback_routers)
        return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


class _Scope(NamedTuple):
    """A set of members and the limits that apply to it."""

    label: str
    members: Mapping[str, FleetMember]
    max_count: int
    max_share: float
    max_weight_share: float


def _max_out(limit: int, share: float, capacity_permille: int, minimum: int, member_count: int) -> int:
    """Return how many of `member_count` members may be out; a share always allows at least one."""
    stated = min(limit, max(1, floor(share * member_count + SHARE_TOLERANCE)))
    return min(stated, max(minimum, stated * capacity_permille // FULL_CAPACITY_PERMILLE))


def blocking_reasons(fleet_state: FleetState, budget: DisruptionBudget, name: str, minute: int) -> list[str]:
    """Return why a member may not leave now; empty if it may. `minute` is the minute of the day (UTC)."""
    member = fleet_state.members[name]
    request = member.drain_request
    reasons: list[str] = []
    if request is None or not request.ignores_minimum:
        reasons += _minimum_violations(fleet_state, budget, name, member)
    if request is not None and request.immediate:
        return reasons
    if fleet_state.halt is not None and not member.bypasses_halt:
        reasons.append(f"halted by {fleet_state.halt.actor}: {fleet_state.halt.reason}")
    if not member.bypasses_halt:
        reasons += _closed_hours(budget, minute)
    reasons += _anti_affinity_violations(fleet_state, budget, name)
    return reasons + _limit_violations(fleet_state, budget, name, member)


def _closed_hours(budget: DisruptionBudget, minute: int) -> list[str]:
    """Return a reason for each closed interval that contains the minute of the day."""
    return [
        f"nothing goes from {begin // 60:02}:{begin % 60:02} to {end // 60:02}:{end % 60:02}"
        for begin, end in budget.closed_minutes
        if begin <= minute < end or (end < begin and not end <= minute < begin)
    ]


def _anti_affinity_violations(fleet_state: FleetState, budget: DisruptionBudget, name: str) -> list[str]:
    """Return a reason for each anti-affinity group of the member that has another member out."""
    reasons = []
    for group, names in budget.anti_affinity_groups.items():
        others = [other for other in names if other != name and other in fleet_state.members]
        out = [other for other in others if fleet_state.members[other].is_out]
        if name in names and out:
            reasons.append(f"not together with {', '.join(out)} ({group})")
    return reasons


def _members_in_zone(members: Mapping[str, FleetMember], zone: str) -> dict[str, FleetMember]:
    return {name: member for name, member in members.items() if member.zone == zone}


def _minimum_violations(
    fleet_state: FleetState, budget: DisruptionBudget, name: str, candidate: FleetMember
) -> list[str]:
    """Return a reason if too few members would stay in the candidate's zone."""
    stay = budget.limit_for(candidate.kind, candidate.bypasses_halt).stay
    label = KIND_LABELS[MemberKind(candidate.kind)]
    in_zone = _members_in_zone(fleet_state.members_of(candidate.kind), candidate.zone)
    left = sum(other != name and not member.is_out for other, member in in_zone.items())
    if left >= stay:
        return []
    return [f"only {left} {label} would be left in {candidate.zone}, {stay} must stay"]


def _limit_violations(
    fleet_state: FleetState, budget: DisruptionBudget, name: str, candidate: FleetMember
) -> list[str]:
    """Return a reason for each limit that the candidate would exceed.

    The limits apply to a lost candidate too: it may have recovered since its last health report, and its
    drain would then take out a healthy member.
    """
    limit = budget.limit_for(candidate.kind, candidate.bypasses_halt)
    all_members = fleet_state.members_of(candidate.kind)
    in_zone = _members_in_zone(all_members, candidate.zone)
    label = KIND_LABELS[MemberKind(candidate.kind)]
    scopes = (
        _Scope("in all", all_members, limit.most, limit.share, limit.weight),
        _Scope(f"in {candidate.zone}", in_zone, limit.zone_most, limit.zone_share, limit.zone_weight),
    )
    reasons = []
    for scope in scopes:
        members = scope.members
        out = [other for other, member in members.items() if member.is_out and other != name]
        allowed = _max_out(
            scope.max_count, scope.max_share, fleet_state.capacity_permille, limit.least, len(members)
        )
        if len(out) + 1 > allowed:
            reasons.append(f"{len(out)} of {allowed} {label} are out {scope.label}: {_list_names(out)}")
        total_weight = sum(member.weight for member in members.values())
        weight_out = sum(members[other].weight for other in out) + candidate.weight
        if out and weight_out > scope.max_weight_share * total_weight:
            text = f"{weight_out / total_weight:.0%} of the weight would be out {scope.label}"
            reasons.append(f"{text}, {scope.max_weight_share:.0%} may: {_list_names(out)}")
    return reasons


def _list_names(names: Sequence[str]) -> str:
    more = f" and {len(names) - MAX_NAMES_LISTED} more" if len(names) > MAX_NAMES_LISTED else ""
    return (", ".join(names[:MAX_NAMES_LISTED]) or "none") + more


def may_take_permit(budget: DisruptionBudget, minute: int, fleet_state: FleetState, name: str) -> bool:
    """Return whether a member may take a permit now.

    Earlier drain requests have precedence: each of them that could be granted counts as out when the next
    one is checked.
    """
    request = fleet_state.members[name].drain_request
    if request is not None and request.immediate:
        return not blocking_reasons(fleet_state, budget, name, minute)
    for other in fleet_state.pending_drains():
        may_leave = not blocking_reasons(fleet_state, budget, other, minute)
        if other == name:
            return may_leave
        member = fleet_state.members[other]
        if may_leave and not member.lost and member.kind == fleet_state.members[name].kind:
            members = {**fleet_state.members, other: replace(member, phase=int(MemberPhase.GIVEN))}
            fleet_state = replace(fleet_state, members=members)
    return False


def unplanned_halt_reason(fleet_state: FleetState, budget: DisruptionBudget) -> str:
    """Return why drains have to be halted; empty if no halt is needed.

    Drains are halted if more members are lost than a limit plus `unplanned_allowance`. Members that were
    never healthy do not count, as they belong to a fleet that is still starting.
    """
    for kind, label in KIND_LABELS.items():
        limit = budget.limit_for(kind)
        members = fleet_state.members_of(kind)
        scopes = [_Scope("in all", members, limit.most, limit.share, limit.weight)]
        for zone in sorted({member.zone for member in members.values()}):
            in_zone = _members_in_zone(members, zone)
            scopes.append(
                _Scope(zone or "in all", in_zone, limit.zone_most, limit.zone_share, limit.zone_weight)
            )
        for scope in scopes:
            lost = [
                name
                for name, member in scope.members.items()
                if member.lost and member.was_healthy and member.phase == MemberPhase.IN
            ]
            allowed = _max_out(
                scope.max_count, scope.max_share, FULL_CAPACITY_PERMILLE, limit.least, len(scope.members)
            )
            if len(lost) > allowed + budget.unplanned_allowance:
                return f"{len(lost)} {label} out unasked {scope.label}: {_list_names(lost)}"
    return ""
