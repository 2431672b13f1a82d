"""Throttles for new connections: accepts in batches, TLS handshakes within a fraction of the CPU time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MAX_ACCEPTS = 32  # accepts in one batch
MAX_ACCEPT_MS = 3.0  # duration of one batch, so that timers, responses and upstreams are served in between
MAX_BURST_CPU_MS = 20.0  # CPU time that a burst of handshakes may take


class AcceptThrottle:
    """One batch of accepts.

    Args:
        now: the current time, milliseconds.
    """

    __slots__ = ("_accepts_left", "_deadline")

    def __init__(self, now: float) -> None:
        self._accepts_left = MAX_ACCEPTS
        self._deadline = now + MAX_ACCEPT_MS

    def try_accept(self, now: float) -> bool:
        """Count an accept, and return whether it is within the limits of the batch."""
        self._accepts_left -= 1
        return self._accepts_left >= 0 and now < self._deadline


class HandshakeThrottle:
    """Limits handshakes to a fraction of the CPU time; further handshakes wait in order of arrival.

    A token bucket fills at `cpu_fraction` milliseconds per millisecond, and handshakes take their CPU time
    from it. A handshake may proceed while the bucket is not empty, whatever its cost, so the limit is
    exceeded by at most one handshake.

    Args:
        cpu_fraction: the CPU time of handshakes as a fraction of the elapsed time, 0 to 1.
        now: the current time, milliseconds.
    """

    def __init__(self, cpu_fraction: float, now: float) -> None:
        self.cpu_fraction = cpu_fraction
        self._cpu_tokens_ms = MAX_BURST_CPU_MS
        self._filled_at = now
        self._waiting: deque[Callable[[], None]] = deque()

    def __len__(self) -> int:
        """Return how many handshakes wait."""
        return len(self._waiting)

    def may_proceed(self, now: float) -> bool:
        """Return whether a handshake that arrives now may proceed at once."""
        self._refill(now)
        return not self._waiting and self._cpu_tokens_ms > 0

    def enqueue(self, resume: Callable[[], None]) -> None:
        """Add a waiting handshake; `resume` is called when it may proceed."""
        self._waiting.append(resume)

    def charge_cpu(self, cpu_ms: float) -> None:
        """Record the CPU time of a handshake or of one step of it, in milliseconds."""
        self._cpu_tokens_ms -= cpu_ms

    def pop_ready(self, now: float) -> Callable[[], None] | None:
        """Remove and return the next waiting handshake, or None if none may proceed."""
        self._refill(now)
        return self._waiting.popleft() if self._waiting and self._cpu_tokens_ms > 0 else None

    def next_delay_ms(self) -> float | None:
        """Return the milliseconds until the next handshake may proceed, or None if none waits."""
        if not self._waiting:
            return None
        return max(1.0, -self._cpu_tokens_ms / self.cpu_fraction) if self._cpu_tokens_ms <= 0 else 0.0

    def _refill(self, now: float) -> None:
        self._cpu_tokens_ms = min(
            MAX_BURST_CPU_MS, self._cpu_tokens_ms + self.cpu_fraction * (now - self._filled_at)
        )
        self._filled_at = now
