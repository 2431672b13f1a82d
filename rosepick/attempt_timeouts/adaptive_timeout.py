"""Decides whether to abandon an attempt for another one that is more likely to be answered in time.

Two conditions must hold. First, by the distribution of latencies, which includes attempts that never end, a
new attempt is more likely to be answered in the time left than this one, by more than its cost. Second,
attempts that were sent later have been answered: this shows that this attempt hangs, rather than that all
attempts are slow, whatever latencies were observed before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .latency_histogram import LatencyHistogram
from .timeout_budget import TimeoutBudget

REMEMBERED_RESPONSES = 32  # recent responses remembered for each kind of attempt
HUNG_FACTOR = 6.0  # least wait, as a multiple of the expected latency, of an attempt that is surely hung
HUNG_MAX_PROBABILITY = 0.05  # greatest probability of a response for an attempt that is surely hung
MIN_OVERTAKING_RESPONSES = 5  # responses to later attempts before an attempt is abandoned
# The probability of another attempt must be greater by this: work is wasted, and the cache may miss.
RETRY_PROBABILITY_MARGIN = 0.3
MIN_TIMEOUT_MS = 50.0  # no attempt is abandoned earlier
MIN_TIMEOUT_FACTOR = 1.5  # nor before this multiple of its expected latency
# Least time between two checks of an attempt, as a share of the expected latency and of the wait so far.
CHECK_INTERVAL_FACTOR = 0.5
MIN_CHECK_INTERVAL_MS = 20.0
REPEATED_WORK_COST = 0.5  # cost of work done twice, as a multiple of the expected latency
MAX_FETCH_COST_MS = 1_000.0  # a fetch counts as no more than this in the cost of a retry
MOVED_READ_HIT_RATE = 0.3  # share of hits among reads that move to another cache node
HINT_SMOOTHING = 0.02  # weight of a new cost hint in the mean
HINT_WEIGHT = 0.5  # share of a hint that counts: hints are rough, and latency depends on more than work
MIN_COST_FACTOR = 0.5  # least work of a request by its hint, as a multiple of the usual
MAX_COST_FACTOR = 4.0  # greatest work of a request by its hint
MIN_EXPECTED_MS = 1.0


@dataclass(slots=True, eq=False)
class AttemptWait:
    """An attempt that awaits its response. Times are milliseconds."""

    is_fetch: bool  # whether it was sent to the origin
    sent_at: float
    expected_ms: float
    sequence: int  # its number among the attempts of its kind, in the order of sending
    cost_factor: float = 1.0  # work of its request by the cost hint, as a multiple of the usual
    is_abandoned: bool = False


class AttemptStatistics:
    """The observations of one kind of attempt: requests to cache nodes, or fetches from the origin."""

    def __init__(self) -> None:
        self.latencies = LatencyHistogram()
        self.sent_count = 0
        # sequence numbers of the attempts answered most recently, newest last
        self.recent_responses: deque[int] = deque(maxlen=REMEMBERED_RESPONSES)


class AdaptiveTimeout:
    """The timeouts of one router's attempts. Times are milliseconds.

    The parameters `cache_ms` and `fetch_ms` are the expected latencies of a hit at another cache node and of
    a fetch from the origin. `cache_ms` is None if there is no other cache node. `fetch_ms` is None if nodes
    fetch by themselves (read-through), so that their latencies include the fetch.
    """

    def __init__(self) -> None:
        self.cache_attempts = AttemptStatistics()
        self.origin_fetches = AttemptStatistics()
        self.budget = TimeoutBudget()
        self.moved_read_hit_rate = MOVED_READ_HIT_RATE
        self._mean_cost_hint = 0.0  # 0 before any hint

    def _statistics(self, is_fetch: bool) -> AttemptStatistics:
        return self.origin_fetches if is_fetch else self.cache_attempts

    def start(
        self, now: float, is_fetch: bool, expected_ms: float, cost_hint: float | None = None
    ) -> AttemptWait:
        """Register an attempt that is sent now.

        Args:
            now: the present time.
            is_fetch: whether it goes to the origin.
            expected_ms: the expected latency of an ordinary request.
            cost_hint: the work of this request, in any unit.
        """
        statistics = self._statistics(is_fetch)
        cost_factor = self._cost_factor(cost_hint)
        sequence = statistics.sent_count
        wait = AttemptWait(
            is_fetch, now, max(MIN_EXPECTED_MS, expected_ms * cost_factor), sequence, cost_factor
        )
        statistics.sent_count += 1
        return wait

    def _cost_factor(self, cost_hint: float | None) -> float:
        """Return the work of a request as a multiple of the usual; the hint counts in part.

        Guards against treating expensive requests as hung attempts.
        """
        if not cost_hint or cost_hint <= 0:
            return 1.0
        weight = HINT_SMOOTHING if self._mean_cost_hint else 1.0
        self._mean_cost_hint += (cost_hint - self._mean_cost_hint) * weight
        factor = (1.0 - HINT_WEIGHT) + HINT_WEIGHT * cost_hint / self._mean_cost_hint
        return max(MIN_COST_FACTOR, min(MAX_COST_FACTOR, factor))

    def finish(self, wait: AttemptWait, now: float, was_answered: bool) -> None:
        """Record that an attempt was answered, or no longer awaits a response."""
        statistics = self._statistics(wait.is_fetch)
        ratio = max(0.0, now - wait.sent_at) / wait.expected_ms
        if was_answered:
            statistics.recent_responses.append(wait.sequence)
            statistics.latencies.record_response(ratio, now)
        else:
            statistics.latencies.record_abandoned(ratio, now)

    def count_overtaking(self, wait: AttemptWait) -> int:
        """Return how many remembered responses are to attempts of the same kind that were sent later."""
        recent = self._statistics(wait.is_fetch).recent_responses
        return sum(sequence > wait.sequence for sequence in recent)

    def _is_surely_hung(self, wait: AttemptWait, now: float, time_left: float) -> bool:
        """Return whether an attempt is very late, overtaken by all recent responses, and unlikely to end."""
        is_overtaken = (
            now - wait.sent_at >= HUNG_FACTOR * wait.expected_ms
            and self.count_overtaking(wait) == REMEMBERED_RESPONSES
        )
        return is_overtaken and self.response_probability(wait, now, time_left) <= HUNG_MAX_PROBABILITY

    def is_hung(self, wait: AttemptWait, is_slow: bool) -> bool:
        """Return whether the lateness of an attempt is no sign of load.

        This is the case if enough later attempts were answered before it, and the answered attempts of its
        kind are not slow. Guards against closing the origin's admission because of responses that never
        come.

        Args:
            wait: the attempt.
            is_slow: whether the answered attempts of its kind are slow.
        """
        return not is_slow and self.count_overtaking(wait) >= MIN_OVERTAKING_RESPONSES

    def response_probability(self, wait: AttemptWait, now: float, time_left: float) -> float:
        """Return the probability that an attempt is answered within `time_left` ms from now."""
        waited = now - wait.sent_at
        latencies = self._statistics(wait.is_fetch).latencies
        return latencies.response_probability(
            waited / wait.expected_ms, (waited + time_left) / wait.expected_ms, now
        )

    def new_attempt_probability(
        self, is_fetch: bool, expected_ms: float, now: float, time_left: float
    ) -> float:
        """Return the probability that an attempt sent now is answered within `time_left` ms."""
        return self._statistics(is_fetch).latencies.response_probability(
            0.0, time_left / max(MIN_EXPECTED_MS, expected_ms), now
        )

    def retry_probability(
        self, now: float, time_left: float, cache_ms: float | None, fetch_ms: float | None
    ) -> float:
        """Return the probability that another attempt succeeds within `time_left` ms.

        The attempt goes to another cache node if there is one. Most reads that move there miss and are then
        fetched from the origin.
        """
        if fetch_ms is None:
            return 0.0 if cache_ms is None else self.new_attempt_probability(False, cache_ms, now, time_left)
        fetch_probability = self.new_attempt_probability(True, fetch_ms, now, time_left)
        if cache_ms is None:
            return fetch_probability
        return (
            self.moved_read_hit_rate * self.new_attempt_probability(False, cache_ms, now, time_left)
            + (1.0 - self.moved_read_hit_rate) * fetch_probability
        )

    def may_abandon(
        self, wait: AttemptWait, now: float, time_left: float, is_origin_short: bool = False
    ) -> bool:
        """Return whether an attempt may be abandoned at all; a quick check before `try_abandon`.

        With `is_origin_short` the origin has no capacity for another fetch, which a read that moves mostly
        needs. Then only an attempt that is surely hung is abandoned.
        """
        if (
            now - wait.sent_at < self._min_timeout(wait)
            or not self.budget.has_token()
            or self.count_overtaking(wait) < MIN_OVERTAKING_RESPONSES
        ):
            return False
        return not is_origin_short or self._is_surely_hung(wait, now, time_left)

    def try_abandon(
        self, wait: AttemptWait, now: float, time_left: float, cache_ms: float | None, fetch_ms: float | None
    ) -> bool:
        """Abandon an attempt if another one has a better chance, and return whether it was abandoned.

        `cache_ms` and `fetch_ms` are the latencies of an ordinary request.
        """
        cache_ms = None if cache_ms is None else cache_ms * wait.cost_factor
        fetch_ms = None if fetch_ms is None else fetch_ms * wait.cost_factor
        retry_probability = self.retry_probability(now, time_left, cache_ms, fetch_ms)
        if retry_probability - RETRY_PROBABILITY_MARGIN <= self.response_probability(wait, now, time_left):
            return False
        latencies = self._statistics(wait.is_fetch).latencies
        optimal_timeout = latencies.optimal_timeout(self._retry_cost(wait, cache_ms, fetch_ms), now)
        if now - wait.sent_at < wait.expected_ms * optimal_timeout:
            return False
        self.budget.spend()
        wait.is_abandoned = True
        return True

    @staticmethod
    def _min_timeout(wait: AttemptWait) -> float:
        """Return the least time, in ms, before an attempt may be abandoned."""
        return max(MIN_TIMEOUT_MS, MIN_TIMEOUT_FACTOR * wait.expected_ms)

    def _retry_cost(self, wait: AttemptWait, cache_ms: float | None, fetch_ms: float | None) -> float:
        """Return the cost of a restart beside its time, as a multiple of the attempt's expected latency.

        The cost is the work done twice, and a fetch if the read misses.
        """
        if cache_ms is None or fetch_ms is None:
            return REPEATED_WORK_COST
        miss_cost_ms = (1.0 - self.moved_read_hit_rate) * min(fetch_ms, MAX_FETCH_COST_MS)
        return REPEATED_WORK_COST + miss_cost_ms / wait.expected_ms

    def record_success(self, waits: Iterable[AttemptWait]) -> None:
        """Record that a request was answered in time by the last of these attempts.

        If an earlier one was abandoned, the budget gets a token back.
        """
        if any(wait.is_abandoned for wait in waits):
            self.budget.record_success()

    def next_check_at(self, wait: AttemptWait, now: float) -> float:
        """Return when to check an attempt next; infinity while the budget is empty.

        The interval grows with the wait, so that checks take little CPU time while many requests wait.
        """
        if not self.budget.has_token():
            return float("inf")
        interval_ms = max(
            MIN_CHECK_INTERVAL_MS,
            CHECK_INTERVAL_FACTOR * wait.expected_ms,
            CHECK_INTERVAL_FACTOR * (now - wait.sent_at),
        )
        return max(wait.sent_at + self._min_timeout(wait), now + interval_ms)
