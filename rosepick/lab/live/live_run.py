"""Plays an experiment on sockets: stand-ins and clients in processes of their own, routers as they are in
service.

A run is void if its own processes were late: then what was measured is this machine, not the routers.
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
from itertools import count
from pathlib import Path
from types import FrameType
from typing import Any

from ..experiment import Experiment, FaultConfig
from ..measure import Measure
from ..results import RunCost, RunResult
from . import request_schedule
from .helper_process import HelperProcess, HelperProcessError, last_log_lines, read_result
from .router_process import LiveRouter, fetch_endpoint_document
from .rule_check import check_rules
from .run_records import LoadResults, RouterDowntime, StandInResults

POLICY = "rosepick"
SET_UP_TIMEOUT_S = 60.0  # seconds, to draw all requests
START_DELAY_S = 0.25  # seconds from when all are ready until the run begins
POLL_INTERVAL_S, PROGRESS_INTERVAL_S = 0.005, 0.1
FINISH_GRACE_S = 5.0  # seconds after the last deadline within which clients must be through
ROUTER_STOP_GRACE_S = 3.0  # seconds beyond the longest deadline that a router has to end


def run_live(
    experiment: Experiment,
    seed: int,
    changes: dict[str, Any],
    progress: Callable[[float], None] | None = None,
) -> tuple[RunResult, RunCost]:
    """One run in real time. Its processes are ended whatever happens. HelperFailed if one of ours fails;
    ExperimentError if a trace cannot be used.
    """
    with open_live_run(experiment, seed) as stage:
        stage.set_up()
        stage.run_to_end(progress or (lambda part: None))
        return stage.result(changes)


@contextmanager
def open_live_run(experiment: Experiment, seed: int) -> Iterator[LiveRun]:
    """What plays one run. Its processes are ended and its folder is removed whatever happens."""
    with (
        tempfile.TemporaryDirectory("", "rosepick-live-", ignore_cleanup_errors=True) as folder,
        _interrupt_on_sigterm(),
    ):
        stage = LiveRun(experiment, seed, Path(folder))
        try:
            yield stage
        finally:
            stage.close()


@contextmanager
def _interrupt_on_sigterm() -> Iterator[None]:
    """SIGTERM ends a run as Ctrl-C does. Guards against processes that are left behind."""

    def interrupt(number: int, frame: FrameType | None) -> None:
        raise KeyboardInterrupt

    if threading.current_thread() is not threading.main_thread():
        yield
        return
    before = signal.signal(signal.SIGTERM, interrupt)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)


class LiveRun:
    """All processes of one run."""

    def __init__(self, experiment: Experiment, seed: int, folder: Path) -> None:
        self.experiment, self.seed, self.folder = experiment, seed, folder
        self.requests = request_schedule.schedule_requests(experiment, seed)
        self.started_at_ms = 0.0  # on the monotonic clock, in milliseconds
        self.router_downtimes: list[RouterDowntime] = []
        self.unexpected_exits: list[
            tuple[float, str, str]
        ] = []  # routers that ended unasked: when, which, how
        self.routers: list[LiveRouter] = []
        self.helpers: list[HelperProcess] = []
        self._discovery_ports: list[int] = []  # where discovery listens
        self._known_endpoints: list[dict[str, Any]] = []  # the list as last held, by zone
        self._timeline: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._reported_pids: set[int] = set()  # processes that ended unasked

    # ------------------------------------------------------------------------------------------ its begin

    def _initial_message(self, name: str) -> dict[str, Any]:
        return {
            "experiment": self.experiment.model_dump_json(by_alias=True),
            "seed": self.seed,
            "result": str(self.folder / f"{name}.result"),
        }

    def _start_helper(self, name: str, job: dict[str, Any]) -> HelperProcess:
        helper = HelperProcess(name, self.folder / f"{name}.log", job)
        self.helpers.append(helper)
        return helper

    def set_up(self) -> None:
        """Start everything, and wait until all is ready."""
        nodes = self._start_helper("stand_ins", self._initial_message("stand_ins"))
        told = nodes.receive(SET_UP_TIMEOUT_S)
        self._discovery_ports, self._known_endpoints = told["discovery"], told["known"]
        for place in range(self.experiment.routers.count):
            router = LiveRouter(self.experiment, place, self.seed, self.folder, self._discovery_ports[place])
            self.routers.append(router)
            router.start(self._known_endpoints[place % len(self._known_endpoints)])
        ports = [router.port for router in self.routers]
        clients = self._start_helper("generator", {**self._initial_message("generator"), "ports": ports})
        for router in self.routers:
            router.wait_ready()
        clients.receive(SET_UP_TIMEOUT_S)
        self.started_at_ms = 1000.0 * (time.monotonic() + START_DELAY_S)
        for helper in self.helpers:
            helper.send({"begin": self.started_at_ms})
        for trouble in self.experiment.troubles:
            self._schedule_fault(trouble)

    def _schedule_fault(self, fault: FaultConfig) -> None:
        """Routers' troubles are played here; the first ones are met, as in simulated time."""
        met = self.routers[: fault.routers or 1]
        if fault.kind == "router_kill":
            self._schedule(fault.at, lambda: self._kill_routers(met, fault.last))
        elif fault.kind == "router_restart":
            self._schedule(fault.at, lambda: self._restart_routers(met, fault.down))
        elif fault.kind == "reload":
            self._schedule(fault.at, lambda: self._reload_routers(self.routers[: fault.routers]))

    # ----------------------------------------------------------------------------------------- its course

    def _schedule(self, when: float, call: Callable[[], None]) -> None:
        """Call so many seconds after the run's begin."""
        heapq.heappush(self._timeline, (when, next(self._sequence), call))

    def _elapsed_s(self) -> float:
        return time.monotonic() - self.started_at_ms / 1000.0

    def run_to_end(self, progress: Callable[[float], None]) -> None:
        """Until all requests have their end."""
        longest = max(one.deadline for one in self.experiment.classes)
        end, told = self.experiment.length + longest, 0.0
        nodes, clients = self.helpers
        while not clients.has_message():
            self._step()
            if self._elapsed_s() >= told:
                told = self._elapsed_s() + PROGRESS_INTERVAL_S
                progress(max(0.0, min(1.0, self._elapsed_s() / end)))
            if self._elapsed_s() >= end + FINISH_GRACE_S:
                raise HelperProcessError("the clients do not come to their end")
        clients.receive(1.0)
        nodes.send({"end": True})
        nodes.receive(SET_UP_TIMEOUT_S)
        self._check_routers()

    def _step(self) -> None:
        while self._timeline and self._timeline[0][0] <= self._elapsed_s():
            heapq.heappop(self._timeline)[2]()
        self._check_routers()
        for helper in self.helpers:
            if helper.process.poll() is not None:
                raise HelperProcessError(f"{helper.name} ended\n{last_log_lines(helper.log_file)}")
        time.sleep(POLL_INTERVAL_S)

    def _check_routers(self) -> None:
        """Notice processes of routers that ended unasked."""
        for router in self.routers:
            for process in router.processes:
                if (
                    process.has_ended()
                    and not process.stop_requested
                    and process.pid not in self._reported_pids
                ):
                    self._reported_pids.add(process.pid)
                    text = f"ended unasked with status {process.status}"
                    self.unexpected_exits.append((self._elapsed_s(), router.name, text))
                    print(f"{router.name} {text}\n{last_log_lines(router.log_file)}", file=sys.stderr)

    def _kill_routers(self, routers: list[LiveRouter], restart_after_s: float) -> None:
        for router in routers:
            down = router.kill()
            self.router_downtimes.append(
                RouterDowntime(down.router, down.at - self.started_at_ms, down.until - self.started_at_ms)
            )
            if restart_after_s:
                self._start_later(router, restart_after_s)

    def _restart_routers(self, routers: list[LiveRouter], down_s: float) -> None:
        for router in routers:
            router.signal(signal.SIGTERM)
            self._start_later(router, down_s)

    def _start_later(self, router: LiveRouter, delay_s: float) -> None:
        def start() -> None:
            zone = router.index % len(self._known_endpoints)
            door = self._discovery_ports[self.experiment.routers.count + zone]
            self._known_endpoints[zone] = fetch_endpoint_document(door, self._known_endpoints[zone])
            router.start(self._known_endpoints[zone])

        self._schedule(self._elapsed_s() + delay_s, start)

    @staticmethod
    def _reload_routers(routers: list[LiveRouter]) -> None:
        for router in routers:
            if router.is_serving():  # guards against a signal to one that starts, and would end by it
                router.signal(signal.SIGHUP)

    # ------------------------------------------------------------------------------------------- its end

    def _stop_routers(self) -> None:
        within = ROUTER_STOP_GRACE_S + max(one.deadline for one in self.experiment.classes)
        for router in self.routers:
            router.signal(signal.SIGTERM)
        for router in self.routers:
            if not router.wait_ended(within):
                self.unexpected_exits.append(
                    (self._elapsed_s(), router.name, f"did not end within {within:g} s of SIGTERM")
                )
                router.kill()

    def result(self, changes: dict[str, Any]) -> tuple[RunResult, RunCost]:
        """End the routers, and put together what all have seen."""
        self._stop_routers()
        seen: StandInResults = read_result(self.folder / "stand_ins.result", StandInResults)
        asked: LoadResults = read_result(self.folder / "generator.result", LoadResults)
        measure = self._build_measure(seen, asked)
        run = measure.build_result(self.seed, "live", POLICY, changes, self._void_reason(seen, asked))
        offered = sum(window.offered for window in run.windows)
        routers = sum(router.cpu_s() for router in self.routers)
        return run, RunCost(
            requests=offered,
            cpu_s=routers + seen.cpu_s + asked.cpu_s,
            events=seen.events,
            decide_us=1e6 * routers / max(1, offered),  # all that routers do: their CPU seen from outside
            memory_mb=max(router.memory_mb() for router in self.routers),
        )

    def _build_measure(self, stand_in_results: StandInResults, load_results: LoadResults) -> Measure:
        given = self.experiment
        measure = Measure(given)
        measure.seconds, measure.spans, measure.cold_overloads = (
            stand_in_results.seconds,
            stand_in_results.spans,
            stand_in_results.cold_overloads,
        )
        measure.violations = stand_in_results.violations

        def of(number: int) -> tuple[float, str, str, float]:
            request = self.requests[number]
            one = given.classes[request.klass]
            tenant = given.tenants[request.tenant].name if given.tenants else ""
            return request.due_ms, one.name, tenant, one.worth

        for request in self.requests:
            measure.record_offered(*of(request.number))
        for ended in load_results.request_ends:
            measure.record_ended(*of(ended.number), ended.outcome, ended.elapsed_ms)
        for at, name, text in self.unexpected_exits:
            measure.record_violation("answered", "", name, 1000.0 * at, text)
        check_rules(
            given,
            measure,
            stand_in_results.attempts,
            load_results.tries,
            self.router_downtimes,
            stand_in_results.loop_lateness.max_ms,
            load_results.loop_lateness.max_ms,
        )
        return measure

    @staticmethod
    def _void_reason(stand_in_results: StandInResults, load_results: LoadResults) -> str:
        """Why the run counts for nothing; empty if it counts."""
        faults = [
            load_results.send_lateness.void_reason("requests were sent"),
            load_results.loop_lateness.void_reason("the clients' loop was"),
            stand_in_results.loop_lateness.void_reason("the stand-ins' loop was"),
        ]
        for who, how_many in (("stand-ins", stand_in_results.faults), ("clients", load_results.faults)):
            if how_many:
                faults.append(f"{how_many} exceptions in the {who}")
        return "; ".join(filter(None, faults))

    def close(self) -> None:
        """End all that still runs. Signals wait meanwhile, so that nothing is left behind."""
        signals = {signal.SIGINT, signal.SIGTERM}
        before = signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        try:
            self._stop_all()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    def _stop_all(self) -> None:
        for router in self.routers:
            router.kill()
            router.close()
        for helper in self.helpers:
            helper.stop()
