"""A member as a process of this machine: started, asked over its operators' door, told to drain, stopped,
and found again by an agent that was started anew.

The process outlives its agent: a router serves on whatever becomes of who looks after it.
"""

from __future__ import annotations

import json
import logging
import os
import signal
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ..fleet.agent import MemberAction, MemberStatus
from ..fleet.failure_detector import HealthReport
from ..fleet.fleet_state import MemberKind
from ..fleet.rollout_state import BUILD, SETTINGS
from ..logs import log_event
from ..net.event_loop import READ, WRITE, EventLoop
from ..net.resource_budget import ResourceBudget
from ..net.tcp_stream import TcpStream, dial
from .agent_state_file import AgentStateFile
from .artifact_store import LocalArtifactStore, fill_command
from .quorum_connection import SocketAddress

logger = logging.getLogger(__name__)
POLL_INTERVAL_MS, ADMIN_TIMEOUT_MS = 150.0, 900.0  # milliseconds
MIN_RESTART_PAUSE_MS, MAX_RESTART_PAUSE_MS = (
    500.0,
    30_000.0,
)  # between two starts of a member that ends by itself, doubled up to
MIN_STABLE_RUN_MS = 10_000.0  # one that ran for so long did not end at its start
STOP_TIMEOUT_MS = 15_000.0  # a member that was told to end and does not
MAX_ANSWER_BYTES = 256 * 1024
REPORTED_FIGURES = ("served", "refused", "failed", "hits", "misses", "cpu", "memory", "door")
MIN_READS_FOR_HIT_RATIO = 30  # reads before their share says anything


class AdminCall:
    """One question on one line to a member's door; `done` hears its answer, or None."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        endpoint: SocketAddress,
        line: str,
        on_answer: Callable[[str | None], None],
    ) -> None:
        self._loop, self._line, self._on_answer, self._received = loop, line, on_answer, bytearray()
        self._is_connecting = True
        self._timer = loop.call_after(ADMIN_TIMEOUT_MS, lambda: self._end(None))
        self._stream: TcpStream | None = None
        try:
            self._stream = TcpStream(loop, budget, dial(endpoint), self._ready, WRITE)
        except OSError:
            self._end(None)

    def _ready(self, mask: int) -> None:
        assert self._stream is not None
        try:
            if self._is_connecting:
                self._stream.finish_connect()
                self._is_connecting = False
                self._stream.send(f"{self._line}\n".encode())
                self._stream.set_events(READ)
            elif mask & READ:
                data = self._stream.read()
                if data:
                    self._received += data
                if data == b"" or self._received.endswith(b"END\n") or len(self._received) > MAX_ANSWER_BYTES:
                    self._end(self._received.decode("utf-8", "replace"))
        except OSError:
            self._end(None)

    def _end(self, text: str | None) -> None:
        self._timer.cancel()
        if self._stream is not None:
            self._stream.close()
        done, self._on_answer = self._on_answer, lambda text: None
        done(text or None)


def process_start_time(pid: int) -> str:
    """When a process began, as the kernel has it; tells it from a later one of the same number. Empty if it
    is gone.
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text("ascii").rsplit(")", 1)[1].split()
    except (OSError, IndexError):
        return ""
    return "" if fields[0] in ("Z", "X") else fields[19]


def process_usage(pid: int) -> tuple[float, float]:
    """Seconds of processor time and KiB of memory that a process has used; zeros if it is gone. By what the
    scheduler has counted in nanoseconds: its ticks of 10 ms are more than a second's requests may take.
    """
    folder = Path(f"/proc/{pid}")
    try:
        tasks = [one.joinpath("schedstat").read_text("ascii") for one in folder.joinpath("task").iterdir()]
        pages = int(folder.joinpath("statm").read_text("ascii").split()[1])
        spent = sum(int(text.split()[0]) for text in tasks)
    except (OSError, IndexError, ValueError):
        return 0.0, 0.0
    return spent / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / 1024.0


class SupervisedProcess:
    """A router, or a cache node, that is a process of this machine with an operators' door."""

    def __init__(
        self,
        loop: EventLoop,
        kind: MemberKind,
        admin_endpoint: SocketAddress,
        command: list[str],
        state_file: AgentStateFile,
        log_path: Path,
        max_loss_share: float,
        artifacts: LocalArtifactStore | None = None,
    ) -> None:
        """`artifacts`: where a release's builds and settings are, if this member takes part in releases."""
        self._loop, self._kind, self._admin_endpoint, self._command, self._state_file = (
            loop,
            kind,
            admin_endpoint,
            command,
            state_file,
        )
        self._log_path, self._max_loss_share = log_path, max_loss_share
        self._budget = ResourceBudget(64)
        self._process: subprocess.Popen[bytes] | None = None
        self._pid, self._process_started = int(state_file.get("pid") or 0), str(state_file.get("began") or "")
        self._started_at = loop.now()
        self._restart_pause_ms, self._next_start_at = MIN_RESTART_PAUSE_MS, 0.0
        self._stop_requested_at: float | None = None
        self._last_poll_at = -POLL_INTERVAL_MS
        self._call_is_open = False
        self._is_ready = False
        self._poll_count = 0
        self._telemetry: dict[str, Any] = {}
        self._telemetry_at = -1e9
        self._last_counts: tuple[float, dict[str, float]] | None = None
        self._rates: dict[str, float] = {}
        self._reads: dict[str, float] = {}
        self._artifacts = artifacts
        self._active_digests: Callable[[], dict[str, str]] = dict
        self._exit_count = 0
        self._admin_latencies_ms: list[float] = []
        self._cpu_used_s = 0.0  # processor time, at the last report
        if self._is_alive():
            log_event(logger, logging.INFO, "member_adopted", pid=self._pid)

    # -- the process

    def _is_alive(self) -> bool:
        if self._process is not None and self._process.poll() is not None:
            log_event(logger, logging.WARNING, "member_exited", status=self._process.returncode)
            if self._loop.now() - self._started_at > MIN_STABLE_RUN_MS:
                self._restart_pause_ms = MIN_RESTART_PAUSE_MS
            self._next_start_at = self._loop.now() + (
                0.0 if self._stop_requested_at is not None else self._restart_pause_ms
            )
            self._exit_count += self._stop_requested_at is None
            self._process, self._pid, self._stop_requested_at = None, 0, None
            self._is_ready = False
        return bool(self._pid) and process_start_time(self._pid) == self._process_started

    def set_active_digests(self, active_digests: Callable[[], dict[str, str]]) -> None:
        """What this member is to run, by kind: digests."""
        self._active_digests = active_digests
        if self._artifacts is not None:
            self._artifacts.active_digests = active_digests
            self._artifacts.reload_member = lambda: self._signal(signal.SIGHUP)

    def apply_action(self, action: MemberAction) -> None:
        """Start it, have it drain or not, stop it; again and again until it is so."""
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
        self._restart_pause_ms = min(MAX_RESTART_PAUSE_MS, 2.0 * self._restart_pause_ms)
        self._next_start_at, self._started_at, self._stop_requested_at = (
            now + self._restart_pause_ms,
            now,
            None,
        )
        self._is_ready = False
        command, environment, build = self._command, dict(os.environ), self._active_digests().get(BUILD, "")
        if self._artifacts is not None:
            self._artifacts.write_config()
            command = fill_command(command, self._artifacts.path_of(build))
            environment |= self._artifacts.environment()
        try:
            with self._log_path.open("ab") as out:
                self._process = subprocess.Popen(
                    command,
                    stdin=subprocess.DEVNULL,
                    stdout=out,
                    stderr=out,
                    start_new_session=True,
                    env=environment,
                )
        except OSError as problem:
            self._exit_count += 1
            log_event(logger, logging.ERROR, "member_start_failed", command=command[0], text=problem)
            return
        self._pid, self._process_started, self._cpu_used_s = (
            self._process.pid,
            process_start_time(self._process.pid),
            0.0,
        )
        self._state_file.put(pid=self._pid, began=self._process_started, ran=build)
        log_event(logger, logging.INFO, "member_started", pid=self._pid)

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

    def _signal(self, number: int) -> None:
        if self._is_alive():
            os.kill(self._pid, number)

    # -- what it says

    def _send_command(self, line: str) -> None:
        if not self._call_is_open and self._is_alive():
            self._call_is_open = True
            AdminCall(
                self._loop,
                self._budget,
                self._admin_endpoint,
                line,
                lambda text: self._handle_answer("", text),
            )

    def _poll(self) -> None:
        now = self._loop.now()
        if now - self._last_poll_at < POLL_INTERVAL_MS or self._call_is_open or not self._is_alive():
            return
        self._last_poll_at, self._call_is_open = now, True
        self._poll_count += 1
        line = "telemetry" if self._poll_count % 2 else "readyz"

        def heard(text: str | None) -> None:
            if text is not None:
                self._admin_latencies_ms.append(self._loop.now() - now)
            self._handle_answer(line, text)

        AdminCall(self._loop, self._budget, self._admin_endpoint, line, heard)

    def _handle_answer(self, line: str, text: str | None) -> None:
        self._call_is_open = False
        if line == "readyz":
            self._is_ready = text is not None and text.startswith("OK")
        elif line == "telemetry":
            try:
                self._telemetry = json.loads((text or "").split("\n", 1)[0])
                self._telemetry_at = self._loop.now()
            except ValueError:
                self._telemetry_at = -1e9

    def read_status(self) -> MemberStatus:
        """How it is."""
        running = self._is_alive()
        self._poll()
        fresh = running and self._loop.now() - self._telemetry_at < 6.0 * POLL_INTERVAL_MS + ADMIN_TIMEOUT_MS
        said = self._telemetry if fresh and self._telemetry_at > self._started_at else {}
        draining = bool(said.get("draining"))
        return MemberStatus(
            running,
            bool(said) and self._is_ready and not draining and self._stop_requested_at is None,
            draining,
            self._stop_requested_at is not None,
            bool(said) and bool(said.get("idle")),
            self._kind is MemberKind.ROUTER or bool(said.get("warm")),
            self._hit_ratio(),
            self._limit_violation(),
            running and self._state_file.get("ran") not in (None, self._active_digests().get(BUILD, "")),
            self._exit_count,
        )

    def _hit_ratio(self) -> float | None:
        """Of the reads since the last report; None if these were too few to say anything."""
        asked = self._reads.get("hits", 0.0) + self._reads.get("misses", 0.0)
        return self._reads["hits"] / asked if asked >= MIN_READS_FOR_HIT_RATIO else None

    def _limit_violation(self) -> str:
        """A figure of the last report that breaks its line."""
        asked = sum(self._rates.get(name, 0.0) for name in ("served", "refused", "failed"))
        lost = self._rates.get("refused", 0.0) + self._rates.get("failed", 0.0)
        if asked > 5.0 and lost > self._max_loss_share * asked:
            return (
                f"{lost / asked:.0%} of its requests are refused or failed, {self._max_loss_share:.0%} may be"
            )
        return ""

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        """What is told of it, figures since the last one."""
        own, now = self.read_status(), self._loop.now()
        counts = _request_counts(self._telemetry)
        self._rates = {}
        if self._last_counts is not None and now > self._last_counts[0]:
            seconds = (now - self._last_counts[0]) / 1000.0
            since = self._last_counts[1]
            news = {name: max(0.0, count - since.get(name, 0.0)) for name, count in counts.items()}
            self._rates = {name: count / seconds for name, count in news.items()}
            self._reads = {name: news[name] for name in ("hits", "misses")}
            self._rates |= self._resource_usage(seconds)
        self._last_counts = now, counts
        runs = self._active_digests()
        ran = self._state_file.get("ran")
        figures = {name: self._rates.get(name, 0.0) for name in REPORTED_FIGURES}
        told = HealthReport(
            run_id,
            sequence,
            own.serving,
            own.warm,
            exit_count=self._exit_count,
            settings=runs.get(SETTINGS, ""),
        )
        build = runs.get(BUILD, "") if ran is None else str(ran)
        return msgspec.structs.replace(told, build=build, **figures)

    def _resource_usage(self, seconds: float) -> dict[str, float]:
        """Processor time and memory of the process, as the kernel has them, and how long its door took."""
        doors, self._admin_latencies_ms = sorted(self._admin_latencies_ms), []
        used, memory = process_usage(self._pid)
        since, self._cpu_used_s = max(0.0, used - self._cpu_used_s), used
        return {
            "cpu": since / seconds,
            "memory": memory,
            "door": doors[len(doors) // 2] if doors else 0.0,
        }


def _request_counts(telemetry: dict[str, Any]) -> dict[str, float]:
    calls = [one for one in (telemetry.get("calls") or {}).values() if isinstance(one, dict)]
    found = {
        "served": sum(float(one.get("success", 0)) for one in calls),
        "refused": sum(float(one.get("busy", 0)) for one in calls),
        "failed": sum(float(one.get("failure", 0)) for one in calls),
    }
    return found | {name: float(telemetry.get(name, 0)) for name in ("hits", "misses")}
