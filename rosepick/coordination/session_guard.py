"""Kills a process group when the process that watches over it has ended, whatever ended it.

The module is also the program of the guard: a process of its own, which reads from its standard input the
number of the group and, when nothing is left to guard, a line that says so. The end of the input without that
line means that the other side has died.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from typing import BinaryIO

DISMISSAL = b"dismissed"
DISMISSAL_TIMEOUT_S = 2.0


class ProcessGroupGuard:
    """Starts a guard, which outlives this process."""

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", __name__], stdin=subprocess.PIPE, start_new_session=True
        )

    def watch(self, process_group: int) -> None:
        """Let the guard kill a process group once this process has ended."""
        self._write(b"%d\n" % process_group)

    def dismiss(self) -> None:
        """End the guard; the process group has ended."""
        self._write(DISMISSAL + b"\n")
        with contextlib.suppress(OSError, subprocess.TimeoutExpired):
            self._process.communicate(timeout=DISMISSAL_TIMEOUT_S)

    def _write(self, line: bytes) -> None:
        assert self._process.stdin is not None
        with contextlib.suppress(OSError):  # the guard was killed
            self._process.stdin.write(line)
            self._process.stdin.flush()


def guard(lines: BinaryIO) -> None:
    """Kill the process group in the first line, unless the last one is the dismissal."""
    received = [line.strip() for line in lines]
    if received and received[0].isdigit() and received[-1] != DISMISSAL:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(int(received[0]), signal.SIGKILL)


if __name__ == "__main__":
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # only the end of the other side counts
    guard(sys.stdin.buffer)
