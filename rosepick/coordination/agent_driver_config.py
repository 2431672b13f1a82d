"""Settings of an agent's driver and of its failure detector's driver."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from ..fleet.failure_detector import FailureDetectorPolicy
from ..fleet.rollout_leader import RolloutPolicy
from ..leases.lease_client import LeaseConfig

AGENT_OPERATION_TIMEOUT_MS = 1_500.0
DEFAULT_REPORT_INTERVAL_MS = 1_500.0


@dataclass(frozen=True, slots=True)
class AgentDriverConfig:
    """Holds the settings of an agent's driver.

    `group` names the fleet state. `lease` and `detector` apply while this agent runs the failure detector;
    `rollout` applies while it leads rollouts (None: it never does). `report_interval_ms` is the time between
    two health reports. `wall_clock` returns seconds since the Unix epoch.
    """

    group: str
    lease: LeaseConfig
    detector: FailureDetectorPolicy
    report_interval_ms: float = DEFAULT_REPORT_INTERVAL_MS
    rollout: RolloutPolicy | None = None
    wall_clock: Callable[[], float] = time.time
