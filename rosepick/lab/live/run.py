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

from ..experiment import Experiment, Trouble
from ..measure import Measure
from ..results import Cost, Run
from . import plan
from .control import Helper, HelperFailed, handed_over, tail
from .judge import judge
from .records import Asked, Down, Seen
from .routers import RealRouter, list_at

POLICY = "rosepick"
SET_UP_WITHIN = 60.0  # seconds, to draw all requests
LEAD = 0.25  # seconds from when all are ready until the run begins
STEP, TELL_EVERY = 0.005, 0.1
AFTER = 5.0  # seconds after the last deadline within which clients must be through
END_WITHIN = 3.0  # seconds beyond the longest deadline that a router has to end


def play(
    experiment: Experiment,
    seed: int,
    changes: dict[str, Any],
    progress: Callable[[float], None] | None = None,
) -> tuple[Run, Cost]:
    """One run in real time. Its processes are ended whatever happens. HelperFailed if one of ours fails;
    ExperimentError if a trace cannot be used.
    """
    with staged(experiment, seed) as stage:
        stage.set_up()
        stage.go_on(progress or (lambda part: None))
        return stage.result(changes)


@contextmanager
def staged(experiment: Experiment, seed: int) -> Iterator[Stage]:
    """What plays one run. Its processes are ended and its folder is removed whatever happens."""
    with tempfile.TemporaryDirectory("", "rosepick-live-", ignore_cleanup_errors=True) as folder, _ended():
        stage = Stage(experiment, seed, Path(folder))
        try:
            yield stage
        finally:
            stage.close()


@contextmanager
def _ended() -> Iterator[None]:
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


class Stage:
    """All processes of one run."""

    def __init__(self, experiment: Experiment, seed: int, folder: Path) -> None:
        self.experiment, self.seed, self.folder = experiment, seed, folder
        self.requests = plan.requests(experiment, seed)
        self.begin = 0.0  # on the monotonic clock, in milliseconds
        self.downs: list[Down] = []
        self.died: list[tuple[float, str, str]] = []  # routers that ended unasked: when, which, how
        self.routers: list[RealRouter] = []
        self.helpers: list[Helper] = []
        self._doors: list[int] = []  # where discovery listens
        self._known: list[dict[str, Any]] = []  # the list as last held, by zone
        self._timeline: list[tuple[float, int, Callable[[], None]]] = []
        self._count = count()
        self._noticed: set[int] = set()  # processes that ended unasked

    # ------------------------------------------------------------------------------------------ its begin

    def _job(self, name: str) -> dict[str, Any]:
        return {
            "experiment": self.experiment.model_dump_json(by_alias=True),
            "seed": self.seed,
            "result": str(self.folder / f"{name}.result"),
        }

    def _helper(self, name: str, job: dict[str, Any]) -> Helper:
        helper = Helper(name, self.folder / f"{name}.log", job)
        self.helpers.append(helper)
        return helper

    def set_up(self) -> None:
        """Start everything, and wait until all is ready."""
        nodes = self._helper("stand_ins", self._job("stand_ins"))
        told = nodes.hear(SET_UP_WITHIN)
        self._doors, self._known = told["discovery"], told["known"]
        for place in range(self.experiment.routers.count):
            router = RealRouter(self.experiment, place, self.seed, self.folder, self._doors[place])
            self.routers.append(router)
            router.start(self._known[place % len(self._known)])
        ports = [router.port for router in self.routers]
        clients = self._helper("generator", {**self._job("generator"), "ports": ports})
        for router in self.routers:
            router.wait_ready()
        clients.hear(SET_UP_WITHIN)
        self.begin = 1000.0 * (time.monotonic() + LEAD)
        for helper in self.helpers:
            helper.tell({"begin": self.begin})
        for trouble in self.experiment.troubles:
            self._set(trouble)

    def _set(self, trouble: Trouble) -> None:
        """Routers' troubles are played here; the first ones are met, as in simulated time."""
        met = self.routers[: trouble.routers or 1]
        if trouble.kind == "router_kill":
            self._at(trouble.at, lambda: self._kill(met, trouble.last))
        elif trouble.kind == "router_restart":
            self._at(trouble.at, lambda: self._restart(met, trouble.down))
        elif trouble.kind == "reload":
            self._at(trouble.at, lambda: self._reload(self.routers[: trouble.routers]))

    # ----------------------------------------------------------------------------------------- its course

    def _at(self, when: float, call: Callable[[], None]) -> None:
        """Call so many seconds after the run's begin."""
        heapq.heappush(self._timeline, (when, next(self._count), call))

    def _now(self) -> float:
        return time.monotonic() - self.begin / 1000.0

    def go_on(self, progress: Callable[[float], None]) -> None:
        """Until all requests have their end."""
        longest = max(one.deadline for one in self.experiment.classes)
        end, told = self.experiment.length + longest, 0.0
        nodes, clients = self.helpers
        while not clients.speaks():
            self._step()
            if self._now() >= told:
                told = self._now() + TELL_EVERY
                progress(max(0.0, min(1.0, self._now() / end)))
            if self._now() >= end + AFTER:
                raise HelperFailed("the clients do not come to their end")
        clients.hear(1.0)
        nodes.tell({"end": True})
        nodes.hear(SET_UP_WITHIN)
        self._watch()

    def _step(self) -> None:
        while self._timeline and self._timeline[0][0] <= self._now():
            heapq.heappop(self._timeline)[2]()
        self._watch()
        for helper in self.helpers:
            if helper.process.poll() is not None:
                raise HelperFailed(f"{helper.name} ended\n{tail(helper.log_file)}")
        time.sleep(STEP)

    def _watch(self) -> None:
        """Notice processes of routers that ended unasked."""
        for router in self.routers:
            for process in router.processes:
                if process.ended() and not process.to_end and process.pid not in self._noticed:
                    self._noticed.add(process.pid)
                    text = f"ended unasked with status {process.status}"
                    self.died.append((self._now(), router.name, text))
                    print(f"{router.name} {text}\n{tail(router.log_file)}", file=sys.stderr)

    def _kill(self, routers: list[RealRouter], back_after: float) -> None:
        for router in routers:
            down = router.kill()
            self.downs.append(Down(down.router, down.at - self.begin, down.until - self.begin))
            if back_after:
                self._start_later(router, back_after)

    def _restart(self, routers: list[RealRouter], down: float) -> None:
        for router in routers:
            router.signal(signal.SIGTERM)
            self._start_later(router, down)

    def _start_later(self, router: RealRouter, after: float) -> None:
        def start() -> None:
            zone = router.place % len(self._known)
            door = self._doors[self.experiment.routers.count + zone]
            self._known[zone] = list_at(door, self._known[zone])
            router.start(self._known[zone])

        self._at(self._now() + after, start)

    @staticmethod
    def _reload(routers: list[RealRouter]) -> None:
        for router in routers:
            if router.serves():  # guards against a signal to one that starts, and would end by it
                router.signal(signal.SIGHUP)

    # ------------------------------------------------------------------------------------------- its end

    def _end_routers(self) -> None:
        within = END_WITHIN + max(one.deadline for one in self.experiment.classes)
        for router in self.routers:
            router.signal(signal.SIGTERM)
        for router in self.routers:
            if not router.ended(within):
                self.died.append((self._now(), router.name, f"did not end within {within:g} s of SIGTERM"))
                router.kill()

    def result(self, changes: dict[str, Any]) -> tuple[Run, Cost]:
        """End the routers, and put together what all have seen."""
        self._end_routers()
        seen: Seen = handed_over(self.folder / "stand_ins.result", Seen)
        asked: Asked = handed_over(self.folder / "generator.result", Asked)
        measure = self._measured(seen, asked)
        run = measure.run(self.seed, "live", POLICY, changes, self._void(seen, asked))
        offered = sum(window.offered for window in run.windows)
        routers = sum(router.cpu_s() for router in self.routers)
        return run, Cost(
            requests=offered,
            cpu_s=routers + seen.cpu_s + asked.cpu_s,
            events=seen.events,
            decide_us=1e6 * routers / max(1, offered),  # all that routers do: their CPU seen from outside
            memory_mb=max(router.memory_mb() for router in self.routers),
        )

    def _measured(self, seen: Seen, asked: Asked) -> Measure:
        given = self.experiment
        measure = Measure(given)
        measure.seconds, measure.spans, measure.fell = seen.seconds, seen.spans, seen.fell
        measure.broken = seen.broken

        def of(number: int) -> tuple[float, str, str, float]:
            request = self.requests[number]
            one = given.classes[request.klass]
            tenant = given.tenants[request.tenant].name if given.tenants else ""
            return request.due, one.name, tenant, one.worth

        for request in self.requests:
            measure.offered(*of(request.number))
        for ended in asked.ends:
            measure.ended(*of(ended.number), ended.how, ended.took)
        for at, name, text in self.died:
            measure.broke("answered", "", name, 1000.0 * at, text)
        judge(given, measure, seen.attempts, asked.tries, self.downs, seen.late.longest, asked.pauses.longest)
        return measure

    @staticmethod
    def _void(seen: Seen, asked: Asked) -> str:
        """Why the run counts for nothing; empty if it counts."""
        faults = [
            asked.late.fault("requests were sent"),
            asked.pauses.fault("the clients' loop was"),
            seen.late.fault("the stand-ins' loop was"),
        ]
        for who, how_many in (("stand-ins", seen.faults), ("clients", asked.faults)):
            if how_many:
                faults.append(f"{how_many} exceptions in the {who}")
        return "; ".join(filter(None, faults))

    def close(self) -> None:
        """End all that still runs. Signals wait meanwhile, so that nothing is left behind."""
        signals = {signal.SIGINT, signal.SIGTERM}
        before = signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        try:
            self._end_all()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    def _end_all(self) -> None:
        for router in self.routers:
            router.kill()
            router.close()
        for helper in self.helpers:
            helper.end()
