"""How much of a crowd is let in at one time: accepts in portions, and TLS handshakes with a part of the
time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MAX_ACCEPTS = 32  # accepts in one go ...
MAX_ACCEPT_MS = 3.0  # ... and milliseconds, so that timers, answers and next hops get their turn


class AcceptThrottle:
    """One go of accepting."""

    __slots__ = ("_accepts_left", "_deadline")

    def __init__(self, now: float) -> None:
        self._accepts_left, self._deadline = MAX_ACCEPTS, now + MAX_ACCEPT_MS

    def try_accept(self, now: float) -> bool:
        """Whether one more may be accepted; counts it."""
        self._accepts_left -= 1
        return self._accepts_left >= 0 and now < self._deadline


MAX_BURST_CPU_MS = 20.0  # milliseconds of CPU that handshakes may take at once


class HandshakeThrottle:
    """Handshakes have a part of the time: those beyond it wait, the first that came first.

    A bucket fills with that part of the time that passes and is emptied by the CPU time that handshakes took.
    One goes on as soon as the bucket is not empty, whatever it will take; so they are over by one at most.
    """

    def __init__(self, cpu_fraction: float, now: float) -> None:
        self.cpu_fraction = cpu_fraction  # of the time, 0 to 1
        self._cpu_tokens_ms = MAX_BURST_CPU_MS
        self._filled_at = now
        self._waiting: deque[Callable[[], None]] = deque()

    def __len__(self) -> int:
        """How many wait."""
        return len(self._waiting)

    def may_proceed(self, now: float) -> bool:
        """Whether one may go on at this moment, before which nobody waits."""
        self._refill(now)
        return not self._waiting and self._cpu_tokens_ms > 0

    def enqueue(self, resume: Callable[[], None]) -> None:
        """Have one called when its turn comes."""
        self._waiting.append(resume)

    def charge_cpu(self, cpu_ms: float) -> None:
        """A handshake, or a step of it, took so many milliseconds of CPU."""
        self._cpu_tokens_ms -= cpu_ms

    def pop_ready(self, now: float) -> Callable[[], None] | None:
        """The one whose turn it is, if any may go on."""
        self._refill(now)
        return self._waiting.popleft() if self._waiting and self._cpu_tokens_ms > 0 else None

    def next_delay_ms(self) -> float | None:
        """After how many milliseconds to ask for the next; None if nobody waits."""
        if not self._waiting:
            return None
        return max(1.0, -self._cpu_tokens_ms / self.cpu_fraction) if self._cpu_tokens_ms <= 0 else 0.0

    def _refill(self, now: float) -> None:
        self._cpu_tokens_ms = min(
            MAX_BURST_CPU_MS, self._cpu_tokens_ms + self.cpu_fraction * (now - self._filled_at)
        )
        self._filled_at = now
