"""The guard of a process group, in real processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
END_S = 10.0
# Starts a shell with a child and a guard over both, writes the number of the group, and waits for a signal.
SCRIPT = """
import signal, subprocess, sys
from rosepick.coordination.process_group_guard import ProcessGroupGuard
guard = ProcessGroupGuard()
shell = subprocess.Popen(["sh", "-c", "sleep 60; true"], start_new_session=True)
guard.watch(shell.pid)
print(shell.pid, flush=True)
if sys.argv[1] == "dismiss":
    guard.dismiss()
else:
    signal.pause()
"""


def start(what: str) -> tuple[subprocess.Popen[str], int]:
    """Start the script; return it and the group that it guards."""
    command = [sys.executable, "-c", SCRIPT, what]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    assert process.stdout is not None
    return process, int(process.stdout.readline())


def ends(process_group: int) -> bool:
    """Return whether a process group ends by itself in time; a guard that is alive keeps it from that."""
    watcher = subprocess.run(
        [
            "timeout",
            str(END_S),
            "sh",
            "-c",
            f"while kill -0 -{process_group} 2>/dev/null; do sleep 0.05; done",
        ],
        check=False,
    )
    return watcher.returncode == 0


def test_a_killed_watcher_takes_the_whole_group_with_it() -> None:
    """Guards against a child of a leased command that acts beside the next holder of the lease."""
    process, group = start("wait")
    process.kill()
    process.wait()
    assert ends(group)


def test_a_dismissed_guard_leaves_the_group_alone() -> None:
    process, group = start("dismiss")
    assert process.wait() == 0
    os.killpg(group, 0)  # raises if the group has ended
    os.killpg(group, signal.SIGKILL)
