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

from .kernel import Handle, Kernel

Done = Callable[[], None]
RAMP_STEP = 50.0  # while it is cold, its speed is looked at so often; milliseconds


@dataclass(frozen=True, slots=True)
class Shape:
    """What a machine is. Times are milliseconds, work is milliseconds on a core of speed 1."""

    cores: int = 2
    speed: float = 1.0
    slots: int = 16
    queue: int = 32
    crowding: float = 0.0
    cold_from: float = 1.0
    warm_after: float = 0.0
    warm_by_work: bool = False
    falls_at: float = inf
    falls_within: float = 3_000.0
    cancels: bool = True
    overrun_after: float = 0.0  # with a full waiting room for so long it falls over; 0: never


class Job:
    """One piece of work."""

    __slots__ = ("done", "finish", "state", "work")

    def __init__(self, work: float, done: Done) -> None:
        self.work, self.done = work, done
        self.state = "waiting"  # then "running", at last "over"
        self.finish = 0.0  # in virtual time


class Server:
    """One machine. `fell` is called when it falls over: all that it had is lost."""

    def __init__(self, kernel: Kernel, shape: Shape, born: float = -inf) -> None:
        self.kernel, self.shape = kernel, shape
        self.born = born
        self.up = True
        self.slow = 1.0  # so many times, by a trouble
        self.fell: Callable[[], None] = lambda: None
        self.busy = 0.0  # core-milliseconds of work that were done, up to the last step
        self.worked_cold = 0.0  # core-milliseconds since it started
        self._waiting: deque[Job] = deque()
        self._running: list[tuple[float, int, Job]] = []  # by virtual finish
        self._count = self._in_work = 0
        self._virtual = 0.0
        self._at = kernel.now()
        self._next: Handle | None = None
        self._sent: deque[tuple[float, float]] = deque()  # while cold: when, and how much work
        self._sent_sum = 0.0
        self._full_since: float | None = None

    # ------------------------------------------------------------------------------------------ its speed

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has, 0 to 1."""
        shape = self.shape
        if shape.warm_after <= 0 or shape.cold_from >= 1:
            return 1.0
        so_far = self.worked_cold if shape.warm_by_work else now - self.born
        return min(1.0, shape.cold_from + (1 - shape.cold_from) * max(0.0, so_far) / shape.warm_after)

    def capacity(self, now: float) -> float:
        """Work that it can do in a millisecond at this moment."""
        return self.shape.cores * self.shape.speed * self.warmth(now) / self.slow

    def in_hand(self) -> int:
        """Requests in work or waiting."""
        return self._in_work + len(self._waiting)

    def expected(self, work: float, now: float) -> float:
        """About how long a piece of work would take if it came now, in milliseconds; inf if it cannot."""
        if not self.up or self._is_full():
            return inf
        ahead = self.in_hand()
        rate = self._rate(min(ahead + 1, self.shape.slots), now)
        return (work / rate) * max(1.0, (ahead + 1) / self.shape.slots)

    def _rate(self, running: int, now: float) -> float:
        """Work that each of so many requests in work gets done in a millisecond."""
        shape = self.shape
        over = max(0, running - shape.cores)
        each = shape.speed * min(1.0, shape.cores / running) / (1.0 + shape.crowding * over)
        return each * self.warmth(now) / self.slow

    # ------------------------------------------------------------------------------------------ its work

    def _is_full(self) -> bool:
        return self._in_work >= self.shape.slots and len(self._waiting) >= self.shape.queue

    def offer(self, work: float, done: Done) -> Job | None:
        """A piece of work comes; None if it is turned away, or the machine is down or falls over by it."""
        now = self.kernel.time
        if not self.up:
            return None
        if self._pushed_over(work, now):
            self.fall()
            return None
        if self._is_full():
            self._overrun(now)
            return None
        self._full_since = None
        job = Job(work, done)
        self._step(now)
        if self._in_work < self.shape.slots:
            self._begin(job)
        else:
            self._waiting.append(job)
        self._plan(now)
        return job

    def cancel(self, job: Job) -> None:
        """Nobody waits for a piece of work any more: what waits is dropped, what is in work only where
        cancelled work stops.
        """
        if job.state == "waiting":
            job.state = "over"
            self._waiting.remove(job)
        elif job.state == "running" and self.shape.cancels:
            now = self.kernel.time
            self._step(now)
            job.state = "over"  # its entry in the heap is passed over
            self._in_work -= 1
            self._refill()
            self._plan(now)

    def _begin(self, job: Job) -> None:
        self._count += 1
        self._in_work += 1
        job.state = "running"
        job.finish = self._virtual + job.work
        heappush(self._running, (job.finish, self._count, job))

    def _refill(self) -> None:
        while self._waiting and self._in_work < self.shape.slots:
            self._begin(self._waiting.popleft())

    def _step(self, now: float) -> None:
        """Work up to now."""
        if self._in_work:
            span = now - self._at
            used = span * min(self._in_work, self.shape.cores)
            # by the speed at the middle of the step: exact where it grows evenly
            if self.shape.warm_by_work:
                self.worked_cold += used / 2
            self._virtual += span * self._rate(self._in_work, self._at + span / 2)
            if self.shape.warm_by_work:
                self.worked_cold += used / 2
            self.busy += used
        self._at = now

    def _plan(self, now: float) -> None:
        """Set the next end, or the next look at a speed that changes."""
        if self._next is not None:
            self._next.cancel()
            self._next = None
        while self._running and self._running[0][2].state == "over":
            heappop(self._running)
        if not self._running:
            return
        left = max(0.0, self._running[0][0] - self._virtual)
        delay = left / self._rate(self._in_work, now)
        steady = self.warmth(now) >= 1.0
        if not steady:
            delay = min(delay, RAMP_STEP)
        self._next = self.kernel.at(now + delay, lambda: self._go_on(steady))

    def _go_on(self, ends: bool) -> None:
        now = self.kernel.time
        self._next = None
        self._step(now)
        if ends:  # guards against a clock too coarse to tell the rest of the work
            self._virtual = max(self._virtual, self._running[0][0])
        ended = []
        while self._running and self._running[0][0] <= self._virtual + 1e-9:
            _, _, job = heappop(self._running)
            if job.state == "running":
                job.state = "over"
                self._in_work -= 1
                ended.append(job)
        self._refill()
        self._plan(now)
        for job in ended:
            job.done()

    def settle(self) -> None:
        """Bring `busy` up to now."""
        self._step(self.kernel.time)

    # --------------------------------------------------------------------------------------- its troubles

    def change(self, slow: float) -> None:
        """It is slower from now on, or as fast as ever by 1."""
        now = self.kernel.time
        self._step(now)
        self.slow = slow
        self._plan(now)

    def cold(self, now: float) -> bool:
        """Whether it is not warm yet."""
        return self.warmth(now) < 1.0

    def budget(self, now: float) -> float:
        """Work that may still be sent to it within its window before it falls over; inf once it is warm."""
        if not self.cold(now) or self.shape.falls_at == inf:
            return inf
        self._forget_sent(now)
        return self.shape.falls_at * self.capacity(now) * self.shape.falls_within - self._sent_sum

    def _pushed_over(self, work: float, now: float) -> bool:
        left = self.budget(now)
        if left == inf:
            return False
        self._sent.append((now, work))
        self._sent_sum += work
        return work > left

    def _forget_sent(self, now: float) -> None:
        while self._sent and self._sent[0][0] < now - self.shape.falls_within:
            self._sent_sum -= self._sent.popleft()[1]

    def _overrun(self, now: float) -> None:
        """The waiting room is full."""
        if self._full_since is None:
            self._full_since = now
        elif self.shape.overrun_after and now - self._full_since >= self.shape.overrun_after:
            self.fall()

    def fall(self) -> None:
        """It falls over: all that it had in hand is lost."""
        self.stop()
        self.fell()

    def stop(self) -> None:
        """It is down, and whatever it had in hand is gone."""
        self._step(self.kernel.time)
        self.up = False
        for job in (*self._waiting, *(job for _, _, job in self._running)):
            job.state = "over"
        self._waiting.clear()
        self._running.clear()
        self._in_work = 0
        self._full_since = None
        if self._next is not None:
            self._next.cancel()
            self._next = None

    def start(self) -> None:
        """It is up again, and cold."""
        self.up, self.born, self.worked_cold = True, self.kernel.time, 0.0
        self._sent.clear()
        self._sent_sum = 0.0
        self._at = self.kernel.time
