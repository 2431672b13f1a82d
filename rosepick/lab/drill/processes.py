"""Manages real processes of a fault-injection test, their logs and clocks, and the storages of replicas."""

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
    """Return a loopback address that no other running test on this machine uses, by the id of this process.

    All its ports are free, even those in the range from which the system chooses ports of connections.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{pid & 255}"


def starter_command(
    rate: float, module: str, arguments: list[str], recorded_name: str | bool
) -> tuple[list[str], dict[str, str]]:
    """Return the command line and the environment of a process under `starter`.

    Args:
        rate: the rate of its clock; 1.0 is the right one.
        module: the module that is run.
        arguments: the arguments of the module.
        recorded_name: the name under which its operations are recorded; empty or False if they are not.
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
    """Runs a process that can be restarted any number of times and appends to one log.

    `exit_statuses` has an entry for each start that has ended. `stopped` means that the process is paused. If
    `records_operations` is set, the starter records the operations of the process.
    """

    def __init__(self, name: str, folder: Path, rate: float, module: str, arguments: list[str]) -> None:
        self.name = name
        self.folder = folder
        self.rate = rate
        self.module = module
        self.arguments = arguments
        self.exit_statuses: list[int] = []
        self.stopped = False
        self.extra_environment: dict[str, str] = {}
        self.records_operations = False
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log_path(self) -> Path:
        """The path of the log."""
        return self.folder / f"{self.name}.log"

    @property
    def pid(self) -> int:
        """The id of the running process."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process runs; once it has ended, its exit status is recorded."""
        if self._process is None:
            return False
        if self._process.poll() is not None:
            self.exit_statuses.append(self._process.returncode)
            self._process = None
            return False
        return True

    def start(self) -> None:
        """Start the process, unless it runs."""
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
        """Send SIGKILL and wait until the process has ended."""
        if self.running:
            assert self._process is not None
            self._process.kill()
            self._process.wait()
            self.running  # noqa: B018 -- reading it records the exit status

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.running:
            assert self._process is not None
            self._process.send_signal(number)

    def pause(self) -> None:
        """Pause the process by SIGSTOP."""
        self.signal(signal.SIGSTOP)
        self.stopped = True

    def resume(self) -> None:
        """Resume the process by SIGCONT."""
        self.signal(signal.SIGCONT)
        self.stopped = False

    def simulate_full_disk(self) -> None:
        """Limit files to one byte (RLIMIT_FSIZE), so that writes of the process fail as on a full disk."""
        if self.running:
            assert self._process is not None
            hard_limit = resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE)[1]
            resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE, (1, hard_limit))


STORAGE_FILES = ("witness.sqlite3", "witness.sqlite3-wal", "witness.sqlite3-shm")


def copy_storage(folder: Path, to: Path) -> None:
    """Copy the storage of a replica, which must not run, to the folder `to`."""
    shutil.rmtree(to, ignore_errors=True)
    to.mkdir()
    for name in STORAGE_FILES:
        if (folder / name).exists():
            shutil.copyfile(folder / name, to / name)


def restore_storage(backup: Path, folder: Path, in_place: bool) -> None:
    """Restore the storage of a replica from an older copy.

    With `in_place` the database is written into the existing file, so that its inode stays the same.
    """
    for name in STORAGE_FILES:
        if not in_place or name != STORAGE_FILES[0]:
            (folder / name).unlink(missing_ok=True)
    for name in STORAGE_FILES[:2]:
        if (backup / name).exists():
            if in_place or name != STORAGE_FILES[0]:
                shutil.copyfile(backup / name, folder / name)
            else:  # copied under another name and renamed, so that the inode differs
                shutil.copyfile(backup / name, folder / "copy")
                (folder / "copy").rename(folder / name)


def empty_storage(folder: Path) -> None:
    """Remove the storage of a replica."""
    shutil.rmtree(folder, ignore_errors=True)
