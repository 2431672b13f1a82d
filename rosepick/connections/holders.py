"""How many connections each address holds, and who holds the most; each step costs the same."""

from __future__ import annotations

from collections import OrderedDict

LEAST = 4  # connections that every address may hold
REMEMBERED = 1024  # addresses that hold none at present


class Holders:
    """Counts by address, and the addresses by count."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._by_count: dict[int, OrderedDict[str, None]] = {}
        self._most = 0
        self._all = 0
        self._before: set[str] = set()  # addresses that came lately: in the last span, and ...
        self._lately: set[str] = set()  # ... in this one

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
        if len(self._lately) < REMEMBERED:
            self._lately.add(peer)
        self._all += 1
        self._most = max(self._most, count + 1)

    def drop(self, peer: str) -> None:
        """One of an address was closed."""
        count = self._counts[peer]
        self._put(peer, count, count - 1)
        self._all -= 1
        if self._most not in self._by_count:  # it was the only one with that many, and has one less now
            self._most = count - 1

    def turn(self) -> None:
        """A span of time is over: addresses that came before it, and hold none, are forgotten."""
        self._before, self._lately = self._lately, set(self._counts)

    def addresses(self) -> int:
        """How many addresses there are: those that hold any, or came lately."""
        return max(len(self._counts), len(self._lately), len(self._before))

    def share(self, peer: str, room: int) -> int:
        """What an address may hold of so much room while that is short: as much as each of all addresses, or
        what the others leave if they double. All of it if there is one address only.
        """
        count = self.addresses()
        if count < 2:
            return max(room, self._all)
        others = self._all - self.of(peer)
        return max(LEAST, room // count, room - 2 * others - LEAST)

    def greedy(self, room: int) -> bool:
        """Whether any address holds more than its share."""
        peers = self._by_count.get(self._most)
        return peers is not None and self._most > self.share(next(iter(peers)), room)

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
