"""Connection counts and quotas of client addresses; every operation takes constant time."""

from __future__ import annotations

from collections import OrderedDict

MIN_QUOTA = 4  # minimum quota of an address, in connections
MAX_RECENT_ADDRESSES = 1024  # upper bound of the addresses remembered in one time window


class AddressQuota:
    """Connection counts by address, and the addresses by count."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._addresses_by_count: dict[int, OrderedDict[str, None]] = {}
        self._max_count = 0
        self._total = 0
        self._previous_window: set[str] = set()  # addresses seen in the previous time window
        self._current_window: set[str] = set()  # addresses seen in the current time window

    def __len__(self) -> int:
        """Return how many addresses hold a connection."""
        return len(self._counts)

    def count_for(self, peer: str) -> int:
        """Return how many connections an address holds."""
        return self._counts.get(peer, 0)

    def max_count(self) -> int:
        """Return the largest number of connections that one address holds."""
        return self._max_count

    def add(self, peer: str) -> None:
        """Count a connection opened by an address."""
        count = self._counts.get(peer, 0)
        self._update_count(peer, count, count + 1)
        if len(self._current_window) < MAX_RECENT_ADDRESSES:
            self._current_window.add(peer)
        self._total += 1
        self._max_count = max(self._max_count, count + 1)

    def remove(self, peer: str) -> None:
        """Stop counting a closed connection of an address."""
        count = self._counts[peer]
        self._update_count(peer, count, count - 1)
        self._total -= 1
        if self._max_count not in self._addresses_by_count:
            self._max_count = count - 1  # it was the only address with the maximum, and now holds one less

    def rotate_window(self) -> None:
        """Begin a time window; addresses without a connection that were last seen two windows ago expire."""
        self._previous_window = self._current_window
        self._current_window = set(self._counts)

    def address_count(self) -> int:
        """Return how many addresses hold a connection or were seen recently."""
        return max(len(self._counts), len(self._current_window), len(self._previous_window))

    def quota_for(self, peer: str, capacity: int) -> int:
        """Return how many connections an address may hold while capacity is short.

        The quota is an equal share of the capacity, or, if larger, the capacity that remains after all other
        addresses double their connections. A single address may use all of the capacity.

        Args:
            peer: the address.
            capacity: how many connections all addresses together may hold.
        """
        address_count = self.address_count()
        if address_count < 2:
            return max(capacity, self._total)
        held_by_others = self._total - self.count_for(peer)
        return max(MIN_QUOTA, capacity // address_count, capacity - 2 * held_by_others - MIN_QUOTA)

    def has_address_over_quota(self, capacity: int) -> bool:
        """Return whether any address holds more than its quota."""
        peers = self._addresses_by_count.get(self._max_count)
        return peers is not None and self._max_count > self.quota_for(next(iter(peers)), capacity)

    def _update_count(self, peer: str, before: int, after: int) -> None:
        if before:
            peers = self._addresses_by_count[before]
            del peers[peer]
            if not peers:
                del self._addresses_by_count[before]
        if after:
            self._counts[peer] = after
            self._addresses_by_count.setdefault(after, OrderedDict())[peer] = None
        else:
            del self._counts[peer]
