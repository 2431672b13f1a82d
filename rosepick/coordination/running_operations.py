"""Holds the unfinished operations and reconfigurations of a quorum client, and schedules their retries."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..consensus.proposer import OperationOutcome, Proposer
from ..consensus.reconfiguration import QuorumReconfiguration
from ..net.event_loop import ScheduledCall

# Delay before the first retry without a result. It grows by a factor of 2 with each retry of an operation,
# and by a factor of 1.5 with each retry of a reconfiguration.
INITIAL_RETRY_DELAY_MS = 150.0
MAX_RETRY_DELAY_MS = 1_500.0
# Backoff after a ballot conflict, doubled after each one. The delay is drawn between 0.5 and 3 times this.
INITIAL_CONFLICT_BACKOFF_MS = 8.0
# With a longer backoff than its competitors, a proposer would find a higher ballot at each retry.
MAX_CONFLICT_BACKOFF_MS = 250.0
OutcomeCallback = Callable[[OperationOutcome], None]


@dataclass(slots=True, eq=False)
class RetryState:
    """Holds the retry delays and the retry timer of an operation or a reconfiguration."""

    retry_delay_ms: float = field(default=INITIAL_RETRY_DELAY_MS, kw_only=True)
    conflict_backoff_ms: float = field(default=INITIAL_CONFLICT_BACKOFF_MS, kw_only=True)
    retry_timer: ScheduledCall | None = field(default=None, kw_only=True)

    def cancel_retry(self) -> None:
        """Cancel the scheduled retry, if there is one."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()

    def next_conflict_delay(self, rng: random.Random) -> float:
        """Draw the delay in milliseconds after a ballot conflict, and double the backoff."""
        delay_ms = self.conflict_backoff_ms * (0.5 + 2.5 * rng.random())
        self.conflict_backoff_ms = min(MAX_CONFLICT_BACKOFF_MS, 2.0 * self.conflict_backoff_ms)
        return delay_ms


@dataclass(slots=True, eq=False)
class RunningOperation(RetryState):
    """Is a read or a change of a register that has no outcome yet."""

    proposer: Proposer
    on_outcome: OutcomeCallback
    deadline_timer: ScheduledCall | None = None
    is_started: bool = False

    def cancel_timers(self) -> None:
        """Cancel the scheduled retry and the deadline."""
        self.cancel_retry()
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()


@dataclass(slots=True, eq=False)
class RunningReconfiguration(RetryState):
    """Is a reconfiguration that is not finished yet."""

    reconfiguration: QuorumReconfiguration
    on_finished: Callable[[QuorumReconfiguration], None]
    is_preempted: bool = False
