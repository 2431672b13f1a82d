"""`rosepick demo`: a small fleet on this machine, one router, trouble, and what the router makes of it."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

from . import console
from .experiment import Experiment, FaultConfig, parse_experiment
from .live.live_run import LiveRun, open_live_run
from .log_terms import parse_record
from .results import RunResult, Window

SEED = 1
STEP_S = 5  # seconds of a row of the table
EXPERIMENT = """
name = "demo"
length = {seconds}
warm_up = 2

[[fleet]]
count = 6
memory = 400_000
crowding = 0.01

[origin]
cores = 8
slots = 16

[[classes]]
name = "read"
share = 97
work_ms = 12
origin_ms = 40

[[classes]]
name = "set"
share = 3
write = true
work_ms = 12
origin_ms = 40
aim = 0.75
deadline = 2.5
effect = "dedup"
repeat_window = 1.5

[keys]
count = 1500

[traffic]
rate = 120

[routers]
count = 1

[[troubles]]
kind = "slow"
at = {slow_at}
for = {slow_for}
nodes = 1
by = 12

[[troubles]]
kind = "restart"
at = {restart_at}
nodes = 1
down = 2
"""
# what of the router's log is shown, and in which words
EVENT_TEXTS = {
    "serving": "the router serves on {listen}",
    "decision_message": "the decisions say: {text}",
    "connection_pressure_started": "connections are scarce, some are closed ({reason})",
    "connection_pressure_ended": "connections are no longer scarce",
    "shutdown_started": "the router is told to end",
    "shutdown_completed": "the router has ended",
}


def run_demo(seconds: int) -> int:
    """Play it and show it; the exit status. Ends with 1 if a rule was broken."""
    given = demo_experiment(seconds)
    nodes = sum(group.count for group in given.fleet)
    print(
        f"{nodes} cache nodes, an origin and one router on this machine, {given.traffic.rate:g} requests a "
        f"second for {seconds} seconds.\n"
    )
    with open_live_run(given, SEED) as stage:
        stage.set_up()
        stage.run_to_end(Narrator(stage, given).on_progress)
        run, cost = stage.result({})
    print()
    _print_table(run)
    console.print_run(run, cost)
    print("\nMore: docs/lab.md; `rosepick lab run experiments/slow-node.toml` simulates such a day.")
    return 1 if run.broken else 0


def demo_experiment(seconds: int) -> Experiment:
    """What is played; the troubles keep their places in it, however long it lasts."""
    times = {"slow_at": 0.25 * seconds, "slow_for": 0.2 * seconds, "restart_at": 0.65 * seconds}
    return parse_experiment(EXPERIMENT.format(seconds=seconds, **times), "demo")


class Narrator:
    """Says what happens, as it happens: troubles when they begin and end, and lines of the router's log."""

    def __init__(
        self, stage: LiveRun, experiment: Experiment, print_line: Callable[[str], None] = print
    ) -> None:
        self._stage, self._print_line = stage, print_line
        self._run_length_s = experiment.length + max(one.deadline for one in experiment.classes)
        self._read_offset = 0
        self._pending_messages = sorted(_fault_messages(experiment.troubles))

    def on_progress(self, progress: float) -> None:
        """Such a part of the run is over, 0 to 1."""
        now = progress * self._run_length_s
        while self._pending_messages and self._pending_messages[0][0] <= now:
            at, text = self._pending_messages.pop(0)
            self._print_line(f"{at:5.1f} s  {text}")
        for line in self._lines(self._stage.routers[0].log_file):
            text = _describe_event(line)
            if text:
                self._print_line(f"{now:5.1f} s    {text}")

    def _lines(self, path: Path) -> list[str]:
        """Whole lines that are new in a log."""
        try:
            with path.open("rb") as file:
                file.seek(self._read_offset)
                data = file.read()
        except OSError:
            return []
        whole = data[: data.rfind(b"\n") + 1]
        self._read_offset += len(whole)
        return whole.decode("utf-8", "replace").splitlines()


def _fault_messages(faults: tuple[FaultConfig, ...]) -> list[tuple[float, str]]:
    found = []
    for trouble in faults:
        if trouble.kind == "restart":
            back = f"it is back after {trouble.down:g} s, and cold"
            found.append((trouble.at, f"a cache node is restarted; {back}"))
        else:
            found.append((trouble.at, f"a cache node is {trouble.by:g} times as slow"))
            found.append((trouble.at + trouble.last, "it is as fast as before"))
    return found


def _describe_event(line: str) -> str:
    """A line of the log as it is shown; empty if it is not."""
    fields = parse_record(line)
    words = EVENT_TEXTS.get(fields.get("event", ""))
    return words.format_map({"listen": "", "text": "", "reason": "", **fields}) if words else ""


def _print_table(run: RunResult) -> None:
    """What clients got, a row for some seconds."""
    print("  seconds  requests  in time    p99   origin   nodes up")
    for begin in range(0, len(run.windows), STEP_S):
        windows = run.windows[begin : begin + STEP_S]
        offered = sum(window.offered for window in windows)
        if not offered:
            continue
        in_time = sum(window.in_time for window in windows) / offered
        print(
            f"  {begin:3}-{begin + len(windows):<3}  {offered:8}  {in_time:7.1%}  "
            f"{max(window.p99_ms for window in windows):4.0f} ms  {_mean_of(windows):6.1%}  "
            f"{min(window.nodes_up for window in windows):9}"
        )
    print()
    sys.stdout.flush()


def _mean_of(windows: list[Window]) -> float:
    return sum(window.origin_load for window in windows) / len(windows)
