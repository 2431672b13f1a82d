"""Ids of requests that may run only once, in a table that the processes of one router share; no I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from mmap import mmap

from .endpoint_directory import hash_key

RETENTION_MS = 60_000.0  # how long an id is kept, unless newer ones need its slot
SLOTS_PER_BUCKET = 8
BUCKET_COUNT = 512
_SLOT = struct.Struct("=Qd")  # hash of the id, and until when it is kept; 0 for an empty slot
TABLE_BYTES = BUCKET_COUNT * SLOTS_PER_BUCKET * _SLOT.size


class RequestIdTable:
    """Remembers the ids of requests that are in progress or may have run.

    A client may leave and send a request again, also to the other process of an upgrade, while the upstream
    still executes the first one. Times are milliseconds of the system's monotonic clock.

    Args:
        buffer: `TABLE_BYTES` bytes; other processes may use the same ones.
    """

    def __init__(self, buffer: bytearray | mmap) -> None:
        self._buffer = buffer

    def claim(self, req_id: bytes, now: float) -> bool:
        """Enter an id; return False, without a change, if it is entered already."""
        digest = hash_key(req_id)
        slots = [(until, offset, entered) for offset, entered, until in self._bucket(digest)]
        if any(entered == digest and until > now for until, _, entered in slots):
            return False
        _, offset, _ = min(slots)  # an empty one, or the oldest
        _SLOT.pack_into(self._buffer, offset, digest, now + RETENTION_MS)
        return True

    def release(self, req_id: bytes) -> None:
        """Remove the id of a request that has not run."""
        digest = hash_key(req_id)
        for offset, entered, _ in self._bucket(digest):
            if entered == digest:
                _SLOT.pack_into(self._buffer, offset, 0, 0.0)

    def _bucket(self, digest: int) -> Iterator[tuple[int, int, float]]:
        """Yield the offset, the hash and the end of each slot that may hold an id."""
        first = digest % BUCKET_COUNT * SLOTS_PER_BUCKET * _SLOT.size
        for number in range(SLOTS_PER_BUCKET):
            offset = first + number * _SLOT.size
            yield (offset, *_SLOT.unpack_from(self._buffer, offset))
