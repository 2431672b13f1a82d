"""Tests of the estimated connection limit of clients and of their opening rate."""

from __future__ import annotations

import pytest

from rosepick.connections.connection_table import CloseReason
from rosepick.connections.limit_estimator import ClientActivity, ConnectionLimitEstimator
from rosepick.connections.opening_rate import REVIEW_INTERVAL_MS

from .connection_simulation import ListenerSimulation


def stopped_clients(
    held: int = 50, inactive: int = 40, rate: float = 200.0, last_opened_at: float = 0.0
) -> ClientActivity:
    """Return the activity of clients that appear to have stopped opening connections."""
    return ClientActivity(held, inactive, rate, last_opened_at)


def test_configured_limit_is_not_learned() -> None:
    estimator = ConnectionLimitEstimator(384, 50)
    estimator.record_held_count(60)
    assert estimator.limit == 50
    assert not estimator.start_probe(10_000.0, stopped_clients(held=40))


def test_limit_rises_if_more_connections_are_held() -> None:
    estimator = ConnectionLimitEstimator(384)
    assert estimator.limit == 128
    estimator.record_held_count(140)
    assert estimator.limit > 140 * 1.2


def test_probe_after_a_stop_is_confirmed_only_by_enough_openings() -> None:
    estimator = ConnectionLimitEstimator(384)
    assert not estimator.start_probe(100.0, stopped_clients())  # too early: the gap may be random
    assert not estimator.start_probe(400.0, stopped_clients(inactive=0))  # no connection to close
    assert not estimator.start_probe(400.0, stopped_clients(rate=5.0))  # too few openings before
    assert not estimator.start_probe(400.0, stopped_clients(held=7))  # fewer than the minimum limit
    assert estimator.start_probe(400.0, stopped_clients()) == 5
    for _ in range(3):
        estimator.record_opening(
            450.0, 50
        )  # fewer openings than the five closes, so the probe is not confirmed
    estimator.advance_time(900.0)  # the next probe starts a second later
    assert not estimator.start_probe(1_000.0, stopped_clients())
    assert estimator.start_probe(2_100.0, stopped_clients()) == 5
    for _ in range(4):
        estimator.record_opening(2_150.0, 50)
    assert (estimator.limit, estimator.is_learned) == (50, True)
    estimator.advance_time(12_000.0)
    assert estimator.is_learned
    estimator.advance_time(12_200.0)  # the estimate expires after ten seconds
    assert (estimator.limit, estimator.is_learned) == (128, False)
    estimator.reconfigure(200, None)
    assert estimator.limit == 66


def test_probe_closes_only_inactive_connections() -> None:
    estimator = ConnectionLimitEstimator(384)
    assert estimator.start_probe(400.0, stopped_clients(inactive=1)) == 1
    simulation = ListenerSimulation(client_limit=1_000)
    inactive_counts: list[int] = []

    def record_activity(now: float, activity: ClientActivity) -> int:
        inactive_counts.append(activity.inactive_count)
        return 0

    simulation.policy.headroom.limit_estimator.start_probe = record_activity  # type: ignore[method-assign]
    simulation.pass_time(990.0)
    for _ in range(20):
        record = simulation.connect()
        simulation.begin_request(record)
        simulation.table.record_response(record, 200)
        simulation.table.mark_idle(record, simulation.now)
    simulation.pass_time(10.0)
    assert inactive_counts[-1] == 0  # all are idle, but for less than the minimum age
    simulation.pass_time(3_000.0)
    assert inactive_counts[-1] == 20


def test_rejected_connections_do_not_change_the_opening_rate_of_the_others() -> None:
    """In each interval ten connections are opened for requests, and none or fifty others are rejected."""
    rates = []
    for rejected_count in (0, 50):
        simulation = ListenerSimulation(client_limit=1_000)
        for _ in range(10):
            for _ in range(rejected_count):
                simulation.close(simulation.connect("rejected"), CloseReason.ADDRESS_QUOTA)
            for _ in range(10):
                simulation.request_once(duration_ms=1.0)
            simulation.pass_time(REVIEW_INTERVAL_MS)
        rates.append(simulation.policy.headroom.opening_rate.net_rate(simulation.now))
    assert rates[0] == pytest.approx(rates[1])
    assert rates[0] > 20.0


@pytest.mark.parametrize(
    ("held_counts", "inactive", "is_probed"),
    [
        (
            [40, 39, 40, 40] * 10,
            30,
            True,
        ),  # openings continue, but the number of held connections is constant
        ([40, 39, 40, 40] * 10, 10, False),  # few of them are inactive
        ([30 + n % 12 for n in range(40)], 30, False),  # the number of held connections changes
        ([40] * 9, 30, False),  # too few openings
    ],
)
def test_probe_starts_on_a_plateau_of_mostly_inactive_connections(
    held_counts: list[int], inactive: int, is_probed: bool
) -> None:
    estimator = ConnectionLimitEstimator(384)
    for held_count in held_counts:
        estimator.record_opening(400.0, held_count)
    assert bool(estimator.start_probe(600.0, stopped_clients(40, inactive, 100.0, 590.0))) == is_probed
    if is_probed:
        for _ in range(40):  # thirty openings are usual in this time
            estimator.record_opening(700.0, 40)
        assert not estimator.is_learned
        for _ in range(2):
            estimator.record_opening(700.0, 40)
        assert (estimator.limit, estimator.is_learned) == (40, True)
