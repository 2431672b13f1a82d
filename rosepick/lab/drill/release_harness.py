"""Runs the fault-injection test of releases on real processes.

Routers run under agents. An operator releases builds, some of which have a fault, and settings, some of which
are wrong although the router's check accepts them. A thread probes from outside which version each router
runs.
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
from ...coordination.artifact_fetch import compute_digest
from ...fleet import drain_requests, fleet_state, rollout_state
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
    max_members_exposed,
    parse_fault_kind,
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
# the age of the record that an agent reads, the time until a reply arrives, and the time until a member runs
# and a probe sees it
PERMISSION_GRACE_S = 2.0 + 1.5 + 5.0
FINISH_TIMEOUT_S = 120.0  # until a release that is open when orders end is over
RELEASE_KINDS = (GOOD_VERSION, GOOD_VERSION, GOOD_VERSION, *WAVES_TO_DETECT, SETTINGS, SETTINGS)


class VersionProbe(AvailabilityProbe):
    """Probes, too, which version each router runs, by the command line of its process."""

    def __init__(self, harness: ReleaseHarness) -> None:
        super().__init__(harness)
        self.release_harness = harness
        self.running_versions: dict[str, str] = {}

    def _probe_member(self, name: str) -> None:
        super()._probe_member(name)
        version = self.release_harness.running_version(name)
        if version and version != self.running_versions.get(name):
            self.running_versions[name] = version
            self.version_events.append(VersionStarted(name, drill_clock(), version))

    @property
    def version_events(self) -> list[AnyEvent]:
        """The list of observed events, to which starts of versions are appended."""
        return self.release_harness.observed_events


class ReleaseHarness(DrainHarness):
    """Runs one test of releases."""

    budget_limits = BUDGET
    requests_per_second = 100.0

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        self.observed_events: list[AnyEvent] = []
        self.version_by_digest: dict[str, str] = {}  # names of versions
        self.builds = folder / "builds"
        super().__init__(drill, seed, folder)
        self.availability_probe = VersionProbe(self)
        self.record: RolloutState | None = None
        self.decisions: Counter[str] = Counter()
        self.release_command: subprocess.Popen[bytes] | None = None
        self.max_members_by_bad_version: dict[str, int] = {}
        self.release_count = 0

    # -- processes

    def _router_count(self) -> int:
        return (2 * len(self.workers) + 2) // 3

    def _build_topology(self) -> None:
        initial_build = versions.write_build(self.builds / "old", GOOD_VERSION, "old")
        self.version_by_digest[compute_digest(initial_build)] = "old"
        super()._build_topology()
        with (self.folder / "all.toml").open("a", encoding="utf-8") as file:
            file.write(self._drains_settings())

    def _member_command(self, kind: str, name: str) -> tuple[list[str], list[str]]:
        if kind != "router":
            return super()._member_command(kind, name)
        options = ["--build", str(self.builds / "old"), "--config", f"{name}.json"]
        check_command = f"{sys.executable} -m rosepick check-config"
        return [sys.executable, "{build}/member.py", "serve"], [*options, "--check", check_command]

    def _drains_settings(self) -> str:
        def limit_settings(limit: Limit) -> str:
            return (
                f"most = {limit.most}\nzone_most = {limit.zone_most}\n"
                "share = 1.0\nzone_share = 1.0\nstay = 1\n"
            )

        times = f"beat = {drain_harness.HEARTBEAT_INTERVAL_S}\nsilent = {drain_harness.HEARTBEAT_TIMEOUT_S}\n"
        times += "lonely = 5.0\nsteady = 1.0\n"
        times += "halt_above = 0.9\n"
        tables = "".join(
            f"[drains.{name}]\n{limit_settings(limit)}"
            for name, limit in (("routers", ROUTER_LIMIT), ("caches", CACHE_LIMIT), ("back", ROLLBACK_LIMIT))
        )
        return f'[drains]\ngroup = "{GROUP}"\nunasked = 2\n{times}{tables}{RELEASE_SETTINGS}'

    def running_version(self, name: str) -> str:
        """Return the version that a router runs, by its process; empty if it does not run or is not known."""
        if self.members[name][0] != "router":
            return ""
        try:
            agent_state = json.loads((self.folder / f"{name}.d" / "agent.json").read_text("utf-8"))
            arguments = Path(f"/proc/{int(agent_state['pid'])}/cmdline").read_bytes().split(b"\0")
        except (OSError, ValueError, KeyError):
            return ""
        build_name = next(
            (
                Path(argument.decode()).parent.name
                for argument in arguments
                if argument.endswith(b"member.py")
            ),
            "",
        )
        return self.version_by_digest.get(build_name, build_name)

    # -- the operator

    def _issue_next_order(self) -> None:
        """Read the rollout's record and act on it, and schedule the next read."""
        read_started_at = drill_clock()

        def on_outcome(outcome: OperationOutcome) -> None:
            if outcome.kind is OutcomeKind.UNCHANGED:
                self._on_rollout_record(rollout_state.decode_rollout_state(outcome.register), read_started_at)
            self.loop.call_after(300.0, self._issue_next_order)

        self.operator_client.execute(rollout_state.rollout_state_key(GROUP), None, on_outcome, 1_500.0)

    def _on_rollout_record(self, record: RolloutState, read_started_at: float) -> None:
        if record != self.record:
            self.decisions += count_decisions(self.record, record)
            self.record = record
            self.observed_events.append(self._release_event(record, read_started_at))
        is_command_running = self.release_command is not None and self.release_command.poll() is None
        if not self.issues_orders or is_command_running:
            if not self.issues_orders and not is_command_running:
                self._finish_rollout(record)
            return
        rng = self.order_rng
        if record.open_rollout is None:
            if rng.random() < 0.5:
                self._start_rollout(record)
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
        """Resume a rollout on hold, or roll it back if its version has a fault, which the operator knows."""
        assert record.open_rollout is not None
        has_fault = record.open_rollout.new.name.partition("-")[0] in (*WAVES_TO_DETECT, "wrong")
        self._run_release_command(
            "rollback" if has_fault or record.open_rollout.phase == RolloutPhase.ROLLBACK else "resume"
        )

    def _run_release_command(self, command: str) -> None:
        self.counts[f"release {command}"] += 1
        self.release_command = self.start_operator_command("release", command, "--why", "drill")

    def _order_random_drain(self) -> None:
        name = self.order_rng.choice(self.workers)
        now = boottime_s()
        self._send_order("out", drain_requests.request_drain([name], "crew", "patch", now), (name,))
        cancellation = drain_requests.cancel_drain([name], "crew", now, requested_by="crew")
        self.loop.call_after(5_000.0, partial(self._send_order, "in", cancellation, (name,)))

    def _start_rollout(self, record: RolloutState) -> None:
        self.release_count += 1
        kind = self.order_rng.choice(RELEASE_KINDS)
        arguments = ["release", "start", "--why", "drill", "--from", str(self.builds / "old")]
        if kind == SETTINGS:
            arguments = ["release", "start", "--why", "drill", "--settings", str(self._write_new_settings())]
        else:
            name = f"{kind}-{self.release_count}"
            path = versions.write_build(self.builds / name, kind, name)
            self.version_by_digest[compute_digest(path)] = name
            if kind in WAVES_TO_DETECT:
                self.max_members_by_bad_version[name] = max_members_exposed(kind, self._router_count())
            if BUILD in record.baseline:
                arguments = arguments[:-2]
            arguments.append(str(path))
        self.counts[f"release start {kind}"] += 1
        self.release_command = self.start_operator_command(*arguments)

    def _write_new_settings(self) -> Path:
        """Write new settings, good or wrong ones; the router's check accepts both."""
        is_wrong = self.order_rng.random() < 0.5
        name = f"{'wrong' if is_wrong else 'settings'}-{self.release_count}"
        settings = json.loads((self.folder / f"{self.workers[0]}.json").read_text("utf-8"))["settings"]
        settings["request_classes"][0]["objective"] += self.release_count
        if is_wrong:
            settings["request_classes"][0]["name"] = "reed"
        path = self.builds / f"{name}.json"
        path.write_text(json.dumps(settings), "utf-8")
        return path

    def _release_event(self, record: RolloutState, read_started_at: float) -> ReleaseDecided:
        """Return the event that says which version the rollout state permits, and to which routers.

        Settings do not count as a version: a rollout of settings permits the baseline to all routers.

        Args:
            record: the rollout state that was read.
            read_started_at: start of the read, in seconds on the drill's clock.
        """
        rollout, baseline = record.open_rollout, record.baseline.get(BUILD)
        baseline_version = "old" if baseline is None else self.version_by_digest[baseline.digest]
        routers = self._members_of_kind("router")
        if rollout is None:
            return ReleaseDecided(
                "record", drill_clock(), read_started_at, record.last_number, baseline_version, over=True
            )
        rolls_back = rollout.phase == RolloutPhase.ROLLBACK
        if rollout.kind != BUILD:
            return ReleaseDecided(
                "record",
                drill_clock(),
                read_started_at,
                rollout.number,
                baseline_version,
                tuple(routers),
                rolls_back,
            )
        new_digest = rollout.new.digest
        permitted = tuple(name for name in routers if rollout.artifact_for(name).digest == new_digest)
        return ReleaseDecided(
            "record",
            drill_clock(),
            read_started_at,
            rollout.number,
            self.version_by_digest[new_digest],
            permitted,
            rolls_back,
        )

    def _members_of_kind(self, kind: str) -> list[str]:
        return [name for name, (member_kind, _) in self.members.items() if member_kind == kind]

    # -- the end of the run

    def _finish_rollout(self, record: RolloutState) -> None:
        if record.open_rollout is not None and record.open_rollout.pause is not None:
            self._resolve_hold(record)

    def _cancel_all_drains(self) -> None:
        """Resume drains, wait until the open rollout is over, and cancel all drain requests."""
        self._resume_drains()
        self.run_until(lambda: self.record is not None and self.record.open_rollout is None, FINISH_TIMEOUT_S)
        super()._cancel_all_drains()

    def _check_run(
        self, started_at: float, all_rejoined: bool, final_state: fleet_state.FleetState | None
    ) -> DrillRun:
        for event in self.availability_probe.events:
            self._exempt_self_exit(event)
        self.events += self.observed_events
        return super()._check_run(started_at, all_rejoined, final_state)

    def _check_additional_invariants(self, events: list[AnyEvent]) -> tuple[list[Violation], Counter[str]]:
        routers = self._members_of_kind("router")
        violations, counts = release_invariants.check_invariants(
            events,
            release_invariants.ReleaseBounds(PERMISSION_GRACE_S, self.max_members_by_bad_version, routers),
        )
        counts["releases"] = 0 if self.record is None else self.record.last_number
        return violations + self._check_final_settings(routers), counts + self.decisions

    def _exempt_self_exit(self, event: AvailabilityChanged) -> None:
        """Count the exit of a version that ends by itself as a kill, since no release causes its losses."""
        started_versions = [
            start
            for start in self.observed_events
            if isinstance(start, VersionStarted) and start.process == event.process
        ]
        version = next((start.version for start in reversed(started_versions) if start.at <= event.at), "old")
        if not event.up and parse_fault_kind(version) == VersionFault.EXITS_SOON:
            host, port = self.listen_addresses[event.process]
            kill_times = self.kill_times_by_address.setdefault(f"{host}:{port}", [])
            kill_times += [event.at - 0.2 * n for n in range(3)]

    def _check_final_settings(self, routers: list[str]) -> list[Violation]:
        """Check that each router has the settings of the record, and that these are not wrong ones."""
        if self.record is None or self.record.open_rollout is not None:
            return []
        baseline = self.record.baseline.get(SETTINGS)
        violations = []
        for name in routers:
            initial_settings = json.loads((self.folder / f"{name}.json").read_text("utf-8"))["settings"]
            expected = (
                json.loads(Path(baseline.source).read_text("utf-8"))
                if baseline is not None and baseline.digest
                else initial_settings
            )
            deployed_path = self.folder / f"{name}.d" / "config.json"
            if json.loads(deployed_path.read_text("utf-8"))["settings"] != expected:
                violations.append(
                    Violation("one version", f"{name} has other settings than those of the record")
                )
        if baseline is not None and baseline.name.startswith("wrong"):
            violations.append(
                Violation("taken back", f"all are to have the settings {baseline.name}, which are wrong")
            )
        return violations


def run_drill(drill: Drill, seed: int, folder: Path) -> DrillRun:
    """Run the test with one seed, in a folder that is emptied first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return ReleaseHarness(drill, seed, folder).run()
