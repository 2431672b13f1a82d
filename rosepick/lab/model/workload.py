"""What clients ask: arrivals, classes, tenants, keys and work, drawn from one seed whatever policy serves
them.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from ...core.endpoint_directory import hash_key
from ..experiment import Experiment, ExperimentError, RequestClassConfig, RoutersConfig
from .random_streams import UniformStream, WorkStream, ZipfStream, create_generator

COST_HINT_SPREAD = 0.3  # of the logarithm: how rough the hint of a request's work is


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """What one client wants, once."""

    number: int
    due_ms: float  # milliseconds
    router: int
    klass: int
    tenant: int
    key: int
    work_ms: float  # at a cache node, milliseconds on a core of speed 1
    origin_work_ms: float
    cost_hint: float
    size: int
    abandon_after_ms: float  # so many milliseconds after it was due its client leaves; inf: never early


class Workload:
    """All requests of a run, in the order in which they are due."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.experiment, self.seed = experiment, seed
        self.surge_factors: list[float] = []  # so many times the traffic, by each trouble that is on
        self.flash_shares: list[float] = []  # of the reads are for one key
        self.key_by_rank = _key_numbers(experiment.keys.count)
        self._ranks = ZipfStream(seed, "keys", experiment.keys.count, experiment.keys.zipf)
        self._gaps = create_generator(seed, "arrivals")
        (
            self._class_stream,
            self._tenant_stream,
            self._router_stream,
            self._flash_stream,
            self._abandon_stream,
        ) = (UniformStream(seed, name) for name in ("classes", "tenants", "routers", "flash", "leave"))
        self._hints = WorkStream(seed, "hints", "lognormal", COST_HINT_SPREAD)
        self._works = [
            WorkStream(seed, f"work {one.name}", one.work, one.spread) for one in experiment.classes
        ]
        self._classes = _cumulative_shares([one.share for one in experiment.classes])
        self._tenants = _cumulative_shares([one.traffic or one.share for one in experiment.tenants])
        self._routers = _cumulative_shares(_router_shares(experiment.routers))
        self._drifts = create_generator(seed, "drift")
        self._last_drift_at = 0.0

    def __iter__(self) -> Iterator[ScheduledRequest]:
        length = 1000.0 * self.experiment.length
        if self.experiment.traffic.arrivals == "trace":
            yield from self._traced_requests(length)
            return
        for number, due in enumerate(self._arrivals()):
            if due >= length:
                return
            self._apply_drift(due)
            yield self._create_request(number, due, self._draw_index(self._class_stream, self._classes))

    # ------------------------------------------------------------------------------------------- when

    def _arrivals(self) -> Iterator[float]:
        """Times of arrivals, without end. Changes of the rate by a trouble count from the next one on."""
        traffic, now = self.experiment.traffic, 0.0
        together = traffic.burst if traffic.arrivals == "bursts" else 1
        most = 1.0 + (traffic.swing if traffic.arrivals == "daily" else 0.0)
        while True:
            rate = most * traffic.rate * math.prod(self.surge_factors) / together / 1000.0
            gap = 1.0 if traffic.arrivals == "regular" else float(self._gaps.exponential())
            now += gap / rate
            # by thinning: arrivals at the highest rate, of which such a part counts as the present one is
            # lower
            if most > 1.0 and self._gaps.random() * most > self._daily_factor(now):
                continue
            for _ in range(together):
                yield now

    def _daily_factor(self, now: float) -> float:
        traffic = self.experiment.traffic
        return 1.0 + traffic.swing * math.sin(2 * math.pi * now / (1000.0 * traffic.period))

    def _traced_requests(self, length: float) -> Iterator[ScheduledRequest]:
        for number, (due, klass, tenant, key) in enumerate(read_trace(self.experiment)):
            if due >= length:
                return
            yield self._create_request(number, due, klass, key, tenant)

    # ------------------------------------------------------------------------------------------- what

    def _create_request(
        self, number: int, due: float, klass: int, key: int | None = None, tenant: int | None = None
    ) -> ScheduledRequest:
        one = self.experiment.classes[klass]
        amount = self._works[klass]()
        if key is None:
            key = self._draw_key(one)
        if tenant is None:
            tenant = self._draw_index(self._tenant_stream, self._tenants) if self._tenants else 0
        leaves = math.inf
        if self.experiment.clients.leave and self._abandon_stream() < self.experiment.clients.leave:
            leaves = 1000.0 * one.deadline * (0.1 + 0.9 * self._abandon_stream())
        return ScheduledRequest(
            number,
            due,
            self._draw_index(self._router_stream, self._routers),
            klass,
            tenant,
            key,
            one.work_ms * amount,
            one.origin_ms * amount,
            one.work_ms * amount * self._hints(),
            one.size,
            leaves,
        )

    def _draw_key(self, request_class: RequestClassConfig) -> int:
        rank = self._ranks()
        if self.flash_shares and not request_class.write and self._flash_stream() < max(self.flash_shares):
            rank = len(self.key_by_rank) // 2
        return self.key_by_rank[rank]

    @staticmethod
    def _draw_index(draw: UniformStream, edges: list[float]) -> int:
        """One of several, by their shares. There are few, so that looking through them costs least."""
        drawn = draw()
        for place, edge in enumerate(edges):
            if drawn < edge:
                return place
        return len(edges) - 1

    def _apply_drift(self, now: float) -> None:
        """Keys change places in their popularity."""
        drift = self.experiment.keys.drift
        while drift and now - self._last_drift_at >= 1000.0 / drift:
            self._last_drift_at += 1000.0 / drift
            one, other = self._drifts.integers(0, len(self.key_by_rank), 2)
            self.key_by_rank[one], self.key_by_rank[other] = self.key_by_rank[other], self.key_by_rank[one]


def _key_numbers(count: int) -> list[int]:
    """A number for each rank, that tells nothing of it: a 64-bit mix (splitmix64's finalizer), never 0."""
    x = np.arange(1, count + 1, dtype=np.uint64) * np.uint64(0x9E3779B97F4A7C15)
    x ^= x >> np.uint64(30)
    x *= np.uint64(0xBF58476D1CE4E5B9)
    x ^= x >> np.uint64(27)
    x *= np.uint64(0x94D049BB133111EB)
    x ^= x >> np.uint64(31)
    return [int(value) or 1 for value in x]


def _router_shares(routers: RoutersConfig) -> list[float]:
    """Of each router, in proportion."""
    every = round(1.0 / routers.heavy) if routers.heavy else 0
    return [
        (n + 1) ** -routers.skew * (routers.heavy_by if every and n % every == 0 else 1.0)
        for n in range(routers.count)
    ]


def _cumulative_shares(shares: list[float]) -> list[float]:
    total, edges = 0.0, []
    for share in shares:
        total += share
        edges.append(total)
    return [edge / total for edge in edges]


def read_trace(experiment: Experiment) -> list[tuple[float, int, int, int]]:
    """The requests of a trace file: when due (ms), class, tenant, key. ExperimentError names each bad
    line.
    """
    path = Path(experiment.traffic.trace)
    classes = {one.name: place for place, one in enumerate(experiment.classes)}
    tenants = {one.name: place for place, one in enumerate(experiment.tenants)}
    try:
        lines = path.read_text("utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as problem:
        raise ExperimentError((f"{path}: {getattr(problem, 'strerror', None) or 'not UTF-8'}",)) from None
    found, faults = list[tuple[float, int, int, int]](), list[str]()
    for number, line in enumerate(lines, 1):
        words = [word.strip() for word in line.split(",")]
        if not line.strip() or line.startswith("#"):
            continue
        try:
            due, klass, key = 1000.0 * float(words[0]), classes[words[1]], words[2]
            tenant = tenants[words[3]] if tenants else 0
            if not 0 <= due < math.inf or (found and due < found[-1][0]):
                raise ValueError
        except (ValueError, KeyError, IndexError):
            faults.append(f"{path.name} line {number}: not `seconds,class,key[,tenant]` in the order of time")
            continue
        found.append((due, klass, tenant, hash_key(key.encode())))
    if faults or not found:
        raise ExperimentError(tuple(faults) or (f"{path.name}: holds no request",))
    return found
