"""A versioned document in one register: a byte with the format version, then compressed MessagePack.

The document changes by compare-and-set only. It is compressed by raw deflate (RFC 1951).
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from ..consensus.messages import Register
from ..consensus.proposer import ChangeRejectedError, RegisterChange

MAX_DOCUMENT_BYTES = 1 << 20  # decompression stops at this size
COMPRESSION_LEVEL = 6
RAW_DEFLATE_WINDOW_BITS = -15  # zlib: a 32 KiB window without header and checksum
T = TypeVar("T", bound=msgspec.Struct)


class DocumentDecodeError(ValueError):
    """The register holds a newer format or damaged data."""


class VersionedDocument(Generic[T]):
    """Codec for one type of document; it rejects formats newer than `format_version`."""

    def __init__(self, document_type: type[T], format_version: int, label: str) -> None:
        self._document_type = document_type
        self._format_version = format_version
        self._label = label  # name of the document in error messages
        self._decoder: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(document_type)
        self._encoder = msgspec.msgpack.Encoder()

    def decode(self, register: Register) -> T:
        """Return the document in a register; an empty one if the register was never written.

        Raises:
            DocumentDecodeError: the format is newer than this program's, or the data is damaged.
        """
        if not register.value:
            return self._document_type()
        version = register.value[0]
        if version > self._format_version:
            raise DocumentDecodeError(
                f"{self._label}: format {version} is newer than this program's {self._format_version}"
            )
        try:
            inflater = zlib.decompressobj(RAW_DEFLATE_WINDOW_BITS)
            return self._decoder.decode(inflater.decompress(register.value[1:], MAX_DOCUMENT_BYTES))
        except (zlib.error, msgspec.MsgspecError) as error:
            raise DocumentDecodeError(f"no {self._label}: {error}") from None

    def encode(self, document: T) -> bytes:
        """Return a document in the encoding of its register."""
        deflater = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, RAW_DEFLATE_WINDOW_BITS)
        compressed = deflater.compress(self._encoder.encode(document))
        return bytes([self._format_version]) + compressed + deflater.flush()

    def register_change(self, update: Callable[[T], T]) -> RegisterChange:
        """Return a register change that applies `update`; it is rejected if the document stays the same."""

        def change(register: Register) -> bytes:
            before = self.decode(register)
            after = update(before)
            if after == before:
                raise ChangeRejectedError
            return self.encode(after)

        return change
