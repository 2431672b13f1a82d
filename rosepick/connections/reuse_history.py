"""Bounded history of which client addresses reuse their connections."""

from __future__ import annotations

from collections import OrderedDict

MAX_REMEMBERED_ADDRESSES = 1024
REUSE_THRESHOLD = 2  # minimum score of an address that is likely to reuse its connections
MAX_SCORE = 4  # bound of the absolute score, so that a change of a client's behaviour has an effect soon


class AddressReuseHistory:
    """Keeps a score per address: +1 for each reused connection, -1 for one closed after one response."""

    def __init__(self) -> None:
        self._scores: OrderedDict[str, int] = OrderedDict()  # least recently seen first

    def __len__(self) -> int:
        """Return how many addresses are remembered."""
        return len(self._scores)

    def record_use(self, peer: str, was_reused: bool) -> None:
        """Record a second request on a connection, or its close by the client after one response."""
        score = self._scores.pop(peer, 0) + (1 if was_reused else -1)
        self._scores[peer] = max(-MAX_SCORE, min(MAX_SCORE, score))
        if len(self._scores) > MAX_REMEMBERED_ADDRESSES:
            self._scores.popitem(last=False)

    def is_likely_to_reuse(self, peer: str) -> bool:
        """Return whether an address is likely to reuse its connections."""
        return self._scores.get(peer, 0) >= REUSE_THRESHOLD
