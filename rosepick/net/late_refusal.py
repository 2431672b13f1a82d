"""Refusal of requests that waited too long in the accept queue, before a connection is set up for them.

For an overloaded router, each connection that it sets up for a request that it will not serve adds to the
overload. A complete plain request can be refused at a fraction of that cost. All other requests are handled
as usual.
"""

from __future__ import annotations

import contextlib
import re
import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple

from ..decisions.permissions import AcceptFacts, Denial, check_accept
from ..http.response_encoding import encode_head

MIN_LATE_MS = 40.0  # a connection that waited for less is handled as usual
MAX_HEAD_BYTES = 4_096  # maximum size of a plain request
END_OF_HEAD = b"\r\n\r\n"
BODY_HEADERS = (b"\r\ncontent-length:", b"\r\ntransfer-encoding:")
_DEADLINE = re.compile(rb"\r\nreq-deadline:[ \t]*([0-9]{1,9}(?:\.[0-9]{0,9})?)[ \t]*\r\n", re.IGNORECASE)
_KIND = re.compile(rb"\r\nreq-kind:[ \t]*([^\r\n]*?)[ \t]*\r\n", re.IGNORECASE)


class PlainRequest(NamedTuple):
    """The class and deadline of a complete request without a body."""

    class_index: int
    deadline_ms: float  # time allowed for the response, in milliseconds from the last byte of the request


class Lateness(NamedTuple):
    """The delay of a request in the accept queue, in milliseconds."""

    late_ms: float  # upper bound for the wait of the request
    busy_ms: float  # time since the router was last idle


def parse_plain_request(data: bytes, classes: Mapping[str, int]) -> PlainRequest | None:
    """Parse a complete plain GET request without a body; return None for any other data."""
    head = data.lower()
    is_plain = head.startswith(b"get ") and head.endswith(END_OF_HEAD) and head.count(END_OF_HEAD) == 1
    if not is_plain or any(name in head for name in BODY_HEADERS):
        return None
    deadline, kind = _DEADLINE.search(data), _KIND.search(data)
    class_index = None if kind is None else classes.get(kind[1].decode("latin-1"))
    if deadline is None or class_index is None:
        return None
    return PlainRequest(class_index, 1000.0 * float(deadline[1]))


def refuse_if_late(
    sock: socket.socket,
    lateness: Lateness,
    classes: Mapping[str, int],
    retry_after_ms: Callable[[int], float],
) -> PlainRequest | None:
    """Refuse the request on an accepted connection and close it, if the request waited too long.

    Args:
        sock: the accepted connection, from which nothing was read.
        lateness: the delay of the request.
        classes: the indexes of the request classes, by name.
        retry_after_ms: returns the Retry-After of a request class in milliseconds; 0 for none.

    Returns:
        The refused request; None if the connection is unchanged.
    """
    sock.setblocking(False)
    try:
        data = sock.recv(MAX_HEAD_BYTES, socket.MSG_PEEK)
    except OSError:
        return None
    request = parse_plain_request(data, classes)
    if request is None:
        return None
    denial = check_accept(
        AcceptFacts(lateness.late_ms, request.deadline_ms - lateness.late_ms, lateness.busy_ms)
    )
    if denial is None:
        return None
    with contextlib.suppress(OSError):  # the client may have disconnected
        sock.recv(len(data))
        sock.send(_encode_answer(denial, retry_after_ms(request.class_index)))
    sock.close()
    return request


def _encode_answer(denial: Denial, retry_after_ms: float) -> bytes:
    if denial is Denial.DEADLINE_PASSED:
        return encode_head(504, True, ((b"Content-Length", b"0"),))
    headers = [(b"Content-Length", b"0")]
    if retry_after_ms > 0:
        headers.append((b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0)))
    return encode_head(503, True, tuple(headers))
