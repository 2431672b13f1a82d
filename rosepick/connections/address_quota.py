"""How many connections each address holds, and who holds the most; each step costs the same."""

from __future__ import annotations

from collections import OrderedDict

MIN_QUOTA = 4  # connections that every address may hold
MAX_RECENT_ADDRESSES = 1024  # addresses that hold none at present


class AddressQuota:
    """Counts by address, and the addresses by count."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._by_count: dict[int, OrderedDict[str, None]] = {}
        self._max_count = 0
        self._total = 0
        self._previous_window: set[str] = set()  # addresses that came lately: in the last span, and ...
        self._current_window: set[str] = set()  # ... in this one

    def __len__(self) -> int:
        """How many addresses hold any."""
        return len(self._counts)

    def count_for(self, peer: str) -> int:
        """How many an address holds."""
        return self._counts.get(peer, 0)

    def max_count(self) -> int:
        """What the address that holds the most holds."""
        return self._max_count

    def add(self, peer: str) -> None:
        """An address opened one."""
        count = self._counts.get(peer, 0)
        self._update_count(peer, count, count + 1)
        if len(self._current_window) < MAX_RECENT_ADDRESSES:
            self._current_window.add(peer)
        self._total += 1
        self._max_count = max(self._max_count, count + 1)

    def remove(self, peer: str) -> None:
        """One of an address was closed."""
        count = self._counts[peer]
        self._update_count(peer, count, count - 1)
        self._total -= 1
        if self._max_count not in self._by_count:  # it was the only one with that many, and has one less now
            self._max_count = count - 1

    def rotate_window(self) -> None:
        """A span of time is over: addresses that came before it, and hold none, are forgotten."""
        self._previous_window, self._current_window = self._current_window, set(self._counts)

    def address_count(self) -> int:
        """How many addresses there are: those that hold any, or came lately."""
        return max(len(self._counts), len(self._current_window), len(self._previous_window))

    def quota_for(self, peer: str, capacity: int) -> int:
        """What an address may hold of so much room while that is short: as much as each of all addresses, or
        what the others leave if they double. All of it if there is one address only.
        """
        count = self.address_count()
        if count < 2:
            return max(capacity, self._total)
        others = self._total - self.count_for(peer)
        return max(MIN_QUOTA, capacity // count, capacity - 2 * others - MIN_QUOTA)

    def has_address_over_quota(self, capacity: int) -> bool:
        """Whether any address holds more than its share."""
        peers = self._by_count.get(self._max_count)
        return peers is not None and self._max_count > self.quota_for(next(iter(peers)), capacity)

    def _update_count(self, peer: str, before: int, after: int) -> None:
        if before:
            peers = self._by_count[before]
            del peers[peer]
            if not peers:
                del self._by_count[before]
        if after:
            self._counts[peer] = after
            self._by_count.setdefault(after, OrderedDict())[peer] = None
        else:
            del self._counts[peer]
