"""A document in one register, changed by compare-and-set alone: a byte for its form, and the rest deflated
(RFC 1951).
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from ..agreement.messages import Register
from ..agreement.operation import Change, Declined

LARGEST = 1 << 20  # bytes of a document that is unpacked
T = TypeVar("T", bound=msgspec.Struct)


class LedgerError(ValueError):
    """The register holds no document that this program can read."""


class Document(Generic[T]):
    """How documents of a kind are read and written. `form`: a newer one is read by nobody older."""

    def __init__(self, kind: type[T], form: int, called: str) -> None:
        self._kind, self._form, self._called = kind, form, called
        self._decoder: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(kind)
        self._encoder = msgspec.msgpack.Encoder()

    def read(self, register: Register) -> T:
        """The document in a register; an empty one if there is none yet. LedgerError if it cannot be read."""
        if not register.value:
            return self._kind()
        form = register.value[0]
        if form > self._form:
            raise LedgerError(f"{self._called}: form {form} is newer than this program's {self._form}")
        try:
            return self._decoder.decode(zlib.decompressobj(-15).decompress(register.value[1:], LARGEST))
        except (zlib.error, msgspec.MsgspecError) as problem:
            raise LedgerError(f"no {self._called}: {problem}") from None

    def packed(self, document: T) -> bytes:
        """A document as its register holds it."""
        squeeze = zlib.compressobj(6, zlib.DEFLATED, -15)
        return bytes([self._form]) + squeeze.compress(self._encoder.encode(document)) + squeeze.flush()

    def change(self, make: Callable[[T], T]) -> Change:
        """A change of a document as a change of its register; what leaves it as it is, is declined."""

        def made(register: Register) -> bytes:
            before = self.read(register)
            after = make(before)
            if after == before:
                raise Declined
            return self.packed(after)

        return made
