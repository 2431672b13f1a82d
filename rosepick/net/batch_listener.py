"""Batch listener, on which clients send several reads in one request (docs/multi-get.md)."""

from __future__ import annotations

import socket
from collections.abc import Callable

from .batch_connection import BatchDownstreamConnection
from .batch_scheduler import BatchItemScheduler
from .client_connection import ConnectionHost
from .event_loop import EventLoop
from .listener import Listener
from .resource_budget import ResourceBudget
from .tcp_stream import StreamFactory


class BatchListener:
    """Batch listener of one router."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        listener: Listener,
        port: int,
        max_keys: Callable[[], int],
    ) -> None:
        host, http_port = listener.sock.getsockname()[:2]
        self.scheduler = BatchItemScheduler(loop, budget, (host, http_port), listener.own_addresses)

        def make_connection(
            host: ConnectionHost, sock: socket.socket, make_stream: StreamFactory
        ) -> BatchDownstreamConnection:
            return BatchDownstreamConnection(self.scheduler, max_keys, host, sock, make_stream)

        self.listen_socket = listener.add_listen_socket(
            "multiget", (host, port), make_connection=make_connection
        )

    def is_active(self) -> bool:
        """Return whether a batch is in progress."""
        return bool(self.scheduler.batches)

    def shorten_deadlines(self, deadline: float) -> None:
        """Move the deadlines of all batches to an earlier time during a shutdown."""
        for batch in list(self.scheduler.batches):
            batch.shorten_deadline(deadline)
