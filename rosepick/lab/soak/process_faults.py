"""Faults inside a router process: a wall clock that steps, and system calls that fail or do less than asked.

`python -m rosepick.lab.soak.process_faults ARGS` is `python -m rosepick ARGS` under the faults of the
environment variable `FAULTS_VARIABLE`. All of them are documented ways in which Linux answers.
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
# accept(2) and connect(2): for a moment, and of one connection or of this machine
ACCEPT_ERRNOS = (errno.ECONNABORTED, errno.EPROTO, errno.EHOSTUNREACH, errno.EMFILE, errno.ENFILE)
OUT_OF_RESOURCES_ERRNOS = (errno.EMFILE, errno.ENFILE)  # the connection stays in the queue
CONNECT_ERRNOS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
BROKEN_ERRNOS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)  # how a broken connection shows


@dataclass(frozen=True, slots=True)
class ProcessFaults:
    """What goes wrong in one process; shares are of calls, times seconds since its start."""

    seed: int = 0
    wall_offset_s: float = 0.0  # of its wall clock at the start ...
    wall_step_at_s: float = 0.0  # ... and from here on, by ...
    wall_step_s: float = 0.0  # ... this more
    failing_share: float = 0.0  # of accepts and connects that fail
    breaking_share: float = 0.0  # of reads of an upstream's connection, which breaks
    short_share: float = 0.0  # of reads and writes that do less than asked, or nothing
    burst_at_s: float = 0.0  # all accepts and connects fail from here ...
    burst_s: float = 0.0  # ... for so long

    def environment(self) -> dict[str, str]:
        """Return the environment by which a process has these faults."""
        return {FAULTS_VARIABLE: json.dumps(asdict(self))}


class FaultInjector:
    """Draws the faults of this process."""

    def __init__(self, faults: ProcessFaults) -> None:
        self.faults = faults
        self._random = random.Random(faults.seed)
        self._started_at = time.monotonic()
        self._true_time = time.time

    def elapsed_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def wall_time(self) -> float:
        """Return what the wall clock shows, as Unix time in seconds."""
        faults = self.faults
        step_s = faults.wall_step_s if self.elapsed_s() >= faults.wall_step_at_s else 0.0
        return self._true_time() + faults.wall_offset_s + step_s

    def fail_call(self, errnos: tuple[int, ...]) -> None:
        """Fail an accept or a connect, now and then.

        Raises:
            OSError: the call fails.
        """
        faults = self.faults
        is_in_burst = 0.0 <= self.elapsed_s() - faults.burst_at_s < faults.burst_s
        if is_in_burst or self._random.random() < faults.failing_share:
            number = self._random.choice(errnos)
            raise OSError(number, os.strerror(number))

    def break_connection(self) -> None:
        """Break an upstream's connection, now and then.

        Raises:
            OSError: the connection is broken.
        """
        if self._random.random() < self.faults.breaking_share:
            number = self._random.choice(BROKEN_ERRNOS)
            raise OSError(number, os.strerror(number))

    def shorten(self, size: int) -> int:
        """Return how many of `size` bytes a call moves; 0 for a call that would block."""
        if self._random.random() >= self.faults.short_share:
            return size
        return self._random.randrange(min(size, 64))


injector = FaultInjector(ProcessFaults())


class FaultySocket(socket.socket):
    """A socket whose calls fail now and then."""

    _is_outbound = False
    _is_broken = False
    _behind_aborted: tuple[socket.socket, Any] | None = None

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection, now and then behind one that was aborted in the queue."""
        if self._behind_aborted is not None:
            accepted, self._behind_aborted = self._behind_aborted, None
            return accepted
        try:
            injector.fail_call(ACCEPT_ERRNOS)
        except OSError as error:
            if error.errno not in OUT_OF_RESOURCES_ERRNOS:
                self._behind_aborted = super().accept()  # an empty queue has none that was aborted
            raise
        return super().accept()

    def connect(self, address: Any) -> None:
        """Connect."""
        self._is_outbound = True
        injector.fail_call(CONNECT_ERRNOS)
        super().connect(address)

    def recv(self, bufsize: int, flags: int = 0, /) -> bytes:
        """Receive; a connection that broke stays broken."""
        if flags & socket.MSG_PEEK:
            return super().recv(bufsize, flags)
        if self._is_outbound:
            self._check_broken()
        size = injector.shorten(bufsize)
        if not size:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return super().recv(size, flags)

    def send(self, data: Any, flags: int = 0, /) -> int:
        """Send a part."""
        view = memoryview(data)
        size = injector.shorten(len(view))
        if not size and len(view):
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return super().send(view[:size], flags)

    def sendmsg(self, buffers: Iterable[Any], *_args: Any) -> int:
        """Send a part of several buffers."""
        data = b"".join(bytes(one) for one in buffers)
        return self.send(data) if data else 0

    def _check_broken(self) -> None:
        if self._is_broken:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        try:
            injector.break_connection()
        except OSError:
            self._is_broken = True
            raise


class InterruptedSelector(selectors.EpollSelector):
    """A selector whose waits end early now and then, as by a signal."""

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait; return nothing for a wait that was interrupted."""
        if timeout and not injector.shorten(1):
            return []
        return super().select(timeout)


def install(faults: ProcessFaults) -> None:
    """Have this process run under faults from now on."""
    global injector
    injector = FaultInjector(faults)
    time.time = injector.wall_time
    socket.socket = FaultySocket  # type: ignore[misc]
    selectors.DefaultSelector = InterruptedSelector  # type: ignore[misc, assignment]


def main() -> None:
    """Run the command line of the program under the faults of the environment."""
    install(ProcessFaults(**json.loads(os.environ[FAULTS_VARIABLE])))
    sys.argv[0] = PROGRAM
    runpy.run_module(PROGRAM, run_name="__main__")


if __name__ == "__main__":
    main()
