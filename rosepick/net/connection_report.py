"""Log lines about client connections: counts, connection pressure and accept queues."""

from __future__ import annotations

import logging
import socket
from collections.abc import Iterable
from dataclasses import asdict

from ..connections.connection_table import CloseReason, ConnectionTable
from ..connections.descriptor_budget import DescriptorBudget
from ..connections.policy import ConnectionPolicy
from ..logs import log_event
from . import accept_queue

# The name of the listener's logger: the rate limits of log lines apply to both modules together.
logger = logging.getLogger(f"{__package__}.listener")


class ConnectionReport:
    """Logs the counts of client connections, connection pressure and overflows of accept queues."""

    def __init__(self, table: ConnectionTable, policy: ConnectionPolicy, budget: DescriptorBudget) -> None:
        self._table = table
        self._policy = policy
        self._budget = budget
        self._pressure_since: float | None = None  # start of the connection pressure that was logged
        self._closed_counts_before: dict[CloseReason, int] = {}
        self._unclaimed_evictions = 0
        self._overflow_count = accept_queue.overflows()

    def log_pressure(self, now: float) -> None:
        """Log the start and end of connection pressure, and evictions whose slots no client used."""
        since = self._policy.pressure_since
        if since is not None and self._pressure_since is None:
            self._log_pressure_begin(now)
        elif since is None and self._pressure_since is not None:
            self._log_pressure_end(now - self._pressure_since)
        self._pressure_since = since
        if self._policy.unclaimed_evictions > self._unclaimed_evictions:
            self._unclaimed_evictions = self._policy.unclaimed_evictions
            log_event(
                logger,
                logging.INFO,
                "evictions_unclaimed",
                count=self._unclaimed_evictions,
                **self._table.counts_by_kind(),
            )

    def _log_pressure_begin(self, now: float) -> None:
        self._closed_counts_before = dict(self._table.closed_by_reason)
        log_event(
            logger,
            logging.INFO,
            "connection_pressure_started",
            reason=self._policy.pressure_reason.name.lower(),
            **self._table.counts_by_kind(),
            **asdict(self._policy.pressure_snapshot(now)),
        )

    def _log_pressure_end(self, duration_ms: float) -> None:
        closed = {
            reason: count - self._closed_counts_before.get(reason, 0)
            for reason, count in self._table.closed_by_reason.items()
        }
        log_event(
            logger,
            logging.INFO,
            "connection_pressure_ended",
            duration_ms=duration_ms,
            **{
                f"closed_{reason.name.lower()}": closed[reason]
                for reason in CloseReason
                if closed.get(reason)
            },
        )

    def log_summary(self) -> None:
        """Log the counts of connections by kind, close reason and listener, and of descriptors by use."""
        closed = {f"closed_{reason.name.lower()}": n for reason, n in self._table.closed_by_reason.items()}
        listeners = {f"listener_{name}": n for name, n in self._table.open_by_listener.items()}
        purposes = {
            f"descriptors_{purpose.name.lower()}": n for purpose, n in self._budget.used_by_purpose.items()
        }
        log_event(
            logger,
            logging.INFO,
            "connections",
            **self._table.counts_by_kind(),
            capacity=self._policy.capacity(),
            opened=self._table.opened_total,
            requests=self._table.request_total,
            addresses=len(self._table.address_quota),
            **dict(sorted(closed.items())),
            **dict(sorted(listeners.items())),
            **purposes,
        )

    def log_queue_overflows(self, sockets: Iterable[tuple[str, socket.socket]]) -> None:
        """Log overflows of accept queues since the last call; affected clients wait a second or more.

        The kernel counts overflows of all listening sockets of the machine together, so each of the router's
        sockets is logged with its present queue length.

        Args:
            sockets: the names and listening sockets of this router; empty once they are closed.
        """
        overflows = accept_queue.overflows()
        before, self._overflow_count = self._overflow_count, overflows
        if overflows is None or before is None or overflows <= before:
            return
        for name, sock in sockets:
            queued, backlog = accept_queue.queue_length(sock) or (0, 0)
            log_event(
                logger,
                logging.WARNING,
                "accept_queue_overflowed",
                listener=name,
                host_overflows=overflows - before,
                queue_length=queued,
                queue_limit=backlog,
            )
