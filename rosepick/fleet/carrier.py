"""What an agent does for a release: a machine without I/O and clock, beside that of the drains.

It has the new version made ready on its host before anything is taken down, goes out by a permit like
anybody, has the new one started, and goes back to what ran before if that does not prove itself: at once,
by itself, without asking anyone. What it is doing is on its disk first. Settings go without a permit: they
are taken in place.

Times are milliseconds of the agent's own clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..agreement.operation import Change
from . import ledger as book
from .ledger import At, Ledger, Member
from .release import BUILD, SETTINGS, WORD, Phase, Record, Release, Thing

FRESH = 2_000.0  # a member goes over by a reading of the record that is no older
KINDS = (BUILD, SETTINGS)


class Blame(Enum):
    """Why a version is not run here."""

    NONE = ""
    VERSION = "version"  # it is not what it should be, does not start, or does not prove itself
    HOST = "host"  # it could not be brought here: no room, no source


@dataclass(frozen=True, slots=True)
class Terms:
    """`settle`: the new one has to serve for so long before its permit ends; `probation`: it has so long
    for that; `ends`: so often it may end by itself meanwhile; `again`: until a host tries again what it
    could not get.
    """

    settle: float = 10_000.0
    probation: float = 30_000.0
    ends: int = 3
    again: float = 5_000.0


@dataclass(frozen=True, slots=True)
class Ready:
    """How far a version is on this host."""

    there: bool = False
    blame: Blame = Blame.NONE
    why: str = ""


class Kept(Protocol):
    """Where an agent keeps what it is doing."""

    def get(self, name: str) -> object:
        """What was kept under a name."""

    def put(self, **more: object) -> None:
        """It is on the disk when this returns. OSError if it cannot be."""


class Host(Protocol):
    """The host's store of versions."""

    def ready(self, kind: str, thing: Thing) -> Ready:
        """How far it is; whatever is missing is begun."""

    def apply(self, kind: str, digest: str) -> None:
        """Have the member run these settings from now on."""

    def forget(self, needed: Iterable[str]) -> None:
        """Remove versions that nobody goes back to: a release is closed."""


class Carrier:
    """One member's part in releases. `runs`: digests of what it runs, by kind; what is on the disk counts."""

    def __init__(self, name: str, kept: Kept, host: Host, terms: Terms, runs: dict[str, str]) -> None:
        self.name, self._kept, self._host, self.terms = name, kept, host, terms
        told = kept.get("runs")
        self.runs: dict[str, str] = dict(told) if isinstance(told, dict) else dict(runs)
        told = kept.get("before")
        self.before: dict[str, str] = dict(told) if isinstance(told, dict) else {}
        self.trial = str(kept.get("trial") or "")  # the kind that is on probation
        self.record: Record | None = None
        self._read_at = -FRESH - 1.0
        self.wrong = False
        self._trial_since: float | None = None
        self._ends = 0
        self._refused: dict[str, tuple[str, int, Ready, float]] = {}  # by kind: digest, release, why, when
        told = kept.get("refused")  # what was no good here is not tried again by the agent's next start
        if isinstance(told, dict):
            self._refused = {
                kind: (digest, number, Ready(False, Blame.VERSION, why), 0.0)
                for kind, (digest, number, why) in told.items()
            }

    # -- what is to be run

    def told(self, record: Record, asked_at: float) -> None:
        """The record, as it was at some time since then."""
        closed = self.record is not None and self.record.now is not None and record.now is None
        if closed and not self.wrong:
            self._host.forget([*self.runs.values(), *(thing.digest for thing in record.base.values())])
        self.record, self._read_at = record, asked_at

    def _goal(self, kind: str) -> Thing | None:
        return None if self.record is None else self.record.goal(self.name, kind)

    def _due(self, kind: str, now: float) -> Thing | None:
        """What this member is to run and does not; None while it may not or cannot."""
        goal, record = self._goal(kind), self.record
        if goal is None or record is None or goal.digest == self.runs.get(kind, goal.digest):
            return None
        held = record.now is not None and record.now.held is not None
        digest, number, found, when = self._refused.get(kind, ("", 0, Ready(), 0.0))
        refused = (digest, number) == (goal.digest, record.releases) and (
            found.blame is Blame.VERSION or now - when < self.terms.again
        )
        return None if held or refused or self.trial else goal

    def _prepared(self, kind: str, goal: Thing, now: float) -> bool:
        ready = self._host.ready(kind, goal)
        if ready.blame is not Blame.NONE:
            self._refuse(kind, goal.digest, ready, now)
        return ready.there

    def _refuse(self, kind: str, digest: str, ready: Ready, now: float) -> None:
        number = 0 if self.record is None else self.record.releases
        self._refused[kind] = digest, number, ready, now
        if ready.blame is Blame.VERSION:
            told = {
                kind: (digest, number, found.why)
                for kind, (digest, number, found, _) in self._refused.items()
                if found.blame is Blame.VERSION
            }
            self._kept.put(refused=told)

    def trouble(self) -> str:
        """Why this member does not run what it is to run, for its report: `kind digest blame why`."""
        for kind in KINDS:
            goal, record = self._goal(kind), self.record
            digest, number, found, _ = self._refused.get(kind, ("", 0, Ready(), 0.0))
            current = record is not None and record.releases == number
            if goal is not None and current and goal.digest == digest and digest != self.runs.get(kind):
                return f"{kind} {digest} {found.blame.value} {found.why}"
        return ""

    def judged(self) -> bool:
        """Whether its figures are a release's to judge: it runs the new one of one that is open."""
        open_one = None if self.record is None else self.record.now
        return open_one is not None and self.runs.get(open_one.kind) == open_one.new.digest

    def busy(self, now: float) -> bool:
        """Whether the record is to be read often: something is to be done by it."""
        return bool(self.trial) or self.wrong or any(self._due(kind, now) is not None for kind in KINDS)

    # -- steps

    def wish(self, now: float, at: At, mine: Member, ledger: Ledger, wall: float) -> Change | None:
        """What the ledger is asked for: out if a build is due and is ready here, in if it is not."""
        by_release = mine.want is not None and mine.want.who.startswith(WORD)
        due = self._due(BUILD, now)
        needs = due is not None or (self.wrong and at in (At.IN, At.GIVEN))
        prepared = due is None or self._prepared(BUILD, due, now)
        if at == At.IN and mine.want is None and needs and prepared:
            assert self.record is not None
            open_one = self.record.now
            wide = open_one is not None and open_one.phase == Phase.BACK
            why = f"to run {due.name}" if due is not None else "to run what it is to"
            if ledger.halt is not None and not wide:
                return None
            return book.want_out([self.name], self.record.word, why, wall, wide=wide)
        fresh = now - self._read_at <= FRESH
        if by_release and not needs and fresh and at in (At.IN, At.GIVEN, At.OUT):
            assert mine.want is not None
            return book.want_in([self.name], self.name, wall, only_of=mine.want.who)
        return None

    def step(self, now: float, at: At, ended: bool, steady: bool, wrong: bool = False) -> None:
        """What is to be done between two looks. `ended`: the member has ended by itself since the last one;
        `steady`: it is back beyond doubt; `wrong`: it runs another build than it is to, as it was found to be
        back just when it was taken back. A build is changed while the member is out; settings while it
        serves.
        """
        self.wrong = wrong
        if self.trial:
            self._watch(now, at, ended, steady)
            return
        due, fresh = self._due(BUILD, now), now - self._read_at <= FRESH
        if at == At.OUT and due is not None and fresh and self._prepared(BUILD, due, now):
            self._go(BUILD, due.digest, now)
        due = self._due(SETTINGS, now)
        if at == At.IN and steady and due is not None and fresh and self._prepared(SETTINGS, due, now):
            self._go(SETTINGS, due.digest, now)
            self._host.apply(SETTINGS, due.digest)

    def _go(self, kind: str, digest: str, now: float) -> None:
        """Kept before it is run. On the way back there is no probation: what is left behind is worse, and
        nobody goes over to it again.
        """
        open_one = self._open(kind)
        trial = "" if open_one is not None and open_one.phase == Phase.BACK else kind
        before = self.runs.get(kind, "")
        if open_one is not None and open_one.old.digest != before and self._prepared(kind, open_one.old, now):
            before = open_one.old.digest  # guards against going back to what an earlier release has left here
        self._kept.put(runs={**self.runs, kind: digest}, before={**self.before, kind: before}, trial=trial)
        self.runs[kind], self.before[kind], self.trial = digest, before, trial
        self._trial_since, self._ends = None, 0

    def _open(self, kind: str) -> Release | None:
        now = None if self.record is None else self.record.now
        return now if now is not None and now.kind == kind else None

    def _watch(self, now: float, at: At, ended: bool, steady: bool) -> None:
        """Probation: from when it is to run on."""
        if at in (At.LEAVING, At.OUT):
            return
        if self._trial_since is None:
            self._trial_since = now
        self._ends += ended
        goal = self._goal(self.trial)
        if goal is not None and goal.digest == self.before.get(self.trial) and now - self._read_at <= FRESH:
            self._revert(now, "")  # it is taken back: no fault of it was found here
            return
        long = now - self._trial_since > self.terms.probation
        if self._ends >= self.terms.ends:
            self._revert(now, f"it ended by itself {self._ends} times")
        elif steady and (self.trial == BUILD or now - self._trial_since > self.terms.settle):
            self._kept.put(trial="")
            self.trial = ""
        elif long and not steady:
            self._revert(now, f"it does not serve after {self.terms.probation / 1000:.0f} s")

    def _revert(self, now: float, why: str) -> None:
        """Back to what ran before, at once."""
        kind = self.trial
        failed, old = self.runs[kind], self.before.get(kind, "")
        # what the whole fleet runs is tried again later
        blame = Blame.HOST if self._open(kind) is None else Blame.VERSION
        if why:
            self._refuse(kind, failed, Ready(False, blame, why), now)
        self._kept.put(runs={**self.runs, kind: old}, trial="")
        self.runs[kind], self.trial = old, ""
        if kind == SETTINGS:
            self._host.apply(SETTINGS, old)
