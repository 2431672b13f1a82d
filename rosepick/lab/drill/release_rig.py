"""Releases on real processes: routers with agents, builds that are worse in one way or another, settings
that the router's check takes and that are wrong, an operator who uses the commands, and a look from outside
at what runs.
"""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
from collections import Counter
from functools import partial
from pathlib import Path

from ...agreement.operation import Kind, Outcome
from ...fleet import ledger as book
from ...fleet import release
from ...fleet.budget import Budget, Limit
from ...fleet.release import BUILD, SETTINGS, Phase, Record
from ...net.boottime import boottime
from ...net.releasing import digest_of
from . import drain_rig, release_claims, versions
from .claims import Broken
from .drain_rig import GROUP, DrainRig, Eye
from .files import Drill
from .history import AnyEvent, Decided, Ran, Stood
from .rig import Played
from .sim_releases import BAD, GOOD, decisions, kind_of, most_of
from .stand_ins import moment

MOST = Limit(most=3, zone_most=2, share=1.0, zone_share=1.0, stay=1)
BACK = Limit(most=4, zone_most=3, share=1.0, zone_share=1.0, stay=1)
CACHES = Limit(most=2, zone_most=1, share=1.0, zone_share=1.0, stay=1)
BUDGET = Budget(routers=MOST, caches=CACHES, unasked=2, back=BACK)
RELEASES = """[releases]
waves = [1, "zone", "rest"]
watch = 4.0
patience = 20.0
after = 3.0
settle = 2.5
probation = 12.0
lost_for = 10.0
pool = 1.5
alarm = 0.002
failing = 0.0
line = 0.6
"""
GOES = 2.0 + 1.5 + 5.0  # seconds: a reading's age, an answer's way, the time until a member runs and is seen
FINISH = 120.0  # seconds until a release that is open at the end is over
KINDS = (GOOD, GOOD, GOOD, *BAD, SETTINGS, SETTINGS)


class Watcher(Eye):
    """Sees what each router runs, too: by its process's command line."""

    def __init__(self, rig: ReleaseRig) -> None:
        super().__init__(rig)
        self.releases = rig
        self.runs: dict[str, str] = {}

    def _look(self, name: str) -> None:
        super()._look(name)
        version = self.releases.version_of(name)
        if version and version != self.runs.get(name):
            self.runs[name] = version
            self.ran.append(Ran(name, moment(), version))

    @property
    def ran(self) -> list[AnyEvent]:
        """What was seen to be run."""
        return self.releases.seen


class ReleaseRig(DrainRig):
    """One drill of releases."""

    may_be_out = BUDGET
    rate = 100.0

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        self.seen: list[AnyEvent] = []
        self.names: dict[str, str] = {}  # of versions, by digest
        self.builds = folder / "builds"
        super().__init__(drill, seed, folder)
        self.eye = Watcher(self)
        self.record: Record | None = None
        self.decisions: Counter[str] = Counter()
        self.started: subprocess.Popen[bytes] | None = None
        self.bad: dict[str, int] = {}
        self.released = 0

    # -- what there is

    def _routers(self) -> int:
        return (2 * len(self.workers) + 2) // 3

    def _lay_out(self) -> None:
        old = versions.build(self.builds / "old", GOOD, "old")
        self.names[digest_of(old)] = "old"
        super()._lay_out()
        with (self.folder / "all.toml").open("a", encoding="utf-8") as file:
            file.write(self._drains())

    def _command(self, kind: str, name: str) -> tuple[list[str], list[str]]:
        if kind != "router":
            return super()._command(kind, name)
        given = ["--build", str(self.builds / "old"), "--config", f"{name}.json"]
        check = f"{sys.executable} -m rosepick check-config"
        return [sys.executable, "{build}/member.py", "serve"], [*given, "--check", check]

    def _drains(self) -> str:
        def limit(one: Limit) -> str:
            return (
                f"most = {one.most}\nzone_most = {one.zone_most}\nshare = 1.0\nzone_share = 1.0\nstay = 1\n"
            )

        times = f"beat = {drain_rig.BEAT}\nsilent = {drain_rig.SILENT}\nlonely = 5.0\nsteady = 1.0\n"
        times += "halt_above = 0.9\n"
        tables = "".join(
            f"[drains.{name}]\n{limit(one)}"
            for name, one in (("routers", MOST), ("caches", CACHES), ("back", BACK))
        )
        return f'[drains]\ngroup = "{GROUP}"\nunasked = 2\n{times}{tables}{RELEASES}'

    def version_of(self, name: str) -> str:
        """What a router runs now, by its process; empty if it does not run, or cannot be told."""
        if self.members[name][0] != "router":
            return ""
        try:
            told = json.loads((self.folder / f"{name}.d" / "agent.json").read_text("utf-8"))
            words = Path(f"/proc/{int(told['pid'])}/cmdline").read_bytes().split(b"\0")
        except (OSError, ValueError, KeyError):
            return ""
        place = next((Path(word.decode()).parent.name for word in words if word.endswith(b"member.py")), "")
        return self.names.get(place, place)

    # -- the operator

    def _order(self) -> None:
        """Look at the record; start a release if none is open, and now and then say a word."""
        begin = moment()

        def done(outcome: Outcome) -> None:
            if outcome.kind is Kind.READ:
                self._told(release.read(outcome.register), begin)
            self.loop.after(300.0, self._order)

        self.crew.run(release.key(GROUP), None, done, 1_500.0)

    def _told(self, record: Record, begin: float) -> None:
        if record != self.record:
            self.decisions += decisions(self.record, record)
            self.record = record
            self.seen.append(self._decided(record, begin))
        busy = self.started is not None and self.started.poll() is None
        if not self.ordering or busy:
            if not self.ordering and not busy:
                self._finish(record)
            return
        rng = self.orders
        if record.now is None:
            if rng.random() < 0.5:
                self._release(record)
        elif record.now.held is not None:
            if rng.random() < 0.3:
                self._answer(record)
        elif rng.random() < 0.002:
            self._say_word("rollback")
        elif rng.random() < 0.003:
            self._say_word("halt")
        elif rng.random() < 0.02:
            self._crew_order()
        elif rng.random() < 0.04:
            self._lift_halt()

    def _answer(self, record: Record) -> None:
        """One that is held and asks: an operator knows what it is."""
        assert record.now is not None
        bad = record.now.new.name.partition("-")[0] in (*BAD, "wrong")
        self._say_word("rollback" if bad or record.now.phase == Phase.BACK else "resume")

    def _say_word(self, word: str) -> None:
        self.counts[f"release {word}"] += 1
        self.started = self._said("release", word, "--why", "drill")

    def _crew_order(self) -> None:
        name = self.orders.choice(self.workers)
        now = boottime()
        self._say("out", book.want_out([name], "crew", "patch", now), (name,))
        back = book.want_in([name], "crew", now, only_of="crew")
        self.loop.after(5_000.0, partial(self._say, "in", back, (name,)))

    def _release(self, record: Record) -> None:
        self.released += 1
        kind = self.orders.choice(KINDS)
        given = ["release", "start", "--why", "drill", "--from", str(self.builds / "old")]
        if kind == SETTINGS:
            given = ["release", "start", "--why", "drill", "--settings", str(self._settings())]
        else:
            name = f"{kind}-{self.released}"
            path = versions.build(self.builds / name, kind, name)
            self.names[digest_of(path)] = name
            if kind in BAD:
                self.bad[name] = most_of(kind, self._routers())
            if BUILD in record.base:
                given = given[:-2]
            given.append(str(path))
        self.counts[f"release start {kind}"] += 1
        self.started = self._said(*given)

    def _settings(self) -> Path:
        """New settings, good or wrong: the router takes either."""
        wrong = self.orders.random() < 0.5
        name = f"{'wrong' if wrong else 'settings'}-{self.released}"
        told = json.loads((self.folder / f"{self.workers[0]}.json").read_text("utf-8"))["settings"]
        told["request_classes"][0]["objective"] += self.released
        if wrong:
            told["request_classes"][0]["name"] = "reed"
        path = self.builds / f"{name}.json"
        path.write_text(json.dumps(told), "utf-8")
        return path

    def _decided(self, record: Record, begin: float) -> Decided:
        now, base = record.now, record.base.get(BUILD)
        runs = "old" if base is None else self.names[base.digest]
        routers = self._of_kind("router")
        if now is None:
            return Decided("record", moment(), begin, record.releases, runs, over=True)
        back = now.phase == Phase.BACK
        if now.kind != BUILD:
            return Decided("record", moment(), begin, now.number, runs, tuple(routers), back)
        new = now.new.digest
        may = tuple(name for name in routers if now.may_run(name).digest == new)
        return Decided("record", moment(), begin, now.number, self.names[new], may, back)

    def _of_kind(self, kind: str) -> list[str]:
        return [name for name, (a_kind, _) in self.members.items() if a_kind == kind]

    # -- the end

    def _finish(self, record: Record) -> None:
        if record.now is not None and record.now.held is not None:
            self._answer(record)

    def _all_in(self) -> None:
        """The halt is lifted, what is open comes to its end, and what crews wanted out is wanted in."""
        self._lift_halt()
        self._until(lambda: self.record is not None and self.record.now is None, FINISH)
        super()._all_in()

    def _judged(self, begin: float, back: bool, last: book.Ledger | None) -> Played:
        for event in self.eye.events:
            self._note_ended(event)
        self.events += self.seen
        return super()._judged(begin, back, last)

    def _more_claims(self, events: list[AnyEvent]) -> tuple[list[Broken], Counter[str]]:
        routers = self._of_kind("router")
        broken, counts = release_claims.judge(events, release_claims.Bounds(GOES, self.bad, routers))
        counts["releases"] = 0 if self.record is None else self.record.releases
        return broken + self._settings_at_the_end(routers), counts + self.decisions

    def _note_ended(self, event: Stood) -> None:
        """A version that ends by itself takes what it has in hand along; that is not the release's doing."""
        ran = [one for one in self.seen if isinstance(one, Ran) and one.process == event.process]
        version = next((one.version for one in reversed(ran) if one.at <= event.at), "old")
        if not event.up and kind_of(version) == "short":
            host, port = self.listens[event.process]
            struck = self.killed_at.setdefault(f"{host}:{port}", [])
            struck += [event.at - 0.2 * n for n in range(3)]

    def _settings_at_the_end(self, routers: list[str]) -> list[Broken]:
        """Each router was given the settings that the record says."""
        if self.record is None or self.record.now is not None:
            return []
        base = self.record.base.get(SETTINGS)
        found = []
        for name in routers:
            own = json.loads((self.folder / f"{name}.json").read_text("utf-8"))["settings"]
            want = (
                json.loads(Path(base.source).read_text("utf-8")) if base is not None and base.digest else own
            )
            live = self.folder / f"{name}.d" / "config.json"
            if json.loads(live.read_text("utf-8"))["settings"] != want:
                found.append(Broken("one version", f"{name} has other settings than the record says"))
        if base is not None and base.name.startswith("wrong"):
            found.append(Broken("taken back", f"all are to have {base.name}, which is wrong"))
        return found


def play(drill: Drill, seed: int, folder: Path) -> Played:
    """One seed, in a folder that is emptied first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return ReleaseRig(drill, seed, folder).play()
