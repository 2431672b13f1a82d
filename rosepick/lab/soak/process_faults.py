"""Faults inside a router process: steps of the wall clock, failing system calls, short reads and writes.

`python -m rosepick.lab.soak.process_faults ARGS` runs `python -m rosepick ARGS` with the faults of the
environment variable `FAULTS_VARIABLE`. All of them are documented results of system calls on Linux.
"""

from __future__ import annotations

import errno
import json
import os
import random
import runpy
import selectors
import socket
import sys
import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

PROGRAM = "rosepick"
FAULTS_VARIABLE = "ROSEPICK_PROCESS_FAULTS"
# Transient errors of accept(2), of a single pending connection or of the machine.
ACCEPT_ERRNOS = (errno.ECONNABORTED, errno.EPROTO, errno.EHOSTUNREACH, errno.EMFILE, errno.ENFILE)
OUT_OF_RESOURCES_ERRNOS = (errno.EMFILE, errno.ENFILE)  # the connection stays in the accept queue
# Transient errors of connect(2), which are local to the machine.
CONNECT_ERRNOS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
# Errors of a read from a broken connection.
BROKEN_ERRNOS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)


@dataclass(frozen=True, slots=True)
class ProcessFaults:
    """Faults of one process. Shares are of the calls; times are in seconds since the start."""

    seed: int = 0
    wall_offset_s: float = 0.0  # error of the wall clock from the start on
    wall_step_at_s: float = 0.0  # when the wall clock steps
    wall_step_s: float = 0.0  # size of the step, added to the offset
    failing_share: float = 0.0  # accepts and connects that fail
    breaking_share: float = 0.0  # reads at which the connection to an upstream breaks
    short_share: float = 0.0  # reads and writes that transfer fewer bytes than requested, or none
    burst_at_s: float = 0.0  # when a period begins in which all accepts and connects fail
    burst_s: float = 0.0  # length of that period

    def environment(self) -> dict[str, str]:
        """Return the environment variable that gives a process these faults."""
        return {FAULTS_VARIABLE: json.dumps(asdict(self))}


class FaultInjector:
    """Decides for each system call of this process whether it has a fault."""

    def __init__(self, faults: ProcessFaults) -> None:
        self.faults = faults
        self._random = random.Random(faults.seed)
        self._started_at = time.monotonic()
        self._real_time = time.time

    def elapsed_s(self) -> float:
        """Return the seconds since the start of the process."""
        return time.monotonic() - self._started_at

    def wall_time(self) -> float:
        """Return the faulty time of the wall clock, as Unix time in seconds."""
        faults = self.faults
        step_s = faults.wall_step_s if self.elapsed_s() >= faults.wall_step_at_s else 0.0
        return self._real_time() + faults.wall_offset_s + step_s

    def maybe_fail_call(self, errnos: tuple[int, ...]) -> None:
        """Fail an accept or a connect at random, or always during the burst.

        Raises:
            OSError: The call fails, with one of `errnos`.
        """
        faults = self.faults
        is_in_burst = 0.0 <= self.elapsed_s() - faults.burst_at_s < faults.burst_s
        if is_in_burst or self._random.random() < faults.failing_share:
            errno_value = self._random.choice(errnos)
            raise OSError(errno_value, os.strerror(errno_value))

    def maybe_break_connection(self) -> None:
        """Break a connection to an upstream at random.

        Raises:
            OSError: The connection is broken, with one of `BROKEN_ERRNOS`.
        """
        if self._random.random() < self.faults.breaking_share:
            errno_value = self._random.choice(BROKEN_ERRNOS)
            raise OSError(errno_value, os.strerror(errno_value))

    def limit_transfer(self, size: int) -> int:
        """Return how many of `size` bytes a call transfers; 0 for a call that would block."""
        if self._random.random() >= self.faults.short_share:
            return size
        return self._random.randrange(min(size, 64))


injector = FaultInjector(ProcessFaults())


class FaultySocket(socket.socket):
    """A socket whose calls fail or transfer fewer bytes at random."""

    _is_outbound = False
    _is_broken = False
    _accepted_after_abort: tuple[socket.socket, Any] | None = None

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection, at random only after an error for one that was aborted in the queue."""
        if self._accepted_after_abort is not None:
            accepted, self._accepted_after_abort = self._accepted_after_abort, None
            return accepted
        try:
            injector.maybe_fail_call(ACCEPT_ERRNOS)
        except OSError as error:
            if error.errno not in OUT_OF_RESOURCES_ERRNOS:
                self._accepted_after_abort = super().accept()  # raises if the queue is empty
            raise
        return super().accept()

    def connect(self, address: Any) -> None:
        """Connect, or fail at random."""
        self._is_outbound = True
        injector.maybe_fail_call(CONNECT_ERRNOS)
        super().connect(address)

    def recv(self, bufsize: int, flags: int = 0, /) -> bytes:
        """Receive, possibly fewer bytes than requested; a broken connection stays broken."""
        if flags & socket.MSG_PEEK:
            return super().recv(bufsize, flags)
        if self._is_outbound:
            self._check_broken()
        size = injector.limit_transfer(bufsize)
        if not size:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return super().recv(size, flags)

    def send(self, data: Any, flags: int = 0, /) -> int:
        """Send, possibly only a part of the data."""
        view = memoryview(data)
        size = injector.limit_transfer(len(view))
        if not size and len(view):
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return super().send(view[:size], flags)

    def sendmsg(self, buffers: Iterable[Any], *_args: Any) -> int:
        """Send several buffers, possibly only a part of them."""
        data = b"".join(bytes(buffer) for buffer in buffers)
        return self.send(data) if data else 0

    def _check_broken(self) -> None:
        if self._is_broken:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        try:
            injector.maybe_break_connection()
        except OSError:
            self._is_broken = True
            raise


class InterruptedSelector(selectors.EpollSelector):
    """A selector whose waits end early at random, as if interrupted by a signal."""

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; return none if the wait is interrupted."""
        if timeout and not injector.limit_transfer(1):
            return []
        return super().select(timeout)


def install(faults: ProcessFaults) -> None:
    """Inject the faults into this process from now on."""
    global injector
    injector = FaultInjector(faults)
    time.time = injector.wall_time
    socket.socket = FaultySocket  # type: ignore[misc]
    selectors.DefaultSelector = InterruptedSelector  # type: ignore[misc, assignment]


def main() -> None:
    """Run the command line of the program with the faults of the environment variable."""
    install(ProcessFaults(**json.loads(os.environ[FAULTS_VARIABLE])))
    sys.argv[0] = PROGRAM
    runpy.run_module(PROGRAM, run_name="__main__")


if __name__ == "__main__":
    main()
