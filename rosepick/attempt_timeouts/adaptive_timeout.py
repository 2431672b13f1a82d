"""Whether to go on waiting for an attempt: the chance that it is answered in time, against that of another
one.

A request's attempt is given up for another where that has the better chance in the time that is left, by more
than its price. Two things must come together. By the times that answers take, which hold what never ends as
well, the chance of this one has sunk below that of a fresh one. And others that were sent later have been
answered: that shows this one to be hung or crawling, and not all of them slow, whatever times were met
before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .latency_histogram import LatencyHistogram
from .timeout_budget import TimeoutBudget

REMEMBERED_RESPONSES = 32  # answers that are remembered
HUNG_FACTOR = 6.0  # times what is expected, and
# the chance that is left, of an attempt that is given up also while the origin is short
HUNG_MAX_PROBABILITY = 0.05
MIN_OVERTAKING_RESPONSES = 5  # later ones that were answered first
# by so much more the other one's chance must be: work is wasted, and it may miss
RETRY_PROBABILITY_MARGIN = 0.3
MIN_TIMEOUT_MS = 50.0  # milliseconds that every attempt is given, and ...
MIN_TIMEOUT_FACTOR = 1.5  # ... so many times what is expected
CHECK_INTERVAL_FACTOR = 0.5  # of what is expected, and of the wait so far, between two looks ...
MIN_CHECK_INTERVAL_MS = 20.0  # ... and so many milliseconds
REPEATED_WORK_COST = 0.5  # of what is expected: work that is done twice
MAX_FETCH_COST_MS = 1_000.0  # milliseconds
MOVED_READ_HIT_RATE = 0.3  # of reads that move to another cache node hit there
HINT_SMOOTHING = 0.02  # weight of a new hint in the mean
MAX_COST_FACTOR = 4.0
MIN_EXPECTED_MS = 1.0  # milliseconds


@dataclass(slots=True, eq=False)
class AttemptWait:
    """One attempt as it is waited for."""

    is_fetch: bool  # at the origin
    sent_at: float
    expected_ms: float
    sequence: int  # in the order in which those of its kind were sent
    # its work by the hint, as a multiple of the usual: also of another attempt for it
    cost_factor: float = 1.0
    is_abandoned: bool = False


class AttemptStatistics:
    """Attempts at cache nodes, or fetches."""

    def __init__(self) -> None:
        self.latencies = LatencyHistogram()
        self.sent_count = 0
        self.recent_responses: deque[int] = deque(
            maxlen=REMEMBERED_RESPONSES
        )  # places of the answered ones, the newest last


class AdaptiveTimeout:
    """What one router knows of waiting. Times are milliseconds."""

    def __init__(self) -> None:
        self.cache_attempts, self.origin_fetches = AttemptStatistics(), AttemptStatistics()
        self.budget = TimeoutBudget()
        self.moved_read_hit_rate = MOVED_READ_HIT_RATE
        self._mean_cost_hint = 0.0  # their mean

    def _statistics(self, is_fetch: bool) -> AttemptStatistics:
        return self.origin_fetches if is_fetch else self.cache_attempts

    def start(
        self, now: float, is_fetch: bool, expected_ms: float, cost_hint: float | None = None
    ) -> AttemptWait:
        """An attempt is sent; an ordinary one would have its answer after `expected_ms`. `cost_hint` is of
        its work, in any unit.
        """
        kind = self._statistics(is_fetch)
        dear = self._cost_factor(cost_hint)
        wait = AttemptWait(is_fetch, now, max(MIN_EXPECTED_MS, expected_ms * dear), kind.sent_count, dear)
        kind.sent_count += 1
        return wait

    def _cost_factor(self, cost_hint: float | None) -> float:
        """Its work by the hint, as a multiple of the usual. Half of it counts: hints are rough, and an
        answer's time is not work alone. Guards against heavy requests taken for hung ones.
        """
        if not cost_hint or cost_hint <= 0:
            return 1.0
        self._mean_cost_hint += (cost_hint - self._mean_cost_hint) * (
            HINT_SMOOTHING if self._mean_cost_hint else 1.0
        )
        return max(0.5, min(MAX_COST_FACTOR, 0.5 + 0.5 * cost_hint / self._mean_cost_hint))

    def finish(self, wait: AttemptWait, now: float, was_answered: bool) -> None:
        """It was answered, or is waited for no more."""
        kind = self._statistics(wait.is_fetch)
        ratio = max(0.0, now - wait.sent_at) / wait.expected_ms
        if was_answered:
            kind.recent_responses.append(wait.sequence)
            kind.latencies.record_response(ratio, now)
        else:
            kind.latencies.record_abandoned(ratio, now)

    def count_overtaking(self, wait: AttemptWait) -> int:
        """How many of its kind that were sent later have been answered, as far as that is remembered."""
        return sum(place > wait.sequence for place in self._statistics(wait.is_fetch).recent_responses)

    def _is_hung_by_all_signs(self, wait: AttemptWait, now: float, time_left: float) -> bool:
        """It takes many times what is expected, everything that was answered of late was sent after it, and
        there is hardly a chance left.
        """
        late = (
            now - wait.sent_at >= HUNG_FACTOR * wait.expected_ms
            and self.count_overtaking(wait) == REMEMBERED_RESPONSES
        )
        return late and self.response_probability(wait, now, time_left) <= HUNG_MAX_PROBABILITY

    def is_hung(self, wait: AttemptWait, is_slow: bool) -> bool:
        """Whether it says nothing of load: enough that were sent later were answered before it, and those of
        its kind that are answered are not `is_slow`. Guards the origin's gate against closing for answers
        that never come.
        """
        return not is_slow and self.count_overtaking(wait) >= MIN_OVERTAKING_RESPONSES

    def response_probability(self, wait: AttemptWait, now: float, time_left: float) -> float:
        """The chance that it is answered within `time_left` from now."""
        waited = now - wait.sent_at
        times = self._statistics(wait.is_fetch).latencies
        return times.response_probability(
            waited / wait.expected_ms, (waited + time_left) / wait.expected_ms, now
        )

    def new_attempt_probability(
        self, is_fetch: bool, expected_ms: float, now: float, time_left: float
    ) -> float:
        """The chance that one which is sent now is answered within `time_left`."""
        return self._statistics(is_fetch).latencies.response_probability(
            0.0, time_left / max(MIN_EXPECTED_MS, expected_ms), now
        )

    def retry_probability(
        self, now: float, time_left: float, cache_ms: float | None, fetch_ms: float | None
    ) -> float:
        """The chance of another attempt within `time_left`: at the origin, where a fetch is expected to take
        `fetch_ms`, or else at another cache node, where a hit would take `cache_ms`. Most reads that move
        miss there and go on; no `fetch_ms` where nodes fetch for themselves, so that their answers tell of
        it.
        """
        if fetch_ms is None:
            return 0.0 if cache_ms is None else self.new_attempt_probability(False, cache_ms, now, time_left)
        fetched = self.new_attempt_probability(True, fetch_ms, now, time_left)
        if cache_ms is None:
            return fetched
        return (
            self.moved_read_hit_rate * self.new_attempt_probability(False, cache_ms, now, time_left)
            + (1.0 - self.moved_read_hit_rate) * fetched
        )

    def may_abandon(
        self, wait: AttemptWait, now: float, time_left: float, is_origin_short: bool = False
    ) -> bool:
        """Whether it may be given up at all, by what is quick to tell. While the origin is `is_origin_short`
        a fetch more is what it lacks, and a read that moves mostly needs one: then only what looks hung by
        all signs is given up.
        """
        if (
            now - wait.sent_at < self._min_timeout(wait)
            or not self.budget.has_token()
            or self.count_overtaking(wait) < MIN_OVERTAKING_RESPONSES
        ):
            return False
        return not is_origin_short or self._is_hung_by_all_signs(wait, now, time_left)

    def try_abandon(
        self, wait: AttemptWait, now: float, time_left: float, cache_ms: float | None, fetch_ms: float | None
    ) -> bool:
        """Whether to give one that is ripe up for another one; counts it. `cache_ms` and `fetch_ms` are of an
        ordinary request, see `elsewhere`.
        """
        cache_ms = None if cache_ms is None else cache_ms * wait.cost_factor
        fetch_ms = None if fetch_ms is None else fetch_ms * wait.cost_factor
        if self.retry_probability(
            now, time_left, cache_ms, fetch_ms
        ) - RETRY_PROBABILITY_MARGIN <= self.response_probability(wait, now, time_left):
            return False
        times = self._statistics(wait.is_fetch).latencies
        if now - wait.sent_at < wait.expected_ms * times.optimal_timeout(
            self._retry_cost(wait, cache_ms, fetch_ms), now
        ):
            return False
        self.budget.spend()
        wait.is_abandoned = True
        return True

    @staticmethod
    def _min_timeout(wait: AttemptWait) -> float:
        """What an attempt is given in any case."""
        return max(MIN_TIMEOUT_MS, MIN_TIMEOUT_FACTOR * wait.expected_ms)

    def _retry_cost(self, wait: AttemptWait, cache_ms: float | None, fetch_ms: float | None) -> float:
        """What a new begin costs beside the time that it takes, as a multiple of what this one was expected
        to take: work that is done twice, and a fetch where the read misses.
        """
        if cache_ms is None or fetch_ms is None:
            return REPEATED_WORK_COST
        missed = (1.0 - self.moved_read_hit_rate) * min(fetch_ms, MAX_FETCH_COST_MS)
        return REPEATED_WORK_COST + missed / wait.expected_ms

    def record_success(self, waits: Iterable[AttemptWait]) -> None:
        """A request was answered in time, by the last of these attempts: a restart among them pays for
        itself.
        """
        if any(wait.is_abandoned for wait in waits):
            self.budget.record_success()

    def next_check_at(self, wait: AttemptWait, now: float) -> float:
        """When to look at it for the next time; never, while no restart is left. Ever less often: guards
        a router that is short of CPU, where many wait, against spending it on looks.
        """
        if not self.budget.has_token():
            return float("inf")
        pause = max(
            MIN_CHECK_INTERVAL_MS,
            CHECK_INTERVAL_FACTOR * wait.expected_ms,
            CHECK_INTERVAL_FACTOR * (now - wait.sent_at),
        )
        return max(wait.sent_at + self._min_timeout(wait), now + pause)
