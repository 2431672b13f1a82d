"""Holds a lease: runs the operations of a `LeaseClient` on the quorum, and reports its state changes."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..consensus.proposer import OperationOutcome
from ..leases.lease_client import LeaseClient, LeaseConfig, LeaseState
from ..logs import log_event
from ..net.event_loop import EventLoop, ScheduledCall
from .quorum_client import QuorumClient

logger = logging.getLogger(__name__)
OPERATION_TIMEOUT_SHARE = 0.25  # share of the lease's time to live
MIN_OPERATION_TIMEOUT_MS = 300.0
MAX_WAKEUP_INTERVAL_MS = 100.0
MIN_WAKEUP_INTERVAL_MS = 1.0
RELEASE_LOOP_STEP_S = 0.05
FINAL_STATES = (LeaseState.LOST, LeaseState.ENDED)


class LeaseHolder:
    """Waits for one lease and renews it.

    `on_change` is called with the value of each new `LeaseState`, and with "doubt" when a held lease may
    expire because renewals have failed.
    """

    def __init__(
        self,
        quorum_client: QuorumClient,
        task: str,
        name: str,
        config: LeaseConfig,
        on_change: Callable[[str], None] = lambda _event: None,
    ) -> None:
        self.quorum_client = quorum_client
        self.loop = quorum_client.loop
        self.lease_client = LeaseClient(task, name, quorum_client.client_id, config, quorum_client.rng.random)
        self._on_change = on_change
        self._timer: ScheduledCall | None = None
        self._doubt_reported = False
        self._reported_state = LeaseState.WAITING
        self._advance()

    def may_act(self) -> bool:
        """Return whether a step of work is allowed now; the caller checks this before each step."""
        return self.lease_client.may_act(self.loop.now())

    def release(self, successor: str = "") -> None:
        """Release the lease, to `successor` if it is waiting; the caller has stopped its work before."""
        self.lease_client.release(successor)
        self._advance()

    def _advance(self) -> None:
        """Run the next operation, if one is due, and schedule the next call."""
        if self._timer is not None:
            self._timer.cancel()
        now = self.loop.now()
        operation = self.lease_client.next_operation(now)
        if operation is not None:
            self.quorum_client.execute(
                operation.key,
                operation.change,
                self._handle_outcome,
                max(MIN_OPERATION_TIMEOUT_MS, OPERATION_TIMEOUT_SHARE * self.lease_client.config.ttl_ms),
            )
        self._report_changes()
        if self.lease_client.state not in FINAL_STATES:
            latest = now + MAX_WAKEUP_INTERVAL_MS
            wakeup = self.lease_client.next_wakeup(now) if operation is None else latest
            self._timer = self.loop.call_at(
                max(now + MIN_WAKEUP_INTERVAL_MS, min(wakeup, latest)), self._advance
            )

    def _handle_outcome(self, outcome: OperationOutcome) -> None:
        self.lease_client.handle_outcome(self.loop.now(), outcome)
        self._advance()

    def _report_changes(self) -> None:
        lease_client = self.lease_client
        now = self.loop.now()
        if lease_client.state is not self._reported_state:
            self._reported_state = lease_client.state
            self._doubt_reported = False
            level = logging.WARNING if lease_client.state is LeaseState.LOST else logging.INFO
            log_event(
                logger,
                level,
                f"lease_{lease_client.state.name.lower()}",
                task=lease_client.task,
                name=lease_client.name,
                token=lease_client.token,
            )
            self._on_change(lease_client.state.value)
        in_doubt = lease_client.is_in_doubt(now)
        if in_doubt and not self._doubt_reported:
            log_event(
                logger,
                logging.WARNING,
                "lease_in_doubt",
                task=lease_client.task,
                remaining_ms=lease_client.remaining_ms(now),
            )
            self._on_change("doubt")
        self._doubt_reported = in_doubt


def release_leases(loop: EventLoop, holders: list[LeaseHolder], timeout_ms: float) -> None:
    """Release all leases and run the loop until they are released, for at most `timeout_ms` milliseconds."""
    for holder in holders:
        holder.release()
    deadline = loop.now() + timeout_ms
    while loop.now() < deadline and any(holder.lease_client.state not in FINAL_STATES for holder in holders):
        loop.step(RELEASE_LOOP_STEP_S)
