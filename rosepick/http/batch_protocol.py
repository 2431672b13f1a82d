"""Batches of reads: read from bytes, their parts as a client's requests, their answers as one answer."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..settings.config import NameIndexes
from .server_protocol import (
    BadRequestError,
    ParsedMessage,
    ProtocolMessage,
    RequestRejected,
    ServerProtocol,
    index_header,
    number_header,
    text_header,
)

PATH = b"/mget"
MAX_KEY_BYTES = 2048
MAX_ITEM_RESPONSE_BYTES = 1024 * 1024  # of a part's answer: what the router passes on
_SEGMENT = re.compile(rb"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})+")  # of a path, by RFC 3986
_ENTRY = re.compile(rb"(\S+) (\S+) ([0-9]{3}) ([0-9]+)")


@dataclass(frozen=True, slots=True)
class BatchRequest(ProtocolMessage):
    """A batch has come in whole."""

    keys: tuple[bytes, ...]
    kind: bytes
    owner: bytes
    deadline: float  # of all its parts, on the clock that it was fed with


class BatchServerProtocol(ServerProtocol):
    """One connection that batches come on: one is answered at a time, in order, as its parts come."""

    def __init__(self, get_names: Callable[[], NameIndexes], max_keys: Callable[[], int]) -> None:
        super().__init__(get_names)
        self._max_keys = max_keys

    def _parse_request(self, method: bytes) -> ParsedMessage:
        if self._target.partition(b"?")[0] != PATH:
            raise BadRequestError(404, "only /mget is known here")
        if method != b"POST":
            raise BadRequestError(405, "only POST is known here")
        headers, names = self._headers, self._get_names()
        index_header(headers, b"req-kind", names.classes)
        if names.tenants:
            index_header(headers, b"req-owner", names.tenants)
        deadline = self._now + 1000.0 * number_header(headers, b"req-deadline")
        keys = _parse_keys(bytes(self._body), self._max_keys())
        return BatchRequest(
            keys, text_header(headers, b"req-kind"), text_header(headers, b"req-owner"), deadline
        )

    def _make_rejection(self, problem: BadRequestError) -> RequestRejected:
        return RequestRejected(problem.status, str(problem))  # a batch is no request of its class

    def encode_batch_head(self, closing: bool) -> bytes:
        """The head of a batch's answer, whose length is not known yet."""
        return self.begin_streamed_response(None, ((b"Content-Type", b"application/octet-stream"),), closing)


def _parse_keys(body: bytes, max_keys: int) -> tuple[bytes, ...]:
    """The keys of a batch, one a line; blank lines are none."""
    lines: dict[bytes, int] = {}
    for number, line in enumerate(body.split(b"\n"), 1):
        key = line.rstrip(b"\r")
        if not key:
            continue
        if not _SEGMENT.fullmatch(key) or key in (b".", b"..") or len(key) > MAX_KEY_BYTES:
            raise BadRequestError(400, f"line {number} is no key")
        if key in lines:
            raise BadRequestError(400, f"line {number} repeats the key of line {lines[key]}")
        lines[key] = number
        if len(lines) > max_keys:
            raise BadRequestError(400, f"more than {max_keys} keys")
    if not lines:
        raise BadRequestError(400, "no keys")
    return tuple(lines)


def encode_item_request(
    batch: BatchRequest, key: bytes, req_id: bytes, host: str, time_left_ms: float
) -> bytes:
    """The whole ordinary request of one part, with so many milliseconds left."""
    return (
        b"\r\n".join(
            (
                b"GET /api/" + key + b" HTTP/1.1",
                b"Host: " + host.encode(),
                b"Req-Id: " + req_id,
                b"Req-Kind: " + batch.kind,
                b"Req-Owner: " + batch.owner,
                b"Req-Deadline: %.3f" % (time_left_ms / 1000.0),
            )
        )
        + b"\r\n\r\n"
    )


def encode_entry(key: bytes, req_id: bytes, status: int, body: bytes) -> tuple[bytes, bytes, bytes]:
    """A part's answer, as it stands in the batch's."""
    return b"%b %b %d %d\n" % (key, req_id, status, len(body)), body, b"\n"


def encode_trailer(unserved: int, count: int) -> bytes:
    """What stands behind the last part."""
    return b"partial: %d of %d not served\n" % (unserved, count) if unserved else b""


# -------------------------------------------------------------------------------------- a client's side


class BatchResponseError(Exception):
    """The bytes are no whole answer to a batch."""


def parse_entries(data: bytes) -> Iterator[tuple[bytes, bytes, int, bytes]]:
    """Key, id, status and body of each part of a batch's answer. BadBatchAnswer if it is not whole."""
    at = failed = count = 0
    while found := _ENTRY.fullmatch(data, at, max(at, end := data.find(b"\n", at))):
        size = int(found[4])
        body = data[end + 1 : end + 1 + size]
        at = end + 1 + size + 1
        if at > len(data) or data[at - 1 : at] != b"\n":
            raise BatchResponseError(f"the entry of {found[1].decode()} is not whole")
        count += 1
        failed += found[3] != b"200"
        yield found[1], found[2], int(found[3]), body
    if not count or data[at:] != encode_trailer(failed, count):
        raise BatchResponseError("it does not end as it should")
