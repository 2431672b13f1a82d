"""The routers of a run: real ones in processes of their own, with their ports held while they are down."""

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

from ...http.discovery import DiscoveryError, EndpointListReader, encode_list_request
from ..experiment import Experiment
from . import router_config
from .controllable_listener import HOST, reserve_port
from .helper_process import ROOT, HelperProcessError, child_environment, last_log_lines
from .run_records import RouterDowntime

READY_TIMEOUT_S = 20.0  # seconds
KILL_TIMEOUT_S = 5.0
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


class RouterProcess:
    """One process of a router."""

    def __init__(self, file: Path, log_file: Path) -> None:
        with log_file.open("ab") as log_to:
            self._popen = subprocess.Popen(
                [sys.executable, "-O", "-m", "rosepick", "serve"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log_to,
                stderr=log_to,
                env={**child_environment(), "GW_CONFIG": str(file)},
                start_new_session=True,
            )
        self.pid = self._popen.pid
        self.stop_requested = False  # it was told to
        self.status: int | None = None  # once it has ended
        self.cpu_s = self.memory_mb = 0.0

    def signal(self, number: int) -> None:
        """Send it a signal, unless it has ended."""
        if self.has_ended():
            return
        self._sample_memory()
        self.stop_requested = self.stop_requested or number in (signal.SIGTERM, signal.SIGKILL)
        os.kill(self.pid, number)

    def has_ended(self) -> bool:
        """Whether it has ended."""
        if self.status is None:
            found, status, usage = os.wait4(self.pid, os.WNOHANG)
            if found:
                self.status = self._popen.returncode = os.waitstatus_to_exitcode(status)
                self.cpu_s = usage.ru_utime + usage.ru_stime
        return self.status is not None

    def _sample_memory(self) -> None:
        """Note its memory while it is there."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            pages = int(Path(f"/proc/{self.pid}/statm").read_text("ascii").split()[1])
            self.memory_mb = max(self.memory_mb, pages * PAGE_KB / 1024.0)

    def cpu_so_far_s(self) -> float:
        """Seconds of CPU that it has used, while it runs."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            words = Path(f"/proc/{self.pid}/stat").read_text("ascii").rpartition(")")[2].split()
            return sum(map(int, words[11:13])) / os.sysconf("SC_CLK_TCK")
        return 0.0


class LiveRouter:
    """One router, by one process after another. While one ends, its successor may start and wait for the
    port.
    """

    def __init__(
        self, experiment: Experiment, index: int, seed: int, folder: Path, discovery_port: int
    ) -> None:
        self.name, self.index = f"router-{index}", index
        self.log_file = folder / f"{self.name}.log"
        self.processes: list[RouterProcess] = []
        self._experiment, self._seed, self._discovery = experiment, seed, discovery_port
        self._config_file = folder / f"{self.name}.json"
        self._port_reservation = reserve_port()
        self.port = int(self._port_reservation.getsockname()[1])
        self._start_cpu_s = 0.0  # CPU that its first start took

    def start(self, known_endpoints: dict[str, Any]) -> None:
        """Start a process, with the list as last held."""
        document = router_config.router_config_document(
            self._experiment,
            self.name,
            f"{HOST}:{self.port}",
            f"{HOST}:{self._discovery}",
            known_endpoints,
            position=self.index,
            seed=self._seed,
        )
        self._config_file.write_text(json.dumps(document), "utf-8")
        self.processes.append(RouterProcess(self._config_file, self.log_file))

    def wait_ready(self) -> None:
        """Wait until it serves. HelperFailed if it does not."""
        until = time.monotonic() + READY_TIMEOUT_S
        while not self.is_serving():
            if self.processes[-1].has_ended() or time.monotonic() >= until:
                raise HelperProcessError(f"{self.name} does not serve\n{last_log_lines(self.log_file)}")
            time.sleep(0.02)
        self._start_cpu_s = self.processes[-1].cpu_so_far_s()

    def is_serving(self) -> bool:
        """Whether it says that it is ready."""
        with contextlib.suppress(OSError), socket.create_connection((HOST, self.port), 1.0) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n")
            return sock.recv(4096).startswith(b"HTTP/1.1 200")
        return False

    def signal(self, number: int) -> None:
        """Send its processes a signal."""
        for process in self.processes:
            process.signal(number)

    def wait_ended(self, timeout_s: float) -> bool:
        """Whether all its processes end within so many seconds."""
        until = time.monotonic() + timeout_s
        while not all([process.has_ended() for process in self.processes]):
            if time.monotonic() >= until:
                return False
            time.sleep(0.005)
        return True

    def kill(self) -> RouterDowntime:
        """Kill it and wait for its end; times on the monotonic clock, in milliseconds."""
        at = 1000.0 * time.monotonic()
        self.signal(signal.SIGKILL)
        self.wait_ended(KILL_TIMEOUT_S)
        return RouterDowntime(self.index, at, 1000.0 * time.monotonic())

    def cpu_s(self) -> float:
        """Seconds of CPU of all its processes that have ended, without its first start."""
        return sum(process.cpu_s for process in self.processes) - self._start_cpu_s

    def memory_mb(self) -> float:
        """The most that one of its processes held."""
        return max((process.memory_mb for process in self.processes), default=0.0)

    def close(self) -> None:
        """Its port is needed no more."""
        self._port_reservation.close()


def fetch_endpoint_document(port: int, fallback: dict[str, Any]) -> dict[str, Any]:
    """The list as discovery has it at present; the usual one if it does not say."""
    told = EndpointListReader()
    with contextlib.suppress(OSError, DiscoveryError), socket.create_connection((HOST, port), 1.0) as sock:
        sock.sendall(encode_list_request("discovery", None, 0.0))
        while part := sock.recv(65536):
            found = told.feed(part)
            if found is not None:
                listed: dict[str, Any] = found[0].data
                return listed
    return fallback
