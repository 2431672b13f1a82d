"""Encoder of the heads of HTTP/1.1 responses."""

from __future__ import annotations

REASON_PHRASES = {
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

ExtraHeaders = tuple[tuple[bytes, bytes], ...]  # pairs of name and value that a response head gets


def encode_head(status: int, closes: bool, extra_headers: ExtraHeaders) -> bytes:
    """Return a response head; with `closes` it announces that the connection closes after the response."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status])]
    lines += [name + b": " + value for name, value in extra_headers]
    if closes:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
