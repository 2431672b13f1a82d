"""Parses a batch of reads, encodes a request for each of its items, and encodes the joint response."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ..core.request_budget import RequestBudget
from ..settings.config import NameIndexes
from .request_headers import index_header, number_header, text_header
from .request_messages import BadRequestError, ParsedMessage, ProtocolMessage, RequestRejected, RequestShed
from .server_protocol import ServerProtocol

PATH = b"/mget"
MAX_KEY_BYTES = 2048
MAX_ITEM_RESPONSE_BYTES = 1024 * 1024  # the router forwards no longer body of one item
# A path segment as RFC 3986, section 3.3, defines it.
_SEGMENT = re.compile(rb"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})+")
_ENTRY_HEAD = re.compile(rb"(\S+) (\S+) ([0-9]{3}) ([0-9]+)")


@dataclass(frozen=True, slots=True)
class BatchRequest(ProtocolMessage):
    """Reports a batch that has been received completely."""

    keys: tuple[bytes, ...]
    kind: bytes
    owner: bytes
    deadline: float  # common to all items, in milliseconds on the clock of `ServerProtocol.feed`


class BatchServerProtocol(ServerProtocol):
    """Parses the batches of one client connection and encodes their responses, entry by entry."""

    def __init__(
        self,
        get_names: Callable[[], NameIndexes],
        max_keys: Callable[[], int],
        request_budget: RequestBudget | None = None,
    ) -> None:
        super().__init__(get_names, request_budget=request_budget)
        self._max_keys = max_keys

    def _parse_request(self, method: bytes) -> ParsedMessage:
        deadline = self._parse_deadline(method)
        keys = _parse_keys(bytes(self._received.body), self._max_keys())
        headers = self._received.headers
        return BatchRequest(
            keys, text_header(headers, b"req-kind"), text_header(headers, b"req-owner"), deadline
        )

    def _parse_shed(self, method: bytes) -> ParsedMessage:
        return RequestShed(None, self._parse_deadline(method))

    def _parse_deadline(self, method: bytes) -> float:
        """Check the head of a batch, and return the deadline in milliseconds, on the clock of `feed`."""
        if self._received.target.partition(b"?")[0] != PATH:
            raise BadRequestError(404, "only /mget is known here")
        if method != b"POST":
            raise BadRequestError(405, "only POST is known here")
        headers = self._received.headers
        names = self._get_names()
        index_header(headers, b"req-kind", names.classes)
        if names.tenants:
            index_header(headers, b"req-owner", names.tenants)
        return self._now + 1000.0 * number_header(headers, b"req-deadline")

    def _make_rejection(self, error: BadRequestError) -> RequestRejected:
        return RequestRejected(error.status, str(error))  # the counters of a request class exclude batches

    def encode_batch_head(self, closing: bool) -> bytes:
        """Return the head of the response to a batch; the length of the response is not known yet."""
        return self.begin_streamed_response(None, ((b"Content-Type", b"application/octet-stream"),), closing)


def _parse_keys(body: bytes, max_keys: int) -> tuple[bytes, ...]:
    """Return the keys of a batch body, which holds one key per line; blank lines are skipped."""
    line_numbers: dict[bytes, int] = {}
    for number, line in enumerate(body.split(b"\n"), 1):
        key = line.rstrip(b"\r")
        if not key:
            continue
        if not _SEGMENT.fullmatch(key) or key in (b".", b"..") or len(key) > MAX_KEY_BYTES:
            raise BadRequestError(400, f"line {number} is no key")
        if key in line_numbers:
            raise BadRequestError(400, f"line {number} repeats the key of line {line_numbers[key]}")
        line_numbers[key] = number
        if len(line_numbers) > max_keys:
            raise BadRequestError(400, f"more than {max_keys} keys")
    if not line_numbers:
        raise BadRequestError(400, "no keys")
    return tuple(line_numbers)


def encode_item_request(
    batch: BatchRequest, key: bytes, req_id: bytes, host: str, time_left_ms: float
) -> bytes:
    """Return a GET request for one item; its deadline is `time_left_ms` milliseconds from now."""
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
    """Return the chunks of one item's entry in the response to a batch."""
    return b"%b %b %d %d\n" % (key, req_id, status, len(body)), body, b"\n"


def encode_trailer(unserved: int, count: int) -> bytes:
    """Return the line after the last entry, or nothing if all items were served."""
    return b"partial: %d of %d not served\n" % (unserved, count) if unserved else b""


# -------------------------------------------------------------------------------------------- client side


class BatchResponseError(Exception):
    """Signals that the response to a batch is incomplete or malformed."""


class BatchEntry(NamedTuple):
    """Holds the response to one item of a batch."""

    key: bytes
    req_id: bytes
    status: int
    body: bytes


def parse_entries(data: bytes) -> Iterator[BatchEntry]:
    """Yield the entries of a response to a batch.

    Raises:
        BatchResponseError: the response is incomplete; raised after the complete entries were yielded.
    """
    offset = failed_count = count = 0
    while found := _ENTRY_HEAD.fullmatch(data, offset, max(offset, end := data.find(b"\n", offset))):
        size = int(found[4])
        body = data[end + 1 : end + 1 + size]
        offset = end + 1 + size + 1
        if offset > len(data) or data[offset - 1 : offset] != b"\n":
            raise BatchResponseError(f"the entry of {found[1].decode()} is incomplete")
        count += 1
        failed_count += found[3] != b"200"
        yield BatchEntry(found[1], found[2], int(found[3]), body)
    if not count or data[offset:] != encode_trailer(failed_count, count):
        raise BatchResponseError("no valid trailer after the last entry")
