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

from ...http.discovery import CallFailed, Told, call
from ..experiment import Experiment
from . import configuration
from .control import ROOT, HelperFailed, environment, tail
from .doors import HOST, hold
from .records import Down

READY_WITHIN = 20.0  # seconds
KILLED_WITHIN = 5.0
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


class Process:
    """One process of a router."""

    def __init__(self, file: Path, log_file: Path) -> None:
        with log_file.open("ab") as log_to:
            self._popen = subprocess.Popen(
                [sys.executable, "-O", "-m", "rosepick", "serve"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log_to,
                stderr=log_to,
                env={**environment(), "GW_CONFIG": str(file)},
                start_new_session=True,
            )
        self.pid = self._popen.pid
        self.to_end = False  # it was told to
        self.status: int | None = None  # once it has ended
        self.cpu_s = self.memory_mb = 0.0

    def signal(self, number: int) -> None:
        """Send it a signal, unless it has ended."""
        if self.ended():
            return
        self._look()
        self.to_end = self.to_end or number in (signal.SIGTERM, signal.SIGKILL)
        os.kill(self.pid, number)

    def ended(self) -> bool:
        """Whether it has ended."""
        if self.status is None:
            found, status, usage = os.wait4(self.pid, os.WNOHANG)
            if found:
                self.status = self._popen.returncode = os.waitstatus_to_exitcode(status)
                self.cpu_s = usage.ru_utime + usage.ru_stime
        return self.status is not None

    def _look(self) -> None:
        """Note its memory while it is there."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            pages = int(Path(f"/proc/{self.pid}/statm").read_text("ascii").split()[1])
            self.memory_mb = max(self.memory_mb, pages * PAGE_KB / 1024.0)

    def cpu_so_far(self) -> float:
        """Seconds of CPU that it has used, while it runs."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            words = Path(f"/proc/{self.pid}/stat").read_text("ascii").rpartition(")")[2].split()
            return sum(map(int, words[11:13])) / os.sysconf("SC_CLK_TCK")
        return 0.0


class RealRouter:
    """One router, by one process after another. While one ends, its successor may start and wait for the
    port.
    """

    def __init__(self, experiment: Experiment, place: int, seed: int, folder: Path, discovery: int) -> None:
        self.name, self.place = f"router-{place}", place
        self.log_file = folder / f"{self.name}.log"
        self.processes: list[Process] = []
        self._experiment, self._seed, self._discovery = experiment, seed, discovery
        self._file = folder / f"{self.name}.json"
        self._held = hold()
        self.port = int(self._held.getsockname()[1])
        self._started_by = 0.0  # CPU that its first start took

    def start(self, known: dict[str, Any]) -> None:
        """Start a process, with the list as last held."""
        document = configuration.document(
            self._experiment,
            self.name,
            f"{HOST}:{self.port}",
            f"{HOST}:{self._discovery}",
            known,
            position=self.place,
            seed=self._seed,
        )
        self._file.write_text(json.dumps(document), "utf-8")
        self.processes.append(Process(self._file, self.log_file))

    def wait_ready(self) -> None:
        """Wait until it serves. HelperFailed if it does not."""
        until = time.monotonic() + READY_WITHIN
        while not self.serves():
            if self.processes[-1].ended() or time.monotonic() >= until:
                raise HelperFailed(f"{self.name} does not serve\n{tail(self.log_file)}")
            time.sleep(0.02)
        self._started_by = self.processes[-1].cpu_so_far()

    def serves(self) -> bool:
        """Whether it says that it is ready."""
        with contextlib.suppress(OSError), socket.create_connection((HOST, self.port), 1.0) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n")
            return sock.recv(4096).startswith(b"HTTP/1.1 200")
        return False

    def signal(self, number: int) -> None:
        """Send its processes a signal."""
        for process in self.processes:
            process.signal(number)

    def ended(self, within: float) -> bool:
        """Whether all its processes end within so many seconds."""
        until = time.monotonic() + within
        while not all([process.ended() for process in self.processes]):
            if time.monotonic() >= until:
                return False
            time.sleep(0.005)
        return True

    def kill(self) -> Down:
        """Kill it and wait for its end; times on the monotonic clock, in milliseconds."""
        at = 1000.0 * time.monotonic()
        self.signal(signal.SIGKILL)
        self.ended(KILLED_WITHIN)
        return Down(self.place, at, 1000.0 * time.monotonic())

    def cpu_s(self) -> float:
        """Seconds of CPU of all its processes that have ended, without its first start."""
        return sum(process.cpu_s for process in self.processes) - self._started_by

    def memory_mb(self) -> float:
        """The most that one of its processes held."""
        return max((process.memory_mb for process in self.processes), default=0.0)

    def close(self) -> None:
        """Its port is needed no more."""
        self._held.close()


def list_at(port: int, usual: dict[str, Any]) -> dict[str, Any]:
    """The list as discovery has it at present; the usual one if it does not say."""
    told = Told()
    with contextlib.suppress(OSError, CallFailed), socket.create_connection((HOST, port), 1.0) as sock:
        sock.sendall(call("discovery", None, 0.0))
        while part := sock.recv(65536):
            found = told.feed(part)
            if found is not None:
                listed: dict[str, Any] = found[0].data
                return listed
    return usual
