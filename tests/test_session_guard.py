"""The guard of a command's session, in real processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from unittest import mock

import pytest

from rosepick.coordination.command_session import CommandSession
from rosepick.coordination.leased_command import LeasedCommand
from rosepick.coordination.process_stats import process_start_time
from rosepick.leases.lease_client import LeaseState
from rosepick.net.event_loop import EventLoop

ROOT = Path(__file__).parent.parent
END_S = 10.0
# Starts a shell with a child and a guard over both, writes the number of the group, and waits for a signal.
SCRIPT = """
import signal, subprocess, sys
from rosepick.coordination.session_guard import SessionGuard
guard = SessionGuard()
shell = subprocess.Popen(["sh", "-c", sys.argv[2]], start_new_session=True)
guard.watch(shell.pid)
print(shell.pid, flush=True)
if sys.argv[1] == "dismiss":
    guard.dismiss()
else:
    signal.pause()
"""


def start(what: str, shell_command: str = "sleep 60; true") -> tuple[subprocess.Popen[str], int]:
    """Start the script; return it, and the shell's id, which is that of its group and its session."""
    command = [sys.executable, "-c", SCRIPT, what, shell_command]
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


def wait_for_members(session: int, count: int) -> list[int]:
    """Return the processes of a session once there are so many of them."""
    until = time.monotonic() + END_S
    while len(members := CommandSession(session).members()) < count:
        assert time.monotonic() < until, members
        time.sleep(0.01)
    return members


def has_ended(pid: int) -> bool:
    """Return whether a process ends in time."""
    until = time.monotonic() + END_S
    while process_start_time(pid) and time.monotonic() < until:
        time.sleep(0.01)
    return not process_start_time(pid)


def test_a_killed_watcher_takes_the_whole_group_with_it() -> None:
    """Guards against a child of a leased command that acts beside the next holder of the lease."""
    process, group = start("wait")
    process.kill()
    process.wait()
    assert ends(group)


def test_a_killed_watcher_takes_children_in_other_process_groups_with_it() -> None:
    """Guards against a job under `timeout`, which makes a process group of its own."""
    process, session = start("wait", "timeout 60 sleep 60; true")
    members = wait_for_members(session, 3)
    assert len({os.getpgid(pid) for pid in members}) == 2
    process.kill()
    process.wait()
    assert all(has_ended(pid) for pid in members)


@pytest.mark.parametrize("ending", ["signal", "doubt", "exit"])
def test_nothing_of_a_command_outlives_its_lease(ending: str) -> None:
    """A job under `timeout` went on when `lease run` got SIGTERM, and beside the next holder's."""
    loop = EventLoop()
    lease_client = mock.Mock(token=1, task="job", state=LeaseState.HELD)
    lease_client.is_in_doubt.return_value = False
    lease_client.remaining_ms.return_value = 400.0
    holder = mock.Mock(loop=loop, lease_client=lease_client)
    job = "timeout 60 sh -c 'trap : TERM; while :; do sleep 0.1; done'"
    command = LeasedCommand(
        holder, ["sh", "-c", f"{job} & sleep 0.5" if ending == "exit" else f"{job}; true"]
    )
    members: list[int] = []

    def end_command() -> None:
        assert command.process is not None
        members.extend(wait_for_members(command.process.pid, 3))
        if ending == "signal":
            command._on_signal(signal.SIGTERM)
        elif ending == "doubt":
            lease_client.is_in_doubt.return_value = True

    loop.call_after(200.0, end_command)
    command._run_command()
    assert members
    assert [pid for pid in members if process_start_time(pid)] == []
    loop.close()


def test_a_session_that_forks_on_is_killed_whole() -> None:
    shell = subprocess.Popen(
        ["sh", "-c", "while :; do timeout 60 sleep 60 & sleep 0.002; done"], start_new_session=True
    )
    session = CommandSession(shell.pid)
    wait_for_members(shell.pid, 20)
    assert session.kill(END_S)
    assert session.members() == []
    shell.wait()


def test_the_id_of_a_session_that_has_ended_may_belong_to_another_one() -> None:
    shell = subprocess.Popen(["sh", "-c", "sleep 60; true"], start_new_session=True)
    session = CommandSession(shell.pid)
    session._leader_start_time = "1"  # as of an earlier process with the same id
    assert session.members() == []
    assert session.kill(END_S)
    assert shell.poll() is None
    assert CommandSession(shell.pid).kill(END_S)
    shell.wait()


def test_a_dismissed_guard_leaves_the_group_alone() -> None:
    process, group = start("dismiss")
    assert process.wait() == 0
    os.killpg(group, 0)  # raises if the group has ended
    os.killpg(group, signal.SIGKILL)
