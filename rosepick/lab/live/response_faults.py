"""Implements response faults that exist only on sockets: resets, half-closes, malformed or slow responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ...decisions.api import Result
from ...net.tcp_stream import TcpStream
from .run_records import NodeAttemptRecord


class FaultyConnection(Protocol):
    """The interface of a node server's connection that faults use."""

    stream: TcpStream
    attempt: NodeAttemptRecord | None

    def finish_attempt(self, result: Result) -> None:
        """Record the end of the current attempt."""

    def reset(self) -> None:
        """Close the connection with a reset."""

    def run_guarded(self, step: Callable[[], None]) -> None:
        """Run a step, and close the connection if the step fails."""

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_ms` milliseconds of the run."""


RESET_DELAY_MS = 1.0  # delay between sending and a reset, as a reset discards unsent bytes
DRIP_INTERVAL_MS = 50.0  # interval between two bytes of a slow response
MALFORMED_RESPONSES = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(range(64)),
    b"HTTP/1.1 2OO OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 12x\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"\r\n\r\n\x00\x00\x00 no answer at all \r\n",
)
ConnectionLoss = Callable[[FaultyConnection, bytes], None]


def reset_before_response(connection: FaultyConnection, _data: bytes) -> None:
    """Reset the connection before any byte of the response is sent."""
    connection.finish_attempt(Result.RESET)
    connection.reset()


def reset_within_response(connection: FaultyConnection, data: bytes) -> None:
    """Reset the connection in the middle of the response."""
    connection.stream.send(data[: len(data) // 2])
    connection.finish_attempt(Result.RESET)
    connection.call_after(RESET_DELAY_MS, connection.reset)


def half_close_connection(connection: FaultyConnection, _data: bytes) -> None:
    """Close the sending half without a response, and continue to read."""
    connection.finish_attempt(Result.RESET)
    connection.stream.shutdown_write()


def reset_after_response(connection: FaultyConnection, data: bytes, result: Result) -> None:
    """Send the whole response, then reset the connection."""
    connection.stream.send(data)
    connection.finish_attempt(result)
    connection.call_after(RESET_DELAY_MS, connection.reset)


def send_malformed_response(connection: FaultyConnection, kind: int) -> None:
    """Send a malformed response, then close the sending half."""
    connection.stream.send(MALFORMED_RESPONSES[kind % len(MALFORMED_RESPONSES)])
    connection.finish_attempt(Result.RESET)
    connection.stream.shutdown_write()


def drip_response(connection: FaultyConnection, data: bytes, result: Result) -> None:
    """Send the response one byte at a time, every `DRIP_INTERVAL_MS`."""
    attempt = connection.attempt

    def send_byte(at: int) -> None:
        if not connection.stream.is_open or connection.attempt is not attempt:
            return
        connection.run_guarded(lambda: connection.stream.send(data[at : at + 1]))
        if at + 1 == len(data):
            connection.finish_attempt(result)
        else:
            connection.call_after(DRIP_INTERVAL_MS, lambda: send_byte(at + 1))

    send_byte(0)


# ways to lose a connection; `NodeServer` draws one of them
CONNECTION_LOSSES: tuple[ConnectionLoss, ...] = (
    reset_before_response,
    reset_within_response,
    half_close_connection,
)
