"""What the processes of a live run hand over when it ends. Times are milliseconds from the run's begin."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ...decisions.api import Result
from ..measure import Second
from ..results import Broken, Span

MOST_LATE = 20.0  # milliseconds that one in a hundred timers or sendings may be late ...
MOST_PAUSE = 250.0  # ... and that the latest of all may be; else the run is void


@dataclass(slots=True)
class Attempt:
    """One delivery attempt as its node saw it."""

    request: str  # its Req-Id
    node: int
    name: str
    zone: int
    cell: int
    begin: float  # its first byte
    told: float | None = None  # since when its router knows that the node wants nothing new
    end: float = inf  # answered, or its connection closed
    result: Result = Result.TIMEOUT


@dataclass(slots=True)
class Tried:
    """One try of a request as its client saw it."""

    request: str
    router: int
    klass: int
    deadline: float
    sent: float = inf  # its last byte was written
    ended: float = inf  # its last byte was read, or its connection ended
    how: str = "none"  # served, refused, failed; broke: no whole answer; none: nothing came; left: given up;
    # crossed: its connection ended before anything came, and it was sent once more
    again: bool = False  # something came after the answer that nobody asked for
    kept: bool = False  # it went out on a connection that was used before


@dataclass(frozen=True, slots=True)
class Ended:
    """The end of a request, one of `measure.ENDS`."""

    number: int
    how: str
    took: float


@dataclass(frozen=True, slots=True)
class Down:
    """A router that was killed: what it had in hand from `at` to `until` is owed to nobody."""

    router: int
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class Lateness:
    """How late a process of the run itself was, in milliseconds."""

    p99: float = 0.0
    longest: float = 0.0

    @classmethod
    def of(cls, late: list[float]) -> Lateness:
        """Of all that was measured."""
        ordered = sorted(late)
        return cls(ordered[int(0.99 * len(ordered))], ordered[-1]) if ordered else cls()

    def fault(self, who: str) -> str:
        """Why the run is void by it; empty if it is not."""
        if self.p99 <= MOST_LATE and self.longest <= MOST_PAUSE:
            return ""
        return (
            f"{who} late: p99 {self.p99:.1f} ms (bound {MOST_LATE:g}), "
            f"longest {self.longest:.0f} ms (bound {MOST_PAUSE:g})"
        )


@dataclass(slots=True)
class Seen:
    """From the stand-ins."""

    attempts: list[Attempt]
    seconds: list[Second]
    spans: list[Span]
    broken: list[Broken]
    fell: int
    late: Lateness
    cpu_s: float
    events: int
    faults: int  # exceptions in calls of the loop


@dataclass(slots=True)
class Asked:
    """From the generator."""

    tries: list[Tried] = field(default_factory=list)
    ends: list[Ended] = field(default_factory=list)
    late: Lateness = field(default_factory=Lateness)  # from when a request was due until it was taken up
    pauses: Lateness = field(default_factory=Lateness)  # of its loop
    waited: int = 0  # tries that found all connections to their router in use
    cpu_s: float = 0.0
    faults: int = 0
