"""Draws random latencies of attempts, some of which never end, for tests of attempt timeouts."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

DrawRatio = Callable[[random.Random], float]
"""Draws the latency of an attempt as a multiple of what is expected; infinity if it never ends."""


def draw_from_mixture(hung_fraction: float, spread: float = 0.6) -> DrawRatio:
    """Return a draw in which most attempts take about the expected time, and a fraction never ends."""

    def draw(rng: random.Random) -> float:
        return math.inf if rng.random() < hung_fraction else rng.lognormvariate(-(spread**2) / 2, spread)

    return draw
