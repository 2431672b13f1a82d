"""Defines the records of the processes of a live run. Times are milliseconds since the start of the run."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ...decisions.api import Result
from ..measure import SecondCounts
from ..results import FaultSpan, RuleViolation

MAX_P99_LATENESS_MS = 20.0  # the run is void if the p99 lateness of timers or sendings is larger
MAX_LATENESS_MS = 250.0  # the run is void if any timer or sending is later


@dataclass(slots=True)
class NodeAttemptRecord:
    """An attempt as its node observed it."""

    request_id: str  # Req-Id of the attempt
    node: int
    node_name: str
    zone: int
    cell: int
    started_at: float  # when its first byte arrived
    drain_known_since: float | None = None  # from when on the router counts as notified that the node drains
    ended_at: float = inf  # when it was answered or its connection was closed
    result: Result = Result.TIMEOUT


@dataclass(slots=True)
class TryRecord:
    """A try of a request as its client observed it."""

    request_id: str
    router: int
    klass: int
    deadline: float
    sent_at: float = inf  # when its last byte was written
    ended_at: float = inf  # when the answer was read or the connection ended
    # served, refused or failed; broke: no complete answer; none: nothing received; left: client disconnected;
    # crossed: the connection ended before a byte was received, and the client sent the try again
    outcome: str = "none"
    surplus: bool = False  # whether unexpected bytes followed the answer
    reused_connection: bool = False  # whether an earlier request used the connection


@dataclass(frozen=True, slots=True)
class RequestEndRecord:
    """The end of a request; `outcome` is a value of `ClientOutcome`."""

    number: int
    outcome: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class RouterDowntime:
    """The downtime of a killed router, which need not answer requests in flight between `at` and `until`."""

    router: int
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class Lateness:
    """The lateness of a process of the run, in milliseconds."""

    p99_ms: float = 0.0
    max_ms: float = 0.0

    @classmethod
    def from_samples(cls, samples_ms: list[float]) -> Lateness:
        """Return the p99 and maximum of samples in milliseconds."""
        ordered = sorted(samples_ms)
        return cls(ordered[int(0.99 * len(ordered))], ordered[-1]) if ordered else cls()

    def void_reason(self, subject: str) -> str:
        """Return why this lateness makes the run void; empty if it does not."""
        if self.p99_ms <= MAX_P99_LATENESS_MS and self.max_ms <= MAX_LATENESS_MS:
            return ""
        return (
            f"{subject} late: p99 {self.p99_ms:.1f} ms (bound {MAX_P99_LATENESS_MS:g}), "
            f"longest {self.max_ms:.0f} ms (bound {MAX_LATENESS_MS:g})"
        )


@dataclass(slots=True)
class StandInResults:
    """The results of the stand-ins' process."""

    attempts: list[NodeAttemptRecord]
    seconds: list[SecondCounts]
    spans: list[FaultSpan]
    violations: list[RuleViolation]
    cold_overloads: int
    loop_lateness: Lateness
    cpu_s: float
    events: int
    faults: int  # exceptions in callbacks of the event loop


@dataclass(slots=True)
class LoadResults:
    """The results of the clients' process."""

    tries: list[TryRecord] = field(default_factory=list)
    request_ends: list[RequestEndRecord] = field(default_factory=list)
    send_lateness: Lateness = field(default_factory=Lateness)  # from a request's due time to its sending
    loop_lateness: Lateness = field(default_factory=Lateness)
    pool_waits: int = 0  # number of tries that waited for a connection
    cpu_s: float = 0.0
    faults: int = 0
