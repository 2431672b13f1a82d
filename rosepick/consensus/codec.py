"""Encodes frames of the quorum protocol: magic bytes, version, length, HMAC digest (RFC 2104) and message.

After a frame that is damaged, too large, signed with another key or of a newer version, nothing more is read
from that peer.
"""

from __future__ import annotations

import hmac
import struct
from enum import StrEnum
from typing import TypeVar

import msgspec

from .messages import QuorumReply, QuorumRequest

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
DIGEST_BYTES = 16
FRAME_HEADER = struct.Struct(f">2sBxI{DIGEST_BYTES}s")
_MAGIC = b"rq"
# HMAC key if no key is configured: the digest then detects damage, but does not authenticate the peer.
_UNKEYED_DIGEST_KEY = b"rosepick without a key"
MessageT = TypeVar("MessageT")
_encoder = msgspec.msgpack.Encoder()
_request_decoder: msgspec.msgpack.Decoder[QuorumRequest] = msgspec.msgpack.Decoder(QuorumRequest)
_reply_decoder: msgspec.msgpack.Decoder[QuorumReply] = msgspec.msgpack.Decoder(QuorumReply)


class DecodeFailure(StrEnum):
    """Says why a frame cannot be decoded."""

    FOREIGN = "foreign"  # the frame does not start with the magic bytes
    NEWER_VERSION = "newer"
    OVERSIZED = "oversized"
    DAMAGED = "damaged"  # the digest does not match: the frame was altered, or signed with another key
    MALFORMED = "malformed"  # the frame is intact but does not contain an expected message


class DecodeError(ValueError):
    """Raised if a frame cannot be decoded; `reason` is the value of the `DecodeFailure`."""

    def __init__(self, failure: DecodeFailure, detail: str) -> None:
        super().__init__(f"{failure.value} frame: {detail}")
        self.reason: str = failure.value


def _digest(key: bytes, body: bytes | memoryview) -> bytes:
    return hmac.digest(key or _UNKEYED_DIGEST_KEY, body, "sha256")[:DIGEST_BYTES]


def encode_frame(message: QuorumRequest | QuorumReply, key: bytes = b"") -> bytes:
    """Encode a message as a frame that is signed with `key`."""
    body = _encoder.encode(message)
    return FRAME_HEADER.pack(_MAGIC, WIRE_VERSION, len(body), _digest(key, body)) + body


class FrameDecoder:
    """Splits a byte stream into frames; after a `DecodeError`, the rest of the stream cannot be decoded."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._buffer = bytearray()
        self._max_message_bytes = max_message_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the frames that are now complete, with their headers.

        Raises:
            DecodeError: A header is not of this protocol, has a newer version, or announces a message
                larger than `max_message_bytes`.
        """
        self._buffer += data
        frames = []
        while len(self._buffer) >= FRAME_HEADER.size:
            frame_size = self._read_frame_size()
            if len(self._buffer) < frame_size:
                break
            frames.append(bytes(self._buffer[:frame_size]))
            del self._buffer[:frame_size]
        return frames

    def _read_frame_size(self) -> int:
        """Return the size in bytes of the first frame in the buffer, including its header."""
        magic, version, length, _ = FRAME_HEADER.unpack_from(self._buffer)
        if magic != _MAGIC:
            raise DecodeError(
                DecodeFailure.FOREIGN, "it does not start with the magic bytes of the quorum protocol"
            )
        if version > WIRE_VERSION:
            raise DecodeError(
                DecodeFailure.NEWER_VERSION,
                f"wire version {version} is newer than the supported {WIRE_VERSION}; upgrade this process",
            )
        if length > self._max_message_bytes:
            raise DecodeError(
                DecodeFailure.OVERSIZED,
                f"it announces {length} bytes; the limit is {self._max_message_bytes}",
            )
        return FRAME_HEADER.size + int(length)

    def has_partial_frame(self) -> bool:
        """Return whether the data fed so far ends within a frame."""
        return bool(self._buffer)


def _verified_body(frame: bytes, key: bytes) -> memoryview:
    body = memoryview(frame)[FRAME_HEADER.size :]
    if not hmac.compare_digest(FRAME_HEADER.unpack_from(frame)[3], _digest(key, body)):
        raise DecodeError(
            DecodeFailure.DAMAGED,
            "its digest does not match; check that both processes use the same key file",
        )
    return body


def _decode(decoder: msgspec.msgpack.Decoder[MessageT], frame: bytes, key: bytes) -> MessageT:
    body = _verified_body(frame, key)
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise DecodeError(
            DecodeFailure.MALFORMED, f"it does not contain an expected message: {error}"
        ) from error


def decode_request(frame: bytes, key: bytes = b"") -> QuorumRequest:
    """Decode the request in a frame.

    Raises:
        DecodeError: The frame is damaged, signed with another key, or does not contain a request.
    """
    return _decode(_request_decoder, frame, key)


def decode_reply(frame: bytes, key: bytes = b"") -> QuorumReply:
    """Decode the reply in a frame.

    Raises:
        DecodeError: The frame is damaged, signed with another key, or does not contain a reply.
    """
    return _decode(_reply_decoder, frame, key)
