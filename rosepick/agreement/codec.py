"""Frames on the wire: two signs, a version, a length, a keyed digest (HMAC, RFC 2104) and one message.

Whoever sends a frame that is damaged, too large, of another key or of a newer version is not read any
further.
"""

from __future__ import annotations

import hmac
import struct

import msgspec

from .messages import Answer, Request

VERSION = 1
LARGEST = 8 * 1024 * 1024  # bytes of a message
HEAD = struct.Struct(">2sBxI16s")
_SIGNS = b"rq"
_OPEN = b"rosepick without a key"  # then the digest finds damage, and keeps nobody out
_encoder = msgspec.msgpack.Encoder()
_request: msgspec.msgpack.Decoder[Request] = msgspec.msgpack.Decoder(Request)
_answer: msgspec.msgpack.Decoder[Answer] = msgspec.msgpack.Decoder(Answer)


class Unreadable(ValueError):
    """What came is no message of ours; `why` is one word."""

    def __init__(self, why: str) -> None:
        super().__init__(why)
        self.why = why


def _digest(key: bytes, body: bytes | memoryview) -> bytes:
    return hmac.digest(key or _OPEN, body, "sha256")[:16]


def framed(message: Request | Answer, key: bytes = b"") -> bytes:
    """A message as it goes over the wire."""
    body = _encoder.encode(message)
    return HEAD.pack(_SIGNS, VERSION, len(body), _digest(key, body)) + body


class Frames:
    """Takes bytes as they come and gives whole frames; raises Unreadable at the first that is none."""

    def __init__(self, largest: int = LARGEST) -> None:
        self._held = bytearray()
        self._largest = largest

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now, with their heads."""
        self._held += data
        found = []
        while len(self._held) >= HEAD.size:
            signs, version, length, _ = HEAD.unpack_from(self._held)
            if signs != _SIGNS:
                raise Unreadable("foreign")
            if version > VERSION:
                raise Unreadable("newer")
            if length > self._largest:
                raise Unreadable("oversized")
            if len(self._held) < HEAD.size + length:
                break
            found.append(bytes(self._held[: HEAD.size + length]))
            del self._held[: HEAD.size + length]
        return found

    def partial(self) -> bool:
        """Whether a frame has begun and is not whole."""
        return bool(self._held)


def _body(frame: bytes, key: bytes) -> memoryview:
    body = memoryview(frame)[HEAD.size :]
    if not hmac.compare_digest(HEAD.unpack_from(frame)[3], _digest(key, body)):
        raise Unreadable("damaged")
    return body


def request(frame: bytes, key: bytes = b"") -> Request:
    """The request in a frame. Unreadable if it is none, or was made with another key."""
    try:
        return _request.decode(_body(frame, key))
    except msgspec.MsgspecError as problem:
        raise Unreadable("malformed") from problem


def answer(frame: bytes, key: bytes = b"") -> Answer:
    """The answer in a frame; likewise."""
    try:
        return _answer.decode(_body(frame, key))
    except msgspec.MsgspecError as problem:
        raise Unreadable("malformed") from problem
