"""How many connections clients may hold: told, or learned from where they stop.

Nobody says where a client's own limit is. It shows by a trial. What calls for one: clients that were opening
connections stop while answered ones stand still, or what they hold is pinned to one height and most of it
stands still. Then some of those that stand still are closed. If that many more than usual are opened at once,
clients were held up: the height is their limit. If not, it was a lull. What was learned lapses after a while,
as it may have been chance, and the policy itself keeps clients below it.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf, sqrt

PART = 1 / 3  # of the descriptors: the first guess, before anything is learned
LEAST = 8
BEYOND = 1.25  # where more is held than was believed, so much more than that may be
STOPPED = 8.0  # so many usual gaps between openings without one ...
STOPPED_FOR = 150.0  # ... and at least so many milliseconds: that is no chance
RATE = 10.0  # openings a second; where there were fewer before, a stop says nothing
PINNED_FOR = 500.0  # milliseconds in which what is held ...
PINNED_WITHIN = 0.05  # ... moves by no more than this part ...
PINNED_OPENINGS = 10  # ... though so many were opened
STILL_PART = 0.5  # of what is held, while it is pinned
ANSWER_WITHIN = 300.0  # milliseconds for clients to open again after a close
SURE = 0.7  # of what a trial closed is opened beyond the usual, at least ...
CHANCE = 2.0  # ... and so many standard deviations of the usual
FIRST_PAUSE, LONGEST_PAUSE = 500.0, 8_000.0  # between trials that showed nothing
FIRST_LAPSE, LONGEST_LAPSE = 10_000.0, 300_000.0  # what is learned holds so long; longer if shown again


@dataclass(frozen=True, slots=True)
class Seen:
    """What clients do at one moment."""

    held: int  # by clients, for requests
    still: int  # of these: answered once, and not expected to ask soon
    rate: float  # openings a second, up to the last one
    opened: float  # when that was


class Ceiling:
    """What clients may hold at one time, as far as that is known."""

    def __init__(self, descriptors: int, told: int | None = None) -> None:
        self.resize(descriptors, told)

    def resize(self, descriptors: int, told: int | None) -> None:
        """Another limit of descriptors, or another word of the operators: what was learned counts no more."""
        self.told = told
        self.guess = told if told is not None else max(LEAST, int(descriptors * PART))
        self.value = self.guess
        self.learned = False
        self._tried: tuple[float, int] | None = None  # a trial that is on: when, what was held
        self._to_come = 0.0  # openings that would confirm it
        self._pause, self._next = FIRST_PAUSE, 0.0
        self._lapse, self._lapses_at = FIRST_LAPSE, inf
        self._begin_span(0.0)

    def _begin_span(self, now: float) -> None:
        """A span in which it is seen whether what is held is pinned."""
        self._span = now
        self._openings, self._lowest, self._highest = 0, inf, 0.0

    def held(self, count: int) -> None:
        """So many are held at this moment: if it is more than was believed, nothing is known but that."""
        if self.told is None and count > self.value:
            self.value, self.learned = int(BEYOND * count) + 1, False

    def opened(self, now: float, held: int) -> None:
        """A client opened a connection for a request, and so many are held now."""
        self._openings += 1
        self._lowest, self._highest = min(self._lowest, held), max(self._highest, held)
        if self._tried is None or now - self._tried[0] > ANSWER_WITHIN:
            return
        self._to_come -= 1
        if self._to_come <= 0:
            self.value, self.learned = max(LEAST, self._tried[1]), True
            self._lapses_at = now + self._lapse
            self._lapse = min(LONGEST_LAPSE, 2 * self._lapse)
            self._tried, self._pause = None, FIRST_PAUSE

    def passed(self, now: float) -> None:
        """Time has passed."""
        if now >= self._lapses_at:
            self.value, self.learned, self._lapses_at = self.guess, False, inf
        if self._tried is not None and now - self._tried[0] > ANSWER_WITHIN:
            self._tried = None  # no more came than usual: it was a lull
            self._pause = min(LONGEST_PAUSE, 2 * self._pause)
            self._next = now + self._pause

    def suspects(self, now: float, seen: Seen) -> int:
        """How many connections that stand still are to be closed as a trial, as clients seem to stand at a
        limit of their own that is lower than what is believed; mostly 0.
        """
        pinned = self._pinned(now)
        if self.told is not None or self._tried is not None or now < self._next:
            return 0
        if seen.rate < RATE or not seen.still or not LEAST <= seen.held < self.value:
            return 0
        stopped = now - seen.opened >= max(STOPPED_FOR, STOPPED * 1000.0 / seen.rate)
        if not stopped and not (pinned and seen.still >= STILL_PART * seen.held):
            return 0
        count = min(seen.still, max(2, seen.still // 8))
        usual = 0.0 if stopped else seen.rate * ANSWER_WITHIN / 1000.0
        self._to_come = usual + max(SURE * count, CHANCE * sqrt(usual))
        self._tried = (now, seen.held)
        return count

    def _pinned(self, now: float) -> bool:
        """Whether what was held at openings hardly moved, at the end of a span."""
        if now - self._span < PINNED_FOR:
            return False
        moved = self._highest - self._lowest
        pinned = self._openings >= PINNED_OPENINGS and moved <= max(1.0, PINNED_WITHIN * self._highest)
        self._begin_span(now)
        return pinned
