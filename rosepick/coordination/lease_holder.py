"""Driver of contenders: asks the quorum what they want to know, and tells who uses them what has become of
it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..consensus.proposer import OperationOutcome
from ..leases.lease_client import LeaseClient, LeaseConfig, LeaseState
from ..logs import log_event
from ..net.event_loop import EventLoop, ScheduledCall
from .quorum_client import QuorumClient

logger = logging.getLogger(__name__)
OPERATION_TIMEOUT_SHARE = 0.25  # of the time to live: so long a question to the quorum may take


class LeaseHolder:
    """Holds or waits for one lease. `told` is called when it is taken, in doubt, lost or ended."""

    def __init__(
        self,
        quorum_client: QuorumClient,
        task: str,
        name: str,
        config: LeaseConfig,
        on_change: Callable[[str], None] = lambda what: None,
    ) -> None:
        self.quorum_client, self.loop = quorum_client, quorum_client.loop
        self.lease_client = LeaseClient(task, name, quorum_client.client_id, config, quorum_client.rng.random)
        self._on_change = on_change
        self._timer: ScheduledCall | None = None
        self._doubt_reported = False
        self._reported_state = LeaseState.WAITING
        self._advance()

    def may_act(self) -> bool:
        """Whether a step may be taken now. To be asked before each."""
        return self.lease_client.may_act(self.loop.now())

    def release(self, successor: str = "") -> None:
        """The work has stopped."""
        self.lease_client.release(successor)
        self._advance()

    def _advance(self) -> None:
        """Ask what is to be asked, and come back when there is more."""
        if self._timer is not None:
            self._timer.cancel()
        now = self.loop.now()
        ask = self.lease_client.next_operation(now)
        if ask is not None:
            self.quorum_client.execute(
                ask.key,
                ask.change,
                self._handle_outcome,
                max(300.0, OPERATION_TIMEOUT_SHARE * self.lease_client.config.ttl_ms),
            )
        self._report_changes()
        if self.lease_client.state not in (LeaseState.LOST, LeaseState.ENDED):
            wake = self.lease_client.next_wakeup(now) if ask is None else now + 100.0
            self._timer = self.loop.call_at(max(now + 1.0, min(wake, now + 100.0)), self._advance)

    def _handle_outcome(self, outcome: OperationOutcome) -> None:
        self.lease_client.handle_outcome(self.loop.now(), outcome)
        self._advance()

    def _report_changes(self) -> None:
        contender, now = self.lease_client, self.loop.now()
        if contender.state is not self._reported_state:
            self._reported_state, self._doubt_reported = contender.state, False
            level = logging.WARNING if contender.state is LeaseState.LOST else logging.INFO
            log_event(
                logger,
                level,
                f"lease_{contender.state.name.lower()}",
                task=contender.task,
                name=contender.name,
                token=contender.token,
            )
            self._on_change(contender.state.value)
        doubt = contender.is_in_doubt(now)
        if doubt and not self._doubt_reported:
            log_event(
                logger,
                logging.WARNING,
                "lease_in_doubt",
                task=contender.task,
                remaining_ms=contender.remaining_ms(now),
            )
            self._on_change("doubt")
        self._doubt_reported = doubt


def release_leases(loop: EventLoop, holders: list[LeaseHolder], timeout_ms: float) -> None:
    """Give leases back and let the loop go on until they are, or for so long."""
    for keeper in holders:
        keeper.release()
    until = loop.now() + timeout_ms
    while loop.now() < until and any(
        k.lease_client.state not in (LeaseState.LOST, LeaseState.ENDED) for k in holders
    ):
        loop.step(0.05)
