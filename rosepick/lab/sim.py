"""Plays an experiment in simulated time: routers' own engine and decisions, everything else a model."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from typing import Any

from ..core.engine import Decider
from ..decisions import api
from .experiment import Experiment
from .measure import Measure
from .policies import Oracle
from .policies import decider as plain
from .results import Cost, Run
from .world import troubles
from .world.world import Truth, World

AFTER = 2_000.0  # milliseconds beyond the longest deadline: all that is owed is given by then
STEPS = 100  # in so many parts progress is told


class Timed:
    """A decider, and how long it takes; wall time, since one process plays a run alone."""

    def __init__(self, decider: Decider) -> None:
        self._decider = decider
        self.actions = decider.actions
        self.spent = 0  # nanoseconds

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide."""
        begin = time.perf_counter_ns()
        try:
            return self._decider.handle(now, event)
        finally:
            self.actions = self._decider.actions
            self.spent += time.perf_counter_ns() - begin


def play(
    experiment: Experiment,
    seed: int,
    policy: str,
    changes: dict[str, Any],
    progress: Callable[[float], None] | None = None,
) -> tuple[Run, Cost]:
    """One run. The same experiment, seed, policy and revision give the same result, byte for byte.
    ExperimentError if it has troubles that are played on sockets only; ValueError for an unknown policy.
    """
    measure = Measure(experiment)
    deciders: list[Timed] = []

    def make(settings: api.Settings, router_seed: int, world: World) -> Decider:
        made = plain(policy, settings, router_seed)
        if isinstance(made, Oracle):
            made.truth = Truth(world, experiment.classes[0].work_ms)
        deciders.append(Timed(made))
        return deciders[-1]

    begin = time.process_time()
    world = World(experiment, seed, measure, make)
    troubles.set_up(world)
    world.start()
    end = 1000.0 * (experiment.length + max(one.deadline for one in experiment.classes)) + AFTER
    for step in range(1, STEPS + 1):
        world.kernel.run(end * step / STEPS)
        if progress is not None:
            progress(step / STEPS)
    world.finish()
    spent = time.process_time() - begin
    run = measure.run(seed, "sim", policy, changes)
    offered = sum(window.offered for window in run.windows)
    cost = Cost(
        requests=offered,
        cpu_s=spent,
        events=world.kernel.events,
        decide_us=sum(one.spent for one in deciders) / 1000.0 / max(1, offered),
        memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
    )
    return run, cost
