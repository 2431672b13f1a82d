"""A connection to one witness: dialed when there is something to ask, and anew when it breaks or stays
silent.
"""

from __future__ import annotations

import contextlib
import logging
import socket
from collections import deque
from collections.abc import Callable

from ..agreement import codec
from ..agreement.codec import Frames, Unreadable
from ..agreement.messages import Answer, Request
from ..connections.descriptors import Use
from ..logs import say
from .budget import Budget
from .loop import READ, WRITE, Loop
from .stream import Dialed, Stream, dial

log = logging.getLogger(__name__)
Endpoint = tuple[str, int]
# milliseconds without an answer to something: guards against a connection that is open on one side
SILENT = 1_500.0
AGAIN = 60.0  # between two dials
MOST_WAITING = 256  # requests that wait for a dial; an older one will have been asked anew


class Link(Dialed):
    """Requests to a witness and its answers, in whatever order they come."""

    def __init__(
        self,
        loop: Loop,
        budget: Budget,
        name: str,
        endpoint: Endpoint,
        key: bytes,
        heard: Callable[[str, Answer], None],
    ) -> None:
        super().__init__()
        self.name = name
        self._loop, self._budget, self._endpoint, self._key, self._heard = loop, budget, endpoint, key, heard
        self._waiting: deque[bytes] = deque(maxlen=MOST_WAITING)
        self._open = False
        self._dialed_at = -AGAIN
        self._silent_since: float | None = None  # something was asked then, and nothing has come since
        self._frames = Frames()

    def ask(self, request: Request) -> None:
        """Send it, as soon as can be; it may get lost."""
        now = self._loop.now()
        if self._open and self._silent_since is not None and now - self._silent_since > SILENT:
            self.close()
        self._waiting.append(codec.framed(request, self._key))
        if self._silent_since is None:
            self._silent_since = now
        if not self._open:
            self._dial()
        elif not self.dialing:
            self._guarded(self._write)

    def _dial(self) -> None:
        now = self._loop.now()
        if now - self._dialed_at < AGAIN:
            return  # what waits goes out with the next request
        self._dialed_at, self._silent_since, self._frames, self.dialing = now, now, Frames(), True
        try:
            sock = dial(self._endpoint)
        except OSError:
            return
        self._open = True
        self.stream = Stream(self._loop, self._budget, sock, self.ready, WRITE, Use.NEXT_HOPS)

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError:
            self.close()
        except Unreadable as problem:
            say(log, logging.WARNING, "answer_unreadable", witness=self.name, why=problem.why)
            self.close()

    def _write(self) -> None:
        if not self.stream.unwritten():
            self.stream.send(*self._waiting)
            self._waiting.clear()
        else:
            self.stream.flush()
        self.stream.want(READ | (WRITE if self.stream.unwritten() or self._waiting else 0))

    def _read(self) -> None:
        while self.stream.open:
            data = self.stream.read()
            if data is None:
                return
            if not data:
                raise OSError("closed")
            for frame in self._frames.feed(data):
                answer = codec.answer(frame, self._key)
                self._silent_since = None
                self._heard(self.name, answer)

    def close(self) -> None:
        """Let go of it; a later request dials anew."""
        if self._open:
            self._open = False
            self.stream.close()
        self._silent_since = None
        self._waiting.clear()


def may_leave_the_machine(endpoints: list[Endpoint], key: bytes) -> str:
    """Why these addresses may not be used, if so: without a key, this machine's own only."""
    for host, port in endpoints:
        with contextlib.suppress(OSError):
            if not key and not socket.gethostbyname(host).startswith("127."):
                return f"{host}:{port} is not of this machine: that needs a key file"
    return ""
