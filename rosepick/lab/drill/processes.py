"""Real processes of a drill: started, stopped, killed and started again, each with its log and its clock."""

from __future__ import annotations

import os
import resource
import shutil
import signal
import subprocess
import sys
from pathlib import Path

FIRST_PORT = 7_000
ROOT = Path(__file__).parents[3]


def unique_loopback_address() -> str:
    """An address of the loopback net that no other drill of this machine uses at this time: its ports are
    all free, also from the system's own choice for connections.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{pid & 255}"


def starter_command(
    rate: float, module: str, arguments: list[str], recorded_name: str | bool
) -> tuple[list[str], dict[str, str]]:
    """The command line and the environment of a process under the starter; `recorded_name`: the name for its
    operations.
    """
    command = [sys.executable, "-m", "rosepick.lab.drill.starter", f"{rate:.6f}", module, *arguments]
    environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1", "USER": "drill"}
    if recorded_name:
        environment |= {
            "DRILL_EVENTS": f"{recorded_name}.operations.events",
            "DRILL_NAME": str(recorded_name),
        }
    return command, environment


class ManagedProcess:
    """One process, in all its starts."""

    def __init__(self, name: str, folder: Path, rate: float, module: str, arguments: list[str]) -> None:
        self.name, self.folder, self.rate = name, folder, rate
        self.module, self.arguments = module, arguments
        self.exit_statuses: list[int] = []  # of starts that have ended
        self.stopped = False
        self.extra_environment: dict[str, str] = {}  # of its environment
        self.records_operations = False  # its operations are to be noted by the starter
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log_path(self) -> Path:
        """Where its log is."""
        return self.folder / f"{self.name}.log"

    @property
    def pid(self) -> int:
        """Of the start that runs."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it runs; one that has ended by itself is noted."""
        if self._process is None:
            return False
        if self._process.poll() is not None:
            self.exit_statuses.append(self._process.returncode)
            self._process = None
            return False
        return True

    def start(self) -> None:
        """Start it, unless it runs."""
        if self.running:
            return
        command, environment = starter_command(
            self.rate, self.module, self.arguments, self.records_operations and self.name
        )
        environment |= self.extra_environment
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment, cwd=self.folder, stdin=subprocess.DEVNULL
            )
        self.stopped = False

    def kill(self) -> None:
        """SIGKILL, and wait until it is gone."""
        if self.running:
            assert self._process is not None
            self._process.kill()
            self._process.wait()
            self.running  # noqa: B018

    def signal(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self.running:
            assert self._process is not None
            self._process.send_signal(number)

    def pause(self) -> None:
        """Stop it where it is."""
        self.signal(signal.SIGSTOP)
        self.stopped = True

    def resume(self) -> None:
        """Let it go on."""
        self.signal(signal.SIGCONT)
        self.stopped = False

    def simulate_full_disk(self) -> None:
        """No file of it may grow from now on, as on a disk that is full."""
        if self.running:
            assert self._process is not None
            hard = resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE)[1]
            resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE, (1, hard))


STORAGE_FILES = ("witness.sqlite3", "witness.sqlite3-wal", "witness.sqlite3-shm")


def copy_storage(folder: Path, to: Path) -> None:
    """A copy of what a witness keeps; it is not running."""
    shutil.rmtree(to, ignore_errors=True)
    to.mkdir()
    for name in STORAGE_FILES:
        if (folder / name).exists():
            shutil.copyfile(folder / name, to / name)


def restore_storage(old: Path, folder: Path, in_place: bool) -> None:
    """Have an older copy be what a witness keeps. `in_place`: into the same file, so that its inode tells
    nothing.
    """
    for name in STORAGE_FILES:
        if not in_place or name != STORAGE_FILES[0]:
            (folder / name).unlink(missing_ok=True)
    for name in STORAGE_FILES[:2]:
        if (old / name).exists():
            if in_place or name != STORAGE_FILES[0]:
                shutil.copyfile(old / name, folder / name)
            else:  # by way of another name, so that it is another file
                shutil.copyfile(old / name, folder / "copy")
                (folder / "copy").rename(folder / name)


def empty_storage(folder: Path) -> None:
    """Nothing is left of what a witness kept."""
    shutil.rmtree(folder, ignore_errors=True)
