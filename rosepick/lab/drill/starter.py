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

STOPPED = (
    0.25  # seconds between two looks: longer than any wait of the loop in a drill, it was stopped meanwhile
)


def _boottime(rate: float) -> None:
    real = time.clock_gettime
    begin = real(time.CLOCK_BOOTTIME)

    def clock_gettime(clock: int) -> float:
        now = real(clock)
        return begin + (now - begin) * rate if clock == time.CLOCK_BOOTTIME else now

    time.clock_gettime = clock_gettime


def _monotonic(rate: float) -> None:
    real = time.monotonic
    seen, slept = real(), 0.0

    def monotonic() -> float:
        nonlocal seen, slept
        now = real()
        if now - seen > STOPPED:
            slept += now - seen
        seen = now
        return (now - slept) * rate

    time.monotonic = monotonic


def _noted(name: str, events: str) -> None:
    from ...net import quorum
    from .stand_ins import Notes, moment
    from .watched import Watched

    Watched.note_begins = True
    quorum.QuorumClient = partial(Watched, name, Notes(events).note, moment)  # type: ignore[misc, assignment]


def main() -> None:
    """Start it."""
    rate, module = float(sys.argv[1]), sys.argv[2]
    _boottime(rate)
    _monotonic(rate)
    if "DRILL_EVENTS" in os.environ:
        _noted(os.environ["DRILL_NAME"], os.environ["DRILL_EVENTS"])
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
