"""Starts a module of the program in a drill, under a clock that goes at another rate.

    python -m rosepick.lab.drill.starter RATE MODULE ARGUMENT...

The clock that goes on while a machine sleeps (CLOCK_BOOTTIME) goes at RATE from now on; `time.monotonic`
stands still while the process is stopped, as it does on a machine that sleeps. The program has no switch for
this.
"""

from __future__ import annotations

import os
import runpy
import sys
import time
from functools import partial

# seconds between two looks: longer than any wait of the loop in a drill, it was stopped meanwhile
PAUSE_THRESHOLD_S = 0.25


def _skew_boottime(rate: float) -> None:
    real = time.clock_gettime
    begin = real(time.CLOCK_BOOTTIME)

    def clock_gettime(clock: int) -> float:
        now = real(clock)
        return begin + (now - begin) * rate if clock == time.CLOCK_BOOTTIME else now

    time.clock_gettime = clock_gettime


def _skew_monotonic(rate: float) -> None:
    real = time.monotonic
    seen, slept = real(), 0.0

    def monotonic() -> float:
        nonlocal seen, slept
        now = real()
        if now - seen > PAUSE_THRESHOLD_S:
            slept += now - seen
        seen = now
        return (now - slept) * rate

    time.monotonic = monotonic


def _record_operations(name: str, events: str) -> None:
    from ...coordination import quorum_client
    from .instrumented_client import InstrumentedQuorumClient
    from .stand_ins import EventLog, drill_clock

    InstrumentedQuorumClient.records_operation_start = True
    quorum_client.QuorumClient = partial(InstrumentedQuorumClient, name, EventLog(events).append, drill_clock)  # type: ignore[misc, assignment]


def main() -> None:
    """Start it."""
    rate, module = float(sys.argv[1]), sys.argv[2]
    _skew_boottime(rate)
    _skew_monotonic(rate)
    if "DRILL_EVENTS" in os.environ:
        _record_operations(os.environ["DRILL_NAME"], os.environ["DRILL_EVENTS"])
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
