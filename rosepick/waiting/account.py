"""What restarts may cost: a part of the traffic, and what those brought that were won."""

from __future__ import annotations

EARNED = 0.1  # restarts earned by a request: without any that is won they stay a tenth of the traffic
MOST = 8.0
WON = 1.0  # a restart that was answered in time gives back what it took


class Account:
    """Restarts of one router. Guards against a slow fleet that is answered with restarts: where none is won
    they soon end, and where they help they pay for themselves.
    """

    def __init__(self) -> None:
        self.left = MOST

    def request(self) -> None:
        """A request came."""
        self.left = min(MOST, self.left + EARNED)

    def may(self) -> bool:
        """Whether there is one left."""
        return self.left >= 1.0

    def took(self) -> None:
        """One was made."""
        self.left -= 1.0

    def won(self) -> None:
        """One was answered in time."""
        self.left = min(MOST, self.left + WON)
