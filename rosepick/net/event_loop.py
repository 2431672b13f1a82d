"""Event loop with a selector for sockets and a heap of timers on the monotonic clock."""

from __future__ import annotations

import heapq
import logging
import selectors
import signal
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping
from types import FrameType

from ..logs import log_event, log_exception
from .loop_load import LoopLoad

logger = logging.getLogger(__name__)
READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
MAX_WAIT_S = 1.0  # maximum duration of one wait, in case a wake-up is lost
CALLS_PER_URGENT_CHECK = 16  # number of other callbacks between two polls of urgent sockets
REPEAT_INTERVAL_MS = 5.0  # time for other callbacks between two calls for a repeated socket
LATE_TIMER_WARNING_MS = 50.0  # longer delays of timers are logged
# Time in each turn for sockets and calls that count as bulk, or as much as all others took, if that is more.
# What is left of them waits for the next turn, so that many clients at once, or one at full speed, do not
# hold up all others.
BULK_BUDGET_MS = 5.0
MIN_CANCELLED_TIMERS = 256  # fewer cancelled timers stay in the heap until they are due
ReadyCallback = Callable[[int], None]
ReadySocket = tuple[selectors.SelectorKey, int]


def _ignore_cancel() -> None:
    """Do nothing when a timer is cancelled."""


class ScheduledCall:
    """A timer of the loop."""

    __slots__ = ("_on_cancel", "callback")

    def __init__(self, callback: Callable[[], None], on_cancel: Callable[[], None] = _ignore_cancel) -> None:
        self.callback: Callable[[], None] | None = callback
        self._on_cancel = on_cancel

    def take_callback(self) -> Callable[[], None] | None:
        """Return the callback, or None if the timer was cancelled, and drop the reference to it."""
        callback, self.callback = self.callback, None
        return callback

    def cancel(self) -> None:
        """Cancel the timer, and drop the reference to its callback at once."""
        if self.take_callback() is not None:
            self._on_cancel()


class EventLoop:
    """Waits for sockets and timers, and runs their callbacks."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._urgent_selector: selectors.EpollSelector | None = None
        self._prioritized: set[int] = set()  # descriptors of prioritized sockets
        self._repeated: set[int] = set()  # descriptors of repeated sockets
        self._heap: list[tuple[float, int, int, ScheduledCall]] = []
        self._bulk: set[int] = set()  # descriptors of bulk sockets
        self._last_bulk_fd = -1  # the next turn begins with the ready bulk socket after it
        self._next_turn: deque[Callable[[], None]] = deque()
        self._timer_count = 0
        self._cancelled_count = 0  # cancelled timers that are still in the heap
        self.stopped = False
        self.fault_count = 0
        self.load = LoopLoad(self.now())
        self._polled_at = self.now()  # time (ms) at which the selector last returned
        # Lower bound for the arrival time of this turn's events: the previous poll reported all earlier ones.
        self.events_since = self._polled_at
        self.idle_at = self._polled_at  # last time (ms) at which no socket was ready

    def now(self) -> float:
        """Return the monotonic time in milliseconds."""
        return self._clock() * 1000.0

    def call_at(self, at_ms: float, callback: Callable[[], None], run_first: bool = False) -> ScheduledCall:
        """Schedule a call at a time on the clock of `now`; `run_first` runs it before others of that time."""
        scheduled = ScheduledCall(callback, self._record_cancelled)
        self._timer_count += 1
        heapq.heappush(self._heap, (at_ms, 0 if run_first else 1, self._timer_count, scheduled))
        return scheduled

    def _record_cancelled(self) -> None:
        """Remove cancelled timers from the heap once they are the greater part of it.

        Otherwise each would stay until it is due, which a client that states a long deadline may put off for
        hours.
        """
        self._cancelled_count += 1
        if self._cancelled_count >= max(MIN_CANCELLED_TIMERS, 0.5 * len(self._heap)):
            # In place: a caller may be working on the list.
            self._heap[:] = [entry for entry in self._heap if entry[3].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> ScheduledCall:
        """Schedule a call after `delay_ms` milliseconds."""
        return self.call_at(self.now() + delay_ms, callback)

    def call_next_turn(self, callback: Callable[[], None]) -> None:
        """Schedule a bulk call in the next turn, or in a later one if others use up the time for them."""
        self._next_turn.append(callback)

    def register(
        self, sock: socket.socket, events: int, callback: ReadyCallback, urgent: bool = False
    ) -> None:
        """Watch a socket; an urgent one is also polled during a long batch of callbacks."""
        (self._get_urgent_selector() if urgent else self._selector).register(sock, events, callback)

    def modify(self, sock: socket.socket, events: int, callback: ReadyCallback, urgent: bool = False) -> None:
        """Change the events or callback of a watched socket."""
        (self._get_urgent_selector() if urgent else self._selector).modify(sock, events, callback)

    def prioritize(self, sock: socket.socket) -> None:
        """Serve a watched socket before other ready sockets and before late timers."""
        self._prioritized.add(sock.fileno())

    def repeat(self, sock: socket.socket) -> None:
        """Serve a watched socket several times in a long turn: again after every `REPEAT_INTERVAL_MS`.

        Suits a socket for which one call does only a part of the waiting work, such as a listening socket.
        """
        self._repeated.add(sock.fileno())

    def set_bulk(self, sock: socket.socket, is_bulk: bool) -> None:
        """Set whether a socket is served within the time for bulk only, after all others."""
        if is_bulk:
            self._bulk.add(sock.fileno())
        else:
            self._bulk.discard(sock.fileno())

    def forget(self, sock: socket.socket) -> None:
        """Forget how a socket is served, before it is closed and its descriptor is used again."""
        self._prioritized.discard(sock.fileno())
        self._bulk.discard(sock.fileno())

    def unregister(self, sock: socket.socket, urgent: bool = False) -> None:
        """Stop watching a socket."""
        self._prioritized.discard(sock.fileno())
        self._repeated.discard(sock.fileno())
        (self._get_urgent_selector() if urgent else self._selector).unregister(sock)

    def _get_urgent_selector(self) -> selectors.EpollSelector:
        """Return the selector of urgent sockets; the main selector watches it."""
        if self._urgent_selector is None:
            self._urgent_selector = selectors.EpollSelector()
            self._selector.register(self._urgent_selector.fileno(), READ, self._run_urgent_callbacks)
        return self._urgent_selector

    def _run_urgent_callbacks(self, _events: int = 0) -> None:
        if self._urgent_selector is not None:
            for key, events in self._urgent_selector.select(0):
                if self._urgent_selector.get_map().get(key.fd) is key:
                    self._run_callback(key.data, events)

    def add_signal_handlers(self, handlers: Mapping[int, Callable[[], None]]) -> None:
        """Run handlers in the loop after signals; simultaneous signals of one kind run a handler once."""
        receiver, wakeup = socket.socketpair()
        receiver.setblocking(False)
        wakeup.setblocking(False)

        def run_handlers(_events: int) -> None:
            try:
                numbers = receiver.recv(4096)  # each byte is the number of a signal
            except (BlockingIOError, InterruptedError):
                return  # the loop calls this again while data is left
            for number in sorted(set(numbers)):
                if number in handlers:
                    self._run_callback(handlers[number])

        def ignore_signal(number: int, frame: FrameType | None) -> None:
            """Ignore the signal; Python writes its number to the wake-up socket."""

        signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, ignore_signal)
        self._wakeup = wakeup  # keeps the socket open: the signal module stores only its descriptor
        self.register(receiver, READ, run_handlers)

    def stop(self) -> None:
        """End `run` after the current callback."""
        self.stopped = True

    def run(self) -> None:
        """Run until stopped."""
        while not self.stopped:
            self.step(MAX_WAIT_S)

    def close(self) -> None:
        """Discard all timers and scheduled calls, and close the selectors."""
        self._heap.clear()
        self._next_turn.clear()
        self._selector.close()
        if self._urgent_selector is not None:
            self._urgent_selector.close()

    def step(self, max_wait_s: float) -> None:
        """Wait once, for `max_wait_s` seconds at most, and run all callbacks that are due."""
        self._serve_prioritized_if_late()
        self._run_timers()
        wait_s = 0.0 if self._next_turn else max_wait_s
        if self._heap:
            wait_s = min(wait_s, max(0.0, (self._heap[0][0] - self.now()) / 1000.0))
        if self.stopped:
            return
        ready = self._prioritized_first(self._poll(wait_s))
        bulk = [entry for entry in ready if entry[0].fd in self._bulk]
        self._serve_others([entry for entry in ready if entry[0].fd not in self._bulk] if bulk else ready)
        self._serve_bulk(bulk)

    def _serve_others(self, ready: list[ReadySocket]) -> None:
        """Serve all ready sockets that are not bulk; urgent and repeated ones also in between."""
        repeated = [entry for entry in ready if entry[0].fd in self._repeated]
        repeat_at = self.now() + REPEAT_INTERVAL_MS
        for number, (key, events) in enumerate(ready, 1):
            self._serve(key, events)
            if number % CALLS_PER_URGENT_CHECK == 0:
                self._run_urgent_callbacks()
            if repeated and self.now() >= repeat_at:
                for entry in repeated:
                    self._serve(*entry)
                repeat_at = self.now() + REPEAT_INTERVAL_MS

    def _serve(self, key: selectors.SelectorKey, events: int) -> None:
        # Skip sockets that an earlier callback of this batch has closed.
        if self._selector.get_map().get(key.fd) is key:
            self._run_callback(key.data, events)
        # Run timers between callbacks, so that a long batch of reads does not delay deadlines.
        self._run_timers()

    def _serve_bulk(self, ready: list[ReadySocket]) -> None:
        """Serve bulk calls and sockets in turn, within their time; the others stay ready."""
        now = self.now()
        until = now + max(BULK_BUDGET_MS, now - self._polled_at)
        calls = len(self._next_turn)
        ready.sort(key=lambda entry: (entry[0].fd <= self._last_bulk_fd, entry[0].fd))
        for index in range(max(calls, len(ready))):
            if index < calls:
                self._run_callback(self._next_turn.popleft())
                self._run_timers()
            if index < len(ready):
                self._last_bulk_fd = ready[index][0].fd
                self._serve(*ready[index])
            if self.now() >= until:
                return

    def _poll(self, wait_s: float) -> list[ReadySocket]:
        """Return the ready sockets; wait for up to `wait_s` seconds if there are none."""
        turn_ended_at = self.now()
        ready = self._selector.select(0)
        if ready:
            self.events_since = self._polled_at
            self._polled_at = self.now()
        else:
            if wait_s > 0:
                ready = self._selector.select(wait_s)
            # No socket was ready before the wait, so all reported events are new.
            self.events_since = self.idle_at = self._polled_at = self.now()
        self.load.end_turn(turn_ended_at, self._polled_at)
        return ready

    def _prioritized_first(self, ready: list[ReadySocket]) -> list[ReadySocket]:
        if len(ready) > 1 and self._prioritized:
            ready.sort(key=lambda entry: entry[0].fd not in self._prioritized)
        return ready

    def _serve_prioritized_if_late(self) -> None:
        """Serve prioritized sockets before timers if these are late, for example after a suspension."""
        if not (self._prioritized and self._heap) or self.now() - self._heap[0][0] <= LATE_TIMER_WARNING_MS:
            return
        for key, events in self._selector.select(0):
            if key.fd in self._prioritized and self._selector.get_map().get(key.fd) is key:
                self._run_callback(key.data, events)

    def _run_timers(self) -> None:
        while self._heap and self._heap[0][0] <= self.now():
            due_at, _, _, scheduled = heapq.heappop(self._heap)
            callback = scheduled.take_callback()
            if callback is None:
                self._cancelled_count -= 1
            else:
                if self.now() - due_at > LATE_TIMER_WARNING_MS:
                    log_event(logger, logging.WARNING, "timer_late", delay_ms=self.now() - due_at)
                self._run_callback(callback)

    def _run_callback(self, callback: Callable[..., None], *args: int) -> None:
        """Run one callback; an exception is logged and does not end the process."""
        began_at = self.now()
        try:
            callback(*args)
        except Exception as error:
            self.fault_count += 1
            log_exception(logger, "event_loop_fault", error, count=self.fault_count)
        self.load.record_call(callback, self.now() - began_at)
