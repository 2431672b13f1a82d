"""Random number streams, one for each use, derived from one seed and drawn by numpy in blocks.

A stream depends only on the seed and its name, so the draws of one part of the model do not change those of
another. Policies that are compared get the same arrivals, keys and faults.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Literal, TypeVar
from zlib import crc32

import numpy as np

BLOCK_SIZE = 4096  # numbers that are drawn at a time

NumberT = TypeVar("NumberT", int, float)
WorkDistribution = Literal["fixed", "exponential", "lognormal"]


def create_generator(seed: int, name: str) -> np.random.Generator:
    """Return the random generator of a name."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, crc32(name.encode())])))


class _BlockStream(Generic[NumberT]):
    """A stream of numbers that are drawn in blocks, which is cheaper than single draws."""

    __slots__ = ("_block", "_generator")

    def __init__(self, seed: int, name: str) -> None:
        self._generator = create_generator(seed, name)
        self._block: Iterator[NumberT] = iter(())

    def __call__(self) -> NumberT:
        """Return the next number."""
        for value in self._block:
            return value
        self._block = iter(self._draw_block())
        return next(self._block)

    def _draw_block(self) -> list[NumberT]:
        raise NotImplementedError


class UniformStream(_BlockStream[float]):
    """A stream of numbers that are uniform in [0, 1)."""

    __slots__ = ()

    def _draw_block(self) -> list[float]:
        return list(self._generator.random(BLOCK_SIZE).tolist())


class WorkStream(_BlockStream[float]):
    """A stream of amounts of work with a mean of 1."""

    __slots__ = ("_distribution", "_spread")

    def __init__(self, seed: int, name: str, distribution: WorkDistribution, spread: float) -> None:
        """Draw from a distribution.

        `spread` is the standard deviation of the logarithm, for `lognormal` only.
        """
        super().__init__(seed, name)
        self._distribution = distribution
        self._spread = spread

    def _draw_block(self) -> list[float]:
        if self._distribution == "fixed":
            return [1.0] * BLOCK_SIZE
        if self._distribution == "exponential":
            return list(self._generator.exponential(1.0, BLOCK_SIZE).tolist())
        mean_of_logarithm = -(self._spread**2) / 2  # so that the mean of the values is 1
        return list(self._generator.lognormal(mean_of_logarithm, self._spread, BLOCK_SIZE).tolist())


class ZipfStream(_BlockStream[int]):
    """A stream of ranks from 0 on, with probabilities proportional to (rank + 1) ** -exponent.

    Ranks are drawn by inversion of the cumulative distribution.
    """

    __slots__ = ("_cumulative_shares",)

    def __init__(self, seed: int, name: str, count: int, exponent: float) -> None:
        super().__init__(seed, name)
        weights = np.arange(1, count + 1, dtype=float) ** -exponent
        self._cumulative_shares = np.cumsum(weights) / weights.sum()

    def _draw_block(self) -> list[int]:
        uniform = self._generator.random(BLOCK_SIZE)
        ranks = np.searchsorted(self._cumulative_shares, uniform, side="right")
        return list(np.minimum(ranks, len(self._cumulative_shares) - 1).tolist())
