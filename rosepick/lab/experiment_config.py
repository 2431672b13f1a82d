"""The tables of an experiment file, each of which is validated separately.

Times are seconds unless the name ends in `_ms` or `_us`. Field names are the keys of the file.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

PositiveFloat = Annotated[float, Field(gt=0)]
NonNegativeFloat = Annotated[float, Field(ge=0)]
Share = Annotated[float, Field(ge=0, le=1)]
PositiveInt = Annotated[int, Field(ge=1)]


class StrictModel(BaseModel):
    """The base of all tables: unknown names are errors, and numbers must be finite."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class NodeGroupConfig(StrictModel):
    """A group of equal cache nodes."""

    count: PositiveInt = 12
    zone: str = ""  # empty: distributed evenly over all zones
    cores: PositiveInt = 2
    speed: PositiveFloat = 1.0  # speed of each core; at 1 a millisecond of work takes a millisecond
    speed_spread: Share = 0.0  # each node's speed is drawn from speed * (1 - spread) to speed * (1 + spread)
    slots: PositiveInt = 16  # requests processed at the same time; they share the cores
    queue: Annotated[int, Field(ge=0)] = 32  # requests that wait for a slot; further ones are refused
    crowding: NonNegativeFloat = 0.0  # share by which each request beyond the cores slows all work
    memory: PositiveInt = 2_000_000  # bytes of values
    eviction: Literal["lru", "fifo"] = "lru"
    keep: NonNegativeFloat = 0.0  # lifetime of a value; 0: unlimited
    connections: PositiveInt = 1024  # open at the same time; further ones are refused
    handshake_ms: NonNegativeFloat = 0.5  # work for a new connection
    miss_ms: NonNegativeFloat = 0.2  # work to detect that a key is missing
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.12  # share of its capacity when it starts
    warm_after: NonNegativeFloat = 24.0  # until full capacity: seconds, or seconds of work of one core
    warm_by: Literal["time", "work"] = "time"
    falls_at: PositiveFloat = 3.0  # a cold node crashes at this ratio of work sent to its capacity
    falls_within: PositiveFloat = 3.0  # window over which `falls_at` is computed
    born: float = -1000.0  # start time; a node that started after -warm_after is cold at first
    cancels: bool = True  # whether abandoned work stops


class OriginConfig(StrictModel):
    """The origin, which holds every value; its capacity is limited, and load slows it down."""

    cores: PositiveInt = 8
    speed: PositiveFloat = 1.0
    slots: PositiveInt = 16
    queue: Annotated[int, Field(ge=0)] = 200
    crowding: NonNegativeFloat = 0.01
    connections: PositiveInt = 4096
    handshake_ms: NonNegativeFloat = 0.5
    zone: str = ""  # empty: the first zone
    cancels: bool = False  # whether abandoned work stops
    falls_when: NonNegativeFloat = 0.0  # seconds with a full queue after which the origin crashes; 0: never
    down_for: PositiveFloat = 5.0  # seconds until the origin is back after a crash


class DiscoveryConfig(StrictModel):
    """The discovery service, which sends endpoint lists to the routers."""

    delay: NonNegativeFloat = 0.5  # time until discovery learns of a change
    delay_spread: Share = 0.5  # the delay is drawn from delay * (1 - spread) to delay * (1 + spread)
    call_ms: NonNegativeFloat = 2.0  # time to handle a call
    line_ms: NonNegativeFloat = 0.01  # additional time for each endpoint in the call
    stale_by: NonNegativeFloat = 0.0  # age of the list that routers start with
    watch: bool = True
    # longest wait of a subscription in the queue, after which it fails; 0: unlimited
    patience_ms: NonNegativeFloat = 0.0


class NetworkConfig(StrictModel):
    """One-way latencies, and losses of connections."""

    within_ms: NonNegativeFloat = 0.2
    across_ms: NonNegativeFloat = 1.0
    jitter: Share = 0.2  # largest deviation as a share of the latency, drawn for each message
    breaks: Share = 0.0  # share of attempts that lose their connection after they were sent


class RequestClassConfig(StrictModel):
    """A request class."""

    name: str
    share: PositiveFloat = 1.0
    write: bool = False
    work_ms: PositiveFloat = 10.0  # mean at a cache node, on a core of speed 1
    origin_ms: PositiveFloat = 40.0  # mean at the origin
    work: Literal["fixed", "exponential", "lognormal"] = "lognormal"
    spread: NonNegativeFloat = 0.5  # standard deviation of the logarithm, for lognormal
    size: PositiveInt = 512  # mean bytes of a value
    aim: PositiveFloat = 0.6
    deadline: PositiveFloat = 1.2
    worth: NonNegativeFloat = 1.0
    effect: Literal["retryable", "dedup", "fragile"] = "retryable"
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window: NonNegativeFloat = 0.0


class TenantConfig(StrictModel):
    """A tenant, with its share of the service and of the traffic."""

    name: str
    share: PositiveFloat = 1.0  # agreed share of the service
    traffic: PositiveFloat | None = None  # share of the requests; None: the same as `share`


class KeysConfig(StrictModel):
    """The keys of requests and their popularity."""

    count: PositiveInt = 10_000
    zipf: NonNegativeFloat = 0.9  # a key's popularity is proportional to rank ** -zipf
    drift: NonNegativeFloat = 0.0  # pairs of keys that swap their ranks, per second


class ClientsConfig(StrictModel):
    """The behaviour of clients after a refusal or failure."""

    retries: Annotated[int, Field(ge=0, le=10)] = 1
    manner: Literal["obey", "ignore", "at once", "in step"] = "obey"
    # time of a retry; obey: after Retry-After, or like ignore without one; ignore: after a random delay
    # around `pause`; at once: immediately; in step: at the next whole second
    pause: NonNegativeFloat = 0.3
    leave: Share = 0.0  # share of requests that clients abandon before the deadline
    marked: bool = False  # whether retries carry the retry mark
    one_shot: Share = 0.0  # live only: share of requests on a new connection that stays open and idle


class TrafficConfig(StrictModel):
    """The requests of all routers together."""

    rate: PositiveFloat = 250.0  # requests per second
    arrivals: Literal["poisson", "regular", "bursts", "daily", "trace"] = "poisson"
    burst: Annotated[int, Field(ge=1)] = 20  # for bursts: requests that arrive together
    period: PositiveFloat = 60.0  # for daily: seconds of a day
    swing: Annotated[float, Field(ge=0, lt=1)] = 0.5  # for daily: amplitude, as a share of the rate
    trace: str = ""  # a file with a line per request: seconds, class, key, and the tenant if there are any


class RoutersConfig(StrictModel):
    """The routers, distributed evenly over the zones."""

    count: PositiveInt = 3
    skew: NonNegativeFloat = 0.0  # traffic of router n is proportional to (n + 1) ** -skew
    heavy: Share = 0.0  # share of the routers that have more traffic
    heavy_by: PositiveFloat = 4.0  # factor on the traffic of those routers
    cores: PositiveFloat = 1.0  # simulated only: cores of each router
    request_us: NonNegativeFloat = 0.0  # simulated only: CPU time of a request
    attempt_us: NonNegativeFloat = 0.0  # simulated only: CPU time of the end of an attempt
    start_ms: NonNegativeFloat = 0.0  # simulated only: CPU time of a start, before the router serves
    memory_mb: PositiveInt = 192  # live only
    sockets: PositiveInt = 1024  # live only


FaultKind = Literal[
    "slow",
    "stop",
    "restart",
    "replace",
    "shrink",
    "grow",
    "cut",
    "isolate",
    "silent",
    "stale",
    "discovery_down",
    "discovery_busy",
    "discovery_slow",
    "origin_slow",
    "origin_stop",
    "flash",
    "surge",
    "router_kill",
    "router_pause",
    "router_restart",
    "hang",
    "reset",
    "garbage",
    "drip",
    "refuse",
    "reload",
    "patch",
]


class FaultConfig(StrictModel):
    """A fault or change that begins at `at` and lasts `last` seconds (`for` in the file)."""

    kind: FaultKind
    at: NonNegativeFloat
    last: Annotated[NonNegativeFloat, Field(alias="for")] = 0.0
    nodes: Annotated[int, Field(ge=1)] | None = None  # number of affected cache nodes, drawn at random
    part: Share | None = None  # share of affected nodes, as an alternative to `nodes` or `routers`
    zone: str = ""  # restricts the fault to this zone
    zones: tuple[str, str] | None = None  # cut: the two zones that are partitioned
    by: PositiveFloat = 5.0  # factor on latency or traffic; stale, discovery_slow: additional seconds
    # flash: share of reads for one key; hang, reset, garbage, drip: share of attempts; patch, agreed: share
    # of nodes that may be out; discovery_busy: share of calls that discovery rejects
    share: Share = 0.2
    down: NonNegativeFloat = 1.0  # restart, router_restart, patch: seconds until the process starts again
    manner: Literal["alone", "one", "fixed", "agreed"] = "agreed"  # patch: order of the restarts
    most: Annotated[int, Field(ge=1)] = 1  # patch, fixed: nodes restarted at a time
    # router_kill, router_restart: number of routers, as an alternative to `part`; restarts are spread over
    # the duration of the fault, a tenth of the routers at a time
    routers: Annotated[int, Field(ge=1)] | None = None


FigureName = Literal[
    "served_share",
    "worth_share",
    "refused_share",
    "failed_share",
    "late_share",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "attempts_per_request",
    "origin_share",
    "hit_share",
    "crossings",
    "fell",
    "broken_rules",
    "origin_load",
    "node_load",
]


class RequirementConfig(StrictModel):
    """Bounds of a figure over a time span of the run."""

    what: FigureName
    least: float | None = None
    most: float | None = None
    # number of a fault, from 1: the span starts `within` seconds after its end
    after: Annotated[int, Field(ge=1)] | None = None
    within: NonNegativeFloat = 0.0
    since: NonNegativeFloat | None = None  # start of the span; None: the end of the warm-up
    until: NonNegativeFloat | None = None  # end of the span; None: the end of the run

    @model_validator(mode="after")
    def _bounded(self) -> RequirementConfig:
        if self.least is None and self.most is None:
            raise ValueError("states neither `least` nor `most`")
        if self.after is not None and self.since is not None:
            raise ValueError("states both `after` and `since`")
        return self
