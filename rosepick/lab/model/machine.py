"""A simulated machine: shared cores, slots, a queue, a warm-up after a cold start, and overload.

Items in slots share the cores evenly (processor sharing); with no more slots than cores, each item has a core
of its own. The other items queue in the order of their arrival. Finish times are kept in virtual time, so
that an arrival or a completion costs the logarithm of the number of running items.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from heapq import heappop, heappush
from math import inf

from .kernel import Kernel, ScheduledEvent

WorkCallback = Callable[[], None]
WARM_UP_STEP_MS = 50.0  # interval at which the speed of a cold machine is updated
VIRTUAL_TIME_TOLERANCE = 1e-9  # an item with this much virtual time left counts as finished


@dataclass(frozen=True, slots=True)
class MachineConfig:
    """The size and behaviour of a machine. Work is in milliseconds on a core of speed 1."""

    cores: int = 2
    speed: float = 1.0
    slots: int = 16  # items that run at the same time
    queue: int = 32  # items that wait for a slot
    contention: float = 0.0  # share by which each running item beyond the cores slows all work
    cold_capacity_share: float = 1.0  # share of the capacity that a cold machine starts with
    warm_up_ms: float = 0.0  # time until the machine is warm
    warm_by_work: bool = False  # `warm_up_ms` is in core-milliseconds of work instead of time
    overload_multiple: float = inf  # multiple of the capacity in a window at which a cold machine crashes
    overload_window_ms: float = 3_000.0  # window over which the work sent to a cold machine is summed
    stops_cancelled_work: bool = True
    full_queue_limit_ms: float = 0.0  # time with a full queue after which the machine crashes; 0: never


class WorkState(Enum):
    """The state of a work item."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"  # completed, cancelled or lost


class WorkItem:
    """A unit of work on a machine; `done` is called when it completes."""

    __slots__ = ("done", "state", "virtual_finish", "work")

    def __init__(self, work: float, done: WorkCallback) -> None:
        self.work = work
        self.done = done
        self.state = WorkState.WAITING
        self.virtual_finish = 0.0


class Machine:
    """A machine; `on_overload` is called after a crash by overload, in which all work is lost."""

    def __init__(self, kernel: Kernel, config: MachineConfig, started_at: float = -inf) -> None:
        self.kernel = kernel
        self.config = config
        self.started_at = started_at
        self.up = True
        self.slowdown = 1.0  # factor by which faults slow the machine down
        self.on_overload: Callable[[], None] = lambda: None
        self.busy_ms = 0.0  # core-milliseconds used up to the last update
        self.work_since_start_ms = 0.0  # core-milliseconds
        self._waiting: deque[WorkItem] = deque()
        self._running: list[tuple[float, int, WorkItem]] = []  # a heap by virtual finish time
        self._start_count = 0
        self._running_count = 0
        self._virtual_time = 0.0
        self._updated_at = kernel.now()
        self._next_event: ScheduledEvent | None = None
        self._cold_window: deque[tuple[float, float]] = deque()  # time and work of each arrival while cold
        self._cold_window_work = 0.0
        self._full_since: float | None = None

    # ------------------------------------------------------------------------------------------ speed

    def capacity_share(self, now: float) -> float:
        """Return the share of the full capacity that is available, 0 to 1; less than 1 during warm-up."""
        config = self.config
        if config.warm_up_ms <= 0 or config.cold_capacity_share >= 1:
            return 1.0
        progress_ms = self.work_since_start_ms if config.warm_by_work else now - self.started_at
        return min(
            1.0,
            config.cold_capacity_share
            + (1 - config.cold_capacity_share) * max(0.0, progress_ms) / config.warm_up_ms,
        )

    def capacity(self, now: float) -> float:
        """Return the work, in milliseconds on a core of speed 1, that the machine can do per millisecond."""
        return self.config.cores * self.config.speed * self.capacity_share(now) / self.slowdown

    def item_count(self) -> int:
        """Return the number of items that run or wait."""
        return self._running_count + len(self._waiting)

    def expected_ms(self, work: float, now: float) -> float:
        """Estimate the milliseconds that a new item would take; inf if it would be rejected."""
        if not self.up or self._is_full():
            return inf
        ahead = self.item_count()
        rate = self._rate(min(ahead + 1, self.config.slots), now)
        return (work / rate) * max(1.0, (ahead + 1) / self.config.slots)

    def _rate(self, running: int, now: float) -> float:
        """Return the rate of each item, in work per millisecond, with `running` items in slots."""
        config = self.config
        excess = max(0, running - config.cores)
        full_rate = config.speed * min(1.0, config.cores / running) / (1.0 + config.contention * excess)
        return full_rate * self.capacity_share(now) / self.slowdown

    # ------------------------------------------------------------------------------------------ work

    def _is_full(self) -> bool:
        return self._running_count >= self.config.slots and len(self._waiting) >= self.config.queue

    def submit(self, work: float, done: WorkCallback) -> WorkItem | None:
        """Submit work; `done` is called when it completes.

        Return None if the queue is full, the machine is down, or this work makes it crash by overload.
        """
        now = self.kernel.time
        if not self.up:
            return None
        if self._is_overloaded_by(work, now):
            self.overload()
            return None
        if self._is_full():
            self._on_queue_full(now)
            return None
        self._full_since = None
        item = WorkItem(work, done)
        self._advance_to(now)
        if self._running_count < self.config.slots:
            self._start_item(item)
        else:
            self._waiting.append(item)
        self._schedule_next_event(now)
        return item

    def cancel(self, item: WorkItem) -> None:
        """Cancel an item.

        A waiting item is dropped, a running one only if `MachineConfig.stops_cancelled_work` is set.
        """
        if item.state is WorkState.WAITING:
            item.state = WorkState.FINISHED
            self._waiting.remove(item)
        elif item.state is WorkState.RUNNING and self.config.stops_cancelled_work:
            now = self.kernel.time
            self._advance_to(now)
            item.state = WorkState.FINISHED  # its heap entry is removed later
            self._running_count -= 1
            self._start_waiting()
            self._schedule_next_event(now)

    def _start_item(self, item: WorkItem) -> None:
        self._start_count += 1
        self._running_count += 1
        item.state = WorkState.RUNNING
        item.virtual_finish = self._virtual_time + item.work
        heappush(self._running, (item.virtual_finish, self._start_count, item))

    def _start_waiting(self) -> None:
        while self._waiting and self._running_count < self.config.slots:
            self._start_item(self._waiting.popleft())

    def _advance_to(self, now: float) -> None:
        """Account for the work that was done since the last update."""
        if self._running_count:
            span = now - self._updated_at
            used = span * min(self._running_count, self.config.cores)
            # the speed in the middle of the step is exact if the speed grows linearly
            if self.config.warm_by_work:
                self.work_since_start_ms += used / 2
            self._virtual_time += span * self._rate(self._running_count, self._updated_at + span / 2)
            if self.config.warm_by_work:
                self.work_since_start_ms += used / 2
            self.busy_ms += used
        self._updated_at = now

    def _schedule_next_event(self, now: float) -> None:
        """Schedule the next completion, or the next update of the speed while the machine warms up."""
        if self._next_event is not None:
            self._next_event.cancel()
            self._next_event = None
        while self._running and self._running[0][2].state is WorkState.FINISHED:
            heappop(self._running)
        if not self._running:
            return
        remaining = max(0.0, self._running[0][0] - self._virtual_time)
        delay = remaining / self._rate(self._running_count, now)
        steady = self.capacity_share(now) >= 1.0
        if not steady:
            delay = min(delay, WARM_UP_STEP_MS)
        self._next_event = self.kernel.call_at(now + delay, lambda: self._on_event(steady))

    def _on_event(self, has_finished_item: bool) -> None:
        now = self.kernel.time
        self._next_event = None
        self._advance_to(now)
        if has_finished_item:  # rounding of the clock may leave a rest of the work
            self._virtual_time = max(self._virtual_time, self._running[0][0])
        finished = []
        while self._running and self._running[0][0] <= self._virtual_time + VIRTUAL_TIME_TOLERANCE:
            _, _, item = heappop(self._running)
            if item.state is WorkState.RUNNING:
                item.state = WorkState.FINISHED
                self._running_count -= 1
                finished.append(item)
        self._start_waiting()
        self._schedule_next_event(now)
        for item in finished:
            item.done()

    def update_busy(self) -> None:
        """Update `busy_ms` to the present time."""
        self._advance_to(self.kernel.time)

    # --------------------------------------------------------------------------------------- faults

    def set_slowdown(self, factor: float) -> None:
        """Slow the machine down by a factor; 1 is full speed."""
        now = self.kernel.time
        self._advance_to(now)
        self.slowdown = factor
        self._schedule_next_event(now)

    def is_cold(self, now: float) -> bool:
        """Return whether the machine is still warming up."""
        return self.capacity_share(now) < 1.0

    def cold_budget_ms(self, now: float) -> float:
        """Return the work that a cold machine can accept in this window without a crash; inf if warm."""
        if not self.is_cold(now) or self.config.overload_multiple == inf:
            return inf
        self._trim_cold_window(now)
        return (
            self.config.overload_multiple * self.capacity(now) * self.config.overload_window_ms
            - self._cold_window_work
        )

    def _is_overloaded_by(self, work: float, now: float) -> bool:
        budget_ms = self.cold_budget_ms(now)
        if budget_ms == inf:
            return False
        self._cold_window.append((now, work))
        self._cold_window_work += work
        return work > budget_ms

    def _trim_cold_window(self, now: float) -> None:
        while self._cold_window and self._cold_window[0][0] < now - self.config.overload_window_ms:
            self._cold_window_work -= self._cold_window.popleft()[1]

    def _on_queue_full(self, now: float) -> None:
        """Crash if the queue has been full for `MachineConfig.full_queue_limit_ms`."""
        if self._full_since is None:
            self._full_since = now
        elif self.config.full_queue_limit_ms and now - self._full_since >= self.config.full_queue_limit_ms:
            self.overload()

    def overload(self) -> None:
        """Crash by overload, with the loss of all work."""
        self.stop()
        self.on_overload()

    def stop(self) -> None:
        """Stop the machine, with the loss of all work."""
        self._advance_to(self.kernel.time)
        self.up = False
        for item in (*self._waiting, *(item for _, _, item in self._running)):
            item.state = WorkState.FINISHED
        self._waiting.clear()
        self._running.clear()
        self._running_count = 0
        self._full_since = None
        if self._next_event is not None:
            self._next_event.cancel()
            self._next_event = None

    def start(self) -> None:
        """Start the machine, cold."""
        self.up = True
        self.started_at = self.kernel.time
        self.work_since_start_ms = 0.0
        self._cold_window.clear()
        self._cold_window_work = 0.0
        self._updated_at = self.kernel.time
