"""Log handler that never blocks: lines for which the descriptor has no room are dropped and counted."""

from __future__ import annotations

import contextlib
import logging
import os
import select
import stat
from collections.abc import Callable

# Largest part that a descriptor which reports room takes without blocking, and that no other writer's line
# can interrupt.
MAX_WRITE_BYTES = select.PIPE_BUF


class LineWriter:
    """Writes lines to a descriptor whose reader may have stalled.

    A line of which a part was written is completed before any other; further lines are dropped meanwhile.

    Args:
        fd: the descriptor. A pipe gets a non-blocking file description of its own, as other processes may
            share that of `fd`.
    """

    def __init__(self, fd: int) -> None:
        self.dropped_count = 0  # lines since the start
        self._fd = _open_nonblocking(fd)
        self._poll = select.poll()
        self._poll.register(self._fd, select.POLLOUT)
        self._unwritten = b""  # rest of a line that was written partially

    def write(self, line: bytes) -> bool:
        """Write a line; return False if it was dropped."""
        self._flush()
        if self._unwritten or not self._poll.poll(0):
            self.dropped_count += 1
            return False
        self._unwritten = line
        self._flush()
        return True

    def _flush(self) -> None:
        try:
            while self._unwritten and self._poll.poll(0):
                self._unwritten = self._unwritten[os.write(self._fd, self._unwritten[:MAX_WRITE_BYTES]) :]
        except BlockingIOError:
            return
        except OSError:
            self._unwritten = b""  # the reader is gone


def _open_nonblocking(fd: int) -> int:
    """Return a non-blocking descriptor of the pipe behind `fd`, or `fd` itself if there is none."""
    with contextlib.suppress(OSError):
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            return os.open(f"/proc/self/fd/{fd}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    return fd


class LineHandler(logging.Handler):
    """Writes records as lines; a line with the number of dropped ones precedes the first after a gap.

    Args:
        writer: writes the lines.
        make_gap_record: returns the record that reports a number of dropped lines.
    """

    def __init__(self, writer: LineWriter, make_gap_record: Callable[[int], logging.LogRecord]) -> None:
        super().__init__()
        self._writer = writer
        self._make_gap_record = make_gap_record
        self._reported_count = 0  # dropped lines that were reported

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it if the descriptor has no room."""
        missing_count = self._writer.dropped_count - self._reported_count
        if missing_count:
            if not self._writer.write(self._encode(self._make_gap_record(missing_count))):
                return  # the report counts for the record
            self._reported_count += missing_count
        self._writer.write(self._encode(record))

    def _encode(self, record: logging.LogRecord) -> bytes:
        return self.format(record).encode(errors="backslashreplace") + b"\n"
