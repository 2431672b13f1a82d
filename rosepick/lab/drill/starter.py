"""Runs a module of the program in a fault-injection test, with clocks that run at another rate.

    python -m rosepick.lab.drill.starter RATE MODULE ARGUMENT...

CLOCK_BOOTTIME, the clock that counts the time in which a machine is suspended, runs at RATE from the start of
the process. So does `time.monotonic`, which in addition does not count the time in which the process is
stopped, like CLOCK_MONOTONIC while a machine is suspended. The program itself has no option for this.
"""

from __future__ import annotations

import os
import runpy
import sys
import time
from functools import partial

# a longer time between two reads of the clock means that the process was stopped: in tests, event loops never
# wait this long
PAUSE_THRESHOLD_S = 0.25


def _skew_boottime(rate: float) -> None:
    original_clock_gettime = time.clock_gettime
    started_at = original_clock_gettime(time.CLOCK_BOOTTIME)

    def clock_gettime(clock: int) -> float:
        now = original_clock_gettime(clock)
        if clock != time.CLOCK_BOOTTIME:
            return now
        return started_at + (now - started_at) * rate

    time.clock_gettime = clock_gettime


def _skew_monotonic(rate: float) -> None:
    original_monotonic = time.monotonic
    last_read_at = original_monotonic()
    paused_s = 0.0

    def monotonic() -> float:
        nonlocal last_read_at, paused_s
        now = original_monotonic()
        if now - last_read_at > PAUSE_THRESHOLD_S:
            paused_s += now - last_read_at
        last_read_at = now
        return (now - paused_s) * rate

    time.monotonic = monotonic


def _record_operations(client_name: str, event_file: str) -> None:
    """Replace the program's quorum client by one that records its operations in a file."""
    from ...coordination import quorum_client
    from .event_log import EventLog, drill_clock
    from .instrumented_client import InstrumentedQuorumClient

    InstrumentedQuorumClient.records_operation_start = True
    quorum_client.QuorumClient = partial(  # type: ignore[misc, assignment]
        InstrumentedQuorumClient, client_name, EventLog(event_file).append, drill_clock
    )


def main() -> None:
    """Run the module that the command line names."""
    rate = float(sys.argv[1])
    module = sys.argv[2]
    _skew_boottime(rate)
    _skew_monotonic(rate)
    if "DRILL_EVENTS" in os.environ:
        _record_operations(os.environ["DRILL_NAME"], os.environ["DRILL_EVENTS"])
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
