"""What the processes of a live run hand over when it ends. Times are milliseconds from the run's begin."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ...decisions.api import Result
from ..measure import SecondCounts
from ..results import FaultSpan, RuleViolation

MAX_P99_LATENESS_MS = 20.0  # milliseconds that one in a hundred timers or sendings may be late ...
MAX_LATENESS_MS = 250.0  # ... and that the latest of all may be; else the run is void


@dataclass(slots=True)
class NodeAttemptRecord:
    """One delivery attempt as its node saw it."""

    request_id: str  # its Req-Id
    node: int
    node_name: str
    zone: int
    cell: int
    started_at: float  # its first byte
    drain_known_since: float | None = None  # since when its router knows that the node wants nothing new
    ended_at: float = inf  # answered, or its connection closed
    result: Result = Result.TIMEOUT


@dataclass(slots=True)
class TryRecord:
    """One try of a request as its client saw it."""

    request_id: str
    router: int
    klass: int
    deadline: float
    sent_at: float = inf  # its last byte was written
    ended_at: float = inf  # its last byte was read, or its connection ended
    # served, refused, failed; broke: no whole answer; none: nothing came; left: given up;
    outcome: str = "none"
    # crossed: its connection ended before anything came, and it was sent once more
    surplus: bool = False  # something came after the answer that nobody asked for
    reused_connection: bool = False  # it went out on a connection that was used before


@dataclass(frozen=True, slots=True)
class RequestEndRecord:
    """The end of a request, one of `measure.ENDS`."""

    number: int
    outcome: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class RouterDowntime:
    """A router that was killed: what it had in hand from `at` to `until` is owed to nobody."""

    router: int
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class Lateness:
    """How late a process of the run itself was, in milliseconds."""

    p99_ms: float = 0.0
    max_ms: float = 0.0

    @classmethod
    def from_samples(cls, samples_ms: list[float]) -> Lateness:
        """Of all that was measured."""
        ordered = sorted(samples_ms)
        return cls(ordered[int(0.99 * len(ordered))], ordered[-1]) if ordered else cls()

    def void_reason(self, subject: str) -> str:
        """Why the run is void by it; empty if it is not."""
        if self.p99_ms <= MAX_P99_LATENESS_MS and self.max_ms <= MAX_LATENESS_MS:
            return ""
        return (
            f"{subject} late: p99 {self.p99_ms:.1f} ms (bound {MAX_P99_LATENESS_MS:g}), "
            f"longest {self.max_ms:.0f} ms (bound {MAX_LATENESS_MS:g})"
        )


@dataclass(slots=True)
class StandInResults:
    """From the stand-ins."""

    attempts: list[NodeAttemptRecord]
    seconds: list[SecondCounts]
    spans: list[FaultSpan]
    violations: list[RuleViolation]
    cold_overloads: int
    loop_lateness: Lateness
    cpu_s: float
    events: int
    faults: int  # exceptions in calls of the loop


@dataclass(slots=True)
class LoadResults:
    """From the generator."""

    tries: list[TryRecord] = field(default_factory=list)
    request_ends: list[RequestEndRecord] = field(default_factory=list)
    send_lateness: Lateness = field(
        default_factory=Lateness
    )  # from when a request was due until it was taken up
    loop_lateness: Lateness = field(default_factory=Lateness)  # of its loop
    pool_waits: int = 0  # tries that found all connections to their router in use
    cpu_s: float = 0.0
    faults: int = 0
