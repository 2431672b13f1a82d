"""How many connections each address holds, and who holds the most; each step costs the same."""

from __future__ import annotations

from collections import OrderedDict

LEAST = 4  # connections that every address may hold


class Holders:
    """Counts by address, and the addresses by count."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._by_count: dict[int, OrderedDict[str, None]] = {}
        self._most = 0
        self._all = 0

    def __len__(self) -> int:
        """How many addresses hold any."""
        return len(self._counts)

    def of(self, peer: str) -> int:
        """How many an address holds."""
        return self._counts.get(peer, 0)

    def most(self) -> int:
        """What the address that holds the most holds."""
        return self._most

    def add(self, peer: str) -> None:
        """An address opened one."""
        count = self._counts.get(peer, 0)
        self._put(peer, count, count + 1)
        self._all += 1
        self._most = max(self._most, count + 1)

    def drop(self, peer: str) -> None:
        """One of an address was closed."""
        count = self._counts[peer]
        self._put(peer, count, count - 1)
        self._all -= 1
        if self._most not in self._by_count:  # it was the only one with that many, and has one less now
            self._most = count - 1

    def share(self, count: int, room: int) -> int:
        """What an address that holds `count` may hold of so much room while that is short: as much as each of
        all addresses, or what the others leave if they double. All of it if there is one address only."""
        if len(self._counts) < 2:
            return room
        return max(LEAST, room // len(self._counts), room - 2 * (self._all - count) - LEAST)

    def _put(self, peer: str, before: int, after: int) -> None:
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
