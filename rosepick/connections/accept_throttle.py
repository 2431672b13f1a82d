"""Throttles of new connections: accepts in batches, TLS handshakes within a fraction of the CPU time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MAX_ACCEPTS = 32  # accepts in one batch
MAX_ACCEPT_MS = 3.0  # the duration of one batch, so that timers, responses and upstreams get their turn
MAX_BURST_CPU_MS = 20.0  # CPU time that handshakes may take at once


class AcceptThrottle:
    """One batch of accepts.

    Args:
        now: the present time, milliseconds.
    """

    __slots__ = ("_accepts_left", "_deadline")

    def __init__(self, now: float) -> None:
        self._accepts_left = MAX_ACCEPTS
        self._deadline = now + MAX_ACCEPT_MS

    def try_accept(self, now: float) -> bool:
        """Count one more accept, and return whether it is still within the batch."""
        self._accepts_left -= 1
        return self._accepts_left >= 0 and now < self._deadline


class HandshakeThrottle:
    """Limits handshakes to a fraction of the time; those beyond it wait in the order of their arrival.

    A token bucket fills with that fraction of the time that passes and is emptied by the CPU time that
    handshakes took. A handshake proceeds as soon as the bucket is not empty, whatever it will take; so the
    limit is exceeded by one handshake at most.

    Args:
        cpu_fraction: the fraction of the time, 0 to 1.
        now: the present time, milliseconds.
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
        """Add a handshake that is to be resumed by a call when its turn comes."""
        self._waiting.append(resume)

    def charge_cpu(self, cpu_ms: float) -> None:
        """Record the CPU time of a handshake or a step of it, milliseconds."""
        self._cpu_tokens_ms -= cpu_ms

    def pop_ready(self, now: float) -> Callable[[], None] | None:
        """Remove and return the handshake whose turn it is, or None if none may proceed."""
        self._refill(now)
        return self._waiting.popleft() if self._waiting and self._cpu_tokens_ms > 0 else None

    def next_delay_ms(self) -> float | None:
        """Return after how many milliseconds the next handshake may proceed, or None if none waits."""
        if not self._waiting:
            return None
        return max(1.0, -self._cpu_tokens_ms / self.cpu_fraction) if self._cpu_tokens_ms <= 0 else 0.0

    def _refill(self, now: float) -> None:
        self._cpu_tokens_ms = min(
            MAX_BURST_CPU_MS, self._cpu_tokens_ms + self.cpu_fraction * (now - self._filled_at)
        )
        self._filled_at = now
