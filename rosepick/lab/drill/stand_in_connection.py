"""Defines connections to servers of a fault-injection test, which read HTTP requests and write responses."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod

from ...net.event_loop import READ, WRITE, EventLoop
from ...net.resource_budget import ResourceBudget
from ...net.tcp_stream import TcpStream
from ..live.request_reader import HttpRequest, MalformedRequestError, RequestReader


class StandInConnection(ABC):
    """Reads requests from a connection that a client has opened; subclasses handle them."""

    def __init__(self, loop: EventLoop, budget: ResourceBudget, sock: socket.socket) -> None:
        self._reader = RequestReader()
        self.stream = TcpStream(loop, budget, sock, self._on_ready)

    @abstractmethod
    def handle_request(self, request: HttpRequest) -> None:
        """Handle a complete request."""

    def _on_ready(self, mask: int) -> None:
        try:
            if mask & WRITE:
                self.stream.flush()
            data = self.stream.read() if mask & READ else None
            if data == b"":
                raise OSError("closed")
            for request in self._reader.feed(data or b""):
                self.handle_request(request)
            self._update_interest()
        except (OSError, MalformedRequestError):
            self.close()

    def _update_interest(self) -> None:
        if self.stream.is_open:
            self.stream.set_events(READ | (WRITE if self.stream.has_unwritten() else 0))

    def send_response(self, data: bytes, keep_alive: bool = True) -> None:
        """Send a response; without `keep_alive`, shut down writing once all of the response was written."""
        if not self.stream.is_open:
            return
        try:
            self.stream.send(data)
            self._update_interest()
            if not keep_alive and not self.stream.has_unwritten():
                self.stream.shutdown_write()
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
