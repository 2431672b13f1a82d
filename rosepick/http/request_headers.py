"""Parsers of a request's target and headers.

Header names are given in lower case. Each parser raises `BadRequestError` for a missing or malformed value.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from .request_messages import BadRequestError

_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")  # float() would accept 1_0, nan and 1e300
_ABSOLUTE_FORM_PREFIX = b"http://"


def to_origin_form(target: bytes) -> bytes:
    """Return a request target without scheme and authority (RFC 9112, 3.2.2 requires support of both)."""
    if target[:7].lower() != _ABSOLUTE_FORM_PREFIX:
        return target
    authority, slash, rest = target[7:].partition(b"/")
    return slash + rest if slash else b"/" + authority[len(authority.partition(b"?")[0]) :]


def text_header(headers: dict[bytes, bytes], name: bytes) -> bytes:
    """Return the value of a mandatory header."""
    value = headers.get(name)
    if not value:
        raise BadRequestError(400, f"{name.decode()} is missing")
    return value


def request_id_header(headers: dict[bytes, bytes]) -> bytes:
    """Return the request id: 1 to 128 visible ASCII characters."""
    value = text_header(headers, b"req-id")
    if not _REQUEST_ID.fullmatch(value):
        raise BadRequestError(400, "req-id is no plain text of at most 128 characters")
    return value


def index_header(headers: dict[bytes, bytes], name: bytes, indexes: Mapping[str, int]) -> int:
    """Return the index of the name in a header, for example of a request class or a tenant."""
    index = indexes.get(text_header(headers, name).decode("latin-1"))
    if index is None:
        raise BadRequestError(400, f"{name.decode()} is not known here")
    return index


def number_header(headers: dict[bytes, bytes], name: bytes) -> float:
    """Return the non-negative decimal number in a header."""
    value = text_header(headers, name)
    if not _DECIMAL.fullmatch(value):
        raise BadRequestError(400, f"{name.decode()} is not a plain number of 0 or more")
    return float(value)


def time_to_deadline_ms(headers: dict[bytes, bytes]) -> float:
    """Return the time to the request's deadline in milliseconds; Req-Deadline states it in seconds."""
    return 1000.0 * number_header(headers, b"req-deadline")
