"""Runs all cache nodes, the origin and discovery of a live run in one process, on one event loop.

One process suffices: 1,000 requests per second with 1,500 attempts use a third of a core.

The process receives `{"experiment", "seed", "result"}` and sends the ports of discovery and the cached lists
of the routers. It then receives `{"begin": milliseconds of the monotonic clock}`, `{"ended": router}` and
`{"serving": router}` for each further process of a router, and `{"end": true}`, upon which it writes its
`StandInResults` and sends `{"done"}`.
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
    """Serves the nodes, the origin and discovery of one run, controlled by messages from its parent."""

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
        elif "serving" in message:
            self.simulation.discovery_server.record_process_start(message["serving"])
        elif "ended" in message:
            self.simulation.discovery_server.record_process_end(message["ended"])
        elif "end" in message:
            write_result(self._result_path, self._collect_results())
            self.parent.send({"done": True})

    def _set_up(self, message: ControlMessage) -> None:
        experiment = Experiment.model_validate_json(message["experiment"])
        self._result_path = message["result"]
        self.simulation = LiveSimulation(self.loop, experiment, message["seed"], Measure(experiment))
        self.simulation.open()
        freeze_garbage_collector()
        discovery = self.simulation.discovery_server
        cached_lists = [discovery.initial_document(zone) for zone in range(discovery.zone_count)]
        ports = [listener.port for listener in discovery.listeners]
        self.parent.send({"discovery": ports, "known": cached_lists})

    def _collect_results(self) -> StandInResults:
        simulation = self.simulation
        measure = simulation.measure
        return StandInResults(
            attempts=simulation.attempts,
            seconds=measure.seconds,
            spans=measure.fault_spans,
            violations=measure.violations,
            cold_overloads=measure.cold_overloads,
            loop_lateness=simulation.real_time_kernel.lateness_probe.lateness(),
            cpu_s=time.process_time() - self._cpu_at_start_s,
            events=simulation.kernel.events_run,
            faults=self.loop.fault_count,
        )


def main() -> None:
    """Run the stand-ins until their parent closes the connection."""
    logs.configure_logging()
    raise_descriptor_limit()
    StandIns().loop.run()


if __name__ == "__main__":
    main()
