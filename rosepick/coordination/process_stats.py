"""Reads the start time and the resource usage of a process from /proc."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

NANOSECONDS_PER_SECOND = 1e9
BYTES_PER_KIB = 1024.0
ENDED_STATES = ("Z", "X")  # zombie, dead
# Indexes of fields in /proc/PID/stat (see proc(5)), counted from the process's state.
STATE_FIELD = 0
START_TIME_FIELD = 19


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Holds the processor time of a process since its start, and its current resident memory."""

    cpu_s: float = 0.0
    memory_kib: float = 0.0


def process_start_time(pid: int) -> str:
    """Return the kernel's start time of a process; empty if the process has ended.

    A later process with the same id has another start time.
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text("ascii").rsplit(")", 1)[1].split()
    except (OSError, IndexError):
        return ""
    return "" if fields[STATE_FIELD] in ENDED_STATES else fields[START_TIME_FIELD]


def process_usage(pid: int) -> ProcessUsage:
    """Return the resource usage of a process; zeros if it has ended.

    The processor time is the scheduler's, in nanoseconds: clock ticks of 10 ms are too coarse for short
    intervals.
    """
    folder = Path(f"/proc/{pid}")
    try:
        tasks = [task.joinpath("schedstat").read_text("ascii") for task in folder.joinpath("task").iterdir()]
        pages = int(folder.joinpath("statm").read_text("ascii").split()[1])
        cpu_ns = sum(int(text.split()[0]) for text in tasks)
    except (OSError, IndexError, ValueError):
        return ProcessUsage()
    if not process_start_time(pid):  # a zombie keeps its processor time until it is reaped
        return ProcessUsage()
    return ProcessUsage(cpu_ns / NANOSECONDS_PER_SECOND, pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_KIB)
