"""How envelopes ended and to what they were lost: an account by class, end and cause, in counts and in time.

It holds two numbers for each of them, whatever the traffic, and goes into the log as figures since the start,
so that whoever reads two lines has what lay between them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import Enum


class RequestOutcome(Enum):
    """How an envelope ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "late"  # failed, as its time was over
    CLIENT_GONE = "gone"  # its sender side has left
    INTERNAL_ERROR = "broke"  # by a fault of this program


class RequestCounters:
    """Ends by class and name; a name is the end's, and the cause's behind a `_` where there is one."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[int, str]] = Counter()
        self.total_ms: Counter[tuple[int, str]] = Counter()  # milliseconds until then, in all

    def record(self, class_index: int, outcome: RequestOutcome, cause: str, elapsed_ms: float) -> None:
        """An envelope has its end, so many milliseconds after it came."""
        key = class_index, f"{outcome.value}_{cause}" if cause else outcome.value
        self.counts[key] += 1
        self.total_ms[key] += elapsed_ms  # type: ignore[assignment]

    def counts_by_outcome(self) -> Counter[tuple[int, RequestOutcome]]:
        """Ends by class, whatever their causes."""
        found: Counter[tuple[int, RequestOutcome]] = Counter()
        for (klass, name), count in self.counts.items():
            found[klass, RequestOutcome(name.partition("_")[0])] += count
        return found

    def iter_log_fields(
        self, names: Mapping[int, str], worths: Mapping[int, float]
    ) -> Iterator[dict[str, object]]:
        """For each class that has ends: its name, the worth of a request, counts by name, and beside each the
        milliseconds in all, under the name with `_ms`.
        """
        for place in sorted({klass for klass, _ in self.counts}):
            found: dict[str, object] = {
                "class": names.get(place, str(place)),
                "worth": float(worths.get(place, 0.0)),
            }
            for name in sorted(name for klass, name in self.counts if klass == place):
                found[name] = self.counts[place, name]
                found[f"{name}_ms"] = int(self.total_ms[place, name])
            yield found
