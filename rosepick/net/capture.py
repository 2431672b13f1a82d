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

from ..capture.recorder import Recorder
from ..capture.ring import Place, Ring
from ..http.sender_side import words
from ..logs import say
from ..settings.config import Names
from ..settings.operator_file import OperatorFile
from .loop import Loop

log = logging.getLogger(__name__)
AT_ONCE = select.PIPE_BUF  # bytes: a pipe that is ready takes so many without blocking, and as one piece
PIECES = 4  # that go out in one step
UNREAD = 4 * AT_ONCE  # a pipe holds four times as much, by default: the rest is for log lines
PAUSE = 1.0  # between steps, doubled up to ...
LONGEST_PAUSE = 250.0  # ... this while nothing is taken
FLUSH_EVERY = 250.0
_NAME = re.compile(r"capture-([0-9]{8})\.log")


class Capture:
    """All parts of the capture of one router."""

    def __init__(
        self,
        loop: Loop,
        operators: OperatorFile,
        names: Names,
        seed: int,
        offset: float,
        uid_of: Callable[[int], str | None],
    ) -> None:
        size = 1024 * operators.whole("capture_segment_kb")
        segments = operators.whole("capture_segments")
        self.recorder = Recorder(segments, size, seed, offset, names, words, uid_of)
        self.ring = self.recorder.ring
        self._loop = loop
        self._dump: Dump | None = None
        folder = operators.text("capture_dir")
        self._files = None if folder is None else Files(loop, self.recorder, Path(folder), segments)

    def dump(self, fd: int = 2) -> None:
        """SIGUSR2: write all that is held to standard error, a piece whenever that takes one."""
        if self._dump is not None and self._dump.going:
            self._dump.ignored += 1  # said at the end: a line now might block
            return
        self.recorder.flush()
        self._dump = Dump(self._loop, self.ring, fd)

    def close(self) -> None:
        """The router ends."""
        if self._dump is not None:
            self._dump.going = False
        if self._files is not None:
            self._files.close()


class Dump:
    """One writing of the ring, as it stood at the begin, while it goes on turning. Guards against a reader of
    standard error that stalls the loop: a piece is written only when the descriptor takes it at once, and
    while little is unread there, so that log lines find room too.
    """

    def __init__(self, loop: Loop, ring: Ring, fd: int) -> None:
        self.loop, self.ring, self.fd = loop, ring, fd
        self.place, self.until = ring.begin(), ring.end()
        self.going = True
        self.count = self.ignored = 0
        self._pause = PAUSE
        self._rest = b""  # of a piece that was taken in part
        loop.after(0.0, self._step)

    def _step(self) -> None:
        """Some pieces, if they are taken; then again, later and later while none is."""
        pieces = 0
        try:
            while self.going and pieces < PIECES and takes(self.fd):
                self._write()
                pieces += 1
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as problem:
            self.going = False
            say(log, logging.WARNING, "capture_dump_failed", text=problem)
        if self.going:
            self._pause = PAUSE if pieces else min(LONGEST_PAUSE, 2.0 * self._pause)
            self.loop.after(self._pause, self._step)

    def _write(self) -> None:
        """One piece of whole lines, or the end."""
        if self._rest:
            self._rest = self._rest[os.write(self.fd, self._rest) :]
            return
        piece, behind = self.ring.read(self.place, self.until, AT_ONCE)
        if not piece:
            self.going = False
            say(log, logging.INFO, "capture_dumped", bytes=self.count, signals_ignored=self.ignored)
            return
        count = os.write(self.fd, piece)
        self._rest = bytes(piece[count:])  # a descriptor that does not block may take a part
        self.count += len(piece)
        self.place = behind


def takes(fd: int) -> bool:
    """Whether a descriptor takes a piece without blocking, and little that was written there is unread."""
    poll = select.poll()
    poll.register(fd, select.POLLOUT)
    found = poll.poll(0)
    return bool(found) and (found[0][1] != select.POLLOUT or _unread(fd) <= UNREAD)


def _unread(fd: int) -> int:
    """Bytes that were written and not yet read, where the system tells."""
    count = array("i", [0])
    pipe = stat.S_ISFIFO(os.fstat(fd).st_mode)
    try:
        fcntl.ioctl(fd, termios.FIONREAD if pipe else termios.TIOCOUTQ, count)
    except OSError:  # a file, in which nothing waits
        return 0
    return count[0]


class Files:
    """The segments as a ring of files: a file a segment, the oldest removed. A restart goes on from the
    highest number. What cannot be written is logged; the next segment tries again.
    """

    def __init__(self, loop: Loop, recorder: Recorder, folder: Path, keep: int) -> None:
        self.loop, self.recorder, self.folder, self.keep = loop, recorder, folder, keep
        self.ring = recorder.ring
        self.place = Place(0, 0)
        self._fd: int | None = None
        self._segment = -1  # the one that the open file holds, or that could not be written
        self.ring.rolled = self._catch_up
        loop.after(FLUSH_EVERY, self._turn)

    def _turn(self) -> None:
        self.loop.after(FLUSH_EVERY, self._turn)
        self.flush()

    def flush(self) -> None:
        """Write what has come since the last time."""
        self.recorder.flush()
        self._catch_up()

    def _catch_up(self) -> None:
        until = self.ring.end()
        while self.place < until:
            piece, behind = self.ring.read(self.place, until, self.ring.size)
            if not piece:
                break
            if behind.segment != self._segment:
                self._segment = behind.segment
                self._guarded(self._begin)
            if self._fd is not None:
                self._guarded(partial(self._append, piece))
            self.place = behind

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as problem:
            say(log, logging.ERROR, "capture_file_failed", text=problem, folder=self.folder)
            self._let_go()

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

    def _begin(self) -> None:
        """The next file; the oldest gives way first, so that a full disk has room for it."""
        self._let_go()
        names = sorted(name for name in os.listdir(self.folder) if _NAME.fullmatch(name))
        for name in names[: max(0, len(names) - self.keep + 1)]:
            os.unlink(self.folder / name)
        number = int(names[-1][8:16]) + 1 if names else 0
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC | os.O_NOFOLLOW
        self._fd = os.open(self.folder / f"capture-{number:08d}.log", flags, 0o600)

    def _let_go(self) -> None:
        fd, self._fd = self._fd, None
        if fd is not None:
            os.close(fd)

    def close(self) -> None:
        """Write the rest and let go."""
        self.flush()
        self.ring.rolled = None
        self._let_go()
