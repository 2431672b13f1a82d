"""The memory of a cache node: values by key, of a bounded number of bytes, the least worth out first."""

from __future__ import annotations

from collections import OrderedDict
from math import inf


class Memory:
    """LRU or FIFO by bytes; a value may be forgotten after a while."""

    __slots__ = ("_held", "_keep", "_lru", "size", "used")

    def __init__(self, size: int, eviction: str = "lru", keep: float = 0.0) -> None:
        """So many bytes; `keep` in milliseconds, 0 for ever."""
        self.size, self.used = size, 0
        self._lru = eviction == "lru"
        self._keep = keep or inf
        self._held: OrderedDict[int, tuple[int, float]] = OrderedDict()  # size and until when, by key

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, key: int) -> bool:
        return key in self._held

    def get(self, key: int, now: float) -> bool:
        """Whether a value is there; that counts as a use of it."""
        found = self._held.get(key)
        if found is None:
            return False
        if now >= found[1]:
            self.void(key)
            return False
        if self._lru:
            self._held.move_to_end(key)
        return True

    def holds(self, key: int, now: float) -> bool:
        """The same, but it is no use."""
        found = self._held.get(key)
        return found is not None and now < found[1]

    def put(self, key: int, size: int, now: float) -> None:
        """Store a value; others give way. One that is larger than the whole memory is not stored."""
        self.void(key)
        if size > self.size:
            return
        while self.used + size > self.size:
            _, (freed, _) = self._held.popitem(last=False)
            self.used -= freed
        self._held[key] = (size, now + self._keep)
        self.used += size

    def void(self, key: int) -> None:
        """The value of a key is not good any more."""
        found = self._held.pop(key, None)
        if found is not None:
            self.used -= found[0]

    def clear(self) -> None:
        """Everything is forgotten, as at a restart."""
        self._held.clear()
        self.used = 0
