"""Protocol of the admin listener, without I/O: a client sends one command line and gets one reply."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

MAX_LINE_BYTES = 256  # longest command line, with its line end
MAX_ECHOED_CHARS = 40  # longest part of an unknown command that the reply repeats


@dataclass(frozen=True, slots=True)
class AdminReply:
    """Holds the reply to a command."""

    ok: bool
    text: str = ""
    extra_lines: tuple[str, ...] = ()  # lines after the first line
    is_document: bool = False  # sends the text without `OK`; the last extra line marks its end

    def encode(self) -> bytes:
        """Return the bytes of the reply."""
        status = "OK" if self.ok else "ERR"
        first_line = self.text if self.is_document else f"{status} {self.text}".rstrip()
        return "".join(f"{line}\n" for line in (first_line, *self.extra_lines)).encode()


AdminCommands = Mapping[str, Callable[[], AdminReply]]
"""Functions that run the commands, by the names of the commands."""


class AdminProtocol:
    """Handles one connection: replies to the first line, and ignores all bytes after it."""

    def __init__(self, commands: AdminCommands) -> None:
        self._commands = commands
        self._line = bytearray()
        self.is_done = False

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes; return the reply, or no bytes while the line is incomplete."""
        if self.is_done:
            return b""
        # Buffers one line at most. The limit guards against a line without an end.
        self._line += data[: MAX_LINE_BYTES + 1 - len(self._line)]
        line, end, _ = self._line.partition(b"\n")
        if end:
            return self._run_command(bytes(line))
        return self._fail("the call is too long") if len(self._line) > MAX_LINE_BYTES else b""

    def feed_eof(self) -> bytes:
        """Handle the end of the client's stream; return the error reply to an incomplete line."""
        return b"" if self.is_done else self._fail("the call has no end")

    def _run_command(self, line: bytes) -> bytes:
        try:
            name = line.decode("ascii").strip()
        except UnicodeDecodeError:
            return self._fail("the call is no plain text")
        command = self._commands.get(name)
        if command is None:
            return self._fail(self._describe_unknown(name))
        return self._finish(command())

    def _describe_unknown(self, name: str) -> str:
        shown_name = "".join(char for char in name[:MAX_ECHOED_CHARS] if char.isprintable())
        if not shown_name:
            return "an empty call"
        return f"unknown call {shown_name!r}; known are {', '.join(self._commands)}"

    def _fail(self, text: str) -> bytes:
        return self._finish(AdminReply(False, text))

    def _finish(self, reply: AdminReply) -> bytes:
        self.is_done = True
        self._line.clear()
        return reply.encode()
