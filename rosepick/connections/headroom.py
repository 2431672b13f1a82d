"""How many more connections clients can open, when that is used up, and which addresses hold too many."""

from __future__ import annotations

from dataclasses import dataclass

from .connection_table import ConnectionTable
from .descriptor_budget import DescriptorBudget
from .limit_estimator import ConnectionLimitEstimator
from .opening_rate import MS_PER_S, OpeningRateEstimator

HEADROOM_LOOKAHEAD_MS = 250.0  # slots are kept free for what is opened in this time ...
MIN_FREE_SLOTS = 2  # ... and so many more ...
MAX_FREE_FRACTION = 0.25  # ... but no more of the capacity than this
MAX_REPORTED_FILL_MS = 1e9  # stands for a time that never comes


@dataclass(slots=True)
class ConnectionLimits:
    """The operators' settings. Times are milliseconds."""

    client_connection_limit: int | None = None  # without it the limit is learned
    silent_timeout_ms: float = 2_200.0
    idle_timeout_ms: float = 8_000.0
    enforce_address_quota: bool = True  # whether an address is kept to its quota while capacity is short


@dataclass(frozen=True, slots=True)
class PressureSnapshot:
    """Why there is connection pressure, under the names of log fields."""

    capacity: int
    capacity_learned: int  # 1 if the limit of clients was learned from a probe
    open_rate_per_s: float
    time_until_full_ms: float
    idle_used_once_ms: float
    idle_reused_ms: float


class ConnectionHeadroom:
    """The capacity for client connections and what is left of it.

    Args:
        connection_table: the open connections.
        descriptors: the descriptors of this process.
        limits: the operators' settings.
        descriptor_limit: how many descriptors the process may hold.
        now: the present time, milliseconds.
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
        """Apply other settings, or another limit of descriptors."""
        if (limits.client_connection_limit, descriptor_limit) != (
            self.limits.client_connection_limit,
            self.descriptor_limit,
        ):
            self.limit_estimator.reconfigure(descriptor_limit, limits.client_connection_limit)
        self.limits = limits
        self.descriptor_limit = descriptor_limit

    def capacity(self) -> int:
        """Return how many connections clients can hold for requests, by their own limit and by ours."""
        return min(self.limit_estimator.limit, self.descriptors.downstream_limit())

    def free_slots(self) -> int:
        """Return how many more connections clients can open for requests.

        Connections that are new or lingering do not count: they are closed at once when a slot is needed.
        """
        return self.capacity() - self.connection_table.client_held_count()

    def target_free_slots(self, now: float) -> int:
        """Return how many slots are to be kept free."""
        expected_openings = int(self.opening_rate.net_rate(now) * HEADROOM_LOOKAHEAD_MS / MS_PER_S)
        return min(MIN_FREE_SLOTS + expected_openings, max(1, int(MAX_FREE_FRACTION * self.capacity())))

    def is_short_of_slots(self, now: float) -> bool:
        """Return whether fewer slots are free than are to be kept free."""
        return self.free_slots() < self.target_free_slots(now)

    def time_until_full(self, now: float) -> float:
        """Return in how many milliseconds all slots are taken at the present rate, if none is freed."""
        rate = self.opening_rate.net_rate(now)
        return MS_PER_S * max(0, self.free_slots()) / rate if rate > 0 else float("inf")

    def pressure_snapshot(self, now: float) -> PressureSnapshot:
        """Return the figures that decisions are based on at present."""
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
        """Return whether any address holds more than its quota, and quotas are enforced."""
        return (
            self.limits.enforce_address_quota
            and self.connection_table.address_quota.has_address_over_quota(self.capacity())
        )

    def exceeds_quota(self, peer: str) -> bool:
        """Return whether connections of an address are to be closed for its quota.

        Of the addresses over their quota, only those that hold the most, or nearly as many, are concerned.
        """
        quota = self.connection_table.address_quota
        return quota.count_for(peer) > max(quota.quota_for(peer, self.capacity()), quota.max_count() // 2)
