"""Discrete-event simulation of processes, each with a clock that runs at its own rate.

Everything is drawn from one random number generator, so a seed determines the whole history.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from ...net.event_loop import ScheduledCall
from .history import AnyEvent

MAX_CLOCK_OFFSET_MS = 1e7  # of a process's clock at the begin


@dataclass(frozen=True, slots=True)
class SimulationConfig:
    """The shape of a simulated test; times in seconds.

    Clocks run faster or slower by up to `max_clock_skew`, a fraction; leases allow for a `drift` of so much.
    """

    replicas: int = 5
    clients: int = 5
    tasks: int = 1
    duration_s: float = 16.0
    lease_ttl_s: float = 2.0
    drift: float = 0.1
    max_clock_skew: float = 0.095
    fault_interval_s: float = 0.45
    work_interval_s: float = 0.06
    network_delay_s: tuple[float, float] = (0.0004, 0.004)
    fault_kinds: tuple[str, ...] = ()  # all, if none is named


class _QueuedCall(NamedTuple):
    """A call of the event queue; of equal times, the one that was scheduled first comes first."""

    at: float
    sequence_number: int
    process: SimulatedProcess | None
    incarnation: int
    callback: Callable[[], None]


class Simulation:
    """The event queue, the clock (seconds), the random numbers and the history of a simulated test."""

    def __init__(self, config: SimulationConfig, seed: int) -> None:
        self.config = config
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[AnyEvent] = []
        self._queue: list[_QueuedCall] = []
        self._last_sequence_number = 0

    def draw_identity(self) -> str:
        """Draw a random identity."""
        return f"{self.rng.getrandbits(64):016x}"

    def record_event(self, event: AnyEvent) -> None:
        """Append an event to the history."""
        self.events.append(event)

    def schedule(self, at: float, process: SimulatedProcess | None, callback: Callable[[], None]) -> None:
        """Call at a time, unless the process has been killed by then, or wait until its pause ends."""
        self._last_sequence_number += 1
        incarnation = process.incarnation if process is not None else 0
        heapq.heappush(
            self._queue, _QueuedCall(at, self._last_sequence_number, process, incarnation, callback)
        )

    def schedule_in(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call after so many seconds, whatever happens to processes."""
        self.schedule(self.now + delay_s, None, callback)

    def run_until(self, end_time: float) -> None:
        """Process the event queue until a time."""
        while self._queue and self._queue[0].at <= end_time:
            call = heapq.heappop(self._queue)
            self.now = call.at
            process = call.process
            if process is None:
                call.callback()
            elif process.incarnation == call.incarnation:
                if process.paused_until > call.at:
                    heapq.heappush(self._queue, call._replace(at=process.paused_until))
                else:
                    call.callback()


class SimulatedProcess:
    """A process that can be started, killed and paused, with its own clock in milliseconds."""

    def __init__(self, simulation: Simulation, name: str, clock_rate: float) -> None:
        self.simulation = simulation
        self.name = name
        self.clock_rate = clock_rate
        self.incarnation = 0  # changes with each start and end; calls for an earlier one are dropped
        self.running = False
        self.paused_until = 0.0
        self._clock_offset_ms = simulation.rng.uniform(0.0, MAX_CLOCK_OFFSET_MS)

    def now(self) -> float:
        """Return the time of its own clock in milliseconds."""
        return self._clock_offset_ms + self.simulation.now * 1000.0 * self.clock_rate

    def call_at(self, when: float, callback: Callable[[], None]) -> ScheduledCall:
        """Schedule a call at a time of its own clock, in milliseconds."""
        timer = ScheduledCall(callback)
        at = self.simulation.now + max(0.0, when - self.now()) / (1000.0 * self.clock_rate)
        self.simulation.schedule(at, self, partial(self._fire_timer, timer))
        return timer

    def call_after(self, delay: float, call: Callable[[], None]) -> ScheduledCall:
        """Schedule a call after so many milliseconds of its own clock."""
        return self.call_at(self.now() + delay, call)

    @staticmethod
    def _fire_timer(timer: ScheduledCall) -> None:
        if timer.callback is not None:
            timer.callback()

    def start(self) -> None:
        """Start a new incarnation."""
        self.incarnation += 1
        self.running = True
        self.paused_until = 0.0

    def start_if_down(self) -> None:
        """Start it unless it runs."""
        if not self.running:
            self.start()

    def kill(self) -> None:
        """End it at once; its pending calls are dropped."""
        self.incarnation += 1
        self.running = False
