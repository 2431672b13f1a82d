"""A decaying histogram of latencies, as multiples of the expected latency, with censored observations.

An attempt that was abandoned had no response until then, and nothing more is known of it: its observation is
censored. Without such attempts, responses would seem faster than they are, and attempts that never end would
not be counted at all. The probabilities are the product-limit estimate (Kaplan and Meier 1958) over
logarithmic buckets: for each bucket, the share of the attempts in flight at its start that are answered in
it. A prior of a few fictitious attempts, some of which never end, represents the assumption before any
observation; so no probability is ever 0 or 1.
"""

from __future__ import annotations

from array import array
from math import exp, log2

BUCKETS_PER_DOUBLING = 6
MIN_RATIO = 2.0**-4  # all ratios up to this one share the first bucket
DOUBLINGS = 10  # doublings above `MIN_RATIO`; all ratios beyond them share the last bucket
BUCKET_COUNT = BUCKETS_PER_DOUBLING * DOUBLINGS + 2
DECAY_TIME_CONSTANT_MS = 5_000.0  # the weight of an observation falls to 1/e in this time
MAX_DECAY_MS = 50.0 * DECAY_TIME_CONSTANT_MS  # longer pauses count as this long, to stay in the float range
MIN_RECOMPUTE_INTERVAL_MS = 100.0  # least time between two computations of the survival curve
RESCALE_ABOVE = 1e12  # the weight at which the counts are rescaled
PRIOR_RESPONSES = 6.0  # fictitious attempts that were answered at about the expected latency
PRIOR_SPREAD_DOUBLINGS = 1.0  # standard deviation of the prior's latencies, in doublings
PRIOR_UNANSWERED = 0.2  # fictitious attempts that never end


def bucket_index(ratio: float) -> int:
    """Return the bucket of a latency that is `ratio` times the expected one."""
    if ratio <= MIN_RATIO:
        return 0
    return min(BUCKET_COUNT - 1, 1 + int(BUCKETS_PER_DOUBLING * log2(ratio / MIN_RATIO)))


def _prior_weights() -> list[float]:
    """Return the prior's answered attempts by bucket, distributed log-normally."""
    middle = bucket_index(1.0)
    weights = [
        exp(-(((bucket - middle) / (BUCKETS_PER_DOUBLING * PRIOR_SPREAD_DOUBLINGS)) ** 2) / 2)
        for bucket in range(BUCKET_COUNT)
    ]
    return [PRIOR_RESPONSES * weight / sum(weights) for weight in weights]


_PRIOR_WEIGHTS = _prior_weights()


class LatencyHistogram:
    """The latencies of one kind of attempt, as multiples of the expected latency. Times are milliseconds."""

    def __init__(self) -> None:
        self._responses = array("d", bytes(8 * BUCKET_COUNT))
        self._abandoned = array("d", bytes(8 * BUCKET_COUNT))
        self._weight = 1.0  # of an observation at `_weight_at`
        self._weight_at = 0.0
        # share of the attempts that are still in flight at the start of each bucket
        self._survival = [1.0] * (BUCKET_COUNT + 1)
        self._computed_at = float("-inf")
        self._is_stale = True

    def record_response(self, ratio: float, now: float) -> None:
        """Record an attempt that was answered after `ratio` times the expected latency."""
        self._responses[bucket_index(ratio)] += self._advance_weight(now)

    def record_abandoned(self, ratio: float, now: float) -> None:
        """Record an attempt that was abandoned after `ratio` times the expected latency."""
        self._abandoned[bucket_index(ratio)] += self._advance_weight(now)

    def _advance_weight(self, now: float) -> float:
        """Return the weight of an observation made now.

        The weight grows with time, which is equivalent to decaying all earlier observations.
        """
        self._is_stale = True
        self._weight *= exp(max(0.0, min(MAX_DECAY_MS, now - self._weight_at)) / DECAY_TIME_CONSTANT_MS)
        self._weight_at = max(now, self._weight_at)
        if self._weight > RESCALE_ABOVE:
            for counts in (self._responses, self._abandoned):
                for bucket in range(BUCKET_COUNT):
                    counts[bucket] /= self._weight
            self._weight = 1.0
        return self._weight

    def _survival_curve(self, now: float) -> list[float]:
        """Return the share of attempts that are still in flight at the start of each bucket."""
        if self._is_stale and now - self._computed_at >= MIN_RECOMPUTE_INTERVAL_MS:
            self._computed_at = now
            self._is_stale = False
            at_risk = PRIOR_UNANSWERED
            at_risk_by_bucket = [0.0] * BUCKET_COUNT
            for bucket in range(BUCKET_COUNT - 1, -1, -1):
                observed = (self._responses[bucket] + self._abandoned[bucket]) / self._weight
                at_risk += _PRIOR_WEIGHTS[bucket] + observed
                at_risk_by_bucket[bucket] = at_risk
            surviving = 1.0
            for bucket in range(BUCKET_COUNT):
                self._survival[bucket] = surviving
                answered = _PRIOR_WEIGHTS[bucket] + self._responses[bucket] / self._weight
                surviving *= 1.0 - answered / at_risk_by_bucket[bucket]
            self._survival[BUCKET_COUNT] = surviving
        return self._survival

    def survival_at(self, ratio: float, now: float) -> float:
        """Return the share of attempts without a response after `ratio` times the expected latency."""
        survival = self._survival_curve(now)
        bucket = bucket_index(ratio)
        if bucket in (0, BUCKET_COUNT - 1):
            return survival[bucket]
        # linear interpolation within the bucket, on the logarithmic scale
        position = BUCKETS_PER_DOUBLING * log2(ratio / MIN_RATIO) - (bucket - 1)
        return survival[bucket] + (survival[bucket + 1] - survival[bucket]) * position

    def response_probability(self, waited: float, until: float, now: float) -> float:
        """Return the probability of a response by the ratio `until`, given none by the ratio `waited`."""
        if until <= waited:
            return 0.0
        before = self.survival_at(waited, now)
        return 1.0 - self.survival_at(until, now) / before if before > 0 else 0.0

    def optimal_timeout(self, cost: float, now: float) -> float:
        """Return the timeout that minimizes the mean time to a response when attempts are restarted.

        This is the timeout t with the least (time spent by t + cost) / (answered by t), which is the mean
        time to a response if attempts are abandoned at t and repeated (Luby, Sinclair, Zuckerman 1993).

        Args:
            cost: the cost of each restart, as a multiple of the expected latency.
            now: the present time, in ms.

        Returns:
            The timeout as a multiple of the expected latency; infinity if no attempt is ever answered.
        """
        survival = self._survival_curve(now)
        spent = 0.0
        start = 0.0
        least = float("inf")
        timeout = float("inf")
        for bucket in range(BUCKET_COUNT - 1):
            end = MIN_RATIO * 2.0 ** (bucket / BUCKETS_PER_DOUBLING)
            spent += (end - start) * (survival[bucket] + survival[bucket + 1]) / 2
            start = end
            answered = 1.0 - survival[bucket + 1]
            if answered > 0 and (spent + cost) / answered < least:
                least = (spent + cost) / answered
                timeout = end
        return timeout
