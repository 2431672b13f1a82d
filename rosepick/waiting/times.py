"""How long answers take, as multiples of what was expected: a histogram that forgets, and counts what was
given up.

An attempt that was given up after a while was not answered by then, and nothing more is known of it: it is
censored. Leaving such ones out would make answers look quicker than they are, and attempts that never end
would not show at all. The chances are the product-limit estimate (Kaplan and Meier 1958) over logarithmic
buckets: each bucket's part of those that were still waited for at its begin. A few made-up attempts, some of
which never end, stand for what is believed before anything was seen; so no chance is ever 0 or 1.
"""

from __future__ import annotations

from array import array
from math import exp, log2

EACH = 6  # buckets for each doubling
FIRST = 2.0**-4  # ratios under this are one bucket ...
DOUBLINGS = 10  # ... and there are so many doublings above it, then one bucket for all beyond
COUNT = EACH * DOUBLINGS + 2
MEMORY = 5_000.0  # milliseconds after which an answer counts a third
FRESH = 100.0  # milliseconds: chances are worked out anew no more often
RESCALE = 1e12
PRIOR = 6.0  # made-up attempts that were answered, around what was expected ...
PRIOR_SPREAD = 1.0  # ... within so many doublings
PRIOR_HUNG = 0.2  # made-up attempts that never end


def bucket(ratio: float) -> int:
    """The bucket of a multiple of the expected time."""
    if ratio <= FIRST:
        return 0
    return min(COUNT - 1, 1 + int(EACH * log2(ratio / FIRST)))


def _prior() -> list[float]:
    """The made-up answers, bucket by bucket."""
    middle = bucket(1.0)
    weights = [exp(-(((b - middle) / (EACH * PRIOR_SPREAD)) ** 2) / 2) for b in range(COUNT)]
    return [PRIOR * weight / sum(weights) for weight in weights]


_PRIOR = _prior()


class Times:
    """What is known of one kind of attempt. Times are milliseconds."""

    def __init__(self) -> None:
        self._answered = array("d", bytes(8 * COUNT))
        self._given_up = array("d", bytes(8 * COUNT))
        self._weight, self._weight_at = 1.0, 0.0
        self._left = [1.0] * (COUNT + 1)  # the part that is still waited for at the begin of each bucket
        self._worked_out = float("-inf")
        self._changed = True

    def answered(self, ratio: float, now: float) -> None:
        """An answer came after such a multiple of what was expected."""
        self._answered[bucket(ratio)] += self._grown(now)

    def given_up(self, ratio: float, now: float) -> None:
        """An attempt was waited for so long, and then no more."""
        self._given_up[bucket(ratio)] += self._grown(now)

    def _grown(self, now: float) -> float:
        """The weight of what is seen now: it grows, which is the same as if all before faded."""
        self._changed = True
        self._weight *= exp(max(0.0, min(50.0 * MEMORY, now - self._weight_at)) / MEMORY)
        self._weight_at = max(now, self._weight_at)
        if self._weight > RESCALE:
            for held in (self._answered, self._given_up):
                for b in range(COUNT):
                    held[b] /= self._weight
            self._weight = 1.0
        return self._weight

    def _look(self, now: float) -> list[float]:
        """The part of attempts that is still waited for at the begin of each bucket."""
        if self._changed and now - self._worked_out >= FRESH:
            self._worked_out, self._changed = now, False
            at_risk, risks = PRIOR_HUNG, [0.0] * COUNT
            for b in range(COUNT - 1, -1, -1):
                at_risk += _PRIOR[b] + (self._answered[b] + self._given_up[b]) / self._weight
                risks[b] = at_risk
            left = 1.0
            for b in range(COUNT):
                self._left[b] = left
                left *= 1.0 - (_PRIOR[b] + self._answered[b] / self._weight) / risks[b]
            self._left[COUNT] = left
        return self._left

    def waits(self, ratio: float, now: float) -> float:
        """The part of attempts that has no answer after such a multiple of what was expected."""
        left, b = self._look(now), bucket(ratio)
        if b == 0 or b == COUNT - 1:
            return left[b]
        into = EACH * log2(ratio / FIRST) - (b - 1)  # between the bucket's ends, on the same scale
        return left[b] + (left[b + 1] - left[b]) * into

    def chance(self, waited: float, until: float, now: float) -> float:
        """The chance of an answer by `until`, with none after `waited`; both are such multiples."""
        if until <= waited:
            return 0.0
        before = self.waits(waited, now)
        return 1.0 - self.waits(until, now) / before if before > 0 else 0.0

    def best_stop(self, cost: float, now: float) -> float:
        """The wait at which to begin again, so that an answer takes least time on the whole, if each new
        begin costs so much; all as such multiples. It is the wait w with the least (time spent by w + cost) /
        (answered by w), by which attempts that are cut at w and repeated end (Luby, Sinclair, Zuckerman
        1993).
        """
        left = self._look(now)
        spent, begin, best, found = 0.0, 0.0, float("inf"), float("inf")
        for b in range(COUNT - 1):
            end = FIRST * 2.0 ** (b / EACH)
            spent += (end - begin) * (left[b] + left[b + 1]) / 2
            begin = end
            answered = 1.0 - left[b + 1]
            if answered > 0 and (spent + cost) / answered < best:
                best, found = (spent + cost) / answered, end
        return found
