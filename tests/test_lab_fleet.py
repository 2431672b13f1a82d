"""Tests of simulated fleets: processor time, connection limits, discovery rejections, and zone faults."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from rosepick.lab import experiment, sim
from rosepick.lab.experiment import Experiment, ExperimentError
from rosepick.lab.measure import Measure
from rosepick.lab.model import fault_schedule
from rosepick.lab.model.simulation import Simulation

FLEET_EXPERIMENTS = sorted((Path(__file__).parent.parent / "experiments").glob("fleet-*.toml"))
SMALL = """
name = "f"
length = 4
warm_up = 1
zones = ["a", "b"]
fleet = [{count = 4}]
traffic = {rate = 100}
routers = {count = 10}
"""


def parse_small(changes: dict[str, Any], more: str = "") -> Experiment:
    return experiment.parse_experiment(SMALL + more, "f", changes)


def run_to_end(given: Experiment) -> Simulation:
    """Run a simulation of an experiment to its end."""
    simulation = Simulation(given, 1, Measure(given))
    fault_schedule.schedule_faults(simulation)
    simulation.start()
    simulation.kernel.run(1000.0 * given.length + 3_000.0)
    simulation.finish()
    return simulation


def test_fleet_experiments_exist_and_a_short_run_violates_no_rule() -> None:
    assert [path.stem[6:] for path in FLEET_EXPERIMENTS] == ["calm", "herd", "join", "roll", "split", "zone"]
    for path in FLEET_EXPERIMENTS:
        given = experiment.load_experiment(path)
        assert (given.routers.count, given.fleet[0].count) == (200, 200)
    short = {"routers.count": 20, "fleet.0.count": 20, "traffic.rate": 100, "origin.connections": 12}
    run, _ = sim.run_simulated(experiment.load_experiment(FLEET_EXPERIMENTS[1], short), 1, "rosepick", short)
    assert run.broken == []
    assert run.totals["served_share"] > 0.3
    killed = next(span for span in run.troubles if span.kind == "router_kill")
    assert killed.what.endswith("router-7 and 6 more")


@pytest.mark.parametrize(
    ("changes", "least", "most"),
    [
        ({}, 0.95, 1.0),
        ({"routers.request_us": 500.0, "routers.attempt_us": 500.0}, 0.95, 1.0),  # 1 % of the processor time
        ({"routers.request_us": 50_000.0, "routers.cores": 0.25}, 0.0, 0.6),  # twice the processor time
    ],
)
def test_router_without_processor_time_serves_late(
    changes: dict[str, Any], least: float, most: float
) -> None:
    assert (
        least <= sim.run_simulated(parse_small(changes), 1, "rosepick", {})[0].totals["served_share"] <= most
    )


def test_connection_limit_discovery_patience_and_heavy_routers() -> None:
    slow = {"discovery.call_ms": 300.0}
    assert run_to_end(parse_small(slow)).discovery.rejected_calls == 0
    simulation = run_to_end(
        parse_small(
            {
                **slow,
                "discovery.patience_ms": 500.0,
                "origin.connections": 2,
                "routers.heavy": 0.1,
                "routers.heavy_by": 6.0,
            }
        )
    )
    counts = [router.engine.counts for router in simulation.routers if router is not None]
    assert sum(one["attempt_connection_limit"] for one in counts) > 0
    assert sum(one["attempt_busy"] + one["attempt_connect_failed"] for one in counts) == 0
    assert simulation.origin.connections <= 2
    assert simulation.discovery.rejected_calls > 0
    # rejected routers subscribed again
    assert sum(subscriber.subscribed for subscriber in simulation.discovery.subscribers) > 5
    assert counts[0]["requests"] > 3 * max(one["requests"] for one in counts[1:])


ISOLATE_FAULT = '[[troubles]]\nkind = "isolate"\nat = 1\nfor = 1\n'


@pytest.mark.parametrize(
    ("row", "seen"),
    [
        # a restart takes 0.1 s and a start 0.2 s of processor time at half a core; one begins each 0.2 s
        (
            '[[troubles]]\nkind = "router_restart"\nat = 1\nfor = 2\npart = 1.0\ndown = 0.1\n',
            {1_050: ([0], True), 1_450: ([0, 1, 2], True), 2_950: ([8, 9], True), 3_400: ([], True)},
        ),
        (f'{ISOLATE_FAULT}zone = "b"\n', {500: ([], True), 1_500: ([], False), 2_500: ([], True)}),
    ],
)
def test_routers_restart_by_tenths_and_a_zone_is_isolated(row: str, seen: dict[int, object]) -> None:
    simulation = Simulation(
        given := parse_small({"routers.start_ms": 200.0, "routers.cores": 0.5}, row), 1, Measure(given)
    )
    fault_schedule.schedule_faults(simulation)
    simulation.start()
    for at, wanted in seen.items():
        simulation.kernel.run(float(at))
        gone = [place for place, router in enumerate(simulation.routers) if router is None]
        assert (gone, simulation.network.is_connected(0, 1)) == wanted


@pytest.mark.parametrize(
    ("more", "text"),
    [
        ("", "isolate cuts off one zone"),
        ('zone = "b"\npart = 0.5\nrouters = 2\n', "and `part`"),
    ],
)
def test_invalid_fault_is_reported(more: str, text: str) -> None:
    with pytest.raises(ExperimentError, match=text):
        parse_small({}, ISOLATE_FAULT + more)
