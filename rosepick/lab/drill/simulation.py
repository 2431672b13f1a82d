"""Discrete-event simulation of processes whose clocks run at different rates.

All random choices derive from one seed, which determines the whole history.
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

MAX_CLOCK_OFFSET_MS = 1e7  # largest initial reading of a process's clock


@dataclass(frozen=True, slots=True)
class SimulationConfig:
    """The size of a simulated test, its delays and its rates; times in seconds.

    Clocks run faster or slower by up to `max_clock_skew`, a fraction; leases allow for a clock drift of
    `drift`, also a fraction. If `fault_kinds` is empty, all kinds occur but those that must be named.
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
    fault_kinds: tuple[str, ...] = ()


class _QueuedCall(NamedTuple):
    """A call in the event queue; calls with equal times run in the order in which they were scheduled."""

    at: float
    sequence_number: int
    process: SimulatedProcess | None
    incarnation: int
    callback: Callable[[], None]


class Simulation:
    """The event queue, clock (in seconds), random number generator and history of a simulated test."""

    def __init__(self, config: SimulationConfig, seed: int) -> None:
        self.config = config
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[AnyEvent] = []
        self._queue: list[_QueuedCall] = []
        self._last_sequence_number = 0

    def draw_random_id(self) -> str:
        """Draw a random id: 16 hexadecimal digits."""
        return f"{self.rng.getrandbits(64):016x}"

    def record_event(self, event: AnyEvent) -> None:
        """Append an event to the history."""
        self.events.append(event)

    def schedule(self, at: float, process: SimulatedProcess | None, callback: Callable[[], None]) -> None:
        """Schedule a call at a time in seconds.

        The call is dropped if the process was killed by then, and delayed while the process is paused.
        """
        self._last_sequence_number += 1
        incarnation = process.incarnation if process is not None else 0
        heapq.heappush(
            self._queue, _QueuedCall(at, self._last_sequence_number, process, incarnation, callback)
        )

    def schedule_in(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a call after `delay_s` seconds that no kill or pause of a process affects."""
        self.schedule(self.now + delay_s, None, callback)

    def run_until(self, end_time: float) -> None:
        """Run the calls of the event queue up to a time in seconds."""
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
    """A process with its own clock in milliseconds that can be started, killed and paused."""

    def __init__(self, simulation: Simulation, name: str, clock_rate: float) -> None:
        self.simulation = simulation
        self.name = name
        self.clock_rate = clock_rate
        self.incarnation = 0  # changes at each start and kill; calls scheduled for an earlier one are dropped
        self.running = False
        self.paused_until = 0.0
        self._clock_offset_ms = simulation.rng.uniform(0.0, MAX_CLOCK_OFFSET_MS)

    def now(self) -> float:
        """Return the time of the process's own clock in milliseconds."""
        return self._clock_offset_ms + self.simulation.now * 1000.0 * self.clock_rate

    def call_at(self, when: float, callback: Callable[[], None]) -> ScheduledCall:
        """Schedule a call at a time of the process's own clock, in milliseconds."""
        timer = ScheduledCall(callback)
        at = self.simulation.now + max(0.0, when - self.now()) / (1000.0 * self.clock_rate)
        self.simulation.schedule(at, self, partial(self._fire_timer, timer))
        return timer

    def call_after(self, delay: float, call: Callable[[], None]) -> ScheduledCall:
        """Schedule a call after `delay` milliseconds of the process's own clock."""
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
        """Start the process unless it is running."""
        if not self.running:
            self.start()

    def kill(self) -> None:
        """End the process at once and drop its pending calls."""
        self.incarnation += 1
        self.running = False
