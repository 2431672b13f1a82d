"""The source paper's own scenario: which requests stay at the Fog, by chance, by popularity, or by an LRU
list.

M. Enguehard, G. Carofiglio, D. Rossi, "A popularity-based approach for effective Cloud offload in Fog
deployments", 2018. Its queues and prices are rebuilt here twice: by closed forms (`expect`, `tune`), and as
a simulation with the world's kernel, servers, memories and draws (`compare`). `docs/lab-theory.md` has the
results. Times are milliseconds, rates requests a second, cache sizes numbers of values, money dollars an
hour.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from functools import partial
from math import inf, sqrt

import numpy as np

from . import theory
from .model.cache_store import CacheStore
from .model.kernel import Kernel
from .model.machine import Machine, MachineConfig
from .model.random_streams import UniformStream, WorkStream, ZipfStream, create_generator
from .theory import FloatArray

BLIND_POLICY, LFU_POLICY, LRU_POLICY, ROOMY_LRU_POLICY = "blind", "LFU", "LRU", "LRU, +25% cost"
POLICIES = (BLIND_POLICY, LFU_POLICY, LRU_POLICY, ROOMY_LRU_POLICY)
REQUEST_RATES = (1_000.0, 2_000.0, 10_000.0)
ROOMY_COST_FACTOR = 1.25
BISECTION_STEPS = 30  # halvings of a setting's range
RANK_GROUP_RATIO = 1.03  # ranks are counted together up to this ratio
WARM_UP_SHARE = 0.1  # of the requests come first and are not measured
LINE_MACHINE = MachineConfig(cores=1, slots=1_000_000_000, queue=0)  # processor sharing without bound


@dataclass(frozen=True, slots=True)
class PaperSite:
    """The paper's example application and deployment, its Table IV."""

    keys: int = 10_000_000
    skew: float = 1.01  # it states 1, but its figures are those of this one: docs/lab-theory.md
    fog_cache: int = 100_000  # 1 GB of 10 KB each
    access_delay_ms: float = 2.0  # one way
    core_delay_ms: float = 20.0
    raw_send_ms: float = 0.8  # 1 MB at 10 Gb/s
    access_send_ms: float = 0.008  # 10 KB at 10 Gb/s
    core_send_ms: float = 0.08  # 10 KB at 1 Gb/s
    fog_work_ms: float = 10 / 3  # mean of 10^7 cycles at 3 GHz
    cloud_work_ms: float = 5.0  # at 2 GHz
    database_ms: float = 1.0
    target_ms: float = 100.0  # for the mean and one deviation together
    network_price: float = 0.08 * 1e-5  # for a value, at so much for a GB
    storage_price: float = 0.004446 * 1e-5  # for a value and hour
    compute_price: float = 0.033174  # for a core and hour

    def cost(self, rate: float, to_cloud: float, cloud_misses: float, cloud_cache: float) -> float:
        """What an hour costs, where such parts of the requests go to the Cloud, and miss its cache."""
        cores = rate * cloud_misses * self.cloud_work_ms / 1000.0
        sent = 3600.0 * rate * to_cloud
        return self.compute_price * cores + self.storage_price * cloud_cache + self.network_price * sent


PAPER_SITE = PaperSite()


# -------------------------------------------------------------------------------------- by closed forms


@dataclass(frozen=True, slots=True)
class PolicySetting:
    """How a policy is set: a probability (blind), else a number of keys; and how much the Cloud remembers."""

    policy: str
    value: float
    cloud_cache: int = 0


@dataclass(frozen=True, slots=True)
class PredictedResult:
    """What the paper's formulas say of a setting."""

    fog_share: float
    hit_share: float  # at the Fog
    time_ms: float  # mean and one deviation, inf if a queue has more than it can do
    cost: float


class RankGroups:
    """Keys by popularity, those of nearly the same counted together: the first rank of each group, how many
    there are, and what one is asked for.
    """

    def __init__(self, site: PaperSite) -> None:
        edges, edge = [0], 1.0
        while edges[-1] < site.keys:
            edges.append(min(site.keys, max(edges[-1] + 1, int(edge))))
            edge *= RANK_GROUP_RATIO
        self.first_rank = np.array(edges[:-1], dtype=float)
        self.group_size = np.diff(edges).astype(float)
        self.popularity = (
            np.add.reduceat(theory.zipf_popularity(site.keys, site.skew), edges[:-1]) / self.group_size
        )

    def fog_probability(self, setting: PolicySetting) -> FloatArray:
        """The chance that a request stays at the Fog, by its key's group."""
        if setting.policy == BLIND_POLICY:
            return np.full_like(self.first_rank, setting.value)
        if setting.policy == LFU_POLICY:
            return np.asarray(np.clip((setting.value - self.first_rank) / self.group_size, 0.0, 1.0))
        return theory.che_hits(self.popularity, setting.value, self.group_size)

    def ranks_for_share(self, group_shares: FloatArray) -> float:
        """The part of all requests, given the parts of the groups'."""
        return float((self.group_size * self.popularity * group_shares).sum())


def predict(site: PaperSite, ranks: RankGroups, rate: float, setting: PolicySetting) -> PredictedResult:
    """The paper's equations 2 to 6 and its Table III."""
    kept = ranks.fog_probability(setting)
    asked = ranks.popularity
    hit = theory.che_hits(asked * kept, site.fog_cache, ranks.group_size)
    cloud_hit = theory.che_hits(asked * (1.0 - kept), setting.cloud_cache, ranks.group_size)
    to_fog, misses = ranks.ranks_for_share(kept), ranks.ranks_for_share(kept * (1.0 - hit))
    to_cloud, cloud_misses = 1.0 - to_fog, ranks.ranks_for_share((1.0 - kept) * (1.0 - cloud_hit))
    return PredictedResult(
        to_fog,
        1.0 - misses / to_fog if to_fog else 0.0,
        _time(site, rate / 1000.0, to_fog, misses, to_cloud, cloud_misses),
        site.cost(rate, to_cloud, cloud_misses, setting.cloud_cache),
    )


def _time(
    site: PaperSite, rate: float, to_fog: float, misses: float, to_cloud: float, cloud_misses: float
) -> float:
    """Mean and one deviation. As in the paper, the deviation is within the queues only: that one way takes
    longer than another does not count.
    """
    lines = (  # part of all requests that come, work of each
        (misses, site.raw_send_ms),
        (misses, site.fog_work_ms),
        (to_cloud, site.core_send_ms),
        (1.0, site.access_send_ms),
    )
    if any(rate * part * work >= 1.0 for part, work in lines):
        return inf
    mean = (
        (to_fog + misses) * 2.0 * site.access_delay_ms
        + to_cloud * 2.0 * (site.access_delay_ms + site.core_delay_ms)
        + cloud_misses * (site.database_ms + site.cloud_work_ms)
        + sum(part * theory.processor_sharing_sojourn(rate * part, work) for part, work in lines)
    )
    variance = cloud_misses * site.cloud_work_ms**2 + sum(
        part * theory.processor_sharing_deviation(rate * part, work) ** 2 for part, work in lines
    )
    return mean + sqrt(variance)


def tune_setting(site: PaperSite, ranks: RankGroups, rate: float, policy: str) -> PolicySetting:
    """The cheapest setting that keeps the target, as the paper's optimisation looks for; `ROOMY` has an LRU
    list that is shorter than need be, for so much more money.
    """
    if policy == ROOMY_LRU_POLICY:
        best = tune_setting(site, ranks, rate, LRU_POLICY)
        budget = ROOMY_COST_FACTOR * predict(site, ranks, rate, best).cost
        value = _bisect_edge(
            best.value, lambda at: predict(site, ranks, rate, replace(best, value=at)).cost >= budget
        )
        return replace(best, policy=ROOMY_LRU_POLICY, value=value)

    def most(cloud_cache: int) -> PolicySetting:
        whole = PolicySetting(policy, 1.0 if policy == BLIND_POLICY else float(site.keys), cloud_cache)
        value = _bisect_edge(
            whole.value,
            lambda at: predict(site, ranks, rate, replace(whole, value=at)).time_ms <= site.target_ms,
        )
        return replace(whole, value=value)

    first = most(0)
    sizes = [0, *(int(site.keys * 10 ** (-n / 10)) for n in range(40))]
    return most(
        min(sizes, key=lambda size: predict(site, ranks, rate, replace(first, cloud_cache=size)).cost)
    )


def _bisect_edge(most: float, good: Callable[[float], bool]) -> float:
    """The largest value up to `most` that is good, where those above it are not; found by halving."""
    low, high = 0.0, most
    if good(most):
        return most
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2.0
        low, high = (middle, high) if good(middle) else (low, middle)
    return low


# ----------------------------------------------------------------------------------------- by simulation


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """What one policy did under one load."""

    policy: str
    rate: float
    setting: PolicySetting
    fog_share: float
    hit_share: float  # of the requests at the Fog
    cost: float
    mean_ms: float
    deviation_ms: float
    over_share: float  # took longer than the target
    longest_ms: float


class FogSimulation:
    """Fog and Cloud with one policy; requests go their ways through the queues."""

    def __init__(self, site: PaperSite, ranks: RankGroups, setting: PolicySetting, seed: int) -> None:
        self.site, self.setting, self.kernel = site, setting, Kernel()
        self.fog, self.raw, self.core, self.access = (Machine(self.kernel, LINE_MACHINE) for _ in range(4))
        self.cache, self.cloud_cache = CacheStore(site.fog_cache), CacheStore(setting.cloud_cache)
        self.list = CacheStore(int(setting.value) if setting.policy in (LRU_POLICY, ROOMY_LRU_POLICY) else 0)
        self.times: list[float] = []
        self.fog_share_by_group = self.hits = self.cloud_misses = 0
        self._chance = UniformStream(seed, "chance")
        self._fog_work, self._cloud_work, self._raw, self._core, self._access = (
            WorkStream(seed, name, "exponential", 0.0) for name in ("fog", "cloud", "raw", "core", "access")
        )
        _warm_caches(self, ranks, seed)

    def stays_at_fog(self, key: int) -> bool:
        """Whether a request stays at the Fog."""
        if self.setting.policy == BLIND_POLICY:
            return self._chance() < self.setting.value
        if self.setting.policy == LFU_POLICY:
            return key < self.setting.value
        known = self.list.get(key, 0.0)
        if not known:
            self.list.put(key, 1, 0.0)
        return known

    def on_request(self, key: int, counts: bool) -> None:
        """A request comes; it counts, or is of the warm-up."""
        site, after, came = self.site, self.kernel.call_after, self.kernel.time

        def done() -> None:
            if counts:
                self.times.append(self.kernel.time - came)

        def computed() -> None:
            self.cache.put(key, 1, 0.0)
            reply()

        reply = partial(self._send, self.access, site.access_send_ms, self._access, done)
        if self.stays_at_fog(key):
            hit = self.cache.get(key, 0.0)
            self.fog_share_by_group += counts
            self.hits += counts and hit
            compute = partial(self._send, self.fog, site.fog_work_ms, self._fog_work, computed)
            fetch = partial(self._send, self.raw, site.raw_send_ms, self._raw, compute)
            after((2.0 if hit else 4.0) * site.access_delay_ms, reply if hit else fetch)
            return
        spent = 2.0 * (site.access_delay_ms + site.core_delay_ms)
        if not self.cloud_cache.get(key, 0.0):
            self.cloud_cache.put(key, 1, 0.0)
            self.cloud_misses += counts
            spent += site.database_ms + site.cloud_work_ms * self._cloud_work()
        after(spent, partial(self._send, self.core, site.core_send_ms, self._core, reply))

    @staticmethod
    def _send(line: Machine, work: float, draw: WorkStream, then: Callable[[], None]) -> None:
        line.submit(work * draw(), then)

    def row(self, rate: float) -> PolicyResult:
        """The result."""
        times, site = np.array(self.times), self.site
        count = len(times)
        cost = site.cost(
            rate, 1.0 - self.fog_share_by_group / count, self.cloud_misses / count, self.setting.cloud_cache
        )
        return PolicyResult(
            self.setting.policy,
            rate,
            self.setting,
            self.fog_share_by_group / count,
            self.hits / max(1, self.fog_share_by_group),
            cost,
            float(times.mean()),
            float(times.std()),
            float((times > site.target_ms).mean()),
            float(times.max()),
        )


def _warm_caches(simulation: FogSimulation, ranks: RankGroups, seed: int) -> None:
    """Begin with memories as they are in the long run; to fill them would take millions of requests.

    When a key was asked for last is exponential with its popularity, so the newest keys are those in an LRU
    memory. Behind the LRU list only requests count that came while the list still had their key: the gap
    before them was no longer than the list reaches back. What the Cloud had of a key is taken as thinned by
    chance.
    """
    site, setting, draw = simulation.site, simulation.setting, create_generator(seed, "past")
    asked = theory.zipf_popularity(site.keys, site.skew)
    ages = draw.exponential(size=site.keys) / asked
    ours, to_cloud = np.ones(site.keys, dtype=bool), np.ones(site.keys)
    if setting.policy == LFU_POLICY:
        ours = np.arange(site.keys) < setting.value
        to_cloud = np.where(ours, 0.0, 1.0)
    elif setting.policy != BLIND_POLICY:
        reach = _fill_cache(simulation.list, ages)
        gaps = draw.exponential(size=site.keys) / asked
        # in steps of at least the reach; so far back that no key is still at the Fog
        horizon = 2.0 * theory.che_characteristic_time(
            ranks.popularity * ranks.fog_probability(setting), site.fog_cache, ranks.group_size
        )
        while (older := np.flatnonzero((gaps > reach) & (ages < horizon))).size:
            ages[older] += gaps[older]
            gaps[older] = draw.exponential(size=older.size) / asked[older]
        ours, to_cloud = gaps <= reach, np.exp(-asked * reach)
    _fill_cache(simulation.cache, np.where(ours, ages, inf))
    if setting.cloud_cache:
        with np.errstate(divide="ignore", over="ignore"):  # hardly ever asked for there: for ever ago
            _fill_cache(simulation.cloud_cache, draw.exponential(size=site.keys) / (asked * to_cloud))


def _fill_cache(memory: CacheStore, ages: FloatArray) -> float:
    """Put in the newest keys, the oldest of them first; how far back they reach."""
    count = min(memory.capacity_bytes, int(np.isfinite(ages).sum()))
    if not count:
        return 0.0
    newest = np.argpartition(ages, count - 1)[:count]
    newest = newest[np.argsort(-ages[newest])]
    for key in newest.tolist():
        memory.put(key, 1, 0.0)
    return float(ages[newest[0]])


def run_policy(
    site: PaperSite, ranks: RankGroups, setting: PolicySetting, rate: float, seed: int, requests: int
) -> PolicyResult:
    """Simulate so many requests that are measured, after a warm-up of its own."""
    place = FogSimulation(site, ranks, setting, seed)
    keys, gaps = ZipfStream(seed, "keys", site.keys, site.skew), WorkStream(seed, "gaps", "exponential", 0.0)
    warm_up = int(WARM_UP_SHARE * requests)
    left, mean = warm_up + requests, 1000.0 / rate

    def come() -> None:
        nonlocal left
        left -= 1
        place.on_request(keys(), left < requests)
        if left:
            place.kernel.call_after(mean * gaps(), come)

    place.kernel.call_after(mean * gaps(), come)
    while len(place.times) < requests:
        place.kernel.run(place.kernel.time + 10_000.0)
    return place.row(rate)


def run_rows(
    seed: int, requests: int, site: PaperSite = PAPER_SITE, rates: Sequence[float] = REQUEST_RATES
) -> Iterator[PolicyResult]:
    """Each policy, tuned, under each load, one after another."""
    ranks = RankGroups(site)
    for rate in rates:
        for policy in POLICIES:
            yield run_policy(site, ranks, tune_setting(site, ranks, rate, policy), rate, seed, requests)


def run_comparison(
    seed: int, requests: int, site: PaperSite = PAPER_SITE, rates: Sequence[float] = REQUEST_RATES
) -> list[PolicyResult]:
    """The paper's main figures for each policy and load, each by so many simulated requests."""
    return list(run_rows(seed, requests, site, rates))


# -------------------------------------------------------------------------------- beside the paper's own


@dataclass(frozen=True, slots=True)
class PaperFigures:
    """What the paper prints of a policy, at 2000 requests a second where it is not by rate."""

    setting: str
    cost: str
    fog_share: str = "-"
    by_rate: str = "-"  # dollars an hour for one more request a second
    over_share: str = "-"
    longest: str = "-"


PAPER_FIGURES = {
    BLIND_POLICY: PaperFigures("0.42", "3.4", "42%", "0.0030"),
    LFU_POLICY: PaperFigures("610000", "0.95", "84.4%", "0.00079"),
    LRU_POLICY: PaperFigures("1300000", "0.97", "84.0%", "0.00095", "4%", "several s"),
    ROOMY_LRU_POLICY: PaperFigures("730000", "1.21", over_share="0.02%", longest="0.5 s"),
}


def format_predictions(site: PaperSite) -> Iterator[str]:
    """Lines of a table: each policy's best setting by the formulas, beside what the paper prints."""
    ranks, (_, usual, high) = RankGroups(site), REQUEST_RATES
    yield f"Formulas, exponent {site.skew:g}; each figure with the paper's own after it"
    yield (
        f"{'policy':16}{'setting':>10}{'paper':>10}{'Fog share':>11}{'paper':>7}{'$/h':>6}{'paper':>7}"
        f"{'$/h a 1/s':>11}{'paper':>9}"
    )
    for policy, told in PAPER_FIGURES.items():
        best, dear = tune_setting(site, ranks, usual, policy), tune_setting(site, ranks, high, policy)
        found = predict(site, ranks, usual, best)
        slope = (predict(site, ranks, high, dear).cost - found.cost) / (high - usual)
        value = f"{best.value:.3f}" if policy == BLIND_POLICY else f"{best.value:.0f}"
        yield (
            f"{policy:16}{value:>10}{told.setting:>10}{found.fog_share:>11.1%}{told.fog_share:>7}"
            f"{found.cost:>6.2f}{told.cost:>7}{slope:>11.5f}{told.by_rate:>9}"
        )


def format_table(found: Iterator[PolicyResult]) -> Iterator[str]:
    """Lines of a table of simulated rows, each as soon as it is there."""
    yield (
        f"{'1/s':>6}  {'policy':16}{'Fog share':>9}{'hits':>7}{'$/h':>7}{'mean ms':>9}{'dev. ms':>9}"
        f"{'too slow':>10}{'paper':>7}{'longest s':>11}{'paper':>11}"
    )
    for row in found:
        told = PAPER_FIGURES[row.policy] if row.rate == REQUEST_RATES[1] else PaperFigures("", "")
        yield (
            f"{row.rate:>6.0f}  {row.policy:16}{row.fog_share:>9.1%}{row.hit_share:>7.1%}{row.cost:>7.2f}"
            f"{row.mean_ms:>9.1f}{row.deviation_ms:>9.1f}{row.over_share:>10.3%}{told.over_share:>7}"
            f"{row.longest_ms / 1000.0:>11.2f}{told.longest:>11}"
        )


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the tables; the simulation takes some minutes."""
    parser = argparse.ArgumentParser(
        prog="python -m rosepick.lab.paper", description="The source paper's scenario, beside its figures."
    )
    parser.add_argument("--requests", type=int, default=300_000, help="measured, for each line")
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args(arguments)
    for skew in (1.0, PAPER_SITE.skew):
        print("\n".join(format_predictions(replace(PAPER_SITE, skew=skew))), end="\n\n")
    print(
        f"Simulated, exponent {PAPER_SITE.skew:g}, {asked.requests} requests a line; the paper's at 2000 1/s"
    )
    for line in format_table(run_rows(asked.seed, asked.requests)):
        print(line, flush=True)


if __name__ == "__main__":
    main()
