"""How much may be out: limits by count, share and weight, in all and in a zone, what must stay, hours,
groups.

A limit is what may be missing for any reason. What failed by itself counts first, so it can use the whole
budget up; then nothing is taken out. The store's room makes limits smaller between a floor and what is
stated, never larger.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from math import floor

from msgspec.structs import replace

from .fleet_state import FleetMember, FleetState, MemberKind, MemberPhase

MINUTES_PER_DAY = 24 * 60  # minutes
KIND_LABELS = {MemberKind.ROUTER: "routers", MemberKind.CACHE: "cache nodes"}


@dataclass(frozen=True, slots=True)
class Limit:
    """For members of a kind. Shares and weights are parts from 0 to 1; counts are whole."""

    most: int = 1_000
    share: float = 1.0
    weight: float = 1.0
    zone_most: int = 1_000
    zone_share: float = 1.0
    zone_weight: float = 1.0
    stay: int = 1  # at least so many are left in each zone
    least: int = 1  # the store's room makes no limit smaller than this

    def max_out_in_zone(self, member_count: int, capacity_permille: int) -> int:
        """How many of so many members of a zone may be out, with so much room at the store."""
        return _max_out(self.zone_most, self.zone_share, capacity_permille, self.least, member_count)

    def max_out_overall(self, member_count: int) -> int:
        """How many of so many members in all may be out, by the stated limits."""
        return _max_out(self.most, self.share, 1000, self.least, member_count)


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """The whole. `closed_minutes`: minutes of the day (UTC) in which nothing goes, from and to.
    `anti_affinity_groups`: members of a group that are not out together.
    """

    routers: Limit = Limit(share=0.1, zone_share=0.2)
    caches: Limit = Limit(share=0.1, zone_share=0.2)
    closed_minutes: tuple[tuple[int, int], ...] = ()
    anti_affinity_groups: Mapping[str, Sequence[str]] = field(default_factory=dict)
    unplanned_allowance: int = 0  # so many more than a limit may be out by themselves before there is a halt
    rollback_routers: Limit | None = None  # for routers on the way back from a release; None: as always

    def limit_for(self, kind: int, uses_rollback_limit: bool = False) -> Limit:
        """The limit for a kind; `uses_rollback_limit`: for the way back from a release."""
        if uses_rollback_limit and kind == MemberKind.ROUTER and self.rollback_routers is not None:
            return self.rollback_routers
        return self.routers if kind == MemberKind.ROUTER else self.caches

    def digest(self) -> str:
        """Tells two budgets apart."""
        apart = sorted((group, sorted(names)) for group, names in self.anti_affinity_groups.items())
        told = repr((self.routers, self.caches, self.closed_minutes, apart, self.unplanned_allowance))
        told += repr(self.rollback_routers) if self.rollback_routers is not None else ""
        return blake2b(told.encode(), digest_size=6).hexdigest()


def _max_out(limit: int, share: float, capacity_permille: int, minimum: int, member_count: int) -> int:
    """How many of so many may be out. A share of a few is one at least, else nothing could ever go."""
    stated = min(limit, max(1, floor(share * member_count + 1e-9)))
    return min(stated, max(minimum, stated * capacity_permille // 1000))


def blocking_reasons(fleet_state: FleetState, budget: DisruptionBudget, name: str, minute: int) -> list[str]:
    """Why a member may not go out now, and by whom it is kept; empty if it may. `minute` of the day, UTC."""
    one = fleet_state.members[name]
    want = one.drain_request
    now = want is not None and want.immediate
    found = (
        []
        if want is not None and want.ignores_minimum
        else _minimum_violations(fleet_state, budget, name, one)
    )
    if now:
        return found
    if fleet_state.halt is not None and not one.bypasses_halt:
        found.append(f"halted by {fleet_state.halt.actor}: {fleet_state.halt.reason}")
    for begin, end in () if one.bypasses_halt else budget.closed_minutes:
        if begin <= minute < end or (end < begin and not end <= minute < begin):
            found.append(
                f"nothing goes from {begin // 60:02}:{begin % 60:02} to {end // 60:02}:{end % 60:02}"
            )
    for group, names in budget.anti_affinity_groups.items():
        others = [other for other in names if other != name and other in fleet_state.members]
        out = [other for other in others if fleet_state.members[other].is_out]
        if name in names and out:
            found.append(f"not together with {', '.join(out)} ({group})")
    return found + _limit_violations(fleet_state, budget, name, one)


def _minimum_violations(
    fleet_state: FleetState, budget: DisruptionBudget, name: str, candidate: FleetMember
) -> list[str]:
    """What must stay in a zone."""
    stay = budget.limit_for(candidate.kind, candidate.bypasses_halt).stay
    called = KIND_LABELS[MemberKind(candidate.kind)]
    here = [
        other
        for other, member in fleet_state.members_of(candidate.kind).items()
        if member.zone == candidate.zone
    ]
    left = sum(other != name and not fleet_state.members[other].is_out for other in here)
    if left >= stay:
        return []
    return [f"only {left} {called} would be left in {candidate.zone}, {stay} must stay"]


def _limit_violations(
    fleet_state: FleetState, budget: DisruptionBudget, name: str, candidate: FleetMember
) -> list[str]:
    """Limits that would be passed. Also for one that is lost: it may have come back in this moment, and
    would be taken out then beside others.
    """
    limit = budget.limit_for(candidate.kind, candidate.bypasses_halt)
    all_of = fleet_state.members_of(candidate.kind)
    called = KIND_LABELS[MemberKind(candidate.kind)]
    here = {other: member for other, member in all_of.items() if member.zone == candidate.zone}
    found = []
    for place, members, most, share, weight in (
        ("in all", all_of, limit.most, limit.share, limit.weight),
        (f"in {candidate.zone}", here, limit.zone_most, limit.zone_share, limit.zone_weight),
    ):
        out = [other for other, member in members.items() if member.is_out and other != name]
        allowed = _max_out(most, share, fleet_state.capacity_permille, limit.least, len(members))
        if len(out) + 1 > allowed:
            found.append(f"{len(out)} of {allowed} {called} are out {place}: {_list_names(out)}")
        whole = sum(member.weight for member in members.values())
        gone = sum(members[other].weight for other in out) + candidate.weight
        if out and gone > weight * whole:
            part = f"{gone / whole:.0%} of the weight would be out {place}"
            found.append(f"{part}, {weight:.0%} may: {_list_names(out)}")
    return found


def _list_names(names: Sequence[str]) -> str:
    more = f" and {len(names) - 4} more" if len(names) > 4 else ""
    return (", ".join(names[:4]) or "none") + more


def may_take_permit(budget: DisruptionBudget, minute: int, fleet_state: FleetState, name: str) -> bool:
    """Whether a member may take a permit now. Who has waited longer goes first: each of them that could go
    is counted as out before the next is looked at.
    """
    want = fleet_state.members[name].drain_request
    if want is not None and want.immediate:
        return not blocking_reasons(fleet_state, budget, name, minute)
    for other in fleet_state.pending_drains():
        may = not blocking_reasons(fleet_state, budget, other, minute)
        if other == name:
            return may
        one = fleet_state.members[other]
        if may and not one.lost and one.kind == fleet_state.members[name].kind:
            members = {**fleet_state.members, other: replace(one, phase=int(MemberPhase.GIVEN))}
            fleet_state = replace(fleet_state, members=members)
    return False


def unplanned_halt_reason(fleet_state: FleetState, budget: DisruptionBudget) -> str:
    """Why there has to be a halt: more is out by itself than the budget allows, and `unasked` beyond. Not
    what was never in: a fleet that is only starting has not failed.
    """
    for kind, called in KIND_LABELS.items():
        limit, members = budget.limit_for(kind), fleet_state.members_of(kind)
        for zone in (None, *sorted({one.zone for one in members.values()})):
            here = {name: one for name, one in members.items() if zone is None or one.zone == zone}
            most, share = (limit.most, limit.share) if zone is None else (limit.zone_most, limit.zone_share)
            lost = [
                name
                for name, one in here.items()
                if one.lost and one.was_healthy and one.phase == MemberPhase.IN
            ]
            allowed = _max_out(most, share, 1000, limit.least, len(here))
            if len(lost) > allowed + budget.unplanned_allowance:
                return f"{len(lost)} {called} out unasked {zone or 'in all'}: {_list_names(lost)}"
    return ""
