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

from ..connections.intake import Handshakes
from ..logs import say
from ..settings.operator_file import OperatorFile
from .budget import Budget
from .loop import READ, Loop, Ready, Timer
from .stream import CHUNK, Stream
from .subject import rfc4514

log = logging.getLogger(__name__)
UNREAD = 64 * 1024  # bytes that a client may send ahead while its handshake waits for its turn
PIECE = 16 * 1024  # what is read and encrypted at once: the library keeps buffers of that size
FILES = ("tls_cert", "tls_key", "tls_client_ca")
_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
_MODES = {"off": ssl.CERT_NONE, "optional": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}


class TlsError(ValueError):
    """The settings do not make a server; `name` is the setting at fault."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(text)
        self.name = name


class Framing:
    """Counts TLS records as they come in. Guards against connections held for ever by half a record: the
    library takes its bytes, and tells nobody.
    """

    __slots__ = ("_head", "_left")

    def __init__(self) -> None:
        self._head = b""
        self._left = 0  # bytes of the present record that are still to come

    def feed(self, data: bytes) -> None:
        """Take in bytes."""
        at = 0
        while at < len(data):
            if self._left:
                step = min(self._left, len(data) - at)
                self._left -= step
            else:
                step = min(5 - len(self._head), len(data) - at)
                self._head += data[at : at + step]
                if len(self._head) == 5:
                    self._left = int.from_bytes(self._head[3:], "big")
                    self._head = b""
            at += step

    def partial(self) -> bool:
        """Whether a record has begun that is not whole."""
        return bool(self._head or self._left)


class Turn(Enum):
    """Whether a handshake has had its turn to begin."""

    NONE = 0
    AWAITED = 1
    HAD = 2


class Turns:
    """Handshakes take their turn: they have a part of the time, as a crowd of them would hold answers up."""

    def __init__(self, loop: Loop, part: float, cpu: Callable[[], float] = time.thread_time) -> None:
        self.loop, self._cpu = loop, cpu
        self.queue = Handshakes(part, loop.now())
        self._timer: Timer | None = None

    def granted(self, resume: Callable[[], None]) -> bool:
        """Whether a handshake may begin now; else `resume` is called when it may."""
        if self.queue.may(self.loop.now()):
            return True
        self.queue.wait(resume)
        self._wake()
        return False

    @contextlib.contextmanager
    def measured(self) -> Iterator[None]:
        """Count the CPU time of what is done within."""
        begin = self._cpu()
        try:
            yield
        finally:
            self.queue.spent(1000.0 * (self._cpu() - begin))

    def _wake(self) -> None:
        due = self.queue.due_in()
        if due is not None and self._timer is None:
            self._timer = self.loop.after(due, self._go_on)

    def _go_on(self) -> None:
        self._timer = None
        while (resume := self.queue.next(self.loop.now())) is not None:
            resume()
        self._wake()


class TlsStream(Stream):
    """A stream whose bytes are encrypted on the way."""

    __slots__ = (
        "_begun",
        "_cipher",
        "_framing",
        "_in",
        "_out",
        "_over",
        "_tls",
        "_turn",
        "_turns",
        "_up",
    )

    def __init__(
        self,
        loop: Loop,
        budget: Budget,
        sock: socket.socket,
        ready: Ready,
        context: ssl.SSLContext,
        turns: Turns,
    ) -> None:
        self._turns, self._turn = turns, Turn.NONE
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._in, self._out, server_side=True)
        self._cipher = memoryview(b"")  # encrypted, not yet written
        self._framing = Framing()
        self._begun = self._up = self._over = False  # the handshake, the same, the other side's sending
        super().__init__(loop, budget, sock, ready)

    # ------------------------------------------------------------------------------------------ reading

    def read(self, most: int = CHUNK) -> bytes | None:
        """All that has come is decrypted at once, so that nothing is left where no selector sees it."""
        if self._over:
            return b""
        try:
            data = self.sock.recv(PIECE)
        except (BlockingIOError, InterruptedError):
            return self._go_on() if self._in.pending and not self._up else None
        if not data:
            return b""
        self._begun = True
        self._framing.feed(data)
        self._in.write(data)
        return self._go_on()

    def _go_on(self) -> bytes | None:
        """Take in what has come so far."""
        try:
            return self._decrypted() if self._up or self._shake_hands() else None
        except ssl.SSLError as problem:
            self._refuse(problem)
            raise

    def _shake_hands(self) -> bool:
        """A step of the handshake; whether it is over."""
        if self._turn is not Turn.HAD and not self._has_turn():
            return False
        try:
            with self._turns.measured():
                self._tls.do_handshake()
        except ssl.SSLWantReadError:
            self.flush()
            return False
        self._up = True
        self.flush()
        certificate = self._tls.getpeercert()
        if certificate:
            subject = rfc4514(certificate["subject"])  # type: ignore[arg-type]
            say(log, logging.INFO, "client_verified", client_subject=subject)
        return True

    def _has_turn(self) -> bool:
        """Whether the handshake may begin. Guards against one that fills the memory while it waits."""
        if self._in.pending > UNREAD:
            raise OSError("too much was sent before the handshake")
        if self._turn is Turn.NONE:
            self._turn = Turn.HAD if self._turns.granted(self._resume) else Turn.AWAITED
        return self._turn is Turn.HAD

    def _resume(self) -> None:
        self._turn = Turn.HAD
        self._read_on()

    def _decrypted(self) -> bytes | None:
        parts = []
        while not self._over:
            try:
                part = self._tls.read(PIECE)
            except ssl.SSLWantReadError:
                break
            except ssl.SSLZeroReturnError:
                part = b""
            self._over = not part
            parts.append(part)
        self.flush()
        data = b"".join(parts)
        if data and self._over:
            # its end came with its last bytes: no selector will tell of it
            self._loop.after(0.0, self._read_on)
        return data if data or self._over else None

    def _read_on(self) -> None:
        if self.open:
            self._ready(READ)

    def _refuse(self, problem: ssl.SSLError) -> None:
        """The other side cannot go on: it is told why as far as it takes that."""
        with contextlib.suppress(OSError):
            self.flush()
        if not self._up:
            self._begun = False  # it has been told
            say(log, logging.WARNING, "tls_refused", reason=(problem.reason or str(problem)).lower())

    def quiet(self) -> bool:
        return not self._over and super().quiet()

    def partial(self) -> bool:
        return (self._begun and not self._up) or self._framing.partial()

    def established(self) -> bool:
        return self._up

    # ------------------------------------------------------------------------------------------ writing

    def flush(self) -> None:
        """Encrypt a piece whenever the last one is written: only one of them is held twice."""
        while True:
            if not self._cipher:
                self._cipher = memoryview(self._next())
            if not self._cipher:
                return
            try:
                count = self.sock.send(self._cipher)
            except (BlockingIOError, InterruptedError):
                return
            self._budget.held -= count
            self._cipher = self._cipher[count:]

    def _next(self) -> bytes:
        """What the library has to say, else the next piece, of as many parts as it holds."""
        if not self._out.pending and self._pending and self._up:
            parts: list[memoryview] = []
            left = PIECE
            while self._pending and left:
                part = self._pending.popleft()
                parts.append(part[:left])
                if len(part) > left:
                    self._pending.appendleft(part[left:])
                left -= len(parts[-1])
            piece = memoryview(b"".join(parts))
            self._budget.held -= len(piece)
            while piece:  # guards against a library that takes a part, as it may
                piece = piece[self._tls.write(piece) :]
        data = self._out.read()
        self._budget.held += len(data)
        return data

    def unwritten(self) -> bool:
        return bool(self._pending or self._cipher or self._out.pending)

    def end_sending(self) -> None:
        self._say_goodbye()
        super().end_sending()

    def _say_goodbye(self) -> None:
        """The end is told, unless an answer is cut short by it: then the other side must see that."""
        if self._up and not self.unwritten():
            with contextlib.suppress(OSError):
                self._tls.unwrap()
            with contextlib.suppress(OSError):
                self.flush()

    def close(self) -> None:
        if self.open:
            self._say_goodbye()
            if self._begun and not self._up:
                say(log, logging.WARNING, "tls_refused", reason="the handshake was not completed")
            self._budget.held -= len(self._cipher)
            self._cipher = memoryview(b"")
        super().close()


# -------------------------------------------------------------------------------------- the certificate


def context_of(file: OperatorFile) -> ssl.SSLContext:
    """A server by the settings of the operators' file. TlsError if they do not make one."""
    paths = {name: path for name in FILES if (path := file.text(name)) is not None}
    held = {name: _content(name, path) for name, path in paths.items()}
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = _VERSIONS[str(file.text("tls_min_version"))]
    context.options |= ssl.OP_NO_RENEGOTIATION
    context.set_alpn_protocols(["http/1.1"])
    try:
        # an encrypted key must not ask at the terminal
        context.load_cert_chain(paths["tls_cert"], paths["tls_key"], password=lambda: "")
    except (ssl.SSLError, ValueError) as problem:
        raise _pair_problem(paths, held, problem) from None
    mode = _MODES[str(file.text("tls_client_cert"))]
    if mode is not ssl.CERT_NONE:
        try:
            context.load_verify_locations(paths["tls_client_ca"])
        except ssl.SSLError:
            raise _unusable("tls_client_ca", paths, "holds no certificate that can be read") from None
        context.verify_mode = mode
    return context


def _content(name: str, path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as problem:
        raise TlsError(name, f'{name} "{path}" cannot be read: {problem.strerror}') from None


def _pair_problem(paths: dict[str, str], held: dict[str, bytes], problem: Exception) -> TlsError:
    """Which of the pair is at fault."""
    if getattr(problem, "reason", None) == "KEY_VALUES_MISMATCH":
        return _unusable("tls_key", paths, f'does not match tls_cert "{paths["tls_cert"]}"')
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT).load_verify_locations(cadata=held["tls_cert"].decode("ascii"))
    except (ssl.SSLError, ValueError):
        return _unusable("tls_cert", paths, "holds no certificate that can be read")
    if b"ENCRYPTED" in held["tls_key"]:
        return _unusable("tls_key", paths, "is encrypted")
    return _unusable("tls_key", paths, "holds no key that can be used with tls_cert")


def _unusable(name: str, paths: dict[str, str], text: str) -> TlsError:
    return TlsError(name, f'{name} "{paths[name]}" {text}')


class Tls:
    """The server's side of TLS as it is at present. Connections keep what they were made with."""

    def __init__(self, loop: Loop, file: OperatorFile) -> None:
        self.loop, self.file = loop, file
        self.turns = Turns(loop, 0.01 * file.whole("tls_handshake_part"))
        self._held = self._contents(file)
        self.context = context_of(file)
        self._timer: Timer
        self._again()

    def stream(self, loop: Loop, budget: Budget, sock: socket.socket, ready: Ready) -> TlsStream:
        """A connection's stream, with the present certificate."""
        return TlsStream(loop, budget, sock, ready, self.context, self.turns)

    def certificate(self) -> str:
        """What tells the present certificate from others: the begin of its SHA-256."""
        pem = self._held.get("tls_cert", b"").decode("ascii", "replace")
        begin, end = pem.find(ssl.PEM_HEADER), pem.find(ssl.PEM_FOOTER)
        whole = ssl.PEM_cert_to_DER_cert(pem[begin : end + len(ssl.PEM_FOOTER)])
        return hashlib.sha256(whole).hexdigest()[:16]

    def reload(self, file: OperatorFile) -> None:
        """SIGHUP: other settings, perhaps, and the pair is read again in any case."""
        self.turns.queue.part = 0.01 * file.whole("tls_handshake_part")
        self._refresh(file, {})
        self._again()

    def _again(self) -> None:
        if hasattr(self, "_timer"):
            self._timer.cancel()
        self._timer = self.loop.after(1000.0 * self.file.seconds("tls_reload_interval"), self._turn)

    def _turn(self) -> None:
        self._refresh(self.file, self._held)
        self._again()

    def _refresh(self, file: OperatorFile, held: dict[str, bytes]) -> None:
        """Take what the files hold now, if that is something else and a whole. Guards against a pair of which
        one file is new and the other not yet: the old pair stays.
        """
        try:
            contents = self._contents(file)
            if contents == held:
                return
            self._held = contents  # said once, not at each look
            context = context_of(file)
            if self._contents(file) != contents:
                self._held = {}  # it changes at this moment: look again the next time
                return
        except TlsError as problem:
            say(log, logging.ERROR, "tls_reload_failed", text=problem)
            return
        self.file, self.context = file, context
        say(log, logging.INFO, "tls_reloaded", certificate=self.certificate())

    @staticmethod
    def _contents(file: OperatorFile) -> dict[str, bytes]:
        return {name: _content(name, path) for name in FILES if (path := file.text(name)) is not None}
