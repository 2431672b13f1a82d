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

from ..logs import log_event, log_exception

logger = logging.getLogger(__name__)
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
MAX_WAIT_S = 1.0  # seconds in one wait: a bound, should a wake-up ever be missed
CALLS_PER_URGENT_CHECK = 16  # calls of a batch after which what is urgent is looked at
LATE_TIMER_WARNING_MS = 50.0  # a timer later than this is worth a line
ReadyCallback = Callable[[int], None]


class ScheduledCall:
    """A call at some time."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Not wanted any more; what it would have called is let go at once."""
        self.callback = None


class EventLoop:
    """Waits for sockets and timers and calls whoever asked."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._urgent_selector: selectors.EpollSelector | None = None
        self._heap: list[tuple[float, int, int, ScheduledCall]] = []
        self._timer_count = 0
        self.stopped = False
        self.fault_count = 0

    def now(self) -> float:
        """Milliseconds, forward only."""
        return self._clock() * 1000.0

    def call_at(self, at_ms: float, callback: Callable[[], None], run_first: bool = False) -> ScheduledCall:
        """Call at that time or soon after; `run_first`: before the others of the same time."""
        timer = ScheduledCall(callback)
        self._timer_count += 1
        heapq.heappush(self._heap, (at_ms, 0 if run_first else 1, self._timer_count, timer))
        return timer

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> ScheduledCall:
        """Call after so many milliseconds."""
        return self.call_at(self.now() + delay_ms, callback)

    def register(
        self, sock: socket.socket, events: int, callback: ReadyCallback, urgent: bool = False
    ) -> None:
        """Call when a socket is ready; an urgent one also amid a long batch of others."""
        (self._get_urgent_selector() if urgent else self._selector).register(sock, events, callback)

    def modify(self, sock: socket.socket, events: int, callback: ReadyCallback, urgent: bool = False) -> None:
        """Wait for something else on a watched socket."""
        (self._get_urgent_selector() if urgent else self._selector).modify(sock, events, callback)

    def unregister(self, sock: socket.socket, urgent: bool = False) -> None:
        """Forget a socket."""
        (self._get_urgent_selector() if urgent else self._selector).unregister(sock)

    def _get_urgent_selector(self) -> selectors.EpollSelector:
        """The selector for what must not wait for a batch; the loop's own one wakes for it."""
        if self._urgent_selector is None:
            self._urgent_selector = selectors.EpollSelector()
            self._selector.register(self._urgent_selector.fileno(), READ, self._run_urgent_callbacks)
        return self._urgent_selector

    def _run_urgent_callbacks(self, events: int = 0) -> None:
        if self._urgent_selector is not None:
            for key, ready in self._urgent_selector.select(0):
                if self._urgent_selector.get_map().get(key.fd) is key:
                    self._run_callback(key.data, ready)

    def add_signal_handlers(self, handlers: Mapping[int, Callable[[], None]]) -> None:
        """Call from the loop after each of these signals; once for several of a kind that came together."""
        ours, wakeup = socket.socketpair()
        ours.setblocking(False)
        wakeup.setblocking(False)

        def wake(mask: int) -> None:
            # the bytes are the signals' numbers
            for number in sorted(set(ours.recv(4096))):
                if number in handlers:
                    self._run_callback(handlers[number])

        def note(number: int, frame: FrameType | None) -> None:
            """The write to the wake-up socket is all that is needed."""

        signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, note)
        self._wakeup = wakeup  # kept: the signal module holds a bare number
        self.register(ours, READ, wake)

    def stop(self) -> None:
        """End `run` after the present call."""
        self.stopped = True

    def run(self) -> None:
        """Serve until stopped."""
        while not self.stopped:
            self.step(MAX_WAIT_S)

    def close(self) -> None:
        """Let go of the selector."""
        self._heap.clear()
        self._selector.close()
        if self._urgent_selector is not None:
            self._urgent_selector.close()

    def step(self, max_wait_s: float) -> None:
        """Wait once, for so many seconds at most, and call all that is ready."""
        self._run_timers()
        wait = max_wait_s
        if self._heap:
            wait = min(wait, max(0.0, (self._heap[0][0] - self.now()) / 1000.0))
        if self.stopped:
            return
        for number, (key, mask) in enumerate(self._selector.select(wait), 1):
            # one that an earlier call of this batch has closed is no longer meant
            if self._selector.get_map().get(key.fd) is key:
                self._run_callback(key.data, mask)
            # guards against deadlines that pass behind a long batch of reads
            self._run_timers()
            if number % CALLS_PER_URGENT_CHECK == 0:
                self._run_urgent_callbacks()

    def _run_timers(self) -> None:
        while self._heap and self._heap[0][0] <= self.now():
            when, _, _, timer = heapq.heappop(self._heap)
            call = timer.callback
            if call is not None:
                if self.now() - when > LATE_TIMER_WARNING_MS:
                    log_event(logger, logging.WARNING, "timer_late", delay_ms=self.now() - when)
                self._run_callback(call)

    def _run_callback(self, callback: Callable[..., None], *args: int) -> None:
        """One call; what it raises must not end the process."""
        try:
            callback(*args)
        except Exception as problem:
            self.fault_count += 1
            log_exception(logger, "event_loop_fault", problem, count=self.fault_count)
