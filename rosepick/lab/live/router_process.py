"""Starts and monitors the router processes of a live run. A router keeps its port while it is down."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from ...http.discovery import DiscoveryError, EndpointListReader
from ..experiment import Experiment
from . import router_config
from .controllable_listener import HOST, reserve_port
from .discovery_server import LAST_LIST_PATH
from .helper_process import ROOT, HelperProcessError, child_environment, last_log_lines
from .process_start import ProcessStart
from .run_records import RouterDowntime

READY_TIMEOUT_S = 20.0
READY_POLL_INTERVAL_S = 0.02
KILL_TIMEOUT_S = 5.0
END_POLL_INTERVAL_S = 0.005
CONNECT_TIMEOUT_S = 1.0
UTIME_FIELD = 11  # index in /proc/PID/stat, counted after the command name
STIME_FIELD = 12  # index in /proc/PID/stat, counted after the command name
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


class RouterProcess:
    """A process of a router."""

    def __init__(self, config_file: Path, log_file: Path, process_start: ProcessStart) -> None:
        with log_file.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-O", "-m", process_start.module, "serve", *process_start.arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**child_environment(), **process_start.environment, "GW_CONFIG": str(config_file)},
                start_new_session=True,
            )
        self.pid = self._popen.pid
        self.stop_requested = False  # whether SIGTERM or SIGKILL was sent
        self.status: int | None = None  # exit status; None while the process runs
        self.cpu_s = 0.0  # CPU time; 0 while the process runs
        self.memory_mb = 0.0  # largest sample of resident memory

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.has_ended():
            return
        self._sample_memory()
        self.stop_requested = self.stop_requested or number in (signal.SIGTERM, signal.SIGKILL)
        os.kill(self.pid, number)

    def has_ended(self) -> bool:
        """Return whether the process has ended; if so, record its status and CPU time."""
        if self.status is None:
            pid, status, usage = os.wait4(self.pid, os.WNOHANG)
            if pid:
                self.status = os.waitstatus_to_exitcode(status)
                self._popen.returncode = self.status
                self.cpu_s = usage.ru_utime + usage.ru_stime
        return self.status is not None

    def _sample_memory(self) -> None:
        """Sample the resident memory of the running process."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            pages = int(Path(f"/proc/{self.pid}/statm").read_text("ascii").split()[1])
            self.memory_mb = max(self.memory_mb, pages * PAGE_KB / 1024.0)

    def cpu_so_far_s(self) -> float:
        """Return the CPU time of the running process in seconds; 0 if it cannot be read."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            fields = Path(f"/proc/{self.pid}/stat").read_text("ascii").rpartition(")")[2].split()
            return sum(map(int, fields[UTIME_FIELD : STIME_FIELD + 1])) / os.sysconf("SC_CLK_TCK")
        return 0.0


class LiveRouter:
    """A router, which runs as a sequence of processes.

    While a process ends, its successor may already start and wait for the port.
    """

    def __init__(
        self, experiment: Experiment, index: int, seed: int, folder: Path, discovery_port: int
    ) -> None:
        self.name = f"router-{index}"
        self.index = index
        self.log_file = folder / f"{self.name}.log"
        self.processes: list[RouterProcess] = []
        self._experiment = experiment
        self._seed = seed
        self._discovery_port = discovery_port
        self._config_file = folder / f"{self.name}.json"
        self._port_reservation = reserve_port()
        self.port = int(self._port_reservation.getsockname()[1])
        self._start_cpu_s = 0.0  # CPU time that the process had used when `wait_ready` returned
        self.process_start = ProcessStart()

    def start(self, known_endpoints: dict[str, Any]) -> None:
        """Start a process that is configured with a cached endpoint list."""
        router = router_config.RouterInstance(
            self.name,
            f"{HOST}:{self.port}",
            f"{HOST}:{self._discovery_port}",
            known_endpoints,
            position=self.index,
            seed=self._seed,
        )
        document = router_config.router_config_document(self._experiment, router)
        self._config_file.write_text(json.dumps(document), "utf-8")
        self.processes.append(RouterProcess(self._config_file, self.log_file, self.process_start))

    def wait_ready(self) -> None:
        """Wait until the router serves.

        Raises:
            HelperProcessError: the router process ended, or does not serve within `READY_TIMEOUT_S`.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self.is_serving():
            if self.processes[-1].has_ended() or time.monotonic() >= deadline:
                raise HelperProcessError(f"{self.name} does not serve\n{last_log_lines(self.log_file)}")
            time.sleep(READY_POLL_INTERVAL_S)
        self._start_cpu_s = self.processes[-1].cpu_so_far_s()

    def is_serving(self, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
        """Return whether the router reports that it is ready; `timeout_s` limits each socket operation."""
        return is_router_serving(self.port, timeout_s)

    def signal(self, number: int) -> None:
        """Send a signal to all running processes of the router."""
        for process in self.processes:
            process.signal(number)

    def wait_ended(self, timeout_s: float) -> bool:
        """Wait for the end of all processes; return whether they ended within `timeout_s` seconds."""
        deadline = time.monotonic() + timeout_s
        while not all([process.has_ended() for process in self.processes]):
            if time.monotonic() >= deadline:
                return False
            time.sleep(END_POLL_INTERVAL_S)
        return True

    def kill(self) -> RouterDowntime:
        """Kill the router and wait for its end; the times returned are monotonic, in milliseconds."""
        killed_at = 1000.0 * time.monotonic()
        self.signal(signal.SIGKILL)
        self.wait_ended(KILL_TIMEOUT_S)
        return RouterDowntime(self.index, killed_at, 1000.0 * time.monotonic())

    def cpu_s(self) -> float:
        """Return the CPU seconds of all ended processes, without the CPU time of the start."""
        return sum(process.cpu_s for process in self.processes) - self._start_cpu_s

    def memory_mb(self) -> float:
        """Return the largest memory sample of all processes."""
        return max((process.memory_mb for process in self.processes), default=0.0)

    def close(self) -> None:
        """Release the port."""
        self._port_reservation.close()


def is_router_serving(port: int, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
    """Return whether the router at a port reports to be ready; `timeout_s` limits each socket operation."""
    with (
        contextlib.suppress(OSError),
        socket.create_connection((HOST, port), timeout_s) as sock,
    ):
        sock.sendall(b"GET /ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n")
        return sock.recv(4096).startswith(b"HTTP/1.1 200")
    return False


def fetch_endpoint_document(port: int, fallback: dict[str, Any], router: int) -> dict[str, Any]:
    """Return the last endpoint list of a router, or `fallback` if discovery does not return it."""
    reader = EndpointListReader()
    request = f"GET {LAST_LIST_PATH}?{router} HTTP/1.1\r\nHost: discovery\r\n\r\n"
    with (
        contextlib.suppress(OSError, DiscoveryError),
        socket.create_connection((HOST, port), CONNECT_TIMEOUT_S) as sock,
    ):
        sock.sendall(request.encode())
        while part := sock.recv(65536):
            reply = reader.feed(part)
            if reply is not None:
                document: dict[str, Any] = reply[0].data
                return document
    return fallback
