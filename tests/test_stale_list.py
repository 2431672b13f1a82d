"""Tests with real processes that a router does not use a stale endpoint list that it could not confirm."""

from __future__ import annotations

from typing import Any

import pytest

from rosepick.lab.experiment import Experiment, parse_experiment
from rosepick.lab.live.live_run import run_live
from rosepick.lab.live.notification_tracker import (
    MAX_CALL_GAP_MS,
    MAX_NOTIFICATION_DELAY_MS,
    NotificationTracker,
)

NODE = 7

# Half of the fleet drains while the routers are down, or while discovery rejects the calls that they make at
# their start. Restarted routers are configured with the last list that they had.
FLEET = """
name = "stale list"
length = 7.0
routers.count = 3
traffic = {rate = 200, arrivals = "regular"}
discovery = {delay = 0.1}
classes = [{name = "read", work = "fixed", work_ms = 2, size = 300}]
fleet = [{count = 8, cores = 4}]
"""


def fleet_with(*faults: dict[str, Any]) -> Experiment:
    """Return the fleet's experiment with faults."""
    return parse_experiment(FLEET, "test", {"troubles": list(faults)})


def violations_of(experiment: Experiment, seed: int) -> list[str]:
    """Run an experiment with real processes; return the violations of the rule on drains."""
    run, _ = run_live(experiment, seed, {})
    assert run.totals["served_share"] > 0.3
    return [f"{one.at:.0f} {one.node}: {one.text}" for one in run.broken if one.rule == "drains"]


@pytest.mark.parametrize("seed", [1, 2])
def test_a_drain_while_discovery_rejects_calls_of_restarted_routers(seed: int) -> None:
    experiment = fleet_with(
        {"kind": "router_kill", "at": 1.0, "for": 0.6, "routers": 2},
        {"kind": "discovery_busy", "at": 1.0, "for": 3.5, "share": 1.0},
        {"kind": "shrink", "at": 2.6, "for": 0.1, "nodes": 4},
    )
    assert violations_of(experiment, seed) == []


ALL_AT_ONCE = {"router_kill": 1.0, "discovery_busy": 1.0, "shrink": 1.0}
OTHER_ORDERS = {
    "all at once": ALL_AT_ONCE,
    "drain, busy, kill": {"shrink": 1.0, "discovery_busy": 1.4, "router_kill": 1.8},
    "busy, drain, kill": {"discovery_busy": 1.0, "shrink": 1.3, "router_kill": 1.5},
    "kill, drain, busy": {"router_kill": 1.0, "shrink": 1.3, "discovery_busy": 1.5},
}


def in_order(begins: dict[str, float], routers: int) -> list[dict[str, Any]]:
    """Return the three faults, which begin at the given seconds, with `routers` routers killed."""
    return [
        {"kind": "router_kill", "at": begins["router_kill"], "for": 0.6, "routers": routers},
        {"kind": "discovery_busy", "at": begins["discovery_busy"], "for": 3.0, "share": 1.0},
        {"kind": "shrink", "at": begins["shrink"], "for": 0.1, "nodes": 4},
    ]


@pytest.mark.parametrize("order", OTHER_ORDERS)
def test_the_same_faults_in_another_order(order: str) -> None:
    assert violations_of(fleet_with(*in_order(OTHER_ORDERS[order], 3)), 3) == []


@pytest.mark.parametrize("routers", [1, 12])
def test_the_same_faults_with_one_router_and_with_twelve(routers: int) -> None:
    changes = {"routers.count": routers, "troubles": in_order(ALL_AT_ONCE, routers)}
    assert violations_of(parse_experiment(FLEET, "test", changes), 4) == []


@pytest.mark.parametrize("seed", [1, 2])
def test_a_drain_while_the_routers_are_down(seed: int) -> None:
    experiment = fleet_with(
        {"kind": "router_kill", "at": 1.0, "for": 1.5, "routers": 3},
        {"kind": "shrink", "at": 1.2, "for": 0.1, "nodes": 4},
    )
    assert violations_of(experiment, seed) == []


def test_an_answer_that_arrives_just_after_the_call_timed_out() -> None:
    """Discovery writes the answer just after the timeout of the call; the answer counts from then on."""
    experiment = fleet_with(
        {"kind": "discovery_slow", "at": 0.5, "for": 5.0, "by": 3.16},
        {"kind": "router_kill", "at": 1.0, "for": 0.6, "routers": 3},
        {"kind": "shrink", "at": 2.6, "for": 0.1, "nodes": 4},
    )
    assert violations_of(experiment, 1) == []


def known_since(tracker: NotificationTracker, now: float, drained_at: float = 100.0) -> float | None:
    """Return from when on the router counts as notified that the node drains, for an attempt at `now`."""
    return tracker.drain_known_at(now, NODE, drained_at, 2)


def test_a_written_notification_counts_from_the_time_of_writing() -> None:
    tracker = NotificationTracker()
    tracker.record_call()
    assert known_since(tracker, 5_000.0) is None  # the call is open: discovery has written nothing
    tracker.record_drain(5_100.0, NODE, 2)
    assert known_since(tracker, 5_200.0) == 5_100.0


def test_a_restarted_process_counts_as_notified_until_it_is_sent_a_list() -> None:
    tracker = NotificationTracker()
    tracker.record_process_end()
    tracker.record_process_start(1_000.0)
    assert known_since(tracker, 999.0 + MAX_CALL_GAP_MS) is None
    tracker.record_call()
    tracker.record_call_failed()  # the call was rejected
    assert known_since(tracker, 1_001.0 + MAX_CALL_GAP_MS) == 1_000.0 + MAX_CALL_GAP_MS
    written = NotificationTracker()
    written.record_process_end()
    written.record_process_start(1_000.0)
    written.record_call()
    written.record_answer(1_200.0)
    written.record_call()
    assert known_since(written, 5_000.0, drained_at=1_500.0) is None


def test_a_drain_in_a_gap_after_an_answer_counts_from_the_drain() -> None:
    tracker = NotificationTracker()
    tracker.record_call()
    tracker.record_answer(1_000.0)
    assert known_since(tracker, 2_000.0, drained_at=1_500.0) == 1_500.0


def test_after_a_failed_call_a_drain_counts_six_seconds_later() -> None:
    tracker = NotificationTracker()
    tracker.record_call()
    tracker.record_call_failed()
    assert known_since(tracker, 99.0 + MAX_NOTIFICATION_DELAY_MS) is None
    assert known_since(tracker, 101.0 + MAX_NOTIFICATION_DELAY_MS) == 100.0 + MAX_NOTIFICATION_DELAY_MS


def test_no_notification_counts_while_the_router_or_discovery_is_down() -> None:
    tracker = NotificationTracker()
    tracker.record_process_end()
    assert known_since(tracker, 50_000.0) is None
    tracker.record_process_start(50_000.0)
    tracker.record_availability(50_100.0, available=False)
    assert known_since(tracker, 90_000.0) is None
    tracker.record_availability(90_000.0, available=True)
    assert known_since(tracker, 90_000.0 + MAX_CALL_GAP_MS - 1.0) is None
    assert known_since(tracker, 90_001.0 + MAX_CALL_GAP_MS) == 90_000.0 + MAX_CALL_GAP_MS
