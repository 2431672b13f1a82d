"""TLS stream of one client connection."""

from __future__ import annotations

import contextlib
import logging
import socket
import ssl
from enum import Enum

from ..core.request_budget import RequestReservation
from ..logs import log_event
from .event_loop import READ, EventLoop, ReadyCallback
from .peer_certificate import format_rfc4514
from .resource_budget import ResourceBudget
from .tcp_stream import READ_CHUNK_BYTES, TcpStream
from .tls_handshakes import HandshakeScheduler

# Log lines and their rate limits count as those of the module `tls`.
logger = logging.getLogger(f"{__package__}.tls")

MAX_EARLY_BYTES = 64 * 1024  # maximum data from a client while its handshake waits for the scheduler
RECORD_BYTES = 16 * 1024  # chunk size for reads and encryption; the TLS library has buffers of that size
RECORD_HEADER_BYTES = 5  # type, version and length (RFC 8446, 5.1)
LENGTH_OFFSET = 3  # offset of the length in a record header


class RecordFraming:
    """Tracks the boundaries of received TLS records.

    The TLS library buffers a partial record without reporting it. Without this check, a client could hold a
    connection for ever with a partial record.
    """

    __slots__ = ("_partial_header", "_remaining_bytes")

    def __init__(self) -> None:
        self._partial_header = b""
        self._remaining_bytes = 0  # bytes of the current record that are still missing

    def feed(self, data: bytes) -> None:
        """Update the state with received bytes."""
        offset = 0
        while offset < len(data):
            if self._remaining_bytes:
                step = min(self._remaining_bytes, len(data) - offset)
                self._remaining_bytes -= step
            else:
                step = min(RECORD_HEADER_BYTES - len(self._partial_header), len(data) - offset)
                self._partial_header += data[offset : offset + step]
                if len(self._partial_header) == RECORD_HEADER_BYTES:
                    self._remaining_bytes = int.from_bytes(self._partial_header[LENGTH_OFFSET:], "big")
                    self._partial_header = b""
            offset += step

    def has_partial_record(self) -> bool:
        """Return whether the last record is incomplete."""
        return bool(self._partial_header or self._remaining_bytes)


class HandshakeTurn(Enum):
    """State of the scheduler's permission to start a handshake."""

    NOT_REQUESTED = 0
    WAITING = 1
    GRANTED = 2


class TlsStream(TcpStream):
    """Server side of a TCP stream that encrypts and decrypts its data."""

    __slots__ = (
        "_early_data",
        "_encrypted",
        "_framing",
        "_handshake_begun",
        "_handshake_complete",
        "_handshake_turn",
        "_handshakes",
        "_incoming",
        "_outgoing",
        "_peer_closed",
        "_ssl",
    )

    def __init__(
        self,
        loop: EventLoop,
        budget: ResourceBudget,
        sock: socket.socket,
        on_ready: ReadyCallback,
        context: ssl.SSLContext,
        handshakes: HandshakeScheduler,
    ) -> None:
        self._handshakes = handshakes
        self._handshake_turn = HandshakeTurn.NOT_REQUESTED
        self._early_data = RequestReservation(budget.requests)  # received while the handshake waits
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._ssl = context.wrap_bio(self._incoming, self._outgoing, server_side=True)
        self._encrypted = memoryview(b"")  # encrypted, not yet written
        self._framing = RecordFraming()
        self._handshake_begun = False
        self._handshake_complete = False
        self._peer_closed = False  # the client has ended its side of the connection
        super().__init__(loop, budget, sock, on_ready)

    # ------------------------------------------------------------------------------------------ reading

    def read(self, _max_bytes: int = READ_CHUNK_BYTES) -> bytes | None:
        """Return all decrypted data, as data left in the TLS library would not wake the selector."""
        if self._peer_closed:
            return b""
        try:
            data = self.sock.recv(RECORD_BYTES)
        except (BlockingIOError, InterruptedError):
            return self._process_input() if self._incoming.pending and not self._handshake_complete else None
        if not data:
            return b""
        self._handshake_begun = True
        self._framing.feed(data)
        if self._handshake_turn is not HandshakeTurn.GRANTED and not self._early_data.try_grow(len(data)):
            raise OSError("no memory is left for data before the handshake")
        self._incoming.write(data)
        return self._process_input()

    def _process_input(self) -> bytes | None:
        """Continue the handshake, or decrypt; a TLS error is logged and raised again."""
        try:
            return self._decrypt() if self._handshake_complete or self._step_handshake() else None
        except ssl.SSLError as error:
            self._log_refusal(error)
            raise

    def _step_handshake(self) -> bool:
        """Continue the handshake; return whether it is complete."""
        if self._handshake_turn is not HandshakeTurn.GRANTED and not self._may_begin_handshake():
            return False
        try:
            with self._handshakes.measure_cpu():
                self._ssl.do_handshake()
        except ssl.SSLWantReadError:
            self.flush()
            return False
        self._handshake_complete = True
        self.flush()
        certificate = self._ssl.getpeercert()
        if certificate:
            subject = format_rfc4514(certificate["subject"])  # type: ignore[arg-type]
            log_event(logger, logging.INFO, "client_verified", client_subject=subject)
        return True

    def _may_begin_handshake(self) -> bool:
        """Return whether the handshake may start.

        Raises:
            OSError: the client has sent more than `MAX_EARLY_BYTES`; the limit bounds the memory.
        """
        if self._incoming.pending > MAX_EARLY_BYTES:
            raise OSError("too much was sent before the handshake")
        if self._handshake_turn is HandshakeTurn.NOT_REQUESTED:
            self._handshake_turn = (
                HandshakeTurn.GRANTED
                if self._handshakes.try_begin(self._resume_handshake)
                else HandshakeTurn.WAITING
            )
        if self._handshake_turn is not HandshakeTurn.GRANTED:
            return False
        self._early_data.release()  # the TLS library takes it now
        return True

    def _resume_handshake(self) -> None:
        self._handshake_turn = HandshakeTurn.GRANTED
        self._trigger_read()

    def _decrypt(self) -> bytes | None:
        parts = []
        while not self._peer_closed:
            try:
                part = self._ssl.read(RECORD_BYTES)
            except ssl.SSLWantReadError:
                break
            except ssl.SSLZeroReturnError:
                part = b""
            self._peer_closed = not part
            parts.append(part)
        self.flush()
        data = b"".join(parts)
        if data and self._peer_closed:
            # The end of input arrived with the last data, and the selector does not report it again.
            self._loop.call_after(0.0, self._trigger_read)
        return data if data or self._peer_closed else None

    def _trigger_read(self) -> None:
        if self.is_open:
            self._on_ready(READ)

    def _log_refusal(self, error: ssl.SSLError) -> None:
        """Send the TLS alert to the client, if possible, and log a failed handshake."""
        with contextlib.suppress(OSError):
            self.flush()
        if not self._handshake_complete:
            self._handshake_begun = False  # logged here, so not again at the close
            log_event(logger, logging.WARNING, "tls_refused", reason=(error.reason or str(error)).lower())

    def may_have_more(self, _received_bytes: int, _max_bytes: int) -> bool:
        """Return True: the length of decrypted data does not tell what is left in the socket."""
        return True

    def has_nothing_to_read(self) -> bool:
        """Return whether there is neither unread data nor an end of input or error."""
        return not self._peer_closed and super().has_nothing_to_read()

    def has_partial_record(self) -> bool:
        """Return whether a started handshake or a record is incomplete."""
        return (self._handshake_begun and not self._handshake_complete) or self._framing.has_partial_record()

    def is_established(self) -> bool:
        """Return whether the handshake is complete."""
        return self._handshake_complete

    # ------------------------------------------------------------------------------------------ writing

    def flush(self) -> None:
        """Write buffered data; at most one chunk at a time is buffered in encrypted form."""
        while True:
            if not self._encrypted:
                self._encrypted = memoryview(self._next_encrypted())
            if not self._encrypted:
                return
            try:
                count = self.sock.send(self._encrypted)
            except (BlockingIOError, InterruptedError):
                return
            self._budget.buffered_bytes -= count
            self.last_write_at = self._loop.now()
            self._encrypted = self._encrypted[count:]

    def _next_encrypted(self) -> bytes:
        """Return pending output of the TLS library, or else the next chunk of data in encrypted form."""
        if not self._outgoing.pending and self._pending and self._handshake_complete:
            parts: list[memoryview] = []
            space = RECORD_BYTES
            while self._pending and space:
                part = self._pending.popleft()
                parts.append(part[:space])
                if len(part) > space:
                    self._pending.appendleft(part[space:])
                space -= len(parts[-1])
            chunk = memoryview(b"".join(parts))
            self._budget.buffered_bytes -= len(chunk)
            while chunk:  # the library may accept only a part
                chunk = chunk[self._ssl.write(chunk) :]
        data = self._outgoing.read()
        self._budget.buffered_bytes += len(data)
        return data

    def has_unwritten(self) -> bool:
        """Return whether data is buffered, plain or encrypted."""
        return bool(self._pending or self._encrypted or self._outgoing.pending)

    def shutdown_write(self) -> None:
        """Send close_notify, and then close the sending direction of the TCP connection."""
        self._send_close_notify()
        super().shutdown_write()

    def _send_close_notify(self) -> None:
        """Send close_notify, unless a response is truncated, so that the client detects the truncation."""
        if self._handshake_complete and not self.has_unwritten():
            with contextlib.suppress(OSError):
                self._ssl.unwrap()
            with contextlib.suppress(OSError):
                self.flush()

    def close(self) -> None:
        """Close the connection and discard unwritten data; an incomplete handshake is logged."""
        if self.is_open:
            self._send_close_notify()
            if self._handshake_begun and not self._handshake_complete:
                log_event(logger, logging.WARNING, "tls_refused", reason="the handshake was not completed")
            self._budget.buffered_bytes -= len(self._encrypted)
            self._encrypted = memoryview(b"")
            self._early_data.release()
        super().close()
