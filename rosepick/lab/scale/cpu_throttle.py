"""Limits the CPU time of processes with SIGSTOP and SIGCONT, which needs no special rights."""

from __future__ import annotations

import contextlib
import os
import signal
import threading
import time
from collections.abc import Callable, Iterable

PERIOD_S = 0.1  # a stop is shorter than this, so it stays below the 0.15 s that a router may be paused


class CpuThrottle:
    """Lets processes run for only a share of each period, from a thread.

    Args:
        share: The share of the time, greater than 0 and at most 1; with 1 nothing is stopped.
        pids: Returns the ids of the processes that run at the moment.
    """

    def __init__(self, share: float, pids: Callable[[], Iterable[int]]) -> None:
        self._share = share
        self._pids = pids
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.longest_stop_s = 0.0

    def start(self) -> None:
        """Start the thread, unless the share is 1."""
        if self._share < 1.0:
            self._thread.start()

    def close(self) -> None:
        """End the thread; all processes run again."""
        self._ended.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._ended.is_set():
            stopped_at = time.monotonic()
            stopped = self._signal(self._pids(), signal.SIGSTOP)
            time.sleep(PERIOD_S * (1.0 - self._share))
            self._signal(stopped, signal.SIGCONT)
            self.longest_stop_s = max(self.longest_stop_s, time.monotonic() - stopped_at)
            self._ended.wait(PERIOD_S * self._share)

    @staticmethod
    def _signal(pids: Iterable[int], signal_number: int) -> list[int]:
        """Send a signal to processes; return the ids of those that exist."""
        signalled = []
        for pid in pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal_number)
                signalled.append(pid)
        return signalled
