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

from .ledger import At, Kind, Ledger, Member

DAY = 24 * 60  # minutes
KINDS = {Kind.ROUTER: "routers", Kind.CACHE: "cache nodes"}


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

    def most_here(self, many: int, room: int) -> int:
        """How many of so many members of a zone may be out, with so much room at the store."""
        return _most(self.zone_most, self.zone_share, room, self.least, many)

    def most_of(self, many: int) -> int:
        """How many of so many members in all may be out, by the stated limits."""
        return _most(self.most, self.share, 1000, self.least, many)


@dataclass(frozen=True, slots=True)
class Budget:
    """The whole. `closed`: minutes of the day (UTC) in which nothing goes, from and to. `apart`: members of
    a group that are not out together.
    """

    routers: Limit = Limit(share=0.1, zone_share=0.2)
    caches: Limit = Limit(share=0.1, zone_share=0.2)
    closed: tuple[tuple[int, int], ...] = ()
    apart: Mapping[str, Sequence[str]] = field(default_factory=dict)
    unasked: int = 0  # so many more than a limit may be out by themselves before there is a halt
    back: Limit | None = None  # for routers on the way back from a release; None: as always

    def of(self, kind: int, wide: bool = False) -> Limit:
        """The limit for a kind; `wide`: for the way back from a release."""
        if wide and kind == Kind.ROUTER and self.back is not None:
            return self.back
        return self.routers if kind == Kind.ROUTER else self.caches

    def digest(self) -> str:
        """Tells two budgets apart."""
        apart = sorted((group, sorted(names)) for group, names in self.apart.items())
        told = repr((self.routers, self.caches, self.closed, apart, self.unasked))
        told += repr(self.back) if self.back is not None else ""
        return blake2b(told.encode(), digest_size=6).hexdigest()


def _most(limit: int, share: float, room: int, least: int, many: int) -> int:
    """How many of so many may be out. A share of a few is one at least, else nothing could ever go."""
    stated = min(limit, max(1, floor(share * many + 1e-9)))
    return min(stated, max(least, stated * room // 1000))


def blocked(ledger: Ledger, budget: Budget, name: str, minute: int) -> list[str]:
    """Why a member may not go out now, and by whom it is kept; empty if it may. `minute` of the day, UTC."""
    one = ledger.members[name]
    want = one.want
    now = want is not None and want.now
    found = [] if want is not None and want.below else _floor(ledger, budget, name, one)
    if now:
        return found
    if ledger.halt is not None and not one.urgent:
        found.append(f"halted by {ledger.halt.who}: {ledger.halt.why}")
    for begin, end in () if one.urgent else budget.closed:
        if begin <= minute < end or (end < begin and not end <= minute < begin):
            found.append(
                f"nothing goes from {begin // 60:02}:{begin % 60:02} to {end // 60:02}:{end % 60:02}"
            )
    for group, names in budget.apart.items():
        others = [other for other in names if other != name and other in ledger.members]
        out = [other for other in others if ledger.members[other].out]
        if name in names and out:
            found.append(f"not together with {', '.join(out)} ({group})")
    return found + _over(ledger, budget, name, one)


def _floor(ledger: Ledger, budget: Budget, name: str, one: Member) -> list[str]:
    """What must stay in a zone."""
    stay, called = budget.of(one.kind, one.urgent).stay, KINDS[Kind(one.kind)]
    here = [other for other, member in ledger.of(one.kind).items() if member.zone == one.zone]
    left = sum(other != name and not ledger.members[other].out for other in here)
    return [] if left >= stay else [f"only {left} {called} would be left in {one.zone}, {stay} must stay"]


def _over(ledger: Ledger, budget: Budget, name: str, one: Member) -> list[str]:
    """Limits that would be passed. Also for one that is lost: it may have come back in this moment, and
    would be taken out then beside others.
    """
    limit, all_of, called = budget.of(one.kind, one.urgent), ledger.of(one.kind), KINDS[Kind(one.kind)]
    here = {other: member for other, member in all_of.items() if member.zone == one.zone}
    found = []
    for place, members, most, share, weight in (
        ("in all", all_of, limit.most, limit.share, limit.weight),
        (f"in {one.zone}", here, limit.zone_most, limit.zone_share, limit.zone_weight),
    ):
        out = [other for other, member in members.items() if member.out and other != name]
        allowed = _most(most, share, ledger.room, limit.least, len(members))
        if len(out) + 1 > allowed:
            found.append(f"{len(out)} of {allowed} {called} are out {place}: {_named(out)}")
        whole = sum(member.weight for member in members.values())
        gone = sum(members[other].weight for other in out) + one.weight
        if out and gone > weight * whole:
            part = f"{gone / whole:.0%} of the weight would be out {place}"
            found.append(f"{part}, {weight:.0%} may: {_named(out)}")
    return found


def _named(names: Sequence[str]) -> str:
    more = f" and {len(names) - 4} more" if len(names) > 4 else ""
    return (", ".join(names[:4]) or "none") + more


def allowed(budget: Budget, minute: int, ledger: Ledger, name: str) -> bool:
    """Whether a member may take a permit now. Who has waited longer goes first: each of them that could go
    is counted as out before the next is looked at.
    """
    want = ledger.members[name].want
    if want is not None and want.now:
        return not blocked(ledger, budget, name, minute)
    for other in ledger.waiting():
        may = not blocked(ledger, budget, other, minute)
        if other == name:
            return may
        one = ledger.members[other]
        if may and not one.lost and one.kind == ledger.members[name].kind:
            members = {**ledger.members, other: replace(one, at=int(At.GIVEN))}
            ledger = replace(ledger, members=members)
    return False


def past(ledger: Ledger, budget: Budget) -> str:
    """Why there has to be a halt: more is out by itself than the budget allows, and `unasked` beyond. Not
    what was never in: a fleet that is only starting has not failed.
    """
    for kind, called in KINDS.items():
        limit, members = budget.of(kind), ledger.of(kind)
        for zone in (None, *sorted({one.zone for one in members.values()})):
            here = {name: one for name, one in members.items() if zone is None or one.zone == zone}
            most, share = (limit.most, limit.share) if zone is None else (limit.zone_most, limit.zone_share)
            lost = [name for name, one in here.items() if one.lost and one.met and one.at == At.IN]
            allowed = _most(most, share, 1000, limit.least, len(here))
            if len(lost) > allowed + budget.unasked:
                return f"{len(lost)} {called} out unasked {zone or 'in all'}: {_named(lost)}"
    return ""
