"""Holds processes to a part of the time, by stopping and continuing them; needs no special rights."""

from __future__ import annotations

import contextlib
import os
import signal
import threading
import time
from collections.abc import Callable, Iterable

PERIOD_S = 0.1  # the longest stop is shorter than the 0.15 s for which a router may be held up


class ProcessorSlices:
    """A thread that lets processes run for a share of each period.

    Args:
        share: the part of the time, over 0 to 1; with 1 nothing is stopped.
        pids: returns the processes that run at the moment.
    """

    def __init__(self, share: float, pids: Callable[[], Iterable[int]]) -> None:
        self._share = share
        self._pids = pids
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.longest_stop_s = 0.0

    def start(self) -> None:
        """Begin, unless the share is 1."""
        if self._share < 1.0:
            self._thread.start()

    def close(self) -> None:
        """End, and let all processes run."""
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
    def _signal(pids: Iterable[int], number: int) -> list[int]:
        """Signal processes; return those that are there."""
        found = []
        for pid in pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, number)
                found.append(pid)
        return found
