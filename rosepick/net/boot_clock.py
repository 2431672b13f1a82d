"""Clock that also advances while the machine is suspended, for waits of minutes between processes."""

from __future__ import annotations

import time


def boottime_s() -> float:
    """Return the seconds since the machine started, including suspension (CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
