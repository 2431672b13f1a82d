"""How long to wait for a connection to come up: some times what is usual, long before the platform's limit.

Most connections come up within a round trip or two. One that does not has met a machine that says nothing,
and the system sends its first packet again only after a second: waiting on is waiting for nothing. One that
was given up says only that it would have taken longer: what is waited for doubles with each, up to the
platform's limit, or else a hop that became slower would be cut each time and nobody would ever know.
"""

from __future__ import annotations

TIMES = 8.0  # what a slow one of those that came up took ...
LEAST = 60.0  # ... and never less than this, in milliseconds: a loop that is busy is late itself
FADES = 0.98  # what a slow one took, with each that came up after it


class Dials:
    """The patience towards one next hop. Times are milliseconds."""

    def __init__(self, longest: float) -> None:
        self.longest = longest
        self._slow = 0.0  # the longest of late; 0 before any came up

    def up(self, took: float) -> None:
        """A connection came up."""
        self._slow = max(took, FADES * self._slow)

    def cut(self) -> None:
        """One was given up."""
        self._slow = 2.0 * self.patience() / TIMES

    def patience(self) -> float:
        """How long to wait for one that is begun now."""
        if not self._slow:
            return self.longest
        return min(self.longest, max(LEAST, TIMES * self._slow))
