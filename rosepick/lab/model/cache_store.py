"""The memory of a cache node: values by key, of a bounded number of bytes, the least worth out first."""

from __future__ import annotations

from collections import OrderedDict
from math import inf


class CacheStore:
    """LRU or FIFO by bytes; a value may be forgotten after a while."""

    __slots__ = ("_entries", "_is_lru", "_ttl_ms", "capacity_bytes", "used_bytes")

    def __init__(self, capacity_bytes: int, eviction: str = "lru", ttl_ms: float = 0.0) -> None:
        """So many bytes; `ttl_ms` in milliseconds, 0 for ever."""
        self.capacity_bytes, self.used_bytes = capacity_bytes, 0
        self._is_lru = eviction == "lru"
        self._ttl_ms = ttl_ms or inf
        self._entries: OrderedDict[int, tuple[int, float]] = OrderedDict()  # size and until when, by key

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: int) -> bool:
        return key in self._entries

    def get(self, key: int, now: float) -> bool:
        """Whether a value is there; that counts as a use of it."""
        found = self._entries.get(key)
        if found is None:
            return False
        if now >= found[1]:
            self.invalidate(key)
            return False
        if self._is_lru:
            self._entries.move_to_end(key)
        return True

    def holds(self, key: int, now: float) -> bool:
        """The same, but it is no use."""
        found = self._entries.get(key)
        return found is not None and now < found[1]

    def put(self, key: int, size: int, now: float) -> None:
        """Store a value; others give way. One that is larger than the whole memory is not stored."""
        self.invalidate(key)
        if size > self.capacity_bytes:
            return
        while self.used_bytes + size > self.capacity_bytes:
            _, (freed, _) = self._entries.popitem(last=False)
            self.used_bytes -= freed
        self._entries[key] = (size, now + self._ttl_ms)
        self.used_bytes += size

    def invalidate(self, key: int) -> None:
        """The value of a key is not good any more."""
        found = self._entries.pop(key, None)
        if found is not None:
            self.used_bytes -= found[0]

    def clear(self) -> None:
        """Everything is forgotten, as at a restart."""
        self._entries.clear()
        self.used_bytes = 0
