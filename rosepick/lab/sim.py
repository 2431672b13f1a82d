"""Plays an experiment in simulated time: routers' own engine and decisions, everything else a model."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from typing import Any

from ..core.ports import DecisionModule
from ..decisions import api
from .experiment import Experiment
from .measure import Measure
from .model import fault_schedule
from .model.ground_truth import FleetGroundTruth
from .model.simulation import Simulation
from .policies import Oracle
from .policies import create_decider as plain
from .results import RunCost, RunResult

FINISH_GRACE_MS = 2_000.0  # milliseconds beyond the longest deadline: all that is owed is given by then
PROGRESS_STEPS = 100  # in so many parts progress is told


class TimedDecider:
    """A decider, and how long it takes; wall time, since one process plays a run alone."""

    def __init__(self, decider: DecisionModule) -> None:
        self._decider = decider
        self.actions = decider.actions
        self.spent_ns = 0  # nanoseconds

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide."""
        begin = time.perf_counter_ns()
        try:
            return self._decider.handle(now, event)
        finally:
            self.actions = self._decider.actions
            self.spent_ns += time.perf_counter_ns() - begin


def run_simulated(
    experiment: Experiment,
    seed: int,
    policy: str,
    changes: dict[str, Any],
    progress: Callable[[float], None] | None = None,
) -> tuple[RunResult, RunCost]:
    """One run. The same experiment, seed, policy and revision give the same result, byte for byte.
    ExperimentError if it has troubles that are played on sockets only; ValueError for an unknown policy.
    """
    measure = Measure(experiment)
    deciders: list[TimedDecider] = []

    def make(settings: api.RouterSettings, router_seed: int, world: Simulation) -> DecisionModule:
        made = plain(policy, settings, router_seed)
        if isinstance(made, Oracle):
            made.ground_truth = FleetGroundTruth(world, experiment.classes[0].work_ms)
        deciders.append(TimedDecider(made))
        return deciders[-1]

    begin = time.process_time()
    world = Simulation(experiment, seed, measure, make)
    fault_schedule.schedule_faults(world)
    world.start()
    end = 1000.0 * (experiment.length + max(one.deadline for one in experiment.classes)) + FINISH_GRACE_MS
    for step in range(1, PROGRESS_STEPS + 1):
        world.kernel.run(end * step / PROGRESS_STEPS)
        if progress is not None:
            progress(step / PROGRESS_STEPS)
    world.finish()
    spent = time.process_time() - begin
    run = measure.build_result(seed, "sim", policy, changes)
    offered = sum(window.offered for window in run.windows)
    cost = RunCost(
        requests=offered,
        cpu_s=spent,
        events=world.kernel.events_run,
        decide_us=sum(one.spent_ns for one in deciders) / 1000.0 / max(1, offered),
        memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
    )
    return run, cost
