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
from .theory import Floats
from .world.draws import Uniform, Work, Zipf, generator
from .world.kernel import Kernel
from .world.memory import Memory
from .world.server import Server, Shape

BLIND, LFU, LRU, ROOMY = "blind", "LFU", "LRU", "LRU, +25% cost"
POLICIES = (BLIND, LFU, LRU, ROOMY)
RATES = (1_000.0, 2_000.0, 10_000.0)
ROOMY_COST = 1.25
STEPS = 30  # halvings of a setting's range
GROUP = 1.03  # ranks are counted together up to this ratio
WARM_UP = 0.1  # of the requests come first and are not measured
LINE = Shape(cores=1, slots=1_000_000_000, queue=0)  # processor sharing without bound


@dataclass(frozen=True, slots=True)
class Site:
    """The paper's example application and deployment, its Table IV."""

    keys: int = 10_000_000
    skew: float = 1.01  # it states 1, but its figures are those of this one: docs/lab-theory.md
    fog_cache: int = 100_000  # 1 GB of 10 KB each
    access_way: float = 2.0  # one way
    core_way: float = 20.0
    raw_send: float = 0.8  # 1 MB at 10 Gb/s
    access_send: float = 0.008  # 10 KB at 10 Gb/s
    core_send: float = 0.08  # 10 KB at 1 Gb/s
    fog_work: float = 10 / 3  # mean of 10^7 cycles at 3 GHz
    cloud_work: float = 5.0  # at 2 GHz
    database: float = 1.0
    target: float = 100.0  # for the mean and one deviation together
    network_price: float = 0.08 * 1e-5  # for a value, at so much for a GB
    storage_price: float = 0.004446 * 1e-5  # for a value and hour
    compute_price: float = 0.033174  # for a core and hour

    def cost(self, rate: float, to_cloud: float, cloud_misses: float, cloud_cache: float) -> float:
        """What an hour costs, where such parts of the requests go to the Cloud, and miss its cache."""
        cores = rate * cloud_misses * self.cloud_work / 1000.0
        sent = 3600.0 * rate * to_cloud
        return self.compute_price * cores + self.storage_price * cloud_cache + self.network_price * sent


PAPER = Site()


# -------------------------------------------------------------------------------------- by closed forms


@dataclass(frozen=True, slots=True)
class Setting:
    """How a policy is set: a probability (blind), else a number of keys; and how much the Cloud remembers."""

    policy: str
    value: float
    cloud_cache: int = 0


@dataclass(frozen=True, slots=True)
class Expected:
    """What the paper's formulas say of a setting."""

    fog_share: float
    hit_share: float  # at the Fog
    time: float  # mean and one deviation, inf if a queue has more than it can do
    cost: float


class Ranks:
    """Keys by popularity, those of nearly the same counted together: the first rank of each group, how many
    there are, and what one is asked for.
    """

    def __init__(self, site: Site) -> None:
        edges, edge = [0], 1.0
        while edges[-1] < site.keys:
            edges.append(min(site.keys, max(edges[-1] + 1, int(edge))))
            edge *= GROUP
        self.first = np.array(edges[:-1], dtype=float)
        self.many = np.diff(edges).astype(float)
        self.popularity = np.add.reduceat(theory.zipf(site.keys, site.skew), edges[:-1]) / self.many

    def kept(self, setting: Setting) -> Floats:
        """The chance that a request stays at the Fog, by its key's group."""
        if setting.policy == BLIND:
            return np.full_like(self.first, setting.value)
        if setting.policy == LFU:
            return np.asarray(np.clip((setting.value - self.first) / self.many, 0.0, 1.0))
        return theory.che_hits(self.popularity, setting.value, self.many)

    def of(self, part: Floats) -> float:
        """The part of all requests, given the parts of the groups'."""
        return float((self.many * self.popularity * part).sum())


def expect(site: Site, ranks: Ranks, rate: float, setting: Setting) -> Expected:
    """The paper's equations 2 to 6 and its Table III."""
    kept = ranks.kept(setting)
    asked = ranks.popularity
    hit = theory.che_hits(asked * kept, site.fog_cache, ranks.many)
    cloud_hit = theory.che_hits(asked * (1.0 - kept), setting.cloud_cache, ranks.many)
    to_fog, misses = ranks.of(kept), ranks.of(kept * (1.0 - hit))
    to_cloud, cloud_misses = 1.0 - to_fog, ranks.of((1.0 - kept) * (1.0 - cloud_hit))
    return Expected(
        to_fog,
        1.0 - misses / to_fog if to_fog else 0.0,
        _time(site, rate / 1000.0, to_fog, misses, to_cloud, cloud_misses),
        site.cost(rate, to_cloud, cloud_misses, setting.cloud_cache),
    )


def _time(
    site: Site, rate: float, to_fog: float, misses: float, to_cloud: float, cloud_misses: float
) -> float:
    """Mean and one deviation. As in the paper, the deviation is within the queues only: that one way takes
    longer than another does not count.
    """
    lines = (  # part of all requests that come, work of each
        (misses, site.raw_send),
        (misses, site.fog_work),
        (to_cloud, site.core_send),
        (1.0, site.access_send),
    )
    if any(rate * part * work >= 1.0 for part, work in lines):
        return inf
    mean = (
        (to_fog + misses) * 2.0 * site.access_way
        + to_cloud * 2.0 * (site.access_way + site.core_way)
        + cloud_misses * (site.database + site.cloud_work)
        + sum(part * theory.ps_sojourn(rate * part, work) for part, work in lines)
    )
    variance = cloud_misses * site.cloud_work**2 + sum(
        part * theory.ps_deviation(rate * part, work) ** 2 for part, work in lines
    )
    return mean + sqrt(variance)


def tune(site: Site, ranks: Ranks, rate: float, policy: str) -> Setting:
    """The cheapest setting that keeps the target, as the paper's optimisation looks for; `ROOMY` has an LRU
    list that is shorter than need be, for so much more money.
    """
    if policy == ROOMY:
        best = tune(site, ranks, rate, LRU)
        budget = ROOMY_COST * expect(site, ranks, rate, best).cost
        value = _edge(
            best.value, lambda at: expect(site, ranks, rate, replace(best, value=at)).cost >= budget
        )
        return replace(best, policy=ROOMY, value=value)

    def most(cloud_cache: int) -> Setting:
        whole = Setting(policy, 1.0 if policy == BLIND else float(site.keys), cloud_cache)
        value = _edge(
            whole.value, lambda at: expect(site, ranks, rate, replace(whole, value=at)).time <= site.target
        )
        return replace(whole, value=value)

    first = most(0)
    sizes = [0, *(int(site.keys * 10 ** (-n / 10)) for n in range(40))]
    return most(min(sizes, key=lambda size: expect(site, ranks, rate, replace(first, cloud_cache=size)).cost))


def _edge(most: float, good: Callable[[float], bool]) -> float:
    """The largest value up to `most` that is good, where those above it are not; found by halving."""
    low, high = 0.0, most
    if good(most):
        return most
    for _ in range(STEPS):
        middle = (low + high) / 2.0
        low, high = (middle, high) if good(middle) else (low, middle)
    return low


# ----------------------------------------------------------------------------------------- by simulation


@dataclass(frozen=True, slots=True)
class Row:
    """What one policy did under one load."""

    policy: str
    rate: float
    setting: Setting
    fog_share: float
    hit_share: float  # of the requests at the Fog
    cost: float
    mean_ms: float
    deviation_ms: float
    over_share: float  # took longer than the target
    longest_ms: float


class Place:
    """Fog and Cloud with one policy; requests go their ways through the queues."""

    def __init__(self, site: Site, ranks: Ranks, setting: Setting, seed: int) -> None:
        self.site, self.setting, self.kernel = site, setting, Kernel()
        self.fog, self.raw, self.core, self.access = (Server(self.kernel, LINE) for _ in range(4))
        self.cache, self.cloud_cache = Memory(site.fog_cache), Memory(setting.cloud_cache)
        self.list = Memory(int(setting.value) if setting.policy in (LRU, ROOMY) else 0)
        self.times: list[float] = []
        self.kept = self.hits = self.cloud_misses = 0
        self._chance = Uniform(seed, "chance")
        self._fog_work, self._cloud_work, self._raw, self._core, self._access = (
            Work(seed, name, "exponential", 0.0) for name in ("fog", "cloud", "raw", "core", "access")
        )
        _remember(self, ranks, seed)

    def keeps(self, key: int) -> bool:
        """Whether a request stays at the Fog."""
        if self.setting.policy == BLIND:
            return self._chance() < self.setting.value
        if self.setting.policy == LFU:
            return key < self.setting.value
        known = self.list.get(key, 0.0)
        if not known:
            self.list.put(key, 1, 0.0)
        return known

    def come(self, key: int, counts: bool) -> None:
        """A request comes; it counts, or is of the warm-up."""
        site, after, came = self.site, self.kernel.after, self.kernel.time

        def done() -> None:
            if counts:
                self.times.append(self.kernel.time - came)

        def computed() -> None:
            self.cache.put(key, 1, 0.0)
            reply()

        reply = partial(self._send, self.access, site.access_send, self._access, done)
        if self.keeps(key):
            hit = self.cache.get(key, 0.0)
            self.kept += counts
            self.hits += counts and hit
            compute = partial(self._send, self.fog, site.fog_work, self._fog_work, computed)
            fetch = partial(self._send, self.raw, site.raw_send, self._raw, compute)
            after((2.0 if hit else 4.0) * site.access_way, reply if hit else fetch)
            return
        spent = 2.0 * (site.access_way + site.core_way)
        if not self.cloud_cache.get(key, 0.0):
            self.cloud_cache.put(key, 1, 0.0)
            self.cloud_misses += counts
            spent += site.database + site.cloud_work * self._cloud_work()
        after(spent, partial(self._send, self.core, site.core_send, self._core, reply))

    @staticmethod
    def _send(line: Server, work: float, draw: Work, then: Callable[[], None]) -> None:
        line.offer(work * draw(), then)

    def row(self, rate: float) -> Row:
        """The result."""
        times, site = np.array(self.times), self.site
        count = len(times)
        cost = site.cost(rate, 1.0 - self.kept / count, self.cloud_misses / count, self.setting.cloud_cache)
        return Row(
            self.setting.policy,
            rate,
            self.setting,
            self.kept / count,
            self.hits / max(1, self.kept),
            cost,
            float(times.mean()),
            float(times.std()),
            float((times > site.target).mean()),
            float(times.max()),
        )


def _remember(place: Place, ranks: Ranks, seed: int) -> None:
    """Begin with memories as they are in the long run; to fill them would take millions of requests.

    When a key was asked for last is exponential with its popularity, so the newest keys are those in an LRU
    memory. Behind the LRU list only requests count that came while the list still had their key: the gap
    before them was no longer than the list reaches back. What the Cloud had of a key is taken as thinned by
    chance.
    """
    site, setting, draw = place.site, place.setting, generator(seed, "past")
    asked = theory.zipf(site.keys, site.skew)
    ages = draw.exponential(size=site.keys) / asked
    ours, to_cloud = np.ones(site.keys, dtype=bool), np.ones(site.keys)
    if setting.policy == LFU:
        ours = np.arange(site.keys) < setting.value
        to_cloud = np.where(ours, 0.0, 1.0)
    elif setting.policy != BLIND:
        reach = _fill(place.list, ages)
        gaps = draw.exponential(size=site.keys) / asked
        # in steps of at least the reach; so far back that no key is still at the Fog
        horizon = 2.0 * theory.che_time(ranks.popularity * ranks.kept(setting), site.fog_cache, ranks.many)
        while (older := np.flatnonzero((gaps > reach) & (ages < horizon))).size:
            ages[older] += gaps[older]
            gaps[older] = draw.exponential(size=older.size) / asked[older]
        ours, to_cloud = gaps <= reach, np.exp(-asked * reach)
    _fill(place.cache, np.where(ours, ages, inf))
    if setting.cloud_cache:
        with np.errstate(divide="ignore", over="ignore"):  # hardly ever asked for there: for ever ago
            _fill(place.cloud_cache, draw.exponential(size=site.keys) / (asked * to_cloud))


def _fill(memory: Memory, ages: Floats) -> float:
    """Put in the newest keys, the oldest of them first; how far back they reach."""
    count = min(memory.size, int(np.isfinite(ages).sum()))
    if not count:
        return 0.0
    newest = np.argpartition(ages, count - 1)[:count]
    newest = newest[np.argsort(-ages[newest])]
    for key in newest.tolist():
        memory.put(key, 1, 0.0)
    return float(ages[newest[0]])


def play(site: Site, ranks: Ranks, setting: Setting, rate: float, seed: int, requests: int) -> Row:
    """Simulate so many requests that are measured, after a warm-up of its own."""
    place = Place(site, ranks, setting, seed)
    keys, gaps = Zipf(seed, "keys", site.keys, site.skew), Work(seed, "gaps", "exponential", 0.0)
    warm_up = int(WARM_UP * requests)
    left, mean = warm_up + requests, 1000.0 / rate

    def come() -> None:
        nonlocal left
        left -= 1
        place.come(keys(), left < requests)
        if left:
            place.kernel.after(mean * gaps(), come)

    place.kernel.after(mean * gaps(), come)
    while len(place.times) < requests:
        place.kernel.run(place.kernel.time + 10_000.0)
    return place.row(rate)


def rows(seed: int, requests: int, site: Site = PAPER, rates: Sequence[float] = RATES) -> Iterator[Row]:
    """Each policy, tuned, under each load, one after another."""
    ranks = Ranks(site)
    for rate in rates:
        for policy in POLICIES:
            yield play(site, ranks, tune(site, ranks, rate, policy), rate, seed, requests)


def compare(seed: int, requests: int, site: Site = PAPER, rates: Sequence[float] = RATES) -> list[Row]:
    """The paper's main figures for each policy and load, each by so many simulated requests."""
    return list(rows(seed, requests, site, rates))


# -------------------------------------------------------------------------------- beside the paper's own


@dataclass(frozen=True, slots=True)
class Printed:
    """What the paper prints of a policy, at 2000 requests a second where it is not by rate."""

    setting: str
    cost: str
    fog_share: str = "-"
    by_rate: str = "-"  # dollars an hour for one more request a second
    over_share: str = "-"
    longest: str = "-"


PRINTED = {
    BLIND: Printed("0.42", "3.4", "42%", "0.0030"),
    LFU: Printed("610000", "0.95", "84.4%", "0.00079"),
    LRU: Printed("1300000", "0.97", "84.0%", "0.00095", "4%", "several s"),
    ROOMY: Printed("730000", "1.21", over_share="0.02%", longest="0.5 s"),
}


def formulas(site: Site) -> Iterator[str]:
    """Lines of a table: each policy's best setting by the formulas, beside what the paper prints."""
    ranks, (_, usual, high) = Ranks(site), RATES
    yield f"Formulas, exponent {site.skew:g}; each figure with the paper's own after it"
    yield (
        f"{'policy':16}{'setting':>10}{'paper':>10}{'Fog share':>11}{'paper':>7}{'$/h':>6}{'paper':>7}"
        f"{'$/h a 1/s':>11}{'paper':>9}"
    )
    for policy, told in PRINTED.items():
        best, dear = tune(site, ranks, usual, policy), tune(site, ranks, high, policy)
        found = expect(site, ranks, usual, best)
        slope = (expect(site, ranks, high, dear).cost - found.cost) / (high - usual)
        value = f"{best.value:.3f}" if policy == BLIND else f"{best.value:.0f}"
        yield (
            f"{policy:16}{value:>10}{told.setting:>10}{found.fog_share:>11.1%}{told.fog_share:>7}"
            f"{found.cost:>6.2f}{told.cost:>7}{slope:>11.5f}{told.by_rate:>9}"
        )


def table(found: Iterator[Row]) -> Iterator[str]:
    """Lines of a table of simulated rows, each as soon as it is there."""
    yield (
        f"{'1/s':>6}  {'policy':16}{'Fog share':>9}{'hits':>7}{'$/h':>7}{'mean ms':>9}{'dev. ms':>9}"
        f"{'too slow':>10}{'paper':>7}{'longest s':>11}{'paper':>11}"
    )
    for row in found:
        told = PRINTED[row.policy] if row.rate == RATES[1] else Printed("", "")
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
    for skew in (1.0, PAPER.skew):
        print("\n".join(formulas(replace(PAPER, skew=skew))), end="\n\n")
    print(f"Simulated, exponent {PAPER.skew:g}, {asked.requests} requests a line; the paper's at 2000 1/s")
    for line in table(rows(asked.seed, asked.requests)):
        print(line, flush=True)


if __name__ == "__main__":
    main()
