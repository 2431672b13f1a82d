"""Plan of a soak run, drawn from a seed: fleet, overlapping faults and faults inside each router."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..experiment import Experiment, parse_experiment
from .process_faults import ProcessFaults

LENGTH_S = 16.0
QUIET_BEGIN_S = 1.5  # no fault begins earlier, because the fleet has to warm up first
QUIET_END_S = 3.0
HOUR_S = 3_600.0
RESTART_STORM_PROBABILITY = 0.5  # that a plan has a restart of many routers
MAX_PAUSE_S = 0.15  # longest pause of a router

FLEET = """
name = "soak"
warm_up = 0.5
discovery = {delay = 0.3}
clients = {leave = 0.03, one_shot = 0.01, retries = 1}
traffic = {arrivals = "poisson"}
keys = {count = 2000}
classes = [
    {name = "read", share = 8, work_ms = 5, size = 400},
    {name = "set", write = true, work_ms = 5, effect = "dedup", repeat_window = 1.5, aim = 0.7, deadline = 2},
    {name = "fix", write = true, work_ms = 5, effect = "fragile", aim = 0.75, deadline = 1.5},
]
"""

FaultRow = dict[str, Any]
RandomSource = random.Random


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Fleet, load and faults of one seed."""

    seed: int
    experiment: Experiment
    process_faults: tuple[ProcessFaults, ...]  # one entry for each router


def draw_plan(seed: int, routers: int = 16, with_process_faults: bool = True) -> SoakPlan:
    """Draw the plan of a seed.

    Args:
        seed: The seed; the same seed gives the same plan.
        routers: The number of router processes.
        with_process_faults: Whether wall clocks step and system calls fail inside the routers.
    """
    rng = random.Random(f"soak {seed}")
    zones = ["east", "west", "north"][: rng.randint(1, 3)]
    changes = {
        "length": LENGTH_S,
        "zones": zones,
        "routers": {"count": routers},
        "traffic.rate": float(rng.randint(15, 25) * routers),
        "fleet": [{"count": rng.randint(9, 15), "cores": 4}],
        "origin": {"cores": 32, "slots": 64},
        "troubles": _draw_faults(rng, routers),
    }
    faults = tuple(_draw_process_faults(rng, index) for index in range(routers))
    return SoakPlan(
        seed,
        parse_experiment(FLEET, "soak", changes),
        faults if with_process_faults else tuple(ProcessFaults() for _ in range(routers)),
    )


def _draw_faults(rng: RandomSource, routers: int) -> list[FaultRow]:
    faults = [_draw_fault(rng, routers) for _ in range(rng.randint(6, 10))]
    if rng.random() < RESTART_STORM_PROBABILITY:
        faults += _draw_restart_storm(rng, routers)
    return faults


def _draw_restart_storm(rng: RandomSource, routers: int) -> list[FaultRow]:
    """Draw a restart of many routers at once, which overloads discovery while nodes drain."""
    begin = round(rng.uniform(QUIET_BEGIN_S, LENGTH_S - QUIET_END_S - 5.0), 2)
    restarted = max(1, 3 * routers // 4)
    return [
        {"kind": "router_kill", "at": begin, "for": _draw_duration(rng, 0.2, 1.0), "routers": restarted},
        {
            "kind": "discovery_busy",
            "at": begin,
            "for": _draw_duration(rng, 1.5, 4.0),
            "share": rng.choice([0.8, 1.0]),
        },
        {
            "kind": "shrink",
            "at": begin + _draw_duration(rng, 0.5, 1.5),
            "for": 0.5,
            "nodes": rng.randint(2, 4),
        },
    ]


def _draw_fault(rng: RandomSource, routers: int) -> FaultRow:
    kind = rng.choice(sorted(_FAULTS))
    begin = round(rng.uniform(QUIET_BEGIN_S, LENGTH_S - QUIET_END_S - 3.0), 2)
    return {"kind": kind, "at": begin, **_FAULTS[kind](rng, routers)}


def _draw_duration(rng: RandomSource, minimum: float = 0.5, maximum: float = 3.0) -> float:
    return round(rng.uniform(minimum, maximum), 2)


_FAULTS: dict[str, Callable[[RandomSource, int], FaultRow]] = {
    "discovery_busy": lambda rng, _: {"for": _draw_duration(rng), "share": rng.choice([0.5, 0.9, 1.0])},
    "discovery_down": lambda rng, _: {"for": _draw_duration(rng)},
    "discovery_slow": lambda rng, _: {"for": _draw_duration(rng), "by": _draw_duration(rng, 0.2, 3.2)},
    "garbage": lambda rng, _: {"for": _draw_duration(rng), "share": 0.05},
    "hang": lambda rng, _: {"for": _draw_duration(rng), "share": 0.05},
    "refuse": lambda rng, _: {"for": _draw_duration(rng), "nodes": rng.randint(1, 2)},
    "reload": lambda _draw, _: {},
    "replace": lambda rng, _: {"for": _draw_duration(rng), "nodes": rng.randint(1, 3)},
    "reset": lambda rng, _: {"for": _draw_duration(rng), "share": 0.05},
    "restart": lambda rng, _: {"nodes": rng.randint(1, 2), "down": _draw_duration(rng, 0.3, 1.0)},
    "router_kill": lambda rng, routers: {
        "for": _draw_duration(rng, 0.2, 1.5),
        "routers": rng.randint(1, max(1, routers // 2)),
    },
    "router_pause": lambda rng, routers: {
        "for": _draw_duration(rng, 0.05, MAX_PAUSE_S),
        "routers": rng.randint(1, routers),
    },
    "router_restart": lambda rng, routers: {
        "for": 1.0,
        "down": _draw_duration(rng, 0.2, 1.0),
        "routers": rng.randint(1, max(1, routers // 2)),
    },
    "shrink": lambda rng, _: {"for": _draw_duration(rng), "nodes": rng.randint(1, 2)},
    "silent": lambda rng, _: {"for": _draw_duration(rng), "nodes": 1},
    "stale": lambda rng, _: {"for": _draw_duration(rng), "by": _draw_duration(rng, 0.5, 2.0)},
}


def _draw_process_faults(rng: RandomSource, index: int) -> ProcessFaults:
    return ProcessFaults(
        seed=rng.randrange(1 << 30) + index,
        wall_offset_s=rng.choice([0.0, 30.0, -30.0, HOUR_S, -HOUR_S]),
        wall_step_at_s=_draw_duration(rng, 1.0, LENGTH_S),
        wall_step_s=rng.choice([0.0, 5.0, -5.0, HOUR_S, -HOUR_S]),
        failing_share=rng.choice([0.0, 0.0, 0.03]),
        breaking_share=rng.choice([0.0, 0.0, 0.005]),
        short_share=rng.choice([0.0, 0.1]),
        burst_at_s=_draw_duration(rng, 2.0, LENGTH_S),
        burst_s=rng.choice([0.0, 0.0, 0.5]),
    )
