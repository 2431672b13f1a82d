"""TLS on the sender side: a stream that encrypts, and the certificate it is made with, which is reread."""

from __future__ import annotations

import contextlib
import hashlib
import logging
import socket
import ssl
import time
from collections.abc import Callable, Iterator
from enum import Enum
from pathlib import Path

from ..connections.accept_throttle import HandshakeThrottle
from ..logs import log_event
from ..settings.operator_file import OperatorFile
from .event_loop import READ, EventLoop, ReadyCallback, ScheduledCall
from .peer_certificate import format_rfc4514
from .resource_budget import ResourceBudget
from .tcp_stream import READ_CHUNK_BYTES, TcpStream

logger = logging.getLogger(__name__)
MAX_EARLY_BYTES = 64 * 1024  # bytes that a client may send ahead while its handshake waits for its turn
RECORD_BYTES = 16 * 1024  # what is read and encrypted at once: the library keeps buffers of that size
FILE_SETTINGS = ("tls_cert", "tls_key", "tls_client_ca")
_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
_VERIFY_MODES = {"off": ssl.CERT_NONE, "optional": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}


class TlsError(ValueError):
    """The settings do not make a server; `name` is the setting at fault."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(text)
        self.name = name


class RecordFraming:
    """Counts TLS records as they come in. Guards against connections held for ever by half a record: the
    library takes its bytes, and tells nobody.
    """

    __slots__ = ("_partial_header", "_remaining_bytes")

    def __init__(self) -> None:
        self._partial_header = b""
        self._remaining_bytes = 0  # bytes of the present record that are still to come

    def feed(self, data: bytes) -> None:
        """Take in bytes."""
        at = 0
        while at < len(data):
            if self._remaining_bytes:
                step = min(self._remaining_bytes, len(data) - at)
                self._remaining_bytes -= step
            else:
                step = min(5 - len(self._partial_header), len(data) - at)
                self._partial_header += data[at : at + step]
                if len(self._partial_header) == 5:
                    self._remaining_bytes = int.from_bytes(self._partial_header[3:], "big")
                    self._partial_header = b""
            at += step

    def has_partial_record(self) -> bool:
        """Whether a record has begun that is not whole."""
        return bool(self._partial_header or self._remaining_bytes)


class HandshakeTurn(Enum):
    """Whether a handshake has had its turn to begin."""

    NOT_REQUESTED = 0
    WAITING = 1
    GRANTED = 2


class HandshakeScheduler:
    """Handshakes take their turn: they have a part of the time, as a crowd of them would hold answers up."""

    def __init__(
        self, loop: EventLoop, cpu_fraction: float, cpu_clock: Callable[[], float] = time.thread_time
    ) -> None:
        self.loop, self._cpu_clock = loop, cpu_clock
        self.queue = HandshakeThrottle(cpu_fraction, loop.now())
        self._timer: ScheduledCall | None = None

    def try_begin(self, resume: Callable[[], None]) -> bool:
        """Whether a handshake may begin now; else `resume` is called when it may."""
        if self.queue.may_proceed(self.loop.now()):
            return True
        self.queue.enqueue(resume)
        self._schedule_next()
        return False

    @contextlib.contextmanager
    def measure_cpu(self) -> Iterator[None]:
        """Count the CPU time of what is done within."""
        begin = self._cpu_clock()
        try:
            yield
        finally:
            self.queue.charge_cpu(1000.0 * (self._cpu_clock() - begin))

    def _schedule_next(self) -> None:
        due = self.queue.next_delay_ms()
        if due is not None and self._timer is None:
            self._timer = self.loop.call_after(due, self._resume_waiting)

    def _resume_waiting(self) -> None:
        self._timer = None
        while (resume := self.queue.pop_ready(self.loop.now())) is not None:
            resume()
        self._schedule_next()


class TlsStream(TcpStream):
    """A stream whose bytes are encrypted on the way."""

    __slots__ = (
        "_encrypted",
        "_framing",
        "_handshake_begun",
        "_handshake_turn",
        "_handshakes",
        "_incoming",
        "_outgoing",
        "_peer_closed",
        "_ssl",
        "_up",
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
        self._handshakes, self._handshake_turn = handshakes, HandshakeTurn.NOT_REQUESTED
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._ssl = context.wrap_bio(self._incoming, self._outgoing, server_side=True)
        self._encrypted = memoryview(b"")  # encrypted, not yet written
        self._framing = RecordFraming()
        # the handshake, the same, the other side's sending
        self._handshake_begun = self._up = self._peer_closed = False
        super().__init__(loop, budget, sock, on_ready)

    # ------------------------------------------------------------------------------------------ reading

    def read(self, max_bytes: int = READ_CHUNK_BYTES) -> bytes | None:
        """All that has come is decrypted at once, so that nothing is left where no selector sees it."""
        if self._peer_closed:
            return b""
        try:
            data = self.sock.recv(RECORD_BYTES)
        except (BlockingIOError, InterruptedError):
            return self._process_input() if self._incoming.pending and not self._up else None
        if not data:
            return b""
        self._handshake_begun = True
        self._framing.feed(data)
        self._incoming.write(data)
        return self._process_input()

    def _process_input(self) -> bytes | None:
        """Take in what has come so far."""
        try:
            return self._decrypt() if self._up or self._step_handshake() else None
        except ssl.SSLError as problem:
            self._log_refusal(problem)
            raise

    def _step_handshake(self) -> bool:
        """A step of the handshake; whether it is over."""
        if self._handshake_turn is not HandshakeTurn.GRANTED and not self._may_begin_handshake():
            return False
        try:
            with self._handshakes.measure_cpu():
                self._ssl.do_handshake()
        except ssl.SSLWantReadError:
            self.flush()
            return False
        self._up = True
        self.flush()
        certificate = self._ssl.getpeercert()
        if certificate:
            subject = format_rfc4514(certificate["subject"])  # type: ignore[arg-type]
            log_event(logger, logging.INFO, "client_verified", client_subject=subject)
        return True

    def _may_begin_handshake(self) -> bool:
        """Whether the handshake may begin. Guards against one that fills the memory while it waits."""
        if self._incoming.pending > MAX_EARLY_BYTES:
            raise OSError("too much was sent before the handshake")
        if self._handshake_turn is HandshakeTurn.NOT_REQUESTED:
            self._handshake_turn = (
                HandshakeTurn.GRANTED
                if self._handshakes.try_begin(self._resume_handshake)
                else HandshakeTurn.WAITING
            )
        return self._handshake_turn is HandshakeTurn.GRANTED

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
            # its end came with its last bytes: no selector will tell of it
            self._loop.call_after(0.0, self._trigger_read)
        return data if data or self._peer_closed else None

    def _trigger_read(self) -> None:
        if self.is_open:
            self._on_ready(READ)

    def _log_refusal(self, problem: ssl.SSLError) -> None:
        """The other side cannot go on: it is told why as far as it takes that."""
        with contextlib.suppress(OSError):
            self.flush()
        if not self._up:
            self._handshake_begun = False  # it has been told
            log_event(logger, logging.WARNING, "tls_refused", reason=(problem.reason or str(problem)).lower())

    def has_nothing_to_read(self) -> bool:
        return not self._peer_closed and super().has_nothing_to_read()

    def has_partial_record(self) -> bool:
        return (self._handshake_begun and not self._up) or self._framing.has_partial_record()

    def is_established(self) -> bool:
        return self._up

    # ------------------------------------------------------------------------------------------ writing

    def flush(self) -> None:
        """Encrypt a piece whenever the last one is written: only one of them is held twice."""
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
            self._encrypted = self._encrypted[count:]

    def _next_encrypted(self) -> bytes:
        """What the library has to say, else the next piece, of as many parts as it holds."""
        if not self._outgoing.pending and self._pending and self._up:
            parts: list[memoryview] = []
            left = RECORD_BYTES
            while self._pending and left:
                part = self._pending.popleft()
                parts.append(part[:left])
                if len(part) > left:
                    self._pending.appendleft(part[left:])
                left -= len(parts[-1])
            piece = memoryview(b"".join(parts))
            self._budget.buffered_bytes -= len(piece)
            while piece:  # guards against a library that takes a part, as it may
                piece = piece[self._ssl.write(piece) :]
        data = self._outgoing.read()
        self._budget.buffered_bytes += len(data)
        return data

    def has_unwritten(self) -> bool:
        return bool(self._pending or self._encrypted or self._outgoing.pending)

    def shutdown_write(self) -> None:
        self._send_close_notify()
        super().shutdown_write()

    def _send_close_notify(self) -> None:
        """The end is told, unless an answer is cut short by it: then the other side must see that."""
        if self._up and not self.has_unwritten():
            with contextlib.suppress(OSError):
                self._ssl.unwrap()
            with contextlib.suppress(OSError):
                self.flush()

    def close(self) -> None:
        if self.is_open:
            self._send_close_notify()
            if self._handshake_begun and not self._up:
                log_event(logger, logging.WARNING, "tls_refused", reason="the handshake was not completed")
            self._budget.buffered_bytes -= len(self._encrypted)
            self._encrypted = memoryview(b"")
        super().close()


# -------------------------------------------------------------------------------------- the certificate


def make_context(file: OperatorFile) -> ssl.SSLContext:
    """A server by the settings of the operators' file. TlsError if they do not make one."""
    paths = {name: path for name in FILE_SETTINGS if (path := file.text(name)) is not None}
    held = {name: _read_file(name, path) for name, path in paths.items()}
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = _VERSIONS[str(file.text("tls_min_version"))]
    context.options |= ssl.OP_NO_RENEGOTIATION
    context.set_alpn_protocols(["http/1.1"])
    try:
        # an encrypted key must not ask at the terminal
        context.load_cert_chain(paths["tls_cert"], paths["tls_key"], password=lambda: "")
    except (ssl.SSLError, ValueError) as problem:
        raise _key_pair_error(paths, held, problem) from None
    mode = _VERIFY_MODES[str(file.text("tls_client_cert"))]
    if mode is not ssl.CERT_NONE:
        try:
            context.load_verify_locations(paths["tls_client_ca"])
        except ssl.SSLError:
            raise _unusable_file_error(
                "tls_client_ca", paths, "holds no certificate that can be read"
            ) from None
        context.verify_mode = mode
    return context


def _read_file(name: str, path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as problem:
        raise TlsError(name, f'{name} "{path}" cannot be read: {problem.strerror}') from None


def _key_pair_error(paths: dict[str, str], contents: dict[str, bytes], problem: Exception) -> TlsError:
    """Which of the pair is at fault."""
    if getattr(problem, "reason", None) == "KEY_VALUES_MISMATCH":
        return _unusable_file_error("tls_key", paths, f'does not match tls_cert "{paths["tls_cert"]}"')
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT).load_verify_locations(
            cadata=contents["tls_cert"].decode("ascii")
        )
    except (ssl.SSLError, ValueError):
        return _unusable_file_error("tls_cert", paths, "holds no certificate that can be read")
    if b"ENCRYPTED" in contents["tls_key"]:
        return _unusable_file_error("tls_key", paths, "is encrypted")
    return _unusable_file_error("tls_key", paths, "holds no key that can be used with tls_cert")


def _unusable_file_error(name: str, paths: dict[str, str], text: str) -> TlsError:
    return TlsError(name, f'{name} "{paths[name]}" {text}')


class TlsServer:
    """The server's side of TLS as it is at present. Connections keep what they were made with."""

    def __init__(self, loop: EventLoop, file: OperatorFile) -> None:
        self.loop, self.file = loop, file
        self.handshakes = HandshakeScheduler(loop, 0.01 * file.integer("tls_handshake_part"))
        self._current_contents = self._read_contents(file)
        self.context = make_context(file)
        self._reload_timer: ScheduledCall
        self._schedule_reload()

    def make_stream(
        self, loop: EventLoop, budget: ResourceBudget, sock: socket.socket, ready: ReadyCallback
    ) -> TlsStream:
        """A connection's stream, with the present certificate."""
        return TlsStream(loop, budget, sock, ready, self.context, self.handshakes)

    def certificate_fingerprint(self) -> str:
        """What tells the present certificate from others: the begin of its SHA-256."""
        pem = self._current_contents.get("tls_cert", b"").decode("ascii", "replace")
        begin, end = pem.find(ssl.PEM_HEADER), pem.find(ssl.PEM_FOOTER)
        whole = ssl.PEM_cert_to_DER_cert(pem[begin : end + len(ssl.PEM_FOOTER)])
        return hashlib.sha256(whole).hexdigest()[:16]

    def reload(self, file: OperatorFile) -> None:
        """SIGHUP: other settings, perhaps, and the pair is read again in any case."""
        self.handshakes.queue.cpu_fraction = 0.01 * file.integer("tls_handshake_part")
        self._reload_if_changed(file, {})
        self._schedule_reload()

    def _schedule_reload(self) -> None:
        if hasattr(self, "_reload_timer"):
            self._reload_timer.cancel()
        self._reload_timer = self.loop.call_after(
            1000.0 * self.file.seconds("tls_reload_interval"), self._reload_periodically
        )

    def _reload_periodically(self) -> None:
        self._reload_if_changed(self.file, self._current_contents)
        self._schedule_reload()

    def _reload_if_changed(self, file: OperatorFile, current_contents: dict[str, bytes]) -> None:
        """Take what the files hold now, if that is something else and a whole. Guards against a pair of which
        one file is new and the other not yet: the old pair stays.
        """
        try:
            contents = self._read_contents(file)
            if contents == current_contents:
                return
            self._current_contents = contents  # said once, not at each look
            context = make_context(file)
            if self._read_contents(file) != contents:
                self._current_contents = {}  # it changes at this moment: look again the next time
                return
        except TlsError as problem:
            log_event(logger, logging.ERROR, "tls_reload_failed", text=problem)
            return
        self.file, self.context = file, context
        log_event(logger, logging.INFO, "tls_reloaded", certificate=self.certificate_fingerprint())

    @staticmethod
    def _read_contents(file: OperatorFile) -> dict[str, bytes]:
        return {
            name: _read_file(name, path) for name in FILE_SETTINGS if (path := file.text(name)) is not None
        }
