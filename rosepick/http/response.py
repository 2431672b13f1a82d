"""One answer of an HTTP/1.1 server, read from bytes."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

HEAD_LIMIT = 32 * 1024  # of the head, of interim answers with it, and of what frames the body


class BadAnswer(Exception):
    """The bytes are no whole, acceptable answer."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    headers: dict[bytes, bytes]  # names in lower case; of several, the first
    body: bytes
    reusable: bool  # whether the connection can carry another request


class AnswerReader:
    """Reads one answer; interim ones are passed over.

    With `whole`, a 200 whose body is longer than that is given in parts: `begun` is set, `take` gives what
    has come, and the answer at its end has no body.
    """

    def __init__(self, body_limit: int, whole: int | None = None) -> None:
        self._limit, self._most_whole = body_limit, whole
        self.begun = False
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._parts: list[bytes] = []  # joined once, at the end: answers can be large
        self._size = 0
        self._unused = 0  # bytes since the last that were of the body
        self._headers_done = False
        self._surplus = False
        self._whole = False
        self._keep_alive = False

    def feed(self, data: bytes) -> Answer | None:
        """Take in bytes; the answer once it is whole. Raises BadAnswer."""
        if self._parser is None:
            raise BadAnswer("bytes after the answer")
        before = self._size
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            if not self._whole:
                raise BadAnswer(str(problem) or type(problem).__name__) from None
            self._surplus = True
        if self._whole:
            return self._answer(self._keep_alive)
        # guards against heads, interim answers and trailers without end, which would fill the memory
        self._unused = self._unused + len(data) if self._size == before else 0
        if self._unused > HEAD_LIMIT:
            raise BadAnswer("headers too long")
        return None

    def held(self) -> int:
        """Bytes of the body that are held here."""
        return 0 if self.begun or not self._parts else self._size

    def take(self) -> list[bytes]:
        """What has come of a body that is given in parts."""
        parts, self._parts = self._parts, []
        return parts

    def headers(self) -> dict[bytes, bytes]:
        """Of the answer that has begun."""
        return self._headers

    def length(self) -> int | None:
        """Of its body, where that is told."""
        told = self._headers.get(b"content-length", b"").strip()
        return int(told) if told.isdigit() else None

    def ended(self) -> Answer | None:
        """The other side has ended; the answer if its body was to reach up to here."""
        framed = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        return self._answer(False) if self._headers_done and not self._whole and not framed else None

    def _answer(self, keep_alive: bool) -> Answer:
        parser, self._parser = self._parser, None  # it refers back to this reader: leave no cycle to collect
        assert parser is not None
        reusable = keep_alive and not self._surplus
        if self.begun:
            return Answer(parser.get_status_code(), self._headers, b"", reusable)
        body = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        return Answer(parser.get_status_code(), self._headers, body, reusable)

    # ------------------------------------------------------------------------------ the parser's calls

    def on_message_begin(self) -> None:
        self._surplus = self._whole

    def on_header(self, name: bytes, value: bytes) -> None:
        # not trailers: they say nothing that counts here, and may be without end
        if not self._whole and not self._headers_done:
            self._headers.setdefault(name.lower(), value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        if self._whole:
            return
        self._headers_done = True
        length = self._headers.get(b"content-length", b"0").strip()
        if length.isdigit() and int(length) > self._limit:
            raise BadAnswer("body too long")  # known at once: nothing of it need be read
        coding = self._headers.get(b"transfer-encoding", b"chunked").strip().lower()
        if coding != b"chunked":
            # guards against a body that is passed on as what it is not
            raise BadAnswer("a coding of the body that is not known")

    def on_body(self, data: bytes) -> None:
        if self._whole:
            return
        self._size += len(data)
        if self._size > self._limit:
            raise BadAnswer("body too long")
        if self._most_whole is None or self._parser is None:
            self._parts.append(data)
        elif self._parser.get_status_code() == 200:  # of others only the status counts
            self._parts.append(data)
            self.begun = self.begun or max(self._size, self.length() or 0) > self._most_whole

    def on_message_complete(self) -> None:
        if self._parser is not None and 100 <= self._parser.get_status_code() < 200:
            self._headers.clear()
            self._headers_done = False
            return
        # Asked here and not later: the parser forgets the answer once it is through with it, and then says
        # no. Guards against a connection for each attempt.
        self._keep_alive = self._parser is not None and self._parser.should_keep_alive()
        self._whole = True
