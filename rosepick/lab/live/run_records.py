"""What the processes of a live run record. Times are milliseconds since the run's begin."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ...decisions.api import Result
from ..measure import SecondCounts
from ..results import FaultSpan, RuleViolation

MAX_P99_LATENESS_MS = 20.0  # of timers and sendings; beyond it the run is void
MAX_LATENESS_MS = 250.0  # of the latest one; beyond it the run is void


@dataclass(slots=True)
class NodeAttemptRecord:
    """One attempt as its node observed it."""

    request_id: str  # its Req-Id
    node: int
    node_name: str
    zone: int
    cell: int
    started_at: float  # when its first byte arrived
    drain_known_since: float | None = None  # since when its router knows that the node drains
    ended_at: float = inf  # when it was answered or its connection closed
    result: Result = Result.TIMEOUT


@dataclass(slots=True)
class TryRecord:
    """One try of a request as its client observed it."""

    request_id: str
    router: int
    klass: int
    deadline: float
    sent_at: float = inf  # when its last byte was written
    ended_at: float = inf  # when the answer was read or its connection ended
    # served, refused or failed; broke: no complete answer; none: nothing received; left: abandoned;
    # crossed: its connection ended before anything was received, and it was sent once more
    outcome: str = "none"
    surplus: bool = False  # unexpected bytes followed the answer
    reused_connection: bool = False  # it was sent on a connection that had been used before


@dataclass(frozen=True, slots=True)
class RequestEndRecord:
    """The end of a request; the outcome is a value of `ClientOutcome`."""

    number: int
    outcome: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class RouterDowntime:
    """A killed router, which owes no answer to requests that it had between `at` and `until`."""

    router: int
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class Lateness:
    """How late a process of the run was, in milliseconds."""

    p99_ms: float = 0.0
    max_ms: float = 0.0

    @classmethod
    def from_samples(cls, samples_ms: list[float]) -> Lateness:
        """Return the lateness of some samples."""
        ordered = sorted(samples_ms)
        return cls(ordered[int(0.99 * len(ordered))], ordered[-1]) if ordered else cls()

    def void_reason(self, subject: str) -> str:
        """Return why the run is void by this lateness; empty if it is not."""
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
    pool_waits: int = 0  # tries that had to wait for a connection
    cpu_s: float = 0.0
    faults: int = 0
