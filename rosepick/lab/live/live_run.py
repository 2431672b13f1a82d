"""Runs an experiment on sockets: stand-ins, clients and real routers in separate processes.

A run is void if the processes of the stand-ins or clients were late: its figures then describe the load of
the machine, not the routers.
"""

from __future__ import annotations

import heapq
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from types import FrameType
from typing import Any

from ..experiment import Experiment
from ..experiment_config import FaultConfig
from ..measure import Measure, MeasuredRequest
from ..model.workload import ScheduledRequest
from ..results import RunCost, RunResult
from . import request_schedule
from .helper_process import HelperProcess, HelperProcessError, last_log_lines, read_result
from .process_start import ProcessStart
from .router_process import LiveRouter, fetch_endpoint_document
from .rule_check import RunObservations, check_rules
from .run_records import LoadResults, RouterDowntime, StandInResults

POLICY = "rosepick"
SET_UP_TIMEOUT_S = 60.0  # includes the time in which the helpers draw all requests
START_DELAY_S = 0.25  # from the time when all processes are ready to the start of the run
POLL_INTERVAL_S = 0.005
SERVING_POLL_INTERVAL_S = 0.02
SERVING_TIMEOUT_S = 0.02  # of one check: a router that does not answer must not delay the schedule of the run
RELOAD_TIMEOUT_S = 0.2  # of the check that a router serves before it is reloaded
MAX_FAULT_LATE_S = 0.25  # a run is void if a fault begins this much after its scheduled time
PROGRESS_INTERVAL_S = 0.1
DONE_TIMEOUT_S = 1.0
FINISH_GRACE_S = 5.0  # time for the clients to finish after the last deadline
ROUTER_STOP_GRACE_S = 3.0  # time for a router to end after SIGTERM, in addition to the longest deadline


def run_live(
    experiment: Experiment,
    seed: int,
    changes: dict[str, Any],
    progress: Callable[[float], None] | None = None,
) -> tuple[RunResult, RunCost]:
    """Run an experiment in real time. All processes are ended also after an error.

    Raises:
        HelperProcessError: stand-ins, clients or a router fail to start or to end.
        ExperimentError: a trace file cannot be used.
    """
    with open_live_run(experiment, seed) as run:
        run.set_up()
        run.run_to_end(progress or (lambda _share: None))
        return run.result(changes)


@contextmanager
def open_live_run(experiment: Experiment, seed: int) -> Iterator[LiveRun]:
    """Open a run; on exit its processes are ended and its folder is removed, also after an error."""
    with (
        tempfile.TemporaryDirectory("", "rosepick-live-", ignore_cleanup_errors=True) as folder,
        _interrupt_on_sigterm(),
    ):
        run = LiveRun(experiment, seed, Path(folder))
        try:
            yield run
        finally:
            run.close()


@contextmanager
def _interrupt_on_sigterm() -> Iterator[None]:
    """Handle SIGTERM like Ctrl-C while the context is open, so that no process is left running."""

    def interrupt(_number: int, _frame: FrameType | None) -> None:
        raise KeyboardInterrupt

    if threading.current_thread() is not threading.main_thread():
        yield
        return
    previous = signal.signal(signal.SIGTERM, interrupt)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, previous)


@dataclass(frozen=True, slots=True)
class UnexpectedExit:
    """A router process that ended without a signal, or did not end after one."""

    at_s: float  # since the start of the run
    router: str
    text: str


class LiveRun:
    """Starts, monitors and stops the processes of one run."""

    def __init__(self, experiment: Experiment, seed: int, folder: Path) -> None:
        self.experiment = experiment
        self.seed = seed
        self.folder = folder
        self.requests = request_schedule.schedule_requests(experiment, seed)
        self.started_at_ms = 0.0  # on the monotonic clock
        self.router_downtimes: list[RouterDowntime] = []
        self.unexpected_exits: list[UnexpectedExit] = []
        self.routers: list[LiveRouter] = []
        self.process_starts: list[ProcessStart] = []  # for each router; empty for the default
        self.max_fault_lateness_s = 0.0  # the largest lateness of a scheduled fault
        self.max_pause_ms = 0.0  # the longest pause of a router, by which answers may be late
        self.helpers: list[HelperProcess] = []
        self._discovery_ports: list[int] = []
        self._known_endpoints: list[dict[str, Any]] = []  # cached endpoint lists by zone
        self._timeline: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._reported_pids: set[int] = set()

    # ------------------------------------------------------------------------------------------ start

    def _initial_message(self, name: str) -> dict[str, Any]:
        return {
            "experiment": self.experiment.model_dump_json(by_alias=True),
            "seed": self.seed,
            "result": str(self.folder / f"{name}.result"),
        }

    def _start_helper(self, name: str, initial_message: dict[str, Any]) -> HelperProcess:
        helper = HelperProcess(name, self.folder / f"{name}.log", initial_message)
        self.helpers.append(helper)
        return helper

    def set_up(self) -> None:
        """Start all processes, wait until they are ready, and start the run."""
        stand_ins = self._start_helper("stand_ins", self._initial_message("stand_ins"))
        ready = stand_ins.receive(SET_UP_TIMEOUT_S)
        self._discovery_ports = ready["discovery"]
        self._known_endpoints = ready["known"]
        for index in range(self.experiment.routers.count):
            router = LiveRouter(self.experiment, index, self.seed, self.folder, self._discovery_ports[index])
            if self.process_starts:
                router.process_start = self.process_starts[index]
            self.routers.append(router)
            router.start(self._known_endpoints[index % len(self._known_endpoints)])
        ports = [router.port for router in self.routers]
        clients = self._start_helper("generator", {**self._initial_message("generator"), "ports": ports})
        for router in self.routers:
            router.wait_ready()
        clients.receive(SET_UP_TIMEOUT_S)
        self.started_at_ms = 1000.0 * (time.monotonic() + START_DELAY_S)
        for helper in self.helpers:
            helper.send({"begin": self.started_at_ms})
        for fault in self.experiment.troubles:
            self._schedule_fault(fault)

    def _schedule_fault(self, fault: FaultConfig) -> None:
        """Schedule a fault of the first `fault.routers` routers, which are affected as in simulated time."""
        affected = self.routers[: fault.routers or 1]
        if fault.kind == "router_kill":
            self._schedule(fault.at, lambda: self._kill_routers(affected, fault.last))
        elif fault.kind == "router_restart":
            self._schedule(fault.at, lambda: self._restart_routers(affected, fault.down))
        elif fault.kind == "router_pause":
            self._schedule(fault.at, lambda: self._pause_routers(affected, fault.last))
        elif fault.kind == "reload":
            self._schedule(fault.at, lambda: self._reload_routers(self.routers[: fault.routers]))

    # ----------------------------------------------------------------------------------------- the run

    def _schedule(self, at_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback `at_s` seconds after the start of the run."""
        heapq.heappush(self._timeline, (at_s, next(self._sequence), callback))

    def _elapsed_s(self) -> float:
        return time.monotonic() - self.started_at_ms / 1000.0

    def run_to_end(self, progress: Callable[[float], None]) -> None:
        """Wait until all requests have ended.

        Raises:
            HelperProcessError: a helper ended, or the clients do not finish in time.
        """
        end_s = self.experiment.length + self._longest_deadline_s()
        next_progress_s = 0.0
        stand_ins, clients = self.helpers
        while not clients.has_message():
            self._step()
            if self._elapsed_s() >= next_progress_s:
                next_progress_s = self._elapsed_s() + PROGRESS_INTERVAL_S
                progress(max(0.0, min(1.0, self._elapsed_s() / end_s)))
            if self._elapsed_s() >= end_s + FINISH_GRACE_S:
                raise HelperProcessError("the clients did not finish in time")
        clients.receive(DONE_TIMEOUT_S)
        stand_ins.send({"end": True})
        stand_ins.receive(SET_UP_TIMEOUT_S)
        self._check_routers()

    def _longest_deadline_s(self) -> float:
        return max(request_class.deadline for request_class in self.experiment.classes)

    def _step(self) -> None:
        while self._timeline and self._timeline[0][0] <= self._elapsed_s():
            due_s, _, callback = heapq.heappop(self._timeline)
            self.max_fault_lateness_s = max(self.max_fault_lateness_s, self._elapsed_s() - due_s)
            callback()
        self._check_routers()
        for helper in self.helpers:
            if helper.process.poll() is not None:
                raise HelperProcessError(f"{helper.name} ended\n{last_log_lines(helper.log_file)}")
        time.sleep(POLL_INTERVAL_S)

    def _check_routers(self) -> None:
        """Record processes of routers that ended without a signal."""
        for router in self.routers:
            for process in router.processes:
                is_unexpected = process.has_ended() and not process.stop_requested
                if is_unexpected and process.pid not in self._reported_pids:
                    self._reported_pids.add(process.pid)
                    text = f"ended unexpectedly with status {process.status}"
                    self.unexpected_exits.append(UnexpectedExit(self._elapsed_s(), router.name, text))
                    print(f"{router.name} {text}\n{last_log_lines(router.log_file)}", file=sys.stderr)

    def _kill_routers(self, routers: list[LiveRouter], restart_after_s: float) -> None:
        for router in routers:
            down = router.kill()
            self.helpers[0].send({"ended": router.index})
            self.router_downtimes.append(
                RouterDowntime(down.router, down.at - self.started_at_ms, down.until - self.started_at_ms)
            )
            if restart_after_s:
                self._start_later(router, restart_after_s)

    def _restart_routers(self, routers: list[LiveRouter], down_s: float) -> None:
        for router in routers:
            router.signal(signal.SIGTERM)
            self._start_later(router, down_s)

    def _pause_routers(self, routers: list[LiveRouter], pause_s: float) -> None:
        """Stop routers with SIGSTOP, and continue them after `pause_s` seconds."""
        for router in routers:
            router.signal(signal.SIGSTOP)
        self._schedule(self._elapsed_s() + pause_s, lambda: self._continue_routers(routers))

    @staticmethod
    def _continue_routers(routers: list[LiveRouter]) -> None:
        for router in routers:
            router.signal(signal.SIGCONT)

    def _start_later(self, router: LiveRouter, delay_s: float) -> None:
        def start() -> None:
            self.helpers[0].send({"ended": router.index})
            router.start(self._last_endpoint_list(router))
            self._await_serving(router)

        self._schedule(self._elapsed_s() + delay_s, start)

    def _last_endpoint_list(self, router: LiveRouter) -> dict[str, Any]:
        """Return the last, possibly stale, endpoint list of a router, with which its next process starts."""
        zone = router.index % len(self._known_endpoints)
        port = self._discovery_ports[self.experiment.routers.count + zone]
        return fetch_endpoint_document(port, self._known_endpoints[zone], router.index)

    def _await_serving(self, router: LiveRouter) -> None:
        """Notify the stand-ins when a started process serves."""
        if router.is_serving(SERVING_TIMEOUT_S):
            self.helpers[0].send({"serving": router.index})
        else:
            self._schedule(self._elapsed_s() + SERVING_POLL_INTERVAL_S, lambda: self._await_serving(router))

    @staticmethod
    def _reload_routers(routers: list[LiveRouter]) -> None:
        for router in routers:
            if router.is_serving(RELOAD_TIMEOUT_S):  # SIGHUP would end a router that is still starting
                router.signal(signal.SIGHUP)

    # ------------------------------------------------------------------------------------------- results

    def _stop_routers(self) -> None:
        timeout_s = ROUTER_STOP_GRACE_S + self._longest_deadline_s()
        for router in self.routers:
            router.signal(signal.SIGTERM)
        for router in self.routers:
            if not router.wait_ended(timeout_s):
                text = f"did not end within {timeout_s:g} s of SIGTERM"
                self.unexpected_exits.append(UnexpectedExit(self._elapsed_s(), router.name, text))
                router.kill()

    def result(self, changes: dict[str, Any]) -> tuple[RunResult, RunCost]:
        """Stop the routers and combine the records of all processes."""
        self._stop_routers()
        stand_in_results: StandInResults = read_result(self.folder / "stand_ins.result", StandInResults)
        load_results: LoadResults = read_result(self.folder / "generator.result", LoadResults)
        measure = self._build_measure(stand_in_results, load_results)
        void_reason = self._void_reason(stand_in_results, load_results)
        run = measure.build_result(self.seed, "live", POLICY, changes, void_reason)
        offered = sum(window.offered for window in run.windows)
        routers_cpu_s = sum(router.cpu_s() for router in self.routers)
        return run, RunCost(
            requests=offered,
            cpu_s=routers_cpu_s + stand_in_results.cpu_s + load_results.cpu_s,
            events=stand_in_results.events,
            decide_us=1e6 * routers_cpu_s / max(1, offered),  # the whole CPU time of the routers
            memory_mb=max(router.memory_mb() for router in self.routers),
        )

    def _build_measure(self, stand_in_results: StandInResults, load_results: LoadResults) -> Measure:
        measure = Measure(self.experiment)
        measure.seconds = stand_in_results.seconds
        measure.fault_spans = stand_in_results.spans
        measure.cold_overloads = stand_in_results.cold_overloads
        measure.violations = stand_in_results.violations

        for request in self.requests:
            measure.record_offered(self._measured(request))
        for ended in load_results.request_ends:
            request = self.requests[ended.number]
            measure.record_ended(self._measured(request), ended.outcome, ended.elapsed_ms)
        for unexpected in self.unexpected_exits:
            at_ms = 1000.0 * unexpected.at_s
            measure.record_violation("answered", "", unexpected.router, at_ms, unexpected.text)
        observations = RunObservations(
            attempts=stand_in_results.attempts,
            tries=load_results.tries,
            router_downtimes=self.router_downtimes,
            nodes_late_ms=stand_in_results.loop_lateness.max_ms,
            clients_late_ms=load_results.loop_lateness.max_ms,
            max_pause_ms=self.max_pause_ms,
        )
        check_rules(measure, observations)
        return measure

    def _measured(self, request: ScheduledRequest) -> MeasuredRequest:
        request_class = self.experiment.classes[request.klass]
        tenants = self.experiment.tenants
        tenant = tenants[request.tenant].name if tenants else ""
        return MeasuredRequest(request.due_ms, request_class.name, tenant, request_class.worth)

    def _void_reason(self, stand_in_results: StandInResults, load_results: LoadResults) -> str:
        """Return why the run is void; empty if it is not."""
        reasons = [
            load_results.send_lateness.void_reason("requests were sent"),
            load_results.loop_lateness.void_reason("the clients' loop was"),
            stand_in_results.loop_lateness.void_reason("the stand-ins' loop was"),
        ]
        if self.max_fault_lateness_s > MAX_FAULT_LATE_S:
            reasons.append(f"a fault came {self.max_fault_lateness_s:.2f} s late")
        for process, fault_count in (
            ("stand-ins", stand_in_results.faults),
            ("clients", load_results.faults),
        ):
            if fault_count:
                reasons.append(f"{fault_count} exceptions in the {process}")
        return "; ".join(filter(None, reasons))

    def close(self) -> None:
        """End all processes, with signals blocked meanwhile, so that no process is left running."""
        signals = {signal.SIGINT, signal.SIGTERM}
        previous = signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        try:
            self._stop_all()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, previous)

    def _stop_all(self) -> None:
        for router in self.routers:
            router.kill()
            router.close()
        for helper in self.helpers:
            helper.stop()
