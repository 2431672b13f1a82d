"""The store of a cache node: keys and sizes of values, limited in bytes, with LRU or FIFO eviction."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import inf


@dataclass(slots=True)
class _Entry:
    """The size and expiry time of a stored value."""

    size: int  # bytes
    expires_at: float  # milliseconds of simulated time


class CacheStore:
    """A store with LRU or FIFO eviction and an optional time to live.

    Only keys and sizes are stored, as the model has no contents of values. Times are milliseconds.
    """

    __slots__ = ("_entries", "_is_lru", "_ttl_ms", "capacity_bytes", "used_bytes")

    def __init__(self, capacity_bytes: int, eviction: str = "lru", ttl_ms: float = 0.0) -> None:
        """Create an empty store.

        `eviction` is `lru` or `fifo`; with a `ttl_ms` of 0 values never expire.
        """
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self._is_lru = eviction == "lru"
        self._ttl_ms = ttl_ms or inf
        self._entries: OrderedDict[int, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: int) -> bool:
        return key in self._entries

    def get(self, key: int, now: float) -> bool:
        """Return whether a key is stored, and mark it as used. An expired value is removed."""
        entry = self._entries.get(key)
        if entry is None:
            return False
        if now >= entry.expires_at:
            self.invalidate(key)
            return False
        if self._is_lru:
            self._entries.move_to_end(key)
        return True

    def holds(self, key: int, now: float) -> bool:
        """Return whether a key is stored, without marking it as used."""
        entry = self._entries.get(key)
        return entry is not None and now < entry.expires_at

    def put(self, key: int, size: int, now: float) -> None:
        """Store a value of `size` bytes, and evict others as needed.

        A value larger than the whole store is not stored.
        """
        self.invalidate(key)
        if size > self.capacity_bytes:
            return
        while self.used_bytes + size > self.capacity_bytes:
            _, evicted = self._entries.popitem(last=False)
            self.used_bytes -= evicted.size
        self._entries[key] = _Entry(size, now + self._ttl_ms)
        self.used_bytes += size

    def invalidate(self, key: int) -> None:
        """Remove the value of a key, if there is one."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self.used_bytes -= entry.size

    def clear(self) -> None:
        """Remove all values, as a restart does."""
        self._entries.clear()
        self.used_bytes = 0
