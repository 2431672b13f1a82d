"""The process of the stand-ins: all cache nodes, the origin and discovery of a run on one loop. One process
is enough: 1,000 requests a second, with 1,500 attempts, take it a third of a core.

It hears `{"experiment", "seed", "result"}`, says where discovery listens and what routers hold at first,
hears `{"begin": milliseconds on the monotonic clock}` and `{"end": true}`, and leaves a `Seen`.
"""

from __future__ import annotations

import time

from ... import logs
from ...net.event_loop import EventLoop
from ..experiment import Experiment
from ..measure import Measure
from .helper_process import (
    ControlMessage,
    ParentChannel,
    freeze_garbage_collector,
    raise_descriptor_limit,
    write_result,
)
from .live_simulation import LiveSimulation
from .run_records import StandInResults


class StandIns:
    """One run's stand-ins."""

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.simulation: LiveSimulation
        self._result_path = ""
        self._cpu_at_start_s = 0.0
        self.parent = ParentChannel(self.loop, self._on_message)

    def _on_message(self, message: ControlMessage) -> None:
        if "experiment" in message:
            self._set_up(message)
        elif "begin" in message:
            self._cpu_at_start_s = time.process_time()
            self.simulation.start_at(message["begin"])
        elif "end" in message:
            write_result(self._result_path, self._collect_results())
            self.parent.send({"done": True})

    def _set_up(self, message: ControlMessage) -> None:
        experiment = Experiment.model_validate_json(message["experiment"])
        self._result_path = message["result"]
        self.simulation = world = LiveSimulation(self.loop, experiment, message["seed"], Measure(experiment))
        world.open()
        freeze_garbage_collector()
        known = [
            world.discovery_server.initial_document(zone) for zone in range(world.discovery_server.zones)
        ]
        doors = [door.port for door in world.discovery_server.listeners]
        self.parent.send({"discovery": doors, "known": known})

    def _collect_results(self) -> StandInResults:
        world, measure = self.simulation, self.simulation.measure
        return StandInResults(
            attempts=world.attempts,
            seconds=measure.seconds,
            spans=measure.spans,
            violations=measure.violations,
            cold_overloads=measure.cold_overloads,
            loop_lateness=world.real_time_kernel.lateness_probe.lateness(),
            cpu_s=time.process_time() - self._cpu_at_start_s,
            events=world.kernel.events_run,
            faults=self.loop.fault_count,
        )


def main() -> None:
    """Serve until who started us has gone."""
    logs.configure_logging()
    raise_descriptor_limit()
    StandIns().loop.run()


if __name__ == "__main__":
    main()
