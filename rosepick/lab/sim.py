"""Runs an experiment in simulated time, with real engines and decisions in a simulated environment."""

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
from .policies import Oracle, create_decider
from .results import RunCost, RunResult

FINISH_GRACE_MS = 2_000.0  # time from the last deadline until all requests must be answered
PROGRESS_STEPS = 100  # steps of a run, after each of which progress is reported


class TimedDecider:
    """Measures the wall time of a decider, in a process that runs one experiment only."""

    def __init__(self, decider: DecisionModule) -> None:
        self._decider = decider
        self.actions = decider.actions
        self.spent_ns = 0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle one event, and return the actions."""
        started_ns = time.perf_counter_ns()
        try:
            return self._decider.handle(now, event)
        finally:
            self.actions = self._decider.actions
            self.spent_ns += time.perf_counter_ns() - started_ns


def run_simulated(
    experiment: Experiment,
    seed: int,
    policy: str,
    changes: dict[str, Any],
    progress: Callable[[float], None] | None = None,
) -> tuple[RunResult, RunCost]:
    """Run an experiment in simulated time, and return its result and cost.

    The same experiment, seed, policy and revision give the same result, byte for byte. `progress` is called
    with the completed share, 0 to 1.

    Raises:
        ExperimentError: the experiment has faults that can be injected on sockets only.
        ValueError: there is no such policy.
    """
    measure = Measure(experiment)
    deciders: list[TimedDecider] = []

    def create_timed_decider(
        settings: api.RouterSettings, router_seed: int, simulation: Simulation
    ) -> DecisionModule:
        decider = create_decider(policy, settings, router_seed)
        if isinstance(decider, Oracle):
            decider.ground_truth = FleetGroundTruth(simulation, experiment.classes[0].work_ms)
        deciders.append(TimedDecider(decider))
        return deciders[-1]

    started_s = time.process_time()
    simulation = Simulation(experiment, seed, measure, create_timed_decider)
    _run_to_end(simulation, progress)
    cpu_s = time.process_time() - started_s
    run = measure.build_result(seed, "sim", policy, changes)
    offered = sum(window.offered for window in run.windows)
    cost = RunCost(
        requests=offered,
        cpu_s=cpu_s,
        events=simulation.kernel.events_run,
        decide_us=sum(decider.spent_ns for decider in deciders) / 1000.0 / max(1, offered),
        memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
    )
    return run, cost


def _run_to_end(simulation: Simulation, progress: Callable[[float], None] | None) -> None:
    """Run a simulation until all requests must be answered; `progress` gets the completed share."""
    experiment = simulation.experiment
    fault_schedule.schedule_faults(simulation)
    simulation.start()
    longest_deadline_s = max(request_class.deadline for request_class in experiment.classes)
    end_ms = 1000.0 * (experiment.length + longest_deadline_s) + FINISH_GRACE_MS
    for step in range(1, PROGRESS_STEPS + 1):
        simulation.kernel.run(end_ms * step / PROGRESS_STEPS)
        if progress is not None:
            progress(step / PROGRESS_STEPS)
    simulation.finish()
