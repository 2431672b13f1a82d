"""The interface of rosepick: settings and events in, actions out.

A program that embeds the library makes one `rosepick.decide.Router` per router instance and calls
`router.handle(now, event)` for everything that happens. Each call returns the actions to carry out, in order.
Times are milliseconds on one clock that only goes forward. Nothing here knows a wire format.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from math import isfinite
from typing import TypeAlias


class Effect(Enum):
    """What a second execution of a request would do."""

    RETRYABLE = "retryable"  # harmless
    DEDUP = "dedup"  # dropped by a group of servers for a window
    FRAGILE = "fragile"  # a second effect: never repeat what may have run


class Group(Enum):
    """Which cache servers drop repeats of a `dedup` request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Mode(Enum):
    """Who fetches what a cache server lacks."""

    ASIDE = "aside"  # the router, from the origin member
    THROUGH = "through"  # the cache server itself


class Status(IntEnum):
    """State of a member as the server list tells it."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateScope(Enum):
    """What a `Members` event carries."""

    CACHED = "cached"  # the whole list as last held, perhaps old
    FULL = "full"  # the whole list
    DELTA = "delta"  # changed entries only
    FAILED = "failed"  # a call failed or the subscription broke; the held list stands


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
    CONNECTION_LIMIT = "no_place"  # a new connection was turned away: says nothing of the load
    INVALID = "unfit"  # the request itself was turned away: it would be anywhere


class EndReason(Enum):
    """Why a request was not served."""

    UNSPECIFIED = ""
    OVERLOADED = "crowded"  # this router has too much in hand
    TOO_SLOW = "slow"  # an answer in time is not expected
    NO_ENDPOINT = "nobody"  # no server can take it
    QUEUE_TIMEOUT = "queue"  # it waited for its turn at the origin until too late
    NO_ORIGIN = "no_origin"  # the list has none
    NOT_PERMITTED = "rules"  # it may not be sent (again)
    BUDGET = "budget"  # an attempt did not serve it, and no retry is left ...
    NO_TIME = "no_time"  # ... or no time for one
    BODY_CONSUMED = "spent"  # its body cannot be sent again
    DEADLINE = "deadline"
    INVALID = "unfit"  # the request itself was turned away


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
"""Results which prove that the attempt had no effect."""


def _require_in_range(name: str, value: float, low: float, high: float = float("inf")) -> None:
    if not isfinite(value) or not low <= value <= high:
        raise ValueError(f"setting {name} is {value!r}; it must be a number from {low:g} to {high:g}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What is known of a class of requests."""

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
    """A tenant's part of the service."""

    share: float = 0.0
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require_in_range("tenants[].share", self.share, 0.0, 1.0)
        _require_in_range("tenants[].quota_per_s", self.quota_per_s, 0.0)


@dataclass(frozen=True, slots=True)
class RoutingRules:
    """Figures of the rules every decision keeps."""

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
    """What the site allows a router to do."""

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
    """All that a router is given at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    rules: RoutingRules = field(default_factory=RoutingRules)
    limits: RouterLimits = field(default_factory=RouterLimits)
    mode: Mode = Mode.THROUGH
    origin_kind: int = -1
    origin_fall_multiple: float = 0.0
    zone: int = 0
    subscribe: bool = False
    pushed: bool = False  # subscribed to what is pushed all the same: told as soon as discovery has it
    sized_weights: bool = False
    report_fields: tuple[str, ...] = ()
    routers: int = 1
    position: int = 0
    over_share_worth: float = 1.0
    probe_cost: float = 0.0
    cross_zone_cost: float = 0.0

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
        _require_in_range("costs.cross_zone", self.cross_zone_cost, 0.0)


# ---------------------------------------------------------------------------------------------- events


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the server list."""

    endpoint_id: int
    status: Status = Status.READY
    started_at: float = 0.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """What discovery tells about the servers."""

    scope: UpdateScope
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; the router now owes one final answer within `time_left_ms`."""

    ref: int
    class_index: int
    time_left_ms: float
    key: int = 0
    tenant_index: int = 0
    is_write: bool = False
    is_retry: bool = False
    cost_hint: float | None = None
    is_partial: bool = False  # its last byte has not come: `time_left` is provisional, `Whole` tells it


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The last byte of a request that was coming is there; its time counts from here. An attempt under way
    begins to run now.
    """

    ref: int
    time_left_ms: float


@dataclass(frozen=True, slots=True)
class FirstByte:
    """A streamed answer has begun; the request belongs to the client from here on."""

    ref: int
    attempt: int
    endpoint_id: int
    latency_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one result of an attempt."""

    ref: int
    attempt: int
    endpoint_id: int
    result: Result
    closes_request: bool = False
    cache_status: int = 0
    latency_ms: float = 0.0
    load_report: tuple[float, ...] = ()
    malformed: bool = False  # with RESET: an answer came, so the server lives, but it was of no use
    body_consumed: bool = False  # what was sent is not held any more: it cannot be sent again


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has left; nothing more is owed."""

    ref: int


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """New settings, for what comes from here on. Places of classes and tenants mean what they meant before;
    mode, zone, origin and the way of discovery stay.
    """

    settings: RouterSettings


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier has fallen due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of one probe."""

    endpoint_id: int
    result: Result
    latency_ms: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another router of the tier."""

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
    """Start an attempt; attempts of a request count up from 0."""

    ref: int
    endpoint_id: int
    stop_at: float = 0.0
    begin_by: float = float("inf")  # not to be begun later, as when its connection was long in coming up


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, trying again is harmless."""

    ref: int
    retry_after_ms: float = 0.0
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    ref: int
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `Timer` event at or after a time."""

    token: int
    due_at: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Query a server's health."""

    endpoint_id: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the server list."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class Log:
    """A line for staff."""

    text: str


Action: TypeAlias = Send | Refuse | Fail | Cancel | SetTimer | Probe | Watch | Log
