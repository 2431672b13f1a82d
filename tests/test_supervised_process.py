"""Tests a member's process: it is started, polled, adopted by a later agent, and stopped."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path

from rosepick.coordination.agent_state_file import AgentStateFile
from rosepick.coordination.process_stats import ProcessUsage, process_start_time, process_usage
from rosepick.coordination.supervised_process import MemberProcessConfig, SupervisedProcess
from rosepick.fleet.agent import MemberAction
from rosepick.fleet.fleet_state import MemberKind
from rosepick.net.boot_clock import boottime_s
from rosepick.net.event_loop import EventLoop

TIMEOUT_MS = 20_000.0
MEMBER_SCRIPT = """
import json, socket, sys

listener = socket.create_server(("127.0.0.1", 0))
open(sys.argv[1], "w").write(str(listener.getsockname()[1]))
served = 0
while True:
    connection, _ = listener.accept()
    line = connection.recv(100).decode().strip()
    served += 100
    calls = {"read": {"success": served, "busy": 0, "failure": 0}}
    telemetry = {"calls": calls, "idle": True, "hits": served}
    answer = json.dumps(telemetry) if line == "telemetry" else "OK ready"
    connection.sendall(f"{answer}\\nEND\\n".encode())
    connection.close()
"""


def run_until(loop: EventLoop, condition: Callable[[], bool]) -> None:
    """Run the loop until a condition holds; fail after `TIMEOUT_MS`."""
    deadline = loop.now() + TIMEOUT_MS
    while not condition():
        assert loop.now() < deadline
        loop.step(0.02)


def test_a_member_is_started_adopted_reported_and_stopped(tmp_path: Path) -> None:
    loop = EventLoop(boottime_s)
    script = tmp_path / "member.py"
    script.write_text(MEMBER_SCRIPT)
    port_file = tmp_path / "port"
    command = [sys.executable, str(script), str(port_file)]
    state_file = AgentStateFile(tmp_path / "agent")

    def supervise(port: int) -> SupervisedProcess:
        config = MemberProcessConfig(
            MemberKind.ROUTER, ("127.0.0.1", port), command, tmp_path / "member.log", 0.3
        )
        return SupervisedProcess(loop, config, state_file)

    member = supervise(1)
    assert not member.read_status().running
    member.apply_action(MemberAction.START)
    pid = int(state_file.get("pid"))
    run_until(loop, lambda: port_file.exists() and bool(port_file.read_text()))
    # nothing listens on the given admin port: the member is running but not serving
    assert member.read_status().running
    assert not member.read_status().serving

    # a later agent adopts the process; it has the admin port that the member listens on
    adopted = supervise(int(port_file.read_text()))
    run_until(loop, lambda: adopted.read_status().serving)
    first = adopted.make_report(7, 1)
    assert (first.run_id, first.sequence, first.serving, first.served) == (7, 1, True, 0.0)
    polled_at = loop.now()
    run_until(loop, lambda: adopted.read_status().idle and loop.now() > polled_at + 1_000.0)
    second = adopted.make_report(7, 2)
    assert second.served > 0.0
    assert second.refused == second.failed == 0.0
    assert second.memory > 0.0
    assert second.door > 0.0

    # an exit after STOP is not counted as an exit of the member by itself
    adopted.apply_action(MemberAction.STOP)
    assert adopted.read_status().stopping
    run_until(loop, lambda: not member.read_status().running and not adopted.read_status().running)
    assert adopted.read_status().exit_count == 0
    assert process_start_time(pid) == ""
    assert process_usage(pid) == ProcessUsage()
    state_file.close()


def test_a_failed_start_is_counted_as_an_exit(tmp_path: Path) -> None:
    loop = EventLoop(boottime_s)
    state_file = AgentStateFile(tmp_path / "agent")
    config = MemberProcessConfig(
        MemberKind.CACHE, ("127.0.0.1", 1), ["/no/such/command"], tmp_path / "member.log", 0.3
    )
    member = SupervisedProcess(loop, config, state_file)
    member.apply_action(MemberAction.START)
    assert not member.read_status().running
    assert member.read_status().exit_count == 1
    state_file.close()


def test_the_usage_of_a_zombie_process_is_zero() -> None:
    pid = os.posix_spawn("/bin/true", ["/bin/true"], {})
    try:
        os.waitid(os.P_PID, pid, os.WEXITED | os.WNOWAIT)
        assert process_usage(pid) == ProcessUsage()
    finally:
        os.waitpid(pid, 0)
