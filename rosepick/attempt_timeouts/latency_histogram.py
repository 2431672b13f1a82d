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

BUCKETS_PER_DOUBLING = 6  # buckets for each doubling
MIN_RATIO = 2.0**-4  # ratios under this are one bucket ...
DOUBLINGS = 10  # ... and there are so many doublings above it, then one bucket for all beyond
BUCKET_COUNT = BUCKETS_PER_DOUBLING * DOUBLINGS + 2
DECAY_TIME_CONSTANT_MS = 5_000.0  # milliseconds after which an answer counts a third
MIN_RECOMPUTE_INTERVAL_MS = 100.0  # milliseconds: chances are worked out anew no more often
RESCALE_ABOVE = 1e12
PRIOR_RESPONSES = 6.0  # made-up attempts that were answered, around what was expected ...
PRIOR_SPREAD_DOUBLINGS = 1.0  # ... within so many doublings
PRIOR_UNANSWERED = 0.2  # made-up attempts that never end


def bucket_index(ratio: float) -> int:
    """The bucket of a multiple of the expected time."""
    if ratio <= MIN_RATIO:
        return 0
    return min(BUCKET_COUNT - 1, 1 + int(BUCKETS_PER_DOUBLING * log2(ratio / MIN_RATIO)))


def _prior_weights() -> list[float]:
    """The made-up answers, bucket by bucket."""
    middle = bucket_index(1.0)
    weights = [
        exp(-(((b - middle) / (BUCKETS_PER_DOUBLING * PRIOR_SPREAD_DOUBLINGS)) ** 2) / 2)
        for b in range(BUCKET_COUNT)
    ]
    return [PRIOR_RESPONSES * weight / sum(weights) for weight in weights]


_PRIOR_WEIGHTS = _prior_weights()


class LatencyHistogram:
    """What is known of one kind of attempt. Times are milliseconds."""

    def __init__(self) -> None:
        self._responses = array("d", bytes(8 * BUCKET_COUNT))
        self._abandoned = array("d", bytes(8 * BUCKET_COUNT))
        self._weight, self._weight_at = 1.0, 0.0
        self._survival = [1.0] * (
            BUCKET_COUNT + 1
        )  # the part that is still waited for at the begin of each bucket
        self._computed_at = float("-inf")
        self._is_stale = True

    def record_response(self, ratio: float, now: float) -> None:
        """An answer came after such a multiple of what was expected."""
        self._responses[bucket_index(ratio)] += self._advance_weight(now)

    def record_abandoned(self, ratio: float, now: float) -> None:
        """An attempt was waited for so long, and then no more."""
        self._abandoned[bucket_index(ratio)] += self._advance_weight(now)

    def _advance_weight(self, now: float) -> float:
        """The weight of what is seen now: it grows, which is the same as if all before faded."""
        self._is_stale = True
        self._weight *= exp(
            max(0.0, min(50.0 * DECAY_TIME_CONSTANT_MS, now - self._weight_at)) / DECAY_TIME_CONSTANT_MS
        )
        self._weight_at = max(now, self._weight_at)
        if self._weight > RESCALE_ABOVE:
            for held in (self._responses, self._abandoned):
                for b in range(BUCKET_COUNT):
                    held[b] /= self._weight
            self._weight = 1.0
        return self._weight

    def _survival_curve(self, now: float) -> list[float]:
        """The part of attempts that is still waited for at the begin of each bucket."""
        if self._is_stale and now - self._computed_at >= MIN_RECOMPUTE_INTERVAL_MS:
            self._computed_at, self._is_stale = now, False
            at_risk, risks = PRIOR_UNANSWERED, [0.0] * BUCKET_COUNT
            for b in range(BUCKET_COUNT - 1, -1, -1):
                at_risk += _PRIOR_WEIGHTS[b] + (self._responses[b] + self._abandoned[b]) / self._weight
                risks[b] = at_risk
            left = 1.0
            for b in range(BUCKET_COUNT):
                self._survival[b] = left
                left *= 1.0 - (_PRIOR_WEIGHTS[b] + self._responses[b] / self._weight) / risks[b]
            self._survival[BUCKET_COUNT] = left
        return self._survival

    def survival_at(self, ratio: float, now: float) -> float:
        """The part of attempts that has no answer after such a multiple of what was expected."""
        left, b = self._survival_curve(now), bucket_index(ratio)
        if b == 0 or b == BUCKET_COUNT - 1:
            return left[b]
        into = BUCKETS_PER_DOUBLING * log2(ratio / MIN_RATIO) - (
            b - 1
        )  # between the bucket's ends, on the same scale
        return left[b] + (left[b + 1] - left[b]) * into

    def response_probability(self, waited: float, until: float, now: float) -> float:
        """The chance of an answer by `until`, with none after `waited`; both are such multiples."""
        if until <= waited:
            return 0.0
        before = self.survival_at(waited, now)
        return 1.0 - self.survival_at(until, now) / before if before > 0 else 0.0

    def optimal_timeout(self, cost: float, now: float) -> float:
        """The wait at which to begin again, so that an answer takes least time on the whole, if each new
        begin costs so much; all as such multiples. It is the wait w with the least (time spent by w + cost) /
        (answered by w), by which attempts that are cut at w and repeated end (Luby, Sinclair, Zuckerman
        1993).
        """
        left = self._survival_curve(now)
        spent, begin, best, found = 0.0, 0.0, float("inf"), float("inf")
        for b in range(BUCKET_COUNT - 1):
            end = MIN_RATIO * 2.0 ** (b / BUCKETS_PER_DOUBLING)
            spent += (end - begin) * (left[b] + left[b + 1]) / 2
            begin = end
            answered = 1.0 - left[b + 1]
            if answered > 0 and (spent + cost) / answered < best:
                best, found = (spent + cost) / answered, end
        return found
