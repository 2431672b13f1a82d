"""Simulates the source paper's scenario with the kernel, machines, caches and streams of the lab's model.

Source: M. Enguehard, G. Carofiglio, D. Rossi, "A popularity-based approach for effective Cloud offload in Fog
deployments", 2018.

Times are milliseconds, rates requests per second, cache sizes numbers of values, costs dollars per hour.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from math import inf

import numpy as np

from . import theory
from .model.cache_store import CacheStore
from .model.kernel import Kernel
from .model.machine import Machine, MachineConfig
from .model.random_streams import UniformStream, WorkStream, ZipfStream, create_generator
from .paper_model import (
    EXTRA_COST_LRU_POLICY,
    LFU_POLICY,
    LRU_POLICY,
    PAPER_SITE,
    POLICIES,
    RANDOM_POLICY,
    PaperSite,
    PolicySetting,
    RankGroups,
    tune_setting,
)
from .theory import FloatArray

REQUEST_RATES = (1_000.0, 2_000.0, 10_000.0)
WARM_UP_SHARE = 0.1  # share of additional requests at the start, which are not measured
RUN_STEP_MS = 10_000.0  # interval between checks whether the run is complete
# processor sharing with an unlimited number of requests
UNLIMITED_MACHINE = MachineConfig(cores=1, slots=1_000_000_000, queue=0)


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """The result of one policy under one load."""

    policy: str
    rate: float
    setting: PolicySetting
    fog_share: float
    hit_share: float  # of the requests at the Fog
    cost: float
    mean_ms: float
    deviation_ms: float
    over_share: float  # share of requests that took longer than the target
    longest_ms: float


class FogSimulation:
    """A simulation of Fog and Cloud, with their queues and caches, under one policy."""

    def __init__(self, site: PaperSite, ranks: RankGroups, setting: PolicySetting, seed: int) -> None:
        self.site = site
        self.setting = setting
        self.kernel = Kernel()
        self.fog = Machine(self.kernel, UNLIMITED_MACHINE)
        self.raw_link = Machine(self.kernel, UNLIMITED_MACHINE)
        self.core_link = Machine(self.kernel, UNLIMITED_MACHINE)
        self.access_link = Machine(self.kernel, UNLIMITED_MACHINE)
        self.cache = CacheStore(site.fog_cache)
        self.cloud_cache = CacheStore(setting.cloud_cache)
        has_list = setting.policy in (LRU_POLICY, EXTRA_COST_LRU_POLICY)
        self.lru_list = CacheStore(int(setting.value) if has_list else 0)
        self.times_ms: list[float] = []
        self.fog_requests = 0
        self.hits = 0
        self.cloud_misses = 0
        self._uniform = UniformStream(seed, "chance")
        self._fog_work = _exponential_stream(seed, "fog")
        self._cloud_work = _exponential_stream(seed, "cloud")
        self._raw_size = _exponential_stream(seed, "raw")
        self._core_size = _exponential_stream(seed, "core")
        self._access_size = _exponential_stream(seed, "access")
        _warm_caches(self, ranks, seed)

    def stays_at_fog(self, key: int) -> bool:
        """Return whether a request for a key stays at the Fog."""
        if self.setting.policy == RANDOM_POLICY:
            return self._uniform() < self.setting.value
        if self.setting.policy == LFU_POLICY:
            return key < self.setting.value
        is_listed = self.lru_list.get(key, 0.0)
        if not is_listed:
            self.lru_list.put(key, 1, 0.0)
        return is_listed

    def on_request(self, key: int, is_measured: bool) -> None:
        """Handle the arrival of a request; requests of the warm-up are not measured."""
        arrived_at = self.kernel.time

        def complete() -> None:
            if is_measured:
                self.times_ms.append(self.kernel.time - arrived_at)

        reply = partial(self._submit, self.access_link, self.site.access_send_ms, self._access_size, complete)
        if self.stays_at_fog(key):
            self._process_at_fog(key, is_measured, reply)
        else:
            self._process_at_cloud(key, is_measured, reply)

    def _process_at_fog(self, key: int, is_measured: bool, reply: Callable[[], None]) -> None:
        site = self.site

        def store_and_reply() -> None:
            self.cache.put(key, 1, 0.0)
            reply()

        hit = self.cache.get(key, 0.0)
        self.fog_requests += is_measured
        self.hits += is_measured and hit
        if hit:
            self.kernel.call_after(2.0 * site.access_delay_ms, reply)
            return
        compute = partial(self._submit, self.fog, site.fog_work_ms, self._fog_work, store_and_reply)
        fetch = partial(self._submit, self.raw_link, site.raw_send_ms, self._raw_size, compute)
        self.kernel.call_after(4.0 * site.access_delay_ms, fetch)

    def _process_at_cloud(self, key: int, is_measured: bool, reply: Callable[[], None]) -> None:
        site = self.site
        delay_ms = 2.0 * (site.access_delay_ms + site.core_delay_ms)
        if not self.cloud_cache.get(key, 0.0):
            self.cloud_cache.put(key, 1, 0.0)
            self.cloud_misses += is_measured
            delay_ms += site.database_ms + site.cloud_work_ms * self._cloud_work()
        send = partial(self._submit, self.core_link, site.core_send_ms, self._core_size, reply)
        self.kernel.call_after(delay_ms, send)

    @staticmethod
    def _submit(machine: Machine, mean_ms: float, draw: WorkStream, on_done: Callable[[], None]) -> None:
        machine.submit(mean_ms * draw(), on_done)

    def result(self, rate: float) -> PolicyResult:
        """Return the result of all measured requests, which arrived at `rate` per second."""
        times = np.array(self.times_ms)
        count = len(times)
        fog_share = self.fog_requests / count
        cost = self.site.cost(rate, 1.0 - fog_share, self.cloud_misses / count, self.setting.cloud_cache)
        return PolicyResult(
            policy=self.setting.policy,
            rate=rate,
            setting=self.setting,
            fog_share=fog_share,
            hit_share=self.hits / max(1, self.fog_requests),
            cost=cost,
            mean_ms=float(times.mean()),
            deviation_ms=float(times.std()),
            over_share=float((times > self.site.target_ms).mean()),
            longest_ms=float(times.max()),
        )


def _exponential_stream(seed: int, name: str) -> WorkStream:
    """Return a stream of exponential draws with mean 1."""
    return WorkStream(seed, name, "exponential", 0.0)


def _warm_caches(simulation: FogSimulation, ranks: RankGroups, seed: int) -> None:
    """Fill the caches with their steady state, which would take millions of requests to reach.

    The time since the last request for a key is exponential with its popularity, and an LRU cache holds the
    newest keys. With an LRU list, only those requests reach the Fog's cache that arrived while the list held
    their key: the gap before them was no longer than the age of the oldest key in the list. The requests that
    went to the Cloud are approximated by random thinning.
    """
    site = simulation.site
    setting = simulation.setting
    generator = create_generator(seed, "past")
    popularity = theory.zipf_popularity(site.keys, site.skew)
    ages = generator.exponential(size=site.keys) / popularity
    at_fog = np.ones(site.keys, dtype=bool)
    to_cloud = np.ones(site.keys)
    if setting.policy == LFU_POLICY:
        at_fog = np.arange(site.keys) < setting.value
        to_cloud = np.where(at_fog, 0.0, 1.0)
    elif setting.policy != RANDOM_POLICY:
        list_age = _fill_cache(simulation.lru_list, ages)
        gaps = generator.exponential(size=site.keys) / popularity
        # go back to each key's last request that stayed at the Fog, up to the age that the Fog's cache holds
        horizon = 2.0 * theory.che_characteristic_time(
            ranks.popularity * ranks.fog_probability(setting), site.fog_cache, ranks.group_size
        )
        while (older := np.flatnonzero((gaps > list_age) & (ages < horizon))).size:
            ages[older] += gaps[older]
            gaps[older] = generator.exponential(size=older.size) / popularity[older]
        at_fog = gaps <= list_age
        to_cloud = np.exp(-popularity * list_age)
    _fill_cache(simulation.cache, np.where(at_fog, ages, inf))
    if setting.cloud_cache:
        with np.errstate(divide="ignore", over="ignore"):  # the rarest keys get an age of inf
            cloud_ages = generator.exponential(size=site.keys) / (popularity * to_cloud)
            _fill_cache(simulation.cloud_cache, cloud_ages)


def _fill_cache(cache: CacheStore, ages: FloatArray) -> float:
    """Insert the newest keys, the oldest of them first; return the largest age among them."""
    count = min(cache.capacity_bytes, int(np.isfinite(ages).sum()))
    if not count:
        return 0.0
    newest = np.argpartition(ages, count - 1)[:count]
    newest = newest[np.argsort(-ages[newest])]
    for key in newest.tolist():
        cache.put(key, 1, 0.0)
    return float(ages[newest[0]])


@dataclass(frozen=True, slots=True)
class SimulationPlan:
    """The parameters that the simulations of all policies share."""

    site: PaperSite
    ranks: RankGroups
    seed: int
    requests: int  # measured requests, after the warm-up

    def run(self, setting: PolicySetting, rate: float) -> PolicyResult:
        """Simulate a policy under one load."""
        simulation = FogSimulation(self.site, self.ranks, setting, self.seed)
        keys = ZipfStream(self.seed, "keys", self.site.keys, self.site.skew)
        gaps = _exponential_stream(self.seed, "gaps")
        mean_gap_ms = 1000.0 / rate
        remaining = int(WARM_UP_SHARE * self.requests) + self.requests

        def on_arrival() -> None:
            nonlocal remaining
            remaining -= 1
            simulation.on_request(keys(), remaining < self.requests)
            if remaining:
                simulation.kernel.call_after(mean_gap_ms * gaps(), on_arrival)

        simulation.kernel.call_after(mean_gap_ms * gaps(), on_arrival)
        while len(simulation.times_ms) < self.requests:
            simulation.kernel.run(simulation.kernel.time + RUN_STEP_MS)
        return simulation.result(rate)


def run_comparison(
    seed: int, requests: int, site: PaperSite = PAPER_SITE, rates: Sequence[float] = REQUEST_RATES
) -> Iterator[PolicyResult]:
    """Yield the simulated result of each policy, tuned, under each load; `requests` are measured for each."""
    plan = SimulationPlan(site, RankGroups(site), seed, requests)
    for rate in rates:
        for policy in POLICIES:
            yield plan.run(tune_setting(site, plan.ranks, rate, policy), rate)
