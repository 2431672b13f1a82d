"""How long connections to next hops are kept idle, where next hops hold only a limited number of them.

Nobody says how many a next hop holds, nor how many other routers have one there. It shows: a connection that
is opened and whose first request is turned away found no place. What takes the places is mostly idle, as many
routers that see little traffic each keep connections that they hardly use again. So the time for which idle
ones are kept falls with each that is turned away, and grows with each that is let in. Both do so by a part of
the time, so that it rests where a certain share is turned away (one in 18), whatever the traffic: by a sum, a
router with one request a second would need minutes. All routers do the same and share without a word.

Multiplicative increase and decrease keep the shares that routers begin with (Chiu and Jain, 1989); they begin
alike here, which is what is wanted.
"""

from __future__ import annotations

CUT = 0.6
GROW = 1.03
LEAST = 100.0  # milliseconds; a retry or the fetch behind a miss may still find it open
FEW_ROUTERS = 16  # up to so many begin with all of the time that next hops allow, more with a part of it


class Keeping:
    """The time for one kind of next hop."""

    def __init__(self, longest: float, routers: int) -> None:
        """`longest`: milliseconds, the most that next hops allow. `routers`: how many there are in all."""
        self.longest = max(LEAST, longest)
        self.time = max(LEAST, self.longest * min(1.0, FEW_ROUTERS / max(1, routers)))

    def limit(self, longest: float) -> None:
        """Another bound."""
        self.longest = max(LEAST, longest)
        self.time = min(self.time, self.longest)

    def let_in(self) -> None:
        """A new connection was let in."""
        self.time = min(self.longest, self.time * GROW)

    def turned_away(self) -> None:
        """A new connection found no place."""
        self.time = max(LEAST, self.time * CUT)
