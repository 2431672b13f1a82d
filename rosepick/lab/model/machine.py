"""A machine that does work: cores that requests share, slots, a waiting room, a cold start, a fall.

Requests in slots share the cores evenly (processor sharing): with as many slots as cores each has one of its
own, and the rest waits in the order of its coming. By virtual time an arrival or an end costs the logarithm
of what is in work.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf

from .kernel import Kernel, ScheduledEvent

WorkCallback = Callable[[], None]
WARM_UP_STEP_MS = 50.0  # while it is cold, its speed is looked at so often; milliseconds


@dataclass(frozen=True, slots=True)
class MachineConfig:
    """What a machine is. Times are milliseconds, work is milliseconds on a core of speed 1."""

    cores: int = 2
    speed: float = 1.0
    slots: int = 16
    queue: int = 32
    contention: float = 0.0
    cold_capacity_share: float = 1.0
    warm_up_ms: float = 0.0
    warm_by_work: bool = False
    overload_multiple: float = inf
    overload_window_ms: float = 3_000.0
    stops_cancelled_work: bool = True
    overrun_after_ms: float = 0.0  # with a full waiting room for so long it falls over; 0: never


class WorkItem:
    """One piece of work."""

    __slots__ = ("done", "state", "virtual_finish", "work")

    def __init__(self, work: float, done: WorkCallback) -> None:
        self.work, self.done = work, done
        self.state = "waiting"  # then "running", at last "over"
        self.virtual_finish = 0.0  # in virtual time


class Machine:
    """One machine. `on_overload` is called when it falls over: all that it had is lost."""

    def __init__(self, kernel: Kernel, config: MachineConfig, started_at: float = -inf) -> None:
        self.kernel, self.config = kernel, config
        self.started_at = started_at
        self.up = True
        self.slowdown = 1.0  # so many times, by a trouble
        self.on_overload: Callable[[], None] = lambda: None
        self.busy_ms = 0.0  # core-milliseconds of work that were done, up to the last step
        self.work_since_start_ms = 0.0  # core-milliseconds since it started
        self._waiting: deque[WorkItem] = deque()
        self._running: list[tuple[float, int, WorkItem]] = []  # by virtual finish
        self._count = self._running_count = 0
        self._virtual_time = 0.0
        self._updated_at = kernel.now()
        self._next_event: ScheduledEvent | None = None
        self._cold_window: deque[tuple[float, float]] = deque()  # while cold: when, and how much work
        self._cold_window_work = 0.0
        self._full_since: float | None = None

    # ------------------------------------------------------------------------------------------ its speed

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has, 0 to 1."""
        shape = self.config
        if shape.warm_up_ms <= 0 or shape.cold_capacity_share >= 1:
            return 1.0
        so_far = self.work_since_start_ms if shape.warm_by_work else now - self.started_at
        return min(
            1.0,
            shape.cold_capacity_share + (1 - shape.cold_capacity_share) * max(0.0, so_far) / shape.warm_up_ms,
        )

    def capacity(self, now: float) -> float:
        """Work that it can do in a millisecond at this moment."""
        return self.config.cores * self.config.speed * self.warmth(now) / self.slowdown

    def queue_length(self) -> int:
        """Requests in work or waiting."""
        return self._running_count + len(self._waiting)

    def expected_ms(self, work: float, now: float) -> float:
        """About how long a piece of work would take if it came now, in milliseconds; inf if it cannot."""
        if not self.up or self._is_full():
            return inf
        ahead = self.queue_length()
        rate = self._rate(min(ahead + 1, self.config.slots), now)
        return (work / rate) * max(1.0, (ahead + 1) / self.config.slots)

    def _rate(self, running: int, now: float) -> float:
        """Work that each of so many requests in work gets done in a millisecond."""
        shape = self.config
        over = max(0, running - shape.cores)
        each = shape.speed * min(1.0, shape.cores / running) / (1.0 + shape.contention * over)
        return each * self.warmth(now) / self.slowdown

    # ------------------------------------------------------------------------------------------ its work

    def _is_full(self) -> bool:
        return self._running_count >= self.config.slots and len(self._waiting) >= self.config.queue

    def submit(self, work: float, done: WorkCallback) -> WorkItem | None:
        """A piece of work comes; None if it is turned away, or the machine is down or falls over by it."""
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
        job = WorkItem(work, done)
        self._advance_to(now)
        if self._running_count < self.config.slots:
            self._start_item(job)
        else:
            self._waiting.append(job)
        self._schedule_next_event(now)
        return job

    def cancel(self, job: WorkItem) -> None:
        """Nobody waits for a piece of work any more: what waits is dropped, what is in work only where
        cancelled work stops.
        """
        if job.state == "waiting":
            job.state = "over"
            self._waiting.remove(job)
        elif job.state == "running" and self.config.stops_cancelled_work:
            now = self.kernel.time
            self._advance_to(now)
            job.state = "over"  # its entry in the heap is passed over
            self._running_count -= 1
            self._start_waiting()
            self._schedule_next_event(now)

    def _start_item(self, job: WorkItem) -> None:
        self._count += 1
        self._running_count += 1
        job.state = "running"
        job.virtual_finish = self._virtual_time + job.work
        heappush(self._running, (job.virtual_finish, self._count, job))

    def _start_waiting(self) -> None:
        while self._waiting and self._running_count < self.config.slots:
            self._start_item(self._waiting.popleft())

    def _advance_to(self, now: float) -> None:
        """Work up to now."""
        if self._running_count:
            span = now - self._updated_at
            used = span * min(self._running_count, self.config.cores)
            # by the speed at the middle of the step: exact where it grows evenly
            if self.config.warm_by_work:
                self.work_since_start_ms += used / 2
            self._virtual_time += span * self._rate(self._running_count, self._updated_at + span / 2)
            if self.config.warm_by_work:
                self.work_since_start_ms += used / 2
            self.busy_ms += used
        self._updated_at = now

    def _schedule_next_event(self, now: float) -> None:
        """Set the next end, or the next look at a speed that changes."""
        if self._next_event is not None:
            self._next_event.cancel()
            self._next_event = None
        while self._running and self._running[0][2].state == "over":
            heappop(self._running)
        if not self._running:
            return
        left = max(0.0, self._running[0][0] - self._virtual_time)
        delay = left / self._rate(self._running_count, now)
        steady = self.warmth(now) >= 1.0
        if not steady:
            delay = min(delay, WARM_UP_STEP_MS)
        self._next_event = self.kernel.call_at(now + delay, lambda: self._on_event(steady))

    def _on_event(self, has_finished_item: bool) -> None:
        now = self.kernel.time
        self._next_event = None
        self._advance_to(now)
        if has_finished_item:  # guards against a clock too coarse to tell the rest of the work
            self._virtual_time = max(self._virtual_time, self._running[0][0])
        ended = []
        while self._running and self._running[0][0] <= self._virtual_time + 1e-9:
            _, _, job = heappop(self._running)
            if job.state == "running":
                job.state = "over"
                self._running_count -= 1
                ended.append(job)
        self._start_waiting()
        self._schedule_next_event(now)
        for job in ended:
            job.done()

    def update_busy(self) -> None:
        """Bring `busy` up to now."""
        self._advance_to(self.kernel.time)

    # --------------------------------------------------------------------------------------- its troubles

    def set_slowdown(self, slow: float) -> None:
        """It is slower from now on, or as fast as ever by 1."""
        now = self.kernel.time
        self._advance_to(now)
        self.slowdown = slow
        self._schedule_next_event(now)

    def is_cold(self, now: float) -> bool:
        """Whether it is not warm yet."""
        return self.warmth(now) < 1.0

    def cold_budget_ms(self, now: float) -> float:
        """Work that may still be sent to it within its window before it falls over; inf once it is warm."""
        if not self.is_cold(now) or self.config.overload_multiple == inf:
            return inf
        self._trim_cold_window(now)
        return (
            self.config.overload_multiple * self.capacity(now) * self.config.overload_window_ms
            - self._cold_window_work
        )

    def _is_overloaded_by(self, work: float, now: float) -> bool:
        left = self.cold_budget_ms(now)
        if left == inf:
            return False
        self._cold_window.append((now, work))
        self._cold_window_work += work
        return work > left

    def _trim_cold_window(self, now: float) -> None:
        while self._cold_window and self._cold_window[0][0] < now - self.config.overload_window_ms:
            self._cold_window_work -= self._cold_window.popleft()[1]

    def _on_queue_full(self, now: float) -> None:
        """The waiting room is full."""
        if self._full_since is None:
            self._full_since = now
        elif self.config.overrun_after_ms and now - self._full_since >= self.config.overrun_after_ms:
            self.overload()

    def overload(self) -> None:
        """It falls over: all that it had in hand is lost."""
        self.stop()
        self.on_overload()

    def stop(self) -> None:
        """It is down, and whatever it had in hand is gone."""
        self._advance_to(self.kernel.time)
        self.up = False
        for job in (*self._waiting, *(job for _, _, job in self._running)):
            job.state = "over"
        self._waiting.clear()
        self._running.clear()
        self._running_count = 0
        self._full_since = None
        if self._next_event is not None:
            self._next_event.cancel()
            self._next_event = None

    def start(self) -> None:
        """It is up again, and cold."""
        self.up, self.started_at, self.work_since_start_ms = True, self.kernel.time, 0.0
        self._cold_window.clear()
        self._cold_window_work = 0.0
        self._updated_at = self.kernel.time
