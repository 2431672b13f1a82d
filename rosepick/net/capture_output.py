"""Output of a router's capture: a dump to standard error, and rotating files."""

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
from ..http.request_messages import client_fields
from ..logs import log_event
from ..settings.config import NameIndexes
from ..settings.operator_file import OperatorFile
from .event_loop import EventLoop

logger = logging.getLogger(__name__)
MAX_PIPE_WRITE_BYTES = select.PIPE_BUF  # largest write that a ready pipe takes atomically, without blocking
WRITES_PER_STEP = 4  # maximum number of chunks per timer
# Maximum unread data in the pipe before a further chunk is written: a quarter of a pipe's default size. The
# rest remains for log lines.
MAX_UNREAD_BYTES = 4 * MAX_PIPE_WRITE_BYTES
MIN_PAUSE_MS = 1.0  # pause between steps; doubles while nothing can be written
MAX_PAUSE_MS = 250.0  # longest pause between steps
FLUSH_INTERVAL_MS = 250.0  # interval of the flushes to the capture files
_FILE_NAME = re.compile(r"capture-([0-9]{8})\.log")


class CaptureOutput:
    """Capture of one router, with its recorder and its outputs."""

    def __init__(
        self,
        loop: EventLoop,
        operators: OperatorFile,
        names: NameIndexes,
        seed: int,
        unix_offset_ms: float,
        uid_of: Callable[[int], str | None],
    ) -> None:
        segment_bytes = 1024 * operators.integer("capture_segment_kb")
        segments = operators.integer("capture_segments")
        capture_config = CaptureConfig(segments, segment_bytes, seed, unix_offset_ms)
        self.recorder = CaptureRecorder(capture_config, names, client_fields, uid_of)
        self.ring = self.recorder.ring
        self._loop = loop
        self._dump: CaptureDump | None = None
        folder = operators.text("capture_dir")
        self._files = None if folder is None else CaptureFiles(loop, self.recorder, Path(folder), segments)

    def dump(self, fd: int = 2) -> None:
        """Start to dump the ring to standard error (SIGUSR2), in chunks that do not block."""
        if self._dump is not None and self._dump.is_running:
            self._dump.ignored_signals += 1  # logged at the end of the dump: a log line now could block
            return
        self.recorder.flush()
        self._dump = CaptureDump(self._loop, self.ring, fd)

    def close(self) -> None:
        """Stop a running dump, and flush and close the files."""
        if self._dump is not None:
            self._dump.is_running = False
        if self._files is not None:
            self._files.close()


class CaptureDump:
    """Dumps the records that are in the ring at the start, while recording continues.

    A chunk is written only if the descriptor accepts it without blocking and holds little unread data. So a
    slow reader of standard error cannot block the loop, and log lines can still be written.
    """

    def __init__(self, loop: EventLoop, ring: LineRing, fd: int) -> None:
        self.loop = loop
        self.ring = ring
        self.fd = fd
        self.position = ring.start_position()
        self.end = ring.end_position()
        self.is_running = True
        self.written_bytes = 0
        self.ignored_signals = 0
        self._pause_ms = MIN_PAUSE_MS
        self._unwritten = b""  # rest of a chunk that was written partially
        loop.call_after(0.0, self._step)

    def _step(self) -> None:
        """Write up to `WRITES_PER_STEP` chunks; the pause doubles while none can be written."""
        written_chunks = 0
        try:
            while self.is_running and written_chunks < WRITES_PER_STEP and accepts_write(self.fd):
                self._write_chunk()
                written_chunks += 1
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self.is_running = False
            log_event(logger, logging.WARNING, "capture_dump_failed", text=error)
        if self.is_running:
            self._pause_ms = MIN_PAUSE_MS if written_chunks else min(MAX_PAUSE_MS, 2.0 * self._pause_ms)
            self.loop.call_after(self._pause_ms, self._step)

    def _write_chunk(self) -> None:
        """Write one chunk of complete lines, or finish the dump if none is left."""
        if self._unwritten:
            self._unwritten = self._unwritten[os.write(self.fd, self._unwritten) :]
            return
        chunk, next_position = self.ring.read(self.position, self.end, MAX_PIPE_WRITE_BYTES)
        if not chunk:
            self.is_running = False
            log_event(
                logger,
                logging.INFO,
                "capture_dumped",
                bytes=self.written_bytes,
                signals_ignored=self.ignored_signals,
            )
            return
        count = os.write(self.fd, chunk)
        self._unwritten = bytes(
            chunk[count:]
        )  # a non-blocking descriptor may accept only a part of the chunk
        self.written_bytes += len(chunk)
        self.position = next_position


def accepts_write(fd: int) -> bool:
    """Return whether a descriptor accepts a chunk without blocking and holds little unread data."""
    poll = select.poll()
    poll.register(fd, select.POLLOUT)
    ready = poll.poll(0)
    return bool(ready) and (ready[0][1] != select.POLLOUT or _unread_bytes(fd) <= MAX_UNREAD_BYTES)


def _unread_bytes(fd: int) -> int:
    """Return the number of written and not yet read bytes; 0 if the system does not provide it."""
    count = array("i", [0])
    is_pipe = stat.S_ISFIFO(os.fstat(fd).st_mode)
    try:
        fcntl.ioctl(fd, termios.FIONREAD if is_pipe else termios.TIOCOUTQ, count)
    except OSError:  # the descriptor is a regular file
        return 0
    return count[0]


class CaptureFiles:
    """Writes rotating files, one for each segment of the ring, and removes the oldest ones.

    The numbering continues after a restart. A failed write is logged, and the next segment opens a new file.
    """

    def __init__(self, loop: EventLoop, recorder: CaptureRecorder, folder: Path, max_files: int) -> None:
        self.loop = loop
        self.recorder = recorder
        self.folder = folder
        self.max_files = max_files
        self.ring = recorder.ring
        self.position = Position(0, 0)
        self._fd: int | None = None
        self._segment = -1  # segment of the open file, or of the file that failed
        self.ring.before_eviction = self._write_new_records
        loop.call_after(FLUSH_INTERVAL_MS, self._flush_periodically)

    def _flush_periodically(self) -> None:
        self.loop.call_after(FLUSH_INTERVAL_MS, self._flush_periodically)
        self.flush()

    def flush(self) -> None:
        """Write all records since the last flush."""
        self.recorder.flush()
        self._write_new_records()

    def _write_new_records(self) -> None:
        end = self.ring.end_position()
        while self.position < end:
            chunk, next_position = self.ring.read(self.position, end, self.ring.segment_bytes)
            if not chunk:
                break
            if next_position.segment != self._segment:
                self._segment = next_position.segment
                self._run_guarded(self._open_next_file)
            if self._fd is not None:
                self._run_guarded(partial(self._append, chunk))
            self.position = next_position

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as error:
            log_event(logger, logging.ERROR, "capture_file_failed", text=error, folder=self.folder)
            self._close_file()

    def _append(self, chunk: memoryview) -> None:
        assert self._fd is not None
        size_before = os.fstat(self._fd).st_size
        written = 0
        try:
            while written < len(chunk):
                written += os.write(self._fd, chunk[written:])
        except OSError:
            with contextlib.suppress(OSError):  # remove a partially written line
                os.ftruncate(self._fd, size_before)
            raise

    def _open_next_file(self) -> None:
        """Open the next file; the oldest is removed first, to make space on a full disk."""
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
        """Write the remaining records and close the file."""
        self.flush()
        self.ring.before_eviction = None
        self._close_file()
