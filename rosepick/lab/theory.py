"""Closed forms of queues and caches, to hold the world's parts against; no simulation here.

Times are in any one unit (milliseconds where the world is concerned) and rates in its inverse. Arrivals are
Poisson, work is exponential, and each key is asked for independently of the others. Where a queue has more
work than it can do there is no mean: ValueError.
"""

from __future__ import annotations

import numpy as np
import numpy.typing as npt

FloatArray = npt.NDArray[np.float64]


def mm1_wait(rate: float, work: float) -> float:
    """Mean time in the queue of M/M/1, first come first served: work * load / (1 - load).

    Source: A. K. Erlang, "Solution of some problems in the theory of probabilities of significance in
    automatic telephone exchanges", 1917, with one line.
    """
    return mmc_wait(rate, work, 1)


def mmc_wait(rate: float, work: float, servers: int) -> float:
    """Mean time in the queue of M/M/c, first come first served; the mean over those too that wait for
    nothing.

    Source: Erlang 1917, as above: the chance to wait, times the mean work, over the lines that are left.
    """
    load = _utilisation(rate, work / servers)
    return erlang_c(rate * work, servers) * work / (servers * (1.0 - load))


def erlang_c(offered: float, servers: int) -> float:
    """The chance that an arrival must wait, where `offered` lines of `servers` are in use in the mean.

    Source: Erlang 1917, as above. By way of his loss formula B, whose recursion over the lines neither
    overflows nor loses digits.
    """
    load = _utilisation(offered, 1.0 / servers)
    blocked = 1.0
    for lines in range(1, servers + 1):
        blocked = offered * blocked / (lines + offered * blocked)
    return blocked / (1.0 - load * (1.0 - blocked))


def processor_sharing_sojourn(rate: float, work: float) -> float:
    """Mean time in M/M/1 with processor sharing, work and all; the same for any spread of the work.

    Source: L. Kleinrock, "Time-shared systems: a theoretical treatment", J. ACM 14, 1967.
    """
    return work / (1.0 - _utilisation(rate, work))


def processor_sharing_deviation(rate: float, work: float) -> float:
    """Standard deviation of the time in M/M/1 with processor sharing.

    Source: T. J. Ott, "The sojourn-time distribution in the M/G/1 queue with processor sharing", J. Appl.
    Probab. 21, 1984.
    """
    load = _utilisation(rate, work)
    return float(work * np.sqrt((2.0 + load) / (2.0 - load)) / (1.0 - load))


def _utilisation(rate: float, work: float) -> float:
    load = rate * work
    if not 0.0 <= load < 1.0:
        raise ValueError(f"load {load:g} is not from 0 to less than 1: there is no mean")
    return load


def zipf_popularity(count: int, exponent: float) -> FloatArray:
    """Popularities of keys, the first one's first, in proportion to rank ** -exponent; their sum is 1.

    Source: G. K. Zipf, "Human behavior and the principle of least effort", 1949.
    """
    weights = np.arange(1, count + 1, dtype=float) ** -exponent
    return np.asarray(weights / weights.sum())


def che_characteristic_time(
    popularity: FloatArray, size: float, keys_per_group: FloatArray | None = None
) -> float:
    """The characteristic time of an LRU cache of `size` values, in requests: for so long an unused key stays.

    It is the t at which sum(1 - exp(-popularity * t)) == size, found by bisection; inf if all keys have room,
    0 if none has. `keys_per_group` says how many keys there are of each popularity, 1 by default;
    popularities need not add up to 1.

    Source: H. Che, Y. Tung, Z. Wang, "Hierarchical Web caching systems: modeling, design and experimental
    results", IEEE J. Sel. Areas Commun. 20, 2002.
    """
    counts = np.ones_like(popularity) if keys_per_group is None else keys_per_group
    if size >= float(counts[popularity > 0].sum()):
        return np.inf
    if size <= 0:
        return 0.0

    def held(time: float) -> float:
        return float(-(counts * np.expm1(-popularity * time)).sum())

    high = 1.0
    while held(high) < size:
        high *= 2.0
    low = 0.0
    while low < (middle := (low + high) / 2.0) < high:  # until no number lies between them
        low, high = (middle, high) if held(middle) < size else (low, middle)
    return high


def che_hits(popularity: FloatArray, size: float, keys_per_group: FloatArray | None = None) -> FloatArray:
    """For each key, the chance that an LRU cache of `size` values holds it when it is asked for. Source: Che,
    Tung, Wang 2002, see `che_time`.
    """
    time = che_characteristic_time(popularity, size, keys_per_group)
    if np.isinf(time):
        return np.where(popularity > 0, 1.0, 0.0)
    return np.asarray(-np.expm1(-popularity * time))


def che_hit_ratio(popularity: FloatArray, size: float) -> float:
    """The part of all requests that an LRU cache of `size` values can answer, in the long run. Source: Che,
    Tung, Wang 2002, see `che_time`.
    """
    return float((popularity * che_hits(popularity, size)).sum() / popularity.sum())
