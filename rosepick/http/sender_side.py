"""The sender side: requests read from bytes into envelopes, final answers written as bytes."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import httptools

from ..core.engine import Envelope
from ..core.flow import Flow, Room
from ..core.transport_map import key_number
from ..settings.config import Names

BODY_LIMIT = 36 * 1024 * 1024
WHOLE = 64 * 1024  # a body up to this is handed over whole, a longer one as it comes
COMING = 600_000.0  # milliseconds that a body may take to come
HEAD_LIMIT = 16 * 1024
BEHIND_LIMIT = 4  # messages read ahead of the one that is being answered
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    499: b"Client Closed Request",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

# Of these a second one would be read one way here and another way elsewhere.
_ONCE = frozenset(
    {
        b"req-id",
        b"req-kind",
        b"req-owner",
        b"req-deadline",
        b"req-cost",
        b"req-retry",
        b"idempotency-key",
        b"content-length",
        b"transfer-encoding",
        b"host",
        b"expect",
    }
)
_ID = re.compile(rb"[!-~]{1,128}")
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")  # not all that float() takes: 1_0, nan, 1e300


@dataclass(frozen=True, slots=True)
class Letter:
    """What of a request is passed on to a next hop unchanged."""

    method: bytes
    target: bytes
    body: bytes
    req_id: bytes
    idempotency_key: bytes | None
    content_type: bytes | None
    wait: bytes = b""  # Req-Deadline as it came: not passed on, but kept for the record
    flow: Flow | None = None  # in place of the body: it is still coming


def drop_body(envelope: Envelope) -> None:
    """What has come of its body is of no use."""
    assert isinstance(envelope.payload, Letter)
    if envelope.payload.flow is not None:
        envelope.payload.flow.close()


def words(payload: object) -> tuple[bytes, bytes, bytes]:
    """What the sender side wrote that an envelope does not hold: id, key and deadline."""
    assert isinstance(payload, Letter)
    return payload.req_id, key_of(payload.target), payload.wait


def key_of(target: bytes) -> bytes:
    """The key that a request's target names: the last part of its path."""
    return target.partition(b"?")[0].rpartition(b"/")[2]


@dataclass(frozen=True, slots=True)
class Delivered:
    """An envelope has come in whole."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Ready:
    """The question whether the router serves."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """A request that cannot be taken, with the status that says so."""

    status: int
    reason: str
    klass: int | None = None  # where it stated a class that is known


class Other:
    """What a machine of another front has read."""


Received = Delivered | Ready | Rejected | Other
Extra = tuple[tuple[bytes, bytes], ...]  # further headers of an answer


class Bad(Exception):
    """A request cannot be taken."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class SenderConnection:
    """One connection of the sender side: one request is answered at a time, in order."""

    def __init__(self, names: Callable[[], Names], room: Room | None = None) -> None:
        """`names`: those in force, asked when a request is handed over. `room`: for bodies that are handed
        over as they come; without it none is longer than WHOLE.
        """
        self._names, self._room = names, room
        self.flow: Flow | None = None  # of the body that is coming
        self.broken: Rejected | None = None  # a body that was coming came wrong: the answer to its request
        self.came = 0  # bytes of the present body
        self._coming: Envelope | None = None
        self._whole: list[tuple[Envelope, float]] = []
        self._unused = 0  # bytes since a head or a message ended, or something of a body came
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._inbox: deque[tuple[Received, bool]] = deque()
        self._version = "1.1"  # of the request read last
        self._keep_alive = True  # after the request that is being answered
        self._in_hand = False  # the body that is coming is of the request that is being answered
        self._chunked = self._closes = False  # the answer that comes in parts, and the connection after it
        self._now = 0.0
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._head = 0  # bytes of the head as parsed
        self._in_head = False
        self.partial = False  # a request has begun and is not whole
        self.owing = False  # a request waits for its answer
        self.done = False  # nothing more will be read or answered
        self.wants_continue = False

    def feed(self, data: bytes, now: float) -> None:
        """Take in bytes that came at that time; deadlines count from there."""
        if self._parser is None:
            return
        self._now = now
        self._unused += len(data)
        try:
            self._parser.feed_data(data)
            # the parser holds back what is not whole: guards against a header or a trailer that never ends
            if self.partial and self._unused > HEAD_LIMIT:
                raise Bad(431, "headers too long")
        except httptools.HttpParserCallbackError as problem:
            cause = problem.__context__
            if isinstance(cause, Bad):
                self._reject(cause)
            else:
                self._reject(Bad(400, "malformed request"))
        except httptools.HttpParserUpgrade:
            # The request itself is whole and in the inbox. Guards against a second answer to it; what follows
            # would be of another protocol.
            self._parser = None
            self._inbox.append((self._inbox.pop()[0], False))
        except httptools.HttpParserError:
            self._reject(Bad(400, "malformed request"))
        except Bad as problem:
            self._reject(problem)

    def _reject(self, problem: Bad) -> None:
        """Refuse what came; where it ends is not known, so nothing after it is read."""
        self._parser = None
        self.partial = False
        flow, self.flow, self._coming = self.flow, None, None
        if flow is not None:
            flow.fail()
            if self._in_hand:  # the answer is due to that request
                self.broken = self._rejected(problem)
                return
            self._inbox.pop()
            flow.close()
        self._inbox.append((self._rejected(problem), False))

    def _rejected(self, problem: Bad) -> Rejected:
        """The refusal, with the class that the request states: it is the request's final answer."""
        name = self._headers.get(b"req-kind", b"").decode("latin-1")
        return Rejected(problem.status, str(problem), self._names().classes.get(name))

    def next(self) -> Received | None:
        """The next request to answer, unless one is being answered."""
        if self.owing or self.done or not self._inbox:
            return None
        received, self._keep_alive = self._inbox.popleft()
        self.owing = True
        self._in_hand = self.flow is not None and not self._inbox
        return received

    def whole(self) -> list[tuple[Envelope, float]]:
        """Envelopes that were coming and are whole now, with their deadlines."""
        found, self._whole = self._whole, []
        return found

    def sent_ahead(self) -> bool:
        """Whether more came before the request in hand was answered."""
        return bool(self._inbox)

    def crowded(self) -> bool:
        """Whether enough was read ahead."""
        return len(self._inbox) >= BEHIND_LIMIT

    def idle(self) -> bool:
        """Between requests."""
        return not (self.owing or self.partial or self._inbox)

    def too_slow(self) -> None:
        """The rest of a request did not come."""
        self._reject(Bad(408, "the request did not come whole"))

    def end(self) -> None:
        """The connection is closed. The parser refers back to this machine: leave no cycle to collect."""
        self._parser, self.done = None, True
        self._stop()

    def _stop(self) -> None:
        """Nothing more is read, and nothing of what was sent ahead is taken up."""
        for received, _ in self._inbox:
            if isinstance(received, Delivered):
                drop_body(received.envelope)
        self._inbox.clear()
        if self.flow is not None:
            self.flow.fail()
            self.flow.close()
        self.flow = self._coming = None

    def answer(self, status: int, body: bytes, extra: Extra, closing: bool, last: bool = False) -> bytes:
        """The head of the answer to the request in hand; its body follows. `done` is set if the connection
        ends with it, as it does with the `last` one, whatever came behind.
        """
        self._answered(closing, last)
        return self._head_of(status, self.done, ((b"Content-Length", b"%d" % len(body)), *extra))

    def begin(self, length: int | None, extra: Extra, closing: bool) -> bytes:
        """The head of an answer whose body comes in parts."""
        self._chunked = length is None and self._version != "1.0"
        if length is None and not self._chunked:
            self._keep_alive = False  # without chunks, the connection's end is the answer's
        self._closes = not self._keep_alive or (closing and not self._inbox and not self.partial)
        framing: Extra = ((b"Transfer-Encoding", b"chunked"),) if self._chunked else ()
        if length is not None:
            framing = ((b"Content-Length", b"%d" % length),)
        return self._head_of(200, self._closes, framing + extra)

    def chunk(self, *parts: bytes) -> tuple[bytes, ...]:
        """Some of its body."""
        size = sum(map(len, parts))
        return (b"%x\r\n" % size, *parts, b"\r\n") if self._chunked and size else parts

    def finish(self, closing: bool = False) -> bytes:
        """Its end; the connection's too, if the head said so."""
        self._answered(closing or self._closes, self._closes)
        return b"0\r\n\r\n" if self._chunked else b""

    def unframed(self) -> bool:
        """Whether only the connection's end tells where the answer in hand ends."""
        return not self._chunked and not self._keep_alive and self._version == "1.0"

    def _answered(self, closing: bool, last: bool = False) -> None:
        """The request in hand has its answer."""
        self.owing = False
        last = last or (self._in_hand and self.flow is not None)  # the rest of its body is not read
        # what was sent ahead has been taken: it is answered before the connection may close
        self.done = last or not self._keep_alive or (closing and not self._inbox and not self.partial)
        if self.done:
            self._parser = None
            self._stop()

    @staticmethod
    def _head_of(status: int, closes: bool, extra: Extra) -> bytes:
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
        lines += [name + b": " + value for name, value in extra]
        if closes:
            lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # ------------------------------------------------------------------------------ the parser's calls

    def on_message_begin(self) -> None:
        self._target, self._headers, self._body = b"", {}, bytearray()
        self._head = self.came = 0
        self._in_hand = False
        self.partial = self._in_head = True

    def on_url(self, part: bytes) -> None:
        self._target += part
        self._grow(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value) + 4)
        if not self._in_head:
            return  # a trailer: it may not say what the head did not
        low, value = name.lower(), value.strip(b" \t")  # the parser leaves blanks behind a value
        # guards against a request that is one thing here and another at a next hop or a proxy before us
        if self._headers.setdefault(low, value) is not value and low in _ONCE:
            raise Bad(400, "a header that may come once came again")

    def _grow(self, size: int) -> None:
        self._head += size
        if self._head > HEAD_LIMIT:
            raise Bad(431, "headers too long")

    def on_headers_complete(self) -> None:
        self._in_head, self._unused = False, 0
        length = self._headers.get(b"content-length", b"0").strip()
        if length.isdigit() and int(length) > BODY_LIMIT:
            raise Bad(413, "body too long")
        if self._headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise Bad(400, "a coding of the body that is not known here")
        expect = self._headers.get(b"expect", b"100-continue").lower()
        if expect != b"100-continue":
            raise Bad(417, "an expectation that is not known here")
        self.wants_continue = b"expect" in self._headers

    def in_head(self) -> bool:
        """Whether what has begun to come is still in its head."""
        return self._in_head

    def on_body(self, part: bytes) -> None:
        if self.done:
            return
        self.came += len(part)
        self._unused = 0
        self.wants_continue = False  # it did not wait
        if self.came > (BODY_LIMIT if self._room is not None else WHOLE):
            raise Bad(413, "body too long")
        if self.flow is not None:
            self.flow.put(part)
            return
        self._body += part
        if len(self._body) > WHOLE:
            self._hand_over()

    def _hand_over(self) -> None:
        """A body is too long to be held: its request goes on before it is whole."""
        assert self._parser is not None and self._room is not None
        length = self._headers.get(b"content-length", b"").strip()
        self.flow = Flow(self._room, int(length) if length.isdigit() else None, tells=False)
        self.flow.put(bytes(self._body))
        self._body = bytearray()
        self._version = self._parser.get_http_version()
        try:
            delivered = self._read(self._parser.get_method())
        except Bad:
            self.flow.close()
            self.flow = None
            raise
        if not isinstance(delivered, Delivered):
            raise Bad(413, "body too long")
        self._coming = delivered.envelope
        self._inbox.append((delivered, self._parser.should_keep_alive()))

    def on_message_complete(self) -> None:
        assert self._parser is not None
        self.partial = self.wants_continue = False
        self._unused = 0
        if self.flow is not None and self._coming is not None:
            self._whole.append((self._coming, self._now + _wait(self._headers)))
            flow, self.flow, self._coming = self.flow, None, None
            flow.end()
            return
        method = self._parser.get_method()
        self._version = self._parser.get_http_version()
        try:
            received = self._read(method)
        except Bad as problem:
            received = self._rejected(problem)
        self._inbox.append((received, self._parser.should_keep_alive()))

    # --------------------------------------------------------------------------------- what they say

    def _read(self, method: bytes) -> Received:
        self._target = origin_form(self._target)
        path = self._target.partition(b"?")[0]
        if path in (b"/ready", b"/health"):
            return Ready()
        if method not in (b"GET", b"PUT"):
            raise Bad(405, "only GET and PUT are known here")
        headers, names = self._headers, self._names()
        cost = headers.get(b"req-cost")
        return Delivered(
            Envelope(
                klass=place_of(headers, b"req-kind", names.classes),
                tenant=place_of(headers, b"req-owner", names.tenants) if names.tenants else 0,
                deadline=self._now + (COMING if self.flow is not None else _wait(headers)),
                coming=self.flow is not None,
                key=key_number(key_of(path)),
                write=method == b"PUT",
                retry=headers.get(b"req-retry") == b"1",
                cost_hint=None if cost is None else 0.001 * number_of(headers, b"req-cost"),
                payload=Letter(
                    method,
                    self._target,
                    bytes(self._body),
                    _identity(headers),
                    headers.get(b"idempotency-key"),
                    headers.get(b"content-type"),
                    headers[b"req-deadline"],
                    self.flow,
                ),
            )
        )


def origin_form(target: bytes) -> bytes:
    """A request's target without scheme and authority, which every server must take."""
    if target[:7].lower() != b"http://":
        return target
    authority, slash, rest = target[7:].partition(b"/")
    return slash + rest if slash else b"/" + authority[len(authority.partition(b"?")[0]) :]


def _wait(headers: dict[bytes, bytes]) -> float:
    return 1000.0 * number_of(headers, b"req-deadline")


def text_of(headers: dict[bytes, bytes], name: bytes) -> bytes:
    """A header that must be there."""
    value = headers.get(name)
    if not value:
        raise Bad(400, f"{name.decode()} is missing")
    return value


def _identity(headers: dict[bytes, bytes]) -> bytes:
    value = text_of(headers, b"req-id")
    if not _ID.fullmatch(value):
        raise Bad(400, "req-id is no plain text of at most 128 characters")
    return value


def place_of(headers: dict[bytes, bytes], name: bytes, places: Mapping[str, int]) -> int:
    """The place of the name that a header states."""
    place = places.get(text_of(headers, name).decode("latin-1"))
    if place is None:
        raise Bad(400, f"{name.decode()} is not known here")
    return place


def number_of(headers: dict[bytes, bytes], name: bytes) -> float:
    """The number that a header states."""
    value = text_of(headers, name)
    if not _DECIMAL.fullmatch(value):
        raise Bad(400, f"{name.decode()} is not a plain number of 0 or more")
    return float(value)
