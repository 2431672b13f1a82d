"""Scheduler that sends the items of batches as requests to the router's own listener.

This module does not use the engine or the upstream pool. Each item is an ordinary request on a connection to
GW_LISTEN, and is accepted, decided and counted like the request of any other client.
"""

from __future__ import annotations

import logging
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..connections.descriptor_budget import DescriptorUse
from ..http import batch_protocol
from ..http.batch_protocol import BatchRequest
from ..http.response import MalformedResponseError, Response, ResponseReader
from ..logs import log_event, log_exception
from .event_loop import READ, WRITE, EventLoop
from .resource_budget import ResourceBudget
from .tcp_stream import OutboundConnection, TcpStream, dial

# Log lines and their rate limits count as those of the batch listener.
logger = logging.getLogger(f"{__package__}.batch_listener")

# Maximum number of items in flight, over all batches: the concurrency limits of endpoints are shared by all
# clients.
MAX_ITEMS_IN_FLIGHT = 8
# One batch and one item in flight are allowed for each 16 descriptors. A batch needs one, and an item two:
# both ends of its connection.
DESCRIPTORS_PER_BATCH = 16
# Maximum fraction of the slots for a single batch, so that a second batch finds a free slot.
SINGLE_BATCH_FRACTION = 0.75
SHARED_BATCH_FRACTION = 0.5  # maximum fraction of the slots for one of several batches
BUFFERED_BYTES_FRACTION = 0.5  # maximum fraction of the memory for responses that items may use
RESPONSE_COPIES = 4  # copies of a response at one time: received and joined, in the router and in this client
EXPECTED_SIZE_DECAY = 0.5  # smallest factor by which one response reduces the expected response size


class Batch(Protocol):
    """The interface of a batch in progress towards the scheduler."""

    batch: BatchRequest
    deadline: float  # milliseconds, on the loop's clock
    unsent_items: deque[BatchItem]
    in_flight: int  # items sent and not yet written to the client

    def is_active(self) -> bool:
        """Return whether the batch is being answered."""

    def on_item_finished(self) -> None:
        """Handle an item that has its response or a status in place of one."""

    def shorten_deadline(self, deadline: float) -> None:
        """Move the deadline to an earlier time during a shutdown."""


@dataclass(slots=True, eq=False)
class BatchItem:
    """One key of a batch, with its request id and response."""

    batch: Batch
    key: bytes
    req_id: bytes
    connection: BatchItemConnection | None = None
    in_flight: bool = False  # whether it occupies one of the slots for items
    was_resent: bool = False  # whether it was repeated on a new connection
    status: int = 0  # status code of the response; 0 until there is one
    body: bytes = b""


class BatchItemConnection(OutboundConnection):
    """One connection to the router's own listener; it carries one item at a time."""

    def __init__(self, scheduler: BatchItemScheduler, sock: socket.socket) -> None:
        super().__init__()
        self.scheduler = scheduler
        self.has_had_response = False
        self.item: BatchItem | None = None
        self.buffered_bytes = 0
        self._reader = ResponseReader(batch_protocol.MAX_ITEM_RESPONSE_BYTES)
        self._unsent = memoryview(b"")
        self._response_begun = False  # part of the current response was received
        self.stream = TcpStream(
            scheduler.loop, scheduler.budget, sock, self.on_ready, WRITE, DescriptorUse.BATCH
        )
        self.local_address = sock.getsockname()[:2]
        scheduler.own_addresses.add(self.local_address)  # the listener does not count it against any quota

    def start(self, item: BatchItem, request: bytes) -> None:
        """Send the request for an item once the connection is established."""
        self.item = item
        item.connection = self
        self._reader.close()
        self._reader = ResponseReader(batch_protocol.MAX_ITEM_RESPONSE_BYTES)
        self._response_begun = False
        self._unsent = memoryview(request)
        if not self.is_connecting:
            self._run_guarded(self._write)

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except (OSError, MalformedResponseError):
            self._handle_broken_connection()
        except Exception as error:
            self.scheduler.loop.fault_count += 1
            log_exception(logger, "batch_part_fault", error, count=self.scheduler.loop.fault_count)
            self._handle_broken_connection()

    def _write(self) -> None:
        if self._unsent:
            self._unsent = self._unsent[self.stream.write(self._unsent) :]
        self.stream.set_events(READ | WRITE if self._unsent else READ)

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if self.item is None or (not data and not self._response_begun):
            self._handle_broken_connection()
            return
        self._response_begun = True
        response = self._reader.feed(data) if data else self._reader.feed_eof()
        if response is not None:
            self._finish(self.item, response)
        elif data:
            self._set_buffered_bytes(self._reader.buffered_bytes())
        else:
            self._handle_broken_connection()

    def _set_buffered_bytes(self, byte_count: int) -> None:
        self.scheduler.budget.buffered_bytes += byte_count - self.buffered_bytes
        self.buffered_bytes = byte_count

    def _finish(self, item: BatchItem, response: Response) -> None:
        self.item = None
        item.connection = None
        self.has_had_response = True
        self._set_buffered_bytes(0)
        if response.reusable:
            self.scheduler.add_idle(self)
        else:
            self.close()
        self.scheduler.finish_item(item, response.status, response.body)

    def _handle_broken_connection(self) -> None:
        """Close the connection, and repeat or fail its item.

        A server may close a connection between requests. An item on a reused connection without any response
        bytes is therefore repeated once, as RFC 9112, 9.3.1 describes.
        """
        item, self.item = self.item, None
        may_resend = self.has_had_response and not self._response_begun
        self.close()
        if item is None:
            return
        item.connection = None
        if may_resend and not item.was_resent:
            item.was_resent = True
            self.scheduler.send(item, on_new_connection=True)
        else:
            self.scheduler.finish_item(item, 502)

    def close(self) -> None:
        """Close the connection; the router handles this as a disconnect of the client."""
        self.item = None
        self._reader.close()
        self._set_buffered_bytes(0)
        self.scheduler.remove_idle(self)
        self.scheduler.own_addresses.discard(self.local_address)
        self.stream.close()


class BatchItemScheduler:
    """Sends the items of all batches, few at a time, so that slots remain for ordinary clients."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        address: tuple[str, int],
        own_addresses: set[tuple[str, int]],
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.address = address
        self.own_addresses = own_addresses
        self.batches: dict[Batch, None] = {}
        self.idle: list[BatchItemConnection] = []
        # The expected size starts at the worst case and adapts to the sizes of received responses.
        self.expected_response_bytes = float(batch_protocol.MAX_ITEM_RESPONSE_BYTES)
        self._is_sending = False

    def has_capacity(self) -> bool:
        """Return whether one more batch may be in progress."""
        return len(self.batches) < self._max_by_descriptors()

    def _max_by_descriptors(self) -> int:
        return max(1, self.budget.limit // DESCRIPTORS_PER_BATCH)

    def max_in_flight(self) -> int:
        """Return how many items may be in flight, or answered and not yet written."""
        by_bytes = int(
            BUFFERED_BYTES_FRACTION
            * self.budget.max_buffered_bytes
            / max(1.0, RESPONSE_COPIES * self.expected_response_bytes)
        )
        return max(1, min(MAX_ITEMS_IN_FLIGHT, self._max_by_descriptors(), by_bytes))

    def add_batch(self, batch: Batch) -> None:
        """Add a batch, and send its first items."""
        self.batches[batch] = None
        self.send_items()

    def remove_batch(self, batch: Batch) -> None:
        """Remove a finished batch."""
        if batch in self.batches:
            del self.batches[batch]
            if not self.batches:
                for connection in list(self.idle):
                    connection.close()
            self.send_items()

    def send_items(self) -> None:
        """Send items while there are free slots, first from the batch with the fewest in flight.

        One of several batches uses at most half of the slots, so that a client that does not read cannot
        occupy all.
        """
        if self._is_sending:  # a recursive call; without this, many items that fail at once recurse deeply
            return
        self._is_sending = True
        try:
            while (item := self._next_item()) is not None:
                item.in_flight = True
                item.batch.in_flight += 1
                self.send(item)
        finally:
            self._is_sending = False

    def _next_item(self) -> BatchItem | None:
        limit = self.max_in_flight()
        fraction = SINGLE_BATCH_FRACTION if len(self.batches) < 2 else SHARED_BATCH_FRACTION
        limit_per_batch = max(1, int(limit * fraction))
        candidates = [
            batch for batch in self.batches if batch.unsent_items and batch.in_flight < limit_per_batch
        ]
        if not candidates or sum(batch.in_flight for batch in self.batches) >= limit:
            return None
        return min(candidates, key=lambda batch: batch.in_flight).unsent_items.popleft()

    def send(self, item: BatchItem, on_new_connection: bool = False) -> None:
        """Send the request for an item, on an idle connection unless it must be a new one."""
        time_left_ms = item.batch.deadline - self.loop.now()
        if time_left_ms < 1.0:
            self.finish_item(item, 504)
            return
        connection = None if on_new_connection else self._take_idle()
        try:
            if connection is None:
                connection = self._dial()
        except OSError as error:
            log_event(logger, logging.WARNING, "batch_part_not_sent", text=error)
            self.finish_item(item, 502)
            return
        host, port = self.address
        request = batch_protocol.encode_item_request(
            item.batch.batch, item.key, item.req_id, f"{host}:{port}", time_left_ms
        )
        connection.start(item, request)

    def _take_idle(self) -> BatchItemConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.stream.has_nothing_to_read():
                return connection
            connection.close()
        return None

    def _dial(self) -> BatchItemConnection:
        if not self.budget.ensure_available(DescriptorUse.BATCH):
            raise OSError("every descriptor of the budget is in use")
        return BatchItemConnection(self, dial(self.address))

    def add_idle(self, connection: BatchItemConnection) -> None:
        """Keep a connection for the next item while a batch is in progress, else close it."""
        if self.batches:
            self.idle.append(connection)
        else:
            connection.close()

    def remove_idle(self, connection: BatchItemConnection) -> None:
        """Remove a connection from the idle connections, if it is idle."""
        if connection in self.idle:
            self.idle.remove(connection)

    def finish_item(self, item: BatchItem, status: int, body: bytes = b"") -> None:
        """Record the response to an item, or a status in place of one."""
        if not item.batch.is_active():
            return
        if status == 200:
            self.expected_response_bytes = max(
                float(len(body)), EXPECTED_SIZE_DECAY * self.expected_response_bytes
            )
        item.status = status
        item.body = body
        self.budget.buffered_bytes += len(body)
        item.batch.on_item_finished()
