"""One client connection of the batch listener, with its batches and their responses."""

from __future__ import annotations

import logging
import secrets
import socket
from collections import deque
from collections.abc import Callable

from ..http import batch_protocol
from ..http.batch_protocol import BatchRequest, BatchServerProtocol
from ..http.request_messages import ParsedMessage
from ..logs import log_event, log_exception
from .batch_scheduler import BatchItem, BatchItemScheduler
from .client_connection import ConnectionHost
from .downstream_connection import DownstreamConnection
from .event_loop import ScheduledCall
from .tcp_stream import StreamFactory

# Log lines and their rate limits count as those of the batch listener.
logger = logging.getLogger(f"{__package__}.batch_listener")

DEADLINE_GRACE_MS = 50.0  # wait after the deadline for the router's 504; then this class sets it
ITEM_READ_TIMEOUT_MS = 2_000.0  # time for a client to read one item that was written
MAX_READ_AFTER_DEADLINE_MS = 10_000.0  # time after the deadline for a client to read all items
RETRY_AFTER_S = 1.0  # Retry-After of a batch that is refused


class BatchDownstreamConnection(DownstreamConnection):
    """Client connection of the batch listener; it serves one batch at a time."""

    def __init__(
        self,
        scheduler: BatchItemScheduler,
        max_keys: Callable[[], int],
        listener: ConnectionHost,
        sock: socket.socket,
        make_stream: StreamFactory,
    ) -> None:
        self.scheduler = scheduler
        self.max_keys = max_keys
        self.batch: BatchRequest
        self.deadline = 0.0  # deadline of the batch; milliseconds, on the loop's clock
        self.unwritten_items: deque[BatchItem] = deque()  # in the order of the batch
        self.unsent_items: deque[BatchItem] = deque()
        self.in_flight = 0  # items sent to the router and not yet written to the client
        self.item_count = 0
        self.unserved_count = 0
        self._is_active = False
        self._closes_after_batch = False
        self._slots_in_write = 0  # slots that become free once the current write completes
        self._deadline_timer: ScheduledCall | None = None
        super().__init__(listener, sock, make_stream)

    def make_protocol(self) -> BatchServerProtocol:
        """Create the parser of this connection's batches."""
        listener = self.listener
        self.batch_protocol = BatchServerProtocol(
            lambda: listener.names, self.max_keys, listener.budget.requests
        )
        return self.batch_protocol

    def _handle(self, message: ParsedMessage) -> None:
        if isinstance(message, BatchRequest):
            self._begin_batch(message)
        else:
            super()._handle(message)

    def _begin_batch(self, batch: BatchRequest) -> None:
        if not self.scheduler.has_capacity():
            self.listener.rejected_count += 1
            log_event(logger, logging.WARNING, "batch_refused", active_batches=len(self.scheduler.batches))
            retry_after = (b"Retry-After", b"%.3f" % RETRY_AFTER_S)
            self._send_response(503, b"refused\n", (retry_after,))
            return
        self.batch = batch
        self.deadline = batch.deadline
        self.unwritten_items = deque(
            BatchItem(self, key, secrets.token_hex(8).encode()) for key in batch.keys
        )
        self.unsent_items = self.unwritten_items.copy()
        self.item_count = len(self.unwritten_items)
        self.unserved_count = 0
        self.in_flight = 0
        self._slots_in_write = 0
        self._is_active = True
        # With a pipelined batch, this response is not the last one of the connection.
        self._closes_after_batch = (
            not (self.batch_protocol.has_pipelined() or self.batch_protocol.has_partial_request)
            and self.closes_after_response()
        )
        self.stream.send(self.batch_protocol.encode_batch_head(self._closes_after_batch))
        self._set_timer()
        self.scheduler.add_batch(self)

    def _set_timer(self) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._deadline_timer = self.listener.loop.call_at(
            self.deadline + DEADLINE_GRACE_MS, self._expire_items
        )

    def shorten_deadline(self, deadline: float) -> None:
        """Move the deadline to an earlier time during a shutdown."""
        if self._is_active and deadline < self.deadline:
            self.deadline = deadline
            self._set_timer()

    def _expire_items(self) -> None:
        """Give all items without a response the status 504 after the deadline."""
        self.unsent_items.clear()
        for item in list(self.unwritten_items):
            if not item.status:
                if item.connection is not None:
                    item.connection.close()
                    item.connection = None
                item.status = 504
        self.on_item_finished()

    def on_item_finished(self) -> None:
        """Write finished items and send further ones, after an item was finished."""
        if self._is_active:
            try:
                self._update_state()
            except OSError:
                self.close_broken()
            except Exception as error:
                self._handle_fault(error)
            self.scheduler.send_items()

    # -------------------------------------------------------------------------------- response to the batch

    def _update_state(self) -> None:
        in_flight_before = self.in_flight
        self._write_ready_items()
        super()._update_state()
        if self.in_flight < in_flight_before:
            self.scheduler.send_items()

    def _write_ready_items(self) -> None:
        """Write finished items in order, one at a time, so that waiting bodies are not buffered twice."""
        while self._is_active and self.stream.is_open and not self.stream.has_unwritten():
            self.in_flight -= self._slots_in_write
            self._slots_in_write = 0
            if not self.unwritten_items:
                self._finish_batch()
            elif self.unwritten_items[0].status:
                self._write_item(self.unwritten_items[0])
                self.unwritten_items.popleft()
            else:
                break

    def _write_item(self, item: BatchItem) -> None:
        self.unserved_count += item.status != 200
        self._slots_in_write = int(item.in_flight)
        self.response_awaited_until = min(
            self.listener.loop.now() + ITEM_READ_TIMEOUT_MS, self.deadline + MAX_READ_AFTER_DEADLINE_MS
        )
        body, item.body = item.body, b""
        self.scheduler.budget.buffered_bytes -= len(body)
        self.stream.send(
            *self.batch_protocol.encode_chunk(
                *batch_protocol.encode_entry(item.key, item.req_id, item.status, body)
            )
        )

    def _finish_batch(self) -> None:
        trailer = batch_protocol.encode_trailer(self.unserved_count, self.item_count)
        closing = self._closes_after_batch or self.listener.is_shutting_down
        self._clear_batch()
        self.stream.send(
            *self.batch_protocol.encode_chunk(trailer), self.batch_protocol.finish_streamed_response(closing)
        )
        self.record_response(200)
        self._start_next_request()

    def _on_end_of_input(self) -> None:
        """Handle the end of input: the client has closed the connection."""
        if self._is_active:
            self.close()
        else:
            super()._on_end_of_input()

    def _handle_fault(self, error: Exception) -> None:
        """Truncate the response to a batch after an exception, so that the client detects the failure."""
        if not self._is_active:
            super()._handle_fault(error)
            return
        self.listener.loop.fault_count += 1
        log_exception(logger, "batch_fault", error, count=self.listener.loop.fault_count)
        self.close_broken()

    def abandon_request(self) -> None:
        """Abandon the batch in progress."""
        if self._is_active:
            self._clear_batch()

    def _clear_batch(self) -> None:
        self._is_active = False
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self.unsent_items.clear()
        for item in self.unwritten_items:
            if item.connection is not None:
                item.connection.close()
            self.scheduler.budget.buffered_bytes -= len(item.body)
        self.unwritten_items.clear()
        self.in_flight = 0
        self.scheduler.remove_batch(self)

    def is_active(self) -> bool:
        """Return whether a batch is being answered."""
        return self._is_active

    def _client_stopped_reading(self, now: float) -> bool:
        """Return whether the client does not read an item in time while other items wait for its slot."""
        return now >= self.response_awaited_until
