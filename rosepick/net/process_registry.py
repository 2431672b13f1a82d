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

from ..logs import log_event

logger = logging.getLogger(__name__)
# more processes of one router at a time than an upgrade, and one that was given up, ever have
MAX_PROCESSES = 4
MAX_STATE_BYTES = 2 * 1024 * 1024  # bytes
_DESCRIPTOR_COUNT = struct.Struct("<I")


class ProcessRegistry:
    """This process's seat, and a look at the others'."""

    def __init__(self, folder: Path, listen: tuple[str, int]) -> None:
        host = "".join(c if c.isalnum() else "-" for c in listen[0])
        self._paths = [folder / f"rosepick-{host}-{listen[1]}-{n}.seat" for n in range(MAX_PROCESSES)]
        self._state_path = folder / f"rosepick-{host}-{listen[1]}.knowledge"
        self._lock_fd = -1
        self._own_path: Path | None = None
        for path in self._paths:
            if self._try_lock(path):
                break
        else:
            log_event(logger, logging.WARNING, "process_registration_failed", folder=folder)

    def _try_lock(self, path: Path) -> bool:
        try:
            file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError:
            return False
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            return False
        self._lock_fd, self._own_path = file, path
        self.publish_descriptor_count(0)
        return True

    def publish_descriptor_count(self, descriptor_count: int) -> None:
        """Tell the others how many descriptors are held here."""
        if self._lock_fd >= 0:
            try:
                os.pwrite(self._lock_fd, _DESCRIPTOR_COUNT.pack(descriptor_count), 0)
            except OSError:  # no room: they know of this process all the same
                log_event(logger, logging.WARNING, "process_entry_write_failed", path=self._own_path)

    def other_descriptor_counts(self) -> tuple[int, ...]:
        """What each other process that lives holds."""
        found = (self._read_descriptor_count(path) for path in self._paths if path != self._own_path)
        return tuple(held for held in found if held is not None)

    @staticmethod
    def _read_descriptor_count(path: Path) -> int | None:
        """What the holder of a seat holds; None if it is empty."""
        try:
            file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            # shared: two that look at one time do not take each other for a holder
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            data = os.pread(file, _DESCRIPTOR_COUNT.size, 0)
            return int(_DESCRIPTOR_COUNT.unpack(data)[0]) if len(data) == _DESCRIPTOR_COUNT.size else 0
        finally:
            os.close(file)
        return None

    def write_state(self, document: bytes) -> None:
        """Leave what this process has learned for one that was started beside it."""
        part = self._state_path.with_suffix(f".{os.getpid()}")
        try:
            part.write_bytes(document)
            part.replace(self._state_path)  # at once: guards against a part of it that is read
        except OSError as problem:
            log_event(logger, logging.WARNING, "state_export_failed", text=problem)
            with contextlib.suppress(OSError):
                part.unlink()

    def read_state(self) -> bytes | None:
        """What a process has left, if any."""
        try:
            return (
                self._state_path.read_bytes() if self._state_path.stat().st_size <= MAX_STATE_BYTES else None
            )
        except OSError:
            return None

    def delete_state(self) -> None:
        """It has been read, and counts as memory."""
        with contextlib.suppress(OSError):
            self._state_path.unlink()

    def close(self) -> None:
        """Leave the seat."""
        if self._lock_fd >= 0:
            os.close(self._lock_fd)
            self._lock_fd = -1


def open_registry(environment: Mapping[str, str], listen: tuple[str, int]) -> ProcessRegistry | None:
    """Seats in $TMPDIR, if there is such a folder."""
    folder = environment.get("TMPDIR")
    return ProcessRegistry(Path(folder), listen) if folder and os.path.isdir(folder) else None
