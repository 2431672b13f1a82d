"""Runs a member as a process of this machine: starts, polls (over its admin listener), drains and stops it.

The process outlives its agent; a restarted agent finds it by its process id and start time.
"""

from __future__ import annotations

import json
import logging
import os
import signal
import subprocess
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..fleet.agent import MemberAction, MemberStatus
from ..fleet.failure_detector import HealthReport
from ..fleet.fleet_state import MemberKind
from ..fleet.rollout_state import BUILD, SETTINGS
from ..logs import log_event
from ..net.event_loop import EventLoop
from ..net.resource_budget import ResourceBudget
from .admin_call import ADMIN_TIMEOUT_MS, AdminCall
from .agent_state_file import AgentStateFile
from .artifact_fetch import fill_command
from .artifact_store import LocalArtifactStore
from .process_stats import process_start_time, process_usage
from .quorum_connection import SocketAddress

logger = logging.getLogger(__name__)
POLL_INTERVAL_MS = 150.0  # interval between two calls to the admin listener
TELEMETRY_TIMEOUT_MS = 6.0 * POLL_INTERVAL_MS + ADMIN_TIMEOUT_MS  # older telemetry is ignored
# Delay before the restart of a member that has exited by itself: doubled after each start, up to the maximum.
MIN_RESTART_DELAY_MS = 500.0
MAX_RESTART_DELAY_MS = 30_000.0
MIN_STABLE_RUN_MS = 10_000.0  # the restart delay is reset to its minimum after a run of this length
STOP_TIMEOUT_MS = 15_000.0  # time from SIGTERM to SIGKILL
ADMIN_DESCRIPTORS = 64
NEVER_MS = -1e9  # a time before all others
REPORTED_METRICS = ("served", "refused", "failed", "hits", "misses", "cpu", "memory", "door")
MIN_READS_FOR_HIT_RATIO = 30
MIN_REQUESTS_PER_S_FOR_LOSS = 5.0  # with fewer requests, the share of lost ones is not meaningful


@dataclass(frozen=True, slots=True)
class MemberProcessConfig:
    """Says how a member's process is run.

    `command` starts it (`{build}` is the build's path), and its output is appended to `log_path`.
    `admin_endpoint` is the address of its admin listener. `max_loss_share` is the limit of the share of
    requests that are refused or failed.
    """

    kind: MemberKind
    admin_endpoint: SocketAddress
    command: list[str]
    log_path: Path
    max_loss_share: float


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Holds the request counts of the telemetry, by name, and when they were read."""

    read_at: float
    counts: dict[str, float]


class SupervisedProcess:
    """Manages a router or cache node that runs as a process of this machine.

    `artifacts` stores the member's builds and settings; it is None if the member takes no part in rollouts.
    """

    def __init__(
        self,
        loop: EventLoop,
        config: MemberProcessConfig,
        state_file: AgentStateFile,
        artifacts: LocalArtifactStore | None = None,
    ) -> None:
        self._loop = loop
        self._config = config
        self._state_file = state_file
        self._artifacts = artifacts
        self._active_digests: Callable[[], dict[str, str]] = dict
        self._budget = ResourceBudget(ADMIN_DESCRIPTORS)
        self._process: subprocess.Popen[bytes] | None = None  # None also if an earlier agent started it
        self._pid = int(state_file.get("pid") or 0)
        self._process_start_time = str(state_file.get("began") or "")
        self._started_at = loop.now()
        self._restart_delay_ms = MIN_RESTART_DELAY_MS
        self._next_start_at = 0.0
        self._stop_requested_at: float | None = None
        self._exit_count = 0
        self._last_poll_at = -POLL_INTERVAL_MS
        self._poll_count = 0
        self._is_admin_call_pending = False
        self._is_ready = False
        self._telemetry: dict[str, Any] = {}
        self._telemetry_at = NEVER_MS
        self._last_counts: RequestCounts | None = None
        self._rates: dict[str, float] = {}
        self._read_counts: dict[str, float] = {}
        self._admin_latencies_ms: list[float] = []
        self._cpu_used_s = 0.0  # processor time of the process at the last report
        if self._is_alive():
            log_event(logger, logging.INFO, "member_adopted", pid=self._pid)

    # -- the process

    def _is_alive(self) -> bool:
        if self._process is not None and self._process.poll() is not None:
            self._record_exit(self._process.returncode)
        return bool(self._pid) and process_start_time(self._pid) == self._process_start_time

    def _record_exit(self, status: int) -> None:
        log_event(logger, logging.WARNING, "member_exited", status=status)
        now = self._loop.now()
        was_stopped = self._stop_requested_at is not None
        if now - self._started_at > MIN_STABLE_RUN_MS:
            self._restart_delay_ms = MIN_RESTART_DELAY_MS
        self._next_start_at = now + (0.0 if was_stopped else self._restart_delay_ms)
        self._exit_count += not was_stopped
        self._process = None
        self._pid = 0
        self._stop_requested_at = None
        self._is_ready = False

    def set_active_digests(self, active_digests: Callable[[], dict[str, str]]) -> None:
        """Set the function that returns the digests that the member has to run, by kind of artifact."""
        self._active_digests = active_digests
        if self._artifacts is not None:
            self._artifacts.active_digests = active_digests
            self._artifacts.reload_member = lambda: self._signal(signal.SIGHUP)

    def apply_action(self, action: MemberAction) -> None:
        """Start, drain, undrain or stop the process; called until its status shows the effect."""
        if action is MemberAction.START:
            self._start()
        elif action is MemberAction.STOP:
            self._stop()
        elif action in (MemberAction.DRAIN, MemberAction.UNDRAIN):
            self._send_command("drain" if action is MemberAction.DRAIN else "undrain")

    def _start(self) -> None:
        now = self._loop.now()
        if self._is_alive() or now < self._next_start_at:
            return
        self._restart_delay_ms = min(MAX_RESTART_DELAY_MS, 2.0 * self._restart_delay_ms)
        self._next_start_at = now + self._restart_delay_ms
        self._started_at = now
        self._stop_requested_at = None
        self._is_ready = False
        command = self._config.command
        environment = dict(os.environ)
        build = self._active_digests().get(BUILD, "")
        if self._artifacts is not None:
            self._artifacts.write_config()
            command = fill_command(command, self._artifacts.path_of(build))
            environment |= self._artifacts.environment()
        process = self._spawn(command, environment)
        if process is None:
            return
        self._process = process
        self._pid = process.pid
        self._process_start_time = process_start_time(process.pid)
        self._cpu_used_s = 0.0
        self._state_file.put(pid=self._pid, began=self._process_start_time, ran=build)
        log_event(logger, logging.INFO, "member_started", pid=self._pid)

    def _spawn(self, command: list[str], environment: dict[str, str]) -> subprocess.Popen[bytes] | None:
        """Return the new process; if it cannot be started, log and count the failure and return None."""
        try:
            with self._config.log_path.open("ab") as output:
                return subprocess.Popen(
                    command,
                    stdin=subprocess.DEVNULL,
                    stdout=output,
                    stderr=output,
                    start_new_session=True,
                    env=environment,
                )
        except OSError as error:
            self._exit_count += 1
            log_event(logger, logging.ERROR, "member_start_failed", command=command[0], text=error)
            return None

    def _stop(self) -> None:
        now = self._loop.now()
        if not self._is_alive():
            return
        if self._stop_requested_at is None:
            self._stop_requested_at = now
            log_event(logger, logging.INFO, "member_terminating", pid=self._pid)
            self._signal(signal.SIGTERM)
        elif now - self._stop_requested_at > STOP_TIMEOUT_MS:
            self._signal(signal.SIGKILL)

    def _signal(self, signal_number: int) -> None:
        if self._is_alive():
            os.kill(self._pid, signal_number)

    # -- the admin listener

    def _send_command(self, line: str) -> None:
        if not self._is_admin_call_pending and self._is_alive():
            self._is_admin_call_pending = True
            AdminCall(
                self._loop,
                self._budget,
                self._config.admin_endpoint,
                line,
                lambda text: self._handle_answer("", text),
            )

    def _poll(self) -> None:
        now = self._loop.now()
        if now - self._last_poll_at < POLL_INTERVAL_MS or self._is_admin_call_pending or not self._is_alive():
            return
        self._last_poll_at, self._is_admin_call_pending = now, True
        self._poll_count += 1
        line = "telemetry" if self._poll_count % 2 else "readyz"

        def handle_answer(text: str | None) -> None:
            if text is not None:
                self._admin_latencies_ms.append(self._loop.now() - now)
            self._handle_answer(line, text)

        AdminCall(self._loop, self._budget, self._config.admin_endpoint, line, handle_answer)

    def _handle_answer(self, line: str, text: str | None) -> None:
        self._is_admin_call_pending = False
        if line == "readyz":
            self._is_ready = text is not None and text.startswith("OK")
        elif line == "telemetry":
            try:
                self._telemetry = json.loads((text or "").split("\n", 1)[0])
                self._telemetry_at = self._loop.now()
            except ValueError:
                self._telemetry_at = NEVER_MS

    def read_status(self) -> MemberStatus:
        """Return the current status, and poll the admin listener if a poll is due."""
        is_running = self._is_alive()
        self._poll()
        is_fresh = is_running and self._loop.now() - self._telemetry_at < TELEMETRY_TIMEOUT_MS
        telemetry = self._telemetry if is_fresh and self._telemetry_at > self._started_at else {}
        is_draining = bool(telemetry.get("draining"))
        is_stopping = self._stop_requested_at is not None
        expected_build = self._active_digests().get(BUILD, "")
        return MemberStatus(
            running=is_running,
            serving=bool(telemetry) and self._is_ready and not is_draining and not is_stopping,
            draining=is_draining,
            stopping=is_stopping,
            idle=bool(telemetry) and bool(telemetry.get("idle")),
            warm=self._config.kind is MemberKind.ROUTER or bool(telemetry.get("warm")),
            hit_ratio=self._hit_ratio(),
            limit_violation=self._loss_limit_violation(),
            runs_wrong_build=is_running and self._state_file.get("ran") not in (None, expected_build),
            exit_count=self._exit_count,
        )

    # -- reports

    def _hit_ratio(self) -> float | None:
        """Return the share of hits in the reads before the last report; None if there were too few reads."""
        reads = self._read_counts.get("hits", 0.0) + self._read_counts.get("misses", 0.0)
        return self._read_counts["hits"] / reads if reads >= MIN_READS_FOR_HIT_RATIO else None

    def _loss_limit_violation(self) -> str:
        """Return how the rates of the last report exceed the limit of lost requests; empty if they do not."""
        requests = sum(self._rates.get(name, 0.0) for name in ("served", "refused", "failed"))
        lost = self._rates.get("refused", 0.0) + self._rates.get("failed", 0.0)
        limit = self._config.max_loss_share
        if requests > MIN_REQUESTS_PER_S_FOR_LOSS and lost > limit * requests:
            return f"{lost / requests:.0%} of its requests are refused or failed; the limit is {limit:.0%}"
        return ""

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        """Return a health report; its metrics are rates since the last report."""
        status = self.read_status()
        self._update_rates()
        active_digests = self._active_digests()
        started_build = self._state_file.get("ran")
        metrics = {name: self._rates.get(name, 0.0) for name in REPORTED_METRICS}
        report = HealthReport(
            run_id,
            sequence,
            status.serving,
            status.warm,
            exit_count=self._exit_count,
            settings=active_digests.get(SETTINGS, ""),
        )
        build = active_digests.get(BUILD, "") if started_build is None else str(started_build)
        return msgspec.structs.replace(report, build=build, **metrics)

    def _update_rates(self) -> None:
        now = self._loop.now()
        counts = _request_counts(self._telemetry)
        previous = self._last_counts
        self._rates = {}
        if previous is not None and now > previous.read_at:
            seconds = (now - previous.read_at) / 1000.0
            increases = {
                name: max(0.0, count - previous.counts.get(name, 0.0)) for name, count in counts.items()
            }
            self._rates = {name: count / seconds for name, count in increases.items()}
            self._read_counts = {name: increases[name] for name in ("hits", "misses")}
            self._rates |= self._resource_usage(seconds)
        self._last_counts = RequestCounts(now, counts)

    def _resource_usage(self, seconds: float) -> dict[str, float]:
        """Return the resource usage of the process, and the median latency of its admin listener (ms)."""
        latencies_ms = sorted(self._admin_latencies_ms)
        self._admin_latencies_ms = []
        usage = process_usage(self._pid)
        cpu_s = max(0.0, usage.cpu_s - self._cpu_used_s)
        self._cpu_used_s = usage.cpu_s
        return {
            "cpu": cpu_s / seconds,
            "memory": usage.memory_kib,
            "door": latencies_ms[len(latencies_ms) // 2] if latencies_ms else 0.0,
        }


def _request_counts(telemetry: dict[str, Any]) -> dict[str, float]:
    """Return the request counts in a member's telemetry, summed over all request classes."""
    classes = [counts for counts in (telemetry.get("calls") or {}).values() if isinstance(counts, dict)]
    outcomes = {
        "served": sum(float(counts.get("success", 0)) for counts in classes),
        "refused": sum(float(counts.get("busy", 0)) for counts in classes),
        "failed": sum(float(counts.get("failure", 0)) for counts in classes),
    }
    return outcomes | {name: float(telemetry.get(name, 0)) for name in ("hits", "misses")}
