"""Closed-form results for queues and caches, against which parts of the model are checked.

Times are in any unit (milliseconds for the model) and rates in its inverse. Arrivals are Poisson, service
times (`work`) are exponential, and each key is requested independently of the others. Functions of queues
raise ValueError for a load of 1 or more, for which no mean exists.
"""

from __future__ import annotations

import numpy as np
import numpy.typing as npt

FloatArray = npt.NDArray[np.float64]


def mm1_wait(rate: float, work: float) -> float:
    """Return the mean waiting time in M/M/1, first come first served: work * load / (1 - load).

    Source: A. K. Erlang, "Solution of some problems in the theory of probabilities of significance in
    automatic telephone exchanges", 1917, with one server.
    """
    return mmc_wait(rate, work, 1)


def mmc_wait(rate: float, work: float, servers: int) -> float:
    """Return the mean waiting time in M/M/c, first come first served, over all arrivals.

    Source: Erlang 1917, see `mm1_wait`. The wait is the probability of waiting times the mean service time,
    divided by the mean number of idle servers.
    """
    load = _utilisation(rate, work / servers)
    return erlang_c(rate * work, servers) * work / (servers * (1.0 - load))


def erlang_c(offered: float, servers: int) -> float:
    """Return the probability that an arrival must wait; on average `offered` of `servers` are busy.

    Source: Erlang 1917, see `mm1_wait`. It is computed from the loss formula B, whose recursion over the
    servers neither overflows nor loses precision.
    """
    load = _utilisation(offered, 1.0 / servers)
    blocked = 1.0
    for count in range(1, servers + 1):
        blocked = offered * blocked / (count + offered * blocked)
    return blocked / (1.0 - load * (1.0 - blocked))


def processor_sharing_sojourn(rate: float, work: float) -> float:
    """Return the mean sojourn time in M/G/1 with processor sharing; it depends on the mean work only.

    Source: L. Kleinrock, "Time-shared systems: a theoretical treatment", J. ACM 14, 1967.
    """
    return work / (1.0 - _utilisation(rate, work))


def processor_sharing_deviation(rate: float, work: float) -> float:
    """Return the standard deviation of the sojourn time in M/M/1 with processor sharing.

    Source: T. J. Ott, "The sojourn-time distribution in the M/G/1 queue with processor sharing", J. Appl.
    Probab. 21, 1984.
    """
    load = _utilisation(rate, work)
    return float(work * np.sqrt((2.0 + load) / (2.0 - load)) / (1.0 - load))


def _utilisation(rate: float, work: float) -> float:
    """Return the load of a server.

    Raises:
        ValueError: the load is not from 0 to less than 1.
    """
    load = rate * work
    if not 0.0 <= load < 1.0:
        raise ValueError(f"load {load:g} is not from 0 to less than 1: there is no mean")
    return load


def zipf_popularity(count: int, exponent: float) -> FloatArray:
    """Return popularities of keys in order of rank, proportional to rank ** -exponent; their sum is 1.

    Source: G. K. Zipf, "Human behavior and the principle of least effort", 1949.
    """
    weights = np.arange(1, count + 1, dtype=float) ** -exponent
    return np.asarray(weights / weights.sum())


def che_characteristic_time(
    popularity: FloatArray, size: float, keys_per_group: FloatArray | None = None
) -> float:
    """Return the characteristic time of an LRU cache: the time, in requests, that an unused key stays.

    It is the t at which sum(1 - exp(-popularity * t)) == size, found by bisection; `size` is the number of
    values that fit. The result is inf if all keys fit and 0 if none fits. `keys_per_group` is the number of
    keys of each popularity, 1 by default; the sum of the popularities need not be 1.

    Source: H. Che, Y. Tung, Z. Wang, "Hierarchical Web caching systems: modeling, design and experimental
    results", IEEE J. Sel. Areas Commun. 20, 2002.
    """
    counts = np.ones_like(popularity) if keys_per_group is None else keys_per_group
    if size >= float(counts[popularity > 0].sum()):
        return np.inf
    if size <= 0:
        return 0.0

    def expected_size(time: float) -> float:
        return float(-(counts * np.expm1(-popularity * time)).sum())

    high = 1.0
    while expected_size(high) < size:
        high *= 2.0
    low = 0.0
    while low < (middle := (low + high) / 2.0) < high:  # until no float is between low and high
        low, high = (middle, high) if expected_size(middle) < size else (low, middle)
    return high


def che_hits(popularity: FloatArray, size: float, keys_per_group: FloatArray | None = None) -> FloatArray:
    """Return each key's hit probability in an LRU cache of `size` values.

    Source: Che, Tung, Wang 2002, see `che_characteristic_time`.
    """
    time = che_characteristic_time(popularity, size, keys_per_group)
    if np.isinf(time):
        return np.where(popularity > 0, 1.0, 0.0)
    return np.asarray(-np.expm1(-popularity * time))


def che_hit_ratio(popularity: FloatArray, size: float) -> float:
    """Return the long-run hit ratio of an LRU cache of `size` values.

    Source: Che, Tung, Wang 2002, see `che_characteristic_time`.
    """
    return float((popularity * che_hits(popularity, size)).sum() / popularity.sum())
