"""How much of a crowd is let in at one time: accepts in portions, and TLS handshakes with a part of the
time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MOST = 32  # accepts in one go ...
FOR = 3.0  # ... and milliseconds, so that timers, answers and next hops get their turn


class Portion:
    """One go of accepting."""

    __slots__ = ("_left", "_until")

    def __init__(self, now: float) -> None:
        self._left, self._until = MOST, now + FOR

    def more(self, now: float) -> bool:
        """Whether one more may be accepted; counts it."""
        self._left -= 1
        return self._left >= 0 and now < self._until


BURST = 20.0  # milliseconds of CPU that handshakes may take at once


class Handshakes:
    """Handshakes have a part of the time: those beyond it wait, the first that came first.

    A bucket fills with that part of the time that passes and is emptied by the CPU time that handshakes took.
    One goes on as soon as the bucket is not empty, whatever it will take; so they are over by one at most.
    """

    def __init__(self, part: float, now: float) -> None:
        self.part = part  # of the time, 0 to 1
        self._tokens = BURST
        self._at = now
        self._waiting: deque[Callable[[], None]] = deque()

    def __len__(self) -> int:
        """How many wait."""
        return len(self._waiting)

    def may(self, now: float) -> bool:
        """Whether one may go on at this moment, before which nobody waits."""
        self._fill(now)
        return not self._waiting and self._tokens > 0

    def wait(self, resume: Callable[[], None]) -> None:
        """Have one called when its turn comes."""
        self._waiting.append(resume)

    def spent(self, cpu: float) -> None:
        """A handshake, or a step of it, took so many milliseconds of CPU."""
        self._tokens -= cpu

    def next(self, now: float) -> Callable[[], None] | None:
        """The one whose turn it is, if any may go on."""
        self._fill(now)
        return self._waiting.popleft() if self._waiting and self._tokens > 0 else None

    def due_in(self) -> float | None:
        """After how many milliseconds to ask for the next; None if nobody waits."""
        if not self._waiting:
            return None
        return max(1.0, -self._tokens / self.part) if self._tokens <= 0 else 0.0

    def _fill(self, now: float) -> None:
        self._tokens = min(BURST, self._tokens + self.part * (now - self._at))
        self._at = now
