"""The clock of what waits for others over minutes: one that goes on while the machine sleeps."""

from __future__ import annotations

import time


def boottime_s() -> float:
    """Seconds since the machine started, its sleep included (CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
