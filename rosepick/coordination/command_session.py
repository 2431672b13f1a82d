"""The session of a command: the command with all processes that it started, also in other process groups."""

from __future__ import annotations

import contextlib
import os
import signal
import time
from pathlib import Path

from .process_stats import process_start_time

KILL_INTERVAL_S = 0.01  # pause between two searches for processes that were forked meanwhile


class CommandSession:
    """A session whose leader is the command; it ends with its last process.

    Processes that the command has started in a session of their own (setsid) do not belong to it.

    Args:
        leader_pid: the process id of the leader, which has not been reaped yet.
    """

    def __init__(self, leader_pid: int) -> None:
        self._id = leader_pid
        self._leader_start_time = process_start_time(leader_pid)

    def members(self) -> list[int]:
        """Return the ids of the processes of the session that have not ended."""
        leader_start_time = process_start_time(self._id)
        if leader_start_time and self._leader_start_time and leader_start_time != self._leader_start_time:
            return []  # the session has ended, and its id belongs to another process
        pids = [int(path.name) for path in Path("/proc").iterdir() if path.name.isdigit()]
        return [pid for pid in pids if self._contains(pid) and process_start_time(pid)]

    def _contains(self, pid: int) -> bool:
        try:
            return os.getsid(pid) == self._id
        except OSError:  # it has ended
            return False

    def signal(self, number: int) -> bool:
        """Send a signal to all processes of the session; return False if there are none."""
        members = self.members()
        for pid in members:
            self._signal_member(pid, number)
        return bool(members)

    def _signal_member(self, pid: int, number: int) -> None:
        """Signal a process if it is still a member; another process may have got its id meanwhile."""
        with contextlib.suppress(OSError):
            process = os.pidfd_open(pid)
            try:
                if self._contains(pid):
                    signal.pidfd_send_signal(process, number)
            finally:
                os.close(process)

    def kill(self, timeout_s: float) -> bool:
        """Kill the processes until none is left; return False if some are left after `timeout_s`."""
        until = time.monotonic() + timeout_s
        while self.signal(signal.SIGKILL):
            if time.monotonic() > until:
                return False
            time.sleep(KILL_INTERVAL_S)
        return True
