"""How many connections clients may hold: told, or learned from where they stop.

Nobody says where a client's own limit is. What shows it: clients that were opening connections stop, while
answered ones stand still, and open again at once when some of these are closed.
"""

from __future__ import annotations

PART = 1 / 3  # of the descriptors: the first guess, before anything is learned
LEAST = 8
STOPPED = 8.0  # so many usual gaps between openings without one ...
STOPPED_FOR = 150.0  # ... and at least so many milliseconds: that is no chance
RATE = 10.0  # openings a second; where there were fewer before, a stop says nothing
ANSWER_WITHIN = 300.0  # milliseconds for clients to open again after a close
LONGEST_PAUSE = 8_000.0  # between two trials that showed nothing
FIRST_PAUSE = 500.0


class Ceiling:
    """What clients may hold at one time, as far as that is known."""

    def __init__(self, descriptors: int, told: int | None = None) -> None:
        self.resize(descriptors, told)

    def resize(self, descriptors: int, told: int | None) -> None:
        """Another limit of descriptors, or another word of the operators: what was learned counts no more."""
        self.told = told
        self.value = told if told is not None else max(LEAST, int(descriptors * PART))
        self.learned = False
        self._tried: tuple[float, int] | None = None  # a trial that is on: when, and what was held
        self._pause = FIRST_PAUSE
        self._next = 0.0

    def held(self, count: int) -> None:
        """So many are held at this moment: if it is more than was believed, so many may be."""
        if self.told is None and count > self.value:
            self.value = count

    def opened(self, now: float) -> None:
        """A client opened a connection and asked: within a trial that answers it."""
        if self._tried is None:
            return
        when, held = self._tried
        if now - when <= ANSWER_WITHIN:
            self.value, self.learned, self._pause = max(LEAST, held), True, FIRST_PAUSE
            self._tried = None

    def suspects(self, now: float, held: int, standing: int, rate: float, last_opened: float) -> bool:
        """Whether clients seem to stand at a limit of their own that is lower than what is believed: then
        some of the connections that stand are to be closed, as a trial. `rate` is that of the time before the
        stop, in openings a second; `last_opened` when it was."""
        if self._tried is not None and now - self._tried[0] > ANSWER_WITHIN:
            self._tried = None  # nobody came: it was a lull
            self._pause = min(LONGEST_PAUSE, 2 * self._pause)
            self._next = now + self._pause
        if self.told is not None or self._tried is not None or now < self._next:
            return False
        if rate < RATE or standing == 0 or not LEAST <= held < self.value:
            return False
        if now - last_opened < max(STOPPED_FOR, STOPPED * 1000.0 / rate):
            return False
        self._tried = (now, held)
        return True
