"""The capture in service: its ring, the dump to standard error, and the ring of files."""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import re
import select
import stat
import termios
from array import array
from collections.abc import Callable
from functools import partial
from pathlib import Path

from ..capture.recorder import CaptureConfig, CaptureRecorder
from ..capture.ring_buffer import LineRing, Position
from ..http.server_protocol import client_fields
from ..logs import log_event
from ..settings.config import NameIndexes
from ..settings.operator_file import OperatorFile
from .event_loop import EventLoop

logger = logging.getLogger(__name__)
MAX_PIPE_WRITE_BYTES = (
    select.PIPE_BUF
)  # bytes: a pipe that is ready takes so many without blocking, and as one piece
WRITES_PER_STEP = 4  # that go out in one step
MAX_UNREAD_BYTES = (
    4 * MAX_PIPE_WRITE_BYTES
)  # a pipe holds four times as much, by default: the rest is for log lines
MIN_PAUSE_MS = 1.0  # between steps, doubled up to ...
MAX_PAUSE_MS = 250.0  # ... this while nothing is taken
FLUSH_INTERVAL_MS = 250.0
_FILE_NAME = re.compile(r"capture-([0-9]{8})\.log")


class CaptureOutput:
    """All parts of the capture of one router."""

    def __init__(
        self,
        loop: EventLoop,
        operators: OperatorFile,
        names: NameIndexes,
        seed: int,
        unix_offset_ms: float,
        uid_of: Callable[[int], str | None],
    ) -> None:
        size = 1024 * operators.integer("capture_segment_kb")
        segments = operators.integer("capture_segments")
        capture_config = CaptureConfig(segments, size, seed, unix_offset_ms)
        self.recorder = CaptureRecorder(capture_config, names, client_fields, uid_of)
        self.ring = self.recorder.ring
        self._loop = loop
        self._dump: CaptureDump | None = None
        folder = operators.text("capture_dir")
        self._files = None if folder is None else CaptureFiles(loop, self.recorder, Path(folder), segments)

    def dump(self, fd: int = 2) -> None:
        """SIGUSR2: write all that is held to standard error, a piece whenever that takes one."""
        if self._dump is not None and self._dump.is_running:
            self._dump.ignored_signals += 1  # said at the end: a line now might block
            return
        self.recorder.flush()
        self._dump = CaptureDump(self._loop, self.ring, fd)

    def close(self) -> None:
        """The router ends."""
        if self._dump is not None:
            self._dump.is_running = False
        if self._files is not None:
            self._files.close()


class CaptureDump:
    """One writing of the ring, as it stood at the begin, while it goes on turning. Guards against a reader of
    standard error that stalls the loop: a piece is written only when the descriptor takes it at once, and
    while little is unread there, so that log lines find room too.
    """

    def __init__(self, loop: EventLoop, ring: LineRing, fd: int) -> None:
        self.loop, self.ring, self.fd = loop, ring, fd
        self.position, self.end = ring.start_position(), ring.end_position()
        self.is_running = True
        self.written_bytes = self.ignored_signals = 0
        self._pause_ms = MIN_PAUSE_MS
        self._unwritten = b""  # of a piece that was taken in part
        loop.call_after(0.0, self._step)

    def _step(self) -> None:
        """Some pieces, if they are taken; then again, later and later while none is."""
        pieces = 0
        try:
            while self.is_running and pieces < WRITES_PER_STEP and accepts_write(self.fd):
                self._write_chunk()
                pieces += 1
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as problem:
            self.is_running = False
            log_event(logger, logging.WARNING, "capture_dump_failed", text=problem)
        if self.is_running:
            self._pause_ms = MIN_PAUSE_MS if pieces else min(MAX_PAUSE_MS, 2.0 * self._pause_ms)
            self.loop.call_after(self._pause_ms, self._step)

    def _write_chunk(self) -> None:
        """One piece of whole lines, or the end."""
        if self._unwritten:
            self._unwritten = self._unwritten[os.write(self.fd, self._unwritten) :]
            return
        piece, behind = self.ring.read(self.position, self.end, MAX_PIPE_WRITE_BYTES)
        if not piece:
            self.is_running = False
            log_event(
                logger,
                logging.INFO,
                "capture_dumped",
                bytes=self.written_bytes,
                signals_ignored=self.ignored_signals,
            )
            return
        count = os.write(self.fd, piece)
        self._unwritten = bytes(piece[count:])  # a descriptor that does not block may take a part
        self.written_bytes += len(piece)
        self.position = behind


def accepts_write(fd: int) -> bool:
    """Whether a descriptor takes a piece without blocking, and little that was written there is unread."""
    poll = select.poll()
    poll.register(fd, select.POLLOUT)
    found = poll.poll(0)
    return bool(found) and (found[0][1] != select.POLLOUT or _unread_bytes(fd) <= MAX_UNREAD_BYTES)


def _unread_bytes(fd: int) -> int:
    """Bytes that were written and not yet read, where the system tells."""
    count = array("i", [0])
    pipe = stat.S_ISFIFO(os.fstat(fd).st_mode)
    try:
        fcntl.ioctl(fd, termios.FIONREAD if pipe else termios.TIOCOUTQ, count)
    except OSError:  # a file, in which nothing waits
        return 0
    return count[0]


class CaptureFiles:
    """The segments as a ring of files: a file a segment, the oldest removed. A restart goes on from the
    highest number. What cannot be written is logged; the next segment tries again.
    """

    def __init__(self, loop: EventLoop, recorder: CaptureRecorder, folder: Path, max_files: int) -> None:
        self.loop, self.recorder, self.folder, self.max_files = loop, recorder, folder, max_files
        self.ring = recorder.ring
        self.position = Position(0, 0)
        self._fd: int | None = None
        self._segment = -1  # the one that the open file holds, or that could not be written
        self.ring.before_eviction = self._write_new_records
        loop.call_after(FLUSH_INTERVAL_MS, self._flush_periodically)

    def _flush_periodically(self) -> None:
        self.loop.call_after(FLUSH_INTERVAL_MS, self._flush_periodically)
        self.flush()

    def flush(self) -> None:
        """Write what has come since the last time."""
        self.recorder.flush()
        self._write_new_records()

    def _write_new_records(self) -> None:
        until = self.ring.end_position()
        while self.position < until:
            piece, behind = self.ring.read(self.position, until, self.ring.segment_bytes)
            if not piece:
                break
            if behind.segment != self._segment:
                self._segment = behind.segment
                self._run_guarded(self._open_next_file)
            if self._fd is not None:
                self._run_guarded(partial(self._append, piece))
            self.position = behind

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as problem:
            log_event(logger, logging.ERROR, "capture_file_failed", text=problem, folder=self.folder)
            self._close_file()

    def _append(self, piece: memoryview) -> None:
        assert self._fd is not None
        whole = os.fstat(self._fd).st_size
        written = 0
        try:
            while written < len(piece):
                written += os.write(self._fd, piece[written:])
        except OSError:
            with contextlib.suppress(OSError):  # no half lines
                os.ftruncate(self._fd, whole)
            raise

    def _open_next_file(self) -> None:
        """The next file; the oldest gives way first, so that a full disk has room for it."""
        self._close_file()
        names = sorted(name for name in os.listdir(self.folder) if _FILE_NAME.fullmatch(name))
        for name in names[: max(0, len(names) - self.max_files + 1)]:
            os.unlink(self.folder / name)
        number = int(names[-1][8:16]) + 1 if names else 0
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC | os.O_NOFOLLOW
        self._fd = os.open(self.folder / f"capture-{number:08d}.log", flags, 0o600)

    def _close_file(self) -> None:
        fd, self._fd = self._fd, None
        if fd is not None:
            os.close(fd)

    def close(self) -> None:
        """Write the rest and let go."""
        self.flush()
        self.ring.before_eviction = None
        self._close_file()
