"""The latency histogram matches known distributions and an optimum found by search."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosepick.attempt_timeouts.latency_histogram import BUCKET_COUNT, LatencyHistogram, bucket_index

from .latency_mixture import DrawRatio, draw_from_mixture


def true_survival_at(draw: DrawRatio, ratio: float) -> float:
    """Return the true share of attempts without a response after `ratio` times the expected latency."""
    rng = random.Random(5)
    return sum(draw(rng) > ratio for _ in range(20_000)) / 20_000


def observe(
    draw: DrawRatio, timeout: float, count: int = 3_000, interval_ms: float = 2.0
) -> LatencyHistogram:
    """Return a histogram of attempts that were abandoned at `timeout` times the expected latency."""
    histogram = LatencyHistogram()
    rng = random.Random(1)
    for n in range(count):
        ratio = draw(rng)
        if ratio <= timeout:
            histogram.record_response(ratio, n * interval_ms)
        else:
            histogram.record_abandoned(timeout, n * interval_ms)
    return histogram


@pytest.mark.parametrize("hung_fraction", [0.0, 0.05, 0.2])
@pytest.mark.parametrize("timeout", [3.0, 8.0])
def test_estimate_matches_known_distributions_also_where_most_of_the_tail_is_censored(
    hung_fraction: float, timeout: float
) -> None:
    draw = draw_from_mixture(hung_fraction)
    histogram = observe(draw, timeout)
    for ratio in (0.3, 0.6, 1.0, 1.5, 2.5):
        assert histogram.survival_at(ratio, 1e9) == pytest.approx(true_survival_at(draw, ratio), abs=0.035)


def test_abandoned_attempts_count() -> None:
    """Guards against estimates that leave abandoned attempts out: all responses would seem fast."""
    with_abandoned = observe(draw_from_mixture(0.2), 1.5)
    responses_only = LatencyHistogram()
    rng = random.Random(1)
    for n in range(3_000):
        ratio = draw_from_mixture(0.2)(rng)
        if ratio <= 1.5:
            responses_only.record_response(ratio, 2.0 * n)
    assert with_abandoned.survival_at(1.4, 1e9) - responses_only.survival_at(1.4, 1e9) > 0.2


def test_change_of_latency_shows_within_seconds() -> None:
    histogram = observe(draw_from_mixture(0.0), 8.0, count=480, interval_ms=12.5)
    before = histogram.response_probability(0.0, 2.0, 6_000.0)
    rng = random.Random(2)
    for n in range(400):  # 80 a second, and all take five times as long
        ratio = 5.0 * draw_from_mixture(0.0)(rng)
        histogram.record_response(ratio, 6_000.0 + 12.5 * n)
    assert before > 0.9
    assert histogram.response_probability(0.0, 2.0, 11_000.0) < 0.6


@given(
    st.lists(st.tuples(st.floats(0, 1e6), st.booleans(), st.floats(0, 1e5)), max_size=60),
    st.floats(0, 100),
    st.floats(0, 100),
    st.floats(0, 100),
)
def test_probabilities_are_bounded_and_monotonic(
    observations: list[tuple[float, bool, float]], a: float, b: float, c: float
) -> None:
    histogram = LatencyHistogram()
    now = 0.0
    for ratio, was_answered, elapsed_ms in observations:
        now += elapsed_ms
        (histogram.record_response if was_answered else histogram.record_abandoned)(ratio, now)
    low, middle, high = sorted((a, b, c))
    assert (
        0.0
        <= histogram.response_probability(low, middle, now)
        <= histogram.response_probability(low, high, now)
        < 1.0
    )
    assert 0.0 < histogram.survival_at(high, now) <= histogram.survival_at(low, now) <= 1.0
    assert 0 <= bucket_index(a) < BUCKET_COUNT


def test_rescaling_keeps_the_estimate() -> None:
    histogram = observe(
        draw_from_mixture(0.1), 3.0, count=20_000, interval_ms=40_000.0
    )  # the weights were rescaled many times
    assert histogram.survival_at(0.01, 1e12) == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize(("hung_fraction", "cost"), [(0.0, 0.5), (0.05, 0.5), (0.2, 0.5), (0.2, 2.0)])
def test_optimal_timeout_matches_the_one_found_by_search(hung_fraction: float, cost: float) -> None:
    draw = draw_from_mixture(hung_fraction)
    histogram = observe(draw, 30.0, interval_ms=0.5)
    rng = random.Random(6)
    ratios = [draw(rng) for _ in range(20_000)]

    def mean_time(timeout: float) -> float:
        """Return the mean time to a response if all attempts are abandoned at the timeout and restarted."""
        answered = [ratio for ratio in ratios if ratio <= timeout]
        spent = sum(answered) + (len(ratios) - len(answered)) * timeout
        return (spent + cost * len(ratios)) / len(answered)

    least = min(mean_time(0.1 * n) for n in range(3, 200))
    assert mean_time(histogram.optimal_timeout(cost, 1e9)) <= 1.03 * least
