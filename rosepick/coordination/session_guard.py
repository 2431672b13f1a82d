"""Kills the session of a command when the process that watches over it has ended, whatever ended it.

The module is also the program of the guard: a process of its own, which reads from its standard input the
id of the session and, when nothing is left to guard, a line that says so. The end of the input without that
line means that the other side has died.
"""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
from typing import BinaryIO

from .command_session import CommandSession

DISMISSAL = b"dismissed"
DISMISSAL_TIMEOUT_S = 2.0
KILL_TIMEOUT_S = 30.0


class SessionGuard:
    """Starts a guard, which outlives this process."""

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", __name__], stdin=subprocess.PIPE, start_new_session=True
        )

    def watch(self, leader_pid: int) -> None:
        """Let the guard kill the session of a command once this process has ended."""
        self._write(b"%d\n" % leader_pid)

    def dismiss(self) -> None:
        """End the guard; the session has ended."""
        self._write(DISMISSAL + b"\n")
        with contextlib.suppress(OSError, subprocess.TimeoutExpired):
            self._process.communicate(timeout=DISMISSAL_TIMEOUT_S)

    def _write(self, line: bytes) -> None:
        assert self._process.stdin is not None
        with contextlib.suppress(OSError):  # the guard was killed
            self._process.stdin.write(line)
            self._process.stdin.flush()


def guard(lines: BinaryIO) -> None:
    """Kill the session in the first line, unless the last line is the dismissal."""
    first = lines.readline().strip()
    if not first.isdigit():
        return
    session = CommandSession(int(first))
    last = [line.strip() for line in lines][-1:]
    if last != [DISMISSAL]:
        session.kill(KILL_TIMEOUT_S)


if __name__ == "__main__":
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # only the end of the other side counts
    guard(sys.stdin.buffer)
