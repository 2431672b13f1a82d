"""Who counts: the holder of the group's lease looks at what every agent reports, and writes down who is out
unasked, what the store can bear, and whether there has to be a halt. A machine without I/O and clock.

What a member says of itself and what its agent sees are both in its report; the worse one counts. A report
that does not change any more is a silent member. Times are milliseconds of the warden's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..agreement.messages import Register
from .budget import Budget, past
from .ledger import START, At, Kind, Ledger

WARDENS = 3  # members whose agents stand ready to count


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What an agent tells of its member. Figures are of the time since the last report, per second."""

    run: int  # drawn at the agent's start
    beat: int  # one more each time
    up: bool  # it serves, as it says and as it was seen to
    warm: bool = True
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    hits: float = 0.0
    misses: float = 0.0
    cpu: float = 0.0  # seconds a second
    memory: float = 0.0  # KiB
    door: float = 0.0  # milliseconds until its door answers
    ends: int = 0  # how often it has ended by itself
    build: str = ""  # digests of what it runs
    settings: str = ""
    trouble: str = ""  # why it does not run what it is to run


_decoder: msgspec.msgpack.Decoder[Report] = msgspec.msgpack.Decoder(Report)


def key(group: str, name: str) -> str:
    """The register of a member's report."""
    return f"{START}{group}/at/{name}"


def read(register: Register) -> Report | None:
    """A report; None if there is none, or none that this program can read."""
    try:
        return _decoder.decode(register.value) if register.value else None
    except msgspec.MsgspecError:
        return None


@dataclass(frozen=True, slots=True)
class Terms:
    """`silent`: milliseconds without a new report after which a member counts as out; `calm`, `short`:
    parts of the requests refused, below which the store has room and above which it is short.
    """

    silent: float = 6_000.0
    calm: float = 0.005
    short: float = 0.02


class Room:
    """What the store can bear: the misses that one more cache node out would bring, against what the store
    was seen to take. It is not known before the store was short once; then it is 0.9 of what came then, and
    grows by a hundredth each time that all is calm (additive in its logarithm: Chiu and Jain 1989 have the
    case for falling fast and growing slowly).
    """

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self.takes: float | None = None  # misses a second

    def now(self, reports: list[tuple[int, Report]], stated: int) -> int:
        """Thousandths of the stated limit of `stated` cache nodes."""
        routers = [one for kind, one in reports if kind == Kind.ROUTER]
        lost = sum(one.refused + one.failed for one in routers)
        refused = lost / max(lost + sum(one.served for one in routers), 1e-9)
        caches = [one for kind, one in reports if kind == Kind.CACHE and one.up]
        misses = sum(one.misses for one in caches)
        if refused > self._terms.short:
            self.takes = min(0.9 * misses, self.takes or misses)
            return 0
        if self.takes is None or not caches:
            return 1000
        if refused < self._terms.calm:
            self.takes *= 1.01
        each = sum(one.hits for one in caches) / len(caches)
        bears = (self.takes - misses) / max(each * stated, 1e-9)
        return max(0, min(1000, int(1000.0 * bears)))


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is to be written down."""

    lost: dict[str, bool]
    room: int
    usual: int  # thousandths of the reads that a cache node has
    whole: bool  # of every member it is known what it is: heard of, or waited for long enough
    why: str  # for a halt; empty if there is no reason


class Warden:
    """Counts, as long as its process holds the lease."""

    def __init__(self, budget: Budget, terms: Terms, now: float) -> None:
        self._budget, self._terms = budget, terms
        self._since = now
        self._seen: dict[str, tuple[Report, float]] = {}  # and when it last changed
        self._lives: set[str] = set()  # whose report has changed since this warden began
        self._room = Room(terms)

    def told(self, name: str, report: Report | None, now: float) -> None:
        """A member's report, as it is now."""
        before = self._seen.get(name)
        if report is None or (before and (before[0].run, before[0].beat) == (report.run, report.beat)):
            return
        self._seen[name] = report, now
        if before is not None:
            self._lives.add(name)

    def _lost(self, name: str, at: int, now: float) -> bool | None:
        """Whether it is out unasked; None if that is not known yet. Guards against a new warden that finds
        the dead again as it reads their last reports.
        """
        seen = self._seen.get(name)
        if seen is None:
            return True if now - self._since > self._terms.silent else None
        report, when = seen
        if now - when > self._terms.silent or (at == At.IN and not (report.up and report.warm)):
            return True
        return False if name in self._lives else None

    def verdict(self, ledger: Ledger, now: float) -> Verdict:
        """What there is to write down."""
        told = {name: self._lost(name, one.at, now) for name, one in ledger.members.items() if not one.off}
        lost = {name: is_lost for name, is_lost in told.items() if is_lost is not None}
        reports = [
            (one.kind, self._seen[name][0])
            for name, one in ledger.members.items()
            if name in self._seen and not lost.get(name)
        ]
        stated = self._budget.caches.most_of(len(ledger.of(Kind.CACHE)))
        marked = {
            name: msgspec.structs.replace(one, lost=lost.get(name, one.lost))
            for name, one in ledger.members.items()
        }
        why = past(msgspec.structs.replace(ledger, members=marked), self._budget)
        return Verdict(lost, self._room.now(reports, stated), _usual(reports), None not in told.values(), why)


def _usual(reports: list[tuple[int, Report]]) -> int:
    """The middle one of the hit shares of warm cache nodes."""
    warm = [
        one
        for kind, one in reports
        if kind == Kind.CACHE and one.up and one.warm and one.hits + one.misses > 0
    ]
    shares = sorted(one.hits / (one.hits + one.misses) for one in warm)
    return int(1000.0 * shares[len(shares) // 2]) if shares else 0


def wardens(ledger: Ledger) -> list[str]:
    """Whose agents stand ready: the first by name; those that are lost, or wanted out, last. An agent
    counts on while its member is out, and never is there none that may: else all that were lost would stay
    so.
    """
    found = [(one.lost, one.want is not None, name) for name, one in ledger.members.items() if not one.off]
    return [name for _, _, name in sorted(found)[:WARDENS]]
