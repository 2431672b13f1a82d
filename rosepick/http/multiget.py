"""Batches of reads: read from bytes, their parts as a client's requests, their answers as one answer."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..settings.config import Names
from .sender_side import Bad, Other, Received, Rejected, SenderConnection, number_of, place_of, text_of

PATH = b"/mget"
KEY_LIMIT = 2048
ANSWER_LIMIT = 1024 * 1024  # of a part's answer: what the router passes on
_SEGMENT = re.compile(rb"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})+")  # of a path, by RFC 3986
_ENTRY = re.compile(rb"(\S+) (\S+) ([0-9]{3}) ([0-9]+)")


@dataclass(frozen=True, slots=True)
class Batch(Other):
    """A batch has come in whole."""

    keys: tuple[bytes, ...]
    kind: bytes
    owner: bytes
    deadline: float  # of all its parts, on the clock that it was fed with


class BatchConnection(SenderConnection):
    """One connection that batches come on: one is answered at a time, in order, as its parts come."""

    def __init__(self, names: Callable[[], Names], max_keys: Callable[[], int]) -> None:
        super().__init__(names)
        self._max_keys = max_keys

    def _read(self, method: bytes) -> Received:
        if self._target.partition(b"?")[0] != PATH:
            raise Bad(404, "only /mget is known here")
        if method != b"POST":
            raise Bad(405, "only POST is known here")
        headers, names = self._headers, self._names()
        place_of(headers, b"req-kind", names.classes)
        if names.tenants:
            place_of(headers, b"req-owner", names.tenants)
        deadline = self._now + 1000.0 * number_of(headers, b"req-deadline")
        keys = _keys(bytes(self._body), self._max_keys())
        return Batch(keys, text_of(headers, b"req-kind"), text_of(headers, b"req-owner"), deadline)

    def _rejected(self, problem: Bad) -> Rejected:
        return Rejected(problem.status, str(problem))  # a batch is no request of its class

    def start(self, closing: bool) -> bytes:
        """The head of a batch's answer, whose length is not known yet."""
        return self.begin(None, ((b"Content-Type", b"application/octet-stream"),), closing)


def _keys(body: bytes, most: int) -> tuple[bytes, ...]:
    """The keys of a batch, one a line; blank lines are none."""
    lines: dict[bytes, int] = {}
    for number, line in enumerate(body.split(b"\n"), 1):
        key = line.rstrip(b"\r")
        if not key:
            continue
        if not _SEGMENT.fullmatch(key) or key in (b".", b"..") or len(key) > KEY_LIMIT:
            raise Bad(400, f"line {number} is no key")
        if key in lines:
            raise Bad(400, f"line {number} repeats the key of line {lines[key]}")
        lines[key] = number
        if len(lines) > most:
            raise Bad(400, f"more than {most} keys")
    if not lines:
        raise Bad(400, "no keys")
    return tuple(lines)


def request(batch: Batch, key: bytes, req_id: bytes, host: str, time_left: float) -> bytes:
    """The whole ordinary request of one part, with so many milliseconds left."""
    return (
        b"\r\n".join(
            (
                b"GET /api/" + key + b" HTTP/1.1",
                b"Host: " + host.encode(),
                b"Req-Id: " + req_id,
                b"Req-Kind: " + batch.kind,
                b"Req-Owner: " + batch.owner,
                b"Req-Deadline: %.3f" % (time_left / 1000.0),
            )
        )
        + b"\r\n\r\n"
    )


def entry(key: bytes, req_id: bytes, status: int, body: bytes) -> tuple[bytes, bytes, bytes]:
    """A part's answer, as it stands in the batch's."""
    return b"%b %b %d %d\n" % (key, req_id, status, len(body)), body, b"\n"


def ending(failed: int, count: int) -> bytes:
    """What stands behind the last part."""
    return b"partial: %d of %d not served\n" % (failed, count) if failed else b""


# -------------------------------------------------------------------------------------- a client's side


class BadBatchAnswer(Exception):
    """The bytes are no whole answer to a batch."""


def entries(data: bytes) -> Iterator[tuple[bytes, bytes, int, bytes]]:
    """Key, id, status and body of each part of a batch's answer. BadBatchAnswer if it is not whole."""
    at = failed = count = 0
    while found := _ENTRY.fullmatch(data, at, max(at, end := data.find(b"\n", at))):
        size = int(found[4])
        body = data[end + 1 : end + 1 + size]
        at = end + 1 + size + 1
        if at > len(data) or data[at - 1 : at] != b"\n":
            raise BadBatchAnswer(f"the entry of {found[1].decode()} is not whole")
        count += 1
        failed += found[3] != b"200"
        yield found[1], found[2], int(found[3]), body
    if not count or data[at:] != ending(failed, count):
        raise BadBatchAnswer("it does not end as it should")
