"""A document in one register, changed by compare-and-set alone: a byte for its form, and the rest deflated
(RFC 1951).
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from ..consensus.messages import Register
from ..consensus.proposer import ChangeRejectedError, RegisterChange

MAX_DOCUMENT_BYTES = 1 << 20  # bytes of a document that is unpacked
T = TypeVar("T", bound=msgspec.Struct)


class DocumentDecodeError(ValueError):
    """The register holds no document that this program can read."""


class VersionedDocument(Generic[T]):
    """How documents of a kind are read and written. `form`: a newer one is read by nobody older."""

    def __init__(self, document_type: type[T], format_version: int, label: str) -> None:
        self._document_type, self._format_version, self._label = document_type, format_version, label
        self._decoder: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(document_type)
        self._encoder = msgspec.msgpack.Encoder()

    def decode(self, register: Register) -> T:
        """The document in a register; an empty one if there is none yet. LedgerError if it cannot be read."""
        if not register.value:
            return self._document_type()
        form = register.value[0]
        if form > self._format_version:
            raise DocumentDecodeError(
                f"{self._label}: form {form} is newer than this program's {self._format_version}"
            )
        try:
            return self._decoder.decode(
                zlib.decompressobj(-15).decompress(register.value[1:], MAX_DOCUMENT_BYTES)
            )
        except (zlib.error, msgspec.MsgspecError) as problem:
            raise DocumentDecodeError(f"no {self._label}: {problem}") from None

    def encode(self, document: T) -> bytes:
        """A document as its register holds it."""
        squeeze = zlib.compressobj(6, zlib.DEFLATED, -15)
        return (
            bytes([self._format_version]) + squeeze.compress(self._encoder.encode(document)) + squeeze.flush()
        )

    def register_change(self, update: Callable[[T], T]) -> RegisterChange:
        """A change of a document as a change of its register; what leaves it as it is, is declined."""

        def made(register: Register) -> bytes:
            before = self.decode(register)
            after = update(before)
            if after == before:
                raise ChangeRejectedError
            return self.encode(after)

        return made
