"""The next hop's side: one delivery attempt on a connection, as bytes out and an outcome back."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..core.flow import Flow
from ..decisions.api import Result
from .response import Answer, AnswerReader, BadAnswer
from .sender_side import Letter

BODY_LIMIT = 36 * 1024 * 1024  # of an answer; what is longer is taken for spoilt
WHOLE = 64 * 1024  # an answer up to this is held until it is whole, so that another attempt is possible
_NOTES = {b"hit": 1, b"miss": 2, b"pending": 3}


@dataclass(frozen=True, slots=True)
class Verdict:
    """How a delivery attempt ended."""

    result: Result
    note: int = 0
    answer: Answer | None = None
    reusable: bool = False
    spoilt: bool = False  # an answer came that is of no use


@dataclass(frozen=True, slots=True)
class Begun:
    """A long answer has begun and is passed on from here as it comes."""

    headers: dict[bytes, bytes]
    flow: Flow


PIECE = 64 * 1024  # of a body that is coming which is taken at once


class Exchange:
    """One delivery attempt: its request's bytes, and what comes back."""

    def __init__(self, letter: Letter, host: str, time_left: float) -> None:
        self._unsent = memoryview(_request(letter, host, time_left))
        self._flow = letter.flow  # of a body that is coming, until its last byte has been taken
        self._chunked = letter.flow is not None and letter.flow.length is None
        self._reader = AnswerReader(BODY_LIMIT, WHOLE)

    def unsent(self) -> memoryview:
        """What can be written now."""
        if not self._unsent and self._flow is not None:
            self._pull(self._flow)
        return self._unsent

    def _pull(self, flow: Flow) -> None:
        parts = flow.take(PIECE)
        if parts and self._chunked:
            parts = [b"%x\r\n" % sum(map(len, parts)), *parts, b"\r\n"]
        if flow.over():
            self._flow = None
            parts += [b"0\r\n\r\n"] if self._chunked else []
        self._unsent = memoryview(b"".join(parts))

    def sent(self) -> bool:
        """Whether the request has been written whole."""
        return not self._unsent and self._flow is None

    def written(self, count: int) -> None:
        """So many of the unsent bytes were written."""
        self._unsent = self._unsent[count:]

    def feed(self, data: bytes) -> Verdict | None:
        """Take in bytes of the answer; a verdict once there is one."""
        try:
            answer = self._reader.feed(data)
        except BadAnswer:
            return self.spoilt()
        if self._reader.begun and not self.sent():
            return self.spoilt()  # a long answer before the request's end: there is nobody yet to pass it to
        return None if answer is None else self._judge(answer)

    def ended(self) -> Verdict:
        """The next hop has ended its sending."""
        answer = self._reader.ended()
        return self.broke() if answer is None else self._judge(answer)

    def broke(self) -> Verdict:
        """The connection cannot go on. A next hop starts on a request when its last byte is there, so what
        was not written whole has never run.
        """
        return Verdict(Result.RESET if self.sent() else Result.CONNECT_FAILED)

    def spoilt(self) -> Verdict:
        """An answer came that is of no use."""
        return replace(self.broke(), spoilt=self.sent())

    def held(self) -> int:
        """Bytes of an answer that is not whole."""
        return self._reader.held()

    def begun(self) -> bool:
        """Whether an answer has begun that is given in parts; not before the request is there whole."""
        return self._reader.begun and self.sent()

    def head(self) -> tuple[dict[bytes, bytes], int | None]:
        """Headers and length of the answer that has begun."""
        return self._reader.headers(), self._reader.length()

    def note(self) -> int:
        """What it says of the read."""
        return _NOTES.get(self._reader.headers().get(b"srv-cache", b"").strip().lower(), 0)

    def take(self) -> list[bytes]:
        """What has come of it."""
        return self._reader.take()

    def _judge(self, answer: Answer) -> Verdict:
        note, result = self.note(), _result(answer)
        if result is Result.ERROR and not self.sent():
            result = Result.CONNECT_FAILED  # an early answer: it never had the whole request
        return Verdict(result, note, answer, answer.reusable and self.sent())


def _result(answer: Answer) -> Result:
    if answer.status == 200:
        return Result.OK
    if answer.status == 404:
        return Result.MISS
    if answer.status in (503, 504) and answer.headers.get(b"srv-declined", b"").strip() == b"1":
        return Result.FULL
    if answer.status == 400:
        return Result.UNFIT
    return Result.ERROR  # it may have run


def _request(letter: Letter, host: str, time_left: float) -> bytes:
    lines = [
        letter.method + b" " + letter.target + b" HTTP/1.1",
        b"Host: " + host.encode(),
        b"Req-Id: " + letter.req_id,
        # of a body that is coming, the time counts from its last byte
        b"Req-Deadline: " + (letter.wait if letter.flow else b"%.3f" % (max(0.0, time_left) / 1000.0)),
    ]
    if letter.idempotency_key is not None:
        lines.append(b"Idempotency-Key: " + letter.idempotency_key)
    if letter.content_type is not None:
        lines.append(b"Content-Type: " + letter.content_type)
    if letter.flow is not None and letter.flow.length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif letter.flow is not None and letter.flow.length is not None:
        lines.append(b"Content-Length: %d" % letter.flow.length)
    elif letter.body or letter.method != b"GET":
        lines.append(b"Content-Length: %d" % len(letter.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + letter.body
