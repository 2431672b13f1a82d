"""Random numbers: a stream for each use, all from one seed, drawn by numpy in blocks.

A stream depends on the seed and its own name only: what one part draws changes nothing for another, so that
two policies meet the same arrivals, keys and troubles.
"""

from __future__ import annotations

from collections.abc import Iterator
from zlib import crc32

import numpy as np

BLOCK_SIZE = 4096


def create_generator(seed: int, name: str) -> np.random.Generator:
    """The generator of one use."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, crc32(name.encode())])))


class UniformStream:
    """Numbers from 0 to 1, one at a time at little cost."""

    __slots__ = ("_block", "_generator")

    def __init__(self, seed: int, name: str) -> None:
        self._generator = create_generator(seed, name)
        self._block: Iterator[float] = iter(())

    def __call__(self) -> float:
        for value in self._block:
            return value
        self._block = iter(self._generator.random(BLOCK_SIZE).tolist())
        return next(self._block)


class WorkStream:
    """Amounts of work with a mean of 1, one at a time: `fixed`, `exponential` or `lognormal`."""

    __slots__ = ("_block", "_generator", "_kind", "_spread")

    def __init__(self, seed: int, name: str, kind: str, spread: float) -> None:
        self._generator = create_generator(seed, name)
        self._kind, self._spread = kind, spread
        self._block: Iterator[float] = iter(())

    def __call__(self) -> float:
        for value in self._block:
            return value
        self._block = iter(self._draw_block().tolist())
        return next(self._block)

    def _draw_block(self) -> np.ndarray:
        if self._kind == "fixed":
            return np.ones(BLOCK_SIZE)
        if self._kind == "exponential":
            return self._generator.exponential(1.0, BLOCK_SIZE)
        # the logarithm's mean that makes the mean of the values 1
        return self._generator.lognormal(-(self._spread**2) / 2, self._spread, BLOCK_SIZE)


class ZipfStream:
    """Ranks from 0 on, asked for in proportion to (rank + 1) ** -exponent; by inversion, in blocks."""

    __slots__ = ("_block", "_edges", "_generator")

    def __init__(self, seed: int, name: str, count: int, exponent: float) -> None:
        self._generator = create_generator(seed, name)
        weights = np.arange(1, count + 1, dtype=float) ** -exponent
        self._edges = np.cumsum(weights) / weights.sum()
        self._block: Iterator[int] = iter(())

    def __call__(self) -> int:
        for value in self._block:
            return value
        drawn = np.searchsorted(self._edges, self._generator.random(BLOCK_SIZE), side="right")
        self._block = iter(np.minimum(drawn, len(self._edges) - 1).tolist())
        return next(self._block)
