"""Who leads a release: reads what members report, looks at the figures, and writes the next step down. A
machine without I/O and clock. The record is all that it needs: another one goes on where this one stopped,
and only the evidence of the present wave is gathered anew.

It is the group's warden, under the same lease. Times are milliseconds of its own clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import sqrt

from ..agreement.operation import Change
from . import release as book
from .judge import KEPT, Figures, Judge, Opinion, Verdict
from .ledger import At, Kind, Ledger, Want
from .release import BUILD, WORD, Phase, Record, Release
from .warden import Report

LONGEST_TURN = 5_000.0  # more than that since the last look was no looking
NOTE_EVERY = 2_000  # milliseconds of watching, until they are written down
MOST_RELAXED = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """How a release goes about it; milliseconds. `watch`: a wave is looked at for so long at least, and
    until its figures say enough, `patience` at most; then `ask` an operator or go on. `after`: the last
    look. `lost_for`: who is lost for so long is left behind. `failing`: this part of a wave may fail to
    come up before the version is worse. `line`: so much of all requests lost, by new and old alike, is no
    time to judge. `pool`: an interval.
    """

    watch: float = 60_000.0
    patience: float = 600_000.0
    after: float = 600_000.0
    lost_for: float = 20_000.0
    failing: float = 0.05
    alarm: float = 0.01
    line: float = 0.1
    pool: float = 5_000.0
    before: int = 12  # intervals that a leader has to have seen before a wave begins
    ask: bool = True
    auto_back: bool = True


@dataclass(frozen=True, slots=True)
class Step:
    """What is to be written down."""

    what: str
    why: str
    change: Change


@dataclass(slots=True)
class _Wave:
    """The wave that is being looked at."""

    at: tuple[int, int, int, bool]  # release, phase, wave, held
    watched: float
    noted: float
    judge: Judge | None = None
    lost_since: dict[str, float] | None = None


class Leader:
    """Leads, as long as its process holds the lease."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.plan = plan
        self._last = now
        self._latest: dict[str, Report] = {}
        self._sums: dict[str, list[Report]] = {}
        self._pooled = now
        self._intervals: list[dict[str, tuple[Figures, Report]]] = []
        self._wave: _Wave | None = None
        self.opinion: Opinion | None = None
        self.waits = ""

    # -- figures

    def told(self, name: str, report: Report | None) -> None:
        """A member's report, as it is now."""
        if report is None:
            return
        before = self._latest.get(name)
        if before is not None and (before.run, before.beat) == (report.run, report.beat):
            return
        self._latest[name] = report
        self._sums.setdefault(name, []).append(report)

    def _pool(self, ledger: Ledger, now: float) -> dict[str, tuple[Figures, Report]] | None:
        """An interval's figures, if one is over: of routers that were in service throughout it and ran one
        version; each with its last report.
        """
        seconds = (now - self._pooled) / 1000.0
        if now - self._pooled < self.plan.pool:
            return None
        sums, self._sums, self._pooled = self._sums, {}, now
        found = {}
        for name, one in ledger.of(Kind.ROUTER).items():
            told = sums.get(name, [])
            same = len({(report.build, report.settings) for report in told}) == 1
            if same and one.at == At.IN and not one.lost and all(report.up for report in told):
                found[name] = _figures(told, seconds), told[-1]
        return found

    # -- a step

    def step(
        self, record: Record, ledger: Ledger, now: float, wall: float, who: str, token: int
    ) -> Step | None:
        """What is to be done now, if anything."""
        passed = min(now - self._last, LONGEST_TURN)
        self._last = now
        interval = self._pool(ledger, now)
        if interval is not None:
            self._intervals = [*self._intervals[1 - KEPT :], interval]
        release = record.now
        if release is None:
            self._wave, self.opinion, self.waits = None, None, ""
            return None
        wave = self._at(release)
        if release.held is not None:
            self.waits = f"held by {release.held.who}: {release.held.why}"
            return None
        failed, left, pending = self._members(release, ledger, wave, now)
        given = (release, token, who, wall)
        if release.phase == Phase.BACK:
            return self._back(given, left, pending)
        if failed and len(failed) > self.plan.failing * len(release.here()):
            return self._worse(given, f"{', '.join(failed)}: {next(iter(failed.values()))}", left)
        if left or failed:
            return Step("left", "", book.led(*given, left=left | failed))
        if pending:
            self.waits = f"{book.named(release)}: {', '.join(sorted(pending)[:4])} to come"
            return None
        return self._watch(given, wave, ledger, interval, passed)

    def _at(self, release: Release) -> _Wave:
        at = release.number, release.phase, release.wave, release.held is not None
        if self._wave is None or self._wave.at != at:
            self._wave = _Wave(at, release.watched, release.watched)
            self.opinion = None
        return self._wave

    def _runs(self, name: str, release: Release) -> str:
        return _run(self._latest.get(name), release)

    def _members(
        self, release: Release, ledger: Ledger, wave: _Wave, now: float
    ) -> tuple[dict[str, str], dict[str, str], list[str]]:
        """Of the present wave, or of all that have to be back: whom the version fails, who cannot follow,
        and who is still to come.
        """
        failed, left, pending = dict[str, str](), dict[str, str](), list[str]()
        names = release.here() if release.phase != Phase.WATCH else ()
        if release.phase == Phase.BACK:
            names = tuple(name for wave_names in release.waves[max(0, release.wave) :] for name in wave_names)
        since = wave.lost_since = {} if wave.lost_since is None else wave.lost_since
        for name in names:
            if name in release.left:
                continue
            one, goal = ledger.members.get(name), release.may_run(name)
            kind, digest, blame, why = (self._trouble(name) + "   ").split(" ", 3)
            if one is None or one.off:
                left[name] = "it is written off"
            elif (kind, digest) == (release.kind, goal.digest):
                (failed if blame == "version" else left)[name] = why.strip()
            elif self._runs(name, release) == goal.digest and (
                (one.at == At.IN and not one.lost) or _drained(one.want)
            ):
                since.pop(name, None)
            elif one.lost and now - since.setdefault(name, now) > self.plan.lost_for:
                left[name] = "it is lost"
            else:
                if not one.lost:
                    since.pop(name, None)
                pending.append(name)
        return failed, left, pending

    def _trouble(self, name: str) -> str:
        report = self._latest.get(name)
        return "" if report is None else report.trouble

    def _back(
        self, given: tuple[Release, int, str, float], left: Mapping[str, str], pending: list[str]
    ) -> Step | None:
        release = given[0]
        if left:
            return Step("left", "", book.led(*given, left=left))
        if pending:
            self.waits = f"{book.named(release)}: {', '.join(sorted(pending)[:4])} to come"
            return None
        what = "next" if release.wave > 0 else "close"
        why = "all that can are back"
        return Step(what, why, book.led(*given, what=what, why=why))

    def _worse(self, given: tuple[Release, int, str, float], why: str, left: Mapping[str, str]) -> Step:
        what = "worse" if self.plan.auto_back else "hold"
        return Step(what, why, book.led(*given, what=what, why=why, left=left))

    def _watch(
        self,
        given: tuple[Release, int, str, float],
        wave: _Wave,
        ledger: Ledger,
        interval: dict[str, tuple[Figures, Report]] | None,
        passed: float,
    ) -> Step | None:
        """All that can have come: look at the figures, and go on when they say enough."""
        release = given[0]
        if release.phase == Phase.FORWARD and release.wave < 0:
            return self._next(given, ledger, "what is usual is known")
        if wave.judge is None:
            wave.judge = self._judge(release, release.wave, ledger, release.evidence)
        if interval is not None:
            wave.judge.take(self._of_their_side(release, interval))
            self.opinion = wave.judge.opinion()
            if self.opinion.verdict is Verdict.WORSE:
                return self._worse(given, self.opinion.why, {})
        if self._all_bad():
            self.waits = "requests are lost by new and old alike: no time to judge"
            return None
        wave.watched += passed
        step = self._watched_enough(given, wave, ledger)
        if step is None and wave.watched - wave.noted >= NOTE_EVERY:
            wave.noted = wave.watched
            kept = wave.judge.kept() if release.phase == Phase.FORWARD else ()
            step = Step("note", "", book.led(*given, watched=int(wave.watched), evidence=kept))
        return step

    def _of_their_side(
        self, release: Release, interval: dict[str, tuple[Figures, Report]]
    ) -> dict[str, Figures]:
        """Figures of the wave's members that run the new version, and of others. Guards against one that was
        left behind, comes late, and is then on the side that it is to be compared with.
        """
        here, last = release.here(), release.wave + 1 == len(release.waves)
        return {
            name: one
            for name, (one, report) in interval.items()
            if (_run(report, release) == release.new.digest) is (name in here or last)
        }

    def _usual(self, release: Release, wave: int) -> list[dict[str, Figures]]:
        """Intervals from before a wave: of its members while they ran the old version, and of those that they
        are set beside.
        """
        here, last = release.waves[wave], wave + 1 == len(release.waves)
        found = []
        for interval in self._intervals:
            found.append(
                {
                    name: one
                    for name, (one, report) in interval.items()
                    if (last and name not in here) or _run(report, release) != release.new.digest
                }
            )
        # where few of them are seen nothing is learned
        return [one for one in found if 2 * sum(name in one for name in here) >= len(here)]

    def _next(self, given: tuple[Release, int, str, float], ledger: Ledger, why: str) -> Step | None:
        """The next wave, with what is usual of its members before they change: whoever leads then has it."""
        release, evidence = given[0], tuple[float, ...]()
        if release.wave + 1 < len(release.waves):
            if len(self._usual(release, release.wave + 1)) < self.plan.before:
                self.waits = "learning what is usual"
                return None
            evidence = self._judge(release, release.wave + 1, ledger, ()).kept()
        return Step("next", why, book.led(*given, what="next", why=why, evidence=evidence))

    def _judge(self, release: Release, wave: int, ledger: Ledger, evidence: tuple[float, ...]) -> Judge:
        """Of a wave: its members beside those that come later; the last one beside the earlier ones."""
        routers = ledger.of(Kind.ROUTER)
        zones = {name: one.zone for name, one in routers.items()}
        alarm = self.plan.alarm / max(1, len(release.waves))
        if release.phase != Phase.FORWARD:
            return Judge(zones, alarm)
        new = [name for name in release.waves[wave] if name in routers]
        all_new = {name for names in release.waves[: wave + 1] for name in names}
        rest = [name for name in routers if name not in all_new] or [n for n in routers if n not in new]
        relax = min(MOST_RELAXED, max(1.0, sqrt(len(rest) / max(1, len(new)))))
        judge = Judge(zones, alarm, relax)
        if not evidence:
            for figures in self._usual(release, wave):
                judge.take(figures)
        judge.go_on(new, rest, evidence)
        return judge

    def _all_bad(self) -> bool:
        """Whether routers of either version lose more than the stated line."""
        last = self._intervals[-1] if self._intervals else {}
        lost = sum(one.lost for one, _ in last.values())
        served = sum(one.served for one, _ in last.values())
        return lost > self.plan.line * max(1.0, lost + served)

    def _watched_enough(
        self, given: tuple[Release, int, str, float], wave: _Wave, ledger: Ledger
    ) -> Step | None:
        release, plan = given[0], self.plan
        verdict = None if self.opinion is None else self.opinion.verdict
        self.waits = f"{book.named(release)}: watched for {wave.watched / 1000:.0f} s"
        if release.phase == Phase.WATCH:
            if wave.watched < plan.after:
                return None
            return Step("close", "nothing came up", book.led(*given, what="close", why="nothing came up"))
        if not [name for name in release.here() if name not in release.left]:
            why = "nobody of this wave runs it"
            return Step("hold", why, book.led(*given, what="hold", why=why))
        if (verdict is Verdict.FINE or release.taken_on) and wave.watched >= plan.watch:
            return self._next(given, ledger, "no worse")
        if wave.watched < max(plan.watch, plan.patience):
            return None
        if not plan.ask:
            return self._next(given, ledger, "nothing against it")
        why = "not enough to tell"
        return Step("hold", why, book.led(*given, what="ask", why=why))


def _run(report: Report | None, release: Release) -> str:
    if report is None:
        return ""
    return report.build if release.kind == BUILD else report.settings


def _drained(want: Want | None) -> bool:
    """Whether somebody else than a release wants it out."""
    return want is not None and not want.who.startswith(WORD)


def _figures(told: list[Report], seconds: float) -> Figures:
    """The mean of some reports, as counts over an interval."""
    many = len(told)
    doors = [one.door for one in told if one.door > 0.0]
    return Figures(
        seconds * sum(one.served for one in told) / many,
        seconds * sum(one.refused + one.failed for one in told) / many,
        seconds * sum(one.cpu for one in told) / many,
        sum(one.memory for one in told) / many,
        sum(doors) / len(doors) if doors else 0.0,
    )
