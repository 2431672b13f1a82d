"""A connection to one witness: dialed when there is something to ask, and anew when it breaks or stays
silent.
"""

from __future__ import annotations

import contextlib
import logging
import socket
from collections import deque
from collections.abc import Callable

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
# milliseconds without an answer to something: guards against a connection that is open on one side
SILENCE_TIMEOUT_MS = 1_500.0
REDIAL_INTERVAL_MS = 60.0  # between two dials
MAX_PENDING_REQUESTS = 256  # requests that wait for a dial; an older one will have been asked anew


class QuorumConnection(OutboundConnection):
    """Requests to a witness and its answers, in whatever order they come."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        replica: str,
        endpoint: SocketAddress,
        key: bytes,
        on_reply: Callable[[str, QuorumReply], None],
    ) -> None:
        super().__init__()
        self.replica = replica
        self._loop, self._budget, self._endpoint, self._key, self._on_reply = (
            loop,
            budget,
            endpoint,
            key,
            on_reply,
        )
        self._pending_frames: deque[bytes] = deque(maxlen=MAX_PENDING_REQUESTS)
        self._is_open = False
        self._dialed_at = -REDIAL_INTERVAL_MS
        self._silent_since: float | None = None  # something was asked then, and nothing has come since
        self._frame_decoder = FrameDecoder()

    def send(self, request: QuorumRequest) -> None:
        """Send it, as soon as can be; it may get lost."""
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
            return  # what waits goes out with the next request
        self._dialed_at, self._silent_since, self._frame_decoder, self.is_connecting = (
            now,
            now,
            FrameDecoder(),
            True,
        )
        try:
            sock = dial(self._endpoint)
        except OSError:
            return
        self._is_open = True
        self.stream = TcpStream(self._loop, self._budget, sock, self.on_ready, WRITE, DescriptorUse.UPSTREAM)

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError:
            self.close()
        except DecodeError as problem:
            log_event(
                logger, logging.WARNING, "reply_decode_failed", replica=self.replica, reason=problem.reason
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
                answer = codec.decode_reply(frame, self._key)
                self._silent_since = None
                self._on_reply(self.replica, answer)

    def close(self) -> None:
        """Let go of it; a later request dials anew."""
        if self._is_open:
            self._is_open = False
            self.stream.close()
        self._silent_since = None
        self._pending_frames.clear()


def check_key_present(endpoints: list[SocketAddress], key: bytes) -> str:
    """Why these addresses may not be used, if so: without a key, this machine's own only."""
    for host, port in endpoints:
        with contextlib.suppress(OSError):
            if not key and not socket.gethostbyname(host).startswith("127."):
                return f"{host}:{port} is not of this machine: that needs a key file"
    return ""
