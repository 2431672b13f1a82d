"""A TCP connection to one replica of the quorum.

It is dialed when there is a request to send, and again after it failed or received no reply for too long.
"""

from __future__ import annotations

import contextlib
import logging
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..connections.descriptor_budget import DescriptorUse
from ..consensus import codec
from ..consensus.codec import DecodeError, FrameDecoder
from ..consensus.messages import QuorumReply, QuorumRequest
from ..logs import log_event
from ..net.event_loop import READ, WRITE, EventLoop
from ..net.resource_budget import ResourceBudget
from ..net.tcp_stream import OutboundConnection, TcpStream, dial

logger = logging.getLogger(__name__)
SocketAddress = tuple[str, int]
# A connection without a reply for this time is closed: the peer may have lost its end of the connection.
SILENCE_TIMEOUT_MS = 1_500.0
REDIAL_INTERVAL_MS = 60.0  # minimum interval between two dials
# Requests that wait until the connection is open; above this limit the oldest are dropped, because their
# senders retry.
MAX_PENDING_REQUESTS = 256


@dataclass(frozen=True, slots=True)
class ReplicaEndpoint:
    """Holds a replica's name and address, and the key that authenticates messages (empty: none)."""

    name: str
    address: SocketAddress
    key: bytes


class QuorumConnection(OutboundConnection):
    """Sends requests to one replica, and passes its replies to a callback in the order of their arrival."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        replica: ReplicaEndpoint,
        on_reply: Callable[[str, QuorumReply], None],
    ) -> None:
        super().__init__()
        self.replica = replica.name
        self._loop = loop
        self._budget = budget
        self._address = replica.address
        self._key = replica.key
        self._on_reply = on_reply
        self._pending_frames: deque[bytes] = deque(maxlen=MAX_PENDING_REQUESTS)
        self._is_open = False
        self._dialed_at = -REDIAL_INTERVAL_MS
        self._silent_since: float | None = None  # when the first request without a later reply was sent
        self._frame_decoder = FrameDecoder()

    def send(self, request: QuorumRequest) -> None:
        """Send a request as soon as possible; it may be lost."""
        now = self._loop.now()
        if self._is_open and self._silent_since is not None and now - self._silent_since > SILENCE_TIMEOUT_MS:
            self.close()
        self._pending_frames.append(codec.encode_frame(request, self._key))
        if self._silent_since is None:
            self._silent_since = now
        if not self._is_open:
            self._dial()
        elif not self.is_connecting:
            self._run_guarded(self._write)

    def _dial(self) -> None:
        now = self._loop.now()
        if now - self._dialed_at < REDIAL_INTERVAL_MS:
            return  # the pending frames are sent with the next request
        self._dialed_at = now
        self._silent_since = now
        self._frame_decoder = FrameDecoder()
        self.is_connecting = True
        try:
            sock = dial(self._address)
        except OSError:
            return
        self._is_open = True
        self.stream = TcpStream(self._loop, self._budget, sock, self.on_ready, WRITE, DescriptorUse.UPSTREAM)

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError:
            self.close()
        except DecodeError as error:
            log_event(
                logger, logging.WARNING, "reply_decode_failed", replica=self.replica, reason=error.reason
            )
            self.close()

    def _write(self) -> None:
        if not self.stream.has_unwritten():
            self.stream.send(*self._pending_frames)
            self._pending_frames.clear()
        else:
            self.stream.flush()
        self.stream.set_events(READ | (WRITE if self.stream.has_unwritten() or self._pending_frames else 0))

    def _read(self) -> None:
        while self.stream.is_open:
            data = self.stream.read()
            if data is None:
                return
            if not data:
                raise OSError("closed")
            for frame in self._frame_decoder.feed(data):
                reply = codec.decode_reply(frame, self._key)
                self._silent_since = None
                self._on_reply(self.replica, reply)

    def close(self) -> None:
        """Close the connection; a later request dials again."""
        if self._is_open:
            self._is_open = False
            self.stream.close()
        self._silent_since = None
        self._pending_frames.clear()


def check_key_present(endpoints: list[SocketAddress], key: bytes) -> str:
    """Return why these addresses are not allowed; empty if they are.

    Without a key, only loopback addresses are allowed.
    """
    for host, port in endpoints:
        with contextlib.suppress(OSError):
            if not key and not socket.gethostbyname(host).startswith("127."):
                return f"{host}:{port} is not a loopback address: a key file is required"
    return ""
