"""The interface of the decision module: settings and events in, actions out.

A program that embeds the library makes one `rosepick.decisions.decide.Router` per router instance and calls
`router.handle(now, event)` for every event. Each call returns the actions to carry out, in order. Times are
milliseconds on one monotonic clock. Nothing here depends on a wire format.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from math import isfinite
from typing import TypeAlias


class Effect(Enum):
    """What a second execution of a request does."""

    RETRYABLE = "retryable"  # it has no further effect: a retry is harmless
    DEDUP = "dedup"  # a group of endpoints drops it for `repeat_window_ms`
    FRAGILE = "fragile"  # it has a second effect: a request that may have run is never retried


class Group(Enum):
    """The group of endpoints that drops repeats of a `DEDUP` request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Mode(Enum):
    """Which side fetches from the origin on a cache miss."""

    ASIDE = "aside"  # the router
    THROUGH = "through"  # the cache node itself


class Status(IntEnum):
    """The state of an endpoint according to the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateScope(Enum):
    """What an `EndpointUpdate` carries."""

    CACHED = "cached"  # the whole list as last known, which may be out of date
    FULL = "full"  # the whole list
    DELTA = "delta"  # changed entries only
    FAILED = "failed"  # a call failed or the subscription broke; the last list stays valid


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    BUSY = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "moot"
    MISS = "miss"
    CONNECTION_LIMIT = "no_place"  # a new connection was refused; that says nothing about the load
    INVALID = "unfit"  # the request itself was rejected, as it would be by any endpoint


class EndReason(Enum):
    """The reason that a request was not served."""

    UNSPECIFIED = ""
    OVERLOADED = "crowded"  # this router has too much in flight
    TOO_SLOW = "slow"  # no response is expected in time
    NO_ENDPOINT = "nobody"  # no endpoint can take it
    QUEUE_TIMEOUT = "queue"  # it was queued for the origin until too late
    NO_ORIGIN = "no_origin"  # the endpoint list has none
    NOT_PERMITTED = "rules"  # it may not be sent (again)
    BUDGET = "budget"  # an attempt failed, and the retry budget is spent
    NO_TIME = "no_time"  # an attempt failed, and no time is left for another
    BODY_CONSUMED = "spent"  # an attempt failed, and its body is no longer held
    DEADLINE = "deadline"
    INVALID = "unfit"  # the request itself was rejected
    READ_LATE = "read_late"  # it had waited too long before it was read
    NO_MEMORY = "no_memory"  # the memory for requests is used up


NEVER_RAN = frozenset(
    {
        Result.BUSY,
        Result.CONNECT_FAILED,
        Result.NEVER_SENT,
        Result.MISS,
        Result.INVALID,
        Result.CONNECTION_LIMIT,
    }
)
"""The results that prove that an attempt had no effect."""


def _require_in_range(name: str, value: float, low: float, high: float = float("inf")) -> None:
    if not isfinite(value) or not low <= value <= high:
        raise ValueError(f"setting {name} is {value!r}; it must be a number from {low:g} to {high:g}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its objective, deadline, value (`worth`) and effect.

    `late_share` is the share of the value that a response has between objective and deadline.

    Raises:
        ValueError: a value is out of range; the message names the setting.
    """

    objective_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.RETRYABLE
    group: Group = Group.ALL
    repeat_window_ms: float = 0.0
    streaming: bool = False

    def __post_init__(self) -> None:
        _require_in_range("request_classes[].objective", self.objective_ms, 0.001)
        _require_in_range("request_classes[].deadline", self.deadline_ms, 0.001)
        _require_in_range("request_classes[].worth", self.worth, 0.0)
        _require_in_range("request_classes[].late_share", self.late_share, 0.0, 1.0)
        _require_in_range("request_classes[].repeat_window", self.repeat_window_ms, 0.0)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's share of the traffic, from 0 to 1, and quota."""

    share: float = 0.0
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require_in_range("tenants[].share", self.share, 0.0, 1.0)
        _require_in_range("tenants[].quota_per_s", self.quota_per_s, 0.0)


@dataclass(frozen=True, slots=True)
class RoutingRules:
    """The parameters of the rules that every decision follows; times in ms.

    Raises:
        ValueError: a value is out of range; the message names the setting.
    """

    stop_sending_within: float = 1000.0
    grace_to_answer: float = 20.0
    ask_every: float = 10000.0
    cold_from: float = 0.1
    warm_within: float = 30000.0
    tip_multiple: float = 3.0
    fall: float = 3000.0

    def __post_init__(self) -> None:
        _require_in_range("rules.stop_sending_within", self.stop_sending_within, 0.0)
        _require_in_range("rules.grace_to_answer", self.grace_to_answer, 0.0)
        _require_in_range("rules.ask_every", self.ask_every, 1.0)
        _require_in_range("rules.cold_from", self.cold_from, 0.0, 1.0)
        _require_in_range("rules.warm_within", self.warm_within, 0.0)
        _require_in_range("rules.tip_multiple", self.tip_multiple, 0.0)
        _require_in_range("rules.fall", self.fall, 0.0)


@dataclass(frozen=True, slots=True)
class RouterLimits:
    """The limits of what a router may do.

    Raises:
        ValueError: a value is out of range; the message names the setting.
    """

    max_attempts: int = 3
    allow_hedging: bool = False
    allow_cancel: bool = False
    allow_probes: bool = False
    allow_peer_messages: bool = False
    max_retry_after_ms: float = 0.0

    def __post_init__(self) -> None:
        _require_in_range("limits.max_attempts", self.max_attempts, 1)
        _require_in_range("limits.max_retry_after", self.max_retry_after_ms, 0.0)


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """The configuration of a router.

    Raises:
        ValueError: a value is missing or out of range; the message names the setting.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    rules: RoutingRules = field(default_factory=RoutingRules)
    limits: RouterLimits = field(default_factory=RouterLimits)
    mode: Mode = Mode.THROUGH
    origin_kind: int = -1
    origin_fall_multiple: float = 0.0
    zone: int = 0
    subscribe: bool = False
    pushed: bool = False  # whether lists are pushed as soon as discovery has them, also with `subscribe`
    sized_weights: bool = False
    report_fields: tuple[str, ...] = ()
    routers: int = 1
    position: int = 0
    over_share_worth: float = 1.0
    probe_cost: float = 0.0
    cross_zone_cost: float = 0.0
    max_tracked_keys: int = 20_000  # keys whose popularity is tracked at one time

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("setting request_classes is empty; a router needs at least one class")
        if len(self.report_fields) > 4:
            raise ValueError("setting report.fields names more than four values")
        _require_in_range("zone", self.zone, 0)
        _require_in_range("balancers", self.routers, 1)
        _require_in_range("position", self.position, 0)
        _require_in_range("over_share_worth", self.over_share_worth, 0.0)
        _require_in_range("domain.origin_fall_multiple", self.origin_fall_multiple, 0.0)
        _require_in_range("costs.probe", self.probe_cost, 0.0)
        _require_in_range("max_tracked_keys", self.max_tracked_keys, 1)
        _require_in_range("costs.cross_zone", self.cross_zone_cost, 0.0)


# ---------------------------------------------------------------------------------------------- events


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list; `started_at` is on the router's clock in ms, 0 if long ago."""

    endpoint_id: int
    status: Status = Status.READY
    started_at: float = 0.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list from discovery."""

    scope: UpdateScope
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0
    is_continued: bool = False  # whether it continues the change of the update before
    is_late: bool = False  # whether it answers a call that had counted as failed


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request has arrived; one final answer is due within `time_left_ms`."""

    ref: int
    class_index: int
    time_left_ms: float
    key: int = 0
    tenant_index: int = 0
    is_write: bool = False
    is_retry: bool = False
    cost_hint: float | None = None
    is_partial: bool = False  # the last byte is missing; `RequestCompleted` has the final `time_left_ms`


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The last byte of a partial request has arrived.

    Its time counts from now on, and so does that of an attempt in flight.
    """

    ref: int
    time_left_ms: float


@dataclass(frozen=True, slots=True)
class FirstByte:
    """A streamed response has begun; it is the final answer of its request."""

    ref: int
    attempt: int
    endpoint_id: int
    latency_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; this is reported once."""

    ref: int
    attempt: int
    endpoint_id: int
    result: Result
    closes_request: bool = False
    cache_status: int = 0
    latency_ms: float = 0.0
    load_report: tuple[float, ...] = ()
    malformed: bool = False  # with RESET: the response could not be parsed; it is still a liveness signal
    body_consumed: bool = False  # the request body is no longer held, so no retry is possible


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client has disconnected; its request gets no final answer."""

    ref: int


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """New settings apply to requests that arrive from now on.

    The indexes of classes and tenants keep their meaning; mode, zone, origin and discovery do not change.
    """

    settings: RouterSettings


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """A probe has ended."""

    endpoint_id: int
    result: Result
    latency_ms: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another router of the fleet has arrived."""

    peer_id: int
    payload: bytes = b""


Event: TypeAlias = (
    EndpointUpdate
    | RequestArrived
    | RequestCompleted
    | FirstByte
    | AttemptEnded
    | ClientDisconnected
    | Reconfigured
    | TimerFired
    | ProbeResult
    | PeerMessage
)

# ---------------------------------------------------------------------------------------------- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered from 0."""

    ref: int
    endpoint_id: int
    stop_at: float = 0.0
    begin_by: float = float("inf")  # the latest time of its first byte, as a connect may take long


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request as its final answer; a retry is harmless."""

    ref: int
    retry_after_ms: float = 0.0
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail a request as its final answer; it may have had an effect."""

    ref: int
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel one attempt."""

    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event at `due_at` or later.

    A timer with a `ref` concerns that request only, and need not fire once the request has ended.
    """

    token: int
    due_at: float
    ref: int = 0


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe the health of an endpoint."""

    endpoint_id: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the endpoint list, or unsubscribe."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log for operators."""

    text: str


Action: TypeAlias = Send | Refuse | Fail | Cancel | SetTimer | Probe | Watch | Log
