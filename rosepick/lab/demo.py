"""Implements `rosepick demo`: a small fleet and one router on this machine, with injected faults."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

from . import console
from .experiment import Experiment, parse_experiment
from .experiment_config import FaultConfig
from .live.live_run import LiveRun, open_live_run
from .log_terms import parse_record
from .results import RunResult, Window

SEED = 1
ROW_LENGTH_S = 5  # seconds in a row of the table
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
# texts for the log events of the router that are shown
EVENT_TEXTS = {
    "serving": "the router serves on {listen}",
    "decision_message": "the decisions say: {text}",
    "connection_pressure_started": "connections are scarce, some are closed ({reason})",
    "connection_pressure_ended": "connections are no longer scarce",
    "shutdown_started": "the router shuts down",
    "shutdown_completed": "the router has shut down",
}


def run_demo(seconds: int) -> int:
    """Run the demo and print its progress and results.

    Return the exit status, which is 1 if a rule was broken.

    `seconds` is the length of the run.
    """
    experiment = demo_experiment(seconds)
    node_count = sum(group.count for group in experiment.fleet)
    print(
        f"{node_count} cache nodes, an origin and one router on this machine, "
        f"{experiment.traffic.rate:g} requests a second for {seconds} seconds.\n"
    )
    with open_live_run(experiment, SEED) as live_run:
        live_run.set_up()
        live_run.run_to_end(ProgressPrinter(live_run, experiment).on_progress)
        run, cost = live_run.result({})
    print()
    _print_table(run)
    console.print_run(run, cost)
    print("\nMore: docs/lab.md; `rosepick lab run experiments/slow-node.toml` simulates a slow node.")
    return 1 if run.broken else 0


def demo_experiment(seconds: int) -> Experiment:
    """Return the experiment of the demo, whose faults begin at fixed shares of its length in seconds."""
    times = {"slow_at": 0.25 * seconds, "slow_for": 0.2 * seconds, "restart_at": 0.65 * seconds}
    return parse_experiment(EXPERIMENT.format(seconds=seconds, **times), "demo")


class ProgressPrinter:
    """Prints the progress of a run: begin and end of faults, and events of the router's log."""

    def __init__(
        self, live_run: LiveRun, experiment: Experiment, print_line: Callable[[str], None] = print
    ) -> None:
        self._live_run = live_run
        self._print_line = print_line
        self._run_length_s = experiment.length + max(
            request_class.deadline for request_class in experiment.classes
        )
        self._read_offset = 0  # bytes of the log read so far
        self._pending_messages = sorted(_fault_messages(experiment.troubles))

    def on_progress(self, progress: float) -> None:
        """Print new messages and log events; `progress` is the completed share of the run, 0 to 1."""
        now_s = progress * self._run_length_s
        while self._pending_messages and self._pending_messages[0].at_s <= now_s:
            message = self._pending_messages.pop(0)
            self._print_line(f"{message.at_s:5.1f} s  {message.text}")
        for line in self._read_new_lines(self._live_run.routers[0].log_file):
            text = _describe_event(line)
            if text:
                self._print_line(f"{now_s:5.1f} s    {text}")

    def _read_new_lines(self, path: Path) -> list[str]:
        """Return the complete lines that a log has gained since the last call."""
        try:
            with path.open("rb") as file:
                file.seek(self._read_offset)
                data = file.read()
        except OSError:
            return []
        complete = data[: data.rfind(b"\n") + 1]
        self._read_offset += len(complete)
        return complete.decode("utf-8", "replace").splitlines()


class FaultMessage(NamedTuple):
    """A message about a fault, with its time in seconds from the start of the run."""

    at_s: float
    text: str


def _fault_messages(faults: Iterable[FaultConfig]) -> Iterator[FaultMessage]:
    for fault in faults:
        if fault.kind == "restart":
            recovery = f"it is back after {fault.down:g} s, and cold"
            yield FaultMessage(fault.at, f"a cache node is restarted; {recovery}")
        else:
            yield FaultMessage(fault.at, f"a cache node is {fault.by:g} times as slow")
            yield FaultMessage(fault.at + fault.last, "it is as fast as before")


def _describe_event(line: str) -> str:
    """Return the text to show for a log line; empty if the line is not shown."""
    fields = parse_record(line)
    template = EVENT_TEXTS.get(fields.get("event", ""))
    return template.format_map({"listen": "", "text": "", "reason": "", **fields}) if template else ""


def _print_table(run: RunResult) -> None:
    """Print the service that clients received, in rows of `ROW_LENGTH_S` seconds."""
    print("  seconds  requests  in time    p99   origin   nodes up")
    for begin in range(0, len(run.windows), ROW_LENGTH_S):
        windows = run.windows[begin : begin + ROW_LENGTH_S]
        offered = sum(window.offered for window in windows)
        if not offered:
            continue
        in_time = sum(window.in_time for window in windows) / offered
        print(
            f"  {begin:3}-{begin + len(windows):<3}  {offered:8}  {in_time:7.1%}  "
            f"{max(window.p99_ms for window in windows):4.0f} ms  {_mean_origin_load(windows):6.1%}  "
            f"{min(window.nodes_up for window in windows):9}"
        )
    print()
    sys.stdout.flush()


def _mean_origin_load(windows: Sequence[Window]) -> float:
    return sum(window.origin_load for window in windows) / len(windows)
