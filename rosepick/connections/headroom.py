"""Remaining capacity for client connections: free slots, time until none is left, addresses over quota."""

from __future__ import annotations

from dataclasses import dataclass

from .connection_table import ConnectionTable
from .descriptor_budget import DescriptorBudget
from .limit_estimator import ConnectionLimitEstimator
from .opening_rate import MS_PER_S, OpeningRateEstimator

HEADROOM_LOOKAHEAD_MS = 250.0  # slots are kept free for the openings expected in this time
MIN_FREE_SLOTS = 2  # slots that are kept free in addition to the expected openings
MAX_FREE_FRACTION = 0.25  # upper bound of the slots that are kept free, as a fraction of the capacity
MAX_REPORTED_FILL_MS = 1e9  # logged instead of an infinite time


@dataclass(slots=True)
class ConnectionLimits:
    """Connection settings of the operator file. Times are milliseconds."""

    client_connection_limit: int | None = None  # None: the limit is learned
    silent_timeout_ms: float = 2_200.0
    idle_timeout_ms: float = 8_000.0
    enforce_address_quota: bool = True  # limit each address to its quota while capacity is short


@dataclass(frozen=True, slots=True)
class PressureSnapshot:
    """State of the connection policy under pressure; the fields are log fields."""

    capacity: int
    capacity_learned: int  # 1 if a probe confirmed the clients' limit, else 0
    open_rate_per_s: float
    time_until_full_ms: float
    idle_used_once_ms: float
    idle_reused_ms: float


class ConnectionHeadroom:
    """Computes the capacity for client connections and the part that is free.

    Args:
        connection_table: the open connections.
        descriptors: the descriptor budget of this process.
        limits: the connection settings of the operator file.
        descriptor_limit: the maximum number of descriptors of the process.
        now: the current time, milliseconds.
    """

    def __init__(
        self,
        connection_table: ConnectionTable,
        descriptors: DescriptorBudget,
        limits: ConnectionLimits,
        descriptor_limit: int,
        now: float,
    ) -> None:
        self.connection_table = connection_table
        self.descriptors = descriptors
        self.limits = limits
        self.descriptor_limit = descriptor_limit
        self.limit_estimator = ConnectionLimitEstimator(descriptor_limit, limits.client_connection_limit)
        self.opening_rate = OpeningRateEstimator(now)

    def apply_limits(self, limits: ConnectionLimits, descriptor_limit: int) -> None:
        """Apply changed connection settings or a changed descriptor limit."""
        if (limits.client_connection_limit, descriptor_limit) != (
            self.limits.client_connection_limit,
            self.descriptor_limit,
        ):
            self.limit_estimator.reconfigure(descriptor_limit, limits.client_connection_limit)
        self.limits = limits
        self.descriptor_limit = descriptor_limit

    def capacity(self) -> int:
        """Return how many connections clients can hold: the lower of their own limit and the router's."""
        return min(self.limit_estimator.limit, self.descriptors.downstream_limit())

    def free_slots(self) -> int:
        """Return how many more connections clients can open for requests.

        New and lingering connections do not count as held, because they are closed at once when a slot is
        needed.
        """
        return self.capacity() - self.connection_table.client_held_count()

    def target_free_slots(self, now: float) -> int:
        """Return how many slots the policy keeps free."""
        expected_openings = int(self.opening_rate.net_rate(now) * HEADROOM_LOOKAHEAD_MS / MS_PER_S)
        return min(MIN_FREE_SLOTS + expected_openings, max(1, int(MAX_FREE_FRACTION * self.capacity())))

    def is_short_of_slots(self, now: float) -> bool:
        """Return whether fewer slots are free than the target."""
        return self.free_slots() < self.target_free_slots(now)

    def time_until_full(self, now: float) -> float:
        """Return the milliseconds until no slot is free at the current opening rate, if none is freed."""
        rate = self.opening_rate.net_rate(now)
        return MS_PER_S * max(0, self.free_slots()) / rate if rate > 0 else float("inf")

    def pressure_snapshot(self, now: float) -> PressureSnapshot:
        """Return the values that the current decisions are based on."""
        idle = self.connection_table.idle
        return PressureSnapshot(
            self.capacity(),
            int(self.limit_estimator.is_learned),
            self.opening_rate.net_rate(now),
            min(self.time_until_full(now), MAX_REPORTED_FILL_MS),
            idle.used_once.expected_idle_ms(now),
            idle.reused.expected_idle_ms(now),
        )

    def has_address_over_quota(self) -> bool:
        """Return whether quotas are enforced and an address exceeds its quota."""
        return (
            self.limits.enforce_address_quota
            and self.connection_table.address_quota.has_address_over_quota(self.capacity())
        )

    def exceeds_quota(self, peer: str) -> bool:
        """Return whether connections of an address may be closed because of its quota.

        This applies only to addresses over their quota that hold more than half as many connections as the
        address with the most.
        """
        quota = self.connection_table.address_quota
        return quota.count_for(peer) > max(quota.quota_for(peer, self.capacity()), quota.max_count() // 2)
