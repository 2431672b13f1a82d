"""Seats: one lock for each process of a router, in the folder that those processes share.

The kernel frees a lock at its holder's death, so that a file which was left behind is an empty seat. The file
holds how many descriptors its holder has.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import struct
from collections.abc import Mapping
from pathlib import Path

from ..logs import say

log = logging.getLogger(__name__)
SEATS = 4  # more processes of one router at a time than an upgrade, and one that was given up, ever have
KNOWLEDGE_MOST = 2 * 1024 * 1024  # bytes
_HELD = struct.Struct("<I")


class Seats:
    """This process's seat, and a look at the others'."""

    def __init__(self, folder: Path, listen: tuple[str, int]) -> None:
        host = "".join(c if c.isalnum() else "-" for c in listen[0])
        self._paths = [folder / f"rosepick-{host}-{listen[1]}-{n}.seat" for n in range(SEATS)]
        self._knowledge = folder / f"rosepick-{host}-{listen[1]}.knowledge"
        self._file = -1
        self._mine: Path | None = None
        for path in self._paths:
            if self._take(path):
                break
        else:
            say(log, logging.WARNING, "no_seat", folder=folder)

    def _take(self, path: Path) -> bool:
        try:
            file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError:
            return False
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            return False
        self._file, self._mine = file, path
        self.tell(0)
        return True

    def tell(self, held: int) -> None:
        """Tell the others how many descriptors are held here."""
        if self._file >= 0:
            try:
                os.pwrite(self._file, _HELD.pack(held), 0)
            except OSError:  # no room: they know of this process all the same
                say(log, logging.WARNING, "seat_not_written", path=self._mine)

    def others(self) -> tuple[int, ...]:
        """What each other process that lives holds."""
        found = (self._held(path) for path in self._paths if path != self._mine)
        return tuple(held for held in found if held is not None)

    @staticmethod
    def _held(path: Path) -> int | None:
        """What the holder of a seat holds; None if it is empty."""
        try:
            file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            # shared: two that look at one time do not take each other for a holder
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            data = os.pread(file, _HELD.size, 0)
            return int(_HELD.unpack(data)[0]) if len(data) == _HELD.size else 0
        finally:
            os.close(file)
        return None

    def leave(self, document: bytes) -> None:
        """Leave what this process has learned for one that was started beside it."""
        part = self._knowledge.with_suffix(f".{os.getpid()}")
        try:
            part.write_bytes(document)
            part.replace(self._knowledge)  # at once: guards against a part of it that is read
        except OSError as problem:
            say(log, logging.WARNING, "knowledge_not_left", text=problem)
            with contextlib.suppress(OSError):
                part.unlink()

    def found(self) -> bytes | None:
        """What a process has left, if any."""
        try:
            return self._knowledge.read_bytes() if self._knowledge.stat().st_size <= KNOWLEDGE_MOST else None
        except OSError:
            return None

    def taken(self) -> None:
        """It has been read, and counts as memory."""
        with contextlib.suppress(OSError):
            self._knowledge.unlink()

    def close(self) -> None:
        """Leave the seat."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def seats_in(environment: Mapping[str, str], listen: tuple[str, int]) -> Seats | None:
    """Seats in $TMPDIR, if there is such a folder."""
    folder = environment.get("TMPDIR")
    return Seats(Path(folder), listen) if folder and os.path.isdir(folder) else None
