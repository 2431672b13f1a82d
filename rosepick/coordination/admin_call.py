"""A call to the admin listener of a member: sends one command line and reads the answer."""

from __future__ import annotations

from collections.abc import Callable

from ..net.event_loop import READ, WRITE, EventLoop
from ..net.resource_budget import ResourceBudget
from ..net.tcp_stream import TcpStream, dial
from .quorum_connection import SocketAddress

ADMIN_TIMEOUT_MS = 900.0  # from the start of the connect to the end of the answer
MAX_ANSWER_BYTES = 256 * 1024  # reading stops once an answer is longer
END_OF_ANSWER = b"END\n"


class AdminCall:
    """Sends one command line to an admin listener.

    `on_answer` is called once: with the answer, or with None if it is empty, the connection fails or the
    answer does not end within `ADMIN_TIMEOUT_MS`.
    """

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        endpoint: SocketAddress,
        line: str,
        on_answer: Callable[[str | None], None],
    ) -> None:
        self._line = line
        self._on_answer = on_answer
        self._received = bytearray()
        self._is_connecting = True
        self._timer = loop.call_after(ADMIN_TIMEOUT_MS, lambda: self._finish(None))
        self._stream: TcpStream | None = None
        try:
            self._stream = TcpStream(loop, budget, dial(endpoint), self._on_ready, WRITE)
        except OSError:
            self._finish(None)

    def _on_ready(self, events: int) -> None:
        assert self._stream is not None
        try:
            if self._is_connecting:
                self._stream.finish_connect()
                self._is_connecting = False
                self._stream.send(f"{self._line}\n".encode())
                self._stream.set_events(READ)
            elif events & READ:
                self._read(self._stream)
        except OSError:
            self._finish(None)

    def _read(self, stream: TcpStream) -> None:
        data = stream.read()
        if data:
            self._received += data
        is_complete = data == b"" or self._received.endswith(END_OF_ANSWER)
        if is_complete or len(self._received) > MAX_ANSWER_BYTES:
            self._finish(self._received.decode("utf-8", "replace"))

    def _finish(self, text: str | None) -> None:
        """Close the connection and pass the answer on; later calls have no effect on the caller."""
        self._timer.cancel()
        if self._stream is not None:
            self._stream.close()
        on_answer = self._on_answer
        self._on_answer = _ignore_answer
        on_answer(text or None)


def _ignore_answer(_text: str | None) -> None:
    """Replace the callback once it has been called, so that it is not called again."""
