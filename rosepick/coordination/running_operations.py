"""The operations and reconfigurations of a quorum client that are not finished, and when they are retried."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..consensus.proposer import OperationOutcome, Proposer
from ..consensus.reconfiguration import QuorumReconfiguration
from ..net.event_loop import ScheduledCall

# Retry of an operation or reconfiguration without a result: the delay is doubled (1.5 times for a
# reconfiguration) after each retry, up to the maximum.
INITIAL_RETRY_DELAY_MS = 150.0
MAX_RETRY_DELAY_MS = 1_500.0
# Retry after a ballot conflict: the delay is doubled after each one, and drawn between half and three times.
INITIAL_CONFLICT_BACKOFF_MS = 8.0
# A proposer that waits much longer than the others meets a higher ballot at each retry.
MAX_CONFLICT_BACKOFF_MS = 250.0
OutcomeCallback = Callable[[OperationOutcome], None]


@dataclass(slots=True, eq=False)
class RetryState:
    """When something that is running is tried again."""

    retry_delay_ms: float = field(default=INITIAL_RETRY_DELAY_MS, kw_only=True)
    conflict_backoff_ms: float = field(default=INITIAL_CONFLICT_BACKOFF_MS, kw_only=True)
    retry_timer: ScheduledCall | None = field(default=None, kw_only=True)

    def cancel_retry(self) -> None:
        """Cancel the retry that is scheduled, if there is one."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()

    def next_conflict_delay(self, rng: random.Random) -> float:
        """Draw the delay in milliseconds after a ballot conflict, and double the next one."""
        delay_ms = self.conflict_backoff_ms * (0.5 + 2.5 * rng.random())
        self.conflict_backoff_ms = min(MAX_CONFLICT_BACKOFF_MS, 2.0 * self.conflict_backoff_ms)
        return delay_ms


@dataclass(slots=True, eq=False)
class RunningOperation(RetryState):
    """A read or a change of a register that has no outcome yet."""

    proposer: Proposer
    on_outcome: OutcomeCallback
    deadline_timer: ScheduledCall | None = None
    is_started: bool = False

    def cancel_timers(self) -> None:
        """Cancel the next retry and the deadline."""
        self.cancel_retry()
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()


@dataclass(slots=True, eq=False)
class RunningReconfiguration(RetryState):
    """A reconfiguration that is not finished yet."""

    reconfiguration: QuorumReconfiguration
    on_finished: Callable[[QuorumReconfiguration], None]
    is_preempted: bool = False
