"""One loop: a selector for sockets and a heap of timers on the monotonic clock."""

from __future__ import annotations

import heapq
import logging
import selectors
import signal
import socket
import time
from collections.abc import Callable, Mapping
from types import FrameType

from ..logs import fault, say

log = logging.getLogger(__name__)
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
LONGEST_WAIT = 1.0  # seconds in one wait: a bound, should a wake-up ever be missed
URGENT_EACH = 16  # calls of a batch after which what is urgent is looked at
LATE = 50.0  # a timer later than this is worth a line
Ready = Callable[[int], None]


class Timer:
    """A call at some time."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Not wanted any more; what it would have called is let go at once."""
        self.call = None


class Loop:
    """Waits for sockets and timers and calls whoever asked."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._urgent: selectors.EpollSelector | None = None
        self._heap: list[tuple[float, int, int, Timer]] = []
        self._count = 0
        self.stopped = False
        self.faults = 0

    def now(self) -> float:
        """Milliseconds, forward only."""
        return self._clock() * 1000.0

    def at(self, when: float, call: Callable[[], None], first: bool = False) -> Timer:
        """Call at that time or soon after; `first`: before the others of the same time."""
        timer = Timer(call)
        self._count += 1
        heapq.heappush(self._heap, (when, 0 if first else 1, self._count, timer))
        return timer

    def after(self, delay: float, call: Callable[[], None]) -> Timer:
        """Call after so many milliseconds."""
        return self.at(self.now() + delay, call)

    def watch(self, sock: socket.socket, mask: int, ready: Ready, urgent: bool = False) -> None:
        """Call when a socket is ready; an urgent one also amid a long batch of others."""
        (self._urgently() if urgent else self._selector).register(sock, mask, ready)

    def rewatch(self, sock: socket.socket, mask: int, ready: Ready, urgent: bool = False) -> None:
        """Wait for something else on a watched socket."""
        (self._urgently() if urgent else self._selector).modify(sock, mask, ready)

    def unwatch(self, sock: socket.socket, urgent: bool = False) -> None:
        """Forget a socket."""
        (self._urgently() if urgent else self._selector).unregister(sock)

    def _urgently(self) -> selectors.EpollSelector:
        """The selector for what must not wait for a batch; the loop's own one wakes for it."""
        if self._urgent is None:
            self._urgent = selectors.EpollSelector()
            self._selector.register(self._urgent.fileno(), READ, self._look_at_urgent)
        return self._urgent

    def _look_at_urgent(self, mask: int = 0) -> None:
        if self._urgent is not None:
            for key, ready in self._urgent.select(0):
                if self._urgent.get_map().get(key.fd) is key:
                    self._call(key.data, ready)

    def on_signals(self, calls: Mapping[int, Callable[[], None]]) -> None:
        """Call from the loop after each of these signals; once for several of a kind that came together."""
        ours, wakeup = socket.socketpair()
        ours.setblocking(False)
        wakeup.setblocking(False)

        def wake(mask: int) -> None:
            # the bytes are the signals' numbers
            for number in sorted(set(ours.recv(4096))):
                if number in calls:
                    self._call(calls[number])

        def note(number: int, frame: FrameType | None) -> None:
            """The write to the wake-up socket is all that is needed."""

        signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
        for number in calls:
            signal.signal(number, note)
        self._wakeup = wakeup  # kept: the signal module holds a bare number
        self.watch(ours, READ, wake)

    def stop(self) -> None:
        """End `run` after the present call."""
        self.stopped = True

    def run(self) -> None:
        """Serve until stopped."""
        while not self.stopped:
            self.step(LONGEST_WAIT)

    def close(self) -> None:
        """Let go of the selector."""
        self._heap.clear()
        self._selector.close()
        if self._urgent is not None:
            self._urgent.close()

    def step(self, longest: float) -> None:
        """Wait once, for so many seconds at most, and call all that is ready."""
        self._run_timers()
        wait = longest
        if self._heap:
            wait = min(wait, max(0.0, (self._heap[0][0] - self.now()) / 1000.0))
        if self.stopped:
            return
        for number, (key, mask) in enumerate(self._selector.select(wait), 1):
            # one that an earlier call of this batch has closed is no longer meant
            if self._selector.get_map().get(key.fd) is key:
                self._call(key.data, mask)
            # guards against deadlines that pass behind a long batch of reads
            self._run_timers()
            if number % URGENT_EACH == 0:
                self._look_at_urgent()

    def _run_timers(self) -> None:
        while self._heap and self._heap[0][0] <= self.now():
            when, _, _, timer = heapq.heappop(self._heap)
            call = timer.call
            if call is not None:
                if self.now() - when > LATE:
                    say(log, logging.WARNING, "timer_late", by_ms=self.now() - when)
                self._call(call)

    def _call(self, call: Callable[..., None], *given: int) -> None:
        """One call; what it raises must not end the process."""
        try:
            call(*given)
        except Exception as problem:
            self.faults += 1
            fault(log, "loop_fault", problem, count=self.faults)
