"""The experiment file: a fleet, its traffic, a timeline of troubles, and what must hold; TOML, checked whole.

Times in the file are seconds unless the name ends in `_ms`; the simulator's own clock counts milliseconds.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from math import ceil
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

PositiveFloat = Annotated[float, Field(gt=0)]
NonNegativeFloat = Annotated[float, Field(ge=0)]
Share = Annotated[float, Field(ge=0, le=1)]
PositiveInt = Annotated[int, Field(ge=1)]


class StrictModel(BaseModel):
    """A part of the file: names that are not known are faults, and numbers must be finite."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class NodeGroupConfig(StrictModel):
    """A group of cache nodes that are alike."""

    count: PositiveInt = 12
    zone: str = ""  # empty: spread evenly over all zones
    cores: PositiveInt = 2
    speed: PositiveFloat = 1.0  # of each core; 1 does a millisecond of work in a millisecond
    speed_spread: Share = 0.0  # each node's speed is drawn from speed * (1 - spread) to speed * (1 + spread)
    slots: PositiveInt = 16  # requests in work at one time; they share the cores
    queue: Annotated[int, Field(ge=0)] = 32  # requests that wait for a slot; beyond that they are turned away
    crowding: NonNegativeFloat = 0.0  # each request in work beyond the cores makes all work so much longer
    memory: PositiveInt = 2_000_000  # bytes of values
    eviction: Literal["lru", "fifo"] = "lru"
    keep: NonNegativeFloat = 0.0  # a value is forgotten after so long; 0: never
    connections: PositiveInt = 1024  # that are open at one time; beyond that they are refused
    handshake_ms: NonNegativeFloat = 0.5  # of work, for a new connection
    miss_ms: NonNegativeFloat = 0.2  # of work, to find that a key is not there
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.12  # of its capacity, when it starts
    warm_after: NonNegativeFloat = 24.0  # seconds, or seconds of work of one core, until it has all of it
    warm_by: Literal["time", "work"] = "time"
    falls_at: PositiveFloat = 3.0  # work sent to a cold node, over what it can do, at which it falls over ...
    falls_within: PositiveFloat = 3.0  # ... within so long
    born: float = -1000.0  # when it started; after -warm_after it is cold at the begin
    cancels: bool = True  # whether work that nobody waits for any more stops


class OriginConfig(StrictModel):
    """What holds every value: finite, slower under load."""

    cores: PositiveInt = 8
    speed: PositiveFloat = 1.0
    slots: PositiveInt = 16
    queue: Annotated[int, Field(ge=0)] = 200
    crowding: NonNegativeFloat = 0.01
    connections: PositiveInt = 4096
    handshake_ms: NonNegativeFloat = 0.5
    zone: str = ""  # empty: the first one
    cancels: bool = False  # it works on for nobody
    falls_when: NonNegativeFloat = 0.0  # seconds with a full queue after which it falls over; 0: never
    down_for: PositiveFloat = 5.0  # seconds that it then needs to come back


class DiscoveryConfig(StrictModel):
    """Who tells the routers which nodes there are."""

    delay: NonNegativeFloat = 0.5  # until a change is known to it
    delay_spread: Share = 0.5
    call_ms: NonNegativeFloat = 2.0  # of its time for a call
    line_ms: NonNegativeFloat = 0.01  # and for each line of the list that it tells
    stale_by: NonNegativeFloat = 0.0  # the list that routers begin with is so old
    watch: bool = True
    # a call that would have to wait longer for its turn fails; 0: none does
    patience_ms: NonNegativeFloat = 0.0


class NetworkConfig(StrictModel):
    """Latencies, one way."""

    within_ms: NonNegativeFloat = 0.2
    across_ms: NonNegativeFloat = 1.0
    jitter: Share = 0.2  # of the latency, drawn for each message
    breaks: Share = 0.0  # of all attempts lose their connection after they were sent


class RequestClassConfig(StrictModel):
    """A class of requests."""

    name: str
    share: PositiveFloat = 1.0
    write: bool = False
    work_ms: PositiveFloat = 10.0  # mean at a cache node, on a core of speed 1
    origin_ms: PositiveFloat = 40.0  # mean at the origin
    work: Literal["fixed", "exponential", "lognormal"] = "lognormal"
    spread: NonNegativeFloat = 0.5  # of the logarithm, where lognormal
    size: PositiveInt = 512  # bytes of a value, mean
    aim: PositiveFloat = 0.6
    deadline: PositiveFloat = 1.2
    worth: NonNegativeFloat = 1.0
    effect: Literal["retryable", "dedup", "fragile"] = "retryable"
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window: NonNegativeFloat = 0.0


class TenantConfig(StrictModel):
    """Who shares the service."""

    name: str
    share: PositiveFloat = 1.0  # of the service, as agreed
    traffic: PositiveFloat | None = None  # of the requests; the same if it is not stated


class KeysConfig(StrictModel):
    """What requests are about."""

    count: PositiveInt = 10_000
    zipf: NonNegativeFloat = 0.9  # the key of rank r is asked for in proportion to r ** -zipf
    drift: NonNegativeFloat = 0.0  # so many ranks change places in a second


class ClientsConfig(StrictModel):
    """How clients behave on an answer that they did not want."""

    retries: Annotated[int, Field(ge=0, le=10)] = 1
    manner: Literal["obey", "ignore", "at once", "in step"] = "obey"
    # obey: after Retry-After, if there is one, else like ignore; ignore: after `pause`, drawn; at once; in
    # step: at the next whole second
    pause: NonNegativeFloat = 0.3
    leave: Share = 0.0  # of the requests are given up by their client before their time is over
    marked: bool = False  # repeats say that they are
    one_shot: Share = 0.0  # live only: such a part comes on a new connection that is held and not used again


class TrafficConfig(StrictModel):
    """Requests of all routers together."""

    rate: PositiveFloat = 250.0  # a second
    arrivals: Literal["poisson", "regular", "bursts", "daily", "trace"] = "poisson"
    burst: Annotated[int, Field(ge=1)] = 20  # requests that come together, where bursts
    period: PositiveFloat = 60.0  # seconds of a day, where daily ...
    swing: Annotated[float, Field(ge=0, lt=1)] = 0.5  # ... in which the rate goes up and down by this part
    trace: str = ""  # a file with a line a request: seconds, class, key, and a tenant if there are any


class RoutersConfig(StrictModel):
    """The routers, spread evenly over the zones."""

    count: PositiveInt = 3
    skew: NonNegativeFloat = 0.0  # router n has traffic in proportion to (n + 1) ** -skew
    heavy: Share = 0.0  # so many of them, spread evenly, have ...
    heavy_by: PositiveFloat = 4.0  # ... so many times the traffic of the others
    cores: PositiveFloat = 1.0  # of each; simulated only, like the next four
    request_us: NonNegativeFloat = 0.0  # processor time of a request ...
    attempt_us: NonNegativeFloat = 0.0  # ... and of the end of an attempt
    start_ms: NonNegativeFloat = 0.0  # and of a start, before the first client is heard
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
    "origin_slow",
    "origin_stop",
    "flash",
    "surge",
    "router_kill",
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
    """Something that goes wrong, or changes, from `at` for so long."""

    kind: FaultKind
    at: NonNegativeFloat
    last: Annotated[NonNegativeFloat, Field(alias="for")] = 0.0
    nodes: Annotated[int, Field(ge=1)] | None = None  # so many cache nodes, drawn ...
    part: Share | None = None  # ... or such a part of them
    zone: str = ""  # only in this zone
    zones: tuple[str, str] | None = None  # cut: between these two
    by: PositiveFloat = 5.0  # so many times as slow, or as much traffic; stale: so many seconds more
    share: Share = 0.2  # flash: of the reads are for one key; hang, reset, garbage, drip: of the attempts;
    # patch, agreed: of the nodes may be out
    down: NonNegativeFloat = 1.0  # restart, router_restart: seconds until it is back
    manner: Literal["alone", "one", "fixed", "agreed"] = "agreed"  # patch: who goes when
    most: Annotated[int, Field(ge=1)] = 1  # patch, fixed: so many at a time
    routers: Annotated[int, Field(ge=1)] | None = None  # router_kill, router_restart: so many,
    # or a `part` of them; restarts go on over the time of the trouble, a tenth at a time


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
    """Something that must hold over a span of the run."""

    what: FigureName
    least: float | None = None
    most: float | None = None
    after: Annotated[int, Field(ge=1)] | None = None  # number of a trouble, from 1: from its end on ...
    within: NonNegativeFloat = 0.0  # ... and so long after that
    since: NonNegativeFloat | None = None
    until: NonNegativeFloat | None = None

    @model_validator(mode="after")
    def _bounded(self) -> RequirementConfig:
        if self.least is None and self.most is None:
            raise ValueError("states neither `least` nor `most`")
        if self.after is not None and self.since is not None:
            raise ValueError("states both `after` and `since`")
        return self


class Experiment(StrictModel):
    """All of one file."""

    name: str
    seed: Annotated[int, Field(ge=0)] = 1
    length: PositiveFloat = 60.0  # seconds in which requests come
    warm_up: NonNegativeFloat = 5.0  # seconds at the begin that are not measured
    mode: Literal["aside", "through"] = "aside"
    zones: Annotated[tuple[str, ...], Field(min_length=1)] = ("east",)
    fleet: Annotated[tuple[NodeGroupConfig, ...], Field(min_length=1)] = (NodeGroupConfig(),)
    origin: OriginConfig = OriginConfig()
    discovery: DiscoveryConfig = DiscoveryConfig()
    network: NetworkConfig = NetworkConfig()
    classes: Annotated[tuple[RequestClassConfig, ...], Field(min_length=1)] = (
        RequestClassConfig(name="read"),
    )
    tenants: tuple[TenantConfig, ...] = ()
    keys: KeysConfig = KeysConfig()
    clients: ClientsConfig = ClientsConfig()
    traffic: TrafficConfig = TrafficConfig()
    routers: RoutersConfig = RoutersConfig()
    policy: str = "rosepick"
    troubles: tuple[FaultConfig, ...] = ()
    must: tuple[RequirementConfig, ...] = ()
    max_attempts: Annotated[int, Field(ge=1, le=5)] = 5
    max_retry_after: NonNegativeFloat = 2.0
    # of a node, after a router was told that it drains or is gone
    stop_sending_within: NonNegativeFloat = 0.75

    def requirement_span(self, must: RequirementConfig) -> tuple[float, float]:
        """From when to when something must hold, in seconds from the begin."""
        since = self.warm_up if must.since is None else must.since
        if must.after is not None:
            trouble = self.troubles[must.after - 1]
            since = trouble.at + trouble.last + must.within
        return since, self.length if must.until is None else must.until

    def find_errors(self) -> Iterator[str]:
        """What is wrong between parts that are right by themselves."""
        known = set(self.zones)
        zoned = [(f"fleet[{n}]", nodes.zone) for n, nodes in enumerate(self.fleet)]
        zoned += [(f"troubles[{n}]", trouble.zone) for n, trouble in enumerate(self.troubles)]
        for place, zone in (*zoned, ("origin", self.origin.zone)):
            if zone and zone not in known:
                yield f"{place}.zone {zone!r} is not one of zones"
        for number, trouble in enumerate(self.troubles):
            yield from self._find_fault_errors(number, trouble, known)
        for number, must in enumerate(self.must):
            if must.after is not None and must.after > len(self.troubles):
                yield f"must[{number}].after: there is no trouble {must.after}"
                continue
            since, until = self.requirement_span(must)
            until = min(until, self.length)
            if ceil(since) >= until:
                yield f"must[{number}]: no whole second from {since:g} to {until:g} s to judge"
        for name, names in (("classes", self.classes), ("tenants", self.tenants)):
            if len({one.name for one in names}) < len(names):
                yield f"{name}: a name comes twice"
        if (self.traffic.arrivals == "trace") != bool(self.traffic.trace):
            yield 'traffic.trace goes with arrivals = "trace"'
        if self.warm_up >= self.length:
            yield "warm_up is not shorter than length"

    def _find_fault_errors(self, number: int, fault: FaultConfig, known: set[str]) -> Iterator[str]:
        place = f"troubles[{number}]"
        if fault.at >= self.length:
            yield f"{place}.at is not within length"
        if fault.kind == "isolate" and not fault.zone:
            yield f"{place}.zone: isolate cuts off one zone"
        if fault.kind == "cut" and fault.zones is None:
            yield f"{place}.zones: a cut is between two zones"
        if fault.zones is not None and not set(fault.zones) <= known:
            yield f"{place}.zones {fault.zones!r} are not all in zones"
        if fault.part is not None and (fault.nodes, fault.routers) != (None, None):
            yield f"{place}: states both `nodes` or `routers` and `part`"


class ExperimentError(ValueError):
    """A file that cannot be used; one line a fault, each with its place."""

    def __init__(self, errors: tuple[str, ...]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def parse_experiment(text: str, source_name: str, changes: dict[str, Any] | None = None) -> Experiment:
    """An experiment from the text of a file, with `changes` by dotted name. ExperimentError names all
    faults.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as problem:
        raise ExperimentError((f"{source_name}: {problem}",)) from None
    for name, value in (changes or {}).items():
        _apply_change(document, name, value, source_name)
    faults: list[str] = []
    taken_out: set[tuple[int | str, ...]] = set()
    while True:
        try:
            found = Experiment.model_validate(document)
            break
        except ValidationError as problem:
            errors = [error for error in problem.errors() if error["loc"] not in taken_out]
        wheres = {error["loc"] for error in errors}
        # a list that is too short as its parts are wrong is no fault of its own
        errors = [
            error for error in errors if not any(_is_nested_in(where, error["loc"]) for where in wheres)
        ]
        faults += [_format_error(source_name, error) for error in errors]
        # go on without what is wrong, so that faults between the other parts show too
        if not any([_remove_paths(document, error["loc"]) for error in errors]):
            raise ExperimentError(tuple(faults))
        taken_out |= wheres
    faults += [f"{source_name}: {fault}" for fault in found.find_errors()]
    if faults:
        raise ExperimentError(tuple(faults))
    return found


def _is_nested_in(where: tuple[int | str, ...], above: tuple[int | str, ...]) -> bool:
    return len(where) > len(above) and where[: len(above)] == above


def _remove_paths(document: dict[str, Any], where: tuple[int | str, ...]) -> bool:
    """Take a value out of a document; whether it was there."""
    at: Any = document
    try:
        for step in where[:-1]:
            at = at[step]
        del at[where[-1]]
    except (KeyError, IndexError, TypeError):
        return False
    return True


def load_experiment(path: Path, changes: dict[str, Any] | None = None) -> Experiment:
    """An experiment from a file. ExperimentError if it cannot be used."""
    try:
        return parse_experiment(path.read_text("utf-8"), path.name, changes)
    except OSError as problem:
        raise ExperimentError((f"{path}: {problem.strerror or problem}",)) from None
    except UnicodeDecodeError:
        raise ExperimentError((f"{path.name}: not UTF-8",)) from None


def _apply_change(document: dict[str, Any], name: str, value: Any, source_name: str) -> None:
    """Set one value by its dotted name, such as `traffic.rate` or `troubles.0.by`."""
    *way, last = name.split(".")
    at: Any = document
    try:
        for step in way:
            at = at[int(step)] if isinstance(at, list) else at.setdefault(step, {})
        if isinstance(at, list):
            at[int(last)] = value
        else:
            at[last] = value
    except (ValueError, IndexError, TypeError, AttributeError):
        raise ExperimentError((f"{source_name}: {name} names nothing that can be set",)) from None


def _format_error(source_name: str, error: Any) -> str:
    where = ""
    for step in error["loc"]:
        where += f"[{step}]" if isinstance(step, int) else f".{step}" if where else str(step)
    message = str(error["msg"]).removeprefix("Value error, ")
    return f"{source_name}: {where}: {message}" if where else f"{source_name}: {message}"
