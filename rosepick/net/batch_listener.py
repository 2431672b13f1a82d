"""Batches of reads: a door where they come in, and a client of our own listener that asks for their parts.

Nothing here knows the engine or the pool: each part is an ordinary request over a connection to GW_LISTEN,
and is taken, decided on and counted as any other client's.
"""

from __future__ import annotations

import logging
import secrets
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..connections.descriptor_budget import DescriptorUse
from ..http import batch_protocol
from ..http.batch_protocol import BatchRequest, BatchServerProtocol
from ..http.request_messages import ParsedMessage
from ..http.response import MalformedResponseError, Response, ResponseReader
from ..logs import log_event, log_exception
from .downstream_connection import DownstreamConnection
from .event_loop import READ, WRITE, EventLoop, ScheduledCall
from .listener import Listener
from .resource_budget import ResourceBudget
from .tcp_stream import OutboundConnection, StreamFactory, TcpStream, dial

logger = logging.getLogger(__name__)
# parts that are out at one time, of all batches: what the next hops have room for is for all
MAX_ITEMS_IN_FLIGHT = 8
DESCRIPTORS_PER_BATCH = 16  # in so many one may be a batch's, and one (with its other end) a part's
SINGLE_BATCH_FRACTION = 0.75  # of them are for a batch that is alone: the next one finds a place at once
BUFFERED_BYTES_FRACTION = 0.5  # of the bytes that answers may hold: for answers of parts
RESPONSE_COPIES = 4  # of an answer at one moment: read and joined, by the router and by its client here
EXPECTED_SIZE_DECAY = 0.5  # how much of the largest answer met stays expected after a smaller one
DEADLINE_GRACE_MS = 50.0  # milliseconds for the router's own 504 before a part is marked here
ITEM_READ_TIMEOUT_MS = 2_000.0  # for a client to read the part that was written to it ...
MAX_READ_AFTER_DEADLINE_MS = 10_000.0  # ... and to read it all, after the deadline
RETRY_AFTER_S = 1.0  # seconds, for a batch for which there is no room


@dataclass(slots=True, eq=False)
class BatchItem:
    """One key of a batch: what is asked for it, and what came of it."""

    batch: BatchDownstreamConnection
    key: bytes
    req_id: bytes
    connection: BatchItemConnection | None = None
    in_flight: bool = False  # it takes one of the places for parts
    was_resent: bool = False  # it was sent once more, on a new connection
    status: int = 0  # none yet
    body: bytes = b""


class BatchItemConnection(OutboundConnection):
    """One connection to our own listener; it carries one part at a time."""

    def __init__(self, scheduler: BatchItemScheduler, sock: socket.socket) -> None:
        super().__init__()
        self.scheduler = scheduler
        self.used = False
        self.item: BatchItem | None = None
        self.buffered_bytes = 0
        self._reader = ResponseReader(batch_protocol.MAX_ITEM_RESPONSE_BYTES)
        self._unsent = memoryview(b"")
        self._response_begun = False  # something of the present answer
        self.stream = TcpStream(
            scheduler.loop, scheduler.budget, sock, self.on_ready, WRITE, DescriptorUse.BATCH
        )
        self.local_address = sock.getsockname()[:2]
        scheduler.own_addresses.add(
            self.local_address
        )  # the listener is not to take them for clients of its own

    def start(self, item: BatchItem, request: bytes) -> None:
        """Ask for a part, as soon as the connection is up."""
        self.item, item.connection = item, self
        self._reader, self._response_begun = ResponseReader(batch_protocol.MAX_ITEM_RESPONSE_BYTES), False
        self._unsent = memoryview(request)
        if not self.is_connecting:
            self._run_guarded(self._write)

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except (OSError, MalformedResponseError):
            self._handle_break()
        except Exception as problem:
            self.scheduler.loop.fault_count += 1
            log_exception(logger, "part_fault", problem, count=self.scheduler.loop.fault_count)
            self._handle_break()

    def _write(self) -> None:
        if self._unsent:
            self._unsent = self._unsent[self.stream.write(self._unsent) :]
        self.stream.set_events(READ | WRITE if self._unsent else READ)

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if self.item is None or (not data and not self._response_begun):
            self._handle_break()
            return
        self._response_begun = True
        answer = self._reader.feed(data) if data else self._reader.feed_eof()
        if answer is not None:
            self._finish(self.item, answer)
        elif data:
            self._set_buffered_bytes(self._reader.buffered_bytes())
        else:
            self._handle_break()

    def _set_buffered_bytes(self, byte_count: int) -> None:
        self.scheduler.budget.buffered_bytes += byte_count - self.buffered_bytes
        self.buffered_bytes = byte_count

    def _finish(self, item: BatchItem, response: Response) -> None:
        self.item = item.connection = None
        self.used = True
        self._set_buffered_bytes(0)
        if response.reusable:
            self.scheduler.add_idle(self)
        else:
            self.close()
        self.scheduler.finish_item(item, response.status, response.body)

    def _handle_break(self) -> None:
        """The connection is of no more use. A part that the router cannot have read is asked for once more,
        as the protocol wants it: the router may close a connection between requests.
        """
        part, self.item = self.item, None
        unread = self.used and not self._response_begun
        self.close()
        if part is None:
            return
        part.connection = None
        if unread and not part.was_resent:
            part.was_resent = True
            self.scheduler.send(part, on_new_connection=True)
        else:
            self.scheduler.finish_item(part, 502)

    def close(self) -> None:
        """Close it; the router takes that for a client that has left."""
        self.item = None
        self._set_buffered_bytes(0)
        self.scheduler.remove_idle(self)
        self.scheduler.own_addresses.discard(self.local_address)
        self.stream.close()


class BatchItemScheduler:
    """All parts that are out: so few that the usual clients keep their places, and that answers fit."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        address: tuple[str, int],
        own_addresses: set[tuple[str, int]],
    ) -> None:
        self.loop, self.budget, self.address, self.own_addresses = loop, budget, address, own_addresses
        self.batches: dict[BatchDownstreamConnection, None] = {}
        self.idle: list[BatchItemConnection] = []
        self.expected_response_bytes = float(
            batch_protocol.MAX_ITEM_RESPONSE_BYTES
        )  # bytes of an answer: the worst, until some have come
        self._is_sending = False

    def has_capacity(self) -> bool:
        """Whether one more batch may be in hand."""
        return len(self.batches) < self._max_by_descriptors()

    def _max_by_descriptors(self) -> int:
        return max(1, self.budget.limit // DESCRIPTORS_PER_BATCH)

    def max_in_flight(self) -> int:
        """How many parts may be out, or answered and not yet written."""
        by_bytes = int(
            BUFFERED_BYTES_FRACTION
            * self.budget.max_buffered_bytes
            / max(1.0, RESPONSE_COPIES * self.expected_response_bytes)
        )
        return max(1, min(MAX_ITEMS_IN_FLIGHT, self._max_by_descriptors(), by_bytes))

    def add_batch(self, batch: BatchDownstreamConnection) -> None:
        """A batch is in hand."""
        self.batches[batch] = None
        self.send_items()

    def remove_batch(self, batch: BatchDownstreamConnection) -> None:
        """It is not any more."""
        if batch in self.batches:
            del self.batches[batch]
            if not self.batches:
                for link in list(self.idle):
                    link.close()
            self.send_items()

    def send_items(self) -> None:
        """Send parts while there is room for them, those of the batch first that has the fewest out. With
        others in hand no batch takes more than half: guards against one whose client does not read.
        """
        if self._is_sending:  # guards against a stack as deep as a batch is long, when parts end at once
            return
        self._is_sending = True
        try:
            while (part := self._next_item()) is not None:
                part.in_flight = True
                part.batch.in_flight += 1
                self.send(part)
        finally:
            self._is_sending = False

    def _next_item(self) -> BatchItem | None:
        allowed = self.max_in_flight()
        each = max(1, int(allowed * (SINGLE_BATCH_FRACTION if len(self.batches) < 2 else 0.5)))
        able = [batch for batch in self.batches if batch.unsent_items and batch.in_flight < each]
        if not able or sum(batch.in_flight for batch in self.batches) >= allowed:
            return None
        return min(able, key=lambda batch: batch.in_flight).unsent_items.popleft()

    def send(self, item: BatchItem, on_new_connection: bool = False) -> None:
        """Ask for a part: on a connection that is kept, unless it must be a new one."""
        left = item.batch.deadline - self.loop.now()
        if left < 1.0:
            self.finish_item(item, 504)
            return
        link = None if on_new_connection else self._take_idle()
        try:
            if link is None:
                link = self._dial()
        except OSError as problem:
            log_event(logger, logging.WARNING, "part_not_sent", text=problem)
            self.finish_item(item, 502)
            return
        host, port = self.address
        link.start(
            item,
            batch_protocol.encode_item_request(
                item.batch.batch, item.key, item.req_id, f"{host}:{port}", left
            ),
        )

    def _take_idle(self) -> BatchItemConnection | None:
        while self.idle:
            link = self.idle.pop()
            if link.stream.has_nothing_to_read():
                return link
            link.close()
        return None

    def _dial(self) -> BatchItemConnection:
        if not self.budget.ensure_available(DescriptorUse.BATCH):
            raise OSError("every descriptor of the budget is in use")
        return BatchItemConnection(self, dial(self.address))

    def add_idle(self, connection: BatchItemConnection) -> None:
        """A connection is free for the next part."""
        if self.batches:
            self.idle.append(connection)
        else:
            connection.close()

    def remove_idle(self, connection: BatchItemConnection) -> None:
        """A connection is kept no more."""
        if connection in self.idle:
            self.idle.remove(connection)

    def finish_item(self, item: BatchItem, status: int, body: bytes = b"") -> None:
        """A part has its answer, or never will."""
        if not item.batch.is_active():
            return
        if status == 200:
            self.expected_response_bytes = max(
                float(len(body)), EXPECTED_SIZE_DECAY * self.expected_response_bytes
            )
        item.status, item.body = status, body
        self.budget.buffered_bytes += len(body)
        item.batch.on_item_finished()


class BatchDownstreamConnection(DownstreamConnection):
    """One connection that batches come on."""

    def __init__(
        self,
        scheduler: BatchItemScheduler,
        max_keys: Callable[[], int],
        listener: Listener,
        sock: socket.socket,
        make_stream: StreamFactory,
    ) -> None:
        self.scheduler, self.max_keys = scheduler, max_keys
        self.batch: BatchRequest
        self.deadline = 0.0
        self.unwritten_items: deque[BatchItem] = deque()  # not yet written, in the order of the batch
        self.unsent_items: deque[BatchItem] = deque()  # not yet sent
        self.in_flight = 0  # sent, and not yet written to the client
        self.item_count = self.unserved_count = 0
        self._is_active = self._closes_after_batch = False
        self._slots_in_write = 0  # places that are free once what is being written is
        self._deadline_timer: ScheduledCall | None = None
        super().__init__(listener, sock, make_stream)

    def make_protocol(self) -> BatchServerProtocol:
        listener = self.listener
        self.batch_protocol = BatchServerProtocol(lambda: listener.names, self.max_keys)
        return self.batch_protocol

    def _handle(self, received: ParsedMessage) -> None:
        if isinstance(received, BatchRequest):
            self._begin_batch(received)
        else:
            super()._handle(received)

    def _begin_batch(self, batch: BatchRequest) -> None:
        if not self.scheduler.has_capacity():
            self.listener.rejected_count += 1
            log_event(logger, logging.WARNING, "batch_refused", in_hand=len(self.scheduler.batches))
            self._send_response(503, b"refused\n", ((b"Retry-After", b"%.3f" % RETRY_AFTER_S),))
            return
        self.batch, self.deadline = batch, batch.deadline
        self.unwritten_items = deque(
            BatchItem(self, key, secrets.token_hex(8).encode()) for key in batch.keys
        )
        self.unsent_items = self.unwritten_items.copy()
        self.item_count, self.unserved_count, self.in_flight, self._slots_in_write = (
            len(self.unwritten_items),
            0,
            0,
            0,
        )
        self._is_active = True
        # one that was sent ahead will be answered: then this answer is not the last
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
        """The router ends: all must be answered by then."""
        if self._is_active and deadline < self.deadline:
            self.deadline = deadline
            self._set_timer()

    def _expire_items(self) -> None:
        """The deadline has passed: what has no answer yet gets none."""
        self.unsent_items.clear()
        for part in list(self.unwritten_items):
            if not part.status:
                if part.connection is not None:
                    part.connection.close()
                    part.connection = None
                part.status = 504
        self.on_item_finished()

    def on_item_finished(self) -> None:
        """A part of this batch has come to its end."""
        if self._is_active:
            try:
                self._update_state()
            except OSError:
                self.close_broken()
            except Exception as problem:
                self._handle_fault(problem)
            self.scheduler.send_items()

    # -------------------------------------------------------------------------------- the batch's answer

    def _update_state(self) -> None:
        before = self.in_flight
        self._write_ready_items()
        super()._update_state()
        if self.in_flight < before:
            self.scheduler.send_items()

    def _write_ready_items(self) -> None:
        """Write what comes next in order, one part at a time: what waits is held once."""
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
        last = batch_protocol.encode_trailer(self.unserved_count, self.item_count)
        closing = self._closes_after_batch or self.listener.is_shutting_down
        self._clear_batch()
        self.stream.send(
            *self.batch_protocol.encode_chunk(last), self.batch_protocol.finish_streamed_response(closing)
        )
        self.record_response(200)
        self._start_next_request()

    def _on_end_of_input(self) -> None:
        """The client has ended its sending: it has gone."""
        if self._is_active:
            self.close()
        else:
            super()._on_end_of_input()

    def _handle_fault(self, problem: Exception) -> None:
        """An exception over a batch whose answer has begun: the client can tell that it is not whole."""
        if not self._is_active:
            super()._handle_fault(problem)
            return
        self.listener.loop.fault_count += 1
        log_exception(logger, "batch_fault", problem, count=self.listener.loop.fault_count)
        self.close_broken()

    def abandon_request(self) -> None:
        """What is left of the batch is of no more use."""
        if self._is_active:
            self._clear_batch()

    def _clear_batch(self) -> None:
        self._is_active = False
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self.unsent_items.clear()
        for part in self.unwritten_items:
            if part.connection is not None:
                part.connection.close()
            self.scheduler.budget.buffered_bytes -= len(part.body)
        self.unwritten_items.clear()
        self.in_flight = 0
        self.scheduler.remove_batch(self)

    def is_active(self) -> bool:
        """Whether a batch is being answered."""
        return self._is_active

    def _client_stopped_reading(self, now: float) -> bool:
        """A batch has a time of its own: while a part of it is read, others wait."""
        return now >= self.response_awaited_until


class BatchListener:
    """The door for batches of one router."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        listener: Listener,
        port: int,
        max_keys: Callable[[], int],
    ) -> None:
        host, own = listener.sock.getsockname()[:2]
        self.scheduler = BatchItemScheduler(loop, budget, (host, own), listener.own_addresses)

        def link(listener: Listener, sock: socket.socket, make: StreamFactory) -> BatchDownstreamConnection:
            return BatchDownstreamConnection(self.scheduler, max_keys, listener, sock, make)

        self.listen_socket = listener.add_listen_socket("multiget", (host, port), make_connection=link)

    def is_active(self) -> bool:
        """Whether a batch is being answered."""
        return bool(self.scheduler.batches)

    def shorten_deadlines(self, deadline: float) -> None:
        """The router ends: all batches must be answered by then."""
        for batch in list(self.scheduler.batches):
            batch.shorten_deadline(deadline)
