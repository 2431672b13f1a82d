"""Which addresses use their connections again, as far as that was seen lately; bounded in number."""

from __future__ import annotations

from collections import OrderedDict

MAX_REMEMBERED_ADDRESSES = 1024  # addresses
REUSE_THRESHOLD = 2  # so many more connections were used again than were not ...
MAX_SCORE = 4  # ... and no more than this counts, so that another habit shows soon


class AddressReuseHistory:
    """A score for each address: up for a connection that asked twice, down for one that ended with one
    answer.
    """

    def __init__(self) -> None:
        self._scores: OrderedDict[str, int] = OrderedDict()  # the longest unseen first

    def __len__(self) -> int:
        return len(self._scores)

    def record_use(self, peer: str, was_reused: bool) -> None:
        """A connection of that address asked a second time, or was left by its client after one answer."""
        score = self._scores.pop(peer, 0) + (1 if was_reused else -1)
        self._scores[peer] = max(-MAX_SCORE, min(MAX_SCORE, score))
        if len(self._scores) > MAX_REMEMBERED_ADDRESSES:
            self._scores.popitem(last=False)

    def is_likely_to_reuse(self, peer: str) -> bool:
        """Whether its connections are worth keeping."""
        return self._scores.get(peer, 0) >= REUSE_THRESHOLD
