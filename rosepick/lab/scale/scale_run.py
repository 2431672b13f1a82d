"""Plays a scale plan on real routers and checks that no request is lost or sent after its final answer."""

from __future__ import annotations

import heapq
import json
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from math import inf
from pathlib import Path
from typing import Any

from ...logs import parse_log_fields
from ...net.client_connection import ROUTER_INITIATED_CLOSES
from ..experiment import Experiment, parse_experiment
from ..live.helper_process import ROOT, child_environment, last_log_lines
from ..live.process_start import ProcessStart
from ..live.router_process import LiveRouter
from .cpu_throttle import CpuThrottle
from .fleet_process import HEARTBEAT_S
from .load_process import LATE_ANSWER_S, LoadRecord, RequestRecord
from .scale_plan import KILL_AFTER_DEADLINE_S, ZONE_NAMES, EndpointTimeline, RouterSignals, ScalePlan

SERVE_ARGUMENTS = ("--capture",)  # routers record captures, as in production
READY_TIMEOUT_S = 30.0
START_DELAY_S = 0.3
POLL_INTERVAL_S = 0.005
READY_POLL_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.2  # from the SIGKILL that follows a SIGTERM to the start of the next process
MAX_RIG_LATE_S = 0.25  # a run is void if its rig sent a request or played a fault later, or paused for longer
MAX_PAUSE_S = 0.15  # a run is void if its CPU throttle stopped the routers for longer
# An attempt that arrives later than this after the end of its request is a violation.
MAX_SEND_AFTER_END_S = 0.1
LOST_OUTCOMES = ("lost", "broken")


@dataclass(slots=True)
class ScaleResult:
    """Outcomes, violations and resource usage of a run."""

    outcomes: Counter[str]
    lost: list[RequestRecord]
    downtimes: list[list[tuple[float, float]]]  # of each router, in seconds of the run
    sent_after_end: int  # attempts that arrived after the end of their request
    by_second: dict[int, Counter[str]]  # outcomes by the second in which the request was sent
    router_cpu_s: float  # of the processes that ran at the end
    router_memory_mb: float  # of the largest of these processes, at the end
    rig_late_s: float
    void: str  # why the run is void; empty if it is valid
    events: Counter[str]  # of the routers' logs, by name
    unanswered_closes: int  # connections that a router closed by choice before their answer, from its log
    logs: list[str]

    def is_broken(self) -> bool:
        """Return whether a request was lost, an attempt came after the end, or an invariant was violated."""
        return bool(
            self.lost or self.sent_after_end or self.unanswered_closes or self.events["invariant_violated"]
        )

    def lost_lines(self) -> list[str]:
        """Return a line for each lost request, with the downtimes of its router."""
        return [
            f"{request.request_id} at router-{request.router}: {request.outcome}, sent {request.sent_s:.4f}, "
            f"ended {request.ended_s:.4f}, router down {self.downtimes[request.router]}"
            for request in self.lost
        ]

    def line(self) -> str:
        """Return the result as one line."""
        outcomes = " ".join(f"{name} {number}" for name, number in sorted(self.outcomes.items()))
        parts = [
            outcomes,
            f"lost {len(self.lost)}, sent after the end {self.sent_after_end}",
            f"closed unanswered {self.unanswered_closes}, violations {self.events['invariant_violated']}",
            f"routers {self.router_cpu_s:.2f} s CPU, {self.router_memory_mb:.0f} MB",
            f"rig {1000 * self.rig_late_s:.0f} ms late",
        ]
        return "; ".join([*parts, f"void: {self.void}"] if self.void else parts)


class StandInProcess:
    """A process of the test rig, with JSON lines on its standard input and output."""

    def __init__(self, module: str, message: dict[str, Any]) -> None:
        self._popen = subprocess.Popen(
            [sys.executable, "-m", f"{__package__}.{module}"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=child_environment(),
            text=True,
        )
        self.send(message)

    def send(self, message: dict[str, Any]) -> None:
        """Send a message as one line."""
        assert self._popen.stdin is not None
        self._popen.stdin.write(json.dumps(message) + "\n")
        self._popen.stdin.flush()

    def receive(self) -> dict[str, Any]:
        """Wait for a line and return its message."""
        assert self._popen.stdout is not None
        received: dict[str, Any] = json.loads(self._popen.stdout.readline())
        return received

    def end_input(self) -> None:
        """Close the input of the process, which makes it write its record."""
        assert self._popen.stdin is not None
        self._popen.stdin.close()

    def close(self) -> None:
        """Kill the process and close its streams."""
        self._popen.kill()
        self._popen.wait()
        for stream in (self._popen.stdin, self._popen.stdout):
            if stream is not None and not stream.closed:
                stream.close()


def experiment_for(plan: ScalePlan) -> Experiment:
    """Return the experiment from which the routers of a plan get their settings."""
    return parse_experiment(
        f"""
        name = "scale"
        length = {plan.length_s}
        zones = {list(ZONE_NAMES)}
        routers.count = {max(plan.routers, 40)}
        routers.sockets = {plan.sockets}
        traffic = {{rate = {plan.rate * plan.routers}}}
        classes = [{{name = "read", aim = {plan.deadline_s / 2}, deadline = {plan.deadline_s}}}]
        fleet = [{{count = {plan.nodes}}}]
        """,
        "scale",
        {},
    )


class ScaleRun:
    """Starts the processes of one run, plays its faults and collects the result."""

    def __init__(self, plan: ScalePlan, folder: Path) -> None:
        self.plan = plan
        self.begin_s = time.monotonic()  # begin of the run on the monotonic clock
        self.unix_ms = 1000.0 * time.time()  # begin of the run in Unix time
        self.max_fault_lateness_s = 0.0  # longest delay of a scheduled fault
        self.routers: list[LiveRouter] = []
        self.downtimes: list[list[tuple[float, float]]] = [[] for _ in range(plan.routers)]
        self.clients: StandInProcess | None = None
        self.fleet = StandInProcess("fleet_process", plan.to_document())
        self._ports = self.fleet.receive()
        experiment = experiment_for(plan)
        for index in range(plan.routers):
            router = LiveRouter(experiment, index, plan.seed, folder, self._ports["discovery"])
            router.process_start = ProcessStart(arguments=SERVE_ARGUMENTS)
            self.routers.append(router)
        # Heap of faults: time in seconds of the run, sequence number for equal times, and call.
        self._scheduled_faults: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._cpu_throttle = CpuThrottle(plan.cpu_share, self._router_pids)

    def _router_pids(self) -> list[int]:
        processes = [process for router in self.routers for process in router.processes]
        return [process.pid for process in processes if not process.has_ended()]

    def _endpoint_timeline(self) -> EndpointTimeline:
        return EndpointTimeline(self.plan, self._ports["nodes"], self._ports["origin"], self.unix_ms)

    def _begin_in(self, delay_s: float) -> None:
        """Set the begin of the run to `delay_s` seconds from now, also in the stand-ins."""
        self.begin_s = time.monotonic() + delay_s
        self.unix_ms = 1000.0 * (time.time() + delay_s)
        self.fleet.send({"begin_s": self.begin_s, "unix_ms": self.unix_ms})

    def now_s(self) -> float:
        """Return the seconds since the begin of the run."""
        return time.monotonic() - self.begin_s

    def set_up(self) -> None:
        """Start all routers, wait until they serve, start the clients and schedule the faults.

        Raises:
            TimeoutError: A router does not serve within `READY_TIMEOUT_S`.
        """
        self._begin_in(READY_TIMEOUT_S)  # the endpoint list does not change before the begin
        for router in self.routers:
            router.start(self._endpoint_timeline().full_document(EndpointTimeline.FIRST_REVISION))
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(router.is_serving() for router in self.routers):
            if time.monotonic() >= deadline:
                raise TimeoutError(f"a router does not serve\n{last_log_lines(self.routers[0].log_file)}")
            time.sleep(READY_POLL_INTERVAL_S)
        self._begin_in(START_DELAY_S)
        ports = [router.port for router in self.routers]
        message = {"plan": self.plan.to_document(), "ports": ports, "begin_s": self.begin_s}
        self.clients = StandInProcess("load_process", message)
        for kill in self.plan.kills:
            affected = self.routers[: kill.routers]
            self._schedule(kill.at_s, partial(self._kill, affected))
            self._schedule(kill.at_s + kill.down_s, partial(self._restart, affected))
        for series in self.plan.signals:
            self._schedule_signals(series)

    def _schedule_signals(self, series: RouterSignals) -> None:
        router = self.routers[series.router]
        for number, name in enumerate(series.names):
            at_s = series.at_s + number * series.spacing_s
            self._schedule(at_s, partial(self._signal, router, signal.Signals[name]))
        if "SIGTERM" in series.names:
            first_s = series.at_s + series.names.index("SIGTERM") * series.spacing_s
            kill_s = first_s + self.plan.deadline_s + KILL_AFTER_DEADLINE_S
            self._schedule(kill_s, partial(self._kill_after_sigterm, router))
            self._schedule(kill_s + RESTART_DELAY_S, partial(self._start_with_current_list, router))

    @staticmethod
    def _signal(router: LiveRouter, number: int) -> None:
        """Signal a router; unlike after `_kill`, a request without an answer counts as lost."""
        router.processes[-1].signal(number)

    def _kill_after_sigterm(self, router: LiveRouter) -> None:
        """Kill a router, and let its clients connect again."""
        assert self.clients is not None
        self._signal(router, signal.SIGKILL)
        self.clients.send({"killed_router": router.index})

    def _start_with_current_list(self, router: LiveRouter) -> None:
        timeline = self._endpoint_timeline()
        router.start(timeline.full_document(timeline.revision_at(self.now_s())))

    def _schedule(self, at_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._scheduled_faults, (at_s, next(self._sequence), callback))

    def _kill(self, routers: list[LiveRouter]) -> None:
        for router in routers:
            # Recorded before the kill, because clients notice the kill at once.
            self.downtimes[router.index].append((self.now_s(), inf))
            router.processes[-1].signal(signal.SIGKILL)

    def _restart(self, routers: list[LiveRouter]) -> None:
        """Start routers again, with the endpoint list at the time of their kill."""
        timeline = self._endpoint_timeline()
        for router in routers:
            killed_s = self.downtimes[router.index][-1][0]
            self.downtimes[router.index][-1] = killed_s, self.now_s()
            router.start(timeline.full_document(timeline.revision_at(killed_s)))

    def run_to_end(self) -> None:
        """Play the scheduled faults, and wait until the clients have ended."""
        self._cpu_throttle.start()
        end_s = self.plan.length_s + self.plan.deadline_s + LATE_ANSWER_S
        while self.now_s() < end_s:
            while self._scheduled_faults and self._scheduled_faults[0][0] <= self.now_s():
                due_s, _, callback = heapq.heappop(self._scheduled_faults)
                callback()
                self.max_fault_lateness_s = max(self.max_fault_lateness_s, self.now_s() - due_s)
            time.sleep(POLL_INTERVAL_S)

    def result(self) -> ScaleResult:
        """Collect the records of the processes and return the result."""
        assert self.clients is not None
        load = _load_record(self.clients.receive())
        self.fleet.end_input()
        fleet = self.fleet.receive()
        self._cpu_throttle.close()
        logs = [router.log_file.read_text("utf-8", "replace") for router in self.routers]
        rig_late_s = max(
            [
                load.max_send_late_s,
                self.max_fault_lateness_s,
                *(end - begin for begin, end in load.late_periods),
            ]
        )
        longest_stop_s = self._cpu_throttle.longest_stop_s
        lost = [request for request in load.requests if self._is_lost(request, load.late_periods)]
        by_second: dict[int, Counter[str]] = {}
        for request in load.requests:
            by_second.setdefault(int(request.sent_s), Counter())[request.outcome] += 1
        return ScaleResult(
            outcomes=Counter(request.outcome for request in load.requests),
            lost=lost,
            downtimes=self.downtimes,
            sent_after_end=_sent_after_end(load, fleet["attempts"]),
            by_second=by_second,
            router_cpu_s=sum(
                process.cpu_so_far_s() for router in self.routers for process in router.processes
            ),
            router_memory_mb=self._sample_memory_mb(),
            rig_late_s=rig_late_s,
            void=_void_reason(rig_late_s, longest_stop_s),
            events=Counter(
                parse_log_fields(line).get("event", "") for log in logs for line in log.splitlines()
            ),
            unanswered_closes=sum(map(_count_unanswered_closes, logs)),
            logs=logs,
        )

    def _sample_memory_mb(self) -> float:
        """Return the memory of the largest router, in MB."""
        for router in self.routers:
            router.signal(0)  # has the side effect of taking a sample
        return max(router.memory_mb() for router in self.routers)

    def _is_lost(self, request: RequestRecord, late_periods: list[tuple[float, float]]) -> bool:
        """Return whether its router lost a request, rather than a kill or a pause of the client process."""
        if request.outcome not in LOST_OUTCOMES:
            return False
        if any(begin <= request.ended_s <= end + HEARTBEAT_S for begin, end in late_periods):
            return False  # the answer may have arrived while the client process did not run
        downtimes = self.downtimes[request.router]
        return not any(begin <= request.ended_s and request.sent_s <= end for begin, end in downtimes)

    def close(self) -> None:
        """Kill all processes."""
        self._cpu_throttle.close()
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.kill()
            router.close()
        for process in (self.fleet, self.clients):
            if process is not None:
                process.close()


def _void_reason(rig_late_s: float, longest_stop_s: float) -> str:
    """Return why a run is void; empty if it is valid."""
    if rig_late_s > MAX_RIG_LATE_S:
        return f"the rig was {rig_late_s:.2f} s late"
    if longest_stop_s > MAX_PAUSE_S:
        return f"routers were stopped for {longest_stop_s:.2f} s"
    return ""


def _count_unanswered_closes(log: str) -> int:
    """Return how many lines of a log report a close by the router's own choice before the answer."""
    lines = [parse_log_fields(line) for line in log.splitlines() if "connection_closed_unanswered" in line]
    own_reasons = {reason.value for reason in ROUTER_INITIATED_CLOSES}
    return sum(fields.get("reason") in own_reasons for fields in lines)


def _load_record(document: dict[str, Any]) -> LoadRecord:
    requests = [RequestRecord(**entry) for entry in document["requests"]]
    late_periods = [(begin, end) for begin, end in document["late_periods"]]
    return LoadRecord(requests, document["max_send_late_s"], late_periods)


def _sent_after_end(load: LoadRecord, attempts: list[tuple[str, float]]) -> int:
    """Return how many attempts arrived more than `MAX_SEND_AFTER_END_S` after the end of their request."""
    ended_s = {request.request_id: request.ended_s for request in load.requests if request.ended_s}
    return sum(at_s > ended_s.get(request_id, inf) + MAX_SEND_AFTER_END_S for request_id, at_s in attempts)


def play_scale(plan: ScalePlan) -> ScaleResult:
    """Play a plan and return its result. All processes are killed at the end, also after an error.

    Raises:
        TimeoutError: A router does not serve within `READY_TIMEOUT_S`.
    """
    with tempfile.TemporaryDirectory("", "rosepick-scale-", ignore_cleanup_errors=True) as folder:
        run = ScaleRun(plan, Path(folder))
        try:
            run.set_up()
            run.run_to_end()
            return run.result()
        finally:
            run.close()
