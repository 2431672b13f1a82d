"""The operators' door: one call to a connection, one line each way, as a state machine that is fed bytes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

MAX_LINE_BYTES = 256  # bytes: no call is longer, with its line's end
MAX_ECHOED_CHARS = 40  # characters of an unknown call that are said back


@dataclass(frozen=True, slots=True)
class AdminReply:
    """The answer to a call."""

    ok: bool
    text: str = ""
    extra_lines: tuple[str, ...] = ()  # lines that follow
    is_document: bool = False  # nothing before the text: a document, which ends with a line of its own

    def encode(self) -> bytes:
        """As it is written."""
        word = "OK" if self.ok else "ERR"
        first = self.text if self.is_document else f"{word} {self.text}".rstrip()
        return "".join(f"{line}\n" for line in (first, *self.extra_lines)).encode()


AdminCommands = Mapping[str, Callable[[], AdminReply]]


class AdminProtocol:
    """One connection. It reads up to the first line's end and answers once; what comes after is not read."""

    def __init__(self, commands: AdminCommands) -> None:
        self._commands = commands
        self._line = bytearray()
        self.is_done = False

    def feed(self, data: bytes) -> bytes:
        """Take in bytes; the answer, once there is one."""
        if self.is_done:
            return b""
        # no more than a line is ever held: guards against one without an end
        self._line += data[: MAX_LINE_BYTES + 1 - len(self._line)]
        line, end, _ = self._line.partition(b"\n")
        if end:
            return self._run_command(bytes(line))
        return self._fail("the call is too long") if len(self._line) > MAX_LINE_BYTES else b""

    def feed_eof(self) -> bytes:
        """The caller has ended its sending: what came without a line's end is no call."""
        return b"" if self.is_done else self._fail("the call has no end")

    def _run_command(self, line: bytes) -> bytes:
        try:
            name = line.decode("ascii").strip()
        except UnicodeDecodeError:
            return self._fail("the call is no plain text")
        call = self._commands.get(name)
        if call is None:
            known = ", ".join(self._commands)
            shown = "".join(c for c in name[:MAX_ECHOED_CHARS] if c.isprintable())
            return self._fail(f"unknown call {shown!r}; known are {known}" if shown else "an empty call")
        return self._finish(call())

    def _fail(self, text: str) -> bytes:
        return self._finish(AdminReply(False, text))

    def _finish(self, reply: AdminReply) -> bytes:
        self.is_done = True
        self._line.clear()
        return reply.encode()
