"""The source paper's formulas for latency, cost and cheapest settings of a Fog and Cloud deployment.

Source: M. Enguehard, G. Carofiglio, D. Rossi, "A popularity-based approach for effective Cloud offload in Fog
deployments", 2018.

Times are milliseconds, rates requests per second, cache sizes numbers of values, costs dollars per hour.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from math import inf, sqrt

import numpy as np

from . import theory
from .theory import FloatArray

RANDOM_POLICY = "blind"  # the paper's name: requests stay at the Fog at random
LFU_POLICY = "LFU"
LRU_POLICY = "LRU"
EXTRA_COST_LRU_POLICY = "LRU, +25% cost"
POLICIES = (RANDOM_POLICY, LFU_POLICY, LRU_POLICY, EXTRA_COST_LRU_POLICY)
EXTRA_COST_FACTOR = 1.25  # cost of `EXTRA_COST_LRU_POLICY`, as a multiple of the cheapest
BISECTION_STEPS = 30  # times that the range of a setting is halved
RANK_GROUP_RATIO = 1.03  # largest ratio of the ranks in a group
CLOUD_CACHE_SIZES = 40  # sizes to try, each 10 ** -0.1 times the previous one


@dataclass(frozen=True, slots=True)
class PaperSite:
    """The paper's example application and deployment, from its Table IV."""

    keys: int = 10_000_000
    skew: float = 1.01  # the paper states 1, but its figures match this value: docs/lab-theory.md
    fog_cache: int = 100_000  # values; 1 GB of 10 KB each
    access_delay_ms: float = 2.0  # one way
    core_delay_ms: float = 20.0
    raw_send_ms: float = 0.8  # 1 MB at 10 Gb/s
    access_send_ms: float = 0.008  # 10 KB at 10 Gb/s
    core_send_ms: float = 0.08  # 10 KB at 1 Gb/s
    fog_work_ms: float = 10 / 3  # mean of 10^7 cycles at 3 GHz
    cloud_work_ms: float = 5.0  # at 2 GHz
    database_ms: float = 1.0
    target_ms: float = 100.0  # for the sum of mean and standard deviation
    network_price: float = 0.08 * 1e-5  # dollars per value of 10 KB, from the price of a GB
    storage_price: float = 0.004446 * 1e-5  # dollars per value and hour
    compute_price: float = 0.033174  # dollars per core and hour

    def cost(self, rate: float, to_cloud: float, cloud_misses: float, cloud_cache: float) -> float:
        """Return the cost of one hour in dollars.

        `rate` is in requests per second, `to_cloud` the share of requests that go to the Cloud,
        `cloud_misses` the share that miss its cache, and `cloud_cache` the values that fit into it.
        """
        cores = rate * cloud_misses * self.cloud_work_ms / 1000.0
        sent_values = 3600.0 * rate * to_cloud
        return (
            self.compute_price * cores + self.storage_price * cloud_cache + self.network_price * sent_values
        )


PAPER_SITE = PaperSite()


PAPER_SITE = PaperSite()


@dataclass(frozen=True, slots=True)
class PolicySetting:
    """A policy with its parameters."""

    policy: str
    value: float  # probability of staying at the Fog (blind), else a number of keys
    cloud_cache: int = 0  # values that fit into the Cloud's cache


@dataclass(frozen=True, slots=True)
class PredictedResult:
    """The prediction of the paper's formulas for a setting."""

    fog_share: float
    hit_share: float  # of the requests at the Fog
    time_ms: float  # mean plus standard deviation; inf if a queue is overloaded
    cost: float


@dataclass(frozen=True, slots=True)
class TrafficShares:
    """Shares of all requests that go to Fog and Cloud and miss their caches."""

    to_fog: float
    fog_misses: float
    to_cloud: float
    cloud_misses: float


class RankGroups:
    """Keys in order of popularity, in groups of nearly the same popularity.

    Arrays hold, for each group, its first rank, its number of keys, and the popularity of one key.
    """

    def __init__(self, site: PaperSite) -> None:
        edges = [0]
        edge = 1.0
        while edges[-1] < site.keys:
            edges.append(min(site.keys, max(edges[-1] + 1, int(edge))))
            edge *= RANK_GROUP_RATIO
        self.first_rank = np.array(edges[:-1], dtype=float)
        self.group_size = np.diff(edges).astype(float)
        self.popularity = (
            np.add.reduceat(theory.zipf_popularity(site.keys, site.skew), edges[:-1]) / self.group_size
        )

    def fog_probability(self, setting: PolicySetting) -> FloatArray:
        """Return the probability that a request stays at the Fog, by group of its key."""
        if setting.policy == RANDOM_POLICY:
            return np.full_like(self.first_rank, setting.value)
        if setting.policy == LFU_POLICY:
            return np.asarray(np.clip((setting.value - self.first_rank) / self.group_size, 0.0, 1.0))
        return theory.che_hits(self.popularity, setting.value, self.group_size)

    def request_share(self, group_shares: FloatArray) -> float:
        """Return the share of all requests, from the shares of each group's requests."""
        return float((self.group_size * self.popularity * group_shares).sum())


def predict(site: PaperSite, ranks: RankGroups, rate: float, setting: PolicySetting) -> PredictedResult:
    """Return the result of the paper's equations 2 to 6 and its Table III."""
    stays = ranks.fog_probability(setting)
    popularity = ranks.popularity
    hit = theory.che_hits(popularity * stays, site.fog_cache, ranks.group_size)
    cloud_hit = theory.che_hits(popularity * (1.0 - stays), setting.cloud_cache, ranks.group_size)
    to_fog = ranks.request_share(stays)
    shares = TrafficShares(
        to_fog=to_fog,
        fog_misses=ranks.request_share(stays * (1.0 - hit)),
        to_cloud=1.0 - to_fog,
        cloud_misses=ranks.request_share((1.0 - stays) * (1.0 - cloud_hit)),
    )
    return PredictedResult(
        to_fog,
        1.0 - shares.fog_misses / to_fog if to_fog else 0.0,
        _response_time_ms(site, rate / 1000.0, shares),
        site.cost(rate, shares.to_cloud, shares.cloud_misses, setting.cloud_cache),
    )


def _response_time_ms(site: PaperSite, rate_per_ms: float, shares: TrafficShares) -> float:
    """Return mean plus standard deviation of the response time.

    As in the paper, the deviation includes the queues only, not the difference between the paths through Fog
    and Cloud.
    """
    queues = (  # share of all requests, mean work of each
        (shares.fog_misses, site.raw_send_ms),
        (shares.fog_misses, site.fog_work_ms),
        (shares.to_cloud, site.core_send_ms),
        (1.0, site.access_send_ms),
    )
    if any(rate_per_ms * share * work >= 1.0 for share, work in queues):
        return inf
    mean = (
        (shares.to_fog + shares.fog_misses) * 2.0 * site.access_delay_ms
        + shares.to_cloud * 2.0 * (site.access_delay_ms + site.core_delay_ms)
        + shares.cloud_misses * (site.database_ms + site.cloud_work_ms)
        + sum(share * theory.processor_sharing_sojourn(rate_per_ms * share, work) for share, work in queues)
    )
    variance = shares.cloud_misses * site.cloud_work_ms**2 + sum(
        share * theory.processor_sharing_deviation(rate_per_ms * share, work) ** 2 for share, work in queues
    )
    return mean + sqrt(variance)


def tune_setting(site: PaperSite, ranks: RankGroups, rate: float, policy: str) -> PolicySetting:
    """Return the cheapest setting that meets the target, as in the paper's optimisation.

    `EXTRA_COST_LRU_POLICY` has a shorter LRU list than necessary, at `EXTRA_COST_FACTOR` times the cost.
    """
    if policy == EXTRA_COST_LRU_POLICY:
        return _tune_extra_cost_setting(site, ranks, rate)
    without_cloud_cache = _largest_setting(site, ranks, rate, PolicySetting(policy, 0.0))
    sizes = [0, *(int(site.keys * 10 ** (-n / 10)) for n in range(CLOUD_CACHE_SIZES))]
    cheapest_size = min(
        sizes,
        key=lambda size: predict(site, ranks, rate, replace(without_cloud_cache, cloud_cache=size)).cost,
    )
    return _largest_setting(site, ranks, rate, PolicySetting(policy, 0.0, cheapest_size))


def _tune_extra_cost_setting(site: PaperSite, ranks: RankGroups, rate: float) -> PolicySetting:
    best = tune_setting(site, ranks, rate, LRU_POLICY)
    budget = EXTRA_COST_FACTOR * predict(site, ranks, rate, best).cost
    value = _largest_valid_value(
        best.value, lambda value: predict(site, ranks, rate, replace(best, value=value)).cost >= budget
    )
    return replace(best, policy=EXTRA_COST_LRU_POLICY, value=value)


def _largest_setting(
    site: PaperSite, ranks: RankGroups, rate: float, setting: PolicySetting
) -> PolicySetting:
    """Return the setting with the largest value that meets the target."""
    value = _largest_valid_value(
        1.0 if setting.policy == RANDOM_POLICY else float(site.keys),
        lambda value: predict(site, ranks, rate, replace(setting, value=value)).time_ms <= site.target_ms,
    )
    return replace(setting, value=value)


def _largest_valid_value(maximum: float, is_valid: Callable[[float], bool]) -> float:
    """Return the largest valid value up to `maximum`, where all values above it are invalid."""
    if is_valid(maximum):
        return maximum
    low = 0.0
    high = maximum
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2.0
        if is_valid(middle):
            low = middle
        else:
            high = middle
    return low
