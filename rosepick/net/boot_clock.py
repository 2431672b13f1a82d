"""A clock for waits of minutes between processes: it also counts while the machine is suspended."""

from __future__ import annotations

import time


def boottime_s() -> float:
    """Return the seconds since the machine started, including suspension (CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
