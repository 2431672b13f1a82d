"""The operators' door: one call to a connection, one line each way, as a state machine that is fed bytes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

LINE_LIMIT = 256  # bytes: no call is longer, with its line's end
SHOWN = 40  # characters of an unknown call that are said back


@dataclass(frozen=True, slots=True)
class Said:
    """The answer to a call."""

    good: bool
    text: str = ""
    more: tuple[str, ...] = ()  # lines that follow
    plain: bool = False  # nothing before the text: a document, which ends with a line of its own

    def encode(self) -> bytes:
        """As it is written."""
        word = "OK" if self.good else "ERR"
        first = self.text if self.plain else f"{word} {self.text}".rstrip()
        return "".join(f"{line}\n" for line in (first, *self.more)).encode()


Calls = Mapping[str, Callable[[], Said]]


class OpsConnection:
    """One connection. It reads up to the first line's end and answers once; what comes after is not read."""

    def __init__(self, calls: Calls) -> None:
        self._calls = calls
        self._line = bytearray()
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """Take in bytes; the answer, once there is one."""
        if self.done:
            return b""
        # no more than a line is ever held: guards against one without an end
        self._line += data[: LINE_LIMIT + 1 - len(self._line)]
        line, end, _ = self._line.partition(b"\n")
        if end:
            return self._answer(bytes(line))
        return self._error("the call is too long") if len(self._line) > LINE_LIMIT else b""

    def ended(self) -> bytes:
        """The caller has ended its sending: what came without a line's end is no call."""
        return b"" if self.done else self._error("the call has no end")

    def _answer(self, line: bytes) -> bytes:
        try:
            name = line.decode("ascii").strip()
        except UnicodeDecodeError:
            return self._error("the call is no plain text")
        call = self._calls.get(name)
        if call is None:
            known = ", ".join(self._calls)
            shown = "".join(c for c in name[:SHOWN] if c.isprintable())
            return self._error(f"unknown call {shown!r}; known are {known}" if shown else "an empty call")
        return self._say(call())

    def _error(self, text: str) -> bytes:
        return self._say(Said(False, text))

    def _say(self, said: Said) -> bytes:
        self.done = True
        self._line.clear()
        return said.encode()
