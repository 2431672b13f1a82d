"""Frames on the wire: two signs, a version, a length, a keyed digest (HMAC, RFC 2104) and one message.

Whoever sends a frame that is damaged, too large, of another key or of a newer version is not read any
further.
"""

from __future__ import annotations

import hmac
import struct

import msgspec

from .messages import QuorumReply, QuorumRequest

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # bytes of a message
FRAME_HEADER = struct.Struct(">2sBxI16s")
_MAGIC = b"rq"
_KEYLESS_DIGEST_KEY = b"rosepick without a key"  # then the digest finds damage, and keeps nobody out
_encoder = msgspec.msgpack.Encoder()
_request_decoder: msgspec.msgpack.Decoder[QuorumRequest] = msgspec.msgpack.Decoder(QuorumRequest)
_reply_decoder: msgspec.msgpack.Decoder[QuorumReply] = msgspec.msgpack.Decoder(QuorumReply)


class DecodeError(ValueError):
    """What came is no message of ours; `reason` is one word."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def _digest(key: bytes, body: bytes | memoryview) -> bytes:
    return hmac.digest(key or _KEYLESS_DIGEST_KEY, body, "sha256")[:16]


def encode_frame(message: QuorumRequest | QuorumReply, key: bytes = b"") -> bytes:
    """A message as it goes over the wire."""
    body = _encoder.encode(message)
    return FRAME_HEADER.pack(_MAGIC, WIRE_VERSION, len(body), _digest(key, body)) + body


class FrameDecoder:
    """Takes bytes as they come and gives whole frames; raises Unreadable at the first that is none."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._buffer = bytearray()
        self._max_message_bytes = max_message_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now, with their heads."""
        self._buffer += data
        found = []
        while len(self._buffer) >= FRAME_HEADER.size:
            signs, version, length, _ = FRAME_HEADER.unpack_from(self._buffer)
            if signs != _MAGIC:
                raise DecodeError("foreign")
            if version > WIRE_VERSION:
                raise DecodeError("newer")
            if length > self._max_message_bytes:
                raise DecodeError("oversized")
            if len(self._buffer) < FRAME_HEADER.size + length:
                break
            found.append(bytes(self._buffer[: FRAME_HEADER.size + length]))
            del self._buffer[: FRAME_HEADER.size + length]
        return found

    def has_partial_frame(self) -> bool:
        """Whether a frame has begun and is not whole."""
        return bool(self._buffer)


def _verified_body(frame: bytes, key: bytes) -> memoryview:
    body = memoryview(frame)[FRAME_HEADER.size :]
    if not hmac.compare_digest(FRAME_HEADER.unpack_from(frame)[3], _digest(key, body)):
        raise DecodeError("damaged")
    return body


def decode_request(frame: bytes, key: bytes = b"") -> QuorumRequest:
    """The request in a frame. Unreadable if it is none, or was made with another key."""
    try:
        return _request_decoder.decode(_verified_body(frame, key))
    except msgspec.MsgspecError as problem:
        raise DecodeError("malformed") from problem


def decode_reply(frame: bytes, key: bytes = b"") -> QuorumReply:
    """The answer in a frame; likewise."""
    try:
        return _reply_decoder.decode(_verified_body(frame, key))
    except msgspec.MsgspecError as problem:
        raise DecodeError("malformed") from problem
