"""Registry of the processes of one router: a locked file for each process in a shared folder.

The kernel releases a lock when its holder exits, so a file without a lock is free. A file holds the number of
descriptors that its process uses.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import mmap
import os
import struct
from collections.abc import Mapping
from pathlib import Path

from ..core.request_ids import TABLE_BYTES, RequestIdTable
from ..logs import log_event

logger = logging.getLogger(__name__)
MAX_PROCESSES = 4  # of one router at a time; more than an upgrade beside an abandoned one needs
MAX_STATE_BYTES = 2 * 1024 * 1024  # larger exported state is not read
_DESCRIPTOR_COUNT = struct.Struct("<I")


class ProcessRegistry:
    """Holds the registry entry of this process, and reads those of the others."""

    def __init__(self, folder: Path, listen: tuple[str, int]) -> None:
        host = "".join(c if c.isalnum() else "-" for c in listen[0])
        self._paths = [folder / f"rosepick-{host}-{listen[1]}-{n}.seat" for n in range(MAX_PROCESSES)]
        self._state_path = folder / f"rosepick-{host}-{listen[1]}.knowledge"
        self._request_ids_path = folder / f"rosepick-{host}-{listen[1]}.requests"
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
        """Publish the number of descriptors that this process uses."""
        if self._lock_fd >= 0:
            try:
                os.pwrite(self._lock_fd, _DESCRIPTOR_COUNT.pack(descriptor_count), 0)
            except OSError:  # disk full: the lock alone still indicates this process
                log_event(logger, logging.WARNING, "process_entry_write_failed", path=self._own_path)

    def other_descriptor_counts(self) -> tuple[int, ...]:
        """Return the number of descriptors of each other live process."""
        counts = (self._read_descriptor_count(path) for path in self._paths if path != self._own_path)
        return tuple(count for count in counts if count is not None)

    @staticmethod
    def _read_descriptor_count(path: Path) -> int | None:
        """Return the descriptor count of an entry; None if no process holds it."""
        try:
            file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            # Use a shared lock, so that simultaneous readers do not mistake each other for the holder.
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            data = os.pread(file, _DESCRIPTOR_COUNT.size, 0)
            return int(_DESCRIPTOR_COUNT.unpack(data)[0]) if len(data) == _DESCRIPTOR_COUNT.size else 0
        finally:
            os.close(file)
        return None

    def write_state(self, document: bytes) -> None:
        """Write this process's exported state for its successor."""
        temporary = self._state_path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_bytes(document)
            temporary.replace(self._state_path)  # atomic, so that no partial document is read
        except OSError as error:
            log_event(logger, logging.WARNING, "state_export_failed", text=error)
            with contextlib.suppress(OSError):
                temporary.unlink()

    def read_state(self) -> bytes | None:
        """Return the state written by another process, if any."""
        try:
            if self._state_path.stat().st_size > MAX_STATE_BYTES:
                return None
            return self._state_path.read_bytes()
        except OSError:
            return None

    def delete_state(self) -> None:
        """Delete the state file after it was read, as it counts towards the memory limit."""
        with contextlib.suppress(OSError):
            self._state_path.unlink()

    def open_request_ids(self) -> RequestIdTable | None:
        """Return the table of request ids that the processes share; None if it cannot be opened."""
        try:
            file = os.open(self._request_ids_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            log_event(logger, logging.WARNING, "request_ids_not_shared", text=error)
            return None
        try:
            os.posix_fallocate(
                file, 0, TABLE_BYTES
            )  # on a full disk, a write to a hole would end the process
            return RequestIdTable(mmap.mmap(file, TABLE_BYTES))
        except (OSError, ValueError) as error:
            log_event(logger, logging.WARNING, "request_ids_not_shared", text=error)
            return None
        finally:
            os.close(file)

    def close(self) -> None:
        """Release the entry of this process."""
        if self._lock_fd >= 0:
            os.close(self._lock_fd)
            self._lock_fd = -1


def open_registry(environment: Mapping[str, str], listen: tuple[str, int]) -> ProcessRegistry | None:
    """Open the registry in $TMPDIR, if that folder exists."""
    folder = environment.get("TMPDIR")
    return ProcessRegistry(Path(folder), listen) if folder and os.path.isdir(folder) else None
