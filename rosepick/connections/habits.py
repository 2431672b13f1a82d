"""Which addresses use their connections again, as far as that was seen lately; bounded in number."""

from __future__ import annotations

from collections import OrderedDict

REMEMBERED = 1024  # addresses
SURE = 2  # so many more connections were used again than were not ...
MOST = 4  # ... and no more than this counts, so that another habit shows soon


class Habits:
    """A score for each address: up for a connection that asked twice, down for one that ended with one
    answer.
    """

    def __init__(self) -> None:
        self._scores: OrderedDict[str, int] = OrderedDict()  # the longest unseen first

    def __len__(self) -> int:
        return len(self._scores)

    def seen(self, peer: str, again: bool) -> None:
        """A connection of that address asked a second time, or was left by its client after one answer."""
        score = self._scores.pop(peer, 0) + (1 if again else -1)
        self._scores[peer] = max(-MOST, min(MOST, score))
        if len(self._scores) > REMEMBERED:
            self._scores.popitem(last=False)

    def reuses(self, peer: str) -> bool:
        """Whether its connections are worth keeping."""
        return self._scores.get(peer, 0) >= SURE
