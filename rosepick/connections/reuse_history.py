"""Which addresses have reused their connections recently; bounded in number."""

from __future__ import annotations

from collections import OrderedDict

MAX_REMEMBERED_ADDRESSES = 1024
REUSE_THRESHOLD = 2  # connections that were reused, less those that were not
MAX_SCORE = 4  # a bound of the score, so that a change of behaviour shows soon


class AddressReuseHistory:
    """A score of each address: up for a connection that was reused, down for one closed after one answer."""

    def __init__(self) -> None:
        self._scores: OrderedDict[str, int] = OrderedDict()  # the least recently seen first

    def __len__(self) -> int:
        """Return how many addresses are remembered."""
        return len(self._scores)

    def record_use(self, peer: str, was_reused: bool) -> None:
        """Record a second request on a connection, or that its client closed it after one answer."""
        score = self._scores.pop(peer, 0) + (1 if was_reused else -1)
        self._scores[peer] = max(-MAX_SCORE, min(MAX_SCORE, score))
        if len(self._scores) > MAX_REMEMBERED_ADDRESSES:
            self._scores.popitem(last=False)

    def is_likely_to_reuse(self, peer: str) -> bool:
        """Return whether the connections of an address are worth keeping open."""
        return self._scores.get(peer, 0) >= REUSE_THRESHOLD
