"""One connection to the discovery service; it carries one poll at a time."""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ..connections.descriptor_budget import DescriptorUse
from ..core.list_order import ListCall
from ..http.discovery import DiscoveryError, EndpointListReader, EndpointListReply
from ..logs import log_exception
from .event_loop import READ, WRITE, EventLoop, ScheduledCall
from .resource_budget import ResourceBudget
from .tcp_stream import TcpStream, dial

logger = logging.getLogger(f"{__package__}.endpoint_watch")
CONNECT_TIMEOUT_MS = 1_000.0  # the time after which the kernel first retransmits a lost SYN


@dataclass(frozen=True, slots=True)
class Poll:
    """One request to discovery. Times are milliseconds on the event loop's clock."""

    number: int  # the sequence number of the poll in its watch
    request: bytes  # the encoded HTTP request
    call: ListCall  # what the request asks for
    timeout_ms: float  # time from the write of the request until its response is overdue
    begun_at: float  # when the poll was started


class DiscoveryConnection:
    """Sends polls, and reports replies, overdue responses and failures of the connection.

    Args:
        loop: the event loop.
        budget: the descriptor budget.
        address: host and port of the service.
        on_reply: called with each list, parsed but not validated.
        on_overdue: called if a response is not received in time; it may still arrive later.
        on_failure: called with the reason if the connection can no longer be used.
    """

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        address: tuple[str, int],
        on_reply: Callable[[DiscoveryConnection, EndpointListReply], None],
        on_overdue: Callable[[DiscoveryConnection], None],
        on_failure: Callable[[DiscoveryConnection, str], None],
    ) -> None:
        self._loop = loop
        self._budget = budget
        self._address = address
        self._on_reply = on_reply
        self._on_overdue = on_overdue
        self._on_failure = on_failure
        self.poll: Poll | None = None  # the latest poll
        self.is_connecting = False
        self._stream: TcpStream | None = None
        self._unsent = b""  # the part of the poll's request that is not written yet
        self._response = EndpointListReader()
        self._timer: ScheduledCall | None = None  # connect timeout, then response timeout

    def send(self, poll: Poll) -> None:
        """Start a poll; connect first if necessary.

        Raises:
            OSError: the connect failed, or the connection broke.
        """
        self.poll = poll
        self._unsent = poll.request
        self._response.close()
        self._response = EndpointListReader()
        if self._stream is None:
            self._dial()
        else:
            self._await_response()
            self._write()

    def close(self) -> None:
        """Close the connection; no callback is called afterwards."""
        self._cancel_timer()
        self._response.close()
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()

    def _dial(self) -> None:
        """Connect; reclaim a descriptor if necessary, as the router has no upstreams without a list."""
        if not self._budget.ensure_available(DescriptorUse.DISCOVERY):
            raise OSError(errno.EMFILE, "no descriptor for discovery")
        self._set_timer(CONNECT_TIMEOUT_MS, lambda: self._fail("no connection"))
        self.is_connecting = True
        sock = dial(self._address, self._budget.reclaim_one)
        self._stream = TcpStream(
            self._loop, self._budget, sock, self._on_ready, WRITE, DescriptorUse.DISCOVERY
        )
        self._loop.prioritize(sock)  # a busy router must apply a waiting list before it sends more requests

    def _await_response(self) -> None:
        assert self.poll is not None
        self._set_timer(self.poll.timeout_ms, self._report_overdue)

    def _report_overdue(self) -> None:
        self._timer = None
        self._on_overdue(self)

    def _set_timer(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_after(delay_ms, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_ready(self, events: int) -> None:
        """Handle events of the socket; an exception closes the connection and is reported as its failure."""
        stream = self._stream
        if stream is None:
            return
        try:
            if self.is_connecting:
                stream.finish_connect()
                self.is_connecting = False
                self._await_response()
                stream.set_events(READ)
                self._write()
            elif events & READ:
                self._read(stream)
            else:
                self._write()
        except (OSError, DiscoveryError, ValueError) as error:
            self._fail(str(error))
        except Exception as error:
            self._loop.fault_count += 1
            log_exception(logger, "discovery_fault", error, count=self._loop.fault_count)
            self._fail("fault")

    def _write(self) -> None:
        assert self._stream is not None
        if self._unsent:
            self._unsent = self._unsent[self._stream.write(self._unsent) :]
            self._stream.set_events(READ | WRITE if self._unsent else READ)

    def _read(self, stream: TcpStream) -> None:
        data = stream.read()
        if data is None:
            return
        reply = self._response.feed(data) if data else self._response.feed_eof()
        if reply is None:
            return
        self._cancel_timer()  # no timeout while `on_reply` applies the list, which may take a long time
        if not reply.reusable or not data:
            self.close()
        self._on_reply(self, reply)  # raises ValueError if the list is malformed

    def _fail(self, reason: str) -> None:
        self.close()
        self._on_failure(self, reason)
