"""The requests of clients: arrivals, classes, tenants, keys and work. They depend on the seed only."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from ...core.endpoint_directory import hash_key
from ..experiment import Experiment, ExperimentError
from ..experiment_config import RequestClassConfig, RoutersConfig
from .random_streams import UniformStream, WorkStream, ZipfStream, create_generator

COST_HINT_SPREAD = 0.3  # standard deviation of the logarithm of the error of a cost hint


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """A request of a client."""

    number: int
    due_ms: float  # from the start of the run
    router: int
    klass: int
    tenant: int
    key: int
    work_ms: float  # at a cache node, on a core of speed 1
    origin_work_ms: float
    cost_hint: float
    size: int  # bytes
    abandon_after_ms: float  # from its due time to its abandonment; inf: not abandoned


@dataclass(frozen=True, slots=True)
class TracedRequest:
    """A line of a trace file."""

    due_ms: float
    klass: int
    tenant: int
    key: int


class Workload:
    """All requests of a run, in the order in which they are due."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.experiment = experiment
        self.seed = seed
        self.surge_factors: list[float] = []  # factor on the traffic, by active fault
        self.flash_shares: list[float] = []  # share of reads for one key, by active fault
        self.key_by_rank = _key_numbers(experiment.keys.count)
        self._rank_stream = ZipfStream(seed, "keys", experiment.keys.count, experiment.keys.zipf)
        self._gap_generator = create_generator(seed, "arrivals")
        self._class_stream = UniformStream(seed, "classes")
        self._tenant_stream = UniformStream(seed, "tenants")
        self._router_stream = UniformStream(seed, "routers")
        self._flash_stream = UniformStream(seed, "flash")
        self._abandon_stream = UniformStream(seed, "leave")
        self._hint_stream = WorkStream(seed, "hints", "lognormal", COST_HINT_SPREAD)
        self._work_streams = [
            WorkStream(seed, f"work {request_class.name}", request_class.work, request_class.spread)
            for request_class in experiment.classes
        ]
        self._class_edges = _cumulative_shares([request_class.share for request_class in experiment.classes])
        self._tenant_edges = _cumulative_shares(
            [tenant.traffic or tenant.share for tenant in experiment.tenants]
        )
        self._router_edges = _cumulative_shares(_router_shares(experiment.routers))
        self._drift_generator = create_generator(seed, "drift")
        self._last_drift_at = 0.0

    def __iter__(self) -> Iterator[ScheduledRequest]:
        length_ms = 1000.0 * self.experiment.length
        if self.experiment.traffic.arrivals == "trace":
            yield from self._traced_requests(length_ms)
            return
        for number, due in enumerate(self._arrivals()):
            if due >= length_ms:
                return
            self._apply_drift(due)
            yield self._create_request(number, due, self._draw_index(self._class_stream, self._class_edges))

    # ------------------------------------------------------------------------------------------- arrivals

    def _arrivals(self) -> Iterator[float]:
        """Yield times of arrivals in milliseconds, without end.

        A fault that changes the rate takes effect from the next arrival on.
        """
        traffic = self.experiment.traffic
        now = 0.0
        burst_size = traffic.burst if traffic.arrivals == "bursts" else 1
        peak_factor = 1.0 + (traffic.swing if traffic.arrivals == "daily" else 0.0)
        while True:
            rate = peak_factor * traffic.rate * math.prod(self.surge_factors) / burst_size / 1000.0
            gap = 1.0 if traffic.arrivals == "regular" else float(self._gap_generator.exponential())
            now += gap / rate
            # thinning (Lewis and Shedler 1979): accept the present rate's share of arrivals at the peak rate
            if peak_factor > 1.0 and self._gap_generator.random() * peak_factor > self._daily_factor(now):
                continue
            for _ in range(burst_size):
                yield now

    def _daily_factor(self, now: float) -> float:
        traffic = self.experiment.traffic
        return 1.0 + traffic.swing * math.sin(2 * math.pi * now / (1000.0 * traffic.period))

    def _traced_requests(self, length_ms: float) -> Iterator[ScheduledRequest]:
        for number, traced in enumerate(read_trace(self.experiment)):
            if traced.due_ms >= length_ms:
                return
            yield self._create_request(number, traced.due_ms, traced.klass, traced)

    # ------------------------------------------------------------------------------------------- contents

    def _create_request(
        self, number: int, due: float, klass: int, traced: TracedRequest | None = None
    ) -> ScheduledRequest:
        """Draw the properties of a request. The results of a seed depend on the order of the draws."""
        request_class = self.experiment.classes[klass]
        amount = self._work_streams[klass]()
        if traced is not None:
            key = traced.key
            tenant = traced.tenant
        else:
            key = self._draw_key(request_class)
            tenant = self._draw_index(self._tenant_stream, self._tenant_edges) if self._tenant_edges else 0
        abandon_after_ms = math.inf
        if self.experiment.clients.leave and self._abandon_stream() < self.experiment.clients.leave:
            abandon_after_ms = 1000.0 * request_class.deadline * (0.1 + 0.9 * self._abandon_stream())
        return ScheduledRequest(
            number=number,
            due_ms=due,
            router=self._draw_index(self._router_stream, self._router_edges),
            klass=klass,
            tenant=tenant,
            key=key,
            work_ms=request_class.work_ms * amount,
            origin_work_ms=request_class.origin_ms * amount,
            cost_hint=request_class.work_ms * amount * self._hint_stream(),
            size=request_class.size,
            abandon_after_ms=abandon_after_ms,
        )

    def _draw_key(self, request_class: RequestClassConfig) -> int:
        rank = self._rank_stream()
        if self.flash_shares and not request_class.write and self._flash_stream() < max(self.flash_shares):
            rank = len(self.key_by_rank) // 2
        return self.key_by_rank[rank]

    @staticmethod
    def _draw_index(stream: UniformStream, edges: list[float]) -> int:
        """Draw an index by cumulative shares. There are few shares, so a linear search is cheapest."""
        draw = stream()
        for index, edge in enumerate(edges):
            if draw < edge:
                return index
        return len(edges) - 1

    def _apply_drift(self, now: float) -> None:
        """Swap the popularity of random pairs of keys at the configured rate."""
        drift = self.experiment.keys.drift
        while drift and now - self._last_drift_at >= 1000.0 / drift:
            self._last_drift_at += 1000.0 / drift
            first, second = self._drift_generator.integers(0, len(self.key_by_rank), 2)
            keys = self.key_by_rank
            keys[first], keys[second] = keys[second], keys[first]


def _key_numbers(count: int) -> list[int]:
    """Return a key for each rank: a hash of the rank by the finalizer of splitmix64, never 0."""
    x = np.arange(1, count + 1, dtype=np.uint64) * np.uint64(0x9E3779B97F4A7C15)
    x ^= x >> np.uint64(30)
    x *= np.uint64(0xBF58476D1CE4E5B9)
    x ^= x >> np.uint64(27)
    x *= np.uint64(0x94D049BB133111EB)
    x ^= x >> np.uint64(31)
    return [int(value) or 1 for value in x]


def _router_shares(routers: RoutersConfig) -> list[float]:
    """Return the relative traffic of each router."""
    heavy_interval = round(1.0 / routers.heavy) if routers.heavy else 0
    return [
        (n + 1) ** -routers.skew * (routers.heavy_by if heavy_interval and n % heavy_interval == 0 else 1.0)
        for n in range(routers.count)
    ]


def _cumulative_shares(shares: list[float]) -> list[float]:
    total = 0.0
    edges: list[float] = []
    for share in shares:
        total += share
        edges.append(total)
    return [edge / total for edge in edges]


def read_trace(experiment: Experiment) -> list[TracedRequest]:
    """Read the requests of an experiment's trace file.

    Raises:
        ExperimentError: the file cannot be read or has no request, or lines are invalid; it names each line.
    """
    path = Path(experiment.traffic.trace)
    try:
        lines = path.read_text("utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError((f"{path}: {getattr(error, 'strerror', None) or 'not UTF-8'}",)) from None
    parser = _TraceParser(experiment)
    requests: list[TracedRequest] = []
    errors: list[str] = []
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith("#"):
            continue
        try:
            request = parser.parse(line)
            if requests and request.due_ms < requests[-1].due_ms:
                raise ValueError
        except (ValueError, KeyError, IndexError):
            errors.append(f"{path.name} line {number}: not `seconds,class,key[,tenant]` in the order of time")
            continue
        requests.append(request)
    if errors or not requests:
        raise ExperimentError(tuple(errors) or (f"{path.name}: holds no request",))
    return requests


class _TraceParser:
    """Parses the lines of a trace file, with the classes and tenants of an experiment."""

    def __init__(self, experiment: Experiment) -> None:
        self._classes = {config.name: index for index, config in enumerate(experiment.classes)}
        self._tenants = {config.name: index for index, config in enumerate(experiment.tenants)}

    def parse(self, line: str) -> TracedRequest:
        """Parse one line.

        Raises:
            ValueError: the time is invalid.
            KeyError: the class or tenant is not known.
            IndexError: a field is missing.
        """
        fields = [text.strip() for text in line.split(",")]
        due_ms = 1000.0 * float(fields[0])
        if not 0 <= due_ms < math.inf:
            raise ValueError
        return TracedRequest(
            due_ms=due_ms,
            klass=self._classes[fields[1]],
            tenant=self._tenants[fields[3]] if self._tenants else 0,
            key=hash_key(fields[2].encode()),
        )
