"""Memory of requests between the first byte of their head and their final answer; no I/O."""

from __future__ import annotations

PIPELINED_FRACTION = 0.5  # maximum fraction of the budget while a request waits behind another one
LARGE_FRACTION = 0.75  # maximum fraction of the budget for long heads and bodies
SMALL_BYTES = 4 * 1024  # a request that holds no more may use the whole budget


class RequestBudget:
    """The number of bytes that all requests of a router together may hold.

    Requests that wait behind another one of their connection may use only a part of it, so that a few clients
    that send hundreds of requests at once leave memory for the others. So do requests with long heads or
    bodies, which a crowd of clients may leave incomplete.

    Args:
        total_bytes: the size of the budget.
    """

    def __init__(self, total_bytes: float) -> None:
        self.total_bytes = total_bytes
        self.held_bytes = 0

    def free_bytes(self, is_pipelined: bool, is_large: bool = False) -> float:
        """Return how many bytes a request may still reserve."""
        fraction = 1.0
        if is_pipelined:
            fraction = PIPELINED_FRACTION
        elif is_large:
            fraction = LARGE_FRACTION
        return max(0.0, fraction * self.total_bytes - self.held_bytes)


class RequestReservation:
    """The part of a budget that one request holds.

    Args:
        budget: the budget.
    """

    __slots__ = ("_budget", "_held_bytes", "is_pipelined")

    def __init__(self, budget: RequestBudget) -> None:
        self.is_pipelined = False  # whether the request waits behind another one of its connection
        self._budget = budget
        self._held_bytes = 0

    def try_grow(self, byte_count: int) -> bool:
        """Reserve further bytes; return False, without a change, if the budget has too few."""
        is_large = self._held_bytes + byte_count > SMALL_BYTES
        if byte_count > self._budget.free_bytes(self.is_pipelined, is_large):
            return False
        self._budget.held_bytes += byte_count
        self._held_bytes += byte_count
        return True

    def release(self) -> None:
        """Give all bytes back; no effect if there are none."""
        self._budget.held_bytes -= self._held_bytes
        self._held_bytes = 0
