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

from ...consensus.proposer import OperationOutcome, OutcomeKind
from ...coordination.artifact_fetch import digest_of
from ...fleet import fleet_state as book
from ...fleet import rollout_state
from ...fleet.disruption_budget import DisruptionBudget, Limit
from ...fleet.rollout_state import BUILD, SETTINGS, RolloutPhase, RolloutState
from ...net.boot_clock import boottime_s
from . import drain_harness, release_invariants, versions
from .drain_harness import GROUP, AvailabilityProbe, DrainHarness
from .drill_file import Drill
from .drill_run import DrillRun
from .event_log import drill_clock
from .history import AnyEvent, AvailabilityChanged, ReleaseDecided, VersionStarted
from .invariants import Violation
from .release_versions import (
    GOOD_VERSION,
    WAVES_TO_DETECT,
    count_decisions,
    fault_kind_of,
    max_members_exposed,
)
from .version_fault import VersionFault

ROUTER_LIMIT = Limit(most=3, zone_most=2, share=1.0, zone_share=1.0, stay=1)
ROLLBACK_LIMIT = Limit(most=4, zone_most=3, share=1.0, zone_share=1.0, stay=1)
CACHE_LIMIT = Limit(most=2, zone_most=1, share=1.0, zone_share=1.0, stay=1)
BUDGET = DisruptionBudget(
    routers=ROUTER_LIMIT, caches=CACHE_LIMIT, unplanned_allowance=2, rollback_routers=ROLLBACK_LIMIT
)
RELEASE_SETTINGS = """[releases]
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
PERMISSION_GRACE_S = (
    2.0 + 1.5 + 5.0
)  # seconds: a reading's age, an answer's way, the time until a member runs and is seen
FINISH_TIMEOUT_S = 120.0  # seconds until a release that is open at the end is over
RELEASE_KINDS = (GOOD_VERSION, GOOD_VERSION, GOOD_VERSION, *WAVES_TO_DETECT, SETTINGS, SETTINGS)


class VersionProbe(AvailabilityProbe):
    """Sees what each router runs, too: by its process's command line."""

    def __init__(self, harness: ReleaseHarness) -> None:
        super().__init__(harness)
        self.release_harness = harness
        self.running_versions: dict[str, str] = {}

    def _probe_member(self, name: str) -> None:
        super()._probe_member(name)
        version = self.release_harness.version_of(name)
        if version and version != self.running_versions.get(name):
            self.running_versions[name] = version
            self.version_events.append(VersionStarted(name, drill_clock(), version))

    @property
    def version_events(self) -> list[AnyEvent]:
        """What was seen to be run."""
        return self.release_harness.observed_events


class ReleaseHarness(DrainHarness):
    """One drill of releases."""

    budget_limits = BUDGET
    requests_per_second = 100.0

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        self.observed_events: list[AnyEvent] = []
        self.version_by_digest: dict[str, str] = {}  # of versions, by digest
        self.builds = folder / "builds"
        super().__init__(drill, seed, folder)
        self.availability_probe = VersionProbe(self)
        self.record: RolloutState | None = None
        self.decisions: Counter[str] = Counter()
        self.release_command: subprocess.Popen[bytes] | None = None
        self.max_members_by_bad_version: dict[str, int] = {}
        self.release_count = 0

    # -- what there is

    def _router_count(self) -> int:
        return (2 * len(self.workers) + 2) // 3

    def _build_topology(self) -> None:
        old = versions.write_build(self.builds / "old", GOOD_VERSION, "old")
        self.version_by_digest[digest_of(old)] = "old"
        super()._build_topology()
        with (self.folder / "all.toml").open("a", encoding="utf-8") as file:
            file.write(self._drains_settings())

    def _member_command(self, kind: str, name: str) -> tuple[list[str], list[str]]:
        if kind != "router":
            return super()._member_command(kind, name)
        given = ["--build", str(self.builds / "old"), "--config", f"{name}.json"]
        check = f"{sys.executable} -m rosepick check-config"
        return [sys.executable, "{build}/member.py", "serve"], [*given, "--check", check]

    def _drains_settings(self) -> str:
        def limit(one: Limit) -> str:
            return (
                f"most = {one.most}\nzone_most = {one.zone_most}\nshare = 1.0\nzone_share = 1.0\nstay = 1\n"
            )

        times = f"beat = {drain_harness.HEARTBEAT_INTERVAL_S}\nsilent = {drain_harness.HEARTBEAT_TIMEOUT_S}\n"
        times += "lonely = 5.0\nsteady = 1.0\n"
        times += "halt_above = 0.9\n"
        tables = "".join(
            f"[drains.{name}]\n{limit(one)}"
            for name, one in (("routers", ROUTER_LIMIT), ("caches", CACHE_LIMIT), ("back", ROLLBACK_LIMIT))
        )
        return f'[drains]\ngroup = "{GROUP}"\nunasked = 2\n{times}{tables}{RELEASE_SETTINGS}'

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
        return self.version_by_digest.get(place, place)

    # -- the operator

    def _issue_next_order(self) -> None:
        """Look at the record; start a release if none is open, and now and then say a word."""
        begin = drill_clock()

        def done(outcome: OperationOutcome) -> None:
            if outcome.kind is OutcomeKind.UNCHANGED:
                self._on_release_record(rollout_state.decode_rollout_state(outcome.register), begin)
            self.loop.call_after(300.0, self._issue_next_order)

        self.operator_client.execute(rollout_state.rollout_state_key(GROUP), None, done, 1_500.0)

    def _on_release_record(self, record: RolloutState, read_started_at: float) -> None:
        if record != self.record:
            self.decisions += count_decisions(self.record, record)
            self.record = record
            self.observed_events.append(self._to_event(record, read_started_at))
        busy = self.release_command is not None and self.release_command.poll() is None
        if not self.issues_orders or busy:
            if not self.issues_orders and not busy:
                self._finish_release(record)
            return
        rng = self.orders
        if record.open_rollout is None:
            if rng.random() < 0.5:
                self._start_release(record)
        elif record.open_rollout.pause is not None:
            if rng.random() < 0.3:
                self._resolve_hold(record)
        elif rng.random() < 0.002:
            self._run_release_command("rollback")
        elif rng.random() < 0.003:
            self._run_release_command("halt")
        elif rng.random() < 0.02:
            self._order_random_drain()
        elif rng.random() < 0.04:
            self._resume_drains()

    def _resolve_hold(self, record: RolloutState) -> None:
        """One that is held and asks: an operator knows what it is."""
        assert record.open_rollout is not None
        bad = record.open_rollout.new.name.partition("-")[0] in (*WAVES_TO_DETECT, "wrong")
        self._run_release_command(
            "rollback" if bad or record.open_rollout.phase == RolloutPhase.ROLLBACK else "resume"
        )

    def _run_release_command(self, command: str) -> None:
        self.counts[f"release {command}"] += 1
        self.release_command = self.start_operator_command("release", command, "--why", "drill")

    def _order_random_drain(self) -> None:
        name = self.orders.choice(self.workers)
        now = boottime_s()
        self._send_order("out", book.request_drain([name], "crew", "patch", now), (name,))
        back = book.cancel_drain([name], "crew", now, requested_by="crew")
        self.loop.call_after(5_000.0, partial(self._send_order, "in", back, (name,)))

    def _start_release(self, record: RolloutState) -> None:
        self.release_count += 1
        kind = self.orders.choice(RELEASE_KINDS)
        given = ["release", "start", "--why", "drill", "--from", str(self.builds / "old")]
        if kind == SETTINGS:
            given = ["release", "start", "--why", "drill", "--settings", str(self._write_new_settings())]
        else:
            name = f"{kind}-{self.release_count}"
            path = versions.write_build(self.builds / name, kind, name)
            self.version_by_digest[digest_of(path)] = name
            if kind in WAVES_TO_DETECT:
                self.max_members_by_bad_version[name] = max_members_exposed(kind, self._router_count())
            if BUILD in record.baseline:
                given = given[:-2]
            given.append(str(path))
        self.counts[f"release start {kind}"] += 1
        self.release_command = self.start_operator_command(*given)

    def _write_new_settings(self) -> Path:
        """New settings, good or wrong: the router takes either."""
        wrong = self.orders.random() < 0.5
        name = f"{'wrong' if wrong else 'settings'}-{self.release_count}"
        told = json.loads((self.folder / f"{self.workers[0]}.json").read_text("utf-8"))["settings"]
        told["request_classes"][0]["objective"] += self.release_count
        if wrong:
            told["request_classes"][0]["name"] = "reed"
        path = self.builds / f"{name}.json"
        path.write_text(json.dumps(told), "utf-8")
        return path

    def _to_event(self, record: RolloutState, read_started_at: float) -> ReleaseDecided:
        now, base = record.open_rollout, record.baseline.get(BUILD)
        runs = "old" if base is None else self.version_by_digest[base.digest]
        routers = self._members_of_kind("router")
        if now is None:
            return ReleaseDecided(
                "record", drill_clock(), read_started_at, record.last_number, runs, over=True
            )
        back = now.phase == RolloutPhase.ROLLBACK
        if now.kind != BUILD:
            return ReleaseDecided(
                "record", drill_clock(), read_started_at, now.number, runs, tuple(routers), back
            )
        new = now.new.digest
        may = tuple(name for name in routers if now.artifact_for(name).digest == new)
        return ReleaseDecided(
            "record", drill_clock(), read_started_at, now.number, self.version_by_digest[new], may, back
        )

    def _members_of_kind(self, kind: str) -> list[str]:
        return [name for name, (a_kind, _) in self.members.items() if a_kind == kind]

    # -- the end

    def _finish_release(self, record: RolloutState) -> None:
        if record.open_rollout is not None and record.open_rollout.pause is not None:
            self._resolve_hold(record)

    def _cancel_all_drains(self) -> None:
        """The halt is lifted, what is open comes to its end, and what crews wanted out is wanted in."""
        self._resume_drains()
        self.run_until(lambda: self.record is not None and self.record.open_rollout is None, FINISH_TIMEOUT_S)
        super()._cancel_all_drains()

    def _judge_run(
        self, started_at: float, all_rejoined: bool, final_state: book.FleetState | None
    ) -> DrillRun:
        for event in self.availability_probe.events:
            self._excuse_self_exit(event)
        self.events += self.observed_events
        return super()._judge_run(started_at, all_rejoined, final_state)

    def _check_additional_invariants(self, events: list[AnyEvent]) -> tuple[list[Violation], Counter[str]]:
        routers = self._members_of_kind("router")
        broken, counts = release_invariants.check_invariants(
            events,
            release_invariants.ReleaseBounds(PERMISSION_GRACE_S, self.max_members_by_bad_version, routers),
        )
        counts["releases"] = 0 if self.record is None else self.record.last_number
        return broken + self._check_final_settings(routers), counts + self.decisions

    def _excuse_self_exit(self, event: AvailabilityChanged) -> None:
        """A version that ends by itself takes what it has in hand along; that is not the release's doing."""
        ran = [
            one
            for one in self.observed_events
            if isinstance(one, VersionStarted) and one.process == event.process
        ]
        version = next((one.version for one in reversed(ran) if one.at <= event.at), "old")
        if not event.up and fault_kind_of(version) == VersionFault.EXITS_SOON:
            host, port = self.listen_addresses[event.process]
            struck = self.kill_times_by_address.setdefault(f"{host}:{port}", [])
            struck += [event.at - 0.2 * n for n in range(3)]

    def _check_final_settings(self, routers: list[str]) -> list[Violation]:
        """Each router was given the settings that the record says."""
        if self.record is None or self.record.open_rollout is not None:
            return []
        base = self.record.baseline.get(SETTINGS)
        found = []
        for name in routers:
            own = json.loads((self.folder / f"{name}.json").read_text("utf-8"))["settings"]
            want = (
                json.loads(Path(base.source).read_text("utf-8")) if base is not None and base.digest else own
            )
            live = self.folder / f"{name}.d" / "config.json"
            if json.loads(live.read_text("utf-8"))["settings"] != want:
                found.append(Violation("one version", f"{name} has other settings than the record says"))
        if base is not None and base.name.startswith("wrong"):
            found.append(Violation("taken back", f"all are to have {base.name}, which is wrong"))
        return found


def run_drill(drill: Drill, seed: int, folder: Path) -> DrillRun:
    """One seed, in a folder that is emptied first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return ReleaseHarness(drill, seed, folder).run()
