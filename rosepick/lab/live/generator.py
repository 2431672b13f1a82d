"""Runs the clients of a live run in a process of its own.

The process sends each request at its due time, independently of responses (open loop).
It receives `{"experiment", "seed", "ports", "result"}`, sends `{"requests"}`, receives `{"begin": time}` in
milliseconds of the monotonic clock, and sends `{"done"}` when all requests have ended and its `LoadResults`
are written.
"""

from __future__ import annotations

import time

from ... import logs
from ...net.event_loop import EventLoop
from ..experiment import Experiment
from ..model.workload import ScheduledRequest
from .clients import LiveClients
from .helper_process import (
    ControlMessage,
    ParentChannel,
    freeze_garbage_collector,
    raise_descriptor_limit,
    write_result,
)
from .real_time_kernel import LatenessProbe
from .request_schedule import schedule_requests
from .run_records import Lateness


class LoadGenerator:
    """Generates the load of one run."""

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.lateness_probe = LatenessProbe(self.loop)
        self.clients: LiveClients
        self._scheduled_requests: list[ScheduledRequest] = []
        self._next_index = 0
        self._lateness_ms: list[float] = []
        self._result_path = ""
        self._cpu_at_start_s = 0.0
        self.parent = ParentChannel(self.loop, self._on_message)

    def _on_message(self, message: ControlMessage) -> None:
        if "experiment" in message:
            experiment = Experiment.model_validate_json(message["experiment"])
            self._result_path = message["result"]
            self._scheduled_requests = schedule_requests(experiment, message["seed"])
            self.clients = LiveClients(
                self.loop, experiment, message["seed"], message["ports"], self._on_done
            )
            freeze_garbage_collector()
            self.parent.send({"requests": len(self._scheduled_requests)})
        elif "begin" in message:
            self._cpu_at_start_s = time.process_time()
            self.clients.started_at_ms = message["begin"]
            self.lateness_probe.start(message["begin"])
            self._schedule_next()

    def _schedule_next(self) -> None:
        if self._next_index < len(self._scheduled_requests):
            self.clients.call_at(self._scheduled_requests[self._next_index].due_ms, self._send_due_requests)
        else:
            self.clients.finish_arrivals()

    def _send_due_requests(self) -> None:
        """Send all requests whose due time has come."""
        clients = self.clients
        while self._next_index < len(self._scheduled_requests):
            request = self._scheduled_requests[self._next_index]
            now = clients.now()
            if request.due_ms > now:
                break
            self._next_index += 1
            self._lateness_ms.append(now - request.due_ms)
            clients.on_request_due(request)
        self._schedule_next()

    def _on_done(self) -> None:
        self.clients.close()
        results = self.clients.records
        results.send_lateness = Lateness.from_samples(self._lateness_ms)
        results.loop_lateness = self.lateness_probe.lateness()
        results.pool_waits = sum(pool.wait_count for pool in self.clients.pools)
        results.cpu_s = time.process_time() - self._cpu_at_start_s
        results.faults = self.loop.fault_count
        write_result(self._result_path, results)
        self.parent.send({"done": True})


def main() -> None:
    """Run the load generator until its parent closes the connection."""
    logs.configure_logging()
    raise_descriptor_limit()
    LoadGenerator().loop.run()


if __name__ == "__main__":
    main()
